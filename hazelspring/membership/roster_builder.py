"""The roster that a member of the core makes from the heartbeats it gets."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.roster import ADDRESS, Roster, RosterRow, encode_row
from hazelspring.membership.timeouts import FAR_ROSTER_TIMEOUT, NEVER, ROSTER_TIMEOUT

# seconds by which entries are looked at before the first could expire: sums of times are rounded
EXPIRY_CHECK_MARGIN = 0.001


@dataclass(slots=True)
class RosterEntry:
    """One node whose heartbeats come here; `heard_at` in seconds of the steady clock."""

    info: NodeInfo
    ready: bool
    heard_at: float


class RosterBuilder:
    """Keeps a roster up to date with heartbeats and with their absence."""

    def __init__(self, me: NodeInfo, roster: Roster) -> None:
        self.me = me
        self.roster = roster
        self.entries: dict[str, RosterEntry] = {}  # by address
        self._changed_addresses: set[str] = set()  # whose rows may have changed since the last update
        self._next_expiry_at = NEVER  # until then no entry can expire
        # the roster's rows were made here, but for the addresses that have changed since
        self._roster_is_own = False

    def record_heartbeat(self, now: float, info: NodeInfo, ready: bool) -> None:
        """Note a heartbeat."""
        known = self.entries.get(info.ip)
        if known is None or known.ready != ready or known.info != info:
            self._changed_addresses.add(info.ip)
            expires_at = now + self._timeout(info)
            self._next_expiry_at = min(self._next_expiry_at, expires_at - EXPIRY_CHECK_MARGIN)
        self.entries[info.ip] = RosterEntry(info, ready, now)

    def update(self, now: float) -> bool:
        """Bring the roster in line with the heartbeats that came lately; return whether rows were looked at."""
        self._expire(now)
        if not self._roster_is_own:
            self._changed_addresses = set(self.entries) | {row[ADDRESS] for row in self.roster.rows}
            self._roster_is_own = True
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

    def disown_roster(self) -> None:
        """Note that another node's rows were taken into the roster: the next update looks at all rows."""
        self._roster_is_own = False

    def _timeout(self, info: NodeInfo) -> float:
        """Return the seconds of silence after which a node leaves the roster."""
        near = info.region == self.me.region or info.disk_id
        return ROSTER_TIMEOUT if near else FAR_ROSTER_TIMEOUT

    def _expire(self, now: float) -> None:
        """Remove the entries of nodes that were silent for too long, if there can be any."""
        if now <= self._next_expiry_at:
            return
        expired = [
            ip for ip, entry in self.entries.items() if now - entry.heard_at > self._timeout(entry.info)
        ]
        for ip in expired:
            del self.entries[ip]
        self._changed_addresses.update(expired)
        ends = (entry.heard_at + self._timeout(entry.info) for entry in self.entries.values())
        self._next_expiry_at = min(ends, default=now) - EXPIRY_CHECK_MARGIN
