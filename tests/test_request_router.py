"""Request routing at one node, without sockets: retries, rejections, candidate servers and quotas."""

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

ZONES = {"a1": "a", "a2": "a", "b1": "b"}  # region by zone


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
    """Return entries of servers whose names consist of the zone and a number, such as a1-0."""
    return [ServerEntry(name, f"{name}:1", name.split("-")[0], accepting, 2, "v1") for name in names]


class RouterHarness:
    """A router that knows the named servers, with a simulated clock and consecutive request numbers."""

    def __init__(self, *names: str) -> None:
        endpoints = EndpointSet("a1", "a", ZONES, random.Random(1))
        self.router = RequestRouter(SharedLimits(), endpoints, 1)
        self.now = 10.0
        self.last_request = 0
        self.router.use_configuration(CONFIGURATION)
        self.router.update_endpoints(self.now, "shop", servers(*names))
        self.router.fresh_until = 1e9
        # One of 31 nodes has no request in its share of a small quota's reserve, and one retry in its share
        # of the retry slack.
        self.router.node_count = 31

    def request(self, path: str, tenant: str = "free", time_left: float = 4.0) -> list[Any]:
        self.last_request += 1
        route = CONFIGURATION.find_route("h", path)
        assert route is not None
        return self.handle(
            RequestArrived(self.last_request, route, CONFIGURATION.tenants[tenant], time_left),
        )

    def handle(self, event: Any) -> list[Any]:
        return list(self.router.handle(self.now, event))

    def finish(self, send: i.Send, outcome: Outcome, spent: float = 0.2) -> list[Any]:
        self.now += spent
        return self.handle(i.Finished(send.request, 0, send.backend, outcome, False, spent, 0, 0, ()))

    def server_of(self, send: i.Send) -> str:
        return self.router.endpoints.servers[send.backend].id


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
def test_a_write_that_may_have_run_is_not_retried_and_its_response_does_not_allow_a_repeat(
    outcome: Outcome,
) -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/w/1")
    assert harness.finish(send, outcome) == [i.Fail(send.request)]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_a_write_that_never_ran_is_retried_once_then_rejected(outcome: Outcome) -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/w/1")
    (retry,) = harness.finish(send, outcome)
    assert isinstance(retry, i.Send) and harness.server_of(retry) != harness.server_of(send)
    (rejection,) = harness.finish(retry, outcome)
    assert isinstance(rejection, i.Refuse) and rejection.retry_after > 0


def test_a_read_is_retried_until_its_attempts_or_the_retry_budget_are_used_up() -> None:
    harness = RouterHarness("a1-0", "a1-1", "a1-2")
    (send,) = harness.request("/r/1")
    (retry,) = harness.finish(send, Outcome.RESET)
    assert isinstance(retry, i.Send)
    assert harness.finish(retry, Outcome.RESET) == [i.Fail(send.request)]
    harness.router.node_count, retries = 1, 0
    for _ in range(200):  # all fail; one node may use half of the retry ratio and slack
        (send,) = [a for a in harness.request("/r/1") if isinstance(a, i.Send)]
        retries += any(isinstance(a, i.Send) for a in harness.finish(send, Outcome.RESET, 0.0))
    assert 30 < retries + 1 <= 0.1 * 201 + 31


def tick_without_answers(harness: RouterHarness, seconds: float) -> list[Any]:
    """Let a time pass in which no server responds, and return the instructions of the router."""
    instructions = []
    for _ in range(round(seconds / 0.05)):
        harness.now += 0.05
        instructions += harness.handle(TimerTick())
    return instructions


def test_a_slow_attempt_is_abandoned_only_if_another_server_has_room() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (send,) = harness.request("/r/1")
    assert send.timeout == 0  # no time-out of its own: the attempt may take all the time that is left
    (abandon,) = tick_without_answers(harness, 2.0)
    assert abandon == AbandonAttempt(send.request, 0)
    harness.router.node_count = 1000  # too many for a retry in the budget, but one is reserved already
    (retry,) = harness.finish(send, Outcome.TIMEOUT)
    assert isinstance(retry, i.Send) and harness.server_of(retry) != harness.server_of(send)
    assert tick_without_answers(harness, 1.0) == []  # the last attempt is not abandoned
    (write,) = harness.request("/w/1")
    assert isinstance(write, i.Send) and tick_without_answers(harness, 2.0) == []


@pytest.mark.parametrize("reason", ["no retry budget", "no other server", "no time", "the node is leaving"])
def test_a_slow_attempt_is_not_abandoned_if_no_other_could_follow(reason: str) -> None:
    harness = RouterHarness("a1-0", *(["a1-1"] if reason != "no other server" else []))
    if reason == "no retry budget":
        harness.router.node_count = 1000
    harness.router.shutting_down = reason == "the node is leaving"
    (send,) = harness.request("/r/1", time_left=1.3 if reason == "no time" else 4.0)
    if reason == "no time":
        harness.router.endpoints.route_latencies["reads"] = RouteLatency(1.5)
    assert isinstance(send, i.Send) and send.timeout == 0 and tick_without_answers(harness, 3.5) == []


def test_attempts_for_a_disconnected_client_are_cancelled_if_idempotent() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    (read,), (write,) = harness.request("/r/1"), harness.request("/w/1")
    assert harness.handle(i.Left(read.request)) == [i.Cancel(read.request, 0)]
    assert harness.handle(i.Left(write.request)) == [] and harness.handle(i.Left(read.request)) == []
    assert harness.finish(read, Outcome.CANCELLED) == harness.finish(write, Outcome.OK) == []
    (read,) = harness.request("/r/2")
    (retry,) = harness.finish(read, Outcome.RESET)
    assert harness.handle(i.Left(retry.request)) == [i.Cancel(retry.request, 1)]
    harness.finish(retry, Outcome.CANCELLED)
    marked = [server.failures or server.in_flight for server in harness.router.endpoints.servers.values()]
    assert sum(marked) == 1  # only the reset counts: nothing is in flight, and a cancellation is no failure
    assert isinstance(harness.request("/r/3")[0], i.Send)


def test_home_regions_evacuation_draining_and_slow_start_exclude_servers() -> None:
    harness = RouterHarness("a1-0", "b1-0")
    (send,) = harness.request("/h/1")
    assert harness.server_of(send) == "b1-0"
    harness.router.set_evacuated_zones(harness.now, frozenset(("b1",)))
    assert isinstance(harness.request("/h/1")[0], i.Refuse)
    harness.router.set_evacuated_zones(harness.now, frozenset())
    assert isinstance(harness.request("/h/1")[0], i.Refuse)  # after the evacuation its servers may be cold
    harness.now += 4.0
    assert isinstance(harness.request("/h/1")[0], i.Send)
    # A new incarnation is in slow start.
    harness.router.update_endpoints(harness.now, "shop", servers("a1-0", "b1-9"))
    assert isinstance(harness.request("/h/1")[0], i.Refuse)
    harness.router.update_endpoints(harness.now, "shop", servers("a1-0", "b1-9", accepting=False))
    harness.now += 9.0
    assert isinstance(harness.request("/h/1")[0], i.Refuse) and isinstance(
        harness.request("/r/1")[0], i.Refuse
    )


def test_requests_with_access_keys_are_rejected_on_a_stale_configuration() -> None:
    harness = RouterHarness("a1-0")
    harness.router.fresh_until = harness.now - 0.01
    (rejection,) = harness.request("/w/1")
    assert isinstance(rejection, i.Refuse) and rejection.retry_after > 0


def test_load_reports_of_other_nodes_move_requests_to_other_servers() -> None:
    harness = RouterHarness("a1-0", "a1-1")
    harness.router.endpoints.on_load_report(harness.now, "d2", {server_tag("a1-0"): 6})
    assert {harness.server_of(harness.request("/r/1")[0]) for _ in range(3)} == {"a1-1"}
    harness.now += 2.0
    harness.handle(TimerTick())
    assert "a1-0" in {harness.server_of(harness.request("/r/1")[0]) for _ in range(6)}


def test_in_flight_elsewhere_is_the_sum_of_recent_reports_while_nodes_and_servers_change() -> None:
    rng, names = random.Random(3), [f"a1-{n}" for n in range(6)]
    harness, reports = RouterHarness(*names), dict[str, tuple[float, dict[int, int]]]()
    for _ in range(400):
        harness.now += rng.choice([0.0, 0.05, 0.7])
        node, in_flight = (
            f"d{rng.randrange(5)}",
            {server_tag(n): rng.randrange(4) for n in rng.sample(names, 3)},
        )
        reports[node] = (harness.now, in_flight)
        harness.router.endpoints.on_load_report(harness.now, node, in_flight)
        if rng.random() < 0.2:
            harness.router.update_endpoints(harness.now, "shop", servers(*rng.sample(names, 4)))
        if rng.random() < 0.5:
            with pytest.raises((AttributeError, TypeError)):
                harness.router.endpoints.on_load_report(
                    harness.now,
                    node,
                    {server_tag(names[0]): "x"},  # type: ignore[dict-item]
                )
        harness.handle(TimerTick())
        for server in harness.router.endpoints.servers.values():
            recent = [counts for at, counts in reports.values() if harness.now - at <= LOAD_REPORT_LIFETIME]
            assert server.in_flight_elsewhere == sum(
                counts.get(server_tag(server.id), 0) for counts in recent
            )


def test_requests_are_rejected_while_credits_are_denied_and_briefly_without_a_counter() -> None:
    harness = RouterHarness("a1-0")
    (lease,) = harness.request("/r/1", "green")
    assert isinstance(lease, LeaseCredits)
    assert harness.request("/r/1", "green") == []  # it waits for the reply to the call in flight
    rejected = harness.handle(CreditsGranted("green", lease.call.number, 0.0, 0.6, 1.0))
    assert [type(action) for action in rejected] == [RejectOverQuota, RejectOverQuota] and 0.5 < rejected[
        0
    ].retry_after <= 0.6
    assert isinstance(harness.request("/r/1", "green")[0], RejectOverQuota)
    harness.now += 0.7
    (lease,) = harness.request("/r/1", "green")
    (rejection,) = harness.handle(CounterUnavailable("green"))
    assert isinstance(rejection, i.Refuse)
    harness.request("/r/1", "green")
    for _ in range(10):
        harness.now += 0.1
        rejections = [a for a in harness.handle(TimerTick()) if isinstance(a, i.Refuse)]
        if rejections:
            break
    assert rejections  # the request is rejected if the counter does not reply


def test_a_node_admits_its_even_share_of_the_reserve_if_no_counter_is_available() -> None:
    harness = RouterHarness("a1-0")
    harness.router.node_count = 5
    sent = 0
    for _ in range(100):  # ten seconds
        harness.now += 0.1
        for action in harness.request("/r/1", "green"):
            if isinstance(action, LeaseCredits):
                sent += sum(isinstance(a, i.Send) for a in harness.handle(CounterUnavailable("green")))
    assert sent == 2 * harness.router.limits.quota.reserve(10, 10, 5) > 0  # in each span of five seconds


def test_no_span_exceeds_the_limit_despite_lost_calls_and_changes_of_the_counters_owner() -> None:
    """Eleven nodes keep requesting credits, calls are lost, and the counter changes its owner twice."""
    limits, rate, burst, rng = QuotaLimits(), 10.0, 10.0, random.Random(5)
    nodes = [CreditLeases(limits) for _ in range(11)]
    served: list[float] = []
    counter, lease_end, now = QuotaCounter(limits.window), 0.0, 50.0
    in_transit: list[tuple[float, CreditLeases, CounterCall]] = []
    for tick in range(3000):
        now += 0.01
        if tick in (900, 1700):  # the owner fails; a new owner starts when the old one's lease has ended
            counter, free_at = QuotaCounter(limits.window), lease_end
        owner = tick < 900 or now >= free_at
        lease_end = now + 1.0 if owner else lease_end
        for node in nodes:
            node.request_credit(now, "green", rate, burst, tick, 11)
            node.tick(now)
            in_transit += [(now + rng.choice((0.001, 0.02, 0.04)), node, call) for call in node.calls]
            node.calls = []
            served += [now for verdict in node.verdicts if verdict.admitted]
            node.verdicts = []
        due, in_transit = [c for c in in_transit if c[0] <= now], [c for c in in_transit if c[0] > now]
        for _, node, call in due:
            if owner and rng.random() > 0.1:
                limit, caller = limits.window_limit(rate, burst, 11), ("node", nodes.index(node))
                granted = counter.grant(now, lease_end, "green", call.units, limit, caller, call.number)
                node.on_granted(now, CreditsGranted("green", call.number, *granted))
    peak = max(
        sum(start <= t < start + limits.span for t in served) for start in [50 + n * 0.1 for n in range(250)]
    )
    assert peak <= (rate * limits.span + burst) * (1 + limits.overage) + limits.slack
    assert len(served) / 30 > rate  # and the tenant gets at least its rate


def test_credits_given_back_count_once_and_only_up_to_the_callers_grants_in_the_window() -> None:
    counter, one, other = QuotaCounter(10.0), ("a", 1), ("b", 1)

    def call(now: float, caller: tuple[str, int], number: int, units: float) -> float:
        return counter.grant(now, 1e9, "green", units, 40.0, caller, number)[0]

    assert (call(1, one, 1, 30.0), call(1, other, 1, 20.0)) == (30.0, 10.0)
    for _ in range(3):  # the call arrives more than once
        call(2, one, 2, -10.0)
    assert call(3, other, 2, 40.0) == 10.0
    call(4, ("a", 2), 1, -20.0)  # another incarnation of the caller
    assert call(5, other, 3, 40.0) == 0.0
    assert call(11, one, 4, 5.0) == 5.0
    call(12, one, 3, -20.0)  # a late call from the previous window
    call(12, other, 4, -10.0)
    assert call(13, other, 5, 40.0) == 35.0


def test_a_route_is_found_by_its_longest_prefix_and_splits_requests_by_weight() -> None:
    found = CONFIGURATION.find_route("h", "/r/deep/x")
    assert found is not None and found.name == "deep" and CONFIGURATION.find_route("h", "/none/") is None
    split = document()
    split["resourceList"][0]["specification"].update(
        service=None,
        weightedSplit=[{"service": "shop", "shareWeight": 0}, {"service": "other", "shareWeight": 5}],
    )
    route = parse_configuration(json.dumps(split).encode()).find_route("h", "/r/")
    assert route is not None and {route.pick_service(n / 10) for n in range(10)} == {"other"}


def document_with(entry: int, **spec: Any) -> dict[str, Any]:
    result = document()
    result["resourceList"][entry]["specification"].update(spec)
    return result


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (json.dumps(document())[:-9], "body"),
        ("[1]", "_schema"),
        (json.dumps(document(versionNumber="12")), "versionNumber"),
        (json.dumps(document_with(0, service="none")), "routeTable.reads.service"),
        (json.dumps(document_with(0, pathPrefix="/w/")), "pathPrefix"),
        (
            json.dumps(document_with(0, weightedSplit=[{"service": "shop", "shareWeight": 0}])),
            "weightedSplit",
        ),
        (json.dumps(document_with(0, weightedSplit=[])), "weightedSplit"),
        (json.dumps(document_with(0, timeoutMs=0)), "timeoutMs"),
        (json.dumps(document_with(0, targetAnswerMs=65_000)), "targetAnswerMs"),
        (json.dumps(document_with(0, routeKind="odd")), "routeKind"),
        (json.dumps(document_with(6, accessKeys=["k1"])), "accessKeys"),
        (json.dumps(document_with(0, hostName=5)), "hostName"),
    ],
)
def test_the_error_for_an_invalid_configuration_names_the_invalid_field(body: str, field: str) -> None:
    with pytest.raises(InvalidConfigurationError, match=field):
        validate_configuration(body.encode())
    assert validate_configuration(json.dumps(document()).encode()) == 3


def test_a_malformed_page_of_an_instance_list_raises_an_error() -> None:
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
