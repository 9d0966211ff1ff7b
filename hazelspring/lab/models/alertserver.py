"""One alert server: what it takes in, how its work gets done, and when it falls over."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

EPS = 1e-9  # seconds of work that rounding may leave over
STEP = 0.1  # seconds for which the capacity of a warming server counts as constant
UTIL_SPAN = 0.5  # seconds over which a load report averages


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """What a machine is; times in seconds, work in seconds of one core of speed 1."""

    name: str
    kind: int
    zone: int
    rack: int
    cores: int = 2
    speed: float = 1.0
    slots: int = 8
    queue: int = 50
    thrash_at: float = 5.0  # requests in work for each core, from which on they hinder each other
    thrash: float = 0.1
    cold_from: float = 0.3  # share of its capacity just after its start
    warm_up: float = 10.0
    fall_multiple: float = 3.0
    fall_time: float = 2.0
    connections: int = 1000
    handshake: float = 0.0012
    probe: float = 0.0003
    idle: float = 15.0
    memory: float = 7.5  # seconds for which its rack remembers a key
    refresh: float = 0.5
    noise: float = 0.05


class Verdict(Enum):
    """What becomes of a request that has come whole."""

    BEGUN = "begun"
    FULL = "full"
    DRAINING = "draining"
    DROPPED = "dropped"  # a repeat of a key that its rack has: answered with the first one's end
    FALLEN = "fallen"


@dataclass(slots=True)
class Work:
    """A request at its server; `token` is the caller's own."""

    token: object
    left: float
    key: str
    goal: float = 0.0  # the attained work of its server at which it is done
    followers: list[object] = field(default_factory=list)
    gone: bool = False


class Rack:
    """The keys that the servers of one rack have among them."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[float, Work]] = {}
        self.order: deque[tuple[float, str]] = deque()

    def first(self, now: float, key: str, work: Work, span: float) -> Work | None:
        """The work that has this key already; else it is remembered from now on for `span` seconds."""
        while self.order and self.order[0][0] <= now:
            at, old = self.order.popleft()
            if (found := self.keys.get(old)) is not None and found[0] <= at:
                del self.keys[old]
        if (known := self.keys.get(key)) is not None and not known[1].gone:
            return known[1]
        self.keys[key] = (now + span, work)
        self.order.append((now + span, key))
        return None


class AlertServer:
    """Its cores are shared evenly by the requests in work, and the rest waits in turn."""

    def __init__(self, spec: ServerSpec, rack: Rack, now: float, started: float = -math.inf) -> None:
        self.spec, self.rack, self.started = spec, rack, started
        self.at = now
        self.attained = 0.0  # work that each request in work has got since the start
        self.running: list[tuple[float, int, Work]] = []
        self.waiting: deque[Work] = deque()
        self.number = 0
        self.draining = self.fallen = False
        self.slow = 1.0  # what another program leaves of the machine
        self.stalled = False
        self.connections = 0
        self.pushed: deque[tuple[float, float]] = deque()  # times and work that it was sent while cold
        self.pushed_sum = 0.0
        self.busy, self.busy_since = 0.0, self.at
        self.told: tuple[float, float, int] = (-math.inf, 0.0, 0)

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has."""
        age = max(0.0, now - self.started)
        part = min(1.0, age / self.spec.warm_up) if self.spec.warm_up > 0 else 1.0
        return self.spec.cold_from + (1 - self.spec.cold_from) * part

    def pace(self, now: float) -> float:
        """Work a second that each request in work gets."""
        count = len(self.running)
        if not count or self.stalled or self.fallen:
            return 0.0
        spec = self.spec
        crowd = max(0.0, count / spec.cores - spec.thrash_at)
        each = spec.speed * self.slow * self.warmth(now) * min(1.0, spec.cores / count)
        return each / (1 + spec.thrash * crowd)

    def connect(self, now: float) -> bool:
        """Whether a further connection is held."""
        if self.fallen or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        return True

    def begin(self, now: float, token: object, work: float, key: str = "", fresh: bool = False) -> Verdict:
        """A request has come whole; `fresh` on a connection that it is the first on."""
        self.advance(now)
        if self.fallen:
            return Verdict.FALLEN
        if self.draining:
            return Verdict.DRAINING
        item = Work(token, work + (self.spec.handshake if fresh else 0.0), key)
        if len(self.running) >= self.spec.slots and len(self.waiting) >= self.spec.queue:
            return Verdict.FULL
        if self.overrun(now, item.left):
            return Verdict.FALLEN
        if key and (held := self.rack.first(now, key, item, self.spec.memory)) is not None:
            held.followers.append(token)
            return Verdict.DROPPED
        if len(self.running) < self.spec.slots:
            self.run(item)
        else:
            self.waiting.append(item)
        return Verdict.BEGUN

    def run(self, item: Work) -> None:
        self.number += 1
        item.goal = self.attained + item.left
        heapq.heappush(self.running, (item.goal, self.number, item))

    def overrun(self, now: float, work: float) -> bool:
        """A cold server that is sent too much of its capacity for too long falls over, and stays down."""
        spec = self.spec
        if now >= self.started + spec.warm_up:
            return False
        self.pushed.append((now, work))
        self.pushed_sum += work
        while self.pushed and self.pushed[0][0] < now - spec.fall_time:
            self.pushed_sum -= self.pushed.popleft()[1]
        can = spec.cores * spec.speed * self.warmth(now) * spec.fall_time
        if self.pushed_sum > spec.fall_multiple * can:
            self.fallen = True
        return self.fallen

    def due(self, now: float) -> float | None:
        """When to look again: the next end as things stand, or the next step of its warming up."""
        pace = self.pace(now)
        if not pace:
            return None
        end = self.at + max(0.0, self.running[0][0] - self.attained) / pace
        return min(end, self.at + STEP) if now < self.started + self.spec.warm_up else end

    def advance(self, now: float) -> list[object]:
        """The tokens of what has ended until now, followers included, the earliest first."""
        ended: list[object] = []
        while self.running:
            goal, _, item = self.running[0]
            if self.attained >= goal - EPS:
                heapq.heappop(self.running)
                ended += [item.token, *item.followers]
                item.followers.clear()
                if self.waiting:
                    self.run(self.waiting.popleft())
                continue
            pace = self.pace(self.at)
            if self.at >= now or not pace:
                break
            until = min(now, self.at + (goal - self.attained) / pace)
            if self.at < self.started + self.spec.warm_up:
                until = min(until, self.at + STEP)
            step = until - self.at
            self.busy += step * min(1.0, len(self.running) / self.spec.cores)
            self.attained += pace * step
            self.at = until
        self.at = max(self.at, now)
        return ended

    def kill(self) -> list[object]:
        """It dies; the tokens of what it held."""
        held = [item for _, _, item in self.running] + list(self.waiting)
        self.running.clear()
        self.waiting.clear()
        tokens: list[object] = []
        for item in held:
            item.gone = True
            tokens += [item.token, *item.followers]
        self.connections = 0
        return tokens

    def report(self, now: float) -> tuple[float, int]:
        """How busy its cores are, and the requests it holds, as last refreshed."""
        self.advance(now)
        if now - self.told[0] >= self.spec.refresh:
            span = max(1e-3, now - self.busy_since)
            self.told = (now, min(1.0, self.busy / span), len(self.running) + len(self.waiting))
            self.busy, self.busy_since = 0.0, now
        return self.told[1], self.told[2]
