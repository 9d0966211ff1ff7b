"""Rescue by hand: the holes that it is for, brought about; and what fences the old core."""

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
    HOLDS_NOTHING,
    Accept,
    ConsensusMessage,
    Decision,
    Prepare,
    StateRequest,
)
from hazelspring.localfleet.fleet import configuration
from hazelspring.membership.peer_table import NodeInfo, PeerTable
from hazelspring.node.actions import Send
from hazelspring.node.control_replica import ControlReplica
from hazelspring.node.messages import Message

from .world import World

SEATS = tuple(Member(f"d{n}", "z", "east", n) for n in (1, 2, 3))
BODY = configuration(7)
WORD = zlib.compress(BODY, 6)
HELD = ControlState(4, SEATS, SEATS, 3, 7, configuration_digest(BODY), frozenset({"z1"}))


# --- doors -----------------------------------------------------------------------------------------------------------


def founded(seed: int = 1, odd: float = 0.0) -> World:
    """Four members and two others, at configuration 5."""
    world = World(4, 2, seed, odd=odd)
    world.run(3.5)
    token = world.put("d1", 5, "five")
    world.run(1.5)
    assert world.calls[token].good and not world.breaches
    return world


def rescue(world: World, name: str, source: RecoverySource | None = None, size: int = 0) -> None:
    """As the operator does: the door is stopped, its disk gets the new records, the door starts."""
    world.kill(name)
    machine = world.machines[name]
    assert machine.disk is not None
    source = source or source_from_acceptor(load_acceptor(machine.disk.records, 0, False), True)
    member = Member(name, machine.about.zone, machine.about.region, world.disk_number())
    made = recovered_acceptor(source, member, size, 10**12 + int(world.now * 1000))
    machine.disk.records = {k: body for k, body in made.take_dirty_records().items() if body is not None}
    world.start(name)


def settle(world: World, *tokens: int) -> list[bool]:
    world.run(3.5)
    return [world.calls[token].good for token in tokens]


def lineages(world: World) -> set[int]:
    return {lineage(world.machines[name].core.control.acceptor.version) for name in world.up()}  # type: ignore[union-attr]


def seats(world: World, name: str) -> list[str]:
    core = world.machines[name].core
    assert core is not None
    return [member.ip for member in core.peers.members]


def test_after_a_majority_of_the_disks_is_lost_no_order_is_taken_until_a_rescue() -> None:
    world = founded()
    for name in ("d2", "d3", "d4"):
        world.wipe(name)
        world.start(name)
    for _ in range(10):  # the hole
        assert settle(world, world.put("d1", 6), world.evacuate("d2", "z1", True)) == [False, False]
    rescue(world, "d1")
    world.run(2.0)
    assert seats(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.read("d3")
    assert settle(world, token, world.put("d5", 6)) == [True, True] and world.mark_read(token) == "five"
    world.kill("d1")  # any one of them, as ever
    assert settle(world, world.put("d2", 8), world.read("d6")) == [True, True]
    assert not world.breaches


def test_after_an_upgrade_from_format_1_there_is_no_core_until_a_rescue() -> None:
    world = founded()
    for name in world.machines:
        world.wipe(name)
        world.start(name)
    for _ in range(10):  # the hole
        assert settle(world, world.put("d1", 6), world.read("d2")) == [False, False]
        assert not any(world.machines[name].core.core_agreed() for name in world.up())  # type: ignore[union-attr]
    rescue(world, "d4", source_from_items({"word": ((7, b""), WORD), "zone/z1": ((2, b""), b"1")}), size=4)
    world.run(2.0)
    assert seats(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.read("d1")
    assert settle(world, token) == [True]
    state = world.calls[token].done.state  # type: ignore[union-attr]
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z1"}),
        4,
    )
    assert settle(world, world.put("d2", 8)) == [True] and not world.breaches


def parted(seed: int = 1, odd: float = 0.0) -> World:
    """d1 was rescued and took 7, while the others, out of its reach, went on as the old core and took 8 to 12."""
    world = founded(seed, odd)
    others = [name for name in world.machines if name != "d1"]
    world.cut |= {(a, b) for name in others for a, b in (("d1", name), (name, "d1"))}
    tokens = [world.put(f"d{2 + number % 3}", number) for number in range(8, 13)]
    assert True in settle(world, *tokens)
    rescue(world, "d1")
    assert settle(world, world.put("d1", 7, "seven"), world.read("d2")) == [True, True]  # cannot be fenced
    return world


@pytest.mark.parametrize("seed", range(12))
def test_an_old_majority_that_comes_back_adopts_the_rescued_core_and_rejoins(seed: int) -> None:
    world = parted(seed, 0.1 * (seed % 2))
    chance = random.Random(seed)
    for name in ("d2", "d3", "d4"):
        if chance.random() < 0.5:
            world.kill(name)
    world.breaches = [b for b in world.breaches if "known to be over" in b]  # of the time with two cores
    world.cut.clear()
    for n, name in enumerate(["d2", "d3", "d4"]):
        world.put(f"d{2 + n}", 13 + n)  # under way while they learn of it
        if name not in world.up():
            world.start(name)
        world.run(chance.random())
    assert not [b for b in world.breaches if "known to be over" in b]
    world.run(4.0)
    world.breaches.clear()  # until it was heard
    assert len(lineages(world)) == 1 and 0 not in lineages(world)
    assert seats(world, "d6") == ["d1", "d2", "d3", "d4"]
    token = world.put("d3", 20, "on")
    assert settle(world, token) == [True]
    world.kill("d1")
    reads = [world.read(name) for name in world.up()]
    assert settle(world, *reads) == [True] * 5 and {world.mark_read(t) for t in reads} == {"on"}
    assert not world.breaches


def without_the_state(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Doors hear of the rescued core, and its state does not come to them."""
    send = world.send

    def some(source: str, to: str, message: Message) -> None:
        if not isinstance(message, Decision) or lineage(message.state.version) == 0:
            send(source, to, message)

    monkeypatch.setattr(world, "send", some)


def tried(world: World, machines: Sequence[str]) -> list[bool]:
    """What each may do by the old state: a read, what it holds put again, and orders."""
    tokens = []
    for name in machines:
        tokens += [
            world.read(name),
            world.put(name, 5, "five"),
            world.put(name, 30),
            world.evacuate(name, "z1", False),
        ]
    return settle(world, *tokens)


def test_who_has_heard_of_a_rescued_core_says_and_confirms_nothing_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = parted()
    without_the_state(world, monkeypatch)
    world.cut.clear()
    world.run(3.0)  # what was granted as a duty ends
    world.breaches.clear()
    assert not any(tried(world, ["d2", "d3", "d4", "d5"])) and not world.breaches
    assert not any(world.fresh(name) for name in ("d2", "d5")) and lineages(world) >= {0}
    monkeypatch.undo()
    world.run(6.0)
    assert 0 not in lineages(world) and all(settle(world, world.put("d2", 31), world.read("d4")))


def test_without_the_fence_they_would(monkeypatch: pytest.MonkeyPatch) -> None:
    world = parted()
    without_the_state(world, monkeypatch)
    monkeypatch.setattr(Acceptor, "is_superseded", lambda self: False)
    world.breaches.clear()
    world.cut.clear()
    world.run(2.5)
    assert any(tried(world, ["d2", "d3", "d4", "d5"]))
    assert any("known to be over" in breach for breach in world.breaches)


def test_of_two_rescues_the_later_one_prevails() -> None:
    world = founded()
    world.cut |= {
        (a, b) for a in world.machines for b in world.machines if (a in "d1 d2") is not (b in "d1 d2")
    }
    rescue(world, "d1")
    assert settle(world, world.put("d1", 6, "first")) == [True]
    rescue(world, "d3")
    assert settle(world, world.put("d3", 6, "later")) == [True]
    world.cut.clear()
    world.run(8.0)
    world.breaches.clear()
    assert len(lineages(world)) == 1 and seats(world, "d1") == ["d1", "d2", "d3", "d4"]
    token = world.read("d1")
    assert settle(world, token) == [True] and world.mark_read(token) == "later"
    assert not world.breaches


def test_a_rescued_disk_at_a_new_address_is_found_and_tells_the_old_members() -> None:
    world = founded()
    disk = world.machines["d4"].disk
    for name in ("d1", "d2", "d3", "d4"):
        world.kill(name)
    world.remove("d4")
    world.add("d9")
    world.kill("d9")
    world.machines["d9"].disk = disk
    rescue(world, "d9")
    world.start("d2")  # alone, it holds the old state and has no majority
    world.run(3.0)
    assert seats(world, "d2") == ["d2", "d9"] and settle(world, world.put("d2", 6)) == [True]
    world.start("d1")
    world.start("d3")
    world.run(4.0)
    assert seats(world, "d6") == ["d1", "d2", "d3", "d9"] and not world.breaches


# --- the register ----------------------------------------------------------------------------------------------------


def held() -> Acceptor:
    """A member that knows version 4 as decided, and has accepted 5 at a ballot above."""
    register = Acceptor(2, False)
    register.dirty_records.add("disk")
    register.learn(Ballot(3, 1, "d1"), HELD, WORD)
    register.accept(Ballot(9, 1, "d3"), ControlState(5, SEATS, SEATS, 3, 7, configuration_digest(BODY)))
    return register


def test_what_was_accepted_may_have_been_acknowledged_and_is_taken_unless_told_otherwise() -> None:
    assert source_from_acceptor(held(), True).state.evacuated_zones == frozenset()
    source = source_from_acceptor(held(), False)
    assert source.state == HELD and source.highest_ballot_count == 9
    made = recovered_acceptor(source, Member("d9", "z", "east", 77), 0, 1000)
    state = made.state
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z1"}),
        3,
    )
    assert state.members == state.previous_members == (Member("d9", "z", "east", 77),) and made.disk_id == 77
    assert (state.version, made.promised[0]) == (1000 * VERSIONS_PER_LINEAGE + 5, 10)
    assert (
        load_acceptor({k: b for k, b in made.take_dirty_records().items() if b is not None}, 0, False).state
        == state
    )
    again = recovered_acceptor(
        source_from_acceptor(made, True), Member("d9", "z", "east", 78), 0, 500
    )  # the clock stands back
    assert lineage(again.version) == 1001
    with pytest.raises(UnrecoverableError, match="nothing was agreed on"):
        source_from_acceptor(Acceptor(1, True), True)


def test_a_member_that_adopts_a_rescued_state_voids_what_it_had_accepted_at_a_higher_ballot() -> None:
    """A round takes the value accepted at the highest ballot: the old one would hide what the new core accepts."""
    register, made = (
        held(),
        recovered_acceptor(RecoverySource(HELD, WORD), Member("d9", "z", "east", 77), 0, 1000),
    )
    assert made.decided is not None and made.decided[0] < Ballot(9, 1, "d3")
    assert register.learn(*made.decided)
    assert register.accepted == made.decided and register.promised == Ballot(9, 1, "d3")
    assert not register.learn(Ballot(99, 1, "d1"), ControlState(6, SEATS, SEATS, 3))


def control(register: Acceptor, ip: str) -> ControlReplica:
    records = {name: body for name, body in register.take_dirty_records().items() if body is not None}
    return ControlReplica(
        0.0, PeerTable(NodeInfo(ip, "z", "east", register.disk_id, 1), 0.0), records, False, []
    )


@pytest.mark.parametrize("kind", ["prepare", "accept"])
def test_a_round_is_of_one_lineage(kind: str) -> None:
    """A promise to another one's round would tell of what was accepted there, at a ballot that hides what is new."""
    made = recovered_acceptor(RecoverySource(HELD, WORD), Member("d9", "z", "east", 77), 0, 1000)
    assert made.state is not None and made.decided is not None
    old, new = control(held(), "d2"), control(made, "d9")

    def asking(base_version: int, state: ControlState) -> ConsensusMessage:
        ballot = Ballot(10**9, 1, "d3")
        if kind == "prepare":
            return Prepare(ballot, base_version, HOLDS_NOTHING)
        return Accept(ballot, base_version, state)

    told = [a.message for a in new.on_message(1.0, "d3", asking(5, HELD)) if isinstance(a, Send)]
    assert [type(message) for message in told] == [Decision] and new.acceptor.accepted == made.decided
    ask = asking(made.version, made.state)
    told = [a.message for a in old.on_message(1.0, "d9", ask) if isinstance(a, Send)]
    assert [type(message) for message in told] == [StateRequest] and old.acceptor.is_superseded()
    # nor does it vote by what it knows to be over,
    assert old.on_message(1.1, "d3", asking(4, made.state)) == []
    later = ControlState(6, SEATS, SEATS, 3)
    old.on_message(1.2, "d3", Decision(Ballot(99, 1, "d3"), later))
    assert old.state == HELD  # or learn from it


def test_of_disks_of_format_1_each_item_is_taken_as_the_highest_stamp_has_it() -> None:
    one: LegacyItems = {"word": ((3, b"b"), b"w3"), "zone/a": ((2, b"x"), b"1"), "zone/b": ((1, b"x"), b"1")}
    two: LegacyItems = {"word": ((3, b"a"), b"other"), "zone/a": ((2, b"y"), b"0")}
    assert newest_items([one, two]) == newest_items([two, one]) == {**one, "zone/a": ((2, b"y"), b"0")}
    with pytest.raises(UnrecoverableError, match="ever kept"):
        source_from_items({})
