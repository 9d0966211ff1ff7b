"""Duties with a deadline, on simulated time: what a node in touch must know by then, it knows, also where two of those
that it would hear of it by fail at the same moment."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from .test_list_duty import ListWorld
from .world import World

IN_TOUCH = 4.0  # seconds, `inTouchMs`
NAMED_OFF = IN_TOUCH + 3.0  # seconds for which a machine that is off may be named to clients
MESSAGE = 1.0  # seconds of each bound that are left for a lost message
IN_FLIGHT = 0.5  # seconds that a request takes from the choice of its server to it, at most

Failure = Callable[[ListWorld, list[str]], None]


def get_no_read(world: ListWorld, names: list[str]) -> None:
    world.stuck |= set(names)


def are_not_answered(world: ListWorld, names: list[str]) -> None:
    world.cut_off |= set(names)


def named_to_clients(world: World, off: set[str]) -> dict[str, set[str]]:
    """The machines that are off, by the node that names them to clients of some region."""
    found = {}
    for name in world.up():
        core = world.machines[name].core
        assert core is not None
        named = {ip for region in ("east", "west") for ip in core.peers.nodes_for_clients(region)}
        if named & off:
            found[name] = named & off
    return found


OFF = (
    {"d1"},
    {"d2", "d6"},
    {"d1", "d3", "d9"},
    {"d7"},
)  # members of the core, nearest of some, and other nodes
CUTOFFS = (2.0, 3.0, 4.0)  # seconds, `drainCutoffMs`


def test_no_machine_is_named_to_clients_for_long_after_its_end() -> None:
    for off, seed in itertools.product(OFF, range(3)):
        world = World(5, 8, seed, drop=0.01)
        world.run(8.0 + seed / 3)
        for name in off:
            world.kill(name)
        world.run(NAMED_OFF - MESSAGE)
        assert named_to_clients(world, off) == {}, (off, seed)


def test_a_leave_is_known_in_time_though_two_members_cannot_read_the_list() -> None:
    """The reader and another member, whichever, from the moment of the leave on."""
    for cutoff, fail, number in itertools.product(CUTOFFS, (get_no_read, are_not_answered), range(1, 6)):
        world = ListWorld(5, 4, number, cutoff)
        world.run(8.0 + number / 16)  # at any moment between two reads
        fail(world, [world.reader(), f"d{number}"])
        world.drain()
        world.run(cutoff - IN_FLIGHT)
        assert world.unaware() == [], (cutoff, fail, number)
