"""A request that has no final response yet, and the checks whether it may be retried or hedged."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hazelspring.configuration.model import Route, Tenant

MIN_TIME_LEFT = 0.05  # seconds; no attempt is sent if less time is left until the deadline
# A route's latency is assumed to be this fraction of its latency target until it has been measured.
INITIAL_LATENCY_FRACTION = 0.5
UPLOAD_KIND = "upload"  # kind of the routes that have large request bodies
# Home regions of a request that no region may serve: only the empty name, which no known zone has as its
# region. An empty set would mean that all regions may serve the request.
NO_REGION = frozenset(("",))


@dataclass(slots=True)
class PendingRequest:
    """A request without a final response; times in seconds of the monotonic clock."""

    request: int
    route: Route
    service: str
    tenant: Tenant | None
    deadline: float
    tried_servers: set[int] = field(default_factory=set)
    """Numbers of the servers to which an attempt was sent."""

    attempts_sent: int = 0
    attempts_in_flight: int = 0
    may_have_run: bool = False
    """Whether an attempt has ended with an outcome that does not prove that it never ran."""

    hedge_check_at: float = math.inf
    """When to check whether a slow attempt should be abandoned for another server."""

    retry_reserved: bool = False
    """Whether the next retry has already been taken from the retry budget."""

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline; negative after it."""
        return self.deadline - now

    def home_regions(self) -> frozenset[str]:
        """Return the regions that may serve the request; empty means all.

        All regions may serve it if neither the route nor the tenant names any. If both name regions, only
        those in both sets may serve it; if there is none, the result is ``NO_REGION``.
        """
        tenant_regions = self.tenant.home_regions if self.tenant is not None else frozenset()
        route_regions = self.route.home_regions
        if route_regions and tenant_regions:
            return route_regions & tenant_regions or NO_REGION
        return route_regions or tenant_regions

    def is_upload(self) -> bool:
        """Return whether the request's body may be large."""
        return self.route.kind == UPLOAD_KIND

    def initial_latency(self) -> float:
        """Return the latency in seconds that is assumed until the route's latency has been measured."""
        return INITIAL_LATENCY_FRACTION * self.route.latency_target

    def has_attempt_left(self) -> bool:
        """Return whether the route allows one more attempt."""
        return self.attempts_sent < self.route.max_attempts

    def may_hedge(self) -> bool:
        """Return whether a slow attempt may be abandoned for another server.

        The first server may have run the request, so its route must be idempotent.
        """
        return self.route.idempotent and self.has_attempt_left()

    def may_retry(self, now: float) -> bool:
        """Return whether another attempt is safe and in time; the retry budget is checked separately.

        A request is retried only if the outcomes prove that no attempt ran, or if the route is idempotent: a
        write that ran twice could not be undone.
        """
        return (
            (self.route.idempotent or not self.may_have_run)
            and self.has_attempt_left()
            and self.time_left(now) > MIN_TIME_LEFT
        )
