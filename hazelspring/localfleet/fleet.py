"""Runs nodes and servers as processes on loopback addresses, with disks, signals and client requests."""

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
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from hazelspring.localfleet.stand_ins import StandInServer

ROOT = Path(__file__).parent.parent.parent
ZONES = {"north-1": "north", "north-2": "north", "south-1": "south", "south-2": "south"}
KEY = "key-of-green"
SEED_COUNT = 3  # seed nodes in the settings of each node
ADDRESSES_PER_FLEET = 16  # of nodes; as many are reserved for servers
FIRST_SERVER, FIRST_PLATFORM = 100, 200  # last octets of the addresses
START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 15.0  # seconds from a signal until a process has ended
REQUEST_TIMEOUT = 5.0  # seconds
READINESS_TIMEOUT = 1.0  # seconds
POLL_INTERVAL = 0.05  # seconds


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free a moment ago; another process may still take them."""
    sockets = []
    for _ in range(count):
        sockets.append(socket.socket())
        sockets[-1].bind((host, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def configuration(
    number: int, timeout_ms: int = 4000, keys: tuple[str, ...] = (KEY,), requests_per_second: int = 200
) -> bytes:
    """Return a small configuration as JSON: a tenant, and a service with routes for reads and writes.

    Reads under ``/open/`` need no access key; the others count towards the tenant's quota.
    """

    def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
        spec = {
            "hostName": "shop.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout_ms,
            "targetAnswerMs": 800, "priority": 1, "service": "shop", "maximumAttempts": 2, **more,
        }  # fmt: skip
        return {"resourceKind": "routeTable", "metadata": {"name": name}, "specification": spec}

    service = {"healthPath": "/health", "connectionLimit": 100, "coldStartS": 0.2, "coldPerS": 2}
    tenant = {
        "accessKeys": list(keys),
        "requestsPerS": requests_per_second,
        "burstSize": requests_per_second,
    }
    resources = [
        route("reads", "/read/", "read_only"),
        route("open", "/open/", "read_only", openAccess=True),
        route("writes", "/write/", "mutating"),
        {"resourceKind": "serviceTable", "metadata": {"name": "shop"}, "specification": service},
        {"resourceKind": "tenantTable", "metadata": {"name": "green"}, "specification": tenant},
    ]
    return json.dumps({"versionNumber": f"r{number}", "resourceList": resources}).encode()


class ClientAnswer(NamedTuple):
    """The answer to a client's request; the status is 0 if the connection ended without an answer."""

    status: int
    body: bytes


class LocalFleet:
    """Core nodes, which have disks, and other nodes, numbered from 0.

    Each node has its own address in 127.0.0.0/8, and all use the same ports. ``program`` are the arguments
    of the Python interpreter that run a node, ``settings`` are added to the usual settings, ``apart`` means
    that each server runs as a process of its own, and ``nth`` is the number of the fleet, which keeps the
    addresses of several fleets of one process distinct.
    """

    def __init__(
        self,
        folder: Path,
        core: int = 4,
        others: int = 2,
        servers: int = 4,
        program: tuple[str, ...] = ("-m", "hazelspring.daemon", "serve"),
        *,
        settings: dict[str, str] | None = None,
        apart: bool = False,
        nth: int = 0,
    ) -> None:
        self.folder = folder
        self.program = program
        self.extra_settings = settings or {}
        self.disks = set(range(core))  # numbers of the nodes that have a disk
        self.lost_nodes: set[int] = set()  # permanently killed by `replace`
        # Ports: clients, readiness, control calls, look-ups, messages between nodes, the platform, servers
        ports = free_ports(7)
        self.front, self.ready, self.control, self.directory, self.port, self.platform_port, server_port = (
            ports
        )
        self.net = f"127.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
        self.first_node = 1 + ADDRESSES_PER_FLEET * nth
        zones = list(ZONES)
        self.ips = [f"{self.net}.{self.first_node + n}" for n in range(core + others)]
        self.zones = [zones[n % len(zones)] for n in range(core + others)]
        self.platform = f"{self.net}.{FIRST_PLATFORM + nth}:{self.platform_port}"
        self.servers = [
            StandInServer(
                f"i-{n}",
                "shop",
                f"{self.net}.{FIRST_SERVER + self.first_node + n}:{server_port}",
                zones[n % len(zones)],
                separate_process=apart,
            )
            for n in range(servers)
        ]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.server_processes: dict[int, subprocess.Popen[bytes]] = {}

    def write_settings(self, node: int, first: bool) -> Path:
        """Write a node's settings file and create its data directory; ``first`` lets it bootstrap a core."""
        ip, zone = self.ips[node], self.zones[node]
        data = self.data_directory(node)
        if node in self.disks:
            data.mkdir(parents=True, exist_ok=True)
        lines = {
            "thisDoor.nodeName": f"node-{node + 1}",
            "thisDoor.internetAddress": ip,
            "thisDoor.zone": zone,
            "thisDoor.answerRegion": ZONES[zone],
            "thisDoor.firstStart": str(first).lower(),
            "thisDoor.dataDirectory": str(data) if node in self.disks else "",
            "network.listenAddresses.front": f"{ip}:{self.front}",
            "network.listenAddresses.readiness": f"{ip}:{self.ready}",
            "network.listenAddresses.controlAddress": f"{ip}:{self.control}",
            "network.listenAddresses.directoryAddress": f"{ip}:{self.directory}",
            "network.internalPorts": f"{self.port},{self.port}",
            "network.seedNodes": ",".join(
                [self.control_addresses()[seed] for seed in self.remaining_nodes()][:SEED_COUNT]
            ),
            **{f"network.zones.{name}": region for name, region in ZONES.items()},
            "platformSettings.cloudInterface.address": self.platform,
            "timingTerms.ruleBounds.budgetSlack": "60",
            "timingTerms.ruleBounds.quotaSlack": "20",
            **self.extra_settings,
        }
        path = self.folder / f"node-{node + 1}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        return path

    def region(self, node: int) -> str:
        """Return the region of a node."""
        return ZONES[self.zones[node]]

    def data_directory(self, node: int) -> Path:
        """Return the path of a node's disk, whether or not the node has one."""
        return self.folder / f"node-{node + 1}"

    def start(self, node: int, first: bool = False) -> None:
        """Start a node's process; its log goes to a file beside its settings."""
        environment = {**os.environ, "HAZELSPRING_SETTINGS": str(self.write_settings(node, first))}
        with (self.folder / f"node-{node + 1}.log").open("ab") as log:
            command = [sys.executable, *self.program]
            self.processes[node] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_all(self, first: bool = False) -> None:
        """Start every node."""
        for node in range(len(self.ips)):
            self.start(node, first)

    def kill(self, node: int, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a node a signal, and wait for its end; raises TimeoutExpired after STOP_TIMEOUT."""
        process = self.processes.pop(node)
        process.send_signal(number)
        process.wait(STOP_TIMEOUT)

    def wipe(self, node: int) -> None:
        """Delete a node's disk; the next start creates an empty one."""
        shutil.rmtree(self.data_directory(node))

    def remaining_nodes(self) -> list[int]:
        """Return the nodes that are not permanently lost; replacements of lost nodes are included."""
        return [node for node in range(len(self.ips)) if node not in self.lost_nodes]

    def replace(self, node: int) -> int:
        """Kill a node permanently, and return the number of its replacement, which the caller must start.

        The replacement is in the same zone, at a new address, with an empty disk if the lost node had one.
        """
        self.kill(node)
        self.lost_nodes.add(node)
        self.ips.append(f"{self.net}.{self.first_node + len(self.ips)}")
        self.zones.append(self.zones[node])
        if node in self.disks:
            self.disks = self.disks - {node} | {len(self.ips) - 1}
        return len(self.ips) - 1

    def start_server(self, server: int) -> None:
        """Start a server as a process, which logs the requests that it executes."""
        listed = self.servers[server]
        arguments = [listed.id, listed.service, listed.address, listed.zone, str(self.execution_log(server))]
        self.server_processes[server] = subprocess.Popen(
            [sys.executable, "-m", "hazelspring.localfleet.stand_ins", *arguments], cwd=ROOT
        )

    def execution_log(self, server: int) -> Path:
        """Return the file to which a server process appends the attempt ids of the requests it executes."""
        return self.folder / f"server-{server}.ran"

    def close(self) -> None:
        """Kill all processes, including those stopped by SIGSTOP."""
        processes = [*self.processes.values(), *self.server_processes.values()]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait(STOP_TIMEOUT)

    def control_addresses(self) -> list[str]:
        """Return the control address of each node, including lost ones."""
        return [f"{ip}:{self.control}" for ip in self.ips]

    def request(self, node: int, method: str, path: str, attempt: str, key: str = KEY) -> ClientAnswer:
        """Send a client's request to one node, and return its answer; ``key`` is the tenant's access key."""
        headers = {
            "Host": "shop.example",
            "X-Hazelspring-Attempt-Id": attempt,
            "Authorization": f"Bearer {key}",
            "X-Hazelspring-Remaining-Milliseconds": "3000",
        }
        body = b"" if method == "POST" else None
        url = f"http://{self.ips[node]}:{self.front}{path}"
        request = urllib.request.Request(url, body, headers, method=method)
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT) as answer:
                return ClientAnswer(answer.status, answer.read())
        except urllib.error.HTTPError as error:
            return ClientAnswer(error.code, error.read())
        except OSError:
            return ClientAnswer(0, b"")

    def is_ready(self, node: int) -> bool:
        """Return whether a node answers that it is ready."""
        url = f"http://{self.ips[node]}:{self.ready}/-/readiness"
        try:
            with urllib.request.urlopen(url, timeout=READINESS_TIMEOUT) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    def wait_until(self, condition: Callable[..., object], seconds: float = START_TIMEOUT) -> None:
        """Wait for a condition to become true; raises TimeoutError after ``seconds``."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"condition not met within {seconds} s")
            time.sleep(POLL_INTERVAL)
