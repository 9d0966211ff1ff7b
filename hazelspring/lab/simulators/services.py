"""Serves the quota counter and the gateways' discovery agents on sockets, in the runner's process."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from functools import partial
from typing import cast
from weakref import WeakSet

import hiredis
import httptools
import msgspec

from hazelspring.lab.models.counter import Counter
from hazelspring.lab.models.discovery import Discovery, Host
from hazelspring.lab.record import Note, Recorder

WATCH_HEARTBEAT_S = 2.0  # seconds between the empty lines that keep a watch alive
AGENT_POLL_S = 0.05  # seconds between checks for updates that have reached an agent
IDLE_TIMEOUT_S = 10.0  # seconds after which an idle connection to the counter is closed


class SimulatedCounter:
    """The counter.  It has two addresses: the initial one, and one that gateways use after a reload."""

    def __init__(self, model: Counter, now: Callable[[], float]) -> None:
        self.model, self.now = model, now
        self.calls = self.turned_away = 0
        self.accepting = False  # until the play starts, every call is answered with BUSY
        self.unavailable = False
        self.peers: set[CounterConnection] = set()


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, which speaks RESP2; calls are answered in order of arrival."""

    def __init__(self, service: SimulatedCounter) -> None:
        self.service = service
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.last_answer_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the counter, and start its idle timer."""
        self.transport = cast(asyncio.Transport, transport)
        self.service.peers.add(self)
        self.restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the counter, and stop its idle timer."""
        self.service.peers.discard(self)
        self.transport = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def restart_idle_timer(self) -> None:
        """Close the connection 10 s from now unless further data arrives."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Close the connection after the answers already written."""
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send an answer, unless the connection is closed or the counter is unavailable."""
        if self.transport is not None and not self.transport.is_closing() and not self.service.unavailable:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Handle the complete calls that were received; an unavailable counter ignores them."""
        self.restart_idle_timer()
        if self.service.unavailable:
            return
        self.reader.feed(data)
        try:
            while isinstance(call := self.reader.gets(), list):
                self.handle_call(call)
        except hiredis.ProtocolError:
            self.close()

    def handle_call(self, call: list[bytes]) -> None:
        """Apply one call to the model, and send its answer when the model says that it is due."""
        service, loop, now = self.service, asyncio.get_running_loop(), self.service.now()
        answer_at, answer = now, b"-ERR no such call\r\n"
        match call:
            case [b"PING", *_]:
                answer = b"+PONG\r\n"
            case [b"CLIENT" | b"SELECT", *_]:
                answer = b"+OK\r\n"
            case [b"TALLY", name, amount, lifetime_ms]:
                service.calls += 1
                with contextlib.suppress(ValueError):
                    if service.accepting:
                        reply = service.model.call(now, name, float(amount), float(lifetime_ms) / 1e3)
                        answer_at = reply.at
                        text = b"" if reply.total is None else f"{reply.total:.7g}".encode()
                        answer = b"$%d\r\n%s\r\n" % (len(text), text) if text else b"-BUSY\r\n"
                    else:
                        answer = b"-BUSY\r\n"
                service.turned_away += answer == b"-BUSY\r\n"
        # An answer is never sent before an earlier one.
        self.last_answer_at = max(self.last_answer_at, answer_at)
        if self.last_answer_at <= now:
            self.write(answer)
        else:
            loop.call_at(loop.time() + self.last_answer_at - now, self.write, answer)


class SimulatedAgent:
    """The discovery agent of one gateway; it forwards lists and updates from discovery without any delay."""

    def __init__(
        self, model: Discovery, gateway: int, dials: dict[str, str], now: Callable[[], float], notes: Recorder
    ) -> None:
        self.model, self.gateway, self.dials, self.now, self.notes = model, gateway, dials, now, notes
        self.peers: set[AgentConnection] = set()
        self.noted_version = model.version

    def note(self, version: int) -> None:
        """Record the changes up to `version` that this gateway receives for the first time."""
        now = self.now()
        for host in self.model.since(self.noted_version, version):
            who = f"{host.name} {self.gateway}"
            self.notes.add(Note(now, f"told {host.health.value}", who, host.born))
        self.noted_version = max(self.noted_version, version)

    def line(self, version: int, whole: bool, hosts: list[Host]) -> bytes:
        """Encode the complete list (`whole`) or an update to it as JSON."""
        return msgspec.json.encode(
            {
                "seq": version,
                "whole": whole,
                "hosts": [
                    {
                        "host": h.name, "dial": self.dials[h.name], "site": h.zone, "class": h.kind,
                        "block": h.rack, "health": h.health.value, "share": h.share,
                        "born_ms": round(h.born * 1e3),
                    }
                    for h in hosts
                ],
            }
        )  # fmt: skip

    def send_updates(self) -> None:
        """Send each watch the changes since its version, or an empty line after 2 s without any."""
        now = self.now()
        version = self.model.current(self.gateway, now)
        for peer in self.peers:
            if peer.version is None or self.model.silent:
                continue
            if version > peer.version:
                peer.chunk(self.line(version, False, self.model.since(peer.version, version)) + b"\n")
                self.note(version)
                peer.version, peer.last_sent_at = version, now
            elif now - peer.last_sent_at >= WATCH_HEARTBEAT_S:
                peer.last_sent_at = now
                peer.chunk(b"\n")


class AgentConnection(asyncio.Protocol):
    """One connection to an agent, on which a gateway reads the list or watches it for changes."""

    def __init__(self, service: SimulatedAgent) -> None:
        self.service = service
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.version: int | None = None  # the version sent last; None: not a watch
        self.last_sent_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the agent."""
        self.transport = cast(asyncio.Transport, transport)
        self.service.peers.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the agent."""
        self.service.peers.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a malformed request closes the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.url += url

    def write(self, data: bytes) -> None:
        """Send data, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def chunk(self, data: bytes) -> None:
        """Send data as one chunk of a chunked response."""
        self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def on_message_complete(self) -> None:
        """Answer a request with the list or the changes; a watch stays open for further changes."""
        url, self.url = httptools.parse_url(self.url), b""
        service, model = self.service, self.service.model
        if url.path != b"/api/targets":
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        if not model.admits(service.now()):
            self.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        query = dict(part.partition(b"=")[::2] for part in (url.query or b"").split(b"&"))
        version = model.current(service.gateway, service.now())
        after = int(query.get(b"from") or b"0")
        whole = b"watch" not in query or not 0 < after <= version
        text = (
            service.line(version, whole, model.full_list(version) if whole else model.since(after, version))
            + b"\n"
        )
        if b"watch" not in query:
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            return
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.chunk(text)
        service.note(version)
        self.version, self.last_sent_at = version, service.now()


class ServiceListeners:
    """The listeners of the counter and of all discovery agents."""

    def __init__(self, counter: SimulatedCounter, agents: list[SimulatedAgent]) -> None:
        self.counter, self.agents = counter, agents
        self.servers: dict[str, asyncio.Server] = {}
        self.connections: dict[str, WeakSet[AgentConnection | CounterConnection]] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def listen(self) -> dict[str, str]:
        """Listen, and return the addresses by name: `counter 0` and `agent GATEWAY 0`.

        The names of the addresses that gateways use after a reload end in 1.
        """
        loop = asyncio.get_running_loop()
        for version in (0, 1):
            name = f"counter {version}"
            factory = partial(self.open_connection, name, partial(CounterConnection, self.counter))
            self.servers[name] = await loop.create_server(factory, "127.0.0.1", 0)
            for agent in self.agents:
                name = f"agent {agent.gateway} {version}"
                factory = partial(self.open_connection, name, partial(AgentConnection, agent))
                self.servers[name] = await loop.create_server(factory, "127.0.0.1", 0)
        self.poll_agents()
        return {
            name: f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for name, server in self.servers.items()
        }

    def open_connection(
        self, name: str, factory: Callable[[], AgentConnection | CounterConnection]
    ) -> AgentConnection | CounterConnection:
        """Create the protocol of a new connection, and register it under the address's name."""
        peer = factory()
        self.connections.setdefault(name, WeakSet()).add(peer)
        return peer

    def stop_listening(self, name: str) -> None:
        """Accept no more connections at the address of that name."""
        self.servers[name].close()

    def close_connections(self, name: str) -> None:
        """Close all connections to the address of that name."""
        for peer in list(self.connections.get(name, ())):
            if peer.transport is not None:
                peer.transport.close()

    def poll_agents(self) -> None:
        """Let each agent send its updates, and do so again every 50 ms."""
        for agent in self.agents:
            agent.send_updates()
        self.timer = asyncio.get_running_loop().call_later(AGENT_POLL_S, self.poll_agents)

    def close(self) -> None:
        """Stop polling and listening; existing connections stay open."""
        if self.timer is not None:
            self.timer.cancel()
        for server in self.servers.values():
            server.close()
