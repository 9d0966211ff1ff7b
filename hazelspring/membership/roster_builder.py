"""Builds the roster of a core member from the heartbeats that it receives."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.roster import ADDRESS, Roster, RosterRow, encode_row
from hazelspring.membership.timeouts import FAR_ROSTER_TIMEOUT, NEVER, ROSTER_TIMEOUT

# seconds before the earliest possible expiry at which entries are checked: sums of times are rounded
EXPIRY_CHECK_MARGIN = 0.001


@dataclass(slots=True)
class RosterEntry:
    """A node that sends heartbeats here; the last arrived at `last_heartbeat_at` (seconds, steady clock)."""

    info: NodeInfo
    ready: bool
    last_heartbeat_at: float


class RosterBuilder:
    """Updates a roster as heartbeats arrive, and as they stop arriving."""

    def __init__(self, me: NodeInfo, roster: Roster) -> None:
        self.me = me
        self.roster = roster
        self.entries: dict[str, RosterEntry] = {}  # by address
        self._changed_addresses: set[str] = set()  # of rows that may have changed since the last update
        self._next_expiry_at = NEVER  # no entry can expire before this time
        # whether all rows of the roster were built here, except those of `_changed_addresses`
        self._roster_built_here = False

    def record_heartbeat(self, now: float, info: NodeInfo, ready: bool) -> None:
        """Record the arrival of a heartbeat; the roster changes at the next `update`."""
        known = self.entries.get(info.ip)
        if known is None or known.ready != ready or known.info != info:
            self._changed_addresses.add(info.ip)
            expires_at = now + self._timeout(info)
            self._next_expiry_at = min(self._next_expiry_at, expires_at - EXPIRY_CHECK_MARGIN)
        self.entries[info.ip] = RosterEntry(info, ready, now)

    def update(self, now: float) -> bool:
        """Update the roster from the recent heartbeats; return whether any rows were checked for changes."""
        self._expire(now)
        if not self._roster_built_here:
            self._changed_addresses = set(self.entries) | {row[ADDRESS] for row in self.roster.rows}
            self._roster_built_here = True
        if not self._changed_addresses:
            return False
        removed: list[str] = []
        changed: list[RosterRow] = []
        for ip in sorted(self._changed_addresses):
            entry = self.entries.get(ip)
            if entry is None:
                removed.append(ip)
            else:
                changed.append(encode_row(entry.info, entry.ready))
        self._changed_addresses = set()
        self.roster.update(removed, changed)
        return True

    def mark_roster_received(self) -> None:
        """Record that the roster now has rows from another node; the next update checks all rows."""
        self._roster_built_here = False

    def _timeout(self, info: NodeInfo) -> float:
        """Return the seconds without a heartbeat after which a node leaves the roster."""
        near = info.region == self.me.region or info.disk_id
        return ROSTER_TIMEOUT if near else FAR_ROSTER_TIMEOUT

    def _expire(self, now: float) -> None:
        """Remove the entries of nodes whose heartbeats have stopped, if any entry can have expired."""
        if now <= self._next_expiry_at:
            return
        expired = [
            ip
            for ip, entry in self.entries.items()
            if now - entry.last_heartbeat_at > self._timeout(entry.info)
        ]
        for ip in expired:
            del self.entries[ip]
        self._changed_addresses.update(expired)
        ends = (entry.last_heartbeat_at + self._timeout(entry.info) for entry in self.entries.values())
        self._next_expiry_at = min(ends, default=now) - EXPIRY_CHECK_MARGIN
