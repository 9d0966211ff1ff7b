"""What a day file says: its sizes, its load, its faults; each wrong key is named with its path and value."""

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
# Whether a kind concerns front doors or alert servers, and whether its size means anything.
OF_DOORS = {"kill_doors", "term_doors", "reload", "put", "rollback", "upgrade", "upgrade_dies"}
OF_SERVERS = {"kill_servers", "drain_servers", "cut_servers", "slow_servers", "reset", "delay", "ban"}
SIZED = {
    "slow_servers", "reset", "delay", "counter_slow", "discovery_late", "discovery_full", "burst", "hostile",
}  # fmt: skip
PASSED = {"upgrade", "upgrade_dies"}  # the platform holds the clients' listening sockets on such a day


class DayError(Exception):
    """A day file that cannot be played; every problem, with key path and value."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class Fault(BaseModel):
    """One fault: when, for how long (`for`), on what part, and how much."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Kind
    at: float = Field(ge=0)
    lasts: float = Field(default=0.0, ge=0, alias="for")
    part: float = Field(default=1.0, gt=0, le=1)
    size: float = Field(default=0.0, ge=0)

    @model_validator(mode="after")
    def fits(self) -> Fault:
        if self.kind in SIZED and not self.size:
            raise ValueError(f"{self.kind} needs a size above zero")
        if self.kind in ("reset", "slow_servers") and self.size > 1:
            raise ValueError(f"{self.kind}: the size is a share, at most 1")
        return self


class Allow(BaseModel):
    """What the rules let pass on this day."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    beyond_quota: float = Field(default=0.3, ge=0, le=1)  # share of the units let in
    log_kb: int = Field(default=512, gt=0)  # of one front door
    ready_s: float = Field(default=10.0, gt=0)


class Day(BaseModel):
    """A day; times in seconds since its start."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    about: str
    length_s: float = Field(default=20.0, gt=0, le=3600)
    doors: int = Field(default=3, ge=1, le=100)
    servers: int = Field(default=12, ge=1, le=200)
    zones: list[str] = Field(default=["ba-petrzalka"], min_length=1, max_length=8)
    load: float = Field(default=0.5, gt=0, le=3)  # asked inside quotas, of what the alert servers can do
    pace: float = Field(default=1.0, gt=0, le=100)  # so many times as many requests, of as much less work
    notice_s: tuple[float, float] = (2.0, 4.9)  # after which discovery sees that a process has died
    told_s: tuple[float, float] = (0.2, 0.9)  # after which a front door is told of a change
    large_share: float = Field(default=0.0, ge=0, le=1)  # of the requests, with large bodies both ways
    large_kb: int = Field(default=1024, gt=64, le=32768)
    memory_mb: int = Field(default=128, ge=32)
    sockets: int = Field(default=1024, ge=256)
    allow: Allow = Allow()
    faults: list[Fault] = Field(default=[])

    @model_validator(mode="after")
    def fits(self) -> Day:
        for number, fault in enumerate(self.faults):
            if fault.at >= self.length_s:
                raise ValueError(
                    f"faults.{number}.at: {fault.at} is not before the day's end, {self.length_s}"
                )
            if fault.kind == "zone" and len(self.zones) < 2:
                raise ValueError(f"faults.{number}.kind: a zone can only be lost where there are two or more")
        return self

    def passed(self) -> bool:
        """Whether the platform holds the listening sockets and hands them on."""
        return any(fault.kind in PASSED for fault in self.faults)


def shipped() -> dict[str, Path]:
    """The days that come along, by name."""
    folder = Path(str(resources.files("hazelspring.lab") / "days"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load_day(name: str, **changes: float | int | None) -> Day:
    """A shipped day by name, or a day file by path, with sizes changed.  Raises DayError."""
    path = shipped().get(name, Path(name))
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise DayError(f"{name}: no shipped day, and no file: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DayError(f"{name}: not TOML: {error}") from None
    length = changes.get("length_s")
    if length and isinstance(faults := raw.get("faults"), list):
        raw["faults"] = [f for f in faults if not (isinstance(f, dict) and later(f.get("at"), length))]
    raw |= {key: value for key, value in changes.items() if value is not None}
    try:
        return Day.model_validate(raw)
    except ValidationError as error:
        raise DayError(*(problem(found) for found in error.errors())) from None


def later(at: object, length: float) -> bool:
    return isinstance(at, int | float) and at >= length


def problem(found: object) -> str:
    """One of pydantic's errors as a line: key path, what is wrong, value."""
    assert isinstance(found, dict)
    path = ".".join(str(part) for part in found["loc"])
    said = str(found["msg"]).removeprefix("Value error, ")
    if not path or isinstance(found["input"], dict):
        return ": ".join(filter(None, (path, said)))
    return f"{path}: {said}: {repr(found['input'])[:80]}"
