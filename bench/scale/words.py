"""Measures the size of configurations of 100 to 57,000 routes, and the time and memory to check, load and
change one.
"""

from __future__ import annotations

import json
import multiprocessing
import random
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from bench.scale.figures import peak_memory, resident_memory
from bench.scale.program import (
    apply_delta,
    check_configuration,
    check_next,
    delta_of,
    digest_of,
    pack_configuration,
    read_packed,
    unpack_configuration,
)
from bench.scale.world import deep_size

# The numbers of the target; smaller configurations keep its proportions.
ROUTES, TENANTS, SERVICES = 57_000, 390_000, 2_300
KINDS = ("read_only", "read_only", "read_only", "mutating", "upload")


def configuration(routes: int, number: int = 1) -> bytes:
    """Return a configuration with a number of routes, and with tenants and services in proportion.

    The access keys are random, so that the configuration compresses no better than a real one.
    """
    rng = random.Random(routes)
    services = max(1, routes * SERVICES // ROUTES)
    resources: list[dict[str, Any]] = []

    def add(kind: str, name: str, **spec: Any) -> None:
        resources.append({"resourceKind": kind, "metadata": {"name": name}, "specification": spec})

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
            routeKind=KINDS[n % len(KINDS)], timeoutMs=rng.choice((2000, 4000, 8000)), targetAnswerMs=800,
            priority=n % 4, service=f"service-{rng.randrange(services)}", maximumAttempts=2,
        )  # fmt: skip
    for n in range(routes * TENANTS // ROUTES):
        rate = rng.choice((1, 5, 20, 200))
        key = f"{rng.getrandbits(128):032x}"
        add("tenantTable", f"tenant-{n:06d}", accessKeys=[key], requestsPerS=rate, burstSize=2 * rate)
    return json.dumps({"versionNumber": f"r{number}", "resourceList": resources}).encode()


def altered(body: bytes, routes: int, changed: int) -> bytes:
    """Return the next configuration, in which `changed` routes, spread over all, have another priority."""
    document = json.loads(body)
    document["versionNumber"] = "r2"
    first = max(1, routes * SERVICES // ROUTES)
    for n in range(changed):
        document["resourceList"][first + n * routes // changed]["specification"]["priority"] = 9
    return json.dumps(document).encode()


def measure_step(path: str, verb: str) -> dict[str, float]:
    """Return the time and the peak memory of one step, `check`, `read` or `pack`, with a body from a file.

    It runs in a process of its own, so that the process's peak memory is that of the step.
    """
    body = Path(path).read_bytes()
    before = peak_memory()
    steps: dict[str, Callable[[bytes], Any]] = {
        "check": check_configuration,
        "read": read_packed,
        "pack": pack_configuration,
    }
    began = time.process_time()
    result = steps[verb](body)
    found = {f"{verb}_s": time.process_time() - began}
    found[f"{verb}_peak"] = peak_memory() - before + len(body)
    if verb == "read":
        found["held"] = deep_size(result.configuration)
    if verb == "pack":
        began = time.process_time()
        unpack_configuration(result)
        found |= {"unpack_s": time.process_time() - began, "packed": len(result)}
    return found


def measure_proposer(path: str, routes: int) -> dict[str, float]:
    """Return the cost of a change of one and of ten routes at the node that receives it from an operator.

    This node packs and validates the configuration and makes the delta, whose bytes go to each other node.
    """
    body = (Path(path) / "configuration").read_bytes()
    packed = pack_configuration(body)
    current, found = read_packed(packed), dict[str, float]()
    for changed, name in ((1, "one"), (10, "ten")):
        new = altered(body, routes, changed)
        began = time.process_time()
        checked = check_next(new, current)
        found[f"{name}_check_s"] = time.process_time() - began
        began = time.process_time()
        delta = delta_of(packed, checked.packed)
        found |= {f"{name}_delta_s": time.process_time() - began, f"{name}_bytes": len(delta)}
        (Path(path) / name).write_bytes(delta)
        (Path(path) / f"{name} digest").write_bytes(digest_of(new))
    (Path(path) / "packed").write_bytes(packed)
    return found


def measure_receiver(path: str, name: str) -> dict[str, float]:
    """Return the cost of a change at each other node, in a process that has the previous configuration."""
    packed, delta, digest = [(Path(path) / file).read_bytes() for file in ("packed", name, f"{name} digest")]
    current = read_packed(packed)
    before, began = resident_memory(), time.process_time()
    new = apply_delta(packed, delta, digest)
    between = time.process_time()
    read_packed(new, current)
    took = {f"{name}_apply_s": between - began, f"{name}_read_s": time.process_time() - between}
    return {**took, f"{name}_peak": max(0, peak_memory() - before)}


def measure(routes: int) -> dict[str, float]:
    """Return the figures of a configuration with a number of routes; sizes and memory are in bytes."""
    found: dict[str, float] = {"routes": routes}
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        path, body = Path(folder) / "configuration", configuration(routes)
        path.write_bytes(body)
        (Path(folder) / "packed").write_bytes(pack_configuration(body))
        found["bytes"], found["one"] = len(body), len(json.dumps(json.loads(body)["resourceList"][-1]))
        with ProcessPoolExecutor(1, context, max_tasks_per_child=1) as pool:
            for verb in ("read", "check", "pack"):
                source = str(path if verb != "read" else Path(folder) / "packed")
                found |= pool.submit(measure_step, source, verb).result()
            found |= pool.submit(measure_proposer, folder, routes).result()
            for name in ("one", "ten"):
                found |= pool.submit(measure_receiver, folder, name).result()
    return found
