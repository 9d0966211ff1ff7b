"""Stores figures with the command and revision that produced them, and fits their growth."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
FOLDER = Path(__file__).parent / "found"


def rounded(value: Any) -> Any:
    """Round all floats of a value to five digits, which is more than repeated runs have in common."""
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: rounded(item) for key, item in value.items()}
    return [rounded(item) for item in value] if isinstance(value, list | tuple) else value


def save(name: str, source: dict[str, str], found: Any) -> None:
    """Write the figures of a part to `FOLDER`, with their source: the command and the program's revision."""
    text = json.dumps({**source, "figures": rounded(found)}, indent=None, separators=(",", ":"))
    (FOLDER / f"{name}.json").write_text(text + "\n")


def load(name: str) -> Any:
    """Return a part's file: its source, and its figures under `figures`."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the power of the size with which values grow, fitted to their logarithms by least squares."""
    xs, ys = [math.log(size) for size in sizes], [math.log(max(value, 1e-12)) for value in values]
    mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mx) * (y - my) for x, y in zip(xs, ys, strict=True)) / sum((x - mx) ** 2 for x in xs)


def peak_memory(pid: int | str = "self") -> int:
    """Return the peak resident memory of a process in bytes, without what it inherited from its parent."""
    return read_status(pid, "VmHWM")


def resident_memory() -> int:
    """Return the resident memory of this process now, in bytes."""
    return read_status("self", "VmRSS")


def read_status(pid: int | str, name: str) -> int:
    """Return a memory field of /proc/PID/status, such as `VmRSS`, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return 1024 * next(int(line.split()[1]) for line in lines if line.startswith(name))
