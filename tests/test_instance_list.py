"""The client of the platform's list over a loopback socket: pages, retries on status 429, time-outs."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import pytest

from hazelspring.daemon.instance_list_client import PAUSE_PART, InstanceListClient, InstanceListError
from hazelspring.daemon.list_reader import ListReader
from hazelspring.gateway.config import parse_address
from hazelspring.localfleet.stand_ins import reset_connection
from hazelspring.registry.instance_list import parse_instance_list

from .sockets import listening, run, until

READ_TIMEOUT = 1.5  # seconds; the value that a node derives from a cutoff of 3 s
ENTRY = {"service": "s", "address": "x:1", "zone": "a1", "serverState": "accepting"}
PAGES = {"/instances": ("i-1", "p 2"), "/instances?pageToken=p%202": ("i-2", None)}


class FakePlatform:
    """A platform whose list has two pages.

    It answers the first `refusals` requests for each page with `status`.  `close_after_response` closes a
    connection after each response, and `extra_entries` holds additional entries of both pages.
    """

    def __init__(
        self,
        refusals: int,
        status: int = 429,
        close_after_response: bool = False,
        extra_entries: dict[str, object] | None = None,
    ) -> None:
        self.refusals, self.status, self.close_after_response = refusals, status, close_after_response
        self.extra_entries = extra_entries or {}
        self.requests: Counter[str] = Counter()  # by path
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.pauses: list[float] = []  # seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        while True:
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            self.requests[path] += 1
            name, token = PAGES[path]
            body = json.dumps(
                {"instanceList": {**self.extra_entries, name: ENTRY}, "nextToken": token}
            ).encode()
            status = self.status if self.requests[path] <= self.refusals else 200
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
            if self.close_after_response:
                return

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self.writers:
            reset_connection(writer)

    async def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)

    async def read(self, rate: float, times: int = 1) -> list[bytes]:
        async with listening(self.serve) as address:
            client = InstanceListClient(parse_address(address), rate, READ_TIMEOUT, self.pause)
            try:
                for _ in range(times):
                    pages = await client.read_pages()
                return pages
            finally:
                client.close()


def test_page_refused_with_status_429_is_retried_at_the_configured_rate() -> None:
    async def scenario() -> None:
        platforms = [FakePlatform(2) for _ in range(6)]
        for platform in platforms:
            assert set(parse_instance_list(await platform.read(10.0), 0.0).servers["s"]) == {"i-1", "i-2"}
            # pages that were read already are not requested again
            assert set(platform.requests.values()) == {3} and platform.connections == 1
            bounds = 2 * [(0.05, 0.15), (0.1, 0.3)]
            assert all(low <= p <= high for p, (low, high) in zip(platform.pauses, bounds, strict=True))
        # nodes that were refused at the same time do not retry at the same time
        assert len({platform.pauses[0] for platform in platforms}) > 1

    run(scenario())


@pytest.mark.parametrize("rate", [0.1, 2.0, 44.0])
def test_read_fails_within_its_time_out_if_the_platform_refuses_every_request(rate: float) -> None:
    async def scenario() -> None:
        platform = FakePlatform(10**6)
        with pytest.raises(InstanceListError, match="429"):
            await platform.read(rate)
        assert (
            sum(platform.pauses) == pytest.approx(READ_TIMEOUT)
            and max(platform.pauses) <= 1.5 * PAUSE_PART * READ_TIMEOUT
        )
        assert 3 <= platform.requests["/instances"] <= 14

    run(scenario())


def test_only_a_closed_connection_is_replaced_at_once() -> None:
    async def scenario() -> None:
        closing = FakePlatform(0, close_after_response=True)
        assert len(await closing.read(10.0, times=2)) == 2
        assert closing.connections == 4 and not closing.pauses
        failing = FakePlatform(1, status=500)
        with pytest.raises(InstanceListError, match="500"):
            await failing.read(10.0)
        assert failing.requests["/instances"] == 1 and not failing.pauses

    run(scenario())


def test_kept_connection_that_was_reset_since_the_last_read_is_replaced() -> None:
    async def scenario() -> None:
        platform = FakePlatform(0)
        async with listening(platform.serve) as address:
            client = InstanceListClient(parse_address(address), 10.0, READ_TIMEOUT, platform.pause)
            await client.read_pages()
            platform.reset()
            assert client.streams is not None
            await until(client.streams[1].transport.is_closing)
            assert len(await client.read_pages()) == 2
            assert platform.connections == 2
            client.close()

    run(scenario())


def test_unexpected_error_during_a_read_counts_as_a_failed_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        platform = FakePlatform(0)
        async with listening(platform.serve) as address:
            reader = ListReader(parse_address(address), 10.0, READ_TIMEOUT)
            assert await reader.read() is not None
            for name in ("_page", "read_pages"):
                with monkeypatch.context() as patch:
                    patch.setattr(reader.client, name, raising)
                    assert await reader.read() is None
            assert await reader.read() is not None and (reader.reads, reader.failures) == (2, 2)
            reader.close()

    async def raising(*_: object) -> None:
        raise RuntimeError("the handler is closed")

    run(scenario())


def test_new_read_replaces_a_hanging_one() -> None:
    async def scenario() -> None:
        silent: list[asyncio.StreamWriter] = []
        platform = FakePlatform(0)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not silent:
                silent.append(writer)
                await reader.read()
            await platform.serve(reader, writer)

        async with listening(serve) as address:
            reader = ListReader(parse_address(address), 10.0, READ_TIMEOUT)
            hanging = asyncio.create_task(reader.read())
            await until(lambda: silent)
            assert await reader.read() is not None
            assert await hanging is None and reader.reading is None
            assert await reader.read() is not None and (reader.reads, reader.failures) == (2, 1)
            reader.close()

    run(scenario())


MALFORMED: dict[str, object] = {
    "i-nothing": None,
    "i-text": "accepting",
    "i-no-state": {key: value for key, value in ENTRY.items() if key != "serverState"},
    "i-service": {**ENTRY, "service": ["s"]},
    "i-slots": {**ENTRY, "capacitySlots": "two"},
    "i-endless": {**ENTRY, "capacitySlots": float("inf")},
    "i-cold": {**ENTRY, "coldRemainingMs": "soon"},
    "i-zone": {**ENTRY, "zone": 3},
    "i-no-port": {**ENTRY, "address": "10.0.0.9"},
    "i-port": {**ENTRY, "address": "10.0.0.9:http"},
}


def test_malformed_entries_are_skipped_and_the_other_servers_become_known() -> None:
    async def scenario() -> None:
        async with listening(FakePlatform(0, extra_entries=MALFORMED).serve) as address:
            reader = ListReader(parse_address(address), 10.0, READ_TIMEOUT)
            found = await reader.read()
            assert found is not None and found.keys() == {"s"}
            assert found["s"].keys() == {"i-1", "i-2"}
            assert set(reader.malformed) == MALFORMED.keys()
            reader.close()

    run(scenario())
