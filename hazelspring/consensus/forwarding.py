"""Proposals that nodes forward to each other when their rounds compete (docs/control.md).

This module determines which proposals are forwarded, to which nodes, and to which versions the recipient may
apply them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.messages import KNOWS_NOTHING, ForwardedChange, KnownConfiguration
from hazelspring.consensus.proposal import Proposal, ProposalKind

# Seconds for which a node keeps a proposal that another node forwarded to it.
FORWARDED_LIFETIME = 1.0
# Successive versions to which a forwarded configuration may be applied: the one decided at the sender, and the next.
VALID_VERSIONS = 2
# Nodes to which a node forwards its proposals while one version is in force.
MAX_RECIPIENTS = 2
# Forwarded proposals that a node keeps.  Further ones are dropped; they are left to rounds of the nodes that
# forwarded them.
MAX_FORWARDED = 64

FORWARDABLE_KINDS = (ProposalKind.PUT_CONFIGURATION, ProposalKind.SET_EVACUATION)


def can_forward(proposal: Proposal, state: ControlState) -> bool:
    """Return whether a proposal may be forwarded.

    It must be an operator's change that a caller waits for and that the decided state does not contain yet.
    """
    return (
        proposal.token != 0
        and proposal.kind in FORWARDABLE_KINDS
        and state.version > 0
        and proposal.may_be_applied_to(state)
        and proposal.apply(state) is not state
    )


def forwarded_change(proposal: Proposal) -> ForwardedChange:
    """Return the message part that forwards an operator's proposal to another node."""
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
    """A proposal that another node has forwarded; no caller at this node waits for its outcome.

    A configuration may be applied to the version V (`valid_from_version`) and to V+1.  Any other order may be
    applied to V only, at which its caller waited for it: an order that undoes it makes a version above V
    before it is confirmed, so that a duplicate or a late message cannot be carried out after it.

    Attributes
    ----------
    valid_from_version
        The version that was decided at the sender when it forwarded the proposal.
    source
        The address of the node that forwarded it.
    """

    valid_from_version: int = -1
    source: str = ""

    def is_valid_for(self, state: ControlState) -> bool:
        """Return whether the proposal may be applied to a state."""
        return 0 <= state.version - self.valid_from_version < self.valid_versions()

    def valid_versions(self) -> int:
        """Return to how many successive versions the proposal may be applied."""
        return 1 if self.needs_binding() else VALID_VERSIONS

    def apply(self, state: ControlState) -> ControlState:
        """Return `state` with this proposal applied, or `state` itself if it is not valid for it."""
        # The base class is named because `dataclass(slots=True)` creates a new class, and `super()` refers
        # to the old one.
        return Proposal.apply(self, state) if self.is_valid_for(state) else state


@dataclass(slots=True)
class ForwardedProposals:
    """The proposals that other nodes have forwarded to this one, in the order of their arrival.

    They are kept in memory only, and expire after `FORWARDED_LIFETIME`.

    Attributes
    ----------
    proposals
        The forwarded proposals.
    waiting_nodes
        The nodes that wait for the outcome of a round: by address, the configuration that the node knows.
    """

    proposals: list[ForwardedProposal] = field(default_factory=list)
    waiting_nodes: dict[str, KnownConfiguration] = field(default_factory=dict)

    def add(self, now: float, source: str, base_version: int, changes: Iterable[ForwardedChange]) -> None:
        """Keep proposals forwarded by another node, and record that this other node waits for their outcome.

        Duplicates of proposals that are kept already are dropped, and so are proposals beyond
        `MAX_FORWARDED`.

        Parameters
        ----------
        now
            Seconds of the node's clock.
        source
            The address of the node that forwarded them.
        base_version
            The version that was decided at that node when it forwarded them.
        changes
            The proposals.
        """
        self.waiting_nodes.setdefault(source, KNOWS_NOTHING)
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
                valid_from_version=base_version,
                source=source,
            )
            if len(self.proposals) < MAX_FORWARDED and not any(
                self.is_same(proposal, kept) for kept in self.proposals
            ):
                self.proposals.append(proposal)

    @staticmethod
    def is_same(one: ForwardedProposal, other: ForwardedProposal) -> bool:
        """Return whether two forwarded proposals are the same one, received twice."""
        return (one.valid_from_version, one.source) == (
            other.valid_from_version,
            other.source,
        ) and forwarded_change(one) == forwarded_change(other)

    def expire(self, now: float, state: ControlState | None) -> None:
        """Remove proposals that are too old, or that are valid for no version that can still come after `state`."""
        version = state.version if state is not None else -1
        self.proposals = [
            proposal
            for proposal in self.proposals
            if now - proposal.started_at <= FORWARDED_LIFETIME
            and version < proposal.valid_from_version + proposal.valid_versions()
        ]

    def pop_waiting(self, state: ControlState) -> list[tuple[str, KnownConfiguration]]:
        """Return the nodes outside the core that wait for the state decided now, with the configurations they hold.

        The caller sends them that state; members get it from the proposer that decided it.  Afterwards only
        nodes whose proposals are not fulfilled yet are waiting.
        """
        due = [
            (source, known) for source, known in self.waiting_nodes.items() if state.member_at(source) is None
        ]
        self.waiting_nodes = {
            proposal.source: self.waiting_nodes.get(proposal.source, KNOWS_NOTHING)
            for proposal in self.applicable(state)
        }
        return due

    def applicable(self, base: ControlState) -> list[ForwardedProposal]:
        """Return the proposals that change a state.

        A proposal that the state fulfils already is left out, so that it cannot undo a change by another
        proposal of the same round.
        """
        return [proposal for proposal in self.proposals if proposal.apply(base) is not base]


@dataclass(slots=True)
class ProposalForwarder:
    """Remembers which proposals this node has forwarded to which nodes since `version` was decided.

    `tokens_by_node` holds the tokens of the forwarded proposals, by the recipient's address.
    """

    version: int = -1
    tokens_by_node: dict[str, set[int]] = field(default_factory=dict)

    def select(self, state: ControlState, to: str, proposals: Iterable[Proposal]) -> list[ForwardedChange]:
        """Return the proposals to be forwarded to a node now, and record them as forwarded.

        The list is empty if all of them were sent to the node already, or if `MAX_RECIPIENTS` other
        nodes were sent proposals while this version was in force.
        """
        if state.version != self.version:
            self.version, self.tokens_by_node = state.version, {}
        if to not in self.tokens_by_node and len(self.tokens_by_node) >= MAX_RECIPIENTS:
            return []
        forwarded = self.tokens_by_node.setdefault(to, set())
        new = [
            proposal
            for proposal in proposals
            if proposal.token not in forwarded and can_forward(proposal, state)
        ]
        forwarded |= {proposal.token for proposal in new}
        return [forwarded_change(proposal) for proposal in new]
