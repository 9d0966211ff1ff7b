"""A node's requests for tables of servers that it lacks, or that others have newer."""

from __future__ import annotations

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import Action, Send
from hazelspring.node.messages import TableRequest
from hazelspring.node.sent_request import NOT_SENT, SentRequest
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.tables import ServerRegistry


class TableRequests:
    """Asks other nodes of the core for tables, one node at a time for each."""

    def __init__(self, peers: PeerTable, registry: ServerRegistry, freshness: ListFreshness) -> None:
        self.peers, self.registry, self.freshness = peers, registry, freshness
        self.sent: dict[str, SentRequest] = {}  # by service
        # of each member, the versions of tables that it told and those known here when none of its was newer
        self.in_sync: dict[str, tuple[dict[str, int], dict[str, int]]] = {}

    def request_missing(self, now: float) -> list[Action]:
        """Ask for tables that others told of and this node lacks."""
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
            self.freshness.confirm(peer.list_read_at)  # what it knows is known here
        return actions

    def request(self, now: float, service: str, version: int) -> list[Action]:
        """Ask the nearest node that has a version; one that did not answer in time, and the next one, in turn."""
        last = self.sent.get(service, NOT_SENT)
        if not last.is_due(now):
            return []
        holders = self.peers.other_core_nodes_where(
            lambda peer: peer.table_versions.get(service, 0) >= version
        )
        if not holders:
            return []
        alive = [ip for ip in holders if self.peers.is_alive(now, ip)] or holders
        self.sent[service] = SentRequest(now, last.count + 1)
        return [Send(alive[last.count % len(alive)], TableRequest(service))]

    def on_update(self, service: str) -> None:
        """Note that a table has come: it may be asked for again at once."""
        self.sent.pop(service, None)
