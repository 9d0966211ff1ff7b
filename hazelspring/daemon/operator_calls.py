"""Orders of operators: those that this node has begun, and who waits to hear how each ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hazelspring.configuration.incremental import Held
from hazelspring.configuration.validation import check_change
from hazelspring.consensus.proposal import Done
from hazelspring.daemon.structured_log import log
from hazelspring.node.actions import Deed
from hazelspring.node.node import Core


@dataclass(slots=True, frozen=True)
class Settled:
    """How an order ended: `conflict` where another body holds its number; `body` is what was read, packed."""

    good: bool
    conflict: bool = False
    why: str = ""
    body: bytes = b""


Reply = Callable[[Settled], None]


class OperatorCalls:
    """Hands orders to the core and their ends to those who sent them; each is answered once.

    `core` gives the core in use, `held` the configuration in use, `carry_out` carries out what the core wants done.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        core: Callable[[], Core],
        held: Callable[[], Held | None],
        carry_out: Callable[[list[Deed]], None],
    ) -> None:
        self.clock = clock
        self.core = core
        self.held = held
        self.carry_out = carry_out
        self.token = 0
        self.replies: dict[int, Reply] = {}

    def put(self, body: bytes, done: Reply) -> None:
        """A new configuration.  Raises hazelspring.configuration.validation.Invalid, and nothing is ordered then."""
        checked = check_change(body, self.held())
        self._begin(lambda token: self.core().put(self.clock(), token, body, checked), done)

    def read(self, done: Reply) -> None:
        """The newest configuration."""
        self._begin(lambda token: self.core().read(self.clock(), token), done)

    def evacuate(self, zone: str, closed: bool, done: Reply) -> None:
        """Close a zone, or open it again."""
        self._begin(lambda token: self.core().evacuate(self.clock(), token, zone, closed), done)

    def retire(self, ip: str, done: Reply) -> None:
        """Take a member out of the core for good."""
        self._begin(lambda token: self.core().retire(self.clock(), token, ip), done)

    def done(self, end: Done) -> None:
        """An order has ended."""
        reply = self.replies.pop(end.token, None)
        if reply is None:
            return
        if not end.good:
            log.say("api", "refused an order" if end.conflict else "could not settle an order", why=end.why)
        reply(Settled(end.good, end.conflict, end.why, end.word or b""))

    def fail_all(self, why: str) -> None:
        """The core that the orders were begun at is given up."""
        for token in list(self.replies):
            self.done(Done(token, False, why))

    def _begin(self, begin: Callable[[int], list[Deed]], reply: Reply) -> None:
        self.token += 1
        self.replies[self.token] = reply
        try:
            deeds = begin(self.token)
        except Exception:
            del self.replies[self.token]  # its caller hears of the error
            raise
        self.carry_out(deeds)
