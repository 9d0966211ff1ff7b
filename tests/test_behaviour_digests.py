"""What nodes, routing and the admission gateway do in seeded runs, against digests recorded before.

A change that is to keep the behaviour must pass as it is.  One that changes it on purpose says so in its commit and
copies into `golden_digests.json` what `python -m tests.test_behaviour_digests --print` shows; that writes no file.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

from .behaviour_runs import RUNS

GOLDEN: dict[str, str] = json.loads((Path(__file__).parent / "golden_digests.json").read_text())


def test_each_run_has_a_recorded_digest_and_each_digest_a_run() -> None:
    assert sorted(GOLDEN) == sorted(RUNS)


@pytest.mark.parametrize("name", sorted(GOLDEN))
def test_a_seeded_run_does_what_it_did(name: str) -> None:
    assert RUNS[name]() == GOLDEN[name]


def main(arguments: list[str]) -> int:
    """Print the digests of all runs as JSON."""
    if arguments != ["--print"]:
        print("usage: python -m tests.test_behaviour_digests --print", file=sys.stderr)
        return 2
    print(json.dumps({name: run() for name, run in RUNS.items()}, indent=2))
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
