"""The node of the control model: the program's own `ControlReplica`, without time."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from hazelspring.consensus.control_state import Ballot, ControlState
from hazelspring.consensus.forwarding import (
    VALID_VERSIONS,
    ForwardedProposals,
    ProposalForwarder,
    forwarded_change,
)
from hazelspring.consensus.messages import (
    Accept,
    Accepted,
    ConfigurationMissing,
    ConsensusMessage,
    Decision,
    OutgoingMessage,
    Prepare,
    Promise,
    ProposalsForwarded,
)
from hazelspring.consensus.proposal import Proposal
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node import codec
from hazelspring.node.control_replica import ControlReplica
from hazelspring.node.reconfiguration import Reconfiguration
from hazelspring.node.state_transfer import StateTransfer

NEVER = float("inf")
PROPOSAL_AGE = 0.5  # seconds since a proposal: long enough that a round begins for it, too short to time out


class ModelNode(ControlReplica):
    """A `ControlReplica` whose rounds begin only at the steps of a schedule."""

    def __init__(self, node_info: NodeInfo, records: dict[str, bytes], first: bool, seeds: list[str]) -> None:
        super().__init__(0.0, PeerTable(node_info, 0.0), records, first, seeds)
        self.proposer.backoff_until = NEVER
        self.first, self.records, self.clock = first, records, 0

    def must_yield_to(self, now: float, source: str, base: int) -> bool:
        return False  # an admitted round defers no other, as its time may be over

    def learn(self, now: float, ballot: Ballot, state: ControlState, compressed: bytes | None) -> None:
        super().learn(now, ballot, state, compressed)
        self.proposer.backoff_until = NEVER  # otherwise a round would begin at once

    @property
    def now(self) -> float:
        return self.clock + PROPOSAL_AGE

    def clone(self) -> ModelNode:
        """Return an independent copy of the node."""
        new = copy.copy(self)
        new.peers = PeerTable(self.peers.me, 0.0)
        acceptor = new.acceptor = copy.copy(self.acceptor)
        acceptor.configurations = dict(sorted(acceptor.configurations.items()))
        acceptor.dirty_records, acceptor.stored_records = (
            set(acceptor.dirty_records),
            set(acceptor.stored_records),
        )
        proposer = new.proposer = copy.copy(self.proposer)
        proposer.acceptor, proposer.proposals = acceptor, list(proposer.proposals)
        # Forwarded proposals never expire in the model.
        forwarded = [
            replace(proposal, started_at=NEVER) for proposal in proposer.received_proposals.proposals
        ]
        proposer.received_proposals, proposer.forwarder, proposer.outbox = (
            ForwardedProposals(forwarded),
            ProposalForwarder(),
            [],
        )
        if (current := proposer.round) is not None:
            promises, acceptances = dict(current.promises), dict(current.acceptances)
            proposer.round = replace(
                current,
                promises=promises,
                acceptances=acceptances,
                known_digests=dict(current.known_digests),
                configurations=dict(current.configurations),
                sent_at={},
                payload_sent_at={},
            )
        new.reconfiguration = Reconfiguration(0.0, new.peers, acceptor, proposer, self.first)
        new.records, new.actions = dict(self.records), []
        new.transfer = StateTransfer(new.peers, acceptor)
        new.transfer.last_request = self.transfer.last_request
        saves = new.saves = copy.copy(self.saves)
        saves.acceptor = acceptor
        saves.after_current_save, saves.after_next_save = (
            list(saves.after_current_save),
            list(saves.after_next_save),
        )
        return new

    def key(self) -> tuple[Any, ...]:
        """Return a key of all state that the next steps of the node depend on."""
        acceptor, proposer, current = self.acceptor, self.proposer, self.proposer.round
        round_key: tuple[Any, ...] = ()
        if current is not None and current.value is not None:  # the promises have no effect any more
            digest = current.value.configuration_digest
            holders = frozenset(ip for ip, digests in current.known_digests.items() if digest in digests)
            round_key = (current.value, frozenset(current.acceptances.items()), holders)
        elif current is not None:
            digests_by_member = frozenset(
                (ip, frozenset(digests)) for ip, digests in current.known_digests.items()
            )
            round_key = (
                current.highest_accepted,
                frozenset(current.promises.items()),
                digests_by_member,
                frozenset(current.configurations),
            )
        if current is not None:
            round_key += (current.ballot, current.base, current.started_at, current.proposed_tokens)
        return (
            (
                self.peers.me,
                acceptor.promised,
                acceptor.accepted,
                acceptor.decided,
                frozenset(acceptor.configurations),
            ),
            (
                frozenset(acceptor.dirty_records),
                frozenset(acceptor.stored_records),
                proposer.highest_count,
                proposer.confirmed_since,
                self.clock,
            ),
            (
                tuple(
                    (
                        proposal.token,
                        proposal.base_version,
                        proposal.bound_version,
                        proposal.confirmed_version,
                        proposal.started_at,
                    )
                    for proposal in proposer.proposals
                ),
                round_key,
            ),
            tuple(
                (proposal.valid_from_version, proposal.source, forwarded_change(proposal))
                for proposal in proposer.received_proposals.proposals
            ),
            (
                frozenset(self.records.items()),
                repr(self.saves.records_being_saved),
                tuple((reply.to, codec.encode(reply.message)) for reply in self.saves.after_current_save),
                tuple((reply.to, codec.encode(reply.message)) for reply in self.saves.after_next_save),
            ),
        )


@dataclass(frozen=True)
class Event:
    """A step that may happen once.

    `kind` is "propose", "leave" (of the callers, which the node does not see), "crash", "wipe" (of the disk) or
    "fail" (of a save).  `after` is the token of a proposal that must be confirmed before, `follows` the number of
    an event of the case that must have happened before.
    """

    kind: str
    ip: str
    proposal: Proposal | None = None
    is_possible: Callable[[ModelNode], bool] = lambda node: True  # by the state that the node knows
    name: str = ""
    after: int = 0
    follows: int | None = None


def consensus_message(body: bytes) -> ConsensusMessage:
    message = codec.decode(body)
    assert isinstance(message, ConsensusMessage)
    return message


def without_duplicates(replies: list[OutgoingMessage]) -> list[OutgoingMessage]:
    """Return replies that wait for a save, sorted and without duplicates.

    Duplicates need not be sent, as any message that was sent may arrive repeatedly.
    """
    found = {(reply.to, codec.encode(reply.message)): reply for reply in replies}
    return [found[key] for key in sorted(found)]


def is_obsolete(node: ModelNode, message: ConsensusMessage, may_forget: bool) -> bool:
    """Return whether a message can have no effect at a node any more.

    It would be refused, was answered already, or nothing waits for it.  A refusal also reports the newest
    state, which the node that decided it reports too.
    """
    acceptor, current = node.acceptor, node.proposer.round
    match message:
        case Decision():
            return not may_forget and message.state.version <= acceptor.version
        case ProposalsForwarded():
            return not may_forget and message.version + VALID_VERSIONS <= acceptor.version
        case Prepare():
            return not may_forget and message.ballot <= acceptor.promised
        case Accept():
            is_accepted = acceptor.accepted is not None and acceptor.accepted[0] == message.ballot
            return not may_forget and (message.ballot < acceptor.promised or is_accepted)
        case Promise() | Accepted() | ConfigurationMissing():
            is_late = isinstance(message, Promise) and current is not None and current.value is not None
            return current is None or current.ballot != message.ballot or is_late
    return False
