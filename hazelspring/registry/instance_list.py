"""The platform's list of servers, as its pages say it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hazelspring.registry.tables import ServerEntry

MAX_PORT = 65_535


@dataclass(slots=True, frozen=True)
class InstanceList:
    """Servers by service and id, and the ids of entries that could not be read."""

    servers: dict[str, dict[str, ServerEntry]]
    malformed: tuple[str, ...] = ()


def parse_instance_list(pages: Iterable[bytes], now: float) -> InstanceList:
    """The platform's pages; `now` in this node's steady seconds.

    A malformed entry is passed over, as if its server were not listed: it must not keep the other servers from being
    known.  Raises ValueError where a page is none, or where not one entry could be read, as the platform then speaks
    another language and what is known should stay.
    """
    servers: dict[str, dict[str, ServerEntry]] = {}
    malformed: list[str] = []
    for page in pages:
        for name, entry in _entries(page).items():
            try:
                service, parsed = _text(entry, "service"), _parse_entry(name, entry, now)
            except (KeyError, TypeError, ValueError, ArithmeticError):
                malformed.append(name)
            else:
                servers.setdefault(service, {})[name] = parsed
    if malformed and not servers:
        raise ValueError(f"no entry of the list could be read, one of them {malformed[0]}")
    return InstanceList(servers, tuple(malformed))


def _entries(page: bytes) -> dict[str, Any]:
    """The entries of a page by id.  Raises ValueError."""
    try:
        entries = json.loads(page)["instanceList"]
    except (KeyError, TypeError) as error:
        raise ValueError(f"a page of the list lacks {error}") from None
    if not isinstance(entries, dict):
        raise ValueError("a page of the list holds no table of servers")
    return entries


def _parse_entry(name: str, entry: dict[str, Any], now: float) -> ServerEntry:
    """One entry.  Raises KeyError, TypeError, ValueError or ArithmeticError."""
    cold_ms = entry.get("coldRemainingMs")
    return ServerEntry(
        name,
        _address(entry),
        _text(entry, "zone"),
        _text(entry, "serverState") == "accepting",
        int(entry.get("capacitySlots") or 1),
        str(entry.get("versionNumber", "")),
        now + cold_ms / 1000 if cold_ms else 0.0,
    )


def _text(entry: dict[str, Any], field: str) -> str:
    value = entry[field]
    if not isinstance(value, str):
        raise TypeError(field)
    return value


def _address(entry: dict[str, Any]) -> str:
    """`HOST:PORT`, as connections to the server are opened with."""
    address = _text(entry, "address")
    host, _, port = address.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError("address")
    return address
