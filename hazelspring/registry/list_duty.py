"""The duty of reading the platform's list of servers: one read at a time, and a holder that gets none hands it on.

A lease says that a node is alive, not that it does what the lease is for.  So each read has a deadline, after which it
counts as failed whether its end was heard or not, and a holder without a read for too long declines the duty.
"""

from __future__ import annotations

from swarm.duties import Duties

LIST = 0  # the number of this duty
READ_INTERVAL = 0.5  # seconds between the beginnings of two reads
# seconds for one read: half of the shortest time in which nodes must hear of a server's end
READ_TIMEOUT = 1.5
READ_DEADLINE = READ_TIMEOUT + 0.25  # seconds after which a read whose end was not heard is given up
# seconds without a read after which one has failed: a slow platform takes less
OVERDUE = READ_INTERVAL + READ_TIMEOUT
NEVER = -1e9


class ListDuty:
    """When this node reads the list, and when it leaves that to another."""

    def __init__(self, duties: Duties) -> None:
        self.duties = duties
        self.number = 0  # of the read that was begun last
        self.began_at = NEVER
        self.under_way = False
        self.read_at = NEVER  # when the last read that succeeded had begun
        self.held_since: float | None = None

    def holds(self, now: float) -> bool:
        """Whether this node has the lease."""
        return self.duties.until(LIST) > now

    def begin(self, now: float) -> int | None:
        """The number of a read that is to begin now; None where none is due."""
        if self.under_way and now - self.began_at < READ_DEADLINE:
            return None
        if now - self.began_at < READ_INTERVAL:
            return None
        self.number += 1
        self.began_at, self.under_way = now, True
        return self.number

    def end(self, number: int, succeeded: bool) -> bool:
        """A read has ended; whether it is the one that was begun last.  One that was given up counts for nothing."""
        if number != self.number or not self.under_way:
            return False
        self.under_way = False
        if succeeded:
            self.read_at = self.began_at
        return True

    def must_decline(self, now: float) -> bool:
        """Whether this node holds the duty, has read nothing for too long, and another node may do better."""
        return self.without_read(now) > OVERDUE and self.duties.others_willing(now, LIST)

    def without_read(self, now: float) -> float:
        """Seconds for which this node has held the duty and read nothing; 0 where it does not hold it."""
        if not self.holds(now):
            self.held_since = None
            return 0.0
        if self.held_since is None:
            self.held_since = now
        return now - max(self.held_since, self.read_at)
