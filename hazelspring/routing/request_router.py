"""Decides on requests: who is let in, which server gets them, further tries.  Events in, actions out."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hazelspring.configuration.model import Configuration, Route, Tenant
from hazelspring.quota.credits import CounterCall, CounterUnavailable, CreditLeases, CreditsGranted
from hazelspring.quota.limits import QuotaLimits
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoints import Endpoint, EndpointSet
from hazelspring.routing.retry_budget import RetryBudget
from orchidhill import interface as i
from orchidhill.interface import Outcome

REJECTED_RETRY_AFTER = 0.25  # seconds after which who was refused for want of servers or news may come again
MIN_TIME_LEFT = 0.05  # seconds: with less, nothing is sent any more
HEDGE_LATENCY_FACTOR = 3.0  # times the expected time after which a repeatable request is tried elsewhere,
HEDGE_MIN_TARGET_PART = 0.5  # but not before this part of its aim
# seconds until it is looked again whether it may be: servers and the retry budget seldom come back sooner
HEDGE_CHECK_INTERVAL = 0.25
INITIAL_LATENCY_PART = 0.5  # part of its aim that a route's requests are taken to need before one was seen
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
SLOW_START_MARGIN = 0.75  # seconds for a cold server's time to pass, beyond what it is told


@dataclass(slots=True)
class SharedLimits:
    """Figures of the rules that doors share, from the settings."""

    quota: QuotaLimits = field(default_factory=QuotaLimits)
    retry_ratio: float = 0.2
    retry_slack: float = 62.0
    retry_window: float = 10.0


@dataclass(slots=True)
class RequestArrived:
    """A client's try whose route and key are known; `left` is what it and its route will wait, in seconds."""

    request: int
    route: Route
    tenant: Tenant | None
    time_left: float


@dataclass(slots=True)
class TimerTick:
    """Time has passed."""


@dataclass(slots=True)
class RejectOverQuota:
    """The tenant is beyond its quota."""

    request: int
    retry_after: float


@dataclass(slots=True)
class LeaseCredits:
    """A call to the tenant's counter."""

    call: CounterCall


@dataclass(slots=True)
class AbandonAttempt:
    """Wait no longer for this try's server: the request goes to another, whose place is sure."""

    request: int
    attempt: int


@dataclass(slots=True)
class PendingRequest:
    request: int
    route: Route
    service: str
    tenant: Tenant | None
    deadline: float
    tried_servers: set[int] = field(default_factory=set)
    attempts_sent: int = 0
    attempts_in_flight: int = 0
    may_have_run: bool = False
    hedge_check_at: float = math.inf  # when it is looked whether it should be tried elsewhere
    retry_reserved: bool = False  # one more try is taken from the allowance already


@dataclass(slots=True)
class RouterSettings:
    limits: i.Limits


class RequestRouter:
    """Decides for one door.  `word`, `listed` and `close` bring it news; `handle` takes a request's events."""

    def __init__(self, rule: SharedLimits, fleet: EndpointSet, seed: int) -> None:
        self.limits, self.fleet = rule, fleet
        self.random = random.Random(seed)
        self.credits = CreditLeases(rule.quota)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.actions: list[i.Action] = []
        self.evacuated_zones: frozenset[str] = frozenset()
        self.configuration: Configuration | None = None
        self.fresh_until = 0.0  # keyed requests are let in until then
        self.node_count = 1  # that share the allowance
        self.leaving = False  # this door ends soon: what a server is at work on is waited for
        self.list_known = True  # the list of servers is as new as the rules want it
        self.requests_on_stale_list = 0  # requests that went to a server while it was not
        self.ends: Counter[str] = Counter()  # requests that were not served, by why
        self.settings = RouterSettings(i.Limits(8, True, True, False, True, 30.0, 0.3))
        self.now = 0.0

    # --- news --------------------------------------------------------------------------------------

    def use_configuration(self, word: Configuration) -> None:
        self.configuration = word
        names = {route.name for routes in word.routes_by_host.values() for route in routes}
        for name in self.fleet.route_latencies.keys() - names:
            del self.fleet.route_latencies[name]
        for service in self.retry_budgets.keys() - word.services.keys():
            del self.retry_budgets[service]

    def slow_start_times(self) -> dict[str, float]:
        services = self.configuration.services if self.configuration is not None else {}
        return {name: service.slow_start_time + SLOW_START_MARGIN for name, service in services.items()}

    def update_endpoints(self, now: float, service: str, servers: Iterable[ServerEntry]) -> list[Endpoint]:
        return self.fleet.update_endpoints(now, service, servers, self.slow_start_times().get(service, 0.0))

    def set_evacuated_zones(self, now: float, zones: frozenset[str]) -> None:
        """The zones whose servers get nothing from now on; one that is taken back comes back cold."""
        for zone in self.evacuated_zones - zones:
            self.fleet.begin_slow_start(now, zone, self.slow_start_times())
        self.evacuated_zones = zones

    # --- events ------------------------------------------------------------------------------------

    def handle(self, now: float, event: object) -> list[i.Action]:
        self.now, self.actions = now, []
        match event:
            case RequestArrived():
                self.on_request(event)
            case i.Finished():
                self.on_attempt_finished(event)
            case i.Left():
                self.on_client_gone(event.request)
            case CreditsGranted():
                self.credits.on_granted(now, event)
            case CounterUnavailable():
                self.credits.on_counter_unavailable(now, event.tenant)
            case TimerTick():
                self.credits.tick(now)
                self.fleet.expire_load_reports(now)
                self.abandon_slow_attempts()
            case i.UnderWay():
                self.pending.pop(event.request, None)
            case _:
                pass
        self.apply_verdicts()
        return self.actions

    def apply_verdicts(self) -> None:
        """What the credits have decided is carried out."""
        credits = self.credits
        while credits.verdicts or credits.calls:
            calls, credits.calls = credits.calls, []
            self.actions += [LeaseCredits(call) for call in calls]  # type: ignore[misc]
            verdicts, credits.verdicts = credits.verdicts, []
            for verdict in verdicts:
                job = self.pending.get(verdict.request)
                if job is None:
                    continue
                if verdict.admitted:
                    self.dispatch(job)
                elif verdict.over_quota:
                    self.end(job, RejectOverQuota(job.request, verdict.retry_after), "quota")
                else:
                    self.end(job, i.Refuse(job.request, verdict.retry_after), "no_counter")

    def on_request(self, event: RequestArrived) -> None:
        route, tenant = event.route, event.tenant
        service = route.pick_service(self.random.random())
        job = PendingRequest(event.request, route, service, tenant, self.now + event.time_left)
        self.pending[job.request] = job
        self.retry_budget(service).record_request(self.now)
        if not route.open_access and self.now > self.fresh_until:
            self.end(job, i.Refuse(job.request, REJECTED_RETRY_AFTER), "stale")  # its key may be gone
        elif not self.any_server(job):
            self.end(job, i.Refuse(job.request, REJECTED_RETRY_AFTER), "no_server")
        elif tenant is not None and tenant.rate > 0:
            self.credits.request_credit(
                self.now, tenant.name, tenant.rate, tenant.burst, job.request, self.node_count
            )
        else:
            self.dispatch(job)

    def retry_budget(self, service: str) -> RetryBudget:
        found = self.retry_budgets.get(service)
        if found is None:
            rule = self.limits
            found = RetryBudget(rule.retry_ratio, rule.retry_slack, rule.retry_window)
            self.retry_budgets[service] = found
        return found

    def homes(self, job: PendingRequest) -> frozenset[str]:
        """Regions that may serve it; empty means all, as nobody asks where none is named."""
        tenant = job.tenant.home_regions if job.tenant is not None else frozenset()
        if job.route.home_regions and tenant:
            return job.route.home_regions & tenant or frozenset(("",))  # both bind: none is left
        return job.route.home_regions or tenant

    def any_server(self, job: PendingRequest) -> bool:
        found = self.fleet.candidates(
            self.now, job.service, self.homes(job), self.evacuated_zones, job.tried_servers
        )
        return next(found, None) is not None

    def choose_endpoint(self, job: PendingRequest) -> tuple[Endpoint | None, float]:
        upload = job.route.kind == "upload"
        start = INITIAL_LATENCY_PART * job.route.latency_target
        return self.fleet.choose(
            self.now,
            job.service,
            job.route.name,
            start,
            self.homes(job),
            upload,
            self.evacuated_zones,
            job.tried_servers,
        )

    def dispatch(self, job: PendingRequest) -> None:
        """To the best server, or refused at once where its time would not do."""
        server, expected = self.choose_endpoint(job)
        left = job.deadline - self.now
        if server is None or left < MIN_TIME_LEFT or expected > left:
            self.give_up(job)
            return
        self.requests_on_stale_list += not self.list_known
        job.tried_servers.add(server.number)
        job.attempts_sent += 1
        job.attempts_in_flight += 1
        server.in_flight += 1
        job.hedge_check_at = math.inf
        if job.route.idempotent and job.attempts_sent < job.route.max_attempts:
            job.hedge_check_at = self.now + max(
                HEDGE_LATENCY_FACTOR * expected, HEDGE_MIN_TARGET_PART * job.route.latency_target
            )
        self.actions.append(i.Send(job.request, server.number, 0.0))

    def abandon_slow_attempts(self) -> None:
        """Repeatable requests whose server takes long are taken elsewhere, where another server and the allowance
        have a place; otherwise the server goes on, as breaking its work off would leave no answer at all.
        """
        if self.leaving:
            return
        for job in [job for job in self.pending.values() if job.hedge_check_at <= self.now]:
            server, expected = self.choose_endpoint(job)
            place = server is not None and max(MIN_TIME_LEFT, expected) < job.deadline - self.now
            if place and self.retry_budget(job.service).try_spend(self.now, self.node_count):
                job.hedge_check_at, job.retry_reserved = math.inf, True
                self.actions.append(AbandonAttempt(job.request, job.attempts_sent - 1))  # type: ignore[arg-type]
            else:
                job.hedge_check_at = self.now + HEDGE_CHECK_INTERVAL

    def give_up(self, job: PendingRequest) -> None:
        """No server any more: an answer that promises nothing where it may have run."""
        if job.attempts_in_flight:
            return
        if job.may_have_run:
            self.end(job, i.Fail(job.request), "failed")
        else:
            self.end(job, i.Refuse(job.request, REJECTED_RETRY_AFTER), "not_run")

    def end(self, job: PendingRequest, action: object, why: str) -> None:
        self.ends[why] += 1
        self.actions.append(action)  # type: ignore[arg-type]
        self.pending.pop(job.request, None)

    def on_client_gone(self, request: int) -> None:
        """The client has gone.  A server need not finish what may be repeated; what may not goes on to its end."""
        job = self.pending.pop(request, None)
        if job is not None and job.attempts_in_flight and job.route.idempotent:
            self.actions.append(i.Cancel(request, job.attempts_sent - 1))

    def on_attempt_finished(self, event: i.Finished) -> None:
        server, job = self.fleet.servers.get(event.backend), self.pending.get(event.request)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            if event.outcome is Outcome.OK and job is not None:
                self.fleet.on_success(self.now, server, job.route.name, event.spent, event.report)
            elif event.outcome is Outcome.FULL:
                self.fleet.on_overloaded(self.now, server)
            elif event.outcome in FAILURES:
                self.fleet.on_failure(self.now, server)
        if job is None:
            return
        job.attempts_in_flight -= 1
        if event.closed:
            self.pending.pop(job.request, None)
            return
        if not event.outcome.never_ran:
            job.may_have_run = True
        again = (
            event.again
            and (job.route.idempotent or not job.may_have_run)
            and job.attempts_sent < job.route.max_attempts
            and job.deadline - self.now > MIN_TIME_LEFT
        )
        job.hedge_check_at, allowed, job.retry_reserved = math.inf, job.retry_reserved, False
        if (
            again
            and not job.attempts_in_flight
            and (allowed or self.retry_budget(job.service).try_spend(self.now, self.node_count))
        ):
            self.dispatch(job)
        else:
            self.give_up(job)
