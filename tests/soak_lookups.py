"""Repeated look-ups at the directories of all nodes during a soak test."""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import dataclass

from hazelspring.cli.control_client import call_once
from hazelspring.localfleet.fleet import LocalFleet

PAUSE = 0.02  # seconds between two look-ups
TIMEOUT = 0.3  # seconds for one look-up; short, as the node may be stopped


@dataclass(frozen=True)
class Lookup:
    """An answer of a node's directory."""

    at: float  # by the monotonic clock, in seconds
    node: int
    addresses: frozenset[str]


class Lookups:
    """A thread that looks up addresses at all nodes in turn, for clients of each node's region."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet, self.stopped = fleet, threading.Event()
        self.answers: list[Lookup] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stopped.is_set():
            for node in self.fleet.remaining_nodes():
                self.look_up(node)
                if self.stopped.wait(PAUSE):
                    return

    def look_up(self, node: int) -> None:
        region = self.fleet.region(node)
        path = f"/-/lookup?name=shop.example&answerRegion={region}&zone={self.fleet.zones[node]}"
        try:
            got = call_once(f"{self.fleet.ips[node]}:{self.fleet.directory}", "GET", path, None, TIMEOUT)
        except (OSError, http.client.HTTPException):
            return
        if got.status == 200:
            addresses = frozenset(each.rpartition(":")[0] for each in json.loads(got.body)["addresses"])
            self.answers.append(Lookup(time.monotonic(), node, addresses))

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()
