"""The state of the round that a proposer leads."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.consensus.control_state import Ballot, ControlState, Voter

LONG_AGO = -1e9  # seconds of the monotonic clock: earlier than any time that the clock shows


@dataclass(slots=True)
class Round:
    """One round of one proposer, at one ballot.

    The first phase needs promises of a read quorum: enough members that any majority includes one of them.
    The second phase needs acceptances of a majority.  Members are identified by their addresses; times are
    in seconds of the node's clock.
    """

    ballot: Ballot
    base: ControlState  # the newest state that the proposer knew as decided when the round began
    # The state at the highest ballot known: first the decided state, later an accepted one that a promise
    # has reported.
    highest_accepted: tuple[Ballot, ControlState]
    promises: dict[str, Voter] = field(default_factory=dict)  # the voters that have promised
    acceptances: dict[str, Voter] = field(default_factory=dict)  # the voters that have accepted `value`
    rejections: set[str] = field(default_factory=set)  # members whose refusal is final for this phase
    # Digests of the configurations that a member knows, as far as it has reported them.
    known_digests: dict[str, list[bytes]] = field(default_factory=dict)
    # When a member was last sent a request in this phase.
    sent_at: dict[str, float] = field(default_factory=dict)
    # When a member was last sent the complete configuration.
    payload_sent_at: dict[str, float] = field(default_factory=dict)
    # Compressed configurations by digest: those that came with promises, and that of `value`.
    configurations: dict[bytes, bytes] = field(default_factory=dict)
    value: ControlState | None = None  # the state to accept in the second phase; None in the first phase
    # Tokens of the proposer's own proposals from which `value` was made; empty if it completes another round.
    proposed_tokens: frozenset[int] = frozenset()
    started_at: float = 0.0
    phase_started_at: float = 0.0
    without_deltas: bool = False  # a configuration was missing: deltas are no longer requested
    # Members that answered their last request by giving priority to another round.
    deferred_by: set[str] = field(default_factory=set)
    contended: bool = False  # a member has given priority to another proposer's round in this phase
    rival_wait: float = 0.0  # seconds that a competing round at a higher ballot may still take

    def start_accept_phase(self, now: float, value: ControlState) -> None:
        """Begin the second phase, in which members are to accept `value`; read quorums have promised."""
        self.value, self.sent_at, self.rejections = value, {}, set()
        self.phase_started_at, self.deferred_by, self.contended = now, set(), False
