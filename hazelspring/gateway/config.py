"""Reads and checks the gateway's configuration, the JSON file that NODE_CONFIG names."""

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

MAX_CONFIG_BYTES = 4 << 20  # the list of backends may be as long as a line from discovery
MAX_LIST_ENTRIES = 256  # classes or tariffs in one configuration
PROBLEMS_SHOWN = 3  # problems that the one-line error text contains
MAX_DIFF_LINES = 200  # lines of a comparison of two configurations
MAX_READ_ATTEMPTS = 5  # for a file that changes while it is read
RESTART_ONLY_KEYS = ("name", "listen", "seed")  # settings that a running process cannot change


class ConfigError(ValueError):
    """A configuration that the gateway cannot use.

    `problems` has all of its problems.  The error text names the first of them, in one line of printable
    characters.
    """

    def __init__(self, *problems: str) -> None:
        self.problems = tuple(map(one_line, problems))
        more = len(problems) - PROBLEMS_SHOWN
        super().__init__(
            "; ".join(self.problems[:PROBLEMS_SHOWN]) + (f"; and {more} more" if more > 0 else "")
        )


def one_line(text: str) -> str:
    """Return the first 400 characters of a text, with a question mark for each unprintable one."""
    return "".join(c if c.isprintable() else "?" for c in text)[:400]


@dataclass(slots=True, frozen=True)
class Address:
    """A TCP address."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Config:
    """A checked configuration of the gateway, with what the environment overrides."""

    name: str
    listen: Address
    management: Address | None  # the address for operators' calls; None if there is none
    shared: Path | None  # the folder that all processes of this gateway share
    passed: int | None  # descriptor of the clients' listening socket, if the platform passed it
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int  # file descriptors that the process may have open
    known: dict[str, Any]  # the last list of backends that this gateway had, in discovery's format
    settings: i.Settings
    kinds: tuple[str, ...]
    conn_idle: float  # seconds after which a backend closes an idle connection
    raw: dict[str, Any]  # the `settings` object as parsed from the file
    restart_only_values: tuple[object, ...]  # of RESTART_ONLY_KEYS in the file, without the environment's
    file_management: Address | None  # the management address in the file, without the environment's
    text: bytes = field(repr=False)  # the content of the file

    @property
    def digest(self) -> str:
        """The first 16 hexadecimal digits of the SHA-256 of the file."""
        return hashlib.sha256(self.text).hexdigest()[:16]

    @property
    def basis(self) -> str:
        """A digest of the settings that can change while the process runs.

        The platform writes other values for the rest of the file at each start.
        """
        raw = json.loads(self.text)
        kept = {key: raw.get(key) for key in ("discovery", "counter", "limits", "settings")}
        return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()[:16]


def parse_address(text: object) -> Address:
    """Parse HOST:PORT.  Raises ConfigError if the text has another form or the port is above 65535."""
    host, sep, port = str(text).rpartition(":")
    if not (sep and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    return Address(host, int(port))


def format_setting(value: object) -> str:
    """Format a value for the settings text, which allows neither spaces nor commas in a value."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the values of nested settings, each with its path in dotted form."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for number, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(format_setting, value))
    elif value is not None:
        yield path, format_setting(value)


@dataclass(slots=True, frozen=True)
class CheckResult:
    """The result of a check.  `config` is None if the configuration has any problem."""

    config: Config | None
    problems: tuple[str, ...]  # each with the path, what is wrong, and the value
    unknown: tuple[str, ...]  # paths that the gateway does not know and skips


class _Document:
    """A parsed JSON text.

    It also reports repeated keys and non-finite numbers, which `json.loads` accepts.
    """

    def __init__(self, text: bytes) -> None:
        self.repeated_keys: list[tuple[dict[str, Any], str]] = []
        self.has_non_finite = False
        self.root = json.loads(
            text.decode(), object_pairs_hook=self.build_object, parse_constant=self.parse_non_finite
        )

    def build_object(self, items: list[tuple[str, Any]]) -> dict[str, Any]:
        """Build a dict for `json.loads`, and note the keys that occur more than once."""
        found = dict(items)
        if len(found) < len(items):
            names = [name for name, _ in items]
            self.repeated_keys += [(found, name) for name in found if names.count(name) > 1][
                :MAX_LIST_ENTRIES
            ]
        return found

    def parse_non_finite(self, name: str) -> float:
        """Convert NaN, Infinity or -Infinity for `json.loads`."""
        self.has_non_finite = True
        return float(name.replace("Infinity", "inf"))

    def problems(self) -> Iterator[str]:
        """Yield each repeated key and non-finite number, with its path."""
        if self.repeated_keys or self.has_non_finite:
            yield from self.walk(self.root, "")

    def walk(self, value: object, path: str) -> Iterator[str]:
        """Yield the problems of a part of the document; `path` is empty or ends with a dot."""
        if isinstance(value, dict):
            yield from (f"{path}{name}: stands twice" for at, name in self.repeated_keys if at is value)
            for name, inner in value.items():
                yield from self.walk(inner, f"{path}{name}.")
        elif isinstance(value, list):
            for number, inner in enumerate(value):
                yield from self.walk(inner, f"{path}{number}.")
        elif isinstance(value, float) and not math.isfinite(value):
            yield f"{path[:-1]}: not a number: {value}"


def check(
    text: bytes, env: Mapping[str, str], before: Config | None = None, rollback: bool = False
) -> CheckResult:
    """Find every problem of a configuration, either at a start or as the replacement of `before`.

    This is the only check of a configuration.  A key that `before` has and this text lacks is a problem, as
    it was probably lost when the file was written; a rollback to an earlier generation may lack it.
    """
    if len(text) > MAX_CONFIG_BYTES:
        return CheckResult(None, (f"larger than {MAX_CONFIG_BYTES} bytes",), ())
    try:
        document = _Document(text)
    except UnicodeDecodeError as error:
        return CheckResult(None, (f"not UTF-8: {error.reason} at byte {error.start}",), ())
    except (ValueError, RecursionError) as error:
        return CheckResult(None, (f"not JSON: {error}",), ())
    raw = document.root
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        return CheckResult(None, ("settings: the configuration is not an object with settings",), ())
    problems = list(document.problems())
    if before is not None:
        # The environment has the addresses from the start of this gateway; the new file may replace them.
        env = {k: v for k, v in env.items() if k not in ("NODE_DISCOVERY", "NODE_MANAGEMENT")}
    nested = raw["settings"]
    problems += list_problems(nested, "classes", needed=True)
    problems += list_problems(nested, "tariffs", needed=False)
    if any(problem.startswith(("settings.classes:", "settings.tariffs:")) for problem in problems):
        return CheckResult(None, tuple(problems), ())
    top = Reader(dict(flatten({k: v for k, v in raw.items() if k not in ("settings", "known")})))
    own = Reader(dict(flatten(nested)))
    settings = read_settings(own)
    conn_idle = own.positive("caps.conn_idle_s")
    kinds = own.listed("host_types")
    sockets = top.count("limits.sockets")
    if not any(problem.startswith("limits.sockets:") for problem in top.problems) and sockets < 64:
        top.add_problem("limits.sockets", "too few to serve with")
    name = env.get("NODE_NAME") or top.text("name")
    seed, passed = top.text("seed"), env.get("NODE_PASSED_SOCKET") or ""
    try:
        number = int(seed, 16) if seed else 0
    except ValueError:
        number = 0
        top.add_problem("seed", "not a number in hexadecimal")
    addresses = Addresses(raw, env, top.problems)
    discovery, listen = addresses.get("discovery"), addresses.get("listen")
    counter, management = addresses.get("counter", needed=False), addresses.get("management", needed=False)
    named = addresses.from_file("management")
    if before is not None:
        management = before.management if named == before.file_management else named
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
    for path in sorted(missing_keys(before.raw, nested) if before is not None and not rollback else ()):
        problems.append(f"{path}: missing or no number, and was there before")
    problems += top.problems
    problems += [f"settings.{problem}" for problem in own.problems]
    top.used_keys |= {*ADDRESSES, "limits.cores", "limits.memory_mb"}
    counts = {"classes.count", "tariffs.count"}
    unknown = sorted(top.values.keys() - top.used_keys)
    unknown += sorted(f"settings.{key}" for key in own.values.keys() - own.used_keys - counts)
    if problems or discovery is None or listen is None:
        return CheckResult(None, tuple(dict.fromkeys(problems)), tuple(unknown))
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
        restart_only_values=tuple(raw.get(key) for key in RESTART_ONLY_KEYS),
        file_management=named,
        text=text,
    )
    return CheckResult(config, (), tuple(unknown))


ADDRESSES = {
    "discovery": "NODE_DISCOVERY",
    "listen": "NODE_LISTEN",
    "management": "NODE_MANAGEMENT",
    "counter": "",
}


class Addresses:
    """The addresses of a configuration.  The variables in ADDRESSES take precedence over the file."""

    def __init__(self, raw: Mapping[str, Any], env: Mapping[str, str], problems: list[str]) -> None:
        self.raw, self.env, self.problems = raw, env, problems

    def get(self, key: str, needed: bool = True) -> Address | None:
        """Return an address, or None with a problem added if it is malformed, or needed but missing."""
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

    def from_file(self, key: str) -> Address | None:
        """Return the address in the file, regardless of the environment; None if missing or malformed."""
        try:
            return parse_address(self.raw[key]) if self.raw.get(key) else None
        except ConfigError:
            return None


def list_problems(nested: Mapping[str, Any], key: str, needed: bool) -> Iterator[str]:
    """Yield a problem if the list of classes or tariffs is missing, too long, or not a list of objects."""
    found = nested.get(key)
    if not found and not needed and found in (None, []):
        return
    if not isinstance(found, list) or not found or not all(isinstance(item, dict) for item in found):
        yield f"settings.{key}: missing" if found is None else f"settings.{key}: not a list of objects"
    elif len(found) > MAX_LIST_ENTRIES:
        yield f"settings.{key}: more than {MAX_LIST_ENTRIES}: {len(found)}"


def require_valid(text: bytes, env: Mapping[str, str], before: Config | None = None) -> Config:
    """Return the checked configuration.  Raises ConfigError with all its problems."""
    found = check(text, env, before)
    if found.config is None:
        raise ConfigError(*found.problems)
    return found.config


def parse(text: str, env: Mapping[str, str]) -> Config:
    """Return the checked configuration; environment variables take precedence over the text.

    Raises ConfigError with all its problems.
    """
    return require_valid(text.encode(), env)


def is_number(value: object) -> bool:
    """Tell numbers from all else, including booleans, which are integers in Python."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def missing_keys(before: object, now: object, path: str = "settings") -> Iterator[str]:
    """Yield the keys that are missing from the new settings, or whose number became another type.

    Classes and tariffs may be added and removed, but the keys that all of the old ones have are required in
    each of the new ones.
    """
    if isinstance(before, dict):
        for key, value in before.items():
            if not isinstance(now, dict) or now.get(key) is None:
                yield f"{path}.{key}"
            else:
                yield from missing_keys(value, now[key], f"{path}.{key}")
    elif isinstance(before, list) and isinstance(now, list):
        items = [item for item in before if isinstance(item, dict)]
        common = {k: v for k, v in items[0].items() if all(k in item for item in items)} if items else None
        for number, item in enumerate(now):
            yield from missing_keys(common, item, f"{path}.{number}")
    elif is_number(before) and not is_number(now):
        yield path


def reload(env: Mapping[str, str], before: Config) -> Config:
    """Read the configuration file again.  Raises ConfigError.

    A key that `before` has and the file lacks is an error: it was probably lost when the file was written,
    so it must not get its default.
    """
    return require_valid(read(env.get("NODE_CONFIG")), env, before)


def load(env: Mapping[str, str]) -> Config:
    """Read the configuration file at a start.  Raises ConfigError."""
    return require_valid(read(env.get("NODE_CONFIG")), env)


def read(path: str | None) -> bytes:
    """Read a consistent copy of a file: one that is written or replaced meanwhile is read again.

    Returns at most one byte more than MAX_CONFIG_BYTES.  Raises ConfigError if the file cannot be read, or
    changes during each of MAX_READ_ATTEMPTS reads.
    """
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        for _ in range(MAX_READ_ATTEMPTS):
            with open(path, "rb") as source:
                before = file_identity(os.fstat(source.fileno()))
                text = source.read(MAX_CONFIG_BYTES + 1)
            if file_identity(os.stat(path)) == before:
                return text
    except OSError as error:
        raise ConfigError(f"cannot read the configuration: {error}") from None
    raise ConfigError("cannot read the configuration: it is replaced again and again")


def file_identity(found: os.stat_result) -> tuple[int, int, int, int]:
    """Return the fields of a file's status that differ once the file has been written or replaced."""
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns


def config_diff(before: Config, after: Config) -> list[str]:
    """Return a line for each key that differs, with a note if its change needs a restart."""

    def values(config: Config) -> dict[str, str]:
        raw = json.loads(config.text)
        return dict(flatten({key: value for key, value in raw.items() if key != "known"}))

    old, new = values(before), values(after)
    differing = sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))
    lines = []
    for key in differing[:MAX_DIFF_LINES]:
        was, now = old.get(key, "absent")[:80], new.get(key, "absent")[:80]
        lines.append(
            one_line(f"{key}: {was} -> {now}{' (needs a restart)' if key in RESTART_ONLY_KEYS else ''}")
        )
    more = len(differing) - MAX_DIFF_LINES
    return lines if more <= 0 else [*lines, f"and {more} more"]
