"""Connections to servers: answers known by their id and stamp, nothing of a broken one taken as whole."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import cast

from ivymux.caller import REASONS
from ivymux.link import SMALL, Attempt, Flow, Link, Result
from ivymux.metrics import Counts
from ivymux.pool import Pool
from ivymux.upstream import IDLE_PART, Upstream
from orchidhill.interface import Outcome

ATTEMPT_ID_HEADER, SERVER_SEAL_HEADER = b"x-hazelspring-attempt-id", b"x-hazelspring-server-seal"
FORWARDED_HEADERS = frozenset(
    (b"content-type", ATTEMPT_ID_HEADER, SERVER_SEAL_HEADER)
)  # headers of an answer that go to its client
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # only where a server says that it has not run
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")  # of Keep-Alive, in seconds
MISDIRECTED = 421  # another server has the address; where it says which one, the request did not run


@dataclass(slots=True)
class UpstreamReply(Result):
    """A server's answer."""

    status: int = 0
    headers: bytes = b""


@dataclass(slots=True)
class UpstreamStream(Flow):
    """A large answer that begins."""

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

    __slots__ = ("body_truncated", "foreign", "id", "instance_named", "out_of_step", "passed", "seal")

    def clear(self) -> None:
        super().clear()
        self.instance_named = False  # the server says which one it is
        self.body_truncated = False  # a failure's body is longer than what is held of it
        self.passed = b""
        self.id, self.seal = b"", b""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.foreign = False  # what comes now answers another request
        self.out_of_step = False  # that has happened: it is not used again

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed_at:
            return
        super().on_header(name, value)
        name = name.lower()
        if name in FORWARDED_HEADERS:
            value = value.strip(b" \t")
            self.passed += name + b": " + value + b"\r\n"
            if name == ATTEMPT_ID_HEADER:
                self.id = value
            elif name == SERVER_SEAL_HEADER:
                self.seal = value
        elif name == b"x-hazelspring-server-load":
            self.load = value.strip(b" \t")
        elif name == b"x-hazelspring-not-executed":
            self.not_started = True
        elif name == b"x-hazelspring-answering-instance":
            self.instance_named = bool(value.strip(b" \t"))
        elif name == b"keep-alive" and (told := KEEP_ALIVE_TIMEOUT.search(value)) is not None:
            keep_idle = cast(UpstreamServers, self.pool.owner).keep_idle
            self.age_part = min(self.age_part, IDLE_PART * int(told[1]) / keep_idle)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        attempt = self.attempt
        status = self.parser.get_status_code()
        if (
            isinstance(attempt, UpstreamAttempt)
            and status >= 200
            and self.id != attempt.id
            and (self.id or status < 300)
        ):
            self.foreign = True  # it answers another request: it is read to its end, and belongs to nobody
        elif isinstance(attempt, UpstreamAttempt) and 200 <= status < 300 and not self.seal:
            raise ValueError("a success without its stamp")

    def serves(self, status: int) -> bool:
        return 200 <= status < 300

    def on_body(self, body: bytes) -> None:
        if not self.foreign:
            self.body_truncated = self.body_truncated or len(self.body) + len(body) > SMALL
            super().on_body(body)

    def flow(self) -> Flow:
        return UpstreamStream(
            self.length, self.content_type, self, self.passed, self.parser.get_status_code()
        )

    def on_message_complete(self) -> None:
        if self.foreign:
            if not self.framed:
                self.spoilt("foreign")
                return
            self.clear()
            self.foreign, self.out_of_step = False, True
            return
        had = self.result
        super().on_message_complete()
        result = self.result
        if result is None or result is had or self.attempt is None:
            return
        status = self.parser.get_status_code()
        outcome, refused = Outcome.ERROR, self.not_started or (self.instance_named and status == MISDIRECTED)
        if self.serves(status):
            outcome = Outcome.OK
        elif refused:
            outcome = Outcome.FULL
        # An answer without an id is known by being its connection's only one: a late copy proves nothing.
        self.keep = self.keep and not self.out_of_step and bool(self.id)
        if outcome is Outcome.ERROR and self.body_truncated:
            self.result = Result(outcome, result.spent, result.report)
        else:
            self.result = UpstreamReply(
                outcome, result.spent, result.report, result.body, b"", status, self.passed
            )

    def connection_lost(self, error: Exception | None) -> None:
        attempt = self.attempt
        if attempt is not None and attempt.verdict in (None, Outcome.CANCELLED) and self.sending():
            attempt.verdict = Outcome.RESET  # a part has gone out: who knows what its server made of it
        super().connection_lost(error)


class UpstreamServers(Upstream):
    """All servers that are listed, by the numbers that forage gives them."""

    link = UpstreamConnection

    def __init__(self, connect_timeout: float, idle: float, most_open: int, counts: Counts) -> None:
        super().__init__(connect_timeout, idle, (), most_open, counts)

    def report(self, text: bytes) -> tuple[float, ...]:
        """running,waiting,slots of X-Hazelspring-Server-Load; nothing where it is malformed."""
        parts = text.split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return ()
        return tuple(float(part) for part in parts)


def status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b\r\n" % (status, REASONS.get(status, "Answer").encode())


def client_status(reply: UpstreamReply) -> int:
    """The status that goes to the client: a promise that its server did not make is none."""
    return 502 if reply.status in NOT_EXECUTED_STATUSES else reply.status
