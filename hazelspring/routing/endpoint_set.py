"""All servers that a node knows, and the choice of a server for each request."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from hazelspring.registry.tables import ServerEntry, server_tag
from hazelspring.routing.endpoint import Endpoint
from hazelspring.routing.load_reports import InFlightByTag, LoadReport, LoadReports
from hazelspring.routing.route_latency import RouteLatency

# Extra cost of a failure, which costs another attempt or the request, in multiples of the request's latency.
FAILURE_COST = 4.0
# A server in another zone or region is chosen if it is faster by these fractions of the initial latency.
OTHER_ZONE_COST = 0.06  # traffic between zones is charged for
OTHER_REGION_COST = 0.5  # traffic between regions costs more, and a round trip takes 40 ms
UPLOAD_DISTANCE_FACTOR = 6.0  # multiplies these costs for routes with large request bodies
# Seconds added to the score of an ejected server, so that it is used only if there is no other server.
EJECTION_PENALTY = 10.0
# Random fraction added to a score, so that nodes with the same information don't all choose the same server.
SCORE_JITTER = 0.02
SCORE_LIMIT = 1e9  # seconds; a server with a higher score is not chosen


class EndpointSet:
    """The servers of all services; each incarnation in the server list is an endpoint of its own.

    Parameters
    ----------
    zone, region : str
        This node's own zone and region.
    regions : dict[str, str]
        The region of each zone.
    random : Random
        The source of the jitter in scores.
    """

    def __init__(self, zone: str, region: str, regions: dict[str, str], random: Random) -> None:
        self.zone = zone
        self.region = region
        self.regions = regions
        self.random = random
        self.servers: dict[int, Endpoint] = {}  # by number
        self.servers_by_tag: dict[int, Endpoint] = {}
        self.services: dict[str, dict[str, Endpoint]] = {}  # by service name, then by server id
        self.route_latencies: dict[str, RouteLatency] = {}  # by route name
        self.reports = LoadReports(self.servers_by_tag)
        self.last_number = 0

    # Load reports of nodes.

    @property
    def load_reports(self) -> dict[str, LoadReport]:
        """The last load report of each other node, the oldest first."""
        return self.reports.by_node

    @property
    def in_flight_elsewhere(self) -> InFlightByTag:
        """The total of the other nodes' load reports for each server."""
        return self.reports.totals_by_tag

    def in_flight_by_tag(self) -> InFlightByTag:
        """Return the number of this node's requests at each server, for the load report to other nodes."""
        return {
            server_tag(server.id): server.in_flight for server in self.servers.values() if server.in_flight
        }

    def on_load_report(self, now: float, node: str, in_flight_by_tag: InFlightByTag) -> None:
        """Replace the last load report of another node."""
        self.reports.record(now, node, in_flight_by_tag)

    def expire_load_reports(self, now: float) -> None:
        """Drop load reports that are older than ``LOAD_REPORT_LIFETIME``."""
        self.reports.expire(now)

    # Updates from the server list.

    def update_endpoints(
        self, now: float, service: str, entries: Iterable[ServerEntry], slow_start_time: float
    ) -> list[Endpoint]:
        """Replace the servers of a service; return those that are no longer listed.

        An incarnation that was not in the service's first list is in slow start for at least
        ``slow_start_time`` seconds, even if the list says otherwise.
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

    def newly_draining(self, service: str, entries: Iterable[ServerEntry]) -> list[Endpoint]:
        """Return the servers of a service that accept requests so far, but not by the new ``entries``."""
        known = self.services.get(service, {})
        drained = (known.get(entry.id) for entry in entries if not entry.accepting)
        return [server for server in drained if server is not None and server.accepting]

    def add(self, service: str, entry: ServerEntry, cold_until: float) -> Endpoint:
        """Add an incarnation that was not known before."""
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
        """Remove an incarnation.

        Its tag is kept if it now refers to another endpoint: the same server, listed under another service.
        """
        del self.servers[server.number]
        tag = server_tag(server.id)
        if self.servers_by_tag.get(tag) is server:
            del self.servers_by_tag[tag]

    def begin_slow_start(self, now: float, zone: str, slow_start_times: dict[str, float]) -> None:
        """Put a zone's servers into slow start: its evacuation was cancelled, and they may be cold."""
        for server in self.servers.values():
            if server.zone == zone:
                server.extend_slow_start(now + slow_start_times.get(server.service, 0.0))

    # Choice of a server.

    def candidates(
        self,
        now: float,
        service: str,
        home_regions: frozenset[str],
        evacuated_zones: frozenset[str],
        tried_servers: set[int],
    ) -> Iterator[Endpoint]:
        """Yield the usable servers in ``home_regions`` that were not tried yet; an empty set means all."""
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
        """Return the best server for a request and its expected duration there in seconds.

        If there is no candidate, the server is ``None``. ``initial_latency`` is the latency in seconds that
        is assumed for the route until its first response.
        """
        route_latency = self.route_latencies.get(route)
        latency = route_latency.latency if route_latency is not None else initial_latency
        distance_factor = UPLOAD_DISTANCE_FACTOR if upload else 1.0
        other_zone_cost = initial_latency * OTHER_ZONE_COST * distance_factor
        other_region_cost = initial_latency * OTHER_REGION_COST * distance_factor
        draw = self.random.random
        best, best_score, best_time = None, SCORE_LIMIT, 0.0
        for server in self.candidates(now, service, home_regions, evacuated_zones, tried_servers):
            expected = latency * server.relative_latency * server.slowdown(now)
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

    # Outcomes of attempts.

    def on_success(
        self, now: float, server: Endpoint, route: str, spent: float, report: tuple[float, ...]
    ) -> None:
        """Record a response that took ``spent`` seconds, and the load that the server reported with it."""
        server.record_success(now)
        route_latency = self.route_latencies.get(route)
        if route_latency is None:
            route_latency = self.route_latencies[route] = RouteLatency(spent)
        slowdown = server.slowdown(now)
        ratio = route_latency.ratio(spent)
        route_latency.record(spent, slowdown)
        server.record_relative_latency(ratio, slowdown)
        server.record_load(now, report)

    def on_failure(self, now: float, server: Endpoint) -> None:
        """Record a failed request, whether or not it may have run."""
        server.record_failure(now)

    def on_overloaded(self, now: float, server: Endpoint) -> None:
        """Record that the server rejected a request because it was at capacity."""
        server.record_rejection(now)
