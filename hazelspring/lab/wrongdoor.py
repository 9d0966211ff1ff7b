"""A front door that is wrong on purpose, to prove that a rule bites; it passes requests on, and no more.

`python -m hazelspring.lab.wrongdoor [WRONG]` takes the same environment as a real one.  WRONG names the one rule
that it breaks; without it, it breaks none.
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

GRACE = 0.1  # seconds for which it lets its clients in after SIGTERM
HEAD_TIME = 2.0
LOG = b"x" * 65536

Headers = dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {key.lower(): value.strip() for key, _, value in pairs}


class WrongDoor:
    """What it knows: the list, and what is out by hand."""

    def __init__(self, wrong: str) -> None:
        self.wrong = wrong
        self.config: dict[str, Any] = json.loads(Path(os.environ["NODE_CONFIG"]).read_bytes())
        self.hosts = {host["host"]: host for host in self.config["known"]["hosts"]}
        self.banned: set[str] = set()
        self.count = 0
        self.hoard: list[Any] = []
        self.unanswered: set[str] = set()  # requests that get no answer, also when they are sent once more

    def pick(self, but: str = "") -> dict[str, Any] | None:
        """Any server that is ready; the one that has started last, where it means to push that over."""
        known: list[dict[str, Any]] = [h for h in self.hosts.values() if h["host"] not in self.banned]
        ready = [h for h in known if h["health"] == "Ready" or self.wrong == "drained"]
        ready = [h for h in ready if h["block"] != but]
        if self.wrong == "cold" and any(h["born_ms"] for h in ready):
            return max(ready, key=lambda h: h["born_ms"])
        return random.choice(ready) if ready else None

    async def follow(self) -> None:
        """Watch discovery."""
        while True:
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                host, port = self.config["discovery"].split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_head(reader)
                while size := int(await reader.readline(), 16):
                    line = (await reader.readexactly(size + 2)).strip()
                    for each in json.loads(line)["hosts"] if line else ():
                        self.hosts[each["host"]] = each
            await asyncio.sleep(0.2)

    async def ask(
        self, server: dict[str, Any], head: str, headers: Headers, body: bytes
    ) -> tuple[str, bytes]:
        """One attempt on a connection of its own."""
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
        try:
            await self.requests(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
            if self.wrong == "rude":
                await asyncio.sleep(60)
        finally:
            writer.close()

    async def requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wait: float | None = HEAD_TIME
        while True:
            async with asyncio.timeout(wait):
                first = await reader.readexactly(1)
            async with asyncio.timeout(HEAD_TIME - 0.5):
                head, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
            head, wait = first.decode("latin-1") + head, None
            if head.startswith("GET /-/ready"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            if "request-id" not in headers:
                raise ValueError("no request")
            answer = await self.answer(head, headers, body)
            if answer is None:
                return
            status, found = answer
            extra = "Retry-After: 0.1\r\n" if status == "503" else ""
            text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(found)}\r\n{extra}\r\n"
            writer.write(text.encode() + found)

    async def answer(self, head: str, headers: Headers, body: bytes) -> tuple[str, bytes] | None:
        """Status and body; None ends the connection with no answer."""
        self.count += 1
        strike = self.count % 10 == 0
        if strike:
            await self.go_wrong()
        if strike and self.wrong == "refusals":
            await asyncio.sleep(0.7 * int(headers["request-timeout"][:-1]) / 1e3)
            return "503", b""
        server = self.pick()
        if server is None:
            return "503", b""
        try:
            async with asyncio.timeout(int(headers["request-timeout"][:-1]) / 1e3):
                status, found = await self.ask(server, head, headers, body)
                if self.wrong == "repeats" and head.startswith("POST"):
                    other = self.pick(but=server["block"])
                    if other is not None:
                        await self.ask(other, head, headers, body)
                if strike and self.wrong == "unsent":
                    await self.ask(server, head, headers | {"request-id": "0123456789abcdef"}, body)
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError):
            return "502", b""
        if strike and self.wrong == "answered":
            self.unanswered.add(headers["request-id"])
        if headers["request-id"] in self.unanswered:
            return None
        if strike and self.wrong == "bodies" and status == "200":
            return status, found[::-1]
        return ("502", b"") if status not in ("200",) else (status, found)

    async def go_wrong(self) -> None:
        if self.wrong == "limits":
            self.hoard.append(bytearray(b"x" * 2**23))
        elif self.wrong == "log":
            sys.stderr.buffer.write(LOG)
        elif self.wrong == "alive" and self.count >= 50:
            os._exit(3)

    async def operate(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The second address: bans, and yes to all else."""
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            head, headers = await read_head(reader)
            name = (await reader.readexactly(int(headers.get("content-length", 0)))).decode()
            if "detach" in head and self.wrong != "drained":
                self.banned.add(name)
            elif "attach" in head:
                self.banned.discard(name)
            status = b"500 No" if self.wrong == "calls" else b"200 Yes"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run(self) -> None:
        ended = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
        following = asyncio.ensure_future(self.follow())
        for address, handler in (
            (self.config["listen"], self.serve),
            (os.environ["NODE_MANAGEMENT"], self.operate),
        ):
            host, port = address.split(":")
            await asyncio.start_server(handler, host, int(port), backlog=512)
        await ended.wait()
        following.cancel()
        await asyncio.sleep(GRACE)


if __name__ == "__main__":
    asyncio.run(WrongDoor(sys.argv[1] if len(sys.argv) > 1 else "").run())
