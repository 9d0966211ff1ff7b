"""Discovery: the watch on the list of backends, and their names as the module's ids."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from typing import Any, cast

import httptools

from hazelspring.admission.interface import Entry, Listing, Members, State
from hazelspring.gateway.config import Address, parse_address, plain
from hazelspring.gateway.metrics import Counts

MOST_LINE = 4 << 20  # bytes of one line; a longer one ends the watch
MOST_SEEN = 4096  # names remembered, the longest unheard first to go
SILENT_AFTER = 4.5  # seconds: an empty line comes every 2 s; after 6 s all counts as told, heard or not
RETRY_FIRST, RETRY_MOST = 0.1, 0.5  # bounds of the seconds between attempts to watch, for each sharer
LASTED = 2.0  # seconds after which a watch that was answered with lists counts as well
RETRIERS = (
    2  # front doors that may each retry so often when discovery refuses; more of them share these calls
)
LEAST_WAIT = 0.01  # seconds: a refusal comes at once, and trying again at once would be a loop
CONNECT_TIMEOUT = 1.0
MALFORMED = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)  # of JSON in any form
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}

log = logging.getLogger(__name__)
Heard = Callable[[Members, dict[int, Address]], None]


def jittered(bound: float) -> float:
    """A wait before the next try: front doors that lost a peer together must not come back in step."""
    return random.uniform(LEAST_WAIT, bound)


def backend_id(name: str) -> int:
    """The module's id of a backend, derived from the name alone so that every front door has the same."""
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class Names:
    """Turns discovery's lines into the module's lists."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.name(zones, kinds)
        self.entries: dict[int, Entry] = {}  # as last heard, for changes that leave out the rest
        self.hosts: dict[int, str] = {}  # two names with one id would be taken for one backend
        self.seen: dict[str, int] = {}  # every name heard lately, listed or not: operators may name it

    def name(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}

    def entry(self, raw: Any, known: dict[int, Entry]) -> tuple[Entry, Address | None]:
        """One backend.  One that drains or is gone must stop, whatever else its entry lacks."""
        name, state = str(raw["host"]), STATES[raw["health"]]
        number = backend_id(name)
        if self.hosts.setdefault(number, name) != name:
            raise ValueError(f"{name} has the id of {self.hosts[number]}")
        self.seen.pop(name, None)
        self.seen[name] = number
        if len(self.seen) > MOST_SEEN:
            del self.seen[next(iter(self.seen))]
        address = None
        try:
            entry = Entry(
                backend=number,
                zone=self.zones[plain(raw["site"])],
                started=float(raw.get("born_ms") or 0) / 1000,
                state=state,
                kind=self.kinds.get(plain(raw.get("class")), 0),
                cell=int(raw["block"]),
                weight=float(raw.get("share") or 1),
            )
            address = parse_address(raw["dial"])
        except MALFORMED:
            if state is State.READY or number not in known:
                raise
            entry = replace(known[number], state=state)
        self.entries[number] = entry
        if state is State.GONE:
            del self.hosts[number], self.entries[number]
        return entry, address

    def members(self, raw: Any, cached: bool = False) -> tuple[Members, dict[int, Address]]:
        """One line as a list or a change; entries that make no sense are logged and left out."""
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("not a list of hosts")
        listing = Listing.CACHED if cached else Listing.FULL if raw.get("whole") else Listing.DELTA
        known = self.entries
        if listing is not Listing.DELTA:
            self.hosts, self.entries = {}, {}
        entries, addresses = [], {}
        for item in raw["hosts"]:
            try:
                entry, address = self.entry(item, known)
            except MALFORMED as error:
                log.warning("discovery: entry skipped: %s: %s", type(error).__name__, error)
                continue
            entries.append(entry)
            if address is not None:
                addresses[entry.backend] = address
        return Members(listing, int(raw["seq"]), tuple(entries)), addresses


class Watch(asyncio.Protocol):
    """One watch: a chunked answer with one JSON object a line."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.rest = b""
        self.lost: asyncio.Future[None] = owner.loop.create_future()
        self.status = 0  # of the answer, once it has one

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        target = f"/api/targets?watch=1&from={self.owner.seq}"
        transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.owner.heard_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # framing is lost
            self.end(str(error))

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status != 200:
            self.end(f"answered {self.status}")

    def on_body(self, body: bytes) -> None:
        *lines, self.rest = (self.rest + body).split(b"\n")
        if len(self.rest) > MOST_LINE:
            self.rest = b""
            self.end("a line without an end")
        for line in lines:
            if line.strip():
                self.owner.take(line)

    def on_message_complete(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def end(self, why: str) -> None:
        log.warning("discovery: watch ended: %s", why)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.lost.done():
            self.lost.set_result(None)


class Discovery:
    """Keeps a watch open and tells of every list and change."""

    def __init__(
        self,
        address: Address,
        names: Names,
        seq: int,
        heard: Heard,
        askers: int = 1,
        ask_within: float = 0.0,
        counts: Counts | None = None,
    ) -> None:
        self.address, self.names, self.seq, self.heard = address, names, seq, heard
        self.counts = counts or Counts()
        self.share(askers, ask_within)
        self.loop = asyncio.get_running_loop()
        self.heard_at = 0.0
        self.task = self.loop.create_task(self.run())

    def share(self, askers: int, ask_within: float) -> None:
        """So many front doors ask one discovery.  One that has not for `ask_within` seconds, or four times as
        long after a refusal, counts as told all the same: no wait may come near that.
        """
        self.askers, self.ask_within = askers, ask_within

    async def run(self, moved: bool = False) -> None:
        """Watch for good.  Each call may be the whole list, and discovery serves those of all front doors in
        turn: doors that start, or lose their watch, do so together, and spread their calls.
        """
        bound = RETRY_FIRST
        if self.names.entries and not moved and self.askers > 1:  # there is a list to serve from meanwhile
            await asyncio.sleep(jittered(min(bound * self.askers, self.ask_within / 2)))
        while True:
            began, status = time.monotonic(), 0
            try:
                status = await self.watch()
            except Exception as error:  # it is watched again, whatever has ended a watch
                if not isinstance(error, OSError | TimeoutError):
                    self.counts.failed("watch of discovery", error)
            self.counts.watches[status] += 1
            # A refusal is no watch that was well, however long it was in coming: the calls are too many.
            well = status == 200 and time.monotonic() - began > LASTED
            bound = RETRY_FIRST if well else min(RETRY_MOST, 2 * bound)
            # An agent that cannot be reached is this machine's own, and its calls cost nobody anything.
            shared = (
                min(bound * self.askers, self.ask_within * (0.5 if status == 200 else 2)) if status else 0
            )
            await asyncio.sleep(jittered(max(bound, shared)))

    async def watch(self) -> int:
        """Watch until that ends.  The status of the answer; 0 without one."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, watch = await self.loop.create_connection(
                lambda: Watch(self), self.address.host, self.address.port
            )
        self.heard_at = time.monotonic()
        try:
            # A vanished peer says nothing, not even that it is gone: silence ends the watch too.
            while not watch.lost.done() and (left := self.heard_at + SILENT_AFTER - time.monotonic()) > 0:
                await asyncio.wait([watch.lost], timeout=left)
            return watch.status
        finally:
            if watch.transport is not None:
                watch.transport.abort()

    def take(self, line: bytes) -> None:
        try:
            members, addresses = self.names.members(json.loads(line))
        except (*MALFORMED, RecursionError) as error:
            log.warning("discovery: line skipped: %s: %s", type(error).__name__, error)
            self.counts.lists["skipped"] += 1
            return
        if members.listing is Listing.DELTA and members.version <= self.seq:
            self.counts.lists["known"] += 1
            return  # a change that is known already
        self.counts.lists[members.listing.name.lower()] += 1
        self.seq = members.version
        self.heard(members, addresses)

    def move(self, address: Address) -> None:
        """Watch another agent from now on, after the last change that was heard."""
        self.address = address
        self.task.cancel()
        self.task = self.loop.create_task(self.run(moved=True))

    def close(self) -> None:
        self.task.cancel()
