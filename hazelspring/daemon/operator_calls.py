"""Orders of operators: those that this node has proposed, and the callbacks that wait for their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hazelspring.configuration.incremental import LoadedConfiguration
from hazelspring.configuration.validation import validate_change
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.daemon.structured_log import log
from hazelspring.node.actions import Action
from hazelspring.node.node import Node


@dataclass(slots=True, frozen=True)
class OrderResult:
    """The result of an order.

    `conflict`: another configuration has its number; `body`: the packed configuration of a read.
    """

    succeeded: bool
    conflict: bool = False
    reason: str = ""
    body: bytes = b""


Reply = Callable[[OrderResult], None]


class OperatorCalls:
    """Hands orders to the node, and their results to the callers; each is answered once."""

    def __init__(
        self,
        clock: Callable[[], float],
        node: Callable[[], Node],
        loaded_configuration: Callable[[], LoadedConfiguration | None],
        execute: Callable[[list[Action]], None],
    ) -> None:
        """`node` and `loaded_configuration` return those in use; `execute` executes the node's actions."""
        self.clock = clock
        self.node = node
        self.loaded_configuration = loaded_configuration
        self.execute = execute
        self.token = 0  # of the last order
        self.replies: dict[int, Reply] = {}

    def put_configuration(self, body: bytes, reply: Reply) -> None:
        """Order a new configuration; raises InvalidConfigurationError, and orders nothing then."""
        checked = validate_change(body, self.loaded_configuration())
        self._propose(lambda token: self.node().put_configuration(self.clock(), token, body, checked), reply)

    def read_configuration(self, reply: Reply) -> None:
        """Read the newest configuration."""
        self._propose(lambda token: self.node().read_configuration(self.clock(), token), reply)

    def set_evacuation(self, zone: str, closed: bool, reply: Reply) -> None:
        """Evacuate a zone (`closed`), or use it again."""
        self._propose(lambda token: self.node().set_evacuation(self.clock(), token, zone, closed), reply)

    def retire_member(self, ip: str, reply: Reply) -> None:
        """Remove a member from the core for good."""
        self._propose(lambda token: self.node().retire_member(self.clock(), token, ip), reply)

    def on_outcome(self, outcome: ProposalOutcome) -> None:
        """Answer the order that has ended."""
        reply = self.replies.pop(outcome.token, None)
        if reply is None:
            return
        if not outcome.succeeded:
            sentence = "refused an order" if outcome.conflict else "could not settle an order"
            log.write("api", sentence, why=outcome.reason)
        body = outcome.configuration or b""
        reply(OrderResult(outcome.succeeded, outcome.conflict, outcome.reason, body))

    def fail_all(self, reason: str) -> None:
        """Fail all open orders, as the node that they were proposed at is replaced."""
        for token in list(self.replies):
            self.on_outcome(ProposalOutcome(token, False, reason))

    def _propose(self, propose: Callable[[int], list[Action]], reply: Reply) -> None:
        """Propose an order under a token of its own; an error of the node is the caller's."""
        self.token += 1
        self.replies[self.token] = reply
        try:
            actions = propose(self.token)
        except Exception:
            del self.replies[self.token]
            raise
        self.execute(actions)
