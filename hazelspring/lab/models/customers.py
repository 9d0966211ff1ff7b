"""Customers: their quotas, their requests, the gateways that they use, and how their clients retry."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

import numpy as np

from hazelspring.lab.models.random_streams import stream, uniform

CALM_USE = (0.15, 0.5)  # requested share of the quota rate, unless a customer is in FULL or HEAVY
FULL = (0.088, 0.22)  # share of the customers that use nearly all of their quota
HEAVY = (0.066, 0.12)  # share of the customers that request a multiple of their quota all the time
SPIKY = (0.12, 0.2)  # share of the customers that request a multiple of their quota from time to time
HEAVY_MULTIPLE = (1.6, 4.4)  # request rate of those in HEAVY / quota rate
SPIKE_MULTIPLE = (2.0, 5.9)  # request rate of those in SPIKY during a spike / quota rate
SPIKE_S = (1.9, 5.0)  # seconds that a spike lasts
SPIKE_INTERVAL_S = (10.0, 25.0)  # seconds from the end of a spike to the start of the next one
SHIFT_S = (3.4, 8.6)  # seconds between changes of the weights with which a customer uses its gateways
SPREAD = (2, 4)  # number of gateways that a customer uses
MAX_EXCESS = 0.9  # requests beyond quotas / requests within quotas


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests; `work` is the range of its mean work in seconds of one core.

    `goal_time` and `deadline` are in seconds.  `worth` is the value of a request that is served within
    `goal_time`.  Requests of a `keyed` class carry an idempotency key.
    """

    name: str
    share: float
    work: tuple[float, float]
    goal_time: float
    deadline: float
    worth: float
    keyed: bool


@dataclass(frozen=True, slots=True)
class TariffSpec:
    """A tariff: its share of the load within quotas, and the ranges that a day draws its values from."""

    name: str
    share: float
    rate: tuple[float, float]  # requests per second for each customer
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
    """A tariff with the values of one day."""

    name: str
    rate: float  # requests per second
    units: float  # units that may be used at once: the size of the token bucket
    pays: float
    over_cost: float


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its set of gateways: the `spread` gateways from index `first` on, with wrap-around."""

    number: int
    tariff: int  # index into the tariffs
    first: int
    spread: int


@dataclass(slots=True)
class Arrivals:
    """The first attempts of all requests of a day, in order of time.  Each array has an entry per request."""

    at: np.ndarray  # microseconds since the start
    customer: np.ndarray  # index into `customers`
    cls: np.ndarray
    work: np.ndarray  # microseconds of one core
    wait: np.ndarray  # milliseconds for which the client waits for the response to an attempt
    gateway_draws: np.ndarray  # [request, attempt]: number below 2^32 that selects a gateway of the set
    customers: tuple[Customer, ...]
    tariffs: tuple[Tariff, ...]
    shifts: tuple[np.ndarray, ...]  # by customer: when its weights change, microseconds
    weights: tuple[np.ndarray, ...]  # by customer: [period, gateway of its set], cumulative, below 2^32

    def __len__(self) -> int:
        return len(self.at)

    def digest(self) -> str:
        """Return a digest of all that the clients send; it is the same on any machine."""
        found = hashlib.sha256()
        for array in (self.at, self.customer, self.cls, self.work, self.wait, self.gateway_draws):
            found.update(np.ascontiguousarray(array, dtype="<i8").tobytes())
        for shifts, weights in zip(self.shifts, self.weights, strict=True):
            found.update(shifts.astype("<i8").tobytes() + weights.astype("<i8").tobytes())
        return found.hexdigest()[:16]

    def gateway_for(self, request: int, attempt: int, up: list[bool]) -> int:
        """Return the gateway that the load balancer sends this attempt to.

        A gateway that is down gets no attempts unless all gateways of the customer's set are down.
        """
        customer = self.customers[self.customer[request]]
        index = int(self.customer[request])
        period = int(np.searchsorted(self.shifts[index], self.at[request], side="right"))
        draw = int(self.gateway_draws[request, min(attempt, self.gateway_draws.shape[1] - 1)])
        position = int(np.searchsorted(self.weights[index][period], draw, side="right"))
        gateways = [
            (customer.first + (position + step) % customer.spread) % len(up)
            for step in range(customer.spread)
        ]
        return int(next((gateway for gateway in gateways if up[gateway]), gateways[0]))


def tariffs_of(seed: int, pace: float) -> tuple[Tariff, ...]:
    """Draw the tariffs of a seed.  `pace` multiplies rates and units, as it divides the work of a request."""
    random = stream(seed, "tariffs")
    found = []
    for spec in TARIFFS:
        rate = round(uniform(random, spec.rate), 2)
        units = float(max(2, round(rate * uniform(random, spec.burst))))
        found.append(
            Tariff(spec.name, round(rate * pace, 3), math.ceil(units * pace), spec.pays, spec.over_cost)
        )
    return tuple(found)


def mean_work(seed: int) -> tuple[float, ...]:
    """Draw the mean work of each class for this seed, in seconds of one core."""
    random = stream(seed, "work")
    return tuple(uniform(random, spec.work) for spec in CLASSES)


def draw(
    seed: int,
    length: float,
    gateway_count: int,
    inside: float,
    pace: float,
    bursts: list[tuple[float, float, float]],
) -> Arrivals:
    """Draw the arrivals of a day.

    `inside` is the work per second that is requested within quotas, in seconds of one core.  `bursts` are
    begin, end and factor of the periods in which the request rate is multiplied.
    """
    tariffs, works = tariffs_of(seed, pace), mean_work(seed)
    shares = np.array([spec.share for spec in CLASSES])
    per_request = float(np.dot(shares, works)) / pace
    total = inside / per_request  # requests per second
    customer_random = stream(seed, "customers")
    full, heavy, spiky = (uniform(customer_random, span) for span in (FULL, HEAVY, SPIKY))
    customers: list[Customer] = []
    times: list[np.ndarray] = []
    shifts: list[np.ndarray] = []
    weights: list[np.ndarray] = []
    excess = 0.0
    for index, (spec, tariff) in enumerate(zip(TARIFFS, tariffs, strict=True)):
        requested = 0.0
        while requested < spec.share * total:
            kind = customer_random.random()
            use = uniform(customer_random, CALM_USE)
            multiple, spike = 1.0, 0.0
            if kind < full:
                use = uniform(customer_random, (0.9, 1.0))
            elif kind < full + heavy:
                use, multiple = 1.0, uniform(customer_random, HEAVY_MULTIPLE)
            elif kind < full + heavy + spiky:
                spike = uniform(customer_random, SPIKE_MULTIPLE)
            part = min(1.0, (spec.share * total - requested) / (use * tariff.rate))
            requested += use * tariff.rate
            if (excess + tariff.rate * (multiple - 1)) > MAX_EXCESS * total:
                multiple = 1.0
            excess += tariff.rate * (multiple - 1)
            number = int(customer_random.integers(1, 2**33))
            spread = min(gateway_count, int(customer_random.integers(SPREAD[0], SPREAD[1] + 1)))
            customers.append(Customer(number, index, int(customer_random.integers(gateway_count)), spread))
            own_random = stream(seed, f"customer {len(customers)}")
            times.append(
                request_times(
                    own_random, length, part * use * tariff.rate * multiple, spike * tariff.rate, bursts
                )
            )
            edges = np.cumsum(own_random.uniform(*SHIFT_S, size=math.ceil(length / SHIFT_S[0]) + 1))
            drawn = own_random.gamma(1.0, size=(len(edges) + 1, spread)) + 0.05
            shares_of = np.cumsum(drawn, axis=1) / drawn.sum(axis=1, keepdims=True)
            shifts.append((edges * 1e6).astype(np.int64))
            weights.append((shares_of[:, :-1] * 2**32).astype(np.int64))
    order = np.concatenate(times) if times else np.empty(0)
    owner = np.repeat(np.arange(len(times)), [len(found) for found in times])
    by_time = np.lexsort((owner, order))
    at, owner = (order[by_time] * 1e6).astype(np.int64), owner[by_time]
    request_random = stream(seed, "requests")
    count = len(at)
    cls = np.searchsorted(np.cumsum(shares) / shares.sum(), request_random.random(count), side="right")
    spread_of = np.clip(request_random.gamma(4.0, 0.25, size=count), 0.1, 5.0)
    work = (np.array(works)[cls] / pace * spread_of * 1e6).astype(np.int64)
    wait = (
        np.array([spec.deadline for spec in CLASSES])[cls] * request_random.uniform(0.5, 1.0, count) * 1e3
    ).astype(np.int64)
    gateway_draws = request_random.integers(0, 2**32, size=(count, 4))
    return Arrivals(
        at, owner, cls, work, wait, gateway_draws, tuple(customers), tariffs, tuple(shifts), tuple(weights)
    )


def request_times(
    random: np.random.Generator,
    length: float,
    rate: float,
    spike: float,
    bursts: list[tuple[float, float, float]],
) -> np.ndarray:
    """Draw the times of a Poisson process, in seconds, with random spikes and the day's bursts.

    `rate` is in requests per second; `spike` is the rate during a spike, 0 for no spikes.
    """
    largest = max([1.0, *(factor for _, _, factor in bursts)])
    spikes = []
    if spike:
        at = float(random.uniform(0, SPIKE_INTERVAL_S[1]))
        while at < length:
            lasts = uniform(random, SPIKE_S)
            spikes.append((at, at + lasts))
            at += lasts + uniform(random, SPIKE_INTERVAL_S)
    top = max(rate, spike) * largest
    found = np.cumsum(random.exponential(1 / top, size=int(top * length * 1.3) + 40)) if top else np.empty(0)
    found = found[found < length]
    now = np.full(len(found), rate)
    for begin, end in spikes:
        now = np.where((found >= begin) & (found < end), max(rate, spike), now)
    for begin, end, factor in bursts:
        now = np.where((found >= begin) & (found < end), now * factor, now)
    return found[random.random(len(found)) * top < now]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How clients retry; `backoff` and `max_wait` are in seconds."""

    retries: int
    backoff: float
    honour_share: float  # share of the requests whose client waits as long as `Retry-After` says
    max_wait: float  # longest time that a client waits because of `Retry-After`


def retry_policy_of(seed: int, max_wait: float) -> RetryPolicy:
    """Draw the retry policy of a seed."""
    random = stream(seed, "manners")
    retries = int(random.integers(0, 3))
    backoff = float(random.choice([0.0, uniform(random, (0.03, 0.24))]))
    return RetryPolicy(retries, backoff, uniform(random, (0.62, 0.99)), max_wait)


def retry_delay(policy: RetryPolicy, seed: int, request: int, tries: int, advice: float) -> float | None:
    """Return the delay in seconds before a client retries after `tries` failed attempts; None for no retry.

    `advice` is the `Retry-After` of the last response in seconds, 0 if there was none.  Whether a client
    honours it depends on the request and the seed alone, so that it is the same in each play.
    """
    if tries > policy.retries:
        return None
    honours = ((request * 2654435761 + seed * 40503) % 2**32) / 2**32 < policy.honour_share
    return min(advice, policy.max_wait) if advice and honours else policy.backoff
