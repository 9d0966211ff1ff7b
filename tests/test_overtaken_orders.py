"""Orders that were overtaken, or whose callers have gone, are not carried out later, whichever node holds them.

Most tests give an order to a node that does not answer, then to another one, and then its opposite.  Each order was
carried out by the silent node after the opposite one was acknowledged, before orders were bound to a version.
"""

from __future__ import annotations

from random import Random

import pytest

from hazelspring.consensus.messages import ForwardedChange, ProposalsForwarded

from .operator_orders import EvacuationOperator
from .test_control import isolate, settled_world
from .world import World

SILENT = ["d2", "d6"]  # a member of the core, and a node without a disk


def zones(world: World) -> frozenset[str]:
    return world.decided[max(world.decided)].evacuated_zones


def restore(world: World, name: str, fault: str) -> None:
    if fault == "frozen":
        world.thaw(name)
    else:
        world.cut.clear()


@pytest.mark.parametrize(("fault", "sees_end"), [("frozen", True), ("cut", True), ("cut", False)])
@pytest.mark.parametrize("name", SILENT)
def test_an_order_given_to_a_silent_node_is_not_carried_out_after_later_orders(
    name: str, fault: str, sees_end: bool
) -> None:
    """`review/3`: an evacuation's end, given to a frozen node and then to another, undid the next evacuation."""
    for seed in range(4):
        world = settled_world(seed=seed)
        operator = EvacuationOperator(world, "z1", frozenset() if sees_end else frozenset([name]))
        assert operator.give(True, ["d1"])
        world.run(1.0)
        world.freeze(name) if fault == "frozen" else isolate(world, name)
        assert operator.give(False, [name, "d1"])
        assert operator.give(True, ["d3", "d1"])
        world.run(0.3)
        restore(world, name, fault)
        world.run(5.0)
        operator.check()
        assert not operator.violations and not world.breaches and zones(world) == {"z1"}


@pytest.mark.parametrize("name", SILENT)
def test_an_order_that_nobody_carried_out_is_overtaken_by_one_that_changes_nothing(name: str) -> None:
    """The operator gives up the end of an evacuation, and orders the evacuation again, which is in force."""
    for seed in range(4):
        world = settled_world(seed=seed)
        operator = EvacuationOperator(world, "z1", frozenset([name]))
        assert operator.give(True, ["d1"])
        world.run(1.0)
        isolate(world, name)
        token = world.evacuate(name, "z1", False)
        world.run(1.0)
        assert operator.give(True, ["d3"]) and world.calls[token].done is None
        world.cut.clear()
        world.run(5.0)
        operator.check()
        assert not operator.violations and not world.breaches and not world.calls[token].succeeded


@pytest.mark.parametrize("name", SILENT)
def test_a_command_in_progress_at_a_node_that_freezes_is_not_carried_out_after_the_thaw(name: str) -> None:
    for wait in (0.0, 0.0005, 0.002):  # the node has sent nothing, or has requested promises
        world = settled_world()
        operator = EvacuationOperator(world, "z1")
        token = world.evacuate(name, "z1", True)
        put = world.put(name, 9)
        world.run(wait)
        world.freeze(name)
        world.run(1.0)
        world.leave(token)
        world.leave(put)
        assert operator.give(False, ["d1"])
        world.run(2.0)
        world.thaw(name)
        world.run(5.0)
        operator.check()
        assert not operator.violations and not world.breaches
        assert world.decided[max(world.decided)].configuration_version == 5


@pytest.mark.parametrize("name", SILENT)
def test_a_command_whose_caller_leaves_before_it_is_proposed_has_no_effect(name: str) -> None:
    """The node cannot reach the core while the caller waits."""
    world = settled_world()
    isolate(world, name)
    tokens = [world.put(name, 9), world.evacuate(name, "z1", True), world.retire(name, "d4")]
    world.run(1.0)
    for token in tokens:
        world.leave(token)
    world.cut.clear()
    world.run(3.0)
    state = world.decided[max(world.decided)]
    assert (state.configuration_version, state.evacuated_zones, len(state.members)) == (5, frozenset(), 4)
    assert not any(world.calls[token].done for token in tokens) and not world.breaches


def test_a_removal_from_the_core_is_not_carried_out_again_once_the_member_has_joined_anew() -> None:
    world = settled_world()
    isolate(world, "d6")
    late = world.retire("d6", "d4")
    world.run(0.5)
    world.remove("d4")
    removed = world.retire("d1", "d4")
    world.run(0.7)
    world.add("d4", 3)
    world.run(1.0)
    assert world.calls[removed].succeeded and world.decided[max(world.decided)].member_at("d4")
    world.cut.clear()
    world.run(3.0)
    assert world.decided[max(world.decided)].member_at("d4") and not world.calls[late].succeeded
    assert not world.breaches


def test_a_forwarded_order_is_not_carried_out_after_one_that_changed_nothing() -> None:
    """The message is on its way while the sender's caller leaves, and the zone's evacuation is confirmed again."""
    for seed in range(4):
        world = settled_world(seed=seed)
        operator = EvacuationOperator(world, "z1")
        assert operator.give(True, ["d1"])
        world.run(1.0)
        change = ForwardedChange("evacuate", -1, b"", None, "z1", False)
        forwarded = ProposalsForwarded(max(world.decided), (change,))
        assert operator.give(True, ["d1"])
        for name in ("d1", "d2", "d3"):
            world.send("d6", name, forwarded)
        world.run(3.0)
        operator.check()
        assert not operator.violations and not world.breaches and zones(world) == {"z1"}


@pytest.mark.parametrize("seed", range(12))
def test_the_last_acknowledged_order_stays_in_force_whatever_happened_to_earlier_ones(seed: int) -> None:
    """Orders by turns, to nodes drawn by chance, while nodes freeze or are cut off and configurations change."""
    random, world = Random(seed), settled_world(seed=seed, odd=0.05 * (seed % 2))
    names = list(world.machines)
    unseen = frozenset(random.sample(names, 2))
    operator, acknowledged, number = EvacuationOperator(world, "z1", unseen), 0, 5
    for turn in range(8):
        silent, fault = random.choice(names), random.choice(["frozen", "cut"])
        world.freeze(silent) if fault == "frozen" else isolate(world, silent, random.choice(["both", "in"]))
        world.run(random.uniform(0.0, 0.5))
        others = random.sample([name for name in names if name != silent], 3)
        end = world.now + random.uniform(1.2, 3.5)
        world.at(end, lambda silent=silent, fault=fault: restore(world, silent, fault))  # type: ignore[misc]
        for step in range(2):
            first = [silent] if random.random() < 0.7 or turn % 2 == step else []
            acknowledged += operator.give(bool(step) is bool(turn % 3), [*first, *others])
            number += 1
            world.put(random.choice(others), number)
        world.run(max(0.0, end - world.now) + random.uniform(0.5, 4.5))
    world.run(5.0)
    operator.check()
    assert not operator.violations and not world.breaches and acknowledged >= 14
