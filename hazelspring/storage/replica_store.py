"""The records of one replica on disk.

Schema
    One SQLite file, ``comb.sqlite``, with one table:
    ``record (name text primary key, body blob, sum blob)``.  ``sum`` is the 16-byte BLAKE2b digest of the
    name, a zero byte and the body (`record_checksum`).  The caller defines the meaning of names and bodies.

Format versions
    ``pragma user_version`` is the version: 0 for a new file, 2 for the current format.  Version 1, written
    by earlier releases, had a row for each item of the configuration and no consensus state; only
    `hazelspring.storage.offline` reads it.

Durability
    A save is one transaction and is on disk when the call returns, because a replica sends answers to other
    members that rely on it.  For this reason ``synchronous=extra`` is set: it also syncs the directory after
    a journal is removed.  Without that, the journal could reappear after a power loss and undo later
    commits.

    A file that is not a store, is damaged or has an unknown version is quarantined: it is renamed to
    ``comb.sqlite.aside``, and an empty file is created.  It is then unknown what the replica has promised,
    so no part of the old file may be used; it is kept for an operator to inspect.  The directory is synced
    after the renaming.  Otherwise the old file could replace the new one again after a power loss.
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

FORMAT_VERSION = 2  # version 1 had a row for each item of the configuration, and no consensus state
EMPTY_FILE_VERSION = 0  # the version that SQLite reports for a new file
SCHEMA = "create table if not exists record (name text primary key, body blob, sum blob);"
FILE_NAME = "comb.sqlite"
FILE_SUFFIXES = ("", "-wal", "-shm", "-journal")  # of all files that SQLite may create for a database
QUARANTINE_SUFFIX = ".aside"
CHECKSUM_BYTES = 16


class StoreError(HazelspringError):
    """A disk operation failed.

    Attributes
    ----------
    step
        The operation: load, save, inspect or replace.
    """

    code = "disk"

    def __init__(self, step: str, cause: Exception) -> None:
        super().__init__(f"{step}: {type(cause).__name__}: {cause}")
        self.step = step


def record_checksum(name: str, body: bytes) -> bytes:
    """Return the 16-byte checksum that is stored with a record."""
    return hashlib.blake2b(name.encode() + b"\0" + body, digest_size=CHECKSUM_BYTES).digest()


def sync_path(path: Path) -> None:
    """Sync a file's content or a directory's entries, so that they survive a power loss; raise OSError."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class ReplicaStore:
    """The SQLite file with the records of one replica.

    `load`, `save` and `close` may be called from any thread; a lock serializes them.

    Parameters
    ----------
    folder
        The directory of the file.
    connect
        Opens a database as `sqlite3.connect` does; tests pass a replacement.

    Attributes
    ----------
    quarantined
        The reasons for which files were quarantined, one for each time.  The caller that logs a reason
        removes it from the list.
    """

    def __init__(self, folder: str, connect: Callable[..., Any] = sqlite3.connect) -> None:
        self.path = Path(folder) / FILE_NAME
        self.connect = connect
        self.lock = threading.Lock()
        self.connection: sqlite3.Connection | None = None
        self.quarantined: list[str] = []

    def open(self) -> sqlite3.Connection:
        """Return the open database; a file that cannot be read is quarantined and replaced by an empty one.

        Raises
        ------
        sqlite3.Error, OSError
            Either a disk operation failed, so the file may be undamaged; or the new file that replaced a
            quarantined one cannot be read either.
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
                # an operational error, for example a full disk, does not mean that the file is damaged
                if not may_quarantine or isinstance(error, sqlite3.OperationalError):
                    raise
                self.quarantine(str(error))
                continue
            self.connection = connection
            return connection
        raise AssertionError("unreachable")

    @staticmethod
    def _prepare(connection: sqlite3.Connection) -> None:
        """Set up a connection and check its file; raise sqlite3.DatabaseError if the file cannot be read."""
        connection.execute("pragma locking_mode=exclusive")
        # must precede the first write: a journal whose removal is not synced could reappear and undo commits
        connection.execute("pragma synchronous=extra")
        connection.execute("pragma journal_mode=wal")
        connection.execute("pragma cache_size=-256")  # KiB
        (version,) = connection.execute("pragma user_version").fetchone()
        if version not in (EMPTY_FILE_VERSION, FORMAT_VERSION):
            raise sqlite3.DatabaseError(f"unknown format version {version}")
        if version == EMPTY_FILE_VERSION:  # other files are opened without writing, as the disk may be full
            connection.executescript(SCHEMA)
            connection.execute(f"pragma user_version={FORMAT_VERSION}")
        if connection.execute("pragma quick_check").fetchone() != ("ok",):
            raise sqlite3.DatabaseError("the database is damaged")

    def quarantine(self, reason: str) -> None:
        """Rename the file, and the files that SQLite creates with it, so that it is never read again."""
        self.quarantined.append(reason)
        for suffix in FILE_SUFFIXES:
            path = Path(f"{self.path}{suffix}")
            if path.exists():
                path.replace(f"{self.path}{QUARANTINE_SUFFIX}{suffix}")
        # otherwise the old file could reappear after a power loss, in the place of the new one
        sync_path(self.path.parent)

    def load(self) -> dict[str, bytes]:
        """Return all records by name.

        If a checksum is wrong, it is unknown what this replica has promised.  The file is then quarantined,
        and no records are returned.

        Raises
        ------
        StoreError
            A disk operation failed.
        """
        with self.lock:
            try:
                rows = list(self.open().execute("select name, body, sum from record"))
                for name, body, checksum in rows:
                    if record_checksum(name, body) != checksum:
                        self.discard(f"record {name}: wrong checksum")
                        return {}
                return {name: body for name, body, _ in rows}
            except (sqlite3.Error, OSError) as error:
                raise StoreError("load", error) from error

    def discard(self, reason: str) -> None:
        """Quarantine the file because its records must not be used, and create an empty one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        self.quarantine(reason)
        self.open()

    def save(self, records: Mapping[str, bytes | None]) -> None:
        """Write records to disk, and remove those that are None, in one transaction.

        All changes are on disk when the call returns; if it raises, none of them was made.

        Raises
        ------
        StoreError
            A disk operation failed; the records on disk are unchanged.
        """
        with self.lock:
            try:
                self._save_all(self.open(), records)
            except (sqlite3.Error, OSError) as error:
                raise StoreError("save", error) from error

    @staticmethod
    def _save_all(connection: sqlite3.Connection, records: Mapping[str, bytes | None]) -> None:
        """Write and remove records in one transaction."""
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
        """Close the file; the next `load` or `save` opens it again."""
        with self.lock:
            if self.connection is not None:
                self.connection.close()
                self.connection = None
