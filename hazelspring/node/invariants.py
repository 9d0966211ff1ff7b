"""What must hold at a node while the core is whole; violations are counted by name, once each time one begins.

- `list_read`: a holder of the duty to read the platform's list has read it of late, or has handed the duty on.
- `list_known`: all that the platform's list showed `drain_cutoff` and a little before is known here.

A node is in touch once every member of the core has answered it for `in_touch` seconds, in one life and from the disk
that holds its seat: a member that ends may have been the list's reader, and its lease has to end first.  Where the
platform answers nobody, `list_known` is violated too, as requests then go by a list that is too old.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from hazelspring.membership.peer_table import PeerTable
from hazelspring.node.actions import InvariantViolated
from hazelspring.node.heartbeats import NEAR_INTERVAL, Heartbeats
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.list_reader_role import LIST_READER, ListReaderRole

LIST_READ = "list_read"
LIST_KNOWN = "list_known"
HANDOVER_TIME = (
    1.0  # seconds more that a holder may take to hand the duty on: two heartbeats and a round trip
)
CONFIRMATION_TIME = 1.0  # seconds more until a node is told that it knows: two heartbeats and a round trip


@dataclass(slots=True, frozen=True)
class InvariantBounds:
    """Of the settings, in seconds."""

    drain_cutoff: float = 3.0
    in_touch: float = 4.0


class Invariants:
    """Looks at one node; `violations` counts by name."""

    def __init__(
        self,
        now: float,
        bounds: InvariantBounds,
        peers: PeerTable,
        beats: Heartbeats,
        list_role: ListReaderRole,
        freshness: ListFreshness,
    ) -> None:
        self.bounds, self.peers, self.heartbeats = bounds, peers, beats
        self.list_reader_role, self.freshness = list_role, freshness
        self.violations: Counter[str] = Counter()
        self.violated: set[str] = set()  # those that don't hold now
        self.checked_at = -1e9
        self.core_responsive_since = now
        self.incarnations: tuple[tuple[str, int], ...] = ()

    def check(self, now: float) -> list[InvariantViolated]:
        """What has ceased to hold since the last look; looks come as often as heartbeats tell anything new."""
        if now - self.checked_at < NEAR_INTERVAL:
            return []
        self.checked_at = now
        self._check_core(now)
        found = {LIST_READ: self._list_is_read(now), LIST_KNOWN: self._list_is_known(now)}
        broken = {name for name, holds in found.items() if not holds}
        new = sorted(broken - self.violated)
        self.violated = broken
        self.violations.update(new)
        return [InvariantViolated(name) for name in new]

    def in_touch(self, now: float) -> bool:
        """Whether what the rules bind by time binds this node."""
        return now - self.core_responsive_since >= self.bounds.in_touch

    def _check_core(self, now: float) -> None:
        core = self.peers.core_nodes
        lives = tuple((ip, self._incarnation(ip)) for ip in core)
        whole = self.peers.core_agreed and all(
            self.heartbeats.is_responsive(now, ip) and self.peers.holds_membership(ip) for ip in core
        )
        if not whole or lives != self.incarnations:
            self.core_responsive_since = now
        self.incarnations = lives

    def _incarnation(self, ip: str) -> int:
        peer = self.peers.peers.get(ip)
        return peer.info.incarnation if peer is not None else self.peers.core_nodes[ip].incarnation

    def _list_is_read(self, now: float) -> bool:
        overdue = (
            self.list_reader_role.time_without_read(now)
            > self.list_reader_role.timing.overdue + HANDOVER_TIME
        )
        return not overdue or not self.list_reader_role.roles.others_willing(now, LIST_READER)

    def _list_is_known(self, now: float) -> bool:
        return (
            not self.in_touch(now) or self.freshness.age(now) <= self.bounds.drain_cutoff + CONFIRMATION_TIME
        )
