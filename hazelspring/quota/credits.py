"""A door's credits, a lease a tenant: spent locally, refilled by the counter, dead at the window's edge."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hazelspring.quota.limits import QuotaRule
from orchidhill.policy.sizing import step

PRICE = (
    0.25  # of a counter call, in requests: a call costs a wait of one round trip to one request in a batch
)
PATIENCE = (
    0.12  # seconds for a call's answer before it is made again; a round trip between regions takes 40 ms
)
CALLS = 3  # of one lease, before its waiters are refused
SHORT = 0.3  # seconds after which who was refused for want of the counter may come again
IDLE = 0.5  # part of a window after which credit that nobody spends goes back, where others are short
PRESSED = 0.8  # part of a window's limit from which on others are short
FORGET = 30.0  # seconds after which an idle lease is dropped


@dataclass(slots=True)
class Lease:
    tenant: str
    limit: float  # of one window
    size: float  # ln of the batch
    slope: float = 0.0  # sum of squared gradients
    credits: float = 0.0
    until: float = 0.0  # when they die
    served: float = 0.0  # in this window
    filled: float = 0.0  # part of the window's limit that is out, as last heard
    denied_until: float = 0.0
    call: int = 0  # the number of the call in flight; 0 where there is none
    asked: float = 0.0
    asked_at: float = 0.0
    tries: int = 0
    touched: float = 0.0
    waiters: deque[int] = field(default_factory=deque)
    reserve: int = 0  # requests that may be let in without a credit in any span
    alone: deque[float] = field(default_factory=deque)  # when they were


@dataclass(slots=True, frozen=True)
class Call:
    """To the counter of this tenant; more than 0 units to lease, less to give back."""

    tenant: str
    number: int
    units: float


@dataclass(slots=True, frozen=True)
class Granted:
    """The counter's answer to a call: units, for how many seconds, and the part of the window's limit that is out."""

    tenant: str
    number: int
    units: float
    left: float
    filled: float


@dataclass(slots=True, frozen=True)
class Lapsed:
    """There is no counter for this tenant for now."""

    tenant: str


@dataclass(slots=True, frozen=True)
class Verdict:
    """What becomes of a request that asked: let in, or refused with a time to come back."""

    request: int
    granted: bool
    retry_after: float = 0.0
    over: bool = False  # the tenant is beyond its quota; else the counter was not to be had


class Credits:
    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        self.leases: dict[str, Lease] = {}
        self.number = 0
        self.calls: list[Call] = []
        self.verdicts: list[Verdict] = []

    def take(self, now: float, tenant: str, rate: float, burst: float, request: int, doors: int) -> None:
        """A request asks for one credit; its verdict is put down now or once the lease in flight has ended."""
        lease = self.lease(now, tenant, self.rule.limit(rate, burst, doors), doors)
        lease.reserve = self.rule.reserve(rate, burst, doors)
        if lease.credits >= 1 and not lease.waiters:
            self.spend(lease, request)
        elif now < lease.denied_until:
            self.turn_away(now, lease, request, lease.denied_until - now, over=True)
        else:
            lease.waiters.append(request)
            if not lease.call:
                self.ask(now, lease)

    def lease(self, now: float, tenant: str, limit: float, doors: int) -> Lease:
        lease = self.leases.get(tenant)
        if lease is None:
            # A new tenant's first lease splits its limit over the doors.
            lease = self.leases[tenant] = Lease(tenant, limit, math.log(max(1.0, limit / max(1, doors))))
            lease.until = now + self.rule.window
        lease.limit, lease.touched = limit, now
        self.roll(now, lease)
        return lease

    def roll(self, now: float, lease: Lease) -> None:
        """At the window's edge leftovers die, and the size is learned from what was served."""
        if now < lease.until:
            return
        lease.size, lease.slope = step(
            lease.size, lease.slope, lease.served, lease.filled, PRICE, max(1.0, lease.limit)
        )
        lease.credits, lease.served, lease.filled = 0.0, 0.0, 0.0
        lease.until = now + self.rule.window  # until the counter tells its own edge

    def spend(self, lease: Lease, request: int) -> None:
        lease.credits -= 1
        lease.served += 1
        self.verdicts.append(Verdict(request, True))

    def ask(self, now: float, lease: Lease) -> None:
        self.number += 1
        lease.call, lease.tries = self.number, 1
        lease.asked = max(float(len(lease.waiters)), float(round(math.exp(lease.size))))
        lease.asked_at = now
        self.calls.append(Call(lease.tenant, lease.call, lease.asked))

    def granted(self, now: float, answer: Granted) -> None:
        """The counter's answer.  What it grants is counted from when it was asked, so it dies early, never late."""
        lease = self.leases.get(answer.tenant)
        if lease is None or lease.call != answer.number:
            return  # given up meanwhile: stranded until its edge
        self.roll(now, lease)
        lease.call, lease.filled = 0, answer.filled
        edge = lease.asked_at + answer.left
        if now < edge:
            lease.credits, lease.until = lease.credits + answer.units, edge
        denied = answer.units + 1e-9 < lease.asked
        while lease.waiters and lease.credits >= 1:
            self.spend(lease, lease.waiters.popleft())
        if denied and now < edge:
            lease.denied_until = edge
            self.refuse(now, lease, edge - now, over=True)
        elif lease.waiters:
            self.ask(now, lease)

    def refuse(self, now: float, lease: Lease, retry_after: float, over: bool) -> None:
        while lease.waiters:
            self.turn_away(now, lease, lease.waiters.popleft(), retry_after, over)

    def turn_away(self, now: float, lease: Lease, request: int, retry_after: float, over: bool) -> None:
        """Refuse a request, unless the door's own reserve of the tenant's quota has room for it."""
        while lease.alone and lease.alone[0] <= now - self.rule.span:
            lease.alone.popleft()
        if len(lease.alone) < lease.reserve:
            lease.alone.append(now)
            self.verdicts.append(Verdict(request, True))
        else:
            self.verdicts.append(Verdict(request, False, retry_after, over))

    def tick(self, now: float) -> None:
        """Calls that stay without an answer are made again, then given up; idle credit goes back."""
        for tenant, lease in list(self.leases.items()):
            if lease.call and now - lease.asked_at > PATIENCE:
                if lease.tries < CALLS:
                    self.number += 1
                    lease.call, lease.tries, lease.asked_at = self.number, lease.tries + 1, now
                    self.calls.append(Call(tenant, lease.call, lease.asked))
                else:
                    lease.call = 0
                    self.refuse(now, lease, SHORT, over=False)
            elif lease.credits >= 1 and now - lease.touched > IDLE * self.rule.window and now < lease.until:
                if lease.filled >= PRESSED:
                    self.number += 1
                    self.calls.append(Call(tenant, self.number, -lease.credits))
                    lease.credits = 0.0
            elif now - lease.touched > FORGET and not lease.waiters:
                del self.leases[tenant]

    def lapsed(self, now: float, tenant: str) -> None:
        """There is no counter for this tenant just now: who waits is refused, with a short time to come back."""
        lease = self.leases.get(tenant)
        if lease is not None and lease.call:
            lease.call = 0
            self.refuse(now, lease, SHORT, over=False)
