"""Every decision of the gateway, in the rooms of policy/.  Types: interface.py."""

from __future__ import annotations

import math
import random

from hazelspring.admission import interface as i
from hazelspring.admission.policy.attempts import Attempts
from hazelspring.admission.policy.choice import Choice
from hazelspring.admission.policy.pace import Pace
from hazelspring.admission.policy.quotas import Quotas
from hazelspring.admission.policy.servers import Servers
from hazelspring.admission.policy.turn import EPS, TICK, WATCH_TICKS, Turn


class Gateway:  # decides for one gateway; `handle` is the only way in
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.turn = turn = Turn(settings, random.Random(seed), max(1, settings.peers))
        self.pace = Pace(turn)
        self.servers = Servers(turn)
        self.choice = Choice(turn, self.servers, {})
        self.quotas = Quotas(turn, self.pace, self.servers)
        self.attempts = self.quotas.desk = Attempts(turn, self.servers, self.choice, self.quotas)
        self.tick_at, self.scan_at = -math.inf, 0.0  # when the timer that is set comes due; next sweep

    @property
    def settings(self) -> i.Settings:
        return self.turn.settings

    @property
    def actions(self) -> list[i.Action]:
        """What the last event has brought about so far."""
        return self.turn.actions

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """The actions that answer one event, in order."""
        self.turn.now, self.turn.actions = now, []
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
                self.servers.note(self.servers.backends[event.backend], event.report)
            case i.Counted():
                self.quotas.on_counted(event)
            case i.Fired():
                self.attempts.hold()
                if now >= self.scan_at:
                    self.scan_at = now + WATCH_TICKS * TICK
                    self.quotas.sweep()
            case i.Members():
                self.servers.on_members(event)
                self.attempts.pump()
            case i.Left():
                self.attempts.close(self.attempts.jobs.get(event.request))
            case i.Detached():
                self.servers.on_detached(event.backend)
                self.attempts.pump()
            case i.Attached():
                if self.servers.on_attached(event):
                    self.attempts.pump()
            case i.Processes():
                self.turn.processes = max(1, event.count)
                self.share_out()
            case i.Retuned():
                self.on_retuned(event.settings)
        self.set_timer()
        return self.turn.actions

    def on_retuned(self, settings: i.Settings) -> None:
        """Jobs keep class, plan and limits that they came with, by value, and all that was learned stays."""
        plans = {plan.name: plan for plan in settings.plans}
        changed = {p.name: plans[p.name] for p in self.settings.plans if plans.get(p.name, p) != p}
        self.turn.retune(settings)
        self.quotas.retune(changed)
        self.pace.retune()
        self.share_out()

    def share_out(self) -> None:
        """Processes of one front door are gateways of their own to all that is shared out among these."""
        before, self.turn.peers = self.turn.peers, max(1, self.settings.peers) * self.turn.processes
        self.pace.rescale(before / self.turn.peers)
        self.choice.room *= before / self.turn.peers

    def set_timer(self) -> None:
        """A timer only while something is held, out or to be given back: idle gateways cost nothing."""
        attempts, now = self.attempts, self.turn.now
        if not attempts.jobs and not self.quotas.holding:
            return
        held = attempts.queue or any(not job.out for job in attempts.jobs.values())
        due = now + TICK * (1 if held else WATCH_TICKS)
        if not now + EPS < self.tick_at <= due:  # a host may round a timer down a little
            self.tick_at = due
            self.turn.actions.append(i.SetTimer(due, 1))
