"""A node's leases of credits, one a tenant: spent locally, refilled by the counter, expiring with the window.

The leases do no I/O and read no clock: they leave calls and verdicts in lists for their owner to carry out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hazelspring.quota.credit_lease import NO_CALL, CreditLease
from hazelspring.quota.limits import QuotaLimits

CALL_TIMEOUT = 0.12  # seconds until an unanswered call is repeated; a round trip between regions takes 40 ms
MAX_CALL_ATTEMPTS = 3  # after which the waiters are rejected
UNAVAILABLE_RETRY_AFTER = 0.3  # seconds after which a request rejected for lack of a counter may come again
IDLE_WINDOW_PART = 0.5  # part of a window after which unused credits are given back, where others are short
CONTENDED_PART = 0.8  # part of a window's limit that is granted from which on others are short
IDLE_LEASE_TIMEOUT = 30.0  # seconds after which an idle lease is dropped
ROUNDING_TOLERANCE = 1e-9  # credits by which a full grant may differ from what was asked for


@dataclass(slots=True, frozen=True)
class CounterCall:
    """A call to a tenant's counter: for more than 0 ``units`` of credit, or to give back where they are less."""

    tenant: str
    number: int
    units: float


@dataclass(slots=True, frozen=True)
class CreditsGranted:
    """The counter's answer to a call.

    ``units`` of credit may be spent for ``lifetime`` seconds, counted from the call; ``granted_part`` is the part of
    the window's limit that is granted to all nodes.
    """

    tenant: str
    number: int
    units: float
    lifetime: float
    granted_part: float


@dataclass(slots=True, frozen=True)
class CounterUnavailable:
    """No node has the counter of this tenant for now."""

    tenant: str


@dataclass(slots=True, frozen=True)
class AdmissionVerdict:
    """What becomes of a request that asked for a credit: admitted, or rejected until ``retry_after`` seconds from now.

    A rejected one is ``over_quota``, or else the counter did not answer.
    """

    request: int
    admitted: bool
    retry_after: float = 0.0
    over_quota: bool = False


class CreditLeases:
    """The leases of one node.

    ``calls`` and ``verdicts`` are what has to be carried out; their owner empties them.
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
        """Ask for one credit for a request; its verdict comes now or once the call in flight has ended.

        The tenant's ``rate`` (requests a second) and ``burst`` hold over all ``nodes``.
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
        """Return the lease of a tenant, in the current window; a new one starts with an even share of the limit."""
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
        """Begin a new window if the last one has ended; the counter's next answer says when that ends."""
        if now >= lease.expires_at:
            lease.begin_window(now + self.limits.window)

    def spend(self, lease: CreditLease, request: int) -> None:
        """Admit a request with a credit."""
        lease.spend()
        self.verdicts.append(AdmissionVerdict(request, admitted=True))

    def next_call_number(self) -> int:
        """Return a number that no call of this node has had."""
        self.last_call_number += 1
        return self.last_call_number

    def call_counter(self, now: float, lease: CreditLease) -> None:
        """Ask the counter for credits."""
        lease.begin_call(now, self.next_call_number())
        self.calls.append(CounterCall(lease.tenant, lease.call_in_flight, lease.requested))

    def on_granted(self, now: float, answer: CreditsGranted) -> None:
        """Use the counter's answer.

        The lifetime of what it grants counts from the call, so that credits expire early rather than late.  An
        answer to a call that was given up is ignored: its credits are lost until the window ends.
        """
        lease = self.leases.get(answer.tenant)
        if lease is None or lease.call_in_flight != answer.number:
            return
        self.roll_window(now, lease)
        lease.call_in_flight = NO_CALL
        lease.granted_part = answer.granted_part
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
        """Reject the waiters, with a short time to come back, as no node has the tenant's counter."""
        lease = self.leases.get(tenant)
        if lease is not None and lease.call_in_flight != NO_CALL:
            self.abandon_call(now, lease)

    def abandon_call(self, now: float, lease: CreditLease) -> None:
        """Wait no longer for the counter, and reject the waiters."""
        lease.call_in_flight = NO_CALL
        self.reject_waiters(now, lease, UNAVAILABLE_RETRY_AFTER, over_quota=False)

    def reject_waiters(self, now: float, lease: CreditLease, retry_after: float, over_quota: bool) -> None:
        """Reject all requests that wait, but for those that the reserve has room for."""
        while lease.waiters:
            self.reject_or_use_reserve(
                now, lease, lease.waiters.popleft(), retry_after, over_quota=over_quota
            )

    def reject_or_use_reserve(
        self, now: float, lease: CreditLease, request: int, retry_after: float, *, over_quota: bool
    ) -> None:
        """Reject a request, unless this node's own reserve of the tenant's quota has room for it."""
        if lease.try_use_reserve(now, self.limits.span):
            verdict = AdmissionVerdict(request, admitted=True)
        else:
            verdict = AdmissionVerdict(request, False, retry_after, over_quota)
        self.verdicts.append(verdict)

    def tick(self, now: float) -> None:
        """Repeat or give up calls without an answer, give back credits that nobody uses, and drop idle leases."""
        for lease in list(self.leases.values()):
            idle_time = now - lease.last_used_at
            if lease.call_in_flight != NO_CALL and now - lease.requested_at > CALL_TIMEOUT:
                self.repeat_or_abandon_call(now, lease)
            elif (
                lease.credits >= 1
                and idle_time > IDLE_WINDOW_PART * self.limits.window
                and now < lease.expires_at
            ):
                self.give_back_if_contended(lease)
            elif idle_time > IDLE_LEASE_TIMEOUT and not lease.waiters:
                del self.leases[lease.tenant]

    def repeat_or_abandon_call(self, now: float, lease: CreditLease) -> None:
        """Make a call that timed out again, or reject its waiters once it was made often enough."""
        if lease.attempts < MAX_CALL_ATTEMPTS:
            lease.repeat_call(now, self.next_call_number())
            self.calls.append(CounterCall(lease.tenant, lease.call_in_flight, lease.requested))
        else:
            self.abandon_call(now, lease)

    def give_back_if_contended(self, lease: CreditLease) -> None:
        """Give the credits back where other nodes are short of them."""
        if lease.granted_part >= CONTENDED_PART:
            self.calls.append(CounterCall(lease.tenant, self.next_call_number(), -lease.credits))
            lease.credits = 0.0
