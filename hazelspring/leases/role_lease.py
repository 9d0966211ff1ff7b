"""The lease on one role as its candidate or holder sees it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from hazelspring.consensus.control_state import majority
from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.timeouts import LEASE_TERM

RELIED_ON_PART = 0.9  # fraction of the term that a holder relies on: steady clocks may differ in speed
RELIED_ON_TIME = LEASE_TERM * RELIED_ON_PART  # seconds from the request on
CLOCK_MARGIN = (
    0.1  # seconds less than that, for what lies between a look at the clock and the act under the lease
)


class ReceivedGrant(NamedTuple):
    """One member's grant: when it was requested, by the candidate's clock, and by which incarnation it was given."""

    requested_at: float
    incarnation: int


@dataclass(slots=True)
class RoleLease:
    """The grants of one role that this candidate has received.

    ``requested_since`` is since when every heartbeat has requested the role, None where the last one did not.
    ``grants`` holds the latest grant of each member, by address.
    """

    requested_since: float | None = None
    grants: dict[str, ReceivedGrant] = field(default_factory=dict)

    def give_up(self) -> None:
        """Rely on no grant any more, and request none."""
        self.requested_since = None
        self.grants.clear()

    def invalidate_before(self, valid_from: float) -> None:
        """Rely on no grant received so far, nor on one that is requested before `valid_from`."""
        self.grants.clear()
        if self.requested_since is not None:
            self.requested_since = max(self.requested_since, valid_from)

    def add_grant(self, ip: str, grant: ReceivedGrant) -> None:
        """Note a member's grant, unless it was requested before this node last began to request the role."""
        if self.requested_since is not None and grant.requested_at >= self.requested_since:
            self.grants[ip] = grant

    def relies_on_previous(self, now: float, granter: NodeIdentity) -> bool:
        """Return whether a grant of an earlier incarnation of the granter is still within its term."""
        grant = self.grants.get(granter.address)
        if grant is None or grant.incarnation == granter.incarnation:
            return False
        return now < grant.requested_at + LEASE_TERM

    def expires_at(self, core: Collection[str]) -> float:
        """Return until when the holder may rely on the grants of a majority of the core; 0 where there is none.

        The term counts from the request on, which was before the granter's clock began to count.
        """
        times = sorted((grant.requested_at for ip, grant in self.grants.items() if ip in core), reverse=True)
        needed = majority(len(core))
        if len(times) < needed:
            return 0.0
        return times[needed - 1] + RELIED_ON_TIME - CLOCK_MARGIN
