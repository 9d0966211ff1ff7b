"""Keeps what is known about the alert servers and the fleet: list, bans, warmth, latency, errors, load."""

from __future__ import annotations

import math

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome, State
from hazelspring.admission.policy.context import (
    DECAY_TIME,
    EJECT,
    EPS,
    FORGET,
    NEWEST,
    SMOOTHING,
    SUSPECT,
    TARGET_SHARE,
    Context,
)
from hazelspring.admission.policy.records import FIRST_LATENCY, Backend, Job

REPORT_AGE = 1.5  # seconds for which a load report is used; after that, the fleet's mean load is used
ERROR_MEMORY_REQUESTS = 2.0  # errors count at least until an average backend would have got so many requests
FLEET_DECAY_TIME = 2.0  # seconds; longest time constant of the fleet's smoothed figures
PRIOR = 2.0  # weight of the fleet's latency, in answers of the backend itself
COLD_SAFETY = 0.45  # part of the cold budget to send without proof; each answer adds to it
COLD_BURST = 0.3  # part sent at once; the rest must flow in as fast as a cold backend's share of requests
MIN_LIMIT = 4.0  # least limit of attempts in flight at an average backend, all gateways: avoids idle cores
CAPACITY_AGE = 0.05  # seconds for which the computed capacity is reused
MAX_LATE_SHARE = 0.3  # overloaded above it; one slow backend or costly request stays below


class Servers:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.backends: dict[int, Backend] = {}
        self.live: list[Backend] = []  # listed ready, and not detached by an operator
        self.banned: set[int] = set()  # detached by an operator, whether listed or not
        self.returned: dict[int, float] = {}  # when they were attached again; cold from then on
        self.unused: set[int] = set()  # cold ones that this gateway has sent nothing since start or attach
        self.in_flight = 0  # attempts at live backends
        # A guess above the target would refuse all requests, and no answer would correct it.
        self.latency = self.service_time = min(FIRST_LATENCY, TARGET_SHARE * ctx.aim)
        self.load, self.served_load = 0.0, 1.0  # mean reported load; mean effective load at answers
        self.late_share = 0.0  # smoothed share of answers that were late
        self.answered_at = 0.0  # when any backend last answered
        self.sent, self.backend_seconds, self.sent_at = 0.0, 0.0, 0.0  # decayed attempts and backend seconds
        self.capacity_now, self.capacity_at = 0.0, -math.inf  # of the live backends; when to recompute it

    def on_members(self, event: i.Members) -> None:
        """Apply a list or a change of it; a backend that is new or has restarted starts cold."""
        if event.listing in (i.Listing.CACHED, i.Listing.FULL):
            for known in self.backends.values():
                known.state = State.GONE  # unless it is in the new list
        for entry in event.entries:
            found = self.backends.get(entry.backend)
            if found is None:
                found = self.backends[entry.backend] = Backend(entry, answered=self.ctx.now)
            starts = entry.started > found.entry.started or not found.cold_level_at
            found.entry, found.state = entry, entry.state
            if starts:
                self.start_cold(found)
        self.backends = {n: b for n, b in self.backends.items() if b.in_flight or b.state is not State.GONE}
        self.unused &= self.backends.keys()
        self.relist()

    def start_cold(self, backend: Backend) -> None:
        backend.latency = self.latency / max(EPS, self.warmth(backend))
        backend.seen, backend.known = self.ctx.now, 0.0
        backend.answered, backend.erring = self.ctx.now, 0.0
        backend.cold_level, backend.cold_level_at = self.ctx.random.random(), self.ctx.now
        if self.warmth(backend) < 1:
            self.unused.add(backend.entry.backend)

    def relist(self) -> None:
        """Recompute the live backends after a change of the list or bans; queued jobs may then get one."""
        self.live = [b for b in self.backends.values() if self.serves(b)]
        self.capacity_at = -math.inf  # to be recomputed
        self.in_flight = sum(len(b.in_flight) for b in self.live)

    def serves(self, backend: Backend) -> bool:
        return backend.state is State.READY and backend.entry.backend not in self.banned

    def on_detached(self, number: int) -> None:
        """Ban a backend, whatever discovery reports about it; attempts in flight may finish."""
        self.banned.add(number)
        self.returned.pop(number, None)
        self.unused.discard(number)
        self.ctx.actions.append(i.CloseIdle(number))  # it is being restarted
        self.relist()

    def on_attached(self, event: i.Attached) -> bool:
        """Lift a ban; the backend starts cold.  Returns whether it was banned."""
        if event.backend not in self.banned:
            return False
        self.banned.remove(event.backend)
        warm_up = self.ctx.settings.rules.warm_up
        self.returned = {n: at for n, at in self.returned.items() if self.ctx.now - at < warm_up}
        self.returned[event.backend] = event.at
        self.unused.add(event.backend)
        self.ctx.actions.append(i.CloseIdle(event.backend))
        if (found := self.backends.get(event.backend)) is not None:
            self.start_cold(found)
        self.relist()
        return True

    def warmth(self, backend: Backend) -> float:
        """Return the share of its full capacity that a starting backend is sure to have by now."""
        rules = self.ctx.settings.rules
        started = max(backend.entry.started, self.returned.get(backend.entry.backend, 0.0))
        age = self.ctx.now - started
        if started <= 0 or rules.warm_up <= 0 or age >= rules.warm_up:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.warm_up

    def capacity(self) -> float:
        """Sum the warmth of the live backends, without those that mostly fail."""
        if self.ctx.now >= self.capacity_at:
            self.capacity_at = self.ctx.now + CAPACITY_AGE
            self.capacity_now = max(1.0, sum(self.warmth(b) for b in self.live if not self.mostly_fails(b)))
        return self.capacity_now

    def has_cold_budget(self, backend: Backend, warmth: float) -> bool:
        """Whether this gateway's part of a cold backend's budget allows a request.  A part is there at
        once, the rest flows in, and each answer adds one, as it proves that much capacity.  If the budget is
        below one request, the random level that each gateway starts from decides which sends first."""
        rules = self.ctx.settings.rules
        budget = COLD_SAFETY * rules.fall_multiple * warmth * self.send_rate(0.0) * rules.fall_time
        budget = max(budget, MIN_LIMIT / self.ctx.peers)  # some backends warm up only by serving
        flow = budget * (1 - COLD_BURST) / max(EPS, rules.fall_time)
        level = backend.cold_level + (self.ctx.now - backend.cold_level_at) * flow
        backend.cold_level, backend.cold_level_at = min(max(1.0, budget * COLD_BURST), level), self.ctx.now
        return backend.cold_level >= 1.0

    def error_memory(self) -> float:
        """Return for how many seconds errors count: until a backend would have got a few more requests."""
        rate = self.send_rate(math.inf)
        return min(FORGET, max(DECAY_TIME, ERROR_MEMORY_REQUESTS / max(rate, EPS)))

    def decayed_latency(self, backend: Backend) -> float:
        """Return the learned latency; what exceeds the fleet's decays with time."""
        fade = math.exp((backend.seen - self.ctx.now) / DECAY_TIME)
        return min(backend.latency, self.latency + max(0.0, backend.latency - self.latency) * fade)

    def expected(self, backend: Backend) -> float:
        """Estimate the latency: at least the time without an answer; far more if it mostly fails."""
        oldest = next(iter(backend.in_flight.values()), self.ctx.now)
        latency = max(EPS, self.decayed_latency(backend), self.ctx.now - max(oldest, backend.answered))
        return max(latency, EJECT * self.latency) if self.mostly_fails(backend) else latency

    def mostly_fails(self, backend: Backend) -> bool:
        """Whether most of its recent attempts failed."""
        share = backend.erring
        return share > 0.5 and share * math.exp((backend.seen - self.ctx.now) / self.error_memory()) > 0.5

    def record_report(self, backend: Backend, report: tuple[float, ...]) -> None:
        """Store a load report.  A missing one, where others report, means busy, not idle."""
        values = dict(zip(self.ctx.settings.report_columns, report, strict=False))
        load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
        if values:
            self.load += NEWEST * (load - self.load)
        else:
            load = self.load + 1
        backend.load, backend.load_at = load, self.ctx.now

    def effective_load(self, backend: Backend) -> float:
        """Return 1 plus the load by the backend's report, or by the fleet's mean if the report is old."""
        return 1 + (backend.load if self.ctx.now - backend.load_at < REPORT_AGE else self.load)

    def overload(self) -> float:
        """Return the latency predicted from the reported load, divided by the target latency."""
        if "inflight" not in self.ctx.settings.report_columns:
            return 0.0  # a queue's length alone doesn't predict latency
        return self.service_time / self.served_load * (1 + self.load) / (TARGET_SHARE * self.ctx.aim)

    def learn_from_attempt(
        self, backend: Backend, job: Job | None, outcome: Outcome, report: tuple[float, ...], sent: float
    ) -> bool:
        """Learn from an attempt that was not cancelled; returns whether it was late or failed."""
        took = self.ctx.now - sent
        backend.latency = self.decayed_latency(backend)
        backend.known = backend.known * math.exp((backend.seen - self.ctx.now) / DECAY_TIME) + 1
        backend.seen = self.ctx.now
        if report:
            self.record_report(backend, report)
        good = outcome is Outcome.OK
        if good:
            backend.cold_level += 1  # an answer proves capacity for one more
        # If answers are rare, each weighs by the time since the last: overload lasts seconds, not answers.
        gap_weight = (
            min(NEWEST, 1 - math.exp((self.answered_at - self.ctx.now) / FLEET_DECAY_TIME))
            if self.answered_at
            else 0.0
        )
        self.answered_at = self.ctx.now
        if good and job:
            backend.unanswered.pop(job.cls.name, None)
            self.service_time += max(SMOOTHING, gap_weight) * (took - self.service_time)
            self.served_load += max(SMOOTHING, gap_weight) * (self.effective_load(backend) - self.served_load)
            backend.answered = self.ctx.now
            self.latency += max(SMOOTHING / 4, gap_weight) * (took - self.latency)
        # With few answers from a backend, each one weighs more.  For a cold backend the fleet's latency, its
        # initial estimate, weighs less.
        weight = max(SMOOTHING, 1 / (backend.known + PRIOR * self.warmth(backend)))
        backend.latency += weight * ((took if good else max(took, 2 * self.latency)) - backend.latency)
        failed = outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED)
        backend.erring += max(NEWEST, 1 / backend.known) * (failed - backend.erring)
        if backend.erring > 0.5:
            # Most recent answers, or two in a row, are errors: being fast, it would attract ever more.
            backend.latency = max(backend.latency, EJECT * self.latency)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # It is down, even if listed ready: eject it at once, and try again as the latency decays.
            backend.latency = max(backend.latency, EJECT * self.latency)
        late = not good or (job is not None and took > TARGET_SHARE * job.cls.aim)
        if backend.latency < SUSPECT * self.latency and outcome is not Outcome.CONNECT_FAILED:
            # One bad backend says nothing about the fleet.
            self.late_share += max(SMOOTHING / 2, gap_weight) * (late - self.late_share)
        return late

    def add_attempt(self, backend: Backend, request: int, attempt: int) -> None:
        """Count an attempt as in flight at a backend until `remove_attempt`."""
        backend.in_flight[request, attempt] = self.ctx.now
        self.in_flight += self.serves(backend)

    def remove_attempt(self, backend: Backend, request: int, attempt: int) -> float | None:
        """Stop counting an attempt.  Returns when it started, or None if it was not counted."""
        if (sent := backend.in_flight.pop((request, attempt), None)) is not None:
            self.in_flight -= self.serves(backend)
        return sent

    def on_send(self, backend: Backend) -> None:
        """Account for an attempt in the send rate and in the budget of a cold backend."""
        self.unused.discard(backend.entry.backend)
        if self.warmth(backend) < 1:
            backend.cold_level -= 1
        fade = math.exp((self.sent_at - self.ctx.now) / DECAY_TIME)
        self.sent, self.sent_at = self.sent * fade + 1, self.ctx.now
        self.backend_seconds = self.backend_seconds * fade + self.capacity() * DECAY_TIME * (1 - fade)

    def send_rate(self, unknown: float) -> float:
        """Return the attempts a second for each warm backend, or `unknown` before the first one."""
        return self.sent / self.backend_seconds if self.backend_seconds else unknown
