"""What one door knows of others: who answers, since when, what each has told, and who the core is."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelspring.consensus.control_state import Member
from hazelspring.membership.roster import Roster

TERM = 2.0  # seconds of a grant of a duty: five beats of the core
SILENT = 1.3  # seconds without an answer after which a door counts as away: three beats lost and a round trip
GONE = 1.5  # seconds after which it leaves the roster, as the beats inside a region come,
FAR_GONE = 6.0  # and as those between regions do
EARLY = 0.001  # seconds by which the roster is looked at before one could leave it: sums of times are rounded


@dataclass(slots=True, frozen=True)
class About:
    """A door: address, place, the number of its disk (0: it has none), and its life, drawn anew at each start."""

    ip: str
    zone: str
    region: str
    disk: int
    life: int

    def row(self) -> list[Any]:
        return [self.ip, self.zone, self.region, self.disk, self.life]

    def who(self) -> tuple[str, int]:
        """The address and the life: who promises of duties are given to."""
        return self.ip, self.life


@dataclass(slots=True)
class Peer:
    """What another door told of itself."""

    about: About
    heard_at: float = -1e9  # when it was last heard
    asked_at: float = -1e9  # when the last beat was sent that it has answered
    clean_at: float = -1e9  # the same, of the last one whose answer told nothing above what was in force here
    sent_at: float = -1e9  # when the last beat went to it
    counts_on: list[int] | None = None  # duties for which it counts on a promise of this door's last life
    knows_me: bool = False  # it need not be told again who this door is
    state_sum: int = 0  # of what it told of itself
    held: tuple[int, int] | None = None  # the version in force there, and the one that may be (-1: none)
    silent: frozenset[str] = frozenset()  # members that it takes for silent
    leaving: bool = False  # it takes no duty any more
    declines: frozenset[int] = frozenset()  # duties that it could not do of late and leaves to others
    list_read_at: float = -1e9  # all that the platform's list showed until then it knew, as it told last
    table_versions: dict[str, int] = field(default_factory=dict)
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
        self.seated = False  # the members of the core are agreed on, and not those met by chance,
        self.seats: tuple[Member, ...] = ()  # and these they are
        self.near: list[str] | None = None  # the others of the core in their order, and the core's sum, until
        self.sum: int | None = None  # either changes
        self.peers: dict[str, Peer] = {}
        self.rows: dict[str, Row] = {}  # a core door's own roster, from the beats it gets,
        self.touched: set[str] = set()  # whose rows may have changed since it was made,
        self.look_at = -1e9  # and before when none can have been silent for too long
        self.directory = Roster()  # as last heard or made
        self.made = False  # it was made here, of all rows but those that were touched since
        # ever in a roster, here or at a node that told: what nodes share evenly goes by it
        self.most_doors = 0

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

    def meet(self, now: float, about: About) -> None:
        """A door that was named.  Before the core is agreed on, all that have a disk are asked who it is."""
        known = self.core.get(about.ip)
        if not about.disk or (known is None and self.seated):
            return
        if known is None or known.life < about.life:
            self.core[about.ip] = about
            self.near = self.sum = None
        if known is None:
            self.grown_at = now

    def seat(self, members: tuple[Member, ...]) -> None:
        """The core is agreed on: its members, whose lives are learnt as they are met."""
        self.seated, self.seats = True, members
        known = dict(self.core.items())
        known |= {ip: peer.about for ip, peer in self.peers.items()}
        self.core = {}
        for member in members:
            about = known.get(member.ip) or (row.about if (row := self.rows.get(member.ip)) else None)
            if member.ip == self.me.ip:
                about = self.me
            self.core[member.ip] = about or About(member.ip, member.zone, member.region, member.disk, 0)
        self.near = self.sum = None

    def core_sum(self) -> int:
        """What two doors compare to see whether they know the same core."""
        if self.sum is None:
            told = " ".join(f"{m.ip}/{m.disk}" for m in self.seats or self.met())
            self.sum = zlib.crc32(told.encode())
        return self.sum

    def met(self) -> list[Member]:
        """Doors with a disk that were met, in a settled order."""
        return sorted(Member(a.ip, a.zone, a.region, a.disk) for a in self.core.values() if a.disk)

    def sits(self, ip: str) -> bool:
        """Whether the disk that is at an address now holds its seat in the core."""
        if not self.seated:
            return True
        peer = self.peers.get(ip)
        disk = self.me.disk if ip == self.me.ip else peer.about.disk if peer is not None else 0
        return any(member.ip == ip and member.disk == disk for member in self.seats)

    def others(self) -> list[str]:
        """The core without this door, the near ones first; a list that is replaced and never changed."""
        if self.near is None:
            self.near = self.near_first(about for ip, about in self.core.items() if ip != self.me.ip)
        return self.near

    def near_first(self, abouts: Iterable[About]) -> list[str]:
        me = self.me
        far = {a.ip: (a.zone != me.zone) + (a.region != me.region) for a in abouts}
        return sorted(far, key=lambda ip: (far[ip], ip))

    def others_where(self, has: Callable[[Peer], bool]) -> list[str]:
        """Of the core without this door those that were heard and are so, the near ones first."""
        return [ip for ip in self.others() if ip in self.peers and has(self.peers[ip])]

    def alive(self, now: float, ip: str) -> bool:
        peer = self.peers.get(ip)
        return ip == self.me.ip or (peer is not None and now - peer.heard_at < SILENT)

    def answers(self, now: float, member: Member) -> bool:
        """Whether a member has answered of late from the disk that holds its seat."""
        return self.at(member) is not None and now - self.heard_at(member.ip) < SILENT

    def at(self, member: Member) -> Peer | None:
        """Another door that was heard, from the disk that holds this seat; anyone there for a seat of the founding."""
        peer = self.peers.get(member.ip)
        return peer if peer is not None and member.disk in (0, peer.about.disk) else None

    def leaving(self, ip: str) -> bool:
        peer = self.peers.get(ip)
        return peer is not None and peer.leaving

    def voices(self, members: Iterable[Member], version: int) -> list[float]:
        """Of each member, this door aside, from the disk that is seated: when the last beat was sent to whose answer it
        told nothing above a version.  One that tells of a newer one now still spoke for the time before."""
        found = []
        for member in members:
            peer = self.at(member)
            if peer is not None and peer.held is not None:
                found.append(peer.asked_at if max(peer.held) <= version else peer.clean_at)
        return found

    def holding_above(self, version: int) -> list[str]:
        """Doors that told of a newer state in force, the near ones first."""
        return self.near_first(
            peer.about for peer in self.peers.values() if peer.held is not None and peer.held[0] > version
        )

    def heard_at(self, ip: str) -> float:
        peer = self.peers.get(ip)
        return peer.heard_at if peer is not None else -1e9

    @property
    def roster(self) -> list[list[Any]]:
        """Rows of the doors there are: about, ready.  The list is replaced and never changed."""
        return self.directory.rows

    @property
    def roster_sum(self) -> int:
        return self.directory.sum

    def note(self, now: float, about: About, ready: bool) -> None:
        """A beat has come: a row of the roster."""
        known = self.rows.get(about.ip)
        if known is None or known.ready != ready or known.about != about:
            self.touched.add(about.ip)
            self.look_at = min(self.look_at, now + self.patience(about) - EARLY)
        self.rows[about.ip] = Row(about, ready, now)

    def patience(self, about: About) -> float:
        """Seconds of silence after which a door leaves the roster."""
        return GONE if about.region == self.me.region or about.disk else FAR_GONE

    def forget(self, now: float) -> None:
        """Rows of doors that were silent for too long go; until the first that could be next, none is looked at."""
        if now <= self.look_at:
            return
        gone = [ip for ip, row in self.rows.items() if now - row.heard_at > self.patience(row.about)]
        for ip in gone:
            del self.rows[ip]
        self.touched.update(gone)
        ends = (row.heard_at + self.patience(row.about) for row in self.rows.values())
        self.look_at = min(ends, default=now) - EARLY

    def make_roster(self, now: float) -> None:
        """The roster of those heard of late."""
        self.forget(now)
        if not self.made:
            self.touched, self.made = set(self.rows) | {row[0] for row in self.roster}, True
        if not self.touched:
            return
        rows = {ip: self.rows.get(ip) for ip in sorted(self.touched)}
        self.touched = set()
        gone = [ip for ip, row in rows.items() if row is None]
        self.directory.change(gone, [[*row.about.row(), row.ready] for row in rows.values() if row])
        self.most_doors = max(self.most_doors, len(self.roster))

    def take_roster(self, rows: list[list[Any]]) -> None:
        """The whole roster, as a core door told it."""
        self.directory.take(rows)
        self.made = False
        self.most_doors = max(self.most_doors, len(rows))

    def follow_roster(self, change: list[Any]) -> None:
        """What changed in the roster, as a core door told it."""
        self.directory.follow(change)
        self.made = False
        self.most_doors = max(self.most_doors, len(self.roster))

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
