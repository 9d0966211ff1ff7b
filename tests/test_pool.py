"""The connection pool of one alert server: which connection an attempt uses, and when connections end."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.config import parse_address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.pool import MAX_CONNECTS, Pool
from hazelspring.gateway.server_connection import IDLE_AGE_SPREAD, Attempt, Link, Result
from hazelspring.gateway.upstream import Upstream

from .sockets import Backend, Message, http_answer, listening, run, until


@contextlib.asynccontextmanager
async def upstream(address: str) -> AsyncIterator[tuple[Upstream, Pool]]:
    servers = Upstream(0.5, 30.0, (), 100, Counts())
    servers.place(1, parse_address(address), 0.0)
    try:
        yield servers, servers.pools[1]
    finally:
        servers.close()


def start(servers: Upstream, path: str = "/", timeout: float = 10.0) -> list[Result]:
    results: list[Result] = []
    attempt = Attempt(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), results.append)
    servers.start(1, timeout, attempt)
    return results


def quiet(message: Message) -> bytes | None:
    return None if "quiet" in message.start else http_answer(body=b"done")


async def three_idle(servers: Upstream, pool: Pool) -> list[Link]:
    """Return three idle connections, with the most recently used one last."""
    results = [start(servers) for _ in range(3)]
    await until(lambda: all(results))
    await until(lambda: len(pool.idle) == 3)
    return list(pool.idle)


def test_after_a_time_out_idle_connections_that_received_nothing_since_are_not_reused() -> None:
    async def test() -> None:
        backend = Backend(answer=quiet)
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            first, second, last = await three_idle(servers, pool)
            silent = start(servers, "/quiet", timeout=600.0)  # on the connection that was used last
            attempt = last.attempt
            assert attempt is not None
            proven = start(servers)  # on the connection that was used before it
            await until(lambda: proven)
            await until(lambda: second in pool.idle)
            attempt.give_up(Outcome.TIMEOUT)
            await until(lambda: silent)
            assert silent[0].outcome is Outcome.TIMEOUT
            assert list(pool.idle) == [second]  # it received an answer meanwhile
            await until(lambda: pool.links == {second})
            assert servers.counts.connections_closed == {"suspect": 1, "given_up": 1}
            # No new connection is opened before it is needed.
            assert first not in pool.links and backend.opened == 3

    run(test())


def test_a_cancelled_attempt_or_a_time_out_after_part_of_an_answer_ends_no_idle_connection() -> None:
    async def test() -> None:
        backend = Backend(answer=quiet)
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            for why, received in ((Outcome.CANCELLED, 0), (Outcome.TIMEOUT, 5)):
                *others, last = await three_idle(servers, pool)
                ended = start(servers, "/quiet")
                assert last.attempt is not None
                last.head = received  # bytes of an answer that does not end
                last.attempt.give_up(why)
                await until(ended.copy)
                assert list(pool.idle) == others

    run(test())


def test_idle_connections_age_out_with_a_spread_before_the_server_closes_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        draws = iter([0.0, 0.5, 1.0])
        monkeypatch.setattr("hazelspring.gateway.server_connection.random.random", lambda: next(draws))
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            links = await three_idle(servers, pool)
            assert sorted(link.age_part for link in links) == [
                1 - IDLE_AGE_SPREAD / 2,
                1,
                1 + IDLE_AGE_SPREAD / 2,
            ]
            now = time.monotonic()
            for link in links:
                link.idle_since = now
            remaining = []
            for part in (0.87, 0.88, 1.01, 1.13):
                pool.retire(now + part * servers.keep_idle, servers.keep_idle)
                remaining.append(len(pool.idle))
            # The server closes idle connections after 30 s.
            assert remaining == [3, 2, 1, 0] and 1.13 * servers.keep_idle < 30.0

    run(test())


def test_the_most_recently_used_connection_is_used_first() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            *_, last = await three_idle(servers, pool)
            for _ in range(5):
                results = start(servers)
                await until(results.copy)
                assert pool.idle[-1] is last
            assert (servers.counts.connections_opened, servers.counts.connections_reused) == (3, 5)

    run(test())


class ManualLoop:
    """A loop on which a test decides when a connection is opened or fails, by the futures in `pending`."""

    def __init__(self, servers: Upstream) -> None:
        self.inner = servers.loop
        servers.loop = self  # type: ignore[assignment]
        self.pending: list[asyncio.Future[None]] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    async def create_connection(self, make: Any, host: str, port: int) -> Any:
        self.pending.append(self.inner.create_future())
        await self.pending[-1]
        return await self.inner.create_connection(make, host, port)


def test_an_attempt_whose_connection_hangs_uses_one_that_becomes_free() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            await until(start(servers).copy)
            loop = ManualLoop(servers)
            # One uses the idle connection; the connection that the other opens hangs.
            first, second = start(servers), start(servers)
            await until(lambda: loop.pending)
            await until(lambda: first and second)
            assert [r[0].outcome for r in (first, second)] == [Outcome.OK] * 2
            assert (pool.connecting, backend.opened) == (1, 1) and not pool.waiting
            loop.pending[0].set_result(None)
            await until(lambda: len(pool.idle) == 2)  # a connection that opens late is kept
            assert pool.connecting == 0 and servers.open == 2

    run(test())


def test_connections_being_opened_to_one_server_are_limited_and_shared() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            loop = ManualLoop(servers)
            servers.connect_timeout = 10.0
            results = [start(servers) for _ in range(MAX_CONNECTS + 10)]
            await until(lambda: len(loop.pending) == MAX_CONNECTS)
            assert (pool.connecting, servers.open) == (MAX_CONNECTS, MAX_CONNECTS)
            loop.pending[0].set_result(None)  # one connection that opens serves many attempts
            await until(lambda: sum(map(len, results)) == MAX_CONNECTS + 10)
            assert {r[0].outcome for r in results} == {Outcome.OK} and backend.opened == 1
            assert len(loop.pending) == MAX_CONNECTS

    run(test())


def test_a_failed_connection_fails_one_attempt_and_is_replaced_for_the_others() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            loop = ManualLoop(servers)
            servers.connect_timeout = 10.0
            results = [start(servers) for _ in range(MAX_CONNECTS + 2)]
            await until(lambda: len(loop.pending) == MAX_CONNECTS)
            loop.pending[0].set_exception(ConnectionRefusedError())
            await until(lambda: results[0])  # the attempt that has waited longest
            assert results[0][0].outcome is Outcome.CONNECT_FAILED
            await until(lambda: len(loop.pending) == MAX_CONNECTS + 1)  # another is opened in its place
            assert sum(map(len, results)) == 1
            servers.remove(1)  # no new connections are opened to a removed backend
            for future in loop.pending[1:]:
                future.set_exception(ConnectionRefusedError())
            await until(lambda: all(results))
            assert {r[0].outcome for r in results} == {Outcome.CONNECT_FAILED}
            assert (pool.connecting, servers.open, len(loop.pending)) == (0, 0, MAX_CONNECTS + 1)

    run(test())


def test_an_attempt_beyond_the_limit_waits_no_longer_than_the_connect_timeout() -> None:
    async def test() -> None:
        async with listening(Backend().handle) as address, upstream(address) as (servers, pool):
            loop = ManualLoop(servers)
            servers.connect_timeout = 10.0
            for _ in range(MAX_CONNECTS):
                start(servers)
            await until(lambda: len(loop.pending) == MAX_CONNECTS)
            servers.connect_timeout = 0.01
            last = start(servers)
            await until(lambda: last)
            assert last[0].outcome is Outcome.CONNECT_FAILED and len(pool.waiting) == MAX_CONNECTS

    run(test())


def test_an_attempt_given_up_while_it_waits_leaves_its_connection_to_others() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as address, upstream(address) as (servers, pool):
            loop = ManualLoop(servers)
            servers.connect_timeout = 10.0
            start(servers)
            pool.waiting[0].give_up(Outcome.TIMEOUT)
            other = start(servers)
            await until(lambda: len(loop.pending) == 2)
            loop.pending[1].set_exception(ConnectionRefusedError())
            await until(lambda: pool.connecting == 1)
            assert not other  # it waits for the connection that is still being opened
            loop.pending[0].set_result(None)
            await until(lambda: other)
            assert other[0].outcome is Outcome.OK and backend.opened == 1

    run(test())
