"""The operators' address: readiness, alert servers out by hand, and the configuration."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import httptools

from hazelspring.gateway.config import Address
from hazelspring.gateway.discovery import backend_id
from hazelspring.gateway.generations import MOST_CONFIRM, Generation, Generations, Refused
from hazelspring.gateway.handover import Handover
from hazelspring.gateway.metrics import CONTENT_TYPE, Metrics

MOST_CALLERS = 24  # connections held at once; beyond it the oldest gives way to the newest
MOST_BYTES = 8 * 1024  # of a call
MOST_CONFIGURATION = 256 << 10  # bytes of a configuration that is put: its parser holds up all else
MOST_HELD = 1 << 20  # bytes of these in all
CALL_TIMEOUT = 2.2  # seconds for a call to come whole
LINGER = 1.0  # seconds that a caller has to read its answer
BACKLOG = 256
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 412: "Precondition Failed", 413: "Content Too Large", 422: "Unprocessable Content",
    500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip
READY, DETACH, ATTACH = b"/_ready", b"/_alert-servers/detach", b"/_alert-servers/attach"
METRICS = b"/_metrics"
CONFIGURATION, HISTORY = b"/_configuration", b"/_configuration/history"
ROLLBACK, CONFIRM = b"/_configuration/rollback", b"/_configuration/confirm"
DIFF = b"/_configuration/diff"
METHODS = {
    READY: (b"GET",), METRICS: (b"GET",), DETACH: (b"PUT",), ATTACH: (b"PUT",),
    CONFIGURATION: (b"GET", b"PUT"), HISTORY: (b"GET",),
    ROLLBACK: (b"PUT",), CONFIRM: (b"PUT",), DIFF: (b"PUT",),
}  # fmt: skip
NUMBER = re.compile(r"\d{1,12}")

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Reply:
    status: int
    body: bytes
    content_type: str = "text/plain"
    generation: Generation | None = None  # goes into ETag, for If-Match


def line(status: int, text: str, generation: Generation | None = None) -> Reply:
    return Reply(status, f"{text}\n".encode(), generation=generation)


@dataclass(slots=True, frozen=True)
class Call:
    method: bytes
    path: bytes
    query: bytes
    body: bytes
    if_match: str | None


class Caller(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, desk: Management) -> None:
        self.desk = desk
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.timer: asyncio.TimerHandle | None = None
        self.size, self.most = 0, MOST_BYTES
        self.url = b""
        self.body = bytearray()
        self.held = 0  # bytes of it that count among those of all callers
        self.if_match: str | None = None
        self.task: asyncio.Task[None] | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.timer = self.desk.loop.call_later(
            CALL_TIMEOUT, self.answer, line(408, "the call did not come whole")
        )
        self.desk.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.desk.callers.pop(self, None)
        self.release()
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(line(400, "malformed call"))
        if self.size > self.most:
            self.answer(line(413, "too large for a call"))

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        elif name == b"if-match":
            self.if_match = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        path = self.url.partition(b"?")[0]
        if path in (CONFIGURATION, DIFF) and self.parser.get_method() == b"PUT":
            self.most += MOST_CONFIGURATION

    def on_body(self, body: bytes) -> None:
        if self.answered or self.size > self.most:
            return
        self.body += body
        if self.most > MOST_BYTES:
            self.held += len(body)
            self.desk.held += len(body)
            if self.desk.held > MOST_HELD:
                self.answer(line(503, "too many configurations are on their way"))

    def release(self) -> None:
        self.desk.held -= self.held
        self.held = 0
        self.body = bytearray()

    def on_message_complete(self) -> None:
        if self.answered or self.task is not None or self.size > self.most:
            return
        path, _, query = self.url.partition(b"?")
        call = Call(self.parser.get_method(), path, query, bytes(self.body), self.if_match)
        reply = self.desk.call(call)
        if isinstance(reply, Reply):
            self.answer(reply)
            return
        if self.timer is not None:
            self.timer.cancel()  # it has come whole
        self.task = self.desk.loop.create_task(self.answer_later(reply))

    async def answer_later(self, reply: Awaitable[Reply]) -> None:
        try:
            self.answer(await reply)
        except Refused as error:
            self.answer(line(error.status, str(error)))
        except Exception:
            log.exception("management: a call failed")
            self.answer(line(500, "failed here"))

    def answer(self, reply: Reply) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.release()
        head = f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Length: {len(reply.body)}\r\n"
        if reply.generation is not None:
            head += f'ETag: "{reply.generation.number}"\r\n'
        head += f"Connection: close\r\nContent-Type: {reply.content_type}\r\n\r\n"
        self.transport.write(head.encode() + reply.body)
        self.transport.write_eof()  # read on for a moment: a reset on unread bytes could overtake the answer
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.desk.loop.call_later(LINGER, self.transport.abort)


class Management:
    """The listener.  A caller that holds its connection costs a place in a bounded table and a timer."""

    def __init__(
        self,
        address: Address,
        ready: Callable[[], bool],
        seen: dict[str, int],
        handover: Handover,
        generations: Generations,
        metrics: Metrics,
    ) -> None:
        self.address, self.ready, self.seen, self.handover = address, ready, seen, handover
        self.generations, self.metrics = generations, metrics
        self.scraping = False
        self.loop = asyncio.get_running_loop()
        self.callers: dict[Caller, float] = {}  # oldest first
        self.held = 0  # bytes of configurations on their way
        self.sock: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.opening: asyncio.Task[None] | None = None
        self.closed = False

    def bind(self) -> None:
        """Listen.  An OSError says that this address cannot be had."""
        self.sock = socket.create_server((self.address.host, self.address.port), backlog=BACKLOG)
        self.sock.setblocking(False)

    def open(self) -> None:
        """Accept what has come meanwhile, and all that comes."""
        self.opening = self.loop.create_task(self.serve())

    async def serve(self) -> None:
        self.server = await self.loop.create_server(lambda: Caller(self), sock=self.sock, backlog=BACKLOG)
        if self.closed:
            self.server.close()

    def leave(self) -> None:
        """Accept no more; the calls that are here are answered."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        elif self.sock is not None and self.opening is None:
            self.sock.close()

    def add(self, caller: Caller) -> None:
        self.callers[caller] = time.monotonic()
        if len(self.callers) > MOST_CALLERS:
            oldest = next((c for c in self.callers if c.answered), None) or next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def call(self, call: Call) -> Reply | Awaitable[Reply]:
        """The answer to one call."""
        wanted = METHODS.get(call.path)
        if wanted is None:
            return line(404, "no such call")
        if call.method not in wanted:
            return line(405, f"this call is a {b' or '.join(wanted).decode()}")
        if call.path == READY:
            return line(200, "ready") if self.ready() else line(503, "not ready")
        if call.path in (DETACH, ATTACH):
            return self.by_hand(call)
        return self.scrape() if call.path == METRICS else self.configuration(call)

    def by_hand(self, call: Call) -> Reply:
        name = call.body.strip().decode("latin-1")
        backend = self.seen.get(name)
        if backend is None and backend_id(name) in self.handover.out:
            backend = backend_id(name)  # banned before this process ever heard of it
        if backend is None:
            return line(404, "no such alert server")
        try:
            (self.handover.detach if call.path == DETACH else self.handover.attach)(backend)
        except OSError as error:
            log.warning("management: not put on file: %s", error)
            return line(500, "could not be put on file")
        return line(200, "detached" if call.path == DETACH else "attached")

    async def scrape(self) -> Reply:
        if self.scraping:
            raise Refused(503, "another scrape is under way")
        self.scraping = True
        try:
            return Reply(200, await self.metrics.text(), CONTENT_TYPE)
        finally:
            self.scraping = False

    async def configuration(self, call: Call) -> Reply:
        generations = self.generations
        if call.path == HISTORY:
            return Reply(
                200, json.dumps(generations.history(), indent=1).encode() + b"\n", "application/json"
            )
        if call.method == b"GET":
            return Reply(200, generations.config.text, "application/json", generations.running)
        if call.path == DIFF:
            lines = await generations.diff(call.body)
            return line(200, "\n".join(lines) if lines else "no change", generations.running)
        if_match = matched(call.if_match)
        if call.path == CONFIGURATION:
            taken = await generations.put(call.body, if_match, seconds(call.query))
            return line(200, f"generation {taken.number} taken", taken)
        if call.path == CONFIRM:
            confirmed = generations.confirm(if_match)
            return line(200, f"generation {confirmed.number} confirmed", confirmed)
        taken = generations.rollback(whole(call.body.strip().decode("latin-1")), if_match)
        return line(200, f"generation {taken.number} taken: {taken.source}", taken)

    def close(self) -> None:
        self.leave()
        for caller in list(self.callers):
            if caller.task is not None:
                caller.task.cancel()
            if caller.transport is not None:
                caller.transport.abort()


def whole(text: str) -> int | None:
    """The number of a generation; without one, the one before."""
    if text and not NUMBER.fullmatch(text):
        raise Refused(400, "not the number of a generation")
    return int(text) if text else None


def matched(text: str | None) -> int | None:
    """If-Match: the number of the generation that the caller has seen, as ETag gives it."""
    if text is None or text == "*":
        return None
    found = text.removeprefix("W/").strip('"')
    if not NUMBER.fullmatch(found):
        raise Refused(412, "If-Match names no generation")
    return int(found)


def seconds(query: bytes) -> float:
    """The time that a put has until it is rolled back; 0 for good."""
    if not query:
        return 0.0
    name, _, value = query.decode("latin-1").partition("=")
    try:
        found = float(value)
    except ValueError:
        found = math.nan
    if name != "confirm" or not 0 < found <= MOST_CONFIRM:
        raise Refused(400, "not confirm=SECONDS")
    return found
