"""The order in which a node admits competing consensus rounds."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.consensus.round import LONG_AGO
from hazelspring.membership.rendezvous import owner

# Seconds for which an admitted round has priority: enough for the syncs of a slow disk and the round trips.
ADMITTED_ROUND_TIME = 1.0


@dataclass(slots=True, frozen=True)
class AdmittedRound:
    """The round that has priority at a node: the node that leads it, and the version it is based on."""

    until: float = LONG_AGO  # seconds of the steady clock
    source: str = ""  # the address of the node that leads it
    base_version: int = -1
    # Whether a majority has promised: the round has sent an `Accept` to this node, so it has enough
    # promises.
    has_majority: bool = False

    def has_priority_over(self, now: float, source: str, base_version: int) -> bool:
        """Return whether this round has priority over one led by `source` and based on `base_version`.

        A round based on a newer state has priority.  If both are based on the same state, this round has
        priority once it has enough promises; until then, a hash of the version and both addresses
        decides.  In this way competing rounds do not reject each other forever with ever higher ballots,
        and no node always has priority.
        """
        if now >= self.until or self.source == source:
            return False
        if base_version != self.base_version:
            return base_version < self.base_version
        if self.has_majority:
            return True
        return owner(f"version {base_version}", (self.source, source)) == self.source


NO_ROUND = AdmittedRound()
