"""The cost per second of a node and a core member by fleet size: at rest, on an average day, at the peak."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bench.scale import model, phases
from bench.scale.page import number, table

# Core members, zones and regions of the deployments, by their number of nodes.
SHAPES = {11: (4, 4, 2), 82: (6, 6, 2), 200: (8, 8, 4), 1000: (15, 34, 17)}
PLAYED_PHASES = ("rest", "news", "change", "one", "peak")
EVENTS_PER_NODE_AND_DAY = {  # as at the target
    "news": model.UPDATES_PER_REPLACEMENT * model.REPLACED / model.NODES,
    "change": model.CHANGES / model.NODES,
    "one restart": model.RESTARTS / model.NODES,
}
FIGURES: dict[str, Callable[[dict[str, float]], float]] = {  # computed from a role's means per second
    "processor %": lambda mean: 100 * (mean["core"] + mean["codec"]),
    "KB/s": lambda mean: (mean["out_bytes"] + mean["came_bytes"]) / 1000,
    "messages/s": lambda mean: mean["out"] + mean["came"],
}


def measure(nodes: int) -> dict[str, Any]:
    """Return the figures of a fleet with a deployment's core members, zones and regions, and nine servers
    per node.
    """
    core, zones, regions = SHAPES[nodes]
    return phases.play(nodes, 20, 9 * nodes, PLAYED_PHASES, core, zones, regions)


def row(play: dict[str, Any], role: str) -> list[str]:
    """Return the cells of a role, each with a figure at rest, as the mean of a day, and at the peak.

    The cost of an event is what its phase took beyond the cost at rest.
    """

    def mean(phase: str) -> dict[str, float]:
        return model.mean_load(play, phase, role)

    cells = []
    for figure in FIGURES.values():
        rest = figure(mean("rest"))
        day = sum(
            (figure(mean(phase)) - rest)
            * play["phases"][phase]["seconds"]
            * events
            * play["doors"]
            / model.SECONDS_PER_DAY
            for phase, events in EVENTS_PER_NODE_AND_DAY.items()
        )
        cells.append("; ".join(map(number, (rest, rest + max(0.0, day), figure(mean("peak"))))))
    return cells


def page(plays: list[dict[str, Any]]) -> str:
    """Return the table as Markdown, smallest fleet first."""
    rows = [
        [f"{play['doors']}", name, *row(play, role)]
        for play in sorted(plays, key=lambda play: play["doors"])
        for role, name in (("door", "door without a disk"), ("core", "core member"))
    ]
    return table(["doors", "", *FIGURES], rows)
