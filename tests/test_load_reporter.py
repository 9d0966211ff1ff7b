"""The size, frequency and recipients of load reports as a zone grows, on simulated time."""

from __future__ import annotations

import itertools
import random

import pytest

from hazelspring.daemon.settings import LimitsSchema
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner
from hazelspring.node import codec
from hazelspring.node.actions import Action, Send
from hazelspring.node.load_reporter import (
    CONTROL_BANDWIDTH,
    IDLE_BANDWIDTH,
    LEASE_CALL_BYTES,
    MAX_ROUND_TIME,
    MAX_SERVERS_PER_REPORT,
    MESSAGE_BYTES,
    MIN_BUDGET_FRACTION,
    REPORT_LIFETIME,
    SERVER_BYTES,
    InFlightByTag,
    LoadReporter,
    recipient_count,
    report_budget,
)
from hazelspring.node.messages import LoadReport
from hazelspring.registry.tables import server_tag
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.load_reports import LOAD_REPORT_LIFETIME

TICK = 0.05
COUNTER_CALLS = 142  # calls a second of a node to counters at the peak
BUSY_SERVERS = 36  # servers at which a node has a request in flight at the peak
SERVERS = [server_tag(f"i-{n:05d}") for n in range(180)]
BYTE_BUDGET = report_budget(250_000.0)  # for a link of 2 Mbit/s, the lowest bandwidth of any node


class Region:
    """Two zones of `zone_size` nodes each, of which the first `simulated` run; None: all.

    Messages arrive immediately.  Bytes are those of encoded messages.
    """

    def __init__(self, zone_size: int, simulated: int | None = None) -> None:
        self.nodes = [
            NodeInfo(f"10.0.{n >> 8}.{n & 255}", f"z{n % 2}", "r", 0, 1) for n in range(2 * zone_size)
        ]
        self.roster = [[*info.encode(), True] for info in self.nodes]
        running = self.nodes[:simulated]
        self.reporters = {info.ip: LoadReporter(PeerTable(info, 0.0), BYTE_BUDGET) for info in running}
        self.endpoint_sets = {info.ip: EndpointSet(info.zone, "r", {}, random.Random(1)) for info in running}
        self.in_flight: dict[str, InFlightByTag] = {info.ip: {} for info in running}
        self.sent_bytes, self.received_bytes = (
            dict.fromkeys(self.reporters, 0),
            dict.fromkeys(self.reporters, 0),
        )
        # The times at which each node sent a round in its zone.
        self.round_times: dict[str, list[float]] = {ip: [] for ip in self.reporters}
        self.now = 10.0
        self.replace_rosters(self.roster)

    def replace_rosters(self, roster: list[list[object]]) -> None:
        for reporter in self.reporters.values():
            reporter.peers.replace_roster(roster)

    def run(self, seconds: float, rng: random.Random | None = None) -> None:
        """Advance the time; with `rng`, at peak load: the servers with requests change with each tick."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for ip, reporter in self.reporters.items():
                if rng is not None:
                    self.in_flight[ip] = dict.fromkeys(rng.sample(SERVERS, BUSY_SERVERS), 1)
                    reporter.record_other_bytes(COUNTER_CALLS * LEASE_CALL_BYTES * TICK)
                self.endpoint_sets[ip].expire_load_reports(self.now)
                self.deliver(
                    ip, reporter.report(self.now, self.in_flight[ip], self.endpoint_sets[ip].load_reports)
                )
                if reporter.zone_reported_at == self.now:
                    self.round_times[ip].append(self.now)

    def deliver(self, source: str, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, Send) and isinstance(action.message, LoadReport)
            size = len(codec.encode(action.message))
            self.sent_bytes[source] += size
            if action.to in self.reporters:
                self.received_bytes[action.to] += size
                self.endpoint_sets[action.to].on_load_report(
                    self.now, source, action.message.in_flight_by_tag
                )

    def zone_neighbors(self, ip: str) -> list[str]:
        zone = self.reporters[ip].peers.me.zone
        return [
            node.ip
            for node in self.nodes
            if node.zone == zone and node.ip != ip and node.ip in self.reporters
        ]


@pytest.mark.parametrize(("zone_size", "simulated"), [(1, None), (3, None), (9, None), (30, None), (133, 4)])
def test_the_bytes_of_reports_at_peak_load_are_bounded_however_large_the_zone_is(
    zone_size: int, simulated: int | None
) -> None:
    """The sizes of a zone if 34 zones have 30, 100, 300, 1,000 and 4,500 nodes together."""
    region, rng = Region(zone_size, simulated), random.Random(zone_size)
    region.run(3 * REPORT_LIFETIME, rng)
    region.sent_bytes, region.received_bytes = (
        dict.fromkeys(region.sent_bytes, 0),
        dict.fromkeys(region.received_bytes, 0),
    )
    region.round_times = {ip: [] for ip in region.round_times}
    region.run(4.0, rng)
    budget = 4.0 * (CONTROL_BANDWIDTH - IDLE_BANDWIDTH - 2 * COUNTER_CALLS * LEASE_CALL_BYTES) / 2
    assert max(region.sent_bytes.values()) <= budget * 1.15  # a round may begin just before the four seconds
    assert max(region.received_bytes.values()) <= budget * 2  # servers are spread randomly over recipients
    assert sum(region.sent_bytes.values()) > 0
    gaps = [b - a for times in region.round_times.values() for a, b in itertools.pairwise(times)]
    # No report expires before the next one arrives.
    assert max(gaps) <= 2 * MAX_ROUND_TIME + 2 * TICK < REPORT_LIFETIME


def test_the_number_of_recipients_fits_the_budget_is_at_least_one_and_changes_smoothly() -> None:
    # Calls to counters take the rest of the budget.
    byte_limit = MIN_BUDGET_FRACTION * BYTE_BUDGET * MAX_ROUND_TIME
    for servers in (1, 2, 5, 14, BUSY_SERVERS, MAX_SERVERS_PER_REPORT):
        counts = [recipient_count(servers, nodes, byte_limit) for nodes in range(1, 400)]
        for nodes, count in enumerate(counts, 1):
            size = min(nodes, servers * count) * MESSAGE_BYTES + servers * count * SERVER_BYTES
            assert 1 <= count <= nodes and (size <= byte_limit or count == 1)
        steps = [abs(b - a) for a, b in itertools.pairwise(counts)]
        assert max(steps) <= 1 + MESSAGE_BYTES / (servers * SERVER_BYTES)
        assert (
            servers * (MESSAGE_BYTES + SERVER_BYTES) / (MIN_BUDGET_FRACTION * BYTE_BUDGET) < REPORT_LIFETIME
        )  # with one recipient a server, the next round is sent before a report expires
    assert recipient_count(0, 9, byte_limit) == 9 and recipient_count(9, 0, byte_limit) == 0
    # In zones of the present sizes, each server is reported to all nodes.
    assert [recipient_count(6, nodes, byte_limit) for nodes in range(1, 21)] == list(range(1, 21))


def test_nodes_of_a_small_zone_report_to_each_other_with_each_tick() -> None:
    region, rng = Region(3), random.Random(4)
    for _ in range(40):
        for ip in region.in_flight:
            region.in_flight[ip] = dict.fromkeys(rng.sample(SERVERS, 3), 1)
        region.run(TICK)
        for ip in region.in_flight:
            received = region.endpoint_sets[ip].load_reports
            assert all(received[other][1] == region.in_flight[other] for other in region.zone_neighbors(ip))


def test_the_first_recipient_of_a_server_knows_of_all_requests_there_and_the_next_one_takes_over() -> None:
    region, rng = Region(40), random.Random(5)
    for ip in region.in_flight:
        region.in_flight[ip] = dict.fromkeys(rng.sample(SERVERS, BUSY_SERVERS), 1)
    region.run(3 * REPORT_LIFETIME)

    def check() -> None:
        for tag in SERVERS:
            for zone in ("z0", "z1"):
                nodes = [
                    node.ip for node in region.nodes if node.zone == zone and node.ip in region.reporters
                ]
                first = owner(str(tag), nodes)
                assert first is not None
                others = sum(tag in region.in_flight[ip] for ip in nodes if ip != first)
                endpoint_set = region.endpoint_sets[first]
                assert (
                    sum(
                        tag in endpoint_set.load_reports[ip][1]
                        for ip in nodes
                        if ip in endpoint_set.load_reports
                    )
                    == others
                )

    check()
    for removed in [node.ip for node in region.nodes[:6]]:
        del region.reporters[removed], region.in_flight[removed], region.endpoint_sets[removed]
    region.run(LOAD_REPORT_LIFETIME + 2 * TICK)  # the reports of the removed nodes expire
    for endpoint_set in region.endpoint_sets.values():
        assert not endpoint_set.load_reports.keys() & {node.ip for node in region.nodes[:6]}
    region.replace_rosters(region.roster[6:])
    # Once the removed nodes have left the roster, other nodes get the reports that were sent to them.
    region.run(MAX_ROUND_TIME + REPORT_LIFETIME)
    check()


def test_the_budget_is_limited_by_the_control_bandwidth_of_a_node_and_by_its_link() -> None:
    assert (
        report_budget(250_000.0) == BYTE_BUDGET == (CONTROL_BANDWIDTH - IDLE_BANDWIDTH) / 2
        and report_budget(20_000.0) == 1000.0
    )
    assert (
        LimitsSchema().load({"linkMbps": "2.0"})["linkMbps"] == 2.0
        and LimitsSchema().load({})["linkMbps"] == 1000.0
    )
