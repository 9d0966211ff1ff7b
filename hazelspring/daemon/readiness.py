"""For how long a node may serve after it last confirmed that its configuration is the newest.

A revocation must be in force on all nodes once the revocation time has passed, so a node that cannot confirm
its configuration must stop using it before then.  It directs clients to other nodes earlier, while it still
serves.
"""

from __future__ import annotations

import math

NEVER = -math.inf  # the time of an event that has not happened
STALE_FRACTION = 0.9  # fraction of the revocation time after which requests with an access key are refused
UNREADY_FRACTION = 0.5  # fraction of the revocation time after which clients are sent to other nodes


def fresh_until(confirmed_at: float, revocation_time: float) -> float:
    """Return the time until which requests with an access key are served; all in seconds."""
    return confirmed_at + STALE_FRACTION * revocation_time


def ready_until(confirmed_at: float, revocation_time: float) -> float:
    """Return the time until which clients may be sent to this node; all in seconds."""
    return confirmed_at + UNREADY_FRACTION * revocation_time
