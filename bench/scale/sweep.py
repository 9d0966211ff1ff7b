"""Reads the figures that the users' bench measured by fleet size from the journal, to compare the simulated
nodes with them.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from bench.scale.figures import ROOT

JOURNAL = ROOT / "journal"
ROW = re.compile(r"(?P<name>\S.*?)\s{2,}(?P<cells>[-\d.].*)")


def newest(folder: Path = JOURNAL) -> dict[str, Any] | None:
    """Return the journal's last sweep that succeeded, or None where there is no such entry."""
    for path in sorted(folder.glob("*.json"), reverse=True):
        text = path.read_text()
        if '"cmd":"sweep"' in text:
            entry: dict[str, Any] = json.loads(text)
            if entry["ok"]:
                return entry
    return None


def rows(digest: str) -> tuple[list[str], list[list[str]]]:
    """Return the sizes, and a row for each figure: its name, `middle / busiest` node at each size, and its
    power.

    Raises ValueError where the sweep has no figures by size.
    """
    lines = digest.splitlines()
    heads = [n for n, line in enumerate(lines) if line.startswith("middle / busiest")]
    if not heads:
        raise ValueError("a sweep without figures by size")
    sizes = lines[heads[0] + 1].split()
    sizes = sizes[: sizes.index("power")]
    found = []
    for line in lines[heads[0] + 2 :]:
        if (match := ROW.match(line)) is None or line.startswith("power:"):
            break
        cells = re.split(r"\s{2,}", match["cells"].strip())
        found.append([match["name"], *cells[: len(sizes) + 1]])
    return sizes, found
