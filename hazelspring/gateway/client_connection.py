"""HTTP/1.1 connections of clients, with streamed bodies and pipelined requests, and a listener for them."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from hazelspring.gateway.config import Address
from hazelspring.gateway.host import Answer, OpenRequest
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.periodic import Periodic
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY, READ_BUFFER, Link, StreamedAnswer
from hazelspring.gateway.upstream import STALL_TIMEOUT

MAX_BODY = 40 << 20  # maximum bytes of a request's body; bodies of 32 MB are in use
MAX_HEAD = 16 * 1024  # maximum bytes of a request's head
MAX_BUFFERED_BYTES = 12 << 20  # maximum bytes of all buffered bodies; beyond it requests are refused
REPLAY_LIMIT = 2 * MAX_BUFFERED_BODY  # bytes up to which a streamed body is kept, so that it can be resent
MAX_PIPELINED = 4  # maximum requests on one connection that wait for their answers
HEAD_TIMEOUT = 2.45  # seconds for a request's head; on a new connection counted from its start
BODY_GRACE = 1.5  # seconds that a body may be behind the minimum rate
MIN_BODY_RATE = 32 * 1024  # bytes per second of a body that is arriving
IDLE_TIMEOUT = 75.0  # seconds that a connection may be idle
MIN_RETRY_AFTER = 0.001  # minimum seconds of Retry-After: a value rounded to 0 would not delay the client
LINGER = 2.0  # seconds that a client has to read the last answer on its connection
SURPLUS = 32  # connections above the limit whose requests are still answered, with a refusal
KEEP_ALIVE_FRACTION = 0.5  # of the connection limit; above it, connections are closed after an answer
SWEEP = 0.25  # seconds between checks of the time-outs of connections

REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 413: "Content Too Large", 417: "Expectation Failed", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)

log = logging.getLogger(__name__)


class BadRequest(ValueError):
    """A request that is answered with an error status; its text is the body of that answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def encode(answer: Answer, close: bool) -> bytes:
    """Encode a complete answer; `close` announces the end of the connection."""
    head = f"HTTP/1.1 {answer.status} {REASONS[answer.status]}\r\nContent-Length: {len(answer.body)}\r\n"
    if answer.retry_after > 0:
        head += f"Retry-After: {max(answer.retry_after, MIN_RETRY_AFTER):.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    if answer.content_type:
        return head.encode() + b"Content-Type: " + answer.content_type + b"\r\n\r\n" + answer.body
    return head.encode() + b"\r\n" + answer.body


def stream_head(stream: StreamedAnswer, chunked: bool, close: bool) -> bytes:
    """Encode the head of a streamed answer; `close` announces the end of the connection."""
    head = b"HTTP/1.1 200 OK\r\n"
    if stream.length is not None:
        head += b"Content-Length: %d\r\n" % stream.length
    elif chunked:
        head += b"Transfer-Encoding: chunked\r\n"
    if close:
        head += b"Connection: close\r\n"
    if stream.content_type:
        head += b"Content-Type: " + stream.content_type + b"\r\n"
    return head + b"\r\n"


class RequestHost(Protocol):
    """The host that processes the requests of clients, as a connection uses it."""

    @property
    def counts(self) -> Counts:
        """The counters of events, as metrics show them."""
        ...

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Note that the client of a request has disconnected."""
        ...

    def on_body_complete(self, request: OpenRequest) -> None:
        """Note that the last byte of a streamed request body has arrived."""
        ...


class Exchange:
    """A request on a client's connection, and its answer, which is sent after those to earlier requests."""

    __slots__ = (
        "answer", "buffered_bytes", "chunked", "client", "ended", "keep_alive", "queued", "request",
        "sending", "stream", "upload", "whole",
    )  # fmt: skip

    def __init__(self, client: Client, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: OpenRequest | None = None
        self.buffered_bytes = 0  # bytes of its body that are buffered, except by `upload`
        self.upload: Upload | None = None  # the body of the request, if it is streamed
        self.stream: StreamedAnswer | None = None  # the answer, if it is streamed
        # Of a streamed answer: its head has been written; its source has finished; no part of it is missing.
        self.sending = self.ended = self.whole = self.chunked = False
        self.queued = b""  # the part of a streamed answer that arrived before earlier answers were sent

    def reply(self, answer: Answer) -> None:
        """Take the complete answer, and send it after those to earlier requests."""
        self.answer = answer
        self.release()
        self.client.flush()

    def begin(self, stream: StreamedAnswer) -> None:
        """Take the head of a streamed answer, and send it after the answers to earlier requests."""
        self.stream = stream
        self.release()
        self.client.flush()

    def feed(self, data: bytes) -> None:
        """Send the next part of a streamed answer, or buffer it and pause its source until its turn."""
        if self.sending:
            self.client.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        elif self.stream is not None:
            self.queued += data
            self.stream.source.pause()  # an earlier answer on the client's connection has not been sent yet

    def finish(self, whole: bool) -> None:
        """Note the end of a streamed answer; `whole` is False if it was cut short."""
        self.ended, self.whole = True, whole
        self.client.flush()

    def release(self) -> None:
        """Free the buffered body of the request, which has been settled."""
        self.client.server.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        if self.upload is not None:
            self.upload.drop()


class Upload:
    """A body too large to buffer; it is streamed, and read no faster than the alert server reads it."""

    def __init__(self, client: Client, first: bytes, length: int | None) -> None:
        self.client, self.length = client, length
        self.buffered = bytearray(first)  # all bytes so far, while the body can be sent again
        self.can_resend, self.whole, self.dropped = True, False, False
        self.link: Link | None = None
        client.server.buffered_bytes += len(first)
        client.hold("upload cannot be sent")

    def framing(self) -> bytes:
        """Return the header line that frames the body."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def encode(self, data: bytes) -> bytes:
        """Encode a part of the body; as a chunk if its length is unknown."""
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def attach(self, link: Link) -> None:
        """Send the body on this connection from now on, starting with the part that is buffered."""
        self.link = link
        link.write(self.encode(bytes(self.buffered)))
        if self.whole:
            self.end()
        self.room(link)

    def detach(self, link: Link) -> None:
        """Stop sending on this connection, and read no more unless the body is complete or dropped."""
        if self.link is link:
            self.link = None
            if not (self.dropped or self.whole):
                self.client.hold("upload cannot be sent")

    def room(self, link: Link) -> None:
        """Resume reading, as the connection can take more bytes."""
        if self.link is link and not link.unsent:
            self.client.unhold("upload cannot be sent")

    def feed(self, data: bytes) -> None:
        """Send the next part of the body, and buffer it while the body can be sent again."""
        if self.dropped:
            return
        if self.link is None or (self.can_resend and len(self.buffered) + len(data) <= REPLAY_LIMIT):
            self.buffered += data
            self.client.server.buffered_bytes += len(data)
        elif self.can_resend:
            self.can_resend = False
            self.forget()
        if self.link is not None:
            self.link.write(self.encode(data))
            if self.link.unsent:
                self.client.hold("upload cannot be sent")

    def finish(self) -> None:
        """Note that the last byte has arrived."""
        self.whole = True
        self.end()

    def end(self) -> None:
        """Send the last chunk, if the body is chunked."""
        if self.link is not None and self.length is None:
            self.link.write(b"0\r\n\r\n")

    def forget(self) -> None:
        """Free the buffered part of the body."""
        self.client.server.buffered_bytes -= len(self.buffered)
        self.buffered.clear()

    def drop(self) -> None:
        """Discard the body, including the rest that is still read from the client."""
        if not self.dropped:
            self.dropped = True
            self.forget()
            self.client.unhold("upload cannot be sent")


class Client(asyncio.BufferedProtocol):
    """One client connection."""

    __slots__ = (
        "arriving", "body", "body_since", "broken", "closing", "exchange", "full", "head", "head_complete",
        "headers", "holds", "last_progress_at", "length", "opened", "parser", "pending", "proven", "server",
        "since", "size", "surplus", "transport", "unread", "url",
    )  # fmt: skip

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: list[Exchange] = []  # a list, as it is short and an empty deque takes 600 bytes
        self.opened = self.since = time.monotonic()  # `since`: when it became idle or a request began
        self.arriving = False  # whether part of a request has arrived, but not all of it
        self.surplus = False  # whether it was above the limit when opened; its requests are refused
        self.proven = False  # whether a complete request has arrived on it
        self.broken = False  # whether further bytes are no longer read as requests
        self.closing = False  # whether the last answer was sent before the body of its request was complete
        self.holds: tuple[str, ...] = ()  # the reasons for which reading is paused
        self.full = False  # whether its write buffer is full, as the client does not read its answers
        # When the size of its write buffer was last seen to change, and that size in bytes.
        self.last_progress_at, self.unread = 0.0, 0
        self.clear()

    def clear(self) -> None:
        """Reset the state that belongs to one request."""
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_complete = False
        self.head = 0
        self.body: list[bytes] = []
        self.size = 0
        self.length: int | None = None
        self.body_since = 0.0
        self.exchange: Exchange | None = None  # that of a request whose body is being streamed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its listener."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.transport = transport
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Free the buffered bodies, and report each open request as left by its client."""
        self.transport = None
        self.server.clients.discard(self)
        pending, self.pending = self.pending, []
        for exchange in pending:
            exchange.release()
            if exchange.request is not None:
                self.server.host.on_client_disconnected(exchange.request)
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.drop()

    # --- reading -----------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer."""
        return READ_BUFFER

    def buffer_updated(self, count: int) -> None:
        """Parse the bytes just read; a request that is not valid HTTP is answered with 400."""
        if self.broken:
            return
        try:
            self.parser.feed_data(READ_BUFFER[:count])
        except httptools.HttpParserUpgrade:
            self.reject(BadRequest("no upgrades here"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))

    def hold(self, why: str) -> None:
        """Pause reading for the reason `why`, until `unhold` has removed every reason."""
        if self.transport is not None and not self.transport.is_closing():
            if not self.holds:
                self.transport.pause_reading()
            if why not in self.holds:
                self.holds += (why,)

    def unhold(self, why: str) -> None:
        """Remove a reason for a pause; the pause does not count against the minimum rate of the body."""
        if why in self.holds:
            self.holds = tuple(other for other in self.holds if other != why)
            self.body_since = max(self.body_since, time.monotonic() - self.size / MIN_BODY_RATE)
            if not self.holds and self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def on_message_begin(self) -> None:
        """Reset the parser state, and note that a request is arriving."""
        self.clear()
        self.since, self.arriving = time.monotonic(), True

    def count(self, size: int) -> None:
        """Add to the size of the head; raises `BadRequest` if it becomes too large."""
        self.head += size
        if self.head > self.server.max_head:
            raise BadRequest("header too large", self.server.head_status)

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target; raises `BadRequest` if the head becomes too large."""
        self.url += url
        self.count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; raises `BadRequest` if the head becomes too large."""
        self.count(len(name) + len(value) + 4)
        if not self.head_complete:  # a trailer is ignored, as it could pass for a header that is missing
            # The parser leaves white space after a value that arrives in several reads.
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check the body's length and the Expect header; raises `BadRequest` if they are not acceptable."""
        self.head_complete = True
        self.body_since = time.monotonic()
        for name, value in self.headers:
            if name == b"content-length":
                self.length = int(value)
                if self.length > self.server.max_body:
                    raise BadRequest("body too large", 413)
            elif name == b"expect":
                if value.lower() != b"100-continue":
                    raise BadRequest("no such expectation", 417)
                if self.transport and not self.pending:
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, or stream it once the body is larger than `MAX_BUFFERED_BODY`."""
        self.size += len(body)
        if self.size > self.server.max_body:
            raise BadRequest("body too large", 413)
        if self.exchange is not None:
            if self.exchange.upload is not None:
                self.exchange.upload.feed(body)
            return
        self.body.append(body)
        if self.size > MAX_BUFFERED_BODY:
            self.exchange = Exchange(self, self.parser.should_keep_alive())
            self.exchange.upload = Upload(self, b"".join(self.body), self.length)
            self.body.clear()
            self.accept(self.exchange)

    def on_message_complete(self) -> None:
        """Process the request, or finish its streamed body if it is being processed already."""
        if self.broken:
            return  # it arrived in the same read as a request that ended the connection
        self.arriving, self.proven = False, True
        if self.exchange is None:
            self.accept(Exchange(self, self.parser.should_keep_alive()))
            return
        exchange, self.exchange = self.exchange, None
        if exchange.upload is not None:
            exchange.upload.finish()
        if self.closing:
            self.end()
        elif exchange.request is not None:
            self.server.host.on_body_complete(exchange.request)
        self.since = time.monotonic()

    def accept(self, exchange: Exchange) -> None:
        """Queue and process a request; errors and requests beyond `MAX_PIPELINED` are answered here."""
        self.pending.append(exchange)
        if len(self.pending) > MAX_PIPELINED:
            # One read may contain hundreds of requests, each with an answer of 64 KiB that waits to be sent.
            self.server.host.counts.rejected[503] += 1
            exchange.reply(Answer(503, retry_after=1.0))
            return
        try:
            self.take(exchange)
        except BadRequest as error:
            self.server.host.counts.rejected[error.status] += 1
            exchange.reply(Answer(error.status, f"{error}\n".encode()))
        except Exception:
            log.exception("unexpected error while processing a request")
            if exchange.answer is None:
                exchange.reply(Answer(502))

    def no_repeats(self, single: frozenset[bytes]) -> None:
        """Raise `BadRequest` if one of the headers in `single` is repeated.

        This process and a backend could each use a different one of them.
        """
        seen = set()
        for name, _ in self.headers:
            if name in seen and name in single:
                raise BadRequest("a header stands twice")
            seen.add(name)

    def take(self, exchange: Exchange) -> None:
        """Process a request: answer it, or submit it so that it is answered later; raises `BadRequest`."""
        raise NotImplementedError

    # --- writing -----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def flush(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
        while self.pending:
            exchange = self.pending[0]
            if exchange.stream is not None:
                if not self.pass_on(exchange, exchange.stream):
                    return
            elif exchange.answer is None:
                break
            self.pending.pop(0)
            if self.transport is None or self.transport.is_closing():
                continue
            close = not exchange.keep_alive
            if exchange.answer is not None:
                close = close or (self.server.closes_after_answer() and not self.pending)
                self.transport.write(self.server.encode(exchange.answer, close))
            if close and exchange is self.exchange:
                # Its body is still arriving, and ending now could make the client lose the answer.
                self.closing = True
                return
            if close:
                self.end()
                return
        if not self.arriving:
            self.since = time.monotonic()

    def pass_on(self, exchange: Exchange, stream: StreamedAnswer) -> bool:
        """Stream the answer that is next; returns whether it has been sent to its end."""
        if not exchange.sending:
            # HTTP/1.0 has no chunks, so that the end of the connection is the end of the answer.
            ends_by_close = stream.length is None and self.parser.get_http_version() == "1.0"
            exchange.chunked = stream.length is None and not ends_by_close
            last = self.server.closes_after_answer() and len(self.pending) == 1
            exchange.keep_alive = exchange.keep_alive and not ends_by_close and not last
            self.write(self.server.stream_head(stream, exchange.chunked, not exchange.keep_alive))
            exchange.sending = True
            queued, exchange.queued = exchange.queued, b""
            if queued:
                exchange.feed(queued)
            if not self.full:
                stream.source.resume()
        if not exchange.ended:
            return False
        if not exchange.whole and self.transport is not None:
            self.transport.abort()  # so that the client can detect that the answer is incomplete
        elif exchange.chunked:
            self.write(b"0\r\n\r\n")
        return True

    def pause_writing(self) -> None:
        """Read no further requests until the client reads its answers, which must not accumulate here."""
        self.full, self.last_progress_at = True, time.monotonic()
        self.hold("unread answers")
        if self.pending and (stream := self.pending[0].stream) is not None:
            stream.source.pause()

    def resume_writing(self) -> None:
        """Read requests again, as the client has read its answers."""
        self.full = False
        self.unhold("unread answers")
        if self.pending and (stream := self.pending[0].stream) is not None and self.pending[0].sending:
            stream.source.resume()

    def reject(self, error: BadRequest) -> None:
        """Answer a request that cannot be read, after those before it, and end the connection."""
        if self.broken:
            return
        self.broken = True
        self.server.host.counts.rejected[error.status] += 1
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            exchange = Exchange(self, keep_alive=False)
            self.pending.append(exchange)
        elif exchange.request is not None:
            self.server.host.on_client_disconnected(exchange.request)  # its body will never be complete
        exchange.keep_alive = False
        if exchange in self.pending and exchange.stream is None and exchange.answer is None:
            exchange.reply(Answer(error.status, f"{error}\n".encode()))
        elif exchange not in self.pending:
            self.end()  # it has already been answered

    def end(self) -> None:
        """Stop sending, and close after `LINGER` seconds of reading.

        Closing with unread bytes would cause a reset, which could make the client lose the answer.
        """
        self.broken = True
        if self.transport is not None:
            self.transport.write_eof()
            self.server.loop.call_later(LINGER, self.transport.abort)

    def check_timeouts(self, now: float) -> None:
        """Apply the time-outs of the connection at the monotonic time `now`."""
        if self.transport is None:
            return
        if self.full and self.stuck(now, self.transport.get_write_buffer_size()):
            self.transport.abort()  # a close would wait for a client that never reads its last answer
        if self.broken:
            return
        waited = now - (self.since if self.proven else self.opened)
        if self.arriving and self.head_complete:
            late = now - self.body_since - self.size / MIN_BODY_RATE > BODY_GRACE
            if late and not self.holds:
                self.reject(BadRequest("the request did not come whole", 408))
        elif self.pending:
            return
        elif self.arriving and waited > self.server.head_timeout:
            self.reject(BadRequest("the request did not come whole", 408))
        elif not self.proven and waited > self.server.head_timeout:
            # Closed without an answer: a client that sends a request at the same moment then resends it.
            self.transport.close()
        elif waited > self.server.idle_timeout:
            self.transport.abort()

    def stuck(self, now: float, unread: int) -> bool:
        """Whether the write buffer, of size `unread`, has not changed for `STALL_TIMEOUT` seconds."""
        if unread != self.unread:
            self.last_progress_at, self.unread = now, unread
        return now - self.last_progress_at > STALL_TIMEOUT


class Listener:
    """A listening socket and the connections of its clients."""

    make: Callable[[Listener], Client]
    max_head, max_body, head_timeout, idle_timeout = MAX_HEAD, MAX_BODY, HEAD_TIMEOUT, IDLE_TIMEOUT
    head_status = 400  # the answer to a head that is too large
    encode = staticmethod(encode)
    stream_head = staticmethod(stream_head)

    def __init__(self, listen: Address, passed: int | None, host: RequestHost, max_clients: int) -> None:
        self.listen, self.passed, self.host, self.max_clients = listen, passed, host, max_clients
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.buffered_bytes = 0
        self.stopping = False
        self.server: asyncio.Server | None = None
        self.sweeper = Periodic(self.loop, SWEEP, self.sweep, self.sweep_failed)

    async def start(self) -> None:
        """Start to listen on the address, or on the socket that was passed."""
        if self.passed is None:
            self.server = await self.loop.create_server(
                lambda: self.make(self), self.listen.host, self.listen.port, backlog=1024
            )
            return
        # The platform owns the socket, which other processes share, so only this duplicate is ever closed.
        sock = socket.socket(fileno=os.dup(self.passed))
        sock.setblocking(False)
        self.server = await self.loop.create_server(lambda: self.make(self), sock=sock, backlog=1024)

    def closes_after_answer(self) -> bool:
        """Whether connections are closed after an answer.

        The number of connections is limited.  With many clients that each have their own connection, idle
        connections would keep other clients from sending requests.
        """
        return self.stopping or len(self.clients) > KEEP_ALIVE_FRACTION * self.max_clients

    def add(self, client: Client) -> None:
        """Register a new connection; above the limit an idle one is closed, or else this one is refused."""
        self.clients.add(client)
        self.host.counts.clients_opened += 1
        if len(self.clients) <= self.max_clients:
            return
        # Descriptors are bounded.  A connection that has ended or has never had a request is closed first,
        # else the one that has been idle longest.  If none is idle, the new one is answered with a refusal,
        # as ending it could lose a request.
        idle = [c for c in self.clients if not c.pending and not c.arriving and c is not client]
        to_close = min(idle, key=lambda c: (not c.broken, c.proven, c.since), default=None)
        client.surplus = to_close is None
        self.host.counts.clients_refused += client.surplus
        if to_close is None and len(self.clients) > self.max_clients + SURPLUS:
            to_close = client
        if to_close is not None and to_close.transport is not None:
            self.clients.discard(to_close)  # at once, so that it is not chosen again before it is closed
            if to_close.transport.get_write_buffer_size():
                to_close.transport.abort()  # a close would wait for a client that does not read
            else:
                to_close.transport.close()

    def limit(self, max_clients: int) -> None:
        """Change the limit on connections.

        Idle connections above it are closed at once, longest idle first; those with an open request are
        closed after their answer.
        """
        self.max_clients = max_clients
        surplus = len(self.clients) - max_clients
        if surplus <= 0:
            return
        idle = [c for c in self.clients if not c.pending and not c.arriving and c.transport is not None]
        for client in sorted(idle, key=lambda c: (not c.broken, c.proven, c.since))[:surplus]:
            self.clients.discard(client)
            if client.transport is not None:
                client.transport.close()

    def sweep(self) -> None:
        """Apply the time-outs of all connections."""
        now = time.monotonic()
        for client in list(self.clients):
            try:
                client.check_timeouts(now)
            except Exception as error:  # the other connections must still be checked
                self.sweep_failed(error)

    def sweep_failed(self, error: Exception) -> None:
        """Log and count an error in a sweep."""
        self.host.counts.count_failure("sweep of clients", error)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are closed after their next answer."""
        self.stopping = True
        if self.server is not None:
            self.server.close()

    def in_use(self) -> bool:
        """Whether a client may still send a request on a connection, or waits for an answer."""
        return any(not client.broken for client in self.clients)

    def has_unfinished_exchanges(self) -> bool:
        """Whether a request is arriving, or part of an answer has yet to be sent."""
        return any(
            client.pending or client.arriving or client.transport.get_write_buffer_size()
            for client in self.clients
            if client.transport is not None
        )

    def close_idle(self) -> None:
        """Close the connections that have no open request."""
        for client in list(self.clients):
            if not client.pending and not client.arriving and client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        """Stop the sweeps and close all connections."""
        self.sweeper.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
