"""A disk for SQLite that records writes and syncs, and derives the possible files after a power loss."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import apsw

# Number of unsynced actions of which each combination may be lost.  Of more, only the last ones may be lost.
MAX_PENDING_ACTIONS = 12


class ActionKind(StrEnum):
    """Kinds of actions on the files of a disk."""

    WRITE = "write"
    TRUNCATE = "length"
    SYNC = "sync"
    REMOVE = "remove"


@dataclass
class Action:
    """One action on a file of the disk.

    Attributes
    ----------
    kind
        The kind of the action.
    name
        The name of the file.
    offset
        In bytes: the position of a write, or the new length after a truncation.
    data
        The bytes of a write; None for other actions.
    """

    kind: ActionKind
    name: str
    offset: int = 0
    data: bytes | None = None


@dataclass
class Disk:
    """Records the actions on the files of the databases that are opened on it.

    Attributes
    ----------
    actions
        The actions in the order in which they were made.
    acknowledged
        The values given to `acknowledge`, each with the number of actions made before.
    """

    actions: list[Action] = field(default_factory=list)
    acknowledged: list[tuple[int, Any]] = field(default_factory=list)

    def acknowledge(self, value: Any) -> None:
        """Record that the data named by a value must survive any later power loss."""
        self.acknowledged.append((len(self.actions), value))

    def connect(self, path: Path, **_: Any) -> RecordingConnection:
        """Open a database as `sqlite3.connect` does.  No call waits for a sync of the real disk."""
        name = f"disk-{id(self)}"
        if name not in apsw.vfs_names():
            self.vfs = RecordingVfs(name, self)
        return RecordingConnection(str(path), vfs=name)

    def states_after_loss(self, count: int, rng: random.Random) -> Iterator[dict[str, bytes]]:
        """Yield the possible contents of the files, by name, after a power loss after `count` actions.

        Actions before a sync of their file are never lost.  The others are lost in every combination.  Then
        each of them in turn is torn, together with a random combination of lost ones.
        """
        done = self.actions[:count]
        pending = self.pending(done)
        for size in range(len(pending) + 1):
            for lost in itertools.combinations(pending, size):
                yield self.files(done, set(lost), torn=-1)
        for torn in pending:
            yield self.files(done, {index for index in pending if rng.random() < 0.5}, torn)

    @staticmethod
    def pending(done: list[Action]) -> list[int]:
        """Return the indexes of the last actions that no sync of their file has followed."""
        last_sync = {
            action.name: index for index, action in enumerate(done) if action.kind == ActionKind.SYNC
        }
        unsynced = [
            index
            for index, action in enumerate(done)
            if action.kind != ActionKind.SYNC and index > last_sync.get(action.name, -1)
        ]
        return unsynced[-MAX_PENDING_ACTIONS:]

    @staticmethod
    def files(done: list[Action], lost: set[int], torn: int) -> dict[str, bytes]:
        """Return the files after all actions that are not lost; only half of a torn write is made."""
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
    """An open database with the interface of sqlite3 that `hazelspring.storage.replica_store` uses."""

    def executescript(self, text: str) -> None:
        """Execute statements as `sqlite3.Connection.executescript` does."""
        list(self.execute(text))


class RecordingVfs(apsw.VFS):
    """A virtual file system of SQLite that records the removal of files."""

    def __init__(self, name: str, disk: Disk) -> None:
        super().__init__(name, "")
        self.disk = disk

    def xOpen(self, name: Any, flags: list[int]) -> RecordingFile:
        """Open a file for SQLite."""
        return RecordingFile(name, flags, self.disk)

    def xDelete(self, name: str, sync: bool) -> None:
        """Remove a file for SQLite; after a sync of the directory, a power loss cannot bring it back."""
        self.disk.actions.append(Action(ActionKind.REMOVE, Path(name).name))
        if sync:
            self.disk.actions.append(Action(ActionKind.SYNC, Path(name).name))
        super().xDelete(name, sync)


class RecordingFile(apsw.VFSFile):
    """An open file that records writes, truncations and syncs."""

    def __init__(self, name: Any, flags: list[int], disk: Disk) -> None:
        super().__init__("", name, flags)
        path = name.filename() if isinstance(name, apsw.URIFilename) else name or ""
        self.name, self.disk = Path(path).name, disk

    def xWrite(self, data: Any, offset: int) -> None:
        """Write bytes for SQLite."""
        self.disk.actions.append(Action(ActionKind.WRITE, self.name, offset, bytes(data)))
        super().xWrite(data, offset)

    def xTruncate(self, size: int) -> None:
        """Set the length of the file for SQLite."""
        self.disk.actions.append(Action(ActionKind.TRUNCATE, self.name, size))
        super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        """Record a sync for SQLite, without a sync of the real disk."""
        self.disk.actions.append(Action(ActionKind.SYNC, self.name))
