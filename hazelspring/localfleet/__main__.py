"""Runs the whole system on this machine: ``python3 -m hazelspring.localfleet``."""

from __future__ import annotations

import argparse
import asyncio
import math
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from hazelspring.cli.__main__ import print_statuses
from hazelspring.cli.control_client import call_until_settled
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

SETTLE_PATIENCE = 30.0  # seconds for the nodes to accept the first configuration
START_TIMEOUT = 10.0  # seconds for the platform and the servers to start listening
STOP_TIMEOUT = 5.0  # seconds for their thread to end
POLL_INTERVAL = 0.2  # seconds


class BackgroundStandIns:
    """Runs the simulated platform and servers on an event loop in a thread of its own."""

    def __init__(self, stand_ins: StandIns) -> None:
        self.stand_ins = stand_ins
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(stand_ins.start(), self.loop).result(START_TIMEOUT)

    def close(self) -> None:
        """Stop listening and end the thread."""
        self.loop.call_soon_threadsafe(self.stand_ins.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(STOP_TIMEOUT)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="hazelspring.localfleet", description="Runs nodes, platform and servers on loopback addresses."
    )
    parser.add_argument("--core", type=int, default=4, help="nodes with a disk (4)")
    parser.add_argument("--others", type=int, default=2, help="nodes without a disk (2)")
    parser.add_argument(
        "--for", type=float, default=0.0, dest="seconds", help="seconds to run; 0: until Ctrl-C"
    )
    return parser


def start_and_show(fleet: LocalFleet) -> None:
    """Start the fleet with a configuration, and print how to reach it and the answers to two requests."""
    fleet.start_all(first=True)
    addresses = fleet.control_addresses()
    call_until_settled(addresses, "PUT", "/-/configuration", configuration(1), SETTLE_PATIENCE)
    fleet.wait_until(lambda: all(fleet.is_ready(n) for n in range(len(fleet.ips))))
    print(f"export HAZELSPRING_NODES={','.join(addresses)}\nlogs and disks: {fleet.folder}\n")
    print_statuses(addresses)
    fleet.wait_until(lambda: fleet.request(0, "GET", "/read/first", "first").status == 200)
    for n, (method, path) in enumerate((("GET", "/read/a"), ("POST", "/write/a"))):
        answer = fleet.request(n, method, path, f"try-{n}")
        text = answer.body.decode().strip()
        print(f"{method} {path} at {fleet.ips[n]}:{fleet.front} -> {answer.status} {text}")
    print(f"\nheaders of a request: Host: shop.example, Authorization: Bearer {KEY}; Ctrl-C stops the fleet")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a fleet for the seconds of `--for`, or until Ctrl-C; return the exit status."""
    parser = make_parser()
    chosen = parser.parse_args(arguments)
    if chosen.core < 1 or chosen.others < 0:
        parser.error("--core must be at least 1, and --others not negative")
    with tempfile.TemporaryDirectory(prefix="hazelspring-") as folder:
        fleet = LocalFleet(Path(folder), chosen.core, chosen.others)
        background = BackgroundStandIns(StandIns(fleet.platform, fleet.servers))
        try:
            start_and_show(fleet)
            end = time.monotonic() + chosen.seconds if chosen.seconds else math.inf
            while time.monotonic() < end:
                time.sleep(POLL_INTERVAL)
        except KeyboardInterrupt:
            pass  # the usual way to stop the fleet
        finally:
            fleet.close()
            background.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
