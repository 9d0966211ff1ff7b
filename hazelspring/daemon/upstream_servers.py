"""Connections to servers.

An answer is matched to its attempt by the attempt's id; a success must also contain the server's seal and
have its full length.  Anything else does not count as an answer, and its data is never passed to a client as
a complete one.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from typing import cast

from hazelspring.admission.interface import Outcome
from hazelspring.errors import HazelspringError
from hazelspring.gateway.client_connection import REASONS
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.pool import Pool
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY, Attempt, Link, Result, StreamedAnswer
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
MISDIRECTED = 421  # another server has the address; if it names its instance, the request has not run


class MissingSealError(HazelspringError, ValueError):
    """A server's success lacks the seal; the connection is closed as for a malformed answer."""

    code = "missing_seal"


@dataclass(slots=True)
class UpstreamReply(Result):
    """A server's complete answer; `headers` are those that are forwarded to the client."""

    status: int = 0
    headers: bytes = b""


@dataclass(slots=True)
class UpstreamStream(StreamedAnswer):
    """A large answer whose body is still to come; `headers` are those that are forwarded to the client."""

    headers: bytes = b""
    status: int = 200


class UpstreamAttempt(Attempt):
    """An attempt to have a server execute a request, with the id that the answer must contain."""

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
        "named_instance",
        "received_foreign",
        "seal",
    )

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.foreign = False  # the answer being read belongs to another request
        self.received_foreign = False  # such an answer was received, so the connection is not reused

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt, and count it if its server is already known to be leaving."""
        cast(UpstreamServers, self.pool.owner).count_request_after_leave(self.pool.name)
        super().carry(attempt)

    def clear(self) -> None:
        """Reset the state of the answer that was read, before the next one is read."""
        super().clear()
        self.named_instance = False  # the server named its own instance
        self.body_truncated = False  # the body of a failure is longer than the part that is buffered
        self.forwarded_headers = b""
        self.id, self.seal = b"", b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process one header of an answer; trailers are ignored."""
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
            self.named_instance = bool(value.strip(b" \t"))
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
        """Determine whose answer this is; raises MissingSealError for a success without a seal.

        An answer with another id, or a success without an id, is late: its request no longer waits for it.
        A success without a seal may not come from the intended server, so it is treated as malformed.
        """
        super().on_headers_complete()
        attempt = self.attempt
        if not isinstance(attempt, UpstreamAttempt):
            return
        status = self.parser.get_status_code()
        if status >= 200 and self.id != attempt.id and (self.id or status < 300):
            self.foreign = True  # it is read to its end and discarded
        elif self.serves(status) and not self.seal:
            raise MissingSealError("success without X-Hazelspring-Server-Seal")

    def serves(self, status: int) -> bool:
        """Return whether a status is a success."""
        return 200 <= status < 300

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, unless the answer belongs to another request."""
        if not self.foreign:
            self.body_truncated = self.body_truncated or len(self.body) + len(body) > MAX_BUFFERED_BODY
            super().on_body(body)

    def describe_stream(self) -> StreamedAnswer:
        """Return an answer that is too large to buffer, and whose body is still arriving."""
        return UpstreamStream(
            self.length, self.content_type, self, self.forwarded_headers, self.parser.get_status_code()
        )

    def on_message_complete(self) -> None:
        """Store a complete answer as its attempt's result."""
        if self.foreign:
            self._drop_foreign_answer()
            return
        previous = self.result
        super().on_message_complete()
        result = self.result
        if result is None or result is previous or self.attempt is None:
            return
        # An answer without an id is matched only because it is the sole answer on its connection.  A late
        # copy of it would be taken for the next request's answer, so the connection is not reused.
        self.keep = self.keep and not self.received_foreign and bool(self.id)
        status = self.parser.get_status_code()
        outcome = self._outcome(status)
        if outcome is Outcome.ERROR and self.body_truncated:
            self.result = Result(outcome, result.spent, result.report)
        else:
            self.result = UpstreamReply(
                outcome, result.spent, result.report, result.body, b"", status, self.forwarded_headers
            )

    def _drop_foreign_answer(self) -> None:
        """Discard a late answer, as the attempt's own may follow it.

        Without framing the end of the late answer is unknown, so the connection is ended.
        """
        if not self.framed:
            self.end_as_malformed("foreign")
            return
        self.clear()
        self.foreign, self.received_foreign = False, True

    def _outcome(self, status: int) -> Outcome:
        """Return the outcome of a complete answer.

        Only the server itself can state that the request has not run, and it does so by headers.
        """
        if self.serves(status):
            return Outcome.OK
        if self.not_started or (self.named_instance and status == MISDIRECTED):
            return Outcome.FULL
        return Outcome.ERROR

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt; one sent in part never ends as CANCELLED, as its server may have executed it."""
        attempt = self.attempt
        if attempt is not None and attempt.give_up_reason in (None, Outcome.CANCELLED) and self.sending():
            attempt.give_up_reason = Outcome.RESET
        super().connection_lost(error)


class UpstreamServers(Upstream):
    """The connections to all listed servers, keyed by the numbers that the router assigns to servers."""

    link = UpstreamConnection

    def __init__(self, connect_timeout: float, idle: float, max_open: int, counts: Counts) -> None:
        super().__init__(connect_timeout, idle, (), max_open, counts)
        # by server number: when this node learned that the server leaves, in monotonic seconds
        self.left_at: dict[int, float] = {}
        self.requests_after_leave = 0  # requests sent to servers that were known to be leaving
        self.max_delay_after_leave = 0.0  # most seconds from learning that a server leaves to such a request

    def leave(self, number: int) -> None:
        """Send no further requests to a server that is leaving; requests already sent there continue."""
        self.left_at.setdefault(number, time.monotonic())
        self._cancel_waiting(number)

    def accept(self, number: int) -> None:
        """Record that a server accepts requests, even if it was known to be leaving before."""
        self.left_at.pop(number, None)

    def remove(self, backend: int) -> None:
        """Close the connections to a server that is no longer listed, except those in use."""
        self.left_at.pop(backend, None)
        self._cancel_waiting(backend)
        super().remove(backend)

    def _cancel_waiting(self, number: int) -> None:
        """Cancel the attempts that still wait for a connection to a server; they have not run."""
        pool = self.pools.get(number)
        for attempt in list(pool.waiting) if pool is not None else ():
            attempt.give_up(Outcome.CANCELLED)

    def count_request_after_leave(self, number: int) -> None:
        """Count a request that is sent now, if its server is known to be leaving."""
        if (left_at := self.left_at.get(number)) is not None:
            self.requests_after_leave += 1
            self.max_delay_after_leave = max(self.max_delay_after_leave, time.monotonic() - left_at)

    def report(self, text: bytes) -> tuple[float, ...]:
        """Return the running, waiting and slot counts of a Server-Load header; () if it is malformed."""
        parts = text.split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return ()
        return tuple(float(part) for part in parts)


def status_line(status: int) -> bytes:
    """Return the status line of an answer, ending in CRLF."""
    return b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, "Answer").encode())


def client_status(reply: UpstreamReply) -> int:
    """Return the status for the client.

    A status that means that the request has not run becomes 502, because the server did not state this by
    the headers that the protocol requires.
    """
    return 502 if reply.status in NOT_EXECUTED_STATUSES else reply.status
