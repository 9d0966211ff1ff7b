"""When a proposal has ended, by the state in force at its node."""

from __future__ import annotations

from collections.abc import Callable

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import NO_CONFIGURATION, ControlState
from hazelspring.consensus.proposal import Proposal, ProposalKind, ProposalOutcome


def outcome_of(
    proposal: Proposal, state: ControlState, acceptor: Acceptor, is_confirmed: Callable[[Proposal], bool]
) -> ProposalOutcome | None:
    """Return how a proposal has ended by the state in force here; None where it has not.

    `is_confirmed`: nothing that was decided before the proposal came can be unknown here.
    """
    if proposal.kind == ProposalKind.RESOLVE:
        is_settled = acceptor.pending is None
        return ProposalOutcome(proposal.token, True, state=state) if is_settled else None
    if proposal.apply(state) is not state:
        return None
    # that these bytes are in force, or a higher number, stays true whoever tells it; all else may have been so only
    # before the proposal came, but for the newest of some time since and what was decided above it
    conflicts = proposal.conflicts_with(state)
    lasting = (
        proposal.kind == ProposalKind.PUT_CONFIGURATION
        and state.version > proposal.base_version
        and not conflicts
    )
    if not lasting and not proposal.confirmed:
        return None  # the state here may be old
    if conflicts:
        if not is_confirmed(proposal):
            return None  # it may have been acknowledged below a higher number since
        reason = f"r{state.configuration_version} is another body"
        return ProposalOutcome(proposal.token, False, reason, True, state)
    if proposal.kind != ProposalKind.READ:
        return ProposalOutcome(proposal.token, True, state=state)
    if state.configuration_digest == NO_CONFIGURATION:
        reason = "look: no configuration was ever acknowledged"
        return ProposalOutcome(proposal.token, False, reason, state=state)
    configuration = acceptor.current_configuration()
    return ProposalOutcome(proposal.token, True, state=state, configuration=configuration)
