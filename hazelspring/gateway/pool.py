"""Connections to one alert server: which are open, which stand idle, and which one an attempt gets."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from hazelspring.admission.interface import Outcome
from hazelspring.gateway.config import Address
from hazelspring.gateway.link import Attempt, Link
from hazelspring.gateway.link import Owner as Connected

PER_BACKEND = 128  # connections to one backend
MOST_CONNECTS = 16  # of these on their way at once: a server that starts must not get them all in one moment


class Owner(Connected, Protocol):
    """Who owns the pools, as one of them sees it."""

    open: int
    most_open: int
    per_backend: int
    connect_timeout: float
    tasks: set[asyncio.Task[None]]

    @property
    def pools(self) -> Mapping[int, Pool]: ...

    def make_room(self) -> bool: ...


class Pool:
    """The connections to one backend."""

    def __init__(
        self, owner: Owner, name: int, address: Address, started: float, make: Callable[[Pool], Link]
    ) -> None:
        self.owner, self.name, self.address, self.started, self.make = owner, name, address, started, make
        self.idle: deque[Link] = deque()  # the newest last; it is used first
        self.links: set[Link] = set()
        self.waiting: deque[Attempt] = deque()  # for a connection, the oldest first
        self.connecting = 0

    def start(self, attempt: Attempt) -> None:
        while self.idle:
            link = self.idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                self.owner.counts.reused += 1
                link.carry(attempt)
                return
            self.owner.counts.stale += 1
        if self.connecting + len(self.links) >= self.owner.per_backend or not self.owner.make_room():
            # Nothing was sent.  Not a failed connection: the backend is not to blame.
            self.owner.loop.call_soon(attempt.fail, Outcome.FULL)
            return
        self.waiting.append(attempt)
        if self.connecting < MOST_CONNECTS:
            self.open()
        else:  # it shares those that are on their way, but waits no longer than for one of its own
            self.owner.loop.call_later(self.owner.connect_timeout, self.late, attempt)

    def open(self) -> None:
        self.connecting += 1
        self.owner.open += 1
        task = self.owner.loop.create_task(self.connect())
        self.owner.tasks.add(task)
        task.add_done_callback(self.owner.tasks.discard)

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, link = await self.owner.loop.create_connection(
                    lambda: self.make(self), self.address.host, self.address.port
                )
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                self.owner.counts.failed("connect to a server", error)
            self.connecting -= 1
            self.owner.open -= 1
            self.failed()
            return
        self.connecting -= 1
        self.links.add(link)
        self.owner.counts.opened += 1
        if link.transport is None or link.transport.is_closing():
            self.forget(link)
            self.failed()
        elif not self.give(link):  # given up meanwhile, or another came free first; it is paid for
            self.put(link)

    def give(self, link: Link) -> bool:
        """The connection to the attempt that has waited longest for one, if any waits."""
        while self.waiting:
            attempt = self.waiting.popleft()
            if not attempt.over:
                link.carry(attempt)
                return True
        return False

    def failed(self) -> None:
        """A connection did not come up: one attempt less can have one, and the others need theirs still."""
        self.waiting = deque(attempt for attempt in self.waiting if not attempt.over)
        if len(self.waiting) > self.connecting:
            self.waiting.popleft().fail(Outcome.CONNECT_FAILED)
        current = self.owner.pools.get(self.name) is self
        while len(self.waiting) > self.connecting:
            if self.connecting >= MOST_CONNECTS:
                return
            if current and self.owner.make_room():
                self.open()
            else:
                self.waiting.popleft().fail(Outcome.CONNECT_FAILED)

    def late(self, attempt: Attempt) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.fail(Outcome.CONNECT_FAILED)

    def put(self, link: Link) -> None:
        if self.owner.pools.get(self.name) is not self:
            link.end("moved")  # the backend has, or is gone
            return
        if self.give(link):
            self.owner.counts.reused += 1
            return
        if self.owner.open > self.owner.most_open:
            link.end("limit")  # there may be fewer by now
            return
        link.idle_since = time.monotonic()
        self.idle.append(link)

    def forget(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.owner.open -= 1
        if link in self.idle:
            self.idle.remove(link)

    def retire(self, now: float, keep_idle: float) -> None:
        """End what has stood idle for long, well before the server does."""
        for link in [link for link in self.idle if now - link.idle_since > link.age_part * keep_idle]:
            self.idle.remove(link)
            link.end("idle")

    def suspect(self, since: float) -> None:
        """Nothing came on a connection since then: the machine behind it may be gone without a word.  Those
        that stand idle and have brought nothing since either are not ridden on; one opened anew proves more.
        """
        for link in [link for link in self.idle if max(link.heard_at, link.idle_since) < since]:
            self.idle.remove(link)
            link.end("suspect")

    def close_idle(self, why: str) -> None:
        idle, self.idle = self.idle, deque()
        for link in idle:
            link.end(why)
