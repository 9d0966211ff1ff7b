"""Access to the file of a replica's store while no node uses it: reading, and replacing all of its content.

This is used for disaster recovery.  Reading therefore never modifies the file, and replacing first makes a
backup.  Both file versions that `hazelspring.storage.replica_store` describes are supported.  Version 1 had
two tables: ``item (key, number, tie, body, sum)`` with items of the configuration and their stamps, and
``mark (name, body)``.
"""

from __future__ import annotations

import fcntl
import hashlib
import shutil
import sqlite3
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from hazelspring.configuration.model import Stamp
from hazelspring.storage.replica_store import (
    CHECKSUM_BYTES,
    FORMAT_VERSION,
    SCHEMA,
    StoreError,
    record_checksum,
    sync_path,
)

ITEM_FORMAT_VERSION = 1  # the version before `FORMAT_VERSION`
TABLES = ("item", "mark", "record")  # the tables of both versions
FIRST_SHARED_LOCK_BYTE = 0x40000002  # offset in the file of the bytes that each reader locks in SQLite
SHARED_LOCK_BYTES = 510  # number of these bytes
COPIED_SUFFIXES = ("", "-wal", "-journal")  # of the files with content; SQLite creates -shm again


@dataclass(slots=True)
class StoreContents:
    """The content of a store's file.

    Attributes
    ----------
    format
        The version of the file, 1 or 2.
    records
        In version 2: the bodies of records by name.
    items
        In version 1: the stamps and bodies of items by key.
    marks
        In version 1: the bodies of marks by name; marks have no checksum.
    corrupt
        Names or keys of rows with a wrong checksum; these rows are not in the other attributes.
    """

    format: int
    records: dict[str, bytes] = field(default_factory=dict)
    items: dict[str, tuple[Stamp, bytes]] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)
    corrupt: list[str] = field(default_factory=list)


def item_checksum(key: str, number: int, tie: bytes, body: bytes) -> bytes:
    """Return the 16-byte checksum that version 1 stored with an item."""
    prefix = b"%s %d %s " % (key.encode(), number, tie)
    return hashlib.blake2b(prefix + body, digest_size=CHECKSUM_BYTES).digest()


def inspect_store(path: Path) -> StoreContents:
    """Return the content of a store's file without modifying it.

    The file is copied and the copy is opened, because SQLite may write to a file when opening it.

    Raises
    ------
    StoreError
        The file is in use, damaged, or of an unknown version.
    """
    try:
        with path.open("rb") as file, tempfile.TemporaryDirectory() as folder:
            # A running node has an exclusive lock on these bytes.  Without this check, the copy could have
            # only a part of a write in progress.
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, SHARED_LOCK_BYTES, FIRST_SHARED_LOCK_BYTE)
            copy = _copy_files(path, Path(folder))
            connection = sqlite3.connect(copy, isolation_level=None)
            try:
                return read_contents(connection)
            finally:
                connection.close()
    except BlockingIOError as error:
        raise StoreError("inspect", OSError(f"{path} is in use: stop the node that uses it")) from error
    except (sqlite3.Error, OSError) as error:
        raise StoreError("inspect", error) from error


def _copy_files(path: Path, folder: Path) -> Path:
    """Copy a database with its journal files to a folder, and return the path of the copy."""
    copy = folder / "copy"
    for suffix in COPIED_SUFFIXES:
        source = Path(f"{path}{suffix}")
        if source.exists():
            shutil.copyfile(source, f"{copy}{suffix}")
    return copy


def read_contents(connection: sqlite3.Connection) -> StoreContents:
    """Return the content of an open database of either version.

    Raises
    ------
    sqlite3.DatabaseError
        The database is damaged, or of an unknown version.
    """
    (version,) = connection.execute("pragma user_version").fetchone()
    if version not in (ITEM_FORMAT_VERSION, FORMAT_VERSION):
        raise sqlite3.DatabaseError(f"unknown format version {version}")
    if connection.execute("pragma quick_check").fetchone() != ("ok",):
        raise sqlite3.DatabaseError("the database is damaged")
    contents = StoreContents(version)
    if version == FORMAT_VERSION:
        _read_records(connection, contents)
    else:
        _read_items(connection, contents)
    return contents


def _read_records(connection: sqlite3.Connection, contents: StoreContents) -> None:
    """Read a database of version 2."""
    query = "select name, body, sum from record order by name"
    for name, body, checksum in connection.execute(query):
        if record_checksum(name, body) == checksum:
            contents.records[name] = body
        else:
            contents.corrupt.append(name)


def _read_items(connection: sqlite3.Connection, contents: StoreContents) -> None:
    """Read a database of version 1."""
    query = "select key, number, tie, body, sum from item order by key"
    for key, number, tie, body, checksum in connection.execute(query):
        if item_checksum(key, number, tie, body) == checksum:
            contents.items[key] = ((number, tie), body)
        else:
            contents.corrupt.append(key)
    contents.marks = dict(connection.execute("select name, body from mark"))


def replace_contents(path: Path, records: Mapping[str, bytes], backup_path: Path) -> None:
    """Replace the content of a file of either version by records, in one transaction.

    Parameters
    ----------
    path
        The file of the store.
    records
        The new content, which is written in version 2.
    backup_path
        A new file, to which the old content is copied and synced before anything is replaced.

    Raises
    ------
    StoreError
        A disk operation failed, or a node is using the file; its content is unchanged.
    """
    try:
        connection = sqlite3.connect(path, timeout=0.0, isolation_level=None)
        try:
            _lock_exclusively(connection)
            _back_up(connection, backup_path)
            _replace_tables(connection, records)
        finally:
            connection.close()  # rolls back what was not committed
    except (sqlite3.Error, OSError) as error:
        raise StoreError("replace", error) from error


def _lock_exclusively(connection: sqlite3.Connection) -> None:
    """Lock the file against all other connections until this one is closed."""
    connection.execute("pragma locking_mode=exclusive")
    connection.execute("pragma synchronous=extra")
    connection.execute("pragma journal_mode=wal")
    connection.execute("begin immediate")  # takes the lock, which is kept after the commit
    connection.execute("commit")


def _back_up(connection: sqlite3.Connection, backup_path: Path) -> None:
    """Copy a database to a new file, and sync it so that it survives a power loss."""
    backup = sqlite3.connect(backup_path)
    connection.backup(backup)
    backup.close()
    sync_path(backup_path)
    sync_path(backup_path.parent)  # otherwise the new file may be missing after a power loss


def _replace_tables(connection: sqlite3.Connection, records: Mapping[str, bytes]) -> None:
    """Replace all tables of a database by one with these records, in one transaction."""
    connection.execute("begin immediate")
    for table in TABLES:
        connection.execute(f"drop table if exists {table}")
    connection.execute(SCHEMA)
    rows = [(name, body, record_checksum(name, body)) for name, body in records.items()]
    connection.executemany("insert into record values (?, ?, ?)", rows)
    connection.execute(f"pragma user_version={FORMAT_VERSION}")
    connection.execute("commit")
