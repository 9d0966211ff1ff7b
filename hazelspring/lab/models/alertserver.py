"""One alert server: which requests it accepts, how it processes them, and when it fails by overload."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

EPS = 1e-9  # seconds of work by which two amounts may differ because of rounding
STEP = 0.1  # seconds for which the capacity of a server that is warming up is taken as constant


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """The properties of one machine; times in seconds, work in seconds of one core of speed 1."""

    name: str
    kind: int
    zone: int
    rack: int
    cores: int = 2
    speed: float = 1.0
    slots: int = 8
    queue: int = 50
    thrash_at: float = 5.0  # running requests per core, above which they slow each other down
    thrash: float = 0.1  # relative slowdown for each running request per core above `thrash_at`
    cold_share: float = 0.3  # share of its capacity just after its start
    warm_up: float = 10.0  # seconds after its start until it has its full capacity
    fall_multiple: float = 3.0  # a cold server fails when it is sent more than this many times its capacity
    fall_time: float = 2.0  # seconds over which the work sent to a cold server is summed
    connections: int = 1000  # largest number of open connections
    handshake: float = 0.0012  # work of a new connection
    probe: float = 0.0003  # work of a probe
    idle: float = 15.0  # seconds after which it closes an idle connection
    memory: float = 7.5  # seconds for which its rack keeps an idempotency key
    refresh: float = 0.5  # seconds between updates of its load report
    noise: float = 0.05  # relative standard deviation of the reported utilization


class Verdict(Enum):
    """What a server does with a request that it has received completely."""

    BEGUN = "begun"
    FULL = "full"
    DRAINING = "draining"
    DROPPED = "dropped"  # its rack already has a request with this key: answered when that request ends
    OVERLOADED = "fallen"  # it has failed by overload


@dataclass(slots=True)
class Work:
    """A request at its server; `token` identifies it to the caller and may be any object."""

    token: object
    needed: float  # work, in seconds of one core
    key: str
    goal: float = 0.0  # the value of the server's `attained` at which it is done
    followers: list[object] = field(default_factory=list)  # tokens of repeated requests with the same key
    lost: bool = False  # whether its server died before it was done


class Rack:
    """The idempotency keys that the servers of one rack share."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[float, Work]] = {}  # by key: when it expires, and its work
        self.order: deque[tuple[float, str]] = deque()  # expiry times and keys, the earliest first

    def find_or_add(self, now: float, key: str, work: Work, span: float) -> Work | None:
        """Return the work stored under this key; if there is none, store `work` for `span` seconds."""
        while self.order and self.order[0][0] <= now:
            at, old = self.order.popleft()
            if (found := self.keys.get(old)) is not None and found[0] <= at:
                del self.keys[old]
        if (known := self.keys.get(key)) is not None and not known[1].lost:
            return known[1]
        self.keys[key] = (now + span, work)
        self.order.append((now + span, key))
        return None


class AlertServer:
    """A server whose running requests share its cores evenly, while the others wait in a queue."""

    def __init__(self, spec: ServerSpec, rack: Rack, now: float, started: float = -math.inf) -> None:
        self.spec, self.rack, self.started = spec, rack, started
        self.at = now
        self.attained = 0.0  # work received by each running request, cumulative since the start
        self.running: list[tuple[float, int, Work]] = []
        self.waiting: deque[Work] = deque()
        self.number = 0
        self.draining = self.overloaded = False
        self.slow = 1.0  # share of its full speed at which it runs, below 1 if it shares the machine
        self.stalled = False
        self.connections = 0
        self.cold_work: deque[tuple[float, float]] = deque()  # times and work that it was sent while cold
        self.cold_work_sum = 0.0
        self.busy, self.busy_since = 0.0, self.at
        self.last_report: tuple[float, float, int] = (-math.inf, 0.0, 0)  # time, utilization, requests

    def warmth(self, now: float) -> float:
        """Return the share of its full capacity that the server has now; it grows during warm-up."""
        age = max(0.0, now - self.started)
        part = min(1.0, age / self.spec.warm_up) if self.spec.warm_up > 0 else 1.0
        return self.spec.cold_share + (1 - self.spec.cold_share) * part

    def pace(self, now: float) -> float:
        """Return the work per second that each running request receives."""
        count = len(self.running)
        if not count or self.stalled or self.overloaded:
            return 0.0
        spec = self.spec
        excess = max(0.0, count / spec.cores - spec.thrash_at)
        each = spec.speed * self.slow * self.warmth(now) * min(1.0, spec.cores / count)
        return each / (1 + spec.thrash * excess)

    def connect(self, now: float) -> bool:
        """Accept a connection if there is room for it, and return whether it was accepted."""
        if self.overloaded or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        return True

    def begin(self, now: float, token: object, work: float, key: str = "", fresh: bool = False) -> Verdict:
        """Handle a complete request; `fresh` says that it is the first on its connection."""
        self.advance(now)
        if self.overloaded:
            return Verdict.OVERLOADED
        if self.draining:
            return Verdict.DRAINING
        item = Work(token, work + (self.spec.handshake if fresh else 0.0), key)
        if len(self.running) >= self.spec.slots and len(self.waiting) >= self.spec.queue:
            return Verdict.FULL
        if self.check_overload(now, item.needed):
            return Verdict.OVERLOADED
        if key and (known := self.rack.find_or_add(now, key, item, self.spec.memory)) is not None:
            known.followers.append(token)
            return Verdict.DROPPED
        if len(self.running) < self.spec.slots:
            self.run(item)
        else:
            self.waiting.append(item)
        return Verdict.BEGUN

    def run(self, item: Work) -> None:
        """Start the work on a request."""
        self.number += 1
        item.goal = self.attained + item.needed
        heapq.heappush(self.running, (item.goal, self.number, item))

    def check_overload(self, now: float, work: float) -> bool:
        """Count the work against the capacity of a cold server; return whether the server has failed.

        A cold server fails, and does not recover, once it is sent more than `fall_multiple` times its
        capacity within `fall_time`.
        """
        spec = self.spec
        if now >= self.started + spec.warm_up:
            return False
        self.cold_work.append((now, work))
        self.cold_work_sum += work
        while self.cold_work and self.cold_work[0][0] < now - spec.fall_time:
            self.cold_work_sum -= self.cold_work.popleft()[1]
        capacity = spec.cores * spec.speed * self.warmth(now) * spec.fall_time
        if self.cold_work_sum > spec.fall_multiple * capacity:
            self.overloaded = True
        return self.overloaded

    def due(self, now: float) -> float | None:
        """Return when to call `advance` next: at the next end of a request, or earlier during warm-up.

        Returns None if no request is being processed.
        """
        pace = self.pace(now)
        if not pace:
            return None
        end = self.at + max(0.0, self.running[0][0] - self.attained) / pace
        return min(end, self.at + STEP) if now < self.started + self.spec.warm_up else end

    def advance(self, now: float) -> list[object]:
        """Process requests until now; return the tokens of those that ended, repeats included, in order."""
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
        """Drop all requests and connections, like a process that ends; return the tokens of the requests."""
        lost = [item for _, _, item in self.running] + list(self.waiting)
        self.running.clear()
        self.waiting.clear()
        tokens: list[object] = []
        for item in lost:
            item.lost = True
            tokens += [item.token, *item.followers]
        self.connections = 0
        return tokens

    def report(self, now: float) -> tuple[float, int]:
        """Return the utilization of the cores and the number of requests, as of the last refresh."""
        self.advance(now)
        if now - self.last_report[0] >= self.spec.refresh:
            span = max(1e-3, now - self.busy_since)
            self.last_report = (now, min(1.0, self.busy / span), len(self.running) + len(self.waiting))
            self.busy, self.busy_since = 0.0, now
        return self.last_report[1], self.last_report[2]
