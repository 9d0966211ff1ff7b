"""What the stand-ins saw, as it goes to the folder and to the rules.  Times are seconds since the start."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

CHUNK = 2000  # records that are held before they are written


class Try(msgspec.Struct, array_like=True):
    """One try of a client, at its end."""

    id: str
    request: int
    attempt: int
    door: int
    due: float  # when it was to leave
    left: float  # when it left
    sent: float  # when its last byte was written; 0: never, as no connection came up
    ended: float
    status: int  # of a whole answer; 0: none came
    how: str  # answer, refused (no connection), broken (the connection ended), silent (nothing in time)
    advice: float = 0.0  # Retry-After
    own: bool = True  # a body of status 200: whether an alert server made it for this request
    resent: bool = False  # its connection was closed under it, and it was sent once more


class Arrival(msgspec.Struct, array_like=True):
    """A request that has come whole to an alert server."""

    id: str
    server: int
    door: int
    began: float  # its first byte
    whole: float
    verdict: str  # as the model's, or "unknown": no client made it, or it was changed on the way
    life: int  # how often the alert server had started before


class Rude(msgspec.Struct, array_like=True):
    """A connection of a client that means ill: what it did, and what it got after how long."""

    kind: str
    door: int
    at: float
    spent: float
    status: int  # 0: closed without an answer; -1: neither


class Note(msgspec.Struct, array_like=True):
    """Something that happened: `what` says which, `who` to whom."""

    at: float
    what: str
    who: str = ""
    value: float = 0.0


class Sample(msgspec.Struct, array_like=True):
    """One look at a front door's processes."""

    at: float
    door: int
    cpu: float  # seconds since it started
    memory_kb: int
    descriptors: int
    processes: int


Any = Try | Arrival | Rude | Note | Sample
R = TypeVar("R", Try, Arrival, Rude, Note, Sample)


class Recorder:
    """Appends records of one type to a file."""

    def __init__(self, path: Path) -> None:
        self.path, self.held = path, list[Any]()
        self.encoder = msgspec.json.Encoder()

    def add(self, record: Any) -> None:
        self.held.append(record)
        if len(self.held) >= CHUNK:
            self.flush()

    def flush(self) -> None:
        if self.held:
            with self.path.open("ab") as out:
                out.write(self.encoder.encode_lines(self.held))
            self.held.clear()


def read(folder: Path, kind: type[R]) -> Iterator[R]:
    """All records of a type that a play left in its folder, the raw series as JSON lines."""
    decoder = msgspec.json.Decoder(kind)
    for path in sorted(folder.glob(f"*.{kind.__name__.lower()}.jsonl")):
        yield from decoder.decode_lines(path.read_bytes())
