"""Two processes of the program on one inherited listening socket, and the folder that they share."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from hazelspring.admission.interface import Attached, Detached, Processes
from hazelspring.gateway.shared_folder import SharedFolder

from .sockets import Agent, Backend, Message, config_text, host_line, listening, read_message, run, until
from .test_start import free_port

READY = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def served_request(number: int) -> bytes:
    return (
        b"GET /class-0?customer=%016x HTTP/1.1\r\nHost: x\r\nRequest-Id: r%d\r\nRequest-Class: class-0\r\n"
        b"X-Tier: plan-0\r\nRequest-Timeout: 3000m\r\nX-Call-Terms: units=1,spread=3,first=0\r\n\r\n"
        % (number, number)
    )


class Program:
    """One process of the gateway, and the port of its management address."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process, self.port = process, port

    async def call(self, text: bytes) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def ready(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                if (await self.call(b"GET /_ready HTTP/1.1\r\n\r\n")).status == 200:
                    return
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def program(path: Path, listener: socket.socket) -> AsyncIterator[Program]:
    port = free_port()
    env = dict(os.environ) | {
        "NODE_CONFIG": str(path),
        "NODE_MANAGEMENT": f"127.0.0.1:{port}",
        "NODE_LISTEN": ":".join(map(str, listener.getsockname())),
        "NODE_PASSED_SOCKET": str(listener.fileno()),
        "TMPDIR": str(path.parent),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hazelspring.gateway",
        env=env,
        pass_fds=[listener.fileno()],
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        started = Program(process, port)
        await started.ready()
        yield started
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@contextlib.asynccontextmanager
async def platform(tmp_path: Path) -> AsyncIterator[tuple[Path, socket.socket, Backend]]:
    """What the platform provides: the configuration, the listening socket, and a backend."""
    backend = Backend()
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        async with listening(backend.handle) as dial, listening(Agent().handle) as agent:
            path = tmp_path / "config.json"
            path.write_text(config_text([host_line("s-00000001", dial)], discovery=agent))
            yield path, listener, backend


async def ask(listener: socket.socket, number: int) -> int:
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    writer.write(served_request(number))
    try:
        return (await read_message(reader)).status
    finally:
        writer.close()


def test_an_upgrade_loses_no_request_and_closes_idle_connections_with_a_response(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as (path, listener, _), program(path, listener) as old:
            idle_reader, idle = await asyncio.open_connection(*listener.getsockname())
            idle.write(READY)
            assert "connection" not in (await read_message(idle_reader)).headers
            async with program(path, listener) as new:
                old.process.send_signal(signal.SIGTERM)
                # The new process accepts new connections; the old one closes each of its own with a
                # response.
                assert [await ask(listener, n) for n in range(1, 9)] == [200] * 8
                idle.write(served_request(20))
                last = await read_message(idle_reader)
                assert (last.status, last.headers["connection"]) == (200, "close")
                assert await idle_reader.read() == b""
                idle.close()
                assert await old.process.wait() == 0  # before its drain time: no connection is left
                assert [await ask(listener, n) for n in range(31, 35)] == [200] * 4
                new.process.kill()

    run(test())


def test_a_crash_of_the_new_process_leaves_the_old_one_serving(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as (path, listener, _), program(path, listener) as old:
            async with program(path, listener) as new:
                new.process.kill()
                await new.process.wait()
            assert [await ask(listener, n) for n in range(1, 5)] == [200] * 4
            await until(lambda: len(list((tmp_path / "ivymux").glob("node-*"))) == 1)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0

    run(test())


def test_a_start_with_a_descriptor_that_is_no_socket_prints_one_line_and_exits(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        path.write_text(config_text([]))
        for number in ("77", "four"):
            env = dict(os.environ) | {"NODE_CONFIG": str(path), "NODE_PASSED_SOCKET": number}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "hazelspring.gateway", env=env, stderr=asyncio.subprocess.PIPE
            )
            _, text = await process.communicate()
            assert process.returncode == 2 and text.startswith(b"ivymux: ") and text.count(b"\n") == 1

    run(test())


def test_processes_count_each_other_but_not_the_file_of_an_ended_process(tmp_path: Path) -> None:
    async def test() -> None:
        posted: list[Attached | Detached | Processes] = []
        process_counts: list[int] = []
        (tmp_path / "ivymux").mkdir()
        stale = tmp_path / "ivymux" / "node-0123456789abcdef"
        stale.touch()
        one = SharedFolder(tmp_path, posted.append, process_counts.append)
        one.register()
        assert not stale.exists() and not posted
        two = SharedFolder(tmp_path, lambda event: None, lambda count: None)
        assert two.processes == 2  # `one` serves, and `two` counts itself before it has joined
        two.register()
        one.scan()
        two.close()
        one.scan()
        assert posted == [Processes(2), Processes(1)] and process_counts == [2, 1]
        one.close()
        assert not list((tmp_path / "ivymux").iterdir())

    run(test())


def test_two_processes_halve_the_descriptors_and_double_the_number_of_peers(tmp_path: Path) -> None:
    async def test() -> None:
        from .test_management import managed

        async with listening(Backend().handle) as dial, managed(tmp_path, dial) as one:
            clients, upstream = one.server.max_clients, one.host.upstream.max_open
            gateway = one.host.gateway
            limit, peers = gateway.choice.limit, gateway.ctx.peers
            async with managed(tmp_path, dial) as two:
                one.shared_folder.scan()
                assert (one.server.max_clients, two.server.max_clients) == (clients // 2, clients // 2)
                assert one.host.upstream.max_open == upstream // 2
                assert (gateway.ctx.peers, gateway.choice.limit) == (2 * peers, limit / 2)
                assert two.host.gateway.ctx.peers == 2 * peers
            one.shared_folder.scan()
            assert (one.server.max_clients, gateway.ctx.peers, gateway.choice.limit) == (
                clients,
                peers,
                limit,
            )

    run(test())


def test_socket_folder_and_management_address_come_from_the_environment_or_the_file(tmp_path: Path) -> None:
    from hazelspring.gateway.config import Address, parse

    raw = json.loads(config_text([])) | {"management": "127.0.0.1:7"}
    config = parse(json.dumps(raw), {"NODE_PASSED_SOCKET": "4", "TMPDIR": str(tmp_path)})
    assert (config.passed, config.shared, config.management) == (4, tmp_path, Address("127.0.0.1", 7))
    config = parse(json.dumps(raw), {"NODE_MANAGEMENT": "127.0.0.1:8"})
    assert (config.passed, config.shared, config.management) == (None, None, Address("127.0.0.1", 8))


def put(raw: dict[str, object], query: str = "") -> bytes:
    body = json.dumps(raw).encode()
    return b"PUT /_configuration%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (
        query.encode(),
        len(body),
        body,
    )


def test_a_put_and_its_confirm_time_survive_a_crash_of_the_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as (path, listener, _):
            async with program(path, listener) as old:
                changed = json.loads(path.read_text())
                changed["settings"]["caps"]["max_attempts"] = 2
                assert (await old.call(put(changed, "?confirm=600"))).status == 200
                old.process.kill()  # SIGKILL: the process cannot clean up
                await old.process.wait()
            async with program(path, listener) as new:
                history = json.loads((await new.call(b"GET /_configuration/history HTTP/1.1\r\n\r\n")).body)
                assert history["running"] == 2 and history["confirm"]["back_to"] == 1
                running = await new.call(b"GET /_configuration HTTP/1.1\r\n\r\n")
                assert json.loads(running.body) == changed
                back = await new.call(b"PUT /_configuration/rollback HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                assert back.status == 200
                running = await new.call(b"GET /_configuration HTTP/1.1\r\n\r\n")
                assert json.loads(running.body) == json.loads(path.read_text())
                assert await ask(listener, 1) == 200

    run(test())


def test_a_put_that_is_incomplete_at_sigterm_is_not_applied(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as (path, listener, _), program(path, listener) as old:
            changed = json.loads(path.read_text())
            changed["settings"]["caps"]["max_attempts"] = 2
            text = put(changed)
            reader, writer = await asyncio.open_connection("127.0.0.1", old.port)
            writer.write(text[:-1])  # all but its last byte
            old.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while (await old.call(b"GET /_ready HTTP/1.1\r\n\r\n")).status == 200:
                    await asyncio.sleep(0.01)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):  # it may have ended by now
                writer.write(text[-1:])
                assert (await read_message(reader)).status in (503, 408)
            await old.process.wait()
            writer.close()
            assert not (tmp_path / "ivymux" / "generations").exists()

    run(test())
