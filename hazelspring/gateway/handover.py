"""What the processes of one front door share in $TMPDIR: who is there, and which are out by hand."""

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

LOOK = 0.05  # seconds between looks at the folder: a ban binds 0.25 s after its call, in both processes
OUT, BACK = re.compile(r"out-([0-9a-f]{8})"), re.compile(r"back-([0-9a-f]{8})")
NODE = re.compile(r"node-[0-9a-f]{16}")

log = logging.getLogger(__name__)


class Handover:
    """One empty file a ban: creating and renaming it is atomic, and there is no content to tear.  One file
    a process that serves, which it holds locked: the lock ends with the process, however that ends.
    """

    def __init__(
        self,
        folder: Path | None,
        post: Callable[[Detached | Attached | Processes], None],
        joined: Callable[[int], None],
    ) -> None:
        self.folder, self.post = folder / "ivymux" if folder is not None else None, post
        self.joined = joined  # hears how many processes serve
        self.loop = asyncio.get_running_loop()
        self.out: set[int] = set()
        self.processes = 1
        self.own: tuple[Path, int] | None = None  # this process's file, and the descriptor that locks it
        if self.folder is not None:
            try:
                self.folder.mkdir(exist_ok=True)
            except OSError as error:
                log.warning("handover: nothing can be shared: %s", error)
        self.recall()
        self.look()
        self.timer = Periodic(self.loop, LOOK, self.look, self.look_failed)

    def file(self, kind: str, backend: int) -> Path | None:
        return self.folder / f"{kind}-{backend:08x}" if self.folder is not None else None

    def detach(self, backend: int) -> None:
        """Put the ban on file, then tell the module; an OSError says that it does not stand."""
        if (path := self.file("out", backend)) is not None:
            path.touch()
            self.look()
        else:
            self.tell({*self.out, backend})

    def attach(self, backend: int) -> None:
        path, back = self.file("out", backend), self.file("back", backend)
        if path is not None and back is not None:
            if path.exists():
                path.touch()  # its time is that of the call back from now on
                path.replace(back)
            self.look()
        else:
            self.tell(self.out - {backend})

    def recall(self) -> None:
        """Those called back before this process began may still be cold, whatever discovery knows of it."""
        for path in self.folder.glob("back-*") if self.folder is not None else ():
            if (found := BACK.fullmatch(path.name)) is not None:
                backend = int(found[1], 16)
                self.post(Detached(backend))
                self.post(Attached(backend, self.called_back(backend)))

    def look_failed(self, error: Exception) -> None:
        log.error("handover: a look at other processes failed", exc_info=error)

    def look(self) -> None:
        """Learn of the bans on file, whichever process was called."""
        if self.folder is None:
            return
        try:
            names = os.listdir(self.folder)
        except OSError:
            return  # what was known stands
        self.tell({int(found[1], 16) for name in names if (found := OUT.fullmatch(name))})
        others = [self.folder / name for name in names if NODE.fullmatch(name)]
        processes = 1 + sum(self.serves(path) for path in others if not self.own or path != self.own[0])
        if processes != self.processes:
            self.processes = processes
            log.info("%d processes serve", processes)
            self.post(Processes(processes))
            self.joined(processes)

    def join(self) -> None:
        """This process serves from now on."""
        if self.folder is None:
            return
        token = os.urandom(8).hex()
        path, unlocked = self.folder / f"node-{token}", self.folder / f"joining-{token}"
        try:
            descriptor = os.open(unlocked, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC)
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            unlocked.rename(path)  # only now: one without its lock would be taken for a dead one's
        except OSError as error:
            log.warning("handover: others cannot see this process: %s", error)
            return
        self.own = path, descriptor
        self.look()

    def serves(self, path: Path) -> bool:
        """Whether the process behind a file lives; the file of one that does not is removed."""
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

    def leave(self) -> None:
        """This process serves nobody any more."""
        if self.own is not None:
            path, descriptor = self.own
            self.own = None
            path.unlink(missing_ok=True)
            os.close(descriptor)

    def tell(self, out: set[int]) -> None:
        before, self.out = self.out, out
        for backend in out - before:
            log.info("alert server s-%08x is out by hand", backend)
            self.post(Detached(backend))
        for backend in before - out:
            log.info("alert server s-%08x is called back", backend)
            self.post(Attached(backend, self.called_back(backend)))

    def called_back(self, backend: int) -> float:
        back = self.file("back", backend)
        try:
            return back.stat().st_mtime if back is not None else time.time()
        except OSError:
            return time.time()

    def close(self) -> None:
        self.timer.cancel()
        self.leave()
