"""Requests per second through one real node on loopback: the processor time and the added latency of each.

The run has one node with a disk, servers that answer at once, and clients on persistent connections.
Servers and clients each have a process of their own, so that the node's process is the one at full load.  A
measurement takes a few seconds and a bounded number of requests.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from bench.scale.figures import peak_memory
from hazelspring.cli.control_client import call_until_settled
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

SERVERS, CONNECTIONS = 8, 32
MAX_REQUESTS = 60_000  # requests of one measurement
DURATION = 4.0  # seconds of one measurement
# Repetitions of each measurement.  Since other processes use the machine, the least disturbed repetition is
# the result; the range over all of them is stored, too.
ROUNDS = 3
# Shares of the rate at full load at which the added latency is measured.
LOAD_FRACTIONS = (0.1, 0.25, 0.5, 0.75)


def run_stand_ins(platform: str, servers: list[Any]) -> None:
    """Serve the platform's interface at an address, and the servers, until the process is ended."""

    async def serve() -> None:
        await StandIns(platform, servers).start()
        await asyncio.Event().wait()

    uvloop.run(serve())


def processor_time(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def send_requests(address: str, headers: str, rate: float) -> dict[str, float]:
    """Send requests on persistent connections for `DURATION`, and return their number, rate and latencies.

    `rate` requests a second are sent in all, at times fixed in advance; with 0, each client sends the next
    request after the last response.  `headers` are header lines, each with its line end.
    """
    host, _, port = address.rpartition(":")
    times: list[float] = []
    wrong, sent = 0, 0
    end = time.monotonic() + DURATION

    async def client(number: int) -> None:
        nonlocal wrong, sent
        reader, writer = await asyncio.open_connection(host, int(port))
        due = time.monotonic() + number / rate if rate else 0.0
        while time.monotonic() < end and sent < MAX_REQUESTS:
            if rate:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            # Read after the sleep, so that a late timer of the client does not count.
            began = time.monotonic()
            sent += 1
            writer.write(
                f"GET /read/{sent} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer {KEY}\r\n"
                f"X-Hazelspring-Attempt-Id: {number}-{sent}\r\nX-Hazelspring-Remaining-Milliseconds: 3000\r\n"
                f"{headers}\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(
                int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")
            )
            await reader.readexactly(length)
            wrong += not head.startswith(b"HTTP/1.1 200")
            times.append(time.monotonic() - began)
            due += CONNECTIONS / rate if rate else 0.0
        writer.close()

    began = time.monotonic()
    await asyncio.gather(*(client(n) for n in range(CONNECTIONS)))
    took = time.monotonic() - began
    times.sort()
    percentiles = {f"p{part:g}_ms": 1000 * times[int(len(times) * part / 100)] for part in (50, 90, 99)}
    return {"requests": len(times), "wrong": wrong, "a_second": len(times) / took, **percentiles}


def configuration_with_quota(number: int, rate: float) -> bytes:
    """Return the local fleet's configuration with a quota of `rate` requests a second; 0 means no quota."""
    document = json.loads(configuration(number))
    for entry in document["resourceList"]:
        if entry["resourceKind"] == "tenantTable":
            entry["specification"].update(requestsPerS=rate, burstSize=rate)
    return json.dumps(document).encode()


def measure_full_load(pid: int, node: str, rest: float) -> dict[str, float]:
    """Send as many requests as one node serves; return the figures, with the node's processor time per
    request in ms.

    `rest` is the processor time per second that the node uses at rest; it is subtracted.
    """
    before, began = processor_time(pid), time.monotonic()
    found = uvloop.run(send_requests(node, "", 0.0))
    spent = processor_time(pid) - before - rest * (time.monotonic() - began)
    return {**found, "cpu_ms": 1000 * spent / found["requests"]}


def measure() -> dict[str, Any]:
    """Return one node's figures at rest, at full load without and with a quota, and at part load."""
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        fleet = LocalFleet(Path(folder), core=1, others=0, servers=SERVERS)
        for each in fleet.servers:
            each.slots, each.work_seconds = 64, 0.0
        stand_ins = multiprocessing.Process(
            target=run_stand_ins, args=(fleet.platform, fleet.servers), daemon=True
        )
        stand_ins.start()
        try:
            fleet.start_all(first=True)
            pid = fleet.processes[0].pid
            node, server = f"{fleet.ips[0]}:{fleet.front}", fleet.servers[0].address
            call_until_settled(
                fleet.control_addresses(), "PUT", "/-/configuration", configuration_with_quota(1, 0.0), 30.0
            )
            fleet.wait_until(lambda: fleet.request(0, "GET", "/read/first", "first")[0] == 200)
            before = processor_time(pid)
            time.sleep(DURATION)
            found["rest_cpu"] = (processor_time(pid) - before) / DURATION
            for name, number, quota in (("no quota", 2, 0.0), ("a quota", 3, 1e6)):
                call_until_settled(
                    fleet.control_addresses(),
                    "PUT",
                    "/-/configuration",
                    configuration_with_quota(number, quota),
                    30.0,
                )
                time.sleep(1.0)
                found[name] = max(
                    (measure_full_load(pid, node, found["rest_cpu"]) for _ in range(ROUNDS)),
                    key=lambda result: result["a_second"],
                )
            full_rate = found["a quota"]["a_second"]
            expected = f"X-Hazelspring-Expected-Instance: {fleet.servers[0].id}\r\n"
            for fraction in LOAD_FRACTIONS:
                rounds = [
                    {
                        "through": uvloop.run(send_requests(node, "", fraction * full_rate)),
                        "direct": uvloop.run(send_requests(server, expected, fraction * full_rate)),
                    }
                    for _ in range(ROUNDS)
                ]
                least_disturbed = min(rounds, key=lambda result: result["direct"]["p99_ms"])
                p99_times = sorted(result["through"]["p99_ms"] for result in rounds)
                # The key `pace F` holds the figures at the fraction F of the rate at full load.
                found[f"pace {fraction:g}"] = {**least_disturbed, "p99_ms": [p99_times[0], p99_times[-1]]}
            found["memory"] = peak_memory(pid)
            found["descriptors"] = len(os.listdir(f"/proc/{pid}/fd"))
        finally:
            fleet.close()
            stand_ins.terminate()
            stand_ins.join(5)
    return found
