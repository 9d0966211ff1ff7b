"""What is measured: plain counts that the parts add to, and their text for Prometheus."""

from __future__ import annotations

import asyncio
import bisect
import logging
import os
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric
    from prometheus_client.registry import CollectorRegistry

SAMPLE = 0.5  # seconds between samples of the loop's lag
LAGS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
MOST_CLASSES = 64  # names of classes: more than this come under `other`
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Tally = defaultdict[str, int]

log = logging.getLogger(__name__)


class Counts:
    """Each is added to where it happens; nothing else is done there."""

    def __init__(self) -> None:
        self.requests: defaultdict[tuple[str, str], int] = defaultdict(int)  # by class and outcome
        self.classes: set[str] = set()
        self.rejected: defaultdict[int, int] = defaultdict(int)  # what was no proper request, by status
        self.clients_opened = self.clients_refused = 0
        self.attempts: Tally = defaultdict(int)
        self.probes: Tally = defaultdict(int)
        self.counter_calls: Tally = defaultdict(int)
        self.counter_opened = 0
        self.opened = self.reused = self.stale = 0  # connections to alert servers
        self.closed: Tally = defaultdict(int)  # and why
        self.broken: Tally = defaultdict(int)  # answers that were none
        self.lists: Tally = defaultdict(int)
        self.watches: defaultdict[int, int] = defaultdict(int)  # that ended, by their answer's status
        self.log_dropped = 0
        # activities that an error nobody foresaw has cut short, by name
        self.failures: Counter[str] = Counter()
        self.lags = [0] * (len(LAGS) + 1)
        self.lag_sum = self.lag_most = 0.0

    def label(self, name: str) -> str:
        """A class's name as label: their number is bounded, whatever reloads bring."""
        if name not in self.classes:
            if len(self.classes) >= MOST_CLASSES:
                return "other"
            self.classes.add(name)
        return name

    def failed(self, name: str, error: BaseException) -> None:
        """An activity ended by an error that nobody foresaw; it goes on with its next turn."""
        self.failures[name] += 1
        log.error("%s failed", name, exc_info=error)

    def answered(self) -> int:
        return sum(self.requests.values())


Gauge = Callable[[], Mapping[str, float]]  # values by label


class Metrics:
    """The registry, built when it is first asked for, and the samples, taken once `start` was called."""

    def __init__(self, counts: Counts) -> None:
        self.counts = counts
        self.loop = asyncio.get_running_loop()
        self.gauges: list[tuple[str, str, str, Gauge]] = []  # name, help, label, values
        self.registry: CollectorRegistry | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0

    def gauge(self, name: str, text: str, label: str, values: Gauge) -> None:
        self.gauges.append((name, text, label, values))

    def start(self) -> None:
        if self.timer is None:
            self.sample_later()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def sample_later(self) -> None:
        self.due = time.monotonic() + SAMPLE
        self.timer = self.loop.call_later(SAMPLE, self.sample)

    def sample(self) -> None:
        """How late the loop runs what is due."""
        lag, counts = max(0.0, time.monotonic() - self.due), self.counts
        counts.lags[bisect.bisect_left(LAGS, lag)] += 1
        counts.lag_sum += lag
        counts.lag_most = max(counts.lag_most, lag)
        self.sample_later()

    async def text(self) -> bytes:
        """All of it in Prometheus' text format.  The library is loaded on a thread, as that takes long."""
        if self.registry is None:
            await self.loop.run_in_executor(None, load)
        if self.registry is None:
            self.registry = self.build()
        from prometheus_client.exposition import generate_latest

        return generate_latest(self.registry)

    def build(self) -> CollectorRegistry:
        from prometheus_client.process_collector import ProcessCollector
        from prometheus_client.registry import CollectorRegistry

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        ProcessCollector(registry=registry)
        return registry

    def collect(self) -> Iterator[Metric]:
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        c = self.counts

        def counter(name: str, text: str, labels: tuple[str, ...], values: Mapping[Any, int]) -> Metric:
            family = CounterMetricFamily(f"ivymux_{name}", text, labels=labels)
            for key, value in list(values.items()):
                family.add_metric([str(k) for k in (key if isinstance(key, tuple) else (key,))], value)
            return family

        def total(name: str, text: str, value: int) -> Metric:
            return CounterMetricFamily(f"ivymux_{name}", text, value=value)

        yield counter("requests", "Requests by their final answer.", ("class", "outcome"), c.requests)
        yield counter("rejected", "What was no proper request, by status.", ("status",), c.rejected)
        yield total("client_connections_opened", "Connections from clients.", c.clients_opened)
        yield total("client_connections_refused", "Those beyond the most there may be.", c.clients_refused)
        yield counter("attempts", "Attempts at alert servers by how they ended.", ("outcome",), c.attempts)
        yield counter("probes", "Probes of alert servers by how they ended.", ("outcome",), c.probes)
        yield total("connections_opened", "Connections opened to alert servers: handshakes.", c.opened)
        yield total("connections_reused", "Attempts that rode on a connection that was there.", c.reused)
        yield total("connections_stale", "Kept connections found closed or with unasked bytes.", c.stale)
        yield counter("connections_closed", "Connections to alert servers that ended.", ("reason",), c.closed)
        yield counter("answers_broken", "Answers of alert servers that were none.", ("reason",), c.broken)
        yield counter("counter_calls", "Counter calls by how they ended.", ("outcome",), c.counter_calls)
        yield total("counter_connections_opened", "Connections opened to the counter.", c.counter_opened)
        yield counter("lists", "Lists and changes heard from discovery.", ("kind",), c.lists)
        yield counter("watches_ended", "Watches that ended, by status; 0: no answer.", ("status",), c.watches)
        yield counter("failures", "Activities cut short by an unforeseen error.", ("what",), c.failures)
        yield total("log_lines_dropped", "Log lines beyond the most in a second.", c.log_dropped)
        for name, text, label, values in self.gauges:
            family = GaugeMetricFamily(f"ivymux_{name}", text, labels=(label,) if label else ())
            for key, value in values().items():
                family.add_metric([key] if label else [], value)
            yield family
        seen, buckets = 0, []
        for bound, number in zip((*map(str, LAGS), "+Inf"), c.lags, strict=True):
            seen += number
            buckets.append((bound, seen))
        lag = HistogramMetricFamily("ivymux_loop_lag_seconds", "How late the loop runs what is due.")
        lag.add_metric([], buckets, c.lag_sum)
        yield lag
        yield GaugeMetricFamily("ivymux_loop_lag_most_seconds", "The longest of these.", value=c.lag_most)

    def summary(self, began: float) -> str:
        """What a request has cost so far."""
        c = self.counts
        answered = c.answered()
        each, memory = max(1, answered), resident()
        calls, probes = sum(c.counter_calls.values()), sum(c.probes.values())
        return (
            f"{answered} requests in {time.monotonic() - began:.0f} s; for each CPU"
            f" {1e6 * time.process_time() / each:.0f} us, handshakes {c.opened / each:.3f}, counter calls"
            f" {calls / each:.3f}, probes {probes / each:.3f}, memory {memory / each:.0f} bytes, descriptors"
            f" {descriptors() / each:.4f}; in all {memory >> 10} kB, {descriptors()} descriptors"
        )


def load() -> None:
    import prometheus_client.exposition  # noqa: F401  # 2 MB and 80 ms that only a scrape needs


def resident() -> int:
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd")) - 1  # the look itself takes one
