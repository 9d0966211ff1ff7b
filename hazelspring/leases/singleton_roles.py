"""Duties that one door does: a lease that a majority of the core granted, and an end before it lapses."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import majority
from hazelspring.membership.node_info import NodeIdentity
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner
from hazelspring.membership.timeouts import LEASE_TERM

RELIED_ON_PART = 0.9  # part of it that a holder relies on, as steady clocks may differ in speed,
# seconds for which a node leaves a duty that it could not do to others: some ten times what a try takes
DECLINE_TIME = 10.0
CLOCK_MARGIN = 0.1  # and seconds less, for what lies between a look at the clock and the deed


@dataclass(slots=True)
class Grant:
    """`asked` is when it was asked for, by the asker's clock; None where it was recalled, until it is asked anew."""

    holder: NodeIdentity
    expires_at: float
    requested_at: float | None = None


class LeaseGranter:
    """A core door's promises.  They die with the process, so a new life promises nothing for a term, or until all
    other core doors have told which promises of the last life they still count on."""

    def __init__(self, now: float, first: bool) -> None:
        self.silent_until = now if first else now + LEASE_TERM
        self.grants: dict[str, Grant] = {}

    def request(self, now: float, role: str, who: NodeIdentity, asked: float) -> bool:
        """Whether the duty is this asker's for a term from now on; `asked` by its clock."""
        grant = self.grants.get(role)
        if now < self.silent_until:
            return False
        if grant is not None and grant.holder != who and now < grant.expires_at:
            return False
        known = grant.requested_at if grant is not None and grant.holder == who else None
        self.grants[role] = Grant(who, now + LEASE_TERM, asked if known is None else max(asked, known))
        return True

    def withdraw_unrequested(self, who: NodeIdentity, wants: list[int], asked: float) -> None:
        """What an asker has no more in its beat it counts on no more: these promises end, a late beat ends none."""
        for role, grant in list(self.grants.items()):
            if (
                grant.holder == who
                and int(role) not in wants
                and grant.requested_at is not None
                and grant.requested_at < asked
            ):
                del self.grants[role]

    def restore(self, now: float, told: dict[NodeIdentity, list[int]]) -> None:
        """All other core doors have told what they count on: that is promised again, and silence ends."""
        if now >= self.silent_until:
            return
        self.silent_until = now
        for who, roles in told.items():
            for role in roles:
                self.grants[str(role)] = Grant(who, now + LEASE_TERM)

    def release(self, role: str, who: NodeIdentity) -> None:
        grant = self.grants.get(role)
        if grant is not None and grant.holder == who:
            del self.grants[role]

    def holders(self, now: float) -> dict[str, str]:
        """Who holds what, as far as this door granted it."""
        return {role: grant.holder[0] for role, grant in self.grants.items() if now < grant.expires_at}


@dataclass(slots=True)
class RoleLease:
    """A duty as one candidate sees it: since when it has asked in every beat, when it asked each core door that
    said yes, and which life of it did."""

    requested_since: float | None = None
    grants: dict[str, tuple[float, int]] = field(default_factory=dict)

    def relies_on_previous(self, now: float, who: NodeIdentity) -> bool:
        """Whether a promise of an earlier life of that door still counts."""
        asked, life = self.grants.get(who[0], (-1e9, who[1]))
        return life != who[1] and now < asked + LEASE_TERM

    def expires_at(self, core: Collection[str]) -> float:
        """When the grants of a majority of the core end for the holder; in the past where there is none."""
        asked = sorted((asked for ip, (asked, _) in self.grants.items() if ip in core), reverse=True)
        needed = majority(len(core))
        if len(asked) < needed:
            return 0.0
        return asked[needed - 1] + LEASE_TERM * RELIED_ON_PART - CLOCK_MARGIN


class SingletonRoles:
    """All duties, by number, as one door of the core sees them; others ask it for holders only."""

    def __init__(self, peers: PeerTable, now: float, first: bool, count: int) -> None:
        self.peers, self.role_count = peers, count
        self.granter = LeaseGranter(now, first)
        self.leases: dict[int, RoleLease] = {}
        self.grants_valid_from = -1e9  # what was asked before this counts for nothing: see `moved`
        self.first_start, self.members_changed_at, self.largest_core = first, now, 0
        # when a new life was told what is counted on, and which life
        self.disclaimed: dict[str, tuple[float, int]] = {}
        self.requested: list[int] = []  # what the last beat asked for
        # duties that this node could not do, and until when others are to
        self.declined_until: dict[int, float] = {}
        self.has_left = False

    def identity(self) -> NodeIdentity:
        return self.peers.me.identity()

    def held_until(self, role: int) -> float:
        """Until when this door may do a duty; in the past where it may not."""
        hold = self.leases.get(role)
        return hold.expires_at(self.peers.core_nodes) if hold is not None else 0.0

    def holder_reports(self, now: float) -> list[dict[str, str]]:
        """What those of the core that answer say of who holds what."""
        peers = ((ip, self.peers.peers.get(ip)) for ip in self.peers.core_nodes)
        return [peer.role_holders for ip, peer in peers if peer is not None and self.peers.is_alive(now, ip)]

    def holder(self, now: float, role: int, words: list[dict[str, str]] | None = None) -> str | None:
        """Who holds a duty, as the core tells; the one of whom most say so."""
        if self.held_until(role) > now:
            return self.peers.me.ip
        says: dict[str, int] = {}
        for holders in self.holder_reports(now) if words is None else words:
            who = holders.get(str(role))
            if who is not None and who != self.peers.me.ip:
                says[who] = says.get(who, 0) + 1
        return max(says, key=lambda who: (says[who], who)) if says else None

    def reported_holders(self, now: float) -> dict[str, str]:
        """Whom this door names as holders: those it granted to, itself only while a majority has granted."""
        me = self.peers.me.ip
        return {
            d: who
            for d, who in self.granter.holders(now).items()
            if who != me or self.held_until(int(d)) > now
        }

    def wanted_roles(self, now: float) -> list[int]:
        """Duties that this door does, or would do: those without a holder that is alive, if it is first in line."""
        if self.has_left or not self.peers.me.disk_id:
            return []
        alive = [ip for ip in self.peers.core_nodes if self.can_hold(now, ip)]
        enough = len(alive) > len(self.peers.core_nodes) // 2  # with fewer, who is first in line is not known
        found, words = [], self.holder_reports(now)
        for role in range(self.role_count):
            holder = self.holder(now, role, words)
            if holder == self.peers.me.ip:
                found.append(role)
                continue
            free = holder is None or not self.peers.is_alive(now, holder) or self.declines(now, holder, role)
            if (
                free
                and enough
                and owner(f"duty {role}", self.willing_nodes(now, role, alive)) == self.peers.me.ip
            ):
                found.append(role)
        return found

    def declines(self, now: float, ip: str, role: int) -> bool:
        """Whether a door of the core has said that it can't do a duty just now."""
        if ip == self.peers.me.ip:
            return now < self.declined_until.get(role, now)
        peer = self.peers.peers.get(ip)
        return peer is not None and role in peer.declined_roles

    def willing_nodes(self, now: float, role: int, candidates: list[str]) -> list[str]:
        """Of these doors those that don't decline a duty; all where each of them does."""
        return [ip for ip in candidates if not self.declines(now, ip, role)] or candidates

    def others_willing(self, now: float, role: int) -> bool:
        """Whether another door could take a duty and doesn't decline it."""
        others = self.peers.other_core_nodes()
        return any(self.can_hold(now, ip) and not self.declines(now, ip, role) for ip in others)

    def decline(self, now: float, role: int) -> None:
        """This door can't do a duty that it holds: it ceases to hold it, and others go first for a while."""
        self.declined_until[role] = now + DECLINE_TIME
        self.leases.pop(role, None)
        self.granter.release(str(role), self.identity())

    def declined_roles(self, now: float) -> list[int]:
        """The duties that this door leaves to others."""
        return [role for role, until in self.declined_until.items() if now < until]

    def on_declined(self, who: NodeIdentity, roles: list[int]) -> None:
        """Another door declines duties that it held: its promises end."""
        for role in roles:
            self.granter.release(str(role), who)
        peer = self.peers.peers.get(who[0])
        if peer is not None and peer.info.incarnation == who[1]:
            peer.declined_roles |= frozenset(roles)

    def can_hold(self, now: float, ip: str) -> bool:
        """Whether a door of the core can take a duty: it answers, its seat is its own, and it isn't leaving."""
        return (
            self.peers.is_alive(now, ip) and self.peers.holds_membership(ip) and not self.peers.is_leaving(ip)
        )

    def update_requests(self, now: float, settled: bool) -> list[int]:
        """What a beat that goes out now asks for.  On a promise of what it leaves out this door counts no more, so
        whoever promised it is free: what two doors wanted at once is held up by a beat, not by a term."""
        wants = self.wanted_roles(now) if settled else []
        for role, hold in self.leases.items():
            if role not in wants and hold.requested_since is not None:
                hold.requested_since = None
                hold.grants.clear()
                self.granter.release(str(role), self.identity())
        for role in wants:
            hold = self.leases.setdefault(role, RoleLease())
            if hold.requested_since is None:
                hold.requested_since = max(now, self.grants_valid_from)
        self.requested = wants
        return wants

    def grant_to_self(self, now: float) -> None:
        """This door's own grants for what it has asked for last."""
        for role in self.requested:
            if self.granter.request(now, str(role), self.identity(), now):
                self.on_granted(role, self.peers.me.ip, now, self.peers.me.incarnation)

    def on_granted(self, role: int, ip: str, asked_at: float, life: int) -> None:
        """A core door's yes to a beat; one from before this door last began to ask counts for nothing, nor does that of
        an earlier life which comes after the new one was told that it isn't counted on."""
        hold = self.leases.get(role)
        told_at, told = self.disclaimed.get(ip, (-1e9, life))
        if life != told and asked_at <= told_at:
            return
        if hold is not None and hold.requested_since is not None and asked_at >= hold.requested_since:
            hold.grants[ip] = (asked_at, life)

    def on_members_changed(self, now: float, follows: bool, before: int, members: int) -> None:
        """The core has other members, by number; `follows`: by one change from those that were known here.  A new seat
        promises nothing for a term, so a holder and who comes after it both count on seats of the first of all cores
        within the time that a holder relies on a promise: their majorities meet unless the core has shrunk too far
        since.  Then, or where that is not known, what was asked until that time has passed does not count.  At the
        first start new seats promise at once, and a second change is always waited out."""
        relied = LEASE_TERM * RELIED_ON_PART
        recent = now - self.members_changed_at < relied
        # a start may hide one more change: of a core that was larger by one
        self.largest_core = max(self.largest_core or before + 1, before) if recent else before
        meet = majority(members) + majority(self.largest_core) > self.largest_core and not self.first_start
        if not follows or (recent and not meet):
            self.grants_valid_from = (self.members_changed_at if follows else now) + relied
            for hold in self.leases.values():
                hold.grants.clear()
                hold.requested_since = (
                    None
                    if hold.requested_since is None
                    else max(hold.requested_since, self.grants_valid_from)
                )
        self.members_changed_at = now

    def disclaim_previous(self, now: float, who: NodeIdentity) -> list[int]:
        """What a new life is told: the duties for which a promise of an earlier one counts here."""
        self.disclaimed[who[0]] = (now, who[1])
        return [role for role, hold in self.leases.items() if hold.relies_on_previous(now, who)]

    def restore_grants(self, now: float) -> None:
        """End the silence of a new life once every other core door has told what it counts on."""
        others = [self.peers.peers.get(ip) for ip in self.peers.other_core_nodes()]
        told = {p.info.identity(): p.relied_on_roles for p in others if p is not None}
        if len(told) == len(others) and all(roles is not None for roles in told.values()):
            self.granter.restore(now, {who: roles or [] for who, roles in told.items()})

    def release_all(self, now: float) -> list[int]:
        """What this door held; from now on it holds nothing, and wants nothing."""
        held = [role for role in range(self.role_count) if self.held_until(role) > now]
        self.has_left = True
        self.leases.clear()
        self.on_released(self.identity(), held)
        return held

    def on_released(self, who: NodeIdentity, roles: list[int]) -> None:
        """A holder has left in order."""
        for role in roles:
            self.granter.release(str(role), who)
        for peer in self.peers.peers.values():
            peer.role_holders = {
                role: holder for role, holder in peer.role_holders.items() if holder != who[0]
            }
        if (left := self.peers.peers.get(who[0])) is not None and left.info.incarnation == who[1]:
            left.leaving = True
