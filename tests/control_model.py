"""Every schedule of a few doors' part in the control state, within bounds: the program's own steps, no time, no copy.

A door is `hazelspring.node.control_replica.Control`
over `Register` and `Orders` as they stand.  What has been sent stays: each
message may come at any time, again, late or never.  A door's step depends on its own state and the message alone, so
each is run once and remembered, and a state of all is a row of small numbers.

What time decides is left open instead: who may begin a round, and when it is given up for one with a higher count
(a case bounds both); and a case says who takes the others for there.  So `no` and `over`, by which doors only keep out
of each other's way, are not sent here; nor are beats, by which an order may be settled without a round.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Generic, TypeVar

import cbor2

from hazelspring.consensus.acceptor import load_acceptor
from hazelspring.consensus.control_state import NO_BALLOT, ControlState
from hazelspring.consensus.messages import ConsensusMessage, ProposalsForwarded, Rejected, RoundEnded
from hazelspring.consensus.proposal import Proposal, ProposalOutcome
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node import codec
from hazelspring.node.actions import Action, Save, Send
from hazelspring.node.sent_request import NOT_SENT

from .control_node import NEVER, Event, ModelNode, consensus_message, once, spent_at
from .control_rules import Disk, chain, copies, kept, undone, unread

T = TypeVar("T")
UNHEARD = (Rejected, RoundEnded)  # what is said for the sake of time only


@dataclass
class Case:
    """Doors as they begin, what may come once, and the bounds."""

    nodes: list[ModelNode]
    events: list[Event]
    counts: dict[str, tuple[int, ...]]  # those of the ballots that a door may begin a round with
    rounds: int  # of all doors together
    slow: frozenset[str] = frozenset()  # doors whose saves take a step of their own: others save at once
    asks: frozenset[str] = frozenset()  # doors that, knowing no state, may ask any other for one
    hands: frozenset[tuple[str, str]] = frozenset()  # who may hand its orders to whom, at any time
    deaf: frozenset[str] = (
        frozenset()
    )  # doors that have heard nobody of late: a majority has to promise first
    lost: int = 0  # disks that the events wipe


# doors by number; what was sent, is decided, has ended and may yet come, as bits; and rounds left
Now = tuple[tuple[int, ...], int, int, int, int, int]
Step = tuple[int, int, int, int]  # a door after a step, what it sent, knows as decided, and ended


@dataclass
class Found:
    """What an exploration came to."""

    states: int = 0
    steps: int = 0  # of a single door, each run once
    whole: bool = True  # every state within the bounds was seen
    confirmed: int = 0  # orders that were confirmed in some state
    decided: int = 0  # states that were decided in some schedule
    fault: str = ""
    schedule: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return "\n".join([self.fault or "no fault", *self.schedule])


def bits(number: int) -> Iterator[int]:
    while number:
        low = number & -number
        yield low.bit_length() - 1
        number ^= low


class Numbers(Generic[T]):
    """Values by small numbers, in the order they came."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.values: list[T] = []

    def of(self, key: Any, value: T) -> int:
        number = self.numbers.setdefault(key, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


class Explorer:
    """All states that a case can come to, the nearest first, each looked at once."""

    def __init__(self, case: Case, keep_all: bool = False) -> None:
        """`keep_all`: also messages that can do nothing any more make a difference between two states."""
        self.case, self.keep_all, self.told_only = case, keep_all, False
        self.ips = [node.peers.me.ip for node in case.nodes]
        self.nodes: Numbers[ModelNode] = Numbers()
        self.letters: Numbers[tuple[str, str, bytes]] = Numbers()  # from, to, message
        self.states: Numbers[ControlState] = Numbers()
        self.ends: Numbers[tuple[Proposal, ProposalOutcome]] = Numbers()
        self.orders = {event.order.token: event.order for event in case.events if event.order is not None}
        self.since = {
            e.order.token: self.orders[e.after].configuration_version
            for e in case.events
            if e.order and e.after
        }
        self.last = self.orders.keys() - {event.after for event in case.events}  # that no order waits for
        self.to = [0] * len(self.ips)  # letters by receiver
        self.taken: dict[tuple[int, int], Step] = {}  # door and letter
        self.effect: dict[
            int, tuple[int, int, int]
        ] = {}  # for a door: letters tried, and those that `effects` gives
        self.spent: dict[
            tuple[int, bool], tuple[int, int]
        ] = {}  # letters looked at, and those of no use any more
        self.forgets: dict[int, list[bool]] = {}  # by the events left
        self.moved: dict[tuple[int, Any], Step | None] = {}  # door and what it does by itself
        self.disks: Numbers[Disk] = Numbers()
        self.held: dict[int, int] = {}  # by door: its disk
        self.sound: dict[
            tuple[Any, ...], str
        ] = {}  # what was found of decided states with ends, or with disks
        self.parents: dict[Now, tuple[Now, Any] | None] = {}

    # --- steps of one door ---------------------------------------------------------------------------------

    def finish(self, node: ModelNode, actions: Iterable[Action]) -> Step:
        """Carry out what a door wants done, and number what came of it."""
        sent = ended = 0
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, Save):
                if node.peers.me.ip not in self.case.slow:
                    todo += self.save(node)
            elif isinstance(action, Send):
                assert isinstance(action.message, ConsensusMessage)
                message, pair = action.message, (node.peers.me.ip, action.to)
                lost = isinstance(message, UNHEARD) or (
                    isinstance(message, ProposalsForwarded) and pair not in self.case.hands
                )
                if not lost and action.to in self.ips:
                    sent |= 1 << self.letter(*pair, message)
            elif isinstance(action, ProposalOutcome):
                end = (action.token, action.succeeded, action.conflict, action.state)
                ended |= 1 << self.ends.of(end, (self.orders[action.token], action))
        node.saves.after_current_save, node.saves.after_next_save = (
            once(node.saves.after_current_save),
            once(node.saves.after_next_save),
        )
        orders, answering = node.proposer, node.peers.me.ip not in self.case.deaf
        orders.is_responsive = lambda now, member: answering
        orders.backoff_until, orders.failed_rounds = (
            NEVER,
            0,
        )  # a round that met another hands nothing on by itself
        if not any(
            order.started_at <= orders.confirmed_since and not order.confirmed for order in orders.proposals
        ):
            orders.confirmed_since = -1e9  # it says nothing of orders that come later
        state = node.acceptor.state
        decided = 1 << self.states.of(state, state) if state is not None else 0
        return self.nodes.of(node.key(), node), sent, decided, ended

    @staticmethod
    def save(node: ModelNode) -> list[Action]:
        for name, body in (node.saves.records_being_saved or {}).items():
            if body is None:
                node.records.pop(name, None)
            else:
                node.records[name] = body
        return list(node.on_saved(node.now, node.saves.save_number, True))

    def letter(self, source: str, to: str, message: ConsensusMessage) -> int:
        packed = (source, to, codec.encode(message))
        number = self.letters.of(packed, packed)
        self.to[self.ips.index(to)] |= 1 << number
        return number

    def take(self, number: int, letter: int) -> Step:
        """A message comes."""
        source, _, body = self.letters.values[letter]
        node = self.nodes.values[number].twin()
        return self.finish(node, node.on_message(node.now, source, consensus_message(body)))

    def move(self, number: int, what: Any) -> Step | None:
        """What a door does by itself, or None where it cannot."""
        old = self.nodes.values[number]
        node, me = old.twin(), old.peers.me
        if what == "save":
            return self.finish(node, self.save(node)) if old.saves.records_being_saved is not None else None
        if isinstance(what, int):  # a round, by its count
            held, orders = node.acceptor, node.proposer
            highest = max(orders.highest_count, held.promised[0], (held.decided or (NO_BALLOT,))[0][0])
            wanted = orders.proposals or (held.state and orders.forwarded.applicable(held.state))
            if not wanted or held.state is None or what <= highest:
                return None
            orders.back_off(node.now)
            orders.highest_count, orders.backoff_until = what - 1, -1e9
            actions = node.proceed(node.now)
            return self.finish(node, actions) if orders.round is not None else None
        if isinstance(what, str):  # word of a newer state at another door
            if old.acceptor.state is not None:
                return None  # it has been told
            peer = node.peers.peer(NodeInfo(what, "", "", 0, 1))
            peer.control_versions = (1 << 30, -1)
            node.actions, node.transfer.last_request = [], NOT_SENT
            node.catch_up(node.now)
            actions, node.transfer.last_request = node.actions, NOT_SENT
            node.peers = node.transfer.peers = PeerTable(me, 0.0)
            return self.finish(node, actions)
        if isinstance(what, tuple):  # it hands its orders to another door
            node.actions = []
            node.proposer.forward(what[1])
            return self.finish(node, node.advance(node.now)) if node.proposer.outbox else None
        event: Event = what
        if not event.ready(old):
            return None
        if event.order is not None:
            node.clock += 1
            order = replace(event.order, started_at=float(node.clock))
            return self.finish(node, node.propose(float(node.clock), order))
        if event.what == "fail":
            if old.saves.records_being_saved is None:
                return None
            actions = node.on_saved(node.now, node.saves.save_number, False)
            node.saves.has_failed = False  # as the next tick has it
            return self.finish(node, [*actions, *node.proceed(node.now)])
        wiped = event.what == "wipe"
        about = replace(me, incarnation=me.incarnation + 1, disk_id=me.disk_id + 10 if wiped else me.disk_id)
        new = ModelNode(about, {} if wiped else dict(old.records), old.first and not wiped, [])
        return self.finish(new, new.proceed(new.now))

    def effects(self, number: int, letters: int) -> tuple[int, int]:
        """Messages to a door that change it or end an order there; and these with those that only have it send."""
        tried, changing, useful = self.effect.get(number, (0, 0, 0))
        if new := letters & ~tried:
            for letter in bits(new):
                step = self.taken[number, letter] = self.take(number, letter)
                changing |= (step[0] != number or step[3] != 0) << letter
                useful |= (step[0] != number or step[1] != 0 or step[3] != 0) << letter
            self.effect[number] = (tried | new, changing, useful)
        return changing, useful

    def fragile(self, left: int) -> list[bool]:
        """For each door, whether it may yet forget what it has promised or learnt."""
        if left not in self.forgets:
            events = [self.case.events[n] for n in bits(left)]
            ips = {event.ip for event in events if event.what in ("crash", "wipe")}
            self.forgets[left] = [ip in ips for ip in self.ips]
        return self.forgets[left]

    def then(self, now: Now, at: int, step: Step, left: int, rounds: int) -> Now:
        """What a step of one door leads to, without what was sent and can do nothing any more."""
        nodes, sent, decided, ended, _, _ = now
        new, out, news, ends = step
        moved = (*nodes[:at], new, *nodes[at + 1 :])
        out &= ~sent
        sent |= out
        for n, number in enumerate(moved if not self.keep_all else ()):
            if n == at or out & self.to[n]:
                sent &= ~self.useless(number, sent & self.to[n], self.fragile(left)[n])
        return moved, sent, decided | news, ended | ends, left, rounds

    def useless(self, number: int, letters: int, fragile: bool) -> int:
        """Messages to a door that can do nothing any more."""
        tried, spent = self.spent.get((number, fragile), (0, 0))
        if new := letters & ~tried:
            node, idle = self.nodes.values[number], ~self.effects(number, new)[0]
            for letter in bits(new & idle):
                if spent_at(node, consensus_message(self.letters.values[letter][2]), fragile):
                    spent |= 1 << letter
            self.spent[number, fragile] = (tried | new, spent)
        return spent

    def after(self, now: Now) -> Iterator[tuple[Any, Now]]:
        nodes, sent, _, ended, left, rounds = now
        for at, number in enumerate(nodes):
            for letter in bits(sent & self.effects(number, sent & self.to[at])[1]):
                step = self.taken[number, letter]
                if step[0] != number or step[1] & ~sent or step[3] & ~ended:
                    yield letter, self.then(now, at, step, left, rounds)
            ip = self.ips[at]
            alone: list[tuple[Any, int, int]] = []
            if rounds:
                alone += [(count, left, rounds - 1) for count in self.case.counts.get(ip, ())]
            if ip in self.case.slow:
                alone.append(("save", left, rounds))
            if ip in self.case.asks:
                alone += [(other, left, rounds) for other in self.ips if other != ip]
            alone += [(pair, left, rounds) for pair in self.case.hands if pair[0] == ip]
            for n in bits(left):
                event = self.case.events[n]
                if event.ip == ip and (not event.after or self.has(ended, event.after)):
                    alone.append((event, left & ~(1 << n), rounds))
            for what, *rest in alone:
                key = (number, what if not isinstance(what, Event) else id(what))
                if key not in self.moved:
                    self.moved[key] = self.move(number, what)
                if (own := self.moved[key]) is not None:
                    yield (ip, what), self.then(now, at, own, *rest)

    def has(self, ended: int, token: int) -> bool:
        """Whether an order was confirmed."""
        return any(
            o.token == token and done.succeeded for o, done in (self.ends.values[n] for n in bits(ended))
        )

    # --- all of them ---------------------------------------------------------------------------------------

    def explore(self, most: int, told_only: bool = False) -> Found:
        """Until a fault, or all was seen, or `most` states were.  `told_only` counts as a fault only what those who
        gave orders can see."""
        found, self.told_only = Found(), told_only
        self.spread(found, most)
        good = [order.token for order, done in self.ends.values if done.succeeded]
        found.states, found.steps = len(self.parents), len(self.taken) + len(self.moved)
        found.confirmed, found.decided = len(set(good)), len(self.states.values)
        return found

    def spread(self, found: Found, most: int) -> None:
        numbers: list[int] = []
        sent = decided = 0
        for node in self.case.nodes:
            node.proceed(node.now)
            number, out, news, _ = self.finish(node, self.save(node))
            numbers, sent, decided = [*numbers, number], sent | out, decided | news
        first: Now = (tuple(numbers), sent, decided, 0, (1 << len(self.case.events)) - 1, self.case.rounds)
        self.parents[first] = None
        ring = [first]
        while ring and not found.fault:
            following = []
            for now in ring:
                if fault := self.fault(now):
                    found.fault, found.schedule = fault, self.schedule(now)
                    break
                found.whole = found.whole and len(self.parents) < most
                if not found.whole:
                    continue
                for what, then in self.after(now):
                    if then not in self.parents:
                        self.parents[then] = (now, what)
                        following.append(then)
            ring = following

    # --- what must hold ------------------------------------------------------------------------------------

    def fault(self, now: Now) -> str:
        """What is wrong with a state, or nothing."""
        nodes, _, decided, ended, *_ = now
        if (decided, ended) not in self.sound:
            states = [self.states.values[n] for n in bits(decided)]
            ends = [self.ends.values[n] for n in bits(ended)]
            told = kept(states, ends) or unread(ends, self.since) or undone(states, ends, self.last)
            self.sound[decided, ended] = told or ("" if self.told_only else chain(states))
        if self.told_only or self.sound[decided, ended]:
            return self.sound[decided, ended]
        held = tuple(self.on_disk(number) for number in nodes)
        if (decided, held) not in self.sound:
            newest = max((self.states.values[n] for n in bits(decided)), key=lambda state: state.version)
            disks = {ip: self.disks.values[n] for ip, n in zip(self.ips, held, strict=True)}
            self.sound[decided, held] = copies(newest, disks, self.case.lost)
        return self.sound[decided, held]

    def on_disk(self, number: int) -> int:
        """The number of what a door has on disk."""
        if number not in self.held:
            there = load_acceptor(self.nodes.values[number].records, 0, False)
            states = tuple(pair[1] for pair in (there.accepted, there.decided) if pair is not None)
            disk = (there.disk_id, there.may_bootstrap, states)
            self.held[number] = self.disks.of(disk, disk)
        return self.held[number]

    # --- how it came about ---------------------------------------------------------------------------------

    def schedule(self, now: Now) -> list[str]:
        lines = [f"  {ip} {self.tell(number)}" for ip, number in zip(self.ips, now[0], strict=True)]
        while (came := self.parents[now]) is not None:
            before, what = came
            at = [n for n, (a, b) in enumerate(zip(before[0], now[0], strict=True)) if a != b]
            then = "; ".join(f"{self.ips[n]} {self.tell(now[0][n])}" for n in at)
            if isinstance(what, int):
                source, to, body = self.letters.values[what]
                told = {k: v for k, v in cbor2.loads(body).items() if k not in ("k", "h")}
                text = f"{source} -> {to} {cbor2.loads(body)['k']} {told}"
            elif isinstance(what[1], tuple):
                text = f"{what[0]} hands its orders to {what[1][1]}"
            elif isinstance(what[1], Event):
                text = f"{what[0]} {what[1].what} {what[1].name}"
            elif isinstance(what[1], int):
                text = f"{what[0]} begins a round of count {what[1]}"
            else:
                text = f"{what[0]} " + (
                    "has saved" if what[1] == "save" else f"asks {what[1]} for what is newer"
                )
            ends = [self.ends.values[n] for n in bits(now[3] & ~before[3])]
            text += "".join(
                f" [order {o.token}: {'confirmed' if d.succeeded else d.reason}]" for o, d in ends
            )
            lines.insert(0, f"  {text} => {then}")
            now = before
        return lines

    def tell(self, number: int) -> str:
        held = self.nodes.values[number].acceptor

        def short(pair: tuple[Any, ControlState] | None) -> str:
            if pair is None:
                return "nothing"
            ballot, state = pair
            seats = ",".join(f"{m.ip}/{m.disk_id}" for m in state.members)
            configuration = f"r{state.configuration_version} {state.configuration_digest!r}"
            return f"v{state.version} {configuration} of {seats} at {ballot[0]}.{ballot[2]}"

        promised = f"{held.promised[0]}.{held.promised[2]}"
        return f"has promised {promised}, accepted {short(held.accepted)}, decided {short(held.decided)}"
