"""Measures the time until all nodes know of a server's departure or a machine's failure, on simulated time.

A node knows of a machine's failure when it no longer names the machine to clients.

    PYTHONPATH=. python bench/knowledge.py [--seeds N] [--cutoff S]

Each row of the first table names the faults that begin at the moment of the departure, and each row of the
second one the machines that are stopped.  It holds the median, the 95th percentile and the worst over the
seeds, in seconds until the last node knows.  A time of `MAX_WAIT` means that not all nodes knew by then.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable, Sequence

from tests.test_deadlines import named_to_clients
from tests.test_list_reader_role import ListWorld

MAX_WAIT = 20.0  # seconds after which the wait for all nodes ends
STEP = 0.05  # seconds between two checks of an awaited condition
CORE, OTHERS = 6, 8  # nodes

Fault = Callable[[ListWorld], None]


def reader_stuck(world: ListWorld) -> None:
    """Let the reads of the node that reads the platform's list never return."""
    world.stuck.add(world.reader())


def reader_and_member_stuck(world: ListWorld) -> None:
    """Let the reads of the list reader and of another core member never return."""
    others = sorted({f"d{n}" for n in range(1, CORE + 1)} - {world.reader()})
    world.stuck |= {world.reader(), world.random.choice(others)}


def reader_killed(world: ListWorld) -> None:
    """Kill the list reader's process."""
    world.kill(world.reader())


def reader_killed_member_stuck(world: ListWorld) -> None:
    """Kill the list reader's process, and let the reads of another core member never return."""
    reader_and_member_stuck(world)
    world.kill(world.reader())


def messages_lost(world: ListWorld) -> None:
    """Drop a fifth of all messages."""
    world.drop = 0.2


def stuck_and_lost(world: ListWorld) -> None:
    """Let the list reader's reads never return, and drop a fifth of all messages."""
    reader_stuck(world)
    world.drop = 0.2


def nothing(_world: ListWorld) -> None:
    """Cause no fault."""


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
    """Return the seconds until a condition holds, `MAX_WAIT` at most."""
    began = world.now
    while world.now - began < MAX_WAIT:
        world.run(STEP)
        if holds():
            return world.now - began
    return MAX_WAIT


def time_to_know(seed: int, cutoff: float, fault: Fault) -> float:
    """Return the seconds from a departure, with a fault at the same moment, until every node knows of it."""
    world = ListWorld(CORE, OTHERS, seed, cutoff)
    world.run(8.0 + seed * 0.037)
    fault(world)
    world.drain()
    return time_until(world, lambda: not world.unaware())


def time_to_drop(seed: int, stopped: Sequence[str]) -> float:
    """Return the seconds from the failure of machines until no node names any of them to clients."""
    world = ListWorld(CORE, OTHERS, seed)
    world.run(8.0 + seed * 0.037)
    for name in stopped:
        world.kill(name)
    return time_until(world, lambda: not named_to_clients(world, set(stopped)))


def row(name: str, times: list[float]) -> str:
    """Return a row of a table; sorts `times`, which are in seconds."""
    times.sort()
    p95 = times[int(0.95 * (len(times) - 1))]
    return f"{name:32s} {statistics.median(times):6.2f} {p95:6.2f} {times[-1]:6.2f}"


def main() -> int:
    """Print both tables."""
    parser = argparse.ArgumentParser(
        description="Time until all nodes know of a departure or a failure, on simulated time."
    )
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--cutoff", type=float, default=3.0, help="drainCutoffMs, in seconds (3)")
    options = parser.parse_args()
    print(
        f"{'departure known, with':32s} {'median':>6s} {'95%':>6s} {'worst':>6s}"
        f"  seconds, {options.seeds} seeds"
    )
    for fault in FAULTS:
        times = [time_to_know(seed, options.cutoff, fault) for seed in range(options.seeds)]
        print(row(fault.__name__, times), flush=True)
    print(f"{'dropped from look-ups':32s}")
    for names in (("d7",), ("d8",), ("d1",), ("d1", "d9"), ("d2", "d4")):
        print(row(" ".join(names), [time_to_drop(seed, names) for seed in range(options.seeds)]), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
