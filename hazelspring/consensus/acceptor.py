"""One door's part in the agreement: what it promised, what it accepted, what it knows as decided, and its records."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Mapping
from typing import Any

import cbor2

from hazelspring.configuration.delta import MOST_STEPS, DeltaError, difference, follow
from hazelspring.consensus.control_state import (
    LINEAGE,
    NO_BALLOT,
    NO_WORD,
    Ballot,
    State,
    ballot_of,
    lineage,
    state_of,
)

WORD = "word "  # begins the record of a configuration's bytes, by its digest


# Bytes of differences that are kept: what one costs who lacks it is some hundred bytes, and what brings a door from
MOST_KEPT = 1 << 20  # further back is no smaller than most configurations, so such a door gets the whole one.
SMALL = 1000  # bytes of a whole that goes in one datagram: a difference would spare nothing there
Way = list[Any]  # the digest that it begins at, and digest and difference of each step


class Lacking(Exception):
    """A state cannot be accepted: the bytes of its configuration have not come with it and are not here."""

    code = "word_lacking"


class Register:
    """The acceptor and learner of one door (docs/control.md).  It changes at once; whoever answers for a change
    waits until `take_records` has been saved.  A ballot once promised is never gone below, also by a decision."""

    def __init__(self, disk: int, founder: bool) -> None:
        self.disk, self.founder = disk, founder
        self.promised: Ballot = NO_BALLOT
        self.accepted: tuple[Ballot, State] | None = None
        self.decided: tuple[Ballot, State] | None = None
        self.fence = 0  # the highest lineage that was heard of
        self.words: dict[bytes, bytes] = {}  # configurations by digest, packed
        self.steps: dict[
            bytes, tuple[bytes, bytes]
        ] = {}  # soft: by digest, that before it, and the difference
        self.stale: set[str] = set()  # records that have to be written anew
        self.on_disk: set[str] = set()

    @property
    def state(self) -> State | None:
        """The newest state that is known to be decided."""
        return self.decided[1] if self.decided is not None else None

    @property
    def version(self) -> int:
        """Of the newest decided state; -1 where none is known."""
        return self.decided[1].version if self.decided is not None else -1

    @property
    def pending(self) -> State | None:
        """What was accepted above that, and may or may not be decided."""
        if self.accepted is None or self.accepted[1].version <= self.version:
            return None
        return self.accepted[1]

    def told(self) -> dict[str, int]:
        """The version in force for people: its number, and the lineage where there was a rescue."""
        number = {"version": self.version % LINEAGE if self.version >= 0 else -1}
        return number | ({"lineage": lineage(self.version)} if self.version >= LINEAGE else {})

    def hear_of(self, version: int) -> None:
        """Another door told of a version."""
        self.fence = max(self.fence, lineage(version))

    def fenced(self) -> bool:
        """Whether the core was rescued (hazelspring/consensus/disaster_recovery.py),
        and the state that goes on has yet to come here.  Until then
        this door says, confirms and votes on nothing by what it holds."""
        return self.fence > lineage(self.version)

    def word(self) -> bytes | None:
        """The bytes of the configuration in force, packed."""
        state = self.state
        return self.words.get(state.digest) if state is not None and state.digest != NO_WORD else None

    # --- what others ask ---------------------------------------------------------------------------------

    def prepare(self, ballot: Ballot) -> bool:
        """Promise to accept nothing below a ballot; False where a higher one is promised."""
        if ballot < self.promised:
            return False
        if ballot > self.promised:
            self.promised = ballot
            self.stale.add("vote")
        return True

    def accept(self, ballot: Ballot, state: State, word: bytes | None = None) -> bool:
        """Accept a state; False where a higher ballot is promised; raises Lacking."""
        if ballot < self.promised:
            return False
        self.hold(state, word)
        if self.accepted is None or self.accepted[0] != ballot:
            self.promised, self.accepted = ballot, (ballot, state)
            self.stale.add("vote")
        self.prune()
        return True

    def learn(self, ballot: Ballot, state: State, word: bytes | None = None) -> bool:
        """A state was decided at a ballot; whether that is news here; raises Lacking."""
        if state.version <= self.version or lineage(state.version) < self.fence:
            return False
        self.hold(state, word)
        if self.state is not None:
            self.differ(self.state.digest, state.digest, self.words.get(state.digest))
        rescued = lineage(state.version) > lineage(
            self.version
        )  # what was accepted before is void, at any ballot
        self.decided = (ballot, state)
        self.stale.add("decided")
        if self.accepted is None or self.accepted[0] < ballot or rescued:
            self.accepted = (ballot, state)
            self.promised = max(self.promised, ballot)
            self.stale.add("vote")
        self.prune()
        return True

    def hold(self, state: State, word: bytes | None) -> None:
        if state.digest == NO_WORD or state.digest in self.words:
            return
        if word is None:
            raise Lacking(f"configuration {state.number}")
        self.words[state.digest] = word
        self.stale.add(WORD + state.digest.hex())

    def prune(self) -> None:
        """Forget configurations that no state here names."""
        named = {held[1].digest for held in (self.accepted, self.decided) if held is not None}
        for digest in [digest for digest in self.words if digest not in named]:
            del self.words[digest]
            self.stale.add(WORD + digest.hex())

    # --- differences: soft, for others that hold an older configuration --------------------------------------

    def differ(self, base: bytes, digest: bytes, word: bytes | None) -> None:
        """Make the difference from a configuration that is held here to another, where none is kept; and keep it."""
        if word is None or digest in self.steps or base == digest or base not in self.words:
            return
        with contextlib.suppress(DeltaError):
            self.keep(base, digest, difference(self.words[base], word), word)

    def keep(self, base: bytes, digest: bytes, delta: bytes, word: bytes) -> None:
        """Keep a difference, and so many of the youngest as are together smaller than the whole they lead to."""
        self.steps.pop(digest, None)
        self.steps[digest] = (base, delta)
        left = min(MOST_KEPT, len(word))
        for n, old in enumerate(reversed(list(self.steps))):
            left -= len(self.steps[old][1])
            if left < 0 or n >= MOST_STEPS:
                del self.steps[old]

    def parcel(self, digest: bytes, asking: Mapping[str, Any]) -> dict[str, Any]:
        """What brings a configuration that is held here to a door: by what differs from the one that its message
        says it holds, where it takes that and that is smaller."""
        way = self.way([asking["h"]] if "e" in asking else [], digest, self.words[digest])
        return {"w": self.words[digest]} if way is None else {"x": way}

    def opened(self, message: Mapping[str, Any], digest: bytes) -> bytes | None:
        """The configuration that has come with a message, whole or by what differs from one that is held here."""
        if digest in self.words or "x" not in message:
            return message.get("w")
        return self.walk(message["x"], digest)

    def way(self, holds: Iterable[bytes], digest: bytes, word: bytes) -> Way | None:
        """What leads who holds one of some configurations to another; none where the whole is smaller."""
        if len(word) <= SMALL:
            return None
        held, steps, left, at = set(holds) - {NO_WORD}, list[Any](), len(word), digest
        while at not in held and at in self.steps and len(steps) < MOST_STEPS:
            before, delta = self.steps[at]
            steps.insert(0, [at, delta])
            left, at = left - len(delta) - len(at), before
            if left <= 0:
                return None
        return [at, steps] if at in held and steps else None

    def walk(self, way: Way | None, digest: bytes) -> bytes | None:
        """The packed configuration of a digest to which differences lead; none where they do not."""
        try:
            base, steps = way or (NO_WORD, ())
            if base not in self.words or not steps or steps[-1][0] != digest:
                return None
            if not all(isinstance(at, bytes) for at, _ in steps):
                return None
            word = follow(self.words[base], [delta for _, delta in steps], digest)
        except (DeltaError, ValueError, TypeError, LookupError):
            return None
        for at, delta in steps:
            if at not in self.steps:
                self.keep(base, at, delta, word)
            base = at
        return word

    # --- on disk -------------------------------------------------------------------------------------------

    def take_records(self) -> dict[str, bytes | None]:
        """What has to be written, by name, all at once; None is to be removed."""
        found: dict[str, bytes | None] = {}
        for name in sorted(self.stale):
            if name == "disk":
                found[name] = cbor2.dumps([self.disk, self.founder])
            elif name == "vote":
                held = [list(self.accepted[0]), self.accepted[1].row()] if self.accepted else None
                found[name] = cbor2.dumps([list(self.promised), held])
            elif name == "decided" and self.decided is not None:
                found[name] = cbor2.dumps([list(self.decided[0]), self.decided[1].row()])
            elif name.startswith(WORD):
                word = self.words.get(bytes.fromhex(name[len(WORD) :]))
                if word is not None or name in self.on_disk:
                    found[name] = word
        self.stale.clear()
        self.on_disk |= found.keys()
        self.on_disk -= {name for name, body in found.items() if body is None}
        return found

    def not_saved(self, records: Mapping[str, bytes | None]) -> None:
        """A save has failed: its records are still to be written, and what was to be removed is still there."""
        self.stale |= records.keys()
        self.on_disk |= records.keys()


def load(records: Mapping[str, bytes], disk: int, first: bool) -> Register:
    """The register as its records tell it.  Without them the disk is empty and gets the number `disk`; only at the
    first start of all may it found.  Raises ValueError where the records cannot be read."""
    if "disk" not in records:
        made = Register(disk, first)
        made.stale.add("disk")
        return made
    number, founder = cbor2.loads(records["disk"])
    found = Register(number, founder)
    for name, body in records.items():
        if name.startswith(WORD):
            found.words[bytes.fromhex(name[len(WORD) :])] = body
            found.on_disk.add(name)
    if "vote" in records:
        promised, held = cbor2.loads(records["vote"])
        found.promised = ballot_of(promised)
        found.accepted = (ballot_of(held[0]), state_of(held[1])) if held else None
    if "decided" in records:
        ballot, row = cbor2.loads(records["decided"])
        found.decided = (ballot_of(ballot), state_of(row))
    for pair in (found.accepted, found.decided):
        if pair is not None and pair[1].digest != NO_WORD and pair[1].digest not in found.words:
            raise ValueError(f"configuration {pair[1].number} is named and not there")
    found.prune()
    return found
