"""A periodic call that continues after an exception."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Periodic:
    """Calls `call` every `interval` seconds, counted from the end of the last call, until it is cancelled.

    `interval` is a number, or a function that is called after each `call` to get the next interval.  An
    exception that either of them raises is passed to `failed`, and the next call is made after the last
    known interval: a timer that ended because of an error would go unnoticed.
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
        """Cancel the timer, so that no further call is made."""
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
