"""The last request for something, so that it is repeated in time and sent to each node in turn."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Seconds until a request without an answer is repeated, to another node.
REQUEST_INTERVAL = 0.3


@dataclass(slots=True, frozen=True)
class SentRequest:
    """When something was requested last, and how many requests were sent for it."""

    sent_at: float = -math.inf  # seconds of the steady clock
    count: int = 0

    def is_due(self, now: float) -> bool:
        """Return whether the next request is due."""
        return now - self.sent_at >= REQUEST_INTERVAL


NOT_SENT = SentRequest()
