"""The latency of one route's requests, averaged over all servers."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.routing.endpoint import LATENCY_WEIGHT

MIN_SAMPLE_WEIGHT = LATENCY_WEIGHT / 5  # weight of the newest response; the first few have a larger weight
MIN_LATENCY = 1e-3  # seconds; a lower route latency counts as this in a latency ratio


@dataclass(slots=True)
class RouteLatency:
    """The average latency in seconds that a route's requests would have at servers with free slots."""

    latency: float
    samples: int = 0

    def ratio(self, spent: float) -> float:
        """Return ``spent`` seconds divided by the route's latency."""
        return spent / max(self.latency, MIN_LATENCY)

    def record(self, spent: float, slowdown: float) -> None:
        """Add a response that took ``spent`` seconds, slowed by the server's load by factor ``slowdown``."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.latency += weight * (spent / slowdown - self.latency)
