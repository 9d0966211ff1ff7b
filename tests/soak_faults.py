"""The random failures of an episode of the soak test, and when they leave nodes connected to the core."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

CONNECT_TIME = 4.0  # seconds until a node counts as connected to the core again, `inTouchMs` of the settings
FAILURE_PHASE = 4.0  # seconds in which an episode's failures begin and most of them end
# seconds for which a long kill lasts: longer than look-ups may still return the address of a node that is off
LONG_KILL_TIME = 9.0
KILL, STOP, CUT, HANG, FAIL, RESET, LOST_ANSWERS = (
    "kill",
    "stop",
    "cut",
    "hang",
    "fail",
    "reset",
    "lost answers",
)
LONG_KILL, RESTART, RELOAD = "long kill", "restart", "reload"
KINDS = (KILL, LONG_KILL, LONG_KILL, STOP, CUT, HANG, HANG, FAIL, RESET, LOST_ANSWERS, RESTART, RELOAD)
ENDS_PROCESS = frozenset((KILL, LONG_KILL, RESTART))
DISCONNECTING = frozenset((STOP, CUT)) | ENDS_PROCESS  # failures after which nodes must first connect again


@dataclass(frozen=True)
class Failure:
    """One failure; times are in seconds of the episode.

    `node` is the affected node, or the server whose answers are lost.  `hang` and `fail` affect the node that
    reads the platform's list, if there is one.  `restart` terminates a process in order and starts it again.
    `reload` sends SIGHUP to all nodes repeatedly.
    """

    kind: str
    node: int
    begins: float
    ends: float
    direction: str = ""  # of a cut: both, in or out

    def disconnects(self, node: int, core: int) -> bool:
        """Return whether it disconnects a node: the affected one, or any node if it affects a core member."""
        return self.kind in DISCONNECTING and (self.node < core or self.node == node)

    def reconnected_at(self, at: float) -> float:
        """Return when the nodes that it disconnects are connected again, as of a time.

        A failure that ends a core member's process disconnects the other nodes twice, for `CONNECT_TIME`
        each: when the process ends and when it is started again.  In between they count as connected.  Any
        other failure disconnects nodes from its beginning until `CONNECT_TIME` after its end.
        """
        if at < self.begins:
            return 0.0
        return (self.begins if self.is_off(at) else self.ends) + CONNECT_TIME

    def is_off(self, at: float) -> bool:
        """Return whether the node's process has ended and was not started again, as of a time."""
        return self.kind in ENDS_PROCESS and self.begins <= at < self.ends


def draw(chance: random.Random, core: int, others: int) -> list[Failure]:
    """Return two to four failures that overlap; no node has two, and at most one member has a long kill."""
    nodes = chance.sample(range(core + others), chance.choice((2, 3, 3, 4)))
    middle = FAILURE_PHASE / 2
    failures: list[Failure] = []
    for node in nodes:
        member_off = any(one.kind == LONG_KILL and one.node < core for one in failures)
        kind = chance.choice([kind for kind in KINDS if kind != LONG_KILL or not member_off or node >= core])
        begins = chance.uniform(0.0, middle - 0.2)
        ends = begins + LONG_KILL_TIME if kind == LONG_KILL else chance.uniform(middle + 0.2, FAILURE_PHASE)
        failures.append(Failure(kind, node, begins, ends, chance.choice(("both", "in", "out"))))
    return failures


def connected_since(failures: Sequence[Failure], node: int, core: int, at: float) -> float:
    """Return the time since which a node is connected, in seconds of the episode.

    A result later than `at` means that the node is not connected at that time.
    """
    if 2 * sum(one.is_off(at) and one.node < core for one in failures) >= core:
        return math.inf
    return max((one.reconnected_at(at) for one in failures if one.disconnects(node, core)), default=0.0)
