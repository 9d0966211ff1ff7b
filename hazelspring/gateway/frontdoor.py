"""The parts of one front door: wired together, started, changed as one, drained."""

from __future__ import annotations

import asyncio
import logging
import os
import time

from hazelspring.admission.gateway import Gateway
from hazelspring.admission.interface import Settings
from hazelspring.gateway.caller import SURPLUS
from hazelspring.gateway.config import Config, ConfigError
from hazelspring.gateway.counter import Counter
from hazelspring.gateway.discovery import Discovery, Names
from hazelspring.gateway.generations import Generations, Kept, Step, state_path
from hazelspring.gateway.handover import Handover
from hazelspring.gateway.host import Host
from hazelspring.gateway.management import MOST_CALLERS, Management
from hazelspring.gateway.metrics import Counts, Metrics, descriptors
from hazelspring.gateway.server import Server
from hazelspring.gateway.upstream import Upstream

COUNTER_WAIT = 0.3  # seconds that the start waits for the counter's connections
LINGER = 0.6  # seconds after SIGTERM in which new connections go on coming
LAST_CALL = 1.0  # seconds before the end of an upgrade's drain in which idle connections are closed
CLIENTS_PART = 0.6  # of the others: a third of all may be clients with requests, and anyone may connect
OTHER_SOCKETS = SURPLUS + MOST_CALLERS + 40  # kept for operators, discovery, the counter, the loop, the log

log = logging.getLogger(__name__)


class FrontDoor:
    """The parts of one front door, wired together."""

    def __init__(self, config: Config, kept: Kept | None = None, counts: Counts | None = None) -> None:
        settings = config.settings
        self.began = time.monotonic()
        counts = self.counts = counts or Counts()
        self.metrics = Metrics(counts)
        self.most_clients, self.most_upstream = self.shares(config)
        upstream = Upstream(
            settings.limits.connect_timeout,
            config.conn_idle,
            settings.report_columns,
            self.most_upstream,
            counts,
        )
        host = self.host = Host(Gateway(settings, config.seed), upstream, counts)
        if settings.has_counter and config.counter is not None:
            host.counter = Counter(config.counter, settings.counter_timeout, host.post, counts)
        names = self.names = Names(settings.zones, config.kinds)
        seq = 0
        if config.known:
            try:
                members, addresses = names.members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            seq = members.version
            host.members(members, addresses)
        self.discovery = Discovery(config.discovery, names, seq, host.members, *self.asking(settings), counts)
        self.server = Server(config, host, self.most_clients)
        self.inherits = config.passed is not None
        self.handover = Handover(config.shared, host.post, self.share_sockets)
        self.drain_time = self.drain_time_of(config)
        parts = (
            self.prepare_names, self.prepare_upstream, self.prepare_server, self.prepare_host,
            self.prepare_discovery, self.prepare_counter, self.prepare_limits, self.prepare_management,
        )  # fmt: skip
        self.generations = Generations(config, os.environ, parts)
        if (path := state_path(config)) is not None:
            self.generations.share(path, kept)
        self.management = self.manage(config)
        self.gauges()

    @staticmethod
    def shares(config: Config) -> tuple[int, int]:
        """The descriptors for clients and for alert servers."""
        most = config.sockets - OTHER_SOCKETS
        return int(CLIENTS_PART * most), most - int(CLIENTS_PART * most)

    @staticmethod
    def drain_time_of(config: Config) -> float:
        """SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM."""
        return min(3.0, max((c.deadline for c in config.settings.classes), default=3.0)) + 0.4

    @staticmethod
    def asking(settings: Settings) -> tuple[int, float]:
        """How many front doors ask one discovery, and how soon each has to; one where it tells unasked."""
        return (1 if settings.membership_push else settings.peers), settings.rules.ask_within

    def ready(self) -> bool:
        """Whether this process can serve: it listens, has a list, and the counter was tried."""
        counter = self.host.counter
        return self.server.ready() and (counter is None or counter.ready.done())

    def gauges(self) -> None:
        host, gauge = self.host, self.metrics.gauge
        gauge("descriptors", "Descriptors by their owner, and all of them.", "owner", self.owners)
        gauge(
            "descriptors_most",
            "The most there may be.",
            "owner",
            lambda: {"clients": self.server.most_clients, "alert_servers": host.upstream.most_open},
        )
        gauge(
            "connections_idle",
            "Connections to alert servers that stand idle.",
            "",
            lambda: {"": sum(len(pool.idle) for pool in host.upstream.pools.values())},
        )
        gauge("requests_open", "Requests without their whole answer.", "", lambda: {"": host.waiting})
        gauge("alert_servers", "Alert servers listed.", "", lambda: {"": len(host.upstream.pools)})
        gauge("processes", "Processes that serve as this one.", "", lambda: {"": self.handover.processes})
        gauge("generation", "The running configuration.", "", lambda: {"": self.generations.running.number})
        gauge(
            "generation_take_most_seconds",
            "The longest time for which a change has held the loop.",
            "",
            lambda: {"": self.generations.longest},
        )

    def owners(self) -> dict[str, float]:
        counter = self.host.counter
        return {
            "clients": len(self.server.clients),
            "alert_servers": self.host.upstream.open,
            "counter": sum(line.transport is not None for line in counter.lines) if counter else 0,
            "management": len(self.management.callers) if self.management is not None else 0,
            "all": descriptors(),
        }

    async def start(self) -> None:
        if self.management is not None:
            self.management.bind()
            self.management.open()
            self.metrics.start()
        if self.host.counter is not None:
            await asyncio.wait([self.host.counter.ready], timeout=COUNTER_WAIT)
        await self.server.start()
        self.handover.join()

    def share_sockets(self, processes: int) -> None:
        """The limit on descriptors holds for all processes of this front door together."""
        self.server.limit(self.most_clients // processes)
        self.host.upstream.limit(self.most_upstream // processes)

    def reload(self) -> None:
        """The platform has replaced the configuration.  All of it holds from now on, or nothing does."""
        self.generations.reload()

    # --- the steps of a change: nothing is changed before all are prepared --------------------------

    def prepare_names(self, before: Config, after: Config) -> Step:
        return Step(lambda: self.names.name(after.settings.zones, after.kinds))

    def prepare_upstream(self, before: Config, after: Config) -> Step:
        limits, columns = after.settings.limits, after.settings.report_columns
        return Step(lambda: self.host.upstream.retune(limits.connect_timeout, after.conn_idle, columns))

    def prepare_server(self, before: Config, after: Config) -> Step:
        def commit() -> None:
            self.drain_time = self.drain_time_of(after)
            self.server.retune(after.settings)

        return Step(commit)

    def prepare_host(self, before: Config, after: Config) -> Step:
        return Step(lambda: self.host.retune(after.settings))

    def prepare_discovery(self, before: Config, after: Config) -> Step:
        def commit() -> None:
            self.discovery.share(*self.asking(after.settings))
            if after.discovery != self.discovery.address:
                self.discovery.move(after.discovery)

        return Step(commit)

    def prepare_counter(self, before: Config, after: Config) -> Step:
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
        def commit() -> None:
            self.most_clients, self.most_upstream = self.shares(after)
            self.share_sockets(self.handover.processes)

        return Step(commit)

    def prepare_management(self, before: Config, after: Config) -> Step:
        """The new address listens before the old one closes; one that cannot be listened on is refused."""
        if after.management == before.management:
            return Step(lambda: None)
        made = self.manage(after)
        if made is not None:
            made.bind()

        def commit() -> None:
            old, self.management = self.management, made
            if made is not None:
                made.open()
                self.metrics.start()
            else:
                self.metrics.stop()
            if old is not None:
                old.leave()

        return Step(commit, made.close if made is not None else lambda: None)

    def manage(self, config: Config) -> Management | None:
        if config.management is None:
            return None
        return Management(
            config.management, self.ready, self.names.seen, self.handover, self.generations, self.metrics
        )

    async def drain(self) -> None:
        """Finish what is held, in time for all of it.  Where no sibling accepts on the same socket, clients
        still come for a while; where one does, they may use their connections until shortly before the end.
        """
        began = time.monotonic()
        self.generations.stop()
        self.handover.look()
        upgraded = self.inherits and self.handover.processes > 1
        if not upgraded:
            await asyncio.sleep(LINGER)
        self.server.stop_listening()
        if upgraded:
            last_call = began + max(self.drain_time / 2, self.drain_time - LAST_CALL)
            while self.server.in_use() and time.monotonic() < last_call:
                await asyncio.sleep(0.01)
        self.server.close_idle()
        while self.host.waiting and time.monotonic() - began < self.drain_time:
            await asyncio.sleep(0.01)
        self.host.answer_all()
        if self.management is not None:
            log.info("drained: %s", self.metrics.summary(self.began))
        await self.close()

    async def close(self) -> None:
        self.generations.stop()
        self.metrics.stop()
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers leave
        if self.management is not None:
            self.management.close()
        self.handover.close()
        self.discovery.close()
        if self.host.counter is not None:
            self.host.counter.close()
        self.host.upstream.close()
