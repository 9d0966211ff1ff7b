"""From when on requests for leases count after the core's members have changed."""

from __future__ import annotations

from hazelspring.consensus.control_state import majority
from hazelspring.leases.role_lease import RELIED_ON_TIME
from hazelspring.membership.timeouts import NEVER


class MemberChanges:
    """Sees to it that a majority of the members before and one of those after a change have a member in common.

    A new member grants nothing for a term.  So a holder and its successor both rely, within the time that a holder
    relies on a grant, on members of the first of all cores of that time.  Their majorities have a member in common
    unless the core has shrunk too far since.  Then, or where the change before is not known, requests do not count
    until that time has passed.

    At the core's first start new members grant at once, so a second change within that time is always waited out.
    """

    def __init__(self, now: float, first_start: bool) -> None:
        self.valid_from = NEVER  # requests sent before this do not count
        self._first_start = first_start
        self._changed_at = now
        self._largest_core = 0  # members of the first of the cores of late; 0: no change was seen

    def record(self, now: float, follows: bool, before: int, members: int) -> bool:
        """Note a change; return whether requests sent before `valid_from`, which then is set, do not count.

        `before` and `members` are the numbers of members before and after it.  `follows`: it is one change away from
        the members that were known here.
        """
        recent = now - self._changed_at < RELIED_ON_TIME
        if recent:
            # a restart may hide one more change: of a core that was larger by one
            self._largest_core = max(self._largest_core or before + 1, before)
        else:
            self._largest_core = before
        overlap = majority(members) + majority(self._largest_core) > self._largest_core
        must_wait = not follows or (recent and (self._first_start or not overlap))
        if must_wait:
            self.valid_from = (self._changed_at if follows else now) + RELIED_ON_TIME
        self._changed_at = now
        return must_wait
