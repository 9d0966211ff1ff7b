"""Where requests are, as doors tell each other: who tells whom, how often, and what each then knows."""

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

ABOUTS = [NodeInfo(f"d{n}", f"z{n % 3}", "south" if n % 3 == 2 else "north", False, n) for n in range(12)]


class Machines:
    """Doors in three zones, two of them of one region; what one tells arrives at once, unless it is lost."""

    def __init__(self) -> None:
        self.roster = [[*about.encode(), True] for about in ABOUTS]
        self.nodes = {about.ip: Disseminator(PeerTable(about, 0.0)) for about in ABOUTS}
        self.fleets = {a.ip: EndpointSet(a.zone, a.region, {}, random.Random(1)) for a in ABOUTS}
        self.outs: dict[str, InFlightByTag] = {about.ip: {} for about in ABOUTS}
        self.told: list[tuple[str, str]] = []
        self.name_machines(self.roster)

    def name_machines(self, roster: list[list[object]]) -> None:
        for node in self.nodes.values():
            node.peers.replace_roster(roster)

    def tick(self, now: float) -> None:
        for ip, node in self.nodes.items():
            self.arrive(now, ip, node.report_load(now, self.outs[ip], self.fleets[ip].load_reports))

    def arrive(self, now: float, source: str, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, Send) and isinstance(action.message, LoadReport)
            self.told.append((source, action.to))
            self.fleets[action.to].on_load_report(now, source, action.message.in_flight_by_tag)

    def out(self, zones: set[str], but: str) -> InFlightByTag:
        total: InFlightByTag = {}
        for about in ABOUTS:
            for name, out in self.outs[about.ip].items():
                if about.zone in zones and about.ip != but:
                    total[name] = total.get(name, 0) + out
        return total


def test_every_node_knows_the_requests_of_its_region_and_hears_of_each_other_zone_from_one_node() -> None:
    machines, chance = Machines(), random.Random(2)
    for n in range(40):
        machines.outs = {a.ip: {chance.randrange(5): chance.randrange(1, 4)} for a in ABOUTS}
        for step in range(12):  # over the time between two tellings in a region, twice
            machines.tick(n + step / 20)
        for about in ABOUTS:
            zones = {"z2"} if about.zone == "z2" else {"z0", "z1"}
            assert machines.fleets[about.ip].in_flight_elsewhere == machines.out(zones, about.ip)
    tellers = {(to, machines.nodes[source].peers.me.zone): source for source, to in machines.told}
    assert set(machines.told) == {(source, to) for (to, _), source in tellers.items()} | {
        (a.ip, b.ip) for a in ABOUTS for b in ABOUTS if a.zone == b.zone and a != b
    }


def test_another_node_tells_for_one_that_has_left_the_roster() -> None:
    machines = Machines()
    machines.outs = {about.ip: {1: 1} for about in ABOUTS}
    machines.tick(1.0)
    gone = next(source for source, to in machines.told if to == "d0" and source in {"d1", "d4", "d7", "d10"})
    del machines.nodes[gone]
    machines.outs[gone] = {}
    machines.name_machines([row for row in machines.roster if row[0] != gone])
    machines.told.clear()
    for step in range(1, 60):
        machines.tick(1.0 + step / 20)
        machines.fleets["d0"].expire_load_reports(1.0 + step / 20)
    assert machines.fleets["d0"].in_flight_elsewhere == {
        1: 6
    }  # three others of its zone, three of the other one
    assert len({source for source, to in machines.told if to == "d0"} - {"d3", "d6", "d9"}) == 1


def test_who_has_nothing_out_says_so_once_and_what_is_told_fits_a_datagram() -> None:
    machines = Machines()
    machines.nodes["d0"].load_reporter.byte_budget = 1e6  # bytes are no matter here
    machines.outs["d0"] = {n: 1 + (n < 10) for n in range(3 * MAX_SERVERS_PER_REPORT)}
    machines.tick(1.0)
    heard = machines.fleets["d3"].in_flight_elsewhere
    assert len(heard) == MAX_SERVERS_PER_REPORT and set(range(10)) <= heard.keys()
    machines.outs["d0"] = {}
    for step in range(1, 20):
        machines.tick(1.0 + step / 20)
    assert not machines.fleets["d3"].in_flight_elsewhere
    machines.told.clear()
    for step in range(20, 60):
        machines.tick(1.0 + step / 20)
    assert not machines.told


def listing(chance: random.Random, old: dict[str, ServerEntry]) -> dict[str, ServerEntry]:
    """The next list of a service: some are gone, some have come, some are in another state or cold again."""
    new = {name: server for name, server in old.items() if chance.random() < 0.95}
    for name in chance.sample(sorted(new), min(2, len(new))):
        new[name] = replace(new[name], accepting=chance.random() < 0.5, cold_until=chance.choice([0.0, 9.0]))
    for _ in range(chance.randrange(3)):
        name = f"i-{chance.randrange(10**6)}"
        new[name] = ServerEntry(name, f"{name}:1", "z1", True, 2, "v1")
    return new


def test_changes_of_a_table_bring_every_node_what_the_list_says_whatever_is_lost() -> None:
    chance, reader = random.Random(5), Disseminator(PeerTable(replace(ABOUTS[0], disk_id=True), 0.0))
    machines = [Disseminator(PeerTable(about, 0.0)) for about in ABOUTS[1:4]]
    for machine in machines:
        machine.peers.observe(0.0, reader.peers.me)
    found = {f"i-{n}": ServerEntry(f"i-{n}", f"s{n}:1", "z0", True, 2, "v1") for n in range(40)}
    sizes, wants = [], 0
    for step in range(300):
        found = listing(chance, found)
        reader.publish_list(1.0, 1000 + step, {"shop": found})
        told = reader.registry.encode_change(1.0, "shop")
        sizes.append(len(told[2]))
        for n, machine in enumerate(machines):
            if chance.random() < 0.1:
                continue  # lost on its way
            for action in machine.apply_update(1.0, TableUpdate(told)):
                if isinstance(action, Send) and isinstance(action.message, TableRequest):
                    wants += 1
                    assert action.to == "d0" and machine.apply_update(
                        1.0, TableUpdate(reader.registry.encode(1.0, "shop"))
                    )
            assert machine.registry.tables["shop"].servers == reader.registry.tables["shop"].servers, (
                step,
                n,
            )
        for name, server in reader.registry.tables["shop"].servers.items():
            assert found[name].same(server)  # less time to go until it is warm is no news
        assert reader.registry.tables["shop"].servers.keys() == found.keys()
    assert 50 < wants < 150 and max(sizes[1:]) < 10


def test_a_change_counts_on_no_table_but_the_one_that_it_was_made_from() -> None:
    one, other = (
        ServerEntry("i-1", "s:1", "z0", True, 2, "v1"),
        ServerEntry("i-2", "s:2", "z0", True, 2, "v1"),
    )
    third, fourth = (
        ServerEntry("i-3", "s:3", "z0", True, 2, "v1"),
        ServerEntry("i-4", "s:4", "z0", True, 2, "v1"),
    )
    reader, machine = (
        Disseminator(PeerTable(replace(ABOUTS[0], disk_id=True), 0.0)),
        Disseminator(PeerTable(ABOUTS[1], 0.0)),
    )
    machine.peers.observe(0.0, reader.peers.me)
    machine.publish_list(
        1.0, 1000, {"shop": {"i-1": one, "i-3": third, "i-4": fourth}}
    )  # another list, one version
    reader.publish_list(1.0, 1000, {"shop": {"i-1": one, "i-2": other, "i-3": third}})
    reader.publish_list(
        1.0, 1500, {"shop": {"i-1": replace(one, accepting=False), "i-2": other, "i-3": third}}
    )
    change = reader.registry.encode_change(1.0, "shop")
    assert len(change) == 6 and len(change[2]) == 1
    asked = machine.apply_update(1.0, TableUpdate(change))
    assert asked == [Send("d0", TableRequest("shop"))]
    assert machine.registry.tables["shop"].servers.keys() == {"i-1", "i-3", "i-4"}
    assert (
        machine.apply_update(1.0, TableUpdate(reader.registry.encode(1.0, "shop")))
        and machine.apply_update(1.0, TableUpdate(change)) == []
    )
    assert machine.registry.tables["shop"].servers == reader.registry.tables["shop"].servers


def test_two_readers_that_go_on_from_one_version_make_no_common_one_and_the_newer_list_wins() -> None:
    """The time of day stands behind the version, and what the first reader told last has not reached the second one."""
    one, other = (
        ServerEntry("i-1", "s:1", "z0", True, 2, "v1"),
        ServerEntry("i-2", "s:2", "z0", True, 2, "v1"),
    )
    first, second, machine = (
        Disseminator(PeerTable(replace(about, disk_id=True), 0.0)) for about in ABOUTS[:3]
    )
    first.publish_list(1.0, 9000, {"shop": {"i-1": one, "i-2": other}})
    for node in (second, machine):
        node.apply_update(1.0, TableUpdate(first.registry.encode(1.0, "shop")))
    first.publish_list(2.0, 1000, {"shop": {"i-1": one, "i-2": replace(other, accepting=False)}})
    machine.apply_update(2.0, TableUpdate(first.registry.encode(2.0, "shop")))
    newest = {"i-1": replace(one, accepting=False), "i-2": replace(other, accepting=False)}
    for step in range(
        2
    ):  # it may take the other's table first, and sees at its next look that the list is another
        second.publish_list(3.0 + step, 1100, {"shop": dict(newest)})
        for source, to in ((second, machine), (machine, second)):
            if to.registry.outdated(source.registry.versions()):
                to.apply_update(3.0 + step, TableUpdate(source.registry.encode(3.0 + step, "shop")))
    for node in (second, machine):
        assert not any(server.accepting for server in node.registry.tables["shop"].servers.values())


def test_two_readers_of_one_millisecond_make_no_common_version_and_all_come_to_the_newer_list() -> None:
    one = ServerEntry("i-1", "s:1", "z0", True, 2, "v1")
    nodes = [Disseminator(PeerTable(replace(about, disk_id=True), 0.0)) for about in ABOUTS[:3]]
    first, second, machine = nodes
    first.publish_list(1.0, 5000, {"shop": {"i-1": one}})
    second.publish_list(1.0, 5000, {"shop": {"i-1": replace(one, accepting=False)}})
    for source in (first, second):
        machine.apply_update(1.0, TableUpdate(source.registry.encode(1.0, "shop")))
    for step in range(2):  # the newest list is read again, by whoever reads it from then on
        second.publish_list(2.0 + step, 5500 + 500 * step, {"shop": {"i-1": replace(one, accepting=False)}})
        for source in nodes:
            for to in nodes:
                if to.registry.outdated(source.registry.versions()):
                    to.apply_update(2.0 + step, TableUpdate(source.registry.encode(2.0 + step, "shop")))
    assert not any(node.registry.tables["shop"].servers["i-1"].accepting for node in nodes)
