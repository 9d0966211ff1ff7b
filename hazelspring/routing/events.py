"""Events that the request router handles, and the instructions that it adds to those of the front door's interface.

Request numbers are those of :mod:`hazelspring.admission.interface`, whose ``Finished``, ``Left`` and ``UnderWay``
the router handles too, and whose ``Send``, ``Refuse``, ``Fail`` and ``Cancel`` it returns too.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.configuration.model import Route, Tenant
from hazelspring.quota.credits import CounterCall


@dataclass(slots=True)
class RequestArrived:
    """A client's request whose route and access key are known.

    ``time_left`` is the time in seconds that both the client and the route's timeout allow for the answer.
    ``tenant`` is ``None`` for a request without an access key, on a route that needs none.
    """

    request: int
    route: Route
    tenant: Tenant | None
    time_left: float


@dataclass(slots=True)
class TimerTick:
    """Time has passed: deadlines, timeouts and lifetimes are to be checked."""


@dataclass(slots=True)
class RejectOverQuota:
    """Answer 429: the tenant is beyond its quota until ``retry_after`` seconds from now."""

    request: int
    retry_after: float


@dataclass(slots=True)
class LeaseCredits:
    """Call the quota counter of a tenant."""

    call: CounterCall


@dataclass(slots=True)
class AbandonAttempt:
    """Wait no longer for an attempt's server, as another server and the retry budget have room for the request."""

    request: int
    attempt: int


RouterInstruction = RejectOverQuota | LeaseCredits | AbandonAttempt
"""What the router may instruct beyond the actions of :mod:`hazelspring.admission.interface`."""
