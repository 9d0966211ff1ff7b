"""Nodes cut off or stopped for twenty seconds while changes are settled at the others: their answers, from the first
milliseconds on, are all checked by the rules.  The cases run concurrently, each with processes of its own."""

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

from .control_rules import Disk, chain, copies
from .cut_history import CLOSE, KEYED, OPEN, PUT, READ, STATUS, Call, History

CUT = 20.0  # seconds
REVOCATION, EVACUATION = 5.0, 5.0  # seconds: the users' `revocationMs` and `evacuationMs`
PATIENCE = 6.0  # seconds that a caller waits: twice as long as a node keeps a change pending
SETTLED = 30.0  # seconds for what ends at once where nothing is wrong
HURRY_SECONDS = 0.5  # seconds after the cut in which each caller calls without a pause
REOPENED_ZONE, CLOSED_ZONE = "south-1", "south-2"  # closed before the cut and open again in it; closed in it
CORE, UNREACHABLE, REACHABLE = (
    3,
    (1, 3),
    (0, 2),
)  # nodes with a disk; unreachable ones, one without; the others


class Case:
    """One fleet whose nodes `UNREACHABLE` are stopped, or cut off both ways, or only in what they receive or send."""

    def __init__(self, folder: Path, nth: int, ways: str, *options: str) -> None:
        self.ways = ways
        settings = {"timingTerms.ruleBounds.revocationMs": str(int(REVOCATION * 1000))}
        program = ("-m", "tests.cut_node", *options, "serve")
        self.fleet = LocalFleet(folder, CORE, 1, 2, program, settings=settings, nth=nth)
        self.background = BackgroundStandIns(StandIns(self.fleet.platform, self.fleet.servers))
        self.history = History(REVOCATION, EVACUATION)
        self.numbers, self.ids = itertools.count(13), itertools.count()
        self.is_cut, self.hurried, self.tasks = False, False, set[asyncio.Task[None]]()

    # Calls

    async def call(self, call: Call, method: str, path: str, port: int, *headers: str) -> Call:
        """Send it and read its answer, if one arrives in time."""
        ip = self.fleet.ips[call.node]
        call.away = self.is_cut and call.node in UNREACHABLE
        with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PATIENCE):
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
        if call.what == READ and call.status == 200:
            call.number = int(json.loads(call.answer)["versionNumber"][1:])
        return call

    async def order(self, what: str, node: int, number: int = -1, body: bytes = b"", zone: str = "") -> Call:
        method = {PUT: "PUT", READ: "GET", STATUS: "GET", CLOSE: "POST", OPEN: "DELETE"}[what]
        path = {PUT: "/-/configuration", READ: "/-/configuration", STATUS: "/-/status"}.get(
            what, f"/-/evacuation/{zone}"
        )
        call = Call(what, node, time.monotonic(), body, number, zone)
        return await self.call(call, method, path, self.fleet.control, "Host: node")

    async def put(
        self, node: int, number: int | None = None, timeout_ms: int = 4000, key: str = "coming"
    ) -> Call:
        number = next(self.numbers) if number is None else number
        return await self.order(PUT, node, number, configuration(number, timeout_ms, (KEY, key)))

    async def ask(self, node: int, key: str) -> Call:
        id_ = f"{self.ways}-{next(self.ids)}"
        headers = ("Host: shop.example", f"X-Hazelspring-Attempt-Id: {id_}", f"Authorization: Bearer {key}")
        call = Call(KEYED, node, time.monotonic(), key=key)
        left = "X-Hazelspring-Remaining-Milliseconds: 1500"
        return await self.call(call, "GET", f"/read/{id_}", self.fleet.front, *headers, left)

    async def until(self, what: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(SETTLED):
            while not await what():
                await asyncio.sleep(0.05)

    async def settle(self, make: Callable[[], Awaitable[Call]]) -> Call:
        """Send a change until its outcome is clear; one that was sent before has ended by then."""
        tries = list[Call]()

        async def ended() -> bool:
            tries.append(await make())
            return tries[-1].status in (200, 409)

        await self.until(ended)
        if len(tries) > 1:
            await asyncio.sleep(PATIENCE / 2)
        return tries[-1]

    def keep(self, make: Callable[[], Awaitable[Call]], pause: float) -> None:
        """Send such calls one after the other to the end."""

        async def run() -> None:
            while True:
                await make()
                await asyncio.sleep(0.0 if self.hurried else pause)

        task = asyncio.create_task(run())
        self.tasks.add(task)

    # What happens

    async def play(self, whole: bool = True) -> None:
        """Run until the nodes are connected again, or only until they would be; raises TimeoutError where an expected
        state is not reached."""
        try:
            await self.begin()
            await self.disconnect()
            self.keep_asking()
            back = time.monotonic() + CUT
            await self.send_changes(back)
            await asyncio.sleep(max(0.0, back - time.monotonic()))
            if whole:
                self.reconnect()
                await self.catch_up()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def begin(self) -> None:
        """All nodes run, accept the key `leaving`, and know that a zone is evacuated."""
        self.fleet.start_all(first=True)
        await self.settle(lambda: self.put(0, 10, key="leaving"))
        await self.settle(lambda: self.order(CLOSE, 0, zone=REOPENED_ZONE))
        for n in (*REACHABLE, *UNREACHABLE):
            await self.until(lambda n=n: self.serves(n, "leaving"))  # type: ignore[misc]
            await self.until(lambda n=n: self.shows(n, {REOPENED_ZONE}))  # type: ignore[misc]

    async def serves(self, node: int, key: str) -> bool:
        return (await self.ask(node, key)).status == 200

    async def shows(self, node: int, zones: set[str]) -> bool:
        status = await self.order(STATUS, node)
        return status.status == 200 and set(json.loads(status.answer)["closedZones"]) == zones

    async def disconnect(self) -> None:
        self.is_cut = True
        for n in range(len(self.fleet.ips)):
            if self.ways == "stopped":
                break
            unheard = [
                self.fleet.ips[other]
                for other in range(len(self.fleet.ips))
                if other != n
                and (
                    (n in UNREACHABLE and self.ways != "out") or (other in UNREACHABLE and self.ways != "in")
                )
            ]
            path = self.fleet.folder / f"node-{n + 1}.cut"
            path.with_suffix(".new").write_text("".join(f"{ip}\n" for ip in unheard))
            path.with_suffix(".new").rename(path)
        for n in UNREACHABLE if self.ways == "stopped" else ():
            self.fleet.processes[n].send_signal(signal.SIGSTOP)

    def reconnect(self) -> None:
        self.hurried = (
            True  # callers whose calls wait at a stopped node get their answers, and call again at once
        )
        for path in self.fleet.folder.glob("*.cut"):
            path.unlink()
        for n in UNREACHABLE if self.ways == "stopped" else ():
            self.fleet.processes[n].send_signal(signal.SIGCONT)
        self.is_cut = False

    def keep_asking(self) -> None:
        """Reads and keyed requests at all nodes, and the evacuated zones by the reachable ones."""
        for n in (*REACHABLE, *UNREACHABLE):
            self.keep(lambda n=n: self.order(READ, n), 0.2)  # type: ignore[misc]
            for key in (KEY, "leaving", "coming"):
                self.keep(lambda n=n, key=key: self.ask(n, key), 0.3)  # type: ignore[misc]
        for n in REACHABLE:
            self.keep(lambda n=n: self.order(STATUS, n), 0.4)  # type: ignore[misc]

    async def send_changes(self, until: float) -> None:
        """Changes at the reachable nodes, each confirmed; then at the others, too, all kinds."""
        one, two = REACHABLE
        self.history.offered = time.monotonic()
        moved = await self.settle(lambda: self.put(one, 11))
        self.history.leaving = moved.ended
        await self.settle(lambda: self.order(OPEN, two, zone=REOPENED_ZONE))
        await self.settle(lambda: self.order(CLOSE, one, zone=CLOSED_ZONE))
        twins = await asyncio.gather(
            self.settle(lambda: self.put(one, 12)), self.settle(lambda: self.put(two, 12, 3999))
        )
        assert sorted(twin.status for twin in twins) == [200, 409], twins
        for n in UNREACHABLE:
            for timeout_ms in (4000, 3999, 3998):
                self.keep(lambda n=n, ms=timeout_ms: self.put(n, 12, ms), 0.1)  # type: ignore[misc]
            self.keep(lambda n=n: self.put(n, 11), 0.1)  # type: ignore[misc]
            self.keep(lambda n=n: self.put(n), 0.1)  # type: ignore[misc]
            self.keep(lambda n=n: self.order(CLOSE, n, zone=REOPENED_ZONE), 0.1)  # type: ignore[misc]
            self.keep(lambda n=n: self.order(OPEN, n, zone=CLOSED_ZONE), 0.1)  # type: ignore[misc]
        while time.monotonic() < until - 1.0:
            await self.settle(lambda: self.put(one))
            await asyncio.sleep(0.5)

    async def catch_up(self) -> None:
        """The unreachable nodes serve again, and all nodes come to show what was confirmed."""
        for n in UNREACHABLE:
            await self.until(lambda n=n: self.serves(n, "coming"))  # type: ignore[misc]
        await asyncio.sleep(HURRY_SECONDS)
        for task in self.tasks:
            task.cancel()
        for n in UNREACHABLE:
            assert (await self.settle(lambda n=n: self.put(n))).status == 200  # type: ignore[misc]
        for n in (*REACHABLE, *UNREACHABLE):
            await self.settle(lambda n=n: self.order(READ, n))  # type: ignore[misc]
        for n in (*REACHABLE, *UNREACHABLE):
            await self.until(lambda n=n: self.shows_confirmed(n))  # type: ignore[misc]

    async def shows_confirmed(self, node: int) -> bool:
        """Whether a node shows each confirmed change that none contradicts; an unclear one may hold or not."""
        status = await self.order(STATUS, node)
        if status.status != 200:
            return False
        good, closed = self.history.good(CLOSE, OPEN), json.loads(status.answer)["closedZones"]
        closes = any(
            c.what == CLOSE and c.zone == REOPENED_ZONE and c.sent > self.history.leaving for c in good
        )
        opens = any(c.what == OPEN and c.zone == CLOSED_ZONE for c in good)
        return not (closes and REOPENED_ZONE not in closed) and not (opens and CLOSED_ZONE in closed)

    def disks(self) -> str:
        """What is wrong with the disks in the end: the newest state is on a majority of them."""
        held = dict[str, Disk]()
        for n in self.fleet.disks:
            self.fleet.kill(n)
            register = load_acceptor(ReplicaStore(str(self.fleet.folder / f"node-{n + 1}")).load(), 0, False)
            states = tuple(pair[1] for pair in (register.accepted, register.decided) if pair is not None)
            held[self.fleet.ips[n]] = (register.disk_id, register.may_bootstrap, states)
        decided = [states[-1] for _, _, states in held.values()]
        newest = max(decided, key=lambda state: state.version)
        return chain([s for s in decided if s.version == newest.version]) or copies(newest, held, 0)

    def close(self) -> None:
        self.fleet.close()
        self.background.close()


def test_each_rule_of_a_history_is_reported_when_it_is_broken() -> None:
    history = History(REVOCATION, EVACUATION, leaving=11.0, offered=10.0)

    def record(what: str, sent: float, ended: float, status: int = 200, **more: Any) -> None:
        history.calls.append(Call(what, 0, sent, ended=ended, status=status, **more))

    record(PUT, 0, 1, number=1, body=b"a")
    record(READ, 1.5, 2, number=1, answer=b"a")
    record(PUT, 3, 4, number=2, body=b"b")
    record(READ, 3.5, 5, number=1, answer=b"a")  # sent before r2 was confirmed
    record(CLOSE, 1, 2, zone="one")
    record(STATUS, 6, 7, answer=b'{"closedZones": []}')  # not late yet
    record(KEYED, 15, 18, key="leaving")
    record(KEYED, 15, 18, 401, key="coming")
    assert history.judge() == []
    record(READ, 4.5, 5, number=1, answer=b"a")
    record(PUT, 5, 6, number=2, body=b"c")
    record(PUT, 6, 7, 409, number=2, body=b"b")
    record(PUT, 6, 7, 409, number=9, body=b"z")
    record(PUT, 6, 7, 400, number=10, body=b"z")
    record(STATUS, 8, 9, answer=b'{"closedZones": []}')
    record(KEYED, 17, 18, key="leaving")
    record(KEYED, 17, 18, 401, key="coming")
    record(KEYED, 5, 6, key="coming")
    record(KEYED, 5, 6, 401, key=KEY)
    assert [violation.partition(":")[0] for violation in history.judge()] == [
        "unexpected status",
        "a read shows r1 after a newer one was confirmed",
        "another body was shown or confirmed",
        "refused, and in force",
        "refused, and there is no other body",
        "confirmed, and not so",
        "a removed key was accepted",
        "a key refused that is in force",
        "a key was accepted that was never in force",
        "a key refused that is in force",
    ]


CASES = ("stopped", "both", "in", "out")


@pytest.fixture(scope="module")
def played(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[dict[str, tuple[Case, list[str] | BaseException]]]:
    """Each case, and what broke a rule in it, or kept it from its end."""
    cases = {ways: Case(tmp_path_factory.mktemp("fleet"), nth, ways) for nth, ways in enumerate(CASES)}
    cases["unconfirmed"] = Case(tmp_path_factory.mktemp("fleet"), len(CASES), "both", "--skip-confirmation")

    async def play() -> list[BaseException | None]:
        plays = (case.play(whole=name != "unconfirmed") for name, case in cases.items())
        return await asyncio.gather(*plays, return_exceptions=True)

    try:
        ends = zip(cases.items(), asyncio.run(play()), strict=True)
        yield {name: (case, end or case.history.judge()) for (name, case), end in ends}
    finally:
        for case in cases.values():
            case.close()


@pytest.mark.parametrize("ways", CASES)
def test_nodes_unreachable_for_twenty_seconds_answer_nothing_outdated_and_confirm_nothing_alone(
    played: dict[str, tuple[Case, list[str] | BaseException]], ways: str
) -> None:
    case, found = played[ways]
    assert found == []
    assert case.disks() == ""
    asked = Counter(call.what for call in case.history.calls if call.away)
    assert min(asked[what] for what in (PUT, READ, CLOSE, OPEN, KEYED)) >= 4, asked


def test_nodes_that_skip_the_confirmation_are_caught(
    played: dict[str, tuple[Case, list[str] | BaseException]],
) -> None:
    _, found = played["unconfirmed"]
    assert isinstance(found, list)
    for fault in ("a read shows", "confirmed, and not so", "a removed key was accepted"):
        assert any(violation.startswith(fault) for violation in found), found
