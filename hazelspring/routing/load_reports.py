"""The requests that other nodes have in flight at each server, from the load reports that they send."""

from __future__ import annotations

from typing import NamedTuple

from hazelspring.routing.endpoint import Endpoint

LOAD_REPORT_LIFETIME = 1.0  # seconds after which a node's load report is dropped

InFlightByTag = dict[int, int]  # requests in flight by server tag


class LoadReport(NamedTuple):
    """The last report of a node; ``received_at`` is in seconds of this node's monotonic clock."""

    received_at: float
    in_flight_by_tag: InFlightByTag


class LoadReports:
    """Sums up the last reports of all nodes, and copies the totals to the endpoints'
    ``in_flight_elsewhere``.

    Parameters
    ----------
    endpoints_by_tag : dict[int, Endpoint]
        The endpoints that are currently known; the owner of the map keeps it up to date.
    """

    __slots__ = ("by_node", "endpoints_by_tag", "totals_by_tag")

    def __init__(self, endpoints_by_tag: dict[int, Endpoint]) -> None:
        self.endpoints_by_tag = endpoints_by_tag
        self.by_node: dict[str, LoadReport] = {}  # in order of receipt
        self.totals_by_tag: InFlightByTag = {}

    def total(self, tag: int) -> int:
        """Return the number of requests that other nodes have in flight at a server."""
        return self.totals_by_tag.get(tag, 0)

    def record(self, now: float, node: str, in_flight_by_tag: InFlightByTag) -> None:
        """Replace a node's report.

        Only the differences from the node's previous report are added to the totals. They are all computed
        first, so that a malformed report raises an exception before anything has changed.
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
        """Drop reports that are older than ``LOAD_REPORT_LIFETIME``."""
        while self.by_node:
            node, report = next(iter(self.by_node.items()))
            if now - report.received_at <= LOAD_REPORT_LIFETIME:
                return
            del self.by_node[node]
            self.add({tag: -count for tag, count in report.in_flight_by_tag.items()})

    def add(self, changes: InFlightByTag) -> None:
        """Add the changes to the totals, and copy each changed total to its endpoint."""
        for tag, change in changes.items():
            if not change:
                continue
            total = self.totals_by_tag[tag] = self.total(tag) + change
            if not total:
                del self.totals_by_tag[tag]
            endpoint = self.endpoints_by_tag.get(tag)
            if endpoint is not None:
                endpoint.in_flight_elsewhere = total
