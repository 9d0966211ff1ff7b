"""Keeps open requests: their attempts, the queue of requests to send, and their final answers."""

from __future__ import annotations

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Effect, Outcome, Scope
from hazelspring.admission.policy.backend_selection import BackendSelection
from hazelspring.admission.policy.context import MARGIN, SUSPECT, TICK, Context
from hazelspring.admission.policy.quotas import Quotas
from hazelspring.admission.policy.records import Backend, Job
from hazelspring.admission.policy.servers import MAX_LATE_SHARE, Servers

RESEND_BUDGET = 0.1  # attempts for requests without a timely answer, per first attempt


class Attempts:
    def __init__(self, ctx: Context, servers: Servers, choice: BackendSelection, quotas: Quotas) -> None:
        self.ctx, self.servers, self.choice, self.quotas = ctx, servers, choice, quotas
        self.jobs = choice.jobs
        self.queue: list[Job] = []
        self.resends = 1.0  # budget: attempts that may be made for requests without a timely answer

    def on_request(self, req: i.Request) -> None:
        """Open a job for a request, with a lease for each quota of its plan; admit or refuse it."""
        plan = req.own_plan or self.ctx.settings.plans[req.plan]
        kinds = [slots for slots, on in ((False, plan.rate > 0), (True, plan.parallel > 0)) if on]
        leases = [self.quotas.lease(req, plan, slots) for slots in kinds]
        cls = req.own or self.ctx.settings.classes[req.cls]
        job = Job(req, cls, plan, self.ctx.settings.limits, self.ctx.now, self.ctx.now + req.left, leases)
        job.complete = not req.streams
        self.jobs[req.request] = job
        self.choice.probe()
        # With less time left, the request would expire before the next tick.
        self.quotas.admit(job) if req.left >= MARGIN + 2 * TICK else self.refuse(job, 0.0)

    def dispatch(self, job: Job) -> None:
        """Send a job to the best backend, or queue it while none may take it.  Under a ceiling, its credit
        expires with its window also in the queue, or queued jobs together would exceed the ceiling."""
        if job.closed:
            return
        if job.plan.ceiling_rate and not job.attempts and self.quotas.return_lapsed_credit(job):
            return self.quotas.admit(job)
        if self.choice.below_fleet_limit() and (backend := self.choice.choose(job)):
            self.send(job, backend)
        elif not job.in_flight:
            self.queue.append(job)

    def send(self, job: Job, backend: Backend) -> None:
        """Start an attempt; it counts as in flight at the backend once the job is complete."""
        if job.complete:
            self.servers.add_attempt(backend, job.req.request, job.attempts)
        job.in_flight[job.attempts] = backend, self.ctx.now
        job.attempts += 1
        job.tried.append(backend.entry.backend)
        self.servers.on_send(backend)
        if job.attempts == 1:
            self.resends = min(10.0, self.resends + RESEND_BUDGET)
        self.ctx.actions.append(i.Send(job.req.request, backend.entry.backend, 0.0))

    def on_whole(self, event: i.Whole) -> None:
        """A streamed request is complete: its attempts count as in flight, and its time starts now."""
        job = self.jobs.get(event.request)
        if job is None or job.complete:
            return
        job.complete, job.arrived, job.end = True, self.ctx.now, self.ctx.now + event.left
        for attempt, (backend, _) in list(job.in_flight.items()):
            job.in_flight[attempt] = backend, self.ctx.now
            self.servers.add_attempt(backend, event.request, attempt)

    def on_under_way(self, event: i.UnderWay) -> None:
        """An answer has begun: the attempt no longer counts at the backend; the job only keeps its slot."""
        self.on_attempt_ended(event.request, event.attempt, event.backend, Outcome.OK, ())
        if (job := self.jobs.get(event.request)) is not None:
            job.answering = True
            self.close(job)
        self.send_queued()

    def on_attempt_ended(
        self, request: int, attempt: int, number: int, outcome: Outcome, report: tuple[float, ...]
    ) -> None:
        """Take an attempt off its backend, and learn from it unless it was cancelled or moot."""
        backend = self.servers.backends.get(number)
        sent = self.servers.remove_attempt(backend, request, attempt) if backend else None
        if backend and sent is not None and outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            late = self.servers.learn_from_attempt(backend, self.jobs.get(request), outcome, report, sent)
            self.choice.adapt_limit(late)

    def on_finished(self, event: i.Finished) -> None:
        self.on_attempt_ended(event.request, event.attempt, event.backend, event.outcome, event.report)
        job = self.jobs.get(event.request)
        if job:
            job.can_resend = event.again
            run = job.in_flight.pop(event.attempt, None)
            if run and not event.outcome.never_ran and (job.first_run is None or run[1] < job.first_run[1]):
                job.first_run = run
            if event.closed or event.outcome is Outcome.OK:
                self.close(job)
            if not job.in_flight:
                (self.close if job.closed else self.retry_or_end)(job)
        self.send_queued()

    def retry_or_end(self, job: Job) -> None:
        """Retry a job that has no attempt in flight, if its class, limits and time allow; else end it."""
        more = job.attempts < job.limits.max_attempts and self.ctx.now < job.end - MARGIN
        if not more or not job.can_resend or not self.choice.allowed_backends(job):
            self.end(job)
        elif self.servers.late_share > MAX_LATE_SHARE:
            self.queue.append(job)  # the fleet is overloaded: wait for the next tick
        else:
            self.dispatch(job)

    def end(self, job: Job) -> None:
        """Refuse the request if it had no effect or a repeat is harmless, else report a failure."""
        effect, everywhere = job.cls.effect, job.cls.scope is Scope.ALL
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and everywhere)
        if not job.in_flight and (job.first_run is None or harmless):
            # After this time about as many attempts will have ended as are in flight now.
            self.refuse(job, self.servers.latency)
        else:
            self.close(job)
            self.ctx.actions.append(i.Fail(job.req.request))

    def refuse(self, job: Job, retry_after: float) -> None:
        """Close a job and refuse its request, with the seconds after which the client may retry."""
        self.close(job)
        most = job.limits.max_retry_after  # also sent where most clients ignore it
        self.ctx.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), most)))

    def close(self, job: Job | None) -> None:
        """Mark a job closed, and drop it once no attempt is in flight: it uses its slot until then.  Late
        or repeated events change nothing."""
        if job and not job.in_flight and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.quotas.release(job, unsent=job.attempts == 0)
        if job:
            job.closed = True

    def send_queued(self) -> None:
        """Send queued jobs, those of the highest worth first, while the fleet is below its limit."""
        if not self.queue or not self.choice.below_fleet_limit():
            return
        waiting, self.queue = sorted(self.queue, key=lambda j: -j.cls.worth * j.plan.price), []
        for job in waiting:
            # If a few can't be sent, the rest can't either, and a long queue costs CPU.
            self.queue.append(job) if len(self.queue) > 3 else self.dispatch(job)

    def end_overdue(self) -> None:
        """End jobs without an attempt in flight before their time is up, or, if they never ran, once they
        can't meet their aim.  Then send queued jobs, and second attempts for unanswered ones."""
        for job in [j for j in self.jobs.values() if not j.in_flight]:
            late = self.ctx.now + self.servers.latency > job.arrived + job.cls.aim
            cannot_meet_aim = late and job.first_run is None
            if cannot_meet_aim or self.ctx.now > job.end - MARGIN - TICK:
                self.end(job)
        self.queue = [job for job in self.queue if not job.closed]
        self.send_queued()
        self.resend_unanswered()

    def resend_unanswered(self) -> None:
        """Start second attempts for requests at a backend that has stopped answering or is far too slow."""
        for job in [
            j for j in self.jobs.values() if not j.closed and len(j.in_flight) == 1 and not j.req.streams
        ]:
            ((attempt, (backend, sent)),) = job.in_flight.items()
            limits = job.limits
            if self.ctx.now - sent < SUSPECT * self.servers.latency:
                continue
            # Kept by backend and class: a backend may answer one class and not another.
            backend.unanswered[job.cls.name] = self.ctx.now
            too_late = self.ctx.now + self.servers.latency > job.arrived + job.cls.aim
            if too_late or job.attempts >= limits.max_attempts:
                continue
            if self.resends >= 1 and self.choice.below_fleet_limit() and (target := self.choice.choose(job)):
                self.resends -= 1
                if limits.second_copies:
                    self.send(job, target)
                elif limits.cancel:  # `retry_or_end` then sends it again
                    self.ctx.actions.append(i.Cancel(job.req.request, attempt))
