"""Singleton roles: work that exactly one node does for all, under a lease that a majority of the core granted."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hazelspring.leases.lease_granter import LeaseGranter
from hazelspring.leases.member_changes import MemberChanges
from hazelspring.leases.role_lease import ReceivedGrant, RoleLease
from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner

# seconds for which a node leaves a role that it could not do to others: some ten times what a try takes
DECLINE_TIME = 10.0
# What rendezvous hashing is given for a role.  All nodes must come to the same candidate, also those that run another
# version of the program during an update: the text never changes.
ROLE_HASH_KEY = "duty {role}"


class _Disclaim(NamedTuple):
    """When a restarted granter was told which leases are relied on here, and which incarnation of it was."""

    at: float
    incarnation: int


class SingletonRoles:
    """All roles, by number, as one node sees them; a node outside the core only asks for their holders.

    A member that is to hold a role requests it with each heartbeat to the core.  Every member that grants it answers
    so; a majority of grants makes the lease, which the holder relies on for a part of the term from its request on.
    Each heartbeat that is answered renews it.  A lease that a heartbeat no longer requests is given up.

    The candidate for a role without a live holder is found by rendezvous hashing, so that members seldom compete.
    """

    def __init__(self, peers: PeerTable, now: float, first: bool, count: int) -> None:
        self.peers, self.role_count = peers, count
        self.granter = LeaseGranter(now, first)
        self.leases: dict[int, RoleLease] = {}  # by role
        self.requested: list[int] = []  # what the last heartbeat requested
        self.has_left = False
        self._member_changes = MemberChanges(now, first)
        self._disclaimed: dict[str, _Disclaim] = {}  # by the granter's address
        # roles that this node could not do, and until when others are to do them
        self._declined_until: dict[int, float] = {}

    def identity(self) -> NodeIdentity:
        """Return the identity under which this node holds leases."""
        return self.peers.me.identity()

    def held_until(self, role: int) -> float:
        """Return until when this node may act in a role; a time in the past where it may not."""
        lease = self.leases.get(role)
        return lease.expires_at(self.peers.core_nodes) if lease is not None else 0.0

    def holder_reports(self, now: float) -> list[dict[str, str]]:
        """Return the holders by role that each live node of the core reports."""
        peers = ((ip, self.peers.peers.get(ip)) for ip in self.peers.core_nodes)
        return [peer.role_holders for ip, peer in peers if peer is not None and self.peers.is_alive(now, ip)]

    def holder(self, now: float, role: int, reports: Iterable[dict[str, str]] | None = None) -> str | None:
        """Return who holds a role: the node that most of the core report.

        `reports` are those of `holder_reports`, where the caller has them already.
        """
        me = self.peers.me.ip
        if self.held_until(role) > now:
            return me
        votes: dict[str, int] = {}
        for holders in self.holder_reports(now) if reports is None else reports:
            ip = holders.get(str(role))
            if ip is not None and ip != me:
                votes[ip] = votes.get(ip, 0) + 1
        return max(votes, key=lambda ip: (votes[ip], ip)) if votes else None

    def reported_holders(self, now: float) -> dict[str, str]:
        """Return whom this node reports as holders.

        They are those to whom it granted a lease, itself only while a majority has granted it.
        """
        me = self.peers.me.ip
        return {
            role: ip
            for role, ip in self.granter.holders(now).items()
            if ip != me or self.held_until(int(role)) > now
        }

    def wanted_roles(self, now: float) -> list[int]:
        """Return the roles that this node holds, and those without a live holder that it is the candidate for."""
        if self.has_left or not self.peers.me.disk_id:
            return []
        alive = [ip for ip in self.peers.core_nodes if self.can_hold(now, ip)]
        majority_alive = len(alive) > len(self.peers.core_nodes) // 2  # with fewer the candidate is not known
        reports = self.holder_reports(now)
        wanted = []
        for role in range(self.role_count):
            holder = self.holder(now, role, reports)
            if holder == self.peers.me.ip or (
                majority_alive
                and self._is_vacant(now, role, holder)
                and self._candidate(now, role, alive) == self.peers.me.ip
            ):
                wanted.append(role)
        return wanted

    def _is_vacant(self, now: float, role: int, holder: str | None) -> bool:
        """Return whether a role has no holder that is alive and goes on with it."""
        return holder is None or not self.peers.is_alive(now, holder) or self.declines(now, holder, role)

    def _candidate(self, now: float, role: int, nodes: list[str]) -> str | None:
        """Return which of some nodes is to request a vacant role."""
        return owner(ROLE_HASH_KEY.format(role=role), self.willing_nodes(now, role, nodes))

    def declines(self, now: float, ip: str, role: int) -> bool:
        """Return whether a node of the core has said that it can't do a role just now."""
        if ip == self.peers.me.ip:
            return now < self._declined_until.get(role, now)
        peer = self.peers.peers.get(ip)
        return peer is not None and role in peer.declined_roles

    def willing_nodes(self, now: float, role: int, candidates: list[str]) -> list[str]:
        """Return which of some nodes don't decline a role; all where each of them does."""
        return [ip for ip in candidates if not self.declines(now, ip, role)] or candidates

    def others_willing(self, now: float, role: int) -> bool:
        """Return whether another node could take a role and doesn't decline it."""
        others = self.peers.other_core_nodes()
        return any(self.can_hold(now, ip) and not self.declines(now, ip, role) for ip in others)

    def decline(self, now: float, role: int) -> None:
        """Give up a role that this node can't do, and leave it to others for DECLINE_TIME."""
        self._declined_until[role] = now + DECLINE_TIME
        self.leases.pop(role, None)
        self.granter.release(str(role), self.identity())

    def declined_roles(self, now: float) -> list[int]:
        """Return the roles that this node leaves to others."""
        return [role for role, until in self._declined_until.items() if now < until]

    def on_declined(self, who: NodeIdentity, roles: list[int]) -> None:
        """Another node declines roles that it held: end its leases on them."""
        for role in roles:
            self.granter.release(str(role), who)
        peer = self.peers.peers.get(who.address)
        if peer is not None and peer.info.incarnation == who.incarnation:
            peer.declined_roles |= frozenset(roles)

    def can_hold(self, now: float, ip: str) -> bool:
        """Return whether a node of the core can take a role: it answers, its disk is a member's, it isn't leaving."""
        return (
            self.peers.is_alive(now, ip) and self.peers.holds_membership(ip) and not self.peers.is_leaving(ip)
        )

    def update_requests(self, now: float, settled: bool) -> list[int]:
        """Return the roles that a heartbeat sent now requests; none unless `settled`.

        What it leaves out is given up: this node relies on no grant of it any more, and every granter is free to grant
        it to another.  So a role that two nodes wanted at once is held up by a heartbeat and not by a term.
        """
        wanted = self.wanted_roles(now) if settled else []
        for role, lease in self.leases.items():
            if role not in wanted and lease.requested_since is not None:
                lease.give_up()
                self.granter.release(str(role), self.identity())
        for role in wanted:
            lease = self.leases.setdefault(role, RoleLease())
            if lease.requested_since is None:
                lease.requested_since = max(now, self._member_changes.valid_from)
        self.requested = wanted
        return wanted

    def grant_to_self(self, now: float) -> None:
        """Take this node's own grants of what it requested last."""
        me = self.identity()
        for role in self.requested:
            if self.granter.request(now, str(role), me, now):
                self.on_granted(role, me.address, now, me.incarnation)

    def on_granted(self, role: int, ip: str, requested_at: float, incarnation: int) -> None:
        """Take the grant of a member, which answered a heartbeat sent at `requested_at` (this node's steady seconds).

        A grant requested before this node last began to request the role does not count.  Nor does that of an earlier
        incarnation which arrives after the later one was told that it is not relied on.
        """
        disclaim = self._disclaimed.get(ip)
        if disclaim is not None and incarnation != disclaim.incarnation and requested_at <= disclaim.at:
            return
        lease = self.leases.get(role)
        if lease is not None:
            lease.add_grant(ip, ReceivedGrant(requested_at, incarnation))

    def on_members_changed(self, now: float, follows: bool, before: int, members: int) -> None:
        """The core has other members: drop grants whose majority may miss a new holder's (see `MemberChanges`).

        `before` and `members` are the numbers of members before and after the change.  `follows`: it is one change
        away from the members that were known here.
        """
        if self._member_changes.record(now, follows, before, members):
            for lease in self.leases.values():
                lease.invalidate_before(self._member_changes.valid_from)

    def disclaim_previous(self, now: float, who: NodeIdentity) -> list[int]:
        """Return what a restarted granter is told: the roles for which a grant from before still counts here."""
        self._disclaimed[who.address] = _Disclaim(now, who.incarnation)
        return [role for role, lease in self.leases.items() if lease.relies_on_previous(now, who)]

    def restore_grants(self, now: float) -> None:
        """Begin to grant after a restart, once every other member has said which leases it relies on."""
        others = [self.peers.peers.get(ip) for ip in self.peers.other_core_nodes()]
        relied_on: dict[NodeIdentity, list[int]] = {}
        for peer in others:
            if peer is None or peer.relied_on_roles is None:
                return
            relied_on[peer.info.identity()] = peer.relied_on_roles
        self.granter.restore(now, relied_on)

    def release_all(self, now: float) -> list[int]:
        """Give up all roles for good, as this node is leaving; return those that it held."""
        held = [role for role in range(self.role_count) if self.held_until(role) > now]
        self.has_left = True
        self.leases.clear()
        self.on_released(self.identity(), held)
        return held

    def on_released(self, who: NodeIdentity, roles: list[int]) -> None:
        """A holder is leaving and has given up its roles: end its leases and forget what was reported of it."""
        for role in roles:
            self.granter.release(str(role), who)
        for peer in self.peers.peers.values():
            peer.role_holders = {
                role: holder for role, holder in peer.role_holders.items() if holder != who.address
            }
        leaver = self.peers.peers.get(who.address)
        if leaver is not None and leaver.info.incarnation == who.incarnation:
            leaver.leaving = True
