"""The leases that one member of the core has granted."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.timeouts import LEASE_TERM


@dataclass(slots=True)
class Grant:
    """One granted lease.

    ``expires_at`` is by the granter's steady clock, ``requested_at`` by the holder's, both in seconds.
    ``requested_at`` is None for a lease that was restored after a restart, until its holder requests it again.
    """

    holder: NodeIdentity
    expires_at: float
    requested_at: float | None = None


class LeaseGranter:
    """Grants each role to one holder at a time, for a term from each request on.

    Grants are kept in memory only.  So a restarted granter grants nothing for a term, or until every other member of
    the core has said on which leases of the earlier incarnation it still relies (see `restore`).  At the core's first
    start there is nothing to wait for.
    """

    def __init__(self, now: float, first: bool) -> None:
        self.silent_until = now if first else now + LEASE_TERM
        self.grants: dict[str, Grant] = {}  # by role

    def request(self, now: float, role: str, who: NodeIdentity, requested_at: float) -> bool:
        """Grant or renew a lease for a term from now on, if no other node has it; return whether it was.

        `requested_at` is when the request was sent, by the requester's clock.
        """
        if now < self.silent_until:
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
        """End the leases of a holder that its heartbeat no longer requests, as it relies on them no more.

        A heartbeat that is late, sent before the lease was last requested, ends none.
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
        """Grant again, after a restart, what the other members still rely on, and begin to grant.

        `relied_on` holds the answers of all other members of the core, by holder.
        """
        if now >= self.silent_until:
            return
        self.silent_until = now
        for who, roles in relied_on.items():
            for role in roles:
                self.grants[str(role)] = Grant(who, now + LEASE_TERM)

    def release(self, role: str, who: NodeIdentity) -> None:
        """End a lease that its holder has given up; nothing where another node holds it."""
        grant = self.grants.get(role)
        if grant is not None and grant.holder == who:
            del self.grants[role]

    def holders(self, now: float) -> dict[str, str]:
        """Return the address of each role's holder, as far as this member granted the lease."""
        return {role: grant.holder.address for role, grant in self.grants.items() if now < grant.expires_at}
