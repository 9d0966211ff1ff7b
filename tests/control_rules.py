"""What must hold in every state that the model comes to: of decided states, of what orders were told, of disks."""

from __future__ import annotations

from collections.abc import Collection

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.proposal import Proposal, ProposalOutcome

Disk = tuple[int, bool, tuple[ControlState, ...]]  # its number, whether it may found, and the states on it


def chain(states: list[ControlState]) -> str:
    """Decided states: one of each version, each of which follows from the one before it."""
    by_version: dict[int, ControlState] = {}
    for state in states:
        if by_version.setdefault(state.version, state) != state:
            return f"two decided states of version {state.version}"
    for state in states:
        if state.version == min(by_version):
            continue
        old = by_version.get(state.version - 1)
        if old is None or state.previous_members != old.members:
            return f"version {state.version} follows from none that was decided"
        if state.configuration_version < old.configuration_version or (
            state.configuration_version == old.configuration_version
            and state.configuration_digest != old.configuration_digest
        ):
            return f"version {state.version} goes back on its configuration"
        moved = {m.ip for m in set(state.members) ^ set(old.members)}
        if old.version and len(moved) > 1:
            return f"version {state.version} changes more than one seat"
    return ""


def kept(states: list[ControlState], ends: list[tuple[Proposal, ProposalOutcome]]) -> str:
    """What orders were told is so, and stays so."""
    bodies: dict[int, bytes] = {}
    for order, done in ends:
        if order.kind != "put" or done.state is None:
            continue
        if done.state not in states:
            return f"order {order.token} was settled by what is not decided"
        held = [s for s in states if s.configuration_version == order.configuration_version]
        if (
            done.succeeded
            and bodies.setdefault(order.configuration_version, order.configuration_digest)
            != order.configuration_digest
        ):
            return f"two bodies under r{order.configuration_version} are confirmed"
        if done.succeeded and any(
            s.version >= done.state.version and s.configuration_version < order.configuration_version
            for s in states
        ):
            return f"r{order.configuration_version} was confirmed and is gone"
        if done.succeeded and any(s.configuration_digest != order.configuration_digest for s in held):
            return f"r{order.configuration_version} was confirmed and another body has its number"
        if done.conflict and any(s.configuration_digest == order.configuration_digest for s in held):
            return f"r{order.configuration_version} was refused and is in force"
    return ""


def undone(
    states: list[ControlState], ends: list[tuple[Proposal, ProposalOutcome]], last: Collection[int]
) -> str:
    """A zone stays as the last order had it, by the tokens of those that no other order came after."""
    for order, done in ends:
        if order.kind != "evacuate" or order.token not in last or not done.succeeded or done.state is None:
            continue
        later = [s for s in states if s.version >= done.state.version]
        if any((order.zone in s.evacuated_zones) is not order.evacuate for s in later):
            return f"{order.zone} was {'closed' if order.evacuate else 'opened'} and is so no more"
    return ""


def copies(newest: ControlState, held: dict[str, Disk], lost: int) -> str:
    """The newest decided state is on a majority of its members' disks, those aside that the case wipes."""
    for members in newest.member_sets():
        have = gone = 0
        for member in members:
            disk, founder, states = held[member.ip]
            if (founder if member.disk_id == 0 else disk == member.disk_id) is False:
                gone += 1
            elif any(s == newest or s.version > newest.version for s in states):
                have += 1
        if gone > lost and members != newest.members:
            continue  # the case wipes more of those before, one at a time
        if gone > lost or have + gone < len(members) // 2 + 1:
            return f"version {newest.version} is on {have} disks of {len(members)}, {gone} wiped"
    return ""


def unread(ends: list[tuple[Proposal, ProposalOutcome]], since: dict[int, int]) -> str:
    """A read shows what was confirmed before it began, or something newer.  `since`: by a read's token, the number."""
    for order, done in ends:
        old = (
            order.kind == "read"
            and done.state is not None
            and done.state.configuration_version < since.get(order.token, -1)
        )
        if old and done.state is not None:
            return f"a read shows r{done.state.configuration_version} after a newer one was confirmed"
    return ""
