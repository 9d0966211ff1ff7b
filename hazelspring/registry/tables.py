"""Tables of servers, one a service, each with a version; which node of a zone tells the others of a service."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from hazelspring.membership.rendezvous import owner

NODE_BITS = 20  # low bits of a version, by the node that made it; above them stand milliseconds
SLOW_START_TOLERANCE = 0.5  # seconds by which a server must become cold for longer to be told anew


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One life of a server, as the platform lists it; `cold_until` in this node's steady seconds."""

    id: str
    address: str
    zone: str
    accepting: bool
    slots: int
    release: str
    cold_until: float = 0.0

    def same(self, other: ServerEntry) -> bool:
        """Whether nothing is told anew; less time to go until it is warm is no change."""
        return replace(self, cold_until=0.0) == replace(other, cold_until=0.0) and (
            self.cold_until <= other.cold_until + SLOW_START_TOLERANCE
        )


@dataclass(slots=True)
class ServiceTable:
    """The servers of one service by id.  Where this node read the list: the version that this one came from, and the
    ids by which the two differ."""

    version: int = 0
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    previous_version: int = 0
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def checksum(self) -> int:
        """What two nodes compare to see whether they hold the same servers in the same states."""
        states = sorted(f"{server.id} {server.accepting:d}" for server in self.servers.values())
        return zlib.crc32(" ".join(states).encode())


def server_tag(name: str) -> int:
    """A server's id as nodes tell it often: 32 bits.  Two servers of one tag are each taken for as busy as both."""
    return zlib.crc32(name.encode())


def _encode_entry(now: float, entry: ServerEntry) -> list[Any]:
    """Times to go instead of times, as clocks of nodes differ."""
    cold = round(max(0.0, entry.cold_until - now), 2)
    return [entry.id, entry.address, entry.zone, entry.accepting, entry.slots, entry.release, cold]


def _decode_entry(now: float, row: list[Any]) -> ServerEntry:
    cold: float = row[6]
    return ServerEntry(row[0], row[1], row[2], row[3], row[4], row[5], now + cold if cold else 0.0)


class ServerRegistry:
    """What one node knows of servers."""

    def __init__(self, node: str = "") -> None:
        """`node`: the address of this node, which its versions are told apart by."""
        self.node_bits = server_tag(node) % (1 << NODE_BITS)
        self.tables: dict[str, ServiceTable] = {}
        self.known_versions: dict[str, int] | None = None  # until one changes

    def versions(self) -> dict[str, int]:
        """The version of each table; a mapping that is replaced and never changed."""
        if self.known_versions is None:
            self.known_versions = {service: table.version for service, table in self.tables.items()}
        return self.known_versions

    def update_from_list(
        self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]]
    ) -> list[str]:
        """A list has come from the platform; the services that it changes."""
        services = []
        for service in {**self.tables, **found}:
            servers, table = found.get(service, {}), self.tables.get(service)
            old = table.servers if table is not None else {}
            changed = [
                name for name, server in servers.items() if name not in old or not server.same(old[name])
            ]
            removed = [name for name in old if name not in servers]
            if table is not None and not changed and not removed:
                continue
            previous, anew = table.version if table is not None else 0, set(changed)
            kept = {name: server if name in anew else old[name] for name, server in servers.items()}
            version = self._next_version(previous, wall_ms)
            self.tables[service] = ServiceTable(version, kept, previous, changed, removed)
            services.append(service)
            self.known_versions = None
        return services

    def _next_version(self, previous: int, wall_ms: int) -> int:
        """A version above `previous` that no other node makes.

        It follows the time of day, so that it grows also where the last reader of the list was not heard to the end.
        Two readers may go on from one version where that time stands behind it, or read in one millisecond.  They must
        not come to a common version with different servers, as a node that holds either would take it for the other
        and ask for no other: so the low bits are the node's own.
        """
        milliseconds = max((previous >> NODE_BITS) + 1, wall_ms)
        return milliseconds << NODE_BITS | self.node_bits

    def encode(self, now: float, service: str) -> list[Any]:
        """A whole table as it goes to other nodes: service, version, rows."""
        table = self.tables[service]
        return [service, table.version, [_encode_entry(now, entry) for entry in table.servers.values()]]

    def encode_change(self, now: float, service: str) -> list[Any]:
        """What the last list has changed in a table, where that is less than half of it; else the whole table."""
        table = self.tables[service]
        if not table.previous_version or 2 * len(table.changed) > len(table.servers):
            return self.encode(now, service)
        rows = [_encode_entry(now, table.servers[name]) for name in table.changed]
        return [service, table.version, rows, table.previous_version, table.removed, table.checksum()]

    def apply(self, now: float, encoded: list[Any]) -> bool:
        """A table, or a change of one, that another node told; whether it was newer and could be applied.

        A change counts only on the very table that it was made from.
        """
        service, version, rows, *change = encoded
        table = self.tables.get(service)
        if table is not None and version <= table.version:
            return False
        new = ServiceTable(version, {row[0]: _decode_entry(now, row) for row in rows})
        if change:
            previous, removed, checksum = change
            if table is None or table.version != previous:
                return False
            left = table.servers.keys() - removed
            new.servers = {name: entry for name, entry in table.servers.items() if name in left} | new.servers
            if new.checksum() != checksum:
                return False
        self.tables[service], self.known_versions = new, None
        return True

    def outdated(self, versions: dict[str, int]) -> list[str]:
        """Services of which another node, by the versions that it told, has a newer table."""
        return [
            service
            for service, version in versions.items()
            if service not in self.tables or version > self.tables[service].version
        ]


def home_node(service: str, zone: str, nodes: Iterable[str]) -> str | None:
    """The zone's node that tells the others of a service."""
    return owner(f"{service}@{zone}", nodes)
