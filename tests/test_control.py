"""The control side under its worst days: each trouble that the users saw, brought about on simulated time."""

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
    """A core that was founded and holds configuration 5 everywhere."""
    world = World(core, others, seed, odd=odd)
    world.run(3.5)
    token = world.put("d1", 5)
    world.run(1.5)
    assert world.calls[token].good and not world.breaches
    return world


def alone(world: World, name: str, ways: str = "both") -> None:
    """Cut a door off from all others, or only from what they say."""
    for other in world.machines:
        if other != name:
            world.cut |= {(other, name)} | ({(name, other)} if ways == "both" else set())


# --- 1: cut off for twenty seconds ------------------------------------------------------------------------------


@pytest.mark.parametrize("ways", ["both", "in"])
@pytest.mark.parametrize("name", ["d2", "d6"])  # a member, and a door without a disk
def test_a_node_that_is_cut_off_hands_out_nothing_and_neither_confirms_nor_refuses(
    name: str, ways: str
) -> None:
    world = settled_world()
    alone(world, name, ways)
    newer = world.put("d1", 8, "new")
    world.run(20.0)
    assert world.calls[newer].good
    tokens = [world.read(name), world.put(name, 5), world.put(name, 5, "other"), world.put(name, 9)]
    tokens += [world.evacuate(name, "z1", True), world.evacuate(name, "z1", False)]
    world.run(4.0)
    ends = [world.calls[token].done for token in tokens]
    assert all(end is not None and not end.succeeded and not end.conflict for end in ends)
    world.cut.clear()
    world.run(1.0)
    again = [world.read(name), world.put(name, 5), world.put(name, 8, "new"), world.put(name, 8, "other")]
    world.run(1.0)
    assert [world.calls[token].good for token in again] == [True, True, True, False]
    assert world.number(world.calls[again[0]]) in (8, 9) and not world.breaches


@pytest.mark.parametrize("name", ["d2", "d6"])
def test_a_node_that_was_stopped_for_twenty_seconds_answers_by_what_it_hears_then(name: str) -> None:
    world = settled_world()
    early = world.read(name)
    world.run(0.004)
    world.freeze(name)
    before = [world.read(name), world.put(name, 5, "other")]  # wait in its socket
    newer = world.put("d1", 8)
    world.run(20.0)
    world.thaw(name)
    tokens = [world.read(name), world.put(name, 7), *before, early]
    assert not world.fresh(name)
    world.run(4.0)
    assert world.calls[newer].good and not world.breaches
    for token in tokens:
        call = world.calls[token]
        assert call.done is not None and (world.number(call) in (5, 8) if token == early else True)
        assert not call.good or token == early or world.number(call) == 8


# --- 2: one number, one body ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("apart", [0.0, 0.004, 0.02, 0.04, 0.09])
def test_two_bodies_under_one_number_are_never_both_confirmed(apart: float) -> None:
    for seed in range(8):
        world = settled_world(seed=seed, odd=0.1 * (seed % 2))
        tokens = [world.put(f"d{1 + seed % 7}", 6, "a")]
        world.run(apart)
        tokens.append(world.put(f"d{1 + (seed + 3) % 7}", 6, "b"))
        world.run(3.5)
        calls = [world.calls[token] for token in tokens]
        assert sum(call.good for call in calls) <= 1 and not world.breaches
        won = world.calls[world.read("d5")]
        world.run(1.0)
        assert world.number(won) == 6
        # sent again, also hundreds of changes later, to any door: never refused
        body = world.mark_read(next(token for token, call in world.calls.items() if call is won))
        assert all(call.digest == body.encode() for call in calls if call.good)
        again = [world.put(f"d{n}", 6, body) for n in (1, 4, 7)]
        world.run(1.5)
        assert all(world.calls[token].good for token in again)


def test_an_order_is_confirmed_again_after_hundreds_of_changes_and_a_failover() -> None:
    world = settled_world()
    for number in range(6, 306):
        world.put(f"d{1 + number % 7}", number)
        world.run(0.12)
    world.run(2.0)
    world.kill("d1")
    tokens = [world.put(f"d{n}", number) for n in (2, 5) for number in (5, 6, 200, 305)]
    world.run(2.0)
    assert all(world.calls[token].good for token in tokens) and not world.breaches
    assert world.decided[max(world.decided)].configuration_version == 305


def test_eight_orders_at_once_for_a_minute_are_all_settled_in_time() -> None:
    world = settled_world()
    tokens = []
    for step in range(60):
        number = 10 + 10 * step
        tokens += [world.put(f"d{1 + (step + n) % 7}", number + n) for n in range(6)]
        tokens += [world.evacuate(f"d{1 + step % 7}", f"z{n}", step % 2 == 0) for n in (0, 1)]
        world.run(1.0)
    world.run(3.0)
    took = sorted(world.calls[token].ended - world.calls[token].at for token in tokens)
    assert all(world.calls[token].good for token in tokens) and not world.breaches
    assert took[-1] < 1.2  # of 6 s for an acknowledgement


# --- 3: a second loss right after a repair ----------------------------------------------------------------------


@pytest.mark.parametrize("core", [3, 4, 6])
def test_machines_are_lost_for_good_one_after_the_other_and_each_next_loss_is_borne(core: int) -> None:
    world, new, number = settled_world(core), 20, 5
    for _ in range(core + 2):
        seats = sorted(name for name, machine in world.machines.items() if machine.disk is not None)
        world.remove(seats[0])
        world.run(0.5)
        world.add(f"d{new}", new % 4, seeds=[seats[0], seats[1], f"d{core + 1}"])
        new, number = new + 1, number + 1
        world.run(4.0)  # `catchUpS`: from now on the next one may go
        state = world.machines[seats[1]].core.control.state  # type: ignore[union-attr]
        assert (
            state is not None and len(state.members) == core and seats[0] not in [m.ip for m in state.members]
        )
        world.kill(seats[1])
        token = world.put(seats[2], number)
        world.run(1.5)
        assert world.calls[token].good, world.calls[token]
        world.start(seats[1])
        world.run(1.5)
    assert not world.breaches


def test_a_second_disk_is_lost_as_soon_as_the_first_has_its_seat_again() -> None:
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
        assert world.calls[token].good and world.number(world.calls[read]) == 6 and not world.breaches


def test_a_leaver_is_kept_until_others_hold_what_it_holds() -> None:
    world = settled_world()
    core = world.machines["d1"].core
    assert core is not None and not core.control.must_stay_up()
    alone(world, "d1")  # it settles nothing alone, so it cannot hold the only copy
    token = world.put("d1", 6)
    world.run(4.0)
    assert not world.calls[token].good and not core.control.must_stay_up()


def test_a_disk_that_starts_late_joins_by_agreement_and_makes_the_core_larger() -> None:
    for late in (0.3, 1.2, 1.6, 2.5, 6.0):
        world = World(4, 2)
        world.kill("d4")
        world.run(late)
        world.start("d4", first=True)
        token = world.put("d1", 5)
        world.run(6.0)
        assert world.calls[token].good or late < 3.0
        state = world.decided[max(world.decided)]
        assert len(state.members) == state.target_size == 4 and not world.breaches


def test_there_is_one_founding_whoever_is_cut_off_meanwhile() -> None:
    for seed in range(10):
        world = World(5, 2, seed, odd=0.1)
        one, other = f"d{1 + seed % 3}", f"d{1 + (seed // 3) % 5}"
        alone(world, one)
        if other != one:
            alone(world, other, "in")
        world.run(4.0)
        world.cut.clear()
        world.run(7.0)
        assert len({state.version for state in world.decided.values()}) == len(world.decided)
        states = [
            machine.core.control.state for machine in world.machines.values() if machine.core is not None
        ]
        assert len({state.version if state else 0 for state in states}) == 1 and states[0] is not None
        assert len(states[0].members) == 5 and not world.breaches


# --- 4: catching up -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("trouble", ["none", "killed again", "full", "sender killed", "late"])
def test_a_member_behind_by_hundreds_of_changes_catches_up_whole_or_not_at_all(trouble: str) -> None:
    world = settled_world(odd=0.2 if trouble == "late" else 0.0)
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
    disk.full = trouble == "full"
    world.start("d3")
    if trouble == "killed again":
        for moment in (0.001, 0.003, 0.005, 0.025, 0.4):
            world.run(moment)
            world.kill("d3")
            world.start("d3")
    elif trouble == "sender killed":
        world.run(0.002)
        world.kill("d1")
    world.run(2.0)
    core = world.machines["d3"].core
    assert core is not None and core.control.acceptor.version == max(world.decided)
    assert world.fresh("d3") and not world.breaches
    if trouble == "full":
        token = world.put("d1", number + 1)
        world.kill("d2")  # the full disk is no copy
        world.run(3.5)
        assert not world.calls[token].good
        disk.full = False
        world.run(0.5)
        token = world.put("d1", number + 1)
        world.run(1.0)
        assert world.calls[token].good
    world.run(0.5)
    assert len([name for name in disk.records if name.startswith("word ")]) <= 2
    assert sum(map(len, disk.records.values())) < 4000  # the state, not its past


# --- 5: messages of another life --------------------------------------------------------------------------------------


def late_answer_of_a_lost_disk(seed: int) -> World:
    """d2 accepts a change, its answer takes 1.2 s; meanwhile its disk is emptied and it comes back."""
    world = settled_world(seed=seed)
    send, held = world.send, []

    def slow(source: str, to: str, message: Message) -> None:
        if source == "d2" and isinstance(message, Accepted):
            held.append((to, message))
        else:
            send(source, to, message)

    world.send = slow  # type: ignore[method-assign]
    world.cut |= {("d1", "d3"), ("d1", "d4")}  # only d2 can accept beside d1
    world.run(0.2)
    world.put("d1", 6)
    world.run(0.3)
    world.wipe("d2")
    world.start("d2")
    world.send = send  # type: ignore[method-assign]
    world.run(0.3)
    for to, message in held:
        world.send("d2", to, message)
    world.run(4.0)
    return world


def test_a_late_answer_of_a_lost_disk_is_no_copy_of_the_empty_one() -> None:
    for seed in range(10):
        world = late_answer_of_a_lost_disk(seed)
        world.cut.clear()
        world.run(2.0)
        world.wipe("d1")  # one loss; the others lose power
        for name in ("d2", "d3", "d4"):
            world.kill(name)
        for name in ("d1", "d2", "d3", "d4"):
            world.start(name)
        world.run(3.0)
        read = world.read("d5")
        world.run(3.5)
        assert world.number(world.calls[read]) >= max(c.number for c in world.calls.values() if c.good)
        assert not world.breaches


def test_a_disk_taken_for_the_one_before_it_would_lose_a_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """The fence bites: where any disk at an address may speak for its seat, an emptied one undoes an agreement."""
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


def test_a_read_shows_only_what_will_not_be_taken_back() -> None:
    for seed in range(8):
        world = settled_world(seed=seed)
        world.cut |= {(a, b) for a in ("d1", "d5") for b in ("d2", "d3", "d4")}
        world.put("d1", 6)  # on one disk at most
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
        shown = [world.number(world.calls[token]) for token in reads if world.calls[token].good]
        assert world.calls[last].good and world.number(world.calls[last]) >= max(shown, default=-1)
        assert not world.breaches


def test_answers_to_an_earlier_life_count_for_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """A grant of quota and the echo of a beat that come after a restart: the new life has asked for neither."""
    world = settled_world()
    send, held = world.send, []

    def slow(source: str, to: str, message: Message) -> None:
        if to == "d6" and isinstance(message, CreditGrant | HeartbeatReply):
            held.append((source, message))
        send(source, to, message)

    world.send = slow  # type: ignore[method-assign]
    old = world.machines["d6"].core
    assert old is not None
    world.actions("d6", old.lease_credits(world.now, "t1", 1, 2.0))
    world.run(0.5)
    assert {type(message) for _, message in held} == {CreditGrant, HeartbeatReply}
    world.kill("d6")
    world.start("d6")
    world.run(1.0)
    alone(world, "d6")
    world.run(5.0)
    core, machine = world.machines["d6"].core, world.machines["d6"]
    assert core is not None and not world.fresh("d6")
    machine.on_message.clear()
    for source, message in held:
        world.actions("d6", core.on_message(world.now, source, message))
    assert not machine.on_message and core.dropped["grant"] and core.dropped["echo"]
    asked = {ip: peer.latest_request_at for ip, peer in core.peers.peers.items()}
    # the fence bites: were numbers of beats not each life's own, the old answers would count
    renumbered = {number: replace(sent, sent_at=world.now) for number, sent in old.heartbeats.sent.items()}
    monkeypatch.setattr(core.heartbeats, "sent", renumbered)
    for source, message in held:
        if isinstance(message, HeartbeatReply):
            world.actions("d6", core.on_message(world.now, source, message))
    assert any(peer.latest_request_at > asked[ip] for ip, peer in core.peers.peers.items())


def test_an_operator_takes_a_member_out_that_has_no_successor() -> None:
    world = settled_world()
    world.remove("d4")
    token = world.retire("d6", "d4")
    world.run(1.0)
    state = world.decided[max(world.decided)]
    assert world.calls[token].good and len(state.members) == state.target_size == 3
    world.kill("d3")  # of four with one lost a second loss would have stopped the operator
    order = world.put("d6", 6)
    world.run(1.5)
    assert world.calls[order].good and not world.breaches


def test_a_change_on_its_way_turns_no_keyed_request_away() -> None:
    """A voice that tells of a newer state spoke for the time before, so a door is fresh until it has the state."""
    world = settled_world(4, 8)
    stale: list[str] = []
    for number in range(6, 16):
        world.put("d1", number)
        for _ in range(60):
            world.run(0.01)
            stale += [name for name in world.up() if not world.fresh(name)]
    assert not stale and not world.breaches
    late = world.send

    def lacking(source: str, to: str, message: Message) -> None:
        if to != "d6" or not isinstance(message, Decision):
            late(source, to, message)

    world.send = lacking  # type: ignore[method-assign]
    world.put("d1", 20)  # told of, and never brought: fresh for the time for a revocation and no longer
    world.run(4.0)
    assert world.fresh("d6")
    world.run(1.0)
    assert not world.fresh("d6") and world.fresh("d7") and not world.breaches


@pytest.mark.parametrize("name", ["d2", "d6"])
def test_a_read_at_rest_is_settled_by_voices_of_the_near_members_without_a_round(name: str) -> None:
    world = settled_world()
    kinds: list[str] = []
    send = world.send

    def noted(source: str, to: str, message: Message) -> None:
        kinds.append(kind_of(message))
        send(source, to, message)

    world.send = noted  # type: ignore[method-assign]
    for _ in range(20):
        call = world.calls[world.read(name)]
        world.run(0.37)
        assert call.good and call.ended - call.at < 0.01
    assert "prepare" not in kinds


def test_a_round_goes_on_as_soon_as_a_majority_answers_again() -> None:
    """Promises of half a core are there, a majority is not: later it is, and nobody has anything left to promise."""
    world = settled_world()
    for name in ("d3", "d4"):
        alone(world, name)
    world.run(2.0)
    token = world.put("d1", 6)
    world.run(0.5)
    core = world.machines["d1"].core
    assert core is not None and (current := core.control.proposer.round) is not None and current.value is None
    world.cut = {(a, b) for a, b in world.cut if "d4" not in (a, b)}
    world.cut |= {("d4", "d3"), ("d3", "d4")}
    drop = world.send

    def no_promise(source: str, to: str, message: Message) -> None:
        if not (source == "d4" and isinstance(message, Promise)):
            drop(source, to, message)

    world.send = no_promise  # type: ignore[method-assign]
    world.run(1.5)
    assert world.calls[token].good and not world.breaches


def test_a_core_node_that_answers_is_not_told_as_away() -> None:
    """A door without a disk asks members of another region each two seconds only."""
    world = settled_world()
    core, away = world.machines["d6"].core, set()
    assert core is not None
    for _ in range(60):
        world.run(0.1)
        away |= {ip for ip in core.peers.core_nodes if not core.heartbeats.is_responsive(world.now, ip)}
    world.kill("d1")
    world.run(4.0)
    assert not away and [
        ip for ip in core.peers.core_nodes if not core.heartbeats.is_responsive(world.now, ip)
    ] == ["d1"]


def test_an_order_is_not_settled_by_what_another_node_that_is_cut_off_still_holds() -> None:
    """Zone z1 was closed and opened again; two doors that are cut off together know of the closing only."""
    world = settled_world()
    alone(world, "d6")
    world.evacuate("d1", "z1", True)
    world.run(2.0)
    alone(world, "d2")
    opened = world.evacuate("d1", "z1", False)
    world.run(3.0)
    assert world.calls[opened].good
    closing = world.evacuate("d6", "z1", True)
    world.cut -= {("d2", "d6"), ("d6", "d2")}  # before anything else comes, d6 hears of the closing
    world.run(2.5)
    assert not world.calls[closing].good and not world.breaches
    world.cut.clear()
    world.run(1.0)
    closing = world.evacuate("d6", "z1", True)
    world.run(1.0)
    assert world.calls[closing].good and world.decided[max(world.decided)].evacuated_zones == {"z1"}


def test_a_member_that_comes_back_after_its_retirement_shows_nothing_old_and_joins_anew() -> None:
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
        world.start("d4")  # with its full disk, its old view, and two of those that it takes for members
        reads = [world.read("d4"), world.put("d4", 6, "other"), world.read("d4")]
        world.run(2.5)
        core = world.machines["d4"].core
        assert core is not None and not world.breaches
        shown = [world.number(world.calls[token]) for token in reads if world.calls[token].good]
        assert all(number == 6 for number in shown)
        world.cut.clear()
        world.run(6.5)
        assert core.control.is_member() and len(world.decided[max(world.decided)].members) == 5
        for name in ("d1", "d2"):  # of five, two may go
            world.kill(name)
        token = world.put("d4", 7)
        world.run(2.0)
        assert world.calls[token].good and not world.breaches


def test_a_node_that_cannot_take_a_change_of_a_table_is_sent_the_table() -> None:
    world = settled_world()
    core, told = world.machines["d6"].core, []
    assert core is not None
    version, send = core.registry.tables["shop"].version, world.send

    def noted(source: str, to: str, message: Message) -> None:
        told.append((source, to, kind_of(message)))
        send(source, to, message)

    world.send = noted  # type: ignore[method-assign]
    change = ["shop", version + 5, [], version + 4, ["i-1"], 0]  # of a table that this door never had
    world.actions("d6", core.on_message(world.now, "d1", TableUpdate(change)))
    world.run(0.1)
    (asked,) = [to for source, to, kind in told if source == "d6" and kind == "ask"]
    assert (asked, "d6", "news") in told


def test_an_echo_that_names_no_state_says_nothing_of_a_state_that_was_told_since() -> None:
    """An echo leaves out what its beat named as known.  Between the two a late echo tells of an older state: the door
    is not to take that for what is held there now, or a read would show what an acknowledged order has replaced."""
    world = settled_world(3, 1)
    reader, member = world.machines["d4"].core, world.machines["d1"].core
    assert reader is not None and member is not None
    alone(world, "d4")
    world.run(0.5)

    def beat() -> Heartbeat:
        reader.actions = []
        reader.send_heartbeat(world.now, "d1")
        (sent,) = [action.message for action in reader.actions if isinstance(action, Send)]
        assert isinstance(sent, Heartbeat)
        return sent

    def echo(message: Heartbeat) -> HeartbeatReply:
        (sent,) = [
            action.message
            for action in member.on_message(world.now, "d4", message)
            if isinstance(action, Send)
        ]
        assert isinstance(sent, HeartbeatReply)
        return sent

    first, second = beat(), beat()
    late = echo(second)  # overtakes the first
    token = world.put("d2", 6)
    world.run(1.0)
    assert world.calls[token].good
    reader.on_message(world.now, "d1", echo(first))
    third = beat()
    reader.on_message(world.now, "d1", late)
    before = reader.peers.peers["d1"].caught_up_at
    world.run(0.5)
    reader.on_message(world.now, "d1", echo(third))
    assert reader.peers.peers["d1"].caught_up_at == before < reader.heartbeats.sent[third.number].sent_at


def test_a_body_that_was_acknowledged_below_a_higher_number_is_not_refused_by_a_node_behind() -> None:
    """d4 lags by two versions.  It learns of the first of them, in which another body has the order's number, only
    after the order came: that does not say that the order is refused now, when others have acknowledged it since."""
    world = settled_world(3, 1)
    alone(world, "d4")
    kept: list[Accept] = []
    send = world.send

    def noted(source: str, to: str, message: Message) -> None:
        if isinstance(message, Accept):
            kept.append(message)
        send(source, to, message)

    world.send = noted  # type: ignore[method-assign]
    world.put("d1", 6, "one")
    world.run(0.5)
    taken = kept[-1]
    world.put("d1", 7)
    world.run(0.5)
    other = world.put("d2", 6, "other")
    world.run(1.0)
    assert world.calls[other].good
    again = world.put("d4", 6, "other")
    core = world.machines["d4"].core
    assert core is not None
    assert isinstance(taken.payload, FullConfiguration)
    decided = Decision(taken.ballot, taken.state, taken.payload)
    world.actions("d4", core.on_message(world.now, "d1", decided))
    world.run(0.1)
    assert core.control.acceptor.version == max(world.decided) - 1 and world.calls[again].done is None
    world.cut.clear()
    world.run(1.0)
    assert world.calls[again].good and not world.breaches


def test_no_role_has_two_holders_after_two_changes_of_members_at_once() -> None:
    """The holder still counts on members that are taken out one right after the other: majorities of the core before
    the first change and after the second need not meet."""
    for seed in range(4):
        world = settled_world(5, 1, seed=seed)
        holder = next(name for name in world.up() if world.holds(name, LIST_READER))
        others = [name for name in sorted(world.machines) if name not in (holder, "d6")]
        for name in others[:2]:
            world.cut |= {(holder, name), (name, holder)}
        world.run(4.0)
        assert world.holds(holder, LIST_READER)
        alone(world, holder)
        for leaver in others[2:]:
            token = world.retire(others[0], leaver)
            world.run(0.2)
            assert world.calls[token].good
        assert not world.breaches
        world.run(4.0)
        assert not world.breaches and any(world.holds(name, LIST_READER) for name in others[:2])


def test_a_member_that_accepted_other_members_promises_itself_no_role_either() -> None:
    """The holder accepts two changes of members, and hears of no decision; one that was taken out still grants it."""
    world = settled_world(3, 1)
    holder = next(name for name in world.up() if world.holds(name, LIST_READER))
    by, out = sorted({"d1", "d2", "d3"} - {holder})
    send = world.send

    def lost(source: str, to: str, message: Message) -> None:
        if (source, to) != (by, holder) or isinstance(message, Prepare | Accept):
            send(source, to, message)

    world.send = lost  # type: ignore[method-assign]
    world.cut |= {(by, out), (out, by)}
    for leaver in (out, holder):
        token = world.retire(by, leaver)
        world.run(0.3)
        assert world.calls[token].good
    world.run(3.0)
    assert not world.breaches and world.holds(by, LIST_READER)


def test_counters_are_back_at_once_where_a_common_loss_has_emptied_a_disk() -> None:
    """All lose power, and one its disk: its seat is taken anew within the second, a change of members right after the
    start.  Majorities of the core before and after it meet, so that nobody waits for promises of before to end."""
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
