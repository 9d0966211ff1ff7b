"""Calculates how many requests of a tenant one window may grant, so that no time span exceeds its limit."""

from __future__ import annotations

from dataclasses import dataclass

# Shorter windows reject bursts. Longer windows leave less of the limit to each second: a span that isn't
# aligned with the windows overlaps one more than this number, and the grants of them all share its limit.
WINDOWS_PER_SPAN = 5
# Fraction of the limit that is granted; the rest covers requests that arrive later than they were admitted.
GRANTED_FRACTION = 0.92
# Fraction of the limit that the nodes share evenly for times when no counter replies. Each node's share is
# rounded down to a whole number of requests.
RESERVED_FRACTION = 0.16


@dataclass(slots=True, frozen=True)
class QuotaLimits:
    """Limits on each tenant's requests at all nodes, from ``timingTerms.ruleBounds`` of the settings."""

    span: float = 5.0
    """Seconds over which requests are counted (``quotaWindowS``); a span is any period of this length."""

    overage: float = 0.1
    """Fraction by which a tenant may exceed its rate and burst in any span (``quotaOverage``)."""

    slack: float = 20.0
    """Additional requests that are allowed in any span (``quotaSlack``)."""

    @property
    def window(self) -> float:
        """Length of a counter's window in seconds."""
        return self.span / WINDOWS_PER_SPAN

    def span_limit(self, rate: float, burst: float) -> float:
        """Return how many requests of a tenant any span may contain; ``rate`` is in requests per second."""
        return (rate * self.span + burst) * (1 + self.overage) + self.slack

    def reserve(self, rate: float, burst: float, nodes: int) -> int:
        """Return how many requests each node may admit without a counter in any span.

        It is 0 if the number of nodes is not known, that is, if ``nodes`` is 0.
        """
        return int(RESERVED_FRACTION * self.span_limit(rate, burst) / nodes) if nodes > 0 else 0

    def window_limit(self, rate: float, burst: float, nodes: int) -> float:
        """Return how many requests one window may grant.

        A span that isn't aligned with the windows overlaps ``WINDOWS_PER_SPAN + 1`` of them, and the grants
        of them all must stay within its limit.
        """
        shared = nodes * self.reserve(rate, burst, nodes)
        granted = GRANTED_FRACTION * self.span_limit(rate, burst) - shared
        return float(int(granted / (WINDOWS_PER_SPAN + 1)))
