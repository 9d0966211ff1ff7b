"""When something was asked for of other nodes, so that it is asked for again in time and of each in turn."""

from __future__ import annotations

import math
from dataclasses import dataclass

REQUEST_INTERVAL = 0.3  # seconds until what was asked for is asked for again, of another node


@dataclass(slots=True, frozen=True)
class SentRequest:
    """When something was asked for last, and how often until then without an answer."""

    sent_at: float = -math.inf  # seconds of the steady clock
    count: int = 0

    def is_due(self, now: float) -> bool:
        """Return whether the last request has had its time."""
        return now - self.sent_at >= REQUEST_INTERVAL


NOT_SENT = SentRequest()
