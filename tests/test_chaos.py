"""Runs consensus under a few random fault schedules; checks that the invariants detect faults in its code."""

from __future__ import annotations

import pytest

import hazelspring.consensus.proposer
from hazelspring.node.control_replica import ControlReplica

from .chaos import play
from .chaos_days import Step, draw, shrink


@pytest.mark.parametrize("seed", range(8))
def test_a_random_fault_schedule_breaks_no_rule(seed: int) -> None:
    assert play(draw(seed)).breaches == []


def test_a_majority_that_is_too_small_by_one_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hazelspring.consensus.proposer, "majority", lambda members: max(1, members // 2))
    assert any(play(draw(seed)).breaches for seed in range(4))


def test_a_read_that_confirms_with_no_member_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ControlReplica, "is_confirmed_for", lambda self, proposal, now: True)
    assert any("was settled by" in (play(draw(seed)).breaches or [""])[0] for seed in range(4))


def test_a_schedule_depends_on_its_seed_alone_and_shrinks_to_what_fails() -> None:
    schedule = draw(11)
    assert schedule == draw(11) and play(schedule).now == play(draw(11)).now
    needed = {schedule.steps[2], schedule.steps[-1]}
    shrunk = shrink(schedule, lambda candidate: needed <= set(candidate.steps))
    assert set(shrunk.steps) == needed and all(isinstance(step, Step) for step in shrunk.steps)
