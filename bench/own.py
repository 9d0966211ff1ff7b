"""Plays the days of bench/days on sites, each day with every closing fault, and prints one table.

A day is a scenario of the users' bench: traffic, with planned operations and faults at fixed times.  The
closing fault is the last one of a day, such as the loss of power at all nodes.

    PYTHONPATH=. python bench/own.py FLEETBENCH SITE... [--days NAME ...] [--jobs N] [--seed N]

The exit code is 0 if every day was played and no rule was broken, otherwise 1.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.plays import CLOSINGS, Play, play_day

DAYS = Path(__file__).parent / "days"


@dataclass(frozen=True)
class Task:
    """A day to play on a site with a closing fault."""

    site: Path
    day: Path
    closing: str


def play(bench: str, task: Task, seed: int | None) -> Play:
    """Play one day; `seed`, if given, replaces the day's own seed."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / task.day.name
        file.write_text(task.day.read_text() + CLOSINGS[task.closing])
        reason = f"a day of bench/days: {task.day.stem}, closing {task.closing}"
        seed_options = ["--seed", str(seed)] if seed is not None else []
        return play_day(bench, task.site, file, task.closing, reason, ["--no-cpu", *seed_options])


def row(result: Play) -> str:
    """Return a line of the table."""
    figures = f"{result.worth:.3f}   {result.refused:.3f}  {result.failed:.3f}         {result.worst:.2f}"
    recovery = "" if result.recovery is None else f"{result.recovery:15.1f}"
    return f"{result.site:14s} {result.day:16s} {result.closing:15s} {result.problem or figures + recovery}"


def main() -> int:
    """Play the days that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(
        description="Plays the days of bench/days, each with every closing fault."
    )
    parser.add_argument("bench", help="the bench's program")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", nargs="*", help="names of the days to play; without it, all of bench/days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seed", type=int)
    options = parser.parse_args()
    days = [day for day in sorted(DAYS.glob("*.toml")) if not options.days or day.stem in options.days]
    tasks = [Task(site, day, closing) for site in options.sites for day in days for closing in CLOSINGS]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda task: play(options.bench, task, options.seed), tasks))
    print(f"{'site':14s} {'day':16s} {'closing':15s} worth refused failed  worst window  recovery s")
    for result in results:
        print(row(result))
    failures = sum(bool(result.problem) for result in results)
    print(f"{len(results)} days, {failures} with a rule broken or not played")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
