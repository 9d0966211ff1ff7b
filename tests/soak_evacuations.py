"""The operator of a soak test, who evacuates zones and takes that back, one order after another.

It gives an order to a node, after a second of silence to another, and so on, and prefers nodes that do not answer.
"""

from __future__ import annotations

import http.client
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from hazelspring.cli.control_client import call_once
from hazelspring.localfleet.fleet import LocalFleet

EVACUATION_TIME = 5.0  # seconds, `evacuationMs` of the settings
PATIENCE = 1.0  # seconds without an answer until the operator gives the order to another node
GIVE_UP_TIME = 6.0  # seconds, `acknowledgeMs`
FIRST_PAUSE = 0.1  # seconds between the first two nodes; it doubles with each further one
SILENT_FIRST = 0.6  # fraction of orders that are given first to a node that does not answer, if there is one
LONG_EVACUATION = 0.5  # fraction of evacuations that last longer than the rule's time
HTTP_OK = 200


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
    """A thread that gives orders until `stop`; a zone may still be evacuated then."""

    def __init__(self, fleet: LocalFleet, seed: int, silent_nodes: Callable[[], Sequence[int]]) -> None:
        self.fleet, self.chance, self.silent_nodes = fleet, random.Random(seed), silent_nodes
        self.orders: list[Order] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()

    def acknowledged(self) -> int:
        """Return how many orders were acknowledged."""
        return sum(order.acknowledged_at is not None for order in self.orders)

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
