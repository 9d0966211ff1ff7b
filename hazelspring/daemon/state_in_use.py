"""The state that a node's request path uses: the configuration, the evacuated zones, the tables of servers."""

from __future__ import annotations

from collections.abc import Callable

from hazelspring.configuration.incremental import LoadedConfiguration, load_configuration
from hazelspring.configuration.model import Configuration
from hazelspring.daemon.client_listener import ClientListener
from hazelspring.daemon.structured_log import log
from hazelspring.daemon.table_log import log_leaving, log_table
from hazelspring.daemon.upstream_servers import UpstreamServers
from hazelspring.gateway.config import parse_address
from hazelspring.node.actions import (
    ConfigurationChanged,
    EvacuatedZonesChanged,
    MembersChanged,
    StateChanged,
    TableChanged,
)
from hazelspring.node.node import Node
from hazelspring.routing.request_router import RequestRouter


class StateInUse:
    """Passes changes of the node's state to the router, the connections to servers and the client listener.

    Parameters
    ----------
    clock
        Returns seconds of the steady clock.
    node
        Returns the current node, which is replaced if its disk can be read only after the start.
    router, servers, client_listener
        The parts that use the state.

    Attributes
    ----------
    loaded_configuration
        The configuration in use and the data that it was loaded from; None before the first one.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        node: Callable[[], Node],
        router: RequestRouter,
        servers: UpstreamServers,
        client_listener: ClientListener,
    ) -> None:
        self.clock, self.node = clock, node
        self.router, self.servers, self.client_listener = router, servers, client_listener
        self.loaded_configuration: LoadedConfiguration | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in use; None before the first one."""
        return self.loaded_configuration.configuration if self.loaded_configuration is not None else None

    def on_state_changed(self, change: StateChanged) -> None:
        """Apply a change of the control state or of a table of servers."""
        match change:
            case ConfigurationChanged():
                self.apply_current_configuration()
            case EvacuatedZonesChanged():
                self.apply_evacuated_zones()
            case MembersChanged():
                state = self.node().control.state
                members = state.members if state is not None else ()
                log.write("control", "core membership", members=",".join(member.ip for member in members))
            case TableChanged():
                self.apply_table(change.service)

    def apply_current_configuration(self) -> None:
        """Apply the configuration in force, if there is one."""
        if (packed := self.node().control.acceptor.current_configuration()) is None:
            return
        self.loaded_configuration = load_configuration(packed, self.loaded_configuration)
        configuration = self.loaded_configuration.configuration
        self.client_listener.use_configuration(configuration)
        self.router.use_configuration(configuration)
        log.write("control", "uses a configuration", number=configuration.version)

    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones that are evacuated as far as the node knows."""
        state = self.node().control.state
        return state.evacuated_zones if state is not None else frozenset()

    def apply_evacuated_zones(self) -> None:
        """Pass the evacuated zones to the router, which sends no requests there."""
        zones, acceptor = self.evacuated_zones(), self.node().control.acceptor
        self.router.set_evacuated_zones(self.clock(), zones)
        decided_by = acceptor.decided[0].address if acceptor.decided is not None else ""
        names = ",".join(sorted(zones)) or "none"
        log.write("control", "closed zones", zones=names, decided_by=decided_by, **acceptor.version_fields())

    def apply_missed_zones(self) -> None:
        """Apply evacuated zones that the router was not told: an error kept the node's actions from it."""
        if self.router.evacuated_zones != self.evacuated_zones():
            self.apply_evacuated_zones()

    def apply_table(self, service: str) -> None:
        """Apply a service's new table of servers to the router and to the connections to servers."""
        now, table = self.clock(), self.node().registry.tables[service]
        servers = table.servers.values()
        log_table(service, table)
        leaving = self.router.endpoints.newly_draining(service, servers)
        log_leaving(now, leaving, self.node().freshness.age(now))
        for server in self.router.update_endpoints(now, service, servers):
            self.servers.remove(server.number)
        for server in leaving:
            self.servers.leave(server.number)
        for server in self.router.endpoints.services[service].values():
            self.servers.place(server.number, parse_address(server.address), 0.0)
            if server.accepting:
                self.servers.accept(server.number)
