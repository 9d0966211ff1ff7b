"""The retries that one node may make of a service: all nodes together stay within the limit without coordination."""

from __future__ import annotations

from collections import deque

LOCAL_PART = 0.5  # of the shared ratio, and of this node's even share of the shared slack


class RetryBudget:
    """Counts the requests and retries of a sliding window.

    Parameters
    ----------
    ratio : float
        Retries a request that all nodes together may make.
    slack : float
        Retries in any window that all nodes together may make beyond that.
    window : float
        The window's length in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = LOCAL_PART * ratio
        self.slack = LOCAL_PART * slack
        self.window = window
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request, which allows more retries."""
        self.request_times.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop what was counted before the window."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] < now - self.window:
                times.popleft()

    def try_spend(self, now: float, nodes: int) -> bool:
        """Take one retry from the budget; return whether there was one.

        ``nodes`` share the slack.  Where their count is not known (0) none of the slack is used.
        """
        self.expire(now)
        slack = self.slack / nodes if nodes > 0 else 0.0
        if len(self.retry_times) + 1 > self.ratio * len(self.request_times) + slack:
            return False
        self.retry_times.append(now)
        return True
