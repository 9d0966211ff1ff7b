"""Where other nodes' requests are, by the load reports that they send."""

from __future__ import annotations

from typing import NamedTuple

from hazelspring.routing.endpoint import Endpoint

LOAD_REPORT_LIFETIME = 1.0  # seconds for which a node's report of its own requests counts

InFlightByTag = dict[int, int]  # requests by server's tag


class LoadReport(NamedTuple):
    """A node's last report; the time in seconds of this node's monotonic clock."""

    received_at: float
    in_flight_by_tag: InFlightByTag


class LoadReports:
    """Sums up the last reports of all nodes, and keeps ``in_flight_elsewhere`` of the endpoints at the sum.

    Parameters
    ----------
    endpoints_by_tag : dict[int, Endpoint]
        The endpoints that are known for now; their owner keeps the map up to date.
    """

    __slots__ = ("by_node", "endpoints_by_tag", "totals_by_tag")

    def __init__(self, endpoints_by_tag: dict[int, Endpoint]) -> None:
        self.endpoints_by_tag = endpoints_by_tag
        self.by_node: dict[str, LoadReport] = {}  # in the order of their receipt
        self.totals_by_tag: InFlightByTag = {}

    def total(self, tag: int) -> int:
        """Return the requests of other nodes at a server."""
        return self.totals_by_tag.get(tag, 0)

    def record(self, now: float, node: str, in_flight_by_tag: InFlightByTag) -> None:
        """Replace a node's report.

        Only the differences from its last report are added up.  All of them are computed first, so that a
        malformed report raises before anything has changed.
        """
        previous = self.by_node.get(node)
        changes = {}
        if previous is not None:
            changes = {tag: -count for tag, count in previous.in_flight_by_tag.items()}
        for tag, count in in_flight_by_tag.items():
            changes[tag] = changes.get(tag, 0) + count
        self.by_node.pop(node, None)
        self.by_node[node] = LoadReport(now, in_flight_by_tag)
        self.add(changes)

    def expire(self, now: float) -> None:
        """Drop the reports of nodes that have been silent for longer than a report counts."""
        while self.by_node:
            node, report = next(iter(self.by_node.items()))
            if now - report.received_at <= LOAD_REPORT_LIFETIME:
                return
            del self.by_node[node]
            self.add({tag: -count for tag, count in report.in_flight_by_tag.items()})

    def add(self, changes: InFlightByTag) -> None:
        """Add to the totals, and set those of the endpoints."""
        for tag, change in changes.items():
            if not change:
                continue
            total = self.totals_by_tag[tag] = self.total(tag) + change
            if not total:
                del self.totals_by_tag[tag]
            endpoint = self.endpoints_by_tag.get(tag)
            if endpoint is not None:
                endpoint.in_flight_elsewhere = total
