"""Plays days, which are scenarios of the users' bench: writes a day's text, runs the bench, and reads its
report.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# A planned operation or a fault of a day, with the bench's fields: at, kind, how, count, share, for_s, ...
Entry = dict[str, Any]

NO_CLOSING = "none"
# The closing faults by name, as lines of a day.
CLOSINGS = {
    NO_CLOSING: "",
    "kill_all": 'closing = { kind = "kill_all", down_s = 1.4 }\n',
    "power_off_all": 'closing = { kind = "power_off_all", down_s = 1.6 }\n',
    "wipe_after_ack": 'closing = { kind = "wipe_after_ack", down_s = 0.9, how = "aimed" }\n',
    "wipe_timed": 'closing = { kind = "wipe_after_ack", down_s = 0.9, how = "timed" }\n',
    "power_timed": 'closing = { kind = "power_off_all", down_s = 1.6, how = "timed" }\n',
    "power_taken": 'closing = { kind = "power_off_all", down_s = 1.6, how = "taken" }\n',
}
RECOVERED_SHARE = 0.95  # of the worth before any fault; a window of at least this worth counts as recovered
RECOVERED_WINDOWS = 3  # successive recovered windows after which the system counts as recovered


@dataclass
class Play:
    """The result of one play.

    Attributes
    ----------
    site, day, closing
        Names of the site, of the day and of its closing fault.
    problem
        The rules that were broken, or why nothing was played; empty if all rules were kept.
    worth, refused, failed
        Shares of what the system had to serve, 0 to 1: the worth that it served, and what it refused and
        failed.
    worst
        The worth of the worst window, 0 to 1.
    recovery
        Seconds from the closing fault until the system has recovered; None if it has not, or if there was no
        closing fault.
    leave_median, leave_worst
        Milliseconds from a server's leave to its last request, over the day's leaves.
    """

    site: str
    day: str
    closing: str
    problem: str = ""
    worth: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    worst: float = 0.0
    recovery: float | None = None
    leave_median: float = 0.0
    leave_worst: float = 0.0


def entry_text(entry: Entry) -> str:
    """Return an entry as an inline table of TOML."""
    fields = (
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}" for key, value in entry.items()
    )
    return f"{{ {', '.join(fields)} }}"


def day_text(
    name: str,
    seed: int,
    length: float,
    plan: Sequence[Entry],
    faults: Sequence[Entry],
    closing: str = NO_CLOSING,
) -> str:
    """Return a day as the bench reads it; `length` in seconds."""
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", f"length_s = {length:.1f}"]
    for part, entries in (("plan", plan), ("faults", faults)):
        rows = (f"  {entry_text(entry)}," for entry in sorted(entries, key=lambda entry: entry["at"]))
        lines += [f"{part} = [", *rows, "]"]
    return "\n".join(lines) + "\n" + CLOSINGS[closing]


def play_day(
    bench: str,
    site: Path,
    day: Path,
    closing: str,
    reason: str,
    options: Sequence[str] = (),
    output: Path | None = None,
) -> Play:
    """Play a day once.

    Parameters
    ----------
    bench
        The bench's program.
    site, day
        Files of the site and of the day.
    closing
        The name of the day's closing fault.
    reason
        The reason of the play, which the bench writes to its journal.
    options
        Further options of the bench.
    output
        A file for what the bench prints, if it is to be kept.
    """
    result = Play(site.stem, day.stem, closing)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        call = [bench, "run", str(site), str(day), "--why", reason, "--report", str(report), *options]
        printed = subprocess.run(call, capture_output=True, text=True, check=False)
        text = printed.stdout + printed.stderr
        if output is not None:
            output.write_text(text)
        if report.exists():
            read_report(result, json.loads(report.read_text()))
        else:
            result.problem = (text.strip().splitlines() or ["the bench printed nothing"])[-1]
    return result


def read_report(result: Play, report: dict[str, Any]) -> None:
    """Fill in a result from the bench's report."""
    result.problem = str(report["fault"] or report["breaks"] or "")
    result.worth, result.refused, result.failed = report["G"], report["refused"], report["failed"]
    result.worst = min(window["worth"] for window in report["windows"] if window["n"])
    result.recovery = recovery_time(report)
    result.leave_median, result.leave_worst = report["times"]["leaving in force"] or (0.0, 0.0)


def recovery_time(report: dict[str, Any]) -> float | None:
    """Return the seconds from the closing fault until the system has recovered.

    It has recovered when `RECOVERED_WINDOWS` successive windows are nearly as good as those before any
    fault.  The result is None if it has not recovered, or if there was no closing fault or no window before
    any fault.
    """
    events = report["events"]
    faults: list[float] = [event["at_s"] for event in events if not event["planned"]]
    closing: list[float] = [event["at_s"] for event in events if event["kind"].startswith("closing")]
    windows: list[tuple[float, float]] = [
        (float(window["name"]), window["worth"]) for window in report["windows"] if window["n"]
    ]
    worths_before_faults = [worth for at, worth in windows if at < min(faults, default=0.0)]
    if not closing or not worths_before_faults:
        return None
    recovered_worth = RECOVERED_SHARE * statistics.median(worths_before_faults)
    after = [window for window in windows if window[0] >= closing[0] - 2.0]
    for first in range(len(after) - RECOVERED_WINDOWS + 1):
        if all(worth >= recovered_worth for _, worth in after[first : first + RECOVERED_WINDOWS]):
            return max(0.0, after[first][0] - closing[0])
    return None
