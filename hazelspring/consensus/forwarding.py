"""Proposals that nodes hand to each other when their rounds meet: what is handed, to whom, and to which versions it may
be applied (docs/control.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.messages import HOLDS_NOTHING, ForwardedChange, HeldConfiguration
from hazelspring.consensus.proposal import Proposal, ProposalKind

FORWARDED_LIFETIME = 1.0  # seconds for which a node keeps a proposal that it was handed
VALID_VERSIONS = (
    2  # versions in a row that a proposal may be applied to: that in force where it was handed, and the next
)
MAX_RECIPIENTS = 2  # nodes that are handed a proposal on one version
MAX_FORWARDED = 64  # proposals that a node keeps of others; what is beyond its own nodes see to

FORWARDABLE_KINDS = (ProposalKind.PUT_CONFIGURATION, ProposalKind.SET_EVACUATION)


def can_forward(proposal: Proposal, state: ControlState) -> bool:
    """Whether a proposal is one that another node may carry: an operator's, which a state does not settle yet."""
    return (
        proposal.token != 0
        and proposal.kind in FORWARDABLE_KINDS
        and state.version > 0
        and proposal.apply(state) is not state
    )


def forwarded_change(proposal: Proposal) -> ForwardedChange:
    """Return an operator's proposal as it is forwarded to another node."""
    return ForwardedChange(
        proposal.kind.value,
        proposal.configuration_version,
        proposal.configuration_digest,
        proposal.configuration,
        proposal.zone,
        proposal.evacuate,
    )


@dataclass(slots=True)
class ForwardedProposal(Proposal):
    """Another node's order, of which nobody here waits for the end.  It may be applied to version `on` and the next
    one and to no other: once it is in force in one of these, whatever undoes it is decided after both, so that a copy
    which is late or comes twice can undo nothing.
    """

    valid_from_version: int = -1
    source: str = ""  # the node that handed it

    def is_valid_for(self, state: ControlState) -> bool:
        """Return whether the proposal may be applied to a state."""
        return 0 <= state.version - self.valid_from_version < VALID_VERSIONS

    def apply(self, state: ControlState) -> ControlState:
        """Return what is to follow a state; the same state where the proposal is not valid for it."""
        # named, as a class with slots is made anew and `super()` would look in the old one
        return Proposal.apply(self, state) if self.is_valid_for(state) else state


@dataclass(slots=True)
class ForwardedProposals:
    """What a node was handed, in the order it came; soft, and ends by itself."""

    proposals: list[ForwardedProposal] = field(default_factory=list)
    waiting_nodes: dict[str, HeldConfiguration] = field(
        default_factory=dict
    )  # nodes that wait for what is under way, and with what

    def add(self, now: float, source: str, on: int, changes: Iterable[ForwardedChange]) -> None:
        """Proposals of another node come, which waits.  One that is here already stays."""
        self.waiting_nodes.setdefault(source, HOLDS_NOTHING)
        for change in changes:
            proposal = ForwardedProposal(
                0,
                now,
                ProposalKind(change.kind),
                change.configuration_version,
                change.configuration_digest,
                change.configuration,
                change.zone,
                change.evacuate,
                valid_from_version=on,
                source=source,
            )
            if len(self.proposals) < MAX_FORWARDED and not any(
                self.is_same(proposal, held) for held in self.proposals
            ):
                self.proposals.append(proposal)

    @staticmethod
    def is_same(one: ForwardedProposal, other: ForwardedProposal) -> bool:
        """Return whether a proposal came twice."""
        return (one.valid_from_version, one.source) == (
            other.valid_from_version,
            other.source,
        ) and forwarded_change(one) == forwarded_change(other)

    def expire(self, now: float, state: ControlState | None) -> None:
        """Forget what is old, or can be applied to no state that may come."""
        version = state.version if state is not None else -1
        self.proposals = [
            o
            for o in self.proposals
            if now - o.started_at <= FORWARDED_LIFETIME and version < o.valid_from_version + VALID_VERSIONS
        ]

    def pop_waiting(self, state: ControlState) -> list[tuple[str, HeldConfiguration]]:
        """Return nodes outside the core that wait for a state which is in force now.

        Those that still have proposals here wait on.
        """
        due = [
            (source, asking)
            for source, asking in self.waiting_nodes.items()
            if state.member_at(source) is None
        ]
        self.waiting_nodes = {
            proposal.source: self.waiting_nodes.get(proposal.source, HOLDS_NOTHING)
            for proposal in self.applicable(state)
        }
        return due

    def applicable(self, base: ControlState) -> list[ForwardedProposal]:
        """Those that a state does not settle yet.  One that it does is left out, as it must not undo what another
        order of the same round makes of it.
        """
        return [proposal for proposal in self.proposals if proposal.apply(base) is not base]


@dataclass(slots=True)
class ProposalForwarder:
    """To whom a node has handed its proposals, on the version in force here."""

    version: int = -1
    tokens_by_node: dict[str, set[int]] = field(default_factory=dict)  # tokens by node

    def select(self, state: ControlState, to: str, proposals: Iterable[Proposal]) -> list[ForwardedChange]:
        """What is to be handed to a node; empty where it has it all, or enough others have."""
        if state.version != self.version:
            self.version, self.tokens_by_node = state.version, {}
        if to not in self.tokens_by_node and len(self.tokens_by_node) >= MAX_RECIPIENTS:
            return []
        had = self.tokens_by_node.setdefault(to, set())
        new = [
            proposal for proposal in proposals if proposal.token not in had and can_forward(proposal, state)
        ]
        had |= {proposal.token for proposal in new}
        return [forwarded_change(proposal) for proposal in new]
