"""Further tries that one door may make, a service: all doors together stay inside the rule without asking."""

from __future__ import annotations

from collections import deque

LOCAL_PART = 0.5  # of the rule's ratio and of the even share of its slack


class RetryBudget:
    """A sliding window of requests and further tries."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack, self.window = LOCAL_PART * ratio, LOCAL_PART * slack, window
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        self.request_times.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] < now - self.window:
                times.popleft()

    def try_spend(self, now: float, nodes: int) -> bool:
        """Whether one more try may go out; of the slack nothing, where the doors that share it are not counted."""
        self.expire(now)
        slack = self.slack / nodes if nodes > 0 else 0.0
        if len(self.retry_times) + 1 > self.ratio * len(self.request_times) + slack:
            return False
        self.retry_times.append(now)
        return True
