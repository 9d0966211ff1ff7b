"""Client of the discovery service: watches the list of backends and maps their names to numeric ids."""

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
from hazelspring.gateway.config import Address, format_setting, parse_address
from hazelspring.gateway.metrics import Counts

MAX_LINE = 4 << 20  # bytes in one line; a longer line ends the watch
MAX_SEEN = 4096  # names remembered; beyond this the name received longest ago is dropped
# Seconds without data after which a watch is abandoned.  Discovery sends an empty line every 2 s, and
# assumes after 6 s that every gateway knows of a change, whether or not the gateway received it.
SILENCE_TIMEOUT = 4.5
# Bounds of the seconds between watch attempts, for each gateway that shares discovery.
FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 0.5
HEALTHY_AFTER = 2.0  # seconds after which a watch that was answered with status 200 resets the backoff
# Gateways that may each retry with the delays above when discovery refuses; more share their total rate.
RETRIERS = 2
MIN_DELAY = 0.01  # seconds; a refusal comes at once, and retrying at once would be a busy loop
CONNECT_TIMEOUT = 1.0  # seconds
# Errors raised while reading JSON of an unexpected form.
MALFORMED = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}

log = logging.getLogger(__name__)
MembersHandler = Callable[[Members, dict[int, Address]], None]


def jittered(bound: float) -> float:
    """Return a random number of seconds between `MIN_DELAY` and `bound`.

    Gateways that lost the same peer at the same time must not retry at the same time.
    """
    return random.uniform(MIN_DELAY, bound)


def backend_id(name: str) -> int:
    """Return the id of a backend, derived from its name alone so that all gateways use the same id."""
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class MembersParser:
    """Converts lines from discovery into the lists that the admission module takes."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.set_zones_and_kinds(zones, kinds)
        self.entries: dict[int, Entry] = {}  # last known entries, for changes that omit fields
        self.hosts: dict[int, str] = {}  # names by id, to reject a second name with the same id
        self.seen: dict[str, int] = {}  # ids by name, of recent backends too: operators may name those

    def set_zones_and_kinds(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        """Number the zones and kinds by their positions in the settings."""
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}

    def parse_entry(self, raw: Any, known: dict[int, Entry]) -> tuple[Entry, Address | None]:
        """Return one backend's entry, and its address if the item is complete.

        A backend that drains or is gone must get no more requests even if its item is incomplete: then the
        other fields are taken from the known entry.  Raises one of `MALFORMED` if the item is unusable.
        """
        name, state = str(raw["host"]), STATES[raw["health"]]
        number = backend_id(name)
        if self.hosts.setdefault(number, name) != name:
            raise ValueError(f"{name} has the same id as {self.hosts[number]}")
        self.seen.pop(name, None)
        self.seen[name] = number
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]
        address = None
        try:
            entry = Entry(
                backend=number,
                zone=self.zones[format_setting(raw["site"])],
                started=float(raw.get("born_ms") or 0) / 1000,
                state=state,
                kind=self.kinds.get(format_setting(raw.get("class")), 0),
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

    def parse_members(self, raw: Any, cached: bool = False) -> tuple[Members, dict[int, Address]]:
        """Parse one line as a full list or a change; malformed entries are logged and left out.

        Raises one of `MALFORMED` if the line is no list of hosts.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("not a list of hosts")
        listing = Listing.CACHED if cached else Listing.FULL if raw.get("whole") else Listing.DELTA
        known = self.entries
        if listing is not Listing.DELTA:
            self.hosts, self.entries = {}, {}
        entries, addresses = [], {}
        for item in raw["hosts"]:
            try:
                entry, address = self.parse_entry(item, known)
            except MALFORMED as error:
                log.warning("discovery: entry skipped: %s: %s", type(error).__name__, error)
                continue
            entries.append(entry)
            if address is not None:
                addresses[entry.backend] = address
        return Members(listing, int(raw["seq"]), tuple(entries)), addresses


class Watch(asyncio.Protocol):
    """The connection of one watch: a chunked HTTP response with one JSON object per line."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = b""  # bytes received after the last line break
        self.closed: asyncio.Future[None] = owner.loop.create_future()
        self.status = 0  # HTTP status of the response; 0 before it arrives

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the watch request, starting after the last known version."""
        transport = cast(asyncio.Transport, transport)  # uvloop transports are not subclasses of it
        self.transport = transport
        target = f"/api/targets?watch=1&from={self.owner.seq}"
        transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser; abort the connection if the response is not valid HTTP."""
        self.owner.received_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:  # the framing is lost
            self.abort(str(error))

    def on_headers_complete(self) -> None:
        """Record the status, and abort the connection unless it is 200."""
        self.status = self.parser.get_status_code()
        if self.status != 200:
            self.abort(f"response status {self.status}")

    def on_body(self, body: bytes) -> None:
        """Pass on each complete line; abort the connection if a line exceeds `MAX_LINE`."""
        *lines, self.partial_line = (self.partial_line + body).split(b"\n")
        if len(self.partial_line) > MAX_LINE:
            self.partial_line = b""
            self.abort(f"incomplete line is longer than {MAX_LINE} bytes")
        for line in lines:
            if line.strip():
                self.owner.handle_line(line)

    def on_message_complete(self) -> None:
        """Close the connection after the end of the response."""
        if self.transport is not None:
            self.transport.close()

    def abort(self, reason: str) -> None:
        """Log the reason and abort the connection."""
        log.warning("discovery: watch ended: %s", reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Complete `closed`."""
        if not self.closed.done():
            self.closed.set_result(None)


class Discovery:
    """Keeps a watch open and passes every list and change to `on_members`."""

    def __init__(
        self,
        address: Address,
        members_parser: MembersParser,
        seq: int,
        on_members: MembersHandler,
        gateways: int = 1,
        call_within: float = 0.0,
        counts: Counts | None = None,
    ) -> None:
        self.address, self.members_parser, self.seq, self.on_members = (
            address,
            members_parser,
            seq,
            on_members,
        )
        self.counts = counts or Counts()
        self.set_gateways(gateways, call_within)
        self.loop = asyncio.get_running_loop()
        self.received_at = 0.0
        self.task = self.loop.create_task(self.run())

    def set_gateways(self, gateways: int, call_within: float) -> None:
        """Set how many gateways share one discovery, and within how many seconds each has to call it.

        Discovery assumes that a gateway knows of all changes once it has not called for `call_within`
        seconds, or four times as long after a refusal.  Every delay must therefore stay well below that.
        """
        self.gateways, self.call_within = gateways, call_within

    async def run(self, moved: bool = False) -> None:
        """Watch discovery until cancelled, with backoff between attempts.

        Each call may transfer the full list, and discovery serves the calls of all gateways one after
        another.  Gateways start or lose their watches at the same time, so they spread their calls.
        """
        bound = FIRST_RETRY_DELAY
        if self.members_parser.entries and not moved and self.gateways > 1:  # a known list serves until then
            await asyncio.sleep(jittered(min(bound * self.gateways, self.call_within / 2)))
        while True:
            began, status = time.monotonic(), 0
            try:
                status = await self.watch()
            except Exception as error:  # any error ends only this watch, not the retries
                if not isinstance(error, OSError | TimeoutError):
                    self.counts.count_failure("watch of discovery", error)
            self.counts.watches[status] += 1
            # A refusal means too many calls, so it does not reset the backoff, however late it comes.
            healthy = status == 200 and time.monotonic() - began > HEALTHY_AFTER
            bound = FIRST_RETRY_DELAY if healthy else min(MAX_RETRY_DELAY, 2 * bound)
            # The agent runs on this machine: while it is unreachable, calls cost other gateways nothing.
            shared = (
                min(bound * self.gateways, self.call_within * (0.5 if status == 200 else 2)) if status else 0
            )
            await asyncio.sleep(jittered(max(bound, shared)))

    async def watch(self) -> int:
        """Run one watch until it ends; return the HTTP status of the response, or 0 without a response."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, watch = await self.loop.create_connection(
                lambda: Watch(self), self.address.host, self.address.port
            )
        self.received_at = time.monotonic()
        try:
            # A peer that vanished does not close the connection, so silence ends the watch too.
            while (
                not watch.closed.done()
                and (left := self.received_at + SILENCE_TIMEOUT - time.monotonic()) > 0
            ):
                await asyncio.wait([watch.closed], timeout=left)
            return watch.status
        finally:
            if watch.transport is not None:
                watch.transport.abort()

    def handle_line(self, line: bytes) -> None:
        """Pass on the list or change in a line; count and skip malformed lines and known changes."""
        try:
            members, addresses = self.members_parser.parse_members(json.loads(line))
        except (*MALFORMED, RecursionError) as error:
            log.warning("discovery: line skipped: %s: %s", type(error).__name__, error)
            self.counts.lists["skipped"] += 1
            return
        if members.listing is Listing.DELTA and members.version <= self.seq:
            self.counts.lists["known"] += 1
            return  # an already known change
        self.counts.lists[members.listing.name.lower()] += 1
        self.seq = members.version
        self.on_members(members, addresses)

    def move(self, address: Address) -> None:
        """Watch another agent from now on, starting after the last change that was received."""
        self.address = address
        self.task.cancel()
        self.task = self.loop.create_task(self.run(moved=True))

    def close(self) -> None:
        """Stop watching."""
        self.task.cancel()
