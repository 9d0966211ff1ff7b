"""A node's credit leases, one for each tenant.

Credits are spent locally and refilled from the tenant's counter. They expire at the end of a window. The
leases do no I/O and read no clock: they append calls and verdicts to lists, which their owner carries out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hazelspring.quota.credit_lease import NO_CALL, CreditLease
from hazelspring.quota.limits import QuotaLimits

CALL_TIMEOUT = 0.12  # seconds until a call is repeated; a round trip between regions takes 40 ms
MAX_CALL_ATTEMPTS = 3  # after this many, the requests that wait for the call are rejected
# Seconds after which a client may retry a request that was rejected because no counter replied.
UNAVAILABLE_RETRY_AFTER = 0.3
# Fraction of a window after which an idle lease gives its credits back, if the tenant's quota is contended.
IDLE_WINDOW_FRACTION = 0.5
# A tenant's quota counts as contended from this granted fraction of the window's limit on.
CONTENDED_FRACTION = 0.8
IDLE_LEASE_TIMEOUT = 30.0  # seconds after which an idle lease is dropped
ROUNDING_TOLERANCE = 1e-9  # credits by which a full grant may fall short of the requested number


@dataclass(slots=True, frozen=True)
class CounterCall:
    """A call to a tenant's counter that requests ``units`` credits; negative ``units`` give credits back."""

    tenant: str
    number: int
    units: float


@dataclass(slots=True, frozen=True)
class CreditsGranted:
    """The counter's reply to a call.

    ``units`` credits may be spent for ``lifetime`` seconds from the call on; ``granted_fraction`` is the
    fraction of the window's limit that is granted to all nodes.
    """

    tenant: str
    number: int
    units: float
    lifetime: float
    granted_fraction: float


@dataclass(slots=True, frozen=True)
class CounterUnavailable:
    """No node currently owns the counter of this tenant."""

    tenant: str


@dataclass(slots=True, frozen=True)
class AdmissionVerdict:
    """Whether a request that needed a credit is admitted.

    The client may retry a rejected request after ``retry_after`` seconds. The request was rejected either
    because the tenant is ``over_quota``, or else because the counter did not reply.
    """

    request: int
    admitted: bool
    retry_after: float = 0.0
    over_quota: bool = False


class CreditLeases:
    """The leases of one node.

    The owner of the leases carries out ``calls`` and ``verdicts``, and empties both lists.
    """

    def __init__(self, limits: QuotaLimits) -> None:
        self.limits = limits
        self.leases: dict[str, CreditLease] = {}  # by tenant
        self.last_call_number = 0
        self.calls: list[CounterCall] = []
        self.verdicts: list[AdmissionVerdict] = []

    def request_credit(
        self, now: float, tenant: str, rate: float, burst: float, request: int, nodes: int
    ) -> None:
        """Request one credit for a request; the verdict follows at once or after a call to the counter.

        The tenant's ``rate`` (requests per second) and ``burst`` apply to all ``nodes`` together.
        """
        lease = self.lease_for(now, tenant, self.limits.window_limit(rate, burst, nodes), nodes)
        lease.reserve = self.limits.reserve(rate, burst, nodes)
        if lease.credits >= 1 and not lease.waiters:
            self.spend(lease, request)
        elif now < lease.denied_until:
            self.reject_or_use_reserve(now, lease, request, lease.denied_until - now, over_quota=True)
        else:
            lease.waiters.append(request)
            if lease.call_in_flight == NO_CALL:
                self.call_counter(now, lease)

    def lease_for(self, now: float, tenant: str, limit: float, nodes: int) -> CreditLease:
        """Return the tenant's lease for the current window.

        The batch size of a new lease is this node's even share of the limit.
        """
        lease = self.leases.get(tenant)
        if lease is None:
            log_batch_size = math.log(max(1.0, limit / max(1, nodes)))
            lease = self.leases[tenant] = CreditLease(tenant, limit, log_batch_size)
            lease.expires_at = now + self.limits.window
        lease.limit = limit
        lease.last_used_at = now
        self.roll_window(now, lease)
        return lease

    def roll_window(self, now: float, lease: CreditLease) -> None:
        """Begin a new window if the last one has ended; the counter's next reply sets its actual end."""
        if now >= lease.expires_at:
            lease.begin_window(now + self.limits.window)

    def spend(self, lease: CreditLease, request: int) -> None:
        """Admit a request with a credit."""
        lease.spend()
        self.verdicts.append(AdmissionVerdict(request, admitted=True))

    def next_call_number(self) -> int:
        """Return a call number that this node has not used yet."""
        self.last_call_number += 1
        return self.last_call_number

    def call_counter(self, now: float, lease: CreditLease) -> None:
        """Add a call that requests credits from the counter."""
        lease.begin_call(now, self.next_call_number())
        self.calls.append(CounterCall(lease.tenant, lease.call_in_flight, lease.requested))

    def on_granted(self, now: float, answer: CreditsGranted) -> None:
        """Add the granted credits to the lease, and admit or reject the requests that wait for them.

        The lifetime of the credits counts from the time of the call, so that they expire early rather than
        late. A reply to a call that was abandoned is ignored: its credits are lost until the window ends.
        """
        lease = self.leases.get(answer.tenant)
        if lease is None or lease.call_in_flight != answer.number:
            return
        self.roll_window(now, lease)
        lease.call_in_flight = NO_CALL
        lease.granted_fraction = answer.granted_fraction
        window_end = lease.requested_at + answer.lifetime
        if now < window_end:
            lease.credits += answer.units
            lease.expires_at = window_end
        denied = answer.units + ROUNDING_TOLERANCE < lease.requested
        while lease.waiters and lease.credits >= 1:
            self.spend(lease, lease.waiters.popleft())
        if denied and now < window_end:
            lease.denied_until = window_end
            self.reject_waiters(now, lease, window_end - now, over_quota=True)
        elif lease.waiters:
            self.call_counter(now, lease)

    def on_counter_unavailable(self, now: float, tenant: str) -> None:
        """Reject the waiters with a short retry time, as no node owns the tenant's counter."""
        lease = self.leases.get(tenant)
        if lease is not None and lease.call_in_flight != NO_CALL:
            self.abandon_call(now, lease)

    def abandon_call(self, now: float, lease: CreditLease) -> None:
        """Stop waiting for the counter's reply, and reject the waiters."""
        lease.call_in_flight = NO_CALL
        self.reject_waiters(now, lease, UNAVAILABLE_RETRY_AFTER, over_quota=False)

    def reject_waiters(self, now: float, lease: CreditLease, retry_after: float, over_quota: bool) -> None:
        """Reject all waiting requests, except those that the reserve can admit."""
        while lease.waiters:
            self.reject_or_use_reserve(
                now, lease, lease.waiters.popleft(), retry_after, over_quota=over_quota
            )

    def reject_or_use_reserve(
        self, now: float, lease: CreditLease, request: int, retry_after: float, *, over_quota: bool
    ) -> None:
        """Reject a request, unless this node's reserve of the tenant's quota can admit it."""
        if lease.try_use_reserve(now, self.limits.span):
            verdict = AdmissionVerdict(request, admitted=True)
        else:
            verdict = AdmissionVerdict(request, False, retry_after, over_quota)
        self.verdicts.append(verdict)

    def tick(self, now: float) -> None:
        """Repeat or abandon calls that timed out, give back unused credits, and drop idle leases."""
        for lease in list(self.leases.values()):
            idle_time = now - lease.last_used_at
            if lease.call_in_flight != NO_CALL and now - lease.requested_at > CALL_TIMEOUT:
                self.repeat_or_abandon_call(now, lease)
            elif (
                lease.credits >= 1
                and idle_time > IDLE_WINDOW_FRACTION * self.limits.window
                and now < lease.expires_at
            ):
                self.give_back_if_contended(lease)
            elif idle_time > IDLE_LEASE_TIMEOUT and not lease.waiters:
                del self.leases[lease.tenant]

    def repeat_or_abandon_call(self, now: float, lease: CreditLease) -> None:
        """Repeat a call that timed out, or abandon it after ``MAX_CALL_ATTEMPTS`` attempts."""
        if lease.attempts < MAX_CALL_ATTEMPTS:
            lease.repeat_call(now, self.next_call_number())
            self.calls.append(CounterCall(lease.tenant, lease.call_in_flight, lease.requested))
        else:
            self.abandon_call(now, lease)

    def give_back_if_contended(self, lease: CreditLease) -> None:
        """Give the credits back if the tenant's quota is contended, so that other nodes may use them."""
        if lease.granted_fraction >= CONTENDED_FRACTION:
            self.calls.append(CounterCall(lease.tenant, self.next_call_number(), -lease.credits))
            lease.credits = 0.0
