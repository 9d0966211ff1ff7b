"""Singleton roles: at most one node at a time performs each, under a lease from a majority of the core."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hazelspring.leases.lease_granter import LeaseGranter
from hazelspring.leases.member_changes import MemberChanges
from hazelspring.leases.role_lease import ReceivedGrant, RoleLease
from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner

# seconds for which a node declines a role that it could not perform: about ten times as long as an attempt
DECLINE_TIME = 10.0
# The rendezvous hashing key of a role.  The text must never change: all nodes must choose the same
# candidate, including those that run another version of the program during an upgrade.
ROLE_HASH_KEY = "duty {role}"


class _ReliedOnReport(NamedTuple):
    """When this node reported to a restarted granter the leases it relies on, and to which incarnation."""

    at: float
    incarnation: int


class SingletonRoles:
    """One node's view of all roles, by number; nodes outside the core only look up their holders.

    The candidate for a role, and then its holder, requests it with each heartbeat to the core, and each
    member replies whether it grants it.  Grants from a majority form the lease, on which the holder relies
    for a fraction of the term, counted from its request.  Each heartbeat that is answered renews the lease.
    A lease that a heartbeat no longer requests is released.

    The candidate for a role without a live holder is chosen by rendezvous hashing, so that members seldom
    compete.
    """

    def __init__(self, peers: PeerTable, now: float, first: bool, count: int) -> None:
        self.peers, self.role_count = peers, count
        self.granter = LeaseGranter(now, first)
        self.leases: dict[int, RoleLease] = {}  # by role
        self.requested: list[int] = []  # the roles that the last heartbeat requested
        self.has_left = False
        self._member_changes = MemberChanges(now, first)
        self._relied_on_reports: dict[str, _ReliedOnReport] = {}  # by the granter's address
        # by role that this node could not perform: the time until which it declines the role
        self._declined_until: dict[int, float] = {}

    def identity(self) -> NodeIdentity:
        """Return the identity under which this node holds leases."""
        return self.peers.me.identity()

    def held_until(self, role: int) -> float:
        """Return the time until which this node may act in a role; a time in the past if it may not."""
        lease = self.leases.get(role)
        return lease.expires_at(self.peers.core_nodes) if lease is not None else 0.0

    def holder_reports(self, now: float) -> list[dict[str, str]]:
        """Return the reports of all live core nodes, each of them holders' addresses by role."""
        peers = ((ip, self.peers.peers.get(ip)) for ip in self.peers.core_nodes)
        return [peer.role_holders for ip, peer in peers if peer is not None and self.peers.is_alive(now, ip)]

    def holder(self, now: float, role: int, reports: Iterable[dict[str, str]] | None = None) -> str | None:
        """Return the address of a role's holder: this node, or else the one that most reports name.

        `reports` is the result of `holder_reports`, for a caller that has it already.
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
        """Return the holders' addresses by role that this node reports to others.

        These are the nodes to which it granted leases.  It includes itself only while a majority has granted
        the lease.
        """
        me = self.peers.me.ip
        return {
            role: ip
            for role, ip in self.granter.holders(now).items()
            if ip != me or self.held_until(int(role)) > now
        }

    def wanted_roles(self, now: float) -> list[int]:
        """Return the roles that this node holds, and the vacant ones for which it is the candidate."""
        if self.has_left or not self.peers.me.disk_id:
            return []
        alive = [ip for ip in self.peers.core_nodes if self.can_hold(now, ip)]
        majority_alive = len(alive) > len(self.peers.core_nodes) // 2  # otherwise the candidate is not known
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
        """Return whether a role has no holder, or its holder is not alive or declines the role."""
        return holder is None or not self.peers.is_alive(now, holder) or self.declines(now, holder, role)

    def _candidate(self, now: float, role: int, nodes: list[str]) -> str | None:
        """Return which of `nodes` is to request a vacant role."""
        return owner(ROLE_HASH_KEY.format(role=role), self.willing_nodes(now, role, nodes))

    def declines(self, now: float, ip: str, role: int) -> bool:
        """Return whether a node of the core currently declines a role."""
        if ip == self.peers.me.ip:
            return now < self._declined_until.get(role, now)
        peer = self.peers.peers.get(ip)
        return peer is not None and role in peer.declined_roles

    def willing_nodes(self, now: float, role: int, candidates: list[str]) -> list[str]:
        """Return the candidates that do not decline a role, or all candidates if each declines it."""
        return [ip for ip in candidates if not self.declines(now, ip, role)] or candidates

    def others_willing(self, now: float, role: int) -> bool:
        """Return whether any other node of the core can hold a role and does not decline it."""
        others = self.peers.other_core_nodes()
        return any(self.can_hold(now, ip) and not self.declines(now, ip, role) for ip in others)

    def decline(self, now: float, role: int) -> None:
        """Release a role that this node cannot perform, and decline it for DECLINE_TIME."""
        self._declined_until[role] = now + DECLINE_TIME
        self.leases.pop(role, None)
        self.granter.release(str(role), self.identity())

    def declined_roles(self, now: float) -> list[int]:
        """Return the roles that this node currently declines."""
        return [role for role, until in self._declined_until.items() if now < until]

    def on_declined(self, who: NodeIdentity, roles: list[int]) -> None:
        """Handle a message that another node declines roles that it held, and end its leases on them."""
        for role in roles:
            self.granter.release(str(role), who)
        peer = self.peers.peers.get(who.address)
        if peer is not None and peer.info.incarnation == who.incarnation:
            peer.declined_roles |= frozenset(roles)

    def can_hold(self, now: float, ip: str) -> bool:
        """Return whether a core node can hold a role: alive, with a member's disk, and not shutting down."""
        return (
            self.peers.is_alive(now, ip)
            and self.peers.has_member_disk(ip)
            and not self.peers.is_shutting_down(ip)
        )

    def update_requests(self, now: float, settled: bool) -> list[int]:
        """Return the roles that a heartbeat sent now requests; none unless `settled`.

        `settled` says whether the core is bootstrapped and this node is a member of it or a candidate.

        Roles that the heartbeat leaves out are released: this node no longer relies on grants for them, and
        every granter is free to grant them to another node.  When two nodes request a role at the same time,
        the role is therefore delayed by one heartbeat instead of by one lease term.
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
        """Grant the roles that this node requested last on its own behalf, as one of the granters."""
        me = self.identity()
        for role in self.requested:
            if self.granter.request(now, str(role), me, now):
                self.on_granted(role, me.address, now, me.incarnation)

    def on_granted(self, role: int, ip: str, requested_at: float, incarnation: int) -> None:
        """Record a member's grant for the heartbeat sent at `requested_at` (this node's steady seconds).

        A grant that was requested before this node last began to request the role is ignored.  So is a grant
        of an earlier incarnation that arrives after this node reported to the later one that it does not
        rely on it.
        """
        report = self._relied_on_reports.get(ip)
        if report is not None and incarnation != report.incarnation and requested_at <= report.at:
            return
        lease = self.leases.get(role)
        if lease is not None:
            lease.add_grant(ip, ReceivedGrant(requested_at, incarnation))

    def on_members_changed(self, now: float, follows: bool, size_before: int, size_after: int) -> None:
        """Discard grants whose majority may not overlap with that of a new holder (see `MemberChanges`).

        `size_before` and `size_after` are the numbers of members before and after the change.  `follows`
        says whether the new members are exactly one change away from those that were known here.
        """
        if self._member_changes.record(now, follows, size_before, size_after):
            for lease in self.leases.values():
                lease.invalidate_before(self._member_changes.valid_from)

    def report_relied_on(self, now: float, who: NodeIdentity) -> list[int]:
        """Return the roles for which this node still relies on a grant from before the granter's restart.

        They are reported to the restarted granter.  From now on, delayed grants of its earlier incarnation
        are ignored (see `on_granted`), as the report does not include them.
        """
        self._relied_on_reports[who.address] = _ReliedOnReport(now, who.incarnation)
        return [role for role, lease in self.leases.items() if lease.relies_on_previous(now, who)]

    def restore_grants(self, now: float) -> None:
        """Start granting after a restart if all other members have reported the leases they rely on."""
        others = [self.peers.peers.get(ip) for ip in self.peers.other_core_nodes()]
        relied_on: dict[NodeIdentity, list[int]] = {}
        for peer in others:
            if peer is None or peer.relied_on_roles is None:
                return
            relied_on[peer.info.identity()] = peer.relied_on_roles
        self.granter.restore(now, relied_on)

    def release_all(self, now: float) -> list[int]:
        """Release all roles permanently, as this node shuts down; return those that it held."""
        held = [role for role in range(self.role_count) if self.held_until(role) > now]
        self.has_left = True
        self.leases.clear()
        self.on_released(self.identity(), held)
        return held

    def on_released(self, who: NodeIdentity, roles: list[int]) -> None:
        """Handle the release of roles by a node that shuts down: end its leases, drop reports that name it."""
        for role in roles:
            self.granter.release(str(role), who)
        for peer in self.peers.peers.values():
            peer.role_holders = {
                role: holder for role, holder in peer.role_holders.items() if holder != who.address
            }
        leaver = self.peers.peers.get(who.address)
        if leaver is not None and leaver.info.incarnation == who.incarnation:
            leaver.is_shutting_down = True
