"""A door's credits, a lease a tenant: spent locally, refilled by the counter, dead at the window's edge."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hazelspring.quota.limits import QuotaLimits
from orchidhill.policy.sizing import step

CALL_PRICE = (
    0.25  # of a counter call, in requests: a call costs a wait of one round trip to one request in a batch
)
CALL_TIMEOUT = (
    0.12  # seconds for a call's answer before it is made again; a round trip between regions takes 40 ms
)
MAX_CALL_ATTEMPTS = 3  # of one lease, before its waiters are refused
UNAVAILABLE_RETRY_AFTER = 0.3  # seconds after which who was refused for want of the counter may come again
IDLE_WINDOW_PART = (
    0.5  # part of a window after which credit that nobody spends goes back, where others are short
)
CONTENDED_PART = 0.8  # part of a window's limit from which on others are short
IDLE_LEASE_TIMEOUT = 30.0  # seconds after which an idle lease is dropped


@dataclass(slots=True)
class CreditLease:
    tenant: str
    limit: float  # of one window
    log_batch_size: float  # ln of the batch
    slope: float = 0.0  # sum of squared gradients
    credits: float = 0.0
    expires_at: float = 0.0  # when they die
    served: float = 0.0  # in this window
    granted_part: float = 0.0  # part of the window's limit that is out, as last heard
    denied_until: float = 0.0
    call_in_flight: int = 0  # the number of the call in flight; 0 where there is none
    requested: float = 0.0
    requested_at: float = 0.0
    attempts: int = 0
    last_used_at: float = 0.0
    waiters: deque[int] = field(default_factory=deque)
    reserve: int = 0  # requests that may be let in without a credit in any span
    reserve_used_at: deque[float] = field(default_factory=deque)  # when they were


@dataclass(slots=True, frozen=True)
class CounterCall:
    """To the counter of this tenant; more than 0 units to lease, less to give back."""

    tenant: str
    number: int
    units: float


@dataclass(slots=True, frozen=True)
class CreditsGranted:
    """The counter's answer to a call: units, for how many seconds, and the part of the window's limit that is out."""

    tenant: str
    number: int
    units: float
    lifetime: float
    granted_part: float


@dataclass(slots=True, frozen=True)
class CounterUnavailable:
    """There is no counter for this tenant for now."""

    tenant: str


@dataclass(slots=True, frozen=True)
class AdmissionVerdict:
    """What becomes of a request that asked: let in, or refused with a time to come back."""

    request: int
    admitted: bool
    retry_after: float = 0.0
    over_quota: bool = False  # the tenant is beyond its quota; else the counter was not to be had


class CreditLeases:
    def __init__(self, rule: QuotaLimits) -> None:
        self.limits = rule
        self.leases: dict[str, CreditLease] = {}
        self.last_call_number = 0
        self.calls: list[CounterCall] = []
        self.verdicts: list[AdmissionVerdict] = []

    def request_credit(
        self, now: float, tenant: str, rate: float, burst: float, request: int, nodes: int
    ) -> None:
        """A request asks for one credit; its verdict is put down now or once the lease in flight has ended."""
        lease = self.lease_for(now, tenant, self.limits.window_limit(rate, burst, nodes), nodes)
        lease.reserve = self.limits.reserve(rate, burst, nodes)
        if lease.credits >= 1 and not lease.waiters:
            self.spend(lease, request)
        elif now < lease.denied_until:
            self.reject_or_use_reserve(now, lease, request, lease.denied_until - now, over=True)
        else:
            lease.waiters.append(request)
            if not lease.call_in_flight:
                self.call_counter(now, lease)

    def lease_for(self, now: float, tenant: str, limit: float, nodes: int) -> CreditLease:
        lease = self.leases.get(tenant)
        if lease is None:
            # A new tenant's first lease splits its limit over the doors.
            lease = self.leases[tenant] = CreditLease(
                tenant, limit, math.log(max(1.0, limit / max(1, nodes)))
            )
            lease.expires_at = now + self.limits.window
        lease.limit, lease.last_used_at = limit, now
        self.roll_window(now, lease)
        return lease

    def roll_window(self, now: float, lease: CreditLease) -> None:
        """At the window's edge leftovers die, and the size is learned from what was served."""
        if now < lease.expires_at:
            return
        lease.log_batch_size, lease.slope = step(
            lease.log_batch_size,
            lease.slope,
            lease.served,
            lease.granted_part,
            CALL_PRICE,
            max(1.0, lease.limit),
        )
        lease.credits, lease.served, lease.granted_part = 0.0, 0.0, 0.0
        lease.expires_at = now + self.limits.window  # until the counter tells its own edge

    def spend(self, lease: CreditLease, request: int) -> None:
        lease.credits -= 1
        lease.served += 1
        self.verdicts.append(AdmissionVerdict(request, True))

    def call_counter(self, now: float, lease: CreditLease) -> None:
        self.last_call_number += 1
        lease.call_in_flight, lease.attempts = self.last_call_number, 1
        lease.requested = max(float(len(lease.waiters)), float(round(math.exp(lease.log_batch_size))))
        lease.requested_at = now
        self.calls.append(CounterCall(lease.tenant, lease.call_in_flight, lease.requested))

    def on_granted(self, now: float, answer: CreditsGranted) -> None:
        """The counter's answer.  What it grants is counted from when it was asked, so it dies early, never late."""
        lease = self.leases.get(answer.tenant)
        if lease is None or lease.call_in_flight != answer.number:
            return  # given up meanwhile: stranded until its edge
        self.roll_window(now, lease)
        lease.call_in_flight, lease.granted_part = 0, answer.granted_part
        edge = lease.requested_at + answer.lifetime
        if now < edge:
            lease.credits, lease.expires_at = lease.credits + answer.units, edge
        denied = answer.units + 1e-9 < lease.requested
        while lease.waiters and lease.credits >= 1:
            self.spend(lease, lease.waiters.popleft())
        if denied and now < edge:
            lease.denied_until = edge
            self.reject_waiters(now, lease, edge - now, over=True)
        elif lease.waiters:
            self.call_counter(now, lease)

    def reject_waiters(self, now: float, lease: CreditLease, retry_after: float, over: bool) -> None:
        while lease.waiters:
            self.reject_or_use_reserve(now, lease, lease.waiters.popleft(), retry_after, over)

    def reject_or_use_reserve(
        self, now: float, lease: CreditLease, request: int, retry_after: float, over: bool
    ) -> None:
        """Refuse a request, unless the door's own reserve of the tenant's quota has room for it."""
        while lease.reserve_used_at and lease.reserve_used_at[0] <= now - self.limits.span:
            lease.reserve_used_at.popleft()
        if len(lease.reserve_used_at) < lease.reserve:
            lease.reserve_used_at.append(now)
            self.verdicts.append(AdmissionVerdict(request, True))
        else:
            self.verdicts.append(AdmissionVerdict(request, False, retry_after, over))

    def tick(self, now: float) -> None:
        """Calls that stay without an answer are made again, then given up; idle credit goes back."""
        for tenant, lease in list(self.leases.items()):
            if lease.call_in_flight and now - lease.requested_at > CALL_TIMEOUT:
                if lease.attempts < MAX_CALL_ATTEMPTS:
                    self.last_call_number += 1
                    lease.call_in_flight, lease.attempts, lease.requested_at = (
                        self.last_call_number,
                        lease.attempts + 1,
                        now,
                    )
                    self.calls.append(CounterCall(tenant, lease.call_in_flight, lease.requested))
                else:
                    lease.call_in_flight = 0
                    self.reject_waiters(now, lease, UNAVAILABLE_RETRY_AFTER, over=False)
            elif (
                lease.credits >= 1
                and now - lease.last_used_at > IDLE_WINDOW_PART * self.limits.window
                and now < lease.expires_at
            ):
                if lease.granted_part >= CONTENDED_PART:
                    self.last_call_number += 1
                    self.calls.append(CounterCall(tenant, self.last_call_number, -lease.credits))
                    lease.credits = 0.0
            elif now - lease.last_used_at > IDLE_LEASE_TIMEOUT and not lease.waiters:
                del self.leases[tenant]

    def on_counter_unavailable(self, now: float, tenant: str) -> None:
        """There is no counter for this tenant just now: who waits is refused, with a short time to come back."""
        lease = self.leases.get(tenant)
        if lease is not None and lease.call_in_flight:
            lease.call_in_flight = 0
            self.reject_waiters(now, lease, UNAVAILABLE_RETRY_AFTER, over=False)
