"""Power loss at every write and sync of the replica store.

Afterwards the store has all records that it acknowledged, and no others than those that were written to it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import apsw

from hazelspring.storage.replica_store import ReplicaStore, StoreError

from .disk import Disk

SAVES: list[dict[str, bytes | None]] = [
    {"word 1": b"1" * 300, "vote": b"1"},
    {"word 2": b"2" * 9000, "vote": b"2", "word 1": None},
    {"vote": b"3", "decided": b"[]"},
    {"word 5": b"5" * 3000, "vote": b"5", "mark doors": b"11"},
    {"decided": b"5", "word 2": None},
]


def record_saves(folder: Path, pragma: str = "") -> Disk:
    """Return a recording disk after all saves, with checkpoints between them; `pragma` is executed first."""
    disk = Disk()
    store = ReplicaStore(str(folder), disk.connect)
    store.load()
    assert store.connection is not None
    store.connection.execute("pragma wal_autocheckpoint=6")
    if pragma:
        store.connection.execute(pragma)
    for count, save in enumerate(SAVES, 1):
        store.save(save)
        disk.acknowledge(count)
    store.close()
    return disk


def records_after(count: int) -> dict[str, bytes]:
    """Return the records after the first `count` saves."""
    records: dict[str, bytes | None] = {}
    for save in SAVES[:count]:
        records.update(save)
    return {name: body for name, body in records.items() if body is not None}


def faults_after_power_loss(disk: Disk, folder: Path, counts: Iterable[int]) -> Iterator[str]:
    """Yield a text for each wrong state of the store after a power loss at one of the given action counts.

    The correct state is that of the acknowledged saves, or of these and the one save in progress.
    """
    seen, rng = set(), random.Random(1)
    for count in counts:
        acknowledged = max((saves for actions, saves in disk.acknowledged if actions <= count), default=0)
        for files in disk.states_after_loss(count, rng):
            state = (acknowledged, frozenset(files.items()))
            if state in seen:
                continue
            seen.add(state)
            for path in folder.iterdir():
                path.unlink()
            for name, data in files.items():
                (folder / name).write_bytes(data)
            store = ReplicaStore(str(folder), Disk().connect)
            try:
                loaded = store.load()
                if store.quarantined or loaded not in (
                    records_after(acknowledged),
                    records_after(acknowledged + 1),
                ):
                    yield f"after {count}: {sorted(loaded)} {store.quarantined}, acknowledged {acknowledged}"
            except (StoreError, apsw.Error) as error:
                yield f"after {count}: {error}"
            finally:
                store.close()


def test_acknowledged_records_survive_a_power_loss_at_every_write(tmp_path: Path) -> None:
    (tmp_path / "after").mkdir()
    disk = record_saves(tmp_path)
    assert len(disk.actions) > 80
    assert list(faults_after_power_loss(disk, tmp_path / "after", range(len(disk.actions) + 1))) == []


def test_a_store_that_does_not_sync_is_detected(tmp_path: Path) -> None:
    (tmp_path / "after").mkdir()
    disk = record_saves(tmp_path, "pragma synchronous=off")
    assert next(faults_after_power_loss(disk, tmp_path / "after", [len(disk.actions)]))
