"""Stand-in servers that behave at random in ways that the protocol allows, and in some that it forbids."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .ledger import Ledger, body_of

IDLE_TIMEOUTS = (0.03, 0.2, 2.0, 9.0)  # seconds without a request after which a server ends a connection
# Statuses with a Not-Executed header, except "named": a 421 that states its sender's instance instead.
REFUSALS = ("503", "429", "421", "408", "named")
ANSWER_DELAYS = (0.05, 0.3, 0.7, 1.1)  # seconds; the longest ends after the deadline of every request


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the kernel does when a process is killed with unread data."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Connection:
    """A connection that the gateway has opened."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int  # of its server
    surplus_answer: bytes = b""  # sent just before the next answer


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = False

    @property
    def id(self) -> str:
        return self.headers.get("x-hazelspring-attempt-id", "")


class ConnectionEnded(Exception):
    """The connection ends here."""


Behaviour = Callable[[Connection, Request], Awaitable[None]]


@dataclass
class HostileServer:
    """One server.

    It answers a part of its requests normally, given by `normal_share`, and shows one of `behaviours` for
    the others.  A request is recorded as run before anything that a client could observe of the run.
    """

    name: str
    zone: str
    ledger: Ledger
    normal_share: float
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    restarts: int = 0
    connections: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.ledger.random.random())
        self.behaviours: dict[str, Behaviour] = {
            behaviour.__name__: behaviour
            for behaviour in (
                self.refuses, self.refuses_before_body, self.resets_before_body, self.resets_after_run,
                self.resets_during_body, self.answers_late, self.refuses_after_run, self.fails,
                self.omits_seal, self.answers_with_other_id, self.answers_twice, self.repeats_before_next,
                self.truncates_answer, self.resets_during_answer, self.answers_before_body,
                self.sends_garbage, self.answers_unframed, self.closes_after_answer, self.half_closes,
                self.sends_interim, self.fails_without_id, self.answers_slowly, self.refuses_after_answer,
            )
        }  # fmt: skip

    @property
    def id(self) -> str:
        return f"i-{self.name}-{self.restarts}"

    async def start(self, host: str) -> str:
        self.listening = await asyncio.start_server(self.accept, host, 0, limit=1 << 20)
        return f"{host}:{self.listening.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self.listening.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            self.connections += 1
            await self.serve_connection(Connection(reader, writer, self.connections))
        except (ConnectionEnded, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve_connection(self, connection: Connection) -> None:
        """Serve requests on a connection one by one until it is idle for too long or a behaviour ends it."""
        while True:
            try:
                async with asyncio.timeout(self.random.choice(IDLE_TIMEOUTS)):
                    head = await connection.reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                if self.random.random() < 0.5:
                    reset(connection.writer)
                raise ConnectionEnded from None
            start, *lines = head.decode("latin-1").split("\r\n")
            method, target, _ = start.split(" ", 2)
            pairs = [
                (name.lower(), value.strip())
                for name, _, value in (line.partition(":") for line in lines if line)
            ]
            request = Request(method, target, dict(pairs))
            if len(request.headers) != len(pairs):
                self.ledger.add_violation("UNASKED", request.id, f"a header occurs twice: {head!r}")
            if request.headers.get("x-hazelspring-expected-instance") != self.id:
                await self.refuse(connection, request, "421", named=True)
                continue
            normal = self.random.random() < self.normal_share
            name = "answers" if normal else self.random.choice(list(self.behaviours))
            self.ledger.occurrences[name] += 1
            self.ledger.record_event(request.id, f"{self.id} on {connection.number}: {name}")
            await self.behaviours.get(name, self.answers)(connection, request)

    # --- parts ------------------------------------------------------------------------------------

    async def read(self, connection: Connection, request: Request) -> None:
        """Read the complete body and check the request."""
        if request.headers.get("transfer-encoding") == "chunked":
            while size := int((await connection.reader.readuntil(b"\r\n")), 16):
                request.body += (await connection.reader.readexactly(size + 2))[:size]
            await connection.reader.readexactly(2)
        else:
            request.body = await connection.reader.readexactly(int(request.headers.get("content-length", 0)))
        request.complete = True
        self.ledger.check_request(request.method, request.target, request.headers, request.body, True)

    async def run(self, connection: Connection, request: Request) -> None:
        """Read a request and run it; sometimes the run starts before the body is complete."""
        early = self.random.random() < 0.1
        if early:
            self.ledger.record_run(request.id)
        await self.read(connection, request)
        if not early:
            self.ledger.record_run(request.id)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.random() * 0.03)

    def answer(
        self, request: Request, status: int = 200, seal: bool = True, id_: str | None = None,
        framing: str = "", more: str = "", large: float = 0.1,
    ) -> bytes:  # fmt: skip
        """Return the bytes of an answer whose body differs from any other."""
        few, many = (0, 30, 900, 3000), (16_000, 17_000, 65_535, 65_537, 150_000)
        size = self.random.choice(many if self.random.random() < large else few)
        id_ = request.id if id_ is None else id_
        body = body_of(f"{request.id}/{len(self.ledger.sent_answers)}", size)
        server_seal = self.ledger.record_answer(self.id, request.id, status, body)
        head = f"HTTP/1.1 {status} Answer\r\n" + more
        head += f"X-Hazelspring-Attempt-Id: {id_}\r\n" if id_ else ""
        head += f"X-Hazelspring-Server-Seal: {server_seal}\r\n" if seal else ""
        head += (
            f"X-Hazelspring-Server-Load: {self.random.randrange(3)},0,4\r\n"
            if self.random.random() < 0.5
            else ""
        )
        framing = framing or self.random.choice(("length", "length", "chunks"))
        if framing == "chunks":
            step = self.random.choice((7, 500, 20_000)) if size < 4000 else 20_000
            parts = [body[n : n + step] for n in range(0, size, step)]
            framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
            return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + framed + b"0\r\n\r\n"
        head += f"Content-Length: {size}\r\n" if framing == "length" else ""
        return f"{head}\r\n".encode() + body

    async def send(self, connection: Connection, data: bytes) -> None:
        """Send data in pieces, some of them after a pause."""
        if connection.surplus_answer:
            data, connection.surplus_answer = connection.surplus_answer + data, b""
        while data:
            if connection.writer.transport.is_closing():
                raise ConnectionEnded
            most = len(data) if self.random.random() < 0.6 else self.random.randrange(1, len(data) + 1)
            connection.writer.write(data[:most])
            await connection.writer.drain()
            data = data[most:]
            if data:
                await asyncio.sleep(self.random.choice((0, 0.001, 0.01, 0.12)))

    async def refuse(self, connection: Connection, request: Request, kind: str, named: bool = False) -> None:
        status, more = ("421" if kind == "named" else kind), ""
        if kind != "named":
            more += "X-Hazelspring-Not-Executed: 1\r\n"
        if kind == "named" or named:
            more += f"X-Hazelspring-Answering-Instance: {self.id}\r\n"
        if self.random.random() < 0.5:
            more += "Retry-After: 1\r\n"
        await self.read(connection, request)
        id_ = request.id if self.random.random() < 0.7 else ""
        await self.send(connection, self.answer(request, int(status), False, id_, more=more))

    # --- behaviours -----------------------------------------------------------------------------

    async def answers(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        await self.send(connection, self.answer(request, self.random.choice((200, 200, 200, 201, 206))))

    async def refuses(self, connection: Connection, request: Request) -> None:
        await self.refuse(connection, request, self.random.choice(REFUSALS))

    async def refuses_before_body(self, connection: Connection, request: Request) -> None:
        """Refuse a request before its body is read; sometimes the body is read afterwards."""
        more = "X-Hazelspring-Not-Executed: 1\r\n"
        await self.send(connection, self.answer(request, 503, False, more=more))
        await self.finish_early_answer(connection, request)

    async def answers_before_body(self, connection: Connection, request: Request) -> None:
        """Run and answer a request of which only the head was read."""
        self.ledger.record_run(request.id)
        await self.send(connection, self.answer(request, self.random.choice((200, 500, 503))))
        await self.finish_early_answer(connection, request)

    async def finish_early_answer(self, connection: Connection, request: Request) -> None:
        if (chance := self.random.random()) < 0.4:
            await self.read(connection, request)
        elif chance < 0.7:
            raise ConnectionEnded
        else:
            reset(connection.writer)
            raise ConnectionEnded

    async def resets_before_body(self, connection: Connection, request: Request) -> None:
        reset(connection.writer)
        raise ConnectionEnded

    async def resets_after_run(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        reset(connection.writer)
        raise ConnectionEnded

    async def resets_during_body(self, connection: Connection, request: Request) -> None:
        """Reset the connection after the run has started and before the body is complete."""
        self.ledger.record_run(request.id)
        reset(connection.writer)
        raise ConnectionEnded

    async def answers_late(self, connection: Connection, request: Request) -> None:
        """Answer late, sometimes after the gateway has ended the attempt."""
        await self.run(connection, request)
        await asyncio.sleep(self.random.choice(ANSWER_DELAYS))
        await self.send(connection, self.answer(request))

    async def refuses_after_run(self, connection: Connection, request: Request) -> None:
        """Run a request, and answer with a status for requests that have not run, without its header."""
        await self.run(connection, request)
        status = self.random.choice((503, 429, 421, 408))
        await self.send(connection, self.answer(request, status, False, self.random.choice((None, ""))))

    async def fails(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        await self.send(connection, self.answer(request, self.random.choice((500, 504, 302, 409)), False))

    async def fails_without_id(self, connection: Connection, request: Request) -> None:
        """Answer a failure without an id, and sometimes repeat it just before the next answer."""
        await self.run(connection, request)
        failure = self.answer(request, 500, False, "")
        await self.send(connection, failure)
        connection.surplus_answer = failure if self.random.random() < 0.5 else b""

    async def omits_seal(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        await self.send(connection, self.answer(request, 200, False))

    async def answers_with_other_id(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        status, id_ = self.random.choice(((200, "another"), (200, ""), (500, "another"), (503, "another")))
        more = "X-Hazelspring-Not-Executed: 1\r\n" if status == 503 else ""
        framing = self.random.choice(("length", "none"))
        await self.send(connection, self.answer(request, status, True, id_, framing, more))
        if self.random.random() < 0.5:
            await self.send(connection, self.answer(request))
        else:
            raise ConnectionEnded

    async def answers_twice(self, connection: Connection, request: Request) -> None:
        """Answer twice: at once, or after a pause in which another request may have started."""
        await self.run(connection, request)
        data = self.answer(request, self.random.choice((200, 200, 503)))
        if self.random.random() < 0.5:
            await self.send(connection, data + data)
        else:
            await self.send(connection, data)
            await asyncio.sleep(self.random.choice((0, 0.002, 0.02)))
            await self.send(connection, data)

    async def repeats_before_next(self, connection: Connection, request: Request) -> None:
        """Repeat an answer just before the next one."""
        await self.run(connection, request)
        data = self.answer(request, framing="length")
        await self.send(connection, data)
        connection.surplus_answer = data

    async def truncates_answer(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        data = self.answer(request, large=0.5)
        await self.send(connection, data[: self.random.randrange(len(data))])
        raise ConnectionEnded

    async def resets_during_answer(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        data = self.answer(request, framing=self.random.choice(("length", "chunks", "none")), large=0.5)
        ends_chunked = data.endswith(b"0\r\n\r\n")
        await self.send(
            connection, data[: self.random.randrange(len(data) - 1) if ends_chunked else len(data) // 2]
        )
        if self.random.random() < 0.5:
            await asyncio.sleep(0.01)  # lets the gateway read the data before the reset
        reset(connection.writer)
        raise ConnectionEnded

    async def sends_garbage(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        junk = (
            b"\x00\x01\x02" * 50,
            b"HTTP/1.1 2\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"x" * 20_000,
            b"\r\n" * 9,
        )
        await self.send(connection, self.random.choice(junk))
        if self.random.random() < 0.5:
            await self.send(connection, self.answer(request))
        raise ConnectionEnded

    async def answers_unframed(self, connection: Connection, request: Request) -> None:
        """Send an answer whose end is marked only by the end of the connection."""
        await self.run(connection, request)
        await self.send(connection, self.answer(request, framing="none"))
        raise ConnectionEnded

    async def closes_after_answer(self, connection: Connection, request: Request) -> None:
        await self.run(connection, request)
        await self.send(connection, self.answer(request, more="Connection: close\r\n"))
        if self.random.random() < 0.5:
            await asyncio.sleep(0.02)
        raise ConnectionEnded

    async def half_closes(self, connection: Connection, request: Request) -> None:
        """Close the sending side, and continue to read; requests read then are counted."""
        await self.run(connection, request)
        if self.random.random() < 0.7:
            await self.send(connection, self.answer(request))
        connection.writer.write_eof()
        while True:
            await connection.reader.readuntil(b"\r\n\r\n")
            self.ledger.occurrences["request read after half-close"] += 1

    async def sends_interim(self, connection: Connection, request: Request) -> None:
        hints = b"HTTP/1.1 103 Early Hints\r\nX-Hazelspring-Not-Executed: 1\r\nLink: </a>\r\n\r\n"
        await self.send(connection, self.random.choice((b"HTTP/1.1 100 Continue\r\n\r\n", hints)))
        await self.answers(connection, request)

    async def refuses_after_answer(self, connection: Connection, request: Request) -> None:
        """Refuse a request that is already answered, when the connection is idle or its next request begins.

        The refusal has the id of the answered request: without one it could not be told from a refusal of
        the next request, as servers may send refusals without an id.
        """
        await self.answers(connection, request)
        await asyncio.sleep(self.random.choice((0, 0.001, 0.01)))
        await self.send(
            connection, self.answer(request, 503, False, more="X-Hazelspring-Not-Executed: 1\r\n")
        )

    async def answers_slowly(self, connection: Connection, request: Request) -> None:
        """Read a large body slowly, and send the answer slowly."""
        while len(request.body) < 200 and not connection.reader.at_eof() and self.random.random() < 0.5:
            await asyncio.sleep(0.02)
        await self.run(connection, request)
        data = self.answer(request)
        step = max(1, len(data) // 8)
        for n in range(0, len(data), step):
            await self.send(connection, data[n : n + step])
            await asyncio.sleep(0.02)
