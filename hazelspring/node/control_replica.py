"""One node's replica of the control state: its acceptor and proposer, their messages and saves, and what it learns."""

from __future__ import annotations

import random
from collections.abc import Mapping

from hazelspring.consensus.acceptor import Acceptor, MissingConfigurationError, load_acceptor
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_CONFIGURATION,
    VERSIONS_PER_LINEAGE,
    Ballot,
    ControlState,
    Voter,
    bootstrap_state,
    lineage,
    majority,
    read_quorum,
)
from hazelspring.consensus.messages import (
    HOLDS_NOTHING,
    Accept,
    Accepted,
    AcceptedState,
    ConfigurationMissing,
    ConsensusMessage,
    Decision,
    DeltaPath,
    FullConfiguration,
    HeldConfiguration,
    Prepare,
    Promise,
    ProposalsForwarded,
    Rejected,
    RoundEnded,
    StateRequest,
)
from hazelspring.consensus.proposal import Proposal
from hazelspring.consensus.proposer import Proposer
from hazelspring.consensus.round import LONG_AGO
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import (
    Action,
    ConfigurationChanged,
    EvacuatedZonesChanged,
    MembersChanged,
    Send,
)
from hazelspring.node.admitted_round import ADMITTED_ROUND_TIME, NO_ROUND, AdmittedRound
from hazelspring.node.durable_replies import DurableReplies
from hazelspring.node.messages import ControlVersions
from hazelspring.node.reconfiguration import Reconfiguration
from hazelspring.node.state_transfer import StateTransfer


class ControlReplica:
    """Runs one node's acceptor and proposer: it takes messages and times, and returns actions; see docs/control.md.

    Parameters
    ----------
    now
        Seconds of the steady clock.
    peers
        What this node knows of the others.
    records
        The records that were on disk at the start, by name.
    first
        Whether the whole system starts for the first time.
    seeds
        The addresses from which the core is bootstrapped at that start.
    """

    def __init__(
        self, now: float, peers: PeerTable, records: Mapping[str, bytes], first: bool, seeds: list[str]
    ) -> None:
        me = peers.me
        self.peers = peers
        self.acceptor = load_acceptor(records, me.disk_id, first) if me.disk_id else Acceptor(0, first)
        if first and self.acceptor.decided is None and seeds:
            self.acceptor.decided = (NO_BALLOT, bootstrap_state(seeds))
            self.acceptor.dirty_records.add("decided")
        self.proposer = Proposer(
            self.acceptor, (me.ip, me.incarnation), random.Random(me.incarnation), peers.is_member_alive
        )
        self.reconfiguration = Reconfiguration(now, peers, self.acceptor, self.proposer, first)
        self.saves = DurableReplies(self.acceptor, bool(me.disk_id))
        self.admitted_round = NO_ROUND  # the round that other proposers' rounds wait for here
        self.loopback_messages: list[ConsensusMessage] = []  # messages of this node to itself
        self.transfer = StateTransfer(peers, self.acceptor)
        self.nodes_behind: dict[str, None] = {}  # nodes that reported a lower lineage than the one here
        self.actions: list[Action] = []
        if self.acceptor.version > 0:
            self.peers.set_members(self.acceptor.state.members)  # type: ignore[union-attr]

    @property
    def state(self) -> ControlState | None:
        """Return the state in force as far as this node knows; None before the core was bootstrapped."""
        return self.acceptor.state if self.acceptor.version > 0 else None

    def control_versions(self) -> ControlVersions:
        """Return the versions that this node reports: the one in force here, and one above it that may be in force.

        The second is the version accepted above it (-1: none).  Once a higher lineage is known, it is at least the
        lowest version of that lineage, so that no node of a lower one counts this report as a confirmation.
        """
        pending = self.acceptor.pending
        told = pending.version if pending is not None else -1
        if self.acceptor.is_superseded():
            told = max(told, self.acceptor.highest_lineage * VERSIONS_PER_LINEAGE)
        return ControlVersions(self.acceptor.version, told)

    def observe_version(self, source: str, version: int) -> None:
        """Record the version that another node reported as in force there."""
        self.acceptor.observe_version(version)
        if lineage(version) < lineage(self.acceptor.version):
            self.nodes_behind[source] = None

    def unresponsive_members(self, now: float) -> tuple[str, ...]:
        """Return the addresses of members that this node takes for unresponsive."""
        state = self.state
        if state is None:
            return ()
        return tuple(member.ip for member in self.reconfiguration.unresponsive_members(now, state))

    def is_member(self) -> bool:
        """Return whether this node is a member of the core."""
        state = self.state
        return state is not None and state.is_member(self.peers.me.ip, self.acceptor.disk_id)

    def must_stay_up(self) -> bool:
        """Return whether this member should stay up, as too few others have reported the version in force here.

        It may end once a majority of all members, or all members but itself where those are fewer, have reported it.
        """
        state = self.state
        if state is None or not self.is_member():
            return False
        others = self.reconfiguration.other_members(state)
        have = sum(
            peer.control_versions is not None and peer.control_versions[0] >= state.version for peer in others
        )
        return have < min(len(state.members) - 1, majority(len(state.members)))

    def confirmation_times(self, now: float) -> list[float]:
        """Return until when each member has confirmed the state in force here as the newest, the latest time first.

        Such a time is when the latest heartbeat was sent whose reply reported no later version.  This node counts
        itself as of now, while it is a member that has accepted nothing above the state in force.  Nothing is
        confirmed without a state, or once a higher lineage is known.
        """
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return []
        times = self.peers.confirmation_times(state.members, state.version)
        if self.is_member() and self.acceptor.pending is None:
            times.append(now)
        return sorted(times, reverse=True)

    def confirmed_at(self, now: float) -> float:
        """Return the time up to which every decision is known here, in seconds.

        A read quorum of members has confirmed the state in force here since then.  It shares a member with every
        quorum that accepts, so one of its replies would have reported a later decision.

        `LONG_AGO` where no read quorum has confirmed it, or where no configuration is in force.
        """
        state, times = self.state, self.confirmation_times(now)
        if state is None or state.configuration_digest == NO_CONFIGURATION:
            return LONG_AGO
        needed = read_quorum(len(state.members))
        return times[needed - 1] if len(times) >= needed else LONG_AGO

    def is_confirmed_for(self, proposal: Proposal, now: float) -> bool:
        """Return whether the state in force here includes all that was decided before a proposal came.

        Either a round of this node or replies of a read quorum have confirmed that since the proposal came.
        """
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return False
        since = proposal.started_at
        told = sum(at >= since for at in self.confirmation_times(now))
        return self.proposer.confirmed_since >= since or told >= read_quorum(len(state.members))

    def tick(self, now: float) -> list[Action]:
        """Run what is due at a time, and allow saves again after a failed one."""
        self.actions = []
        self.saves.has_failed = False
        self.reconfiguration.tick(now)
        return self.advance(now)

    def propose(self, now: float, proposal: Proposal) -> list[Action]:
        """Submit a proposal of this node, and advance it."""
        self.actions = []
        self.proposer.submit(proposal)
        return self.advance(now)

    def proceed(self, now: float) -> list[Action]:
        """Advance after another node's report, as that may settle a proposal."""
        self.actions = []
        return self.advance(now)

    def advance(self, now: float) -> list[Action]:
        """Advance proposals and rounds as far as they go, and begin a save of what has changed."""
        while True:
            if self.acceptor.is_superseded():
                self.proposer.abandon_round()
            idle = self.proposer.round is None
            waits = idle and (
                self.acceptor.is_superseded()
                or self.must_yield_to(now, self.peers.me.ip, self.acceptor.version)
            )
            requests = [] if waits else self.proposer.advance(now)
            for request in [*requests, *self.proposer.take_outbox()]:
                self.send(request.to, request.message)
            if self.loopback_messages:
                self.dispatch(now, self.peers.me.ip, self.loopback_messages.pop(0))
                continue
            if (decided := self.proposer.take_decision()) is not None:
                self.on_decision(now, *decided)
                continue
            break
        self.actions += self.proposer.resolve(now, lambda proposal: self.is_confirmed_for(proposal, now))
        self.catch_up(now)
        if (save := self.saves.begin_save()) is not None:
            self.actions.append(save)
        return self.actions

    def on_decision(self, now: float, ballot: Ballot, state: ControlState, packed: bytes | None) -> None:
        """Learn the decision of this node's round, and send it to the current and previous members."""
        if state.version <= self.acceptor.version:
            return  # the round changed nothing
        self.learn(now, ballot, state, packed)
        message = Decision(ballot, state)
        for ip in dict.fromkeys(member.ip for members in state.member_sets() for member in members):
            if ip != self.peers.me.ip:
                self.send(ip, message)

    def learn(self, now: float, ballot: Ballot, state: ControlState, packed: bytes | None) -> None:
        """Learn a decided state.

        Raises
        ------
        MissingConfigurationError
            Its configuration is neither held here nor in `packed`.
        """
        before = self.acceptor.state
        if not self.acceptor.learn(ballot, state, packed):
            return
        self.admitted_round = NO_ROUND
        self.proposer.on_new_state(now)
        # Members get the decision from the node that decided it; others that wait for it here get it from this node.
        for source, held in self.proposer.forwarded.pop_waiting(state):
            self.send_state(source, held)
        if before is None or state.configuration_digest != before.configuration_digest:
            self.actions.append(ConfigurationChanged())
        if before is None or state.evacuated_zones != before.evacuated_zones:
            self.actions.append(EvacuatedZonesChanged())
        if before is None or state.members != before.members:
            self.peers.set_members(state.members)
            self.reconfiguration.on_members_changed(now, before)
            self.actions.append(MembersChanged())

    def catch_up(self, now: float) -> None:
        """Send the state in force to nodes that reported a lower lineage; request a newer one that others reported."""
        while self.nodes_behind:
            self.send_state(self.nodes_behind.popitem()[0], HOLDS_NOTHING)
        if (to := self.transfer.next_source(now)) is not None:
            self.request_state(to)

    def request_state(self, of: str, whole: bool = False) -> None:
        """Request the state in force at a node, with its configuration; `whole`: complete and not as deltas."""
        self.send(of, self.transfer.make_request(whole))

    def reply_when_durable(self, to: str, message: ConsensusMessage) -> None:
        """Send a reply once every record that it acknowledges is on disk."""
        if not self.saves.defer(to, message):
            self.send(to, message)

    def write_record(self, name: str, body: bytes) -> None:
        """Write a record that does not belong to the acceptor with the next save."""
        self.saves.other_records[name] = body

    def on_saved(self, now: float, serial: int, good: bool) -> list[Action]:
        """Send the replies that waited for a save, and advance.

        `serial` is the number of the save, `good` whether it succeeded.
        """
        self.actions = []
        replies = self.saves.end_save(serial, good)
        if replies is None:
            return self.actions
        for reply in replies:
            self.send(reply.to, reply.message)
        return self.advance(now)

    def send(self, to: str, message: ConsensusMessage) -> None:
        """Send a message; one to this node itself is queued and handled before the next step of a round."""
        if to == self.peers.me.ip:
            self.loopback_messages.append(message)
        else:
            self.actions.append(Send(to, message))

    def on_message(self, now: float, source: str, message: ConsensusMessage) -> list[Action]:
        """Handle a consensus message from another node."""
        self.actions = []
        self.dispatch(now, source, message)
        return self.advance(now)

    def dispatch(self, now: float, source: str, message: ConsensusMessage) -> None:
        """Call the handler for the type of a message."""
        match message:
            case Prepare() | Accept():
                self.on_round_request(now, source, message)
            case Promise():
                self.on_promise(source, message)
            case Accepted():
                self.proposer.on_accepted(source, message)
            case Rejected():
                self.proposer.on_rejected(now, source, message)
            case RoundEnded():
                self.on_round_ended(source, message)
            case ConfigurationMissing():
                self.proposer.on_missing_configuration(source, message.ballot)
            case ProposalsForwarded():
                self.proposer.forwarded.add(now, source, message.version, message.changes)
            case StateRequest():
                self.on_state_request(source, message)
            case Decision():
                self.on_decision_message(now, source, message)

    def on_round_request(self, now: float, source: str, message: Prepare | Accept) -> None:
        """Handle a `Prepare` or an `Accept` of a round, which another node leads or this one.

        A sender that follows an older version gets the state in force here; where it follows a higher lineage, its
        state is requested.
        """
        acceptor, base = self.acceptor, message.base_version
        if not acceptor.disk_id and not acceptor.may_bootstrap:
            return  # a node without a disk that takes no part in the bootstrap is no member
        if base < acceptor.version:
            self.send_state(source, message.held if isinstance(message, Prepare) else HOLDS_NOTHING)
        theirs, own = lineage(base), lineage(acceptor.version)
        acceptor.observe_version(base)
        if theirs > own:
            self.request_state(source)
        if theirs != own or acceptor.is_superseded():
            return  # a round, and all that its members accept, is of one lineage
        if isinstance(message, Prepare):
            self.on_prepare(now, source, message)
        else:
            self.on_accept(now, source, message)

    def on_prepare(self, now: float, source: str, message: Prepare) -> None:
        """Promise to accept nothing below a ballot, or reject it.

        The promise includes the state accepted last, with its configuration where that state is newer than the version
        the round follows and the proposer does not hold the configuration.
        """
        acceptor, base = self.acceptor, message.base_version
        if self.must_yield_to(now, source, base):
            self.reject(now, source, message, waits=True)
            return
        if not acceptor.prepare(message.ballot):
            self.reject(now, source, message, waits=False)
            return
        self.admitted_round = AdmittedRound(now + ADMITTED_ROUND_TIME, source, base)
        accepted, payload = None, None
        if acceptor.accepted is not None:
            accepted = AcceptedState(*acceptor.accepted)
            digest = accepted.state.configuration_digest
            if accepted.state.version > base and digest != message.held.digest:
                payload = acceptor.configuration_payload(digest, message.held)
        held_digests = tuple(acceptor.configurations)
        promise = Promise(message.ballot, self.voter(), held_digests, accepted, payload)
        self.reply_when_durable(source, promise)

    def voter(self) -> Voter:
        """Return the identity under which this node's votes are counted: its disk, and whether it may bootstrap."""
        return Voter(self.acceptor.disk_id, self.acceptor.may_bootstrap)

    def on_promise(self, source: str, message: Promise) -> None:
        """Count a promise, with the configuration that came with it.

        Where deltas do not lead to that configuration, the proposer asks for the promise again.
        """
        accepted, packed, current = message.accepted, None, self.proposer.round
        is_awaited = current is not None and current.ballot == message.ballot and current.value is None
        if isinstance(message.payload, FullConfiguration):
            packed = message.payload.packed
        elif accepted is not None and isinstance(message.payload, DeltaPath) and is_awaited:
            digest = accepted.state.configuration_digest
            packed = self.proposer.find_configuration(digest) or self.acceptor.follow_delta_path(
                message.payload, digest
            )
            if packed is None:
                self.proposer.on_missing_configuration(source, message.ballot)
                return
        self.proposer.on_promise(source, message, packed)

    def on_accept(self, now: float, source: str, message: Accept) -> None:
        """Accept a state, reject it, or reply that its configuration is missing."""
        acceptor, state, packed = self.acceptor, message.state, None
        try:
            if message.ballot >= acceptor.promised:
                packed = acceptor.open_payload(message.payload, state.configuration_digest)
            accepted = acceptor.accept(message.ballot, state, packed)
        except MissingConfigurationError:
            self.send(source, ConfigurationMissing(message.ballot))
            return
        if not accepted:  # a proposer that is outbid in its accept phase lets the higher ballot end first
            self.reject(now, source, message, waits=self.admitted_round.source != source)
            return
        until, base = now + ADMITTED_ROUND_TIME, message.base_version
        self.admitted_round = AdmittedRound(until, source, base, has_majority=True)
        self.reply_when_durable(source, Accepted(message.ballot, self.voter()))

    def on_round_ended(self, source: str, message: RoundEnded) -> None:
        """Admit other rounds again, once the admitted one has ended."""
        if self.admitted_round.source == source and message.ballot >= self.acceptor.promised:
            self.admitted_round = NO_ROUND

    def reject(self, now: float, source: str, message: Prepare | Accept, waits: bool) -> None:
        """Reject a request of a round.

        `waits` tells the proposer to wait before it tries again, for no longer than the admitted round may still take.
        """
        wait_ms = max(0, int(1000 * (self.admitted_round.until - now))) if waits else 0
        if wait_ms:
            held = message.held if isinstance(message, Prepare) else HOLDS_NOTHING
            self.proposer.forwarded.waiting_nodes[source] = held
        of_accept = isinstance(message, Accept)
        self.send(source, Rejected(message.ballot, self.acceptor.promised, wait_ms, of_accept))

    def must_yield_to(self, now: float, source: str, base: int) -> bool:
        """Return whether the admitted round goes before one of `source` that follows version `base`.

        See `AdmittedRound`.
        """
        return self.admitted_round.goes_before(now, source, base)

    def send_state(self, to: str, held: HeldConfiguration) -> None:
        """Send the state in force here, with its configuration where the recipient does not hold that."""
        if (decision := self.transfer.make_decision(held)) is not None:
            self.send(to, decision)

    def on_state_request(self, source: str, message: StateRequest) -> None:
        """Reply to a state request with the state in force here, where the requester's is older."""
        if message.version < self.acceptor.version:
            self.send_state(source, message.held)

    def on_decision_message(self, now: float, source: str, message: Decision) -> None:
        """Learn a decided state, or request it again where its configuration is missing.

        Where the configuration came as deltas that do not lead to it, it is requested complete.
        """
        state, packed = message.state, None
        try:
            if state.version > self.acceptor.version:
                packed = self.acceptor.open_payload(message.payload, state.configuration_digest)
            self.learn(now, message.ballot, state, packed)
            self.transfer.on_state()
        except MissingConfigurationError:
            self.request_state(source, whole=isinstance(message.payload, DeltaPath))
