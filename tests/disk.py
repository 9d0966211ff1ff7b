"""A disk under SQLite that records every write and sync, and what a loss of power may leave of them."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import apsw

MAX_PENDING_WRITES = (
    12  # unsynced writes whose every combination of outcomes is tried; of more, the later ones
)


class ActionKind(StrEnum):
    """What may reach the disk."""

    WRITE = "write"
    TRUNCATE = "length"
    SYNC = "sync"
    REMOVE = "remove"


@dataclass
class Action:
    """What reached the disk.

    Attributes
    ----------
    kind
        What was done.
    name
        The file's name.
    offset
        In bytes: of a write, where it begins; of a truncation, the new length.
    data
        The bytes of a write; None of others.
    """

    kind: ActionKind
    name: str
    offset: int = 0
    data: bytes | None = None


@dataclass
class Disk:
    """Records the actions of the databases that are opened on it.

    Attributes
    ----------
    actions
        In the order in which they reached the disk.
    said
        What was promised to be on disk, each after how many actions.
    """

    actions: list[Action] = field(default_factory=list)
    said: list[tuple[int, Any]] = field(default_factory=list)

    def promise(self, what: Any) -> None:
        """Note that something must be on disk from here on."""
        self.said.append((len(self.actions), what))

    def connect(self, path: Path, **_: Any) -> RecordingConnection:
        """Open a database as `sqlite3.connect` does.  Nothing waits for the real disk."""
        name = f"disk-{id(self)}"
        if name not in apsw.vfs_names():
            self.vfs = RecordingVfs(name, self)
        return RecordingConnection(str(path), vfs=name)

    def after_loss(self, count: int, rand: random.Random) -> Iterator[dict[str, bytes]]:
        """Yield what the files may hold when power is lost after so many actions, by name.

        What a sync has covered is there.  Of the rest each write is there or missing, in every combination, and each in
        turn is torn beside a random one.
        """
        done = self.actions[:count]
        pending = self.pending(done)
        for size in range(len(pending) + 1):
            for lost in itertools.combinations(pending, size):
                yield self.files(done, set(lost), torn=-1)
        for torn in pending:
            yield self.files(done, {index for index in pending if rand.random() < 0.5}, torn)

    @staticmethod
    def pending(done: list[Action]) -> list[int]:
        """Return the indexes of the last actions that no sync of their file has covered."""
        last_sync = {
            action.name: index for index, action in enumerate(done) if action.kind == ActionKind.SYNC
        }
        unsynced = [
            index
            for index, action in enumerate(done)
            if action.kind != ActionKind.SYNC and index > last_sync.get(action.name, -1)
        ]
        return unsynced[-MAX_PENDING_WRITES:]

    @staticmethod
    def files(done: list[Action], lost: set[int], torn: int) -> dict[str, bytes]:
        """Return the files after actions without those that are lost; of the torn one, a write, half is there."""
        files: dict[str, bytearray] = {}
        for index, action in enumerate(done):
            if action.kind == ActionKind.SYNC or (index in lost and index != torn):
                continue
            if action.kind == ActionKind.REMOVE:
                files.pop(action.name, None)
                continue
            file = files.setdefault(action.name, bytearray())
            if action.data is None:
                del file[action.offset :]
                file.extend(bytes(max(0, action.offset - len(file))))
                continue
            data = action.data if index != torn else action.data[: len(action.data) // 2]
            file.extend(bytes(max(0, action.offset - len(file))))
            file[action.offset : action.offset + len(data)] = data
        return {name: bytes(file) for name, file in files.items()}


class RecordingConnection(apsw.Connection):
    """An open database with what `hazelspring.storage.replica_store` asks of one from sqlite3."""

    def executescript(self, text: str) -> None:
        """Execute statements as `sqlite3.Connection.executescript` does."""
        list(self.execute(text))


class RecordingVfs(apsw.VFS):
    """SQLite's access to files, with removals recorded."""

    def __init__(self, name: str, disk: Disk) -> None:
        super().__init__(name, "")
        self.disk = disk

    def xOpen(self, name: Any, flags: list[int]) -> RecordingFile:
        """Open a file, for SQLite."""
        return RecordingFile(name, flags, self.disk)

    def xDelete(self, name: str, sync: bool) -> None:
        """Remove a file, for SQLite; with a sync of the directory its name is gone for good."""
        self.disk.actions.append(Action(ActionKind.REMOVE, Path(name).name))
        if sync:
            self.disk.actions.append(Action(ActionKind.SYNC, Path(name).name))
        super().xDelete(name, sync)


class RecordingFile(apsw.VFSFile):
    """One open file, with writes, truncations and syncs recorded."""

    def __init__(self, name: Any, flags: list[int], disk: Disk) -> None:
        super().__init__("", name, flags)
        path = name.filename() if isinstance(name, apsw.URIFilename) else name or ""
        self.name, self.disk = Path(path).name, disk

    def xWrite(self, data: Any, offset: int) -> None:
        """Write bytes, for SQLite."""
        self.disk.actions.append(Action(ActionKind.WRITE, self.name, offset, bytes(data)))
        super().xWrite(data, offset)

    def xTruncate(self, size: int) -> None:
        """Set the file's length, for SQLite."""
        self.disk.actions.append(Action(ActionKind.TRUNCATE, self.name, size))
        super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        """Record a sync, for SQLite; the real disk is not waited for."""
        self.disk.actions.append(Action(ActionKind.SYNC, self.name))
