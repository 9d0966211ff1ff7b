"""The operators' address over loopback sockets, and bans as both processes of a front door see them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hazelspring.gateway.config import parse
from hazelspring.gateway.frontdoor import FrontDoor
from hazelspring.gateway.management import CALL_TIMEOUT, MOST_CALLERS

from .sockets import Backend, Client, Message, config_text, host_line, listening, read_message, run, until

ONE, TWO = "s-00000001", "s-00000002"


@contextlib.asynccontextmanager
async def managed(shared: Path, *dials: str, listed: int = 9) -> AsyncIterator[FrontDoor]:
    """A front door with a second address and a folder that it may share with another."""
    known = [host_line(f"s-{n:08x}", dial) for n, dial in enumerate(dials, 1)][:listed]
    raw = json.loads(config_text(known)) | {"management": "127.0.0.1:0"}
    door = FrontDoor(parse(json.dumps(raw), {"TMPDIR": str(shared)}))
    await door.start()
    try:
        yield door
    finally:
        await door.close()


async def connect(door: FrontDoor) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    assert door.management is not None and door.management.server is not None
    port = door.management.server.sockets[0].getsockname()[1]
    return await asyncio.open_connection("127.0.0.1", port)


async def call(door: FrontDoor, method: str, path: str, body: str = "") -> Message:
    reader, writer = await connect(door)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body.encode())
        answer = await read_message(reader)
        assert await reader.read() == b""  # one call a connection
        return answer
    finally:
        writer.close()


async def detach(door: FrontDoor, name: str) -> int:
    return (await call(door, "PUT", "/_alert-servers/detach", name)).status


async def attach(door: FrontDoor, name: str) -> int:
    return (await call(door, "PUT", "/_alert-servers/attach", name)).status


async def served_by(door: FrontDoor, *backends: Backend) -> list[int]:
    """How many of eight requests each backend got."""
    before = [len(b.seen) for b in backends]
    async with Client(door.server) as client:
        for _ in range(8):
            await client.ask()
    return [len(b.seen) - n for b, n in zip(backends, before, strict=True)]


def test_it_says_no_to_what_it_does_not_know(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as door:
            assert (await call(door, "GET", "/_ready")).status == 200
            assert (await call(door, "GET", "/_other")).status == 404
            assert (await call(door, "PUT", "/_ready")).status == 405
            assert (await call(door, "GET", "/_alert-servers/detach", ONE)).status == 405
            assert (await call(door, "PUT", "/_alert-servers/detach", "s-0000000f")).status == 404
            assert (await call(door, "PUT", "/_alert-servers/attach", "")).status == 404
            assert (await call(door, "PUT", "/_alert-servers/detach", "x" * 9000)).status == 413

    run(test())


@pytest.mark.parametrize("lacking", ["list", "listener"])
def test_it_is_not_ready_before_it_can_serve(tmp_path: Path, lacking: str) -> None:
    async def test() -> None:
        async with (
            listening(Backend().handle) as dial,
            managed(tmp_path, dial, listed=0 if lacking == "list" else 1) as door,
        ):
            if lacking == "listener":
                door.server.stop_listening()
            assert (await call(door, "GET", "/_ready")).status == 503

    run(test())


def test_no_listener_without_an_address() -> None:
    async def test() -> None:
        door = FrontDoor(parse(config_text([]), {}))
        assert door.management is None
        await door.close()

    run(test())


def test_callers_that_hold_their_connection_do_not_keep_the_next_one_waiting(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as door:
            held = [await connect(door) for _ in range(2 * MOST_CALLERS)]
            for _, writer in held:
                writer.write(b"GET /_rea")
            assert (await call(door, "GET", "/_ready")).status == 200
            assert door.management is not None and len(door.management.callers) <= MOST_CALLERS
            assert CALL_TIMEOUT < 3.0  # each of them is owed an error or a close within that
            (caller, *_) = door.management.callers
            assert (
                caller.timer is not None
                and caller.timer.when() - door.server.loop.time() < CALL_TIMEOUT + 0.01
            )
            for _, writer in held:
                writer.close()

    run(test())


def test_a_server_out_by_hand_gets_nothing_until_it_is_called_back(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = Backend(), Backend()
        async with (
            listening(one.handle) as first,
            listening(two.handle) as second,
            managed(tmp_path, first, second) as door,
        ):
            assert [await detach(door, ONE), await detach(door, ONE)] == [200, 200]
            assert (await served_by(door, one, two))[0] == 0
            assert await attach(door, ONE) == 200  # one call back for two calls out
            assert {b.entry.backend for b in door.host.gateway.servers.live} == {1, 2}

    run(test())


def test_a_ban_reaches_both_processes_and_outlives_them(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as first, listening(Backend().handle) as second:
            async with managed(tmp_path, first, second) as old:
                assert await detach(old, ONE) == 200
                async with managed(tmp_path, first, second) as new:  # found on file
                    assert new.host.gateway.servers.banned == {1}
                    assert await detach(new, TWO) == 200
                    await until(lambda: old.host.gateway.servers.banned == {1, 2})
                    assert await attach(new, ONE) == 200
                    await until(lambda: old.host.gateway.servers.banned == {2})
                    # Both count its warming from the same moment.
                    assert old.host.gateway.servers.returned == new.host.gateway.servers.returned
                    async with managed(tmp_path, first, second) as third:  # nor does a later one forget it
                        assert third.host.gateway.servers.returned == old.host.gateway.servers.returned != {}
                        assert third.host.gateway.servers.banned == {2}
            async with managed(tmp_path, first, second, listed=1) as later:
                assert later.host.gateway.servers.banned == {2}
                assert await attach(later, TWO) == 200  # though no list has named it here

    run(test())


def test_a_ban_that_cannot_be_put_on_file_is_not_confirmed(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as door:
            shutil.rmtree(tmp_path / "ivymux")
            assert await detach(door, ONE) == 500
            assert not door.host.gateway.servers.banned

    run(test())


def test_what_else_lies_in_the_folder_is_left_alone(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "ivymux").mkdir()
        for name in ("out-", "out-xyz", "out-00000001.tmp", "other"):
            (tmp_path / "ivymux" / name).write_bytes(b"\x00{")
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as door:
            assert not door.host.gateway.servers.banned
            assert await detach(door, ONE) == 200 and door.host.gateway.servers.banned == {1}

    run(test())
