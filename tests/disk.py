"""A disk under SQLite that notes every write and sync, and what a loss of power may leave of them."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import apsw

MOST = 12  # writes under way whose outcomes are played in full; of more, the later ones


@dataclass
class Action:
    """What reached the disk: a write, a length (`data` is None), a sync or a removal of one file."""

    what: str
    name: str
    offset: int = 0
    data: bytes | None = None


@dataclass
class Disk:
    actions: list[Action] = field(default_factory=list)
    said: list[tuple[int, Any]] = field(default_factory=list)  # what was promised, and after how many deeds

    def promise(self, what: Any) -> None:
        self.said.append((len(self.actions), what))

    def connect(self, path: Path, **_: Any) -> Base:
        """As `sqlite3.connect`.  Nothing waits for the real disk."""
        name = f"disk-{id(self)}"
        if name not in apsw.vfs_names():
            self.vfs = Vfs(name, self)
        return Base(str(path), vfs=name)

    def after_loss(self, count: int, rand: random.Random) -> Iterator[dict[str, bytes]]:
        """What the files may hold when power is lost after so many deeds.  What a sync has covered is there; of the
        rest each write is there or missing, in every combination, and each in turn is torn beside a random one."""
        done = self.actions[:count]
        last = {action.name: n for n, action in enumerate(done) if action.what == "sync"}
        open_ = [
            n for n, action in enumerate(done) if action.what != "sync" and n > last.get(action.name, -1)
        ][-MOST:]
        for lost in itertools.chain.from_iterable(
            itertools.combinations(open_, size) for size in range(len(open_) + 1)
        ):
            yield self.files(done, set(lost), torn=-1)
        for torn in open_:
            yield self.files(done, {n for n in open_ if rand.random() < 0.5}, torn)

    @staticmethod
    def files(done: list[Action], lost: set[int], torn: int) -> dict[str, bytes]:
        files: dict[str, bytearray] = {}
        for n, action in enumerate(done):
            if action.what == "sync" or (n in lost and n != torn):
                continue
            if action.what == "remove":
                files.pop(action.name, None)
                continue
            file = files.setdefault(action.name, bytearray())
            if action.data is None:
                del file[action.offset :]
                file.extend(bytes(max(0, action.offset - len(file))))
                continue
            data = action.data if n != torn else action.data[: len(action.data) // 2]
            file.extend(bytes(max(0, action.offset - len(file))))
            file[action.offset : action.offset + len(data)] = data
        return {name: bytes(file) for name, file in files.items()}


class Base(apsw.Connection):
    """An open file with what `hazelspring.storage.replica_store` asks of one from sqlite3."""

    def executescript(self, text: str) -> None:
        list(self.execute(text))


class Vfs(apsw.VFS):
    def __init__(self, name: str, disk: Disk) -> None:
        super().__init__(name, "")
        self.disk = disk

    def xOpen(self, name: Any, flags: list[int]) -> File:
        return File(name, flags, self.disk)

    def xDelete(self, name: str, sync: bool) -> None:
        self.disk.actions.append(Action("remove", Path(name).name))
        if sync:
            self.disk.actions.append(
                Action("sync", Path(name).name)
            )  # of the folder: the name is gone for good
        super().xDelete(name, sync)


class File(apsw.VFSFile):
    def __init__(self, name: Any, flags: list[int], disk: Disk) -> None:
        super().__init__("", name, flags)
        self.name, self.disk = (
            Path(name.filename() if isinstance(name, apsw.URIFilename) else name or "").name,
            disk,
        )

    def xWrite(self, data: Any, offset: int) -> None:
        self.disk.actions.append(Action("write", self.name, offset, bytes(data)))
        super().xWrite(data, offset)

    def xTruncate(self, size: int) -> None:
        self.disk.actions.append(Action("length", self.name, size))
        super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        self.disk.actions.append(Action("sync", self.name))
