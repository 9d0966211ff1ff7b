"""For how long a node may serve after it last confirmed that its configuration is the newest.

A change counts as revoked everywhere after the time for revocations, so a node must have stopped to use what it knows
before then.  It asks clients to go elsewhere earlier, while it still serves.
"""

from __future__ import annotations

import math

NEVER = -math.inf  # the time of what has not happened
STALE_PART = 0.9  # part of the time for revocations after which keyed requests are refused
UNREADY_PART = 0.5  # part of it after which clients are sent elsewhere


def fresh_until(confirmed_at: float, revocation_time: float) -> float:
    """Return the time until which keyed requests are served; all in seconds."""
    return confirmed_at + STALE_PART * revocation_time


def ready_until(confirmed_at: float, revocation_time: float) -> float:
    """Return the time until which clients may be sent here; all in seconds."""
    return confirmed_at + UNREADY_PART * revocation_time
