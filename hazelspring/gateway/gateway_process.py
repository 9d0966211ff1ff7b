"""One gateway process: builds its parts, starts them, reconfigures them together and drains them."""

from __future__ import annotations

import asyncio
import logging
import os
import time

from hazelspring.admission.gateway import Gateway
from hazelspring.admission.interface import Settings
from hazelspring.gateway.client_connection import SURPLUS
from hazelspring.gateway.config import Config, ConfigError
from hazelspring.gateway.counter import Counter
from hazelspring.gateway.discovery import Discovery, MembersParser
from hazelspring.gateway.generations import Generations, StateFile, Step, state_path
from hazelspring.gateway.host import Host
from hazelspring.gateway.management import MAX_CONNECTIONS, Management
from hazelspring.gateway.metrics import Counts, Metrics, open_descriptors
from hazelspring.gateway.server import Server
from hazelspring.gateway.shared_folder import SharedFolder
from hazelspring.gateway.upstream import Upstream

COUNTER_START_TIMEOUT = 0.3  # seconds for which the start waits for a connection to the counter
ACCEPT_AFTER_SIGTERM = 0.6  # seconds after SIGTERM for which new connections are still accepted
IDLE_CLOSE_MARGIN = 1.0  # seconds before the end of an upgrade's drain at which idle connections are closed
# Share of the remaining descriptors that clients get.  A third of all descriptors may be used by clients
# with requests, and more clients may connect without sending any.
CLIENT_SHARE = 0.6
# Descriptors reserved for operators, discovery, the counter, the event loop and the log.
OTHER_SOCKETS = SURPLUS + MAX_CONNECTIONS + 40

log = logging.getLogger(__name__)


class GatewayProcess:
    """The parts of one gateway process and how they are connected."""

    def __init__(
        self, config: Config, state_file: StateFile | None = None, counts: Counts | None = None
    ) -> None:
        settings = config.settings
        self.began = time.monotonic()
        counts = self.counts = counts or Counts()
        self.metrics = Metrics(counts)
        self.max_clients, self.max_upstream = self.descriptor_shares(config)
        upstream = Upstream(
            settings.limits.connect_timeout,
            config.conn_idle,
            settings.report_columns,
            self.max_upstream,
            counts,
        )
        host = self.host = Host(Gateway(settings, config.seed), upstream, counts)
        if settings.has_counter and config.counter is not None:
            host.counter = Counter(config.counter, settings.counter_timeout, host.post, counts)
        members_parser = self.members_parser = MembersParser(settings.zones, config.kinds)
        seq = 0
        if config.known:
            try:
                members, addresses = members_parser.parse_members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            seq = members.version
            host.members(members, addresses)
        self.discovery = Discovery(
            config.discovery, members_parser, seq, host.members, *self.discovery_sharing(settings), counts
        )
        self.server = Server(config, host, self.max_clients)
        self.inherited_socket = config.passed is not None
        self.shared_folder = SharedFolder(config.shared, host.post, self.limit_descriptors)
        self.drain_time = self.drain_time_for(config)
        parts = (
            self.prepare_members_parser, self.prepare_upstream, self.prepare_server, self.prepare_host,
            self.prepare_discovery, self.prepare_counter, self.prepare_limits, self.prepare_management,
        )  # fmt: skip
        self.generations = Generations(config, os.environ, parts)
        if (path := state_path(config)) is not None:
            self.generations.share(path, state_file)
        self.management = self.make_management(config)
        self.register_gauges()

    @staticmethod
    def descriptor_shares(config: Config) -> tuple[int, int]:
        """Return the numbers of descriptors for clients and for alert servers."""
        available = config.sockets - OTHER_SOCKETS
        return int(CLIENT_SHARE * available), available - int(CLIENT_SHARE * available)

    @staticmethod
    def drain_time_for(config: Config) -> float:
        """Return the seconds that a drain may take.

        SIGKILL follows SIGTERM no sooner than the longest deadline, capped at 3 s, plus 0.7 s.
        """
        return min(3.0, max((c.deadline for c in config.settings.classes), default=3.0)) + 0.4

    @staticmethod
    def discovery_sharing(settings: Settings) -> tuple[int, float]:
        """Return how many gateways share one discovery, and within how many seconds each has to call it.

        The number is 1 where discovery pushes its changes.
        """
        return (1 if settings.membership_push else settings.peers), settings.rules.ask_within

    def ready(self) -> bool:
        """Return whether this process can serve: it listens, has a list and has tried the counter."""
        counter = self.host.counter
        return self.server.ready() and (counter is None or counter.ready.done())

    def register_gauges(self) -> None:
        """Register the gauges whose values are read from the parts at each scrape."""
        host, gauge = self.host, self.metrics.gauge
        gauge(
            "descriptors", "Descriptors by their owner, and all of them.", "owner", self.descriptors_by_owner
        )
        gauge(
            "descriptors_most",
            "The most there may be.",
            "owner",
            lambda: {"clients": self.server.max_clients, "alert_servers": host.upstream.max_open},
        )
        gauge(
            "connections_idle",
            "Connections to alert servers that stand idle.",
            "",
            lambda: {"": sum(len(pool.idle) for pool in host.upstream.pools.values())},
        )
        gauge("requests_open", "Requests whose answer is not complete.", "", lambda: {"": host.waiting})
        gauge("alert_servers", "Alert servers listed.", "", lambda: {"": len(host.upstream.pools)})
        gauge(
            "processes", "Processes that serve as this one.", "", lambda: {"": self.shared_folder.processes}
        )
        gauge("generation", "The running configuration.", "", lambda: {"": self.generations.running.number})
        gauge(
            "generation_take_most_seconds",
            "The longest time for which a change has held the loop.",
            "",
            lambda: {"": self.generations.longest_apply_seconds},
        )

    def descriptors_by_owner(self) -> dict[str, float]:
        """Return the open descriptors of each owner, and those of the whole process as `all`."""
        counter = self.host.counter
        return {
            "clients": len(self.server.clients),
            "alert_servers": self.host.upstream.open,
            "counter": sum(link.transport is not None for link in counter.connections) if counter else 0,
            "management": len(self.management.connections) if self.management is not None else 0,
            "all": open_descriptors(),
        }

    async def start(self) -> None:
        """Listen for operators and clients, and register with the other processes of this gateway."""
        if self.management is not None:
            self.management.bind()
            self.management.open()
            self.metrics.start()
        if self.host.counter is not None:
            await asyncio.wait([self.host.counter.ready], timeout=COUNTER_START_TIMEOUT)
        await self.server.start()
        self.shared_folder.register()

    def limit_descriptors(self, processes: int) -> None:
        """Divide the limit on descriptors, which holds for all processes of this gateway together."""
        self.server.limit(self.max_clients // processes)
        self.host.upstream.limit(self.max_upstream // processes)

    def reload(self) -> None:
        """Apply the configuration that the platform has replaced, either completely or not at all."""
        self.generations.reload()

    # --- steps of a configuration change: nothing is changed before all steps are prepared ----------

    def prepare_members_parser(self, before: Config, after: Config) -> Step:
        """Number the new zones and kinds at commit."""
        return Step(lambda: self.members_parser.set_zones_and_kinds(after.settings.zones, after.kinds))

    def prepare_upstream(self, before: Config, after: Config) -> Step:
        """Apply the new limits to connections to alert servers at commit."""
        limits, columns = after.settings.limits, after.settings.report_columns
        return Step(lambda: self.host.upstream.retune(limits.connect_timeout, after.conn_idle, columns))

    def prepare_server(self, before: Config, after: Config) -> Step:
        """Apply the new classes, tariffs and drain time at commit."""

        def commit() -> None:
            self.drain_time = self.drain_time_for(after)
            self.server.retune(after.settings)

        return Step(commit)

    def prepare_host(self, before: Config, after: Config) -> Step:
        """Apply the new settings to the admission module at commit."""
        return Step(lambda: self.host.retune(after.settings))

    def prepare_discovery(self, before: Config, after: Config) -> Step:
        """Apply the new call rate at commit, and watch another agent if its address has changed."""

        def commit() -> None:
            self.discovery.set_gateways(*self.discovery_sharing(after.settings))
            if after.discovery != self.discovery.address:
                self.discovery.move(after.discovery)

        return Step(commit)

    def prepare_counter(self, before: Config, after: Config) -> Step:
        """Open, move, retune or close the client of the counter at commit."""

        def commit() -> None:
            host, settings = self.host, after.settings
            if not settings.has_counter or after.counter is None:
                if host.counter is not None:
                    counter, host.counter = host.counter, None
                    counter.close()
            elif host.counter is None:
                host.counter = Counter(after.counter, settings.counter_timeout, host.post, self.counts)
            else:
                host.counter.timeout = settings.counter_timeout
                if after.counter != host.counter.address:
                    host.counter.move(after.counter)

        return Step(commit)

    def prepare_limits(self, before: Config, after: Config) -> Step:
        """Apply the new limits on descriptors at commit."""

        def commit() -> None:
            self.max_clients, self.max_upstream = self.descriptor_shares(after)
            self.limit_descriptors(self.shared_folder.processes)

        return Step(commit)

    def prepare_management(self, before: Config, after: Config) -> Step:
        """Bind the new address, so that a failure refuses the change; close the old one at commit."""
        if after.management == before.management:
            return Step(lambda: None)
        new = self.make_management(after)
        if new is not None:
            new.bind()

        def commit() -> None:
            old, self.management = self.management, new
            if new is not None:
                new.open()
                self.metrics.start()
            else:
                self.metrics.stop()
            if old is not None:
                old.stop_accepting()

        return Step(commit, new.close if new is not None else lambda: None)

    def make_management(self, config: Config) -> Management | None:
        """Return the unbound server for operators' calls, or None if none is configured."""
        if config.management is None:
            return None
        return Management(
            config.management,
            self.ready,
            self.members_parser.seen,
            self.shared_folder,
            self.generations,
            self.metrics,
        )

    async def drain(self) -> None:
        """Finish the open requests within the drain time, answer those that remain, and close.

        Without another process on the same socket, new connections are accepted for a while.  With one, no
        new ones are accepted, and clients may use theirs until shortly before the end.
        """
        began = time.monotonic()
        self.generations.stop()
        self.shared_folder.scan()
        upgraded = self.inherited_socket and self.shared_folder.processes > 1
        if not upgraded:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM)
        self.server.stop_listening()
        if upgraded:
            close_idle_at = began + max(self.drain_time / 2, self.drain_time - IDLE_CLOSE_MARGIN)
            while self.server.in_use() and time.monotonic() < close_idle_at:
                await asyncio.sleep(0.01)
        self.server.close_idle()
        while self.host.waiting and time.monotonic() - began < self.drain_time:
            await asyncio.sleep(0.01)
        self.host.answer_all()
        if self.management is not None:
            log.info("drained: %s", self.metrics.summary(self.began))
        await self.close()

    async def close(self) -> None:
        """Stop all parts and close their sockets, without finishing open requests."""
        self.generations.stop()
        self.metrics.stop()
        self.server.close()
        await asyncio.sleep(0.05)  # time for the last answers to be sent
        if self.management is not None:
            self.management.close()
        self.shared_folder.close()
        self.discovery.close()
        if self.host.counter is not None:
            self.host.counter.close()
        self.host.upstream.close()
