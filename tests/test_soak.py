"""The short form of the soak: see tests/soak.py."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from .soak import Settings, Soak
from .soak_faults import AWAY, AWAY_TIME, CUT, HANG, IN_TOUCH, KILL, KINDS, Failure, draw, in_touch_at

CORE, OTHERS = 4, 2
DRAWN = [draw(random.Random(seed), CORE, OTHERS) for seed in range(80)]


def test_nodes_under_overlapping_failures_keep_every_rule(tmp_path: Path) -> None:
    """Once as drawn, and once with the nearest member of some nodes off and reads of the list that do not end."""
    soak = Soak(tmp_path, seed=1, settings=Settings(nth=7))
    fixed = [Failure(AWAY, 0, 0.3, 0.3 + AWAY_TIME), Failure(HANG, 1, 0.5, 4.0), Failure(HANG, 2, 2.8, 4.0)]
    assert soak.play([draw(soak.chance, CORE, OTHERS), fixed]) == []
    assert len(soak.last_requests) == 4


def test_failures_are_drawn_by_their_seed_overlap_and_are_of_all_kinds() -> None:
    assert [draw(random.Random(seed), CORE, OTHERS) for seed in range(80)] == DRAWN
    assert {failure.kind for failures in DRAWN for failure in failures} == set(KINDS)
    for failures in DRAWN:
        assert max(one.begins for one in failures) < min(one.ends for one in failures)
        assert len({one.node for one in failures}) == len(failures)


@pytest.mark.parametrize(
    ("kind", "affected", "asked", "at", "since"),
    [
        (KILL, 0, 5, 0.5, 0.0),  # before it
        (KILL, 0, 5, 2.0, 1.0 + IN_TOUCH),  # a member that is off disturbs no more
        (KILL, 0, 5, 4.0, 3.0 + IN_TOUCH),
        (CUT, 0, 5, 2.0, 3.0 + IN_TOUCH),  # one that is cut off does
        (CUT, 4, 5, 4.0, 0.0),  # no member
        (CUT, 5, 5, 4.0, 3.0 + IN_TOUCH),
        (HANG, 0, 0, 4.0, 0.0),
    ],
)
def test_a_node_is_in_touch_some_time_after_it_or_a_member_was_disturbed(
    kind: str, affected: int, asked: int, at: float, since: float
) -> None:
    assert in_touch_at([Failure(kind, affected, 1.0, 3.0)], asked, CORE, at) == since
