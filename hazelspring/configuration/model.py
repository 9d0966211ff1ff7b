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
    prefix: str
    kind: str
    timeout: float
    aim: float
    priority: int
    split: tuple[tuple[str, float], ...]
    attempts: int
    open: bool
    homes: frozenset[str]
    idle: tuple[str, ...] = ()  # services that it names with a weight of 0

    @property
    def repeatable(self) -> bool:
        return self.kind == "read_only"

    def service(self, chance: float) -> str:
        """The service for a request, by a number from 0 up to 1 that is drawn for it."""
        most = self.split[-1][1]
        for name, upto in self.split:
            if chance * most < upto:
                return name
        return self.split[-1][0]


@dataclass(slots=True, frozen=True)
class Service:
    name: str
    health: str
    connections: int
    cold_time: float  # seconds after a start
    cold_rate: float  # requests a second meanwhile, over all doors


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    rate: float  # requests a second over all doors; 0 is no limit
    burst: float
    priority: int | None
    homes: frozenset[str]


@dataclass(slots=True, frozen=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stand idle, in seconds."""

    head: int = 16 * 1024
    body: int = 64 << 20
    head_time: float = 3.0
    idle: float = 15.0


@dataclass(slots=True)
class Word:
    """One configuration, as the doors use it."""

    number: int
    routes: dict[str, list[Route]] = field(default_factory=dict)  # by host, the longest prefix first
    services: dict[str, Service] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    keys: dict[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    bounds: int = 0  # entries that say limits: the last one counts

    def route(self, host: str, path: str) -> Route | None:
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def number_of(version: str) -> int:
    """The number of a version such as r12."""
    return int(version[1:])


def digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=8).digest()


def tenant_of(name: str, spec: dict[str, Any]) -> Tenant:
    return Tenant(
        name,
        float(spec.get("requestsPerS") or 0),
        float(spec.get("burstSize") or 0),
        spec.get("priority"),
        frozenset(spec.get("homeRegions") or ()),
    )


def route_of(name: str, spec: dict[str, Any]) -> Route:
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


def service_of(name: str, spec: dict[str, Any]) -> Service:
    return Service(
        name,
        spec.get("healthPath") or "/health",
        int(spec.get("connectionLimit") or 0),
        float(spec.get("coldStartS") or 0),
        float(spec.get("coldPerS") or 0),
    )


def limits_of(spec: dict[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        int(spec.get("headerBytes") or usual.head),
        int(spec.get("bodyBytes") or usual.body),
        (spec.get("headerTimeoutMs") or 1000 * usual.head_time) / 1000,
        (spec.get("idleTimeoutMs") or 1000 * usual.idle) / 1000,
    )


def order(route: Route) -> tuple[int, str]:
    """Of the routes of one host: the longest prefix first; of one length no two match one path."""
    return -len(route.prefix), route.prefix


def read(body: bytes) -> Word:
    """The tables of a configuration that `hazelspring.configuration.validation` has let pass."""
    document = json.loads(body)
    return tables(number_of(document["versionNumber"]), document["resourceList"])


def tables(number: int, entries: Iterable[dict[str, Any]]) -> Word:
    """The tables of so many entries, which are asked for one after the other."""
    word = Word(number)
    for entry in entries:
        kind, name, spec = entry["resourceKind"], entry["metadata"].get("name", ""), entry["specification"]
        if kind == "routeTable":
            route = route_of(name, spec)
            word.routes.setdefault(route.host, []).append(route)
        elif kind == "serviceTable":
            word.services[name] = service_of(name, spec)
        elif kind == "tenantTable":
            tenant = word.tenants[name] = tenant_of(name, spec)
            for key in spec.get("accessKeys") or ():
                word.keys[key] = tenant
        elif kind == "limits":
            word.limits = limits_of(spec)
            word.bounds += 1
    for routes in word.routes.values():
        routes.sort(key=order)
    return word
