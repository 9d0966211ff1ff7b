"""A node's requests for tables of servers that it lacks, or of which other nodes have a newer version."""

from __future__ import annotations

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import TableRequest
from hazelspring.node.sent_request import NOT_SENT, SentRequest
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.tables import ServerRegistry


class TableRequests:
    """Requests tables from other core nodes, each table from one node at a time."""

    def __init__(self, peers: PeerTable, registry: ServerRegistry, freshness: ListFreshness) -> None:
        self.peers, self.registry, self.freshness = peers, registry, freshness
        self.sent: dict[str, SentRequest] = {}  # by service
        # By core node: the table versions that it reported, and those that this node had, when none of the
        # reported ones was newer.  Both are compared by identity, so nothing is computed while neither has
        # changed.
        self.in_sync: dict[str, tuple[dict[str, int], dict[str, int]]] = {}

    def request_missing(self, now: float) -> list[Action]:
        """Request tables of which other core nodes have reported a newer version than this node has.

        If a core node has no newer version, this node knows as much of the platform's list as that node.  So
        it also records until when that node knew the list.
        """
        actions: list[Action] = []
        for ip in self.peers.core_nodes:
            peer = self.peers.peers.get(ip)
            if peer is None or ip == self.peers.me.ip:
                continue
            reported, known = self.in_sync.get(ip, (None, None))
            if reported is not peer.table_versions or known is not self.registry.versions():
                newer = self.registry.outdated(peer.table_versions)
                for service in newer:
                    actions += self.request(now, service, peer.table_versions[service])
                if newer:
                    continue
                self.in_sync[ip] = (peer.table_versions, self.registry.versions())
            self.freshness.confirm(peer.list_read_at)  # this node knows all that the peer knows
        return actions

    def request(self, now: float, service: str, version: int) -> list[Action]:
        """Request a table from a core node that reported at least `version`, unless a request is pending.

        The first request goes to the nearest node that is alive, and each retry to the next node in turn.
        """
        last = self.sent.get(service, NOT_SENT)
        if not last.is_due(now):
            return []
        sources = self.peers.other_core_nodes_where(
            lambda peer: peer.table_versions.get(service, 0) >= version
        )
        if not sources:
            return []
        alive = self.peers.alive_or_all(now, sources)
        self.sent[service] = SentRequest(now, last.count + 1)
        return [Send(alive[last.count % len(alive)], TableRequest(service))]

    def on_update(self, service: str) -> None:
        """Record that a table has arrived, so that it may be requested again immediately."""
        self.sent.pop(service, None)
