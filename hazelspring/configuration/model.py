"""The model of the operator's configuration: routes, services, tenants and limits, looked up by request.

The operator's document is a JSON object with ``versionNumber`` (``"r"`` and a number) and ``resourceList``.
Each resource has a ``resourceKind``, a ``metadata.name`` and a ``specification``; the classes here document
from which field of the specification each attribute is read.  Documents are validated by
`hazelspring.configuration.validation` before they are parsed here, so the parser does not check them.
Fields ``...Ms`` of the document are durations in milliseconds; the durations in this model are in seconds.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

ResourceDocument = dict[str, Any]  # one entry of resourceList, parsed from JSON
Specification = dict[str, Any]  # the specification of a resource, parsed from JSON
Stamp = tuple[int, bytes]  # in a store of format 1: a version number, and a tie-breaker for equal numbers

DEFAULT_TIMEOUT_MS = 30_000  # for a route without timeoutMs
DEFAULT_HEALTH_PATH = "/health"
MS_PER_S = 1000
DIGEST_BYTES = 8  # size of the digest that identifies a configuration


class ResourceKind(StrEnum):
    """The kinds of resources; the values of ``resourceKind``."""

    ROUTE = "routeTable"
    SERVICE = "serviceTable"
    TENANT = "tenantTable"
    LIMITS = "limits"


class RouteKind(StrEnum):
    """What the requests of a route do; the values of ``routeKind``."""

    READ_ONLY = "read_only"
    MUTATING = "mutating"
    UPLOAD = "upload"


# Looking up an enum member through its class, or by a call, takes ten times as long, which would slow down
# each request and the parsing of large documents.
READ_ONLY = RouteKind.READ_ONLY
ROUTE_KIND_BY_VALUE = {kind.value: kind for kind in RouteKind}


class WeightedService(NamedTuple):
    """One service of a route's weighted split.

    Attributes
    ----------
    name
        The service, from ``service``.
    cumulative_weight
        The sum of ``shareWeight`` up to and including this service.
    """

    name: str
    cumulative_weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """One route: which requests it matches and how they are served.  From a resource of kind ``routeTable``.

    Attributes
    ----------
    name
        From ``metadata.name``.
    host
        From ``hostName``, in lower case.
    path_prefix
        From ``pathPrefix``.
    kind
        From ``routeKind``.
    timeout
        Seconds a request may take, from ``timeoutMs``; default 30.
    latency_target
        Seconds an answer should take, from ``targetAnswerMs``; default `timeout`.
    priority
        From ``priority``; default 0.
    weighted_services
        From ``weightedSplit`` without the services of weight 0, or from ``service``.
    max_attempts
        The maximum number of attempts for one request, from ``maximumAttempts``; default 1.
    open_access
        Whether requests need no access key, from ``openAccess``.
    home_regions
        From ``homeRegions``.
    zero_weight_services
        Services with a weight of 0 in ``weightedSplit``.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    open_access: bool
    home_regions: frozenset[str]
    zero_weight_services: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether a request may be sent again without changing the result."""
        return self.kind is READ_ONLY

    def pick_service(self, chance: float) -> str:
        """Return the service for a request; `chance` is a random number in [0, 1) drawn for this request."""
        if len(self.weighted_services) == 1:  # nearly all routes
            return self.weighted_services[0].name
        total_weight = self.weighted_services[-1].cumulative_weight
        for name, cumulative_weight in self.weighted_services:
            if chance * total_weight < cumulative_weight:
                return name
        return self.weighted_services[-1].name


@dataclass(slots=True, frozen=True)
class Service:
    """One service: a set of servers that answer the same requests.  From a resource of kind ``serviceTable``.

    Attributes
    ----------
    name
        From ``metadata.name``.
    health_path
        Path of the health check, from ``healthPath``.
    connection_limit
        From ``connectionLimit``; default 0.
    slow_start_time
        Seconds after the start of a server during which it receives fewer requests, from ``coldStartS``.
    slow_start_rate
        Requests per second during this time, from all nodes together, from ``coldPerS``.
    """

    name: str
    health_path: str
    connection_limit: int
    slow_start_time: float
    slow_start_rate: float


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: a customer with access keys to send in its requests.  From a ``tenantTable`` resource.

    Attributes
    ----------
    name
        From ``metadata.name``.
    rate
        Requests per second over all nodes, from ``requestsPerS``; 0 means no limit.
    burst
        Number of requests that may exceed the rate at once, from ``burstSize``.
    priority
        From ``priority``; None means that the priority of the route applies.
    home_regions
        From ``homeRegions``.
    """

    name: str
    rate: float
    burst: float
    priority: int | None
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Limits:
    """What a client may send, and how long it may take.  From a resource of kind ``limits``.

    Attributes
    ----------
    max_head_bytes
        Maximum size of the head of a request, from ``headerBytes``.
    max_body_bytes
        Maximum size of the body of a request, from ``bodyBytes``.
    head_timeout
        Seconds within which the head of a request must be complete, from ``headerTimeoutMs``.
    idle_timeout
        Seconds that a connection may be idle, from ``idleTimeoutMs``.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(slots=True)
class Configuration:
    """One version of the configuration, as the nodes use it.

    Attributes
    ----------
    version
        The number in ``versionNumber``.
    routes_by_host
        The routes of each host, ordered from the longest path prefix to the shortest.
    services
        The services by name.
    tenants
        The tenants by name.
    tenants_by_key
        The tenants by access key, from ``accessKeys``.
    limits
        The limits of the last resource of kind ``limits``, or the defaults.
    limits_entries
        The number of resources of kind ``limits`` in the document.
    """

    version: int
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    tenants_by_key: dict[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    limits_entries: int = 0

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path; `host` must be in lower case."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def parse_version(version: str) -> int:
    """Return the number of a version such as r12."""
    return int(version[1:])


def configuration_digest(body: bytes) -> bytes:
    """Return the 8-byte BLAKE2b digest of a document, which identifies its configuration."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def resource_name(resource: ResourceDocument) -> str:
    """Return the name of a resource, or an empty string if it has none, which only ``limits`` may lack."""
    name: str = resource["metadata"].get("name", "")
    return name


def parse_tenant(name: str, specification: Specification) -> Tenant:
    """Return the tenant that a validated specification describes."""
    return Tenant(
        name=name,
        rate=float(specification.get("requestsPerS") or 0),
        burst=float(specification.get("burstSize") or 0),
        priority=specification.get("priority"),
        home_regions=frozenset(specification.get("homeRegions") or ()),
    )


def parse_route(name: str, specification: Specification) -> Route:
    """Return the route that a validated specification describes."""
    split = specification.get("weightedSplit") or [{"service": specification["service"], "shareWeight": 1}]
    cumulative_weight = 0.0
    weighted_services = []
    for share in split:
        cumulative_weight += share["shareWeight"]
        if share["shareWeight"]:
            weighted_services.append(WeightedService(share["service"], cumulative_weight))
    timeout_ms = specification.get("timeoutMs") or DEFAULT_TIMEOUT_MS
    return Route(
        name=name,
        host=specification["hostName"].lower(),
        path_prefix=specification["pathPrefix"],
        kind=ROUTE_KIND_BY_VALUE[specification["routeKind"]],
        timeout=timeout_ms / MS_PER_S,
        latency_target=(specification.get("targetAnswerMs") or timeout_ms) / MS_PER_S,
        priority=int(specification.get("priority") or 0),
        weighted_services=tuple(weighted_services),
        max_attempts=int(specification.get("maximumAttempts") or 1),
        open_access=bool(specification.get("openAccess")),
        home_regions=frozenset(specification.get("homeRegions") or ()),
        zero_weight_services=tuple(share["service"] for share in split if not share["shareWeight"]),
    )


def parse_service(name: str, specification: Specification) -> Service:
    """Return the service that a validated specification describes."""
    return Service(
        name=name,
        health_path=specification.get("healthPath") or DEFAULT_HEALTH_PATH,
        connection_limit=int(specification.get("connectionLimit") or 0),
        slow_start_time=float(specification.get("coldStartS") or 0),
        slow_start_rate=float(specification.get("coldPerS") or 0),
    )


def parse_limits(specification: Specification) -> Limits:
    """Return the limits that a validated specification describes; omitted fields have their defaults."""
    default = Limits()
    head_timeout_ms = specification.get("headerTimeoutMs") or MS_PER_S * default.head_timeout
    idle_timeout_ms = specification.get("idleTimeoutMs") or MS_PER_S * default.idle_timeout
    return Limits(
        max_head_bytes=int(specification.get("headerBytes") or default.max_head_bytes),
        max_body_bytes=int(specification.get("bodyBytes") or default.max_body_bytes),
        head_timeout=head_timeout_ms / MS_PER_S,
        idle_timeout=idle_timeout_ms / MS_PER_S,
    )


def route_order(route: Route) -> tuple[int, str]:
    """Return the sort key of the routes of one host.

    The longest prefix comes first.  Of two different prefixes of the same length, at most one can match.
    """
    return -len(route.path_prefix), route.path_prefix


def parse_configuration(body: bytes) -> Configuration:
    """Return the configuration of a document that `hazelspring.configuration.validation` has accepted."""
    document = json.loads(body)
    return build_configuration(parse_version(document["versionNumber"]), document["resourceList"])


def build_configuration(version: int, resources: Iterable[ResourceDocument]) -> Configuration:
    """Return the configuration of validated resources; the iterable is consumed one resource at a time."""
    configuration = Configuration(version)
    for resource in resources:
        add_resource(configuration, resource)
    for routes in configuration.routes_by_host.values():
        routes.sort(key=route_order)
    return configuration


def add_resource(configuration: Configuration, resource: ResourceDocument) -> None:
    """Add one validated resource to the tables; the routes of its host are not sorted."""
    add = RESOURCE_ADDERS.get(resource["resourceKind"])
    if add is not None:
        add(configuration, resource["metadata"].get("name", ""), resource["specification"])


def _add_route(configuration: Configuration, name: str, specification: Specification) -> None:
    route = parse_route(name, specification)
    configuration.routes_by_host.setdefault(route.host, []).append(route)


def _add_service(configuration: Configuration, name: str, specification: Specification) -> None:
    configuration.services[name] = parse_service(name, specification)


def _add_tenant(configuration: Configuration, name: str, specification: Specification) -> None:
    tenant = parse_tenant(name, specification)
    configuration.tenants[name] = tenant
    for key in specification.get("accessKeys") or ():
        configuration.tenants_by_key[key] = tenant


def _set_limits(configuration: Configuration, _: str, specification: Specification) -> None:
    configuration.limits = parse_limits(specification)
    configuration.limits_entries += 1


RESOURCE_ADDERS: dict[str, Callable[[Configuration, str, Specification], None]] = {
    ResourceKind.ROUTE: _add_route,
    ResourceKind.SERVICE: _add_service,
    ResourceKind.TENANT: _add_tenant,
    ResourceKind.LIMITS: _set_limits,
}
