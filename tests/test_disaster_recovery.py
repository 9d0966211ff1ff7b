"""Disaster recovery: which losses require it; the old core decides and confirms nothing after it."""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence

import pytest

from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.acceptor import Acceptor, load_acceptor
from hazelspring.consensus.control_state import VERSIONS_PER_LINEAGE, Ballot, ControlState, Member, lineage
from hazelspring.consensus.disaster_recovery import (
    LegacyItems,
    RecoverySource,
    UnrecoverableError,
    newest_items,
    recovered_acceptor,
    source_from_acceptor,
    source_from_items,
)
from hazelspring.consensus.messages import (
    KNOWS_NOTHING,
    Accept,
    ConsensusMessage,
    Decision,
    Prepare,
    StateRequest,
)
from hazelspring.localfleet.fleet import configuration
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Send
from hazelspring.node.control_replica import ControlReplica
from hazelspring.node.messages import Message

from .world import World

MEMBERS = tuple(Member(f"d{n}", "z", "east", n) for n in (1, 2, 3))
BODY = configuration(7)
COMPRESSED_BODY = zlib.compress(BODY, 6)
DECIDED = ControlState(4, MEMBERS, MEMBERS, 3, 7, configuration_digest(BODY), frozenset({"z1"}))


def bootstrapped_world(seed: int = 1, odd: float = 0.0) -> World:
    """Return a world of four members and two other nodes, at configuration 5."""
    world = World(4, 2, seed, odd=odd)
    world.run(3.5)
    token = world.put("d1", 5, "five")
    world.run(1.5)
    assert world.calls[token].succeeded and not world.breaches
    return world


def recover(world: World, name: str, source: RecoverySource | None = None, size: int = 0) -> None:
    """Recover as the operator does: stop the node, replace its disk's records, start the node."""
    world.kill(name)
    machine = world.machines[name]
    assert machine.disk is not None
    source = source or source_from_acceptor(load_acceptor(machine.disk.records, 0, False), True)
    member = Member(name, machine.info.zone, machine.info.region, world.disk_number())
    recovered = recovered_acceptor(source, member, size, 10**12 + int(world.now * 1000))
    machine.disk.records = {k: body for k, body in recovered.take_dirty_records().items() if body is not None}
    world.start(name)


def outcomes(world: World, *tokens: int) -> list[bool]:
    """Run until all proposals have ended, and return whether each succeeded."""
    world.run(3.5)
    return [world.calls[token].succeeded for token in tokens]


def lineages(world: World) -> set[int]:
    """Return the lineages of the states at the running nodes."""
    return {lineage(world.machines[name].core.control.acceptor.version) for name in world.up()}  # type: ignore[union-attr]


def member_addresses(world: World, name: str) -> list[str]:
    """Return the addresses of the members as known to a node."""
    core = world.machines[name].core
    assert core is not None
    return [member.ip for member in core.peers.members]


def test_after_a_majority_of_disks_is_lost_no_proposal_succeeds_until_a_recovery() -> None:
    world = bootstrapped_world()
    for name in ("d2", "d3", "d4"):
        world.wipe(name)
        world.start(name)
    for _ in range(10):  # only a recovery can repair this loss
        assert outcomes(world, world.put("d1", 6), world.evacuate("d2", "z1", True)) == [False, False]
    recover(world, "d1")
    world.run(2.0)
    assert member_addresses(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.read("d3")
    assert outcomes(world, token, world.put("d5", 6)) == [True, True] and world.mark_read(token) == "five"
    world.kill("d1")  # the recovered core tolerates the loss of any one member, as before
    assert outcomes(world, world.put("d2", 8), world.read("d6")) == [True, True]
    assert not world.breaches


def test_after_an_upgrade_from_format_1_there_is_no_core_until_a_recovery() -> None:
    world = bootstrapped_world()
    for name in world.machines:
        world.wipe(name)
        world.start(name)
    for _ in range(10):  # only a recovery can repair this loss
        assert outcomes(world, world.put("d1", 6), world.read("d2")) == [False, False]
        assert not any(world.machines[name].core.core_agreed() for name in world.up())  # type: ignore[union-attr]
    recover(
        world,
        "d4",
        source_from_items({"word": ((7, b""), COMPRESSED_BODY), "zone/z1": ((2, b""), b"1")}),
        size=4,
    )
    world.run(2.0)
    assert member_addresses(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.read("d1")
    assert outcomes(world, token) == [True]
    state = world.calls[token].done.state  # type: ignore[union-attr]
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z1"}),
        4,
    )
    assert outcomes(world, world.put("d2", 8)) == [True] and not world.breaches


def world_with_two_cores(seed: int = 1, odd: float = 0.0) -> World:
    """Return a world where d1 was recovered and has configuration 7, while the old core continued.

    The links between d1 and the other nodes are cut.  The old core has decided some of the configurations
    8 to 12.
    """
    world = bootstrapped_world(seed, odd)
    others = [name for name in world.machines if name != "d1"]
    world.cut |= {(a, b) for name in others for a, b in (("d1", name), (name, "d1"))}
    tokens = [world.put(f"d{2 + number % 3}", number) for number in range(8, 13)]
    assert True in outcomes(world, *tokens)
    recover(world, "d1")
    # Nothing can prevent two cores while no node of one can reach the other.
    assert outcomes(world, world.put("d1", 7, "seven"), world.read("d2")) == [True, True]
    return world


@pytest.mark.parametrize("seed", range(12))
def test_an_old_majority_that_comes_back_adopts_the_recovered_core_and_rejoins(seed: int) -> None:
    world = world_with_two_cores(seed, 0.1 * (seed % 2))
    rng = random.Random(seed)
    for name in ("d2", "d3", "d4"):
        if rng.random() < 0.5:
            world.kill(name)
    # Other breaches are expected from the time with two cores.
    world.breaches = [breach for breach in world.breaches if "known to be over" in breach]
    world.cut.clear()
    for index, name in enumerate(["d2", "d3", "d4"]):
        world.put(f"d{2 + index}", 13 + index)  # in progress while the old members learn of the new core
        if name not in world.up():
            world.start(name)
        world.run(rng.random())
    assert not [breach for breach in world.breaches if "known to be over" in breach]
    world.run(4.0)
    world.breaches.clear()  # these are from the time before the nodes learned of the new core
    assert len(lineages(world)) == 1 and 0 not in lineages(world)
    assert member_addresses(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.put("d3", 20, "on")
    assert outcomes(world, token) == [True]
    world.kill("d1")
    reads = [world.read(name) for name in world.up()]
    assert outcomes(world, *reads) == [True] * 5 and {world.mark_read(t) for t in reads} == {"on"}
    assert not world.breaches


def withhold_recovered_state(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let nodes learn the version of the recovered core, but lose the messages that contain its state."""
    send = world.send

    def send_unless_recovered(source: str, to: str, message: Message) -> None:
        if not isinstance(message, Decision) or lineage(message.state.version) == 0:
            send(source, to, message)

    monkeypatch.setattr(world, "send", send_unless_recovered)


def outcomes_by_old_state(world: World, machines: Sequence[str]) -> list[bool]:
    """Return whether reads, a repeated put, a new put and the end of an evacuation succeed at each node."""
    tokens = []
    for name in machines:
        tokens += [
            world.read(name),
            world.put(name, 5, "five"),
            world.put(name, 30),
            world.evacuate(name, "z1", False),
        ]
    return outcomes(world, *tokens)


def test_a_node_that_knows_of_a_recovered_core_confirms_nothing_from_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = world_with_two_cores()
    withhold_recovered_state(world, monkeypatch)
    world.cut.clear()
    world.run(3.0)  # until the leases of the old core have expired
    world.breaches.clear()
    assert not any(outcomes_by_old_state(world, ["d2", "d3", "d4", "d5"])) and not world.breaches
    assert not any(world.fresh(name) for name in ("d2", "d5")) and lineages(world) >= {0}
    monkeypatch.undo()
    world.run(6.0)
    assert 0 not in lineages(world) and all(outcomes(world, world.put("d2", 31), world.read("d4")))


def test_without_the_check_of_the_lineage_a_node_confirms_the_old_core(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = world_with_two_cores()
    withhold_recovered_state(world, monkeypatch)
    monkeypatch.setattr(Acceptor, "is_superseded", lambda self: False)
    world.breaches.clear()
    world.cut.clear()
    world.run(2.5)
    assert any(outcomes_by_old_state(world, ["d2", "d3", "d4", "d5"]))
    assert any("known to be over" in breach for breach in world.breaches)


def test_the_later_one_of_two_recoveries_prevails() -> None:
    world = bootstrapped_world()
    world.cut |= {
        (a, b) for a in world.machines for b in world.machines if (a in "d1 d2") is not (b in "d1 d2")
    }
    recover(world, "d1")
    assert outcomes(world, world.put("d1", 6, "first")) == [True]
    recover(world, "d3")
    assert outcomes(world, world.put("d3", 6, "later")) == [True]
    world.cut.clear()
    world.run(8.0)
    world.breaches.clear()
    assert len(lineages(world)) == 1 and member_addresses(world, "d1") == ["d1", "d2", "d3", "d4"]
    token = world.read("d1")
    assert outcomes(world, token) == [True] and world.mark_read(token) == "later"
    assert not world.breaches


def test_old_members_find_a_recovered_disk_at_a_new_address_and_adopt_its_state() -> None:
    world = bootstrapped_world()
    disk = world.machines["d4"].disk
    for name in ("d1", "d2", "d3", "d4"):
        world.kill(name)
    world.remove("d4")
    world.add("d9")
    world.kill("d9")
    world.machines["d9"].disk = disk
    recover(world, "d9")
    world.start("d2")  # it has the old state, and is not a majority on its own
    world.run(3.0)
    assert member_addresses(world, "d2") == ["d2", "d9"] and outcomes(world, world.put("d2", 6)) == [True]
    world.start("d1")
    world.start("d3")
    world.run(4.0)
    assert member_addresses(world, "d6") == ["d1", "d2", "d3", "d9"] and not world.breaches


def acceptor_with_pending_state() -> Acceptor:
    """Return a member's acceptor that knows version 4 as decided, and has accepted 5 at a higher ballot."""
    acceptor = Acceptor(2, False)
    acceptor.dirty_records.add("disk")
    acceptor.learn(Ballot(3, 1, "d1"), DECIDED, COMPRESSED_BODY)
    acceptor.accept(Ballot(9, 1, "d3"), ControlState(5, MEMBERS, MEMBERS, 3, 7, configuration_digest(BODY)))
    return acceptor


def test_recovery_continues_from_the_accepted_state_unless_the_decided_one_is_chosen() -> None:
    assert source_from_acceptor(acceptor_with_pending_state(), True).state.evacuated_zones == frozenset()
    source = source_from_acceptor(acceptor_with_pending_state(), False)
    assert source.state == DECIDED and source.highest_ballot_count == 9
    recovered = recovered_acceptor(source, Member("d9", "z", "east", 77), 0, 1000)
    state = recovered.state
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z1"}),
        3,
    )
    assert (
        state.members == state.previous_members == (Member("d9", "z", "east", 77),)
        and recovered.disk_id == 77
    )
    assert (state.version, recovered.promised.counter) == (1000 * VERSIONS_PER_LINEAGE + 5, 10)
    assert (
        load_acceptor(
            {k: b for k, b in recovered.take_dirty_records().items() if b is not None}, 0, False
        ).state
        == state
    )
    earlier = 500  # as if the clock had been set back
    again = recovered_acceptor(
        source_from_acceptor(recovered, True), Member("d9", "z", "east", 78), 0, earlier
    )
    assert lineage(again.version) == 1001
    with pytest.raises(UnrecoverableError, match="contains no state that was decided"):
        source_from_acceptor(Acceptor(1, True), True)


def test_adopting_a_recovered_state_voids_what_was_accepted_at_a_higher_ballot() -> None:
    """A round takes the value accepted at the highest ballot: the old value would hide that of the new core.

    The promise at the higher ballot remains.
    """
    acceptor = acceptor_with_pending_state()
    source = RecoverySource(DECIDED, COMPRESSED_BODY)
    recovered = recovered_acceptor(source, Member("d9", "z", "east", 77), 0, 1000)
    assert recovered.decided is not None and recovered.decided[0] < Ballot(9, 1, "d3")
    assert acceptor.learn(*recovered.decided)
    assert acceptor.accepted == recovered.decided and acceptor.promised == Ballot(9, 1, "d3")
    assert not acceptor.learn(Ballot(99, 1, "d1"), ControlState(6, MEMBERS, MEMBERS, 3))


def control_replica_of(acceptor: Acceptor, ip: str) -> ControlReplica:
    """Return the replica of a node that starts with the records of an acceptor."""
    records = {name: body for name, body in acceptor.take_dirty_records().items() if body is not None}
    return ControlReplica(
        0.0, PeerTable(NodeInfo(ip, "z", "east", acceptor.disk_id, 1), 0.0), records, False, []
    )


@pytest.mark.parametrize("kind", ["prepare", "accept"])
def test_a_round_of_another_lineage_is_ignored(kind: str) -> None:
    """A promise across lineages would report a state of the old one, at a ballot that hides the new one."""
    recovered = recovered_acceptor(
        RecoverySource(DECIDED, COMPRESSED_BODY), Member("d9", "z", "east", 77), 0, 1000
    )
    assert recovered.state is not None and recovered.decided is not None
    old, new = control_replica_of(acceptor_with_pending_state(), "d2"), control_replica_of(recovered, "d9")

    def request(base_version: int, state: ControlState) -> ConsensusMessage:
        ballot = Ballot(10**9, 1, "d3")
        if kind == "prepare":
            return Prepare(ballot, base_version, KNOWS_NOTHING)
        return Accept(ballot, base_version, state)

    actions = new.on_message(1.0, "d3", request(5, DECIDED))
    replies = [action.message for action in actions if isinstance(action, Send)]
    assert [type(message) for message in replies] == [Decision] and new.acceptor.accepted == recovered.decided
    actions = old.on_message(1.0, "d9", request(recovered.version, recovered.state))
    replies = [action.message for action in actions if isinstance(action, Send)]
    assert [type(message) for message in replies] == [StateRequest] and old.acceptor.is_superseded()
    # A node neither votes in a lineage that it knows to be superseded, nor learns a state from it.
    assert old.on_message(1.1, "d3", request(4, recovered.state)) == []
    later = ControlState(6, MEMBERS, MEMBERS, 3)
    old.on_message(1.2, "d3", Decision(Ballot(99, 1, "d3"), later))
    assert old.state == DECIDED


def test_each_item_of_format_1_is_taken_from_the_disk_with_the_highest_stamp() -> None:
    one: LegacyItems = {"word": ((3, b"b"), b"w3"), "zone/a": ((2, b"x"), b"1"), "zone/b": ((1, b"x"), b"1")}
    two: LegacyItems = {"word": ((3, b"a"), b"other"), "zone/a": ((2, b"y"), b"0")}
    assert newest_items([one, two]) == newest_items([two, one]) == {**one, "zone/a": ((2, b"y"), b"0")}
    with pytest.raises(UnrecoverableError, match="contains no configuration and no state of a zone"):
        source_from_items({})
