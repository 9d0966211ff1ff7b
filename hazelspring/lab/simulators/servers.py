"""Simulates a part of the alert servers in one process, with a listener for each gateway and server."""

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
from hazelspring.lab.models.customers import CLASSES, Arrivals
from hazelspring.lab.models.network import Network, NetworkFault
from hazelspring.lab.models.random_streams import stream
from hazelspring.lab.plan import (
    PlannedFault,
    Play,
    arrivals_of,
    body_of,
    parse_request_id,
    planned_faults,
    response_body,
    servers_of,
)  # fmt: skip
from hazelspring.lab.record import Arrival, Note, Recorder
from hazelspring.lab.simulators.child_process import Message, clock, freeze_heap, run_child, send

LISTEN_BACKLOG = 512
CLOCK_OFFSET_S = 1000.0  # seconds by which the clock starts below 0, until the runner sends the start time
STATS_PERIOD_S = 1.0  # seconds between reports to the runner
REFUSAL_STATUSES = {
    Verdict.FULL: b"503 Busy",
    Verdict.DRAINING: b"503 Draining",
    Verdict.OVERLOADED: b"503 Down",
}


def gateway_name(gateway: int) -> str:
    """Return the name of a gateway as an endpoint of the simulated network."""
    return f"gateway {gateway}"


class Listener:
    """The listener of one alert server for one gateway."""

    def __init__(self, server: SimulatedServer, gateway: int) -> None:
        self.server, self.gateway = server, gateway
        self.port = 0
        self.sock: socket.socket | None = None
        self.fillers: list[socket.socket] = []  # connections that keep the accept queue full
        self.open()

    def open(self) -> None:
        """Listen, on the same port each time, and accept connections."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(LISTEN_BACKLOG)
        self.sock, self.port = sock, sock.getsockname()[1]
        self.server.loop.add_reader(sock, self.accept)

    def accept(self) -> None:
        """Accept all queued connections."""
        assert self.sock is not None
        with contextlib.suppress(BlockingIOError, OSError):
            while True:
                conn, _ = self.sock.accept()
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = self.server.loop.create_task(
                    self.server.loop.connect_accepted_socket(
                        lambda: GatewayConnection(self.server, self.gateway), conn
                    )
                )
                self.server.process.tasks.add(task)
                task.add_done_callback(self.server.process.tasks.discard)

    def close(self) -> None:
        """Close the socket, so that new connections are refused, as after the end of a process."""
        if self.sock is not None:
            self.server.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def stop_accepting(self) -> None:
        """Make new connections time out, like those to a machine that is cut off from the network.

        The listener accepts no more connections.  Its accept queue is filled, and the kernel drops new
        connections while the queue is full.
        """
        if self.sock is None:
            return
        self.server.loop.remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def reopen(self) -> None:
        """Accept connections again, and reset those that were queued meanwhile."""
        if self.sock is None:
            return
        self.close()
        self.open()


class GatewayConnection(asyncio.Protocol):
    """One connection from a gateway."""

    def __init__(self, server: SimulatedServer, gateway: int) -> None:
        self.server, self.gateway = server, gateway
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.first_request = True
        self.counted = False
        self.token: list[str] | None = None  # identifies the open request; holds its id
        self.idle_timer: asyncio.TimerHandle | None = None
        self.reset_request()

    def reset_request(self) -> None:
        """Clear the fields of the request that was read last."""
        self.url, self.headers = b"", dict[bytes, bytes]()
        self.body = bytearray()
        self.began = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and its handshake; reset it if the server is down, overloaded or full."""
        self.transport = cast(asyncio.Transport, transport)
        server = self.server
        if not server.alive or not server.model.connect(server.now()):
            self.transport.abort()
            return
        self.counted = True
        server.peers.add(self)
        server.process.handshakes += 1
        self.restart_idle_timer()

    def restart_idle_timer(self) -> None:
        """Close the connection after the idle time-out of the server, unless a further request arrives."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = self.server.loop.call_later(self.server.model.spec.idle, self.close)

    def close(self) -> None:
        """Close the connection, unless a request is open."""
        if self.transport is not None and self.token is None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, if it is still open."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the open request, and decrement the server's number of open connections."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.server.peers.discard(self)
        if self.counted:
            self.server.model.connections = max(0, self.server.model.connections - 1)
        self.transport, self.token = None, None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed input is recorded, and the connection is reset."""
        if self.server.cut_off:
            return  # a server that is cut off from the network receives no data
        if not self.began:
            self.began = self.server.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.note("malformed", self.gateway)
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the request, by its name in lower case."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the request body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to the server."""
        self.restart_idle_timer()
        url, headers, body, began = self.url, self.headers, bytes(self.body), self.began
        method = self.parser.get_method()
        self.reset_request()
        self.server.handle_request(self, method, url, headers, body, began)
        self.first_request = False

    def answer(self, status: bytes, body: bytes = b"", headers: bytes = b"", break_at: int = 0) -> None:
        """Send the answer, or only `break_at` bytes of it before the connection is reset."""
        self.token = None
        if self.transport is None or self.transport.is_closing() or self.server.cut_off:
            return
        text = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)
        if break_at:
            self.transport.write(text[: min(break_at, len(text) - 1)])
            self.server.loop.call_soon(self.abort)
            return
        self.transport.write(text)


class SimulatedServer:
    """One simulated alert server: its model, its listeners and its connections."""

    def __init__(self, process: ServerProcess, index: int, spec: ServerSpec, rack: Rack) -> None:
        self.process, self.index, self.rack = process, index, rack
        self.loop = process.loop
        self.model = AlertServer(spec, rack, process.now())
        self.peers: set[GatewayConnection] = set()
        self.alive, self.cut_off, self.restarts = True, False, 0
        self.timer: asyncio.TimerHandle | None = None
        self.random = stream(process.play.seed, f"noise {index}")
        self.listeners = [Listener(self, gateway) for gateway in range(process.day.doors)]

    def now(self) -> float:
        """Seconds since the start of the play."""
        return self.process.now()

    def note(self, event: str, gateway: int = -1, value: float = 0.0) -> None:
        """Record an event of this server; gateway -1 means that the event concerns no gateway."""
        self.process.notes.add(Note(self.now(), event, f"{self.index} {gateway}", value))

    def load_report(self) -> bytes:
        """Encode the load report, with noise on the utilization."""
        util, inflight = self.model.report(self.now())
        noise = 1 + self.model.spec.noise * float(self.random.standard_normal())
        return b"TEXT util=%.3f, inflight=%d" % (min(1.0, max(0.0, util * noise)), inflight)

    def handle_request(
        self,
        peer: GatewayConnection,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
        began: float,
    ) -> None:
        """Answer a health check or a load-report request, or pass a client's request to the model."""
        process, now = self.process, self.now()
        if url in (b"/-/healthy", b"/-/load"):
            process.probes += 1
            if self.model.overloaded:
                return peer.abort()
            self.model.begin(now, None, self.model.spec.probe)
            self.set_timer()
            return peer.answer(b"200 OK", self.load_report() if url == b"/-/load" else b"")
        attempt_id = headers.get(b"request-id", b"").decode("latin-1")
        if not attempt_id:
            return peer.answer(b"404 Not Found")
        known = parse_request_id(process.play.seed, attempt_id)
        if known is None or not process.is_client_request(known[0], method, url, headers, body):
            process.arrivals_seen.add(
                Arrival(attempt_id, self.index, peer.gateway, began, now, "unknown", self.restarts)
            )
            return peer.answer(b"400 Bad Request")
        request = known[0]
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        peer.token = [attempt_id]
        was_overloaded = self.model.overloaded
        work = float(process.work.work[request]) / 1e6
        verdict = self.model.begin(now, (peer, peer.token), work, key, peer.first_request)
        process.arrivals_seen.add(
            Arrival(attempt_id, self.index, peer.gateway, began, now, verdict.value, self.restarts)
        )
        if verdict in (Verdict.FULL, Verdict.DRAINING):
            peer.answer(REFUSAL_STATUSES[verdict], headers=b"Not-Started: 1\r\n")
        elif verdict is Verdict.OVERLOADED:
            if not was_overloaded:
                self.note("fell over", peer.gateway)
                self.fail_by_overload()
            peer.abort()
        self.set_timer()
        return None

    def fail_by_overload(self) -> None:
        """Lose all requests and reset all connections."""
        self.model.kill()
        for peer in list(self.peers):
            peer.abort()

    def set_timer(self) -> None:
        """Set the timer for the time at which the model has to be advanced next."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.alive and (due := self.model.due(self.now())) is not None:
            self.timer = self.loop.call_later(max(0.0, due - self.now()), self.advance)

    def advance(self) -> None:
        """Advance the model to the present, and answer the requests that it has finished."""
        self.timer = None
        for token in self.model.advance(self.now()):
            if token is not None:
                peer, request_token = cast(tuple[GatewayConnection, list[str]], token)
                if peer.token is request_token:
                    self.finish_request(peer, request_token[0])
        self.set_timer()

    def finish_request(self, peer: GatewayConnection, attempt_id: str) -> None:
        """Send the answer of a finished request; active network faults delay it or break it off."""
        process, now = self.process, self.now()
        request = int(attempt_id[:8], 16)
        body = response_body(process.day, process.play.secret, self.model.spec.name, attempt_id, request)
        ends = (gateway_name(peer.gateway), self.model.spec.name)
        share, delay = process.network.reset_share(now, *ends), process.network.delay(now, *ends)
        break_at = 0
        if share and self.random.random() < share:
            break_at = 1 + int(self.random.integers(len(body) + 30))
            self.note("broken", peer.gateway, break_at)
        if delay:
            self.loop.call_later(delay, peer.answer, b"200 OK", body, b"", break_at)
        else:
            peer.answer(b"200 OK", body, break_at=break_at)

    # --- faults -----------------------------------------------------------------------------------------

    def kill(self) -> None:
        """Stop as on SIGKILL: reset all connections, and refuse new ones."""
        self.alive = False
        self.note("died")
        for listener in self.listeners:
            listener.close()
        self.model.kill()
        for peer in list(self.peers):
            peer.abort()
        self.set_timer()

    def restart(self) -> None:
        """Start again, cold, on the same addresses."""
        self.restarts += 1
        self.model = AlertServer(self.model.spec, self.rack, self.now(), self.now())
        self.alive = True
        self.note("started")
        for listener in self.listeners:
            listener.open()

    def drain(self) -> None:
        """Refuse new requests, and finish those already begun."""
        self.model.draining = True
        self.note("drains")

    def isolate(self) -> None:
        """Cut the server off from the network: no data arrives in either direction."""
        self.cut_off = True
        self.note("cut")
        for listener in self.listeners:
            listener.stop_accepting()

    def end_isolation(self) -> None:
        """Reconnect the server to the network, and reset the connections that it had."""
        self.cut_off = False
        self.note("back")
        for peer in list(self.peers):
            peer.abort()
        for listener in self.listeners:
            listener.reopen()

    def slow(self, remaining: float) -> None:
        """Set the share of its full speed at which the server runs; 1 ends the fault."""
        self.model.advance(self.now())
        self.model.slow = remaining
        self.set_timer()


class ServerProcess:
    """Simulates a part of the alert servers; all servers of a rack run in the same process."""

    def __init__(self, play: Play, part: int) -> None:
        self.play, self.day = play, play.parsed()
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[object]] = set()
        self.now = clock(time.monotonic() + CLOCK_OFFSET_S)
        self.work: Arrivals = arrivals_of(self.day, play.seed)
        folder = Path(play.folder)
        self.arrivals_seen = Recorder(folder / f"servers{part}.arrival.jsonl")
        self.notes = Recorder(folder / f"servers{part}.note.jsonl")
        self.handshakes = self.probes = 0
        racks: dict[int, Rack] = {}
        self.servers = {
            index: SimulatedServer(self, index, spec, racks.setdefault(spec.rack, Rack()))
            for index, spec in enumerate(servers_of(self.day, play.seed))
            if spec.rack % play.server_process_count == part
        }
        self.network = Network()

    def is_client_request(
        self, request: int, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes
    ) -> bool:
        """Whether the received request is exactly the one that a client sent."""
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

    def schedule_faults(self, faults: list[PlannedFault]) -> None:
        """Schedule the faults of the day that affect servers of this process."""
        at, network_faults = self.at, []
        names = {index: server.model.spec.name for index, server in self.servers.items()}
        for planned in faults:
            fault, end = planned.fault, planned.end
            affected = [self.servers[index] for index in planned.targets if index in self.servers]
            if fault.kind in ("reset", "delay"):
                ends = frozenset(names[server.index] for server in affected)
                if ends:
                    network_faults.append(
                        NetworkFault(fault.kind, fault.at, end or math.inf, frozenset(), ends, fault.size)
                    )
                continue
            if fault.kind not in ("kill_servers", "zone", "drain_servers", "cut_servers", "slow_servers"):
                continue
            for server in affected:
                match fault.kind:
                    case "kill_servers" | "zone":
                        at(fault.at, server.kill)
                        at(end, server.restart)
                    case "drain_servers":
                        at(fault.at, server.drain)
                        at(max(fault.at + 3.0, end - 1.0), server.kill)
                        at(max(fault.at + 4.0, end), server.restart)
                    case "cut_servers":
                        at(fault.at, server.isolate)
                        at(end, server.end_isolation)
                    case "slow_servers":
                        at(fault.at, server.slow, fault.size)
                        at(end, server.slow, 1.0)
        self.network = Network(network_faults)

    def at(self, moment: float, action: Callable[..., None], *arguments: object) -> None:
        """Call `action` at this moment of the play, or at once if that has passed."""
        self.loop.call_later(max(0.0, moment - self.now()), action, *arguments)

    def report_stats(self) -> None:
        """Send the counts of handshakes and probes to the runner every second."""
        send(stats={"handshakes": self.handshakes, "probes": self.probes})
        self.loop.call_later(STATS_PERIOD_S, self.report_stats)


async def main(play: Play, queue: asyncio.Queue[Message], part: int) -> None:
    """Simulate a part of the alert servers, controlled by the runner's messages, until it sends `stop`."""
    process = ServerProcess(play, part)
    faults = planned_faults(process.day, play.seed)
    send(
        dials={
            str(index): [listener.port for listener in server.listeners]
            for index, server in process.servers.items()
        }
    )
    freeze_heap()
    while True:
        message = await queue.get()
        if "start" in message:
            process.now = clock(message["start"])
            process.schedule_faults(faults)
            process.report_stats()
        elif "restart" in message:  # the simulated operator restarts servers that are detached
            for index in message["restart"]:
                if (server := process.servers.get(index)) is not None and server.alive:
                    server.kill()
                    server.restart()
        elif "stop" in message:
            for server in process.servers.values():
                for listener in server.listeners:
                    listener.close()
            process.arrivals_seen.flush()
            process.notes.flush()
            send(done={"handshakes": process.handshakes, "probes": process.probes})
            return


if __name__ == "__main__":
    import sys

    number = int(sys.argv[1])
    run_child(lambda play, queue: main(play, queue, number))
