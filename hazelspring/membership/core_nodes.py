"""Which nodes form the core: those that were met until its members are agreed on, then the members."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

from hazelspring.consensus.control_state import Member
from hazelspring.membership.node_info import NodeInfo


class CoreNodes:
    """The core as one node knows it.

    Before the members are agreed on, every node with a disk that was met is asked who the members are.
    """

    def __init__(self, me: NodeInfo, now: float) -> None:
        self.me = me
        # by address; replaced as a whole when the members change
        self.nodes: dict[str, NodeInfo] = {me.ip: me} if me.disk_id else {}
        self.agreed = False  # the members are agreed on, rather than met by chance
        self.members: tuple[Member, ...] = ()
        self.last_joined_at = now  # when a node that was not known was last met
        # both are computed when asked for and dropped when the core changes
        self._nearest_others: list[str] | None = None
        self._checksum: int | None = None

    def observe(self, now: float, info: NodeInfo) -> None:
        """Note a node that was named; nodes outside the agreed core and those without a disk are passed over."""
        known = self.nodes.get(info.ip)
        if not info.disk_id or (known is None and self.agreed):
            return
        if known is None or known.incarnation < info.incarnation:
            self.nodes[info.ip] = info
            self._drop_caches()
        if known is None:
            self.last_joined_at = now

    def set_members(self, members: tuple[Member, ...], find_info: Callable[[str], NodeInfo | None]) -> None:
        """Take the agreed members; `find_info` returns what is known of the node at an address.

        The incarnation of a member that was never met is 0 until it is.
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
        """Return what two nodes compare to see whether they know the same core."""
        if self._checksum is None:
            members = self.members or self.known_disk_nodes()
            text = " ".join(f"{member.ip}/{member.disk_id}" for member in members)
            self._checksum = zlib.crc32(text.encode())
        return self._checksum

    def known_disk_nodes(self) -> list[Member]:
        """Return the nodes with a disk that were met, in an order that all nodes share."""
        return sorted(
            Member(info.ip, info.zone, info.region, info.disk_id)
            for info in self.nodes.values()
            if info.disk_id
        )

    def is_member(self, ip: str, disk_id: int) -> bool:
        """Return whether the disk at an address is a member's; of anyone while no members are agreed on."""
        if not self.agreed:
            return True
        return any(member.ip == ip and member.disk_id == disk_id for member in self.members)

    def others(self) -> list[str]:
        """Return the core without this node, the nearest first; the list is replaced and never changed."""
        if self._nearest_others is None:
            self._nearest_others = self.nearest_first(
                info for ip, info in self.nodes.items() if ip != self.me.ip
            )
        return self._nearest_others

    def nearest_first(self, infos: Iterable[NodeInfo]) -> list[str]:
        """Return the addresses of nodes: those of this node's zone, then of its region, then the others."""
        me = self.me
        distances = {info.ip: (info.zone != me.zone) + (info.region != me.region) for info in infos}
        return sorted(distances, key=lambda ip: (distances[ip], ip))
