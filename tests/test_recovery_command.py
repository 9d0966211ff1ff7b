"""hazelspringd recover: lists a disk's contents, recovers a core from them, and refuses unusable ones."""

from __future__ import annotations

import json
import sqlite3
import zlib
from pathlib import Path

import pytest

from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.acceptor import Acceptor, load_acceptor
from hazelspring.consensus.control_state import Ballot, ControlState, Member
from hazelspring.consensus.disaster_recovery import LegacyItems
from hazelspring.daemon.__main__ import main
from hazelspring.storage.offline import inspect_store, item_checksum
from hazelspring.storage.replica_store import ReplicaStore, StoreError

from .test_disaster_recovery import BODY, COMPRESSED_BODY, MEMBERS, acceptor_with_pending_state


def format_1(folder: Path, name: str, items: LegacyItems) -> None:
    """Write a store file of format 1, from before nodes agreed on states by consensus."""
    folder.mkdir(exist_ok=True)
    database = sqlite3.connect(folder / name)
    database.executescript(
        "create table item (key text primary key, number integer, tie blob, body blob, sum blob);"
        "create table mark (name text primary key, body blob); pragma user_version=1"
    )
    rows = [(key, n, tie, body, item_checksum(key, n, tie, body)) for key, ((n, tie), body) in items.items()]
    database.executemany("insert into item values (?, ?, ?, ?, ?)", rows)
    database.executemany("insert into mark values (?, ?)", [("doors", b"6"), ("voice", b"1")])
    database.commit()
    database.close()


def write_settings(tmp_path: Path) -> str:
    path, disk = tmp_path / "node.conf", tmp_path / "disk"
    disk.mkdir(exist_ok=True)
    listens = ("front", "readiness", "controlAddress", "directoryAddress")
    lines = [f"network.listenAddresses.{name}=127.0.0.1:{n}" for n, name in enumerate(listens, 1)]
    lines += [
        f"thisDoor.{line}" for line in ("nodeName=d", "internetAddress=127.0.0.1", "zone=z", "answerRegion=e")
    ]
    lines += [f"thisDoor.dataDirectory={disk}", "network.internalPorts=9", "network.zones.z=e"]
    lines += ["platformSettings.cloudInterface.address=127.0.0.1:5"]
    path.write_text("\n".join(lines))
    return str(path)


def write_store(path: Path, acceptor: Acceptor) -> None:
    store = ReplicaStore(str(path))
    store.save({**acceptor.take_dirty_records(), "mark doors": b"6"})
    store.close()


def test_the_command_lists_a_store_without_writing_and_recovers_a_core_from_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path)
    write_store(tmp_path / "disk", acceptor_with_pending_state())
    before = {
        file.name: (file.read_bytes(), file.stat().st_mtime_ns) for file in (tmp_path / "disk").iterdir()
    }
    assert main(["recover", "--list", "--data", str(tmp_path / "disk")]) == 0
    output = capsys.readouterr().out
    assert "sums good" in output and "lineage 0 version 4 ballot 3  r7" in output and "closed z1" in output
    assert (
        "version 5 ballot 9" in output
        and "d1/1 d2/2 d3/3" in output
        and "may have been acknowledged" in output
    )
    # the operator must confirm that the old core is stopped
    assert main(["recover", "--settings", path]) == 2
    after = {
        file.name: (file.read_bytes(), file.stat().st_mtime_ns) for file in (tmp_path / "disk").iterdir()
    }
    assert after == before
    assert main(["recover", "--settings", path, "--old-core-is-stopped", "--take", "decided"]) == 0
    records = inspect_store(tmp_path / "disk" / "comb.sqlite").records
    recovered = load_acceptor(records, 0, False)
    assert (
        recovered.state is not None
        and recovered.state.evacuated_zones == {"z1"}
        and recovered.current_configuration() == COMPRESSED_BODY
    )
    assert (
        recovered.state.members == (Member("127.0.0.1", "z", "e", recovered.disk_id),)
        and records["mark doors"] == b"6"
    )
    (backup,) = (tmp_path / "disk").glob("comb.sqlite.before-*")
    assert inspect_store(backup).records == {
        **acceptor_with_pending_state().take_dirty_records(),
        "mark doors": b"6",
    }
    assert ReplicaStore(str(tmp_path / "disk")).load() == records


def test_the_command_combines_stores_of_format_1(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, files = write_settings(tmp_path), []
    disks: list[LegacyItems] = [
        {"word": ((7, configuration_digest(BODY)), COMPRESSED_BODY), "zone/z1": ((1, b"a"), b"1")},
        {"word": ((6, b"6"), b"old"), "zone/z1": ((2, b"a"), b"0"), "zone/z2": ((1, b"a"), b"1")},
    ]
    for n, items in enumerate(disks):
        format_1(tmp_path / f"{n}", "comb.sqlite.aside", items)
        files += ["--from", str(tmp_path / f"{n}" / "comb.sqlite.aside")]
    assert main(["recover", "--list", "--data", str(tmp_path / "1")]) == 0
    assert "format 1" in (text := capsys.readouterr().out) and "zone/z2 closed" in text and "r6" in text
    command = ["recover", "--settings", path, "--old-core-is-stopped", *files]
    assert main(command) == 2 and "--size" in capsys.readouterr().err
    assert main([*command, "--size", "4"]) == 0
    records = inspect_store(tmp_path / "disk" / "comb.sqlite").records
    state = load_acceptor(records, 0, False).state
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z2"}),
        4,
    )
    assert records["mark doors"] == b"6"


@pytest.mark.parametrize("damage", ["sum", "foreign", "newer", "none", "body", "empty"])
def test_the_command_refuses_an_unusable_store_and_changes_nothing(
    tmp_path: Path, damage: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path, file = write_settings(tmp_path), tmp_path / "disk" / "comb.sqlite"
    acceptor = acceptor_with_pending_state() if damage != "empty" else Acceptor(3, False)
    if damage == "body":
        bad = zlib.compress(json.dumps({"versionNumber": "r8"}).encode())
        acceptor.learn(Ballot(10, 1, "d1"), ControlState(6, MEMBERS, MEMBERS, 3, 8, b"bad"), bad)
    write_store(tmp_path / "disk", acceptor)
    database = sqlite3.connect(file)
    if damage == "sum":
        database.execute("update record set body = x'00' where name = 'vote'")
    elif damage == "newer":
        database.execute("pragma user_version=99")
    database.commit()
    database.close()
    if damage == "foreign":
        file.write_bytes(b"no database at all" * 100)
    elif damage == "none":
        file.unlink()
    before = file.read_bytes() if file.exists() else b""
    assert main(["recover", "--settings", path, "--old-core-is-stopped"]) == 1
    assert "hazelspringd: " in capsys.readouterr().err
    assert (file.read_bytes() if file.exists() else b"") == before
    if damage in ("foreign", "newer", "none"):
        with pytest.raises(StoreError):
            inspect_store(file)
