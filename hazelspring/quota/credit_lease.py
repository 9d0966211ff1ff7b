"""The credits of one tenant's quota that one node has leased."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hazelspring.admission.policy.sizing import step

# Cost of a call to a counter, in requests: one request of each batch waits for a round trip.
CALL_COST = 0.25
NO_CALL = 0  # stands for a call's number if no call is in flight


@dataclass(slots=True)
class CreditLease:
    """Credits that a tenant's counter has granted; times in seconds of the monotonic clock."""

    tenant: str
    limit: float
    """Requests that one window may grant to all nodes."""

    log_batch_size: float
    """Natural logarithm of the number of credits that a call requests; adjusted after each window."""

    squared_gradient_sum: float = 0.0
    """Sum of the squared gradients of these adjustments (AdaGrad)."""

    credits: float = 0.0
    """Credits that are left."""

    expires_at: float = 0.0
    """The end of the window, when the credits expire."""

    served: float = 0.0
    """Requests admitted with a credit in this window."""

    granted_fraction: float = 0.0
    """Fraction of the window's limit that is granted to all nodes, by the counter's last reply."""

    denied_until: float = 0.0
    """The end of the window in which the counter granted fewer credits than requested."""

    call_in_flight: int = NO_CALL
    """Number of the call that waits for its reply, or ``NO_CALL``."""

    requested: float = 0.0
    """Credits that the call in flight requests."""

    requested_at: float = 0.0
    attempts: int = 0
    """Number of times that the call in flight was sent."""

    last_used_at: float = 0.0
    """When a credit was last requested for a request."""

    waiters: deque[int] = field(default_factory=deque)
    """Numbers of the requests that wait for a credit, oldest first."""

    reserve: int = 0
    """Number of requests that may be admitted without a credit within any ``QuotaLimits.span`` seconds."""

    reserve_used_at: deque[float] = field(default_factory=deque)
    """Times at which a request was admitted without a credit, within the last span."""

    def begin_window(self, end: float) -> None:
        """Adjust the batch size to the demand in the last window, and begin a window without credits."""
        self.log_batch_size, self.squared_gradient_sum = step(
            self.log_batch_size,
            self.squared_gradient_sum,
            self.served,
            self.granted_fraction,
            CALL_COST,
            max(1.0, self.limit),
        )
        self.credits = 0.0
        self.served = 0.0
        self.granted_fraction = 0.0
        self.expires_at = end

    def begin_call(self, now: float, number: int) -> None:
        """Begin a call that requests one batch of credits, or one credit for each waiter if that is more."""
        batch_size = float(round(math.exp(self.log_batch_size)))
        self.requested = max(float(len(self.waiters)), batch_size)
        self.call_in_flight = number
        self.requested_at = now
        self.attempts = 1

    def repeat_call(self, now: float, number: int) -> None:
        """Repeat the call that got no reply, under a new number."""
        self.call_in_flight = number
        self.requested_at = now
        self.attempts += 1

    def spend(self) -> None:
        """Spend one credit to admit a request."""
        self.credits -= 1
        self.served += 1

    def try_use_reserve(self, now: float, span: float) -> bool:
        """Admit a request without a credit; return false if the reserve for ``span`` seconds is used up."""
        while self.reserve_used_at and self.reserve_used_at[0] <= now - span:
            self.reserve_used_at.popleft()
        if len(self.reserve_used_at) >= self.reserve:
            return False
        self.reserve_used_at.append(now)
        return True
