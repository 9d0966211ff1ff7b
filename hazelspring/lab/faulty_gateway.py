"""A minimal gateway with a deliberate fault, to prove that the lab's rules detect it.

The gateway forwards requests and does nothing else.  `python -m hazelspring.lab.faulty_gateway [FAULT]`
takes the same environment as a real gateway.  FAULT is the name of the one rule to break, or `log`, which
breaks the rule `limits` by writing too much log.  Without FAULT, the gateway breaks no rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

TERMINATION_GRACE_S = 0.1  # seconds for which it still accepts clients after SIGTERM
HEAD_TIMEOUT_S = 2.0  # seconds within which the first byte of a connection has to arrive
LOG_FLOOD = b"x" * 65536  # written to the log by the fault `log`, on every tenth request

Headers = dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the head of an HTTP message: its first line, and its headers by name in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {key.lower(): value.strip() for key, _, value in pairs}


class FaultyGateway:
    """The gateway, with the server list of discovery and the servers that an operator has detached."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.config: dict[str, Any] = json.loads(Path(os.environ["NODE_CONFIG"]).read_bytes())
        self.servers = {host["host"]: host for host in self.config["known"]["hosts"]}
        self.detached: set[str] = set()
        self.request_count = 0
        self.leaked_memory: list[Any] = []
        self.unanswered: set[str] = set()  # ids of requests that get no answer, even if resent

    def pick(self, excluded_rack: str = "") -> dict[str, Any] | None:
        """Return a random ready server outside `excluded_rack`, or None.

        With the fault `drained`, the server need not be ready.  With the fault `cold`, it is the one that
        started last during the play, in order to overload it.
        """
        attached: list[dict[str, Any]] = [h for h in self.servers.values() if h["host"] not in self.detached]
        ready = [h for h in attached if h["health"] == "Ready" or self.fault == "drained"]
        ready = [h for h in ready if h["block"] != excluded_rack]
        if self.fault == "cold" and any(h["born_ms"] for h in ready):
            return max(ready, key=lambda h: h["born_ms"])
        return random.choice(ready) if ready else None

    async def watch_discovery(self) -> None:
        """Keep the server list up to date from discovery, and reconnect when the watch ends."""
        while True:
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                host, port = self.config["discovery"].split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_head(reader)
                while size := int(await reader.readline(), 16):
                    line = (await reader.readexactly(size + 2)).strip()
                    for changed in json.loads(line)["hosts"] if line else ():
                        self.servers[changed["host"]] = changed
            await asyncio.sleep(0.2)

    async def send_attempt(
        self, server: dict[str, Any], head: str, headers: Headers, body: bytes
    ) -> tuple[str, bytes]:
        """Send a request to a server on a new connection, and return status and body of the answer."""
        host, port = server["dial"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [head, *(f"{key}: {value}" for key, value in headers.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, found = await read_head(reader)
            return first.split()[1], await reader.readexactly(int(found.get("content-length", 0)))
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a client's connection; with the fault `rude`, keep it open 60 s after a bad request."""
        try:
            await self.serve_requests(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
            if self.fault == "rude":
                await asyncio.sleep(60)
        finally:
            writer.close()

    async def serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a connection's requests in turn.  Raises ValueError if a request has no `Request-Id`."""
        timeout: float | None = HEAD_TIMEOUT_S
        while True:
            async with asyncio.timeout(timeout):
                first = await reader.readexactly(1)
            async with asyncio.timeout(HEAD_TIMEOUT_S - 0.5):
                head, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
            head, timeout = first.decode("latin-1") + head, None
            if head.startswith("GET /-/ready"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            if "request-id" not in headers:
                raise ValueError("the request has no Request-Id header")
            answer = await self.answer(head, headers, body)
            if answer is None:
                return
            status, found = answer
            extra = "Retry-After: 0.1\r\n" if status == "503" else ""
            text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(found)}\r\n{extra}\r\n"
            writer.write(text.encode() + found)

    async def answer(self, head: str, headers: Headers, body: bytes) -> tuple[str, bytes] | None:
        """Return status and body, or None to close the connection without an answer."""
        self.request_count += 1
        is_faulty = self.request_count % 10 == 0
        if is_faulty:
            await self.apply_fault()
        if is_faulty and self.fault == "refusals":
            await asyncio.sleep(0.7 * int(headers["request-timeout"][:-1]) / 1e3)
            return "503", b""
        server = self.pick()
        if server is None:
            return "503", b""
        try:
            async with asyncio.timeout(int(headers["request-timeout"][:-1]) / 1e3):
                status, found = await self.send_attempt(server, head, headers, body)
                if self.fault == "repeats" and head.startswith("POST"):
                    other = self.pick(excluded_rack=server["block"])
                    if other is not None:
                        await self.send_attempt(other, head, headers, body)
                if is_faulty and self.fault == "unsent":
                    await self.send_attempt(server, head, headers | {"request-id": "0123456789abcdef"}, body)
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError):
            return "502", b""
        if is_faulty and self.fault == "answered":
            self.unanswered.add(headers["request-id"])
        if headers["request-id"] in self.unanswered:
            return None
        if is_faulty and self.fault == "bodies" and status == "200":
            return status, found[::-1]
        return ("502", b"") if status not in ("200",) else (status, found)

    async def apply_fault(self) -> None:
        """Apply a process fault: leak 8 MiB, write 64 KiB to the log, or exit at request 50 or later."""
        if self.fault == "limits":
            self.leaked_memory.append(bytearray(b"x" * 2**23))
        elif self.fault == "log":
            sys.stderr.buffer.write(LOG_FLOOD)
        elif self.fault == "alive" and self.request_count >= 50:
            os._exit(3)

    async def serve_management(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one management call: detach or attach a server; other calls have no effect and succeed.

        With the fault `calls`, every call is answered with status 500.
        """
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            head, headers = await read_head(reader)
            name = (await reader.readexactly(int(headers.get("content-length", 0)))).decode()
            if "detach" in head and self.fault != "drained":
                self.detached.add(name)
            elif "attach" in head:
                self.detached.discard(name)
            status = b"500 No" if self.fault == "calls" else b"200 Yes"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run(self) -> None:
        """Serve clients and management calls until SIGTERM."""
        ended = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
        watching = asyncio.ensure_future(self.watch_discovery())
        for address, handler in (
            (self.config["listen"], self.serve),
            (os.environ["NODE_MANAGEMENT"], self.serve_management),
        ):
            host, port = address.split(":")
            await asyncio.start_server(handler, host, int(port), backlog=512)
        await ended.wait()
        watching.cancel()
        await asyncio.sleep(TERMINATION_GRACE_S)


if __name__ == "__main__":
    asyncio.run(FaultyGateway(sys.argv[1] if len(sys.argv) > 1 else "").run())
