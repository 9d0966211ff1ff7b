"""What must hold at a node that is in touch with the core; violations are counted by name, once each time one begins.

- `list_read`: a holder of the list reader's lease has read the platform's list of late, or has handed the lease on.
- `list_known`: all that the platform's list showed `drain_cutoff` before is known here.
- `roster_known`: the roster is that of a member of the core of late, so that no machine is named to clients that has
  been off for `in_touch` and `NAMED_AFTER_IN_TOUCH`.

A node is in touch once the same members of the core, more than half of it, have answered it for `in_touch` seconds,
each in one incarnation and from the disk that is the member.  A member that stays away is no excuse.  Where the
platform answers nobody, `list_known` is violated too, as requests then go by a list that is too old.
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

NEVER = -math.inf

# Seconds more that a holder may take to hand the list reader's lease on: two heartbeats and a round trip.
HANDOVER_TIME = 1.0
# Seconds beyond `in_touch` after which no machine that is off may be named to clients.
NAMED_AFTER_IN_TOUCH = 3.0
# Seconds that a roster may be old whatever the settings: two heartbeats and a round trip.
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
        """How old a node's roster may be: what a machine's silence leaves of the time for which it may be named."""
        return max(MIN_ROSTER_AGE, self.in_touch + NAMED_AFTER_IN_TOUCH - FAR_ROSTER_TIMEOUT)


class Invariants:
    """Checks the invariants of one node.

    Attributes
    ----------
    violations
        How often each invariant has ceased to hold, by name.
    violated
        Names of the invariants that do not hold now.
    core_unchanged_since
        Since when the same members answer, more than half of the core.
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
        """`now`: seconds of the node's clock."""
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
        if not self._roster_is_known(now):
            violated.add(ROSTER_KNOWN)
        new = sorted(violated - self.violated)
        self.violated = violated
        self.violations.update(new)
        return [InvariantViolated(name) for name in new]

    def in_touch(self, now: float) -> bool:
        """Return whether the core has answered long enough for this node to be bound by its invariants."""
        return now - self.core_unchanged_since >= self.bounds.in_touch

    def _check_core(self, now: float) -> None:
        """Start the time in touch anew where other members answer than before, too few, or those of an old core."""
        core = self.peers.core_nodes
        responsive = tuple(
            (ip, self._incarnation(ip))
            for ip in core
            if self.heartbeats.is_responsive(now, ip) and self.peers.holds_membership(ip)
        )
        superseded = self.heartbeats.control.acceptor.is_superseded()  # by a core that was recovered by hand
        settled = self.peers.core_agreed and not superseded and len(responsive) > len(core) // 2
        if not settled or responsive != self.responsive:
            self.core_unchanged_since = now
        self.responsive = responsive

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
        return self.freshness.age(now) <= self.bounds.drain_cutoff

    def _roster_is_known(self, now: float) -> bool:
        """Return whether the roster is as new as it must be, where the core has told of it for long enough."""
        return not self.in_touch(now) or now - self.peers.roster_confirmed_at <= self.bounds.roster_age
