"""What another node has reported about itself in heartbeats and their replies."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.timeouts import NEVER


@dataclass(slots=True)
class Peer:
    """One other node; all times are in seconds of this node's steady clock."""

    info: NodeInfo
    last_message_at: float = NEVER  # when a message from it last arrived
    first_message_at: float = NEVER  # when the first message from this incarnation arrived
    # when this node sent the latest heartbeat to which a reply of this peer has been recorded
    answered_heartbeat_sent_at: float = NEVER
    # when this node sent the latest heartbeat whose reply named no version above the one in force here
    caught_up_at: float = NEVER
    heartbeat_sent_at: float = NEVER  # when this node sent it the latest heartbeat
    # roles for which it still relies on leases from an earlier incarnation of this node; None if not known
    relied_on_roles: list[int] | None = None
    knows_this_node: bool = False  # whether it knows this node's info, so that heartbeats may omit it
    state_checksum: int = 0  # of the state that it last reported
    # the version of the control state in force there, and a later one that may be decided (-1: none)
    control_versions: tuple[int, int] | None = None
    unresponsive_members: frozenset[str] = frozenset()  # members that do not answer this peer
    is_shutting_down: bool = False  # whether it is shutting down and takes no more roles
    declined_roles: frozenset[int] = frozenset()  # roles that it recently failed to perform and declines
    # by its latest report, it knows everything that the platform's list showed up to this time
    list_read_at: float = NEVER
    table_versions: dict[str, int] = field(default_factory=dict)  # of the registry's tables, by service
    role_holders: dict[str, str] = field(default_factory=dict)  # addresses, by role, as it reported

    def on_message_received(self, now: float) -> None:
        """Record that a message from this peer arrived at `now`."""
        if self.first_message_at == NEVER:
            self.first_message_at = now
        self.last_message_at = now
