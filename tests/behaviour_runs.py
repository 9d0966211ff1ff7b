"""Seeded runs of nodes, request routing and the admission gateway, each with a digest of all its output.

A digest covers values only: no class names, attribute names or reprs. If the type of a message or an action
changes, only `wire_bytes` or `LABELS` must follow, and the digests stay the same. The labels, and the texts
that are passed to `Recorder.add`, are part of the digests, so they must not change.
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
    MembersChanged: "changed", TableChanged: "changed", LoadReported: "load told",
    InvariantViolated: "violated",
    CreditsGranted: "granted", CounterUnavailable: "lapsed", RejectOverQuota: "deny", LeaseCredits: "lease",
    AbandonAttempt: "leave", CounterCall: "counter call", i.Send: "send",
    i.Refuse: "refuse", i.Fail: "fail", i.Cancel: "cancel", i.SetTimer: "set timer", i.Probe: "probe",
    i.CloseIdle: "close idle", i.Tell: "tell", i.Log: "log", i.Watch: "watch", i.Pull: "pull",
    i.Count: "count",
}  # fmt: skip
# The digests were recorded when the value of this type was only a key that is local to the process.
WITHOUT_VALUES = (TableChanged,)
SPLIT = [{"service": "shop", "shareWeight": 3}, {"service": "cart", "shareWeight": 1}]
SERVERS = [f"{zone}-{n}" for zone in ("a1", "a2", "b1") for n in range(4)]
OUTCOMES = (*[Outcome.OK] * 12, *Outcome)


def wire_bytes(message: Message) -> bytes:
    """Return the encoding of a message as it is sent on the wire."""
    return codec.encode(message)


def plain(value: Any) -> Any:
    """Convert a value to lists, numbers, strings and bytes, in an order independent of the hash seed."""
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
    """Calculates the digest of an ordered sequence of rows."""

    def __init__(self) -> None:
        self.hash = hashlib.blake2b(digest_size=16)

    def add(self, *row: Any) -> None:
        encoded = cbor2.dumps(plain(row))
        self.hash.update(len(encoded).to_bytes(4, "big") + encoded)

    def hexdigest(self) -> str:
        return self.hash.hexdigest()


# --- nodes on simulated time ----------------------------------------------------------------------------


class RecordedWorld(World):
    """Records messages, saved records, outcomes of proposals and other actions of nodes."""

    @cached_property
    def recorder(self) -> Recorder:
        return Recorder()

    @cached_property
    def load_reports(self) -> dict[str, dict[str, tuple[float, dict[int, int]]]]:
        """The load reports that each node got from other nodes, with the time of receipt."""
        return {}

    def actions(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if type(action) in LABELS:
                self.recorder.add(self.now, name, action)
            if isinstance(action, LoadReported):
                self.load_reports.setdefault(name, {})[action.node] = (self.now, action.in_flight_by_tag)
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
    """A random sequence of faults whose output is recorded."""


def run_with_faults(seed: int) -> str:
    """Run nodes through a random sequence of faults; return the digest."""
    with mock.patch.object(chaos, "Chaos", RecordedChaos):
        world = chaos.play(draw(seed))
    assert isinstance(world, RecordedChaos)
    world.recorder.add("breaches", len(world.breaches))
    return world.recorder.hexdigest()


def routing_document() -> bytes:
    """Return the configuration of test_request_router.py with a split, uploads and more kinds of tenants."""
    result = document()
    reads, _, writes, _, shop, limited, free = result["resourceList"]
    result["resourceList"] += [
        copy_resource(writes, "uploads", pathPrefix="/u/", routeKind="upload", openAccess=True),
        copy_resource(
            reads,
            "split",
            pathPrefix="/s/",
            service=None,
            weightedSplit=SPLIT,
            maximumAttempts=3,
        ),
        copy_resource(shop, "cart", coldStartS=0.2),
        copy_resource(limited, "small", accessKeys=["k3"], requestsPerS=2, burstSize=1),
        copy_resource(free, "placed", accessKeys=["k4"], homeRegions=["a"]),
    ]
    return json.dumps(result).encode()


def copy_resource(resource: dict[str, Any], name: str, **changes: Any) -> dict[str, Any]:
    specification = {**resource["specification"], **changes}
    return {**resource, "metadata": {"name": name}, "specification": specification}


def large_document(number: int, changes: dict[int, int]) -> bytes:
    """Return a configuration of so many routes that it is packed into several blocks.

    `changes` are the time-outs, in milliseconds, of some of the routes by number.
    """
    route, service = (document()["resourceList"][n] for n in (0, 4))
    resources = [
        copy_resource(
            route, f"route-{n}", pathPrefix=f"/{server_tag(str(n)):x}/", timeoutMs=changes.get(n, 5000)
        )
        for n in range(600)
    ]
    return json.dumps({"versionNumber": f"r{number}", "resourceList": [*resources, service]}).encode()


def configure(world: World, name: str, body: bytes) -> None:
    call = Call("configure", world.now, name)
    world.call(call, lambda core, token: core.put_configuration(world.now, token, body))


def run_without_node_failures(core: int, others: int, seed: int, drop: float, odd: float) -> str:
    """Run nodes with calls of operators, server lists, load reports and quota calls; return the digest.

    No node fails, but messages may be lost (`drop`), or late or duplicated (`odd`).
    """
    world = RecordedWorld(core, others, seed=seed, drop=drop, odd=odd)
    rng, changes, number = random.Random(seed), dict[int, int](), 1
    world.run(3.0)
    for step in range(72):
        name, operation = rng.choice(list(world.machines)), rng.randrange(12)
        if step % 18 == 0:
            number += 1
            changes[rng.randrange(600)] = 1000 + number
            configure(world, name, large_document(number, changes))
        elif step == 60:
            world.retire(name, f"d{core}")
        elif operation == 0:
            world.evacuate(name, f"z{rng.randrange(3)}", rng.random() < 0.6)
        elif operation < 3:
            world.read(name)
        elif operation == 3:
            number += rng.randrange(2)
            world.put(name, number, rng.choice(["one", "other"]))
        elif operation == 4:
            entries = random_servers(rng, "shop")
            world.listing = {"shop": {entry.id: entry for entry in entries}, "cart": {}}
        for each in world.up():
            node = world.machines[each].core
            assert node is not None
            in_flight = {server_tag(rng.choice(SERVERS)): rng.randrange(4) for _ in range(3)}
            world.actions(
                each, node.disseminator.report_load(world.now, in_flight, world.load_reports.get(each, {}))
            )
            if rng.random() < 0.3:
                tenant, units = f"tenant-{rng.randrange(4)}", float(rng.randrange(-3, 12))
                world.actions(each, node.lease_credits(world.now, tenant, step + 1, units))
        world.run(rng.choice([0.02, 0.1, 0.1, 0.4]))
    world.run(4.0)
    world.recorder.add("breaches", len(world.breaches))
    return world.recorder.hexdigest()


# --- requests, without sockets --------------------------------------------------------------------------


def random_servers(rng: random.Random, service: str) -> list[ServerEntry]:
    return [
        ServerEntry(f"{service}-{n}", f"{n}:1", n[:2], rng.random() < 0.9, rng.randrange(1, 4), "v1")
        for n in rng.sample(SERVERS, 9)
    ]


class Attempts:
    """Attempts in flight, as the host of a gateway tracks them, with random outcomes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.in_flight, self.sent = rng, list[tuple[i.Send, int]](), dict[int, int]()

    def add(self, send: i.Send) -> None:
        attempt = self.sent.get(send.request, 0)
        self.in_flight.append((send, attempt))
        self.sent[send.request] = attempt + 1

    def finish(self) -> i.Finished:
        send, attempt = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        outcome, spent = self.rng.choice(OUTCOMES), self.rng.expovariate(4.0)
        report = self.rng.choice([(), (2.0, 1.0), (0.0, 0.0)])
        closed, again = self.rng.random() < 0.1, self.rng.random() < 0.9
        key = (send.request, attempt, send.backend)
        return i.Finished(*key, outcome, closed, spent, 0, 0, report, again)

    def random_event(self) -> i.Event:
        """Return that a client left, a response began, or the last byte of a request arrived."""
        send, attempt = self.rng.choice(self.in_flight)
        under_way = i.UnderWay(send.request, attempt, send.backend, 0.1)
        events: list[i.Event] = [i.Left(send.request), under_way, i.Whole(send.request, 2.0)]
        return self.rng.choice(events)


def routing(seed: int) -> str:
    """Drive one node's request router with a random sequence of events; return the digest."""
    rng, recorder, now = random.Random(seed), Recorder(), 10.0
    attempts, calls = Attempts(rng), list[CounterCall]()
    endpoints = EndpointSet("a1", "a", {"a1": "a", "a2": "a", "b1": "b"}, random.Random(seed + 1))
    router, configuration = (
        RequestRouter(SharedLimits(), endpoints, seed + 2),
        parse_configuration(routing_document()),
    )
    routes, tenants = configuration.routes_by_host["h"], [None, *configuration.tenants.values()]

    def deliver(event: object) -> None:
        actions: list[Any] = list(router.handle(now, event))
        recorder.add(now, actions, endpoints.in_flight_by_tag())
        for action in actions:
            if isinstance(action, i.Send):
                attempts.add(action)
            elif isinstance(action, LeaseCredits):
                calls.append(action.call)

    def change(kind: int) -> None:
        if kind == 0:
            service = rng.choice(["shop", "cart"])
            removed = router.update_endpoints(now, service, random_servers(rng, service))
            recorder.add([server.number for server in removed])
        elif kind == 1:
            router.set_evacuated_zones(now, frozenset(rng.sample(["a1", "a2", "b1"], rng.randrange(2))))
        elif kind == 2:
            router.node_count, router.shutting_down = rng.choice([1, 4, 31]), rng.random() < 0.2
            router.fresh_until = rng.choice([1e9, 1e9, 1e9, now])
        else:
            in_flight = {server_tag(f"shop-{n}"): rng.randrange(4) for n in rng.sample(SERVERS, 3)}
            endpoints.on_load_report(now, f"d{rng.randrange(5)}", in_flight)

    router.use_configuration(configuration)
    router.fresh_until, router.node_count = 1e9, 4
    for service in ("shop", "cart"):
        router.update_endpoints(now, service, random_servers(rng, service))
    for request in range(1, 3001):
        now += rng.expovariate(40.0)
        operation = rng.randrange(40)
        if operation < 14:
            deliver(RequestArrived(request, rng.choice(routes), rng.choice(tenants), rng.uniform(0.0, 5.0)))
        elif operation < 28 and attempts.in_flight:
            deliver(attempts.finish())
        elif operation < 32 and calls:
            call = calls.pop(rng.randrange(len(calls)))
            units = max(0.0, min(call.units, float(rng.randrange(12))))
            granted = CreditsGranted(call.tenant, call.number, units, rng.random(), rng.random())
            deliver(granted if rng.random() < 0.8 else CounterUnavailable(call.tenant))
        elif operation == 32 and attempts.in_flight:
            deliver(attempts.random_event())
        elif operation == 33:
            change(rng.randrange(12))
        else:
            deliver(TimerTick())
    recorder.add(list(router.unserved_counts.values()), router.requests_on_stale_list)
    return recorder.hexdigest()


def admission(seed: int, **settings: str) -> str:
    """Drive an admission gateway with a random sequence of events; return the digest.

    `settings` override the default settings of the tests.
    """
    rng, recorder, now = random.Random(seed), Recorder(), helpers.START
    gateway, counter = Gateway(parse_settings(helpers.text(**settings)), seed), helpers.Counter()
    attempts, counts, probes, timers = Attempts(rng), list[i.Count](), list[int](), list[float]()

    def deliver(event: i.Event) -> None:
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
        kind = {"cls": rng.randrange(3), "plan": rng.randrange(3), "customer": rng.randrange(9)}
        result = helpers.request(number, **kind, left=rng.uniform(0.2, 4.0))
        retry, streams = rng.random() < 0.1, rng.random() < 0.1
        return dataclasses.replace(result, is_retry=retry, is_write=kind["cls"] == 2, streams=streams)

    def change(version: int) -> i.Event:
        backend, state = rng.randrange(1, 10), rng.choice([*[i.State.READY] * 3, *i.State])
        entry = helpers.entry(backend, state=state, started=now)
        new_settings = {**settings, "tariffs__0__quota_rate": rng.choice(["2.0", "6.0"])}
        events: list[i.Event] = [
            *[i.Members(i.Listing.DELTA, version, (entry,))] * 6,
            i.Detached(backend),
            *[i.Attached(backend, now)] * 2,
            i.Retuned(parse_settings(helpers.text(**new_settings))),
            i.Processes(rng.randrange(1, 3)),
        ]
        return rng.choice(events)

    deliver(i.Members(i.Listing.CACHED, 1, tuple(helpers.entry(n, cell=n % 2) for n in range(1, 9))))
    for number in range(2, 2002):
        now += rng.expovariate(50.0)
        while timers and min(timers) <= now:
            timers.remove(min(timers))
            deliver(i.Fired(1))
        operation = rng.randrange(40)
        if operation < 14:
            deliver(request(number))
        elif operation < 28 and attempts.in_flight:
            deliver(attempts.finish())
        elif operation < 35 and counts:
            counter.outcome = Outcome.TIMEOUT if rng.random() < 0.1 else Outcome.OK
            deliver(counter.answer(counts.pop(0)))
        elif operation == 35 and attempts.in_flight:
            deliver(attempts.random_event())
        elif operation == 36 and probes:
            deliver(i.Probed(probes.pop(), Outcome.OK, 0.01, (rng.random() * 5,)))
        elif operation == 37 and rng.random() < 0.4:
            deliver(change(number))
        else:
            deliver(i.Fired(1))
    return recorder.hexdigest()


FAULT_SEEDS = (100, 103, 106, 111, 116, 120, 122)  # seeds whose runs take little time
PULLED_LOADS = {"caps__may_probe": "true", "report__how": "pull", "report__columns": "inflight"}
# The names of the runs are keys of golden_digests.json.
RUNS: dict[str, Callable[[], str]] = {
    **{f"troubled day {seed}": partial(run_with_faults, seed) for seed in FAULT_SEEDS},
    "calm play 3+2": partial(run_without_node_failures, 3, 2, 1, 0.0, 0.0),
    "calm play 4+1, drops": partial(run_without_node_failures, 4, 1, 2, 0.05, 0.0),
    "calm play 3+4, late": partial(run_without_node_failures, 3, 4, 3, 0.0, 0.15),
    "calm play 4+2, both": partial(run_without_node_failures, 4, 2, 4, 0.03, 0.1),
    **{f"routing {seed}": partial(routing, seed) for seed in range(3)},
    "admission": partial(admission, 1),
    "admission, loads pulled": partial(admission, 2, **PULLED_LOADS),
    "admission, many gateways": partial(admission, 3, peers_total="40", tariffs__0__quota_rate="0"),
}
