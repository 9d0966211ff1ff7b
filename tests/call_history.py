"""Calls of operators and clients while nodes were unreachable, and the rules for their answers."""

from __future__ import annotations

import bisect
import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.proposal import Proposal, ProposalKind, ProposalOutcome

from .control_invariants import check_reads

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
UNCLEAR = (0, 502, 503, 504)  # no answer, or a status that leaves the outcome open


@dataclass(slots=True)
class Call:
    """One call and its answer; all times are in seconds of the same clock."""

    kind: str
    node: int
    sent: float
    body: bytes = b""  # of a PUT
    number: int = -1  # the configuration number that a PUT sent or a READ returned
    zone: str = ""
    key: str = ""
    unreachable: bool = False  # the node was cut off or stopped when the call was sent
    ended: float = NEVER
    status: int = 0
    answer: bytes = b""

    def __str__(self) -> str:
        about = self.key or self.zone or f"r{self.number}"
        return f"{self.kind} {about} at node {self.node}, {self.sent:.3f} to {self.ended:.3f}: {self.status}"


@dataclass
class History:
    """All calls of a case and their results."""

    # seconds for which a key may still be accepted after the change that removes it was confirmed
    revocation: float
    evacuation: float  # seconds after which all connected nodes show a confirmed evacuation
    calls: list[Call] = field(default_factory=list)
    # when the change that removes the key `old-key` and adds `new-key` was confirmed, and when it was sent
    change_confirmed: float = NEVER
    change_sent: float = NEVER

    def violations(self) -> list[str]:
        return [
            *self.check_statuses(),
            *self.check_reads(),
            *self.check_bodies(),
            *self.check_zones(),
            *self.check_keys(),
        ]

    def calls_of(self, *kinds: str) -> list[Call]:
        return [call for call in self.calls if call.kind in kinds]

    def successful(self, *kinds: str) -> list[Call]:
        return [call for call in self.calls_of(*kinds) if call.status == 200]

    def check_statuses(self) -> Iterable[str]:
        for call in self.calls:
            if call.status not in EXPECTED_STATUSES[call.kind] and call.status not in UNCLEAR:
                yield f"unexpected status: {call}"

    def check_reads(self) -> Iterable[str]:
        """No read shows an older configuration than one that was confirmed or read before it was sent."""
        known = sorted((call.ended, call.number) for call in self.successful(PUT, READ))
        floors = list(itertools.accumulate((number for _, number in known), max))
        ended = [at for at, _ in known]
        for token, call in enumerate(self.successful(READ), 1):
            before = bisect.bisect_left(ended, call.sent)
            since = {token: floors[before - 1]} if before else {}
            shown = ProposalOutcome(
                token, True, state=ControlState(0, (), (), configuration_version=call.number)
            )
            if fault := check_reads([(Proposal(token, call.sent, ProposalKind.READ), shown)], since):
                yield f"{fault}: {call}"

    def check_bodies(self) -> Iterable[str]:
        """Reads, confirmed changes and refused changes agree on one body for each number."""
        shown: dict[int, bytes] = {}
        for call in self.successful(READ):
            if shown.setdefault(call.number, call.answer) != call.answer:
                yield f"another body was shown before: {call}"
        puts = self.calls_of(PUT)
        for call in self.successful(PUT):
            above = any(other.number > call.number and other.sent < call.ended for other in puts)
            if not above and shown.setdefault(call.number, call.body) != call.body:
                yield f"another body was shown or confirmed: {call}"
        for call in puts:
            if call.status == 409 and shown.get(call.number) == call.body:
                yield f"refused, but its body is in force: {call}"
            rivals = (
                o for o in puts if o.number == call.number and o.body != call.body and o.sent < call.ended
            )
            if call.status == 409 and next(rivals, None) is None:
                yield f"refused, but no call sent another body: {call}"

    def check_zones(self) -> Iterable[str]:
        """Connected nodes show a confirmed change of a zone until a call requests the opposite."""
        changes = self.calls_of(CLOSE, OPEN)
        for call in self.successful(CLOSE, OPEN):
            opposite = [o.sent for o in changes if o.zone == call.zone and o.kind != call.kind]
            if any(call.sent <= sent for sent in opposite):
                continue
            before = [
                o for o in changes if o.zone == call.zone and o.kind != call.kind and o.ended > call.sent
            ]
            if before:
                continue  # a call that was still pending then may have taken effect after this one
            for status in self.successful(STATUS):
                closed = call.zone in json.loads(status.answer)["closedZones"]
                if (
                    status.sent > call.ended + self.evacuation
                    and not status.unreachable
                    and closed is not (call.kind == CLOSE)
                ):
                    yield f"confirmed, but not in effect: {call}; {status}"
                    break

    def check_keys(self) -> Iterable[str]:
        """A removed key is accepted only for `revocation` seconds; a key in force is never refused."""
        end_of_acceptance = self.change_confirmed + self.revocation
        for call in self.calls_of(KEYED):
            if call.key == "old-key":
                is_correct = call.status != 401 or call.ended > self.change_sent
                if call.status == 200 and call.sent > end_of_acceptance:
                    yield f"a removed key was accepted too late: {call}"
            elif call.key == "new-key":
                is_correct = call.status != 401 or call.sent < end_of_acceptance
                if call.status == 200 and call.ended < self.change_sent:
                    yield f"a key was accepted before it was added: {call}"
            else:
                is_correct = call.status != 401
            if not is_correct:
                yield f"a key that is in force was refused: {call}"
