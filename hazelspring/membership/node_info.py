"""Who a node is: its address, its place, its disk, and which run of the process it is."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple


class NodeIdentity(NamedTuple):
    """One run of a node's process: the holder of leases, which do not outlive the process."""

    address: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """What a node says of itself.

    ``disk_id`` is the number of its disk, 0 where it has none.  ``incarnation`` is drawn anew at each start of the
    process; a later one is larger.
    """

    ip: str
    zone: str
    region: str
    disk_id: int
    incarnation: int

    def encode(self) -> list[Any]:
        """Return the columns as they go to other nodes: address, zone, region, disk, incarnation."""
        return [self.ip, self.zone, self.region, self.disk_id, self.incarnation]

    @classmethod
    def decode(cls, row: Sequence[Any]) -> NodeInfo:
        """Return what `encode` has encoded; TypeError where there are more or fewer columns."""
        return cls(*row)

    def identity(self) -> NodeIdentity:
        """Return the address and the incarnation, to which leases are granted."""
        return NodeIdentity(self.ip, self.incarnation)
