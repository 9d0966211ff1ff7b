"""The packed form of a configuration: a zlib stream of blocks, followed by a table of these blocks.

A packed body is

=================  =============================  ==============================================================
part               format                         content
=================  =============================  ==============================================================
stream header      ``78 9c``                      of zlib
blocks             one after the other            each a raw deflate run that ends with a full flush, so that it
                                                  can be unpacked without the blocks before it
last block         ``03 00``                      an empty final deflate block
checksum           ``>I``                         Adler-32 of the unpacked body, as zlib requires
table              ``<II`` for each block         bytes of the block packed, bytes of it unpacked
trailer            ``<I4s``                       number of blocks, and the name of the form, ``hzb1``
=================  =============================  ==============================================================

All sizes are in bytes.  Any reader of zlib can read the stream, as it ignores what follows the checksum.  A body
without the table, as earlier versions packed it, is read too: it is split into blocks anew.

A block begins at the start of a resource which is chosen by the resource's own first bytes (content-defined chunking),
so a change of the configuration moves only the bounds of the blocks beside it.  All other blocks stay byte for byte
the same, need not be packed again, and are left out of a delta (`hazelspring.configuration.delta`).
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterable, Iterator

from hazelspring.errors import HazelspringError

BLOCK_BOUNDARY = b'{"resourceKind"'  # the start of a resource, as the operators' tools write it
MIN_BLOCK_BYTES = 32 << 10  # smaller blocks compress worse, larger ones make a change pack more than it must
MAX_BLOCK_BYTES = 256 << 10  # bytes of a block where no boundary is chosen before
BOUNDARY_HASH_BYTES = 96  # bytes from the start of a resource that decide on a boundary: its kind and name
BOUNDARY_MASK = 63  # one resource in 64 begins a block
MAX_BODY_BYTES = (
    512 << 20
)  # bytes of an unpacked body that is accepted: six times the largest one planned for
COMPRESSION_LEVEL = 6  # of zlib

STREAM_HEADER = b"\x78\x9c"  # the first bytes of a zlib stream
FINAL_DEFLATE_BLOCK = b"\x03\x00"  # an empty last block of deflate
ADLER_BYTES = 4  # bytes of the checksum that ends a zlib stream
TABLE_ROW = struct.Struct("<II")  # of one block: bytes packed, bytes unpacked
TRAILER = struct.Struct("<I4s")  # the number of rows, and FORMAT_NAME
FORMAT_NAME = b"hzb1"

BODY_DIGEST_BYTES = 8  # bytes, of `hazelspring.configuration.model.configuration_digest`
BLOCK_DIGEST_BYTES = 16


class PackedError(HazelspringError, ValueError):
    """A packed body is damaged or claims sizes that it does not have."""

    code = "packed"


class Block:
    """A run of a body's bytes, of which the packed or the unpacked form is held.

    Parameters
    ----------
    size
        Bytes unpacked.
    packed
        The block as it stands in a packed body.
    text
        The block's bytes unpacked; given where `packed` is not.
    """

    __slots__ = ("packed", "size", "text")

    def __init__(self, size: int, packed: bytes | None = None, text: bytes | None = None) -> None:
        self.size, self.packed, self.text = size, packed, text

    def unpacked(self) -> bytes:
        """Return the block's bytes unpacked; raise PackedError where they are damaged or of another size."""
        if self.text is not None:
            return self.text
        assert self.packed is not None
        decompressor = zlib.decompressobj(-zlib.MAX_WBITS)
        try:
            text = decompressor.decompress(self.packed, self.size + 1)
        except zlib.error as error:
            raise PackedError(f"a block: {error}") from None
        if len(text) != self.size:
            raise PackedError("a block of another size")
        return text

    def pack(self) -> bytes:
        """Return the block packed, and hold only this form from then on."""
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
        Whether what stands before the first resource becomes blocks of its own.
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
    """Return where the block that begins at an offset ends: at a chosen resource, or as large as it may be."""
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
    """Whether the resource at an offset begins a block; only its own first bytes decide."""
    return not zlib.crc32(text[position : position + BOUNDARY_HASH_BYTES]) & BOUNDARY_MASK


def read_blocks(packed: bytes) -> list[Block]:
    """Return the blocks of a packed body; one without a table of blocks is unpacked and split anew.

    Raises
    ------
    PackedError
        The table does not fit the body, or the body claims more than `MAX_BODY_BYTES`.
    """
    if not packed.endswith(FORMAT_NAME):
        return [Block(len(text), text=text) for text in split_blocks(unpack(packed))]
    row_count, _ = TRAILER.unpack(packed[-TRAILER.size :])
    table_start = len(packed) - TRAILER.size - row_count * TABLE_ROW.size
    if table_start < 0:
        raise PackedError("it says nothing of its blocks")
    blocks = []
    position = len(STREAM_HEADER)
    total_size = 0
    for packed_size, size in TABLE_ROW.iter_unpack(packed[table_start : -TRAILER.size]):
        blocks.append(Block(size, packed[position : position + packed_size]))
        position += packed_size
        total_size += size
        if not packed_size or not size or total_size > MAX_BODY_BYTES:
            raise PackedError("blocks of no size, or too large")
    stream_end = position + len(FINAL_DEFLATE_BLOCK) + ADLER_BYTES
    if stream_end != table_start or not packed.startswith(STREAM_HEADER):
        raise PackedError("blocks that are not all of it")
    return blocks


def seal_blocks(blocks: Iterable[Block], digest: bytes | None = None) -> bytes:
    """Join blocks to one packed body.

    Parameters
    ----------
    blocks
        In the order of the body; those that are not packed yet are packed.
    digest
        What the unpacked body must have as its digest; None leaves it unchecked.

    Raises
    ------
    PackedError
        A block is damaged, or the body has another digest.
    """
    body_hash = hashlib.blake2b(digest_size=BODY_DIGEST_BYTES)
    adler = 1  # the checksum of no bytes
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
        raise PackedError("bytes of another digest")
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
        Another packed body; its packed blocks are reused where their text is the same.  A damaged one is ignored.
    """
    packed_by_digest = _packed_blocks_by_digest(base) if base else {}
    return seal_blocks(
        Block(len(text), packed_by_digest.get(block_digest(text)), text) for text in split_blocks(body)
    )


def _packed_blocks_by_digest(packed: bytes) -> dict[bytes, bytes]:
    """Return the packed blocks of a body by the digests of their texts; none where the body is damaged."""
    found: dict[bytes, bytes] = {}
    try:
        for block in read_blocks(packed):
            if block.packed is not None:
                found[block_digest(block.unpacked())] = block.packed
    except PackedError:
        return {}
    return found


def block_digest(text: bytes) -> bytes:
    """Return the digest by which equal blocks are found."""
    return hashlib.blake2b(text, digest_size=BLOCK_DIGEST_BYTES).digest()


def unpack(packed: bytes) -> bytes:
    """Return the body of a packed one; raise PackedError where it is damaged, cut or too large."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise PackedError(f"not packed: {error}") from None
    if not decompressor.eof:
        raise PackedError("it has no end")
    return body
