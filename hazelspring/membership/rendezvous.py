"""Rendezvous hashing: all nodes that know the same names assign each item to the same owner."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def weight(item: str, name: str) -> bytes:
    """Return the weight of a name for an item, the same on every node; the greatest weight wins."""
    return hashlib.blake2b(f"{item}\0{name}".encode(), digest_size=WEIGHT_BYTES).digest()


def owner(item: str, names: Iterable[str]) -> str | None:
    """Return the name that owns an item, or None if there are no names."""
    return max(names, key=lambda name: weight(item, name), default=None)


def shard(item: str, shards: int) -> int:
    """Return the number of the shard, from 0 to `shards` - 1, to which an item belongs."""
    return int.from_bytes(weight(item, ""), "big") % max(1, shards)
