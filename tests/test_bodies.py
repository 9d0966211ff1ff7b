"""Bodies of requests and answers in every size and framing, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.gateway import server_connection
from hazelspring.gateway.client_connection import BODY_GRACE, HEAD_TIMEOUT, REPLAY_LIMIT
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY
from hazelspring.gateway.upstream import STALL_TIMEOUT

from .sockets import Backend, Client, http_answer, listening, read_message, run, until
from .test_gateway_process import FIRST, running_gateway, send_on

LARGE = bytes(range(256)) * 4096  # 1 MiB
HUGE = 32 << 20
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    while (await reader.readline()).strip():
        pass
    return body


def chunked(body: bytes, piece: int = 10_000) -> bytes:
    pieces = [body[at : at + piece] for at in range(0, len(body), piece)]
    return b"".join(b"%x;ext=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Trailer: t\r\n\r\n"


def answering(*parts: bytes, gate: asyncio.Event | None = None, keep: bool = False) -> ConnectionHandler:
    """Return a backend that answers one request per connection; all parts but the first await the gate."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for number, part in enumerate(parts):
            if number and gate is not None:
                await gate.wait()
            writer.write(part)
            await writer.drain()
        if keep:
            await reader.read()

    return handle


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
SIZED = HEAD + b"Content-Length: %d\r\n\r\n" % len(LARGE)
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("form", ["sized", "chunked", "close"])
def test_a_large_answer_is_streamed_unchanged(form: str) -> None:
    async def test() -> None:
        gate = asyncio.Event()
        body = chunked(LARGE) if form == "chunked" else LARGE
        head = {"sized": SIZED, "chunked": CHUNKS, "close": HEAD + b"\r\n"}[form]
        half = len(body) // 2
        async with (
            listening(answering(head + body[:half], body[half:], gate=gate)) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            lines = (await client.reader.readuntil(b"\r\n\r\n")).lower()  # before the rest has been sent
            assert lines.startswith(b"http/1.1 200") and b"content-type: text/x" in lines
            (begun,) = script.of(i.UnderWay)
            assert (begun.request, begun.attempt, begun.backend) == (1, 0, FIRST)
            assert not script.outcomes() and gateway.host.waiting == 1
            gate.set()
            if form == "sized":
                assert await client.reader.readexactly(len(LARGE)) == LARGE
            else:
                assert b"chunked" in lines and await read_chunked(client.reader) == LARGE
            await until(lambda: script.outcomes() == [Outcome.OK])
            assert (
                gateway.host.waiting == 0
                and not gateway.host.open_requests
                and gateway.server.buffered_bytes == 0
            )

    run(test())


def test_a_small_answer_of_every_form_is_buffered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connection, "STREAM_AFTER_S", 60.0)  # so that a slow machine changes nothing
    forms = [HEAD + b"\r\nsmall", CHUNKS + chunked(b"small", 2), http_answer(body=b"small")]
    forms.append(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + forms[1])

    async def test() -> None:
        for form in forms:
            in_pieces = [form[at : at + 1] for at in range(len(form))]
            async with (
                listening(answering(*in_pieces)) as address,
                running_gateway(address, react=send_on) as (gateway, script),
                Client(gateway.server) as client,
            ):
                answer = await client.ask()
                assert (answer.status, answer.body) == (200, b"small")
                assert not script.of(i.UnderWay)

    run(test())


def test_a_slow_answer_of_unknown_length_is_streamed_before_it_is_large(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_connection, "STREAM_AFTER_S", -1.0)

    async def test() -> None:
        gate = asyncio.Event()
        async with (
            listening(answering(CHUNKS + b"5\r\nsmall\r\n", b"0\r\n\r\n", gate=gate)) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            await client.reader.readuntil(b"small\r\n")  # although the rest has not been sent
            gate.set()
            assert await client.reader.readexactly(5) == b"0\r\n\r\n"
            await until(lambda: script.outcomes() == [Outcome.OK])

    run(test())


@pytest.mark.parametrize("form", ["sized", "chunked"])
def test_a_client_can_detect_an_answer_that_breaks_off_midway(form: str) -> None:
    async def test() -> None:
        gate = asyncio.Event()
        head, body = (SIZED, LARGE) if form == "sized" else (CHUNKS, chunked(LARGE))
        async with (
            listening(answering(head + body[:200_000], b"", gate=gate)) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            await client.reader.readuntil(b"\r\n\r\n")
            gate.set()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, ValueError)):
                if form == "sized":
                    await client.reader.readexactly(len(LARGE))
                else:
                    await read_chunked(client.reader)
            await until(lambda: script.outcomes() == [Outcome.RESET])
            assert gateway.host.waiting == 0 and not gateway.host.open_requests

    run(test())


def test_a_client_that_disconnects_midway_ends_its_attempt() -> None:
    async def test() -> None:
        async with (
            listening(answering(SIZED + LARGE[:200_000], keep=True)) as address,
            running_gateway(address, react=send_on) as (gateway, script),
        ):
            async with Client(gateway.server) as client:
                client.writer.write(client.request())
                await client.reader.readuntil(b"\r\n\r\n")
            await until(lambda: script.outcomes() == [Outcome.RESET])
            assert (
                gateway.host.upstream.open == 0
                and not gateway.host.open_requests
                and gateway.host.waiting == 0
            )

    run(test())


def test_an_answer_is_read_no_faster_than_its_client_reads() -> None:
    async def test() -> None:
        sent = 0

        async def pour(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % HUGE)
            while sent < HUGE:
                writer.write(LARGE)
                await writer.drain()
                sent += len(LARGE)

        async with (
            listening(pour) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            await until(lambda: any(c.full for c in gateway.server.clients))
            (link,) = gateway.host.upstream.pools[FIRST].links
            assert link.paused and sent < HUGE  # the rest stays at the backend
            (served,) = gateway.server.clients
            assert (
                served.transport is not None
                and served.transport.get_write_buffer_size() <= 3 * MAX_BUFFERED_BODY
            )
            await client.reader.readuntil(b"\r\n\r\n")
            assert len(await client.reader.readexactly(HUGE)) == HUGE
            await until(lambda: script.outcomes() == [Outcome.OK])

    run(test())


def test_a_client_that_reads_nothing_of_a_large_answer_is_disconnected() -> None:
    async def test() -> None:
        async with (
            listening(answering(HEAD + b"Content-Length: %d\r\n\r\n" % HUGE, bytes(HUGE))) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            await until(lambda: any(c.full for c in gateway.server.clients))
            (served,) = gateway.server.clients
            served.check_timeouts(time.monotonic() + STALL_TIMEOUT - 1)  # the client may just be slow
            served.check_timeouts(time.monotonic() + STALL_TIMEOUT - 1)
            assert served.transport is not None and not served.transport.is_closing()
            served.check_timeouts(time.monotonic() + 3 * STALL_TIMEOUT)
            await until(lambda: script.outcomes() == [Outcome.RESET])
            assert not gateway.server.clients

    run(test())


def head_of(client: Client, form: str, size: int) -> bytes:
    if form == "chunked":
        return client.request(1, Transfer_Encoding="chunked", Content_Length="")
    return client.request(1, Content_Length=str(size))


@pytest.mark.parametrize("form", ["sized", "chunked"])
def test_a_large_request_is_streamed_and_its_time_out_starts_at_its_last_byte(form: str) -> None:
    async def test() -> None:
        got = bytearray()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            assert (b"chunked" in head) == (form == "chunked")
            if form == "chunked":
                got.extend(await reader.readline())  # shows that the body has begun to arrive
                got[:] = await reader.readexactly(int(bytes(got), 16))
                await reader.readexactly(2)
                got.extend(await read_chunked(reader))
            else:
                while len(got) < len(LARGE):
                    got.extend(await reader.read(1 << 16))
            writer.write(http_answer(body=b"thanks"))
            await reader.read()

        body = chunked(LARGE) if form == "chunked" else LARGE
        async with (
            listening(take) as address,
            running_gateway(address, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            half = len(body) // 2
            client.writer.write(head_of(client, form, len(LARGE)) + body[:half])
            await until(lambda: len(got) > MAX_BUFFERED_BODY / 2)
            (received,) = script.of(i.Request)
            assert received.streams and not script.of(i.Whole)
            (opened,) = gateway.host.open_requests.values()
            assert opened.guard is None  # its time-out has not started
            client.writer.write(body[half:])
            answer = await read_message(client.reader)
            assert (answer.status, answer.body, bytes(got)) == (200, b"thanks", LARGE)
            (completed,) = script.of(i.Whole)
            assert completed.left == 4.0 and script.outcomes() == [Outcome.OK]
            assert (gateway.server.buffered_bytes, gateway.host.waiting) == (0, 0)

    run(test())


def test_a_request_is_read_no_faster_than_its_server_reads() -> None:
    async def test() -> None:
        go = asyncio.Event()
        size = 0

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal size
            await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            while size < HUGE:
                size += len(await reader.read(1 << 20))
            writer.write(http_answer(body=b"thanks"))

        async with (
            listening(slow) as address,
            running_gateway(address, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request(1, Content_Length=str(HUGE)))
            sending = asyncio.create_task(send_all(client, HUGE))
            await until(lambda: any(c.holds for c in gateway.server.clients) and gateway.host.upstream.open)
            await until(lambda: [link for link in gateway.host.upstream.pools[FIRST].links if link.unsent])
            (link,) = gateway.host.upstream.pools[FIRST].links
            assert (
                link.transport is not None and link.transport.get_write_buffer_size() <= 3 * MAX_BUFFERED_BODY
            )
            assert gateway.server.buffered_bytes <= 2 * REPLAY_LIMIT and not sending.done()
            go.set()
            assert (await read_message(client.reader)).body == b"thanks"
            await sending

    run(test())


async def send_all(client: Client, size: int) -> None:
    for _ in range(size // len(LARGE)):
        client.writer.write(LARGE)
        await client.writer.drain()


@pytest.mark.parametrize("buffered", [True, False])
def test_a_large_request_is_sent_again_only_while_all_of_it_is_buffered(buffered: bool) -> None:
    """The first server refuses the request after reading less than is buffered, or more."""
    size = REPLAY_LIMIT - 1000 if buffered else 4 * REPLAY_LIMIT

    async def test() -> None:
        async def turn_away(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MAX_BUFFERED_BODY if buffered else 3 * REPLAY_LIMIT)
            writer.write(http_answer(503, Not_Started="1", Connection="close"))
            await writer.drain()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(size) == LARGE[:size]
            writer.write(http_answer(body=b"second"))
            await reader.read()

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, FIRST, 0.0)]
            if isinstance(event, i.Finished) and event.outcome is Outcome.FULL:
                again = i.Send(event.request, 2, 0.0)
                return [again if event.again else i.Refuse(event.request, 0.0)]
            return []

        async with (
            listening(turn_away) as first,
            listening(take) as second,
            running_gateway(first, second, react=react) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request(1, Content_Length=str(size)) + LARGE[:size])
            answer = await read_message(client.reader)
            if buffered:
                assert (answer.status, answer.body) == (200, b"second")
                assert script.outcomes() == [Outcome.FULL, Outcome.OK]
            else:
                assert answer.status == 503 and script.outcomes() == [Outcome.FULL]
            await until(lambda: not gateway.host.open_requests and gateway.server.buffered_bytes == 0)

    run(test())


def test_a_large_request_is_answered_at_once_and_its_rest_is_discarded() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Refuse(event.request, 0.5)] if isinstance(event, i.Request) else []

        async with (
            running_gateway("127.0.0.1:1", react=react) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(
                client.request(1, Content_Length=str(len(LARGE))) + LARGE[: 2 * MAX_BUFFERED_BODY]
            )
            assert (await read_message(client.reader)).status == 503  # long before the last byte
            client.writer.write(LARGE[2 * MAX_BUFFERED_BODY :])
            assert (await client.ask()).status == 503  # the next request on the connection
            assert len(script.of(i.Request)) == 2 and gateway.server.buffered_bytes == 0

    run(test())


@pytest.mark.parametrize("how", ["leaves", "stalls", "breaks"])
def test_a_large_request_that_stays_incomplete_never_runs(how: str) -> None:
    async def test() -> None:
        ended = asyncio.Event()
        started = asyncio.Event()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            started.set()
            body = await reader.read(-1)
            assert not body.endswith(b"0\r\n\r\n")
            ended.set()

        async with listening(take) as address, running_gateway(address, react=send_on) as (gateway, script):
            async with Client(gateway.server) as client:
                client.writer.write(head_of(client, "chunked", 0) + chunked(LARGE)[: 2 * MAX_BUFFERED_BODY])
                await started.wait()
                (served,) = gateway.server.clients
                if how == "stalls":
                    served.check_timeouts(time.monotonic() + BODY_GRACE + 10)
                if how == "breaks":
                    client.writer.write(b"no chunk" * 4096)
                if how != "leaves":
                    answer = await read_message(client.reader)
                    assert answer.status == (408 if how == "stalls" else 400)
            await ended.wait()
            await until(lambda: script.outcomes() == [Outcome.MOOT])
            assert (
                len(script.of(i.Left)) == 1
                and not gateway.host.open_requests
                and gateway.server.buffered_bytes == 0
            )

    run(test())


def test_a_slow_head_and_a_slow_body_have_separate_time_outs() -> None:
    async def test() -> None:
        async with (
            listening(Backend().handle) as address,
            running_gateway(address, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            await until(lambda: gateway.server.clients)
            (served,) = gateway.server.clients
            request = client.request(1, body=b"x" * MAX_BUFFERED_BODY)
            head, body = request[:-MAX_BUFFERED_BODY], request[-MAX_BUFFERED_BODY:]
            client.writer.write(head[:50])
            await until(lambda: served.arriving)
            served.check_timeouts(served.opened + 2.2)  # a client may take 2 s for the head
            client.writer.write(head[50:] + body[: MAX_BUFFERED_BODY // 2])
            await until(lambda: served.size == MAX_BUFFERED_BODY // 2)
            # A body at half of 64 kB per second or more may continue, however old the connection is.
            served.check_timeouts(served.body_since + 1.0 + BODY_GRACE / 2)
            client.writer.write(body[MAX_BUFFERED_BODY // 2 :])
            assert (await read_message(client.reader)).status == 200
            client.writer.write(head + b"x")
            await until(lambda: served.size == 1)
            served.check_timeouts(served.body_since + BODY_GRACE + 0.5)
            assert (await read_message(client.reader)).status == 408

    assert HEAD_TIMEOUT > 2.2
    run(test())


def test_a_request_sent_byte_by_byte_is_read_like_one_sent_at_once() -> None:
    """The parser leaves white space after a header value if a read ends there."""

    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=message.body))
        async with (
            listening(backend.handle) as address,
            running_gateway(address, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            text = (
                client.request(1, body=b"in pieces")
                .replace(b"\r\n", b" \t\r\n")
                .replace(b"1.1 \t", b"1.1", 1)
            )
            text = text.replace(b" \t\r\n \t\r\n", b" \t\r\n\r\n")
            for at in range(len(text)):
                client.writer.write(text[at : at + 1])
                await client.writer.drain()
                await asyncio.sleep(0)
            answer = await read_message(client.reader)
            assert (answer.status, answer.body) == (200, b"in pieces")
            assert backend.seen[0].headers["request-id"].strip() == backend.seen[0].headers["request-id"]

    run(test())
