"""One node's replica of the control state: its acceptor and proposer, their messages and saves."""

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
    KNOWS_NOTHING,
    Accept,
    Accepted,
    AcceptedState,
    ConfigurationMissing,
    ConsensusMessage,
    Decision,
    DeltaPath,
    FullConfiguration,
    KnownConfiguration,
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
    """Runs one node's acceptor and proposer: takes messages and times, returns actions; see docs/control.md.

    Parameters
    ----------
    now
        Seconds of the steady clock.
    peers
        What this node knows about the other nodes.
    records
        The records that were on disk at the start, by name.
    first
        Whether the entire system starts for the first time.
    seeds
        The addresses from which the core is bootstrapped at the first start.
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
        self.admitted_round = NO_ROUND  # the round that has priority here: rounds of other nodes wait for it
        self.loopback_messages: list[ConsensusMessage] = []  # messages from this node to itself
        self.transfer = StateTransfer(peers, self.acceptor)
        self.nodes_behind: dict[str, None] = {}  # nodes that reported a lower lineage than this node's
        self.actions: list[Action] = []
        if self.acceptor.version > 0:
            self.peers.set_members(self.acceptor.state.members)  # type: ignore[union-attr]

    @property
    def state(self) -> ControlState | None:
        """Return the state in force as far as this node knows; None before the core is bootstrapped."""
        return self.acceptor.state if self.acceptor.version > 0 else None

    def control_versions(self) -> ControlVersions:
        """Return the versions to report: the one in force here, and a later one that may be in force.

        The later one is the version that this node has accepted above the one in force (-1: none).  Once a
        higher lineage is known, it is at least the lowest version of that lineage, so that no node of a
        lower lineage counts this report as a confirmation.
        """
        pending = self.acceptor.pending
        pending_version = pending.version if pending is not None else -1
        if self.acceptor.is_superseded():
            pending_version = max(pending_version, self.acceptor.highest_lineage * VERSIONS_PER_LINEAGE)
        return ControlVersions(self.acceptor.version, pending_version)

    def observe_version(self, source: str, version: int) -> None:
        """Record the version that another node has reported as in force."""
        self.acceptor.observe_version(version)
        if lineage(version) < lineage(self.acceptor.version):
            self.nodes_behind[source] = None

    def unresponsive_members(self, now: float) -> tuple[str, ...]:
        """Return the addresses of the members that this node considers unresponsive."""
        state = self.state
        if state is None:
            return ()
        return tuple(member.ip for member in self.reconfiguration.unresponsive_members(now, state))

    def is_member(self) -> bool:
        """Return whether this node is a member of the core."""
        state = self.state
        return state is not None and state.is_member(self.peers.me.ip, self.acceptor.disk_id)

    def must_stay_up(self) -> bool:
        """Return whether this member should keep running, as too few others have reported its version.

        It may stop once a majority of all members, or all members except itself if those are fewer, have
        reported the version in force here or a later one.
        """
        state = self.state
        if state is None or not self.is_member():
            return False
        others = self.reconfiguration.other_members(state)
        caught_up = sum(
            peer.control_versions is not None and peer.control_versions[0] >= state.version for peer in others
        )
        return caught_up < min(len(state.members) - 1, majority(len(state.members)))

    def confirmation_times(self, now: float) -> list[float]:
        """Return the times up to which members have confirmed this node's state as the newest, latest first.

        For each member, this is when the latest heartbeat was sent whose reply reported no later
        version.  This node adds `now` for itself while it is a member that has accepted nothing above the
        state in force.  The list is empty if this node has no state, and once a higher lineage is known.
        """
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return []
        times = self.peers.confirmation_times(state.members, state.version)
        if self.is_member() and self.acceptor.pending is None:
            times.append(now)
        return sorted(times, reverse=True)

    def confirmed_at(self, now: float) -> float:
        """Return the time, in seconds, up to which this node knows every decision.

        At that time or later, each member of a read quorum has confirmed the state in force here.  A read
        quorum shares a member with every quorum that accepts, so one of its replies would have reported a
        later decision.

        Returns `LONG_AGO` if no read quorum has confirmed the state, or if no configuration is in force.
        """
        state, times = self.state, self.confirmation_times(now)
        if state is None or state.configuration_digest == NO_CONFIGURATION:
            return LONG_AGO
        needed = read_quorum(len(state.members))
        return times[needed - 1] if len(times) >= needed else LONG_AGO

    def is_confirmed_for(self, proposal: Proposal, now: float) -> bool:
        """Return whether the state in force here includes all decisions from before a proposal's submission.

        A round of this node, or replies of a read quorum, must have confirmed that since the submission.
        """
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return False
        since = proposal.started_at
        confirmations = sum(at >= since for at in self.confirmation_times(now))
        return self.proposer.confirmed_since >= since or confirmations >= read_quorum(len(state.members))

    def tick(self, now: float) -> list[Action]:
        """Perform what is due at `now`, and allow saves again after a failed one."""
        self.actions = []
        self.saves.has_failed = False
        self.reconfiguration.tick(now)
        return self.advance(now)

    def propose(self, now: float, proposal: Proposal) -> list[Action]:
        """Submit a proposal of this node, and advance it as far as possible."""
        self.actions = []
        self.proposer.submit(proposal)
        return self.advance(now)

    def withdraw(self, now: float, token: int) -> list[Action]:
        """Withdraw the proposal of a caller that has gone, and abandon a round that is left without any."""
        self.actions = []
        self.proposer.withdraw(token)
        return self.advance(now)

    def on_peer_report(self, now: float) -> list[Action]:
        """Advance after a report from another node, as it may settle a proposal."""
        self.actions = []
        return self.advance(now)

    def advance(self, now: float) -> list[Action]:
        """Advance proposals and rounds as far as possible, and begin a save of the changed records.

        Proposals that have timed out are removed first: after a time in which the process stood still, no
        round begins for them.
        """
        self.resolve_proposals(now)
        while True:
            if self.acceptor.is_superseded():
                self.proposer.abandon_round()
            idle = self.proposer.round is None
            must_wait = idle and (
                self.acceptor.is_superseded()
                or self.must_yield_to(now, self.peers.me.ip, self.acceptor.version)
            )
            requests = [] if must_wait else self.proposer.advance(now)
            for request in [*requests, *self.proposer.take_outbox()]:
                self.send(request.to, request.message)
            if self.loopback_messages:
                self.dispatch(now, self.peers.me.ip, self.loopback_messages.pop(0))
                continue
            if (decided := self.proposer.take_decision()) is not None:
                self.on_decision(now, *decided)
                continue
            break
        self.resolve_proposals(now)
        self.catch_up(now)
        if (save := self.saves.begin_save()) is not None:
            self.actions.append(save)
        return self.actions

    def resolve_proposals(self, now: float) -> None:
        """Remove the proposals that have ended, and report their outcomes."""
        self.actions += self.proposer.resolve(now, lambda proposal: self.is_confirmed_for(proposal, now))

    def on_decision(self, now: float, ballot: Ballot, state: ControlState, compressed: bytes | None) -> None:
        """Learn the state decided by this node's round, and send it to the current and previous members."""
        if state.version <= self.acceptor.version:
            return  # the round decided no newer state
        self.learn(now, ballot, state, compressed)
        message = Decision(ballot, state)
        for ip in dict.fromkeys(member.ip for members in state.member_sets() for member in members):
            if ip != self.peers.me.ip:
                self.send(ip, message)

    def learn(self, now: float, ballot: Ballot, state: ControlState, compressed: bytes | None) -> None:
        """Learn a decided state.

        Raises
        ------
        MissingConfigurationError
            The configuration of the state is neither stored at this node nor given in `compressed`.
        """
        before = self.acceptor.state
        if not self.acceptor.learn(ballot, state, compressed):
            return
        self.admitted_round = NO_ROUND
        self.proposer.on_new_state(now)
        # Members receive the decision from the node that decided it; other nodes that wait for it here
        # receive it from this node.
        for source, known in self.proposer.received_proposals.pop_waiting(state):
            self.send_state(source, known)
        if before is None or state.configuration_digest != before.configuration_digest:
            self.actions.append(ConfigurationChanged())
        if before is None or state.evacuated_zones != before.evacuated_zones:
            self.actions.append(EvacuatedZonesChanged())
        if before is None or state.members != before.members:
            self.peers.set_members(state.members)
            self.reconfiguration.on_members_changed(now, before)
            self.actions.append(MembersChanged())

    def catch_up(self, now: float) -> None:
        """Send the state in force to nodes of a lower lineage, and request a newer one that was reported."""
        while self.nodes_behind:
            self.send_state(self.nodes_behind.popitem()[0], KNOWS_NOTHING)
        if (to := self.transfer.next_source(now)) is not None:
            self.request_state(to)

    def request_state(self, from_node: str, complete: bool = False) -> None:
        """Request the state in force at a node, with its configuration.

        If `complete` is True, the reply must include the complete configuration and not deltas.
        """
        self.send(from_node, self.transfer.make_request(complete))

    def reply_when_durable(self, to: str, message: ConsensusMessage) -> None:
        """Send a reply as soon as every record that it acknowledges is on disk."""
        if not self.saves.defer(to, message):
            self.send(to, message)

    def write_record(self, name: str, body: bytes) -> None:
        """Include a record that does not belong to the acceptor in the next save."""
        self.saves.other_records[name] = body

    def on_saved(self, now: float, serial: int, succeeded: bool) -> list[Action]:
        """Send the replies that waited for the save with the number `serial`, and advance."""
        self.actions = []
        replies = self.saves.end_save(serial, succeeded)
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
                self.proposer.received_proposals.add(now, source, message.version, message.changes)
            case StateRequest():
                self.on_state_request(source, message)
            case Decision():
                self.on_decision_message(now, source, message)

    def on_round_request(self, now: float, source: str, message: Prepare | Accept) -> None:
        """Handle a `Prepare` or an `Accept` of a round led by another node or by this one.

        If the round is based on an older version, the state in force here is sent to its sender.  If it is
        based on a higher lineage, the sender's state is requested.
        """
        acceptor, base = self.acceptor, message.base_version
        if not acceptor.disk_id and not acceptor.may_bootstrap:
            return  # a node without a disk that takes no part in the bootstrap is not a member
        if base < acceptor.version:
            self.send_state(source, message.known if isinstance(message, Prepare) else KNOWS_NOTHING)
        theirs, own = lineage(base), lineage(acceptor.version)
        acceptor.observe_version(base)
        if theirs > own:
            self.request_state(source)
        if theirs != own or acceptor.is_superseded():
            return  # a round and every state that its members accept belong to a single lineage
        if isinstance(message, Prepare):
            self.on_prepare(now, source, message)
        else:
            self.on_accept(now, source, message)

    def on_prepare(self, now: float, source: str, message: Prepare) -> None:
        """Promise to accept nothing below a ballot, or reject it.

        The promise includes the state accepted last.  It also includes that state's configuration if the
        state is newer than the version on which the round is based and the proposer does not hold the
        configuration.
        """
        acceptor, base = self.acceptor, message.base_version
        if self.must_yield_to(now, source, base):
            self.reject(now, source, message, must_wait=True)
            return
        if not acceptor.prepare(message.ballot):
            self.reject(now, source, message, must_wait=False)
            return
        self.admitted_round = AdmittedRound(now + ADMITTED_ROUND_TIME, source, base)
        accepted, payload = None, None
        if acceptor.accepted is not None:
            accepted = AcceptedState(*acceptor.accepted)
            digest = accepted.state.configuration_digest
            if accepted.state.version > base and digest != message.known.digest:
                payload = acceptor.configuration_payload(digest, message.known)
        known_digests = tuple(acceptor.configurations)
        promise = Promise(message.ballot, self.voter(), known_digests, accepted, payload)
        self.reply_when_durable(source, promise)

    def voter(self) -> Voter:
        """Return the identity under which this node votes: its disk, and whether it may bootstrap."""
        return Voter(self.acceptor.disk_id, self.acceptor.may_bootstrap)

    def on_promise(self, source: str, message: Promise) -> None:
        """Count a promise, together with the configuration that came with it.

        If that configuration cannot be built from the deltas received, the proposer requests the promise
        again.
        """
        accepted, compressed, current = message.accepted, None, self.proposer.round
        is_awaited = current is not None and current.ballot == message.ballot and current.value is None
        if isinstance(message.payload, FullConfiguration):
            compressed = message.payload.compressed
        elif accepted is not None and isinstance(message.payload, DeltaPath) and is_awaited:
            digest = accepted.state.configuration_digest
            compressed = self.proposer.find_configuration(digest) or self.acceptor.follow_delta_path(
                message.payload, digest
            )
            if compressed is None:
                self.proposer.on_missing_configuration(source, message.ballot)
                return
        self.proposer.on_promise(source, message, compressed)

    def on_accept(self, now: float, source: str, message: Accept) -> None:
        """Accept a state, reject it, or reply that its configuration is missing at this node."""
        acceptor, state, compressed = self.acceptor, message.state, None
        try:
            if message.ballot >= acceptor.promised:
                compressed = acceptor.open_payload(message.payload, state.configuration_digest)
            accepted = acceptor.accept(message.ballot, state, compressed)
        except MissingConfigurationError:
            self.send(source, ConfigurationMissing(message.ballot))
            return
        if not accepted:  # a higher ballot is promised: the proposer waits for the round with that ballot
            self.reject(now, source, message, must_wait=self.admitted_round.source != source)
            return
        until, base = now + ADMITTED_ROUND_TIME, message.base_version
        self.admitted_round = AdmittedRound(until, source, base, has_majority=True)
        self.reply_when_durable(source, Accepted(message.ballot, self.voter()))

    def on_round_ended(self, source: str, message: RoundEnded) -> None:
        """Admit other rounds again after the end of the admitted one."""
        if self.admitted_round.source == source and message.ballot >= self.acceptor.promised:
            self.admitted_round = NO_ROUND

    def reject(self, now: float, source: str, message: Prepare | Accept, must_wait: bool) -> None:
        """Reject a request of a round.

        If `must_wait` is True, the reply makes the proposer wait before it retries, for at most the
        remaining time of the admitted round.
        """
        wait_ms = max(0, int(1000 * (self.admitted_round.until - now))) if must_wait else 0
        if wait_ms:
            known = message.known if isinstance(message, Prepare) else KNOWS_NOTHING
            self.proposer.received_proposals.waiting_nodes[source] = known
        of_accept = isinstance(message, Accept)
        self.send(source, Rejected(message.ballot, self.acceptor.promised, wait_ms, of_accept))

    def must_yield_to(self, now: float, source: str, base: int) -> bool:
        """Return whether the admitted round has priority over a round of `source` based on version `base`.

        See `AdmittedRound.has_priority_over`.
        """
        return self.admitted_round.has_priority_over(now, source, base)

    def send_state(self, to: str, known: KnownConfiguration) -> None:
        """Send the state in force here, with its configuration unless the recipient holds it."""
        if (decision := self.transfer.make_decision(known)) is not None:
            self.send(to, decision)

    def on_state_request(self, source: str, message: StateRequest) -> None:
        """Reply to a state request with the state in force here if the requester's state is older."""
        if message.version < self.acceptor.version:
            self.send_state(source, message.known)

    def on_decision_message(self, now: float, source: str, message: Decision) -> None:
        """Learn a decided state, or request it again if its configuration is missing.

        If the configuration cannot be built from the deltas received, the complete configuration is
        requested.
        """
        state, compressed = message.state, None
        try:
            if state.version > self.acceptor.version:
                compressed = self.acceptor.open_payload(message.payload, state.configuration_digest)
            self.learn(now, message.ballot, state, compressed)
            self.transfer.on_state()
        except MissingConfigurationError:
            self.request_state(source, complete=isinstance(message.payload, DeltaPath))
