"""Random numbers: one independent stream for each named part of a seed."""

from __future__ import annotations

import zlib

import numpy as np


def stream(seed: int, part: str) -> np.random.Generator:
    """Return the generator of that part; its numbers do not depend on draws from other parts."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence((seed, zlib.crc32(part.encode())))))


def uniform(random: np.random.Generator, span: tuple[float, float]) -> float:
    """Draw a uniformly distributed number from the span."""
    return float(random.uniform(*span))
