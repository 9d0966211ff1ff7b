"""Calls of operators and clients while nodes were unreachable, their answers, and the rules that these must keep."""

from __future__ import annotations

import bisect
import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.proposal import Proposal, ProposalKind, ProposalOutcome

from .control_rules import unread

NEVER = float("inf")
PUT, READ, CLOSE, OPEN, STATUS, KEYED = "put", "read", "close", "open", "status", "keyed"
EXPECTED_STATUSES = {
    PUT: (200, 409),
    READ: (200,),
    CLOSE: (200,),
    OPEN: (200,),
    STATUS: (200,),
    KEYED: (200, 401),
}
UNCLEAR = (0, 502, 503, 504)  # no answer, or one that settles nothing


@dataclass(slots=True)
class Call:
    """One call and its answer; times are those of one clock.  `away`: its node was cut off or stopped throughout."""

    what: str
    node: int
    sent: float
    body: bytes = b""  # of an order
    number: int = -1  # of an order, or as it was read
    zone: str = ""
    key: str = ""
    away: bool = False
    ended: float = NEVER
    status: int = 0
    answer: bytes = b""

    def __str__(self) -> str:
        about = self.key or self.zone or f"r{self.number}"
        return f"{self.what} {about} at node {self.node}, {self.sent:.3f} to {self.ended:.3f}: {self.status}"


@dataclass
class History:
    """All calls of a case, as they ended; `judge` returns every violation of a rule."""

    revocation: (
        float  # seconds for which a key may still be accepted after the change that removes it was confirmed
    )
    evacuation: float  # seconds after which a confirmed evacuation is seen at all connected nodes
    calls: list[Call] = field(default_factory=list)
    leaving: float = NEVER  # when the change was confirmed that removes the key `leaving` and brings `coming`
    offered: float = NEVER  # when it was sent

    def judge(self) -> list[str]:
        return [*self.answers(), *self.reads(), *self.bodies(), *self.zones(), *self.keys()]

    def of(self, *kinds: str) -> list[Call]:
        return [call for call in self.calls if call.what in kinds]

    def good(self, *kinds: str) -> list[Call]:
        return [call for call in self.of(*kinds) if call.status == 200]

    def answers(self) -> Iterable[str]:
        for call in self.calls:
            if call.status not in EXPECTED_STATUSES[call.what] and call.status not in UNCLEAR:
                yield f"unexpected status: {call}"

    def reads(self) -> Iterable[str]:
        """No read shows less than what was confirmed, or read, before it was sent."""
        known = sorted((call.ended, call.number) for call in self.good(PUT, READ))
        floors = list(itertools.accumulate((number for _, number in known), max))
        ended = [at for at, _ in known]
        for token, call in enumerate(self.good(READ), 1):
            before = bisect.bisect_left(ended, call.sent)
            since = {token: floors[before - 1]} if before else {}
            shown = ProposalOutcome(
                token, True, state=ControlState(0, (), (), configuration_version=call.number)
            )
            if fault := unread([(Proposal(token, call.sent, ProposalKind.READ), shown)], since):
                yield f"{fault}: {call}"

    def bodies(self) -> Iterable[str]:
        """One number, one body: of reads, of confirmed changes and of refused ones."""
        shown: dict[int, bytes] = {}
        for call in self.good(READ):
            if shown.setdefault(call.number, call.answer) != call.answer:
                yield f"another body was shown before: {call}"
        puts = self.of(PUT)
        for call in self.good(PUT):
            above = any(other.number > call.number and other.sent < call.ended for other in puts)
            if not above and shown.setdefault(call.number, call.body) != call.body:
                yield f"another body was shown or confirmed: {call}"
        for call in puts:
            if call.status == 409 and shown.get(call.number) == call.body:
                yield f"refused, and in force: {call}"
            rivals = (
                o for o in puts if o.number == call.number and o.body != call.body and o.sent < call.ended
            )
            if call.status == 409 and next(rivals, None) is None:
                yield f"refused, and there is no other body: {call}"

    def zones(self) -> Iterable[str]:
        """What was confirmed of a zone is so at the connected nodes, until the contrary is requested."""
        asked = self.of(CLOSE, OPEN)
        for call in self.good(CLOSE, OPEN):
            contrary = [o.sent for o in asked if o.zone == call.zone and o.what != call.what]
            if any(call.sent <= sent for sent in contrary):
                continue
            before = [o for o in asked if o.zone == call.zone and o.what != call.what and o.ended > call.sent]
            if before:
                continue  # one that had not ended then may have taken effect after it
            for seen in self.good(STATUS):
                closed = call.zone in json.loads(seen.answer)["closedZones"]
                if (
                    seen.sent > call.ended + self.evacuation
                    and not seen.away
                    and closed is not (call.what == CLOSE)
                ):
                    yield f"confirmed, and not so: {call}; {seen}"
                    break

    def keys(self) -> Iterable[str]:
        """A removed key is accepted for so long and no longer; no key is refused that is in force all the time."""
        late = self.leaving + self.revocation
        for call in self.of(KEYED):
            if call.key == "leaving":
                due = call.status != 401 or call.ended > self.offered
                if call.status == 200 and call.sent > late:
                    yield f"a removed key was accepted: {call}"
            elif call.key == "coming":
                due = call.status != 401 or call.sent < late
                if call.status == 200 and call.ended < self.offered:
                    yield f"a key was accepted that was never in force: {call}"
            else:
                due = call.status != 401
            if not due:
                yield f"a key refused that is in force: {call}"
