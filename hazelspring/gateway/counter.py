"""Client of the shared counter: sends TALLY calls over a few pipelined RESP2 connections."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import hiredis

from hazelspring.admission.interface import Count, Counted, Outcome
from hazelspring.gateway.config import Address
from hazelspring.gateway.discovery import jittered
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.periodic import Periodic

CONNECTIONS = 4  # connections to the counter, which allows 32 from one gateway
MAX_PENDING = 1000  # calls on one connection without a reply yet
PING_AFTER = 2.0  # seconds without a call after which a PING keeps the connection from being idle
DEAD_AFTER = 2.0  # seconds with calls pending and no byte received: the remote machine has vanished
# The same limit as a multiple of the call time-out, checked when a call times out.  The counter refuses
# calls before its queue could delay replies this long, so such a connection is dead rather than slow.
SILENT_TIMEOUTS = 4.0
FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.05, 1.0  # bounds of the seconds between connection attempts
CONNECT_TIMEOUT = 1.0  # seconds
MAX_PARTIAL_REPLY = 256  # bytes received of a reply that is still incomplete
DECIMAL = re.compile(rb"[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d{1,2})?")

log = logging.getLogger(__name__)


def parse_total(reply: object) -> float:
    """Return the decimal number in a reply; raise ProtocolError if the reply is not a finite one."""
    text = reply if isinstance(reply, bytes) else str(reply).encode()
    if DECIMAL.fullmatch(text.strip()) is None or math.isinf(number := float(text)):
        raise hiredis.ProtocolError(f"reply is not a decimal number: {reply!r:.40}")
    return number


class Call:
    """One TALLY or PING that was submitted and whose reply or time-out is pending."""

    __slots__ = ("began", "count", "settled")

    def __init__(self, count: Count | None, began: float) -> None:
        self.count = count  # None for a PING
        self.began = began  # monotonic time at which it was submitted
        self.settled = count is None  # whether its outcome has been reported; a PING has none


class Connection(asyncio.Protocol):
    """One connection to the counter.  Replies come in the order in which the calls were written."""

    def __init__(self, owner: Counter) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.sent: deque[Call] = deque()  # calls written to the connection, without a reply yet
        self.queued: deque[Call] = deque()  # calls to write once the connection is established
        self.connecting = False
        self.moving = False  # whether to close once all sent calls are settled, to change the address
        self.unsent = False  # whether written bytes are still in this process's buffer
        self.received_at = 0.0  # monotonic time of the last byte, or of the first call sent after a pause
        self.partial_bytes = 0  # bytes received since the last complete reply
        self.retry_delay = FIRST_RETRY_DELAY  # upper bound of the seconds before the next attempt
        self.reader: Any = None

    # --- calls -------------------------------------------------------------------------------------

    def submit(self, count: Count, now: float) -> None:
        """Write the call, queue it while connecting, or settle it at once if neither is possible."""
        call = Call(count, now)
        if len(self.sent) + len(self.queued) >= MAX_PENDING:
            self.owner.settle(call, Outcome.FULL)
        elif self.transport is not None and not self.moving and not self.transport.is_closing():
            self.write(call)
        elif self.connecting or self.transport is not None:
            self.queued.append(call)
        else:  # connecting has just failed; the next attempt follows shortly
            self.owner.settle(call, Outcome.CONNECT_FAILED)
            return
        if not call.settled:
            self.owner.expiring.append((call, self))

    def write(self, call: Call) -> None:
        """Write a call to the established connection."""
        assert self.transport is not None
        if not self.sent:
            self.received_at = time.monotonic()
        self.sent.append(call)
        count = call.count
        if count is None:
            self.transport.write(b"*1\r\n$4\r\nPING\r\n")
            return
        lifetime_ms = max(1, min(60_000, round(count.expires * 1000)))
        command = ("TALLY", str(count.name), f"{count.amount:.6f}", str(lifetime_ms))
        self.transport.write(hiredis.pack_command(command))  # type: ignore[arg-type]  # any length works

    def expire(self, call: Call) -> None:
        """Settle a call that has timed out, and abort the connection if it has been silent for too long."""
        if call in self.queued:
            self.queued.remove(call)  # never written, so the counter cannot add it
            self.owner.settle(call, Outcome.CONNECT_FAILED)
        else:
            # The call stays in `sent`, so that its late reply is not matched to the next call.
            silent = time.monotonic() - self.received_at > SILENT_TIMEOUTS * self.owner.timeout
            if silent and self.transport is not None:
                self.transport.abort()
            self.owner.settle(call, Outcome.TIMEOUT)
            self.close_if_settled()

    # --- connection --------------------------------------------------------------------------------

    def connect(self) -> None:
        """Start a connection attempt unless one is running, a connection exists or the client is closed."""
        if not self.connecting and self.transport is None and not self.owner.closed:
            self.connecting = True
            task = self.owner.loop.create_task(self.try_connect())
            self.owner.tasks.add(task)
            task.add_done_callback(self.owner.tasks.discard)

    async def try_connect(self) -> None:
        """Connect once; on failure settle the queued calls and schedule the next attempt with backoff."""
        address, self.moving = self.owner.address, False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self.owner.loop.create_connection(lambda: self, address.host, address.port)
        except Exception as error:
            if not isinstance(error, OSError | TimeoutError):
                self.owner.counts.count_failure("connect to the counter", error)
            self.connecting = False
            self.fail_queued()
            self.owner.loop.call_later(jittered(self.retry_delay), self.connect)
            self.retry_delay = min(MAX_RETRY_DELAY, 2 * self.retry_delay)
        finally:
            self.owner.first_attempt_ended()

    def move(self) -> None:
        """Reconnect to the owner's new address once all sent calls are settled.

        New calls are queued until then, so that the replies for one name keep their order.
        """
        self.moving, self.retry_delay = True, FIRST_RETRY_DELAY
        self.close_if_settled()
        self.connect()

    def close_if_settled(self) -> None:
        """Close the connection if it is moving and none of its sent calls is pending."""
        if self.moving and self.transport is not None and all(call.settled for call in self.sent):
            self.transport.abort()

    def fail_queued(self) -> None:
        """Settle all queued calls as CONNECT_FAILED."""
        queued, self.queued = self.queued, deque()
        for call in queued:
            self.owner.settle(call, Outcome.CONNECT_FAILED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the queued calls, or close again if the address has changed meanwhile."""
        transport = cast(asyncio.Transport, transport)  # uvloop transports are not subclasses of it
        transport.set_write_buffer_limits(high=0)
        self.transport, self.connecting, self.unsent = transport, False, False
        self.reader, self.partial_bytes = hiredis.Reader(), 0
        self.received_at = time.monotonic()
        self.owner.counts.counter_opened += 1
        if self.moving:
            self.close_if_settled()
            return
        queued, self.queued = self.queued, deque()
        for call in queued:
            self.write(call)

    def pause_writing(self) -> None:
        """Note that written bytes remain in the transport's buffer."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Note that the transport's buffer is empty."""
        self.unsent = False

    def connection_lost(self, error: Exception | None) -> None:
        """Settle the sent calls and reconnect."""
        self.transport = None
        sent, self.sent = self.sent, deque()
        for call in sent:
            # Which of several calls the unsent bytes belong to is unknown; with one call it is certain.
            never_sent = self.unsent and len(sent) == 1
            self.owner.settle(call, Outcome.CONNECT_FAILED if never_sent else Outcome.TIMEOUT)
        self.connect()

    def data_received(self, data: bytes) -> None:
        """Match complete replies to the sent calls; abort the connection on a protocol error."""
        self.received_at, self.retry_delay = time.monotonic(), FIRST_RETRY_DELAY
        self.partial_bytes += len(data)
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.partial_bytes = 0
                if not self.sent:
                    raise hiredis.ProtocolError("reply without a pending call")
                self.handle_reply(self.sent[0], reply)
                self.sent.popleft()
                self.close_if_settled()
            if self.partial_bytes > MAX_PARTIAL_REPLY:
                raise hiredis.ProtocolError(f"incomplete reply is longer than {MAX_PARTIAL_REPLY} bytes")
        # Either the framing is lost, or the amount was added but its total cannot be read.  In both cases
        # later replies on this connection cannot be used.
        except (hiredis.ProtocolError, TypeError) as error:  # TypeError: a RESP map with an unhashable key
            log.warning("counter: %s", error)
            if self.transport is not None:
                self.transport.abort()

    def handle_reply(self, call: Call, reply: Any) -> None:
        """Settle a call by its reply; raise ProtocolError if the reply has no total."""
        if isinstance(reply, hiredis.ReplyError) and str(reply).startswith(("BUSY", "ERR")):
            self.owner.settle(call, Outcome.FULL)  # nothing was added
        elif call.count is not None:
            self.owner.settle(call, Outcome.OK, parse_total(reply))

    def check_liveness(self, now: float) -> None:
        """Abort a connection that does not answer, and send a PING on an idle one."""
        if self.transport is None:
            return
        if self.sent and now - self.received_at > DEAD_AFTER:
            self.transport.abort()
        elif not self.sent and now - self.received_at > PING_AFTER:
            self.write(Call(None, now))


class Counter:
    """Client of the counter.  Calls for one name share a connection, so their replies keep their order."""

    def __init__(
        self, address: Address, timeout: float, done: Callable[[Counted], None], counts: Counts
    ) -> None:
        self.address, self.timeout, self.done, self.counts = address, timeout, done, counts
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.expiring: deque[tuple[Call, Connection]] = deque()  # oldest first, all with one time-out
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.ready = self.loop.create_future()  # done once a first connection attempt has ended
        self.connections = [Connection(self) for _ in range(CONNECTIONS)]
        for connection in self.connections:
            connection.connect()
        self.liveness_check = Periodic(self.loop, PING_AFTER / 2, self.check_liveness, self.check_failed)

    def first_attempt_ended(self) -> None:
        """Complete `ready` after the first connection attempt, whether or not it succeeded."""
        if not self.ready.done():
            self.ready.set_result(None)

    def add(self, count: Count) -> None:
        """Submit a call; its outcome is passed to `done`, at the latest after the time-out."""
        self.connections[count.name % CONNECTIONS].submit(count, time.monotonic())
        if self.timer is None and self.expiring:
            self.timer = self.loop.call_later(self.timeout, self.expire)

    def expire(self) -> None:
        """Expire the calls that have timed out, and set the timer for the next one."""
        now = time.monotonic()
        while self.expiring:
            call, connection = self.expiring[0]
            if not call.settled:
                if (left := call.began + self.timeout - now) > 0:
                    self.timer = self.loop.call_later(left, self.expire)
                    return
                try:
                    connection.expire(call)
                except Exception as error:  # the calls after it must still expire
                    self.counts.count_failure("expiry of a counter call", error)
            self.expiring.popleft()
        self.timer = None

    def move(self, address: Address) -> None:
        """Use the counter at another address; calls sent to the old one are settled first."""
        self.address = address
        for connection in self.connections:
            connection.move()

    def settle(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        """Count and report the outcome of a call, unless that has been done already."""
        if not call.settled and call.count is not None:
            call.settled = True
            self.counts.counter_calls[outcome.name.lower()] += 1
            self.done(Counted(call.count.name, outcome, total, time.monotonic() - call.began))

    def check_liveness(self) -> None:
        """Check every connection."""
        now = time.monotonic()
        for connection in self.connections:
            connection.check_liveness(now)

    def check_failed(self, error: Exception) -> None:
        """Count and log an unexpected error of the liveness check."""
        self.counts.count_failure("watch of the counter", error)

    def close(self) -> None:
        """Fail the queued calls and abort all connections; nothing reconnects afterwards."""
        self.closed = True
        self.liveness_check.cancel()
        if self.timer:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for connection in self.connections:
            connection.fail_queued()
            if connection.transport is not None:
                connection.transport.abort()
