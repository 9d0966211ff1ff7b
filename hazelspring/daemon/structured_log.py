"""The log: short sentences by eliot, a fixed prefix for each part, so many a second and no more."""

from __future__ import annotations

import os
import sys
import time
import traceback
from typing import Any

import eliot

MAX_TRACE_CALLS = 3  # of an error's trace
MAX_LINES_PER_SECOND = 40  # sentences a second: an error that comes with every request must not fill the log


class StructuredLog:
    """Writes to standard error; what is too much for a second is counted, and said with the next sentence."""

    def __init__(self) -> None:
        self.second, self.written, self.left_out = 0, 0, 0

    def write(self, part: str, sentence: str, **fields: Any) -> None:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.written = second, 0
        self.written += 1
        if self.written > MAX_LINES_PER_SECOND:
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out"], self.left_out = self.left_out, 0
        eliot.log_message(message_type=part, say=sentence, **fields)

    def write_failure(self, part: str, sentence: str, error: BaseException, **fields: Any) -> None:
        """Say that something ended by an error that nobody foresaw, and where it arose."""
        self.write(
            part, sentence, error=f"{type(error).__name__}: {error}", at=error_location(error), **fields
        )


def error_location(error: BaseException) -> str:
    """The innermost Python calls in which an error arose, the last first: `FILE:LINE`, three at most."""
    calls = [call for call in traceback.extract_tb(error.__traceback__) if call.filename.endswith(".py")]
    return ",".join(
        f"{os.path.basename(call.filename)}:{call.lineno}" for call in reversed(calls[-MAX_TRACE_CALLS:])
    )


class LineDestination:
    """eliot's destination: one plain line a message, `PART sentence field=value`."""

    def __call__(self, message: dict[str, Any]) -> None:
        rest = " ".join(
            f"{key}={value}" for key, value in message.items()
            if key not in ("message_type", "say", "task_uuid", "task_level", "timestamp")
        )  # fmt: skip
        line = f"{message.get('message_type', 'daemon')}: {message.get('say', '')} {rest}".rstrip()
        sys.stderr.write(line.replace("\n", " ") + "\n")


log = StructuredLog()


def start() -> None:
    eliot.add_destinations(LineDestination())
