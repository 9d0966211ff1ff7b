"""The state that a proposer keeps of the round that it leads."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.consensus.control_state import Ballot, ControlState, Voter

LONG_AGO = -1e9  # seconds of the monotonic clock: before every time that it can show


@dataclass(slots=True)
class Round:
    """One round of one proposer, at one ballot.

    Its first phase needs promises of a read quorum, so many members that any majority includes one of them.  Its
    second phase needs acceptances of a majority.  Members are named by their addresses; times are in seconds of the
    node's clock.
    """

    ballot: Ballot
    base: ControlState  # the newest state that the proposer knew as decided when the round began
    # The state at the highest ballot: at first the decided one, then the accepted one that a promise reports above it.
    highest_accepted: tuple[Ballot, ControlState]
    promises: dict[str, Voter] = field(default_factory=dict)  # the voters that have promised
    acceptances: dict[str, Voter] = field(default_factory=dict)  # the voters that have accepted `value`
    rejections: set[str] = field(default_factory=set)  # members that have refused in this phase for good
    # Digests of the configurations that a member holds, as far as it has reported them.
    known_digests: dict[str, list[bytes]] = field(default_factory=dict)
    sent_at: dict[str, float] = field(default_factory=dict)  # when a member was last asked in this phase
    # When a member was last sent the complete configuration.
    payload_sent_at: dict[str, float] = field(default_factory=dict)
    # Compressed configurations by digest: those that came with promises, and that of `value`.
    configurations: dict[bytes, bytes] = field(default_factory=dict)
    value: ControlState | None = None  # the state that members are asked to accept; None in the first phase
    started_at: float = 0.0
    phase_started_at: float = 0.0
    without_deltas: bool = False  # a configuration was missing: deltas are not asked for any more
    # Members that answered their last request by letting another round go first.
    deferred_by: set[str] = field(default_factory=set)
    contended: bool = False  # some member has let another proposer's round go first in this phase
    rival_wait: float = 0.0  # seconds that a round which outbid this one may still take

    def start_accept_phase(self, now: float, value: ControlState) -> None:
        """Begin the second phase, in which members are asked to accept `value`, once read quorums have promised."""
        self.value, self.sent_at, self.rejections = value, {}, set()
        self.phase_started_at, self.deferred_by, self.contended = now, set(), False
