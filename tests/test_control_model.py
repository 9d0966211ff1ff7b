"""Every schedule of small cores is seen: what was decided or confirmed stays so; each mend taken out is found.

The bounds: one or two orders beside changes of members; at most one loss of power, one failed save and one wiped disk;
two to four rounds of all doors together, with ballots of the counts that a case names; a wiped door asks others only
until it knows a state.  Saves take a step of their own at the door that loses power; elsewhere a late save is no more
than a late answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

import hazelspring.consensus.acceptor
import hazelspring.consensus.control_state
from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import NO_BALLOT, ControlState, Member
from hazelspring.consensus.forwarding import VALID_VERSIONS
from hazelspring.consensus.messages import OutgoingMessage, Promise
from hazelspring.consensus.proposal import BootstrapProposal, Proposal, ProposalKind
from hazelspring.consensus.proposer import Proposer
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.control_replica import ControlReplica

from .control_model import Case, Explorer, Found
from .control_node import Event, ModelNode

MOST = 1_000_000  # states: no case comes near, and what memory holds

# --- the cases ---------------------------------------------------------------------------------------------


def seats(*ips: str) -> tuple[Member, ...]:
    return tuple(Member(ip, "", "", int(ip[1:])) for ip in ips)


def core(*ips: str, new: str = "", bare: str = "") -> list[ModelNode]:
    """Members who agree on version 1, a door beside them with an empty disk, and one without a disk."""
    members = seats(*ips)
    state, nodes = ControlState(1, members, members, len(members)), []
    for ip in (*ips, *([new] if new else ()), *([bare] if bare else ())):
        disk = 0 if ip == bare else int(ip[1:])
        nodes.append(ModelNode(NodeInfo(ip, "", "", disk, 1), {}, ip in ips, []))
        nodes[-1].acceptor.learn(NO_BALLOT, state)
    return nodes


def upto(count: int, *ips: str) -> dict[str, tuple[int, ...]]:
    """Ballots of any count up to one, at some doors."""
    return dict.fromkeys(ips, tuple(range(1, count + 1)))


def put(ip: str, token: int, body: bytes, number: int = 2) -> Event:
    order = Proposal(
        token,
        0.0,
        ProposalKind.PUT_CONFIGURATION,
        configuration_version=number,
        configuration_digest=body,
        configuration=body * 3,
    )
    return Event("order", ip, order, name=f"r{number} {body!r}")


def join(ip: str, token: int, disk: int) -> Event:
    order = Proposal(token, 0.0, ProposalKind.JOIN, member=Member(ip, "", "", disk))

    def ready(node: ModelNode) -> bool:  # as Membership.tick asks
        state = node.acceptor.state
        return node.acceptor.disk_id == disk and state is not None and not state.is_member(ip, disk)

    return Event("order", ip, order, ready, f"disk {disk} joins")


def race(*ips: str, count: int, rounds: int, deaf: str = "") -> Case:
    """Two bodies under one number, at two doors."""
    events = [put("d1", 1, b"a"), put("d2", 2, b"b")]
    return Case(core(*ips), events, upto(count, "d1", "d2"), rounds, deaf=frozenset({deaf}))


def restart(ip: str, count: int, rounds: int, *, fails: bool = False) -> Case:
    """The same; at any moment a member loses power and comes back without what was not saved, or a save fails."""
    events = [put("d1", 1, b"a"), put("d2", 2, b"b"), Event("crash", ip)]
    events += [Event("fail", ip)] if fails else []
    return Case(core("d1", "d2", "d3"), events, upto(count, "d1", "d2"), rounds, slow=frozenset({ip}))


def wipe(orders: int, count: int, rounds: int) -> Case:
    """A member's disk is wiped; it asks what is in force and joins by a new number, while orders race."""
    puts = [put("d1", 1, b"a"), put("d2", 2, b"b")][:orders]
    events = [*puts, Event("wipe", "d3"), join("d3", 3, 13)]
    return Case(
        core("d1", "d2", "d3"), events, upto(count, "d1", "d2", "d3"), rounds, asks=frozenset({"d3"}), lost=1
    )


def change(leaver: str, by: str, rounds: int, **counts: tuple[int, ...]) -> Case:
    """A fourth door joins and a member retires, as a core of three has one too many, while an order races."""

    def ready(node: ModelNode) -> bool:  # as Membership.retire asks
        state = node.acceptor.state
        return state is not None and len(state.members) > state.target_size

    order = Proposal(4, 0.0, ProposalKind.RETIRE, member=seats(leaver)[0])
    retire = Event("order", by, order, ready, f"{leaver} retires")
    return Case(
        core("d1", "d2", "d3", new="d4"), [put("d1", 1, b"a"), join("d4", 3, 4), retire], counts, rounds
    )


def by_hand(count: int, rounds: int) -> Case:
    """Operators take out two members, each by an order to the other, while a third door has an order of its own."""
    events = [put("d3", 1, b"a")]
    for token, ip, other in ((4, "d1", "d2"), (5, "d2", "d1")):
        order = Proposal(token, 0.0, ProposalKind.RETIRE, member=Member(other), by_operator=True)
        events.append(Event("order", ip, order, name=f"takes {other} out"))
    counts = {**upto(count, "d1"), **upto(count + 1, "d2"), "d3": (count,)}
    return Case(core("d1", "d2", "d3"), events, counts, rounds)


def bare(count: int, rounds: int) -> Case:
    """A door without a disk, and so without promises of its own, has two orders after each other."""
    orders = [put("d4", 1, b"a"), put("d4", 2, b"b", number=3)]
    return Case(core("d1", "d2", "d3", bare="d4"), orders, upto(count, "d4"), rounds)


def reader(count: int, rounds: int) -> Case:
    """Once an order is confirmed, a door without a disk reads."""
    read = Event("order", "d4", Proposal(9, 0.0, ProposalKind.READ), name="reads", after=1)
    nodes = core("d1", "d2", "d3", bare="d4")
    return Case(nodes, [put("d1", 1, b"a"), read], upto(count, "d1", "d4"), rounds)


def evacuate(ip: str, token: int, closed: bool, after: int = 0) -> Event:
    order = Proposal(token, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=closed)
    return Event("order", ip, order, name=f"z1 {'closes' if closed else 'opens'}", after=after)


def handed(rounds: int, **counts: tuple[int, ...]) -> Case:
    """A zone's closing is handed to another door; once it is confirmed, a third door opens the zone."""
    events = [evacuate("d1", 1, True), evacuate("d3", 2, False, after=1)]
    return Case(core("d1", "d2", "d3"), events, counts, rounds, hands=frozenset({("d1", "d2")}))


def handed_on(count: int, rounds: int) -> Case:
    """Two bodies under one number, of which one is handed to the door that has the other."""
    case = race("d1", "d2", "d3", count=count, rounds=rounds)
    return replace(case, hands=frozenset({("d1", "d2")}))


def founding(count: int, rounds: int) -> Case:
    """Two of three seeds choose the first members, each itself alone: the widest that two choices differ."""
    ips = ("d1", "d2", "d3")
    nodes = [ModelNode(NodeInfo(ip, "", "", int(ip[1:]), 1), {}, True, list(ips)) for ip in ips]
    chosen = [
        BootstrapProposal(5, 0.0, ProposalKind.BOOTSTRAP, members=seats("d1")),
        BootstrapProposal(6, 0.0, ProposalKind.BOOTSTRAP, members=seats("d2")),
    ]
    return Case(
        nodes,
        [Event("order", ip, o) for ip, o in zip(ips, chosen, strict=False)],
        upto(count, "d1", "d2"),
        rounds,
    )


CASES: dict[str, Callable[[], Case]] = {
    "three members, two orders": lambda: race("d1", "d2", "d3", count=2, rounds=4),
    "four members, two orders": lambda: race("d1", "d2", "d3", "d4", count=2, rounds=2),
    "four members, one of the doors deaf": lambda: race("d1", "d2", "d3", "d4", count=1, rounds=2, deaf="d2"),
    "a member comes back with its disk": lambda: restart("d3", count=1, rounds=2),
    "a proposer comes back with its disk": lambda: restart("d2", count=1, rounds=2, fails=True),
    "a wiped disk joins by a new number": lambda: wipe(1, count=2, rounds=2),
    "from three to four to three": lambda: change("d3", "d2", 3, d1=(1, 2), d2=(2,), d4=(1,)),
    "two members are taken out by hand": lambda: by_hand(count=2, rounds=3),
    "a door without a disk": lambda: bare(count=2, rounds=2),
    "a read after a confirmation": lambda: reader(count=2, rounds=2),
    "a closing is handed on, and opened": lambda: handed(3, d1=(1,), d2=(1, 2, 3), d3=(2, 3)),
    "one of two bodies is handed on": lambda: handed_on(count=2, rounds=2),
    "two foundings": lambda: founding(count=2, rounds=4),
}


def explore(name: str, told_only: bool = False) -> Found:
    found = Explorer(CASES[name]()).explore(MOST, told_only)
    print(found)  # with the schedule of a fault
    return found


# --- as the program stands -----------------------------------------------------------------------------------


@pytest.mark.parametrize("name", CASES)
def test_no_schedule_within_the_bounds_goes_back_on_anything(name: str) -> None:
    found = explore(name)
    assert not found.fault
    assert found.whole
    orders = [event for event in CASES[name]().events if event.order is not None]
    assert found.confirmed == len(orders)  # each of them in some schedule


def test_no_node_is_kept_from_a_state_by_leaving_out_messages_that_can_do_nothing() -> None:
    seen = []
    for keep_all in (False, True):
        explorer = Explorer(race("d1", "d2", "d3", count=1, rounds=2), keep_all)
        assert explorer.explore(MOST).whole
        keys = [node.key() for node in explorer.nodes.values]
        seen.append({tuple(keys[number] for number in now[0]) for now in explorer.parents})
    assert seen[0] == seen[1]


# --- each mend taken out -------------------------------------------------------------------------------------

Patch = pytest.MonkeyPatch


def copies_one_less(patch: Patch) -> None:
    patch.setattr("hazelspring.consensus.proposer.majority", lambda members: max(1, members // 2))


def voices_one_less(patch: Patch) -> None:
    needed = hazelspring.consensus.control_state.read_quorum
    patch.setattr("hazelspring.consensus.proposer.read_quorum", lambda members: needed(members) - 1)


def any_disk(patch: Patch) -> None:
    patch.setattr(hazelspring.consensus.control_state, "is_vote_of", lambda member, voter: True)


def new_set_only(patch: Patch) -> None:
    patch.setattr(ControlState, "member_sets", lambda state: [state.members])


def old_set_unasked(patch: Patch) -> None:
    asked = Proposer.prepare_member_sets
    patch.setattr(ControlState, "member_sets", lambda state: [state.members])
    patch.setattr(Proposer, "prepare_member_sets", lambda orders, current: asked(orders, current)[-1:])


def promise_forgotten(patch: Patch) -> None:
    def forgetful(*args: Any) -> Acceptor:
        found = hazelspring.consensus.acceptor.load_acceptor(*args)
        found.promised = NO_BALLOT
        return found

    patch.setattr("hazelspring.node.control_replica.load_acceptor", forgetful)


def promise_unkept(patch: Patch) -> None:
    accept = Acceptor.accept

    def lax(register: Acceptor, ballot: Any, state: ControlState, word: bytes | None = None) -> bool:
        register.promised = min(register.promised, ballot)
        return accept(register, ballot, state, word)

    patch.setattr(Acceptor, "accept", lax)


def answers_unsaved(patch: Patch) -> None:
    patch.setattr(ControlReplica, "reply_when_durable", ControlReplica.send)


def undecided_left(patch: Patch) -> None:
    promised = Proposer.on_promise

    def blind(orders: Proposer, source: str, message: Promise, packed: bytes | None = None) -> None:
        promised(orders, source, replace(message, accepted=None), packed)

    patch.setattr(Proposer, "on_promise", blind)


def count_forgotten(patch: Patch) -> None:
    step = Proposer.advance

    def forgetful(orders: Proposer, now: float) -> list[OutgoingMessage]:
        orders.highest_count = 0  # a door without a seat promises nothing that would keep its ballots apart
        return step(orders, now)

    patch.setattr(Proposer, "advance", forgetful)


def highest_digest(patch: Patch) -> None:
    apply = Proposal.apply

    def by_digest(order: Proposal, state: ControlState) -> ControlState:
        if order.kind == ProposalKind.PUT_CONFIGURATION and (
            order.configuration_version,
            order.configuration_digest,
        ) > (
            state.configuration_version,
            state.configuration_digest,
        ):
            return replace(
                state,
                configuration_version=order.configuration_version,
                configuration_digest=order.configuration_digest,
            )
        return apply(order, state)

    patch.setattr(Proposal, "apply", by_digest)


def never_unsure(patch: Patch) -> None:
    patch.setattr(ControlReplica, "is_confirmed_for", lambda control, order, now: True)


def spans(patch: Patch, versions: int) -> None:
    patch.setattr("hazelspring.consensus.forwarding.VALID_VERSIONS", versions)
    patch.setattr("tests.control_node.VALID_VERSIONS", versions)


def handed_for_ever(patch: Patch) -> None:
    spans(patch, 1000)


def handed_too_long(patch: Patch) -> None:
    spans(patch, VALID_VERSIONS + 1)


GONE, TAKEN = "r2 was confirmed and is gone", "r2 was confirmed and another body has its number"
MENDS = [  # the case, and what is found: first of all, or first of what those who gave orders were told
    (copies_one_less, "three members, two orders", "version 2 is on 1 disks of 3", False),
    (copies_one_less, "three members, two orders", TAKEN, True),
    (voices_one_less, "three members, two orders", TAKEN, True),
    (voices_one_less, "four members, two orders", TAKEN, True),
    (any_disk, "a wiped disk joins by a new number", GONE, True),
    (new_set_only, "two foundings", "two decided states of version 1", False),
    (old_set_unasked, "a wiped disk joins by a new number", GONE, True),
    (promise_forgotten, "a member comes back with its disk", TAKEN, True),
    (promise_unkept, "three members, two orders", TAKEN, True),
    (answers_unsaved, "a member comes back with its disk", TAKEN, True),
    (undecided_left, "three members, two orders", TAKEN, True),
    (highest_digest, "three members, two orders", TAKEN, True),
    (handed_for_ever, "a closing is handed on, and opened", "z1 was opened and is so no more", True),
    (handed_too_long, "a closing is handed on, and opened", "z1 was opened and is so no more", True),
    (never_unsure, "a read after a confirmation", "a read shows r-1 after a newer one", True),
]


@pytest.mark.parametrize(("mend", "name", "fault", "told_only"), MENDS)
def test_a_mend_that_is_taken_out_is_found(
    mend: Callable[[Patch], None], name: str, fault: str, told_only: bool, monkeypatch: Patch
) -> None:
    mend(monkeypatch)
    found = explore(name, told_only)
    assert fault in found.fault
    assert any("begins a round" in line for line in found.schedule)


def test_a_ballot_that_is_used_twice_is_found(monkeypatch: Patch) -> None:
    """All messages are kept here: that some can do nothing any more is true of ballots that are used once."""
    count_forgotten(monkeypatch)
    found = Explorer(CASES["a door without a disk"](), keep_all=True).explore(MOST)
    assert "version 2 is on 0 disks of 3" in found.fault, str(found)
