"""Metrics: counts that the parts of the gateway increment, and their Prometheus text format."""

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

SAMPLE_INTERVAL = 0.5  # seconds between samples of the event loop's lag
# Upper bounds of the histogram of the event loop's lag, in seconds.
LAG_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
MAX_CLASS_LABELS = 64  # distinct class labels; further classes are counted as `other`
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

CountsByName = defaultdict[str, int]

log = logging.getLogger(__name__)


class Counts:
    """Counts since the process started.  The code that sees an event only increments its count."""

    def __init__(self) -> None:
        self.requests: defaultdict[tuple[str, str], int] = defaultdict(int)  # by class and outcome
        self.classes: set[str] = set()
        self.rejected: defaultdict[int, int] = defaultdict(int)  # invalid requests, by status
        self.clients_opened = self.clients_refused = 0
        self.attempts: CountsByName = defaultdict(int)  # by outcome
        self.probes: CountsByName = defaultdict(int)  # by outcome
        self.counter_calls: CountsByName = defaultdict(int)  # by outcome
        self.counter_opened = 0
        # Connections to alert servers.
        self.connections_opened = self.connections_reused = self.connections_stale = 0
        self.connections_closed: CountsByName = defaultdict(int)  # by reason
        self.answers_broken: CountsByName = defaultdict(int)  # invalid answers of alert servers, by reason
        self.lists: CountsByName = defaultdict(int)  # lists and changes from discovery, by kind
        # ended watches, by HTTP status; 0 without a response
        self.watches: defaultdict[int, int] = defaultdict(int)
        self.log_dropped = 0
        self.failures: Counter[str] = Counter()  # activities ended by an unexpected error, by name
        self.lags = [0] * (len(LAG_BUCKETS) + 1)
        self.lag_sum = self.lag_max = 0.0

    def label(self, name: str) -> str:
        """Return a class's label: its name, or `other` once reloads have brought too many names."""
        if name not in self.classes:
            if len(self.classes) >= MAX_CLASS_LABELS:
                return "other"
            self.classes.add(name)
        return name

    def count_failure(self, name: str, error: BaseException) -> None:
        """Count and log an unexpected error that ended one run of an activity; it will run again."""
        self.failures[name] += 1
        log.error("%s failed", name, exc_info=error)

    def answered(self) -> int:
        """Return the number of requests with a final answer."""
        return sum(self.requests.values())


Gauge = Callable[[], Mapping[str, float]]  # values by label


class Metrics:
    """Builds the Prometheus registry at the first scrape, and samples the event loop's lag once started."""

    def __init__(self, counts: Counts) -> None:
        self.counts = counts
        self.loop = asyncio.get_running_loop()
        self.gauges: list[tuple[str, str, str, Gauge]] = []  # name, help, label, values
        self.registry: CollectorRegistry | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0  # monotonic time at which the next sample is due

    def gauge(self, name: str, text: str, label: str, values: Gauge) -> None:
        """Register a gauge whose values are computed at each scrape; an empty `label` means no label."""
        self.gauges.append((name, text, label, values))

    def start(self) -> None:
        """Start sampling the event loop's lag, unless it is being sampled already."""
        if self.timer is None:
            self.schedule_sample()

    def stop(self) -> None:
        """Stop sampling."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def schedule_sample(self) -> None:
        """Set the timer for the next sample."""
        self.due = time.monotonic() + SAMPLE_INTERVAL
        self.timer = self.loop.call_later(SAMPLE_INTERVAL, self.sample)

    def sample(self) -> None:
        """Record by how many seconds the event loop ran this timer late."""
        lag, counts = max(0.0, time.monotonic() - self.due), self.counts
        counts.lags[bisect.bisect_left(LAG_BUCKETS, lag)] += 1
        counts.lag_sum += lag
        counts.lag_max = max(counts.lag_max, lag)
        self.schedule_sample()

    async def text(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        The library is loaded on a thread at the first call, as loading it would block the event loop.
        """
        if self.registry is None:
            await self.loop.run_in_executor(None, load_library)
        if self.registry is None:
            self.registry = self.build()
        from prometheus_client.exposition import generate_latest

        return generate_latest(self.registry)

    def build(self) -> CollectorRegistry:
        """Return a registry with these metrics and those of the process."""
        from prometheus_client.process_collector import ProcessCollector
        from prometheus_client.registry import CollectorRegistry

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        ProcessCollector(registry=registry)
        return registry

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics; called by the registry at each scrape."""
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
        yield total(
            "connections_opened", "Connections opened to alert servers: handshakes.", c.connections_opened
        )
        yield total(
            "connections_reused", "Attempts that rode on a connection that was there.", c.connections_reused
        )
        yield total(
            "connections_stale", "Kept connections found closed or with unasked bytes.", c.connections_stale
        )
        yield counter(
            "connections_closed",
            "Connections to alert servers that ended.",
            ("reason",),
            c.connections_closed,
        )
        yield counter(
            "answers_broken", "Answers of alert servers that were none.", ("reason",), c.answers_broken
        )
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
        for bound, number in zip((*map(str, LAG_BUCKETS), "+Inf"), c.lags, strict=True):
            seen += number
            buckets.append((bound, seen))
        lag = HistogramMetricFamily("ivymux_loop_lag_seconds", "How late the loop runs what is due.")
        lag.add_metric([], buckets, c.lag_sum)
        yield lag
        yield GaugeMetricFamily("ivymux_loop_lag_most_seconds", "The longest of these.", value=c.lag_max)

    def summary(self, began: float) -> str:
        """Return a log text with the resources used per answered request; `began` is a monotonic time."""
        c = self.counts
        answered = c.answered()
        divisor, memory = max(1, answered), resident_bytes()
        calls, probes = sum(c.counter_calls.values()), sum(c.probes.values())
        return (
            f"{answered} requests in {time.monotonic() - began:.0f} s; for each CPU"
            f" {1e6 * time.process_time() / divisor:.0f} us, handshakes {c.connections_opened / divisor:.3f}, counter"
            f" calls {calls / divisor:.3f}, probes {probes / divisor:.3f}, memory"
            f" {memory / divisor:.0f} bytes, descriptors {open_descriptors() / divisor:.4f}; in all"
            f" {memory >> 10} kB, {open_descriptors()} descriptors"
        )


def load_library() -> None:
    """Import the Prometheus library, so that later imports take no time."""
    import prometheus_client.exposition  # noqa: F401  # 2 MB and 80 ms that only a scrape needs


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return the number of open file descriptors of this process."""
    return len(os.listdir("/proc/self/fd")) - 1  # listing the folder opens one itself
