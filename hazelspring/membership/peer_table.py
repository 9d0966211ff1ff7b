"""What one node knows about the others: which are alive, what each reported, the core, and the roster."""

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
        # the largest roster so far, here or as reported by any node: shares per node are computed from it
        self.max_node_count = 0
        # seconds; the roster is known to match a core member's as of this time, initially the node's start
        self.roster_confirmed_at = now
        self._core = CoreNodes(me, now)
        self._roster_builder = RosterBuilder(me, self.roster_table)

    def peer(self, info: NodeInfo) -> Peer:
        """Return the record of a node, creating a new one for an unknown node or incarnation."""
        found = self.peers.get(info.ip)
        if found is None:
            found = self.peers[info.ip] = Peer(info)
        elif found.info != info:
            if found.info.incarnation != info.incarnation:  # the earlier one's reports are obsolete
                found = self.peers[info.ip] = Peer(info, heartbeat_sent_at=found.heartbeat_sent_at)
            found.info = info
        return found

    def is_stale(self, now: float, info: NodeInfo) -> bool:
        """Return whether a message is a delayed one from an earlier incarnation.

        A node whose clock was set back starts with a lower incarnation.  Its messages are accepted once no
        message from the previous incarnation has arrived for LEASE_TERM.
        """
        known = self.peers.get(info.ip)
        return (
            known is not None
            and info.incarnation < known.info.incarnation
            and now - known.last_message_at < LEASE_TERM
        )

    def last_message_time(self, ip: str) -> float:
        """Return when the last message from a node arrived; NEVER if none did."""
        peer = self.peers.get(ip)
        return peer.last_message_at if peer is not None else NEVER

    def is_alive(self, now: float, ip: str) -> bool:
        """Return whether a message from a node arrived within ALIVE_TIMEOUT; this node is always alive."""
        peer = self.peers.get(ip)
        return ip == self.me.ip or (peer is not None and now - peer.last_message_at < ALIVE_TIMEOUT)

    def alive_or_all(self, now: float, ips: list[str]) -> list[str]:
        """Return the nodes of `ips` that are alive, in the same order, or all of them if none is alive."""
        return [ip for ip in ips if self.is_alive(now, ip)] or ips

    def is_member_alive(self, now: float, member: Member) -> bool:
        """Return whether a message arrived within ALIVE_TIMEOUT from a member running on its own disk."""
        return self.peer_of(member) is not None and now - self.last_message_time(member.ip) < ALIVE_TIMEOUT

    def is_shutting_down(self, ip: str) -> bool:
        """Return whether another node has announced that it is shutting down."""
        peer = self.peers.get(ip)
        return peer is not None and peer.is_shutting_down

    def peer_of(self, member: Member) -> Peer | None:
        """Return the record of the other node that runs on a member's disk, or None if there is none.

        The members with which the core was founded have no disk number (0), so any node at their address is
        accepted as the member.
        """
        peer = self.peers.get(member.ip)
        return peer if peer is not None and member.disk_id in (0, peer.info.disk_id) else None

    def known_infos(self, ip: str) -> list[NodeInfo]:
        """Return every known record of the node at an address: from the core, the roster and the peers."""
        entry = self._roster_builder.entries.get(ip)
        peer = self.peers.get(ip)
        found = [
            self._core.nodes.get(ip),
            entry.info if entry is not None else None,
            peer.info if peer is not None else None,
        ]
        return [info for info in found if info is not None]

    def _latest_info(self, ip: str) -> NodeInfo | None:
        """Return the info of the node at an address from the most reliable source, or None if unknown."""
        peer = self.peers.get(ip)
        if peer is not None:
            return peer.info
        entry = self._roster_builder.entries.get(ip)
        return self._core.nodes.get(ip) or (entry.info if entry is not None else None)

    def confirmation_times(self, members: Iterable[Member], version: int) -> list[float]:
        """Return the times as of which the other members confirm that they know no version above `version`.

        Each is the time at which the latest heartbeat was sent whose reply named no later version.  If a
        member names a later version now, its earlier confirmation remains valid.
        """
        times = []
        for member in members:
            peer = self.peer_of(member)
            if peer is None or peer.control_versions is None:
                continue
            caught_up = max(peer.control_versions) <= version
            times.append(peer.answered_heartbeat_sent_at if caught_up else peer.caught_up_at)
        return times

    def nodes_above_version(self, version: int) -> list[str]:
        """Return the nodes that reported a control state in force above `version`, nearest first."""
        return self.nearest_first(
            peer.info
            for peer in self.peers.values()
            if peer.control_versions is not None and peer.control_versions[0] > version
        )

    @property
    def core_nodes(self) -> dict[str, NodeInfo]:
        """The nodes of the core by address, including this node if it belongs to the core."""
        return self._core.nodes

    @property
    def core_agreed(self) -> bool:
        """Whether the core consists of agreed members, rather than of discovered nodes."""
        return self._core.agreed

    @property
    def members(self) -> tuple[Member, ...]:
        """The agreed members; empty before they are agreed on."""
        return self._core.members

    @property
    def last_discovery_at(self) -> float:
        """When a previously unknown node of the core was last discovered."""
        return self._core.last_discovery_at

    def observe(self, now: float, info: NodeInfo) -> None:
        """Record a discovered node, which may belong to the core."""
        self._core.observe(now, info)

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Set the agreed members of the core."""
        self._core.set_members(members, self._latest_info)

    def core_checksum(self) -> int:
        """Return a checksum by which two nodes detect whether they know the same core."""
        return self._core.checksum()

    def known_disk_nodes(self) -> list[Member]:
        """Return the discovered nodes with a disk, sorted in an order that is the same on every node."""
        return self._core.known_disk_nodes()

    def has_member_disk(self, ip: str) -> bool:
        """Return whether the disk that is currently at an address is a member's."""
        if ip == self.me.ip:
            return self._core.is_member(ip, self.me.disk_id)
        peer = self.peers.get(ip)
        return self._core.is_member(ip, peer.info.disk_id if peer is not None else 0)

    def other_core_nodes(self) -> list[str]:
        """Return the core without this node, nearest first; the list is replaced, never modified."""
        return self._core.others()

    def other_core_nodes_where(self, accepts: Callable[[Peer], bool]) -> list[str]:
        """Return the other core nodes with a peer record for which `accepts` returns true, nearest first."""
        return [ip for ip in self.other_core_nodes() if ip in self.peers and accepts(self.peers[ip])]

    def nearest_first(self, infos: Iterable[NodeInfo]) -> list[str]:
        """Return the addresses of nodes: those in this node's zone, then in its region, then the others."""
        return self._core.nearest_first(infos)

    @property
    def roster_rows(self) -> list[RosterRow]:
        """The rows of all known nodes; the list is replaced, never modified."""
        return self.roster_table.rows

    @property
    def roster_checksum(self) -> int:
        """The checksum of the roster; 0 if the roster is empty or its rows are unreliable."""
        return self.roster_table.checksum

    def record_heartbeat(self, now: float, info: NodeInfo, ready: bool) -> None:
        """Record a heartbeat, for the roster that this node builds."""
        self._roster_builder.record_heartbeat(now, info, ready)

    def update_roster(self, now: float) -> None:
        """Update the roster from the heartbeats that this node has received."""
        self.roster_confirmed_at = now
        if self._roster_builder.update(now):
            self._note_node_count()

    def replace_roster(self, rows: list[RosterRow]) -> None:
        """Replace the roster with a full one that a member of the core sent."""
        self.roster_table.replace(rows)
        self._roster_builder.mark_roster_received()
        self._note_node_count()

    def apply_roster_change(self, change: list[Any]) -> None:
        """Apply a change of the roster, an encoded `RosterChange`, that a member of the core sent."""
        self.roster_table.apply_change(change)
        self._roster_builder.mark_roster_received()
        self._note_node_count()

    def _note_node_count(self) -> None:
        self.max_node_count = max(self.max_node_count, len(self.roster_table.rows))

    def ready_nodes(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Return the addresses of the ready nodes, limited to a zone or a region if one is given."""
        return self.roster_table.ready_nodes(zone, region)

    def nodes_for_clients(self, region: str) -> list[str]:
        """Return the nodes to which a client may be sent.

        These are the ready nodes of its region, not only of its zone: if the zone fails, and with it the
        nodes that the client would request this list from again, the client still has other nodes.  If fewer
        than two nodes are ready in the region, the ready nodes of all regions are returned.
        """
        found = self.ready_nodes(region=region)
        return found if len(found) > 1 else self.ready_nodes()
