"""The figures of a play, under keys that stay the same between versions: see docs/lab.md."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from hazelspring.lab.models.customers import CLASSES
from hazelspring.lab.rules import RAN, REFUSED, Breach, PlayRecords, admitted

MAX_LATE_SHARE = 0.01  # largest share of attempts that may start late in a valid play
WINDOW = 10  # seconds; the worst window of this length is reported
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


def histogram(spans: list[float]) -> dict[str, float]:
    """Return the percentiles in milliseconds of spans in seconds; all are 0 if there are no spans."""
    recorded = HdrHistogram(1, 60_000_000, 3)
    for span in spans:
        recorded.record_value(max(1, round(span * 1e6)))
    if not spans:
        return dict.fromkeys(PERCENTILES, 0.0)
    return {key: recorded.get_value_at_percentile(p) / 1e3 for key, p in PERCENTILES.items()}


def worth_of(records: PlayRecords, request: int) -> float:
    """Return the worth of a request served in time: the worth of its class times its tariff's `pays`."""
    customer = records.work.customers[int(records.work.customer[request])]
    return CLASSES[int(records.work.cls[request])].worth * records.work.tariffs[customer.tariff].pays


def in_quota(records: PlayRecords) -> list[bool]:
    """Return for each request whether a token bucket shared by all gateways would have admitted it."""
    buckets: dict[int, tuple[float, float]] = {}  # by customer: tokens, and the time of the last update
    found = []
    for request in range(len(records.work)):
        customer = int(records.work.customer[request])
        at = float(records.work.at[request]) / 1e6
        tariff = records.work.tariffs[records.work.customers[customer].tariff]
        tokens, last = buckets.get(customer, (tariff.units, at))
        tokens = min(tariff.units, tokens + (at - last) * tariff.rate)
        found.append(tokens >= 1)
        buckets[customer] = tokens - (tokens >= 1), at
    return found


def figures(records: PlayRecords, breaches: dict[str, list[Breach]], revision: str) -> dict[str, Any]:
    """Compute all figures of a play, as nested dictionaries."""
    length = max(1e-9, records.value("length"))
    asked = sum(1 for at in records.work.at if at <= length * 1e6)
    by_request: dict[int, list[Any]] = defaultdict(list)
    for attempt in records.attempts:
        by_request[attempt.request].append(attempt)
    inside = in_quota(records)
    served = refused = failed = 0
    worth = [0.0, 0.0]  # served in time, requested; both within quotas
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    spans: dict[str, list[float]] = defaultdict(list)
    for request, attempts in by_request.items():
        first_served = next((attempt for attempt in attempts if attempt.status == 200), None)
        spec, start = CLASSES[int(records.work.cls[request])], float(records.work.at[request]) / 1e6
        served += first_served is not None
        refused += first_served is None and attempts[-1].status in REFUSED
        failed += first_served is None and attempts[-1].status not in REFUSED
        if first_served is not None:
            spans[spec.name].append(first_served.ended - first_served.due)
        if inside[request]:
            request_worth = worth_of(records, request)
            in_time = first_served is not None and first_served.ended - first_served.due <= spec.goal_time
            for second in range(max(0, int(start) - WINDOW + 1), int(start) + 1):
                windows[second][0] += request_worth * in_time
                windows[second][1] += request_worth
            worth[0] += request_worth * in_time
            worth[1] += request_worth
    full = [w for second, w in windows.items() if second + WINDOW <= max(WINDOW, length)]
    twice = 0
    for arrivals in records.arrivals_by_attempt().values():
        if arrivals[0].verdict != "unknown":
            keyed = CLASSES[int(records.work.cls[int(arrivals[0].id[:8], 16)])].keyed
            twice += keyed and sum(a.verdict == "begun" for a in arrivals) > 1
    total, beyond, _ = admitted(records)
    sent = max(1.0, records.value("load sent"))
    request_count = max(1, len(by_request))
    latencies = [span for found in spans.values() for span in found]
    ran = {a.id for a in records.arrivals if a.verdict in RAN}
    return {
        "seed": records.seed,
        "valid": records.value("load late") <= MAX_LATE_SHARE * sent,
        "rules": {name: len(found) for name, found in breaches.items()},
        "requests": {
            "asked": asked, "served": served, "refused": refused, "failed": failed,
            "lost": len(breaches["answered"]), "twice": twice,
            "tries": len(records.attempts), "ran": len(ran),
        },
        "worth_share": worth[0] / max(1e-9, worth[1]),
        "worst_10s_worth_share": min((a / b for a, b in full if b), default=worth[0] / max(1e-9, worth[1])),
        "latency_ms": histogram(latencies)
        | {"by_class": {n: histogram(s) for n, s in sorted(spans.items())}},
        "beyond_quota_share": beyond / max(1.0, total),
        "handshakes_per_request": records.value("handshakes") / request_count,
        "counter_calls_per_request": records.value("counter calls") / request_count,
        "probes_per_request": records.value("probes") / request_count,
        "door": gateway_figures(records, request_count),
        "load": {
            "tries": len(records.attempts), "late_share": records.value("load late") / sent,
            "most_late_ms": records.value("load most_late") * 1e3,
            "cpu_us_per_try": records.value("load cpu") * 1e6 / sent,
        },
        "revision": revision,
    }  # fmt: skip


def gateway_figures(records: PlayRecords, requests: int) -> dict[str, float]:
    """Compute the CPU time per request (without starts), the mean CPU time of a start, and the peak usage.

    The peaks of memory and of descriptors are those of the one gateway with the highest value.
    """
    starts = [note.value for note in records.notes_of("start cpu")]
    spent = sum(note.value for note in records.notes_of("cpu"))
    # The CPU time of a process that ended during the play is counted up to its last sample.
    last: dict[int, float] = {}
    for sample in records.samples:
        spent += last[sample.door] if sample.cpu < last.get(sample.door, 0.0) else 0.0
        last[sample.door] = sample.cpu
    return {
        "cpu_us_per_request": max(0.0, spent - sum(starts)) * 1e6 / requests,
        "start_cpu_s": sum(starts) / max(1, len(starts)),
        "memory_kb": max((s.memory_kb for s in records.samples), default=0),
        "descriptors_most": max((s.descriptors for s in records.samples), default=0),
    }
