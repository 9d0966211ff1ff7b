"""Decides which requests are admitted, which server each one is sent to, and whether it is retried.

The router does no I/O and reads no clock: :meth:`RequestRouter.handle` takes an event and the time, and
returns instructions for the host to carry out in order.
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

# Seconds after which a client may retry a request that was rejected because there was no server, or no
# recent configuration.
REJECTED_RETRY_AFTER = 0.25
# An attempt of an idempotent request is slow if it takes longer than this multiple of its expected duration.
HEDGE_LATENCY_FACTOR = 3.0
# No attempt is slow before this fraction of the route's latency target.
HEDGE_MIN_TARGET_FRACTION = 0.5
# Seconds until a slow attempt is checked again: servers and the retry budget seldom become available sooner.
HEDGE_CHECK_INTERVAL = 0.25
SLOW_START_MARGIN = 0.75  # seconds added to the slow start time that is announced to the server
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
# Limits that the host enforces on all instructions, whatever a route allows; times in seconds.
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
    endpoints : EndpointSet
        The servers that this node knows.
    seed : int
        The seed of the random split of a route's requests between services.
    """

    def __init__(self, limits: SharedLimits, endpoints: EndpointSet, seed: int) -> None:
        self.limits = limits
        self.endpoints = endpoints
        self.random = Random(seed)
        self.credits = CreditLeases(limits.quota)
        self.retry_budgets: dict[str, RetryBudget] = {}  # by service
        self.pending: dict[int, PendingRequest] = {}
        self.actions: list[Action] = []  # instructions that result from the current event so far
        self.evacuated_zones: frozenset[str] = frozenset()
        self.configuration: Configuration | None = None
        # Time until which the configuration is recent enough to admit requests with access keys.
        self.fresh_until = 0.0
        self.node_count = 1  # number of nodes that share the limits; 0 if it is not known
        self.shutting_down = False  # whether this node shuts down soon: it then waits for attempts in flight
        self.server_list_is_fresh = True  # whether the server list is as recent as the limits require
        self.requests_on_stale_list = 0  # attempts sent while ``list_known`` was false
        self.unserved_counts: Counter[str] = Counter()  # number of requests not served, by UnservedReason
        self.settings = RouterSettings(ROUTER_LIMITS)
        self.now = 0.0

    # Updates of the configuration, the servers and the zones.

    def use_configuration(self, configuration: Configuration) -> None:
        """Use a configuration from now on.

        The latencies of routes and the retry budgets of services that it doesn't contain are dropped.
        """
        self.configuration = configuration
        names = {route.name for routes in configuration.routes_by_host.values() for route in routes}
        for name in self.endpoints.route_latencies.keys() - names:
            del self.endpoints.route_latencies[name]
        for service in self.retry_budgets.keys() - configuration.services.keys():
            del self.retry_budgets[service]

    def slow_start_times(self) -> dict[str, float]:
        """Return, by service, the seconds for which a new server gets no requests."""
        services = self.configuration.services if self.configuration is not None else {}
        return {name: service.slow_start_time + SLOW_START_MARGIN for name, service in services.items()}

    def update_endpoints(self, now: float, service: str, servers: Iterable[ServerEntry]) -> list[Endpoint]:
        """Replace the servers of a service; return those that are no longer listed."""
        return self.endpoints.update_endpoints(
            now, service, servers, self.slow_start_times().get(service, 0.0)
        )

    def set_evacuated_zones(self, now: float, zones: frozenset[str]) -> None:
        """Send no requests to servers in these zones.

        The servers of zones that are no longer evacuated begin a slow start.
        """
        for zone in self.evacuated_zones - zones:
            self.endpoints.begin_slow_start(now, zone, self.slow_start_times())
        self.evacuated_zones = zones

    # Events.

    def handle(self, now: float, event: object) -> list[Action]:
        """Handle an event and return the resulting instructions.

        Events of kinds that the router doesn't know have no effect.
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
        """Choose a service for the request, and admit it, reject it or request a credit for it."""
        service = event.route.pick_service(self.random.random())
        deadline = self.now + event.time_left
        pending = PendingRequest(event.request, event.route, service, event.tenant, deadline)
        self.pending[pending.request] = pending
        self.retry_budget(service).record_request(self.now)
        self.admit(pending)

    def on_attempt_finished(self, event: Finished) -> None:
        """Record an attempt's outcome; retry or end its request if that still waits for a response."""
        pending = self.pending.get(event.request)
        server = self.endpoints.servers.get(event.backend)
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
        """Cancel the attempt in flight for a client that has disconnected, if its route is idempotent.

        A write runs to its end: after a cancellation it would be unknown whether it had run.
        """
        pending = self.pending.pop(request, None)
        if pending is not None and pending.attempts_in_flight and pending.route.idempotent:
            self.actions.append(Cancel(request, pending.attempts_sent - 1))

    def on_tick(self) -> None:
        """Check time-outs of counter calls and slow attempts, and lifetimes of credits and load reports."""
        self.credits.tick(self.now)
        self.endpoints.expire_load_reports(self.now)
        self.abandon_slow_attempts()

    # Admission.

    def admit(self, pending: PendingRequest) -> None:
        """Send a request that has arrived, reject it, or request a credit of its tenant's quota.

        A request with an access key is rejected if the configuration is not known to be recent, as its key
        may have been revoked. A request without a candidate server is rejected before it costs a credit.
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
        """Issue the counter calls that the credit leases require, and apply their verdicts to requests."""
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
        """Send an admitted request; respond with 429 beyond the quota, and with 503 if no counter answered.

        The statuses differ so that a tenant within its quota doesn't get the one for exceeding it.
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
        """Return whether there is any server to which a request may be sent."""
        candidates = self.endpoints.candidates(
            self.now, pending.service, pending.home_regions(), self.evacuated_zones, pending.tried_servers
        )
        return next(candidates, None) is not None

    def choose_endpoint(self, pending: PendingRequest) -> tuple[Endpoint | None, float]:
        """Return the best server for a request, if there is any, and its expected duration in seconds."""
        return self.endpoints.choose(
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
        """Send a request to the best server, or give up at once if the time left would not suffice."""
        server, expected = self.choose_endpoint(pending)
        time_left = pending.time_left(self.now)
        if server is None or time_left < MIN_TIME_LEFT or expected > time_left:
            self.give_up(pending)
            return
        if not self.server_list_is_fresh:
            self.requests_on_stale_list += 1
        pending.tried_servers.add(server.number)
        pending.attempts_sent += 1
        pending.attempts_in_flight += 1
        server.in_flight += 1
        server.sent_at = self.now
        pending.hedge_check_at = self.first_hedge_check(pending, expected)
        self.actions.append(Send(pending.request, server.number, 0.0))

    def record_outcome(self, server: Endpoint, pending: PendingRequest | None, event: Finished) -> None:
        """Update the statistics of the server with an attempt's outcome.

        Outcomes that say nothing about the server, such as a cancellation, are not counted.
        """
        server.in_flight = max(0, server.in_flight - 1)
        if event.outcome is Outcome.OK and pending is not None:
            self.endpoints.on_success(self.now, server, pending.route.name, event.spent, event.report)
        elif event.outcome is Outcome.FULL:
            self.endpoints.on_overloaded(self.now, server)
        elif event.outcome in FAILURES:
            self.endpoints.on_failure(self.now, server)

    # Retries and hedging.

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this node's retry budget for a service; a new one is created if there is none."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            limits = self.limits
            budget = RetryBudget(limits.retry_ratio, limits.retry_slack, limits.retry_window)
            self.retry_budgets[service] = budget
        return budget

    def spend_retry(self, pending: PendingRequest) -> bool:
        """Take one retry from the budget of the request's service; return whether one was available."""
        return self.retry_budget(pending.service).try_spend(self.now, self.node_count)

    def retry_or_give_up(self, pending: PendingRequest, resendable: bool) -> None:
        """After a failed attempt, send the request to another server, if that is safe and within the budget.

        ``resendable`` says whether its complete body is still in memory. :meth:`PendingRequest.may_retry`
        defines what is safe. A retry that hedging has reserved was already taken from the budget.
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
        """Return the time from which an attempt sent now, expected to take ``expected`` seconds, is slow."""
        if not pending.may_hedge():
            return math.inf
        min_delay = HEDGE_MIN_TARGET_FRACTION * pending.route.latency_target
        return self.now + max(HEDGE_LATENCY_FACTOR * expected, min_delay)

    def abandon_slow_attempts(self) -> None:
        """Move idempotent requests whose server is slow to another server.

        An attempt is abandoned only if another server and the retry budget have room for the request.
        Otherwise the node keeps waiting for it, as abandoning it would leave the request without any
        response. For the same reason no attempt is abandoned once this node is shutting down.
        """
        if self.shutting_down:
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
        """Return whether another server is expected to respond to a request before its deadline."""
        server, expected = self.choose_endpoint(pending)
        return server is not None and max(MIN_TIME_LEFT, expected) < pending.time_left(self.now)

    # Requests that are not served.

    def give_up(self, pending: PendingRequest) -> None:
        """End a request that gets no further attempt, once none is in flight.

        The response is 503, which promises the client that it may repeat the request, only if no attempt can
        have run.
        """
        if pending.attempts_in_flight:
            return
        if pending.may_have_run:
            self.end(pending, UnservedReason.FAILED)
            self.actions.append(Fail(pending.request))
        else:
            self.reject(pending, REJECTED_RETRY_AFTER, UnservedReason.NOT_RUN)

    def reject(self, pending: PendingRequest, retry_after: float, reason: UnservedReason) -> None:
        """Respond with 503, which promises that the request did not run, and a retry time in seconds."""
        self.end(pending, reason)
        self.actions.append(Refuse(pending.request, retry_after))

    def end(self, pending: PendingRequest, reason: UnservedReason) -> None:
        """Remove a request that is not served, and count the reason."""
        self.unserved_counts[reason] += 1
        self.pending.pop(pending.request, None)

    def instruct(self, instruction: RouterInstruction) -> None:
        """Add an instruction that is specific to this router, as opposed to those that all hosts know."""
        self.actions.append(instruction)  # type: ignore[arg-type]
