"""How nodes route requests around faulty servers.

On simulated time: servers that fail although they seem healthy, that flap, that recover, or that are new. On
loopback sockets: which requests reach a server, and how often, if its address was reassigned, its health
checks are wrong, or it resets connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.daemon.client_listener import RouterHost
from hazelspring.daemon.upstream_servers import UpstreamServers
from hazelspring.gateway.config import parse_address
from hazelspring.gateway.host import Answer
from hazelspring.gateway.metrics import Counts
from hazelspring.localfleet.stand_ins import StandInServer, serve
from hazelspring.registry.tables import server_tag
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import AbandonAttempt, RequestArrived, TimerTick
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import SharedLimits

from .sockets import listening, run, until
from .test_request_router import CONFIGURATION, ZONES, servers

WORK_TIME, SLOTS, TICK = 0.2, 2, 0.05  # times in seconds
FaultModel = Callable[[float, int, str], Outcome | float | None]
"""Time, server and the node's zone -> how a request fails, a factor of its duration, or ``None``."""
ScheduledCall = tuple[Any, ...]  # the name of a method and its arguments


def failure_delay(outcome: Outcome) -> float:
    """Return the seconds until a request fails with this outcome; a time-out is that of the client."""
    return 4.0 if outcome is Outcome.TIMEOUT else 0.01


class Simulation:
    """Nodes that send requests to servers, on simulated time.

    Each node is in one zone. Each server works on two requests at the same time and queues the others.
    """

    def __init__(
        self, fault_model: FaultModel, node_zones: tuple[str, ...] = ("a1",) * 4, server_count: int = 8
    ) -> None:
        self.fault_model, self.zones, self.now, self.rng = fault_model, node_zones, 0.0, random.Random(1)
        self.names = [f"a1-{n}" for n in range(server_count)]
        self.heap: list[tuple[float, int, ScheduledCall]] = []
        self.order, self.numbers = itertools.count(), itertools.count(1)
        self.in_flight: Counter[str] = Counter()  # by server name
        self.peak_in_flight: Counter[str] = Counter()  # by server name
        self.sent: dict[int, Counter[str]] = {n: Counter() for n in range(len(node_zones))}
        self.requested, self.served = Counter[int](), Counter[int]()  # requests by node
        self.open_attempts: dict[tuple[int, int], tuple[str, float]] = {}
        self.routers: list[RequestRouter] = []
        for n, zone in enumerate(node_zones):
            router = RequestRouter(SharedLimits(), EndpointSet(zone, zone[0], ZONES, random.Random(n)), n)
            router.use_configuration(CONFIGURATION)
            router.fresh_until, router.node_count = 1e9, len(node_zones)
            self.routers.append(router)
            self.schedule(self.rng.random() * TICK, "tick", n)
        self.update_server_lists()

    def update_server_lists(self) -> None:
        for router in self.routers:
            router.update_endpoints(self.now, "shop", servers(*self.names))

    def schedule(self, when: float, *call: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.order), call))

    def run(self, seconds: float, rate: float) -> None:
        """Let time pass; each node gets ``rate`` requests per second, alternately reads and writes."""
        end = self.now + seconds
        for n in range(len(self.routers)):
            when = self.now + self.rng.expovariate(rate)
            while when < end:
                self.schedule(when, "request", n)
                when += self.rng.expovariate(rate)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            getattr(self, call[0])(*call[1:])
        self.now = end

    def finish_open_attempts(self) -> None:
        """Let time pass without new requests until all attempts have ended."""
        self.run(5.0, 1e-9)

    def request(self, n: int) -> None:
        number = next(self.numbers)
        self.requested[n] += 1
        route = CONFIGURATION.find_route("h", "/r/1" if number % 2 else "/w/1")
        assert route is not None
        self.execute(
            n,
            self.routers[n].handle(
                self.now, RequestArrived(number, route, CONFIGURATION.tenants["free"], 4.0)
            ),
        )

    def tick(self, n: int) -> None:
        in_flight = self.routers[n].endpoints.in_flight_by_tag()
        for other in self.routers:
            if other is not self.routers[n]:
                other.endpoints.on_load_report(self.now, f"d{n}", in_flight)
        self.execute(n, self.routers[n].handle(self.now, TimerTick()))
        self.schedule(self.now + TICK, "tick", n)

    def execute(self, n: int, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, i.Send):
                name = self.routers[n].endpoints.servers[action.backend].id
                self.sent[n][name] += 1
                self.in_flight[name] += 1
                self.peak_in_flight[name] = max(self.peak_in_flight[name], self.in_flight[name])
                self.open_attempts[n, action.request] = (name, self.now)
                fault = self.fault_model(self.now, int(name[3:]), self.zones[n])
                duration = WORK_TIME * self.rng.uniform(0.7, 1.3) * max(1.0, self.in_flight[name] / SLOTS)
                duration *= fault if isinstance(fault, float) else 1.0
                end = (failure_delay(fault), fault) if isinstance(fault, Outcome) else (duration, Outcome.OK)
                self.schedule(
                    self.now + end[0], "finish", n, action.request, action.backend, self.now, end[1]
                )
            elif isinstance(action, AbandonAttempt):
                name, sent_at = self.open_attempts[n, action.request]
                backend = self.routers[n].endpoints.servers_by_tag[server_tag(name)].number
                self.finish(n, action.request, backend, sent_at, Outcome.TIMEOUT)

    def finish(self, n: int, request: int, backend: int, sent_at: float, outcome: Outcome) -> None:
        name, current_sent_at = self.open_attempts.get((n, request), ("", -1.0))
        if current_sent_at != sent_at:
            return  # this attempt was abandoned for another one
        del self.open_attempts[n, request]
        self.in_flight[name] -= 1
        self.served[n] += outcome is Outcome.OK
        closed = outcome is Outcome.OK
        spent = self.now - sent_at
        self.execute(n, self.routers[n].handle(
            self.now, i.Finished(request, 0, backend, outcome, closed, spent, 0, 0, ())
        ))  # fmt: skip

    def request_share(self, *server_numbers: int, nodes: tuple[int, ...] = (0, 1, 2, 3)) -> float:
        """Return the fraction of the nodes' requests that these servers got.

        A single node may prefer some servers, but all nodes together use equal servers evenly.
        """
        sent = sum((self.sent[n] for n in nodes), Counter[str]())
        return sum(sent[f"a1-{k}"] for k in server_numbers) / sent.total()

    def lowest_success_rate(self) -> float:
        """Finish all attempts; return the lowest fraction of requests that any of the nodes has served."""
        self.finish_open_attempts()
        return min(self.served[n] / self.requested[n] for n in range(len(self.routers)))


# Faults of servers that seem healthy: outcomes of requests, or a factor of their duration.
FAULTS = {
    "errors": Outcome.ERROR, "shed": Outcome.FULL, "reset": Outcome.RESET, "hang": Outcome.TIMEOUT,
    "slow": 8.0,
}  # fmt: skip


@pytest.mark.parametrize("fault_rate", [0.4, 1.0])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_server_that_fails_requests_gets_few_of_them(fault: str, fault_rate: float) -> None:
    rng = random.Random(2)
    simulation = Simulation(
        lambda now, server, zone: FAULTS[fault] if server < 2 and rng.random() < fault_rate else None
    )
    simulation.run(30.0, 8.0)
    assert simulation.request_share(0, 1) < 0.07  # they are a quarter of all servers
    assert simulation.lowest_success_rate() > 0.96


def test_a_server_that_fails_for_nodes_of_one_zone_is_avoided_only_by_these() -> None:
    simulation = Simulation(
        lambda now, server, zone: Outcome.ERROR if (server, zone) == (0, "a1") else None, ("a1", "a1", "a2")
    )
    simulation.run(30.0, 8.0)
    assert simulation.request_share(0, nodes=(0, 1)) < 0.03
    assert simulation.request_share(0, nodes=(2,)) > 0.06  # it is an eighth of all servers
    assert simulation.lowest_success_rate() > 0.98


def test_a_server_that_has_recovered_gets_its_share_of_requests_again() -> None:
    simulation = Simulation(lambda now, server, zone: Outcome.ERROR if server == 0 and now < 10 else None)
    simulation.run(20.0, 8.0)
    for counts in simulation.sent.values():
        counts.clear()
    simulation.run(20.0, 8.0)
    assert simulation.request_share(0) > 0.08


def test_flapping_servers_get_few_requests_and_few_requests_fail() -> None:
    simulation = Simulation(
        lambda now, server, zone: Outcome.CONNECT_FAILED if server < 2 and now % 2.8 < 1.4 else None
    )
    simulation.run(30.0, 8.0)
    assert simulation.request_share(0, 1) < 0.1 and simulation.lowest_success_rate() > 0.99


def test_if_all_servers_fail_alike_each_of_them_still_gets_requests() -> None:
    rng = random.Random(2)
    simulation = Simulation(lambda now, server, zone: Outcome.ERROR if rng.random() < 0.3 else None)
    simulation.run(30.0, 8.0)
    assert (
        all(0.05 < simulation.request_share(k) < 0.25 for k in range(8))
        and simulation.lowest_success_rate() > 0.7
    )


def test_added_servers_get_no_requests_during_slow_start_and_no_burst_after_it() -> None:
    simulation = Simulation(lambda now, server, zone: None, server_count=6)
    simulation.run(10.0, 13.0)  # nine tenths of the capacity of the six servers
    simulation.names += ["a1-6", "a1-7", "a1-8"]
    simulation.update_server_lists()
    simulation.run(3.7, 13.0)
    assert not any(simulation.peak_in_flight[name] for name in simulation.names[6:])
    simulation.peak_in_flight.clear()
    simulation.run(10.0, 13.0)
    new, old = (
        [simulation.peak_in_flight[name] for name in names]
        for names in (simulation.names[6:], simulation.names[:6])
    )
    assert min(new) > 0 and max(new) <= max(old) + 2
    assert simulation.lowest_success_rate() > 0.99


# --- on loopback sockets --------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def listening_server(server: StandInServer) -> AsyncIterator[str]:
    async with listening(lambda reader, writer: serve(server.handle, reader, writer)) as address:
        yield address


class LoopbackGateway:
    """A request router with real connections to the servers that listen at the given addresses."""

    def __init__(self, addresses: list[str]) -> None:
        endpoints = EndpointSet("a1", "a", ZONES, random.Random(1))
        self.router = RequestRouter(SharedLimits(), endpoints, 1)
        self.router.use_configuration(CONFIGURATION)
        self.router.fresh_until = 1e12
        entries = [replace(s, address=a) for s, a in zip(servers("a1-0", "a1-1"), addresses, strict=False)]
        self.router.update_endpoints(0.0, "shop", entries)
        # The connect time-out is 3 s, so that connections succeed on a busy machine as well.
        self.servers = UpstreamServers(3.0, 9.0, 100, Counts())
        for server in endpoints.servers.values():
            self.servers.place(server.number, parse_address(server.address), 0.0)
        self.host = RouterHost(self.router, self.servers, Counts(), lambda call: None)
        self.statuses: dict[str, int] = {}  # by request name

    async def request(self, name: str, path: str) -> int:
        """Send a client's request; return the status of its response."""
        route, method = CONFIGURATION.find_route("h", path), "GET" if path.startswith("/r") else "POST"
        assert route is not None
        found = route

        def payload(left: float, backend: int) -> bytes:
            instance = self.router.endpoints.servers[backend].id
            head = f"{method} {path} HTTP/1.1\r\nX-Hazelspring-Attempt-Id: {name}\r\n"
            return f"{head}X-Hazelspring-Expected-Instance: {instance}\r\nContent-Length: 0\r\n\r\n".encode()

        def reply(answer: Answer) -> None:
            self.statuses[name] = answer.status

        def make_event(request: int) -> Any:
            return RequestArrived(request, found, CONFIGURATION.tenants["free"], 4.0)

        caller = cast(Any, SimpleNamespace(reply=reply))
        self.host.request(make_event, route.kind, 4.0, payload, caller, attempt_id=name.encode())
        await until(lambda: name in self.statuses)
        return self.statuses[name]

    async def request_many(self, count: int, *paths: str) -> set[int]:
        """Send requests and return the set of their statuses.

        Four requests are in flight at a time, which is more than one server has slots.
        """
        statuses = set[int]()
        for n in range(0, count, 4):
            statuses |= set(
                await asyncio.gather(
                    *(self.request(f"n{k}", paths[k % len(paths)]) for k in range(n, n + 4)),
                )
            )
        return statuses


def test_a_server_at_a_reassigned_address_runs_no_requests_for_the_previous_server() -> None:
    other, own = (StandInServer(name, "x", "", "a1", work_seconds=0.0) for name in ("i-late", "a1-1"))

    async def scenario() -> None:
        async with listening_server(other) as reassigned, listening_server(own) as kept:
            gateway = LoopbackGateway([reassigned, kept])  # the list still has a1-0 at the first address
            assert await gateway.request_many(40, "/r/1", "/w/1") == {200}
            gateway.servers.close()
        assert not other.executions and set(own.executions.values()) == {1} and other.misdirected > 0

    run(scenario())


def test_a_node_sends_no_health_checks_so_wrong_results_have_no_effect() -> None:
    unhealthy, healthy = (
        StandInServer(name, "x", "", "a1", work_seconds=0.0, healthy=name != "a1-0")
        for name in ("a1-0", "a1-1")
    )

    async def scenario() -> None:
        async with listening_server(unhealthy) as one, listening_server(healthy) as other:
            gateway = LoopbackGateway([one, other])
            assert await gateway.request_many(40, "/r/1") == {200}
            gateway.servers.close()
        assert unhealthy.probes == healthy.probes == 0 and unhealthy.executions.total() > 0

    run(scenario())


@pytest.mark.parametrize(
    "reads", [True, False], ids=["reset after the request was read", "closed before the request was sent"]
)
def test_a_request_on_a_lost_connection_is_resent_only_if_it_cannot_have_been_read(reads: bool) -> None:
    """A server that resets an idle connection at the next request may have read that request.

    If the connection was closed before the request was sent, the server cannot have read it.
    """
    received: Counter[str] = Counter()

    async def respond_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the first request of a connection only."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        name = head.split("Attempt-Id: ")[1].split("\r\n")[0]
        received[name] += 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Hazelspring-Attempt-Id: {name}\r\n"
            "X-Hazelspring-Server-Seal: s\r\nContent-Length: 0\r\n\r\n".encode()
        )
        if reads:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            received[head.split("Attempt-Id: ")[1].split("\r\n")[0]] += 1
            writer.transport.abort()
        else:
            writer.close()

    async def scenario() -> None:
        async with listening(respond_once) as address:
            gateway = LoopbackGateway([address])
            assert await gateway.request("first", "/w/1") == 200
            if not reads:
                await until(lambda: not gateway.servers.open)
            assert await gateway.request("write", "/w/1") == (502 if reads else 200)
            gateway.servers.close()
        assert received["write"] == 1

    run(scenario())
