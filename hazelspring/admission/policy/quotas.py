"""Admits requests by quotas in GALE's leased mode: each gateway leases credit from a shared counter in
batches, spends it locally, and returns what it does not use."""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.admission.policy.call_rate import CallRate
from hazelspring.admission.policy.context import DECAY_TIME, EPS, FORGET, NEWEST, TICK, Context, mix
from hazelspring.admission.policy.records import Job, Lease
from hazelspring.admission.policy.servers import Servers
from hazelspring.admission.policy.sizing import step

IDLE_SHARE = 0.25  # part of a window after which idle credit is returned to the counter
STRICT_OVERLOAD = 0.8  # load ratio above which only credit granted by the counter is used


class Dispatcher(Protocol):
    """Receives requests that are admitted (`dispatch`) or refused (`refuse`, with seconds to wait)."""

    def dispatch(self, job: Job) -> None: ...

    def refuse(self, job: Job, retry_after: float) -> None: ...


class Quotas:
    """Admits requests by their customers' leases, of which there is one for rate and one for slots."""

    dispatcher: Dispatcher

    def __init__(self, ctx: Context, call_rate: CallRate, servers: Servers) -> None:
        self.ctx, self.call_rate, self.servers = ctx, call_rate, servers
        self.leases: dict[tuple[int, bool], Lease] = {}
        self.calls: dict[int, deque[tuple[Lease, int, float, bool]]] = {}  # counter calls in flight, by name
        self.returnable: dict[tuple[int, bool], Lease] = {}  # leases with credit or slots to return
        # Decayed sums of units: requested by lease calls, and admitted but not yet reported to the counter.
        self.leased, self.unreported, self.tracked_at = 0.0, 0.0, 0.0

    def lease(self, req: i.Request, plan: i.Plan, slots: bool) -> Lease:
        """Find or create the customer's lease, moved on to its current window."""
        lease = self.leases.get((req.customer, slots))
        if lease is not None and lease.plan is not plan:  # after a reload, or the customer changed plan
            lease = self.replan(lease, plan)
        if lease is None:
            base, length = self.window(plan, slots)
            width = max(1, min(req.width, self.ctx.settings.peers))
            first = max(1.0, base / width)  # the first lease is this gateway's share
            phase = mix(req.customer) / 2**64 * length
            lease = Lease(req.customer, plan, width, slots, length, phase, base, math.log(first))
            # No full local share, as this may be a restart; none for a retry another gateway just refused.
            lease.bucket, lease.bucket_at = 0.0 if req.is_retry else 1.0, self.ctx.now
            self.leases[req.customer, slots] = lease
        self.roll_window(lease)
        lease.touched = self.ctx.now
        return lease

    def window(self, plan: i.Plan, slots: bool) -> tuple[float, float]:
        """Compute a window's limit in units and its length in seconds.  The limit is the burst in whole
        units, at most a quarter of a ceiling's, as two leased windows and two local shares may add up."""
        if slots:
            return float(plan.parallel), 2 * max(c.deadline for c in self.ctx.settings.classes)
        most = min(plan.burst, plan.ceiling_burst / 4 if plan.ceiling_rate else plan.burst)
        base = max(1.0, math.floor(most))
        return base, base / plan.rate

    def replan(self, lease: Lease, plan: i.Plan) -> Lease | None:
        """Change a lease's plan.  Credit stays valid until the window ends, and until then no more is leased
        than either plan allows.  After that it returns None: a new lease learns its size anew."""
        base, length = self.window(plan, lease.slots)
        if (base, length) == self.window(lease.plan, lease.slots):
            lease.plan, lease.new_plan = plan, None  # only name or price changed: the windows stay
            return lease
        over = math.floor((self.ctx.now + lease.phase) / lease.length) != lease.window
        busy = lease.waiting or lease.waiters or (lease.slots and lease.in_use)
        if over and not busy:
            return None
        lease.new_plan = plan
        return lease

    def admit(self, job: Job) -> None:
        """Take credit from each of the job's leases and dispatch it; without credit, queue or refuse it."""
        for lease in job.leases:
            if lease in job.taken_from:
                continue
            units = self.units(lease, job)
            if lease.was_exhausted and job.req.is_retry:  # already late: leave the unit to a new request
                self.dispatcher.refuse(job, (lease.window + 1) * lease.length - lease.phase - self.ctx.now)
            elif lease.credits + EPS >= units and not lease.waiters:
                self.take_credit(lease, job, units)
            elif self.ctx.now < lease.denied_until:
                self.dispatcher.refuse(job, lease.denied_until - self.ctx.now)
            elif (lease.waiting or self.may_call_for(job)) and not self.may_report_later(lease, units):
                lease.waiters.append(job)
                self.request_lease(lease)
            else:
                self.admit_by_local_share(lease, job, units)
            if lease not in job.taken_from:
                return
        self.dispatcher.dispatch(job)

    def may_call_for(self, job: Job) -> bool:
        return self.call_rate.has_spare() if job.req.is_retry else self.call_rate.may_call()

    def take_credit(self, lease: Lease, job: Job, units: float) -> None:
        lease.credits -= units
        lease.served += units
        lease.bucket = max(self.refill(lease) - units, -lease.base)
        lease.in_use += 1
        job.taken_from.append(lease)
        if not lease.slots:
            job.window = lease.window
        if lease.slots or lease.credits > EPS:
            self.returnable[lease.customer, lease.slots] = lease

    def units(self, lease: Lease, job: Job) -> float:
        return 1.0 if lease.slots else job.req.units

    def roll_window(self, lease: Lease) -> None:
        """When a window has ended, let unused credit expire and learn the batch size from served demand."""
        window = math.floor((self.ctx.now + lease.phase) / lease.length)
        if window == lease.window:
            return
        if lease.window >= 0:
            self.update_size(lease)
        lease.window, lease.credits, lease.confirmed, lease.total, lease.served = window, 0.0, 0.0, 0.0, 0.0
        lease.denied_until, lease.was_exhausted = 0.0, lease.denied_until > 0
        lease.unreported = float(lease.in_use) if lease.slots else min(lease.unreported, lease.base)

    def update_size(self, lease: Lease) -> None:
        price, filled = max(self.ctx.settings.counter_price, 1e-3), lease.total / lease.base
        lease.size, lease.squares = step(lease.size, lease.squares, lease.served, filled, price, lease.base)

    def request_lease(self, lease: Lease) -> None:
        """Lease a batch, unless a lease call is in flight: then the waiters wait for that one."""
        if lease.waiting:
            return
        need = sum(self.units(lease, job) for job in lease.waiters) - lease.credits
        # Whole units: a fraction beyond them would serve no request and expire.
        lease.batch = max(need, 1.0 if lease.slots else float(round(math.exp(lease.size))))
        lease.waiting = True
        amount = lease.batch + lease.unreported
        if not lease.slots:
            self.track_unreported(lease.batch, -lease.unreported)
            # Rounded at random: if each gateway added a fraction, none would get a small limit's last unit.
            amount += math.floor(lease.batch * self.unreported / self.leased + self.ctx.random.random())
        self.call_counter(lease, amount, gives=False)
        lease.unreported = 0.0

    def track_unreported(self, leased: float, unreported: float) -> None:
        """Update the sums of leased and unreported units.  The counter's totals lack the unreported units of
        all gateways, so a lease call adds an estimate: its batch times the unreported per leased unit."""
        fade = math.exp((self.tracked_at - self.ctx.now) / DECAY_TIME)
        self.tracked_at, self.leased = self.ctx.now, self.leased * fade + leased
        self.unreported = max(0.0, self.unreported * fade + unreported)

    def call_counter(self, lease: Lease, amount: float, gives: bool) -> None:
        name = mix(lease.customer, lease.window, lease.slots)
        self.calls.setdefault(name, deque()).append((lease, lease.window, amount, gives))
        self.ctx.actions.append(i.Count(name, amount, min(60.0, 4 * lease.length)))
        self.call_rate.on_call()

    def on_counted(self, event: i.Counted) -> None:
        pending = self.calls.get(event.name)
        if not pending:
            return
        lease, window, amount, gives = pending.popleft()
        if not pending:
            del self.calls[event.name]
        good = event.outcome is Outcome.OK
        self.call_rate.on_answer(event, good)
        self.roll_window(lease)
        current = window == lease.window
        if good and current:
            lease.confirmed += amount
            lease.total, lease.checked = event.total, self.ctx.now
            if event.total < lease.confirmed - 0.01:
                # The counter lost this name: each gateway adds again what it had added itself.
                self.ctx.actions.append(i.Log(f"counter-lost customer={lease.customer}"))
                lease.unreported += lease.confirmed - event.total
                lease.total, lease.confirmed = lease.confirmed, event.total
        if gives:
            return
        lease.waiting = False
        if not current:  # the batch expired with its window
            self.request_lease(lease) if lease.waiters else None
        elif good:
            self.apply_grant(lease)
        else:
            waiters, lease.waiters = lease.waiters, deque()
            for job in (job for job in waiters if not job.closed):
                self.admit_by_local_share(lease, job, self.units(lease, job))
                if lease in job.taken_from:
                    self.admit(job)

    def apply_grant(self, lease: Lease) -> None:
        """Keep the part of a batch that fits the limit and serve the waiters.  The excess stays added to the
        counter, as the window is full anyway; for slots it is returned."""
        base = min(lease.base, self.window(lease.new_plan, lease.slots)[0]) if lease.new_plan else lease.base
        excess = max(0.0, lease.total - base)
        first = self.units(lease, lease.waiters[0]) if lease.waiters else 1.0
        grant = max(0.0, lease.batch - excess)
        if excess > EPS:
            grant = math.floor((grant + lease.credits) / first + EPS) * first - lease.credits
        if lease.slots:
            self.give_back(lease, lease.batch - grant)
        lease.granted_share += NEWEST * ((grant >= lease.batch - EPS) - lease.granted_share)
        lease.credits += grant
        self.serve_waiters(lease, denied=grant < lease.batch - EPS)

    def give_back(self, lease: Lease, units: float) -> None:
        if units > EPS:
            self.call_counter(lease, -units, gives=True)
            lease.total -= units

    def serve_waiters(self, lease: Lease, denied: bool) -> None:
        """Give credit to waiters in order; for the rest lease again, or refuse them if that was denied."""
        ready = []
        while lease.waiters:
            job = lease.waiters[0]
            units = self.units(lease, job)
            if not job.closed and lease.credits + EPS < units:
                break
            lease.waiters.popleft()
            if not job.closed:
                self.take_credit(lease, job, units)
                ready.append(job)
        if denied:  # until the window ends; slots may be released at any time
            window_end = (lease.window + 1) * lease.length - lease.phase
            lease.denied_until = self.ctx.now + 2 * TICK if lease.slots else window_end
            refused, lease.waiters = lease.waiters, deque()
            for job in (job for job in refused if not job.closed):
                self.dispatcher.refuse(job, lease.denied_until - self.ctx.now)
        elif lease.waiters:
            self.request_lease(lease)
        for job in ready:
            self.admit(job)

    def may_report_later(self, lease: Lease, units: float) -> bool:
        """Whether calls are short and the local share suffices; the next lease call adds these units."""
        return not self.call_rate.has_spare() and self.within_local_share(lease, units)

    def share(self, lease: Lease) -> float:
        """The part of a quota to use without a call, 1/width to 1: lower with a higher newsvendor ratio
        over_cost / (over_cost + lost worth 1) and more denials; under a ceiling 1/width: shares add up."""
        plan = lease.plan
        ratio = 1.0 if plan.ceiling_rate else plan.over_cost / (1 + plan.over_cost)
        if not plan.ceiling_rate and self.ctx.now - lease.checked < FORGET:
            ratio *= 1 - lease.granted_share
        return 1 / (1 + (lease.width - 1) * ratio)

    def refill(self, lease: Lease) -> float:
        # By Little's law, a limit on requests in flight admits the limit divided by the latency per second.
        rate = lease.base / self.servers.latency if lease.slots else lease.plan.rate
        burst, share = lease.base if lease.slots else lease.plan.burst, self.share(lease)
        level = min(max(1.0, share * burst), lease.bucket + (self.ctx.now - lease.bucket_at) * share * rate)
        lease.bucket, lease.bucket_at = level, self.ctx.now
        return level

    def within_local_share(self, lease: Lease, units: float) -> bool:
        """Whether the local share covers the units.  While the fleet is overloaded and the counter
        answers, it doesn't: then only credit granted by the counter is used."""
        overloaded = self.call_rate.failing < 0.5 and self.servers.overload() > STRICT_OVERLOAD
        return not overloaded and self.refill(lease) + EPS >= units

    def admit_by_local_share(self, lease: Lease, job: Job, units: float) -> None:
        """Admit a request by the local share, or refuse it; a later call adds its units to the counter."""
        if self.within_local_share(lease, units):
            lease.credits += units
            lease.unreported += units
            if not lease.slots and self.call_rate.failing < 0.5:
                self.track_unreported(0.0, units)
            self.take_credit(lease, job, units)
        else:
            self.dispatcher.refuse(job, job.limits.max_retry_after / 2)

    def return_lapsed_credit(self, job: Job) -> bool:
        """Drop a job's credit of a window that has ended; returns whether there was any.  Under a ceiling
        the job then needs new credit."""
        for lease in job.leases:
            self.roll_window(lease)
            if not lease.slots and lease.window != job.window:
                lease.in_use -= 1
                job.taken_from.remove(lease)
                return True
        return False

    def retune(self, plans: dict[str, i.Plan]) -> None:
        """Apply changed plans, given by name, to the leases, also to those with a call in flight."""
        for lease in self.leases.values() if plans else ():
            if (plan := plans.get(lease.plan.name)) and bool(plan.parallel if lease.slots else plan.rate):
                self.replan(lease, plan)

    def release(self, job: Job, unsent: bool) -> None:
        """Return a job's slots, and its rate credit if no attempt was sent."""
        for lease in job.taken_from:
            self.roll_window(lease)
            lease.in_use -= 1
            if not lease.slots:
                lease.credits += job.req.units if unsent else 0.0
            elif not self.call_rate.may_call() or lease.unreported > 0:
                lease.unreported -= 1
            else:
                self.give_back(lease, 1.0)

    def sweep(self) -> None:
        """Return idle credit of customers near their limit, and unused slots; drop idle leases."""
        for key, lease in list(self.returnable.items()):
            self.roll_window(lease)
            if lease.waiting or not self.call_rate.may_call():
                continue
            if lease.slots and lease.unreported > 0:
                unreported, lease.unreported = lease.unreported, 0.0
                self.call_counter(lease, unreported, gives=True)
            idle = self.ctx.now - lease.touched > IDLE_SHARE * lease.length and not lease.slots
            if idle and lease.total > lease.base / 2 and self.call_rate.has_spare():  # others may need it
                units, lease.credits = lease.credits, 0.0
                self.give_back(lease, units)
            if lease.credits <= EPS and not lease.in_use:
                del self.returnable[key]
        for key in [k for k, v in self.leases.items() if self.ctx.now - v.touched > FORGET and not v.in_use]:
            del self.leases[key]
