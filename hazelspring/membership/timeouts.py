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
FAR_ROSTER_TIMEOUT = 6.0  # the same, as heartbeats between regions come
# seconds on the steady clock, before all that can happen; finite, so that differences of times stay numbers
NEVER = -1e9
