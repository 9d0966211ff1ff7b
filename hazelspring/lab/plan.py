"""The plan of a play, computed before it starts: servers, arrivals, faults with their targets, and settings.

The whole plan is determined by the day and the seed; only the play's secret is random.
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass

import msgspec

from hazelspring.lab.day import GATEWAY_FAULTS, SERVER_FAULTS, Day, Fault
from hazelspring.lab.models.alertserver import ServerSpec
from hazelspring.lab.models.customers import CLASSES, Arrivals, draw, tariffs_of
from hazelspring.lab.models.random_streams import stream, uniform

KINDS = ("full-box", "old-box")  # machine types of the alert servers
OLD_SHARE = 0.32  # share of the alert servers that are of the second, slower machine type
SPEEDS = ((0.85, 1.1), (0.51, 0.69))  # by machine type: range of the speed
GRACE = 0.25  # seconds for which new requests may still go to a server that is draining, gone or detached
SLACK = 0.05  # seconds that the rules add to every time limit, as the play runs on real sockets
MAX_RETRY_AFTER_S = 2.0  # largest `Retry-After` in seconds that a gateway may send and a client waits for
DEDUP_SPAN = 7.5  # seconds for which a rack drops repeated requests
MAX_ATTEMPTS = 5  # times that a gateway may forward one attempt of a client
MAX_WARM_UP = 18.0  # longest time in seconds that a server takes to warm up
MIN_COLD_SHARE = 0.16  # smallest share of its capacity that a server has just after its start


class Play(msgspec.Struct, frozen=True):
    """The parameters that every process of a play receives, as JSON on its first line of input."""

    day: str  # the day as JSON
    seed: int
    secret: str  # alert servers sign their responses with it; no gateway knows it
    folder: str
    server_process_count: int = 2  # number of processes that run the alert servers
    gateway_command: tuple[str, ...] = ()  # starts a gateway; empty: the gateway of this checkout
    gateway_root: str = ""  # folder in which that command is started

    def parsed(self) -> Day:
        """Return the day that `day` holds as JSON."""
        return Day.model_validate_json(self.day)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its targets, which are indices of gateways or of alert servers."""

    fault: Fault
    number: int
    targets: tuple[int, ...]

    @property
    def end(self) -> float:
        """When the fault ends, in seconds since the start of the day."""
        return self.fault.at + self.fault.lasts


def servers_of(day: Day, seed: int) -> list[ServerSpec]:
    """Draw the alert servers of a day."""
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
                speed=uniform(random, SPEEDS[kind]),
                slots=slots,
                queue=queue,
                thrash_at=uniform(random, (3.1, 7.3)),
                thrash=uniform(random, (0.032, 0.25)),
                cold_share=max(MIN_COLD_SHARE, uniform(random, (0.16, 0.47))),
                warm_up=uniform(random, (5.6, MAX_WARM_UP)),
                handshake=uniform(random, (0.0006, 0.0018)) / day.pace,
                probe=uniform(random, (0.00012, 0.00059)) / day.pace,
                refresh=uniform(random, (0.11, 0.99)),
                connections=int(uniform(random, (400, 840))) * 2,
                memory=DEDUP_SPAN,
            )
        )
    return found


def arrivals_of(day: Day, seed: int) -> Arrivals:
    """Draw the arrivals of a day, whose `load` is a share of the capacity of its alert servers."""
    capacity = sum(spec.cores * spec.speed for spec in servers_of(day, seed))
    bursts = [(f.at, f.at + f.lasts, f.size) for f in day.faults if f.kind == "burst"]
    return draw(seed, day.length_s, day.doors, day.load * capacity, day.pace, bursts)


def planned_faults(day: Day, seed: int) -> list[PlannedFault]:
    """Draw the targets of the day's faults.  A fault whose `part` rounds to no target gets one."""
    found = []
    for number, fault in enumerate(day.faults):
        random = stream(seed, f"fault {number}")
        targets: tuple[int, ...] = ()
        if fault.kind == "zone":
            zone = int(random.integers(len(day.zones)))
            targets = tuple(n for n in range(day.servers) if n % len(day.zones) == zone)
        elif fault.kind in GATEWAY_FAULTS or fault.kind in SERVER_FAULTS:
            total = day.doors if fault.kind in GATEWAY_FAULTS else day.servers
            count = max(1, round(total * fault.part))
            targets = tuple(sorted(int(n) for n in random.permutation(total)[:count]))
        found.append(PlannedFault(fault, number, targets))
    return found


# --- request ids, bodies and responses, which one side creates and the other side checks ----------------


def request_id(seed: int, request: int, attempt: int) -> str:
    """Return 16 hex digits: the request's index, the attempt's number, and a checksum over them and the seed.

    The checksum proves that a client of this play created the id.
    """
    checksum = zlib.crc32(f"{seed} {request} {attempt}".encode()) & 0xFFFFFF
    return f"{request:08x}{attempt:02x}{checksum:06x}"


def parse_request_id(seed: int, attempt_id: str) -> tuple[int, int] | None:
    """Return the request and the attempt that the id `attempt_id` names, or None if no client created it."""
    try:
        request, attempt = int(attempt_id[:8], 16), int(attempt_id[8:10], 16)
    except ValueError:
        return None
    return (request, attempt) if request_id(seed, request, attempt) == attempt_id else None


def is_large(day: Day, request: int) -> bool:
    """Whether this request and its response have large bodies; this is the same in each play of the day."""
    return (request * 2654435761) % 2**32 < day.large_share * 2**32


def body_of(day: Day, seed: int, request: int, keyed: bool) -> bytes:
    """Return the body of a request; it is empty unless the request's class is keyed."""
    if not keyed:
        return b""
    size = day.large_kb * 1024 if is_large(day, request) else 100 + request % 300
    unit = f"{seed:x} {request:x} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


def response_body(day: Day, secret: str, server: str, attempt_id: str, request: int) -> bytes:
    """Return the response body of this alert server for the request id `attempt_id`.

    It is signed with the play's secret, so that nothing but the play's alert servers can create it.
    """
    signature = hashlib.blake2b(f"{secret} {server} {attempt_id}".encode(), digest_size=16).hexdigest()
    line = f"{server} {attempt_id} {signature}\n".encode()
    return line * (day.large_kb * 1024 // len(line)) if is_large(day, request) else line


def is_response_body(day: Day, secret: str, attempt_id: str, request: int, body: bytes) -> bool:
    """Whether an alert server of the play created this body for this request."""
    server = body.split(b" ", 1)[0].decode("latin-1")
    return body == response_body(day, secret, server, attempt_id, request)


# --- the settings of a gateway --------------------------------------------------------------------------


def settings_of(day: Day, seed: int, gateway: int) -> dict[str, object]:
    """Return the settings of one gateway, in the format of the deployment's settings file."""
    classes = [
        {
            "name": spec.name, "goal_time_s": spec.goal_time, "deadline_s": spec.deadline,
            "effect": "keyed" if spec.keyed else "safe", "dedup_scope": "cell" if spec.keyed else "all",
            "memory_span_s": DEDUP_SPAN if spec.keyed else 5.0, "worth": spec.worth,
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
        "me": gateway, "peers_total": day.doors, "az": gateway % len(day.zones), "zones": day.zones,
        "period_s": 0.004, "host_types": list(KINDS), "membership_mode": "push", "weight_source": "rough",
        "caps": {
            "cancel": True, "conn_idle_s": 15.0, "connect_timeout_s": 0.25, "max_attempts": MAX_ATTEMPTS,
            "max_retry_after_s": MAX_RETRY_AFTER_S, "may_probe": True, "retry_after": True,
            "second_copies": True,
        },
        "classes": classes, "tariffs": tariffs,
        "extra": {"has_counter": True, "counter_price": 0.02, "counter_timeout_s": 0.08, "settles": False},
        "report": {"how": "pull", "columns": ["util", "inflight"]},
        "penalties": {"late_fail": 0.03, "probe": 0.01, "waste": 0.05, "handshake": 0.0},
        "rules": {
            "answer_slack_s": 0.016, "ask_within_s": 10.0, "cold_share": MIN_COLD_SHARE,
            "drain_grace_s": GRACE, "fall_multiple": 3.0, "fall_s": 2.0, "warm_up_s": MAX_WARM_UP,
        },
    }  # fmt: skip
