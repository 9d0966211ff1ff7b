"""The times, in seconds, after which nodes are considered dead and leases expire."""

from __future__ import annotations

# seconds for which a lease on a role is granted: five heartbeats between members of the core
LEASE_TERM = 2.0
# seconds without a message after which a node is considered dead: three lost heartbeats and a round trip
ALIVE_TIMEOUT = 1.3
# seconds without a heartbeat after which a node leaves the roster, for heartbeats within a region
ROSTER_TIMEOUT = 1.5
# the same for heartbeats between regions: two lost ones (each 2 s) and half a second.  This is the largest
# part of the time for which clients may still be sent to a machine that is down.
FAR_ROSTER_TIMEOUT = 4.5
# a time on the steady clock, in seconds, before any event; finite, so that differences between times are
# finite too
NEVER = -1e9
