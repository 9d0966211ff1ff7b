"""What look-ups name while a soak goes on: every node's directory is asked again and again."""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import dataclass

from hazelspring.cli.control_client import call_once
from hazelspring.localfleet.fleet import LocalFleet

PAUSE = 0.02  # seconds between two look-ups
TIMEOUT = 0.3  # seconds for one: the node may be stopped


@dataclass(frozen=True)
class Lookup:
    """An answer of a node's directory: the addresses that it named, and when."""

    at: float  # by the monotonic clock, in seconds
    node: int
    named: frozenset[str]


class Lookups:
    """Asks all nodes in turn for addresses for clients of their own regions, until `stop`."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet, self.stopped = fleet, threading.Event()
        self.answers: list[Lookup] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stopped.is_set():
            for node in self.fleet.remaining_nodes():
                self.ask(node)
                if self.stopped.wait(PAUSE):
                    return

    def ask(self, node: int) -> None:
        region = self.fleet.region(node)
        path = f"/-/lookup?name=shop.example&answerRegion={region}&zone={self.fleet.zones[node]}"
        try:
            got = call_once(f"{self.fleet.ips[node]}:{self.fleet.directory}", "GET", path, None, TIMEOUT)
        except (OSError, http.client.HTTPException):
            return
        if got.status == 200:
            named = frozenset(each.rpartition(":")[0] for each in json.loads(got.body)["addresses"])
            self.answers.append(Lookup(time.monotonic(), node, named))

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()
