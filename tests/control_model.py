"""A bounded model checker of the control state, with every schedule of a few nodes that run the real code.

A node is a `hazelspring.node.control_replica.ControlReplica` with its `Acceptor` and `Proposer`, unchanged.
Messages are never removed once sent: each may arrive at any time, repeatedly, late or never.  A step of a
node depends only on the node's own state and on the message, so each step is run once and its result is
stored; a state of all nodes is a tuple of small numbers.

Decisions that depend on time are left open instead: any schedule may begin a round at any node, and may
abandon it for one with a higher ballot counter (a case bounds both).  A case also states which nodes
consider the others responsive.  So `Rejected` and `RoundEnded`, which only keep competing rounds apart, are
not sent here; neither are heartbeats, which may settle a proposal without a round.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Generic, TypeVar

import cbor2

from hazelspring.consensus.acceptor import load_acceptor
from hazelspring.consensus.control_state import NO_BALLOT, ControlState
from hazelspring.consensus.messages import ConsensusMessage, ProposalsForwarded, Rejected, RoundEnded
from hazelspring.consensus.proposal import Proposal, ProposalOutcome
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node import codec
from hazelspring.node.actions import Action, Save, Send
from hazelspring.node.sent_request import NOT_SENT

from .control_invariants import (
    Disk,
    check_configurations,
    check_evacuations,
    check_history,
    check_reads,
    check_replication,
)
from .control_node import NEVER, Event, ModelNode, consensus_message, is_obsolete, without_duplicates

T = TypeVar("T")
TIMING_MESSAGES = (Rejected, RoundEnded)  # messages that affect only the time at which rounds begin


@dataclass
class Case:
    """The initial nodes, the events that may happen once, and the bounds."""

    nodes: list[ModelNode]
    events: list[Event]
    ballot_counts: dict[str, tuple[int, ...]]  # by node: the ballot counters with which it may begin a round
    max_rounds: int  # of all nodes together
    # Nodes whose saves take a step of their own; others save at once.
    slow_savers: frozenset[str] = frozenset()
    # Nodes that may request a state from any other node while they know none.
    requesters: frozenset[str] = frozenset()
    # Pairs of nodes of which the first may forward its proposals to the second, at any time.
    forwarding_pairs: frozenset[tuple[str, str]] = frozenset()
    # Nodes that consider no other node responsive, and so propose a state only once a majority has promised.
    isolated: frozenset[str] = frozenset()
    wiped_disks: int = 0  # number of disks that the events wipe


# The numbers of the nodes' states; as bits: the messages sent, the decided states, the outcomes, and the
# events left; and the number of rounds left.
GlobalState = tuple[tuple[int, ...], int, int, int, int, int]
# The number of the node's new state; as bits: the messages sent, the states known as decided, the outcomes.
StepResult = tuple[int, int, int, int]


@dataclass
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    steps: int = 0  # of single nodes, each run once
    is_complete: bool = True  # every state within the bounds was reached
    confirmed: int = 0  # proposals that were confirmed in some state
    decided: int = 0  # states that were decided in some schedule
    fault: str = ""
    schedule: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return "\n".join([self.fault or "no fault", *self.schedule])


def set_bits(number: int) -> Iterator[int]:
    while number:
        low = number & -number
        yield low.bit_length() - 1
        number ^= low


class Numbering(Generic[T]):
    """Assigns small numbers to values, in the order in which they are added."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.values: list[T] = []

    def number_of(self, key: Any, value: T) -> int:
        number = self.numbers.setdefault(key, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


class Explorer:
    """Explores all states that a case can reach, breadth first, each state once."""

    def __init__(self, case: Case, keep_obsolete: bool = False) -> None:
        """With `keep_obsolete`, states also differ by messages that have no further effect."""
        self.case, self.keep_obsolete, self.visible_only = case, keep_obsolete, False
        self.ips = [node.peers.me.ip for node in case.nodes]
        self.nodes: Numbering[ModelNode] = Numbering()
        self.messages: Numbering[tuple[str, str, bytes]] = Numbering()  # source, recipient, message
        self.states: Numbering[ControlState] = Numbering()
        self.outcomes: Numbering[tuple[Proposal, ProposalOutcome]] = Numbering()
        self.proposals = {
            event.proposal.token: event.proposal for event in case.events if event.proposal is not None
        }
        self.minimum_versions = {
            e.proposal.token: self.proposals[e.after].configuration_version
            for e in case.events
            if e.proposal and e.after
        }
        # The tokens of proposals that no other proposal waits for, and whose callers stay.
        left_nodes = {event.ip for event in case.events if event.kind == "leave"}
        left_tokens = {e.proposal.token for e in case.events if e.proposal and e.ip in left_nodes}
        self.final_tokens = self.proposals.keys() - {event.after for event in case.events} - left_tokens
        self.inboxes = [0] * len(self.ips)  # by recipient: the messages sent to it, as bits
        self.delivered: dict[tuple[int, int], StepResult] = {}  # by node state and message
        # By node state: the messages tried, and the two sets that `effects` returns.
        self.known_effects: dict[int, tuple[int, int, int]] = {}
        # By node state and whether it may forget: the messages checked, and those without any further
        # effect.
        self.obsolete: dict[tuple[int, bool], tuple[int, int]] = {}
        self.forgetful: dict[int, list[bool]] = {}  # the results of `may_forget`, by the events left
        self.own_steps: dict[tuple[int, Any], StepResult | None] = {}  # by node state and action
        self.disks: Numbering[Disk] = Numbering()
        self.disk_numbers: dict[int, int] = {}  # by node state: the number of its disk's contents
        # The faults found: by decided states and outcomes, and by decided states and disks.
        self.checked: dict[tuple[Any, ...], str] = {}
        self.parents: dict[GlobalState, tuple[GlobalState, Any] | None] = {}

    # --- steps of one node ---------------------------------------------------------------------------------

    def complete_step(self, node: ModelNode, actions: Iterable[Action]) -> StepResult:
        """Carry out the actions of a node, and return the numbers of the results."""
        sent = ended = 0
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Save):
                if node.peers.me.ip not in self.case.slow_savers:
                    pending += self.save(node)
            elif isinstance(action, Send):
                assert isinstance(action.message, ConsensusMessage)
                message, pair = action.message, (node.peers.me.ip, action.to)
                is_dropped = isinstance(message, TIMING_MESSAGES) or (
                    isinstance(message, ProposalsForwarded) and pair not in self.case.forwarding_pairs
                )
                if not is_dropped and action.to in self.ips:
                    sent |= 1 << self.message_number(*pair, message)
            elif isinstance(action, ProposalOutcome):
                key = (action.token, action.succeeded, action.conflict, action.state)
                ended |= 1 << self.outcomes.number_of(key, (self.proposals[action.token], action))
        node.saves.after_current_save, node.saves.after_next_save = (
            without_duplicates(node.saves.after_current_save),
            without_duplicates(node.saves.after_next_save),
        )
        proposer, is_responsive = node.proposer, node.peers.me.ip not in self.case.isolated
        proposer.is_responsive = lambda now, member: is_responsive
        # A round that met another one forwards nothing by itself.
        proposer.backoff_until, proposer.failed_rounds = NEVER, 0
        if not any(
            proposal.started_at <= proposer.confirmed_since and proposal.confirmed_version is None
            for proposal in proposer.proposals
        ):
            proposer.confirmed_since = -1e9  # it has no effect on proposals that come later
        state = node.acceptor.state
        decided = 1 << self.states.number_of(state, state) if state is not None else 0
        return self.nodes.number_of(node.key(), node), sent, decided, ended

    @staticmethod
    def save(node: ModelNode) -> list[Action]:
        for name, body in (node.saves.records_being_saved or {}).items():
            if body is None:
                node.records.pop(name, None)
            else:
                node.records[name] = body
        return list(node.on_saved(node.now, node.saves.save_number, True))

    def message_number(self, source: str, to: str, message: ConsensusMessage) -> int:
        packed = (source, to, codec.encode(message))
        number = self.messages.number_of(packed, packed)
        self.inboxes[self.ips.index(to)] |= 1 << number
        return number

    def deliver(self, node_number: int, message: int) -> StepResult:
        """Deliver a message to a node."""
        source, _, body = self.messages.values[message]
        node = self.nodes.values[node_number].clone()
        return self.complete_step(node, node.on_message(node.now, source, consensus_message(body)))

    def own_step(self, node_number: int, action: Any) -> StepResult | None:
        """Perform an action that a node takes without a message; return None if it is not possible."""
        old = self.nodes.values[node_number]
        node, me = old.clone(), old.peers.me
        if action == "save":
            return (
                self.complete_step(node, self.save(node))
                if old.saves.records_being_saved is not None
                else None
            )
        if isinstance(action, int):  # begin a round with this ballot counter
            acceptor, proposer = node.acceptor, node.proposer
            highest = max(
                proposer.highest_count, acceptor.promised[0], (acceptor.decided or (NO_BALLOT,))[0][0]
            )
            has_proposals = proposer.proposals or (
                acceptor.state and proposer.received_proposals.applicable(acceptor.state)
            )
            if not has_proposals or acceptor.state is None or action <= highest:
                return None
            proposer.back_off(node.now)
            proposer.highest_count, proposer.backoff_until = action - 1, -1e9
            actions = node.on_peer_report(node.now)
            return self.complete_step(node, actions) if proposer.round is not None else None
        if isinstance(action, str):  # learn that another node has a newer state
            if old.acceptor.state is not None:
                return None  # it knows a state already
            peer = node.peers.peer(NodeInfo(action, "", "", 0, 1))
            peer.control_versions = (1 << 30, -1)
            node.actions, node.transfer.last_request = [], NOT_SENT
            node.catch_up(node.now)
            actions, node.transfer.last_request = node.actions, NOT_SENT
            node.peers = node.transfer.peers = PeerTable(me, 0.0)
            return self.complete_step(node, actions)
        if isinstance(action, tuple):  # forward its proposals to another node
            node.actions = []
            node.proposer.forward(action[1])
            return self.complete_step(node, node.advance(node.now)) if node.proposer.outbox else None
        event: Event = action
        if not event.is_possible(old):
            return None
        if event.proposal is not None:
            node.clock += 1
            proposal = replace(event.proposal, started_at=float(node.clock))
            return self.complete_step(node, node.propose(float(node.clock), proposal))
        if event.kind == "leave":  # from now on the node's proposals are older than their callers wait
            node.clock += 1
            return self.complete_step(node, [])
        if event.kind == "fail":
            if old.saves.records_being_saved is None:
                return None
            actions = node.on_saved(node.now, node.saves.save_number, False)
            node.saves.has_failed = False  # as the next tick does
            return self.complete_step(node, [*actions, *node.on_peer_report(node.now)])
        wiped = event.kind == "wipe"
        node_info = replace(
            me, incarnation=me.incarnation + 1, disk_id=me.disk_id + 10 if wiped else me.disk_id
        )
        new = ModelNode(node_info, {} if wiped else dict(old.records), old.first and not wiped, [])
        return self.complete_step(new, new.on_peer_report(new.now))

    def effects(self, node_number: int, messages: int) -> tuple[int, int]:
        """Return the messages that change a node or end a proposal there, and all messages with an effect.

        The latter include those that only make the node send messages.
        """
        tried, changing, useful = self.known_effects.get(node_number, (0, 0, 0))
        if new := messages & ~tried:
            for message in set_bits(new):
                step = self.delivered[node_number, message] = self.deliver(node_number, message)
                changing |= (step[0] != node_number or step[3] != 0) << message
                useful |= (step[0] != node_number or step[1] != 0 or step[3] != 0) << message
            self.known_effects[node_number] = (tried | new, changing, useful)
        return changing, useful

    def may_forget(self, events_left: int) -> list[bool]:
        """Return for each node whether an event may still make it forget what it has promised or learned."""
        if events_left not in self.forgetful:
            events = [self.case.events[n] for n in set_bits(events_left)]
            ips = {event.ip for event in events if event.kind in ("crash", "wipe")}
            self.forgetful[events_left] = [ip in ips for ip in self.ips]
        return self.forgetful[events_left]

    def successor(
        self, global_state: GlobalState, index: int, step: StepResult, events_left: int, rounds_left: int
    ) -> GlobalState:
        """Return the state after a step of one node, without messages that have no further effect."""
        nodes, sent, decided, ended, _, _ = global_state
        new_node, new_messages, newly_decided, newly_ended = step
        new_nodes = (*nodes[:index], new_node, *nodes[index + 1 :])
        new_messages &= ~sent
        sent |= new_messages
        for n, node_number in enumerate(new_nodes if not self.keep_obsolete else ()):
            if n == index or new_messages & self.inboxes[n]:
                sent &= ~self.obsolete_messages(
                    node_number, sent & self.inboxes[n], self.may_forget(events_left)[n]
                )
        return new_nodes, sent, decided | newly_decided, ended | newly_ended, events_left, rounds_left

    def obsolete_messages(self, node_number: int, messages: int, may_forget: bool) -> int:
        """Return the messages to a node that have no further effect."""
        tried, obsolete = self.obsolete.get((node_number, may_forget), (0, 0))
        if new := messages & ~tried:
            node, unchanging = self.nodes.values[node_number], ~self.effects(node_number, new)[0]
            for message in set_bits(new & unchanging):
                if is_obsolete(node, consensus_message(self.messages.values[message][2]), may_forget):
                    obsolete |= 1 << message
            self.obsolete[node_number, may_forget] = (tried | new, obsolete)
        return obsolete

    def successors(self, global_state: GlobalState) -> Iterator[tuple[Any, GlobalState]]:
        nodes, sent, _, ended, events_left, rounds_left = global_state
        for index, node_number in enumerate(nodes):
            for message in set_bits(sent & self.effects(node_number, sent & self.inboxes[index])[1]):
                step = self.delivered[node_number, message]
                if step[0] != node_number or step[1] & ~sent or step[3] & ~ended:
                    yield message, self.successor(global_state, index, step, events_left, rounds_left)
            ip = self.ips[index]
            own_actions: list[tuple[Any, int, int]] = []
            if rounds_left:
                own_actions += [
                    (count, events_left, rounds_left - 1) for count in self.case.ballot_counts.get(ip, ())
                ]
            if ip in self.case.slow_savers:
                own_actions.append(("save", events_left, rounds_left))
            if ip in self.case.requesters:
                own_actions += [(other, events_left, rounds_left) for other in self.ips if other != ip]
            own_actions += [
                (pair, events_left, rounds_left) for pair in self.case.forwarding_pairs if pair[0] == ip
            ]
            for n in set_bits(events_left):
                event = self.case.events[n]
                has_followed = event.follows is None or not events_left >> event.follows & 1
                is_possible = not event.after or self.is_confirmed(ended, event.after)
                if event.ip == ip and has_followed and is_possible:
                    own_actions.append((event, events_left & ~(1 << n), rounds_left))
            for action, *rest in own_actions:
                key = (node_number, action if not isinstance(action, Event) else id(action))
                if key not in self.own_steps:
                    self.own_steps[key] = self.own_step(node_number, action)
                if (result := self.own_steps[key]) is not None:
                    yield (ip, action), self.successor(global_state, index, result, *rest)

    def is_confirmed(self, ended: int, token: int) -> bool:
        """Return whether a proposal was confirmed."""
        return any(
            proposal.token == token and outcome.succeeded
            for proposal, outcome in (self.outcomes.values[n] for n in set_bits(ended))
        )

    # --- exploration ---------------------------------------------------------------------------------------

    def explore(self, max_states: int, visible_only: bool = False) -> ExplorationResult:
        """Explore until a fault is found, all states were reached, or `max_states` states were.

        With `visible_only` a fault counts only if the callers of proposals can see it.
        """
        found, self.visible_only = ExplorationResult(), visible_only
        self.search(found, max_states)
        succeeded = [proposal.token for proposal, outcome in self.outcomes.values if outcome.succeeded]
        found.states, found.steps = len(self.parents), len(self.delivered) + len(self.own_steps)
        found.confirmed, found.decided = len(set(succeeded)), len(self.states.values)
        return found

    def search(self, found: ExplorationResult, max_states: int) -> None:
        numbers: list[int] = []
        sent = decided = 0
        for node in self.case.nodes:
            node.on_peer_report(node.now)
            number, new_messages, newly_decided, _ = self.complete_step(node, self.save(node))
            numbers, sent, decided = [*numbers, number], sent | new_messages, decided | newly_decided
        initial: GlobalState = (
            tuple(numbers),
            sent,
            decided,
            0,
            (1 << len(self.case.events)) - 1,
            self.case.max_rounds,
        )
        self.parents[initial] = None
        frontier = [initial]
        while frontier and not found.fault:
            next_frontier = []
            for global_state in frontier:
                if fault := self.find_fault(global_state):
                    found.fault, found.schedule = fault, self.schedule(global_state)
                    break
                found.is_complete = found.is_complete and len(self.parents) < max_states
                if not found.is_complete:
                    continue
                for action, successor in self.successors(global_state):
                    if successor not in self.parents:
                        self.parents[successor] = (global_state, action)
                        next_frontier.append(successor)
            frontier = next_frontier

    # --- invariants ----------------------------------------------------------------------------------------

    def find_fault(self, global_state: GlobalState) -> str:
        """Return the violation of an invariant in a state, or an empty text."""
        nodes, _, decided, ended, *_ = global_state
        if (decided, ended) not in self.checked:
            states = [self.states.values[n] for n in set_bits(decided)]
            outcomes = [self.outcomes.values[n] for n in set_bits(ended)]
            fault = (
                check_configurations(states, outcomes)
                or check_reads(outcomes, self.minimum_versions)
                or check_evacuations(states, outcomes, self.final_tokens)
            )
            self.checked[decided, ended] = fault or ("" if self.visible_only else check_history(states))
        if self.visible_only or self.checked[decided, ended]:
            return self.checked[decided, ended]
        disk_numbers = tuple(self.disk_number(number) for number in nodes)
        if (decided, disk_numbers) not in self.checked:
            newest = max((self.states.values[n] for n in set_bits(decided)), key=lambda state: state.version)
            disks = {ip: self.disks.values[n] for ip, n in zip(self.ips, disk_numbers, strict=True)}
            self.checked[decided, disk_numbers] = check_replication(newest, disks, self.case.wiped_disks)
        return self.checked[decided, disk_numbers]

    def disk_number(self, number: int) -> int:
        """Return the number of the contents of a node's disk."""
        if number not in self.disk_numbers:
            acceptor = load_acceptor(self.nodes.values[number].records, 0, False)
            states = tuple(pair[1] for pair in (acceptor.accepted, acceptor.decided) if pair is not None)
            disk = (acceptor.disk_id, acceptor.may_bootstrap, states)
            self.disk_numbers[number] = self.disks.number_of(disk, disk)
        return self.disk_numbers[number]

    # --- schedules of faults -------------------------------------------------------------------------------

    def schedule(self, global_state: GlobalState) -> list[str]:
        lines = [
            f"  {ip} {self.describe(number)}" for ip, number in zip(self.ips, global_state[0], strict=True)
        ]
        while (parent := self.parents[global_state]) is not None:
            before, action = parent
            changed = [n for n, (a, b) in enumerate(zip(before[0], global_state[0], strict=True)) if a != b]
            result = "; ".join(f"{self.ips[n]} {self.describe(global_state[0][n])}" for n in changed)
            if isinstance(action, int):
                source, to, body = self.messages.values[action]
                fields = {k: v for k, v in cbor2.loads(body).items() if k not in ("k", "h")}
                text = f"{source} -> {to} {cbor2.loads(body)['k']} {fields}"
            elif isinstance(action[1], tuple):
                text = f"{action[0]} forwards its proposals to {action[1][1]}"
            elif isinstance(action[1], Event):
                text = f"{action[0]} {action[1].kind} {action[1].name}"
            elif isinstance(action[1], int):
                text = f"{action[0]} begins a round with ballot counter {action[1]}"
            else:
                text = f"{action[0]} " + (
                    "has saved" if action[1] == "save" else f"requests a newer state from {action[1]}"
                )
            outcomes = [self.outcomes.values[n] for n in set_bits(global_state[3] & ~before[3])]
            text += "".join(
                f" [proposal {proposal.token}: {'confirmed' if outcome.succeeded else outcome.reason}]"
                for proposal, outcome in outcomes
            )
            lines.insert(0, f"  {text} => {result}")
            global_state = before
        return lines

    def describe(self, number: int) -> str:
        acceptor = self.nodes.values[number].acceptor

        def short(pair: tuple[Any, ControlState] | None) -> str:
            if pair is None:
                return "nothing"
            ballot, state = pair
            members = ",".join(f"{m.ip}/{m.disk_id}" for m in state.members)
            configuration = f"r{state.configuration_version} {state.configuration_digest!r}"
            return f"v{state.version} {configuration} of {members} at {ballot[0]}.{ballot[2]}"

        promised = f"{acceptor.promised[0]}.{acceptor.promised[2]}"
        return (
            f"has promised {promised}, accepted {short(acceptor.accepted)}, decided {short(acceptor.decided)}"
        )
