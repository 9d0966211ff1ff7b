"""One door's register and its records, and what an order makes of a state."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import cbor2
import pytest

from hazelspring.consensus.acceptor import Acceptor, MissingConfigurationError, load_acceptor
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_CONFIGURATION,
    Ballot,
    ControlState,
    Member,
    bootstrap_state,
)
from hazelspring.consensus.proposal import BootstrapProposal, Proposal, ProposalKind

SEATS = tuple(Member(f"d{n}", f"z{n}", "east", n) for n in (1, 2, 3))
FIRST = ControlState(1, SEATS, SEATS, 3)
LOW, HIGH = Ballot(1, 7, "d1"), Ballot(2, 5, "d2")


def follow(state: ControlState, **changes: Any) -> ControlState:
    """The version after a state."""
    return replace(state, version=state.version + 1, previous_members=state.members, **changes)


def with_word(digest: bytes, number: int = 2, base: ControlState = FIRST) -> ControlState:
    return follow(base, configuration_version=number, configuration_digest=digest)


def written(register: Acceptor, disk: dict[str, bytes]) -> dict[str, bytes]:
    """A disk after the register's records were saved on it."""
    disk = dict(disk)
    for name, body in register.take_dirty_records().items():
        if body is None:
            disk.pop(name, None)
        else:
            disk[name] = body
    return disk


# --- what others ask -----------------------------------------------------------------------------------------


def test_a_ballot_below_the_promised_one_is_refused_and_the_same_one_is_not() -> None:
    register = Acceptor(1, True)
    assert register.prepare(HIGH) and register.prepare(HIGH)
    assert not register.prepare(LOW)
    assert not register.accept(LOW, FIRST)
    assert register.promised == HIGH and register.accepted is None
    assert register.accept(HIGH, FIRST)
    assert register.accepted == (HIGH, FIRST)


def test_ballots_of_one_count_differ_by_the_life_and_then_the_node_of_their_proposer() -> None:
    register, ballots = (
        Acceptor(1, True),
        [Ballot(3, 1, "d1"), Ballot(3, 1, "d2"), Ballot(3, 2, "d1"), Ballot(4, 1, "d1")],
    )
    assert all(register.prepare(ballot) for ballot in ballots)
    assert not any(register.prepare(ballot) for ballot in ballots[:-1])


def test_what_is_accepted_is_promised_too() -> None:
    register = Acceptor(1, True)
    assert register.accept(HIGH, FIRST)
    assert not register.prepare(LOW) and not register.accept(LOW, with_word(NO_CONFIGURATION, -1))
    assert register.accepted == (HIGH, FIRST)


def test_a_ballot_carries_one_state_and_a_second_one_under_it_changes_nothing() -> None:
    register = Acceptor(1, True)
    register.accept(LOW, FIRST)
    assert register.accept(LOW, follow(FIRST, evacuated_zones=frozenset({"z1"})))
    assert register.accepted == (LOW, FIRST)


def test_what_is_accepted_above_the_decided_version_is_pending_until_it_is_decided() -> None:
    register, after = Acceptor(1, True), follow(FIRST, evacuated_zones=frozenset({"z1"}))
    register.learn(NO_BALLOT, FIRST)
    assert register.pending is None and register.version == 1
    register.accept(LOW, after)
    assert register.pending == after and register.state == FIRST
    assert register.learn(LOW, after)
    assert register.pending is None and register.state == after


def test_an_older_decision_or_the_same_one_is_no_news() -> None:
    register, after = Acceptor(1, True), follow(FIRST, evacuated_zones=frozenset({"z1"}))
    assert register.learn(LOW, after)
    assert not register.learn(LOW, after)
    assert not register.learn(HIGH, FIRST)
    assert register.state == after


@pytest.mark.parametrize(
    ("accepted", "promised", "then"), [(LOW, HIGH, HIGH), (HIGH, HIGH, HIGH), (None, LOW, HIGH)]
)
def test_a_decision_never_lowers_what_is_promised_or_accepted(
    accepted: Ballot | None, promised: Ballot, then: Ballot
) -> None:
    register, mine, other = Acceptor(1, True), follow(FIRST, target_size=4), follow(FIRST, target_size=5)
    if accepted is not None:
        register.accept(accepted, mine)
    register.prepare(promised)
    decided_at = LOW if accepted is not None else HIGH
    register.learn(decided_at, other)
    assert register.promised == then
    kept = (accepted, mine) if accepted is not None else (HIGH, other)
    assert register.accepted == kept


# --- configurations ------------------------------------------------------------------------------------------


def test_a_state_whose_configuration_is_not_there_is_taken_by_nobody_and_leaves_no_trace() -> None:
    register = Acceptor(1, True)
    register.learn(NO_BALLOT, FIRST)
    register.take_dirty_records()
    with pytest.raises(MissingConfigurationError):
        register.accept(LOW, with_word(b"a"))
    with pytest.raises(MissingConfigurationError):
        register.learn(LOW, with_word(b"a"))
    assert register.state == FIRST and register.accepted == (NO_BALLOT, FIRST)
    assert register.take_dirty_records() == {}
    assert register.accept(LOW, with_word(b"a"), b"body")
    assert register.learn(LOW, with_word(b"a"))  # whose bytes are here by now
    assert register.current_configuration() == b"body"


def test_a_ballot_that_is_too_low_is_refused_before_its_bytes_are_missed() -> None:
    register = Acceptor(1, True)
    register.prepare(HIGH)
    assert not register.accept(LOW, with_word(b"a"))


def test_configurations_that_no_state_names_are_forgotten_here_and_on_disk() -> None:
    register, disk, state = Acceptor(1, True), dict[str, bytes](), FIRST
    for number in range(200):
        state = with_word(b"%03d" % number, number, state)
        register.accept(Ballot(number + 1, 7, "d1"), state, b"body" * number)
        register.learn(Ballot(number + 1, 7, "d1"), state)
        disk = written(register, disk)
        assert len(register.configurations) == 1 and len(disk) == 3
    assert set(disk) == {"vote", "decided", "word " + b"199".hex()}


def test_both_configurations_stay_while_one_is_accepted_and_another_decided() -> None:
    register = Acceptor(1, True)
    register.accept(LOW, with_word(b"a"), b"body a")
    register.learn(LOW, with_word(b"a"))
    register.accept(HIGH, with_word(b"b", 3, with_word(b"a")), b"body b")
    assert (
        register.configurations == {b"a": b"body a", b"b": b"body b"}
        and register.current_configuration() == b"body a"
    )


def test_a_configuration_that_was_never_on_disk_is_not_removed_there() -> None:
    register = Acceptor(1, True)
    register.accept(LOW, with_word(b"a"), b"body a")
    register.accept(HIGH, with_word(b"b"), b"body b")
    records = register.take_dirty_records()
    assert "word " + b"a".hex() not in records and records["word " + b"b".hex()] == b"body b"


# --- on disk -------------------------------------------------------------------------------------------------


def full() -> tuple[Acceptor, dict[str, bytes]]:
    """A register with all that it can hold, and its disk."""
    register = load_acceptor({}, 11, True)
    register.learn(LOW, with_word(b"a"), b"body a")
    register.accept(HIGH, with_word(b"b", 3, with_word(b"a")), b"body b")
    register.prepare(Ballot(9, 1, "d3"))
    return register, written(register, {})


def test_a_register_comes_back_from_its_records_as_it_was() -> None:
    register, disk = full()
    back = load_acceptor(disk, 99, False)
    for name in ("disk_id", "may_bootstrap", "promised", "accepted", "decided", "configurations"):
        assert getattr(back, name) == getattr(register, name), name
    assert back.take_dirty_records() == {}
    assert not back.prepare(Ballot(8, 9, "d9"))
    back.learn(HIGH, with_word(b"b", 3, with_word(b"a")))
    assert back.take_dirty_records()["word " + b"a".hex()] is None  # it knows what is on disk


def test_an_empty_disk_gets_its_number_and_writes_it_with_the_first_save() -> None:
    fresh = load_acceptor({}, 11, True)
    assert (fresh.disk_id, fresh.may_bootstrap) == (11, True)
    disk = written(fresh, {})
    assert cbor2.loads(disk["disk"]) == [11, True]
    assert (load_acceptor(disk, 12, False).disk_id, load_acceptor(disk, 12, False).may_bootstrap) == (
        11,
        True,
    )
    assert (load_acceptor({}, 12, False).disk_id, load_acceptor({}, 12, False).may_bootstrap) == (12, False)


def test_records_are_given_once_and_only_those_that_changed() -> None:
    register, _ = full()
    assert register.take_dirty_records() == {}
    register.prepare(Ballot(10, 1, "d3"))
    assert set(register.take_dirty_records()) == {"vote"}
    register.prepare(Ballot(10, 1, "d3"))
    assert register.take_dirty_records() == {}


def test_what_was_not_saved_is_given_again_as_it_is_by_then() -> None:
    register, disk = full()
    register.prepare(Ballot(10, 1, "d3"))
    lost = register.take_dirty_records()
    register.restore_dirty_records(lost)
    register.prepare(Ballot(12, 1, "d3"))
    register.learn(HIGH, with_word(b"b", 3, with_word(b"a")))  # and `a` is forgotten
    disk = written(register, disk)
    assert load_acceptor(disk, 0, False).promised == Ballot(12, 1, "d3")
    assert load_acceptor(disk, 0, False).configurations == {b"b": b"body b"}


def test_a_removal_that_was_not_saved_is_given_again() -> None:
    register, disk = full()
    register.learn(HIGH, with_word(b"b", 3, with_word(b"a")))
    lost = register.take_dirty_records()
    assert lost["word " + b"a".hex()] is None
    register.restore_dirty_records(lost)
    assert set(written(register, disk)) == {"disk", "vote", "decided", "word " + b"b".hex()}


def test_a_configuration_whose_save_failed_and_that_is_not_needed_any_more_harms_nothing() -> None:
    register = Acceptor(1, True)
    register.accept(LOW, with_word(b"a"), b"body a")
    register.restore_dirty_records(register.take_dirty_records())
    register.accept(HIGH, with_word(b"b"), b"body b")
    assert load_acceptor(
        {"disk": cbor2.dumps([1, True])} | written(register, {}), 0, False
    ).configurations == {b"b": b"body b"}


@pytest.mark.parametrize("digest", [b"a", b"b"])
def test_a_file_that_names_a_configuration_which_is_not_there_is_refused(digest: bytes) -> None:
    _, disk = full()
    del disk["word " + digest.hex()]
    with pytest.raises(ValueError, match="named and not there"):
        load_acceptor(disk, 0, False)


def test_a_configuration_on_disk_that_nothing_names_goes_with_the_next_save() -> None:
    _, disk = full()
    back = load_acceptor(disk | {"word " + b"old".hex(): b"left over"}, 0, False)
    assert b"old" not in back.configurations
    assert set(written(back, disk | {"word " + b"old".hex(): b"left over"})) == set(disk)


@pytest.mark.parametrize("name", ["disk", "vote", "decided"])
def test_a_record_that_cannot_be_read_is_a_value_error(name: str) -> None:
    _, disk = full()
    with pytest.raises(ValueError):
        load_acceptor(disk | {name: cbor2.dumps([1])}, 0, False)


# --- orders --------------------------------------------------------------------------------------------------


def put(number: int, digest: bytes) -> Proposal:
    return Proposal(
        1,
        0.0,
        ProposalKind.PUT_CONFIGURATION,
        configuration_version=number,
        configuration_digest=digest,
        configuration=b"body",
    )


def test_a_put_takes_a_higher_number_and_no_other() -> None:
    state = with_word(b"a", 5)
    assert put(6, b"b").apply(state) == replace(state, configuration_version=6, configuration_digest=b"b")
    for order in (put(5, b"a"), put(5, b"b"), put(5, b"\xff"), put(4, b"b"), put(0, b"a")):
        assert order.apply(state) is state


def test_only_another_body_under_the_number_in_force_conflicts() -> None:
    state = with_word(b"a", 5)
    assert put(5, b"b").conflicts_with(state)
    assert not any(order.conflicts_with(state) for order in (put(5, b"a"), put(4, b"b"), put(6, b"b")))
    assert not Proposal(
        1, 0.0, ProposalKind.READ, configuration_version=5, configuration_digest=b"b"
    ).conflicts_with(state)


def test_a_zone_is_closed_and_opened_once() -> None:
    close, reopen = (
        Proposal(1, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=closed) for closed in (True, False)
    )
    shut = close.apply(FIRST)
    assert shut == replace(FIRST, evacuated_zones=frozenset({"z1"}))
    assert close.apply(shut) is shut and reopen.apply(FIRST) is FIRST
    assert reopen.apply(shut) == FIRST


def test_a_join_adds_a_seat_and_only_one_by_intent_makes_the_core_larger() -> None:
    new = Member("d4", "z4", "east", 4)
    joined = Proposal(0, 0.0, ProposalKind.JOIN, member=new).apply(FIRST)
    assert joined == replace(FIRST, members=(*SEATS, new))
    assert Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(FIRST).target_size == 4
    assert Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(joined) is joined


def test_a_wiped_disk_takes_its_address_over_and_grows_nothing() -> None:
    new = Member("d3", "z3", "east", 13)
    joined = Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(FIRST)
    assert joined == replace(FIRST, members=(*SEATS[:2], new))


def test_a_member_retires_only_from_a_core_that_is_larger_than_meant() -> None:
    larger = replace(FIRST, members=(*SEATS, Member("d4", "z4", "east", 4)))
    retire = Proposal(0, 0.0, ProposalKind.RETIRE, member=SEATS[0])
    assert retire.apply(FIRST) is FIRST
    assert retire.apply(larger).members == larger.members[1:]
    gone = Proposal(0, 0.0, ProposalKind.RETIRE, member=replace(SEATS[0], disk_id=21))
    assert gone.apply(larger) is larger  # it names a disk that holds no seat


def test_nothing_but_a_founding_follows_the_founding_state_and_none_follows_another() -> None:
    start = bootstrap_state(["d2", "d1", "d2"])
    assert [(m.ip, m.disk_id) for m in start.members] == [("d1", 0), ("d2", 0)]
    kinds = [
        put(2, b"a"),
        Proposal(0, 0.0, ProposalKind.JOIN, member=SEATS[0]),
        Proposal(0, 0.0, ProposalKind.SET_EVACUATION, zone="z", evacuate=True),
    ]
    assert all(order.apply(start) is start for order in kinds)
    first = BootstrapProposal(0, 0.0, ProposalKind.BOOTSTRAP, members=SEATS)
    assert first.apply(start) == replace(start, members=SEATS, target_size=3)
    assert first.apply(FIRST) is FIRST


def test_what_is_known_of_the_disk_does_not_grow_with_changes() -> None:
    register, state = Acceptor(1, True), FIRST
    for number in range(200):
        state = with_word(b"%03d" % number, number, state)
        register.accept(Ballot(number + 1, 7, "d1"), state, b"body")
        register.learn(Ballot(number + 1, 7, "d1"), state)
        register.take_dirty_records()
    assert len(register.stored_records) <= 4  # disk, vote, decided, and one configuration
