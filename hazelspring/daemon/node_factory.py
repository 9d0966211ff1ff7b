"""Makes the state machine of a node from the settings and from the records on its disk."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import cbor2

from hazelspring.daemon.disk_worker import DiskWorker
from hazelspring.daemon.settings import Settings
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.node import Node, NodeStart

NO_DISK = 0  # the disk id of a node that has no disk, or could not read it


class NodeFactory:
    """Makes a process's nodes; `tenant_limit` returns the units that a tenant may use in a quota window."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Settings,
        disk: DiskWorker | None,
        tenant_limit: Callable[[str], float],
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.disk = disk
        self.tenant_limit = tenant_limit

    def make(self, incarnation: int, records: Mapping[str, bytes] | None, first_start: bool) -> Node:
        """Return a node that continues from the records of its disk; None means that they could not be read.

        Invalid records are moved aside: the node then begins with an empty disk, and never as a first start,
        because the promises that it had stored are lost.
        """
        settings = self.settings
        disk_id = incarnation if self.disk is not None and records is not None else NO_DISK
        info = NodeInfo(settings.ip, settings.zone, settings.region, disk_id, incarnation)
        start = NodeStart(
            info,
            list(settings.seeds),
            first_start,
            dict(records or {}),
            settings.link_bandwidth,
            settings.invariants,
        )
        try:
            return Node(self.clock(), start, settings.shared_limits.quota.window, self.tenant_limit)
        except (ValueError, cbor2.CBORDecodeError) as error:
            if self.disk is None:
                raise
            self.disk.discard(str(error))
            return self.make(incarnation, {}, False)
