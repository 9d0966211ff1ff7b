"""What is counted, and its text for Prometheus."""

from __future__ import annotations

import asyncio
import json
import logging
import subprocess
import sys
import time
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from hazelspring.gateway.__main__ import Steady
from hazelspring.gateway.config import parse
from hazelspring.gateway.frontdoor import FrontDoor
from hazelspring.gateway.metrics import LAGS, MOST_CLASSES, SAMPLE, Counts, Metrics

from .sockets import (
    Backend,
    Client,
    Tally,
    config_text,
    host_line,
    http_answer,
    listening,
    run,
    until,
)
from .test_management import call, connect, managed

Samples = dict[tuple[str, tuple[tuple[str, str], ...]], float]


def parsed(text: str) -> Samples:
    """Every sample by its name and labels, as the official parser reads it."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


async def scrape(door: FrontDoor) -> Samples:
    answer = await call(door, "GET", "/_metrics")
    assert answer.status == 200 and answer.headers["content-type"].startswith("text/plain; version=0.0.4")
    return parsed(answer.body.decode())


def value(samples: Samples, name: str, **labels: str) -> float:
    return samples.get((f"ivymux_{name}", tuple(sorted(labels.items()))), 0.0)


def test_requests_attempts_and_connections_are_counted(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend(answer=lambda m: http_answer(500 if "class-1" in m.start else 200, b"x"))
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as door:
            async with Client(door.server) as client:
                for customer in range(3):  # each has a share unasked
                    text = client.request().replace(b"=0000000000000005", b"=%016x" % customer)
                    assert (await client.send(text)).status == 200
                text = client.request(1).replace(b"=0000000000000005", b"=%016x" % 7)
                assert (await client.send(text)).status >= 500
                assert (await client.send(b"GET /nothing HTTP/1.1\r\n\r\n")).status == 404
            found = await scrape(door)
            assert value(found, "requests_total", **{"class": "class-0", "outcome": "served"}) == 3
            failed = [v for (name, _), v in found.items() if name == "ivymux_requests_total"]
            assert sum(failed) == 4
            assert value(found, "rejected_total", status="404") == 1
            assert value(found, "attempts_total", outcome="ok") == 3
            errors = value(found, "attempts_total", outcome="error")
            assert errors >= 1
            opened, reused = (
                value(found, "connections_opened_total"),
                value(found, "connections_reused_total"),
            )
            assert opened == backend.opened and opened + reused == 3 + errors
            assert value(found, "client_connections_opened_total") == 1
            assert value(found, "alert_servers") == 1 and value(found, "generation") == 1
            assert value(found, "descriptors", owner="alert_servers") == backend.open
            assert (
                value(found, "descriptors", owner="all")
                > value(found, "descriptors", owner="management")
                == 1
            )
            assert found["process_cpu_seconds_total", ()] > 0
            assert found["process_resident_memory_bytes", ()] > 1e6

    run(test())


BAD_ANSWERS = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "answers_broken", "malformed"),
    (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000, "answers_broken", "endless_head"),
    (http_answer(body=b"a") * 2, "answers_broken", "surplus_bytes"),
    (http_answer(body=b"a", Connection="close"), "connections_closed", "by_server"),
    (b"", "connections_closed", "broke_off"),
]


@pytest.mark.parametrize("number", range(len(BAD_ANSWERS)))
def test_what_a_bad_server_does_is_counted_and_costs_no_request(number: int, tmp_path: Path) -> None:
    reply, name, reason = BAD_ANSWERS[number]

    async def test() -> None:
        bad, good = Backend(answer=lambda message: reply), Backend()
        async with (
            listening(bad.handle) as first,
            listening(good.handle) as second,
            managed(tmp_path, first, second) as door,
            Client(door.server) as client,
        ):
            counted = {"answers_broken": door.counts.broken, "connections_closed": door.counts.closed}[name]
            for customer in range(1000):  # each has a share unasked
                text = client.request().replace(b"=0000000000000005", b"=%016x" % customer)
                assert (await client.send(text)).status == 200
                if counted[reason]:
                    break
            assert value(await scrape(door), f"{name}_total", reason=reason) >= 1

    run(test())


def test_bytes_that_nobody_asked_for_make_a_connection_stale(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as door:
            async with Client(door.server) as client:
                await client.ask()
            (pool,) = door.host.upstream.pools.values()
            (link,) = pool.links
            link.buffer_updated(3)
            await until(lambda: not pool.links)
            found = await scrape(door)
            assert value(found, "connections_stale_total") == 1
            assert value(found, "connections_closed_total", reason="unasked_bytes") == 1

    run(test())


def test_the_counter_and_discovery_are_counted(tmp_path: Path) -> None:
    async def test() -> None:
        backend, tally = Backend(), Tally()
        async with listening(backend.handle) as dial, listening(tally.handle) as counter:
            raw = json.loads(config_text([host_line("s-00000001", dial)], counter))
            door = FrontDoor(parse(json.dumps(raw | {"management": "127.0.0.1:0"}), {}))
            await door.start()
            async with Client(door.server) as client:
                await client.ask()
            door.discovery.take(b'{"seq": 50, "whole": false, "hosts": []}')
            door.discovery.take(b"{")
            await until(lambda: door.counts.watches[0])  # discovery is not there
            found = await scrape(door)
            assert value(found, "counter_calls_total", outcome="ok") == len(tally.calls) >= 1
            assert value(found, "counter_connections_opened_total") == tally.opened
            assert (
                value(found, "lists_total", kind="delta") == value(found, "lists_total", kind="skipped") == 1
            )
            assert value(found, "watches_ended_total", status="0") >= 1
            await door.close()

    run(test())


def test_label_values_are_bounded_whatever_reloads_bring() -> None:
    counts = Counts()
    labels = {counts.label(f"class-{n}") for n in range(10_000)}
    assert len(labels) == MOST_CLASSES + 1 and "other" in labels


def test_nothing_is_sampled_without_a_second_address() -> None:
    async def test() -> None:
        door = FrontDoor(parse(config_text([]), {}))
        await door.start()
        assert door.metrics.timer is None and door.metrics.registry is None
        await door.close()

    run(test())


def test_a_front_door_that_is_not_scraped_loads_no_library() -> None:
    code = "import sys, hazelspring.gateway.__main__; sys.exit('prometheus_client' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20, check=False).returncode == 0


def test_the_lag_of_the_loop_is_sampled() -> None:
    async def test() -> None:
        counts = Counts()
        metrics = Metrics(counts)
        metrics.start()
        metrics.due = time.monotonic() - 0.03  # as if it were due then
        metrics.sample()
        assert sum(counts.lags) == sum(counts.lags[LAGS.index(0.025) + 1 :]) == 1
        assert counts.lag_most >= 0.03 and metrics.timer is not None
        assert metrics.timer.when() - metrics.loop.time() < SAMPLE + 0.01
        samples = parsed((await metrics.text()).decode())
        assert samples["ivymux_loop_lag_seconds_count", ()] == 1
        assert samples["ivymux_loop_lag_most_seconds", ()] == counts.lag_most
        metrics.stop()

    run(test())


def test_dropped_log_lines_are_counted() -> None:
    counts = Counts()
    steady = Steady(counts)
    steady.MOST = 3
    record = logging.LogRecord("x", logging.INFO, "", 0, "y", (), None)
    steady.second, now = int(time.monotonic()), time.monotonic
    passed = [steady.filter(record) for _ in range(5)]
    assert sum(passed) + counts.log_dropped == 5 and (counts.log_dropped or now() - steady.second >= 1)


def test_scrapes_that_hang_or_flood_hold_up_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as door:
            held = [await connect(door) for _ in range(60)]
            for _, writer in held:
                writer.write(b"GET /_metrics HTTP/1.1\r\n\r\n")  # and never read
            async with Client(door.server) as client:
                assert (await client.ask()).status == 200
            answers = await asyncio.gather(*(call(door, "GET", "/_metrics") for _ in range(5)))
            assert {a.status for a in answers} <= {200, 503}
            assert door.management is not None and len(door.management.callers) <= 24
            for _, writer in held:
                writer.close()

    run(test())


def test_a_drained_end_sums_up_what_a_request_cost(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial:
            raw = json.loads(config_text([host_line("s-00000001", dial)])) | {"management": "127.0.0.1:0"}
            door = FrontDoor(parse(json.dumps(raw), {}))
            await door.start()
            async with Client(door.server) as client:
                await client.ask()
            await door.drain()

    with caplog.at_level(logging.INFO):
        run(test())
    (line,) = [r.getMessage() for r in caplog.records if r.getMessage().startswith("drained: ")]
    assert line.startswith("drained: 1 requests in ") and "handshakes 1.000" in line
