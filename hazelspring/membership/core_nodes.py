"""The nodes of the core: the agreed members, or until there are any, all discovered nodes with a disk."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

from hazelspring.consensus.control_state import Member
from hazelspring.membership.node_info import NodeInfo


class CoreNodes:
    """One node's view of the core.

    Before the members are agreed on, this node requests the members from every discovered node with a disk.
    """

    def __init__(self, me: NodeInfo, now: float) -> None:
        self.me = me
        # by address; a new mapping replaces it when the members change
        self.nodes: dict[str, NodeInfo] = {me.ip: me} if me.disk_id else {}
        self.agreed = False  # whether `nodes` are the agreed members, rather than discovered nodes
        self.members: tuple[Member, ...] = ()
        # when an unknown node with a disk was last discovered; initially the node's start
        self.last_discovery_at = now
        # caches, computed on first use and dropped when the core changes
        self._nearest_others: list[str] | None = None
        self._checksum: int | None = None

    def observe(self, now: float, info: NodeInfo) -> None:
        """Record a discovered node; nodes outside the agreed core and nodes without a disk are ignored."""
        known = self.nodes.get(info.ip)
        if not info.disk_id or (known is None and self.agreed):
            return
        if known is None or known.incarnation < info.incarnation:
            self.nodes[info.ip] = info
            self._drop_caches()
        if known is None:
            self.last_discovery_at = now

    def set_members(self, members: tuple[Member, ...], find_info: Callable[[str], NodeInfo | None]) -> None:
        """Set the agreed members; `find_info` returns the known information about the node at an address.

        The incarnation of a member that was never discovered is 0 until the member is discovered.
        """
        self.agreed, self.members = True, members
        nodes = {}
        for member in members:
            info = self.me if member.ip == self.me.ip else find_info(member.ip)
            nodes[member.ip] = info or NodeInfo(member.ip, member.zone, member.region, member.disk_id, 0)
        self.nodes = nodes
        self._drop_caches()

    def _drop_caches(self) -> None:
        self._nearest_others = self._checksum = None

    def checksum(self) -> int:
        """Return a checksum by which two nodes detect whether they know the same core."""
        if self._checksum is None:
            members = self.members or self.known_disk_nodes()
            text = " ".join(f"{member.ip}/{member.disk_id}" for member in members)
            self._checksum = zlib.crc32(text.encode())
        return self._checksum

    def known_disk_nodes(self) -> list[Member]:
        """Return the discovered nodes with a disk, sorted in an order that is the same on every node."""
        return sorted(
            Member(info.ip, info.zone, info.region, info.disk_id)
            for info in self.nodes.values()
            if info.disk_id
        )

    def is_member(self, ip: str, disk_id: int) -> bool:
        """Return whether the disk at an address is a member's; always true before members are agreed on."""
        if not self.agreed:
            return True
        return any(member.ip == ip and member.disk_id == disk_id for member in self.members)

    def others(self) -> list[str]:
        """Return the core without this node, nearest first; the list is replaced, never modified."""
        if self._nearest_others is None:
            self._nearest_others = self.nearest_first(
                info for ip, info in self.nodes.items() if ip != self.me.ip
            )
        return self._nearest_others

    def nearest_first(self, infos: Iterable[NodeInfo]) -> list[str]:
        """Return the addresses of nodes: those in this node's zone, then in its region, then the others."""
        me = self.me
        distances = {info.ip: (info.zone != me.zone) + (info.region != me.region) for info in infos}
        return sorted(distances, key=lambda ip: (distances[ip], ip))
