"""Roster updates sent as changes: a node reaches the rows of the core member.

Messages between them may be lost, delayed, duplicated or skipped.
"""

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

MEMBER, NODE = "10.0.0.1", "10.0.0.2"


def node_info(n: int, incarnation: int = 1) -> NodeInfo:
    return NodeInfo(f"10.1.{n >> 8}.{n & 255}", f"zone-{n % 4}", "west" if n % 2 else "east", 0, incarnation)


def row(n: int, ready: bool = True, incarnation: int = 1) -> RosterRow:
    return [*node_info(n, incarnation).encode(), ready]


class Pair:
    """The only core member and a node that sends it heartbeats.

    `fault_rate` is the probability that a message is lost, and that it is sent twice.  If it is above 0,
    messages may also be delayed.
    """

    def __init__(self, seed: int, fault_rate: float = 0.0) -> None:
        self.random, self.fault_rate, self.now = random.Random(seed), fault_rate, 100.0
        self.in_transit: list[tuple[float, str, str, Message]] = []
        self.sent_rosters: list[str] = []  # how each reply sent the roster: "full" or "change"
        self.past_rosters: list[list[RosterRow]] = [[]]  # the rosters that the member has had
        self.nodes: dict[str, Node] = {}
        for ip, disk in ((MEMBER, 7), (NODE, 0)):
            self.start(ip, disk, first=True)
        self.run(4.0)
        assert self.nodes[MEMBER].is_core_candidate()

    def start(self, ip: str, disk: int, first: bool) -> None:
        records = self.records if not first and disk else {}
        self.records: dict[str, bytes] = records
        start = NodeStart(
            NodeInfo(ip, "zone-0", "east", disk, int(self.now * 1000)), [MEMBER], first, dict(records)
        )
        self.nodes[ip] = Node(self.now, start, 0.2, lambda tenant: 1.0)

    def perform(self, ip: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send) and action.to in self.nodes:
                if isinstance(action.message, HeartbeatReply):
                    self.sent_rosters += ["full"] * (action.message.roster_rows is not None)
                    self.sent_rosters += ["change"] * (action.message.roster_change is not None)
                for _ in range(1 + (self.random.random() < self.fault_rate)):
                    if self.random.random() >= self.fault_rate:
                        delay = self.random.choice((0.001, 0.02, 0.9)) if self.fault_rate else 0.001
                        self.in_transit.append((self.now + delay, ip, action.to, action.message))
            elif isinstance(action, Save):
                self.records.update({name: body for name, body in action.records.items() if body is not None})
                self.perform(ip, self.nodes[ip].on_saved(self.now, action.serial, True))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for ip, node in self.nodes.items():
                self.perform(ip, node.tick(self.now))
            self.past_rosters.append(self.nodes[MEMBER].peers.roster_rows)
            while due := [each for each in self.in_transit if each[0] <= self.now]:
                self.in_transit.remove(due[0])
                _, source, to, message = due[0]
                self.perform(to, self.nodes[to].on_message(self.now, source, message))

    def record_heartbeats(self, *rows: RosterRow) -> None:
        for *info, ready in rows:
            self.nodes[MEMBER].peers.record_heartbeat(self.now, NodeInfo(*info), ready)

    def rosters_match(self) -> bool:
        one, other = (self.nodes[ip].peers for ip in (MEMBER, NODE))
        return (
            one.roster_rows == other.roster_rows
            and one.roster_checksum == other.roster_checksum == rows_checksum(one.roster_rows)
        )


@pytest.mark.parametrize("seed", range(4))
def test_node_has_only_past_rosters_of_the_member_and_reaches_its_latest(seed: int) -> None:
    pair, rng = Pair(seed, fault_rate=0.3), random.Random(seed)
    rows = {n: row(n) for n in range(60)}
    for step in range(300):
        for n in rng.sample(range(60), 40 if step % 50 == 0 else rng.choice((0, 0, 1, 2))):
            rows[n] = row(n, rng.random() < 0.7, rng.randrange(3))
        for n in rng.sample(range(60), rng.choice((0, 0, 0, 0, 1))):
            rows.pop(n, None)
        pair.record_heartbeats(*rows.values())
        pair.run(0.05)
        assert pair.nodes[NODE].peers.roster_rows in pair.past_rosters
    assert pair.sent_rosters.count("change") > 5 and pair.sent_rosters.count("full") > 1
    pair.fault_rate, pair.in_transit = 0.0, []
    # without further faults, long enough that the nodes that are gone leave the roster
    for _ in range(round(FAR_ROSTER_TIMEOUT * 20) + 20):
        pair.record_heartbeats(*rows.values())
        pair.run(0.05)
    assert pair.rosters_match() and len(pair.nodes[NODE].peers.roster_rows) == len(rows) + 2


def test_one_changed_row_among_many_is_sent_as_a_change() -> None:
    pair = Pair(1)
    for step in range(40):
        pair.record_heartbeats(*(row(n, ready=n != 7 or step < 20) for n in range(200)))
        if step == 15:
            pair.sent_rosters.clear()
        pair.run(0.1)
    assert pair.rosters_match() and pair.sent_rosters == ["change"]


def test_restarted_member_sends_the_full_roster() -> None:
    pair = Pair(1)
    for step in range(60):
        pair.record_heartbeats(*(row(n) for n in range(50)))
        pair.run(0.05)
        if step == 20:
            assert pair.rosters_match()
            pair.sent_rosters.clear()
            pair.start(MEMBER, 7, first=False)
    assert pair.rosters_match() and pair.sent_rosters[0] == "full"


def test_full_roster_is_sent_to_a_node_that_missed_more_changes_than_are_remembered() -> None:
    roster = Roster()
    roster.update([], [row(n) for n in range(300)])
    first = roster.checksum
    for n in range(MAX_REMEMBERED_CHANGES):
        roster.update([], [row(n % 100, ready=False, incarnation=n)])
    assert roster.changes_since(first) is not None
    roster.update([], [row(200, ready=False)])
    assert roster.changes_since(first) is None and roster.changes_since(12345) is None
    assert len(roster.changes) == MAX_REMEMBERED_CHANGES
    for n in range(3):  # nor are more rows remembered than the full roster has
        roster.update([], [row(m, incarnation=100 + n) for m in range(0, 300, 2)])
    assert sum(len(ips) for _, ips in roster.changes) <= 300


def test_change_with_a_wrong_checksum_is_rejected_and_the_full_roster_is_requested() -> None:
    member, node = Roster(), Roster()
    member.update([], [row(n) for n in range(9)])
    node.replace(member.rows)
    before = member.rows
    member.update([node_info(3).ip], [row(1, ready=False)])
    change = member.changes_since(node.checksum)
    assert change is not None
    node.apply_change([change[0], change[1], change[2], []])
    assert node.rows == before and node.checksum == 0
    assert member.changes_since(node.checksum) is None  # so that the member sends the full roster
    node.replace(member.rows)
    node.apply_change(change)  # delayed: made from rows that the node no longer has
    assert node.rows == member.rows and node.checksum == member.checksum


def test_checksum_depends_on_the_rows_and_not_on_the_updates_that_led_to_them() -> None:
    rows = sorted(row(n) for n in range(20))
    roster = Roster()
    for each in random.Random(1).sample(rows, 20):
        roster.update([], [each])
    assert roster.rows == rows and roster.checksum == rows_checksum(rows)
    swapped = [row(0, ready=False), row(1), *rows[2:]], [row(0), row(1, ready=False), *rows[2:]]
    assert rows_checksum(swapped[0]) != rows_checksum(swapped[1])
    for replacement in (rows[:5], [row(0, incarnation=2), *rows[9:]], [], rows):
        roster.replace(replacement)
        assert roster.rows == replacement and roster.checksum == rows_checksum(replacement)
    roster.update([each[0] for each in rows], [])
    assert roster.rows == [] and roster.checksum == 0


def test_rows_expire_after_the_same_time_as_when_all_are_checked_at_each_update() -> None:
    peers, rng = PeerTable(NodeInfo(MEMBER, "zone-0", "east", 7, 1), 0.0), random.Random(3)
    heartbeats: dict[str, tuple[float, NodeInfo]] = {}
    for step in range(1, 2000):
        now = step * 0.05
        for n in rng.sample(range(30), rng.choice((0, 1, 5))):
            heartbeats[node_info(n).ip] = now, node_info(n)
            peers.record_heartbeat(now, node_info(n), True)
        peers.update_roster(now)
        expired = {
            ip
            for ip, (at, info) in heartbeats.items()
            if now - at > (ROSTER_TIMEOUT if info.region == "east" else FAR_ROSTER_TIMEOUT)
        }
        heartbeats = {ip: heartbeat for ip, heartbeat in heartbeats.items() if ip not in expired}
        assert [each[0] for each in peers.roster_rows] == sorted(heartbeats)
