"""The roster: the doors that clients may be sent to, in a settled order, its sum, and what changed since a sum."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Any

RosterRow = list[Any]  # address, zone, region, disk, life, ready
RosterChange = tuple[
    int, int, list[str], list[RosterRow]
]  # the sum before, the sum after, addresses gone, rows new or changed

MAX_REMEMBERED_CHANGES = (
    128  # changes that are remembered: more than members see in the six seconds until a far door leaves
)
CHECKSUM_MODULUS = 1 << 64


@lru_cache(maxsize=1 << 13)
def row_hash(row: tuple[Any, ...]) -> int:
    """Of 64 bits; kept, as a row that goes or comes in a whole roster was mostly summed before."""
    return int.from_bytes(hashlib.blake2b(repr(row).encode(), digest_size=8).digest(), "big")


def rows_checksum(rows: Iterable[RosterRow]) -> int:
    """What two doors compare to see whether they hold the same rows.  Rows add up, so that one row's change costs one
    row's hash; the hash is of 64 bits and not linear, so that no two small changes undo each other (Bellare and
    Micciancio 1997, AdHash).  No rows: 0."""
    return sum(row_hash(tuple(row)) for row in rows) % CHECKSUM_MODULUS


def find_row(rows: Sequence[RosterRow], ip: str) -> tuple[int, bool]:
    """Where a door's row is, or would be, and whether it is there."""
    at = bisect_left(rows, ip, key=lambda row: row[0])
    return at, at < len(rows) and rows[at][0] == ip


class Roster:
    """`rows` is in the order of addresses; it is replaced and never changed, as many hold it."""

    def __init__(self) -> None:
        self.rows: list[RosterRow] = []
        self.checksum = 0
        self.changes: deque[tuple[int, list[str]]] = deque()  # the sum before each, and whose rows it changed
        # what changed since a sum, as worked out since the last change
        self.cached_changes: dict[int, RosterChange | None] = {}

    def replace(self, rows: list[RosterRow]) -> None:
        """The whole, as another door told it; what changed before is forgotten.  Only rows that differ are summed,
        unless this door's own sum is forgotten."""
        known = {row[0]: row for row in self.rows} if self.checksum else {}
        more = rows_checksum([row for row in rows if known.get(row[0]) != row])
        same = {row[0] for row in rows if known.get(row[0]) == row}
        less = rows_checksum([row for ip, row in known.items() if ip not in same])
        self.rows, self.checksum = rows, (self.checksum * bool(known) + more - less) % CHECKSUM_MODULUS
        self.changes.clear()
        self.cached_changes.clear()

    def update(self, gone: Sequence[str], changed: Sequence[RosterRow]) -> None:
        """Bring it up to date, and remember what changed; what is as told already is no change."""
        touched: list[str] = []
        rows, total = self.applied(gone, changed, touched)
        if not touched:
            return
        before, self.rows, self.checksum = self.checksum, rows, total
        self.changes.append((before, touched))
        self.cached_changes.clear()
        while len(self.changes) > MAX_REMEMBERED_CHANGES or sum(len(ips) for _, ips in self.changes) > len(
            rows
        ):
            self.changes.popleft()

    def applied(
        self, gone: Sequence[str], changed: Sequence[RosterRow], touched: list[str]
    ) -> tuple[list[RosterRow], int]:
        """The rows and the sum that changes make; `touched` takes the addresses of those that change something."""
        rows, total = list(self.rows), self.checksum
        for ip in gone:
            at, there = find_row(rows, ip)
            if there:
                total -= rows_checksum((rows.pop(at),))
                touched.append(ip)
        for row in changed:
            at, there = find_row(rows, row[0])
            if there and rows[at] == row:
                continue
            total += rows_checksum((row,)) - (rows_checksum((rows[at],)) if there else 0)
            rows[at : at + there] = [row]
            touched.append(row[0])
        return rows, total % CHECKSUM_MODULUS

    def changes_since(self, known: int) -> RosterChange | None:
        """What changed since the sum that a door named; none where that is not remembered, or the whole is less."""
        if known not in self.cached_changes:
            if len(self.cached_changes) > MAX_REMEMBERED_CHANGES:  # sums that no door should name
                self.cached_changes.clear()
            self.cached_changes[known] = self.compute_changes_since(known)
        return self.cached_changes[known]

    def compute_changes_since(self, known: int) -> RosterChange | None:
        sums = [before for before, _ in self.changes]
        if not known or known not in sums:  # 0: it holds nothing, or not what it thought
            return None
        touched = {ip for _, ips in list(self.changes)[sums.index(known) :] for ip in ips}
        if 2 * len(touched) > len(self.rows):
            return None
        found = {ip: find_row(self.rows, ip) for ip in sorted(touched)}
        gone = [ip for ip, (_, there) in found.items() if not there]
        return known, self.checksum, gone, [self.rows[at] for at, there in found.values() if there]

    def apply_change(self, change: Sequence[Any]) -> None:
        """Take what another door told to have changed.  It counts only on the very rows that it was made from; where
        it does not come to the sum that it should, this door's sum is forgotten, so that it is told the whole."""
        before, after, gone, changed = change
        if before != self.checksum or before == 0:
            return  # late, or told twice
        rows, total = self.applied(gone, changed, [])
        if total == after:
            self.rows, self.checksum = rows, total
        else:
            self.checksum = 0
        self.changes.clear()
        self.cached_changes.clear()
