"""The record of the latest request for an item, from which the time and the recipient of a retry follow."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Seconds after which a request without an answer is sent again, to another node.
REQUEST_INTERVAL = 0.3


@dataclass(slots=True, frozen=True)
class SentRequest:
    """When an item was last requested, and how many requests were sent for it."""

    sent_at: float = -math.inf  # seconds of the steady clock
    count: int = 0

    def is_due(self, now: float) -> bool:
        """Return whether the request may be sent again; `now` is in seconds of the steady clock."""
        return now - self.sent_at >= REQUEST_INTERVAL


NOT_SENT = SentRequest()
