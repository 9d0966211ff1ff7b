"""A node's own part of limits that all nodes share."""

from __future__ import annotations

from hazelspring.configuration.model import Configuration
from hazelspring.gateway.pool import PER_BACKEND
from hazelspring.routing.shared_limits import SharedLimits

MIN_CONNECTIONS = 4  # to one server, however many nodes share it


def connections_per_server(configuration: Configuration | None, node_count: int) -> int:
    """Return how many connections to one server a node may open: its even part of what the server takes."""
    services = configuration.services.values() if configuration is not None else ()
    limits = [service.connection_limit for service in services if service.connection_limit]
    per_node = min(limits, default=PER_BACKEND) // max(1, node_count)
    return max(MIN_CONNECTIONS, per_node)


def tenant_window_limit(
    configuration: Configuration | None, tenant: str, limits: SharedLimits, node_count: int
) -> float:
    """Return the units that a tenant may use in one window of its quota; 0: none are limited or known."""
    found = configuration.tenants.get(tenant) if configuration is not None else None
    if found is None or found.rate <= 0:
        return 0.0
    return limits.quota.window_limit(found.rate, found.burst, node_count)
