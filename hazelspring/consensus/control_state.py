"""The control state that the core agrees on, its encoding, ballots, and the sizes of quorums."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class Ballot(NamedTuple):
    """Identifies a proposer's round; ballots compare by counter, then incarnation, then address.

    No two rounds share a ballot: a proposer increases the counter within one run of its process, and each
    run has an incarnation of its own.
    """

    counter: int
    incarnation: int  # of the proposer's process
    address: str  # of the proposer's node


class Voter(NamedTuple):
    """The disk that has answered a round, and whether it may take part in the bootstrap."""

    disk_id: int
    may_bootstrap: bool


NO_BALLOT = Ballot(0, 0, "")  # below every ballot of a round
NO_CONFIGURATION = b""  # the digest before any configuration
VERSIONS_PER_LINEAGE = 1 << 32  # versions of one lineage: more than a core can decide in its lifetime

Voters = Mapping[str, Voter]  # by the address of the node that has answered


@dataclass(slots=True, frozen=True, order=True)
class Member:
    """A member of the core: a node's address, and the disk that holds its replica.

    A disk is identified by a number drawn when it was empty, so a disk at the same address that was wiped or
    replaced is not mistaken for the member.  Disk 0 stands for a member of the bootstrap: it is whichever
    disk the node has had since the first start of the fleet.
    """

    ip: str
    zone: str = ""
    region: str = ""
    disk_id: int = 0


@dataclass(slots=True, frozen=True)
class ControlState:
    """One version of everything that the core agrees on.

    Attributes
    ----------
    version
        Counts the states decided since the bootstrap; its high part is the lineage, see :func:`lineage`.
    members
        The members of the core, sorted.
    previous_members
        The members of the preceding version: a change of members needs a majority of both the old and the
        new members.
    target_size
        How many members the core is meant to have.
    configuration_version, configuration_digest
        Number and digest of the configuration in force; -1 and ``NO_CONFIGURATION`` before the first one.
    evacuated_zones
        Zones to which no requests are to be sent.
    """

    version: int
    members: tuple[Member, ...]
    previous_members: tuple[Member, ...]
    target_size: int = 0
    configuration_version: int = -1
    configuration_digest: bytes = NO_CONFIGURATION
    evacuated_zones: frozenset[str] = field(default_factory=frozenset)

    def member_sets(self) -> list[tuple[Member, ...]]:
        """Return the sets of members; this state needs a quorum of each set."""
        if self.previous_members == self.members:
            return [self.members]
        return [self.previous_members, self.members]

    def encode(self) -> list[Any]:
        """Return the state as encoded on the wire and on disk, with 0 for unchanged previous members."""
        same_members = self.previous_members == self.members
        return [
            self.version,
            _encode_members(self.members),
            0 if same_members else _encode_members(self.previous_members),
            self.target_size,
            self.configuration_version,
            self.configuration_digest,
            sorted(self.evacuated_zones),
        ]

    def member_at(self, ip: str) -> Member | None:
        """Return the member at an address, if there is one."""
        return next((member for member in self.members if member.ip == ip), None)

    def is_member(self, ip: str, disk_id: int) -> bool:
        """Return whether this very disk is a member; a node without a disk (0) never is."""
        return disk_id != 0 and (member := self.member_at(ip)) is not None and member.disk_id == disk_id


def _encode_members(members: Iterable[Member]) -> list[list[Any]]:
    return [[member.ip, member.zone, member.region, member.disk_id] for member in members]


def decode_state(row: Iterable[Any]) -> ControlState:
    """Return the state that :meth:`ControlState.encode` has encoded.

    Raises
    ------
    ValueError, TypeError
        If the row does not have the form of a state.
    """
    version, members, previous, target_size, configuration_version, digest, evacuated = row
    decoded = tuple(Member(*member) for member in members)
    decoded_previous = tuple(Member(*member) for member in previous) if previous else decoded
    return ControlState(
        version, decoded, decoded_previous, target_size, configuration_version, digest, frozenset(evacuated)
    )


def decode_ballot(row: Iterable[Any]) -> Ballot:
    """Return a ballot from its three fields.

    Raises
    ------
    ValueError, TypeError
        If the row does not have three fields.
    """
    counter, incarnation, address = row
    return Ballot(counter, incarnation, address)


def bootstrap_state(seeds: Iterable[str]) -> ControlState:
    """Return the state of every node at the first start of the fleet: version 0, with the seeds as members.

    It is the same at all nodes, so that the seeds can agree on the first members.
    """
    members = tuple(sorted({Member(ip) for ip in seeds}))
    return ControlState(0, members, members)


def lineage(version: int) -> int:
    """Return the lineage of a version: 0 from the bootstrap on, a higher one after each disaster recovery.

    The lineage is the version's high part, so wherever versions are compared the higher lineage is newer
    (hazelspring/consensus/disaster_recovery.py).
    """
    return max(0, version) // VERSIONS_PER_LINEAGE


def majority(members: int) -> int:
    """Return how many disks must have accepted a state before it counts as decided."""
    return members // 2 + 1


def read_quorum(members: int) -> int:
    """Return how many members include one of any majority, and so together know of every decided state.

    A round needs this many promises, and a read this many answers; for an even number of members that is
    half (docs/control.md).
    """
    return max(1, members - majority(members) + 1)


def is_vote_of(member: Member, voter: Voter) -> bool:
    """Return whether an answer comes from the disk that is this member."""
    return voter.may_bootstrap if member.disk_id == 0 else member.disk_id == voter.disk_id


def missing_votes(
    member_sets: Iterable[tuple[Member, ...]], voters: Voters, quorum: Callable[[int], int]
) -> int:
    """Return how many answers are still missing, summed over all sets of members.

    Parameters
    ----------
    member_sets
        Sets of members; a quorum of each set is needed.
    voters
        The disks that have answered, by the addresses of their nodes.
    quorum
        :func:`majority` or :func:`read_quorum`: returns how many answers are needed from a number of
        members.
    """
    return sum(
        max(
            0,
            quorum(len(members))
            - sum(member.ip in voters and is_vote_of(member, voters[member.ip]) for member in members),
        )
        for members in member_sets
    )
