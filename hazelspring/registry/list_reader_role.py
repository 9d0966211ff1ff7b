"""The role of reading the platform's list of servers: one read at a time; a holder whose reads fail hands it on.

A lease says that a node is alive, not that it does what the lease is for.  So each read has a deadline, after which it
counts as failed whether its end was reported or not, and a holder without a read for too long declines the role.

The lease only saves calls to the platform: the deadline of the list does not rest on it.  A member of the core to which
no read is known that is recent enough reads the list itself, whoever holds the role and however its hand-over goes.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.timeouts import NEVER

LIST_READER = 0  # the number of this role
# seconds between two reads at most: rarer ones make changes late, and the platform's list itself lags by more than this
MAX_INTERVAL = 0.5
# seconds for one read at most: a platform that takes longer is as one that doesn't answer
MAX_TIMEOUT = 1.5
# seconds: a round trip between regions with a new connection, and three; no cutoff makes reads fail that would end well
MIN_INTERVAL, MIN_TIMEOUT = 0.1, 0.3
LOST_END_GRACE = 0.25  # seconds after its timeout at which a read whose end was not reported is given up
CUTOFF_PARTS_PER_INTERVAL = 6  # a read is due after this part of the cutoff,
CUTOFF_PARTS_PER_TIMEOUT = 2  # and has failed after this part of it
CUTOFF_PARTS_UNTIL_BACKUP = 2  # without a recent read for this part of it, a member reads without the role
# seconds without a recent read after which it does at most.  The reader's last read is known to the others as that of
# 1.2 s ago at most: an interval, a heartbeat, the read and the round trips.
MAX_BACKUP_TIME = 1.5


@dataclass(slots=True, frozen=True)
class ListTiming:
    """Seconds between the beginnings of two reads, for one read, and until a member reads without the role."""

    interval: float = MAX_INTERVAL
    timeout: float = MAX_TIMEOUT
    backup_after: float = MAX_BACKUP_TIME

    @classmethod
    def within(cls, cutoff: float) -> ListTiming:
        """Return times by which all nodes know of a server's end in `cutoff` seconds, also if the reader fails then.

        A sixth goes by until a read is due.  Half of it after the last read that succeeded, every member of the core
        reads the list that knows of no later one; the other half is for that read, and for a message that is lost.
        """
        interval = max(MIN_INTERVAL, min(MAX_INTERVAL, cutoff / CUTOFF_PARTS_PER_INTERVAL))
        timeout = max(MIN_TIMEOUT, min(MAX_TIMEOUT, cutoff / CUTOFF_PARTS_PER_TIMEOUT))
        backup_after = max(MIN_TIMEOUT, min(MAX_BACKUP_TIME, cutoff / CUTOFF_PARTS_UNTIL_BACKUP))
        return cls(interval, timeout, backup_after)

    @property
    def deadline(self) -> float:
        """Seconds after which a read is given up, whether its end was reported or not."""
        return self.timeout + LOST_END_GRACE

    @property
    def overdue(self) -> float:
        """Seconds without a read after which one has failed."""
        return self.interval + self.timeout


class ListReaderRole:
    """When this node reads the list, and when it leaves that to another; all times in steady seconds."""

    def __init__(self, roles: SingletonRoles, timing: ListTiming) -> None:
        self.roles = roles
        self.timing = timing
        self.number = 0  # of the read that was begun last
        self.started_at = NEVER  # when it was begun
        self.under_way = False  # its end was not reported yet
        self.read_at = NEVER  # when the last read that succeeded had begun
        self.held_since: float | None = None  # None: not held when last asked
        self.superseded_at = NEVER  # when a table of another reader last came

    def holds(self, now: float) -> bool:
        """Return whether this node has the lease."""
        return self.roles.held_until(LIST_READER) > now

    def is_backup_due(self, now: float, list_age: float) -> bool:
        """Return whether this node is to read without the role; `list_age` is that of the latest read known here."""
        return min(list_age, now - self.started_at) > self.timing.backup_after

    def on_superseded(self, now: float) -> None:
        """Note that another reader's table has come, which may be newer than what a read under way finds."""
        self.superseded_at = now

    def was_superseded(self) -> bool:
        """Return whether another reader's table has come since the last read began; if so, the next is due at once."""
        if self.superseded_at < self.started_at:
            return False
        self.started_at = NEVER
        return True

    def begin_read(self, now: float) -> int | None:
        """Return the number of a read that is to begin now; None where none is due."""
        if self.under_way and now - self.started_at < self.timing.deadline:
            return None
        if now - self.started_at < self.timing.interval:
            return None
        self.number += 1
        self.started_at, self.under_way = now, True
        return self.number

    def end_read(self, number: int, succeeded: bool) -> bool:
        """Note a read's end; return whether it was the one under way.  A read that was given up does not count."""
        if number != self.number or not self.under_way:
            return False
        self.under_way = False
        if succeeded:
            self.read_at = self.started_at
        return True

    def must_decline(self, now: float) -> bool:
        """Return whether this node holds the role, has read nothing for too long, and another node may do better."""
        return self.time_without_read(now) > self.timing.overdue and self.roles.others_willing(
            now, LIST_READER
        )

    def time_without_read(self, now: float) -> float:
        """Return the seconds for which this node has held the role and read nothing; 0 where it does not hold it."""
        if not self.holds(now):
            self.held_since = None
            return 0.0
        if self.held_since is None:
            self.held_since = now
        return now - max(self.held_since, self.read_at)
