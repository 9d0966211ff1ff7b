"""The marshmallow schemas of the operator's document: the type and range of each single field.

The attributes are named like the fields of the document (``hostName``), because error texts name the fields
to the operator.  `hazelspring.configuration.model` describes what the fields mean, and
`hazelspring.configuration.validation` checks the relations between fields and between resources.
"""

from __future__ import annotations

from marshmallow import Schema, fields, validate

from hazelspring.configuration.model import ResourceKind, RouteKind
from hazelspring.configuration.schema import LenientSchema

ROUTE_KINDS = tuple(kind.value for kind in RouteKind)
VERSION_PATTERN = r"^r[0-9]{1,18}$"  # 18 digits: the number fits 64 bits


class WeightedServiceSchema(LenientSchema):
    """One share of a route's ``weightedSplit``."""

    service = fields.String(required=True)
    shareWeight = fields.Float(required=True, validate=validate.Range(min=0))


class RouteSchema(LenientSchema):
    """The specification of a ``routeTable`` resource."""

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
    """The specification of a ``serviceTable`` resource."""

    healthPath = fields.String(allow_none=True)
    connectionLimit = fields.Integer(allow_none=True, validate=validate.Range(min=0))
    coldStartS = fields.Float(allow_none=True, validate=validate.Range(min=0))
    coldPerS = fields.Float(allow_none=True, validate=validate.Range(min=0))


class TenantSchema(LenientSchema):
    """The specification of a ``tenantTable`` resource."""

    accessKeys = fields.List(fields.String(validate=validate.Length(min=1)), allow_none=True)
    priority = fields.Integer(allow_none=True)
    requestsPerS = fields.Float(allow_none=True, validate=validate.Range(min=0))
    burstSize = fields.Float(allow_none=True, validate=validate.Range(min=0))
    homeRegions = fields.List(fields.String(), allow_none=True)


class LimitsSchema(LenientSchema):
    """The specification of a ``limits`` resource."""

    headerBytes = fields.Integer(allow_none=True, validate=validate.Range(min=1))
    bodyBytes = fields.Integer(allow_none=True, validate=validate.Range(min=1))
    headerTimeoutMs = fields.Float(allow_none=True, validate=validate.Range(min=0, min_inclusive=False))
    idleTimeoutMs = fields.Float(allow_none=True, validate=validate.Range(min=0, min_inclusive=False))


class MetadataSchema(LenientSchema):
    """The metadata of a resource; resources of all kinds except ``limits`` must have a name."""

    name = fields.String()


class ResourceSchema(LenientSchema):
    """One resource; its specification is checked by the schema of its kind in `SPECIFICATION_SCHEMAS`."""

    resourceKind = fields.String(required=True)
    metadata = fields.Nested(MetadataSchema, required=True)
    specification = fields.Dict(required=True)


class DocumentSchema(LenientSchema):
    """The complete document of the operator."""

    versionNumber = fields.String(required=True, validate=validate.Regexp(VERSION_PATTERN))
    resourceList = fields.List(fields.Nested(ResourceSchema), required=True)


DOCUMENT_SCHEMA = DocumentSchema()
SPECIFICATION_SCHEMAS: dict[str, Schema] = {
    ResourceKind.ROUTE: RouteSchema(),
    ResourceKind.SERVICE: ServiceSchema(),
    ResourceKind.TENANT: TenantSchema(),
    ResourceKind.LIMITS: LimitsSchema(),
}
