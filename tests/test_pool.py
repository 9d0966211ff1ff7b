"""Connections to one alert server: which one an attempt gets, and when they end."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.config import parse_address
from hazelspring.gateway.link import SPREAD, Attempt, Link, Result
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.pool import MOST_CONNECTS, Pool
from hazelspring.gateway.upstream import Upstream

from .sockets import Backend, Message, http_answer, listening, run, until


@contextlib.asynccontextmanager
async def upstream(dial: str) -> AsyncIterator[tuple[Upstream, Pool]]:
    made = Upstream(0.5, 30.0, (), 100, Counts())
    made.place(1, parse_address(dial), 0.0)
    try:
        yield made, made.pools[1]
    finally:
        made.close()


def start(made: Upstream, path: str = "/", timeout: float = 10.0) -> list[Result]:
    results: list[Result] = []
    attempt = Attempt(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), results.append)
    made.start(1, timeout, attempt)
    return results


def quiet(message: Message) -> bytes | None:
    return None if "quiet" in message.start else http_answer(body=b"done")


async def three_idle(made: Upstream, pool: Pool) -> list[Link]:
    """Three connections that stand idle, the one that was used last at the end."""
    results = [start(made) for _ in range(3)]
    await until(lambda: all(results))
    await until(lambda: len(pool.idle) == 3)
    return list(pool.idle)


def test_after_a_silent_cut_idle_connections_that_brought_nothing_since_are_not_ridden_on() -> None:
    async def test() -> None:
        backend = Backend(answer=quiet)
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            first, second, last = await three_idle(made, pool)
            silent = start(made, "/quiet", timeout=600.0)  # on the one used last
            attempt = last.attempt
            assert attempt is not None
            proven = start(made)  # on the one before
            await until(lambda: proven)
            await until(lambda: second in pool.idle)
            attempt.give_up(Outcome.TIMEOUT)
            await until(lambda: silent)
            assert silent[0].outcome is Outcome.TIMEOUT
            assert list(pool.idle) == [second]  # it brought an answer meanwhile
            await until(lambda: pool.links == {second})
            assert made.counts.closed == {"suspect": 1, "given_up": 1}
            assert first not in pool.links and backend.opened == 3  # and no new one before it is needed

    run(test())


def test_an_attempt_that_heard_something_or_was_called_off_casts_no_suspicion() -> None:
    async def test() -> None:
        backend = Backend(answer=quiet)
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            for why, heard in ((Outcome.CANCELLED, 0), (Outcome.TIMEOUT, 5)):
                *others, last = await three_idle(made, pool)
                ended = start(made, "/quiet")
                assert last.attempt is not None
                last.head = heard  # bytes of an answer that does not end
                last.attempt.give_up(why)
                await until(ended.copy)
                assert list(pool.idle) == others

    run(test())


def test_idle_connections_age_out_with_a_spread_before_the_server_closes_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        draws = iter([0.0, 0.5, 1.0])
        monkeypatch.setattr("hazelspring.gateway.link.random.random", lambda: next(draws))
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            links = await three_idle(made, pool)
            assert sorted(link.age_part for link in links) == [1 - SPREAD / 2, 1, 1 + SPREAD / 2]
            now = time.monotonic()
            for link in links:
                link.idle_since = now
            left = []
            for part in (0.87, 0.88, 1.01, 1.13):
                pool.retire(now + part * made.keep_idle, made.keep_idle)
                left.append(len(pool.idle))
            assert left == [3, 2, 1, 0] and 1.13 * made.keep_idle < 30.0  # the server closes

    run(test())


def test_the_connection_used_last_is_used_first() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            *_, last = await three_idle(made, pool)
            for _ in range(5):
                results = start(made)
                await until(results.copy)
                assert pool.idle[-1] is last
            assert (made.counts.opened, made.counts.reused) == (3, 5)

    run(test())


class Slow:
    """A loop whose connections come up, or fail, when a test says so."""

    def __init__(self, made: Upstream) -> None:
        self.inner = made.loop
        made.loop = self  # type: ignore[assignment]
        self.pending: list[asyncio.Future[None]] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    async def create_connection(self, make: Any, host: str, port: int) -> Any:
        self.pending.append(self.inner.create_future())
        await self.pending[-1]
        return await self.inner.create_connection(make, host, port)


def test_an_attempt_whose_connection_hangs_rides_on_one_that_comes_free() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            await until(start(made).copy)
            slow = Slow(made)
            first, second = start(made), start(made)  # one rides at once, the other's connection hangs
            await until(lambda: slow.pending)
            await until(lambda: first and second)
            assert [r[0].outcome for r in (first, second)] == [Outcome.OK] * 2
            assert (pool.connecting, backend.opened) == (1, 1) and not pool.waiting
            slow.pending[0].set_result(None)
            await until(lambda: len(pool.idle) == 2)  # it is paid for
            assert pool.connecting == 0 and made.open == 2

    run(test())


def test_connections_on_their_way_to_one_server_are_bounded_and_shared() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            slow = Slow(made)
            made.connect_timeout = 10.0
            results = [start(made) for _ in range(MOST_CONNECTS + 10)]
            await until(lambda: len(slow.pending) == MOST_CONNECTS)
            assert (pool.connecting, made.open) == (MOST_CONNECTS, MOST_CONNECTS)
            slow.pending[0].set_result(None)  # one that comes up serves many
            await until(lambda: sum(map(len, results)) == MOST_CONNECTS + 10)
            assert {r[0].outcome for r in results} == {Outcome.OK} and backend.opened == 1
            assert len(slow.pending) == MOST_CONNECTS

    run(test())


def test_a_connection_that_fails_costs_one_attempt_and_the_others_get_theirs() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            slow = Slow(made)
            made.connect_timeout = 10.0
            results = [start(made) for _ in range(MOST_CONNECTS + 2)]
            await until(lambda: len(slow.pending) == MOST_CONNECTS)
            slow.pending[0].set_exception(ConnectionRefusedError())
            await until(lambda: results[0])  # the one that has waited longest
            assert results[0][0].outcome is Outcome.CONNECT_FAILED
            await until(lambda: len(slow.pending) == MOST_CONNECTS + 1)  # in its place
            assert sum(map(len, results)) == 1
            made.remove(1)  # gone: nothing new goes there
            for future in slow.pending[1:]:
                future.set_exception(ConnectionRefusedError())
            await until(lambda: all(results))
            assert {r[0].outcome for r in results} == {Outcome.CONNECT_FAILED}
            assert (pool.connecting, made.open, len(slow.pending)) == (0, 0, MOST_CONNECTS + 1)

    run(test())


def test_an_attempt_beyond_the_bound_waits_no_longer_than_for_a_connection_of_its_own() -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, upstream(dial) as (made, pool):
            slow = Slow(made)
            made.connect_timeout = 10.0
            for _ in range(MOST_CONNECTS):
                start(made)
            await until(lambda: len(slow.pending) == MOST_CONNECTS)
            made.connect_timeout = 0.01
            last = start(made)
            await until(lambda: last)
            assert last[0].outcome is Outcome.CONNECT_FAILED and len(pool.waiting) == MOST_CONNECTS

    run(test())


def test_an_attempt_given_up_while_it_waits_leaves_its_connection_to_others() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, upstream(dial) as (made, pool):
            slow = Slow(made)
            made.connect_timeout = 10.0
            start(made)
            pool.waiting[0].give_up(Outcome.TIMEOUT)
            other = start(made)
            await until(lambda: len(slow.pending) == 2)
            slow.pending[1].set_exception(ConnectionRefusedError())
            await until(lambda: pool.connecting == 1)
            assert not other  # the other connection is for it now
            slow.pending[0].set_result(None)
            await until(lambda: other)
            assert other[0].outcome is Outcome.OK and backend.opened == 1

    run(test())
