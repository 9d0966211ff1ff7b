"""A play as one HTML page with plots over time, and the raw series as JSON lines beside it."""

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
from hazelspring.lab.rules import REFUSED, Breach, Seen

SHOWN = 50  # breaches on the page
PAGE = Path(__file__).with_name("report.html")


def series(seen: Seen) -> list[dict[str, Any]]:
    """One entry a second: what was asked then, what came of it, and where it was sent."""
    length = max(1, int(np.ceil(seen.value("length", 1.0))))
    rows: list[dict[str, Any]] = [
        {"second": n, "served": 0, "refused": 0, "failed": 0, "worth": 0.0, "worth_asked": 0.0,
         "latency": [], "doors": [0] * seen.day.doors, "servers": [0] * seen.day.servers}
        for n in range(length)
    ]  # fmt: skip
    inside = in_quota(seen)
    best: dict[int, float] = {}
    for job in seen.tries:
        row = rows[min(length - 1, max(0, int(job.due)))]
        kind = "served" if job.status == 200 else "refused" if job.status in REFUSED else "failed"
        row[kind] += 1
        row["doors"][job.door] += 1
        if job.status == 200:
            row["latency"].append((job.ended - job.due) * 1e3)
            best.setdefault(job.request, job.ended - job.due)
    for request in {job.request for job in seen.tries}:
        if inside[request]:
            row = rows[min(length - 1, int(seen.work.at[request] / 1e6))]
            row["worth_asked"] += worth_of(seen, request)
            if best.get(request, np.inf) <= CLASSES[int(seen.work.cls[request])].aim:
                row["worth"] += worth_of(seen, request)
    for arrival in seen.arrivals:
        rows[min(length - 1, max(0, int(arrival.whole)))]["servers"][arrival.server] += 1
    for row in rows:
        found = row.pop("latency")
        row |= {f"p{p}": float(np.percentile(found, p)) if found else None for p in (50, 90, 99)}
    return rows


def plot(seen: Seen, draw: Callable[[Axes], None], label: str) -> str:
    """One plot over time as SVG, the day's faults as shaded bands."""
    figure = Figure(figsize=(9, 2.8), layout="constrained")
    axes = figure.subplots()
    draw(axes)
    for happening in seen.happened:
        end = max(happening.end, happening.fault.at + 0.1)
        axes.axvspan(happening.fault.at, end, color="#c60", alpha=0.12)
        axes.annotate(happening.fault.kind, (happening.fault.at, 1.0), xycoords=("data", "axes fraction"),
                      fontsize=7, rotation=90, va="top", color="#630")  # fmt: skip
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=7, loc="upper right")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def plots(seen: Seen, rows: list[dict[str, Any]]) -> list[tuple[str, str]]:
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
        ("Worth served in time, of what was asked inside quotas", plot(seen, worth, "share")),
        ("Latency of served tries", plot(seen, lines("p50", "p90", "p99"), "ms")),
        ("Tries by what came of them", plot(seen, outcomes, "tries a second")),
        ("Tries by front door", plot(seen, heat("doors"), "front door")),
        ("Arrivals by alert server", plot(seen, heat("servers"), "alert server")),
    ]


def flat(found: dict[str, Any], path: str = "") -> list[tuple[str, str]]:
    listed: list[tuple[str, str]] = []
    for key, value in found.items():
        if isinstance(value, dict):
            listed += flat(value, f"{path}{key}.")
        elif not path.startswith("rules."):
            listed.append((path + key, f"{value:.4g}" if isinstance(value, float) else str(value)))
    return listed


def write(
    folder: Path, what: str, seen: Seen, found: dict[str, Any], breaches: dict[str, list[Breach]], raw: Path
) -> Path:
    """Write `index.html`, `series.jsonl` and what each stand-in saw; the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = series(seen)
    (folder / "series.jsonl").write_bytes(msgspec.json.Encoder().encode_lines(rows))
    for path in raw.glob("*.jsonl"):
        shutil.copy(path, folder / path.name)
    listed = [breach for each in breaches.values() for breach in each][:SHOWN]
    counts: dict[str, int] = defaultdict(int, found["rules"])
    page = Environment(autoescape=True).from_string(PAGE.read_text())
    text = page.render(
        what=what, about=seen.day.about, found=found | {"rules": counts}, doors=seen.day.doors,
        servers=seen.day.servers, breaches=listed, flat=flat(found), plots=plots(seen, rows),
    )  # fmt: skip
    (folder / "index.html").write_text(text)
    return folder / "index.html"
