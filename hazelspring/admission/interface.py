"""The settings, events and actions that a host exchanges with `hazelspring.admission.gateway.Gateway`.

A host creates a ``Gateway(settings, seed)``, passes it one event at a time with the current time in seconds,
and carries out the returned actions in order.  This module only defines types.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a request may be repeated: always, within its deduplication scope and memory, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The backends among which a repeat of a keyed request is recognized and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 0
    ERROR = 5
    FULL = 11
    RESET = 104
    TIMEOUT = 110
    CONNECT_FAILED = 111
    MOOT = 114  # not sent, as it was of no use or not allowed, or cancelled before
    CANCELLED = 125

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class State(IntEnum):
    """A backend's state in the membership list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Listing(IntEnum):
    """Whether a membership event carries a full list, perhaps a cached one, a change, or a failure."""

    CACHED = 1
    DELTA = 2
    FULL = 3
    FAILED = 4


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests; times in seconds.

    ``aim`` is the target time, after which an answer is worth only ``late_worth``; ``memory`` is the time
    for which repeats are deduplicated.
    """

    name: str
    aim: float
    deadline: float
    effect: Effect
    scope: Scope
    memory: float
    worth: float
    late_worth: float
    stream: bool


@dataclass(slots=True, frozen=True)
class Plan:
    """The terms of a customer; its quotas apply to all gateways together.  0 means no such limit.

    ``rate`` is in units a second, ``burst`` in units, ``parallel`` in requests in flight.  The ceiling is
    another rate limit, which must hold even while the counter is unavailable.
    """

    name: str
    rate: float
    burst: float
    parallel: int
    price: float
    over_cost: float
    over_worth: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the rules, such as those for cold backends; times in seconds, shares between 0 and 1."""

    answer_slack: float
    drain_grace: float
    cold_share: float
    warm_up: float
    fall_multiple: float
    fall_time: float
    ask_within: float


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment supports and allows; times in seconds."""

    max_attempts: int
    second_copies: bool
    cancel: bool
    probes: bool
    retry_after: bool
    max_retry_after: float
    connect_timeout: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a gateway; times in seconds.

    ``me`` is its number, ``peers`` how many gateways share the fleet and the quotas, this one included.
    """

    me: int
    peers: int
    zone: int
    zones: tuple[str, ...]
    period: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits
    has_counter: bool
    counter_price: float
    counter_timeout: float
    settles: bool
    membership_push: bool
    weight_source: str
    report_how: str
    report_columns: tuple[str, ...]
    prices: dict[str, float]


@dataclass(slots=True, frozen=True)
class Entry:
    """One backend in a membership list; ``started`` is its start time, 0 if that is long ago."""

    backend: int
    zone: int
    started: float
    state: State
    kind: int
    cell: int
    weight: float


@dataclass(slots=True)
class Members:
    """The list of backends, or a change of it."""

    listing: Listing
    version: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class Request:
    """A request from a client.

    ``left`` is the time until the client's time-out, in seconds; ``units`` is its cost in quota units;
    ``width`` is how many gateways the customer's requests are spread over.
    """

    request: int
    cls: int
    plan: int
    customer: int
    left: float
    units: float
    width: int
    first: int
    is_retry: bool
    is_write: bool
    own: RequestClass | None = None  # replaces `cls`, for a host whose settings may change meanwhile
    own_plan: Plan | None = None  # replaces `plan`, for the same reason
    streams: bool = False  # its body is still arriving: alert servers start it after `Whole`


@dataclass(slots=True)
class Whole:
    """The last byte of a streamed request has arrived; ``left`` counts from now, in seconds."""

    request: int
    left: float


@dataclass(slots=True)
class UnderWay:
    """An answer has begun to reach the client: the result is final, but the attempt is still in flight."""

    request: int
    attempt: int
    backend: int
    spent: float


@dataclass(slots=True)
class Finished:
    """An attempt has ended; ``closed`` is set if its request has got its final answer."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    closed: bool
    spent: float
    charged: int
    metered: int
    report: tuple[float, ...]
    again: bool = True  # whether the host still has the complete request and can resend it


@dataclass(slots=True)
class Left:
    """The host has closed a request, because its client left or its time is up."""

    request: int


@dataclass(slots=True)
class Fired:
    """A timer has come due."""

    token: int


@dataclass(slots=True)
class Probed:
    """The answer to a `Probe`, with the load report if there is one."""

    backend: int
    outcome: Outcome
    spent: float
    report: tuple[float, ...]


@dataclass(slots=True)
class PeerSays:
    """A message from another gateway."""

    source: int
    data: bytes


@dataclass(slots=True)
class Counted:
    """The answer to one ``Count``; ``total`` is valid only with ``Outcome.OK``, ``spent`` is in seconds."""

    name: int
    outcome: Outcome
    total: float
    spent: float


@dataclass(slots=True)
class Detached:
    """An operator has detached a backend: no attempt goes to it until it is attached again."""

    backend: int


@dataclass(slots=True)
class Attached:
    """An operator has attached a backend again at time ``at``; it was restarted in between."""

    backend: int
    at: float


@dataclass(slots=True)
class Retuned:
    """New settings, for requests that arrive from now on."""

    settings: Settings


@dataclass(slots=True)
class Processes:
    """The number of processes that serve as this gateway: more than one during an upgrade."""

    count: int


Event = (
    Members
    | Request
    | Whole
    | UnderWay
    | Finished
    | Left
    | Fired
    | Probed
    | PeerSays
    | Counted
    | Detached
    | Attached
    | Processes
    | Retuned
)


@dataclass(slots=True)
class Send:
    """Start an attempt; ``timeout`` is in seconds, 0 means until the client's time-out."""

    request: int
    backend: int
    timeout: float


@dataclass(slots=True)
class Refuse:
    """Answer that the request was not served; ``retry_after`` is in seconds."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Answer that the request failed; it may have had an effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send `Fired` with this token at time ``at``."""

    at: float
    token: int


@dataclass(slots=True)
class Probe:
    """Request a load report from a backend."""

    backend: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a backend."""

    backend: int


@dataclass(slots=True)
class Tell:
    """A message to one peer, or to all with ``peer`` None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class Watch:
    """Start or stop a subscription to membership changes."""

    on: bool


@dataclass(slots=True)
class Pull:
    """Request the membership list."""

    pass


@dataclass(slots=True)
class Count:
    """Add ``amount`` to a named counter, which expires ``expires`` seconds after its first call."""

    name: int
    amount: float
    expires: float


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | Pull | Count
