"""The rules, as pure functions over what the stand-ins saw.  Nothing that a front door says counts here."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from hazelspring.lab.day import Day
from hazelspring.lab.models.alertserver import ServerSpec
from hazelspring.lab.models.customers import CLASSES, Arrivals
from hazelspring.lab.plan import (
    DEDUP_SPAN,
    GRACE,
    MAX_ATTEMPTS,
    MOST_WAIT,
    SLACK,
    Happening,
    arrivals_of,
    happenings,
    servers_of,
)
from hazelspring.lab.record import Arrival, Note, Rude, Sample, Try, read

RUDE_TIME = 3.0  # seconds in which a peer that sends no request is owed an error or a close
CRASH = 0.5  # seconds after a kill in which what breaks is put down to it
MOST_SHOWN = 50  # breaches of one rule
REFUSED = (429, 503)
RAN = ("begun", "dropped")  # verdicts after which a request may have had its effect


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule broken: by which request or party, when, and how."""

    rule: str
    who: str
    at: float
    how: str


@dataclass(slots=True)
class Seen:
    """All records of a play, and what they are judged against."""

    day: Day
    seed: int
    work: Arrivals
    specs: list[ServerSpec]
    happened: list[Happening]
    tries: list[Try]
    arrivals: list[Arrival]
    rudes: list[Rude]
    notes: list[Note]
    samples: list[Sample]

    @classmethod
    def load(cls, day: Day, seed: int, folder: Path) -> Seen:
        return cls(
            day, seed, arrivals_of(day, seed), servers_of(day, seed), happenings(day, seed),
            sorted(read(folder, Try), key=lambda t: (t.due, t.id)),
            sorted(read(folder, Arrival), key=lambda a: (a.whole, a.id)),
            list(read(folder, Rude)),
            sorted(read(folder, Note), key=lambda n: n.at),
            list(read(folder, Sample)),
        )  # fmt: skip

    def noted(self, what: str) -> list[Note]:
        return [note for note in self.notes if note.what == what]

    def value(self, what: str, absent: float = 0.0) -> float:
        return next((note.value for note in reversed(self.notes) if note.what == what), absent)

    def by_request(self) -> dict[str, list[Arrival]]:
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.id].append(arrival)
        return found

    def died(self, door: int, at: float) -> bool:
        """Whether that front door was killed, or had its time up, just before."""
        name = f"n{door}"
        return any(
            note.who == name and note.what in ("killed", "overdue", "new one killed", "crashed")
            and note.at - 0.05 <= at <= note.at + CRASH
            for note in self.notes
        )  # fmt: skip


def answered(seen: Seen) -> Iterator[Breach]:
    """Each request that a front door took gets one whole answer."""
    sent_on = seen.by_request()
    for job in seen.tries:
        if not job.sent or job.how in ("answer", "refused"):
            continue
        if job.how == "broken" and seen.died(job.door, job.ended):
            continue
        if job.how == "broken" and job.id not in sent_on:
            continue  # its connection was closed with nothing sent on: it has failed
        if job.how == "silent" and killed_since(seen, job):
            continue
        yield Breach("answered", job.id, job.ended, f"front door {job.door}: {job.how}, no whole answer")


def killed_since(seen: Seen, job: Try) -> bool:
    name = f"n{job.door}"
    return any(n.who == name and n.what == "killed" and job.left <= n.at <= job.ended for n in seen.notes)


def bodies(seen: Seen) -> Iterator[Breach]:
    """What is served is what an alert server made for this request."""
    for job in seen.tries:
        if job.status == 200 and not job.own:
            yield Breach(
                "bodies", job.id, job.ended, f"front door {job.door} served what no alert server gave"
            )


def unsent(seen: Seen) -> Iterator[Breach]:
    """Nothing reaches an alert server that no client sent."""
    for arrival in seen.arrivals:
        if arrival.verdict == "unknown":
            yield Breach("unsent", arrival.id, arrival.whole, f"alert server {arrival.server} got it")


def repeats(seen: Seen) -> Iterator[Breach]:
    """A request is sent again only as its class permits, and so often at most."""
    tries = {job.id: job for job in seen.tries}
    for found, arrivals in seen.by_request().items():
        job = tries.get(found)
        if job is None or arrivals[0].verdict == "unknown":
            continue
        most = MAX_ATTEMPTS * (2 if job.resent else 1)
        if len(arrivals) > most:
            yield Breach("repeats", found, arrivals[-1].whole, f"sent {len(arrivals)} times, {most} at most")
        ran = [a for a in arrivals if a.verdict in RAN]
        if not CLASSES[int(seen.work.cls[job.request])].keyed or len(ran) < 2 or job.resent:
            continue
        first = ran[0]
        for later in ran[1:]:
            rack = seen.specs[later.server].rack
            if rack != seen.specs[first.server].rack or later.began > first.whole + DEDUP_SPAN + SLACK:
                yield Breach(
                    "repeats", found, later.whole, f"may have run at {first.server} and {later.server}"
                )


def barred(seen: Seen) -> dict[tuple[str, int], list[tuple[float, bool]]]:
    """By alert server and front door: when the latter learned that nothing may go there, and when again."""
    found: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    for note in seen.notes:
        if note.what.startswith("told "):
            name, door = note.who.split()
            found[name, int(door)].append((note.at, note.what != "told Ready"))
    return found


def drained(seen: Seen) -> Iterator[Breach]:
    """Nothing new goes to what drains, is gone or is out by hand, once the grace is over."""
    told = barred(seen)
    bans: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    for note in seen.notes:
        if note.what in ("banned", "called back"):
            name, door = note.who.split()
            bans[name, int(door)].append((note.at, note.what == "banned"))
    for arrival in seen.arrivals:
        pair = seen.specs[arrival.server].name, arrival.door
        for why, spells in (("told so", told.get(pair)), ("out by hand", bans.get(pair))):
            if not spells:
                continue
            # A front door that has started since goes by its own list, which its start told it.
            place = bisect.bisect_right(spells, (arrival.began - GRACE - SLACK, True)) - 1
            if place >= 0 and spells[place][1]:
                until = spells[place + 1][0] if place + 1 < len(spells) else float("inf")
                if arrival.began < until:
                    how = f"front door {arrival.door} sent it to {pair[0]}, {why} at {spells[place][0]:.3f}"
                    yield Breach("drained", arrival.id, arrival.began, how)


def cold(seen: Seen) -> Iterator[Breach]:
    """The front doors together do not push a cold alert server over."""
    for note in seen.noted("fell over"):
        yield Breach("cold", f"alert server {note.who.split()[0]}", note.at, "fell over while cold")


def let_in(seen: Seen) -> tuple[float, float, dict[int, float]]:
    """Units that were let in, those of them beyond the quotas, and the latter by customer."""
    first = {a.id: a for a in reversed(seen.arrivals) if a.verdict != "unknown"}
    stores: dict[int, tuple[float, float]] = {}
    beyond: dict[int, float] = defaultdict(float)
    total = 0.0
    for arrival in sorted(first.values(), key=lambda a: a.whole):
        customer = int(seen.work.customer[int(arrival.id[:8], 16)])
        tariff = seen.work.tariffs[seen.work.customers[customer].tariff]
        held, at = stores.get(customer, (tariff.units, arrival.whole))
        held = min(tariff.units, held + (arrival.whole - at) * tariff.rate)
        total += 1
        if held >= 1:
            held -= 1
        else:
            beyond[customer] += 1
        stores[customer] = held, arrival.whole
    return total, sum(beyond.values()), beyond


def quotas(seen: Seen) -> Iterator[Breach]:
    """What is let in beyond the quotas stays below the day's bound."""
    total, beyond, by_customer = let_in(seen)
    if total and beyond / total > seen.day.allow.beyond_quota:
        worst = max(by_customer, key=lambda c: by_customer[c])
        how = f"{beyond / total:.3f} of the units let in, {seen.day.allow.beyond_quota} at most"
        yield Breach("quotas", f"customer {worst}", seen.value("length"), how)


def refusals(seen: Seen) -> Iterator[Breach]:
    """What is given up unsent is answered at once, and a refusal says when to come back."""
    sent_on = seen.by_request()
    for job in seen.tries:
        if job.how != "answer" or job.status == 200:
            continue
        wait, spent = float(seen.work.wait[job.request]) / 1e3, job.ended - job.sent
        keyed = CLASSES[int(seen.work.cls[job.request])].keyed  # the others may be refused at will
        if job.id not in sent_on and spent > wait / 2 + SLACK:
            yield Breach(
                "refusals", job.id, job.ended, f"held back for {spent:.3f} s of {wait:.3f}, not sent on"
            )
        elif job.status in REFUSED and not 0 < job.advice <= MOST_WAIT:
            yield Breach("refusals", job.id, job.ended, f"{job.status} with Retry-After {job.advice:g}")
        elif keyed and job.status in REFUSED and any(a.verdict in RAN for a in sent_on.get(job.id, ())):
            yield Breach("refusals", job.id, job.ended, f"{job.status}, though it may have run")


def rude(seen: Seen) -> Iterator[Breach]:
    """Who sends no proper request gets an error, or a close in time."""
    for peer in seen.rudes:
        if peer.status == 0 and peer.spent <= RUDE_TIME + SLACK:
            continue
        if 400 <= peer.status < 600 and peer.spent <= RUDE_TIME + SLACK:
            continue
        if seen.died(peer.door, peer.at + peer.spent):
            continue
        how = f"front door {peer.door}: {peer.kind}: status {peer.status} after {peer.spent:.2f} s"
        yield Breach("rude", f"front door {peer.door}", peer.at, how)


def limits(seen: Seen) -> Iterator[Breach]:
    """Memory, descriptors and log stay within what there is."""
    for sample in seen.samples:
        over = []
        if sample.memory_kb > seen.day.memory_mb * 1024:
            over.append(f"{sample.memory_kb} kB")
        if sample.descriptors > seen.day.sockets:
            over.append(f"{sample.descriptors} descriptors")
        if over:
            yield Breach("limits", f"front door {sample.door}", sample.at, " and ".join(over))
    for note in seen.noted("log"):
        if note.value > seen.day.allow.log_kb * 1024:
            yield Breach("limits", f"front door {note.who[1:]}", note.at, f"{note.value:.0f} bytes of log")


def alive(seen: Seen) -> Iterator[Breach]:
    """A front door gets ready in time, does not end unasked, and ends well."""
    for note in seen.notes:
        if note.what in ("crashed", "never ready", "ended badly", "overdue"):
            how = f"{note.what}{f', status {note.value:.0f}' if note.value else ''}"
            yield Breach("alive", f"front door {note.who[1:]}", note.at, how)


def calls(seen: Seen) -> Iterator[Breach]:
    """An operator's call is answered with yes, within a second."""
    for note in seen.notes:
        if note.what.startswith("call "):
            yield Breach(
                "calls", f"front door {note.who[1:]}", note.at, f"{note.what} after {note.value:.2f} s"
            )


RULES: dict[str, Callable[[Seen], Iterator[Breach]]] = {
    rule.__name__: rule
    for rule in (
        answered, bodies, unsent, repeats, drained, cold, quotas, refusals, rude, limits, alive, calls,
    )
}  # fmt: skip


def judge(seen: Seen) -> dict[str, list[Breach]]:
    """The breaches of each rule."""
    return {name: list(rule(seen)) for name, rule in RULES.items()}
