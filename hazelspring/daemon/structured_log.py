"""The log on standard error, limited in rate.

It has one line per message, with a fixed prefix for each part of the process.
"""

from __future__ import annotations

import os
import sys
import time
import traceback
from typing import Any, Literal

import eliot

MAX_TRACE_CALLS = 3  # innermost calls that are logged of an error's traceback
MAX_LINES_PER_SECOND = 40  # an error that occurs on every request must not fill the log
META_FIELDS = ("message_type", "say", "task_uuid", "task_level", "timestamp")  # of eliot, and the sentence

Part = Literal["api", "control", "daemon", "registry", "routing", "transport"]


class StructuredLog:
    """Writes messages, at most `MAX_LINES_PER_SECOND` in each second.

    Further messages are not written but counted.  The next message that is written has their number as its
    field `left_out`.
    """

    def __init__(self) -> None:
        self.second = 0  # the current second of the monotonic clock
        self.written = 0  # messages in that second
        self.left_out = 0  # messages not written since the last one that was

    def write(self, part: Part, sentence: str, **fields: Any) -> None:
        """Write a sentence with fields, prefixed with the part of the process that it comes from."""
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

    def write_failure(self, part: Part, sentence: str, error: BaseException, **fields: Any) -> None:
        """Write a sentence with an unexpected error, and with the calls in which it arose."""
        self.write(
            part, sentence, error=f"{type(error).__name__}: {error}", at=error_location(error), **fields
        )


def error_location(error: BaseException) -> str:
    """Return the innermost Python calls of an error, the last first, as `FILE:LINE,FILE:LINE`."""
    calls = [call for call in traceback.extract_tb(error.__traceback__) if call.filename.endswith(".py")]
    return ",".join(
        f"{os.path.basename(call.filename)}:{call.lineno}" for call in reversed(calls[-MAX_TRACE_CALLS:])
    )


class LineDestination:
    """A destination of eliot that writes one plain line per message: `PART: sentence field=value`."""

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message to standard error."""
        fields = " ".join(f"{key}={value}" for key, value in message.items() if key not in META_FIELDS)
        part, sentence = message.get("message_type", "daemon"), message.get("say", "")
        line = f"{part}: {sentence} {fields}".rstrip()
        sys.stderr.write(line.replace("\n", " ") + "\n")


log = StructuredLog()


def start() -> None:
    """Write all messages to standard error from now on."""
    eliot.add_destinations(LineDestination())
