"""The records that the simulators and the play runner write to the folder of a play, and that the rules read.

Times are in seconds since the start of the play.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar, TypeVar

import msgspec

BUFFERED_RECORDS = 2000  # a recorder writes its buffer to the file when it holds this many records


class AttemptRecord(msgspec.Struct, array_like=True):
    """One attempt of a client, recorded when it has ended."""

    suffix: ClassVar[str] = "try"
    id: str
    request: int
    attempt: int
    door: int
    due: float  # when it was scheduled to start
    started: float  # when it started
    sent: float  # when its last byte was written; 0: never, as no connection was established
    ended: float
    status: int  # of a complete response; 0: there was none
    outcome: (
        str  # answer, refused (no connection), broken (connection closed) or silent (no response in time)
    )
    retry_after: float = 0.0  # seconds
    genuine: bool = True  # for status 200: whether an alert server created the body for this request
    resent: bool = False  # whether the gateway closed a reused connection and the client sent it again


class Arrival(msgspec.Struct, array_like=True):
    """A request that an alert server has received completely."""

    suffix: ClassVar[str] = "arrival"
    id: str
    server: int
    door: int
    began: float  # when the first byte of the request was received
    received: float  # when the last byte of the request was received
    verdict: str  # the value of the model's Verdict; "unknown": not sent by a client, or altered
    restarts: int  # number of restarts of the alert server before this arrival


class HostileConnectionRecord(msgspec.Struct, array_like=True):
    """A connection of a hostile client: what the client did, and how the gateway responded."""

    suffix: ClassVar[str] = "rude"
    kind: str
    door: int
    at: float
    spent: float  # seconds until the response or the close
    status: int  # of the response; 0: closed without a response; -1: neither a response nor a close


class Note(msgspec.Struct, array_like=True):
    """An event: `what` names its kind, `who` the process, server or gateway that it concerns.

    Kinds for gateways: `ready`, `never ready` (not ready in time), `killed`, `termed` (sent SIGTERM),
    `overdue` (still running 3.7 s after SIGTERM), `crashed` (ended without being signalled), `ended badly`
    (ended with an error status after being signalled), `reloaded`, `upgraded`, `new one killed` (the new
    process of an upgrade was killed), and `call ...` (a management call that failed or took too long).
    Kinds for alert servers: `died`, `started`, `drains`, `cut` and `back` (cut off from the network and
    reconnected), `fell over` (failed by overload), `broken` (a response was broken off) and `malformed`.
    Kinds for a pair of alert server and gateway: `banned` and `called back` (detached and attached by the
    operator), and `told ...` (discovery reported this health to the gateway).
    Other kinds carry a figure in `value`.
    """

    suffix: ClassVar[str] = "note"
    at: float
    what: str
    who: str = ""
    value: float = 0.0


class Sample(msgspec.Struct, array_like=True):
    """One measurement of a gateway: the sums over all of its processes."""

    suffix: ClassVar[str] = "sample"
    at: float
    door: int
    cpu: float  # seconds of CPU time since the processes started
    memory_kb: int
    descriptors: int
    processes: int


Any = AttemptRecord | Arrival | HostileConnectionRecord | Note | Sample
R = TypeVar("R", AttemptRecord, Arrival, HostileConnectionRecord, Note, Sample)


class Recorder:
    """Appends records of one type to a file."""

    def __init__(self, path: Path) -> None:
        self.path, self.buffer = path, list[Any]()
        self.encoder = msgspec.json.Encoder()

    def add(self, record: Any) -> None:
        """Buffer a record; the buffer is written to the file when it is full."""
        self.buffer.append(record)
        if len(self.buffer) >= BUFFERED_RECORDS:
            self.flush()

    def flush(self) -> None:
        """Write all buffered records to the file."""
        if self.buffer:
            with self.path.open("ab") as out:
                out.write(self.encoder.encode_lines(self.buffer))
            self.buffer.clear()


def read(folder: Path, kind: type[R]) -> Iterator[R]:
    """Yield all records of a type from the files of JSON lines in the folder of a play."""
    decoder = msgspec.json.Decoder(kind)
    for path in sorted(folder.glob(f"*.{kind.suffix}.jsonl")):
        yield from decoder.decode_lines(path.read_bytes())
