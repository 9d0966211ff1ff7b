"""A server's answers on one connection, byte by byte: whose they are, when they are whole, what they promise."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from comb.word import Route
from forage.gate import Asked, Forager, Told
from hive.front import Carrier
from hive.servers import Line, Reply, Servers, Try, promise_kept
from ivymux.host import Answer
from ivymux.link import READ, Result
from ivymux.metrics import Counts
from orchidhill import interface as i
from orchidhill.interface import Outcome


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


def answer(status: int, id_: str = "me", seal: bool = True, body: bytes = b"body", more: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Hazelspring-Attempt-Id: {id_}\r\nContent-Length: {len(body)}\r\n{more}"
    return (head + ("X-Hazelspring-Server-Seal: s\r\n" if seal else "") + "\r\n").encode() + body


def play(*pieces: bytes, ends: bool = False, unsent: bool = False) -> tuple[list[Result], Wire]:
    """What becomes of one try whose connection brings these pieces."""

    async def run() -> tuple[list[Result], Wire]:
        servers = Servers(0.3, 9.0, 100, Counts())
        from ivymux.config import Address

        servers.place(1, Address("127.0.0.1", 9), 0.0)
        line, wire, results = Line(servers.pools[1]), Wire(), list[Result]()
        line.connection_made(wire)
        line.carry(Try(b"me", b"GET / HTTP/1.1\r\n\r\n", results.append))
        if unsent:
            line.pause_writing()
        for piece in pieces:
            if not wire.closed:
                READ[: len(piece)] = piece
                line.buffer_updated(len(piece))
        if ends or wire.closed:
            line.connection_lost(None)
        await asyncio.sleep(0)
        servers.close()
        return results, wire

    return asyncio.run(run())


def test_its_own_answer_is_passed_on_unchanged_and_the_connection_kept() -> None:
    (reply,), wire = play(answer(200)[:30], answer(200)[30:])
    assert isinstance(reply, Reply) and (reply.outcome, reply.status, reply.body) == (
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
        assert isinstance(reply, Reply) and reply.body == b"body"
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
    ids=["cut short", "no stamp", "garbage", "another's alone", "another's without an end", "silence"],
)
def test_what_is_not_whole_or_not_ours_is_no_answer(pieces: tuple[bytes, ...]) -> None:
    (result,), _ = play(*pieces, ends=True)
    assert result.outcome is Outcome.RESET and not isinstance(result, Reply)


def test_an_answer_too_many_ends_the_connection_and_spoils_nothing() -> None:
    (reply,), wire = play(answer(200) + answer(200, body=b"more"))
    assert isinstance(reply, Reply) and reply.body == b"body" and wire.closed


def test_only_a_servers_word_makes_a_promise() -> None:
    for status in (408, 421, 429, 503):
        (reply,), _ = play(answer(status, seal=False))
        assert isinstance(reply, Reply) and reply.outcome is Outcome.ERROR and promise_kept(reply) == 502
        (reply,), _ = play(answer(status, seal=False, more="X-Hazelspring-Not-Executed: 1\r\n"))
        assert reply.outcome is Outcome.FULL
    (reply,), _ = play(answer(500))
    assert isinstance(reply, Reply) and reply.outcome is Outcome.ERROR and promise_kept(reply) == 500


def test_a_part_that_went_out_may_have_run() -> None:
    (result,), _ = play(ends=True, unsent=True)
    assert result.outcome is Outcome.RESET and not result.outcome.never_ran


def test_a_request_whose_decision_fails_is_answered_at_once_and_promised_truly() -> None:
    class Broken:
        settings, actions = Told(i.Limits(2, True, True, False, True, 1.0, 0.3)), list[Any]()

        def handle(self, now: float, event: object) -> list[Any]:
            raise ZeroDivisionError

    answers: list[Answer] = []

    class Waits:
        def reply(self, answer: Answer) -> None:
            answers.append(answer)

    async def run() -> None:
        counts = Counts()
        servers = Servers(0.3, 9.0, 100, counts)
        carrier = Carrier(cast(Forager, Broken()), servers, counts, lambda call: None)

        def make(request: int) -> Any:
            return Asked(request, cast(Route, None), None, 9.0)

        carrier.request(make, "read_only", 9.0, lambda left, backend: b"", cast(Any, Waits()))
        assert [answer.status for answer in answers] == [503] and not carrier.table
        servers.close()

    asyncio.run(run())
