"""The client listener between hostile servers and clients.

`python -m tests.test_client_listener_stress 1 9` plays more.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest
import uvloop

from hazelspring.admission.interface import Outcome
from hazelspring.configuration.model import parse_configuration
from hazelspring.daemon import client_listener
from hazelspring.daemon.client_listener import ClientConnection, ClientListener, RouterHost
from hazelspring.daemon.upstream_servers import UpstreamConnection, UpstreamServers
from hazelspring.gateway.caller import Client, Exchange
from hazelspring.gateway.config import Address, parse_address
from hazelspring.gateway.link import Link
from hazelspring.gateway.metrics import Counts
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditsGranted
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import TimerTick
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import SharedLimits

from .hostile_clients import KEY, TENANT, Crowd
from .hostile_servers import Hostile
from .ledger import Ledger

T = TypeVar("T")
SERVERS, CLIENTS, VISITS = 6, 100, 5
TIMES = {"read_only": 500, "mutating": 450, "upload": 900}  # ms
REST = 10.0  # seconds in which all that is under way has ended, far beyond the longest silence
RESTART = 0.4  # seconds between two servers' new lives
QUOTA = 300  # requests a second, fewer than come


def configuration() -> bytes:
    def entry(kind: str, name: str, **spec: Any) -> dict[str, Any]:
        return {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}

    routes = [
        entry(
            "routeTable", f"{way}-{kind}", hostName="shop.example", pathPrefix=f"/{way}/{kind}/", routeKind=kind,
            timeoutMs=time, targetAnswerMs=60, priority=1, service="shop", maximumAttempts=3,
            openAccess=way == "open",
        )
        for kind, time in TIMES.items()
        for way in ("open", "kept")
    ]  # fmt: skip
    more = [
        entry("serviceTable", "shop", healthPath="/health", connectionLimit=99, coldStartS=0.0, coldPerS=9),
        entry("tenantTable", TENANT, accessKeys=[KEY], requestsPerS=QUOTA, burstSize=QUOTA),
    ]
    return json.dumps({"versionNumber": "r1", "resourceList": routes + more}).encode()


class Stage:
    """One node's client listener with all behind it, its servers and its clients, on loopback addresses."""

    def __init__(self, seed: str, stalling: float = 0.02, ways: tuple[str, ...] = ()) -> None:
        self.ledger, self.stalling = Ledger(seed), stalling
        pick = random.Random(seed)
        usual = pick.choice((0.0, 0.3, 0.6, 0.9))
        tames = [0.0] * SERVERS if ways else [1.0, *[usual] * (SERVERS - 1)]
        self.servers = [Hostile(str(n), f"a{n % 2 + 1}", self.ledger, tames[n]) for n in range(SERVERS)]
        for server in self.servers if ways else ():
            server.ways = {name: server.ways[name] for name in ways}
        counts = Counts()
        fleet = EndpointSet("a1", "a", {"a1": "a", "a2": "a"}, random.Random(seed))
        self.router = RequestRouter(SharedLimits(retry_ratio=1.0, retry_slack=1e6), fleet, 1)
        self.upstream = UpstreamServers(1.0, pick.choice((0.4, 9.0)), 800, counts)
        self.upstream.per_backend = pick.choice((12, 60))
        self.host = RouterHost(self.router, self.upstream, counts, self.lease)
        self.listener = ClientListener(Address("127.0.0.1", 0), self.host, 400, lambda: True)
        self.leaves = pick.random() < 0.3  # the node is stopped some time before the last client has ended
        configured = parse_configuration(configuration())
        self.listener.use_configuration(configured)
        self.router.use_configuration(configured)
        self.router.fresh_until = 1e18
        self.addresses: list[str] = []

    def lease(self, call: CounterCall) -> None:
        """The tenant's counter: it grants what it is asked for, late, or says nothing."""
        pick = self.ledger.random
        answer: Any = CreditsGranted(call.tenant, call.number, call.units, 1.0, 0.5)
        if pick.random() < 0.02:
            answer = CounterUnavailable(call.tenant)
        if pick.random() < 0.9:
            late = pick.choice((0.001, 0.02, 0.2))
            self.host.loop.call_later(late, self.host.post, answer)

    def list_servers(self) -> None:
        now = self.host.clock()
        listed = [
            ServerEntry(server.id, address, server.zone, True, 40, "v1")
            for server, address in zip(self.servers, self.addresses, strict=True)
        ]
        for gone in self.router.update_endpoints(now, "shop", listed):
            self.upstream.remove(gone.number)
        for server in self.router.fleet.services["shop"].values():
            self.upstream.place(server.number, parse_address(server.address), 0.0)

    async def tick(self) -> None:
        """What the process does in time: ticks, and reads of the list, which shows a restart some time after it."""
        count, pick = 0, random.Random(self.ledger.random.random())
        while True:
            await asyncio.sleep(0.05)
            self.host.post(TimerTick())  # type: ignore[arg-type]
            count += 1
            if count % round(RESTART / 0.05) == 0:
                self.list_servers()
                pick.choice(self.servers).lives += 1
                self.router.set_evacuated_zones(
                    self.host.clock(), frozenset(("a2",) if count // 20 % 4 == 1 else ())
                )

    async def play(self) -> Ledger:
        self.addresses = [await server.start("127.0.0.1") for server in self.servers]
        self.list_servers()
        await self.listener.start()
        assert self.listener.server is not None
        port = self.listener.server.sockets[0].getsockname()[1]
        crowd = Crowd(self.ledger, f"127.0.0.1:{port}", self.stalling)
        tasks = [asyncio.create_task(self.tick())]
        if self.leaves:
            tasks.append(asyncio.create_task(self.leave(crowd)))
        try:
            await crowd.come(CLIENTS, VISITS)
            await self.at_rest()
        finally:
            for task in tasks:
                task.cancel()
            self.listener.close()
            self.listener.stop_listening()
            for server in self.servers:
                await server.close()
            self.upstream.close()
        self.ledger.ways.update({f"ended {why}": count for why, count in self.router.ends.items()})
        return self.ledger

    async def leave(self, crowd: Crowd) -> None:
        """As `shutdown.drain`, with little time: requests still open then end by `answer_all`."""
        await asyncio.sleep(0.3 + self.ledger.random.random())
        crowd.ends = self.router.leaving = True
        self.listener.stop_listening()
        self.listener.close_idle()
        end = self.host.clock() + self.ledger.random.choice((0.0, 0.1, 0.4))
        while (self.host.waiting or self.listener.owes()) and self.host.clock() < end:
            await asyncio.sleep(0.02)
        self.host.answer_all()
        self.listener.close()
        await asyncio.sleep(0.05)
        self.upstream.close()

    async def at_rest(self) -> None:
        """Nothing is held, owed or counted any more once all clients have left."""
        for _ in range(round(REST / 0.05)):
            await asyncio.sleep(0.05)
            if not (left := self.left()):
                break
        if left:
            self.ledger.fault("LEFT", "-", str(left))
        await asyncio.sleep(1.2)  # a server that was silent may run on still

    def left(self) -> dict[str, Any]:
        pools = self.upstream.pools.values()
        found = {
            "open requests": len(self.host.table), "waiting": self.host.waiting, "held": self.listener.held,
            "jobs": len(self.router.pending), "clients": len(self.listener.clients),
            "out": sum(server.in_flight for server in self.router.fleet.servers.values()),
            "busy": sum(link.attempt is not None for pool in pools for link in pool.links),
            "waiting attempts": sum(not attempt.over for pool in pools for attempt in pool.waiting),
        }  # fmt: skip
        return {name: count for name, count in found.items() if count}


async def played(*seeds: int) -> list[Ledger]:
    return await asyncio.gather(*(Stage(str(seed)).play() for seed in seeds))


async def until_broken(stage: Stage, rule: str) -> list[str]:
    """What is found until this rule is seen to be broken, or to the end."""
    playing = asyncio.create_task(stage.play())
    while not playing.done() and not any(fault.startswith(rule) for fault in stage.ledger.faults):
        await asyncio.sleep(0.02)
    playing.cancel()
    await asyncio.gather(playing, return_exceptions=True)
    return stage.ledger.faults


def run(work: Coroutine[Any, Any, T]) -> T:
    """On the loop that serves, bounded in time."""

    async def bounded() -> T:
        async with asyncio.timeout(60):
            return await work

    return uvloop.run(bounded())


def test_every_answer_is_its_callers_own_and_nothing_runs_twice() -> None:
    for ledger in run(played(1, 2)):
        assert ledger.faults == []


# The check itself is tested: one safeguard at a time is taken out.


def believes_any_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UpstreamConnection, "on_headers_complete", Link.on_headers_complete)


def believes_any_promise(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(client_listener, "client_status", lambda reply: reply.status)


def takes_a_reset_for_a_refusal(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Outcome, "never_ran", property(lambda outcome: outcome is not Outcome.OK))


def takes_a_part_for_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UpstreamConnection, "connection_lost", Link.connection_lost)


def takes_a_cut_for_an_end(patch: pytest.MonkeyPatch) -> None:
    finish = Exchange.finish
    patch.setattr(Exchange, "finish", lambda exchange, whole: finish(exchange, True))


def forgets_what_it_offered(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClientConnection, "reject", Client.reject)


def mixes_up_its_turns(patch: pytest.MonkeyPatch) -> None:
    def reply(exchange: Exchange, answer: Any) -> None:
        first = next((other for other in exchange.client.pending if other.answer is None), exchange)
        first.answer = answer
        first.release()
        first.client.flush()

    patch.setattr(Exchange, "reply", reply)


@pytest.mark.parametrize(
    ("wrong", "rule", "stalling", "ways"),
    [
        (believes_any_answer, "MIXED", 0.0, ("for_another", "one_too_many")),
        (believes_any_promise, "REFUSED", 0.0, ("promises_bare",)),
        (takes_a_reset_for_a_refusal, "TWICE", 0.0, ("resets_after",)),
        (takes_a_part_for_nothing, "TWICE", 0.9, ("resets_begun",)),
        (takes_a_cut_for_an_end, "MIXED", 0.0, ("cuts", "resets_midway")),
        (forgets_what_it_offered, "REFUSED", 0.9, ("drips",)),
        (mixes_up_its_turns, "MIXED", 0.0, ("answers_twice",)),
    ],
)
def test_a_node_without_a_fence_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    wrong: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    stalling: float,
    ways: tuple[str, ...],
) -> None:
    wrong(monkeypatch)

    async def search() -> list[str]:
        for seed in range(1, 9):
            if any(
                fault.startswith(rule) for fault in await until_broken(Stage(str(seed), stalling, ways), rule)
            ):
                return [rule]
        return []

    assert run(search()) == [rule]


def main(first: int, last: int) -> int:
    logging.disable()
    broken = 0
    ways: Counter[str] = Counter()
    for seed in range(first, last + 1):
        (ledger,) = run(played(seed))
        ways += ledger.ways
        if ledger.faults:
            broken += 1
            print(f"seed {seed}: {len(ledger.faults)} faults:", *ledger.faults[:6], sep="\n  ", flush=True)
    print(f"{last - first + 1} seeds, {broken} broken; {dict(sorted(ways.items()))}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
