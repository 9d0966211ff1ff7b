"""A play, laid out before it starts: who is there, where, and what happens when.  Pure but for the secret."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass

import msgspec

from hazelspring.lab.day import OF_DOORS, OF_SERVERS, Day, Fault
from hazelspring.lab.models.alertserver import ServerSpec
from hazelspring.lab.models.chance import stream, within
from hazelspring.lab.models.customers import CLASSES, Arrivals, draw, tariffs_of

KINDS = ("full-box", "old-box")
OLD_SHARE = 0.32
SPEEDS = ((0.85, 1.1), (0.51, 0.69))
GRACE = 0.25  # seconds after which nothing new goes to what drains, is gone, or is out by hand
SLACK = 0.05  # seconds by which every limit is longer on sockets
MOST_WAIT = 2.0  # seconds of `Retry-After`
MEMORY = 7.5  # seconds for which a rack drops repeats
MOST_ATTEMPTS = 5
WARM_UP = 18.0
COLD_FROM = 0.16


class Play(msgspec.Struct, frozen=True):
    """What every process of a play is told."""

    day: str  # the day as JSON
    seed: int
    secret: str  # alert servers sign their answers with it; no front door knows it
    folder: str
    hosts: int = 2  # processes of alert servers
    door: tuple[str, ...] = ()  # how a front door is started; empty: as this checkout's is
    root: str = ""  # and from which folder

    def parsed(self) -> Day:
        return Day.model_validate_json(self.day)


@dataclass(frozen=True, slots=True)
class Happening:
    """A fault with its targets: places of front doors or of alert servers."""

    fault: Fault
    number: int
    targets: tuple[int, ...]

    @property
    def end(self) -> float:
        return self.fault.at + self.fault.lasts


def servers_of(day: Day, seed: int) -> list[ServerSpec]:
    """The alert servers of a day."""
    random = stream(seed, "servers")
    slots, queue = int(random.integers(2, 7)) * 2, int(random.integers(12, 40)) * 2
    rack_size = int(random.integers(4, 9))
    found = []
    for number in range(day.servers):
        kind = int(random.random() < OLD_SHARE)
        found.append(
            ServerSpec(
                name=f"s-{zlib.crc32(f'{seed} {number}'.encode()):08x}",
                kind=kind,
                zone=number % len(day.zones),
                rack=number // rack_size,
                speed=within(random, SPEEDS[kind]),
                slots=slots,
                queue=queue,
                thrash_at=within(random, (3.1, 7.3)),
                thrash=within(random, (0.032, 0.25)),
                cold_from=max(COLD_FROM, within(random, (0.16, 0.47))),
                warm_up=within(random, (5.6, WARM_UP)),
                handshake=within(random, (0.0006, 0.0018)) / day.pace,
                probe=within(random, (0.00012, 0.00059)) / day.pace,
                refresh=within(random, (0.11, 0.99)),
                connections=int(within(random, (400, 840))) * 2,
                memory=MEMORY,
            )
        )
    return found


def arrivals_of(day: Day, seed: int) -> Arrivals:
    can = sum(spec.cores * spec.speed for spec in servers_of(day, seed))
    bursts = [(f.at, f.at + f.lasts, f.size) for f in day.faults if f.kind == "burst"]
    return draw(seed, day.length_s, day.doors, day.load * can, day.pace, bursts)


def happenings(day: Day, seed: int) -> list[Happening]:
    """The day's faults with their targets.  A part that rounds to none is one."""
    found = []
    for number, fault in enumerate(day.faults):
        random = stream(seed, f"fault {number}")
        targets: tuple[int, ...] = ()
        if fault.kind == "zone":
            zone = int(random.integers(len(day.zones)))
            targets = tuple(n for n in range(day.servers) if n % len(day.zones) == zone)
        elif fault.kind in OF_DOORS or fault.kind in OF_SERVERS:
            of = day.doors if fault.kind in OF_DOORS else day.servers
            count = max(1, round(of * fault.part))
            targets = tuple(sorted(int(n) for n in random.permutation(of)[:count]))
        found.append(Happening(fault, number, targets))
    return found


# --- ids, bodies, answers: what one side makes and the other checks ------------------------------------


def request_id(seed: int, request: int, attempt: int) -> str:
    """16 hex digits: its place, its number, and a mark that only a client of this play can have made."""
    mark = zlib.crc32(f"{seed} {request} {attempt}".encode()) & 0xFFFFFF
    return f"{request:08x}{attempt:02x}{mark:06x}"


def place_of(seed: int, found: str) -> tuple[int, int] | None:
    """The request and its try that this id names; None if no client made it."""
    try:
        request, attempt = int(found[:8], 16), int(found[8:10], 16)
    except ValueError:
        return None
    return (request, attempt) if request_id(seed, request, attempt) == found else None


def is_large(day: Day, request: int) -> bool:
    return (request * 2654435761) % 2**32 < day.large_share * 2**32


def body_of(day: Day, seed: int, request: int, keyed: bool) -> bytes:
    """The body of a request: none where its class is safe to repeat."""
    if not keyed:
        return b""
    size = day.large_kb * 1024 if is_large(day, request) else 100 + request % 300
    unit = f"{seed:x} {request:x} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


def answer_of(day: Day, secret: str, server: str, found: str, request: int) -> bytes:
    """The body that this alert server gives for this request, which nobody else can make."""
    sign = hashlib.blake2b(f"{secret} {server} {found}".encode(), digest_size=16).hexdigest()
    head = f"{server} {found} {sign}\n".encode()
    return head * (day.large_kb * 1024 // len(head)) if is_large(day, request) else head


def is_answer(day: Day, secret: str, found: str, request: int, body: bytes) -> bool:
    """Whether some alert server gave this body for this request."""
    server = body.split(b" ", 1)[0].decode("latin-1")
    return body == answer_of(day, secret, server, found, request)


# --- a front door's configuration -----------------------------------------------------------------------


def settings_of(day: Day, seed: int, door: int) -> dict[str, object]:
    """The settings of one front door, as the deployment's page has them."""
    classes = [
        {
            "name": spec.name, "goal_time_s": spec.aim, "deadline_s": spec.deadline,
            "effect": "keyed" if spec.keyed else "safe", "dedup_scope": "cell" if spec.keyed else "all",
            "memory_span_s": MEMORY if spec.keyed else 5.0, "worth": spec.worth,
            "late_value": 0.0, "stream": False,
        }
        for spec in CLASSES
    ]  # fmt: skip
    tariffs = [
        {
            "name": t.name, "quota_rate": t.rate, "peak_units": t.units, "parallel": 0, "pays": t.pays,
            "over_cost": t.over_cost, "beyond_earns": 0.0, "never_over_rate": 0.0, "hard_burst": 0.0,
            "ceiling_slack": 0.0,
        }
        for t in tariffs_of(seed, day.pace)
    ]  # fmt: skip
    return {
        "me": door, "peers_total": day.doors, "az": door % len(day.zones), "zones": day.zones,
        "period_s": 0.004, "host_types": list(KINDS), "membership_mode": "push", "weight_source": "rough",
        "caps": {
            "cancel": True, "conn_idle_s": 15.0, "connect_timeout_s": 0.25, "max_attempts": MOST_ATTEMPTS,
            "max_retry_after_s": MOST_WAIT, "may_probe": True, "retry_after": True, "second_copies": True,
        },
        "classes": classes, "tariffs": tariffs,
        "extra": {"has_counter": True, "counter_price": 0.02, "counter_timeout_s": 0.08, "settles": False},
        "report": {"how": "pull", "columns": ["util", "inflight"]},
        "penalties": {"late_fail": 0.03, "probe": 0.01, "waste": 0.05, "handshake": 0.0},
        "rules": {
            "answer_slack_s": 0.016, "ask_within_s": 10.0, "cold_share": COLD_FROM, "drain_grace_s": GRACE,
            "fall_multiple": 3.0, "fall_s": 2.0, "warm_up_s": WARM_UP,
        },
    }  # fmt: skip
