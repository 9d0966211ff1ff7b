"""What a configuration says: routes, services, tenants and limits, looked up by request."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Stamp = tuple[int, bytes]  # a number, and what decides between two items that bear the same one


@dataclass(slots=True, frozen=True)
class Route:
    """A route; times in seconds, `split` as (service, running sum of weights)."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout: float
    latency_target: float
    priority: int
    weighted_services: tuple[tuple[str, float], ...]
    max_attempts: int
    open_access: bool
    home_regions: frozenset[str]
    zero_weight_services: tuple[str, ...] = ()  # services that it names with a weight of 0

    @property
    def idempotent(self) -> bool:
        return self.kind == "read_only"

    def pick_service(self, chance: float) -> str:
        """The service for a request, by a number from 0 up to 1 that is drawn for it."""
        most = self.weighted_services[-1][1]
        for name, upto in self.weighted_services:
            if chance * most < upto:
                return name
        return self.weighted_services[-1][0]


@dataclass(slots=True, frozen=True)
class Service:
    name: str
    health_path: str
    connection_limit: int
    slow_start_time: float  # seconds after a start
    slow_start_rate: float  # requests a second meanwhile, over all doors


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    rate: float  # requests a second over all doors; 0 is no limit
    burst: float
    priority: int | None
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stand idle, in seconds."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(slots=True)
class Configuration:
    """One configuration, as the doors use it."""

    version: int
    routes_by_host: dict[str, list[Route]] = field(default_factory=dict)  # by host, the longest prefix first
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    tenants_by_key: dict[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    limits_entries: int = 0  # entries that say limits: the last one counts

    def find_route(self, host: str, path: str) -> Route | None:
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def parse_version(version: str) -> int:
    """The number of a version such as r12."""
    return int(version[1:])


def configuration_digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=8).digest()


def parse_tenant(name: str, spec: dict[str, Any]) -> Tenant:
    return Tenant(
        name,
        float(spec.get("requestsPerS") or 0),
        float(spec.get("burstSize") or 0),
        spec.get("priority"),
        frozenset(spec.get("homeRegions") or ()),
    )


def parse_route(name: str, spec: dict[str, Any]) -> Route:
    parts = spec.get("weightedSplit") or [{"service": spec["service"], "shareWeight": 1}]
    upto, split = 0.0, []
    for part in parts:
        upto += part["shareWeight"]
        if part["shareWeight"]:
            split.append((part["service"], upto))
    timeout = spec.get("timeoutMs") or 30_000
    return Route(
        name,
        spec["hostName"].lower(),
        spec["pathPrefix"],
        spec["routeKind"],
        timeout / 1000,
        (spec.get("targetAnswerMs") or timeout) / 1000,
        int(spec.get("priority") or 0),
        tuple(split),
        int(spec.get("maximumAttempts") or 1),
        bool(spec.get("openAccess")),
        frozenset(spec.get("homeRegions") or ()),
        tuple(part["service"] for part in parts if not part["shareWeight"]),
    )


def parse_service(name: str, spec: dict[str, Any]) -> Service:
    return Service(
        name,
        spec.get("healthPath") or "/health",
        int(spec.get("connectionLimit") or 0),
        float(spec.get("coldStartS") or 0),
        float(spec.get("coldPerS") or 0),
    )


def parse_limits(spec: dict[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        int(spec.get("headerBytes") or usual.max_head_bytes),
        int(spec.get("bodyBytes") or usual.max_body_bytes),
        (spec.get("headerTimeoutMs") or 1000 * usual.head_timeout) / 1000,
        (spec.get("idleTimeoutMs") or 1000 * usual.idle_timeout) / 1000,
    )


def route_order(route: Route) -> tuple[int, str]:
    """Of the routes of one host: the longest prefix first; of one length no two match one path."""
    return -len(route.path_prefix), route.path_prefix


def parse_configuration(body: bytes) -> Configuration:
    """The tables of a configuration that `hazelspring.configuration.validation` has let pass."""
    document = json.loads(body)
    return build_configuration(parse_version(document["versionNumber"]), document["resourceList"])


def build_configuration(number: int, entries: Iterable[dict[str, Any]]) -> Configuration:
    """The tables of so many entries, which are asked for one after the other."""
    word = Configuration(number)
    for entry in entries:
        kind, name, spec = entry["resourceKind"], entry["metadata"].get("name", ""), entry["specification"]
        if kind == "routeTable":
            route = parse_route(name, spec)
            word.routes_by_host.setdefault(route.host, []).append(route)
        elif kind == "serviceTable":
            word.services[name] = parse_service(name, spec)
        elif kind == "tenantTable":
            tenant = word.tenants[name] = parse_tenant(name, spec)
            for key in spec.get("accessKeys") or ():
                word.tenants_by_key[key] = tenant
        elif kind == "limits":
            word.limits = parse_limits(spec)
            word.limits_entries += 1
    for routes in word.routes_by_host.values():
        routes.sort(key=route_order)
    return word
