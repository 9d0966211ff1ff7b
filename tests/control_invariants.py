"""Invariants of the control state: of decided states, of the outcomes of proposals, and of the disks.

Each function returns the violation that it finds, or an empty text.
"""

from __future__ import annotations

from collections.abc import Collection

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.proposal import Proposal, ProposalOutcome

Disk = tuple[
    int, bool, tuple[ControlState, ...]
]  # its number, whether it may take part in the bootstrap, and its states


def check_history(states: list[ControlState]) -> str:
    """Check that one state was decided for each version, and that each follows from the preceding one."""
    by_version: dict[int, ControlState] = {}
    for state in states:
        if by_version.setdefault(state.version, state) != state:
            return f"two decided states of version {state.version}"
    for state in states:
        if state.version == min(by_version):
            continue
        previous = by_version.get(state.version - 1)
        if previous is None or state.previous_members != previous.members:
            return f"version {state.version} does not follow from a decided state"
        if state.configuration_version < previous.configuration_version or (
            state.configuration_version == previous.configuration_version
            and state.configuration_digest != previous.configuration_digest
        ):
            return f"version {state.version} reverts the configuration"
        changed = {m.ip for m in set(state.members) ^ set(previous.members)}
        if previous.version and len(changed) > 1:
            return f"version {state.version} changes more than one member"
    return ""


def check_configurations(states: list[ControlState], outcomes: list[tuple[Proposal, ProposalOutcome]]) -> str:
    """Check that each outcome of a configuration's proposal is true and remains true."""
    bodies: dict[int, bytes] = {}
    for proposal, outcome in outcomes:
        if proposal.kind != "put" or outcome.state is None:
            continue
        if outcome.state not in states:
            return f"proposal {proposal.token} was settled by a state that is not decided"
        with_number = [s for s in states if s.configuration_version == proposal.configuration_version]
        if (
            outcome.succeeded
            and bodies.setdefault(proposal.configuration_version, proposal.configuration_digest)
            != proposal.configuration_digest
        ):
            return f"two bodies were confirmed as r{proposal.configuration_version}"
        if outcome.succeeded and any(
            s.version >= outcome.state.version and s.configuration_version < proposal.configuration_version
            for s in states
        ):
            return f"r{proposal.configuration_version} was confirmed but is no longer in force"
        if outcome.succeeded and any(
            s.configuration_digest != proposal.configuration_digest for s in with_number
        ):
            return f"r{proposal.configuration_version} was confirmed but another body has its number"
        if outcome.conflict and any(
            s.configuration_digest == proposal.configuration_digest for s in with_number
        ):
            return f"r{proposal.configuration_version} was refused but is in force"
    return ""


def check_evacuations(
    states: list[ControlState],
    outcomes: list[tuple[Proposal, ProposalOutcome]],
    final_tokens: Collection[int],
) -> str:
    """Check that each zone stays as its last proposal, one with a token in `final_tokens`, has set it."""
    for proposal, outcome in outcomes:
        if (
            proposal.kind != "evacuate"
            or proposal.token not in final_tokens
            or not outcome.succeeded
            or outcome.state is None
        ):
            continue
        later = [s for s in states if s.version >= outcome.state.version]
        if any((proposal.zone in s.evacuated_zones) is not proposal.evacuate for s in later):
            return (
                f"{proposal.zone} was {'evacuated' if proposal.evacuate else 'reopened'} but is so no longer"
            )
    return ""


def check_replication(newest: ControlState, disks: dict[str, Disk], max_wiped: int) -> str:
    """Check that the newest decided state is on a majority of disks, with up to `max_wiped` wiped."""
    for members in newest.member_sets():
        copies_found = wiped = 0
        for member in members:
            disk_id, may_bootstrap, states = disks[member.ip]
            if (may_bootstrap if member.disk_id == 0 else disk_id == member.disk_id) is False:
                wiped += 1
            elif any(s == newest or s.version > newest.version for s in states):
                copies_found += 1
        if wiped > max_wiped and members != newest.members:
            continue  # more disks of the preceding members were wiped, one at a time
        if wiped > max_wiped or copies_found + wiped < len(members) // 2 + 1:
            return f"version {newest.version} is on {copies_found} disks of {len(members)}, {wiped} wiped"
    return ""


def check_reads(outcomes: list[tuple[Proposal, ProposalOutcome]], minimum_versions: dict[int, int]) -> str:
    """Check that a read shows a configuration at least as new as any that was confirmed before it began.

    `minimum_versions` holds, by a read's token, the lowest version number that it may show.
    """
    for proposal, outcome in outcomes:
        is_outdated = (
            proposal.kind == "read"
            and outcome.state is not None
            and outcome.state.configuration_version < minimum_versions.get(proposal.token, -1)
        )
        if is_outdated and outcome.state is not None:
            return f"a read shows r{outcome.state.configuration_version} after a newer one was confirmed"
    return ""
