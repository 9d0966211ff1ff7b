"""How old a node's knowledge of the platform's list is at most, as told with heartbeats from the reader on."""

from __future__ import annotations

import math

AGE_UNIT = 0.1  # seconds: an age is told as a small number of these
MAX_AGE_UNITS = 250  # units; an older knowledge is not told


class ListFreshness:
    """`read_at`: all that the list showed until then is known here; before the first word of it, the node's start."""

    def __init__(self, now: float) -> None:
        self.read_at = now
        self.known = False

    def confirm(self, read_at: float) -> None:
        """All that the list showed until `read_at`, in this node's seconds, is known here."""
        if read_at > self.read_at:
            self.read_at, self.known = read_at, True

    def age(self, now: float) -> float:
        """Seconds for which the list may have changed unknown to this node."""
        return now - self.read_at

    def encode_age(self, now: float) -> int | None:
        """The age as it is told to others, rounded up; None where there is nothing to tell."""
        units = math.ceil(self.age(now) / AGE_UNIT)
        return units if self.known and units <= MAX_AGE_UNITS else None
