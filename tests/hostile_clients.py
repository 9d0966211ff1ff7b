"""Clients that keep to the protocol, and at random are slow, give up waiting or disconnect midway."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from dataclasses import dataclass, field

from .ledger import Ledger, SentRequest, body_of

# Seconds within which a waiting client gets an answer or the connection's end, far beyond every deadline.
ANSWER_TIMEOUT = 20.0
KEY, TENANT = "key-of-green", "green"


class ConnectionEnded(Exception):
    """The gateway has ended the connection."""


@dataclass
class Session:
    """One connection of a client, and the requests that wait for their answers on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    waiting: list[SentRequest] = field(default_factory=list)
    close_announced: bool = False  # the last answer stated that the connection ends after it
    mid_answer: bool = False  # an unknown part of an answer has been read

    def write(self, data: bytes) -> None:
        if not self.writer.transport.is_closing():  # otherwise earlier answers can still be read
            self.writer.write(data)

    def reset(self) -> None:
        with contextlib.suppress(OSError, AttributeError):
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass
class HostileClients:
    """Clients of one gateway, each of which opens a number of sessions one after another."""

    ledger: Ledger
    address: str
    stalling_share: float  # of sessions in which a request's body stops midway
    gateway_stopping: bool = False  # the gateway has been ordered to stop
    number: int = 0
    earlier: list[SentRequest] = field(default_factory=list)  # requests that may be sent again

    def __post_init__(self) -> None:
        self.random = random.Random(self.ledger.random.random())

    async def run(self, clients: int, sessions: int) -> None:
        async def client() -> None:
            for _ in range(sessions):
                await self.run_session()

        await asyncio.gather(*(client() for _ in range(clients)))

    async def run_session(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            session = Session(*await asyncio.open_connection(host, int(port), limit=1 << 20))
        except OSError as error:
            if not self.gateway_stopping:
                self.ledger.add_violation("DROPPED", "-", f"no connection: {error!r}")
            return
        behaviours = (
            self.sends_one_by_one,
            self.sends_one_by_one,
            self.sends_one_by_one,
            self.pipelines,
            self.abandons_request,
            self.disconnects_midway,
        )
        behaviour = (
            self.random.choice(behaviours)
            if self.random.random() >= self.stalling_share
            else self.stalls_body
        )
        self.ledger.occurrences[behaviour.__name__] += 1
        try:
            await behaviour(session)
        except (OSError, ConnectionEnded, asyncio.IncompleteReadError):
            pass
        finally:
            session.writer.transport.abort()

    # --- behaviours -----------------------------------------------------------------------------

    async def sends_one_by_one(self, session: Session) -> None:
        """Send one request after another, each after the answer to the last."""
        for _ in range(self.random.randrange(1, 12)):
            request, data = self.make_request()
            await self.write(session, request, data)
            await self.await_answer(session, required=True)
            if session.close_announced:
                break
            if self.random.random() < 0.2:
                await asyncio.sleep(self.random.random() * 0.05)
        await self.expect_no_data(session)

    async def pipelines(self, session: Session) -> None:
        for _ in range(self.random.randrange(1, 3)):
            made = [self.make_request(small=True) for _ in range(self.random.randrange(2, 7))]
            for request, _ in made:
                self.record_sent(session, request)
                request.times_complete += 1
            data = b"".join(data for _, data in made)
            cut = self.random.randrange(len(data))
            session.write(data[:cut])
            await asyncio.sleep(self.random.choice((0, 0.001, 0.02)))
            session.write(data[cut:])
            while session.waiting:
                await self.await_answer(session)
            if session.close_announced:
                break
        await self.expect_no_data(session)

    async def abandons_request(self, session: Session) -> None:
        """Send requests, and disconnect while one waits for its answer."""
        for _ in range(self.random.randrange(1, 4)):
            request, data = self.make_request()
            await self.write(session, request, data)
            if self.random.random() < 0.5:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.random.random() * 0.1):
                        await self.await_answer(session)
                        continue
                session.mid_answer = True
            break
        await self.disconnect(session)

    async def disconnects_midway(self, session: Session) -> None:
        """Disconnect amid a request, or amid an answer that is read slowly."""
        request, data = self.make_request()
        length = self.random.randrange(1, len(data))
        if self.random.random() < 0.3:
            await self.write(session, request, data)
            await asyncio.sleep(self.random.random() * 0.1)
            await session.reader.read(self.random.randrange(1, 70_000))
            session.mid_answer = True
        else:
            await self.write(session, request, data[:length], full=False)
            await asyncio.sleep(self.random.random() * 0.2)
        await self.disconnect(session)

    async def stalls_body(self, session: Session) -> None:
        """Stop midway in a body that is large enough to be streamed, for a while or for good."""
        request, data = self.make_request(large=True)
        length, permanent = self.random.randrange(66_500, 80_000), self.random.random() < 0.5
        await self.write(session, request, data[:length], full=not permanent)
        if not permanent:
            await asyncio.sleep(self.random.random() * 0.3)
            session.write(data[length:])
        await self.await_answer(session, required=True)

    async def disconnect(self, session: Session) -> None:
        chance = self.random.random()
        if chance < 0.4:
            session.reset()
        elif chance < 0.7:
            session.writer.close()
        else:
            if not session.writer.transport.is_closing():
                session.writer.write_eof()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    while session.waiting and not session.mid_answer:
                        await self.await_answer(session)
                    await session.reader.read(100)

    # --- sending ------------------------------------------------------------------------------

    def make_request(self, small: bool = False, large: bool = False) -> tuple[SentRequest, bytes]:
        """Return a new request, or one that was sent before, and its bytes."""
        pick = self.random
        if self.earlier and pick.random() < 0.05 and not large:
            request = pick.choice(self.earlier)
        else:
            self.number += 1
            id_ = f"q{self.number:05d}"
            kind = pick.choice(("read_only", "read_only", "mutating", "mutating", "upload"))
            method = (
                "GET"
                if kind == "read_only" and pick.random() < 0.9
                else pick.choice(("POST", "PUT", "PATCH"))
            )
            few, many = (0, 1, 30, 3000), (65_535, 65_536, 65_537, 140_000, 300_000)
            size = pick.choice(few if small or pick.random() < 0.8 else many)
            if large:
                kind, method, size = pick.choice(("mutating", "upload")), "POST", pick.choice(many[3:])
            elif method == "GET":
                size = 30 if pick.random() < 0.2 else 0
            open_access = pick.random() < 0.3
            path = f"/{'open' if open_access else 'auth'}/{kind}/{id_}?q=%20{id_}&x=a/../b"
            request = SentRequest(id_, method, path, body_of(id_, size), kind, "" if open_access else TENANT)
            self.ledger.requests[id_] = request
            self.earlier.append(request)
        lines = [
            f"{request.method} {request.target} HTTP/1.1", "Host: shop.example",
            f"X-Hazelspring-Attempt-Id: {request.id}", f"X-Copy: {request.id}",
        ]  # fmt: skip
        lines += [f"Authorization: Bearer {KEY}"] if request.tenant else []
        if pick.random() < 0.6:
            lines.append(f"X-Hazelspring-Remaining-Milliseconds: {pick.choice((40, 120, 300, 600, 4000))}")
        if pick.random() < 0.05:
            lines.append("Connection: close")
        if request.body and pick.random() < 0.1:
            lines.append("Expect: 100-continue")
        framed = request.body
        if request.method != "GET" and pick.random() < 0.4:
            step = pick.choice((1, 100, 5000, 70_000)) if len(framed) < 5000 else pick.choice((5000, 70_000))
            parts = [framed[n : n + step] for n in range(0, len(framed), step)]
            framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
            lines.append("Transfer-Encoding: chunked")
        elif request.method != "GET" or request.body:
            lines.append(f"Content-Length: {len(framed)}")
        return request, ("\r\n".join(lines) + "\r\n\r\n").encode() + framed

    def record_sent(self, session: Session, request: SentRequest) -> None:
        request.times_sent += 1
        session.waiting.append(request)

    async def write(self, session: Session, request: SentRequest, data: bytes, full: bool = True) -> None:
        """Send data in one or several pieces with pauses; continue even if an answer arrives early."""
        self.record_sent(session, request)
        request.times_complete += full
        while data:
            length = len(data) if self.random.random() < 0.6 else self.random.randrange(1, len(data) + 1)
            session.write(data[:length])
            await session.writer.drain()
            data = data[length:]
            if data:
                await asyncio.sleep(self.random.choice((0, 0.001, 0.02, 0.1)))

    # --- receiving -------------------------------------------------------------------------------

    async def await_answer(self, session: Session, required: bool = False) -> None:
        """Read the next answer, which is for the request that has waited longest.

        `required`: the connection must not end before an answer has begun.
        """
        timeout = asyncio.timeout(ANSWER_TIMEOUT)
        try:
            async with timeout:
                await self.read_answer(session, required)
        except TimeoutError:
            if timeout.expired():
                request = session.waiting[0]
                about = (
                    f"{request.method} with {len(request.body)} bytes, "
                    f"{request.times_complete} of {request.times_sent} complete"
                )
                self.ledger.add_violation("UNANSWERED", request.id, f"no answer and no end: {about}")
            raise ConnectionEnded from None

    async def read_answer(self, session: Session, required: bool) -> None:
        request, begun = session.waiting[0], False
        try:
            while True:
                head = (await session.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                status = int(head[0].split()[1])
                if status >= 200:
                    break
            begun = True
            if not head[0].startswith("HTTP/1.1 "):
                self.ledger.add_violation("MIXED", request.id, f"malformed answer: {head[0]}")
            pairs = [
                (name.lower(), value.strip())
                for name, _, value in (line.partition(":") for line in head[1:] if line)
            ]
            headers = dict(pairs)
            if len(headers) != len(pairs):
                self.ledger.add_violation("MIXED", request.id, f"a header occurs twice: {head}")
            body = b""
            if headers.get("transfer-encoding") == "chunked":
                while size := int((await session.reader.readuntil(b"\r\n")), 16):
                    body += (await session.reader.readexactly(size + 2))[:size]
                await session.reader.readexactly(2)
            else:
                body = await session.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ValueError, OSError) as error:
            partial = error.partial if isinstance(error, asyncio.IncompleteReadError) else b""
            if isinstance(error, ValueError) and not session.reader.at_eof():
                self.ledger.add_violation("MIXED", request.id, f"malformed answer: {error}")
            if required and not (begun or partial or self.gateway_stopping):
                self.ledger.add_violation(
                    "DROPPED", request.id, f"the connection ended without an answer: {error!r}"
                )
            self.ledger.occurrences["received a part" if begun or partial else "received nothing"] += 1
            raise ConnectionEnded from None
        session.waiting.pop(0)
        session.close_announced = headers.get("connection") == "close"
        self.ledger.check_answer(request, status, headers, body)

    async def expect_no_data(self, session: Session) -> None:
        """Check that no data arrives on a connection on which no request waits."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.random.choice((0.0, 0.02, 0.3))):
                if more := await session.reader.read(1000):
                    self.ledger.add_violation("MIXED", "-", f"data without a request: {more[:80]!r}")
