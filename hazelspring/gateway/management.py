"""The management address, for operators' HTTP calls.

The calls are for readiness, metrics, detaching and attaching alert servers, and the configuration.
"""

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
from hazelspring.gateway.generations import MAX_CONFIRM_TIMEOUT, Generation, Generations, RefusedError
from hazelspring.gateway.metrics import CONTENT_TYPE, Metrics
from hazelspring.gateway.shared_folder import SharedFolder

MAX_CONNECTIONS = 24  # open connections; beyond it the oldest one is closed
MAX_CALL_BYTES = 8 * 1024  # of one call without a configuration
MAX_CONFIGURATION_BYTES = 256 << 10  # of one configuration in a call: parsing it blocks the other threads
MAX_BUFFERED_BYTES = 1 << 20  # of the configurations of all calls that are being received
CALL_TIMEOUT = 2.2  # seconds for a call to arrive completely
LINGER = 1.0  # seconds that a caller has to read the response
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
    """The response to a call."""

    status: int
    body: bytes
    content_type: str = "text/plain"
    generation: Generation | None = None  # its number becomes the ETag, for If-Match


def text_reply(status: int, text: str, generation: Generation | None = None) -> Reply:
    """Return a reply with one line of text."""
    return Reply(status, f"{text}\n".encode(), generation=generation)


@dataclass(slots=True, frozen=True)
class Call:
    """A call that has arrived completely."""

    method: bytes
    path: bytes
    query: bytes
    body: bytes
    if_match: str | None


class ManagementConnection(asyncio.Protocol):
    """A connection to the management address.  It is closed after one call."""

    def __init__(self, management: Management) -> None:
        self.management = management
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.timer: asyncio.TimerHandle | None = None
        self.size, self.max_size = 0, MAX_CALL_BYTES
        self.url = b""
        self.body = bytearray()
        self.buffered = 0  # bytes of `body` that count towards MAX_BUFFERED_BYTES
        self.if_match: str | None = None
        self.task: asyncio.Task[None] | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out of the call."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.timer = self.management.loop.call_later(
            CALL_TIMEOUT,
            self.answer,
            text_reply(408, "the call did not come whole"),
        )
        self.management.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Free what the connection takes up."""
        self.transport = None
        self.management.connections.pop(self, None)
        self.release()
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse the data.  A malformed or too large call is answered with an error."""
        if self.answered:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(text_reply(400, "malformed call"))
        if self.size > self.max_size:
            self.answer(text_reply(413, "too large for a call"))

    def on_url(self, url: bytes) -> None:
        """Append to the URL, of which the parser may pass several pieces."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep If-Match, and answer `Expect: 100-continue`."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        elif name == b"if-match":
            self.if_match = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Raise the size limit for a call that has a configuration as its body."""
        path = self.url.partition(b"?")[0]
        if path in (CONFIGURATION, DIFF) and self.parser.get_method() == b"PUT":
            self.max_size += MAX_CONFIGURATION_BYTES

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body; 503 if the configurations of all calls exceed MAX_BUFFERED_BYTES."""
        if self.answered or self.size > self.max_size:
            return
        self.body += body
        if self.max_size > MAX_CALL_BYTES:
            self.buffered += len(body)
            self.management.buffered += len(body)
            if self.management.buffered > MAX_BUFFERED_BYTES:
                self.answer(text_reply(503, "too many configurations are on their way"))

    def release(self) -> None:
        """Free the body."""
        self.management.buffered -= self.buffered
        self.buffered = 0
        self.body = bytearray()

    def on_message_complete(self) -> None:
        """Serve the call."""
        if self.answered or self.task is not None or self.size > self.max_size:
            return
        path, _, query = self.url.partition(b"?")
        call = Call(self.parser.get_method(), path, query, bytes(self.body), self.if_match)
        reply = self.management.call(call)
        if isinstance(reply, Reply):
            self.answer(reply)
            return
        if self.timer is not None:
            self.timer.cancel()  # the call has arrived completely
        self.task = self.management.loop.create_task(self.answer_later(reply))

    async def answer_later(self, reply: Awaitable[Reply]) -> None:
        """Answer with the awaited reply, or with the error that it raises."""
        try:
            self.answer(await reply)
        except RefusedError as error:
            self.answer(text_reply(error.status, str(error)))
        except Exception:
            log.exception("management: a call failed")
            self.answer(text_reply(500, "failed here"))

    def answer(self, reply: Reply) -> None:
        """Send the reply and close the connection, unless the call was answered before."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        self.release()
        head = f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Length: {len(reply.body)}\r\n"
        if reply.generation is not None:
            head += f'ETag: "{reply.generation.number}"\r\n'
        head += f"Connection: close\r\nContent-Type: {reply.content_type}\r\n\r\n"
        self.transport.write(head.encode() + reply.body)
        self.transport.write_eof()  # keep reading: a reset caused by unread bytes could overtake the reply
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.management.loop.call_later(LINGER, self.transport.abort)


class Management:
    """The listener of the management address.

    A client that keeps its connection open takes up one of MAX_CONNECTIONS places and a timer.
    """

    def __init__(
        self,
        address: Address,
        ready: Callable[[], bool],
        backend_ids: dict[str, int],
        shared_folder: SharedFolder,
        generations: Generations,
        metrics: Metrics,
    ) -> None:
        self.address, self.ready, self.backend_ids, self.shared_folder = (
            address,
            ready,
            backend_ids,
            shared_folder,
        )
        self.generations, self.metrics = generations, metrics
        self.scrape_running = False
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ManagementConnection, float] = {}  # oldest first
        self.buffered = 0  # bytes of the configurations that are being received
        self.sock: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.serve_task: asyncio.Task[None] | None = None
        self.closed = False

    def bind(self) -> None:
        """Listen.  Raises OSError if the address cannot be listened on."""
        self.sock = socket.create_server((self.address.host, self.address.port), backlog=BACKLOG)
        self.sock.setblocking(False)

    def open(self) -> None:
        """Accept connections, also those that arrived since `bind`."""
        self.serve_task = self.loop.create_task(self.serve())

    async def serve(self) -> None:
        """Create the server on the bound socket."""
        self.server = await self.loop.create_server(
            lambda: ManagementConnection(self), sock=self.sock, backlog=BACKLOG
        )
        if self.closed:
            self.server.close()

    def stop_accepting(self) -> None:
        """Accept no further connections.  Calls on open connections are still answered."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        elif self.sock is not None and self.serve_task is None:
            self.sock.close()

    def add(self, connection: ManagementConnection) -> None:
        """Add a connection.  Beyond MAX_CONNECTIONS, abort the oldest, or an answered one if there is any."""
        self.connections[connection] = time.monotonic()
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next((c for c in self.connections if c.answered), None) or next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def call(self, call: Call) -> Reply | Awaitable[Reply]:
        """Return the reply to a call."""
        allowed = METHODS.get(call.path)
        if allowed is None:
            return text_reply(404, "no such call")
        if call.method not in allowed:
            return text_reply(405, f"this call is a {b' or '.join(allowed).decode()}")
        if call.path == READY:
            return text_reply(200, "ready") if self.ready() else text_reply(503, "not ready")
        if call.path in (DETACH, ATTACH):
            return self.change_detached(call)
        return self.scrape() if call.path == METRICS else self.configuration(call)

    def change_detached(self, call: Call) -> Reply:
        """Detach or attach the alert server that the body names."""
        name = call.body.strip().decode("latin-1")
        backend = self.backend_ids.get(name)
        if backend is None and backend_id(name) in self.shared_folder.detached:
            backend = backend_id(name)  # detached before discovery listed it to this process
        if backend is None:
            return text_reply(404, "no such alert server")
        try:
            (self.shared_folder.detach if call.path == DETACH else self.shared_folder.attach)(backend)
        except OSError as error:
            log.warning("management: cannot write to the shared folder: %s", error)
            return text_reply(500, "could not be put on file")
        return text_reply(200, "detached" if call.path == DETACH else "attached")

    async def scrape(self) -> Reply:
        """Return the metrics.  Raises RefusedError while another scrape is served."""
        if self.scrape_running:
            raise RefusedError(503, "another scrape is under way")
        self.scrape_running = True
        try:
            return Reply(200, await self.metrics.text(), CONTENT_TYPE)
        finally:
            self.scrape_running = False

    async def configuration(self, call: Call) -> Reply:
        """Serve a call that reads or changes the configuration.  Raises RefusedError."""
        generations = self.generations
        if call.path == HISTORY:
            return Reply(
                200, json.dumps(generations.history(), indent=1).encode() + b"\n", "application/json"
            )
        if call.method == b"GET":
            return Reply(200, generations.config.text, "application/json", generations.running)
        if call.path == DIFF:
            lines = await generations.diff(call.body)
            return text_reply(200, "\n".join(lines) if lines else "no change", generations.running)
        if_match = parse_if_match(call.if_match)
        if call.path == CONFIGURATION:
            applied = await generations.put(call.body, if_match, parse_confirm_timeout(call.query))
            return text_reply(200, f"generation {applied.number} taken", applied)
        if call.path == CONFIRM:
            confirmed = generations.confirm(if_match)
            return text_reply(200, f"generation {confirmed.number} confirmed", confirmed)
        applied = generations.rollback(parse_generation(call.body.strip().decode("latin-1")), if_match)
        return text_reply(200, f"generation {applied.number} taken: {applied.source}", applied)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_accepting()
        for connection in list(self.connections):
            if connection.task is not None:
                connection.task.cancel()
            if connection.transport is not None:
                connection.transport.abort()


def parse_generation(text: str) -> int | None:
    """Parse the number of a generation; None, the previous generation, for an empty text.

    Raises RefusedError.
    """
    if text and not NUMBER.fullmatch(text):
        raise RefusedError(400, "not the number of a generation")
    return int(text) if text else None


def parse_if_match(text: str | None) -> int | None:
    """Parse an If-Match header, the ETag of the generation that the caller expects; None for any.

    Raises RefusedError.
    """
    if text is None or text == "*":
        return None
    found = text.removeprefix("W/").strip('"')
    if not NUMBER.fullmatch(found):
        raise RefusedError(412, "If-Match names no generation")
    return int(found)


def parse_confirm_timeout(query: bytes) -> float:
    """Parse the confirm time of a put in seconds; 0 if the put needs no confirmation.

    Raises RefusedError.
    """
    if not query:
        return 0.0
    name, _, value = query.decode("latin-1").partition("=")
    try:
        found = float(value)
    except ValueError:
        found = math.nan
    if name != "confirm" or not 0 < found <= MAX_CONFIRM_TIMEOUT:
        raise RefusedError(400, "not confirm=SECONDS")
    return found
