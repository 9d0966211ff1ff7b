"""Generations of the configuration: applied, kept, rolled back, and shared by two processes."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import socket
import sys
import threading
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hazelspring.gateway import generations as module
from hazelspring.gateway.__main__ import main
from hazelspring.gateway.config import Address, Config, ConfigError, check, parse
from hazelspring.gateway.gateway_process import GatewayProcess
from hazelspring.gateway.generations import MAX_GENERATIONS, RefusedError, Step, inherit, read_state_file
from hazelspring.gateway.management import MAX_CONFIGURATION_BYTES

from .sockets import (
    Agent,
    Backend,
    Client,
    Message,
    Tally,
    config_text,
    host_line,
    http_answer,
    listening,
    read_message,
    run,
    until,
)
from .test_management import call, connect

Raw = dict[str, Any]


@contextlib.asynccontextmanager
async def gateway_from(
    path: Path, monkeypatch: pytest.MonkeyPatch, raw: Raw | None = None, management: str = "127.0.0.1:0"
) -> AsyncIterator[GatewayProcess]:
    """A gateway started from a file as `serve` does it, with a management address and a shared folder."""
    if raw is not None:
        path.write_text(json.dumps(raw | {"management": management}))
    env = {"NODE_CONFIG": str(path), "TMPDIR": str(path.parent)}
    for key, value in env.items():
        monkeypatch.setenv(key, value)
    gateway = GatewayProcess(*inherit(parse(path.read_text(), env), env))
    await gateway.start()
    await until(lambda: gateway.management is None or gateway.management.server is not None)
    try:
        yield gateway
    finally:
        await gateway.close()


def raw_config(dial: str = "127.0.0.1:9", discovery: str = "", counter: str = "") -> Raw:
    raw: Raw = json.loads(config_text([host_line("s-00000001", dial)], counter, discovery))
    return raw


def with_max_attempts(raw: Raw, limit: int) -> Raw:
    changed: Raw = json.loads(json.dumps(raw))
    changed["settings"]["caps"]["max_attempts"] = limit
    return changed


def max_attempts(gateway: GatewayProcess) -> int:
    return gateway.host.gateway.settings.limits.max_attempts


async def put(gateway: GatewayProcess, raw: Raw | str, query: str = "", if_match: str = "") -> Message:
    text = raw if isinstance(raw, str) else json.dumps(raw)
    return await exchange(gateway, "PUT", f"/_configuration{query}", text, if_match)


async def exchange(
    gateway: GatewayProcess, method: str, path: str, body: str = "", if_match: str = ""
) -> Message:
    reader, writer = await connect(gateway)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        head += f"If-Match: {if_match}\r\n" if if_match else ""
        writer.write(f"{head}\r\n{body}".encode())
        return await read_message(reader)
    finally:
        writer.close()


async def get_configuration(gateway: GatewayProcess) -> Raw:
    answer = await call(gateway, "GET", "/_configuration")
    assert answer.status == 200
    raw: Raw = json.loads(answer.body)
    return raw


def active_settings(gateway: GatewayProcess) -> dict[str, object]:
    """Everything in a running gateway that the configuration determines."""
    host, server, upstream, counter = (
        gateway.host,
        gateway.server,
        gateway.host.upstream,
        gateway.host.counter,
    )
    return {
        "module": host.gateway.settings,
        "aim": host.gateway.ctx.aim,
        "peers": host.gateway.ctx.peers,
        "limits": host.limits,
        "classes": server.classes,
        "plans": server.plans,
        "clients": (server.max_clients, gateway.max_clients),
        "upstream": (upstream.connect_timeout, upstream.columns, upstream.keep_idle, upstream.max_open),
        "discovery": (gateway.discovery.address, gateway.discovery.gateways, gateway.discovery.call_within),
        "names": (gateway.members_parser.zones, gateway.members_parser.kinds),
        "counter": None if counter is None else (counter.address, counter.timeout),
        "management": None if gateway.management is None else gateway.management.address,
        "drain": gateway.drain_time,
    }


# --- applying -----------------------------------------------------------------------------------------


def test_a_component_that_fails_to_prepare_leaves_everything_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            before, committed, discarded = active_settings(gateway), list[int](), list[int]()

            def steady(before: Config, after: Config) -> Step:
                return Step(lambda: committed.append(1), lambda: discarded.append(1))

            def failing(before: Config, after: Config) -> Step:
                raise OSError("no room")

            generations = gateway.generations
            generations.preparers = (*generations.preparers, steady, failing)
            with socket.create_server(("127.0.0.1", 0)) as taken:
                free_port = taken.getsockname()[1]
            raw = with_max_attempts(raw_config("127.0.0.1:9", "127.0.0.1:8"), 2) | {
                "management": f"127.0.0.1:{free_port}"
            }
            answer = await put(gateway, raw)
            assert (answer.status, answer.body) == (422, b"nothing taken: no room\n")
            assert active_settings(gateway) == before and (committed, discarded) == ([], [1])
            assert generations.running.number == 1 and not generations.earlier
            with socket.create_server(("127.0.0.1", free_port)):
                pass  # the new address has been released

    run(test())


def test_a_management_address_in_use_is_refused_and_a_free_one_listens_before_the_old_one_closes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            with socket.create_server(("127.0.0.1", 0)) as taken:
                port = taken.getsockname()[1]
                answer = await put(gateway, raw | {"management": f"127.0.0.1:{port}"})
                assert answer.status == 422 and b"in use" in answer.body
                assert (await call(gateway, "GET", "/_ready")).status == 200
            old = gateway.management
            assert old is not None and old.server is not None
            old_port = old.server.sockets[0].getsockname()[1]
            answer = await put(gateway, raw | {"management": f"127.0.0.1:{port}"})
            assert answer.status == 200  # sent by the old listener, which has closed now
            moved = gateway.management
            assert moved is not None and moved.address == Address("127.0.0.1", port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /_ready HTTP/1.1\r\n\r\n")
            assert (await read_message(reader)).status == 200
            writer.close()
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", old_port)
            await until(lambda: moved.server is not None)
            assert (await exchange(gateway, "PUT", "/_configuration/rollback")).status == 200
            await until(lambda: gateway.management is not None and gateway.management.server is not None)
            assert gateway.management is not None and gateway.management.address == old.address

    run(test())


def test_two_reloads_in_one_turn_of_the_loop_are_two_generations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as gateway:
            raw = json.loads(path.read_text())
            for limit in (2, 3):
                path.write_text(json.dumps(with_max_attempts(raw, limit)))
                gateway.reload()
            assert max_attempts(gateway) == 3 and gateway.host.limits.max_attempts == 3
            assert [g.number for g in gateway.generations.earlier] == [1, 2]
            assert [g.source for g in gateway.generations.earlier] == ["start", "SIGHUP"]
            await exchange(gateway, "PUT", "/_configuration/rollback")
            assert max_attempts(gateway) == 2

    run(test())


def test_a_process_that_is_about_to_end_applies_no_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        check_may_end = threading.Event()

        def slow(*arguments: Any) -> Any:
            found = check(*arguments)
            check_may_end.wait(10)
            return found

        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            monkeypatch.setattr(module, "check", slow)
            task = asyncio.create_task(put(gateway, with_max_attempts(raw, 2)))
            await until(lambda: gateway.generations.checking)
            assert (await put(gateway, with_max_attempts(raw, 3))).status == 503  # one check at a time
            gateway.generations.stop()  # as SIGTERM does, between the check and the change
            check_may_end.set()
            assert (await task).status == 503 and max_attempts(gateway) == 4
            gateway.reload()
            assert gateway.generations.running.number == 1
            assert not (tmp_path / "ivymux" / "generations").exists()

    run(test())


def test_a_put_is_refused_if_a_reload_came_during_its_check(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        check_may_end, path = threading.Event(), tmp_path / "config.json"

        def slow(*arguments: Any) -> Any:
            check_may_end.wait(10)
            return check(*arguments)

        async with gateway_from(path, monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            monkeypatch.setattr(module, "check", slow)
            task = asyncio.create_task(put(gateway, with_max_attempts(raw, 2)))
            await until(lambda: gateway.generations.checking)
            path.write_text(json.dumps(with_max_attempts(raw, 3)))
            gateway.reload()
            check_may_end.set()
            assert (await task).status == 409 and max_attempts(gateway) == 3

    run(test())


# --- calls --------------------------------------------------------------------------------------------


def test_put_get_diff_and_rollback(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            shown = await call(gateway, "GET", "/_configuration")
            assert shown.headers["etag"] == '"1"'
            raw = json.loads(shown.body)
            lines = (
                await exchange(gateway, "PUT", "/_configuration/diff", json.dumps(with_max_attempts(raw, 2)))
            ).body
            assert lines == b"settings.caps.max_attempts: 4 -> 2\n"
            many = raw | {"other": {f"k{n}": "x" * 1000 for n in range(210)}}
            lines = (await exchange(gateway, "PUT", "/_configuration/diff", json.dumps(many))).body
            assert lines.count(b"\n") == 201 and lines.endswith(b"and 10 more\n") and len(lines) < 40_000
            renamed = json.dumps(raw | {"name": "n9"})
            lines = (await exchange(gateway, "PUT", "/_configuration/diff", renamed)).body
            assert lines == b"name: n0 -> n9 (needs a restart)\n"
            answer = await put(gateway, with_max_attempts(raw, 2), if_match='"1"')
            assert (answer.status, answer.headers["etag"]) == (200, '"2"')
            assert (await put(gateway, with_max_attempts(raw, 3), if_match='"1"')).status == 412
            assert max_attempts(gateway) == 2
            assert (await put(gateway, with_max_attempts(raw, 3), if_match='"2"')).status == 200
            assert await get_configuration(gateway) == with_max_attempts(raw, 3)
            assert (await exchange(gateway, "PUT", "/_configuration/rollback", "1")).status == 200
            assert max_attempts(gateway) == 4
            # Without a number, to the previous generation.
            assert (await exchange(gateway, "PUT", "/_configuration/rollback")).status == 200
            assert max_attempts(gateway) == 3
            assert (await exchange(gateway, "PUT", "/_configuration/rollback", "2", '"4"')).status == 412
            history = json.loads((await call(gateway, "GET", "/_configuration/history")).body)
            assert history["running"] == 5 and history["confirm"] is None
            sources = [g["source"] for g in history["generations"]]
            assert sources == ["start", "put", "put", "rollback to 1", "rollback to 3"]
            digests = [g["digest"] for g in history["generations"]]
            assert digests[0] == digests[3] and digests[2] == digests[4] and len(set(digests)) == 3

    run(test())


BAD_CALLS = [
    ("PUT", "/_configuration", "{", 422),
    ("PUT", "/_configuration", "", 422),
    ("PUT", "/_configuration?confirm=0", "{}", 400),
    ("PUT", "/_configuration?confirm=nan", "{}", 400),
    ("PUT", "/_configuration?confirm=1e9", "{}", 400),
    ("PUT", "/_configuration?other=1", "{}", 400),
    ("PUT", "/_configuration", " " * (MAX_CONFIGURATION_BYTES + 20_000), 413),
    ("PUT", "/_configuration/rollback", "9", 404),
    ("PUT", "/_configuration/rollback", "", 404),
    ("PUT", "/_configuration/rollback", "1", 409),
    ("PUT", "/_configuration/rollback", "one", 400),
    ("PUT", "/_configuration/confirm", "", 409),
    ("PUT", "/_configuration/history", "", 405),
    ("DELETE", "/_configuration", "", 405),
    ("PUT", "/_configuration/diff", '{"settings": {}}', 422),
    ("GET", "/_configuration/other", "", 404),
]


def test_the_diff_command_queries_the_running_gateway(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        new = tmp_path / "new.json"
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            assert gateway.management is not None and gateway.management.server is not None
            port = gateway.management.server.sockets[0].getsockname()[1]
            for changed, status in (
                (with_max_attempts(raw, 2) | {"seed": "9"}, 0),
                (with_max_attempts(raw, 0), 2),
                (raw, 0),
            ):
                new.write_text(json.dumps(changed))
                assert await asyncio.to_thread(main, ["diff", str(new), f"127.0.0.1:{port}"]) == status
        assert await asyncio.to_thread(main, ["diff", str(new), f"127.0.0.1:{port}"]) == 2
        assert await asyncio.to_thread(main, ["diff", str(new), "nowhere"]) == 2

    run(test())
    assert capsys.readouterr().out.splitlines() == [
        "seed: 8c1f -> 9 (needs a restart)",
        "settings.caps.max_attempts: 4 -> 2",
        "would not be taken: settings.caps.max_attempts: not above zero: 0",
        "no change",
    ]


def test_bad_calls_get_a_reason_in_one_line_and_change_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            for method, path, body, status in BAD_CALLS:
                answer = await exchange(gateway, method, path, body)
                assert answer.status == status, (path, body[:20], answer.body)
                assert answer.body.count(b"\n") == 1 and len(answer.body) < 2000
            raw = await get_configuration(gateway)
            for key, value in (("name", "n9"), ("listen", "127.0.0.1:7"), ("seed", "8c20")):
                answer = await put(gateway, with_max_attempts(raw, 2) | {key: value})
                assert answer.status == 422 and key.encode() in answer.body
            assert (await put(gateway, raw, if_match="x")).status == 412
            assert max_attempts(gateway) == 4 and gateway.generations.running.number == 1
            assert gateway.management is not None and gateway.management.buffered == 0

    run(test())


def test_the_total_size_of_the_configurations_being_received_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            management = gateway.management
            assert management is not None
            monkeypatch.setattr("hazelspring.gateway.management.MAX_BUFFERED_BYTES", 300_000)
            connections = []
            head = b"PUT /_configuration HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"
            for _ in range(2):
                reader, writer = await connect(gateway)
                writer.write(head + b" " * 199_000)
                connections.append((reader, writer))
                await until(lambda: management.buffered or management.connections)
            statuses = [asyncio.create_task(read_message(reader)) for reader, _ in connections]
            done, _ = await asyncio.wait(statuses, return_when=asyncio.FIRST_COMPLETED)
            assert {task.result().status for task in done} == {503}
            assert management.buffered <= 300_000
            for _, writer in connections:
                writer.close()
            await until(lambda: management.buffered == 0)
            for task in statuses:
                task.cancel()

    run(test())


def test_the_history_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            for limit in range(2, 2 + 2 * MAX_GENERATIONS):
                assert (await put(gateway, with_max_attempts(raw, limit))).status == 200
            generations = gateway.generations
            assert len(generations.earlier) + 1 == MAX_GENERATIONS
            monkeypatch.setattr(module, "MAX_HISTORY_BYTES", 1)
            assert (await put(gateway, with_max_attempts(raw, 2))).status == 200
            # The previous generation is always kept.
            assert [g.number for g in generations.earlier] == [2 * MAX_GENERATIONS + 1]
            assert (await exchange(gateway, "PUT", "/_configuration/rollback")).status == 200

    run(test())


# --- confirming a put ---------------------------------------------------------------------------------


def test_a_put_that_is_not_confirmed_is_rolled_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw, before = await get_configuration(gateway), active_settings(gateway)
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=0.1")).status == 200
            await until(lambda: gateway.generations.running.number == 3)
            assert active_settings(gateway) == before
            assert gateway.generations.running.source == "2 was not confirmed: back to 1"
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=600")).status == 200
            assert (await put(gateway, with_max_attempts(raw, 3))).status == 409  # one at a time
            history = json.loads((await call(gateway, "GET", "/_configuration/history")).body)
            assert (history["confirm"]["number"], history["confirm"]["back_to"]) == (4, 3)
            assert 0 < history["confirm"]["until"] - time.time() <= 600
            assert (await exchange(gateway, "PUT", "/_configuration/confirm", if_match='"3"')).status == 412
            assert (await exchange(gateway, "PUT", "/_configuration/confirm", if_match='"4"')).status == 200
            assert gateway.generations.confirm_timer is None and max_attempts(gateway) == 2

    run(test())


def test_a_rollback_that_fails_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(module, "ROLLBACK_RETRY_FIRST", 0.01)
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            generations, tries = gateway.generations, list[int]()

            def failing_rollback(before: Config, after: Config) -> Step:
                if after.settings.limits.max_attempts == 4:
                    tries.append(1)
                    if len(tries) < 3:
                        raise OSError("not yet")
                return Step(lambda: None)

            generations.preparers = (*generations.preparers, failing_rollback)
            raw = await get_configuration(gateway)
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=0.05")).status == 200
            await until(lambda: max_attempts(gateway) == 4)
            assert len(tries) == 3 and generations.pending_confirmation is None

    run(test())


def test_a_reload_cancels_a_confirm_time_and_a_broken_file_does_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as gateway:
            raw = await get_configuration(gateway)
            # The platform's file is newer than the put, and is not rolled back.
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=600")).status == 200
            timer = gateway.generations.confirm_timer
            path.write_text(json.dumps(with_max_attempts(raw, 3)))
            gateway.reload()
            assert timer is not None and timer.cancelled() and gateway.generations.confirm_timer is None
            gateway.generations.roll_back_unconfirmed()
            assert max_attempts(gateway) == 3
            # A broken file changes nothing, and the confirm time keeps running.
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=600")).status == 200
            timer = gateway.generations.confirm_timer
            path.write_text("{")
            gateway.reload()
            assert max_attempts(gateway) == 2 and gateway.generations.confirm_timer is timer is not None
            assert not timer.cancelled()
            gateway.generations.roll_back_unconfirmed()
            assert max_attempts(gateway) == 3

    run(test())


# --- two processes of one gateway -----------------------------------------------------------------------


def test_an_upgrade_adopts_the_running_generation_and_its_confirm_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as old:
            raw = await get_configuration(old)
            assert (await put(old, with_max_attempts(raw, 2), "?confirm=30")).status == 200
            fresh = json.loads(path.read_text()) | {"seed": "77", "management": "127.0.0.1:0"}
            path.write_text(json.dumps(fresh))  # keys that differ at each start make no newer configuration
            async with gateway_from(path, monkeypatch) as new:
                assert max_attempts(new) == 2 and new.generations.running.number == 2
                assert (
                    new.generations.pending_confirmation == old.generations.pending_confirmation is not None
                )
                assert new.host.gateway.ctx.random.getstate() != old.host.gateway.ctx.random.getstate()
                assert (await exchange(new, "PUT", "/_configuration/confirm")).status == 200
                await until(lambda: old.generations.pending_confirmation is None)
                assert (await put(new, with_max_attempts(raw, 3))).status == 200
                await until(lambda: max_attempts(old) == 3)
                assert old.generations.history()["generations"] == new.generations.history()["generations"]
                assert (await put(old, with_max_attempts(raw, 2), "?confirm=600")).status == 200
                await until(lambda: max_attempts(new) == 2)
                new.generations.roll_back_unconfirmed()
                await until(lambda: (max_attempts(old), max_attempts(new)) == (3, 3))

    run(test())


def test_a_confirm_time_that_ends_while_no_process_runs_leads_to_a_rollback(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as old:
            raw = await get_configuration(old)
            assert (await put(old, with_max_attempts(raw, 2), "?confirm=30")).status == 200
        clock = time.time
        monkeypatch.setattr(time, "time", lambda: clock() + 31)
        async with gateway_from(path, monkeypatch) as new:
            await until(lambda: max_attempts(new) == 4)
        monkeypatch.setattr(time, "time", clock)

    run(test())


def test_a_clock_set_back_does_not_lengthen_a_confirm_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as old:
            raw = await get_configuration(old)
            assert (await put(old, with_max_attempts(raw, 2), "?confirm=600")).status == 200
        clock = time.time
        monkeypatch.setattr(time, "time", lambda: clock() - 3600)
        async with gateway_from(path, monkeypatch) as new:
            timer = new.generations.confirm_timer
            assert max_attempts(new) == 2 and timer is not None
            assert timer.when() - new.generations.loop.time() < 601  # the loop rounds to milliseconds
        monkeypatch.setattr(time, "time", clock)

    run(test())


def test_a_second_process_applies_a_newer_file_instead_of_the_shared_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as old:
            raw = await get_configuration(old)
            assert (await put(old, with_max_attempts(raw, 2), "?confirm=0.1")).status == 200
            path.write_text(json.dumps(with_max_attempts(raw, 3)))
            async with gateway_from(path, monkeypatch) as new:
                assert max_attempts(new) == 3 and new.generations.pending_confirmation is None
                # The old process rolls back its put, which was based on the old file.
                await until(lambda: max_attempts(old) == 4)
                await asyncio.sleep(0.15)
                assert max_attempts(new) == 3  # the rollback does not affect the process with the newer file

    run(test())


DAMAGED_STATE_FILES = [
    b"",
    b"{",
    b"[]",
    b"\xff\xfe",
    b'{"version": 2}',
    b'{"version": 1, "basis": "x", "generations": []}',
]


@pytest.mark.parametrize("content", DAMAGED_STATE_FILES)
def test_a_damaged_state_file_is_not_used_and_does_not_prevent_the_start(
    content: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        (tmp_path / "ivymux").mkdir()
        state = tmp_path / "ivymux" / "generations"
        state.write_bytes(content)
        assert read_state_file(state) is None
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            assert gateway.generations.running.number == 1
            raw = await get_configuration(gateway)
            assert (await put(gateway, with_max_attempts(raw, 2))).status == 200
            kept = read_state_file(state)
            assert kept is not None and kept.running.number == 2
            whole = state.read_bytes()
            for cut in range(0, len(whole), max(1, len(whole) // 40)):
                state.write_bytes(whole[:cut])
                assert read_state_file(state) is None

    run(test())


def test_a_put_or_confirm_that_the_full_disk_cannot_store_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway_from(tmp_path / "config.json", monkeypatch, raw_config()) as gateway:
            raw, before = await get_configuration(gateway), active_settings(gateway)

            def full(self: Path, text: str) -> int:
                raise OSError(28, "No space left on device")

            with monkeypatch.context() as patch:
                patch.setattr(Path, "write_text", full)
                assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=9")).status == 422
                assert active_settings(gateway) == before and gateway.generations.pending_confirmation is None
            assert (await put(gateway, with_max_attempts(raw, 2), "?confirm=9")).status == 200
            with monkeypatch.context() as patch:
                patch.setattr(Path, "write_text", full)
                assert (await exchange(gateway, "PUT", "/_configuration/confirm")).status == 500
            assert gateway.generations.pending_confirmation is not None
            assert not list((tmp_path / "ivymux").glob("generations-*"))

    run(test())


# --- changes at run time --------------------------------------------------------------------------------


def test_a_lower_limit_closes_idle_connections_and_no_open_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        backend, released = Backend(answer=lambda message: None), asyncio.Event()
        async with (
            listening(backend.handle) as dial,
            gateway_from(tmp_path / "config.json", monkeypatch, raw_config(dial)) as gateway,
        ):
            raw = await get_configuration(gateway)
            clients = [Client(gateway.server) for _ in range(20)]
            async with contextlib.AsyncExitStack() as stack:
                for client in clients:
                    await stack.enter_async_context(client)
                await until(lambda: len(gateway.server.clients) == 20)
                clients[0].writer.write(clients[0].request())
                await until(lambda: backend.seen)
                pools = gateway.host.upstream
                lower = json.loads(json.dumps(raw))
                lower["limits"]["sockets"] = 112  # leaves 9 for clients
                assert (await put(gateway, lower)).status == 200
                assert gateway.server.max_clients == 9 and pools.max_open == 7
                await until(lambda: len(gateway.server.clients) == 9)
                busy = [c for c in gateway.server.clients if c.pending]
                assert len(busy) == 1 and not released.is_set()
                (link,) = next(iter(pools.pools.values())).links
                assert link.attempt is not None and link.transport is not None
                link.get_buffer(0)[:9] = b"HTTP/1.1 "
                answer = http_answer(body=b"done")
                link.get_buffer(0)[: len(answer)] = answer
                link.buffer_updated(len(answer))
                assert (await read_message(clients[0].reader)).status == 200

    run(test())


def test_a_lower_limit_closes_connections_to_alert_servers_once_they_are_idle() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial:
            gateway = GatewayProcess(parse(json.dumps(raw_config(dial)), {}))
            await gateway.start()
            upstream = gateway.host.upstream
            async with Client(gateway.server) as client:
                assert (await client.ask()).status == 200
                (pool,) = upstream.pools.values()
                assert len(pool.idle) == 1
                link = pool.idle.pop()  # simulates a connection in use
                upstream.limit(0)
                assert upstream.open == 1
                pool.put(link)
                assert not pool.idle
                await until(lambda: upstream.open == 0)
            await gateway.close()

    run(test())


def test_the_counter_is_moved_removed_and_added_with_calls_in_flight(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        silent, other, backend = Tally(reply=lambda n, parts: b""), Tally(), Backend()
        async with (
            listening(silent.handle) as first,
            listening(other.handle) as second,
            listening(backend.handle) as dial,
            gateway_from(tmp_path / "config.json", monkeypatch, raw_config(dial, counter=first)) as gateway,
        ):
            raw = await get_configuration(gateway)
            raw["settings"]["extra"]["counter_timeout_s"] = 0.5
            assert (await put(gateway, raw)).status == 200
            async with Client(gateway.server) as one, Client(gateway.server) as two:
                task = asyncio.create_task(one.ask())
                await until(lambda: silent.calls)
                moved = json.loads(json.dumps(raw)) | {"counter": second}
                assert (await put(gateway, moved)).status == 200
                assert (await task).status in (200, 503)
                assert (await two.ask()).status == 200
                await until(lambda: other.opened >= 4)
                # Without a counter: a request waiting for it is answered, and no further call is sent to it.
                other.reply = lambda n, parts: b""
                task = asyncio.create_task(two.ask())
                calls = len(other.calls)
                gone = json.loads(json.dumps(moved))
                gone["settings"]["extra"]["has_counter"] = "false"
                assert (await put(gateway, gone)).status == 200
                assert gateway.host.counter is None and not gateway.host.gateway.call_rate.may_call()
                assert (await task).status in (200, 503)
                assert len(other.calls) <= calls + 1
                assert (await put(gateway, moved)).status == 200
                assert gateway.host.counter is not None

    run(test())


def test_after_a_rollback_to_an_unreachable_discovery_requests_are_served_from_the_known_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        agent, backend = Agent(), Backend()
        line = json.dumps({"seq": 50, "whole": True, "hosts": [host_line("s-00000002", "")]})
        async with (
            listening(backend.handle) as dial,
            listening(agent.handle) as there,
            gateway_from(
                tmp_path / "config.json", monkeypatch, raw_config("127.0.0.1:9", "127.0.0.1:1")
            ) as gateway,
        ):
            agent.lines.append(line.replace('"dial": ""', f'"dial": "{dial}"').encode())
            raw = await get_configuration(gateway)
            assert (await put(gateway, raw | {"discovery": there})).status == 200
            await until(lambda: list(gateway.host.upstream.pools) == [2])
            assert (await exchange(gateway, "PUT", "/_configuration/rollback")).status == 200
            assert gateway.discovery.address == Address("127.0.0.1", 1)
            async with Client(gateway.server) as client:
                assert (await client.ask()).status == 200 and backend.seen

    run(test())


# --- combined changes -------------------------------------------------------------------------------------


def test_reloads_and_rollbacks_under_traffic_answer_every_request_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path, backend = tmp_path / "config.json", Backend()
        raw = raw_config()
        raw["settings"]["tariffs"][0] |= {"quota_rate": 1e6, "peak_units": 1e6}
        async with listening(backend.handle) as dial:
            raw["known"]["hosts"] = [host_line("s-00000001", dial)]
            async with gateway_from(path, monkeypatch, raw) as gateway:
                stop, statuses = asyncio.Event(), list[int]()

                async def traffic() -> None:
                    async with Client(gateway.server) as client:
                        while not stop.is_set():
                            statuses.append((await client.ask()).status)

                base = json.loads(path.read_text())
                descriptors = len(os.listdir("/proc/self/fd"))
                tasks = [asyncio.create_task(traffic()) for _ in range(4)]
                await until(lambda: len(statuses) > 50)
                for round in range(100):
                    changed = with_max_attempts(base, 2 + round % 3)
                    changed["settings"]["caps"]["connect_timeout_s"] = 0.2 + round / 1000
                    path.write_text("{" if round % 10 == 9 else json.dumps(changed))
                    gateway.reload()
                    if round % 4 == 3:
                        assert gateway.generations.rollback(None, None)
                    await asyncio.sleep(0.002)
                    assert gateway.host.limits == gateway.host.gateway.settings.limits
                assert len(gateway.generations.earlier) + 1 == MAX_GENERATIONS
                stop.set()
                await asyncio.gather(*tasks)
                links = sum(len(pool.links) for pool in gateway.host.upstream.pools.values())
                assert links <= 4  # both ends of each connection are descriptors of this process
                assert len(os.listdir("/proc/self/fd")) <= descriptors + 2 * (links + 4)
                assert set(statuses) == {200}
                ids = [m.headers["request-id"] for m in backend.seen]
                assert len(ids) == len(set(ids)) == len(statuses)

    run(test())


def test_a_hundred_reloads_leak_no_memory_and_no_descriptors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with gateway_from(path, monkeypatch, raw_config()) as gateway:
            base = json.loads(path.read_text())

            async def reloads(count: int) -> tuple[int, int]:
                for number in range(count):
                    path.write_text(json.dumps(with_max_attempts(base, 2 + number % 3)))
                    gateway.reload()
                await asyncio.sleep(0.05)
                gc.collect()
                return sys.getallocatedblocks(), len(os.listdir("/proc/self/fd"))

            blocks, descriptors = await reloads(50)  # after these, the history is full
            later_blocks, later_descriptors = await reloads(100)
            assert later_blocks - blocks < 500 and later_descriptors <= descriptors

    logging.disable(logging.CRITICAL)  # pytest stores each log record, which would count as allocated memory
    try:
        run(test())
    finally:
        logging.disable(logging.NOTSET)


CHANGES = st.sampled_from(
    [
        ("caps", "max_attempts", 2), ("caps", "max_attempts", 0), ("caps", "connect_timeout_s", 0.5),
        ("caps", "conn_idle_s", 10.0), ("caps", "second_copies", "false"), ("rules", "fall_s", "soon"),
        ("extra", "has_counter", "false"), ("extra", "has_counter", "true"),
        ("extra", "counter_timeout_s", 0.2),
        ("limits", "sockets", 400), ("limits", "sockets", 3), ("", "peers_total", 9), ("", "peers_total", 0),
        ("", "zones", ["b", "a"]), ("", "discovery", "127.0.0.1:2"), ("", "counter", "127.0.0.1:3"),
        ("classes", "goal_time_s", 0.5), ("classes", "name", "fresh"), ("classes", "deadline_s", -1),
        ("tariffs", "name", "fresh"), ("tariffs", "quota_rate", 2.0), ("tariffs", "pays", None),
        ("rules", "ask_within_s", 3.0), ("", "membership_mode", "ask"), ("", "host_types", ["m3", "m2"]),
    ]
)  # fmt: skip


def changed(raw: Raw, section: str, key: str, value: object) -> Raw:
    raw = json.loads(json.dumps(raw))
    at: Any = raw["settings"]
    if key in ("discovery", "counter") or section == "limits":
        at = raw
    at = at[section] if section else at
    (at[0] if isinstance(at, list) else at)[key] = value
    return raw


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    steps=st.lists(
        st.one_of(
            CHANGES.map(lambda change: ("change", change)),
            st.integers(0, 6).map(lambda number: ("rollback", number)),
            st.just(("expire", 0)),
            CHANGES.map(lambda change: ("trial", change)),
        ),
        max_size=8,
    )
)
def test_after_any_sequence_of_changes_the_state_equals_a_fresh_start_with_the_running_configuration(
    tmp_path: Path, steps: list[tuple[str, Any]]
) -> None:
    async def test() -> None:
        text = config_text([host_line("s-00000001", "127.0.0.1:9")], "127.0.0.1:2", "127.0.0.1:1")
        gateway = GatewayProcess(parse(text, {}))
        generations = gateway.generations
        generations.env = {}
        raw = json.loads(text)
        for kind, what in steps:
            before, number = active_settings(gateway), generations.running.number
            try:
                if kind == "rollback":
                    generations.rollback(what or None, None)
                elif kind == "expire":
                    generations.roll_back_unconfirmed()
                else:
                    candidate = changed(json.loads(generations.config.text), *what)
                    config = check(json.dumps(candidate).encode(), {}, generations.config).config
                    if config is None:
                        raise ConfigError("the check failed")
                    generations.apply(config, "put", 60.0 if kind == "trial" else 0.0)
            except (RefusedError, ConfigError):
                assert active_settings(gateway) == before and generations.running.number == number
        fresh = GatewayProcess(parse(generations.config.text.decode(), {}))
        assert active_settings(gateway) == active_settings(fresh)
        assert json.loads(generations.config.text)["seed"] == raw["seed"]
        await gateway.close()
        await fresh.close()

    run(test())
