"""What one door knows of others: who answers, since when, what each has told, and who the core is."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from comb.copies import NEVER
from comb.word import Stamp

TERM = 2.0  # seconds of a grant of a duty: five beats of the core
SILENT = 1.3  # seconds without an answer after which a door counts as away: three beats lost and a round trip
GONE = 1.5  # seconds after which it leaves the roster, as the beats inside a region come,
FAR_GONE = 6.0  # and as those between regions do


@dataclass(slots=True, frozen=True)
class About:
    """A door: address, place, whether it has a disk, and its life, drawn anew at each start."""

    ip: str
    zone: str
    region: str
    disk: bool
    life: int

    def row(self) -> list[Any]:
        return [self.ip, self.zone, self.region, self.disk, self.life]


@dataclass(slots=True)
class Peer:
    """What another door told of itself."""

    about: About
    heard_at: float = -1e9  # when it was last heard
    asked_at: float = -1e9  # when the last beat was sent that it has answered
    sent_at: float = -1e9  # when the last beat went to it
    counts_on: list[int] | None = None  # duties for which it counts on a promise of this door's last life
    knows_me: bool = False  # it need not be told again who this door is
    state_sum: int = 0  # of what it told of itself
    voice: bool = False
    leaving: bool = False  # it takes no duty any more
    stamps: dict[str, Stamp] = field(default_factory=dict)
    news: dict[str, int] = field(default_factory=dict)
    holders: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Row:
    """A door in the roster: those that clients may be sent to, and who is home for what."""

    about: About
    ready: bool
    heard_at: float


class Peers:
    def __init__(self, me: About, now: float) -> None:
        self.me = me
        self.core: dict[str, About] = {me.ip: me} if me.disk else {}
        self.grown_at = now
        self.peers: dict[str, Peer] = {}
        self.rows: dict[str, Row] = {}  # a core door's own roster, from the beats it gets
        self.roster: list[list[Any]] = []  # as last heard or made: about, ready
        self.roster_sum = 0
        self.most_doors = (
            0  # ever in a roster, here or at a door that told: what doors share evenly goes by it
        )

    def peer(self, about: About) -> Peer:
        found = self.peers.get(about.ip)
        if found is None:
            found = self.peers[about.ip] = Peer(about)
        elif found.about != about:
            if found.about.life != about.life:  # a new life: what the old one told holds no more
                found = self.peers[about.ip] = Peer(about, sent_at=found.sent_at)
            found.about = about
        return found

    def stale(self, now: float, about: About) -> bool:
        """Whether a message is of an earlier life, late on its way.  A door whose clock was set back is believed
        once its last life was silent for a term."""
        known = self.peers.get(about.ip)
        return known is not None and about.life < known.about.life and now - known.heard_at < TERM

    def meet(self, now: float, about: About) -> bool:
        """A door that was named; whether the core has grown by it."""
        known = self.core.get(about.ip)
        if not about.disk:
            return False
        if known is None or known.life != about.life:
            self.core[about.ip] = about
        if known is None:
            self.grown_at = now
        return known is None

    def core_sum(self) -> int:
        """What two doors compare to see whether they know the same core."""
        return zlib.crc32(" ".join(sorted(self.core)).encode())

    def others(self) -> list[str]:
        """The core without this door, the near ones first."""
        me = self.me
        far = {
            ip: (a.zone != me.zone) + (a.region != me.region) for ip, a in self.core.items() if ip != me.ip
        }
        return sorted(far, key=lambda ip: (far[ip], ip))

    def others_where(self, has: Callable[[Peer], bool]) -> list[str]:
        """Of the core without this door those that were heard and are so, the near ones first."""
        return [ip for ip in self.others() if ip in self.peers and has(self.peers[ip])]

    def alive(self, now: float, ip: str) -> bool:
        peer = self.peers.get(ip)
        return ip == self.me.ip or (peer is not None and now - peer.heard_at < SILENT)

    def leaving(self, ip: str) -> bool:
        peer = self.peers.get(ip)
        return peer is not None and peer.leaving

    def voices(self, seen: dict[str, Stamp]) -> list[float]:
        """Of each voice that told nothing above the stamps: when the last beat that it answered was sent."""
        known = [self.peers[ip] for ip in self.core if ip in self.peers]
        return [
            peer.asked_at
            for peer in known
            if peer.voice and all(stamp <= seen.get(key, NEVER) for key, stamp in peer.stamps.items())
        ]

    def told(self, since: float, seen: dict[str, Stamp]) -> int:
        """Voices that answered a beat sent at `since` or later, and told nothing above the stamps."""
        return sum(asked_at >= since for asked_at in self.voices(seen))

    def note(self, now: float, about: About, ready: bool) -> None:
        """A beat has come: a row of the roster."""
        self.rows[about.ip] = Row(about, ready, now)

    def make_roster(self, now: float) -> None:
        """The roster of those heard of late, in a settled order."""
        for ip, row in list(self.rows.items()):
            near = row.about.region == self.me.region or row.about.disk
            if now - row.heard_at > (GONE if near else FAR_GONE):
                del self.rows[ip]
        rows = [[*row.about.row(), row.ready] for _, row in sorted(self.rows.items())]
        if rows != self.roster:
            self.take_roster(rows)

    def take_roster(self, rows: list[list[Any]]) -> None:
        self.roster = rows
        self.most_doors = max(self.most_doors, len(rows))
        self.roster_sum = zlib.crc32(str(rows).encode())

    def named(self, ip: str) -> list[About]:
        """What is known of who is at an address."""
        found = [self.core.get(ip), row.about if (row := self.rows.get(ip)) else None]
        found.append(peer.about if (peer := self.peers.get(ip)) else None)
        return [about for about in found if about is not None]

    def doors(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Addresses of ready doors, of a zone or of a region where one is named."""
        return [
            row[0]
            for row in self.roster
            if row[5] and (zone is None or row[1] == zone) and (region is None or row[2] == region)
        ]

    def for_clients(self, region: str) -> list[str]:
        """Doors that a client may be sent to: those of its region, so that it still has some when its zone is lost
        and with it the doors that it would ask anew; all where fewer than two are ready there."""
        found = self.doors(region=region)
        return found if len(found) > 1 else self.doors()
