"""Tables and lists of one door by the number of servers: the platform's list, dances, choices, and memory."""

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
from bench.scale.phases import AT_SERVERS
from bench.scale.world import REGIONS, ZONES, weigh
from hazelspring.node import codec
from hazelspring.node.messages import LoadReport
from hazelspring.registry.tables import server_tag

DANCERS = 4500 // REGIONS  # doors of a region at the target: those that tell each other where requests are
PLACES = {f"zone-{n}": f"region-{n % REGIONS}" for n in range(ZONES)}


def seconds(what: Callable[[], Any], least: float = 0.2) -> float:
    """Processor time of one call: the least of three rounds of as many as take `least` seconds."""
    rounds, count = [], 1
    while True:
        began = time.process_time()
        for _ in range(count):
            what()
        spent = time.process_time() - began
        if spent >= least:
            rounds.append(spent / count)
            if len(rounds) == 3:
                return min(rounds)
        else:
            count *= 2


def page(servers: int, services: int) -> bytes:
    """The platform's list as it comes, whole."""
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
    services = max(1, servers * 2300 // 40_000)
    body = page(servers, services)
    found = program.parse_list(body)
    news = program.news_of(found)
    fleet = program.fleet_of(found, PLACES)
    names, draw = [server_tag(name) for of in found.values() for name in of], random.Random(1)
    outs = [dict.fromkeys(draw.sample(names, min(AT_SERVERS, len(names))), 1) for _ in range(DANCERS)]
    for n, each in enumerate(outs):
        program.danced(fleet, f"10.200.9.{n}", each)
    turns = itertools.cycle(outs[:2])  # what differs from a door's last word is summed up: here all of it
    busy = next(iter(found))
    gc.disable()
    figures = {
        "servers": servers, "services": services, "list_bytes": len(body),
        "parse_s": seconds(lambda: program.parse_list(body)),
        "look_s": seconds(lambda: program.look_again(news, found)),
        "dance_s": seconds(lambda: program.danced(fleet, "10.200.9.0", next(turns))),
        "dance_bytes": len(codec.encode(LoadReport(outs[0]))),
        "choose_s": seconds(lambda: program.choose(fleet, busy)),
        "versions_bytes": len(cbor2.dumps(news.versions())),
        "table_bytes": len(cbor2.dumps(news.encode(1.0, busy))),
        "news_held": weigh(news), "fleet_held": weigh(fleet),
        "lease_held": weigh(program.credits_of(1000, 4500)) / 1000,
        "count_held": weigh(program.counter_of(1000)) / 1000,
    }  # fmt: skip
    gc.enable()
    return figures
