"""The records of one replica on disk.

Schema
    One SQLite file, ``comb.sqlite``, with one table: ``record (name text primary key, body blob, sum blob)``.  ``sum``
    is the 16-byte BLAKE2b digest of the name, a zero byte and the body (`record_checksum`).  What names and bodies mean
    is up to the caller.

Format versions
    ``pragma user_version`` holds the version: 0 is a new file, 2 is this one.  Version 1, which earlier programs wrote,
    had a row for each item of the configuration and no consensus; only `hazelspring.storage.offline` reads it.

Durability
    A save is one transaction and is on disk when it returns, since a replica answers others on the strength of it.
    Hence ``synchronous=extra``: it syncs the directory, too, after a journal is removed; without that the journal could
    come back after a loss of power and undo what was committed since.

    A file that is foreign, damaged or of an unknown version is quarantined: it is renamed to ``comb.sqlite.aside`` and
    an empty one is begun.  What the replica has promised is not known any more then, so no part of the file may be
    used; it is kept for an operator to look at.  The directory is synced after the renaming, or the old file could be
    back after a loss of power in the place of the new one.
"""

from __future__ import annotations

import hashlib
import os
import sqlite3
import threading
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from hazelspring.errors import HazelspringError

FORMAT_VERSION = 2  # version 1 had one row an item of the configuration, without consensus
EMPTY_FILE_VERSION = 0  # what SQLite gives as the version of a new file
SCHEMA = "create table if not exists record (name text primary key, body blob, sum blob);"
FILE_NAME = "comb.sqlite"
FILE_SUFFIXES = ("", "-wal", "-shm", "-journal")  # of all files that SQLite may keep for a database
QUARANTINE_SUFFIX = ".aside"
CHECKSUM_BYTES = 16


class StoreError(HazelspringError):
    """A step on disk failed.

    Attributes
    ----------
    step
        What was to be done: load, save, look or replace.
    """

    code = "disk"

    def __init__(self, step: str, cause: Exception) -> None:
        super().__init__(f"{step}: {type(cause).__name__}: {cause}")
        self.step = step


def record_checksum(name: str, body: bytes) -> bytes:
    """Return the 16-byte checksum that is stored beside a record."""
    return hashlib.blake2b(name.encode() + b"\0" + body, digest_size=CHECKSUM_BYTES).digest()


def sync_path(path: Path) -> None:
    """Make a file's content, or a directory's entries, survive a loss of power; raise OSError."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class ReplicaStore:
    """The file with the records of one replica.

    `load` and `save` may be called from any thread; each holds the lock.

    Parameters
    ----------
    folder
        The directory of the file.
    connect
        Opens a database as `sqlite3.connect` does; tests give another one.

    Attributes
    ----------
    quarantined
        Why files were quarantined, for the log; whoever writes it there removes it.
    """

    def __init__(self, folder: str, connect: Callable[..., Any] = sqlite3.connect) -> None:
        self.path = Path(folder) / FILE_NAME
        self.connect = connect
        self.lock = threading.Lock()
        self.connection: sqlite3.Connection | None = None
        self.quarantined: list[str] = []

    def open(self) -> sqlite3.Connection:
        """Return the open file; one that cannot be read is quarantined first.

        Raises
        ------
        sqlite3.Error, OSError
            The disk refuses, which says nothing of the file, or an empty file cannot be read either.
        """
        if self.connection is not None:
            return self.connection
        for may_quarantine in (True, False):
            connection: sqlite3.Connection = self.connect(
                self.path, isolation_level=None, check_same_thread=False
            )
            try:
                self._prepare(connection)
            except sqlite3.DatabaseError as error:
                connection.close()
                # an operational error, as of a full disk, does not mean that the file is damaged
                if not may_quarantine or isinstance(error, sqlite3.OperationalError):
                    raise
                self.quarantine(str(error))
                continue
            self.connection = connection
            return connection
        raise AssertionError("unreachable")

    @staticmethod
    def _prepare(connection: sqlite3.Connection) -> None:
        """Set a connection up and check its file; raise sqlite3.DatabaseError where that cannot be read."""
        connection.execute("pragma locking_mode=exclusive")
        # before the first write: a journal whose removal was not synced would come back and undo the file
        connection.execute("pragma synchronous=extra")
        connection.execute("pragma journal_mode=wal")
        connection.execute("pragma cache_size=-256")  # KiB
        (version,) = connection.execute("pragma user_version").fetchone()
        if version not in (EMPTY_FILE_VERSION, FORMAT_VERSION):
            raise sqlite3.DatabaseError(f"format {version} is not known")
        if version == EMPTY_FILE_VERSION:  # any other file is opened without a write: the disk may be full
            connection.executescript(SCHEMA)
            connection.execute(f"pragma user_version={FORMAT_VERSION}")
        if connection.execute("pragma quick_check").fetchone() != ("ok",):
            raise sqlite3.DatabaseError("damaged")

    def quarantine(self, reason: str) -> None:
        """Rename the file, and those that SQLite keeps beside it, so that it is never read again."""
        self.quarantined.append(reason)
        for suffix in FILE_SUFFIXES:
            path = Path(f"{self.path}{suffix}")
            if path.exists():
                path.replace(f"{self.path}{QUARANTINE_SUFFIX}{suffix}")
        sync_path(
            self.path.parent
        )  # or the old file is back after a loss of power, in the place of the new one

    def load(self) -> dict[str, bytes]:
        """Return all records by name.

        If the checksum of one is wrong, it is not known any more what this replica promised: the file is quarantined,
        and the disk counts as empty.

        Raises
        ------
        StoreError
            The disk refuses.
        """
        with self.lock:
            try:
                rows = list(self.open().execute("select name, body, sum from record"))
                for name, body, checksum in rows:
                    if record_checksum(name, body) != checksum:
                        self.discard(f"record {name}: its sum is wrong")
                        return {}
                return {name: body for name, body, _ in rows}
            except (sqlite3.Error, OSError) as error:
                raise StoreError("load", error) from error

    def discard(self, reason: str) -> None:
        """Quarantine a file whose records are of no use, and begin an empty one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        self.quarantine(reason)
        self.open()

    def save(self, records: Mapping[str, bytes | None]) -> None:
        """Put records on disk, and remove those that are None; all of it is there once this returns, or none.

        Raises
        ------
        StoreError
            The disk refuses; it holds what it held before.
        """
        with self.lock:
            try:
                self._save_all(self.open(), records)
            except (sqlite3.Error, OSError) as error:
                raise StoreError("save", error) from error

    @staticmethod
    def _save_all(connection: sqlite3.Connection, records: Mapping[str, bytes | None]) -> None:
        """Save records in one transaction."""
        connection.execute("begin immediate")
        try:
            for name, body in records.items():
                if body is None:
                    connection.execute("delete from record where name = ?", (name,))
                else:
                    row = (name, body, record_checksum(name, body))
                    connection.execute("insert or replace into record values (?, ?, ?)", row)
            connection.execute("commit")
        except BaseException:
            if connection.in_transaction:
                connection.execute("rollback")
            raise

    def close(self) -> None:
        """Close the file; the next call opens it again."""
        with self.lock:
            if self.connection is not None:
                self.connection.close()
                self.connection = None
