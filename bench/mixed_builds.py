"""Runs two builds of the system in one fleet, and checks that each reads the other's messages and disks.

    python -m bench.mixed_builds OLD NEW      (folders of two checkouts; exit status 1 if a check fails)

The fleet has three core nodes and one node without a disk.  The old build writes the disks and the
configuration; the nodes are then restarted one by one with the new build, and afterwards with the old one
again.  After each restart, a configuration is put at the restarted node.  Every node must have it, be ready
and answer a read, and the core must still have three members.  At the end, all nodes are killed, and the new
build and then the old one start alone on the disks that the other build has left.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from hazelspring.cli.control_client import call_once, call_until_settled
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

CORE = 3
OTHERS = 1
CALL_TIMEOUT = 30.0  # seconds for an operator's call
STATUS_TIMEOUT = 2.0  # seconds
AGREEMENT_TIMEOUT = 30.0  # seconds for all nodes to have a configuration and to be ready


class MixedFleet(LocalFleet):
    """A fleet in which each node runs the program of a checkout of its own."""

    def __init__(self, folder: Path, build: Path) -> None:
        super().__init__(folder, core=CORE, others=OTHERS, servers=2)
        self.builds = dict.fromkeys(range(CORE + OTHERS), build)

    def start(self, node: int, first: bool = False) -> None:
        """Start a node from its checkout; its log goes to a file beside its settings."""
        environment = {**os.environ, "HAZELSPRING_SETTINGS": str(self.write_settings(node, first))}
        environment.pop("PYTHONPATH", None)
        with (self.folder / f"node-{node + 1}.log").open("ab") as log:
            self.processes[node] = subprocess.Popen(
                [sys.executable, *self.program],
                cwd=self.builds[node],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def restart(self, node: int, build: Path) -> None:
        """Stop a node by SIGTERM, and start it again from another checkout."""
        self.kill(node, signal.SIGTERM)
        self.builds[node] = build
        self.start(node)

    def status(self, node: int) -> dict[str, Any]:
        """Return a node's status, empty while it does not answer."""
        try:
            answer = call_once(self.control_addresses()[node], "GET", "/-/status", None, STATUS_TIMEOUT)
        except OSError:
            return {}
        return dict(json.loads(answer.body))

    def agrees(self, number: int) -> bool:
        """Whether all nodes have a configuration, are ready and answer a read, and the core is complete."""
        statuses = [self.status(node) for node in range(CORE + OTHERS)]
        return (
            all(status.get("configuration") == number for status in statuses)
            and all(status.get("member") for status in statuses[:CORE])
            and all(self.is_ready(node) for node in range(CORE + OTHERS))
            and all(
                self.request(node, "GET", "/read/a", f"read-{number}-{node}").status == 200
                for node in range(CORE + OTHERS)
            )
        )


def check(fleet: MixedFleet, step: str, number: int, at: int | None) -> bool:
    """Put a configuration at a node, and return whether all nodes agree on it within `AGREEMENT_TIMEOUT`.

    With None as the node, nothing is put, and the configuration is one that is already in force.
    """
    if at is not None:
        address = fleet.control_addresses()[at]
        call_until_settled([address], "PUT", "/-/configuration", configuration(number), CALL_TIMEOUT)
    try:
        fleet.wait_until(lambda: fleet.agrees(number), AGREEMENT_TIMEOUT)
    except TimeoutError:
        print(f"FAILED {step}: {[fleet.status(node) for node in range(CORE + OTHERS)]}")
        return False
    print(f"good   {step}: configuration r{number} at {CORE + OTHERS} nodes, all ready, reads answered")
    return True


def check_all(fleet: MixedFleet, old: Path, new: Path) -> bool:
    """Move a fleet to the new build and back, node by node; return whether all checks passed."""
    fleet.start_all(first=True)
    number = 1
    passed = check(fleet, "old build alone", number, 0)
    for name, build in (("new", new), ("old", old)):
        for node in range(CORE + OTHERS):
            fleet.restart(node, build)
            number += 1
            passed &= check(fleet, f"node {node + 1} restarted with the {name} build", number, node)
    for name, build in (
        ("new build on disks of the old one", new),
        ("old build on disks of the new one", old),
    ):
        for node in range(CORE + OTHERS):
            fleet.kill(node)
        fleet.builds = dict.fromkeys(range(CORE + OTHERS), build)
        fleet.start_all()
        passed &= check(fleet, f"{name}, all killed at once", number, None)
        number += 1
        passed &= check(fleet, name, number, 0)
    return passed


def log_problems(folder: Path) -> list[str]:
    """Return the log lines that report an unexpected error or a message that could not be decoded."""
    lines = [line for log in sorted(folder.glob("node-*.log")) for line in log.read_text().splitlines()]
    return [line for line in lines if "error=" in line or "malformed" in line or "Traceback" in line]


def main() -> int:
    """Run all checks with the two checkouts of the command line; return the exit status."""
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    old, new = (Path(argument).resolve() for argument in sys.argv[1:])
    with tempfile.TemporaryDirectory(prefix="hazelspring-") as folder:
        fleet = MixedFleet(Path(folder), old)
        background = BackgroundStandIns(StandIns(fleet.platform, fleet.servers))
        try:
            passed = check_all(fleet, old, new)
        finally:
            fleet.close()
            background.close()
        problems = log_problems(Path(folder))
    print("\n".join(problems[:10]))
    print(f"{len(problems)} log lines of errors; {'all checks good' if passed else 'a check FAILED'}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
