"""Transfer of the control state: requests for a newer state, and the states sent to nodes that lack them."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import NO_CONFIGURATION
from hazelspring.consensus.messages import Decision, KnownConfiguration, StateRequest
from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.sent_request import NOT_SENT, SentRequest


class StateTransfer:
    """Creates requests for newer states and the decisions that answer the requests of other nodes."""

    def __init__(self, peers: PeerTable, acceptor: Acceptor) -> None:
        self.peers, self.acceptor = peers, acceptor
        self.last_request = NOT_SENT

    def next_source(self, now: float) -> str | None:
        """Return the address of the node from which to request a newer state now.

        Returns None if no node has reported a newer state, or while the last request has not timed out.  The
        first request goes to the nearest live node; each request after a time-out goes to the next live
        node, in rotation.
        """
        holders = self.peers.nodes_above_version(self.acceptor.version)
        last = self.last_request
        if not holders or not last.is_due(now):
            return None
        alive = self.peers.alive_or_all(now, holders)
        self.last_request = SentRequest(now, last.count + 1)
        return alive[last.count % len(alive)]

    def on_state(self) -> None:
        """Record that a state has arrived, so that a newer one may be requested immediately."""
        self.last_request = SentRequest(count=self.last_request.count)

    def make_request(self, complete: bool) -> StateRequest:
        """Return a request for the state in force.

        If `complete` is True, the reply must include the complete configuration and not deltas.
        """
        state = self.acceptor.state
        digest = state.configuration_digest if state is not None else NO_CONFIGURATION
        return StateRequest(self.acceptor.version, KnownConfiguration(digest, not complete))

    def make_decision(self, known: KnownConfiguration) -> Decision | None:
        """Return the state in force at this node, with its configuration unless the recipient holds it.

        Returns None before the bootstrap, and once a higher lineage is known, which supersedes this node's
        state.
        """
        if self.acceptor.decided is None or self.acceptor.version <= 0 or self.acceptor.is_superseded():
            return None
        ballot, state = self.acceptor.decided
        payload = None
        if state.configuration_digest not in (NO_CONFIGURATION, known.digest):
            payload = self.acceptor.configuration_payload(state.configuration_digest, known)
        return Decision(ballot, state, payload)
