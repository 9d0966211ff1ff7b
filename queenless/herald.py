"""How news of servers goes round: the list's holder, home doors, their zones; and where each door's requests are."""

from __future__ import annotations

from typing import Any

from queenless.deeds import Changed, Deed, Send
from swarm.peers import Peers
from waggle.news import News, Server, home

ZONE_DANCE = 0.04  # seconds between two tellings of where requests are, in the zone, where bytes are free,
REGION_DANCE = 0.2  # and in the region, a part of a request's time
STILL = 0.4  # seconds after which it is told again where nothing has changed


class Herald:
    def __init__(self, peers: Peers) -> None:
        self.peers, self.news = peers, News()
        self.danced: dict[str, tuple[float, dict[str, int]]] = {}  # what was told last, and when, by door

    def listed(self, now: float, wall_ms: int, found: dict[str, dict[str, Server]]) -> list[Deed]:
        """A list has come: what is news goes to the core, and to the home door of each service and zone."""
        deeds: list[Deed] = []
        me = self.peers.me.ip
        for service in self.news.listed(now, wall_ms, found):
            deeds.append(Changed(f"service:{service}"))
            packed = self.news.pack(now, service)
            zones = sorted({row[1] for row in self.peers.roster})
            homes = {home(service, zone, self.peers.doors(zone=zone)) for zone in zones}
            for ip in sorted({*self.peers.others(), *(h for h in homes if h is not None)} - {me}):
                deeds.append(Send(ip, {"k": "news", "n": packed}))
            deeds += self.tell_zone(service, packed)
        return deeds

    def take(self, now: float, packed: list[Any]) -> list[Deed]:
        """A table that another door told."""
        if not self.news.take(now, packed):
            return []
        return [Changed(f"service:{packed[0]}"), *self.tell_zone(packed[0], packed)]

    def tell_zone(self, service: str, packed: list[Any]) -> list[Deed]:
        """The home door tells the others of its zone."""
        me = self.peers.me
        doors = self.peers.doors(zone=me.zone)
        if home(service, me.zone, doors) != me.ip:
            return []
        return [Send(ip, {"k": "news", "n": packed}) for ip in doors if ip != me.ip]

    def dance(self, now: float, outs: dict[str, int]) -> list[Deed]:
        """Tell the doors of the zone, and less often those of the region, where this door's requests are."""
        deeds: list[Deed] = []
        me = self.peers.me
        for row in self.peers.roster:
            ip, zone, region = row[:3]
            if ip == me.ip or region != me.region:
                continue
            at, told = self.danced.get(ip, (-1e9, {}))
            least = ZONE_DANCE if zone == me.zone else REGION_DANCE
            if now - at >= (least if outs != told else STILL):
                self.danced[ip] = (now, outs)
                deeds.append(Send(ip, {"k": "dance", "o": outs}))
        return deeds
