"""Writes the report of a play: one HTML page with plots over time, and the raw series as JSON lines."""

from __future__ import annotations

import io
import shutil
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from jinja2 import Environment
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from hazelspring.lab.figures import in_quota, worth_of
from hazelspring.lab.models.customers import CLASSES
from hazelspring.lab.rules import REFUSED, Breach, PlayRecords

MAX_SHOWN_BREACHES = 50  # largest number of breaches on the page
TEMPLATE = Path(__file__).with_name("report.html")


def series(records: PlayRecords) -> list[dict[str, Any]]:
    """Return one entry per second: worth requested and served, attempts by outcome, and their destinations.

    An attempt counts in the second for which it was scheduled, an arrival in the second of its receipt.
    """
    length = max(1, int(np.ceil(records.value("length", 1.0))))
    rows: list[dict[str, Any]] = [
        {"second": n, "served": 0, "refused": 0, "failed": 0, "worth": 0.0, "worth_asked": 0.0,
         "latency": [], "doors": [0] * records.day.doors, "servers": [0] * records.day.servers}
        for n in range(length)
    ]  # fmt: skip
    inside = in_quota(records)
    first_served: dict[int, float] = {}
    for attempt in records.attempts:
        row = rows[min(length - 1, max(0, int(attempt.due)))]
        kind = "served" if attempt.status == 200 else "refused" if attempt.status in REFUSED else "failed"
        row[kind] += 1
        row["doors"][attempt.door] += 1
        if attempt.status == 200:
            row["latency"].append((attempt.ended - attempt.due) * 1e3)
            first_served.setdefault(attempt.request, attempt.ended - attempt.due)
    for request in {attempt.request for attempt in records.attempts}:
        if inside[request]:
            row = rows[min(length - 1, int(records.work.at[request] / 1e6))]
            row["worth_asked"] += worth_of(records, request)
            if first_served.get(request, np.inf) <= CLASSES[int(records.work.cls[request])].goal_time:
                row["worth"] += worth_of(records, request)
    for arrival in records.arrivals:
        rows[min(length - 1, max(0, int(arrival.received)))]["servers"][arrival.server] += 1
    for row in rows:
        found = row.pop("latency")
        row |= {f"p{p}": float(np.percentile(found, p)) if found else None for p in (50, 90, 99)}
    return rows


def plot(records: PlayRecords, draw: Callable[[Axes], None], label: str) -> str:
    """Return one plot over time as SVG, with the day's faults as shaded bands."""
    figure = Figure(figsize=(9, 2.8), layout="constrained")
    axes = figure.subplots()
    draw(axes)
    for planned in records.planned_faults:
        end = max(planned.end, planned.fault.at + 0.1)
        axes.axvspan(planned.fault.at, end, color="#c60", alpha=0.12)
        axes.annotate(planned.fault.kind, (planned.fault.at, 1.0), xycoords=("data", "axes fraction"),
                      fontsize=7, rotation=90, va="top", color="#630")  # fmt: skip
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=7, loc="upper right")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def plots(records: PlayRecords, rows: list[dict[str, Any]]) -> list[tuple[str, str]]:
    """Return title and SVG of each plot on the page."""
    at = [row["second"] + 0.5 for row in rows]

    def lines(*keys: str) -> Callable[[Axes], None]:
        def draw(axes: Axes) -> None:
            for key in keys:
                axes.plot(at, [np.nan if row[key] is None else row[key] for row in rows], label=key)

        return draw

    def worth(axes: Axes) -> None:
        axes.plot(at, [row["worth"] / row["worth_asked"] if row["worth_asked"] else np.nan for row in rows])
        axes.set_ylim(0, 1.05)

    def outcomes(axes: Axes) -> None:
        kinds = ("served", "refused", "failed")
        axes.stackplot(at, *([row[kind] for row in rows] for kind in kinds), labels=kinds)

    def heat(key: str) -> Callable[[Axes], None]:
        def draw(axes: Axes) -> None:
            grid = np.array([row[key] for row in rows]).T
            axes.imshow(
                grid,
                aspect="auto",
                origin="lower",
                extent=(0, len(rows), -0.5, len(grid) - 0.5),
                cmap="Blues",
            )

        return draw

    return [
        ("Share of the worth requested within quotas that was served in time", plot(records, worth, "share")),
        ("Latency of served attempts", plot(records, lines("p50", "p90", "p99"), "ms")),
        ("Attempts by outcome", plot(records, outcomes, "attempts per second")),
        ("Attempts by gateway", plot(records, heat("doors"), "gateway")),
        ("Arrivals by alert server", plot(records, heat("servers"), "alert server")),
    ]


def flatten(found: dict[str, Any], path: str = "") -> list[tuple[str, str]]:
    """Return the figures as pairs of dotted key and text, without the counts of breaches by rule."""
    listed: list[tuple[str, str]] = []
    for key, value in found.items():
        if isinstance(value, dict):
            listed += flatten(value, f"{path}{key}.")
        elif not path.startswith("rules."):
            listed.append((path + key, f"{value:.4g}" if isinstance(value, float) else str(value)))
    return listed


def write(
    folder: Path,
    title: str,
    records: PlayRecords,
    found: dict[str, Any],
    breaches: dict[str, list[Breach]],
    raw: Path,
) -> Path:
    """Write `index.html`, `series.jsonl` and copies of the play's records; return the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = series(records)
    (folder / "series.jsonl").write_bytes(msgspec.json.Encoder().encode_lines(rows))
    for path in raw.glob("*.jsonl"):
        shutil.copy(path, folder / path.name)
    listed = [breach for each in breaches.values() for breach in each][:MAX_SHOWN_BREACHES]
    counts: dict[str, int] = defaultdict(int, found["rules"])
    page = Environment(autoescape=True).from_string(TEMPLATE.read_text())
    text = page.render(
        title=title, about=records.day.about, found=found | {"rules": counts}, doors=records.day.doors,
        servers=records.day.servers, breaches=listed, figures=flatten(found), plots=plots(records, rows),
    )  # fmt: skip
    (folder / "index.html").write_text(text)
    return folder / "index.html"
