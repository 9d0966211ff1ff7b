"""How long it takes, on simulated time, until every node knows of a leave and names no machine that is off.

    PYTHONPATH=. python bench/knowledge.py [--seeds N] [--cutoff S]

Each row is a pair of faults that begin at the moment of the leave, and the spread over seeds of the seconds until the
last node knows.  A time of `LONGEST` means that it was not known until then.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable, Sequence

from tests.test_deadlines import named_to_clients
from tests.test_list_duty import ListWorld

LONGEST = 20.0  # seconds that are waited for
STEP = 0.05  # seconds between two looks
CORE, OTHERS = 6, 8

Fault = Callable[[ListWorld], None]


def reader_stuck(world: ListWorld) -> None:
    """The reads of the list's reader do not end."""
    world.stuck.add(world.reader())


def reader_and_member_stuck(world: ListWorld) -> None:
    """The reads of the reader and of another member do not end."""
    others = sorted({f"d{n}" for n in range(1, CORE + 1)} - {world.reader()})
    world.stuck |= {world.reader(), world.random.choice(others)}


def reader_killed(world: ListWorld) -> None:
    """The reader's process ends."""
    world.kill(world.reader())


def reader_killed_member_stuck(world: ListWorld) -> None:
    """The reader's process ends, and another member's reads do not end."""
    reader_and_member_stuck(world)
    world.kill(world.reader())


def messages_lost(world: ListWorld) -> None:
    """A fifth of all messages is lost."""
    world.drop = 0.2


def stuck_and_lost(world: ListWorld) -> None:
    """The reads of the reader do not end, and a fifth of all messages is lost."""
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
    """Return the seconds until something holds, `LONGEST` at most."""
    began = world.now
    while world.now - began < LONGEST:
        world.run(STEP)
        if holds():
            return world.now - began
    return LONGEST


def time_to_know(seed: int, cutoff: float, fault: Fault) -> float:
    """Return the seconds from a leave, and a fault at that moment, until every node knows of the leave."""
    world = ListWorld(CORE, OTHERS, seed, cutoff)
    world.run(8.0 + seed * 0.037)
    fault(world)
    world.drain()
    return time_until(world, lambda: not world.unaware())


def time_to_drop(seed: int, off: Sequence[str]) -> float:
    """Return the seconds from the end of machines until no node names one of them to clients."""
    world = ListWorld(CORE, OTHERS, seed)
    world.run(8.0 + seed * 0.037)
    for name in off:
        world.kill(name)
    return time_until(world, lambda: not named_to_clients(world, set(off)))


def row(name: str, times: list[float]) -> str:
    """Return a line of the table."""
    times.sort()
    late = times[int(0.95 * (len(times) - 1))]
    return f"{name:32s} {statistics.median(times):6.2f} {late:6.2f} {times[-1]:6.2f}"


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
