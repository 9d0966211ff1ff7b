"""Beats and their echoes: who is there, what each holds, grants of duties; told once, then only by its sum."""

from __future__ import annotations

import zlib
from typing import Any

from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.peer_table import NodeInfo, Peer, PeerTable
from hazelspring.node.actions import Message
from hazelspring.node.control_replica import ControlReplica
from hazelspring.registry.list_freshness import AGE_UNIT, ListFreshness
from hazelspring.registry.tables import ServerRegistry

NEAR_INTERVAL = (
    0.4  # seconds between beats inside a region, and between core doors, whose leases live on them
)
FAR_INTERVAL = 2.0  # between regions, where bytes are dear, while the near part of the core answers
INTRODUCTION_TIME = 3.0  # seconds for which a new life says in each echo who it is
NUMBERS_PER_INCARNATION = 1 << 24  # beats between the numbers of two lives: more than one sends in a month
MAX_REMEMBERED_HEARTBEATS = 512  # beats that an answer may still come to: those of the last half minute


def incarnation_hash(life: int) -> int:
    """A number below a million that two lives hardly share."""
    return zlib.crc32(life.to_bytes(16, "big")) % 1_000_000


class Heartbeats:
    """Makes the beats of one door, answers those of others, and notes what the answers tell."""

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
        # beats are numbered from a number of this life's own on, so an answer to an earlier life is known by it, also
        # on a machine whose steady clock has begun anew
        self.last_number = incarnation_hash(peers.me.incarnation) * NUMBERS_PER_INCARNATION
        # of the last beats, by number: when each was sent, and the sum of what was known then of whom it went to
        self.sent: dict[int, tuple[float, int]] = {}
        self.cached_state_checksum: tuple[dict[str, Any], int] = ({}, 0)  # the state told last, and its sum
        self.first_sent: dict[str, float] = {}  # to whom a beat went that has never answered

    def own_state(self, now: float) -> dict[str, Any]:
        """What others want to know of this door, and what seldom changes."""
        told: dict[str, Any] = {"n": self.registry.versions(), "m": {"doors": self.peers.max_node_count}}
        told["h"] = dict(zip(("v", "p"), self.control.control_versions(), strict=True))
        if self.control.is_member():
            told["d"] = self.roles.reported_holders(now)
            told["q"] = self.control.unresponsive_members(now)
            if declining := self.roles.declined_roles(now):
                told["o"] = dict.fromkeys(declining, 1)
        return told

    def next_number(self, now: float, known: int) -> int:
        """The number of a beat that goes out now; `known`: the sum that it names."""
        self.last_number += 1
        self.sent[self.last_number] = (now, known)
        if len(self.sent) > MAX_REMEMBERED_HEARTBEATS:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def request_sent_at(self, number: int) -> float | None:
        """When the beat of a number was sent; None where it was not this life that sent it, or long ago."""
        sent = self.sent.get(number)
        return sent[0] if sent is not None else None

    @staticmethod
    def checksum_of(state: dict[str, Any]) -> int:
        return zlib.crc32(repr(sorted((k, sorted(v.items())) for k, v in state.items())).encode())

    def own_checksum(self, state: dict[str, Any]) -> int:
        """The sum of this door's own state, worked out anew where that has changed."""
        if state != self.cached_state_checksum[0]:
            self.cached_state_checksum = state, self.checksum_of(state)
        return self.cached_state_checksum[1]

    def last_sent_at(self, ip: str) -> float:
        peer = self.peers.peers.get(ip)
        return peer.heartbeat_sent_at if peer is not None else self.first_sent.get(ip, -1e9)

    def is_responsive(self, now: float, ip: str) -> bool:
        """Whether a core door answers what this one asks it, however seldom that is."""
        seldom = (
            0.0
            if self.peers.core_nodes[ip].region == self.peers.me.region or self.peers.me.disk_id
            else FAR_INTERVAL
        )
        return self.peers.is_alive(now - seldom, ip)

    def is_due(self, now: float, ip: str, enough: bool) -> bool:
        """Whether a core door is to be asked again; `enough`: near voices tell all that is needed."""
        about, me = self.peers.core_nodes[ip], self.peers.me
        near = about.region == me.region or me.disk_id or not enough
        return now - self.last_sent_at(ip) >= (NEAR_INTERVAL if near else FAR_INTERVAL) - 0.01

    def make_heartbeat(self, now: float, ip: str, ready: bool, wants: list[int]) -> Message:
        """A beat to another door."""
        peer, me = self.peers.peers.get(ip), self.peers.me
        if peer is not None:
            peer.heartbeat_sent_at = now
        else:
            self.first_sent[ip] = now
        known = peer.state_checksum if peer is not None else 0
        message: Message = {
            "k": "beat",
            "l": me.incarnation,
            "t": self.next_number(now, known),
            "r": ready,
            "c": self.peers.core_checksum(),
        }
        message["x"] = known
        if peer is None or not peer.knows_me:
            message["a"] = me.encode()
        if self.control.is_member() or (not self.peers.core_agreed and me.disk_id):
            message["w"] = wants
            if now < self.roles.granter.silent_until:
                message["q"] = 1
        elif ip == next(iter(self.peers.other_core_nodes()), None) or not self.peers.core_nodes:
            message["s"] = self.peers.roster_checksum
        return message

    def sender_of(self, source: str, message: Message) -> NodeInfo | None:
        """Who sent a beat or an echo, as it says or as is known."""
        if "a" in message:
            return NodeInfo(*message["a"])
        for about in self.peers.known_infos(source):
            if about.incarnation == message["l"]:
                return about
        return None

    def make_reply(self, now: float, about: NodeInfo | None, message: Message) -> Message:
        """The echo to a beat; the beat's sender is asked who it is where that is not known."""
        me = self.peers.me
        echo: Message = {"k": "echo", "l": me.incarnation, "t": message["t"]}
        if "a" in message or now - self.started_at < INTRODUCTION_TIME:
            echo["a"] = me.encode()
        if about is None:
            echo["y"] = 1
            return echo
        seated = self.control.is_member()
        if seated:
            if "q" in message:
                echo["p"] = self.roles.disclaim_previous(now, (about.ip, about.incarnation))
            who = (about.ip, about.incarnation)
            wants, asked = message.get("w", []), message["t"]
            self.roles.granter.withdraw_unrequested(who, wants, asked)
            if not self.may_grant_leases(message["c"]):
                wants = []
            granted = [role for role in wants if self.roles.granter.request(now, str(role), who, asked)]
            if granted:
                echo["g"] = granted
        if (age := self.freshness.encode_age(now)) is not None:
            echo["f"] = age
        state = self.own_state(now)  # after the grants, which it tells of
        if message["x"] != self.own_checksum(state):
            echo["z"] = state
        if message["c"] != self.peers.core_checksum():
            echo["c"] = [member.encode() for member in self.peers.core_nodes.values()]
        if (
            "s" in message
            and (seated or not self.peers.core_agreed)
            and message["s"] != self.peers.roster_checksum
        ):
            if (change := self.peers.roster_table.changes_since(message["s"])) is not None:
                echo["e"] = change
            else:
                echo["s"] = self.peers.roster_rows
        return echo

    def may_grant_leases(self, core_sum: int) -> bool:
        """Whether a member may promise a duty to one that names this core: not while its members are changing, as
        majorities of two cores that follow each other but one need not meet; nor once this one is known to be over."""
        pending, state = self.control.acceptor.pending, self.control.state
        moving = pending is not None and state is not None and pending.members != state.members
        return (
            core_sum == self.peers.core_checksum()
            and not moving
            and not self.control.acceptor.is_superseded()
        )

    def on_reply(self, now: float, about: NodeInfo, message: Message, asked_at: float) -> Peer:
        """What an echo tells of its sender; `asked_at` is when its beat was sent."""
        peer = self.peers.peer(about)
        peer.heard_at = now
        peer.knows_me = "y" not in message
        if not peer.knows_me or asked_at < peer.latest_request_at:
            return peer  # it told nothing of itself, or what an answer that has come before it has overtaken
        if "z" not in message and self.sent[message["t"]][1] != peer.state_checksum:
            return peer  # nothing new to what was known then; since then another answer has told what is not that
        peer.latest_request_at = asked_at
        peer.relied_on_roles = message.get("p")
        if (state := message.get("z")) is not None:
            peer.state_checksum = self.checksum_of(state)
            self.peers.max_node_count = max(self.peers.max_node_count, state["m"]["doors"])
            peer.table_versions, peer.role_holders = state["n"], state.get("d", {})
            peer.control_versions = (state["h"]["v"], state["h"]["p"])
            peer.unresponsive_members = frozenset(state.get("q", ()))
            peer.declined_roles = frozenset(state.get("o", ()))
        if (age := message.get("f")) is not None:
            peer.list_read_at = asked_at - age * AGE_UNIT
        if peer.control_versions is not None:
            self.control.observe_version(about.ip, peer.control_versions[0])
            if max(peer.control_versions) <= self.control.acceptor.version:
                peer.caught_up_at = asked_at
        for role in message.get("g", ()):
            self.roles.on_granted(role, about.ip, asked_at, about.incarnation)
        if "s" in message and message["s"] != self.peers.roster_rows:
            self.peers.replace_roster(message["s"])
        if "e" in message:
            self.peers.apply_roster_change(message["e"])
        return peer
