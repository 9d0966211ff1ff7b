"""Owns what is known of alert servers, each and all: list, bans, warmth, latency, errors, reports."""

from __future__ import annotations

import math

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome, State
from hazelspring.admission.policy.records import FIRST_LATENCY, Backend, Job
from hazelspring.admission.policy.turn import (
    EJECT,
    EPS,
    FORGET,
    NEWEST,
    RATE_SPAN,
    SMOOTH,
    SUSPECT,
    TARGET,
    Turn,
)

FRESH = 1.5  # for which a report counts; older ones say no more than the fleet's mean
SAMPLES = 2.0  # requests to a mean backend for which a gateway remembers at least that one errs
STALE = 2.0  # seconds that figures of the whole fleet look back at the most
PRIOR = 2.0  # answers that the fleet's latency counts for, beside a backend's own
COLD_SAFETY = 0.45  # part of the cold budget that is sent unproven: what is answered comes on top
COLD_BURST = 0.3  # of that, what may go at once; the flow of the rest must let a cold one take its share
LEAST_LIMIT = 4.0  # attempts out at a mean backend at least, all gateways: an idle core serves nobody
COUNTED = 0.05  # seconds for which the count of live backends holds
MISSED = 0.3  # by more than this part of the answers: not by one slow backend or costly request


class Servers:
    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.backends: dict[int, Backend] = {}
        self.live: list[Backend] = []  # listed ready, and not taken out by hand
        self.banned: set[int] = set()  # taken out by hand, whether listed or not
        self.returned: dict[int, float] = {}  # called back at these times, and cold from then on
        self.unused: set[int] = set()  # cold ones, called back or started, that I have sent nothing yet
        self.out = 0  # attempts out, live backends
        # A guess beyond the target would refuse all before a first answer could put it right.
        self.latency = self.took = min(FIRST_LATENCY, TARGET * turn.aim)
        self.load, self.met = 0.0, 1.0  # means of the reported loads, and of those that `took` met
        self.missed = 0.0  # smoothed share of answers later than their target
        self.heard_at = 0.0  # when any backend last answered
        self.sent, self.could, self.sent_at = 0.0, 0.0, 0.0  # lately, to how many backends times seconds
        self.capacity_now, self.capacity_at = 0.0, -math.inf  # of the live backends; when to count it again

    def on_members(self, event: i.Members) -> None:
        if event.listing in (i.Listing.CACHED, i.Listing.FULL):
            for known in self.backends.values():
                known.state = State.GONE  # unless the list names it
        for entry in event.entries:
            found = self.backends.get(entry.backend)
            if found is None:
                found = self.backends[entry.backend] = Backend(entry, answered=self.turn.now)
            starts = entry.started > found.entry.started or not found.cold_at
            found.entry, found.state = entry, entry.state
            if starts:
                self.start_cold(found)
        self.backends = {n: b for n, b in self.backends.items() if b.out or b.state is not State.GONE}
        self.unused &= self.backends.keys()
        self.relist()

    def start_cold(self, backend: Backend) -> None:
        backend.latency = self.latency / max(EPS, self.warmth(backend))
        backend.seen, backend.known = self.turn.now, 0.0
        backend.answered, backend.erring = self.turn.now, 0.0
        backend.cold_level, backend.cold_at = self.turn.random.random(), self.turn.now  # not all at once
        if self.warmth(backend) < 1:
            self.unused.add(backend.entry.backend)

    def relist(self) -> None:
        """After a change of the list or of the bans; what is held may have room now."""
        self.live = [b for b in self.backends.values() if self.serves(b)]
        self.capacity_at = -math.inf  # to be counted anew
        self.out = sum(len(b.out) for b in self.live)

    def serves(self, backend: Backend) -> bool:
        return backend.state is State.READY and backend.entry.backend not in self.banned

    def on_detached(self, number: int) -> None:
        """The ban stands whatever discovery says of the backend; attempts that are out finish."""
        self.banned.add(number)
        self.returned.pop(number, None)
        self.unused.discard(number)
        self.turn.actions.append(i.CloseIdle(number))  # it is restarted meanwhile
        self.relist()

    def on_attached(self, event: i.Attached) -> bool:
        """Whether it was out by hand."""
        if event.backend not in self.banned:
            return False
        self.banned.remove(event.backend)
        warm_up = self.turn.settings.rules.warm_up
        self.returned = {n: at for n, at in self.returned.items() if self.turn.now - at < warm_up}
        self.returned[event.backend] = event.at
        self.unused.add(event.backend)
        self.turn.actions.append(i.CloseIdle(event.backend))
        if (found := self.backends.get(event.backend)) is not None:
            self.start_cold(found)
        self.relist()
        return True

    def warmth(self, backend: Backend) -> float:
        """The share of its capacity that a backend surely has by now."""
        rules = self.turn.settings.rules
        started = max(backend.entry.started, self.returned.get(backend.entry.backend, 0.0))
        age = self.turn.now - started
        if started <= 0 or rules.warm_up <= 0 or age >= rules.warm_up:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.warm_up

    def capacity(self) -> float:
        """The live backends, a cold one for what it surely can do by now, and one that fails for nothing."""
        if self.turn.now >= self.capacity_at:
            self.capacity_at = self.turn.now + COUNTED
            self.capacity_now = max(1.0, sum(self.warmth(b) for b in self.live if not self.useless(b)))
        return self.capacity_now

    def cold_room(self, backend: Backend, warmth: float) -> bool:
        """My part of a cold backend's budget over every window: some at once, the rest as it flows in, and
        what it has answered once more, as it can surely do that.  Where the budget is below one request, the
        level that each gateway starts from at random decides who sends first."""
        rules = self.turn.settings.rules
        budget = COLD_SAFETY * rules.fall_multiple * warmth * self.rate(0.0) * rules.fall_time
        budget = max(budget, LEAST_LIMIT / self.turn.peers)  # some may warm by serving only
        flow = budget * (1 - COLD_BURST) / max(EPS, rules.fall_time)
        level = backend.cold_level + (self.turn.now - backend.cold_at) * flow
        backend.cold_level, backend.cold_at = min(max(1.0, budget * COLD_BURST), level), self.turn.now
        return backend.cold_level >= 1.0

    def span(self) -> float:
        """How long errors of a backend count: until it would have been sent a few more requests."""
        rate = self.rate(math.inf)
        return min(FORGET, max(RATE_SPAN, SAMPLES / max(rate, EPS)))

    def faded(self, backend: Backend) -> float:
        """What was learned of its latency, as a bad figure fades."""
        fade = math.exp((backend.seen - self.turn.now) / RATE_SPAN)
        return min(backend.latency, self.latency + max(0.0, backend.latency - self.latency) * fade)

    def expected(self, backend: Backend) -> float:
        """A silent backend is at least as slow as it has been silent; one that errs is of no use."""
        oldest = next(iter(backend.out.values()), self.turn.now)
        latency = max(EPS, self.faded(backend), self.turn.now - max(oldest, backend.answered))
        return max(latency, EJECT * self.latency) if self.useless(backend) else latency

    def useless(self, backend: Backend) -> bool:
        """Whether it failed all or most of what it was sent lately."""
        share = backend.erring
        return share > 0.5 and share * math.exp((backend.seen - self.turn.now) / self.span()) > 0.5

    def note(self, backend: Backend, report: tuple[float, ...]) -> None:
        """Keep a load report.  One that is missing where others come means busy, not idle."""
        values = dict(zip(self.turn.settings.report_columns, report, strict=False))
        load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
        if values:
            self.load += NEWEST * (load - self.load)
        else:
            load = self.load + 1
        backend.load, backend.load_at = load, self.turn.now

    def burden(self, backend: Backend) -> float:
        """What a backend holds, by its report; the fleet's mean where nothing new is known."""
        return 1 + (backend.load if self.turn.now - backend.load_at < FRESH else self.load)

    def strain(self) -> float:
        """The latency that the reported load will bring, over what is aimed at."""
        if "inflight" not in self.turn.settings.report_columns:
            return 0.0  # latency does not follow from a queue alone
        return self.took / self.met * (1 + self.load) / (TARGET * self.turn.aim)

    def observe(
        self, backend: Backend, job: Job | None, outcome: Outcome, report: tuple[float, ...], sent: float
    ) -> bool:
        """Learn from an attempt that ended on its own; tells whether it was late or no good."""
        took = self.turn.now - sent
        backend.latency = self.faded(backend)
        backend.known = backend.known * math.exp((backend.seen - self.turn.now) / RATE_SPAN) + 1
        backend.seen = self.turn.now
        if report:
            self.note(backend, report)
        good = outcome is Outcome.OK
        if good:
            backend.cold_level += 1  # what a cold one answers it can do, so it may have as much again
        # Where answers are few, each counts for the time since the last: a jam lasts seconds, not answers.
        stale = min(NEWEST, 1 - math.exp((self.heard_at - self.turn.now) / STALE)) if self.heard_at else 0.0
        self.heard_at = self.turn.now
        if good and job:
            backend.silent.pop(job.cls.name, None)
            self.took += max(SMOOTH, stale) * (took - self.took)
            self.met += max(SMOOTH, stale) * (self.burden(backend) - self.met)
            backend.answered = self.turn.now
            self.latency += max(SMOOTH / 4, stale) * (took - self.latency)
        # A gateway that hears from it but now and then goes by the little it hears; of a cold one the fleet's
        # latency, which was its first guess, says less.
        weight = max(SMOOTH, 1 / (backend.known + PRIOR * self.warmth(backend)))
        backend.latency += weight * ((took if good else max(took, 2 * self.latency)) - backend.latency)
        failed = outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED)
        backend.erring += max(NEWEST, 1 / backend.known) * (failed - backend.erring)
        if backend.erring > 0.5:
            # All it answered lately, or two on end: it is fast and serves nobody, so it would draw ever more.
            backend.latency = max(backend.latency, EJECT * self.latency)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # It is down, whatever the list says: out of the way at once, tried again as this fades.
            backend.latency = max(backend.latency, EJECT * self.latency)
        late = not good or (job is not None and took > TARGET * job.cls.aim)
        if backend.latency < SUSPECT * self.latency and outcome is not Outcome.CONNECT_FAILED:
            # One bad backend says nothing of the fleet.
            self.missed += max(SMOOTH / 2, stale) * (late - self.missed)
        return late

    def put_out(self, backend: Backend, request: int, attempt: int) -> None:
        """Its work there begins: it is out until `take_back`."""
        backend.out[request, attempt] = self.turn.now
        self.out += self.serves(backend)

    def take_back(self, backend: Backend, request: int, attempt: int) -> float | None:
        """When an attempt that is over was put out, if it was."""
        if (sent := backend.out.pop((request, attempt), None)) is not None:
            self.out -= self.serves(backend)
        return sent

    def sending(self, backend: Backend) -> None:
        """An attempt goes to it."""
        self.unused.discard(backend.entry.backend)
        if self.warmth(backend) < 1:
            backend.cold_level -= 1
        fade = math.exp((self.sent_at - self.turn.now) / RATE_SPAN)
        self.sent, self.sent_at = self.sent * fade + 1, self.turn.now
        self.could = self.could * fade + self.capacity() * RATE_SPAN * (1 - fade)

    def rate(self, unknown: float) -> float:
        """What a warm backend's worth is sent a second."""
        return self.sent / self.could if self.could else unknown
