"""Who sits in the core: the founding, disks that join, members that are lost for good, states left half agreed."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Register
from hazelspring.consensus.control_state import Member, State, lineage
from hazelspring.consensus.proposal import Founding, Order
from hazelspring.consensus.proposer import Orders
from hazelspring.membership.peer_table import Peer, Peers

QUIET = 1.5  # seconds without a new door with a disk, at the first start, before the founding is proposed,
TURN = 0.3  # and seconds more for each seed before this one, so that they don't outbid each other
HALF = 0.4  # seconds that an accepted state may wait for its decision before this door sees to it,
TURN_HALF = 0.15  # and more for each member before this one
DEAD = 2.0  # seconds without a word from a member before it may be retired: a restart takes less,
TURN_DEAD = 0.3  # and more for each member before this one
REJOIN = 5.0  # seconds until a retired disk asks to join: what made others take it for dead may still last


class Membership:
    """Looks at each tick whether this door should propose a change of members.  Any door may do so at any time:
    what keeps the state whole is the agreement, not this."""

    def __init__(self, now: float, peers: Peers, register: Register, orders: Orders, first: bool) -> None:
        self.peers, self.register, self.orders, self.first, self.began = peers, register, orders, first, now
        self.pending_since: float | None = now - HALF if register.pending is not None else None
        self.rejoin_at = -1e9
        self.known_at: dict[Member, float] = {}  # since when a member is known here
        self.leaving = False
        self.was_seated = False

    @property
    def me(self) -> Member:
        me = self.peers.me
        return Member(me.ip, me.zone, me.region, self.register.disk)

    def tick(self, now: float) -> None:
        state = self.register.state
        if state is None:
            return
        seated = state.version == 0 or state.seated(self.peers.me.ip, self.register.disk)
        if self.register.pending is None or not seated:
            self.pending_since = None
        elif self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since >= HALF + TURN_HALF * self.turn(state):
            self.propose(Order(0, now, "settle"))
        if state.version == 0:
            self.found(now, state)
        elif not seated:
            if self.register.disk and not self.leaving and now >= self.rejoin_at:
                grows = self.first and not self.was_seated
                self.propose(Order(0, now, "join", member=self.me, grows=grows))
        else:
            self.retire(now, state)

    def propose(self, order: Order) -> None:
        if not self.orders.has(order.kind):
            self.orders.begin(order)

    def turn(self, state: State) -> int:
        """How many members come before this door."""
        ips = [member.ip for member in state.members]
        return ips.index(self.peers.me.ip) if self.peers.me.ip in ips else len(ips)

    def found(self, now: float, state: State) -> None:
        """At the first start: once no new disk has been met for a while, the seeds agree on those known by then."""
        quiet = now - max(self.peers.grown_at, self.began)
        members = tuple(self.peers.met())
        if members and state.seat(self.peers.me.ip) and quiet > QUIET + TURN * self.turn(state):
            self.propose(Founding(0, now, "found", members=members))

    def retire(self, now: float, state: State) -> None:
        """A member that most others take for silent, too, leaves the core as soon as there are enough of them."""
        if len(state.members) <= state.size:
            return
        silent = self.silent(now, state, DEAD + TURN_DEAD * self.turn(state))
        say_so = {
            m: 1 + sum(m.ip in p.silent for p in self.others(state) if p.about.ip != m.ip) for m in silent
        }
        dead = [member for member in silent if say_so[member] > len(state.members) // 2]
        if dead:
            first = min(dead, key=lambda member: (self.heard_at(member), member.ip))
            self.propose(Order(0, now, "retire", member=first))

    def others(self, state: State) -> list[Peer]:
        """Of the other members those that were heard from the disk that is seated."""
        found = [self.peers.at(member) for member in state.members if member.ip != self.peers.me.ip]
        return [peer for peer in found if peer is not None]

    def silent(self, now: float, state: State, long: float = DEAD) -> list[Member]:
        """Members that this door has not heard for so long."""
        me = self.peers.me.ip
        return [
            member
            for member in state.members
            if member.ip != me
            and now - self.peers.heard_at(member.ip) > long  # most were heard, and this is the cheaper look
            and now - self.heard_at(member) > long
        ]

    def heard_at(self, member: Member) -> float:
        """When a member was last heard, or came to be known."""
        return max(self.peers.heard_at(member.ip), self.known_at.get(member, self.began))

    def changed(self, now: float, before: State | None) -> None:
        """Members have changed: a disk that was retired waits before it joins anew."""
        state = self.register.state
        assert state is not None
        self.known_at = {member: self.known_at.get(member, now) for member in state.members}
        me, disk = self.peers.me.ip, self.register.disk
        self.was_seated = self.was_seated or state.seated(me, disk)
        retired = before is not None and before.seated(me, disk) and not state.seated(me, disk)
        if retired and before is not None and lineage(before.version) == lineage(state.version):
            self.rejoin_at = now + REJOIN
