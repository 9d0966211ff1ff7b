"""Requests at one door, without sockets: what runs twice, what is promised, where it may go, how much a tenant gets."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from hazelspring.configuration.model import parse_configuration
from hazelspring.configuration.validation import InvalidConfigurationError, validate_configuration
from hazelspring.quota.counter import QuotaCounter
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditLeases, CreditsGranted
from hazelspring.quota.limits import QuotaLimits
from hazelspring.registry.instance_list import parse_instance_list
from hazelspring.registry.tables import ServerEntry, server_tag
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import (
    AbandonAttempt,
    LeaseCredits,
    RejectOverQuota,
    RequestArrived,
    TimerTick,
)
from hazelspring.routing.load_reports import LOAD_REPORT_LIFETIME
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.route_latency import RouteLatency
from hazelspring.routing.shared_limits import SharedLimits
from orchidhill import interface as i
from orchidhill.interface import Outcome

ZONES = {"a1": "a", "a2": "a", "b1": "b"}


def document(**changes: Any) -> dict[str, Any]:
    def entry(kind: str, name: str, **spec: Any) -> dict[str, Any]:
        return {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}

    base = {"hostName": "h", "timeoutMs": 5000, "targetAnswerMs": 800, "priority": 1, "maximumAttempts": 2}
    home = {**base, "homeRegions": ["b"]}
    return {
        "versionNumber": "r3",
        "resourceList": [
            entry("routeTable", "reads", pathPrefix="/r/", routeKind="read_only", service="shop", **base),
            entry("routeTable", "deep", pathPrefix="/r/deep/", routeKind="read_only", service="shop", **base),
            entry("routeTable", "writes", pathPrefix="/w/", routeKind="mutating", service="shop", **base),
            entry(
                "routeTable",
                "home",
                pathPrefix="/h/",
                routeKind="mutating",
                service="shop",
                **home,
            ),
            entry(
                "serviceTable", "shop", healthPath="/health", connectionLimit=9, coldStartS=3.0, coldPerS=2
            ),
            entry("tenantTable", "green", accessKeys=["k1"], requestsPerS=10, burstSize=10),
            entry("tenantTable", "free", accessKeys=["k2"]),
        ],
        **changes,
    }


CONFIGURATION = parse_configuration(json.dumps(document()).encode())


def servers(*names: str, accepting: bool = True) -> list[ServerEntry]:
    """Servers named by their zone and a number: a1-0."""
    return [ServerEntry(name, f"{name}:1", name.split("-")[0], accepting, 2, "v1") for name in names]


class Gate:
    def __init__(self, *names: str) -> None:
        fleet = EndpointSet("a1", "a", ZONES, random.Random(1))
        self.router, self.now, self.number = RequestRouter(SharedLimits(), fleet, 1), 10.0, 0
        self.router.use_configuration(CONFIGURATION)
        self.router.update_endpoints(self.now, "shop", servers(*names))
        self.router.fresh_until = 1e9
        self.router.node_count = (
            31  # whose shares of a small quota's reserve are none, and of further tries one
        )

    def ask(self, path: str, tenant: str = "free", left: float = 4.0) -> list[Any]:
        self.number += 1
        route = CONFIGURATION.find_route("h", path)
        assert route is not None
        return self.handle(RequestArrived(self.number, route, CONFIGURATION.tenants[tenant], left))

    def handle(self, event: Any) -> list[Any]:
        return list(self.router.handle(self.now, event))

    def ends(self, send: i.Send, outcome: Outcome, spent: float = 0.2) -> list[Any]:
        self.now += spent
        return self.handle(i.Finished(send.request, 0, send.backend, outcome, False, spent, 0, 0, ()))

    def name(self, send: i.Send) -> str:
        return self.router.fleet.servers[send.backend].id


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
def test_a_write_that_may_have_run_is_sent_to_nobody_else_and_promised_nothing(outcome: Outcome) -> None:
    gate = Gate("a1-0", "a1-1")
    (send,) = gate.ask("/w/1")
    assert gate.ends(send, outcome) == [i.Fail(send.request)]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_write_that_never_ran_goes_to_another_server_then_is_refused(outcome: Outcome) -> None:
    gate = Gate("a1-0", "a1-1")
    (send,) = gate.ask("/w/1")
    (again,) = gate.ends(send, outcome)
    assert isinstance(again, i.Send) and gate.name(again) != gate.name(send)
    (refused,) = gate.ends(again, outcome)
    assert isinstance(refused, i.Refuse) and refused.retry_after > 0


def test_a_read_is_tried_elsewhere_until_its_attempts_or_the_allowance_end() -> None:
    gate = Gate("a1-0", "a1-1", "a1-2")
    (send,) = gate.ask("/r/1")
    (again,) = gate.ends(send, Outcome.RESET)
    assert isinstance(again, i.Send)
    assert gate.ends(again, Outcome.RESET) == [i.Fail(send.request)]
    gate.router.node_count, further = 1, 0
    for _ in range(200):  # all fail: further tries stay within half of the rule's ratio and slack
        (send,) = [a for a in gate.ask("/r/1") if isinstance(a, i.Send)]
        further += any(isinstance(a, i.Send) for a in gate.ends(send, Outcome.RESET, 0.0))
    assert 30 < further + 1 <= 0.1 * 201 + 31


def silent(gate: Gate, seconds: float) -> list[Any]:
    """What is done while no server answers."""
    found = []
    for _ in range(round(seconds / 0.05)):
        gate.now += 0.05
        found += gate.handle(TimerTick())
    return found


def test_a_slow_server_is_left_only_for_another_one_that_is_sure() -> None:
    gate = Gate("a1-0", "a1-1")
    (send,) = gate.ask("/r/1")
    assert send.timeout == 0  # its server is told all the time that is left
    (leave,) = silent(gate, 2.0)
    assert leave == AbandonAttempt(send.request, 0)
    gate.router.node_count = 1000  # whose shares are none: the try is taken already
    (again,) = gate.ends(send, Outcome.TIMEOUT)
    assert isinstance(again, i.Send) and gate.name(again) != gate.name(send)
    assert silent(gate, 1.0) == []  # its last attempt
    (write,) = gate.ask("/w/1")
    assert isinstance(write, i.Send) and silent(gate, 2.0) == []


@pytest.mark.parametrize("why", ["no allowance", "no other server", "no time", "it ends soon"])
def test_a_server_at_work_is_not_broken_off_where_nothing_could_follow(why: str) -> None:
    gate = Gate("a1-0", *(["a1-1"] if why != "no other server" else []))
    if why == "no allowance":
        gate.router.node_count = 1000
    gate.router.leaving = why == "it ends soon"
    (send,) = gate.ask("/r/1", left=1.3 if why == "no time" else 4.0)
    if why == "no time":
        gate.router.fleet.route_latencies["reads"] = RouteLatency(1.5)
    assert isinstance(send, i.Send) and send.timeout == 0 and silent(gate, 3.5) == []


def test_a_server_is_spared_what_may_be_repeated_once_its_client_has_gone_and_finishes_all_else() -> None:
    gate = Gate("a1-0", "a1-1")
    (read_,), (write,) = gate.ask("/r/1"), gate.ask("/w/1")
    assert gate.handle(i.Left(read_.request)) == [i.Cancel(read_.request, 0)]
    assert gate.handle(i.Left(write.request)) == [] and gate.handle(i.Left(read_.request)) == []
    assert gate.ends(read_, Outcome.CANCELLED) == gate.ends(write, Outcome.OK) == []
    (read_,) = gate.ask("/r/2")
    (again,) = gate.ends(read_, Outcome.RESET)
    assert gate.handle(i.Left(again.request)) == [i.Cancel(again.request, 1)]
    gate.ends(again, Outcome.CANCELLED)
    ill = [server.failures or server.in_flight for server in gate.router.fleet.servers.values()]
    assert sum(ill) == 1  # by the reset; nothing is counted as out, and who was left is not taken for ill
    assert isinstance(gate.ask("/r/3")[0], i.Send)


def test_homes_evacuations_draining_and_cold_servers_leave_none() -> None:
    gate = Gate("a1-0", "b1-0")
    (send,) = gate.ask("/h/1")
    assert gate.name(send) == "b1-0"
    gate.router.set_evacuated_zones(gate.now, frozenset(("b1",)))
    assert isinstance(gate.ask("/h/1")[0], i.Refuse)
    gate.router.set_evacuated_zones(gate.now, frozenset())
    assert isinstance(gate.ask("/h/1")[0], i.Refuse)  # taken back: its servers may be cold
    gate.now += 4.0
    assert isinstance(gate.ask("/h/1")[0], i.Send)
    gate.router.update_endpoints(gate.now, "shop", servers("a1-0", "b1-9"))  # a new life is cold
    assert isinstance(gate.ask("/h/1")[0], i.Refuse)
    gate.router.update_endpoints(gate.now, "shop", servers("a1-0", "b1-9", accepting=False))
    gate.now += 9.0
    assert isinstance(gate.ask("/h/1")[0], i.Refuse) and isinstance(gate.ask("/r/1")[0], i.Refuse)


def test_a_node_that_heard_nothing_fresh_refuses_keyed_requests_at_once() -> None:
    gate = Gate("a1-0")
    gate.router.fresh_until = gate.now - 0.01
    (refused,) = gate.ask("/w/1")
    assert isinstance(refused, i.Refuse) and refused.retry_after > 0


def test_load_that_others_tell_of_sends_requests_elsewhere() -> None:
    gate = Gate("a1-0", "a1-1")
    gate.router.fleet.on_load_report(gate.now, "d2", {server_tag("a1-0"): 6})
    assert {gate.name(gate.ask("/r/1")[0]) for _ in range(3)} == {"a1-1"}
    gate.now += 2.0
    gate.handle(TimerTick())
    assert "a1-0" in {gate.name(gate.ask("/r/1")[0]) for _ in range(6)}


def test_what_others_have_out_is_the_sum_of_their_last_words_whoever_is_silent_or_listed() -> None:
    chance, names = random.Random(3), [f"a1-{n}" for n in range(6)]
    gate, told = Gate(*names), dict[str, tuple[float, dict[int, int]]]()
    for _ in range(400):
        gate.now += chance.choice([0.0, 0.05, 0.7])
        machine, outs = (
            f"d{chance.randrange(5)}",
            {server_tag(n): chance.randrange(4) for n in chance.sample(names, 3)},
        )
        told[machine] = (gate.now, outs)
        gate.router.fleet.on_load_report(gate.now, machine, outs)
        if chance.random() < 0.2:
            gate.router.update_endpoints(gate.now, "shop", servers(*chance.sample(names, 4)))
        if chance.random() < 0.5:
            with pytest.raises((AttributeError, TypeError)):
                gate.router.fleet.on_load_report(gate.now, machine, {server_tag(names[0]): "x"})  # type: ignore[dict-item]
        gate.handle(TimerTick())
        for server in gate.router.fleet.servers.values():
            heard = [outs for at, outs in told.values() if gate.now - at <= LOAD_REPORT_LIFETIME]
            assert server.in_flight_elsewhere == sum(outs.get(server_tag(server.id), 0) for outs in heard)


def test_a_denied_lease_refuses_until_the_edge_and_a_lost_counter_shortly() -> None:
    gate = Gate("a1-0")
    (lease,) = gate.ask("/r/1", "green")
    assert isinstance(lease, LeaseCredits)
    assert gate.ask("/r/1", "green") == []  # one lease in flight: others wait for it
    denied = gate.handle(CreditsGranted("green", lease.call.number, 0.0, 0.6, 1.0))
    assert [type(action) for action in denied] == [RejectOverQuota, RejectOverQuota] and 0.5 < denied[
        0
    ].retry_after <= 0.6
    assert isinstance(gate.ask("/r/1", "green")[0], RejectOverQuota)
    gate.now += 0.7
    (lease,) = gate.ask("/r/1", "green")
    (refused,) = gate.handle(CounterUnavailable("green"))
    assert isinstance(refused, i.Refuse)
    gate.ask("/r/1", "green")
    for _ in range(10):
        gate.now += 0.1
        ended = [a for a in gate.handle(TimerTick()) if isinstance(a, i.Refuse)]
        if ended:
            break
    assert ended  # a counter that does not answer is given up on


def test_a_node_lets_its_even_share_in_alone_where_no_counter_answers() -> None:
    gate = Gate("a1-0")
    gate.router.node_count = 5
    sent = 0
    for _ in range(100):  # ten seconds
        gate.now += 0.1
        for action in gate.ask("/r/1", "green"):
            if isinstance(action, LeaseCredits):
                sent += sum(isinstance(a, i.Send) for a in gate.handle(CounterUnavailable("green")))
    assert sent == 2 * gate.router.limits.quota.reserve(10, 10, 5) > 0  # in each span of five


def test_no_span_sees_more_than_the_rule_whatever_nodes_and_owners_do() -> None:
    """Eleven doors ask as fast as they can, calls are lost, and the counter moves to a new owner twice."""
    rule, rate, burst, dice = QuotaLimits(), 10.0, 10.0, random.Random(5)
    machines = [CreditLeases(rule) for _ in range(11)]
    served: list[float] = []
    counter, until, now = QuotaCounter(rule.window), 0.0, 50.0
    flying: list[tuple[float, CreditLeases, CounterCall]] = []
    for tick in range(3000):
        now += 0.01
        if tick in (900, 1700):  # its owner died: a new one starts when the old one's lease has ended
            counter, dead = QuotaCounter(rule.window), until
        owner = tick < 900 or now >= dead
        until = now + 1.0 if owner else until
        for machine in machines:
            machine.request_credit(now, "green", rate, burst, tick, 11)
            machine.tick(now)
            flying += [(now + dice.choice((0.001, 0.02, 0.04)), machine, call) for call in machine.calls]
            machine.calls = []
            served += [now for verdict in machine.verdicts if verdict.admitted]
            machine.verdicts = []
        due, flying = [f for f in flying if f[0] <= now], [f for f in flying if f[0] > now]
        for _, machine, call in due:
            if owner and dice.random() > 0.1:
                limit, caller = rule.window_limit(rate, burst, 11), ("door", machines.index(machine))
                granted = counter.grant(now, until, "green", call.units, limit, caller, call.number)
                machine.on_granted(now, CreditsGranted("green", call.number, *granted))
    most = max(
        sum(start <= t < start + rule.span for t in served) for start in [50 + n * 0.1 for n in range(250)]
    )
    assert most <= (rate * rule.span + burst) * (1 + rule.overage) + rule.slack
    assert len(served) / 30 > rate  # and the tenant gets what it pays for


def test_what_is_given_back_counts_once_and_only_of_what_its_window_granted_its_giver() -> None:
    counter, one, other = QuotaCounter(10.0), ("a", 1), ("b", 1)

    def call(now: float, caller: tuple[str, int], number: int, units: float) -> float:
        return counter.grant(now, 1e9, "green", units, 40.0, caller, number)[0]

    assert (call(1, one, 1, 30.0), call(1, other, 1, 20.0)) == (30.0, 10.0)
    for _ in range(3):  # comes more than once
        call(2, one, 2, -10.0)
    assert call(3, other, 2, 40.0) == 10.0
    call(4, ("a", 2), 1, -20.0)  # of another life
    assert call(5, other, 3, 40.0) == 0.0
    assert call(11, one, 4, 5.0) == 5.0
    call(12, one, 3, -20.0)  # of the window before, late
    call(12, other, 4, -10.0)
    assert call(13, other, 5, 40.0) == 35.0


def test_routes_by_the_longest_prefix_and_splits_by_weight() -> None:
    found = CONFIGURATION.find_route("h", "/r/deep/x")
    assert found is not None and found.name == "deep" and CONFIGURATION.find_route("h", "/none/") is None
    split = document()
    split["resourceList"][0]["specification"].update(
        service=None,
        weightedSplit=[{"service": "shop", "shareWeight": 0}, {"service": "other", "shareWeight": 5}],
    )
    route = parse_configuration(json.dumps(split).encode()).find_route("h", "/r/")
    assert route is not None and {route.pick_service(n / 10) for n in range(10)} == {"other"}


def changed(entry: int, **spec: Any) -> dict[str, Any]:
    made = document()
    made["resourceList"][entry]["specification"].update(spec)
    return made


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (json.dumps(document())[:-9], "body"),
        ("[1]", "_schema"),
        (json.dumps(document(versionNumber="12")), "versionNumber"),
        (json.dumps(changed(0, service="none")), "routeTable.reads.service"),
        (json.dumps(changed(0, pathPrefix="/w/")), "pathPrefix"),
        (json.dumps(changed(0, weightedSplit=[{"service": "shop", "shareWeight": 0}])), "weightedSplit"),
        (json.dumps(changed(0, weightedSplit=[])), "weightedSplit"),
        (json.dumps(changed(0, timeoutMs=0)), "timeoutMs"),
        (json.dumps(changed(0, targetAnswerMs=65_000)), "targetAnswerMs"),
        (json.dumps(changed(0, routeKind="odd")), "routeKind"),
        (json.dumps(changed(6, accessKeys=["k1"])), "accessKeys"),
        (json.dumps(changed(0, hostName=5)), "hostName"),
    ],
)
def test_every_invalid_configuration_is_refused_by_its_field(body: str, field: str) -> None:
    with pytest.raises(InvalidConfigurationError, match=field):
        validate_configuration(body.encode())
    assert validate_configuration(json.dumps(document()).encode()) == 3


def test_a_page_that_is_none_is_no_list() -> None:
    entry = {
        "service": "s",
        "address": "x:1",
        "zone": "a1",
        "serverState": "draining",
        "coldRemainingMs": 1500,
    }
    (found,) = (
        parse_instance_list([json.dumps({"instanceList": {"i": entry}}).encode()], 5.0).servers["s"].values()
    )
    assert not found.accepting and found.cold_until == 6.5
    for page in (b"{}", b"nothing", b'{"instanceList": {"i": {}}}', b'{"instanceList": []}', b"[]"):
        with pytest.raises(ValueError):
            parse_instance_list([page], 5.0)
