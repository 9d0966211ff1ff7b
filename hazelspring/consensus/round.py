"""What one node keeps of one round of the agreement that it leads."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.consensus.control_state import Ballot, ControlState, Voter

LONG_AGO = -1e9  # seconds of the steady clock: before anything that is timed by it


@dataclass(slots=True)
class Round:
    """One ballot of one node.

    It needs promises of so many members that any majority has one of them, then acceptances of a majority.
    """

    ballot: Ballot
    base: ControlState  # the newest decided state that its node knows
    highest_accepted: tuple[Ballot, ControlState]  # the highest that was accepted, of those who promised
    promises: dict[str, Voter] = field(default_factory=dict)  # voters by address
    acceptances: dict[str, Voter] = field(default_factory=dict)
    rejections: set[str] = field(default_factory=set)
    known_digests: dict[str, list[bytes]] = field(default_factory=dict)  # configurations that a member holds
    sent_at: dict[str, float] = field(default_factory=dict)  # when a member was last asked
    payload_sent_at: dict[str, float] = field(
        default_factory=dict
    )  # when it was sent the configuration's bytes
    configurations: dict[bytes, bytes] = field(default_factory=dict)  # packed, that came with promises
    value: ControlState | None = None  # what members are asked to accept; None while promises are awaited
    started_at: float = 0.0
    phase_started_at: float = 0.0
    without_deltas: bool = False  # a configuration came with a promise as deltas that lead nowhere here
    deferred_by: set[str] = field(default_factory=set)  # members that said so to what they were last asked
    contended: bool = False  # a member lets another round go first
    rival_wait: float = 0.0  # seconds for which a round that outbid this one may take

    def start_accept_phase(self, now: float, value: ControlState) -> None:
        """Enough members have promised: from now on they are asked to accept a state."""
        self.value, self.sent_at, self.rejections = value, {}, set()
        self.phase_started_at, self.deferred_by, self.contended = now, set(), False
