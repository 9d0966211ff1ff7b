"""Orders under way at one door, and the rounds of the agreement that carry them out: first promises, then copies."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from hazelspring.consensus.acceptor import Register
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_WORD,
    Ballot,
    Member,
    State,
    majority,
    missing,
    voices_needed,
)
from hazelspring.consensus.forwarding import Carried, Hands, carriable
from hazelspring.consensus.proposal import Done, Order

AGAIN = 0.25  # seconds between sendings to a member that has not answered
WIDTH = 100e6  # bytes a second of a door's link, of a gigabit: all copies of a configuration share it
LONG = 0.7  # seconds after which a round that met another counts on no more answers: two syncs of a slow disk
WAIT = 3.0  # seconds for an order; its sender moves on sooner, and sends it to any door again
LOOK = 0.3  # seconds in which voices may settle what changes nothing, before that takes a round
PAUSE = 0.03  # seconds at least after a round that met another: a part of a round trip between regions,
CARRY = 0.2  # seconds at least that another door has for orders it was handed, before this one goes alone
MOST_PAUSE = 0.3  # doubled each time, up to half of the time for which a round may go first


@dataclass(slots=True, frozen=True)
class Ask:
    """A message of a round to a member."""

    to: str
    message: dict[str, Any]


@dataclass(slots=True)
class Round:
    """One ballot of one door: promises of so many that any majority has one of them, then a majority's acceptances."""

    ballot: Ballot
    base: State  # the newest decided state that its door knows
    best: tuple[Ballot, State]  # the highest that was accepted, of those who promised
    promises: dict[str, tuple[int, bool]] = field(default_factory=dict)
    accepts: dict[str, tuple[int, bool]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    holds: dict[str, list[bytes]] = field(default_factory=dict)  # digests that a member has the bytes of
    sent: dict[str, float] = field(default_factory=dict)
    brought: dict[str, float] = field(
        default_factory=dict
    )  # when a member was sent the configuration's bytes
    words: dict[bytes, bytes] = field(default_factory=dict)  # configurations that came with promises
    target: State | None = None
    began: float = 0.0
    phase_began: float = 0.0
    whole: bool = False  # a configuration came with a promise by differences that lead nowhere here
    put_off: set[str] = field(default_factory=set)  # members that said so to what they were last asked
    met: bool = False  # a member lets another round go first
    wait: float = 0.0  # seconds for which a round that outbid this one may take


class Orders:
    """A door's proposer.  One round at a time carries all its orders; a round that finds a state which may have
    been decided brings that to its end first."""

    def __init__(
        self,
        register: Register,
        me: tuple[str, int],
        chance: random.Random,
        answers: Callable[[float, Member], bool],
    ) -> None:
        """`answers`: whether a member has answered of late."""
        self.register, self.me, self.chance, self.answers = register, me, chance, answers
        self.open: list[Order] = []
        self.round: Round | None = None
        self.dropped = NO_BALLOT  # of the last round that ended without a decision
        self.count = 0  # the highest ballot's count that was heard of
        self.fails, self.pause_until = 0, -1e9
        self.outbox: list[Ask] = []  # that rounds have ended, and orders for other doors
        self.carried, self.hands = Carried(), Hands()
        self.sure_since = -1e9  # when the last round began that a majority has brought to its end

    def begin(self, order: Order) -> None:
        order.version = self.register.version
        self.open.append(order)

    def eager(self, now: float) -> None:
        """A newer state has come: whoever was in the way is done.  Orders that met others go to who decided it, and
        this door goes alone only where they are not carried out in time."""
        met = self.fails > 0 or bool(self.hands.to)
        self.fails, self.pause_until = 0, -1e9
        decided = self.register.decided
        if not met or decided is None or decided[0][2] == self.me[0]:
            return
        if any(carriable(order, decided[1]) for order in self.open):
            self.hand(decided[0][2])
            self.pause_until = now + CARRY * (1 + self.chance.random())

    def hand(self, to: str) -> None:
        """Give orders of operators to the door whose round goes first, for that round or its next."""
        state = self.register.state
        if state is None or to == self.me[0]:
            return
        if rows := self.hands.give(state, to, self.open):
            self.outbox.append(Ask(to, {"k": "hand", "v": state.version, "o": rows}))

    def has(self, kind: str) -> bool:
        return any(order.kind == kind for order in self.open)

    # --- how orders end --------------------------------------------------------------------------------------

    def settle(self, now: float, sure: Callable[[Order], bool]) -> list[Done]:
        """End what the state in force settles.  `sure`: nothing that was decided before the order came can be
        unknown here."""
        state, ended = self.register.state, []
        for order in list(self.open):
            if state is not None and state.version > 0 and not order.sure and sure(order):
                self.open[self.open.index(order)] = order = replace(order, sure=True)
            if state is not None and state.version > 0 and (done := self.ending(order, state, sure)):
                ended.append(done)
            elif now - order.began > WAIT:
                ended.append(Done(order.token, False, self.why()))
            else:
                continue
            self.open.remove(order)
        return [done for done in ended if done.token]

    def ending(self, order: Order, state: State, sure: Callable[[Order], bool]) -> Done | None:
        if order.kind == "settle":
            return Done(order.token, True, state=state) if self.register.pending is None else None
        if order.apply(state) is not state:
            return None
        # that these bytes are in force, or a higher number, stays true whoever tells it; all else may have been so only
        # before the order came, but for the newest of some time since and what was decided above it
        conflicts = order.conflicts(state)
        lasting = order.kind == "put" and state.version > order.version and not conflicts
        if not lasting and not order.sure:
            return None  # what stands here may be old
        if conflicts and not sure(order):
            return None  # it may have been acknowledged below a higher number since
        if conflicts:
            return Done(order.token, False, f"r{state.number} is another body", True, state)
        if order.kind == "read" and state.digest == NO_WORD:
            return Done(order.token, False, "look: no configuration was ever acknowledged", state=state)
        return Done(
            order.token, True, state=state, word=self.register.word() if order.kind == "read" else None
        )

    def why(self) -> str:
        if self.round is None:
            return "look: too few voices"
        current = self.round
        if current.target is None:
            return f"look: {missing(self.asked_sets(current), current.promises, voices_needed)} voices are missing"
        return f"copy: {missing(current.target.sets(), current.accepts, majority)} disks are missing"

    # --- rounds -----------------------------------------------------------------------------------------------

    def step(self, now: float) -> list[Ask]:
        """Bring the round on: begin one where an order needs it, ask again who has not answered."""
        state = self.register.state
        if self.round is not None and self.register.version > self.round.base.version:
            self.drop()  # another door's round has ended: what is left begins from there
        met = self.round is not None and (self.round.refused or self.round.met)
        if met and self.round is not None and now - self.round.phase_began > LONG:
            self.give_up(now)  # who is left does not answer either
        self.carried.sweep(now, state)
        if state is None or not (self.open or self.carried.wanted(state)):
            self.drop()
            return []
        if self.round is None:
            needed = any(self.needs_round(now, order, state) for order in self.open)
            needed = needed or bool(self.carried.wanted(state))
            if now < self.pause_until or not needed:
                return []
            decided = self.register.decided or (NO_BALLOT, state)
            self.count = max(self.count, self.register.promised[0], decided[0][0]) + 1
            self.round = Round(
                (self.count, self.me[1], self.me[0]), state, decided, began=now, phase_began=now
            )
        if self.round.target is None:
            self.choose(now, self.round)
        return self.ask(now, self.round)

    @staticmethod
    def needs_round(now: float, order: Order, state: State) -> bool:
        if order.kind == "settle" or order.apply(state) is not state:
            return True
        return state.version > 0 and now - order.began > LOOK

    def wanted(self, base: State) -> State:
        """What is to follow for all open orders, after those of others; members change by one order at a time."""
        state, moved = base, False
        for handed in self.carried.wanted(base):
            state = handed.apply(state)
        for order in self.open:
            if order.moves_members():
                if moved:
                    continue
                moved = order.apply(state) is not state
            state = order.apply(state)
        if state is base:
            return base
        return replace(state, version=base.version + 1, before=base.members)

    def asked_sets(self, current: Round) -> list[tuple[Member, ...]]:
        """Of whom promises are needed: the members in force, and those of what was found or is wanted."""
        sets = [current.base.members]
        if current.best[1].version > current.base.version:
            sets += current.best[1].sets()
        elif (wanted := self.wanted(current.base)) is not current.base:
            sets += wanted.sets()
        return list(dict.fromkeys(sets))

    def ask(self, now: float, current: Round) -> list[Ask]:
        if current.target is current.base:
            return []  # nothing is to change, and nothing to be accepted
        sets = current.target.sets() if current.target is not None else self.asked_sets(current)
        have = current.accepts if current.target is not None else current.promises
        asks = []
        ips = dict.fromkeys(member.ip for members in sets for member in members)
        for ip in ips:
            if ip in have or ip in current.refused or now - current.sent.get(ip, -1e9) < AGAIN:
                continue
            current.sent[ip] = now
            current.put_off.discard(ip)
            message: dict[str, Any] = {"b": list(current.ballot), "d": current.base.version}
            if current.target is None:  # `e`: a configuration may come by differences
                message |= {"k": "prepare", "h": current.base.digest} | ({} if current.whole else {"e": 1})
            else:
                bringing = self.bytes_for(ip, current.target.digest, current)
                if (word := bringing.get("w")) is not None:
                    # while the bytes may be under way, a member is asked without them, and says that it lacks them
                    under_way = len(word) * len(ips) / WIDTH
                    if now - current.brought.get(ip, -1e9) < max(AGAIN, under_way):
                        bringing = {}
                    else:
                        current.brought[ip] = now
                message |= {"k": "accept", "s": current.target.row()} | bringing
            asks.append(Ask(ip, message))
        return asks

    def bytes_for(self, ip: str, digest: bytes, current: Round) -> dict[str, Any]:
        """What brings a configuration to a member: by what differs from one that it holds, where that is smaller."""
        holds = current.holds.get(ip, [current.base.digest])  # it has not told: most likely the one in force
        if digest == NO_WORD or digest in holds:
            return {}
        word = self.word(digest)
        way = self.register.way(holds, digest, word) if word is not None and ip != self.me[0] else None
        return {"w": word} if way is None else {"x": way}

    def word(self, digest: bytes) -> bytes | None:
        """The bytes of a configuration: held here, come with a promise, or with an order."""
        if digest in self.register.words:
            return self.register.words[digest]
        if self.round is not None and digest in self.round.words:
            return self.round.words[digest]
        known = [*self.open, *self.carried.orders]
        return next((order.word for order in known if order.digest == digest), None)

    # --- what members answer -----------------------------------------------------------------------------------

    def promised(
        self,
        source: str,
        voter: tuple[int, bool],
        ballot: Ballot,
        best: tuple[Ballot, State] | None,
        holds: Iterable[bytes],
        word: bytes | None = None,
    ) -> None:
        """A member promised, and told what it last accepted, with the configuration where that may be new here."""
        current = self.round
        if ballot == self.dropped:  # it overtook the word that this round is over, or came before it
            self.outbox.append(Ask(source, {"k": "over", "b": list(ballot)}))
        if current is None or current.ballot != ballot or current.target is not None:
            return
        current.promises[source], current.holds[source] = voter, list(holds)
        if best is not None and word is not None:
            current.words[best[1].digest] = word
        if best is not None and best[0] > current.best[0]:
            current.best = best

    def choose(self, now: float, current: Round) -> None:
        """Once enough have promised and a majority is there, the round brings a state."""
        if missing(self.asked_sets(current), current.promises, voices_needed):
            return
        found = current.best[1]
        target = found if found.version > current.base.version else self.wanted(current.base)
        if target is not current.base and not self.enough(now, current, target):
            return
        if target.digest != NO_WORD:
            word = self.word(target.digest)
            if word is None:
                return
            current.words[target.digest] = word  # its order may end before the round does
            self.register.differ(current.base.digest, target.digest, word)
        current.target, current.sent, current.refused = target, {}, set()
        current.phase_began, current.put_off, current.met = now, set(), False

    def enough(self, now: float, current: Round, target: State) -> bool:
        """Whether a majority is there to accept.  A state that too few can accept would stay half agreed on, and keep
        all from being sure of the one in force."""
        for members in target.sets():
            answer = {m.ip: (m.disk, m.disk == 0) for m in members if self.answers(now, m)}
            if missing([members], {**answer, **current.promises}, majority):
                return False
        return True

    def accepted(self, source: str, voter: tuple[int, bool], ballot: Ballot) -> None:
        current = self.round
        if current is not None and current.ballot == ballot and current.target is not None:
            current.accepts[source] = voter

    def lacks(self, source: str, ballot: Ballot) -> None:
        """Bytes that were believed to be at a member, or here, are not: now they go, or come, whole."""
        if self.round is not None and self.round.ballot == ballot:
            self.round.whole = True
            self.round.holds[source] = []
            if source not in self.round.brought:  # else they may be under way, and go again in their time
                self.round.sent.pop(source, None)

    def refused(
        self, now: float, source: str, ballot: Ballot, higher: Ballot, wait: float, brought: bool
    ) -> None:
        """A member has promised a higher ballot, or lets another round go first, for some seconds at most: then it is
        asked again.  The round ends where too few are left for it.  `brought`: a state was refused, and not the
        asking for a promise."""
        self.count = max(self.count, higher[0])
        current = self.round
        if current is None or current.ballot != ballot or brought is (current.target is None):
            return
        if wait and not brought:
            current.put_off.add(source)
            current.met = True
            self.hand(higher[2])
            return
        current.refused.add(source)
        if wait:
            self.hand(higher[2])
        current.wait = max(current.wait, wait)
        sets = current.target.sets() if current.target is not None else self.asked_sets(current)
        needed = voices_needed if current.target is None else majority
        have = current.promises if current.target is None else current.accepts
        left = [sum(self.may_answer(now, m, current.refused, have) for m in members) for members in sets]
        if any(count < needed(len(members)) for count, members in zip(left, sets, strict=True)):
            self.give_up(now)

    def may_answer(self, now: float, member: Member, refused: Collection[str], have: Collection[str]) -> bool:
        """Whether a member has answered a round well, or may still: it has not refused, and is there."""
        if member.ip in refused:
            return False
        return member.ip in have or member.ip == self.me[0] or self.answers(now, member)

    def drop(self) -> None:
        """End a round that has decided nothing; members that let it in, or whose promise is still on its way, need
        not keep others waiting for it."""
        if self.round is not None:
            message = {"k": "over", "b": list(self.round.ballot)}
            out = self.round.refused | self.round.put_off
            asked = dict.fromkeys([*self.round.promises, *self.round.sent])
            self.outbox += [Ask(ip, message) for ip in asked if ip not in out]
            self.dropped, self.round = self.round.ballot, None

    def give_up(self, now: float) -> None:
        """End a round that met another, and begin anew above it: once that one has ended, as a newer state tells, or
        has had its time."""
        wait = self.round.wait if self.round is not None else 0.0
        self.drop()
        pause = min(MOST_PAUSE, PAUSE * 2**self.fails) if wait or self.fails else 0.0
        self.fails += 1
        self.pause_until = now + wait + pause * (0.5 + self.chance.random())

    def chosen(self) -> tuple[Ballot, State, bytes | None] | None:
        """What the round has decided, with its configuration, or that the state in force is the newest; the round is
        over then."""
        current = self.round
        if current is None or current.target is None:
            return None
        if current.target is not current.base and missing(current.target.sets(), current.accepts, majority):
            return None
        if current.target is current.base:
            self.drop()
        self.round, self.fails = None, 0
        self.sure_since = max(self.sure_since, current.began)
        return current.ballot, current.target, current.words.get(current.target.digest)
