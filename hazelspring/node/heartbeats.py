"""Heartbeats and heartbeat replies: liveness of the nodes, the state each one reports, grants of leases of roles.

A heartbeat names the checksum of the recipient's state that its sender knows; a reply carries the state itself only
where that checksum differs.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer import Peer
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.roster import RosterChange
from hazelspring.node.codec_node import node_state_checksum
from hazelspring.node.control_replica import ControlReplica
from hazelspring.node.messages import Heartbeat, HeartbeatReply, NodeState
from hazelspring.registry.list_freshness import AGE_UNIT, ListFreshness
from hazelspring.registry.tables import ServerRegistry

# Seconds between heartbeats inside a region, and between core nodes, as heartbeats renew the leases of their roles.
NEAR_INTERVAL = 0.4
# Seconds between heartbeats to another region, where bytes are expensive, while enough near core nodes answer.
FAR_INTERVAL = 2.0
# Seconds after its start for which an incarnation puts its own `NodeInfo` into each heartbeat reply.
INTRODUCTION_TIME = 3.0
# Seconds after its start in which a core node may not have had a heartbeat of every node: one, and a round trip.
ROSTER_SETTLING_TIME = FAR_INTERVAL + 0.5
# Distance between the first heartbeat numbers of two incarnations: more heartbeats than one sends in a month.
NUMBERS_PER_INCARNATION = 1 << 24
# Heartbeats for which a reply is still accepted: those of about the last half minute.
MAX_REMEMBERED_HEARTBEATS = 512


def incarnation_hash(incarnation: int) -> int:
    """Return the CRC-32 of an incarnation, modulo 1,000,000.

    Two incarnations rarely have the same hash, so it sets the numbers of their heartbeats apart.
    """
    return zlib.crc32(incarnation.to_bytes(16, "big")) % 1_000_000


@dataclass(slots=True, frozen=True)
class SentHeartbeat:
    """What is remembered of a heartbeat until its reply comes."""

    sent_at: float  # seconds of the steady clock
    known_state_checksum: int  # of the recipient's state, as the heartbeat named it
    asks_roster: bool = False


class Heartbeats:
    """Makes the heartbeats of one node, replies to those of other nodes, and records what their replies report.

    `began` is the time of this node's start, in seconds of its steady clock, as all times here.
    """

    def __init__(
        self,
        peers: PeerTable,
        control: ControlReplica,
        roles: SingletonRoles,
        news: ServerRegistry,
        freshness: ListFreshness,
        began: float,
    ) -> None:
        self.peers, self.control, self.roles, self.registry, self.started_at = (
            peers,
            control,
            roles,
            news,
            began,
        )
        self.freshness = freshness
        # Each incarnation numbers its heartbeats from a start of its own, so a reply to a heartbeat of an earlier
        # incarnation is recognized by its number, also after a reboot that restarted the steady clock.
        self.last_number = incarnation_hash(peers.me.incarnation) * NUMBERS_PER_INCARNATION
        self.sent: dict[int, SentHeartbeat] = {}  # the latest heartbeats, by number
        # The state that was reported last, and its checksum.
        self.cached_state_checksum: tuple[NodeState | None, int] = (None, 0)
        # When the latest heartbeat was sent to each address that has never answered.
        self.first_sent: dict[str, float] = {}

    def own_state(self, now: float) -> NodeState:
        """Return the state that this node reports in heartbeat replies, which seldom changes.

        Only a member reports holders of roles, unresponsive members and declined roles.
        """
        table_versions, max_node_count = self.registry.versions(), self.peers.max_node_count
        versions = self.control.control_versions()
        if not self.control.is_member():
            return NodeState(table_versions, max_node_count, versions)
        return NodeState(
            table_versions,
            max_node_count,
            versions,
            self.roles.reported_holders(now),
            self.control.unresponsive_members(now),
            tuple(self.roles.declined_roles(now)),
        )

    def remember(self, heartbeat: SentHeartbeat) -> int:
        """Remember a heartbeat that is sent now, and return its number."""
        self.last_number += 1
        self.sent[self.last_number] = heartbeat
        if len(self.sent) > MAX_REMEMBERED_HEARTBEATS:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def request_sent_at(self, number: int) -> float | None:
        """Return when the heartbeat of a number was sent.

        None where another incarnation sent it, or where it is too old to be remembered.
        """
        sent = self.sent.get(number)
        return sent.sent_at if sent is not None else None

    def own_checksum(self, state: NodeState) -> int:
        """Return the checksum of this node's own state, computed again only where the state has changed."""
        if state != self.cached_state_checksum[0]:
            self.cached_state_checksum = state, node_state_checksum(state)
        return self.cached_state_checksum[1]

    def last_sent_at(self, ip: str) -> float:
        """Return when a heartbeat was last sent to an address, in seconds; -1e9 where none was."""
        peer = self.peers.peers.get(ip)
        return peer.heartbeat_sent_at if peer is not None else self.first_sent.get(ip, -1e9)

    def is_responsive(self, now: float, ip: str) -> bool:
        """Return whether a core node answers this node's heartbeats.

        A node without a disk may send heartbeats to another region only each `FAR_INTERVAL`, so the answer of a core
        node there may be older by that much.
        """
        seldom = (
            0.0
            if self.peers.core_nodes[ip].region == self.peers.me.region or self.peers.me.disk_id
            else FAR_INTERVAL
        )
        return self.peers.is_alive(now - seldom, ip)

    def is_due(self, now: float, ip: str, enough: bool) -> bool:
        """Return whether the next heartbeat to a core node is due.

        `enough` says that the answers of near core nodes suffice; else far ones get heartbeats as often as near ones.
        """
        about, me = self.peers.core_nodes[ip], self.peers.me
        near = about.region == me.region or me.disk_id or not enough
        return now - self.last_sent_at(ip) >= (NEAR_INTERVAL if near else FAR_INTERVAL) - 0.01

    def make_heartbeat(self, now: float, ip: str, ready: bool, requested_roles: list[int]) -> Heartbeat:
        """Return a heartbeat to another node, and record that it is sent now.

        Roles are requested only by a member of the core, or by a node with a disk before the core is agreed on.
        """
        peer, me = self.peers.peers.get(ip), self.peers.me
        if peer is not None:
            peer.heartbeat_sent_at = now
        else:
            self.first_sent[ip] = now
        known = peer.state_checksum if peer is not None else 0
        takes_roles = self.control.is_member() or (not self.peers.core_agreed and bool(me.disk_id))
        wants_roster = not takes_roles and self.is_roster_source(now, ip)
        return Heartbeat(
            me.incarnation,
            self.remember(SentHeartbeat(now, known, wants_roster)),
            ready,
            self.peers.core_checksum(),
            known,
            sender=me if peer is None or not peer.knows_me else None,
            requested_roles=requested_roles if takes_roles else None,
            grants_nothing=takes_roles and now < self.roles.granter.silent_until,
            roster_checksum=self.peers.roster_checksum if wants_roster else None,
        )

    def is_roster_source(self, now: float, ip: str) -> bool:
        """Return whether this node takes the roster from another one.

        It does so from one core node only, or from any node while it knows no core node.
        """
        return ip == self.roster_source(now) or not self.peers.core_nodes

    def roster_source(self, now: float) -> str | None:
        """Return the nearest core node that answers; None where there is no other core node.

        One that has answered for a while goes first: after a restart it lacks the nodes that send it heartbeats seldom.
        """
        others = self.peers.other_core_nodes()
        responsive = [ip for ip in others if self.is_responsive(now, ip)]
        settled = [
            ip for ip in responsive if now - self.peers.peers[ip].first_heard_at > ROSTER_SETTLING_TIME
        ]
        return next(iter(settled or responsive or others), None)

    def sender_of(self, source: str, message: Heartbeat | HeartbeatReply) -> NodeInfo | None:
        """Return the sender of a heartbeat or a reply, as named in it or as known by its address and incarnation.

        None where the message does not name its sender and no known node has that address and incarnation.
        """
        if message.sender is not None:
            return message.sender
        for about in self.peers.known_infos(source):
            if about.incarnation == message.incarnation:
                return about
        return None

    def make_reply(self, now: float, about: NodeInfo | None, message: Heartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat.

        Where its sender is not known (`about` is None), the reply only asks for the sender's identity.
        """
        me = self.peers.me
        introduces = message.sender is not None or now - self.started_at < INTRODUCTION_TIME
        sender = me if introduces else None
        if about is None:
            return HeartbeatReply(me.incarnation, message.number, sender, asks_identity=True)
        relied_on, granted = None, None
        if self.control.is_member():
            if message.grants_nothing:
                relied_on = self.roles.disclaim_previous(now, about.identity())
            granted = self.grant_roles(now, about, message)
        list_age = self.freshness.encode_age(now)
        state = self.own_state(now)  # after the grants, as it reports them
        checksum = self.own_checksum(state)
        is_core_known = message.core_checksum == self.peers.core_checksum()
        rows, change = self.roster_news(message)
        return HeartbeatReply(
            me.incarnation,
            message.number,
            sender,
            relied_on_roles=relied_on,
            granted_roles=granted or None,
            list_age=list_age,
            state=state if message.known_state_checksum != checksum else None,
            state_checksum=checksum,
            core_nodes=None if is_core_known else list(self.peers.core_nodes.values()),
            roster_change=change,
            roster_rows=rows,
        )

    def grant_roles(self, now: float, about: NodeInfo, message: Heartbeat) -> list[int]:
        """Grant leases of the roles that a heartbeat requests, and return the granted ones.

        Grants of roles that its sender no longer requests are withdrawn first, as the sender relies on them no more.
        """
        who, requested = about.identity(), message.requested_roles or []
        granter = self.roles.granter
        granter.withdraw_unrequested(who, requested, message.number)
        if not self.may_grant_leases(message.core_checksum):
            return []
        return [role for role in requested if granter.request(now, str(role), who, message.number)]

    def roster_news(self, message: Heartbeat) -> tuple[list[list[Any]] | None, RosterChange | None]:
        """Return the roster's rows, or their change since the checksum that a heartbeat names.

        At most one of the two is not None.  Both are None where the heartbeat does not ask for the roster, where its
        sender has the same one, or where a core is agreed on and this node is no member of it.
        """
        known = message.roster_checksum
        may_tell = self.control.is_member() or not self.peers.core_agreed
        if known is None or not may_tell or known == self.peers.roster_checksum:
            return None, None
        change = self.peers.roster_table.changes_since(known)
        return (None, change) if change is not None else (self.peers.roster_rows, None)

    def may_grant_leases(self, core_sum: int) -> bool:
        """Return whether this member may grant a lease to a node that names a core by its checksum.

        It may only where that is the core known here, and not while a change of members is accepted but not decided:
        majorities of two cores with one other core between them need not intersect.  Nor may it once a higher lineage
        is known, which supersedes this core.
        """
        pending, state = self.control.acceptor.pending, self.control.state
        moving = pending is not None and state is not None and pending.members != state.members
        return (
            core_sum == self.peers.core_checksum()
            and not moving
            and not self.control.acceptor.is_superseded()
        )

    def on_reply(self, now: float, about: NodeInfo, message: HeartbeatReply, asked_at: float) -> Peer:
        """Record what a reply reports of its sender, and return that peer.

        `asked_at` is when the heartbeat was sent, in seconds.
        """
        peer = self.peers.peer(about)
        peer.on_heard(now)
        peer.knows_me = not message.asks_identity
        if not peer.knows_me or asked_at < peer.latest_request_at:
            # It reported nothing of its sender, or the reply to a later heartbeat came before it.
            return peer
        sent = self.sent[message.number]
        if message.state is None and sent.known_state_checksum != peer.state_checksum:
            # The reply means "no change" to the state known when the heartbeat was sent; another reply has reported
            # a different state since, so this one says nothing about the state known now.
            return peer
        peer.latest_request_at = asked_at
        peer.relied_on_roles = message.relied_on_roles
        if message.state is not None:
            self.apply_state(peer, message.state, message.state_checksum)
        if message.list_age is not None:
            peer.list_read_at = asked_at - message.list_age * AGE_UNIT
        if peer.control_versions is not None:
            self.control.observe_version(about.ip, peer.control_versions[0])
            if max(peer.control_versions) <= self.control.acceptor.version:
                peer.caught_up_at = asked_at
        for role in message.granted_roles or ():
            self.roles.on_granted(role, about.ip, asked_at, about.incarnation)
        self.apply_roster(message)
        if sent.asks_roster and self.peers.holds_membership(about.ip):
            self.peers.roster_confirmed_at = max(self.peers.roster_confirmed_at, asked_at)
        return peer

    def apply_roster(self, message: HeartbeatReply) -> None:
        """Take the roster, or its change, that a reply holds; it holds neither where both nodes have the same one."""
        if message.roster_rows is not None and message.roster_rows != self.peers.roster_rows:
            self.peers.replace_roster(message.roster_rows)
        if message.roster_change is not None:
            self.peers.apply_roster_change(list(message.roster_change))

    def apply_state(self, peer: Peer, state: NodeState, checksum: int) -> None:
        """Record the state that a peer reported, and its checksum."""
        peer.state_checksum = checksum
        self.peers.max_node_count = max(self.peers.max_node_count, state.max_node_count)
        peer.table_versions = state.table_versions
        peer.role_holders = state.role_holders if state.role_holders is not None else {}
        peer.control_versions = state.control_versions
        peer.unresponsive_members = frozenset(state.unresponsive_members or ())
        peer.declined_roles = frozenset(state.declined_roles)
