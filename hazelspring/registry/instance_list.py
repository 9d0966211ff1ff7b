"""Parses the pages of the platform's list of servers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hazelspring.registry.errors import MalformedEntryError, MalformedListError
from hazelspring.registry.tables import ServerEntry

MAX_PORT = 65_535
MILLISECONDS_PER_SECOND = 1000
# the exceptions that parsing a malformed entry may raise
ENTRY_ERRORS = (KeyError, TypeError, ValueError, ArithmeticError)


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The servers by service and id, and the ids of malformed entries."""

    servers: dict[str, dict[str, ServerEntry]]
    malformed: tuple[str, ...] = ()


def parse_instance_list(pages: Iterable[bytes], now: float) -> InstanceList:
    """Return the servers listed in the platform's pages; `now` is in seconds on this node's steady clock.

    A malformed entry is skipped, as if its server were not listed, so that the other servers still become
    known.  Raises MalformedListError if a page cannot be parsed, or if entries are present and all of them
    are malformed: the platform then uses another format, and the caller should keep the servers that it
    knows.
    """
    servers: dict[str, dict[str, ServerEntry]] = {}
    malformed: list[str] = []
    for page in pages:
        for name, entry in _entries(page).items():
            try:
                service = _text(entry, "service")
                parsed = _parse_entry(name, entry, now)
            except ENTRY_ERRORS:
                malformed.append(name)
            else:
                servers.setdefault(service, {})[name] = parsed
    if malformed and not servers:
        raise MalformedListError(
            f"all entries of the instance list are malformed, for example {malformed[0]}"
        )
    return InstanceList(servers, tuple(malformed))


def _entries(page: bytes) -> dict[str, Any]:
    """Return the entries of a page by id; raise MalformedListError if the page cannot be parsed."""
    try:
        entries = json.loads(page)["instanceList"]
    except (KeyError, TypeError) as error:
        raise MalformedListError(f"a page of the instance list lacks {error}") from None
    except ValueError as error:  # not JSON, or not text
        raise MalformedListError(str(error)) from error
    if not isinstance(entries, dict):
        raise MalformedListError("instanceList in a page of the instance list is not an object")
    return entries


def _parse_entry(name: str, entry: dict[str, Any], now: float) -> ServerEntry:
    """Return the parsed entry; raise one of ENTRY_ERRORS if it is malformed."""
    cold_ms = entry.get("coldRemainingMs")
    return ServerEntry(
        name,
        _address(entry),
        _text(entry, "zone"),
        _text(entry, "serverState") == "accepting",
        int(entry.get("capacitySlots") or 1),
        str(entry.get("versionNumber", "")),
        now + cold_ms / MILLISECONDS_PER_SECOND if cold_ms else 0.0,
    )


def _text(entry: dict[str, Any], field: str) -> str:
    """Return the value of a field; raise MalformedEntryError if it is not a string."""
    value = entry[field]
    if not isinstance(value, str):
        raise MalformedEntryError(field)
    return value


def _address(entry: dict[str, Any]) -> str:
    """Return the server's address as `HOST:PORT`; raise MalformedEntryError if it has another form."""
    address = _text(entry, "address")
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise MalformedEntryError("address")
    return address
