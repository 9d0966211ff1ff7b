"""The steps of the scenarios in tests/scenarios, which run on a simulated world."""

from __future__ import annotations

import re
from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hazelspring.membership.rendezvous import shard
from hazelspring.node.quota_calls import TENANT_SHARDS
from hazelspring.quota.credits import CreditsGranted
from hazelspring.registry.list_reader_role import LIST_READER

from .world import Call, Disk, World

scenarios("scenarios")


class Stage:
    """A scenario's world and the calls made in it."""

    world: World
    lost: str = ""
    tenant: str = ""

    def __init__(self) -> None:
        self.tokens: dict[int, list[int]] = {}
        self.holder_gaps: dict[int, float] = {}  # the longest time in seconds without a holder, by role

    def names(self, text: str) -> list[str]:
        return [f"d{number}" for number in re.findall(r"\d+", text)]

    def acknowledged(self, number: int) -> list[bool]:
        return [self.world.calls[token].good for token in self.tokens[number]]

    def calls(self, number: int) -> list[Call]:
        return [self.world.calls[token] for token in self.tokens[number]]

    def holder(self, role: int = LIST_READER) -> str | None:
        return next((name for name in self.world.up() if self.world.holds(name, role)), None)

    def numbers(self) -> dict[str, int]:
        found = {}
        for name in self.world.up():
            core: Any = self.world.machines[name].core
            found[name] = core.control.state.configuration_version if core.control.state is not None else -1
        return found


@pytest.fixture
def stage() -> Any:
    made = Stage()
    yield made
    assert made.world.breaches == []


@given(parsers.re(r"(?P<core>\d+) core nodes and (?P<others>\d+) others"))
def machines(stage: Stage, core: str, others: str) -> None:
    stage.world = World(int(core), int(others))
    stage.world.run(4.0)


@given(parsers.parse("configuration {number:d} has reached every node"))
def reached_every_node(stage: Stage, number: int) -> None:
    put(stage, number, 1)
    stage.world.run(2.0)
    assert stage.acknowledged(number) == [True] and set(stage.numbers().values()) == {number}


@when(parsers.parse("the operator sends configuration {number:d} to node {machine:d}"))
def put(stage: Stage, number: int, machine: int) -> None:
    stage.tokens.setdefault(number, []).append(stage.world.put(f"d{machine}", number))


@when(parsers.parse("two operators send configuration {number:d} to nodes {one:d} and {other:d} at once"))
def race(stage: Stage, number: int, one: int, other: int) -> None:
    stage.tokens[number] = [
        stage.world.put(f"d{one}", number, "one"),
        stage.world.put(f"d{other}", number, "other"),
    ]


@when(parsers.re(r"(?P<seconds>[\d.]+) seconds? pass(es)?"))
def wait(stage: Stage, seconds: str) -> None:
    stage.world.run(float(seconds))


@when(parsers.parse("node {machine:d} is killed"))
def kill(stage: Stage, machine: int) -> None:
    stage.world.kill(f"d{machine}")


@when(parsers.re(r"nodes (?P<which>[\d, and]+) are killed"))
def kill_all(stage: Stage, which: str) -> None:
    for name in stage.names(which):
        stage.world.kill(name)


@when(parsers.parse("node {machine:d} loses its disk"))
def wipe(stage: Stage, machine: int) -> None:
    stage.world.wipe(f"d{machine}")


@when(parsers.parse("node {machine:d} restarts"))
def restart(stage: Stage, machine: int) -> None:
    stage.world.start(f"d{machine}")


@when(parsers.re(r"every node loses power, and (?P<which>none|node \d+) loses its disk"))
def power(stage: Stage, which: str) -> None:
    for name in stage.world.up():
        stage.world.wipe(name) if name in stage.names(which) else stage.world.kill(name)


@when("every node restarts")
def restart_all(stage: Stage) -> None:
    for name, machine in stage.world.machines.items():
        if machine.core is None:
            stage.world.start(name)


@when(parsers.parse("every node restarts within {seconds:f} seconds"))
def restart_all_within(stage: Stage, seconds: float) -> None:
    world = stage.world
    for name in world.machines:
        world.at(world.now + seconds * world.random.random(), partial(world.start, name))


@when(parsers.re(r"the core is cut into (?P<one>[\d, ]+) and (?P<other>[\d, ]+)"))
def core_cut(stage: Stage, one: str, other: str) -> None:
    for a in stage.names(one):
        for b in stage.names(other):
            stage.world.cut |= {(a, b), (b, a)}


def cut_off(world: World, name: str, ways: str = "both") -> None:
    for other, machine in world.machines.items():
        if machine.about.disk_id and other != name:
            world.cut.add((other, name))
            if ways == "both":
                world.cut.add((name, other))


@when(parsers.parse("node {machine:d} is cut off from the core"))
def machine_cut(stage: Stage, machine: int) -> None:
    cut_off(stage.world, f"d{machine}")


@when(parsers.parse("node {machine:d} receives nothing from the core"))
def cut_incoming(stage: Stage, machine: int) -> None:
    cut_off(stage.world, f"d{machine}", "in")


@when("the holder of the list reader role is cut off from the core")
def holder_cut(stage: Stage) -> None:
    holder = stage.holder()
    assert holder is not None
    cut_off(stage.world, holder)


@when("the holder of a tenant's counter is cut off from the core nodes alone")
def counter_cut(stage: Stage) -> None:
    held = {stage.holder(1 + shard(f"t{n}", TENANT_SHARDS)): f"t{n}" for n in range(40)}
    holder = max(name for name in held if name is not None)  # where nodes disagree they use the last name
    stage.tenant = held[holder]
    for other in [
        name for name, machine in stage.world.machines.items() if machine.about.disk_id and name != holder
    ]:
        stage.world.cut |= {(holder, other), (other, holder)}
    stage.lost = holder


@then("every node gets a lease from that tenant's counter, whenever it asks")
def all_lease(stage: Stage) -> None:
    for number in range(12):
        names = [name for name in stage.world.up() if name != stage.lost]
        for name in names:
            core: Any = stage.world.machines[name].core
            stage.world.actions(name, core.lease_credits(stage.world.now, stage.tenant, number, 1.0))
        stage.world.run(0.3)
        for name in names:
            granted = [
                action
                for action in stage.world.machines[name].on_message
                if isinstance(action, CreditsGranted) and action.number == number
            ]
            assert len(granted) == 1, name


@when(parsers.parse("a spare node with a disk joins as node {machine:d}"))
def spare(stage: Stage, machine: int) -> None:
    stage.world.add(f"d{machine}")


@when("the links are restored")
def restore_links(stage: Stage) -> None:
    stage.world.cut.clear()


@when("the holder of the list reader role is killed")
def holder_killed(stage: Stage) -> None:
    holder = stage.holder()
    assert holder is not None
    stage.world.kill(holder)


@when("the holder of the list reader role drains")
def holder_drains(stage: Stage) -> None:
    holder = stage.holder()
    assert holder is not None
    core: Any = stage.world.machines[holder].core
    stage.world.actions(holder, core.drain(stage.world.now))


@when(parsers.parse("every node drains and is back {down:f} seconds later, one every {gap:f} seconds"))
def roll(stage: Stage, down: float, gap: float) -> None:
    """Drain as hazelspring.daemon.node_process does.

    Roles are given up at once, the process ends once clients know; then the next node follows.
    """
    world = stage.world

    def leave(name: str) -> None:
        core: Any = world.machines[name].core
        core.ready = False
        world.actions(name, core.drain(world.now))
        world.at(world.now + down / 2, partial(world.kill, name))
        world.at(world.now + down, partial(world.start, name))

    for n, name in enumerate(world.machines):
        world.at(world.now + n * gap, partial(leave, name))
    held = dict.fromkeys(range(TENANT_SHARDS + 1), world.now)

    def look() -> None:
        for role, since in held.items():
            if stage.holder(role) is not None:
                held[role] = world.now
            stage.holder_gaps[role] = max(stage.holder_gaps.get(role, 0.0), world.now - since)
        world.at(world.now + 0.05, look)

    look()


@when(
    parsers.parse(
        "{seconds:f} seconds later the operator sends configuration {number:d} to node {machine:d} "
        "and a server is drained"
    )
)
def meanwhile(stage: Stage, seconds: float, number: int, machine: int) -> None:
    stage.world.at(stage.world.now + seconds, lambda: put(stage, number, machine))
    stage.world.at(stage.world.now + seconds, lambda: drained(stage))


@when("the nodes without the list reader role are killed and restarted while its holder is cut off from one")
def restart_all_but_the_holder(stage: Stage) -> None:
    holder = stage.holder()
    others = [name for name in stage.world.up() if name != holder]
    assert holder is not None
    stage.world.cut |= {(holder, others[0]), (others[0], holder)}
    for name in others:
        stage.world.kill(name)
        stage.world.start(name)


@when(parsers.parse("the disks of nodes {one:d} and {other:d} are full"))
def full(stage: Stage, one: int, other: int) -> None:
    for number in (one, other):
        disk = stage.world.machines[f"d{number}"].disk
        assert isinstance(disk, Disk)
        disk.full = True


@when("the disks have free space again")
def free_space(stage: Stage) -> None:
    for machine in stage.world.machines.values():
        if machine.disk is not None:
            machine.disk.full = False


@when(
    parsers.re(
        r"the operator (?P<what>evacuates|ends the evacuation of) zone (?P<zone>\w+) at node (?P<machine>\d+)"
    )
)
def evacuate(stage: Stage, what: str, zone: str, machine: str) -> None:
    stage.world.evacuate(f"d{machine}", zone, what == "evacuates")


@when("a server is drained")
def drained(stage: Stage) -> None:
    listing = stage.world.listing
    assert listing is not None
    stage.world.listing = {"shop": {"i-1": replace(listing["shop"]["i-1"], accepting=False)}}


@then(parsers.re(r"configuration (?P<number>\d+) is (?P<no>not )?acknowledged"))
def acknowledged(stage: Stage, number: str, no: str | None) -> None:
    assert stage.acknowledged(int(number))[-1] is (no is None)


@then(parsers.parse("configuration {number:d} is acknowledged within a second"))
def acknowledged_soon(stage: Stage, number: int) -> None:
    for _ in range(200):
        stage.world.run(0.005)
        if stage.acknowledged(number)[-1]:
            return
    raise AssertionError("it was not acknowledged within a second")


@then(
    parsers.parse("one of the two is acknowledged and the other refused because number {number:d} is in use")
)
def one_of_two(stage: Stage, number: int) -> None:
    ends = [call.done for call in stage.calls(number)]
    assert len(ends) == 2 and all(end is not None for end in ends)
    assert sorted(end.succeeded for end in ends if end) == [False, True]
    assert [end.conflict for end in ends if end and not end.succeeded] == [True]
    assert all(end.state is not None and end.state.configuration_version == number for end in ends if end)


@then(parsers.parse("the one that was acknowledged is acknowledged again at every node"))
def again(stage: Stage) -> None:
    number = list(stage.tokens)[-1]
    (won,) = [call for call in stage.calls(number) if call.good]
    (lost,) = [call for call in stage.calls(number) if not call.good]
    tokens = [stage.world.put(name, number, won.digest.decode()) for name in stage.world.up()]
    others = [stage.world.put(name, number, lost.digest.decode()) for name in stage.world.up()]
    stage.world.run(3.0)
    assert all(stage.world.calls[token].good for token in tokens)
    assert all((done := stage.world.calls[token].done) is not None and done.conflict for token in others)


@then(parsers.parse("every node uses configuration {number:d}"))
def all_use(stage: Stage, number: int) -> None:
    assert set(stage.numbers().values()) == {number}


@then(parsers.re(r"every node holds the same configuration \d+|all core nodes hold the same"))
def same(stage: Stage) -> None:
    cores: list[Any] = [stage.world.machines[name].core for name in stage.world.up()]
    assert len({core.control.state.configuration_digest for core in cores}) == 1


@then(parsers.re(r"a read at node (?P<machine>\d+) returns (?P<what>nothing|configuration (?P<number>\d+))"))
def reading(stage: Stage, machine: str, what: str, number: str | None) -> None:
    token = stage.world.read(f"d{machine}")
    stage.world.run(3.5)
    call = stage.world.calls[token]
    assert call.good is (what != "nothing")
    if number is not None:
        assert stage.world.number(call) == int(number)


@then(parsers.re(r"node (?P<machine>\d+) is (?P<what>no|a) member of the core"))
def is_member(stage: Stage, machine: str, what: str) -> None:
    core: Any = stage.world.machines[f"d{machine}"].core
    assert core.control.is_member() is (what == "a")


@then(parsers.re(r"node (?P<machine>\d+) accepts (?P<no>no )?requests with keys"))
def accepts_keys(stage: Stage, machine: str, no: str | None) -> None:
    assert stage.world.fresh(f"d{machine}") is (no is None)


@then("every role has a holder")
def all_held(stage: Stage) -> None:
    assert all(stage.holder(role) is not None for role in range(TENANT_SHARDS + 1))


@then(parsers.parse("node {machine:d} sends clients of the {region} to nodes of {count:d} zones"))
def sends(stage: Stage, machine: int, region: str, count: int) -> None:
    core = stage.world.machines[f"d{machine}"].core
    assert core is not None
    found = [stage.world.machines[ip].about for ip in core.peers.nodes_for_clients(region)]
    assert len({about.zone for about in found}) == count
    assert count > 2 or {about.region for about in found} == {region}


@then(parsers.parse("no role was without a holder for longer than {seconds:f} seconds"))
def few_gaps(stage: Stage, seconds: float) -> None:
    assert len(stage.holder_gaps) == TENANT_SHARDS + 1 and max(stage.holder_gaps.values()) <= seconds


@then("every node has been restarted")
def all_restarted(stage: Stage) -> None:
    assert {machine.lives for machine in stage.world.machines.values()} == {2}


@then("the list reader role has a holder")
def has_holder(stage: Stage) -> None:
    assert stage.holder() is not None


@then(parsers.re(r"(zone (?P<zone>\w+)|no zone) is evacuated at (every|any) node"))
def evacuated(stage: Stage, zone: str | None) -> None:
    for name in stage.world.up():
        core: Any = stage.world.machines[name].core
        assert core.control.state.evacuated_zones == (frozenset((zone,)) if zone else frozenset())


@then("every node knows that the server drains")
def knows(stage: Stage) -> None:
    for name in stage.world.up():
        core: Any = stage.world.machines[name].core
        assert not core.registry.tables["shop"].servers["i-1"].accepting
