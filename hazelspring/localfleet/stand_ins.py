"""A stand-in platform and stand-in servers: the published protocol, as much of it as doors use.

`python -m hazelspring.localfleet.stand_ins
ID SERVICE ADDRESS ZONE FILE` is one server as a process, which notes what it runs."""

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
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Headers = dict[str, str]
Handler = Callable[[str, str, Headers, bytes], Awaitable[tuple[int, Headers, bytes]]]


async def serve(handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Requests of one connection, one after another; bodies with a length or in chunks."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, path, _ = head[0].split(" ", 2)
            headers = {
                key.lower(): value.strip()
                for key, _, value in (line.partition(":") for line in head[1:] if line)
            }
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            while headers.get("transfer-encoding") == "chunked":
                size = int((await reader.readline()).strip(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    break
            status, more, answer = await handler(method, path, headers, body)
            if status == 0:
                break  # cut: the request has run, and nobody is told
            text = f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(answer)}\r\n"
            text += "".join(f"{key}: {value}\r\n" for key, value in more.items())
            writer.write(text.encode() + b"\r\n" + answer)
            await writer.drain()
    writer.close()


@dataclass
class StandInServer:
    """A server's life; what it ran is counted by attempt id."""

    id: str
    service: str
    address: str
    zone: str
    slots: int = 2
    state: str = "accepting"
    work_seconds: float = 0.01
    padding_bytes: int = 0  # bytes more in its answers
    drops_answers: bool = False  # it runs a request and its answer is lost
    executions: Counter[str] = field(default_factory=Counter)
    last_headers: Headers = field(default_factory=dict)  # of the request that it ran last
    busy: int = 0
    separate_process: bool = False  # a process of its own serves it: here it is only listed
    healthy: bool = True  # what its health says
    probes: int = 0  # health requests that it got
    misdirected: int = 0  # requests for another life that it turned away
    notes: int = -1  # the descriptor of a file that is told what runs, before it does
    drained_at: float = math.inf  # when it was listed as draining, in steady seconds
    # what came later: when, and attempt ids
    after_drain: list[tuple[float, str]] = field(default_factory=list)

    def drain(self) -> None:
        """It leaves: the list says so from now on."""
        self.state, self.drained_at = "draining", time.monotonic()

    def restart_as(self, id_: str) -> None:
        """A new life at the same address."""
        self.id, self.state, self.drained_at = id_, "accepting", math.inf
        self.after_drain.clear()

    async def handle(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> tuple[int, Headers, bytes]:
        if path == "/health":
            self.probes += 1
            return 200 if self.healthy else 503, {"X-Hazelspring-Answering-Instance": self.id}, b""
        if headers.get("x-hazelspring-expected-instance", self.id) != self.id:
            self.misdirected += 1
            return 421, {"X-Hazelspring-Answering-Instance": self.id, "X-Hazelspring-Not-Executed": "1"}, b""
        attempt = headers.get("x-hazelspring-attempt-id", "")
        if not attempt:
            return 400, {"X-Hazelspring-Not-Executed": "1"}, b""
        self.executions[attempt] += 1
        if self.state == "draining":
            self.after_drain.append((time.monotonic(), attempt))
        if self.notes >= 0:
            os.write(self.notes, f"{attempt}\n".encode())
        self.last_headers = {**headers, "": f"{method} {path} {body.decode(errors='replace')}"}
        self.busy += 1
        await asyncio.sleep(self.work_seconds)
        self.busy -= 1
        if self.drops_answers:
            return 0, {}, b""
        return (
            200,
            {
                "X-Hazelspring-Attempt-Id": attempt,
                "X-Hazelspring-Server-Seal": f"seal-{self.id}",
                "X-Hazelspring-Server-Load": f"{self.busy},0,{self.slots}",
            },
            f"{self.id} {method} {path} {len(body)}\n".encode() + b"." * self.padding_bytes,
        )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, as a machine that has forgotten it does."""
    wire = writer.get_extra_info("socket")
    wire.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class StandIns:
    """The platform and all servers, in one loop."""

    def __init__(self, platform: str, servers: list[StandInServer]) -> None:
        self.platform, self.servers = platform, servers
        self.calls = 0
        self.listening: list[asyncio.Server] = []
        self.platform_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        for server in self.servers:
            if not server.separate_process:
                await self.listen(server.address, server.handle)
        await self.listen(self.platform, self.instances)

    async def listen(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(":")

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if address == self.platform:
                self.platform_writers.add(writer)
            await serve(handler, reader, writer)
            self.platform_writers.discard(writer)

        self.listening.append(await asyncio.start_server(accept, host, int(port)))

    async def instances(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> tuple[int, Headers, bytes]:
        self.calls += 1
        if not path.startswith("/instances"):
            return 404, {}, b""
        listed = {
            s.id: {
                "service": s.service, "address": s.address, "zone": s.zone, "versionNumber": "v1",
                "capacitySlots": s.slots, "serverState": s.state, "coldRemainingMs": 0,
            }
            for s in self.servers
        }  # fmt: skip
        answer = json.dumps({"instanceList": listed, "nextToken": None}).encode()
        return 200, {"Content-Type": "application/json"}, answer

    def reset_platform(self) -> None:
        """Reset every connection to the platform."""
        for writer in self.platform_writers:
            reset_connection(writer)

    def close(self) -> None:
        for server in self.listening:
            server.close()


async def serve_one(id_: str, service: str, address: str, zone: str, file: str) -> None:
    notes = os.open(file, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
    server = StandInServer(id_, service, address, zone, work_seconds=0.03, notes=notes)
    await StandIns("", []).listen(address, server.handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve_one(*sys.argv[1:]))
