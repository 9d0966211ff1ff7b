"""Connections to servers.

An answer is matched to its attempt by the attempt's id; a success must also bear the server's seal and its whole
length.  Anything else is no answer: what came of it never reaches a client as if it were whole.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from typing import cast

from hazelspring.admission.interface import Outcome
from hazelspring.errors import HazelspringError
from hazelspring.gateway.caller import REASONS
from hazelspring.gateway.link import SMALL, Attempt, Flow, Link, Result
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.pool import Pool
from hazelspring.gateway.upstream import IDLE_PART, Upstream

ATTEMPT_ID_HEADER = b"x-hazelspring-attempt-id"
SERVER_SEAL_HEADER = b"x-hazelspring-server-seal"
SERVER_LOAD_HEADER = b"x-hazelspring-server-load"
NOT_EXECUTED_HEADER = b"x-hazelspring-not-executed"
ANSWERING_INSTANCE_HEADER = b"x-hazelspring-answering-instance"
FORWARDED_HEADERS = frozenset(
    (b"content-type", ATTEMPT_ID_HEADER, SERVER_SEAL_HEADER)
)  # headers of an answer that are forwarded to its client
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # sent to clients only for requests that have not run
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")  # in a Keep-Alive header, in seconds
MISDIRECTED = 421  # another server has the address; where it says which one, the request did not run


class MissingSealError(HazelspringError, ValueError):
    """A server's success does not bear its seal; the connection ends as for a malformed answer."""

    code = "missing_seal"


@dataclass(slots=True)
class UpstreamReply(Result):
    """A server's whole answer; `headers` are those that are forwarded."""

    status: int = 0
    headers: bytes = b""


@dataclass(slots=True)
class UpstreamStream(Flow):
    """A large answer whose body is still to come; `headers` are those that are forwarded."""

    headers: bytes = b""
    status: int = 200


class UpstreamAttempt(Attempt):
    """A request on its way to a server, with the id that its answer must bear."""

    __slots__ = ("id",)

    def __init__(self, id_: bytes, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.id = id_


class UpstreamConnection(Link):
    """One connection to a server."""

    __slots__ = (
        "body_truncated",
        "foreign",
        "forwarded_headers",
        "id",
        "instance_named",
        "out_of_step",
        "seal",
    )

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.foreign = False  # the answer that is read now belongs to another request
        self.out_of_step = False  # a foreign answer has come: the connection is not used again

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt; count it where its server was known to leave."""
        cast(UpstreamServers, self.pool.owner).count_late(self.pool.name)
        super().carry(attempt)

    def clear(self) -> None:
        """Forget the answer that was read, before the next one."""
        super().clear()
        self.instance_named = False  # the server named its own instance
        self.body_truncated = False  # the body of a failure is longer than the part that is held
        self.forwarded_headers = b""
        self.id, self.seal = b"", b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header of an answer; trailers are ignored."""
        if self.headed_at:
            return
        super().on_header(name, value)
        name = name.lower()
        if name in FORWARDED_HEADERS:
            self._on_forwarded_header(name, value.strip(b" \t"))
        elif name == SERVER_LOAD_HEADER:
            self.load = value.strip(b" \t")
        elif name == NOT_EXECUTED_HEADER:
            self.not_started = True
        elif name == ANSWERING_INSTANCE_HEADER:
            self.instance_named = bool(value.strip(b" \t"))
        elif name == b"keep-alive" and (match := KEEP_ALIVE_TIMEOUT.search(value)) is not None:
            keep_idle = cast(UpstreamServers, self.pool.owner).keep_idle
            self.age_part = min(self.age_part, IDLE_PART * int(match[1]) / keep_idle)

    def _on_forwarded_header(self, name: bytes, value: bytes) -> None:
        self.forwarded_headers += name + b": " + value + b"\r\n"
        if name == ATTEMPT_ID_HEADER:
            self.id = value
        elif name == SERVER_SEAL_HEADER:
            self.seal = value

    def on_headers_complete(self) -> None:
        """Decide whose answer this is; raises MissingSealError for a success that has no seal.

        An answer that bears another id, or a success that bears none, is late: it answers a request that was given up.
        A success without a seal may be of something else than the server meant, so it is treated as broken.
        """
        super().on_headers_complete()
        attempt = self.attempt
        if not isinstance(attempt, UpstreamAttempt):
            return
        status = self.parser.get_status_code()
        if status >= 200 and self.id != attempt.id and (self.id or status < 300):
            self.foreign = True  # it is read to its end, and dropped
        elif self.serves(status) and not self.seal:
            raise MissingSealError("a success without its seal")

    def serves(self, status: int) -> bool:
        """Return whether a status is a success."""
        return 200 <= status < 300

    def on_body(self, body: bytes) -> None:
        """Take a part of the body, unless the answer is another request's."""
        if not self.foreign:
            self.body_truncated = self.body_truncated or len(self.body) + len(body) > SMALL
            super().on_body(body)

    def flow(self) -> Flow:
        """Return the answer that is too large to hold, as it begins."""
        return UpstreamStream(
            self.length, self.content_type, self, self.forwarded_headers, self.parser.get_status_code()
        )

    def on_message_complete(self) -> None:
        """Take an answer that is whole as its attempt's result."""
        if self.foreign:
            self._drop_foreign_answer()
            return
        previous = self.result
        super().on_message_complete()
        result = self.result
        if result is None or result is previous or self.attempt is None:
            return
        # An answer without an id is matched only by being its connection's only one: a late copy would pass for it.
        self.keep = self.keep and not self.out_of_step and bool(self.id)
        status = self.parser.get_status_code()
        outcome = self._outcome(status)
        if outcome is Outcome.ERROR and self.body_truncated:
            self.result = Result(outcome, result.spent, result.report)
        else:
            self.result = UpstreamReply(
                outcome, result.spent, result.report, result.body, b"", status, self.forwarded_headers
            )

    def _drop_foreign_answer(self) -> None:
        """Drop a late answer; the next one may be the attempt's.  Without framing its end is not known."""
        if not self.framed:
            self.spoilt("foreign")
            return
        self.clear()
        self.foreign, self.out_of_step = False, True

    def _outcome(self, status: int) -> Outcome:
        """Return what a whole answer says of the request: only the server itself can say that it has not run."""
        if self.serves(status):
            return Outcome.OK
        if self.not_started or (self.instance_named and status == MISDIRECTED):
            return Outcome.FULL
        return Outcome.ERROR

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt: once a part of it was sent, its server may have carried it out."""
        attempt = self.attempt
        if attempt is not None and attempt.verdict in (None, Outcome.CANCELLED) and self.sending():
            attempt.verdict = Outcome.RESET
        super().connection_lost(error)


class UpstreamServers(Upstream):
    """The connections to all listed servers, by the numbers that the router gives them."""

    link = UpstreamConnection

    def __init__(self, connect_timeout: float, idle: float, most_open: int, counts: Counts) -> None:
        super().__init__(connect_timeout, idle, (), most_open, counts)
        # when servers that leave were known to, by number, in monotonic seconds
        self.left_at: dict[int, float] = {}
        self.late_requests = 0  # requests sent to servers that were known to leave
        self.latest_request = 0.0  # seconds from that knowledge to such a request, at most

    def leave(self, number: int) -> None:
        """Send nothing more to a server that is known to leave; what was sent there goes on."""
        self.left_at.setdefault(number, time.monotonic())
        self._end_waiting(number)

    def accept(self, number: int) -> None:
        """Note that a server takes requests, also where it was known to leave before."""
        self.left_at.pop(number, None)

    def remove(self, backend: int) -> None:
        """End the connections to a server that is gone, but for those that are in use."""
        self.left_at.pop(backend, None)
        self._end_waiting(backend)
        super().remove(backend)

    def _end_waiting(self, number: int) -> None:
        """End the attempts that still wait for a connection to a server, as not run."""
        pool = self.pools.get(number)
        for attempt in list(pool.waiting) if pool is not None else ():
            attempt.give_up(Outcome.CANCELLED)

    def count_late(self, number: int) -> None:
        """Count a request that is sent to a server now, where that was known to leave."""
        if (left_at := self.left_at.get(number)) is not None:
            self.late_requests += 1
            self.latest_request = max(self.latest_request, time.monotonic() - left_at)

    def report(self, text: bytes) -> tuple[float, ...]:
        """Return running, waiting and slots of a Server-Load header; nothing where it is malformed."""
        parts = text.split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return ()
        return tuple(float(part) for part in parts)


def status_line(status: int) -> bytes:
    """Return the first line of an answer, with its line end."""
    return b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, "Answer").encode())


def client_status(reply: UpstreamReply) -> int:
    """Return the status for the client.

    A status that says that the request has not run becomes 502, as the server did not say so in the way agreed on.
    """
    return 502 if reply.status in NOT_EXECUTED_STATUSES else reply.status
