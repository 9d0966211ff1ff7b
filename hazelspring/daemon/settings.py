"""The settings file of a process: lines of a.b=value, checked by marshmallow; unknown fields are ignored.

Attributes of the schemas are the names in the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marshmallow import ValidationError, fields, post_load, pre_load, validate

from hazelspring.configuration.schema import LenientSchema, flatten_errors
from hazelspring.errors import HazelspringError
from hazelspring.gateway.config import Address, ConfigError, parse_address
from hazelspring.node.invariants import InvariantBounds
from hazelspring.quota.limits import QuotaLimits
from hazelspring.routing.shared_limits import SharedLimits

BYTES_PER_MEGABIT = 125_000
MS_PER_SECOND = 1000
NO_REVOCATION = 1e9  # seconds, longer than any process runs: used if nothing is revoked by time


class SettingsError(HazelspringError, ValueError):
    """A settings file cannot be used; the message lists its problems, one on each line."""

    code = "settings"


class UnreadableSettingsError(SettingsError):
    """The settings file could not be read; it may be readable later."""


class AddressField(fields.Field):  # type: ignore[type-arg]
    """An address, `HOST:PORT`; the port must not be 0."""

    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> Address:
        try:
            address = parse_address(value)
        except ConfigError:
            raise ValidationError("not HOST:PORT") from None
        if not address.port:
            raise ValidationError("no port")
        return address


class CommaSeparatedField(fields.Field):  # type: ignore[type-arg]
    """A list of values separated by commas; empty values are ignored."""

    def __init__(self, inner: fields.Field[Any], **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.inner = inner

    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> list[Any]:
        return [self.inner.deserialize(part.strip()) for part in str(value).split(",") if part.strip()]


class LimitsSchema(LenientSchema):
    """`limits`: what the process may use of its machine."""

    memoryMb = fields.Float(load_default=300.0, validate=validate.Range(min=1))
    fileDescriptors = fields.Integer(load_default=1024, validate=validate.Range(min=256))
    linkMbps = fields.Float(load_default=1000.0, validate=validate.Range(min=0, min_inclusive=False))


class ThisNodeSchema(LenientSchema):
    """`thisDoor`: the node's name, address, location, disk and limits."""

    nodeName = fields.String(required=True, validate=validate.Length(min=1))
    internetAddress = fields.String(required=True, validate=validate.Length(min=1))
    zone = fields.String(required=True)
    answerRegion = fields.String(required=True)
    firstStart = fields.Boolean(load_default=False)
    lossCounted = fields.Boolean(load_default=False)
    dataDirectory = fields.String(load_default="")
    limits = fields.Nested(LimitsSchema, load_default=dict)


class ListenAddressesSchema(LenientSchema):
    """`listenAddresses`: the listening addresses for clients and for each role of the HTTP API."""

    front = AddressField(required=True)
    readiness = AddressField(required=True)
    controlAddress = AddressField(required=True)
    directoryAddress = AddressField(required=True)


class NetworkSchema(LenientSchema):
    """`network`: addresses, the nodes to contact first, and the region of each zone."""

    listenAddresses = fields.Nested(ListenAddressesSchema, required=True)
    internalPorts = CommaSeparatedField(
        fields.Integer(validate=validate.Range(min=1, max=65535)), required=True
    )
    seedNodes = CommaSeparatedField(AddressField(), load_default=list)
    zones = fields.Dict(keys=fields.String(), values=fields.String(), required=True)


class CloudInterfaceSchema(LenientSchema):
    """`cloudInterface`: the platform's list of instances, and the calls a second that it allows."""

    address = AddressField(required=True)
    requestsPerS = fields.Float(load_default=10.0, validate=validate.Range(min=0, min_inclusive=False))


class PlatformSchema(LenientSchema):
    """`platformSettings`: the platform's interface that the node uses."""

    cloudInterface = fields.Nested(CloudInterfaceSchema, required=True)


class RuleBoundsSchema(LenientSchema):
    """`ruleBounds`: times and limits that all nodes share; the names of times end with their unit."""

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
    """`timingTerms`: the times and limits that all nodes share."""

    ruleBounds = fields.Nested(RuleBoundsSchema, load_default=lambda: RuleBoundsSchema().load({}))


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one process; all times are in seconds."""

    name: str
    ip: str
    zone: str
    region: str
    first_start: bool
    data_directory: str
    max_descriptors: int
    link_bandwidth: float  # bytes a second, of this machine alone
    client_address: Address
    readiness_address: Address
    control_address: Address
    directory_address: Address
    internal_port: int  # for messages between nodes, UDP and TCP
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
    """The whole file."""

    thisDoor = fields.Nested(ThisNodeSchema, required=True)
    network = fields.Nested(NetworkSchema, required=True)
    platformSettings = fields.Nested(PlatformSchema, required=True)
    timingTerms = fields.Nested(TimingSchema, load_default=lambda: TimingSchema().load({}))

    @pre_load
    def nest_tables(self, lines: dict[str, str], **kwargs: Any) -> dict[str, Any]:
        """Return dotted keys as nested tables; raises ValidationError for a key with a value and subkeys."""
        root: dict[str, Any] = {}
        for key, value in lines.items():
            *names, last = key.split(".")
            table = root
            for name in names:
                table = table.setdefault(name, {})
                if not isinstance(table, dict):
                    raise ValidationError("is a value and a table", key)
            table[last] = value
        return root

    @post_load
    def make_settings(self, tables: dict[str, Any], **kwargs: Any) -> Settings:
        """Return the settings of valid tables.  Raises ValidationError if no internal port is given."""
        this_node, network = tables["thisDoor"], tables["network"]
        bounds, cloud = tables["timingTerms"]["ruleBounds"], tables["platformSettings"]["cloudInterface"]
        limits = this_node["limits"] or LimitsSchema().load({})
        listen = network["listenAddresses"]
        if not network["internalPorts"]:
            raise ValidationError("none is named", "internalPorts")
        return Settings(
            name=this_node["nodeName"],
            ip=this_node["internetAddress"],
            zone=this_node["zone"],
            region=this_node["answerRegion"],
            first_start=this_node["firstStart"],
            data_directory=this_node["dataDirectory"],
            max_descriptors=limits["fileDescriptors"],
            link_bandwidth=limits["linkMbps"] * BYTES_PER_MEGABIT,
            client_address=listen["front"],
            readiness_address=listen["readiness"],
            control_address=listen["controlAddress"],
            directory_address=listen["directoryAddress"],
            internal_port=network["internalPorts"][0],
            seeds=tuple(address.host for address in network["seedNodes"]),
            zones=network["zones"],
            platform_address=cloud["address"],
            platform_rate=cloud["requestsPerS"],
            revocation_time=revocation_time(bounds),
            grace_period=bounds["gracePeriodS"],
            max_lookup_lifetime=bounds["ttl_max_s"],
            shared_limits=shared_limits(bounds),
            invariants=InvariantBounds(
                bounds["drainCutoffMs"] / MS_PER_SECOND, bounds["inTouchMs"] / MS_PER_SECOND
            ),
        )


def revocation_time(bounds: dict[str, Any]) -> float:
    """Return the seconds within which a node that cannot confirm its configuration must stop serving."""
    return bounds["revocationMs"] / MS_PER_SECOND if bounds["closedRevocation"] else NO_REVOCATION


def shared_limits(bounds: dict[str, Any]) -> SharedLimits:
    """Return the limits of quotas and retries, which apply to the sum over all nodes."""
    quota = QuotaLimits(bounds["quotaWindowS"], bounds["quotaOverage"], bounds["quotaSlack"])
    return SharedLimits(quota, bounds["retryBudgetRatio"], bounds["budgetSlack"], bounds["budgetWindowS"])


def parse_settings(text: str) -> Settings:
    """Return the settings in a file's text; raises a SettingsError that lists every problem."""
    try:
        settings: Settings = SettingsSchema().load(parse_lines(text))
    except ValidationError as error:
        raise SettingsError("\n".join(flatten_errors(error.messages))) from None
    return settings


def parse_lines(text: str) -> dict[str, str]:
    """Return the values in a file's text by dotted key; raises SettingsError for a line without `=`."""
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"line {number}: no a.b=value")
        values[key.strip()] = value.strip()
    return values


def load_settings(path: str) -> Settings:
    """Return the settings of a file.

    Raises UnreadableSettingsError if the file cannot be read, SettingsError if its content cannot be used.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UnreadableSettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not a text file: {error}") from None
    return parse_settings(text)
