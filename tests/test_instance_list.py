"""The platform's list over a loopback socket: pages, refusals for too many calls, and how long is waited for them."""

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

READ_TIMEOUT = 1.5  # seconds, as a node has it with a cutoff of three
ENTRY = {"service": "s", "address": "x:1", "zone": "a1", "serverState": "accepting"}
PAGES = {"/instances": ("i-1", "p 2"), "/instances?pageToken=p%202": ("i-2", None)}


class Listing:
    """A platform with two pages that refuses the first few asks for each of them; `more` stands on both pages."""

    def __init__(
        self, refusals: int, status: int = 429, last: bool = False, more: dict[str, object] | None = None
    ) -> None:
        self.refusals, self.status, self.last = refusals, status, last
        self.more = more or {}
        self.asked: Counter[str] = Counter()
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.paused: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        while True:
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            self.asked[path] += 1
            name, token = PAGES[path]
            body = json.dumps({"instanceList": {**self.more, name: ENTRY}, "nextToken": token}).encode()
            status = self.status if self.asked[path] <= self.refusals else 200
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
            if self.last:
                return

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self.writers:
            reset_connection(writer)

    async def pause(self, seconds: float) -> None:
        self.paused.append(seconds)

    async def read(self, rate: float, times: int = 1) -> list[bytes]:
        async with listening(self.serve) as address:
            platform = InstanceListClient(parse_address(address), rate, READ_TIMEOUT, self.pause)
            try:
                for _ in range(times):
                    found = await platform.read_pages()
                return found
            finally:
                platform.close()


def test_a_page_refused_for_too_many_calls_is_asked_for_again_as_the_rate_says() -> None:
    async def play() -> None:
        many = [Listing(2) for _ in range(6)]
        for listing in many:
            assert set(parse_instance_list(await listing.read(10.0), 0.0).servers["s"]) == {"i-1", "i-2"}
            assert set(listing.asked.values()) == {3} and listing.connections == 1  # what was read is kept
            bounds = 2 * [(0.05, 0.15), (0.1, 0.3)]
            assert all(low <= p <= high for p, (low, high) in zip(listing.paused, bounds, strict=True))
        assert (
            len({listing.paused[0] for listing in many}) > 1
        )  # nodes refused together do not return together

    run(play())


@pytest.mark.parametrize("rate", [0.1, 2.0, 44.0])
def test_a_platform_that_refuses_all_is_given_up_within_the_time_for_the_list(rate: float) -> None:
    async def play() -> None:
        listing = Listing(10**6)
        with pytest.raises(InstanceListError, match="429"):
            await listing.read(rate)
        assert (
            sum(listing.paused) == pytest.approx(READ_TIMEOUT)
            and max(listing.paused) <= 1.5 * PAUSE_PART * READ_TIMEOUT
        )
        assert 3 <= listing.asked["/instances"] <= 14

    run(play())


def test_only_a_connection_that_broke_is_opened_anew_at_once() -> None:
    async def play() -> None:
        broken = Listing(0, last=True)
        assert len(await broken.read(10.0, times=2)) == 2
        assert broken.connections == 4 and not broken.paused
        ill = Listing(1, status=500)
        with pytest.raises(InstanceListError, match="500"):
            await ill.read(10.0)
        assert ill.asked["/instances"] == 1 and not ill.paused

    run(play())


def test_a_kept_connection_that_was_reset_since_the_last_read_is_replaced() -> None:
    async def play() -> None:
        listing = Listing(0)
        async with listening(listing.serve) as address:
            client = InstanceListClient(parse_address(address), 10.0, READ_TIMEOUT, listing.pause)
            await client.read_pages()
            listing.reset()
            assert client.streams is not None
            await until(client.streams[1].transport.is_closing)
            assert len(await client.read_pages()) == 2
            assert listing.connections == 2
            client.close()

    run(play())


def test_a_read_that_ends_by_an_error_that_nobody_foresaw_is_a_failed_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        listing = Listing(0)
        async with listening(listing.serve) as address:
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

    run(play())


def test_a_read_that_is_asked_for_while_another_hangs_takes_its_place() -> None:
    async def play() -> None:
        silent: list[asyncio.StreamWriter] = []
        listing = Listing(0)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if not silent:
                silent.append(writer)
                await reader.read()
            await listing.serve(reader, writer)

        async with listening(serve) as address:
            reader = ListReader(parse_address(address), 10.0, READ_TIMEOUT)
            hangs = asyncio.create_task(reader.read())
            await until(lambda: silent)
            assert await reader.read() is not None
            assert await hangs is None and reader.reading is None
            assert await reader.read() is not None and (reader.reads, reader.failures) == (2, 1)
            reader.close()

    run(play())


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


def test_a_malformed_entry_is_passed_over_and_keeps_no_other_server_from_being_known() -> None:
    async def play() -> None:
        async with listening(Listing(0, more=MALFORMED).serve) as address:
            reader = ListReader(parse_address(address), 10.0, READ_TIMEOUT)
            found = await reader.read()
            assert found is not None and found.keys() == {"s"}
            assert found["s"].keys() == {"i-1", "i-2"}
            assert set(reader.malformed) == MALFORMED.keys()
            reader.close()

    run(play())
