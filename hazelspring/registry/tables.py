"""Versioned tables of servers, one for each service, and their encoding between nodes.

A table is sent to other nodes as a list, `EncodedTable`, with these columns:

- service, version, rows: a full table;
- service, version, rows, previous version, removed ids, checksum: the difference from the previous version.
  `rows` then holds the servers that are new or changed; the checksum is that of the table after the change.

A row, `EncodedRow`, is a list of a server's id, address, zone, whether it accepts requests, slots, release,
and the seconds until it is warm.  Remaining seconds are sent instead of a time, as the clocks of nodes
differ.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from hazelspring.membership.rendezvous import owner

NODE_BITS = 20  # low bits of a version, which identify its author; the higher bits are milliseconds
SLOW_START_TOLERANCE = 0.5  # seconds by which a server's cold time must grow to count as a change
COLD_TIME_DIGITS = 2  # decimal places of the seconds until a server is warm, when sent

EncodedTable = list[Any]  # see the module's docstring
EncodedRow = list[Any]
ID, ADDRESS, ZONE, ACCEPTING, SLOTS, RELEASE, COLD_TIME = range(7)  # the columns of a row


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One run of a server, as the platform lists it; ``cold_until`` is in steady seconds of this node."""

    id: str
    address: str
    zone: str
    accepting: bool
    slots: int
    release: str
    cold_until: float = 0.0

    def matches(self, other: ServerEntry) -> bool:
        """Return whether nodes that know `other` need not be sent this entry.

        An earlier end of the cold time is not a change, and neither is an end that is later by at most
        SLOW_START_TOLERANCE.
        """
        return replace(self, cold_until=0.0) == replace(other, cold_until=0.0) and (
            self.cold_until <= other.cold_until + SLOW_START_TOLERANCE
        )


@dataclass(slots=True)
class ServiceTable:
    """The servers of one service by id.

    `previous_version`, `changed` and `removed` are set only if this node made the version from the list:
    the version on which it is based, and the ids of the servers that differ between the two.
    """

    version: int = 0
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    previous_version: int = 0
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def checksum(self) -> int:
        """Return a checksum by which two nodes detect whether their servers and states are the same."""
        states = sorted(f"{server.id} {server.accepting:d}" for server in self.servers.values())
        return zlib.crc32(" ".join(states).encode())


def server_tag(name: str) -> int:
    """Return a 32-bit hash of a server's id, which is short because nodes send it often.

    If two servers have the same tag, each is counted as having the load of both.
    """
    return zlib.crc32(name.encode())


class _TableDifference(NamedTuple):
    """The columns of an encoded difference that a full table lacks."""

    previous_version: int
    removed: list[str]
    checksum: int


def _encode_entry(now: float, entry: ServerEntry) -> EncodedRow:
    cold_time = round(max(0.0, entry.cold_until - now), COLD_TIME_DIGITS)
    return [entry.id, entry.address, entry.zone, entry.accepting, entry.slots, entry.release, cold_time]


def _decode_entry(now: float, row: EncodedRow) -> ServerEntry:
    cold_time: float = row[COLD_TIME]
    cold_until = now + cold_time if cold_time else 0.0
    return ServerEntry(row[ID], row[ADDRESS], row[ZONE], row[ACCEPTING], row[SLOTS], row[RELEASE], cold_until)


class ServerRegistry:
    """The tables of all services, as one node knows them."""

    def __init__(self, node: str = "") -> None:
        """`node` is this node's address, which makes its versions distinct from those of other nodes."""
        self.tables: dict[str, ServiceTable] = {}  # by service
        self._node_bits = server_tag(node) % (1 << NODE_BITS)
        self._cached_versions: dict[str, int] | None = None  # dropped when a table changes

    def versions(self) -> dict[str, int]:
        """Return the version of each table; the mapping is replaced, never modified."""
        if self._cached_versions is None:
            self._cached_versions = {service: table.version for service, table in self.tables.items()}
        return self._cached_versions

    def update_from_list(
        self, now: float, wall_ms: int, servers_by_service: dict[str, dict[str, ServerEntry]]
    ) -> list[str]:
        """Update the tables from a list that was read from the platform; return the services that changed.

        `servers_by_service` holds the listed servers, by service and id; `wall_ms` is the time of day in milliseconds.
        """
        return [
            service
            for service in {**self.tables, **servers_by_service}
            if self._update_service(service, wall_ms, servers_by_service.get(service, {}))
        ]

    def _update_service(self, service: str, wall_ms: int, listed: dict[str, ServerEntry]) -> bool:
        """Make a new version of a table if the listed servers differ from it; return whether they do."""
        table = self.tables.get(service)
        old = table.servers if table is not None else {}
        changed = [
            name for name, server in listed.items() if name not in old or not server.matches(old[name])
        ]
        removed = [name for name in old if name not in listed]
        if table is not None and not changed and not removed:
            return False
        changed_names = set(changed)
        servers = {name: server if name in changed_names else old[name] for name, server in listed.items()}
        previous = table.version if table is not None else 0
        version = self._next_version(previous, wall_ms)
        self.tables[service] = ServiceTable(version, servers, previous, changed, removed)
        self._cached_versions = None
        return True

    def _next_version(self, previous: int, wall_ms: int) -> int:
        """Return a version above `previous` that no other node creates.

        It follows the time of day, so that it also increases if the last reader's latest version did not
        arrive here.  Two readers may continue from the same version while the time of day is behind it, or
        read within the same millisecond.  They must not create the same version with different servers,
        because a node that has one would mistake it for the other and never request it.  The low bits
        therefore identify the node.
        """
        milliseconds = max((previous >> NODE_BITS) + 1, wall_ms)
        return milliseconds << NODE_BITS | self._node_bits

    def encode(self, now: float, service: str) -> EncodedTable:
        """Return the full table as it is sent to other nodes."""
        table = self.tables[service]
        rows = [_encode_entry(now, entry) for entry in table.servers.values()]
        return [service, table.version, rows]

    def encode_change(self, now: float, service: str) -> EncodedTable:
        """Return the difference that the last list made in a table; the full table if over half changed."""
        table = self.tables[service]
        if not table.previous_version or 2 * len(table.changed) > len(table.servers):
            return self.encode(now, service)
        rows = [_encode_entry(now, table.servers[name]) for name in table.changed]
        difference = _TableDifference(table.previous_version, table.removed, table.checksum())
        return [service, table.version, rows, *difference]

    def apply(self, now: float, encoded: EncodedTable) -> bool:
        """Apply a table or a difference that another node sent; return whether it was newer and applicable.

        A difference is applicable only to exactly the table version from which it was made.
        """
        service, version, rows, *difference = encoded
        table = self.tables.get(service)
        if table is not None and version <= table.version:
            return False
        servers = {entry.id: entry for entry in (_decode_entry(now, row) for row in rows)}
        new: ServiceTable | None = ServiceTable(version, servers)
        if difference:
            previous, removed, checksum = difference
            columns = _TableDifference(previous, removed, checksum)
            new = self._with_difference(table, version, servers, columns)
        if new is None:
            return False
        self.tables[service] = new
        self._cached_versions = None
        return True

    @staticmethod
    def _with_difference(
        table: ServiceTable | None,
        version: int,
        changed: dict[str, ServerEntry],
        difference: _TableDifference,
    ) -> ServiceTable | None:
        """Return the table after applying a difference; None if it was made from another table."""
        if table is None or table.version != difference.previous_version:
            return None
        kept_names = table.servers.keys() - difference.removed
        kept = {name: entry for name, entry in table.servers.items() if name in kept_names}
        new = ServiceTable(version, kept | changed)
        return new if new.checksum() == difference.checksum else None

    def outdated(self, versions: dict[str, int]) -> list[str]:
        """Return the services whose tables are newer on another node, which reported `versions`."""
        return [
            service
            for service, version in versions.items()
            if service not in self.tables or version > self.tables[service].version
        ]


def home_node(service: str, zone: str, nodes: Iterable[str]) -> str | None:
    """Return which of a zone's nodes forwards a service's tables to the others of the zone."""
    return owner(f"{service}@{zone}", nodes)
