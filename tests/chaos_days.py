"""Days of the control side, each drawn from its number alone, so that it can be played again, and cut short."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

# how often each is drawn: calls of operators, and troubles with what ends them
CALLS = "put 8 race 4 again 5 lower 1 zone 4 read 5 storm 1 burst 3"
TROUBLES = (
    "kill 4 power 2 back 8 cut 4 alone 4 lure 2 mend 5 slow 2 stall 2 full 2 heal 3 freeze 4 thaw 5 replace 2 remove 1 "
    "return 2 wipe 3 roll 2 retire 1 odd 3 lag 3"
)
WORDS = f"{CALLS} {TROUBLES} wait 6".split()
KINDS = dict(zip(WORDS[::2], map(int, WORDS[1::2]), strict=True))
CURES = {"kill": "back", "power": "back", "cut": "mend", "freeze": "thaw", "full": "heal"}
PAUSES = (0.0, 0.001, 0.003, 0.02, 0.05, 0.2, 0.5, 1.0, 2.5)


@dataclass(slots=True, frozen=True)
class Act:
    """One step of a day: what, to whom by lot numbers, and how long it is then let be."""

    what: str
    which: int
    more: int
    pause: float


@dataclass(slots=True, frozen=True)
class Day:
    seed: int
    core: int
    others: int
    bare: bool  # one of the seeds has no disk
    tame: bool
    early: bool  # the troubles begin with the founding
    odd: float
    drop: float
    clocks: bool  # each life has a steady clock of its own, of its own speed
    actions: tuple[Act, ...]

    def __str__(self) -> str:
        head = f"seed {self.seed}: core {self.core}+{self.others}{' bare' * self.bare}{' early' * self.early}"
        head += (
            f"{' tame' if self.tame else ' wild'}{' clocks' * self.clocks} odd {self.odd} drop {self.drop}"
        )
        return "\n".join([head, *(f"  {d.what} {d.which} {d.more} {d.pause}" for d in self.actions)])


def draw(seed: int) -> Day:
    lot = random.Random(seed)
    kinds, weights = list(KINDS), list(KINDS.values())
    some = lot.sample(kinds[8:], lot.randint(4, 14))  # a day has some kinds of trouble, so that these meet
    weights = [
        w if kind in some or n < 8 or kind == "wait" else 0 for n, (kind, w) in enumerate(KINDS.items())
    ]
    for kind, cure in CURES.items():
        if kind in some:
            weights[kinds.index(cure)] = KINDS[cure]
    actions = tuple(
        Act(lot.choices(kinds, weights)[0], lot.randrange(24), lot.randrange(24), lot.choice(PAUSES))
        for _ in range(lot.randint(8, 45))
    )
    core = lot.choice((3, 3, 3, 4, 4, 5, 5, 6, 7, 8))
    odd, drop = lot.choice((0.0, 0.0, 0.05, 0.2)), lot.choice((0.0, 0.0, 0.05))
    flags = [lot.random() < part for part in (0.15, 0.5, 0.25, 0.5)]
    bare, tame, early, clocks = flags
    return Day(seed, core, lot.choice((1, 1, 2)), bare and core > 3, tame, early, odd, drop, clocks, actions)


def shrink(day: Day, fails: Callable[[Day], bool]) -> Day:
    """The fewest deeds that still fail: halves, quarters and single ones are left out in turn."""
    size = max(1, len(day.actions) // 2)
    while True:
        at = 0
        while at < len(day.actions):
            less = replace(day, actions=day.actions[:at] + day.actions[at + size :])
            if fails(less):
                day = less
            else:
                at += size
        if size == 1:
            return day
        size = max(1, size // 2)
