"""The maximum age of a node's knowledge of the platform's list.

The reader of the list knows when it read it; the other nodes learn the age from the replies to heartbeats.
"""

from __future__ import annotations

import math

AGE_UNIT = 0.1  # seconds; an age is sent as a small integer in this unit
MAX_AGE_UNITS = 250  # units; a larger age is not sent


class ListFreshness:
    """The time up to which this node knows the contents of the platform's list.

    This node knows everything that the list showed until ``read_at``, in seconds on this node's steady
    clock.  While nothing is known about the list (``known`` is false), ``read_at`` is the time of the node's
    start.
    """

    def __init__(self, now: float) -> None:
        self.read_at = now
        self.known = False

    def confirm(self, read_at: float) -> None:
        """Record that all that the list showed until `read_at` is known; an earlier time is ignored."""
        if read_at > self.read_at:
            self.read_at, self.known = read_at, True

    def age(self, now: float) -> float:
        """Return the seconds for which the list may have changed without this node knowing."""
        return now - self.read_at

    def encode_age(self, now: float) -> int | None:
        """Return the age to send, in AGE_UNIT and rounded up; None if it is unknown or too large to send."""
        units = math.ceil(self.age(now) / AGE_UNIT)
        return units if self.known and units <= MAX_AGE_UNITS else None
