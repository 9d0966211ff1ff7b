"""A configuration read block by block, and by its difference from the one that is held.

A packed body (`hazelspring.configuration.blocks`) is split where resources begin.  So its first block is the document
up to the resource list, each block between holds whole resources, and the last one holds the last resources and the
rest of the document.  Where two bodies have a block in common, its resources need not be read again, and the tables of
the configuration share the objects made of them.

Not every text is like that: a document may have other fields first, or hold the start of a resource within a string.
`NotIncrementalError` says so, and the document is then read whole.  Nothing here decides whether a configuration is
valid; see `hazelspring.configuration.validation`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from hazelspring.configuration.blocks import Block, PackedError, read_blocks, unpack
from hazelspring.configuration.model import (
    Configuration,
    Limits,
    ResourceDocument,
    ResourceKind,
    Route,
    Specification,
    build_configuration,
    parse_configuration,
    parse_limits,
    parse_route,
    parse_service,
    parse_tenant,
    parse_version,
    resource_name,
    route_order,
)
from hazelspring.errors import HazelspringError

# A JSON constant that stands for the blocks which are left out: no other text is read as the object.
PLACEHOLDER = object()
PLACEHOLDER_TEXT = b"-Infinity"

# What reading a resource raises that no schema has checked yet.
MALFORMED_RESOURCE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, RecursionError)


class NotIncrementalError(HazelspringError, ValueError):
    """A text is not whole resources block by block, or a change cannot be read alone: it must be read whole."""

    code = "irregular"


class LoadedConfiguration(NamedTuple):
    """A configuration in use.

    Attributes
    ----------
    configuration
        Its tables.
    packed
        The packed body that the tables were read from.
    block_aligned
        Whether each block but the first and the last was seen to be whole resources.
    """

    configuration: Configuration
    packed: bytes
    block_aligned: bool


class ValidatedConfiguration(NamedTuple):
    """A configuration that was found valid.

    Attributes
    ----------
    version
        The number in ``versionNumber``.
    packed
        Its packed body.
    """

    version: int
    packed: bytes


class DocumentFrame(NamedTuple):
    """The first and the last block of a document.

    Attributes
    ----------
    document
        The document with an empty ``resourceList``.
    last_resources
        The resources of the last block.
    """

    document: dict[str, Any]
    last_resources: list[ResourceDocument]


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


def parse_block(block: Block) -> list[ResourceDocument]:
    """Return the resources of a block between the first and the last.

    Raises
    ------
    NotIncrementalError
        The block is not whole resources.
    """
    try:
        # nested as deep as in its body, so that it is refused for its depth where the body is
        resources = json.loads(b'{"":[' + block.unpacked() + b"null]}")[""]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if not resources or resources.pop() is not None:
        raise NotIncrementalError("a block that does not end with an entry")
    return list(resources)


def parse_constant(text: str) -> object:
    """Return the value of a JSON constant such as NaN; `PLACEHOLDER` for the text that stands for it."""
    return PLACEHOLDER if text.encode() == PLACEHOLDER_TEXT else float(text)


def parse_frame(blocks: list[Block]) -> DocumentFrame:
    """Return what the first and the last block hold.

    The other blocks belong between them: a placeholder that is put there must be found as the first resource.

    Raises
    ------
    NotIncrementalError
        The document does not begin as usual, or the other blocks are no part of its resource list.
    """
    if len(blocks) < 2:
        raise NotIncrementalError("one block")
    head, last = blocks[0].unpacked(), blocks[-1].unpacked()
    other_encoding = head[:1] != b"{" or head[1:2] == b"\0"
    if other_encoding or PLACEHOLDER_TEXT in head or PLACEHOLDER_TEXT in last:
        raise NotIncrementalError("no head as it is usual")
    try:
        document = json.loads(head + PLACEHOLDER_TEXT + b"," + last, parse_constant=parse_constant)
        first, *last_resources = document["resourceList"]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if first is not PLACEHOLDER:
        raise NotIncrementalError("entries before the first mark")
    return DocumentFrame({**document, "resourceList": []}, last_resources)


def diff_blocks(held: LoadedConfiguration, packed: bytes) -> ConfigurationChange:
    """Return what differs between the configuration that is held and a packed one.

    Raises
    ------
    NotIncrementalError
        One of the two cannot be read block by block.
    PackedError
        One of the two is damaged.
    """
    if not held.block_aligned:
        raise NotIncrementalError("what is held was read whole")
    old_blocks, new_blocks = read_blocks(held.packed), read_blocks(packed)
    new_frame = parse_frame(new_blocks)
    old_frame = parse_frame(old_blocks)
    removed_blocks = {block.packed: block for block in old_blocks[1:-1]}
    resources: list[ResourceDocument] = []
    for block in new_blocks[1:-1]:
        if removed_blocks.pop(block.packed, None) is None:
            resources += parse_block(block)
    previous_resources: list[ResourceDocument] = []
    for block in removed_blocks.values():
        previous_resources += parse_block(block)
    return ConfigurationChange(
        document=new_frame.document,
        resources=resources + new_frame.last_resources,
        previous_resources=previous_resources + old_frame.last_resources,
    )


def load_configuration(packed: bytes, held: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """Read a packed configuration that `hazelspring.configuration.validation` has accepted.

    It is read by its difference from the one that is held where that is possible, else block by block, else whole.

    Raises
    ------
    PackedError
        The packed body is damaged.
    """
    if held is not None:
        try:
            configuration = apply_change(held.configuration, diff_blocks(held, packed))
            return LoadedConfiguration(configuration, packed, block_aligned=True)
        except (NotIncrementalError, PackedError):
            pass
    try:
        return LoadedConfiguration(_build_by_blocks(read_blocks(packed)), packed, block_aligned=True)
    except NotIncrementalError:
        return LoadedConfiguration(parse_configuration(unpack(packed)), packed, block_aligned=False)


def _build_by_blocks(blocks: list[Block]) -> Configuration:
    """Return the configuration of all blocks, with the resources of one block at a time in memory."""
    frame = parse_frame(blocks)

    def resources() -> Iterator[ResourceDocument]:
        for block in blocks[1:-1]:
            yield from parse_block(block)
        yield from frame.last_resources

    return build_configuration(parse_version(frame.document["versionNumber"]), resources())


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
