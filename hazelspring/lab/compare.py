"""Compares the figures of two revisions of this repository, which are played in turn with the same seeds."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from hazelspring.lab.models.random_streams import stream

ROOT = Path(__file__).parent.parent.parent
BUILDS = ROOT / ".lab"  # worktrees and virtual environments, kept for reuse
RESAMPLES = 10_000  # number of bootstrap samples
FAMILY_CONFIDENCE = 0.95  # probability that all intervals of a comparison contain the true differences
MAX_REPLAYS = 2  # how many times a play that was not valid is repeated
FIGURES = (
    "worth_share", "worst_10s_worth_share", "latency_ms.p50", "latency_ms.p90", "latency_ms.p99",
    "beyond_quota_share", "handshakes_per_request", "counter_calls_per_request", "probes_per_request",
    "requests.served", "requests.refused", "requests.failed", "door.cpu_us_per_request",
    "door.start_cpu_s", "door.memory_kb", "door.descriptors_most",
)  # fmt: skip


class CompareError(Exception):
    """A revision could not be checked out or installed."""


@dataclass(frozen=True, slots=True)
class BuiltRevision:
    """A revision in a worktree of its own; `root` is the folder that its gateway is started in."""

    commit: str
    root: Path

    @property
    def gateway_command(self) -> tuple[str, ...]:
        """The command that starts the gateway of this revision."""
        renamed = (self.root / "hazelspring" / "gateway").is_dir()
        module = "hazelspring.gateway" if renamed else "ivymux"  # the package's name in older revisions
        return (str(self.root / ".venv" / "bin" / "python"), "-m", module)


def build(revision: str) -> BuiltRevision:
    """Return the revision with its worktree and virtual environment, and create those that are missing.

    Raises CompareError if git or pip fails.
    """
    commit = run_command("git", "rev-parse", "--verify", "--short=12", f"{revision}^{{commit}}")
    root = BUILDS / commit
    if not root.exists():
        run_command("git", "worktree", "prune")
        run_command("git", "worktree", "add", "--detach", str(root), commit)
    done = root / ".venv" / "built"
    if not done.exists():
        run_command(sys.executable, "-m", "venv", "--clear", str(root / ".venv"))
        run_command(str(root / ".venv" / "bin" / "pip"), "install", "-q", "-e", str(root))
        done.touch()
    return BuiltRevision(commit, root)


def run_command(*command: str) -> str:
    """Run a command in the repository's root and return its output; raises CompareError if it fails."""
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if done.returncode:
        raise CompareError(f"{' '.join(command[:3])}: {done.stderr.strip().splitlines()[-1:]}")
    return done.stdout.strip()


def order(plays: int, first_seed: int) -> Iterator[tuple[int, int]]:
    """Yield side and seed of each play; the side that plays first alternates: A B, B A, A B, ..."""
    for number in range(plays):
        for side in (0, 1) if number % 2 == 0 else (1, 0):
            yield side, first_seed + number


def value(found: dict[str, Any], key: str) -> float:
    """Return the figure at a path of keys that are separated by dots."""
    node: Any = found
    for part in key.split("."):
        node = node[part]
    return float(node)


@dataclass(frozen=True, slots=True)
class Difference:
    """The means of one figure on both sides, and the confidence interval of B minus A."""

    key: str
    a: float
    b: float
    low: float
    high: float

    @property
    def significant(self) -> bool:
        """Whether the interval excludes zero."""
        return not self.low <= 0 <= self.high


def interval(differences: list[float], confidence: float) -> tuple[float, float]:
    """Return a bootstrap confidence interval of the mean of paired differences.

    The bootstrap is studentized because there are few differences.  A single difference gives an infinite
    interval.
    """
    found = np.array(differences)
    if len(found) < 2 or not np.ptp(found):
        mean = float(found.mean())
        return (mean, mean) if len(found) > 1 else (-np.inf, np.inf)
    mean, error = found.mean(), found.std(ddof=1) / np.sqrt(len(found))
    indices = stream(0, "bootstrap").integers(0, len(found), size=(RESAMPLES, len(found)))
    drawn = found[indices]
    # The lower bound avoids a division by zero: a resample may consist of equal values.
    errors = np.maximum(drawn.std(axis=1, ddof=1) / np.sqrt(len(found)), error / 100)
    scores = (drawn.mean(axis=1) - mean) / errors
    low, high = np.quantile(scores, [(1 - confidence) / 2, (1 + confidence) / 2])
    return float(mean - high * error), float(mean - low * error)


def differences(a: list[dict[str, Any]], b: list[dict[str, Any]]) -> list[Difference]:
    """Return the difference of each figure; plays of the same seed form a pair.

    The intervals are widened so that all of them together have a confidence of 95%.
    """
    confidence = 1 - (1 - FAMILY_CONFIDENCE) / len(FIGURES)
    found = []
    for key in FIGURES:
        ours, theirs = [value(f, key) for f in a], [value(f, key) for f in b]
        pairs = [y - x for x, y in zip(ours, theirs, strict=True)]
        found.append(
            Difference(key, float(np.mean(ours)), float(np.mean(theirs)), *interval(pairs, confidence))
        )
    return found


def collect(
    plays: int, seed: int, play: Callable[[int, int], dict[str, Any]], print_line: Callable[[str], None]
) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Play all pairs; return the figures of both sides.

    A play that was not valid is repeated up to `MAX_REPLAYS` times; if none is valid, its pair is left out.
    """
    sides: tuple[dict[int, dict[str, Any]], dict[int, dict[str, Any]]] = ({}, {})
    for side, number in order(plays, seed):
        for _ in range(1 + MAX_REPLAYS):
            found = play(side, number)
            broken = [name for name, count in found["rules"].items() if count]
            print_line(
                f"{'AB'[side]} seed {number}: worth {found['worth_share']:.3f}, "
                f"p99 {found['latency_ms']['p99']:.0f} ms, "
                f"{'rules broken: ' + ', '.join(broken) if broken else 'all rules kept'}"
                f"{'' if found['valid'] else ', NOT VALID: too many attempts started late'}"
            )
            if found["valid"]:
                sides[side][number] = found
                break
    common = sorted(sides[0].keys() & sides[1].keys())
    if len(common) < plays:
        print_line(f"{plays - len(common)} pairs of plays left out, as a revision had no valid play")
    return [sides[0][n] for n in common], [sides[1][n] for n in common]
