"""Power is lost at every write and sync of the store: what it has said is there, and nothing but what it wrote."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from pathlib import Path

import apsw

from comb.copies import Item
from comb.store import Store, StoreError

from .disk import Disk

SAVES = [
    ([Item("word", (1, b"a"), b"1" * 300)], {"voice": b"1"}),
    ([Item("word", (2, b"b"), b"2" * 9000), Item("zone/z", (1, b""), b"1")], {}),
    ([Item("zone/z", (2, b""), b"0")], {"core": b"[]"}),
    ([Item("word", (5, b"c"), b"5" * 3000)], {"doors": b"11"}),
    ([Item("zone/y", (1, b""), b"1")], {}),
]


def played(folder: Path, before: str = "") -> Disk:
    """All saves on a noting disk, with checkpoints among them; `before` is said to the file first."""
    disk = Disk()
    store = Store(str(folder), disk.connect)
    store.load()
    assert store.base is not None
    store.base.execute("pragma wal_autocheckpoint=6")
    if before:
        store.base.execute(before)
    for count, save in enumerate(SAVES, 1):
        store.save(*save)
        disk.promise(count)
    store.close()
    return disk


def held(count: int) -> tuple[dict[str, Item], dict[str, bytes]]:
    """What so many saves leave."""
    items, marks = {}, {}
    for kept, marked in SAVES[:count]:
        items.update({item.key: item for item in kept})
        marks.update(marked)
    return items, marks


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
            store = Store(str(folder), Disk().connect)
            try:
                items, marks = store.load()
                found = {item.key: item for item in items}, marks
                if store.aside or found not in (held(said), held(said + 1)):
                    yield f"after {count}: {sorted(found[0])} {sorted(marks)} {store.aside}, said {said}"
            except (StoreError, apsw.Error) as error:
                yield f"after {count}: {error}"
            finally:
                store.close()


def test_what_was_said_survives_a_loss_of_power_at_every_write(tmp_path: Path) -> None:
    (tmp_path / "then").mkdir()
    disk = played(tmp_path)
    assert len(disk.deeds) > 80
    assert list(wrong_after(disk, tmp_path / "then", range(len(disk.deeds) + 1))) == []


def test_a_store_that_does_not_sync_is_found_out(tmp_path: Path) -> None:
    (tmp_path / "then").mkdir()
    disk = played(tmp_path, "pragma synchronous=off")
    assert next(wrong_after(disk, tmp_path / "then", [len(disk.deeds)]))
