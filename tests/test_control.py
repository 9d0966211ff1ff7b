"""Faults that users have seen in the control state's consensus and leases, reproduced in simulated time."""

from __future__ import annotations

from dataclasses import replace

import pytest

import hazelspring.consensus.control_state
from hazelspring.consensus.messages import Accept, Accepted, Decision, FullConfiguration, Prepare, Promise
from hazelspring.node.actions import Send
from hazelspring.node.codec import kind_of
from hazelspring.node.messages import CreditGrant, Heartbeat, HeartbeatReply, Message, TableUpdate
from hazelspring.registry.list_reader_role import LIST_READER

from .world import World


def settled_world(core: int = 4, others: int = 3, seed: int = 1, odd: float = 0.0) -> World:
    """Return a world whose core was bootstrapped and in which every node holds configuration 5."""
    world = World(core, others, seed, odd=odd)
    world.run(3.5)
    token = world.put("d1", 5)
    world.run(1.5)
    assert world.calls[token].succeeded and not world.breaches
    return world


def isolate(world: World, name: str, direction: str = "both") -> None:
    """Cut the links between a node and all others, or, with the direction "in", only those to the node."""
    for other in world.machines:
        if other != name:
            world.cut |= {(other, name)} | ({(name, other)} if direction == "both" else set())


# --- 1: isolated or frozen for twenty seconds --------------------------------------------------------------


@pytest.mark.parametrize("direction", ["both", "in"])
@pytest.mark.parametrize("name", ["d2", "d6"])  # a member, and a node without a disk
def test_an_isolated_node_returns_no_state_and_neither_confirms_nor_refuses_a_call(
    name: str, direction: str
) -> None:
    world = settled_world()
    isolate(world, name, direction)
    newer = world.put("d1", 8, "new")
    world.run(20.0)
    assert world.calls[newer].succeeded
    tokens = [world.read(name), world.put(name, 5), world.put(name, 5, "other"), world.put(name, 9)]
    tokens += [world.evacuate(name, "z1", True), world.evacuate(name, "z1", False)]
    world.run(4.0)
    ends = [world.calls[token].done for token in tokens]
    assert all(end is not None and not end.succeeded and not end.conflict for end in ends)
    world.cut.clear()
    world.run(1.0)
    again = [world.read(name), world.put(name, 5), world.put(name, 8, "new"), world.put(name, 8, "other")]
    world.run(1.0)
    assert [world.calls[token].succeeded for token in again] == [True, True, True, False]
    assert world.number(world.calls[again[0]]) in (8, 9) and not world.breaches


@pytest.mark.parametrize("name", ["d2", "d6"])
def test_a_node_frozen_for_twenty_seconds_answers_only_with_the_current_state(name: str) -> None:
    world = settled_world()
    early = world.read(name)
    world.run(0.004)
    world.freeze(name)
    before = [world.read(name), world.put(name, 5, "other")]  # both wait in its socket
    newer = world.put("d1", 8)
    world.run(20.0)
    world.thaw(name)
    tokens = [world.read(name), world.put(name, 7), *before, early]
    assert not world.fresh(name)
    world.run(4.0)
    assert world.calls[newer].succeeded and not world.breaches
    for token in tokens:
        call = world.calls[token]
        assert call.done is not None and (world.number(call) in (5, 8) if token == early else True)
        assert not call.succeeded or token == early or world.number(call) == 8


# --- 2: one body for each version number -------------------------------------------------------------------


@pytest.mark.parametrize("interval", [0.0, 0.004, 0.02, 0.04, 0.09])
def test_two_bodies_with_the_same_version_number_are_never_both_confirmed(interval: float) -> None:
    for seed in range(8):
        world = settled_world(seed=seed, odd=0.1 * (seed % 2))
        tokens = [world.put(f"d{1 + seed % 7}", 6, "a")]
        world.run(interval)
        tokens.append(world.put(f"d{1 + (seed + 3) % 7}", 6, "b"))
        world.run(3.5)
        calls = [world.calls[token] for token in tokens]
        assert sum(call.succeeded for call in calls) <= 1 and not world.breaches
        read = world.calls[world.read("d5")]
        world.run(1.0)
        assert world.number(read) == 6
        # A confirmed body that is sent again, to any node, is never refused.
        body = world.mark_read(next(token for token, call in world.calls.items() if call is read))
        assert all(call.digest == body.encode() for call in calls if call.succeeded)
        again = [world.put(f"d{n}", 6, body) for n in (1, 4, 7)]
        world.run(1.5)
        assert all(world.calls[token].succeeded for token in again)


def test_a_repeated_put_is_confirmed_after_hundreds_of_changes_and_a_failover() -> None:
    world = settled_world()
    for number in range(6, 306):
        world.put(f"d{1 + number % 7}", number)
        world.run(0.12)
    world.run(2.0)
    world.kill("d1")
    tokens = [world.put(f"d{n}", number) for n in (2, 5) for number in (5, 6, 200, 305)]
    world.run(2.0)
    assert all(world.calls[token].succeeded for token in tokens) and not world.breaches
    assert world.decided[max(world.decided)].configuration_version == 305


def test_eight_concurrent_calls_each_second_for_a_minute_all_succeed_in_time() -> None:
    world = settled_world()
    tokens = []
    for step in range(60):
        number = 10 + 10 * step
        tokens += [world.put(f"d{1 + (step + n) % 7}", number + n) for n in range(6)]
        tokens += [world.evacuate(f"d{1 + step % 7}", f"z{n}", step % 2 == 0) for n in (0, 1)]
        world.run(1.0)
    world.run(3.0)
    took = sorted(world.calls[token].ended - world.calls[token].at for token in tokens)
    assert all(world.calls[token].succeeded for token in tokens) and not world.breaches
    assert took[-1] < 1.2  # seconds; an acknowledgement may take 6 s


# --- 3: another loss right after a replacement -------------------------------------------------------------


@pytest.mark.parametrize("core", [3, 4, 6])
def test_a_core_survives_permanent_losses_of_its_members_one_after_another(core: int) -> None:
    world, new, number = settled_world(core), 20, 5
    for _ in range(core + 2):
        members = sorted(name for name, machine in world.machines.items() if machine.disk is not None)
        world.remove(members[0])
        world.run(0.5)
        world.add(f"d{new}", new % 4, seeds=[members[0], members[1], f"d{core + 1}"])
        new, number = new + 1, number + 1
        world.run(4.0)  # `catchUpS`: after this time another machine may be lost
        state = world.machines[members[1]].core.control.state  # type: ignore[union-attr]
        assert (
            state is not None
            and len(state.members) == core
            and members[0] not in [m.ip for m in state.members]
        )
        world.kill(members[1])
        token = world.put(members[2], number)
        world.run(1.5)
        assert world.calls[token].succeeded, world.calls[token]
        world.start(members[1])
        world.run(1.5)
    assert not world.breaches


def test_a_second_disk_may_be_lost_as_soon_as_the_first_one_is_a_member_again() -> None:
    for seed in range(8):
        world = settled_world(seed=seed)
        token = world.put("d1", 6)
        world.run(0.3)
        world.wipe("d1")
        world.run(0.2)
        world.start("d1")
        for _ in range(40):
            world.run(0.1)
            core = world.machines["d1"].core
            if core is not None and core.control.is_member():
                break
        for name in world.machines:
            world.wipe(name) if name == f"d{2 + seed % 3}" else world.kill(name)
        for name in world.machines:
            world.start(name)
        world.run(3.0)
        read = world.read("d1")
        world.run(3.0)
        assert world.calls[token].succeeded and world.number(world.calls[read]) == 6 and not world.breaches


def test_an_isolated_member_need_not_stay_up_as_it_cannot_hold_the_only_copy() -> None:
    world = settled_world()
    core = world.machines["d1"].core
    assert core is not None and not core.control.must_stay_up()
    isolate(world, "d1")  # it cannot decide anything alone, so it cannot hold the only copy of a change
    token = world.put("d1", 6)
    world.run(4.0)
    assert not world.calls[token].succeeded and not core.control.must_stay_up()


def test_a_disk_that_starts_late_joins_by_consensus_and_enlarges_the_core() -> None:
    for late in (0.3, 1.2, 1.6, 2.5, 6.0):
        world = World(4, 2)
        world.kill("d4")
        world.run(late)
        world.start("d4", first=True)
        token = world.put("d1", 5)
        world.run(6.0)
        assert world.calls[token].succeeded or late < 3.0
        state = world.decided[max(world.decided)]
        assert len(state.members) == state.target_size == 4 and not world.breaches


def test_the_core_is_bootstrapped_only_once_if_nodes_are_isolated_meanwhile() -> None:
    for seed in range(10):
        world = World(5, 2, seed, odd=0.1)
        one, other = f"d{1 + seed % 3}", f"d{1 + (seed // 3) % 5}"
        isolate(world, one)
        if other != one:
            isolate(world, other, "in")
        world.run(4.0)
        world.cut.clear()
        world.run(7.0)
        assert len({state.version for state in world.decided.values()}) == len(world.decided)
        states = [
            machine.core.control.state for machine in world.machines.values() if machine.core is not None
        ]
        assert len({state.version if state else 0 for state in states}) == 1 and states[0] is not None
        assert len(states[0].members) == 5 and not world.breaches


# --- 4: catching up ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("fault", ["none", "killed again", "disk full", "sender killed", "late messages"])
def test_a_member_hundreds_of_changes_behind_catches_up_completely_or_not_at_all(fault: str) -> None:
    world = settled_world(odd=0.2 if fault == "late messages" else 0.0)
    world.kill("d3")
    number = 5
    for _ in range(150):
        number += 1
        world.put("d1", number)
        world.evacuate("d2", f"z{number % 2}", number % 4 < 2)
        world.run(0.15)
    world.run(1.0)
    disk = world.machines["d3"].disk
    assert disk is not None
    disk.full = fault == "disk full"
    world.start("d3")
    if fault == "killed again":
        for moment in (0.001, 0.003, 0.005, 0.025, 0.4):
            world.run(moment)
            world.kill("d3")
            world.start("d3")
    elif fault == "sender killed":
        world.run(0.002)
        world.kill("d1")
    world.run(2.0)
    core = world.machines["d3"].core
    assert core is not None and core.control.acceptor.version == max(world.decided)
    assert world.fresh("d3") and not world.breaches
    if fault == "disk full":
        token = world.put("d1", number + 1)
        world.kill("d2")  # the full disk does not store a copy
        world.run(3.5)
        assert not world.calls[token].succeeded
        disk.full = False
        world.run(0.5)
        token = world.put("d1", number + 1)
        world.run(1.0)
        assert world.calls[token].succeeded
    world.run(0.5)
    assert len([name for name in disk.records if name.startswith("word ")]) <= 2
    assert sum(map(len, disk.records.values())) < 4000  # bytes: the state without its history


# --- 5: messages of another incarnation --------------------------------------------------------------------


def world_with_a_late_reply_of_a_lost_disk(seed: int) -> World:
    """Return a world where a reply from d2 comes 0.6 s late, after d2 restarted with an empty disk."""
    world = settled_world(seed=seed)
    send, delayed = world.send, []

    def delay_accepted(source: str, to: str, message: Message) -> None:
        if source == "d2" and isinstance(message, Accepted):
            delayed.append((to, message))
        else:
            send(source, to, message)

    world.send = delay_accepted  # type: ignore[method-assign]
    world.cut |= {("d1", "d3"), ("d1", "d4")}  # besides d1, only d2 can accept
    world.run(0.2)
    world.put("d1", 6)
    world.run(0.3)
    world.wipe("d2")
    world.start("d2")
    world.send = send  # type: ignore[method-assign]
    world.run(0.3)
    for to, message in delayed:
        world.send("d2", to, message)
    world.run(4.0)
    return world


def test_a_late_reply_of_a_lost_disk_does_not_count_for_the_empty_disk() -> None:
    for seed in range(10):
        world = world_with_a_late_reply_of_a_lost_disk(seed)
        world.cut.clear()
        world.run(2.0)
        world.wipe("d1")  # d1 loses its disk, and the other members lose power
        for name in ("d2", "d3", "d4"):
            world.kill(name)
        for name in ("d1", "d2", "d3", "d4"):
            world.start(name)
        world.run(3.0)
        read = world.read("d5")
        world.run(3.5)
        assert world.number(world.calls[read]) >= max(c.number for c in world.calls.values() if c.succeeded)
        assert not world.breaches


def test_without_the_check_of_the_voting_disk_a_decided_change_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the check is needed: if any disk at an address may vote as the member there, an empty disk
    can undo a decision."""
    monkeypatch.setattr(hazelspring.consensus.control_state, "is_vote_of", lambda member, voter: True)
    breaches = 0
    for seed in range(16):
        world = settled_world(3, 1, seed=seed)
        world.kill("d3")
        world.put("d1", 6)
        world.run(0.3)
        world.wipe("d2")
        world.kill("d1")
        for name in ("d2", "d3"):
            world.start(name)
        world.run(1.0)
        world.put("d3", 6, "another")
        world.run(2.0)
        world.start("d1")
        world.run(2.0)
        breaches += bool(world.breaches)
    assert breaches


def test_a_read_returns_only_states_that_are_never_reverted() -> None:
    for seed in range(8):
        world = settled_world(seed=seed)
        world.cut |= {(a, b) for a in ("d1", "d5") for b in ("d2", "d3", "d4")}
        world.put("d1", 6)  # it reaches one disk at most
        world.run(0.5)
        reads = [world.read(name) for name in ("d1", "d5", "d6", "d2")]
        world.run(0.6)
        world.wipe("d1")
        for name in ("d2", "d3", "d4"):
            world.kill(name)
        world.cut.clear()
        for name in ("d1", "d2", "d3", "d4"):
            world.start(name)
        world.run(3.0)
        last = world.read("d7")
        world.run(3.5)
        shown = [world.number(world.calls[token]) for token in reads if world.calls[token].succeeded]
        assert world.calls[last].succeeded and world.number(world.calls[last]) >= max(shown, default=-1)
        assert not world.breaches


def test_replies_to_an_earlier_incarnation_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """A credit grant and a heartbeat reply arrive after a restart; the new incarnation requested neither."""
    world = settled_world()
    send, recorded = world.send, []

    def record_replies(source: str, to: str, message: Message) -> None:
        if to == "d6" and isinstance(message, CreditGrant | HeartbeatReply):
            recorded.append((source, message))
        send(source, to, message)

    world.send = record_replies  # type: ignore[method-assign]
    old = world.machines["d6"].core
    assert old is not None
    world.actions("d6", old.lease_credits(world.now, "t1", 1, 2.0))
    world.run(0.5)
    assert {type(message) for _, message in recorded} == {CreditGrant, HeartbeatReply}
    world.kill("d6")
    world.start("d6")
    world.run(1.0)
    isolate(world, "d6")
    world.run(5.0)
    core, machine = world.machines["d6"].core, world.machines["d6"]
    assert core is not None and not world.fresh("d6")
    machine.on_message.clear()
    for source, message in recorded:
        world.actions("d6", core.on_message(world.now, source, message))
    assert not machine.on_message and core.dropped["grant"] and core.dropped["echo"]
    request_times = {ip: peer.answered_heartbeat_sent_at for ip, peer in core.peers.peers.items()}
    # Shows that the numbers must differ: if both incarnations used the same ones, old replies would count.
    renumbered = {number: replace(sent, sent_at=world.now) for number, sent in old.heartbeats.sent.items()}
    monkeypatch.setattr(core.heartbeats, "sent", renumbered)
    for source, message in recorded:
        if isinstance(message, HeartbeatReply):
            world.actions("d6", core.on_message(world.now, source, message))
    assert any(peer.answered_heartbeat_sent_at > request_times[ip] for ip, peer in core.peers.peers.items())


def test_an_operator_retires_a_member_that_has_no_replacement() -> None:
    world = settled_world()
    world.remove("d4")
    token = world.retire("d6", "d4")
    world.run(1.0)
    state = world.decided[max(world.decided)]
    assert world.calls[token].succeeded and len(state.members) == state.target_size == 3
    world.kill("d3")  # a core of four that has lost two members could no longer decide anything
    put = world.put("d6", 6)
    world.run(1.5)
    assert world.calls[put].succeeded and not world.breaches


def test_no_node_becomes_stale_while_a_change_is_in_transit() -> None:
    """A member that reports a newer state has confirmed the older state for the time before.  So a node
    remains fresh until it has the newer state, and rejects no request that carries a key."""
    world = settled_world(4, 8)
    stale: list[str] = []
    for number in range(6, 16):
        world.put("d1", number)
        for _ in range(60):
            world.run(0.01)
            stale += [name for name in world.up() if not world.fresh(name)]
    assert not stale and not world.breaches
    send = world.send

    def lose_decisions(source: str, to: str, message: Message) -> None:
        if to != "d6" or not isinstance(message, Decision):
            send(source, to, message)

    world.send = lose_decisions  # type: ignore[method-assign]
    # Reports of the new state reach d6, but the state never does: d6 is fresh for the revocation time only.
    world.put("d1", 20)
    world.run(4.0)
    assert world.fresh("d6")
    world.run(1.0)
    assert not world.fresh("d6") and world.fresh("d7") and not world.breaches


@pytest.mark.parametrize("name", ["d2", "d6"])
def test_an_idle_system_settles_a_read_by_replies_of_near_members_without_a_round(name: str) -> None:
    world = settled_world()
    kinds: list[str] = []
    send = world.send

    def record_and_send(source: str, to: str, message: Message) -> None:
        kinds.append(kind_of(message))
        send(source, to, message)

    world.send = record_and_send  # type: ignore[method-assign]
    for _ in range(20):
        call = world.calls[world.read(name)]
        world.run(0.37)
        assert call.succeeded and call.ended - call.at < 0.01
    assert "prepare" not in kinds


def test_a_round_continues_as_soon_as_a_majority_replies_again() -> None:
    """Half of the core has promised, and a majority responds only later, when no further promise arrives."""
    world = settled_world()
    for name in ("d3", "d4"):
        isolate(world, name)
    world.run(2.0)
    token = world.put("d1", 6)
    world.run(0.5)
    core = world.machines["d1"].core
    assert core is not None and (current := core.control.proposer.round) is not None and current.value is None
    world.cut = {(a, b) for a, b in world.cut if "d4" not in (a, b)}
    world.cut |= {("d4", "d3"), ("d3", "d4")}
    send = world.send

    def lose_promises(source: str, to: str, message: Message) -> None:
        if not (source == "d4" and isinstance(message, Promise)):
            send(source, to, message)

    world.send = lose_promises  # type: ignore[method-assign]
    world.run(1.5)
    assert world.calls[token].succeeded and not world.breaches


def test_a_core_node_that_replies_is_not_reported_as_unresponsive() -> None:
    """A node without a disk sends heartbeats to members of another region only every two seconds."""
    world = settled_world()
    core, unresponsive = world.machines["d6"].core, set()
    assert core is not None
    for _ in range(60):
        world.run(0.1)
        unresponsive |= {
            ip for ip in core.peers.core_nodes if not core.heartbeats.is_responsive(world.now, ip)
        }
    world.kill("d1")
    world.run(4.0)
    assert not unresponsive and [
        ip for ip in core.peers.core_nodes if not core.heartbeats.is_responsive(world.now, ip)
    ] == ["d1"]


def test_a_call_is_not_settled_by_the_old_state_of_another_isolated_node() -> None:
    """The evacuation of zone z1 has begun and ended again; two isolated nodes know only of its start."""
    world = settled_world()
    isolate(world, "d6")
    world.evacuate("d1", "z1", True)
    world.run(2.0)
    isolate(world, "d2")
    opened = world.evacuate("d1", "z1", False)
    world.run(3.0)
    assert world.calls[opened].succeeded
    closing = world.evacuate("d6", "z1", True)
    world.cut -= {("d2", "d6"), ("d6", "d2")}  # the first that d6 learns is the start of the evacuation
    world.run(2.5)
    assert not world.calls[closing].succeeded and not world.breaches
    world.cut.clear()
    world.run(1.0)
    closing = world.evacuate("d6", "z1", True)
    world.run(1.0)
    assert world.calls[closing].succeeded and world.decided[max(world.decided)].evacuated_zones == {"z1"}


def test_a_retired_member_that_returns_shows_no_old_state_and_joins_again() -> None:
    for seed in range(4):
        world = settled_world(seed=seed)
        world.kill("d4")
        world.run(0.5)
        world.add("d20", 3)
        world.run(4.0)
        assert [m.ip for m in world.decided[max(world.decided)].members] == ["d1", "d2", "d20", "d3"]
        world.put("d1", 6)
        world.run(1.0)
        world.cut |= {("d4", name) for name in ("d1", "d2")} | {(name, "d4") for name in ("d1", "d2")}
        world.start("d4")  # with its old disk and state, and links to two of the members in that state
        reads = [world.read("d4"), world.put("d4", 6, "other"), world.read("d4")]
        world.run(2.5)
        core = world.machines["d4"].core
        assert core is not None and not world.breaches
        shown = [world.number(world.calls[token]) for token in reads if world.calls[token].succeeded]
        assert all(number == 6 for number in shown)
        world.cut.clear()
        world.run(6.5)
        assert core.control.is_member() and len(world.decided[max(world.decided)].members) == 5
        for name in ("d1", "d2"):  # two of five members may be lost
            world.kill(name)
        token = world.put("d4", 7)
        world.run(2.0)
        assert world.calls[token].succeeded and not world.breaches


def test_a_node_that_cannot_apply_a_table_change_receives_the_complete_table() -> None:
    world = settled_world()
    core, sent = world.machines["d6"].core, []
    assert core is not None
    version, send = core.registry.tables["shop"].version, world.send

    def record_and_send(source: str, to: str, message: Message) -> None:
        sent.append((source, to, kind_of(message)))
        send(source, to, message)

    world.send = record_and_send  # type: ignore[method-assign]
    change = ["shop", version + 5, [], version + 4, ["i-1"], 0]  # its base is a version that d6 never had
    world.actions("d6", core.on_message(world.now, "d1", TableUpdate(change)))
    world.run(0.1)
    (recipient,) = [to for source, to, kind in sent if source == "d6" and kind == "ask"]
    assert (recipient, "d6", "news") in sent


def test_a_reply_without_a_state_confirms_no_state_that_was_reported_since_its_heartbeat() -> None:
    """A reply omits a state whose checksum its heartbeat contained.  Between the two, a late reply reports
    an older state.  The node must not take that for the member's current state, or else a read would return
    what an acknowledged put has replaced."""
    world = settled_world(3, 1)
    reader, member = world.machines["d4"].core, world.machines["d1"].core
    assert reader is not None and member is not None
    isolate(world, "d4")
    world.run(0.5)

    def make_heartbeat() -> Heartbeat:
        reader.actions = []
        reader.send_heartbeat(world.now, "d1")
        (sent,) = [action.message for action in reader.actions if isinstance(action, Send)]
        assert isinstance(sent, Heartbeat)
        return sent

    def reply_to(message: Heartbeat) -> HeartbeatReply:
        (sent,) = [
            action.message
            for action in member.on_message(world.now, "d4", message)
            if isinstance(action, Send)
        ]
        assert isinstance(sent, HeartbeatReply)
        return sent

    first, second = make_heartbeat(), make_heartbeat()
    late = reply_to(second)  # the second heartbeat overtakes the first one
    token = world.put("d2", 6)
    world.run(1.0)
    assert world.calls[token].succeeded
    reader.on_message(world.now, "d1", reply_to(first))
    third = make_heartbeat()
    reader.on_message(world.now, "d1", late)
    before = reader.peers.peers["d1"].caught_up_at
    world.run(0.5)
    reader.on_message(world.now, "d1", reply_to(third))
    assert reader.peers.peers["d1"].caught_up_at == before < reader.heartbeats.sent[third.number].sent_at


def test_a_node_behind_does_not_refuse_a_body_acknowledged_below_a_higher_number() -> None:
    """d4 is two versions behind.  After it has received a put, it learns the first of the two, in which
    another body has the number of the put.  It must not conclude that the put is refused, as others have
    acknowledged the put since."""
    world = settled_world(3, 1)
    isolate(world, "d4")
    accepts: list[Accept] = []
    send = world.send

    def record_and_send(source: str, to: str, message: Message) -> None:
        if isinstance(message, Accept):
            accepts.append(message)
        send(source, to, message)

    world.send = record_and_send  # type: ignore[method-assign]
    world.put("d1", 6, "one")
    world.run(0.5)
    accepted = accepts[-1]
    world.put("d1", 7)
    world.run(0.5)
    other = world.put("d2", 6, "other")
    world.run(1.0)
    assert world.calls[other].succeeded
    again = world.put("d4", 6, "other")
    core = world.machines["d4"].core
    assert core is not None
    assert isinstance(accepted.payload, FullConfiguration)
    decided = Decision(accepted.ballot, accepted.state, accepted.payload)
    world.actions("d4", core.on_message(world.now, "d1", decided))
    world.run(0.1)
    assert core.control.acceptor.version == max(world.decided) - 1 and world.calls[again].done is None
    world.cut.clear()
    world.run(1.0)
    assert world.calls[again].succeeded and not world.breaches


def test_no_role_has_two_holders_after_two_consecutive_changes_of_members() -> None:
    """The holder still relies on leases of members that are retired one right after the other.  A majority
    of the core before the first change and one after the second need not have a member in common."""
    for seed in range(4):
        world = settled_world(5, 1, seed=seed)
        holder = next(name for name in world.up() if world.holds(name, LIST_READER))
        others = [name for name in sorted(world.machines) if name not in (holder, "d6")]
        for name in others[:2]:
            world.cut |= {(holder, name), (name, holder)}
        world.run(4.0)
        assert world.holds(holder, LIST_READER)
        isolate(world, holder)
        for retired in others[2:]:
            token = world.retire(others[0], retired)
            world.run(0.2)
            assert world.calls[token].succeeded
        assert not world.breaches
        world.run(4.0)
        assert not world.breaches and any(world.holds(name, LIST_READER) for name in others[:2])


def test_a_member_that_accepted_a_change_of_members_does_not_grant_itself_a_role() -> None:
    """The holder accepts two changes of members but gets no decision; a retired member grants it leases."""
    world = settled_world(3, 1)
    holder = next(name for name in world.up() if world.holds(name, LIST_READER))
    proposer, other = sorted({"d1", "d2", "d3"} - {holder})
    send = world.send

    def send_only_rounds(source: str, to: str, message: Message) -> None:
        if (source, to) != (proposer, holder) or isinstance(message, Prepare | Accept):
            send(source, to, message)

    world.send = send_only_rounds  # type: ignore[method-assign]
    world.cut |= {(proposer, other), (other, proposer)}
    for retired in (other, holder):
        token = world.retire(proposer, retired)
        world.run(0.3)
        assert world.calls[token].succeeded
    world.run(3.0)
    assert not world.breaches and world.holds(proposer, LIST_READER)


def test_counters_are_available_soon_after_a_common_power_loss_that_emptied_a_disk() -> None:
    """All nodes lose power, and one member loses its disk.  The empty disk becomes a member within a second
    of the start, by a change of members.  Any majority of the core before that change and any majority after
    it have a member in common, so no node has to wait until earlier leases have expired."""
    for seed in range(6):
        world = settled_world(4, 3, seed=seed)
        world.put("d1", 6)
        world.run(0.5)
        for name in list(world.machines):
            world.kill(name)
        world.wipe(f"d{1 + seed % 4}")
        world.run(1.0)
        for name in list(world.machines):
            world.start(name)
        world.run(1.5)
        held = [d for d in range(9) if any(world.holds(name, d) for name in world.up())]
        assert len(held) == 9, (seed, held)
        assert not world.breaches
