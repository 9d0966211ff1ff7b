"""Rendezvous hashing: everyone who knows the same names gives each thing the same owner."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def weight(thing: str, name: str) -> bytes:
    """Return the weight of a name for a thing, the same on every node; the heaviest name is the owner."""
    return hashlib.blake2b(f"{thing}\0{name}".encode(), digest_size=WEIGHT_BYTES).digest()


def owner(thing: str, names: Iterable[str]) -> str | None:
    """Return the name that a thing belongs to; None where there are no names."""
    return max(names, key=lambda name: weight(thing, name), default=None)


def shard(thing: str, shards: int) -> int:
    """Return the number of the shard, below `shards`, that a thing belongs to."""
    return int.from_bytes(weight(thing, ""), "big") % max(1, shards)
