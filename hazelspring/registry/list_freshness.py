"""How old a node's knowledge of the platform's list is at most.

The reader of the list knows when it read it; the age spreads from there with the answers to heartbeats.
"""

from __future__ import annotations

import math

AGE_UNIT = 0.1  # seconds: an age is sent as a small number of these
MAX_AGE_UNITS = 250  # units; a larger age is not sent


class ListFreshness:
    """Until when this node knows the list.

    All that the list showed until ``read_at``, in this node's steady seconds, is known here.  Before anything is known
    of the list (``known`` is false), it is the node's start.
    """

    def __init__(self, now: float) -> None:
        self.read_at = now
        self.known = False

    def confirm(self, read_at: float) -> None:
        """Note that all that the list showed until `read_at` is known here; an earlier time changes nothing."""
        if read_at > self.read_at:
            self.read_at, self.known = read_at, True

    def age(self, now: float) -> float:
        """Return the seconds for which the list may have changed unknown to this node."""
        return now - self.read_at

    def encode_age(self, now: float) -> int | None:
        """Return the age in AGE_UNIT, rounded up, as it is sent; None where it is unknown or too large."""
        units = math.ceil(self.age(now) / AGE_UNIT)
        return units if self.known and units <= MAX_AGE_UNITS else None
