"""The lease on one role, from the point of view of its candidate or holder."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelspring.consensus.control_state import majority
from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.timeouts import LEASE_TERM

# fraction of the term for which a holder relies on a grant, as steady clocks may differ in speed
RELIED_ON_FRACTION = 0.9
RELIED_ON_TIME = LEASE_TERM * RELIED_ON_FRACTION  # seconds, counted from the request
# seconds subtracted from that, for the delay between reading the clock and acting under the lease
CLOCK_MARGIN = 0.1


class ReceivedGrant(NamedTuple):
    """A member's grant: when it was requested, by the candidate's clock, and which incarnation gave it."""

    requested_at: float
    incarnation: int


@dataclass(slots=True)
class RoleLease:
    """The grants that this node has received for one role.

    ``requested_since`` is the time since which every heartbeat has requested the role; None if the last one
    did not.  ``grants`` holds the latest grant from each member, by address.
    """

    requested_since: float | None = None
    grants: dict[str, ReceivedGrant] = field(default_factory=dict)

    def give_up(self) -> None:
        """Discard all grants and stop requesting the role."""
        self.requested_since = None
        self.grants.clear()

    def invalidate_before(self, valid_from: float) -> None:
        """Discard all grants received so far, and ignore any that were requested before `valid_from`."""
        self.grants.clear()
        if self.requested_since is not None:
            self.requested_since = max(self.requested_since, valid_from)

    def add_grant(self, ip: str, grant: ReceivedGrant) -> None:
        """Record a member's grant, unless it was requested before the role's current `requested_since`."""
        if self.requested_since is not None and grant.requested_at >= self.requested_since:
            self.grants[ip] = grant

    def relies_on_previous(self, now: float, granter: NodeIdentity) -> bool:
        """Return whether a grant of an earlier incarnation of the granter is still within its term."""
        grant = self.grants.get(granter.address)
        if grant is None or grant.incarnation == granter.incarnation:
            return False
        return now < grant.requested_at + LEASE_TERM

    def expires_at(self, core: Collection[str]) -> float:
        """Return the time until which a majority of the core has granted the role; 0 without a majority.

        The term is counted from the request, which was sent before the granter started to count it.
        """
        times = sorted((grant.requested_at for ip, grant in self.grants.items() if ip in core), reverse=True)
        needed = majority(len(core))
        if len(times) < needed:
            return 0.0
        return times[needed - 1] + RELIED_ON_TIME - CLOCK_MARGIN
