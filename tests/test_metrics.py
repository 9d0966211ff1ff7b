"""Metrics: what is counted, and the Prometheus text format."""

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

from hazelspring.gateway.__main__ import LogRateLimit
from hazelspring.gateway.config import parse
from hazelspring.gateway.gateway_process import GatewayProcess
from hazelspring.gateway.metrics import LAG_BUCKETS, MAX_CLASS_LABELS, SAMPLE_INTERVAL, Counts, Metrics

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


async def scrape(gateway: GatewayProcess) -> Samples:
    answer = await call(gateway, "GET", "/_metrics")
    assert answer.status == 200 and answer.headers["content-type"].startswith("text/plain; version=0.0.4")
    return parsed(answer.body.decode())


def value(samples: Samples, name: str, **labels: str) -> float:
    return samples.get((f"ivymux_{name}", tuple(sorted(labels.items()))), 0.0)


def test_requests_attempts_and_connections_are_counted(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend(answer=lambda m: http_answer(500 if "class-1" in m.start else 200, b"x"))
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as gateway:
            async with Client(gateway.server) as client:
                for customer in range(3):  # each has a local share of its quota
                    text = client.request().replace(b"=0000000000000005", b"=%016x" % customer)
                    assert (await client.send(text)).status == 200
                text = client.request(1).replace(b"=0000000000000005", b"=%016x" % 7)
                assert (await client.send(text)).status >= 500
                assert (await client.send(b"GET /nothing HTTP/1.1\r\n\r\n")).status == 404
            samples = await scrape(gateway)
            assert value(samples, "requests_total", **{"class": "class-0", "outcome": "served"}) == 3
            failed = [v for (name, _), v in samples.items() if name == "ivymux_requests_total"]
            assert sum(failed) == 4
            assert value(samples, "rejected_total", status="404") == 1
            assert value(samples, "attempts_total", outcome="ok") == 3
            errors = value(samples, "attempts_total", outcome="error")
            assert errors >= 1
            opened, reused = (
                value(samples, "connections_opened_total"),
                value(samples, "connections_reused_total"),
            )
            assert opened == backend.opened and opened + reused == 3 + errors
            assert value(samples, "client_connections_opened_total") == 1
            assert value(samples, "alert_servers") == 1 and value(samples, "generation") == 1
            assert value(samples, "descriptors", owner="alert_servers") == backend.open
            assert (
                value(samples, "descriptors", owner="all")
                > value(samples, "descriptors", owner="management")
                == 1
            )
            assert samples["process_cpu_seconds_total", ()] > 0
            assert samples["process_resident_memory_bytes", ()] > 1e6

    run(test())


BAD_ANSWERS = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "answers_broken", "malformed"),
    (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000, "answers_broken", "endless_head"),
    (http_answer(body=b"a") * 2, "answers_broken", "surplus_bytes"),
    (http_answer(body=b"a", Connection="close"), "connections_closed", "by_server"),
    (b"", "connections_closed", "broke_off"),
]


@pytest.mark.parametrize("number", range(len(BAD_ANSWERS)))
def test_faults_of_a_server_are_counted_and_fail_no_request(number: int, tmp_path: Path) -> None:
    reply, name, reason = BAD_ANSWERS[number]

    async def test() -> None:
        bad, good = Backend(answer=lambda message: reply), Backend()
        async with (
            listening(bad.handle) as first,
            listening(good.handle) as second,
            managed(tmp_path, first, second) as gateway,
            Client(gateway.server) as client,
        ):
            counted = {
                "answers_broken": gateway.counts.answers_broken,
                "connections_closed": gateway.counts.connections_closed,
            }[name]
            for customer in range(1000):  # each has a local share of its quota
                text = client.request().replace(b"=0000000000000005", b"=%016x" % customer)
                assert (await client.send(text)).status == 200
                if counted[reason]:
                    break
            assert value(await scrape(gateway), f"{name}_total", reason=reason) >= 1

    run(test())


def test_bytes_without_a_request_make_a_connection_stale(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as gateway:
            async with Client(gateway.server) as client:
                await client.ask()
            (pool,) = gateway.host.upstream.pools.values()
            (link,) = pool.links
            link.buffer_updated(3)
            await until(lambda: not pool.links)
            samples = await scrape(gateway)
            assert value(samples, "connections_stale_total") == 1
            assert value(samples, "connections_closed_total", reason="unasked_bytes") == 1

    run(test())


def test_the_counter_and_discovery_are_counted(tmp_path: Path) -> None:
    async def test() -> None:
        backend, tally = Backend(), Tally()
        async with listening(backend.handle) as dial, listening(tally.handle) as counter:
            raw = json.loads(config_text([host_line("s-00000001", dial)], counter))
            gateway = GatewayProcess(parse(json.dumps(raw | {"management": "127.0.0.1:0"}), {}))
            await gateway.start()
            async with Client(gateway.server) as client:
                await client.ask()
            gateway.discovery.handle_line(b'{"seq": 50, "whole": false, "hosts": []}')
            gateway.discovery.handle_line(b"{")
            await until(lambda: gateway.counts.watches[0])  # no discovery is running
            samples = await scrape(gateway)
            assert value(samples, "counter_calls_total", outcome="ok") == len(tally.calls) >= 1
            assert value(samples, "counter_connections_opened_total") == tally.opened
            assert (
                value(samples, "lists_total", kind="delta")
                == value(samples, "lists_total", kind="skipped")
                == 1
            )
            assert value(samples, "watches_ended_total", status="0") >= 1
            await gateway.close()

    run(test())


def test_the_number_of_class_labels_is_bounded() -> None:
    counts = Counts()
    labels = {counts.label(f"class-{n}") for n in range(10_000)}
    assert len(labels) == MAX_CLASS_LABELS + 1 and "other" in labels


def test_nothing_is_sampled_without_a_management_address() -> None:
    async def test() -> None:
        gateway = GatewayProcess(parse(config_text([]), {}))
        await gateway.start()
        assert gateway.metrics.timer is None and gateway.metrics.registry is None
        await gateway.close()

    run(test())


def test_the_prometheus_library_is_not_loaded_before_a_scrape() -> None:
    code = "import sys, hazelspring.gateway.__main__; sys.exit('prometheus_client' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20, check=False).returncode == 0


def test_the_lag_of_the_event_loop_is_sampled() -> None:
    async def test() -> None:
        counts = Counts()
        metrics = Metrics(counts)
        metrics.start()
        metrics.due = time.monotonic() - 0.03  # as if the sample had been due then
        metrics.sample()
        assert sum(counts.lags) == sum(counts.lags[LAG_BUCKETS.index(0.025) + 1 :]) == 1
        assert counts.lag_max >= 0.03 and metrics.timer is not None
        assert metrics.timer.when() - metrics.loop.time() < SAMPLE_INTERVAL + 0.01
        samples = parsed((await metrics.text()).decode())
        assert samples["ivymux_loop_lag_seconds_count", ()] == 1
        assert samples["ivymux_loop_lag_most_seconds", ()] == counts.lag_max
        metrics.stop()

    run(test())


def test_dropped_log_lines_are_counted() -> None:
    counts = Counts()
    rate_limit = LogRateLimit(counts)
    rate_limit.MAX_LINES_PER_SECOND = 3
    record = logging.LogRecord("x", logging.INFO, "", 0, "y", (), None)
    rate_limit.second, now = int(time.monotonic()), time.monotonic
    passed = [rate_limit.filter(record) for _ in range(5)]
    assert sum(passed) + counts.log_dropped == 5 and (counts.log_dropped or now() - rate_limit.second >= 1)


def test_many_or_hanging_scrapes_do_not_block_requests_or_other_scrapes(tmp_path: Path) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial, managed(tmp_path, dial) as gateway:
            hanging = [await connect(gateway) for _ in range(60)]
            for _, writer in hanging:
                writer.write(b"GET /_metrics HTTP/1.1\r\n\r\n")  # and never read the answer
            async with Client(gateway.server) as client:
                assert (await client.ask()).status == 200
            answers = await asyncio.gather(*(call(gateway, "GET", "/_metrics") for _ in range(5)))
            assert {a.status for a in answers} <= {200, 503}
            assert gateway.management is not None and len(gateway.management.connections) <= 24
            for _, writer in hanging:
                writer.close()

    run(test())


def test_the_drained_log_line_states_the_cost_per_request(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial:
            raw = json.loads(config_text([host_line("s-00000001", dial)])) | {"management": "127.0.0.1:0"}
            gateway = GatewayProcess(parse(json.dumps(raw), {}))
            await gateway.start()
            async with Client(gateway.server) as client:
                await client.ask()
            await gateway.drain()

    with caplog.at_level(logging.INFO):
        run(test())
    (line,) = [r.getMessage() for r in caplog.records if r.getMessage().startswith("drained: ")]
    assert line.startswith("drained: 1 requests in ") and "handshakes 1.000" in line
