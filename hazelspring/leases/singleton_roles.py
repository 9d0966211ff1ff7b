"""Duties that one door does: a lease that a majority of the core granted, and an end before it lapses."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from hazelspring.consensus.control_state import majority
from hazelspring.membership.peer_table import TERM, Peers
from hazelspring.membership.rendezvous import owner

SHORT = 0.9  # part of it that a holder relies on, as steady clocks may differ in speed,
# seconds for which a node leaves a duty that it could not do to others: some ten times what a try takes
DECLINED = 10.0
MARGIN = 0.1  # and seconds less, for what lies between a look at the clock and the deed

Who = tuple[str, int]  # address and life


@dataclass(slots=True)
class Grant:
    """`asked` is when it was asked for, by the asker's clock; None where it was recalled, until it is asked anew."""

    who: Who
    until: float
    asked: float | None = None


class Granter:
    """A core door's promises.  They die with the process, so a new life promises nothing for a term, or until all
    other core doors have told which promises of the last life they still count on."""

    def __init__(self, now: float, first: bool) -> None:
        self.silent_until = now if first else now + TERM
        self.grants: dict[str, Grant] = {}

    def ask(self, now: float, duty: str, who: Who, asked: float) -> bool:
        """Whether the duty is this asker's for a term from now on; `asked` by its clock."""
        grant = self.grants.get(duty)
        if now < self.silent_until:
            return False
        if grant is not None and grant.who != who and now < grant.until:
            return False
        known = grant.asked if grant is not None and grant.who == who else None
        self.grants[duty] = Grant(who, now + TERM, asked if known is None else max(asked, known))
        return True

    def unasked(self, who: Who, wants: list[int], asked: float) -> None:
        """What an asker has no more in its beat it counts on no more: these promises end, a late beat ends none."""
        for duty, grant in list(self.grants.items()):
            if (
                grant.who == who
                and int(duty) not in wants
                and grant.asked is not None
                and grant.asked < asked
            ):
                del self.grants[duty]

    def recall(self, now: float, told: dict[Who, list[int]]) -> None:
        """All other core doors have told what they count on: that is promised again, and silence ends."""
        if now >= self.silent_until:
            return
        self.silent_until = now
        for who, duties in told.items():
            for duty in duties:
                self.grants[str(duty)] = Grant(who, now + TERM)

    def release(self, duty: str, who: Who) -> None:
        grant = self.grants.get(duty)
        if grant is not None and grant.who == who:
            del self.grants[duty]

    def holders(self, now: float) -> dict[str, str]:
        """Who holds what, as far as this door granted it."""
        return {duty: grant.who[0] for duty, grant in self.grants.items() if now < grant.until}


@dataclass(slots=True)
class Hold:
    """A duty as one candidate sees it: since when it has asked in every beat, when it asked each core door that
    said yes, and which life of it did."""

    since: float | None = None
    yes: dict[str, tuple[float, int]] = field(default_factory=dict)

    def counts_on(self, now: float, who: Who) -> bool:
        """Whether a promise of an earlier life of that door still counts."""
        asked, life = self.yes.get(who[0], (-1e9, who[1]))
        return life != who[1] and now < asked + TERM

    def until(self, core: Collection[str]) -> float:
        """When the grants of a majority of the core end for the holder; in the past where there is none."""
        asked = sorted((asked for ip, (asked, _) in self.yes.items() if ip in core), reverse=True)
        needed = majority(len(core))
        if len(asked) < needed:
            return 0.0
        return asked[needed - 1] + TERM * SHORT - MARGIN


class Duties:
    """All duties, by number, as one door of the core sees them; others ask it for holders only."""

    def __init__(self, peers: Peers, now: float, first: bool, count: int) -> None:
        self.peers, self.count = peers, count
        self.granter = Granter(now, first)
        self.holds: dict[int, Hold] = {}
        self.not_before = -1e9  # what was asked before this counts for nothing: see `moved`
        self.first, self.moved_at, self.largest = first, now, 0
        # when a new life was told what is counted on, and which life
        self.disowned: dict[str, tuple[float, int]] = {}
        self.asking: list[int] = []  # what the last beat asked for
        # duties that this node could not do, and until when others are to
        self.declined: dict[int, float] = {}
        self.left = False

    def me(self) -> Who:
        return self.peers.me.ip, self.peers.me.life

    def until(self, duty: int) -> float:
        """Until when this door may do a duty; in the past where it may not."""
        hold = self.holds.get(duty)
        return hold.until(self.peers.core) if hold is not None else 0.0

    def words(self, now: float) -> list[dict[str, str]]:
        """What those of the core that answer say of who holds what."""
        peers = ((ip, self.peers.peers.get(ip)) for ip in self.peers.core)
        return [peer.holders for ip, peer in peers if peer is not None and self.peers.alive(now, ip)]

    def holder(self, now: float, duty: int, words: list[dict[str, str]] | None = None) -> str | None:
        """Who holds a duty, as the core tells; the one of whom most say so."""
        if self.until(duty) > now:
            return self.peers.me.ip
        says: dict[str, int] = {}
        for holders in self.words(now) if words is None else words:
            who = holders.get(str(duty))
            if who is not None and who != self.peers.me.ip:
                says[who] = says.get(who, 0) + 1
        return max(says, key=lambda who: (says[who], who)) if says else None

    def told(self, now: float) -> dict[str, str]:
        """Whom this door names as holders: those it granted to, itself only while a majority has granted."""
        me = self.peers.me.ip
        return {
            d: who for d, who in self.granter.holders(now).items() if who != me or self.until(int(d)) > now
        }

    def wanted(self, now: float) -> list[int]:
        """Duties that this door does, or would do: those without a holder that is alive, if it is first in line."""
        if self.left or not self.peers.me.disk:
            return []
        alive = [ip for ip in self.peers.core if self.may_hold(now, ip)]
        enough = len(alive) > len(self.peers.core) // 2  # with fewer, who is first in line is not known
        found, words = [], self.words(now)
        for duty in range(self.count):
            holder = self.holder(now, duty, words)
            if holder == self.peers.me.ip:
                found.append(duty)
                continue
            free = holder is None or not self.peers.alive(now, holder) or self.declines(now, holder, duty)
            if free and enough and owner(f"duty {duty}", self.willing(now, duty, alive)) == self.peers.me.ip:
                found.append(duty)
        return found

    def declines(self, now: float, ip: str, duty: int) -> bool:
        """Whether a door of the core has said that it can't do a duty just now."""
        if ip == self.peers.me.ip:
            return now < self.declined.get(duty, now)
        peer = self.peers.peers.get(ip)
        return peer is not None and duty in peer.declines

    def willing(self, now: float, duty: int, candidates: list[str]) -> list[str]:
        """Of these doors those that don't decline a duty; all where each of them does."""
        return [ip for ip in candidates if not self.declines(now, ip, duty)] or candidates

    def others_willing(self, now: float, duty: int) -> bool:
        """Whether another door could take a duty and doesn't decline it."""
        others = self.peers.others()
        return any(self.may_hold(now, ip) and not self.declines(now, ip, duty) for ip in others)

    def decline(self, now: float, duty: int) -> None:
        """This door can't do a duty that it holds: it ceases to hold it, and others go first for a while."""
        self.declined[duty] = now + DECLINED
        self.holds.pop(duty, None)
        self.granter.release(str(duty), self.me())

    def declining(self, now: float) -> list[int]:
        """The duties that this door leaves to others."""
        return [duty for duty, until in self.declined.items() if now < until]

    def declined_by(self, who: Who, duties: list[int]) -> None:
        """Another door declines duties that it held: its promises end."""
        for duty in duties:
            self.granter.release(str(duty), who)
        peer = self.peers.peers.get(who[0])
        if peer is not None and peer.about.life == who[1]:
            peer.declines |= frozenset(duties)

    def may_hold(self, now: float, ip: str) -> bool:
        """Whether a door of the core can take a duty: it answers, its seat is its own, and it isn't leaving."""
        return self.peers.alive(now, ip) and self.peers.sits(ip) and not self.peers.leaving(ip)

    def asks(self, now: float, settled: bool) -> list[int]:
        """What a beat that goes out now asks for.  On a promise of what it leaves out this door counts no more, so
        whoever promised it is free: what two doors wanted at once is held up by a beat, not by a term."""
        wants = self.wanted(now) if settled else []
        for duty, hold in self.holds.items():
            if duty not in wants and hold.since is not None:
                hold.since = None
                hold.yes.clear()
                self.granter.release(str(duty), self.me())
        for duty in wants:
            hold = self.holds.setdefault(duty, Hold())
            if hold.since is None:
                hold.since = max(now, self.not_before)
        self.asking = wants
        return wants

    def renew(self, now: float) -> None:
        """This door's own grants for what it has asked for last."""
        for duty in self.asking:
            if self.granter.ask(now, str(duty), self.me(), now):
                self.granted(duty, self.peers.me.ip, now, self.peers.me.life)

    def granted(self, duty: int, ip: str, asked_at: float, life: int) -> None:
        """A core door's yes to a beat; one from before this door last began to ask counts for nothing, nor does that of
        an earlier life which comes after the new one was told that it isn't counted on."""
        hold = self.holds.get(duty)
        told_at, told = self.disowned.get(ip, (-1e9, life))
        if life != told and asked_at <= told_at:
            return
        if hold is not None and hold.since is not None and asked_at >= hold.since:
            hold.yes[ip] = (asked_at, life)

    def moved(self, now: float, follows: bool, before: int, members: int) -> None:
        """The core has other members, by number; `follows`: by one change from those that were known here.  A new seat
        promises nothing for a term, so a holder and who comes after it both count on seats of the first of all cores
        within the time that a holder relies on a promise: their majorities meet unless the core has shrunk too far
        since.  Then, or where that is not known, what was asked until that time has passed does not count.  At the
        first start new seats promise at once, and a second change is always waited out."""
        relied = TERM * SHORT
        recent = now - self.moved_at < relied
        # a start may hide one more change: of a core that was larger by one
        self.largest = max(self.largest or before + 1, before) if recent else before
        meet = majority(members) + majority(self.largest) > self.largest and not self.first
        if not follows or (recent and not meet):
            self.not_before = (self.moved_at if follows else now) + relied
            for hold in self.holds.values():
                hold.yes.clear()
                hold.since = None if hold.since is None else max(hold.since, self.not_before)
        self.moved_at = now

    def counts_on(self, now: float, who: Who) -> list[int]:
        """What a new life is told: the duties for which a promise of an earlier one counts here."""
        self.disowned[who[0]] = (now, who[1])
        return [duty for duty, hold in self.holds.items() if hold.counts_on(now, who)]

    def recall(self, now: float) -> None:
        """End the silence of a new life once every other core door has told what it counts on."""
        others = [self.peers.peers.get(ip) for ip in self.peers.others()]
        told = {(p.about.ip, p.about.life): p.counts_on for p in others if p is not None}
        if len(told) == len(others) and all(duties is not None for duties in told.values()):
            self.granter.recall(now, {who: duties or [] for who, duties in told.items()})

    def leave(self, now: float) -> list[int]:
        """What this door held; from now on it holds nothing, and wants nothing."""
        held = [duty for duty in range(self.count) if self.until(duty) > now]
        self.left = True
        self.holds.clear()
        self.freed(self.me(), held)
        return held

    def freed(self, who: Who, duties: list[int]) -> None:
        """A holder has left in order."""
        for duty in duties:
            self.granter.release(str(duty), who)
        for peer in self.peers.peers.values():
            peer.holders = {duty: holder for duty, holder in peer.holders.items() if holder != who[0]}
        if (left := self.peers.peers.get(who[0])) is not None and left.about.life == who[1]:
            left.leaving = True
