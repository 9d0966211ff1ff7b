"""One door's part in the control state as the model steps it: the program's own control, without time."""

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
LOOKED = 0.5  # seconds after an order: long enough that it takes a round, too short to end for want of one


class ModelNode(ControlReplica):
    """A control whose rounds begin when the schedule says so."""

    def __init__(self, about: NodeInfo, records: dict[str, bytes], first: bool, seeds: list[str]) -> None:
        super().__init__(0.0, PeerTable(about, 0.0), records, first, seeds)
        self.proposer.backoff_until = NEVER
        self.first, self.records, self.clock = first, records, 0

    def must_yield_to(self, now: float, source: str, base: int) -> bool:
        return False  # a round that was let in keeps no other out: its time may be over

    def learn(self, now: float, ballot: Ballot, state: ControlState, word: bytes | None) -> None:
        super().learn(now, ballot, state, word)
        self.proposer.backoff_until = NEVER  # or a round would begin at once

    @property
    def now(self) -> float:
        return self.clock + LOOKED

    def twin(self) -> ModelNode:
        """A door in the same state, that can be changed without it."""
        new = copy.copy(self)
        new.peers = PeerTable(self.peers.me, 0.0)
        held = new.acceptor = copy.copy(self.acceptor)
        held.configurations = dict(sorted(held.configurations.items()))
        held.dirty_records, held.stored_records = set(held.dirty_records), set(held.stored_records)
        orders = new.proposer = copy.copy(self.proposer)
        orders.acceptor, orders.proposals = held, list(orders.proposals)
        kept = [
            replace(order, started_at=NEVER) for order in orders.forwarded.proposals
        ]  # it is never too old
        orders.forwarded, orders.forwarder, orders.outbox = ForwardedProposals(kept), ProposalForwarder(), []
        if (old := orders.round) is not None:
            promises, accepts = dict(old.promises), dict(old.acceptances)
            orders.round = replace(
                old,
                promises=promises,
                acceptances=accepts,
                known_digests=dict(old.known_digests),
                configurations=dict(old.configurations),
                sent_at={},
                payload_sent_at={},
            )
        new.reconfiguration = Reconfiguration(0.0, new.peers, held, orders, self.first)
        new.records, new.actions = dict(self.records), []
        new.transfer = StateTransfer(new.peers, held)
        new.transfer.last_request = self.transfer.last_request
        saves = new.saves = copy.copy(self.saves)
        saves.acceptor = held
        saves.after_current_save, saves.after_next_save = (
            list(saves.after_current_save),
            list(saves.after_next_save),
        )
        return new

    def key(self) -> tuple[Any, ...]:
        """All that its next steps depend on."""
        held, orders, current = self.acceptor, self.proposer, self.proposer.round
        turn: tuple[Any, ...] = ()
        if current is not None and current.value is not None:  # who promised is of no use any more
            digest = current.value.configuration_digest
            has = frozenset(ip for ip, digests in current.known_digests.items() if digest in digests)
            turn = (current.value, frozenset(current.acceptances.items()), has)
        elif current is not None:
            holds = frozenset((ip, frozenset(digests)) for ip, digests in current.known_digests.items())
            turn = (
                current.highest_accepted,
                frozenset(current.promises.items()),
                holds,
                frozenset(current.configurations),
            )
        if current is not None:
            turn += (current.ballot, current.base, current.started_at)
        return (
            (self.peers.me, held.promised, held.accepted, held.decided, frozenset(held.configurations)),
            (
                frozenset(held.dirty_records),
                frozenset(held.stored_records),
                orders.highest_count,
                orders.confirmed_since,
                self.clock,
            ),
            (tuple((o.token, o.base_version, o.confirmed, o.started_at) for o in orders.proposals), turn),
            tuple((o.valid_from_version, o.source, forwarded_change(o)) for o in orders.forwarded.proposals),
            (
                frozenset(self.records.items()),
                repr(self.saves.records_being_saved),
                tuple((each.to, codec.encode(each.message)) for each in self.saves.after_current_save),
                tuple((each.to, codec.encode(each.message)) for each in self.saves.after_next_save),
            ),
        )


@dataclass(frozen=True)
class Event:
    """What may come once: `what` is order, crash, wipe or fail (a save).  `after`: an order confirmed by then."""

    what: str
    ip: str
    order: Proposal | None = None
    ready: Callable[[ModelNode], bool] = lambda node: True  # as its door knows the state
    name: str = ""
    after: int = 0


def consensus_message(body: bytes) -> ConsensusMessage:
    message = codec.decode(body)
    assert isinstance(message, ConsensusMessage)
    return message


def once(answers: list[OutgoingMessage]) -> list[OutgoingMessage]:
    """Answers that wait for a save, in a settled order, each once: a message that was sent may come often anyway."""
    found = {(answer.to, codec.encode(answer.message)): answer for answer in answers}
    return [found[key] for key in sorted(found)]


def spent_at(node: ModelNode, message: ConsensusMessage, fragile: bool) -> bool:
    """Whether a message can do nothing at a door any more: it would be refused, was answered, or nobody waits.
    What a refusal tells besides, the newest state, is told by whoever decided it, too."""
    held, current = node.acceptor, node.proposer.round
    match message:
        case Decision():
            return not fragile and message.state.version <= held.version
        case ProposalsForwarded():
            return not fragile and message.version + VALID_VERSIONS <= held.version
        case Prepare():
            return not fragile and message.ballot <= held.promised
        case Accept():
            answered = held.accepted is not None and held.accepted[0] == message.ballot
            return not fragile and (message.ballot < held.promised or answered)
        case Promise() | Accepted() | ConfigurationMissing():
            late = isinstance(message, Promise) and current is not None and current.value is not None
            return current is None or current.ballot != message.ballot or late
    return False
