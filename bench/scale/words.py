"""Configurations of 100 to 57,000 routes: bytes, and the time and memory to check and to read one."""

from __future__ import annotations

import json
import multiprocessing
import random
import tempfile
import time
import zlib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from bench.scale.figures import peak
from bench.scale.program import check_word, read_word
from bench.scale.world import weigh

ROUTES, TENANTS, SERVICES = 57_000, 390_000, 2_300  # of the target: smaller ones keep its proportions
KINDS = ("read_only", "read_only", "read_only", "mutating", "upload")


def configuration(routes: int, number: int = 1) -> bytes:
    """A configuration with so many routes, and tenants and services in proportion; keys are drawn, so that it packs
    no better than a real one."""
    draw = random.Random(routes)
    services = max(1, routes * SERVICES // ROUTES)
    found: list[dict[str, Any]] = []

    def add(kind: str, name: str, **spec: Any) -> None:
        found.append({"resourceKind": kind, "metadata": {"name": name}, "specification": spec})

    for n in range(services):
        add(
            "serviceTable",
            f"service-{n}",
            healthPath="/health",
            connectionLimit=100,
            coldStartS=2,
            coldPerS=2,
        )
    for n in range(routes):
        add(
            "routeTable", f"route-{n}", hostName=f"host-{n // 8}.example", pathPrefix=f"/part-{n % 8}/",
            routeKind=KINDS[n % len(KINDS)], timeoutMs=draw.choice((2000, 4000, 8000)), targetAnswerMs=800,
            priority=n % 4, service=f"service-{draw.randrange(services)}", maximumAttempts=2,
        )  # fmt: skip
    for n in range(routes * TENANTS // ROUTES):
        rate = draw.choice((1, 5, 20, 200))
        key = f"{draw.getrandbits(128):032x}"
        add("tenantTable", f"tenant-{n:06d}", accessKeys=[key], requestsPerS=rate, burstSize=2 * rate)
    return json.dumps({"versionNumber": f"r{number}", "resourceList": found}).encode()


def alone(path: str, verb: str) -> dict[str, float]:
    """One step with a body from a file, in a process of its own: its memory at the peak is the step's."""
    body = Path(path).read_bytes()
    before = peak()
    steps: dict[str, Callable[[bytes], Any]] = {
        "check": check_word, "read": read_word, "pack": lambda body: zlib.compress(body, 6),
    }  # fmt: skip
    began = time.process_time()
    result = steps[verb](body)
    found = {f"{verb}_s": time.process_time() - began}
    found[f"{verb}_peak"] = peak() - before + len(body)
    if verb == "read":
        found["held"] = weigh(result)
    if verb == "pack":
        began = time.process_time()
        zlib.decompress(result)
        found |= {"unpack_s": time.process_time() - began, "packed": len(result)}
    return found


def measure(routes: int) -> dict[str, float]:
    found: dict[str, float] = {"routes": routes}
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        path, body = Path(folder) / "word", configuration(routes)
        path.write_bytes(body)
        found["bytes"], found["one"] = len(body), len(json.dumps(json.loads(body)["resourceList"][-1]))
        with ProcessPoolExecutor(1, context, max_tasks_per_child=1) as pool:
            for verb in ("read", "check", "pack"):
                found |= pool.submit(alone, str(path), verb).result()
    return found
