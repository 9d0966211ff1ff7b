"""A simulated platform and servers, which implement the parts of the published protocols that nodes use.

``python -m hazelspring.localfleet.stand_ins ID SERVICE ADDRESS ZONE FILE`` runs one server as a process,
which logs the requests that it executes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import socket
import struct
import sys
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

MAX_EXECUTED = 100_000  # requests of which a server keeps the time
PROCESS_WORK_SECONDS = 0.03  # duration of a request at a server that runs as a process of its own

Headers = dict[str, str]


class StandInAnswer(NamedTuple):
    """An answer of the platform or of a server; without a status, the connection is closed instead."""

    status: int | None
    headers: Headers
    body: bytes = b""


NO_ANSWER = StandInAnswer(None, {})
Handler = Callable[[str, str, Headers, bytes], Awaitable[StandInAnswer]]


class ServerState(StrEnum):
    """A server's state in the platform's list."""

    ACCEPTING = "accepting"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that reached a server and was executed there."""

    at: float  # by the monotonic clock, in seconds
    attempt: str


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a request's body, which has a content length or is chunked."""
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    while headers.get("transfer-encoding") == "chunked":
        size = int((await reader.readline()).strip(), 16)
        body += (await reader.readexactly(size + len(b"\r\n")))[:size]
        if not size:
            break
    return body


async def serve(handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection, one after another."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, path, _ = head[0].split(" ", 2)
            headers = {
                key.lower(): value.strip()
                for key, _, value in (line.partition(":") for line in head[1:] if line)
            }
            body = await read_body(reader, headers)
            answer = await handler(method, path, headers, body)
            if answer.status is None:
                break
            text = f"HTTP/1.1 {answer.status} Answer\r\nContent-Length: {len(answer.body)}\r\n"
            text += "".join(f"{key}: {value}\r\n" for key, value in answer.headers.items())
            writer.write(text.encode() + b"\r\n" + answer.body)
            await writer.drain()
    writer.close()


@dataclass
class StandInServer:
    """A server in the platform's list; it counts the requests that it executes, by attempt id."""

    id: str
    service: str
    address: str
    zone: str
    slots: int = 2
    state: ServerState = ServerState.ACCEPTING
    work_seconds: float = 0.01  # duration of a request
    padding_bytes: int = 0  # added to each of its answers
    drops_answers: bool = False  # execute requests, but close the connection instead of answering
    executions: Counter[str] = field(default_factory=Counter)
    # headers of the last executed request; the key "" has its method, path and body
    last_headers: Headers = field(default_factory=dict)
    busy: int = 0  # requests in execution
    separate_process: bool = False  # another process serves its requests; this one only lists it
    healthy: bool = True  # the result of its health check
    probes: int = 0  # health checks received
    misdirected: int = 0  # requests refused because they were for another incarnation
    execution_log: int | None = None  # descriptor of a file that records attempt ids before execution
    drained_at: float = math.inf  # when it was listed as draining, in monotonic seconds
    # the last requests, since `forget_requests` was called
    executed: deque[ExecutedRequest] = field(default_factory=lambda: deque(maxlen=MAX_EXECUTED))

    def drain(self) -> None:
        """Change the listed state to draining."""
        self.state = ServerState.DRAINING
        self.drained_at = time.monotonic()

    def restart_as(self, id_: str) -> None:
        """Become a new incarnation at the same address."""
        self.id = id_
        self.state = ServerState.ACCEPTING
        self.drained_at = math.inf

    def forget_requests(self) -> None:
        """Forget the requests that were executed."""
        self.executions.clear()
        self.executed.clear()

    async def handle(self, method: str, path: str, headers: Headers, body: bytes) -> StandInAnswer:
        """Answer a health check, refuse a request for another incarnation, or execute a request."""
        if path == "/health":
            self.probes += 1
            status = HTTPStatus.OK if self.healthy else HTTPStatus.SERVICE_UNAVAILABLE
            return StandInAnswer(status.value, {"X-Hazelspring-Answering-Instance": self.id})
        if headers.get("x-hazelspring-expected-instance", self.id) != self.id:
            self.misdirected += 1
            refusal = {"X-Hazelspring-Answering-Instance": self.id, "X-Hazelspring-Not-Executed": "1"}
            return StandInAnswer(HTTPStatus.MISDIRECTED_REQUEST.value, refusal)
        attempt = headers.get("x-hazelspring-attempt-id", "")
        if not attempt:
            return StandInAnswer(HTTPStatus.BAD_REQUEST.value, {"X-Hazelspring-Not-Executed": "1"})
        self.record_execution(attempt)
        self.last_headers = {**headers, "": f"{method} {path} {body.decode(errors='replace')}"}
        self.busy += 1
        await asyncio.sleep(self.work_seconds)
        self.busy -= 1
        if self.drops_answers:
            return NO_ANSWER
        return StandInAnswer(
            HTTPStatus.OK.value,
            {
                "X-Hazelspring-Attempt-Id": attempt,
                "X-Hazelspring-Server-Seal": f"seal-{self.id}",
                "X-Hazelspring-Server-Load": f"{self.busy},0,{self.slots}",
            },
            f"{self.id} {method} {path} {len(body)}\n".encode() + b"." * self.padding_bytes,
        )

    def record_execution(self, attempt: str) -> None:
        """Record a request that is about to be executed."""
        self.executions[attempt] += 1
        self.executed.append(ExecutedRequest(time.monotonic(), attempt))
        if self.execution_log is not None:
            os.write(self.execution_log, f"{attempt}\n".encode())


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, as a machine does that has lost the connection's state."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class StandIns:
    """The simulated platform and all simulated servers, in one event loop."""

    def __init__(self, platform: str, servers: list[StandInServer]) -> None:
        self.platform, self.servers = platform, servers
        self.calls = 0
        self.listening: list[asyncio.Server] = []
        self.platform_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the addresses of the platform and of servers that are not separate processes."""
        for server in self.servers:
            if not server.separate_process:
                await self.listen(server.address, server.handle)
        await self.listen(self.platform, self.list_instances)

    async def listen(self, address: str, handler: Handler) -> None:
        """Listen at an address, and answer its requests by a handler."""
        host, _, port = address.rpartition(":")

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if address == self.platform:
                self.platform_writers.add(writer)
            await serve(handler, reader, writer)
            self.platform_writers.discard(writer)

        self.listening.append(await asyncio.start_server(accept, host, int(port)))

    async def list_instances(self, _method: str, path: str, _headers: Headers, _body: bytes) -> StandInAnswer:
        """Answer a call to the platform with the list of all servers, in one page."""
        self.calls += 1
        if not path.startswith("/instances"):
            return StandInAnswer(HTTPStatus.NOT_FOUND.value, {})
        listed = {
            server.id: {
                "service": server.service,
                "address": server.address,
                "zone": server.zone,
                "versionNumber": "v1",
                "capacitySlots": server.slots,
                "serverState": server.state,
                "coldRemainingMs": 0,
            }
            for server in self.servers
        }
        body = json.dumps({"instanceList": listed, "nextToken": None}).encode()
        return StandInAnswer(HTTPStatus.OK.value, {"Content-Type": "application/json"}, body)

    def reset_platform(self) -> None:
        """Reset every open connection to the platform."""
        for writer in self.platform_writers:
            reset_connection(writer)

    def close(self) -> None:
        """Stop listening."""
        for server in self.listening:
            server.close()


async def serve_one(id_: str, service: str, address: str, zone: str, file: str) -> None:
    """Run one server until the process ends; it appends the attempt ids of its executions to the file."""
    execution_log = os.open(file, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
    server = StandInServer(
        id_, service, address, zone, work_seconds=PROCESS_WORK_SECONDS, execution_log=execution_log
    )
    await StandIns("", []).listen(address, server.handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve_one(*sys.argv[1:]))
