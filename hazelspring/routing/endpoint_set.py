"""All servers that a node knows, and the choice of one for a request."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from hazelspring.registry.tables import ServerEntry, server_tag
from hazelspring.routing.endpoint import Endpoint
from hazelspring.routing.load_reports import InFlightByTag, LoadReport, LoadReports
from hazelspring.routing.route_latency import RouteLatency

FAILURE_COST = (
    4.0  # times a request's latency that a failure costs beyond it: another attempt, or the request
)
# Parts of a request's initial latency that a server elsewhere must gain: bytes between zones cost,
OTHER_ZONE_COST = 0.06
OTHER_REGION_COST = 0.5  # those between regions cost more, and a round trip takes 40 ms.
UPLOAD_DISTANCE_FACTOR = 6.0  # times as much for bodies that are large
EJECTION_PENALTY = 10.0  # seconds by which an ejected server scores worse: it is used where there is no other
SCORE_JITTER = 0.02  # part of a score that is drawn, so that nodes that know the same don't choose the same
SCORE_LIMIT = 1e9  # seconds: a server with a higher score is not chosen


class EndpointSet:
    """The servers of all services, in every incarnation that the server list names.

    Parameters
    ----------
    zone, region : str
        Where this node is.
    regions : dict[str, str]
        The region of each zone.
    random : Random
        The source of the scores' jitter.
    """

    def __init__(self, zone: str, region: str, regions: dict[str, str], random: Random) -> None:
        self.zone = zone
        self.region = region
        self.regions = regions
        self.random = random
        self.servers: dict[int, Endpoint] = {}  # by number
        self.servers_by_tag: dict[int, Endpoint] = {}
        self.services: dict[str, dict[str, Endpoint]] = {}  # by service and server's id
        self.route_latencies: dict[str, RouteLatency] = {}  # by route's name
        self.reports = LoadReports(self.servers_by_tag)
        self.last_number = 0

    # What nodes report of their requests.

    @property
    def load_reports(self) -> dict[str, LoadReport]:
        """The last report of each other node, the oldest first."""
        return self.reports.by_node

    @property
    def in_flight_elsewhere(self) -> InFlightByTag:
        """The sum of the other nodes' reports."""
        return self.reports.totals_by_tag

    def in_flight_by_tag(self) -> InFlightByTag:
        """Return this node's requests at servers, which it reports to other nodes."""
        return {
            server_tag(server.id): server.in_flight for server in self.servers.values() if server.in_flight
        }

    def on_load_report(self, now: float, node: str, in_flight_by_tag: InFlightByTag) -> None:
        """Replace what another node reported."""
        self.reports.record(now, node, in_flight_by_tag)

    def expire_load_reports(self, now: float) -> None:
        """Drop the reports of nodes that have been silent for a while."""
        self.reports.expire(now)

    # What the server list says.

    def update_endpoints(
        self, now: float, service: str, entries: Iterable[ServerEntry], slow_start_time: float
    ) -> list[Endpoint]:
        """Replace the servers of a service; return those that are gone.

        An incarnation that was not in the service's first list is in slow start for ``slow_start_time`` seconds,
        whatever the list says.
        """
        known = self.services.get(service)
        cold_until = now + slow_start_time if known is not None else 0.0
        remaining = known if known is not None else {}
        found = {}
        for entry in entries:
            server = remaining.pop(entry.id, None)
            if server is None:
                server = self.add(service, entry, cold_until)
            server.accepting = entry.accepting
            server.slots = max(1, entry.slots)
            server.extend_slow_start(entry.cold_until)
            found[entry.id] = server
        self.services[service] = found
        gone = list(remaining.values())
        for server in gone:
            self.remove(server)
        return gone

    def leaving(self, service: str, entries: Iterable[ServerEntry]) -> list[Endpoint]:
        """Return the servers of a service that accept requests here, and no more by its new entries."""
        known = self.services.get(service, {})
        left = (known.get(entry.id) for entry in entries if not entry.accepting)
        return [server for server in left if server is not None and server.accepting]

    def add(self, service: str, entry: ServerEntry, cold_until: float) -> Endpoint:
        """Add an incarnation that was not known."""
        self.last_number += 1
        tag = server_tag(entry.id)
        server = Endpoint(
            id=entry.id,
            number=self.last_number,
            address=entry.address,
            zone=entry.zone,
            region=self.regions.get(entry.zone, ""),
            service=service,
            slots=entry.slots,
            accepting=entry.accepting,
            cold_until=cold_until,
            in_flight_elsewhere=self.reports.total(tag),
        )
        self.servers[server.number] = server
        self.servers_by_tag[tag] = server
        return server

    def remove(self, server: Endpoint) -> None:
        """Remove an incarnation; its tag stays where it names a server that has moved to another service."""
        del self.servers[server.number]
        tag = server_tag(server.id)
        if self.servers_by_tag.get(tag) is server:
            del self.servers_by_tag[tag]

    def begin_slow_start(self, now: float, zone: str, slow_start_times: dict[str, float]) -> None:
        """Start the servers of a zone slowly, as its evacuation was taken back and they may be cold."""
        for server in self.servers.values():
            if server.zone == zone:
                server.extend_slow_start(now + slow_start_times.get(server.service, 0.0))

    # The choice for a request.

    def candidates(
        self,
        now: float,
        service: str,
        home_regions: frozenset[str],
        evacuated_zones: frozenset[str],
        tried_servers: set[int],
    ) -> Iterator[Endpoint]:
        """Yield the servers that rules and state leave for a request; no ``home_regions`` means all regions."""
        for server in self.services.get(service, {}).values():
            if (home_regions and server.region not in home_regions) or server.number in tried_servers:
                continue
            if server.is_usable(now, evacuated_zones):
                yield server

    def choose(
        self,
        now: float,
        service: str,
        route: str,
        initial_latency: float,
        home_regions: frozenset[str],
        upload: bool,
        evacuated_zones: frozenset[str],
        tried_servers: set[int],
    ) -> tuple[Endpoint | None, float]:
        """Return the best server for a request and the seconds it would take there; ``None`` where there is none.

        ``initial_latency`` is the time in seconds that the route's requests are taken to need before one was seen.
        """
        usual = self.route_latencies.get(route)
        latency = usual.latency if usual is not None else initial_latency
        distance_factor = UPLOAD_DISTANCE_FACTOR if upload else 1.0
        other_zone_cost = initial_latency * OTHER_ZONE_COST * distance_factor
        other_region_cost = initial_latency * OTHER_REGION_COST * distance_factor
        draw = self.random.random
        best, best_score, best_time = None, SCORE_LIMIT, 0.0
        for server in self.candidates(now, service, home_regions, evacuated_zones, tried_servers):
            expected = latency * server.relative_latency * server.crowding(now)
            score = expected
            if server.zone != self.zone:
                score += other_region_cost if server.region != self.region else other_zone_cost
            score *= 1 + FAILURE_COST * server.failure_rate(now)
            if now < server.ejected_until:
                score += EJECTION_PENALTY
            score *= 1 + SCORE_JITTER * draw()
            if score < best_score:
                best, best_score, best_time = server, score, expected
        return best, best_time

    # How attempts ended.

    def on_success(
        self, now: float, server: Endpoint, route: str, spent: float, report: tuple[float, ...]
    ) -> None:
        """Learn from an answer that took ``spent`` seconds, and from the load that the server reported with it."""
        server.record_success(now)
        usual = self.route_latencies.get(route)
        if usual is None:
            usual = self.route_latencies[route] = RouteLatency(spent)
        crowding = server.crowding(now)
        ratio = usual.ratio(spent)
        usual.record(spent, crowding)
        server.record_relative_latency(ratio, crowding)
        server.record_load(now, report)

    def on_failure(self, now: float, server: Endpoint) -> None:
        """Learn that a request failed there, whether it may have run or not."""
        server.record_failure(now)

    def on_overloaded(self, now: float, server: Endpoint) -> None:
        """Learn that the server rejected a request as it was full."""
        server.record_rejection(now)
