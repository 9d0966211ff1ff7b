"""The roster told by what changed: a door comes to the member's rows whatever is lost, late, doubled or skipped."""

from __future__ import annotations

import random

import pytest

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.roster import MAX_REMEMBERED_CHANGES, Roster, RosterRow, rows_checksum
from hazelspring.membership.timeouts import FAR_ROSTER_TIMEOUT, ROSTER_TIMEOUT
from hazelspring.node.actions import Action, Save, Send
from hazelspring.node.messages import HeartbeatReply, Message
from hazelspring.node.node import Node, NodeStart

MEMBER, MACHINE = "10.0.0.1", "10.0.0.2"


def about(n: int, life: int = 1) -> NodeInfo:
    return NodeInfo(f"10.1.{n >> 8}.{n & 255}", f"zone-{n % 4}", "west" if n % 2 else "east", 0, life)


def row(n: int, ready: bool = True, life: int = 1) -> RosterRow:
    return [*about(n, life).encode(), ready]


class Pair:
    """The only member of a core and a door that asks it; what they send may be lost, late or come twice."""

    def __init__(self, seed: int, lost: float = 0.0) -> None:
        self.random, self.lost, self.now = random.Random(seed), lost, 100.0
        self.way: list[tuple[float, str, str, Message]] = []
        self.told: list[str] = []  # how the roster came: s whole, e by what changed
        self.were: list[list[RosterRow]] = [[]]  # the member's rosters
        self.cores: dict[str, Node] = {}
        for ip, disk in ((MEMBER, 7), (MACHINE, 0)):
            self.start(ip, disk, first=True)
        self.run(4.0)
        assert self.cores[MEMBER].is_core_candidate()

    def start(self, ip: str, disk: int, first: bool) -> None:
        records = self.records if not first and disk else {}
        self.records: dict[str, bytes] = records
        start = NodeStart(
            NodeInfo(ip, "zone-0", "east", disk, int(self.now * 1000)), [MEMBER], first, dict(records)
        )
        self.cores[ip] = Node(self.now, start, 0.2, lambda tenant: 1.0)

    def do(self, ip: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send) and action.to in self.cores:
                if isinstance(action.message, HeartbeatReply):
                    self.told += ["s"] * (action.message.roster_rows is not None)
                    self.told += ["e"] * (action.message.roster_change is not None)
                for _ in range(1 + (self.random.random() < self.lost)):
                    if self.random.random() >= self.lost:
                        late = self.random.choice((0.001, 0.02, 0.9)) if self.lost else 0.001
                        self.way.append((self.now + late, ip, action.to, action.message))
            elif isinstance(action, Save):
                self.records.update({name: body for name, body in action.records.items() if body is not None})
                self.do(ip, self.cores[ip].on_saved(self.now, action.serial, True))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for ip, core in self.cores.items():
                self.do(ip, core.tick(self.now))
            self.were.append(self.cores[MEMBER].peers.roster_rows)
            while due := [each for each in self.way if each[0] <= self.now]:
                self.way.remove(due[0])
                _, source, to, message = due[0]
                self.do(to, self.cores[to].on_message(self.now, source, message))

    def note(self, *rows: RosterRow) -> None:
        for *who, ready in rows:
            self.cores[MEMBER].peers.record_heartbeat(self.now, NodeInfo(*who), ready)

    def same(self) -> bool:
        one, other = (self.cores[ip].peers for ip in (MEMBER, MACHINE))
        return (
            one.roster_rows == other.roster_rows
            and one.roster_checksum == other.roster_checksum == rows_checksum(one.roster_rows)
        )


@pytest.mark.parametrize("seed", range(4))
def test_a_node_holds_only_rosters_that_were_and_comes_to_the_last(seed: int) -> None:
    pair, chance = Pair(seed, lost=0.3), random.Random(seed)
    machines = {n: row(n) for n in range(60)}
    for step in range(300):
        for n in chance.sample(range(60), 40 if step % 50 == 0 else chance.choice((0, 0, 1, 2))):
            machines[n] = row(n, chance.random() < 0.7, chance.randrange(3))
        for n in chance.sample(range(60), chance.choice((0, 0, 0, 0, 1))):
            machines.pop(n, None)
        pair.note(*machines.values())
        pair.run(0.05)
        assert pair.cores[MACHINE].peers.roster_rows in pair.were
    assert pair.told.count("e") > 5 and pair.told.count("s") > 1
    pair.lost, pair.way = 0.0, []
    for _ in range(
        round(FAR_ROSTER_TIMEOUT * 20) + 20
    ):  # and what is left comes as it should, who is gone has left
        pair.note(*machines.values())
        pair.run(0.05)
    assert pair.same() and len(pair.cores[MACHINE].peers.roster_rows) == len(machines) + 2


def test_one_change_among_many_nodes_travels_alone() -> None:
    pair = Pair(1)
    for step in range(40):
        pair.note(*(row(n, ready=n != 7 or step < 20) for n in range(200)))
        if step == 15:
            pair.told.clear()
        pair.run(0.1)
    assert pair.same() and pair.told == ["e"]


def test_a_member_that_restarted_tells_the_whole() -> None:
    pair = Pair(1)
    for step in range(60):
        pair.note(*(row(n) for n in range(50)))
        pair.run(0.05)
        if step == 20:
            assert pair.same()
            pair.told.clear()
            pair.start(MEMBER, 7, first=False)
    assert pair.same() and pair.told[0] == "s"


def test_a_node_that_skipped_more_than_is_remembered_is_told_the_whole() -> None:
    roster = Roster()
    roster.update([], [row(n) for n in range(300)])
    first = roster.checksum
    for n in range(MAX_REMEMBERED_CHANGES):
        roster.update([], [row(n % 100, ready=False, life=n)])
    assert roster.changes_since(first) is not None
    roster.update([], [row(200, ready=False)])
    assert roster.changes_since(first) is None and roster.changes_since(12345) is None
    assert len(roster.changes) == MAX_REMEMBERED_CHANGES
    for n in range(3):  # and never more rows than the whole has
        roster.update([], [row(m, life=100 + n) for m in range(0, 300, 2)])
    assert sum(len(ips) for _, ips in roster.changes) <= 300


def test_a_change_that_does_not_come_to_its_sum_is_not_taken_and_the_whole_is_asked_for() -> None:
    member, machine = Roster(), Roster()
    member.update([], [row(n) for n in range(9)])
    machine.replace(member.rows)
    before = member.rows
    member.update([about(3).ip], [row(1, ready=False)])
    change = member.changes_since(machine.checksum)
    assert change is not None
    machine.apply_change([change[0], change[1], change[2], []])
    assert machine.rows == before and machine.checksum == 0
    assert member.changes_since(machine.checksum) is None  # so that it is told the whole
    machine.replace(member.rows)
    machine.apply_change(change)  # late: of rows that it holds no more
    assert machine.rows == member.rows and machine.checksum == member.checksum


def test_a_sum_goes_by_rows_and_not_by_how_they_came() -> None:
    rows = sorted(row(n) for n in range(20))
    grown = Roster()
    for each in random.Random(1).sample(rows, 20):
        grown.update([], [each])
    assert grown.rows == rows and grown.checksum == rows_checksum(rows)
    swapped = [row(0, ready=False), row(1), *rows[2:]], [row(0), row(1, ready=False), *rows[2:]]
    assert rows_checksum(swapped[0]) != rows_checksum(swapped[1])
    for whole in (rows[:5], [row(0, life=2), *rows[9:]], [], rows):
        grown.replace(whole)
        assert grown.rows == whole and grown.checksum == rows_checksum(whole)
    grown.update([each[0] for each in rows], [])
    assert grown.rows == [] and grown.checksum == 0


def test_rows_go_after_as_long_a_silence_as_when_all_were_looked_at_each_time() -> None:
    peers, chance = PeerTable(NodeInfo(MEMBER, "zone-0", "east", 7, 1), 0.0), random.Random(3)
    heard: dict[str, tuple[float, NodeInfo]] = {}
    for step in range(1, 2000):
        now = step * 0.05
        for n in chance.sample(range(30), chance.choice((0, 1, 5))):
            heard[about(n).ip] = now, about(n)
            peers.record_heartbeat(now, about(n), True)
        peers.update_roster(now)
        gone = {
            ip
            for ip, (at, a) in heard.items()
            if now - at > (ROSTER_TIMEOUT if a.region == "east" else FAR_ROSTER_TIMEOUT)
        }
        heard = {ip: of for ip, of in heard.items() if ip not in gone}
        assert [each[0] for each in peers.roster_rows] == sorted(heard)
