"""What one door knows of others: who answers, since when, what each has told, and who the core is."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from hazelspring.consensus.control_state import Member
from hazelspring.membership.roster import Roster

LEASE_TERM = 2.0  # seconds of a grant of a duty: five beats of the core
ALIVE_TIMEOUT = (
    1.3  # seconds without an answer after which a door counts as away: three beats lost and a round trip
)
ROSTER_TIMEOUT = 1.5  # seconds after which it leaves the roster, as the beats inside a region come,
FAR_ROSTER_TIMEOUT = 6.0  # and as those between regions do
EXPIRY_CHECK_MARGIN = (
    0.001  # seconds by which the roster is looked at before one could leave it: sums of times are rounded
)


@dataclass(slots=True, frozen=True)
class NodeInfo:
    """A door: address, place, the number of its disk (0: it has none), and its life, drawn anew at each start."""

    ip: str
    zone: str
    region: str
    disk_id: int
    incarnation: int

    def encode(self) -> list[Any]:
        return [self.ip, self.zone, self.region, self.disk_id, self.incarnation]

    def identity(self) -> tuple[str, int]:
        """The address and the life: who promises of duties are given to."""
        return self.ip, self.incarnation


@dataclass(slots=True)
class Peer:
    """What another door told of itself."""

    info: NodeInfo
    heard_at: float = -1e9  # when it was last heard
    latest_request_at: float = -1e9  # when the last beat was sent that it has answered
    caught_up_at: float = (
        -1e9
    )  # the same, of the last one whose answer told nothing above what was in force here
    heartbeat_sent_at: float = -1e9  # when the last beat went to it
    relied_on_roles: list[int] | None = (
        None  # duties for which it counts on a promise of this door's last life
    )
    knows_me: bool = False  # it need not be told again who this door is
    state_checksum: int = 0  # of what it told of itself
    control_versions: tuple[int, int] | None = (
        None  # the version in force there, and the one that may be (-1: none)
    )
    unresponsive_members: frozenset[str] = frozenset()  # members that it takes for silent
    leaving: bool = False  # it takes no duty any more
    declined_roles: frozenset[int] = frozenset()  # duties that it could not do of late and leaves to others
    list_read_at: float = -1e9  # all that the platform's list showed until then it knew, as it told last
    table_versions: dict[str, int] = field(default_factory=dict)
    role_holders: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class RosterEntry:
    """A door in the roster: those that clients may be sent to, and who is home for what."""

    info: NodeInfo
    ready: bool
    heard_at: float


class PeerTable:
    def __init__(self, me: NodeInfo, now: float) -> None:
        self.me = me
        self.core_nodes: dict[str, NodeInfo] = {me.ip: me} if me.disk_id else {}
        self.last_joined_at = now
        self.core_agreed = False  # the members of the core are agreed on, and not those met by chance,
        self.members: tuple[Member, ...] = ()  # and these they are
        self.nearest_core_nodes: list[str] | None = (
            None  # the others of the core in their order, and the core's sum, until
        )
        self.cached_core_checksum: int | None = None  # either changes
        self.peers: dict[str, Peer] = {}
        self.roster_entries: dict[str, RosterEntry] = {}  # a core door's own roster, from the beats it gets,
        self.changed_addresses: set[str] = set()  # whose rows may have changed since it was made,
        self.next_expiry_at = -1e9  # and before when none can have been silent for too long
        self.roster_table = Roster()  # as last heard or made
        self.roster_is_own = False  # it was made here, of all rows but those that were touched since
        # ever in a roster, here or at a node that told: what nodes share evenly goes by it
        self.max_node_count = 0

    def peer(self, about: NodeInfo) -> Peer:
        found = self.peers.get(about.ip)
        if found is None:
            found = self.peers[about.ip] = Peer(about)
        elif found.info != about:
            if found.info.incarnation != about.incarnation:  # a new life: what the old one told holds no more
                found = self.peers[about.ip] = Peer(about, heartbeat_sent_at=found.heartbeat_sent_at)
            found.info = about
        return found

    def is_stale(self, now: float, about: NodeInfo) -> bool:
        """Whether a message is of an earlier life, late on its way.  A door whose clock was set back is believed
        once its last life was silent for a term."""
        known = self.peers.get(about.ip)
        return (
            known is not None
            and about.incarnation < known.info.incarnation
            and now - known.heard_at < LEASE_TERM
        )

    def observe(self, now: float, about: NodeInfo) -> None:
        """A door that was named.  Before the core is agreed on, all that have a disk are asked who it is."""
        known = self.core_nodes.get(about.ip)
        if not about.disk_id or (known is None and self.core_agreed):
            return
        if known is None or known.incarnation < about.incarnation:
            self.core_nodes[about.ip] = about
            self.nearest_core_nodes = self.cached_core_checksum = None
        if known is None:
            self.last_joined_at = now

    def set_members(self, members: tuple[Member, ...]) -> None:
        """The core is agreed on: its members, whose lives are learnt as they are met."""
        self.core_agreed, self.members = True, members
        known = dict(self.core_nodes.items())
        known |= {ip: peer.info for ip, peer in self.peers.items()}
        self.core_nodes = {}
        for member in members:
            about = known.get(member.ip) or (
                row.info if (row := self.roster_entries.get(member.ip)) else None
            )
            if member.ip == self.me.ip:
                about = self.me
            self.core_nodes[member.ip] = about or NodeInfo(
                member.ip, member.zone, member.region, member.disk_id, 0
            )
        self.nearest_core_nodes = self.cached_core_checksum = None

    def core_checksum(self) -> int:
        """What two doors compare to see whether they know the same core."""
        if self.cached_core_checksum is None:
            told = " ".join(f"{m.ip}/{m.disk_id}" for m in self.members or self.known_disk_nodes())
            self.cached_core_checksum = zlib.crc32(told.encode())
        return self.cached_core_checksum

    def known_disk_nodes(self) -> list[Member]:
        """Doors with a disk that were met, in a settled order."""
        return sorted(
            Member(a.ip, a.zone, a.region, a.disk_id) for a in self.core_nodes.values() if a.disk_id
        )

    def holds_membership(self, ip: str) -> bool:
        """Whether the disk that is at an address now holds its seat in the core."""
        if not self.core_agreed:
            return True
        peer = self.peers.get(ip)
        disk = self.me.disk_id if ip == self.me.ip else peer.info.disk_id if peer is not None else 0
        return any(member.ip == ip and member.disk_id == disk for member in self.members)

    def other_core_nodes(self) -> list[str]:
        """The core without this door, the near ones first; a list that is replaced and never changed."""
        if self.nearest_core_nodes is None:
            self.nearest_core_nodes = self.nearest_first(
                about for ip, about in self.core_nodes.items() if ip != self.me.ip
            )
        return self.nearest_core_nodes

    def nearest_first(self, abouts: Iterable[NodeInfo]) -> list[str]:
        me = self.me
        far = {a.ip: (a.zone != me.zone) + (a.region != me.region) for a in abouts}
        return sorted(far, key=lambda ip: (far[ip], ip))

    def other_core_nodes_where(self, has: Callable[[Peer], bool]) -> list[str]:
        """Of the core without this door those that were heard and are so, the near ones first."""
        return [ip for ip in self.other_core_nodes() if ip in self.peers and has(self.peers[ip])]

    def is_alive(self, now: float, ip: str) -> bool:
        peer = self.peers.get(ip)
        return ip == self.me.ip or (peer is not None and now - peer.heard_at < ALIVE_TIMEOUT)

    def is_member_alive(self, now: float, member: Member) -> bool:
        """Whether a member has answered of late from the disk that holds its seat."""
        return self.peer_of(member) is not None and now - self.last_heard_at(member.ip) < ALIVE_TIMEOUT

    def peer_of(self, member: Member) -> Peer | None:
        """Another door that was heard, from the disk that holds this seat; anyone there for a seat of the founding."""
        peer = self.peers.get(member.ip)
        return peer if peer is not None and member.disk_id in (0, peer.info.disk_id) else None

    def is_leaving(self, ip: str) -> bool:
        peer = self.peers.get(ip)
        return peer is not None and peer.leaving

    def confirmation_times(self, members: Iterable[Member], version: int) -> list[float]:
        """Of each member, this door aside, from the disk that is seated: when the last beat was sent to whose answer it
        told nothing above a version.  One that tells of a newer one now still spoke for the time before."""
        found = []
        for member in members:
            peer = self.peer_of(member)
            if peer is not None and peer.control_versions is not None:
                found.append(
                    peer.latest_request_at if max(peer.control_versions) <= version else peer.caught_up_at
                )
        return found

    def nodes_above_version(self, version: int) -> list[str]:
        """Doors that told of a newer state in force, the near ones first."""
        return self.nearest_first(
            peer.info
            for peer in self.peers.values()
            if peer.control_versions is not None and peer.control_versions[0] > version
        )

    def last_heard_at(self, ip: str) -> float:
        peer = self.peers.get(ip)
        return peer.heard_at if peer is not None else -1e9

    @property
    def roster_rows(self) -> list[list[Any]]:
        """Rows of the doors there are: about, ready.  The list is replaced and never changed."""
        return self.roster_table.rows

    @property
    def roster_checksum(self) -> int:
        return self.roster_table.checksum

    def record_heartbeat(self, now: float, about: NodeInfo, ready: bool) -> None:
        """A beat has come: a row of the roster."""
        known = self.roster_entries.get(about.ip)
        if known is None or known.ready != ready or known.info != about:
            self.changed_addresses.add(about.ip)
            self.next_expiry_at = min(
                self.next_expiry_at, now + self.roster_timeout(about) - EXPIRY_CHECK_MARGIN
            )
        self.roster_entries[about.ip] = RosterEntry(about, ready, now)

    def roster_timeout(self, about: NodeInfo) -> float:
        """Seconds of silence after which a door leaves the roster."""
        return ROSTER_TIMEOUT if about.region == self.me.region or about.disk_id else FAR_ROSTER_TIMEOUT

    def expire_roster_entries(self, now: float) -> None:
        """Rows of doors that were silent for too long go; until the first that could be next, none is looked at."""
        if now <= self.next_expiry_at:
            return
        gone = [
            ip
            for ip, row in self.roster_entries.items()
            if now - row.heard_at > self.roster_timeout(row.info)
        ]
        for ip in gone:
            del self.roster_entries[ip]
        self.changed_addresses.update(gone)
        ends = (row.heard_at + self.roster_timeout(row.info) for row in self.roster_entries.values())
        self.next_expiry_at = min(ends, default=now) - EXPIRY_CHECK_MARGIN

    def update_roster(self, now: float) -> None:
        """The roster of those heard of late."""
        self.expire_roster_entries(now)
        if not self.roster_is_own:
            self.changed_addresses, self.roster_is_own = (
                set(self.roster_entries) | {row[0] for row in self.roster_rows},
                True,
            )
        if not self.changed_addresses:
            return
        rows = {ip: self.roster_entries.get(ip) for ip in sorted(self.changed_addresses)}
        self.changed_addresses = set()
        gone = [ip for ip, row in rows.items() if row is None]
        self.roster_table.update(gone, [[*row.info.encode(), row.ready] for row in rows.values() if row])
        self.max_node_count = max(self.max_node_count, len(self.roster_rows))

    def replace_roster(self, rows: list[list[Any]]) -> None:
        """The whole roster, as a core door told it."""
        self.roster_table.replace(rows)
        self.roster_is_own = False
        self.max_node_count = max(self.max_node_count, len(rows))

    def apply_roster_change(self, change: list[Any]) -> None:
        """What changed in the roster, as a core door told it."""
        self.roster_table.apply_change(change)
        self.roster_is_own = False
        self.max_node_count = max(self.max_node_count, len(self.roster_rows))

    def known_infos(self, ip: str) -> list[NodeInfo]:
        """What is known of who is at an address."""
        found = [self.core_nodes.get(ip), row.info if (row := self.roster_entries.get(ip)) else None]
        found.append(peer.info if (peer := self.peers.get(ip)) else None)
        return [about for about in found if about is not None]

    def ready_nodes(self, zone: str | None = None, region: str | None = None) -> list[str]:
        """Addresses of ready doors, of a zone or of a region where one is named."""
        return [
            row[0]
            for row in self.roster_rows
            if row[5] and (zone is None or row[1] == zone) and (region is None or row[2] == region)
        ]

    def nodes_for_clients(self, region: str) -> list[str]:
        """Doors that a client may be sent to: those of its region, so that it still has some when its zone is lost
        and with it the doors that it would ask anew; all where fewer than two are ready there."""
        found = self.ready_nodes(region=region)
        return found if len(found) > 1 else self.ready_nodes()
