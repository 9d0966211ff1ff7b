"""The gateway over loopback sockets, with fakes of everything that it connects to."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.admission.policy.context import mix
from hazelspring.gateway import client_connection
from hazelspring.gateway.client_connection import (
    HEAD_TIMEOUT,
    IDLE_TIMEOUT,
    MAX_BODY,
    MAX_HEAD,
    MAX_PIPELINED,
    SWEEP,
    encode,
)
from hazelspring.gateway.gateway_process import OTHER_SOCKETS, GatewayProcess
from hazelspring.gateway.host import Answer
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY

from .sockets import (
    Backend,
    Client,
    Message,
    Tally,
    config,
    host_line,
    http_answer,
    listening,
    read_message,
    run,
    until,
)

FIRST = 0x00000001


class Script:
    """Replaces the admission module: `react` returns the actions for each event."""

    def __init__(self, react: Callable[[Any], list[i.Action]]) -> None:
        self.react = react
        self.events: list[Any] = []
        self.actions: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        self.actions = []
        for action in self.react(event):
            self.actions.append(action)
        return self.actions

    def outcomes(self) -> list[Outcome]:
        return [e.outcome for e in self.events if isinstance(e, i.Finished)]

    def of(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


@contextlib.asynccontextmanager
async def running_gateway(
    *dials: str, react: Callable[[Any], list[i.Action]] | None = None, counter: str = "", **changes: str
) -> AsyncIterator[tuple[GatewayProcess, Script]]:
    known = [host_line(f"s-{n:08x}", dial) for n, dial in enumerate(dials, 1)]
    gateway = GatewayProcess(config(known, counter, **changes))
    script = Script(react or (lambda event: []))
    if react is not None:
        gateway.host.gateway = script  # type: ignore[assignment]
    await gateway.start()
    try:
        yield gateway, script
    finally:
        await gateway.close()


def send_on(event: Any) -> list[i.Action]:
    """Send each request to the first backend, and fail it if that did not serve it."""
    if isinstance(event, i.Request):
        return [i.Send(event.request, FIRST, 0.0)]
    if isinstance(event, i.Finished) and event.outcome is not Outcome.OK:
        return [i.Fail(event.request)]
    return []


def test_a_request_is_served_with_its_headers_and_body_unchanged() -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=b"got " + message.body))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial) as (gateway, _),
            Client(gateway.server) as client,
        ):
            ready = await client.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert ready.status == 200
            answer = await client.ask(1, body=b"a recording", Request_Id="9b1f03aa5c7e2d41")
            assert (answer.status, answer.body) == (200, b"got a recording")
            (seen,) = backend.seen
            assert seen.start == "POST /class-1?customer=0000000000000005 HTTP/1.1"
            assert seen.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
            assert seen.body == b"a recording"
            # The gateway passes on how long it will wait, which is less than the client's time-out.
            assert 3000 < int(seen.headers["request-timeout"].removesuffix("m")) < 4000

    run(test())


def test_the_admission_module_receives_the_terms_of_a_request() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Refuse(event.request, 0.25)] if isinstance(event, i.Request) else []

        async with (
            running_gateway("127.0.0.1:1", react=react) as (gateway, script),
            Client(gateway.server) as client,
        ):
            answer = await client.ask(
                2, 900, X_Tier="plan-1", X_Call_Terms="units=2,spread=2,first=1", Client_Retry="1"
            )
            # A refused request is answered at once, with the time after which to retry.
            assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
            (event,) = script.of(i.Request)
            assert (event.cls, event.plan, event.customer) == (2, 1, 5)
            assert (event.units, event.width, event.first, event.is_retry) == (2.0, 2, 1, True)
            assert 0.8 < event.left <= 0.9

    run(test())


@pytest.mark.parametrize(
    ("cls", "header", "value", "status"),
    [
        (0, "Request-Id", "", 400),
        (0, "Request-Class", "class-1", 400),
        (0, "X-Tier", "gold", 400),
        (0, "Request-Timeout", "4", 400),
        (0, "X-Call-Terms", "units=none,spread=1,first=0", 400),
        (0, "X-Call-Terms", "units=nan,spread=1,first=0", 400),
        (1, "Idempotency-Key", "", 400),  # keyed, but without the key by which repeats are recognised
        (2, "Idempotency-Key", "5c0f", 400),
        (0, "X-Pad", "x" * MAX_HEAD, 400),
        (2, "Content-Length", str(MAX_BODY + 1), 413),
        (2, "Content-Length", "x", 400),
    ],
)
def test_invalid_requests_reach_neither_the_admission_module_nor_a_backend(
    cls: int, header: str, value: str, status: int
) -> None:
    async def test() -> None:
        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            bad = client.request(cls, 4000, b"", **{header: value})
            assert (await client.send(bad)).status == status
            assert not script.events and not backend.opened

    run(test())


def test_bytes_that_are_not_http_get_an_error_answer_and_close_the_connection() -> None:
    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            assert (await client.send(b"\x00\x01 nonsense\r\n\r\n")).status == 400
            assert await client.reader.read() == b""
            assert not script.events

    run(test())


@pytest.mark.parametrize("target", [b"http://[::", b"/\xff?customer=0000000000000005", b"*"])
def test_a_malformed_target_gets_a_client_error(target: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            answer = await client.send(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            assert answer.status in (400, 404) and not script.events

    run(test())
    assert not caplog.records  # nothing is logged per request


def test_a_trailer_does_not_replace_a_missing_header() -> None:
    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            head = client.request(2, Request_Id="", Content_Length="", Transfer_Encoding="chunked")
            answer = await client.send(head + b"3\r\nabc\r\n0\r\nRequest-Id: 9b1f\r\n\r\n")
            assert answer.status == 400 and not script.events

    run(test())


def test_pipelined_requests_are_bounded() -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=b"x" * MAX_BUFFERED_BODY))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            client.writer.write(b"".join(client.request() for _ in range(100)))
            answers = [await read_message(client.reader) for _ in range(100)]
            assert [a.status for a in answers[:MAX_PIPELINED]] == [200] * MAX_PIPELINED
            refused = [a for a in answers if a.status == 503]
            assert refused and all("retry-after" in a.headers for a in refused)
            assert len(script.of(i.Request)) == 100 - len(refused)

    run(test())


@pytest.mark.parametrize(
    "part", [b"", b"GET /class-0?customer=", b"POST /class-2 HTTP/1.1\r\nContent-Length: 9\r\n\r\n"]
)
def test_a_client_that_sends_no_complete_request_is_disconnected_in_time(part: bytes) -> None:
    """Within 3 s of connecting it must get an error or a close, however late its first byte came."""

    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            await until(lambda: gateway.server.clients)
            (connection,) = gateway.server.clients
            client.writer.write(part)
            await until(lambda: connection.arriving or not part)
            connection.check_timeouts(connection.opened + HEAD_TIMEOUT - 0.1)
            assert connection.transport is not None and not connection.transport.is_closing()
            connection.check_timeouts(connection.opened + HEAD_TIMEOUT + 0.1)
            assert (await client.reader.read()).startswith(b"HTTP/1.1 408" if part else b"")
            assert not script.events

    assert HEAD_TIMEOUT + 2 * SWEEP < 3.0
    run(test())


def test_an_idle_connection_is_kept_after_its_first_request() -> None:
    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            assert (await client.ask(2)).status == 502
            (connection,) = gateway.server.clients
            connection.check_timeouts(connection.since + HEAD_TIMEOUT + SWEEP)
            assert (await client.ask(2)).status == 502

    run(test())


def test_requests_after_the_last_answer_of_a_connection_are_ignored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with (
            running_gateway("127.0.0.1:1", react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            await until(lambda: gateway.server.clients)
            (connection,) = gateway.server.clients
            connection.surplus = True  # a connection beyond the limit gets one answer and is closed
            client.writer.write(b"".join(client.request() for _ in range(5)))
            assert (await read_message(client.reader)).status == 503
            assert await client.reader.read() == b"" and not script.events

    run(test())
    assert not caplog.records


def test_reading_from_a_client_that_does_not_read_its_answers_is_paused() -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=b"x" * MAX_BUFFERED_BODY))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            (connection,) = gateway.server.clients
            transport = connection.transport
            assert transport is not None
            requests = 0
            while transport.is_reading():  # until the sockets' buffers are full of answers
                requests += 1
                seen = len(backend.seen)
                client.writer.write(client.request())
                await until(lambda seen=seen: len(backend.seen) > seen and not connection.pending)  # type: ignore[misc]
            client.writer.write(client.request())
            for _ in range(requests + 1):  # all answers arrive once it reads
                answer = await read_message(client.reader)
                assert (answer.status, len(answer.body)) == (200, MAX_BUFFERED_BODY)

    run(test())


def test_a_client_that_never_reads_is_disconnected() -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=b"x" * MAX_BUFFERED_BODY))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            (connection,) = gateway.server.clients
            transport = connection.transport
            assert transport is not None
            while transport.is_reading():
                seen = len(backend.seen)
                client.writer.write(client.request())
                await until(lambda seen=seen: len(backend.seen) > seen and not connection.pending)  # type: ignore[misc]
            connection.check_timeouts(time.monotonic() + IDLE_TIMEOUT / 2)
            assert not transport.is_closing()
            connection.check_timeouts(time.monotonic() + IDLE_TIMEOUT + 1)
            await until(lambda: not gateway.server.clients)

    run(test())


def test_pipelined_requests_are_answered_in_their_order() -> None:
    async def test() -> None:
        requests: list[i.Request] = []

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                requests.append(event)
                if len(requests) == 2:  # the second is answered first
                    return [i.Refuse(requests[1].request, 0.0), i.Fail(requests[0].request)]
            return []

        async with (
            running_gateway("127.0.0.1:1", react=react) as (gateway, _),
            Client(gateway.server) as client,
        ):
            first = await client.send(client.request() + client.request())
            assert MAX_PIPELINED >= 2
            assert [first.status, int((await client.reader.readline()).split()[1])] == [502, 503]

    run(test())


def test_a_clients_disconnect_is_reported_to_the_admission_module_and_its_attempt_continues() -> None:
    async def test() -> None:
        backend = Backend(lambda message: None)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
        ):
            async with Client(gateway.server) as client:
                client.writer.write(client.request())
                await until(lambda: backend.seen)
            await until(lambda: script.of(i.Left))
            assert backend.open == 1 and not script.outcomes() and gateway.host.open_requests

    run(test())


def test_outcomes_distinguish_requests_that_never_ran() -> None:
    replies: list[tuple[bytes, Outcome]] = [
        (http_answer(500), Outcome.ERROR),
        (http_answer(503, Not_Started="1"), Outcome.FULL),
        (http_answer(504, Not_Started="1"), Outcome.FULL),
        (http_answer(503), Outcome.ERROR),  # no proof that it never ran
        (b"", Outcome.RESET),  # closed after the complete request was written
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf", Outcome.RESET),
        (b"what?\r\n\r\n", Outcome.RESET),  # the framing is lost, and the request may have run
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 2000, Outcome.RESET),  # headers too long
    ]

    async def test() -> None:
        for reply, expected in replies:
            backend = Backend(lambda message, reply=reply: reply)  # type: ignore[misc]
            async with (
                listening(backend.handle) as dial,
                running_gateway(dial, react=send_on) as (gateway, script),
                Client(gateway.server) as client,
            ):
                assert (await client.ask(2)).status == 502
                # One attempt each: the gateway does not retry by itself.
                assert (script.outcomes(), len(backend.seen)) == ([expected], 1)

    run(test())


@pytest.mark.parametrize("surplus", [http_answer(body=b"stray"), b"HTTP/1.1 200 OK\r\nContent-", b"what?"])
def test_surplus_bytes_after_an_answer_are_not_used_as_the_next_answer(surplus: bytes) -> None:
    """One read may contain more than the answer.  The surplus must be passed neither to a request that waits
    for the connection nor to the next request on it.
    """

    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=message.headers["request-id"].encode()) + surplus)

        def one_at_a_time(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request) and event.request == 2:
                return []  # sent once the first has been answered, so as early as possible
            if isinstance(event, i.Finished) and event.request == 1:
                return [i.Send(2, FIRST, 0.0)]
            return send_on(event)

        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=one_at_a_time) as (gateway, script),
            Client(gateway.server) as one,
            Client(gateway.server) as two,
        ):
            first, second = await asyncio.gather(one.ask(Request_Id="first"), two.ask(Request_Id="second"))
            third = await one.ask(Request_Id="third")
            assert [a.body for a in (first, second, third)] == [b"first", b"second", b"third"]
            assert script.outcomes() == [Outcome.OK] * 3 and backend.opened == 3

    run(test())


@pytest.mark.parametrize("unsent", [True, False])
def test_a_request_that_was_not_written_completely_never_ran(unsent: bool) -> None:
    """The transport pauses its protocol while it has unsent bytes.  On loopback 64 KiB always fit, so the
    test calls the protocol in its place.
    """

    async def test() -> None:
        backend = Backend(lambda message: None)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            waiting = asyncio.create_task(client.ask(2))
            await until(lambda: backend.seen)
            (link,) = gateway.host.upstream.pools[FIRST].links
            if unsent:
                link.pause_writing()
            link.abort()
            assert (await waiting).status == 502
            assert script.outcomes() == [Outcome.CONNECT_FAILED if unsent else Outcome.RESET]

    run(test())


def test_a_request_whose_connection_is_refused_never_ran() -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial:
            pass
        async with (
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            assert (await client.ask(2)).status == 502
            assert script.outcomes() == [Outcome.CONNECT_FAILED]

    run(test())


def test_a_connection_that_is_never_established_fails_after_the_connect_timeout() -> None:
    async def test() -> None:
        # A listener that accepts nothing and whose backlog is full: further connections hang.
        with contextlib.ExitStack() as stack:
            silent = stack.enter_context(socket.socket())
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(silent.getsockname())
            dial = f"127.0.0.1:{silent.getsockname()[1]}"
            async with (
                running_gateway(dial, react=send_on) as (gateway, script),
                Client(gateway.server) as client,
            ):
                began = time.monotonic()
                assert (await client.ask(2)).status == 502
                assert script.outcomes() == [Outcome.CONNECT_FAILED]
                assert 0.2 < time.monotonic() - began < 2.0  # caps.connect_timeout_s is 0.25

    run(test())


def test_a_request_on_a_stale_pooled_connection_ends_as_reset_and_is_not_sent_again() -> None:
    async def test() -> None:
        backend = Backend(lambda message: http_answer(body=b"x") if len(backend.seen) < 2 else b"")
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            assert (await client.ask(2)).status == 200
            assert (await client.ask(2)).status == 502
            assert script.outcomes() == [Outcome.OK, Outcome.RESET]
            assert (backend.opened, len(backend.seen)) == (1, 2)

    run(test())


def test_connections_are_kept_and_connection_close_is_honoured() -> None:
    async def test() -> None:
        answers = [http_answer(), http_answer(Connection="close"), http_answer()]
        backend = Backend(lambda message: answers[len(backend.seen) - 1])
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            for opened in (1, 1, 2):
                assert (await client.ask()).status == 200
                assert backend.opened == opened

    run(test())


@pytest.mark.parametrize("drawn", [0.0, 0.5, 1.0])
def test_idle_connections_are_retired_before_the_backend_closes_them(
    monkeypatch: pytest.MonkeyPatch, drawn: float
) -> None:
    """Each connection is kept up to its own maximum age and retired after it, at both ends of the range."""

    async def test() -> None:
        monkeypatch.setattr("hazelspring.gateway.server_connection.random.random", lambda: drawn)
        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            assert (await client.ask()).status == 200
            upstream = gateway.host.upstream
            pool = upstream.pools[FIRST]
            (link,) = pool.idle
            age = link.age_part * upstream.keep_idle
            assert age < 0.9 * 30.0  # the backends' idle time is 30 s
            upstream.sweeper.cancel()
            link.idle_since = time.monotonic() - age + 5.0
            upstream.sweep()
            assert list(pool.idle) == [link] and backend.open == 1
            link.idle_since = time.monotonic() - age - 0.01
            upstream.sweep()
            await until(lambda: backend.open == 0)
            assert not pool.links and upstream.open == 0

    run(test())


def test_a_restarted_backend_gets_new_connections() -> None:
    async def test() -> None:
        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as client,
        ):
            assert (await client.ask()).status == 200
            (address,) = [pool.address for pool in gateway.host.upstream.pools.values()]
            entry = i.Entry(FIRST, 0, time.time(), i.State.READY, 0, 0, 1.0)
            gateway.host.members(i.Members(i.Listing.DELTA, 42, (entry,)), {FIRST: address})
            await until(lambda: backend.open == 0)
            assert (await client.ask()).status == 200
            assert backend.opened == 2

    run(test())


def test_load_reports_have_the_order_of_the_settings() -> None:
    async def test() -> None:
        loads = ["TEXT queue=2, latency_ms=180.5, util=0.61", "TEXT queue=2", "TEXT queue=x, util=1", ""]
        backend = Backend(lambda message: http_answer(Server_Load=loads[len(backend.seen) - 1]))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, script),
            Client(gateway.server) as client,
        ):
            for _ in loads:
                assert (await client.ask()).status == 200
            reports = [event.report for event in script.of(i.Finished)]
            assert reports == [(180.5, 0.61, 2.0), (), (), ()]

    run(test())


def test_a_probe_returns_the_load_report() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Probe(FIRST), i.Refuse(event.request, 0.0)] if isinstance(event, i.Request) else []

        backend = Backend(lambda message: http_answer(body=b"TEXT latency_ms=9, util=0.5, queue=1"))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=react) as (gateway, script),
            Client(gateway.server) as client,
        ):
            assert (await client.ask()).status == 503
            await until(lambda: script.of(i.Probed))
            (probed,) = script.of(i.Probed)
            assert (probed.backend, probed.outcome, probed.report) == (FIRST, Outcome.OK, (9.0, 0.5, 1.0))
            assert backend.seen[0].start == "GET /-/load HTTP/1.1"

    run(test())


@pytest.mark.parametrize("how", ["cancel", "time-out"])
def test_an_abandoned_attempt_has_ended_before_the_next_is_sent(how: str) -> None:
    """Two attempts must never run at once: the first one's connection closes before the next is sent."""

    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, FIRST, 0.1 if how == "time-out" else 0.0), i.SetTimer(0.0, 1)]
            if isinstance(event, i.Fired) and how == "cancel":
                # Not before the backend has the complete request: cancelled earlier, it would not be sent.
                return [i.Cancel(1, 0)] if silent.seen else [i.SetTimer(0.0, 1)]
            if isinstance(event, i.Finished) and event.attempt == 0:
                return [i.Send(event.request, 2, 0.0)]
            return []

        silent = Backend(lambda message: None)
        open_at_second_attempt: list[int] = []

        def serve(message: Message) -> bytes:
            open_at_second_attempt.append(silent.open)
            return http_answer(body=b"second")

        async with (
            listening(silent.handle) as first,
            listening(Backend(serve).handle) as second,
            running_gateway(first, second, react=react, caps__second_copies="false") as (gateway, script),
            Client(gateway.server) as client,
        ):
            answer = await client.ask()
            assert (answer.status, answer.body, open_at_second_attempt) == (200, b"second", [0])
            expected = Outcome.CANCELLED if how == "cancel" else Outcome.TIMEOUT
            assert script.outcomes() == [expected, Outcome.OK]

    run(test())


def test_a_second_copy_is_not_sent_if_the_settings_forbid_it() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, FIRST, 0.0), i.Send(event.request, FIRST, 0.0)]
            return []

        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=react, caps__second_copies="false") as (gateway, script),
            Client(gateway.server) as client,
        ):
            assert (await client.ask()).status == 200
            assert script.outcomes() == [Outcome.MOOT, Outcome.OK] and len(backend.seen) == 1

    run(test())


def test_a_request_is_answered_in_time_without_an_answer_of_the_admission_module() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            return [i.Send(event.request, FIRST, 0.0)] if isinstance(event, i.Request) else []

        backend = Backend(lambda message: None)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=react) as (gateway, script),
            Client(gateway.server) as client,
        ):
            began = time.monotonic()
            assert (await client.ask(2, 300)).status == 504
            assert time.monotonic() - began < 0.35  # its deadline plus the 50 ms that the rule allows
            # The attempt was abandoned before the deadline, and no state is left.
            assert script.outcomes() == [Outcome.TIMEOUT] and len(script.of(i.Left)) == 1
            assert not gateway.host.open_requests and gateway.host.waiting == 0

    run(test())


def test_every_request_is_answered_after_an_error_in_the_admission_module(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request) and event.cls == 0:
                raise RuntimeError("first error")
            if isinstance(event, i.Finished) and event.outcome is not Outcome.OK:
                raise RuntimeError("second error")
            return send_on(event)

        backend = Backend(lambda message: http_answer(500 if len(backend.seen) == 1 else 200))
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=react) as (gateway, _),
            Client(gateway.server) as client,
        ):
            assert (await client.ask(0)).status == 503  # it never ran, as 503 states
            assert (await client.ask(2)).status == 502  # it may have run
            assert (await client.ask(2)).status == 200
            assert not gateway.host.open_requests

    run(test())
    assert "the module failed on Request" in caplog.text and "the module failed on Finished" in caplog.text


def test_timers_never_fire_early() -> None:
    """The admission module drops a timer that fires early, and then does nothing until the next event."""

    async def test() -> None:
        due: dict[int, float] = {}
        fired: list[tuple[int, float]] = []

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                due.update({n: gateway.host.now + n * 0.0017 for n in range(40)})
                return [i.SetTimer(at, n) for n, at in due.items()]
            if isinstance(event, i.Fired):
                fired.append((event.token, gateway.host.now))
            return []

        async with (
            running_gateway("127.0.0.1:1", react=react) as (gateway, _),
            Client(gateway.server) as client,
        ):
            client.writer.write(client.request())
            await until(lambda: len(fired) == 40)
            assert all(at >= due[n] for n, at in fired)

    run(test())


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_clients_may_use_a_third_of_the_descriptors(sockets: int) -> None:
    async def test() -> None:
        gateway = GatewayProcess(
            dataclasses.replace(config([host_line("s-00000001", "127.0.0.1:1")]), sockets=sockets)
        )
        most = gateway.server.max_clients
        assert most >= sockets / 3 and most + gateway.host.upstream.max_open + OTHER_SOCKETS <= sockets
        await gateway.close()

    run(test())


def test_a_connection_without_a_request_is_closed_first_when_there_are_too_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        # Otherwise no connection would be kept.
        monkeypatch.setattr(client_connection, "KEEP_ALIVE_FRACTION", 2.0)
        async with running_gateway("127.0.0.1:1", react=send_on) as (gateway, _):
            gateway.server.max_clients = 2
            async with Client(gateway.server) as active, Client(gateway.server) as silent:
                assert (await active.ask(2)).status == 502
                await until(lambda: len(gateway.server.clients) == 2)
                for connection in gateway.server.clients:
                    connection.since -= 1.0 if connection.proven else 0.0
                async with Client(gateway.server) as third:
                    assert (await third.ask(2)).status == 502
                    assert await silent.reader.read() == b""
                    assert (await active.ask(2)).status == 502

    run(test())


def test_at_the_limit_a_new_connection_is_refused_and_the_existing_ones_are_kept() -> None:
    async def test() -> None:
        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as one,
            Client(gateway.server) as two,
        ):
            await until(lambda: len(gateway.server.clients) == 2)
            gateway.server.max_clients = 1
            for connection in gateway.server.clients:
                connection.arriving = True  # so that none of them may be closed
            async with Client(gateway.server) as three:
                assert (await three.ask()).status == 503
                assert [(await c.ask()).status for c in (one, two)] == [200, 200]

    run(test())


def test_clients_beyond_the_limit_on_descriptors_are_refused() -> None:
    async def test() -> None:
        async with running_gateway("127.0.0.1:1", react=lambda event: []) as (gateway, script):
            gateway.server.max_clients = 2
            async with Client(gateway.server) as one, Client(gateway.server) as two:
                for busy in (one, two):
                    busy.writer.write(busy.request())
                await until(lambda: len(script.of(i.Request)) == 2)
                async with Client(gateway.server) as three:
                    answer = await three.ask()
                assert (answer.status, "retry-after" in answer.headers) == (503, True)
                assert len(script.of(i.Request)) == 2

    run(test())


def test_backend_connections_are_bounded_and_idle_ones_are_closed_for_new_ones() -> None:
    async def test() -> None:
        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, event.cls + 1, 0.0)]
            return send_on(event)

        one, two = Backend(), Backend(lambda message: None)
        async with (
            listening(one.handle) as first,
            listening(two.handle) as second,
            running_gateway(first, second, second, react=react) as (gateway, script),
            Client(gateway.server) as client,
            Client(gateway.server) as other,
        ):
            gateway.host.upstream.max_open = 1
            assert (await client.ask(0)).status == 200
            client.writer.write(client.request(1))  # closes the idle connection to the first backend
            await until(lambda: two.seen)
            await until(lambda: one.open == 0)
            assert (await other.ask(2)).status == 502  # at the limit: it never ran
            assert script.outcomes() == [Outcome.OK, Outcome.FULL]

    run(test())


def test_after_sigterm_new_requests_are_served_and_open_ones_are_finished() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await go.wait()
            writer.write(http_answer(body=b"late"))
            await asyncio.sleep(5)

        backend = Backend()

        def react(event: Any) -> list[i.Action]:
            if isinstance(event, i.Request):
                return [i.Send(event.request, 2 if event.cls == 2 else FIRST, 0.0)]
            return []

        async with (
            listening(backend.handle) as first,
            listening(slow) as second,
            running_gateway(first, second, react=react) as (gateway, script),
            Client(gateway.server) as waiting_client,
            Client(gateway.server) as client,
        ):
            waiting = asyncio.create_task(waiting_client.ask(2))
            await until(lambda: script.of(i.Request))
            drained = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0)
            async with Client(gateway.server) as late:  # new connections are accepted for a while
                assert (await late.ask()).status == 200
            assert (await client.ask()).status == 200
            assert await client.reader.read() == b""  # closed between requests
            go.set()
            answer = await waiting
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await drained

    run(test())


def test_a_request_that_cannot_finish_before_sigkill_is_answered_with_504() -> None:
    async def test() -> None:
        backend = Backend(lambda message: None)
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=lambda e: send_on(e) if isinstance(e, i.Request) else []) as (
                gateway,
                _,
            ),
            Client(gateway.server) as client,
        ):
            waiting = asyncio.create_task(client.ask(2, 60_000))
            await until(lambda: backend.seen)
            gateway.drain_time = 0.7
            await gateway.drain()
            assert (await waiting).status == 504

    run(test())


def test_gateways_use_the_same_name_for_a_lease() -> None:
    """Lease windows are derived from Unix time; a gateway with another clock would lease other names."""

    async def test() -> None:
        tally, backend = Tally(), Backend()
        async with (
            listening(tally.handle) as counter,
            listening(backend.handle) as dial,
            running_gateway(dial, counter=counter) as (gateway, _),
            running_gateway(dial, counter=counter) as (other, _),
            Client(gateway.server) as client,
            Client(other.server) as second,
        ):
            # Shortly after the start of one of this customer's windows of 2 s, so that both are in it.
            edge = mix(5) / 2**64 * 2.0
            await until(lambda: (time.time() + edge) % 2.0 < 1.0)
            assert (await client.ask()).status == 200
            assert (await second.ask()).status == 200
            assert abs(gateway.host.now - time.time()) < 5
            names = [name for _, name, *_ in tally.calls]
            assert len(names) == 2 and names[0] == names[1]

    run(test())


def test_connections_are_closed_after_an_answer_while_there_are_many() -> None:
    """The number of client connections is bounded: idle ones that are kept would exclude other clients."""

    async def test() -> None:
        backend = Backend()
        async with (
            listening(backend.handle) as dial,
            running_gateway(dial, react=send_on) as (gateway, _),
            Client(gateway.server) as one,
            Client(gateway.server) as two,
        ):
            gateway.server.max_clients = 4
            assert "connection" not in (await one.ask()).headers
            async with Client(gateway.server) as three:
                answer = await three.ask()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await three.reader.read() == b""
            await until(lambda: len(gateway.server.clients) == 2)
            assert "connection" not in (await two.ask()).headers

    run(test())


@pytest.mark.parametrize(
    ("seconds", "header"), [(0.0, None), (1e-5, "0.001"), (0.0004, "0.001"), (0.25, "0.250")]
)
def test_a_retry_after_value_is_never_rounded_to_zero(seconds: float, header: str | None) -> None:
    head = encode(Answer(503, retry_after=seconds), False).decode()
    assert (f"Retry-After: {header}\r\n" in head) if header else ("Retry-After" not in head)
