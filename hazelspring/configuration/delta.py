"""The delta between two packed configurations: runs of bytes of the old body, and new bytes between them.

A delta is a zlib stream of these parts, in this order:

===========  =======================  ==========================================================================
part         format                   content
===========  =======================  ==========================================================================
header       ``<QI``                  size of the new body unpacked, number of runs
runs         ``<QII`` for each        offset in the old body, length, and number of new bytes that follow
new bytes    one after the other      the new bytes of each run, in the order of the runs
===========  =======================  ==========================================================================

Offsets and lengths are in bytes of the unpacked bodies.  The new body is built run by run: first the bytes
copied from the old body, then the new bytes.  A run of length 0 has new bytes only.

A delta reproduces the new body exactly, whatever the bodies contain.  It is small if resources begin with
`hazelspring.configuration.blocks.BLOCK_BOUNDARY`; otherwise it may be as large as the body.  Blocks that
both bodies contain are neither unpacked to make a delta nor packed again to apply it.
"""

from __future__ import annotations

import struct
import zlib
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from itertools import accumulate
from typing import NamedTuple

from hazelspring.configuration.blocks import (
    BLOCK_BOUNDARY,
    COMPRESSION_LEVEL,
    MAX_BODY_BYTES,
    MIN_BLOCK_BYTES,
    Block,
    PackedError,
    join_blocks,
    read_blocks,
    split_blocks,
)
from hazelspring.errors import HazelspringError

MAX_RUNS = 4096  # of one delta: applying it takes less than a second even if each run unpacks a block
MAX_NEW_BYTES = 16 << 20  # size of one delta, unpacked
MAX_GROWTH = 2  # runs may copy this many times the old body: a small delta must not make a large body
MAX_CHAINED_DELTAS = 256  # deltas that may be applied in one call
DELTA_HEADER = struct.Struct("<QI")  # size of the new body, number of runs
RUN_HEADER = struct.Struct("<QII")  # offset, length, number of new bytes


class DeltaError(HazelspringError, ValueError):
    """A delta cannot be made, or does not produce the expected body from the given one."""

    code = "delta"


class Run(NamedTuple):
    """A run of bytes to copy from the old body, and the new bytes after them.

    Attributes
    ----------
    offset
        The position of the copied bytes in the old body.
    length
        The number of copied bytes.
    new_bytes
        The bytes that follow the copied ones in the new body.
    """

    offset: int
    length: int
    new_bytes: bytes


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta that turns one packed body into another.

    Raises
    ------
    DeltaError
        The delta would be too large, or one of the bodies is damaged.
    """
    try:
        old_blocks, new_blocks = read_blocks(old), read_blocks(new)
        runs = _merge_runs(_compare_blocks(old_blocks, new_blocks))
    except PackedError as error:
        raise DeltaError(str(error)) from None
    if sum(run.length for run in runs) > MAX_GROWTH * _total_size(old_blocks):
        raise DeltaError("the runs copy too many bytes of the old body")
    header = DELTA_HEADER.pack(_total_size(new_blocks), len(runs))
    rows = [RUN_HEADER.pack(run.offset, run.length, len(run.new_bytes)) for run in runs]
    body = b"".join([header, *rows, *(run.new_bytes for run in runs)])
    if len(body) > MAX_NEW_BYTES:
        raise DeltaError("too many new bytes")
    return zlib.compress(body, COMPRESSION_LEVEL)


def _total_size(blocks: Iterable[Block]) -> int:
    return sum(block.size for block in blocks)


def _block_starts(blocks: Iterable[Block]) -> list[int]:
    """Return the offset of each block in its body, followed by the size of the body."""
    return [0, *accumulate(block.size for block in blocks)]


def _compare_blocks(old_blocks: list[Block], new_blocks: list[Block]) -> Iterator[Run]:
    """Yield short runs in the order of the new body; each either copies bytes or has new ones only."""
    starts = _block_starts(old_blocks)
    index_by_packed = {
        block.packed: index for index, block in enumerate(old_blocks) if block.packed is not None
    }
    next_index = 0  # of the old block after the last unchanged one
    changed: list[Block] = []
    for block in new_blocks:
        index = index_by_packed.get(block.packed) if block.packed is not None else None
        if index is None:
            changed.append(block)
            continue
        yield from _compare_resources(old_blocks[next_index:index], starts[next_index], changed)
        yield Run(starts[index], block.size, b"")
        next_index = index + 1
        changed = []
    yield from _compare_resources(old_blocks[next_index:], starts[next_index], changed)


def _compare_resources(old_blocks: list[Block], start: int, new_blocks: list[Block]) -> Iterator[Run]:
    """Yield a short run for each resource of changed blocks; `start` is the offset of `old_blocks`."""
    if not new_blocks:
        return
    offset_by_text: dict[bytes, int] = {}
    for resource in _split_resources(b"".join(block.unpacked() for block in old_blocks)):
        offset_by_text.setdefault(resource, start)
        start += len(resource)
    for resource in _split_resources(b"".join(block.unpacked() for block in new_blocks)):
        offset = offset_by_text.get(resource)
        if offset is None:
            yield Run(0, 0, resource)
        else:
            yield Run(offset, len(resource), b"")


def _split_resources(text: bytes) -> Iterator[bytes]:
    """Yield the parts of a text, split at the start of each resource."""
    start = 0
    while start < len(text):
        boundary = text.find(BLOCK_BOUNDARY, start + 1)
        end = boundary if boundary > 0 else len(text)
        yield text[start:end]
        start = end


class _RunBuilder:
    """A run that is still being extended."""

    __slots__ = ("length", "new_parts", "offset")

    def __init__(self, offset: int, length: int) -> None:
        self.offset, self.length = offset, length
        self.new_parts: list[bytes] = []


def _merge_runs(short_runs: Iterable[Run]) -> list[Run]:
    """Join short runs into the longest possible ones, each with the new bytes that follow it."""
    merged: list[_RunBuilder] = []
    for offset, length, new_bytes in short_runs:
        last = merged[-1] if merged else None
        if new_bytes:
            if last is None:
                last = _RunBuilder(0, 0)
                merged.append(last)
            last.new_parts.append(new_bytes)
        elif last is not None and not last.new_parts and last.offset + last.length == offset:
            last.length += length
        else:
            merged.append(_RunBuilder(offset, length))
        if len(merged) > MAX_RUNS:
            raise DeltaError("too many runs")
    return [Run(run.offset, run.length, b"".join(run.new_parts)) for run in merged]


def apply_deltas(packed: bytes, deltas: Sequence[bytes], digest: bytes) -> bytes:
    """Return the packed body that results from applying deltas to another one.

    Parameters
    ----------
    packed
        The packed body that the first delta was made from.
    deltas
        The deltas in the order in which they are applied.
    digest
        The expected `hazelspring.configuration.model.configuration_digest` of the resulting body.

    Raises
    ------
    DeltaError
        A delta is damaged or too large, there are too many, or they produce another body.
    """
    if len(deltas) > MAX_CHAINED_DELTAS:
        raise DeltaError("too many deltas")
    try:
        blocks = read_blocks(packed)
        max_copied = MAX_GROWTH * _total_size(blocks)
        runs_left = 2 * MAX_RUNS
        for delta in deltas:
            runs = _read_delta(delta)
            runs_left -= len(runs)
            if runs_left < 0 or sum(run.length for run in runs) > max_copied:
                raise DeltaError("too many runs, or the runs copy too many bytes")
            blocks = _BlockPatcher(blocks).apply(runs)
        return join_blocks(blocks, digest)
    except PackedError as error:
        raise DeltaError(str(error)) from None


def _read_delta(delta: bytes) -> list[Run]:
    """Return the runs of a delta; raise DeltaError if it is damaged or too large."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(delta, MAX_NEW_BYTES)
    except (zlib.error, TypeError) as error:
        raise DeltaError(f"cannot unpack the delta: {error}") from None
    if not decompressor.eof or len(body) < DELTA_HEADER.size:
        raise DeltaError("the delta is truncated or too large")
    size, run_count = DELTA_HEADER.unpack_from(body)
    position = DELTA_HEADER.size + run_count * RUN_HEADER.size  # of the new bytes
    if size > MAX_BODY_BYTES or run_count > MAX_RUNS or position > len(body):
        raise DeltaError("the new body is too large, or the number of runs does not fit the delta")
    runs = []
    for offset, length, new_length in RUN_HEADER.iter_unpack(body[DELTA_HEADER.size : position]):
        runs.append(Run(offset, length, body[position : position + new_length]))
        position += new_length
    if position != len(body) or sum(run.length + len(run.new_bytes) for run in runs) != size:
        raise DeltaError("the sizes of the runs do not match the delta")
    return runs


class _BlockPatcher:
    """Applies one delta to the blocks of a body, and reuses blocks that a run covers completely."""

    def __init__(self, blocks: list[Block]) -> None:
        self.old_blocks = blocks
        self.starts = _block_starts(blocks)
        self.new_blocks: list[Block] = []
        self.pending = bytearray()  # last bytes of the new body, not yet in a block
        self.unpacked_index = -1  # of the last unpacked block, cached as consecutive runs often share one
        self.unpacked_text = b""

    def apply(self, runs: Iterable[Run]) -> list[Block]:
        """Return the blocks of the new body; raise DeltaError, or PackedError if an old block is damaged."""
        for run in runs:
            if run.offset + run.length > self.starts[-1]:
                raise DeltaError("a run extends beyond the old body")
            self._copy(run.offset, run.offset + run.length)
            self.pending += run.new_bytes
        self._flush_pending()
        return self.new_blocks

    def _copy(self, position: int, end: int) -> None:
        """Append the bytes of the old body from `position` up to, but not including, `end`."""
        while position < end:
            index = bisect_right(self.starts, position) - 1
            block_start, block_end = self.starts[index], self.starts[index + 1]
            copy_end = min(end, block_end)
            if position == block_start and copy_end == block_end and self._may_end_block():
                self._flush_pending()
                self.new_blocks.append(self.old_blocks[index])
            else:
                text = self._unpack_old(index)
                self.pending += text[position - block_start : copy_end - block_start]
            position = copy_end

    def _may_end_block(self) -> bool:
        """Return whether the pending bytes may form blocks of their own before a reused block.

        They may if there are none, if they suffice for a block of the minimum size, or if they are the start
        of the document up to the first resource.
        """
        is_head = not self.new_blocks and BLOCK_BOUNDARY not in self.pending
        return not self.pending or len(self.pending) >= MIN_BLOCK_BYTES or is_head

    def _unpack_old(self, index: int) -> bytes:
        if self.unpacked_index != index:
            self.unpacked_text = self.old_blocks[index].unpacked()
            self.unpacked_index = index
        return self.unpacked_text

    def _flush_pending(self) -> None:
        """Split the pending bytes into blocks; a last one that is too small is joined to the one before."""
        texts = list(split_blocks(bytes(self.pending), separate_head=not self.new_blocks))
        if len(texts) > 2 and len(texts[-1]) < MIN_BLOCK_BYTES // 2:
            texts[-2:] = [texts[-2] + texts[-1]]
        self.new_blocks.extend(Block(len(text), text=text) for text in texts)
        self.pending.clear()
