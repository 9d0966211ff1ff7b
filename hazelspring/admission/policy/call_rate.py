"""Limits the rate of counter calls, adapting it to how the last calls were answered."""

from __future__ import annotations

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.admission.policy.context import SMOOTHING, TICK, Context

INITIAL_CALLS = 400.0  # initial counter calls of all gateways within the shortest target time of any class
MIN_CALLS = 60.0  # calls a second of all gateways at least: enough to detect that the counter answers again
INCREASE = 0.25  # largest relative increase for a quick answer, while the rate limits calls
DECREASE = 0.88  # factor for a call that fails or takes at least half of its time-out


class CallRate:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.rate = self.initial_rate()  # calls a second
        self.normal_rate, self.cut_at = self.rate, 0.0  # rate before an outage; time of the last decrease
        self.calls_left, self.calls_at = 1 + ctx.random.random(), 0.0
        self.failing = 0.0  # smoothed share of failed calls

    def on_call(self) -> None:
        """Take one call from the budget."""
        self.calls_left, self.calls_at = self.budget() - 1, self.ctx.now

    def retune(self) -> None:
        """Start at the initial rate if the new settings are the first with a counter."""
        if not self.rate:
            self.rate = self.normal_rate = self.initial_rate()

    def rescale(self, factor: float) -> None:
        self.rate *= factor
        self.normal_rate *= factor

    def initial_rate(self) -> float:
        """Guess the rate, as the counter's capacity is not known: shorter target times come with more
        calls.  Too high a rate is costly when all gateways start: the counter works on timed-out calls."""
        return INITIAL_CALLS / self.ctx.aim / self.ctx.peers if self.ctx.settings.has_counter else 0.0

    def on_answer(self, event: i.Counted, good: bool) -> None:
        """Increase the rate slowly, or decrease it when a call fails or is slow; after an outage, double it
        up to half of the former rate.  A call that broke off early doesn't mean that the counter is busy."""
        self.failing += SMOOTHING * ((not good) - self.failing)
        quick = event.spent < self.ctx.settings.counter_timeout / 2
        if quick and event.outcome is Outcome.TIMEOUT:
            return
        if quick and good:
            if self.rate < self.normal_rate / 2:
                self.rate *= 2
            elif not self.has_spare():  # the rate limits calls
                # An answer far sooner than half of the time-out shows that the counter has spare capacity.
                self.rate *= 1 + INCREASE * (1 - 2 * event.spent / self.ctx.settings.counter_timeout) ** 4
                self.normal_rate = max(self.normal_rate, self.rate)
        elif self.ctx.now - self.cut_at > 2 * self.ctx.settings.counter_timeout:
            unavailable = self.failing > 0.5
            self.rate = max(MIN_CALLS / self.ctx.peers, self.rate * DECREASE ** (1 + unavailable))
            self.normal_rate, self.cut_at = self.normal_rate if unavailable else self.rate, self.ctx.now

    def budget(self) -> float:
        """Return how many counter calls may be made now."""
        most = 2 + self.rate * TICK * 4
        return min(most, self.calls_left + (self.ctx.now - self.calls_at) * self.rate)

    def may_call(self) -> bool:
        return self.ctx.settings.has_counter and self.budget() >= 1.0

    def has_spare(self) -> bool:
        """Whether the budget allows calls that only improve a decision."""
        return self.budget() > 1 + self.rate * TICK * 2
