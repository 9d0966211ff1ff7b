"""The management address over loopback sockets, and detached alert servers with two processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from hazelspring.gateway.config import parse
from hazelspring.gateway.gateway_process import GatewayProcess
from hazelspring.gateway.management import CALL_TIMEOUT, MAX_CONNECTIONS

from .sockets import Backend, Client, Message, config_text, host_line, listening, read_message, run, until

ONE, TWO = "s-00000001", "s-00000002"


@contextlib.asynccontextmanager
async def managed(shared: Path, *dials: str, listed: int = 9) -> AsyncIterator[GatewayProcess]:
    """A gateway with a management address and a folder that it can share with another process."""
    known = [host_line(f"s-{n:08x}", dial) for n, dial in enumerate(dials, 1)][:listed]
    raw = json.loads(config_text(known)) | {"management": "127.0.0.1:0"}
    gateway = GatewayProcess(parse(json.dumps(raw), {"TMPDIR": str(shared)}))
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.close()


async def connect(gateway: GatewayProcess) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    assert gateway.management is not None and gateway.management.server is not None
    port = gateway.management.server.sockets[0].getsockname()[1]
    return await asyncio.open_connection("127.0.0.1", port)


async def call(gateway: GatewayProcess, method: str, path: str, body: str = "") -> Message:
    reader, writer = await connect(gateway)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body.encode())
        answer = await read_message(reader)
        assert await reader.read() == b""  # the connection is closed after one call
        return answer
    finally:
        writer.close()


async def detach(gateway: GatewayProcess, name: str) -> int:
    return (await call(gateway, "PUT", "/_alert-servers/detach", name)).status


async def attach(gateway: GatewayProcess, name: str) -> int:
    return (await call(gateway, "PUT", "/_alert-servers/attach", name)).status


async def served_by(gateway: GatewayProcess, *backends: Backend) -> list[int]:
    """Send eight requests and return how many each backend received."""
    before = [len(b.seen) for b in backends]
    async with Client(gateway.server) as client:
        for _ in range(8):
            await client.ask()
    return [len(b.seen) - n for b, n in zip(backends, before, strict=True)]


def test_unknown_calls_methods_and_servers_and_long_bodies_are_refused(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as gateway:
            assert (await call(gateway, "GET", "/_ready")).status == 200
            assert (await call(gateway, "GET", "/_other")).status == 404
            assert (await call(gateway, "PUT", "/_ready")).status == 405
            assert (await call(gateway, "GET", "/_alert-servers/detach", ONE)).status == 405
            assert (await call(gateway, "PUT", "/_alert-servers/detach", "s-0000000f")).status == 404
            assert (await call(gateway, "PUT", "/_alert-servers/attach", "")).status == 404
            assert (await call(gateway, "PUT", "/_alert-servers/detach", "x" * 9000)).status == 413

    run(test())


@pytest.mark.parametrize("lacking", ["list", "listener"])
def test_the_gateway_is_not_ready_without_a_list_or_a_listener(tmp_path: Path, lacking: str) -> None:
    async def test() -> None:
        async with (
            listening(Backend().handle) as dial,
            managed(tmp_path, dial, listed=0 if lacking == "list" else 1) as gateway,
        ):
            if lacking == "listener":
                gateway.server.stop_listening()
            assert (await call(gateway, "GET", "/_ready")).status == 503

    run(test())


def test_without_a_management_address_there_is_no_listener() -> None:
    async def test() -> None:
        gateway = GatewayProcess(parse(config_text([]), {}))
        assert gateway.management is None
        await gateway.close()

    run(test())


def test_callers_that_keep_their_connection_open_do_not_delay_the_next_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as gateway:
            connections = [await connect(gateway) for _ in range(2 * MAX_CONNECTIONS)]
            for _, writer in connections:
                writer.write(b"GET /_rea")
            assert (await call(gateway, "GET", "/_ready")).status == 200
            assert gateway.management is not None and len(gateway.management.connections) <= MAX_CONNECTIONS
            assert CALL_TIMEOUT < 3.0  # seconds within which each of them must get an error or a close
            (connection, *_) = gateway.management.connections
            assert (
                connection.timer is not None
                and connection.timer.when() - gateway.server.loop.time() < CALL_TIMEOUT + 0.01
            )
            for _, writer in connections:
                writer.close()

    run(test())


def test_a_detached_server_gets_no_request_until_it_is_attached(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = Backend(), Backend()
        async with (
            listening(one.handle) as first,
            listening(two.handle) as second,
            managed(tmp_path, first, second) as gateway,
        ):
            assert [await detach(gateway, ONE), await detach(gateway, ONE)] == [200, 200]
            assert (await served_by(gateway, one, two))[0] == 0
            assert await attach(gateway, ONE) == 200  # one attach undoes two detaches
            assert {b.entry.backend for b in gateway.host.gateway.servers.live} == {1, 2}

    run(test())


def test_a_detach_applies_in_both_processes_and_after_their_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as first, listening(Backend().handle) as second:
            async with managed(tmp_path, first, second) as old:
                assert await detach(old, ONE) == 200
                async with managed(tmp_path, first, second) as new:  # read from the shared folder
                    assert new.host.gateway.servers.banned == {1}
                    assert await detach(new, TWO) == 200
                    await until(lambda: old.host.gateway.servers.banned == {1, 2})
                    assert await attach(new, ONE) == 200
                    await until(lambda: old.host.gateway.servers.banned == {2})
                    # Both measure the warm-up of the server from the same time.
                    assert old.host.gateway.servers.returned == new.host.gateway.servers.returned
                    # A process that starts later uses the same time.
                    async with managed(tmp_path, first, second) as third:
                        assert third.host.gateway.servers.returned == old.host.gateway.servers.returned != {}
                        assert third.host.gateway.servers.banned == {2}
            async with managed(tmp_path, first, second, listed=1) as later:
                assert later.host.gateway.servers.banned == {2}
                assert await attach(later, TWO) == 200  # although no list has contained it in this process

    run(test())


def test_a_detach_that_cannot_be_stored_fails_and_has_no_effect(tmp_path: Path) -> None:
    async def test() -> None:
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as gateway:
            shutil.rmtree(tmp_path / "ivymux")
            assert await detach(gateway, ONE) == 500
            assert not gateway.host.gateway.servers.banned

    run(test())


def test_other_files_in_the_shared_folder_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "ivymux").mkdir()
        for name in ("out-", "out-xyz", "out-00000001.tmp", "other"):
            (tmp_path / "ivymux" / name).write_bytes(b"\x00{")
        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as gateway:
            assert not gateway.host.gateway.servers.banned
            assert await detach(gateway, ONE) == 200 and gateway.host.gateway.servers.banned == {1}

    run(test())
