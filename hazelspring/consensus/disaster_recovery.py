"""Disaster recovery: a new core from what one disk holds, after more members were lost than the core survives.

The recovered core goes on in a lineage of its own.  Nothing tells a node that the old core is lost: a majority of it
may come back, with versions decided meanwhile.  So the lineage is the high part of the version number.  Wherever
versions are compared (heartbeats, rounds, requests for a newer state) the recovered core's state is then newer than
anything the old core has decided or still decides; a node that has heard of the higher lineage neither votes nor
confirms anything by an older one, and asks for the recovered state.
"""

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
from hazelspring.errors import HazelspringError

# Keys of the items that storage format 1 kept, and what it kept for an evacuated zone.
CONFIGURATION_KEY = "word"
ZONE_KEY_PREFIX = "zone/"
EVACUATED = b"1"

# Items of storage format 1 by key: the stamp, and the body; a configuration's body is compressed.
LegacyItems = Mapping[str, tuple[Stamp, bytes]]


class UnrecoverableError(HazelspringError, ValueError):
    """What a disk holds cannot become a new core; the text says why."""

    code = "unfit"


@dataclass(slots=True, frozen=True)
class RecoverySource:
    """What a recovered core goes on from.

    Attributes
    ----------
    state
        The control state to go on from.
    configuration
        Its configuration, compressed; none where there was none.
    highest_ballot_count
        The highest counter of a ballot that the disk has promised.
    """

    state: ControlState
    configuration: bytes | None
    highest_ballot_count: int = 0


def newest_items(disks: Iterable[LegacyItems]) -> dict[str, tuple[Stamp, bytes]]:
    """Return each item of several disks of format 1 as it has the highest stamp, which is what was in force."""
    newest: dict[str, tuple[Stamp, bytes]] = {}
    for items in disks:
        for key, item in items.items():
            if key not in newest or item[0] > newest[key][0]:
                newest[key] = item
    return newest


def source_from_items(items: LegacyItems) -> RecoverySource:
    """Return what disks of format 1 hold as one state.

    Raises
    ------
    UnrecoverableError
        Where they hold nothing.
    """
    if not items:
        raise UnrecoverableError("no configuration and no zone was ever kept here")
    evacuated = frozenset(
        key.removeprefix(ZONE_KEY_PREFIX)
        for key, (_, body) in items.items()
        if key.startswith(ZONE_KEY_PREFIX) and body == EVACUATED
    )
    state = ControlState(0, (), (), evacuated_zones=evacuated)
    if CONFIGURATION_KEY not in items:
        return RecoverySource(state, None)
    (version, _), compressed = items[CONFIGURATION_KEY]
    digest = configuration_digest(zlib.decompress(compressed))
    state = replace(state, configuration_version=version, configuration_digest=digest)
    return RecoverySource(state, compressed)


def source_from_acceptor(acceptor: Acceptor, prefer_accepted: bool) -> RecoverySource:
    """Return what a disk of format 2 holds.

    Parameters
    ----------
    acceptor
        The disk's acceptor.
    prefer_accepted
        Go on from a state that was accepted above the newest decided one, where there is one: it may have been
        decided, and acknowledged, without this disk having heard of it.

    Raises
    ------
    UnrecoverableError
        Where nothing was agreed on yet.
    """
    state = acceptor.pending if prefer_accepted and acceptor.pending is not None else acceptor.state
    if state is None or state.version == 0:
        raise UnrecoverableError("nothing was agreed on here")
    configuration = None
    if state.configuration_digest != NO_CONFIGURATION:
        configuration = acceptor.configurations[state.configuration_digest]
    return RecoverySource(state, configuration, acceptor.promised.counter)


def ensure_usable(source: RecoverySource) -> None:
    """Check that nodes could use the configuration.

    Raises
    ------
    UnrecoverableError
        Where they could not.
    """
    try:
        if source.configuration is not None:
            validate_configuration(zlib.decompress(source.configuration))
    except (InvalidConfigurationError, zlib.error) as error:
        raise UnrecoverableError(
            f"configuration r{source.state.configuration_version} cannot be used: {error}"
        ) from None


def recovered_acceptor(source: RecoverySource, member: Member, target_size: int, now: int) -> Acceptor:
    """Return the acceptor of a new core with one member; its records are to replace all others on the disk.

    Parameters
    ----------
    source
        What the core goes on from.
    member
        Its only member, on a disk whose number no node knows yet: the old core's votes of this disk count no more.
    target_size
        How many members the core is meant to have; 0 for as many as before.
    now
        A number that grows with time, as incarnations do.  It becomes the lineage, unless that is not above the
        source's: so of two recoveries the later one prevails, also of two that do not know of each other.
    """
    state = source.state
    new_lineage = max(lineage(state.version) + 1, now)
    members = (member,)
    recovered = replace(
        state,
        version=new_lineage * VERSIONS_PER_LINEAGE + state.version % VERSIONS_PER_LINEAGE + 1,
        members=members,
        previous_members=members,
        target_size=target_size or state.target_size or len(state.members),
    )
    acceptor = Acceptor(member.disk_id, False)
    acceptor.dirty_records.add("disk")
    ballot = Ballot(source.highest_ballot_count + 1, now, member.ip)
    acceptor.learn(ballot, recovered, source.configuration)
    return acceptor
