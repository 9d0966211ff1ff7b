"""The acceptor and learner of one node: its promise, the state it accepted, the decided state, and their records.

A promise, an acceptance or a decision changes the acceptor in memory and marks a record as dirty.  The records are
written by the node, which sends a reply only once the records that it depends on are on disk.
"""

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
    KnownConfiguration,
)

# Prefix of the names of records that hold a configuration's bytes; the digest in hexadecimal follows it.
CONFIGURATION_RECORD_PREFIX = "word "

# Bytes of all deltas that are kept.  One delta has some hundred bytes.  A node that is further behind gets
# the complete configuration, as the deltas that it would need are together no smaller than most
# configurations.
MAX_KEPT_DELTA_BYTES = 1 << 20
# Bytes up to which a configuration is always sent complete: it fits into one datagram, so a delta would save nothing.
MIN_BYTES_FOR_DELTA = 1000


class MissingConfigurationError(Exception):
    """A state cannot be accepted or learned: its configuration was not sent with it and is unknown here."""

    code = "word_lacking"  # a historical name: "word" stood for the configuration


class Acceptor:
    """The acceptor and learner of one node (docs/control.md).

    Its methods change its state in memory at once.  A reply that depends on a change must wait until the
    records returned by :meth:`take_dirty_records` are on disk.  The promised ballot never decreases; a
    decision does not lower it either.

    Parameters
    ----------
    disk_id
        The number of the node's disk; 0 if the node has none.
    may_bootstrap
        Whether the node may vote as a member of the bootstrap (`is_vote_of` in `control_state`).
    """

    def __init__(self, disk_id: int, may_bootstrap: bool) -> None:
        self.disk_id, self.may_bootstrap = disk_id, may_bootstrap
        self.promised: Ballot = NO_BALLOT
        self.accepted: tuple[Ballot, ControlState] | None = None
        self.decided: tuple[Ballot, ControlState] | None = None
        self.highest_lineage = 0  # the highest lineage that any node is known to have reached
        self.configurations: dict[bytes, bytes] = {}  # compressed, by digest
        # By the digest of a delta's result: the digest of its base, and the delta.  Deltas are never saved,
        # and no vote depends on them; they only make transfers to nodes with an older configuration smaller.
        self.deltas: dict[bytes, tuple[bytes, bytes]] = {}
        self.dirty_records: set[str] = set()  # names of records that have changed since they were last taken
        self.stored_records: set[str] = set()  # names of records that may be on disk

    @property
    def state(self) -> ControlState | None:
        """The newest state that this node knows as decided; None if it knows none."""
        return self.decided[1] if self.decided is not None else None

    @property
    def version(self) -> int:
        """The version of the newest state that this node knows as decided; -1 if it knows none."""
        return self.decided[1].version if self.decided is not None else -1

    @property
    def pending(self) -> ControlState | None:
        """The accepted state if it is newer than the decided one: it may have been decided or not."""
        if self.accepted is None or self.accepted[1].version <= self.version:
            return None
        return self.accepted[1]

    def version_fields(self) -> dict[str, int]:
        """Return the decided version in the form shown to operators.

        This is its number within the lineage; the lineage itself is included only after a disaster recovery.
        """
        number = {"version": self.version % VERSIONS_PER_LINEAGE if self.version >= 0 else -1}
        return number | ({"lineage": lineage(self.version)} if self.version >= VERSIONS_PER_LINEAGE else {})

    def observe_version(self, version: int) -> None:
        """Record the lineage of a version that another node has reported.

        A lineage above this node's own means that the core was recovered by an operator, see :meth:`is_superseded`.
        """
        self.highest_lineage = max(self.highest_lineage, lineage(version))

    def is_superseded(self) -> bool:
        """Return whether an operator has recovered the core and this node does not have the recovered state yet.

        Until the node has that state, it does not vote, report or confirm anything based on the state that
        it holds (hazelspring/consensus/disaster_recovery.py).
        """
        return self.highest_lineage > lineage(self.version)

    def current_configuration(self) -> bytes | None:
        """Return the configuration in force, compressed; None if there is none."""
        state = self.state
        return (
            self.configurations.get(state.configuration_digest)
            if state is not None and state.configuration_digest != NO_CONFIGURATION
            else None
        )

    def prepare(self, ballot: Ballot) -> bool:
        """Promise to accept nothing below a ballot; return False if a higher ballot is promised already.

        The record "vote" must be on disk before the promise is sent.
        """
        if ballot < self.promised:
            return False
        if ballot > self.promised:
            self.promised = ballot
            self.dirty_records.add("vote")
        return True

    def accept(self, ballot: Ballot, state: ControlState, compressed: bytes | None = None) -> bool:
        """Accept a state at a ballot; return False if a higher ballot is promised.

        The vote and the configuration must be on disk before the acceptance is sent.  A repeated request at
        the ballot that was accepted last changes nothing.

        Parameters
        ----------
        compressed
            The compressed configuration that came with the state, if any.

        Raises
        ------
        MissingConfigurationError
            The state's configuration is not held here, and `compressed` is None.  Nothing has changed then.
        """
        if ballot < self.promised:
            return False
        self.keep_configuration(state, compressed)
        if self.accepted is None or self.accepted[0] != ballot:
            self.promised, self.accepted = ballot, (ballot, state)
            self.dirty_records.add("vote")
        self.prune_configurations()
        return True

    def learn(self, ballot: Ballot, state: ControlState, compressed: bytes | None = None) -> bool:
        """Learn that a state was decided at a ballot; return whether it is newer than the one known here.

        A state of a lineage below the highest one known is not learned.  A decision at a ballot above the accepted
        one, or of a higher lineage, replaces the accepted state; the promise is raised to its ballot.  The record
        "decided" becomes dirty, and those of the vote and of configurations if they change.

        Parameters
        ----------
        compressed
            The compressed configuration that came with the state, if any.

        Raises
        ------
        MissingConfigurationError
            The state's configuration is not held here, and `compressed` is None.  Nothing has changed then.
        """
        if state.version <= self.version or lineage(state.version) < self.highest_lineage:
            return False
        self.keep_configuration(state, compressed)
        if self.state is not None:
            self.compute_delta(
                self.state.configuration_digest,
                state.configuration_digest,
                self.configurations.get(state.configuration_digest),
            )
        # After a disaster recovery a state accepted in the old lineage is void, even one at a higher ballot.
        recovered = lineage(state.version) > lineage(self.version)
        self.decided = (ballot, state)
        self.dirty_records.add("decided")
        if self.accepted is None or self.accepted[0] < ballot or recovered:
            self.accepted = (ballot, state)
            self.promised = max(self.promised, ballot)
            self.dirty_records.add("vote")
        self.prune_configurations()
        return True

    def keep_configuration(self, state: ControlState, compressed: bytes | None) -> None:
        """Keep the configuration that a state names, and mark its record as dirty.

        Raises
        ------
        MissingConfigurationError
            The configuration is not held here, and `compressed` is None.
        """
        if (
            state.configuration_digest == NO_CONFIGURATION
            or state.configuration_digest in self.configurations
        ):
            return
        if compressed is None:
            raise MissingConfigurationError(f"configuration {state.configuration_version} is not held here")
        self.configurations[state.configuration_digest] = compressed
        self.dirty_records.add(CONFIGURATION_RECORD_PREFIX + state.configuration_digest.hex())

    def prune_configurations(self) -> None:
        """Remove configurations that neither the accepted nor the decided state names, with their records."""
        named = {pair[1].configuration_digest for pair in (self.accepted, self.decided) if pair is not None}
        for digest in [digest for digest in self.configurations if digest not in named]:
            del self.configurations[digest]
            self.dirty_records.add(CONFIGURATION_RECORD_PREFIX + digest.hex())

    def compute_delta(self, base: bytes, digest: bytes, compressed: bytes | None) -> None:
        """Compute and keep the delta from a configuration that is held here to another one.

        Nothing is done if a delta to the other one is kept already, its bytes are unknown (`compressed` is
        None), or no delta can be made.
        """
        if compressed is None or digest in self.deltas or base == digest or base not in self.configurations:
            return
        with contextlib.suppress(DeltaError):
            self.keep_delta(base, digest, make_delta(self.configurations[base], compressed), compressed)

    def keep_delta(self, base: bytes, digest: bytes, delta: bytes, compressed: bytes) -> None:
        """Keep a delta, and remove the oldest ones if a path of all deltas would not be worth sending.

        At most `MAX_CHAINED_DELTAS` are kept.  Together they are no larger than the complete configuration
        `compressed` that they lead to, nor than `MAX_KEPT_DELTA_BYTES`.
        """
        self.deltas.pop(digest, None)
        self.deltas[digest] = (base, delta)
        left = min(MAX_KEPT_DELTA_BYTES, len(compressed))
        for n, old in enumerate(reversed(list(self.deltas))):
            left -= len(self.deltas[old][1])
            if left < 0 or n >= MAX_CHAINED_DELTAS:
                del self.deltas[old]

    def configuration_payload(self, digest: bytes, known: KnownConfiguration) -> ConfigurationPayload:
        """Return the payload by which a node receives a configuration that is held here.

        The payload is a path of deltas from the configuration that the node holds, if the node accepts
        deltas and the path is smaller than the complete configuration.  Otherwise it is the complete
        configuration.
        """
        bases = [known.digest] if known.accepts_deltas else []
        path = self.delta_path(bases, digest, self.configurations[digest])
        return FullConfiguration(self.configurations[digest]) if path is None else path

    def open_payload(self, payload: ConfigurationPayload | None, digest: bytes) -> bytes | None:
        """Return the compressed configuration of a payload.

        The result is None if there is no payload, if its deltas cannot be applied here, or if it
        consists of deltas to a configuration that is held here already.
        """
        if isinstance(payload, FullConfiguration):
            return payload.compressed
        if payload is None or digest in self.configurations:
            return None
        return self.follow_delta_path(payload, digest)

    def delta_path(self, holds: Iterable[bytes], digest: bytes, compressed: bytes) -> DeltaPath | None:
        """Return the deltas that lead from one of the configurations a node holds to another one.

        The result is None if the kept deltas do not reach back to a configuration that the node holds, or
        if the complete configuration `compressed` is small (`MIN_BYTES_FOR_DELTA`) or no larger than the
        deltas with their digests.
        """
        if len(compressed) <= MIN_BYTES_FOR_DELTA:
            return None
        known, steps, left, at = set(holds) - {NO_CONFIGURATION}, list[DeltaStep](), len(compressed), digest
        while at not in known and at in self.deltas and len(steps) < MAX_CHAINED_DELTAS:
            before, delta = self.deltas[at]
            steps.insert(0, DeltaStep(at, delta))
            left, at = left - len(delta) - len(at), before
            if left <= 0:
                return None
        return DeltaPath(at, tuple(steps)) if at in known and steps else None

    def follow_delta_path(self, path: DeltaPath, digest: bytes) -> bytes | None:
        """Return the compressed configuration `digest` to which a path of deltas leads; None if it does not.

        The deltas are kept, so that this node can send them on.
        """
        base, steps = path.base_digest, path.steps
        if base not in self.configurations or not steps or steps[-1].digest != digest:
            return None
        try:
            compressed = apply_deltas(self.configurations[base], [delta for _, delta in steps], digest)
        except (DeltaError, ValueError, TypeError, LookupError):
            return None
        for at, delta in steps:
            if at not in self.deltas:
                self.keep_delta(base, at, delta, compressed)
            base = at
        return compressed

    def take_dirty_records(self) -> dict[str, bytes | None]:
        """Return the records to be written, by name, and clear their dirty marks.

        They must be written atomically.  The value None stands for a record to be removed.  If the save
        fails, the caller passes them to :meth:`restore_dirty_records`.
        """
        found: dict[str, bytes | None] = {}
        for name in sorted(self.dirty_records):
            if name == "disk":
                found[name] = cbor2.dumps([self.disk_id, self.may_bootstrap])
            elif name == "vote":
                accepted = [list(self.accepted[0]), self.accepted[1].encode()] if self.accepted else None
                found[name] = cbor2.dumps([list(self.promised), accepted])
            elif name == "decided" and self.decided is not None:
                found[name] = cbor2.dumps([list(self.decided[0]), self.decided[1].encode()])
            elif name.startswith(CONFIGURATION_RECORD_PREFIX):
                compressed = self.configurations.get(bytes.fromhex(name[len(CONFIGURATION_RECORD_PREFIX) :]))
                if compressed is not None or name in self.stored_records:
                    found[name] = compressed
        self.dirty_records.clear()
        self.stored_records |= found.keys()
        self.stored_records -= {name for name, body in found.items() if body is None}
        return found

    def restore_dirty_records(self, records: Mapping[str, bytes | None]) -> None:
        """Mark the records of a failed save as dirty again.

        Records that the failed save was to remove count as stored again, so that the next save removes them.
        """
        self.dirty_records |= records.keys()
        self.stored_records |= records.keys()


def load_acceptor(records: Mapping[str, bytes], new_disk_id: int, first_start: bool) -> Acceptor:
    """Return the acceptor that a disk's records describe.

    Parameters
    ----------
    records
        All records of the disk, by name.  A disk without the record "disk" counts as empty.
    new_disk_id
        The number that an empty disk gets.
    first_start
        Whether this is the first start of the fleet: only then may an empty disk vote in the bootstrap.

    Raises
    ------
    ValueError
        The records cannot be read, or a state names a configuration that has no record.
    """
    if "disk" not in records:
        made = Acceptor(new_disk_id, first_start)
        made.dirty_records.add("disk")
        return made
    disk_id, may_bootstrap = cbor2.loads(records["disk"])
    found = Acceptor(disk_id, may_bootstrap)
    for name, body in records.items():
        if name.startswith(CONFIGURATION_RECORD_PREFIX):
            found.configurations[bytes.fromhex(name[len(CONFIGURATION_RECORD_PREFIX) :])] = body
            found.stored_records.add(name)
    if "vote" in records:
        promised, accepted = cbor2.loads(records["vote"])
        found.promised = decode_ballot(promised)
        found.accepted = (decode_ballot(accepted[0]), decode_state(accepted[1])) if accepted else None
    if "decided" in records:
        ballot, row = cbor2.loads(records["decided"])
        found.decided = (decode_ballot(ballot), decode_state(row))
    for pair in (found.accepted, found.decided):
        if (
            pair is not None
            and pair[1].configuration_digest != NO_CONFIGURATION
            and pair[1].configuration_digest not in found.configurations
        ):
            raise ValueError(
                f"configuration {pair[1].configuration_version} is named by a state but has no record"
            )
    found.prune_configurations()
    return found
