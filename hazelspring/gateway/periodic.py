"""A call that is made again and again, and that no error of its own ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Periodic:
    """Calls `call` every `interval` seconds, counted from the end of the last call, until it is cancelled.

    `interval` is a number or a function that is asked after each call.  An exception that either raises goes to
    `failed`, and the next call is made after the last interval that was told: a timer that an error has ended would be
    missed by nobody.
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
        self.seconds = self._next_interval()
        self.timer = self.loop.call_later(self.seconds, self._run)

    def cancel(self) -> None:
        """Make no further call."""
        self.cancelled = True
        self.timer.cancel()

    def _next_interval(self) -> float:
        return self.interval() if callable(self.interval) else self.interval

    def _run(self) -> None:
        try:
            self.call()
            self.seconds = self._next_interval()
        except Exception as error:
            self.failed(error)
        finally:
            if not self.cancelled:
                self.timer = self.loop.call_later(self.seconds, self._run)
