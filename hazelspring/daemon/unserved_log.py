"""Logs requests that were not served, at most one line per `UNSERVED_LOG_INTERVAL`."""

from __future__ import annotations

from collections import Counter

from hazelspring.daemon.structured_log import log

UNSERVED_LOG_INTERVAL = 2.0  # seconds between two lines


class UnservedLog:
    """Logs the growth of the router's counts of requests that were not served, by reason."""

    def __init__(self) -> None:
        self.logged: Counter[str] = Counter()  # the counts as of the last line
        self.logged_at = 0.0  # when the counts were last compared, in seconds

    def write(self, now: float, counts: Counter[str]) -> None:
        """Log the increase of the counts since the last line, unless that is too recent."""
        if now - self.logged_at < UNSERVED_LOG_INTERVAL:
            return
        new = counts - self.logged
        if new:
            log.write("routing", "requests not served", **new)
        self.logged = counts.copy()
        self.logged_at = now
