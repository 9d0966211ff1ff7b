"""One node's retries to a service; all nodes together stay within the limit without coordination."""

from __future__ import annotations

from collections import deque

# Fraction of the shared ratio, and of this node's even share of the shared slack, that this node may use.
LOCAL_FRACTION = 0.5


class RetryBudget:
    """Limits retries by counting requests and retries in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries per request that all nodes together may make.
    slack : float
        Retries in any window that all nodes together may make in addition.
    window : float
        The window's length in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = LOCAL_FRACTION * ratio
        self.slack = LOCAL_FRACTION * slack
        self.window = window
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request, which raises the number of allowed retries."""
        self.request_times.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop requests and retries that were counted before the window."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] < now - self.window:
                times.popleft()

    def try_spend(self, now: float, nodes: int) -> bool:
        """Take one retry from the budget; return whether one was available.

        ``nodes`` is the number of nodes that share the slack. If it is not known (0), no slack is used.
        """
        self.expire(now)
        slack = self.slack / nodes if nodes > 0 else 0.0
        if len(self.retry_times) + 1 > self.ratio * len(self.request_times) + slack:
            return False
        self.retry_times.append(now)
        return True
