"""Owns the pace of counter calls: how many may be made, by how the last ones were answered."""

from __future__ import annotations

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome
from hazelspring.admission.policy.turn import SMOOTH, TICK, Turn

PACE = 400.0  # counter calls to begin with in the time of the shortest aim, by all gateways
PACE_LEAST = 60.0  # while it answers nothing: enough to see it come back
PACE_UP = 0.25  # at most added to the pace for each quick answer while calls are left out for it
PACE_CUT = 0.88  # and for each call that fails or takes half its time-out


class Pace:
    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.pace = self.first_pace()  # calls a second
        self.steady, self.cut_at = self.pace, 0.0  # pace before the counter's trouble; its last cut
        self.calls_left, self.calls_at = 1 + turn.random.random(), 0.0
        self.failing = 0.0  # smoothed share of failed calls

    def taken(self) -> None:
        """A call is made."""
        self.calls_left, self.calls_at = self.budget() - 1, self.turn.now

    def retune(self) -> None:
        """A counter that there was none of before."""
        if not self.pace:
            self.pace = self.steady = self.first_pace()

    def rescale(self, factor: float) -> None:
        self.pace *= factor
        self.steady *= factor

    def first_pace(self) -> float:
        """A guess, as the counter's room is told nowhere: short aims go with more calls.  One too high
        costs much when all gateways start at once: the counter works on calls that nobody waits for."""
        return PACE / self.turn.aim / self.turn.peers if self.turn.settings.has_counter else 0.0

    def judge(self, event: i.Counted, good: bool) -> None:
        """Calls are paced by their answers: up slowly, down when one fails or is slow; after a silence
        doubling back to half.  One that broke off early failed without the counter being busy."""
        self.failing += SMOOTH * ((not good) - self.failing)
        quick = event.spent < self.turn.settings.counter_timeout / 2
        if quick and event.outcome is Outcome.TIMEOUT:
            return
        if quick and good:
            if self.pace < self.steady / 2:
                self.pace *= 2
            elif not self.spare():  # from here on calls are left out
                # An answer far sooner than half of the time-out tells of a counter that has room for more.
                self.pace *= 1 + PACE_UP * (1 - 2 * event.spent / self.turn.settings.counter_timeout) ** 4
                self.steady = max(self.steady, self.pace)
        elif self.turn.now - self.cut_at > 2 * self.turn.settings.counter_timeout:
            away = self.failing > 0.5
            self.pace = max(PACE_LEAST / self.turn.peers, self.pace * PACE_CUT ** (1 + away))
            self.steady, self.cut_at = self.steady if away else self.pace, self.turn.now

    def budget(self) -> float:
        """Counter calls that may be made now."""
        most = 2 + self.pace * TICK * 4
        return min(most, self.calls_left + (self.turn.now - self.calls_at) * self.pace)

    def may_call(self) -> bool:
        return self.turn.settings.has_counter and self.budget() >= 1.0

    def spare(self) -> bool:
        """Whether there are calls enough for those that only refine a decision."""
        return self.budget() > 1 + self.pace * TICK * 2
