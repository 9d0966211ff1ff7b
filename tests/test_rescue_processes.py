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
from hazelspring.localfleet.__main__ import Background
from hazelspring.localfleet.fleet import ROOT, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns
from hazelspring.storage.offline import inspect_store

from .callers import number_in, put, read, told
from .test_rescue_command import format_1


@pytest.fixture
def yard(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    made = LocalFleet(tmp_path_factory.mktemp("yard"), core=4, others=1)
    background = Background(StandIns(made.platform, made.servers))
    try:
        made.start_all(first=True)
        call_until_settled(made.controls(), "PUT", "/-/configuration", configuration(5), 30.0)
        call_until_settled(made.controls(), "POST", "/-/evacuation/south-1", None, 30.0)
        whole(made)
        yield made
    finally:
        made.close()
        background.close()


def whole(yard: LocalFleet) -> None:
    """All doors are ready, and all that have a disk are members."""
    seats = {yard.ips[n] for n in yard.disks}
    for n in yard.there():
        yard.until(lambda n=n: set(told(yard, n).get("core", ())) == seats and told(yard, n)["ready"], 30)
    for n in yard.disks:
        yard.until(lambda n=n: told(yard, n).get("member"))


def rescue(yard: LocalFleet, n: int, *words: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "HAZELSPRING_SETTINGS": str(yard.settings(n, False))}
    command = [sys.executable, "-m", "hazelspring.daemon", "recover", *words]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=20)


def unsettled(yard: LocalFleet) -> None:
    """No door takes an order: each says so, once it has tried for its three seconds."""
    for _ in range(2):
        sent = [put(yard, n, configuration(6)) for n in yard.there()]
        assert [call.end().status for call in sent] == [503] * 5


def holds_on(yard: LocalFleet, number: int) -> None:
    """The configuration and the closed zone are read back at every door, and orders are taken again."""
    whole(yard)
    for n in yard.there():
        answer = read(yard, n).end()
        assert answer.status == 200 and answer.body == configuration(number)
        assert told(yard, n)["closedZones"] == ["south-1"] and told(yard, n)["lineage"] > 0
    assert (
        call_until_settled(yard.controls(), "PUT", "/-/configuration", configuration(number + 2), 20.0).status
        == 200
    )


def test_a_majority_of_the_disks_is_lost_and_the_core_goes_on_from_one(yard: LocalFleet) -> None:
    for n in yard.there():
        yard.kill(n)
    old = yard.folder / "old"
    shutil.copytree(yard.folder / "door-2", old)
    for n in (1, 2, 3):
        yard.wipe(n)
    for n in yard.there():
        yard.start(n)
    for n in yard.there():
        yard.until(lambda n=n: told(yard, n))
    unsettled(yard)  # the hole
    in_use = rescue(yard, 0, "--old-core-is-stopped")
    assert in_use.returncode == 1 and "in use" in in_use.stderr and told(yard, 0)
    assert rescue(yard, 0, "--list").returncode == 1
    for n in yard.there():
        yard.kill(n)
    listed = rescue(yard, 0, "--list")
    assert listed.returncode == 0 and "lineage 0" in listed.stdout and " r5 " in listed.stdout
    assert rescue(yard, 0).returncode == 2
    done = rescue(yard, 0, "--old-core-is-stopped")
    assert done.returncode == 0 and f"core of 4: {yard.ips[0]}/" in done.stdout
    for n in yard.there():
        yard.start(n)
    holds_on(yard, 5)
    # a disk of the old core that was not lost after all
    yard.kill(1)
    yard.wipe(1)
    shutil.copytree(old, yard.folder / "door-2")
    assert "lineage 0" in rescue(yard, 1, "--list").stdout
    yard.start(1)
    whole(yard)
    assert number_in(read(yard, 1).end()) == 7


def test_all_disks_are_of_format_1_and_the_core_goes_on_from_the_newest(yard: LocalFleet) -> None:
    for n in yard.there():
        yard.kill(n)
    for n in yard.disks:
        found = load_acceptor(inspect_store(yard.folder / f"door-{n + 1}" / "comb.sqlite").records, 0, False)
        word = found.current_configuration()
        assert found.state is not None and word is not None
        yard.wipe(n)
        old = {"word": ((5, found.state.configuration_digest), word), "zone/south-1": ((1, b"life"), b"1")}
        format_1(yard.folder / f"door-{n + 1}", "comb.sqlite", old if n in (0, 3) else {})
    for n in yard.there():
        yard.start(n)
    for n in yard.disks:
        yard.until(
            lambda n=n: told(yard, n) and (yard.folder / f"door-{n + 1}" / "comb.sqlite.aside").exists()
        )
    unsettled(yard)  # the hole
    assert all(told(yard, n)["configuration"] is None for n in yard.there())
    yard.kill(3)
    aside = str(yard.folder / "door-4" / "comb.sqlite.aside")
    listed = rescue(yard, 3, "--list")
    assert "format 1" in listed.stdout and "zone/south-1 closed" in listed.stdout
    assert rescue(yard, 3, "--old-core-is-stopped", "--from", aside, "--size", "4").returncode == 0
    yard.start(3)
    holds_on(yard, 5)
    assert json.loads(read(yard, 4).end().body)["versionNumber"] == "r7"
