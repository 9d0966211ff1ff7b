"""The records of the policy: `quotas` owns leases, `servers` owns backends, `attempts` owns jobs.

Fields that other modules write: `backend_selection` writes a backend's `draw` and `drawn_at`, `attempts` also its
`unanswered`; `quotas` writes a job's `taken_from` and `window`.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hazelspring.admission import interface as i
from hazelspring.admission.interface import State

FIRST_LATENCY = 0.3  # seconds; assumed before the first answer, unless half of the shortest aim is less


@dataclass(slots=True)
class Lease:
    """A customer's leased budget at this gateway: rate units, or slots where `slots` is set."""

    customer: int
    plan: i.Plan
    width: int
    slots: bool
    length: float  # seconds; of a window
    phase: float  # offset of this customer's windows, in seconds: spreads the counter calls over time
    base: float  # units that a window allows
    size: float  # natural logarithm of the batch to lease, in units
    window: int = -1
    credits: float = 0.0
    batch: float = 0.0  # units requested by the lease call in flight
    waiting: bool = False  # whether a lease call is in flight
    total: float = 0.0  # the counter's last known total for this window
    confirmed: float = 0.0  # units added by this gateway to this window, as confirmed by the counter
    granted_share: float = 1.0  # smoothed share of this customer's leases that were granted
    unreported: float = 0.0  # units admitted without a counter call and not yet added to the counter
    denied_until: float = 0.0
    was_exhausted: bool = False  # whether a lease was denied in the previous window
    checked: float = -math.inf  # when the counter last answered for this lease
    served: float = 0.0
    squares: float = 1e-6  # AdaGrad's sum of squared gradients
    in_use: int = 0  # requests that hold credit of this lease
    bucket: float = 0.0  # tokens of the local share, used when no counter call can be made
    bucket_at: float = 0.0
    touched: float = 0.0
    waiters: deque[Job] = field(default_factory=deque)
    new_plan: i.Plan | None = None  # replaces `plan` when the window ends; also limits leases until then


@dataclass(slots=True)
class Backend:
    """An alert server as this gateway knows it: its list entry, attempts, latency, errors and load."""

    entry: i.Entry
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)  # starts, oldest first
    state: State = State.READY
    latency: float = FIRST_LATENCY
    answered: float = 0.0  # when it last answered successfully, or was listed
    seen: float = 0.0  # when an attempt there last ended
    known: float = 0.0  # decayed count of answers: how far its own latency can be trusted
    load: float = 0.0  # last reported: requests in flight, or queue length plus utilization
    load_at: float = -math.inf
    erring: float = 0.0  # smoothed share of errors and failed connections
    unanswered: dict[str, float] = field(default_factory=dict)  # by class: last seen unanswered
    draw: float = 0.0  # random threshold for a fractional limit, drawn anew from time to time
    drawn_at: float = -math.inf
    cold_level: float = 0.0  # tokens for attempts while cold; random first: not all gateways send at once
    cold_level_at: float = 0.0  # when `cold_level` was computed; 0 before the first start


@dataclass(slots=True)
class Job:
    """A request that still needs an answer, or whose attempts are still in flight."""

    req: i.Request
    cls: i.RequestClass
    plan: i.Plan
    limits: i.Limits  # in force when the request arrived, as are `cls` and `plan`
    arrived: float
    end: float
    leases: list[Lease]
    taken_from: list[Lease] = field(default_factory=list)  # leases that it took credit from
    in_flight: dict[int, tuple[Backend, float]] = field(default_factory=dict)  # with start, by attempt
    tried: list[int] = field(default_factory=list)  # backends, in order of the attempts
    attempts: int = 0
    window: int = 0  # the window that its rate credit belongs to
    first_run: tuple[Backend, float] | None = None  # backend and start of the first that may have run
    closed: bool = False
    complete: bool = True  # whether its last byte has arrived: alert servers start it only then
    can_resend: bool = True  # whether all of it is still available to be sent again
    answering: bool = False  # whether its answer has begun to reach the client
