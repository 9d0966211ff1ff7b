"""Messages between proposers, acceptors and learners of the control state, and the payloads that they carry.

The short keys of their fields on the wire are defined in the codec modules of `hazelspring.node`.
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
class KnownConfiguration:
    """The configuration that the sender of a request knows already.

    Attributes
    ----------
    digest
        The configuration's digest; ``NO_CONFIGURATION`` if the sender knows none.
    accepts_deltas
        Whether a newer configuration may be sent to it as a path of deltas from this one.
    """

    digest: bytes = NO_CONFIGURATION
    accepts_deltas: bool = False


KNOWS_NOTHING = KnownConfiguration()


class DeltaStep(NamedTuple):
    """One step of a path of deltas: the digest of the configuration that it leads to, and the delta."""

    digest: bytes
    delta: bytes


@dataclass(slots=True, frozen=True)
class FullConfiguration:
    """A complete configuration, compressed."""

    compressed: bytes


@dataclass(slots=True, frozen=True)
class DeltaPath:
    """A path of deltas from a configuration that the recipient holds, with the digest `base_digest`, to a newer one."""

    base_digest: bytes
    steps: tuple[DeltaStep, ...]


ConfigurationPayload = FullConfiguration | DeltaPath


@dataclass(slots=True, frozen=True)
class Prepare:
    """Requests a member's promise to accept nothing below a ballot.

    Attributes
    ----------
    ballot
        The ballot of the proposer's round.
    base_version
        The version of the decided state from which the round starts.
    known
        The configuration that the proposer knows; the promise need not include it.
    """

    ballot: Ballot
    base_version: int
    known: KnownConfiguration


@dataclass(slots=True, frozen=True)
class Promise:
    """Answers `Prepare`: the sender has promised, and its promise is on its disk.

    Attributes
    ----------
    ballot
        The promised ballot.
    voter
        The disk that promises.
    known_digests
        Digests of the configurations that the member knows; an `Accept` need not include these.
    accepted
        The state that the member accepted last; None if it has accepted none.
    payload
        The configuration of `accepted`, if that may be new to the proposer.
    """

    ballot: Ballot
    voter: Voter
    known_digests: tuple[bytes, ...]
    accepted: AcceptedState | None
    payload: ConfigurationPayload | None = None


@dataclass(slots=True, frozen=True)
class Accept:
    """Requests that a member accept a state at a ballot.

    Attributes
    ----------
    ballot
        The ballot of the proposer's round.
    base_version
        The version of the decided state from which the round started.
    state
        The state to accept.
    payload
        The state's configuration; None if there is none, or the member is believed to hold it or to receive
        it soon.
    """

    ballot: Ballot
    base_version: int
    state: ControlState
    payload: ConfigurationPayload | None = None


@dataclass(slots=True, frozen=True)
class Accepted:
    """Answers `Accept`: the state and its configuration are on the disk `voter` of the sender."""

    ballot: Ballot
    voter: Voter


@dataclass(slots=True, frozen=True)
class Rejected:
    """Refuses a `Prepare` or an `Accept`.

    Attributes
    ----------
    ballot
        The ballot that is refused.
    promised
        The highest ballot that the sender has promised.
    wait_ms
        Milliseconds for which the sender may still give priority to another proposer's round.  A `Prepare`
        that is refused only because a higher ballot is promised gets 0; an `Accept` refused for that reason
        gets the time that the other round has left, or 0 if no other round is admitted.
    of_accept
        Whether an `Accept` is refused, rather than a `Prepare`.
    """

    ballot: Ballot
    promised: Ballot
    wait_ms: int
    of_accept: bool


@dataclass(slots=True, frozen=True)
class RoundEnded:
    """Notifies a member that a round has ended without a decision, so that it admits other rounds again."""

    ballot: Ballot


@dataclass(slots=True, frozen=True)
class ConfigurationMissing:
    """Answers an `Accept` whose state's configuration the recipient neither holds nor could read from the payload."""

    ballot: Ballot


@dataclass(slots=True, frozen=True)
class ForwardedChange:
    """An operator's proposal, as forwarded: a configuration, or a zone's evacuation or reopening.

    The fields are those of :class:`~hazelspring.consensus.proposal.Proposal` of the same names.
    """

    kind: str
    configuration_version: int
    configuration_digest: bytes
    configuration: bytes | None
    zone: str
    evacuate: bool


@dataclass(slots=True, frozen=True)
class ProposalsForwarded:
    """Forwards operators' proposals to be included in the recipient's next round.

    `version` is the decided version at the sender; the proposals may be applied to that version and the next one.
    """

    version: int
    changes: tuple[ForwardedChange, ...]


@dataclass(slots=True, frozen=True)
class StateRequest:
    """Requests the recipient's decided state if it is newer than the sender's, which is `version`."""

    version: int
    known: KnownConfiguration


@dataclass(slots=True, frozen=True)
class Decision:
    """Notifies a node that a state was decided at a ballot.

    `payload` is the state's configuration; None if the recipient is believed to hold it, or there is none.
    """

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
    """A message and its recipient."""

    to: str  # the node's address
    message: ConsensusMessage
