"""The control state as one value: members of the core, the configuration by its sum, closed zones; and majorities."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Ballot = tuple[
    int, int, str
]  # a count, then the life and the address of its proposer: no two rounds share one
NO_BALLOT: Ballot = (0, 0, "")
NO_CONFIGURATION = b""  # the digest before any configuration
VERSIONS_PER_LINEAGE = 1 << 32  # versions of one lineage: more changes than a core ever sees


@dataclass(slots=True, frozen=True, order=True)
class Member:
    """A seat in the core: an address, and the disk that holds it, by a number drawn when that disk was empty.
    Disk 0 is a seat of the founding: it belongs to whoever runs there since the first start of all."""

    ip: str
    zone: str = ""
    region: str = ""
    disk_id: int = 0


Voters = Mapping[str, tuple[int, bool]]  # by address: the disk that answered, and whether it may found


@dataclass(slots=True, frozen=True)
class ControlState:
    """One version of all that the core agrees on.  `before` are the members of the version it follows: a change of
    members is agreed by a majority of both.  `size` is how many members the core is meant to have."""

    version: int
    members: tuple[Member, ...]
    previous_members: tuple[Member, ...]
    target_size: int = 0
    configuration_version: int = -1  # of the configuration
    configuration_digest: bytes = NO_CONFIGURATION
    evacuated_zones: frozenset[str] = field(default_factory=frozenset)

    def member_sets(self) -> list[tuple[Member, ...]]:
        return (
            [self.members] if self.previous_members == self.members else [self.previous_members, self.members]
        )

    def encode(self) -> list[Any]:
        members = [[m.ip, m.zone, m.region, m.disk_id] for m in self.members]
        before = (
            [[m.ip, m.zone, m.region, m.disk_id] for m in self.previous_members]
            if self.previous_members != self.members
            else 0
        )
        return [
            self.version,
            members,
            before,
            self.target_size,
            self.configuration_version,
            self.configuration_digest,
            sorted(self.evacuated_zones),
        ]

    def member_at(self, ip: str) -> Member | None:
        return next((member for member in self.members if member.ip == ip), None)

    def is_member(self, ip: str, disk: int) -> bool:
        return disk != 0 and (member := self.member_at(ip)) is not None and member.disk_id == disk


def decode_state(row: Iterable[Any]) -> ControlState:
    version, members, before, size, number, digest, closed = row
    seats = tuple(Member(*member) for member in members)
    old = tuple(Member(*member) for member in before) if before else seats
    return ControlState(version, seats, old, size, number, digest, frozenset(closed))


def decode_ballot(row: Iterable[Any]) -> Ballot:
    count, life, ip = row
    return (count, life, ip)


def bootstrap_state(seeds: Iterable[str]) -> ControlState:
    """What every door holds at the first start of all: the seeds, alike at all, agree on the first members."""
    seats = tuple(sorted({Member(ip) for ip in seeds}))
    return ControlState(0, seats, seats)


def lineage(version: int) -> int:
    """Which line of versions one belongs to: 0 from the founding on, a higher one from each rescue by hand on
    (hazelspring/consensus/disaster_recovery.py).
     It is the version's high part, so wherever versions are compared the higher lineage is newer."""
    return max(0, version) // VERSIONS_PER_LINEAGE


def majority(members: int) -> int:
    """Disks that accept a state before it counts as decided."""
    return members // 2 + 1


def read_quorum(members: int) -> int:
    """Members that together know of every decided state: with any majority they share one.  So many promises begin
    a round, and so many voices make a read; of an even number of members that is half (docs/control.md)."""
    return max(1, members - majority(members) + 1)


def is_vote_of(member: Member, voter: tuple[int, bool]) -> bool:
    """Whether an answer comes from the disk that holds a seat."""
    disk, founder = voter
    return founder if member.disk_id == 0 else member.disk_id == disk


def missing_votes(sets: Iterable[tuple[Member, ...]], voters: Voters, needed: Callable[[int], int]) -> int:
    """How many answers are lacking yet, over all sets of members; `needed` of each: `majority` or `voices_needed`."""
    return sum(
        max(0, needed(len(members)) - sum(m.ip in voters and is_vote_of(m, voters[m.ip]) for m in members))
        for members in sets
    )
