"""One door's part in the control state: its register and proposer, their messages and saves, and what it learns."""

from __future__ import annotations

import random
from collections.abc import Mapping

from hazelspring.consensus.acceptor import Lacking, Register, load
from hazelspring.consensus.control_state import (
    LINEAGE,
    NO_BALLOT,
    NO_WORD,
    Ballot,
    State,
    ballot_of,
    founding,
    lineage,
    majority,
    state_of,
    voices_needed,
)
from hazelspring.consensus.proposal import Order
from hazelspring.consensus.proposer import Orders
from hazelspring.membership.peer_table import Peers
from hazelspring.membership.rendezvous import owner
from hazelspring.node.actions import Changed, Deed, Message, Save, Send
from hazelspring.node.reconfiguration import Membership

WORD, ZONES, MEMBERS = "word", "zones", "members"  # what may be seen anew; the core's members
HOLD = 1.0  # seconds for which a round that was let in may go first: syncs of a slow disk and round trips
ASK_AGAIN = 0.3  # seconds until what was asked for is asked for again, of another door
NOBODY = (-1e9, "", -1, False)


class Control:
    """`records`: what the disk held.  Messages and times in, deeds out; see docs/control.md."""

    def __init__(
        self, now: float, peers: Peers, records: Mapping[str, bytes], first: bool, seeds: list[str]
    ) -> None:
        me = peers.me
        self.peers = peers
        self.register = load(records, me.disk, first) if me.disk else Register(0, first)
        if first and self.register.decided is None and seeds:
            self.register.decided = (NO_BALLOT, founding(seeds))
            self.register.stale.add("decided")
        self.orders = Orders(self.register, (me.ip, me.life), random.Random(me.life), peers.answers)
        self.members = Membership(now, peers, self.register, self.orders, first)
        self.marks: dict[str, bytes | None] = {}  # other records that are to be written
        self.serial = 0
        self.saving: dict[str, bytes | None] | None = None  # on their way to the disk
        self.held_up: list[tuple[str, Message]] = []  # answers that wait for the save under way,
        self.queued: list[tuple[str, Message]] = []  # and for the next one
        self.failed = False
        self.guest = NOBODY  # whose round is under way here: until when, whose, on what base, and whether it has chosen
        self.own: list[Message] = []  # messages of this door to itself
        self.asked: tuple[float, int] = (-1e9, 0)  # when a newer state was asked for, and how often
        self.behind: dict[str, None] = {}  # doors that told of a lower lineage than the one here
        self.deeds: list[Deed] = []
        if self.register.version > 0:
            self.peers.seat(self.register.state.members)  # type: ignore[union-attr]

    # --- what is known -------------------------------------------------------------------------------------

    @property
    def state(self) -> State | None:
        """The state in force as far as this door knows; none before the core was founded."""
        return self.register.state if self.register.version > 0 else None

    def held(self) -> list[int]:
        """What others are told: the version in force here, and the one that may be."""
        pending = self.register.pending
        told = pending.version if pending is not None else -1
        return [
            self.register.version,
            max(told, self.register.fence * LINEAGE) if self.register.fenced() else told,
        ]

    def told_of(self, source: str, version: int) -> None:
        """Another door told of the version in force there."""
        self.register.hear_of(version)
        if lineage(version) < lineage(self.register.version):
            self.behind[source] = None

    def silent(self, now: float) -> dict[str, int]:
        """Members that this one takes for silent; the numbers say nothing."""
        state = self.state
        return {member.ip: 1 for member in self.members.silent(now, state)} if state is not None else {}

    def seated(self) -> bool:
        state = self.state
        return state is not None and state.seated(self.peers.me.ip, self.register.disk)

    def needed(self) -> bool:
        """Whether this member holds what no majority besides it has told of yet, so that it should not end."""
        state = self.state
        if state is None or not self.seated():
            return False
        others = self.members.others(state)
        have = sum(peer.held is not None and peer.held[0] >= state.version for peer in others)
        return have < min(len(state.members) - 1, majority(len(state.members)))

    def voices(self, now: float) -> list[float]:
        """For each member that told of nothing above the state in force here: when it was asked."""
        state = self.state
        if state is None or self.register.fenced():
            return []
        times = self.peers.voices(state.members, state.version)
        if self.seated() and self.register.pending is None:
            times.append(now)
        return sorted(times, reverse=True)

    def fresh_at(self, now: float) -> float:
        """All that was decided up to then is known here: one of so many voices would have told."""
        state, times = self.state, self.voices(now)
        if state is None or state.digest == NO_WORD:
            return -1e9
        needed = voices_needed(len(state.members))
        return times[needed - 1] if len(times) >= needed else -1e9

    def sure(self, order: Order, now: float) -> bool:
        """Whether the state in force here holds all that was decided before an order came."""
        state = self.state
        if state is None or self.register.fenced():
            return False
        since = order.began
        told = sum(at >= since for at in self.voices(now))
        return self.orders.sure_since >= since or told >= voices_needed(len(state.members))

    # --- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Deed]:
        self.deeds = []
        self.failed = False
        self.members.tick(now)
        return self.advance(now)

    def begin(self, now: float, order: Order) -> list[Deed]:
        self.deeds = []
        self.orders.begin(order)
        return self.advance(now)

    def proceed(self, now: float) -> list[Deed]:
        """What others have told of themselves may settle an order."""
        self.deeds = []
        return self.advance(now)

    def advance(self, now: float) -> list[Deed]:
        """Bring orders and rounds on as far as they go, and save what has changed."""
        while True:
            if self.register.fenced():
                self.orders.drop()
            idle = self.orders.round is None
            waits = idle and (
                self.register.fenced() or self.busy(now, self.peers.me.ip, self.register.version)
            )
            for ask in () if waits else self.orders.step(now):
                self.emit(ask.to, ask.message)
            while self.orders.outbox:
                ask = self.orders.outbox.pop()
                self.emit(ask.to, ask.message)
            if self.own:
                self.take(now, self.peers.me.ip, self.own.pop(0))
                continue
            if (decided := self.orders.chosen()) is not None:
                self.decided(now, *decided)
                continue
            break
        self.deeds += self.orders.settle(now, lambda order: self.sure(order, now))
        self.catch_up(now)
        self.flush()
        return self.deeds

    def decided(self, now: float, ballot: Ballot, state: State, word: bytes | None) -> None:
        """A round of this door has ended: tell all whom it concerns."""
        if state.version <= self.register.version:
            return  # nothing was to change
        self.learn(now, ballot, state, word)
        message = {"k": "decided", "b": list(ballot), "s": state.row()}
        for ip in dict.fromkeys(member.ip for members in state.sets() for member in members):
            if ip != self.peers.me.ip:
                self.emit(ip, message)

    def learn(self, now: float, ballot: Ballot, state: State, word: bytes | None) -> None:
        before = self.register.state
        if not self.register.learn(ballot, state, word):
            return
        self.guest = NOBODY
        self.orders.eager(now)
        for source, message in self.orders.carried.told(state):  # members hear it from who has decided
            self.tell(source, message)
        if before is None or state.digest != before.digest:
            self.deeds.append(Changed(WORD))
        if before is None or state.closed != before.closed:
            self.deeds.append(Changed(ZONES))
        if before is None or state.members != before.members:
            self.peers.seat(state.members)
            self.members.changed(now, before)
            self.deeds.append(Changed(MEMBERS))

    def catch_up(self, now: float) -> None:
        """Ask for a newer state that another door has told of, whole; the nearest first, each in turn."""
        while self.behind:
            self.tell(self.behind.popitem()[0], {})
        has = self.peers.holding_above(self.register.version)
        at, times = self.asked
        if has and now - at >= ASK_AGAIN:
            alive = [ip for ip in has if self.peers.alive(now, ip)] or has
            self.want(alive[times % len(alive)])
            self.asked = (now, times + 1)

    def want(self, of: str, whole: bool = False) -> None:
        """Ask a door for the state in force there, and for its configuration: `e`, by what differs from that here."""
        state = self.register.state
        holds = state.digest if state is not None else NO_WORD
        message: Message = {"k": "want", "v": self.register.version, "h": holds}
        self.emit(of, message if whole else message | {"e": 1})

    # --- the disk --------------------------------------------------------------------------------------------

    def answer(self, to: str, message: Message) -> None:
        """Send an answer once all that it stands for is on disk."""
        if self.register.stale and self.peers.me.disk:
            self.queued.append((to, message))
        elif self.saving is not None:
            self.held_up.append((to, message))
        else:
            self.emit(to, message)

    def mark(self, name: str, body: bytes) -> None:
        self.marks[name] = body

    def flush(self) -> None:
        """Write what is to be written, one save at a time."""
        if not self.peers.me.disk:
            self.register.stale.clear()
            return
        if self.saving is not None or self.failed or not (self.register.stale or self.marks):
            return
        self.saving = {**self.register.take_records(), **self.marks}
        self.marks = {}
        self.held_up, self.queued = self.queued, []
        self.serial += 1
        self.deeds.append(Save(self.serial, self.saving))

    def saved(self, now: float, serial: int, good: bool) -> list[Deed]:
        """A save has ended.  What waited for one that failed gets no answer, and its sender asks again."""
        self.deeds = []
        if serial != self.serial or self.saving is None:
            return self.deeds
        records, answers = self.saving, self.held_up
        self.saving, self.held_up = None, []
        if good:
            for to, message in answers:
                self.emit(to, message)
        else:
            self.failed = True  # until the next tick
            marks = {name: body for name, body in records.items() if name.startswith("mark ")}
            self.register.not_saved({name: body for name, body in records.items() if name not in marks})
            self.marks = {**marks, **self.marks}
        return self.advance(now)

    # --- messages ----------------------------------------------------------------------------------------------

    def emit(self, to: str, message: Message) -> None:
        if to == self.peers.me.ip:
            self.own.append(message)
        else:
            self.deeds.append(Send(to, message))

    def heard(self, now: float, source: str, message: Message) -> list[Deed]:
        self.deeds = []
        self.take(now, source, message)
        return self.advance(now)

    def take(self, now: float, source: str, message: Message) -> None:
        match message["k"]:
            case "prepare" | "accept":
                self.on_ask(now, source, message)
            case "promise":
                self.on_promise(source, message)
            case "accepted":
                self.orders.accepted(source, (message["u"][0], message["u"][1]), ballot_of(message["b"]))
            case "no":
                higher = ballot_of(message["p"])
                wait = message["w"] / 1000
                self.orders.refused(now, source, ballot_of(message["b"]), higher, wait, message["a"])
            case "over":
                if self.guest[1] == source and ballot_of(message["b"]) >= self.register.promised:
                    self.guest = NOBODY
            case "lack":
                self.orders.lacks(source, ballot_of(message["b"]))
            case "hand":
                self.orders.carried.take(now, source, message["v"], message["o"])
            case "want":
                self.on_want(source, message)
            case "decided":
                self.on_decided(now, source, message)

    def on_ask(self, now: float, source: str, message: Message) -> None:
        """Another door's round, or this door's own, asks for a promise or brings a state."""
        register = self.register
        if not register.disk and not register.founder:
            return  # no seat can be here
        if message["d"] < register.version:
            self.tell(source, message)
        theirs, own = lineage(message["d"]), lineage(register.version)
        register.hear_of(message["d"])
        if theirs > own:
            self.want(source)
        if theirs != own or self.register.fenced():
            return  # a round is of one lineage, as all that its members accept
        if message["k"] == "prepare":
            self.on_prepare(now, source, message)
        else:
            self.on_accept(now, source, message)

    def on_prepare(self, now: float, source: str, message: Message) -> None:
        register, held = self.register, self.register.accepted
        if self.busy(now, source, message["d"]):
            self.refuse(now, source, message, waits=True)
        elif not register.prepare(ballot_of(message["b"])):
            self.refuse(now, source, message, waits=False)
        else:
            self.guest = (now + HOLD, source, message["d"], False)
            told: Message = {"k": "promise", "b": message["b"], "u": [register.disk, register.founder]}
            told |= {"h": list(register.words), "a": [list(held[0]), held[1].row()] if held else None}
            if held is not None and held[1].version > message["d"] and held[1].digest != message["h"]:
                told |= register.parcel(held[1].digest, message)
            self.answer(source, told)

    def on_promise(self, source: str, message: Message) -> None:
        ballot, best, word = ballot_of(message["b"]), message["a"], message.get("w")
        found, current = (ballot_of(best[0]), state_of(best[1])) if best else None, self.orders.round
        asked = current is not None and current.ballot == ballot and current.target is None
        if found is not None and "x" in message and asked:
            word = self.orders.word(found[1].digest) or self.register.walk(message["x"], found[1].digest)
            if word is None:
                self.orders.lacks(source, ballot)
                return
        disk, founder = message["u"]
        self.orders.promised(source, (disk, founder), ballot, found, message["h"], word)

    def on_accept(self, now: float, source: str, message: Message) -> None:
        register, ballot, state = self.register, ballot_of(message["b"]), state_of(message["s"])
        try:
            word = self.register.opened(message, state.digest) if ballot >= register.promised else None
            accepted = register.accept(ballot, state, word)
        except Lacking:
            self.emit(source, {"k": "lack", "b": message["b"]})
            return
        if not accepted:  # who is outbid while it brings a state lets the higher ballot end first
            self.refuse(now, source, message, waits=self.guest[1] != source)
            return
        self.guest = (now + HOLD, source, message["d"], True)
        self.answer(source, {"k": "accepted", "b": message["b"], "u": [register.disk, register.founder]})

    def refuse(self, now: float, source: str, message: Message, waits: bool) -> None:
        """Answer no; `waits`: for no longer than another door's round may take here."""
        wait = max(0, int(1000 * (self.guest[0] - now))) if waits else 0
        if wait:
            self.orders.carried.waiting[source] = message
        told = {"k": "no", "b": message["b"], "p": list(self.register.promised), "w": wait}
        self.emit(source, {**told, "a": message["k"] == "accept"})

    def busy(self, now: float, source: str, base: int) -> bool:
        """Whether another door's round goes first here.  Who knows the newer state does; of two that know the same
        one, who has a majority's promises, or else whom the hash of it names.  So rounds that meet do not outbid each
        other for ever, and none is first always."""
        until, guest, its_base, chose = self.guest
        if now >= until or guest == source:
            return False
        if base != its_base:
            return base < its_base
        return chose or owner(f"version {base}", (guest, source)) == guest

    def tell(self, to: str, asking: Message) -> None:
        """The state in force here, with its configuration where the other, by its message, has not got it."""
        if self.register.decided is None or self.register.version <= 0 or self.register.fenced():
            return
        ballot, state = self.register.decided
        message: Message = {"k": "decided", "b": list(ballot), "s": state.row()}
        if state.digest not in (NO_WORD, asking.get("h", NO_WORD)):
            message |= self.register.parcel(state.digest, asking)
        self.emit(to, message)

    def on_want(self, source: str, message: Message) -> None:
        if message["v"] < self.register.version:
            self.tell(source, message)

    def on_decided(self, now: float, source: str, message: Message) -> None:
        state = state_of(message["s"])
        try:
            word = (
                self.register.opened(message, state.digest) if state.version > self.register.version else None
            )
            self.learn(now, ballot_of(message["b"]), state, word)
            self.asked = (-1e9, self.asked[1])
        except Lacking:
            self.want(source, whole="x" in message)
