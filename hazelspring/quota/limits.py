"""How many requests of a tenant one window may grant, so that no span of the limit's length sees too many."""

from __future__ import annotations

from dataclasses import dataclass

WINDOWS_PER_SPAN = (
    5  # shorter windows reject bursts; longer ones let a span that touches an edge see them twice
)
GRANTED_PART = (
    0.92  # part of the limit that is granted: the rest covers what arrives later than it was admitted
)
# Part of the limit that the nodes share evenly, for when no counter answers; whole requests each.
RESERVED_PART = 0.16


@dataclass(slots=True, frozen=True)
class QuotaLimits:
    """Limits of every tenant's requests over all nodes, from ``timingTerms.ruleBounds`` of the settings."""

    span: float = 5.0
    """Seconds over which requests are counted (``quotaWindowS``)."""

    overage: float = 0.1
    """Part by which a tenant may exceed its rate and burst in any span (``quotaOverage``)."""

    slack: float = 20.0
    """Requests beyond that in any span (``quotaSlack``)."""

    @property
    def window(self) -> float:
        """The length of a counter's window in seconds."""
        return self.span / WINDOWS_PER_SPAN

    def span_limit(self, rate: float, burst: float) -> float:
        """Return the requests that any span may see, of a tenant with a rate a second and a burst."""
        return (rate * self.span + burst) * (1 + self.overage) + self.slack

    def reserve(self, rate: float, burst: float, nodes: int) -> int:
        """Return the requests that each of ``nodes`` may admit by itself in any span; 0 where they are not counted."""
        return int(RESERVED_PART * self.span_limit(rate, burst) / nodes) if nodes > 0 else 0

    def window_limit(self, rate: float, burst: float, nodes: int) -> float:
        """Return the requests that one window may grant: a span touches one window more than fit into it."""
        shared = nodes * self.reserve(rate, burst, nodes)
        granted = GRANTED_PART * self.span_limit(rate, burst) - shared
        return float(int(granted / (WINDOWS_PER_SPAN + 1)))
