"""Manual recovery of real processes, after the loss of too many disks and after an upgrade from format 1.

A member of the old core that comes back must join the recovered core.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from collections.abc import Iterator

import pytest

from hazelspring.cli.control_client import call_until_settled
from hazelspring.consensus.acceptor import load_acceptor
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import ROOT, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns
from hazelspring.storage.offline import inspect_store

from .callers import node_status, number_in, send_put, send_read
from .test_recovery_command import format_1


@pytest.fixture
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    made = LocalFleet(tmp_path_factory.mktemp("fleet"), core=4, others=1)
    background = BackgroundStandIns(StandIns(made.platform, made.servers))
    try:
        made.start_all(first=True)
        call_until_settled(made.control_addresses(), "PUT", "/-/configuration", configuration(5), 30.0)
        call_until_settled(made.control_addresses(), "POST", "/-/evacuation/south-1", None, 30.0)
        wait_until_complete(made)
        yield made
    finally:
        made.close()
        background.close()


def wait_until_complete(fleet: LocalFleet) -> None:
    """Wait until all nodes are ready and all that have a disk are members."""
    members = {fleet.ips[n] for n in fleet.disks}
    for n in fleet.remaining_nodes():
        fleet.wait_until(
            lambda n=n: (
                set(node_status(fleet, n).get("core", ())) == members and node_status(fleet, n)["ready"]
            ),
            30,
        )
    for n in fleet.disks:
        fleet.wait_until(lambda n=n: node_status(fleet, n).get("member"))


def recover(fleet: LocalFleet, n: int, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "HAZELSPRING_SETTINGS": str(fleet.write_settings(n, False))}
    command = [sys.executable, "-m", "hazelspring.daemon", "recover", *arguments]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=20)


def check_changes_fail(fleet: LocalFleet) -> None:
    """Check that no node settles a change: each answers 503 after it has tried for three seconds."""
    for _ in range(2):
        sent = [send_put(fleet, n, configuration(6)) for n in fleet.remaining_nodes()]
        assert [call.end().status for call in sent] == [503] * 5


def check_recovered(fleet: LocalFleet, number: int) -> None:
    """Check that every node has the configuration and the evacuated zone, and that changes settle again."""
    wait_until_complete(fleet)
    for n in fleet.remaining_nodes():
        answer = send_read(fleet, n).end()
        assert answer.status == 200 and answer.body == configuration(number)
        assert node_status(fleet, n)["closedZones"] == ["south-1"] and node_status(fleet, n)["lineage"] > 0
    assert (
        call_until_settled(
            fleet.control_addresses(), "PUT", "/-/configuration", configuration(number + 2), 20.0
        ).status
        == 200
    )


def test_a_majority_of_the_disks_is_lost_and_the_core_is_recovered_from_one(fleet: LocalFleet) -> None:
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    old = fleet.folder / "old"
    shutil.copytree(fleet.folder / "node-2", old)
    for n in (1, 2, 3):
        fleet.wipe(n)
    for n in fleet.remaining_nodes():
        fleet.start(n)
    for n in fleet.remaining_nodes():
        fleet.wait_until(lambda n=n: node_status(fleet, n))
    check_changes_fail(fleet)  # until the recovery
    in_use = recover(fleet, 0, "--old-core-is-stopped")
    assert in_use.returncode == 1 and "in use" in in_use.stderr and node_status(fleet, 0)
    assert recover(fleet, 0, "--list").returncode == 1
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    listed = recover(fleet, 0, "--list")
    assert listed.returncode == 0 and "lineage 0" in listed.stdout and " r5 " in listed.stdout
    assert recover(fleet, 0).returncode == 2
    done = recover(fleet, 0, "--old-core-is-stopped")
    assert done.returncode == 0 and f"core of 4: {fleet.ips[0]}/" in done.stdout
    for n in fleet.remaining_nodes():
        fleet.start(n)
    check_recovered(fleet, 5)
    # a disk of the old core that was thought to be lost comes back
    fleet.kill(1)
    fleet.wipe(1)
    shutil.copytree(old, fleet.folder / "node-2")
    assert "lineage 0" in recover(fleet, 1, "--list").stdout
    fleet.start(1)
    wait_until_complete(fleet)
    assert number_in(send_read(fleet, 1).end()) == 7


def test_all_disks_are_of_format_1_and_the_core_is_recovered_from_the_newest(fleet: LocalFleet) -> None:
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    for n in fleet.disks:
        found = load_acceptor(inspect_store(fleet.folder / f"node-{n + 1}" / "comb.sqlite").records, 0, False)
        configuration_bytes = found.current_configuration()
        assert found.state is not None and configuration_bytes is not None
        fleet.wipe(n)
        old = {
            "word": ((5, found.state.configuration_digest), configuration_bytes),
            "zone/south-1": ((1, b"life"), b"1"),
        }
        format_1(fleet.folder / f"node-{n + 1}", "comb.sqlite", old if n in (0, 3) else {})
    for n in fleet.remaining_nodes():
        fleet.start(n)
    for n in fleet.disks:
        fleet.wait_until(
            lambda n=n: (
                node_status(fleet, n) and (fleet.folder / f"node-{n + 1}" / "comb.sqlite.aside").exists()
            )
        )
    for n in fleet.remaining_nodes():
        fleet.wait_until(lambda n=n: node_status(fleet, n))
    check_changes_fail(fleet)  # until the recovery
    assert all(node_status(fleet, n)["configuration"] is None for n in fleet.remaining_nodes())
    fleet.kill(3)
    aside = str(fleet.folder / "node-4" / "comb.sqlite.aside")
    listed = recover(fleet, 3, "--list")
    assert "format 1" in listed.stdout and "zone/south-1 closed" in listed.stdout
    assert recover(fleet, 3, "--old-core-is-stopped", "--from", aside, "--size", "4").returncode == 0
    fleet.start(3)
    check_recovered(fleet, 5)
    assert json.loads(send_read(fleet, 4).end().body)["versionNumber"] == "r7"
