"""A short soak test of two episodes (see tests/soak.py), and tests of its random failures."""

from __future__ import annotations

import math
import random
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hazelspring.localfleet.stand_ins import ExecutedRequest, StandInServer

from .soak import Settings, Soak
from .soak_evacuation_check import (
    IN_TOUCH,
    OUT_OF_TOUCH,
    OUTER,
    EvacuationCheck,
    EvacuationPeriod,
    ZonesInForce,
    cause_table,
    evacuation_periods,
    held_zones,
)
from .soak_evacuations import Order
from .soak_faults import (
    CONNECT_TIME,
    CUT,
    HANG,
    KILL,
    KINDS,
    LONG_KILL,
    LONG_KILL_TIME,
    RELOAD,
    STOP,
    Failure,
    connected_since,
    draw,
    draw_series,
    reachable_since,
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


def test_a_series_of_failures_with_evacuations_keeps_every_rule(tmp_path: Path) -> None:
    """Before incident 65, a node that stood still undid an evacuation in this one."""
    soak = Soak(tmp_path, seed=6, settings=Settings(others=7, nth=8))
    assert soak.run([], series_length=30.0) == []
    assert soak.orders_acknowledged > 5


def test_a_series_of_failures_depends_on_its_seed_and_has_one_failure_of_a_node_at_a_time() -> None:
    for seed in range(20):
        failures = draw_series(random.Random(seed), CORE, 7, 30.0)
        assert failures == draw_series(random.Random(seed), CORE, 7, 30.0)
        for node in range(CORE + 7):
            own = sorted(
                (one.begins, one.ends) for one in failures if one.node == node and one.kind != RELOAD
            )
            assert all(earlier[1] < later[0] for earlier, later in pairwise(own))
        of_core = sorted((f.begins, f.ends) for f in failures if f.node < CORE and f.kind != RELOAD)
        assert all(earlier[1] < later[0] for earlier, later in pairwise(of_core))


def test_a_zone_must_be_empty_from_the_rules_time_until_its_evacuation_is_taken_back() -> None:
    orders = [
        Order("a", True, 10.0, 10.5),
        Order("a", False, 30.0, None),  # it may have taken effect
        Order("b", True, 31.0, 31.5),
        Order("a", True, 40.0, None),  # nobody knows whether it is in force
        Order("a", True, 50.0, 51.0),
    ]
    periods = evacuation_periods(orders)
    found = [(period.order.given_at, period.ends) for period in periods]
    assert found == [(10.0, 30.0), (31.0, math.inf), (50.0, math.inf)]
    times = (15.4, 15.6, 29.9, 30.1)
    assert [periods[0].delay("a", at) for at in times] == pytest.approx([0.0, 5.1, 19.4, 0.0])
    assert periods[0].delay("b", 16.0) == 0.0


def test_a_late_request_is_a_violation_if_its_node_was_in_touch(tmp_path: Path) -> None:
    """Node 5 has just been stopped; while a member of the core fails, the rule's time is stretched for all others."""
    began, order = 100.0, Order("a", True, 110.0, 110.5)
    nodes = {"c-1": 4, "c-2": 5, "c-3": 4, "c-4": 4, "c-5": 4}
    server = StandInServer("i-1", "shop", "", "a")
    for attempt, at in (("c-1", 115.5), ("c-2", 116.0), ("c-3", 116.0), ("c-4", 122.0), ("c-5", 124.5)):
        server.executed.append(ExecutedRequest(at, attempt))
    fleet = cast(Any, SimpleNamespace(servers=[server], folder=tmp_path, remaining_nodes=lambda: range(6)))
    failures = [Failure(STOP, 5, 13.0, 14.0), Failure(STOP, 0, 21.0, 25.0)]
    late = EvacuationCheck(fleet, CORE, failures, began).late_requests([order], nodes)
    assert [(each.attempt, each.judgement) for each in late] == [
        ("c-2", OUT_OF_TOUCH),
        ("c-3", IN_TOUCH),
        ("c-4", OUTER),
        ("c-5", IN_TOUCH),
    ]
    assert len(cause_table(late)) == 3


def test_the_cause_of_a_late_request_is_told_by_what_its_node_held() -> None:
    timelines = {
        1: [ZonesInForce(1.0, frozenset(), 3, "x"), ZonesInForce(10.4, frozenset({"a"}), 4, "x")],
        2: [ZonesInForce(1.0, frozenset(), 3, "x")],
        3: [ZonesInForce(1.0, frozenset(), 3, "x"), ZonesInForce(12.0, frozenset(), 5, "y")],
        4: [],
    }
    period = EvacuationPeriod(Order("a", True, 10.0, 10.5), math.inf)
    found = [held_zones(timelines, period, node, 16.0) for node in (1, 2, 3, 4)]
    expected = ["the evacuation, for over 1 s", "an older state", "open again by a version of y", "no state"]
    assert found == expected


@pytest.mark.parametrize(
    ("failures", "since"),
    [
        ([], 0.0),
        ([Failure(STOP, 0, 2.0, 3.0)], 0.0),  # a member of the core: the rule's time is stretched instead
        ([Failure(STOP, 5, 2.0, 3.0)], 3.0 + CONNECT_TIME),
        ([Failure(STOP, 0, 2.0, 4.0), Failure(CUT, 1, 3.0, 5.0)], math.inf),  # half of the core at once
        ([Failure(STOP, 0, 2.0, 3.0), Failure(CUT, 1, 3.5, 5.0)], 0.0),
        ([Failure(HANG, 5, 2.0, 3.0)], 0.0),
    ],
)
def test_a_node_without_failures_is_reachable_while_less_than_half_of_the_core_fails(
    failures: list[Failure], since: float
) -> None:
    assert reachable_since(failures, 5, CORE, 1.0, 8.0) == since


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
