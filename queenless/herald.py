"""How news of servers goes round: the list's holder, home doors, their zones."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from queenless.deeds import Changed, Deed, Message, Send
from queenless.teller import Outs, Teller, budget
from swarm.peers import Peers
from waggle.news import News, Server, home


def ask_for(service: str) -> Message:
    """The message that asks another door for its table of a service."""
    return {"k": "ask", "s": service}


class Herald:
    def __init__(self, peers: Peers, link: float = math.inf) -> None:
        self.peers, self.news = peers, News(peers.me.ip)
        self.teller = Teller(peers, budget(link))

    def listed(self, now: float, wall_ms: int, found: dict[str, dict[str, Server]]) -> list[Deed]:
        """A list has come: what is news goes to the core, and to the home door of each service and zone."""
        deeds: list[Deed] = []
        me = self.peers.me.ip
        for service in self.news.listed(now, wall_ms, found):
            deeds.append(Changed(f"service:{service}"))
            message = {"k": "news", "n": self.news.pack_change(now, service)}
            zones = sorted({row[1] for row in self.peers.roster})
            homes = {home(service, zone, self.peers.doors(zone=zone)) for zone in zones}
            for ip in sorted({*self.peers.others(), *(h for h in homes if h is not None)} - {me}):
                deeds.append(Send(ip, message))
            deeds += self.tell_zone(service, message)
        return deeds

    def take(self, now: float, packed: list[Any]) -> list[Deed]:
        """A table, or a change of one, that another door told; where it cannot be taken, the table is asked for."""
        service, version = packed[:2]
        if not self.news.take(now, packed):
            core = self.peers.others()[:1] if self.news.newer({service: version}) else []
            return [Send(ip, ask_for(service)) for ip in core]
        return [Changed(f"service:{service}"), *self.tell_zone(service, {"k": "news", "n": packed})]

    def tell_zone(self, service: str, message: Message) -> list[Deed]:
        """The home door tells the others of its zone."""
        me = self.peers.me
        doors = self.peers.doors(zone=me.zone)
        if home(service, me.zone, doors) != me.ip:
            return []
        return [Send(ip, message) for ip in doors if ip != me.ip]

    def dance(self, now: float, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> list[Deed]:
        """Tell other doors where this door's requests are; `heard` is what they told."""
        return self.teller.tell(now, outs, heard)
