"""The counter client against a fake counter on loopback sockets."""

from __future__ import annotations

import asyncio
import time

import pytest

from hazelspring.admission.interface import Count, Counted, Outcome
from hazelspring.gateway import counter as counter_module
from hazelspring.gateway.config import parse_address
from hazelspring.gateway.counter import CONNECTIONS, DEAD_AFTER, MAX_PENDING, Counter
from hazelspring.gateway.metrics import Counts

from .sockets import Tally, listening, run, until


def start(dial: str, timeout: float = 0.08) -> tuple[Counter, list[Counted]]:
    received: list[Counted] = []
    return Counter(parse_address(dial), timeout, received.append, Counts()), received


def test_calls_are_pipelined_and_matched_to_their_replies_in_order() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, received = start(dial)
            for amount in (4.0, -1.5, 0.0):
                counter.add(Count(9, amount, 4.0))
            counter.add(Count(10, 1.0, 90.0))
            await until(lambda: len(received) == 4)
            assert [c.total for c in received if c.name == 9] == [4.0, 2.5, 2.5]
            assert all(c.outcome is Outcome.OK for c in received)
            assert [b"TALLY", b"9", b"-1.500000", b"4000"] in tally.calls
            assert [b"TALLY", b"10", b"1.000000", b"60000"] in tally.calls
            counter.close()

    run(test())


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"-BUSY try later\r\n", Outcome.FULL),
        (b"-ERR no such call\r\n", Outcome.FULL),
    ],
)
def test_an_error_reply_settles_the_call_as_full(reply: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, received = start(dial)
            counter.add(Count(9, 1.0, 4.0))
            counter.add(Count(9, 1.0, 4.0))
            await until(lambda: len(received) == 2)
            assert [c.outcome for c in received] == [outcome, Outcome.OK]
            counter.close()

    run(test())


REPLIES_WITHOUT_A_TOTAL = [
    b"+what\r\n", b"$0\r\n\r\n", b"$-1\r\n", b"$3\r\nnan\r\n", b"$3\r\n1_0\r\n", b"$4\r\n0x10\r\n",
    b"*1\r\n:1\r\n", b"%1\r\n*0\r\n:1\r\n", b"-\xff\xfe\r\n", b"$9999\r\n" + b"1" * 300,
    b"$400\r\n" + b"9" * 400 + b"\r\n",
]  # fmt: skip


@pytest.mark.parametrize("reply", REPLIES_WITHOUT_A_TOTAL)
def test_a_reply_without_a_total_closes_the_connection(reply: bytes) -> None:
    """The amount was added nevertheless, and later replies could not be matched to their calls."""

    async def test() -> None:
        tally = Tally(lambda number, call: reply if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, received = start(dial, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(received) == 2)
            assert [c.outcome for c in received] == [Outcome.TIMEOUT, Outcome.OK]
            assert tally.opened == CONNECTIONS + 1
            counter.close()

    run(test())


@pytest.mark.parametrize("reply", [b":3\r\n", b"+3.0\r\n", b"$4\r\n3e+0\r\n", b"$2\r\n3.\r\n"])
def test_a_total_in_any_legal_form_is_read(reply: bytes) -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: reply)
        async with listening(tally.handle) as dial:
            counter, received = start(dial)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            assert (received[0].outcome, received[0].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


def test_a_late_reply_is_not_matched_to_the_next_call() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"TALLY" not in await reader.read(1000):
                return
            await go.wait()
            writer.write(b"$1\r\n1\r\n")  # the reply to the call that has timed out
            await reader.read(1000)
            writer.write(b"$1\r\n3\r\n")
            await reader.read()

        async with listening(slow) as dial:
            counter, received = start(dial, timeout=0.05)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            assert received[0].outcome is Outcome.TIMEOUT and received[0].spent >= 0.05
            counter.timeout = 5.0
            counter.add(Count(8, 2.0, 4.0))
            go.set()
            await until(lambda: len(received) == 2)
            assert (received[1].outcome, received[1].total) == (Outcome.OK, 3.0)
            counter.close()

    run(test())


def test_a_call_times_out_when_its_connection_is_lost_and_the_next_call_reconnects() -> None:
    async def test() -> None:
        tally = Tally()
        ended: list[int] = []

        async def first_ends(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not ended:
                if await reader.read(1000):
                    ended.append(1)
                return
            await tally.handle(reader, writer)

        async with listening(first_ends) as dial:
            counter, received = start(dial, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            assert received[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(received) == 2)
            assert received[1].outcome is Outcome.OK and len(tally.calls) == 1
            counter.close()

    run(test())


def test_calls_end_as_connect_failed_when_the_connection_is_refused() -> None:
    async def test() -> None:
        async with listening(Tally().handle) as dial:
            pass
        counter, received = start(dial)
        counter.add(Count(8, 1.0, 4.0))  # queued during the connection attempt
        await until(lambda: received)
        counter.add(Count(8, 1.0, 4.0))  # not queued once the attempt has failed
        await until(lambda: len(received) == 2)
        assert [c.outcome for c in received] == [Outcome.CONNECT_FAILED] * 2
        counter.close()

    run(test())


def test_bytes_that_are_not_resp_close_the_connection() -> None:
    async def test() -> None:
        tally = Tally(lambda number, call: b"?!\r\n" if number == 0 else None)
        async with listening(tally.handle) as dial:
            counter, received = start(dial, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            assert received[0].outcome is Outcome.TIMEOUT
            await until(lambda: counter.connections[0].transport is not None)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: len(received) == 2)
            assert received[1].outcome is Outcome.OK
            counter.close()

    run(test())


def test_a_connection_without_replies_is_replaced() -> None:
    async def test() -> None:
        opened: list[int] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(1)
            await asyncio.sleep(30)

        async with listening(silent) as dial:
            counter, received = start(dial, timeout=0.02)
            await until(lambda: len(opened) == CONNECTIONS)
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            connection = counter.connections[0]
            connection.check_liveness(time.monotonic() + DEAD_AFTER / 2)
            assert connection.transport is not None and not connection.transport.is_closing()
            connection.check_liveness(time.monotonic() + DEAD_AFTER + 0.1)
            await until(lambda: len(opened) == CONNECTIONS + 1)
            counter.close()

    run(test())


def test_a_silent_connection_is_replaced_after_a_few_time_outs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The counter refuses calls before replies are delayed this long, so a silent connection is dead."""
    monkeypatch.setattr(counter_module, "DEAD_AFTER", 1e9)

    async def test() -> None:
        tally = Tally()
        silent: list[int] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tally.opened += 1
            if tally.opened > CONNECTIONS:
                await tally.handle(reader, writer)
            silent.append(1)
            await asyncio.sleep(30)

        async with listening(handle) as dial:
            counter, received = start(dial, timeout=0.02)
            await until(lambda: len(silent) == CONNECTIONS)
            while not received or received[-1].outcome is not Outcome.OK:
                counter.add(Count(8, 1.0, 4.0))
                await asyncio.sleep(0.02)
            assert received[0].outcome is Outcome.TIMEOUT and tally.opened > CONNECTIONS
            counter.close()

    run(test())


def test_an_idle_connection_is_kept_open_by_a_ping() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally.handle) as dial:
            counter, _ = start(dial)
            connection = counter.connections[0]
            await until(lambda: connection.transport is not None)
            before = connection.received_at
            connection.check_liveness(time.monotonic() + 3.0)
            assert len(connection.sent) == 1
            await until(lambda: not connection.sent)
            assert connection.received_at > before and not tally.calls
            counter.close()

    run(test())


def test_pending_calls_are_bounded() -> None:
    async def test() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(30)

        async with listening(silent) as dial:
            counter, received = start(dial, timeout=10.0)
            for _ in range(MAX_PENDING + 1):
                counter.add(Count(8, 1.0, 4.0))
            assert [c.outcome for c in received] == [Outcome.FULL]
            counter.close()

    run(test())


def test_a_moved_counter_is_called_at_its_new_address_once_the_old_calls_are_settled() -> None:
    """Otherwise the replies for one name could arrive out of order."""

    async def test() -> None:
        go, called = asyncio.Event(), asyncio.Event()

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"TALLY" in await reader.read(1000):
                called.set()
                await go.wait()
                writer.write(b":1\r\n")

        new = Tally()
        async with listening(slow) as before, listening(new.handle) as after:
            counter, received = start(before, timeout=5.0)
            counter.add(Count(8, 1.0, 4.0))
            await called.wait()
            counter.move(parse_address(after))
            counter.add(Count(8, 2.0, 4.0))
            counter.add(Count(9, 3.0, 4.0))  # no call is pending on the connection for this name
            await until(lambda: received)
            go.set()
            await until(lambda: len(received) == 3)
            assert [(c.name, c.total) for c in received] == [(9, 3.0), (8, 1.0), (8, 2.0)]
            assert all(c.outcome is Outcome.OK for c in received)
            counter.close()

    run(test())


def test_a_counter_that_is_down_when_it_moves_is_reached_at_its_new_address() -> None:
    async def test() -> None:
        async with listening(Tally().handle) as gone:
            pass
        async with listening(Tally().handle) as after:
            counter, received = start(gone)
            await until(lambda: all(connection.retry_delay >= 0.4 for connection in counter.connections))
            counter.move(parse_address(after))
            counter.add(Count(8, 1.0, 4.0))
            await until(lambda: received)
            assert received[0].outcome is Outcome.OK
            counter.close()

    run(test())
