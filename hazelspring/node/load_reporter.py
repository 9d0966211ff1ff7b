"""Who is told where this door's requests are, of which servers and how often: within a budget of bytes a second."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hazelspring.membership.peer_table import Peers
from hazelspring.membership.rendezvous import owner, weight
from hazelspring.node.actions import Deed, Message, Send

ZONE_LEAST = 0.04  # seconds between two tellings in the zone: a tick of a door, whose time varies a little,
REGION_LEAST = 0.2  # and in the region, a part of a request's time
STILL = 0.4  # seconds after which it is told again where nothing has changed: twice before it counts no more;
STALE = STILL  # and that a round in the zone may take: later, and doors herd by what is long past (docs/system.md)
LASTS = 1.0  # seconds for which a telling counts where it was heard, as hazelspring.routing.endpoints has it
MOST_NAMES = 64  # servers in a telling, the busiest, so that it fits a datagram
CONTROL = 21_000.0  # bytes a second of a door for all control, both ways (docs/CAPACITY.md),
REST = 1_500.0  # and of it at rest
LINK_PART = 0.05  # of a door's own link that this may take, at most
LEAST_PART = 0.25  # of what is allowed that is left to this whatever else goes out
LEASE = 48  # bytes one way of a call to a tenant's counter and its answer, the mean of both
WORD, ROW = 12, 6  # bytes of a message without servers, and of each server in it
MANY_RANKS = 4096  # servers whose hearers are remembered

Outs = dict[int, int]  # requests by server's tag
NOTHING: tuple[float, Outs] = (-1e9, {})


def budget(link: float) -> float:
    """Bytes a second that a door may send of this and of its calls to counters, by its link's bytes a second."""
    return min((CONTROL - REST) / 2, LINK_PART * link)


def hearers(names: int, doors: int, room: float) -> int:
    """How many doors, of so many others in the zone, are told of each of `names` servers, so that a round takes no
    more bytes than `room`: all, where that fits; fewer as it does not; one at least."""
    if not names or not doors:
        return doors
    all_told = (room - doors * WORD) / (names * ROW)  # each door has one message,
    few_told = room / (names * (WORD + ROW))  # or each row has its own
    return max(1, min(doors, int(max(all_told, few_told))))


class Teller:
    """A door tells of each server the first doors of its zone by rendezvous: all, where the budget lets it.  As all
    doors tell the same ones of a server, these know of all requests there, however few they are.  `allowed` is the
    budget in bytes a second; calls to counters go before."""

    def __init__(self, peers: Peers, allowed: float) -> None:
        self.peers, self.allowed = peers, allowed
        self.spent, self.others = 0.0, 0.0  # bytes sent of other kinds since the last tick; a second, of late
        self.told: dict[str, tuple[float, Outs]] = {}  # what was told last, and when, by door
        self.around: list[list[Any]] = []  # the roster that these are of:
        self.beside: list[str] = []  # the other doors of the zone,
        self.beyond: list[str] = []  # and those of the region's other zones that are this door's to tell
        self.ranks: dict[int, list[str]] = {}  # the zone's others in the order in which they hear of a server
        self.purse, self.filled_at = allowed * STALE, -1e9  # bytes that may be sent now
        self.zone_at = self.region_at = -1e9
        self.pause = 0.0  # seconds between the last two rounds in the zone

    def look_around(self) -> None:
        """Whom this door tells, worked out anew with each roster."""
        if self.around is self.peers.roster:
            return
        self.around, me, before = self.peers.roster, self.peers.me, self.beside
        region = [row[:2] for row in self.around if row[2] == me.region and row[0] != me.ip]
        self.beside = [ip for ip, zone in region if zone == me.zone]
        tellers = [*self.beside, me.ip]
        self.beyond = [ip for ip, zone in region if zone != me.zone and owner(ip, tellers) == me.ip]
        self.told = {ip: self.told[ip] for ip in [*self.beside, *self.beyond] if ip in self.told}
        if self.beside != before:
            self.ranks.clear()

    def tell(self, now: float, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> list[Deed]:
        """Tell the doors of the zone where this door's requests are; and those of the region that are this door's
        to tell where the zone's are, `heard` being what its doors told, so that each hears of a zone from one.
        A round comes once the budget has made up for those before it."""
        self.look_around()
        self.refill(now)
        deeds: list[Deed] = []
        rounds = [(self.zone_at, ZONE_LEAST, True), (self.region_at, max(REGION_LEAST, self.pause), False)]
        for at, least, zone in sorted(rounds):  # whichever has waited longer goes first
            if self.purse < 0 or now - at < least:
                continue
            if zone:
                self.pause, self.zone_at = min(LASTS, now - at), now
                deeds += self.tell_zone(now, busiest(outs, MOST_NAMES))
            elif self.beyond and (
                told := self.tell_region(now, outs, heard)
            ):  # what is new next goes at once
                self.region_at = now
                deeds += told
        return deeds

    def spend(self, size: float) -> None:
        """Bytes of other kinds have been sent that the budget is for."""
        self.spent += size

    def refill(self, now: float) -> None:
        gone = now - self.filled_at
        if gone > 0:
            gained = max(LEAST_PART * self.allowed * gone, self.allowed * gone - self.spent)
            self.others += (self.spent / gone - self.others) * min(1.0, gone / LASTS)
            self.spent, self.filled_at = 0.0, now
            self.purse = min(self.rate() * STALE, self.purse + gained)

    def rate(self) -> float:
        """Bytes a second that this door may send, as it has been of late."""
        return max(LEAST_PART * self.allowed, self.allowed - self.others)

    def tell_zone(self, now: float, outs: Outs) -> list[Deed]:
        """One message for all where all are told of all servers; else each has its own."""
        count = hearers(len(outs), len(self.beside), self.rate() * STALE)
        if count == len(self.beside):
            message = {"k": "dance", "o": outs}
            return [deed for ip in self.beside for deed in self.send(now, ip, message)]
        rows: dict[str, Outs] = {ip: {} for ip in self.beside}
        for name, out in outs.items():
            for ip in self.rank(name)[:count]:
                rows[ip][name] = out
        return [deed for ip, row in rows.items() for deed in self.send(now, ip, {"k": "dance", "o": row})]

    def rank(self, name: int) -> list[str]:
        """The zone's other doors in the order, the same for all, in which they hear of a server."""
        found = self.ranks.get(name)
        if found is None:
            if len(self.ranks) >= MANY_RANKS:
                self.ranks.clear()
            thing = str(name)
            found = self.ranks[name] = sorted(self.beside, key=lambda ip: weight(thing, ip), reverse=True)
        return found

    def tell_region(self, now: float, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> list[Deed]:
        """As many of the zone's servers, the busiest, as fit into half of what a round in the zone may take."""
        room = self.rate() * STALE / 2 / len(self.beyond) - WORD
        total = busiest(self.of_zone(outs, heard), max(1, min(MOST_NAMES, int(room / ROW))))
        message = {"k": "dance", "o": total}
        return [deed for ip in self.beyond for deed in self.send(now, ip, message)]

    def of_zone(self, outs: Outs, heard: Mapping[str, tuple[float, Outs]]) -> Outs:
        """Where the requests of the zone's doors are, as far as they told this one."""
        total = dict(outs)
        for ip in self.beside:
            for name, out in heard[ip][1].items() if ip in heard else ():
                total[name] = total.get(name, 0) + out
        return total

    def send(self, now: float, ip: str, message: Message) -> list[Deed]:
        """Nothing where nothing is new; that nothing is out any more is told once."""
        at, told = self.told.get(ip, NOTHING)
        outs: Outs = message["o"]
        if not (outs or told) or (outs == told and now - at < STILL):
            return []
        self.told[ip] = (now, outs)
        self.purse -= WORD + ROW * len(outs)
        return [Send(ip, message)]


def busiest(outs: Outs, most: int) -> Outs:
    return outs if len(outs) <= most else dict(sorted(outs.items(), key=lambda item: -item[1])[:most])
