"""The packed form of a configuration: a zlib stream of blocks, followed by a table of these blocks.

A packed body consists of these parts, in this order:

=================  =============================  ==============================================================
part               format                         content
=================  =============================  ==============================================================
stream header      ``78 9c``                      of zlib
blocks             one after the other            each is raw deflate data ended by a full flush, so that it
                                                  can be unpacked without the blocks before it
last block         ``03 00``                      an empty final deflate block
checksum           ``>I``                         Adler-32 of the unpacked body, as zlib requires
table              ``<II`` for each block         size of the block packed, and its size unpacked
trailer            ``<I4s``                       number of blocks, and the name of the format, ``hzb1``
=================  =============================  ==============================================================

All sizes are in bytes.  Any zlib decompressor can read the stream, because it ignores the bytes after the
checksum.  Earlier versions wrote bodies without the table; these can be read too, and are split into blocks
again.

A block begins at the start of a resource.  Whether a resource begins a block depends only on its own first
bytes (content-defined chunking), so a change to the configuration moves only the boundaries of the blocks
next to it.  All other blocks stay byte for byte the same, need not be packed again, and are not part of a
delta (`hazelspring.configuration.delta`).
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterable, Iterator

from hazelspring.errors import HazelspringError

BLOCK_BOUNDARY = b'{"resourceKind"'  # the start of a resource, as the operators' tools write it
MIN_BLOCK_BYTES = 32 << 10  # smaller ones compress worse; larger ones make a change pack more
MAX_BLOCK_BYTES = 256 << 10  # size at which a block ends if no boundary was found before
BOUNDARY_HASH_BYTES = 96  # bytes of a resource (its kind and name) that decide whether it begins a block
BOUNDARY_MASK = 63  # one resource in 64 begins a block
MAX_BODY_BYTES = 512 << 20  # largest unpacked body that is accepted: six times the largest one planned for
COMPRESSION_LEVEL = 6  # of zlib

STREAM_HEADER = b"\x78\x9c"  # the first bytes of a zlib stream
FINAL_DEFLATE_BLOCK = b"\x03\x00"  # an empty final deflate block
ADLER_BYTES = 4  # size of the checksum at the end of a zlib stream
TABLE_ROW = struct.Struct("<II")  # for one block: its size packed, and its size unpacked
TRAILER = struct.Struct("<I4s")  # the number of rows, and FORMAT_NAME
FORMAT_NAME = b"hzb1"

BODY_DIGEST_BYTES = 8  # as in `hazelspring.configuration.model.configuration_digest`
BLOCK_DIGEST_BYTES = 16


class PackedError(HazelspringError, ValueError):
    """A packed body is damaged, or its sizes differ from those in its table."""

    code = "packed"


class Block:
    """A contiguous part of a body, kept in packed or in unpacked form.

    Parameters
    ----------
    size
        The number of bytes unpacked.
    packed
        The block in its packed form.
    text
        The block's unpacked bytes; required if `packed` is not given.
    """

    __slots__ = ("packed", "size", "text")

    def __init__(self, size: int, packed: bytes | None = None, text: bytes | None = None) -> None:
        self.size, self.packed, self.text = size, packed, text

    def unpacked(self) -> bytes:
        """Return the block's unpacked bytes; raise PackedError if they are damaged or of the wrong size."""
        if self.text is not None:
            return self.text
        assert self.packed is not None
        decompressor = zlib.decompressobj(-zlib.MAX_WBITS)
        try:
            text = decompressor.decompress(self.packed, self.size + 1)
        except zlib.error as error:
            raise PackedError(f"cannot unpack a block: {error}") from None
        if len(text) != self.size:
            raise PackedError(f"the unpacked size of a block is not {self.size} bytes as stated")
        return text

    def pack(self) -> bytes:
        """Return the block packed, and keep only this form from then on."""
        if self.packed is None:
            assert self.text is not None
            compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, -zlib.MAX_WBITS)
            self.packed = compressor.compress(self.text) + compressor.flush(zlib.Z_FULL_FLUSH)
            self.text = None
        return self.packed


def split_blocks(text: bytes, separate_head: bool = True) -> Iterator[bytes]:
    """Split a text into the texts of its blocks.

    Parameters
    ----------
    text
        A body, or a part of one.
    separate_head
        Whether the text before the first resource is put into separate blocks.
    """
    start = 0
    if separate_head:
        first_resource = text.find(BLOCK_BOUNDARY)
        if first_resource > 0:
            yield from split_blocks(text[:first_resource], separate_head=False)
            start = first_resource
    while start < len(text):
        end = _find_block_end(text, start)
        yield text[start:end]
        start = end


def _find_block_end(text: bytes, start: int) -> int:
    """Return the end of the block that begins at `start`.

    This is the next boundary or the end of the text.  A block that would exceed `MAX_BLOCK_BYTES` ends
    at the last start of a resource within this size, or at this size.
    """
    limit = start + MAX_BLOCK_BYTES
    last_resource = 0
    position = text.find(BLOCK_BOUNDARY, start + MIN_BLOCK_BYTES, limit)
    while position >= 0:
        if _is_boundary(text, position):
            return position
        last_resource = position
        position = text.find(BLOCK_BOUNDARY, position + 1, limit)
    if len(text) <= limit:
        return len(text)
    return last_resource or limit


def _is_boundary(text: bytes, position: int) -> bool:
    """Return whether the resource at an offset begins a block; this depends only on its own first bytes."""
    return not zlib.crc32(text[position : position + BOUNDARY_HASH_BYTES]) & BOUNDARY_MASK


def read_blocks(packed: bytes) -> list[Block]:
    """Return the blocks of a packed body; a body without a table of blocks is unpacked and split again.

    Raises
    ------
    PackedError
        The table does not match the body, or states an unpacked size above `MAX_BODY_BYTES`.
    """
    if not packed.endswith(FORMAT_NAME):
        return [Block(len(text), text=text) for text in split_blocks(unpack(packed))]
    row_count, _ = TRAILER.unpack(packed[-TRAILER.size :])
    table_start = len(packed) - TRAILER.size - row_count * TABLE_ROW.size
    if table_start < 0:
        raise PackedError("the block table is larger than the body")
    blocks = []
    position = len(STREAM_HEADER)
    total_size = 0
    for packed_size, size in TABLE_ROW.iter_unpack(packed[table_start : -TRAILER.size]):
        blocks.append(Block(size, packed[position : position + packed_size]))
        position += packed_size
        total_size += size
        if not packed_size or not size or total_size > MAX_BODY_BYTES:
            raise PackedError("a block is empty, or the blocks are too large")
    stream_end = position + len(FINAL_DEFLATE_BLOCK) + ADLER_BYTES
    if stream_end != table_start or not packed.startswith(STREAM_HEADER):
        raise PackedError("the block table does not match the size of the body")
    return blocks


def join_blocks(blocks: Iterable[Block], digest: bytes | None = None) -> bytes:
    """Join blocks into one packed body.

    Parameters
    ----------
    blocks
        The blocks in the order of the body; those that are not packed yet are packed.
    digest
        The expected digest of the unpacked body; None skips the check.

    Raises
    ------
    PackedError
        A block is damaged, or the digest of the body is not the expected one.
    """
    body_hash = hashlib.blake2b(digest_size=BODY_DIGEST_BYTES)
    adler = 1  # the Adler-32 checksum of empty data
    parts = [STREAM_HEADER]
    rows = []
    for block in blocks:
        text = block.unpacked()
        adler = zlib.adler32(text, adler)
        if digest is not None:
            body_hash.update(text)
        packed = block.pack()
        parts.append(packed)
        rows.append(TABLE_ROW.pack(len(packed), block.size))
    if digest is not None and body_hash.digest() != digest:
        raise PackedError("the digest of the body is not the expected one")
    checksum = adler.to_bytes(ADLER_BYTES, "big")
    trailer = TRAILER.pack(len(rows), FORMAT_NAME)
    return b"".join([*parts, FINAL_DEFLATE_BLOCK, checksum, *rows, trailer])


def pack(body: bytes, base: bytes | None = None) -> bytes:
    """Return a body packed.

    Parameters
    ----------
    body
        The document.
    base
        Another packed body, whose packed blocks are reused if their text is the same.  It is ignored if
        it is damaged.
    """
    packed_by_digest = _packed_blocks_by_digest(base) if base else {}
    return join_blocks(
        Block(len(text), packed_by_digest.get(block_digest(text)), text) for text in split_blocks(body)
    )


def _packed_blocks_by_digest(packed: bytes) -> dict[bytes, bytes]:
    """Return the packed blocks of a body by the digests of their texts; empty if the body is damaged."""
    found: dict[bytes, bytes] = {}
    try:
        for block in read_blocks(packed):
            if block.packed is not None:
                found[block_digest(block.unpacked())] = block.packed
    except PackedError:
        return {}
    return found


def block_digest(text: bytes) -> bytes:
    """Return the digest that identifies a block by its unpacked text."""
    return hashlib.blake2b(text, digest_size=BLOCK_DIGEST_BYTES).digest()


def unpack(packed: bytes) -> bytes:
    """Return the unpacked body; raise PackedError if the packed one is damaged, truncated or too large."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise PackedError(f"cannot unpack the body: {error}") from None
    if not decompressor.eof:
        raise PackedError("the body is truncated or too large")
    return body
