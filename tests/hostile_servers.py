"""Stand-in servers that do to a door whatever the protocol leaves open to servers, and more, as chance will have it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .ledger import Ledger, body_of

IDLE = (0.03, 0.2, 2.0, 9.0)  # seconds after which a connection is forgotten, one of these
REFUSALS = (
    "503",
    "429",
    "421",
    "408",
    "named",
)  # with Not-Executed, but for the last: 421 that names its sender
SILENCE = (0.05, 0.3, 0.7, 1.1)  # seconds: some end after every deadline


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection as a process does that was killed: what was not read answers with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Wire:
    """A connection that a door has opened."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int  # of its server
    due: bytes = b""  # comes just before the next answer: one answer too many


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False

    @property
    def id(self) -> str:
        return self.headers.get("x-hazelspring-attempt-id", "")


class Broken(Exception):
    """The connection ends here."""


Way = Callable[[Wire, Request], Awaitable[None]]


@dataclass
class Hostile:
    """One server.  `tame`: it does what servers do on a calm day; `run` notes a request as run before anything that
    may show it."""

    name: str
    zone: str
    ledger: Ledger
    tame: float
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    lives: int = 0
    wires: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.ledger.random.random())
        self.ways: dict[str, Way] = {
            way.__name__: way
            for way in (
                self.refuses, self.refuses_early, self.resets_unread, self.resets_after, self.resets_begun, self.silent,
                self.promises_bare, self.fails, self.without_seal, self.for_another, self.answers_twice,
                self.one_too_many, self.cuts, self.resets_midway, self.answers_early, self.garbage,
                self.unframed, self.closes_behind, self.half_closes, self.interim, self.fails_unnamed,
                self.drips, self.unasked,
            )
        }  # fmt: skip

    @property
    def id(self) -> str:
        return f"i-{self.name}-{self.lives}"

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
            self.wires += 1
            await self.one(Wire(reader, writer, self.wires))
        except (Broken, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def one(self, wire: Wire) -> None:
        """One request after another on a connection, until it is forgotten or a way ends it."""
        while True:
            try:
                async with asyncio.timeout(self.random.choice(IDLE)):
                    head = await wire.reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                if self.random.random() < 0.5:
                    reset(wire.writer)
                raise Broken from None
            start, *lines = head.decode("latin-1").split("\r\n")
            method, target, _ = start.split(" ", 2)
            pairs = [
                (name.lower(), value.strip())
                for name, _, value in (line.partition(":") for line in lines if line)
            ]
            request = Request(method, target, dict(pairs))
            if len(request.headers) != len(pairs):
                self.ledger.fault("UNASKED", request.id, f"a header stands twice: {head!r}")
            if request.headers.get("x-hazelspring-expected-instance") != self.id:
                await self.turn_away(wire, request, "421", named=True)
                continue
            chosen = self.random.random() < self.tame
            name = "answers" if chosen else self.random.choice(list(self.ways))
            self.ledger.ways[name] += 1
            self.ledger.record_event(request.id, f"{self.id} on {wire.number}: {name}")
            await self.ways.get(name, self.answers)(wire, request)

    # --- parts ------------------------------------------------------------------------------------

    async def read(self, wire: Wire, request: Request) -> None:
        """The whole body."""
        if request.headers.get("transfer-encoding") == "chunked":
            while size := int((await wire.reader.readuntil(b"\r\n")), 16):
                request.body += (await wire.reader.readexactly(size + 2))[:size]
            await wire.reader.readexactly(2)
        else:
            request.body = await wire.reader.readexactly(int(request.headers.get("content-length", 0)))
        request.whole = True
        self.ledger.check(request.method, request.target, request.headers, request.body, True)

    async def run(self, wire: Wire, request: Request) -> None:
        """Read it, begin work on it, and work; or begin before it has come whole."""
        early = self.random.random() < 0.1
        if early:
            self.ledger.run(request.id)
        await self.read(wire, request)
        if not early:
            self.ledger.run(request.id)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.random() * 0.03)

    def answer(
        self, request: Request, status: int = 200, seal: bool = True, id_: str | None = None, framing: str = "",
        more: str = "", large: float = 0.1,
    ) -> bytes:  # fmt: skip
        """An answer's bytes; its body belongs to this request alone."""
        few, many = (0, 30, 900, 3000), (16_000, 17_000, 65_535, 65_537, 150_000)
        size = self.random.choice(many if self.random.random() < large else few)
        id_ = request.id if id_ is None else id_
        body = body_of(f"{request.id}/{len(self.ledger.made)}", size)
        named = self.ledger.make(self.id, request.id, status, body)
        head = f"HTTP/1.1 {status} Answer\r\n" + more
        head += f"X-Hazelspring-Attempt-Id: {id_}\r\n" if id_ else ""
        head += f"X-Hazelspring-Server-Seal: {named}\r\n" if seal else ""
        head += (
            f"X-Hazelspring-Server-Load: {self.random.randrange(3)},0,4\r\n"
            if self.random.random() < 0.5
            else ""
        )
        framing = framing or self.random.choice(("length", "length", "chunks"))
        if framing == "chunks":
            step = self.random.choice((7, 500, 20_000)) if size < 4000 else 20_000
            parts = [body[n : n + step] for n in range(0, size, step)]
            coded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
            return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + coded + b"0\r\n\r\n"
        head += f"Content-Length: {size}\r\n" if framing == "length" else ""
        return f"{head}\r\n".encode() + body

    async def send(self, wire: Wire, data: bytes) -> None:
        """In pieces, some of them late."""
        if wire.due:
            data, wire.due = wire.due + data, b""
        while data:
            if wire.writer.transport.is_closing():
                raise Broken
            most = len(data) if self.random.random() < 0.6 else self.random.randrange(1, len(data) + 1)
            wire.writer.write(data[:most])
            await wire.writer.drain()
            data = data[most:]
            if data:
                await asyncio.sleep(self.random.choice((0, 0.001, 0.01, 0.12)))

    async def turn_away(self, wire: Wire, request: Request, kind: str, named: bool = False) -> None:
        status, more = ("421" if kind == "named" else kind), ""
        if kind != "named":
            more += "X-Hazelspring-Not-Executed: 1\r\n"
        if kind == "named" or named:
            more += f"X-Hazelspring-Answering-Instance: {self.id}\r\n"
        if self.random.random() < 0.5:
            more += "Retry-After: 1\r\n"
        await self.read(wire, request)
        id_ = request.id if self.random.random() < 0.7 else ""
        await self.send(wire, self.answer(request, int(status), False, id_, more=more))

    # --- ways ------------------------------------------------------------------------------------

    async def answers(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        await self.send(wire, self.answer(request, self.random.choice((200, 200, 200, 201, 206))))

    async def refuses(self, wire: Wire, request: Request) -> None:
        await self.turn_away(wire, request, self.random.choice(REFUSALS))

    async def refuses_early(self, wire: Wire, request: Request) -> None:
        """Before the body is read; some read it afterwards, and take the next request."""
        more = "X-Hazelspring-Not-Executed: 1\r\n"
        await self.send(wire, self.answer(request, 503, False, more=more))
        await self.after_early(wire, request)

    async def answers_early(self, wire: Wire, request: Request) -> None:
        """It runs on what it has read so far."""
        self.ledger.run(request.id)
        await self.send(wire, self.answer(request, self.random.choice((200, 500, 503))))
        await self.after_early(wire, request)

    async def after_early(self, wire: Wire, request: Request) -> None:
        if (chance := self.random.random()) < 0.4:
            await self.read(wire, request)
        elif chance < 0.7:
            raise Broken
        else:
            reset(wire.writer)
            raise Broken

    async def resets_unread(self, wire: Wire, request: Request) -> None:
        reset(wire.writer)
        raise Broken

    async def resets_after(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        reset(wire.writer)
        raise Broken

    async def resets_begun(self, wire: Wire, request: Request) -> None:
        """It has begun before the body has come whole."""
        self.ledger.run(request.id)
        reset(wire.writer)
        raise Broken

    async def silent(self, wire: Wire, request: Request) -> None:
        """It answers when it likes, some time after the door has given it up."""
        await self.run(wire, request)
        await asyncio.sleep(self.random.choice(SILENCE))
        await self.send(wire, self.answer(request))

    async def promises_bare(self, wire: Wire, request: Request) -> None:
        """It ran, whatever the status says."""
        await self.run(wire, request)
        status = self.random.choice((503, 429, 421, 408))
        await self.send(wire, self.answer(request, status, False, self.random.choice((None, ""))))

    async def fails(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        await self.send(wire, self.answer(request, self.random.choice((500, 504, 302, 409)), False))

    async def fails_unnamed(self, wire: Wire, request: Request) -> None:
        """Without an id, and at times once again where the next answer is due."""
        await self.run(wire, request)
        failure = self.answer(request, 500, False, "")
        await self.send(wire, failure)
        wire.due = failure if self.random.random() < 0.5 else b""

    async def without_seal(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        await self.send(wire, self.answer(request, 200, False))

    async def for_another(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        status, id_ = self.random.choice(((200, "another"), (200, ""), (500, "another"), (503, "another")))
        more = "X-Hazelspring-Not-Executed: 1\r\n" if status == 503 else ""
        framing = self.random.choice(("length", "none"))
        await self.send(wire, self.answer(request, status, True, id_, framing, more))
        if self.random.random() < 0.5:
            await self.send(wire, self.answer(request))
        else:
            raise Broken

    async def answers_twice(self, wire: Wire, request: Request) -> None:
        """The second one right behind, or a while later, in the midst of whatever is under way by then."""
        await self.run(wire, request)
        data = self.answer(request, self.random.choice((200, 200, 503)))
        if self.random.random() < 0.5:
            await self.send(wire, data + data)
        else:
            await self.send(wire, data)
            await asyncio.sleep(self.random.choice((0, 0.002, 0.02)))
            await self.send(wire, data)

    async def one_too_many(self, wire: Wire, request: Request) -> None:
        """It comes once more at the point where the next one is due, whole or in part."""
        await self.run(wire, request)
        data = self.answer(request, framing="length")
        await self.send(wire, data)
        wire.due = data

    async def cuts(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        data = self.answer(request, large=0.5)
        await self.send(wire, data[: self.random.randrange(len(data))])
        raise Broken

    async def resets_midway(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        data = self.answer(request, framing=self.random.choice(("length", "chunks", "none")), large=0.5)
        whole = data.endswith(b"0\r\n\r\n")
        await self.send(wire, data[: self.random.randrange(len(data) - 1) if whole else len(data) // 2])
        if self.random.random() < 0.5:
            await asyncio.sleep(0.01)  # it was read before
        reset(wire.writer)
        raise Broken

    async def garbage(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        junk = (
            b"\x00\x01\x02" * 50,
            b"HTTP/1.1 2\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"x" * 20_000,
            b"\r\n" * 9,
        )
        await self.send(wire, self.random.choice(junk))
        if self.random.random() < 0.5:
            await self.send(wire, self.answer(request))
        raise Broken

    async def unframed(self, wire: Wire, request: Request) -> None:
        """Its end is the connection's."""
        await self.run(wire, request)
        await self.send(wire, self.answer(request, framing="none"))
        raise Broken

    async def closes_behind(self, wire: Wire, request: Request) -> None:
        await self.run(wire, request)
        await self.send(wire, self.answer(request, more="Connection: close\r\n"))
        if self.random.random() < 0.5:
            await asyncio.sleep(0.02)
        raise Broken

    async def half_closes(self, wire: Wire, request: Request) -> None:
        """It sends no more, and reads on: what it reads it runs."""
        await self.run(wire, request)
        if self.random.random() < 0.7:
            await self.send(wire, self.answer(request))
        wire.writer.write_eof()
        while True:
            await wire.reader.readuntil(b"\r\n\r\n")
            self.ledger.ways["read behind an end"] += 1

    async def interim(self, wire: Wire, request: Request) -> None:
        hints = b"HTTP/1.1 103 Early Hints\r\nX-Hazelspring-Not-Executed: 1\r\nLink: </a>\r\n\r\n"
        await self.send(wire, self.random.choice((b"HTTP/1.1 100 Continue\r\n\r\n", hints)))
        await self.answers(wire, request)

    async def unasked(self, wire: Wire, request: Request) -> None:
        """A refusal of what is answered already, while nothing is asked, or the next thing just now.  It bears its id:
        without one nobody could tell it from a refusal of the next thing, which servers send without."""
        await self.answers(wire, request)
        await asyncio.sleep(self.random.choice((0, 0.001, 0.01)))
        await self.send(wire, self.answer(request, 503, False, more="X-Hazelspring-Not-Executed: 1\r\n"))

    async def drips(self, wire: Wire, request: Request) -> None:
        """A large body is read slowly, and its answer comes slowly."""
        while len(request.body) < 200 and not wire.reader.at_eof() and self.random.random() < 0.5:
            await asyncio.sleep(0.02)
        await self.run(wire, request)
        data = self.answer(request)
        step = max(1, len(data) // 8)
        for n in range(0, len(data), step):
            await self.send(wire, data[n : n + step])
            await asyncio.sleep(0.02)
