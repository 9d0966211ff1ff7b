"""Orders that doors hand to each other when their rounds meet: what is handed, to whom, and to which versions it may
be applied (docs/control.md)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelspring.consensus.control_state import State
from hazelspring.consensus.proposal import Order

KEPT = 1.0  # seconds for which a door keeps an order that it was handed
SPAN = 2  # versions in a row that an order may be applied to: that in force where it was handed, and the next
MOST_TO = 2  # doors that are handed an order on one version
MOST = 64  # orders that a door keeps of others; what is beyond its own doors see to

Row = list[Any]
Asking = dict[str, Any]  # a message that says which configuration its door holds, or an empty one


def carriable(order: Order, state: State) -> bool:
    """Whether an order is one that another door may carry: an operator's, which a state does not settle yet."""
    return (
        order.token != 0
        and order.kind in ("put", "evacuate")
        and state.version > 0
        and order.apply(state) is not state
    )


def row_of(order: Order) -> Row:
    """An order as it is handed on: kind, number, digest, bytes, zone, closed."""
    return [order.kind, order.number, order.digest, order.word, order.zone, order.closed]


@dataclass(slots=True)
class HandedOrder(Order):
    """Another door's order, of which nobody here waits for the end.  It may be applied to version `on` and the next
    one and to no other: once it is in force in one of these, whatever undoes it is decided after both, so that a copy
    which is late or comes twice can undo nothing."""

    on: int = -1
    source: str = ""  # the door that handed it

    def fits(self, state: State) -> bool:
        return 0 <= state.version - self.on < SPAN

    def apply(self, state: State) -> State:
        # named, as a class with slots is made anew and `super()` would look in the old one
        return Order.apply(self, state) if self.fits(state) else state


@dataclass(slots=True)
class Carried:
    """What a door was handed, in the order it came; soft, and ends by itself."""

    orders: list[HandedOrder] = field(default_factory=list)
    waiting: dict[str, Asking] = field(
        default_factory=dict
    )  # doors that wait for what is under way, and with what

    def take(self, now: float, source: str, on: int, rows: Iterable[Row]) -> None:
        """Orders of another door come, which waits; raises where a row is none.  One that is here already stays."""
        self.waiting.setdefault(source, {})
        for kind, number, digest, word, zone, closed in rows:
            if kind not in ("put", "evacuate"):
                raise ValueError(f"an order that nobody carries: {kind}")
            order = HandedOrder(0, now, kind, number, digest, word, zone, closed, on=on, source=source)
            if len(self.orders) < MOST and not any(self.same(order, held) for held in self.orders):
                self.orders.append(order)

    @staticmethod
    def same(one: HandedOrder, other: HandedOrder) -> bool:
        return (one.on, one.source) == (other.on, other.source) and row_of(one) == row_of(other)

    def sweep(self, now: float, state: State | None) -> None:
        """Forget what is old, or can be applied to no state that may come."""
        version = state.version if state is not None else -1
        self.orders = [o for o in self.orders if now - o.began <= KEPT and version < o.on + SPAN]

    def told(self, state: State) -> list[tuple[str, Asking]]:
        """Doors without a seat that wait for a state which is in force now; who still has orders here waits on."""
        due = [(source, asking) for source, asking in self.waiting.items() if state.seat(source) is None]
        self.waiting = {order.source: self.waiting.get(order.source, {}) for order in self.wanted(state)}
        return due

    def wanted(self, base: State) -> list[HandedOrder]:
        """Those that a state does not settle yet.  One that it does is left out, as it must not undo what another
        order of the same round makes of it."""
        return [order for order in self.orders if order.apply(base) is not base]


@dataclass(slots=True)
class Hands:
    """To whom a door has handed its orders, on the version in force here."""

    version: int = -1
    to: dict[str, set[int]] = field(default_factory=dict)  # tokens by door

    def give(self, state: State, to: str, orders: Iterable[Order]) -> list[Row]:
        """What is to be handed to a door; empty where it has it all, or enough others have."""
        if state.version != self.version:
            self.version, self.to = state.version, {}
        if to not in self.to and len(self.to) >= MOST_TO:
            return []
        had = self.to.setdefault(to, set())
        new = [order for order in orders if order.token not in had and carriable(order, state)]
        had |= {order.token for order in new}
        return [row_of(order) for order in new]
