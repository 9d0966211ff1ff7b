"""hazelspringd recover: what it says a disk holds, what it makes of it, and what it refuses."""

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

from .test_rescue import BODY, COMPRESSED_BODY, MEMBERS, acceptor_with_pending_state


def format_1(folder: Path, name: str, items: LegacyItems) -> None:
    """A file of format 1, from before there was an agreement."""
    folder.mkdir(exist_ok=True)
    base = sqlite3.connect(folder / name)
    base.executescript(
        "create table item (key text primary key, number integer, tie blob, body blob, sum blob);"
        "create table mark (name text primary key, body blob); pragma user_version=1"
    )
    rows = [(key, n, tie, body, item_checksum(key, n, tie, body)) for key, ((n, tie), body) in items.items()]
    base.executemany("insert into item values (?, ?, ?, ?, ?)", rows)
    base.executemany("insert into mark values (?, ?)", [("doors", b"6"), ("voice", b"1")])
    base.commit()
    base.close()


def settings(tmp_path: Path) -> str:
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


def store_with(path: Path, register: Acceptor) -> None:
    store = ReplicaStore(str(path))
    store.save({**register.take_dirty_records(), "mark doors": b"6"})
    store.close()


def test_the_command_lists_without_writing_and_rescues_what_was_stopped(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = settings(tmp_path)
    store_with(tmp_path / "disk", acceptor_with_pending_state())
    before = {
        file.name: (file.read_bytes(), file.stat().st_mtime_ns) for file in (tmp_path / "disk").iterdir()
    }
    assert main(["recover", "--list", "--data", str(tmp_path / "disk")]) == 0
    said = capsys.readouterr().out
    assert "sums good" in said and "lineage 0 version 4 ballot 3  r7" in said and "closed z1" in said
    assert "version 5 ballot 9" in said and "d1/1 d2/2 d3/3" in said and "may have been acknowledged" in said
    assert main(["recover", "--settings", path]) == 2  # the operator has to say that the old core is stopped
    after = {
        file.name: (file.read_bytes(), file.stat().st_mtime_ns) for file in (tmp_path / "disk").iterdir()
    }
    assert after == before
    assert main(["recover", "--settings", path, "--old-core-is-stopped", "--take", "decided"]) == 0
    records = inspect_store(tmp_path / "disk" / "comb.sqlite").records
    made = load_acceptor(records, 0, False)
    assert (
        made.state is not None
        and made.state.evacuated_zones == {"z1"}
        and made.current_configuration() == COMPRESSED_BODY
    )
    assert (
        made.state.members == (Member("127.0.0.1", "z", "e", made.disk_id),) and records["mark doors"] == b"6"
    )
    (kept,) = (tmp_path / "disk").glob("comb.sqlite.before-*")
    assert inspect_store(kept).records == {
        **acceptor_with_pending_state().take_dirty_records(),
        "mark doors": b"6",
    }
    assert ReplicaStore(str(tmp_path / "disk")).load() == records


def test_the_command_puts_disks_of_format_1_together(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, files = settings(tmp_path), []
    disks: list[LegacyItems] = [
        {"word": ((7, configuration_digest(BODY)), COMPRESSED_BODY), "zone/z1": ((1, b"a"), b"1")},
        {"word": ((6, b"6"), b"old"), "zone/z1": ((2, b"a"), b"0"), "zone/z2": ((1, b"a"), b"1")},
    ]
    for n, items in enumerate(disks):
        format_1(tmp_path / f"{n}", "comb.sqlite.aside", items)
        files += ["--from", str(tmp_path / f"{n}" / "comb.sqlite.aside")]
    assert main(["recover", "--list", "--data", str(tmp_path / "1")]) == 0
    assert "format 1" in (said := capsys.readouterr().out) and "zone/z2 closed" in said and "r6" in said
    sure = ["recover", "--settings", path, "--old-core-is-stopped", *files]
    assert main(sure) == 2 and "--size" in capsys.readouterr().err
    assert main([*sure, "--size", "4"]) == 0
    records = inspect_store(tmp_path / "disk" / "comb.sqlite").records
    state = load_acceptor(records, 0, False).state
    assert state is not None and (state.configuration_version, state.evacuated_zones, state.target_size) == (
        7,
        frozenset({"z2"}),
        4,
    )
    assert records["mark doors"] == b"6"


@pytest.mark.parametrize("damage", ["sum", "foreign", "newer", "none", "body", "empty"])
def test_the_command_refuses_what_cannot_continue_and_changes_nothing(
    tmp_path: Path, damage: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path, file = settings(tmp_path), tmp_path / "disk" / "comb.sqlite"
    register = acceptor_with_pending_state() if damage != "empty" else Acceptor(3, False)
    if damage == "body":
        bad = zlib.compress(json.dumps({"versionNumber": "r8"}).encode())
        register.learn(Ballot(10, 1, "d1"), ControlState(6, MEMBERS, MEMBERS, 3, 8, b"bad"), bad)
    store_with(tmp_path / "disk", register)
    base = sqlite3.connect(file)
    if damage == "sum":
        base.execute("update record set body = x'00' where name = 'vote'")
    elif damage == "newer":
        base.execute("pragma user_version=99")
    base.commit()
    base.close()
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
