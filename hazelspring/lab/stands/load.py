"""The clients: open loop, each try at its time, whatever is still open; and those that mean ill."""

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

from hazelspring.lab.models.chance import stream
from hazelspring.lab.models.customers import CLASSES, again_after, manners_of
from hazelspring.lab.plan import (
    MOST_WAIT,
    Play,
    arrivals_of,
    body_of,
    happenings,
    is_answer,
    request_id,
)
from hazelspring.lab.record import Recorder, Rude, Try
from hazelspring.lab.stands.child import Told, clock, play, settle, tell

OVERTIME = 0.5  # seconds past its time for which an answer still counts as one
CONNECT = 1.0  # seconds that a connection may take to come up
LATE = 0.02  # seconds: a try that leaves later than that was late
RUDE_WAIT = 8.0  # seconds after which a rude client has got neither an answer nor a close
KEPT = 64  # idle connections to one front door
NOTICE = (1.6, 3.4)  # seconds after which the front sees that a front door has died
PLANNED = (0.2, 0.4)  # the same, where the platform restarts it
STATS = 1.0
HUGE = b"X-Filler: " + b"a" * 60000 + b"\r\n"
RUDE: dict[str, tuple[bytes, ...]] = {  # pieces, sent half a second apart
    "garbled": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",),
    "no length": (b"POST /alert-rule?customer=zz HTTP/1.1\r\nHost: x\r\n\r\n",),
    "half-open": (b"GET /gauge-read?cust",),
    "silent": (),
    "slow": tuple(bytes([c]) for c in b"GET /gauge-read?customer=1 HTTP/1.1\r\n"),
    "endless": tuple(HUGE for _ in range(16)),
    "two lengths": (b"POST /alert-rule HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcde",),
}


class Conn(asyncio.Protocol):
    """A client's connection to a front door; one request at a time."""

    def __init__(self, owner: Load, door: int) -> None:
        self.owner, self.door = owner, door
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.job: Job | None = None
        self.used = False
        self.body = bytearray()
        self.advice = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, job: Job, data: bytes) -> None:
        assert self.transport is not None
        self.job = job
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.advice = float(value)
            except ValueError:
                self.advice = -1.0

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        job, self.job, body, advice = self.job, None, bytes(self.body), self.advice
        self.body.clear()
        self.advice, self.used = 0.0, True
        keep = self.parser.should_keep_alive()
        if job is not None:
            job.answered(status, body, advice)
        if keep and self.transport is not None and not self.transport.is_closing():
            self.owner.keep(self)
        else:
            self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.owner.drop(self)
        if (job := self.job) is not None:
            self.job = None
            job.broke(self.used)


class Job:
    """One try on its way."""

    def __init__(self, owner: Load, request: int, attempt: int, due: float) -> None:
        self.owner, self.request, self.attempt, self.due = owner, request, attempt, due
        self.id = request_id(owner.told.seed, request, attempt)
        self.left, self.sent, self.resent = owner.now(), 0.0, False
        self.door = owner.work.place(request, attempt, owner.up)
        self.wait = float(owner.work.wait[request]) / 1e3
        self.conn: Conn | None = None
        self.over = False
        owner.open += 1
        self.timer = owner.loop.call_later(self.wait + OVERTIME, self.silent)

    async def start(self) -> None:
        owner = self.owner
        conn = owner.kept(self.door) if not self.resent else None
        if conn is None:
            try:
                async with asyncio.timeout(CONNECT):
                    host, port = owner.doors[self.door]
                    _, conn = await owner.loop.create_connection(lambda: Conn(owner, self.door), host, port)
            except (OSError, TimeoutError):
                return self.end(0, "refused")
        if self.over or conn.transport is None:
            conn.abort()
            return self.end(0, "refused")
        self.conn = conn
        conn.ask(self, owner.text(self))
        self.sent = owner.now()

    def answered(self, status: int, body: bytes, advice: float) -> None:
        owner = self.owner
        own = status != 200 or is_answer(owner.day, owner.told.secret, self.id, self.request, body)
        self.end(status, "answer", advice, own)

    def broke(self, used: bool) -> None:
        """Its connection ended.  A close between requests may have crossed it: it is sent once more."""
        if used and not self.resent and not self.over:
            self.resent = True
            self.owner.spawn(self.start())
        else:
            self.end(0, "broken")

    def silent(self) -> None:
        conn = self.conn
        self.end(0, "silent")
        if conn is not None and conn.job is self:
            conn.job = None
            conn.abort()

    def end(self, status: int, how: str, advice: float = 0.0, own: bool = True) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        owner, now = self.owner, self.owner.now()
        owner.open -= 1
        owner.tries.add(
            Try(
                self.id, self.request, self.attempt, self.door, self.due, self.left, self.sent, now,
                status, how, advice, own, self.resent,
            )
        )  # fmt: skip
        owner.ended(self, status, how, advice)


class Load:
    """All clients, and the front that deals their tries to the front doors."""

    def __init__(self, told: Play) -> None:
        self.told, self.day = told, told.parsed()
        self.loop = asyncio.get_running_loop()
        self.work = arrivals_of(self.day, told.seed)
        self.manners = manners_of(told.seed, MOST_WAIT)
        folder = Path(told.folder)
        self.tries = Recorder(folder / "load.try.jsonl")
        self.rudes = Recorder(folder / "load.rude.jsonl")
        self.notes = Recorder(folder / "load.note.jsonl")
        self.doors: list[tuple[str, int]] = []
        self.up = [True] * self.day.doors
        self.notice = stream(told.seed, "front")
        self.idle: list[list[Conn]] = [[] for _ in range(self.day.doors)]
        self.conns: set[Conn] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.now: Callable[[], float] = clock(time.monotonic())
        self.later: list[tuple[float, int, int]] = []  # tries to come: when, request, try
        self.next = 0  # the first try that comes next
        self.open = self.sent = self.late = 0
        self.most_late = 0.0
        self.counts = {"served": 0, "refused": 0, "failed": 0}
        self.spans: list[float] = []
        self.wake: asyncio.TimerHandle | None = None

    def spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- connections ------------------------------------------------------------------------------------

    def kept(self, door: int) -> Conn | None:
        while self.idle[door]:
            conn = self.idle[door].pop()
            if conn.transport is not None and not conn.transport.is_closing():
                return conn
        return None

    def keep(self, conn: Conn) -> None:
        if len(self.idle[conn.door]) < KEPT:
            self.idle[conn.door].append(conn)
        else:
            conn.abort()

    def drop(self, conn: Conn) -> None:
        if conn in self.idle[conn.door]:
            self.idle[conn.door].remove(conn)

    def text(self, job: Job) -> bytes:
        """The bytes of a try."""
        work, request = self.work, job.request
        spec = CLASSES[int(work.cls[request])]
        customer = work.customers[int(work.customer[request])]
        body = body_of(self.day, self.told.seed, request, spec.keyed)
        lines = [
            f"{'POST' if spec.keyed else 'GET'} /{spec.name}?customer={customer.number:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {job.id}",
            f"Request-Class: {spec.name}",
            f"X-Tier: {work.tariffs[customer.tariff].name}",
            f"Request-Timeout: {round(job.wait * 1e3)}m",
            f"X-Call-Terms: units=1,spread={customer.spread},first={customer.first}",
        ]
        if job.attempt:
            lines.append("Client-Retry: 1")
        if spec.keyed:
            lines += [f"Idempotency-Key: {self.told.seed:016x}{request:016x}", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # --- the open loop ----------------------------------------------------------------------------------

    def pump(self) -> None:
        """Start all that is due, and come again when the next one is."""
        now, arrivals = self.now(), self.work.at
        while self.next < len(arrivals) and arrivals[self.next] <= now * 1e6:
            self.begin(self.next, 0, float(arrivals[self.next]) / 1e6)
            self.next += 1
        while self.later and self.later[0][0] <= now:
            due, request, attempt = heapq.heappop(self.later)
            self.begin(request, attempt, due)
        following = float(arrivals[self.next]) / 1e6 if self.next < len(arrivals) else math.inf
        if self.later:
            following = min(following, self.later[0][0])
        if self.wake is not None:
            self.wake.cancel()
        if following < math.inf:
            self.wake = self.loop.call_later(max(0.0, following - self.now()), self.pump)

    def begin(self, request: int, attempt: int, due: float) -> None:
        job = Job(self, request, attempt, due)
        self.sent += 1
        late = job.left - due
        self.late += late > LATE
        self.most_late = max(self.most_late, late)
        self.spawn(job.start())

    def ended(self, job: Job, status: int, how: str, advice: float) -> None:
        if status == 200:
            self.counts["served"] += 1
            self.spans.append(self.now() - job.due)
            return
        self.counts["refused" if status in (429, 503) else "failed"] += 1
        wait = again_after(self.manners, self.told.seed, job.request, job.attempt + 1, max(0.0, advice))
        if wait is None or self.next >= len(self.work.at):
            return
        heapq.heappush(self.later, (self.now() + wait, job.request, job.attempt + 1))
        self.pump()

    def done(self) -> bool:
        return self.next >= len(self.work.at) and not self.open and not self.later

    # --- the front's view of the front doors --------------------------------------------------------------

    def door_state(self, door: int, up: bool, planned: bool) -> None:
        """A front door has died, or is ready: the front sees the former some seconds late, unless planned."""
        if up:
            self.up[door] = True
        else:
            span = float(self.notice.uniform(*(PLANNED if planned else NOTICE)))
            self.loop.call_later(span, self.mark_down, door)

    def mark_down(self, door: int) -> None:
        self.up[door] = False

    # --- clients that mean ill --------------------------------------------------------------------------

    async def rude(self, kind: str, door: int) -> None:
        began, status = self.now(), -1
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(RUDE_WAIT):
                reader, writer = await asyncio.open_connection(*self.doors[door])
                sending = asyncio.ensure_future(self.trickle(writer, RUDE[kind]))
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
        self.rudes.add(Rude(kind, door, began, self.now() - began, status))

    @staticmethod
    async def trickle(writer: asyncio.StreamWriter, pieces: tuple[bytes, ...]) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.1)

    def rudeness(self) -> None:
        """Set this day's rude clients going; `size` a second, over all front doors."""
        chance = random.Random(self.told.seed)
        for happening in happenings(self.day, self.told.seed):
            fault = happening.fault
            if fault.kind == "hostile":
                for _ in range(round(fault.size * fault.lasts)):
                    at = fault.at + chance.random() * fault.lasts
                    kind, door = chance.choice(sorted(RUDE)), chance.randrange(self.day.doors)
                    self.loop.call_later(max(0.0, at - self.now()), self.be_rude, kind, door)

    def be_rude(self, kind: str, door: int) -> None:
        self.spawn(self.rude(kind, door))

    def stats(self) -> None:
        spans = sorted(self.spans)
        self.spans = []
        tell(
            stats=self.counts | {
                "sent": self.sent, "open": self.open, "late": self.late, "most_late": self.most_late,
                "p50": spans[len(spans) // 2] if spans else 0.0,
                "p99": spans[len(spans) * 99 // 100] if spans else 0.0,
            }
        )  # fmt: skip
        self.loop.call_later(STATS, self.stats)


async def main(told: Play, queue: asyncio.Queue[Told]) -> None:
    load = Load(told)
    tell(ready=len(load.work))
    settle()
    while True:
        said = await queue.get()
        if "doors" in said:
            load.doors = [(host, port) for host, port in said["doors"]]
        elif "start" in said:
            load.now = clock(said["start"])
            load.rudeness()
            load.stats()
            load.pump()
        elif "door" in said:
            load.door_state(said["door"], said["up"], said.get("planned", False))
        elif "last" in said:  # no more tries; what is open ends by itself
            load.next = len(load.work.at)
            load.later.clear()
        elif "stop" in said:
            while not load.done() and load.open:
                await asyncio.sleep(0.02)
            while any(not task.done() for task in load.tasks):
                await asyncio.sleep(0.02)
            usage = time.process_time()
            for recorder in (load.tries, load.rudes, load.notes):
                recorder.flush()
            tell(done={"sent": load.sent, "late": load.late, "most_late": load.most_late, "cpu": usage})
            return


if __name__ == "__main__":
    play(main)
