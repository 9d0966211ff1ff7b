"""A short soak test of two episodes (see tests/soak.py), and tests of its random failures."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from .soak import Settings, Soak
from .soak_faults import (
    CONNECT_TIME,
    CUT,
    HANG,
    KILL,
    KINDS,
    LONG_KILL,
    LONG_KILL_TIME,
    Failure,
    connected_since,
    draw,
)

CORE, OTHERS = 4, 2
DRAWN = [draw(random.Random(seed), CORE, OTHERS) for seed in range(80)]


def test_nodes_under_overlapping_failures_keep_every_rule(tmp_path: Path) -> None:
    """One episode is random; in the other, some nodes' nearest member is off and reads of the list hang."""
    soak = Soak(tmp_path, seed=1, settings=Settings(nth=7))
    fixed = [
        Failure(LONG_KILL, 0, 0.3, 0.3 + LONG_KILL_TIME),
        Failure(HANG, 1, 0.5, 4.0),
        Failure(HANG, 2, 2.8, 4.0),
    ]
    assert soak.run([draw(soak.chance, CORE, OTHERS), fixed]) == []
    assert len(soak.last_requests) == 4


def test_random_failures_depend_on_their_seed_overlap_and_are_of_all_kinds() -> None:
    assert [draw(random.Random(seed), CORE, OTHERS) for seed in range(80)] == DRAWN
    assert {failure.kind for failures in DRAWN for failure in failures} == set(KINDS)
    for failures in DRAWN:
        assert max(one.begins for one in failures) < min(one.ends for one in failures)
        assert len({one.node for one in failures}) == len(failures)


@pytest.mark.parametrize(
    ("kind", "affected", "node", "at", "since"),
    [
        (KILL, 0, 5, 0.5, 0.0),  # before the failure
        (KILL, 0, 5, 2.0, 1.0 + CONNECT_TIME),  # a member that is off does not disconnect other nodes
        (KILL, 0, 5, 4.0, 3.0 + CONNECT_TIME),
        (CUT, 0, 5, 2.0, 3.0 + CONNECT_TIME),  # a member that is cut off does
        (CUT, 4, 5, 4.0, 0.0),  # not a member of the core
        (CUT, 5, 5, 4.0, 3.0 + CONNECT_TIME),
        (HANG, 0, 0, 4.0, 0.0),
    ],
)
def test_a_node_is_connected_some_time_after_a_failure_of_the_node_or_of_a_member(
    kind: str, affected: int, node: int, at: float, since: float
) -> None:
    assert connected_since([Failure(kind, affected, 1.0, 3.0)], node, CORE, at) == since
