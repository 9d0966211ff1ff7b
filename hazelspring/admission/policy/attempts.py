"""Owns open requests: the attempts of each, those that are held, and their final answers."""

from __future__ import annotations

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Effect, Outcome, Scope
from hazelspring.admission.policy.choice import Choice
from hazelspring.admission.policy.quotas import Quotas
from hazelspring.admission.policy.records import Backend, Job
from hazelspring.admission.policy.servers import MISSED, Servers
from hazelspring.admission.policy.turn import MARGIN, SUSPECT, TICK, Turn

RESEND_BUDGET = 0.1  # further attempts for overdue ones, per first attempt


class Attempts:
    def __init__(self, turn: Turn, servers: Servers, choice: Choice, quotas: Quotas) -> None:
        self.turn, self.servers, self.choice, self.quotas = turn, servers, choice, quotas
        self.jobs = choice.jobs
        self.queue: list[Job] = []
        self.resends = 1.0  # further attempts for overdue ones that may be made

    def on_request(self, req: i.Request) -> None:
        plan = req.own_plan or self.turn.settings.plans[req.plan]
        kinds = [slots for slots, on in ((False, plan.rate > 0), (True, plan.parallel > 0)) if on]
        leases = [self.quotas.lease(req, plan, slots) for slots in kinds]
        cls = req.own or self.turn.settings.classes[req.cls]
        job = Job(req, cls, plan, self.turn.settings.limits, self.turn.now, self.turn.now + req.left, leases)
        job.whole = not req.streams
        self.jobs[req.request] = job
        self.choice.probe()
        # One too short to serve would be over before the next tick.
        self.quotas.admit(job) if req.left >= MARGIN + 2 * TICK else self.refuse(job, 0.0)

    def dispatch(self, job: Job) -> None:
        """Send a job to the best backend, or queue it while none has room.  Credit under a ceiling
        lapses with its window for a held request too, or held ones would pass the ceiling together."""
        if job.closed:
            return
        if job.plan.ceiling_rate and not job.attempts and self.quotas.lapsed(job):
            return self.quotas.admit(job)
        if self.choice.has_room() and (backend := self.choice.choose(job)):
            self.send(job, backend)
        elif not job.out:
            self.queue.append(job)

    def send(self, job: Job, backend: Backend) -> None:
        if job.whole:
            self.servers.put_out(backend, job.req.request, job.attempts)
        job.out[job.attempts] = backend, self.turn.now
        job.attempts += 1
        job.tried.append(backend.entry.backend)
        self.servers.sending(backend)
        if job.attempts == 1:
            self.resends = min(10.0, self.resends + RESEND_BUDGET)
        self.turn.actions.append(i.Send(job.req.request, backend.entry.backend, 0.0))

    def on_whole(self, event: i.Whole) -> None:
        """What went before was its client's sending: from now on it is out, and its time runs."""
        job = self.jobs.get(event.request)
        if job is None or job.whole:
            return
        job.whole, job.arrived, job.end = True, self.turn.now, self.turn.now + event.left
        for attempt, (backend, _) in list(job.out.items()):
            job.out[attempt] = backend, self.turn.now
            self.servers.put_out(backend, event.request, attempt)

    def on_under_way(self, event: i.UnderWay) -> None:
        """The backend is done with it, but for its bytes; these hold a slot and nothing else."""
        self.ended(event.request, event.attempt, event.backend, Outcome.OK, ())
        if (job := self.jobs.get(event.request)) is not None:
            job.flowing = True
            self.close(job)
        self.pump()

    def ended(
        self, request: int, attempt: int, number: int, outcome: Outcome, report: tuple[float, ...]
    ) -> None:
        backend = self.servers.backends.get(number)
        sent = self.servers.take_back(backend, request, attempt) if backend else None
        if backend and sent is not None and outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            late = self.servers.observe(backend, self.jobs.get(request), outcome, report, sent)
            self.choice.adapt(late)

    def on_finished(self, event: i.Finished) -> None:
        self.ended(event.request, event.attempt, event.backend, event.outcome, event.report)
        job = self.jobs.get(event.request)
        if job:
            job.again = event.again
            gone = job.out.pop(event.attempt, None)
            if gone and not event.outcome.never_ran and (job.ran is None or gone[1] < job.ran[1]):
                job.ran = gone
            if event.closed or event.outcome is Outcome.OK:
                self.close(job)
            if not job.out:
                (self.close if job.closed else self.further)(job)
        self.pump()

    def further(self, job: Job) -> None:
        """No attempt is out and none served: try again where its class allows, else end it."""
        more = job.attempts < job.limits.max_attempts and self.turn.now < job.end - MARGIN
        if not more or not job.again or not self.choice.allowed(job):
            self.end(job)
        elif self.servers.missed > MISSED:
            self.queue.append(job)  # the fleet is full: what was turned away waits for a tick
        else:
            self.dispatch(job)

    def end(self, job: Job) -> None:
        """The final answer: a refusal where that is true, for a failure promises nothing."""
        effect, everywhere = job.cls.effect, job.cls.scope is Scope.ALL
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and everywhere)
        if not job.out and (job.ran is None or harmless):
            self.refuse(job, self.servers.latency)  # by then about as much has left the fleet as is out now
        else:
            self.close(job)
            self.turn.actions.append(i.Fail(job.req.request))

    def refuse(self, job: Job, retry_after: float) -> None:
        self.close(job)
        most = job.limits.max_retry_after  # told also where clients at large do not heed it
        self.turn.actions.append(i.Refuse(job.req.request, min(max(0.0, retry_after), most)))

    def close(self, job: Job | None) -> None:
        """Late or repeated news changes nothing.  A slot is in use until the last attempt is over."""
        if job and not job.out and job.req.request in self.jobs:
            del self.jobs[job.req.request]
            self.quotas.release(job, unsent=job.attempts == 0)
        if job:
            job.closed = True

    def pump(self) -> None:
        """Send queued jobs, most worth per work first, while backends have room."""
        if not self.queue or not self.choice.has_room():
            return
        waiting, self.queue = sorted(self.queue, key=lambda j: -j.cls.worth * j.plan.price), []
        for job in waiting:
            # After a few the rest would not fare better, and a long queue costs CPU.
            self.queue.append(job) if len(self.queue) > 3 else self.dispatch(job)

    def hold(self) -> None:
        """What is held ends before its client's time does, and what never ran once it cannot make its aim."""
        for job in [j for j in self.jobs.values() if not j.out]:
            late = self.turn.now + self.servers.latency > job.arrived + job.cls.aim
            hopeless = late and job.ran is None
            if hopeless or self.turn.now > job.end - MARGIN - TICK:
                self.end(job)
        self.queue = [job for job in self.queue if not job.closed]
        self.pump()
        self.rescue()

    def rescue(self) -> None:
        """Second attempts for what sits on a backend that has stopped answering or is far too slow."""
        for job in [j for j in self.jobs.values() if not j.closed and len(j.out) == 1 and not j.req.streams]:
            ((attempt, (backend, sent)),) = job.out.items()
            limits = job.limits
            if self.turn.now - sent < SUSPECT * self.servers.latency:
                continue
            # Any class's answer hides that another gets none: silence is judged by backend and class.
            backend.silent[job.cls.name] = self.turn.now
            useless = self.turn.now + self.servers.latency > job.arrived + job.cls.aim
            if useless or job.attempts >= limits.max_attempts:
                continue
            if self.resends >= 1 and self.choice.has_room() and (target := self.choice.choose(job)):
                self.resends -= 1
                if limits.second_copies:
                    self.send(job, target)
                elif limits.cancel:  # `further` sends again
                    self.turn.actions.append(i.Cancel(job.req.request, attempt))
