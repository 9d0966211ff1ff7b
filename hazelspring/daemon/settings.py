"""The settings file of a process: lines of a.b=value, checked by marshmallow; fields that are unknown are ignored."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import ValidationError, fields, post_load, pre_load, validate

from hazelspring.configuration.schema import LenientSchema, flatten_errors
from hazelspring.node.invariants import InvariantBounds
from hazelspring.quota.limits import QuotaLimits
from hazelspring.routing.shared_limits import SharedLimits
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


class CommaSeparatedField(fields.Field):  # type: ignore[type-arg]
    """A list joined by commas."""

    def __init__(self, inner: fields.Field[Any], **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.inner = inner

    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> list[Any]:
        return [self.inner.deserialize(part.strip()) for part in str(value).split(",") if part.strip()]


class LimitsSchema(LenientSchema):
    memoryMb = fields.Float(load_default=300.0, validate=validate.Range(min=1))
    fileDescriptors = fields.Integer(load_default=1024, validate=validate.Range(min=256))
    linkMbps = fields.Float(load_default=1000.0, validate=validate.Range(min=0, min_inclusive=False))


class ThisNodeSchema(LenientSchema):
    nodeName = fields.String(required=True, validate=validate.Length(min=1))
    internetAddress = fields.String(required=True, validate=validate.Length(min=1))
    zone = fields.String(required=True)
    answerRegion = fields.String(required=True)
    firstStart = fields.Boolean(load_default=False)
    lossCounted = fields.Boolean(load_default=False)
    dataDirectory = fields.String(load_default="")
    limits = fields.Nested(LimitsSchema, load_default=dict)


class ListenAddressesSchema(LenientSchema):
    front = AddressField(required=True)
    readiness = AddressField(required=True)
    controlAddress = AddressField(required=True)
    directoryAddress = AddressField(required=True)


class NetworkSchema(LenientSchema):
    listenAddresses = fields.Nested(ListenAddressesSchema, required=True)
    internalPorts = CommaSeparatedField(
        fields.Integer(validate=validate.Range(min=1, max=65535)), required=True
    )
    seedNodes = CommaSeparatedField(AddressField(), load_default=list)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), required=True)


class CloudInterfaceSchema(LenientSchema):
    address = AddressField(required=True)
    requestsPerS = fields.Float(load_default=10.0, validate=validate.Range(min=0, min_inclusive=False))


class PlatformSchema(LenientSchema):
    cloudInterface = fields.Nested(CloudInterfaceSchema, required=True)


class RuleBoundsSchema(LenientSchema):
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


class TimingSchema(LenientSchema):
    ruleBounds = fields.Nested(RuleBoundsSchema, load_default=lambda: RuleBoundsSchema().load({}))


@dataclass(slots=True, frozen=True)
class Settings:
    """What a process is told; times in seconds."""

    name: str
    ip: str
    zone: str
    region: str
    first_start: bool
    data_directory: str
    max_descriptors: int
    link_bandwidth: float  # bytes a second of this machine's own
    client_address: Address
    readiness_address: Address
    control_address: Address
    directory_address: Address
    internal_port: int  # of messages between doors, UDP and TCP
    seeds: tuple[str, ...]
    zones: dict[str, str]
    platform_address: Address
    platform_rate: float
    revocation_time: float
    grace_period: float
    max_lookup_lifetime: float
    shared_limits: SharedLimits
    invariants: InvariantBounds


class SettingsSchema(LenientSchema):
    thisDoor = fields.Nested(ThisNodeSchema, required=True)
    network = fields.Nested(NetworkSchema, required=True)
    platformSettings = fields.Nested(PlatformSchema, required=True)
    timingTerms = fields.Nested(TimingSchema, load_default=lambda: TimingSchema().load({}))

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
        node, net, bounds = found["thisDoor"], found["network"], found["timingTerms"]["ruleBounds"]
        limits = node["limits"] or LimitsSchema().load({})
        cloud, listen = found["platformSettings"]["cloudInterface"], net["listenAddresses"]
        if not net["internalPorts"]:
            raise ValidationError("none is named", "internalPorts")
        rule = SharedLimits(
            QuotaLimits(bounds["quotaWindowS"], bounds["quotaOverage"], bounds["quotaSlack"]),
            bounds["retryBudgetRatio"],
            bounds["budgetSlack"],
            bounds["budgetWindowS"],
        )
        return Settings(
            node["nodeName"],
            node["internetAddress"],
            node["zone"],
            node["answerRegion"],
            node["firstStart"],
            node["dataDirectory"],
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


def parse_settings(text: str) -> Settings:
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
        found = SettingsSchema().load(lines)
    except ValidationError as error:
        raise SettingsError("\n".join(flatten_errors(error.messages))) from None
    assert isinstance(found, Settings)
    return found


def load_settings(path: str) -> Settings:
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UnreadableSettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: no text: {error}") from None
    return parse_settings(text)
