"""The platform's list of servers, as its pages say it."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from hazelspring.registry.tables import ServerEntry


def parse_instance_list(pages: Iterable[bytes], now: float) -> dict[str, dict[str, ServerEntry]]:
    """The platform's pages as servers by service and id.  Raises ValueError where a page is none."""
    found: dict[str, dict[str, ServerEntry]] = {}
    for page in pages:
        try:
            listed: dict[str, dict[str, Any]] = json.loads(page)["instanceList"]
            for name, entry in listed.items():
                found.setdefault(entry["service"], {})[name] = _parse_entry(name, entry, now)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"a page of the list lacks {error}") from None
    return found


def _parse_entry(name: str, entry: dict[str, Any], now: float) -> ServerEntry:
    cold_ms = entry.get("coldRemainingMs")
    return ServerEntry(
        name,
        entry["address"],
        entry["zone"],
        entry["serverState"] == "accepting",
        int(entry.get("capacitySlots") or 1),
        str(entry.get("versionNumber", "")),
        now + cold_ms / 1000 if cold_ms else 0.0,
    )
