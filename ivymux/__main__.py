"""Start, wiring and signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Sequence

import uvloop

from ivymux.config import Checked, Config, ConfigError, check, load, one_line, read, reload
from ivymux.counter import Counter
from ivymux.discovery import Discovery, Names
from ivymux.handover import Handover
from ivymux.host import Host
from ivymux.management import MOST_CALLERS, Management
from ivymux.server import SURPLUS, Server
from ivymux.upstream import Upstream
from orchidhill.gateway import Gateway
from orchidhill.interface import Settings

COUNTER_WAIT = 0.3  # seconds that the start waits for the counter's connections
LINGER = 0.6  # seconds after SIGTERM in which new connections go on coming
LAST_CALL = 1.0  # seconds before the end of an upgrade's drain in which idle connections are closed
CLIENTS_PART = 0.6  # of the others: a third of all may be clients with requests, and anyone may connect
OTHER_SOCKETS = SURPLUS + MOST_CALLERS + 40  # kept for operators, discovery, the counter, the loop, the log

log = logging.getLogger(__name__)


class Steady(logging.Filter):
    """Bounds what is logged in a second: an error that comes with every request must not fill the log."""

    MOST = 50

    def __init__(self) -> None:
        super().__init__()
        self.second, self.seen = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.seen = second, 0
        self.seen += 1
        return self.seen <= self.MOST


class FrontDoor:
    """The parts of one front door, wired together."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.config = config  # as last taken
        most = config.sockets - OTHER_SOCKETS
        self.most_clients = int(CLIENTS_PART * most)
        self.most_upstream = most - self.most_clients
        upstream = Upstream(
            settings.limits.connect_timeout, config.conn_idle, settings.report_columns, self.most_upstream
        )
        host = self.host = Host(Gateway(settings, config.seed), upstream)
        if settings.has_counter and config.counter is not None:
            host.counter = Counter(config.counter, settings.counter_timeout, host.post)
        names = self.names = Names(settings.zones, config.kinds)
        seq = 0
        if config.known:
            try:
                members, addresses = names.members(config.known, cached=True)
            except (KeyError, TypeError, ValueError) as error:
                raise ConfigError(f"known: {type(error).__name__}: {error}") from None
            seq = members.version
            host.members(members, addresses)
        self.discovery = Discovery(config.discovery, names, seq, host.members, *self.asking(settings))
        self.server = Server(config, host, self.most_clients)
        self.inherits = config.passed is not None
        self.handover = Handover(config.shared, host.post, self.share_sockets)
        self.management: Management | None = None
        if config.management is not None:
            self.management = Management(config.management, self.ready, names.seen, self.handover)
        self.drain_time = self.drain_time_of(config)

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

    async def start(self) -> None:
        if self.management is not None:
            await self.management.start()
        if self.host.counter is not None:
            await asyncio.wait([self.host.counter.ready], timeout=COUNTER_WAIT)
        await self.server.start()
        self.handover.join()

    def share_sockets(self, processes: int) -> None:
        """The limit on descriptors holds for all processes of this front door together."""
        self.server.most_clients = self.most_clients // processes
        self.host.upstream.limit(self.most_upstream // processes)

    def reload(self) -> None:
        """The platform has replaced the configuration.  All of it holds from now on, or nothing does."""
        try:
            config = reload(os.environ, self.config)
        except ConfigError as error:
            log.warning("reload: nothing taken: %s", error)
            return
        before, self.config = self.config, config
        settings, host = config.settings, self.host
        self.drain_time = self.drain_time_of(config)
        self.names.name(settings.zones, config.kinds)
        host.upstream.retune(settings.limits.connect_timeout, config.conn_idle, settings.report_columns)
        self.server.retune(settings)
        host.retune(settings)
        self.discovery.share(*self.asking(settings))
        if config.discovery != before.discovery:
            self.discovery.move(config.discovery)
        if host.counter is not None and config.counter is not None:
            host.counter.timeout = settings.counter_timeout
            if config.counter != before.counter:
                host.counter.move(config.counter)
        elif settings.has_counter and config.counter is not None:
            host.counter = Counter(config.counter, settings.counter_timeout, host.post)
        names = ", ".join(c.name for c in settings.classes)
        log.info("reload: taken: classes %s; attempts %d", names, settings.limits.max_attempts)

    async def drain(self) -> None:
        """Finish what is held, in time for all of it.  Where no sibling accepts on the same socket, clients
        still come for a while; where one does, they may use their connections until shortly before the end.
        """
        began = time.monotonic()
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
        await self.close()

    async def close(self) -> None:
        self.server.close()
        await asyncio.sleep(0.05)  # the last answers leave
        if self.management is not None:
            self.management.close()
        self.handover.close()
        self.discovery.close()
        if self.host.counter is not None:
            self.host.counter.close()
        self.host.upstream.close()


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    door = FrontDoor(config)
    loop.add_signal_handler(signal.SIGHUP, door.reload)
    try:
        await door.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    await terminated.wait()
    await door.drain()


def check_file(path: str) -> int:
    """Whether a front door would take this file, and why not."""
    try:
        found = check(read(path), os.environ)
    except ConfigError as error:
        found = Checked(None, error.problems, ())
    for problem in found.problems:
        print(one_line(problem))
    for key in found.unknown:
        print(f"{one_line(key)}: unknown, skipped")
    print(f"{path}: {'would be taken' if found.config is not None else 'would not be taken'}")
    return 0 if found.config is not None else 2


def main(arguments: Sequence[str] = ()) -> int:
    match arguments:
        case ["check", path]:
            return check_file(path)
        case [_, *_]:
            print("usage: python -m ivymux [check FILE]", file=sys.stderr)
            return 2
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(Steady())
    try:
        uvloop.run(serve(load(os.environ)))
    except ConfigError as error:
        print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
