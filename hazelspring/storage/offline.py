"""The file of a replica's store while no node runs on it: read from a copy, or replaced whole.

This serves recovery after a disaster, so it never changes what it reads, and keeps what it replaces.  It knows both
versions of the file that `hazelspring.storage.replica_store` describes.  In version 1 there were two tables:
``item (key, number, tie, body, sum)``, an item of the configuration with its stamp, and ``mark (name, body)``.
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
TABLES = ("item", "mark", "record")  # of all versions
FIRST_SHARED_LOCK_BYTE = 0x40000002  # offset in the file of the bytes that SQLite locks, whoever reads it
SHARED_LOCK_BYTES = 510  # how many these are
COPIED_SUFFIXES = ("", "-wal", "-journal")  # of the files that hold content; -shm is made anew


@dataclass(slots=True)
class StoreContents:
    """What the file of a store holds.

    Attributes
    ----------
    format
        The version of the file, 1 or 2.
    records
        Version 2: bodies of records by name.
    items
        Version 1: stamp and body by key.
    marks
        Version 1: bodies by name; they have no checksum.
    corrupt
        Names or keys of rows whose checksum is wrong; these rows are left out.
    """

    format: int
    records: dict[str, bytes] = field(default_factory=dict)
    items: dict[str, tuple[Stamp, bytes]] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)
    corrupt: list[str] = field(default_factory=list)


def item_checksum(key: str, number: int, tie: bytes, body: bytes) -> bytes:
    """Return the 16-byte checksum that version 1 stored beside an item."""
    prefix = b"%s %d %s " % (key.encode(), number, tie)
    return hashlib.blake2b(prefix + body, digest_size=CHECKSUM_BYTES).digest()


def inspect_store(path: Path) -> StoreContents:
    """Return what a file holds; nothing is written, not even what SQLite would do by opening it.

    Raises
    ------
    StoreError
        The file is in use, damaged, or of a version that is not known.
    """
    try:
        with path.open("rb") as file, tempfile.TemporaryDirectory() as folder:
            # a node holds these bytes exclusively while it runs; what it is writing must not be copied half
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, SHARED_LOCK_BYTES, FIRST_SHARED_LOCK_BYTE)
            copy = _copy_files(path, Path(folder))
            connection = sqlite3.connect(copy, isolation_level=None)
            try:
                return read_contents(connection)
            finally:
                connection.close()
    except BlockingIOError as error:
        raise StoreError("look", OSError(f"{path} is in use: stop the door that runs on it")) from error
    except (sqlite3.Error, OSError) as error:
        raise StoreError("look", error) from error


def _copy_files(path: Path, folder: Path) -> Path:
    """Copy a database, and the files that SQLite keeps beside it, to a folder; return the copy's path."""
    copy = folder / "copy"
    for suffix in COPIED_SUFFIXES:
        source = Path(f"{path}{suffix}")
        if source.exists():
            shutil.copyfile(source, f"{copy}{suffix}")
    return copy


def read_contents(connection: sqlite3.Connection) -> StoreContents:
    """Return what an open database of either version holds.

    Raises
    ------
    sqlite3.DatabaseError
        It is damaged, or of a version that is not known.
    """
    (version,) = connection.execute("pragma user_version").fetchone()
    if version not in (ITEM_FORMAT_VERSION, FORMAT_VERSION):
        raise sqlite3.DatabaseError(f"format {version} is not known")
    if connection.execute("pragma quick_check").fetchone() != ("ok",):
        raise sqlite3.DatabaseError("damaged")
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
    """Put records in the place of all that a file of either version holds, in one transaction.

    Parameters
    ----------
    path
        The file of the store.
    records
        What it holds afterwards, in version 2.
    backup_path
        A new file; what the store held is there, synced, before anything is replaced.

    Raises
    ------
    StoreError
        The disk refuses, or a node runs on the file; it holds what it held before.
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
    """Keep all others from the file until the connection is closed."""
    connection.execute("pragma locking_mode=exclusive")
    connection.execute("pragma synchronous=extra")
    connection.execute("pragma journal_mode=wal")
    connection.execute("begin immediate")  # takes the lock, which stays after the commit
    connection.execute("commit")


def _back_up(connection: sqlite3.Connection, backup_path: Path) -> None:
    """Copy a database to a new file that survives a loss of power."""
    backup = sqlite3.connect(backup_path)
    connection.backup(backup)
    backup.close()
    sync_path(backup_path)
    sync_path(backup_path.parent)  # or the new file has no name after a loss of power


def _replace_tables(connection: sqlite3.Connection, records: Mapping[str, bytes]) -> None:
    """Make records the only content of a database, in one transaction."""
    connection.execute("begin immediate")
    for table in TABLES:
        connection.execute(f"drop table if exists {table}")
    connection.execute(SCHEMA)
    rows = [(name, body, record_checksum(name, body)) for name, body in records.items()]
    connection.executemany("insert into record values (?, ?, ?)", rows)
    connection.execute(f"pragma user_version={FORMAT_VERSION}")
    connection.execute("commit")
