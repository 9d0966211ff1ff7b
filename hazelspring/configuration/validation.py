"""Whether a configuration may be taken: every field is read by marshmallow, then what ties entries together."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Container
from typing import Any

from marshmallow import Schema, ValidationError, fields, validate

from hazelspring.configuration.blocks import PackedError, pack
from hazelspring.configuration.incremental import (
    LoadedConfiguration,
    NotIncrementalError,
    ValidatedConfiguration,
    apply_change,
    diff_blocks,
)
from hazelspring.configuration.model import parse_version
from hazelspring.configuration.schema import LenientSchema, flatten_errors

ROUTE_KINDS = ("read_only", "mutating", "upload")
MAX_TARGET_EXCESS_MS = 60_000  # ms by which a target must stay below its route's timeout and a minute more


class InvalidConfigurationError(ValueError):
    """A configuration that is refused; the text names the field."""

    code = "invalid_configuration"


class WeightedServiceSchema(LenientSchema):
    service = fields.String(required=True)
    shareWeight = fields.Float(required=True, validate=validate.Range(min=0))


class RouteSchema(LenientSchema):
    hostName = fields.String(required=True, validate=validate.Length(min=1))
    pathPrefix = fields.String(required=True, validate=validate.Regexp(r"/"))
    routeKind = fields.String(required=True, validate=validate.OneOf(ROUTE_KINDS))
    timeoutMs = fields.Float(allow_none=True, validate=validate.Range(min=0, min_inclusive=False))
    targetAnswerMs = fields.Float(allow_none=True, validate=validate.Range(min=0))
    priority = fields.Integer(allow_none=True)
    service = fields.String(allow_none=True)
    weightedSplit = fields.List(fields.Nested(WeightedServiceSchema), allow_none=True)
    maximumAttempts = fields.Integer(allow_none=True, validate=validate.Range(min=1))
    openAccess = fields.Boolean(allow_none=True)
    homeRegions = fields.List(fields.String(), allow_none=True)


class ServiceSchema(LenientSchema):
    healthPath = fields.String(allow_none=True)
    connectionLimit = fields.Integer(allow_none=True, validate=validate.Range(min=0))
    coldStartS = fields.Float(allow_none=True, validate=validate.Range(min=0))
    coldPerS = fields.Float(allow_none=True, validate=validate.Range(min=0))


class TenantSchema(LenientSchema):
    accessKeys = fields.List(fields.String(validate=validate.Length(min=1)), allow_none=True)
    priority = fields.Integer(allow_none=True)
    requestsPerS = fields.Float(allow_none=True, validate=validate.Range(min=0))
    burstSize = fields.Float(allow_none=True, validate=validate.Range(min=0))
    homeRegions = fields.List(fields.String(), allow_none=True)


class LimitsSchema(LenientSchema):
    headerBytes = fields.Integer(allow_none=True, validate=validate.Range(min=1))
    bodyBytes = fields.Integer(allow_none=True, validate=validate.Range(min=1))
    headerTimeoutMs = fields.Float(allow_none=True, validate=validate.Range(min=0, min_inclusive=False))
    idleTimeoutMs = fields.Float(allow_none=True, validate=validate.Range(min=0, min_inclusive=False))


class MetadataSchema(LenientSchema):
    name = fields.String()


class ResourceSchema(LenientSchema):
    resourceKind = fields.String(required=True)
    metadata = fields.Nested(MetadataSchema, required=True)
    specification = fields.Dict(required=True)


class DocumentSchema(LenientSchema):
    versionNumber = fields.String(required=True, validate=validate.Regexp(r"^r[0-9]{1,18}$"))
    resourceList = fields.List(fields.Nested(ResourceSchema), required=True)


DOCUMENT_SCHEMA = DocumentSchema()
SPECIFICATION_SCHEMAS: dict[str, Schema] = {
    "routeTable": RouteSchema(),
    "serviceTable": ServiceSchema(),
    "tenantTable": TenantSchema(),
    "limits": LimitsSchema(),
}


def validate_configuration(body: bytes) -> int:
    """The number of a configuration that may be taken; raises Invalid with the field that is wrong."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError(f"body: not JSON: {str(error)[:80]}") from None
    try:
        DOCUMENT_SCHEMA.load(document)
    except ValidationError as error:
        raise InvalidConfigurationError(flatten_errors(error.messages)[0]) from None
    names: dict[str, set[str]] = {kind: set() for kind in SPECIFICATION_SCHEMAS}
    places: dict[tuple[str, str], str] = {}
    holders: dict[str, str] = {}
    routes: list[tuple[str, dict[str, Any]]] = []
    for entry in document["resourceList"]:
        kind, name, spec = entry["resourceKind"], entry["metadata"].get("name", ""), entry["specification"]
        if kind not in SPECIFICATION_SCHEMAS:
            raise InvalidConfigurationError(f"resourceList.{name}.resourceKind: {kind} is none that is known")
        try:
            SPECIFICATION_SCHEMAS[kind].load(spec)
        except ValidationError as error:
            raise InvalidConfigurationError(flatten_errors(error.messages, f"{kind}.{name}")[0]) from None
        if name in names[kind]:
            raise InvalidConfigurationError(f"{kind}.{name}: stands twice")
        if kind != "limits" and not name:
            raise InvalidConfigurationError(f"{kind}: an entry without a name")
        names[kind].add(name)
        if kind == "routeTable":
            routes.append((name, spec))
            place = (spec["hostName"].lower(), spec["pathPrefix"])
            if place in places:
                raise InvalidConfigurationError(f"routeTable.{name}.pathPrefix: the place of {places[place]}")
            places[place] = name
        elif kind == "tenantTable":
            for key in spec.get("accessKeys") or ():
                if holders.setdefault(key, name) != name:
                    raise InvalidConfigurationError(
                        f"tenantTable.{name}.accessKeys: a key that {holders[key]} holds"
                    )
    for name, spec in routes:
        validate_route(name, spec, names["serviceTable"])
    return parse_version(document["versionNumber"])


def validate_change(body: bytes, held: LoadedConfiguration | None) -> ValidatedConfiguration:
    """The same by what differs from the configuration that is held, and the body packed.  Whatever is found there,
    or cannot be told from it alone, is looked for in the whole body, which says what it is."""
    if held is not None:
        packed = pack(body, held.packed)
        with contextlib.suppress(InvalidConfigurationError, NotIncrementalError, PackedError):
            return ValidatedConfiguration(validate_incrementally(held, packed), packed)
        return ValidatedConfiguration(validate_configuration(body), packed)
    return ValidatedConfiguration(validate_configuration(body), pack(body))


def validate_incrementally(held: LoadedConfiguration, packed: bytes) -> int:
    """The number of a configuration whose change is sound; raises Invalid, Irregular, PackedError."""
    change = diff_blocks(held, packed)
    document = {**change.document, "resourceList": change.resources}
    try:
        DOCUMENT_SCHEMA.load(document)
        for entry in change.resources:
            if entry["resourceKind"] not in SPECIFICATION_SCHEMAS:
                raise InvalidConfigurationError("a kind that is unknown")
            if entry["resourceKind"] != "limits" and not entry["metadata"].get("name"):
                raise InvalidConfigurationError("an entry without a name")
            SPECIFICATION_SCHEMAS[entry["resourceKind"]].load(entry["specification"])
    except ValidationError as error:
        raise InvalidConfigurationError(flatten_errors(error.messages)[0]) from None
    word = apply_change(held.configuration, change)
    for entry in change.resources:
        if entry["resourceKind"] == "routeTable":
            validate_route(entry["metadata"]["name"], entry["specification"], word.services)
    if held.configuration.services.keys() - word.services.keys():
        for routes in word.routes_by_host.values():
            for each in routes:
                if not word.services.keys() >= {name for name, _ in each.weighted_services} | {
                    *each.zero_weight_services
                }:
                    raise InvalidConfigurationError(f"routeTable.{each.name}.service: it is gone")
    return word.version


def validate_route(name: str, spec: dict[str, Any], services: Container[str]) -> None:
    """What one route refers to, and its figures against each other."""
    split = spec.get("weightedSplit")
    if split is None and spec.get("service") is None:
        raise InvalidConfigurationError(f"routeTable.{name}.service: there is none")
    for service in [part["service"] for part in split] if split is not None else [spec["service"]]:
        if service not in services:
            raise InvalidConfigurationError(f"routeTable.{name}.service: {service} is unknown")
    if split is not None and sum(part["shareWeight"] for part in split) <= 0:
        raise InvalidConfigurationError(f"routeTable.{name}.weightedSplit: the weights sum to 0")
    timeout, aim = spec.get("timeoutMs"), spec.get("targetAnswerMs")
    if timeout is not None and aim is not None and aim >= timeout + MAX_TARGET_EXCESS_MS:
        raise InvalidConfigurationError(f"routeTable.{name}.targetAnswerMs: a minute or more above timeoutMs")
