"""What a request and what is held cost, in counts that do not hang on the machine's speed.

Each ceiling is a little above what was measured when it was set; what goes over it costs more than it did.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import socket
import sys
import tracemalloc
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from hazelspring.admission import interface as i
from hazelspring.gateway.config import parse
from hazelspring.gateway.frontdoor import FrontDoor

from .helpers import START, Counter, done, gateway, play, request, sends
from .sockets import Agent, Backend, Client, Tally, config_text, host_line, listening, run, until
from .test_pool import start, upstream
from .test_start import free_port, started

REQUESTS = 200


@contextlib.asynccontextmanager
async def door(backend: Backend, counter: Tally) -> AsyncIterator[FrontDoor]:
    """A front door whose customers have room enough, with its counter there."""
    async with listening(backend.handle) as dial, listening(counter.handle) as tally:
        raw = json.loads(config_text([host_line("s-00000001", dial)], tally))
        raw["settings"]["tariffs"][0] |= {"quota_rate": 1e6, "peak_units": 1e6}
        made = FrontDoor(parse(json.dumps(raw), {}))
        await made.start()
        try:
            yield made
        finally:
            await made.close()


class Calls:
    """Counts the calls of methods that are swapped for the time of a test."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.patch, self.seen = patch, dict[str, int]()

    def of(self, target: Any, name: str, by_type: bool = False) -> None:
        inner: Callable[..., Any] = getattr(target, name)

        def counted(*arguments: Any, **named: Any) -> Any:
            key = type(arguments[1]).__name__ if by_type else f"{target.__name__}.{name}"
            self.seen[key] = self.seen.get(key, 0) + 1
            return inner(*arguments, **named)

        self.patch.setattr(target, name, counted)


def test_one_request_on_kept_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    from hazelspring.gateway.host import Host
    from hazelspring.gateway.link import Link
    from hazelspring.gateway.server import Caller

    async def test() -> None:
        calls = Calls(monkeypatch)  # before the loop keeps the methods of a connection
        calls.of(Host, "step", by_type=True)
        calls.of(Link, "carry")
        calls.of(Link, "buffer_updated")
        calls.of(Caller, "buffer_updated")
        calls.of(Caller, "flush")
        async with door(Backend(), Tally()) as made, Client(made.server) as client:
            text = [client.request() for _ in range(REQUESTS + 20)]
            for one in text[:20]:
                assert (await client.send(one)).status == 200
            calls.seen.clear()
            opened, counted = made.counts.opened, sum(made.counts.counter_calls.values())
            for one in text[20:]:
                assert (await client.send(one)).status == 200
            seen = calls.seen
            assert seen.pop("Request") == seen.pop("Finished") == REQUESTS  # what the module hears
            assert seen.pop("Link.carry") == seen.pop("Link.buffer_updated") == REQUESTS  # a write, a read
            assert seen.pop("Caller.buffer_updated") == seen.pop("Caller.flush") == REQUESTS
            seen.pop("Fired", 0)  # hangs on the time that it takes, not on requests
            assert sum(seen.values()) <= REQUESTS * 0.1  # what the counter answers
            assert made.counts.opened == opened  # no handshake
            assert sum(made.counts.counter_calls.values()) - counted <= REQUESTS * 0.1

    run(test())


def test_served_requests_leave_nothing_behind() -> None:
    async def test() -> None:
        backend = Backend()
        async with door(backend, Tally()) as made, Client(made.server) as client:
            text = [client.request() for _ in range(3 * REQUESTS)]

            async def blocks(some: list[bytes]) -> int:
                for one in some:
                    assert (await client.send(one)).status == 200
                backend.seen.clear()
                gc.collect()
                return sys.getallocatedblocks()

            before = await blocks(text[:REQUESTS])
            after = await blocks(text[REQUESTS:])
            assert after - before <= REQUESTS  # for 400 requests: none is kept
            assert not made.host.table and not made.host.gateway.attempts.jobs

    run(test())


def python_bytes(folder: str) -> int:
    """Bytes that lines of the program hold."""
    gc.collect()
    found = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, f"*/{folder}/*")])
    return sum(trace.size for trace in found.statistics("filename"))


def test_an_idle_client_connection() -> None:
    async def test() -> None:
        async with door(Backend(), Tally()) as made:
            assert made.server.server is not None
            address = made.server.server.sockets[0].getsockname()
            tracemalloc.start()
            before = python_bytes("hazelspring/gateway")
            clients = [socket.create_connection(address) for _ in range(100)]
            await until(lambda: len(made.server.clients) == 100)
            each = (python_bytes("hazelspring/gateway") - before) / 100
            tracemalloc.stop()
            assert 200 < each <= 1800
            for client in clients:
                client.close()

    run(test())


def test_an_idle_server_connection() -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, upstream(dial) as (made, pool):
            await until(start(made).copy)  # what comes with the first is not counted
            tracemalloc.start()
            before = python_bytes("hazelspring/gateway")
            for _ in range(60):
                held = list(pool.idle)
                pool.idle.clear()  # as if in use: the next one needs a connection of its own
                await until(start(made).copy)
                pool.idle.extend(held)
            assert len(pool.idle) == 61
            each = (python_bytes("hazelspring/gateway") - before) / 60
            tracemalloc.stop()
            assert 200 < each <= 3300

    run(test())


def test_an_idle_customer_record() -> None:
    made, counter = gateway(peers_total="100"), Counter()
    for customer in range(50):
        play(made, counter, START, request(customer, customer=customer))
    gc.collect()
    tracemalloc.start()
    before = python_bytes("hazelspring/admission")
    for customer in range(50, 550):
        actions = play(made, counter, START, request(customer, customer=customer))
        for send in sends(actions):
            play(made, counter, START, done(customer, send, i.Outcome.OK, closed=True))
        for one in [a for a in actions if isinstance(a, i.Refuse)]:
            assert one.request == customer
    assert len(made.quotas.leases) == 550
    each = (python_bytes("hazelspring/admission") - before) / 500
    tracemalloc.stop()
    assert 300 < each <= 1500


def test_descriptors_at_rest(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with listening(Backend().handle) as dial, listening(Agent().handle) as agent:
            path.write_text(config_text([host_line("s-00000001", dial)], discovery=agent))
            async with started(path) as process:
                await asyncio.sleep(0.2)
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 24  # 21 when this was set
            async with started(
                path, NODE_MANAGEMENT=f"127.0.0.1:{free_port()}", TMPDIR=str(tmp_path)
            ) as process:
                await asyncio.sleep(0.2)
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 26  # the second address, and a lock

    run(test())
