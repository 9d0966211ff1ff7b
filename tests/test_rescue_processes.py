"""Rescue by hand between real processes: more disks lost than is tolerated, an upgrade from format 1, an old member."""

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

from .callers import number_in, put, read, told
from .test_recovery_command import format_1


@pytest.fixture
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    made = LocalFleet(tmp_path_factory.mktemp("yard"), core=4, others=1)
    background = BackgroundStandIns(StandIns(made.platform, made.servers))
    try:
        made.start_all(first=True)
        call_until_settled(made.control_addresses(), "PUT", "/-/configuration", configuration(5), 30.0)
        call_until_settled(made.control_addresses(), "POST", "/-/evacuation/south-1", None, 30.0)
        whole(made)
        yield made
    finally:
        made.close()
        background.close()


def whole(fleet: LocalFleet) -> None:
    """All doors are ready, and all that have a disk are members."""
    seats = {fleet.ips[n] for n in fleet.disks}
    for n in fleet.remaining_nodes():
        fleet.wait_until(
            lambda n=n: set(told(fleet, n).get("core", ())) == seats and told(fleet, n)["ready"], 30
        )
    for n in fleet.disks:
        fleet.wait_until(lambda n=n: told(fleet, n).get("member"))


def rescue(fleet: LocalFleet, n: int, *words: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "HAZELSPRING_SETTINGS": str(fleet.write_settings(n, False))}
    command = [sys.executable, "-m", "hazelspring.daemon", "recover", *words]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=20)


def unsettled(fleet: LocalFleet) -> None:
    """No door takes an order: each says so, once it has tried for its three seconds."""
    for _ in range(2):
        sent = [put(fleet, n, configuration(6)) for n in fleet.remaining_nodes()]
        assert [call.end().status for call in sent] == [503] * 5


def holds_on(fleet: LocalFleet, number: int) -> None:
    """The configuration and the closed zone are read back at every door, and orders are taken again."""
    whole(fleet)
    for n in fleet.remaining_nodes():
        answer = read(fleet, n).end()
        assert answer.status == 200 and answer.body == configuration(number)
        assert told(fleet, n)["closedZones"] == ["south-1"] and told(fleet, n)["lineage"] > 0
    assert (
        call_until_settled(
            fleet.control_addresses(), "PUT", "/-/configuration", configuration(number + 2), 20.0
        ).status
        == 200
    )


def test_a_majority_of_the_disks_is_lost_and_the_core_goes_on_from_one(fleet: LocalFleet) -> None:
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    old = fleet.folder / "old"
    shutil.copytree(fleet.folder / "node-2", old)
    for n in (1, 2, 3):
        fleet.wipe(n)
    for n in fleet.remaining_nodes():
        fleet.start(n)
    for n in fleet.remaining_nodes():
        fleet.wait_until(lambda n=n: told(fleet, n))
    unsettled(fleet)  # the hole
    in_use = rescue(fleet, 0, "--old-core-is-stopped")
    assert in_use.returncode == 1 and "in use" in in_use.stderr and told(fleet, 0)
    assert rescue(fleet, 0, "--list").returncode == 1
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    listed = rescue(fleet, 0, "--list")
    assert listed.returncode == 0 and "lineage 0" in listed.stdout and " r5 " in listed.stdout
    assert rescue(fleet, 0).returncode == 2
    done = rescue(fleet, 0, "--old-core-is-stopped")
    assert done.returncode == 0 and f"core of 4: {fleet.ips[0]}/" in done.stdout
    for n in fleet.remaining_nodes():
        fleet.start(n)
    holds_on(fleet, 5)
    # a disk of the old core that was not lost after all
    fleet.kill(1)
    fleet.wipe(1)
    shutil.copytree(old, fleet.folder / "node-2")
    assert "lineage 0" in rescue(fleet, 1, "--list").stdout
    fleet.start(1)
    whole(fleet)
    assert number_in(read(fleet, 1).end()) == 7


def test_all_disks_are_of_format_1_and_the_core_goes_on_from_the_newest(fleet: LocalFleet) -> None:
    for n in fleet.remaining_nodes():
        fleet.kill(n)
    for n in fleet.disks:
        found = load_acceptor(inspect_store(fleet.folder / f"node-{n + 1}" / "comb.sqlite").records, 0, False)
        word = found.current_configuration()
        assert found.state is not None and word is not None
        fleet.wipe(n)
        old = {"word": ((5, found.state.configuration_digest), word), "zone/south-1": ((1, b"life"), b"1")}
        format_1(fleet.folder / f"node-{n + 1}", "comb.sqlite", old if n in (0, 3) else {})
    for n in fleet.remaining_nodes():
        fleet.start(n)
    for n in fleet.disks:
        fleet.wait_until(
            lambda n=n: told(fleet, n) and (fleet.folder / f"node-{n + 1}" / "comb.sqlite.aside").exists()
        )
    unsettled(fleet)  # the hole
    assert all(told(fleet, n)["configuration"] is None for n in fleet.remaining_nodes())
    fleet.kill(3)
    aside = str(fleet.folder / "node-4" / "comb.sqlite.aside")
    listed = rescue(fleet, 3, "--list")
    assert "format 1" in listed.stdout and "zone/south-1 closed" in listed.stdout
    assert rescue(fleet, 3, "--old-core-is-stopped", "--from", aside, "--size", "4").returncode == 0
    fleet.start(3)
    holds_on(fleet, 5)
    assert json.loads(read(fleet, 4).end().body)["versionNumber"] == "r7"
