"""The rules, as pure functions over the records of the simulators and of the play runner.

The rules use nothing that a gateway reports about itself.
"""

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
    MAX_RETRY_AFTER_S,
    SLACK,
    PlannedFault,
    arrivals_of,
    planned_faults,
    servers_of,
)
from hazelspring.lab.record import Arrival, AttemptRecord, HostileConnectionRecord, Note, Sample, read

HOSTILE_TIMEOUT = (
    3.0  # seconds within which a client that sends no valid request must get an error response or a close
)
CRASH_WINDOW = 0.5  # seconds after a kill in which a broken connection is attributed to the kill
REFUSED = (429, 503)  # statuses with which a gateway refuses a request
RAN = ("begun", "dropped")  # verdicts of an alert server after which a request may have taken effect


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule: the request, process or customer concerned, the time in seconds, details."""

    rule: str
    who: str
    at: float
    detail: str


@dataclass(slots=True)
class PlayRecords:
    """All records of a play, and the plan that they are checked against."""

    day: Day
    seed: int
    work: Arrivals
    specs: list[ServerSpec]
    planned_faults: list[PlannedFault]
    attempts: list[AttemptRecord]
    arrivals: list[Arrival]
    hostile_connections: list[HostileConnectionRecord]
    notes: list[Note]
    samples: list[Sample]

    @classmethod
    def load(cls, day: Day, seed: int, folder: Path) -> PlayRecords:
        """Read the records from the folder of a play, and compute its plan from the day and the seed."""
        return cls(
            day, seed, arrivals_of(day, seed), servers_of(day, seed), planned_faults(day, seed),
            sorted(read(folder, AttemptRecord), key=lambda t: (t.due, t.id)),
            sorted(read(folder, Arrival), key=lambda a: (a.received, a.id)),
            list(read(folder, HostileConnectionRecord)),
            sorted(read(folder, Note), key=lambda n: n.at),
            list(read(folder, Sample)),
        )  # fmt: skip

    def notes_of(self, what: str) -> list[Note]:
        """Return the notes of this kind, in order of time."""
        return [note for note in self.notes if note.what == what]

    def value(self, what: str, absent: float = 0.0) -> float:
        """Return the value of the last note of this kind, or `absent` if there is none."""
        return next((note.value for note in reversed(self.notes) if note.what == what), absent)

    def arrivals_by_attempt(self) -> dict[str, list[Arrival]]:
        """Return the arrivals at alert servers by the id of their attempt, each list in order of time."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.id].append(arrival)
        return found

    def died(self, gateway: int, at: float) -> bool:
        """Whether this gateway was killed, crashed or exceeded its shutdown deadline shortly before `at`."""
        name = f"n{gateway}"
        return any(
            note.who == name and note.what in ("killed", "overdue", "new one killed", "crashed")
            and note.at - 0.05 <= at <= note.at + CRASH_WINDOW
            for note in self.notes
        )  # fmt: skip


def answered(records: PlayRecords) -> Iterator[Breach]:
    """Each request that a gateway received gets one complete response."""
    forwarded = records.arrivals_by_attempt()
    for attempt in records.attempts:
        if not attempt.sent or attempt.outcome in ("answer", "refused"):
            continue
        if attempt.outcome == "broken" and records.died(attempt.door, attempt.ended):
            continue
        if attempt.outcome == "broken" and attempt.id not in forwarded:
            continue  # nothing was forwarded before the close: the request failed and cannot have run
        if attempt.outcome == "silent" and killed_during(records, attempt):
            continue
        yield Breach(
            "answered",
            attempt.id,
            attempt.ended,
            f"gateway {attempt.door} sent no complete response, outcome: {attempt.outcome}",
        )


def killed_during(records: PlayRecords, attempt: AttemptRecord) -> bool:
    """Whether a kill of the gateway falls between the start and the end of this attempt."""
    name = f"n{attempt.door}"
    return any(
        n.who == name and n.what == "killed" and attempt.started <= n.at <= attempt.ended
        for n in records.notes
    )


def bodies(records: PlayRecords) -> Iterator[Breach]:
    """Each body that is served is one that an alert server created for this request."""
    for attempt in records.attempts:
        if attempt.status == 200 and not attempt.genuine:
            yield Breach(
                "bodies",
                attempt.id,
                attempt.ended,
                f"gateway {attempt.door} served a body that no alert server created",
            )


def unsent(records: PlayRecords) -> Iterator[Breach]:
    """Each request that reaches an alert server was sent by a client."""
    for arrival in records.arrivals:
        if arrival.verdict == "unknown":
            yield Breach(
                "unsent",
                arrival.id,
                arrival.received,
                f"alert server {arrival.server} received it, but no client sent it",
            )


def repeats(records: PlayRecords) -> Iterator[Breach]:
    """A request is repeated only as its class permits, and at most `MAX_ATTEMPTS` times.

    The limit is twice that for an attempt that the client sent again on a new connection.
    """
    by_id = {attempt.id: attempt for attempt in records.attempts}
    for attempt_id, arrivals in records.arrivals_by_attempt().items():
        attempt = by_id.get(attempt_id)
        if attempt is None or arrivals[0].verdict == "unknown":
            continue
        limit = MAX_ATTEMPTS * (2 if attempt.resent else 1)
        if len(arrivals) > limit:
            yield Breach(
                "repeats",
                attempt_id,
                arrivals[-1].received,
                f"forwarded {len(arrivals)} times, limit {limit}",
            )
        ran = [a for a in arrivals if a.verdict in RAN]
        if not CLASSES[int(records.work.cls[attempt.request])].keyed or len(ran) < 2 or attempt.resent:
            continue
        first = ran[0]
        for later in ran[1:]:
            rack = records.specs[later.server].rack
            if rack != records.specs[first.server].rack or later.began > first.received + DEDUP_SPAN + SLACK:
                yield Breach(
                    "repeats",
                    attempt_id,
                    later.received,
                    f"the request may have run at alert servers {first.server} and {later.server}",
                )


def reported_changes(records: PlayRecords) -> dict[tuple[str, int], list[tuple[float, bool]]]:
    """Return, by alert server and gateway, when discovery reported each change of the server to the gateway.

    Each entry also says whether no new request may go to the server from then on.
    """
    found: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    for note in records.notes:
        if note.what.startswith("told "):
            name, gateway = note.who.split()
            found[name, int(gateway)].append((note.at, note.what != "told Ready"))
    return found


def drained(records: PlayRecords) -> Iterator[Breach]:
    """No new request goes to a server that is draining, gone or detached, once the grace period is over."""
    reported = reported_changes(records)
    bans: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    for note in records.notes:
        if note.what in ("banned", "called back"):
            name, gateway = note.who.split()
            bans[name, int(gateway)].append((note.at, note.what == "banned"))
    for arrival in records.arrivals:
        pair = records.specs[arrival.server].name, arrival.door
        for why, changes in (("reported as not ready", reported.get(pair)), ("detached", bans.get(pair))):
            if not changes:
                continue
            # A gateway that was started later uses the list that it was given at its start.
            index = bisect.bisect_right(changes, (arrival.began - GRACE - SLACK, True)) - 1
            if index >= 0 and changes[index][1]:
                until = changes[index + 1][0] if index + 1 < len(changes) else float("inf")
                if arrival.began < until:
                    detail = (
                        f"gateway {arrival.door} sent it to {pair[0]}, {why} at {changes[index][0]:.3f} s"
                    )
                    yield Breach("drained", arrival.id, arrival.began, detail)


def cold(records: PlayRecords) -> Iterator[Breach]:
    """The gateways together do not overload an alert server that is warming up so far that it fails."""
    for note in records.notes_of("fell over"):
        yield Breach(
            "cold", f"alert server {note.who.split()[0]}", note.at, "failed by overload during its warm-up"
        )


def admitted(records: PlayRecords) -> tuple[float, float, dict[int, float]]:
    """Return the admitted units, the admitted units beyond the quotas, and the latter by customer.

    Each attempt that reached an alert server counts as one unit, at its first arrival.
    """
    first = {a.id: a for a in reversed(records.arrivals) if a.verdict != "unknown"}
    buckets: dict[int, tuple[float, float]] = {}  # by customer: tokens, and the time of the last update
    beyond: dict[int, float] = defaultdict(float)
    total = 0.0
    for arrival in sorted(first.values(), key=lambda a: a.received):
        customer = int(records.work.customer[int(arrival.id[:8], 16)])
        tariff = records.work.tariffs[records.work.customers[customer].tariff]
        tokens, at = buckets.get(customer, (tariff.units, arrival.received))
        tokens = min(tariff.units, tokens + (arrival.received - at) * tariff.rate)
        total += 1
        if tokens >= 1:
            tokens -= 1
        else:
            beyond[customer] += 1
        buckets[customer] = tokens, arrival.received
    return total, sum(beyond.values()), beyond


def quotas(records: PlayRecords) -> Iterator[Breach]:
    """The share of the admitted units that is beyond the quotas is at most the day's bound."""
    total, beyond, by_customer = admitted(records)
    if total and beyond / total > records.day.allow.beyond_quota:
        worst = max(by_customer, key=lambda c: by_customer[c])
        detail = (
            f"{beyond / total:.3f} of the admitted units are beyond the quotas, "
            f"limit {records.day.allow.beyond_quota}"
        )
        yield Breach("quotas", f"customer {worst}", records.value("length"), detail)


def refusals(records: PlayRecords) -> Iterator[Breach]:
    """A request that is not forwarded is answered early, and a refusal says when to retry.

    Early means within half of the time that the client waits.  A keyed request that may have run must not be
    refused.
    """
    forwarded = records.arrivals_by_attempt()
    for attempt in records.attempts:
        if attempt.outcome != "answer" or attempt.status == 200:
            continue
        wait, spent = float(records.work.wait[attempt.request]) / 1e3, attempt.ended - attempt.sent
        keyed = CLASSES[int(records.work.cls[attempt.request])].keyed  # the others may be refused at any time
        if attempt.id not in forwarded and spent > wait / 2 + SLACK:
            yield Breach(
                "refusals",
                attempt.id,
                attempt.ended,
                f"not forwarded, and answered only after {spent:.3f} s; the client waits {wait:.3f} s",
            )
        elif attempt.status in REFUSED and not 0 < attempt.retry_after <= MAX_RETRY_AFTER_S:
            yield Breach(
                "refusals",
                attempt.id,
                attempt.ended,
                f"refused with status {attempt.status} and Retry-After {attempt.retry_after:g} s, "
                f"required: above 0, at most {MAX_RETRY_AFTER_S:g} s",
            )
        elif (
            keyed
            and attempt.status in REFUSED
            and any(a.verdict in RAN for a in forwarded.get(attempt.id, ()))
        ):
            yield Breach(
                "refusals",
                attempt.id,
                attempt.ended,
                f"refused with status {attempt.status}, though the request may have run",
            )


def rude(records: PlayRecords) -> Iterator[Breach]:
    """A client that sends no valid request gets an error response or a close within 3 s."""
    for peer in records.hostile_connections:
        if peer.status == 0 and peer.spent <= HOSTILE_TIMEOUT + SLACK:
            continue
        if 400 <= peer.status < 600 and peer.spent <= HOSTILE_TIMEOUT + SLACK:
            continue
        if records.died(peer.door, peer.at + peer.spent):
            continue
        detail = (
            f"hostile input {peer.kind}: status {peer.status} after {peer.spent:.2f} s (0: close, -1: none)"
        )
        yield Breach("rude", f"gateway {peer.door}", peer.at, detail)


def limits(records: PlayRecords) -> Iterator[Breach]:
    """Memory, descriptors and log of a gateway stay within the limits of the day."""
    for sample in records.samples:
        exceeded = []
        if sample.memory_kb > records.day.memory_mb * 1024:
            exceeded.append(f"{sample.memory_kb} kB of memory, limit {records.day.memory_mb * 1024} kB")
        if sample.descriptors > records.day.sockets:
            exceeded.append(f"{sample.descriptors} file descriptors, limit {records.day.sockets}")
        if exceeded:
            yield Breach("limits", f"gateway {sample.door}", sample.at, " and ".join(exceeded))
    for note in records.notes_of("log"):
        if note.value > records.day.allow.log_kb * 1024:
            yield Breach(
                "limits",
                f"gateway {note.who[1:]}",
                note.at,
                f"{note.value:.0f} bytes of log, limit {records.day.allow.log_kb * 1024}",
            )


def alive(records: PlayRecords) -> Iterator[Breach]:
    """A gateway is ready in time, does not exit on its own, and exits in time with status 0 when stopped."""
    for note in records.notes:
        if note.what in ("crashed", "never ready", "ended badly", "overdue"):
            detail = f"{note.what}{f', status {note.value:.0f}' if note.value else ''}"
            yield Breach("alive", f"gateway {note.who[1:]}", note.at, detail)


def calls(records: PlayRecords) -> Iterator[Breach]:
    """A management call of the operator succeeds within a second."""
    for note in records.notes:
        if note.what.startswith("call "):
            yield Breach("calls", f"gateway {note.who[1:]}", note.at, f"{note.what} after {note.value:.2f} s")


RULES: dict[str, Callable[[PlayRecords], Iterator[Breach]]] = {
    rule.__name__: rule
    for rule in (
        answered, bodies, unsent, repeats, drained, cold, quotas, refusals, rude, limits, alive, calls,
    )
}  # fmt: skip


def judge(records: PlayRecords) -> dict[str, list[Breach]]:
    """Apply all rules; return the breaches by the name of the rule."""
    return {name: list(rule(records)) for name, rule in RULES.items()}
