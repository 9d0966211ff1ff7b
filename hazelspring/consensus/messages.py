"""Messages of the agreement on the control state, and what they carry.

The short keys that they have on the wire are known to `hazelspring.node.codec` alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from hazelspring.consensus.control_state import NO_CONFIGURATION, Ballot, ControlState, Voter


class AcceptedState(NamedTuple):
    """A state, and the ballot at which it was accepted or decided."""

    ballot: Ballot
    state: ControlState


@dataclass(slots=True, frozen=True)
class HeldConfiguration:
    """Which configuration a sender has, and whether it takes a newer one as a path of deltas from that."""

    digest: bytes = NO_CONFIGURATION
    accepts_deltas: bool = False


HOLDS_NOTHING = HeldConfiguration()


class DeltaStep(NamedTuple):
    """One step of a path: the digest that it leads to, and the delta."""

    digest: bytes
    delta: bytes


@dataclass(slots=True, frozen=True)
class FullConfiguration:
    """A whole configuration, packed."""

    packed: bytes


@dataclass(slots=True, frozen=True)
class DeltaPath:
    """Deltas that lead from a configuration that the recipient holds to a newer one."""

    base_digest: bytes
    steps: tuple[DeltaStep, ...]


ConfigurationPayload = FullConfiguration | DeltaPath


@dataclass(slots=True, frozen=True)
class Prepare:
    """Asks for a promise to accept nothing below a ballot; `base_version` is the version that the round follows."""

    ballot: Ballot
    base_version: int
    held: HeldConfiguration


@dataclass(slots=True, frozen=True)
class Promise:
    """Answers `Prepare`: what its sender accepted last, with the configuration where that may be new to the asker."""

    ballot: Ballot
    voter: Voter
    held_digests: tuple[bytes, ...]
    accepted: AcceptedState | None
    payload: ConfigurationPayload | None = None


@dataclass(slots=True, frozen=True)
class Accept:
    """Asks to accept a state at a ballot."""

    ballot: Ballot
    base_version: int
    state: ControlState
    payload: ConfigurationPayload | None = None


@dataclass(slots=True, frozen=True)
class Accepted:
    """Answers `Accept`: the state is on the sender's disk."""

    ballot: Ballot
    voter: Voter


@dataclass(slots=True, frozen=True)
class Rejected:
    """Refuses a `Prepare` or an `Accept`.

    `wait_ms` is how many milliseconds another round may go first; 0 where a higher ballot is promised.
    """

    ballot: Ballot
    promised: Ballot
    wait_ms: int
    of_accept: bool


@dataclass(slots=True, frozen=True)
class RoundEnded:
    """A round is over, so that nobody need wait for it."""

    ballot: Ballot


@dataclass(slots=True, frozen=True)
class ConfigurationMissing:
    """The state of an `Accept` names a configuration whose bytes its recipient has not got."""

    ballot: Ballot


@dataclass(slots=True, frozen=True)
class ForwardedChange:
    """One operator's change as one node forwards it to another: a configuration, or a zone's evacuation."""

    kind: str
    configuration_version: int
    configuration_digest: bytes
    configuration: bytes | None
    zone: str
    evacuate: bool


@dataclass(slots=True, frozen=True)
class ProposalsForwarded:
    """Operators' changes for the recipient's round; `version` is the one in force at the sender."""

    version: int
    changes: tuple[ForwardedChange, ...]


@dataclass(slots=True, frozen=True)
class StateRequest:
    """Asks for the state in force where that is newer than `version`."""

    version: int
    held: HeldConfiguration


@dataclass(slots=True, frozen=True)
class Decision:
    """A decided state."""

    ballot: Ballot
    state: ControlState
    payload: ConfigurationPayload | None = None


ConsensusMessage = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | RoundEnded
    | ConfigurationMissing
    | ProposalsForwarded
    | StateRequest
    | Decision
)


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message of the agreement to a node."""

    to: str  # its address
    message: ConsensusMessage
