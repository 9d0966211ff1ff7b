"""Invariants of a node that is in stable contact with the core.

A violation is counted by the name of the invariant, once each time it begins.

- `list_read`: if this node holds the list reader's lease, it has recently read the platform's list or passed
  the lease on.
- `list_known`: this node knows all that the platform's list contained `drain_cutoff` ago.
- `roster_known`: this node has recently had the same roster as a member of the core.  So clients get no
  address of a machine that has been off for longer than `in_touch` and `STALE_ADDRESS_GRACE` together.

A node is in stable contact once the same members of the core, more than half of it, have answered it for
`in_touch` seconds, each in one incarnation and from the disk that is the member.  The invariants must hold
even if the other members do not answer.  If the platform answers no node, `list_known` is violated too, as
requests are then routed by a list that is too old.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.timeouts import FAR_ROSTER_TIMEOUT
from hazelspring.node.actions import InvariantViolated
from hazelspring.node.heartbeats import NEAR_INTERVAL, Heartbeats
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.list_reader_role import LIST_READER, ListReaderRole

LIST_READ = "list_read"
LIST_KNOWN = "list_known"
ROSTER_KNOWN = "roster_known"

# Seconds between two checks from which on the process stood still in between; they are made each `NEAR_INTERVAL`.
STANDSTILL_TIME = 1.0
NEVER = -math.inf

# Seconds more that a holder may take to pass the list reader's lease on: two heartbeats and a round trip.
HANDOVER_TIME = 1.0
# Seconds beyond `in_touch` for which a machine that is off may still be named to clients.
STALE_ADDRESS_GRACE = 3.0
# Seconds that a roster may be old under any settings: two heartbeats and a round trip.
MIN_ROSTER_AGE = 1.0


@dataclass(slots=True, frozen=True)
class InvariantBounds:
    """Bounds from the settings, in seconds.

    Attributes
    ----------
    drain_cutoff
        How old a node's knowledge of the platform's list may be.
    in_touch
        For how long the core must have answered a node before it has to know the list and the roster.
    """

    drain_cutoff: float = 3.0
    in_touch: float = 4.0

    @property
    def roster_age(self) -> float:
        """Maximum age of a node's roster, in seconds.

        It is the time for which a machine that is off may be named to clients, minus the time until the core
        removes the machine from the roster.
        """
        return max(MIN_ROSTER_AGE, self.in_touch + STALE_ADDRESS_GRACE - FAR_ROSTER_TIMEOUT)


class Invariants:
    """Checks the invariants of one node.

    Attributes
    ----------
    violations
        Number of violations of each invariant that have begun, by name.
    violated
        Names of the invariants that are currently violated.
    core_unchanged_since
        Time since which the same members, more than half of the core, have answered this node.
    responsive
        Address and incarnation of each member that answered at the last check.
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
        """`now` is in seconds of the node's steady clock."""
        self.bounds = bounds
        self.peers = peers
        self.heartbeats = heartbeats
        self.list_reader_role = list_reader_role
        self.freshness = freshness
        self.violations: Counter[str] = Counter()
        self.violated: set[str] = set()
        self.checked_at = NEVER
        self.core_unchanged_since = now
        self.responsive: tuple[tuple[str, int], ...] = ()

    def check(self, now: float) -> list[InvariantViolated]:
        """Return the violations that have begun since the last check.

        Checks are made at the interval of heartbeats, as more frequent ones would find nothing new.
        """
        if now - self.checked_at < NEAR_INTERVAL:
            return []
        if now - self.checked_at > STANDSTILL_TIME:
            # What this node knows is older than its contact with the core seems.
            self.core_unchanged_since = now
        self.checked_at = now
        self._check_core(now)
        violated = set()
        if not self._list_is_read(now):
            violated.add(LIST_READ)
        if not self._list_is_known(now):
            violated.add(LIST_KNOWN)
        if not self._roster_is_known(now):
            violated.add(ROSTER_KNOWN)
        new = sorted(violated - self.violated)
        self.violated = violated
        self.violations.update(new)
        return [InvariantViolated(name) for name in new]

    def contact_is_stable(self, now: float) -> bool:
        """Return whether the core has answered for long enough that this node's invariants must hold."""
        return now - self.core_unchanged_since >= self.bounds.in_touch

    def _check_core(self, now: float) -> None:
        """Restart the time of stable contact if the members that answer change or are too few.

        It also restarts while the core is superseded.
        """
        core = self.peers.core_nodes
        responsive = tuple(
            (ip, self._incarnation(ip))
            for ip in core
            if self.heartbeats.is_responsive(now, ip) and self.peers.has_member_disk(ip)
        )
        superseded = self.heartbeats.control.acceptor.is_superseded()  # by a manually recovered core
        has_majority = self.peers.core_agreed and not superseded and len(responsive) > len(core) // 2
        if not has_majority or responsive != self.responsive:
            self.core_unchanged_since = now
        self.responsive = responsive

    def _incarnation(self, ip: str) -> int:
        """Return the incarnation of a member, as it reported itself or else as listed in the core."""
        peer = self.peers.peers.get(ip)
        return peer.info.incarnation if peer is not None else self.peers.core_nodes[ip].incarnation

    def _list_is_read(self, now: float) -> bool:
        """Return whether the list was read in time, or no other node is willing to take the lease."""
        role = self.list_reader_role
        if role.time_without_read(now) <= role.timing.overdue + HANDOVER_TIME:
            return True
        return not role.roles.others_willing(now, LIST_READER)

    def _list_is_known(self, now: float) -> bool:
        """Return whether this node knows a recent enough list; always True without stable contact."""
        if not self.contact_is_stable(now):
            return True
        return self.freshness.age(now) <= self.bounds.drain_cutoff

    def _roster_is_known(self, now: float) -> bool:
        """Return whether this node's roster is recent enough; always True without stable contact."""
        return (
            not self.contact_is_stable(now) or now - self.peers.roster_confirmed_at <= self.bounds.roster_age
        )
