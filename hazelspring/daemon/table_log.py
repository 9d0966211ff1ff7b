"""Logs which tables of servers a node uses, and which servers are leaving according to them."""

from __future__ import annotations

from collections.abc import Iterable

from hazelspring.daemon.structured_log import log
from hazelspring.registry.tables import ServiceTable
from hazelspring.routing.endpoint import Endpoint

MAX_LOGGED_SERVERS = 5  # ids in one line of the log


def log_table(service: str, table: ServiceTable) -> None:
    """Log which table of a service's servers is used from now on."""
    draining = sum(not server.accepting for server in table.servers.values())
    count, version = len(table.servers), table.version
    log.write("registry", "uses a table", service=service, version=version, servers=count, draining=draining)


def log_leaving(now: float, leaving: Iterable[Endpoint], list_age: float) -> None:
    """Log servers that are leaving, when the last request was sent to any of them, and the list's age.

    Parameters
    ----------
    now
        Monotonic time in seconds.
    leaving
        The servers that were accepting until now.
    list_age
        Seconds before this table arrived in which the list may have changed unnoticed by this node.
    """
    servers = sorted(leaving, key=lambda server: -server.sent_at)
    if not servers:
        return
    log.write(
        "registry",
        "servers leave",
        servers=",".join(server.id for server in servers[:MAX_LOGGED_SERVERS]),
        count=len(servers),
        last_request_ago=round(now - servers[0].sent_at, 3),
        list_age=round(list_age, 3),
    )
