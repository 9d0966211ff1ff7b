"""The settings file of a process: lines of a.b=value, checked by marshmallow; fields that are unknown are ignored."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import ValidationError, fields, post_load, pre_load, validate

from hazelspring.configuration.schema import Lenient, problems
from hazelspring.node.invariants import InvariantBounds
from hazelspring.quota.limits import QuotaRule
from hazelspring.routing.request_router import Rule
from ivymux.config import Address, ConfigError, parse_address


class SettingsError(ValueError):
    """A settings file that cannot be used: its problems, one a line."""

    code = "settings"


class UnreadableSettingsError(SettingsError):
    """The settings file could not be read; it may be readable later."""


class AddressField(fields.Field):  # type: ignore[type-arg]
    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> Address:
        try:
            address = parse_address(value)
        except ConfigError:
            raise ValidationError("not HOST:PORT") from None
        if not address.port:
            raise ValidationError("no port")
        return address


class Listed(fields.Field):  # type: ignore[type-arg]
    """A list joined by commas."""

    def __init__(self, inner: fields.Field[Any], **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.inner = inner

    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> list[Any]:
        return [self.inner.deserialize(part.strip()) for part in str(value).split(",") if part.strip()]


class Limits(Lenient):
    memoryMb = fields.Float(load_default=300.0, validate=validate.Range(min=1))
    fileDescriptors = fields.Integer(load_default=1024, validate=validate.Range(min=256))
    linkMbps = fields.Float(load_default=1000.0, validate=validate.Range(min=0, min_inclusive=False))


class ThisDoor(Lenient):
    nodeName = fields.String(required=True, validate=validate.Length(min=1))
    internetAddress = fields.String(required=True, validate=validate.Length(min=1))
    zone = fields.String(required=True)
    answerRegion = fields.String(required=True)
    firstStart = fields.Boolean(load_default=False)
    lossCounted = fields.Boolean(load_default=False)
    dataDirectory = fields.String(load_default="")
    limits = fields.Nested(Limits, load_default=dict)


class Listen(Lenient):
    front = AddressField(required=True)
    readiness = AddressField(required=True)
    controlAddress = AddressField(required=True)
    directoryAddress = AddressField(required=True)


class Network(Lenient):
    listenAddresses = fields.Nested(Listen, required=True)
    internalPorts = Listed(fields.Integer(validate=validate.Range(min=1, max=65535)), required=True)
    seedNodes = Listed(AddressField(), load_default=list)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), required=True)


class Cloud(Lenient):
    address = AddressField(required=True)
    requestsPerS = fields.Float(load_default=10.0, validate=validate.Range(min=0, min_inclusive=False))


class Platform(Lenient):
    cloudInterface = fields.Nested(Cloud, required=True)


class Bounds(Lenient):
    drainCutoffMs = fields.Float(load_default=3000.0, validate=validate.Range(min=0))
    inTouchMs = fields.Float(load_default=4000.0, validate=validate.Range(min=0))
    revocationMs = fields.Float(load_default=5000.0, validate=validate.Range(min=500))
    closedRevocation = fields.Boolean(load_default=True)
    gracePeriodS = fields.Float(load_default=6.0, validate=validate.Range(min=1))
    retryBudgetRatio = fields.Float(load_default=0.2, validate=validate.Range(min=0))
    budgetWindowS = fields.Float(load_default=10.0, validate=validate.Range(min=0.1))
    budgetSlack = fields.Float(load_default=0.0, validate=validate.Range(min=0))
    quotaWindowS = fields.Float(load_default=5.0, validate=validate.Range(min=0.5))
    quotaOverage = fields.Float(load_default=0.0, validate=validate.Range(min=0))
    quotaSlack = fields.Float(load_default=0.0, validate=validate.Range(min=0))
    ttl_max_s = fields.Float(load_default=5.0, validate=validate.Range(min=0.1))


class Timing(Lenient):
    ruleBounds = fields.Nested(Bounds, load_default=lambda: Bounds().load({}))


@dataclass(slots=True, frozen=True)
class Settings:
    """What a process is told; times in seconds."""

    name: str
    ip: str
    zone: str
    region: str
    first: bool
    folder: str
    descriptors: int
    link: float  # bytes a second of this machine's own
    front: Address
    readiness: Address
    control: Address
    directory: Address
    port: int  # of messages between doors, UDP and TCP
    seeds: tuple[str, ...]
    zones: dict[str, str]
    platform: Address
    platform_rate: float
    revocation: float
    grace: float
    lifetime: float
    rule: Rule
    invariants: InvariantBounds


class File(Lenient):
    thisDoor = fields.Nested(ThisDoor, required=True)
    network = fields.Nested(Network, required=True)
    platformSettings = fields.Nested(Platform, required=True)
    timingTerms = fields.Nested(Timing, load_default=lambda: Timing().load({}))

    @pre_load
    def fold(self, lines: dict[str, str], **kwargs: Any) -> dict[str, Any]:
        """Dotted keys as tables in tables."""
        found: dict[str, Any] = {}
        for key, value in lines.items():
            *tables, last = key.split(".")
            at = found
            for table in tables:
                at = at.setdefault(table, {})
                if not isinstance(at, dict):
                    raise ValidationError("is a value and a table", key)
            at[last] = value
        return found

    @post_load
    def settle(self, found: dict[str, Any], **kwargs: Any) -> Settings:
        door, net, bounds = found["thisDoor"], found["network"], found["timingTerms"]["ruleBounds"]
        limits = door["limits"] or Limits().load({})
        cloud, listen = found["platformSettings"]["cloudInterface"], net["listenAddresses"]
        if not net["internalPorts"]:
            raise ValidationError("none is named", "internalPorts")
        rule = Rule(
            QuotaRule(bounds["quotaWindowS"], bounds["quotaOverage"], bounds["quotaSlack"]),
            bounds["retryBudgetRatio"],
            bounds["budgetSlack"],
            bounds["budgetWindowS"],
        )
        return Settings(
            door["nodeName"],
            door["internetAddress"],
            door["zone"],
            door["answerRegion"],
            door["firstStart"],
            door["dataDirectory"],
            limits["fileDescriptors"],
            limits["linkMbps"] * 125_000,
            listen["front"],
            listen["readiness"],
            listen["controlAddress"],
            listen["directoryAddress"],
            net["internalPorts"][0],
            tuple(address.host for address in net["seedNodes"]),
            net["zones"],
            cloud["address"],
            cloud["requestsPerS"],
            bounds["revocationMs"] / 1000 if bounds["closedRevocation"] else 1e9,
            bounds["gracePeriodS"],
            bounds["ttl_max_s"],
            rule,
            InvariantBounds(bounds["drainCutoffMs"] / 1000, bounds["inTouchMs"] / 1000),
        )


def parse(text: str) -> Settings:
    """Settings from the file's text; raises SettingsError with every problem."""
    lines = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"line {number}: no a.b=value")
        lines[key.strip()] = value.strip()
    try:
        found = File().load(lines)
    except ValidationError as error:
        raise SettingsError("\n".join(problems(error.messages))) from None
    assert isinstance(found, Settings)
    return found


def load(path: str) -> Settings:
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UnreadableSettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: no text: {error}") from None
    return parse(text)
