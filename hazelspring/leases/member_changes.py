"""Decides which lease requests remain valid after the members of the core have changed."""

from __future__ import annotations

from hazelspring.consensus.control_state import majority
from hazelspring.leases.role_lease import RELIED_ON_TIME
from hazelspring.membership.timeouts import NEVER


class MemberChanges:
    """Ensures that every majority of the core before a change shares a member with every majority after it.

    A new member grants nothing for one term.  Within the time for which a holder relies on a grant
    (RELIED_ON_TIME), a holder and its successor therefore both rely only on nodes that were members when
    that time began.  Their majorities share a member unless the core has shrunk too far since.  If it has,
    or if the preceding change is not known here, requests are invalid until that time has passed.

    At the core's first start new members grant at once, so after a second change within that time requests
    are always invalid until the time has passed.
    """

    def __init__(self, now: float, first_start: bool) -> None:
        self.valid_from = NEVER  # seconds on the steady clock; requests sent before this are invalid
        self._first_start = first_start
        self._changed_at = now
        self._largest_core = 0  # maximum size of the core before a recent change; 0 until one was recorded

    def record(self, now: float, follows: bool, size_before: int, size_after: int) -> bool:
        """Record a change; return whether it set `valid_from`, which invalidates earlier requests.

        `size_before` and `size_after` are the numbers of members before and after the change.  `follows`
        says whether the new members are exactly one change away from those that were known here.
        """
        recent = now - self._changed_at < RELIED_ON_TIME
        if recent:
            # a restart may have hidden one more change, from a core that was larger by one
            self._largest_core = max(self._largest_core or size_before + 1, size_before)
        else:
            self._largest_core = size_before
        overlap = majority(size_after) + majority(self._largest_core) > self._largest_core
        must_wait = not follows or (recent and (self._first_start or not overlap))
        if must_wait:
            self.valid_from = (self._changed_at if follows else now) + RELIED_ON_TIME
        self._changed_at = now
        return must_wait
