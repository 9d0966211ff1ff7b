"""The backends: a connection pool for each, limits over all pools, load reports and probes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.config import Address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.periodic import Periodic
from hazelspring.gateway.pool import PER_BACKEND, Pool
from hazelspring.gateway.server_connection import Attempt, Link, Result

STALL_TIMEOUT = 20.0  # seconds without a byte received or accepted by the peer, after which a transfer ends
IDLE_PART = 0.5  # fraction of the backend's idle time after which an idle connection is closed here
SWEEP = 1.0  # seconds between checks for such connections


class Upstream:
    """The connections to all backends that discovery has listed."""

    link: Callable[[Pool], Link] = Link

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        columns: tuple[str, ...],
        max_open: int,
        counts: Counts,
    ) -> None:
        self.max_open, self.counts = max_open, counts
        self.per_backend = PER_BACKEND
        self.retune(connect_timeout, conn_idle, columns)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.open = 0  # connections and attempts to connect
        self.sweeper = Periodic(self.loop, SWEEP, self.sweep, self.sweep_failed)

    def retune(self, connect_timeout: float, conn_idle: float, columns: tuple[str, ...]) -> None:
        """Apply new settings: time-outs in seconds, and the columns of load reports."""
        self.connect_timeout, self.columns = connect_timeout, columns
        self.keep_idle = IDLE_PART * conn_idle

    def place(self, backend: int, address: Address, started: float) -> None:
        """Set the address of a backend.

        If it has moved or restarted, its idle connections are closed: they may be stale, as a machine that
        vanished never closed them.  Attempts on its other connections continue.
        """
        pool = self.pools.get(backend)
        if pool is None or (pool.address, pool.started) != (address, started):
            self.remove(backend)
            self.pools[backend] = Pool(self, backend, address, started, self.link)

    def remove(self, backend: int) -> None:
        """Remove a backend and close its idle connections; attempts on its other connections continue."""
        if (pool := self.pools.pop(backend, None)) is not None:
            pool.close_idle("moved")

    def start(self, backend: int, timeout: float, attempt: Attempt) -> None:
        """Start an attempt on a backend; its time-out in seconds starts now, or with the body's last byte."""
        pool = self.pools.get(backend)
        if pool is None:
            self.loop.call_soon(attempt.fail, Outcome.CONNECT_FAILED)
            return
        if attempt.body is None or attempt.body.whole:
            self.expire(attempt, timeout)
        pool.start(attempt)

    def expire(self, attempt: Attempt, timeout: float) -> None:
        """Start the time-out of an attempt, in seconds; called once the client has sent its last byte."""
        attempt.timer = self.loop.call_later(timeout, attempt.give_up, Outcome.TIMEOUT)

    def probe(self, backend: int, done: Callable[[Result], None]) -> None:
        """Check the health of a backend, and read its load report if the settings name columns for one."""
        path = b"/-/load" if self.columns else b"/-/healthy"

        def complete(result: Result) -> None:
            self.counts.probes[result.outcome.name.lower()] += 1
            if result.outcome is Outcome.OK and not result.report:
                result.report = self.report(result.body)
            done(result)

        request = b"GET " + path + b" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
        self.start(backend, self.connect_timeout, Attempt(request, complete))

    def report(self, text: bytes) -> tuple[float, ...]:
        """Parse a load report into the order of the settings' columns; empty if malformed or incomplete."""
        if not text:
            return ()
        values: dict[str, float] = {}
        for part in text.decode("latin-1").removeprefix("TEXT").split(","):
            key, sep, value = part.partition("=")
            if sep:
                try:
                    values[key.strip()] = float(value)
                except ValueError:
                    return ()
        if any(not 0 <= values.get(c, -1.0) < float("inf") for c in self.columns):
            return ()
        return tuple(values[c] for c in self.columns)

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to a backend."""
        if (pool := self.pools.get(backend)) is not None:
            pool.close_idle("by_decision")

    def make_room(self) -> bool:
        """Whether a connection may be opened; at the limit, the longest idle one is ended to allow it."""
        return self.open < self.max_open or self.retire_oldest()

    def retire_oldest(self) -> bool:
        """End the connection that has been idle longest, of all pools; False if none is idle."""
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        min(idle, key=lambda pool: pool.idle[0].idle_since).idle.popleft().end("room")
        return True

    def limit(self, max_open: int) -> None:
        """Change the limit on connections, and end idle ones above it at once."""
        self.max_open = max_open
        for _ in range(self.open - max_open):
            if not self.retire_oldest():
                return

    def sweep(self) -> None:
        """End stalled transfers, and idle connections well before the backend ends them.

        A request that is sent while the backend closes the connection is lost.
        """
        for pool in list(self.pools.values()):
            try:
                for link in list(pool.links):
                    link.end_if_stalled(time.monotonic() - STALL_TIMEOUT)
                pool.retire(time.monotonic(), self.keep_idle)
            except Exception as error:  # the other pools must still be checked
                self.sweep_failed(error)

    def sweep_failed(self, error: Exception) -> None:
        """Log and count an error in a sweep."""
        self.counts.count_failure("sweep of connections", error)

    def close(self) -> None:
        """Cancel all tasks and end all connections."""
        self.sweeper.cancel()
        for task in self.tasks:
            task.cancel()
        for pool in self.pools.values():
            for link in pool.links:
                link.end("end")
