"""Requests at one node, without sockets: retries, promises, candidates, and the quotas of tenants."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
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


class RouterHarness:
    """A router with the servers that are named, its clock, and the numbers of its requests."""

    def __init__(self, *names: str) -> None:
        fleet = EndpointSet("a1", "a", ZONES, random.Random(1))
        self.router = RequestRouter(SharedLimits(), fleet, 1)
        self.now = 10.0
        self.last_request = 0
        self.router.use_configuration(CONFIGURATION)
        self.router.update_endpoints(self.now, "shop", servers(*names))
        self.router.fresh_until = 1e9
        # So many that an even share of a small quota's reserve is no request, and of the retry slack one.
        self.router.node_count = 31

    def request(self, path: str, tenant: str = "free", left: float = 4.0) -> list[Any]:
        self.last_request += 1
        route = CONFIGURATION.find_route("h", path)
        assert route is not None
        return self.handle(RequestArrived(self.last_request, route, CONFIGURATION.tenants[tenant], left))

    def handle(self, event: Any) -> list[Any]:
        return list(self.router.handle(self.now, event))

    def finish(self, send: i.Send, outcome: Outcome, spent: float = 0.2) -> list[Any]:
        self.now += spent
        return self.handle(i.Finished(send.request, 0, send.backend, outcome, False, spent, 0, 0, ()))

    def server_of(self, send: i.Send) -> str:
        return self.router.fleet.servers[send.backend].id


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
def test_a_write_that_may_have_run_is_not_retried_and_answered_without_a_promise(outcome: Outcome) -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/w/1")
    assert harness.finish(send, outcome) == [i.Fail(send.request)]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_write_that_never_ran_is_retried_once_then_rejected(outcome: Outcome) -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/w/1")
    (again,) = harness.finish(send, outcome)
    assert isinstance(again, i.Send) and harness.server_of(again) != harness.server_of(send)
    (refused,) = harness.finish(again, outcome)
    assert isinstance(refused, i.Refuse) and refused.retry_after > 0


def test_a_read_is_retried_until_its_attempts_or_the_retry_budget_are_used_up() -> None:
    harness = RouterHarness("a1-0", "a1-1", "a1-2")
    (send,) = harness.request("/r/1")
    (again,) = harness.finish(send, Outcome.RESET)
    assert isinstance(again, i.Send)
    assert harness.finish(again, Outcome.RESET) == [i.Fail(send.request)]
    harness.router.node_count, retries = 1, 0
    for _ in range(200):  # all fail: retries stay within half of the limit's ratio and slack
        (send,) = [a for a in harness.request("/r/1") if isinstance(a, i.Send)]
        retries += any(isinstance(a, i.Send) for a in harness.finish(send, Outcome.RESET, 0.0))
    assert 30 < retries + 1 <= 0.1 * 201 + 31


def tick_without_answers(harness: RouterHarness, seconds: float) -> list[Any]:
    """Return the instructions of so many seconds in which no server answers."""
    found = []
    for _ in range(round(seconds / 0.05)):
        harness.now += 0.05
        found += harness.handle(TimerTick())
    return found


def test_a_slow_attempt_is_abandoned_only_for_a_server_that_has_room() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/r/1")
    assert send.timeout == 0  # its server gets all the time that is left
    (abandon,) = tick_without_answers(harness, 2.0)
    assert abandon == AbandonAttempt(send.request, 0)
    harness.router.node_count = 1000  # whose shares are none: the retry is reserved already
    (again,) = harness.finish(send, Outcome.TIMEOUT)
    assert isinstance(again, i.Send) and harness.server_of(again) != harness.server_of(send)
    assert tick_without_answers(harness, 1.0) == []  # its last attempt
    (write,) = harness.request("/w/1")
    assert isinstance(write, i.Send) and tick_without_answers(harness, 2.0) == []


@pytest.mark.parametrize("why", ["no retry budget", "no other server", "no time", "the node leaves"])
def test_an_attempt_is_not_abandoned_where_no_other_could_follow(why: str) -> None:
    harness = RouterHarness("a1-0", *(["a1-1"] if why != "no other server" else []))
    if why == "no retry budget":
        harness.router.node_count = 1000
    harness.router.leaving = why == "the node leaves"
    (send,) = harness.request("/r/1", left=1.3 if why == "no time" else 4.0)
    if why == "no time":
        harness.router.fleet.route_latencies["reads"] = RouteLatency(1.5)
    assert isinstance(send, i.Send) and send.timeout == 0 and tick_without_answers(harness, 3.5) == []


def test_attempts_of_a_client_that_has_gone_are_cancelled_where_idempotent() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (read,), (write,) = harness.request("/r/1"), harness.request("/w/1")
    assert harness.handle(i.Left(read.request)) == [i.Cancel(read.request, 0)]
    assert harness.handle(i.Left(write.request)) == [] and harness.handle(i.Left(read.request)) == []
    assert harness.finish(read, Outcome.CANCELLED) == harness.finish(write, Outcome.OK) == []
    (read,) = harness.request("/r/2")
    (again,) = harness.finish(read, Outcome.RESET)
    assert harness.handle(i.Left(again.request)) == [i.Cancel(again.request, 1)]
    harness.finish(again, Outcome.CANCELLED)
    marked = [server.failures or server.in_flight for server in harness.router.fleet.servers.values()]
    assert sum(marked) == 1  # the reset's: nothing is in flight, and a cancellation is no failure
    assert isinstance(harness.request("/r/3")[0], i.Send)


def test_home_regions_evacuations_draining_and_slow_start_leave_no_candidate() -> None:
    harness = RouterHarness("a1-0", "b1-0")
    (send,) = harness.request("/h/1")
    assert harness.server_of(send) == "b1-0"
    harness.router.set_evacuated_zones(harness.now, frozenset(("b1",)))
    assert isinstance(harness.request("/h/1")[0], i.Refuse)
    harness.router.set_evacuated_zones(harness.now, frozenset())
    assert isinstance(harness.request("/h/1")[0], i.Refuse)  # no longer evacuated: its servers may be cold
    harness.now += 4.0
    assert isinstance(harness.request("/h/1")[0], i.Send)
    harness.router.update_endpoints(harness.now, "shop", servers("a1-0", "b1-9"))  # a new incarnation is cold
    assert isinstance(harness.request("/h/1")[0], i.Refuse)
    harness.router.update_endpoints(harness.now, "shop", servers("a1-0", "b1-9", accepting=False))
    harness.now += 9.0
    assert isinstance(harness.request("/h/1")[0], i.Refuse) and isinstance(
        harness.request("/r/1")[0], i.Refuse
    )


def test_requests_with_access_keys_are_rejected_on_a_stale_configuration() -> None:
    harness = RouterHarness("a1-0")
    harness.router.fresh_until = harness.now - 0.01
    (refused,) = harness.request("/w/1")
    assert isinstance(refused, i.Refuse) and refused.retry_after > 0


def test_load_reports_of_other_nodes_send_requests_elsewhere() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    harness.router.fleet.on_load_report(harness.now, "d2", {server_tag("a1-0"): 6})
    assert {harness.server_of(harness.request("/r/1")[0]) for _ in range(3)} == {"a1-1"}
    harness.now += 2.0
    harness.handle(TimerTick())
    assert "a1-0" in {harness.server_of(harness.request("/r/1")[0]) for _ in range(6)}


def test_load_elsewhere_is_the_sum_of_the_last_reports_whoever_is_silent_or_listed() -> None:
    draws, names = random.Random(3), [f"a1-{n}" for n in range(6)]
    harness, reports = RouterHarness(*names), dict[str, tuple[float, dict[int, int]]]()
    for _ in range(400):
        harness.now += draws.choice([0.0, 0.05, 0.7])
        node, in_flight = (
            f"d{draws.randrange(5)}",
            {server_tag(n): draws.randrange(4) for n in draws.sample(names, 3)},
        )
        reports[node] = (harness.now, in_flight)
        harness.router.fleet.on_load_report(harness.now, node, in_flight)
        if draws.random() < 0.2:
            harness.router.update_endpoints(harness.now, "shop", servers(*draws.sample(names, 4)))
        if draws.random() < 0.5:
            with pytest.raises((AttributeError, TypeError)):
                harness.router.fleet.on_load_report(harness.now, node, {server_tag(names[0]): "x"})  # type: ignore[dict-item]
        harness.handle(TimerTick())
        for server in harness.router.fleet.servers.values():
            recent = [counts for at, counts in reports.values() if harness.now - at <= LOAD_REPORT_LIFETIME]
            assert server.in_flight_elsewhere == sum(
                counts.get(server_tag(server.id), 0) for counts in recent
            )


def test_denied_credits_reject_until_the_window_ends_and_a_lost_counter_for_a_short_time() -> None:
    harness = RouterHarness("a1-0")
    (lease,) = harness.request("/r/1", "green")
    assert isinstance(lease, LeaseCredits)
    assert harness.request("/r/1", "green") == []  # one lease in flight: others wait for it
    denied = harness.handle(CreditsGranted("green", lease.call.number, 0.0, 0.6, 1.0))
    assert [type(action) for action in denied] == [RejectOverQuota, RejectOverQuota] and 0.5 < denied[
        0
    ].retry_after <= 0.6
    assert isinstance(harness.request("/r/1", "green")[0], RejectOverQuota)
    harness.now += 0.7
    (lease,) = harness.request("/r/1", "green")
    (refused,) = harness.handle(CounterUnavailable("green"))
    assert isinstance(refused, i.Refuse)
    harness.request("/r/1", "green")
    for _ in range(10):
        harness.now += 0.1
        ended = [a for a in harness.handle(TimerTick()) if isinstance(a, i.Refuse)]
        if ended:
            break
    assert ended  # a counter that does not answer is given up on


def test_a_node_admits_its_even_share_of_the_reserve_where_no_counter_answers() -> None:
    harness = RouterHarness("a1-0")
    harness.router.node_count = 5
    sent = 0
    for _ in range(100):  # ten seconds
        harness.now += 0.1
        for action in harness.request("/r/1", "green"):
            if isinstance(action, LeaseCredits):
                sent += sum(isinstance(a, i.Send) for a in harness.handle(CounterUnavailable("green")))
    assert sent == 2 * harness.router.limits.quota.reserve(10, 10, 5) > 0  # in each span of five


def test_no_span_sees_more_than_the_limit_whatever_nodes_and_owners_do() -> None:
    """Eleven nodes ask as fast as they can, calls are lost, and the counter moves to a new owner twice."""
    limits, rate, burst, draws = QuotaLimits(), 10.0, 10.0, random.Random(5)
    nodes = [CreditLeases(limits) for _ in range(11)]
    served: list[float] = []
    counter, lease_end, now = QuotaCounter(limits.window), 0.0, 50.0
    in_transit: list[tuple[float, CreditLeases, CounterCall]] = []
    for tick in range(3000):
        now += 0.01
        if tick in (900, 1700):  # its owner died: a new one starts when the old one's lease has ended
            counter, free_at = QuotaCounter(limits.window), lease_end
        owner = tick < 900 or now >= free_at
        lease_end = now + 1.0 if owner else lease_end
        for node in nodes:
            node.request_credit(now, "green", rate, burst, tick, 11)
            node.tick(now)
            in_transit += [(now + draws.choice((0.001, 0.02, 0.04)), node, call) for call in node.calls]
            node.calls = []
            served += [now for verdict in node.verdicts if verdict.admitted]
            node.verdicts = []
        due, in_transit = [f for f in in_transit if f[0] <= now], [f for f in in_transit if f[0] > now]
        for _, node, call in due:
            if owner and draws.random() > 0.1:
                limit, caller = limits.window_limit(rate, burst, 11), ("node", nodes.index(node))
                granted = counter.grant(now, lease_end, "green", call.units, limit, caller, call.number)
                node.on_granted(now, CreditsGranted("green", call.number, *granted))
    most = max(
        sum(start <= t < start + limits.span for t in served) for start in [50 + n * 0.1 for n in range(250)]
    )
    assert most <= (rate * limits.span + burst) * (1 + limits.overage) + limits.slack
    assert len(served) / 30 > rate  # and the tenant gets what it pays for


def test_credits_given_back_count_once_and_only_those_that_the_window_granted_to_the_caller() -> None:
    counter, one, other = QuotaCounter(10.0), ("a", 1), ("b", 1)

    def call(now: float, caller: tuple[str, int], number: int, units: float) -> float:
        return counter.grant(now, 1e9, "green", units, 40.0, caller, number)[0]

    assert (call(1, one, 1, 30.0), call(1, other, 1, 20.0)) == (30.0, 10.0)
    for _ in range(3):  # comes more than once
        call(2, one, 2, -10.0)
    assert call(3, other, 2, 40.0) == 10.0
    call(4, ("a", 2), 1, -20.0)  # of another incarnation
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


def test_a_malformed_page_is_no_instance_list() -> None:
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
