"""The short form of the soak: see tests/soak.py."""

from __future__ import annotations

import random
from pathlib import Path

from .soak import CUT, FAIL, HANG, KILL, KINDS, LOST, RESET, STOP, Soak, draw


def test_nodes_under_overlapping_failures_keep_every_rule(tmp_path: Path) -> None:
    assert Soak(tmp_path, seed=1, nth=7).play(episodes=1) == []


def test_failures_are_drawn_by_their_seed_overlap_and_are_of_all_kinds() -> None:
    drawn = [draw(random.Random(seed)) for seed in range(60)]
    assert drawn == [draw(random.Random(seed)) for seed in range(60)]
    assert set(KINDS) == {KILL, STOP, CUT, HANG, FAIL, RESET, LOST}
    assert {failure.kind for failures in drawn for failure in failures} == set(KINDS)
    for failures in drawn:
        assert max(one.begins for one in failures) < min(one.ends for one in failures)
        assert len({one.node for one in failures}) == len(failures)
