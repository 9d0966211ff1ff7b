"""What an order costs as the core grows: its time, and the messages of its rounds, among doors in 17 regions."""

from __future__ import annotations

import statistics
from typing import Any

from bench.scale.phases import Play
from bench.scale.program import BRINGING, ROUNDS
from bench.scale.world import ZONES

DOORS = 2 * ZONES  # two in each zone
ORDERS = 20  # one after another, each at another door
# then ten at once, so often: how these meet hangs on the order of a set of doors, which differs by process
TENS = 10
PAUSE = 2.0  # seconds between two: the slowest beat, so that each is known everywhere


def tally(here: Play, orders: int) -> dict[str, float]:
    """Messages an order since the last look: of rounds, of these refusals, and those that bring the state to doors."""
    kinds = here.world.kinds
    found = {
        name: [of for (_, kind), of in kinds.items() if kind in names]
        for name, names in (("rounds", ROUNDS), ("refusals", {"no"}), ("bringing", BRINGING))
    }
    made = {name: sum(of.count for of in several) / orders for name, several in found.items()}
    made["kb"] = sum(of.bytes for name in ("rounds", "bringing") for of in found[name]) / orders / 1000
    kinds.clear()
    return made


def measure(core: int, doors: int = DOORS, orders: int = ORDERS, tens: int = TENS) -> dict[str, Any]:
    here = Play(doors, core=core)
    everyone, number = list(here.world.doors.values()), here.core[0].number()
    here.world.kinds.clear()
    times, everywhere = [], []
    for n in range(orders):
        number += 1
        token, began = here.put(everyone[n * doors // orders], number), here.world.now
        here.wait(lambda token=token: here.acknowledged(token))  # type: ignore[misc]
        times.append(here.world.answers[token][0] - began)
        here.wait(lambda number=number: all(d.number() >= number for d in everyone))  # type: ignore[misc]
        everywhere.append(here.world.now - began)
        here.world.run(PAUSE)
    alone = tally(here, orders)
    lasts: list[float] = []
    untaken: list[float] = []
    for _ in range(tens):
        began = here.world.now
        tokens = [here.put(everyone[-1 - n % doors], number + 1 + n) for n in range(10)]
        number += 10
        here.wait(lambda tokens=tokens: all(token in here.world.answers for token in tokens))  # type: ignore[misc]
        ends = {token: here.world.answers[token][0] - began for token in tokens}
        lasts.append(max(ends.values()))
        untaken += [end for token, end in ends.items() if not here.acknowledged(token)]
        here.world.run(PAUSE)
    at_once = tally(here, 10 * tens)
    return {
        "core": core, "half": statistics.median(times), "most": max(times),
        "everywhere": statistics.median(everywhere), "alone": alone,
        "at once": {"last": lasts, "untaken": untaken, **at_once},
    }  # fmt: skip
