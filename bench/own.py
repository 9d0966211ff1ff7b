"""Plays the days of bench/days on a site, each with every closing fault, and prints one table.

    python bench/own.py FLEETBENCH SITE... [--days NAME ...] [--jobs N] [--seed N]

Exit code 0 where no rule was broken and every day was played, 1 otherwise.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DAYS = Path(__file__).parent / "days"
CLOSINGS = {
    "none": "",
    "kill_all": 'closing = { kind = "kill_all", down_s = 1.4 }\n',
    "power_off_all": 'closing = { kind = "power_off_all", down_s = 1.6 }\n',
    "wipe_after_ack": 'closing = { kind = "wipe_after_ack", down_s = 0.9, how = "aimed" }\n',
    "wipe_timed": 'closing = { kind = "wipe_after_ack", down_s = 0.9, how = "timed" }\n',
    "power_timed": 'closing = { kind = "power_off_all", down_s = 1.6, how = "timed" }\n',
    "power_taken": 'closing = { kind = "power_off_all", down_s = 1.6, how = "taken" }\n',
}


WELL = 0.95  # part of the calm windows' worth from which on a window counts as well
SPAN = 3  # windows that are well one after the other before the system counts as back


@dataclass
class Play:
    """`wrong` says what was broken, or why nothing was played; seconds and parts of what is owed else."""

    site: str
    day: str
    closing: str
    wrong: str = ""
    worth: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    worst: float = 0.0
    back: float | None = None


def back_after(report: dict[str, Any]) -> float | None:
    """Seconds from the closing fault to the first of the windows that are well; None where there is none."""
    faults: list[float] = [event["at_s"] for event in report["events"] if not event["planned"]]
    closing: list[float] = [
        event["at_s"] for event in report["events"] if event["kind"].startswith("closing")
    ]
    windows: list[tuple[float, float]] = [
        (float(window["name"]), window["worth"]) for window in report["windows"] if window["n"]
    ]
    before = [worth for at, worth in windows if at < min(faults, default=0.0)]
    if not closing or not before:
        return None
    calm, after = statistics.median(before), [window for window in windows if window[0] >= closing[0] - 2.0]
    for n in range(len(after) - SPAN + 1):
        if all(worth >= WELL * calm for _, worth in after[n : n + SPAN]):
            return max(0.0, after[n][0] - closing[0])
    return None


def play(bench: str, site: Path, day: Path, closing: str, seed: int | None) -> Play:
    """One run."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / day.name
        file.write_text(day.read_text() + CLOSINGS[closing])
        why = f"a day of one's own: {day.stem}, closing {closing}"
        seeded = ["--seed", str(seed)] if seed is not None else []
        return bench_run(bench, site, file, closing, why, ["--no-cpu", *seeded])


def bench_run(bench: str, site: Path, day: Path, closing: str, why: str, extra: list[str]) -> Play:
    """One run of a day in a file, and what the bench's report says of it."""
    found = Play(site.stem, day.stem, closing)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        call = [bench, "run", str(site), str(day), "--why", why, "--report", str(report), *extra]
        said = subprocess.run(call, capture_output=True, text=True, check=False)
        if not report.exists():
            found.wrong = ((said.stdout + said.stderr).strip().splitlines() or ["nothing was said"])[-1]
            return found
        told = json.loads(report.read_text())
    found.wrong = str(told["fault"] or told["breaks"] or "")
    found.worth, found.refused, found.failed = told["G"], told["refused"], told["failed"]
    found.worst = min(window["worth"] for window in told["windows"] if window["n"])
    found.back = back_after(told)
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description="Days of one's own, each with every closing fault.")
    parser.add_argument("bench", help="the bench's program")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", nargs="*", help="names of days; all where none is named")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seed", type=int)
    chosen = parser.parse_args()
    days = [day for day in sorted(DAYS.glob("*.toml")) if not chosen.days or day.stem in chosen.days]
    tasks = [(site, day, closing) for site in chosen.sites for day in days for closing in CLOSINGS]
    with ThreadPoolExecutor(chosen.jobs) as pool:
        plays = list(pool.map(lambda task: play(chosen.bench, task[0], task[1], task[2], chosen.seed), tasks))
    print(f"{'site':14s} {'day':16s} {'closing':15s} worth refused failed  worst window  back after s")
    for found in plays:
        figures = f"{found.worth:.3f}   {found.refused:.3f}  {found.failed:.3f}         {found.worst:.2f}"
        back = "" if found.back is None else f"{found.back:15.1f}"
        print(f"{found.site:14s} {found.day:16s} {found.closing:15s} {found.wrong or figures + back}")
    bad = sum(bool(found.wrong) for found in plays)
    print(f"{len(plays)} days, {bad} with a rule broken or not played")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
