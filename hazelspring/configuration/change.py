"""Incremental update of a configuration's tables from the resources that differ.

The new configuration shares all unchanged objects with the previous one.  The previous configuration is not
modified, because requests in progress still use it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

from hazelspring.configuration.model import (
    Configuration,
    Limits,
    ResourceDocument,
    ResourceKind,
    Route,
    Specification,
    parse_limits,
    parse_route,
    parse_service,
    parse_tenant,
    parse_version,
    resource_name,
    route_order,
)
from hazelspring.errors import HazelspringError

# Exceptions that reading a resource may raise if no schema has checked it yet.
MALFORMED_RESOURCE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, RecursionError)


class NotIncrementalError(HazelspringError, ValueError):
    """A document cannot be read block by block, or a change cannot be applied incrementally.

    The caller must parse the complete document instead.
    """

    code = "irregular"


class ConfigurationChange(NamedTuple):
    """The difference between two configurations.

    Attributes
    ----------
    document
        The new document with an empty ``resourceList``.
    resources
        The resources of those blocks of the new configuration that the old one does not have.
    previous_resources
        The resources of those blocks of the old configuration that the new one does not have.
    """

    document: dict[str, Any]
    resources: list[ResourceDocument]
    previous_resources: list[ResourceDocument]


class ResourceKey(NamedTuple):
    """The identity of a resource: its kind, and its name, which is unique within the kind."""

    kind: str
    name: str


def apply_change(configuration: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the configuration after a change.

    It shares unchanged objects with the given configuration, which is not modified.

    Raises
    ------
    NotIncrementalError
        Two resources would have the same name, path prefix or access key, or a resource is malformed.
    """
    try:
        return ConfigurationRewrite(configuration, change).run()
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None


def resources_by_key(resources: list[ResourceDocument]) -> dict[ResourceKey, ResourceDocument]:
    """Return resources by kind and name; raise NotIncrementalError if two have the same kind and name."""
    found = {
        ResourceKey(resource["resourceKind"], resource_name(resource)): resource for resource in resources
    }
    if len(found) != len(resources):
        raise NotIncrementalError("two resources have the same kind and name")
    return found


class ConfigurationRewrite:
    """Applies one change to a copy of a configuration's tables.

    A table is copied if a resource of its kind changes, and the routes of a host if one of them changes.
    Resources are removed before others are added, so that a new route may have the host and path prefix of a
    removed one, and a new tenant the access key of a removed one.

    Parameters
    ----------
    previous
        The configuration before the change; it is not modified.
    change
        The difference; it may contain unchanged resources that only moved to another block.
    """

    def __init__(self, previous: Configuration, change: ConfigurationChange) -> None:
        old_resources = resources_by_key(change.previous_resources)
        new_resources = resources_by_key(change.resources)
        self.removed = {key: old for key, old in old_resources.items() if new_resources.get(key) != old}
        self.added = {key: new for key, new in new_resources.items() if old_resources.get(key) != new}
        self.previous = previous
        self.configuration = replace(previous, version=parse_version(change.document["versionNumber"]))
        self.copied_hosts: set[str] = set()  # hosts whose list of routes has been copied already
        self.route_names: set[str] = set()  # of unchanged and added routes; filled only if a route changes

    def run(self) -> Configuration:
        """Return the configuration after the change; raise NotIncrementalError if that fails."""
        self._copy_tables({key.kind for key in [*self.removed, *self.added]})
        for key, resource in self.removed.items():
            self._remove(key, resource["specification"])
        for key, resource in self.added.items():
            self._add(key, resource["specification"])
        self._finish_hosts()
        if self.previous.limits_entries > 1 or self.configuration.limits_entries > 1:
            # The last limits resource in the document is in force, even if the difference lacks it.
            raise NotIncrementalError("cannot tell which of several limits resources is the last one")
        return self.configuration

    def _copy_tables(self, kinds: set[str]) -> None:
        """Copy the tables of the kinds that change into the new configuration."""
        previous, configuration = self.previous, self.configuration
        if ResourceKind.ROUTE in kinds:
            configuration.routes_by_host = dict(previous.routes_by_host)
            old_names = {route.name for routes in previous.routes_by_host.values() for route in routes}
            self.route_names = old_names - {
                key.name for key in self.removed if key.kind == ResourceKind.ROUTE
            }
        if ResourceKind.SERVICE in kinds:
            configuration.services = dict(previous.services)
        if ResourceKind.TENANT in kinds:
            configuration.tenants = dict(previous.tenants)
            configuration.tenants_by_key = dict(previous.tenants_by_key)

    def _host_routes(self, host: str) -> list[Route]:
        """Return the list of a host's routes, copied before the first change."""
        routes_by_host = self.configuration.routes_by_host
        if host not in self.copied_hosts:
            self.copied_hosts.add(host)
            routes_by_host[host] = list(routes_by_host.get(host, ()))
        return routes_by_host[host]

    def _finish_hosts(self) -> None:
        """Sort the routes of the hosts that changed, and remove hosts without routes."""
        routes_by_host = self.configuration.routes_by_host
        for host in self.copied_hosts:
            routes = routes_by_host[host]
            if routes:
                routes.sort(key=route_order)
            else:
                del routes_by_host[host]

    def _remove(self, key: ResourceKey, specification: Specification) -> None:
        if key.kind == ResourceKind.ROUTE:
            routes = self._host_routes(specification["hostName"].lower())
            index = [route.name for route in routes].index(key.name)
            del routes[index]
        elif key.kind == ResourceKind.SERVICE:
            del self.configuration.services[key.name]
        elif key.kind == ResourceKind.TENANT:
            del self.configuration.tenants[key.name]
            for access_key in set(specification.get("accessKeys") or ()):
                del self.configuration.tenants_by_key[access_key]
        elif key.kind == ResourceKind.LIMITS:
            self.configuration.limits = Limits()
            self.configuration.limits_entries -= 1

    def _add(self, key: ResourceKey, specification: Specification) -> None:
        if key.kind == ResourceKind.ROUTE:
            self._add_route(key.name, specification)
        elif key.kind == ResourceKind.SERVICE:
            self._add_service(key.name, specification)
        elif key.kind == ResourceKind.TENANT:
            self._add_tenant(key.name, specification)
        elif key.kind == ResourceKind.LIMITS:
            self.configuration.limits = parse_limits(specification)
            self.configuration.limits_entries += 1

    def _add_route(self, name: str, specification: Specification) -> None:
        route = parse_route(name, specification)
        routes = self._host_routes(route.host)
        if name in self.route_names or any(other.path_prefix == route.path_prefix for other in routes):
            raise NotIncrementalError(f"route {name}: its name, or its host and prefix, is in use")
        self.route_names.add(name)
        routes.append(route)

    def _add_service(self, name: str, specification: Specification) -> None:
        if name in self.configuration.services:
            raise NotIncrementalError(f"two services are named {name}")
        self.configuration.services[name] = parse_service(name, specification)

    def _add_tenant(self, name: str, specification: Specification) -> None:
        if name in self.configuration.tenants:
            raise NotIncrementalError(f"two tenants are named {name}")
        tenant = parse_tenant(name, specification)
        self.configuration.tenants[name] = tenant
        for access_key in specification.get("accessKeys") or ():
            if self.configuration.tenants_by_key.setdefault(access_key, tenant) is not tenant:
                raise NotIncrementalError(f"tenant {name}: another tenant has one of its access keys")
