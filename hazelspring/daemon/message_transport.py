"""Messages between nodes, encoded with cbor2.

Small messages are sent as datagrams, each larger one over a short TCP connection of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.node import codec
from hazelspring.node.messages import Message

# Bytes of the largest message sent as a datagram, which fits one packet on any link.
MAX_DATAGRAM_BYTES = 1200
# Bytes of the largest message received over TCP.
MAX_MESSAGE_BYTES = 8 << 20
# Seconds between attempts to open the datagram socket again: half of the interval of heartbeats.
REOPEN_INTERVAL = 0.2
# Seconds for one message over TCP; a node that requested it repeats the request sooner.
DELIVERY_TIMEOUT = 2.0
# Messages being delivered over TCP at once.
MAX_DELIVERIES = 64
# The name under which failures to open the datagram socket are counted.
OPEN_SOCKET = "open a socket"


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams, and the loss of their socket, to a `MessageTransport`."""

    def __init__(self, owner: MessageTransport) -> None:
        self.transport_owner = owner

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the transport."""
        self.transport_owner.on_bytes(addr[0], data)

    def error_received(self, error: Exception) -> None:
        """Ignore an error of the socket."""
        pass  # a port without a listener; an unreachable node is detected by missing heartbeat replies

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the transport that its socket is closed."""
        self.transport_owner.on_socket_lost(error)


class MessageTransport:
    """Sends and receives messages between nodes.

    Parameters
    ----------
    ip, port
        The local address; all nodes use the same port.
    on_message
        Called with the sender's address and each message received.
    supervisor
        Runs deliveries and the reopening of the socket, and counts their failures.
    """

    def __init__(
        self, ip: str, port: int, on_message: Callable[[str, Message], None], supervisor: Supervisor
    ) -> None:
        self.ip, self.port, self.on_message, self.supervisor = ip, port, on_message, supervisor
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.deliveries_in_flight = 0  # messages being delivered over TCP
        self.loop = asyncio.get_running_loop()
        self.closed = False
        # The message that was sent last and its bytes, so that one sent to many nodes is encoded once.
        self.last_message: Message | None = None
        self.last_message_bytes = b""

    async def start(self) -> None:
        """Open the datagram socket and the TCP listener; raises OSError."""
        await self.open_socket()
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, limit=1 << 16)

    async def open_socket(self) -> None:
        """Open the datagram socket; raises OSError."""
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self), local_addr=(self.ip, self.port)
        )

    def on_socket_lost(self, error: Exception | None) -> None:
        """Open another datagram socket where the event loop has closed this one.

        Without a socket the node would run on and receive no datagrams.
        """
        self.transport = None
        if not self.closed:
            log.write("transport", "datagram socket closed, opening another", error=error)
            self.supervisor.start(OPEN_SOCKET, self.reopen_socket())

    async def reopen_socket(self) -> None:
        """Retry each `REOPEN_INTERVAL` until the datagram socket is open, whatever error prevents it."""
        while self.transport is None:
            try:
                await self.open_socket()
            except Exception as error:
                self.supervisor.record_failure(OPEN_SOCKET, error)
                await asyncio.sleep(REOPEN_INTERVAL)

    def send(self, to: str, message: Message) -> None:
        """Send a message to an address, as a datagram or, where it is too large, over TCP.

        A message sent to many nodes one after another is encoded once, so it must not be changed in between.
        Errors of the socket are ignored; a large message is dropped and logged while `MAX_DELIVERIES` are in
        progress.
        """
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
            log.write("transport", "dropped a large message: too many deliveries in progress", peer=to)

    async def deliver(self, to: str, data: bytes) -> None:
        """Send a message over a TCP connection of its own; a failure is logged and not raised."""
        try:
            async with asyncio.timeout(DELIVERY_TIMEOUT):
                reader, writer = await asyncio.open_connection(to, self.port, local_addr=(self.ip, 0))
                try:
                    writer.write(len(data).to_bytes(4, "big") + data)
                    writer.write_eof()
                    await reader.read(1)  # the recipient closes the connection once it has read the message
                finally:
                    writer.transport.abort()
        except Exception as error:  # writing to a connection that was reset raises no specific type
            log.write("transport", "message delivery failed", peer=to, error=type(error).__name__)
        finally:
            self.deliveries_in_flight -= 1

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the one message of a connection; one that is incomplete, late or too large is dropped."""
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
        """Decode a message and pass it to `on_message`; one that cannot be decoded or handled is logged."""
        try:
            self.on_message(source, codec.decode(data))
        except Exception as error:  # whatever another process sends must not end this one
            log.write(
                "transport",
                "message could not be decoded or handled",
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
