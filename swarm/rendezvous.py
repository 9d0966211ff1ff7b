"""Rendezvous hashing: everyone who knows the same names gives each thing the same owner."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(thing: str, name: str) -> bytes:
    return hashlib.blake2b(f"{thing}\0{name}".encode(), digest_size=8).digest()


def owners(thing: str, names: Iterable[str], count: int = 1) -> list[str]:
    """The first `count` names for a thing, the best first."""
    return sorted(names, key=lambda name: weight(thing, name), reverse=True)[:count]


def shard(thing: str, shards: int) -> int:
    """The number, below `shards`, of what a thing belongs to."""
    return int.from_bytes(weight(thing, ""), "big") % max(1, shards)
