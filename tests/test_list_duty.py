"""The duty of reading the platform's list, on simulated time: a holder that reads nothing more does not keep it."""

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
    """Reads of the list at some doors never end, or fail; `cutoff` is `drainCutoffMs` of the settings in seconds."""

    def __init__(self, core: int, others: int, seed: int = 1, cutoff: float = DRAIN_CUTOFF) -> None:
        self.cutoff = cutoff
        self.stuck: set[str] = set()  # their reads end without a word, as a task does that failed
        self.cut_off: set[str] = set()  # the platform does not answer them: each read fails after a time
        self.reads: list[str] = []
        super().__init__(core, others, seed)

    def actions(self, name: str, actions: list[Action]) -> None:
        core = self.machines[name].core
        assert core is not None
        polls = [action for action in actions if isinstance(action, ReadList)]
        self.reads += [name for _ in polls]
        if name in self.stuck | self.cut_off:
            actions = [action for action in actions if not isinstance(action, ReadList)]
        for poll in polls if name in self.cut_off else ():
            self.at(
                self.now + core.list_reader_role.timing.timeout, partial(self.fail, name, core, poll.number)
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
        """The platform lists every server as draining from now on."""
        assert self.listing is not None
        self.listing = {
            service: {id_: replace(server, accepting=False) for id_, server in servers.items()}
            for service, servers in self.listing.items()
        }

    def unaware(self) -> list[str]:
        """Doors that still take a server for accepting."""
        tables = {name: self.machines[name].core.registry.tables for name in self.up()}  # type: ignore[union-attr]
        return [
            name
            for name, known in tables.items()
            if not known or any(s.accepting for table in known.values() for s in table.servers.values())
        ]


def test_a_read_of_the_list_that_ends_without_a_word_does_not_keep_nodes_from_news() -> None:
    for seed in range(5):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        world.stuck = {world.reader()}
        world.run(6.0)
        world.drain()
        world.run(DRAIN_CUTOFF)
        assert world.unaware() == [] and not world.breaches


@pytest.mark.parametrize("cutoff", [2.0, 2.5, 3.0, 5.0])
def test_where_the_reader_gets_no_read_all_know_in_four_fifths_of_the_time(cutoff: float) -> None:
    """What is left is a lost message's, and the way of a request that was under way."""
    for seed in range(8):
        world = ListWorld(4, 3, seed, cutoff)
        world.run(8.0 + seed / 16)  # at any moment between two reads
        world.stuck = {world.reader()}
        world.drain()
        world.run(0.8 * cutoff)
        assert world.unaware() == [] and not world.breaches


def test_a_holder_that_the_platform_does_not_answer_hands_the_reading_to_another_node() -> None:
    for seed in range(5):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        first = world.reader()
        world.cut_off = {first}
        world.run(8.0)
        assert world.reader() != first
        world.drain()
        world.run(DRAIN_CUTOFF)
        assert world.unaware() == [] and not world.breaches


def test_the_only_node_that_may_read_begins_anew_after_a_read_without_an_end() -> None:
    world = ListWorld(1, 2)
    world.run(4.0)
    world.stuck = {"d1"}
    world.run(4.0)
    assert world.reader() == "d1" and len(world.reads) > 3  # it tries again and again
    world.drain()
    world.stuck = set()
    world.run(DRAIN_CUTOFF)
    assert world.unaware() == []


def test_a_read_that_was_given_up_changes_nothing_when_it_ends_after_all() -> None:
    world = ListWorld(4, 0)
    world.run(4.0)
    reader = world.reader()
    core = world.machines[reader].core
    assert core is not None
    world.stuck = {reader}
    late = core.list_reader_role.number
    old = world.listing
    world.run(4.0)
    world.drain()
    world.run(DRAIN_CUTOFF)
    assert core.on_list_read(world.now, int(world.now * 1000) + 10_000, old, late) == []
    assert world.unaware() == []


def test_while_the_platform_answers_nobody_the_role_goes_round_and_news_come_once_it_does() -> None:
    for seed in range(2):
        world = ListWorld(4, 3, seed)
        world.run(4.0)
        world.cut_off = {"d1", "d2", "d3", "d4"}
        world.reads.clear()
        world.run(30.0)
        assert set(world.reads) == world.cut_off and len(world.reads) >= 8
        world.drain()
        world.cut_off = set()
        world.run(DRAIN_CUTOFF + MAX_TIMEOUT)  # what is under way when the platform is back fails still
        assert world.unaware() == [] and violated(world) == {LIST_KNOWN}  # as nobody could read it
        world.breaches.clear()
        world.run(20.0)
        first = len(world.reads)
        reader = world.reader()
        world.run(10.0)
        assert set(world.reads[first:]) == {reader}  # with a platform that answers nobody hands it on
        assert not world.breaches


@pytest.mark.parametrize("backups", [True, False])
def test_the_invariants_bite_where_a_holder_that_reads_nothing_keeps_the_role(
    monkeypatch: pytest.MonkeyPatch, backups: bool
) -> None:
    """The list is known all the same where members read without the role, and is not where none does."""
    monkeypatch.setattr(ListReaderRole, "must_decline", lambda role, now: False)
    if not backups:
        monkeypatch.setattr(ListReaderRole, "is_backup_due", lambda role, now, age: False)
    world = ListWorld(4, 3)
    world.run(8.0)
    assert not world.breaches
    world.stuck = {world.reader()}
    world.run(8.0)
    assert violated(world) == ({LIST_READ} if backups else {LIST_READ, LIST_KNOWN})
    broken = [core.invariants.violated for core in cores(world)]
    assert sum(LIST_READ in one for one in broken) == 1
    assert all((LIST_KNOWN in one) is not backups for one in broken)


def test_nobody_reads_without_the_role_while_its_holder_reads() -> None:
    """Also where a part of the messages is lost: calls to the platform are bounded and priced."""
    for seed in range(3):
        world = ListWorld(6, 4, seed)
        world.run(8.0)
        world.drop = 0.05
        world.reads.clear()
        world.run(30.0)
        assert set(world.reads) == {world.reader()}


def test_a_read_that_another_readers_table_came_after_changes_nothing_and_is_made_again() -> None:
    """It may hold an older list than that one, and would become the newer version."""
    world = ListWorld(4, 0)
    world.run(4.0)
    reader = world.reader()
    core = world.machines[reader].core
    assert core is not None
    role, old, world.stuck = core.list_reader_role, world.listing, {reader}
    world.run(role.timing.interval)
    under_way = role.number
    world.drain()
    world.run(
        role.read_at + (role.timing.backup_after + role.timing.overdue) / 2 - world.now
    )  # another has read it
    assert world.unaware() == [] and role.under_way and role.holds(world.now)
    world.stuck, world.reads = set(), []
    assert core.on_list_read(world.now, int(world.now * 1000) + 10_000, old, under_way) == []
    assert world.unaware() == []
    world.run(2 * world.pace)
    assert world.reads == [reader]


def test_nothing_is_violated_while_nodes_end_and_come_back() -> None:
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
    """The invariants that have been violated at any door."""
    return {name for core in cores(world) for name, count in core.invariants.violations.items() if count}


@pytest.mark.parametrize(
    ("cutoff", "interval", "timeout", "backup"),
    [(0.0, 0.1, 0.3, 0.3), (2.4, 0.4, 1.2, 1.2), (3.0, 0.5, 1.5, 1.5), (60.0, 0.5, 1.5, 1.5)],
)
def test_times_of_reads_follow_from_the_cutoff_within_bounds(
    cutoff: float, interval: float, timeout: float, backup: float
) -> None:
    timing = ListTiming.within(cutoff)
    assert (timing.interval, timing.timeout, timing.backup_after) == pytest.approx(
        (interval, timeout, backup)
    )
