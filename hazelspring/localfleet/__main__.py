"""One command for the whole system on this machine: python3 -m hazelspring.localfleet."""

from __future__ import annotations

import argparse
import asyncio
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


class BackgroundStandIns:
    """The stand-ins' loop, in a thread of its own."""

    def __init__(self, stands: StandIns) -> None:
        self.stands, self.loop = stands, asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(stands.start(), self.loop).result(10)

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.stands.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hazelspring.localfleet", description="Doors, platform and servers on loopback addresses."
    )
    parser.add_argument("--core", type=int, default=4, help="doors with a disk (4)")
    parser.add_argument("--others", type=int, default=2, help="doors without one (2)")
    parser.add_argument(
        "--for", type=float, default=0.0, dest="seconds", help="seconds to run; 0: until Ctrl-C"
    )
    chosen = parser.parse_args(arguments)
    if chosen.core < 1 or chosen.others < 0:
        parser.error("there must be a door with a disk")
    with tempfile.TemporaryDirectory(prefix="hazelspring-") as folder:
        fleet = LocalFleet(Path(folder), chosen.core, chosen.others)
        background = BackgroundStandIns(StandIns(fleet.platform, fleet.servers))
        try:
            fleet.start_all(first=True)
            call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), 30.0)
            fleet.wait_until(lambda: all(fleet.is_ready(n) for n in range(len(fleet.ips))))
            nodes = ",".join(fleet.control_addresses())
            print(f"export HAZELSPRING_NODES={nodes}\nlogs and disks: {folder}\n")
            print_statuses(fleet.control_addresses())
            fleet.wait_until(lambda: fleet.request(0, "GET", "/read/first", "first")[0] == 200)
            for n, (method, path) in enumerate((("GET", "/read/a"), ("POST", "/write/a"))):
                status, body = fleet.request(n, method, path, f"try-{n}")
                print(f"{method} {path} at {fleet.ips[n]}:{fleet.front} -> {status} {body.decode().strip()}")
            print(f"\nas a client: Host: shop.example, Authorization: Bearer {KEY}; Ctrl-C ends it")
            end = time.monotonic() + chosen.seconds if chosen.seconds else float("inf")
            while time.monotonic() < end:
                time.sleep(0.2)
        except KeyboardInterrupt:
            pass
        finally:
            fleet.close()
            background.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
