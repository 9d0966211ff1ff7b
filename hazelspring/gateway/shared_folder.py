"""State that the processes of one gateway share in $TMPDIR.

It consists of a locked file for each process that serves, and a file for each alert server that an operator
has detached.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import re
import time
from collections.abc import Callable
from pathlib import Path

from hazelspring.admission.interface import Attached, Detached, Processes
from hazelspring.gateway.periodic import Periodic

POLL_INTERVAL = (
    0.05  # seconds between scans: a detach must take effect within 0.25 s of its call in both processes
)
DETACHED_FILE, ATTACHED_FILE = re.compile(r"out-([0-9a-f]{8})"), re.compile(r"back-([0-9a-f]{8})")
PROCESS_FILE = re.compile(r"node-[0-9a-f]{16}")

log = logging.getLogger(__name__)


class SharedFolder:
    """The files through which the processes of one gateway share state.

    A detached alert server has an empty file: creating and renaming it is atomic, and it has no content that
    could be half written.  A serving process has a file that it keeps locked: the operating system releases
    the lock when the process ends, for whatever reason.
    """

    def __init__(
        self,
        folder: Path | None,
        post: Callable[[Detached | Attached | Processes], None],
        on_process_count: Callable[[int], None],
    ) -> None:
        self.folder, self.post = folder / "ivymux" if folder is not None else None, post
        self.on_process_count = on_process_count  # called with the number of processes that serve
        self.loop = asyncio.get_running_loop()
        self.detached: set[int] = set()
        self.processes = 1
        self.own_file: tuple[Path, int] | None = None  # path and locked descriptor of this process's file
        if self.folder is not None:
            try:
                self.folder.mkdir(exist_ok=True)
            except OSError as error:
                log.warning("handover: cannot create the shared folder: %s", error)
        self.replay_attachments()
        self.scan()
        self.timer = Periodic(self.loop, POLL_INTERVAL, self.scan, self.poll_failed)

    def marker_file(self, kind: str, backend: int) -> Path | None:
        """Return the path of the `out` or `back` file of a server, or None without a shared folder."""
        return self.folder / f"{kind}-{backend:08x}" if self.folder is not None else None

    def detach(self, backend: int) -> None:
        """Detach an alert server in all processes of this gateway.

        Raises OSError if the file cannot be created: the server is then not detached.
        """
        if (path := self.marker_file("out", backend)) is not None:
            path.touch()
            self.scan()
        else:
            self.set_detached({*self.detached, backend})

    def attach(self, backend: int) -> None:
        """Attach a detached alert server again, in all processes of this gateway.  Raises OSError."""
        path, back = self.marker_file("out", backend), self.marker_file("back", backend)
        if path is not None and back is not None:
            if path.exists():
                path.touch()  # the modification time becomes the time of the attach
                path.replace(back)
            self.scan()
        else:
            self.set_detached(self.detached - {backend})

    def replay_attachments(self) -> None:
        """Post the attachments from before this process started, whether or not discovery lists the servers.

        Those alert servers may still be cold.
        """
        for path in self.folder.glob("back-*") if self.folder is not None else ():
            if (found := ATTACHED_FILE.fullmatch(path.name)) is not None:
                backend = int(found[1], 16)
                self.post(Detached(backend))
                self.post(Attached(backend, self.attached_at(backend)))

    def poll_failed(self, error: Exception) -> None:
        """Log an error of a scan, which is repeated after POLL_INTERVAL."""
        log.error("handover: scanning the shared folder failed", exc_info=error)

    def scan(self) -> None:
        """Read from the shared folder which alert servers are detached and how many processes serve."""
        if self.folder is None:
            return
        try:
            names = os.listdir(self.folder)
        except OSError:
            return  # keep the last known state
        self.set_detached({int(found[1], 16) for name in names if (found := DETACHED_FILE.fullmatch(name))})
        others = [self.folder / name for name in names if PROCESS_FILE.fullmatch(name)]
        processes = 1 + sum(
            self.is_serving(path) for path in others if not self.own_file or path != self.own_file[0]
        )
        if processes != self.processes:
            self.processes = processes
            log.info("%d processes serve as this gateway", processes)
            self.post(Processes(processes))
            self.on_process_count(processes)

    def register(self) -> None:
        """Add this process to those that serve."""
        if self.folder is None:
            return
        token = os.urandom(8).hex()
        path, unlocked = self.folder / f"node-{token}", self.folder / f"joining-{token}"
        try:
            descriptor = os.open(unlocked, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC)
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            # Only once it is locked: an unlocked file counts as that of a process that has ended.
            unlocked.rename(path)
        except OSError as error:
            log.warning(
                "handover: cannot create the file of this process, so other processes do not count it: %s",
                error,
            )
            return
        self.own_file = path, descriptor
        self.scan()

    def is_serving(self, path: Path) -> bool:
        """Return whether the process that owns a file is alive.  Removes the file if it is not."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink(missing_ok=True)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def unregister(self) -> None:
        """Remove this process from those that serve."""
        if self.own_file is not None:
            path, descriptor = self.own_file
            self.own_file = None
            path.unlink(missing_ok=True)
            os.close(descriptor)

    def set_detached(self, detached: set[int]) -> None:
        """Replace the set of detached alert servers, and post each difference."""
        before, self.detached = self.detached, detached
        for backend in detached - before:
            log.info("alert server s-%08x detached by an operator", backend)
            self.post(Detached(backend))
        for backend in before - detached:
            log.info("alert server s-%08x attached by an operator", backend)
            self.post(Attached(backend, self.attached_at(backend)))

    def attached_at(self, backend: int) -> float:
        """Return the Unix time at which an alert server was attached; the present if it is unknown."""
        back = self.marker_file("back", backend)
        try:
            return back.stat().st_mtime if back is not None else time.time()
        except OSError:
            return time.time()

    def close(self) -> None:
        """Stop scanning the folder, and unregister this process."""
        self.timer.cancel()
        self.unregister()
