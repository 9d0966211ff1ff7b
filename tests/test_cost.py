"""Cost of a request and of idle state, as counts that do not depend on the machine's speed.

Each bound is slightly above the cost when it was set; exceeding it means that the cost has grown.
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
from hazelspring.gateway.gateway_process import GatewayProcess

from .helpers import START, Counter, done, gateway, play, request, sends
from .sockets import Agent, Backend, Client, Tally, config_text, host_line, listening, run, until
from .test_pool import start, upstream
from .test_start import free_port, started

REQUESTS = 200


@contextlib.asynccontextmanager
async def running_gateway(backend: Backend, counter: Tally) -> AsyncIterator[GatewayProcess]:
    """A running gateway with a counter, whose customers have ample quota."""
    async with listening(backend.handle) as dial, listening(counter.handle) as tally:
        raw = json.loads(config_text([host_line("s-00000001", dial)], tally))
        raw["settings"]["tariffs"][0] |= {"quota_rate": 1e6, "peak_units": 1e6}
        running = GatewayProcess(parse(json.dumps(raw), {}))
        await running.start()
        try:
            yield running
        finally:
            await running.close()


class Calls:
    """Counts calls of methods, which it replaces for the duration of a test."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.patch, self.count = patch, dict[str, int]()

    def replace(self, target: Any, name: str, by_type: bool = False) -> None:
        inner: Callable[..., Any] = getattr(target, name)

        def counted(*arguments: Any, **named: Any) -> Any:
            key = type(arguments[1]).__name__ if by_type else f"{target.__name__}.{name}"
            self.count[key] = self.count.get(key, 0) + 1
            return inner(*arguments, **named)

        self.patch.setattr(target, name, counted)


def test_a_request_on_open_connections_costs_one_read_and_one_write_per_side(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from hazelspring.gateway.host import Host
    from hazelspring.gateway.server import ClientConnection
    from hazelspring.gateway.server_connection import Link

    async def test() -> None:
        calls = Calls(monkeypatch)  # before the event loop stores a connection's methods
        calls.replace(Host, "step", by_type=True)
        calls.replace(Link, "carry")
        calls.replace(Link, "buffer_updated")
        calls.replace(ClientConnection, "buffer_updated")
        calls.replace(ClientConnection, "flush")
        async with running_gateway(Backend(), Tally()) as running, Client(running.server) as client:
            text = [client.request() for _ in range(REQUESTS + 20)]
            for one in text[:20]:
                assert (await client.send(one)).status == 200
            calls.count.clear()
            opened, counted = running.counts.connections_opened, sum(running.counts.counter_calls.values())
            for one in text[20:]:
                assert (await client.send(one)).status == 200
            count = calls.count
            assert count.pop("Request") == count.pop("Finished") == REQUESTS  # events passed on
            assert count.pop("Link.carry") == count.pop("Link.buffer_updated") == REQUESTS  # a write, a read
            assert (
                count.pop("ClientConnection.buffer_updated")
                == count.pop("ClientConnection.flush")
                == REQUESTS
            )
            count.pop("Fired", 0)  # depends on elapsed time, not on the number of requests
            assert sum(count.values()) <= REQUESTS * 0.1  # events with results of counter calls
            assert running.counts.connections_opened == opened  # no handshake
            assert sum(running.counts.counter_calls.values()) - counted <= REQUESTS * 0.1

    run(test())


def test_served_requests_do_not_accumulate_memory() -> None:
    async def test() -> None:
        backend = Backend()
        async with running_gateway(backend, Tally()) as running, Client(running.server) as client:
            text = [client.request() for _ in range(3 * REQUESTS)]

            async def blocks(some: list[bytes]) -> int:
                for one in some:
                    assert (await client.send(one)).status == 200
                backend.seen.clear()
                gc.collect()
                return sys.getallocatedblocks()

            before = await blocks(text[:REQUESTS])
            after = await blocks(text[REQUESTS:])
            assert after - before <= REQUESTS  # for 400 requests, so no object per request remains
            assert not running.host.open_requests and not running.host.gateway.attempts.jobs

    run(test())


def python_bytes(folder: str) -> int:
    """Return the bytes allocated by code in the folder and not yet freed."""
    gc.collect()
    found = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, f"*/{folder}/*")])
    return sum(trace.size for trace in found.statistics("filename"))


def test_memory_of_an_idle_client_connection() -> None:
    async def test() -> None:
        async with running_gateway(Backend(), Tally()) as running:
            assert running.server.server is not None
            address = running.server.server.sockets[0].getsockname()
            tracemalloc.start()
            before = python_bytes("hazelspring/gateway")
            clients = [socket.create_connection(address) for _ in range(100)]
            await until(lambda: len(running.server.clients) == 100)
            bytes_each = (python_bytes("hazelspring/gateway") - before) / 100
            tracemalloc.stop()
            assert 200 < bytes_each <= 1800
            for client in clients:
                client.close()

    run(test())


def test_memory_of_an_idle_server_connection() -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, upstream(dial) as (servers, pool):
            await until(start(servers).copy)  # excludes what only the first connection allocates
            tracemalloc.start()
            before = python_bytes("hazelspring/gateway")
            for _ in range(60):
                idle = list(pool.idle)
                pool.idle.clear()  # as if in use, so that the next request opens a connection
                await until(start(servers).copy)
                pool.idle.extend(idle)
            assert len(pool.idle) == 61
            bytes_each = (python_bytes("hazelspring/gateway") - before) / 60
            tracemalloc.stop()
            assert 200 < bytes_each <= 3300

    run(test())


def test_memory_of_an_idle_customer_record() -> None:
    admission, counter = gateway(peers_total="100"), Counter()
    for customer in range(50):
        play(admission, counter, START, request(customer, customer=customer))
    gc.collect()
    tracemalloc.start()
    before = python_bytes("hazelspring/admission")
    for customer in range(50, 550):
        actions = play(admission, counter, START, request(customer, customer=customer))
        for send in sends(actions):
            play(admission, counter, START, done(customer, send, i.Outcome.OK, closed=True))
        for one in [a for a in actions if isinstance(a, i.Refuse)]:
            assert one.request == customer
    assert len(admission.quotas.leases) == 550
    bytes_each = (python_bytes("hazelspring/admission") - before) / 500
    tracemalloc.stop()
    assert 300 < bytes_each <= 1500


def test_descriptors_of_an_idle_process(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with listening(Backend().handle) as dial, listening(Agent().handle) as agent:
            path.write_text(config_text([host_line("s-00000001", dial)], discovery=agent))
            async with started(path) as process:
                await asyncio.sleep(0.2)
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 24  # 21 when the bound was set
            async with started(
                path, NODE_MANAGEMENT=f"127.0.0.1:{free_port()}", TMPDIR=str(tmp_path)
            ) as process:
                await asyncio.sleep(0.2)
                # The management address and a lock come on top.
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 26

    run(test())
