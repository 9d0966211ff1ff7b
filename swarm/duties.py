"""Duties that one door does: a lease that a majority of the core granted, and an end before it lapses."""

from __future__ import annotations

from dataclasses import dataclass, field

TERM = 2.0  # seconds of a grant: five beats of the core
SHORT = 0.9  # part of it that a holder relies on, as steady clocks may differ in speed,
MARGIN = 0.1  # and seconds less, for what lies between a look at the clock and the deed

Who = tuple[str, int]  # address and life


@dataclass(slots=True)
class Grant:
    who: Who
    until: float


class Granter:
    """A core door's promises.  They die with the process, so a new life promises nothing for a term, or until all
    other core doors have told which promises of the last life they still count on."""

    def __init__(self, now: float, first: bool) -> None:
        self.silent_until = now if first else now + TERM
        self.grants: dict[str, Grant] = {}

    def ask(self, now: float, duty: str, who: Who) -> bool:
        """Whether the duty is this asker's for a term from now on."""
        grant = self.grants.get(duty)
        if now < self.silent_until:
            return False
        if grant is not None and grant.who != who and now < grant.until:
            return False
        self.grants[duty] = Grant(who, now + TERM)
        return True

    def recall(self, now: float, told: dict[Who, list[int]]) -> None:
        """All other core doors have told what they count on: that is promised again, and silence ends."""
        if now >= self.silent_until:
            return
        self.silent_until = now
        for who, duties in told.items():
            for duty in duties:
                self.grants[str(duty)] = Grant(who, now + TERM)

    def release(self, duty: str, who: Who) -> None:
        grant = self.grants.get(duty)
        if grant is not None and grant.who == who:
            del self.grants[duty]

    def holders(self, now: float) -> dict[str, str]:
        """Who holds what, as far as this door granted it."""
        return {duty: grant.who[0] for duty, grant in self.grants.items() if now < grant.until}


@dataclass(slots=True)
class Hold:
    """A duty as one candidate sees it: when it asked each core door that said yes, and which life of it did."""

    yes: dict[str, tuple[float, int]] = field(default_factory=dict)

    def counts_on(self, now: float, who: Who) -> bool:
        """Whether a promise of an earlier life of that door still counts."""
        asked, life = self.yes.get(who[0], (-1e9, who[1]))
        return life != who[1] and now < asked + TERM

    def until(self, needed: int) -> float:
        """When a majority's grants end for the holder; in the past where there is none."""
        asked = sorted((asked for asked, _ in self.yes.values()), reverse=True)
        if len(asked) < needed:
            return 0.0
        return asked[needed - 1] + TERM * SHORT - MARGIN
