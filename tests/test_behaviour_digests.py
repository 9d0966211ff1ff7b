"""Compares digests of seeded runs of nodes, request routing and the admission gateway with recorded ones.

A change that is meant to preserve behaviour must pass with the recorded digests. A change of behaviour is
stated in the commit message, and the commit updates `golden_digests.json` with the output of
`python -m tests.test_behaviour_digests --print`, which writes no file itself.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

from .behaviour_runs import RUNS

GOLDEN: dict[str, str] = json.loads((Path(__file__).parent / "golden_digests.json").read_text())


def test_runs_and_recorded_digests_have_the_same_names() -> None:
    assert sorted(GOLDEN) == sorted(RUNS)


@pytest.mark.parametrize("name", sorted(GOLDEN))
def test_a_seeded_run_has_the_recorded_digest(name: str) -> None:
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
