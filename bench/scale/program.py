"""The scale run's interface to the program: one simulated node, its roles and its actions.

The other modules use the program's node only through this one, so that a change of its interface stays here.
"""

from __future__ import annotations

import json
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from hazelspring.configuration.blocks import pack, unpack
from hazelspring.configuration.delta import apply_deltas, make_delta
from hazelspring.configuration.incremental import (
    LoadedConfiguration,
    ValidatedConfiguration,
    load_configuration,
)
from hazelspring.configuration.model import configuration_digest, parse_configuration
from hazelspring.configuration.validation import validate_change, validate_configuration
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.actions import Action, LoadReported, ReadList, Save, Send
from hazelspring.node.load_reporter import LEASE_CALL_BYTES
from hazelspring.node.messages import Message
from hazelspring.node.node import Node, NodeStart
from hazelspring.node.quota_calls import TENANT_SHARDS
from hazelspring.quota.counter import QuotaCounter
from hazelspring.quota.credits import CreditLeases
from hazelspring.quota.limits import QuotaLimits
from hazelspring.registry.instance_list import parse_instance_list
from hazelspring.registry.list_reader_role import LIST_READER
from hazelspring.registry.tables import ServerEntry, ServerRegistry, home_node, server_tag
from hazelspring.routing.endpoint_set import EndpointSet

TICK = 0.05  # seconds between two ticks of a node, as in hazelspring.daemon.node_process
READY_TICK = 0.1  # seconds between two ticks of a node that is ready and has no disk
DISK_WRITE = 0.002  # seconds of a write to disk
REVOCATION = 5.0  # seconds, as in the settings of the sites
# Seconds after the core's last confirmation from which on a node refuses requests with an access key, as in
# hazelspring.daemon.node_process.
MAX_CONFIRMATION_AGE = 0.9 * REVOCATION
# Seconds after the core's last confirmation from which on a node is not ready, and clients use other nodes.
MAX_READY_AGE = 0.5 * REVOCATION
# Kinds of the messages of consensus rounds.
ROUND_KINDS = {
    "prepare",
    "promise",
    "accept",
    "accepted",
    "no",
    "over",
    "hand",
    "lack",
}
DELIVERY_KINDS = {"want", "decided"}  # kinds of the messages that bring the decided state to all nodes

COUNTER_CALLS_PER_S = 640_000 / 4500  # calls of a node to counters at the peak, as in bench.scale.model
Listing = dict[str, dict[str, ServerEntry]]


def listing(services: int, servers: int, zones: int) -> Listing:
    """Return an instance list with the given numbers of services and servers, spread over the zones."""
    found: Listing = {f"service-{n}": {} for n in range(services)}
    for n in range(servers):
        name = f"i-{n:05d}"
        address = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:8080"
        found[f"service-{n % services}"][name] = ServerEntry(
            name, address, f"zone-{n % zones}", True, 3, "v1"
        )
    return found


@dataclass(slots=True)
class Effects:
    """The effects of a call into a node: messages to send, disk writes to make, and proposals that ended."""

    sends: list[tuple[str, Message]] = field(default_factory=list)
    saves: list[Save] = field(default_factory=list)
    # Tokens of the proposals that ended, and whether they succeeded.
    done: list[tuple[int, bool]] = field(default_factory=list)


def check_configuration(body: bytes) -> int:
    """Validate a configuration as the node that receives it from an operator does; return its version."""
    return validate_configuration(body)


def read_configuration(body: bytes) -> object:
    """Return the tables of a configuration, parsed from its full text."""
    return parse_configuration(body)


def pack_configuration(body: bytes) -> bytes:
    """Pack a configuration as the node that accepts the first one does."""
    return pack(body)


def unpack_configuration(packed: bytes) -> bytes:
    """Return the text of a packed configuration."""
    return unpack(packed)


def read_packed(packed: bytes, current: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """Load a configuration as each node does: the first one, or the successor of the one that it has."""
    return load_configuration(packed, current)


def check_next(body: bytes, current: LoadedConfiguration) -> ValidatedConfiguration:
    """Pack and validate a changed configuration as the node that receives it from an operator does."""
    return validate_change(body, current)


def delta_of(old: bytes, new: bytes) -> bytes:
    """Return the delta that each node is sent for a change, besides the decided state."""
    return make_delta(old, new)


def digest_of(body: bytes) -> bytes:
    """Return the digest by which a node verifies the configuration that it has assembled from a delta."""
    return configuration_digest(body)


def apply_delta(packed: bytes, delta: bytes, digest: bytes) -> bytes:
    """Assemble the new configuration, packed, from the old one and a delta, as each node does."""
    return apply_deltas(packed, [delta], digest)


def parse_list(page: bytes) -> Listing:
    """Return the servers by service of an instance list of one page."""
    return parse_instance_list([page], 0.0).servers


def registry_of(found: Listing) -> ServerRegistry:
    """Return a node's server registry after its first instance list."""
    registry = ServerRegistry()
    registry.update_from_list(0.0, 1, found)
    return registry


def update_registry(registry: ServerRegistry, found: Listing) -> list[str]:
    """Compare another instance list with the registry; return the services that changed."""
    return registry.update_from_list(1.0, 2, found)


def endpoints_of(found: Listing, zones: dict[str, str]) -> EndpointSet:
    """Return the servers among which a node routes requests; `zones` maps each zone to its region."""
    endpoints = EndpointSet("zone-0", zones["zone-0"], zones, random.Random(1))
    for service, servers in found.items():
        endpoints.update_endpoints(0.0, service, servers.values(), 0.0)
    return endpoints


def receive_load_report(endpoints: EndpointSet, node: str, in_flight: dict[int, int]) -> None:
    """Apply another node's load report: its requests in flight, by server tag."""
    endpoints.on_load_report(1.0, node, in_flight)


def choose(endpoints: EndpointSet, service: str) -> object:
    """Choose the server of a request to a service."""
    return endpoints.choose(1.0, service, "route", 0.4, frozenset(), False, frozenset(), set())


def credits_of(tenants: int, nodes: int) -> CreditLeases:
    """Return one node's credit leases for a number of tenants."""
    credits = CreditLeases(QuotaLimits())
    for n in range(tenants):
        credits.request_credit(0.0, f"tenant-{n:06d}", 10.0, 10.0, n, nodes)
    return credits


def counter_of(tenants: int) -> QuotaCounter:
    """Return a quota counter that has granted credit to a number of tenants."""
    counter = QuotaCounter(QuotaLimits().window)
    for n in range(tenants):
        counter.grant(0.5, 2.0, f"tenant-{n:06d}", 1.0, 30.0, ("door", 1), n)
    return counter


class SimulatedNode:
    """One node: the program's `Node` and a disk that survives restarts, without sockets and clients."""

    def __init__(self, ip: str, zone: str, region: str, disk: bool, seeds: list[str]) -> None:
        self.location, self.disk, self.seeds = (ip, zone, region), disk, seeds
        self.ip, self.zone, self.region = self.location
        self.records: dict[str, bytes] = {}
        # By node: the time at which its last load report arrived, and its requests in flight by server tag.
        self.load_reports: dict[str, tuple[float, dict[int, int]]] = {}
        self.in_flight: dict[str, int] = {}  # this node's own requests in flight, by server
        self.starts = 0
        self.instance: Node | None = None
        self.listing: Callable[[], Listing] = dict

    def start(self, now: float, first: bool) -> None:
        """Start the program's node anew with the records on its disk; `first`: the fleet's first start."""
        self.starts += 1
        incarnation = (
            1_700_000_000_000 + int(now * 1000)
        ) << 8 | self.starts & 255  # as many bits as a real incarnation
        number = zlib.crc32(self.ip.encode()) << 28 | self.starts if self.disk else 0  # unique per disk
        node_info = NodeInfo(*self.location, number, incarnation)
        start = NodeStart(node_info, self.seeds, first, dict(self.records))
        self.load_reports, self.in_flight = {}, {}
        self.instance = Node(now, start, QuotaLimits().window, lambda tenant: 30.0)

    def effects(self, now: float, actions: list[Action]) -> Effects:
        """Carry out the actions that concern only the node, such as a read of the list; return the others'
        effects.
        """
        found = Effects()
        while actions:
            more: list[Action] = []
            for action in actions:
                match action:
                    case Send():
                        found.sends.append((action.to, action.message))
                    case Save():
                        found.saves.append(action)
                    case LoadReported():
                        self.load_reports[action.node] = (now, action.in_flight_by_tag)
                    case ReadList():
                        more += self.running().on_list_read(
                            now, int(now * 1000), self.listing(), action.number
                        )
                    case ProposalOutcome():
                        found.done.append((action.token, action.succeeded))
                    case _:
                        pass
            actions = more
        return found

    def running(self) -> Node:
        """Return the program's node, which must be running."""
        assert self.instance is not None
        return self.instance

    # --- calls by the world and the phases: each returns actions for `effects` --------------------------

    def tick(self, now: float, idle_reports: bool = True) -> list[Action]:
        """Return the actions of a tick.

        `idle_reports`: also compute the load report without requests in flight, when there is nothing to
        report.
        """
        core = self.running()
        core.ready = self.configuration_version() >= 0 and now - core.confirmed_at(now) <= MAX_READY_AGE
        actions = core.tick(now)
        return (
            actions
            if self.in_flight or not idle_reports
            else actions + core.disseminator.report_load(now, {}, self.load_reports)
        )

    def tick_interval(self) -> float:
        """Return the seconds until the next tick."""
        return READY_TICK if self.running().ready and not self.disk else TICK

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        """Handle a message from the node with the address `source`."""
        return self.running().on_message(now, source, message)

    def on_saved(self, now: float, save: Save) -> list[Action]:
        """Put the records of a finished write on the disk, and report it to the program's node."""
        for name, body in save.records.items():
            if body is None:
                self.records.pop(name, None)
            else:
                self.records[name] = body
        return self.running().on_saved(now, save.serial, True)

    def put(self, now: float, token: int, number: int) -> list[Action]:
        """Propose an empty configuration with the version `number`."""
        body = json.dumps({"versionNumber": f"r{number}", "resourceList": []}).encode()
        return self.running().put_configuration(now, token, body)

    def report_in_flight(self, now: float, in_flight: dict[str, int]) -> list[Action]:
        """Send load reports as at the peak, when each tick also sends calls to quota counters."""
        self.in_flight = in_flight
        self.running().disseminator.load_reporter.record_other_bytes(
            COUNTER_CALLS_PER_S * TICK * LEASE_CALL_BYTES
        )
        return self.running().disseminator.report_load(
            now, {server_tag(name): out for name, out in in_flight.items()}, self.load_reports
        )

    def lease(self, now: float, tenant: str, number: int) -> list[Action]:
        """Request credit for a tenant from its counter."""
        return self.running().lease_credits(now, tenant, number, 1.0)

    # --- the node's state -------------------------------------------------------------------------------

    def fresh(self, now: float) -> bool:
        """Whether the core's last confirmation is recent enough to serve requests with an access key."""
        return now - self.running().confirmed_at(now) <= MAX_CONFIRMATION_AGE

    def configuration_version(self) -> int:
        """Return the version of the configuration in force at this node, below 0 where there is none."""
        state = self.running().control.state
        return state.configuration_version if state is not None else -1

    def core_agreed(self) -> bool:
        """Whether this node knows that the first core members are agreed on."""
        return self.running().core_agreed()

    def is_member(self) -> bool:
        """Whether this node is a core member, as far as it knows."""
        return self.running().control.is_member()

    def versions(self) -> dict[str, int]:
        """Return the versions of this node's server tables, by service."""
        return self.running().registry.versions()

    def known_ready_nodes(self) -> int:
        """Return the number of nodes that this node knows to be ready."""
        return len(self.running().peers.ready_nodes())

    def held_roles(self, now: float) -> set[str]:
        """Return the roles for which this node holds a lease: `list` (list reader) and `counter`."""
        roles = [role for role in range(TENANT_SHARDS + 1) if self.running().roles.held_until(role) > now]
        return {"list" if role == LIST_READER else "counter" for role in roles}

    def neighbours(self) -> tuple[str, ...]:
        """Return the addresses of the ready nodes of this node's zone, as it knows them."""
        return tuple(self.running().peers.ready_nodes(zone=self.zone))


def homes(zone: str, nodes: tuple[str, ...], services: list[str]) -> set[str | None]:
    """Return the nodes of a zone that are the home node of a service."""
    return {home_node(service, zone, nodes) for service in services}
