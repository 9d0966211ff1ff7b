"""Pool of connections to one alert server: opens them, assigns them to attempts and ends idle ones."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.config import Address
from hazelspring.gateway.server_connection import Attempt, Link
from hazelspring.gateway.server_connection import Owner as LinkOwner

PER_BACKEND = 128  # maximum connections to one backend
MAX_CONNECTS = 16  # maximum of these being opened at once, so that a starting server is not flooded


class Owner(LinkOwner, Protocol):
    """The owner of the pools, as a pool uses it."""

    open: int  # connections and attempts to connect, of all pools
    max_open: int  # limit of these
    per_backend: int  # limit of one pool's
    connect_timeout: float  # seconds
    tasks: set[asyncio.Task[None]]

    @property
    def pools(self) -> Mapping[int, Pool]:
        """The pools in use, by the number of their backend."""
        ...

    def make_room(self) -> bool:
        """End an idle connection if the limit is reached; whether another connection may be opened."""
        ...


class Pool:
    """The connections to one backend."""

    def __init__(
        self, owner: Owner, name: int, address: Address, started: float, make: Callable[[Pool], Link]
    ) -> None:
        self.owner, self.name, self.address, self.started, self.make = owner, name, address, started, make
        self.idle: deque[Link] = deque()  # the most recently used one is last, and is used first
        self.links: set[Link] = set()
        self.waiting: deque[Attempt] = deque()  # attempts that wait for a connection, oldest first
        self.connecting = 0

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or let it wait for one that is being opened.

        It fails with `Outcome.FULL` if neither is possible within the limits.
        """
        while self.idle:
            link = self.idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                self.owner.counts.connections_reused += 1
                link.carry(attempt)
                return
            self.owner.counts.connections_stale += 1
        if self.connecting + len(self.links) >= self.owner.per_backend or not self.owner.make_room():
            # Nothing was sent.  The outcome is not CONNECT_FAILED, as the backend is not at fault.
            self.owner.loop.call_soon(attempt.fail, Outcome.FULL)
            return
        self.waiting.append(attempt)
        if self.connecting < MAX_CONNECTS:
            self.open()
        else:  # waits for a connection that is already being opened, for at most the connect time-out
            self.owner.loop.call_later(self.owner.connect_timeout, self.late, attempt)

    def open(self) -> None:
        """Start a task that opens another connection."""
        self.connecting += 1
        self.owner.open += 1
        task = self.owner.loop.create_task(self.connect())
        self.owner.tasks.add(task)
        task.add_done_callback(self.owner.tasks.discard)

    async def connect(self) -> None:
        """Open a connection, and assign it to a waiting attempt or keep it as idle."""
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, link = await self.owner.loop.create_connection(
                    lambda: self.make(self), self.address.host, self.address.port
                )
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                self.owner.counts.count_failure("connect to a server", error)
            self.connecting -= 1
            self.owner.open -= 1
            self.failed()
            return
        self.connecting -= 1
        self.links.add(link)
        self.owner.counts.connections_opened += 1
        if link.transport is None or link.transport.is_closing():
            self.forget(link)
            self.failed()
        elif not self.give(link):  # no attempt waits any more; the connection is open, so it is kept
            self.put(link)

    def give(self, link: Link) -> bool:
        """Assign the connection to the attempt that has waited longest; False if none waits."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if not attempt.over:
                link.carry(attempt)
                return True
        return False

    def failed(self) -> None:
        """Handle a connection that could not be opened.

        If more attempts wait than connections are being opened, the one that has waited longest fails.  For
        each other that lacks a connection, another is opened within the limits, or else it fails too.
        """
        self.waiting = deque(attempt for attempt in self.waiting if not attempt.over)
        if len(self.waiting) > self.connecting:
            self.waiting.popleft().fail(Outcome.CONNECT_FAILED)
        current = self.owner.pools.get(self.name) is self
        while len(self.waiting) > self.connecting:
            if self.connecting >= MAX_CONNECTS:
                return
            if current and self.owner.make_room():
                self.open()
            else:
                self.waiting.popleft().fail(Outcome.CONNECT_FAILED)

    def late(self, attempt: Attempt) -> None:
        """Fail an attempt that still waits for a connection after the connect time-out."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.fail(Outcome.CONNECT_FAILED)

    def put(self, link: Link) -> None:
        """Take back a connection that is free: assign it to a waiting attempt, keep it as idle or end it."""
        if self.owner.pools.get(self.name) is not self:
            link.end("moved")  # the backend has another address, has restarted or is gone
            return
        if self.give(link):
            self.owner.counts.connections_reused += 1
            return
        if self.owner.open > self.owner.max_open:
            link.end("limit")  # the limit has been lowered meanwhile
            return
        link.idle_since = time.monotonic()
        self.idle.append(link)

    def forget(self, link: Link) -> None:
        """Remove a connection that has ended."""
        if link in self.links:
            self.links.remove(link)
            self.owner.open -= 1
        if link in self.idle:
            self.idle.remove(link)

    def retire(self, now: float, keep_idle: float) -> None:
        """End connections that have been idle for about `keep_idle` seconds, well before the server does."""
        for link in [link for link in self.idle if now - link.idle_since > link.age_part * keep_idle]:
            self.idle.remove(link)
            link.end("idle")

    def close_silent(self, since: float) -> None:
        """End the idle connections that have received nothing since the monotonic time `since` either.

        Called when a request that was sent at that time timed out without an answer: the machine may have
        vanished without closing its connections.  A newly opened connection shows whether it is reachable.
        """
        for link in [link for link in self.idle if max(link.last_byte_at, link.idle_since) < since]:
            self.idle.remove(link)
            link.end("suspect")

    def close_idle(self, why: str) -> None:
        """End all idle connections; `why` is the reason under which they are counted."""
        idle, self.idle = self.idle, deque()
        for link in idle:
            link.end(why)
