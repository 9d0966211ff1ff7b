"""Commands of operators: the node proposes them, and callbacks wait for their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

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


class Caller(Protocol):
    """Whoever waits for the result of a command."""

    def has_left(self) -> bool:
        """Return whether the caller has closed its connection, also if that has not been read from it yet."""


@dataclass(slots=True, frozen=True)
class OpenCommand:
    """A command that was proposed, and who waits for its result."""

    caller: Caller
    reply: Reply


class OperatorCalls:
    """Passes commands to the node, and their results to the callers.

    Each command is answered once.  One whose caller leaves without an answer is withdrawn: the caller may have
    given it to another node, and later commands may have been acknowledged since.
    """

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
        self.open_commands: dict[int, OpenCommand] = {}  # by token

    def put_configuration(self, caller: Caller, body: bytes, reply: Reply) -> None:
        """Propose a new configuration; raises InvalidConfigurationError, and then proposes nothing."""
        checked = validate_change(body, self.loaded_configuration())
        self._propose(
            lambda token: self.node().put_configuration(self.clock(), token, body, checked),
            OpenCommand(caller, reply),
        )

    def read_configuration(self, caller: Caller, reply: Reply) -> None:
        """Read the newest configuration, which the control replicas confirm first."""
        self._propose(
            lambda token: self.node().read_configuration(self.clock(), token), OpenCommand(caller, reply)
        )

    def set_evacuation(self, caller: Caller, zone: str, evacuate: bool, reply: Reply) -> None:
        """Begin the evacuation of a zone, or end it if `evacuate` is False."""
        self._propose(
            lambda token: self.node().set_evacuation(self.clock(), token, zone, evacuate),
            OpenCommand(caller, reply),
        )

    def retire_member(self, caller: Caller, ip: str, reply: Reply) -> None:
        """Remove a member from the core permanently."""
        self._propose(
            lambda token: self.node().retire_member(self.clock(), token, ip), OpenCommand(caller, reply)
        )

    def withdraw_abandoned(self) -> None:
        """Withdraw the commands whose callers have left.

        This precedes every step of the node: after a time in which the process stood still, messages of other
        nodes may be read before the ends of the callers' connections.
        """
        abandoned = [token for token, command in self.open_commands.items() if command.caller.has_left()]
        for token in abandoned:
            # The actions of an earlier withdrawal may have ended this command as well.
            if self.open_commands.pop(token, None) is not None:
                log.write("api", "withdrew a command: its caller has left")
                self.execute(self.node().withdraw(self.clock(), token))

    def on_outcome(self, outcome: ProposalOutcome) -> None:
        """Answer the command that has ended; an outcome with an unknown token is ignored."""
        command = self.open_commands.pop(outcome.token, None)
        if command is None:
            return
        if not outcome.succeeded:
            sentence = "rejected a command" if outcome.conflict else "could not confirm a command"
            log.write("api", sentence, why=outcome.reason)
        body = outcome.configuration or b""
        command.reply(CommandResult(outcome.succeeded, outcome.conflict, outcome.reason, body))

    def fail_all(self, reason: str) -> None:
        """Fail all open commands, because the node that proposed them is being replaced."""
        for token in list(self.open_commands):
            self.on_outcome(ProposalOutcome(token, False, reason))

    def _propose(self, propose: Callable[[int], list[Action]], command: OpenCommand) -> None:
        """Propose a command under a new token, unless its caller has left while it waited to be read.

        An exception from the node is raised to the caller.
        """
        if command.caller.has_left():
            log.write("api", "ignored a command: its caller has left")
            return
        self.token += 1
        self.open_commands[self.token] = command
        try:
            actions = propose(self.token)
        except Exception:
            del self.open_commands[self.token]
            raise
        self.execute(actions)
