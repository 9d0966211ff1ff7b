"""Generations of the configuration: taken whole, kept, rolled back, and shared by two processes."""

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
from hazelspring.gateway.frontdoor import FrontDoor
from hazelspring.gateway.generations import HISTORY, Refused, Step, inherit, read_kept
from hazelspring.gateway.management import MOST_CONFIGURATION

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
async def door_from(
    path: Path, monkeypatch: pytest.MonkeyPatch, raw: Raw | None = None, management: str = "127.0.0.1:0"
) -> AsyncIterator[FrontDoor]:
    """A front door started from a file, as `serve` does it, with a second address and a shared folder."""
    if raw is not None:
        path.write_text(json.dumps(raw | {"management": management}))
    env = {"NODE_CONFIG": str(path), "TMPDIR": str(path.parent)}
    for key, value in env.items():
        monkeypatch.setenv(key, value)
    door = FrontDoor(*inherit(parse(path.read_text(), env), env))
    await door.start()
    await until(lambda: door.management is None or door.management.server is not None)
    try:
        yield door
    finally:
        await door.close()


def raw_config(dial: str = "127.0.0.1:9", discovery: str = "", counter: str = "") -> Raw:
    raw: Raw = json.loads(config_text([host_line("s-00000001", dial)], counter, discovery))
    return raw


def attempts(raw: Raw, most: int) -> Raw:
    changed: Raw = json.loads(json.dumps(raw))
    changed["settings"]["caps"]["max_attempts"] = most
    return changed


def running(door: FrontDoor) -> int:
    return door.host.gateway.settings.limits.max_attempts


async def put(door: FrontDoor, raw: Raw | str, query: str = "", if_match: str = "") -> Message:
    text = raw if isinstance(raw, str) else json.dumps(raw)
    return await exchange(door, "PUT", f"/_configuration{query}", text, if_match)


async def exchange(door: FrontDoor, method: str, path: str, body: str = "", if_match: str = "") -> Message:
    reader, writer = await connect(door)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        head += f"If-Match: {if_match}\r\n" if if_match else ""
        writer.write(f"{head}\r\n{body}".encode())
        return await read_message(reader)
    finally:
        writer.close()


async def current(door: FrontDoor) -> Raw:
    answer = await call(door, "GET", "/_configuration")
    assert answer.status == 200
    raw: Raw = json.loads(answer.body)
    return raw


def in_force(door: FrontDoor) -> dict[str, object]:
    """All that a configuration decides of a running front door."""
    host, server, upstream, counter = door.host, door.server, door.host.upstream, door.host.counter
    return {
        "module": host.gateway.settings,
        "aim": host.gateway.turn.aim,
        "peers": host.gateway.turn.peers,
        "limits": host.limits,
        "classes": server.classes,
        "plans": server.plans,
        "clients": (server.most_clients, door.most_clients),
        "upstream": (upstream.connect_timeout, upstream.columns, upstream.keep_idle, upstream.most_open),
        "discovery": (door.discovery.address, door.discovery.askers, door.discovery.ask_within),
        "names": (door.names.zones, door.names.kinds),
        "counter": None if counter is None else (counter.address, counter.timeout),
        "management": None if door.management is None else door.management.address,
        "drain": door.drain_time,
    }


# --- taking -------------------------------------------------------------------------------------------


def test_a_part_that_cannot_prepare_leaves_everything_as_it_was(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            before, committed, discarded = in_force(door), list[int](), list[int]()

            def steady(before: Config, after: Config) -> Step:
                return Step(lambda: committed.append(1), lambda: discarded.append(1))

            def failing(before: Config, after: Config) -> Step:
                raise OSError("no room")

            generations = door.generations
            generations.parts = (*generations.parts, steady, failing)
            with socket.create_server(("127.0.0.1", 0)) as taken:
                free = taken.getsockname()[1]
            raw = attempts(raw_config("127.0.0.1:9", "127.0.0.1:8"), 2) | {"management": f"127.0.0.1:{free}"}
            answer = await put(door, raw)
            assert (answer.status, answer.body) == (422, b"nothing taken: no room\n")
            assert in_force(door) == before and (committed, discarded) == ([], [1])
            assert generations.running.number == 1 and not generations.earlier
            with socket.create_server(("127.0.0.1", free)):
                pass  # the new address was let go

    run(test())


def test_a_second_address_that_is_taken_is_refused_and_one_that_is_free_listens_before_the_old_one_closes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw = await current(door)
            with socket.create_server(("127.0.0.1", 0)) as taken:
                port = taken.getsockname()[1]
                answer = await put(door, raw | {"management": f"127.0.0.1:{port}"})
                assert answer.status == 422 and b"in use" in answer.body
                assert (await call(door, "GET", "/_ready")).status == 200
            old = door.management
            assert old is not None and old.server is not None
            old_port = old.server.sockets[0].getsockname()[1]
            answer = await put(door, raw | {"management": f"127.0.0.1:{port}"})
            assert answer.status == 200  # by the old one, which is gone now
            moved = door.management
            assert moved is not None and moved.address == Address("127.0.0.1", port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /_ready HTTP/1.1\r\n\r\n")
            assert (await read_message(reader)).status == 200
            writer.close()
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", old_port)
            await until(lambda: moved.server is not None)
            assert (await exchange(door, "PUT", "/_configuration/rollback")).status == 200
            await until(lambda: door.management is not None and door.management.server is not None)
            assert door.management is not None and door.management.address == old.address

    run(test())


def test_two_reloads_in_one_turn_of_the_loop_are_two_generations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as door:
            raw = json.loads(path.read_text())
            for most in (2, 3):
                path.write_text(json.dumps(attempts(raw, most)))
                door.reload()
            assert running(door) == 3 and door.host.limits.max_attempts == 3
            assert [g.number for g in door.generations.earlier] == [1, 2]
            assert [g.source for g in door.generations.earlier] == ["start", "SIGHUP"]
            await exchange(door, "PUT", "/_configuration/rollback")
            assert running(door) == 2

    run(test())


def test_nothing_is_taken_by_a_process_that_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        go_on = threading.Event()

        def slow(*arguments: Any) -> Any:
            found = check(*arguments)
            go_on.wait(10)
            return found

        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw = await current(door)
            monkeypatch.setattr(module, "check", slow)
            task = asyncio.create_task(put(door, attempts(raw, 2)))
            await until(lambda: door.generations.checking)
            assert (await put(door, attempts(raw, 3))).status == 503  # one check at a time
            door.generations.stop()  # as SIGTERM does, between the check and the take
            go_on.set()
            assert (await task).status == 503 and running(door) == 4
            door.reload()
            assert door.generations.running.number == 1
            assert not (tmp_path / "ivymux" / "generations").exists()

    run(test())


def test_a_put_that_crosses_a_reload_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        go_on, path = threading.Event(), tmp_path / "config.json"

        def slow(*arguments: Any) -> Any:
            go_on.wait(10)
            return check(*arguments)

        async with door_from(path, monkeypatch, raw_config()) as door:
            raw = await current(door)
            monkeypatch.setattr(module, "check", slow)
            task = asyncio.create_task(put(door, attempts(raw, 2)))
            await until(lambda: door.generations.checking)
            path.write_text(json.dumps(attempts(raw, 3)))
            door.reload()
            go_on.set()
            assert (await task).status == 409 and running(door) == 3

    run(test())


# --- calls --------------------------------------------------------------------------------------------


def test_put_show_and_roll_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            shown = await call(door, "GET", "/_configuration")
            assert shown.headers["etag"] == '"1"'
            raw = json.loads(shown.body)
            lines = (await exchange(door, "PUT", "/_configuration/diff", json.dumps(attempts(raw, 2)))).body
            assert lines == b"settings.caps.max_attempts: 4 -> 2\n"
            many = raw | {"other": {f"k{n}": "x" * 1000 for n in range(210)}}
            lines = (await exchange(door, "PUT", "/_configuration/diff", json.dumps(many))).body
            assert lines.count(b"\n") == 201 and lines.endswith(b"and 10 more\n") and len(lines) < 40_000
            renamed = json.dumps(raw | {"name": "n9"})
            lines = (await exchange(door, "PUT", "/_configuration/diff", renamed)).body
            assert lines == b"name: n0 -> n9 (needs a restart)\n"
            answer = await put(door, attempts(raw, 2), if_match='"1"')
            assert (answer.status, answer.headers["etag"]) == (200, '"2"')
            assert (await put(door, attempts(raw, 3), if_match='"1"')).status == 412
            assert running(door) == 2
            assert (await put(door, attempts(raw, 3), if_match='"2"')).status == 200
            assert await current(door) == attempts(raw, 3)
            assert (await exchange(door, "PUT", "/_configuration/rollback", "1")).status == 200
            assert running(door) == 4
            assert (await exchange(door, "PUT", "/_configuration/rollback")).status == 200  # the one before
            assert running(door) == 3
            assert (await exchange(door, "PUT", "/_configuration/rollback", "2", '"4"')).status == 412
            history = json.loads((await call(door, "GET", "/_configuration/history")).body)
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
    ("PUT", "/_configuration", " " * (MOST_CONFIGURATION + 20_000), 413),
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


def test_the_diff_command_asks_the_running_front_door(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        new = tmp_path / "new.json"
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw = await current(door)
            assert door.management is not None and door.management.server is not None
            port = door.management.server.sockets[0].getsockname()[1]
            for changed, status in ((attempts(raw, 2) | {"seed": "9"}, 0), (attempts(raw, 0), 2), (raw, 0)):
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


def test_bad_calls_get_one_line_of_why_and_change_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            for method, path, body, status in BAD_CALLS:
                answer = await exchange(door, method, path, body)
                assert answer.status == status, (path, body[:20], answer.body)
                assert answer.body.count(b"\n") == 1 and len(answer.body) < 2000
            raw = await current(door)
            for key, value in (("name", "n9"), ("listen", "127.0.0.1:7"), ("seed", "8c20")):
                answer = await put(door, attempts(raw, 2) | {key: value})
                assert answer.status == 422 and key.encode() in answer.body
            assert (await put(door, raw, if_match="x")).status == 412
            assert running(door) == 4 and door.generations.running.number == 1
            assert door.management is not None and door.management.held == 0

    run(test())


def test_configurations_on_their_way_are_bounded_in_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            desk = door.management
            assert desk is not None
            monkeypatch.setattr("hazelspring.gateway.management.MOST_HELD", 300_000)
            held = []
            head = b"PUT /_configuration HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"
            for _ in range(2):
                reader, writer = await connect(door)
                writer.write(head + b" " * 199_000)
                held.append((reader, writer))
                await until(lambda: desk.held or desk.callers)
            statuses = [asyncio.create_task(read_message(reader)) for reader, _ in held]
            done, _ = await asyncio.wait(statuses, return_when=asyncio.FIRST_COMPLETED)
            assert {task.result().status for task in done} == {503}
            assert desk.held <= 300_000
            for _, writer in held:
                writer.close()
            await until(lambda: desk.held == 0)
            for task in statuses:
                task.cancel()

    run(test())


def test_the_history_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw = await current(door)
            for most in range(2, 2 + 2 * HISTORY):
                assert (await put(door, attempts(raw, most))).status == 200
            generations = door.generations
            assert len(generations.earlier) + 1 == HISTORY
            monkeypatch.setattr(module, "MOST_KEPT", 1)
            assert (await put(door, attempts(raw, 2))).status == 200
            assert [g.number for g in generations.earlier] == [2 * HISTORY + 1]  # there is always a way back
            assert (await exchange(door, "PUT", "/_configuration/rollback")).status == 200

    run(test())


# --- commit confirmed ---------------------------------------------------------------------------------


def test_a_put_that_is_not_confirmed_is_rolled_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw, before = await current(door), in_force(door)
            assert (await put(door, attempts(raw, 2), "?confirm=0.1")).status == 200
            await until(lambda: door.generations.running.number == 3)
            assert in_force(door) == before
            assert door.generations.running.source == "2 was not confirmed: back to 1"
            assert (await put(door, attempts(raw, 2), "?confirm=600")).status == 200
            assert (await put(door, attempts(raw, 3))).status == 409  # one at a time
            history = json.loads((await call(door, "GET", "/_configuration/history")).body)
            assert (history["confirm"]["number"], history["confirm"]["back_to"]) == (4, 3)
            assert 0 < history["confirm"]["until"] - time.time() <= 600
            assert (await exchange(door, "PUT", "/_configuration/confirm", if_match='"3"')).status == 412
            assert (await exchange(door, "PUT", "/_configuration/confirm", if_match='"4"')).status == 200
            assert door.generations.timer is None and running(door) == 2

    run(test())


def test_a_rollback_that_is_barred_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(module, "RETRY_FIRST", 0.01)
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            generations, tries = door.generations, list[int]()

            def barred(before: Config, after: Config) -> Step:
                if after.settings.limits.max_attempts == 4:
                    tries.append(1)
                    if len(tries) < 3:
                        raise OSError("not yet")
                return Step(lambda: None)

            generations.parts = (*generations.parts, barred)
            raw = await current(door)
            assert (await put(door, attempts(raw, 2), "?confirm=0.05")).status == 200
            await until(lambda: running(door) == 4)
            assert len(tries) == 3 and generations.confirm_by is None

    run(test())


def test_sighup_within_a_confirm_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as door:
            raw = await current(door)
            # The platform's word is the newest, and stays.
            assert (await put(door, attempts(raw, 2), "?confirm=600")).status == 200
            timer = door.generations.timer
            path.write_text(json.dumps(attempts(raw, 3)))
            door.reload()
            assert timer is not None and timer.cancelled() and door.generations.timer is None
            door.generations.overdue()
            assert running(door) == 3
            # A broken file takes nothing, and the time runs on.
            assert (await put(door, attempts(raw, 2), "?confirm=600")).status == 200
            timer = door.generations.timer
            path.write_text("{")
            door.reload()
            assert running(door) == 2 and door.generations.timer is timer is not None
            assert not timer.cancelled()
            door.generations.overdue()
            assert running(door) == 3

    run(test())


# --- two processes of one front door --------------------------------------------------------------------


def test_an_upgrade_takes_the_running_generation_and_its_confirm_time_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as old:
            raw = await current(old)
            assert (await put(old, attempts(raw, 2), "?confirm=30")).status == 200
            fresh = json.loads(path.read_text()) | {"seed": "77", "management": "127.0.0.1:0"}
            path.write_text(json.dumps(fresh))  # what is new with each start is no newer configuration
            async with door_from(path, monkeypatch) as new:
                assert running(new) == 2 and new.generations.running.number == 2
                assert new.generations.confirm_by == old.generations.confirm_by is not None
                assert new.host.gateway.turn.random.getstate() != old.host.gateway.turn.random.getstate()
                assert (await exchange(new, "PUT", "/_configuration/confirm")).status == 200
                await until(lambda: old.generations.confirm_by is None)
                assert (await put(new, attempts(raw, 3))).status == 200
                await until(lambda: running(old) == 3)
                assert old.generations.history()["generations"] == new.generations.history()["generations"]
                assert (await put(old, attempts(raw, 2), "?confirm=600")).status == 200
                await until(lambda: running(new) == 2)
                new.generations.overdue()
                await until(lambda: (running(old), running(new)) == (3, 3))

    run(test())


def test_a_confirm_time_that_ran_out_between_two_processes_is_not_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as old:
            raw = await current(old)
            assert (await put(old, attempts(raw, 2), "?confirm=30")).status == 200
        clock = time.time
        monkeypatch.setattr(time, "time", lambda: clock() + 31)
        async with door_from(path, monkeypatch) as new:
            await until(lambda: running(new) == 4)
        monkeypatch.setattr(time, "time", clock)

    run(test())


def test_a_clock_set_back_does_not_lengthen_a_confirm_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as old:
            raw = await current(old)
            assert (await put(old, attempts(raw, 2), "?confirm=600")).status == 200
        clock = time.time
        monkeypatch.setattr(time, "time", lambda: clock() - 3600)
        async with door_from(path, monkeypatch) as new:
            timer = new.generations.timer
            assert running(new) == 2 and timer is not None
            assert timer.when() - new.generations.loop.time() < 601  # the loop rounds to milliseconds
        monkeypatch.setattr(time, "time", clock)

    run(test())


def test_a_second_process_with_a_newer_file_takes_that(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as old:
            raw = await current(old)
            assert (await put(old, attempts(raw, 2), "?confirm=0.1")).status == 200
            path.write_text(json.dumps(attempts(raw, 3)))
            async with door_from(path, monkeypatch) as new:
                assert running(new) == 3 and new.generations.confirm_by is None
                await until(lambda: running(old) == 4)  # the old one's put has run out, on the old file
                await asyncio.sleep(0.15)
                assert running(new) == 3  # and that does not concern the newer one

    run(test())


GARBAGE = [
    b"",
    b"{",
    b"[]",
    b"\xff\xfe",
    b'{"version": 2}',
    b'{"version": 1, "basis": "x", "generations": []}',
]


@pytest.mark.parametrize("garbage", GARBAGE)
def test_a_torn_state_file_is_not_used_and_the_start_goes_on(
    garbage: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        (tmp_path / "ivymux").mkdir()
        state = tmp_path / "ivymux" / "generations"
        state.write_bytes(garbage)
        assert read_kept(state) is None
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            assert door.generations.running.number == 1
            raw = await current(door)
            assert (await put(door, attempts(raw, 2))).status == 200
            kept = read_kept(state)
            assert kept is not None and kept.running.number == 2
            whole = state.read_bytes()
            for cut in range(0, len(whole), max(1, len(whole) // 40)):
                state.write_bytes(whole[:cut])
                assert read_kept(state) is None

    run(test())


def test_a_full_disk_refuses_the_put_whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with door_from(tmp_path / "config.json", monkeypatch, raw_config()) as door:
            raw, before = await current(door), in_force(door)

            def full(self: Path, text: str) -> int:
                raise OSError(28, "No space left on device")

            with monkeypatch.context() as patch:
                patch.setattr(Path, "write_text", full)
                assert (await put(door, attempts(raw, 2), "?confirm=9")).status == 422
                assert in_force(door) == before and door.generations.confirm_by is None
            assert (await put(door, attempts(raw, 2), "?confirm=9")).status == 200
            with monkeypatch.context() as patch:
                patch.setattr(Path, "write_text", full)
                assert (await exchange(door, "PUT", "/_configuration/confirm")).status == 500
            assert door.generations.confirm_by is not None
            assert not list((tmp_path / "ivymux").glob("generations-*"))

    run(test())


# --- what changes live ----------------------------------------------------------------------------------


def test_a_lower_limit_closes_idle_connections_and_no_open_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        backend, held = Backend(answer=lambda message: None), asyncio.Event()
        async with (
            listening(backend.handle) as dial,
            door_from(tmp_path / "config.json", monkeypatch, raw_config(dial)) as door,
        ):
            raw = await current(door)
            clients = [Client(door.server) for _ in range(20)]
            async with contextlib.AsyncExitStack() as stack:
                for client in clients:
                    await stack.enter_async_context(client)
                await until(lambda: len(door.server.clients) == 20)
                clients[0].writer.write(clients[0].request())
                await until(lambda: backend.seen)
                pools = door.host.upstream
                lower = json.loads(json.dumps(raw))
                lower["limits"]["sockets"] = 112  # 9 for clients
                assert (await put(door, lower)).status == 200
                assert door.server.most_clients == 9 and pools.most_open == 7
                await until(lambda: len(door.server.clients) == 9)
                busy = [c for c in door.server.clients if c.pending]
                assert len(busy) == 1 and not held.is_set()
                (link,) = next(iter(pools.pools.values())).links
                assert link.attempt is not None and link.transport is not None
                link.get_buffer(0)[:9] = b"HTTP/1.1 "
                answer = http_answer(body=b"done")
                link.get_buffer(0)[: len(answer)] = answer
                link.buffer_updated(len(answer))
                assert (await read_message(clients[0].reader)).status == 200

    run(test())


def test_a_lower_limit_lets_connections_to_alert_servers_go_as_they_come_free() -> None:
    async def test() -> None:
        backend = Backend()
        async with listening(backend.handle) as dial:
            door = FrontDoor(parse(json.dumps(raw_config(dial)), {}))
            await door.start()
            upstream = door.host.upstream
            async with Client(door.server) as client:
                assert (await client.ask()).status == 200
                (pool,) = upstream.pools.values()
                assert len(pool.idle) == 1
                link = pool.idle.pop()  # as one that is in use
                upstream.limit(0)
                assert upstream.open == 1
                pool.put(link)
                assert not pool.idle
                await until(lambda: upstream.open == 0)
            await door.close()

    run(test())


def test_the_counter_comes_goes_and_moves_with_calls_in_flight(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        silent, other, backend = Tally(reply=lambda n, parts: b""), Tally(), Backend()
        async with (
            listening(silent.handle) as first,
            listening(other.handle) as second,
            listening(backend.handle) as dial,
            door_from(tmp_path / "config.json", monkeypatch, raw_config(dial, counter=first)) as door,
        ):
            raw = await current(door)
            raw["settings"]["extra"]["counter_timeout_s"] = 0.5
            assert (await put(door, raw)).status == 200
            async with Client(door.server) as one, Client(door.server) as two:
                task = asyncio.create_task(one.ask())
                await until(lambda: silent.calls)
                moved = json.loads(json.dumps(raw)) | {"counter": second}
                assert (await put(door, moved)).status == 200
                assert (await task).status in (200, 503)
                assert (await two.ask()).status == 200
                await until(lambda: other.opened >= 4)
                # Without a counter at all: what waits for it is answered, and none is asked any more.
                other.reply = lambda n, parts: b""
                task = asyncio.create_task(two.ask())
                calls = len(other.calls)
                gone = json.loads(json.dumps(moved))
                gone["settings"]["extra"]["has_counter"] = "false"
                assert (await put(door, gone)).status == 200
                assert door.host.counter is None and not door.host.gateway.pace.may_call()
                assert (await task).status in (200, 503)
                assert len(other.calls) <= calls + 1
                assert (await put(door, moved)).status == 200
                assert door.host.counter is not None

    run(test())


def test_a_rollback_to_a_discovery_that_is_gone_serves_from_the_list_that_is_held(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        agent, backend = Agent(), Backend()
        line = json.dumps({"seq": 50, "whole": True, "hosts": [host_line("s-00000002", "")]})
        async with (
            listening(backend.handle) as dial,
            listening(agent.handle) as there,
            door_from(
                tmp_path / "config.json", monkeypatch, raw_config("127.0.0.1:9", "127.0.0.1:1")
            ) as door,
        ):
            agent.lines.append(line.replace('"dial": ""', f'"dial": "{dial}"').encode())
            raw = await current(door)
            assert (await put(door, raw | {"discovery": there})).status == 200
            await until(lambda: list(door.host.upstream.pools) == [2])
            assert (await exchange(door, "PUT", "/_configuration/rollback")).status == 200
            assert door.discovery.address == Address("127.0.0.1", 1)
            async with Client(door.server) as client:
                assert (await client.ask()).status == 200 and backend.seen

    run(test())


# --- all together -----------------------------------------------------------------------------------------


def test_reloads_and_rollbacks_under_traffic_answer_every_request_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path, backend = tmp_path / "config.json", Backend()
        raw = raw_config()
        raw["settings"]["tariffs"][0] |= {"quota_rate": 1e6, "peak_units": 1e6}
        async with listening(backend.handle) as dial:
            raw["known"]["hosts"] = [host_line("s-00000001", dial)]
            async with door_from(path, monkeypatch, raw) as door:
                stop, statuses = asyncio.Event(), list[int]()

                async def traffic() -> None:
                    async with Client(door.server) as client:
                        while not stop.is_set():
                            statuses.append((await client.ask()).status)

                base = json.loads(path.read_text())
                descriptors = len(os.listdir("/proc/self/fd"))
                tasks = [asyncio.create_task(traffic()) for _ in range(4)]
                await until(lambda: len(statuses) > 50)
                for round in range(100):
                    changed = attempts(base, 2 + round % 3)
                    changed["settings"]["caps"]["connect_timeout_s"] = 0.2 + round / 1000
                    path.write_text("{" if round % 10 == 9 else json.dumps(changed))
                    door.reload()
                    if round % 4 == 3:
                        assert door.generations.rollback(None, None)
                    await asyncio.sleep(0.002)
                    assert door.host.limits == door.host.gateway.settings.limits
                assert len(door.generations.earlier) + 1 == HISTORY
                stop.set()
                await asyncio.gather(*tasks)
                links = sum(len(pool.links) for pool in door.host.upstream.pools.values())
                assert links <= 4  # both ends of a connection are this process's, here
                assert len(os.listdir("/proc/self/fd")) <= descriptors + 2 * (links + 4)
                assert set(statuses) == {200}
                ids = [m.headers["request-id"] for m in backend.seen]
                assert len(ids) == len(set(ids)) == len(statuses)

    run(test())


def test_a_hundred_reloads_leave_memory_and_descriptors_as_they_were(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        async with door_from(path, monkeypatch, raw_config()) as door:
            base = json.loads(path.read_text())

            async def reloads(count: int) -> tuple[int, int]:
                for number in range(count):
                    path.write_text(json.dumps(attempts(base, 2 + number % 3)))
                    door.reload()
                await asyncio.sleep(0.05)
                gc.collect()
                return sys.getallocatedblocks(), len(os.listdir("/proc/self/fd"))

            blocks, descriptors = await reloads(50)  # the history is full by then
            later_blocks, later_descriptors = await reloads(100)
            assert later_blocks - blocks < 500 and later_descriptors <= descriptors

    logging.disable(logging.CRITICAL)  # pytest keeps what is logged
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
def test_any_sequence_of_changes_equals_a_fresh_start_with_what_is_in_force(
    tmp_path: Path, steps: list[tuple[str, Any]]
) -> None:
    async def test() -> None:
        text = config_text([host_line("s-00000001", "127.0.0.1:9")], "127.0.0.1:2", "127.0.0.1:1")
        door = FrontDoor(parse(text, {}))
        generations = door.generations
        generations.env = {}
        raw = json.loads(text)
        for kind, what in steps:
            before, number = in_force(door), generations.running.number
            try:
                if kind == "rollback":
                    generations.rollback(what or None, None)
                elif kind == "expire":
                    generations.overdue()
                else:
                    candidate = changed(json.loads(generations.config.text), *what)
                    config = check(json.dumps(candidate).encode(), {}, generations.config).config
                    if config is None:
                        raise ConfigError("refused")
                    generations.take(config, "put", 60.0 if kind == "trial" else 0.0)
            except (Refused, ConfigError):
                assert in_force(door) == before and generations.running.number == number
        fresh = FrontDoor(parse(generations.config.text.decode(), {}))
        assert in_force(door) == in_force(fresh)
        assert json.loads(generations.config.text)["seed"] == raw["seed"]
        await door.close()
        await fresh.close()

    run(test())
