"""Loading of a configuration block by block, and by its difference from the current one.

A packed body (`hazelspring.configuration.blocks`) is split where resources begin.  So its first block is the
document up to the resource list, each block in the middle consists of complete resources, and the last one
has the last resources and the rest of the document.  If two bodies have a block in common, its resources
need not be parsed again, and the tables of both configurations share the objects made from them.

Some documents are not structured like this: a document may have other fields first, or contain the start of
a resource within a string.  `NotIncrementalError` is raised for them, and the complete document is then
parsed at once.  This module does not decide whether a configuration is valid; see
`hazelspring.configuration.validation`.
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

# The text is a JSON constant that replaces the blocks that are left out.  It is parsed as the object
# PLACEHOLDER, and no other text is.
PLACEHOLDER = object()
PLACEHOLDER_TEXT = b"-Infinity"


class LoadedConfiguration(NamedTuple):
    """A configuration in use.

    Attributes
    ----------
    configuration
        The parsed tables.
    packed
        The packed body from which the tables were parsed.
    block_aligned
        Whether each block except the first and the last was found to consist of complete resources.
    """

    configuration: Configuration
    packed: bytes
    block_aligned: bool


class ValidatedConfiguration(NamedTuple):
    """A configuration that passed validation.

    Attributes
    ----------
    version
        The number in ``versionNumber``.
    packed
        The packed body of the configuration.
    """

    version: int
    packed: bytes


class DocumentEnvelope(NamedTuple):
    """The parsed content of the first and the last block of a document.

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
        The block does not consist of complete resources.
    """
    try:
        # nested as deep as in the document, so that the parser rejects the block for its nesting depth
        # if it would reject the document
        resources = json.loads(b'{"":[' + block.unpacked() + b"null]}")[""]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if not resources or resources.pop() is not None:
        raise NotIncrementalError("a block does not end with a complete resource")
    return list(resources)


def parse_constant(text: str) -> object:
    """Return the value of a JSON constant such as NaN, or `PLACEHOLDER` for `PLACEHOLDER_TEXT`."""
    return PLACEHOLDER if text.encode() == PLACEHOLDER_TEXT else float(text)


def parse_envelope(blocks: list[Block]) -> DocumentEnvelope:
    """Return the parsed content of the first and the last block.

    The other blocks belong between these two.  To check this, a placeholder is put there, which must be
    parsed as the first resource.

    Raises
    ------
    NotIncrementalError
        The document does not begin as expected, or the other blocks are not part of its resource list.
    """
    if len(blocks) < 2:
        raise NotIncrementalError("the document has fewer than two blocks")
    head, last = blocks[0].unpacked(), blocks[-1].unpacked()
    other_encoding = head[:1] != b"{" or head[1:2] == b"\0"
    if other_encoding or PLACEHOLDER_TEXT in head or PLACEHOLDER_TEXT in last:
        raise NotIncrementalError("the document does not begin as expected, or contains the placeholder")
    try:
        document = json.loads(head + PLACEHOLDER_TEXT + b"," + last, parse_constant=parse_constant)
        first, *last_resources = document["resourceList"]
    except MALFORMED_RESOURCE_ERRORS as error:
        raise NotIncrementalError(str(error)) from None
    if first is not PLACEHOLDER:
        raise NotIncrementalError("the first block contains resources")
    return DocumentEnvelope({**document, "resourceList": []}, last_resources)


def diff_blocks(current: LoadedConfiguration, packed: bytes) -> ConfigurationChange:
    """Return the difference between the current configuration and a packed one.

    Raises
    ------
    NotIncrementalError
        One of the two cannot be read block by block.
    PackedError
        One of the two is damaged.
    """
    if not current.block_aligned:
        raise NotIncrementalError("the current configuration is not aligned to blocks")
    old_blocks, new_blocks = read_blocks(current.packed), read_blocks(packed)
    new_envelope = parse_envelope(new_blocks)
    old_envelope = parse_envelope(old_blocks)
    removed_blocks = {block.packed: block for block in old_blocks[1:-1]}
    resources: list[ResourceDocument] = []
    for block in new_blocks[1:-1]:
        if removed_blocks.pop(block.packed, None) is None:
            resources += parse_block(block)
    previous_resources: list[ResourceDocument] = []
    for block in removed_blocks.values():
        previous_resources += parse_block(block)
    return ConfigurationChange(
        document=new_envelope.document,
        resources=resources + new_envelope.last_resources,
        previous_resources=previous_resources + old_envelope.last_resources,
    )


def load_configuration(packed: bytes, current: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """Read a packed configuration that `hazelspring.configuration.validation` has accepted.

    It is loaded by its difference from the current one if possible, otherwise block by block, otherwise as
    one document.

    Raises
    ------
    PackedError
        The packed body is damaged.
    """
    if current is not None:
        try:
            configuration = apply_change(current.configuration, diff_blocks(current, packed))
            return LoadedConfiguration(configuration, packed, block_aligned=True)
        except (NotIncrementalError, PackedError):
            pass
    try:
        return LoadedConfiguration(_build_by_blocks(read_blocks(packed)), packed, block_aligned=True)
    except NotIncrementalError:
        return LoadedConfiguration(parse_configuration(unpack(packed)), packed, block_aligned=False)


def _build_by_blocks(blocks: list[Block]) -> Configuration:
    """Return the configuration of all blocks; only one block's parsed resources are in memory at a time."""
    envelope = parse_envelope(blocks)
    version = parse_version(envelope.document["versionNumber"])
    return build_configuration(version, _read_resources(blocks, envelope))


def _read_resources(blocks: list[Block], envelope: DocumentEnvelope) -> Iterator[ResourceDocument]:
    for block in blocks[1:-1]:
        yield from parse_block(block)
    yield from envelope.last_resources
