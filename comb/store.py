"""The operator's word on disk: one sqlite file, one row an item, written by one thread; each row knows its sum."""

from __future__ import annotations

import hashlib
import os
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from comb.copies import Item

FORMAT = 1
TABLES = """
create table if not exists item (key text primary key, number integer, tie blob, body blob, sum blob);
create table if not exists mark (name text primary key, body blob);
"""


class StoreError(Exception):
    """A step on disk that failed."""

    code = "disk"

    def __init__(self, step: str, cause: Exception) -> None:
        super().__init__(f"{step}: {type(cause).__name__}: {cause}")
        self.step = step


def row_sum(item: Item) -> bytes:
    text = b"%s %d %s " % (item.key.encode(), item.stamp[0], item.stamp[1])
    return hashlib.blake2b(text + item.blob, digest_size=16).digest()


class Store:
    """One door's file.  `load` and `save` may be called from any thread; each holds the lock.  `connect` opens it,
    as `sqlite3.connect` does."""

    def __init__(self, folder: str, connect: Callable[..., Any] = sqlite3.connect) -> None:
        self.path = Path(folder) / "comb.sqlite"
        self.connect = connect
        self.lock = threading.Lock()
        self.base: sqlite3.Connection | None = None
        self.aside: list[str] = []  # what could not be read, for the log

    def open(self) -> sqlite3.Connection:
        """The open file.  One that is foreign, damaged or of a newer format is put aside, never served."""
        if self.base is not None:
            return self.base
        for last in (False, True):
            base: sqlite3.Connection = self.connect(self.path, isolation_level=None, check_same_thread=False)
            try:
                base.execute("pragma locking_mode=exclusive")
                # before the first write: a journal whose removal was not synced would come back and undo the file
                base.execute("pragma synchronous=extra")
                base.execute("pragma journal_mode=wal")
                base.execute("pragma cache_size=-256")
                (found,) = base.execute("pragma user_version").fetchone()
                if found not in (0, FORMAT):
                    raise sqlite3.DatabaseError(f"format {found} is not known")
                base.executescript(TABLES)
                base.execute(f"pragma user_version={FORMAT}")
                if base.execute("pragma quick_check").fetchone() != ("ok",):
                    raise sqlite3.DatabaseError("damaged")
            except sqlite3.DatabaseError as error:
                base.close()
                if last or isinstance(error, sqlite3.OperationalError):
                    raise
                self.put_aside(str(error))
                continue
            self.base = base
            return base
        raise AssertionError("unreachable")

    def put_aside(self, why: str) -> None:
        self.aside.append(why)
        for end in ("", "-wal", "-shm", "-journal"):
            old = Path(f"{self.path}{end}")
            if old.exists():
                old.replace(f"{self.path}.aside{end}")
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # or the old file is back after a loss of power, in the place of the new one
        finally:
            os.close(folder)

    def load(self) -> tuple[list[Item], dict[str, bytes]]:
        """All items and marks; an item whose sum is wrong is left out, and then no mark of a voice counts."""
        with self.lock:
            try:
                base = self.open()
                items, bad = [], False
                for key, number, tie, body, found in base.execute(
                    "select key, number, tie, body, sum from item"
                ):
                    item = Item(key, (number, tie), body)
                    if row_sum(item) == found:
                        items.append(item)
                    else:
                        bad = True
                        self.aside.append(f"item {key}: its sum is wrong")
                marks = dict(base.execute("select name, body from mark"))
                if bad:
                    marks.pop("voice", None)
                return items, marks
            except (sqlite3.Error, OSError) as error:
                raise StoreError("load", error) from error

    def save(self, items: list[Item], marks: dict[str, bytes]) -> None:
        """Put items and marks on disk; they are there once this returns.  An older item never replaces one."""
        with self.lock:
            try:
                base = self.open()
                base.execute("begin immediate")
                try:
                    for item in items:
                        base.execute(
                            "insert into item values (?, ?, ?, ?, ?) on conflict (key) do update set"
                            " number = excluded.number, tie = excluded.tie, body = excluded.body,"
                            " sum = excluded.sum where (excluded.number, excluded.tie) > (number, tie)",
                            (item.key, item.stamp[0], item.stamp[1], item.blob, row_sum(item)),
                        )
                    for name, body in marks.items():
                        base.execute("insert or replace into mark values (?, ?)", (name, body))
                    base.execute("commit")
                except BaseException:
                    if base.in_transaction:
                        base.execute("rollback")
                    raise
            except (sqlite3.Error, OSError) as error:
                raise StoreError("save", error) from error

    def close(self) -> None:
        with self.lock:
            if self.base is not None:
                self.base.close()
                self.base = None
