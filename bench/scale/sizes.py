"""What a door and a core member cost a second by the size of the fleet: at rest, in an ordinary day, at the peak."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bench.scale import model, phases
from bench.scale.page import number, table

SHAPES = {11: (4, 4, 2), 82: (6, 6, 2), 200: (8, 8, 4), 1000: (15, 34, 17)}  # doors: members, zones, regions
NAMES = ("rest", "news", "change", "one", "peak")
EVENTS = {  # of a day, a door: the target's
    "news": model.NEWS * model.REPLACED / model.DOORS,
    "change": model.CHANGES / model.DOORS,
    "one restart": model.RESTARTS / model.DOORS,
}
FIGURES: dict[str, Callable[[dict[str, float]], float]] = {  # of a mean a second
    "processor %": lambda mean: 100 * (mean["core"] + mean["codec"]),
    "KB/s": lambda mean: (mean["out_bytes"] + mean["came_bytes"]) / 1000,
    "messages/s": lambda mean: mean["out"] + mean["came"],
}


def measure(doors: int) -> dict[str, Any]:
    """One size as the deployments have it: members, zones and regions, nine servers a door."""
    core, zones, regions = SHAPES[doors]
    return phases.play(doors, 20, 9 * doors, NAMES, core, zones, regions)


def row(play: dict[str, Any], role: str) -> list[str]:
    """Each figure at rest, in the mean of a day, at the peak; an event costs what its phase had beyond rest."""

    def mean(phase: str) -> dict[str, float]:
        return model.nearest(play, phase, role)

    cells = []
    for of in FIGURES.values():
        rest = of(mean("rest"))
        day = sum(
            (of(mean(phase)) - rest) * play["phases"][phase]["seconds"] * each * play["doors"] / model.DAY
            for phase, each in EVENTS.items()
        )
        cells.append("; ".join(map(number, (rest, rest + max(0.0, day), of(mean("peak"))))))
    return cells


def page(plays: list[dict[str, Any]]) -> str:
    """The table, smallest fleet first."""
    rows = [
        [f"{play['doors']}", name, *row(play, role)]
        for play in sorted(plays, key=lambda play: play["doors"])
        for role, name in (("door", "door without a disk"), ("core", "core member"))
    ]
    return table(["doors", "", *FIGURES], rows)
