"""Two revisions of this repository, played in turn on the same seeds, and what differs between them."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from hazelspring.lab.models.chance import stream

ROOT = Path(__file__).parent.parent.parent
KEPT = ROOT / ".lab"  # worktrees and virtual environments, for reuse
RESAMPLES = 10_000
SURE = 0.95  # that none of the intervals of a comparison misses its difference
PLAYED_AGAIN = 2  # times that a play which was not valid is played again
FIGURES = (
    "worth_share", "worst_10s_worth_share", "latency_ms.p50", "latency_ms.p90", "latency_ms.p99",
    "beyond_quota_share", "handshakes_per_request", "counter_calls_per_request", "probes_per_request",
    "requests.served", "requests.refused", "requests.failed", "door.cpu_us_per_request",
    "door.start_cpu_s", "door.memory_kb", "door.descriptors_most",
)  # fmt: skip


class CompareError(Exception):
    """A revision that cannot be played."""


@dataclass(frozen=True, slots=True)
class Built:
    """A revision in a worktree of its own: how its front door is started, and from which folder."""

    commit: str
    root: Path

    @property
    def door(self) -> tuple[str, ...]:
        moved = (self.root / "hazelspring" / "gateway").is_dir()
        module = "hazelspring.gateway" if moved else "ivymux"  # its name in older revisions
        return (str(self.root / ".venv" / "bin" / "python"), "-m", module)


def build(revision: str) -> Built:
    """The revision's worktree and virtual environment, made if they are not there.  Raises CompareError."""
    commit = call("git", "rev-parse", "--verify", "--short=12", f"{revision}^{{commit}}")
    root = KEPT / commit
    if not root.exists():
        call("git", "worktree", "prune")
        call("git", "worktree", "add", "--detach", str(root), commit)
    done = root / ".venv" / "built"
    if not done.exists():
        call(sys.executable, "-m", "venv", "--clear", str(root / ".venv"))
        call(str(root / ".venv" / "bin" / "pip"), "install", "-q", "-e", str(root))
        done.touch()
    return Built(commit, root)


def call(*command: str) -> str:
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if done.returncode:
        raise CompareError(f"{' '.join(command[:3])}: {done.stderr.strip().splitlines()[-1:]}")
    return done.stdout.strip()


def order(plays: int, first_seed: int) -> Iterator[tuple[int, int]]:
    """Which side plays which seed, in turn: A B, B A, A B, ..."""
    for number in range(plays):
        for side in (0, 1) if number % 2 == 0 else (1, 0):
            yield side, first_seed + number


def value(found: dict[str, Any], key: str) -> float:
    at: Any = found
    for part in key.split("."):
        at = at[part]
    return float(at)


@dataclass(frozen=True, slots=True)
class Difference:
    """Of one figure: the means of both sides, and B less A with its interval."""

    key: str
    a: float
    b: float
    low: float
    high: float

    @property
    def shown(self) -> bool:
        """Whether the interval holds no zero."""
        return not self.low <= 0 <= self.high


def interval(differences: list[float], sure: float) -> tuple[float, float]:
    """A bootstrap interval of the mean of paired differences, studentized, as there are few of them."""
    found = np.array(differences)
    if len(found) < 2 or not np.ptp(found):
        mean = float(found.mean())
        return (mean, mean) if len(found) > 1 else (-np.inf, np.inf)
    mean, error = found.mean(), found.std(ddof=1) / np.sqrt(len(found))
    picks = stream(0, "bootstrap").integers(0, len(found), size=(RESAMPLES, len(found)))
    drawn = found[picks]
    errors = np.maximum(drawn.std(axis=1, ddof=1) / np.sqrt(len(found)), error / 100)
    scores = (drawn.mean(axis=1) - mean) / errors
    low, high = np.quantile(scores, [(1 - sure) / 2, (1 + sure) / 2])
    return float(mean - high * error), float(mean - low * error)


def differences(a: list[dict[str, Any]], b: list[dict[str, Any]]) -> list[Difference]:
    """Of each figure, the pairs being those of one seed.  All intervals hold together with 95%."""
    sure = 1 - (1 - SURE) / len(FIGURES)
    made = []
    for key in FIGURES:
        ours, theirs = [value(f, key) for f in a], [value(f, key) for f in b]
        pairs = [y - x for x, y in zip(ours, theirs, strict=True)]
        made.append(Difference(key, float(np.mean(ours)), float(np.mean(theirs)), *interval(pairs, sure)))
    return made


def collect(
    plays: int, seed: int, play: Callable[[int, int], dict[str, Any]], say: Callable[[str], None]
) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Play all pairs.  A play that was not valid is played again; if that is in vain its pair is left out."""
    sides: tuple[dict[int, dict[str, Any]], dict[int, dict[str, Any]]] = ({}, {})
    for side, number in order(plays, seed):
        for _ in range(1 + PLAYED_AGAIN):
            found = play(side, number)
            broken = [name for name, count in found["rules"].items() if count]
            say(
                f"{'AB'[side]} seed {number}: worth {found['worth_share']:.3f}, "
                f"p99 {found['latency_ms']['p99']:.0f} ms, "
                f"{'rules broken: ' + ', '.join(broken) if broken else 'all rules kept'}"
                f"{'' if found['valid'] else ', NOT VALID: the clients were late'}"
            )
            if found["valid"]:
                sides[side][number] = found
                break
    common = sorted(sides[0].keys() & sides[1].keys())
    if len(common) < plays:
        say(f"{plays - len(common)} pairs left out: not valid")
    return [sides[0][n] for n in common], [sides[1][n] for n in common]
