"""Plays random days of the control plane on simulated time, in parallel; prints the seeds of those that
fail.

    PYTHONPATH=. python bench/fuzz.py [--first N] [--seeds N] [--jobs N]
    PYTHONPATH=. python bench/fuzz.py --play N [--shrink]

A day is a sequence of operations and faults.  Its seed alone determines it, so that `--play` repeats it
exactly; `--shrink` reduces it to the smallest part that still fails.
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
MAX_BREACH_LENGTH = 300  # characters of a broken rule's description that are printed


@dataclass(frozen=True)
class SeedResult:
    """The descriptions of the rules that were broken on the day that is generated from a seed."""

    seed: int
    breaches: list[str]


def play_seed(seed: int) -> SeedResult:
    """Play the day of a seed; an exception that it raises counts as a broken rule, too."""
    try:
        return SeedResult(seed, play(draw(seed)).breaches)
    except Exception:  # any exception is a fault of the program
        return SeedResult(seed, [traceback.format_exc()[-MAX_TRACE_LENGTH:]])


def play_one(seed: int, reduce_day: bool) -> None:
    """Print a day and the rules that it breaks; `reduce_day`: reduce it first to the smallest part that
    still breaks any.
    """
    day = draw(seed)
    if reduce_day:
        day = shrink(day, lambda reduced: bool(play(reduced).breaches))
    print(day)
    print("\n".join(play(day).breaches) or "no rule was broken")


def main() -> int:
    """Play the days that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(description="Plays random days of the control plane on simulated time.")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--play", type=int)
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    if options.play is not None:
        play_one(options.play, options.shrink)
        return 0
    began, failed = time.monotonic(), []
    seeds = range(options.first, options.first + options.seeds)
    with multiprocessing.Pool(options.jobs) as pool:
        for result in pool.imap_unordered(play_seed, seeds):
            if result.breaches:
                failed.append(result.seed)
                print(f"seed {result.seed}: {result.breaches[0][:MAX_BREACH_LENGTH]}", flush=True)
    seconds = time.monotonic() - began
    print(
        f"{len(seeds)} days of the control plane in {seconds:.0f} s, {len(failed)} failed: {sorted(failed)}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
