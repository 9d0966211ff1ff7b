"""A call that is made again and again, and that no error of its own ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Periodic:
    """Calls `call` every `interval` seconds, counted from the end of the last call, until it is cancelled.

    `interval` is a number or a function that is asked after each call.  An exception that `call` raises goes to
    `failed`, and the next call is made as ever: a timer that an error has ended would be missed by nobody.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        interval: float | Callable[[], float],
        call: Callable[[], object],
        failed: Callable[[Exception], None],
    ) -> None:
        self.loop = loop
        self.interval = interval
        self.call = call
        self.failed = failed
        self.cancelled = False
        self.timer = self._schedule()

    def cancel(self) -> None:
        """Make no further call."""
        self.cancelled = True
        self.timer.cancel()

    def _schedule(self) -> asyncio.TimerHandle:
        interval = self.interval() if callable(self.interval) else self.interval
        return self.loop.call_later(interval, self._run)

    def _run(self) -> None:
        try:
            self.call()
        except Exception as error:
            self.failed(error)
        finally:
            if not self.cancelled:
                self.timer = self._schedule()
