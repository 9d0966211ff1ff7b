"""Competing proposals: forwarding them to another node, and the order of the rounds that carry them out."""

from __future__ import annotations

import pytest

from hazelspring.consensus.control_state import ControlState, Member
from hazelspring.consensus.forwarding import (
    FORWARDED_LIFETIME,
    VALID_VERSIONS,
    ForwardedProposal,
    ForwardedProposals,
    ProposalForwarder,
)
from hazelspring.consensus.messages import Accept, ForwardedChange, FullConfiguration, ProposalsForwarded
from hazelspring.consensus.proposal import Proposal, ProposalKind
from hazelspring.node import codec
from hazelspring.node.codec import kind_of
from hazelspring.node.codec_fields import MalformedMessageError
from hazelspring.node.messages import Message

from .test_control import settled_world
from .world import World

MEMBERS = (Member("d1", "", "", 1),)


def state(version: int, *evacuated_zones: str) -> ControlState:
    return ControlState(version, MEMBERS, MEMBERS, 1, evacuated_zones=frozenset(evacuated_zones))


def record_messages(world: World, kind: str) -> list[tuple[str, str, Message]]:
    """Return a list to which each message of a kind is added from now on: sender, recipient, message."""
    found: list[tuple[str, str, Message]] = []
    send = world.send

    def record_and_send(source: str, to: str, message: Message) -> None:
        if kind_of(message) == kind:
            found.append((source, to, message))
        send(source, to, message)

    world.send = record_and_send  # type: ignore[method-assign]
    return found


def has_full_configuration(message: Message) -> bool:
    return isinstance(message, Accept) and isinstance(message.payload, FullConfiguration)


def put_and_evacuate_at_once(world: World) -> list[int]:
    """Start six puts and two evacuations at the same time, spread over the nodes; return their tokens."""
    names = list(world.machines)
    tokens = [world.put(names[-1 - n], 10 + n) for n in range(6)]
    return tokens + [world.evacuate(names[n], f"z{n}", True) for n in (0, 1)]


# --- forwarded proposals -----------------------------------------------------------------------------------


def test_a_forwarded_configuration_is_valid_for_two_versions_and_an_evacuation_for_one() -> None:
    put = ForwardedProposal(
        0, 0.0, ProposalKind.PUT_CONFIGURATION, configuration_version=7, valid_from_version=4
    )
    evacuation = ForwardedProposal(
        0, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=True, valid_from_version=4
    )
    versions = (3, 4, 5, 6)
    assert [v for v in versions if put.apply(state(v)).configuration_version == 7] == [4, 5]
    assert [v for v in versions if evacuation.apply(state(v)).evacuated_zones == {"z1"}] == [4]


def test_a_forwarded_proposal_is_kept_once_and_only_as_long_as_it_is_valid() -> None:
    forwarded = ForwardedProposals()
    change = ForwardedChange("evacuate", -1, b"", None, "z1", True)
    for _ in range(3):
        forwarded.add(0.0, "d2", 4, [change])
    assert (
        len(forwarded.proposals) == 1
        and forwarded.applicable(state(4))
        and not forwarded.applicable(state(4, "z1"))
    )
    forwarded.expire(0.0, state(4))
    assert forwarded.proposals
    forwarded.expire(0.0, state(5))
    assert not forwarded.proposals
    forwarded.add(0.0, "d2", 4, [ForwardedChange("put", 7, b"digest", b"body", "", False)])
    forwarded.expire(0.0, state(3 + VALID_VERSIONS))
    assert forwarded.proposals
    forwarded.expire(0.0, state(4 + VALID_VERSIONS))
    assert not forwarded.proposals
    forwarded.add(0.0, "d2", 4, [change])
    forwarded.expire(FORWARDED_LIFETIME + 0.1, state(4))
    assert not forwarded.proposals
    retiring = ProposalsForwarded(4, (ForwardedChange("retire", -1, b"", None, "", False),))
    with pytest.raises(MalformedMessageError):
        codec.decode(codec.encode(retiring))


def test_a_proposal_is_forwarded_once_and_only_if_it_is_a_change_by_an_operator() -> None:
    forwarder, evacuation = (
        ProposalForwarder(),
        Proposal(1, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=True),
    )
    proposals = [
        evacuation,
        Proposal(0, 0.0, ProposalKind.RESOLVE),
        Proposal(2, 0.0, ProposalKind.READ),
        Proposal(3, 0.0, ProposalKind.RETIRE, by_operator=True),
    ]
    assert [change.kind for change in forwarder.select(state(4), "d2", proposals)] == ["evacuate"]
    assert not forwarder.select(state(4), "d2", proposals)
    assert forwarder.select(state(4), "d3", proposals) and not forwarder.select(state(4), "d4", proposals)
    assert forwarder.select(state(5), "d4", proposals) and not forwarder.select(
        state(6, "z1"), "d4", proposals
    )


@pytest.mark.parametrize("is_bounded", [True, False])
def test_a_forwarded_evacuation_that_arrives_late_or_twice_does_not_undo_its_end(
    is_bounded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the bound on versions, a late forwarded proposal would evacuate the zone again."""
    if not is_bounded:
        monkeypatch.setattr(ForwardedProposal, "valid_versions", lambda proposal: 1000)
    again = 0
    for seed in range(6):
        world = settled_world(seed=seed)
        forwards = record_messages(world, "hand")
        tokens = put_and_evacuate_at_once(world)
        world.run(1.5)
        assert all(world.calls[token].succeeded for token in tokens) and forwards
        opened = [world.evacuate(f"d{5 + n}", f"z{n}", False) for n in (0, 1)]
        world.run(1.0)
        assert all(world.calls[token].succeeded for token in opened)
        for source, to, message in [*forwards, *forwards]:
            world.send(source, to, message)
        world.run(1.0)
        again += world.decided[max(world.decided)].evacuated_zones != frozenset()
        assert not world.breaches
    assert (again == 0) is is_bounded


# --- time to success ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(("core", "seeds", "repeats"), [(4, 3, 6), (8, 2, 4), (15, 1, 3)])
def test_competing_proposals_all_succeed_in_time(core: int, seeds: int, repeats: int) -> None:
    took = []
    for seed in range(seeds):
        world = settled_world(core, seed=seed)
        for _ in range(repeats):
            tokens = put_and_evacuate_at_once(world)
            world.run(2.0)
            assert all(world.calls[token].succeeded for token in tokens)
            took += [world.calls[token].ended - world.calls[token].at for token in tokens]
            for n in (0, 1):
                world.evacuate("d1", f"z{n}", False)
            world.run(1.0)
        assert not world.breaches
    assert max(took) < 1.2


def test_a_node_proposes_itself_if_the_node_that_it_forwarded_to_is_lost() -> None:
    for seed in range(6):
        world = settled_world(seed=seed)
        forwards = record_messages(world, "hand")
        tokens = put_and_evacuate_at_once(world)
        while not forwards and world.now < 110:
            world.run(0.002)
        _, recipient, _ = forwards[0]
        world.kill(recipient)
        world.run(3.5)
        left = [world.calls[token] for token in tokens if world.calls[token].machine != recipient]
        assert all(call.succeeded and call.ended - call.at < 1.5 for call in left) and not world.breaches


def test_a_round_abandoned_before_its_promises_arrive_delays_no_other_round() -> None:
    world = settled_world()
    world.put("d1", 6)
    core = world.machines["d1"].core
    assert core is not None and core.control.proposer.round is not None
    core.control.proposer.proposals.clear()  # as if reports of other nodes had settled the proposal
    world.actions("d1", core.control.on_peer_report(world.now))
    world.run(0.08)
    for name in ("d1", "d2", "d3", "d4"):
        member = world.machines[name].core
        assert member is not None and not member.control.must_yield_to(
            world.now, "d6", member.control.acceptor.version
        )
    token = world.put("d6", 7)
    world.run(0.1)
    assert world.calls[token].succeeded and not world.breaches


def test_a_proposal_without_a_competing_one_is_not_forwarded() -> None:
    world = settled_world()
    forwards = record_messages(world, "hand")
    for number in range(6, 13):
        world.put(f"d{number - 5}", number)
        world.run(0.5)
    assert not forwards and not world.breaches


# --- bytes -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("size", "times"), [(100, 4), (100_000, 2)])
def test_a_configuration_is_not_sent_again_while_its_bytes_may_be_in_transit(
    size: int, times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two of four members freeze while a change is sent to them.  A small configuration is sent again every
    0.25 s.  One that takes 0.4 s for all four members on a slow link is sent again after 0.5 s; until then,
    the repeated requests to the members omit it."""
    monkeypatch.setattr("hazelspring.consensus.proposer.LINK_BANDWIDTH", 1e6)
    world = settled_world()
    accepts = record_messages(world, "accept")
    token = world.put("d1", 6, world.random.randbytes(size).hex())
    world.run(0.02)
    for name in ("d2", "d4"):
        world.freeze(name)
    world.run(0.9)
    for name in ("d2", "d4"):
        assert len([m for _, to, m in accepts if to == name]) == 4
        assert len([m for _, to, m in accepts if to == name and has_full_configuration(m)]) == times
    for name in ("d2", "d4"):
        world.thaw(name)
    world.run(1.0)
    assert world.calls[token].succeeded and not world.breaches
    for name in ("d2", "d4"):
        assert world.machines[name].core.control.acceptor.state.configuration_version == 6  # type: ignore[union-attr]
