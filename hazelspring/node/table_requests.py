"""A node's requests for tables of servers that it lacks, or of which other nodes have a newer version."""

from __future__ import annotations

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import TableRequest
from hazelspring.node.sent_request import NOT_SENT, SentRequest
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.tables import ServerRegistry


class TableRequests:
    """Requests tables of other core nodes, each table of one node at a time."""

    def __init__(self, peers: PeerTable, registry: ServerRegistry, freshness: ListFreshness) -> None:
        self.peers, self.registry, self.freshness = peers, registry, freshness
        self.sent: dict[str, SentRequest] = {}  # by service
        # By core node: the table versions that it reported and those known here when none of its was newer.  Both are
        # compared by identity, so nothing is computed while neither has changed.
        self.in_sync: dict[str, tuple[dict[str, int], dict[str, int]]] = {}

    def request_missing(self, now: float) -> list[Action]:
        """Request tables of which other core nodes reported a newer version than the one here.

        Where a node has none newer, the time of its last known list is confirmed here, too.
        """
        actions: list[Action] = []
        for ip in self.peers.core_nodes:
            peer = self.peers.peers.get(ip)
            if peer is None or ip == self.peers.me.ip:
                continue
            told, known = self.in_sync.get(ip, (None, None))
            if told is not peer.table_versions or known is not self.registry.versions():
                newer = self.registry.outdated(peer.table_versions)
                for service in newer:
                    actions += self.request(now, service, peer.table_versions[service])
                if newer:
                    continue
                self.in_sync[ip] = (peer.table_versions, self.registry.versions())
            self.freshness.confirm(peer.list_read_at)  # all that it knows is known here
        return actions

    def request(self, now: float, service: str, version: int) -> list[Action]:
        """Request a table of a core node that reported at least a version, unless a request is still in its time.

        The nearest node that is alive comes first; where it did not answer in time, the next one is asked, in turn.
        """
        last = self.sent.get(service, NOT_SENT)
        if not last.is_due(now):
            return []
        holders = self.peers.other_core_nodes_where(
            lambda peer: peer.table_versions.get(service, 0) >= version
        )
        if not holders:
            return []
        alive = self.peers.alive_or_all(now, holders)
        self.sent[service] = SentRequest(now, last.count + 1)
        return [Send(alive[last.count % len(alive)], TableRequest(service))]

    def on_update(self, service: str) -> None:
        """Record that a table has come, so that it may be requested again at once."""
        self.sent.pop(service, None)
