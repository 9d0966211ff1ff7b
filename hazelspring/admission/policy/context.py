"""What the policy's modules share for an event: time, settings, actions so far; and common constants."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from hashlib import blake2b

from hazelspring.admission import interface as i

# Times are in seconds; the other values are units or ratios.
TICK = 0.025  # interval at which queued requests are checked
WATCH_TICKS = 2  # ticks between checks of attempts in flight and of idle leases
FORGET = 30.0  # age at which idle records, and what the counter said about a customer, are dropped
NEWEST = 0.3  # weight of the newest grant or denial or report, and of reported load against own attempts
TARGET_SHARE = 0.5  # target latency as a share of the class's aim
SMOOTHING = 0.1  # weight of the newest latency
EJECT = 8.0  # latency that a failed connection counts as, in multiples of the fleet's latency
SUSPECT = 2.5  # latency from which a backend is suspect, in multiples of the fleet's latency
DECAY_TIME = 5.0  # time constant with which observed load and latencies decay
MARGIN = 0.03  # time reserved before a deadline or the end of a deduplication memory span
EPS = 1e-4  # tolerance: the counter's totals come back with seven digits


def mix(*parts: int) -> int:
    """Hash integers to a 64-bit number that is the same at every gateway."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class Context:
    """An event's time and actions, the settings, and the number of gateways, each process counted as one."""

    settings: i.Settings
    random: random.Random
    peers: int
    aim: float = field(init=False)  # seconds; the shortest aim of any class
    now: float = 0.0
    processes: int = 1  # that serve as this gateway
    actions: list[i.Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.retune(self.settings)

    def retune(self, settings: i.Settings) -> None:
        self.settings = settings
        self.aim = min((c.aim for c in settings.classes), default=1.0)
