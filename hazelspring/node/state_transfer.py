"""State transfer: how a node gets the state in force from others, and what it sends to those that lack it."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import NO_CONFIGURATION
from hazelspring.consensus.messages import Decision, HeldConfiguration, StateRequest
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.sent_request import NOT_SENT, SentRequest


class StateTransfer:
    """Makes the requests for newer states, and the replies to those of other nodes."""

    def __init__(self, peers: PeerTable, acceptor: Acceptor) -> None:
        self.peers, self.acceptor = peers, acceptor
        self.last_request = NOT_SENT

    def next_source(self, now: float) -> str | None:
        """Return the node of which to request a newer state now.

        None where no node reported one, or while the last request still has time left.  The nearest node that is alive
        comes first; where it did not answer in time, the next one is asked, in turn.
        """
        holders = self.peers.nodes_above_version(self.acceptor.version)
        last = self.last_request
        if not holders or not last.is_due(now):
            return None
        alive = self.peers.alive_or_all(now, holders)
        self.last_request = SentRequest(now, last.count + 1)
        return alive[last.count % len(alive)]

    def on_state(self) -> None:
        """Record that a state has come, so that a newer one may be requested at once."""
        self.last_request = SentRequest(count=self.last_request.count)

    def make_request(self, whole: bool) -> StateRequest:
        """Return a request for the state in force; `whole`: its configuration is to come complete, not as deltas."""
        state = self.acceptor.state
        digest = state.configuration_digest if state is not None else NO_CONFIGURATION
        return StateRequest(self.acceptor.version, HeldConfiguration(digest, not whole))

    def make_decision(self, held: HeldConfiguration) -> Decision | None:
        """Return the state in force here, with its configuration where that is not the one held by the recipient.

        None before the bootstrap, and once a higher lineage is known, which supersedes the state here.
        """
        if self.acceptor.decided is None or self.acceptor.version <= 0 or self.acceptor.is_superseded():
            return None
        ballot, state = self.acceptor.decided
        payload = None
        if state.configuration_digest not in (NO_CONFIGURATION, held.digest):
            payload = self.acceptor.configuration_payload(state.configuration_digest, held)
        return Decision(ballot, state, payload)
