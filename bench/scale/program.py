"""All that the scale run knows of the program: one hollow door, its roles and deeds.  It follows the program here."""

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

TICK = 0.05  # seconds between two ticks of a door, as hazelspring.daemon.node_process has it,
CALM = 0.1  # and of one that is ready and has no disk
SYNC = 0.002  # seconds of a write to disk
REVOCATION = 5.0  # seconds, as the sites have it
FRESH = (
    0.9 * REVOCATION
)  # without fresh word after which keyed requests stop, as hazelspring.daemon.node_process has it,
READY = 0.5 * REVOCATION  # and clients are sent elsewhere
ROUNDS = {
    "prepare",
    "promise",
    "accept",
    "accepted",
    "no",
    "over",
    "hand",
    "lack",
}  # messages of the agreement's rounds,
BRINGING = {"want", "decided"}  # and those that bring what was decided to all doors

CALLS = 640_000 / 4500  # a second of a door to counters at the peak, as bench.scale.model has it
Listing = dict[str, dict[str, ServerEntry]]


def listing(services: int, servers: int, zones: int) -> Listing:
    """A platform's list of so many services and servers, spread over the zones."""
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
    """What a call of a core has brought about."""

    sends: list[tuple[str, Message]] = field(default_factory=list)
    saves: list[Save] = field(default_factory=list)
    done: list[tuple[int, bool]] = field(
        default_factory=list
    )  # orders that ended, and whether they were taken


def check_word(body: bytes) -> int:
    """As the desk has a configuration checked."""
    return validate_configuration(body)


def read_word(body: bytes) -> object:
    """The tables of a configuration, read from the whole text."""
    return parse_configuration(body)


def pack_word(body: bytes) -> bytes:
    """As the door that takes the first configuration packs it."""
    return pack(body)


def unpack_word(packed: bytes) -> bytes:
    return unpack(packed)


def read_packed(packed: bytes, held: LoadedConfiguration | None = None) -> LoadedConfiguration:
    """As each door reads a configuration: the first one, and one after what it holds."""
    return load_configuration(packed, held)


def check_next(body: bytes, held: LoadedConfiguration) -> ValidatedConfiguration:
    """As the desk has a change of the configuration that its door holds packed and checked."""
    return validate_change(body, held)


def delta_of(old: bytes, new: bytes) -> bytes:
    """What goes to each door for a change, beside its state."""
    return make_delta(old, new)


def digest_of(body: bytes) -> bytes:
    return configuration_digest(body)


def apply_delta(packed: bytes, delta: bytes, digest: bytes) -> bytes:
    """As each door makes the new configuration of what it holds."""
    return apply_deltas(packed, [delta], digest)


def parse_list(page: bytes) -> Listing:
    return parse_instance_list([page], 0.0).servers


def news_of(found: Listing) -> ServerRegistry:
    """What a door knows of servers once a list has come."""
    news = ServerRegistry()
    news.update_from_list(0.0, 1, found)
    return news


def look_again(news: ServerRegistry, found: Listing) -> list[str]:
    return news.update_from_list(1.0, 2, found)


def fleet_of(found: Listing, zones: dict[str, str]) -> EndpointSet:
    """What the way of a request is chosen from."""
    fleet = EndpointSet("zone-0", zones["zone-0"], zones, random.Random(1))
    for service, servers in found.items():
        fleet.update_endpoints(0.0, service, servers.values(), 0.0)
    return fleet


def danced(fleet: EndpointSet, door: str, outs: dict[int, int]) -> None:
    """What a door does with another's word of its requests."""
    fleet.on_load_report(1.0, door, outs)


def choose(fleet: EndpointSet, service: str) -> object:
    return fleet.choose(1.0, service, "route", 0.4, frozenset(), False, frozenset(), set())


def credits_of(tenants: int, doors: int) -> CreditLeases:
    """Leases of so many tenants at one door."""
    credits = CreditLeases(QuotaLimits())
    for n in range(tenants):
        credits.request_credit(0.0, f"tenant-{n:06d}", 10.0, 10.0, n, doors)
    return credits


def counter_of(tenants: int) -> QuotaCounter:
    counter = QuotaCounter(QuotaLimits().window)
    for n in range(tenants):
        counter.grant(0.5, 2.0, f"tenant-{n:06d}", 1.0, 30.0, ("door", 1), n)
    return counter


class Hollow:
    """One door: the program's own core, with a disk that outlives it; sockets and clients are left out."""

    def __init__(self, ip: str, zone: str, region: str, disk: bool, seeds: list[str]) -> None:
        self.place, self.disk, self.seeds = (ip, zone, region), disk, seeds
        self.ip, self.zone, self.region = self.place
        self.records: dict[str, bytes] = {}
        self.dances: dict[str, tuple[float, dict[int, int]]] = {}  # what others told of their requests
        self.outs: dict[str, int] = {}  # its own
        self.lives = 0
        self.core: Node | None = None
        self.listing: Callable[[], Listing] = dict

    def start(self, now: float, first: bool) -> None:
        self.lives += 1
        life = (1_700_000_000_000 + int(now * 1000)) << 8 | self.lives & 255  # as wide as a real one
        number = zlib.crc32(self.ip.encode()) << 28 | self.lives if self.disk else 0  # no two disks have one
        about = NodeInfo(*self.place, number, life)
        start = NodeStart(about, self.seeds, first, dict(self.records))
        self.dances, self.outs = {}, {}
        self.core = Node(now, start, QuotaLimits().window, lambda tenant: 30.0)

    def effects(self, now: float, deeds: list[Action]) -> Effects:
        found = Effects()
        while deeds:
            more: list[Action] = []
            for deed in deeds:
                match deed:
                    case Send():
                        found.sends.append((deed.to, deed.message))
                    case Save():
                        found.saves.append(deed)
                    case LoadReported():
                        self.dances[deed.node] = (now, deed.in_flight_by_tag)
                    case ReadList():
                        more += self.known().on_list_read(now, int(now * 1000), self.listing(), deed.number)
                    case ProposalOutcome():
                        found.done.append((deed.token, deed.succeeded))
                    case _:
                        pass
            deeds = more
        return found

    def known(self) -> Node:
        assert self.core is not None
        return self.core

    # --- what the world and the phases call: each returns deeds for `effects` -------------------------------

    def tick(self, now: float, dancing: bool = True) -> list[Action]:
        """`dancing`: also where it has no requests out, so that there is nothing to tell, it is asked what to tell."""
        core = self.known()
        core.ready = self.number() >= 0 and now - core.confirmed_at(now) <= READY
        deeds = core.tick(now)
        return (
            deeds if self.outs or not dancing else deeds + core.disseminator.report_load(now, {}, self.dances)
        )

    def pause(self) -> float:
        """Seconds until the next tick."""
        return CALM if self.known().ready and not self.disk else TICK

    def heard(self, now: float, source: str, message: Message) -> list[Action]:
        return self.known().on_message(now, source, message)

    def synced(self, now: float, save: Save) -> list[Action]:
        for name, body in save.records.items():
            if body is None:
                self.records.pop(name, None)
            else:
                self.records[name] = body
        return self.known().on_saved(now, save.serial, True)

    def put(self, now: float, token: int, number: int) -> list[Action]:
        body = json.dumps({"versionNumber": f"r{number}", "resourceList": []}).encode()
        return self.known().put_configuration(now, token, body)

    def dance(self, now: float, outs: dict[str, int]) -> list[Action]:
        """Those of the peak: a tick's calls to counters go out beside them."""
        self.outs = outs
        self.known().disseminator.load_reporter.record_other_bytes(CALLS * TICK * LEASE_CALL_BYTES)
        return self.known().disseminator.report_load(
            now, {server_tag(name): out for name, out in outs.items()}, self.dances
        )

    def lease(self, now: float, tenant: str, number: int) -> list[Action]:
        return self.known().lease_credits(now, tenant, number, 1.0)

    # --- what is looked at ----------------------------------------------------------------------------------

    def fresh(self, now: float) -> bool:
        return now - self.known().confirmed_at(now) <= FRESH

    def number(self) -> int:
        """Of the configuration in force here; below 0 where there is none."""
        state = self.known().control.state
        return state.configuration_version if state is not None else -1

    def founded(self) -> bool:
        """Whether the first members are agreed on, as this door knows."""
        return self.known().core_agreed()

    def seated(self) -> bool:
        return self.known().control.is_member()

    def versions(self) -> dict[str, int]:
        return self.known().registry.versions()

    def counted(self) -> int:
        """Doors that this one knows of as ready."""
        return len(self.known().peers.ready_nodes())

    def duties(self, now: float) -> set[str]:
        """Roles by duty: `list`, `counter`."""
        held = [duty for duty in range(TENANT_SHARDS + 1) if self.known().roles.held_until(duty) > now]
        return {"list" if duty == LIST_READER else "counter" for duty in held}

    def neighbours(self) -> tuple[str, ...]:
        """The ready doors of its zone, as it knows them."""
        return tuple(self.known().peers.ready_nodes(zone=self.zone))


def homes(zone: str, doors: tuple[str, ...], services: list[str]) -> set[str | None]:
    """Doors of a zone that are home of a service."""
    return {home_node(service, zone, doors) for service in services}
