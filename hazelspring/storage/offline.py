"""A store's file while no door runs on it: read from a copy, or replaced whole, with what it held kept beside it."""

from __future__ import annotations

import fcntl
import hashlib
import os
import shutil
import sqlite3
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from hazelspring.configuration.model import Stamp
from hazelspring.storage.replica_store import FORMAT_VERSION, SCHEMA, StoreError, record_checksum

FIRST_SHARED, SHARED = 0x40000002, 510  # the bytes of a file that SQLite locks, whoever reads it
ENDS = ("", "-wal", "-journal")


@dataclass(slots=True)
class StoreContents:
    """What a file holds: records by name (format 2), or items by key and marks (format 1)."""

    format: int
    records: dict[str, bytes] = field(default_factory=dict)
    items: dict[str, tuple[Stamp, bytes]] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)
    corrupt: list[str] = field(default_factory=list)  # rows whose sum is wrong; they are left out


def item_checksum(key: str, number: int, tie: bytes, body: bytes) -> bytes:
    """As format 1 had it."""
    text = b"%s %d %s " % (key.encode(), number, tie)
    return hashlib.blake2b(text + body, digest_size=16).digest()


def inspect_store(path: Path) -> StoreContents:
    """What a file holds; nothing is written, not even what SQLite would do by opening it.  Raises StoreError where it
    is in use, damaged, or of a format that is not known."""
    try:
        with path.open("rb") as file, tempfile.TemporaryDirectory() as folder:
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, SHARED, FIRST_SHARED)
            copy = Path(folder) / "copy"
            for end in ENDS:
                if Path(f"{path}{end}").exists():
                    shutil.copyfile(f"{path}{end}", f"{copy}{end}")
            base = sqlite3.connect(copy, isolation_level=None)
            try:
                return read_contents(base)
            finally:
                base.close()
    except BlockingIOError as error:
        raise StoreError("look", OSError(f"{path} is in use: stop the door that runs on it")) from error
    except (sqlite3.Error, OSError) as error:
        raise StoreError("look", error) from error


def read_contents(base: sqlite3.Connection) -> StoreContents:
    (form,) = base.execute("pragma user_version").fetchone()
    if form not in (1, FORMAT_VERSION):
        raise sqlite3.DatabaseError(f"format {form} is not known")
    if base.execute("pragma quick_check").fetchone() != ("ok",):
        raise sqlite3.DatabaseError("damaged")
    found = StoreContents(form)
    if form == FORMAT_VERSION:
        for name, body, told in base.execute("select name, body, sum from record order by name"):
            if record_checksum(name, body) == told:
                found.records[name] = body
            else:
                found.corrupt.append(name)
        return found
    for key, number, tie, body, told in base.execute(
        "select key, number, tie, body, sum from item order by key"
    ):
        if item_checksum(key, number, tie, body) == told:
            found.items[key] = ((number, tie), body)
        else:
            found.corrupt.append(key)
    found.marks = dict(base.execute("select name, body from mark"))
    return found


def replace_contents(path: Path, records: Mapping[str, bytes], kept: Path) -> None:
    """Put records in the place of all that a file of either format holds, all at once; what it held is in the file
    `kept` before that.  Raises StoreError, also where a door runs on the file."""
    try:
        base = sqlite3.connect(path, timeout=0.0, isolation_level=None)
        try:
            base.execute("pragma locking_mode=exclusive")
            base.execute("pragma synchronous=extra")
            base.execute("pragma journal_mode=wal")
            base.execute("begin immediate")  # from here on nobody else has it
            base.execute("commit")
            copy = sqlite3.connect(kept)
            base.backup(copy)
            copy.close()
            sync_path(kept)
            sync_path(kept.parent)
            base.execute("begin immediate")
            for table in ("item", "mark", "record"):
                base.execute(f"drop table if exists {table}")
            base.execute(SCHEMA)
            rows = [(name, body, record_checksum(name, body)) for name, body in records.items()]
            base.executemany("insert into record values (?, ?, ?)", rows)
            base.execute(f"pragma user_version={FORMAT_VERSION}")
            base.execute("commit")
        finally:
            base.close()  # takes back what was not committed
    except (sqlite3.Error, OSError) as error:
        raise StoreError("replace", error) from error


def sync_path(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
