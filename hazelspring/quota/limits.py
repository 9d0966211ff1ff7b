"""How much of a tenant's quota one window may grant, so that no span of the rule's length sees too much."""

from __future__ import annotations

from dataclasses import dataclass

WINDOWS_PER_SPAN = 5  # in a span of the rule: shorter ones refuse bursts, longer ones let an edge double them
GRANTED_PART = (
    0.92  # part of the bound that is given out: the rest covers what arrives later than it was admitted
)
RESERVED_PART = (
    0.16  # part of the bound that doors share evenly, for when no counter answers; whole requests each
)


@dataclass(slots=True, frozen=True)
class QuotaLimits:
    """The rule's figures, from the settings; seconds and requests."""

    span: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def window(self) -> float:
        return self.span / WINDOWS_PER_SPAN

    def span_limit(self, rate: float, burst: float) -> float:
        return (rate * self.span + burst) * (1 + self.overage) + self.slack

    def reserve(self, rate: float, burst: float, nodes: int) -> int:
        """Requests that each of so many doors may let in by itself in any span; none where doors are not counted."""
        return int(RESERVED_PART * self.span_limit(rate, burst) / nodes) if nodes > 0 else 0

    def window_limit(self, rate: float, burst: float, nodes: int) -> float:
        """Requests that a window may grant.  A span touches one window more than fit into it."""
        shared = nodes * self.reserve(rate, burst, nodes)
        return float(int((GRANTED_PART * self.span_limit(rate, burst) - shared) / (WINDOWS_PER_SPAN + 1)))
