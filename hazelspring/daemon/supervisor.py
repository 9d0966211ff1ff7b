"""Supervision of tasks and calls.

An unexpected error ends only the task or the call in which it arose; it is counted and logged.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from hazelspring.daemon.structured_log import log

CALLBACK = "callback"  # the name under which errors of the event loop's own callbacks are counted


class Supervisor:
    """Runs tasks and calls by name; `failures` counts how often each ended by an error."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.failures: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[Any]] = set()
        loop.set_exception_handler(self._callback_failed)

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task of its own."""
        task = self.loop.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._task_ended)

    def guard(self, name: str, call: Callable[[], object]) -> None:
        """Make a call; an error is counted and logged, and is not raised to the caller."""
        try:
            call()
        except Exception as error:
            self.record_failure(name, error)

    def record_failure(self, name: str, error: BaseException) -> None:
        """Count and log an unexpected error."""
        self.failures[name] += 1
        log.write_failure("daemon", "failed", error, what=name)

    def close(self) -> None:
        """Cancel the tasks that still run."""
        for task in self.tasks:
            task.cancel()

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        """Remove a task that has ended, and count its error."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.record_failure(task.get_name(), error)

    def _callback_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle an error of the event loop: in a callback, or of a task that was never awaited."""
        error = context.get("exception")
        if isinstance(error, BaseException):
            self.record_failure(CALLBACK, error)
        else:
            self.failures[CALLBACK] += 1
            log.write("daemon", "failed", what=CALLBACK, error=context.get("message", ""))
