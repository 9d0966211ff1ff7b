"""Proposes changes of the core's members: the bootstrap, joining disks, and retirement of lost members.

It also proposes to resolve a state that was accepted but whose decision did not arrive.
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

# All times are in seconds.  Each wait is extended by its stagger once for each member (or seed) listed
# before this node, so that nodes that observe the same condition do not propose at the same time and reject
# each other's rounds with ever higher ballots.

# Time since a new node with a disk last appeared, at the first start, until the bootstrap is proposed.
BOOTSTRAP_QUIET_TIME = 1.5
BOOTSTRAP_STAGGER = 0.3
UNDECIDED_TIMEOUT = 0.4  # from the acceptance of a state without a decision until this node resolves it
UNDECIDED_STAGGER = 0.15
DEAD_TIMEOUT = 2.0  # without a message from a member until it may be retired; a restart takes less time
DEAD_STAGGER = 0.3
REJOIN_DELAY = 5.0  # until a retired disk proposes to join; the cause of its retirement may still persist


class Reconfiguration:
    """Checks at each tick whether this node should propose a change of members.

    Any node may propose one at any time: the consensus protocol, not this class, keeps the state consistent.

    Attributes
    ----------
    pending_since
        When this node first noticed that it has accepted a state that is not known to be decided; None if
        there is no such state.
    rejoin_at
        The earliest time at which a disk that was retired proposes to join.
    member_known_at
        The time at which this node learned that each member is one.
    is_shutting_down
        Whether this node is shutting down, so that it no longer proposes to join the core.
    was_member
        Whether this disk has been a member since the process started.
    """

    def __init__(
        self, now: float, peers: PeerTable, acceptor: Acceptor, proposer: Proposer, first_start: bool
    ) -> None:
        """`first_start`: whether the system starts for the first time, so that it has no core yet."""
        self.peers = peers
        self.acceptor = acceptor
        self.proposer = proposer
        self.first_start = first_start
        self.started_at = now
        self.pending_since: float | None = None
        if acceptor.pending is not None:
            # The state was accepted before the restart, so the time-out is taken as already expired.
            self.pending_since = now - UNDECIDED_TIMEOUT
        self.rejoin_at = NEVER
        self.member_known_at: dict[Member, float] = {}
        self.is_shutting_down = False
        self.was_member = False

    @property
    def me(self) -> Member:
        """The core member that this node with its disk is, or would be after joining."""
        me = self.peers.me
        return Member(me.ip, me.zone, me.region, self.acceptor.disk_id)

    def tick(self, now: float) -> None:
        """Submit the proposals that are due."""
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
        """Submit a proposal, unless one of its kind is already open."""
        if not self.proposer.has_proposal(proposal.kind):
            self.proposer.submit(proposal)

    def _priority(self, state: ControlState) -> int:
        """Return how many members are listed before this node."""
        ips = [member.ip for member in state.members]
        return ips.index(self.peers.me.ip) if self.peers.me.ip in ips else len(ips)

    def _propose_resolution(self, now: float, state: ControlState, is_member: bool) -> None:
        """Propose to resolve a state that was accepted here a while ago, but is not known to be decided."""
        if self.acceptor.pending is None or not is_member:
            self.pending_since = None
        elif self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since >= UNDECIDED_TIMEOUT + UNDECIDED_STAGGER * self._priority(state):
            self._propose(Proposal(0, now, ProposalKind.RESOLVE))

    def _propose_bootstrap(self, now: float, state: ControlState) -> None:
        """Propose the nodes with a disk as the first members, once no new one has appeared for a while."""
        quiet_time = now - max(self.peers.last_discovery_at, self.started_at)
        members = tuple(self.peers.known_disk_nodes())
        if (
            members
            and state.member_at(self.peers.me.ip)
            and quiet_time > BOOTSTRAP_QUIET_TIME + BOOTSTRAP_STAGGER * self._priority(state)
        ):
            self._propose(BootstrapProposal(0, now, ProposalKind.BOOTSTRAP, members=members))

    def _propose_join(self, now: float) -> None:
        """Propose to join; at the first start, a disk that appears after the bootstrap enlarges the core."""
        if not self.acceptor.disk_id or self.is_shutting_down or now < self.rejoin_at:
            return
        grows_core = self.first_start and not self.was_member
        self._propose(Proposal(0, now, ProposalKind.JOIN, member=self.me, grows_core=grows_core))

    def _propose_retirement(self, now: float, state: ControlState) -> None:
        """Propose to retire a member that a majority considers dead, once a replacement has joined."""
        if len(state.members) <= state.target_size:
            return
        timeout = DEAD_TIMEOUT + DEAD_STAGGER * self._priority(state)
        retirable = [
            member
            for member in self.unresponsive_members(now, state, timeout)
            if self._count_unresponsive_reports(state, member) > len(state.members) // 2
        ]
        if retirable:
            longest_silent = min(retirable, key=lambda member: (self._last_message_time(member), member.ip))
            self._propose(Proposal(0, now, ProposalKind.RETIRE, member=longest_silent))

    def _count_unresponsive_reports(self, state: ControlState, member: Member) -> int:
        """Return how many members, including this node, report that a member is unresponsive."""
        others = [peer for peer in self.other_members(state) if peer.info.ip != member.ip]
        return 1 + sum(member.ip in peer.unresponsive_members for peer in others)

    def other_members(self, state: ControlState) -> list[Peer]:
        """Return the other members from whose own disks this node has received messages."""
        peers = [self.peers.peer_of(member) for member in state.members if member.ip != self.peers.me.ip]
        return [peer for peer in peers if peer is not None]

    def unresponsive_members(
        self, now: float, state: ControlState, timeout: float = DEAD_TIMEOUT
    ) -> list[Member]:
        """Return the other members from which nothing has arrived here for more than `timeout` seconds."""
        me = self.peers.me.ip
        return [
            member
            for member in state.members
            if member.ip != me
            # The cheaper check comes first, as most members are responsive.
            and now - self.peers.last_message_time(member.ip) > timeout
            and now - self._last_message_time(member) > timeout
        ]

    def _last_message_time(self, member: Member) -> float:
        """Return when a member's last message arrived, or when it became known as a member if later."""
        return max(self.peers.last_message_time(member.ip), self.member_known_at.get(member, self.started_at))

    def on_members_changed(self, now: float, previous: ControlState | None) -> None:
        """Record new members; if this node's disk was retired, delay its next proposal to join.

        Members that change with the lineage were not retired, as the entire old core was abandoned.
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
