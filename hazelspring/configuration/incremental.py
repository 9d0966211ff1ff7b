"""A configuration read by its blocks, and by what differs from the one that is held: what stays keeps its objects."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from hazelspring.configuration.blocks import Block, PackedError, read_blocks, unpack
from hazelspring.configuration.model import (
    Configuration,
    Limits,
    Route,
    build_configuration,
    parse_configuration,
    parse_limits,
    parse_route,
    parse_service,
    parse_tenant,
    parse_version,
    route_order,
)

Entry = dict[str, Any]
PLACEHOLDER, PLACEHOLDER_TEXT = (
    object(),
    b"-Infinity",
)  # in place of the blocks that are left out: no other text is read as it
MALFORMED_ENTRY_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
)  # of entries that nobody checked


class NotIncrementalError(ValueError):
    """A text that is not entries block by block, or a change that cannot be read alone: it is read whole."""

    code = "irregular"


class LoadedConfiguration(NamedTuple):
    """A configuration in use: its tables, and the packed bytes that they were read from; `apart`: each block but
    the first and the last was seen to be whole entries."""

    configuration: Configuration
    packed: bytes
    block_aligned: bool


class ValidatedConfiguration(NamedTuple):
    """A configuration that may be taken: its number, and its bytes packed."""

    version: int
    packed: bytes


class ConfigurationChange(NamedTuple):
    """What differs between two configurations: `document` is the new one with no entries but those of blocks that
    changed, `was` are the entries of the old one's."""

    document: Entry
    entries: list[Entry]
    previous_entries: list[Entry]


# --- entries of blocks ------------------------------------------------------------------------------------


def parse_block(block: Block) -> list[Entry]:
    """The entries of a block that is no first or last one; raises Irregular where it is not whole entries."""
    try:
        # nested as deep as in its body, so that it is refused where that is
        found = json.loads(b'{"":[' + block.unpacked() + b"null]}")[""]
    except MALFORMED_ENTRY_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if not found or found.pop() is not None:
        raise NotIncrementalError("a block that does not end with an entry")
    return list(found)


def parse_constant(text: str) -> object:
    return PLACEHOLDER if text.encode() == PLACEHOLDER_TEXT else float(text)


def parse_frame(blocks: list[Block]) -> tuple[Entry, list[Entry]]:
    """The document without its entries, and those of its last block.  What the other blocks hold belongs between:
    a mark that is put there is found as the first entry.  Raises Irregular."""
    if len(blocks) < 2:
        raise NotIncrementalError("one block")
    head, last = blocks[0].unpacked(), blocks[-1].unpacked()
    if head[:1] != b"{" or head[1:2] == b"\0" or PLACEHOLDER_TEXT in head or PLACEHOLDER_TEXT in last:
        raise NotIncrementalError("no head as it is usual")  # of another encoding, too
    try:
        document = json.loads(head + PLACEHOLDER_TEXT + b"," + last, parse_constant=parse_constant)
        first, *entries = document["resourceList"]
    except MALFORMED_ENTRY_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if first is not PLACEHOLDER:
        raise NotIncrementalError("entries before the first mark")
    return {**document, "resourceList": []}, entries


def diff_blocks(held: LoadedConfiguration, packed: bytes) -> ConfigurationChange:
    """What differs between the configuration that is held and one that was packed; raises Irregular, PackedError."""
    if not held.block_aligned:
        raise NotIncrementalError("what is held was read whole")
    old, new = read_blocks(held.packed), read_blocks(packed)
    document, last = parse_frame(new)
    _, was_last = parse_frame(old)
    left = {block.packed: block for block in old[1:-1]}
    entries: list[Entry] = []
    for block in new[1:-1]:
        if left.pop(block.packed, None) is None:
            entries += parse_block(block)
    was = [entry for block in left.values() for entry in parse_block(block)]
    return ConfigurationChange(document, entries + last, was + was_last)


# --- reading ------------------------------------------------------------------------------------------------


def load_configuration(packed: bytes, held: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """Read a packed configuration that `hazelspring.configuration.validation`
    has let pass: by what differs from the one that is held where
    that can be, else block by block, else whole."""
    if held is not None:
        try:
            return LoadedConfiguration(
                apply_change(held.configuration, diff_blocks(held, packed)), packed, True
            )
        except (NotIncrementalError, PackedError):
            pass
    try:
        blocks = read_blocks(packed)
        document, last = parse_frame(blocks)

        def entries() -> Iterator[Entry]:
            for block in blocks[1:-1]:
                yield from parse_block(block)
            yield from last

        return LoadedConfiguration(
            build_configuration(parse_version(document["versionNumber"]), entries()), packed, True
        )
    except NotIncrementalError:
        return LoadedConfiguration(parse_configuration(unpack(packed)), packed, False)


def apply_change(word: Configuration, change: ConfigurationChange) -> Configuration:
    """The tables after a change, which share all entries that stay; those before it are as they were.  Raises
    Irregular where two entries would be one, or entries are not as a check leaves them."""
    try:
        return ConfigurationRewrite(word, change).configuration
    except MALFORMED_ENTRY_ERRORS as error:
        raise NotIncrementalError(str(error)) from None


def entries_by_name(entries: list[Entry]) -> dict[tuple[str, str], Entry]:
    found = {(entry["resourceKind"], entry["metadata"].get("name", "")): entry for entry in entries}
    if len(found) != len(entries):
        raise NotIncrementalError("an entry that stands twice")
    return found


class ConfigurationRewrite:
    """One change of tables: they are copied where an entry of them changes, and entries go before others come."""

    def __init__(self, word: Configuration, change: ConfigurationChange) -> None:
        was, now = entries_by_name(change.previous_entries), entries_by_name(change.entries)
        gone = [(name, entry) for name, entry in was.items() if now.get(name) != entry]
        new = [(name, entry) for name, entry in now.items() if was.get(name) != entry]
        self.configuration = replace(word, version=parse_version(change.document["versionNumber"]))
        self.copied_hosts: set[str] = set()  # hosts whose routes are a list of this word's own
        kinds = {kind for (kind, _), _ in [*gone, *new]}
        if "routeTable" in kinds:
            self.configuration.routes_by_host = dict(word.routes_by_host)
            there = {route.name for routes in word.routes_by_host.values() for route in routes}
            self.route_names = there - {name for (kind, name), _ in gone if kind == "routeTable"}
        if "serviceTable" in kinds:
            self.configuration.services = dict(word.services)
        if "tenantTable" in kinds:
            self.configuration.tenants, self.configuration.tenants_by_key = (
                dict(word.tenants),
                dict(word.tenants_by_key),
            )
        for (kind, name), entry in gone:
            self.remove(kind, name, entry["specification"])
        for (kind, name), entry in new:
            self.add(kind, name, entry["specification"])
        for host in self.copied_hosts:
            if routes := self.configuration.routes_by_host[host]:
                routes.sort(key=route_order)
            else:
                del self.configuration.routes_by_host[host]
        if word.limits_entries > 1 or self.configuration.limits_entries > 1:
            raise NotIncrementalError("limits that stand twice: the later one counts")

    def routes(self, host: str) -> list[Route]:
        if host not in self.copied_hosts:
            self.copied_hosts.add(host)
            self.configuration.routes_by_host[host] = list(self.configuration.routes_by_host.get(host, ()))
        return self.configuration.routes_by_host[host]

    def remove(self, kind: str, name: str, spec: Entry) -> None:
        if kind == "routeTable":
            routes = self.routes(spec["hostName"].lower())
            at = [route.name for route in routes].index(name)
            del routes[at]
        elif kind == "serviceTable":
            del self.configuration.services[name]
        elif kind == "tenantTable":
            del self.configuration.tenants[name]
            for key in set(spec.get("accessKeys") or ()):
                del self.configuration.tenants_by_key[key]
        elif kind == "limits":
            self.configuration.limits = Limits()
            self.configuration.limits_entries -= 1

    def add(self, kind: str, name: str, spec: Entry) -> None:
        word = self.configuration
        if kind == "routeTable":
            route = parse_route(name, spec)
            routes = self.routes(route.host)
            if name in self.route_names or any(other.path_prefix == route.path_prefix for other in routes):
                raise NotIncrementalError(f"route {name}: its name or place is taken")
            self.route_names.add(name)
            routes.append(route)
        elif kind == "serviceTable":
            if name in word.services:
                raise NotIncrementalError(f"service {name} stands twice")
            word.services[name] = parse_service(name, spec)
        elif kind == "tenantTable":
            if name in word.tenants:
                raise NotIncrementalError(f"tenant {name} stands twice")
            tenant = word.tenants[name] = parse_tenant(name, spec)
            for key in spec.get("accessKeys") or ():
                if word.tenants_by_key.setdefault(key, tenant) is not tenant:
                    raise NotIncrementalError(f"tenant {name}: a key that another holds")
        elif kind == "limits":
            word.limits = parse_limits(spec)
            word.limits_entries += 1
