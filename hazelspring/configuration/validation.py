"""Validation of a configuration: first each field by its schema, then the relations between resources.

A document is rejected or accepted as a whole, before any part of it is stored.  The first problem found is
reported, with the field that it is about.  The error texts are part of the interface for operators.

`validate_change` gives the same result from the difference to the current configuration, which is faster for
a large document.  From the difference alone it may accept a document, but never rejects one.  In all
other cases `validate_configuration` checks the complete document, and reports any problem.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Container
from typing import Any

from marshmallow import ValidationError

from hazelspring.configuration.blocks import PackedError, pack
from hazelspring.configuration.change import NotIncrementalError, apply_change
from hazelspring.configuration.incremental import LoadedConfiguration, ValidatedConfiguration, diff_blocks
from hazelspring.configuration.model import (
    Configuration,
    ResourceDocument,
    ResourceKind,
    Specification,
    parse_version,
    resource_name,
)
from hazelspring.configuration.resource_schemas import DOCUMENT_SCHEMA, SPECIFICATION_SCHEMAS
from hazelspring.configuration.schema import flatten_errors
from hazelspring.errors import HazelspringError

MAX_TARGET_EXCESS_MS = 60_000  # targetAnswerMs must be less than timeoutMs plus this
MAX_QUOTED_CHARACTERS = 80  # of the JSON parser's message, quoted in an error


class InvalidConfigurationError(HazelspringError, ValueError):
    """A configuration is not valid; the text names the field and the problem."""

    code = "invalid_configuration"


def validate_configuration(body: bytes) -> int:
    """Validate a complete document and return its version number.

    Raises
    ------
    InvalidConfigurationError
        The document is not valid; the text names the first problem found.
    """
    document = _parse_document(body)
    _check_document(document)
    uniqueness = UniquenessCheck()
    for resource in document["resourceList"]:
        _check_specification(resource)
        uniqueness.add(resource)
    _check_references(document["resourceList"], uniqueness.names[ResourceKind.SERVICE])
    return parse_version(document["versionNumber"])


def _parse_document(body: bytes) -> Any:
    """Return the parsed JSON of a body, which may be of any type."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        message = str(error)[:MAX_QUOTED_CHARACTERS]
        raise InvalidConfigurationError(f"body: not JSON: {message}") from None


def _check_document(document: Any) -> None:
    """Check all fields except those in the specifications of resources."""
    try:
        DOCUMENT_SCHEMA.load(document)
    except ValidationError as error:
        raise InvalidConfigurationError(flatten_errors(error.messages)[0]) from None


def _check_specification(resource: ResourceDocument) -> None:
    """Check the kind of a resource, and the fields of its specification."""
    kind, name = resource["resourceKind"], resource_name(resource)
    schema = SPECIFICATION_SCHEMAS.get(kind)
    if schema is None:
        raise InvalidConfigurationError(f"resourceList.{name}.resourceKind: {kind} is none that is known")
    try:
        schema.load(resource["specification"])
    except ValidationError as error:
        raise InvalidConfigurationError(flatten_errors(error.messages, f"{kind}.{name}")[0]) from None


class UniquenessCheck:
    """Checks what must be unique among resources.

    No two resources of a kind may have the same name, no two routes the same host and path prefix, and no
    two tenants the same access key.

    Attributes
    ----------
    names
        The names of the resources added so far, by kind.
    """

    def __init__(self) -> None:
        self.names: dict[str, set[str]] = {kind: set() for kind in SPECIFICATION_SCHEMAS}
        self._route_by_host_and_prefix: dict[tuple[str, str], str] = {}
        self._tenant_by_key: dict[str, str] = {}

    def add(self, resource: ResourceDocument) -> None:
        """Add a resource with valid fields; raise InvalidConfigurationError if it conflicts with another."""
        kind, name = resource["resourceKind"], resource_name(resource)
        if name in self.names[kind]:
            raise InvalidConfigurationError(f"{kind}.{name}: stands twice")
        _check_named(kind, name)
        self.names[kind].add(name)
        if kind == ResourceKind.ROUTE:
            self._add_route(name, resource["specification"])
        elif kind == ResourceKind.TENANT:
            self._add_tenant(name, resource["specification"])

    def _add_route(self, name: str, specification: Specification) -> None:
        host_and_prefix = (specification["hostName"].lower(), specification["pathPrefix"])
        if host_and_prefix in self._route_by_host_and_prefix:
            other = self._route_by_host_and_prefix[host_and_prefix]
            raise InvalidConfigurationError(f"routeTable.{name}.pathPrefix: the place of {other}")
        self._route_by_host_and_prefix[host_and_prefix] = name

    def _add_tenant(self, name: str, specification: Specification) -> None:
        for key in specification.get("accessKeys") or ():
            owner = self._tenant_by_key.setdefault(key, name)
            if owner != name:
                raise InvalidConfigurationError(f"tenantTable.{name}.accessKeys: a key that {owner} holds")


def _check_named(kind: str, name: str) -> None:
    if kind != ResourceKind.LIMITS and not name:
        raise InvalidConfigurationError(f"{kind}: an entry without a name")


def _check_references(resources: list[ResourceDocument], service_names: Container[str]) -> None:
    """Check that the routes among the resources refer to existing services."""
    for resource in resources:
        if resource["resourceKind"] == ResourceKind.ROUTE:
            validate_route(resource_name(resource), resource["specification"], service_names)


def validate_route(name: str, specification: Specification, service_names: Container[str]) -> None:
    """Check the services that a route refers to, and the relation between its timeout and its target.

    Raises
    ------
    InvalidConfigurationError
        A service is missing or unknown, all weights are 0, or the target is too far above the timeout.
    """
    split = specification.get("weightedSplit")
    service = specification.get("service")
    if split is None and service is None:
        raise InvalidConfigurationError(f"routeTable.{name}.service: there is none")
    references = [service] if split is None else [share["service"] for share in split]
    for reference in references:
        if reference not in service_names:
            raise InvalidConfigurationError(f"routeTable.{name}.service: {reference} is unknown")
    if split is not None and sum(share["shareWeight"] for share in split) <= 0:
        raise InvalidConfigurationError(f"routeTable.{name}.weightedSplit: the weights sum to 0")
    timeout_ms, target_ms = specification.get("timeoutMs"), specification.get("targetAnswerMs")
    if timeout_ms is not None and target_ms is not None and target_ms >= timeout_ms + MAX_TARGET_EXCESS_MS:
        raise InvalidConfigurationError(f"routeTable.{name}.targetAnswerMs: a minute or more above timeoutMs")


def validate_change(body: bytes, current: LoadedConfiguration | None) -> ValidatedConfiguration:
    """Validate a document and return it packed.

    Parameters
    ----------
    body
        The document.
    current
        The current configuration, if any.  The document is validated by its difference from it if that
        is sufficient.

    Raises
    ------
    InvalidConfigurationError
        The document is not valid; the text is the same as that of `validate_configuration`.
    """
    if current is None:
        return ValidatedConfiguration(validate_configuration(body), pack(body))
    packed = pack(body, current.packed)
    with contextlib.suppress(InvalidConfigurationError, NotIncrementalError, PackedError):
        return ValidatedConfiguration(validate_incrementally(current, packed), packed)
    return ValidatedConfiguration(validate_configuration(body), packed)


def validate_incrementally(current: LoadedConfiguration, packed: bytes) -> int:
    """Validate a configuration by its difference from the current one, and return its version number.

    Raises
    ------
    InvalidConfigurationError
        The difference is not valid; the text may differ from that of `validate_configuration`.
    NotIncrementalError
        The difference alone does not show whether the configuration is valid.
    PackedError
        The packed body is damaged.
    """
    change = diff_blocks(current, packed)
    _check_document({**change.document, "resourceList": change.resources})
    for resource in change.resources:
        _check_specification(resource)
        _check_named(resource["resourceKind"], resource_name(resource))
    configuration = apply_change(current.configuration, change)
    _check_references(change.resources, configuration.services)
    if current.configuration.services.keys() - configuration.services.keys():
        _check_remaining_routes(configuration)
    return configuration.version


def _check_remaining_routes(configuration: Configuration) -> None:
    """Check that no route, changed or not, refers to a service that was removed."""
    service_names = configuration.services.keys()
    for routes in configuration.routes_by_host.values():
        for route in routes:
            references = {share.name for share in route.weighted_services}
            references.update(route.zero_weight_services)
            if not service_names >= references:
                raise InvalidConfigurationError(f"routeTable.{route.name}.service: it was removed")
