"""Dissemination of registry changes.

The list reader sends them to the core nodes and to the home nodes.  A home node forwards them to the other
nodes of its zone.
"""

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

    `link_bandwidth` is the bandwidth of this node's network link in bytes a second.
    """

    def __init__(self, peers: PeerTable, link_bandwidth: float = math.inf) -> None:
        self.peers, self.registry = peers, ServerRegistry(peers.me.ip)
        self.load_reporter = LoadReporter(peers, report_budget(link_bandwidth))

    def publish_list(
        self, now: float, wall_ms: int, servers_by_service: dict[str, dict[str, ServerEntry]]
    ) -> list[Action]:
        """Apply a list that this node has read, and send the changes that it makes to the registry.

        Each change is sent to the other core nodes and to the home node of its service in each zone.  If
        this node is the home node in its own zone, it forwards the change to the zone's other nodes.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        wall_ms
            Milliseconds of the wall clock.
        servers_by_service
            The servers in the list.
        """
        actions: list[Action] = []
        me = self.peers.me.ip
        for service in self.registry.update_from_list(now, wall_ms, servers_by_service):
            actions.append(TableChanged(service))
            message = TableUpdate(self.registry.encode_change(now, service))
            zones = sorted({row[1] for row in self.peers.roster_rows})
            homes = {home_node(service, zone, self.peers.ready_nodes(zone=zone)) for zone in zones}
            for ip in sorted(
                {*self.peers.other_core_nodes(), *(home for home in homes if home is not None)} - {me}
            ):
                actions.append(Send(ip, message))
            actions += self.forward_to_zone(service, message)
        return actions

    def apply_update(self, now: float, update: TableUpdate) -> list[Action]:
        """Apply a table update from another node; the service's home node also forwards it to its zone.

        If the update cannot be applied, but its version is newer than this node's version, this node
        requests the complete table from the nearest core node that answers.
        """
        service = update.service
        if not self.registry.apply(now, update.table):
            if not self.registry.outdated({service: update.version}):
                return []
            core = self.peers.alive_or_all(now, self.peers.other_core_nodes())
            return [Send(ip, TableRequest(service)) for ip in core[:1]]
        return [TableChanged(service), *self.forward_to_zone(service, update)]

    def forward_to_zone(self, service: str, message: TableUpdate) -> list[Action]:
        """Return the messages that forward an update to the zone's other ready nodes.

        There are none if this node is not the home node of the service in its zone.
        """
        me = self.peers.me
        nodes = self.peers.ready_nodes(zone=me.zone)
        if home_node(service, me.zone, nodes) != me.ip:
            return []
        return [Send(ip, message) for ip in nodes if ip != me.ip]

    def report_load(
        self, now: float, in_flight: InFlightByTag, received: Mapping[str, tuple[float, InFlightByTag]]
    ) -> list[Action]:
        """Return the load reports that are due; `received` contains the latest report of each other node."""
        return self.load_reporter.report(now, in_flight, received)
