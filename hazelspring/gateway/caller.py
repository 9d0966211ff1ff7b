"""A client's connection, whatever it asks: HTTP/1.1 in, bodies as they come, answers in turn; a listener."""

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
from hazelspring.gateway.host import Answer, Open
from hazelspring.gateway.link import READ, SMALL, Flow, Link
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.periodic import Periodic
from hazelspring.gateway.upstream import STALLED

MOST_BODY = 40 << 20  # bytes of a request's body: 32 MB come
MOST_HEAD = 16 * 1024
MOST_HELD = 12 << 20  # bytes of bodies held in all; beyond it requests are refused
REPLAY = 2 * SMALL  # bytes of a body passed on that are kept, so that it can be sent again
MOST_PIPELINED = 4  # requests on one connection that wait for their answers
HEAD_TIMEOUT = 2.45  # seconds for a request's head, on a new connection from its start on
BODY_GRACE = 1.5  # seconds that a body may lag behind the least rate
LEAST_RATE = 32 * 1024  # bytes a second of a body
IDLE_TIMEOUT = 75.0  # seconds that a connection may stand idle
LEAST_ADVICE = 0.001  # seconds: what rounds to 0 would be no advice
LINGER = 2.0  # seconds that a client has to read the last answer on its connection
SURPLUS = 32  # connections above the most that are still answered, with a refusal
CROWDED = 0.5  # part of the connections there may be from which on answered ones are not kept
SWEEP = 0.25  # seconds between looks at how long connections have been silent

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
    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def encode(answer: Answer, close: bool) -> bytes:
    head = f"HTTP/1.1 {answer.status} {REASONS[answer.status]}\r\nContent-Length: {len(answer.body)}\r\n"
    if answer.retry_after > 0:
        head += f"Retry-After: {max(answer.retry_after, LEAST_ADVICE):.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    if answer.content_type:
        return head.encode() + b"Content-Type: " + answer.content_type + b"\r\n\r\n" + answer.body
    return head.encode() + b"\r\n" + answer.body


def flow_head(flow: Flow, chunked: bool, close: bool) -> bytes:
    head = b"HTTP/1.1 200 OK\r\n"
    if flow.length is not None:
        head += b"Content-Length: %d\r\n" % flow.length
    elif chunked:
        head += b"Transfer-Encoding: chunked\r\n"
    if close:
        head += b"Connection: close\r\n"
    if flow.content_type:
        head += b"Content-Type: " + flow.content_type + b"\r\n"
    return head + b"\r\n"


class Desk(Protocol):
    """What becomes of the requests that clients make, as a connection sees it."""

    @property
    def counts(self) -> Counts: ...

    def left(self, request: Open) -> None: ...

    def whole(self, request: Open) -> None: ...


class Exchange:
    """One request on a client's connection and its answer, which waits for those before it."""

    __slots__ = (
        "answer", "chunked", "client", "early", "flow", "held", "keep_alive", "live", "over", "request",
        "upload", "whole",
    )  # fmt: skip

    def __init__(self, client: Client, keep_alive: bool) -> None:
        self.client, self.keep_alive = client, keep_alive
        self.answer: Answer | None = None
        self.request: Open | None = None
        self.held = 0
        self.upload: Upload | None = None  # its body, where that is passed on as it comes
        self.flow: Flow | None = None  # its answer, where that is
        self.live = self.over = self.whole = self.chunked = False
        self.early = b""  # of that, what came before its turn

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.release()
        self.client.flush()

    def begin(self, flow: Flow) -> None:
        self.flow = flow
        self.release()
        self.client.flush()

    def feed(self, data: bytes) -> None:
        if self.live:
            self.client.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        elif self.flow is not None:
            self.early += data
            self.flow.source.pause()  # an earlier answer on its connection is not out yet

    def finish(self, whole: bool) -> None:
        self.over, self.whole = True, whole
        self.client.flush()

    def release(self) -> None:
        """The request is settled: what was kept for it is let go."""
        self.client.server.held -= self.held
        self.held = 0
        if self.upload is not None:
            self.upload.drop()


class Upload:
    """A body too large to be held: passed on as it comes, and read no faster than the alert server reads."""

    def __init__(self, client: Client, first: bytes, length: int | None) -> None:
        self.client, self.length = client, length
        self.held = bytearray(first)  # all that has come, while it can be sent again
        self.again, self.whole, self.dropped = True, False, False
        self.link: Link | None = None
        client.server.held += len(first)
        client.hold("no alert server")

    def framing(self) -> bytes:
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def encode(self, data: bytes) -> bytes:
        return data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data)

    def attach(self, link: Link) -> None:
        self.link = link
        link.write(self.encode(bytes(self.held)))
        if self.whole:
            self.end()
        self.room(link)

    def detach(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            if not (self.dropped or self.whole):
                self.client.hold("no alert server")

    def room(self, link: Link) -> None:
        if self.link is link and not link.unsent:
            self.client.unhold("no alert server")

    def feed(self, data: bytes) -> None:
        if self.dropped:
            return
        if self.link is None or (self.again and len(self.held) + len(data) <= REPLAY):
            self.held += data
            self.client.server.held += len(data)
        elif self.again:
            self.again = False
            self.forget()
        if self.link is not None:
            self.link.write(self.encode(data))
            if self.link.unsent:
                self.client.hold("no alert server")

    def finish(self) -> None:
        """The last byte has come."""
        self.whole = True
        self.end()

    def end(self) -> None:
        if self.link is not None and self.length is None:
            self.link.write(b"0\r\n\r\n")

    def forget(self) -> None:
        self.client.server.held -= len(self.held)
        self.held.clear()

    def drop(self) -> None:
        """Nobody needs it any more: the rest is read to its end, and goes nowhere."""
        if not self.dropped:
            self.dropped = True
            self.forget()
            self.client.unhold("no alert server")


class Client(asyncio.BufferedProtocol):
    """One client connection."""

    __slots__ = (
        "arriving", "body", "body_since", "broken", "closing", "exchange", "full", "head", "headed",
        "headers", "holds", "length", "moved_at", "opened", "parser", "pending", "proven", "server", "since",
        "size", "surplus", "transport", "unread", "url",
    )  # fmt: skip

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: list[Exchange] = []  # few: an empty deque holds 600 bytes
        self.opened = self.since = time.monotonic()  # idle, or a request has been coming in, since then
        self.arriving = False
        self.surplus = False  # one too many when it came: answered with a refusal
        self.proven = False  # a whole request has come on it
        self.broken = False  # nothing more is read as a request
        self.closing = False  # the last answer is out before its request's body has come whole
        self.holds: tuple[str, ...] = ()  # why it is not read
        self.full = False  # it does not read its answers
        self.moved_at, self.unread = 0.0, 0  # when bytes to it last went, and how many still wait
        self.clear()

    def clear(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headed = False
        self.head = 0
        self.body: list[bytes] = []
        self.size = 0
        self.length: int | None = None
        self.body_since = 0.0
        self.exchange: Exchange | None = None  # of a request whose body is passed on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.clients.discard(self)
        pending, self.pending = self.pending, []
        for exchange in pending:
            exchange.release()
            if exchange.request is not None:
                self.server.host.left(exchange.request)
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.drop()

    # --- reading -----------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ

    def buffer_updated(self, count: int) -> None:
        if self.broken:
            return
        try:
            self.parser.feed_data(READ[:count])
        except httptools.HttpParserUpgrade:
            self.reject(BadRequest("no upgrades here"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequest) else BadRequest("malformed request"))

    def hold(self, why: str) -> None:
        """Read no more of it until every reason has gone."""
        if self.transport is not None and not self.transport.is_closing():
            if not self.holds:
                self.transport.pause_reading()
            if why not in self.holds:
                self.holds += (why,)

    def unhold(self, why: str) -> None:
        if why in self.holds:
            self.holds = tuple(other for other in self.holds if other != why)
            self.body_since = max(self.body_since, time.monotonic() - self.size / LEAST_RATE)
            if not self.holds and self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def on_message_begin(self) -> None:
        self.clear()
        self.since, self.arriving = time.monotonic(), True

    def count(self, size: int) -> None:
        self.head += size
        if self.head > self.server.most_head:
            raise BadRequest("header too large", self.server.head_status)

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count(len(name) + len(value) + 4)
        if not self.headed:  # a trailer is no header: it could stand in for one that was left out
            # The parser leaves white space behind a value that came in pieces.
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self.headed = True
        self.body_since = time.monotonic()
        for name, value in self.headers:
            if name == b"content-length":
                self.length = int(value)
                if self.length > self.server.most_body:
                    raise BadRequest("body too large", 413)
            elif name == b"expect":
                if value.lower() != b"100-continue":
                    raise BadRequest("no such expectation", 417)
                if self.transport and not self.pending:
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.server.most_body:
            raise BadRequest("body too large", 413)
        if self.exchange is not None:
            if self.exchange.upload is not None:
                self.exchange.upload.feed(body)
            return
        self.body.append(body)
        if self.size > SMALL:
            self.exchange = Exchange(self, self.parser.should_keep_alive())
            self.exchange.upload = Upload(self, b"".join(self.body), self.length)
            self.body.clear()
            self.accept(self.exchange)

    def on_message_complete(self) -> None:
        if self.broken:
            return  # one read held this behind a request that ended the connection
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
            self.server.host.whole(exchange.request)
        self.since = time.monotonic()

    def accept(self, exchange: Exchange) -> None:
        self.pending.append(exchange)
        if len(self.pending) > MOST_PIPELINED:
            # One read may hold hundreds of requests, each with an answer of 64 KiB to be kept for its turn.
            self.server.host.counts.rejected[503] += 1
            exchange.reply(Answer(503, retry_after=1.0))
            return
        try:
            self.take(exchange)
        except BadRequest as error:
            self.server.host.counts.rejected[error.status] += 1
            exchange.reply(Answer(error.status, f"{error}\n".encode()))
        except Exception:
            log.exception("a request could not be taken")
            if exchange.answer is None:
                exchange.reply(Answer(502))

    def no_repeats(self, single: frozenset[bytes]) -> None:
        """A header that counts and stands twice could be read differently here and at a backend."""
        seen = set()
        for name, _ in self.headers:
            if name in seen and name in single:
                raise BadRequest("a header stands twice")
            seen.add(name)

    def take(self, exchange: Exchange) -> None:
        """Answer a request, or bring about its answer."""
        raise NotImplementedError

    # --- writing -----------------------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def flush(self) -> None:
        while self.pending:
            exchange = self.pending[0]
            if exchange.flow is not None:
                if not self.pass_on(exchange, exchange.flow):
                    return
            elif exchange.answer is None:
                break
            self.pending.pop(0)
            if self.transport is None or self.transport.is_closing():
                continue
            close = not exchange.keep_alive
            if exchange.answer is not None:
                close = close or (self.server.keeps_none() and not self.pending)
                self.transport.write(self.server.encode(exchange.answer, close))
            if close and exchange is self.exchange:
                self.closing = True  # its body is still coming: an end now could overtake the answer
                return
            if close:
                self.end()
                return
        if not self.arriving:
            self.since = time.monotonic()

    def pass_on(self, exchange: Exchange, flow: Flow) -> bool:
        """The answer whose turn it is goes out as it comes; whether it is out."""
        if not exchange.live:
            old = (
                flow.length is None and self.parser.get_http_version() == "1.0"
            )  # no chunks: the end is its end
            exchange.chunked = flow.length is None and not old
            last = self.server.keeps_none() and len(self.pending) == 1
            exchange.keep_alive = exchange.keep_alive and not old and not last
            self.write(self.server.flow_head(flow, exchange.chunked, not exchange.keep_alive))
            exchange.live = True
            early, exchange.early = exchange.early, b""
            if early:
                exchange.feed(early)
            if not self.full:
                flow.source.resume()
        if not exchange.over:
            return False
        if not exchange.whole and self.transport is not None:
            self.transport.abort()  # what is missing shows
        elif exchange.chunked:
            self.write(b"0\r\n\r\n")
        return True

    def pause_writing(self) -> None:
        """Answers that a client does not read must not pile up here: no further requests until it does."""
        self.full, self.moved_at = True, time.monotonic()
        self.hold("unread answers")
        if self.pending and (flow := self.pending[0].flow) is not None:
            flow.source.pause()

    def resume_writing(self) -> None:
        self.full = False
        self.unhold("unread answers")
        if self.pending and (flow := self.pending[0].flow) is not None and self.pending[0].live:
            flow.source.resume()

    def reject(self, error: BadRequest) -> None:
        """Answer what cannot be read as a request, behind the answers still owed, and end."""
        if self.broken:
            return
        self.broken = True
        self.server.host.counts.rejected[error.status] += 1
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            exchange = Exchange(self, keep_alive=False)
            self.pending.append(exchange)
        elif exchange.request is not None:
            self.server.host.left(exchange.request)  # it will never come whole
        exchange.keep_alive = False
        if exchange in self.pending and exchange.flow is None and exchange.answer is None:
            exchange.reply(Answer(error.status, f"{error}\n".encode()))
        elif exchange not in self.pending:
            self.end()  # it has its answer

    def end(self) -> None:
        """End sending; read on for a moment, as a reset on unread bytes could overtake the answer."""
        self.broken = True
        if self.transport is not None:
            self.transport.write_eof()
            self.server.loop.call_later(LINGER, self.transport.abort)

    def look(self, now: float) -> None:
        if self.transport is None:
            return
        if self.full and self.stuck(now, self.transport.get_write_buffer_size()):
            self.transport.abort()  # a close would wait for a client that never reads its last answer
        if self.broken:
            return
        waited = now - (self.since if self.proven else self.opened)
        if self.arriving and self.headed:
            late = now - self.body_since - self.size / LEAST_RATE > BODY_GRACE
            if late and not self.holds:
                self.reject(BadRequest("the request did not come whole", 408))
        elif self.pending:
            return
        elif self.arriving and waited > self.server.head_timeout:
            self.reject(BadRequest("the request did not come whole", 408))
        elif not self.proven and waited > self.server.head_timeout:
            self.transport.close()  # without a word: a request that crosses this is sent once more
        elif waited > self.server.idle_timeout:
            self.transport.abort()

    def stuck(self, now: float, unread: int) -> bool:
        """Whether its client has read nothing for long."""
        if unread != self.unread:
            self.moved_at, self.unread = now, unread
        return now - self.moved_at > STALLED


class Listener:
    """An address that clients connect to, and their connections."""

    make: Callable[[Listener], Client]
    most_head, most_body, head_timeout, idle_timeout = MOST_HEAD, MOST_BODY, HEAD_TIMEOUT, IDLE_TIMEOUT
    head_status = 400  # of a head that is too large
    encode = staticmethod(encode)
    flow_head = staticmethod(flow_head)

    def __init__(self, listen: Address, passed: int | None, host: Desk, most_clients: int) -> None:
        self.listen, self.passed, self.host, self.most_clients = listen, passed, host, most_clients
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.held = 0
        self.stopping = False
        self.server: asyncio.Server | None = None
        self.sweeper = Periodic(self.loop, SWEEP, self.sweep, self.sweep_failed)

    async def start(self) -> None:
        if self.passed is None:
            self.server = await self.loop.create_server(
                lambda: self.make(self), self.listen.host, self.listen.port, backlog=1024
            )
            return
        # The platform's socket, and another process's too: only this duplicate is ever closed.
        sock = socket.socket(fileno=os.dup(self.passed))
        sock.setblocking(False)
        self.server = await self.loop.create_server(lambda: self.make(self), sock=sock, backlog=1024)

    def keeps_none(self) -> bool:
        """Whether a connection ends with its answer: clients may hold only so many in all, and where they are
        many, each with its own, those that stand idle keep the others from asking.
        """
        return self.stopping or len(self.clients) > CROWDED * self.most_clients

    def add(self, client: Client) -> None:
        self.clients.add(client)
        self.host.counts.clients_opened += 1
        if len(self.clients) <= self.most_clients:
            return
        # Descriptors are bounded: a connection that has ended or never asked gives way, else the one that has
        # been idle longest.  With none idle the new one is refused, as ending it could lose a request.
        idle = [c for c in self.clients if not c.pending and not c.arriving and c is not client]
        victim = min(idle, key=lambda c: (not c.broken, c.proven, c.since), default=None)
        client.surplus = victim is None
        self.host.counts.clients_refused += client.surplus
        if victim is None and len(self.clients) > self.most_clients + SURPLUS:
            victim = client
        if victim is not None and victim.transport is not None:
            self.clients.discard(victim)  # now: it must not be chosen again before it is closed
            if victim.transport.get_write_buffer_size():
                victim.transport.abort()  # a close would wait for a client that does not read
            else:
                victim.transport.close()

    def limit(self, most_clients: int) -> None:
        """So many connections from now on: those that stand idle go at once, longest idle first, and those
        with an open request with its answer.
        """
        self.most_clients = most_clients
        surplus = len(self.clients) - most_clients
        if surplus <= 0:
            return
        idle = [c for c in self.clients if not c.pending and not c.arriving and c.transport is not None]
        for client in sorted(idle, key=lambda c: (not c.broken, c.proven, c.since))[:surplus]:
            self.clients.discard(client)
            if client.transport is not None:
                client.transport.close()

    def sweep(self) -> None:
        now = time.monotonic()
        for client in list(self.clients):
            try:
                client.look(now)
            except Exception as error:  # the others are looked at all the same
                self.sweep_failed(error)

    def sweep_failed(self, error: Exception) -> None:
        self.host.counts.failed("sweep of clients", error)

    def stop_listening(self) -> None:
        """No new connections; those that are open end with their next answer."""
        self.stopping = True
        if self.server is not None:
            self.server.close()

    def in_use(self) -> bool:
        """Whether a client may still send a request on a connection, or waits for an answer."""
        return any(not client.broken for client in self.clients)

    def owes(self) -> bool:
        """Whether a request is coming in, or part of an answer has yet to leave this process."""
        return any(
            client.pending or client.arriving or client.transport.get_write_buffer_size()
            for client in self.clients
            if client.transport is not None
        )

    def close_idle(self) -> None:
        for client in list(self.clients):
            if not client.pending and not client.arriving and client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        self.sweeper.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
