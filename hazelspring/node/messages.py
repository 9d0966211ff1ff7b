"""Messages between nodes: heartbeats, tables of servers, singleton roles, load reports and quotas.

Their short keys on the wire are known only to `hazelspring.node.codec` and the `codec_` modules beside it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from hazelspring.consensus.messages import ConsensusMessage
from hazelspring.membership.node_info import NodeInfo


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Asks another node for its state, and names the checksum of the state of it that is known to the sender."""

    incarnation: int
    number: int
    ready: bool
    core_checksum: int
    known_state_checksum: int  # of the recipient's `NodeState`, as it is known to the sender
    sender: NodeInfo | None = None  # named where the recipient may not know the sender
    requested_roles: list[int] | None = None  # None from nodes that take no singleton role
    grants_nothing: bool = False  # a new member, which may have granted leases before its restart
    roster_checksum: int | None = None  # where the reply is to carry the roster if it differs


class ControlVersions(NamedTuple):
    """The version in force at a node, and a later one that may be in force elsewhere (-1: none).

    The later one was accepted there, or is of a higher lineage that the node knows of.
    """

    decided: int
    pending: int


@dataclass(slots=True, frozen=True)
class NodeState:
    """The part of a node's state that seldom changes; sent once, and then only where its checksum differs."""

    table_versions: dict[str, int]
    max_node_count: int
    control_versions: ControlVersions
    role_holders: dict[str, str] | None = None  # None from nodes that are no members, as the next field
    unresponsive_members: tuple[str, ...] | None = None
    declined_roles: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class HeartbeatReply:
    """Answers the heartbeat with the same number."""

    incarnation: int
    number: int
    sender: NodeInfo | None = None
    asks_identity: bool = False  # the heartbeat's sender is not known to the replying node
    relied_on_roles: list[int] | None = None  # by leases that an earlier incarnation of the recipient granted
    granted_roles: list[int] | None = None
    list_age: int | None = None  # of the platform's list, in units of `list_freshness.AGE_UNIT`
    state: NodeState | None = None
    state_checksum: int = 0  # of `state`, with all its keys on the wire; not sent
    core_nodes: list[NodeInfo] | None = None
    roster_change: Sequence[Any] | None = None  # a `membership.roster.RosterChange`
    roster_rows: list[list[Any]] | None = None


@dataclass(slots=True, frozen=True)
class TableRequest:
    """Requests another node's table of a service."""

    service: str


@dataclass(slots=True, frozen=True)
class TableUpdate:
    """A complete table of servers, or a change of one, as `ServerRegistry` encodes it."""

    table: list[Any]

    @property
    def service(self) -> str:
        """Return the service that the table is of."""
        service: str = self.table[0]
        return service

    @property
    def version(self) -> int:
        """Return the version of the table after the update."""
        version: int = self.table[1]
        return version


@dataclass(slots=True, frozen=True)
class RolesDeclined:
    """A member declines roles that it could not perform, so that others take them; it stays a member."""

    member: NodeInfo
    roles: list[int]


@dataclass(slots=True, frozen=True)
class RolesReleased(RolesDeclined):
    """A member releases all roles that it held, in a graceful shutdown."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The number of requests that the sender has in flight, by the servers' tags."""

    in_flight_by_tag: dict[int, int]


@dataclass(slots=True, frozen=True)
class CreditRequest:
    """Requests units of a tenant's quota from its counter; units below 0 are given back."""

    tenant: str
    number: int
    units: int
    incarnation: int  # of the sender


@dataclass(slots=True, frozen=True)
class CreditGrant:
    """Answers `CreditRequest`: units, their lifetime, and the part of the window's limit that is granted."""

    incarnation: int  # of the recipient, when it asked
    tenant: str
    number: int
    units: int
    lifetime_ms: int  # milliseconds
    granted_percent: int  # of the window's limit


@dataclass(slots=True, frozen=True)
class CounterUnavailableNotice:
    """Answers `CreditRequest`: the sender does not hold the tenant's counter."""

    tenant: str
    incarnation: int  # of the recipient, when it asked


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a kind that this version of the program does not know, so that it is ignored."""

    kind: str


Message = (
    ConsensusMessage
    | Heartbeat
    | HeartbeatReply
    | TableRequest
    | TableUpdate
    | RolesDeclined
    | RolesReleased
    | LoadReport
    | CreditRequest
    | CreditGrant
    | CounterUnavailableNotice
    | UnknownMessage
)
