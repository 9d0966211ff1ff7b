"""Dissemination of registry changes: from the list reader to core and home nodes, from these to their zones."""

from __future__ import annotations

import math
from collections.abc import Mapping

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Action, Send, TableChanged
from hazelspring.node.load_reporter import InFlightByTag, LoadReporter, report_budget
from hazelspring.node.messages import TableRequest, TableUpdate
from hazelspring.registry.tables import ServerEntry, ServerRegistry, home_node


class Disseminator:
    """Sends changed tables, and this node's load reports, to other nodes.

    `link` is the bandwidth of this node's own link in bytes a second.
    """

    def __init__(self, peers: PeerTable, link: float = math.inf) -> None:
        self.peers, self.registry = peers, ServerRegistry(peers.me.ip)
        self.load_reporter = LoadReporter(peers, report_budget(link))

    def publish_list(
        self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]]
    ) -> list[Action]:
        """Apply a list that this node read, and send what it changes.

        Each change goes to the other core nodes and to the home node of its service in each zone; where this node is
        the home node in its own zone, it forwards the change there.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        wall_ms
            Milliseconds of the wall clock.
        found
            The servers in the list, by service.
        """
        actions: list[Action] = []
        me = self.peers.me.ip
        for service in self.registry.update_from_list(now, wall_ms, found):
            actions.append(TableChanged(service))
            message = TableUpdate(self.registry.encode_change(now, service))
            zones = sorted({row[1] for row in self.peers.roster_rows})
            homes = {home_node(service, zone, self.peers.ready_nodes(zone=zone)) for zone in zones}
            for ip in sorted({*self.peers.other_core_nodes(), *(h for h in homes if h is not None)} - {me}):
                actions.append(Send(ip, message))
            actions += self.forward_to_zone(service, message)
        return actions

    def apply_update(self, now: float, news: TableUpdate) -> list[Action]:
        """Apply a table update of another node, and forward it to the zone where this is the home node.

        Where it cannot be applied, and its version is newer than the one here, the complete table is requested of the
        nearest core node that answers.
        """
        service = news.service
        if not self.registry.apply(now, news.table):
            if not self.registry.outdated({service: news.version}):
                return []
            core = self.peers.alive_or_all(now, self.peers.other_core_nodes())
            return [Send(ip, TableRequest(service)) for ip in core[:1]]
        return [TableChanged(service), *self.forward_to_zone(service, news)]

    def forward_to_zone(self, service: str, message: TableUpdate) -> list[Action]:
        """Return the messages that forward an update to the zone's other ready nodes.

        There are none where this node is not the home node of the service in its zone.
        """
        me = self.peers.me
        nodes = self.peers.ready_nodes(zone=me.zone)
        if home_node(service, me.zone, nodes) != me.ip:
            return []
        return [Send(ip, message) for ip in nodes if ip != me.ip]

    def report_load(
        self, now: float, in_flight: InFlightByTag, heard: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return the load reports that are due; `heard` holds the latest ones of other nodes."""
        return self.load_reporter.report(now, in_flight, heard)
