"""One door: its parts wired together, started, told what is new, drained."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from typing import Any

import cbor2

from hazelspring.configuration.incremental import Held, take
from hazelspring.configuration.model import Word
from hazelspring.consensus.proposal import Done
from hazelspring.daemon.client_listener import Carrier, Front
from hazelspring.daemon.disk_worker import DiskWorker
from hazelspring.daemon.http_api import Desk
from hazelspring.daemon.list_reader import ListReader
from hazelspring.daemon.message_transport import Mesh
from hazelspring.daemon.node_metrics import collect, render
from hazelspring.daemon.operator_calls import OperatorCalls
from hazelspring.daemon.settings import Settings
from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.daemon.upstream_servers import Servers
from hazelspring.membership.peer_table import About
from hazelspring.node.actions import Changed, Danced, Deed, Poll, Save, Send, Violated
from hazelspring.node.control_replica import MEMBERS, WORD, ZONES
from hazelspring.node.invariants import LIST_KNOWN
from hazelspring.node.node import Core, Start
from hazelspring.quota.credits import Call, Granted, Lapsed
from hazelspring.registry.list_reader_role import ListTiming
from hazelspring.routing.endpoints import Fleet
from hazelspring.routing.request_router import Forager, Tick
from ivymux.config import Address, parse_address
from ivymux.metrics import Counts
from ivymux.periodic import Periodic
from ivymux.pool import PER_BACKEND

LEAST_CONNECTIONS = 4  # to one server, however many doors share it
TICK = 0.05  # seconds: an eighth of a beat, and well under the time for a lease's call
CALM = 0.1  # seconds for looks at the core where a ready door keeps no word: a quarter of a beat
CONNECT = 0.3  # seconds for a connection to a server: a lost opening packet comes again only after a second
IDLE = 9.0  # seconds that servers keep idle connections at least, where they do not say
STALE = 0.9  # part of the time for a revocation after which keyed requests stop where nothing fresh was heard
UNREADY = 0.5  # part of it after which clients are sent elsewhere
OTHER_FILES = 400  # descriptors for files, calls and messages
REPORT = 2.0  # seconds between two lines on what was not served
LINGER = 1.5  # seconds after SIGTERM in which clients that do not know yet still come
MOST_ADDRESSES = 64  # that a client's answer may hold
DISK_AGAIN = 1.0  # seconds until a disk that could not be read is tried again
LAST = 0.5  # seconds before the end of the grace period at which this process ends


class Door:
    def __init__(self, settings: Settings, metrics_port: int = 0) -> None:
        """`metrics_port`: a port of this machine's that answers `GET /-/metrics` beside the others; 0: none."""
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.counts = Counts()
        self.life = (int(time.time() * 1000) << 8) + secrets.randbits(8)  # the later life is the larger
        self.supervisor = Supervisor(self.loop)
        self.disk = DiskWorker(settings.folder, self.supervisor) if settings.folder else None
        self.word: Word | None = None
        self.held: Held | None = None  # the same, with what it was read from
        self.calls = OperatorCalls(self.loop.time, lambda: self.core, lambda: self.held, self.carry_out)
        self.draining = False
        self.reported: Counter[str] = Counter()
        self.reported_at = 0.0
        self.core_ticked = self.fresh_at = -1e9
        timing = ListTiming.within(settings.invariants.drain_cutoff)
        self.list_reader = ListReader(settings.platform, settings.platform_rate, timing.timeout)
        most = settings.descriptors - OTHER_FILES
        fleet = Fleet(settings.zone, settings.region, settings.zones, random.Random(self.life))
        self.forager = Forager(settings.rule, fleet, self.life)
        self.servers = Servers(CONNECT, IDLE, most // 3, self.counts)
        self.carrier = Carrier(self.forager, self.servers, self.counts, self.lease)
        self.front = Front(settings.front, self.carrier, most // 2, self.fresh)
        self.mesh = Mesh(settings.ip, settings.port, self.heard, self.supervisor)
        self.desks = self.make_desks(settings)
        metrics = Address(settings.ip, metrics_port)
        self.metrics_desk = Desk(metrics, self, frozenset()) if metrics_port else None
        self.core: Core

    def make_desks(self, settings: Settings) -> list[Desk]:
        """A desk for each address that calls come to; one that serves two roles takes both kinds."""
        roles: dict[Address, set[str]] = {}
        for address, role in (
            (settings.readiness, "ready"), (settings.control, "control"), (settings.directory, "directory"),
        ):  # fmt: skip
            roles.setdefault(address, set()).add(role)
        return [Desk(address, self, frozenset(of)) for address, of in roles.items()]

    # --- start ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        settings = self.settings
        records = await self.read_disk()
        self.core = self.make_core(records, settings.first)
        if records is None:
            self.supervisor.start("await the disk", self.await_disk())
        self.changed(WORD)
        self.changed(ZONES)
        await self.mesh.start()
        for listener in [*self.desks, self.front]:
            await listener.start()
        await self.start_metrics()
        told, name, first = self.core.control.register.told(), settings.name, settings.first
        log.say("daemon", "started", name=name, disk=bool(self.core.me.disk), first=first, **told)
        self.tick()
        self.ticker = Periodic(
            self.loop, self.until_tick, self.tick, lambda error: self.supervisor.failed("tick", error)
        )

    async def start_metrics(self) -> None:
        """Listen for who fetches metrics; a port that is taken keeps this door from nothing else."""
        if self.metrics_desk is None:
            return
        try:
            await self.metrics_desk.start()
        except OSError as error:
            log.say("daemon", "cannot listen for who fetches metrics", error=error)
        else:
            self.desks.append(self.metrics_desk)

    async def read_disk(self) -> dict[str, bytes] | None:
        """What the disk holds, nothing where there is none; None where it does not say."""
        return await self.disk.load() if self.disk is not None else {}

    async def await_disk(self) -> None:
        """Take the disk up once it can be read, as a new life of this door: what this one promised was on no disk."""
        records = None
        while records is None:
            await asyncio.sleep(DISK_AGAIN)
            records = await self.read_disk()
        self.calls.fail_all("the disk was taken up")
        self.life += 1
        self.core = self.make_core(records, False)
        for what in (WORD, ZONES):
            self.changed(what)
        log.say("control", "reads the disk again", **self.core.control.register.told())

    def make_core(self, records: dict[str, bytes] | None, first: bool) -> Core:
        """The core on what the disk held; on an empty disk where that makes no sense, as what it promised is lost."""
        settings = self.settings
        disk = self.life if self.disk is not None and records is not None else 0
        about = About(settings.ip, settings.zone, settings.region, disk, self.life)
        start = Start(about, list(settings.seeds), first, records or {}, settings.link, settings.invariants)
        try:
            return Core(self.loop.time(), start, settings.rule.quota.window, self.limit_of)
        except (ValueError, cbor2.CBORDecodeError) as error:
            assert self.disk is not None
            self.disk.discard(str(error))
            return self.make_core({}, False)

    def limit_of(self, tenant: str) -> float:
        found = self.word.tenants.get(tenant) if self.word is not None else None
        if found is None or found.rate <= 0:
            return 0.0
        return self.settings.rule.quota.limit(found.rate, found.burst, self.core.peers.most_doors)

    # --- time and messages ----------------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.loop.time()
        if now - self.core_ticked > self.calm() - TICK / 2:
            self.core_ticked = now
            self.supervisor.guard("core tick", lambda: self.core_tick(now))
        self.carrier.post(Tick())  # type: ignore[arg-type]
        fleet = self.forager.fleet
        self.carry_out(self.core.disseminator.tell_load(now, fleet.outs(), fleet.dances))

    def calm(self) -> float:
        """Seconds between looks at the core."""
        return CALM if self.core.ready and self.disk is None else TICK  # else duties or a start wait for it

    def until_tick(self) -> float:
        """Seconds until the next tick."""
        return TICK if self.forager.jobs else self.calm()

    def core_tick(self, now: float) -> None:
        self.freshen(now)
        self.core.ready = self.ready()
        self.carry_out(self.core.tick(now))
        self.forager.doors = self.core.peers.most_doors
        self.forager.list_known = LIST_KNOWN not in self.core.invariants.violated
        self.servers.per_backend = self.connections()
        self.list_reader.log_role(self.core.list_duty.holds(now))
        self.report(now)

    def connections(self) -> int:
        """Connections to one server that are this door's: an even part of what the server takes from all."""
        limits = [s.connections for s in self.word.services.values() if s.connections] if self.word else []
        return max(LEAST_CONNECTIONS, min(limits, default=PER_BACKEND) // max(1, self.forager.doors))

    def reload(self, settings: Settings) -> None:
        """New settings: seeds, the platform, times for revocations and the end; all else waits for the next start."""
        if settings == self.settings:
            return
        self.settings = settings
        self.core.seeds = list(settings.seeds)
        self.list_reader.reconfigure(settings.platform, settings.platform_rate)
        log.say("daemon", "uses new settings", seeds=",".join(settings.seeds))

    def report(self, now: float) -> None:
        """Say what was not served of late, and why, where anything was."""
        if now - self.reported_at < REPORT:
            return
        new = self.forager.ends - self.reported
        if new:
            log.say("routing", "did not serve", **new)
        self.reported, self.reported_at = self.forager.ends.copy(), now

    def heard(self, source: str, message: dict[str, Any]) -> None:
        now = self.loop.time()
        deeds = self.core.heard(now, source, message)
        self.carry_out(deeds)
        if message["k"] != "dance":  # the most frequent, and it tells nothing about the word
            self.freshen(now)

    def freshen(self, now: float) -> None:
        self.fresh_at = self.core.fresh_at(now)
        self.forager.fresh_until = self.fresh_at + STALE * self.settings.revocation

    def fresh(self) -> bool:
        return self.loop.time() <= self.forager.fresh_until

    def ready(self) -> bool:
        """Whether clients may come: there is a configuration, servers are known, and the core was heard."""
        sure = self.fresh_at + UNREADY * self.settings.revocation
        known = self.word is not None and bool(self.core.registry.tables)
        return known and not self.draining and self.loop.time() <= sure

    def carry_out(self, deeds: list[Deed]) -> None:
        """One that fails does not keep the others from being carried out: a save or an answer may be among them."""
        for deed in deeds:
            try:
                self.carry_out_one(deed)
            except Exception as error:
                self.supervisor.failed(type(deed).__name__, error)

    def carry_out_one(self, deed: Deed) -> None:
        match deed:
            case Send():
                self.mesh.send(deed.to, deed.message)
            case Save():
                self.supervisor.start("save", self.save(deed))
            case Changed():
                self.changed(deed.what)
            case Poll():
                self.supervisor.start("read the list", self.poll(deed.number))
            case Granted() | Lapsed():
                self.carrier.post(deed)  # type: ignore[arg-type]
            case Done():
                self.calls.done(deed)
            case Danced():
                self.forager.fleet.danced(self.loop.time(), deed.door, deed.outs)
            case Violated():
                log.say("daemon", "an invariant is violated", name=deed.name)

    # --- the operator's word -----------------------------------------------------------------------------------

    async def save(self, save: Save) -> None:
        assert self.disk is not None
        core = self.core
        good = await self.disk.save(save.records)
        if core is self.core:
            self.carry_out(core.saved(self.loop.time(), save.serial, good))

    def changed(self, what: str) -> None:
        now = self.loop.time()
        state = self.core.control.state
        if what == WORD:
            if (packed := self.core.control.register.word()) is None:
                return
            self.held = take(packed, self.held)
            self.word = self.held.word
            self.front.take_word(self.word)
            self.forager.take_word(self.word)
            log.say("control", "uses a configuration", number=self.word.number)
        elif what == ZONES:
            closed = state.closed if state is not None else frozenset()
            self.forager.close(now, closed)
            log.say("control", "closed zones", zones=",".join(sorted(closed)) or "none")
        elif what == MEMBERS:
            members = state.members if state is not None else ()
            log.say("control", "the core is", members=",".join(member.ip for member in members))
        elif what.startswith("service:"):
            service = what.partition(":")[2]
            self.say_table(service)
            for server in self.forager.listed(
                now, service, self.core.registry.tables[service].servers.values()
            ):
                self.servers.remove(server.number)
            for server in self.forager.fleet.services[service].values():
                self.servers.place(server.number, parse_address(server.address), 0.0)

    def say_table(self, service: str) -> None:
        """Say which state of a service's servers is used from now on."""
        table = self.core.registry.tables[service]
        draining = sum(not server.accepting for server in table.servers.values())
        count, version = len(table.servers), table.version
        log.say(
            "registry", "uses a table", service=service, version=version, servers=count, draining=draining
        )

    # --- others ---------------------------------------------------------------------------------------------

    async def poll(self, number: int) -> None:
        core = self.core
        found = await self.list_reader.read()
        if core is self.core:  # else a core that was given up asked for it
            self.carry_out(core.listed(self.loop.time(), int(time.time() * 1000), found, number))

    def lease(self, call: Call) -> None:
        self.carry_out(self.core.lease(self.loop.time(), call.tenant, call.number, call.units))

    def zone_known(self, zone: str) -> bool:
        return zone in self.settings.zones

    @property
    def lifetime(self) -> float:
        return min(2.0, self.settings.lifetime)

    def lookup(self, region: str) -> list[str]:
        """Doors for a client of a region."""
        return [
            f"{ip}:{self.settings.front.port}" for ip in self.core.peers.for_clients(region)[:MOST_ADDRESSES]
        ]

    def metrics(self) -> bytes:
        """This door's figures as text."""
        return render(collect(self, self.loop.time()))

    def status(self) -> dict[str, Any]:
        now, core = self.loop.time(), self.core
        state = core.control.state
        return {
            "name": self.settings.name,
            "ready": self.ready(),
            "configuration": self.word.number if self.word is not None else None,
            "closedZones": sorted(state.closed) if state is not None else [],
            **core.control.register.told(),
            "core": {ip: core.beats.answers(now, ip) for ip in sorted(core.peers.core)},
            "member": core.control.seated(),
            "dropped": dict(core.dropped),
            "doors": [row[0] for row in core.peers.roster if row[5]],
            "notServed": dict(self.forager.ends),
            "freshForS": round(self.forager.fresh_until - now, 2),
            "servers": {service: len(table.servers) for service, table in core.registry.tables.items()},
        }

    # --- the end -----------------------------------------------------------------------------------------------

    async def drain(self) -> None:
        """Leave in order: clients are sent elsewhere, duties go to others, what is held is finished."""
        began = self.loop.time()
        self.draining = self.forager.leaving = True
        self.supervisor.guard("give duties up", lambda: self.carry_out(self.core.drain(began)))
        log.say("daemon", "drains", open=self.carrier.waiting)
        await asyncio.sleep(LINGER)
        self.front.stop_listening()
        self.front.close_idle()
        while self.loop.time() - began < self.settings.grace - LAST:
            if not (self.carrier.waiting or self.front.owes() or self.core.control.needed()):
                break
            await asyncio.sleep(0.02)
        log.say("daemon", "ends", open=self.carrier.waiting)
        await self.close()

    async def close(self) -> None:
        self.ticker.cancel()
        self.carrier.answer_all()
        self.front.close()
        for desk in self.desks:
            desk.stop_listening()
            desk.close()
        await asyncio.sleep(0.05)  # the last answers leave
        self.mesh.close()
        self.list_reader.close()
        self.servers.close()
        self.supervisor.close()
        if self.disk is not None:
            self.disk.close()
