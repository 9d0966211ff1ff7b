"""A request that has no final answer yet, and what the rules still allow for it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hazelspring.configuration.model import Route, Tenant

MIN_TIME_LEFT = 0.05  # seconds: with less time left no attempt is sent any more
INITIAL_LATENCY_PART = (
    0.5  # part of its latency target that a route is taken to need before a request was seen
)
UPLOAD_KIND = "upload"  # the kind of the routes whose bodies are large
NO_REGION = frozenset(
    ("",)
)  # the home regions of a request that may be served nowhere: no known zone lies there


@dataclass(slots=True)
class PendingRequest:
    """A request without a final answer; times in seconds of the monotonic clock."""

    request: int
    route: Route
    service: str
    tenant: Tenant | None
    deadline: float
    tried_servers: set[int] = field(default_factory=set)
    """The numbers of the servers to which an attempt was sent."""

    attempts_sent: int = 0
    attempts_in_flight: int = 0
    may_have_run: bool = False
    """Whether an attempt ended in a way that does not prove that it never ran."""

    hedge_check_at: float = math.inf
    """When to check whether a slow attempt should be abandoned for another server."""

    retry_reserved: bool = False
    """Whether the next retry was taken from the retry budget already."""

    def time_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def home_regions(self) -> frozenset[str]:
        """Return the regions that may serve the request; empty means all, as where none is named none is asked for.

        Where both the route and the tenant name regions both bind, and none may be left.
        """
        of_tenant = self.tenant.home_regions if self.tenant is not None else frozenset()
        of_route = self.route.home_regions
        if of_route and of_tenant:
            return of_route & of_tenant or NO_REGION
        return of_route or of_tenant

    def is_upload(self) -> bool:
        """Return whether the request's body may be large."""
        return self.route.kind == UPLOAD_KIND

    def initial_latency(self) -> float:
        """Return the seconds that the request is taken to need where its route's latency is not known."""
        return INITIAL_LATENCY_PART * self.route.latency_target

    def has_attempt_left(self) -> bool:
        """Return whether the route allows one more attempt."""
        return self.attempts_sent < self.route.max_attempts

    def may_hedge(self) -> bool:
        """Return whether a slow attempt may be abandoned for another server.

        Its server may have run it, so that the route must be idempotent.
        """
        return self.route.idempotent and self.has_attempt_left()

    def may_retry(self, now: float) -> bool:
        """Return whether the rules allow a further attempt, if the retry budget does.

        A request is repeated only where no attempt can have run, as its outcome proves, or where the route is
        idempotent: a write that ran twice could not be undone.
        """
        return (
            (self.route.idempotent or not self.may_have_run)
            and self.has_attempt_left()
            and self.time_left(now) > MIN_TIME_LEFT
        )
