"""A small scale run: its counts grow as the capacity page states and are repeatable, and give the page's tables."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from bench.scale import model, page, rounds, sizes, sweep, words
from bench.scale.figures import slope
from bench.scale.phases import play
from bench.scale.program import check_word, read_word
from bench.scale.world import CORE, measure, weigh

PHASES = ("rest", "one")


def counts(found: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of a run that do not depend on the machine's speed."""
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
    runs = [play(nodes, 6, 24, PHASES) for nodes in sizes]
    rest = model.load("rest")
    others = [nodes - CORE for nodes in sizes]

    # every other node sends heartbeats to every core member, so that their number grows with that of the nodes
    heartbeats = [found["phases"]["rest"]["kinds"]["core beat"]["count"] for found in runs]
    among_core = CORE * (CORE - 1) * 10  # every 0.4 s for 4 s
    assert slope(others, [count - among_core for count in heartbeats]) == pytest.approx(1.0, abs=0.1)
    assert slope(sizes, [rest(found, "door", "came") for found in runs]) == pytest.approx(0.0, abs=0.35)
    # only changes of the roster are sent: at any size, a restart costs a node one row thrice (left, joined, ready)
    assert all(0.0 < model.extra(found, "one restart", "door") < 0.3 for found in runs)
    assert all(found["phases"]["one restart"]["times"]["settled after the start"] < 2 for found in runs)

    # each phase begins in the settled state, so its figures depend neither on earlier phases nor on the processes
    again = counts(play(sizes[0], 6, 24, PHASES[::-1], jobs=2))
    assert again == counts(runs[0])


def test_a_single_proposal_takes_one_round_of_the_members() -> None:
    found = rounds.measure(core=4, doors=8, orders=8, tens=1)
    to_members = (
        4 * (4 * 4 + 4 * 3) / 8
    )  # two requests and replies per member; a member sends no messages to itself
    assert found["alone"]["rounds"] == to_members and found["alone"]["refusals"] == 0
    assert 0.04 < found["half"] <= found["most"] < 0.15  # two round trips between regions, and saves
    assert found["at once"]["refusals"] > 0  # concurrent rounds refuse each other
    assert len(found["at once"]["untaken"]) < 10


def test_every_message_is_counted_at_its_sender_and_at_its_recipient() -> None:
    found = play(20, 6, 24, ("rest",))["phases"]["rest"]
    sent = sum(load["mean"]["out"] * load["doors"] for load in found["loads"].values())
    received = sum(load["mean"]["came"] * load["doors"] for load in found["loads"].values())
    kinds = sum(kind["count"] for name, kind in found["kinds"].items() if not name.endswith("tick"))
    assert received * found["seconds"] == pytest.approx(kinds)
    assert sent == pytest.approx(received, rel=0.05)  # some messages are in transit at the start and the end


def test_configurations_are_valid_and_grow_in_proportion() -> None:
    small, large = words.configuration(100), words.configuration(1000)
    assert check_word(small) == check_word(large) == 1
    assert slope((100, 1000), (len(small), len(large))) == pytest.approx(1.0, abs=0.02)
    assert weigh(read_word(large)) > 8 * weigh(read_word(small))


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


def test_powers_and_sizes() -> None:
    assert slope((1, 10, 100), (3, 3e2, 3e4)) == pytest.approx(2.0)
    assert measure({"k": "beat"}).bytes == 8
    assert weigh([0] * 100) > weigh([0] * 10) > 0


def test_a_page_without_a_place_for_a_table_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "page.md"
    path.write_text("# A page\n")
    with pytest.raises(ValueError, match="no place for"):
        page.put(path.read_text(), {"fleet": "| a |"}, path)
    marked = f"{page.MARK.format('fleet')}\nold\n{page.END}\nkept\n"
    assert page.put(marked, {"fleet": "| new |"}, path) == marked.replace("old", "| new |")


def test_a_days_events_add_to_the_load_of_an_idle_node(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sizes.SHAPES, 12, (4, 4, 2))
    found = sizes.measure(12)
    _, kilobytes, messages = ([float(part) for part in cell.split("; ")] for cell in sizes.row(found, "core"))
    for rest, day, peak in (kilobytes, messages):
        assert 0 < rest <= day < 1.1 * rest < peak
    assert sizes.page([found]).count("\n") == 3  # a node without a disk and a core member, below the head
