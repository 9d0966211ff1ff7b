"""A configuration read by its blocks, and by what differs from the one that is held: what stays keeps its objects."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from hazelspring.configuration.blocks import Block, PackedError, blocks_of, unpack
from hazelspring.configuration.model import (
    Limits,
    Route,
    Word,
    limits_of,
    number_of,
    order,
    read,
    route_of,
    service_of,
    tables,
    tenant_of,
)

Entry = dict[str, Any]
HERE, HERE_IS = (
    object(),
    b"-Infinity",
)  # in place of the blocks that are left out: no other text is read as it
WRONG = (LookupError, TypeError, ValueError, AttributeError, RecursionError)  # of entries that nobody checked


class Irregular(ValueError):
    """A text that is not entries block by block, or a change that cannot be read alone: it is read whole."""

    code = "irregular"


class Held(NamedTuple):
    """A configuration in use: its tables, and the packed bytes that they were read from; `apart`: each block but
    the first and the last was seen to be whole entries."""

    word: Word
    packed: bytes
    apart: bool


class Checked(NamedTuple):
    """A configuration that may be taken: its number, and its bytes packed."""

    number: int
    packed: bytes


class Change(NamedTuple):
    """What differs between two configurations: `document` is the new one with no entries but those of blocks that
    changed, `was` are the entries of the old one's."""

    document: Entry
    entries: list[Entry]
    was: list[Entry]


# --- entries of blocks ------------------------------------------------------------------------------------


def entries_of(block: Block) -> list[Entry]:
    """The entries of a block that is no first or last one; raises Irregular where it is not whole entries."""
    try:
        # nested as deep as in its body, so that it is refused where that is
        found = json.loads(b'{"":[' + block.unpacked() + b"null]}")[""]
    except WRONG as error:
        raise Irregular(str(error)) from None
    if not found or found.pop() is not None:
        raise Irregular("a block that does not end with an entry")
    return list(found)


def constant(text: str) -> object:
    return HERE if text.encode() == HERE_IS else float(text)


def frame_of(blocks: list[Block]) -> tuple[Entry, list[Entry]]:
    """The document without its entries, and those of its last block.  What the other blocks hold belongs between:
    a mark that is put there is found as the first entry.  Raises Irregular."""
    if len(blocks) < 2:
        raise Irregular("one block")
    head, last = blocks[0].unpacked(), blocks[-1].unpacked()
    if head[:1] != b"{" or head[1:2] == b"\0" or HERE_IS in head or HERE_IS in last:
        raise Irregular("no head as it is usual")  # of another encoding, too
    try:
        document = json.loads(head + HERE_IS + b"," + last, parse_constant=constant)
        first, *entries = document["resourceList"]
    except WRONG as error:
        raise Irregular(str(error)) from None
    if first is not HERE:
        raise Irregular("entries before the first mark")
    return {**document, "resourceList": []}, entries


def change_of(held: Held, packed: bytes) -> Change:
    """What differs between the configuration that is held and one that was packed; raises Irregular, PackedError."""
    if not held.apart:
        raise Irregular("what is held was read whole")
    old, new = blocks_of(held.packed), blocks_of(packed)
    document, last = frame_of(new)
    _, was_last = frame_of(old)
    left = {block.packed: block for block in old[1:-1]}
    entries: list[Entry] = []
    for block in new[1:-1]:
        if left.pop(block.packed, None) is None:
            entries += entries_of(block)
    was = [entry for block in left.values() for entry in entries_of(block)]
    return Change(document, entries + last, was + was_last)


# --- reading ------------------------------------------------------------------------------------------------


def take(packed: bytes, held: Held | None = None) -> Held:
    """Read a packed configuration that `hazelspring.configuration.validation`
    has let pass: by what differs from the one that is held where
    that can be, else block by block, else whole."""
    if held is not None:
        try:
            return Held(changed(held.word, change_of(held, packed)), packed, True)
        except (Irregular, PackedError):
            pass
    try:
        blocks = blocks_of(packed)
        document, last = frame_of(blocks)

        def entries() -> Iterator[Entry]:
            for block in blocks[1:-1]:
                yield from entries_of(block)
            yield from last

        return Held(tables(number_of(document["versionNumber"]), entries()), packed, True)
    except Irregular:
        return Held(read(unpack(packed)), packed, False)


def changed(word: Word, change: Change) -> Word:
    """The tables after a change, which share all entries that stay; those before it are as they were.  Raises
    Irregular where two entries would be one, or entries are not as a check leaves them."""
    try:
        return Rewriting(word, change).word
    except WRONG as error:
        raise Irregular(str(error)) from None


def by_name(entries: list[Entry]) -> dict[tuple[str, str], Entry]:
    found = {(entry["resourceKind"], entry["metadata"].get("name", "")): entry for entry in entries}
    if len(found) != len(entries):
        raise Irregular("an entry that stands twice")
    return found


class Rewriting:
    """One change of tables: they are copied where an entry of them changes, and entries go before others come."""

    def __init__(self, word: Word, change: Change) -> None:
        was, now = by_name(change.was), by_name(change.entries)
        gone = [(name, entry) for name, entry in was.items() if now.get(name) != entry]
        new = [(name, entry) for name, entry in now.items() if was.get(name) != entry]
        self.word = replace(word, number=number_of(change.document["versionNumber"]))
        self.own: set[str] = set()  # hosts whose routes are a list of this word's own
        kinds = {kind for (kind, _), _ in [*gone, *new]}
        if "routeTable" in kinds:
            self.word.routes = dict(word.routes)
            there = {route.name for routes in word.routes.values() for route in routes}
            self.names = there - {name for (kind, name), _ in gone if kind == "routeTable"}
        if "serviceTable" in kinds:
            self.word.services = dict(word.services)
        if "tenantTable" in kinds:
            self.word.tenants, self.word.keys = dict(word.tenants), dict(word.keys)
        for (kind, name), entry in gone:
            self.remove(kind, name, entry["specification"])
        for (kind, name), entry in new:
            self.add(kind, name, entry["specification"])
        for host in self.own:
            if routes := self.word.routes[host]:
                routes.sort(key=order)
            else:
                del self.word.routes[host]
        if word.bounds > 1 or self.word.bounds > 1:
            raise Irregular("limits that stand twice: the later one counts")

    def routes(self, host: str) -> list[Route]:
        if host not in self.own:
            self.own.add(host)
            self.word.routes[host] = list(self.word.routes.get(host, ()))
        return self.word.routes[host]

    def remove(self, kind: str, name: str, spec: Entry) -> None:
        if kind == "routeTable":
            routes = self.routes(spec["hostName"].lower())
            at = [route.name for route in routes].index(name)
            del routes[at]
        elif kind == "serviceTable":
            del self.word.services[name]
        elif kind == "tenantTable":
            del self.word.tenants[name]
            for key in set(spec.get("accessKeys") or ()):
                del self.word.keys[key]
        elif kind == "limits":
            self.word.limits = Limits()
            self.word.bounds -= 1

    def add(self, kind: str, name: str, spec: Entry) -> None:
        word = self.word
        if kind == "routeTable":
            route = route_of(name, spec)
            routes = self.routes(route.host)
            if name in self.names or any(other.prefix == route.prefix for other in routes):
                raise Irregular(f"route {name}: its name or place is taken")
            self.names.add(name)
            routes.append(route)
        elif kind == "serviceTable":
            if name in word.services:
                raise Irregular(f"service {name} stands twice")
            word.services[name] = service_of(name, spec)
        elif kind == "tenantTable":
            if name in word.tenants:
                raise Irregular(f"tenant {name} stands twice")
            tenant = word.tenants[name] = tenant_of(name, spec)
            for key in spec.get("accessKeys") or ():
                if word.keys.setdefault(key, tenant) is not tenant:
                    raise Irregular(f"tenant {name}: a key that another holds")
        elif kind == "limits":
            word.limits = limits_of(spec)
            word.bounds += 1
