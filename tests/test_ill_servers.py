"""Servers that fail while their health is good, lie, go down and up, are new, or have another's address: what a
door does before them, on simulated time; and on loopback what reaches a server, and how often."""

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

WORK, SLOTS, TICK = 0.2, 2, 0.05
Ill = Callable[[float, int, str], Outcome | float | None]
"""Time, server and the caller's zone: how it fails, or how many times as long it takes, if it is ill."""
Act = tuple[Any, ...]


def end_of(outcome: Outcome) -> float:
    """Seconds after which a request ends so; one that hangs ends with its client's patience."""
    return 4.0 if outcome is Outcome.TIMEOUT else 0.01


class Fleets:
    """Doors of one zone each before servers that work on two requests at once and queue the others."""

    def __init__(self, ill: Ill, doors: tuple[str, ...] = ("a1",) * 4, count: int = 8) -> None:
        self.ill, self.zones, self.now, self.dice = ill, doors, 0.0, random.Random(1)
        self.names = [f"a1-{n}" for n in range(count)]
        self.heap: list[tuple[float, int, Act]] = []
        self.order, self.numbers = itertools.count(), itertools.count(1)
        self.out: Counter[str] = Counter()
        self.most: Counter[str] = Counter()  # ever out at a server
        self.sent: dict[int, Counter[str]] = {n: Counter() for n in range(len(doors))}
        self.asked, self.served = Counter[int](), Counter[int]()
        self.live: dict[tuple[int, int], tuple[str, float]] = {}
        self.doors: list[RequestRouter] = []
        for n, zone in enumerate(doors):
            door = RequestRouter(SharedLimits(), EndpointSet(zone, zone[0], ZONES, random.Random(n)), n)
            door.use_configuration(CONFIGURATION)
            door.fresh_until, door.node_count = 1e9, len(doors)
            self.doors.append(door)
            self.at(self.dice.random() * TICK, "tick", n)
        self.listed()

    def listed(self) -> None:
        for door in self.doors:
            door.update_endpoints(self.now, "shop", servers(*self.names))

    def at(self, when: float, *act: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.order), act))

    def run(self, seconds: float, rate: float) -> None:
        """Let time pass; each door is asked so often a second, for reads and writes by turns."""
        end = self.now + seconds
        for n in range(len(self.doors)):
            when = self.now + self.dice.expovariate(rate)
            while when < end:
                self.at(when, "ask", n)
                when += self.dice.expovariate(rate)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self.heap)
            getattr(self, act[0])(*act[1:])
        self.now = end

    def settle(self) -> None:
        """Let what is out end."""
        self.run(5.0, 1e-9)

    def ask(self, n: int) -> None:
        number = next(self.numbers)
        self.asked[n] += 1
        route = CONFIGURATION.find_route("h", "/r/1" if number % 2 else "/w/1")
        assert route is not None
        self.act(
            n,
            self.doors[n].handle(self.now, RequestArrived(number, route, CONFIGURATION.tenants["free"], 4.0)),
        )

    def tick(self, n: int) -> None:
        outs = self.doors[n].fleet.in_flight_by_tag()
        for other in self.doors:
            if other is not self.doors[n]:
                other.fleet.on_load_report(self.now, f"d{n}", outs)
        self.act(n, self.doors[n].handle(self.now, TimerTick()))
        self.at(self.now + TICK, "tick", n)

    def act(self, n: int, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, i.Send):
                name = self.doors[n].fleet.servers[action.backend].id
                self.sent[n][name] += 1
                self.out[name] += 1
                self.most[name] = max(self.most[name], self.out[name])
                self.live[n, action.request] = (name, self.now)
                failing = self.ill(self.now, int(name[3:]), self.zones[n])
                took = WORK * self.dice.uniform(0.7, 1.3) * max(1.0, self.out[name] / SLOTS)
                took *= failing if isinstance(failing, float) else 1.0
                how = (end_of(failing), failing) if isinstance(failing, Outcome) else (took, Outcome.OK)
                self.at(self.now + how[0], "end", n, action.request, action.backend, self.now, how[1])
            elif isinstance(action, AbandonAttempt):
                name, since = self.live[n, action.request]
                backend = self.doors[n].fleet.servers_by_tag[server_tag(name)].number
                self.end(n, action.request, backend, since, Outcome.TIMEOUT)

    def end(self, n: int, request: int, backend: int, since: float, outcome: Outcome) -> None:
        name, began = self.live.get((n, request), ("", -1.0))
        if began != since:
            return  # it was left for another
        del self.live[n, request]
        self.out[name] -= 1
        self.served[n] += outcome is Outcome.OK
        ended = outcome is Outcome.OK
        spent = self.now - since
        self.act(n, self.doors[n].handle(
            self.now, i.Finished(request, 0, backend, outcome, ended, spent, 0, 0, ())
        ))  # fmt: skip

    def share(self, *which: int, doors: tuple[int, ...] = (0, 1, 2, 3)) -> float:
        """Of doors' requests, those that went to some servers.  One door alone has its favourites, all together
        have none."""
        sent = sum((self.sent[n] for n in doors), Counter[str]())
        return sum(sent[f"a1-{k}"] for k in which) / sent.total()

    def well(self) -> float:
        """The least part of its requests that a door has served."""
        self.settle()
        return min(self.served[n] / self.asked[n] for n in range(len(self.doors)))


GREY = {
    "errors": Outcome.ERROR, "shed": Outcome.FULL, "reset": Outcome.RESET, "hang": Outcome.TIMEOUT, "slow": 8.0,
}  # fmt: skip


@pytest.mark.parametrize("part", [0.4, 1.0])
@pytest.mark.parametrize("how", GREY)
def test_a_server_that_fails_its_requests_gets_few_whatever_its_health_says(how: str, part: float) -> None:
    dice = random.Random(2)
    fleets = Fleets(lambda now, server, zone: GREY[how] if server < 2 and dice.random() < part else None)
    fleets.run(30.0, 8.0)
    assert fleets.share(0, 1) < 0.07  # a quarter of all servers
    assert fleets.well() > 0.96


def test_a_server_that_fails_for_one_zones_callers_is_spared_by_these_alone() -> None:
    fleets = Fleets(
        lambda now, server, zone: Outcome.ERROR if (server, zone) == (0, "a1") else None, ("a1", "a1", "a2")
    )
    fleets.run(30.0, 8.0)
    assert fleets.share(0, doors=(0, 1)) < 0.03
    assert fleets.share(0, doors=(2,)) > 0.06  # an eighth of all servers
    assert fleets.well() > 0.98


def test_a_server_that_is_well_again_gets_its_share_again() -> None:
    fleets = Fleets(lambda now, server, zone: Outcome.ERROR if server == 0 and now < 10 else None)
    fleets.run(20.0, 8.0)
    for counts in fleets.sent.values():
        counts.clear()
    fleets.run(20.0, 8.0)
    assert fleets.share(0) > 0.08


def test_servers_that_go_down_and_up_by_turns_cost_few_requests() -> None:
    fleets = Fleets(
        lambda now, server, zone: Outcome.CONNECT_FAILED if server < 2 and now % 2.8 < 1.4 else None
    )
    fleets.run(30.0, 8.0)
    assert fleets.share(0, 1) < 0.1 and fleets.well() > 0.99


def test_where_all_servers_fail_alike_none_is_spared_and_none_left_out() -> None:
    dice = random.Random(2)
    fleets = Fleets(lambda now, server, zone: Outcome.ERROR if dice.random() < 0.3 else None)
    fleets.run(30.0, 8.0)
    assert all(0.05 < fleets.share(k) < 0.25 for k in range(8)) and fleets.well() > 0.7


def test_empty_servers_that_are_added_get_nothing_while_cold_and_no_stampede_then() -> None:
    fleets = Fleets(lambda now, server, zone: None, count=6)
    fleets.run(10.0, 13.0)  # nine tenths of what these can do
    fleets.names += ["a1-6", "a1-7", "a1-8"]
    fleets.listed()
    fleets.run(3.7, 13.0)
    assert not any(fleets.most[name] for name in fleets.names[6:])
    fleets.most.clear()
    fleets.run(10.0, 13.0)
    new, old = ([fleets.most[name] for name in names] for names in (fleets.names[6:], fleets.names[:6]))
    assert min(new) > 0 and max(new) <= max(old) + 2
    assert fleets.well() > 0.99


# --- on loopback ----------------------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def standing(server: StandInServer) -> AsyncIterator[str]:
    async with listening(lambda reader, writer: serve(server.handle, reader, writer)) as address:
        yield address


class Doorway:
    """A door's way to servers, over real connections; `stands` are what listens at their addresses."""

    def __init__(self, addresses: list[str]) -> None:
        fleet = EndpointSet("a1", "a", ZONES, random.Random(1))
        self.forager = RequestRouter(SharedLimits(), fleet, 1)
        self.forager.use_configuration(CONFIGURATION)
        self.forager.fresh_until = 1e12
        listed = [replace(s, address=a) for s, a in zip(servers("a1-0", "a1-1"), addresses, strict=False)]
        self.forager.update_endpoints(0.0, "shop", listed)
        self.servers = UpstreamServers(3.0, 9.0, 100, Counts())  # however busy the machine is
        for server in fleet.servers.values():
            self.servers.place(server.number, parse_address(server.address), 0.0)
        self.carrier = RouterHost(self.forager, self.servers, Counts(), lambda call: None)
        self.answers: dict[str, int] = {}

    async def ask(self, name: str, path: str) -> int:
        """The status that a client's request gets."""
        route, method = CONFIGURATION.find_route("h", path), "GET" if path.startswith("/r") else "POST"
        assert route is not None
        found = route

        def payload(left: float, backend: int) -> bytes:
            life = self.forager.fleet.servers[backend].id
            head = f"{method} {path} HTTP/1.1\r\nX-Hazelspring-Attempt-Id: {name}\r\n"
            return f"{head}X-Hazelspring-Expected-Instance: {life}\r\nContent-Length: 0\r\n\r\n".encode()

        def reply(answer: Answer) -> None:
            self.answers[name] = answer.status

        def make(request: int) -> Any:
            return RequestArrived(request, found, CONFIGURATION.tenants["free"], 4.0)

        caller = cast(Any, SimpleNamespace(reply=reply))
        self.carrier.request(make, route.kind, 4.0, payload, caller, mark=name.encode())
        await until(lambda: name in self.answers)
        return self.answers[name]

    async def ask_all(self, count: int, *paths: str) -> set[int]:
        """The statuses that so many requests get, four at once: more than one server's slots."""
        found = set[int]()
        for n in range(0, count, 4):
            found |= set(
                await asyncio.gather(*(self.ask(f"n{k}", paths[k % len(paths)]) for k in range(n, n + 4)))
            )
        return found


def test_an_address_that_went_to_another_service_runs_nothing_of_the_old_one() -> None:
    other, own = (StandInServer(name, "x", "", "a1", work_seconds=0.0) for name in ("i-late", "a1-1"))

    async def play() -> None:
        async with standing(other) as taken, standing(own) as kept:
            door = Doorway([taken, kept])  # the list still names a1-0 at the first
            assert await door.ask_all(40, "/r/1", "/w/1") == {200}
            door.servers.close()
        assert not other.executions and set(own.executions.values()) == {1} and other.misdirected > 0

    run(play())


def test_health_answers_are_not_asked_for_so_that_false_ones_change_nothing() -> None:
    liar, own = (
        StandInServer(name, "x", "", "a1", work_seconds=0.0, healthy=name != "a1-0")
        for name in ("a1-0", "a1-1")
    )

    async def play() -> None:
        async with standing(liar) as one, standing(own) as other:
            door = Doorway([one, other])
            assert await door.ask_all(40, "/r/1") == {200}
            door.servers.close()
        assert liar.probes == own.probes == 0 and liar.executions.total() > 0

    run(play())


@pytest.mark.parametrize(
    "reads", [True, False], ids=["forgotten after it was read", "closed before it was sent"]
)
def test_on_a_forgotten_connection_only_what_was_surely_not_read_is_sent_again(reads: bool) -> None:
    """A server that has forgotten a connection resets it at the next request, which it may have read; where its end
    was known before anything was sent, nothing was read."""
    came: Counter[str] = Counter()

    async def forgets(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the first request of a connection, and none after it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        name = head.split("Attempt-Id: ")[1].split("\r\n")[0]
        came[name] += 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Hazelspring-Attempt-Id: {name}\r\n"
            "X-Hazelspring-Server-Seal: s\r\nContent-Length: 0\r\n\r\n".encode()
        )
        if reads:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            came[head.split("Attempt-Id: ")[1].split("\r\n")[0]] += 1
            writer.transport.abort()
        else:
            writer.close()

    async def play() -> None:
        async with listening(forgets) as address:
            door = Doorway([address])
            assert await door.ask("first", "/w/1") == 200
            if not reads:
                await until(lambda: not door.servers.open)
            assert await door.ask("write", "/w/1") == (502 if reads else 200)
            door.servers.close()
        assert came["write"] == 1

    run(play())
