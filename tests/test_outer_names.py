"""Names that leave the process must stay: wire formats, settings, stored data and metrics outlive a version."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES = ROOT / "tests" / "outer_names.txt"
NOT_SOURCE = ("docs", "journal", "tests", ".venv", "target")


def source_text() -> str:
    """The text of all source and deploy files; a checkout without git is read from its folders."""
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    paths = [ROOT / name for name in listed.stdout.splitlines()] or list(ROOT.rglob("*"))
    return "\n".join(
        path.read_text(errors="replace")
        for path in paths
        if path.is_file()
        and path.relative_to(ROOT).parts[0] not in NOT_SOURCE
        and path.suffix in {".py", ".toml", ".html"}
    )


def outer_names() -> list[str]:
    lines = (line.strip() for line in NAMES.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def missing_names(names: list[str], text: str) -> list[str]:
    return [name for name in names if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text)]


def test_each_outer_name_stands_in_the_source() -> None:
    names = outer_names()
    assert len(names) == len(set(names)) > 800
    assert missing_names(names, source_text()) == []


def test_a_renamed_name_is_found_missing() -> None:
    assert missing_names(["thisDoor", "beat"], 'thisNode = {"beats": 1}') == ["thisDoor", "beat"]
