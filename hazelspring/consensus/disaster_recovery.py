"""A new core by hand from what one disk holds: the state that goes on, in a lineage of its own, and its records."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from hazelspring.configuration.model import Stamp, digest
from hazelspring.configuration.validation import Invalid, check
from hazelspring.consensus.acceptor import Register
from hazelspring.consensus.control_state import LINEAGE, NO_WORD, Member, State, lineage

WORD, ZONE = "word", "zone/"  # keys of the items that format 1 kept
Items = Mapping[str, tuple[Stamp, bytes]]  # by key: the stamp, and the body; a configuration's is packed


class Unfit(ValueError):
    """What a disk holds cannot become a new core; the text says why."""

    code = "unfit"


@dataclass(slots=True, frozen=True)
class Source:
    """A state to go on from, its configuration packed, and the highest count of a ballot that the disk knows."""

    state: State
    word: bytes | None
    count: int = 0


def newest(items: Iterable[Items]) -> dict[str, tuple[Stamp, bytes]]:
    """Of several disks of format 1: each item as it bears the highest stamp, as it was in force then."""
    found: dict[str, tuple[Stamp, bytes]] = {}
    for held in items:
        for key, item in held.items():
            if key not in found or item[0] > found[key][0]:
                found[key] = item
    return found


def of_items(items: Items) -> Source:
    """What disks of format 1 hold as one state; raises Unfit where that is nothing."""
    if not items:
        raise Unfit("no configuration and no zone was ever kept here")
    closed = frozenset(
        k[len(ZONE) :] for k, (_, body) in items.items() if k.startswith(ZONE) and body == b"1"
    )
    state = State(0, (), (), closed=closed)
    if WORD not in items:
        return Source(state, None)
    (number, _), word = items[WORD]
    return Source(replace(state, number=number, digest=digest(zlib.decompress(word))), word)


def of_register(register: Register, accepted: bool) -> Source:
    """What a disk of format 2 holds.  `accepted`: of a state that was accepted above the newest decided one, rather
    than that one; raises Unfit where nothing was agreed on yet."""
    state = register.pending if accepted and register.pending is not None else register.state
    if state is None or state.version == 0:
        raise Unfit("nothing was agreed on here")
    word = register.words[state.digest] if state.digest != NO_WORD else None
    return Source(state, word, register.promised[0])


def usable(source: Source) -> None:
    """Raises Unfit where no door could use the configuration."""
    try:
        if source.word is not None:
            check(zlib.decompress(source.word))
    except (Invalid, zlib.error) as error:
        raise Unfit(f"configuration r{source.state.number} cannot be used: {error}") from None


def rescued(source: Source, member: Member, size: int, now: int) -> Register:
    """The register of a core whose only member is `member`, on a disk that nobody knows; its records are to replace
    all others.  `now`: a number that grows with time, as a life does; of two rescues the later one prevails, also of
    two that do not know of each other.  `size`: how many members the core is meant to have, 0 as many as before."""
    state = source.state
    line = max(lineage(state.version) + 1, now)
    version = line * LINEAGE + state.version % LINEAGE + 1
    seats = (member,)
    size = size or state.size or len(state.members)
    register = Register(member.disk, False)
    register.stale.add("disk")
    made = replace(state, version=version, members=seats, before=seats, size=size)
    register.learn((source.count + 1, now, member.ip), made, source.word)
    return register
