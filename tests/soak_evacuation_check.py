"""The check that no request reaches an evacuated zone after the rule's time, by what servers saw in a soak test.

The time begins at the acknowledgement of the evacuation, and ends when its end is ordered for the first time.
A late request is told with its cause: what its node held in force, and the order's way to the nodes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from hazelspring.localfleet.fleet import LocalFleet

from .soak_evacuations import EVACUATION_TIME, Order
from .soak_faults import MARGIN, Failure, connected_since, reachable_since

OUTER_STRETCH = 8.0  # seconds, `outerStretchMs`: more for nodes in touch with a core that is not settled
IN_TOUCH, OUT_OF_TOUCH, OUTER = "in touch", "not in touch", "core not settled"


@dataclass(frozen=True)
class ZonesInForce:
    """The evacuated zones that a node used from a time on, and the version and the node that decided them."""

    at: float
    zones: frozenset[str]
    version: int
    decided_by: str


def read_zones_in_force(path: Path) -> list[ZonesInForce]:
    """Return what a node recorded (tests/cut_node.py): its evacuated zones, in the order of time."""
    found = []
    for line in path.read_text().splitlines() if path.exists() else ():
        at, version, decided_by, zones = line.split(" ")
        names = frozenset(zones.split(",")) - {"none"}
        found.append(ZonesInForce(float(at), names, int(version), decided_by))
    return found


@dataclass(frozen=True)
class EvacuationPeriod:
    """The time in which requests must not reach a zone: from the rule's time on until it may be open again."""

    order: Order
    ends: float

    @property
    def acknowledged_at(self) -> float:
        """When the order was acknowledged."""
        assert self.order.acknowledged_at is not None
        return self.order.acknowledged_at

    def delay(self, zone: str, at: float) -> float:
        """Return how late a request reached the zone, in seconds from the acknowledgement; 0 if in time."""
        if zone != self.order.zone or not self.acknowledged_at + EVACUATION_TIME < at < self.ends:
            return 0.0
        return at - self.acknowledged_at


def evacuation_periods(orders: Sequence[Order]) -> list[EvacuationPeriod]:
    """Return a period for each acknowledged evacuation; it ends when the next order for the zone is given.

    A repeated evacuation of the same zone does not end it.
    """
    periods = []
    for number, order in enumerate(orders):
        if not order.evacuate or order.acknowledged_at is None:
            continue
        ends = (
            later.given_at
            for later in orders[number + 1 :]
            if later.zone == order.zone and not later.evacuate
        )
        periods.append(EvacuationPeriod(order, next(ends, float("inf"))))
    return periods


@dataclass(frozen=True)
class LateRequest:
    """A request that reached an evacuated zone after the rule's time.

    `in_force` says what its node held, `judgement` whether the rule binds the node at that time.
    """

    attempt: str
    node: int
    zone: str
    delay: float
    in_force: str
    way: str
    judgement: str

    @property
    def is_violation(self) -> bool:
        return self.judgement == IN_TOUCH

    def __str__(self) -> str:
        late = (
            f"{self.attempt} reached {self.zone} by node {self.node} {self.delay:.2f} s after its evacuation"
        )
        return f"{late}; it held {self.in_force}; the order's way: {self.way}"

    def cause(self) -> tuple[str, ...]:
        """Return what requests of one cause have in common."""
        return (f"node {self.node}", self.judgement, self.in_force, self.way)


Timelines = Mapping[int, Sequence[ZonesInForce]]  # by node


def evacuation_version(timelines: Timelines, order: Order) -> int | None:
    """Return the version that evacuated an order's zone, as any node learned it; None if none did in time."""
    since, until = order.given_at, (order.acknowledged_at or order.given_at) + EVACUATION_TIME
    versions = [
        each.version
        for timeline in timelines.values()
        for each in timeline
        if order.zone in each.zones and since <= each.at <= until
    ]
    return min(versions, default=None)


def held_zones(timelines: Timelines, period: EvacuationPeriod, node: int, at: float) -> str:
    """Return what a node held in force when one of its requests reached an evacuated zone."""
    before = [each for each in timelines[node] if each.at <= at]
    if not before:
        return "no state"
    last, decided = before[-1], evacuation_version(timelines, period.order)
    if period.order.zone in last.zones:
        return f"the evacuation, for {'over' if at - last.at > 1.0 else 'under'} 1 s"
    if decided is not None and last.version < decided:
        return "an older state"
    return f"open again by a version of {last.decided_by}"


def cause_table(late: Sequence[LateRequest]) -> list[str]:
    """Return a line for each cause: how many requests, the longest delay, and what they have in common."""
    counts = Counter(each.cause() for each in late)
    longest = {cause: max(each.delay for each in late if each.cause() == cause) for cause in counts}
    return [
        f"{count:5d} requests, up to {longest[cause]:.2f} s: {' | '.join(cause)}"
        for cause, count in counts.most_common()
    ]


@dataclass(frozen=True)
class EvacuationCheck:
    """Judges the requests of a series of failures; `began` is its beginning by the monotonic clock, in seconds.

    `core` is the number of nodes with a disk, which come first.
    """

    fleet: LocalFleet
    core: int
    failures: Sequence[Failure]
    began: float

    def late_requests(self, orders: Sequence[Order], nodes: Mapping[str, int]) -> list[LateRequest]:
        """Return the requests that reached evacuated zones too late; `nodes` are their nodes by attempt id."""
        timelines = {
            node: read_zones_in_force(self.fleet.folder / f"node-{node + 1}.zones")
            for node in self.fleet.remaining_nodes()
        }
        return [
            LateRequest(
                request.attempt,
                node := nodes[request.attempt],
                server.zone,
                delay,
                held_zones(timelines, period, node, request.at),
                period.order.way,
                self.judgement(period, node, request.at),
            )
            for period in evacuation_periods(orders)
            for server in self.fleet.servers
            for request in server.executed
            if (delay := period.delay(server.zone, request.at - MARGIN))
        ]

    def judgement(self, period: EvacuationPeriod, node: int, at: float) -> str:
        """Return whether the rule binds a node that sent a request to an evacuated zone at a time."""
        now = at - self.began
        if connected_since(self.failures, node, self.core, now) + MARGIN <= now:
            return IN_TOUCH
        acknowledged = period.acknowledged_at - self.began
        if reachable_since(self.failures, node, self.core, acknowledged, now) + MARGIN > now:
            return OUT_OF_TOUCH
        return IN_TOUCH if period.delay(period.order.zone, at - OUTER_STRETCH - MARGIN) else OUTER
