"""Generations of the configuration: each is taken whole or not at all, kept, and may be rolled back to."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import time
import zlib
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from hazelspring.gateway.config import (
    FIXED,
    MOST_CONFIG,
    Address,
    Checked,
    Config,
    ConfigError,
    changes,
    check,
    one_line,
    reload,
    stamp,
)

HISTORY = 16  # generations kept, the running one among them
MOST_KEPT = 2 << 20  # bytes of their texts, compressed; the one before the running one is always kept
MOST_STATE = 16 << 20  # bytes of the file that processes of one front door share
MOST_CONFIRM = 24 * 3600.0  # seconds within which a put may have to be confirmed
LOOK = 0.05  # seconds between looks at that file
RETRY_FIRST, RETRY_MOST = 1.0, 30.0  # seconds between tries to roll back what was not confirmed
VERSION = 1  # of that file's form

log = logging.getLogger(__name__)


class Refused(Exception):
    """A call that changed nothing: the status that says so, and one line of why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def nothing() -> None:
    pass


@dataclass(slots=True, frozen=True)
class Step:
    """What one part has prepared.  One of the two is called: `commit` cannot fail, `discard` undoes it."""

    commit: Callable[[], None]
    discard: Callable[[], None] = nothing


Part = Callable[[Config, Config], Step]  # prepares a step from the configurations before and after


@dataclass(slots=True, frozen=True)
class Generation:
    number: int
    digest: str
    time: float  # Unix time at which it was taken
    source: str
    packed: bytes = b""  # its text, compressed, once another has taken its place
    addresses: tuple[Address, Address | None] | None = None  # discovery and management as they then were

    def facts(self) -> dict[str, Any]:
        return {"number": self.number, "digest": self.digest, "time": self.time, "source": self.source}


@dataclass(slots=True, frozen=True)
class Confirm:
    """The running generation is to be confirmed, or the one with that number takes its place again."""

    number: int
    back_to: int
    until: float  # Unix time, which another process understands as well
    within: float  # seconds that it was given: a clock that is set back must not lengthen them


class Generations:
    """The running configuration and those before it.  All of a change happens in one turn of the loop."""

    def __init__(self, config: Config, env: Mapping[str, str], parts: Sequence[Part]) -> None:
        self.config, self.env, self.parts = config, env, parts
        self.loop = asyncio.get_running_loop()
        self.running = Generation(1, config.digest, time.time(), "start")
        self.earlier: deque[Generation] = deque()  # oldest first
        self.confirm_by: Confirm | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.retry = RETRY_FIRST
        self.closed = False  # the process ends: nothing more is taken
        self.checking = False
        self.thread: ThreadPoolExecutor | None = None
        self.longest = 0.0  # seconds that a take has held the loop, at most
        self.basis = ""  # of the platform's file that was last taken, where it is shared
        self.path: Path | None = None
        self.seen: tuple[int, int, int, int] | None = None
        self.watch: asyncio.TimerHandle | None = None

    # --- taking ------------------------------------------------------------------------------------

    def take(self, config: Config, source: str, confirm: float = 0.0) -> Generation:
        """Every part prepares, which may fail and changes nothing; then all commit."""
        if self.closed:
            raise Refused(503, "this process is about to end")
        began = time.perf_counter()
        before = self.config
        number, now = self.running.number + 1, time.time()
        taken = Generation(number, config.digest, now, source)
        confirm_by = Confirm(number, self.running.number, now + confirm, confirm) if confirm else None
        earlier = self.with_running()
        steps: list[Step] = []
        try:
            for part in self.parts:
                steps.append(part(before, config))
            self.keep(taken, config, earlier, confirm_by)
        except Exception as error:
            for step in reversed(steps):
                with contextlib.suppress(Exception):
                    step.discard()
            if not isinstance(error, OSError | ConfigError):
                log.exception("a part could not prepare")
            raise Refused(422, one_line(f"nothing taken: {error}")) from None
        self.config, self.running, self.earlier = config, taken, earlier
        for step in steps:
            try:
                step.commit()
            except Exception:  # the others must not be left behind
                log.exception("a part could not commit")
        self.await_confirm(confirm_by)
        if self.path is None and (path := state_path(config)) is not None and source == "SIGHUP":
            self.share(path, None)  # it has a second address from now on
        pause = time.perf_counter() - began
        self.longest = max(self.longest, pause)
        log.info("generation %d (%s, %s) taken in %.1f ms", number, source, taken.digest, 1000 * pause)
        return taken

    def with_running(self) -> deque[Generation]:
        """The earlier generations once another runs."""
        addresses = self.config.discovery, self.config.management
        packed = zlib.compress(self.config.text, 1)
        earlier = deque((*self.earlier, replace(self.running, packed=packed, addresses=addresses)))
        while len(earlier) >= HISTORY or (
            len(earlier) > 1 and sum(len(g.packed) for g in earlier) > MOST_KEPT
        ):
            earlier.popleft()
        return earlier

    def reload(self) -> None:
        """SIGHUP: the platform has replaced the file.  It is newer than what operators have put."""
        try:
            config = reload(self.env, self.config)
            self.take(config, "SIGHUP")
        except (ConfigError, Refused) as error:
            log.warning("reload: nothing taken: %s", str(error).removeprefix("nothing taken: "))
            return
        names = ", ".join(c.name for c in config.settings.classes)
        log.info("reload: taken: classes %s; attempts %d", names, config.settings.limits.max_attempts)

    async def checked(self, text: bytes) -> tuple[Config, Checked]:
        """The running configuration, and what a look at this text in its place finds: on a thread, as a long
        text takes long, and one at a time, as its memory is bounded.
        """
        if self.checking:
            raise Refused(503, "another configuration is being checked")
        self.checking = True
        try:
            if self.thread is None:
                self.thread = ThreadPoolExecutor(1, "check")
            before = self.config
            return before, await self.loop.run_in_executor(self.thread, check, text, self.env, before)
        finally:
            self.checking = False

    async def put(self, text: bytes, if_match: int | None, confirm: float) -> Generation:
        self.guard(if_match)
        self.settled()
        before, found = await self.checked(text)
        self.guard(if_match)
        self.settled()
        if before is not self.config:
            raise Refused(409, f"generation {self.running.number} was taken meanwhile")
        if found.config is None:
            raise Refused(422, f"nothing taken: {ConfigError(*found.problems)}")
        if changed := [k for k, a, b in zip(FIXED, before.fixed, found.config.fixed, strict=True) if a != b]:
            raise Refused(422, f"nothing taken: {', '.join(changed)} can change with a restart only")
        return self.take(found.config, "put", confirm)

    async def diff(self, text: bytes) -> list[str]:
        before, found = await self.checked(text)
        if found.config is None:
            raise Refused(422, f"would not be taken: {ConfigError(*found.problems)}")
        return await self.loop.run_in_executor(self.thread, changes, before, found.config)

    def guard(self, if_match: int | None) -> None:
        if if_match is not None and if_match != self.running.number:
            raise Refused(412, f"generation {self.running.number} is running")

    def settled(self) -> None:
        if self.confirm_by is not None:
            raise Refused(409, f"generation {self.confirm_by.number} is not confirmed yet")

    # --- rolling back ------------------------------------------------------------------------------

    def rollback(self, number: int | None, if_match: int | None) -> Generation:
        """Back to the generation before, or to a numbered one: its settings, under a new number."""
        self.guard(if_match)
        if number == self.running.number:
            raise Refused(409, f"generation {number} is running")
        found = [g for g in self.earlier if number in (None, g.number)]
        if not found:
            raise Refused(404, "no such generation is kept")
        return self.take(self.config_of(found[-1]), f"rollback to {found[-1].number}")

    def config_of(self, kept: Generation) -> Config:
        text = zlib.decompress(kept.packed)
        found = check(text, self.env, self.config, rollback=True)
        if found.config is None:
            raise Refused(422, f"nothing taken: {ConfigError(*found.problems)}")
        if kept.addresses is None:
            return found.config
        discovery, management = kept.addresses
        return replace(found.config, discovery=discovery, management=management)

    def confirm(self, if_match: int | None) -> Generation:
        self.guard(if_match)
        if self.closed:
            raise Refused(503, "this process is about to end")
        if self.confirm_by is None:
            raise Refused(409, "nothing is to be confirmed")
        try:
            self.keep(self.running, self.config, self.earlier, None)
        except OSError as error:
            raise Refused(500, f"not confirmed: {error}") from None
        self.await_confirm(None)
        log.info("generation %d is confirmed", self.running.number)
        return self.running

    def await_confirm(self, confirm_by: Confirm | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer, self.confirm_by, self.retry = None, confirm_by, RETRY_FIRST
        if confirm_by is not None:
            left = min(max(0.0, confirm_by.until - time.time()), confirm_by.within)
            self.timer = self.loop.call_later(left, self.overdue)

    def overdue(self) -> None:
        """Nobody has confirmed it in its time.  Where the way back is barred it is tried again, for good."""
        if self.confirm_by is None or self.closed:
            return
        number, back_to = self.confirm_by.number, self.confirm_by.back_to
        try:
            kept = next(g for g in reversed(self.earlier) if g.number == back_to)
            self.take(self.config_of(kept), f"{number} was not confirmed: back to {back_to}")
        except (Refused, StopIteration) as error:
            log.warning("generation %d was not confirmed, and cannot be rolled back: %s", number, error)
            self.timer = self.loop.call_later(self.retry, self.overdue)
            self.retry = min(RETRY_MOST, 2 * self.retry)

    # --- what is shared with another process ---------------------------------------------------------

    def share(self, path: Path, kept: Kept | None) -> None:
        """Tell other processes of this front door through a file, and go on where its writer was."""
        self.path, self.basis = path, self.config.basis if kept is None else kept.basis
        if kept is not None:
            self.running, self.earlier = kept.running, deque(kept.earlier)
            self.seen = kept.seen
            self.await_confirm(kept.confirm_by)
        self.watch = self.loop.call_later(LOOK, self.look)

    def keep(
        self, running: Generation, config: Config, earlier: Sequence[Generation], confirm_by: Confirm | None
    ) -> None:
        """Put the state on file, whole; the last thing that can fail."""
        if self.path is None:
            return
        basis = config.basis if running.source == "SIGHUP" else self.basis
        kept = [*earlier, replace(running, packed=zlib.compress(config.text, 1))]
        state = {
            "version": VERSION,
            "basis": basis,
            "generations": [g.facts() | {"text": base64.b64encode(g.packed).decode()} for g in kept],
            "confirm": confirm_by
            and [confirm_by.number, confirm_by.back_to, confirm_by.until, confirm_by.within],
        }
        new = self.path.with_name(f"{self.path.name}-{os.getpid()}")
        try:
            new.write_text(json.dumps(state))
            found = stamp(os.stat(new))
            new.replace(self.path)
        except OSError:
            with contextlib.suppress(OSError):
                new.unlink(missing_ok=True)
            raise
        self.seen, self.basis = found, basis

    def look(self) -> None:
        """Follow what another process was told, if both are on the same settings of the platform's."""
        self.watch = self.loop.call_later(LOOK, self.look)
        if self.path is None or self.closed:
            return
        try:
            found = stamp(os.stat(self.path))
        except OSError:
            return
        if found == self.seen:
            return
        self.seen = found
        kept = read_kept(self.path)
        if kept is None or kept.basis != self.basis:
            return
        try:
            self.follow(kept)
        except Refused as error:
            log.warning("generation %d of another process: %s", kept.running.number, error)

    def follow(self, kept: Kept) -> None:
        if kept.running.digest != self.running.digest:
            # Its own second address stays: two processes cannot listen on one.
            config = replace(self.config_of(kept.running), management=self.config.management)
            path, self.path = self.path, None  # it is on file already
            try:
                self.take(config, kept.running.source)
            finally:
                self.path = path
        self.running, self.earlier = replace(kept.running, packed=b""), deque(kept.earlier)
        self.await_confirm(kept.confirm_by)

    # --- what it shows -----------------------------------------------------------------------------

    def history(self) -> dict[str, Any]:
        confirm_by = self.confirm_by and {
            "number": self.confirm_by.number,
            "back_to": self.confirm_by.back_to,
            "until": self.confirm_by.until,
        }
        return {
            "running": self.running.number,
            "confirm": confirm_by,
            "longest_take_ms": round(1000 * self.longest, 1),
            "generations": [g.facts() for g in (*self.earlier, self.running)],
        }

    def stop(self) -> None:
        """Nothing more is taken: another process may roll back what is not confirmed."""
        self.closed = True
        for timer in (self.timer, self.watch):
            if timer is not None:
                timer.cancel()
        if self.thread is not None:
            self.thread.shutdown(wait=False, cancel_futures=True)


@dataclass(slots=True, frozen=True)
class Kept:
    """The state as it lies on file."""

    basis: str
    running: Generation  # with its text
    earlier: tuple[Generation, ...]
    confirm_by: Confirm | None
    seen: tuple[int, int, int, int]


def read_kept(path: Path) -> Kept | None:
    """The state on file.  One that is missing, torn, or of another form is none."""
    try:
        with path.open("rb") as source:
            seen = stamp(os.fstat(source.fileno()))
            state = json.loads(source.read(MOST_STATE))
        if state["version"] != VERSION:
            log.warning("generations: the file is of form %s", one_line(str(state["version"])))
            return None
        found = [
            Generation(
                int(g["number"]), str(g["digest"]), float(g["time"]), one_line(str(g["source"])),
                base64.b64decode(g["text"], validate=True),
            )
            for g in state["generations"][-HISTORY:]
        ]  # fmt: skip
        for generation in found:
            if len(zlib.decompressobj().decompress(generation.packed, MOST_CONFIG + 1)) > MOST_CONFIG:
                raise ValueError("a text is too long")
        confirm_by = None
        if state["confirm"]:
            number, back_to, until, within = state["confirm"]
            confirm_by = Confirm(int(number), int(back_to), float(until), float(within))
        return Kept(str(state["basis"]), found[-1], tuple(found[:-1]), confirm_by, seen)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, TypeError, LookupError, RecursionError, zlib.error) as error:
        log.warning(
            "generations: what is on file is not used: %s: %s", type(error).__name__, one_line(str(error))
        )
        return None


def state_path(config: Config) -> Path | None:
    """Where processes share it: only with a second address can it differ from the platform's file."""
    if config.shared is None or config.management is None:
        return None
    return config.shared / "ivymux" / "generations"


def inherit(config: Config, env: Mapping[str, str]) -> tuple[Config, Kept | None]:
    """What to start with: the generation in force, if the platform's settings are those it came from."""
    path = state_path(config)
    kept = read_kept(path) if path is not None else None
    if kept is None or kept.basis != config.basis:
        return config, None
    env = {name: value for name, value in env.items() if name != "NODE_DISCOVERY"}
    found = check(zlib.decompress(kept.running.packed), env)
    if found.config is None:
        log.warning("generation %d is not taken over: %s", kept.running.number, ConfigError(*found.problems))
        return config, None
    log.info("generation %d (%s) is taken over", kept.running.number, kept.running.source)
    kept = replace(kept, running=replace(kept.running, packed=b""))
    own = replace(found.config, name=config.name, listen=config.listen, seed=config.seed, known=config.known)
    return own, kept
