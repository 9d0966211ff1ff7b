"""Limits the attempts in flight, and selects a backend for each: first by the rules, then by score."""

from __future__ import annotations

import math

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Effect, Scope
from hazelspring.admission.policy.context import DECAY_TIME, EJECT, MARGIN, NEWEST, SUSPECT, Context
from hazelspring.admission.policy.records import Backend, Job
from hazelspring.admission.policy.servers import MAX_LATE_SHARE, MIN_LIMIT, REPORT_AGE, Servers

FIRST_LIMIT = 12.0  # initial limit of attempts in flight at an average backend, all gateways together
LIMIT_DEVIATIONS = 0.7  # standard deviations allowed above the mean: a gateway's load is uneven
BACKOFF = 0.85  # factor on the limit when too many answers are late
CANDIDATES = 12  # backends compared for an attempt: the fleet may be large
PROBE_POOL = 8  # load reports kept fresh where backends must be probed for them
MAX_PROBERS = 4  # gateways that may each probe for such a pool; more gateways share this probe rate


class BackendSelection:
    def __init__(self, ctx: Context, servers: Servers, jobs: dict[int, Job]) -> None:
        self.ctx, self.servers, self.jobs = ctx, servers, jobs  # `jobs` is only read
        self.limit = FIRST_LIMIT / ctx.peers  # limit of attempts at an average backend, this gateway's part
        self.lowered_at = 0.0  # time of the last decrease of `limit`
        self.probe_at = 0.0

    def adapt_limit(self, late: bool) -> None:
        """Adapt the limit, one for all backends, by additive increase and multiplicative decrease."""
        servers = self.servers
        if servers.late_share < MAX_LATE_SHARE:
            if not late and servers.in_flight + 2 >= self.limit * servers.capacity():
                self.limit += 1 / (self.limit * max(1, len(servers.live))) / self.ctx.peers
        elif self.ctx.now - self.lowered_at > servers.latency:
            self.lowered_at = self.ctx.now
            self.limit = max(MIN_LIMIT / self.ctx.peers, self.limit * BACKOFF)

    def allowed_backends(self, job: Job) -> list[Backend]:
        """List the backends that the rules allow for the job's next attempt."""
        anchors = [*job.in_flight.values(), *([job.first_run] if job.first_run else [])]
        anchor = min(anchors, key=lambda a: a[1], default=None)
        if anchor is None or job.cls.effect is Effect.SAFE:
            return self.servers.live
        if job.cls.effect is Effect.UNSAFE or self.ctx.now > anchor[1] + job.cls.memory - MARGIN:
            return []
        return [b for b in self.servers.live if self.scope_group(job, b) == self.scope_group(job, anchor[0])]

    def scope_group(self, job: Job, backend: Backend) -> int:
        """Return the backend's cell or zone, or 0: within it, repeats of the job are deduplicated."""
        entry = backend.entry
        return {Scope.CELL: entry.cell, Scope.ZONE: entry.zone, Scope.ALL: 0}[job.cls.scope]

    def probe(self) -> None:
        """Probe a random backend's load, at most once a request and as often as keeps a pool fresh."""
        limits, how = self.ctx.settings.limits, self.ctx.settings.report_how
        if limits.probes and how == "pull" and self.servers.live and self.ctx.now >= self.probe_at:
            self.probe_at = self.ctx.now + REPORT_AGE / PROBE_POOL * max(1.0, self.ctx.peers / MAX_PROBERS)
            self.ctx.actions.append(i.Probe(self.ctx.random.choice(self.servers.live).entry.backend))

    def below_fleet_limit(self) -> bool:
        """Whether the fleet may take another attempt.  Unanswered attempts don't count."""
        fleet, ctx = self.servers, self.ctx
        # Sheds this gateway's part at random, but not with few attempts in flight, as reports are then old.
        if fleet.in_flight * ctx.peers >= len(fleet.live) and ctx.random.random() > 2 - fleet.overload():
            return False
        mean = self.limit * fleet.capacity()
        most = mean + LIMIT_DEVIATIONS * math.sqrt(mean)
        slow = ctx.now - SUSPECT * fleet.latency  # older attempts must not use up the limit
        jobs = (job for job in self.jobs.values() if job.complete and not job.answering)
        return fleet.in_flight - sum(at < slow for job in jobs for _, at in job.in_flight.values()) < most

    def choose(self, job: Job) -> Backend | None:
        """Select the best allowed backend, in a large fleet of a random sample; None if none is free."""
        best, best_score = None, math.inf
        allowed, unused, now = self.allowed_backends(job), self.servers.unused, self.ctx.now
        if len(allowed) > CANDIDATES:
            first = [b for b in allowed if b.entry.backend in unused] if unused else []
            allowed = self.ctx.random.sample(allowed, CANDIDATES) + first
        for backend in allowed:
            expected = self.servers.expected(backend)
            if backend.entry.backend in job.tried[-2:] or not self.below_backend_limit(backend, expected):
                continue
            warmth = self.servers.warmth(backend)
            if warmth < 1 and not self.servers.has_cold_budget(backend, warmth):
                continue
            ahead = len(backend.in_flight) + 1 + NEWEST * self.servers.effective_load(backend)
            if now - backend.unanswered.get(job.cls.name, -math.inf) < 2 * DECAY_TIME:
                ahead *= EJECT
            score = expected * ahead * (1 + self.ctx.random.random() / 20)
            if backend.entry.backend in unused:
                return backend  # it is idle: send its first request as soon as its budget allows
            if score < best_score:
                best, best_score = backend, score
        return best

    def below_backend_limit(self, backend: Backend, expected: float) -> bool:
        """Whether the backend may take another attempt.  With many gateways, the limit of each is below one;
        rounded up, all of them would have one there at once.  So a random draw decides, for some time."""
        if self.ctx.now - backend.drawn_at > 2 * self.servers.latency:
            backend.draw, backend.drawn_at = self.ctx.random.random(), self.ctx.now
        part = min(1.0, 1.5 * self.servers.latency / expected)
        return len(backend.in_flight) + backend.draw < 2 * self.limit * part
