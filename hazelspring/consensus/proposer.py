"""Proposals under way at one node, and the rounds of the agreement that carry them out: first promises, then copies."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import replace

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_CONFIGURATION,
    Ballot,
    ControlState,
    Member,
    Voter,
    majority,
    missing_votes,
    read_quorum,
)
from hazelspring.consensus.forwarding import ForwardedProposals, ProposalForwarder, can_forward
from hazelspring.consensus.messages import (
    Accept,
    Accepted,
    ConfigurationPayload,
    FullConfiguration,
    HeldConfiguration,
    OutgoingMessage,
    Prepare,
    Promise,
    ProposalsForwarded,
    Rejected,
    RoundEnded,
)
from hazelspring.consensus.outcomes import outcome_of
from hazelspring.consensus.proposal import Proposal, ProposalKind, ProposalOutcome
from hazelspring.consensus.round import LONG_AGO, Round

RESEND_INTERVAL = 0.25  # seconds between requests to a member that has not answered
LINK_BANDWIDTH = (
    100e6  # bytes a second of a node's link, of a gigabit: all copies of a configuration share it
)
# seconds after which a round that met another counts on no more answers: two syncs of a slow disk
CONTENDED_ROUND_TIMEOUT = 0.7
PROPOSAL_TIMEOUT = 3.0  # seconds for a proposal; its sender moves on sooner, and sends it to any node again
NO_CHANGE_GRACE = 0.3  # seconds in which answers may settle what changes nothing, before that takes a round
MIN_BACKOFF = 0.03  # seconds at least after a round that met another: a part of a round trip between regions,
MAX_BACKOFF = 0.3  # doubled each time, up to half of the time for which a round may go first
FORWARDING_GRACE = (
    0.2  # seconds at least that another node has for what was forwarded, before this one goes alone
)


class Proposer:
    """A node's proposer.  One round at a time carries all its proposals; a round that finds a state which may have
    been decided brings that to its end first.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        me: tuple[str, int],
        random_source: random.Random,
        answers: Callable[[float, Member], bool],
    ) -> None:
        """`answers`: whether a member has answered of late."""
        self.acceptor, self.me, self.random, self.is_responsive = acceptor, me, random_source, answers
        self.proposals: list[Proposal] = []
        self.round: Round | None = None
        self.abandoned_ballot = NO_BALLOT  # of the last round that ended without a decision
        self.highest_count = 0  # the highest ballot's count that was heard of
        self.failed_rounds, self.backoff_until = 0, LONG_AGO
        self.outbox: list[OutgoingMessage] = []  # that rounds have ended, and proposals for other nodes
        self.forwarded, self.forwarder = ForwardedProposals(), ProposalForwarder()
        self.confirmed_since = LONG_AGO  # when the last round began that a majority has brought to its end

    def submit(self, proposal: Proposal) -> None:
        """Take a proposal of this node."""
        proposal.base_version = self.acceptor.version
        self.proposals.append(proposal)

    def on_new_state(self, now: float) -> None:
        """A newer state has come: whoever was in the way is done.  Proposals that met others go to who decided it, and
        this node goes alone only where they are not carried out in time.
        """
        met = self.failed_rounds > 0 or bool(self.forwarder.tokens_by_node)
        self.failed_rounds, self.backoff_until = 0, LONG_AGO
        decided = self.acceptor.decided
        if not met or decided is None or decided[0][2] == self.me[0]:
            return
        if any(can_forward(proposal, decided[1]) for proposal in self.proposals):
            self.forward(decided[0][2])
            self.backoff_until = now + FORWARDING_GRACE * (1 + self.random.random())

    def forward(self, to: str) -> None:
        """Give proposals of operators to the node whose round goes first, for that round or its next."""
        state = self.acceptor.state
        if state is None or to == self.me[0]:
            return
        if changes := self.forwarder.select(state, to, self.proposals):
            self.outbox.append(OutgoingMessage(to, ProposalsForwarded(state.version, tuple(changes))))

    def take_outbox(self) -> list[OutgoingMessage]:
        """Return what is to be sent besides the requests of a round, the newest first."""
        taken, self.outbox = self.outbox[::-1], []
        return taken

    def has_proposal(self, kind: ProposalKind) -> bool:
        """Return whether a proposal of a kind is open here."""
        return any(proposal.kind == kind for proposal in self.proposals)

    def resolve(self, now: float, sure: Callable[[Proposal], bool]) -> list[ProposalOutcome]:
        """End what the state in force settles.  `sure`: nothing that was decided before the proposal came can be
        unknown here.
        """
        state, ended = self.acceptor.state, []
        for proposal in list(self.proposals):
            if state is not None and state.version > 0 and not proposal.confirmed and sure(proposal):
                self.proposals[self.proposals.index(proposal)] = proposal = replace(proposal, confirmed=True)
            if (
                state is not None
                and state.version > 0
                and (outcome := outcome_of(proposal, state, self.acceptor, sure))
            ):
                ended.append(outcome)
            elif now - proposal.started_at > PROPOSAL_TIMEOUT:
                ended.append(ProposalOutcome(proposal.token, False, self.stall_reason()))
            else:
                continue
            self.proposals.remove(proposal)
        return [outcome for outcome in ended if outcome.token]

    def stall_reason(self) -> str:
        """Return, for an operator, what the round under way is waiting for."""
        if self.round is None:
            return "look: too few voices"
        current = self.round
        if current.value is None:
            missing = missing_votes(self.prepare_member_sets(current), current.promises, read_quorum)
            return f"look: {missing} voices are missing"
        return f"copy: {missing_votes(current.value.member_sets(), current.acceptances, majority)} disks are missing"

    def advance(self, now: float) -> list[OutgoingMessage]:
        """Bring the round on: begin one where a proposal needs it, ask again who has not answered."""
        state = self.acceptor.state
        if self.round is not None and self.acceptor.version > self.round.base.version:
            self.abandon_round()  # another node's round has ended: what is left begins from there
        met = self.round is not None and (self.round.rejections or self.round.contended)
        if met and self.round is not None and now - self.round.phase_started_at > CONTENDED_ROUND_TIMEOUT:
            self.back_off(now)  # who is left does not answer either
        self.forwarded.expire(now, state)
        if state is None or not (self.proposals or self.forwarded.applicable(state)):
            self.abandon_round()
            return []
        if self.round is None:
            needed = any(self.needs_round(now, proposal, state) for proposal in self.proposals)
            needed = needed or bool(self.forwarded.applicable(state))
            if now < self.backoff_until or not needed:
                return []
            decided = self.acceptor.decided or (NO_BALLOT, state)
            self.highest_count = max(self.highest_count, self.acceptor.promised[0], decided[0][0]) + 1
            self.round = Round(
                Ballot(self.highest_count, self.me[1], self.me[0]),
                state,
                decided,
                started_at=now,
                phase_started_at=now,
            )
        if self.round.value is None:
            self.choose_value(now, self.round)
        return self.requests(now, self.round)

    @staticmethod
    def needs_round(now: float, proposal: Proposal, state: ControlState) -> bool:
        """Return whether a proposal takes a round now."""
        if proposal.kind == ProposalKind.RESOLVE or proposal.apply(state) is not state:
            return True
        return state.version > 0 and now - proposal.started_at > NO_CHANGE_GRACE

    def next_state(self, base: ControlState) -> ControlState:
        """What is to follow for all open proposals, after those of others; members change by one proposal at a time."""
        state, moved = base, False
        for forwarded in self.forwarded.applicable(base):
            state = forwarded.apply(state)
        for proposal in self.proposals:
            if proposal.changes_members():
                if moved:
                    continue
                moved = proposal.apply(state) is not state
            state = proposal.apply(state)
        if state is base:
            return base
        return replace(state, version=base.version + 1, previous_members=base.members)

    def prepare_member_sets(self, current: Round) -> list[tuple[Member, ...]]:
        """Of whom promises are needed: the members in force, and those of what was found or is wanted."""
        sets = [current.base.members]
        if current.highest_accepted[1].version > current.base.version:
            sets += current.highest_accepted[1].member_sets()
        elif (wanted := self.next_state(current.base)) is not current.base:
            sets += wanted.member_sets()
        return list(dict.fromkeys(sets))

    def requests(self, now: float, current: Round) -> list[OutgoingMessage]:
        """Return what the members that have not answered are to be asked again."""
        if current.value is current.base:
            return []  # nothing is to change, and nothing to be accepted
        sets = current.value.member_sets() if current.value is not None else self.prepare_member_sets(current)
        have = current.acceptances if current.value is not None else current.promises
        requests = []
        ips = dict.fromkeys(member.ip for members in sets for member in members)
        for ip in ips:
            if (
                ip in have
                or ip in current.rejections
                or now - current.sent_at.get(ip, LONG_AGO) < RESEND_INTERVAL
            ):
                continue
            current.sent_at[ip] = now
            current.deferred_by.discard(ip)
            message: Prepare | Accept
            if current.value is None:
                held = HeldConfiguration(current.base.configuration_digest, not current.without_deltas)
                message = Prepare(current.ballot, current.base.version, held)
            else:
                payload = self.payload_to_send(now, ip, current, current.value, len(ips))
                message = Accept(current.ballot, current.base.version, current.value, payload)
            requests.append(OutgoingMessage(ip, message))
        return requests

    def payload_to_send(
        self, now: float, ip: str, current: Round, value: ControlState, recipients: int
    ) -> ConfigurationPayload | None:
        """Return what is to bring the configuration to a member now.

        While the whole bytes may be under way, the member is asked without them, and says that it lacks them.
        """
        payload = self.payload_for(ip, value.configuration_digest, current)
        if isinstance(payload, FullConfiguration):
            transfer_time = len(payload.packed) * recipients / LINK_BANDWIDTH
            if now - current.payload_sent_at.get(ip, LONG_AGO) < max(RESEND_INTERVAL, transfer_time):
                return None
            current.payload_sent_at[ip] = now
        return payload

    def payload_for(self, ip: str, digest: bytes, current: Round) -> ConfigurationPayload | None:
        """What brings a configuration to a member: by a delta from one that it holds, where that is smaller."""
        holds = current.known_digests.get(
            ip, [current.base.configuration_digest]
        )  # it has not told: most likely the one in force
        if digest == NO_CONFIGURATION or digest in holds:
            return None
        packed = self.find_configuration(digest)
        if packed is None:
            return None
        path = self.acceptor.delta_path(holds, digest, packed) if ip != self.me[0] else None
        return FullConfiguration(packed) if path is None else path

    def find_configuration(self, digest: bytes) -> bytes | None:
        """The bytes of a configuration: held here, come with a promise, or with a proposal."""
        if digest in self.acceptor.configurations:
            return self.acceptor.configurations[digest]
        if self.round is not None and digest in self.round.configurations:
            return self.round.configurations[digest]
        known = [*self.proposals, *self.forwarded.proposals]
        return next(
            (proposal.configuration for proposal in known if proposal.configuration_digest == digest), None
        )

    def on_promise(self, source: str, message: Promise, packed: bytes | None = None) -> None:
        """Count a promise.

        `packed` is the configuration that came with it, of the state that its sender accepted last.
        """
        current, accepted = self.round, message.accepted
        if message.ballot == self.abandoned_ballot:  # it overtook the message that this round is over
            self.outbox.append(OutgoingMessage(source, RoundEnded(message.ballot)))
        if current is None or current.ballot != message.ballot or current.value is not None:
            return
        current.promises[source], current.known_digests[source] = message.voter, list(message.held_digests)
        if accepted is not None and packed is not None:
            current.configurations[accepted.state.configuration_digest] = packed
        if accepted is not None and accepted.ballot > current.highest_accepted[0]:
            current.highest_accepted = accepted

    def choose_value(self, now: float, current: Round) -> None:
        """Once enough have promised and a majority is there, the round brings a state."""
        if missing_votes(self.prepare_member_sets(current), current.promises, read_quorum):
            return
        found = current.highest_accepted[1]
        target = found if found.version > current.base.version else self.next_state(current.base)
        if target is not current.base and not self.can_reach_majority(now, current, target):
            return
        if target.configuration_digest != NO_CONFIGURATION:
            packed = self.find_configuration(target.configuration_digest)
            if packed is None:
                return
            current.configurations[target.configuration_digest] = (
                packed  # its order may end before the round does
            )
            self.acceptor.compute_delta(
                current.base.configuration_digest, target.configuration_digest, packed
            )
        current.start_accept_phase(now, target)

    def can_reach_majority(self, now: float, current: Round, target: ControlState) -> bool:
        """Whether a majority is there to accept.  A state that too few can accept would stay half agreed on, and keep
        all from being sure of the one in force.
        """
        for members in target.member_sets():
            answer = {m.ip: Voter(m.disk_id, m.disk_id == 0) for m in members if self.is_responsive(now, m)}
            if missing_votes([members], {**answer, **current.promises}, majority):
                return False
        return True

    def on_accepted(self, source: str, message: Accepted) -> None:
        """Count that a member accepted the round's state."""
        current = self.round
        if current is not None and current.ballot == message.ballot and current.value is not None:
            current.acceptances[source] = message.voter

    def on_missing_configuration(self, source: str, ballot: Ballot) -> None:
        """Bytes that were believed to be at a member, or here, are not: now they go, or come, whole."""
        if self.round is not None and self.round.ballot == ballot:
            self.round.without_deltas = True
            self.round.known_digests[source] = []
            if source not in self.round.payload_sent_at:  # else they may be under way, and go again in time
                self.round.sent_at.pop(source, None)

    def on_rejected(self, now: float, source: str, message: Rejected) -> None:
        """Note that a member has promised a higher ballot, or lets another round go first for a while.

        In the second case it is asked again.  The round ends where too few members are left for it.
        """
        highest, wait = message.promised, message.wait_ms / 1000
        self.highest_count = max(self.highest_count, highest[0])
        current = self.round
        if current is None or current.ballot != message.ballot:
            return
        if message.of_accept is (current.value is None):
            return  # it answers what was asked in another phase
        if wait and not message.of_accept:
            current.deferred_by.add(source)
            current.contended = True
            self.forward(highest[2])
            return
        current.rejections.add(source)
        if wait:
            self.forward(highest[2])
        current.rival_wait = max(current.rival_wait, wait)
        sets = current.value.member_sets() if current.value is not None else self.prepare_member_sets(current)
        needed = read_quorum if current.value is None else majority
        have = current.promises if current.value is None else current.acceptances
        left = [sum(self.may_answer(now, m, current.rejections, have) for m in members) for members in sets]
        if any(count < needed(len(members)) for count, members in zip(left, sets, strict=True)):
            self.back_off(now)

    def may_answer(self, now: float, member: Member, refused: Collection[str], have: Collection[str]) -> bool:
        """Whether a member has answered a round well, or may still: it has not refused, and is there."""
        if member.ip in refused:
            return False
        return member.ip in have or member.ip == self.me[0] or self.is_responsive(now, member)

    def abandon_round(self) -> None:
        """End a round that has decided nothing; members that let it in, or whose promise is still on its way, need
        not keep others waiting for it.
        """
        if self.round is not None:
            message = RoundEnded(self.round.ballot)
            out = self.round.rejections | self.round.deferred_by
            asked = dict.fromkeys([*self.round.promises, *self.round.sent_at])
            self.outbox += [OutgoingMessage(ip, message) for ip in asked if ip not in out]
            self.abandoned_ballot, self.round = self.round.ballot, None

    def back_off(self, now: float) -> None:
        """End a round that met another, and begin anew above it: once that one has ended, as a newer state tells, or
        has had its time.
        """
        wait = self.round.rival_wait if self.round is not None else 0.0
        self.abandon_round()
        pause = min(MAX_BACKOFF, MIN_BACKOFF * 2**self.failed_rounds) if wait or self.failed_rounds else 0.0
        self.failed_rounds += 1
        self.backoff_until = now + wait + pause * (0.5 + self.random.random())

    def take_decision(self) -> tuple[Ballot, ControlState, bytes | None] | None:
        """What the round has decided, with its configuration, or that the state in force is the newest; the round is
        over then.
        """
        current = self.round
        if current is None or current.value is None:
            return None
        if current.value is not current.base and missing_votes(
            current.value.member_sets(), current.acceptances, majority
        ):
            return None
        if current.value is current.base:
            self.abandon_round()
        self.round, self.failed_rounds = None, 0
        self.confirmed_since = max(self.confirmed_since, current.started_at)
        return current.ballot, current.value, current.configurations.get(current.value.configuration_digest)
