"""A process of the stage: it is told lines of JSON, tells lines of JSON, and ends with the pipe."""

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

Told = dict[str, Any]


def tell(**what: object) -> None:
    """A line to the stage.  A stage that is gone hears nothing, and nobody minds."""
    try:
        os.write(1, msgspec.json.encode(what) + b"\n")
    except OSError:
        os._exit(1)


def many_descriptors() -> None:
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def clock(start: float) -> Callable[[], float]:
    """Seconds since that moment of the machine's monotonic clock, which every process reads alike."""
    return lambda: time.monotonic() - start


def play(main: Callable[[Play, asyncio.Queue[Told]], Any]) -> None:
    """Run one process: its first line is the play, and the others go to its queue."""
    many_descriptors()
    told = msgspec.json.decode(sys.stdin.buffer.readline(), type=Play)

    async def run() -> None:
        loop, queue = asyncio.get_running_loop(), asyncio.Queue[Told]()

        def listen() -> None:
            for line in sys.stdin.buffer:
                loop.call_soon_threadsafe(queue.put_nowait, msgspec.json.decode(line))
            os._exit(1)  # the stage is gone

        threading.Thread(target=listen, daemon=True).start()
        await main(told, queue)

    uvloop.run(run())
    os._exit(0)


def settle() -> None:
    """What lives as long as the process need not be looked at again."""
    gc.collect()
    gc.freeze()
