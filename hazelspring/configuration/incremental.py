"""A configuration read block by block, and by its difference from the one that is held.

A packed body (`hazelspring.configuration.blocks`) is split where resources begin.  So its first block is the document
up to the resource list, each block between holds whole resources, and the last one holds the last resources and the
rest of the document.  Where two bodies have a block in common, its resources need not be read again, and the tables of
the configuration share the objects made of them.

Not every text is like that: a document may have other fields first, or hold the start of a resource within a string.
`NotIncrementalError` says so, and the document is then read whole.  Nothing here decides whether a configuration is
valid; see `hazelspring.configuration.validation`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from hazelspring.configuration.blocks import Block, PackedError, read_blocks, unpack
from hazelspring.configuration.change import (
    MALFORMED_RESOURCE_ERRORS,
    ConfigurationChange,
    NotIncrementalError,
    apply_change,
)
from hazelspring.configuration.model import (
    Configuration,
    ResourceDocument,
    build_configuration,
    parse_configuration,
    parse_version,
)

# A JSON constant that stands for the blocks which are left out: no other text is read as the object.
PLACEHOLDER = object()
PLACEHOLDER_TEXT = b"-Infinity"


class LoadedConfiguration(NamedTuple):
    """A configuration in use.

    Attributes
    ----------
    configuration
        Its tables.
    packed
        The packed body that the tables were read from.
    block_aligned
        Whether each block but the first and the last was seen to be whole resources.
    """

    configuration: Configuration
    packed: bytes
    block_aligned: bool


class ValidatedConfiguration(NamedTuple):
    """A configuration that was found valid.

    Attributes
    ----------
    version
        The number in ``versionNumber``.
    packed
        Its packed body.
    """

    version: int
    packed: bytes


class DocumentFrame(NamedTuple):
    """The first and the last block of a document.

    Attributes
    ----------
    document
        The document with an empty ``resourceList``.
    last_resources
        The resources of the last block.
    """

    document: dict[str, Any]
    last_resources: list[ResourceDocument]


def parse_block(block: Block) -> list[ResourceDocument]:
    """Return the resources of a block between the first and the last.

    Raises
    ------
    NotIncrementalError
        The block is not whole resources.
    """
    try:
        # nested as deep as in its body, so that it is refused for its depth where the body is
        resources = json.loads(b'{"":[' + block.unpacked() + b"null]}")[""]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if not resources or resources.pop() is not None:
        raise NotIncrementalError("a block that does not end with an entry")
    return list(resources)


def parse_constant(text: str) -> object:
    """Return the value of a JSON constant such as NaN; `PLACEHOLDER` for the text that stands for it."""
    return PLACEHOLDER if text.encode() == PLACEHOLDER_TEXT else float(text)


def parse_frame(blocks: list[Block]) -> DocumentFrame:
    """Return what the first and the last block hold.

    The other blocks belong between them: a placeholder that is put there must be found as the first resource.

    Raises
    ------
    NotIncrementalError
        The document does not begin as usual, or the other blocks are no part of its resource list.
    """
    if len(blocks) < 2:
        raise NotIncrementalError("one block")
    head, last = blocks[0].unpacked(), blocks[-1].unpacked()
    other_encoding = head[:1] != b"{" or head[1:2] == b"\0"
    if other_encoding or PLACEHOLDER_TEXT in head or PLACEHOLDER_TEXT in last:
        raise NotIncrementalError("no head as it is usual")
    try:
        document = json.loads(head + PLACEHOLDER_TEXT + b"," + last, parse_constant=parse_constant)
        first, *last_resources = document["resourceList"]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if first is not PLACEHOLDER:
        raise NotIncrementalError("entries before the first mark")
    return DocumentFrame({**document, "resourceList": []}, last_resources)


def diff_blocks(held: LoadedConfiguration, packed: bytes) -> ConfigurationChange:
    """Return what differs between the configuration that is held and a packed one.

    Raises
    ------
    NotIncrementalError
        One of the two cannot be read block by block.
    PackedError
        One of the two is damaged.
    """
    if not held.block_aligned:
        raise NotIncrementalError("what is held was read whole")
    old_blocks, new_blocks = read_blocks(held.packed), read_blocks(packed)
    new_frame = parse_frame(new_blocks)
    old_frame = parse_frame(old_blocks)
    removed_blocks = {block.packed: block for block in old_blocks[1:-1]}
    resources: list[ResourceDocument] = []
    for block in new_blocks[1:-1]:
        if removed_blocks.pop(block.packed, None) is None:
            resources += parse_block(block)
    previous_resources: list[ResourceDocument] = []
    for block in removed_blocks.values():
        previous_resources += parse_block(block)
    return ConfigurationChange(
        document=new_frame.document,
        resources=resources + new_frame.last_resources,
        previous_resources=previous_resources + old_frame.last_resources,
    )


def load_configuration(packed: bytes, held: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """Read a packed configuration that `hazelspring.configuration.validation` has accepted.

    It is read by its difference from the one that is held where that is possible, else block by block, else whole.

    Raises
    ------
    PackedError
        The packed body is damaged.
    """
    if held is not None:
        try:
            configuration = apply_change(held.configuration, diff_blocks(held, packed))
            return LoadedConfiguration(configuration, packed, block_aligned=True)
        except (NotIncrementalError, PackedError):
            pass
    try:
        return LoadedConfiguration(_build_by_blocks(read_blocks(packed)), packed, block_aligned=True)
    except NotIncrementalError:
        return LoadedConfiguration(parse_configuration(unpack(packed)), packed, block_aligned=False)


def _build_by_blocks(blocks: list[Block]) -> Configuration:
    """Return the configuration of all blocks, with the resources of one block at a time in memory."""
    frame = parse_frame(blocks)
    version = parse_version(frame.document["versionNumber"])
    return build_configuration(version, _read_resources(blocks, frame))


def _read_resources(blocks: list[Block], frame: DocumentFrame) -> Iterator[ResourceDocument]:
    for block in blocks[1:-1]:
        yield from parse_block(block)
    yield from frame.last_resources
