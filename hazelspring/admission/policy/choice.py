"""Owns the room at the servers, and picks one for an attempt: rules first, then the best of a few."""

from __future__ import annotations

import math

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Effect, Scope
from hazelspring.admission.policy.records import Backend, Job
from hazelspring.admission.policy.servers import FRESH, LEAST_LIMIT, MISSED, Servers
from hazelspring.admission.policy.turn import EJECT, MARGIN, NEWEST, RATE_SPAN, SUSPECT, Turn

FIRST_LIMIT = 12.0  # attempts out at a mean backend, all gateways, before anything is known
SPREAD = 0.7  # standard deviations of room above the mean: a gateway's load comes unevenly
BACKOFF = 0.85  # factor on that limit when the target is missed
CANDIDATES = 12  # backends looked at for an attempt: the fleet may be large
POOL = 8  # load reports kept fresh where they must be asked for
PROBERS = 4  # gateways that may each keep such a pool; more of them share these probes


class Choice:
    def __init__(self, turn: Turn, servers: Servers, jobs: dict[int, Job]) -> None:
        self.turn, self.servers, self.jobs = turn, servers, jobs  # `jobs` to read only
        self.room = FIRST_LIMIT / turn.peers  # attempts out at a mean backend, mine
        self.lowered = 0.0  # last cut of `room`
        self.probe_at = 0.0

    def adapt(self, late: bool) -> None:
        """Additive increase, multiplicative decrease of what may be out at a mean backend: one for all."""
        servers = self.servers
        if servers.missed < MISSED:
            if not late and servers.out + 2 >= self.room * servers.capacity():
                self.room += 1 / (self.room * max(1, len(servers.live))) / self.turn.peers
        elif self.turn.now - self.lowered > servers.latency:
            self.lowered = self.turn.now
            self.room = max(LEAST_LIMIT / self.turn.peers, self.room * BACKOFF)

    def allowed(self, job: Job) -> list[Backend]:
        """Backends that the rules leave open to this job's next attempt."""
        anchors = [*job.out.values(), *([job.ran] if job.ran else [])]
        anchor = min(anchors, key=lambda a: a[1], default=None)
        if anchor is None or job.cls.effect is Effect.SAFE:
            return self.servers.live
        if job.cls.effect is Effect.UNSAFE or self.turn.now > anchor[1] + job.cls.memory - MARGIN:
            return []
        return [b for b in self.servers.live if self.group(job, b) == self.group(job, anchor[0])]

    def group(self, job: Job, backend: Backend) -> int:
        entry = backend.entry
        return {Scope.CELL: entry.cell, Scope.ZONE: entry.zone, Scope.ALL: 0}[job.cls.scope]

    def probe(self) -> None:
        """Ask a backend at random for its load, at most once a request and as often as keeps a pool fresh."""
        limits, how = self.turn.settings.limits, self.turn.settings.report_how
        if limits.probes and how == "pull" and self.servers.live and self.turn.now >= self.probe_at:
            self.probe_at = self.turn.now + FRESH / POOL * max(1.0, self.turn.peers / PROBERS)
            self.turn.actions.append(i.Probe(self.turn.random.choice(self.servers.live).entry.backend))

    def has_room(self) -> bool:
        """What hangs on silent backends must not take the room of those that answer."""
        servers, turn = self.servers, self.turn
        if servers.out * turn.peers >= len(servers.live) and turn.random.random() > 2 - servers.strain():
            return False  # each sheds its part by chance; with little out the strain is old news
        mean = self.room * servers.capacity()
        most = mean + SPREAD * math.sqrt(mean)
        slow = turn.now - SUSPECT * servers.latency
        counted = (job for job in self.jobs.values() if job.whole and not job.flowing)
        return servers.out - sum(at < slow for job in counted for _, at in job.out.values()) < most

    def choose(self, job: Job) -> Backend | None:
        """The best of a few: those that the rules leave, drawn at random from a large fleet."""
        best, best_score = None, math.inf
        fits, unused, now = self.allowed(job), self.servers.unused, self.turn.now
        if len(fits) > CANDIDATES:
            first = [b for b in fits if b.entry.backend in unused] if unused else []
            fits = self.turn.random.sample(fits, CANDIDATES) + first
        for backend in fits:
            expected = self.servers.expected(backend)
            if backend.entry.backend in job.tried[-2:] or not self.may_hold(backend, expected):
                continue
            warmth = self.servers.warmth(backend)
            if warmth < 1 and not self.servers.cold_room(backend, warmth):
                continue
            ahead = len(backend.out) + 1 + NEWEST * self.servers.burden(backend)
            if now - backend.silent.get(job.cls.name, -math.inf) < 2 * RATE_SPAN:
                ahead *= EJECT
            score = expected * ahead * (1 + self.turn.random.random() / 20)
            if backend.entry.backend in unused:
                return backend  # idle, whatever others are: a first request as soon as its budget allows
            if score < best_score:
                best, best_score = backend, score
        return best

    def may_hold(self, backend: Backend, expected: float) -> bool:
        """Whether one more may be out there.  My part of what it may hold is a fraction where gateways are
        many; rounded up, all of them would hold one there at once.  So a draw decides, for a while."""
        if self.turn.now - backend.drawn_at > 2 * self.servers.latency:
            backend.draw, backend.drawn_at = self.turn.random.random(), self.turn.now
        part = min(1.0, 1.5 * self.servers.latency / expected)
        return len(backend.out) + backend.draw < 2 * self.room * part
