"""The leases that one member of the core has granted."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.timeouts import LEASE_TERM


@dataclass(slots=True)
class Grant:
    """One granted lease.

    ``expires_at`` is on the granter's steady clock and ``requested_at`` on the holder's, both in seconds.
    ``requested_at`` is None for a lease that was restored after a restart, until its holder requests it
    again.
    """

    holder: NodeIdentity
    expires_at: float
    requested_at: float | None = None


class LeaseGranter:
    """Grants each role to one holder at a time; each request that is granted starts a new term.

    Grants are kept in memory only.  A restarted granter therefore grants nothing for one term, or until
    every other member of the core has reported on which leases of the earlier incarnation it still relies
    (see `restore`).  At the core's first start no earlier leases exist, so it grants at once.
    """

    def __init__(self, now: float, first: bool) -> None:
        self.grants_from = now if first else now + LEASE_TERM
        self.grants: dict[str, Grant] = {}  # by role

    def request(self, now: float, role: str, who: NodeIdentity, requested_at: float) -> bool:
        """Grant or renew a lease for one term from now unless another node has it; return whether granted.

        `requested_at` is the time on the requester's clock at which the request was sent.
        """
        if now < self.grants_from:
            return False
        grant = self.grants.get(role)
        if grant is not None and grant.holder != who and now < grant.expires_at:
            return False
        if grant is not None and grant.holder == who and grant.requested_at is not None:
            requested_at = max(requested_at, grant.requested_at)
        self.grants[role] = Grant(who, now + LEASE_TERM, requested_at)
        return True

    def withdraw_unrequested(
        self, who: NodeIdentity, requested_roles: Collection[int], requested_at: float
    ) -> None:
        """End the leases that a holder's heartbeat no longer requests and so no longer relies on.

        A delayed heartbeat, which was sent before the lease was last requested, does not end the lease.
        """
        for role, grant in list(self.grants.items()):
            if (
                grant.holder == who
                and int(role) not in requested_roles
                and grant.requested_at is not None
                and grant.requested_at < requested_at
            ):
                del self.grants[role]

    def restore(self, now: float, relied_on: Mapping[NodeIdentity, Collection[int]]) -> None:
        """After a restart, restore the leases that the other members still rely on, and start granting.

        `relied_on` maps each other member of the core to the roles whose leases it still relies on.
        """
        if now >= self.grants_from:
            return
        self.grants_from = now
        for who, roles in relied_on.items():
            for role in roles:
                self.grants[str(role)] = Grant(who, now + LEASE_TERM)

    def release(self, role: str, who: NodeIdentity) -> None:
        """End a lease that its holder has released; do nothing if another node holds it."""
        grant = self.grants.get(role)
        if grant is not None and grant.holder == who:
            del self.grants[role]

    def holders(self, now: float) -> dict[str, str]:
        """Return the holder's address by role, for the unexpired leases that this member granted."""
        return {role: grant.holder.address for role, grant in self.grants.items() if now < grant.expires_at}
