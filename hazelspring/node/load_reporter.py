"""Who is told where this node's requests are, of which servers and how often: within a budget of bytes a second."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner, weight
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import LoadReport

MIN_ZONE_INTERVAL = (
    0.04  # seconds between two reports in the zone: a tick of a node, whose time varies a little,
)
MIN_REGION_INTERVAL = 0.2  # and in the region, a part of a request's time
UNCHANGED_INTERVAL = (
    0.4  # seconds after which it is told again where nothing has changed: twice before it counts no more;
)
# and that a round in the zone may take: later, and nodes herd by what is long past (docs/system.md)
MAX_ROUND_TIME = UNCHANGED_INTERVAL
REPORT_LIFETIME = (
    1.0  # seconds for which a report counts where it was heard, as hazelspring.routing.endpoints has it
)
MAX_SERVERS_PER_REPORT = 64  # servers in a report, the busiest, so that it fits a datagram
CONTROL_BANDWIDTH = 21_000.0  # bytes a second of a node for all control, both ways (docs/CAPACITY.md),
IDLE_BANDWIDTH = 1_500.0  # and of it at rest
MAX_LINK_PART = 0.05  # of a node's own link that this may take, at most
MIN_BUDGET_PART = 0.25  # of what is allowed that is left to this whatever else goes out
LEASE_CALL_BYTES = 48  # bytes one way of a call to a tenant's counter and its answer, the mean of both
MESSAGE_BYTES, SERVER_BYTES = 12, 6  # bytes of a message without servers, and of each server in it
MAX_CACHED_RECIPIENTS = 4096  # servers whose recipients are remembered

InFlightByTag = dict[int, int]  # requests by server's tag
NO_REPORT: tuple[float, InFlightByTag] = (-1e9, {})


def report_budget(link: float) -> float:
    """Bytes a second that a node may send of this and of its calls to counters, by its link's bytes a second."""
    return min((CONTROL_BANDWIDTH - IDLE_BANDWIDTH) / 2, MAX_LINK_PART * link)


def recipient_count(names: int, nodes: int, room: float) -> int:
    """How many nodes, of so many others in the zone, are told of each of `names` servers, so that a round takes no
    more bytes than `room`: all, where that fits; fewer as it does not; one at least.
    """
    if not names or not nodes:
        return nodes
    bytes_if_to_all = (room - nodes * MESSAGE_BYTES) / (names * SERVER_BYTES)  # each node has one message,
    bytes_if_to_few = room / (names * (MESSAGE_BYTES + SERVER_BYTES))  # or each row has its own
    return max(1, min(nodes, int(max(bytes_if_to_all, bytes_if_to_few))))


class LoadReporter:
    """A node tells of each server the first nodes of its zone by rendezvous: all, where the budget lets it.  As all
    nodes tell the same ones of a server, these know of all requests there, however few they are.  `allowed` is the
    budget in bytes a second; calls to counters go before.
    """

    def __init__(self, peers: PeerTable, allowed: float) -> None:
        self.peers, self.byte_budget = peers, allowed
        self.spent_elsewhere, self.spending_elsewhere_rate = (
            0.0,
            0.0,
        )  # bytes sent of other kinds since the last tick; a second, of late
        self.last_reports: dict[
            str, tuple[float, InFlightByTag]
        ] = {}  # what was told last, and when, by node
        self.roster_rows: list[list[Any]] = []  # the roster that these are of:
        self.zone_nodes: list[str] = []  # the other nodes of the zone,
        self.region_nodes: list[
            str
        ] = []  # and those of the region's other zones that are this node's to tell
        self.recipients_by_tag: dict[
            int, list[str]
        ] = {}  # the zone's others in the order in which they hear of a server
        self.bytes_available, self.refilled_at = allowed * MAX_ROUND_TIME, -1e9  # bytes that may be sent now
        self.zone_reported_at = self.region_reported_at = -1e9
        self.zone_interval = 0.0  # seconds between the last two rounds in the zone

    def update_recipients(self) -> None:
        """Whom this node tells, worked out anew with each roster."""
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
        """Tell the nodes of the zone where this node's requests are; and those of the region that are this node's
        to tell where the zone's are, `heard` being what its nodes told, so that each hears of a zone from one.
        A round comes once the budget has made up for those before it.
        """
        self.update_recipients()
        self.refill(now)
        actions: list[Action] = []
        rounds = [
            (self.zone_reported_at, MIN_ZONE_INTERVAL, True),
            (self.region_reported_at, max(MIN_REGION_INTERVAL, self.zone_interval), False),
        ]
        for at, least, zone in sorted(rounds):  # whichever has waited longer goes first
            if self.bytes_available < 0 or now - at < least:
                continue
            if zone:
                self.zone_interval, self.zone_reported_at = min(REPORT_LIFETIME, now - at), now
                actions += self.report_to_zone(now, busiest(in_flight, MAX_SERVERS_PER_REPORT))
            elif self.region_nodes and (
                told := self.report_to_region(now, in_flight, heard)
            ):  # what is new next goes at once
                self.region_reported_at = now
                actions += told
        return actions

    def record_other_bytes(self, size: float) -> None:
        """Bytes of other kinds have been sent that the budget is for."""
        self.spent_elsewhere += size

    def refill(self, now: float) -> None:
        """Add what the time since the last look allows to be sent."""
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
        """Bytes a second that this node may send, as it has been of late."""
        return max(MIN_BUDGET_PART * self.byte_budget, self.byte_budget - self.spending_elsewhere_rate)

    def report_to_zone(self, now: float, in_flight: InFlightByTag) -> list[Action]:
        """One message for all where all are told of all servers; else each has its own."""
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
        """The zone's other nodes in the order, the same for all, in which they hear of a server."""
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
        """As many of the zone's servers, the busiest, as fit into half of what a round in the zone may take."""
        room = self.byte_rate() * MAX_ROUND_TIME / 2 / len(self.region_nodes) - MESSAGE_BYTES
        total = busiest(
            self.zone_totals(in_flight, heard), max(1, min(MAX_SERVERS_PER_REPORT, int(room / SERVER_BYTES)))
        )
        message = LoadReport(total)
        return [action for ip in self.region_nodes for action in self.send(now, ip, message)]

    def zone_totals(
        self, in_flight: InFlightByTag, heard: Mapping[str, tuple[float, InFlightByTag]]
    ) -> InFlightByTag:
        """Where the requests of the zone's nodes are, as far as they told this one."""
        total = dict(in_flight)
        for ip in self.zone_nodes:
            for name, out in heard[ip][1].items() if ip in heard else ():
                total[name] = total.get(name, 0) + out
        return total

    def send(self, now: float, ip: str, message: LoadReport) -> list[Action]:
        """Nothing where nothing is new; that nothing is out any more is told once."""
        at, told = self.last_reports.get(ip, NO_REPORT)
        in_flight = message.in_flight_by_tag
        if not (in_flight or told) or (in_flight == told and now - at < UNCHANGED_INTERVAL):
            return []
        self.last_reports[ip] = (now, in_flight)
        self.bytes_available -= MESSAGE_BYTES + SERVER_BYTES * len(in_flight)
        return [Send(ip, message)]


def busiest(in_flight: InFlightByTag, most: int) -> InFlightByTag:
    """Return the servers with the most requests in flight."""
    return (
        in_flight
        if len(in_flight) <= most
        else dict(sorted(in_flight.items(), key=lambda item: -item[1])[:most])
    )
