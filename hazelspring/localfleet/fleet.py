"""Doors and servers as processes on loopback addresses: settings, start, signals, disks, and a client's request."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from hazelspring.localfleet.stand_ins import StandInServer

ROOT = Path(__file__).parent.parent.parent
ZONES = {"north-1": "north", "north-2": "north", "south-1": "south", "south-2": "south"}
KEY = "key-of-green"


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Ports that nobody listened on a moment ago."""
    held = []
    for _ in range(count):
        held.append(socket.socket())
        held[-1].bind((host, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def configuration(number: int, timeout_ms: int = 4000, keys: tuple[str, ...] = (KEY,)) -> bytes:
    """A small configuration: reads and writes of one service, one tenant."""

    def route(name: str, prefix: str, kind: str) -> dict[str, Any]:
        spec = {
            "hostName": "shop.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout_ms,
            "targetAnswerMs": 800, "priority": 1, "service": "shop", "maximumAttempts": 2,
        }  # fmt: skip
        return {"resourceKind": "routeTable", "metadata": {"name": name}, "specification": spec}

    service = {"healthPath": "/health", "connectionLimit": 100, "coldStartS": 0.2, "coldPerS": 2}
    tenant = {"accessKeys": list(keys), "requestsPerS": 200, "burstSize": 200}
    resources = [
        route("reads", "/read/", "read_only"),
        route("writes", "/write/", "mutating"),
        {"resourceKind": "serviceTable", "metadata": {"name": "shop"}, "specification": service},
        {"resourceKind": "tenantTable", "metadata": {"name": "green"}, "specification": tenant},
    ]
    return json.dumps({"versionNumber": f"r{number}", "resourceList": resources}).encode()


class LocalFleet:
    """So many core doors and others; each has an address of its own in 127.0.0.0/8, and all have the same ports.
    `program` is what runs a door, `settings` are lines beside the usual ones, `apart` gives each server a process;
    `nth` keeps the addresses of several yards of one process apart."""

    def __init__(
        self,
        folder: Path,
        core: int = 4,
        others: int = 2,
        servers: int = 4,
        program: tuple[str, ...] = ("-m", "hazelspring.daemon", "serve"),
        settings: dict[str, str] | None = None,
        apart: bool = False,
        nth: int = 0,
    ) -> None:
        self.folder, self.program, self.more = folder, program, settings or {}
        self.disks = set(range(core))  # doors that have one
        self.lost_nodes: set[int] = set()  # doors that were lost for good
        self.front, self.ready, self.control, self.directory, self.port, self.platform_port, web = free_ports(
            7
        )
        net = self.net = f"127.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
        self.first = first = 1 + 16 * nth
        self.ips = [f"{net}.{first + n}" for n in range(core + others)]
        self.zones = [list(ZONES)[n % len(ZONES)] for n in range(core + others)]
        self.platform = f"{net}.{200 + nth}:{self.platform_port}"
        self.servers = [
            StandInServer(
                f"i-{n}",
                "shop",
                f"{net}.{100 + first + n}:{web}",
                list(ZONES)[n % len(ZONES)],
                separate_process=apart,
            )
            for n in range(servers)
        ]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.server_processes: dict[int, subprocess.Popen[bytes]] = {}  # of servers that are processes
        self.started = False

    def write_settings(self, n: int, first: bool) -> Path:
        ip, zone = self.ips[n], self.zones[n]
        data = self.folder / f"node-{n + 1}"
        if n in self.disks:
            data.mkdir(parents=True, exist_ok=True)
        lines = {
            "thisDoor.nodeName": f"node-{n + 1}",
            "thisDoor.internetAddress": ip,
            "thisDoor.zone": zone,
            "thisDoor.answerRegion": ZONES[zone],
            "thisDoor.firstStart": str(first).lower(),
            "thisDoor.dataDirectory": str(data) if n in self.disks else "",
            "network.listenAddresses.front": f"{ip}:{self.front}",
            "network.listenAddresses.readiness": f"{ip}:{self.ready}",
            "network.listenAddresses.controlAddress": f"{ip}:{self.control}",
            "network.listenAddresses.directoryAddress": f"{ip}:{self.directory}",
            "network.internalPorts": f"{self.port},{self.port}",
            "network.seedNodes": ",".join(
                [self.control_addresses()[seed] for seed in self.remaining_nodes()][:3]
            ),
            **{f"network.zones.{name}": region for name, region in ZONES.items()},
            "platformSettings.cloudInterface.address": self.platform,
            "timingTerms.ruleBounds.budgetSlack": "60",
            "timingTerms.ruleBounds.quotaSlack": "20",
            **self.more,
        }
        path = self.folder / f"node-{n + 1}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        return path

    def start(self, n: int, first: bool = False) -> None:
        environment = {**os.environ, "HAZELSPRING_SETTINGS": str(self.write_settings(n, first))}
        with (self.folder / f"node-{n + 1}.log").open("ab") as log:
            command = [sys.executable, *self.program]
            self.processes[n] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def start_all(self, first: bool = False) -> None:
        for n in range(len(self.ips)):
            self.start(n, first)

    def kill(self, n: int, number: signal.Signals = signal.SIGKILL) -> None:
        process = self.processes.pop(n)
        process.send_signal(number)
        process.wait(15)

    def wipe(self, n: int) -> None:
        shutil.rmtree(self.folder / f"node-{n + 1}")

    def remaining_nodes(self) -> list[int]:
        """Doors that were not lost for good."""
        return [n for n in range(len(self.ips)) if n not in self.lost_nodes]

    def replace(self, n: int) -> int:
        """Lose a door for good; the number of one in its zone, on a new address and with an empty disk if it had one,
        that has yet to be started."""
        self.kill(n)
        self.lost_nodes.add(n)
        self.ips.append(f"{self.net}.{self.first + len(self.ips)}")
        self.zones.append(self.zones[n])
        if n in self.disks:
            self.disks = self.disks - {n} | {len(self.ips) - 1}
        return len(self.ips) - 1

    def start_server(self, n: int) -> None:
        """Start a server as a process; what it runs it adds to a file."""
        server = self.servers[n]
        words = [server.id, server.service, server.address, server.zone, str(self.execution_log(n))]
        self.server_processes[n] = subprocess.Popen(
            [sys.executable, "-m", "hazelspring.localfleet.stand_ins", *words], cwd=ROOT
        )

    def execution_log(self, n: int) -> Path:
        return self.folder / f"server-{n}.ran"

    def close(self) -> None:
        processes = [*self.processes.values(), *self.server_processes.values()]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait(10)

    def control_addresses(self) -> list[str]:
        return [f"{ip}:{self.control}" for ip in self.ips]

    def request(self, n: int, method: str, path: str, attempt: str, key: str = KEY) -> tuple[int, bytes]:
        """A client's request at one door: status and body; status 0 where the connection ended without one."""
        headers = {
            "Host": "shop.example", "X-Hazelspring-Attempt-Id": attempt, "Authorization": f"Bearer {key}",
            "X-Hazelspring-Remaining-Milliseconds": "3000",
        }  # fmt: skip
        body = b"" if method == "POST" else None
        request = urllib.request.Request(
            f"http://{self.ips[n]}:{self.front}{path}", body, headers, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def is_ready(self, n: int) -> bool:
        try:
            with urllib.request.urlopen(
                f"http://{self.ips[n]}:{self.ready}/-/readiness", timeout=1
            ) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    def wait_until(self, what: Any, seconds: float = 20.0) -> None:
        """Wait for something to become true; raises TimeoutError after so long."""
        end = time.monotonic() + seconds
        while not what():
            if time.monotonic() > end:
                raise TimeoutError(f"not within {seconds} s")
            time.sleep(0.05)
