"""Every schedule of small cores within bounds is explored: decided and confirmed states must remain so.

Further tests remove one safeguard each, and check that the model detects it.

The bounds: one or two proposals besides changes of members; at most one loss of power, one failed save and
one wiped disk; two to four rounds of all nodes together, with the ballot counters that a case lists; a node
with a wiped disk requests states from others only until it knows one.  Saves take a step of their own only
at the node that loses power; at other nodes a late save has the same effect as a late reply.
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
from hazelspring.consensus.forwarding import VALID_VERSIONS, ForwardedProposal
from hazelspring.consensus.messages import OutgoingMessage, Promise
from hazelspring.consensus.proposal import BootstrapProposal, Proposal, ProposalKind
from hazelspring.consensus.proposer import Proposer
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.control_replica import ControlReplica

from .control_model import Case, ExplorationResult, Explorer
from .control_node import Event, ModelNode

MAX_STATES = 1_000_000  # more than any case reaches; bounds the memory of a run

# --- the cases ---------------------------------------------------------------------------------------------


def members_at(*ips: str) -> tuple[Member, ...]:
    return tuple(Member(ip, "", "", int(ip[1:])) for ip in ips)


def make_core(*ips: str, new: str = "", diskless: str = "") -> list[ModelNode]:
    """Return members that know version 1, and other nodes: `new` has an empty disk, `diskless` none."""
    members = members_at(*ips)
    state, nodes = ControlState(1, members, members, len(members)), []
    for ip in (*ips, *([new] if new else ()), *([diskless] if diskless else ())):
        disk = 0 if ip == diskless else int(ip[1:])
        nodes.append(ModelNode(NodeInfo(ip, "", "", disk, 1), {}, ip in ips, []))
        nodes[-1].acceptor.learn(NO_BALLOT, state)
    return nodes


def counters_up_to(count: int, *ips: str) -> dict[str, tuple[int, ...]]:
    """Return all ballot counters up to `count`, for some nodes."""
    return dict.fromkeys(ips, tuple(range(1, count + 1)))


def propose_configuration(ip: str, token: int, body: bytes, number: int = 2) -> Event:
    proposal = Proposal(
        token,
        0.0,
        ProposalKind.PUT_CONFIGURATION,
        configuration_version=number,
        configuration_digest=body,
        configuration=body * 3,
    )
    return Event("propose", ip, proposal, name=f"r{number} {body!r}")


def propose_join(ip: str, token: int, disk: int) -> Event:
    proposal = Proposal(token, 0.0, ProposalKind.JOIN, member=Member(ip, "", "", disk))

    def is_possible(node: ModelNode) -> bool:  # the condition in `Reconfiguration._propose_join`
        state = node.acceptor.state
        return node.acceptor.disk_id == disk and state is not None and not state.is_member(ip, disk)

    return Event("propose", ip, proposal, is_possible, f"disk {disk} joins")


def competing_proposals(*ips: str, count: int, rounds: int, isolated: str = "") -> Case:
    """Two nodes propose different bodies under one version number."""
    events = [propose_configuration("d1", 1, b"a"), propose_configuration("d2", 2, b"b")]
    return Case(
        make_core(*ips), events, counters_up_to(count, "d1", "d2"), rounds, isolated=frozenset({isolated})
    )


def restart(ip: str, count: int, rounds: int, *, save_fails: bool = False) -> Case:
    """Two nodes propose different bodies while a member restarts at any moment, or one of its saves fails.

    The member loses power, and restarts without the records that were not saved.
    """
    events = [propose_configuration("d1", 1, b"a"), propose_configuration("d2", 2, b"b"), Event("crash", ip)]
    events += [Event("fail", ip)] if save_fails else []
    return Case(
        make_core("d1", "d2", "d3"),
        events,
        counters_up_to(count, "d1", "d2"),
        rounds,
        slow_savers=frozenset({ip}),
    )


def wiped_disk(proposals: int, count: int, rounds: int) -> Case:
    """A member's disk is wiped; it requests the state and joins under a new number, amid proposals."""
    configurations = [propose_configuration("d1", 1, b"a"), propose_configuration("d2", 2, b"b")][:proposals]
    events = [*configurations, Event("wipe", "d3"), propose_join("d3", 3, 13)]
    return Case(
        make_core("d1", "d2", "d3"),
        events,
        counters_up_to(count, "d1", "d2", "d3"),
        rounds,
        requesters=frozenset({"d3"}),
        wiped_disks=1,
    )


def member_change(leaver: str, by: str, rounds: int, **counts: tuple[int, ...]) -> Case:
    """A fourth node joins and a member retires, as the target size is three, besides a proposal."""

    def is_possible(node: ModelNode) -> bool:  # the condition in `Reconfiguration._propose_retirement`
        state = node.acceptor.state
        return state is not None and len(state.members) > state.target_size

    proposal = Proposal(4, 0.0, ProposalKind.RETIRE, member=members_at(leaver)[0])
    retire = Event("propose", by, proposal, is_possible, f"{leaver} retires")
    return Case(
        make_core("d1", "d2", "d3", new="d4"),
        [propose_configuration("d1", 1, b"a"), propose_join("d4", 3, 4), retire],
        counts,
        rounds,
    )


def operator_removals(count: int, rounds: int) -> Case:
    """Operators remove two members, each by a proposal at the other; a third node has a proposal too."""
    events = [propose_configuration("d3", 1, b"a")]
    for token, ip, other in ((4, "d1", "d2"), (5, "d2", "d1")):
        proposal = Proposal(token, 0.0, ProposalKind.RETIRE, member=Member(other), by_operator=True)
        events.append(Event("propose", ip, proposal, name=f"removes {other}"))
    counts = {**counters_up_to(count, "d1"), **counters_up_to(count + 1, "d2"), "d3": (count,)}
    return Case(make_core("d1", "d2", "d3"), events, counts, rounds)


def diskless(count: int, rounds: int) -> Case:
    """A node without a disk, and so without promises of its own, has two successive proposals."""
    proposals = [propose_configuration("d4", 1, b"a"), propose_configuration("d4", 2, b"b", number=3)]
    return Case(make_core("d1", "d2", "d3", diskless="d4"), proposals, counters_up_to(count, "d4"), rounds)


def read_after_confirmation(count: int, rounds: int) -> Case:
    """Once a proposal is confirmed, a node without a disk reads."""
    read = Event("propose", "d4", Proposal(9, 0.0, ProposalKind.READ), name="reads", after=1)
    nodes = make_core("d1", "d2", "d3", diskless="d4")
    return Case(
        nodes, [propose_configuration("d1", 1, b"a"), read], counters_up_to(count, "d1", "d4"), rounds
    )


def propose_evacuation(ip: str, token: int, evacuate: bool, after: int = 0) -> Event:
    proposal = Proposal(token, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=evacuate)
    return Event("propose", ip, proposal, name=f"{'evacuates' if evacuate else 'reopens'} z1", after=after)


def forwarded_evacuation(rounds: int, **counts: tuple[int, ...]) -> Case:
    """A zone's evacuation is forwarded to a node; once it is confirmed, a third one reopens the zone."""
    events = [propose_evacuation("d1", 1, True), propose_evacuation("d3", 2, False, after=1)]
    return Case(
        make_core("d1", "d2", "d3"), events, counts, rounds, forwarding_pairs=frozenset({("d1", "d2")})
    )


def abandoned_evacuation(rounds: int, **counts: tuple[int, ...]) -> Case:
    """The caller of a zone's evacuation leaves, unseen by the node; another node then confirms that it is open.

    The evacuation is also forwarded to a third node.
    """
    leave = Event("leave", "d1", is_possible=lambda node: bool(node.proposer.proposals), name="callers")
    reopening = replace(propose_evacuation("d3", 2, False), follows=1)
    events = [propose_evacuation("d1", 1, True), leave, reopening]
    return Case(
        make_core("d1", "d2", "d3"), events, counts, rounds, forwarding_pairs=frozenset({("d1", "d2")})
    )


def forwarded_configuration(count: int, rounds: int) -> Case:
    """Two bodies under one version number, of which one is forwarded to the node that proposes the other."""
    case = competing_proposals("d1", "d2", "d3", count=count, rounds=rounds)
    return replace(case, forwarding_pairs=frozenset({("d1", "d2")}))


def bootstrap(count: int, rounds: int) -> Case:
    """Two of three seeds propose the first members, each only itself, so that the choices differ most."""
    ips = ("d1", "d2", "d3")
    nodes = [ModelNode(NodeInfo(ip, "", "", int(ip[1:]), 1), {}, True, list(ips)) for ip in ips]
    proposals = [
        BootstrapProposal(5, 0.0, ProposalKind.BOOTSTRAP, members=members_at("d1")),
        BootstrapProposal(6, 0.0, ProposalKind.BOOTSTRAP, members=members_at("d2")),
    ]
    return Case(
        nodes,
        [Event("propose", ip, proposal) for ip, proposal in zip(ips, proposals, strict=False)],
        counters_up_to(count, "d1", "d2"),
        rounds,
    )


CASES: dict[str, Callable[[], Case]] = {
    "three members, two proposals": lambda: competing_proposals("d1", "d2", "d3", count=2, rounds=4),
    "four members, two proposals": lambda: competing_proposals("d1", "d2", "d3", "d4", count=2, rounds=2),
    "four members, one proposer without responsive peers": lambda: competing_proposals(
        "d1", "d2", "d3", "d4", count=1, rounds=2, isolated="d2"
    ),
    "a member restarts with its disk": lambda: restart("d3", count=1, rounds=2),
    "a proposer restarts with its disk": lambda: restart("d2", count=1, rounds=2, save_fails=True),
    "a wiped disk joins under a new number": lambda: wiped_disk(1, count=2, rounds=2),
    "one member joins and one retires": lambda: member_change("d3", "d2", 3, d1=(1, 2), d2=(2,), d4=(1,)),
    "operators remove two members": lambda: operator_removals(count=2, rounds=3),
    "a proposer without a disk": lambda: diskless(count=2, rounds=2),
    "a read after a confirmation": lambda: read_after_confirmation(count=2, rounds=2),
    "an evacuation is forwarded, then ended": lambda: forwarded_evacuation(
        3, d1=(1,), d2=(1, 2, 3), d3=(2, 3)
    ),
    "an evacuation is abandoned, and the zone confirmed open": lambda: abandoned_evacuation(
        3, d1=(1, 3), d2=(2,), d3=(1, 2)
    ),
    "one of two bodies is forwarded": lambda: forwarded_configuration(count=2, rounds=2),
    "two bootstrap proposals": lambda: bootstrap(count=2, rounds=4),
}


def explore(name: str, visible_only: bool = False) -> ExplorationResult:
    found = Explorer(CASES[name]()).explore(MAX_STATES, visible_only)
    print(found)  # includes the schedule of a fault
    return found


# --- the unchanged program ---------------------------------------------------------------------------------


@pytest.mark.parametrize("name", CASES)
def test_no_schedule_within_the_bounds_breaks_an_invariant(name: str) -> None:
    found = explore(name)
    assert not found.fault
    assert found.is_complete
    proposals = [event for event in CASES[name]().events if event.proposal is not None]
    assert found.confirmed == len(proposals)  # each proposal in some schedule


def test_leaving_out_messages_without_effect_hides_no_state() -> None:
    reached = []
    for keep_obsolete in (False, True):
        explorer = Explorer(competing_proposals("d1", "d2", "d3", count=1, rounds=2), keep_obsolete)
        assert explorer.explore(MAX_STATES).is_complete
        keys = [node.key() for node in explorer.nodes.values]
        reached.append({tuple(keys[number] for number in state[0]) for state in explorer.parents})
    assert reached[0] == reached[1]


# --- removed safeguards ------------------------------------------------------------------------------------

Patch = pytest.MonkeyPatch


def accept_quorum_too_small(patch: Patch) -> None:
    patch.setattr("hazelspring.consensus.proposer.majority", lambda members: max(1, members // 2))


def read_quorum_too_small(patch: Patch) -> None:
    read_quorum = hazelspring.consensus.control_state.read_quorum
    patch.setattr("hazelspring.consensus.proposer.read_quorum", lambda members: read_quorum(members) - 1)


def votes_of_any_disk_count(patch: Patch) -> None:
    patch.setattr(hazelspring.consensus.control_state, "is_vote_of", lambda member, voter: True)


def only_new_members_vote(patch: Patch) -> None:
    patch.setattr(ControlState, "member_sets", lambda state: [state.members])


def old_members_do_not_vote(patch: Patch) -> None:
    prepare_member_sets = Proposer.prepare_member_sets
    patch.setattr(ControlState, "member_sets", lambda state: [state.members])
    patch.setattr(
        Proposer, "prepare_member_sets", lambda proposer, current: prepare_member_sets(proposer, current)[-1:]
    )


def promise_is_not_restored(patch: Patch) -> None:
    def forgetful(*args: Any) -> Acceptor:
        found = hazelspring.consensus.acceptor.load_acceptor(*args)
        found.promised = NO_BALLOT
        return found

    patch.setattr("hazelspring.node.control_replica.load_acceptor", forgetful)


def promise_is_ignored(patch: Patch) -> None:
    accept = Acceptor.accept

    def accept_below_promise(
        acceptor: Acceptor, ballot: Any, state: ControlState, compressed: bytes | None = None
    ) -> bool:
        acceptor.promised = min(acceptor.promised, ballot)
        return accept(acceptor, ballot, state, compressed)

    patch.setattr(Acceptor, "accept", accept_below_promise)


def replies_precede_saves(patch: Patch) -> None:
    patch.setattr(ControlReplica, "reply_when_durable", ControlReplica.send)


def accepted_state_is_ignored(patch: Patch) -> None:
    on_promise = Proposer.on_promise

    def ignore_accepted(
        proposer: Proposer, source: str, message: Promise, compressed: bytes | None = None
    ) -> None:
        on_promise(proposer, source, replace(message, accepted=None), compressed)

    patch.setattr(Proposer, "on_promise", ignore_accepted)


def ballot_counter_is_forgotten(patch: Patch) -> None:
    advance = Proposer.advance

    def forgetful(proposer: Proposer, now: float) -> list[OutgoingMessage]:
        # A node that is no member makes no promises, which would otherwise keep its ballots distinct.
        proposer.highest_count = 0
        return advance(proposer, now)

    patch.setattr(Proposer, "advance", forgetful)


def larger_digest_wins(patch: Patch) -> None:
    apply = Proposal.apply

    def by_digest(proposal: Proposal, state: ControlState) -> ControlState:
        if proposal.kind == ProposalKind.PUT_CONFIGURATION and (
            proposal.configuration_version,
            proposal.configuration_digest,
        ) > (
            state.configuration_version,
            state.configuration_digest,
        ):
            return replace(
                state,
                configuration_version=proposal.configuration_version,
                configuration_digest=proposal.configuration_digest,
            )
        return apply(proposal, state)

    patch.setattr(Proposal, "apply", by_digest)


def every_read_is_confirmed(patch: Patch) -> None:
    patch.setattr(ControlReplica, "is_confirmed_for", lambda replica, proposal, now: True)


def set_valid_versions(patch: Patch, versions: int) -> None:
    patch.setattr(ForwardedProposal, "valid_versions", lambda proposal: versions)
    patch.setattr("tests.control_node.VALID_VERSIONS", versions)


def forwarded_proposals_never_expire(patch: Patch) -> None:
    set_valid_versions(patch, 1000)


def forwarded_proposals_valid_too_long(patch: Patch) -> None:
    set_valid_versions(patch, VALID_VERSIONS + 1)


def orders_are_not_bound(patch: Patch) -> None:
    patch.setattr("hazelspring.consensus.proposer.BINDING_TIME", 1e9)


def evacuations_need_no_new_version(patch: Patch) -> None:
    patch.setattr(Proposal, "needs_new_version", lambda proposal: False)


REOPENED_AND_EVACUATED = "z1 was reopened but is so no longer"
NO_LONGER_IN_FORCE, NUMBER_REUSED = (
    "r2 was confirmed but is no longer in force",
    "r2 was confirmed but another body has its number",
)
# A safeguard, a case, the first fault found, and whether only faults that are visible to callers count.
REMOVED_SAFEGUARDS = [
    (accept_quorum_too_small, "three members, two proposals", "version 2 is on 1 disks of 3", False),
    (accept_quorum_too_small, "three members, two proposals", NUMBER_REUSED, True),
    (read_quorum_too_small, "three members, two proposals", NUMBER_REUSED, True),
    (read_quorum_too_small, "four members, two proposals", NUMBER_REUSED, True),
    (votes_of_any_disk_count, "a wiped disk joins under a new number", NO_LONGER_IN_FORCE, True),
    (only_new_members_vote, "two bootstrap proposals", "two decided states of version 1", False),
    (old_members_do_not_vote, "a wiped disk joins under a new number", NO_LONGER_IN_FORCE, True),
    (promise_is_not_restored, "a member restarts with its disk", NUMBER_REUSED, True),
    (promise_is_ignored, "three members, two proposals", NUMBER_REUSED, True),
    (replies_precede_saves, "a member restarts with its disk", NUMBER_REUSED, True),
    (accepted_state_is_ignored, "three members, two proposals", NUMBER_REUSED, True),
    (larger_digest_wins, "three members, two proposals", NUMBER_REUSED, True),
    (
        forwarded_proposals_never_expire,
        "an evacuation is forwarded, then ended",
        REOPENED_AND_EVACUATED,
        True,
    ),
    (
        forwarded_proposals_valid_too_long,
        "an evacuation is forwarded, then ended",
        REOPENED_AND_EVACUATED,
        True,
    ),
    (
        orders_are_not_bound,
        "an evacuation is abandoned, and the zone confirmed open",
        REOPENED_AND_EVACUATED,
        True,
    ),
    (
        evacuations_need_no_new_version,
        "an evacuation is abandoned, and the zone confirmed open",
        REOPENED_AND_EVACUATED,
        True,
    ),
    (every_read_is_confirmed, "a read after a confirmation", "a read shows r-1 after a newer one", True),
]


@pytest.mark.parametrize(("remove_safeguard", "name", "fault", "visible_only"), REMOVED_SAFEGUARDS)
def test_a_removed_safeguard_is_detected(
    remove_safeguard: Callable[[Patch], None], name: str, fault: str, visible_only: bool, monkeypatch: Patch
) -> None:
    remove_safeguard(monkeypatch)
    found = explore(name, visible_only)
    assert fault in found.fault
    assert any("begins a round" in line for line in found.schedule)


def test_a_ballot_that_is_used_twice_is_detected(monkeypatch: Patch) -> None:
    """No message is left out here, as a message counts as obsolete only where each ballot is used once."""
    ballot_counter_is_forgotten(monkeypatch)
    found = Explorer(CASES["a proposer without a disk"](), keep_obsolete=True).explore(MAX_STATES)
    assert "version 2 is on 0 disks of 3" in found.fault, str(found)
