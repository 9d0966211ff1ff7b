"""The network between two endpoints: its delays, resets and partitions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A network fault from `begin` to `end` between two sets of endpoints; an empty set means all."""

    kind: str  # "cut": no traffic in either direction; "reset": connections break within a response; "delay"
    begin: float
    end: float
    a: frozenset[str]
    b: frozenset[str]
    size: float = 0.0  # delay: seconds; reset: the share of responses that it breaks

    def between(self, now: float, a: str, b: str) -> bool:
        """Whether the fault is active now and affects the traffic between these two endpoints."""
        if not self.begin <= now < self.end:
            return False
        return (not self.a or a in self.a) and (not self.b or b in self.b)


class Network:
    """All network faults of a day."""

    def __init__(self, faults: list[NetworkFault] | None = None) -> None:
        self.faults = faults or []

    def cut(self, now: float, a: str, b: str) -> bool:
        """Whether the two endpoints are cut off from each other."""
        return any(t.kind == "cut" and t.between(now, a, b) for t in self.faults)

    def reset_share(self, now: float, a: str, b: str) -> float:
        """Return the share of responses that are broken off; if several faults apply, the largest one."""
        return max((t.size for t in self.faults if t.kind == "reset" and t.between(now, a, b)), default=0.0)

    def delay(self, now: float, a: str, b: str) -> float:
        """Return the added delay in seconds, as the sum over all faults that apply."""
        return sum(t.size for t in self.faults if t.kind == "delay" and t.between(now, a, b))
