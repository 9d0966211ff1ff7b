"""Data of a node's process for the HTTP API: its status, and the addresses of nodes for clients."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hazelspring.daemon.node_process import NodeProcess

MAX_LOOKUP_ADDRESSES = 64  # in one answer
MAX_LOOKUP_LIFETIME = 2.0  # seconds; the settings may set a lower limit
ADDRESS_COLUMN = 0  # of a row of the roster
READY_COLUMN = 5  # of a row of the roster


def lookup_addresses(process: NodeProcess, region: str) -> list[str]:
    """Return the addresses, `HOST:PORT`, of nodes for a client of a region."""
    port = process.settings.client_address.port
    nodes = process.node.peers.nodes_for_clients(region)
    return [f"{ip}:{port}" for ip in nodes[:MAX_LOOKUP_ADDRESSES]]


def node_status(process: NodeProcess, now: float) -> dict[str, Any]:
    """Return the body of the answer to `GET /-/status`; `now` is in seconds of the process's event loop."""
    node = process.node
    configuration = process.configuration
    return {
        "name": process.settings.name,
        "ready": process.is_ready(),
        "configuration": configuration.version if configuration is not None else None,
        "closedZones": sorted(process.state_in_use.evacuated_zones()),
        **node.control.acceptor.version_fields(),
        "core": {ip: node.heartbeats.is_responsive(now, ip) for ip in sorted(node.peers.core_nodes)},
        "member": node.control.is_member(),
        "dropped": dict(node.dropped),
        "doors": [row[ADDRESS_COLUMN] for row in node.peers.roster_rows if row[READY_COLUMN]],
        "notServed": dict(process.router.unserved_counts),
        "freshForS": round(process.router.fresh_until - now, 2),
        "servers": {service: len(table.servers) for service, table in node.registry.tables.items()},
    }
