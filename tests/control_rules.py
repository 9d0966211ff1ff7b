"""What must hold in every state that the model comes to: of decided states, of what orders were told, of disks."""

from __future__ import annotations

from collections.abc import Collection

from hazelspring.consensus.control_state import State
from hazelspring.consensus.proposal import Done, Order

Disk = tuple[int, bool, tuple[State, ...]]  # its number, whether it may found, and the states on it


def chain(states: list[State]) -> str:
    """Decided states: one of each version, each of which follows from the one before it."""
    by_version: dict[int, State] = {}
    for state in states:
        if by_version.setdefault(state.version, state) != state:
            return f"two decided states of version {state.version}"
    for state in states:
        if state.version == min(by_version):
            continue
        old = by_version.get(state.version - 1)
        if old is None or state.before != old.members:
            return f"version {state.version} follows from none that was decided"
        if state.number < old.number or (state.number == old.number and state.digest != old.digest):
            return f"version {state.version} goes back on its configuration"
        moved = {m.ip for m in set(state.members) ^ set(old.members)}
        if old.version and len(moved) > 1:
            return f"version {state.version} changes more than one seat"
    return ""


def kept(states: list[State], ends: list[tuple[Order, Done]]) -> str:
    """What orders were told is so, and stays so."""
    bodies: dict[int, bytes] = {}
    for order, done in ends:
        if order.kind != "put" or done.state is None:
            continue
        if done.state not in states:
            return f"order {order.token} was settled by what is not decided"
        held = [s for s in states if s.number == order.number]
        if done.good and bodies.setdefault(order.number, order.digest) != order.digest:
            return f"two bodies under r{order.number} are confirmed"
        if done.good and any(s.version >= done.state.version and s.number < order.number for s in states):
            return f"r{order.number} was confirmed and is gone"
        if done.good and any(s.digest != order.digest for s in held):
            return f"r{order.number} was confirmed and another body has its number"
        if done.conflict and any(s.digest == order.digest for s in held):
            return f"r{order.number} was refused and is in force"
    return ""


def undone(states: list[State], ends: list[tuple[Order, Done]], last: Collection[int]) -> str:
    """A zone stays as the last order had it, by the tokens of those that no other order came after."""
    for order, done in ends:
        if order.kind != "evacuate" or order.token not in last or not done.good or done.state is None:
            continue
        later = [s for s in states if s.version >= done.state.version]
        if any((order.zone in s.closed) is not order.closed for s in later):
            return f"{order.zone} was {'closed' if order.closed else 'opened'} and is so no more"
    return ""


def copies(newest: State, held: dict[str, Disk], lost: int) -> str:
    """The newest decided state is on a majority of its members' disks, those aside that the case wipes."""
    for members in newest.sets():
        have = gone = 0
        for member in members:
            disk, founder, states = held[member.ip]
            if (founder if member.disk == 0 else disk == member.disk) is False:
                gone += 1
            elif any(s == newest or s.version > newest.version for s in states):
                have += 1
        if gone > lost and members != newest.members:
            continue  # the case wipes more of those before, one at a time
        if gone > lost or have + gone < len(members) // 2 + 1:
            return f"version {newest.version} is on {have} disks of {len(members)}, {gone} wiped"
    return ""


def unread(ends: list[tuple[Order, Done]], since: dict[int, int]) -> str:
    """A read shows what was confirmed before it began, or something newer.  `since`: by a read's token, the number."""
    for order, done in ends:
        old = (
            order.kind == "read" and done.state is not None and done.state.number < since.get(order.token, -1)
        )
        if old and done.state is not None:
            return f"a read shows r{done.state.number} after a newer one was confirmed"
    return ""
