"""One order: what it wants to follow a state, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hazelspring.consensus.control_state import NO_CONFIGURATION, ControlState, Member


@dataclass(slots=True)
class Proposal:
    """What an operator or this door wants: `kind` is put, evacuate, read, join, retire or settle.  `token` is 0
    where nobody waits for an answer."""

    token: int
    started_at: float
    kind: str
    configuration_version: int = -1
    configuration_digest: bytes = NO_CONFIGURATION
    configuration: bytes | None = None
    zone: str = ""
    evacuate: bool = False
    member: Member | None = None
    grows_core: bool = False  # a join that makes the core larger by intent
    by_operator: bool = False  # a member goes, and the core is meant to be smaller from then on
    base_version: int = -1  # of the state in force here when it came
    confirmed: bool = False  # once after it came, what was in force here was the newest

    def apply(self, state: ControlState) -> ControlState:
        """What is to follow a state for this order; the same state where nothing is to change."""
        if state.version == 0:
            return state  # nothing is agreed on before the first members are
        if self.kind == "put" and self.configuration_version > state.configuration_version:
            return replace(
                state,
                configuration_version=self.configuration_version,
                configuration_digest=self.configuration_digest,
            )
        if self.kind == "evacuate" and (self.zone in state.evacuated_zones) is not self.evacuate:
            return replace(state, evacuated_zones=state.evacuated_zones ^ {self.zone})
        if self.kind == "join" and self.member is not None and self.member not in state.members:
            others = [member for member in state.members if member.ip != self.member.ip and member.disk_id]
            size = state.target_size + (self.grows_core and state.member_at(self.member.ip) is None)
            return replace(state, members=tuple(sorted([*others, self.member])), target_size=size)
        if self.kind == "retire" and self.by_operator:
            left = tuple(m for m in state.members if self.member is None or m.ip != self.member.ip)
            if not left or left == state.members:
                return state
            return replace(state, members=left, target_size=min(state.target_size, len(left)))
        if self.kind == "retire" and self.member in state.members and len(state.members) > state.target_size:
            return replace(state, members=tuple(m for m in state.members if m != self.member))
        return state

    def conflicts_with(self, state: ControlState) -> bool:
        """Whether another body was decided under this order's number."""
        return (
            self.kind == "put"
            and self.configuration_version == state.configuration_version
            and self.configuration_digest != state.configuration_digest
        )

    def changes_members(self) -> bool:
        return self.kind in ("join", "retire", "found")


@dataclass(slots=True)
class BootstrapProposal(Proposal):
    """The first members, chosen by whoever wins the founding."""

    members: tuple[Member, ...] = ()

    def apply(self, state: ControlState) -> ControlState:
        if state.version != 0:
            return state
        return replace(state, members=self.members, target_size=len(self.members))


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """How an order ended.  `conflict`: the number is taken by another body.  `state`: what it was settled by;
    `word`: the configuration that was read, packed."""

    token: int
    succeeded: bool
    reason: str = ""
    conflict: bool = False
    state: ControlState | None = None
    configuration: bytes | None = None
