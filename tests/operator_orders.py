"""An operator that gives evacuation orders to nodes on simulated time, and the check of what they did.

As the protocol says, the operator waits a second for a node's answer, closes its connection and gives the same
order to another node.  After an order was acknowledged, and until the next one is given, every decided state must
have the zone as the order says: whatever happened to the order at the nodes that did not answer.
"""

from __future__ import annotations

from collections.abc import Sequence

from .world import World

PATIENCE = 1.0  # seconds for which the operator waits for one node's answer
GIVE_UP_TIME = 6.0  # seconds after which the operator gives up an order: `acknowledgeMs`
FIRST_PAUSE = 0.1  # seconds before the order is given to the second node; it doubles with each further one
STEP = 0.02  # seconds of simulated time between two looks at an answer


class EvacuationOperator:
    """Gives orders for one zone, one after another, and keeps those that were acknowledged."""

    def __init__(self, world: World, zone: str, unseen_ends: frozenset[str] = frozenset()) -> None:
        """`unseen_ends`: nodes that do not see it, unless they stand still, when this operator leaves them."""
        self.world, self.zone, self.unseen_ends = world, zone, unseen_ends
        self.acknowledged: tuple[bool, int] | None = None  # the last order's `evacuate`, and its version
        self.violations: list[str] = []

    def give(self, evacuate: bool, nodes: Sequence[str]) -> bool:
        """Give an order to the nodes in turn until one acknowledges it; return whether one did."""
        self.check()
        self.acknowledged = None  # from now on this order may take effect
        world, began, pause = self.world, self.world.now, FIRST_PAUSE
        attempt = 0
        while world.now - began < GIVE_UP_TIME:
            token = world.evacuate(nodes[attempt % len(nodes)], self.zone, evacuate)
            if self.wait_for(token):
                self.acknowledged = (evacuate, world.calls[token].version)
                return True
            world.run(pause)
            pause, attempt = 2 * pause, attempt + 1
        return False

    def wait_for(self, token: int) -> bool:
        """Wait for an answer and leave after `PATIENCE` seconds; return whether the order was acknowledged."""
        world, call = self.world, self.world.calls[token]
        while call.done is None and world.now - call.at < PATIENCE:
            world.run(STEP)
        # In a node that stands still, the end of the connection waits beside the order.
        is_frozen = world.machines[call.machine].frozen is not None
        if call.done is None and (is_frozen or call.machine not in self.unseen_ends):
            world.leave(token)
        return call.succeeded

    def check(self) -> None:
        """Check that all states since the last acknowledged order have the zone as it says."""
        if self.acknowledged is None:
            return
        evacuate, version = self.acknowledged
        for later, state in self.world.decided.items():
            if later >= version and (self.zone in state.evacuated_zones) is not evacuate:
                text = "evacuated" if evacuate else "reopened"
                self.violations.append(f"{self.zone} was {text} at version {version}, but is not at {later}")
                return
