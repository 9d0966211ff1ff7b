"""NODE_CONFIG as typed configuration."""

from __future__ import annotations

import hashlib
import json
import math
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hazelspring.admission import interface as i
from hazelspring.admission.wire import Reader, read_settings

MOST_CONFIG = 4 << 20  # bytes of a configuration; a list of backends may be as long as a line of discovery's
MOST_LISTED = 256  # classes or tariffs
SHOWN = 3  # problems named in one line
MOST_CHANGES = 200  # lines of a comparison
REREADS = 5  # of a file that is replaced while it is read
FIXED = ("name", "listen", "seed")  # hold from a start to its end


class ConfigError(ValueError):
    """A configuration that cannot be served: its problems, and as the text one plain line."""

    def __init__(self, *problems: str) -> None:
        self.problems = tuple(map(one_line, problems))
        more = len(problems) - SHOWN
        super().__init__("; ".join(self.problems[:SHOWN]) + (f"; and {more} more" if more > 0 else ""))


def one_line(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)[:400]


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    management: Address | None  # the operators' address, where there is one
    shared: Path | None  # the folder that all processes of this front door share
    passed: int | None  # the descriptor of the clients' listening socket, where the platform holds it
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int  # file descriptors that the process may hold
    known: dict[str, Any]  # the list of backends as this front door last had it, in discovery's form
    settings: i.Settings
    kinds: tuple[str, ...]
    conn_idle: float  # seconds after which a backend closes an idle connection
    raw: dict[str, Any]  # the settings as the file has them
    fixed: tuple[object, ...]  # what the file says of the keys in FIXED, whatever the environment says
    named_management: Address | None  # and of the operators' address
    text: bytes = field(repr=False)  # the whole file

    @property
    def digest(self) -> str:
        return hashlib.sha256(self.text).hexdigest()[:16]

    @property
    def basis(self) -> str:
        """A digest of what changes live, wherever the rest of the file is new with each start."""
        raw = json.loads(self.text)
        kept = {key: raw.get(key) for key in ("discovery", "counter", "limits", "settings")}
        return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()[:16]


def parse_address(text: object) -> Address:
    host, sep, port = str(text).rpartition(":")
    if not (sep and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    return Address(host, int(port))


def plain(value: object) -> str:
    """A value as the settings text writes it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested settings as pairs of path and value."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for number, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(plain, value))
    elif value is not None:
        yield path, plain(value)


@dataclass(slots=True, frozen=True)
class Checked:
    """What a look at a configuration found; there is one to serve with only where there is no problem."""

    config: Config | None
    problems: tuple[str, ...]  # the path, what is wrong, and the value
    unknown: tuple[str, ...]  # paths that mean nothing here and are skipped


class _Document:
    """A JSON text, with what JSON's grammar leaves open: keys that stand twice, and what is no number."""

    def __init__(self, text: bytes) -> None:
        self.repeats: list[tuple[dict[str, Any], str]] = []
        self.constants = False
        self.root = json.loads(text.decode(), object_pairs_hook=self.pairs, parse_constant=self.constant)

    def pairs(self, items: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(items)
        if len(found) < len(items):
            names = [name for name, _ in items]
            self.repeats += [(found, name) for name in found if names.count(name) > 1][:MOST_LISTED]
        return found

    def constant(self, name: str) -> float:
        self.constants = True
        return float(name.replace("Infinity", "inf"))

    def problems(self) -> Iterator[str]:
        if self.repeats or self.constants:
            yield from self.walk(self.root, "")

    def walk(self, value: object, path: str) -> Iterator[str]:
        if isinstance(value, dict):
            yield from (f"{path}{name}: stands twice" for at, name in self.repeats if at is value)
            for name, inner in value.items():
                yield from self.walk(inner, f"{path}{name}.")
        elif isinstance(value, list):
            for number, inner in enumerate(value):
                yield from self.walk(inner, f"{path}{number}.")
        elif isinstance(value, float) and not math.isfinite(value):
            yield f"{path[:-1]}: not a number: {value}"


def check(
    text: bytes, env: Mapping[str, str], before: Config | None = None, rollback: bool = False
) -> Checked:
    """Every problem of a configuration, at a start or in place of the one before: the one check there is.
    What the one before had and this one lacks was lost on the way, unless it is an earlier one.
    """
    if len(text) > MOST_CONFIG:
        return Checked(None, (f"larger than {MOST_CONFIG} bytes",), ())
    try:
        document = _Document(text)
    except UnicodeDecodeError as error:
        return Checked(None, (f"not UTF-8: {error.reason} at byte {error.start}",), ())
    except (ValueError, RecursionError) as error:
        return Checked(None, (f"not JSON: {error}",), ())
    raw = document.root
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        return Checked(None, ("settings: the configuration is not an object with settings",), ())
    problems = list(document.problems())
    if before is not None:
        # The environment names the addresses that this front door was started with.
        env = {k: v for k, v in env.items() if k not in ("NODE_DISCOVERY", "NODE_MANAGEMENT")}
    nested = raw["settings"]
    problems += listed_wrong(nested, "classes", needed=True)
    problems += listed_wrong(nested, "tariffs", needed=False)
    if any(problem.startswith(("settings.classes:", "settings.tariffs:")) for problem in problems):
        return Checked(None, tuple(problems), ())
    top = Reader(dict(flatten({k: v for k, v in raw.items() if k not in ("settings", "known")})))
    own = Reader(dict(flatten(nested)))
    settings = read_settings(own)
    conn_idle = own.positive("caps.conn_idle_s")
    kinds = own.listed("host_types")
    sockets = top.count("limits.sockets")
    if not any(problem.startswith("limits.sockets:") for problem in top.problems) and sockets < 64:
        top.wrong("limits.sockets", "too few to serve with")
    name = env.get("NODE_NAME") or top.text("name")
    seed, passed = top.text("seed"), env.get("NODE_PASSED_SOCKET") or ""
    try:
        number = int(seed, 16) if seed else 0
    except ValueError:
        number = 0
        top.wrong("seed", "not a number in hexadecimal")
    addresses = Addresses(raw, env, top.problems)
    discovery, listen = addresses.get("discovery"), addresses.get("listen")
    counter, management = addresses.get("counter", needed=False), addresses.get("management", needed=False)
    named = addresses.named("management")
    if before is not None:
        management = before.management if named == before.named_management else named
    if settings.has_counter and raw.get("counter") is None:
        top.problems.append("counter: the settings name a counter, but no address is given")
    if passed and not passed.isdecimal():
        top.problems.append(f"$NODE_PASSED_SOCKET: not a descriptor: {passed}")
    known = raw.get("known") or {}
    if known and not (isinstance(known, dict) and isinstance(known.get("hosts"), list)):
        top.problems.append("known: not an object with hosts")
    elif known and not (is_number(known.get("seq")) and math.isfinite(known["seq"])):
        top.problems.append(f"known.seq: not a number: {known.get('seq')}")
    names = [c.name for c in settings.classes]
    own.problems += [f"classes: two have one name: {n}" for n in sorted(set(names)) if names.count(n) > 1]
    for path in sorted(lacking(before.raw, nested) if before is not None and not rollback else ()):
        problems.append(f"{path}: missing or no number, and was there before")
    problems += top.problems
    problems += [f"settings.{problem}" for problem in own.problems]
    top.read |= {*ADDRESSES, "limits.cores", "limits.memory_mb"}
    counts = {"classes.count", "tariffs.count"}
    unknown = sorted(top.values.keys() - top.read)
    unknown += sorted(f"settings.{key}" for key in own.values.keys() - own.read - counts)
    if problems or discovery is None or listen is None:
        return Checked(None, tuple(dict.fromkeys(problems)), tuple(unknown))
    config = Config(
        name=name,
        listen=listen,
        management=management,
        shared=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        passed=int(passed) if passed else None,
        discovery=discovery,
        counter=counter,
        seed=number,
        sockets=sockets,
        known=known,
        settings=settings,
        kinds=kinds,
        conn_idle=conn_idle,
        raw=nested,
        fixed=tuple(raw.get(key) for key in FIXED),
        named_management=named,
        text=text,
    )
    return Checked(config, (), tuple(unknown))


ADDRESSES = {
    "discovery": "NODE_DISCOVERY",
    "listen": "NODE_LISTEN",
    "management": "NODE_MANAGEMENT",
    "counter": "",
}


class Addresses:
    """The addresses of a configuration; the environment's own variables win over the file."""

    def __init__(self, raw: Mapping[str, Any], env: Mapping[str, str], problems: list[str]) -> None:
        self.raw, self.env, self.problems = raw, env, problems

    def get(self, key: str, needed: bool = True) -> Address | None:
        value = self.env.get(ADDRESSES[key]) or self.raw.get(key)
        if not value:
            if needed:
                self.problems.append(f"{key}: missing")
            return None
        try:
            return parse_address(value)
        except ConfigError as error:
            self.problems.append(f"{key}: {error}")
            return None

    def named(self, key: str) -> Address | None:
        """What the file itself says."""
        try:
            return parse_address(self.raw[key]) if self.raw.get(key) else None
        except ConfigError:
            return None


def listed_wrong(nested: Mapping[str, Any], key: str, needed: bool) -> Iterator[str]:
    found = nested.get(key)
    if not found and not needed and found in (None, []):
        return
    if not isinstance(found, list) or not found or not all(isinstance(item, dict) for item in found):
        yield f"settings.{key}: missing" if found is None else f"settings.{key}: not a list of objects"
    elif len(found) > MOST_LISTED:
        yield f"settings.{key}: more than {MOST_LISTED}: {len(found)}"


def checked(text: bytes, env: Mapping[str, str], before: Config | None = None) -> Config:
    found = check(text, env, before)
    if found.config is None:
        raise ConfigError(*found.problems)
    return found.config


def parse(text: str, env: Mapping[str, str]) -> Config:
    """The configuration; the environment's own variables win over the file."""
    return checked(text.encode(), env)


def is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def lacking(before: object, now: object, path: str = "settings") -> Iterator[str]:
    """The keys that settings had and lack now, or have no number for.  Classes and tariffs come and go; what
    each of them has does not.
    """
    if isinstance(before, dict):
        for key, value in before.items():
            if not isinstance(now, dict) or now.get(key) is None:
                yield f"{path}.{key}"
            else:
                yield from lacking(value, now[key], f"{path}.{key}")
    elif isinstance(before, list) and isinstance(now, list):
        items = [item for item in before if isinstance(item, dict)]
        common = {k: v for k, v in items[0].items() if all(k in item for item in items)} if items else None
        for number, item in enumerate(now):
            yield from lacking(common, item, f"{path}.{number}")
    elif is_number(before) and not is_number(now):
        yield path


def reload(env: Mapping[str, str], before: Config) -> Config:
    """The configuration again: what it lacks now was lost on the way, and is no default."""
    return checked(read(env.get("NODE_CONFIG")), env, before)


def load(env: Mapping[str, str]) -> Config:
    return checked(read(env.get("NODE_CONFIG")), env)


def read(path: str | None) -> bytes:
    """A file as it was at one moment: one that is written or replaced meanwhile is read again."""
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        for _ in range(REREADS):
            with open(path, "rb") as source:
                before = stamp(os.fstat(source.fileno()))
                text = source.read(MOST_CONFIG + 1)
            if stamp(os.stat(path)) == before:
                return text
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    raise ConfigError("cannot read the configuration: it is replaced again and again")


def stamp(found: os.stat_result) -> tuple[int, int, int, int]:
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns


def changes(before: Config, after: Config) -> list[str]:
    """The keys that differ, one line each, and which of them hold from the next start only."""

    def values(config: Config) -> dict[str, str]:
        raw = json.loads(config.text)
        return dict(flatten({key: value for key, value in raw.items() if key != "known"}))

    old, new = values(before), values(after)
    differing = sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))
    lines = []
    for key in differing[:MOST_CHANGES]:
        was, now = old.get(key, "absent")[:80], new.get(key, "absent")[:80]
        lines.append(one_line(f"{key}: {was} -> {now}{' (needs a restart)' if key in FIXED else ''}"))
    more = len(differing) - MOST_CHANGES
    return lines if more <= 0 else [*lines, f"and {more} more"]
