"""The entry point to the admission decisions: passes each event to the modules of policy/."""

from __future__ import annotations

import math
import random

from hazelspring.admission import interface as i
from hazelspring.admission.policy.attempts import Attempts
from hazelspring.admission.policy.backend_selection import BackendSelection
from hazelspring.admission.policy.call_rate import CallRate
from hazelspring.admission.policy.context import EPS, TICK, WATCH_TICKS, Context
from hazelspring.admission.policy.quotas import Quotas
from hazelspring.admission.policy.servers import Servers


class Gateway:
    """The decisions of one gateway process; events come in through `handle` only."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.ctx = ctx = Context(settings, random.Random(seed), max(1, settings.peers))
        self.call_rate = CallRate(ctx)
        self.servers = Servers(ctx)
        self.choice = BackendSelection(ctx, self.servers, {})
        self.quotas = Quotas(ctx, self.call_rate, self.servers)
        self.attempts = self.quotas.dispatcher = Attempts(ctx, self.servers, self.choice, self.quotas)
        self.timer_at, self.sweep_at = -math.inf, 0.0  # when the timer that is set is due; next sweep

    @property
    def settings(self) -> i.Settings:
        return self.ctx.settings

    @property
    def actions(self) -> list[i.Action]:
        """The actions of the last event so far."""
        return self.ctx.actions

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Process one event at `now`, in seconds, and return the resulting actions in order."""
        self.ctx.now, self.ctx.actions = now, []
        match event:
            case i.Request():
                self.attempts.on_request(event)
            case i.Finished():
                self.attempts.on_finished(event)
            case i.Whole():
                self.attempts.on_whole(event)
            case i.UnderWay():
                self.attempts.on_under_way(event)
            case i.Probed() if event.backend in self.servers.backends:
                self.servers.record_report(self.servers.backends[event.backend], event.report)
            case i.Counted():
                self.quotas.on_counted(event)
            case i.Fired():
                self.attempts.end_overdue()
                if now >= self.sweep_at:
                    self.sweep_at = now + WATCH_TICKS * TICK
                    self.quotas.sweep()
            case i.Members():
                self.servers.on_members(event)
                self.attempts.send_queued()
            case i.Left():
                self.attempts.close(self.attempts.jobs.get(event.request))
            case i.Detached():
                self.servers.on_detached(event.backend)
                self.attempts.send_queued()
            case i.Attached():
                if self.servers.on_attached(event):
                    self.attempts.send_queued()
            case i.Processes():
                self.ctx.processes = max(1, event.count)
                self.update_peers()
            case i.Retuned():
                self.on_retuned(event.settings)
        self.set_timer()
        return self.ctx.actions

    def on_retuned(self, settings: i.Settings) -> None:
        """Apply new settings.  Open jobs keep their class, plan and limits; learned values stay."""
        plans = {plan.name: plan for plan in settings.plans}
        changed = {p.name: plans[p.name] for p in self.settings.plans if plans.get(p.name, p) != p}
        self.ctx.retune(settings)
        self.quotas.retune(changed)
        self.call_rate.retune()
        self.update_peers()

    def update_peers(self) -> None:
        """Recompute the peer count, each process as one gateway, and rescale what peers share."""
        before, self.ctx.peers = self.ctx.peers, max(1, self.settings.peers) * self.ctx.processes
        self.call_rate.rescale(before / self.ctx.peers)
        self.choice.limit *= before / self.ctx.peers

    def set_timer(self) -> None:
        """Set a timer if jobs are open or credit may have to be returned; an idle gateway sets none."""
        attempts, now = self.attempts, self.ctx.now
        if not attempts.jobs and not self.quotas.returnable:
            return
        queued = attempts.queue or any(not job.in_flight for job in attempts.jobs.values())
        due = now + TICK * (1 if queued else WATCH_TICKS)
        if not now + EPS < self.timer_at <= due:  # the host may fire a timer slightly early
            self.timer_at = due
            self.ctx.actions.append(i.SetTimer(due, 1))
