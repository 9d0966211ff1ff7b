"""The credits that one node holds of one tenant's quota."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hazelspring.admission.policy.sizing import step

# Cost of a call to a counter, in requests: one request of a batch waits for a round trip.
CALL_COST = 0.25
NO_CALL = 0  # in place of a call's number


@dataclass(slots=True)
class CreditLease:
    """Credits, each for one request, that the tenant's counter granted; times in seconds of the monotonic clock."""

    tenant: str
    limit: float
    """Requests that one window may grant to all nodes."""

    log_batch_size: float
    """Natural logarithm of the credits that a call asks for; learned from what is served."""

    slope: float = 0.0
    """Sum of the squared gradients of that learning."""

    credits: float = 0.0
    """Credits that are left, in requests."""

    expires_at: float = 0.0
    """The end of the window, when they expire."""

    served: float = 0.0
    """Requests admitted with a credit in this window."""

    granted_part: float = 0.0
    """Part of the window's limit that is granted to all nodes, by the counter's last answer."""

    denied_until: float = 0.0
    """The end of the window in which the counter granted less than was asked for."""

    call_in_flight: int = NO_CALL
    """Number of the call that waits for its answer."""

    requested: float = 0.0
    """Credits that this call asks for."""

    requested_at: float = 0.0
    attempts: int = 0
    """Times that this call was made."""

    last_used_at: float = 0.0
    """When a request last asked for a credit."""

    waiters: deque[int] = field(default_factory=deque)
    """Numbers of the requests that wait for a credit, the oldest first."""

    reserve: int = 0
    """Requests that may be admitted without a credit in any span."""

    reserve_used_at: deque[float] = field(default_factory=deque)
    """When that was done, within the last span."""

    def begin_window(self, end: float) -> None:
        """Learn the batch size from the window that has ended, whose leftovers expire, and begin a new one."""
        self.log_batch_size, self.slope = step(
            self.log_batch_size,
            self.slope,
            self.served,
            self.granted_part,
            CALL_COST,
            max(1.0, self.limit),
        )
        self.credits = 0.0
        self.served = 0.0
        self.granted_part = 0.0
        self.expires_at = end

    def begin_call(self, now: float, number: int) -> None:
        """Ask for a batch, and for a credit for each waiter at least."""
        batch_size = float(round(math.exp(self.log_batch_size)))
        self.requested = max(float(len(self.waiters)), batch_size)
        self.call_in_flight = number
        self.requested_at = now
        self.attempts = 1

    def repeat_call(self, now: float, number: int) -> None:
        """Make the call that got no answer again, under a new number."""
        self.call_in_flight = number
        self.requested_at = now
        self.attempts += 1

    def spend(self) -> None:
        """Admit one request."""
        self.credits -= 1
        self.served += 1

    def try_use_reserve(self, now: float, span: float) -> bool:
        """Admit one request without a credit, if fewer than ``reserve`` were in the last ``span`` seconds."""
        while self.reserve_used_at and self.reserve_used_at[0] <= now - span:
            self.reserve_used_at.popleft()
        if len(self.reserve_used_at) >= self.reserve:
            return False
        self.reserve_used_at.append(now)
        return True
