"""The scale run at a small size: its counts grow and repeat as documented, and its page gets the tables."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from bench.scale import model, page, rounds, sizes, sweep, words
from bench.scale.figures import slope
from bench.scale.phases import play
from bench.scale.program import check_configuration, read_configuration
from bench.scale.world import CORE, deep_size, measure

PHASES = ("rest", "one")


def counts(found: dict[str, Any]) -> dict[str, Any]:
    """Return all figures of a play that do not depend on the machine's speed."""
    timed = ("core", "codec")
    return {
        name: {
            role: {key: value for key, value in load["mean"].items() if key not in timed}
            for role, load in phase["loads"].items()
        }
        | {kind: (of["count"], of["bytes"]) for kind, of in phase["kinds"].items()}
        | phase["times"]
        for name, phase in found["phases"].items()
    }


def test_counts_grow_with_the_fleet_and_repeat() -> None:
    sizes = (20, 60)
    plays = [play(nodes, 6, 24, PHASES) for nodes in sizes]
    rest = model.load("rest")
    others = [nodes - CORE for nodes in sizes]

    # every node without a disk sends beats to every core member, so that these messages grow with its number
    asked = [found["phases"]["rest"]["kinds"]["core beat"]["count"] for found in plays]
    among_core = CORE * (CORE - 1) * 10  # every 0.4 s for 4 s
    assert slope(others, [count - among_core for count in asked]) == pytest.approx(1.0, abs=0.1)
    assert slope(sizes, [rest(found, "door", "came") for found in plays]) == pytest.approx(0.0, abs=0.35)
    # Only changes of the roster are sent: at any fleet size, a restart costs each node the restarted node's
    # row three times, as it goes, comes back and becomes ready.
    assert all(0.0 < model.event_cost(found, "one restart", "door") < 0.3 for found in plays)
    assert all(found["phases"]["one restart"]["times"]["settled after the start"] < 2 for found in plays)

    # a phase begins in the settled state, so that its figures depend neither on the phases before nor on the
    # processes
    again = counts(play(sizes[0], 6, 24, PHASES[::-1], jobs=2))
    assert again == counts(plays[0])


def test_a_single_proposal_takes_one_round_of_the_members() -> None:
    found = rounds.measure(core=4, nodes=8, proposals=8, bursts=1)
    # two requests and two responses for each member; a proposing member sends no messages to itself
    to_members = 4 * (4 * 4 + 4 * 3) / 8
    assert found["alone"]["rounds"] == to_members and found["alone"]["refusals"] == 0
    assert 0.04 < found["half"] <= found["most"] < 0.15  # two round trips between regions, and disk writes
    assert found["at once"]["refusals"] > 0  # members refuse a round that conflicts with another
    assert len(found["at once"]["untaken"]) < 10


def test_every_message_is_counted_at_its_sender_and_at_its_receiver() -> None:
    found = play(20, 6, 24, ("rest",))["phases"]["rest"]
    went = sum(load["mean"]["out"] * load["doors"] for load in found["loads"].values())
    came = sum(load["mean"]["came"] * load["doors"] for load in found["loads"].values())
    kinds = sum(kind["count"] for name, kind in found["kinds"].items() if not name.endswith("tick"))
    assert came * found["seconds"] == pytest.approx(kinds)
    assert went == pytest.approx(came, rel=0.05)  # messages in flight at the phase's start and end differ


def test_configurations_are_valid_and_grow_in_proportion() -> None:
    small, large = words.configuration(100), words.configuration(1000)
    assert check_configuration(small) == check_configuration(large) == 1
    assert slope((100, 1000), (len(small), len(large))) == pytest.approx(1.0, abs=0.02)
    assert deep_size(read_configuration(large)) > 8 * deep_size(read_configuration(small))


def test_the_figures_of_a_sweep_are_read_from_its_digest() -> None:
    digest = "\n".join((
        "day   own/srv  score", "sweep-10  11/101  0.86", "", "middle / busiest or longest, by own machines",
        "                      10           30  power  at null",
        "door: processor %  2.7 / 3.9   2.6 / 3.6   0.24  -",
        "config acked, ms   179 / 316  335 / 1379  -0.06  -",
        "power: the busiest grows",
    ))  # fmt: skip
    assert sweep.rows(digest) == (
        ["10", "30"],
        [["door: processor %", "2.7 / 3.9", "2.6 / 3.6", "0.24"],
         ["config acked, ms", "179 / 316", "335 / 1379", "-0.06"]],
    )  # fmt: skip
    with pytest.raises(ValueError, match="without figures"):
        sweep.rows("sweep-10  11/101  0.86")


def test_slope_is_the_power_and_sizes_grow_with_content() -> None:
    assert slope((1, 10, 100), (3, 3e2, 3e4)) == pytest.approx(2.0)
    assert measure({"k": "beat"}).bytes == 8
    assert deep_size([0] * 100) > deep_size([0] * 10) > 0


def test_a_page_without_a_place_for_a_table_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "page.md"
    path.write_text("# A page\n")
    with pytest.raises(ValueError, match="no place for"):
        page.put(path.read_text(), {"fleet": "| a |"}, path)
    marked = f"{page.MARK.format('fleet')}\nold\n{page.END}\nkept\n"
    assert page.put(marked, {"fleet": "| new |"}, path) == marked.replace("old", "| new |")


def test_a_days_events_add_to_the_cost_of_a_node_at_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sizes.SHAPES, 12, (4, 4, 2))
    found = sizes.measure(12)
    _, kilobytes, messages = ([float(part) for part in cell.split("; ")] for cell in sizes.row(found, "core"))
    for rest, day, peak in (kilobytes, messages):
        assert 0 < rest <= day < 1.1 * rest < peak
    assert sizes.page([found]).count("\n") == 3  # a node without a disk and a core member, below the head
