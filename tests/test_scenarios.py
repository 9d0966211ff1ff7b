"""The steps of the scenarios in tests/scenarios, which run on simulated nodes, links and time."""

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


class ScenarioContext:
    """A scenario's simulated world and the operator's calls in it."""

    world: World
    cut_off_holder: str = ""
    tenant: str = ""

    def __init__(self) -> None:
        self.tokens: dict[int, list[int]] = {}  # of the calls that sent a configuration, by its number
        self.holder_gaps: dict[int, float] = {}  # the longest time in seconds without a holder, by role

    def node_names(self, text: str) -> list[str]:
        return [f"d{number}" for number in re.findall(r"\d+", text)]

    def acknowledged(self, number: int) -> list[bool]:
        return [self.world.calls[token].succeeded for token in self.tokens[number]]

    def calls(self, number: int) -> list[Call]:
        return [self.world.calls[token] for token in self.tokens[number]]

    def holder(self, role: int = LIST_READER) -> str | None:
        return next((name for name in self.world.up() if self.world.holds(name, role)), None)

    def configuration_numbers(self) -> dict[str, int]:
        found = {}
        for name in self.world.up():
            core: Any = self.world.machines[name].core
            found[name] = core.control.state.configuration_version if core.control.state is not None else -1
        return found


@pytest.fixture
def context() -> Any:
    created = ScenarioContext()
    yield created
    assert created.world.breaches == []


@given(parsers.re(r"(?P<core>\d+) core nodes and (?P<others>\d+) others"))
def create_world(context: ScenarioContext, core: str, others: str) -> None:
    context.world = World(int(core), int(others))
    context.world.run(4.0)


@given(parsers.parse("configuration {number:d} has reached every node"))
def reached_every_node(context: ScenarioContext, number: int) -> None:
    send_configuration(context, number, 1)
    context.world.run(2.0)
    assert context.acknowledged(number) == [True] and set(context.configuration_numbers().values()) == {
        number
    }


@when(parsers.parse("the operator sends configuration {number:d} to node {node:d}"))
def send_configuration(context: ScenarioContext, number: int, node: int) -> None:
    context.tokens.setdefault(number, []).append(context.world.put(f"d{node}", number))


@when(parsers.parse("two operators send configuration {number:d} to nodes {one:d} and {other:d} at once"))
def send_two_configurations(context: ScenarioContext, number: int, one: int, other: int) -> None:
    context.tokens[number] = [
        context.world.put(f"d{one}", number, "one"),
        context.world.put(f"d{other}", number, "other"),
    ]


@when(parsers.re(r"(?P<seconds>[\d.]+) seconds? pass(es)?"))
def wait(context: ScenarioContext, seconds: str) -> None:
    context.world.run(float(seconds))


@when(parsers.parse("node {node:d} is killed"))
def kill(context: ScenarioContext, node: int) -> None:
    context.world.kill(f"d{node}")


@when(parsers.re(r"nodes (?P<nodes>[\d, and]+) are killed"))
def kill_several(context: ScenarioContext, nodes: str) -> None:
    for name in context.node_names(nodes):
        context.world.kill(name)


@when(parsers.parse("node {node:d} loses its disk"))
def wipe(context: ScenarioContext, node: int) -> None:
    context.world.wipe(f"d{node}")


@when(parsers.parse("node {node:d} restarts"))
def restart(context: ScenarioContext, node: int) -> None:
    context.world.start(f"d{node}")


@when(parsers.re(r"every node loses power, and (?P<wiped>none|node \d+) loses its disk"))
def lose_power(context: ScenarioContext, wiped: str) -> None:
    for name in context.world.up():
        context.world.wipe(name) if name in context.node_names(wiped) else context.world.kill(name)


@when("every node restarts")
def restart_all(context: ScenarioContext) -> None:
    for name, machine in context.world.machines.items():
        if machine.core is None:
            context.world.start(name)


@when(parsers.parse("every node restarts within {seconds:f} seconds"))
def restart_all_within(context: ScenarioContext, seconds: float) -> None:
    world = context.world
    for name in world.machines:
        world.at(world.now + seconds * world.random.random(), partial(world.start, name))


@when(parsers.re(r"the core is split between nodes? (?P<one>[\d, ]+) and nodes? (?P<other>[\d, ]+)"))
def split_core(context: ScenarioContext, one: str, other: str) -> None:
    for a in context.node_names(one):
        for b in context.node_names(other):
            context.world.cut |= {(a, b), (b, a)}


def cut_off(world: World, name: str, direction: str = "both") -> None:
    for other, machine in world.machines.items():
        if machine.info.disk_id and other != name:
            world.cut.add((other, name))
            if direction == "both":
                world.cut.add((name, other))


@when(parsers.parse("node {node:d} is cut off from the core"))
def cut_off_node(context: ScenarioContext, node: int) -> None:
    cut_off(context.world, f"d{node}")


@when(parsers.parse("node {node:d} receives nothing from the core"))
def cut_incoming(context: ScenarioContext, node: int) -> None:
    cut_off(context.world, f"d{node}", "in")


@when("the holder of the list reader role is cut off from the core")
def cut_off_list_reader(context: ScenarioContext) -> None:
    holder = context.holder()
    assert holder is not None
    cut_off(context.world, holder)


@when("the holder of a tenant's counter is cut off from the other core nodes only")
def cut_off_counter_holder(context: ScenarioContext) -> None:
    held = {context.holder(1 + shard(f"t{n}", TENANT_SHARDS)): f"t{n}" for n in range(40)}
    # On a tie between reported holders, nodes use the one with the last name.
    holder = max(name for name in held if name is not None)
    context.tenant = held[holder]
    for other in [
        name for name, machine in context.world.machines.items() if machine.info.disk_id and name != holder
    ]:
        context.world.cut |= {(holder, other), (other, holder)}
    context.cut_off_holder = holder


@then("every node gets credits from that tenant's counter at each request")
def every_node_gets_credits(context: ScenarioContext) -> None:
    for number in range(12):
        names = [name for name in context.world.up() if name != context.cut_off_holder]
        for name in names:
            core: Any = context.world.machines[name].core
            context.world.actions(name, core.lease_credits(context.world.now, context.tenant, number, 1.0))
        context.world.run(0.3)
        for name in names:
            granted = [
                action
                for action in context.world.machines[name].on_message
                if isinstance(action, CreditsGranted) and action.number == number
            ]
            assert len(granted) == 1, name


@when(parsers.parse("a spare node with a disk joins as node {node:d}"))
def add_spare_node(context: ScenarioContext, node: int) -> None:
    context.world.add(f"d{node}")


@when("the links are restored")
def restore_links(context: ScenarioContext) -> None:
    context.world.cut.clear()


@when("the holder of the list reader role is killed")
def kill_list_reader(context: ScenarioContext) -> None:
    holder = context.holder()
    assert holder is not None
    context.world.kill(holder)


@when("the holder of the list reader role drains")
def drain_list_reader(context: ScenarioContext) -> None:
    holder = context.holder()
    assert holder is not None
    core: Any = context.world.machines[holder].core
    context.world.actions(holder, core.drain(context.world.now))


@when(parsers.parse("every node drains and is back {down:f} seconds later, one every {interval:f} seconds"))
def restart_in_turn(context: ScenarioContext, down: float, interval: float) -> None:
    """Drain each node as hazelspring.daemon.node_process does, and restart it.

    A node releases its roles at once, and its process ends once clients know.  Then the next node follows.
    """
    world = context.world

    def drain(name: str) -> None:
        core: Any = world.machines[name].core
        core.ready = False
        world.actions(name, core.drain(world.now))
        world.at(world.now + down / 2, partial(world.kill, name))
        world.at(world.now + down, partial(world.start, name))

    for n, name in enumerate(world.machines):
        world.at(world.now + n * interval, partial(drain, name))
    last_held = dict.fromkeys(range(TENANT_SHARDS + 1), world.now)

    def check_holders() -> None:
        for role, held_at in last_held.items():
            if context.holder(role) is not None:
                last_held[role] = world.now
            context.holder_gaps[role] = max(context.holder_gaps.get(role, 0.0), world.now - held_at)
        world.at(world.now + 0.05, check_holders)

    check_holders()


@when(
    parsers.parse(
        "{seconds:f} seconds later the operator sends configuration {number:d} to node {node:d} "
        "and a server is drained"
    )
)
def send_configuration_and_drain_server(
    context: ScenarioContext, seconds: float, number: int, node: int
) -> None:
    context.world.at(context.world.now + seconds, lambda: send_configuration(context, number, node))
    context.world.at(context.world.now + seconds, lambda: drain_server(context))


@when("the nodes without the list reader role are killed and restarted while its holder is cut off from one")
def restart_all_but_the_holder(context: ScenarioContext) -> None:
    holder = context.holder()
    others = [name for name in context.world.up() if name != holder]
    assert holder is not None
    context.world.cut |= {(holder, others[0]), (others[0], holder)}
    for name in others:
        context.world.kill(name)
        context.world.start(name)


@when(parsers.parse("the disks of nodes {one:d} and {other:d} are full"))
def fill_disks(context: ScenarioContext, one: int, other: int) -> None:
    for number in (one, other):
        disk = context.world.machines[f"d{number}"].disk
        assert isinstance(disk, Disk)
        disk.full = True


@when("the disks have free space again")
def free_disk_space(context: ScenarioContext) -> None:
    for machine in context.world.machines.values():
        if machine.disk is not None:
            machine.disk.full = False


@when(
    parsers.re(
        r"the operator (?P<action>evacuates|ends the evacuation of) zone (?P<zone>\w+) at node (?P<node>\d+)"
    )
)
def evacuate(context: ScenarioContext, action: str, zone: str, node: str) -> None:
    context.world.evacuate(f"d{node}", zone, action == "evacuates")


@when("a server is drained")
def drain_server(context: ScenarioContext) -> None:
    listing = context.world.listing
    assert listing is not None
    context.world.listing = {"shop": {"i-1": replace(listing["shop"]["i-1"], accepting=False)}}


@then(parsers.re(r"configuration (?P<number>\d+) is (?P<negation>not )?acknowledged"))
def acknowledged(context: ScenarioContext, number: str, negation: str | None) -> None:
    assert context.acknowledged(int(number))[-1] is (negation is None)


@then(parsers.parse("configuration {number:d} is acknowledged within a second"))
def acknowledged_soon(context: ScenarioContext, number: int) -> None:
    for _ in range(200):
        context.world.run(0.005)
        if context.acknowledged(number)[-1]:
            return
    raise AssertionError(f"configuration {number} was not acknowledged within a second")


@then(
    parsers.parse("one of the two is acknowledged and the other rejected because number {number:d} is in use")
)
def one_of_two(context: ScenarioContext, number: int) -> None:
    outcomes = [call.done for call in context.calls(number)]
    assert len(outcomes) == 2 and all(outcome is not None for outcome in outcomes)
    assert sorted(outcome.succeeded for outcome in outcomes if outcome) == [False, True]
    assert [outcome.conflict for outcome in outcomes if outcome and not outcome.succeeded] == [True]
    assert all(
        outcome.state is not None and outcome.state.configuration_version == number
        for outcome in outcomes
        if outcome
    )


@then(parsers.parse("the one that was acknowledged is acknowledged again at every node"))
def acknowledged_again(context: ScenarioContext) -> None:
    number = list(context.tokens)[-1]
    (accepted,) = [call for call in context.calls(number) if call.succeeded]
    (rejected,) = [call for call in context.calls(number) if not call.succeeded]
    tokens = [context.world.put(name, number, accepted.digest.decode()) for name in context.world.up()]
    rejected_tokens = [
        context.world.put(name, number, rejected.digest.decode()) for name in context.world.up()
    ]
    context.world.run(3.0)
    assert all(context.world.calls[token].succeeded for token in tokens)
    assert all(
        (done := context.world.calls[token].done) is not None and done.conflict for token in rejected_tokens
    )


@then(parsers.parse("every node uses configuration {number:d}"))
def every_node_uses(context: ScenarioContext, number: int) -> None:
    assert set(context.configuration_numbers().values()) == {number}


@then(parsers.re(r"every node has the same configuration \d+|all core nodes have the same configuration"))
def same_configuration(context: ScenarioContext) -> None:
    cores: list[Any] = [context.world.machines[name].core for name in context.world.up()]
    assert len({core.control.state.configuration_digest for core in cores}) == 1


@then(parsers.re(r"a read at node (?P<node>\d+) returns (?P<result>nothing|configuration (?P<number>\d+))"))
def read_returns(context: ScenarioContext, node: str, result: str, number: str | None) -> None:
    token = context.world.read(f"d{node}")
    context.world.run(3.5)
    call = context.world.calls[token]
    assert call.succeeded is (result != "nothing")
    if number is not None:
        assert context.world.number(call) == int(number)


@then(parsers.re(r"node (?P<node>\d+) is (?P<article>no|a) member of the core"))
def is_member(context: ScenarioContext, node: str, article: str) -> None:
    core: Any = context.world.machines[f"d{node}"].core
    assert core.control.is_member() is (article == "a")


@then(parsers.re(r"node (?P<node>\d+) accepts (?P<negation>no )?requests with keys"))
def accepts_requests_with_keys(context: ScenarioContext, node: str, negation: str | None) -> None:
    assert context.world.fresh(f"d{node}") is (negation is None)


@then("every role has a holder")
def every_role_has_holder(context: ScenarioContext) -> None:
    assert all(context.holder(role) is not None for role in range(TENANT_SHARDS + 1))


@then(parsers.parse("node {node:d} sends clients of the {region} to nodes of {count:d} zones"))
def sends_clients_to_zones(context: ScenarioContext, node: int, region: str, count: int) -> None:
    core = context.world.machines[f"d{node}"].core
    assert core is not None
    nodes = [context.world.machines[ip].info for ip in core.peers.nodes_for_clients(region)]
    assert len({info.zone for info in nodes}) == count
    assert count > 2 or {info.region for info in nodes} == {region}


@then(parsers.parse("no role was without a holder for longer than {seconds:f} seconds"))
def roles_without_long_gaps(context: ScenarioContext, seconds: float) -> None:
    assert len(context.holder_gaps) == TENANT_SHARDS + 1 and max(context.holder_gaps.values()) <= seconds


@then("every node has been restarted")
def every_node_restarted(context: ScenarioContext) -> None:
    assert {machine.start_count for machine in context.world.machines.values()} == {2}


@then("the list reader role has a holder")
def list_reader_role_has_holder(context: ScenarioContext) -> None:
    assert context.holder() is not None


@then(parsers.re(r"(zone (?P<zone>\w+)|no zone) is evacuated at (every|any) node"))
def evacuated(context: ScenarioContext, zone: str | None) -> None:
    for name in context.world.up():
        core: Any = context.world.machines[name].core
        assert core.control.state.evacuated_zones == (frozenset((zone,)) if zone else frozenset())


@then("every node knows that the server drains")
def every_node_knows_that_server_drains(context: ScenarioContext) -> None:
    for name in context.world.up():
        core: Any = context.world.machines[name].core
        assert not core.registry.tables["shop"].servers["i-1"].accepting
