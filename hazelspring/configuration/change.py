"""The change of a configuration's tables by the resources that differ.

The new configuration shares all objects that stay with the one before, which is left as it is, since requests under way
still use it.
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

# What reading a resource raises that no schema has checked yet.
MALFORMED_RESOURCE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, RecursionError)


class NotIncrementalError(HazelspringError, ValueError):
    """A text is not whole resources block by block, or a change cannot be read alone: it must be read whole."""

    code = "irregular"


class ConfigurationChange(NamedTuple):
    """The difference between two configurations.

    Attributes
    ----------
    document
        The new document with an empty ``resourceList``.
    resources
        The resources of the new one's blocks that the old one does not have.
    previous_resources
        The resources of the old one's blocks that the new one does not have.
    """

    document: dict[str, Any]
    resources: list[ResourceDocument]
    previous_resources: list[ResourceDocument]


class ResourceKey(NamedTuple):
    """What names a resource: its kind, and its name among those of the kind."""

    kind: str
    name: str


def apply_change(configuration: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the configuration after a change; it shares what stays, and the given one is left as it is.

    Raises
    ------
    NotIncrementalError
        Two resources would be the same one, or resources are not as validation leaves them.
    """
    try:
        return ConfigurationRewrite(configuration, change).run()
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None


def resources_by_key(resources: list[ResourceDocument]) -> dict[ResourceKey, ResourceDocument]:
    """Return resources by kind and name; raise NotIncrementalError where two have the same ones."""
    found = {
        ResourceKey(resource["resourceKind"], resource_name(resource)): resource for resource in resources
    }
    if len(found) != len(resources):
        raise NotIncrementalError("an entry that stands twice")
    return found


class ConfigurationRewrite:
    """One change of a configuration's tables.

    A table is copied if a resource of its kind changes, and the routes of a host if one of them does.  Resources are
    removed before others are added, so that a route may take the place, and a tenant the key, of one that goes.

    Parameters
    ----------
    previous
        The configuration before the change; it is not changed.
    change
        The difference, with resources that changed their block and are the same otherwise.
    """

    def __init__(self, previous: Configuration, change: ConfigurationChange) -> None:
        old_resources = resources_by_key(change.previous_resources)
        new_resources = resources_by_key(change.resources)
        self.removed = {key: old for key, old in old_resources.items() if new_resources.get(key) != old}
        self.added = {key: new for key, new in new_resources.items() if old_resources.get(key) != new}
        self.previous = previous
        self.configuration = replace(previous, version=parse_version(change.document["versionNumber"]))
        self.copied_hosts: set[str] = set()  # hosts whose list of routes is this configuration's own
        self.route_names: set[str] = set()  # routes that stay or were added; filled if any route changes

    def run(self) -> Configuration:
        """Return the configuration after the change; raise NotIncrementalError where it cannot be made alone."""
        self._copy_tables({key.kind for key in [*self.removed, *self.added]})
        for key, resource in self.removed.items():
            self._remove(key, resource["specification"])
        for key, resource in self.added.items():
            self._add(key, resource["specification"])
        self._finish_hosts()
        if self.previous.limits_entries > 1 or self.configuration.limits_entries > 1:
            raise NotIncrementalError("limits that stand twice: the later one counts")
        return self.configuration

    def _copy_tables(self, kinds: set[str]) -> None:
        """Give the new configuration tables of its own for the kinds that change."""
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
            raise NotIncrementalError(f"route {name}: its name or place is taken")
        self.route_names.add(name)
        routes.append(route)

    def _add_service(self, name: str, specification: Specification) -> None:
        if name in self.configuration.services:
            raise NotIncrementalError(f"service {name} stands twice")
        self.configuration.services[name] = parse_service(name, specification)

    def _add_tenant(self, name: str, specification: Specification) -> None:
        if name in self.configuration.tenants:
            raise NotIncrementalError(f"tenant {name} stands twice")
        tenant = parse_tenant(name, specification)
        self.configuration.tenants[name] = tenant
        for access_key in specification.get("accessKeys") or ():
            if self.configuration.tenants_by_key.setdefault(access_key, tenant) is not tenant:
                raise NotIncrementalError(f"tenant {name}: a key that another holds")
