"""Seeded runs of nodes, request routing and the admission gateway, each with a digest of all that came out of it.

A digest covers values alone: no class names, no attribute names, no reprs.  Where a message or an action gets another
type, `wire_bytes` or `LABELS` is the one place to change, and the digests stay.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import random
from collections.abc import Callable
from functools import cached_property, partial
from typing import Any
from unittest import mock

import cbor2

from hazelspring.admission import interface as i
from hazelspring.admission.gateway import Gateway
from hazelspring.admission.interface import Outcome
from hazelspring.admission.wire import parse_settings
from hazelspring.configuration.model import parse_configuration
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.node import codec
from hazelspring.node.actions import (
    Action,
    ConfigurationChanged,
    EvacuatedZonesChanged,
    InvariantViolated,
    LoadReported,
    MembersChanged,
    ReadList,
    Save,
    TableChanged,
)
from hazelspring.node.messages import Message
from hazelspring.node.node import Node
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditsGranted
from hazelspring.registry.tables import ServerEntry, server_tag
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import (
    AbandonAttempt,
    LeaseCredits,
    RejectOverQuota,
    RequestArrived,
    TimerTick,
)
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import SharedLimits

from . import chaos, helpers
from .chaos_days import draw
from .test_request_router import document
from .world import Call, World

LABELS: dict[type, str] = {
    ReadList: "read list", ConfigurationChanged: "changed", EvacuatedZonesChanged: "changed",
    MembersChanged: "changed", TableChanged: "changed", LoadReported: "load told", InvariantViolated: "violated",
    CreditsGranted: "granted", CounterUnavailable: "lapsed", RejectOverQuota: "deny", LeaseCredits: "lease",
    AbandonAttempt: "leave", CounterCall: "counter call", i.Send: "send",
    i.Refuse: "refuse", i.Fail: "fail", i.Cancel: "cancel", i.SetTimer: "set timer", i.Probe: "probe",
    i.CloseIdle: "close idle", i.Tell: "tell", i.Log: "log", i.Watch: "watch", i.Pull: "pull", i.Count: "count",
}  # fmt: skip
WITHOUT_VALUES = (TableChanged,)  # its value was a key of this process alone when the digests were made
SPLIT = [{"service": "shop", "shareWeight": 3}, {"service": "cart", "shareWeight": 1}]
SERVERS = [f"{zone}-{n}" for zone in ("a1", "a2", "b1") for n in range(4)]
OUTCOMES = (*[Outcome.OK] * 12, *Outcome)


def wire_bytes(message: Message) -> bytes:
    """Return the bytes that a message takes on the wire."""
    return codec.encode(message)


def plain(value: Any) -> Any:
    """Return a value as lists, numbers, texts and bytes, in an order that no hash seed changes."""
    if dataclasses.is_dataclass(value):
        label = LABELS[type(value)]
        names = (
            [] if isinstance(value, WITHOUT_VALUES) else [field.name for field in dataclasses.fields(value)]
        )
        return [label, *(plain(getattr(value, name)) for name in names)]
    if isinstance(value, dict):
        return [[plain(key), plain(each)] for key, each in value.items()]
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, float):
        return round(value, 9)  # the last bits of exp and log differ between C libraries
    if value is None or isinstance(value, bool | int | str | bytes):
        return value
    raise TypeError(f"no plain form for {type(value)}")


class Recorder:
    """Digests an ordered stream of rows."""

    def __init__(self) -> None:
        self.hash = hashlib.blake2b(digest_size=16)

    def add(self, *row: Any) -> None:
        encoded = cbor2.dumps(plain(row))
        self.hash.update(len(encoded).to_bytes(4, "big") + encoded)

    def hexdigest(self) -> str:
        return self.hash.hexdigest()


# --- nodes on simulated time -----------------------------------------------------------------------------------


class RecordedWorld(World):
    """Records messages, saved records, ends of orders, and what other parts of a node's process are told."""

    @cached_property
    def recorder(self) -> Recorder:
        return Recorder()

    @cached_property
    def loads(self) -> dict[str, dict[str, tuple[float, dict[int, int]]]]:
        """By node, the load that others told it, and when."""
        return {}

    def actions(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if type(action) in LABELS:
                self.recorder.add(self.now, name, action)
            if isinstance(action, LoadReported):
                self.loads.setdefault(name, {})[action.node] = (self.now, action.in_flight_by_tag)
        super().actions(name, actions)

    def send(self, source: str, to: str, message: Message) -> None:
        self.recorder.add(self.now, "message", source, to, wire_bytes(message))
        super().send(source, to, message)

    def save(self, name: str, core: Node, save: Save) -> None:
        self.recorder.add(self.now, "save", name, save.records)
        super().save(name, core, save)

    def done(self, done: ProposalOutcome) -> None:
        version = done.state.version if done.state is not None else None
        row = [done.token, done.succeeded, done.conflict, done.reason, version, done.configuration]
        self.recorder.add(self.now, "order ended", *row)
        super().done(done)


class RecordedChaos(RecordedWorld, chaos.Chaos):
    """A drawn day of troubles, recorded."""


def troubled_day(seed: int) -> str:
    """Play a drawn day of troubles."""
    with mock.patch.object(chaos, "Chaos", RecordedChaos):
        world = chaos.play(draw(seed))
    assert isinstance(world, RecordedChaos)
    world.recorder.add("breaches", len(world.breaches))
    return world.recorder.hexdigest()


def routing_document() -> bytes:
    """Return the configuration of tests/test_forage.py with a split, uploads and tenants of other kinds."""
    made = document()
    reads, _, writes, _, shop, limited, free = made["resourceList"]
    made["resourceList"] += [
        renamed(writes, "uploads", pathPrefix="/u/", routeKind="upload", openAccess=True),
        renamed(reads, "split", pathPrefix="/s/", service=None, weightedSplit=SPLIT, maximumAttempts=3),
        renamed(shop, "cart", coldStartS=0.2),
        renamed(limited, "small", accessKeys=["k3"], requestsPerS=2, burstSize=1),
        renamed(free, "placed", accessKeys=["k4"], homeRegions=["a"]),
    ]
    return json.dumps(made).encode()


def renamed(resource: dict[str, Any], name: str, **changes: Any) -> dict[str, Any]:
    specification = {**resource["specification"], **changes}
    return {**resource, "metadata": {"name": name}, "specification": specification}


def large_document(number: int, changes: dict[int, int]) -> bytes:
    """Return a configuration of many routes, of several packed blocks; `changes` are time-outs of some routes."""
    route, service = (document()["resourceList"][n] for n in (0, 4))
    resources = [
        renamed(route, f"route-{n}", pathPrefix=f"/{server_tag(str(n)):x}/", timeoutMs=changes.get(n, 5000))
        for n in range(600)
    ]
    return json.dumps({"versionNumber": f"r{number}", "resourceList": [*resources, service]}).encode()


def configure(world: World, name: str, body: bytes) -> None:
    call = Call("configure", world.now, name)
    world.call(call, lambda core, token: core.put_configuration(world.now, token, body))


def calm_play(core: int, others: int, seed: int, drop: float, odd: float) -> str:
    """Play operators' calls, lists, load and quota calls where no node fails, but messages may be lost or late."""
    world = RecordedWorld(core, others, seed=seed, drop=drop, odd=odd)
    chance, changes, number = random.Random(seed), dict[int, int](), 1
    world.run(3.0)
    for step in range(72):
        name, act = chance.choice(list(world.machines)), chance.randrange(12)
        if step % 18 == 0:
            number += 1
            changes[chance.randrange(600)] = 1000 + number
            configure(world, name, large_document(number, changes))
        elif step == 60:
            world.retire(name, f"d{core}")
        elif act == 0:
            world.evacuate(name, f"z{chance.randrange(3)}", chance.random() < 0.6)
        elif act < 3:
            world.read(name)
        elif act == 3:
            number += chance.randrange(2)
            world.put(name, number, chance.choice(["one", "other"]))
        elif act == 4:
            listed = draw_servers(chance, "shop")
            world.listing = {"shop": {entry.id: entry for entry in listed}, "cart": {}}
        for each in world.up():
            node = world.machines[each].core
            assert node is not None
            outs = {server_tag(chance.choice(SERVERS)): chance.randrange(4) for _ in range(3)}
            world.actions(each, node.disseminator.report_load(world.now, outs, world.loads.get(each, {})))
            if chance.random() < 0.3:
                tenant, units = f"tenant-{chance.randrange(4)}", float(chance.randrange(-3, 12))
                world.actions(each, node.lease_credits(world.now, tenant, step + 1, units))
        world.run(chance.choice([0.02, 0.1, 0.1, 0.4]))
    world.run(4.0)
    world.recorder.add("breaches", len(world.breaches))
    return world.recorder.hexdigest()


# --- requests, without sockets -----------------------------------------------------------------------------------


def draw_servers(chance: random.Random, service: str) -> list[ServerEntry]:
    return [
        ServerEntry(f"{service}-{n}", f"{n}:1", n[:2], chance.random() < 0.9, chance.randrange(1, 4), "v1")
        for n in chance.sample(SERVERS, 9)
    ]


class Attempts:
    """Tries that are out, as the host of a gateway keeps them, and how they end by lot."""

    def __init__(self, chance: random.Random) -> None:
        self.chance, self.out, self.sent = chance, list[tuple[i.Send, int]](), dict[int, int]()

    def add(self, send: i.Send) -> None:
        attempt = self.sent.get(send.request, 0)
        self.out.append((send, attempt))
        self.sent[send.request] = attempt + 1

    def finish(self) -> i.Finished:
        send, attempt = self.out.pop(self.chance.randrange(len(self.out)))
        outcome, spent = self.chance.choice(OUTCOMES), self.chance.expovariate(4.0)
        report = self.chance.choice([(), (2.0, 1.0), (0.0, 0.0)])
        closed, again = self.chance.random() < 0.1, self.chance.random() < 0.9
        key = (send.request, attempt, send.backend)
        return i.Finished(*key, outcome, closed, spent, 0, 0, report, again)

    def disturb(self) -> i.Event:
        """A client leaves, or an answer has begun, or the last byte of a request has come."""
        send, attempt = self.chance.choice(self.out)
        under_way = i.UnderWay(send.request, attempt, send.backend, 0.1)
        events: list[i.Event] = [i.Left(send.request), under_way, i.Whole(send.request, 2.0)]
        return self.chance.choice(events)


def routing(seed: int) -> str:
    """Drive one node's routing by a drawn stream of events."""
    chance, recorder, now = random.Random(seed), Recorder(), 10.0
    attempts, calls = Attempts(chance), list[CounterCall]()
    fleet = EndpointSet("a1", "a", {"a1": "a", "a2": "a", "b1": "b"}, random.Random(seed + 1))
    router, configuration = (
        RequestRouter(SharedLimits(), fleet, seed + 2),
        parse_configuration(routing_document()),
    )
    routes, tenants = configuration.routes_by_host["h"], [None, *configuration.tenants.values()]

    def hand(event: object) -> None:
        actions: list[Any] = list(router.handle(now, event))
        recorder.add(now, actions, fleet.in_flight_by_tag())
        for action in actions:
            if isinstance(action, i.Send):
                attempts.add(action)
            elif isinstance(action, LeaseCredits):
                calls.append(action.call)

    def change(what: int) -> None:
        if what == 0:
            service = chance.choice(["shop", "cart"])
            gone = router.update_endpoints(now, service, draw_servers(chance, service))
            recorder.add([server.number for server in gone])
        elif what == 1:
            router.set_evacuated_zones(now, frozenset(chance.sample(["a1", "a2", "b1"], chance.randrange(2))))
        elif what == 2:
            router.node_count, router.leaving = chance.choice([1, 4, 31]), chance.random() < 0.2
            router.fresh_until = chance.choice([1e9, 1e9, 1e9, now])
        else:
            outs = {server_tag(f"shop-{n}"): chance.randrange(4) for n in chance.sample(SERVERS, 3)}
            fleet.on_load_report(now, f"d{chance.randrange(5)}", outs)

    router.use_configuration(configuration)
    router.fresh_until, router.node_count = 1e9, 4
    for service in ("shop", "cart"):
        router.update_endpoints(now, service, draw_servers(chance, service))
    for request in range(1, 3001):
        now += chance.expovariate(40.0)
        act = chance.randrange(40)
        if act < 14:
            hand(
                RequestArrived(
                    request, chance.choice(routes), chance.choice(tenants), chance.uniform(0.0, 5.0)
                )
            )
        elif act < 28 and attempts.out:
            hand(attempts.finish())
        elif act < 32 and calls:
            call = calls.pop(chance.randrange(len(calls)))
            units = max(0.0, min(call.units, float(chance.randrange(12))))
            granted = CreditsGranted(call.tenant, call.number, units, chance.random(), chance.random())
            hand(granted if chance.random() < 0.8 else CounterUnavailable(call.tenant))
        elif act == 32 and attempts.out:
            hand(attempts.disturb())
        elif act == 33:
            change(chance.randrange(12))
        else:
            hand(TimerTick())
    recorder.add(list(router.ends.values()), router.requests_on_stale_list)
    return recorder.hexdigest()


def admission(seed: int, **settings: str) -> str:
    """Drive an admission gateway by a drawn stream of events; `settings` are changes of the tests' usual ones."""
    chance, recorder, now = random.Random(seed), Recorder(), helpers.START
    gateway, counter = Gateway(parse_settings(helpers.text(**settings)), seed), helpers.Counter()
    attempts, counts, probes, timers = Attempts(chance), list[i.Count](), list[int](), list[float]()

    def hand(event: i.Event) -> None:
        actions = gateway.handle(now, event)
        recorder.add(now, actions)
        for action in actions:
            match action:
                case i.Send():
                    attempts.add(action)
                case i.Count():
                    counts.append(action)
                case i.Probe():
                    probes.append(action.backend)
                case i.SetTimer():
                    timers.append(action.at)

    def request(number: int) -> i.Request:
        kind = {"cls": chance.randrange(3), "plan": chance.randrange(3), "customer": chance.randrange(9)}
        made = helpers.request(number, **kind, left=chance.uniform(0.2, 4.0))
        retry, streams = chance.random() < 0.1, chance.random() < 0.1
        return dataclasses.replace(made, is_retry=retry, is_write=kind["cls"] == 2, streams=streams)

    def change(version: int) -> i.Event:
        backend, state = chance.randrange(1, 10), chance.choice([*[i.State.READY] * 3, *i.State])
        entry = helpers.entry(backend, state=state, started=now)
        retuned = {**settings, "tariffs__0__quota_rate": chance.choice(["2.0", "6.0"])}
        events: list[i.Event] = [
            *[i.Members(i.Listing.DELTA, version, (entry,))] * 6,
            i.Detached(backend),
            *[i.Attached(backend, now)] * 2,
            i.Retuned(parse_settings(helpers.text(**retuned))),
            i.Processes(chance.randrange(1, 3)),
        ]
        return chance.choice(events)

    hand(i.Members(i.Listing.CACHED, 1, tuple(helpers.entry(n, cell=n % 2) for n in range(1, 9))))
    for number in range(2, 2002):
        now += chance.expovariate(50.0)
        while timers and min(timers) <= now:
            timers.remove(min(timers))
            hand(i.Fired(1))
        act = chance.randrange(40)
        if act < 14:
            hand(request(number))
        elif act < 28 and attempts.out:
            hand(attempts.finish())
        elif act < 35 and counts:
            counter.outcome = Outcome.TIMEOUT if chance.random() < 0.1 else Outcome.OK
            hand(counter.answer(counts.pop(0)))
        elif act == 35 and attempts.out:
            hand(attempts.disturb())
        elif act == 36 and probes:
            hand(i.Probed(probes.pop(), Outcome.OK, 0.01, (chance.random() * 5,)))
        elif act == 37 and chance.random() < 0.4:
            hand(change(number))
        else:
            hand(i.Fired(1))
    return recorder.hexdigest()


DAYS = (100, 103, 106, 111, 116, 120, 122)  # drawn days that take little time
PULLED = {"caps__may_probe": "true", "report__how": "pull", "report__columns": "inflight"}
RUNS: dict[str, Callable[[], str]] = {
    **{f"troubled day {seed}": partial(troubled_day, seed) for seed in DAYS},
    "calm play 3+2": partial(calm_play, 3, 2, 1, 0.0, 0.0),
    "calm play 4+1, drops": partial(calm_play, 4, 1, 2, 0.05, 0.0),
    "calm play 3+4, late": partial(calm_play, 3, 4, 3, 0.0, 0.15),
    "calm play 4+2, both": partial(calm_play, 4, 2, 4, 0.03, 0.1),
    **{f"routing {seed}": partial(routing, seed) for seed in range(3)},
    "admission": partial(admission, 1),
    "admission, loads pulled": partial(admission, 2, **PULLED),
    "admission, many gateways": partial(admission, 3, peers_total="40", tariffs__0__quota_rate="0"),
}
