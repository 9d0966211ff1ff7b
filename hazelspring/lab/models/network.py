"""The network between two places: what delay it adds, and whether it says anything at all."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Trouble:
    """From `begin` to `end`, between these two sets of ends; an empty set means all."""

    kind: str  # "cut": silence both ways; "reset": connections break at a byte; "delay"
    begin: float
    end: float
    a: frozenset[str]
    b: frozenset[str]
    size: float = 0.0  # delay: seconds; reset: the share of answers that it breaks

    def between(self, now: float, a: str, b: str) -> bool:
        if not self.begin <= now < self.end:
            return False
        return (not self.a or a in self.a) and (not self.b or b in self.b)


class Network:
    """All troubles of a day."""

    def __init__(self, troubles: list[Trouble] | None = None) -> None:
        self.troubles = troubles or []

    def cut(self, now: float, a: str, b: str) -> bool:
        return any(t.kind == "cut" and t.between(now, a, b) for t in self.troubles)

    def reset_share(self, now: float, a: str, b: str) -> float:
        return max((t.size for t in self.troubles if t.kind == "reset" and t.between(now, a, b)), default=0.0)

    def delay(self, now: float, a: str, b: str) -> float:
        return sum(t.size for t in self.troubles if t.kind == "delay" and t.between(now, a, b))
