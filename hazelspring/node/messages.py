"""Messages between nodes: heartbeats, tables of servers, singleton roles, load reports and quotas.

Only `hazelspring.node.codec` and the `codec_` modules in the same package know their short keys on the wire.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from hazelspring.consensus.messages import ConsensusMessage
from hazelspring.membership.node_info import NodeInfo


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Requests another node's state; includes the checksum of that state as last known to the sender."""

    incarnation: int
    number: int
    ready: bool
    core_checksum: int
    known_state_checksum: int  # of the recipient's `NodeState` as last known to the sender
    sender: NodeInfo | None = None  # included if the recipient may not know the sender
    requested_roles: list[int] | None = None  # None from nodes that take no singleton role
    # The sender is a new member that grants no leases yet, as it may have granted some before its restart.
    is_not_granting_leases: bool = False
    # Included if the reply is to contain the roster when the roster's checksum differs from this one.
    roster_checksum: int | None = None


class ControlVersions(NamedTuple):
    """The version in force at a node, and a later version that may be in force elsewhere (-1: none).

    The node has accepted the later version, or knows that it belongs to a higher lineage.
    """

    decided: int
    pending: int


@dataclass(slots=True, frozen=True)
class NodeState:
    """The part of a node's state that seldom changes; it is sent once, then only if its checksum differs."""

    table_versions: dict[str, int]
    max_node_count: int
    control_versions: ControlVersions
    role_holders: dict[str, str] | None = None  # None from nodes that are not members, like the next field
    unresponsive_members: tuple[str, ...] | None = None
    declined_roles: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class HeartbeatReply:
    """The reply to the heartbeat with the same number."""

    incarnation: int
    number: int
    sender: NodeInfo | None = None
    requests_identity: bool = False  # the replying node does not know the sender of the heartbeat
    # Roles that the sender holds by leases granted by an earlier incarnation of the recipient.
    relied_on_roles: list[int] | None = None
    granted_roles: list[int] | None = None
    list_age: int | None = None  # of the platform's list, in units of `list_freshness.AGE_UNIT`
    state: NodeState | None = None
    state_checksum: int = 0  # of `state` with all its keys on the wire; the checksum itself is not sent
    core_nodes: list[NodeInfo] | None = None
    roster_change: Sequence[Any] | None = None  # a `membership.roster.RosterChange`
    roster_rows: list[list[Any]] | None = None


@dataclass(slots=True, frozen=True)
class TableRequest:
    """Requests another node's table of a service."""

    service: str


@dataclass(slots=True, frozen=True)
class TableUpdate:
    """A complete table of servers or a change to one, as encoded by `ServerRegistry`."""

    table: list[Any]

    @property
    def service(self) -> str:
        """Return the service whose servers the table lists."""
        service: str = self.table[0]
        return service

    @property
    def version(self) -> int:
        """Return the version of the table after the update."""
        version: int = self.table[1]
        return version


@dataclass(slots=True, frozen=True)
class RolesDeclined:
    """A member declines roles that it could not perform, so that others take them; it remains a member."""

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
    """Requests units of a tenant's quota from its counter; a negative number returns unused units."""

    tenant: str
    number: int
    units: int
    incarnation: int  # of the sender


@dataclass(slots=True, frozen=True)
class CreditGrant:
    """The reply to a `CreditRequest`: units, their lifetime, and the granted part of the window's limit."""

    incarnation: int  # of the recipient when it sent the request
    tenant: str
    number: int
    units: int
    lifetime_ms: int  # milliseconds
    granted_percent: int  # of the window's limit


@dataclass(slots=True, frozen=True)
class CounterUnavailableNotice:
    """The reply to a `CreditRequest` from a node that does not hold the tenant's counter."""

    tenant: str
    incarnation: int  # of the recipient when it sent the request


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a kind that this version of the program does not know; it is ignored."""

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
