"""Power is lost at every write and sync of the store: what it has said is there, and nothing but what it wrote."""

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


def played(folder: Path, before: str = "") -> Disk:
    """All saves on a noting disk, with checkpoints among them; `before` is said to the file first."""
    disk = Disk()
    store = ReplicaStore(str(folder), disk.connect)
    store.load()
    assert store.connection is not None
    store.connection.execute("pragma wal_autocheckpoint=6")
    if before:
        store.connection.execute(before)
    for count, save in enumerate(SAVES, 1):
        store.save(save)
        disk.promise(count)
    store.close()
    return disk


def held(count: int) -> dict[str, bytes]:
    """What so many saves leave."""
    records: dict[str, bytes | None] = {}
    for save in SAVES[:count]:
        records.update(save)
    return {name: body for name, body in records.items() if body is not None}


def wrong_after(disk: Disk, folder: Path, counts: Iterable[int]) -> Iterator[str]:
    """What the store holds after losses of power, each after so many deeds, and neither said nor was about to."""
    seen, rand = set(), random.Random(1)
    for count in counts:
        said = max((what for at, what in disk.said if at <= count), default=0)
        for files in disk.after_loss(count, rand):
            state = (said, frozenset(files.items()))
            if state in seen:
                continue
            seen.add(state)
            for old in folder.iterdir():
                old.unlink()
            for name, data in files.items():
                (folder / name).write_bytes(data)
            store = ReplicaStore(str(folder), Disk().connect)
            try:
                found = store.load()
                if store.quarantined or found not in (held(said), held(said + 1)):
                    yield f"after {count}: {sorted(found)} {store.quarantined}, said {said}"
            except (StoreError, apsw.Error) as error:
                yield f"after {count}: {error}"
            finally:
                store.close()


def test_what_was_said_survives_a_loss_of_power_at_every_write(tmp_path: Path) -> None:
    (tmp_path / "then").mkdir()
    disk = played(tmp_path)
    assert len(disk.actions) > 80
    assert list(wrong_after(disk, tmp_path / "then", range(len(disk.actions) + 1))) == []


def test_a_store_that_does_not_sync_is_found_out(tmp_path: Path) -> None:
    (tmp_path / "then").mkdir()
    disk = played(tmp_path, "pragma synchronous=off")
    assert next(wrong_after(disk, tmp_path / "then", [len(disk.actions)]))
