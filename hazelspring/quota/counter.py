"""The quota counters of the tenants that this node owns for now: what a window grants to all nodes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

Caller = tuple[str, int]  # a node's address and incarnation

RETAINED_WINDOWS = 30.0  # windows without a call after which a tenant's count is dropped


class Grant(NamedTuple):
    """The answer to one call."""

    units: float
    """Credits granted, in requests."""

    lifetime: float
    """Seconds for which they may be spent."""

    granted_part: float
    """The part of the window's limit that is granted, to all callers."""


@dataclass(slots=True)
class WindowCount:
    """What one window has granted of one tenant's quota, in requests."""

    window: int
    """The window's number since the clock's zero."""

    total: float = 0.0
    granted_by_caller: dict[Caller, float] = field(default_factory=dict)
    """What each caller was granted and has not given back."""

    last_call_numbers: dict[Caller, int] = field(default_factory=dict)
    """The highest number of a call of each caller."""

    def grant(self, caller: Caller, wanted: float, limit: float) -> float:
        """Grant to a caller what the limit leaves of ``wanted``; return it."""
        granted = max(0.0, min(wanted, limit - self.total))
        self.granted_by_caller[caller] = self.granted_by_caller.get(caller, 0.0) + granted
        self.total += granted
        return granted

    def give_back(self, caller: Caller, units: float) -> None:
        """Take back from a caller at most what this window has granted to it."""
        granted = self.granted_by_caller.get(caller, 0.0)
        returned = min(units, granted)
        self.granted_by_caller[caller] = granted - returned
        self.total -= returned


class QuotaCounter:
    """Grants credits from the current window.

    They expire at the window's end, or with this node's lease on the counter if that is sooner: a later owner
    starts from 0.

    Parameters
    ----------
    length : float
        The window's length in seconds.
    """

    def __init__(self, length: float) -> None:
        self.length = length
        self.counts: dict[str, WindowCount] = {}  # by tenant

    def grant(
        self,
        now: float,
        until: float,
        tenant: str,
        units: float,
        limit: float,
        caller: Caller,
        number: int,
    ) -> Grant:
        """Grant credits, or take them back where ``units`` is negative.

        ``until`` is when this node's lease on the counter ends, ``limit`` is what the window may grant, and
        ``number`` grows with each call of a caller.  What is given back counts once, and no more of it than this
        window has granted to the caller: a call may arrive twice, late, or in another window.
        """
        window = math.floor(now / self.length)
        count = self.counts.get(tenant)
        if count is None or count.window != window:
            count = self.counts[tenant] = WindowCount(window)
        lifetime = min((window + 1) * self.length, until) - now
        last_number = count.last_call_numbers.get(caller, 0)
        count.last_call_numbers[caller] = max(last_number, number)
        granted = 0.0
        if units < 0:
            if number > last_number:
                count.give_back(caller, -units)
        else:
            granted = count.grant(caller, units, limit) if lifetime > 0 else 0.0
            lifetime = max(0.0, lifetime)
        return Grant(granted, lifetime, count.total / max(1.0, limit))

    def expire(self, now: float) -> None:
        """Drop the counts of tenants that had no call for a while."""
        oldest = math.floor(now / self.length) - RETAINED_WINDOWS
        for tenant in [tenant for tenant, count in self.counts.items() if count.window < oldest]:
            del self.counts[tenant]
