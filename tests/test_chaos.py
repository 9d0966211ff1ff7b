"""Drawn days of the control side: some of them at each run, and that they find what is taken out of the agreement."""

from __future__ import annotations

import pytest

import hazelspring.consensus.proposer
from hazelspring.node.control_replica import ControlReplica

from .chaos import play
from .chaos_days import Act, draw, shrink


@pytest.mark.parametrize("seed", range(8))
def test_a_drawn_day_breaks_no_rule(seed: int) -> None:
    assert play(draw(seed)).breaches == []


def test_a_majority_of_one_less_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hazelspring.consensus.proposer, "majority", lambda members: max(1, members // 2))
    assert any(play(draw(seed)).breaches for seed in range(4))


def test_a_read_without_a_question_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ControlReplica, "is_confirmed_for", lambda self, order, now: True)
    assert any("was settled by" in (play(draw(seed)).breaches or [""])[0] for seed in range(4))


def test_a_day_is_drawn_from_its_number_alone_and_cut_to_what_fails() -> None:
    day = draw(11)
    assert day == draw(11) and play(day).now == play(draw(11)).now
    needed = {day.actions[2], day.actions[-1]}
    less = shrink(day, lambda some: needed <= set(some.actions))
    assert set(less.actions) == needed and all(isinstance(action, Act) for action in less.actions)
