"""Nodes are cut off or stopped for twenty seconds while changes are settled at the other nodes.

All their answers are checked by the rules of `History`, also those of the first milliseconds.  The cases run
concurrently, each with its own processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from hazelspring.consensus.acceptor import load_acceptor
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns
from hazelspring.storage.replica_store import ReplicaStore

from .call_history import CLOSE, KEYED, OPEN, PUT, READ, STATUS, Call, History
from .control_invariants import Disk, check_history, check_replication

CUT_TIME = 20.0  # seconds
REVOCATION, EVACUATION = 5.0, 5.0  # seconds: the users' `revocationMs` and `evacuationMs`
CALL_TIMEOUT = 6.0  # seconds: twice as long as a node keeps a change pending
SETTLE_TIMEOUT = 30.0  # seconds for an expected state that is reached at once unless there is a fault
HURRY_TIME = 0.5  # seconds after the cut in which each caller calls without a pause
# the first is closed before the cut and reopened during it, the second is closed during it
REOPENED_ZONE, CLOSED_ZONE = "south-1", "south-2"
# the number of nodes with a disk; the unreachable nodes, of which node 3 has no disk; the reachable nodes
CORE, UNREACHABLE, REACHABLE = 3, (1, 3), (0, 2)


class Case:
    """One fleet whose `UNREACHABLE` nodes are stopped or cut off.

    `ways`: `stopped`, or the direction in which they are cut off: `both`, `in` (receive nothing) or `out`.
    """

    def __init__(self, folder: Path, nth: int, ways: str, *options: str) -> None:
        self.ways = ways
        settings = {"timingTerms.ruleBounds.revocationMs": str(int(REVOCATION * 1000))}
        program = ("-m", "tests.cut_node", *options, "serve")
        self.fleet = LocalFleet(folder, CORE, 1, 2, program, settings=settings, nth=nth)
        self.background = BackgroundStandIns(StandIns(self.fleet.platform, self.fleet.servers))
        self.history = History(REVOCATION, EVACUATION)
        self.numbers, self.ids = itertools.count(13), itertools.count()
        self.is_cut, self.without_pauses, self.tasks = False, False, set[asyncio.Task[None]]()

    # Calls

    async def call(self, call: Call, method: str, path: str, port: int, *headers: str) -> Call:
        """Send a call and read its answer, if one arrives within CALL_TIMEOUT."""
        ip = self.fleet.ips[call.node]
        call.unreachable = self.is_cut and call.node in UNREACHABLE
        with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CALL_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    ip, port, local_addr=(f"{self.fleet.net}.250", 0)
                )
                try:
                    lines = (
                        f"{method} {path} HTTP/1.1",
                        f"Content-Length: {len(call.body)}",
                        *headers,
                        "",
                        "",
                    )
                    call.sent = time.monotonic()
                    self.history.calls.append(call)
                    writer.write("\r\n".join(lines).encode() + call.body)
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                    call.answer = await reader.readexactly(
                        int(head.partition("content-length:")[2].split()[0])
                    )
                    call.ended, call.status = time.monotonic(), int(head.split()[1])
                finally:
                    writer.transport.abort()
        if call.kind == READ and call.status == 200:
            call.number = int(json.loads(call.answer)["versionNumber"][1:])
        return call

    async def api_call(
        self, kind: str, node: int, number: int = -1, body: bytes = b"", zone: str = ""
    ) -> Call:
        method = {PUT: "PUT", READ: "GET", STATUS: "GET", CLOSE: "POST", OPEN: "DELETE"}[kind]
        path = {PUT: "/-/configuration", READ: "/-/configuration", STATUS: "/-/status"}.get(
            kind, f"/-/evacuation/{zone}"
        )
        call = Call(kind, node, time.monotonic(), body, number, zone)
        return await self.call(call, method, path, self.fleet.control, "Host: node")

    async def put(
        self, node: int, number: int | None = None, timeout_ms: int = 4000, key: str = "new-key"
    ) -> Call:
        number = next(self.numbers) if number is None else number
        return await self.api_call(PUT, node, number, configuration(number, timeout_ms, (KEY, key)))

    async def keyed_request(self, node: int, key: str) -> Call:
        id_ = f"{self.ways}-{next(self.ids)}"
        headers = ("Host: shop.example", f"X-Hazelspring-Attempt-Id: {id_}", f"Authorization: Bearer {key}")
        call = Call(KEYED, node, time.monotonic(), key=key)
        left = "X-Hazelspring-Remaining-Milliseconds: 1500"
        return await self.call(call, "GET", f"/read/{id_}", self.fleet.front, *headers, left)

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(SETTLE_TIMEOUT):
            while not await condition():
                await asyncio.sleep(0.05)

    async def until_settled(self, make: Callable[[], Awaitable[Call]]) -> Call:
        """Repeat a call until its outcome is clear; wait until earlier attempts can no longer take effect."""
        attempts = list[Call]()

        async def ended() -> bool:
            attempts.append(await make())
            return attempts[-1].status in (200, 409)

        await self.wait_until(ended)
        if len(attempts) > 1:
            await asyncio.sleep(CALL_TIMEOUT / 2)
        return attempts[-1]

    def repeat(self, make: Callable[[], Awaitable[Call]], pause: float) -> None:
        """Repeat a call in the background until the case ends."""

        async def run() -> None:
            while True:
                await make()
                await asyncio.sleep(0.0 if self.without_pauses else pause)

        task = asyncio.create_task(run())
        self.tasks.add(task)

    # Steps of a case

    async def play(self, reconnects: bool = True) -> None:
        """Run the case; raises TimeoutError if an expected state is not reached.

        `reconnects`: whether the nodes are connected again at the end.
        """
        try:
            await self.begin()
            await self.disconnect()
            self.repeat_reads()
            back = time.monotonic() + CUT_TIME
            await self.send_changes(back)
            await asyncio.sleep(max(0.0, back - time.monotonic()))
            if reconnects:
                self.reconnect()
                await self.catch_up()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def begin(self) -> None:
        """Start all nodes; wait until they accept the key `old-key` and know that a zone is evacuated."""
        self.fleet.start_all(first=True)
        await self.until_settled(lambda: self.put(0, 10, key="old-key"))
        await self.until_settled(lambda: self.api_call(CLOSE, 0, zone=REOPENED_ZONE))
        for n in (*REACHABLE, *UNREACHABLE):
            await self.wait_until(lambda n=n: self.accepts_key(n, "old-key"))  # type: ignore[misc]
            await self.wait_until(lambda n=n: self.shows(n, {REOPENED_ZONE}))  # type: ignore[misc]

    async def accepts_key(self, node: int, key: str) -> bool:
        return (await self.keyed_request(node, key)).status == 200

    async def shows(self, node: int, zones: set[str]) -> bool:
        status = await self.api_call(STATUS, node)
        return status.status == 200 and set(json.loads(status.answer)["closedZones"]) == zones

    async def disconnect(self) -> None:
        self.is_cut = True
        for n in range(len(self.fleet.ips)):
            if self.ways == "stopped":
                break
            dropped = [
                self.fleet.ips[other]
                for other in range(len(self.fleet.ips))
                if other != n
                and (
                    (n in UNREACHABLE and self.ways != "out") or (other in UNREACHABLE and self.ways != "in")
                )
            ]
            path = self.fleet.folder / f"node-{n + 1}.cut"
            path.with_suffix(".new").write_text("".join(f"{ip}\n" for ip in dropped))
            path.with_suffix(".new").rename(path)
        for n in UNREACHABLE if self.ways == "stopped" else ():
            self.fleet.processes[n].send_signal(signal.SIGSTOP)

    def reconnect(self) -> None:
        # callers whose calls are pending at a stopped node get their answers, and call again at once
        self.without_pauses = True
        for path in self.fleet.folder.glob("*.cut"):
            path.unlink()
        for n in UNREACHABLE if self.ways == "stopped" else ():
            self.fleet.processes[n].send_signal(signal.SIGCONT)
        self.is_cut = False

    def repeat_reads(self) -> None:
        """Repeat reads and requests with keys at all nodes, and status calls at the reachable nodes."""
        for n in (*REACHABLE, *UNREACHABLE):
            self.repeat(lambda n=n: self.api_call(READ, n), 0.2)  # type: ignore[misc]
            for key in (KEY, "old-key", "new-key"):
                self.repeat(lambda n=n, key=key: self.keyed_request(n, key), 0.3)  # type: ignore[misc]
        for n in REACHABLE:
            self.repeat(lambda n=n: self.api_call(STATUS, n), 0.4)  # type: ignore[misc]

    async def send_changes(self, until: float) -> None:
        """Send changes to the reachable nodes, then changes of all kinds to the others, too."""
        one, two = REACHABLE
        self.history.change_sent = time.monotonic()
        key_change = await self.until_settled(lambda: self.put(one, 11))
        self.history.change_confirmed = key_change.ended
        await self.until_settled(lambda: self.api_call(OPEN, two, zone=REOPENED_ZONE))
        await self.until_settled(lambda: self.api_call(CLOSE, one, zone=CLOSED_ZONE))
        conflicting = await asyncio.gather(
            self.until_settled(lambda: self.put(one, 12)),
            self.until_settled(lambda: self.put(two, 12, 3999)),
        )
        assert sorted(call.status for call in conflicting) == [200, 409], conflicting
        for n in UNREACHABLE:
            for timeout_ms in (4000, 3999, 3998):
                self.repeat(lambda n=n, ms=timeout_ms: self.put(n, 12, ms), 0.1)  # type: ignore[misc]
            self.repeat(lambda n=n: self.put(n, 11), 0.1)  # type: ignore[misc]
            self.repeat(lambda n=n: self.put(n), 0.1)  # type: ignore[misc]
            self.repeat(lambda n=n: self.api_call(CLOSE, n, zone=REOPENED_ZONE), 0.1)  # type: ignore[misc]
            self.repeat(lambda n=n: self.api_call(OPEN, n, zone=CLOSED_ZONE), 0.1)  # type: ignore[misc]
        while time.monotonic() < until - 1.0:
            await self.until_settled(lambda: self.put(one))
            await asyncio.sleep(0.5)

    async def catch_up(self) -> None:
        """Wait until the unreachable nodes serve again and all nodes show the confirmed changes."""
        for n in UNREACHABLE:
            await self.wait_until(lambda n=n: self.accepts_key(n, "new-key"))  # type: ignore[misc]
        await asyncio.sleep(HURRY_TIME)
        for task in self.tasks:
            task.cancel()
        for n in UNREACHABLE:
            assert (await self.until_settled(lambda n=n: self.put(n))).status == 200  # type: ignore[misc]
        for n in (*REACHABLE, *UNREACHABLE):
            await self.until_settled(lambda n=n: self.api_call(READ, n))  # type: ignore[misc]
        for n in (*REACHABLE, *UNREACHABLE):
            await self.wait_until(lambda n=n: self.shows_confirmed(n))  # type: ignore[misc]

    async def shows_confirmed(self, node: int) -> bool:
        """Whether a node shows each confirmed change that no other confirmed change reverses.

        A change whose outcome is unclear may be in effect or not.
        """
        status = await self.api_call(STATUS, node)
        if status.status != 200:
            return False
        good, closed = self.history.successful(CLOSE, OPEN), json.loads(status.answer)["closedZones"]
        closes = any(
            c.kind == CLOSE and c.zone == REOPENED_ZONE and c.sent > self.history.change_confirmed
            for c in good
        )
        opens = any(c.kind == OPEN and c.zone == CLOSED_ZONE for c in good)
        return not (closes and REOPENED_ZONE not in closed) and not (opens and CLOSED_ZONE in closed)

    def check_disks(self) -> str:
        """Check that a majority of the disks has the newest state; returns the fault, or an empty string."""
        disks = dict[str, Disk]()
        for n in self.fleet.disks:
            self.fleet.kill(n)
            register = load_acceptor(ReplicaStore(str(self.fleet.folder / f"node-{n + 1}")).load(), 0, False)
            states = tuple(pair[1] for pair in (register.accepted, register.decided) if pair is not None)
            disks[self.fleet.ips[n]] = (register.disk_id, register.may_bootstrap, states)
        decided = [states[-1] for _, _, states in disks.values()]
        newest = max(decided, key=lambda state: state.version)
        return check_history([s for s in decided if s.version == newest.version]) or check_replication(
            newest, disks, 0
        )

    def close(self) -> None:
        self.fleet.close()
        self.background.close()


def test_each_rule_of_a_history_is_reported_when_it_is_broken() -> None:
    history = History(REVOCATION, EVACUATION, change_confirmed=11.0, change_sent=10.0)

    def record(kind: str, sent: float, ended: float, status: int = 200, **more: Any) -> None:
        history.calls.append(Call(kind, 0, sent, ended=ended, status=status, **more))

    record(PUT, 0, 1, number=1, body=b"a")
    record(READ, 1.5, 2, number=1, answer=b"a")
    record(PUT, 3, 4, number=2, body=b"b")
    record(READ, 3.5, 5, number=1, answer=b"a")  # sent before r2 was confirmed
    record(CLOSE, 1, 2, zone="one")
    record(STATUS, 6, 7, answer=b'{"closedZones": []}')  # within `evacuation` seconds
    record(KEYED, 15, 18, key="old-key")
    record(KEYED, 15, 18, 401, key="new-key")
    assert history.violations() == []
    record(READ, 4.5, 5, number=1, answer=b"a")
    record(PUT, 5, 6, number=2, body=b"c")
    record(PUT, 6, 7, 409, number=2, body=b"b")
    record(PUT, 6, 7, 409, number=9, body=b"z")
    record(PUT, 6, 7, 400, number=10, body=b"z")
    record(STATUS, 8, 9, answer=b'{"closedZones": []}')
    record(KEYED, 17, 18, key="old-key")
    record(KEYED, 17, 18, 401, key="new-key")
    record(KEYED, 5, 6, key="new-key")
    record(KEYED, 5, 6, 401, key=KEY)
    assert [violation.partition(":")[0] for violation in history.violations()] == [
        "unexpected status",
        "a read shows r1 after a newer one was confirmed",
        "another body was shown or confirmed",
        "refused, but its body is in force",
        "refused, but no call sent another body",
        "confirmed, but not in effect",
        "a removed key was accepted too late",
        "a key that is in force was refused",
        "a key was accepted before it was added",
        "a key that is in force was refused",
    ]


CASES = ("stopped", "both", "in", "out")


@pytest.fixture(scope="module")
def results(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[dict[str, tuple[Case, list[str] | BaseException]]]:
    """Each case with its violations of rules, or with the error that ended it early."""
    cases = {ways: Case(tmp_path_factory.mktemp("fleet"), nth, ways) for nth, ways in enumerate(CASES)}
    cases["unconfirmed"] = Case(tmp_path_factory.mktemp("fleet"), len(CASES), "both", "--skip-confirmation")

    async def play() -> list[BaseException | None]:
        plays = (case.play(reconnects=name != "unconfirmed") for name, case in cases.items())
        return await asyncio.gather(*plays, return_exceptions=True)

    try:
        ends = zip(cases.items(), asyncio.run(play()), strict=True)
        yield {name: (case, end or case.history.violations()) for (name, case), end in ends}
    finally:
        for case in cases.values():
            case.close()


@pytest.mark.parametrize("ways", CASES)
def test_nodes_unreachable_for_twenty_seconds_answer_nothing_outdated_and_confirm_nothing_alone(
    results: dict[str, tuple[Case, list[str] | BaseException]], ways: str
) -> None:
    case, found = results[ways]
    assert found == []
    assert case.check_disks() == ""
    asked = Counter(call.kind for call in case.history.calls if call.unreachable)
    assert min(asked[kind] for kind in (PUT, READ, CLOSE, OPEN, KEYED)) >= 4, asked


def test_outdated_answers_of_nodes_that_skip_the_confirmation_are_detected(
    results: dict[str, tuple[Case, list[str] | BaseException]],
) -> None:
    _, found = results["unconfirmed"]
    assert isinstance(found, list)
    for rule in ("a read shows", "confirmed, but not in effect", "a removed key was accepted too late"):
        assert any(violation.startswith(rule) for violation in found), found
