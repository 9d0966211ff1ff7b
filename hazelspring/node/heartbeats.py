"""Heartbeats and their replies, which carry liveness, the state of each node, and leases on singleton roles.

A heartbeat contains the checksum of the recipient's state that its sender knows.  The reply contains the
state itself only if that checksum differs from the current one.
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

# Seconds between heartbeats inside a region, and between core nodes, which renew leases on roles with them.
NEAR_INTERVAL = 0.4
# Seconds between heartbeats to another region, where bytes are expensive, while enough near core nodes
# answer.
FAR_INTERVAL = 2.0
# Seconds after its start for which an incarnation puts its own `NodeInfo` into each heartbeat reply.
INTRODUCTION_TIME = 3.0
# Seconds after its start in which a core node may not yet have received a heartbeat from every node: the
# longest interval between heartbeats, and a round trip.
ROSTER_SETTLING_TIME = FAR_INTERVAL + 0.5
# Distance between the first heartbeat numbers of two incarnations: more than a node sends in a month.
NUMBERS_PER_INCARNATION = 1 << 24
# Number of heartbeats for which a reply is still accepted: those of about the last half minute.
MAX_REMEMBERED_HEARTBEATS = 512


def incarnation_hash(incarnation: int) -> int:
    """Return the CRC-32 of an incarnation, modulo 1,000,000.

    Two incarnations rarely have the same hash, so their heartbeats rarely have the same numbers.
    """
    return zlib.crc32(incarnation.to_bytes(16, "big")) % 1_000_000


@dataclass(slots=True, frozen=True)
class SentHeartbeat:
    """The data about a heartbeat that is kept until its reply arrives."""

    sent_at: float  # seconds of the steady clock
    known_state_checksum: int  # of the recipient's state, as sent in the heartbeat
    requests_roster: bool = False


class Heartbeats:
    """Makes one node's heartbeats, records the replies to them, and replies to heartbeats of other nodes.

    `started_at` is the time of this node's start.  All times are in seconds of its steady clock.
    """

    def __init__(
        self,
        peers: PeerTable,
        control: ControlReplica,
        roles: SingletonRoles,
        registry: ServerRegistry,
        freshness: ListFreshness,
        started_at: float,
    ) -> None:
        self.peers, self.control, self.roles, self.registry, self.started_at = (
            peers,
            control,
            roles,
            registry,
            started_at,
        )
        self.freshness = freshness
        # Each incarnation numbers its heartbeats from a different start.  So a reply to a heartbeat of an
        # earlier incarnation is recognized by its number, even after a reboot that restarted the steady
        # clock.
        self.last_number = incarnation_hash(peers.me.incarnation) * NUMBERS_PER_INCARNATION
        self.sent: dict[int, SentHeartbeat] = {}  # the latest heartbeats, by number
        # The state for which the checksum was last computed, and that checksum.
        self.cached_state_checksum: tuple[NodeState | None, int] = (None, 0)
        # When the latest heartbeat was sent to each address that has never answered.
        self.last_sent_to_unknown: dict[str, float] = {}

    def own_state(self, now: float) -> NodeState:
        """Return the state that this node reports in heartbeat replies, which seldom changes.

        Only a member of the core reports holders of roles, unresponsive members and declined roles.
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

    def record_sent(self, heartbeat: SentHeartbeat) -> int:
        """Store a heartbeat that is being sent, so that its reply is accepted, and return its number."""
        self.last_number += 1
        self.sent[self.last_number] = heartbeat
        if len(self.sent) > MAX_REMEMBERED_HEARTBEATS:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def request_sent_at(self, number: int) -> float | None:
        """Return when the heartbeat with a number was sent, in seconds.

        Return None if another incarnation sent it, or if it is too old and no longer stored.
        """
        sent = self.sent.get(number)
        return sent.sent_at if sent is not None else None

    def own_checksum(self, state: NodeState) -> int:
        """Return the checksum of this node's own state, computed again only if the state has changed."""
        if state != self.cached_state_checksum[0]:
            self.cached_state_checksum = state, node_state_checksum(state)
        return self.cached_state_checksum[1]

    def last_sent_at(self, ip: str) -> float:
        """Return when a heartbeat was last sent to an address, in seconds; -1e9 if none was."""
        peer = self.peers.peers.get(ip)
        return peer.heartbeat_sent_at if peer is not None else self.last_sent_to_unknown.get(ip, -1e9)

    def is_responsive(self, now: float, ip: str) -> bool:
        """Return whether a core node answers this node's heartbeats.

        A node without a disk may send heartbeats to another region only once per `FAR_INTERVAL`, so the
        latest answer of a core node there may be older by that much.
        """
        extra_age = (
            0.0
            if self.peers.core_nodes[ip].region == self.peers.me.region or self.peers.me.disk_id
            else FAR_INTERVAL
        )
        return self.peers.is_alive(now - extra_age, ip)

    def is_due(self, now: float, ip: str, enough_near: bool) -> bool:
        """Return whether the next heartbeat to a core node is due.

        `enough_near` is True if enough near core nodes answer; otherwise far core nodes get heartbeats as
        often as near ones.
        """
        info, me = self.peers.core_nodes[ip], self.peers.me
        near = info.region == me.region or me.disk_id or not enough_near
        return now - self.last_sent_at(ip) >= (NEAR_INTERVAL if near else FAR_INTERVAL) - 0.01

    def make_heartbeat(self, now: float, ip: str, ready: bool, requested_roles: list[int]) -> Heartbeat:
        """Return a heartbeat to another node, and record that it is being sent.

        Only a member of the core, or a node with a disk before the core is agreed on, requests roles.
        """
        peer, me = self.peers.peers.get(ip), self.peers.me
        if peer is not None:
            peer.heartbeat_sent_at = now
        else:
            self.last_sent_to_unknown[ip] = now
        known = peer.state_checksum if peer is not None else 0
        may_request_roles = self.control.is_member() or (not self.peers.core_agreed and bool(me.disk_id))
        requests_roster = not may_request_roles and self.is_roster_source(now, ip)
        return Heartbeat(
            me.incarnation,
            self.record_sent(SentHeartbeat(now, known, requests_roster)),
            ready,
            self.peers.core_checksum(),
            known,
            sender=me if peer is None or not peer.knows_this_node else None,
            requested_roles=requested_roles if may_request_roles else None,
            is_not_granting_leases=may_request_roles and now < self.roles.granter.grants_from,
            roster_checksum=self.peers.roster_checksum if requests_roster else None,
        )

    def is_roster_source(self, now: float, ip: str) -> bool:
        """Return whether this node requests the roster from another node.

        It does so from one core node only, or from any node while it knows no core node.
        """
        return ip == self.roster_source(now) or not self.peers.core_nodes

    def roster_source(self, now: float) -> str | None:
        """Return the core node to request the roster from; None if there is no other core node.

        It is the nearest core node that answers.  Core nodes that have answered for a while are preferred,
        as one that has just restarted may not yet have received heartbeats from the nodes that send them
        seldom.
        """
        others = self.peers.other_core_nodes()
        responsive = [ip for ip in others if self.is_responsive(now, ip)]
        settled = [
            ip for ip in responsive if now - self.peers.peers[ip].first_message_at > ROSTER_SETTLING_TIME
        ]
        return next(iter(settled or responsive or others), None)

    def sender_of(self, source: str, message: Heartbeat | HeartbeatReply) -> NodeInfo | None:
        """Return the sender of a heartbeat or a reply, as named in it or found by address and incarnation.

        Return None if the message does not name its sender and no known node has that address and
        incarnation.
        """
        if message.sender is not None:
            return message.sender
        for info in self.peers.known_infos(source):
            if info.incarnation == message.incarnation:
                return info
        return None

    def make_reply(self, now: float, info: NodeInfo | None, message: Heartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat.

        If its sender is not known (`info` is None), the reply only requests the sender's identity.
        """
        me = self.peers.me
        introduces = message.sender is not None or now - self.started_at < INTRODUCTION_TIME
        sender = me if introduces else None
        if info is None:
            return HeartbeatReply(me.incarnation, message.number, sender, requests_identity=True)
        relied_on, granted = None, None
        if self.control.is_member():
            if message.is_not_granting_leases:
                relied_on = self.roles.report_relied_on(now, info.identity())
            granted = self.grant_roles(now, info, message)
        list_age = self.freshness.encode_age(now)
        state = self.own_state(now)  # computed after the grants, which it includes
        checksum = self.own_checksum(state)
        is_core_known = message.core_checksum == self.peers.core_checksum()
        rows, change = self.roster_update_for(message)
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

    def grant_roles(self, now: float, info: NodeInfo, message: Heartbeat) -> list[int]:
        """Grant leases on the roles that a heartbeat requests, and return the granted ones.

        Grants of roles that its sender no longer requests are withdrawn first, as the sender no longer
        relies on them.
        """
        identity, requested = info.identity(), message.requested_roles or []
        granter = self.roles.granter
        granter.withdraw_unrequested(identity, requested, message.number)
        if not self.may_grant_leases(message.core_checksum):
            return []
        return [role for role in requested if granter.request(now, str(role), identity, message.number)]

    def roster_update_for(self, message: Heartbeat) -> tuple[list[list[Any]] | None, RosterChange | None]:
        """Return the roster's rows, or their change since the roster whose checksum a heartbeat contains.

        At most one of the two is not None.  Both are None if the heartbeat does not request the roster, if
        its sender has the same roster, or if a core is agreed on and this node is not a member of it.
        """
        known = message.roster_checksum
        may_send_roster = self.control.is_member() or not self.peers.core_agreed
        if known is None or not may_send_roster or known == self.peers.roster_checksum:
            return None, None
        change = self.peers.roster_table.changes_since(known)
        return (None, change) if change is not None else (self.peers.roster_rows, None)

    def may_grant_leases(self, core_checksum: int) -> bool:
        """Return whether this member may grant a lease to a node that reports `core_checksum` for its core.

        It may do so only if that is the core that this member knows.  It may not while a change of members
        is accepted but not decided, as majorities of two cores with one other core between them need not
        intersect.  Nor may it once it knows a higher lineage, which supersedes this core.
        """
        pending, state = self.control.acceptor.pending, self.control.state
        is_changing = pending is not None and state is not None and pending.members != state.members
        return (
            core_checksum == self.peers.core_checksum()
            and not is_changing
            and not self.control.acceptor.is_superseded()
        )

    def on_reply(self, now: float, info: NodeInfo, message: HeartbeatReply, sent_at: float) -> Peer:
        """Record what a reply reports about its sender, and return that peer.

        `sent_at` is when the heartbeat was sent, in seconds.
        """
        peer = self.peers.peer(info)
        peer.on_message_received(now)
        peer.knows_this_node = not message.requests_identity
        if not peer.knows_this_node or sent_at < peer.answered_heartbeat_sent_at:
            # The reply reports nothing about its sender, or the reply to a later heartbeat arrived before
            # this one.
            return peer
        sent = self.sent[message.number]
        if message.state is None and sent.known_state_checksum != peer.state_checksum:
            # The reply means "no change" since the state that was known when the heartbeat was sent.
            # Another reply has reported a different state since then, so this reply does not confirm the
            # state that is known now.
            return peer
        peer.answered_heartbeat_sent_at = sent_at
        peer.relied_on_roles = message.relied_on_roles
        if message.state is not None:
            self.apply_state(peer, message.state, message.state_checksum)
        if message.list_age is not None:
            peer.list_read_at = sent_at - message.list_age * AGE_UNIT
        if peer.control_versions is not None:
            self.control.observe_version(info.ip, peer.control_versions[0])
            if max(peer.control_versions) <= self.control.acceptor.version:
                peer.caught_up_at = sent_at
        for role in message.granted_roles or ():
            self.roles.on_granted(role, info.ip, sent_at, info.incarnation)
        self.apply_roster(message)
        if sent.requests_roster and self.peers.has_member_disk(info.ip):
            self.peers.roster_confirmed_at = max(self.peers.roster_confirmed_at, sent_at)
        return peer

    def apply_roster(self, message: HeartbeatReply) -> None:
        """Apply the roster, or its change, from a reply; it has neither if both nodes have the same one."""
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
