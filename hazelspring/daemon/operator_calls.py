"""Orders of operators: those that this node has begun, and who waits to hear how each ends."""

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
    """How an order ended: `conflict` where another body holds its number; `body` is what was read, packed."""

    succeeded: bool
    conflict: bool = False
    reason: str = ""
    body: bytes = b""


Reply = Callable[[OrderResult], None]


class OperatorCalls:
    """Hands orders to the core and their ends to those who sent them; each is answered once.

    `core` gives the core in use, `held` the configuration in use, `carry_out` carries out what the core wants done.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        core: Callable[[], Node],
        held: Callable[[], LoadedConfiguration | None],
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self.clock = clock
        self.node = core
        self.loaded_configuration = held
        self.execute = carry_out
        self.token = 0
        self.replies: dict[int, Reply] = {}

    def put_configuration(self, body: bytes, done: Reply) -> None:
        """A new configuration.  Raises hazelspring.configuration.validation.Invalid, and nothing is ordered then."""
        checked = validate_change(body, self.loaded_configuration())
        self._begin(lambda token: self.node().put_configuration(self.clock(), token, body, checked), done)

    def read_configuration(self, done: Reply) -> None:
        """The newest configuration."""
        self._begin(lambda token: self.node().read_configuration(self.clock(), token), done)

    def set_evacuation(self, zone: str, closed: bool, done: Reply) -> None:
        """Close a zone, or open it again."""
        self._begin(lambda token: self.node().set_evacuation(self.clock(), token, zone, closed), done)

    def retire_member(self, ip: str, done: Reply) -> None:
        """Take a member out of the core for good."""
        self._begin(lambda token: self.node().retire_member(self.clock(), token, ip), done)

    def on_outcome(self, end: ProposalOutcome) -> None:
        """An order has ended."""
        reply = self.replies.pop(end.token, None)
        if reply is None:
            return
        if not end.succeeded:
            log.write(
                "api", "refused an order" if end.conflict else "could not settle an order", why=end.reason
            )
        reply(OrderResult(end.succeeded, end.conflict, end.reason, end.configuration or b""))

    def fail_all(self, why: str) -> None:
        """The core that the orders were begun at is given up."""
        for token in list(self.replies):
            self.on_outcome(ProposalOutcome(token, False, why))

    def _begin(self, begin: Callable[[int], list[Action]], reply: Reply) -> None:
        self.token += 1
        self.replies[self.token] = reply
        try:
            actions = begin(self.token)
        except Exception:
            del self.replies[self.token]  # its caller hears of the error
            raise
        self.execute(actions)
