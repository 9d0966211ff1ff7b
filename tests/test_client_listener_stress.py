"""The client listener between hostile servers and clients.

`python -m tests.test_client_listener_stress 1 9` runs the seeds 1 to 9.
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
from hazelspring.gateway.client_connection import Client, Exchange
from hazelspring.gateway.config import Address, parse_address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.server_connection import Link
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditsGranted
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import TimerTick
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import SharedLimits

from .hostile_clients import KEY, TENANT, HostileClients
from .hostile_servers import HostileServer
from .ledger import Ledger

T = TypeVar("T")
SERVERS, CLIENTS, SESSIONS = 6, 100, 5
TIMEOUTS_MS = {"read_only": 500, "mutating": 450, "upload": 900}
DRAIN_TIMEOUT = 10.0  # seconds in which all work in progress ends, far beyond the longest delay of an answer
RESTART_INTERVAL = 0.4  # seconds between the restarts of two servers
QUOTA = 300  # requests per second, fewer than the clients send


def configuration() -> bytes:
    def entry(kind: str, name: str, **spec: Any) -> dict[str, Any]:
        return {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}

    routes = [
        entry(
            "routeTable", f"{access}-{kind}", hostName="shop.example", pathPrefix=f"/{access}/{kind}/",
            routeKind=kind, timeoutMs=time, targetAnswerMs=60, priority=1, service="shop", maximumAttempts=3,
            openAccess=access == "open",
        )
        for kind, time in TIMEOUTS_MS.items()
        for access in ("open", "auth")
    ]  # fmt: skip
    more = [
        entry("serviceTable", "shop", healthPath="/health", connectionLimit=99, coldStartS=0.0, coldPerS=9),
        entry("tenantTable", TENANT, accessKeys=[KEY], requestsPerS=QUOTA, burstSize=QUOTA),
    ]
    return json.dumps({"versionNumber": "r1", "resourceList": routes + more}).encode()


class NodeUnderTest:
    """A node's path from its clients to its servers, with hostile ones of both, on loopback addresses."""

    def __init__(self, seed: str, stalling_share: float = 0.02, behaviours: tuple[str, ...] = ()) -> None:
        self.ledger, self.stalling_share = Ledger(seed), stalling_share
        pick = random.Random(seed)
        normal_share = pick.choice((0.0, 0.3, 0.6, 0.9))
        normal_shares = [0.0] * SERVERS if behaviours else [1.0, *[normal_share] * (SERVERS - 1)]
        self.servers = [
            HostileServer(str(n), f"a{n % 2 + 1}", self.ledger, normal_shares[n]) for n in range(SERVERS)
        ]
        for server in self.servers if behaviours else ():
            server.behaviours = {name: server.behaviours[name] for name in behaviours}
        counts = Counts()
        endpoints = EndpointSet("a1", "a", {"a1": "a", "a2": "a"}, random.Random(seed))
        self.router = RequestRouter(SharedLimits(retry_ratio=1.0, retry_slack=1e6), endpoints, 1)
        self.upstream = UpstreamServers(1.0, pick.choice((0.4, 9.0)), 800, counts)
        self.upstream.per_backend = pick.choice((12, 60))
        self.host = RouterHost(self.router, self.upstream, counts, self.lease)
        self.listener = ClientListener(Address("127.0.0.1", 0), self.host, 400, lambda: True)
        self.stops_early = pick.random() < 0.3  # the node is stopped before the last client has ended
        configured = parse_configuration(configuration())
        self.listener.use_configuration(configured)
        self.router.use_configuration(configured)
        self.router.fresh_until = 1e18
        self.addresses: list[str] = []

    def lease(self, call: CounterCall) -> None:
        """Answer as a tenant's counter: grant all units after a delay, be unavailable, or not answer."""
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
        for removed in self.router.update_endpoints(now, "shop", listed):
            self.upstream.remove(removed.number)
        for server in self.router.endpoints.services["shop"].values():
            self.upstream.place(server.number, parse_address(server.address), 0.0)

    async def tick(self) -> None:
        """Do the process's periodic work: ticks, and reads of the list, which shows restarts late."""
        count, pick = 0, random.Random(self.ledger.random.random())
        while True:
            await asyncio.sleep(0.05)
            self.host.post(TimerTick())  # type: ignore[arg-type]
            count += 1
            if count % round(RESTART_INTERVAL / 0.05) == 0:
                self.list_servers()
                pick.choice(self.servers).restarts += 1
                self.router.set_evacuated_zones(
                    self.host.clock(), frozenset(("a2",) if count // 20 % 4 == 1 else ())
                )

    async def run_clients(self) -> Ledger:
        self.addresses = [await server.start("127.0.0.1") for server in self.servers]
        self.list_servers()
        await self.listener.start()
        assert self.listener.server is not None
        port = self.listener.server.sockets[0].getsockname()[1]
        clients = HostileClients(self.ledger, f"127.0.0.1:{port}", self.stalling_share)
        tasks = [asyncio.create_task(self.tick())]
        if self.stops_early:
            tasks.append(asyncio.create_task(self.stop(clients)))
        try:
            await clients.run(CLIENTS, SESSIONS)
            await self.check_nothing_remains()
        finally:
            for task in tasks:
                task.cancel()
            self.listener.close()
            self.listener.stop_listening()
            for server in self.servers:
                await server.close()
            self.upstream.close()
        self.ledger.occurrences.update(
            {f"ended {reason}": count for reason, count in self.router.unserved_counts.items()}
        )
        return self.ledger

    async def stop(self, clients: HostileClients) -> None:
        """Stop as `shutdown.drain` does, with little time: requests still open then end by `answer_all`."""
        await asyncio.sleep(0.3 + self.ledger.random.random())
        clients.gateway_stopping = self.router.shutting_down = True
        self.listener.stop_listening()
        self.listener.close_idle()
        end = self.host.clock() + self.ledger.random.choice((0.0, 0.1, 0.4))
        while (self.host.waiting or self.listener.has_unfinished_exchanges()) and self.host.clock() < end:
            await asyncio.sleep(0.02)
        self.host.answer_all()
        self.listener.close()
        await asyncio.sleep(0.05)
        self.upstream.close()

    async def check_nothing_remains(self) -> None:
        """Check that no request, buffer, connection or count remains once all clients have left."""
        for _ in range(round(DRAIN_TIMEOUT / 0.05)):
            await asyncio.sleep(0.05)
            if not (remaining := self.remaining()):
                break
        if remaining:
            self.ledger.add_violation("LEAKED", "-", str(remaining))
        await asyncio.sleep(1.2)  # a server that answers late may still run a request

    def remaining(self) -> dict[str, Any]:
        pools = self.upstream.pools.values()
        found = {
            "open requests": len(self.host.open_requests), "waiting": self.host.waiting,
            "buffered bytes": self.listener.buffered_bytes, "pending": len(self.router.pending),
            "clients": len(self.listener.clients),
            "in flight": sum(server.in_flight for server in self.router.endpoints.servers.values()),
            "busy connections": sum(link.attempt is not None for pool in pools for link in pool.links),
            "waiting attempts": sum(not attempt.over for pool in pools for attempt in pool.waiting),
        }  # fmt: skip
        return {name: count for name, count in found.items() if count}


async def run_seeds(*seeds: int) -> list[Ledger]:
    return await asyncio.gather(*(NodeUnderTest(str(seed)).run_clients() for seed in seeds))


async def violations_until(node: NodeUnderTest, rule: str) -> list[str]:
    """Return the violations found until one of this rule is found, or until the run ends."""
    running = asyncio.create_task(node.run_clients())
    while not running.done() and not any(violation.startswith(rule) for violation in node.ledger.violations):
        await asyncio.sleep(0.02)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return node.ledger.violations


def run_bounded(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the event loop that the daemon uses, with a time limit."""

    async def bounded() -> T:
        async with asyncio.timeout(60):
            return await work

    return uvloop.run(bounded())


def test_each_client_gets_its_own_answers_and_nothing_runs_twice() -> None:
    for ledger in run_bounded(run_seeds(1, 2)):
        assert ledger.violations == []


# Tests of the checks themselves: each removes one safeguard of the node, and the checks must detect that.


def accepts_any_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UpstreamConnection, "on_headers_complete", Link.on_headers_complete)


def forwards_any_status(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(client_listener, "client_status", lambda reply: reply.status)


def treats_reset_as_refusal(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Outcome, "never_ran", property(lambda outcome: outcome is not Outcome.OK))


def treats_partly_sent_as_not_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UpstreamConnection, "connection_lost", Link.connection_lost)


def treats_truncated_as_complete(patch: pytest.MonkeyPatch) -> None:
    finish = Exchange.finish
    patch.setattr(Exchange, "finish", lambda exchange, whole: finish(exchange, True))


def ignores_what_was_forwarded(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClientConnection, "reject", Client.reject)


def answers_pipelined_out_of_order(patch: pytest.MonkeyPatch) -> None:
    def reply(exchange: Exchange, answer: Any) -> None:
        first = next((other for other in exchange.client.pending if other.answer is None), exchange)
        first.answer = answer
        first.release()
        first.client.flush()

    patch.setattr(Exchange, "reply", reply)


@pytest.mark.parametrize(
    ("remove_safeguard", "rule", "stalling_share", "behaviours"),
    [
        (accepts_any_answer, "MIXED", 0.0, ("answers_with_other_id", "repeats_before_next")),
        (forwards_any_status, "REFUSED", 0.0, ("refuses_after_run",)),
        (treats_reset_as_refusal, "TWICE", 0.0, ("resets_after_run",)),
        (treats_partly_sent_as_not_run, "TWICE", 0.9, ("resets_during_body",)),
        (treats_truncated_as_complete, "MIXED", 0.0, ("truncates_answer", "resets_during_answer")),
        (ignores_what_was_forwarded, "REFUSED", 0.9, ("answers_slowly",)),
        (answers_pipelined_out_of_order, "MIXED", 0.0, ("answers_twice",)),
    ],
)
def test_a_node_without_one_safeguard_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    remove_safeguard: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    stalling_share: float,
    behaviours: tuple[str, ...],
) -> None:
    remove_safeguard(monkeypatch)

    async def search() -> list[str]:
        for seed in range(1, 9):
            if any(
                violation.startswith(rule)
                for violation in await violations_until(
                    NodeUnderTest(str(seed), stalling_share, behaviours), rule
                )
            ):
                return [rule]
        return []

    assert run_bounded(search()) == [rule]


def main(first: int, last: int) -> int:
    logging.disable()
    seeds_failed = 0
    occurrences: Counter[str] = Counter()
    for seed in range(first, last + 1):
        (ledger,) = run_bounded(run_seeds(seed))
        occurrences += ledger.occurrences
        if ledger.violations:
            seeds_failed += 1
            print(
                f"seed {seed}: {len(ledger.violations)} violations:",
                *ledger.violations[:6],
                sep="\n  ",
                flush=True,
            )
    print(f"{last - first + 1} seeds, {seeds_failed} with violations; {dict(sorted(occurrences.items()))}")
    return 1 if seeds_failed else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
