"""The quota counter: totals by name on a few partitions, each of which serves its calls one after another."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

MAX_LIFE = 60.0  # largest number of seconds for which a total is kept


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """The size and the speed of a counter."""

    parts: int = 2
    per_s: float = 1000.0  # calls per second, of all partitions together
    call: float = 0.001  # seconds that a call takes in addition to queueing and service
    max_queueing: float = 0.1  # seconds; a call that would wait longer in the queue is rejected


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call."""

    at: float  # when the reply is sent
    total: float | None  # None: the call was rejected


class Counter:
    """The counter.  A call takes effect at once; its reply is due when its partition has served the call."""

    def __init__(self, spec: CounterSpec) -> None:
        self.spec = spec
        self.free_at = [0.0] * spec.parts  # when each partition has served all its calls
        self.totals: dict[bytes, tuple[float, float]] = {}  # total, and until when it is kept
        self.slow = 1.0  # multiplies the service time of a call
        self.sweep_at = 0.0  # when expired totals are removed next

    def call(self, now: float, name: bytes, amount: float, life: float) -> Reply:
        """Add the amount to the total of that name; a new total is kept for `life` seconds, 60 at most."""
        if now >= self.sweep_at:
            self.sweep_at = now + 5.0
            self.totals = {k: v for k, v in self.totals.items() if v[1] > now}
        part = zlib.crc32(name) % self.spec.parts
        start = max(now, self.free_at[part])
        if start - now > self.spec.max_queueing:
            return Reply(now + self.spec.call, None)
        served = start + self.slow * self.spec.parts / self.spec.per_s
        self.free_at[part] = served
        total, until = self.totals.get(name, (0.0, 0.0))
        if until <= served:
            total, until = 0.0, served + min(life, MAX_LIFE)
        total += amount
        self.totals[name] = (total, until)
        return Reply(served + self.spec.call, total)

    def lose(self) -> None:
        """Delete all totals, as when the counter is moved to another machine without its data."""
        self.totals.clear()
