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
MARGIN = 0.2  # seconds between the time that a server records and the time at which a request reached it
# Of a series of failures: their kinds, the least and the longest duration, and the pauses between them, in seconds.
SERIES_KINDS = (KILL, STOP, STOP, STOP, CUT, CUT, RESTART)
SERIES_DURATION = (0.5, 4.5)
MIN_PAUSE, MAX_PAUSE = 0.3, 5.0
CALM_TIME = 16.0  # longest pause between two failures of core members
FAILING_FRACTION = 0.5  # of the nodes without a disk
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


def draw_series(chance: random.Random, core: int, others: int, length: float) -> list[Failure]:
    """Return failures in series that overlap, for `length` seconds; each node has one at a time.

    Nodes without a disk fail all the time.  Of the core, at most one member fails at a time, and not at all for
    `CALM_TIME` seconds now and then, so that the rules bind all other nodes there.
    """
    failures = []
    for node in chance.sample(range(core, core + others), math.ceil(others * FAILING_FRACTION)):
        failures += failures_in_turn(chance, [node], length, MAX_PAUSE)
    failures += failures_in_turn(chance, range(core), length, CALM_TIME)
    reload_at = chance.uniform(0.0, length)
    return [*failures, Failure(RELOAD, chance.randrange(core + others), reload_at, reload_at + 0.5)]


def failures_in_turn(
    chance: random.Random, nodes: Sequence[int], length: float, max_pause: float
) -> list[Failure]:
    """Return one failure after another, of nodes drawn by chance, with pauses of up to `max_pause` seconds."""
    failures = []
    at = chance.uniform(0.0, max_pause)
    while at < length:
        ends = at + chance.uniform(*SERIES_DURATION)
        direction = chance.choice(("both", "both", "in", "out"))
        failures.append(Failure(chance.choice(SERIES_KINDS), chance.choice(nodes), at, ends, direction))
        at = ends + chance.uniform(MIN_PAUSE, max_pause)
    return failures


def connected_since(failures: Sequence[Failure], node: int, core: int, at: float) -> float:
    """Return the time since which a node is connected, in seconds of the episode.

    A result later than `at` means that the node is not connected at that time.
    """
    if 2 * sum(one.is_off(at) and one.node < core for one in failures) >= core:
        return math.inf
    return max((one.reconnected_at(at) for one in failures if one.disconnects(node, core)), default=0.0)


def reachable_since(failures: Sequence[Failure], node: int, core: int, since: float, at: float) -> float:
    """Return the time since which a node is free of failures, while half of the core may fail beside it.

    It is infinite if half of the core or more failed at some time from `since` to `at`.  As for `connected_since`,
    a result later than `at` means that the node is not connected.
    """
    of_core = [one for one in failures if one.node < core and one.kind in DISCONNECTING]
    moments = [since, *(one.begins for one in of_core if since <= one.begins <= at)]
    if any(2 * sum(one.begins <= moment < one.ends for one in of_core) >= core for moment in moments):
        return math.inf
    own = [one for one in failures if one.node == node and one.kind in DISCONNECTING]
    return max((one.ends + CONNECT_TIME for one in own if one.begins <= at), default=0.0)
