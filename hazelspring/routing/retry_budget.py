"""Further tries that one door may make, a service: all doors together stay inside the rule without asking."""

from __future__ import annotations

from collections import deque

PART = 0.5  # of the rule's ratio and of the even share of its slack


class Allowance:
    """A sliding window of requests and further tries."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack, self.window = PART * ratio, PART * slack, window
        self.asked: deque[float] = deque()
        self.again: deque[float] = deque()

    def request(self, now: float) -> None:
        self.asked.append(now)
        self.trim(now)

    def trim(self, now: float) -> None:
        for times in (self.asked, self.again):
            while times and times[0] < now - self.window:
                times.popleft()

    def take(self, now: float, doors: int) -> bool:
        """Whether one more try may go out; of the slack nothing, where the doors that share it are not counted."""
        self.trim(now)
        slack = self.slack / doors if doors > 0 else 0.0
        if len(self.again) + 1 > self.ratio * len(self.asked) + slack:
            return False
        self.again.append(now)
        return True
