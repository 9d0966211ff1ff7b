"""What a node knows about one server: its state, its load, how fast it answers and how often it fails."""

from __future__ import annotations

import math
from dataclasses import dataclass

NEVER = -math.inf  # the time of an event that has not happened yet
# Seconds over which the load that a server reported loses its weight: about the duration of a few requests.
LOAD_HEADER_LIFETIME = 1.0
# Seconds for which a server is ejected after its first failure. The time doubles with each further failure
# in a row.
MIN_EJECTION_TIME = 0.5
MAX_EJECTION_TIME = 4.0  # seconds
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in a server's failure rate
# Seconds in which a recorded failure rate halves. A server that gets no requests could not otherwise show
# that it has recovered.
FAILURE_HALF_LIFE = 5.0
LATENCY_WEIGHT = 0.15  # weight of the newest response in a server's relative latency
# The latency ratio of a single response is clamped to these bounds before it enters the relative latency.
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.25, 4.0
MIN_REPORT_FIELDS = 2  # a server's load report has the number of running requests, then that of waiting ones


@dataclass(slots=True)
class Endpoint:
    """One incarnation of a server as this node sees it; times in seconds of the monotonic clock."""

    id: str
    number: int
    """Number by which this node identifies the incarnation in the interface to its host."""

    address: str
    zone: str
    region: str
    service: str
    slots: int
    """Number of requests that the server runs at the same time; at least 1."""

    accepting: bool
    """Whether the server list says that it takes new requests."""

    cold_until: float = 0.0
    """The end of the server's slow start, before which it gets no requests."""

    in_flight: int = 0
    """Requests that this node has in flight at the server."""

    sent_at: float = NEVER
    """When this node last sent a request to the server."""

    running: int = 0
    """Requests of all nodes that were running at the server, by its last report."""

    waiting: int = 0
    """Requests of all nodes that were waiting at the server, by its last report."""

    in_flight_at_report: int = 0
    """Requests that this node knew of when the server reported, its own and those in load reports."""

    in_flight_elsewhere: int = 0
    """Requests that other nodes have in flight at the server, by their load reports."""

    reported_at: float = NEVER
    relative_latency: float = 1.0
    """The server's latency divided by the average latency of all servers of the route."""

    failures: int = 0
    """Consecutive failures."""

    ejected_until: float = 0.0
    recorded_failure_rate: float = 0.0
    """The failure rate at ``failure_rate_at``; it decays from then on."""

    failure_rate_at: float = 0.0

    def failure_rate(self, now: float) -> float:
        """Return the fraction, 0 to 1, of this node's requests that fail at the server.

        The rate is measured from requests, as health checks may be wrong.
        """
        if not self.recorded_failure_rate:
            return 0.0
        faded: float = 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE)
        return self.recorded_failure_rate * faded

    def record_outcome(self, now: float, failed: bool) -> None:
        """Update the failure rate with the outcome of one request."""
        before = self.failure_rate(now)
        self.recorded_failure_rate = before + FAILURE_WEIGHT * (failed - before)
        self.failure_rate_at = now

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the server.

        This is the sum of this node's requests, those in other nodes' load reports, and the requests that
        the server's own report counted in addition to these. The last term loses weight as that report ages.
        """
        known = self.in_flight + self.in_flight_elsewhere
        unaccounted = self.running + self.waiting - self.in_flight_at_report
        if unaccounted <= 0:
            return known
        return known + unaccounted * max(0.0, 1 - (now - self.reported_at) / LOAD_HEADER_LIFETIME)

    def slowdown(self, now: float) -> float:
        """Return the factor by which the load would slow down one more request; 1 if a slot is free."""
        return max(1.0, (self.load(now) + 1) / self.slots)

    def is_usable(self, now: float, evacuated_zones: frozenset[str]) -> bool:
        """Return whether requests may be sent to the server."""
        return self.accepting and self.zone not in evacuated_zones and now >= self.cold_until

    def extend_slow_start(self, until: float) -> None:
        """Send no requests to the server before ``until``; a slow start that ends later is not shortened."""
        self.cold_until = max(self.cold_until, until)

    def record_success(self, now: float) -> None:
        """Record a successful response, which ends an ejection of the server."""
        self.failures = 0
        self.ejected_until = 0.0
        self.record_outcome(now, failed=False)

    def record_failure(self, now: float) -> None:
        """Eject the server for a time that doubles with each consecutive failure, up to a limit."""
        self.record_outcome(now, failed=True)
        self.failures += 1
        backoff = MIN_EJECTION_TIME * 2 ** (self.failures - 1)
        self.ejected_until = now + min(MAX_EJECTION_TIME, backoff)

    def record_rejection(self, now: float) -> None:
        """Assume that all slots of the server are in use, as it rejected a request.

        The rejection counts as a failure, because a server that keeps rejecting requests is no better than
        one that fails.
        """
        self.record_outcome(now, failed=True)
        self.running = max(self.running, self.slots)
        self.waiting = self.slots
        self.mark_reported(now)

    def record_relative_latency(self, ratio: float, slowdown: float) -> None:
        """Update the relative latency with a response that took ``ratio`` times the route's latency.

        ``slowdown`` is the factor by which the server's load slowed the request down.
        """
        bounded = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        self.relative_latency += LATENCY_WEIGHT * (bounded / slowdown - self.relative_latency)

    def record_load(self, now: float, report: tuple[float, ...]) -> None:
        """Store the load that the server reported with a response; a report without load has no effect."""
        if len(report) >= MIN_REPORT_FIELDS:
            self.running = int(report[0])
            self.waiting = int(report[1])
            self.mark_reported(now)

    def mark_reported(self, now: float) -> None:
        """Store the time of the server's load report and the number of requests known to this node then."""
        self.in_flight_at_report = self.in_flight + self.in_flight_elsewhere
        self.reported_at = now
