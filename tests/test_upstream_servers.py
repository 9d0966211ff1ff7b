"""Which attempt a server's answer belongs to, whether it is complete, and what it proves."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.configuration.model import Route, parse_configuration
from hazelspring.daemon.client_listener import (
    ClientConnection,
    ClientListener,
    RouterHost,
    encode,
    stream_head,
)
from hazelspring.daemon.upstream_servers import (
    UpstreamAttempt,
    UpstreamConnection,
    UpstreamReply,
    UpstreamServers,
    client_status,
)
from hazelspring.gateway.client_connection import BadRequest, Exchange
from hazelspring.gateway.config import Address, parse_address
from hazelspring.gateway.host import Answer
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY, READ_BUFFER, Result, StreamedAnswer
from hazelspring.routing.events import RequestArrived
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import RouterSettings

from .sockets import Backend, listening, run, until


class Wire(asyncio.Transport):
    """A transport that records what is written, and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.sent, self.closed = b"", False

    def write(self, data: Any) -> None:
        self.sent += bytes(data)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def write_eof(self) -> None:
        self.closed = True


class RecordingSink:
    """Records an answer that is streamed to it."""

    def __init__(self) -> None:
        self.stream: StreamedAnswer | None = None
        self.data, self.whole = b"", False

    def feed(self, data: bytes) -> None:
        self.data += data

    def finish(self, whole: bool) -> None:
        self.whole = whole


def answer(status: int, id_: str = "me", seal: bool = True, body: bytes = b"body", more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Hazelspring-Attempt-Id: {id_}\r\nContent-Length: {len(body)}\r\n{more}"
    return (head + ("X-Hazelspring-Server-Seal: s\r\n" if seal else "") + "\r\n").encode() + body


def run_attempt(
    *pieces: bytes,
    connection_ends: bool = False,
    writing_paused: bool = False,
    end_reason: Outcome | None = None,
    sink: Any = None,
) -> tuple[list[Result], Wire]:
    """Return the results and the transport of one attempt whose connection receives these pieces.

    With an `end_reason` the attempt is ended after that.
    """

    def begun(stream: StreamedAnswer) -> Any:
        sink.stream = stream
        return sink

    async def run() -> tuple[list[Result], Wire]:
        servers = UpstreamServers(0.3, 9.0, 100, Counts())
        servers.place(1, Address("127.0.0.1", 9), 0.0)
        connection, wire, results = UpstreamConnection(servers.pools[1]), Wire(), list[Result]()
        connection.connection_made(wire)
        attempt = UpstreamAttempt(b"me", b"GET / HTTP/1.1\r\n\r\n", results.append, begun if sink else None)
        connection.carry(attempt)
        if writing_paused:
            connection.pause_writing()
        for piece in pieces:
            if not wire.closed:
                READ_BUFFER[: len(piece)] = piece
                connection.buffer_updated(len(piece))
        if end_reason is not None:
            attempt.give_up(end_reason)
        if connection_ends or wire.closed:
            connection.connection_lost(None)
        await asyncio.sleep(0)
        servers.close()
        return results, wire

    return asyncio.run(run())


def test_an_answer_with_the_attempts_id_is_forwarded_unchanged_and_its_connection_stays_open() -> None:
    (reply,), wire = run_attempt(answer(200)[:30], answer(200)[30:])
    assert isinstance(reply, UpstreamReply) and (reply.outcome, reply.status, reply.body) == (
        Outcome.OK,
        200,
        b"body",
    )
    assert b"x-hazelspring-server-seal: s" in reply.headers and not wire.closed


def test_a_late_answer_with_another_id_is_discarded_and_the_next_one_is_used() -> None:
    late = answer(200, "another", body=b"wrong")
    for pieces in (
        (late, answer(200)),
        (late + answer(200),),
        (late[:50], late[50:] + answer(200)[:9], answer(200)[9:]),
    ):
        (reply,), wire = run_attempt(*pieces)
        assert isinstance(reply, UpstreamReply) and reply.body == b"body"
        assert wire.closed  # not reused after a foreign answer


@pytest.mark.parametrize(
    "pieces",
    [
        (answer(200)[:-1],),
        (answer(200, seal=False),),
        (b"garbage that is no answer\r\n\r\n",),
        (answer(200, "another"),),
        (answer(200, "another").replace(b"Content-Length: 4\r\n", b""),),
        (),
    ],
    ids=["cut short", "no seal", "garbage", "only another id", "another id without framing", "no data"],
)
def test_an_incomplete_or_foreign_answer_ends_the_attempt_with_a_reset(pieces: tuple[bytes, ...]) -> None:
    (result,), _ = run_attempt(*pieces, connection_ends=True)
    assert result.outcome is Outcome.RESET and not isinstance(result, UpstreamReply)


def test_a_surplus_answer_ends_the_connection_and_leaves_the_first_one_intact() -> None:
    (reply,), wire = run_attempt(answer(200) + answer(200, body=b"more"))
    assert isinstance(reply, UpstreamReply) and reply.body == b"body" and wire.closed


def test_only_a_servers_header_states_that_its_request_has_not_run() -> None:
    for status in (408, 421, 429, 503):
        (reply,), _ = run_attempt(answer(status, seal=False))
        assert (
            isinstance(reply, UpstreamReply)
            and reply.outcome is Outcome.ERROR
            and client_status(reply) == 502
        )
        (reply,), _ = run_attempt(answer(status, seal=False, more="X-Hazelspring-Not-Executed: 1\r\n"))
        assert reply.outcome is Outcome.FULL
    (reply,), _ = run_attempt(answer(500))
    assert isinstance(reply, UpstreamReply) and reply.outcome is Outcome.ERROR and client_status(reply) == 500


def test_a_request_that_was_sent_in_part_may_have_run() -> None:
    (result,), _ = run_attempt(connection_ends=True, writing_paused=True)
    assert result.outcome is Outcome.RESET and not result.outcome.never_ran


def pieces(data: bytes) -> list[bytes]:
    """Split data into pieces as large as one read returns at most."""
    return [data[n : n + MAX_BUFFERED_BODY] for n in range(0, len(data), MAX_BUFFERED_BODY)]


@pytest.mark.parametrize("status", [200, 201])
def test_data_after_a_large_answer_is_not_forwarded_to_its_client(status: int) -> None:
    body, sink = b"y" * (MAX_BUFFERED_BODY + 5000), RecordingSink()
    whole = answer(status, body=body)
    (result,), wire = run_attempt(*pieces(whole + answer(200, body=b"more")), sink=sink)
    assert result.outcome is Outcome.OK and wire.closed
    assert (sink.data == body, sink.whole) == (True, True)
    assert sink.stream is not None and stream_head(sink.stream, False, False).startswith(
        b"HTTP/1.1 %d" % status
    )


def test_a_failure_too_large_to_buffer_is_not_forwarded_as_complete() -> None:
    (result,), _ = run_attempt(*pieces(answer(500, body=b"y" * (MAX_BUFFERED_BODY + 1))))
    assert result.outcome is Outcome.ERROR and not isinstance(result, UpstreamReply)


@pytest.mark.parametrize("status", [503, 421, 400])
def test_a_connection_is_closed_after_a_refusal_without_an_id(status: int) -> None:
    """A late copy of it would also state of the next request that it has not run."""
    refusal = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
    not_executed = f"X-Hazelspring-{'Answering-Instance: i-9' if status == 421 else 'Not-Executed: 1'}\r\n"
    (result,), wire = run_attempt((refusal + not_executed + "\r\n").encode())
    assert result.outcome is Outcome.FULL and wire.closed
    (result,), wire = run_attempt((refusal + not_executed + "X-Hazelspring-Attempt-Id: me\r\n\r\n").encode())
    assert result.outcome is Outcome.FULL and not wire.closed


@pytest.mark.parametrize("end_reason", [Outcome.CANCELLED, Outcome.TIMEOUT])
def test_a_request_that_was_sent_in_part_may_have_run_for_whatever_reason_its_attempt_ends(
    end_reason: Outcome,
) -> None:
    (result,), wire = run_attempt(writing_paused=True, end_reason=end_reason)
    assert wire.closed and not result.outcome.never_ran


@pytest.mark.parametrize(("attempts_sent", "status"), [(0, 408), (1, 502)])
def test_an_incomplete_body_is_answered_with_502_once_a_part_was_sent_to_a_server(
    attempts_sent: int, status: int
) -> None:
    host = SimpleNamespace(on_client_disconnected=lambda request: None, counts=Counts())
    loop = SimpleNamespace(call_later=lambda *_: None)
    listener = SimpleNamespace(
        buffered_bytes=0, host=host, loop=loop, encode=encode, closes_after_answer=lambda: False
    )
    connection, wire = ClientConnection(cast(Any, listener)), Wire()
    connection.transport = wire
    exchange = connection.exchange = Exchange(connection, keep_alive=True)
    exchange.request = cast(Any, SimpleNamespace(sent=attempts_sent))
    connection.pending.append(exchange)
    connection.reject(BadRequest("the request body is incomplete", 408))
    assert wire.sent.startswith(b"HTTP/1.1 %d " % status) and wire.closed


@pytest.mark.parametrize(("path", "key", "status"), [("/new/a", "key", 404), ("/old/a", "new", 401)])
def test_an_unknown_route_or_key_is_denied_only_while_the_configuration_is_confirmed(
    path: str, key: str, status: int
) -> None:
    spec = {"hostName": "h", "pathPrefix": "/old/", "routeKind": "read_only", "service": "s"}
    entries = [("routeTable", "r", spec), ("tenantTable", "t", {"accessKeys": ["key"]})]
    rows = [{"resourceKind": k, "metadata": {"name": n}, "specification": s} for k, n, s in entries]
    text = (
        f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Hazelspring-Attempt-Id: a\r\n"
        f"Authorization: Bearer {key}\r\n\r\n"
    )

    async def respond(confirmed: bool) -> bytes:
        host = SimpleNamespace(on_client_disconnected=lambda request: None, counts=Counts())
        listener = ClientListener(Address("127.0.0.1", 0), cast(Any, host), 9, lambda: confirmed)
        listener.use_configuration(
            parse_configuration(json.dumps({"versionNumber": "r1", "resourceList": rows}).encode())
        )
        connection, wire = ClientConnection(listener), Wire()
        connection.connection_made(wire)
        connection.parser.feed_data(text.encode())
        return bytes(wire.sent)

    assert asyncio.run(respond(True)).startswith(b"HTTP/1.1 %d " % status)
    unconfirmed = asyncio.run(respond(False))
    assert unconfirmed.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in unconfirmed


def test_a_connection_is_idle_no_longer_than_its_server_allows() -> None:
    async def run() -> None:
        servers = UpstreamServers(0.3, 9.0, 100, Counts())
        connection = UpstreamConnection(cast(Any, SimpleNamespace(owner=servers)))
        before = connection.age_part
        connection.on_header(b"Keep-Alive", b"max=5, timeout=2")
        assert connection.age_part * servers.keep_idle <= 1.0 < before * servers.keep_idle
        connection.on_header(b"Keep-Alive", b"timeout=60")
        connection.on_header(b"Keep-Alive", b"timeout=soon")
        assert connection.age_part * servers.keep_idle <= 1.0
        servers.close()

    asyncio.run(run())


def test_a_request_whose_routing_raises_an_error_is_answered_with_503_at_once() -> None:
    class FailingRouter:
        settings, actions = RouterSettings(i.Limits(2, True, True, False, True, 1.0, 0.3)), list[Any]()

        def handle(self, now: float, event: object) -> list[Any]:
            raise ZeroDivisionError

    answers: list[Answer] = []

    class RecordingCaller:
        def reply(self, answer: Answer) -> None:
            answers.append(answer)

    async def run() -> None:
        counts = Counts()
        servers = UpstreamServers(0.3, 9.0, 100, counts)
        host = RouterHost(cast(RequestRouter, FailingRouter()), servers, counts, lambda call: None)

        def make(request: int) -> Any:
            return RequestArrived(request, cast(Route, None), None, 9.0)

        host.request(make, "read_only", 9.0, lambda left, backend: b"", cast(Any, RecordingCaller()))
        assert [answer.status for answer in answers] == [503] and not host.open_requests
        servers.close()

    asyncio.run(run())


def test_when_the_process_ends_only_requests_sent_to_no_server_get_a_503() -> None:
    class SendingRouter:
        """Sends its second request to a server."""

        settings, actions = RouterSettings(i.Limits(2, True, True, False, True, 1.0, 0.3)), list[Any]()

        def handle(self, now: float, event: object) -> list[Any]:
            return [i.Send(2, 1, 0.0)] if isinstance(event, RequestArrived) and event.request == 2 else []

    answers: dict[str, int] = {}

    async def run() -> None:
        counts = Counts()
        servers = UpstreamServers(0.3, 9.0, 100, counts)
        servers.place(1, Address("127.0.0.1", 9), 0.0)
        connection = UpstreamConnection(servers.pools[1])
        connection.connection_made(Wire())
        servers.pools[1].put(connection)
        host = RouterHost(cast(RequestRouter, SendingRouter()), servers, counts, lambda call: None)

        def make(request: int) -> Any:
            return RequestArrived(request, cast(Route, None), None, 9.0)

        for name in ("queued", "sent"):
            caller = SimpleNamespace(reply=lambda final, name=name: answers.update({name: final.status}))
            host.request(make, "mutating", 9.0, lambda left, backend: b"x", cast(Any, caller))
        host.answer_all()
        assert host.waiting == 0 and connection.why == "given_up"
        servers.close()

    asyncio.run(run())
    assert answers == {"queued": 503, "sent": 504}


@pytest.mark.parametrize("end", [UpstreamServers.leave, UpstreamServers.remove])
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_server_that_leaves_meanwhile(
    end: Callable[[UpstreamServers, int], None],
) -> None:
    """It never ran there, so it may be sent elsewhere at once; a request sent earlier continues."""

    async def test() -> None:
        backend = Backend(answer=lambda _message: None)
        async with listening(backend.handle) as dial:
            servers = UpstreamServers(5.0, 30.0, 100, Counts())
            servers.place(1, parse_address(dial), 0.0)
            results: list[Result] = []
            sent, waiting = (
                UpstreamAttempt(b"me", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", results.append) for _ in range(2)
            )
            servers.start(1, 600.0, sent)
            await until(lambda: sent.link is not None)
            servers.start(1, 600.0, waiting)
            pool = servers.pools[1]
            end(servers, 1)
            await until(lambda: pool.connecting == 0)
            assert waiting.link is None and waiting.over and results[0].outcome.never_ran
            assert sent.link is not None and not sent.over
            assert servers.requests_after_leave == 0
            servers.close()

    run(test())
