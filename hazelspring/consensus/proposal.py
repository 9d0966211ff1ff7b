"""One order: what it wants to follow a state, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hazelspring.consensus.control_state import NO_WORD, Member, State


@dataclass(slots=True)
class Order:
    """What an operator or this door wants: `kind` is put, evacuate, read, join, retire or settle.  `token` is 0
    where nobody waits for an answer."""

    token: int
    began: float
    kind: str
    number: int = -1
    digest: bytes = NO_WORD
    word: bytes | None = None
    zone: str = ""
    closed: bool = False
    member: Member | None = None
    grows: bool = False  # a join that makes the core larger by intent
    by_hand: bool = False  # a member goes, and the core is meant to be smaller from then on
    version: int = -1  # of the state in force here when it came
    sure: bool = False  # once after it came, what was in force here was the newest

    def apply(self, state: State) -> State:
        """What is to follow a state for this order; the same state where nothing is to change."""
        if state.version == 0:
            return state  # nothing is agreed on before the first members are
        if self.kind == "put" and self.number > state.number:
            return replace(state, number=self.number, digest=self.digest)
        if self.kind == "evacuate" and (self.zone in state.closed) is not self.closed:
            return replace(state, closed=state.closed ^ {self.zone})
        if self.kind == "join" and self.member is not None and self.member not in state.members:
            others = [member for member in state.members if member.ip != self.member.ip and member.disk]
            size = state.size + (self.grows and state.seat(self.member.ip) is None)
            return replace(state, members=tuple(sorted([*others, self.member])), size=size)
        if self.kind == "retire" and self.by_hand:
            left = tuple(m for m in state.members if self.member is None or m.ip != self.member.ip)
            if not left or left == state.members:
                return state
            return replace(state, members=left, size=min(state.size, len(left)))
        if self.kind == "retire" and self.member in state.members and len(state.members) > state.size:
            return replace(state, members=tuple(m for m in state.members if m != self.member))
        return state

    def conflicts(self, state: State) -> bool:
        """Whether another body was decided under this order's number."""
        return self.kind == "put" and self.number == state.number and self.digest != state.digest

    def moves_members(self) -> bool:
        return self.kind in ("join", "retire", "found")


@dataclass(slots=True)
class Founding(Order):
    """The first members, chosen by whoever wins the founding."""

    members: tuple[Member, ...] = ()

    def apply(self, state: State) -> State:
        if state.version != 0:
            return state
        return replace(state, members=self.members, size=len(self.members))


@dataclass(slots=True, frozen=True)
class Done:
    """How an order ended.  `conflict`: the number is taken by another body.  `state`: what it was settled by;
    `word`: the configuration that was read, packed."""

    token: int
    good: bool
    why: str = ""
    conflict: bool = False
    state: State | None = None
    word: bytes | None = None
