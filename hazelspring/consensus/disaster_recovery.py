"""A new core by hand from what one disk holds: the state that goes on, in a lineage of its own, and its records."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from hazelspring.configuration.model import Stamp, configuration_digest
from hazelspring.configuration.validation import InvalidConfigurationError, validate_configuration
from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import (
    NO_CONFIGURATION,
    VERSIONS_PER_LINEAGE,
    Ballot,
    ControlState,
    Member,
    lineage,
)

CONFIGURATION_KEY, ZONE_KEY_PREFIX = "word", "zone/"  # keys of the items that format 1 kept
LegacyItems = Mapping[
    str, tuple[Stamp, bytes]
]  # by key: the stamp, and the body; a configuration's is packed


class UnrecoverableError(ValueError):
    """What a disk holds cannot become a new core; the text says why."""

    code = "unfit"


@dataclass(slots=True, frozen=True)
class RecoverySource:
    """A state to go on from, its configuration packed, and the highest count of a ballot that the disk knows."""

    state: ControlState
    configuration: bytes | None
    highest_ballot_count: int = 0


def newest_items(items: Iterable[LegacyItems]) -> dict[str, tuple[Stamp, bytes]]:
    """Of several disks of format 1: each item as it bears the highest stamp, as it was in force then."""
    found: dict[str, tuple[Stamp, bytes]] = {}
    for held in items:
        for key, item in held.items():
            if key not in found or item[0] > found[key][0]:
                found[key] = item
    return found


def source_from_items(items: LegacyItems) -> RecoverySource:
    """What disks of format 1 hold as one state; raises Unfit where that is nothing."""
    if not items:
        raise UnrecoverableError("no configuration and no zone was ever kept here")
    closed = frozenset(
        k[len(ZONE_KEY_PREFIX) :]
        for k, (_, body) in items.items()
        if k.startswith(ZONE_KEY_PREFIX) and body == b"1"
    )
    state = ControlState(0, (), (), evacuated_zones=closed)
    if CONFIGURATION_KEY not in items:
        return RecoverySource(state, None)
    (number, _), word = items[CONFIGURATION_KEY]
    return RecoverySource(
        replace(
            state,
            configuration_version=number,
            configuration_digest=configuration_digest(zlib.decompress(word)),
        ),
        word,
    )


def source_from_acceptor(register: Acceptor, accepted: bool) -> RecoverySource:
    """What a disk of format 2 holds.  `accepted`: of a state that was accepted above the newest decided one, rather
    than that one; raises Unfit where nothing was agreed on yet."""
    state = register.pending if accepted and register.pending is not None else register.state
    if state is None or state.version == 0:
        raise UnrecoverableError("nothing was agreed on here")
    word = (
        register.configurations[state.configuration_digest]
        if state.configuration_digest != NO_CONFIGURATION
        else None
    )
    return RecoverySource(state, word, register.promised[0])


def ensure_usable(source: RecoverySource) -> None:
    """Raises Unfit where no door could use the configuration."""
    try:
        if source.configuration is not None:
            validate_configuration(zlib.decompress(source.configuration))
    except (InvalidConfigurationError, zlib.error) as error:
        raise UnrecoverableError(
            f"configuration r{source.state.configuration_version} cannot be used: {error}"
        ) from None


def recovered_acceptor(source: RecoverySource, member: Member, size: int, now: int) -> Acceptor:
    """The register of a core whose only member is `member`, on a disk that nobody knows; its records are to replace
    all others.  `now`: a number that grows with time, as a life does; of two rescues the later one prevails, also of
    two that do not know of each other.  `size`: how many members the core is meant to have, 0 as many as before."""
    state = source.state
    line = max(lineage(state.version) + 1, now)
    version = line * VERSIONS_PER_LINEAGE + state.version % VERSIONS_PER_LINEAGE + 1
    seats = (member,)
    size = size or state.target_size or len(state.members)
    register = Acceptor(member.disk_id, False)
    register.dirty_records.add("disk")
    made = replace(state, version=version, members=seats, previous_members=seats, target_size=size)
    register.learn(Ballot(source.highest_ballot_count + 1, now, member.ip), made, source.configuration)
    return register
