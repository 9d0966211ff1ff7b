"""Disaster recovery: builds a new core from the contents of one disk, after the loss of too many members.

The recovered core continues in a lineage of its own.  A node cannot detect that the old core is lost: a
majority of it may come back, with versions that it decided meanwhile.  So the lineage is the high part of
the version number.  Wherever versions are compared (heartbeats, rounds, requests for a newer state) the
recovered core's state is therefore newer than anything that the old core has decided or will decide.  A node
that has learned of the higher lineage neither votes nor confirms anything based on an older one, and
requests the recovered state.
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

# Keys of the items in storage format 1, and the body of the item of an evacuated zone.
CONFIGURATION_KEY = "word"
ZONE_KEY_PREFIX = "zone/"
EVACUATED = b"1"

# Items of storage format 1 by key: the stamp, and the body; a configuration's body is compressed.
LegacyItems = Mapping[str, tuple[Stamp, bytes]]


class UnrecoverableError(HazelspringError, ValueError):
    """The contents of a disk cannot become a new core; the message says why."""

    code = "unfit"  # a historical name for contents that cannot be recovered from


@dataclass(slots=True, frozen=True)
class RecoverySource:
    """The state from which a recovered core continues.

    Attributes
    ----------
    state
        The control state.
    configuration
        Its configuration, compressed; None if there was none.
    highest_ballot_count
        The highest counter of a ballot that the disk has promised.
    """

    state: ControlState
    configuration: bytes | None
    highest_ballot_count: int = 0


def newest_items(disks: Iterable[LegacyItems]) -> dict[str, tuple[Stamp, bytes]]:
    """Return each item of several disks of format 1 with its highest stamp, the one that was in force."""
    newest: dict[str, tuple[Stamp, bytes]] = {}
    for items in disks:
        for key, item in items.items():
            if key not in newest or item[0] > newest[key][0]:
                newest[key] = item
    return newest


def source_from_items(items: LegacyItems) -> RecoverySource:
    """Return the contents of disks of format 1 as one state.

    Raises
    ------
    UnrecoverableError
        If they hold nothing.
    """
    if not items:
        raise UnrecoverableError("the stored data contains no configuration and no state of a zone")
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
    """Return the contents of a disk of format 2.

    Parameters
    ----------
    acceptor
        The disk's acceptor.
    prefer_accepted
        Use the accepted state if it is newer than the decided one: it may have been decided and
        acknowledged without the decision having reached this disk.

    Raises
    ------
    UnrecoverableError
        If the disk knows no decided state after the bootstrap state.
    """
    state = acceptor.pending if prefer_accepted and acceptor.pending is not None else acceptor.state
    if state is None or state.version == 0:
        raise UnrecoverableError("the disk contains no state that was decided after the bootstrap")
    configuration = None
    if state.configuration_digest != NO_CONFIGURATION:
        configuration = acceptor.configurations[state.configuration_digest]
    return RecoverySource(state, configuration, acceptor.promised.counter)


def ensure_usable(source: RecoverySource) -> None:
    """Check that nodes could use the configuration.

    Raises
    ------
    UnrecoverableError
        If they could not.
    """
    try:
        if source.configuration is not None:
            validate_configuration(zlib.decompress(source.configuration))
    except (InvalidConfigurationError, zlib.error) as error:
        raise UnrecoverableError(
            f"configuration r{source.state.configuration_version} cannot be used: {error}"
        ) from None


def recovered_acceptor(source: RecoverySource, member: Member, target_size: int, now: int) -> Acceptor:
    """Return the acceptor of a new core with one member; its records are to replace all records on the disk.

    Parameters
    ----------
    source
        The state from which the core continues.
    member
        The only member, on a disk whose number no node knows yet, so that votes of this disk in the old core
        no longer count.
    target_size
        How many members the core is meant to have; 0 for as many as before.
    now
        A number that grows with time, as incarnations do.  It becomes the lineage if it is above the
        source's lineage; otherwise the lineage after the source's is used.  So the later of two recoveries
        prevails, even if neither knew of the other.
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
