"""Graceful shutdown: sends clients to other nodes, releases the node's roles and finishes open requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hazelspring.daemon.structured_log import log

if TYPE_CHECKING:
    from hazelspring.daemon.node_process import NodeProcess

LINGER_TIME = 1.5  # seconds after SIGTERM in which clients that have not yet moved may connect
SHUTDOWN_MARGIN = 0.5  # seconds before the end of the grace period at which the process stops waiting
CHECK_INTERVAL = 0.02  # seconds between checks for open work
FLUSH_TIME = 0.05  # seconds for the last answers to be sent


async def drain(process: NodeProcess) -> None:
    """Drain within the grace period of the settings, and then close everything that the process has open."""
    began = process.loop.time()
    process.draining = process.router.shutting_down = True
    process.supervisor.guard("give duties up", lambda: process.execute_all(process.node.drain(began)))
    log.write("daemon", "drains", open=process.router_host.waiting)
    await asyncio.sleep(LINGER_TIME)
    process.client_listener.stop_listening()
    process.client_listener.close_idle()
    while process.loop.time() - began < process.settings.grace_period - SHUTDOWN_MARGIN:
        if not has_open_work(process):
            break
        await asyncio.sleep(CHECK_INTERVAL)
    log.write("daemon", "ends", open=process.router_host.waiting)
    await process.close()


def has_open_work(process: NodeProcess) -> bool:
    """Return whether requests or unsent answers are open, or the control replicas still need this node."""
    return bool(
        process.router_host.waiting
        or process.client_listener.has_unfinished_exchanges()
        or process.node.control.must_stay_up()
    )


async def close(process: NodeProcess) -> None:
    """Answer the open requests, and close listeners, connections, tasks and the disk."""
    process.ticker.cancel()
    process.router_host.answer_all()
    process.client_listener.close()
    for api in process.apis:
        api.stop_listening()
        api.close()
    await asyncio.sleep(FLUSH_TIME)
    process.transport.close()
    process.list_reader.close()
    process.servers.close()
    process.supervisor.close()
    if process.disk is not None:
        process.disk.close()
