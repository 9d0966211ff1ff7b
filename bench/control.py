"""Times of the control side on simulated time: orders at rest, with a member lost, in a storm; repair; cost at rest.

    PYTHONPATH=. python bench/control.py [--seeds N]

Four core doors in two regions (20 ms one way, 2 ms a sync) and three doors without a disk; one line a figure.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter

from hazelspring.node import codec
from hazelspring.node.messages import Message
from tests.world import World

AWAY = 0.5  # seconds between a loss and its successor's start


def founded(seed: int) -> World:
    world = World(4, 3, seed)
    world.run(3.5)
    world.put("d1", 5)
    world.run(1.5)
    return world


def line(name: str, took: list[float], unit: str = "ms") -> None:
    took = sorted(took)
    scale = 1000 if unit == "ms" else 1
    print(
        f"{name:46} median {scale * statistics.median(took):7.0f} {unit}  worst {scale * took[-1]:7.0f} {unit}"
        f"  of {len(took)}"
    )


def orders(seeds: int, lost: bool) -> list[float]:
    took = []
    for seed in range(seeds):
        world = founded(seed)
        if lost:
            world.kill("d4")
            world.run(0.2)
        for n in range(7):
            call = world.calls[world.put(f"d{n % 7 + 1 if not lost else n % 3 + 1}", 6 + n)]
            world.run(1.0)
            took.append(call.ended - call.at)
    return took


def storm(seeds: int) -> list[float]:
    """Eight orders at once each second for a minute, six of them configurations."""
    calls = []
    for seed in range(seeds):
        world = founded(seed)
        for step in range(60):
            tokens = [world.put(f"d{1 + (step + n) % 7}", 10 + 10 * step + n) for n in range(6)]
            tokens += [world.evacuate(f"d{1 + (step + n) % 7}", f"z{n}", step % 2 == 0) for n in (0, 1)]
            calls += [world.calls[token] for token in tokens]
            world.run(1.0)
        world.run(4.0)
    return [call.ended - call.at for call in calls]


def repair(seeds: int, wiped: bool) -> list[float]:
    """From the successor's start until the core holds it and nobody who is lost, so that it bears the next loss."""
    took = []
    for seed in range(seeds):
        world = founded(seed)
        lost = f"d{1 + seed % 4}"
        if wiped:
            world.wipe(lost)
        else:
            world.remove(lost)
        world.run(AWAY)
        seeds_now = [name for name in world.machines if name != lost][:2]
        new = lost if wiped else "d20"
        if wiped:
            world.start(new)
        else:
            world.add(new, seed % 4, seeds=[lost, *seeds_now])
        began = world.now
        while world.now - began < 20:
            world.run(0.01)
            state = world.decided[max(world.decided)]
            core = world.machines[new].core
            if core is not None and core.control.is_member() and len(state.members) == 4:
                break
        took.append(world.now - began)
    return took


def rest() -> None:
    world = founded(1)
    kinds: Counter[str] = Counter()
    size: Counter[str] = Counter()
    send = world.send

    def counted(source: str, to: str, message: Message) -> None:
        if source in ("d1", "d2", "d3", "d4") and to in ("d1", "d2", "d3", "d4"):
            kinds[codec.kind_of(message)] += 1
            size[codec.kind_of(message)] += len(codec.encode(message))
        send(source, to, message)

    world.send = counted  # type: ignore[method-assign]
    world.run(20.0)
    told = ", ".join(f"{kind} {kinds[kind] / 80:.1f}/s {size[kind] / 80:.0f} B/s" for kind in sorted(kinds))
    print(f"at rest, a member to other members: {told}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=40)
    seeds = parser.parse_args().seeds
    line("an order at rest", orders(seeds, lost=False))
    line("an order with a member lost", orders(seeds, lost=True))
    line("an order among eight at once for a minute", storm(max(1, seeds // 10)))
    line("an emptied disk until its seat", repair(seeds, wiped=True), "ms")
    line("a successor until the core bears the next loss", repair(seeds, wiped=False), "ms")
    rest()


if __name__ == "__main__":
    main()
