"""A configuration's bytes, packed: one zlib stream of blocks, each of which unpacks alone, and where they stand.

Any reader of zlib reads the stream; where the blocks stand follows it, and one without that is packed anew.  A block
begins at a resource that its own first bytes choose, so a change moves the bounds of the blocks beside it only.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterable, Iterator

BLOCK_BOUNDARY = b'{"resourceKind"'  # begins a resource as the users' own tools write it
MIN_BLOCK_BYTES = (
    32 << 10
)  # bytes of a block: below it each is packed worse, above it a change packs more than it must,
MAX_BLOCK_BYTES = 256 << 10  # and at most, where no mark is found
BOUNDARY_HASH_BYTES = 96  # bytes from a mark that choose it: kind and name
BOUNDARY_MASK = 63  # one mark in 64 ends a block
MAX_BODY_BYTES = 512 << 20  # bytes of a body that anybody may claim: six times that of the target
HEAD, LAST = b"\x78\x9c", b"\x03\x00"  # of a zlib stream: what begins it, and an empty last block of deflate
ROW, END = (
    struct.Struct("<II"),
    struct.Struct("<I4s"),
)  # a block's bytes packed and unpacked; how many, and a name
NAME = b"hzb1"


class PackedError(ValueError):
    """Packed bytes that are not what they say."""

    code = "packed"


class Block:
    """A run of a body's bytes: `size` of them, packed, or not yet."""

    __slots__ = ("packed", "size", "text")

    def __init__(self, size: int, packed: bytes | None = None, text: bytes | None = None) -> None:
        self.size, self.packed, self.text = size, packed, text

    def unpacked(self) -> bytes:
        """Raises PackedError."""
        if self.text is not None:
            return self.text
        assert self.packed is not None
        try:
            text = zlib.decompressobj(-zlib.MAX_WBITS).decompress(self.packed, self.size + 1)
        except zlib.error as error:
            raise PackedError(f"a block: {error}") from None
        if len(text) != self.size:
            raise PackedError("a block of another size")
        return text

    def pack(self) -> bytes:
        if self.packed is None:
            assert self.text is not None
            packer = zlib.compressobj(6, zlib.DEFLATED, -zlib.MAX_WBITS)
            self.packed = packer.compress(self.text) + packer.flush(zlib.Z_FULL_FLUSH)
            self.text = None
        return self.packed


def split_blocks(text: bytes, head: bool = True) -> Iterator[bytes]:
    """A text in runs that begin at marks; `head`: what stands before the first of these is one by itself."""
    start, end = 0, len(text)
    if head and (first := text.find(BLOCK_BOUNDARY)) > 0:
        yield from split_blocks(text[:first], head=False)
        start = first
    while start < end:
        at, last = start + MIN_BLOCK_BYTES, 0
        while (at := text.find(BLOCK_BOUNDARY, at, start + MAX_BLOCK_BYTES)) >= 0:
            last = at
            if not zlib.crc32(text[at : at + BOUNDARY_HASH_BYTES]) & BOUNDARY_MASK:
                break
            at += 1
        if at < 0:
            at = end if end - start <= MAX_BLOCK_BYTES else last or start + MAX_BLOCK_BYTES
        yield text[start:at]
        start = at


def read_blocks(packed: bytes) -> list[Block]:
    """The blocks of a body that was packed; of one packed without them, made anew.  Raises PackedError."""
    if not packed.endswith(NAME):
        return [Block(len(text), text=text) for text in split_blocks(unpack(packed))]
    count, _ = END.unpack(packed[-END.size :])
    rows_at = len(packed) - END.size - count * ROW.size
    found, at, total = [], len(HEAD), 0
    if rows_at < 0:
        raise PackedError("it says nothing of its blocks")
    for length, size in ROW.iter_unpack(packed[rows_at : -END.size]):
        found.append(Block(size, packed[at : at + length]))
        at, total = at + length, total + size
        if not length or not size or total > MAX_BODY_BYTES:
            raise PackedError("blocks of no size, or too large")
    if at + len(LAST) + 4 != rows_at or not packed.startswith(HEAD):
        raise PackedError("blocks that are not all of it")
    return found


def seal_blocks(blocks: Iterable[Block], digest: bytes | None = None) -> bytes:
    """Blocks as one packed body; raises PackedError where its bytes are not those that `digest` is of."""
    whole, adler = hashlib.blake2b(digest_size=8), 1
    parts, rows = [HEAD], []
    for block in blocks:
        text = block.unpacked()
        adler = zlib.adler32(text, adler)
        if digest is not None:
            whole.update(text)
        parts.append(block.pack())
        rows.append(ROW.pack(len(parts[-1]), block.size))
    if digest is not None and whole.digest() != digest:
        raise PackedError("bytes of another digest")
    return b"".join([*parts, LAST, adler.to_bytes(4, "big"), *rows, END.pack(len(rows), NAME)])


def pack(body: bytes, base: bytes | None = None) -> bytes:
    """A body packed; blocks that `base`, a packed body, has too are taken from there as they are."""
    known: dict[bytes, bytes] = {}
    try:
        for block in read_blocks(base) if base else ():
            if block.packed is not None:
                known[block_digest(block.unpacked())] = block.packed
    except PackedError:
        known = {}
    return seal_blocks(Block(len(text), known.get(block_digest(text)), text) for text in split_blocks(body))


def block_digest(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=16).digest()


def unpack(packed: bytes) -> bytes:
    """The body; raises PackedError."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise PackedError(f"not packed: {error}") from None
    if not unpacker.eof:
        raise PackedError("it has no end")
    return body
