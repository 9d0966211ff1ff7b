"""Evacuations in a soak test: orders of an operator, and the requests that reached an evacuated zone too late.

The operator evacuates zones and takes that back, one order after another.  It gives an order to a node, after a
second of silence to another, and so on, and prefers nodes that do not answer.  What counts is what servers saw:
the rule's time begins at the acknowledgement, and ends when the order's opposite is given for the first time.
"""

from __future__ import annotations

import http.client
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from hazelspring.cli.control_client import call_once
from hazelspring.localfleet.fleet import LocalFleet

EVACUATION_TIME = 5.0  # seconds, `evacuationMs` of the settings
OUTER_STRETCH = 8.0  # seconds, `outerStretchMs`: more for nodes in touch with a core that is not settled
PATIENCE = 1.0  # seconds without an answer until the operator gives the order to another node
GIVE_UP_TIME = 6.0  # seconds, `acknowledgeMs`
FIRST_PAUSE = 0.1  # seconds between the first two nodes; it doubles with each further one
SILENT_FIRST = 0.6  # fraction of orders that are given first to a node that does not answer, if there is one
LONG_EVACUATION = 0.5  # fraction of evacuations that last longer than the rule's time
ENDING_TIME = 3.0  # seconds before an episode's end in which no zone is evacuated any more
HTTP_OK, HTTP_TOO_MANY_REQUESTS = 200, 429


@dataclass
class Order:
    """An order of the operator; times are in seconds of the monotonic clock.

    `way` names the nodes that it was given to, in order, and what each did.
    """

    zone: str
    evacuate: bool
    given_at: float
    acknowledged_at: float | None = None
    way: list[str] = field(default_factory=list)


class EvacuationOperator:
    """A thread that gives orders until `stop`, and then takes back what is still evacuated."""

    def __init__(self, fleet: LocalFleet, seed: int, silent_nodes: Callable[[], Sequence[int]]) -> None:
        self.fleet, self.chance, self.silent_nodes = fleet, random.Random(seed), silent_nodes
        self.orders: list[Order] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()

    def run(self) -> None:
        """Evacuate one zone after another; half of them are opened and evacuated again after a short time."""
        chance, zones = self.chance, sorted(set(self.fleet.zones))
        while not self.stopped.is_set():
            zone = chance.choice(zones)
            for again in (True, chance.random() < 0.6, chance.random() < 0.4):
                if not again or self.stopped.is_set():
                    break
                self.give(zone, True)
                long = chance.random() < LONG_EVACUATION
                self.stopped.wait(
                    EVACUATION_TIME + chance.uniform(1.0, 5.0) if long else chance.uniform(0.0, 2.0)
                )
                self.give(zone, False)
                self.stopped.wait(chance.uniform(0.0, 1.5))

    def give(self, zone: str, evacuate: bool) -> None:
        """Give an order until a node acknowledges it or `GIVE_UP_TIME` has passed."""
        order = Order(zone, evacuate, time.monotonic())
        self.orders.append(order)
        pause = FIRST_PAUSE
        nodes = self.node_order()
        attempt = 0
        while time.monotonic() - order.given_at < GIVE_UP_TIME:
            node = nodes[attempt % len(nodes)]
            status = self.call(node, order)
            order.way.append(f"{node}:{status or 'silent'}")
            if status == HTTP_OK:
                order.acknowledged_at = time.monotonic()
                return
            time.sleep(pause)
            pause, attempt = 2 * pause, attempt + 1

    def node_order(self) -> list[int]:
        """Return all nodes in a random order; often one that does not answer comes first."""
        nodes = self.fleet.remaining_nodes()
        self.chance.shuffle(nodes)
        silent = list(self.silent_nodes())
        if silent and self.chance.random() < SILENT_FIRST:
            first = self.chance.choice(silent)
            nodes.remove(first)
            nodes.insert(0, first)
        return nodes

    def call(self, node: int, order: Order) -> int:
        """Give an order to a node; return the status of its answer, 0 without one."""
        method = "POST" if order.evacuate else "DELETE"
        address = self.fleet.control_addresses()[node]
        try:
            return call_once(address, method, f"/-/evacuation/{order.zone}", None, PATIENCE).status
        except (OSError, http.client.HTTPException):
            return 0


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

    def cause(self) -> tuple[str, ...]:
        return (f"node {self.node}", self.judgement, self.in_force, self.way)


IN_TOUCH, OUT_OF_TOUCH, OUTER = "in touch", "not in touch", "core not settled"


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
