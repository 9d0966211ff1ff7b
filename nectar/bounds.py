"""How much of a tenant's quota one window may grant, so that no span of the rule's length sees too much."""

from __future__ import annotations

from dataclasses import dataclass

WINDOWS = 5  # in a span of the rule: shorter ones refuse bursts, longer ones let an edge double them
LATE = 0.9  # part of the bound that is granted: the rest covers what arrives later than it was admitted


@dataclass(slots=True, frozen=True)
class QuotaRule:
    """The rule's figures, from the settings; seconds and requests."""

    span: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def window(self) -> float:
        return self.span / WINDOWS

    def limit(self, rate: float, burst: float) -> float:
        """Requests that a window may grant.  A span touches one window more than fit into it."""
        bound = (rate * self.span + burst) * (1 + self.overage) + self.slack
        return float(int(LATE * bound / (WINDOWS + 1)))
