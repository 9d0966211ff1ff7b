"""The gateway as a process: start, readiness, SIGHUP and SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from .sockets import Agent, Backend, Tally, config_text, host_line, listening, read_message, run, until


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@contextlib.asynccontextmanager
async def started(path: Path, **changes: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """The gateway process with this configuration, once it is ready."""
    port = free_port()
    env = dict(os.environ) | {"NODE_CONFIG": str(path), "NODE_LISTEN": f"127.0.0.1:{port}"} | changes
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hazelspring.gateway", env=env, stderr=asyncio.subprocess.PIPE
    )
    try:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            except OSError:
                await asyncio.sleep(0.01)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_message(reader)).status == 200
        yield process
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        writer.close()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_the_process_starts_becomes_ready_and_exits_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with listening(Backend().handle) as dial, listening(Agent().handle) as agent:
            path.write_text(config_text([host_line("s-00000001", dial)], discovery=agent))
            async with started(path) as process:
                pass
            assert process.stderr is not None and await process.stderr.read() == b""

    run(test())


@pytest.mark.parametrize("broken", [False, True])
def test_sighup_applies_new_addresses_and_keeps_the_process_running(tmp_path: Path, broken: bool) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        old, new, tally = Agent(), Agent(), Tally()
        async with (
            listening(Backend().handle) as dial,
            listening(old.handle) as before,
            listening(new.handle) as after,
            listening(Tally().handle) as counter,
            listening(tally.handle) as moved,
        ):
            known = [host_line("s-00000001", dial)]
            path.write_text(config_text(known, counter, before))
            async with started(path, NODE_DISCOVERY=before) as process:
                await until(lambda: old.targets)
                if broken:  # a malformed file changes nothing
                    path.write_text("{")
                    process.send_signal(signal.SIGHUP)
                    assert process.stderr is not None and b"reload" in await process.stderr.readline()
                path.write_text(config_text(known, moved, after))
                process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets and tally.opened)

    run(test())
