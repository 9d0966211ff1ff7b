"""Commands of operators: the node proposes them, and callbacks wait for their results."""

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
class CommandResult:
    """The result of a command.

    `conflict` means that another configuration already has the same number; `body` is the packed
    configuration that a read returned.
    """

    succeeded: bool
    conflict: bool = False
    reason: str = ""
    body: bytes = b""


Reply = Callable[[CommandResult], None]


class OperatorCalls:
    """Passes commands to the node, and their results to the callers; each command is answered once."""

    def __init__(
        self,
        clock: Callable[[], float],
        node: Callable[[], Node],
        loaded_configuration: Callable[[], LoadedConfiguration | None],
        execute: Callable[[list[Action]], None],
    ) -> None:
        """`node` and `loaded_configuration` return the current ones; `execute` runs the node's actions."""
        self.clock = clock
        self.node = node
        self.loaded_configuration = loaded_configuration
        self.execute = execute
        self.token = 0  # of the last command
        self.replies: dict[int, Reply] = {}

    def put_configuration(self, body: bytes, reply: Reply) -> None:
        """Propose a new configuration; raises InvalidConfigurationError, and then proposes nothing."""
        checked = validate_change(body, self.loaded_configuration())
        self._propose(lambda token: self.node().put_configuration(self.clock(), token, body, checked), reply)

    def read_configuration(self, reply: Reply) -> None:
        """Read the newest configuration, which the control replicas confirm first."""
        self._propose(lambda token: self.node().read_configuration(self.clock(), token), reply)

    def set_evacuation(self, zone: str, closed: bool, reply: Reply) -> None:
        """Begin the evacuation of a zone if `closed`, else end it."""
        self._propose(lambda token: self.node().set_evacuation(self.clock(), token, zone, closed), reply)

    def retire_member(self, ip: str, reply: Reply) -> None:
        """Remove a member from the core permanently."""
        self._propose(lambda token: self.node().retire_member(self.clock(), token, ip), reply)

    def on_outcome(self, outcome: ProposalOutcome) -> None:
        """Answer the command that has ended; an outcome with an unknown token is ignored."""
        reply = self.replies.pop(outcome.token, None)
        if reply is None:
            return
        if not outcome.succeeded:
            sentence = "rejected a command" if outcome.conflict else "could not confirm a command"
            log.write("api", sentence, why=outcome.reason)
        body = outcome.configuration or b""
        reply(CommandResult(outcome.succeeded, outcome.conflict, outcome.reason, body))

    def fail_all(self, reason: str) -> None:
        """Fail all open commands, because the node that proposed them is being replaced."""
        for token in list(self.replies):
            self.on_outcome(ProposalOutcome(token, False, reason))

    def _propose(self, propose: Callable[[int], list[Action]], reply: Reply) -> None:
        """Propose a command under a new token; an exception from the node is raised to the caller."""
        self.token += 1
        self.replies[self.token] = reply
        try:
            actions = propose(self.token)
        except Exception:
            del self.replies[self.token]
            raise
        self.execute(actions)
