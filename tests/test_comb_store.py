"""The operator's word on disk: kills at every step, damage, foreign files; what cannot be read is never served."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from comb.copies import Item
from comb.store import Store, StoreError

ROOT = Path(__file__).parent.parent
WRITER = """
import sys
from comb.copies import Item
from comb.store import Store
store = Store(sys.argv[1])
for number in range(1, 10**6):
    store.save([Item("word", (number, b"x"), b"%d" % number * 50)], {"voice": b"1"})
    print(number, flush=True)
"""


def test_a_killed_writer_leaves_what_it_has_said(tmp_path: Path) -> None:
    for _ in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        said = [int(process.stdout.readline()) for _ in range(40)][-1]
        process.send_signal(signal.SIGKILL)
        said = int((process.stdout.read().split() or [str(said).encode()])[-1])
        process.wait()
        store = Store(str(tmp_path))
        (item,), marks = store.load()
        store.close()
        assert item.stamp[0] >= said and item.blob == b"%d" % item.stamp[0] * 50 and marks == {"voice": b"1"}
        (tmp_path / "comb.sqlite").unlink()
        for rest in tmp_path.glob("comb.sqlite-*"):
            rest.unlink()


def test_an_older_item_never_replaces_one(tmp_path: Path) -> None:
    store = Store(str(tmp_path))
    for number in (3, 2):
        store.save([Item("word", (number, b"b"), b"%d" % number)], {})
    store.save([Item("word", (3, b"a"), b"tie")], {})
    assert store.load()[0] == [Item("word", (3, b"b"), b"3")]


def test_a_changed_row_is_left_out_and_the_voice_with_it(tmp_path: Path) -> None:
    store = Store(str(tmp_path))
    store.save(
        [Item("word", (3, b""), b"three"), Item("zone/a", (1, b""), b"1")], {"voice": b"1", "core": b"[]"}
    )
    store.close()
    base = sqlite3.connect(tmp_path / "comb.sqlite")
    base.execute("update item set body = ? where key = 'word'", (b"threE",))
    base.commit()
    base.close()
    store = Store(str(tmp_path))
    items, marks = store.load()
    assert [item.key for item in items] == ["zone/a"] and "voice" not in marks and "core" in marks
    assert "word" in store.aside[0]


@pytest.mark.parametrize("damage", ["foreign", "cut", "newer", "flipped"])
def test_a_file_that_cannot_be_read_is_put_aside(tmp_path: Path, damage: str) -> None:
    path = tmp_path / "comb.sqlite"
    store = Store(str(tmp_path))
    store.save([Item(f"zone/{n}", (n, b""), b"1" * 3000) for n in range(20)], {"voice": b"1"})
    store.close()
    whole = path.read_bytes()
    if damage == "foreign":
        path.write_bytes(b"no database at all" * 100)
    elif damage == "cut":
        os.truncate(path, len(whole) // 2)
    elif damage == "flipped":
        path.write_bytes(bytes(b ^ 255 if 4096 <= n < 4200 else b for n, b in enumerate(whole)))
    else:
        base = sqlite3.connect(path)
        base.execute("pragma user_version=99")
        base.close()
    store = Store(str(tmp_path))
    items, marks = store.load()
    assert items == [] and marks == {} and store.aside
    assert (tmp_path / "comb.sqlite.aside").exists()
    store.save([Item("word", (1, b""), b"new")], {})
    assert store.load()[0] == [Item("word", (1, b""), b"new")]


def test_a_disk_that_refuses_says_so_and_serves_again_later(tmp_path: Path) -> None:
    store = Store(str(tmp_path))
    store.save([Item("word", (1, b""), b"one")], {})
    assert store.base is not None
    (pages,) = store.base.execute("pragma page_count").fetchone()
    store.base.execute(f"pragma max_page_count={pages}")
    with pytest.raises(StoreError, match="save"):
        store.save([Item("word", (2, b""), os.urandom(100_000))], {})
    assert store.load()[0] == [Item("word", (1, b""), b"one")]
    store.base.execute("pragma max_page_count=1000000")
    store.save([Item("word", (3, b""), b"three")], {})
    assert store.load()[0][0].stamp[0] == 3


def test_many_configurations_keep_the_file_small(tmp_path: Path) -> None:
    store = Store(str(tmp_path))
    for number in range(500):
        store.save([Item("word", (number, b""), os.urandom(20_000))], {})
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 8 << 20
