"""One door's part in the control state as the model steps it: the program's own control, without time."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from hazelspring.consensus.control_state import NO_BALLOT, Ballot, State, ballot_of
from hazelspring.consensus.forwarding import SPAN, Carried, Hands, row_of
from hazelspring.consensus.proposal import Order
from hazelspring.membership.peer_table import About, Peers
from hazelspring.node.actions import Message
from hazelspring.node.control_replica import Control
from hazelspring.node.reconfiguration import Membership

NEVER = float("inf")
LOOKED = 0.5  # seconds after an order: long enough that it takes a round, too short to end for want of one


class Door(Control):
    """A control whose rounds begin when the schedule says so."""

    def __init__(self, about: About, records: dict[str, bytes], first: bool, seeds: list[str]) -> None:
        super().__init__(0.0, Peers(about, 0.0), records, first, seeds)
        self.orders.pause_until = NEVER
        self.first, self.records, self.clock = first, records, 0

    def busy(self, now: float, source: str, base: int) -> bool:
        return False  # a round that was let in keeps no other out: its time may be over

    def learn(self, now: float, ballot: Ballot, state: State, word: bytes | None) -> None:
        super().learn(now, ballot, state, word)
        self.orders.pause_until = NEVER  # or a round would begin at once

    @property
    def now(self) -> float:
        return self.clock + LOOKED

    def twin(self) -> Door:
        """A door in the same state, that can be changed without it."""
        new = copy.copy(self)
        new.peers = Peers(self.peers.me, 0.0)
        held = new.register = copy.copy(self.register)
        held.words = dict(sorted(held.words.items()))
        held.stale, held.on_disk = set(held.stale), set(held.on_disk)
        orders = new.orders = copy.copy(self.orders)
        orders.register, orders.open = held, list(orders.open)
        kept = [replace(order, began=NEVER) for order in orders.carried.orders]  # it is never too old
        orders.carried, orders.hands, orders.outbox = Carried(kept), Hands(), []
        if (old := orders.round) is not None:
            promises, accepts = dict(old.promises), dict(old.accepts)
            orders.round = replace(
                old,
                promises=promises,
                accepts=accepts,
                holds=dict(old.holds),
                words=dict(old.words),
                sent={},
                brought={},
            )
        new.members = Membership(0.0, new.peers, held, orders, self.first)
        new.records, new.deeds = dict(self.records), []
        new.held_up, new.queued = list(self.held_up), list(self.queued)
        return new

    def key(self) -> tuple[Any, ...]:
        """All that its next steps depend on."""
        held, orders, current = self.register, self.orders, self.orders.round
        turn: tuple[Any, ...] = ()
        if current is not None and current.target is not None:  # who promised is of no use any more
            digest = current.target.digest
            has = frozenset(ip for ip, digests in current.holds.items() if digest in digests)
            turn = (current.target, frozenset(current.accepts.items()), has)
        elif current is not None:
            holds = frozenset((ip, frozenset(digests)) for ip, digests in current.holds.items())
            turn = (current.best, frozenset(current.promises.items()), holds, frozenset(current.words))
        if current is not None:
            turn += (current.ballot, current.base, current.began)
        return (
            (self.peers.me, held.promised, held.accepted, held.decided, frozenset(held.words)),
            (frozenset(held.stale), frozenset(held.on_disk), orders.count, orders.sure_since, self.clock),
            (tuple((o.token, o.version, o.sure, o.began) for o in orders.open), turn),
            tuple((o.on, o.source, *row_of(o)) for o in orders.carried.orders),
            (frozenset(self.records.items()), repr(self.saving), repr(self.held_up), repr(self.queued)),
        )


@dataclass(frozen=True)
class Event:
    """What may come once: `what` is order, crash, wipe or fail (a save).  `after`: an order confirmed by then."""

    what: str
    ip: str
    order: Order | None = None
    ready: Callable[[Door], bool] = lambda door: True  # as its door knows the state
    name: str = ""
    after: int = 0


def once(answers: list[tuple[str, Message]]) -> list[tuple[str, Message]]:
    """Answers that wait for a save, in a settled order, each once: a message that was sent may come often anyway."""
    return [answer for _, answer in sorted({repr(answer): answer for answer in answers}.items())]


def spent_at(door: Door, message: Message, fragile: bool) -> bool:
    """Whether a message can do nothing at a door any more: it would be refused, was answered, or nobody waits.
    What a refusal tells besides, the newest state, is told by whoever decided it, too."""
    held, current = door.register, door.orders.round
    if message["k"] == "decided":
        return not fragile and bool(message["s"][0] <= held.version)
    if message["k"] == "hand":
        return not fragile and bool(message["v"] + SPAN <= held.version)
    ballot = ballot_of(message["b"]) if "b" in message else NO_BALLOT
    if message["k"] == "prepare":
        return not fragile and ballot <= held.promised
    if message["k"] == "accept":
        answered = held.accepted is not None and held.accepted[0] == ballot
        return not fragile and (ballot < held.promised or answered)
    if message["k"] in ("promise", "accepted", "lack"):
        late = message["k"] == "promise" and current is not None and current.target is not None
        return current is None or current.ballot != ballot or late
    return False
