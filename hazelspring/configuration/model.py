"""The model of the operator's configuration: routes, services, tenants and limits, looked up by request.

The operator's document is a JSON object with ``versionNumber`` (``"r"`` and a number) and ``resourceList``.  Each
resource has a ``resourceKind``, a ``metadata.name`` and a ``specification``; the classes here say which field of the
specification each of their fields is read from.  Documents are checked by `hazelspring.configuration.validation`
before they are parsed here, so that parsing needs no checks of its own.  Durations in milliseconds on the wire
(``...Ms``) are seconds here.
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
Stamp = tuple[int, bytes]  # of a store of format 1: a version number, and the tie-break between equal numbers

DEFAULT_TIMEOUT_MS = 30_000  # milliseconds, of a route without timeoutMs
DEFAULT_HEALTH_PATH = "/health"
MS_PER_S = 1000
DIGEST_BYTES = 8  # bytes of the digest that names a configuration


class ResourceKind(StrEnum):
    """The kinds of resources, as ``resourceKind`` gives them."""

    ROUTE = "routeTable"
    SERVICE = "serviceTable"
    TENANT = "tenantTable"
    LIMITS = "limits"


class RouteKind(StrEnum):
    """What the requests of a route do, as ``routeKind`` gives it."""

    READ_ONLY = "read_only"
    MUTATING = "mutating"
    UPLOAD = "upload"


# A member looked up by its class, or by a call, takes ten times as long: requests and large documents would pay it.
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
    """One route: which requests it takes, and how they are served.  From a resource of kind ``routeTable``.

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
        Seconds a request may take, from ``timeoutMs``; 30 without it.
    latency_target
        Seconds an answer should take, from ``targetAnswerMs``; the timeout without it.
    priority
        From ``priority``; 0 without it.
    weighted_services
        From ``weightedSplit`` without the services of weight 0, or ``service`` alone.
    max_attempts
        Attempts at one request, from ``maximumAttempts``; 1 without it.
    open_access
        Whether requests need no access key, from ``openAccess``.
    home_regions
        From ``homeRegions``.
    zero_weight_services
        Services that ``weightedSplit`` names with a weight of 0.
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
        """Return the service for a request, by a random number in [0, 1) that is drawn for it."""
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
        From ``connectionLimit``; 0 without it.
    slow_start_time
        Seconds after a server's start during which it gets fewer requests, from ``coldStartS``.
    slow_start_rate
        Requests a second meanwhile, over all nodes, from ``coldPerS``.
    """

    name: str
    health_path: str
    connection_limit: int
    slow_start_time: float
    slow_start_rate: float


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: a customer whose requests carry its access keys.  From a resource of kind ``tenantTable``.

    Attributes
    ----------
    name
        From ``metadata.name``.
    rate
        Requests a second over all nodes, from ``requestsPerS``; 0 is no limit.
    burst
        Requests above the rate at once, from ``burstSize``.
    priority
        From ``priority``; None leaves it to the route.
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
        Bytes of a request's head, from ``headerBytes``.
    max_body_bytes
        Bytes of a request's body, from ``bodyBytes``.
    head_timeout
        Seconds until a request's head is complete, from ``headerTimeoutMs``.
    idle_timeout
        Seconds that a connection may stand idle, from ``idleTimeoutMs``.
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
        The routes of each host, the longest path prefix first.
    services
        By name.
    tenants
        By name.
    tenants_by_key
        By access key, from ``accessKeys``.
    limits
        Those of the last resource of kind ``limits``, or the defaults.
    limits_entries
        How many resources of kind ``limits`` the document has.
    """

    version: int
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    tenants_by_key: dict[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    limits_entries: int = 0

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path on a host, given in lower case."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def parse_version(version: str) -> int:
    """Return the number of a version such as r12."""
    return int(version[1:])


def configuration_digest(body: bytes) -> bytes:
    """Return the 8 bytes that name a configuration: the BLAKE2b digest of its document."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def resource_name(resource: ResourceDocument) -> str:
    """Return the name of a resource; empty where it has none, as limits may."""
    name: str = resource["metadata"].get("name", "")
    return name


def parse_tenant(name: str, specification: Specification) -> Tenant:
    """Return the tenant that a checked specification describes."""
    return Tenant(
        name=name,
        rate=float(specification.get("requestsPerS") or 0),
        burst=float(specification.get("burstSize") or 0),
        priority=specification.get("priority"),
        home_regions=frozenset(specification.get("homeRegions") or ()),
    )


def parse_route(name: str, specification: Specification) -> Route:
    """Return the route that a checked specification describes."""
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
    """Return the service that a checked specification describes."""
    return Service(
        name=name,
        health_path=specification.get("healthPath") or DEFAULT_HEALTH_PATH,
        connection_limit=int(specification.get("connectionLimit") or 0),
        slow_start_time=float(specification.get("coldStartS") or 0),
        slow_start_rate=float(specification.get("coldPerS") or 0),
    )


def parse_limits(specification: Specification) -> Limits:
    """Return the limits that a checked specification describes; what it leaves out has its default."""
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

    The longest prefix comes first; of two different prefixes of one length at most one matches a path.
    """
    return -len(route.path_prefix), route.path_prefix


def parse_configuration(body: bytes) -> Configuration:
    """Return the configuration of a document that `hazelspring.configuration.validation` has accepted."""
    document = json.loads(body)
    return build_configuration(parse_version(document["versionNumber"]), document["resourceList"])


def build_configuration(version: int, resources: Iterable[ResourceDocument]) -> Configuration:
    """Return the configuration of checked resources, which are taken one after the other."""
    configuration = Configuration(version)
    for resource in resources:
        add_resource(configuration, resource)
    for routes in configuration.routes_by_host.values():
        routes.sort(key=route_order)
    return configuration


def add_resource(configuration: Configuration, resource: ResourceDocument) -> None:
    """Add one checked resource to the tables; the routes of its host are left unsorted."""
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
