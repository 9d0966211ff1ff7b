"""One node's part in the agreement: what it promised, what it accepted, what it knows as decided, and its records."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Mapping

import cbor2

from hazelspring.configuration.delta import MAX_CHAINED_DELTAS, DeltaError, apply_deltas, make_delta
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_CONFIGURATION,
    VERSIONS_PER_LINEAGE,
    Ballot,
    ControlState,
    decode_ballot,
    decode_state,
    lineage,
)
from hazelspring.consensus.messages import (
    ConfigurationPayload,
    DeltaPath,
    DeltaStep,
    FullConfiguration,
    HeldConfiguration,
)

CONFIGURATION_RECORD_PREFIX = "word "  # begins the record of a configuration's bytes, by its digest


# Bytes of deltas that are kept: what one costs who lacks it is some hundred bytes, and what brings a node from
MAX_KEPT_DELTA_BYTES = (
    1 << 20
)  # further back is no smaller than most configurations, so such a node gets the whole one.
MIN_BYTES_FOR_DELTA = 1000  # bytes of a whole that goes in one datagram: a delta would spare nothing there


class MissingConfigurationError(Exception):
    """A state cannot be accepted: the bytes of its configuration have not come with it and are not here."""

    code = "word_lacking"


class Acceptor:
    """The acceptor and learner of one node (docs/control.md).  It changes at once; whoever answers for a change
    waits until `take_records` has been saved.  A ballot once promised is never gone below, also by a decision.
    """

    def __init__(self, disk: int, founder: bool) -> None:
        self.disk_id, self.may_bootstrap = disk, founder
        self.promised: Ballot = NO_BALLOT
        self.accepted: tuple[Ballot, ControlState] | None = None
        self.decided: tuple[Ballot, ControlState] | None = None
        self.highest_lineage = 0  # the highest lineage that was heard of
        self.configurations: dict[bytes, bytes] = {}  # configurations by digest, packed
        self.deltas: dict[bytes, tuple[bytes, bytes]] = {}  # soft: by digest, that before it, and the delta
        self.dirty_records: set[str] = set()  # records that have to be written anew
        self.stored_records: set[str] = set()

    @property
    def state(self) -> ControlState | None:
        """The newest state that is known to be decided."""
        return self.decided[1] if self.decided is not None else None

    @property
    def version(self) -> int:
        """Of the newest decided state; -1 where none is known."""
        return self.decided[1].version if self.decided is not None else -1

    @property
    def pending(self) -> ControlState | None:
        """What was accepted above that, and may or may not be decided."""
        if self.accepted is None or self.accepted[1].version <= self.version:
            return None
        return self.accepted[1]

    def version_fields(self) -> dict[str, int]:
        """The version in force for people: its number, and the lineage where there was a recovery by an operator."""
        number = {"version": self.version % VERSIONS_PER_LINEAGE if self.version >= 0 else -1}
        return number | ({"lineage": lineage(self.version)} if self.version >= VERSIONS_PER_LINEAGE else {})

    def observe_version(self, version: int) -> None:
        """Another node told of a version."""
        self.highest_lineage = max(self.highest_lineage, lineage(version))

    def is_superseded(self) -> bool:
        """Whether the core was recovered by an operator (hazelspring/consensus/disaster_recovery.py),
        and the state that goes on has yet to come here.  Until then
        this node says, confirms and votes on nothing by what it holds.
        """
        return self.highest_lineage > lineage(self.version)

    def current_configuration(self) -> bytes | None:
        """The bytes of the configuration in force, packed."""
        state = self.state
        return (
            self.configurations.get(state.configuration_digest)
            if state is not None and state.configuration_digest != NO_CONFIGURATION
            else None
        )

    # --- what others ask ---------------------------------------------------------------------------------

    def prepare(self, ballot: Ballot) -> bool:
        """Promise to accept nothing below a ballot; False where a higher one is promised."""
        if ballot < self.promised:
            return False
        if ballot > self.promised:
            self.promised = ballot
            self.dirty_records.add("vote")
        return True

    def accept(self, ballot: Ballot, state: ControlState, packed: bytes | None = None) -> bool:
        """Accept a state; False where a higher ballot is promised; raises Lacking."""
        if ballot < self.promised:
            return False
        self.keep_configuration(state, packed)
        if self.accepted is None or self.accepted[0] != ballot:
            self.promised, self.accepted = ballot, (ballot, state)
            self.dirty_records.add("vote")
        self.prune_configurations()
        return True

    def learn(self, ballot: Ballot, state: ControlState, packed: bytes | None = None) -> bool:
        """A state was decided at a ballot; whether that is updates here; raises Lacking."""
        if state.version <= self.version or lineage(state.version) < self.highest_lineage:
            return False
        self.keep_configuration(state, packed)
        if self.state is not None:
            self.compute_delta(
                self.state.configuration_digest,
                state.configuration_digest,
                self.configurations.get(state.configuration_digest),
            )
        rescued = lineage(state.version) > lineage(
            self.version
        )  # what was accepted before is void, at any ballot
        self.decided = (ballot, state)
        self.dirty_records.add("decided")
        if self.accepted is None or self.accepted[0] < ballot or rescued:
            self.accepted = (ballot, state)
            self.promised = max(self.promised, ballot)
            self.dirty_records.add("vote")
        self.prune_configurations()
        return True

    def keep_configuration(self, state: ControlState, packed: bytes | None) -> None:
        """Keep the configuration that a state names; raises MissingConfigurationError where it is not here."""
        if (
            state.configuration_digest == NO_CONFIGURATION
            or state.configuration_digest in self.configurations
        ):
            return
        if packed is None:
            raise MissingConfigurationError(f"configuration {state.configuration_version}")
        self.configurations[state.configuration_digest] = packed
        self.dirty_records.add(CONFIGURATION_RECORD_PREFIX + state.configuration_digest.hex())

    def prune_configurations(self) -> None:
        """Forget configurations that no state here names."""
        named = {held[1].configuration_digest for held in (self.accepted, self.decided) if held is not None}
        for digest in [digest for digest in self.configurations if digest not in named]:
            del self.configurations[digest]
            self.dirty_records.add(CONFIGURATION_RECORD_PREFIX + digest.hex())

    # --- deltas: soft, for others that hold an older configuration --------------------------------------

    def compute_delta(self, base: bytes, digest: bytes, packed: bytes | None) -> None:
        """Make the delta from a configuration that is held here to another, where none is kept; and keep it."""
        if packed is None or digest in self.deltas or base == digest or base not in self.configurations:
            return
        with contextlib.suppress(DeltaError):
            self.keep_delta(base, digest, make_delta(self.configurations[base], packed), packed)

    def keep_delta(self, base: bytes, digest: bytes, delta: bytes, packed: bytes) -> None:
        """Keep a delta, and so many of the youngest as are together smaller than the whole they lead to."""
        self.deltas.pop(digest, None)
        self.deltas[digest] = (base, delta)
        left = min(MAX_KEPT_DELTA_BYTES, len(packed))
        for n, old in enumerate(reversed(list(self.deltas))):
            left -= len(self.deltas[old][1])
            if left < 0 or n >= MAX_CHAINED_DELTAS:
                del self.deltas[old]

    def configuration_payload(self, digest: bytes, held: HeldConfiguration) -> ConfigurationPayload:
        """Return what brings a configuration that is held here to a node.

        That is a path of deltas from the configuration which the node holds, where it takes one and it is smaller.
        """
        bases = [held.digest] if held.accepts_deltas else []
        path = self.delta_path(bases, digest, self.configurations[digest])
        return FullConfiguration(self.configurations[digest]) if path is None else path

    def open_payload(self, payload: ConfigurationPayload | None, digest: bytes) -> bytes | None:
        """Return the packed configuration that a payload brings; None where there is none, or it leads nowhere."""
        if isinstance(payload, FullConfiguration):
            return payload.packed
        if payload is None or digest in self.configurations:
            return None
        return self.follow_delta_path(payload, digest)

    def delta_path(self, holds: Iterable[bytes], digest: bytes, packed: bytes) -> DeltaPath | None:
        """What leads who holds one of some configurations to another; none where the whole is smaller."""
        if len(packed) <= MIN_BYTES_FOR_DELTA:
            return None
        held, steps, left, at = set(holds) - {NO_CONFIGURATION}, list[DeltaStep](), len(packed), digest
        while at not in held and at in self.deltas and len(steps) < MAX_CHAINED_DELTAS:
            before, delta = self.deltas[at]
            steps.insert(0, DeltaStep(at, delta))
            left, at = left - len(delta) - len(at), before
            if left <= 0:
                return None
        return DeltaPath(at, tuple(steps)) if at in held and steps else None

    def follow_delta_path(self, path: DeltaPath, digest: bytes) -> bytes | None:
        """Return the packed configuration of a digest to which deltas lead; None where they do not."""
        base, steps = path.base_digest, path.steps
        if base not in self.configurations or not steps or steps[-1].digest != digest:
            return None
        try:
            packed = apply_deltas(self.configurations[base], [delta for _, delta in steps], digest)
        except (DeltaError, ValueError, TypeError, LookupError):
            return None
        for at, delta in steps:
            if at not in self.deltas:
                self.keep_delta(base, at, delta, packed)
            base = at
        return packed

    # --- on disk -------------------------------------------------------------------------------------------

    def take_dirty_records(self) -> dict[str, bytes | None]:
        """What has to be written, by name, all at once; None is to be removed."""
        found: dict[str, bytes | None] = {}
        for name in sorted(self.dirty_records):
            if name == "disk":
                found[name] = cbor2.dumps([self.disk_id, self.may_bootstrap])
            elif name == "vote":
                held = [list(self.accepted[0]), self.accepted[1].encode()] if self.accepted else None
                found[name] = cbor2.dumps([list(self.promised), held])
            elif name == "decided" and self.decided is not None:
                found[name] = cbor2.dumps([list(self.decided[0]), self.decided[1].encode()])
            elif name.startswith(CONFIGURATION_RECORD_PREFIX):
                packed = self.configurations.get(bytes.fromhex(name[len(CONFIGURATION_RECORD_PREFIX) :]))
                if packed is not None or name in self.stored_records:
                    found[name] = packed
        self.dirty_records.clear()
        self.stored_records |= found.keys()
        self.stored_records -= {name for name, body in found.items() if body is None}
        return found

    def restore_dirty_records(self, records: Mapping[str, bytes | None]) -> None:
        """A save has failed: its records are still to be written, and what was to be removed is still there."""
        self.dirty_records |= records.keys()
        self.stored_records |= records.keys()


def load_acceptor(records: Mapping[str, bytes], disk: int, first: bool) -> Acceptor:
    """The register as its records tell it.  Without them the disk is empty and gets the number `disk`; only at the
    first start of all may it found.  Raises ValueError where the records cannot be read.
    """
    if "disk" not in records:
        made = Acceptor(disk, first)
        made.dirty_records.add("disk")
        return made
    number, founder = cbor2.loads(records["disk"])
    found = Acceptor(number, founder)
    for name, body in records.items():
        if name.startswith(CONFIGURATION_RECORD_PREFIX):
            found.configurations[bytes.fromhex(name[len(CONFIGURATION_RECORD_PREFIX) :])] = body
            found.stored_records.add(name)
    if "vote" in records:
        promised, held = cbor2.loads(records["vote"])
        found.promised = decode_ballot(promised)
        found.accepted = (decode_ballot(held[0]), decode_state(held[1])) if held else None
    if "decided" in records:
        ballot, row = cbor2.loads(records["decided"])
        found.decided = (decode_ballot(ballot), decode_state(row))
    for pair in (found.accepted, found.decided):
        if (
            pair is not None
            and pair[1].configuration_digest != NO_CONFIGURATION
            and pair[1].configuration_digest not in found.configurations
        ):
            raise ValueError(f"configuration {pair[1].configuration_version} is named and not there")
    found.prune_configurations()
    return found
