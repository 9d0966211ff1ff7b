"""The counters of the tenants that this door owns for now: batches added to a window, and what exceeds it denied."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

Caller = tuple[str, int]  # a door's address and life

KEPT_WINDOWS = 30.0  # windows without a call after which a counter is dropped


@dataclass(slots=True)
class WindowCount:
    """One tenant's: what is out in a window, and by caller what that one was granted of it and has not given back."""

    window: int
    total: float = 0.0
    granted_by_caller: dict[Caller, float] = field(default_factory=dict)
    last_call_numbers: dict[Caller, int] = field(default_factory=dict)  # the highest number of a call of each


class QuotaCounter:
    """Batches are granted from the window at hand and die at its edge, or with the owner's lease if that is sooner."""

    def __init__(self, length: float) -> None:
        self.length = length
        self.counts: dict[str, WindowCount] = {}

    def grant(
        self,
        now: float,
        until: float,
        tenant: str,
        units: float,
        limit: float,
        caller: Caller,
        number: int,
    ) -> tuple[float, float, float]:
        """Add a batch, or give one back (negative): what is granted, for how many seconds, and the part of the
        window's limit that is out.  `number` grows with each call of a caller.  What is given back counts once, and
        no more of it than this window has granted to that caller: a call may come twice, late, or in another window."""
        window = math.floor(now / self.length)
        count = self.counts.get(tenant)
        if count is None or count.window != window:
            count = self.counts[tenant] = WindowCount(window)
        left = min((window + 1) * self.length, until) - now
        out, last = count.granted_by_caller.get(caller, 0.0), count.last_call_numbers.get(caller, 0)
        count.last_call_numbers[caller] = max(last, number)
        if units < 0:
            back = min(-units, out) if number > last else 0.0
            count.granted_by_caller[caller] = out - back
            count.total -= back
            return 0.0, left, count.total / max(1.0, limit)
        granted = max(0.0, min(units, limit - count.total)) if left > 0 else 0.0
        count.granted_by_caller[caller] = out + granted
        count.total += granted
        return granted, max(0.0, left), count.total / max(1.0, limit)

    def expire(self, now: float) -> None:
        before = math.floor(now / self.length) - KEPT_WINDOWS
        for tenant in [t for t, count in self.counts.items() if count.window < before]:
            del self.counts[tenant]
