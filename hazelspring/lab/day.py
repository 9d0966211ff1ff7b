"""The schema of a day file, which describes a scenario for the lab: sizes, load and faults.

Errors name each invalid key with its path and value.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

Kind = Literal[
    "kill_doors", "term_doors", "reload", "put", "rollback", "ban", "upgrade", "upgrade_dies",
    "kill_servers", "drain_servers", "cut_servers", "slow_servers", "reset", "delay", "zone",
    "counter_away", "counter_slow", "counter_forget",
    "discovery_late", "discovery_silent", "discovery_full",
    "burst", "hostile",
]  # fmt: skip
# The kinds that target gateways, those that target alert servers, and those that require a size.
GATEWAY_FAULTS = {"kill_doors", "term_doors", "reload", "put", "rollback", "upgrade", "upgrade_dies"}
SERVER_FAULTS = {"kill_servers", "drain_servers", "cut_servers", "slow_servers", "reset", "delay", "ban"}
FAULTS_WITH_SIZE = {
    "slow_servers", "reset", "delay", "counter_slow", "discovery_late", "discovery_full", "burst", "hostile",
}  # fmt: skip
# On a day with one of these faults, the platform holds the clients' listening sockets and passes them to the
# gateways.
SOCKET_PASSING_FAULTS = {"upgrade", "upgrade_dies"}


class DayError(Exception):
    """A day file cannot be played; `problems` has an entry for each problem, with key path and value."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class Fault(BaseModel):
    """One fault: its time, its duration (`for`), the share of the targets that it affects, and its size.

    Times are in seconds.  The size is, for `slow_servers`, the remaining share of the speed; for `reset`,
    the share of the responses that are broken off; for `delay` and `discovery_late`, the added seconds; for
    `counter_slow` and `burst`, the factor of the service time and of the request rate; for `discovery_full`,
    the calls accepted per second; and for `hostile`, the hostile clients per second.  Other kinds ignore it.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Kind
    at: float = Field(ge=0)
    lasts: float = Field(default=0.0, ge=0, alias="for")
    part: float = Field(default=1.0, gt=0, le=1)
    size: float = Field(default=0.0, ge=0)

    @model_validator(mode="after")
    def check_size(self) -> Fault:
        """Check that the size is in the range that the kind requires."""
        if self.kind in FAULTS_WITH_SIZE and not self.size:
            raise ValueError(f"{self.kind} needs a size above zero")
        if self.kind in ("reset", "slow_servers") and self.size > 1:
            raise ValueError(f"{self.kind}: the size is a share, at most 1")
        return self


class Allow(BaseModel):
    """The bounds that the rules apply on this day."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    beyond_quota: float = Field(default=0.3, ge=0, le=1)  # share of the admitted units
    log_kb: int = Field(default=512, gt=0)  # of one gateway
    ready_s: float = Field(default=10.0, gt=0)  # from the start of a gateway until it is ready


class Day(BaseModel):
    """A day: the scenario that a play runs.  Times are in seconds since its start."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    about: str
    length_s: float = Field(default=20.0, gt=0, le=3600)
    doors: int = Field(default=3, ge=1, le=100)
    servers: int = Field(default=12, ge=1, le=200)
    zones: list[str] = Field(default=["ba-petrzalka"], min_length=1, max_length=8)
    load: float = Field(default=0.5, gt=0, le=3)  # work within quotas / capacity of the servers
    pace: float = Field(default=1.0, gt=0, le=100)  # multiplies the number of requests, divides their work
    notice_s: tuple[float, float] = (2.0, 4.9)  # delay until discovery detects that a process has ended
    told_s: tuple[float, float] = (0.2, 0.9)  # delay until discovery reports a change to a gateway
    large_share: float = Field(default=0.0, ge=0, le=1)  # of requests with large bodies in both directions
    large_kb: int = Field(default=1024, gt=64, le=32768)
    memory_mb: int = Field(default=128, ge=32)
    sockets: int = Field(default=1024, ge=256)
    allow: Allow = Allow()
    faults: list[Fault] = Field(default=[])

    @model_validator(mode="after")
    def check_faults(self) -> Day:
        """Check that faults start before the day's end, and that a zone is lost only if another remains."""
        for number, fault in enumerate(self.faults):
            if fault.at >= self.length_s:
                raise ValueError(
                    f"faults.{number}.at: {fault.at} is not before the day's end, {self.length_s}"
                )
            if fault.kind == "zone" and len(self.zones) < 2:
                raise ValueError(f"faults.{number}.kind: a zone can only be lost where there are two or more")
        return self

    def passes_listening_socket(self) -> bool:
        """Whether the platform holds the listening sockets and passes them to the gateways."""
        return any(fault.kind in SOCKET_PASSING_FAULTS for fault in self.faults)


def shipped() -> dict[str, Path]:
    """Return the paths of the days that are shipped with the lab, by name."""
    folder = Path(str(resources.files("hazelspring.lab") / "days"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_day(name: str, **changes: float | int | None) -> Day:
    """Load a shipped day by name, or a day file by path, and apply the changes that are not None.

    If the length is changed, faults that would start at the new end or later are dropped.  Raises DayError.
    """
    path = shipped().get(name, Path(name))
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise DayError(f"{name}: no shipped day, and no file: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DayError(f"{name}: not TOML: {error}") from None
    length = changes.get("length_s")
    if length and isinstance(faults := raw.get("faults"), list):
        raw["faults"] = [f for f in faults if not (isinstance(f, dict) and too_late(f.get("at"), length))]
    raw |= {key: value for key, value in changes.items() if value is not None}
    try:
        return Day.model_validate(raw)
    except ValidationError as error:
        raise DayError(*(describe_problem(found) for found in error.errors())) from None


def too_late(at: object, length: float) -> bool:
    """Whether a fault at this time would start only at the end of the day, or after it."""
    return isinstance(at, int | float) and at >= length


def describe_problem(error: object) -> str:
    """Format one of pydantic's errors as a line: key path, message, value."""
    assert isinstance(error, dict)
    path = ".".join(str(part) for part in error["loc"])
    message = str(error["msg"]).removeprefix("Value error, ")
    if not path or isinstance(error["input"], dict):
        return ": ".join(filter(None, (path, message)))
    return f"{path}: {message}: {repr(error['input'])[:80]}"
