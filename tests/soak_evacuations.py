"""The operator of a soak test, who evacuates zones and takes that back, one order after another.

It gives an order to a node, after a second of silence to another, and so on, and prefers nodes that do not answer.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hazelspring.cli.control_client import CallError, call_until_settled
from hazelspring.localfleet.fleet import LocalFleet

EVACUATION_TIME = 5.0  # seconds, `evacuationMs` of the settings
GIVE_UP_TIME = 6.0  # seconds, `acknowledgeMs`
SILENT_FIRST = 0.6  # fraction of orders that are given first to a node that does not answer, if there is one
LONG_EVACUATION = 0.5  # fraction of evacuations that last longer than the rule's time


@dataclass
class Order:
    """An order of the operator; times are in seconds of the monotonic clock.

    `way` names the nodes that it was given to, in order; the last one acknowledged it.
    """

    zone: str
    evacuate: bool
    given_at: float
    acknowledged_at: float | None = None
    way: str = ""


class Evacuations:
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
        order, nodes = Order(zone, evacuate, time.monotonic()), self.node_order()
        self.orders.append(order)
        addresses = [self.fleet.control_addresses()[node] for node in nodes]
        method = "POST" if evacuate else "DELETE"
        try:
            answer = call_until_settled(addresses, method, f"/-/evacuation/{zone}", patience=GIVE_UP_TIME)
        except CallError as error:
            order.way = str(error)
            return
        order.acknowledged_at = time.monotonic()
        order.way = " -> ".join(map(str, nodes[: addresses.index(answer.address) + 1]))

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
