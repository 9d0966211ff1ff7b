"""Who sits in the core: the founding, disks that join, members that are lost for good, states left half agreed."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import ControlState, Member, lineage
from hazelspring.consensus.proposal import BootstrapProposal, Proposal, ProposalKind
from hazelspring.consensus.proposer import Proposer
from hazelspring.membership.peer_table import Peer, PeerTable

BOOTSTRAP_QUIET_TIME = (
    1.5  # seconds without a new door with a disk, at the first start, before the founding is proposed,
)
BOOTSTRAP_STAGGER = (
    0.3  # and seconds more for each seed before this one, so that they don't outbid each other
)
UNDECIDED_TIMEOUT = (
    0.4  # seconds that an accepted state may wait for its decision before this door sees to it,
)
UNDECIDED_STAGGER = 0.15  # and more for each member before this one
DEAD_TIMEOUT = 2.0  # seconds without a word from a member before it may be retired: a restart takes less,
DEAD_STAGGER = 0.3  # and more for each member before this one
REJOIN_DELAY = (
    5.0  # seconds until a retired disk asks to join: what made others take it for dead may still last
)


class Reconfiguration:
    """Looks at each tick whether this door should propose a change of members.  Any door may do so at any time:
    what keeps the state whole is the agreement, not this."""

    def __init__(
        self, now: float, peers: PeerTable, register: Acceptor, orders: Proposer, first: bool
    ) -> None:
        self.peers, self.acceptor, self.proposer, self.first_start, self.started_at = (
            peers,
            register,
            orders,
            first,
            now,
        )
        self.pending_since: float | None = now - UNDECIDED_TIMEOUT if register.pending is not None else None
        self.rejoin_at = -1e9
        self.member_known_at: dict[Member, float] = {}  # since when a member is known here
        self.leaving = False
        self.was_member = False

    @property
    def me(self) -> Member:
        me = self.peers.me
        return Member(me.ip, me.zone, me.region, self.acceptor.disk_id)

    def tick(self, now: float) -> None:
        state = self.acceptor.state
        if state is None:
            return
        seated = state.version == 0 or state.is_member(self.peers.me.ip, self.acceptor.disk_id)
        if self.acceptor.pending is None or not seated:
            self.pending_since = None
        elif self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since >= UNDECIDED_TIMEOUT + UNDECIDED_STAGGER * self.priority(state):
            self.propose(Proposal(0, now, ProposalKind.RESOLVE))
        if state.version == 0:
            self.propose_bootstrap(now, state)
        elif not seated:
            if self.acceptor.disk_id and not self.leaving and now >= self.rejoin_at:
                grows = self.first_start and not self.was_member
                self.propose(Proposal(0, now, ProposalKind.JOIN, member=self.me, grows_core=grows))
        else:
            self.propose_retirement(now, state)

    def propose(self, order: Proposal) -> None:
        if not self.proposer.has_proposal(order.kind):
            self.proposer.submit(order)

    def priority(self, state: ControlState) -> int:
        """How many members come before this door."""
        ips = [member.ip for member in state.members]
        return ips.index(self.peers.me.ip) if self.peers.me.ip in ips else len(ips)

    def propose_bootstrap(self, now: float, state: ControlState) -> None:
        """At the first start: once no new disk has been met for a while, the seeds agree on those known by then."""
        quiet = now - max(self.peers.last_joined_at, self.started_at)
        members = tuple(self.peers.known_disk_nodes())
        if (
            members
            and state.member_at(self.peers.me.ip)
            and quiet > BOOTSTRAP_QUIET_TIME + BOOTSTRAP_STAGGER * self.priority(state)
        ):
            self.propose(BootstrapProposal(0, now, ProposalKind.BOOTSTRAP, members=members))

    def propose_retirement(self, now: float, state: ControlState) -> None:
        """A member that most others take for silent, too, leaves the core as soon as there are enough of them."""
        if len(state.members) <= state.target_size:
            return
        silent = self.unresponsive_members(now, state, DEAD_TIMEOUT + DEAD_STAGGER * self.priority(state))
        say_so = {
            m: 1 + sum(m.ip in p.unresponsive_members for p in self.other_members(state) if p.info.ip != m.ip)
            for m in silent
        }
        dead = [member for member in silent if say_so[member] > len(state.members) // 2]
        if dead:
            first = min(dead, key=lambda member: (self.last_heard_at(member), member.ip))
            self.propose(Proposal(0, now, ProposalKind.RETIRE, member=first))

    def other_members(self, state: ControlState) -> list[Peer]:
        """Of the other members those that were heard from the disk that is seated."""
        found = [self.peers.peer_of(member) for member in state.members if member.ip != self.peers.me.ip]
        return [peer for peer in found if peer is not None]

    def unresponsive_members(
        self, now: float, state: ControlState, long: float = DEAD_TIMEOUT
    ) -> list[Member]:
        """Members that this door has not heard for so long."""
        me = self.peers.me.ip
        return [
            member
            for member in state.members
            if member.ip != me
            and now - self.peers.last_heard_at(member.ip)
            > long  # most were heard, and this is the cheaper look
            and now - self.last_heard_at(member) > long
        ]

    def last_heard_at(self, member: Member) -> float:
        """When a member was last heard, or came to be known."""
        return max(self.peers.last_heard_at(member.ip), self.member_known_at.get(member, self.started_at))

    def on_members_changed(self, now: float, before: ControlState | None) -> None:
        """Members have changed: a disk that was retired waits before it joins anew."""
        state = self.acceptor.state
        assert state is not None
        self.member_known_at = {member: self.member_known_at.get(member, now) for member in state.members}
        me, disk = self.peers.me.ip, self.acceptor.disk_id
        self.was_member = self.was_member or state.is_member(me, disk)
        retired = before is not None and before.is_member(me, disk) and not state.is_member(me, disk)
        if retired and before is not None and lineage(before.version) == lineage(state.version):
            self.rejoin_at = now + REJOIN_DELAY
