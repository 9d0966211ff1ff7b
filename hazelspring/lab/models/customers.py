"""Customers: what they have a right to, what they ask, through which front doors, and how they try again."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

import numpy as np

from hazelspring.lab.models.chance import stream, within

CALM_USE = (0.15, 0.5)  # of the rate
FULL = (0.088, 0.22)  # shares of the customers: those that use nearly all of their quota,
HEAVY = (0.066, 0.12)  # those that ask for a multiple of it for long spells,
SPIKY = (0.12, 0.2)  # and now and then
HEAVY_TIMES = (1.6, 4.4)
SPIKE_TIMES = (2.0, 5.9)
SPIKE_S = (1.9, 5.0)
SPIKE_EVERY = (10.0, 25.0)
SHIFT_S = (3.4, 8.6)
SPREAD = (2, 4)  # front doors of a customer's set
MOST_EXCESS = 0.9  # asked beyond quotas for each that is asked inside


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests; `work` is the span of its mean work in seconds of one core."""

    name: str
    share: float
    work: tuple[float, float]
    aim: float
    deadline: float
    worth: float
    keyed: bool


@dataclass(frozen=True, slots=True)
class TariffSpec:
    """A tariff: its part of the use inside quotas, and the spans that a day draws its figures from."""

    name: str
    share: float
    rate: tuple[float, float]  # requests a second for each customer
    burst: tuple[float, float]  # seconds' worth of the rate that may be used at once
    pays: float
    over_cost: float


CLASSES = (
    ClassSpec("gauge-read", 0.58, (0.039, 0.067), 0.6, 2.0, 1.0, False),
    ClassSpec("alert-rule", 0.42, (0.064, 0.110), 0.8, 3.0, 2.0, True),
)
TARIFFS = (
    TariffSpec("obec", 0.27, (0.6, 1.0), (3.5, 5.4), 0.45, 1.0),
    TariffSpec("okres", 0.30, (1.0, 1.8), (3.0, 6.0), 0.72, 0.8),
    TariffSpec("kraj", 0.20, (3.2, 5.5), (1.4, 2.9), 1.1, 1.2),
    TariffSpec("narodny", 0.23, (8.0, 14.0), (1.1, 2.7), 1.4, 0.8),
)


@dataclass(frozen=True, slots=True)
class Tariff:
    """A tariff as it is on one day."""

    name: str
    rate: float
    units: float  # that may be used at once
    pays: float
    over_cost: float


@dataclass(frozen=True, slots=True)
class Customer:
    number: int
    tariff: int
    first: int
    spread: int


@dataclass(slots=True)
class Arrivals:
    """All first tries of a day, in order of time.  One entry a request in each array."""

    at: np.ndarray  # microseconds since the start
    customer: np.ndarray  # place in `customers`
    cls: np.ndarray
    work: np.ndarray  # microseconds of one core
    wait: np.ndarray  # milliseconds for which the first try waits
    door: np.ndarray  # [request, try] a draw below 2^32: which front door of its set
    customers: tuple[Customer, ...]
    tariffs: tuple[Tariff, ...]
    shifts: tuple[np.ndarray, ...]  # by customer: when its weights change, microseconds
    weights: tuple[np.ndarray, ...]  # by customer: [spell, door of its set], cumulative, below 2^32

    def __len__(self) -> int:
        return len(self.at)

    def digest(self) -> str:
        """Of all that is sent; the same on any machine."""
        found = hashlib.sha256()
        for array in (self.at, self.customer, self.cls, self.work, self.wait, self.door):
            found.update(np.ascontiguousarray(array, dtype="<i8").tobytes())
        for shifts, weights in zip(self.shifts, self.weights, strict=True):
            found.update(shifts.astype("<i8").tobytes() + weights.astype("<i8").tobytes())
        return found.hexdigest()[:16]

    def place(self, request: int, attempt: int, up: list[bool]) -> int:
        """The front door that the front deals this try to; what it sees down gets none, if others are up."""
        customer = self.customers[self.customer[request]]
        index = int(self.customer[request])
        spell = int(np.searchsorted(self.shifts[index], self.at[request], side="right"))
        draw = int(self.door[request, min(attempt, self.door.shape[1] - 1)])
        place = int(np.searchsorted(self.weights[index][spell], draw, side="right"))
        doors = [
            (customer.first + (place + step) % customer.spread) % len(up) for step in range(customer.spread)
        ]
        return int(next((door for door in doors if up[door]), doors[0]))


def tariffs_of(seed: int, pace: float) -> tuple[Tariff, ...]:
    """The figures of a seed's tariffs; `pace` times as many requests, of as much less work each."""
    random = stream(seed, "tariffs")
    made = []
    for spec in TARIFFS:
        rate = round(within(random, spec.rate), 2)
        units = float(max(2, round(rate * within(random, spec.burst))))
        made.append(
            Tariff(spec.name, round(rate * pace, 3), math.ceil(units * pace), spec.pays, spec.over_cost)
        )
    return tuple(made)


def mean_work(seed: int) -> tuple[float, ...]:
    """Mean work of each class on that seed's day, seconds of one core."""
    random = stream(seed, "work")
    return tuple(within(random, spec.work) for spec in CLASSES)


def draw(
    seed: int, length: float, doors: int, inside: float, pace: float, bursts: list[tuple[float, float, float]]
) -> Arrivals:
    """The arrivals of a day.  `inside`: work a second that is asked for inside quotas, in seconds of one
    core; `bursts`: spans of time in which that is multiplied.
    """
    tariffs, works = tariffs_of(seed, pace), mean_work(seed)
    shares = np.array([spec.share for spec in CLASSES])
    per_request = float(np.dot(shares, works)) / pace
    total = inside / per_request  # requests a second
    who = stream(seed, "customers")
    full, heavy, spiky = (within(who, span) for span in (FULL, HEAVY, SPIKY))
    customers: list[Customer] = []
    times: list[np.ndarray] = []
    shifts: list[np.ndarray] = []
    weights: list[np.ndarray] = []
    excess = 0.0
    for index, (spec, tariff) in enumerate(zip(TARIFFS, tariffs, strict=True)):
        asked = 0.0
        while asked < spec.share * total:
            kind = who.random()
            use = within(who, CALM_USE)
            long, spike = 1.0, 0.0
            if kind < full:
                use = within(who, (0.9, 1.0))
            elif kind < full + heavy:
                use, long = 1.0, within(who, HEAVY_TIMES)
            elif kind < full + heavy + spiky:
                spike = within(who, SPIKE_TIMES)
            part = min(1.0, (spec.share * total - asked) / (use * tariff.rate))
            asked += use * tariff.rate
            if (excess + tariff.rate * (long - 1)) > MOST_EXCESS * total:
                long = 1.0
            excess += tariff.rate * (long - 1)
            number = int(who.integers(1, 2**33))
            spread = min(doors, int(who.integers(SPREAD[0], SPREAD[1] + 1)))
            customers.append(Customer(number, index, int(who.integers(doors)), spread))
            own = stream(seed, f"customer {len(customers)}")
            times.append(
                spell_times(own, length, part * use * tariff.rate * long, spike * tariff.rate, bursts)
            )
            edges = np.cumsum(own.uniform(*SHIFT_S, size=math.ceil(length / SHIFT_S[0]) + 1))
            drawn = own.gamma(1.0, size=(len(edges) + 1, spread)) + 0.05
            shares_of = np.cumsum(drawn, axis=1) / drawn.sum(axis=1, keepdims=True)
            shifts.append((edges * 1e6).astype(np.int64))
            weights.append((shares_of[:, :-1] * 2**32).astype(np.int64))
    order = np.concatenate(times) if times else np.empty(0)
    owner = np.repeat(np.arange(len(times)), [len(found) for found in times])
    place = np.lexsort((owner, order))
    at, owner = (order[place] * 1e6).astype(np.int64), owner[place]
    what = stream(seed, "requests")
    count = len(at)
    cls = np.searchsorted(np.cumsum(shares) / shares.sum(), what.random(count), side="right")
    spread_of = np.clip(what.gamma(4.0, 0.25, size=count), 0.1, 5.0)
    work = (np.array(works)[cls] / pace * spread_of * 1e6).astype(np.int64)
    wait = (np.array([spec.deadline for spec in CLASSES])[cls] * what.uniform(0.5, 1.0, count) * 1e3).astype(
        np.int64
    )
    door = what.integers(0, 2**32, size=(count, 4))
    return Arrivals(
        at, owner, cls, work, wait, door, tuple(customers), tariffs, tuple(shifts), tuple(weights)
    )


def spell_times(
    random: np.random.Generator,
    length: float,
    rate: float,
    spike: float,
    bursts: list[tuple[float, float, float]],
) -> np.ndarray:
    """Times of a Poisson stream, seconds, with spikes now and then and the day's bursts."""
    most = max([1.0, *(times for _, _, times in bursts)])
    spells = []
    if spike:
        at = float(random.uniform(0, SPIKE_EVERY[1]))
        while at < length:
            lasts = within(random, SPIKE_S)
            spells.append((at, at + lasts))
            at += lasts + within(random, SPIKE_EVERY)
    top = max(rate, spike) * most
    found = np.cumsum(random.exponential(1 / top, size=int(top * length * 1.3) + 40)) if top else np.empty(0)
    found = found[found < length]
    now = np.full(len(found), rate)
    for begin, end in spells:
        now = np.where((found >= begin) & (found < end), max(rate, spike), now)
    for begin, end, times in bursts:
        now = np.where((found >= begin) & (found < end), now * times, now)
    return found[random.random(len(found)) * top < now]


@dataclass(frozen=True, slots=True)
class Manners:
    """How clients try again."""

    retries: int
    backoff: float
    honour: float  # the share that waits as long as `Retry-After` says
    most_wait: float


def manners_of(seed: int, most_wait: float) -> Manners:
    random = stream(seed, "manners")
    retries = int(random.integers(0, 3))
    backoff = float(random.choice([0.0, within(random, (0.03, 0.24))]))
    return Manners(retries, backoff, within(random, (0.62, 0.99)), most_wait)


def again_after(manners: Manners, seed: int, request: int, tries: int, advice: float) -> float | None:
    """Seconds after which a client tries again, having had `tries` without a good answer; None: not at all.
    Who honours an advice is the client's nature, and the same in each replay.
    """
    if tries > manners.retries:
        return None
    honours = ((request * 2654435761 + seed * 40503) % 2**32) / 2**32 < manners.honour
    return min(advice, manners.most_wait) if advice and honours else manners.backoff
