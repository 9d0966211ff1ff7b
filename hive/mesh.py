"""Messages between doors: cbor2 in datagrams where they are small, one short TCP connection each where they are not."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import cbor2

from hive.log import log

MOST_DATAGRAM = 1200  # bytes: fits a packet on any link
MOST_MESSAGE = 8 << 20
PATIENCE = 2.0  # seconds for a message that goes by TCP; what asked for it asks again sooner
MOST_OUT = 64  # such messages on their way at once


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.mesh.received(addr[0], data)

    def error_received(self, error: Exception) -> None:
        pass  # a dead port: who is away is told by silence


class Mesh:
    """`heard` gets each message with its sender's address."""

    def __init__(self, ip: str, port: int, heard: Callable[[str, dict[str, Any]], None]) -> None:
        self.ip, self.port, self.heard = ip, port, heard
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.message: dict[str, Any] = {}  # the last one,
        self.data = b""  # and its bytes

    async def start(self) -> None:
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: Datagrams(self), local_addr=(self.ip, self.port)
        )
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, limit=1 << 16)

    def send(self, to: str, message: dict[str, Any]) -> None:
        """One message may go to many, one after another: it is encoded once, and not to be changed between."""
        if message is not self.message:
            self.message, self.data = message, cbor2.dumps(message)
        data = self.data
        if len(data) <= MOST_DATAGRAM:
            if self.transport is not None:
                with contextlib.suppress(OSError):
                    self.transport.sendto(data, (to, self.port))
        elif len(self.tasks) < MOST_OUT:
            task = self.loop.create_task(self.deliver(to, data))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            log.say("mesh", "too many large messages are on their way", peer=to)

    async def deliver(self, to: str, data: bytes) -> None:
        try:
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection(to, self.port, local_addr=(self.ip, 0))
                try:
                    writer.write(len(data).to_bytes(4, "big") + data)
                    writer.write_eof()
                    await reader.read(1)  # its end says that it was read
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError) as error:
            log.say("mesh", "a message did not arrive", peer=to, error=type(error).__name__)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(PATIENCE):
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > MOST_MESSAGE:
                    return
                data = await reader.readexactly(size)
            self.received(writer.get_extra_info("peername")[0], data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def received(self, source: str, data: bytes) -> None:
        try:
            message = cbor2.loads(data)
            self.heard(source, message)
        except Exception as error:  # whatever another process sends must not end this one
            log.say(
                "mesh", "a message could not be taken", peer=source, error=f"{type(error).__name__}: {error}"
            )

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
