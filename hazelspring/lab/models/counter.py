"""The quota counter: numbers by name on a few parts, each of which serves its calls in turn."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

LONGEST_LIFE = 60.0


@dataclass(frozen=True, slots=True)
class CounterSpec:
    parts: int = 2
    per_s: float = 1000.0  # calls a second, by all parts together
    call: float = 0.001  # seconds for a call beside its turn
    line: float = 0.1  # seconds of waiting from which on calls are turned away


@dataclass(frozen=True, slots=True)
class Reply:
    at: float  # when the answer leaves
    total: float | None  # None: turned away


class Counter:
    """A call's effect holds at once, and its answer comes once the call has had its turn."""

    def __init__(self, spec: CounterSpec) -> None:
        self.spec = spec
        self.free = [0.0] * spec.parts
        self.numbers: dict[bytes, tuple[float, float]] = {}  # total, and until when it is kept
        self.slow = 1.0
        self.sweep_at = 0.0

    def call(self, now: float, name: bytes, amount: float, life: float) -> Reply:
        if now >= self.sweep_at:
            self.sweep_at = now + 5.0
            self.numbers = {k: v for k, v in self.numbers.items() if v[1] > now}
        part = zlib.crc32(name) % self.spec.parts
        start = max(now, self.free[part])
        if start - now > self.spec.line:
            return Reply(now + self.spec.call, None)
        turn = start + self.slow * self.spec.parts / self.spec.per_s
        self.free[part] = turn
        total, until = self.numbers.get(name, (0.0, 0.0))
        if until <= turn:
            total, until = 0.0, turn + min(life, LONGEST_LIFE)
        total += amount
        self.numbers[name] = (total, until)
        return Reply(turn + self.spec.call, total)

    def lose(self) -> None:
        """It is back elsewhere, empty."""
        self.numbers.clear()
