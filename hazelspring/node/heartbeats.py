"""Heartbeats and their replies: who is there, what each node holds, grants of roles.

A node's state is told once, and then only by its checksum.
"""

from __future__ import annotations

import zlib
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

NEAR_INTERVAL = (
    0.4  # seconds between heartbeats inside a region, and between core nodes, whose leases live on them
)
FAR_INTERVAL = 2.0  # between regions, where bytes are dear, while the near part of the core answers
INTRODUCTION_TIME = 3.0  # seconds for which a new incarnation says in each reply who it is
NUMBERS_PER_INCARNATION = (
    1 << 24
)  # heartbeats between the numbers of two incarnations: more than one sends in a month
MAX_REMEMBERED_HEARTBEATS = 512  # heartbeats that an answer may still come to: those of the last half minute


def incarnation_hash(incarnation: int) -> int:
    """A number below a million that two incarnations hardly share."""
    return zlib.crc32(incarnation.to_bytes(16, "big")) % 1_000_000


class Heartbeats:
    """Makes the heartbeats of one node, answers those of others, and notes what the answers tell."""

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
        # heartbeats are numbered from a number of this incarnation's own on, so a reply to an earlier incarnation is
        # known by it, also on a machine whose steady clock has begun anew
        self.last_number = incarnation_hash(peers.me.incarnation) * NUMBERS_PER_INCARNATION
        # of the last heartbeats, by number: when each was sent, and the checksum of the recipient's state known then
        self.sent: dict[int, tuple[float, int]] = {}
        self.cached_state_checksum: tuple[NodeState | None, int] = (
            None,
            0,
        )  # the state told last, and its checksum
        self.first_sent: dict[str, float] = {}  # to whom a heartbeat went that has never answered

    def own_state(self, now: float) -> NodeState:
        """Return what others want to know of this node, and what seldom changes."""
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

    def next_number(self, now: float, known: int) -> int:
        """The number of a heartbeat that goes out now; `known`: the checksum that it names."""
        self.last_number += 1
        self.sent[self.last_number] = (now, known)
        if len(self.sent) > MAX_REMEMBERED_HEARTBEATS:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def request_sent_at(self, number: int) -> float | None:
        """When the heartbeat of a number was sent; None where it was not this incarnation that sent it, or long ago."""
        sent = self.sent.get(number)
        return sent[0] if sent is not None else None

    def own_checksum(self, state: NodeState) -> int:
        """Return the checksum of this node's own state, worked out anew where that has changed."""
        if state != self.cached_state_checksum[0]:
            self.cached_state_checksum = state, node_state_checksum(state)
        return self.cached_state_checksum[1]

    def last_sent_at(self, ip: str) -> float:
        """Return when a heartbeat last went to a node."""
        peer = self.peers.peers.get(ip)
        return peer.heartbeat_sent_at if peer is not None else self.first_sent.get(ip, -1e9)

    def is_responsive(self, now: float, ip: str) -> bool:
        """Whether a core node answers what this one asks it, however seldom that is."""
        seldom = (
            0.0
            if self.peers.core_nodes[ip].region == self.peers.me.region or self.peers.me.disk_id
            else FAR_INTERVAL
        )
        return self.peers.is_alive(now - seldom, ip)

    def is_due(self, now: float, ip: str, enough: bool) -> bool:
        """Whether a core node is to be asked again; `enough`: near answers tell all that is needed."""
        about, me = self.peers.core_nodes[ip], self.peers.me
        near = about.region == me.region or me.disk_id or not enough
        return now - self.last_sent_at(ip) >= (NEAR_INTERVAL if near else FAR_INTERVAL) - 0.01

    def make_heartbeat(self, now: float, ip: str, ready: bool, requested_roles: list[int]) -> Heartbeat:
        """Return a heartbeat to another node."""
        peer, me = self.peers.peers.get(ip), self.peers.me
        if peer is not None:
            peer.heartbeat_sent_at = now
        else:
            self.first_sent[ip] = now
        known = peer.state_checksum if peer is not None else 0
        takes_roles = self.control.is_member() or (not self.peers.core_agreed and bool(me.disk_id))
        wants_roster = not takes_roles and self.is_roster_source(ip)
        return Heartbeat(
            me.incarnation,
            self.next_number(now, known),
            ready,
            self.peers.core_checksum(),
            known,
            sender=me if peer is None or not peer.knows_me else None,
            requested_roles=requested_roles if takes_roles else None,
            grants_nothing=takes_roles and now < self.roles.granter.silent_until,
            roster_checksum=self.peers.roster_checksum if wants_roster else None,
        )

    def is_roster_source(self, ip: str) -> bool:
        """Return whether this node takes the roster from another one: the nearest of the core."""
        return ip == next(iter(self.peers.other_core_nodes()), None) or not self.peers.core_nodes

    def sender_of(self, source: str, message: Heartbeat | HeartbeatReply) -> NodeInfo | None:
        """Return who sent a heartbeat or a reply, as it says or as is known."""
        if message.sender is not None:
            return message.sender
        for about in self.peers.known_infos(source):
            if about.incarnation == message.incarnation:
                return about
        return None

    def make_reply(self, now: float, about: NodeInfo | None, message: Heartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat; its sender is asked who it is where that is not known."""
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
        state = self.own_state(now)  # after the grants, which it tells of
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
        """Grant leases of the roles that a heartbeat requests; those that it no longer requests are given up."""
        who, requested = about.identity(), message.requested_roles or []
        granter = self.roles.granter
        granter.withdraw_unrequested(who, requested, message.number)
        if not self.may_grant_leases(message.core_checksum):
            return []
        return [role for role in requested if granter.request(now, str(role), who, message.number)]

    def roster_news(self, message: Heartbeat) -> tuple[list[list[Any]] | None, RosterChange | None]:
        """Return the roster's rows, or what has changed of them, where a heartbeat asks for either."""
        known = message.roster_checksum
        may_tell = self.control.is_member() or not self.peers.core_agreed
        if known is None or not may_tell or known == self.peers.roster_checksum:
            return None, None
        change = self.peers.roster_table.changes_since(known)
        return (None, change) if change is not None else (self.peers.roster_rows, None)

    def may_grant_leases(self, core_sum: int) -> bool:
        """Whether a member may promise a role to one that names this core: not while its members are changing, as
        majorities of two cores that follow each other but one need not meet; nor once this one is known to be over.
        """
        pending, state = self.control.acceptor.pending, self.control.state
        moving = pending is not None and state is not None and pending.members != state.members
        return (
            core_sum == self.peers.core_checksum()
            and not moving
            and not self.control.acceptor.is_superseded()
        )

    def on_reply(self, now: float, about: NodeInfo, message: HeartbeatReply, asked_at: float) -> Peer:
        """Note what a reply tells of its sender; `asked_at` is when the heartbeat was sent."""
        peer = self.peers.peer(about)
        peer.heard_at = now
        peer.knows_me = not message.asks_identity
        if not peer.knows_me or asked_at < peer.latest_request_at:
            return peer  # it told nothing of itself, or what an answer that has come before it has overtaken
        if message.state is None and self.sent[message.number][1] != peer.state_checksum:
            return peer  # nothing new to what was known then; since then another answer has told what is not that
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
        if message.roster_rows is not None and message.roster_rows != self.peers.roster_rows:
            self.peers.replace_roster(message.roster_rows)
        if message.roster_change is not None:
            self.peers.apply_roster_change(list(message.roster_change))
        return peer

    def apply_state(self, peer: Peer, state: NodeState, checksum: int) -> None:
        """Note the state that a peer told."""
        peer.state_checksum = checksum
        self.peers.max_node_count = max(self.peers.max_node_count, state.max_node_count)
        peer.table_versions = state.table_versions
        peer.role_holders = state.role_holders if state.role_holders is not None else {}
        peer.control_versions = state.control_versions
        peer.unresponsive_members = frozenset(state.unresponsive_members or ())
        peer.declined_roles = frozenset(state.declined_roles)
