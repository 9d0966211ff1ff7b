"""Plays long days on which servers leave repeatedly, among hundreds of configuration changes and faults.

A day is a scenario of the users' bench: traffic, with planned operations and faults at fixed times.

    PYTHONPATH=. python bench/leaves.py FLEETBENCH SITE... [--days N] [--seed N] [--length S] [--jobs N] [--keep DIR]

Each row of the table holds the median and the longest time, in ms, from a server's departure to its last
request, and the rules that were broken.  The same seed gives the same days.  The exit code is 0 if every day
was played and no rule was broken, otherwise 1.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.plays import NO_CLOSING, Entry, Play, day_text, play_day

CHANGES = ("route", "weights", "timeout", "tenant", "quota", "topup", "idle")
CHANGE_GAPS = (0.2, 0.7)  # seconds between two changes of the configuration
LEAVE_GAPS = (3.0, 9.0)  # seconds between two planned operations by which servers leave
FAULT_GAPS = (2.0, 8.0)  # seconds between the beginnings of two faults
QUIET_END = 6.0  # seconds without faults at the end of a day
FIRST_FAULT = 5.0  # seconds without faults at the start of a day

LEAVES: tuple[Entry, ...] = (
    {"kind": "scale_in", "share": 0.08},
    {"kind": "scale_in", "share": 0.03},
    {"kind": "release", "share": 0.12, "x": 1, "gap_s": 0.8},
    {"kind": "replace_with_reuse", "share": 0.06, "how": "drain"},
    {"kind": "scale_out", "share": 0.12, "gap_s": 2.0},
)
PLANNED_FAULTS: tuple[Entry, ...] = (
    {"kind": "roll_term", "share": 0.08, "x": 2, "gap_s": 0.6},
    {"kind": "roll_term", "share": 0.06, "x": 3, "gap_s": 0.3, "how": "remove"},
    {"kind": "roll_term", "on": "core", "share": 0.5, "gap_s": 2.5},
    {"kind": "replace_core", "x": 1.0, "how": "planned"},
    {"kind": "hup", "share": 0.3, "gap_s": 1.0},
)
FAULTS: tuple[Entry, ...] = (
    {"kind": "reset_conns", "count": 1, "x": 1.0, "how": "reader"},
    {"kind": "reset_conns", "share": 1.0, "x": 1.0},
    {"kind": "node_kill", "count": 1, "how": "reader"},
    {"kind": "node_kill", "count": 1, "how": "reader power", "for_s": 20.0},
    {"kind": "node_kill", "on": "core", "count": 1, "how": "power", "for_s": 25.0},
    {"kind": "node_kill", "share": 0.15, "how": "power", "for_s": 25.0},
    {"kind": "node_freeze", "count": 1, "how": "reader", "for_s": 3.0},
    {"kind": "node_freeze", "share": 0.1, "for_s": 3.0},
    {"kind": "node_slow", "count": 1, "how": "reader", "x": 6.0, "for_s": 4.0},
    {"kind": "node_cut", "count": 1, "how": "reader", "for_s": 3.0},
    {"kind": "node_cut", "share": 0.15, "for_s": 3.0},
    {"kind": "core_cut", "count": 1, "for_s": 4.0},
    {"kind": "ack_lost", "x": 0.7, "for_s": 5.0},
    {"kind": "burst", "x": 2.0, "for_s": 5.0},
    {"kind": "hot_tenant", "x": 8.0, "for_s": 6.0},
    {"kind": "clock_step", "x": 2000.0, "share": 0.4, "for_s": 6.0},
    {"kind": "clock_step", "x": 2000.0, "share": 0.4, "for_s": 6.0, "how": "back"},
    {"kind": "disk_stall", "count": 1, "for_s": 4.0},
)  # fmt: skip


def random_times(rng: random.Random, gaps: tuple[float, float], begin: float, end: float) -> Iterator[float]:
    """Yield times between `begin` and `end`, in seconds, separated by random gaps."""
    at = begin + rng.uniform(*gaps)
    while at < end:
        yield round(at, 2)
        at += rng.uniform(*gaps)


def draw_day(seed: int, length: float) -> str:
    """Return the text of the day that is generated from a seed."""
    rng = random.Random(f"leaves {seed}")
    plan = [
        {"at": at, "kind": "config_change", "how": rng.choice(CHANGES)}
        for at in random_times(rng, CHANGE_GAPS, 1.0, length - 2.0)
    ]
    plan += [{"at": at, **rng.choice(LEAVES)} for at in random_times(rng, LEAVE_GAPS, 0.0, length - 6.0)]
    faults: list[Entry] = []
    for at in random_times(rng, FAULT_GAPS, FIRST_FAULT, length - QUIET_END):
        if rng.random() < len(PLANNED_FAULTS) / (len(PLANNED_FAULTS) + len(FAULTS)):
            plan.append({"at": at, **rng.choice(PLANNED_FAULTS)})
        else:
            faults.append({"at": at, **rng.choice(FAULTS)})
    return day_text(f"leaves-{seed}", seed, length, plan, faults)


def play(bench: str, site: Path, seed: int, length: float, keep: Path) -> Play:
    """Play the day of a seed; its text and what the bench prints are written to the folder `keep`."""
    stem = keep / f"{site.stem}-{seed}"
    day = stem.with_suffix(".toml")
    day.write_text(draw_day(seed, length))
    reason = f"servers that leave, {seed}"
    return play_day(bench, site, day, NO_CLOSING, reason, ["--log", "all"], stem.with_suffix(".log"))


def main() -> int:
    """Play the days that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(description="Plays long days on which servers leave repeatedly.")
    parser.add_argument("bench", help="the bench's program")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length", type=float, default=90.0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", type=Path, required=True, help="folder for days, reports and output")
    options = parser.parse_args()
    options.keep.mkdir(parents=True, exist_ok=True)
    tasks = [(site, options.seed + n) for n in range(options.days) for site in options.sites]
    failures = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        plays = pool.map(
            lambda task: play(options.bench, task[0], task[1], options.length, options.keep), tasks
        )
        for (_, seed), result in zip(tasks, plays, strict=True):
            failures += bool(result.problem)
            leave_times = f"{result.leave_median:7.0f} {result.leave_worst:7.0f}"
            print(f"{result.site:22s} {seed:6d} {leave_times}  {result.problem}", flush=True)
    print(f"{len(tasks)} days, {failures} with a rule broken or not played")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
