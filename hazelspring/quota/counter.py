"""The quota counters that this node currently owns; they grant credits to all nodes, window by window."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

Caller = tuple[str, int]  # a node's address and incarnation

RETAINED_WINDOWS = 30.0  # number of windows without a call after which a tenant's count is dropped


class Grant(NamedTuple):
    """The reply to one call."""

    units: float
    """Credits granted; one credit admits one request."""

    lifetime: float
    """Seconds for which the credits may be spent."""

    granted_fraction: float
    """Fraction of the window's limit that has been granted to all callers."""


@dataclass(slots=True)
class WindowCount:
    """The credits that one window has granted of one tenant's quota."""

    window: int
    """Number of the window, counted from time 0 of the clock."""

    total: float = 0.0
    granted_by_caller: dict[Caller, float] = field(default_factory=dict)
    """Credits that were granted to each caller and not given back."""

    last_call_numbers: dict[Caller, int] = field(default_factory=dict)
    """Highest number of a call from each caller."""

    def grant(self, caller: Caller, wanted: float, limit: float) -> float:
        """Grant ``wanted`` credits, or as many as the limit leaves; return the number granted."""
        granted = max(0.0, min(wanted, limit - self.total))
        self.granted_by_caller[caller] = self.granted_by_caller.get(caller, 0.0) + granted
        self.total += granted
        return granted

    def give_back(self, caller: Caller, units: float) -> None:
        """Take back credits from a caller, at most as many as this window has granted to it."""
        granted = self.granted_by_caller.get(caller, 0.0)
        returned = min(units, granted)
        self.granted_by_caller[caller] = granted - returned
        self.total -= returned


class QuotaCounter:
    """Grants credits of tenants' quotas from the current window.

    Credits expire at the window's end, or when this node's lease on the counter ends if that is sooner,
    because the next owner counts from 0.

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
        lease_end: float,
        tenant: str,
        units: float,
        limit: float,
        caller: Caller,
        number: int,
    ) -> Grant:
        """Grant credits, or take them back if ``units`` is negative.

        ``lease_end`` is the time at which this node's lease on the counter ends, ``limit`` is the number of
        credits that the window may grant, and ``number`` increases with each call of a caller. A call may
        arrive twice, late, or in another window. Credits given back therefore count once, and at most as
        many as this window has granted to the caller.
        """
        window = math.floor(now / self.length)
        count = self.counts.get(tenant)
        if count is None or count.window != window:
            count = self.counts[tenant] = WindowCount(window)
        lifetime = min((window + 1) * self.length, lease_end) - now
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
        """Drop the counts of tenants that had no call for ``RETAINED_WINDOWS`` windows."""
        oldest = math.floor(now / self.length) - RETAINED_WINDOWS
        for tenant in [tenant for tenant, count in self.counts.items() if count.window < oldest]:
            del self.counts[tenant]
