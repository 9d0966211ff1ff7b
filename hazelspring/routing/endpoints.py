"""What a door knows of each server: its life, place and state, what is out there, how fast it answers."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hazelspring.registry.tables import ServerEntry, server_tag

LATENCY_WEIGHT = 0.15  # weight of the newest answer in what is known of a server's speed
LOAD_HEADER_LIFETIME = 1.0  # seconds after which a load report counts for nothing: a few requests' time
LOAD_REPORT_LIFETIME = 1.0  # seconds for which a door's word of its own requests counts
MIN_EJECTION_TIME = 0.5  # seconds without requests after a failure, doubled with each further one
MAX_EJECTION_TIME = 4.0
FAILURE_WEIGHT = 0.25  # weight of the newest answer in the part of a server's requests that fail,
FAILURE_HALF_LIFE = (
    5.0  # seconds in which what is known of that counts half: nothing else tells that it is well again
)
FAILURE_COST = 4.0  # further times a request's usual time that a failure costs: another try, or its worth
OTHER_ZONE_COST = (
    0.06  # part of a request's usual time that a way into another zone must gain, as bytes between zones cost
)
OTHER_REGION_COST = 0.5  # the same between regions: 40 ms there and back, and dearer bytes
UPLOAD_DISTANCE_FACTOR = 6.0  # times as much for bodies that are large


@dataclass(slots=True)
class Endpoint:
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
    in_flight: int = 0  # requests of this door
    running: int = 0  # as it told, of all doors
    waiting: int = 0
    in_flight_at_report: int = 0  # of all doors that dance, when it told
    in_flight_elsewhere: int = 0  # requests of other doors that dance
    reported_at: float = -1e9
    relative_latency: float = 1.0  # its time for a request against that of all
    failures: int = 0  # in a row
    ejected_until: float = 0.0
    known_failure_rate: float = 0.0  # the part of this door's requests there that failed, as it was known
    failure_rate_at: float = 0.0  # then

    def failure_rate(self, now: float) -> float:
        """The part of requests that fail there, 0 to 1, as far as this door has seen: health answers may be false."""
        return (
            self.known_failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE)
            if self.known_failure_rate
            else 0.0
        )

    def record_outcome(self, now: float, failed: bool) -> None:
        """One more request has ended."""
        before = self.failure_rate(now)
        self.known_failure_rate, self.failure_rate_at = before + FAILURE_WEIGHT * (failed - before), now

    def load(self, now: float) -> float:
        """Requests there: this door's, those that others tell of and, fading, what the server told beyond them."""
        unseen = max(0, self.running + self.waiting - self.in_flight_at_report)
        return (
            self.in_flight
            + self.in_flight_elsewhere
            + unseen * max(0.0, 1 - (now - self.reported_at) / LOAD_HEADER_LIFETIME)
        )

    def is_usable(self, now: float, closed: frozenset[str]) -> bool:
        return self.accepting and self.zone not in closed and now >= self.cold_until


@dataclass(slots=True)
class RouteLatency:
    """How long requests of one route take, over all servers."""

    latency: float
    samples: int = 0


@dataclass(slots=True)
class EndpointSet:
    zone: str
    region: str
    regions: dict[str, str]  # of zones
    random: random.Random
    servers: dict[int, Endpoint] = field(default_factory=dict)
    services: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    route_latencies: dict[str, RouteLatency] = field(default_factory=dict)
    last_number: int = 0
    load_reports: dict[str, tuple[float, dict[int, int]]] = field(
        default_factory=dict
    )  # by door, last heard last
    in_flight_elsewhere: dict[int, int] = field(default_factory=dict)  # the sum of these, by server's tag
    servers_by_tag: dict[int, Endpoint] = field(default_factory=dict)  # by tag

    def in_flight_by_tag(self) -> dict[int, int]:
        """This door's requests at servers, by tag, for the others to know."""
        return {
            server_tag(server.id): server.in_flight for server in self.servers.values() if server.in_flight
        }

    def on_load_report(self, now: float, node: str, outs: dict[int, int]) -> None:
        """Another door has told where its requests are: only what differs from its last word is summed up."""
        change = {name: -out for name, out in self.load_reports.get(node, (now, {}))[1].items()}
        for name, out in outs.items():
            change[name] = change.get(name, 0) + out
        self.load_reports.pop(node, None)
        self.load_reports[node] = (now, outs)
        self.add_in_flight_elsewhere(change)

    def expire_load_reports(self, now: float) -> None:
        """What doors told counts no more once they have been silent for a while."""
        while self.load_reports:
            node, (at, outs) = next(iter(self.load_reports.items()))
            if now - at <= LOAD_REPORT_LIFETIME:
                return
            del self.load_reports[node]
            self.add_in_flight_elsewhere({name: -out for name, out in outs.items()})

    def add_in_flight_elsewhere(self, change: dict[int, int]) -> None:
        """What other doors have out has changed by so much at these servers."""
        for name, by in change.items():
            if by:
                total = self.in_flight_elsewhere[name] = self.in_flight_elsewhere.get(name, 0) + by
                if not total:
                    del self.in_flight_elsewhere[name]
                if (server := self.servers_by_tag.get(name)) is not None:
                    server.in_flight_elsewhere = total

    def update_endpoints(
        self, now: float, service: str, servers: Iterable[ServerEntry], cold_time: float
    ) -> list[Endpoint]:
        """The servers of a service from now on; those that are gone are returned.  A life that was not there
        when the first list came is cold for its time, whatever the list says."""
        known = self.services.get(service)
        fresh, found = known is not None, {}
        for told in servers:
            server = known.pop(told.id, None) if known else None
            if server is None:
                self.last_number += 1
                server = Endpoint(
                    told.id, self.last_number, told.address, told.zone,
                    self.regions.get(told.zone, ""), service, told.slots, told.accepting,
                )  # fmt: skip
                server.cold_until = now + cold_time if fresh else 0.0
                server.in_flight_elsewhere = self.in_flight_elsewhere.get(server_tag(told.id), 0)
                self.servers[server.number] = self.servers_by_tag[server_tag(told.id)] = server
            server.accepting, server.slots = told.accepting, max(1, told.slots)
            server.cold_until = max(server.cold_until, told.cold_until)
            found[told.id] = server
        self.services[service] = found
        gone = list(known.values()) if known else []
        for server in gone:
            del self.servers[server.number]
            if (
                self.servers_by_tag.get(server_tag(server.id)) is server
            ):  # it may have gone over to another service
                del self.servers_by_tag[server_tag(server.id)]
        return gone

    def begin_slow_start(self, now: float, zone: str, cold: dict[str, float]) -> None:
        """A zone's evacuation was taken back: its servers may be cold."""
        for server in self.servers.values():
            if server.zone == zone:
                server.cold_until = max(server.cold_until, now + cold.get(server.service, 0.0))

    def candidates(
        self, now: float, service: str, homes: frozenset[str], closed: frozenset[str], tried: set[int]
    ) -> Iterator[Endpoint]:
        """The servers that rules and state leave for a request."""
        for server in self.services.get(service, {}).values():
            if (homes and server.region not in homes) or server.number in tried:
                continue
            if server.is_usable(now, closed):
                yield server

    def choose(
        self, now: float, service: str, route: str, start: float, homes: frozenset[str], upload: bool,
        closed: frozenset[str], tried: set[int],
    ) -> tuple[Endpoint | None, float]:  # fmt: skip
        """The best server for a request and the time it would take; none where there is none for it."""
        usual = self.route_latencies.get(route)
        each = usual.latency if usual is not None else start
        best, least, wait = None, 1e9, 0.0
        for server in self.candidates(now, service, homes, closed, tried):
            score = took = each * server.relative_latency * max(1.0, (server.load(now) + 1) / server.slots)
            if server.zone != self.zone:
                far = OTHER_REGION_COST if server.region != self.region else OTHER_ZONE_COST
                score += start * far * (UPLOAD_DISTANCE_FACTOR if upload else 1.0)
            score *= 1 + FAILURE_COST * server.failure_rate(now)
            if now < server.ejected_until:
                score += 10.0
            score *= 1 + 0.02 * self.random.random()
            if score < least:
                best, least, wait = server, score, took
        return best, wait

    def on_success(
        self, now: float, server: Endpoint, route: str, spent: float, report: tuple[float, ...]
    ) -> None:
        """An answer: how long it took, and the load that the server told with it."""
        server.failures, server.ejected_until = 0, 0.0
        server.record_outcome(now, failed=False)
        usual = self.route_latencies.get(route)
        if usual is None:
            usual = self.route_latencies[route] = RouteLatency(spent)
        ratio = min(4.0, max(0.25, spent / max(usual.latency, 1e-3)))
        crowd = max(1.0, (server.load(now) + 1) / server.slots)
        usual.samples += 1
        usual.latency += max(LATENCY_WEIGHT / 5, 1 / (usual.samples + 1)) * (
            spent / max(1.0, crowd) - usual.latency
        )
        server.relative_latency += LATENCY_WEIGHT * (ratio / crowd - server.relative_latency)
        if len(report) >= 2:
            server.running, server.waiting = int(report[0]), int(report[1])
            server.in_flight_at_report, server.reported_at = (
                server.in_flight + server.in_flight_elsewhere,
                now,
            )

    def on_failure(self, now: float, server: Endpoint) -> None:
        """A request failed there, whether it may have run or not."""
        server.record_outcome(now, failed=True)
        server.failures += 1
        server.ejected_until = now + min(MAX_EJECTION_TIME, MIN_EJECTION_TIME * 2 ** (server.failures - 1))

    def on_overloaded(self, now: float, server: Endpoint) -> None:
        """It turned a request away.  One that does so again and again is no better than one that fails."""
        server.record_outcome(now, failed=True)
        server.running, server.waiting = max(server.running, server.slots), server.slots
        server.in_flight_at_report, server.reported_at = server.in_flight + server.in_flight_elsewhere, now
