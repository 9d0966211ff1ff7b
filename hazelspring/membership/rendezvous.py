"""Rendezvous hashing: everyone who knows the same names gives each thing the same owner."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(thing: str, name: str) -> bytes:
    return hashlib.blake2b(f"{thing}\0{name}".encode(), digest_size=8).digest()


def owner(thing: str, names: Iterable[str]) -> str | None:
    """The name for a thing; none where there are no names."""
    return max(names, key=lambda name: weight(thing, name), default=None)


def shard(thing: str, shards: int) -> int:
    """The number, below `shards`, of what a thing belongs to."""
    return int.from_bytes(weight(thing, ""), "big") % max(1, shards)
