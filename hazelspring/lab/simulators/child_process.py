"""Entry point of the lab's child processes: messages are JSON lines on standard input and output.

A child process ends when the pipe to its parent is closed.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec
import uvloop

from hazelspring.lab.plan import Play

Message = dict[str, Any]


def send(**fields: object) -> None:
    """Write one message to the parent process.  If the parent has ended, this process exits."""
    try:
        os.write(1, msgspec.json.encode(fields) + b"\n")
    except OSError:
        os._exit(1)


def raise_descriptor_limit() -> None:
    """Raise the limit of open file descriptors to the hard limit."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def clock(start: float) -> Callable[[], float]:
    """Return a function that gives the seconds since `start`, a time of the machine-wide monotonic clock."""
    return lambda: time.monotonic() - start


def run_child(main: Callable[[Play, asyncio.Queue[Message]], Any]) -> None:
    """Run `main` with the play, which is the first line of input, and a queue of the later messages.

    Does not return: the process exits when `main` has returned or the pipe from the parent is closed.
    """
    raise_descriptor_limit()
    play = msgspec.json.decode(sys.stdin.buffer.readline(), type=Play)

    async def run() -> None:
        loop, queue = asyncio.get_running_loop(), asyncio.Queue[Message]()

        def read_messages() -> None:
            for line in sys.stdin.buffer:
                loop.call_soon_threadsafe(queue.put_nowait, msgspec.json.decode(line))
            os._exit(1)  # the parent has ended

        threading.Thread(target=read_messages, daemon=True).start()
        await main(play, queue)

    uvloop.run(run())
    os._exit(0)


def freeze_heap() -> None:
    """Exclude all current objects from garbage collection, as they live as long as the process."""
    gc.collect()
    gc.freeze()
