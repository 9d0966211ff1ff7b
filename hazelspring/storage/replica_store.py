"""A door's records on disk: one sqlite file, one row a record, written by one thread; each row knows its sum."""

from __future__ import annotations

import hashlib
import os
import sqlite3
import threading
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

FORMAT_VERSION = 2  # 1 was one row an item of the operator's word, without an agreement
SCHEMA = "create table if not exists record (name text primary key, body blob, sum blob);"


class StoreError(Exception):
    """A step on disk that failed."""

    code = "disk"

    def __init__(self, step: str, cause: Exception) -> None:
        super().__init__(f"{step}: {type(cause).__name__}: {cause}")
        self.step = step


def record_checksum(name: str, body: bytes) -> bytes:
    return hashlib.blake2b(name.encode() + b"\0" + body, digest_size=16).digest()


class ReplicaStore:
    """One door's file.  `load` and `save` may be called from any thread; each holds the lock.  `connect` opens it,
    as `sqlite3.connect` does."""

    def __init__(self, folder: str, connect: Callable[..., Any] = sqlite3.connect) -> None:
        self.path = Path(folder) / "comb.sqlite"
        self.connect = connect
        self.lock = threading.Lock()
        self.connection: sqlite3.Connection | None = None
        self.quarantined: list[str] = []  # what could not be read, for the log

    def open(self) -> sqlite3.Connection:
        """The open file.  One that is foreign, damaged or of a newer format is put aside, never served."""
        if self.connection is not None:
            return self.connection
        for last in (False, True):
            base: sqlite3.Connection = self.connect(self.path, isolation_level=None, check_same_thread=False)
            try:
                base.execute("pragma locking_mode=exclusive")
                # before the first write: a journal whose removal was not synced would come back and undo the file
                base.execute("pragma synchronous=extra")
                base.execute("pragma journal_mode=wal")
                base.execute("pragma cache_size=-256")
                (found,) = base.execute("pragma user_version").fetchone()
                if found not in (0, FORMAT_VERSION):
                    raise sqlite3.DatabaseError(f"format {found} is not known")
                if found == 0:  # a file that stands is opened without a write: the disk may be full
                    base.executescript(SCHEMA)
                    base.execute(f"pragma user_version={FORMAT_VERSION}")
                if base.execute("pragma quick_check").fetchone() != ("ok",):
                    raise sqlite3.DatabaseError("damaged")
            except sqlite3.DatabaseError as error:
                base.close()
                if last or isinstance(error, sqlite3.OperationalError):
                    raise
                self.quarantine(str(error))
                continue
            self.connection = base
            return base
        raise AssertionError("unreachable")

    def quarantine(self, why: str) -> None:
        self.quarantined.append(why)
        for end in ("", "-wal", "-shm", "-journal"):
            old = Path(f"{self.path}{end}")
            if old.exists():
                old.replace(f"{self.path}.aside{end}")
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # or the old file is back after a loss of power, in the place of the new one
        finally:
            os.close(folder)

    def load(self) -> dict[str, bytes]:
        """All records by name.  One whose sum is wrong makes the file useless, as what this door promised is not
        known any more: it is put aside, and the disk counts as empty."""
        with self.lock:
            try:
                rows = list(self.open().execute("select name, body, sum from record"))
                for name, body, found in rows:
                    if record_checksum(name, body) != found:
                        self.discard(f"record {name}: its sum is wrong")
                        return {}
                return {name: body for name, body, _ in rows}
            except (sqlite3.Error, OSError) as error:
                raise StoreError("load", error) from error

    def discard(self, why: str) -> None:
        """Put a file aside whose records are of no use, and begin an empty one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        self.quarantine(why)
        self.open()

    def save(self, records: Mapping[str, bytes | None]) -> None:
        """Put records on disk, or remove those that are None; all are there once this returns, or none."""
        with self.lock:
            try:
                base = self.open()
                base.execute("begin immediate")
                try:
                    for name, body in records.items():
                        if body is None:
                            base.execute("delete from record where name = ?", (name,))
                        else:
                            row = (name, body, record_checksum(name, body))
                            base.execute("insert or replace into record values (?, ?, ?)", row)
                    base.execute("commit")
                except BaseException:
                    if base.in_transaction:
                        base.execute("rollback")
                    raise
            except (sqlite3.Error, OSError) as error:
                raise StoreError("save", error) from error

    def close(self) -> None:
        with self.lock:
            if self.connection is not None:
                self.connection.close()
                self.connection = None
