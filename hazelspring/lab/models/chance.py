"""Random numbers: one independent stream for each named part of a seed."""

from __future__ import annotations

import zlib

import numpy as np


def stream(seed: int, part: str) -> np.random.Generator:
    """The stream of that part.  Parts do not share numbers: what one draws more changes no other."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence((seed, zlib.crc32(part.encode())))))


def within(random: np.random.Generator, span: tuple[float, float]) -> float:
    """A number between the two of a span."""
    return float(random.uniform(*span))
