"""Tables of servers, one a service, each with a version; who is home for a service in a zone."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from swarm.rendezvous import owner

VERSION_STEPS = 256  # steps that doors go on by where the time of day stands behind a version: milliseconds


@dataclass(slots=True, frozen=True)
class Server:
    """One life of a server, as the platform lists it; `cold_until` in this door's steady seconds."""

    id: str
    address: str
    zone: str
    accepting: bool
    slots: int
    release: str
    cold_until: float = 0.0

    def same(self, other: Server) -> bool:
        """Whether nothing is told anew; less time to go until it is warm is no news."""
        return replace(self, cold_until=0.0) == replace(other, cold_until=0.0) and (
            self.cold_until <= other.cold_until + 0.5
        )


@dataclass(slots=True)
class Table:
    version: int = 0
    servers: dict[str, Server] = field(default_factory=dict)
    before: int = 0  # the version that it came from, where this door read the list, and by which change
    moved: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)

    def check(self) -> int:
        """What two doors compare to see whether they hold the same servers in the same states."""
        return zlib.crc32(" ".join(sorted(f"{s.id} {s.accepting:d}" for s in self.servers.values())).encode())


def tag(name: str) -> int:
    """A server's id as doors tell it often: 32 bits.  Two servers of one tag are each taken for as busy as both."""
    return zlib.crc32(name.encode())


def parse(pages: Iterable[bytes], now: float) -> dict[str, dict[str, Server]]:
    """The platform's pages as servers by service; raises ValueError where a page is none."""
    found: dict[str, dict[str, Server]] = {}
    for page in pages:
        try:
            listed: dict[str, dict[str, Any]] = json.loads(page)["instanceList"]
            for name, entry in listed.items():
                found.setdefault(entry["service"], {})[name] = Server(
                    name,
                    entry["address"],
                    entry["zone"],
                    entry["serverState"] == "accepting",
                    int(entry.get("capacitySlots") or 1),
                    str(entry.get("versionNumber", "")),
                    now + entry["coldRemainingMs"] / 1000 if entry.get("coldRemainingMs") else 0.0,
                )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"a page of the list lacks {error}") from None
    return found


def pack(now: float, s: Server) -> list[Any]:
    cold = round(max(0.0, s.cold_until - now), 2)
    return [s.id, s.address, s.zone, s.accepting, s.slots, s.release, cold]


def unpack(now: float, row: list[Any]) -> Server:
    cold: float = row[6]
    return Server(row[0], row[1], row[2], row[3], row[4], row[5], now + cold if cold else 0.0)


class News:
    """What one door knows of servers."""

    def __init__(self, reader: str = "") -> None:
        """`reader`: the address of this door, which its versions are told apart by."""
        self.step = 1 + tag(reader) % VERSION_STEPS
        self.tables: dict[str, Table] = {}
        self.known: dict[str, int] | None = None  # their versions, until one changes

    def versions(self) -> dict[str, int]:
        """The version of each table; a mapping that is replaced and never changed."""
        if self.known is None:
            self.known = {service: table.version for service, table in self.tables.items()}
        return self.known

    def listed(self, now: float, wall_ms: int, found: dict[str, dict[str, Server]]) -> list[str]:
        """A list has come from the platform; the services with news.  Versions grow also where the holder of
        the list before this one was not heard to the end: they follow the time of day.  Where that stands behind them,
        two holders that go on from one version must not come to the same one with different servers, as doors that
        hold either would take it for the other: each door goes on by a step of its own."""
        changed = []
        for service in {**self.tables, **found}:
            servers, table = found.get(service, {}), self.tables.get(service)
            old = table.servers if table is not None else {}
            moved = [n for n, server in servers.items() if n not in old or not server.same(old[n])]
            gone = [name for name in old if name not in servers]
            if table is not None and not moved and not gone:
                continue
            before, told = table.version if table is not None else 0, set(moved)
            kept = {name: server if name in told else old[name] for name, server in servers.items()}
            self.tables[service] = Table(max(before + self.step, wall_ms), kept, before, moved, gone)
            changed.append(service)
            self.known = None
        return changed

    def pack(self, now: float, service: str) -> list[Any]:
        """A table as it goes to other doors: times to go instead of times."""
        table = self.tables[service]
        return [service, table.version, [pack(now, s) for s in table.servers.values()]]

    def pack_change(self, now: float, service: str) -> list[Any]:
        """What the last list has changed in a table, where that is less than half of it; else the table."""
        table = self.tables[service]
        if not table.before or 2 * len(table.moved) > len(table.servers):
            return self.pack(now, service)
        rows = [pack(now, table.servers[name]) for name in table.moved]
        return [service, table.version, rows, table.before, table.gone, table.check()]

    def take(self, now: float, packed: list[Any]) -> bool:
        """A table, or a change of one, that another door told; whether it is news that could be taken.  A change
        counts only on the very table that it was made from."""
        service, version, rows, *change = packed
        table = self.tables.get(service)
        if table is not None and version <= table.version:
            return False
        new = Table(version, {r[0]: unpack(now, r) for r in rows})
        if change:
            before, gone, check = change
            if table is None or table.version != before:
                return False
            left = table.servers.keys() - gone
            new.servers = {n: s for n, s in table.servers.items() if n in left} | new.servers
            if new.check() != check:
                return False
        self.tables[service], self.known = new, None
        return True

    def newer(self, told: dict[str, int]) -> list[str]:
        """Services of which another door has a newer table."""
        return [s for s, v in told.items() if s not in self.tables or v > self.tables[s].version]


def home(service: str, zone: str, doors: Iterable[str]) -> str | None:
    """The zone's door that tells the others of a service."""
    return owner(f"{service}@{zone}", doors)
