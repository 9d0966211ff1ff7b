"""One connection to an alert server, and the attempt that it carries: how each of them ends."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.metrics import Counts

SMALL = 64 * 1024  # bytes of a body that are held whole; a larger one is passed on as it comes
EAGER = 16 * 1024  # bytes after which an answer of unknown length is passed on too
EAGER_AFTER = 0.1  # seconds after its head from which on it is, however little has come
MOST_HEAD = 16 * 1024
SPREAD = 0.25  # of a connection's age, from the earliest to the latest: front doors must not do it in step

READ = memoryview(bytearray(SMALL))  # all reads go here, one after another: none brings more at once

log = logging.getLogger(__name__)


class Owner(Protocol):
    """Who owns the pools, as a connection sees it."""

    @property
    def counts(self) -> Counts: ...

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    def report(self, text: bytes) -> tuple[float, ...]: ...


class Home(Protocol):
    """The pool that a connection belongs to, as the connection sees it."""

    @property
    def name(self) -> int: ...

    @property
    def owner(self) -> Owner: ...

    def put(self, link: Link) -> None: ...

    def forget(self, link: Link) -> None: ...

    def suspect(self, since: float) -> None: ...


class Sink(Protocol):
    """Where a large answer goes, piece by piece."""

    def feed(self, data: bytes) -> None: ...

    def finish(self, whole: bool) -> None: ...


class Body(Protocol):
    """A large request's body, on its way from its client."""

    whole: bool

    def attach(self, link: Link) -> None: ...

    def detach(self, link: Link) -> None: ...

    def room(self, link: Link) -> None: ...


@dataclass(slots=True)
class Flow:
    """A large answer that begins: its length where it is known, and the connection that it comes on."""

    length: int | None
    content_type: bytes
    source: Link


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    spent: float
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""


class Attempt:
    """One request on its way to one backend; `done` hears of its end exactly once, and `begun` before it of
    an answer that is too large to hold.
    """

    __slots__ = ("began", "begun", "body", "done", "flowing", "link", "over", "payload", "timer", "verdict")

    def __init__(
        self,
        payload: bytes,
        done: Callable[[Result], None],
        begun: Callable[[Flow], Sink | None] | None = None,
        body: Body | None = None,
    ) -> None:
        self.payload, self.done, self.begun, self.body = payload, done, begun, body
        self.flowing = False
        self.began = time.perf_counter()
        self.link: Link | None = None  # once its first byte may have been written
        self.timer: asyncio.TimerHandle | None = None
        self.verdict: Outcome | None = None  # why it was given up here
        self.over = False

    def finish(self, result: Result) -> None:
        if not self.over:
            self.over = True
            self.stop_timer()
            self.done(result)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def fail(self, outcome: Outcome) -> None:
        self.finish(Result(outcome, time.perf_counter() - self.began))

    def give_up(self, why: Outcome) -> None:
        """Stop waiting.  What was written is out until its connection has ended, so that ends first and
        `done` hears of it then; else a further attempt might be out beside this one.
        """
        if self.over or self.verdict is not None or self.flowing:
            return
        if self.link is None:
            # Nothing was written: it never ran, whatever the reason for giving it up.
            self.fail(Outcome.MOOT if why is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        else:
            self.verdict = why
            if why is Outcome.TIMEOUT and not self.link.head:
                self.link.pool.suspect(self.link.carried_at)
            self.link.end("given_up")


class Link(asyncio.BufferedProtocol):
    """One connection to a backend; it carries one attempt at a time."""

    __slots__ = (
        "age_part", "attempt", "body", "carried_at", "content_type", "framed", "head", "headed_at",
        "heard_at", "idle_since", "keep", "length", "load", "moved_at", "not_started", "parser", "paused",
        "pool", "result", "sink", "surplus", "transport", "unsent", "why",
    )  # fmt: skip

    def __init__(self, pool: Home) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.age_part = 1 + SPREAD * (random.random() - 0.5)  # of the idle time that it may stand
        self.unsent = False  # whether part of the request still waits in this process
        self.result: Result | None = None  # of the answer that has come whole
        self.keep = False  # whether another request may follow it on this connection
        self.surplus = False  # more has come behind it
        self.sink: Sink | None = None  # where an answer goes that is passed on as it comes
        self.paused = False  # it is not read: its client does not read either
        self.carried_at = self.heard_at = 0.0  # when a request was last written, and a byte last came
        self.moved_at = 0.0  # when a byte last came, or was last written
        self.why = ""  # it was ended here
        self.parser = httptools.HttpResponseParser(self)
        self.clear()

    def clear(self) -> None:
        self.head = 0  # bytes read since the last answer
        self.headed_at = 0.0  # when the head had come whole; 0 before
        self.body = bytearray()
        self.not_started = False
        self.framed = False  # whether the answer's end can be told from its connection's end
        self.length: int | None = None
        self.load = b""
        self.content_type = b""
        self.sink = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        transport.set_write_buffer_limits(high=0)  # hear at once of bytes that could not be written
        self.transport = transport

    def carry(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.link = attempt, self
        self.carried_at = time.monotonic()
        self.transport.write(attempt.payload)
        attempt.payload = b""
        if attempt.body is not None:
            self.moved_at = time.monotonic()
            attempt.body.attach(self)

    def write(self, data: bytes) -> None:
        """A piece of a large request."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        self.moved_at = time.monotonic()
        if self.attempt is not None and self.attempt.body is not None:
            self.attempt.body.room(self)

    def pause(self) -> None:
        """The client reads no faster: read no more for now."""
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.moved_at = False, time.monotonic()
            self.transport.resume_reading()

    def sending(self) -> bool:
        """Whether the attempt's last byte is still to be written."""
        body = self.attempt.body if self.attempt is not None else None
        return self.unsent or (body is not None and not body.whole)

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ

    def buffer_updated(self, count: int) -> None:
        if self.attempt is None:
            self.pool.owner.counts.stale += 1
            self.end("unasked_bytes")  # an answer that nobody asked for: framing is lost
            return
        self.head += count
        self.heard_at = self.moved_at = time.monotonic()
        try:
            self.parser.feed_data(READ[:count])
        except httptools.HttpParserUpgrade:
            self.spoilt("malformed")
        except httptools.HttpParserError as error:
            log.warning("backend %s: %s", self.pool.name, error)
            self.spoilt("malformed")
        if not self.headed_at and self.head > MOST_HEAD:
            self.spoilt("endless_head")  # it would hold its attempt to the deadline
        # Not from within the parser: the rest of these bytes is no answer to a request that is sent now.
        if self.result is not None:
            self.hand_over(self.result)

    def eof_received(self) -> None:
        """An answer without a length ends with its connection."""
        if self.attempt is not None and self.headed_at and not self.framed and self.result is None:
            self.on_message_complete()
            if self.result is not None:
                self.hand_over(self.result)

    def on_message_begin(self) -> None:
        self.surplus = self.result is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed_at:
            return  # a trailer is no header
        name, value = name.lower(), value.strip(b" \t")  # the parser leaves some behind one in pieces
        if name == b"server-load":
            self.load = value
        elif name == b"not-started":
            self.not_started = value == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.framed, self.length = True, int(value)
        elif name == b"transfer-encoding":
            self.framed = True

    def on_headers_complete(self) -> None:
        self.headed_at = self.moved_at

    def serves(self, status: int) -> bool:
        """Whether an answer of this status serves its client."""
        return status == 200

    def on_body(self, body: bytes) -> None:
        if self.result is not None:
            return  # of a second answer, behind the one that is whole
        if self.sink is not None:
            self.sink.feed(body)
            return
        self.body += body
        if not self.serves(self.parser.get_status_code()):
            del self.body[SMALL:]  # nobody is served this
        elif self.length is not None:
            if self.length > SMALL:
                self.begin()
        elif len(self.body) > EAGER or self.moved_at > self.headed_at + EAGER_AFTER:
            self.begin()

    def begin(self) -> None:
        """Pass the answer on from here; where nobody waits for it, it ends here."""
        attempt = self.attempt
        if attempt is None or attempt.verdict is not None or self.result is not None:
            return
        if attempt.begun is not None:
            self.sink = attempt.begun(self.flow())
        if self.sink is None:
            attempt.verdict = Outcome.CANCELLED
            self.end("given_up")
            return
        attempt.flowing = True
        attempt.stop_timer()
        self.sink.feed(bytes(self.body))
        self.body.clear()

    def flow(self) -> Flow:
        return Flow(self.length, self.content_type, self)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            self.clear()  # an interim answer; the final one follows
            return
        if self.transport is None or self.transport.is_closing() or self.attempt is None or self.surplus:
            return
        if self.serves(status):
            outcome = Outcome.OK
        elif status in (503, 504) and self.not_started:
            outcome = Outcome.FULL
        else:
            outcome = Outcome.ERROR
        self.keep = self.parser.should_keep_alive() and self.framed and not self.sending()
        self.result = Result(
            outcome,
            time.perf_counter() - self.attempt.began,
            self.pool.owner.report(self.load),
            bytes(self.body),
            self.content_type,
        )

    def hand_over(self, result: Result) -> None:
        """End the attempt: its answer is whole.  A connection that brought more is of no further use."""
        attempt, self.attempt, self.result = self.attempt, None, None
        assert self.transport is not None and attempt is not None
        sink = self.sink
        if attempt.body is not None:
            attempt.body.detach(self)
        self.resume()
        if self.surplus:
            self.spoilt("surplus_bytes")
        elif self.unsent:
            self.end("early_answer")
        elif self.keep:
            self.clear()
            self.pool.put(self)
        else:
            self.transport.close()
        if sink is not None:
            sink.finish(whole=True)
        attempt.finish(result)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def end(self, why: str) -> None:
        self.why = self.why or why
        self.abort()

    def spoilt(self, how: str) -> None:
        """What came is no answer, or more than one."""
        self.pool.owner.counts.broken[how] += 1
        self.end("spoilt")

    def look(self, before: float) -> None:
        """End a body that has made no way since then: neither its client nor another limit may ever do so."""
        if self.attempt is None or (self.sink is None and self.attempt.body is None):
            return
        stuck = self.unsent if self.sending() else self.sink is not None and not self.paused
        if stuck and self.moved_at < before:
            log.warning("backend %s: a body stood still", self.pool.name)
            self.end("stalled")

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.forget(self)
        self.pool.owner.counts.closed[self.why or ("broke_off" if self.attempt else "by_server")] += 1
        if (attempt := self.attempt) is not None:
            sending = self.sending()
            self.attempt = None
            if attempt.body is not None:
                attempt.body.detach(self)
            outcome = attempt.verdict or (Outcome.CONNECT_FAILED if sending else Outcome.RESET)
            if sending and attempt.verdict is Outcome.CANCELLED:
                outcome = Outcome.MOOT
            if self.sink is not None:
                self.sink.finish(whole=False)
            # The descriptor is closed only after this call returns; a further attempt must come later.
            self.pool.owner.loop.call_soon(attempt.fail, outcome)
