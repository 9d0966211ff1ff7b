"""What another node has told of itself in heartbeats and their answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.timeouts import NEVER


@dataclass(slots=True)
class Peer:
    """One other node; all times are in seconds of this node's steady clock."""

    info: NodeInfo
    heard_at: float = NEVER  # when it was last heard
    first_heard_at: float = NEVER  # when this incarnation was first heard
    latest_request_at: float = NEVER  # when the latest heartbeat that it has answered was sent
    # when the latest heartbeat was sent whose answer named no version above the one in force here
    caught_up_at: float = NEVER
    heartbeat_sent_at: float = NEVER  # when the latest heartbeat was sent to it
    # roles for which it still relies on a lease granted by an earlier incarnation of this node; None: not known
    relied_on_roles: list[int] | None = None
    knows_me: bool = False  # this node need not introduce itself again
    state_checksum: int = 0  # of the state that it reported last
    # the version of the control state in force there, and the one that may be decided (-1: none)
    control_versions: tuple[int, int] | None = None
    unresponsive_members: frozenset[str] = frozenset()  # members that do not answer it
    leaving: bool = False  # it takes no role any more
    declined_roles: frozenset[int] = frozenset()  # roles that it could not do lately and leaves to others
    list_read_at: float = (
        NEVER  # it knows all that the platform's list showed until then, by its latest report
    )
    table_versions: dict[str, int] = field(default_factory=dict)  # of the registry's tables, by service
    role_holders: dict[str, str] = field(default_factory=dict)  # addresses, by role, as it reported

    def on_heard(self, now: float) -> None:
        """Note that it was heard now."""
        if self.first_heard_at == NEVER:
            self.first_heard_at = now
        self.heard_at = now
