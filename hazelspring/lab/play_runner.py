"""Runs a play, which is one run of a day file with one seed.

The runner process starts the other processes, applies the faults and cleans up; it owns every process and
file of the play.  The command line starts the runner, writes the play to its standard input as the first
line, and keeps that pipe open; the runner ends when the pipe is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import itertools
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from hazelspring.lab.models.counter import Counter, CounterSpec
from hazelspring.lab.models.discovery import Discovery, Health, Host
from hazelspring.lab.models.random_streams import stream, uniform
from hazelspring.lab.plan import KINDS, PlannedFault, Play, planned_faults, servers_of, settings_of
from hazelspring.lab.record import Note, Recorder, Sample
from hazelspring.lab.simulators.child_process import Message, clock, run_child, send
from hazelspring.lab.simulators.services import ServiceListeners, SimulatedAgent, SimulatedCounter

READY_POLL_S = 0.05  # seconds between checks whether a gateway is ready
START_DELAY_S = 0.5  # seconds between the start message and the start of the play
SAMPLE_PERIOD_S = 0.5  # seconds between samples of the gateways' processes
STATS_PERIOD_S = 1.0  # seconds between reports to the command line
OLD_ADDRESS_GRACE_S = 1.5  # seconds for which connections to the old addresses stay open after a reload
MANAGEMENT_CALL_LIMIT_S = 1.0  # seconds within which a management call has to be answered
TERMINATION_GRACE_S = 3.7  # seconds from SIGTERM to SIGKILL: the longest request deadline plus 0.7 s
MAX_START_ATTEMPTS = 3  # a start fails if another process has taken its port meanwhile
KEPT_LOG_BYTES = 64 * 1024  # bytes kept of the log of a gateway process
LOWEST_PORT, FIRST_EPHEMERAL_PORT = 20_000, 32_768
PASSED_SOCKET_FD = 4  # descriptor at which a gateway receives the platform's listening socket
READY_NOTICE_S = (1.0, 2.5)  # seconds after which discovery lists a started server as ready
SILENT_NOTICE_S = (4.7, 10.0)  # seconds after which discovery lists a cut-off server as gone
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Have the kernel kill the calling process with SIGKILL when its parent ends."""
    _libc.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


# Ports for processes that have not started yet are taken from below the range that Linux assigns to
# outgoing connections (from 32768 on, see ip_local_port_range): any connection could take a port of that
# range before the process listens on it.
_ports = itertools.cycle(range(LOWEST_PORT, FIRST_EPHEMERAL_PORT))
# Each lab begins at a random port, so that concurrent labs use different ones.
for _ in range(random.randrange(FIRST_EPHEMERAL_PORT - LOWEST_PORT)):
    next(_ports)


def free_port() -> int:
    """Return a port of 127.0.0.1 on which no process listens at the moment."""
    while True:
        port = next(_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Process:
    """One process of a gateway."""

    def __init__(
        self, index: int, handle: asyncio.subprocess.Process, management: str, started_at: float
    ) -> None:
        self.index, self.handle, self.management, self.started_at = index, handle, management, started_at
        self.end_requested = False  # whether the runner has signalled it to end
        self.log, self.log_bytes = bytearray(), 0

    @property
    def pid(self) -> int:
        """The process id."""
        return self.handle.pid

    def signal(self, number: int) -> None:
        """Send the process a signal, unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(number)

    async def read_log(self) -> None:
        """Read its log to the end, but keep only the first 64 KiB, which bounds the memory used."""
        assert self.handle.stderr is not None
        while data := await self.handle.stderr.read(16384):
            self.log_bytes += len(data)
            self.log += data[: max(0, KEPT_LOG_BYTES - len(self.log))]

    def cpu(self) -> float:
        """Return the CPU seconds used since its start.  Raises OSError if the process has ended."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def memory_kb(self) -> int:
        """Return the resident memory in kB.  Raises OSError if the process has ended."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_KB

    def descriptors(self) -> int:
        """Return the number of open file descriptors.  Raises OSError if the process has ended."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


class Gateway:
    """One gateway with its addresses, its files and its running processes, the newest last."""

    def __init__(self, runner: PlayRunner, index: int) -> None:
        self.runner, self.index, self.name = runner, index, f"n{index}"
        self.folder = Path(runner.play.folder) / self.name
        self.shared = self.folder / "tmp"
        self.shared.mkdir(parents=True)
        self.config = self.folder / "config.json"
        self.sock: socket.socket | None = None
        if runner.day.passes_listening_socket():
            self.sock = socket.socket()
            self.sock.bind(("127.0.0.1", 0))
            self.sock.listen(512)
        self.port = self.sock.getsockname()[1] if self.sock is not None else free_port()
        self.address_set = 0  # addresses of counter and discovery in use: 0 from the start, 1 after a reload
        self.processes: list[Process] = []

    def write(self) -> None:
        """Write its configuration file, replacing the old one atomically."""
        runner = self.runner
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": runner.addresses[f"agent {self.index} {self.address_set}"],
            "counter": runner.addresses[f"counter {self.address_set}"],
            "seed": f"{runner.play.seed * 1000 + self.index:016x}",
            "limits": {"cores": 1.0, "memory_mb": runner.day.memory_mb, "sockets": runner.day.sockets},
            "known": msgspec.json.decode(
                runner.agents[self.index].line(1, True, runner.discovery.full_list(1)),
            ),
            "settings": settings_of(runner.day, runner.play.seed, self.index),
        }
        new = self.config.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(config))
        new.replace(self.config)

    async def start(self) -> Process:
        """Start a process; `wait_until_ready` waits until it serves.  Raises OSError if it cannot start."""
        management = f"127.0.0.1:{free_port()}"
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")} | {
            "NODE_NAME": self.name,
            "NODE_CONFIG": str(self.config),
            "NODE_MANAGEMENT": management,
            "TMPDIR": str(self.shared),
        }
        sock = self.sock
        if sock is not None:
            env["NODE_PASSED_SOCKET"] = str(PASSED_SOCKET_FD)

        def prepare_child() -> None:
            die_with_parent()
            if sock is not None:
                os.dup2(sock.fileno(), PASSED_SOCKET_FD)

        handle = await asyncio.create_subprocess_exec(
            *self.runner.gateway_command,
            env=env,
            cwd=self.runner.gateway_root,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=prepare_child,
            pass_fds=(PASSED_SOCKET_FD,) if sock is not None else (),
        )
        process = Process(self.index, handle, management, time.monotonic())
        self.processes.append(process)
        self.runner.spawn(process.read_log())
        self.runner.spawn(self.record_exit(process))
        return process

    async def record_exit(self, process: Process) -> None:
        """Wait until the process ends; record its log size and whether it crashed or ended with an error."""
        status = await process.handle.wait()
        self.processes = [p for p in self.processes if p is not process]
        runner = self.runner
        runner.ended.append(process)
        runner.note("log", self.name, process.log_bytes)
        if not process.end_requested:
            runner.note("crashed", self.name, status)
            runner.notify_load(self.index, up=False)
        elif status not in (0, -signal.SIGKILL):
            runner.note("ended badly", self.name, status)

    async def wait_until_ready(self, process: Process, by_management: bool = False) -> bool:
        """Poll its client or management address; return whether it is ready within `allow.ready_s`."""
        until = time.monotonic() + self.runner.day.allow.ready_s
        while time.monotonic() < until and process.handle.returncode is None:
            address = process.management if by_management else f"127.0.0.1:{self.port}"
            path = "/_ready" if by_management else "/-/ready"
            with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                if await http_status(address, "GET", path) == 200:
                    return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def start_until_ready(self, first: bool = False) -> bool:
        """Start a process and return whether it became ready; if so, report it to the load process.

        With `first`, up to three starts are attempted.  If a port was taken, the next start uses another.
        """
        for _ in range(MAX_START_ATTEMPTS if first else 1):
            self.write()
            process = await self.start()
            if await self.wait_until_ready(process):
                cpu = 0.0
                with contextlib.suppress(OSError):
                    cpu = process.cpu()
                self.runner.note("ready", self.name, time.monotonic() - process.started_at)
                self.runner.note("start cpu", self.name, cpu)
                self.runner.notify_load(self.index, up=True)
                return True
            process.end_requested = True
            process.signal(signal.SIGKILL)
            await process.handle.wait()
            if b"cannot listen" in process.log:
                self.port = free_port()
        self.runner.note("never ready", self.name)
        return False

    async def kill(self, restart_after_s: float) -> None:
        """Kill its processes and, unless the play is over, start a new one after `restart_after_s`."""
        self.runner.note("killed", self.name)
        for process in self.processes:
            process.end_requested = True
            process.signal(signal.SIGKILL)
        self.runner.notify_load(self.index, up=False)
        await asyncio.sleep(restart_after_s)
        if not self.runner.finished:
            await self.start_until_ready()

    async def terminate(self, process: Process) -> None:
        """End a process with SIGTERM, and with SIGKILL if it still runs after 3.7 s."""
        process.end_requested = True
        process.signal(signal.SIGTERM)
        self.runner.note("termed", self.name)
        try:
            async with asyncio.timeout(TERMINATION_GRACE_S):
                await process.handle.wait()
        except TimeoutError:
            self.runner.note("overdue", self.name)
            process.signal(signal.SIGKILL)

    async def restart(self) -> None:
        """Terminate its processes and, unless the play is over, start a new one."""
        self.runner.notify_load(self.index, up=False, planned=True)
        for process in list(self.processes):
            await self.terminate(process)
        if not self.runner.finished:
            await self.start_until_ready()

    def reload(self) -> None:
        """Write a configuration with other addresses of counter and discovery, and send SIGHUP."""
        self.address_set = 1
        self.write()
        self.runner.note("reloaded", self.name)
        for process in self.processes:
            process.signal(signal.SIGHUP)

    async def call_management(self, method: str, path: str, body: bytes = b"") -> bool:
        """Call its management address and return whether the status was 2xx.

        A call with another status, or one that took more than a second, is recorded as a note.
        """
        if not self.processes:
            return False
        started_at = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            status = await http_status(self.processes[-1].management, method, path, body)
        spent = time.monotonic() - started_at
        if not 200 <= status < 300 or spent > MANAGEMENT_CALL_LIMIT_S:
            self.runner.note(f"call {method} {path} answered {status}", self.name, spent)
        return 200 <= status < 300

    async def put_configuration(self, rollback: bool, undo_after_s: float) -> None:
        """PUT its configuration with `max_attempts` less 1; `rollback`: undo this after `undo_after_s`."""
        config = msgspec.json.decode(self.config.read_bytes())
        config["settings"]["caps"]["max_attempts"] -= 1
        config.pop("known")
        await self.call_management("PUT", "/_configuration", msgspec.json.encode(config))
        if rollback:
            await asyncio.sleep(undo_after_s)
            await self.call_management("PUT", "/_configuration/rollback")

    async def upgrade(self, dies: bool) -> None:
        """Start a second process on the platform's socket; when it is ready, terminate the first.

        With `dies`, the new process is killed after 0.3 s instead.
        """
        old = list(self.processes)
        new = await self.start()
        if dies:
            await asyncio.sleep(0.3)
            new.end_requested = True
            new.signal(signal.SIGKILL)
            self.runner.note("new one killed", self.name)
        elif await self.wait_until_ready(new, by_management=True):
            self.runner.note("upgraded", self.name, time.monotonic() - new.started_at)
            for process in old:
                await self.terminate(process)
        else:
            self.runner.note("never ready", self.name)


async def http_status(address: str, method: str, path: str, body: bytes = b"") -> int:
    """Make an HTTP request and return the status.  Raises OSError, ValueError, or TimeoutError after 2 s."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(2.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n".encode()
                + body
            )
            return int((await reader.readline()).split()[1])
        except IndexError:
            raise ValueError("the response has no status line") from None
        finally:
            writer.close()


class SimulatorProcess:
    """A process that simulates alert servers or clients; messages are JSON lines on its pipes."""

    def __init__(self, handle: asyncio.subprocess.Process) -> None:
        self.handle = handle

    def send(self, **fields: object) -> None:
        """Send the process one message, unless its pipe is closed."""
        if self.handle.stdin is not None and not self.handle.stdin.is_closing():
            self.handle.stdin.write(msgspec.json.encode(fields) + b"\n")

    async def receive(self, key: str) -> Any:
        """Return the value of the next message with this key.  Raises RuntimeError if the process ends."""
        assert self.handle.stdout is not None
        while line := await self.handle.stdout.readline():
            if key in (message := msgspec.json.decode(line)):
                return message[key]
        raise RuntimeError(f"a simulator process ended before it sent the message `{key}`")


class PlayRunner:
    """Runs one play: owns the gateways, the simulator processes, the counter and discovery."""

    def __init__(self, play: Play) -> None:
        self.play, self.day = play, play.parsed()
        self.root = Path(__file__).parent.parent.parent
        self.gateway_command = play.gateway_command or (sys.executable, "-m", "hazelspring.gateway")
        self.gateway_root = play.gateway_root or str(self.root)
        self.tasks: set[asyncio.Task[None]] = set()
        self.now: Callable[[], float] = clock(time.monotonic() + 1000.0)
        folder = Path(play.folder)
        self.notes = Recorder(folder / "stage.note.jsonl")
        self.samples = Recorder(folder / "stage.sample.jsonl")
        self.specs = servers_of(self.day, play.seed)
        self.random = stream(play.seed, "discovery")
        hosts = [Host(s.name, self.day.zones[s.zone], KINDS[s.kind], s.rack) for s in self.specs]
        self.discovery = Discovery(self.day.doors, hosts)
        self.discovery.update_delays_s = [
            uniform(self.random, self.day.told_s) for _ in range(self.day.doors)
        ]
        spec = stream(play.seed, "counter")
        self.counter = SimulatedCounter(
            Counter(
                CounterSpec(
                    parts=int(spec.integers(1, 3)),
                    per_s=uniform(spec, (860, 1200)) * self.day.pace,
                    call=uniform(spec, (0.00036, 0.002)),
                )
            ),
            lambda: self.now(),
        )
        self.addresses: dict[str, str] = {}
        self.agents: list[SimulatedAgent] = []
        self.gateways: list[Gateway] = []
        self.ended: list[Process] = []  # gateway processes that have ended
        self.finished = False
        self.stats: dict[str, dict[str, float]] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, event: str, who: str = "", value: float = 0.0) -> None:
        """Record an event with the current time of the play."""
        self.notes.add(Note(self.now(), event, who, value))

    def notify_load(self, gateway: int, up: bool, planned: bool = False) -> None:
        """Notify the load process that a gateway is ready (`up`) or has ended."""
        self.load.send(door=gateway, up=up, planned=planned)

    async def start_simulator(self, module: str, *arguments: str) -> SimulatorProcess:
        """Start a simulator process and send it the play."""
        handle = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, cwd=self.root, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, preexec_fn=die_with_parent, limit=2**24,
        )  # fmt: skip
        assert handle.stdin is not None
        handle.stdin.write(msgspec.json.encode(self.play) + b"\n")
        return SimulatorProcess(handle)

    async def start_fleet(self) -> None:
        """Start all simulators, then all gateways.  Raises RuntimeError if one does not become ready."""
        self.server_processes = [
            await self.start_simulator("hazelspring.lab.simulators.servers", str(n))
            for n in range(self.play.server_process_count)
        ]
        self.load = await self.start_simulator("hazelspring.lab.simulators.clients")
        ports: dict[str, list[int]] = {}
        for process in self.server_processes:
            ports |= await process.receive("dials")
        for index in range(self.day.doors):
            dials = {
                spec.name: f"127.0.0.1:{ports[str(number)][index]}" for number, spec in enumerate(self.specs)
            }
            self.agents.append(SimulatedAgent(self.discovery, index, dials, lambda: self.now(), self.notes))
        self.services = ServiceListeners(self.counter, self.agents)
        self.addresses = await self.services.listen()
        await self.load.receive("ready")
        self.gateways = [Gateway(self, index) for index in range(self.day.doors)]
        became_ready = await asyncio.gather(
            *(gateway.start_until_ready(first=True) for gateway in self.gateways)
        )
        if not all(became_ready):
            logs = [bytes(p.log[-300:]).decode(errors="replace") for p in self.ended if p.log]
            raise RuntimeError(f"a gateway did not become ready: {' '.join(logs[-1:])}".strip())

    def schedule_faults(self, faults: list[PlannedFault]) -> None:
        """Schedule all faults of the day, and the changes that discovery reports because of them."""
        loop = asyncio.get_running_loop()

        def at(moment: float, action: Callable[..., None], *arguments: object) -> None:
            loop.call_later(max(0.0, moment - self.now()), action, *arguments)

        for planned in faults:
            at(planned.fault.at, self.begin_fault, planned)
            self.schedule_discovery_changes(planned, at)

    def begin_fault(self, planned: PlannedFault) -> None:
        """Begin a fault of gateways, counter or discovery; the simulators apply those of alert servers."""
        fault, loop = planned.fault, asyncio.get_running_loop()
        gateways = [self.gateways[n] for n in planned.targets] if fault.kind in (
            "kill_doors", "term_doors", "reload", "put", "rollback", "upgrade", "upgrade_dies"
        ) else []  # fmt: skip
        for gateway in gateways:
            match fault.kind:
                case "kill_doors":
                    self.spawn(gateway.kill(fault.lasts))
                case "term_doors":
                    self.spawn(gateway.restart())
                case "reload":
                    gateway.reload()
                case "put" | "rollback":
                    self.spawn(gateway.put_configuration(fault.kind == "rollback", fault.lasts))
                case "upgrade" | "upgrade_dies":
                    self.spawn(gateway.upgrade(fault.kind == "upgrade_dies"))
        match fault.kind:
            case "reload":
                self.spawn(self.retire_old_addresses(all_gateways=len(gateways) == len(self.gateways)))
            case "ban":
                self.spawn(self.ban(planned))
            case "counter_away":
                self.counter.unavailable = True
                loop.call_later(fault.lasts, self.restore_counter)
            case "counter_slow":
                self.counter.model.slow = fault.size
                loop.call_later(fault.lasts, self.restore_counter_speed)
            case "counter_forget":
                self.counter.model.lose()
            case "discovery_late":
                previous_delays_s = list(self.discovery.update_delays_s)
                self.discovery.update_delays_s = [delay_s + fault.size for delay_s in previous_delays_s]
                loop.call_later(fault.lasts, self.restore_discovery_delays, previous_delays_s)
            case "discovery_silent":
                self.discovery.silent = True
                loop.call_later(fault.lasts, self.end_discovery_silence)
            case "discovery_full":
                self.discovery.calls_per_s_limit = round(fault.size)
                loop.call_later(fault.lasts, self.lift_discovery_limit)

    def restore_counter(self) -> None:
        """End the counter's outage.  It restarts on another machine, so its old connections are reset."""
        self.counter.unavailable = False
        for peer in list(self.counter.peers):
            if peer.transport is not None:
                peer.transport.abort()

    def restore_counter_speed(self) -> None:
        """End the fault that slows the counter down."""
        self.counter.model.slow = 1.0

    def restore_discovery_delays(self, delays_s: list[float]) -> None:
        """Set the seconds after which each gateway receives a change back to these values."""
        self.discovery.update_delays_s = delays_s

    def end_discovery_silence(self) -> None:
        """Let discovery send updates again."""
        self.discovery.silent = False

    def lift_discovery_limit(self) -> None:
        """Let discovery accept any number of calls again."""
        self.discovery.calls_per_s_limit = 0

    async def retire_old_addresses(self, all_gateways: bool) -> None:
        """Stop accepting connections at the old addresses, and close the existing ones after 1.5 s."""
        old = [f"agent {gateway.index} 0" for gateway in self.gateways if gateway.address_set]
        old += ["counter 0"] if all_gateways else []
        for name in old:
            self.services.stop_listening(name)
        await asyncio.sleep(OLD_ADDRESS_GRACE_S)
        for name in old:
            self.services.close_connections(name)

    async def ban(self, planned: PlannedFault) -> None:
        """Act as an operator: detach servers at all gateways, restart them, and attach them again."""
        for index in planned.targets:
            name = self.specs[index].name
            for gateway in self.gateways:
                if await gateway.call_management("PUT", "/_alert-servers/detach", name.encode()):
                    self.note("banned", f"{name} {gateway.index}")
        await asyncio.sleep(MANAGEMENT_CALL_LIMIT_S)
        for process in self.server_processes:
            process.send(restart=list(planned.targets))
        await asyncio.sleep(max(0.0, planned.end - self.now()))
        for index in planned.targets:
            name = self.specs[index].name
            for gateway in self.gateways:
                self.note("called back", f"{name} {gateway.index}")
                await gateway.call_management("PUT", "/_alert-servers/attach", name.encode())

    def schedule_discovery_changes(self, planned: PlannedFault, at: Callable[..., None]) -> None:
        """Schedule the changes that discovery reports because of a fault of alert servers."""
        fault, end = planned.fault, planned.end
        for index in planned.targets:
            name = self.specs[index].name
            gone_after, ready_after = (
                uniform(self.random, self.day.notice_s),
                uniform(self.random, READY_NOTICE_S),
            )
            silent_gone_after = uniform(self.random, SILENT_NOTICE_S)
            match fault.kind:
                case "kill_servers" | "zone":
                    if gone_after < fault.lasts:
                        at(fault.at + gone_after, self.change_health, name, Health.GONE)
                    at(end + ready_after, self.change_health, name, Health.READY, end)
                case "drain_servers":
                    at(fault.at, self.change_health, name, Health.TERMINATING)
                    at(max(fault.at + 3.0, end - 1.0), self.change_health, name, Health.GONE)
                    restarted_at = max(fault.at + 4.0, end)
                    at(restarted_at + ready_after, self.change_health, name, Health.READY, restarted_at)
                case "cut_servers":
                    if silent_gone_after < fault.lasts:
                        at(fault.at + silent_gone_after, self.change_health, name, Health.GONE)
                        at(end + ready_after, self.change_health, name, Health.READY)

    def change_health(self, name: str, health: Health, born: float | None = None) -> None:
        """Change a server's health in discovery; `born` is its start time in seconds of the play."""
        unix = None if born is None else time.time() - self.now() + born
        self.discovery.change(self.now(), name, health, unix)

    # --- samples and statistics -------------------------------------------------------------------------

    def record_samples(self) -> None:
        """Record CPU time, memory and descriptors of each gateway, and do so again every half second."""
        for gateway in self.gateways:
            cpu, memory, descriptors = 0.0, 0, 0
            with contextlib.suppress(OSError, IndexError, ValueError):
                for process in gateway.processes:
                    cpu += process.cpu()
                    memory += process.memory_kb()
                    descriptors += process.descriptors()
                if gateway.processes:
                    self.samples.add(
                        Sample(self.now(), gateway.index, cpu, memory, descriptors, len(gateway.processes))
                    )
        if not self.finished:
            asyncio.get_running_loop().call_later(SAMPLE_PERIOD_S, self.record_samples)

    async def collect_stats(self, name: str, child: SimulatorProcess) -> None:
        """Store the statistics that a simulator process sends, until it reports that it is done."""
        assert child.handle.stdout is not None
        while line := await child.handle.stdout.readline():
            message = msgspec.json.decode(line)
            if "stats" in message or "done" in message:
                self.stats[name] = self.stats.get(name, {}) | (message.get("stats") or message["done"])
            if "done" in message:
                return

    def report_stats(self) -> None:
        """Send the latest statistics to the command line, and do so again every second."""
        gateways = [
            {"name": gateway.name, "listen": f"127.0.0.1:{gateway.port}",
             "processes": len(gateway.processes),
             "management": gateway.processes[-1].management if gateway.processes else ""}
            for gateway in self.gateways
        ]  # fmt: skip
        counter = {"calls": self.counter.calls, "turned_away": self.counter.turned_away}
        send(at=self.now(), stats=self.stats | {"counter": counter}, doors=gateways)
        if not self.finished:
            asyncio.get_running_loop().call_later(STATS_PERIOD_S, self.report_stats)

    async def run(self, queue: asyncio.Queue[Message]) -> None:
        """Run the whole play, and send the folder of its records to the command line."""
        await self.start_fleet()
        children = {"load": self.load} | {
            f"servers{n}": process for n, process in enumerate(self.server_processes)
        }
        stats_tasks = [
            asyncio.ensure_future(self.collect_stats(name, child)) for name, child in children.items()
        ]
        start = time.monotonic() + START_DELAY_S
        self.now = clock(start)
        self.load.send(doors=[("127.0.0.1", gateway.port) for gateway in self.gateways])
        for child in children.values():
            child.send(start=start)
        self.counter.accepting = True
        self.schedule_faults(planned_faults(self.day, self.play.seed))
        self.record_samples()
        self.report_stats()
        send(started={gateway.name: f"127.0.0.1:{gateway.port}" for gateway in self.gateways})
        command = asyncio.ensure_future(queue.get())
        await asyncio.wait([command], timeout=self.day.length_s + START_DELAY_S)
        length = min(self.day.length_s, self.now())
        self.load.send(last=True)
        self.load.send(stop=True)
        await stats_tasks[0]
        self.finished = True
        self.note("length", value=length)
        await self.terminate_gateways()
        for process in self.server_processes:
            process.send(stop=True)
        await asyncio.gather(*stats_tasks[1:])
        self.note("counter calls", value=self.counter.calls)
        for key in ("handshakes", "probes"):
            self.note(
                key,
                value=sum(
                    self.stats[f"servers{n}"].get(key, 0) for n in range(self.play.server_process_count)
                ),
            )
        for key in ("sent", "late", "most_late", "cpu"):
            self.note(f"load {key}", value=self.stats["load"].get(key, 0))
        self.notes.flush()
        self.samples.flush()
        self.services.close()
        send(done=self.play.folder)

    async def terminate_gateways(self) -> None:
        """Record the CPU time of the gateways' processes and terminate them."""
        for gateway in self.gateways:
            for process in gateway.processes:
                with contextlib.suppress(OSError):
                    self.note("cpu", gateway.name, process.cpu())
        await asyncio.gather(
            *(gateway.terminate(p) for gateway in self.gateways for p in list(gateway.processes))
        )
        await asyncio.sleep(0.05)


async def main(play: Play, queue: asyncio.Queue[Message]) -> None:
    """Run the play, report a failure to the command line, and wait until the pipe is closed."""
    runner = PlayRunner(play)
    try:
        await runner.run(queue)
    except (RuntimeError, OSError) as error:
        send(failed=f"{error}")
    await asyncio.Event().wait()  # the process ends when the pipe is closed


def run() -> None:
    """Run the play in a forked child process, and delete its folder when that process has ended."""
    folder = tempfile.mkdtemp(prefix="fleetlab-")
    player_pid = os.fork()
    if player_pid:
        # The parent waits until the child, which runs the play, has ended, and then cleans up.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        os.waitpid(player_pid, 0)
        shutil.rmtree(folder, ignore_errors=True)
        return
    # Descriptors 3 and 4 stay occupied, so that in a child process 4 can only be the passed socket.
    for descriptor in range(3, PASSED_SOCKET_FD + 1):
        with contextlib.suppress(OSError):
            os.dup2(os.open(os.devnull, os.O_RDONLY), descriptor, inheritable=False)
    run_child(lambda play, queue: main(msgspec.structs.replace(play, folder=folder), queue))


if __name__ == "__main__":
    run()
