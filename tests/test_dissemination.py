"""Load reports and table updates: who sends them to whom, how often, and what each node then knows."""

from __future__ import annotations

import random
from dataclasses import replace

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Action, Send
from hazelspring.node.dissemination import Disseminator
from hazelspring.node.load_reporter import MAX_SERVERS_PER_REPORT, InFlightByTag
from hazelspring.node.messages import LoadReport, TableRequest, TableUpdate
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoint_set import EndpointSet

NODES = [NodeInfo(f"d{n}", f"z{n % 3}", "south" if n % 3 == 2 else "north", False, n) for n in range(12)]


class SimulatedNodes:
    """Nodes in three zones, two of which are in one region; each message arrives immediately."""

    def __init__(self) -> None:
        self.roster = [[*info.encode(), True] for info in NODES]
        self.nodes = {info.ip: Disseminator(PeerTable(info, 0.0)) for info in NODES}
        self.endpoint_sets = {
            info.ip: EndpointSet(info.zone, info.region, {}, random.Random(1)) for info in NODES
        }
        self.in_flight: dict[str, InFlightByTag] = {info.ip: {} for info in NODES}
        self.sent_reports: list[tuple[str, str]] = []
        self.replace_rosters(self.roster)

    def replace_rosters(self, roster: list[list[object]]) -> None:
        for node in self.nodes.values():
            node.peers.replace_roster(roster)

    def tick(self, now: float) -> None:
        for ip, node in self.nodes.items():
            self.deliver(
                now, ip, node.report_load(now, self.in_flight[ip], self.endpoint_sets[ip].load_reports)
            )

    def deliver(self, now: float, source: str, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, Send) and isinstance(action.message, LoadReport)
            self.sent_reports.append((source, action.to))
            self.endpoint_sets[action.to].on_load_report(now, source, action.message.in_flight_by_tag)

    def total_in_flight(self, zones: set[str], excluded: str) -> InFlightByTag:
        total: InFlightByTag = {}
        for info in NODES:
            for tag, count in self.in_flight[info.ip].items():
                if info.zone in zones and info.ip != excluded:
                    total[tag] = total.get(tag, 0) + count
        return total


def test_every_node_knows_the_requests_of_its_region_and_gets_those_of_another_zone_from_one_node() -> None:
    simulation, rng = SimulatedNodes(), random.Random(2)
    for n in range(40):
        simulation.in_flight = {info.ip: {rng.randrange(5): rng.randrange(1, 4)} for info in NODES}
        for step in range(12):  # more than twice the interval between rounds to the region
            simulation.tick(n + step / 20)
        for info in NODES:
            zones = {"z2"} if info.zone == "z2" else {"z0", "z1"}
            assert simulation.endpoint_sets[info.ip].in_flight_elsewhere == simulation.total_in_flight(
                zones, info.ip
            )
    reporters = {
        (to, simulation.nodes[source].peers.me.zone): source for source, to in simulation.sent_reports
    }
    assert set(simulation.sent_reports) == {(source, to) for (to, _), source in reporters.items()} | {
        (a.ip, b.ip) for a in NODES for b in NODES if a.zone == b.zone and a != b
    }


def test_another_node_takes_over_the_reports_of_a_node_that_has_left_the_roster() -> None:
    simulation = SimulatedNodes()
    simulation.in_flight = {info.ip: {1: 1} for info in NODES}
    simulation.tick(1.0)
    removed = next(
        source for source, to in simulation.sent_reports if to == "d0" and source in {"d1", "d4", "d7", "d10"}
    )
    del simulation.nodes[removed]
    simulation.in_flight[removed] = {}
    simulation.replace_rosters([row for row in simulation.roster if row[0] != removed])
    simulation.sent_reports.clear()
    for step in range(1, 60):
        simulation.tick(1.0 + step / 20)
        simulation.endpoint_sets["d0"].expire_load_reports(1.0 + step / 20)
    # One request from each of three other nodes of its zone, and of three nodes of the other zone.
    assert simulation.endpoint_sets["d0"].in_flight_elsewhere == {1: 6}
    assert len({source for source, to in simulation.sent_reports if to == "d0"} - {"d3", "d6", "d9"}) == 1


def test_a_node_without_requests_in_flight_reports_so_once_and_a_report_fits_into_a_datagram() -> None:
    simulation = SimulatedNodes()
    simulation.nodes["d0"].load_reporter.byte_budget = 1e6  # large enough not to limit the reports
    simulation.in_flight["d0"] = {n: 1 + (n < 10) for n in range(3 * MAX_SERVERS_PER_REPORT)}
    simulation.tick(1.0)
    reported = simulation.endpoint_sets["d3"].in_flight_elsewhere
    assert len(reported) == MAX_SERVERS_PER_REPORT and set(range(10)) <= reported.keys()
    simulation.in_flight["d0"] = {}
    for step in range(1, 20):
        simulation.tick(1.0 + step / 20)
    assert not simulation.endpoint_sets["d3"].in_flight_elsewhere
    simulation.sent_reports.clear()
    for step in range(20, 60):
        simulation.tick(1.0 + step / 20)
    assert not simulation.sent_reports


def next_listing(rng: random.Random, old: dict[str, ServerEntry]) -> dict[str, ServerEntry]:
    """Return a service's next list: some servers are removed, added, in another state, or cold again."""
    new = {name: server for name, server in old.items() if rng.random() < 0.95}
    for name in rng.sample(sorted(new), min(2, len(new))):
        new[name] = replace(new[name], accepting=rng.random() < 0.5, cold_until=rng.choice([0.0, 9.0]))
    for _ in range(rng.randrange(3)):
        name = f"i-{rng.randrange(10**6)}"
        new[name] = ServerEntry(name, f"{name}:1", "z1", True, 2, "v1")
    return new


def test_table_changes_bring_every_node_up_to_date_with_the_list_whichever_messages_are_lost() -> None:
    rng, reader = random.Random(5), Disseminator(PeerTable(replace(NODES[0], disk_id=True), 0.0))
    nodes = [Disseminator(PeerTable(info, 0.0)) for info in NODES[1:4]]
    for node in nodes:
        node.peers.observe(0.0, reader.peers.me)
    found = {f"i-{n}": ServerEntry(f"i-{n}", f"s{n}:1", "z0", True, 2, "v1") for n in range(40)}
    change_sizes, table_requests = [], 0
    for step in range(300):
        found = next_listing(rng, found)
        reader.publish_list(1.0, 1000 + step, {"shop": found})
        change = reader.registry.encode_change(1.0, "shop")
        change_sizes.append(len(change[2]))
        for n, node in enumerate(nodes):
            if rng.random() < 0.1:
                continue  # the message is lost
            for action in node.apply_update(1.0, TableUpdate(change)):
                if isinstance(action, Send) and isinstance(action.message, TableRequest):
                    table_requests += 1
                    assert action.to == "d0" and node.apply_update(
                        1.0, TableUpdate(reader.registry.encode(1.0, "shop"))
                    )
            assert node.registry.tables["shop"].servers == reader.registry.tables["shop"].servers, (
                step,
                n,
            )
        for name, server in reader.registry.tables["shop"].servers.items():
            assert found[name].matches(server)  # a shorter remaining warm-up time is not a change
        assert reader.registry.tables["shop"].servers.keys() == found.keys()
    assert 50 < table_requests < 150 and max(change_sizes[1:]) < 10


def test_a_change_applies_only_to_the_table_that_it_was_computed_from() -> None:
    one, other = (
        ServerEntry("i-1", "s:1", "z0", True, 2, "v1"),
        ServerEntry("i-2", "s:2", "z0", True, 2, "v1"),
    )
    third, fourth = (
        ServerEntry("i-3", "s:3", "z0", True, 2, "v1"),
        ServerEntry("i-4", "s:4", "z0", True, 2, "v1"),
    )
    reader, node = (
        Disseminator(PeerTable(replace(NODES[0], disk_id=True), 0.0)),
        Disseminator(PeerTable(NODES[1], 0.0)),
    )
    node.peers.observe(0.0, reader.peers.me)
    # Both lists get the same version.
    node.publish_list(1.0, 1000, {"shop": {"i-1": one, "i-3": third, "i-4": fourth}})
    reader.publish_list(1.0, 1000, {"shop": {"i-1": one, "i-2": other, "i-3": third}})
    reader.publish_list(
        1.0, 1500, {"shop": {"i-1": replace(one, accepting=False), "i-2": other, "i-3": third}}
    )
    change = reader.registry.encode_change(1.0, "shop")
    assert len(change) == 6 and len(change[2]) == 1
    actions = node.apply_update(1.0, TableUpdate(change))
    assert actions == [Send("d0", TableRequest("shop"))]
    assert node.registry.tables["shop"].servers.keys() == {"i-1", "i-3", "i-4"}
    assert (
        node.apply_update(1.0, TableUpdate(reader.registry.encode(1.0, "shop")))
        and node.apply_update(1.0, TableUpdate(change)) == []
    )
    assert node.registry.tables["shop"].servers == reader.registry.tables["shop"].servers


def test_two_readers_that_continue_from_one_version_create_different_ones_and_the_newer_list_wins() -> None:
    """The wall clock is behind the version, and the second reader lacks the first reader's last update."""
    one, other = (
        ServerEntry("i-1", "s:1", "z0", True, 2, "v1"),
        ServerEntry("i-2", "s:2", "z0", True, 2, "v1"),
    )
    first, second, third = (Disseminator(PeerTable(replace(info, disk_id=True), 0.0)) for info in NODES[:3])
    first.publish_list(1.0, 9000, {"shop": {"i-1": one, "i-2": other}})
    for node in (second, third):
        node.apply_update(1.0, TableUpdate(first.registry.encode(1.0, "shop")))
    first.publish_list(2.0, 1000, {"shop": {"i-1": one, "i-2": replace(other, accepting=False)}})
    third.apply_update(2.0, TableUpdate(first.registry.encode(2.0, "shop")))
    newest = {"i-1": replace(one, accepting=False), "i-2": replace(other, accepting=False)}
    # The second reader may first take the first reader's table.  Its next read shows that the list differs.
    for step in range(2):
        second.publish_list(3.0 + step, 1100, {"shop": dict(newest)})
        for source, to in ((second, third), (third, second)):
            if to.registry.outdated(source.registry.versions()):
                to.apply_update(3.0 + step, TableUpdate(source.registry.encode(3.0 + step, "shop")))
    for node in (second, third):
        assert not any(server.accepting for server in node.registry.tables["shop"].servers.values())


def test_two_readers_in_one_millisecond_create_different_versions_and_all_nodes_get_the_newer_list() -> None:
    one = ServerEntry("i-1", "s:1", "z0", True, 2, "v1")
    nodes = [Disseminator(PeerTable(replace(info, disk_id=True), 0.0)) for info in NODES[:3]]
    first, second, third = nodes
    first.publish_list(1.0, 5000, {"shop": {"i-1": one}})
    second.publish_list(1.0, 5000, {"shop": {"i-1": replace(one, accepting=False)}})
    for source in (first, second):
        third.apply_update(1.0, TableUpdate(source.registry.encode(1.0, "shop")))
    for step in range(2):  # the second reader, which has the role from now on, reads the newest list again
        second.publish_list(2.0 + step, 5500 + 500 * step, {"shop": {"i-1": replace(one, accepting=False)}})
        for source in nodes:
            for to in nodes:
                if to.registry.outdated(source.registry.versions()):
                    to.apply_update(2.0 + step, TableUpdate(source.registry.encode(2.0 + step, "shop")))
    assert not any(node.registry.tables["shop"].servers["i-1"].accepting for node in nodes)
