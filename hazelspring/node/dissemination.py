"""How changes of the registry go round: from the list's reader to core and home nodes, from these to their zones."""

from __future__ import annotations

import math
from collections.abc import Mapping

from hazelspring.membership.peer_table import Peers
from hazelspring.node.actions import Changed, Deed, Message, Send
from hazelspring.node.load_reporter import Outs, Teller, budget
from hazelspring.node.messages import TableNews, TableRequest
from hazelspring.registry.tables import ServerEntry, ServerRegistry, home_node


class Disseminator:
    """Tells other nodes of changed tables, and of where this node's requests are."""

    def __init__(self, peers: Peers, link: float = math.inf) -> None:
        self.peers, self.registry = peers, ServerRegistry(peers.me.ip)
        self.teller = Teller(peers, budget(link))

    def listed(self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]]) -> list[Deed]:
        """A list has come: what it changes goes to the core, and to the home node of each service and zone."""
        deeds: list[Deed] = []
        me = self.peers.me.ip
        for service in self.registry.update_from_list(now, wall_ms, found):
            deeds.append(Changed(f"service:{service}"))
            message = TableNews(self.registry.encode_change(now, service)).encode()
            zones = sorted({row[1] for row in self.peers.roster})
            homes = {home_node(service, zone, self.peers.doors(zone=zone)) for zone in zones}
            for ip in sorted({*self.peers.others(), *(h for h in homes if h is not None)} - {me}):
                deeds.append(Send(ip, message))
            deeds += self.tell_zone(service, message)
        return deeds

    def apply(self, now: float, news: TableNews) -> list[Deed]:
        """What another node told; where it can't be applied, the whole table is asked for."""
        service = news.service
        if not self.registry.apply(now, news.table):
            core = self.peers.others()[:1] if self.registry.outdated({service: news.version}) else []
            return [Send(ip, TableRequest(service).encode()) for ip in core]
        return [Changed(f"service:{service}"), *self.tell_zone(service, news.encode())]

    def tell_zone(self, service: str, message: Message) -> list[Deed]:
        """The home node tells the others of its zone."""
        me = self.peers.me
        doors = self.peers.doors(zone=me.zone)
        if home_node(service, me.zone, doors) != me.ip:
            return []
        return [Send(ip, message) for ip in doors if ip != me.ip]

    def tell_load(self, now: float, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> list[Deed]:
        """Tell other nodes where this node's requests are; `heard` is what they told."""
        return self.teller.tell(now, outs, heard)
