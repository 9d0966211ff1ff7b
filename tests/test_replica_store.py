"""The replica store after killed writers, damage and a full disk; unreadable content is never used."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from hazelspring.storage.replica_store import ReplicaStore, StoreError

REPOSITORY = Path(__file__).parent.parent
WRITER = """
import sys
from hazelspring.storage.replica_store import ReplicaStore
store = ReplicaStore(sys.argv[1])
for number in range(1, 10**6):
    store.save({"word": b"%d" % number * 50, "vote": b"%d" % number})
    print(number, flush=True)
"""


def test_a_killed_writer_leaves_all_records_that_it_reported_saved(tmp_path: Path) -> None:
    for _ in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], cwd=REPOSITORY, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        last_reported = [int(process.stdout.readline()) for _ in range(40)][-1]
        process.send_signal(signal.SIGKILL)
        unread = process.stdout.read().split()
        if unread:
            last_reported = int(unread[-1])
        process.wait()
        store = ReplicaStore(str(tmp_path))
        records = store.load()
        store.close()
        assert int(records["vote"]) >= last_reported and records["word"] == records["vote"] * 50
        (tmp_path / "comb.sqlite").unlink()
        for companion in tmp_path.glob("comb.sqlite-*"):
            companion.unlink()


def test_one_save_replaces_adds_and_removes_records(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save({"word 1": b"one", "vote": b"1"})
    store.save({"word 2": b"two", "vote": b"2", "word 1": None})
    assert store.load() == {"word 2": b"two", "vote": b"2"}


def test_a_wrong_checksum_quarantines_the_file_and_no_record_is_loaded(tmp_path: Path) -> None:
    """It is unknown what the replica has promised, so the other records must not be used either."""
    store = ReplicaStore(str(tmp_path))
    store.save({"word": b"three", "disk": b"7"})
    store.close()
    connection = sqlite3.connect(tmp_path / "comb.sqlite")
    connection.execute("update record set body = ? where name = 'word'", (b"threE",))
    connection.commit()
    connection.close()
    store = ReplicaStore(str(tmp_path))
    assert store.load() == {} and "word" in store.quarantined[0]
    assert (tmp_path / "comb.sqlite.aside").exists()
    store.save({"disk": b"8"})
    store.close()
    assert ReplicaStore(str(tmp_path)).load() == {"disk": b"8"}


@pytest.mark.parametrize("damage", ["not a database", "truncated", "unknown version", "inverted bytes"])
def test_a_file_that_cannot_be_read_is_quarantined(tmp_path: Path, damage: str) -> None:
    path = tmp_path / "comb.sqlite"
    store = ReplicaStore(str(tmp_path))
    store.save({f"word {n}": b"1" * 3000 for n in range(20)})
    store.close()
    intact = path.read_bytes()
    if damage == "not a database":
        path.write_bytes(b"no database at all" * 100)
    elif damage == "truncated":
        os.truncate(path, len(intact) // 2)
    elif damage == "inverted bytes":
        path.write_bytes(
            bytes(byte ^ 255 if 4096 <= offset < 4200 else byte for offset, byte in enumerate(intact))
        )
    else:
        connection = sqlite3.connect(path)
        connection.execute("pragma user_version=99")
        connection.close()
    store = ReplicaStore(str(tmp_path))
    assert store.load() == {} and store.quarantined
    assert (tmp_path / "comb.sqlite.aside").exists()
    store.save({"word": b"new"})
    assert store.load() == {"word": b"new"}


def test_a_full_disk_is_an_error_and_the_store_works_once_there_is_space(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save({"word": b"one"})
    assert store.connection is not None
    (pages,) = store.connection.execute("pragma page_count").fetchone()
    store.connection.execute(f"pragma max_page_count={pages}")
    with pytest.raises(StoreError, match="save"):
        store.save({"word": os.urandom(100_000)})
    assert store.load() == {"word": b"one"}
    store.connection.execute("pragma max_page_count=1000000")
    store.save({"word": b"three"})
    assert store.load() == {"word": b"three"}


def test_many_saved_configurations_keep_the_file_small(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    for number in range(500):
        store.save(
            {f"word {number}": os.urandom(20_000), f"word {number - 1}": None, "vote": os.urandom(300)}
        )
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 8 << 20
