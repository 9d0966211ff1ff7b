"""Connections to servers: answers known by their id and stamp, nothing of a broken one taken as whole."""

from __future__ import annotations

from dataclasses import dataclass

from ivymux.caller import REASONS
from ivymux.link import Attempt, Flow, Link, Result
from ivymux.metrics import Counts
from ivymux.pool import Pool
from ivymux.upstream import Upstream
from orchidhill.interface import Outcome

ID, SEAL = b"x-hazelspring-attempt-id", b"x-hazelspring-server-seal"
PASSED = frozenset((b"content-type", ID, SEAL))  # headers of an answer that go to its client
PROMISES = (408, 421, 429, 503)  # only where a server says that it has not run


@dataclass(slots=True)
class Reply(Result):
    """A server's answer."""

    status: int = 0
    headers: bytes = b""


@dataclass(slots=True)
class Stream(Flow):
    """A large answer that begins."""

    headers: bytes = b""


class Try(Attempt):
    """A request on its way to a server, with the id that its answer must bear."""

    __slots__ = ("id",)

    def __init__(self, id_: bytes, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.id = id_


class Line(Link):
    """One connection to a server."""

    __slots__ = ("foreign", "id", "out_of_step", "passed", "seal")

    def clear(self) -> None:
        super().clear()
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
        if name in PASSED:
            value = value.strip(b" \t")
            self.passed += name + b": " + value + b"\r\n"
            if name == ID:
                self.id = value
            elif name == SEAL:
                self.seal = value
        elif name == b"x-hazelspring-server-load":
            self.load = value.strip(b" \t")
        elif name == b"x-hazelspring-not-executed":
            self.not_started = True

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        attempt = self.attempt
        status = self.parser.get_status_code()
        if isinstance(attempt, Try) and status >= 200 and self.id != attempt.id and (self.id or status < 300):
            self.foreign = True  # it answers another request: it is read to its end, and belongs to nobody
        elif isinstance(attempt, Try) and 200 <= status < 300 and not self.seal:
            raise ValueError("a success without its stamp")

    def on_body(self, body: bytes) -> None:
        if not self.foreign:
            super().on_body(body)

    def flow(self) -> Flow:
        return Stream(self.length, self.content_type, self, self.passed)

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
        outcome = Outcome.OK if 200 <= status < 300 else Outcome.FULL if self.not_started else Outcome.ERROR
        self.keep = self.keep and not self.out_of_step
        self.result = Reply(outcome, result.spent, result.report, result.body, b"", status, self.passed)

    def connection_lost(self, error: Exception | None) -> None:
        if self.attempt is not None and self.attempt.verdict is None and self.sending():
            self.attempt.verdict = Outcome.RESET  # a part has gone out: who knows what its server made of it
        super().connection_lost(error)


class Servers(Upstream):
    """All servers that are listed, by the numbers that forage gives them."""

    link = Line

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


def promise_kept(reply: Reply) -> int:
    """The status that goes to the client: a promise that its server did not make is none."""
    return 502 if reply.status in PROMISES else reply.status
