"""The acceptor of one node and its records, and the effect of proposals on a state."""

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

MEMBERS = tuple(Member(f"d{n}", f"z{n}", "east", n) for n in (1, 2, 3))
FIRST = ControlState(1, MEMBERS, MEMBERS, 3)
LOW, HIGH = Ballot(1, 7, "d1"), Ballot(2, 5, "d2")


def next_state(state: ControlState, **changes: Any) -> ControlState:
    """Return the version that follows a state."""
    return replace(state, version=state.version + 1, previous_members=state.members, **changes)


def with_configuration(digest: bytes, number: int = 2, base: ControlState = FIRST) -> ControlState:
    return next_state(base, configuration_version=number, configuration_digest=digest)


def save(acceptor: Acceptor, disk: dict[str, bytes]) -> dict[str, bytes]:
    """Return the records of a disk after the acceptor's dirty records were saved on it."""
    disk = dict(disk)
    for name, body in acceptor.take_dirty_records().items():
        if body is None:
            disk.pop(name, None)
        else:
            disk[name] = body
    return disk


# --- prepare, accept and learn -----------------------------------------------------------------------------


def test_a_ballot_below_the_promised_one_is_refused_and_the_same_one_is_not() -> None:
    acceptor = Acceptor(1, True)
    assert acceptor.prepare(HIGH) and acceptor.prepare(HIGH)
    assert not acceptor.prepare(LOW)
    assert not acceptor.accept(LOW, FIRST)
    assert acceptor.promised == HIGH and acceptor.accepted is None
    assert acceptor.accept(HIGH, FIRST)
    assert acceptor.accepted == (HIGH, FIRST)


def test_ballots_with_equal_counters_compare_by_incarnation_and_then_by_address() -> None:
    acceptor, ballots = (
        Acceptor(1, True),
        [Ballot(3, 1, "d1"), Ballot(3, 1, "d2"), Ballot(3, 2, "d1"), Ballot(4, 1, "d1")],
    )
    assert all(acceptor.prepare(ballot) for ballot in ballots)
    assert not any(acceptor.prepare(ballot) for ballot in ballots[:-1])


def test_accepting_a_ballot_also_promises_it() -> None:
    acceptor = Acceptor(1, True)
    assert acceptor.accept(HIGH, FIRST)
    assert not acceptor.prepare(LOW) and not acceptor.accept(LOW, with_configuration(NO_CONFIGURATION, -1))
    assert acceptor.accepted == (HIGH, FIRST)


def test_a_second_state_at_an_accepted_ballot_changes_nothing() -> None:
    acceptor = Acceptor(1, True)
    acceptor.accept(LOW, FIRST)
    assert acceptor.accept(LOW, next_state(FIRST, evacuated_zones=frozenset({"z1"})))
    assert acceptor.accepted == (LOW, FIRST)


def test_an_accepted_state_above_the_decided_version_is_pending_until_it_is_decided() -> None:
    acceptor, after = Acceptor(1, True), next_state(FIRST, evacuated_zones=frozenset({"z1"}))
    acceptor.learn(NO_BALLOT, FIRST)
    assert acceptor.pending is None and acceptor.version == 1
    acceptor.accept(LOW, after)
    assert acceptor.pending == after and acceptor.state == FIRST
    assert acceptor.learn(LOW, after)
    assert acceptor.pending is None and acceptor.state == after


def test_learning_an_older_decision_or_the_same_one_changes_nothing() -> None:
    acceptor, after = Acceptor(1, True), next_state(FIRST, evacuated_zones=frozenset({"z1"}))
    assert acceptor.learn(LOW, after)
    assert not acceptor.learn(LOW, after)
    assert not acceptor.learn(HIGH, FIRST)
    assert acceptor.state == after


@pytest.mark.parametrize(
    ("accepted", "promised", "expected"), [(LOW, HIGH, HIGH), (HIGH, HIGH, HIGH), (None, LOW, HIGH)]
)
def test_a_decision_never_lowers_the_promised_or_the_accepted_ballot(
    accepted: Ballot | None, promised: Ballot, expected: Ballot
) -> None:
    acceptor, mine, other = (
        Acceptor(1, True),
        next_state(FIRST, target_size=4),
        next_state(FIRST, target_size=5),
    )
    if accepted is not None:
        acceptor.accept(accepted, mine)
    acceptor.prepare(promised)
    decided_at = LOW if accepted is not None else HIGH
    acceptor.learn(decided_at, other)
    assert acceptor.promised == expected
    kept = (accepted, mine) if accepted is not None else (HIGH, other)
    assert acceptor.accepted == kept


# --- configurations ------------------------------------------------------------------------------------------


def test_a_state_whose_configuration_is_missing_is_not_accepted_or_learned_and_changes_nothing() -> None:
    acceptor = Acceptor(1, True)
    acceptor.learn(NO_BALLOT, FIRST)
    acceptor.take_dirty_records()
    with pytest.raises(MissingConfigurationError):
        acceptor.accept(LOW, with_configuration(b"a"))
    with pytest.raises(MissingConfigurationError):
        acceptor.learn(LOW, with_configuration(b"a"))
    assert acceptor.state == FIRST and acceptor.accepted == (NO_BALLOT, FIRST)
    assert acceptor.take_dirty_records() == {}
    assert acceptor.accept(LOW, with_configuration(b"a"), b"body")
    assert acceptor.learn(LOW, with_configuration(b"a"))  # its configuration was stored by `accept`
    assert acceptor.current_configuration() == b"body"


def test_a_ballot_that_is_too_low_is_refused_even_where_the_configuration_is_missing() -> None:
    acceptor = Acceptor(1, True)
    acceptor.prepare(HIGH)
    assert not acceptor.accept(LOW, with_configuration(b"a"))


def test_configurations_that_no_state_names_are_removed_from_memory_and_from_disk() -> None:
    acceptor, disk, state = Acceptor(1, True), dict[str, bytes](), FIRST
    for number in range(200):
        state = with_configuration(b"%03d" % number, number, state)
        acceptor.accept(Ballot(number + 1, 7, "d1"), state, b"body" * number)
        acceptor.learn(Ballot(number + 1, 7, "d1"), state)
        disk = save(acceptor, disk)
        assert len(acceptor.configurations) == 1 and len(disk) == 3
    assert set(disk) == {"vote", "decided", "word " + b"199".hex()}


def test_the_configurations_of_the_accepted_and_of_the_decided_state_are_both_kept() -> None:
    acceptor = Acceptor(1, True)
    acceptor.accept(LOW, with_configuration(b"a"), b"body a")
    acceptor.learn(LOW, with_configuration(b"a"))
    acceptor.accept(HIGH, with_configuration(b"b", 3, with_configuration(b"a")), b"body b")
    assert (
        acceptor.configurations == {b"a": b"body a", b"b": b"body b"}
        and acceptor.current_configuration() == b"body a"
    )


def test_a_configuration_that_was_never_on_disk_is_not_removed_there() -> None:
    acceptor = Acceptor(1, True)
    acceptor.accept(LOW, with_configuration(b"a"), b"body a")
    acceptor.accept(HIGH, with_configuration(b"b"), b"body b")
    records = acceptor.take_dirty_records()
    assert "word " + b"a".hex() not in records and records["word " + b"b".hex()] == b"body b"


# --- records on disk ---------------------------------------------------------------------------------------


def populated_acceptor() -> tuple[Acceptor, dict[str, bytes]]:
    """Return an acceptor that has every kind of record, and its disk."""
    acceptor = load_acceptor({}, 11, True)
    acceptor.learn(LOW, with_configuration(b"a"), b"body a")
    acceptor.accept(HIGH, with_configuration(b"b", 3, with_configuration(b"a")), b"body b")
    acceptor.prepare(Ballot(9, 1, "d3"))
    return acceptor, save(acceptor, {})


def test_an_acceptor_is_restored_from_its_records() -> None:
    acceptor, disk = populated_acceptor()
    restored = load_acceptor(disk, 99, False)
    for name in ("disk_id", "may_bootstrap", "promised", "accepted", "decided", "configurations"):
        assert getattr(restored, name) == getattr(acceptor, name), name
    assert restored.take_dirty_records() == {}
    assert not restored.prepare(Ballot(8, 9, "d9"))
    restored.learn(HIGH, with_configuration(b"b", 3, with_configuration(b"a")))
    assert restored.take_dirty_records()["word " + b"a".hex()] is None  # it knows which records are on disk


def test_an_empty_disk_gets_a_number_that_is_written_with_the_first_save() -> None:
    fresh = load_acceptor({}, 11, True)
    assert (fresh.disk_id, fresh.may_bootstrap) == (11, True)
    disk = save(fresh, {})
    assert cbor2.loads(disk["disk"]) == [11, True]
    assert (load_acceptor(disk, 12, False).disk_id, load_acceptor(disk, 12, False).may_bootstrap) == (
        11,
        True,
    )
    assert (load_acceptor({}, 12, False).disk_id, load_acceptor({}, 12, False).may_bootstrap) == (12, False)


def test_only_changed_records_are_taken_and_each_only_once() -> None:
    acceptor, _ = populated_acceptor()
    assert acceptor.take_dirty_records() == {}
    acceptor.prepare(Ballot(10, 1, "d3"))
    assert set(acceptor.take_dirty_records()) == {"vote"}
    acceptor.prepare(Ballot(10, 1, "d3"))
    assert acceptor.take_dirty_records() == {}


def test_records_whose_save_failed_are_taken_again_with_their_current_content() -> None:
    acceptor, disk = populated_acceptor()
    acceptor.prepare(Ballot(10, 1, "d3"))
    unsaved = acceptor.take_dirty_records()
    acceptor.restore_dirty_records(unsaved)
    acceptor.prepare(Ballot(12, 1, "d3"))
    # This removes configuration `a`.
    acceptor.learn(HIGH, with_configuration(b"b", 3, with_configuration(b"a")))
    disk = save(acceptor, disk)
    assert load_acceptor(disk, 0, False).promised == Ballot(12, 1, "d3")
    assert load_acceptor(disk, 0, False).configurations == {b"b": b"body b"}


def test_a_removal_whose_save_failed_is_taken_again() -> None:
    acceptor, disk = populated_acceptor()
    acceptor.learn(HIGH, with_configuration(b"b", 3, with_configuration(b"a")))
    unsaved = acceptor.take_dirty_records()
    assert unsaved["word " + b"a".hex()] is None
    acceptor.restore_dirty_records(unsaved)
    assert set(save(acceptor, disk)) == {"disk", "vote", "decided", "word " + b"b".hex()}


def test_a_failed_save_of_a_configuration_that_is_no_longer_needed_does_no_harm() -> None:
    acceptor = Acceptor(1, True)
    acceptor.accept(LOW, with_configuration(b"a"), b"body a")
    acceptor.restore_dirty_records(acceptor.take_dirty_records())
    acceptor.accept(HIGH, with_configuration(b"b"), b"body b")
    assert load_acceptor({"disk": cbor2.dumps([1, True])} | save(acceptor, {}), 0, False).configurations == {
        b"b": b"body b"
    }


@pytest.mark.parametrize("digest", [b"a", b"b"])
def test_loading_fails_where_a_state_names_a_configuration_without_a_record(digest: bytes) -> None:
    _, disk = populated_acceptor()
    del disk["word " + digest.hex()]
    with pytest.raises(ValueError, match="named by a state but has no record"):
        load_acceptor(disk, 0, False)


def test_a_configuration_on_disk_that_no_state_names_is_removed_with_the_next_save() -> None:
    _, disk = populated_acceptor()
    restored = load_acceptor(disk | {"word " + b"old".hex(): b"left over"}, 0, False)
    assert b"old" not in restored.configurations
    assert set(save(restored, disk | {"word " + b"old".hex(): b"left over"})) == set(disk)


@pytest.mark.parametrize("name", ["disk", "vote", "decided"])
def test_a_malformed_record_raises_value_error(name: str) -> None:
    _, disk = populated_acceptor()
    with pytest.raises(ValueError):
        load_acceptor(disk | {name: cbor2.dumps([1])}, 0, False)


# --- proposals ---------------------------------------------------------------------------------------------


def configuration_proposal(number: int, digest: bytes) -> Proposal:
    return Proposal(
        1,
        0.0,
        ProposalKind.PUT_CONFIGURATION,
        configuration_version=number,
        configuration_digest=digest,
        configuration=b"body",
    )


def test_a_configuration_is_applied_only_with_a_higher_version_number() -> None:
    state = with_configuration(b"a", 5)
    assert configuration_proposal(6, b"b").apply(state) == replace(
        state, configuration_version=6, configuration_digest=b"b"
    )
    for proposal in (
        configuration_proposal(5, b"a"),
        configuration_proposal(5, b"b"),
        configuration_proposal(5, b"\xff"),
        configuration_proposal(4, b"b"),
        configuration_proposal(0, b"a"),
    ):
        assert proposal.apply(state) is state


def test_only_a_different_body_with_the_version_number_in_force_conflicts() -> None:
    state = with_configuration(b"a", 5)
    assert configuration_proposal(5, b"b").conflicts_with(state)
    assert not any(
        proposal.conflicts_with(state)
        for proposal in (
            configuration_proposal(5, b"a"),
            configuration_proposal(4, b"b"),
            configuration_proposal(6, b"b"),
        )
    )
    assert not Proposal(
        1, 0.0, ProposalKind.READ, configuration_version=5, configuration_digest=b"b"
    ).conflicts_with(state)


def test_evacuating_or_reopening_a_zone_again_changes_nothing() -> None:
    evacuate, reopen = (
        Proposal(1, 0.0, ProposalKind.SET_EVACUATION, zone="z1", evacuate=evacuated)
        for evacuated in (True, False)
    )
    evacuated = evacuate.apply(FIRST)
    assert evacuated == replace(FIRST, evacuated_zones=frozenset({"z1"}))
    assert evacuate.apply(evacuated) is evacuated and reopen.apply(FIRST) is FIRST
    assert reopen.apply(evacuated) == FIRST


def test_a_join_adds_a_member_and_raises_the_target_size_only_where_it_grows_the_core() -> None:
    new = Member("d4", "z4", "east", 4)
    joined = Proposal(0, 0.0, ProposalKind.JOIN, member=new).apply(FIRST)
    assert joined == replace(FIRST, members=(*MEMBERS, new))
    assert Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(FIRST).target_size == 4
    assert Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(joined) is joined


def test_a_join_after_a_wiped_disk_replaces_the_member_at_the_address_and_keeps_the_target_size() -> None:
    new = Member("d3", "z3", "east", 13)
    joined = Proposal(0, 0.0, ProposalKind.JOIN, member=new, grows_core=True).apply(FIRST)
    assert joined == replace(FIRST, members=(*MEMBERS[:2], new))


def test_a_member_retires_only_from_a_core_above_its_target_size() -> None:
    larger = replace(FIRST, members=(*MEMBERS, Member("d4", "z4", "east", 4)))
    retire = Proposal(0, 0.0, ProposalKind.RETIRE, member=MEMBERS[0])
    assert retire.apply(FIRST) is FIRST
    assert retire.apply(larger).members == larger.members[1:]
    gone = Proposal(0, 0.0, ProposalKind.RETIRE, member=replace(MEMBERS[0], disk_id=21))
    assert gone.apply(larger) is larger  # disk 21 is not a member


def test_only_a_bootstrap_proposal_changes_the_bootstrap_state_and_it_changes_no_other_state() -> None:
    start = bootstrap_state(["d2", "d1", "d2"])
    assert [(m.ip, m.disk_id) for m in start.members] == [("d1", 0), ("d2", 0)]
    kinds = [
        configuration_proposal(2, b"a"),
        Proposal(0, 0.0, ProposalKind.JOIN, member=MEMBERS[0]),
        Proposal(0, 0.0, ProposalKind.SET_EVACUATION, zone="z", evacuate=True),
    ]
    assert all(proposal.apply(start) is start for proposal in kinds)
    first = BootstrapProposal(0, 0.0, ProposalKind.BOOTSTRAP, members=MEMBERS)
    assert first.apply(start) == replace(start, members=MEMBERS, target_size=3)
    assert first.apply(FIRST) is FIRST


def test_the_set_of_stored_record_names_does_not_grow_with_changes() -> None:
    acceptor, state = Acceptor(1, True), FIRST
    for number in range(200):
        state = with_configuration(b"%03d" % number, number, state)
        acceptor.accept(Ballot(number + 1, 7, "d1"), state, b"body")
        acceptor.learn(Ballot(number + 1, 7, "d1"), state)
        acceptor.take_dirty_records()
    assert len(acceptor.stored_records) <= 4  # disk, vote, decided, and one configuration
