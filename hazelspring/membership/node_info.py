"""The identity of a node: its address, zone, region, disk, and the incarnation of its process."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple


class NodeIdentity(NamedTuple):
    """One run of a node's process.  Leases are granted to it, so that they do not outlive the process."""

    address: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """What a node reports about itself.

    ``disk_id`` is the number of its disk, or 0 if it has none.  ``incarnation`` is chosen anew at each start
    of the process, and a later one is larger.
    """

    ip: str
    zone: str
    region: str
    disk_id: int
    incarnation: int

    def encode(self) -> list[Any]:
        """Return the columns as they are sent to other nodes: address, zone, region, disk, incarnation."""
        return [self.ip, self.zone, self.region, self.disk_id, self.incarnation]

    @classmethod
    def decode(cls, row: Sequence[Any]) -> NodeInfo:
        """Return the node info that `encode` encoded; raise TypeError if the number of columns is wrong."""
        return cls(*row)

    def identity(self) -> NodeIdentity:
        """Return the address and the incarnation, to which leases are granted."""
        return NodeIdentity(self.ip, self.incarnation)
