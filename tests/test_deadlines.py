"""Deadlines for the spreading of changes, on simulated time.

A connected node must learn of a change by the deadline, even if two of the nodes that would report it fail
at once.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from .test_list_reader_role import ListWorld
from .world import World

IN_TOUCH = 4.0  # seconds, `inTouchMs`
MAX_TIME_NAMED = IN_TOUCH + 3.0  # seconds for which clients may still be sent to a machine that is off
LOST_MESSAGE_MARGIN = 1.0  # seconds of each bound that are reserved for one lost message
MAX_REQUEST_TRANSIT = 0.5  # seconds at most from the choice of a server until the request reaches it

Failure = Callable[[ListWorld, list[str]], None]


def hang_reads(world: ListWorld, names: list[str]) -> None:
    world.stuck |= set(names)


def fail_reads(world: ListWorld, names: list[str]) -> None:
    world.unanswered |= set(names)


def named_to_clients(world: World, off: set[str]) -> dict[str, set[str]]:
    """The machines in `off` that each node still names to the clients of any region, by node."""
    found = {}
    for name in world.up():
        core = world.machines[name].core
        assert core is not None
        named = {ip for region in ("east", "west") for ip in core.peers.nodes_for_clients(region)}
        if named & off:
            found[name] = named & off
    return found


# the machines that are switched off: core members, among them the nearest of some nodes, and other nodes
OFF = (
    {"d1"},
    {"d2", "d6"},
    {"d1", "d3", "d9"},
    {"d7"},
)
CUTOFFS = (2.0, 3.0, 4.0)  # seconds, `drainCutoffMs`


def test_clients_are_not_sent_to_a_machine_that_is_off_beyond_the_bound() -> None:
    for off, seed in itertools.product(OFF, range(3)):
        world = World(5, 8, seed, drop=0.01)
        world.run(8.0 + seed / 3)
        for name in off:
            world.kill(name)
        world.run(MAX_TIME_NAMED - LOST_MESSAGE_MARGIN)
        assert named_to_clients(world, off) == {}, (off, seed)


def test_nodes_learn_of_a_leaving_server_in_time_although_two_members_cannot_read_the_list() -> None:
    """Reads fail at the reader and at each member in turn, from the moment at which the server leaves."""
    for cutoff, fail, number in itertools.product(CUTOFFS, (hang_reads, fail_reads), range(1, 6)):
        world = ListWorld(5, 4, number, cutoff)
        world.run(8.0 + number / 16)  # at any moment between two reads
        fail(world, [world.reader(), f"d{number}"])
        world.drain()
        world.run(cutoff - MAX_REQUEST_TRANSIT)
        assert world.unaware() == [], (cutoff, fail, number)
