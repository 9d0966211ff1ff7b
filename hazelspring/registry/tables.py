"""Tables of servers, one a service, each with a version, and how they are sent between nodes.

A table goes to other nodes as a list, `EncodedTable`, of these columns:

- service, version, rows: a whole table;
- service, version, rows, previous version, removed ids, checksum: the difference to the table of the previous version.
  `rows` then holds the servers that are new or have changed; the checksum is that of the table after the change.

A row, `EncodedRow`, is a list of a server's id, address, zone, whether it accepts requests, slots, release, and the
seconds until it is warm: seconds to go instead of a time, as clocks of nodes differ.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from hazelspring.membership.rendezvous import owner

NODE_BITS = 20  # low bits of a version, by the node that made it; above them stand milliseconds
SLOW_START_TOLERANCE = 0.5  # seconds by which a server must become cold for longer to count as changed
COLD_TIME_DIGITS = 2  # decimals of the seconds until a server is warm, as they are sent

EncodedTable = list[Any]  # see the module's docstring
EncodedRow = list[Any]
ID, ADDRESS, ZONE, ACCEPTING, SLOTS, RELEASE, COLD_TIME = range(7)  # the columns of a row


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One run of a server, as the platform lists it; ``cold_until`` in this node's steady seconds."""

    id: str
    address: str
    zone: str
    accepting: bool
    slots: int
    release: str
    cold_until: float = 0.0

    def same(self, other: ServerEntry) -> bool:
        """Return whether there is nothing to send again; less time to go until it is warm is no change."""
        return replace(self, cold_until=0.0) == replace(other, cold_until=0.0) and (
            self.cold_until <= other.cold_until + SLOW_START_TOLERANCE
        )


@dataclass(slots=True)
class ServiceTable:
    """The servers of one service by id.

    Where this node read the list: also the version that this one came from, and the ids by which the two differ.
    """

    version: int = 0
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    previous_version: int = 0
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def checksum(self) -> int:
        """Return what two nodes compare to see whether they hold the same servers in the same states."""
        states = sorted(f"{server.id} {server.accepting:d}" for server in self.servers.values())
        return zlib.crc32(" ".join(states).encode())


def server_tag(name: str) -> int:
    """Return 32 bits for a server's id, as nodes send them often.

    Two servers of one tag are each taken for as busy as both.
    """
    return zlib.crc32(name.encode())


class _TableDifference(NamedTuple):
    """The columns that only a difference has."""

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
    """What one node knows of servers: the tables of all services."""

    def __init__(self, node: str = "") -> None:
        """`node`: the address of this node, by which its versions differ from those of others."""
        self.tables: dict[str, ServiceTable] = {}  # by service
        self._node_bits = server_tag(node) % (1 << NODE_BITS)
        self._cached_versions: dict[str, int] | None = None  # until a table changes

    def versions(self) -> dict[str, int]:
        """Return the version of each table; the mapping is replaced and never changed."""
        if self._cached_versions is None:
            self._cached_versions = {service: table.version for service, table in self.tables.items()}
        return self._cached_versions

    def update_from_list(
        self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]]
    ) -> list[str]:
        """Take a list that was read from the platform; return the services that it changes.

        `found` holds the listed servers by service and id, `wall_ms` is the time of day in milliseconds.
        """
        return [
            service
            for service in {**self.tables, **found}
            if self._update_service(service, wall_ms, found.get(service, {}))
        ]

    def _update_service(self, service: str, wall_ms: int, listed: dict[str, ServerEntry]) -> bool:
        """Make a new version of a table where the listed servers differ; return whether they do."""
        table = self.tables.get(service)
        old = table.servers if table is not None else {}
        changed = [name for name, server in listed.items() if name not in old or not server.same(old[name])]
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
        """Return a version above `previous` that no other node makes.

        It follows the time of day, so that it grows also where the last reader's latest version did not arrive here.
        Two readers may go on from one version where that time stands behind it, or read in one millisecond.  They must
        not come to a common version with different servers, as a node that holds either would take it for the other
        and ask for no other: so the low bits are the node's own.
        """
        milliseconds = max((previous >> NODE_BITS) + 1, wall_ms)
        return milliseconds << NODE_BITS | self._node_bits

    def encode(self, now: float, service: str) -> EncodedTable:
        """Return a whole table as it goes to other nodes."""
        table = self.tables[service]
        rows = [_encode_entry(now, entry) for entry in table.servers.values()]
        return [service, table.version, rows]

    def encode_change(self, now: float, service: str) -> EncodedTable:
        """Return what the last list has changed in a table; the whole table where that is more than half of it."""
        table = self.tables[service]
        if not table.previous_version or 2 * len(table.changed) > len(table.servers):
            return self.encode(now, service)
        rows = [_encode_entry(now, table.servers[name]) for name in table.changed]
        difference = _TableDifference(table.previous_version, table.removed, table.checksum())
        return [service, table.version, rows, *difference]

    def apply(self, now: float, encoded: EncodedTable) -> bool:
        """Take a table, or a difference, that another node sent; return whether it was newer and could be applied.

        A difference counts only on the very table that it was made from.
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
        """Return the table after a difference; None where it was made from another table."""
        if table is None or table.version != difference.previous_version:
            return None
        kept_names = table.servers.keys() - difference.removed
        kept = {name: entry for name, entry in table.servers.items() if name in kept_names}
        new = ServiceTable(version, kept | changed)
        return new if new.checksum() == difference.checksum else None

    def outdated(self, versions: dict[str, int]) -> list[str]:
        """Return the services of which another node, by the versions that it reported, has a newer table."""
        return [
            service
            for service, version in versions.items()
            if service not in self.tables or version > self.tables[service].version
        ]


def home_node(service: str, zone: str, nodes: Iterable[str]) -> str | None:
    """Return the zone's node that passes a service's tables on to the others of the zone."""
    return owner(f"{service}@{zone}", nodes)
