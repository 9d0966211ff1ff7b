"""Costs within one node by the number of servers: the instance list, load reports, routing, and memory."""

from __future__ import annotations

import gc
import itertools
import json
import random
import time
from collections.abc import Callable
from typing import Any

import cbor2

from bench.scale import program
from bench.scale.phases import IN_FLIGHT_PER_NODE
from bench.scale.world import REGIONS, ZONES, deep_size
from hazelspring.node import codec
from hazelspring.node.messages import LoadReport
from hazelspring.registry.tables import server_tag

REPORTING_NODES = 4500 // REGIONS  # nodes of a region at the target, which send each other load reports
REGION_BY_ZONE = {f"zone-{n}": f"region-{n % REGIONS}" for n in range(ZONES)}


def seconds(function: Callable[[], Any], min_duration: float = 0.2) -> float:
    """Return the processor time of one call: the least of three rounds of `min_duration` seconds or more."""
    rounds, count = [], 1
    while True:
        began = time.process_time()
        for _ in range(count):
            function()
        spent = time.process_time() - began
        if spent >= min_duration:
            rounds.append(spent / count)
            if len(rounds) == 3:
                return min(rounds)
        else:
            count *= 2


def list_page(servers: int, services: int) -> bytes:
    """Return the platform's instance list as one page, in JSON."""
    entries = {
        server.id: {
            "service": service, "address": server.address, "zone": server.zone, "versionNumber": server.release,
            "capacitySlots": server.slots, "serverState": "accepting", "coldRemainingMs": 0,
        }
        for service, of in program.listing(services, servers, ZONES).items()
        for server in of.values()
    }  # fmt: skip
    return json.dumps({"instanceList": entries, "nextToken": None}).encode()


def measure(servers: int) -> dict[str, float]:
    """Return the figures for a number of servers; sizes are in bytes.

    The memory of leases and counters is given per tenant.
    """
    services = max(1, servers * 2300 // 40_000)
    body = list_page(servers, services)
    found = program.parse_list(body)
    registry = program.registry_of(found)
    endpoints = program.endpoints_of(found, REGION_BY_ZONE)
    names, rng = [server_tag(name) for of in found.values() for name in of], random.Random(1)
    in_flight = [
        dict.fromkeys(rng.sample(names, min(IN_FLIGHT_PER_NODE, len(names))), 1)
        for _ in range(REPORTING_NODES)
    ]
    for n, each in enumerate(in_flight):
        program.receive_load_report(endpoints, f"10.200.9.{n}", each)
    # A load report is compared with the node's previous one, and only differences are added up.  Two
    # reports that alternate differ in nearly all servers.
    reports = itertools.cycle(in_flight[:2])
    first_service = next(iter(found))
    gc.disable()
    figures = {
        "servers": servers, "services": services, "list_bytes": len(body),
        "parse_s": seconds(lambda: program.parse_list(body)),
        "look_s": seconds(lambda: program.update_registry(registry, found)),
        "dance_s": seconds(lambda: program.receive_load_report(endpoints, "10.200.9.0", next(reports))),
        "dance_bytes": len(codec.encode(LoadReport(in_flight[0]))),
        "choose_s": seconds(lambda: program.choose(endpoints, first_service)),
        "versions_bytes": len(cbor2.dumps(registry.versions())),
        "table_bytes": len(cbor2.dumps(registry.encode(1.0, first_service))),
        "news_held": deep_size(registry), "fleet_held": deep_size(endpoints),
        "lease_held": deep_size(program.credits_of(1000, 4500)) / 1000,
        "count_held": deep_size(program.counter_of(1000)) / 1000,
    }  # fmt: skip
    gc.enable()
    return figures
