"""What one node knows of the others: which answer, what each reported, the core, and the roster."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from hazelspring.consensus.control_state import Member
from hazelspring.membership.core_nodes import CoreNodes
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer import Peer
from hazelspring.membership.roster import Roster, RosterRow
from hazelspring.membership.roster_builder import RosterBuilder
from hazelspring.membership.timeouts import ALIVE_TIMEOUT, LEASE_TERM, NEVER


class PeerTable:
    """The peers of one node, with the core (`CoreNodes`) and the roster (`Roster`, `RosterBuilder`)."""

    def __init__(self, me: NodeInfo, now: float) -> None:
        self.me = me
        self.peers: dict[str, Peer] = {}  # by address
        self.roster_table = Roster()  # as last received or made
        # the most nodes that a roster ever had, here or at a node that reported it: nodes share evenly by it
        self.max_node_count = 0
        # until when the roster is known to be that of a member of the core, in seconds; at first the node's start
        self.roster_confirmed_at = now
        self._core = CoreNodes(me, now)
        self._roster_builder = RosterBuilder(me, self.roster_table)

    def peer(self, info: NodeInfo) -> Peer:
        """Return what is known of a node, made anew for a node or an incarnation that was not known."""
        found = self.peers.get(info.ip)
        if found is None:
            found = self.peers[info.ip] = Peer(info)
        elif found.info != info:
            if found.info.incarnation != info.incarnation:  # what the earlier one reported holds no more
                found = self.peers[info.ip] = Peer(info, heartbeat_sent_at=found.heartbeat_sent_at)
            found.info = info
        return found

    def is_stale(self, now: float, info: NodeInfo) -> bool:
        """Return whether a message is of an earlier incarnation and was late on its way.

        A node whose clock was set back is believed once its last incarnation was silent for a lease's term.
        """
        known = self.peers.get(info.ip)
        return (
            known is not None
            and info.incarnation < known.info.incarnation
            and now - known.heard_at < LEASE_TERM
        )

    def last_heard_at(self, ip: str) -> float:
        """Return when a node was last heard; NEVER where it was not."""
        peer = self.peers.get(ip)
        return peer.heard_at if peer is not None else NEVER

    def is_alive(self, now: float, ip: str) -> bool:
        """Return whether a node was heard lately; this node always is."""
        peer = self.peers.get(ip)
        return ip == self.me.ip or (peer is not None and now - peer.heard_at < ALIVE_TIMEOUT)

    def alive_or_all(self, now: float, ips: list[str]) -> list[str]:
        """Return those of some nodes that were heard lately, in their order; all of them where none was."""
        return [ip for ip in ips if self.is_alive(now, ip)] or ips

    def is_member_alive(self, now: float, member: Member) -> bool:
        """Return whether a member has answered lately from the disk that is the member's."""
        return self.peer_of(member) is not None and now - self.last_heard_at(member.ip) < ALIVE_TIMEOUT

    def is_leaving(self, ip: str) -> bool:
        """Return whether another node has said that it is leaving."""
        peer = self.peers.get(ip)
        return peer is not None and peer.leaving

    def peer_of(self, member: Member) -> Peer | None:
        """Return the other node that was heard from a member's disk.

        The members that the core was founded with have no disk number (0): whoever answers there is the member.
        """
        peer = self.peers.get(member.ip)
        return peer if peer is not None and member.disk_id in (0, peer.info.disk_id) else None

    def known_infos(self, ip: str) -> list[NodeInfo]:
        """Return all that is known of who is at an address."""
        entry = self._roster_builder.entries.get(ip)
        peer = self.peers.get(ip)
        found = [
            self._core.nodes.get(ip),
            entry.info if entry is not None else None,
            peer.info if peer is not None else None,
        ]
        return [info for info in found if info is not None]

    def _latest_info(self, ip: str) -> NodeInfo | None:
        """Return who is at an address by the best source there is."""
        peer = self.peers.get(ip)
        if peer is not None:
            return peer.info
        entry = self._roster_builder.entries.get(ip)
        return self._core.nodes.get(ip) or (entry.info if entry is not None else None)

    def confirmation_times(self, members: Iterable[Member], version: int) -> list[float]:
        """Return, of each other member, until when it has confirmed that no version above `version` was known to it.

        That is when the latest heartbeat was sent whose answer named no later version.  A member that names a later
        one now still spoke for the time before.
        """
        times = []
        for member in members:
            peer = self.peer_of(member)
            if peer is None or peer.control_versions is None:
                continue
            caught_up = max(peer.control_versions) <= version
            times.append(peer.latest_request_at if caught_up else peer.caught_up_at)
        return times

    def nodes_above_version(self, version: int) -> list[str]:
        """Return the nodes that reported a later control state in force, the nearest first."""
        return self.nearest_first(
            peer.info
            for peer in self.peers.values()
            if peer.control_versions is not None and peer.control_versions[0] > version
        )

    @property
    def core_nodes(self) -> dict[str, NodeInfo]:
        """The core by address, this node included where it belongs to it."""
        return self._core.nodes

    @property
    def core_agreed(self) -> bool:
        """Whether the members of the core are agreed on, rather than met by chance."""
        return self._core.agreed

    @property
    def members(self) -> tuple[Member, ...]:
        """The agreed members; none before they are agreed on."""
        return self._core.members

    @property
    def last_joined_at(self) -> float:
        """When a node of the core that was not known was last met."""
        return self._core.last_joined_at

    def observe(self, now: float, info: NodeInfo) -> None:
        """Note a node that was named, which may belong to the core."""
        self._core.observe(now, info)

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Take the agreed members of the core."""
        self._core.set_members(members, self._latest_info)

    def core_checksum(self) -> int:
        """Return what two nodes compare to see whether they know the same core."""
        return self._core.checksum()

    def known_disk_nodes(self) -> list[Member]:
        """Return the nodes with a disk that were met, in an order that all nodes share."""
        return self._core.known_disk_nodes()

    def holds_membership(self, ip: str) -> bool:
        """Return whether the disk that is at an address now is a member's."""
        if ip == self.me.ip:
            return self._core.is_member(ip, self.me.disk_id)
        peer = self.peers.get(ip)
        return self._core.is_member(ip, peer.info.disk_id if peer is not None else 0)

    def other_core_nodes(self) -> list[str]:
        """Return the core without this node, the nearest first; the list is replaced and never changed."""
        return self._core.others()

    def other_core_nodes_where(self, accepts: Callable[[Peer], bool]) -> list[str]:
        """Return the other nodes of the core that were heard and that `accepts` holds for, the nearest first."""
        return [ip for ip in self.other_core_nodes() if ip in self.peers and accepts(self.peers[ip])]

    def nearest_first(self, infos: Iterable[NodeInfo]) -> list[str]:
        """Return the addresses of nodes: those of this node's zone, then of its region, then the others."""
        return self._core.nearest_first(infos)

    @property
    def roster_rows(self) -> list[RosterRow]:
        """The rows of all nodes there are; the list is replaced and never changed."""
        return self.roster_table.rows

    @property
    def roster_checksum(self) -> int:
        """The checksum of the roster; 0 where it holds nothing that can be relied on."""
        return self.roster_table.checksum

    def record_heartbeat(self, now: float, info: NodeInfo, ready: bool) -> None:
        """Note a heartbeat, for the roster that is made here."""
        self._roster_builder.record_heartbeat(now, info, ready)

    def update_roster(self, now: float) -> None:
        """Bring the roster in line with the heartbeats that came here lately."""
        self.roster_confirmed_at = now
        if self._roster_builder.update(now):
            self._note_node_count()

    def replace_roster(self, rows: list[RosterRow]) -> None:
        """Take the whole roster, as a member of the core sent it."""
        self.roster_table.replace(rows)
        self._roster_builder.disown_roster()
        self._note_node_count()

    def apply_roster_change(self, change: list[Any]) -> None:
        """Take a change of the roster, encoded as a `RosterChange`, as a member of the core sent it."""
        self.roster_table.apply_change(change)
        self._roster_builder.disown_roster()
        self._note_node_count()

    def _note_node_count(self) -> None:
        self.max_node_count = max(self.max_node_count, len(self.roster_table.rows))

    def ready_nodes(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Return the addresses of ready nodes, of a zone or of a region where one is named."""
        return self.roster_table.ready_nodes(zone, region)

    def nodes_for_clients(self, region: str) -> list[str]:
        """Return the nodes that a client may be sent to.

        They are those of its region, so that it still has some when its zone is lost and with it the nodes that it
        would ask again; all nodes where fewer than two are ready there.
        """
        found = self.ready_nodes(region=region)
        return found if len(found) > 1 else self.ready_nodes()
