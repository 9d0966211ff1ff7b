"""One door: its parts wired together, started, told what is new, drained."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from typing import Any

import cbor2

from hazelspring.configuration.incremental import LoadedConfiguration, load_configuration
from hazelspring.configuration.model import Configuration
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.daemon.client_listener import ClientListener, RouterHost
from hazelspring.daemon.disk_worker import DiskWorker
from hazelspring.daemon.http_api import ApiRole, HttpApi
from hazelspring.daemon.list_reader import ListReader
from hazelspring.daemon.message_transport import MessageTransport
from hazelspring.daemon.node_metrics import collect, render
from hazelspring.daemon.operator_calls import OperatorCalls
from hazelspring.daemon.settings import Settings
from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.daemon.upstream_servers import UpstreamServers
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.actions import (
    Action,
    InvariantViolated,
    LoadReported,
    ReadList,
    Save,
    Send,
    StateChanged,
)
from hazelspring.node.control_replica import CONFIGURATION, MEMBERS, ZONES
from hazelspring.node.invariants import LIST_KNOWN
from hazelspring.node.messages import LoadReport, Message
from hazelspring.node.node import Node, NodeStart
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditsGranted
from hazelspring.registry.list_reader_role import ListTiming
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import TimerTick
from hazelspring.routing.request_router import RequestRouter
from ivymux.config import Address, parse_address
from ivymux.metrics import Counts
from ivymux.periodic import Periodic
from ivymux.pool import PER_BACKEND

MIN_CONNECTIONS = 4  # to one server, however many doors share it
TICK_INTERVAL = 0.05  # seconds: an eighth of a beat, and well under the time for a lease's call
CALM_TICK_INTERVAL = (
    0.1  # seconds for looks at the core where a ready door keeps no word: a quarter of a beat
)
CONNECT_TIMEOUT = (
    0.3  # seconds for a connection to a server: a lost opening packet comes again only after a second
)
SERVER_IDLE_TIME = 9.0  # seconds that servers keep idle connections at least, where they do not say
STALE_PART = (
    0.9  # part of the time for a revocation after which keyed requests stop where nothing fresh was heard
)
UNREADY_PART = 0.5  # part of it after which clients are sent elsewhere
RESERVED_DESCRIPTORS = 400  # descriptors for files, calls and messages
UNSERVED_LOG_INTERVAL = 2.0  # seconds between two lines on what was not served
LINGER_TIME = 1.5  # seconds after SIGTERM in which clients that do not know yet still come
MAX_LOOKUP_ADDRESSES = 64  # that a client's answer may hold
DISK_RETRY_INTERVAL = 1.0  # seconds until a disk that could not be read is tried again
SHUTDOWN_MARGIN = 0.5  # seconds before the end of the grace period at which this process ends


class NodeProcess:
    def __init__(self, settings: Settings, metrics_port: int = 0) -> None:
        """`metrics_port`: a port of this machine's that answers `GET /-/metrics` beside the others; 0: none."""
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.counts = Counts()
        self.incarnation = (int(time.time() * 1000) << 8) + secrets.randbits(
            8
        )  # the later life is the larger
        self.supervisor = Supervisor(self.loop)
        self.disk = DiskWorker(settings.data_directory, self.supervisor) if settings.data_directory else None
        self.configuration: Configuration | None = None
        self.loaded_configuration: LoadedConfiguration | None = None  # the same, with what it was read from
        self.operator_calls = OperatorCalls(
            self.loop.time, lambda: self.node, lambda: self.loaded_configuration, self.execute_all
        )
        self.draining = False
        self.reported: Counter[str] = Counter()
        self.reported_at = 0.0
        self.node_ticked_at = self.confirmed_at = -1e9
        timing = ListTiming.within(settings.invariants.drain_cutoff)
        self.list_reader = ListReader(settings.platform_address, settings.platform_rate, timing.timeout)
        most = settings.max_descriptors - RESERVED_DESCRIPTORS
        fleet = EndpointSet(settings.zone, settings.region, settings.zones, random.Random(self.incarnation))
        self.router = RequestRouter(settings.shared_limits, fleet, self.incarnation)
        self.servers = UpstreamServers(CONNECT_TIMEOUT, SERVER_IDLE_TIME, most // 3, self.counts)
        self.router_host = RouterHost(self.router, self.servers, self.counts, self.lease_credits)
        self.client_listener = ClientListener(
            settings.client_address, self.router_host, most // 2, self.is_confirmed
        )
        self.transport = MessageTransport(
            settings.ip, settings.internal_port, self.on_message, self.supervisor
        )
        self.apis = self.make_apis(settings)
        metrics = Address(settings.ip, metrics_port)
        self.metrics_api = HttpApi(metrics, self, frozenset()) if metrics_port else None
        self.node: Node

    def make_apis(self, settings: Settings) -> list[HttpApi]:
        """A desk for each address that calls come to; one that serves two roles takes both kinds."""
        roles: dict[Address, set[ApiRole]] = {}
        for address, role in (
            (settings.readiness_address, ApiRole.READY),
            (settings.control_address, ApiRole.CONTROL),
            (settings.directory_address, ApiRole.DIRECTORY),
        ):
            roles.setdefault(address, set()).add(role)
        return [HttpApi(address, self, frozenset(of)) for address, of in roles.items()]

    # --- start ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        settings = self.settings
        records = await self.read_disk()
        self.node = self.make_node(records, settings.first_start)
        if records is None:
            self.supervisor.start("await the disk", self.await_disk())
        self.on_state_changed(CONFIGURATION)
        self.on_state_changed(ZONES)
        await self.transport.start()
        for listener in [*self.apis, self.client_listener]:
            await listener.start()
        await self.start_metrics()
        told, name, first = self.node.control.acceptor.version_fields(), settings.name, settings.first_start
        log.write("daemon", "started", name=name, disk=bool(self.node.me.disk_id), first=first, **told)
        self.tick()
        self.ticker = Periodic(
            self.loop, self.time_until_tick, self.tick, lambda error: self.supervisor.failed("tick", error)
        )

    async def start_metrics(self) -> None:
        """Listen for who fetches metrics; a port that is taken keeps this door from nothing else."""
        if self.metrics_api is None:
            return
        try:
            await self.metrics_api.start()
        except OSError as error:
            log.write("daemon", "cannot listen for who fetches metrics", error=error)
        else:
            self.apis.append(self.metrics_api)

    async def read_disk(self) -> dict[str, bytes] | None:
        """What the disk holds, nothing where there is none; None where it does not say."""
        return await self.disk.load() if self.disk is not None else {}

    async def await_disk(self) -> None:
        """Take the disk up once it can be read, as a new life of this door: what this one promised was on no disk."""
        records = None
        while records is None:
            await asyncio.sleep(DISK_RETRY_INTERVAL)
            records = await self.read_disk()
        self.operator_calls.fail_all("the disk was taken up")
        self.incarnation += 1
        self.node = self.make_node(records, False)
        for what in (CONFIGURATION, ZONES):
            self.on_state_changed(what)
        log.write("control", "reads the disk again", **self.node.control.acceptor.version_fields())

    def make_node(self, records: dict[str, bytes] | None, first: bool) -> Node:
        """The core on what the disk held; on an empty disk where that makes no sense, as what it promised is lost."""
        settings = self.settings
        disk = self.incarnation if self.disk is not None and records is not None else 0
        about = NodeInfo(settings.ip, settings.zone, settings.region, disk, self.incarnation)
        start = NodeStart(
            about, list(settings.seeds), first, records or {}, settings.link_bandwidth, settings.invariants
        )
        try:
            return Node(self.loop.time(), start, settings.shared_limits.quota.window, self.tenant_limit)
        except (ValueError, cbor2.CBORDecodeError) as error:
            assert self.disk is not None
            self.disk.discard(str(error))
            return self.make_node({}, False)

    def tenant_limit(self, tenant: str) -> float:
        found = self.configuration.tenants.get(tenant) if self.configuration is not None else None
        if found is None or found.rate <= 0:
            return 0.0
        return self.settings.shared_limits.quota.window_limit(
            found.rate, found.burst, self.node.peers.max_node_count
        )

    # --- time and messages ----------------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.loop.time()
        if now - self.node_ticked_at > self.tick_interval() - TICK_INTERVAL / 2:
            self.node_ticked_at = now
            self.supervisor.guard("core tick", lambda: self.tick_node(now))
        self.router_host.post(TimerTick())  # type: ignore[arg-type]
        fleet = self.router.fleet
        self.execute_all(
            self.node.disseminator.report_load(now, fleet.in_flight_by_tag(), fleet.load_reports)
        )

    def tick_interval(self) -> float:
        """Seconds between looks at the core."""
        return (
            CALM_TICK_INTERVAL if self.node.ready and self.disk is None else TICK_INTERVAL
        )  # else duties or a start wait for it

    def time_until_tick(self) -> float:
        """Seconds until the next tick."""
        return TICK_INTERVAL if self.router.pending else self.tick_interval()

    def tick_node(self, now: float) -> None:
        self.update_confirmed_at(now)
        self.node.ready = self.is_ready()
        self.execute_all(self.node.tick(now))
        self.router.node_count = self.node.peers.max_node_count
        self.router.list_known = LIST_KNOWN not in self.node.invariants.violated
        self.servers.per_backend = self.connections_per_server()
        self.list_reader.log_role(self.node.list_reader_role.holds(now))
        self.log_unserved(now)

    def connections_per_server(self) -> int:
        """Connections to one server that are this door's: an even part of what the server takes from all."""
        limits = (
            [s.connection_limit for s in self.configuration.services.values() if s.connection_limit]
            if self.configuration
            else []
        )
        return max(MIN_CONNECTIONS, min(limits, default=PER_BACKEND) // max(1, self.router.node_count))

    def reload(self, settings: Settings) -> None:
        """New settings: seeds, the platform, times for revocations and the end; all else waits for the next start."""
        if settings == self.settings:
            return
        self.settings = settings
        self.node.seeds = list(settings.seeds)
        self.list_reader.reconfigure(settings.platform_address, settings.platform_rate)
        log.write("daemon", "uses new settings", seeds=",".join(settings.seeds))

    def log_unserved(self, now: float) -> None:
        """Say what was not served of late, and why, where anything was."""
        if now - self.reported_at < UNSERVED_LOG_INTERVAL:
            return
        new = self.router.ends - self.reported
        if new:
            log.write("routing", "did not serve", **new)
        self.reported, self.reported_at = self.router.ends.copy(), now

    def on_message(self, source: str, message: Message) -> None:
        now = self.loop.time()
        actions = self.node.on_message(now, source, message)
        self.execute_all(actions)
        if not isinstance(
            message, LoadReport
        ):  # the most frequent, and it tells nothing of the configuration
            self.update_confirmed_at(now)

    def update_confirmed_at(self, now: float) -> None:
        self.confirmed_at = self.node.confirmed_at(now)
        self.router.fresh_until = self.confirmed_at + STALE_PART * self.settings.revocation_time

    def is_confirmed(self) -> bool:
        return self.loop.time() <= self.router.fresh_until

    def is_ready(self) -> bool:
        """Whether clients may come: there is a configuration, servers are known, and the core was heard."""
        sure = self.confirmed_at + UNREADY_PART * self.settings.revocation_time
        known = self.configuration is not None and bool(self.node.registry.tables)
        return known and not self.draining and self.loop.time() <= sure

    def execute_all(self, actions: list[Action]) -> None:
        """One that fails does not keep the others from being carried out: a save or an answer may be among them."""
        for action in actions:
            try:
                self.execute(action)
            except Exception as error:
                self.supervisor.failed(type(action).__name__, error)

    def execute(self, action: Action) -> None:
        match action:
            case Send():
                self.transport.send(action.to, action.message)
            case Save():
                self.supervisor.start("save", self.save(action))
            case StateChanged():
                self.on_state_changed(action.what)
            case ReadList():
                self.supervisor.start("read the list", self.read_list(action.number))
            case CreditsGranted() | CounterUnavailable():
                self.router_host.post(action)  # type: ignore[arg-type]
            case ProposalOutcome():
                self.operator_calls.on_outcome(action)
            case LoadReported():
                self.router.fleet.on_load_report(self.loop.time(), action.node, action.in_flight_by_tag)
            case InvariantViolated():
                log.write("daemon", "an invariant is violated", name=action.name)

    # --- the operator's word -----------------------------------------------------------------------------------

    async def save(self, save: Save) -> None:
        assert self.disk is not None
        core = self.node
        good = await self.disk.save(save.records)
        if core is self.node:
            self.execute_all(core.on_saved(self.loop.time(), save.serial, good))

    def on_state_changed(self, what: str) -> None:
        now = self.loop.time()
        state = self.node.control.state
        if what == CONFIGURATION:
            if (packed := self.node.control.acceptor.current_configuration()) is None:
                return
            self.loaded_configuration = load_configuration(packed, self.loaded_configuration)
            self.configuration = self.loaded_configuration.configuration
            self.client_listener.use_configuration(self.configuration)
            self.router.use_configuration(self.configuration)
            log.write("control", "uses a configuration", number=self.configuration.version)
        elif what == ZONES:
            closed = state.evacuated_zones if state is not None else frozenset()
            self.router.set_evacuated_zones(now, closed)
            log.write("control", "closed zones", zones=",".join(sorted(closed)) or "none")
        elif what == MEMBERS:
            members = state.members if state is not None else ()
            log.write("control", "the core is", members=",".join(member.ip for member in members))
        elif what.startswith("service:"):
            service = what.partition(":")[2]
            self.log_table(service)
            for server in self.router.update_endpoints(
                now, service, self.node.registry.tables[service].servers.values()
            ):
                self.servers.remove(server.number)
            for server in self.router.fleet.services[service].values():
                self.servers.place(server.number, parse_address(server.address), 0.0)

    def log_table(self, service: str) -> None:
        """Say which state of a service's servers is used from now on."""
        table = self.node.registry.tables[service]
        draining = sum(not server.accepting for server in table.servers.values())
        count, version = len(table.servers), table.version
        log.write(
            "registry", "uses a table", service=service, version=version, servers=count, draining=draining
        )

    # --- others ---------------------------------------------------------------------------------------------

    async def read_list(self, number: int) -> None:
        core = self.node
        found = await self.list_reader.read()
        if core is self.node:  # else a core that was given up asked for it
            self.execute_all(core.on_list_read(self.loop.time(), int(time.time() * 1000), found, number))

    def lease_credits(self, call: CounterCall) -> None:
        self.execute_all(self.node.lease_credits(self.loop.time(), call.tenant, call.number, call.units))

    def is_zone_known(self, zone: str) -> bool:
        return zone in self.settings.zones

    @property
    def lookup_lifetime(self) -> float:
        return min(2.0, self.settings.max_lookup_lifetime)

    def lookup(self, region: str) -> list[str]:
        """Doors for a client of a region."""
        return [
            f"{ip}:{self.settings.client_address.port}"
            for ip in self.node.peers.nodes_for_clients(region)[:MAX_LOOKUP_ADDRESSES]
        ]

    def metrics(self) -> bytes:
        """This door's figures as text."""
        return render(collect(self, self.loop.time()))

    def status(self) -> dict[str, Any]:
        now, core = self.loop.time(), self.node
        state = core.control.state
        return {
            "name": self.settings.name,
            "ready": self.is_ready(),
            "configuration": self.configuration.version if self.configuration is not None else None,
            "closedZones": sorted(state.evacuated_zones) if state is not None else [],
            **core.control.acceptor.version_fields(),
            "core": {ip: core.heartbeats.is_responsive(now, ip) for ip in sorted(core.peers.core_nodes)},
            "member": core.control.is_member(),
            "dropped": dict(core.dropped),
            "doors": [row[0] for row in core.peers.roster_rows if row[5]],
            "notServed": dict(self.router.ends),
            "freshForS": round(self.router.fresh_until - now, 2),
            "servers": {service: len(table.servers) for service, table in core.registry.tables.items()},
        }

    # --- the end -----------------------------------------------------------------------------------------------

    async def drain(self) -> None:
        """Leave in order: clients are sent elsewhere, duties go to others, what is held is finished."""
        began = self.loop.time()
        self.draining = self.router.leaving = True
        self.supervisor.guard("give duties up", lambda: self.execute_all(self.node.drain(began)))
        log.write("daemon", "drains", open=self.router_host.waiting)
        await asyncio.sleep(LINGER_TIME)
        self.client_listener.stop_listening()
        self.client_listener.close_idle()
        while self.loop.time() - began < self.settings.grace_period - SHUTDOWN_MARGIN:
            if not (
                self.router_host.waiting or self.client_listener.owes() or self.node.control.must_stay_up()
            ):
                break
            await asyncio.sleep(0.02)
        log.write("daemon", "ends", open=self.router_host.waiting)
        await self.close()

    async def close(self) -> None:
        self.ticker.cancel()
        self.router_host.answer_all()
        self.client_listener.close()
        for api in self.apis:
            api.stop_listening()
            api.close()
        await asyncio.sleep(0.05)  # the last answers leave
        self.transport.close()
        self.list_reader.close()
        self.servers.close()
        self.supervisor.close()
        if self.disk is not None:
            self.disk.close()
