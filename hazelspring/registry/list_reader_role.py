"""The duty of reading the platform's list of servers: one read at a time, and a holder that gets none hands it on.

A lease says that a node is alive, not that it does what the lease is for.  So each read has a deadline, after which it
counts as failed whether its end was heard or not, and a holder without a read for too long declines the duty.
"""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.leases.singleton_roles import SingletonRoles

LIST_READER = 0  # the number of this duty
# seconds between two reads at most: rarer ones make news late, and the platform's list itself lags by more than this
MAX_INTERVAL = 0.5
# seconds for one read at most: a platform that takes longer is as one that doesn't answer
MAX_TIMEOUT = 1.5
# seconds: a round trip between regions with a new connection, and three; no cutoff makes reads fail that would end well
MIN_INTERVAL, MIN_TIMEOUT = 0.1, 0.3
LOST_END_GRACE = 0.25  # seconds after its timeout at which a read whose end was not heard is given up
NEVER = -1e9


@dataclass(slots=True, frozen=True)
class ListTiming:
    """Seconds between the beginnings of two reads, and for one read."""

    interval: float = MAX_INTERVAL
    timeout: float = MAX_TIMEOUT

    @classmethod
    def within(cls, cutoff: float) -> ListTiming:
        """Times by which all nodes know of a server's end in `cutoff` seconds, also where the reader fails just then.

        A sixth goes by until a read is due, half until it has failed; the last third is for another node to take the
        duty and read, and for a message that is lost.
        """
        interval = max(MIN_INTERVAL, min(MAX_INTERVAL, cutoff / 6))
        return cls(interval, max(MIN_TIMEOUT, min(MAX_TIMEOUT, cutoff / 2)))

    @property
    def deadline(self) -> float:
        """Seconds after which a read is given up, whether its end was heard or not."""
        return self.timeout + LOST_END_GRACE

    @property
    def overdue(self) -> float:
        """Seconds without a read after which one has failed."""
        return self.interval + self.timeout


class ListReaderRole:
    """When this node reads the list, and when it leaves that to another."""

    def __init__(self, roles: SingletonRoles, timing: ListTiming) -> None:
        self.roles, self.timing = roles, timing
        self.number = 0  # of the read that was begun last
        self.started_at = NEVER
        self.under_way = False
        self.read_at = NEVER  # when the last read that succeeded had begun
        self.held_since: float | None = None

    def holds(self, now: float) -> bool:
        """Whether this node has the lease."""
        return self.roles.held_until(LIST_READER) > now

    def begin_read(self, now: float) -> int | None:
        """The number of a read that is to begin now; None where none is due."""
        if self.under_way and now - self.started_at < self.timing.deadline:
            return None
        if now - self.started_at < self.timing.interval:
            return None
        self.number += 1
        self.started_at, self.under_way = now, True
        return self.number

    def end_read(self, number: int, succeeded: bool) -> bool:
        """A read has ended; whether it is the one that was begun last.  One that was given up counts for nothing."""
        if number != self.number or not self.under_way:
            return False
        self.under_way = False
        if succeeded:
            self.read_at = self.started_at
        return True

    def must_decline(self, now: float) -> bool:
        """Whether this node holds the duty, has read nothing for too long, and another node may do better."""
        return self.time_without_read(now) > self.timing.overdue and self.roles.others_willing(
            now, LIST_READER
        )

    def time_without_read(self, now: float) -> float:
        """Seconds for which this node has held the duty and read nothing; 0 where it does not hold it."""
        if not self.holds(now):
            self.held_since = None
            return 0.0
        if self.held_since is None:
            self.held_since = now
        return now - max(self.held_since, self.read_at)
