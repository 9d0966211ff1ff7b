"""A connection to an alert server and the attempt that it carries, and how each of them ends."""

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

MAX_BUFFERED_BODY = 64 * 1024  # bytes up to which a body is buffered completely; a larger one is streamed
STREAM_AFTER_BYTES = 16 * 1024  # an answer of unknown length is streamed once more than this has arrived
STREAM_AFTER_S = 0.1  # or once this time has passed since its head, however little has arrived
MAX_HEAD = 16 * 1024  # maximum bytes of an answer's head
IDLE_AGE_SPREAD = 0.25  # relative range of the maximum idle ages, as gateways must not all close at once

# Shared by all reads, one after another; limits the bytes of each.
READ_BUFFER = memoryview(bytearray(MAX_BUFFERED_BODY))

log = logging.getLogger(__name__)


class Owner(Protocol):
    """The owner of the connection pools, as a connection uses it."""

    @property
    def counts(self) -> Counts:
        """The counters of events, as metrics show them."""
        ...

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that all connections run on."""
        ...

    def report(self, text: bytes) -> tuple[float, ...]:
        """Parse a load report; the result is empty if there is no valid one."""
        ...


class LinkPool(Protocol):
    """The pool that a connection belongs to, as the connection uses it."""

    @property
    def name(self) -> int:
        """The number of the backend."""
        ...

    @property
    def owner(self) -> Owner:
        """The owner of this and all other pools."""
        ...

    def put(self, link: Link) -> None:
        """Take back a connection that can carry another attempt."""
        ...

    def forget(self, link: Link) -> None:
        """Remove a connection that has been lost."""
        ...

    def close_silent(self, since: float) -> None:
        """End the idle connections that have received nothing since `since`, in monotonic seconds."""
        ...


class Sink(Protocol):
    """The receiver of a large answer, which is streamed to it."""

    def feed(self, data: bytes) -> None:
        """Take the next part of the answer's body."""
        ...

    def finish(self, whole: bool) -> None:
        """Note the end of the answer; `whole` is False if it was cut short."""
        ...


class Body(Protocol):
    """The body of a large request, which is streamed from its client."""

    whole: bool  # whether the client has sent its last byte

    def attach(self, link: Link) -> None:
        """Send the body on this connection from now on, starting with the part that is buffered."""
        ...

    def detach(self, link: Link) -> None:
        """Stop sending on this connection."""
        ...

    def room(self, link: Link) -> None:
        """Note that this connection can take more bytes."""
        ...


@dataclass(slots=True)
class StreamedAnswer:
    """A large answer that is about to be streamed: its length, if known, and the connection it comes on."""

    length: int | None
    content_type: bytes
    source: Link


@dataclass(slots=True)
class Result:
    """How an attempt or a probe ended."""

    outcome: Outcome
    spent: float  # seconds from the start of the attempt to its end
    report: tuple[float, ...] = ()
    body: bytes = b""
    content_type: bytes = b""


class Attempt:
    """One request sent to one backend.

    `done` is called exactly once, when the attempt ends.  If the answer is too large to buffer, `begun` is
    called before that, when the answer begins.
    """

    __slots__ = (
        "began", "begun", "body", "done", "give_up_reason", "link", "over", "payload", "streaming", "timer",
    )  # fmt: skip

    def __init__(
        self,
        payload: bytes,
        done: Callable[[Result], None],
        begun: Callable[[StreamedAnswer], Sink | None] | None = None,
        body: Body | None = None,
    ) -> None:
        self.payload, self.done, self.begun, self.body = payload, done, begun, body
        self.streaming = False
        self.began = time.perf_counter()
        self.link: Link | None = None  # set once the first byte may have been written
        self.timer: asyncio.TimerHandle | None = None
        self.give_up_reason: Outcome | None = None  # why this process gave the attempt up
        self.over = False

    def finish(self, result: Result) -> None:
        """End the attempt with this result; has no effect on one that has ended."""
        if not self.over:
            self.over = True
            self.stop_timer()
            self.done(result)

    def stop_timer(self) -> None:
        """Cancel the time-out, if one is set."""
        if self.timer is not None:
            self.timer.cancel()

    def fail(self, outcome: Outcome) -> None:
        """End the attempt without an answer."""
        self.finish(Result(outcome, time.perf_counter() - self.began))

    def give_up(self, why: Outcome) -> None:
        """Stop waiting for an answer, unless one is already being streamed.

        A request that has been written may run until its connection has ended.  So the connection is ended
        first, and `done` is called after that; otherwise a further attempt could run at the same time.
        """
        if self.over or self.give_up_reason is not None or self.streaming:
            return
        if self.link is None:
            # Nothing was written, so the request never ran, whatever the reason for giving the attempt up.
            self.fail(Outcome.MOOT if why is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        else:
            self.give_up_reason = why
            if why is Outcome.TIMEOUT and not self.link.head:
                self.link.pool.close_silent(self.link.request_sent_at)
            self.link.end("given_up")


class Link(asyncio.BufferedProtocol):
    """A connection to a backend; it carries one attempt at a time."""

    __slots__ = (
        "age_part", "attempt", "body", "content_type", "framed", "head", "headed_at", "idle_since", "keep",
        "last_byte_at", "last_progress_at", "length", "load", "not_started", "parser", "paused", "pool",
        "request_sent_at", "result", "sink", "surplus", "transport", "unsent", "why",
    )  # fmt: skip

    def __init__(self, pool: LinkPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.age_part = 1 + IDLE_AGE_SPREAD * (random.random() - 0.5)  # factor on the maximum idle time
        self.unsent = False  # whether part of the request is still in the write buffer
        self.result: Result | None = None  # set once the answer is complete
        self.keep = False  # whether this connection may carry another request
        self.surplus = False  # whether more bytes have arrived after the answer
        self.sink: Sink | None = None  # the receiver of an answer that is streamed
        self.paused = False  # whether reading is paused, as the client does not read its answer
        self.request_sent_at = self.last_byte_at = 0.0  # the last write of a request, the last byte received
        self.last_progress_at = 0.0  # when a byte last arrived or was last written
        self.why = ""  # why this process ended the connection; empty if it did not
        self.parser = httptools.HttpResponseParser(self)
        self.clear()

    def clear(self) -> None:
        """Reset the state that belongs to one answer."""
        self.head = 0  # bytes read since the last answer
        self.headed_at = 0.0  # when the head was complete; 0 before that
        self.body = bytearray()
        self.not_started = False
        self.framed = False  # whether the answer's end can be found before its connection ends
        self.length: int | None = None
        self.load = b""
        self.content_type = b""
        self.sink = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and have it report every byte that it cannot write at once."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        transport.set_write_buffer_limits(high=0)  # be notified at once of bytes that could not be written
        self.transport = transport

    def carry(self, attempt: Attempt) -> None:
        """Send the request of an attempt; the connection must carry none."""
        assert self.transport is not None
        self.attempt, attempt.link = attempt, self
        self.request_sent_at = time.monotonic()
        self.transport.write(attempt.payload)
        attempt.payload = b""
        if attempt.body is not None:
            self.last_progress_at = time.monotonic()
            attempt.body.attach(self)

    def write(self, data: bytes) -> None:
        """Send a part of the body of a large request."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Note that bytes wait in the write buffer."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Note that the write buffer is empty, and request more of a streamed body."""
        self.unsent = False
        self.last_progress_at = time.monotonic()
        if self.attempt is not None and self.attempt.body is not None:
            self.attempt.body.room(self)

    def pause(self) -> None:
        """Pause reading, because the client does not read its answer fast enough."""
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.last_progress_at = False, time.monotonic()
            self.transport.resume_reading()

    def sending(self) -> bool:
        """Whether the last byte of the attempt's request has yet to be written."""
        body = self.attempt.body if self.attempt is not None else None
        return self.unsent or (body is not None and not body.whole)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer."""
        return READ_BUFFER

    def buffer_updated(self, count: int) -> None:
        """Parse the bytes just read; ends the connection if they are not part of an expected answer."""
        if self.attempt is None:
            self.pool.owner.counts.connections_stale += 1
            self.end("unasked_bytes")  # bytes without a request: the framing is lost
            return
        self.head += count
        self.last_byte_at = self.last_progress_at = time.monotonic()
        try:
            self.parser.feed_data(READ_BUFFER[:count])
        except httptools.HttpParserUpgrade:
            self.end_as_malformed("malformed")
        except httptools.HttpParserError as error:
            log.warning("backend %s: %s", self.pool.name, error)
            self.end_as_malformed("malformed")
        if not self.headed_at and self.head > MAX_HEAD:
            self.end_as_malformed("endless_head")  # otherwise the attempt would last until its deadline
        # Not from within a parser callback: the rest of these bytes must not be read as the answer to a
        # request that is sent now.
        if self.result is not None:
            self.complete_attempt(self.result)

    def eof_received(self) -> None:
        """Complete an answer that has no length and so ends with its connection."""
        if self.attempt is not None and self.headed_at and not self.framed and self.result is None:
            self.on_message_complete()
            if self.result is not None:
                self.complete_attempt(self.result)

    def on_message_begin(self) -> None:
        """Note whether another answer begins after a complete one."""
        self.surplus = self.result is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header of the answer; trailers are ignored."""
        if self.headed_at:
            return  # this is a trailer, which is not treated as a header
        # The parser leaves white space after a value that arrives in several reads.
        name, value = name.lower(), value.strip(b" \t")
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
        """Note when the head was complete."""
        self.headed_at = self.last_progress_at

    def serves(self, status: int) -> bool:
        """Whether an answer with this status is a success that can be passed to the client."""
        return status == 200

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the answer, or stream it if the answer is large or slow and of unknown length."""
        if self.result is not None:
            return  # part of a second answer, after the complete one
        if self.sink is not None:
            self.sink.feed(body)
            return
        self.body += body
        if not self.serves(self.parser.get_status_code()):
            del self.body[MAX_BUFFERED_BODY:]  # this body is not passed to a client
        elif self.length is not None:
            if self.length > MAX_BUFFERED_BODY:
                self.begin()
        elif len(self.body) > STREAM_AFTER_BYTES or self.last_progress_at > self.headed_at + STREAM_AFTER_S:
            self.begin()

    def begin(self) -> None:
        """Stream the answer from here on, or end the connection if no client waits for the answer."""
        attempt = self.attempt
        if attempt is None or attempt.give_up_reason is not None or self.result is not None:
            return
        if attempt.begun is not None:
            self.sink = attempt.begun(self.describe_stream())
        if self.sink is None:
            attempt.give_up_reason = Outcome.CANCELLED
            self.end("given_up")
            return
        attempt.streaming = True
        attempt.stop_timer()
        self.sink.feed(bytes(self.body))
        self.body.clear()

    def describe_stream(self) -> StreamedAnswer:
        """Describe the answer that is about to be streamed."""
        return StreamedAnswer(self.length, self.content_type, self)

    def on_message_complete(self) -> None:
        """Set the result of the attempt from the complete answer; interim responses are skipped."""
        status = self.parser.get_status_code()
        if status < 200:
            self.clear()  # an interim response; the final one follows
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

    def complete_attempt(self, result: Result) -> None:
        """End the attempt with its complete answer.

        A connection that received bytes after the answer cannot be used again and is ended.
        """
        attempt, self.attempt, self.result = self.attempt, None, None
        assert self.transport is not None and attempt is not None
        sink = self.sink
        if attempt.body is not None:
            attempt.body.detach(self)
        self.resume()
        if self.surplus:
            self.end_as_malformed("surplus_bytes")
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
        """Close the connection at once, without sending what is still buffered."""
        if self.transport is not None:
            self.transport.abort()

    def end(self, why: str) -> None:
        """Abort the connection; the first reason given is the one that is counted."""
        self.why = self.why or why
        self.abort()

    def end_as_malformed(self, how: str) -> None:
        """End the connection because it received something other than exactly one valid answer."""
        self.pool.owner.counts.answers_broken[how] += 1
        self.end("spoilt")

    def end_if_stalled(self, before: float) -> None:
        """End the connection if its body has made no progress since the time `before`.

        Otherwise the transfer could stall forever, as neither its client nor another limit need ever end it.
        """
        if self.attempt is None or (self.sink is None and self.attempt.body is None):
            return
        stuck = self.unsent if self.sending() else self.sink is not None and not self.paused
        if stuck and self.last_progress_at < before:
            log.warning("backend %s: the transfer of a body stalled; closing the connection", self.pool.name)
            self.end("stalled")

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt, with an outcome that says whether the request may have run."""
        self.pool.forget(self)
        self.pool.owner.counts.connections_closed[
            self.why or ("broke_off" if self.attempt else "by_server")
        ] += 1
        if (attempt := self.attempt) is not None:
            sending = self.sending()
            self.attempt = None
            if attempt.body is not None:
                attempt.body.detach(self)
            outcome = attempt.give_up_reason or (Outcome.CONNECT_FAILED if sending else Outcome.RESET)
            if sending and attempt.give_up_reason is Outcome.CANCELLED:
                outcome = Outcome.MOOT
            if self.sink is not None:
                self.sink.finish(whole=False)
            # The descriptor is closed only after this call returns; a further attempt must start after that.
            self.pool.owner.loop.call_soon(attempt.fail, outcome)
