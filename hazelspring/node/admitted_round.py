"""Which round goes first at a node where several compete."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.consensus.round import LONG_AGO
from hazelspring.membership.rendezvous import owner

# Seconds for which an admitted round goes first: enough for the syncs of a slow disk and the round trips.
ADMITTED_ROUND_TIME = 1.0


@dataclass(slots=True, frozen=True)
class AdmittedRound:
    """The round that goes first at a node: the node that leads it, and the version that it follows."""

    until: float = LONG_AGO  # seconds of the steady clock
    source: str = ""  # the address of the node that leads it
    base_version: int = -1
    has_majority: bool = False  # it has asked this node to accept a state, so it has enough promises

    def goes_before(self, now: float, source: str, base_version: int) -> bool:
        """Return whether this round goes before one that `source` leads and that follows `base_version`.

        The round that follows the newer state goes first.  Of two that follow the same one, this round goes first once
        it has enough promises; else a hash of the version and both addresses decides.  So competing rounds do not
        outbid each other forever, and no node always goes first.
        """
        if now >= self.until or self.source == source:
            return False
        if base_version != self.base_version:
            return base_version < self.base_version
        if self.has_majority:
            return True
        return owner(f"version {base_version}", (self.source, source)) == self.source


NO_ROUND = AdmittedRound()
