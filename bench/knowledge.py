"""Measures on simulated time how long a server's leave or a machine's failure takes to be known everywhere.

A machine's failure is known when no node names the machine to clients any more.

    PYTHONPATH=. python bench/knowledge.py [--seeds N] [--cutoff S]

Each row of the first table names the faults that begin at the moment of the leave, and each row of the
second one the machines that are off.  It holds the median, the 95th percentile and the worst over the seeds,
in seconds until the last node knows.  A time of `LONGEST` means that not all nodes knew by then.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable, Sequence

from tests.test_deadlines import named_to_clients
from tests.test_list_duty import ListWorld

LONGEST = 20.0  # seconds after which the wait ends
STEP = 0.05  # seconds between two checks
CORE, OTHERS = 6, 8

Fault = Callable[[ListWorld], None]


def reader_stuck(world: ListWorld) -> None:
    """The reads of the node that reads the platform's list never return."""
    world.stuck.add(world.reader())


def reader_and_member_stuck(world: ListWorld) -> None:
    """The reads of the reader and of another core member never return."""
    others = sorted({f"d{n}" for n in range(1, CORE + 1)} - {world.reader()})
    world.stuck |= {world.reader(), world.random.choice(others)}


def reader_killed(world: ListWorld) -> None:
    """The reader's process ends."""
    world.kill(world.reader())


def reader_killed_member_stuck(world: ListWorld) -> None:
    """The reader's process ends, and the reads of another core member never return."""
    reader_and_member_stuck(world)
    world.kill(world.reader())


def messages_lost(world: ListWorld) -> None:
    """A fifth of all messages is lost."""
    world.drop = 0.2


def stuck_and_lost(world: ListWorld) -> None:
    """The reads of the reader never return, and a fifth of all messages is lost."""
    reader_stuck(world)
    world.drop = 0.2


def nothing(_world: ListWorld) -> None:
    """No fault."""


FAULTS: tuple[Fault, ...] = (
    nothing,
    messages_lost,
    reader_stuck,
    stuck_and_lost,
    reader_killed,
    reader_and_member_stuck,
    reader_killed_member_stuck,
)


def time_until(world: ListWorld, holds: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds, `LONGEST` at most."""
    began = world.now
    while world.now - began < LONGEST:
        world.run(STEP)
        if holds():
            return world.now - began
    return LONGEST


def time_to_know(seed: int, cutoff: float, fault: Fault) -> float:
    """Return the seconds from a leave, with a fault at the same moment, until every node knows of it."""
    world = ListWorld(CORE, OTHERS, seed, cutoff)
    world.run(8.0 + seed * 0.037)
    fault(world)
    world.drain()
    return time_until(world, lambda: not world.unaware())


def time_to_drop(seed: int, off: Sequence[str]) -> float:
    """Return the seconds from the failure of machines until no node names any of them to clients."""
    world = ListWorld(CORE, OTHERS, seed)
    world.run(8.0 + seed * 0.037)
    for name in off:
        world.kill(name)
    return time_until(world, lambda: not named_to_clients(world, set(off)))


def row(name: str, times: list[float]) -> str:
    """Return a row of a table; sorts `times`, which are in seconds."""
    times.sort()
    p95 = times[int(0.95 * (len(times) - 1))]
    return f"{name:32s} {statistics.median(times):6.2f} {p95:6.2f} {times[-1]:6.2f}"


def main() -> int:
    """Print both tables."""
    parser = argparse.ArgumentParser(description="How long knowledge takes, on simulated time.")
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--cutoff", type=float, default=3.0, help="drainCutoffMs, in seconds (3)")
    chosen = parser.parse_args()
    print(
        f"{'leave known, with':32s} {'median':>6s} {'95%':>6s} {'worst':>6s}  seconds, {chosen.seeds} seeds"
    )
    for fault in FAULTS:
        times = [time_to_know(seed, chosen.cutoff, fault) for seed in range(chosen.seeds)]
        print(row(fault.__name__, times), flush=True)
    print(f"{'dropped from look-ups':32s}")
    for off in (("d7",), ("d8",), ("d1",), ("d1", "d9"), ("d2", "d4")):
        print(row(" ".join(off), [time_to_drop(seed, off) for seed in range(chosen.seeds)]), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
