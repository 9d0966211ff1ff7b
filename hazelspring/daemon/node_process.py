"""One node's process: connects and starts its parts, ticks the node and executes the returned actions."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import Any

from hazelspring.configuration.model import Configuration
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.daemon.client_listener import ClientListener, RouterHost
from hazelspring.daemon.disk_worker import DiskWorker
from hazelspring.daemon.http_api import ApiRole, HttpApi
from hazelspring.daemon.list_reader import ListReader
from hazelspring.daemon.message_transport import MessageTransport
from hazelspring.daemon.node_factory import NodeFactory
from hazelspring.daemon.node_metrics import collect, render
from hazelspring.daemon.node_shares import connections_per_server, tenant_window_limit
from hazelspring.daemon.operator_calls import OperatorCalls
from hazelspring.daemon.readiness import NEVER, fresh_until, ready_until
from hazelspring.daemon.settings import Settings
from hazelspring.daemon.shutdown import close, drain
from hazelspring.daemon.state_in_use import StateInUse
from hazelspring.daemon.status import MAX_LOOKUP_LIFETIME, lookup_addresses, node_status
from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.daemon.unserved_log import UnservedLog
from hazelspring.daemon.upstream_servers import UpstreamServers
from hazelspring.gateway.config import Address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.periodic import Periodic
from hazelspring.node.actions import (
    Action,
    ConfigurationChanged,
    EvacuatedZonesChanged,
    InvariantViolated,
    LoadReported,
    MembersChanged,
    ReadList,
    Save,
    Send,
    TableChanged,
)
from hazelspring.node.invariants import LIST_KNOWN
from hazelspring.node.messages import LoadReport, Message
from hazelspring.node.node import Node
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditsGranted
from hazelspring.registry.list_reader_role import ListTiming
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import TimerTick
from hazelspring.routing.request_router import RequestRouter

TICK_INTERVAL = 0.05  # seconds: an eighth of a heartbeat interval, well under a lease request's time-out
SLOW_TICK_INTERVAL = 0.1  # seconds, for a ready node without a disk: a quarter of a heartbeat interval
CONNECT_TIMEOUT = 0.3  # seconds to connect to a server: a lost SYN is sent again only after a second
SERVER_IDLE_TIME = 9.0  # minimum seconds for which servers keep idle connections, if they do not state it
RESERVED_DESCRIPTORS = 400  # file descriptors for files, API calls and messages
CLIENT_DIVISOR = 2  # the remaining descriptors divided by this are for clients
SERVER_DIVISOR = 3  # the remaining descriptors divided by this are for servers
DISK_RETRY_INTERVAL = 1.0  # seconds between attempts to read a disk that could not be read
INCARNATION_RANDOM_BITS = 8  # random bits below the time, so that two starts within a millisecond differ


def new_incarnation() -> int:
    """Return the incarnation number of this start of the process; a later start has a larger one."""
    milliseconds = int(time.time() * 1000)
    return (milliseconds << INCARNATION_RANDOM_BITS) + secrets.randbits(INCARNATION_RANDOM_BITS)


class NodeProcess:
    """All parts of one node, in one process and on one event loop.

    `node` is the node's state machine; it is replaced if the disk can be read only after the start.
    """

    node: Node
    ticker: Periodic

    def __init__(self, settings: Settings, metrics_port: int = 0) -> None:
        """`metrics_port` is an additional port that answers `GET /-/metrics`; 0 means none."""
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.counts = Counts()
        self.incarnation = new_incarnation()
        self.supervisor = Supervisor(self.loop)
        self.disk = DiskWorker(settings.data_directory, self.supervisor) if settings.data_directory else None
        self.draining = False
        self.unserved_log = UnservedLog()
        self.node_ticked_at = NEVER
        self.confirmed_at = NEVER
        timing = ListTiming.within(settings.invariants.drain_cutoff)
        self.list_reader = ListReader(settings.platform_address, settings.platform_rate, timing.timeout)
        self.make_request_path(settings)
        self.state_in_use = StateInUse(
            self.loop.time, lambda: self.node, self.router, self.servers, self.client_listener
        )
        self.operator_calls = OperatorCalls(
            self.loop.time,
            lambda: self.node,
            lambda: self.state_in_use.loaded_configuration,
            self.execute_all,
        )
        self.transport = MessageTransport(
            settings.ip, settings.internal_port, self.on_message, self.supervisor
        )
        self.apis = self.make_apis(settings)
        metrics = Address(settings.ip, metrics_port)
        self.metrics_api = HttpApi(metrics, self, frozenset()) if metrics_port else None

    def make_request_path(self, settings: Settings) -> None:
        """Make the parts that requests pass through: client listener, router and connections to servers."""
        descriptors = settings.max_descriptors - RESERVED_DESCRIPTORS
        endpoints = EndpointSet(
            settings.zone, settings.region, settings.zones, random.Random(self.incarnation)
        )
        self.router = RequestRouter(settings.shared_limits, endpoints, self.incarnation)
        self.servers = UpstreamServers(
            CONNECT_TIMEOUT, SERVER_IDLE_TIME, descriptors // SERVER_DIVISOR, self.counts
        )
        self.router_host = RouterHost(self.router, self.servers, self.counts, self.lease_credits)
        self.client_listener = ClientListener(
            settings.client_address, self.router_host, descriptors // CLIENT_DIVISOR, self.is_confirmed
        )

    def make_apis(self, settings: Settings) -> list[HttpApi]:
        """Return a listener for each address of the API; roles that share an address share its listener."""
        roles: dict[Address, set[ApiRole]] = {}
        for address, role in (
            (settings.readiness_address, ApiRole.READY),
            (settings.control_address, ApiRole.CONTROL),
            (settings.directory_address, ApiRole.DIRECTORY),
        ):
            roles.setdefault(address, set()).add(role)
        return [HttpApi(address, self, frozenset(named)) for address, named in roles.items()]

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in use; None before the first one."""
        return self.state_in_use.configuration

    async def start(self) -> None:
        """Read the disk, listen, and start ticking.  Raises OSError if an address cannot be listened on."""
        settings = self.settings
        records = await self.read_disk()
        self.node = self.make_node(records, settings.first_start)
        if records is None:
            self.supervisor.start("await the disk", self.wait_for_disk())
        self.state_in_use.apply_current_configuration()
        self.state_in_use.apply_evacuated_zones()
        await self.transport.start()
        for listener in [*self.apis, self.client_listener]:
            await listener.start()
        await self.start_metrics()
        versions = self.node.control.acceptor.version_fields()
        has_disk, first = bool(self.node.me.disk_id), settings.first_start
        log.write("daemon", "started", name=settings.name, disk=has_disk, first=first, **versions)
        self.tick()
        self.ticker = Periodic(
            self.loop,
            self.time_until_tick,
            self.tick,
            lambda error: self.supervisor.record_failure("tick", error),
        )

    async def start_metrics(self) -> None:
        """Listen on the port for metrics; if that fails, the node logs it and serves without the port."""
        if self.metrics_api is None:
            return
        try:
            await self.metrics_api.start()
        except OSError as error:
            log.write("daemon", "cannot listen on the metrics port", error=error)
        else:
            self.apis.append(self.metrics_api)

    async def read_disk(self) -> dict[str, bytes] | None:
        """Return the records on disk, an empty dict without a disk, or None if they could not be read."""
        return await self.disk.load() if self.disk is not None else {}

    async def wait_for_disk(self) -> None:
        """Wait until the disk can be read, and replace the node by one that uses the disk.

        The new node is another incarnation, because the promises of the previous one are on no disk.
        """
        records = None
        while records is None:
            await asyncio.sleep(DISK_RETRY_INTERVAL)
            records = await self.read_disk()
        self.operator_calls.fail_all("the disk was taken up")
        self.incarnation += 1
        self.node = self.make_node(records, False)
        self.state_in_use.apply_current_configuration()
        self.state_in_use.apply_evacuated_zones()
        log.write("control", "the disk can be read again", **self.node.control.acceptor.version_fields())

    def make_node(self, records: dict[str, bytes] | None, first_start: bool) -> Node:
        """Return a node that continues from its disk's records; None means that they could not be read."""
        factory = NodeFactory(self.loop.time, self.settings, self.disk, self.tenant_limit)
        return factory.make(self.incarnation, records, first_start)

    def tenant_limit(self, tenant: str) -> float:
        """Return the units that a tenant may use in one window of its quota."""
        node_count = self.node.peers.max_node_count
        return tenant_window_limit(self.configuration, tenant, self.settings.shared_limits, node_count)

    def tick(self) -> None:
        """Advance the router, and also the node if its own tick is due."""
        now = self.loop.time()
        if now - self.node_ticked_at > self.tick_interval() - TICK_INTERVAL / 2:
            self.node_ticked_at = now
            self.supervisor.guard("core tick", lambda: self.tick_node(now))
        self.router_host.post(TimerTick())  # type: ignore[arg-type]
        endpoints = self.router.endpoints
        self.execute_all(
            self.node.disseminator.report_load(now, endpoints.in_flight_by_tag(), endpoints.load_reports)
        )

    def tick_interval(self) -> float:
        """Return the seconds between ticks of the node.

        They are fewer if it has a disk or is not ready, because leases, saves or the start wait for ticks.
        """
        return SLOW_TICK_INTERVAL if self.node.ready and self.disk is None else TICK_INTERVAL

    def time_until_tick(self) -> float:
        """Return the seconds until the next tick."""
        return TICK_INTERVAL if self.router.pending else self.tick_interval()

    def tick_node(self, now: float) -> None:
        """Advance the node, and update the parts that serve requests from its state."""
        self.operator_calls.withdraw_abandoned()
        self.state_in_use.apply_missed_zones()
        self.update_confirmed_at(now)
        self.node.ready = self.is_ready()
        self.execute_all(self.node.tick(now))
        self.router.node_count = self.node.peers.max_node_count
        self.router.server_list_is_fresh = LIST_KNOWN not in self.node.invariants.violated
        self.servers.per_backend = connections_per_server(self.configuration, self.router.node_count)
        self.list_reader.log_role(self.node.list_reader_role.holds(now))
        self.unserved_log.write(now, self.router.unserved_counts)

    def reload(self, settings: Settings) -> None:
        """Apply new settings: the seeds, the platform, the revocation time and the grace period.

        All other settings take effect at the next start.
        """
        if settings == self.settings:
            return
        self.settings = settings
        self.node.seeds = list(settings.seeds)
        self.list_reader.reconfigure(settings.platform_address, settings.platform_rate)
        log.write("daemon", "uses new settings", seeds=",".join(settings.seeds))

    def on_message(self, source: str, message: Message) -> None:
        """Pass another node's message to this node, and execute the actions that it returns."""
        self.operator_calls.withdraw_abandoned()
        now = self.loop.time()
        actions = self.node.on_message(now, source, message)
        self.execute_all(actions)
        # load reports are the most frequent messages, and carry nothing about the configuration
        if not isinstance(message, LoadReport):
            self.update_confirmed_at(now)

    def update_confirmed_at(self, now: float) -> None:
        """Update the time up to which this node knows every acknowledged change."""
        self.confirmed_at = self.node.confirmed_at(now)
        self.router.fresh_until = fresh_until(self.confirmed_at, self.settings.revocation_time)

    def is_confirmed(self) -> bool:
        """Return whether the configuration was confirmed recently enough to refuse requests by it."""
        return self.loop.time() <= self.router.fresh_until

    def is_ready(self) -> bool:
        """Return whether clients may be sent to this node.

        It must know a configuration and servers, have a recent confirmation, and not be draining.
        """
        known = self.configuration is not None and bool(self.node.registry.tables)
        until = ready_until(self.confirmed_at, self.settings.revocation_time)
        return known and not self.draining and self.loop.time() <= until

    def execute_all(self, actions: list[Action]) -> None:
        """Execute actions in order.

        If one fails, the others are still executed, because a save or an answer may be among them.
        """
        for action in actions:
            try:
                self.execute(action)
            except Exception as error:
                self.supervisor.record_failure(type(action).__name__, error)

    def execute(self, action: Action) -> None:
        """Execute one action of the node."""
        match action:
            case Send():
                self.transport.send(action.to, action.message)
            case Save():
                self.supervisor.start("save", self.save(action))
            case ConfigurationChanged() | EvacuatedZonesChanged() | MembersChanged() | TableChanged():
                self.state_in_use.on_state_changed(action)
            case ReadList():
                self.supervisor.start("read the list", self.read_list(action.number))
            case CreditsGranted() | CounterUnavailable():
                self.router_host.post(action)  # type: ignore[arg-type]
            case ProposalOutcome():
                self.operator_calls.on_outcome(action)
            case LoadReported():
                self.router.endpoints.on_load_report(self.loop.time(), action.node, action.in_flight_by_tag)
            case InvariantViolated():
                log.write("daemon", "an invariant is violated", name=action.name)

    async def save(self, save: Save) -> None:
        """Write records to disk, and report the result to the requesting node unless it was replaced."""
        assert self.disk is not None  # a node without a disk requests no saves
        node = self.node
        saved = await self.disk.save(save.records)
        if node is self.node:
            self.operator_calls.withdraw_abandoned()
            self.execute_all(node.on_saved(self.loop.time(), save.serial, saved))

    async def read_list(self, number: int) -> None:
        """Read the platform's list, and report the result to the requesting node unless it was replaced."""
        node = self.node
        servers = await self.list_reader.read()
        if node is self.node:
            milliseconds = int(time.time() * 1000)
            self.execute_all(node.on_list_read(self.loop.time(), milliseconds, servers, number))

    def lease_credits(self, call: CounterCall) -> None:
        """Request units from a tenant's counter on behalf of the router."""
        self.execute_all(self.node.lease_credits(self.loop.time(), call.tenant, call.number, call.units))

    def is_zone_known(self, zone: str) -> bool:
        """Return whether the settings name a zone."""
        return zone in self.settings.zones

    @property
    def lookup_lifetime(self) -> float:
        """Seconds for which a client may use the result of a lookup."""
        return min(MAX_LOOKUP_LIFETIME, self.settings.max_lookup_lifetime)

    def lookup(self, region: str) -> list[str]:
        """Return the addresses of nodes for a client of a region."""
        return lookup_addresses(self, region)

    def metrics(self) -> bytes:
        """Return the node's metrics in the Prometheus text format."""
        return render(collect(self, self.loop.time()))

    def status(self) -> dict[str, Any]:
        """Return the body of the answer to `GET /-/status`."""
        return node_status(self, self.loop.time())

    async def drain(self) -> None:
        """Shut down gracefully; see `hazelspring.daemon.shutdown`."""
        await drain(self)

    async def close(self) -> None:
        """Answer the open requests, and close everything that the process has open."""
        await close(self)
