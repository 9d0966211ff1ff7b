"""Load reports: which nodes get this node's counts of requests in flight, of which servers, and how often.

A byte budget a second bounds them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner, weight
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import LoadReport

# Least seconds between two rounds of reports in the zone: a node's tick, the length of which varies a little.
MIN_ZONE_INTERVAL = 0.04
# Least seconds between two rounds of reports to the region's other zones: a part of a request's time.
MIN_REGION_INTERVAL = 0.2
# Seconds after which an unchanged report is sent again: twice before it expires at the recipient.
UNCHANGED_INTERVAL = 0.4
# Seconds that a round in the zone may take; in a longer one, nodes herd by outdated reports (docs/system.md).
MAX_ROUND_TIME = UNCHANGED_INTERVAL
# Seconds for which a report counts at its recipient, as in hazelspring.routing.endpoints.
REPORT_LIFETIME = 1.0
# Servers in a report, the busiest ones, so that it fits a datagram.
MAX_SERVERS_PER_REPORT = 64
# Bytes a second of a node's whole control traffic, both ways (docs/CAPACITY.md).
CONTROL_BANDWIDTH = 21_000.0
# Bytes a second that control traffic takes at rest.
IDLE_BANDWIDTH = 1_500.0
# The part of a node's own link that its byte budget may take at most.
MAX_LINK_PART = 0.05
# The part of the byte budget that load reports keep, whatever other messages take.
MIN_BUDGET_PART = 0.25
# Bytes one way of a call to a tenant's counter and of its answer: the mean of both.
LEASE_CALL_BYTES = 48
# Bytes of a report without servers, and of each server in it.
MESSAGE_BYTES, SERVER_BYTES = 12, 6
# Servers for which the order of recipients is cached.
MAX_CACHED_RECIPIENTS = 4096

InFlightByTag = dict[int, int]  # requests in flight, by the server's tag
NO_REPORT: tuple[float, InFlightByTag] = (-1e9, {})


def report_budget(link: float) -> float:
    """Return the byte budget of a node's load reports and of its calls to counters, in bytes a second sent.

    It is half of what control traffic may take and rest leaves, as the other half is for receiving; `link` is the
    bandwidth of the node's own link in bytes a second.
    """
    return min((CONTROL_BANDWIDTH - IDLE_BANDWIDTH) / 2, MAX_LINK_PART * link)


def recipient_count(names: int, nodes: int, room: float) -> int:
    """Return to how many of the zone's other nodes each server is reported, so that a round takes at most `room` bytes.

    `names` is the number of servers, `nodes` that of the other nodes.  The count is all nodes where that fits, fewer
    where it does not, and at least one.
    """
    if not names or not nodes:
        return nodes
    # Either each node gets one message with many servers, or each server goes in a message of its own.
    bytes_if_to_all = (room - nodes * MESSAGE_BYTES) / (names * SERVER_BYTES)
    bytes_if_to_few = room / (names * (MESSAGE_BYTES + SERVER_BYTES))
    return max(1, min(nodes, int(max(bytes_if_to_all, bytes_if_to_few))))


class LoadReporter:
    """Sends one node's load reports within its byte budget.

    Each server is reported to the first nodes of the zone by rendezvous hashing: to all where the budget allows it.
    All nodes choose the same recipients for a server, so these know of all requests in flight there, however few
    recipients there are.  `allowed` is the byte budget in bytes a second; calls to counters have priority in it.
    """

    def __init__(self, peers: PeerTable, allowed: float) -> None:
        self.peers, self.byte_budget = peers, allowed
        # Bytes of other messages in the budget since the last refill, and their recent mean in bytes a second.
        self.spent_elsewhere, self.spending_elsewhere_rate = 0.0, 0.0
        # When each node got its last report, and what it said.
        self.last_reports: dict[str, tuple[float, InFlightByTag]] = {}
        # The roster that the two lists of recipients were computed from.
        self.roster_rows: list[list[Any]] = []
        # The other nodes of the zone.
        self.zone_nodes: list[str] = []
        # The nodes of the region's other zones to which this node reports the sums of its zone.
        self.region_nodes: list[str] = []
        # The zone's other nodes, in the order in which they become recipients of a server's reports.
        self.recipients_by_tag: dict[int, list[str]] = {}
        # Bytes that may be sent now (below 0: the last round overdrew the budget), and when they were refilled.
        self.bytes_available, self.refilled_at = allowed * MAX_ROUND_TIME, -1e9
        self.zone_reported_at = self.region_reported_at = -1e9
        self.zone_interval = 0.0  # seconds between the last two rounds in the zone

    def update_recipients(self) -> None:
        """Compute this node's recipients again where the roster was replaced."""
        if self.roster_rows is self.peers.roster_rows:
            return
        self.roster_rows, me, before = self.peers.roster_rows, self.peers.me, self.zone_nodes
        region = [row[:2] for row in self.roster_rows if row[2] == me.region and row[0] != me.ip]
        self.zone_nodes = [ip for ip, zone in region if zone == me.zone]
        zone_nodes = [*self.zone_nodes, me.ip]
        self.region_nodes = [ip for ip, zone in region if zone != me.zone and owner(ip, zone_nodes) == me.ip]
        self.last_reports = {
            ip: self.last_reports[ip]
            for ip in [*self.zone_nodes, *self.region_nodes]
            if ip in self.last_reports
        }
        if self.zone_nodes != before:
            self.recipients_by_tag.clear()

    def report(
        self, now: float, in_flight: InFlightByTag, heard: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return the load reports that are due.

        The zone's nodes get this node's requests in flight.  Each node of the region's other zones gets the sums of
        this zone from one node of it; this node sends them to those that are its part.  A round is sent once the budget
        has made up for the rounds before it.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        in_flight
            This node's requests in flight.
        heard
            By node, when its last report came and what it said.
        """
        self.update_recipients()
        self.refill(now)
        actions: list[Action] = []
        rounds = [
            (self.zone_reported_at, MIN_ZONE_INTERVAL, True),
            (self.region_reported_at, max(MIN_REGION_INTERVAL, self.zone_interval), False),
        ]
        for at, least, zone in sorted(rounds):  # the round that has waited longer goes first
            if self.bytes_available < 0 or now - at < least:
                continue
            if zone:
                self.zone_interval, self.zone_reported_at = min(REPORT_LIFETIME, now - at), now
                actions += self.report_to_zone(now, busiest(in_flight, MAX_SERVERS_PER_REPORT))
            elif self.region_nodes and (told := self.report_to_region(now, in_flight, heard)):
                # A round that sent nothing does not count, so the next change is reported at once.
                self.region_reported_at = now
                actions += told
        return actions

    def record_other_bytes(self, size: float) -> None:
        """Record bytes of other messages that the budget covers, too."""
        self.spent_elsewhere += size

    def refill(self, now: float) -> None:
        """Add the bytes that the budget gained since the last refill, less those of other messages.

        Load reports gain at least `MIN_BUDGET_PART` of the budget.  At most one round's bytes are saved up.
        """
        gone = now - self.refilled_at
        if gone > 0:
            gained = max(
                MIN_BUDGET_PART * self.byte_budget * gone, self.byte_budget * gone - self.spent_elsewhere
            )
            self.spending_elsewhere_rate += (
                self.spent_elsewhere / gone - self.spending_elsewhere_rate
            ) * min(1.0, gone / REPORT_LIFETIME)
            self.spent_elsewhere, self.refilled_at = 0.0, now
            self.bytes_available = min(self.byte_rate() * MAX_ROUND_TIME, self.bytes_available + gained)

    def byte_rate(self) -> float:
        """Return the bytes a second left for load reports, by the recent rate of other messages."""
        return max(MIN_BUDGET_PART * self.byte_budget, self.byte_budget - self.spending_elsewhere_rate)

    def report_to_zone(self, now: float, in_flight: InFlightByTag) -> list[Action]:
        """Return a round of reports to the zone.

        All nodes get the same message where each server is reported to all; else each gets its own.
        """
        count = recipient_count(len(in_flight), len(self.zone_nodes), self.byte_rate() * MAX_ROUND_TIME)
        if count == len(self.zone_nodes):
            message = LoadReport(in_flight)
            return [action for ip in self.zone_nodes for action in self.send(now, ip, message)]
        rows: dict[str, InFlightByTag] = {ip: {} for ip in self.zone_nodes}
        for name, out in in_flight.items():
            for ip in self.recipients_of(name)[:count]:
                rows[ip][name] = out
        return [action for ip, row in rows.items() for action in self.send(now, ip, LoadReport(row))]

    def recipients_of(self, name: int) -> list[str]:
        """Return the zone's other nodes in the order in which they become recipients of a server's reports.

        The order is by rendezvous hashing, so it is the same at all nodes.
        """
        found = self.recipients_by_tag.get(name)
        if found is None:
            if len(self.recipients_by_tag) >= MAX_CACHED_RECIPIENTS:
                self.recipients_by_tag.clear()
            thing = str(name)
            found = self.recipients_by_tag[name] = sorted(
                self.zone_nodes, key=lambda ip: weight(thing, ip), reverse=True
            )
        return found

    def report_to_region(
        self, now: float, in_flight: InFlightByTag, heard: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return a round of reports on the zone to nodes of the region's other zones.

        It includes as many servers, the busiest, as fit into half of the bytes of a round in the zone.
        """
        room = self.byte_rate() * MAX_ROUND_TIME / 2 / len(self.region_nodes) - MESSAGE_BYTES
        total = busiest(
            self.zone_totals(in_flight, heard), max(1, min(MAX_SERVERS_PER_REPORT, int(room / SERVER_BYTES)))
        )
        message = LoadReport(total)
        return [action for ip in self.region_nodes for action in self.send(now, ip, message)]

    def zone_totals(
        self, in_flight: InFlightByTag, heard: Mapping[str, tuple[float, InFlightByTag]]
    ) -> InFlightByTag:
        """Return the requests in flight of all the zone's nodes, as far as they were reported to this one."""
        total = dict(in_flight)
        for ip in self.zone_nodes:
            for name, out in heard[ip][1].items() if ip in heard else ():
                total[name] = total.get(name, 0) + out
        return total

    def send(self, now: float, ip: str, message: LoadReport) -> list[Action]:
        """Return a report to one node, or none where it has nothing new to say.

        An unchanged report is sent again after `UNCHANGED_INTERVAL`; one without any request in flight is sent once.
        """
        at, told = self.last_reports.get(ip, NO_REPORT)
        in_flight = message.in_flight_by_tag
        if not (in_flight or told) or (in_flight == told and now - at < UNCHANGED_INTERVAL):
            return []
        self.last_reports[ip] = (now, in_flight)
        self.bytes_available -= MESSAGE_BYTES + SERVER_BYTES * len(in_flight)
        return [Send(ip, message)]


def busiest(in_flight: InFlightByTag, most: int) -> InFlightByTag:
    """Return at most `most` servers, those with the most requests in flight."""
    return (
        in_flight
        if len(in_flight) <= most
        else dict(sorted(in_flight.items(), key=lambda item: -item[1])[:most])
    )
