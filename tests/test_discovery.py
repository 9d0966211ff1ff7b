"""The client of discovery: its watch, and the mapping of names to ids."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hazelspring.admission.interface import Listing, Members, State
from hazelspring.gateway import discovery
from hazelspring.gateway.config import Address, parse_address
from hazelspring.gateway.discovery import Discovery, MembersParser, backend_id

from .sockets import Agent, host_line, listening, run, until

Received = list[tuple[Members, dict[int, Address]]]


def change(seq: int, *hosts: Any, whole: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()


def start(dial: str, seq: int = 41, gateways: int = 1) -> tuple[Discovery, Received]:
    received: Received = []
    parser = MembersParser(("a", "b"), ("m1", "m2"))
    return Discovery(
        parse_address(dial), parser, seq, lambda *update: received.append(update), gateways, 10.0
    ), received


def test_names_map_to_the_same_ids_everywhere() -> None:
    assert backend_id("s-5be2a07c") == 0x5BE2A07C
    assert backend_id("worker-7") == backend_id("worker-7") != backend_id("worker-8")
    assert 0 <= backend_id("s-5BE2A07C") < 1 << 32


def test_lists_and_changes_are_passed_on() -> None:
    async def test() -> None:
        line = host_line("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
        agent = Agent([change(42, line, whole=True), b"", change(43, line | {"health": "Gone"})])
        async with listening(agent.handle) as dial:
            watch, received = start(dial)
            await until(lambda: len(received) == 2)
            assert agent.targets == ["/api/targets?watch=1&from=41"]
            assert [m.listing for m, _ in received] == [Listing.FULL, Listing.DELTA]
            (entry,) = received[0][0].entries
            assert (entry.backend, entry.zone, entry.kind, entry.cell) == (7, 1, 1, 3)
            assert (entry.started, entry.state) == (1764300000.25, State.READY)
            assert received[0][1] == {7: Address("127.0.0.1", 81)}
            assert received[1][0].entries[0].state is State.GONE
            watch.close()

    run(test())


@pytest.mark.parametrize(
    "bad",
    [b"{", b"[]", b'{"seq":1}', change(42, 7), change(42, {"host": "s-00000001"}), b"\xff\xfe"],
)
def test_bad_lines_are_skipped(bad: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        agent = Agent([bad, change(43, host_line("s-00000007", "127.0.0.1:81"))])
        async with listening(agent.handle) as dial:
            watch, received = start(dial)
            await until(lambda: received and received[-1][0].version == 43)
            assert [e.backend for m, _ in received for e in m.entries] == [7]
            assert len(agent.targets) == 1
            watch.close()

    run(test())
    assert "skipped" in caplog.text


@pytest.mark.parametrize(("health", "state"), [("Gone", State.GONE), ("Terminating", State.DRAINING)])
def test_an_incomplete_entry_still_reports_a_backend_as_draining_or_gone(health: str, state: State) -> None:
    parser = MembersParser(("a",), ("m2",))
    ready = {"host": "s-00000007", "dial": "127.0.0.1:81", "site": "a", "block": 3, "health": "Ready"}
    members, addresses = parser.parse_members({"seq": 1, "whole": True, "hosts": [ready]})
    assert [(e.backend, e.started, e.cell) for e in members.entries] == [(7, 0.0, 3)] and set(addresses) == {
        7
    }
    change = {"host": "s-00000007", "health": health}
    members, addresses = parser.parse_members({"seq": 2, "whole": False, "hosts": [change]})
    # Its cell (a rack) stays known: repeats of keyed requests that it may have run must stay in that cell.
    assert [(e.backend, e.state, e.cell) for e in members.entries] == [(7, state, 3)] and not addresses
    assert (7 in parser.hosts) == (state is not State.GONE)


@pytest.mark.parametrize(
    "malformed",
    [b'{"seq":1e999,"hosts":[]}', b"[" * 100_000, b'{"seq":1,"hosts":[7]}'],
    ids=["huge", "deep", "no entry"],
)
def test_malformed_lines_raise_no_error(malformed: bytes) -> None:
    async def test() -> None:
        watch, received = start("127.0.0.1:1")
        watch.handle_line(malformed)
        assert not [m for m, _ in received if m.entries]
        watch.close()

    run(test())


def test_an_ended_watch_is_resumed_after_the_last_change() -> None:
    async def test() -> None:
        agent = Agent([change(44), b"<end>"])
        async with listening(agent.handle) as dial:
            watch, received = start(dial)
            await until(lambda: len(agent.targets) == 2)
            assert agent.targets[1] == "/api/targets?watch=1&from=44"
            agent.lines.append(change(45))  # change 44, which is sent again, is not passed on again
            await until(lambda: received[-1][0].version == 45)
            assert [m.version for m, _ in received] == [44, 45]
            watch.close()

    run(test())


def test_a_moved_agent_is_watched_at_its_new_address_after_the_last_change() -> None:
    async def test() -> None:
        old, new = Agent([change(44)]), Agent([change(45)])
        async with listening(old.handle) as before, listening(new.handle) as after:
            watch, received = start(before)
            await until(lambda: received)
            watch.move(parse_address(after))
            await until(lambda: len(received) == 2)
            assert new.targets == ["/api/targets?watch=1&from=44"]
            assert [m.version for m, _ in received] == [44, 45]
            watch.close()

    run(test())


def test_a_silent_watch_is_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that vanished leaves its connections open.  If a drain is lost with the first watch, the
    next watch must have reported it within 6 s of the drain.  Two empty lines may be late before the first
    watch is abandoned.
    """
    assert 4.0 < discovery.SILENCE_TIMEOUT <= 6.0 - discovery.CONNECT_TIMEOUT
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT", 0.1)

    async def test() -> None:
        agent = Agent()
        async with listening(agent.handle) as dial:
            watch, _ = start(dial)
            await until(lambda: len(agent.targets) == 2)
            watch.close()

    run(test())


@pytest.mark.parametrize(("gateways", "last"), [(1, 0.5), (2, 1.0), (40, 20.0), (400, 20.0)])
def test_the_backoff_after_refusals_grows_with_the_number_of_gateways(
    gateways: int, last: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An overloaded discovery refuses late; the time until the refusal must not reset the backoff."""
    monkeypatch.setattr(discovery, "HEALTHY_AFTER", 0.0)
    bounds: list[float] = []

    def jittered(bound: float) -> float:
        bounds.append(bound)
        return 0.0

    monkeypatch.setattr(discovery, "jittered", jittered)

    async def refuse(reader: Any, writer: Any) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        await reader.read()

    async def test() -> None:
        async with listening(refuse) as dial:
            watch, _ = start(dial, gateways=gateways)
            await until(lambda: len(bounds) > 5)
            watch.close()

    run(test())
    assert bounds[:6] == sorted(bounds[:6]) and bounds[4:6] == [last, last]


def test_gateways_that_start_together_spread_their_first_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """A gateway with a list delays its call; one without a list, or whose agent has moved, does not."""
    waits: list[float] = []

    def jittered(bound: float) -> float:
        waits.append(bound)
        return 0.0

    monkeypatch.setattr(discovery, "jittered", jittered)

    async def test() -> None:
        agent = Agent([change(42, host_line("s-00000007", "127.0.0.1:81"), whole=True)])
        async with listening(agent.handle) as dial:
            parser = MembersParser(("a", "b"), ("m1", "m2"))
            without = Discovery(parse_address(dial), parser, 41, lambda *_: None, 40, 10.0)
            await until(lambda: parser.entries)
            assert not waits
            with_list = Discovery(parse_address(dial), parser, 42, lambda *_: None, 40, 10.0)
            await until(lambda: len(agent.targets) == 2)
            assert waits == [4.0]
            with_list.move(parse_address(dial))
            await until(lambda: len(agent.targets) == 3)
            assert waits == [4.0]
            for gateways, wait in (
                (400, [5.0]),
                (1, []),
            ):  # in time for the rule on drains; no delay where changes are pushed
                waits.clear()
                agent.targets.clear()
                other = Discovery(parse_address(dial), parser, 42, lambda *_: None, gateways, 10.0)
                await until(lambda: agent.targets)
                assert waits == wait
                other.close()
            without.close()
            with_list.close()

    run(test())


def test_a_line_that_is_too_long_ends_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_LINE", 1000)

    async def test() -> None:
        async def endless(reader: Any, writer: Any) -> None:
            await reader.readuntil(b"\r\n\r\n")
            agent.targets.append("")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 2048 + b"\r\n"
            )
            await reader.read()

        agent = Agent()
        async with listening(endless) as dial:
            watch, received = start(dial)
            await until(lambda: len(agent.targets) == 2)
            assert not received
            watch.close()

    run(test())


def test_a_second_name_with_the_same_id_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "backend_id", lambda name: 7)
    hosts = [host_line("one", "127.0.0.1:81"), host_line("two", "127.0.0.1:82")]
    members, addresses = MembersParser(("a",), ("m2",)).parse_members(
        {"seq": 1, "whole": True, "hosts": hosts}
    )
    assert len(members.entries) == 1 and addresses == {7: Address("127.0.0.1", 81)}
