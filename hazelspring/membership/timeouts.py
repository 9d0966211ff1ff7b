"""The times, in seconds, after which nodes and their leases count as gone."""

from __future__ import annotations

LEASE_TERM = (
    2.0  # seconds for which a lease on a role is granted: five heartbeats between members of the core
)
# seconds without an answer after which a node counts as away: three lost heartbeats and a round trip
ALIVE_TIMEOUT = 1.3
ROSTER_TIMEOUT = (
    1.5  # seconds of silence after which a node leaves the roster, as heartbeats inside a region come
)
# the same, as heartbeats between regions come: two lost ones (each 2 s) and half a second.  It is the longest part of
# the time for which a machine that is off is named to clients.
FAR_ROSTER_TIMEOUT = 4.5
# seconds on the steady clock, before all that can happen; finite, so that differences of times stay numbers
NEVER = -1e9
