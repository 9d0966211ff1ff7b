"""Events that the request router handles, and its instructions beyond those of the gateway's interface.

Request numbers are those of :mod:`hazelspring.admission.interface`. The router also handles the events
``Finished``, ``Left`` and ``UnderWay`` of that module, and returns its actions ``Send``, ``Refuse``,
``Fail`` and ``Cancel``.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.configuration.model import Route, Tenant
from hazelspring.quota.credits import CounterCall


@dataclass(slots=True)
class RequestArrived:
    """A client's request whose route and access key are known.

    ``time_left`` is the time in seconds that both the client and the route's timeout allow for the response.
    ``tenant`` is ``None`` for a request without an access key, on a route that requires none.
    """

    request: int
    route: Route
    tenant: Tenant | None
    time_left: float


@dataclass(slots=True)
class TimerTick:
    """The periodic timer has fired: deadlines, timeouts and lifetimes must be checked."""


@dataclass(slots=True)
class RejectOverQuota:
    """Respond with 429: the tenant has exceeded its quota, and may retry after ``retry_after`` seconds."""

    request: int
    retry_after: float


@dataclass(slots=True)
class LeaseCredits:
    """Call the quota counter of a tenant."""

    call: CounterCall


@dataclass(slots=True)
class AbandonAttempt:
    """Stop waiting for a slow attempt: another server and the retry budget have room for the request."""

    request: int
    attempt: int


RouterInstruction = RejectOverQuota | LeaseCredits | AbandonAttempt
"""Instructions of the router that aren't among the actions of :mod:`hazelspring.admission.interface`."""
