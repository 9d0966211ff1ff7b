"""Figures on disk, each with the command and revision that gave it, and how they grow: log-log least squares."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
FOLDER = Path(__file__).parent / "found"


def rounded(value: Any) -> Any:
    """Five digits are more than any of these repeats."""
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: rounded(of) for key, of in value.items()}
    return [rounded(of) for of in value] if isinstance(value, list | tuple) else value


def keep(name: str, source: dict[str, str], found: Any) -> None:
    text = json.dumps({**source, "figures": rounded(found)}, indent=None, separators=(",", ":"))
    (FOLDER / f"{name}.json").write_text(text + "\n")


def load(name: str) -> Any:
    return json.loads((FOLDER / f"{name}.json").read_text())


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """The power by which values grow with sizes: least squares through their logarithms."""
    xs, ys = [math.log(size) for size in sizes], [math.log(max(value, 1e-12)) for value in values]
    mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mx) * (y - my) for x, y in zip(xs, ys, strict=True)) / sum((x - mx) ** 2 for x in xs)


def peak(pid: int | str = "self") -> int:
    """The most memory that a process ever had, in bytes; not what it took over from who started it."""
    return status(pid, "VmHWM")


def resident() -> int:
    """The memory that this process has now, in bytes."""
    return status("self", "VmRSS")


def status(pid: int | str, name: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return 1024 * next(int(line.split()[1]) for line in lines if line.startswith(name))
