"""The decisions on requests: which are admitted, which server gets them, and whether they are retried.

The router does no I/O and reads no clock: :meth:`RequestRouter.handle` takes an event and the time, and returns
instructions for the host to carry out in order.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from random import Random

from hazelspring.admission.interface import (
    Action,
    Cancel,
    Fail,
    Finished,
    Left,
    Limits,
    Outcome,
    Refuse,
    Send,
    UnderWay,
)
from hazelspring.configuration.model import Configuration
from hazelspring.quota.credits import AdmissionVerdict, CounterUnavailable, CreditLeases, CreditsGranted
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoint import Endpoint
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.events import (
    AbandonAttempt,
    LeaseCredits,
    RejectOverQuota,
    RequestArrived,
    RouterInstruction,
    TimerTick,
)
from hazelspring.routing.pending_request import MIN_TIME_LEFT, PendingRequest
from hazelspring.routing.retry_budget import RetryBudget
from hazelspring.routing.shared_limits import RouterSettings, SharedLimits
from hazelspring.routing.unserved_reason import UnservedReason

REJECTED_RETRY_AFTER = (
    0.25  # seconds after which a request rejected for lack of servers or news may come again
)
HEDGE_LATENCY_FACTOR = 3.0  # times the expected time after which an idempotent request is tried elsewhere,
HEDGE_MIN_TARGET_PART = 0.5  # but not before this part of its latency target
# Seconds until it is checked again whether it may be: servers and the retry budget seldom come back sooner.
HEDGE_CHECK_INTERVAL = 0.25
SLOW_START_MARGIN = 0.75  # seconds of a server's slow start beyond what the server is told
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
# What the host checks instructions against, whatever a route allows; times in seconds.
ROUTER_LIMITS = Limits(
    max_attempts=8,
    second_copies=True,
    cancel=True,
    probes=False,
    retry_after=True,
    max_retry_after=30.0,
    connect_timeout=0.3,
)


class RequestRouter:
    """Decides on the requests of one node.

    Parameters
    ----------
    limits : SharedLimits
        Limits that hold over all nodes together.
    fleet : EndpointSet
        The servers.
    seed : int
        The seed of the draws by which a route's requests are split between services.
    """

    def __init__(self, limits: SharedLimits, fleet: EndpointSet, seed: int) -> None:
        self.limits = limits
        self.fleet = fleet
        self.random = Random(seed)
        self.credits = CreditLeases(limits.quota)
        self.retry_budgets: dict[str, RetryBudget] = {}  # by service
        self.pending: dict[int, PendingRequest] = {}
        self.actions: list[Action] = []  # what the last event has brought about so far
        self.evacuated_zones: frozenset[str] = frozenset()
        self.configuration: Configuration | None = None
        self.fresh_until = 0.0  # when the configuration is too old to admit requests with access keys
        self.node_count = 1  # nodes that share the limits; 0 where it is not known
        self.leaving = False  # this node ends soon: what a server is at work on is waited for
        self.list_known = True  # the server list is as recent as the limits want it
        self.requests_on_stale_list = 0  # attempts that were sent while it was not
        self.ends: Counter[str] = Counter()  # requests that were not served, by UnservedReason
        self.settings = RouterSettings(ROUTER_LIMITS)
        self.now = 0.0

    # What the node learns.

    def use_configuration(self, configuration: Configuration) -> None:
        """Use a configuration from now on, and drop what was learned of routes and services that it lacks."""
        self.configuration = configuration
        names = {route.name for routes in configuration.routes_by_host.values() for route in routes}
        for name in self.fleet.route_latencies.keys() - names:
            del self.fleet.route_latencies[name]
        for service in self.retry_budgets.keys() - configuration.services.keys():
            del self.retry_budgets[service]

    def slow_start_times(self) -> dict[str, float]:
        """Return for how many seconds the new servers of each service get no requests."""
        services = self.configuration.services if self.configuration is not None else {}
        return {name: service.slow_start_time + SLOW_START_MARGIN for name, service in services.items()}

    def update_endpoints(self, now: float, service: str, servers: Iterable[ServerEntry]) -> list[Endpoint]:
        """Replace the servers of a service; return those that are gone."""
        return self.fleet.update_endpoints(now, service, servers, self.slow_start_times().get(service, 0.0))

    def set_evacuated_zones(self, now: float, zones: frozenset[str]) -> None:
        """Send nothing to the servers of these zones; those of zones that are no longer evacuated start slowly."""
        for zone in self.evacuated_zones - zones:
            self.fleet.begin_slow_start(now, zone, self.slow_start_times())
        self.evacuated_zones = zones

    # Events.

    def handle(self, now: float, event: object) -> list[Action]:
        """Handle an event; return what is to be done, which ``actions`` holds meanwhile.

        Events of other kinds change nothing.
        """
        self.now = now
        self.actions = []
        match event:
            case RequestArrived():
                self.on_request(event)
            case Finished():
                self.on_attempt_finished(event)
            case Left():
                self.on_client_gone(event.request)
            case CreditsGranted():
                self.credits.on_granted(now, event)
            case CounterUnavailable():
                self.credits.on_counter_unavailable(now, event.tenant)
            case TimerTick():
                self.on_tick()
            case UnderWay():
                self.pending.pop(event.request, None)
            case _:
                pass
        self.apply_verdicts()
        return self.actions

    def on_request(self, event: RequestArrived) -> None:
        """Choose the request's service, and admit it, reject it or ask for a credit."""
        service = event.route.pick_service(self.random.random())
        deadline = self.now + event.time_left
        pending = PendingRequest(event.request, event.route, service, event.tenant, deadline)
        self.pending[pending.request] = pending
        self.retry_budget(service).record_request(self.now)
        self.admit(pending)

    def on_attempt_finished(self, event: Finished) -> None:
        """Learn from an attempt's outcome, and retry its request or end it where it still waits for an answer."""
        pending = self.pending.get(event.request)
        server = self.fleet.servers.get(event.backend)
        if server is not None:
            self.record_outcome(server, pending, event)
        if pending is None:
            return
        pending.attempts_in_flight -= 1
        if event.closed:
            del self.pending[event.request]
            return
        if not event.outcome.never_ran:
            pending.may_have_run = True
        self.retry_or_give_up(pending, event.again)

    def on_client_gone(self, request: int) -> None:
        """Cancel the attempt of a client that has gone, where it may be repeated.

        A write goes on to its end: breaking it off would leave it unknown whether it has run.
        """
        pending = self.pending.pop(request, None)
        if pending is not None and pending.attempts_in_flight and pending.route.idempotent:
            self.actions.append(Cancel(request, pending.attempts_sent - 1))

    def on_tick(self) -> None:
        """Check timeouts and lifetimes."""
        self.credits.tick(self.now)
        self.fleet.expire_load_reports(self.now)
        self.abandon_slow_attempts()

    # Admission.

    def admit(self, pending: PendingRequest) -> None:
        """Send a request that has arrived, reject it, or ask for a credit of its tenant's quota.

        A request with an access key is rejected where the configuration is not known to be recent, as its key may
        have been revoked.  One that no server may take is rejected before it costs its tenant a credit.
        """
        tenant = pending.tenant
        if not pending.route.open_access and self.now > self.fresh_until:
            self.reject(pending, REJECTED_RETRY_AFTER, UnservedReason.STALE_CONFIGURATION)
        elif not self.has_candidate(pending):
            self.reject(pending, REJECTED_RETRY_AFTER, UnservedReason.NO_SERVER)
        elif tenant is not None and tenant.rate > 0:
            self.credits.request_credit(
                self.now, tenant.name, tenant.rate, tenant.burst, pending.request, self.node_count
            )
        else:
            self.dispatch(pending)

    def apply_verdicts(self) -> None:
        """Make the calls to counters that the leases want, and carry out what they decided on requests."""
        leases = self.credits
        while leases.verdicts or leases.calls:
            calls, leases.calls = leases.calls, []
            for call in calls:
                self.instruct(LeaseCredits(call))
            verdicts, leases.verdicts = leases.verdicts, []
            for verdict in verdicts:
                pending = self.pending.get(verdict.request)
                if pending is not None:
                    self.apply_verdict(pending, verdict)

    def apply_verdict(self, pending: PendingRequest, verdict: AdmissionVerdict) -> None:
        """Send a request that got a credit; answer 429 beyond the quota, and 503 where no counter answered.

        The two differ in what they promise: a tenant within its quota is not told that it is beyond it.
        """
        if verdict.admitted:
            self.dispatch(pending)
        elif verdict.over_quota:
            self.end(pending, UnservedReason.OVER_QUOTA)
            self.instruct(RejectOverQuota(pending.request, verdict.retry_after))
        else:
            self.reject(pending, verdict.retry_after, UnservedReason.NO_COUNTER)

    # Attempts.

    def has_candidate(self, pending: PendingRequest) -> bool:
        """Return whether any server may take a request."""
        candidates = self.fleet.candidates(
            self.now, pending.service, pending.home_regions(), self.evacuated_zones, pending.tried_servers
        )
        return next(candidates, None) is not None

    def choose_endpoint(self, pending: PendingRequest) -> tuple[Endpoint | None, float]:
        """Return the best server for a request, if there is any, and the seconds it would take there."""
        return self.fleet.choose(
            self.now,
            pending.service,
            pending.route.name,
            pending.initial_latency(),
            pending.home_regions(),
            pending.is_upload(),
            self.evacuated_zones,
            pending.tried_servers,
        )

    def dispatch(self, pending: PendingRequest) -> None:
        """Send a request to the best server, or give it up at once where the time left would not do."""
        server, expected = self.choose_endpoint(pending)
        time_left = pending.time_left(self.now)
        if server is None or time_left < MIN_TIME_LEFT or expected > time_left:
            self.give_up(pending)
            return
        if not self.list_known:
            self.requests_on_stale_list += 1
        pending.tried_servers.add(server.number)
        pending.attempts_sent += 1
        pending.attempts_in_flight += 1
        server.in_flight += 1
        server.sent_at = self.now
        pending.hedge_check_at = self.first_hedge_check(pending, expected)
        self.actions.append(Send(pending.request, server.number, 0.0))

    def record_outcome(self, server: Endpoint, pending: PendingRequest | None, event: Finished) -> None:
        """Learn from an attempt's outcome what its server is worth.

        Outcomes that say nothing of the server, such as a cancellation, are not counted.
        """
        server.in_flight = max(0, server.in_flight - 1)
        if event.outcome is Outcome.OK and pending is not None:
            self.fleet.on_success(self.now, server, pending.route.name, event.spent, event.report)
        elif event.outcome is Outcome.FULL:
            self.fleet.on_overloaded(self.now, server)
        elif event.outcome in FAILURES:
            self.fleet.on_failure(self.now, server)

    # Retries and hedging.

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this node's retry budget for a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            limits = self.limits
            budget = RetryBudget(limits.retry_ratio, limits.retry_slack, limits.retry_window)
            self.retry_budgets[service] = budget
        return budget

    def spend_retry(self, pending: PendingRequest) -> bool:
        """Take a retry from the budget; return whether there was one."""
        return self.retry_budget(pending.service).try_spend(self.now, self.node_count)

    def retry_or_give_up(self, pending: PendingRequest, resendable: bool) -> None:
        """Send a request whose attempt has failed to another server, where that is safe and within the budget.

        ``resendable`` says whether all of its body is still held.  See :meth:`PendingRequest.may_retry` for what is
        safe.  A retry that hedging has reserved is in the budget already.
        """
        reserved = pending.retry_reserved
        pending.retry_reserved = False
        pending.hedge_check_at = math.inf
        allowed = resendable and not pending.attempts_in_flight and pending.may_retry(self.now)
        if allowed and (reserved or self.spend_retry(pending)):
            self.dispatch(pending)
        else:
            self.give_up(pending)

    def first_hedge_check(self, pending: PendingRequest, expected: float) -> float:
        """Return when the attempt that is sent now, expected to take so many seconds, counts as slow."""
        if not pending.may_hedge():
            return math.inf
        least = HEDGE_MIN_TARGET_PART * pending.route.latency_target
        return self.now + max(HEDGE_LATENCY_FACTOR * expected, least)

    def abandon_slow_attempts(self) -> None:
        """Take idempotent requests whose server takes long to another server.

        Only where another server and the retry budget have room for it: otherwise the server goes on, as breaking
        its work off would leave no answer at all.  For the same reason nothing is broken off once this node leaves.
        """
        if self.leaving:
            return
        due = [pending for pending in self.pending.values() if pending.hedge_check_at <= self.now]
        for pending in due:
            if self.has_time_elsewhere(pending) and self.spend_retry(pending):
                pending.hedge_check_at = math.inf
                pending.retry_reserved = True
                self.instruct(AbandonAttempt(pending.request, pending.attempts_sent - 1))
            else:
                pending.hedge_check_at = self.now + HEDGE_CHECK_INTERVAL

    def has_time_elsewhere(self, pending: PendingRequest) -> bool:
        """Return whether another server could answer a request before its deadline."""
        server, expected = self.choose_endpoint(pending)
        return server is not None and max(MIN_TIME_LEFT, expected) < pending.time_left(self.now)

    # Ends.

    def give_up(self, pending: PendingRequest) -> None:
        """End a request that gets no further attempt, once none is in flight.

        Only where no attempt can have run is the client promised, by 503, that it may repeat the request.
        """
        if pending.attempts_in_flight:
            return
        if pending.may_have_run:
            self.end(pending, UnservedReason.FAILED)
            self.actions.append(Fail(pending.request))
        else:
            self.reject(pending, REJECTED_RETRY_AFTER, UnservedReason.NOT_RUN)

    def reject(self, pending: PendingRequest, retry_after: float, reason: UnservedReason) -> None:
        """Answer 503, which promises that the request did not run, with a time in seconds to come back."""
        self.end(pending, reason)
        self.actions.append(Refuse(pending.request, retry_after))

    def end(self, pending: PendingRequest, reason: UnservedReason) -> None:
        """Forget a request that is not served, and count why."""
        self.ends[reason] += 1
        self.pending.pop(pending.request, None)

    def instruct(self, instruction: RouterInstruction) -> None:
        """Add an instruction that only this router's host knows, beyond those of the interface of all hosts."""
        self.actions.append(instruction)  # type: ignore[arg-type]
