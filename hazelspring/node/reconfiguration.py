"""Proposes changes of the core's members: the bootstrap, disks that join, and members that are lost for good.

It also sees to it that a state left half agreed is brought to its end.
"""

from __future__ import annotations

import math

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import ControlState, Member, lineage
from hazelspring.consensus.proposal import BootstrapProposal, Proposal, ProposalKind
from hazelspring.consensus.proposer import Proposer
from hazelspring.membership.peer import Peer
from hazelspring.membership.peer_table import PeerTable

NEVER = -math.inf

# All in seconds.  Each wait has a stagger, added once for each member (or seed) listed before this node, so that
# nodes that see the same do not propose it at the same time and outbid each other.
BOOTSTRAP_QUIET_TIME = (
    1.5  # without a new node with a disk, at the first start, until the bootstrap is proposed
)
BOOTSTRAP_STAGGER = 0.3
UNDECIDED_TIMEOUT = 0.4  # for which an accepted state may wait for its decision until this node resolves it
UNDECIDED_STAGGER = 0.15
DEAD_TIMEOUT = 2.0  # without a message from a member until it may be retired: a restart takes less
DEAD_STAGGER = 0.3
REJOIN_DELAY = 5.0  # until a retired disk asks to join: what made others take it for dead may still last


class Reconfiguration:
    """Looks at each tick whether this node should propose a change of members.

    Any node may propose one at any time: consensus keeps the state whole, not this class.

    Attributes
    ----------
    pending_since
        When the state that is accepted here, and not known to be decided, was first seen; none where there is none.
    rejoin_at
        The earliest time at which a disk that was retired asks to join.
    member_known_at
        Since when each member is known here as one.
    leaving
        Whether this node is about to end, so that it asks for no membership any more.
    was_member
        Whether this disk has been a member since the process started.
    """

    def __init__(
        self, now: float, peers: PeerTable, acceptor: Acceptor, proposer: Proposer, first_start: bool
    ) -> None:
        """`first_start`: whether the fleet starts for the first time, so that the core is yet to be made."""
        self.peers = peers
        self.acceptor = acceptor
        self.proposer = proposer
        self.first_start = first_start
        self.started_at = now
        self.pending_since: float | None = None
        if acceptor.pending is not None:
            self.pending_since = (
                now - UNDECIDED_TIMEOUT
            )  # it was accepted before the restart: no more waiting
        self.rejoin_at = NEVER
        self.member_known_at: dict[Member, float] = {}
        self.leaving = False
        self.was_member = False

    @property
    def me(self) -> Member:
        """The member that this node with its disk is, or would be, in the core."""
        me = self.peers.me
        return Member(me.ip, me.zone, me.region, self.acceptor.disk_id)

    def tick(self, now: float) -> None:
        """Propose what is due."""
        state = self.acceptor.state
        if state is None:
            return
        is_member = state.version == 0 or state.is_member(self.peers.me.ip, self.acceptor.disk_id)
        self._propose_resolution(now, state, is_member)
        if state.version == 0:
            self._propose_bootstrap(now, state)
        elif is_member:
            self._propose_retirement(now, state)
        else:
            self._propose_join(now)

    def _propose(self, proposal: Proposal) -> None:
        """Submit a proposal, unless one of its kind is under way."""
        if not self.proposer.has_proposal(proposal.kind):
            self.proposer.submit(proposal)

    def _priority(self, state: ControlState) -> int:
        """Return how many members are listed before this node."""
        ips = [member.ip for member in state.members]
        return ips.index(self.peers.me.ip) if self.peers.me.ip in ips else len(ips)

    def _propose_resolution(self, now: float, state: ControlState, is_member: bool) -> None:
        """Have a state resolved that was accepted here some time ago, and of which no decision was heard."""
        if self.acceptor.pending is None or not is_member:
            self.pending_since = None
        elif self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since >= UNDECIDED_TIMEOUT + UNDECIDED_STAGGER * self._priority(state):
            self._propose(Proposal(0, now, ProposalKind.RESOLVE))

    def _propose_bootstrap(self, now: float, state: ControlState) -> None:
        """Propose the nodes with a disk as first members, once no new one has been met for a while."""
        quiet = now - max(self.peers.last_joined_at, self.started_at)
        members = tuple(self.peers.known_disk_nodes())
        if (
            members
            and state.member_at(self.peers.me.ip)
            and quiet > BOOTSTRAP_QUIET_TIME + BOOTSTRAP_STAGGER * self._priority(state)
        ):
            self._propose(BootstrapProposal(0, now, ProposalKind.BOOTSTRAP, members=members))

    def _propose_join(self, now: float) -> None:
        """Ask for membership; at the first start a disk that came after the bootstrap makes the core larger."""
        if not self.acceptor.disk_id or self.leaving or now < self.rejoin_at:
            return
        grows_core = self.first_start and not self.was_member
        self._propose(Proposal(0, now, ProposalKind.JOIN, member=self.me, grows_core=grows_core))

    def _propose_retirement(self, now: float, state: ControlState) -> None:
        """Propose to retire a member that a majority takes for dead, once others have taken its place."""
        if len(state.members) <= state.target_size:
            return
        timeout = DEAD_TIMEOUT + DEAD_STAGGER * self._priority(state)
        majority_silent = [
            member
            for member in self.unresponsive_members(now, state, timeout)
            if self._reports_of_silence(state, member) > len(state.members) // 2
        ]
        if majority_silent:
            longest = min(majority_silent, key=lambda member: (self._last_heard_at(member), member.ip))
            self._propose(Proposal(0, now, ProposalKind.RETIRE, member=longest))

    def _reports_of_silence(self, state: ControlState, member: Member) -> int:
        """Return how many members report that they do not hear a member which is silent here, too."""
        others = [peer for peer in self.other_members(state) if peer.info.ip != member.ip]
        return 1 + sum(member.ip in peer.unresponsive_members for peer in others)

    def other_members(self, state: ControlState) -> list[Peer]:
        """Return those of the other members that were heard from the disk that is the member."""
        peers = [self.peers.peer_of(member) for member in state.members if member.ip != self.peers.me.ip]
        return [peer for peer in peers if peer is not None]

    def unresponsive_members(
        self, now: float, state: ControlState, timeout: float = DEAD_TIMEOUT
    ) -> list[Member]:
        """Return the other members that this node has not heard for longer than `timeout` seconds."""
        me = self.peers.me.ip
        return [
            member
            for member in state.members
            if member.ip != me
            and now - self.peers.last_heard_at(member.ip)
            > timeout  # most were heard: the cheaper check first
            and now - self._last_heard_at(member) > timeout
        ]

    def _last_heard_at(self, member: Member) -> float:
        """Return when a member was last heard, or came to be known as one."""
        return max(self.peers.last_heard_at(member.ip), self.member_known_at.get(member, self.started_at))

    def on_members_changed(self, now: float, previous: ControlState | None) -> None:
        """Take note of new members; a disk that was retired waits before it asks to join again.

        Members that change with the lineage were not retired, as the old core was given up whole.
        """
        state = self.acceptor.state
        assert state is not None
        self.member_known_at = {member: self.member_known_at.get(member, now) for member in state.members}
        me, disk_id = self.peers.me.ip, self.acceptor.disk_id
        is_member = state.is_member(me, disk_id)
        self.was_member = self.was_member or is_member
        if previous is None or lineage(previous.version) != lineage(state.version):
            return
        if previous.is_member(me, disk_id) and not is_member:
            self.rejoin_at = now + REJOIN_DELAY
