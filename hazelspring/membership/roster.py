"""The roster: all known nodes and their readiness, by address, with a checksum and recent changes."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Any, NamedTuple

from hazelspring.membership.node_info import NodeInfo

# A row as it is sent to other nodes.  Rows remain the lists that were received, so that a roster of
# thousands of rows is neither copied nor converted.  The columns are those of `NodeInfo.encode` and whether
# the node is ready.
RosterRow = list[Any]
ADDRESS, ZONE, REGION, DISK_ID, INCARNATION, READY = range(6)  # the columns of a row

# Number of changes that are remembered, so that other nodes can be sent the difference.  It is more than the
# members see in six seconds, the time until a far node leaves the roster.
MAX_REMEMBERED_CHANGES = 128
ROW_HASH_BYTES = 8
CHECKSUM_MODULUS = 1 << 8 * ROW_HASH_BYTES
MAX_CACHED_ROW_HASHES = 1 << 13  # rows


class RosterChange(NamedTuple):
    """The difference between two states of the roster, identified by checksums; sent as a list of four."""

    checksum_before: int
    checksum_after: int
    removed: list[str]  # addresses
    changed: list[RosterRow]  # new rows, and rows that differ


class _RememberedChange(NamedTuple):
    """One update of the roster: the checksum before it, and the addresses whose rows it changed."""

    checksum_before: int
    addresses: list[str]


def encode_row(info: NodeInfo, ready: bool) -> RosterRow:
    """Return a node's row with the columns in the order of ADDRESS to READY."""
    return [*info.encode(), ready]


@lru_cache(maxsize=MAX_CACHED_ROW_HASHES)
def row_hash(row: tuple[Any, ...]) -> int:
    """Return a 64-bit hash; cached, as most rows that a full roster adds or removes were hashed before."""
    return int.from_bytes(hashlib.blake2b(repr(row).encode(), digest_size=ROW_HASH_BYTES).digest(), "big")


def rows_checksum(rows: Iterable[RosterRow]) -> int:
    """Return a checksum by which two nodes detect whether they hold the same rows; 0 for no rows.

    The checksum is the sum of the row hashes, so that changing one row costs one row's hash.  The hash has
    64 bits and is not linear, so that two small changes do not cancel each other out (Bellare and Micciancio
    1997, AdHash).
    """
    return sum(row_hash(tuple(row)) for row in rows) % CHECKSUM_MODULUS


def find_row(rows: Sequence[RosterRow], ip: str) -> tuple[int, bool]:
    """Return the index of a node's row, or the index at which to insert it, and whether it is present."""
    index = bisect_left(rows, ip, key=lambda row: row[ADDRESS])
    return index, index < len(rows) and rows[index][ADDRESS] == ip


class Roster:
    """The rows sorted by address; `rows` is replaced, never modified, as other objects refer to it."""

    def __init__(self) -> None:
        self.rows: list[RosterRow] = []
        self.checksum = 0
        self.changes: deque[_RememberedChange] = deque()
        # cache of `changes_since` by checksum, cleared at each change
        self._changes_since: dict[int, RosterChange | None] = {}

    def ready_nodes(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Return the addresses of the ready nodes, limited to a zone or a region if one is given."""
        return [
            row[ADDRESS]
            for row in self.rows
            if row[READY]
            and (zone is None or row[ZONE] == zone)
            and (region is None or row[REGION] == region)
        ]

    def replace(self, rows: list[RosterRow]) -> None:
        """Replace all rows with a full roster that another node sent, and discard the remembered changes.

        Only rows that differ are hashed, unless the checksum was reset to 0 (see `apply_change`).
        """
        known = {row[ADDRESS]: row for row in self.rows} if self.checksum else {}
        added = rows_checksum([row for row in rows if known.get(row[ADDRESS]) != row])
        same = {row[ADDRESS] for row in rows if known.get(row[ADDRESS]) == row}
        dropped = rows_checksum([row for ip, row in known.items() if ip not in same])
        base = self.checksum if known else 0
        self.rows, self.checksum = rows, (base + added - dropped) % CHECKSUM_MODULUS
        self._forget_changes()

    def update(self, removed: Sequence[str], changed: Sequence[RosterRow]) -> None:
        """Remove and set rows, and remember which have changed; setting an identical row is not a change."""
        touched: list[str] = []
        rows, checksum = self._with_changes(removed, changed, touched)
        if not touched:
            return
        self.changes.append(_RememberedChange(self.checksum, touched))
        self.rows, self.checksum = rows, checksum
        self._changes_since.clear()
        while self._history_is_too_long():
            self.changes.popleft()

    def _history_is_too_long(self) -> bool:
        """Return whether the remembered changes exceed the limit, or have more rows than the full roster."""
        return len(self.changes) > MAX_REMEMBERED_CHANGES or sum(
            len(change.addresses) for change in self.changes
        ) > len(self.rows)

    def _forget_changes(self) -> None:
        self.changes.clear()
        self._changes_since.clear()

    def _with_changes(
        self, removed: Sequence[str], changed: Sequence[RosterRow], touched: list[str]
    ) -> tuple[list[RosterRow], int]:
        """Return rows and checksum after changes; addresses whose rows differ are appended to `touched`."""
        rows, checksum = list(self.rows), self.checksum
        for ip in removed:
            index, present = find_row(rows, ip)
            if present:
                checksum -= rows_checksum((rows.pop(index),))
                touched.append(ip)
        for row in changed:
            index, present = find_row(rows, row[ADDRESS])
            if present and rows[index] == row:
                continue
            checksum += rows_checksum((row,))
            if present:
                checksum -= rows_checksum((rows[index],))
            rows[index : index + present] = [row]
            touched.append(row[ADDRESS])
        return rows, checksum % CHECKSUM_MODULUS

    def changes_since(self, known: int) -> RosterChange | None:
        """Return the changes since the state with checksum `known`, which another node reported.

        Return None if that state is not remembered, or if more than half of the rows have changed.
        """
        if known not in self._changes_since:
            if len(self._changes_since) > MAX_REMEMBERED_CHANGES:  # full of unknown checksums
                self._changes_since.clear()
            self._changes_since[known] = self._compute_changes_since(known)
        return self._changes_since[known]

    def _compute_changes_since(self, known: int) -> RosterChange | None:
        checksums = [change.checksum_before for change in self.changes]
        if not known or known not in checksums:  # 0: the node holds no rows, or unreliable ones
            return None
        later = list(self.changes)[checksums.index(known) :]
        touched = {ip for change in later for ip in change.addresses}
        if 2 * len(touched) > len(self.rows):
            return None
        removed: list[str] = []
        changed: list[RosterRow] = []
        for ip in sorted(touched):
            index, present = find_row(self.rows, ip)
            if present:
                changed.append(self.rows[index])
            else:
                removed.append(ip)
        return RosterChange(known, self.checksum, removed, changed)

    def apply_change(self, encoded: Sequence[Any]) -> None:
        """Apply a `RosterChange` that another node sent.

        It is ignored unless the rows here are exactly those that it was made from.  If applying it does not
        result in the expected checksum, this node's checksum is reset to 0, so that the other node sends the
        full roster.
        """
        before, after, removed, changed = encoded
        change = RosterChange(before, after, removed, changed)
        if change.checksum_before != self.checksum or change.checksum_before == 0:
            return  # delayed, or a duplicate
        rows, checksum = self._with_changes(change.removed, change.changed, [])
        if checksum == change.checksum_after:
            self.rows, self.checksum = rows, checksum
        else:
            self.checksum = 0
        self._forget_changes()
