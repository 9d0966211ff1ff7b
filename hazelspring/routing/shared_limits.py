"""Limits and settings of the request router."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.admission.interface import Limits
from hazelspring.quota.limits import QuotaLimits


@dataclass(slots=True)
class SharedLimits:
    """Limits that apply to all nodes together, from ``timingTerms.ruleBounds`` of the settings."""

    quota: QuotaLimits = field(default_factory=QuotaLimits)
    """Bounds by which a tenant may exceed its rate (``quotaWindowS``, ``quotaOverage``, ``quotaSlack``)."""

    retry_ratio: float = 0.2
    """Retries allowed per request (``retryBudgetRatio``)."""

    retry_slack: float = 62.0
    """Retries allowed in any window in addition to that ratio (``budgetSlack``)."""

    retry_window: float = 10.0
    """Seconds over which requests and retries are counted (``budgetWindowS``)."""


@dataclass(slots=True)
class RouterSettings:
    """The part of a decision module's settings that its host reads."""

    limits: Limits
