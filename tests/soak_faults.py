"""The failures of a soak's episode, drawn by its seed, and when they leave nodes in touch with the core."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

IN_TOUCH = 4.0  # seconds, `inTouchMs` of the settings
FAILURE_PHASE = 4.0  # seconds in which an episode's failures begin and most of them end
AWAY_TIME = (
    9.0  # seconds for which a node is off that comes back late: longer than it may be named to clients
)
KILL, STOP, CUT, HANG, FAIL, RESET, LOST = "kill", "stop", "cut", "hang", "fail", "reset", "answer lost"
AWAY, ROLL, RELOAD = "away", "roll", "reload"
KINDS = (KILL, AWAY, AWAY, STOP, CUT, HANG, HANG, FAIL, RESET, LOST, ROLL, RELOAD)
ENDS_PROCESS = frozenset((KILL, AWAY, ROLL))
AT_NODES = frozenset((STOP, CUT)) | ENDS_PROCESS  # those after which a node must first be in touch again


@dataclass(frozen=True)
class Failure:
    """One failure.

    `node` is the one that it affects, or the server whose answers are lost.  `hang` and `fail` affect the list's reader
    where there is one, `roll` ends a process in order and starts it again, `reload` sends SIGHUP to all nodes again and
    again.  Times in seconds of the episode.
    """

    kind: str
    node: int
    begins: float
    ends: float
    ways: str = ""  # of a cut

    def disturbs(self, node: int, core: int) -> bool:
        """Return whether a node is out of touch by it: itself, or any where a member of the core is affected."""
        return self.kind in AT_NODES and (self.node < core or self.node == node)

    def touches_again(self, at: float) -> float:
        """Return when nodes that it disturbs are in touch again, as of a time.

        A member that is off disturbs the others no more, until it is back.
        """
        if at < self.begins:
            return 0.0
        return (self.begins if self.is_off(at) else self.ends) + IN_TOUCH

    def is_off(self, at: float) -> bool:
        """Return whether the node's process has ended and was not started again, as of a time."""
        return self.kind in ENDS_PROCESS and self.begins <= at < self.ends


def draw(chance: random.Random, core: int, others: int) -> list[Failure]:
    """Return two to four failures that overlap; no node has two, and one member at most is off for long."""
    nodes = chance.sample(range(core + others), chance.choice((2, 3, 3, 4)))
    middle = FAILURE_PHASE / 2
    failures: list[Failure] = []
    for node in nodes:
        member_off = any(one.kind == AWAY and one.node < core for one in failures)
        kind = chance.choice([kind for kind in KINDS if kind != AWAY or not member_off or node >= core])
        begins = chance.uniform(0.0, middle - 0.2)
        ends = begins + AWAY_TIME if kind == AWAY else chance.uniform(middle + 0.2, FAILURE_PHASE)
        failures.append(Failure(kind, node, begins, ends, chance.choice(("both", "in", "out"))))
    return failures


def in_touch_at(failures: Sequence[Failure], node: int, core: int, at: float) -> float:
    """Return since when a node is in touch as of a time, in seconds of the episode; later than `at`: it is not."""
    if 2 * sum(one.is_off(at) and one.node < core for one in failures) >= core:
        return math.inf
    return max((one.touches_again(at) for one in failures if one.disturbs(node, core)), default=0.0)
