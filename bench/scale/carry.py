"""Requests a second through one real door on loopback: processor time of each, and the time that it adds.

One door with a disk, servers that answer at once, and clients on kept connections; servers and clients have a
process each, so the door's own is what is full.  A few seconds and a bounded count of requests.
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

from bench.scale.figures import peak
from hazelspring.cli.control_client import call_until_settled
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

SERVERS, CONNECTIONS = 8, 32
MOST = 60_000  # requests of one measurement
SPAN = 4.0  # seconds of one measurement
ROUNDS = 3  # of each: others use the machine, so the least disturbed stands for it, all are kept
PACES = (0.1, 0.25, 0.5, 0.75)  # parts of the most that it carries, for the time that it adds


def stand(platform: str, servers: list[Any]) -> None:
    async def serve() -> None:
        await StandIns(platform, servers).start()
        await asyncio.Event().wait()

    uvloop.run(serve())


def used(pid: int) -> float:
    """Seconds of processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def drive(address: str, life: str, rate: float) -> dict[str, float]:
    """Requests on kept connections, `rate` a second in all at set times, or each after the last where it is 0."""
    host, _, port = address.rpartition(":")
    times: list[float] = []
    wrong, sent = 0, 0
    end = time.monotonic() + SPAN

    async def client(number: int) -> None:
        nonlocal wrong, sent
        reader, writer = await asyncio.open_connection(host, int(port))
        due = time.monotonic() + number / rate if rate else 0.0
        while time.monotonic() < end and sent < MOST:
            if rate:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            began = time.monotonic()  # a late timer of the client's is not the door's
            sent += 1
            writer.write(
                f"GET /read/{sent} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer {KEY}\r\n"
                f"X-Hazelspring-Attempt-Id: {number}-{sent}\r\nX-Hazelspring-Remaining-Milliseconds: 3000\r\n"
                f"{life}\r\n".encode()
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
    at = {f"p{part:g}_ms": 1000 * times[int(len(times) * part / 100)] for part in (50, 90, 99)}
    return {"requests": len(times), "wrong": wrong, "a_second": len(times) / took, **at}


def word(number: int, rate: float) -> bytes:
    """The apiary's configuration, its tenant's quota so high that none is refused; 0: without one."""
    document = json.loads(configuration(number))
    for entry in document["resourceList"]:
        if entry["resourceKind"] == "tenantTable":
            entry["specification"].update(requestsPerS=rate, burstSize=rate)
    return json.dumps(document).encode()


def full(pid: int, door: str, rest: float) -> dict[str, float]:
    """As many requests as one door takes, and its processor time for each beyond that at rest."""
    before, began = used(pid), time.monotonic()
    found = uvloop.run(drive(door, "", 0.0))
    spent = used(pid) - before - rest * (time.monotonic() - began)
    return {**found, "cpu_ms": 1000 * spent / found["requests"]}


def measure() -> dict[str, Any]:
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        yard = LocalFleet(Path(folder), core=1, others=0, servers=SERVERS)
        for each in yard.servers:
            each.slots, each.work_seconds = 64, 0.0
        stands = multiprocessing.Process(target=stand, args=(yard.platform, yard.servers), daemon=True)
        stands.start()
        try:
            yard.start_all(first=True)
            pid = yard.processes[0].pid
            door, server = f"{yard.ips[0]}:{yard.front}", yard.servers[0].address
            call_until_settled(yard.control_addresses(), "PUT", "/-/configuration", word(1, 0.0), 30.0)
            yard.wait_until(lambda: yard.request(0, "GET", "/read/first", "first")[0] == 200)
            before = used(pid)
            time.sleep(SPAN)
            found["rest_cpu"] = (used(pid) - before) / SPAN
            for name, number, quota in (("no quota", 2, 0.0), ("a quota", 3, 1e6)):
                call_until_settled(
                    yard.control_addresses(), "PUT", "/-/configuration", word(number, quota), 30.0
                )
                time.sleep(1.0)
                found[name] = max(
                    (full(pid, door, found["rest_cpu"]) for _ in range(ROUNDS)),
                    key=lambda one: one["a_second"],
                )
            most = found["a quota"]["a_second"]
            expected = f"X-Hazelspring-Expected-Instance: {yard.servers[0].id}\r\n"
            for part in PACES:
                rounds = [
                    {
                        "through": uvloop.run(drive(door, "", part * most)),
                        "direct": uvloop.run(drive(server, expected, part * most)),
                    }
                    for _ in range(ROUNDS)
                ]
                least = min(rounds, key=lambda one: one["direct"]["p99_ms"])
                ends = sorted(one["through"]["p99_ms"] for one in rounds)
                found[f"pace {part:g}"] = {**least, "p99_ms": [ends[0], ends[-1]]}
            found["memory"] = peak(pid)
            found["descriptors"] = len(os.listdir(f"/proc/{pid}/fd"))
        finally:
            yard.close()
            stands.terminate()
            stands.join(5)
    return found
