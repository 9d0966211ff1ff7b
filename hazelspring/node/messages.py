"""Messages between nodes on who is there, on servers, roles, load and quotas.

The short keys that they have on the wire are known to `hazelspring.node.codec` alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from hazelspring.consensus.messages import ConsensusMessage
from hazelspring.membership.node_info import NodeInfo


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Asks another node what it knows, and says which state of it is known here."""

    incarnation: int
    number: int
    ready: bool
    core_checksum: int
    known_state_checksum: int  # of the recipient's `NodeState`, as it is known to the sender
    sender: NodeInfo | None = None  # where the recipient may not know who the sender is
    requested_roles: list[int] | None = None  # None from nodes that take no role
    grants_nothing: bool = False  # a new member, which may have granted leases before its restart
    roster_checksum: int | None = None  # where the recipient is to tell of the roster


class ControlVersions(NamedTuple):
    """The version in force at a node, and the one that it accepted above it (-1: none)."""

    decided: int
    pending: int


@dataclass(slots=True, frozen=True)
class NodeState:
    """What seldom changes of a node; told once, and then only by its checksum."""

    table_versions: dict[str, int]
    max_node_count: int
    control_versions: ControlVersions
    role_holders: dict[str, str] | None = None  # None from nodes that are no members, as the next one
    unresponsive_members: tuple[str, ...] | None = None
    declined_roles: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class HeartbeatReply:
    """Answers a heartbeat, by its number."""

    incarnation: int
    number: int
    sender: NodeInfo | None = None
    asks_identity: bool = False  # the heartbeat's sender is not known here
    relied_on_roles: list[int] | None = None  # for which a lease of the asker's last life counts here
    granted_roles: list[int] | None = None
    list_age: int | None = None  # of the platform's list, in units of `list_freshness.AGE_UNIT`
    state: NodeState | None = None
    state_checksum: int = 0  # of `state`, with all that it had on the wire; not sent
    core_nodes: list[NodeInfo] | None = None
    roster_change: Sequence[Any] | None = None  # a `membership.roster.RosterChange`
    roster_rows: list[list[Any]] | None = None


@dataclass(slots=True, frozen=True)
class TableRequest:
    """Asks another node for its table of a service."""

    service: str


@dataclass(slots=True, frozen=True)
class TableUpdate:
    """A table of servers, or a change of one, as `ServerRegistry` encodes it."""

    table: list[Any]

    @property
    def service(self) -> str:
        """Return the service whose servers these are."""
        service: str = self.table[0]
        return service

    @property
    def version(self) -> int:
        """Return the version of the table after the update."""
        version: int = self.table[1]
        return version


@dataclass(slots=True, frozen=True)
class RolesDeclined:
    """A member leaves roles to others that it could not perform; it stays a member."""

    member: NodeInfo
    roles: list[int]


@dataclass(slots=True, frozen=True)
class RolesReleased(RolesDeclined):
    """A member gives up all roles that it held, as it ends in order."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """How many requests the sender has in flight, by servers' tags."""

    in_flight_by_tag: dict[int, int]


@dataclass(slots=True, frozen=True)
class CreditRequest:
    """Asks a tenant's counter for units of its quota; less than 0 gives some back."""

    tenant: str
    number: int
    units: int
    incarnation: int  # of the sender


@dataclass(slots=True, frozen=True)
class CreditGrant:
    """Answers `CreditRequest`: units, for how long, and how much of the window's limit is out."""

    incarnation: int  # of the recipient, when it asked
    tenant: str
    number: int
    units: int
    lifetime_ms: int
    granted_percent: int


@dataclass(slots=True, frozen=True)
class CounterUnavailableNotice:
    """Answers `CreditRequest`: the sender does not hold the tenant's counter."""

    tenant: str
    incarnation: int  # of the recipient, when it asked


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a kind that this version of the program does not know; it changes nothing."""

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
