"""What a play measured, under keys that stay: see docs/lab.md."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from hazelspring.lab.models.customers import CLASSES
from hazelspring.lab.rules import RAN, REFUSED, Breach, Seen, let_in

MOST_LATE = 0.01  # the share of tries that may have left late in a valid run
WINDOW = 10  # seconds of the worst stretch
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


def histogram(spans: list[float]) -> dict[str, float]:
    """Percentiles in milliseconds; None of nothing."""
    found = HdrHistogram(1, 60_000_000, 3)
    for span in spans:
        found.record_value(max(1, round(span * 1e6)))
    if not spans:
        return dict.fromkeys(PERCENTILES, 0.0)
    return {key: found.get_value_at_percentile(p) / 1e3 for key, p in PERCENTILES.items()}


def worth_of(seen: Seen, request: int) -> float:
    customer = seen.work.customers[int(seen.work.customer[request])]
    return CLASSES[int(seen.work.cls[request])].worth * seen.work.tariffs[customer.tariff].pays


def in_quota(seen: Seen) -> list[bool]:
    """Of each request asked, whether one gateway that saw all of them would have had the units for it."""
    stores: dict[int, tuple[float, float]] = {}
    found = []
    for request in range(len(seen.work)):
        customer = int(seen.work.customer[request])
        at = float(seen.work.at[request]) / 1e6
        tariff = seen.work.tariffs[seen.work.customers[customer].tariff]
        held, last = stores.get(customer, (tariff.units, at))
        held = min(tariff.units, held + (at - last) * tariff.rate)
        found.append(held >= 1)
        stores[customer] = held - (held >= 1), at
    return found


def figures(seen: Seen, breaches: dict[str, list[Breach]], revision: str) -> dict[str, Any]:
    """All figures of a play."""
    length = max(1e-9, seen.value("length"))
    asked = sum(1 for at in seen.work.at if at <= length * 1e6)
    by_request: dict[int, list[Any]] = defaultdict(list)
    for job in seen.tries:
        by_request[job.request].append(job)
    inside = in_quota(seen)
    served = refused = failed = 0
    worth = [0.0, 0.0]  # served in time, asked
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    spans: dict[str, list[float]] = defaultdict(list)
    for request, jobs in by_request.items():
        good = next((job for job in jobs if job.status == 200), None)
        spec, start = CLASSES[int(seen.work.cls[request])], float(seen.work.at[request]) / 1e6
        served += good is not None
        refused += good is None and jobs[-1].status in REFUSED
        failed += good is None and jobs[-1].status not in REFUSED
        if good is not None:
            spans[spec.name].append(good.ended - good.due)
        if inside[request]:
            one = worth_of(seen, request)
            in_time = good is not None and good.ended - good.due <= spec.aim
            for second in range(max(0, int(start) - WINDOW + 1), int(start) + 1):
                windows[second][0] += one * in_time
                windows[second][1] += one
            worth[0] += one * in_time
            worth[1] += one
    whole = [w for second, w in windows.items() if second + WINDOW <= max(WINDOW, length)]
    twice = 0
    for arrivals in seen.by_request().values():
        if arrivals[0].verdict != "unknown":
            keyed = CLASSES[int(seen.work.cls[int(arrivals[0].id[:8], 16)])].keyed
            twice += keyed and sum(a.verdict == "begun" for a in arrivals) > 1
    total, beyond, _ = let_in(seen)
    sent = max(1.0, seen.value("load sent"))
    each = max(1, len(by_request))
    every = [span for found in spans.values() for span in found]
    ran = {a.id for a in seen.arrivals if a.verdict in RAN}
    return {
        "seed": seen.seed,
        "valid": seen.value("load late") <= MOST_LATE * sent,
        "rules": {name: len(found) for name, found in breaches.items()},
        "requests": {
            "asked": asked, "served": served, "refused": refused, "failed": failed,
            "lost": len(breaches["answered"]), "twice": twice, "tries": len(seen.tries), "ran": len(ran),
        },
        "worth_share": worth[0] / max(1e-9, worth[1]),
        "worst_10s_worth_share": min((a / b for a, b in whole if b), default=worth[0] / max(1e-9, worth[1])),
        "latency_ms": histogram(every) | {"by_class": {n: histogram(s) for n, s in sorted(spans.items())}},
        "beyond_quota_share": beyond / max(1.0, total),
        "handshakes_per_request": seen.value("handshakes") / each,
        "counter_calls_per_request": seen.value("counter calls") / each,
        "probes_per_request": seen.value("probes") / each,
        "door": door_figures(seen, each),
        "load": {
            "tries": len(seen.tries), "late_share": seen.value("load late") / sent,
            "most_late_ms": seen.value("load most_late") * 1e3,
            "cpu_us_per_try": seen.value("load cpu") * 1e6 / sent,
        },
        "revision": revision,
    }  # fmt: skip


def door_figures(seen: Seen, requests: int) -> dict[str, float]:
    """CPU without the starts, the mean start's own, and the most that one front door held."""
    starts = [note.value for note in seen.noted("start cpu")]
    spent = sum(note.value for note in seen.noted("cpu"))
    # Processes that died midway are counted up to the last look at them.
    last: dict[int, float] = {}
    for sample in seen.samples:
        spent += last[sample.door] if sample.cpu < last.get(sample.door, 0.0) else 0.0
        last[sample.door] = sample.cpu
    return {
        "cpu_us_per_request": max(0.0, spent - sum(starts)) * 1e6 / requests,
        "start_cpu_s": sum(starts) / max(1, len(starts)),
        "memory_kb": max((s.memory_kb for s in seen.samples), default=0),
        "descriptors_most": max((s.descriptors for s in seen.samples), default=0),
    }
