"""The counter and each front door's agent of discovery, on sockets; they live in the stage's process."""

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

BEAT = 2.0  # seconds between empty lines of a watch
LOOK = 0.05  # seconds between looks for what an agent has been sent
IDLE = 10.0


class CounterStand:
    """The counter at its addresses: the one of the start, and one that a reload names."""

    def __init__(self, model: Counter, now: Callable[[], float]) -> None:
        self.model, self.now = model, now
        self.calls = self.turned_away = 0
        self.open = False  # all calls are turned away until the run begins
        self.away = False
        self.peers: set[CounterPeer] = set()


class CounterPeer(asyncio.Protocol):
    """One connection: RESP2, answers in the order of the calls."""

    def __init__(self, stand: CounterStand) -> None:
        self.stand = stand
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.last = 0.0
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.stand.peers.add(self)
        self.rest()

    def connection_lost(self, error: Exception | None) -> None:
        self.stand.peers.discard(self)
        self.transport = None
        if self.idle is not None:
            self.idle.cancel()

    def rest(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.idle = asyncio.get_running_loop().call_later(IDLE, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.stand.away:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.rest()
        if self.stand.away:
            return
        self.reader.feed(data)
        try:
            while isinstance(call := self.reader.gets(), list):
                self.heard(call)
        except hiredis.ProtocolError:
            self.close()

    def heard(self, call: list[bytes]) -> None:
        stand, loop, now = self.stand, asyncio.get_running_loop(), self.stand.now()
        at, answer = now, b"-ERR no such call\r\n"
        match call:
            case [b"PING", *_]:
                answer = b"+PONG\r\n"
            case [b"CLIENT" | b"SELECT", *_]:
                answer = b"+OK\r\n"
            case [b"TALLY", name, amount, life]:
                stand.calls += 1
                with contextlib.suppress(ValueError):
                    if stand.open:
                        reply = stand.model.call(now, name, float(amount), float(life) / 1e3)
                        at = reply.at
                        text = b"" if reply.total is None else f"{reply.total:.7g}".encode()
                        answer = b"$%d\r\n%s\r\n" % (len(text), text) if text else b"-BUSY\r\n"
                    else:
                        answer = b"-BUSY\r\n"
                stand.turned_away += answer == b"-BUSY\r\n"
        self.last = max(self.last, at)  # an answer never overtakes an earlier one
        if self.last <= now:
            self.write(answer)
        else:
            loop.call_at(loop.time() + self.last - now, self.write, answer)


class AgentStand:
    """One front door's agent: what discovery has sent it, at once and at no cost."""

    def __init__(
        self, model: Discovery, door: int, dials: dict[str, str], now: Callable[[], float], notes: Recorder
    ) -> None:
        self.model, self.door, self.dials, self.now, self.notes = model, door, dials, now, notes
        self.peers: set[AgentPeer] = set()
        self.noted = model.version

    def note(self, version: int) -> None:
        """Write down what this front door has been told for the first time."""
        now = self.now()
        for host in self.model.since(self.noted, version):
            who = f"{host.name} {self.door}"
            self.notes.add(Note(now, f"told {host.health.value}", who, host.born))
        self.noted = max(self.noted, version)

    def line(self, version: int, whole: bool, hosts: list[Host]) -> bytes:
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

    def tell(self) -> None:
        """Send each watch what the agent has been sent since."""
        now = self.now()
        version = self.model.current(self.door, now)
        for peer in self.peers:
            if peer.version is None or self.model.silent:
                continue
            if version > peer.version:
                peer.chunk(self.line(version, False, self.model.since(peer.version, version)) + b"\n")
                self.note(version)
                peer.version, peer.beat = version, now
            elif now - peer.beat >= BEAT:
                peer.beat = now
                peer.chunk(b"\n")


class AgentPeer(asyncio.Protocol):
    """One connection to an agent: a list, or a watch that lasts until it ends."""

    def __init__(self, stand: AgentStand) -> None:
        self.stand = stand
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.version: int | None = None  # of a watch: what it was told last
        self.beat = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.stand.peers.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.stand.peers.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def chunk(self, data: bytes) -> None:
        self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def on_message_complete(self) -> None:
        url, self.url = httptools.parse_url(self.url), b""
        stand, model = self.stand, self.stand.model
        if url.path != b"/api/targets":
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        if not model.admits(stand.now()):
            self.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        query = dict(part.partition(b"=")[::2] for part in (url.query or b"").split(b"&"))
        version = model.current(stand.door, stand.now())
        after = int(query.get(b"from") or b"0")
        whole = b"watch" not in query or not 0 < after <= version
        text = (
            stand.line(version, whole, model.whole(version) if whole else model.since(after, version)) + b"\n"
        )
        if b"watch" not in query:
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            return
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.chunk(text)
        stand.note(version)
        self.version, self.beat = version, stand.now()


class Hub:
    """All listeners of counter and discovery."""

    def __init__(self, counter: CounterStand, agents: list[AgentStand]) -> None:
        self.counter, self.agents = counter, agents
        self.servers: dict[str, asyncio.Server] = {}
        self.taken: dict[str, WeakSet[AgentPeer | CounterPeer]] = {}
        self.ticker: asyncio.TimerHandle | None = None

    async def listen(self) -> dict[str, str]:
        """The addresses by name: `counter 0`, `agent DOOR 0`, and with 1 those that a reload names."""
        loop = asyncio.get_running_loop()
        for version in (0, 1):
            name = f"counter {version}"
            make = partial(self.take, name, partial(CounterPeer, self.counter))
            self.servers[name] = await loop.create_server(make, "127.0.0.1", 0)
            for agent in self.agents:
                name = f"agent {agent.door} {version}"
                make = partial(self.take, name, partial(AgentPeer, agent))
                self.servers[name] = await loop.create_server(make, "127.0.0.1", 0)
        self.tick()
        return {
            name: f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for name, server in self.servers.items()
        }

    def take(self, name: str, make: Callable[[], AgentPeer | CounterPeer]) -> AgentPeer | CounterPeer:
        """A new connection at the address of that name."""
        peer = make()
        self.taken.setdefault(name, WeakSet()).add(peer)
        return peer

    def leave(self, name: str) -> None:
        """No new connections at that address."""
        self.servers[name].close()

    def cut_off(self, name: str) -> None:
        """The end of the connections that it has."""
        for peer in list(self.taken.get(name, ())):
            if peer.transport is not None:
                peer.transport.close()

    def tick(self) -> None:
        for agent in self.agents:
            agent.tell()
        self.ticker = asyncio.get_running_loop().call_later(LOOK, self.tick)

    def close(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()
        for server in self.servers.values():
            server.close()
