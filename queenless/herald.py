"""How news of servers goes round: the list's holder, home doors, their zones; and where each door's requests are."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from queenless.deeds import Changed, Deed, Message, Send
from swarm.peers import Peers
from swarm.rendezvous import owner
from waggle.news import News, Server, home

ZONE_DANCE = 0.04  # seconds between two tellings of where requests are, in the zone, where bytes are free,
REGION_DANCE = 0.2  # and in the region, a part of a request's time
STILL = 0.4  # seconds after which it is told again where nothing has changed
MOST_NAMES = 64  # servers in a telling, the busiest, so that it fits a datagram

Outs = dict[str, int]  # requests by server
NOTHING: tuple[float, Outs] = (-1e9, {})


def ask_for(service: str) -> Message:
    """The message that asks another door for its table of a service."""
    return {"k": "ask", "s": service}


class Herald:
    def __init__(self, peers: Peers) -> None:
        self.peers, self.news = peers, News()
        self.danced: dict[str, tuple[float, Outs]] = {}  # what was told last, and when, by door
        self.around: list[list[Any]] = []  # the roster that these are of:
        self.beside: list[str] = []  # the other doors of the zone,
        self.beyond: list[str] = []  # and those of the region's other zones that are this door's to tell

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
        """Tell the doors of the zone where this door's requests are; and those of the region that are this door's
        to tell where the zone's are, `heard` being what its doors told, so that each hears of a zone from one."""
        self.look_around()
        deeds = self.tell(now, self.beside, ZONE_DANCE, outs)
        if self.beyond:
            deeds += self.tell(now, self.beyond, REGION_DANCE, self.of_zone(outs, heard))
        return deeds

    def look_around(self) -> None:
        """Whom this door tells, worked out anew with each roster."""
        if self.around is self.peers.roster:
            return
        self.around, me = self.peers.roster, self.peers.me
        region = [row[:2] for row in self.around if row[2] == me.region and row[0] != me.ip]
        self.beside = [ip for ip, zone in region if zone == me.zone]
        tellers = [*self.beside, me.ip]
        self.beyond = [ip for ip, zone in region if zone != me.zone and owner(ip, tellers) == me.ip]
        self.danced = {ip: self.danced[ip] for ip in [*self.beside, *self.beyond] if ip in self.danced}

    def of_zone(self, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> Outs:
        """Where the requests of the zone's doors are."""
        total = dict(outs)
        for ip in self.beside:
            for name, out in heard[ip][1].items() if ip in heard else ():
                total[name] = total.get(name, 0) + out
        return total

    def tell(self, now: float, doors: list[str], least: float, outs: Outs) -> list[Deed]:
        if len(outs) > MOST_NAMES:
            outs = dict(sorted(outs.items(), key=lambda item: -item[1])[:MOST_NAMES])
        deeds: list[Deed] = []
        message = {"k": "dance", "o": outs}
        for ip in doors:
            at, told = self.danced.get(ip, NOTHING)
            if (outs or told) and now - at >= (least if outs != told else STILL):
                self.danced[ip] = (now, outs)
                deeds.append(Send(ip, message))
        return deeds
