"""The platform's list of servers, parsed from its pages."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hazelspring.registry.errors import MalformedEntryError, MalformedListError
from hazelspring.registry.tables import ServerEntry

MAX_PORT = 65_535
MILLISECONDS_PER_SECOND = 1000
# what reading an entry of any shape may raise
ENTRY_ERRORS = (KeyError, TypeError, ValueError, ArithmeticError)


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The servers by service and id, and the ids of entries that could not be read."""

    servers: dict[str, dict[str, ServerEntry]]
    malformed: tuple[str, ...] = ()


def parse_instance_list(pages: Iterable[bytes], now: float) -> InstanceList:
    """Return the servers that the platform's pages list; `now` in this node's steady seconds.

    A malformed entry is passed over, as if its server were not listed: it must not keep the other servers from being
    known.  Raises MalformedListError where a page could not be read, or not one entry: the platform then speaks
    another language, and what is known should stay.
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
        raise MalformedListError(f"no entry of the list could be read, one of them {malformed[0]}")
    return InstanceList(servers, tuple(malformed))


def _entries(page: bytes) -> dict[str, Any]:
    """Return the entries of a page by id; raise MalformedListError where it has none."""
    try:
        entries = json.loads(page)["instanceList"]
    except (KeyError, TypeError) as error:
        raise MalformedListError(f"a page of the list lacks {error}") from None
    except ValueError as error:  # not JSON, or not text
        raise MalformedListError(str(error)) from error
    if not isinstance(entries, dict):
        raise MalformedListError("a page of the list holds no table of servers")
    return entries


def _parse_entry(name: str, entry: dict[str, Any], now: float) -> ServerEntry:
    """Return one entry; raise one of ENTRY_ERRORS where it is malformed."""
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
    """Return a field that must be a string."""
    value = entry[field]
    if not isinstance(value, str):
        raise MalformedEntryError(field)
    return value


def _address(entry: dict[str, Any]) -> str:
    """Return `HOST:PORT`, to which connections to the server are opened."""
    address = _text(entry, "address")
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise MalformedEntryError("address")
    return address
