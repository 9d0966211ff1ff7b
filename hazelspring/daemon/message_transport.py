"""Messages between nodes: cbor2 in datagrams where they are small, one short TCP connection each where they are not."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.node import codec
from hazelspring.node.messages import Message

MAX_DATAGRAM_BYTES = 1200  # bytes: fits a packet on any link
MAX_MESSAGE_BYTES = 8 << 20
REOPEN_INTERVAL = (
    0.2  # seconds until a socket that could not be opened is tried again: half of a heartbeat's interval
)
DELIVERY_TIMEOUT = 2.0  # seconds for a message that goes by TCP; what asked for it asks again sooner
MAX_DELIVERIES = 64  # such messages on their way at once
OPEN_SOCKET = "open a socket"  # the name under which failures to do so are counted


class DatagramReceiver(asyncio.DatagramProtocol):
    """Hands datagrams to a transport."""

    def __init__(self, mesh: MessageTransport) -> None:
        self.transport_owner = mesh

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand on a datagram."""
        self.transport_owner.on_bytes(addr[0], data)

    def error_received(self, error: Exception) -> None:
        """Ignore an error of the socket."""
        pass  # a dead port: who is away is told by silence

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the transport that its socket is closed."""
        self.transport_owner.on_socket_lost(error)


class MessageTransport:
    """Sends and receives messages; `on_message` gets each one that came with its sender's address."""

    def __init__(
        self, ip: str, port: int, on_message: Callable[[str, Message], None], supervisor: Supervisor
    ) -> None:
        self.ip, self.port, self.on_message, self.supervisor = ip, port, on_message, supervisor
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.deliveries_in_flight = 0  # messages on their way by TCP
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.last_message: Message | None = None  # the last one,
        self.last_message_bytes = b""  # and its bytes

    async def start(self) -> None:
        """Open the sockets; raises OSError."""
        await self.open_socket()
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, limit=1 << 16)

    async def open_socket(self) -> None:
        """Open the socket for datagrams; raises OSError."""
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self), local_addr=(self.ip, self.port)
        )

    def on_socket_lost(self, error: Exception | None) -> None:
        """The event loop has closed the socket for datagrams: without it this node would run on and hear nobody."""
        self.transport = None
        if not self.closed:
            log.write("transport", "lost its socket, opens another", error=error)
            self.supervisor.start(OPEN_SOCKET, self.reopen_socket())

    async def reopen_socket(self) -> None:
        """Try until there is a socket, whatever keeps one from being opened."""
        while self.transport is None:
            try:
                await self.open_socket()
            except Exception as error:
                self.supervisor.failed(OPEN_SOCKET, error)
                await asyncio.sleep(REOPEN_INTERVAL)

    def send(self, to: str, message: Message) -> None:
        """One message may go to many, one after another: it is encoded once, and not to be changed between."""
        if message is not self.last_message:
            self.last_message, self.last_message_bytes = message, codec.encode(message)
        data = self.last_message_bytes
        if len(data) <= MAX_DATAGRAM_BYTES:
            if self.transport is not None:
                with contextlib.suppress(OSError):
                    self.transport.sendto(data, (to, self.port))
        elif self.deliveries_in_flight < MAX_DELIVERIES:
            self.deliveries_in_flight += 1
            self.supervisor.start("deliver a message", self.deliver(to, data))
        else:
            log.write("transport", "too many large messages are on their way", peer=to)

    async def deliver(self, to: str, data: bytes) -> None:
        """Send a message over a connection of its own."""
        try:
            async with asyncio.timeout(DELIVERY_TIMEOUT):
                reader, writer = await asyncio.open_connection(to, self.port, local_addr=(self.ip, 0))
                try:
                    writer.write(len(data).to_bytes(4, "big") + data)
                    writer.write_eof()
                    await reader.read(1)  # its end says that it was read
                finally:
                    writer.transport.abort()
        except Exception as error:  # a write to a connection that was reset raises no type of its own
            log.write("transport", "a message did not arrive", peer=to, error=type(error).__name__)
        finally:
            self.deliveries_in_flight -= 1

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the message that a connection brings."""
        try:
            async with asyncio.timeout(DELIVERY_TIMEOUT):
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > MAX_MESSAGE_BYTES:
                    return
                data = await reader.readexactly(size)
            self.on_bytes(writer.get_extra_info("peername")[0], data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def on_bytes(self, source: str, data: bytes) -> None:
        """Decode a message and hand it on; one that cannot be handled is logged."""
        try:
            self.on_message(source, codec.decode(data))
        except Exception as error:  # whatever another process sends must not end this one
            log.write(
                "transport",
                "a message could not be taken",
                peer=source,
                error=f"{type(error).__name__}: {error}",
            )

    def close(self) -> None:
        """Close the sockets."""
        self.closed = True
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
