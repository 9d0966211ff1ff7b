"""What a node knows of one server: its state, its load, how fast it answers and how often it fails."""

from __future__ import annotations

import math
from dataclasses import dataclass

NEVER = -math.inf  # the time of what has not happened yet
LOAD_HEADER_LIFETIME = (
    1.0  # seconds until a load that a server reported counts for nothing: a few requests' time
)
MIN_EJECTION_TIME = (
    0.5  # seconds for which a server is avoided after a failure, doubled with each further one
)
MAX_EJECTION_TIME = 4.0  # seconds
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in a server's failure rate
# Seconds in which a known failure rate halves: without requests nothing else shows that the server is well again.
FAILURE_HALF_LIFE = 5.0
LATENCY_WEIGHT = 0.15  # weight of the newest answer in a server's relative latency
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = (
    0.25,
    4.0,
)  # bounds within which one answer counts for the relative latency
MIN_REPORT_FIELDS = 2  # numbers of a load report: requests that run, requests that wait


@dataclass(slots=True)
class Endpoint:
    """One incarnation of a server as this node sees it; times in seconds of the monotonic clock."""

    id: str
    number: int
    """This node's own number of the incarnation, as the interface to the host wants it."""

    address: str
    zone: str
    region: str
    service: str
    slots: int
    """Requests that the server runs at once; at least 1."""

    accepting: bool
    """Whether the server list says that it takes new requests."""

    cold_until: float = 0.0
    """The end of its slow start, before which it gets no requests."""

    in_flight: int = 0
    """Requests of this node."""

    sent_at: float = NEVER
    """When this node last sent a request there."""

    running: int = 0
    """Requests of all nodes that the server ran, as it reported last."""

    waiting: int = 0
    """Requests of all nodes that waited at the server, as it reported last."""

    in_flight_at_report: int = 0
    """Requests that this node knew of, its own and those of other nodes' load reports, at the server's report."""

    in_flight_elsewhere: int = 0
    """Requests of other nodes, by their load reports."""

    reported_at: float = NEVER
    relative_latency: float = 1.0
    """Its time for a request, relative to that of all servers of the route."""

    failures: int = 0
    """Failures in a row."""

    ejected_until: float = 0.0
    known_failure_rate: float = 0.0
    """The failure rate at ``failure_rate_at``, since when it has faded."""

    failure_rate_at: float = 0.0

    def failure_rate(self, now: float) -> float:
        """Return the part of this node's requests that fail there, 0 to 1: health checks may be wrong."""
        if not self.known_failure_rate:
            return 0.0
        faded: float = 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE)
        return self.known_failure_rate * faded

    def record_outcome(self, now: float, failed: bool) -> None:
        """Count one more request that ended."""
        before = self.failure_rate(now)
        self.known_failure_rate = before + FAILURE_WEIGHT * (failed - before)
        self.failure_rate_at = now

    def load(self, now: float) -> float:
        """Return the requests that are there.

        They are this node's, those of other nodes' load reports and, fading with the age of the server's own
        report, what that counted beyond them.
        """
        known = self.in_flight + self.in_flight_elsewhere
        unseen = self.running + self.waiting - self.in_flight_at_report
        if unseen <= 0:
            return known
        return known + unseen * max(0.0, 1 - (now - self.reported_at) / LOAD_HEADER_LIFETIME)

    def crowding(self, now: float) -> float:
        """Return how many times as long as alone one more request would take; at least 1."""
        return max(1.0, (self.load(now) + 1) / self.slots)

    def is_usable(self, now: float, evacuated_zones: frozenset[str]) -> bool:
        """Return whether requests may be sent there."""
        return self.accepting and self.zone not in evacuated_zones and now >= self.cold_until

    def extend_slow_start(self, until: float) -> None:
        """Send no requests there before ``until``, or before the end of a slow start that lasts longer."""
        self.cold_until = max(self.cold_until, until)

    def record_success(self, now: float) -> None:
        """End an ejection, as the server has answered."""
        self.failures = 0
        self.ejected_until = 0.0
        self.record_outcome(now, failed=False)

    def record_failure(self, now: float) -> None:
        """Eject the server for a while, the longer the more failures came in a row."""
        self.record_outcome(now, failed=True)
        self.failures += 1
        backoff = MIN_EJECTION_TIME * 2 ** (self.failures - 1)
        self.ejected_until = now + min(MAX_EJECTION_TIME, backoff)

    def record_rejection(self, now: float) -> None:
        """Take the server for full, as it rejected a request.

        The rejection counts as a failure: a server that rejects requests again and again is no better than one
        that fails.
        """
        self.record_outcome(now, failed=True)
        self.running = max(self.running, self.slots)
        self.waiting = self.slots
        self.mark_reported(now)

    def record_relative_latency(self, ratio: float, crowding: float) -> None:
        """Learn from an answer that took ``ratio`` times the route's latency, at a server so crowded."""
        bounded = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        self.relative_latency += LATENCY_WEIGHT * (bounded / crowding - self.relative_latency)

    def record_load(self, now: float, report: tuple[float, ...]) -> None:
        """Take over the load that the server reported with an answer, where it reported one."""
        if len(report) >= MIN_REPORT_FIELDS:
            self.running = int(report[0])
            self.waiting = int(report[1])
            self.mark_reported(now)

    def mark_reported(self, now: float) -> None:
        """Remember when the server's load became known, and which requests were known of then."""
        self.in_flight_at_report = self.in_flight + self.in_flight_elsewhere
        self.reported_at = now
