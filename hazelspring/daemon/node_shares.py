"""The share that one node has in the limits that apply to all nodes together."""

from __future__ import annotations

from hazelspring.configuration.model import Configuration
from hazelspring.gateway.pool import PER_BACKEND
from hazelspring.routing.shared_limits import SharedLimits

MIN_CONNECTIONS = 4  # connections to one server, regardless of the number of nodes


def connections_per_server(configuration: Configuration | None, node_count: int) -> int:
    """Return how many connections a node may open to one server: an equal share of the server's limit."""
    services = configuration.services.values() if configuration is not None else ()
    limits = [service.connection_limit for service in services if service.connection_limit]
    per_node = min(limits, default=PER_BACKEND) // max(1, node_count)
    return max(MIN_CONNECTIONS, per_node)


def tenant_window_limit(
    configuration: Configuration | None, tenant: str, limits: SharedLimits, node_count: int
) -> float:
    """Return the units that a tenant may use in one quota window; 0 if it is unknown or has no quota."""
    found = configuration.tenants.get(tenant) if configuration is not None else None
    if found is None or found.rate <= 0:
        return 0.0
    return limits.quota.window_limit(found.rate, found.burst, node_count)
