"""Beats and their echoes: who is there, what each holds, grants of duties; told once, then only by its sum."""

from __future__ import annotations

import zlib
from typing import Any

from hazelspring.leases.singleton_roles import Duties
from hazelspring.membership.peer_table import About, Peer, Peers
from hazelspring.node.actions import Message
from hazelspring.node.control_replica import Control
from hazelspring.registry.list_freshness import UNIT, ListFreshness
from hazelspring.registry.tables import ServerRegistry

NEAR_BEAT = 0.4  # seconds between beats inside a region, and between core doors, whose leases live on them
FAR_BEAT = 2.0  # between regions, where bytes are dear, while the near part of the core answers
YOUNG = 3.0  # seconds for which a new life says in each echo who it is
APART = 1 << 24  # beats between the numbers of two lives: more than one sends in a month
MOST_SENT = 512  # beats that an answer may still come to: those of the last half minute


def hash_of(life: int) -> int:
    """A number below a million that two lives hardly share."""
    return zlib.crc32(life.to_bytes(16, "big")) % 1_000_000


class Beats:
    """Makes the beats of one door, answers those of others, and notes what the answers tell."""

    def __init__(
        self,
        peers: Peers,
        control: Control,
        duties: Duties,
        news: ServerRegistry,
        freshness: ListFreshness,
        began: float,
    ) -> None:
        self.peers, self.control, self.duties, self.registry, self.began = peers, control, duties, news, began
        self.freshness = freshness
        # beats are numbered from a number of this life's own on, so an answer to an earlier life is known by it, also
        # on a machine whose steady clock has begun anew
        self.count = hash_of(peers.me.life) * APART
        # of the last beats, by number: when each was sent, and the sum of what was known then of whom it went to
        self.sent: dict[int, tuple[float, int]] = {}
        self.summed: tuple[dict[str, Any], int] = ({}, 0)  # the state told last, and its sum
        self.first_sent: dict[str, float] = {}  # to whom a beat went that has never answered

    def state(self, now: float) -> dict[str, Any]:
        """What others want to know of this door, and what seldom changes."""
        told: dict[str, Any] = {"n": self.registry.versions(), "m": {"doors": self.peers.most_doors}}
        told["h"] = dict(zip(("v", "p"), self.control.held(), strict=True))
        if self.control.seated():
            told["d"] = self.duties.told(now)
            told["q"] = self.control.silent(now)
            if declining := self.duties.declining(now):
                told["o"] = dict.fromkeys(declining, 1)
        return told

    def number(self, now: float, known: int) -> int:
        """The number of a beat that goes out now; `known`: the sum that it names."""
        self.count += 1
        self.sent[self.count] = (now, known)
        if len(self.sent) > MOST_SENT:
            del self.sent[next(iter(self.sent))]
        return self.count

    def asked_at(self, number: int) -> float | None:
        """When the beat of a number was sent; None where it was not this life that sent it, or long ago."""
        sent = self.sent.get(number)
        return sent[0] if sent is not None else None

    @staticmethod
    def sum_of(state: dict[str, Any]) -> int:
        return zlib.crc32(repr(sorted((k, sorted(v.items())) for k, v in state.items())).encode())

    def own_sum(self, state: dict[str, Any]) -> int:
        """The sum of this door's own state, worked out anew where that has changed."""
        if state != self.summed[0]:
            self.summed = state, self.sum_of(state)
        return self.summed[1]

    def sent_at(self, ip: str) -> float:
        peer = self.peers.peers.get(ip)
        return peer.sent_at if peer is not None else self.first_sent.get(ip, -1e9)

    def answers(self, now: float, ip: str) -> bool:
        """Whether a core door answers what this one asks it, however seldom that is."""
        seldom = 0.0 if self.peers.core[ip].region == self.peers.me.region or self.peers.me.disk else FAR_BEAT
        return self.peers.alive(now - seldom, ip)

    def due(self, now: float, ip: str, enough: bool) -> bool:
        """Whether a core door is to be asked again; `enough`: near voices tell all that is needed."""
        about, me = self.peers.core[ip], self.peers.me
        near = about.region == me.region or me.disk or not enough
        return now - self.sent_at(ip) >= (NEAR_BEAT if near else FAR_BEAT) - 0.01

    def beat(self, now: float, ip: str, ready: bool, wants: list[int]) -> Message:
        """A beat to another door."""
        peer, me = self.peers.peers.get(ip), self.peers.me
        if peer is not None:
            peer.sent_at = now
        else:
            self.first_sent[ip] = now
        known = peer.state_sum if peer is not None else 0
        message: Message = {
            "k": "beat",
            "l": me.life,
            "t": self.number(now, known),
            "r": ready,
            "c": self.peers.core_sum(),
        }
        message["x"] = known
        if peer is None or not peer.knows_me:
            message["a"] = me.row()
        if self.control.seated() or (not self.peers.seated and me.disk):
            message["w"] = wants
            if now < self.duties.granter.silent_until:
                message["q"] = 1
        elif ip == next(iter(self.peers.others()), None) or not self.peers.core:
            message["s"] = self.peers.roster_sum
        return message

    def who(self, source: str, message: Message) -> About | None:
        """Who sent a beat or an echo, as it says or as is known."""
        if "a" in message:
            return About(*message["a"])
        for about in self.peers.named(source):
            if about.life == message["l"]:
                return about
        return None

    def answer(self, now: float, about: About | None, message: Message) -> Message:
        """The echo to a beat; the beat's sender is asked who it is where that is not known."""
        me = self.peers.me
        echo: Message = {"k": "echo", "l": me.life, "t": message["t"]}
        if "a" in message or now - self.began < YOUNG:
            echo["a"] = me.row()
        if about is None:
            echo["y"] = 1
            return echo
        seated = self.control.seated()
        if seated:
            if "q" in message:
                echo["p"] = self.duties.counts_on(now, (about.ip, about.life))
            who = (about.ip, about.life)
            wants, asked = message.get("w", []), message["t"]
            self.duties.granter.unasked(who, wants, asked)
            if not self.may_grant(message["c"]):
                wants = []
            granted = [duty for duty in wants if self.duties.granter.ask(now, str(duty), who, asked)]
            if granted:
                echo["g"] = granted
        if (age := self.freshness.tell(now)) is not None:
            echo["f"] = age
        state = self.state(now)  # after the grants, which it tells of
        if message["x"] != self.own_sum(state):
            echo["z"] = state
        if message["c"] != self.peers.core_sum():
            echo["c"] = [member.row() for member in self.peers.core.values()]
        if "s" in message and (seated or not self.peers.seated) and message["s"] != self.peers.roster_sum:
            if (change := self.peers.directory.since(message["s"])) is not None:
                echo["e"] = change
            else:
                echo["s"] = self.peers.roster
        return echo

    def may_grant(self, core_sum: int) -> bool:
        """Whether a member may promise a duty to one that names this core: not while its members are changing, as
        majorities of two cores that follow each other but one need not meet; nor once this one is known to be over."""
        pending, state = self.control.register.pending, self.control.state
        moving = pending is not None and state is not None and pending.members != state.members
        return core_sum == self.peers.core_sum() and not moving and not self.control.register.fenced()

    def take(self, now: float, about: About, message: Message, asked_at: float) -> Peer:
        """What an echo tells of its sender; `asked_at` is when its beat was sent."""
        peer = self.peers.peer(about)
        peer.heard_at = now
        peer.knows_me = "y" not in message
        if not peer.knows_me or asked_at < peer.asked_at:
            return peer  # it told nothing of itself, or what an answer that has come before it has overtaken
        if "z" not in message and self.sent[message["t"]][1] != peer.state_sum:
            return peer  # nothing new to what was known then; since then another answer has told what is not that
        peer.asked_at = asked_at
        peer.counts_on = message.get("p")
        if (state := message.get("z")) is not None:
            peer.state_sum = self.sum_of(state)
            self.peers.most_doors = max(self.peers.most_doors, state["m"]["doors"])
            peer.table_versions, peer.holders = state["n"], state.get("d", {})
            peer.held = (state["h"]["v"], state["h"]["p"])
            peer.silent = frozenset(state.get("q", ()))
            peer.declines = frozenset(state.get("o", ()))
        if (age := message.get("f")) is not None:
            peer.list_read_at = asked_at - age * UNIT
        if peer.held is not None:
            self.control.told_of(about.ip, peer.held[0])
            if max(peer.held) <= self.control.register.version:
                peer.clean_at = asked_at
        for duty in message.get("g", ()):
            self.duties.granted(duty, about.ip, asked_at, about.life)
        if "s" in message and message["s"] != self.peers.roster:
            self.peers.take_roster(message["s"])
        if "e" in message:
            self.peers.follow_roster(message["e"])
        return peer
