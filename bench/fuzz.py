"""Drawn days of the control side on simulated time, many at once; the numbers of those that fail are printed.

    PYTHONPATH=. python bench/fuzz.py [--first N] [--seeds N] [--jobs N]
    PYTHONPATH=. python bench/fuzz.py --play N [--shrink]

A day is drawn from its number alone, so `--play` shows it again exactly.
"""

from __future__ import annotations

import argparse
import multiprocessing
import time
import traceback

from tests.chaos import play
from tests.chaos_days import Day, draw, shrink


def judge(seed: int) -> tuple[int, list[str]]:
    try:
        return seed, play(draw(seed)).breaches
    except Exception:  # a fault of the program, too
        return seed, [traceback.format_exc()[-280:]]


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--play", type=int)
    parser.add_argument("--shrink", action="store_true")
    args = parser.parse_args()
    if args.play is not None:
        day = draw(args.play)
        if args.shrink:
            day = shrink(day, lambda less: bool(judge_day(less)))
        print(day)
        print("\n".join(judge_day(day)) or "no fault")
        return 0
    began, failed, played = time.monotonic(), [], 0
    with multiprocessing.Pool(args.jobs) as pool:
        for seed, breaches in pool.imap_unordered(judge, range(args.first, args.first + args.seeds)):
            played += 1
            if breaches:
                failed.append(seed)
                print(f"seed {seed}: {breaches[0][:300]}", flush=True)
    took = time.monotonic() - began
    print(f"{played} days of the control side in {took:.0f} s, {len(failed)} failed: {sorted(failed)}")
    return 1 if failed else 0


def judge_day(day: Day) -> list[str]:
    return play(day).breaches


if __name__ == "__main__":
    raise SystemExit(main())
