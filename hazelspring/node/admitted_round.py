"""Which round goes first at a node, where several are under way."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.consensus.round import LONG_AGO
from hazelspring.membership.rendezvous import owner

ADMITTED_ROUND_TIME = (
    1.0  # seconds for which a round that was let in may go first: syncs of a slow disk and round trips
)


@dataclass(slots=True, frozen=True)
class AdmittedRound:
    """The round that goes first at a node: whose it is, and which version it follows."""

    until: float = LONG_AGO  # seconds of the steady clock
    source: str = ""  # the address of the node that leads it
    base_version: int = -1
    has_majority: bool = False  # it has asked this node to accept a state, so it has enough promises

    def goes_before(self, now: float, source: str, base_version: int) -> bool:
        """Return whether this round goes before one of a node that follows a version.

        The one that knows the newer state does; of two that know the same one, the one that has enough promises, or
        else the one that the hash of the version names.  So rounds that meet do not outbid each other for ever, and
        none is first always.
        """
        if now >= self.until or self.source == source:
            return False
        if base_version != self.base_version:
            return base_version < self.base_version
        if self.has_majority:
            return True
        return owner(f"version {base_version}", (self.source, source)) == self.source


NO_ROUND = AdmittedRound()
