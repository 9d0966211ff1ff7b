"""Simulates the clients in an open loop, so that each attempt starts on time however many are still open.

This process also simulates hostile clients, which send malformed, incomplete or excessive input.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import httptools

from hazelspring.lab.models.customers import CLASSES, retry_delay, retry_policy_of
from hazelspring.lab.models.random_streams import stream
from hazelspring.lab.plan import (
    MAX_RETRY_AFTER_S,
    Play,
    arrivals_of,
    body_of,
    is_response_body,
    planned_faults,
    request_id,
)
from hazelspring.lab.record import AttemptRecord, HostileConnectionRecord, Recorder
from hazelspring.lab.simulators.child_process import Message, clock, freeze_heap, run_child, send

ANSWER_GRACE_S = 0.5  # seconds past its time-out for which an attempt still accepts an answer
CONNECT_TIMEOUT_S = 1.0  # seconds within which a connection has to be established
LATE_START_S = 0.02  # seconds after its due time from which an attempt counts as started late
HOSTILE_CLIENT_TIMEOUT_S = 8.0  # seconds for which a hostile client waits for an answer or a close
MAX_IDLE_CONNECTIONS = 64  # idle connections kept to one gateway
FAILURE_DETECTION_S = (1.6, 3.4)  # seconds after which the load balancer notices that a gateway has ended
PLANNED_DETECTION_S = (0.2, 0.4)  # the same, if the platform restarts the gateway as planned
STATS_PERIOD_S = 1.0  # seconds between reports to the runner
LONG_HEADER = b"X-Filler: " + b"a" * 60000 + b"\r\n"
HOSTILE_INPUTS: dict[str, tuple[bytes, ...]] = {  # by name: the pieces of the input, sent 0.1 s apart
    "garbled": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",),
    "no length": (b"POST /alert-rule?customer=zz HTTP/1.1\r\nHost: x\r\n\r\n",),
    "half-open": (b"GET /gauge-read?cust",),
    "silent": (),
    "slow": tuple(bytes([c]) for c in b"GET /gauge-read?customer=1 HTTP/1.1\r\n"),
    "endless": tuple(LONG_HEADER for _ in range(16)),
    "two lengths": (b"POST /alert-rule HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcde",),
}


class Connection(asyncio.Protocol):
    """A client's connection to a gateway, with one request at a time."""

    def __init__(self, load: Load, gateway: int) -> None:
        self.load, self.gateway = load, gateway
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.pending: Attempt | None = None
        self.used = False
        self.body = bytearray()
        self.retry_after_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which sends the requests."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, attempt: Attempt, data: bytes) -> None:
        """Send an attempt's request; the attempt is notified of the answer or the connection's end."""
        assert self.transport is not None
        self.pending = attempt
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a malformed response resets the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the seconds of a `Retry-After` header; -1 if its value is not a number."""
        if name.lower() == b"retry-after":
            try:
                self.retry_after_s = float(value)
            except ValueError:
                self.retry_after_s = -1.0

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Finish the attempt with the response, and keep or reset the connection; 1xx is skipped."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        attempt, self.pending, body, retry_after_s = self.pending, None, bytes(self.body), self.retry_after_s
        self.body.clear()
        self.retry_after_s, self.used = 0.0, True
        keep_alive = self.parser.should_keep_alive()
        if attempt is not None:
            attempt.finish_with_answer(status, body, retry_after_s)
        if keep_alive and self.transport is not None and not self.transport.is_closing():
            self.load.keep_idle(self)
        else:
            self.abort()

    def abort(self) -> None:
        """Reset the connection, if it is still open."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the open attempt, if there is one, that the connection has ended."""
        self.transport = None
        self.load.forget(self)
        if (attempt := self.pending) is not None:
            self.pending = None
            attempt.connection_ended(self.used)


class Attempt:
    """One attempt of a client's request, until it has an outcome."""

    def __init__(self, load: Load, request: int, number: int, due: float) -> None:
        self.load, self.request, self.number, self.due = load, request, number, due
        self.id = request_id(load.play.seed, request, number)
        self.started_at, self.sent, self.resent = load.now(), 0.0, False
        self.gateway = load.work.gateway_for(request, number, load.up)
        self.timeout = float(load.work.wait[request]) / 1e3
        self.connection: Connection | None = None
        self.finished = False
        load.open_attempts += 1
        self.timer = load.loop.call_later(self.timeout + ANSWER_GRACE_S, self.time_out)

    async def start(self) -> None:
        """Send the request on an idle connection or, if there is none or it is resent, on a new one."""
        load = self.load
        connection = load.take_idle(self.gateway) if not self.resent else None
        if connection is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    host, port = load.gateways[self.gateway]
                    _, connection = await load.loop.create_connection(
                        lambda: Connection(load, self.gateway), host, port
                    )
            except (OSError, TimeoutError):
                return self.finish(0, "refused")
        if self.finished or connection.transport is None:
            connection.abort()
            return self.finish(0, "refused")
        self.connection = connection
        connection.send(self, load.encode(self))
        self.sent = load.now()

    def finish_with_answer(self, status: int, body: bytes, retry_after_s: float) -> None:
        """Finish with a complete answer, and check that an alert server made the body for this request."""
        load = self.load
        genuine = status != 200 or is_response_body(load.day, load.play.secret, self.id, self.request, body)
        self.finish(status, "answer", retry_after_s, genuine)

    def connection_ended(self, used: bool) -> None:
        """Handle that its connection ended before the answer was complete.

        On a reused connection, the request is sent once more: the gateway may have closed the connection as
        idle just before the request reached it.
        """
        if used and not self.resent and not self.finished:
            self.resent = True
            self.load.spawn(self.start())
        else:
            self.finish(0, "broken")

    def time_out(self) -> None:
        """Finish without an answer after the time-out, and reset the connection."""
        connection = self.connection
        self.finish(0, "silent")
        if connection is not None and connection.pending is self:
            connection.pending = None
            connection.abort()

    def finish(self, status: int, outcome: str, retry_after_s: float = 0.0, genuine: bool = True) -> None:
        """Record the outcome, unless the attempt has one already; `status` is 0 without an answer."""
        if self.finished:
            return
        self.finished = True
        self.timer.cancel()
        load, now = self.load, self.load.now()
        load.open_attempts -= 1
        load.attempt_log.add(
            AttemptRecord(
                self.id, self.request, self.number, self.gateway, self.due, self.started_at, self.sent, now,
                status, outcome, retry_after_s, genuine, self.resent,
            )
        )  # fmt: skip
        load.attempt_finished(self, status, outcome, retry_after_s)


class Load:
    """All clients, and the load balancer that distributes their attempts over the gateways."""

    def __init__(self, play: Play) -> None:
        self.play, self.day = play, play.parsed()
        self.loop = asyncio.get_running_loop()
        self.work = arrivals_of(self.day, play.seed)
        self.retry_policy = retry_policy_of(play.seed, MAX_RETRY_AFTER_S)
        folder = Path(play.folder)
        self.attempt_log = Recorder(folder / "load.try.jsonl")
        self.hostile_log = Recorder(folder / "load.rude.jsonl")
        self.notes = Recorder(folder / "load.note.jsonl")
        self.gateways: list[tuple[str, int]] = []
        self.up = [True] * self.day.doors
        self.detection_delays = stream(play.seed, "front")
        self.idle: list[list[Connection]] = [[] for _ in range(self.day.doors)]
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.now: Callable[[], float] = clock(time.monotonic())
        self.retries: list[tuple[float, int, int]] = []  # a heap of due time, request, attempt number
        self.next_request = 0  # the next request whose first attempt has not started
        self.open_attempts = self.sent = self.started_late = 0
        self.max_start_delay = 0.0
        self.counts = {"served": 0, "refused": 0, "failed": 0}
        self.latencies: list[float] = []
        self.due_timer: asyncio.TimerHandle | None = None

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to it until it ends."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- connections ------------------------------------------------------------------------------------

    def take_idle(self, gateway: int) -> Connection | None:
        """Return the idle connection to this gateway that was used last, or None."""
        while self.idle[gateway]:
            connection = self.idle[gateway].pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection for a further request, or reset it if 64 are idle already."""
        if len(self.idle[connection.gateway]) < MAX_IDLE_CONNECTIONS:
            self.idle[connection.gateway].append(connection)
        else:
            connection.abort()

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection from the list of idle connections."""
        if connection in self.idle[connection.gateway]:
            self.idle[connection.gateway].remove(connection)

    def encode(self, attempt: Attempt) -> bytes:
        """Encode the HTTP request of an attempt."""
        work, request = self.work, attempt.request
        spec = CLASSES[int(work.cls[request])]
        customer = work.customers[int(work.customer[request])]
        body = body_of(self.day, self.play.seed, request, spec.keyed)
        lines = [
            f"{'POST' if spec.keyed else 'GET'} /{spec.name}?customer={customer.number:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {attempt.id}",
            f"Request-Class: {spec.name}",
            f"X-Tier: {work.tariffs[customer.tariff].name}",
            f"Request-Timeout: {round(attempt.timeout * 1e3)}m",
            f"X-Call-Terms: units=1,spread={customer.spread},first={customer.first}",
        ]
        if attempt.number:
            lines.append("Client-Retry: 1")
        if spec.keyed:
            lines += [f"Idempotency-Key: {self.play.seed:016x}{request:016x}", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # --- the open loop ----------------------------------------------------------------------------------

    def start_due(self) -> None:
        """Start all attempts that are due, and set the timer for the next one."""
        now, arrivals = self.now(), self.work.at
        while self.next_request < len(arrivals) and arrivals[self.next_request] <= now * 1e6:
            self.start_attempt(self.next_request, 0, float(arrivals[self.next_request]) / 1e6)
            self.next_request += 1
        while self.retries and self.retries[0][0] <= now:
            due, request, number = heapq.heappop(self.retries)
            self.start_attempt(request, number, due)
        next_due = float(arrivals[self.next_request]) / 1e6 if self.next_request < len(arrivals) else math.inf
        if self.retries:
            next_due = min(next_due, self.retries[0][0])
        if self.due_timer is not None:
            self.due_timer.cancel()
        if next_due < math.inf:
            self.due_timer = self.loop.call_later(max(0.0, next_due - self.now()), self.start_due)

    def start_attempt(self, request: int, number: int, due: float) -> None:
        """Start an attempt that is due at `due`, and count it if it starts late."""
        attempt = Attempt(self, request, number, due)
        self.sent += 1
        late = attempt.started_at - due
        self.started_late += late > LATE_START_S
        self.max_start_delay = max(self.max_start_delay, late)
        self.spawn(attempt.start())

    def attempt_finished(self, attempt: Attempt, status: int, outcome: str, retry_after_s: float) -> None:
        """Count the outcome, and schedule a retry if the client makes one."""
        if status == 200:
            self.counts["served"] += 1
            self.latencies.append(self.now() - attempt.due)
            return
        self.counts["refused" if status in (429, 503) else "failed"] += 1
        delay = retry_delay(
            self.retry_policy, self.play.seed, attempt.request, attempt.number + 1, max(0.0, retry_after_s)
        )
        if delay is None or self.next_request >= len(self.work.at):
            return
        heapq.heappush(self.retries, (self.now() + delay, attempt.request, attempt.number + 1))
        self.start_due()

    def done(self) -> bool:
        """Whether no attempt is open and none will be started."""
        return self.next_request >= len(self.work.at) and not self.open_attempts and not self.retries

    # --- the load balancer's view of the gateways -------------------------------------------------------

    def gateway_changed(self, gateway: int, up: bool, planned: bool) -> None:
        """Update the load balancer's view after a gateway has become ready (`up`) or has ended.

        The load balancer notices an unplanned end after 1.6 to 3.4 s and a planned one after 0.2 to 0.4 s.
        It notices at once that a gateway is ready.
        """
        if up:
            self.up[gateway] = True
        else:
            delay = float(
                self.detection_delays.uniform(*(PLANNED_DETECTION_S if planned else FAILURE_DETECTION_S))
            )
            self.loop.call_later(delay, self.mark_down, gateway)

    def mark_down(self, gateway: int) -> None:
        """Send this gateway no more attempts while another gateway of the customer's set is up."""
        self.up[gateway] = False

    # --- hostile clients --------------------------------------------------------------------------------

    async def send_hostile_input(self, kind: str, gateway: int) -> None:
        """Send one hostile input on a connection of its own, and record the answer, close or time-out."""
        started_at, status = self.now(), -1
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(HOSTILE_CLIENT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.gateways[gateway])
                sending = asyncio.ensure_future(self.send_pieces(writer, HOSTILE_INPUTS[kind]))
                try:
                    head = await reader.read(4096)
                finally:
                    sending.cancel()
                status = int(head.split()[1]) if head[:5] == b"HTTP/" else 0
        except TimeoutError:
            pass
        except (OSError, ValueError, IndexError):
            status = 0
        finally:
            if writer is not None:
                writer.close()
        self.hostile_log.add(
            HostileConnectionRecord(kind, gateway, started_at, self.now() - started_at, status)
        )

    @staticmethod
    async def send_pieces(writer: asyncio.StreamWriter, pieces: tuple[bytes, ...]) -> None:
        """Write the pieces 0.1 s apart."""
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.1)

    def schedule_hostile_clients(self) -> None:
        """Schedule the hostile clients of this day's faults: `size` a second over all gateways together."""
        random_source = random.Random(self.play.seed)
        for planned in planned_faults(self.day, self.play.seed):
            fault = planned.fault
            if fault.kind == "hostile":
                for _ in range(round(fault.size * fault.lasts)):
                    at = fault.at + random_source.random() * fault.lasts
                    kind, gateway = (
                        random_source.choice(sorted(HOSTILE_INPUTS)),
                        random_source.randrange(self.day.doors),
                    )
                    self.loop.call_later(max(0.0, at - self.now()), self.start_hostile_client, kind, gateway)

    def start_hostile_client(self, kind: str, gateway: int) -> None:
        """Start one hostile client as a task."""
        self.spawn(self.send_hostile_input(kind, gateway))

    def report_stats(self) -> None:
        """Send the counts, and latency percentiles since the last report, to the runner every second."""
        latencies = sorted(self.latencies)
        self.latencies = []
        send(
            stats=self.counts | {
                "sent": self.sent, "open": self.open_attempts,
                "late": self.started_late, "most_late": self.max_start_delay,
                "p50": latencies[len(latencies) // 2] if latencies else 0.0,
                "p99": latencies[len(latencies) * 99 // 100] if latencies else 0.0,
            }
        )  # fmt: skip
        self.loop.call_later(STATS_PERIOD_S, self.report_stats)


async def main(play: Play, queue: asyncio.Queue[Message]) -> None:
    """Simulate the clients of a play, controlled by messages from the runner, until it sends `stop`."""
    load = Load(play)
    send(ready=len(load.work))
    freeze_heap()
    while True:
        message = await queue.get()
        if "doors" in message:
            load.gateways = [(host, port) for host, port in message["doors"]]
        elif "start" in message:
            load.now = clock(message["start"])
            load.schedule_hostile_clients()
            load.report_stats()
            load.start_due()
        elif "door" in message:
            load.gateway_changed(message["door"], message["up"], message.get("planned", False))
        elif "last" in message:  # start no more attempts, and let the open ones finish
            load.next_request = len(load.work.at)
            load.retries.clear()
        elif "stop" in message:
            while not load.done() and load.open_attempts:
                await asyncio.sleep(0.02)
            while any(not task.done() for task in load.tasks):
                await asyncio.sleep(0.02)
            cpu_s = time.process_time()
            for recorder in (load.attempt_log, load.hostile_log, load.notes):
                recorder.flush()
            send(
                done={
                    "sent": load.sent,
                    "late": load.started_late,
                    "most_late": load.max_start_delay,
                    "cpu": cpu_s,
                }
            )
            return


if __name__ == "__main__":
    run_child(main)
