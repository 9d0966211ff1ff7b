"""Measures the control plane on simulated time.

The figures are the times of operators' calls and of the replacement of a core member, and the messages that
members exchange at rest.

    PYTHONPATH=. python bench/control.py [--seeds N]

The fleet has four core members in two regions and three other nodes.  A message between regions takes 20 ms
one way, a disk write 2 ms.  Each figure is printed on a line of its own.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter

from hazelspring.node import codec
from hazelspring.node.messages import Message
from tests.world import World

CORE, OTHERS = 4, 3  # nodes
NODES = CORE + OTHERS
REPLACEMENT_DELAY = 0.5  # seconds between the loss of a member and the start of its replacement
REPLACEMENT_TIMEOUT = 20.0  # seconds after which a replacement counts as failed
REST_TIME = 20.0  # seconds for which the cost at rest is measured
MILLISECONDS_PER_SECOND = 1000


def settled_world(seed: int) -> World:
    """Return a fleet whose nodes have agreed on the core, with a configuration in force."""
    world = World(CORE, OTHERS, seed)
    world.run(3.5)
    world.put("d1", 5)
    world.run(1.5)
    return world


def print_times(name: str, times: list[float]) -> None:
    """Print the median and the worst of some times, which are in seconds."""
    median, worst = (MILLISECONDS_PER_SECOND * each for each in (statistics.median(times), max(times)))
    print(f"{name:46} median {median:7.0f} ms  worst {worst:7.0f} ms  of {len(times)}")


def single_calls(seeds: int, lost: bool) -> list[float]:
    """Return the seconds that successive configurations took; `lost`: while a core member is stopped."""
    times = []
    for seed in range(seeds):
        world = settled_world(seed)
        if lost:
            world.kill("d4")
            world.run(0.2)
        for n in range(7):
            call = world.calls[world.put(f"d{n % (CORE - 1 if lost else NODES) + 1}", 6 + n)]
            world.run(1.0)
            times.append(call.ended - call.at)
    return times


def concurrent_calls(seeds: int) -> list[float]:
    """Return the seconds that each call took when eight start at once, every second for a minute.

    Six of the eight are configurations, the other two evacuations.
    """
    calls = []
    for seed in range(seeds):
        world = settled_world(seed)
        for step in range(60):
            tokens = [world.put(f"d{1 + (step + n) % NODES}", 10 + 10 * step + n) for n in range(6)]
            tokens += [world.evacuate(f"d{1 + (step + n) % NODES}", f"z{n}", step % 2 == 0) for n in (0, 1)]
            calls += [world.calls[token] for token in tokens]
            world.run(1.0)
        world.run(4.0)
    return [call.ended - call.at for call in calls]


def replacement_times(seeds: int, wiped: bool) -> list[float]:
    """Return the seconds from a replacement's start until it is a core member and the lost node is none.

    `wiped`: the replacement is the same machine with an empty disk.  A replacement that fails counts
    as `REPLACEMENT_TIMEOUT`.
    """
    times = []
    for seed in range(seeds):
        world = settled_world(seed)
        lost = f"d{1 + seed % CORE}"
        if wiped:
            world.wipe(lost)
        else:
            world.remove(lost)
        world.run(REPLACEMENT_DELAY)
        remaining_seeds = [name for name in world.machines if name != lost][:2]
        replacement = lost if wiped else "d20"
        if wiped:
            world.start(replacement)
        else:
            world.add(replacement, seed % CORE, seeds=[lost, *remaining_seeds])
        began = world.now
        while world.now - began < REPLACEMENT_TIMEOUT:
            world.run(0.01)
            state = world.decided[max(world.decided)]
            core = world.machines[replacement].core
            if core is not None and core.control.is_member() and len(state.members) == CORE:
                break
        times.append(world.now - began)
    return times


def print_cost_at_rest() -> None:
    """Print the messages and bytes of each kind that a core member sends to other members in a second."""
    world = settled_world(1)
    members = {f"d{n}" for n in range(1, CORE + 1)}
    messages: Counter[str] = Counter()
    size: Counter[str] = Counter()
    send = world.send

    def count_and_send(source: str, to: str, message: Message) -> None:
        if source in members and to in members:
            messages[codec.kind_of(message)] += 1
            size[codec.kind_of(message)] += len(codec.encode(message))
        send(source, to, message)

    world.send = count_and_send  # type: ignore[method-assign]
    world.run(REST_TIME)
    seconds = CORE * REST_TIME
    rates = (
        f"{kind} {messages[kind] / seconds:.1f}/s {size[kind] / seconds:.0f} B/s" for kind in sorted(messages)
    )
    print(f"at rest, a member to other members: {', '.join(rates)}")


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description="Times of the control plane on simulated time.")
    parser.add_argument("--seeds", type=int, default=40)
    seeds = parser.parse_args().seeds
    print_times("a call at rest", single_calls(seeds, lost=False))
    print_times("a call with a member lost", single_calls(seeds, lost=True))
    print_times("a call among eight at once for a minute", concurrent_calls(max(1, seeds // 10)))
    print_times("an emptied disk until it is a member again", replacement_times(seeds, wiped=True))
    print_times("a replacement until it is a member", replacement_times(seeds, wiped=False))
    print_cost_at_rest()


if __name__ == "__main__":
    main()
