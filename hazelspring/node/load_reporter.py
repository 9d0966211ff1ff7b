"""Load reports, which contain a node's counts of requests in flight by server.

This module chooses the recipients, the servers in each report and the frequency within a byte budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner, weight
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import LoadReport

# Least seconds between two rounds of reports in the zone: a node's tick, whose length varies a little.
MIN_ZONE_INTERVAL = 0.04
# Least seconds between two rounds of reports to the region's other zones: less than a request takes.
MIN_REGION_INTERVAL = 0.2
# Seconds after which an unchanged report is sent again: twice before it expires at the recipient.
UNCHANGED_INTERVAL = 0.4
# Seconds that a round in the zone may take.  If it takes longer, reports are outdated and nodes send their
# requests to the same servers at the same time (docs/system.md).
MAX_ROUND_TIME = UNCHANGED_INTERVAL
# Seconds after which a report expires at its recipient, as in hazelspring.routing.load_reports.
REPORT_LIFETIME = 1.0
# Maximum number of servers in a report, so that it fits into a datagram; the busiest servers are reported.
MAX_SERVERS_PER_REPORT = 64
# Maximum bytes a second of all control traffic of a node, in both directions (docs/CAPACITY.md).
CONTROL_BANDWIDTH = 21_000.0
# Bytes a second of control traffic of an idle node.
IDLE_BANDWIDTH = 1_500.0
# Maximum fraction of the bandwidth of a node's network link that its byte budget may take.
MAX_LINK_FRACTION = 0.05
# Fraction of the byte budget that is reserved for load reports, however many bytes other messages take.
MIN_BUDGET_FRACTION = 0.25
# Bytes of a call to a tenant's counter, and of the answer to it: the mean of both.
LEASE_CALL_BYTES = 48
# Bytes of a report without servers, and of each server in a report.
MESSAGE_BYTES, SERVER_BYTES = 12, 6
# Maximum number of servers for which the order of recipients is cached.
MAX_CACHED_RECIPIENTS = 4096

InFlightByTag = dict[int, int]  # requests in flight, by the server's tag
NO_REPORT: tuple[float, InFlightByTag] = (-1e9, {})


def report_budget(link_bandwidth: float) -> float:
    """Return the budget of a node's load reports and of its calls to counters, in bytes sent a second.

    It is half of the control bandwidth that an idle node leaves unused, as the other half is for received
    messages, and at most `MAX_LINK_FRACTION` of `link_bandwidth`, the bandwidth of the node's network link
    in bytes a second.
    """
    return min((CONTROL_BANDWIDTH - IDLE_BANDWIDTH) / 2, MAX_LINK_FRACTION * link_bandwidth)


def recipient_count(server_count: int, node_count: int, byte_limit: float) -> int:
    """Return to how many of the zone's other nodes each server is reported.

    `server_count` is the number of servers, `node_count` that of the zone's other nodes.  The result is
    `node_count` if a round then takes at most `byte_limit` bytes, otherwise as many as fit into that limit,
    but at least one.
    """
    if not server_count or not node_count:
        return node_count
    # Either each node gets one message with many servers, or each server is sent in a separate message.
    count_if_grouped = (byte_limit - node_count * MESSAGE_BYTES) / (server_count * SERVER_BYTES)
    count_if_separate = byte_limit / (server_count * (MESSAGE_BYTES + SERVER_BYTES))
    return max(1, min(node_count, int(max(count_if_grouped, count_if_separate))))


class LoadReporter:
    """Sends one node's load reports within its byte budget.

    Each server is reported to the first nodes of the zone in the order of rendezvous hashing, and to all of
    them if the budget allows it.  All nodes choose the same recipients for a server, so each recipient knows
    of all requests in flight at that server, however few recipients there are.  `byte_budget` is the budget
    in bytes a second, in which calls to counters have priority.
    """

    def __init__(self, peers: PeerTable, byte_budget: float) -> None:
        self.peers, self.byte_budget = peers, byte_budget
        # Bytes of other messages since the last refill, and their recent mean in bytes a second.
        self.other_bytes, self.other_byte_rate = 0.0, 0.0
        # When the last report was sent to each node, and its contents.
        self.last_reports: dict[str, tuple[float, InFlightByTag]] = {}
        # The roster from which the two lists of recipients were computed.
        self.roster_rows: list[list[Any]] = []
        # The other nodes of the zone.
        self.zone_nodes: list[str] = []
        # The nodes of the region's other zones to which this node reports the totals of its zone.
        self.region_nodes: list[str] = []
        # The zone's other nodes, in the order in which they become recipients of a server's reports.
        self.recipients_by_tag: dict[int, list[str]] = {}
        # Bytes that may be sent now (below 0: the last round exceeded the budget), and when they were added.
        self.bytes_available, self.refilled_at = byte_budget * MAX_ROUND_TIME, -1e9
        self.zone_reported_at = self.region_reported_at = -1e9
        self.zone_interval = 0.0  # seconds between the last two rounds in the zone

    def update_recipients(self) -> None:
        """Compute this node's recipients again if the roster was replaced."""
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
        self, now: float, in_flight: InFlightByTag, received: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return the load reports that are due.

        This node's requests in flight are reported to the other nodes of its zone.  The totals of the zone
        are reported to each node of the region's other zones by one node of this zone, so this node sends
        them to its share of those nodes.  A round is sent only once the budget covers the previous rounds.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        in_flight
            This node's requests in flight.
        received
            By node, when its last report arrived and the contents of that report.
        """
        self.update_recipients()
        self.refill(now)
        actions: list[Action] = []
        rounds = [
            (self.zone_reported_at, MIN_ZONE_INTERVAL, True),
            (self.region_reported_at, max(MIN_REGION_INTERVAL, self.zone_interval), False),
        ]
        for sent_at, min_interval, is_zone_round in sorted(rounds):  # the longest-waiting round goes first
            if self.bytes_available < 0 or now - sent_at < min_interval:
                continue
            if is_zone_round:
                self.zone_interval, self.zone_reported_at = min(REPORT_LIFETIME, now - sent_at), now
                actions += self.report_to_zone(now, busiest(in_flight, MAX_SERVERS_PER_REPORT))
            elif self.region_nodes and (reports := self.report_to_region(now, in_flight, received)):
                # A round without a report does not count, so that the next change is reported immediately.
                self.region_reported_at = now
                actions += reports
        return actions

    def record_other_bytes(self, size: float) -> None:
        """Record `size` bytes of other messages that also count against the budget."""
        self.other_bytes += size

    def refill(self, now: float) -> None:
        """Add the bytes that the budget has gained since the last refill, minus those of other messages.

        Load reports gain at least `MIN_BUDGET_FRACTION` of it.  At most the bytes of one round accumulate.
        """
        elapsed = now - self.refilled_at
        if elapsed > 0:
            gained = max(
                MIN_BUDGET_FRACTION * self.byte_budget * elapsed,
                self.byte_budget * elapsed - self.other_bytes,
            )
            self.other_byte_rate += (self.other_bytes / elapsed - self.other_byte_rate) * min(
                1.0, elapsed / REPORT_LIFETIME
            )
            self.other_bytes, self.refilled_at = 0.0, now
            self.bytes_available = min(self.byte_rate() * MAX_ROUND_TIME, self.bytes_available + gained)

    def byte_rate(self) -> float:
        """Return the bytes a second that are left for load reports at the recent rate of other messages."""
        return max(MIN_BUDGET_FRACTION * self.byte_budget, self.byte_budget - self.other_byte_rate)

    def report_to_zone(self, now: float, in_flight: InFlightByTag) -> list[Action]:
        """Return a round of reports to the zone's other nodes.

        All of them get the same message if each server is reported to all; otherwise the messages differ.
        """
        count = recipient_count(len(in_flight), len(self.zone_nodes), self.byte_rate() * MAX_ROUND_TIME)
        if count == len(self.zone_nodes):
            message = LoadReport(in_flight)
            return [action for ip in self.zone_nodes for action in self.send(now, ip, message)]
        rows: dict[str, InFlightByTag] = {ip: {} for ip in self.zone_nodes}
        for tag, request_count in in_flight.items():
            for ip in self.recipients_of(tag)[:count]:
                rows[ip][tag] = request_count
        return [action for ip, row in rows.items() for action in self.send(now, ip, LoadReport(row))]

    def recipients_of(self, tag: int) -> list[str]:
        """Return the zone's other nodes in the order in which they become recipients of a server's reports.

        The order comes from rendezvous hashing, so it is the same at all nodes.  `tag` is the server's tag.
        """
        recipients = self.recipients_by_tag.get(tag)
        if recipients is None:
            if len(self.recipients_by_tag) >= MAX_CACHED_RECIPIENTS:
                self.recipients_by_tag.clear()
            key = str(tag)
            recipients = self.recipients_by_tag[tag] = sorted(
                self.zone_nodes, key=lambda ip: weight(key, ip), reverse=True
            )
        return recipients

    def report_to_region(
        self, now: float, in_flight: InFlightByTag, received: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return a round of reports with this zone's totals to nodes of the region's other zones.

        A report contains the busiest servers, as many as fit if the round takes half of the bytes of a round
        in the zone.
        """
        byte_limit = self.byte_rate() * MAX_ROUND_TIME / 2 / len(self.region_nodes) - MESSAGE_BYTES
        totals = busiest(
            self.zone_totals(in_flight, received),
            max(1, min(MAX_SERVERS_PER_REPORT, int(byte_limit / SERVER_BYTES))),
        )
        message = LoadReport(totals)
        return [action for ip in self.region_nodes for action in self.send(now, ip, message)]

    def zone_totals(
        self, in_flight: InFlightByTag, received: Mapping[str, tuple[float, InFlightByTag]]
    ) -> InFlightByTag:
        """Return the requests in flight of all nodes of the zone, as far as reported to this node."""
        totals = dict(in_flight)
        for ip in self.zone_nodes:
            for tag, request_count in received[ip][1].items() if ip in received else ():
                totals[tag] = totals.get(tag, 0) + request_count
        return totals

    def send(self, now: float, ip: str, message: LoadReport) -> list[Action]:
        """Return a report to one node, or an empty list if the report need not be sent.

        An unchanged report is sent again after `UNCHANGED_INTERVAL`; an empty one is sent only once.
        """
        sent_at, last_in_flight = self.last_reports.get(ip, NO_REPORT)
        in_flight = message.in_flight_by_tag
        if not (in_flight or last_in_flight) or (
            in_flight == last_in_flight and now - sent_at < UNCHANGED_INTERVAL
        ):
            return []
        self.last_reports[ip] = (now, in_flight)
        self.bytes_available -= MESSAGE_BYTES + SERVER_BYTES * len(in_flight)
        return [Send(ip, message)]


def busiest(in_flight: InFlightByTag, max_servers: int) -> InFlightByTag:
    """Return the servers with the most requests in flight, at most `max_servers` of them."""
    return (
        in_flight
        if len(in_flight) <= max_servers
        else dict(sorted(in_flight.items(), key=lambda item: -item[1])[:max_servers])
    )
