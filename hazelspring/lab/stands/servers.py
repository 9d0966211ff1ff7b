"""A process of alert servers: their models on listeners, one for each pair of a front door and a server."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import cast

import httptools

from hazelspring.lab.models.alertserver import AlertServer, Rack, ServerSpec, Verdict
from hazelspring.lab.models.chance import stream
from hazelspring.lab.models.customers import CLASSES, Arrivals
from hazelspring.lab.models.network import Network, Trouble
from hazelspring.lab.plan import (
    Happening,
    Play,
    answer_of,
    arrivals_of,
    body_of,
    happenings,
    place_of,
    servers_of,
)  # fmt: skip
from hazelspring.lab.record import Arrival, Note, Recorder
from hazelspring.lab.stands.child import Told, clock, play, settle, tell

BACKLOG = 512
BEFORE = 1000.0  # before the start all clocks stand well below 0, and go on
STATS = 1.0  # seconds between lines to the stage
EMPTY = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n"
REASONS = {Verdict.FULL: b"503 Busy", Verdict.DRAINING: b"503 Draining", Verdict.FALLEN: b"503 Down"}


def door_name(door: int) -> str:
    return f"door {door}"


class Socket:
    """The listener of one alert server for one front door."""

    def __init__(self, stand: Stand, door: int) -> None:
        self.stand, self.door = stand, door
        self.port = 0
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.open()

    def open(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(BACKLOG)
        self.sock, self.port = sock, sock.getsockname()[1]
        self.stand.loop.add_reader(sock, self.accept)

    def accept(self) -> None:
        assert self.sock is not None
        with contextlib.suppress(BlockingIOError, OSError):
            while True:
                conn, _ = self.sock.accept()
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = self.stand.loop.create_task(
                    self.stand.loop.connect_accepted_socket(lambda: Peer(self.stand, self.door), conn)
                )
                self.stand.host.tasks.add(task)
                task.add_done_callback(self.stand.host.tasks.discard)

    def close(self) -> None:
        """As a dead process's: what comes is refused."""
        if self.sock is not None:
            self.stand.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def silence(self) -> None:
        """As a machine's that is cut off: connections to it never come up.  The kernel drops what comes to
        a listener whose queue is full, and nobody accepts from this one.
        """
        if self.sock is None:
            return
        self.stand.loop.remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def speak(self) -> None:
        """It is back: what had been queued meanwhile is reset."""
        if self.sock is None:
            return
        self.close()
        self.open()


class Peer(asyncio.Protocol):
    """One connection of a front door."""

    def __init__(self, stand: Stand, door: int) -> None:
        self.stand, self.door = stand, door
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.fresh = True
        self.held = False
        self.token: list[str] | None = None  # of the request that is out; its id
        self.idle: asyncio.TimerHandle | None = None
        self.clear()

    def clear(self) -> None:
        self.url, self.headers = b"", dict[bytes, bytes]()
        self.body = bytearray()
        self.began = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        stand = self.stand
        if not stand.alive or not stand.model.connect(stand.now()):
            self.transport.abort()
            return
        self.held = True
        stand.peers.add(self)
        stand.host.handshakes += 1
        self.rest()

    def rest(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.idle = self.stand.loop.call_later(self.stand.model.spec.idle, self.close)

    def close(self) -> None:
        if self.transport is not None and self.token is None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.stand.peers.discard(self)
        if self.held:
            self.stand.model.connections = max(0, self.stand.model.connections - 1)
        self.transport, self.token = None, None

    def data_received(self, data: bytes) -> None:
        if self.stand.cut:
            return  # it never came
        if not self.began:
            self.began = self.stand.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.stand.note("malformed", self.door)
            self.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.rest()
        url, headers, body, began = self.url, self.headers, bytes(self.body), self.began
        method = self.parser.get_method()
        self.clear()
        self.stand.heard(self, method, url, headers, body, began)
        self.fresh = False

    def answer(self, status: bytes, body: bytes = b"", headers: bytes = b"", break_at: int = 0) -> None:
        """Answer, or break the connection after so many bytes of it."""
        self.token = None
        if self.transport is None or self.transport.is_closing() or self.stand.cut:
            return
        text = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)
        if break_at:
            self.transport.write(text[: min(break_at, len(text) - 1)])
            self.stand.loop.call_soon(self.abort)
            return
        self.transport.write(text)


class Stand:
    """One alert server: its model, its listeners, its connections."""

    def __init__(self, host: Host, place: int, spec: ServerSpec, rack: Rack) -> None:
        self.host, self.place, self.rack = host, place, rack
        self.loop = host.loop
        self.model = AlertServer(spec, rack, host.now())
        self.peers: set[Peer] = set()
        self.alive, self.cut, self.life = True, False, 0
        self.timer: asyncio.TimerHandle | None = None
        self.random = stream(host.play.seed, f"noise {place}")
        self.sockets = [Socket(self, door) for door in range(host.day.doors)]

    def now(self) -> float:
        return self.host.now()

    def note(self, what: str, door: int = -1, value: float = 0.0) -> None:
        self.host.notes.add(Note(self.now(), what, f"{self.place} {door}", value))

    def load(self) -> bytes:
        util, inflight = self.model.report(self.now())
        noise = 1 + self.model.spec.noise * float(self.random.standard_normal())
        return b"TEXT util=%.3f, inflight=%d" % (min(1.0, max(0.0, util * noise)), inflight)

    def heard(
        self, peer: Peer, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes, began: float
    ) -> None:
        host, now = self.host, self.now()
        if url in (b"/-/healthy", b"/-/load"):
            host.probes += 1
            if self.model.fallen:
                return peer.abort()
            self.model.begin(now, None, self.model.spec.probe)
            self.arm()
            return peer.answer(b"200 OK", self.load() if url == b"/-/load" else b"")
        found = headers.get(b"request-id", b"").decode("latin-1")
        if not found:
            return peer.answer(b"404 Not Found")
        known = place_of(host.play.seed, found)
        if known is None or not host.sent_so(known[0], method, url, headers, body):
            host.arrivals_seen.add(Arrival(found, self.place, peer.door, began, now, "unknown", self.life))
            return peer.answer(b"400 Bad Request")
        request = known[0]
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        peer.token = [found]
        was = self.model.fallen
        work = float(host.work.work[request]) / 1e6
        verdict = self.model.begin(now, (peer, peer.token), work, key, peer.fresh)
        host.arrivals_seen.add(Arrival(found, self.place, peer.door, began, now, verdict.value, self.life))
        if verdict in (Verdict.FULL, Verdict.DRAINING):
            peer.answer(REASONS[verdict], headers=b"Not-Started: 1\r\n")
        elif verdict is Verdict.FALLEN:
            if not was:
                self.note("fell over", peer.door)
                self.fall()
            peer.abort()
        self.arm()
        return None

    def fall(self) -> None:
        self.model.kill()
        for peer in list(self.peers):
            peer.abort()

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.alive and (due := self.model.due(self.now())) is not None:
            self.timer = self.loop.call_later(max(0.0, due - self.now()), self.look)

    def look(self) -> None:
        self.timer = None
        for token in self.model.advance(self.now()):
            if token is not None:
                peer, mark = cast(tuple[Peer, list[str]], token)
                if peer.token is mark:
                    self.served(peer, mark[0])
        self.arm()

    def served(self, peer: Peer, found: str) -> None:
        host, now = self.host, self.now()
        request = int(found[:8], 16)
        body = answer_of(host.day, host.play.secret, self.model.spec.name, found, request)
        ends = (door_name(peer.door), self.model.spec.name)
        share, delay = host.network.reset_share(now, *ends), host.network.delay(now, *ends)
        break_at = 0
        if share and self.random.random() < share:
            break_at = 1 + int(self.random.integers(len(body) + 30))
            self.note("broken", peer.door, break_at)
        if delay:
            self.loop.call_later(delay, peer.answer, b"200 OK", body, b"", break_at)
        else:
            peer.answer(b"200 OK", body, break_at=break_at)

    # --- what happens to it -----------------------------------------------------------------------------

    def die(self) -> None:
        """As by SIGKILL: connections are reset, and new ones refused."""
        self.alive = False
        self.note("died")
        for sock in self.sockets:
            sock.close()
        self.model.kill()
        for peer in list(self.peers):
            peer.abort()
        self.arm()

    def restart(self) -> None:
        """It is back on the same addresses, cold."""
        self.life += 1
        self.model = AlertServer(self.model.spec, self.rack, self.now(), self.now())
        self.alive = True
        self.note("started")
        for sock in self.sockets:
            sock.open()

    def drain(self) -> None:
        self.model.draining = True
        self.note("drains")

    def silence(self) -> None:
        self.cut = True
        self.note("cut")
        for sock in self.sockets:
            sock.silence()

    def speak(self) -> None:
        """It is heard again: the connections that it had are reset."""
        self.cut = False
        self.note("back")
        for peer in list(self.peers):
            peer.abort()
        for sock in self.sockets:
            sock.speak()

    def slow(self, left: float) -> None:
        self.model.advance(self.now())
        self.model.slow = left
        self.arm()


class Host:
    """One process: a part of the alert servers, whole racks together."""

    def __init__(self, told: Play, part: int) -> None:
        self.play, self.day = told, told.parsed()
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[object]] = set()
        self.now = clock(time.monotonic() + BEFORE)
        self.work: Arrivals = arrivals_of(self.day, told.seed)
        folder = Path(told.folder)
        self.arrivals_seen = Recorder(folder / f"servers{part}.arrival.jsonl")
        self.notes = Recorder(folder / f"servers{part}.note.jsonl")
        self.handshakes = self.probes = 0
        racks: dict[int, Rack] = {}
        self.stands = {
            place: Stand(self, place, spec, racks.setdefault(spec.rack, Rack()))
            for place, spec in enumerate(servers_of(self.day, told.seed))
            if spec.rack % told.hosts == part
        }
        self.network = Network()

    def sent_so(
        self, request: int, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes
    ) -> bool:
        """Whether a client sent this request in this form."""
        if request >= len(self.work):
            return False
        spec = CLASSES[int(self.work.cls[request])]
        customer = self.work.customers[int(self.work.customer[request])]
        target = f"/{spec.name}?customer={customer.number:016x}".encode()
        if (method, url) != (b"POST" if spec.keyed else b"GET", target):
            return False
        if spec.keyed and not headers.get(b"idempotency-key"):
            return False
        return body == body_of(self.day, self.play.seed, request, spec.keyed)

    def happens(self, found: list[Happening]) -> None:
        """Set the day's faults going."""
        at, troubles = self.at, []
        names = {place: stand.model.spec.name for place, stand in self.stands.items()}
        for happening in found:
            fault, end = happening.fault, happening.end
            ours = [self.stands[place] for place in happening.targets if place in self.stands]
            if fault.kind in ("reset", "delay"):
                ends = frozenset(names[stand.place] for stand in ours)
                if ends:
                    troubles.append(
                        Trouble(fault.kind, fault.at, end or math.inf, frozenset(), ends, fault.size)
                    )
                continue
            if fault.kind not in ("kill_servers", "zone", "drain_servers", "cut_servers", "slow_servers"):
                continue
            for stand in ours:
                match fault.kind:
                    case "kill_servers" | "zone":
                        at(fault.at, stand.die)
                        at(end, stand.restart)
                    case "drain_servers":
                        at(fault.at, stand.drain)
                        at(max(fault.at + 3.0, end - 1.0), stand.die)
                        at(max(fault.at + 4.0, end), stand.restart)
                    case "cut_servers":
                        at(fault.at, stand.silence)
                        at(end, stand.speak)
                    case "slow_servers":
                        at(fault.at, stand.slow, fault.size)
                        at(end, stand.slow, 1.0)
        self.network = Network(troubles)

    def at(self, moment: float, what: Callable[..., None], *arguments: object) -> None:
        self.loop.call_later(max(0.0, moment - self.now()), what, *arguments)

    def stats(self) -> None:
        tell(stats={"handshakes": self.handshakes, "probes": self.probes})
        self.loop.call_later(STATS, self.stats)


async def main(told: Play, queue: asyncio.Queue[Told], part: int) -> None:
    host = Host(told, part)
    found = happenings(host.day, told.seed)
    tell(dials={str(place): [s.port for s in stand.sockets] for place, stand in host.stands.items()})
    settle()
    while True:
        said = await queue.get()
        if "start" in said:
            host.now = clock(said["start"])
            host.happens(found)
            host.stats()
        elif "restart" in said:  # by hand, of a server that is out
            for place in said["restart"]:
                if (stand := host.stands.get(place)) is not None and stand.alive:
                    stand.die()
                    stand.restart()
        elif "stop" in said:
            for stand in host.stands.values():
                for sock in stand.sockets:
                    sock.close()
            host.arrivals_seen.flush()
            host.notes.flush()
            tell(done={"handshakes": host.handshakes, "probes": host.probes})
            return


if __name__ == "__main__":
    import sys

    number = int(sys.argv[1])
    play(lambda told, queue: main(told, queue, number))
