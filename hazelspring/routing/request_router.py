"""Decides on requests: who is let in, which server gets them, further tries.  Events in, actions out."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.configuration.model import Route, Tenant, Word
from hazelspring.quota.credits import Call, Credits, Granted, Lapsed
from hazelspring.quota.limits import QuotaRule
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoints import Fleet, Server
from hazelspring.routing.retry_budget import Allowance
from orchidhill import interface as i
from orchidhill.interface import Outcome

AGAIN = 0.25  # seconds after which who was refused for want of servers or news may come again
LEAST_LEFT = 0.05  # seconds: with less, nothing is sent any more
PATIENCE = 3.0  # times the expected time after which a repeatable request is tried elsewhere,
PATIENCE_AIM = 0.5  # but not before this part of its aim
LOOK = 0.25  # seconds until it is looked again whether it may be: servers and the allowance seldom come back sooner
START = 0.5  # part of its aim that a route's requests are taken to need before one was seen
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
FIRST = 0.75  # seconds for a cold server's time to pass, beyond what it is told


@dataclass(slots=True)
class Rule:
    """Figures of the rules that doors share, from the settings."""

    quota: QuotaRule = field(default_factory=QuotaRule)
    retry_ratio: float = 0.2
    retry_slack: float = 62.0
    retry_window: float = 10.0


@dataclass(slots=True)
class Asked:
    """A client's try whose route and key are known; `left` is what it and its route will wait, in seconds."""

    request: int
    route: Route
    tenant: Tenant | None
    left: float


@dataclass(slots=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True)
class Deny:
    """The tenant is beyond its quota."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Lease:
    """A call to the tenant's counter."""

    call: Call


@dataclass(slots=True)
class Leave:
    """Wait no longer for this try's server: the request goes to another, whose place is sure."""

    request: int
    attempt: int


@dataclass(slots=True)
class Job:
    request: int
    route: Route
    service: str
    tenant: Tenant | None
    end: float
    tried: set[int] = field(default_factory=set)
    sent: int = 0
    out: int = 0
    may_have_run: bool = False
    look: float = math.inf  # when it is looked whether it should be tried elsewhere
    allowed: bool = False  # one more try is taken from the allowance already


@dataclass(slots=True)
class Told:
    limits: i.Limits


class Forager:
    """Decides for one door.  `word`, `listed` and `close` bring it news; `handle` takes a request's events."""

    def __init__(self, rule: Rule, fleet: Fleet, seed: int) -> None:
        self.rule, self.fleet = rule, fleet
        self.random = random.Random(seed)
        self.credits = Credits(rule.quota)
        self.allowances: dict[str, Allowance] = {}
        self.jobs: dict[int, Job] = {}
        self.actions: list[i.Action] = []
        self.closed: frozenset[str] = frozenset()
        self.word: Word | None = None
        self.fresh_until = 0.0  # keyed requests are let in until then
        self.doors = 1  # that share the allowance
        self.leaving = False  # this door ends soon: what a server is at work on is waited for
        self.list_known = True  # the list of servers is as new as the rules want it
        self.on_old_list = 0  # requests that went to a server while it was not
        self.ends: Counter[str] = Counter()  # requests that were not served, by why
        self.settings = Told(i.Limits(8, True, True, False, True, 30.0, 0.3))
        self.now = 0.0

    # --- news --------------------------------------------------------------------------------------

    def take_word(self, word: Word) -> None:
        self.word = word
        names = {route.name for routes in word.routes.values() for route in routes}
        for name in self.fleet.usual.keys() - names:
            del self.fleet.usual[name]
        for service in self.allowances.keys() - word.services.keys():
            del self.allowances[service]

    def cold_times(self) -> dict[str, float]:
        services = self.word.services if self.word is not None else {}
        return {name: service.cold_time + FIRST for name, service in services.items()}

    def listed(self, now: float, service: str, servers: Iterable[ServerEntry]) -> list[Server]:
        return self.fleet.listed(now, service, servers, self.cold_times().get(service, 0.0))

    def close(self, now: float, zones: frozenset[str]) -> None:
        """The zones whose servers get nothing from now on; one that is taken back comes back cold."""
        for zone in self.closed - zones:
            self.fleet.chill(now, zone, self.cold_times())
        self.closed = zones

    # --- events ------------------------------------------------------------------------------------

    def handle(self, now: float, event: object) -> list[i.Action]:
        self.now, self.actions = now, []
        match event:
            case Asked():
                self.asked(event)
            case i.Finished():
                self.finished(event)
            case i.Left():
                self.gone(event.request)
            case Granted():
                self.credits.granted(now, event)
            case Lapsed():
                self.credits.lapsed(now, event.tenant)
            case Tick():
                self.credits.tick(now)
                self.fleet.forget(now)
                self.hurry()
            case i.UnderWay():
                self.jobs.pop(event.request, None)
            case _:
                pass
        self.settle()
        return self.actions

    def settle(self) -> None:
        """What the credits have decided is carried out."""
        credits = self.credits
        while credits.verdicts or credits.calls:
            calls, credits.calls = credits.calls, []
            self.actions += [Lease(call) for call in calls]  # type: ignore[misc]
            verdicts, credits.verdicts = credits.verdicts, []
            for verdict in verdicts:
                job = self.jobs.get(verdict.request)
                if job is None:
                    continue
                if verdict.granted:
                    self.dispatch(job)
                elif verdict.over:
                    self.end(job, Deny(job.request, verdict.retry_after), "quota")
                else:
                    self.end(job, i.Refuse(job.request, verdict.retry_after), "no_counter")

    def asked(self, event: Asked) -> None:
        route, tenant = event.route, event.tenant
        service = route.service(self.random.random())
        job = Job(event.request, route, service, tenant, self.now + event.left)
        self.jobs[job.request] = job
        self.allowance(service).request(self.now)
        if not route.open and self.now > self.fresh_until:
            self.end(job, i.Refuse(job.request, AGAIN), "stale")  # its key may be gone
        elif not self.any_server(job):
            self.end(job, i.Refuse(job.request, AGAIN), "no_server")
        elif tenant is not None and tenant.rate > 0:
            self.credits.take(self.now, tenant.name, tenant.rate, tenant.burst, job.request, self.doors)
        else:
            self.dispatch(job)

    def allowance(self, service: str) -> Allowance:
        found = self.allowances.get(service)
        if found is None:
            rule = self.rule
            found = Allowance(rule.retry_ratio, rule.retry_slack, rule.retry_window)
            self.allowances[service] = found
        return found

    def homes(self, job: Job) -> frozenset[str]:
        """Regions that may serve it; empty means all, as nobody asks where none is named."""
        tenant = job.tenant.homes if job.tenant is not None else frozenset()
        if job.route.homes and tenant:
            return job.route.homes & tenant or frozenset(("",))  # both bind: none is left
        return job.route.homes or tenant

    def any_server(self, job: Job) -> bool:
        found = self.fleet.usable(self.now, job.service, self.homes(job), self.closed, job.tried)
        return next(found, None) is not None

    def pick(self, job: Job) -> tuple[Server | None, float]:
        upload = job.route.kind == "upload"
        start = START * job.route.aim
        return self.fleet.choose(
            self.now, job.service, job.route.name, start, self.homes(job), upload, self.closed, job.tried
        )

    def dispatch(self, job: Job) -> None:
        """To the best server, or refused at once where its time would not do."""
        server, expected = self.pick(job)
        left = job.end - self.now
        if server is None or left < LEAST_LEFT or expected > left:
            self.give_up(job)
            return
        self.on_old_list += not self.list_known
        job.tried.add(server.number)
        job.sent += 1
        job.out += 1
        server.out += 1
        job.look = math.inf
        if job.route.repeatable and job.sent < job.route.attempts:
            job.look = self.now + max(PATIENCE * expected, PATIENCE_AIM * job.route.aim)
        self.actions.append(i.Send(job.request, server.number, 0.0))

    def hurry(self) -> None:
        """Repeatable requests whose server takes long are taken elsewhere, where another server and the allowance
        have a place; otherwise the server goes on, as breaking its work off would leave no answer at all.
        """
        if self.leaving:
            return
        for job in [job for job in self.jobs.values() if job.look <= self.now]:
            server, expected = self.pick(job)
            place = server is not None and max(LEAST_LEFT, expected) < job.end - self.now
            if place and self.allowance(job.service).take(self.now, self.doors):
                job.look, job.allowed = math.inf, True
                self.actions.append(Leave(job.request, job.sent - 1))  # type: ignore[arg-type]
            else:
                job.look = self.now + LOOK

    def give_up(self, job: Job) -> None:
        """No server any more: an answer that promises nothing where it may have run."""
        if job.out:
            return
        if job.may_have_run:
            self.end(job, i.Fail(job.request), "failed")
        else:
            self.end(job, i.Refuse(job.request, AGAIN), "not_run")

    def end(self, job: Job, action: object, why: str) -> None:
        self.ends[why] += 1
        self.actions.append(action)  # type: ignore[arg-type]
        self.jobs.pop(job.request, None)

    def gone(self, request: int) -> None:
        """The client has gone.  A server need not finish what may be repeated; what may not goes on to its end."""
        job = self.jobs.pop(request, None)
        if job is not None and job.out and job.route.repeatable:
            self.actions.append(i.Cancel(request, job.sent - 1))

    def finished(self, event: i.Finished) -> None:
        server, job = self.fleet.servers.get(event.backend), self.jobs.get(event.request)
        if server is not None:
            server.out = max(0, server.out - 1)
            if event.outcome is Outcome.OK and job is not None:
                self.fleet.heard(self.now, server, job.route.name, event.spent, event.report)
            elif event.outcome is Outcome.FULL:
                self.fleet.full(self.now, server)
            elif event.outcome in FAILURES:
                self.fleet.failed(self.now, server)
        if job is None:
            return
        job.out -= 1
        if event.closed:
            self.jobs.pop(job.request, None)
            return
        if not event.outcome.never_ran:
            job.may_have_run = True
        again = (
            event.again
            and (job.route.repeatable or not job.may_have_run)
            and job.sent < job.route.attempts
            and job.end - self.now > LEAST_LEFT
        )
        job.look, allowed, job.allowed = math.inf, job.allowed, False
        if again and not job.out and (allowed or self.allowance(job.service).take(self.now, self.doors)):
            self.dispatch(job)
        else:
            self.give_up(job)
