"""What must hold at a node while the core is whole; violations are counted by name, once each time one begins.

- `list_read`: a holder of the list reader's lease has read the platform's list of late, or has handed the lease on.
- `list_known`: all that the platform's list showed `drain_cutoff` and a little before is known here.

A node is in touch once every member of the core has answered it for `in_touch` seconds, in one incarnation and from
the disk that is the member: a member that ends may have been the list reader, and its lease has to end first.  Where
the platform answers nobody, `list_known` is violated too, as requests then go by a list that is too old.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import InvariantViolated
from hazelspring.node.heartbeats import NEAR_INTERVAL, Heartbeats
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.list_reader_role import LIST_READER, ListReaderRole

LIST_READ = "list_read"
LIST_KNOWN = "list_known"

NEVER = -math.inf

# Seconds, each for two heartbeats and a round trip.
HANDOVER_TIME = 1.0  # more that a holder may take to hand the list reader's lease on
CONFIRMATION_TIME = 1.0  # more until a node is told that its list is up to date


@dataclass(slots=True, frozen=True)
class InvariantBounds:
    """Bounds from the settings, in seconds.

    Attributes
    ----------
    drain_cutoff
        How old a node's knowledge of the platform's list may be.
    in_touch
        For how long the whole core must have answered a node before it has to know the list.
    """

    drain_cutoff: float = 3.0
    in_touch: float = 4.0


class Invariants:
    """Checks the invariants of one node.

    Attributes
    ----------
    violations
        How often each invariant has ceased to hold, by name.
    violated
        Names of the invariants that do not hold now.
    core_responsive_since
        Since when the whole core answers, all members in the same incarnations.
    incarnations
        Address and incarnation of each member at the last check.
    """

    def __init__(
        self,
        now: float,
        bounds: InvariantBounds,
        peers: PeerTable,
        *,
        heartbeats: Heartbeats,
        list_reader_role: ListReaderRole,
        freshness: ListFreshness,
    ) -> None:
        """`now`: seconds of the node's clock."""
        self.bounds = bounds
        self.peers = peers
        self.heartbeats = heartbeats
        self.list_reader_role = list_reader_role
        self.freshness = freshness
        self.violations: Counter[str] = Counter()
        self.violated: set[str] = set()
        self.checked_at = NEVER
        self.core_responsive_since = now
        self.incarnations: tuple[tuple[str, int], ...] = ()

    def check(self, now: float) -> list[InvariantViolated]:
        """Return what has ceased to hold since the last check; it is made as often as heartbeats tell anything new."""
        if now - self.checked_at < NEAR_INTERVAL:
            return []
        self.checked_at = now
        self._check_core(now)
        violated = set()
        if not self._list_is_read(now):
            violated.add(LIST_READ)
        if not self._list_is_known(now):
            violated.add(LIST_KNOWN)
        new = sorted(violated - self.violated)
        self.violated = violated
        self.violations.update(new)
        return [InvariantViolated(name) for name in new]

    def in_touch(self, now: float) -> bool:
        """Return whether the whole core has answered long enough for this node to be bound to know the list."""
        return now - self.core_responsive_since >= self.bounds.in_touch

    def _check_core(self, now: float) -> None:
        """Start the time in touch anew where a member does not answer, or has started anew."""
        core = self.peers.core_nodes
        incarnations = tuple((ip, self._incarnation(ip)) for ip in core)
        whole = self.peers.core_agreed and all(
            self.heartbeats.is_responsive(now, ip) and self.peers.holds_membership(ip) for ip in core
        )
        if not whole or incarnations != self.incarnations:
            self.core_responsive_since = now
        self.incarnations = incarnations

    def _incarnation(self, ip: str) -> int:
        """Return the incarnation of a member, as heard from itself or else as it is listed."""
        peer = self.peers.peers.get(ip)
        return peer.info.incarnation if peer is not None else self.peers.core_nodes[ip].incarnation

    def _list_is_read(self, now: float) -> bool:
        """Return whether the list was read in time, or no other node would take the lease on."""
        role = self.list_reader_role
        if role.time_without_read(now) <= role.timing.overdue + HANDOVER_TIME:
            return True
        return not role.roles.others_willing(now, LIST_READER)

    def _list_is_known(self, now: float) -> bool:
        """Return whether the list is known here as of late enough, where the core has told of it for long enough."""
        if not self.in_touch(now):
            return True
        return self.freshness.age(now) <= self.bounds.drain_cutoff + CONFIRMATION_TIME
