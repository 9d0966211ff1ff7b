"""The difference between two packed configurations, as bytes: runs of the old body's bytes, and new ones between.

Exact whatever the bodies are; small where resources begin as
`hazelspring.configuration.blocks.MARK` says, else as large as the body.
"""

from __future__ import annotations

import struct
import zlib
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate

from hazelspring.configuration.blocks import (
    BLOCK_BOUNDARY,
    MAX_BODY_BYTES,
    MIN_BLOCK_BYTES,
    Block,
    PackedError,
    read_blocks,
    seal_blocks,
    split_blocks,
)

MAX_RUNS = (
    4096  # of one difference: what has more goes whole, and what unpacks a block for each ends in a second
)
MAX_NEW_BYTES = 16 << 20  # bytes of one difference, unpacked
MAX_GROWTH = (
    2  # times the old body that runs of it may come to, so that a small difference makes no large body
)
MAX_CHAINED_DELTAS = 256  # differences one after another
HEAD, RUN = (
    struct.Struct("<QI"),
    struct.Struct("<QII"),
)  # size of the new body, runs; offset, bytes, new bytes

Run = tuple[int, int, bytes]  # offset and length in the old body, and new bytes after it


class DeltaError(ValueError):
    """A difference that cannot be made, or leads from these bytes to no such body."""

    code = "delta"


def make_delta(old: bytes, new: bytes) -> bytes:
    """What makes one packed body of another; raises DeltaError where it would be too large, or one is not packed."""
    try:
        before, after = read_blocks(old), read_blocks(new)
        runs = joined(told(before, after))
    except PackedError as error:
        raise DeltaError(str(error)) from None
    if sum(run[1] for run in runs) > MAX_GROWTH * sum(block.size for block in before):
        raise DeltaError("too much is told twice")
    rows = [RUN.pack(offset, length, len(fresh)) for offset, length, fresh in runs]
    body = b"".join(
        [HEAD.pack(sum(b.size for b in after), len(runs)), *rows, *(fresh for _, _, fresh in runs)]
    )
    if len(body) > MAX_NEW_BYTES:
        raise DeltaError("too much is new")
    return zlib.compress(body, 6)


def told(before: list[Block], after: list[Block]) -> Iterator[Run]:
    """Runs of the old body by offset and length, and new bytes, in the order of the new one."""
    starts = [0, *accumulate(block.size for block in before)]
    at = {block.packed: n for n, block in enumerate(before) if block.packed is not None}
    upto, fresh = 0, list[Block]()
    for block in after:
        n = at.get(block.packed) if block.packed is not None else None
        if n is None:
            fresh.append(block)
            continue
        yield from among(before[upto:n], starts[upto], fresh)
        yield starts[n], block.size, b""
        upto, fresh = n + 1, []
    yield from among(before[upto:], starts[upto], fresh)


def among(before: list[Block], start: int, after: list[Block]) -> Iterator[Run]:
    """The same by resources, for blocks that changed."""
    if not after:
        return
    known: dict[bytes, int] = {}
    for piece in pieces(b"".join(block.unpacked() for block in before)):
        known.setdefault(piece, start)
        start += len(piece)
    for piece in pieces(b"".join(block.unpacked() for block in after)):
        at = known.get(piece)
        yield (0, 0, piece) if at is None else (at, len(piece), b"")


def pieces(text: bytes) -> Iterator[bytes]:
    """A text in pieces that begin at marks."""
    start = 0
    while start < len(text):
        at = text.find(BLOCK_BOUNDARY, start + 1)
        yield text[start : at if at > 0 else len(text)]
        start = at if at > 0 else len(text)


def joined(told: Iterator[Run]) -> list[Run]:
    """Runs as long as can be, each with the new bytes that follow it."""
    runs: list[tuple[int, int, list[bytes]]] = []
    for offset, length, piece in told:
        if piece:
            if not runs:
                runs.append((0, 0, []))
            runs[-1][2].append(piece)
        elif runs and not runs[-1][2] and runs[-1][0] + runs[-1][1] == offset:
            runs[-1] = (runs[-1][0], runs[-1][1] + length, [])
        else:
            runs.append((offset, length, []))
        if len(runs) > MAX_RUNS:
            raise DeltaError("too many runs")
    return [(offset, length, b"".join(fresh)) for offset, length, fresh in runs]


def apply_deltas(packed: bytes, deltas: Sequence[bytes], digest: bytes) -> bytes:
    """The packed body of that digest to which differences lead, one after another; raises DeltaError."""
    if len(deltas) > MAX_CHAINED_DELTAS:
        raise DeltaError("too many differences")
    try:
        blocks = read_blocks(packed)
        most, left = MAX_GROWTH * sum(block.size for block in blocks), 2 * MAX_RUNS
        for delta in deltas:
            runs = read(delta)
            left -= len(runs)
            if left < 0 or sum(run[1] for run in runs) > most:
                raise DeltaError("too large")
            blocks = patched(blocks, runs)
        return seal_blocks(blocks, digest)
    except PackedError as error:
        raise DeltaError(str(error)) from None


def read(delta: bytes) -> list[Run]:
    """The runs of the new body, in its order; raises DeltaError."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(delta, MAX_NEW_BYTES)
    except (zlib.error, TypeError) as error:
        raise DeltaError(f"not packed: {error}") from None
    if not unpacker.eof or len(body) < HEAD.size:
        raise DeltaError("it has no end")
    size, count = HEAD.unpack_from(body)
    at = HEAD.size + count * RUN.size
    if size > MAX_BODY_BYTES or count > MAX_RUNS or at > len(body):
        raise DeltaError("too large")
    runs = []
    for offset, length, fresh in RUN.iter_unpack(body[HEAD.size : at]):
        runs.append((offset, length, body[at : at + fresh]))
        at += fresh
    if at != len(body) or sum(length + len(fresh) for _, length, fresh in runs) != size:
        raise DeltaError("of another size")
    return runs


def patched(blocks: list[Block], runs: list[Run]) -> list[Block]:
    """Blocks after one difference: those that a run covers are the same ones."""
    starts = [0, *accumulate(block.size for block in blocks)]
    made: list[Block] = []
    loose = bytearray()
    held: tuple[int, bytes] = (-1, b"")  # the block that was unpacked last

    def settle() -> None:
        texts = list(split_blocks(bytes(loose), separate_head=not made))
        if len(texts) > 2 and len(texts[-1]) < MIN_BLOCK_BYTES // 2:
            texts[-2:] = [texts[-2] + texts[-1]]
        made.extend(Block(len(text), text=text) for text in texts)
        loose.clear()

    for offset, length, fresh in runs:
        at, end = offset, offset + length
        if end > starts[-1]:
            raise DeltaError("a run beyond the old body")
        while at < end:
            n = bisect_right(starts, at) - 1
            upto = min(end, starts[n + 1])
            # what is loose ends before a block that stays, unless it is too little for one: but the head is alone
            enough = not loose or len(loose) >= MIN_BLOCK_BYTES or (not made and BLOCK_BOUNDARY not in loose)
            if at == starts[n] and upto == starts[n + 1] and enough:
                settle()
                made.append(blocks[n])
            else:
                if held[0] != n:
                    held = (n, blocks[n].unpacked())
                loose += held[1][at - starts[n] : upto - starts[n]]
            at = upto
        loose += fresh
    settle()
    return made
