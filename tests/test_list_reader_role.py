"""The role of reading the platform's list, on simulated time: a holder whose reads stop does not keep it."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from hazelspring.node.actions import Action, ReadList
from hazelspring.node.invariants import LIST_KNOWN, LIST_READ
from hazelspring.node.node import Node, NodeStart
from hazelspring.registry.list_reader_role import LIST_READER, MAX_TIMEOUT, ListReaderRole, ListTiming

from .world import World

DRAIN_CUTOFF = 3.0  # seconds after which no request may reach a server that is listed as draining


class ListWorld(World):
    """Reads of the list hang or fail at some nodes; `cutoff` is the setting `drainCutoffMs` in seconds."""

    def __init__(self, core: int, others: int, seed: int = 1, cutoff: float = DRAIN_CUTOFF) -> None:
        self.cutoff = cutoff
        self.stuck: set[str] = set()  # nodes whose reads never report an end, like a task that died
        self.unanswered: set[str] = set()  # nodes that the platform does not answer: their reads time out
        self.reads: list[str] = []  # the node of each read that was started
        super().__init__(core, others, seed)

    def actions(self, name: str, actions: list[Action]) -> None:
        core = self.machines[name].core
        assert core is not None
        reads = [action for action in actions if isinstance(action, ReadList)]
        self.reads += [name for _ in reads]
        if name in self.stuck | self.unanswered:
            actions = [action for action in actions if not isinstance(action, ReadList)]
        for read in reads if name in self.unanswered else ():
            self.at(
                self.now + core.list_reader_role.timing.timeout, partial(self.fail, name, core, read.number)
            )
        super().actions(name, actions)

    def fail(self, name: str, core: Node, number: int) -> None:
        def failed() -> None:
            self.actions(name, core.on_list_read(self.now, int(self.now * 1000), None, number))

        self.unless_frozen(name, core, failed)

    def make(self, start: NodeStart) -> Node:
        start.bounds = replace(start.bounds, drain_cutoff=self.cutoff)
        return super().make(start)

    def reader(self) -> str:
        (found,) = [name for name in self.up() if self.holds(name, LIST_READER)]
        return found

    def drain(self) -> None:
        """From now on the platform lists every server as draining."""
        assert self.listing is not None
        self.listing = {
            service: {id_: replace(server, accepting=False) for id_, server in servers.items()}
            for service, servers in self.listing.items()
        }

    def unaware(self) -> list[str]:
        """The nodes that still consider a server to be accepting, or know no servers."""
        tables = {name: self.machines[name].core.registry.tables for name in self.up()}  # type: ignore[union-attr]
        return [
            name
            for name, known in tables.items()
            if not known or any(s.accepting for table in known.values() for s in table.servers.values())
        ]


def test_nodes_learn_of_changes_although_a_read_of_the_list_never_reports_its_end() -> None:
    for seed in range(5):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        world.stuck = {world.reader()}
        world.run(6.0)
        world.drain()
        world.run(DRAIN_CUTOFF)
        assert world.unaware() == [] and not world.breaches


@pytest.mark.parametrize("cutoff", [2.0, 2.5, 3.0, 5.0])
def test_all_nodes_learn_of_a_change_within_four_fifths_of_the_cutoff_when_the_reader_hangs(
    cutoff: float,
) -> None:
    """The remaining fifth is for one lost message and for the transit of a request that was already sent."""
    for seed in range(8):
        world = ListWorld(4, 3, seed, cutoff)
        world.run(8.0 + seed / 16)  # at any moment between two reads
        world.stuck = {world.reader()}
        world.drain()
        world.run(0.8 * cutoff)
        assert world.unaware() == [] and not world.breaches


def test_holder_that_the_platform_does_not_answer_hands_the_role_to_another_node() -> None:
    for seed in range(5):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        first = world.reader()
        world.unanswered = {first}
        world.run(8.0)
        assert world.reader() != first
        world.drain()
        world.run(DRAIN_CUTOFF)
        assert world.unaware() == [] and not world.breaches


def test_the_only_candidate_retries_after_a_read_that_never_ended() -> None:
    world = ListWorld(1, 2)
    world.run(4.0)
    world.stuck = {"d1"}
    world.run(4.0)
    assert world.reader() == "d1" and len(world.reads) > 3  # it keeps retrying
    world.drain()
    world.stuck = set()
    world.run(DRAIN_CUTOFF)
    assert world.unaware() == []


def test_abandoned_read_has_no_effect_when_it_ends_later() -> None:
    world = ListWorld(4, 0)
    world.run(4.0)
    reader = world.reader()
    core = world.machines[reader].core
    assert core is not None
    world.stuck = {reader}
    abandoned = core.list_reader_role.number
    old = world.listing
    world.run(4.0)
    world.drain()
    world.run(DRAIN_CUTOFF)
    assert core.on_list_read(world.now, int(world.now * 1000) + 10_000, old, abandoned) == []
    assert world.unaware() == []


def test_role_rotates_while_the_platform_answers_no_node_and_changes_arrive_once_it_does() -> None:
    for seed in range(2):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        world.unanswered = {"d1", "d2", "d3", "d4"}
        world.reads.clear()
        world.run(30.0)
        assert set(world.reads) == world.unanswered and len(world.reads) >= 8
        world.drain()
        world.unanswered = set()
        world.run(DRAIN_CUTOFF + MAX_TIMEOUT)  # reads under way when the platform recovers still fail
        assert world.unaware() == [] and violated(world) == {LIST_KNOWN}  # since no node could read the list
        world.breaches.clear()
        world.run(20.0)
        first = len(world.reads)
        reader = world.reader()
        world.run(10.0)
        # while the platform answers, the role stays with its holder
        assert set(world.reads[first:]) == {reader}
        assert not world.breaches


@pytest.mark.parametrize("backups", [True, False])
def test_invariants_are_violated_if_a_holder_without_successful_reads_keeps_the_role(
    monkeypatch: pytest.MonkeyPatch, backups: bool
) -> None:
    """The list stays known if members read without the role, and does not if none of them does."""
    monkeypatch.setattr(ListReaderRole, "must_decline", lambda role, now: False)
    if not backups:
        monkeypatch.setattr(ListReaderRole, "is_backup_due", lambda role, now, age: False)
    world = ListWorld(4, 3)
    world.run(8.0)
    assert not world.breaches
    world.stuck = {world.reader()}
    world.run(8.0)
    assert violated(world) == ({LIST_READ} if backups else {LIST_READ, LIST_KNOWN})
    violated_now = [core.invariants.violated for core in cores(world)]
    assert sum(LIST_READ in names for names in violated_now) == 1
    assert all((LIST_KNOWN in names) is not backups for names in violated_now)


def test_no_node_reads_without_the_role_while_its_holder_reads() -> None:
    """Calls to the platform are limited and priced, so this must also hold if some messages are lost."""
    for seed in range(3):
        world = ListWorld(6, 4, seed)
        world.run(8.0)
        world.drop = 0.05
        world.reads.clear()
        world.run(30.0)
        assert set(world.reads) == {world.reader()}


def test_read_superseded_by_another_readers_table_has_no_effect_and_is_repeated() -> None:
    """Its list may be older than that table, but would be given a newer version."""
    world = ListWorld(4, 0)
    world.run(4.0)
    reader = world.reader()
    core = world.machines[reader].core
    assert core is not None
    role, old, world.stuck = core.list_reader_role, world.listing, {reader}
    world.run(role.timing.interval)
    under_way = role.number
    world.drain()
    # until another node has read the list
    world.run(role.read_at + (role.timing.backup_after + role.timing.overdue) / 2 - world.now)
    assert world.unaware() == [] and role.under_way and role.holds(world.now)
    world.stuck, world.reads = set(), []
    assert core.on_list_read(world.now, int(world.now * 1000) + 10_000, old, under_way) == []
    assert world.unaware() == []
    world.run(2 * world.pace)
    assert world.reads == [reader]


@pytest.mark.parametrize("name", ["d2", "d6"])
@pytest.mark.parametrize("seconds", [3.1, 3.6, 4.2])
def test_no_invariant_is_violated_by_a_node_that_has_just_stood_still(name: str, seconds: float) -> None:
    """Replies that it reads first make its contact with the core seem unbroken, but its list is old."""
    world = World(4, 3)
    world.run(10.0)
    world.read(name)  # requests replies of the core, which wait in its socket
    world.freeze(name)
    world.run(seconds)
    world.thaw(name)
    world.run(6.0)
    assert not world.breaches


def test_no_invariant_is_violated_while_nodes_stop_and_restart() -> None:
    for seed in range(3):
        world = ListWorld(4, 3, seed)
        world.run(8.0)
        for name in (world.reader(), "d2", "d6", world.reader()):
            if world.machines[name].core is not None:
                world.kill(name)
            world.run(2.0 + seed)
            world.start(name)
            world.run(6.0)
        assert not world.breaches


def cores(world: World) -> list[Node]:
    return [machine.core for machine in world.machines.values() if machine.core is not None]


def violated(world: World) -> set[str]:
    """The invariants that have been violated at any node."""
    return {name for core in cores(world) for name, count in core.invariants.violations.items() if count}


@pytest.mark.parametrize(
    ("cutoff", "interval", "timeout", "backup"),
    [(0.0, 0.1, 0.3, 0.3), (2.4, 0.4, 1.2, 1.2), (3.0, 0.5, 1.5, 1.5), (60.0, 0.5, 1.5, 1.5)],
)
def test_read_timing_follows_from_the_cutoff_within_bounds(
    cutoff: float, interval: float, timeout: float, backup: float
) -> None:
    timing = ListTiming.within(cutoff)
    assert (timing.interval, timing.timeout, timing.backup_after) == pytest.approx(
        (interval, timeout, backup)
    )
