"""Determines whether the decided state at a proposal's node settles the proposal, and with which outcome."""

from __future__ import annotations

from collections.abc import Callable

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import NO_CONFIGURATION, ControlState
from hazelspring.consensus.proposal import Proposal, ProposalKind, ProposalOutcome

OVERTAKEN = "a later change came first"


def outcome_of(
    proposal: Proposal, state: ControlState, acceptor: Acceptor, is_confirmed: Callable[[Proposal], bool]
) -> ProposalOutcome | None:
    """Return the outcome of a proposal; None if the decided state at this node does not settle it yet.

    Parameters
    ----------
    proposal
        An open proposal of this node.
    state
        The newest state that this node knows as decided.
    acceptor
        The node's acceptor, for the accepted state that may still be undecided, and for the configuration.
    is_confirmed
        Returns whether this node knows every state that was decided before the proposal was submitted.
    """
    if proposal.kind == ProposalKind.RESOLVE:
        is_settled = acceptor.pending is None
        return ProposalOutcome(proposal.token, True, state=state) if is_settled else None
    if proposal.apply(state) is not state or lacks_new_version(proposal, state):
        is_lost = proposal.is_overtaken_at(state)
        return ProposalOutcome(proposal.token, False, OVERTAKEN) if is_lost else None
    # Once the proposed configuration or one with a higher number is in force, this remains so, whichever
    # node reports it.  Any other effect may have been undone by a state that is not known here yet, even
    # before the proposal was submitted.  The effect was in force after the submission if the state known
    # here was the newest decided one at some time since then, or was decided after a state that was.  The
    # proposal then has a confirmed version.
    conflicts = proposal.conflicts_with(state)
    lasting = (
        proposal.kind == ProposalKind.PUT_CONFIGURATION
        and state.version > proposal.base_version
        and not conflicts
    )
    if not lasting and proposal.confirmed_version is None:
        return None  # the state known here may be outdated
    if conflicts:
        if not is_confirmed(proposal):
            return None  # it may have been acknowledged since, before a higher number came into force
        reason = f"r{state.configuration_version} is another body"
        return ProposalOutcome(proposal.token, False, reason, True, state)
    if proposal.kind != ProposalKind.READ:
        return ProposalOutcome(proposal.token, True, state=state)
    if state.configuration_digest == NO_CONFIGURATION:
        reason = "look: no configuration was ever acknowledged"
        return ProposalOutcome(proposal.token, False, reason, state=state)
    configuration = acceptor.current_configuration()
    return ProposalOutcome(proposal.token, True, state=state, configuration=configuration)


def lacks_new_version(proposal: Proposal, state: ControlState) -> bool:
    """Return whether a proposal waits for a version above the one that was the newest after its submission."""
    if not proposal.needs_new_version():
        return False
    return proposal.confirmed_version is None or state.version <= proposal.confirmed_version
