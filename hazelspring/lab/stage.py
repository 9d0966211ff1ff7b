"""Owner of every process and file of a play: starts them, lets the day's faults happen, and clears up.

It is started by the command with the play as its first line, and lives as long as that pipe does.
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

from hazelspring.lab.models.chance import stream, within
from hazelspring.lab.models.counter import Counter, CounterSpec
from hazelspring.lab.models.discovery import Discovery, Health, Host
from hazelspring.lab.plan import KINDS, Happening, Play, happenings, servers_of, settings_of
from hazelspring.lab.record import Note, Recorder, Sample
from hazelspring.lab.stands.child import Told, clock, play, tell
from hazelspring.lab.stands.hub import AgentStand, CounterStand, Hub

READY = 0.05  # seconds between looks whether a front door is ready
HEAD_START = 0.5  # seconds between the word to start and the start
LOOK = 0.5  # seconds between looks at the front doors' processes
STATS = 1.0
LEAVE = 1.5  # seconds for which the old addresses of a reload keep their connections
CALL = 1.0  # seconds in which an operator's call is due
LAST = 3.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 s
MOST_TRIES = 3  # of a start whose port another has taken meanwhile
KEPT_LOG = 64 * 1024  # bytes of a front door's log that are kept
LOWEST_PORT, EPHEMERAL_PORTS = 20_000, 32_768
PASSED = 4  # the descriptor of a socket that the platform holds
ADD = (1.0, 2.5)  # seconds after which discovery sees that a server runs
SILENT_NOTICE = (4.7, 10.0)  # the same, of one that says nothing any more
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    _libc.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


# Ports for processes that are yet to start lie below those that Linux gives to outgoing connections (from 32768 on, by
# ip_local_port_range): one of the latter may be taken by any connection before the process listens on it.
_ports = itertools.cycle(range(LOWEST_PORT, EPHEMERAL_PORTS))
for _ in range(random.randrange(EPHEMERAL_PORTS - LOWEST_PORT)):  # two labs begin at different ones
    next(_ports)


def free_port() -> int:
    """Return a port of 127.0.0.1 that nobody listens on now."""
    while True:
        port = next(_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Process:
    """One process of a front door."""

    def __init__(self, place: int, made: asyncio.subprocess.Process, management: str, began: float) -> None:
        self.place, self.made, self.management, self.began = place, made, management, began
        self.asked = False  # to end
        self.log, self.log_bytes = bytearray(), 0

    @property
    def pid(self) -> int:
        return self.made.pid

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.made.send_signal(number)

    async def read_log(self) -> None:
        """What it writes is read on and on, and only the first part kept: an endless log fills nothing."""
        assert self.made.stderr is not None
        while data := await self.made.stderr.read(16384):
            self.log_bytes += len(data)
            self.log += data[: max(0, KEPT_LOG - len(self.log))]

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory_kb(self) -> int:
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_KB

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))


class Door:
    """One front door: its addresses, its files, its processes, the newest last."""

    def __init__(self, stage: Stage, place: int) -> None:
        self.stage, self.place, self.name = stage, place, f"n{place}"
        self.folder = Path(stage.told.folder) / self.name
        self.shared = self.folder / "tmp"
        self.shared.mkdir(parents=True)
        self.config = self.folder / "config.json"
        self.sock: socket.socket | None = None
        if stage.day.passed():
            self.sock = socket.socket()
            self.sock.bind(("127.0.0.1", 0))
            self.sock.listen(512)
        self.port = self.sock.getsockname()[1] if self.sock is not None else free_port()
        self.listeners = 0  # which of the addresses of counter and discovery hold
        self.processes: list[Process] = []

    def write(self) -> None:
        stage = self.stage
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": stage.addresses[f"agent {self.place} {self.listeners}"],
            "counter": stage.addresses[f"counter {self.listeners}"],
            "seed": f"{stage.told.seed * 1000 + self.place:016x}",
            "limits": {"cores": 1.0, "memory_mb": stage.day.memory_mb, "sockets": stage.day.sockets},
            "known": msgspec.json.decode(
                stage.agents[self.place].line(1, True, stage.discovery.whole(1)),
            ),
            "settings": settings_of(stage.day, stage.told.seed, self.place),
        }
        new = self.config.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(config))
        new.replace(self.config)

    async def start(self) -> Process:
        """Start a process; it is ready once its clients' address says so.  Raises OSError if it is not."""
        management = f"127.0.0.1:{free_port()}"
        env = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")} | {
            "NODE_NAME": self.name,
            "NODE_CONFIG": str(self.config),
            "NODE_MANAGEMENT": management,
            "TMPDIR": str(self.shared),
        }
        sock = self.sock
        if sock is not None:
            env["NODE_PASSED_SOCKET"] = str(PASSED)

        def before() -> None:
            die_with_parent()
            if sock is not None:
                os.dup2(sock.fileno(), PASSED)

        made = await asyncio.create_subprocess_exec(
            *self.stage.door_command,
            env=env,
            cwd=self.stage.door_root,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=before,
            pass_fds=(PASSED,) if sock is not None else (),
        )
        process = Process(self.place, made, management, time.monotonic())
        self.processes.append(process)
        self.stage.spawn(process.read_log())
        self.stage.spawn(self.watch(process))
        return process

    async def watch(self, process: Process) -> None:
        status = await process.made.wait()
        self.processes = [p for p in self.processes if p is not process]
        stage = self.stage
        stage.ended.append(process)
        stage.note("log", self.name, process.log_bytes)
        if not process.asked:
            stage.note("crashed", self.name, status)
            stage.tell_load(self.place, up=False)
        elif status not in (0, -signal.SIGKILL):
            stage.note("ended badly", self.name, status)

    async def ready(self, process: Process, by_management: bool = False) -> bool:
        """Whether it gets ready in time."""
        until = time.monotonic() + self.stage.day.allow.ready_s
        while time.monotonic() < until and process.made.returncode is None:
            where = process.management if by_management else f"127.0.0.1:{self.port}"
            path = "/_ready" if by_management else "/-/ready"
            with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                if await call(where, "GET", path) == 200:
                    return True
            await asyncio.sleep(READY)
        return False

    async def come_up(self, first: bool = False) -> bool:
        """Start it, and again on another port where that one is taken; then tell the clients."""
        for _ in range(MOST_TRIES if first else 1):
            self.write()
            process = await self.start()
            if await self.ready(process):
                cpu = 0.0
                with contextlib.suppress(OSError):
                    cpu = process.cpu()
                self.stage.note("ready", self.name, time.monotonic() - process.began)
                self.stage.note("start cpu", self.name, cpu)
                self.stage.tell_load(self.place, up=True)
                return True
            process.asked = True
            process.signal(signal.SIGKILL)
            await process.made.wait()
            if b"cannot listen" in process.log:
                self.port = free_port()
        self.stage.note("never ready", self.name)
        return False

    async def kill(self, lasts: float) -> None:
        self.stage.note("killed", self.name)
        for process in self.processes:
            process.asked = True
            process.signal(signal.SIGKILL)
        self.stage.tell_load(self.place, up=False)
        await asyncio.sleep(lasts)
        if not self.stage.over:
            await self.come_up()

    async def end(self, process: Process) -> None:
        """SIGTERM, and SIGKILL once its time is up."""
        process.asked = True
        process.signal(signal.SIGTERM)
        self.stage.note("termed", self.name)
        try:
            async with asyncio.timeout(LAST):
                await process.made.wait()
        except TimeoutError:
            self.stage.note("overdue", self.name)
            process.signal(signal.SIGKILL)

    async def restart(self) -> None:
        self.stage.tell_load(self.place, up=False, planned=True)
        for process in list(self.processes):
            await self.end(process)
        if not self.stage.over:
            await self.come_up()

    def reload(self) -> None:
        """A new configuration, whose counter and discovery are at other addresses."""
        self.listeners = 1
        self.write()
        self.stage.note("reloaded", self.name)
        for process in self.processes:
            process.signal(signal.SIGHUP)

    async def operate(self, method: str, path: str, body: bytes = b"") -> bool:
        """A call on its second address, and whether it was answered with yes, in time."""
        if not self.processes:
            return False
        began = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            status = await call(self.processes[-1].management, method, path, body)
        spent = time.monotonic() - began
        if not 200 <= status < 300 or spent > CALL:
            self.stage.note(f"call {method} {path} answered {status}", self.name, spent)
        return 200 <= status < 300

    async def put(self, rollback: bool, lasts: float) -> None:
        config = msgspec.json.decode(self.config.read_bytes())
        config["settings"]["caps"]["max_attempts"] -= 1
        config.pop("known")
        await self.operate("PUT", "/_configuration", msgspec.json.encode(config))
        if rollback:
            await asyncio.sleep(lasts)
            await self.operate("PUT", "/_configuration/rollback")

    async def upgrade(self, dies: bool) -> None:
        """A second process beside the first, on the platform's socket."""
        old = list(self.processes)
        new = await self.start()
        if dies:
            await asyncio.sleep(0.3)
            new.asked = True
            new.signal(signal.SIGKILL)
            self.stage.note("new one killed", self.name)
        elif await self.ready(new, by_management=True):
            self.stage.note("upgraded", self.name, time.monotonic() - new.began)
            for process in old:
                await self.end(process)
        else:
            self.stage.note("never ready", self.name)


async def call(where: str, method: str, path: str, body: bytes = b"") -> int:
    """One HTTP call; its status."""
    host, port = where.rsplit(":", 1)
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
            raise ValueError("no answer") from None
        finally:
            writer.close()


class Child:
    """A process of stand-ins."""

    def __init__(self, made: asyncio.subprocess.Process) -> None:
        self.made = made

    def say(self, **what: object) -> None:
        if self.made.stdin is not None and not self.made.stdin.is_closing():
            self.made.stdin.write(msgspec.json.encode(what) + b"\n")

    async def hear(self, wanted: str) -> Any:
        """The value of the next line that has this key."""
        assert self.made.stdout is not None
        while line := await self.made.stdout.readline():
            if wanted in (said := msgspec.json.decode(line)):
                return said[wanted]
        raise RuntimeError("a process of stand-ins has ended")


class Stage:
    """All of one play."""

    def __init__(self, told: Play) -> None:
        self.told, self.day = told, told.parsed()
        self.root = Path(__file__).parent.parent.parent
        self.door_command = told.door or (sys.executable, "-m", "hazelspring.gateway")
        self.door_root = told.root or str(self.root)
        self.tasks: set[asyncio.Task[None]] = set()
        self.now: Callable[[], float] = clock(time.monotonic() + 1000.0)
        folder = Path(told.folder)
        self.notes = Recorder(folder / "stage.note.jsonl")
        self.samples = Recorder(folder / "stage.sample.jsonl")
        self.specs = servers_of(self.day, told.seed)
        self.random = stream(told.seed, "discovery")
        hosts = [Host(s.name, self.day.zones[s.zone], KINDS[s.kind], s.rack) for s in self.specs]
        self.discovery = Discovery(self.day.doors, hosts)
        self.discovery.late = [within(self.random, self.day.told_s) for _ in range(self.day.doors)]
        spec = stream(told.seed, "counter")
        self.counter = CounterStand(
            Counter(
                CounterSpec(
                    parts=int(spec.integers(1, 3)),
                    per_s=within(spec, (860, 1200)) * self.day.pace,
                    call=within(spec, (0.00036, 0.002)),
                )
            ),
            lambda: self.now(),
        )
        self.addresses: dict[str, str] = {}
        self.agents: list[AgentStand] = []
        self.doors: list[Door] = []
        self.ended: list[Process] = []
        self.over = False
        self.stats: dict[str, dict[str, float]] = {}

    def spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, what: str, who: str = "", value: float = 0.0) -> None:
        self.notes.add(Note(self.now(), what, who, value))

    def tell_load(self, door: int, up: bool, planned: bool = False) -> None:
        self.load.say(door=door, up=up, planned=planned)

    async def child(self, module: str, *arguments: str) -> Child:
        made = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, cwd=self.root, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, preexec_fn=die_with_parent, limit=2**24,
        )  # fmt: skip
        assert made.stdin is not None
        made.stdin.write(msgspec.json.encode(self.told) + b"\n")
        return Child(made)

    async def prepare(self) -> None:
        """All stand-ins, then all front doors, each ready."""
        self.hosts = [
            await self.child("hazelspring.lab.stands.servers", str(n)) for n in range(self.told.hosts)
        ]
        self.load = await self.child("hazelspring.lab.stands.load")
        ports: dict[str, list[int]] = {}
        for host in self.hosts:
            ports |= await host.hear("dials")
        for place in range(self.day.doors):
            dials = {
                spec.name: f"127.0.0.1:{ports[str(number)][place]}" for number, spec in enumerate(self.specs)
            }
            self.agents.append(AgentStand(self.discovery, place, dials, lambda: self.now(), self.notes))
        self.hub = Hub(self.counter, self.agents)
        self.addresses = await self.hub.listen()
        await self.load.hear("ready")
        self.doors = [Door(self, place) for place in range(self.day.doors)]
        came = await asyncio.gather(*(door.come_up(first=True) for door in self.doors))
        if not all(came):
            logs = [bytes(p.log[-300:]).decode(errors="replace") for p in self.ended if p.log]
            raise RuntimeError(f"a front door did not get ready: {' '.join(logs[-1:])}".strip())

    def happen(self, found: list[Happening]) -> None:
        loop = asyncio.get_running_loop()

        def at(moment: float, what: Callable[..., None], *arguments: object) -> None:
            loop.call_later(max(0.0, moment - self.now()), what, *arguments)

        for happening in found:
            at(happening.fault.at, self.begin, happening)
            self.tell_discovery(happening, at)

    def begin(self, happening: Happening) -> None:
        """A fault of front doors, counter or discovery; what happens to alert servers, they see to."""
        fault, loop = happening.fault, asyncio.get_running_loop()
        doors = [self.doors[n] for n in happening.targets] if fault.kind in (
            "kill_doors", "term_doors", "reload", "put", "rollback", "upgrade", "upgrade_dies"
        ) else []  # fmt: skip
        for door in doors:
            match fault.kind:
                case "kill_doors":
                    self.spawn(door.kill(fault.lasts))
                case "term_doors":
                    self.spawn(door.restart())
                case "reload":
                    door.reload()
                case "put" | "rollback":
                    self.spawn(door.put(fault.kind == "rollback", fault.lasts))
                case "upgrade" | "upgrade_dies":
                    self.spawn(door.upgrade(fault.kind == "upgrade_dies"))
        match fault.kind:
            case "reload":
                self.spawn(self.leave_old(all_doors=len(doors) == len(self.doors)))
            case "ban":
                self.spawn(self.ban(happening))
            case "counter_away":
                self.counter.away = True
                loop.call_later(fault.lasts, self.counter_back)
            case "counter_slow":
                self.counter.model.slow = fault.size
                loop.call_later(fault.lasts, self.counter_pace)
            case "counter_forget":
                self.counter.model.lose()
            case "discovery_late":
                before = list(self.discovery.late)
                self.discovery.late = [late + fault.size for late in before]
                loop.call_later(fault.lasts, self.discovery_on_time, before)
            case "discovery_silent":
                self.discovery.silent = True
                loop.call_later(fault.lasts, self.discovery_speaks)
            case "discovery_full":
                self.discovery.room = round(fault.size)
                loop.call_later(fault.lasts, self.discovery_has_room)

    def counter_back(self) -> None:
        """It is back elsewhere: the connections that it had are reset."""
        self.counter.away = False
        for peer in list(self.counter.peers):
            if peer.transport is not None:
                peer.transport.abort()

    def counter_pace(self) -> None:
        self.counter.model.slow = 1.0

    def discovery_on_time(self, late: list[float]) -> None:
        self.discovery.late = late

    def discovery_speaks(self) -> None:
        self.discovery.silent = False

    def discovery_has_room(self) -> None:
        self.discovery.room = 0

    async def leave_old(self, all_doors: bool) -> None:
        """The old addresses take no new connections, and end those they have after 1.5 s."""
        old = [f"agent {door.place} 0" for door in self.doors if door.listeners]
        old += ["counter 0"] if all_doors else []
        for name in old:
            self.hub.leave(name)
        await asyncio.sleep(LEAVE)
        for name in old:
            self.hub.cut_off(name)

    async def ban(self, happening: Happening) -> None:
        """Operators take servers out by hand at all front doors, restart them, and call them back."""
        for place in happening.targets:
            name = self.specs[place].name
            for door in self.doors:
                if await door.operate("PUT", "/_alert-servers/detach", name.encode()):
                    self.note("banned", f"{name} {door.place}")
        await asyncio.sleep(CALL)
        for host in self.hosts:
            host.say(restart=list(happening.targets))
        await asyncio.sleep(max(0.0, happening.end - self.now()))
        for place in happening.targets:
            name = self.specs[place].name
            for door in self.doors:
                self.note("called back", f"{name} {door.place}")
                await door.operate("PUT", "/_alert-servers/attach", name.encode())

    def tell_discovery(self, happening: Happening, at: Callable[..., None]) -> None:
        """What discovery comes to see of the faults of alert servers, and when."""
        fault, end = happening.fault, happening.end
        for place in happening.targets:
            name = self.specs[place].name
            notice, add = within(self.random, self.day.notice_s), within(self.random, ADD)
            silent = within(self.random, SILENT_NOTICE)
            match fault.kind:
                case "kill_servers" | "zone":
                    if notice < fault.lasts:
                        at(fault.at + notice, self.change, name, Health.GONE)
                    at(end + add, self.change, name, Health.READY, end)
                case "drain_servers":
                    at(fault.at, self.change, name, Health.TERMINATING)
                    at(max(fault.at + 3.0, end - 1.0), self.change, name, Health.GONE)
                    back = max(fault.at + 4.0, end)
                    at(back + add, self.change, name, Health.READY, back)
                case "cut_servers":
                    if silent < fault.lasts:
                        at(fault.at + silent, self.change, name, Health.GONE)
                        at(end + add, self.change, name, Health.READY)

    def change(self, name: str, health: Health, born: float | None = None) -> None:
        unix = None if born is None else time.time() - self.now() + born
        self.discovery.change(self.now(), name, health, unix)

    # --- what is seen meanwhile -------------------------------------------------------------------------

    def look(self) -> None:
        for door in self.doors:
            cpu, memory, descriptors = 0.0, 0, 0
            with contextlib.suppress(OSError, IndexError, ValueError):
                for process in door.processes:
                    cpu += process.cpu()
                    memory += process.memory_kb()
                    descriptors += process.descriptors()
                if door.processes:
                    self.samples.add(
                        Sample(self.now(), door.place, cpu, memory, descriptors, len(door.processes))
                    )
        if not self.over:
            asyncio.get_running_loop().call_later(LOOK, self.look)

    async def follow(self, name: str, child: Child) -> None:
        """A child's figures, until it says that it is done."""
        assert child.made.stdout is not None
        while line := await child.made.stdout.readline():
            said = msgspec.json.decode(line)
            if "stats" in said or "done" in said:
                self.stats[name] = self.stats.get(name, {}) | (said.get("stats") or said["done"])
            if "done" in said:
                return

    def show(self) -> None:
        doors = [
            {"name": door.name, "listen": f"127.0.0.1:{door.port}", "processes": len(door.processes),
             "management": door.processes[-1].management if door.processes else ""}
            for door in self.doors
        ]  # fmt: skip
        counter = {"calls": self.counter.calls, "turned_away": self.counter.turned_away}
        tell(at=self.now(), stats=self.stats | {"counter": counter}, doors=doors)
        if not self.over:
            asyncio.get_running_loop().call_later(STATS, self.show)

    async def run(self, queue: asyncio.Queue[Told]) -> None:
        """From the start to the last answer."""
        await self.prepare()
        children = {"load": self.load} | {f"servers{n}": host for n, host in enumerate(self.hosts)}
        followers = [asyncio.ensure_future(self.follow(name, child)) for name, child in children.items()]
        start = time.monotonic() + HEAD_START
        self.now = clock(start)
        self.load.say(doors=[("127.0.0.1", door.port) for door in self.doors])
        for child in children.values():
            child.say(start=start)
        self.counter.open = True
        self.happen(happenings(self.day, self.told.seed))
        self.look()
        self.show()
        tell(started={door.name: f"127.0.0.1:{door.port}" for door in self.doors})
        waiting = asyncio.ensure_future(queue.get())
        await asyncio.wait([waiting], timeout=self.day.length_s + HEAD_START)
        length = min(self.day.length_s, self.now())
        self.load.say(last=True)
        self.load.say(stop=True)
        await followers[0]
        self.over = True
        self.note("length", value=length)
        await self.finish()
        for host in self.hosts:
            host.say(stop=True)
        await asyncio.gather(*followers[1:])
        self.note("counter calls", value=self.counter.calls)
        for key in ("handshakes", "probes"):
            self.note(key, value=sum(self.stats[f"servers{n}"].get(key, 0) for n in range(self.told.hosts)))
        for key in ("sent", "late", "most_late", "cpu"):
            self.note(f"load {key}", value=self.stats["load"].get(key, 0))
        self.notes.flush()
        self.samples.flush()
        self.hub.close()
        tell(done=self.told.folder)

    async def finish(self) -> None:
        """The front doors' planned end."""
        for door in self.doors:
            for process in door.processes:
                with contextlib.suppress(OSError):
                    self.note("cpu", door.name, process.cpu())
        await asyncio.gather(*(door.end(p) for door in self.doors for p in list(door.processes)))
        await asyncio.sleep(0.05)


async def main(told: Play, queue: asyncio.Queue[Told]) -> None:
    stage = Stage(told)
    try:
        await stage.run(queue)
    except (RuntimeError, OSError) as error:
        tell(failed=f"{error}")
    await asyncio.Event().wait()  # until the pipe ends


def run() -> None:
    """The stage's process, and beside it one that outlives it by so much as clearing up takes."""
    folder = tempfile.mkdtemp(prefix="fleetlab-")
    keeper = os.fork()
    if keeper:
        # This process waits for the pipe's other end and clears up after the one that plays.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        os.waitpid(keeper, 0)
        shutil.rmtree(folder, ignore_errors=True)
        return
    for low in range(3, PASSED + 1):  # these stay taken, so that a child's descriptor 4 is nobody else's
        with contextlib.suppress(OSError):
            os.dup2(os.open(os.devnull, os.O_RDONLY), low, inheritable=False)
    play(lambda told, queue: main(msgspec.structs.replace(told, folder=folder), queue))


if __name__ == "__main__":
    run()
