"""Plays random days of the control side on simulated time, in parallel; prints the seeds of those that fail.

    PYTHONPATH=. python bench/fuzz.py [--first N] [--seeds N] [--jobs N]
    PYTHONPATH=. python bench/fuzz.py --play N [--shrink]

A day is determined by its seed alone, so `--play` repeats it exactly.
"""

from __future__ import annotations

import argparse
import multiprocessing
import time
import traceback
from dataclasses import dataclass

from tests.chaos import play
from tests.chaos_days import draw, shrink

MAX_TRACE_LENGTH = 280  # characters of an error's trace that are printed
MAX_BREACH_LENGTH = 300  # characters of a breach that are printed


@dataclass(frozen=True)
class SeedResult:
    """The breaches of the day that is generated from a seed."""

    seed: int
    breaches: list[str]


def play_seed(seed: int) -> SeedResult:
    """Play the day of a seed; an exception that it raises counts as a breach, too."""
    try:
        return SeedResult(seed, play(draw(seed)).breaches)
    except Exception:  # a fault of the program, like a breach
        return SeedResult(seed, [traceback.format_exc()[-MAX_TRACE_LENGTH:]])


def play_one(seed: int, reduce_day: bool) -> None:
    """Print a day and its breaches; `reduce_day`: of the smallest part of the day that still has any."""
    day = draw(seed)
    if reduce_day:
        day = shrink(day, lambda less: bool(play(less).breaches))
    print(day)
    print("\n".join(play(day).breaches) or "no fault")


def main() -> int:
    """Play the days that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(description="Drawn days of the control side on simulated time.")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--play", type=int)
    parser.add_argument("--shrink", action="store_true")
    chosen = parser.parse_args()
    if chosen.play is not None:
        play_one(chosen.play, chosen.shrink)
        return 0
    began, failed = time.monotonic(), []
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    with multiprocessing.Pool(chosen.jobs) as pool:
        for result in pool.imap_unordered(play_seed, seeds):
            if result.breaches:
                failed.append(result.seed)
                print(f"seed {result.seed}: {result.breaches[0][:MAX_BREACH_LENGTH]}", flush=True)
    seconds = time.monotonic() - began
    print(f"{len(seeds)} days of the control side in {seconds:.0f} s, {len(failed)} failed: {sorted(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
