"""How long requests of one route take, over all servers."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.routing.endpoint import LATENCY_WEIGHT

MIN_SAMPLE_WEIGHT = (
    LATENCY_WEIGHT / 5
)  # weight of the newest of many answers; that of the first few is larger
MIN_LATENCY = 1e-3  # seconds: the least latency to which an answer's is compared


@dataclass(slots=True)
class RouteLatency:
    """The latency in seconds that a route's requests have at a server that is not crowded."""

    latency: float
    samples: int = 0

    def ratio(self, spent: float) -> float:
        """Return how many times the usual latency ``spent`` seconds are."""
        return spent / max(self.latency, MIN_LATENCY)

    def record(self, spent: float, crowding: float) -> None:
        """Learn from an answer that took ``spent`` seconds at a server that was so crowded."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.latency += weight * (spent / crowding - self.latency)
