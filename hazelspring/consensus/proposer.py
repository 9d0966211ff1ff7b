"""The proposer of one node: its open proposals, and the rounds that carry them out.

A round requests promises from the members, and then acceptances of one state.
"""

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
    KnownConfiguration,
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

# Seconds between requests to a member that has not answered.
RESEND_INTERVAL = 0.25
# Bytes per second of a node's gigabit link, which is shared by all copies of a configuration that are sent
# at once.
LINK_BANDWIDTH = 100e6
# Seconds after which a round that competes with another round stops waiting for answers in a phase: two
# syncs of a slow disk.
CONTENDED_ROUND_TIMEOUT = 0.7
# Seconds after which a proposal fails.  Its caller's time-out for this node is shorter; the caller then
# sends the proposal again to any node.
PROPOSAL_TIMEOUT = 3.0
# Seconds after the submission of an operator's order within which it is bound to a newer version.  The caller still
# waits then: it calls another node after a second of silence, which may confirm the order and later ones.
BINDING_TIME = 0.9
# Seconds within which answers of members may settle a proposal that changes nothing, before a round begins
# for it.
NO_CHANGE_GRACE = 0.3
# Seconds of the first back-off after a round that met a competing one: a fraction of a round trip between
# regions.
MIN_BACKOFF = 0.03
# Seconds at which the back-off stops doubling with each failed round; with its random factor of 0.5 to 1.5
# it stays below half of the time for which a member gives priority to another round.
MAX_BACKOFF = 0.3
# Minimum seconds that the recipient of forwarded proposals has to carry them out before this node begins a
# round of its own; a random part of up to the same length is added.
FORWARDING_GRACE = 0.2


class Proposer:
    """The proposer of one node.

    It leads one round at a time, which carries out all open proposals together.  A round that finds an accepted state
    which may have been decided completes only that state, and proposes nothing of its own.

    Parameters
    ----------
    acceptor
        The node's acceptor.
    me
        The node's address and the incarnation of its process, which become part of its ballots.
    random_source
        Draws the random parts of back-offs.
    is_responsive
        Returns whether a member has answered recently, at a time in seconds of the node's clock.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        me: tuple[str, int],
        random_source: random.Random,
        is_responsive: Callable[[float, Member], bool],
    ) -> None:
        self.acceptor, self.me, self.random, self.is_responsive = acceptor, me, random_source, is_responsive
        self.proposals: list[Proposal] = []
        self.round: Round | None = None
        self.abandoned_ballot = NO_BALLOT  # of the last round that ended without deciding a new state
        self.highest_count = 0  # the highest counter of a ballot that is known
        # How many rounds in a row competing rounds have ended, and the time until which no new round begins.
        self.failed_rounds, self.backoff_until = 0, LONG_AGO
        self.outbox: list[OutgoingMessage] = []  # notices of ended rounds, and proposals to forward
        # Proposals that other nodes forwarded to this one, and a record of those that this node forwarded.
        self.received_proposals, self.forwarder = ForwardedProposals(), ProposalForwarder()
        # The start of the last round that succeeded: every state decided before that time is known here.
        self.confirmed_since = LONG_AGO

    def submit(self, proposal: Proposal) -> None:
        """Add a proposal of this node, and record in it the decided version that the node knows now."""
        proposal.base_version = self.acceptor.version
        if proposal.needs_binding():
            proposal.bound_version = self.acceptor.version
        self.proposals.append(proposal)

    def withdraw(self, token: int) -> None:
        """Remove a proposal whose caller has gone.

        If it is a part of a state that members have accepted already, they may still complete that state.
        """
        self.proposals = [proposal for proposal in self.proposals if proposal.token != token]

    def bind_to_new_state(self, now: float) -> None:
        """Bind the orders whose callers still wait to the newest decided version; the others are overtaken."""
        for index, proposal in enumerate(self.proposals):
            if proposal.needs_binding() and now - proposal.started_at <= BINDING_TIME:
                self.proposals[index] = replace(proposal, bound_version=self.acceptor.version)

    def on_new_state(self, now: float) -> None:
        """Bind open orders to a newer decided state, and end the back-off, as the competing round has ended.

        If this node's rounds competed with another one, the proposals that are still open are forwarded
        to the node that decided the new state, as its next round begins at once.  This node then begins a
        round of its own only if they are not carried out within `FORWARDING_GRACE` and its random part.
        """
        self.bind_to_new_state(now)
        competed = self.failed_rounds > 0 or bool(self.forwarder.tokens_by_node)
        self.failed_rounds, self.backoff_until = 0, LONG_AGO
        decided = self.acceptor.decided
        if not competed or decided is None or decided[0][2] == self.me[0]:
            return
        if any(can_forward(proposal, decided[1]) for proposal in self.proposals):
            self.forward(decided[0][2])
            self.backoff_until = now + FORWARDING_GRACE * (1 + self.random.random())

    def forward(self, to: str) -> None:
        """Forward operators' open proposals to the node whose round has priority.

        That node includes them in this round or in its next one.
        """
        state = self.acceptor.state
        if state is None or to == self.me[0]:
            return
        if changes := self.forwarder.select(state, to, self.proposals):
            self.outbox.append(OutgoingMessage(to, ProposalsForwarded(state.version, tuple(changes))))

    def take_outbox(self) -> list[OutgoingMessage]:
        """Return and clear the messages to be sent besides the requests of a round, the newest first."""
        taken, self.outbox = self.outbox[::-1], []
        return taken

    def has_proposal(self, kind: ProposalKind) -> bool:
        """Return whether a proposal of a kind is open here."""
        return any(proposal.kind == kind for proposal in self.proposals)

    def resolve(self, now: float, is_confirmed: Callable[[Proposal], bool]) -> list[ProposalOutcome]:
        """Remove the proposals that the decided state settles or that have timed out; return their outcomes.

        Outcomes are returned only for proposals with a caller that waits (a token other than 0).

        Parameters
        ----------
        now
            Seconds of the node's clock.
        is_confirmed
            Returns whether this node knows every state that was decided before a proposal was submitted.
        """
        state, ended = self.acceptor.state, []
        if state is not None and state.version > 0:
            self.confirm(state.version, is_confirmed)
        for proposal in list(self.proposals):
            if (
                state is not None
                and state.version > 0
                and (outcome := outcome_of(proposal, state, self.acceptor, is_confirmed))
            ):
                ended.append(outcome)
            elif now - proposal.started_at > PROPOSAL_TIMEOUT:
                ended.append(ProposalOutcome(proposal.token, False, self.stall_reason()))
            else:
                continue
            self.proposals.remove(proposal)
        return [outcome for outcome in ended if outcome.token]

    def stall_reason(self) -> str:
        """Return an error text for operators that states which answers the current round is waiting for."""
        if self.round is None:
            return "look: too few voices"
        current = self.round
        if current.value is None:
            missing = missing_votes(self.prepare_member_sets(current), current.promises, read_quorum)
            return f"look: {missing} voices are missing"
        return f"copy: {missing_votes(current.value.member_sets(), current.acceptances, majority)} disks are missing"

    def advance(self, now: float) -> list[OutgoingMessage]:
        """Advance the round as far as it goes, and return the requests to be sent.

        A round begins if a proposal needs one and no back-off is in progress.  It is abandoned if
        another node has decided a newer state, or no proposal is left.  A round that competes with another
        one backs off once its phase has taken `CONTENDED_ROUND_TIMEOUT`.  Members that have not answered are
        sent the request again.
        """
        state = self.acceptor.state
        if self.round is not None and self.acceptor.version > self.round.base.version:
            self.abandon_round()  # another node has decided: the next round starts from that state
        contended = self.round is not None and (self.round.rejections or self.round.contended)
        if (
            contended
            and self.round is not None
            and now - self.round.phase_started_at > CONTENDED_ROUND_TIMEOUT
        ):
            self.back_off(now)  # a member that has not answered by now is not expected to answer
        self.received_proposals.expire(now, state)
        if state is None or not (self.proposals or self.received_proposals.applicable(state)):
            self.abandon_round()
            return []
        if self.round is None:
            needed = any(self.needs_round(now, proposal, state) for proposal in self.proposals)
            needed = needed or bool(self.received_proposals.applicable(state))
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
        """Return whether a proposal needs a round now.

        A proposal that changes nothing gets one only after `NO_CHANGE_GRACE`.
        """
        if not proposal.may_be_applied_to(state):
            return False
        if proposal.kind == ProposalKind.RESOLVE or proposal.apply(state) is not state:
            return True
        if proposal.needs_new_version() and state.version > 0:
            return True
        return state.version > 0 and now - proposal.started_at > NO_CHANGE_GRACE

    def next_state(self, base: ControlState) -> ControlState:
        """Return `base` with all open proposals applied, or `base` itself if no new version is needed.

        Forwarded proposals are applied before this node's own.  At most one proposal changes the members, as one
        version may change them only once.
        """
        state, members_changed = base, False
        for forwarded in self.received_proposals.applicable(base):
            state = forwarded.apply(state)
        own = [proposal for proposal in self.proposals if proposal.may_be_applied_to(base)]
        for proposal in own:
            if proposal.changes_members():
                if members_changed:
                    continue
                members_changed = proposal.apply(state) is not state
            state = proposal.apply(state)
        needs_new_version = base.version > 0 and any(proposal.needs_new_version() for proposal in own)
        if state is base and not needs_new_version:
            return base
        return replace(state, version=base.version + 1, previous_members=base.members)

    def prepare_member_sets(self, current: Round) -> list[tuple[Member, ...]]:
        """Return the sets of members; the round needs a read quorum of promises from each set.

        These are the members of the round's base and, without duplicates, the member sets of the accepted
        state that the round has to complete, or else of the state that it is to propose.
        """
        sets = [current.base.members]
        if current.highest_accepted[1].version > current.base.version:
            sets += current.highest_accepted[1].member_sets()
        elif (wanted := self.next_state(current.base)) is not current.base:
            sets += wanted.member_sets()
        return list(dict.fromkeys(sets))

    def requests(self, now: float, current: Round) -> list[OutgoingMessage]:
        """Return the requests of the current phase to members that have not answered.

        A member is left out if it was sent a request less than `RESEND_INTERVAL` ago, or has refused.
        """
        if current.value is current.base:
            return []  # nothing is to change, so no state has to be accepted
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
                known = KnownConfiguration(current.base.configuration_digest, not current.without_deltas)
                message = Prepare(current.ballot, current.base.version, known)
            else:
                payload = self.payload_to_send(now, ip, current, current.value, len(ips))
                message = Accept(current.ballot, current.base.version, current.value, payload)
            requests.append(OutgoingMessage(ip, message))
        return requests

    def payload_to_send(
        self, now: float, ip: str, current: Round, value: ControlState, recipients: int
    ) -> ConfigurationPayload | None:
        """Return the payload of an `Accept` that is sent to a member now.

        A complete configuration is not sent again while it may still be in transit; the transfer takes
        longer the more recipients share the link.  Requests in the meantime have no payload, and the member
        answers them by `ConfigurationMissing` if the configuration has not arrived.
        """
        payload = self.payload_for(ip, value.configuration_digest, current)
        if isinstance(payload, FullConfiguration):
            transfer_time = len(payload.compressed) * recipients / LINK_BANDWIDTH
            if now - current.payload_sent_at.get(ip, LONG_AGO) < max(RESEND_INTERVAL, transfer_time):
                return None
            current.payload_sent_at[ip] = now
        return payload

    def payload_for(self, ip: str, digest: bytes, current: Round) -> ConfigurationPayload | None:
        """Return a configuration's payload for a member; None if the member holds it or it is not known.

        The payload is a path of deltas from a configuration that the member holds, if that is smaller, or
        else the complete configuration.  There is none for `NO_CONFIGURATION`.
        """
        # A member that has not promised yet most likely holds the configuration in force.
        holds = current.known_digests.get(ip, [current.base.configuration_digest])
        if digest == NO_CONFIGURATION or digest in holds:
            return None
        compressed = self.find_configuration(digest)
        if compressed is None:
            return None
        path = self.acceptor.delta_path(holds, digest, compressed) if ip != self.me[0] else None
        return FullConfiguration(compressed) if path is None else path

    def find_configuration(self, digest: bytes) -> bytes | None:
        """Return the compressed configuration of a digest; None if it is unknown here.

        It may be held by the acceptor, be received with a promise, or belong to an open or forwarded
        proposal.
        """
        if digest in self.acceptor.configurations:
            return self.acceptor.configurations[digest]
        if self.round is not None and digest in self.round.configurations:
            return self.round.configurations[digest]
        known = [*self.proposals, *self.received_proposals.proposals]
        return next(
            (proposal.configuration for proposal in known if proposal.configuration_digest == digest), None
        )

    def on_promise(self, source: str, message: Promise, compressed: bytes | None = None) -> None:
        """Count a promise for the current round, and record the accepted state that it reports.

        A promise that arrives after its round was abandoned is answered by `RoundEnded`.

        Parameters
        ----------
        source
            The address of the member that promises.
        message
            The promise.
        compressed
            The compressed configuration received with it, of the state that the member accepted last.
        """
        current, accepted = self.round, message.accepted
        if message.ballot == self.abandoned_ballot:  # the promise was sent before `RoundEnded` arrived
            self.outbox.append(OutgoingMessage(source, RoundEnded(message.ballot)))
        if current is None or current.ballot != message.ballot or current.value is not None:
            return
        current.promises[source], current.known_digests[source] = message.voter, list(message.known_digests)
        if accepted is not None and compressed is not None:
            current.configurations[accepted.state.configuration_digest] = compressed
        if accepted is not None and accepted.ballot > current.highest_accepted[0]:
            current.highest_accepted = accepted

    def choose_value(self, now: float, current: Round) -> None:
        """Choose the state to be accepted, and begin the second phase, once read quorums have promised.

        The value is the state accepted at the highest ballot, if that is newer than the base, or else the
        base with the open proposals applied.  The round waits while a majority cannot be reached, or the
        configuration of the state is unknown here.
        """
        if missing_votes(self.prepare_member_sets(current), current.promises, read_quorum):
            return
        found = current.highest_accepted[1]
        target = found if found.version > current.base.version else self.next_state(current.base)
        if target is not current.base and not self.can_reach_majority(now, current, target):
            return
        if target.configuration_digest != NO_CONFIGURATION:
            compressed = self.find_configuration(target.configuration_digest)
            if compressed is None:
                return
            # The proposal that brought the configuration may end before the round does.
            current.configurations[target.configuration_digest] = compressed
            self.acceptor.compute_delta(
                current.base.configuration_digest, target.configuration_digest, compressed
            )
        if found.version <= current.base.version:
            current.proposed_tokens = frozenset(proposal.token for proposal in self.proposals)
        current.start_accept_phase(now, target)

    def can_reach_majority(self, now: float, current: Round, target: ControlState) -> bool:
        """Return whether a majority of each set of members can be expected to accept a state.

        Members that have promised or have answered recently count.  A state that fewer than a majority
        accept would remain accepted but undecided, and would keep nodes from confirming that the decided
        state is the newest.
        """
        for members in target.member_sets():
            answer = {m.ip: Voter(m.disk_id, m.disk_id == 0) for m in members if self.is_responsive(now, m)}
            if missing_votes([members], {**answer, **current.promises}, majority):
                return False
        return True

    def on_accepted(self, source: str, message: Accepted) -> None:
        """Count an acceptance of the round's state."""
        current = self.round
        if current is not None and current.ballot == message.ballot and current.value is not None:
            current.acceptances[source] = message.voter

    def on_missing_configuration(self, source: str, ballot: Ballot) -> None:
        """Request or send a complete configuration if deltas were not enough.

        Either a member lacks the configuration of an `Accept` that it was believed to hold, and is sent the
        complete one; or the deltas in a promise cannot be applied here, and the promise is requested again
        with the complete configuration.
        """
        if self.round is not None and self.round.ballot == ballot:
            self.round.without_deltas = True
            self.round.known_digests[source] = []
            # A configuration that was sent already may still be in transit; it is sent again
            # once the time of the transfer is over.
            if source not in self.round.payload_sent_at:
                self.round.sent_at.pop(source, None)

    def on_rejected(self, now: float, source: str, message: Rejected) -> None:
        """Handle a refusal: the member has promised a higher ballot, or gives priority to another round.

        If the refusal of a `Prepare` gives a time to wait, the request is sent again later.  Any other
        refusal is final for this phase, and the round backs off if too few members are left for a quorum.
        If a time to wait is given, the open proposals are forwarded to the node whose round has
        priority.
        """
        highest, wait = message.promised, message.wait_ms / 1000
        self.highest_count = max(self.highest_count, highest[0])
        current = self.round
        if current is None or current.ballot != message.ballot:
            return
        if message.of_accept is (current.value is None):
            return  # the refused request belongs to the other phase
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
        """Return whether a member has granted the request of the current phase, or may still grant it.

        This holds if it has not refused, and has either granted the request, is this node, or has
        answered recently.
        """
        if member.ip in refused:
            return False
        return member.ip in have or member.ip == self.me[0] or self.is_responsive(now, member)

    def abandon_round(self) -> None:
        """End the round, if there is one, without a new decision.

        All members that have promised, or whose promise may still be in transit, are notified, so that they
        do not keep other rounds waiting for this one.  Members that have refused are not notified.
        """
        if self.round is not None:
            message = RoundEnded(self.round.ballot)
            refused = self.round.rejections | self.round.deferred_by
            recipients = dict.fromkeys([*self.round.promises, *self.round.sent_at])
            self.outbox += [OutgoingMessage(ip, message) for ip in recipients if ip not in refused]
            self.abandoned_ballot, self.round = self.round.ballot, None

    def back_off(self, now: float) -> None:
        """Abandon a round that met a competing one, and set the time before which no new round begins.

        The new round, at a higher ballot, begins once the time of the competing one is over, or sooner if
        a newer decided state shows that it has ended (:meth:`on_new_state`).  An exponential back-off with a
        random part is added, except after a first failed round that was given no time to wait.
        """
        wait = self.round.rival_wait if self.round is not None else 0.0
        self.abandon_round()
        pause = min(MAX_BACKOFF, MIN_BACKOFF * 2**self.failed_rounds) if wait or self.failed_rounds else 0.0
        self.failed_rounds += 1
        self.backoff_until = now + wait + pause * (0.5 + self.random.random())

    def take_decision(self) -> tuple[Ballot, ControlState, bytes | None] | None:
        """Return the ballot, the state and the compressed configuration that the round has decided, and end the round.

        The result is None while acceptances are missing.  If nothing was to change, the state is the
        round's base: a read quorum has confirmed that it was the newest one when the round began.
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
        # The base was the newest decided state until the round succeeded.
        self.confirm(current.base.version, lambda proposal: proposal.token in current.proposed_tokens)
        return current.ballot, current.value, current.configurations.get(current.value.configuration_digest)

    def confirm(self, version: int, is_confirmed: Callable[[Proposal], bool]) -> None:
        """Record in the open proposals that `is_confirmed` names that this version was the newest after they came."""
        for index, proposal in enumerate(self.proposals):
            if proposal.confirmed_version is None and is_confirmed(proposal):
                self.proposals[index] = replace(proposal, confirmed_version=version)
