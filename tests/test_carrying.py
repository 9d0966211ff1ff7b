"""Orders that meet: rounds that end let others go on, and what one door hands to another does no harm late or twice."""

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

SEATS = (Member("d1", "", "", 1),)


def state(version: int, *closed: str) -> ControlState:
    return ControlState(version, SEATS, SEATS, 1, evacuated_zones=frozenset(closed))


def noted(world: World, kind: str) -> list[tuple[str, str, Message]]:
    """All messages of a kind from now on: from, to, message."""
    found: list[tuple[str, str, Message]] = []
    send = world.send

    def send_on(source: str, to: str, message: Message) -> None:
        if kind_of(message) == kind:
            found.append((source, to, message))
        send(source, to, message)

    world.send = send_on  # type: ignore[method-assign]
    return found


def is_whole(message: Message) -> bool:
    return isinstance(message, Accept) and isinstance(message.payload, FullConfiguration)


def storm(world: World) -> list[int]:
    names = list(world.machines)
    tokens = [world.put(names[-1 - n], 10 + n) for n in range(6)]
    return tokens + [world.evacuate(names[n], f"z{n}", True) for n in (0, 1)]


# --- what was handed -----------------------------------------------------------------------------------------


def test_a_handed_order_may_be_applied_to_two_versions_and_once() -> None:
    closing = ForwardedProposal(
        0, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=True, valid_from_version=4
    )
    assert [closing.apply(state(version)).evacuated_zones == {"z1"} for version in (3, 4, 5, 6)] == [
        False,
        True,
        True,
        False,
    ]
    carried = ForwardedProposals()
    change = ForwardedChange("evacuate", -1, b"", None, "z1", True)
    for _ in range(3):
        carried.add(0.0, "d2", 4, [change])
    assert (
        len(carried.proposals) == 1
        and carried.applicable(state(4))
        and not carried.applicable(state(4, "z1"))
    )
    carried.expire(0.0, state(3 + VALID_VERSIONS))
    assert carried.proposals
    carried.expire(0.0, state(4 + VALID_VERSIONS))
    assert not carried.proposals
    carried.add(0.0, "d2", 4, [change])
    carried.expire(FORWARDED_LIFETIME + 0.1, state(4))
    assert not carried.proposals
    retiring = ProposalsForwarded(4, (ForwardedChange("retire", -1, b"", None, "", False),))
    with pytest.raises(MalformedMessageError):
        codec.decode(codec.encode(retiring))


def test_a_node_is_handed_an_order_once_and_only_what_an_operator_wants_to_change() -> None:
    hands, closing = (
        ProposalForwarder(),
        Proposal(1, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=True),
    )
    orders = [
        closing,
        Proposal(0, 0.0, ProposalKind.RESOLVE),
        Proposal(2, 0.0, ProposalKind.READ),
        Proposal(3, 0.0, ProposalKind.RETIRE, by_operator=True),
    ]
    assert [change.kind for change in hands.select(state(4), "d2", orders)] == ["evacuate"]
    assert not hands.select(state(4), "d2", orders)
    assert hands.select(state(4), "d3", orders) and not hands.select(state(4), "d4", orders)
    assert hands.select(state(5), "d4", orders) and not hands.select(state(6, "z1"), "d4", orders)


@pytest.mark.parametrize("bound", [True, False])
def test_a_closing_that_comes_late_or_twice_does_not_undo_the_opening(
    bound: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound bites: were a handed order good for any version, the zone would be closed again."""
    if not bound:
        monkeypatch.setattr("hazelspring.consensus.forwarding.VALID_VERSIONS", 1000)
    again = 0
    for seed in range(6):
        world = settled_world(seed=seed)
        handed = noted(world, "hand")
        tokens = storm(world)
        world.run(1.5)
        assert all(world.calls[token].good for token in tokens) and handed
        opened = [world.evacuate(f"d{5 + n}", f"z{n}", False) for n in (0, 1)]
        world.run(1.0)
        assert all(world.calls[token].good for token in opened)
        for source, to, message in [*handed, *handed]:
            world.send(source, to, message)
        world.run(1.0)
        again += world.decided[max(world.decided)].evacuated_zones != frozenset()
        assert not world.breaches
    assert (again == 0) is bound


# --- in time ---------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("core", "seeds", "storms"), [(4, 3, 6), (8, 2, 4), (15, 1, 3)])
def test_orders_that_meet_are_all_carried_out_in_time(core: int, seeds: int, storms: int) -> None:
    took = []
    for seed in range(seeds):
        world = settled_world(core, seed=seed)
        for _ in range(storms):
            tokens = storm(world)
            world.run(2.0)
            assert all(world.calls[token].good for token in tokens)
            took += [world.calls[token].ended - world.calls[token].at for token in tokens]
            for n in (0, 1):
                world.evacuate("d1", f"z{n}", False)
            world.run(1.0)
        assert not world.breaches
    assert max(took) < 1.2


def test_a_node_goes_alone_when_the_one_that_it_handed_its_order_is_lost() -> None:
    for seed in range(6):
        world = settled_world(seed=seed)
        handed = noted(world, "hand")
        tokens = storm(world)
        while not handed and world.now < 110:
            world.run(0.002)
        _, carrier, _ = handed[0]
        world.kill(carrier)
        world.run(3.5)
        left = [world.calls[token] for token in tokens if world.calls[token].machine != carrier]
        assert all(call.good and call.ended - call.at < 1.5 for call in left) and not world.breaches


def test_a_round_that_is_dropped_before_its_promises_come_keeps_nobody_out() -> None:
    world = settled_world()
    world.put("d1", 6)
    core = world.machines["d1"].core
    assert core is not None and core.control.proposer.round is not None
    core.control.proposer.proposals.clear()  # as where what others tell settles an order at once
    world.actions("d1", core.control.proceed(world.now))
    world.run(0.08)
    for name in ("d1", "d2", "d3", "d4"):
        member = world.machines[name].core
        assert member is not None and not member.control.must_yield_to(
            world.now, "d6", member.control.acceptor.version
        )
    token = world.put("d6", 7)
    world.run(0.1)
    assert world.calls[token].good and not world.breaches


def test_an_order_that_meets_no_other_is_handed_to_nobody() -> None:
    world = settled_world()
    handed = noted(world, "hand")
    for number in range(6, 13):
        world.put(f"d{number - 5}", number)
        world.run(0.5)
    assert not handed and not world.breaches


# --- bytes -------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("size", "times"), [(100, 4), (100_000, 2)])
def test_a_configuration_is_not_sent_again_while_its_bytes_may_be_under_way(
    size: int, times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two members of four stop as a change is brought to them: small bytes go again each 0.25 s; what takes a slow
    link 0.4 s for all four goes again after 0.5 s, and until then the members are asked without it."""
    monkeypatch.setattr("hazelspring.consensus.proposer.LINK_BANDWIDTH", 1e6)
    world = settled_world()
    accepts = noted(world, "accept")
    token = world.put("d1", 6, world.random.randbytes(size).hex())
    world.run(0.02)
    for name in ("d2", "d4"):
        world.freeze(name)
    world.run(0.9)
    for name in ("d2", "d4"):
        assert len([m for _, to, m in accepts if to == name]) == 4
        assert len([m for _, to, m in accepts if to == name and is_whole(m)]) == times
    for name in ("d2", "d4"):
        world.thaw(name)
    world.run(1.0)
    assert world.calls[token].good and not world.breaches
    for name in ("d2", "d4"):
        assert world.machines[name].core.control.acceptor.state.configuration_version == 6  # type: ignore[union-attr]
