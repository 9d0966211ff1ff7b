"""What a door knows of each server: its life, place and state, what is out there, how fast it answers."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hazelspring.registry.tables import ServerEntry, server_tag

NEWEST = 0.15  # weight of the newest answer in what is known of a server's speed
FADE = 1.0  # seconds after which a load report counts for nothing: a few requests' time
HEARSAY = 1.0  # seconds for which a door's word of its own requests counts
SUSPECT = 0.5  # seconds without requests after a failure, doubled with each further one
MOST_SUSPECT = 4.0
ILL = 0.25  # weight of the newest answer in the part of a server's requests that fail,
ILL_FADE = 5.0  # seconds in which what is known of that counts half: nothing else tells that it is well again
ILL_COST = 4.0  # further times a request's usual time that a failure costs: another try, or its worth
OTHER_ZONE = (
    0.06  # part of a request's usual time that a way into another zone must gain, as bytes between zones cost
)
OTHER_REGION = 0.5  # the same between regions: 40 ms there and back, and dearer bytes
UPLOADS = 6.0  # times as much for bodies that are large


@dataclass(slots=True)
class Server:
    """One life of a server, as this door sees it; times in seconds."""

    id: str
    number: int
    address: str
    zone: str
    region: str
    service: str
    slots: int
    accepting: bool
    cold_until: float = 0.0
    out: int = 0  # requests of this door
    running: int = 0  # as it told, of all doors
    waiting: int = 0
    told_out: int = 0  # of all doors that dance, when it told
    others: int = 0  # requests of other doors that dance
    told_at: float = -1e9
    pace: float = 1.0  # its time for a request against that of all
    failures: int = 0  # in a row
    suspect_until: float = 0.0
    failing: float = 0.0  # the part of this door's requests there that failed, as it was known
    failing_at: float = 0.0  # then

    def ill(self, now: float) -> float:
        """The part of requests that fail there, 0 to 1, as far as this door has seen: health answers may be false."""
        return self.failing * 0.5 ** ((now - self.failing_at) / ILL_FADE) if self.failing else 0.0

    def tell(self, now: float, failed: bool) -> None:
        """One more request has ended."""
        before = self.ill(now)
        self.failing, self.failing_at = before + ILL * (failed - before), now

    def busy(self, now: float) -> float:
        """Requests there: this door's, those that others tell of and, fading, what the server told beyond them."""
        unseen = max(0, self.running + self.waiting - self.told_out)
        return self.out + self.others + unseen * max(0.0, 1 - (now - self.told_at) / FADE)

    def usable(self, now: float, closed: frozenset[str]) -> bool:
        return self.accepting and self.zone not in closed and now >= self.cold_until


@dataclass(slots=True)
class Usual:
    """How long requests of one route take, over all servers."""

    time: float
    seen: int = 0


@dataclass(slots=True)
class Fleet:
    zone: str
    region: str
    regions: dict[str, str]  # of zones
    random: random.Random
    servers: dict[int, Server] = field(default_factory=dict)
    services: dict[str, dict[str, Server]] = field(default_factory=dict)
    usual: dict[str, Usual] = field(default_factory=dict)
    number: int = 0
    dances: dict[str, tuple[float, dict[int, int]]] = field(default_factory=dict)  # by door, last heard last
    elsewhere: dict[int, int] = field(default_factory=dict)  # the sum of these, by server's tag
    named: dict[int, Server] = field(default_factory=dict)  # by tag

    def outs(self) -> dict[int, int]:
        """This door's requests at servers, by tag, for the others to know."""
        return {server_tag(server.id): server.out for server in self.servers.values() if server.out}

    def danced(self, now: float, door: str, outs: dict[int, int]) -> None:
        """Another door has told where its requests are: only what differs from its last word is summed up."""
        change = {name: -out for name, out in self.dances.get(door, (now, {}))[1].items()}
        for name, out in outs.items():
            change[name] = change.get(name, 0) + out
        self.dances.pop(door, None)
        self.dances[door] = (now, outs)
        self.sum_up(change)

    def forget(self, now: float) -> None:
        """What doors told counts no more once they have been silent for a while."""
        while self.dances:
            door, (at, outs) = next(iter(self.dances.items()))
            if now - at <= HEARSAY:
                return
            del self.dances[door]
            self.sum_up({name: -out for name, out in outs.items()})

    def sum_up(self, change: dict[int, int]) -> None:
        """What other doors have out has changed by so much at these servers."""
        for name, by in change.items():
            if by:
                total = self.elsewhere[name] = self.elsewhere.get(name, 0) + by
                if not total:
                    del self.elsewhere[name]
                if (server := self.named.get(name)) is not None:
                    server.others = total

    def listed(
        self, now: float, service: str, servers: Iterable[ServerEntry], cold_time: float
    ) -> list[Server]:
        """The servers of a service from now on; those that are gone are returned.  A life that was not there
        when the first list came is cold for its time, whatever the list says."""
        known = self.services.get(service)
        fresh, found = known is not None, {}
        for told in servers:
            server = known.pop(told.id, None) if known else None
            if server is None:
                self.number += 1
                server = Server(
                    told.id, self.number, told.address, told.zone,
                    self.regions.get(told.zone, ""), service, told.slots, told.accepting,
                )  # fmt: skip
                server.cold_until = now + cold_time if fresh else 0.0
                server.others = self.elsewhere.get(server_tag(told.id), 0)
                self.servers[server.number] = self.named[server_tag(told.id)] = server
            server.accepting, server.slots = told.accepting, max(1, told.slots)
            server.cold_until = max(server.cold_until, told.cold_until)
            found[told.id] = server
        self.services[service] = found
        gone = list(known.values()) if known else []
        for server in gone:
            del self.servers[server.number]
            if self.named.get(server_tag(server.id)) is server:  # it may have gone over to another service
                del self.named[server_tag(server.id)]
        return gone

    def chill(self, now: float, zone: str, cold: dict[str, float]) -> None:
        """A zone's evacuation was taken back: its servers may be cold."""
        for server in self.servers.values():
            if server.zone == zone:
                server.cold_until = max(server.cold_until, now + cold.get(server.service, 0.0))

    def usable(
        self, now: float, service: str, homes: frozenset[str], closed: frozenset[str], tried: set[int]
    ) -> Iterator[Server]:
        """The servers that rules and state leave for a request."""
        for server in self.services.get(service, {}).values():
            if (homes and server.region not in homes) or server.number in tried:
                continue
            if server.usable(now, closed):
                yield server

    def choose(
        self, now: float, service: str, route: str, start: float, homes: frozenset[str], upload: bool,
        closed: frozenset[str], tried: set[int],
    ) -> tuple[Server | None, float]:  # fmt: skip
        """The best server for a request and the time it would take; none where there is none for it."""
        usual = self.usual.get(route)
        each = usual.time if usual is not None else start
        best, least, wait = None, 1e9, 0.0
        for server in self.usable(now, service, homes, closed, tried):
            score = took = each * server.pace * max(1.0, (server.busy(now) + 1) / server.slots)
            if server.zone != self.zone:
                far = OTHER_REGION if server.region != self.region else OTHER_ZONE
                score += start * far * (UPLOADS if upload else 1.0)
            score *= 1 + ILL_COST * server.ill(now)
            if now < server.suspect_until:
                score += 10.0
            score *= 1 + 0.02 * self.random.random()
            if score < least:
                best, least, wait = server, score, took
        return best, wait

    def heard(self, now: float, server: Server, route: str, spent: float, report: tuple[float, ...]) -> None:
        """An answer: how long it took, and the load that the server told with it."""
        server.failures, server.suspect_until = 0, 0.0
        server.tell(now, failed=False)
        usual = self.usual.get(route)
        if usual is None:
            usual = self.usual[route] = Usual(spent)
        ratio = min(4.0, max(0.25, spent / max(usual.time, 1e-3)))
        crowd = max(1.0, (server.busy(now) + 1) / server.slots)
        usual.seen += 1
        usual.time += max(NEWEST / 5, 1 / (usual.seen + 1)) * (spent / max(1.0, crowd) - usual.time)
        server.pace += NEWEST * (ratio / crowd - server.pace)
        if len(report) >= 2:
            server.running, server.waiting = int(report[0]), int(report[1])
            server.told_out, server.told_at = server.out + server.others, now

    def failed(self, now: float, server: Server) -> None:
        """A request failed there, whether it may have run or not."""
        server.tell(now, failed=True)
        server.failures += 1
        server.suspect_until = now + min(MOST_SUSPECT, SUSPECT * 2 ** (server.failures - 1))

    def full(self, now: float, server: Server) -> None:
        """It turned a request away.  One that does so again and again is no better than one that fails."""
        server.tell(now, failed=True)
        server.running, server.waiting = max(server.running, server.slots), server.slots
        server.told_out, server.told_at = server.out + server.others, now
