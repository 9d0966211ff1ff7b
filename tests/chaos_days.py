"""Random fault schedules for consensus.

A schedule is determined by its seed alone, so that it can be run again, and reduced to the steps that fail.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

# kinds of steps and how often each is drawn, relative to the others: operators' calls; faults and their ends
CALLS = (
    "put 8 put_conflicting 4 put_again 5 put_lower 1 evacuate 4 read 5 many_changes 1 calls_at_all_nodes 3"
)
FAULTS = (
    "kill 4 power_loss 2 restart 8 cut_link 4 isolate 4 isolate_group 2 restore_links 5 slow_disk 2 "
    "stall_disk 2 fill_disk 2 repair_disks 3 freeze 4 thaw 5 replace 2 remove 1 return_machine 2 wipe 3 "
    "rolling_restart 2 retire 1 disorder_messages 3 delay_link 3"
)
FREQUENCIES = f"{CALLS} {FAULTS} wait 6".split()
KINDS = dict(zip(FREQUENCIES[::2], map(int, FREQUENCIES[1::2]), strict=True))
ENDED_BY = {
    "kill": "restart",
    "power_loss": "restart",
    "cut_link": "restore_links",
    "freeze": "thaw",
    "fill_disk": "repair_disks",
}
PAUSES = (0.0, 0.001, 0.003, 0.02, 0.05, 0.2, 0.5, 1.0, 2.5)  # seconds after a step


@dataclass(slots=True, frozen=True)
class Step:
    """One step of a schedule; the random numbers `target` and `variant` select the node and the details."""

    kind: str
    target: int
    variant: int
    pause: float  # seconds until the next step


@dataclass(slots=True, frozen=True)
class Schedule:
    """The size of the simulated deployment, the faults that last from start to end, and the steps."""

    seed: int
    core: int  # the number of nodes with a disk; a diskless seed is included
    others: int  # the number of further nodes without a disk
    diskless_seed: bool  # one of the seed nodes has no disk
    within_tolerance: bool  # no more nodes are lost at the same time than the core tolerates
    from_start: bool  # the faults begin while the deployment is first started
    odd: float  # the fraction of messages that are delayed, and also the fraction that arrive twice
    drop: float  # the fraction of messages that are lost
    skewed_clocks: bool  # each start of a node gets a steady clock with an offset and a rate of its own
    steps: tuple[Step, ...]

    def __str__(self) -> str:
        head = f"seed {self.seed}: core {self.core}+{self.others}"
        head += f"{', diskless seed' * self.diskless_seed}{', faults from the start' * self.from_start}"
        head += (
            f", {'within' if self.within_tolerance else 'beyond'} the tolerated losses"
            f"{', skewed clocks' * self.skewed_clocks}, odd {self.odd}, drop {self.drop}"
        )
        return "\n".join([head, *(f"  {s.kind} {s.target} {s.variant} {s.pause}" for s in self.steps)])


def draw(seed: int) -> Schedule:
    """Return the schedule of a seed; the same seed always gives the same schedule."""
    chance = random.Random(seed)
    kinds, weights = list(KINDS), list(KINDS.values())
    # a schedule has only some kinds of faults, so that these coincide
    faults = chance.sample(kinds[8:], chance.randint(4, 14))
    weights = [
        w if kind in faults or n < 8 or kind == "wait" else 0 for n, (kind, w) in enumerate(KINDS.items())
    ]
    for kind, end in ENDED_BY.items():
        if kind in faults:
            weights[kinds.index(end)] = KINDS[end]
    steps = tuple(
        Step(
            chance.choices(kinds, weights)[0],
            chance.randrange(24),
            chance.randrange(24),
            chance.choice(PAUSES),
        )
        for _ in range(chance.randint(8, 45))
    )
    core = chance.choice((3, 3, 3, 4, 4, 5, 5, 6, 7, 8))
    odd, drop = chance.choice((0.0, 0.0, 0.05, 0.2)), chance.choice((0.0, 0.0, 0.05))
    flags = [chance.random() < part for part in (0.15, 0.5, 0.25, 0.5)]
    diskless_seed, within_tolerance, from_start, skewed_clocks = flags
    return Schedule(
        seed,
        core,
        chance.choice((1, 1, 2)),
        diskless_seed and core > 3,
        within_tolerance,
        from_start,
        odd,
        drop,
        skewed_clocks,
        steps,
    )


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Return a schedule reduced to fewer steps that still fail.

    Halves of the steps are left out in turn, then quarters and so on, and at last single steps.
    """
    size = max(1, len(schedule.steps) // 2)
    while True:
        at = 0
        while at < len(schedule.steps):
            less = replace(schedule, steps=schedule.steps[:at] + schedule.steps[at + size :])
            if fails(less):
                schedule = less
            else:
                at += size
        if size == 1:
            return schedule
        size = max(1, size // 2)
