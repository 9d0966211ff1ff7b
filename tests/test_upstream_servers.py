"""A server's answers on one connection, byte by byte: whose they are, when they are whole, what they promise."""

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
from hazelspring.daemon.client_listener import ClientConnection, ClientListener, RouterHost, encode, flow_head
from hazelspring.daemon.upstream_servers import (
    UpstreamAttempt,
    UpstreamConnection,
    UpstreamReply,
    UpstreamServers,
    client_status,
)
from hazelspring.gateway.caller import BadRequest, Exchange
from hazelspring.gateway.config import Address, parse_address
from hazelspring.gateway.host import Answer
from hazelspring.gateway.link import READ, SMALL, Flow, Result
from hazelspring.gateway.metrics import Counts
from hazelspring.routing.events import RequestArrived
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import RouterSettings

from .sockets import Backend, listening, run, until


class Wire(asyncio.Transport):
    """A transport that notes what is done to it."""

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


class Taken:
    """Takes an answer that is passed on as it comes."""

    def __init__(self) -> None:
        self.flow: Flow | None = None
        self.data, self.whole = b"", False

    def feed(self, data: bytes) -> None:
        self.data += data

    def finish(self, whole: bool) -> None:
        self.whole = whole


def answer(status: int, id_: str = "me", seal: bool = True, body: bytes = b"body", more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Hazelspring-Attempt-Id: {id_}\r\nContent-Length: {len(body)}\r\n{more}"
    return (head + ("X-Hazelspring-Server-Seal: s\r\n" if seal else "") + "\r\n").encode() + body


def play(
    *pieces: bytes, ends: bool = False, unsent: bool = False, why: Outcome | None = None, sink: Any = None
) -> tuple[list[Result], Wire]:
    """What becomes of one try whose connection brings these pieces; it is given up where there is a `why`."""

    def begun(flow: Flow) -> Any:
        sink.flow = flow
        return sink

    async def run() -> tuple[list[Result], Wire]:
        servers = UpstreamServers(0.3, 9.0, 100, Counts())
        servers.place(1, Address("127.0.0.1", 9), 0.0)
        line, wire, results = UpstreamConnection(servers.pools[1]), Wire(), list[Result]()
        line.connection_made(wire)
        attempt = UpstreamAttempt(b"me", b"GET / HTTP/1.1\r\n\r\n", results.append, begun if sink else None)
        line.carry(attempt)
        if unsent:
            line.pause_writing()
        for piece in pieces:
            if not wire.closed:
                READ[: len(piece)] = piece
                line.buffer_updated(len(piece))
        if why is not None:
            attempt.give_up(why)
        if ends or wire.closed:
            line.connection_lost(None)
        await asyncio.sleep(0)
        servers.close()
        return results, wire

    return asyncio.run(run())


def test_its_own_answer_is_passed_on_unchanged_and_the_connection_kept() -> None:
    (reply,), wire = play(answer(200)[:30], answer(200)[30:])
    assert isinstance(reply, UpstreamReply) and (reply.outcome, reply.status, reply.body) == (
        Outcome.OK,
        200,
        b"body",
    )
    assert b"x-hazelspring-server-seal: s" in reply.headers and not wire.closed


def test_a_late_answer_to_another_belongs_to_nobody_and_the_next_one_counts() -> None:
    late = answer(200, "another", body=b"wrong")
    for pieces in (
        (late, answer(200)),
        (late + answer(200),),
        (late[:50], late[50:] + answer(200)[:9], answer(200)[9:]),
    ):
        (reply,), wire = play(*pieces)
        assert isinstance(reply, UpstreamReply) and reply.body == b"body"
        assert wire.closed  # out of step once: not used again


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
    ids=["cut short", "no seal", "garbage", "another's alone", "another's without an end", "silence"],
)
def test_what_is_not_whole_or_not_ours_is_no_answer(pieces: tuple[bytes, ...]) -> None:
    (result,), _ = play(*pieces, ends=True)
    assert result.outcome is Outcome.RESET and not isinstance(result, UpstreamReply)


def test_an_answer_too_many_ends_the_connection_and_spoils_nothing() -> None:
    (reply,), wire = play(answer(200) + answer(200, body=b"more"))
    assert isinstance(reply, UpstreamReply) and reply.body == b"body" and wire.closed


def test_only_the_server_itself_promises_that_nothing_ran() -> None:
    for status in (408, 421, 429, 503):
        (reply,), _ = play(answer(status, seal=False))
        assert (
            isinstance(reply, UpstreamReply)
            and reply.outcome is Outcome.ERROR
            and client_status(reply) == 502
        )
        (reply,), _ = play(answer(status, seal=False, more="X-Hazelspring-Not-Executed: 1\r\n"))
        assert reply.outcome is Outcome.FULL
    (reply,), _ = play(answer(500))
    assert isinstance(reply, UpstreamReply) and reply.outcome is Outcome.ERROR and client_status(reply) == 500


def test_a_part_that_went_out_may_have_run() -> None:
    (result,), _ = play(ends=True, unsent=True)
    assert result.outcome is Outcome.RESET and not result.outcome.never_ran


def pieces(data: bytes) -> list[bytes]:
    """As one read brings them at most."""
    return [data[n : n + SMALL] for n in range(0, len(data), SMALL)]


@pytest.mark.parametrize("status", [200, 201])
def test_nothing_behind_a_large_answer_goes_to_its_client(status: int) -> None:
    body, taken = b"y" * (SMALL + 5000), Taken()
    whole = answer(status, body=body)
    (result,), wire = play(*pieces(whole + answer(200, body=b"more")), sink=taken)
    assert result.outcome is Outcome.OK and wire.closed
    assert (taken.data == body, taken.whole) == (True, True)
    assert taken.flow is not None and flow_head(taken.flow, False, False).startswith(b"HTTP/1.1 %d" % status)


def test_a_failure_too_large_to_hold_is_not_passed_on_as_if_it_were_whole() -> None:
    (result,), _ = play(*pieces(answer(500, body=b"y" * (SMALL + 1))))
    assert result.outcome is Outcome.ERROR and not isinstance(result, UpstreamReply)


@pytest.mark.parametrize("status", [503, 421, 400])
def test_a_refusal_without_an_id_is_the_last_on_its_connection(status: int) -> None:
    """Come again late it would prove of the next request, too, that it never ran."""
    refusal = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
    not_executed = f"X-Hazelspring-{'Answering-Instance: i-9' if status == 421 else 'Not-Executed: 1'}\r\n"
    (result,), wire = play((refusal + not_executed + "\r\n").encode())
    assert result.outcome is Outcome.FULL and wire.closed
    (result,), wire = play((refusal + not_executed + "X-Hazelspring-Attempt-Id: me\r\n\r\n").encode())
    assert result.outcome is Outcome.FULL and not wire.closed


@pytest.mark.parametrize("why", [Outcome.CANCELLED, Outcome.TIMEOUT])
def test_a_part_that_went_out_may_have_run_whyever_it_was_given_up(why: Outcome) -> None:
    (result,), wire = play(unsent=True, why=why)
    assert wire.closed and not result.outcome.never_ran


@pytest.mark.parametrize(("tries", "status"), [(0, 408), (1, 502)])
def test_a_body_that_never_came_whole_is_no_promise_once_a_part_was_passed_on(
    tries: int, status: int
) -> None:
    host = SimpleNamespace(left=lambda request: None, counts=Counts())
    loop = SimpleNamespace(call_later=lambda *_: None)
    listener = SimpleNamespace(held=0, host=host, loop=loop, encode=encode, keeps_none=lambda: False)
    connection, wire = ClientConnection(cast(Any, listener)), Wire()
    connection.transport = wire
    exchange = connection.exchange = Exchange(connection, keep_alive=True)
    exchange.request = cast(Any, SimpleNamespace(sent=tries))
    connection.pending.append(exchange)
    connection.reject(BadRequest("the request did not come whole", 408))
    assert wire.sent.startswith(b"HTTP/1.1 %d " % status) and wire.closed


@pytest.mark.parametrize(("path", "key", "status"), [("/new/a", "key", 404), ("/old/a", "new", 401)])
def test_what_a_node_does_not_know_is_denied_only_while_it_hears_the_core(
    path: str, key: str, status: int
) -> None:
    spec = {"hostName": "h", "pathPrefix": "/old/", "routeKind": "read_only", "service": "s"}
    entries = [("routeTable", "r", spec), ("tenantTable", "t", {"accessKeys": ["key"]})]
    rows = [{"resourceKind": k, "metadata": {"name": n}, "specification": s} for k, n, s in entries]
    text = f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Hazelspring-Attempt-Id: a\r\nAuthorization: Bearer {key}\r\n\r\n"

    async def ask(fresh: bool) -> bytes:
        host = SimpleNamespace(left=lambda request: None, counts=Counts())
        listener = ClientListener(Address("127.0.0.1", 0), cast(Any, host), 9, lambda: fresh)
        listener.use_configuration(
            parse_configuration(json.dumps({"versionNumber": "r1", "resourceList": rows}).encode())
        )
        connection, wire = ClientConnection(listener), Wire()
        connection.connection_made(wire)
        connection.parser.feed_data(text.encode())
        return bytes(wire.sent)

    assert asyncio.run(ask(True)).startswith(b"HTTP/1.1 %d " % status)
    unsure = asyncio.run(ask(False))
    assert unsure.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in unsure


def test_a_connection_stands_idle_no_longer_than_its_server_says() -> None:
    async def run() -> None:
        servers = UpstreamServers(0.3, 9.0, 100, Counts())
        line = UpstreamConnection(cast(Any, SimpleNamespace(owner=servers)))
        before = line.age_part
        line.on_header(b"Keep-Alive", b"max=5, timeout=2")
        assert line.age_part * servers.keep_idle <= 1.0 < before * servers.keep_idle
        line.on_header(b"Keep-Alive", b"timeout=60")
        line.on_header(b"Keep-Alive", b"timeout=soon")
        assert line.age_part * servers.keep_idle <= 1.0
        servers.close()

    asyncio.run(run())


def test_a_request_whose_decision_fails_is_answered_at_once_and_promised_truly() -> None:
    class Broken:
        settings, actions = RouterSettings(i.Limits(2, True, True, False, True, 1.0, 0.3)), list[Any]()

        def handle(self, now: float, event: object) -> list[Any]:
            raise ZeroDivisionError

    answers: list[Answer] = []

    class Waits:
        def reply(self, answer: Answer) -> None:
            answers.append(answer)

    async def run() -> None:
        counts = Counts()
        servers = UpstreamServers(0.3, 9.0, 100, counts)
        host = RouterHost(cast(RequestRouter, Broken()), servers, counts, lambda call: None)

        def make(request: int) -> Any:
            return RequestArrived(request, cast(Route, None), None, 9.0)

        host.request(make, "read_only", 9.0, lambda left, backend: b"", cast(Any, Waits()))
        assert [answer.status for answer in answers] == [503] and not host.table
        servers.close()

    asyncio.run(run())


def test_when_the_process_ends_only_what_no_server_was_offered_is_promised() -> None:
    class Sends:
        """Offers its second request to a server."""

        settings, actions = RouterSettings(i.Limits(2, True, True, False, True, 1.0, 0.3)), list[Any]()

        def handle(self, now: float, event: object) -> list[Any]:
            return [i.Send(2, 1, 0.0)] if isinstance(event, RequestArrived) and event.request == 2 else []

    answers: dict[str, int] = {}

    async def run() -> None:
        counts = Counts()
        servers = UpstreamServers(0.3, 9.0, 100, counts)
        servers.place(1, Address("127.0.0.1", 9), 0.0)
        line = UpstreamConnection(servers.pools[1])
        line.connection_made(Wire())
        servers.pools[1].put(line)
        host = RouterHost(cast(RequestRouter, Sends()), servers, counts, lambda call: None)

        def make(request: int) -> Any:
            return RequestArrived(request, cast(Route, None), None, 9.0)

        for name in ("held", "offered"):
            caller = SimpleNamespace(reply=lambda final, name=name: answers.update({name: final.status}))
            host.request(make, "mutating", 9.0, lambda left, backend: b"x", cast(Any, caller))
        host.answer_all()
        assert host.waiting == 0 and line.why == "given_up"
        servers.close()

    asyncio.run(run())
    assert answers == {"held": 503, "offered": 504}


@pytest.mark.parametrize("end", [UpstreamServers.leave, UpstreamServers.remove])
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_server_that_leaves_meanwhile(
    end: Callable[[UpstreamServers, int], None],
) -> None:
    """It never ran there, so it may go elsewhere at once; what was sent before goes on to its end."""

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
            assert servers.late_requests == 0
            servers.close()

    run(test())
