"""One door's part in the agreement: what it promised, what it accepted, what it knows as decided, and its records."""

from __future__ import annotations

from collections.abc import Mapping

import cbor2

from comb.state import LINEAGE, NO_BALLOT, NO_WORD, Ballot, State, ballot_of, lineage, state_of

WORD = "word "  # begins the record of a configuration's bytes, by its digest


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
        """Whether the core was rescued (comb/rescue.py), and the state that goes on has yet to come here.  Until then
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
