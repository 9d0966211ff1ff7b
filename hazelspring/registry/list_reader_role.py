"""The role of reading the platform's list: one read at a time; a holder whose reads fail declines the role.

A lease shows that a node is alive, not that it performs the role.  Each read therefore has a deadline, after
which it counts as failed whether its end was reported or not, and a holder without a successful read for too
long declines the role.

The lease only reduces the number of calls to the platform; learning of changes in time does not depend on
it.  A member of the core that knows of no sufficiently recent read reads the list itself, regardless of who
holds the role and of how its hand-over proceeds.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.timeouts import NEVER

LIST_READER = 0  # the number of this role among the singleton roles
# maximum seconds between two reads: a longer interval would delay changes, and the platform's list itself
# lags by more than this
MAX_INTERVAL = 0.5
# maximum seconds for one read: a platform that takes longer is treated as one that does not answer
MAX_TIMEOUT = 1.5
# minimum seconds: a round trip between regions with a new connection, and three such round trips.  Even a
# short cutoff must not make reads fail that would have succeeded.
MIN_INTERVAL, MIN_TIMEOUT = 0.1, 0.3
# seconds after its time-out at which a read whose end was not reported is abandoned
UNREPORTED_READ_GRACE = 0.25
# The next read is due after the drain cutoff divided by this.
INTERVALS_PER_CUTOFF = 6
# The time-out of a read is the drain cutoff divided by this.
TIMEOUTS_PER_CUTOFF = 2
# A member reads the list without the role once the latest read that it knows of is older than the drain
# cutoff divided by this.
BACKUP_TIMES_PER_CUTOFF = 2
# maximum seconds without a recent read until a member reads without the role.  While the reader's reads
# succeed, the age of its last read as known to the others is at most 1.2 s: an interval, a heartbeat, the
# read and the round trips.
MAX_BACKUP_TIME = 1.5


@dataclass(slots=True, frozen=True)
class ListTiming:
    """Seconds between the starts of two reads, for one read, and until a member reads without the role."""

    interval: float = MAX_INTERVAL
    timeout: float = MAX_TIMEOUT
    backup_after: float = MAX_BACKUP_TIME

    @classmethod
    def within(cls, cutoff: float) -> ListTiming:
        """Return the timing with which all nodes learn of a leaving server within `cutoff` seconds.

        This holds even if the reader fails at that moment.  A read is due after a sixth of the cutoff.  Half
        of the cutoff after the last successful read, every member of the core that knows of no later one
        reads the list; the other half is for that read and for one lost message.
        """
        interval = max(MIN_INTERVAL, min(MAX_INTERVAL, cutoff / INTERVALS_PER_CUTOFF))
        timeout = max(MIN_TIMEOUT, min(MAX_TIMEOUT, cutoff / TIMEOUTS_PER_CUTOFF))
        backup_after = max(MIN_TIMEOUT, min(MAX_BACKUP_TIME, cutoff / BACKUP_TIMES_PER_CUTOFF))
        return cls(interval, timeout, backup_after)

    @property
    def deadline(self) -> float:
        """Seconds after which a read is abandoned, whether its end was reported or not."""
        return self.timeout + UNREPORTED_READ_GRACE

    @property
    def overdue(self) -> float:
        """Seconds without a successful read after which a read must have failed."""
        return self.interval + self.timeout


class ListReaderRole:
    """When this node reads the list, and when it declines the role; times are steady seconds."""

    def __init__(self, roles: SingletonRoles, timing: ListTiming) -> None:
        self.roles = roles
        self.timing = timing
        self.number = 0  # of the read that was started last
        self.started_at = NEVER  # when that read was started
        self.under_way = False  # whether the end of that read has not been reported yet
        self.read_at = NEVER  # when the last successful read was started
        self.held_since: float | None = None  # None if the role was not held at the last check
        self.superseded_at = NEVER  # when a table from another reader last arrived

    def holds(self, now: float) -> bool:
        """Return whether this node holds the lease on the role."""
        return self.roles.held_until(LIST_READER) > now

    def is_backup_due(self, now: float, list_age: float) -> bool:
        """Return whether to read without the role; `list_age` is the age of the latest known read."""
        return min(list_age, now - self.started_at) > self.timing.backup_after

    def on_superseded(self, now: float) -> None:
        """Record that another reader's table arrived, which may be newer than a read under way."""
        self.superseded_at = now

    def make_due_if_superseded(self) -> bool:
        """Make the next read due at once if another reader's table arrived since the last read began.

        Return whether one did.
        """
        if self.superseded_at < self.started_at:
            return False
        self.started_at = NEVER
        return True

    def begin_read(self, now: float) -> int | None:
        """Return the number of a read that is to start now, or None if none is due."""
        if self.under_way and now - self.started_at < self.timing.deadline:
            return None
        if now - self.started_at < self.timing.interval:
            return None
        self.number += 1
        self.started_at, self.under_way = now, True
        return self.number

    def end_read(self, number: int, succeeded: bool) -> bool:
        """Record the end of a read; return whether it was the one under way, not an abandoned one."""
        if number != self.number or not self.under_way:
            return False
        self.under_way = False
        if succeeded:
            self.read_at = self.started_at
        return True

    def must_decline(self, now: float) -> bool:
        """Return whether this node has held the role too long without a read, and another is willing."""
        return self.time_without_read(now) > self.timing.overdue and self.roles.others_willing(
            now, LIST_READER
        )

    def time_without_read(self, now: float) -> float:
        """Return the seconds for which this node has held the role without a successful read.

        It is 0 while this node does not hold the role.
        """
        if not self.holds(now):
            self.held_since = None
            return 0.0
        if self.held_since is None:
            self.held_since = now
        return now - max(self.held_since, self.read_at)
