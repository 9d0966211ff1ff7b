"""Generations of the gateway's configuration.

Each generation is applied completely or not at all.  The latest ones are kept, and may be rolled back to.
"""

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
    MAX_CONFIG_BYTES,
    RESTART_ONLY_KEYS,
    Address,
    CheckResult,
    Config,
    ConfigError,
    check,
    config_diff,
    file_identity,
    one_line,
    reload,
)

MAX_GENERATIONS = 16  # generations that are kept, including the running one
MAX_HISTORY_BYTES = 2 << 20  # compressed; the generation before the running one is always kept
MAX_STATE_FILE_BYTES = 16 << 20  # bytes of the state file that the processes of one gateway share
MAX_CONFIRM_TIMEOUT = 24 * 3600.0  # seconds; the longest confirm time that a put may set
POLL_INTERVAL = 0.05  # seconds between checks of the state file
ROLLBACK_RETRY_FIRST, ROLLBACK_RETRY_MAX = 1.0, 30.0  # seconds between attempts of a rollback
STATE_FORMAT_VERSION = 1  # version of the state file's format

log = logging.getLogger(__name__)


class RefusedError(Exception):
    """A call was refused and has changed nothing.  It has the HTTP status and the reason, in one line."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def no_op() -> None:
    """Do nothing: the default for steps that need no `discard`."""
    pass


@dataclass(slots=True, frozen=True)
class Step:
    """A prepared change to one component.  Either `commit` or `discard` is called.

    `commit` puts it into effect and must not fail; `discard` undoes the preparation.
    """

    commit: Callable[[], None]
    discard: Callable[[], None] = no_op


Preparer = Callable[[Config, Config], Step]  # gets the configurations before and after the change


@dataclass(slots=True, frozen=True)
class Generation:
    """A configuration that was applied: when, and from which source."""

    number: int
    digest: str
    time: float  # Unix time at which it was applied
    source: str
    packed: bytes = b""  # its compressed text, once another generation has replaced it
    addresses: tuple[Address, Address | None] | None = None  # of discovery and management at that time

    def facts(self) -> dict[str, Any]:
        """The fields that the history and the state file have of each generation."""
        return {"number": self.number, "digest": self.digest, "time": self.time, "source": self.source}


@dataclass(slots=True, frozen=True)
class PendingConfirmation:
    """A pending confirmation.  Without it, generation `number` is rolled back to generation `back_to`."""

    number: int
    back_to: int
    until: float  # Unix time, which other processes can use as well
    within: float  # seconds of the confirm time: it must not grow if the clock is set back


class Generations:
    """The running configuration and earlier ones.  A change is applied within one event loop callback."""

    def __init__(self, config: Config, env: Mapping[str, str], preparers: Sequence[Preparer]) -> None:
        self.config, self.env, self.preparers = config, env, preparers
        self.loop = asyncio.get_running_loop()
        self.running = Generation(1, config.digest, time.time(), "start")
        self.earlier: deque[Generation] = deque()  # oldest first
        self.pending_confirmation: PendingConfirmation | None = None
        self.confirm_timer: asyncio.TimerHandle | None = None
        self.retry_delay = ROLLBACK_RETRY_FIRST
        self.closed = False  # the process is about to end: no further change is applied
        self.checking = False
        self.executor: ThreadPoolExecutor | None = None
        self.longest_apply_seconds = 0.0  # seconds; the longest time for which a change has blocked the loop
        self.basis = ""  # `Config.basis` of the platform's file that was last applied, if state is shared
        self.path: Path | None = None
        self.last_file_identity: tuple[int, int, int, int] | None = None
        self.poll_timer: asyncio.TimerHandle | None = None

    # --- applying ----------------------------------------------------------------------------------

    def apply(self, config: Config, source: str, confirm: float = 0.0) -> Generation:
        """Prepare the change in every component, then commit it in all of them.

        A preparation may fail: then the prepared steps are discarded, and RefusedError is raised.  `confirm`
        is the time in seconds after which the change is rolled back unless it is confirmed; 0 means never.
        """
        if self.closed:
            raise RefusedError(503, "this process is about to end")
        began = time.perf_counter()
        before = self.config
        number, now = self.running.number + 1, time.time()
        applied = Generation(number, config.digest, now, source)
        pending = (
            PendingConfirmation(number, self.running.number, now + confirm, confirm) if confirm else None
        )
        earlier = self.history_with_running()
        steps: list[Step] = []
        try:
            for preparer in self.preparers:
                steps.append(preparer(before, config))
            self.write_state_file(applied, config, earlier, pending)
        except Exception as error:
            for step in reversed(steps):
                with contextlib.suppress(Exception):
                    step.discard()
            if not isinstance(error, OSError | ConfigError):
                log.exception("a component failed to prepare a change of the configuration")
            raise RefusedError(422, one_line(f"nothing taken: {error}")) from None
        self.config, self.running, self.earlier = config, applied, earlier
        for step in steps:
            try:
                step.commit()
            except Exception:  # the other components must still commit
                log.exception("a component failed to commit a change of the configuration")
        self.set_pending_confirmation(pending)
        if self.path is None and (path := state_path(config)) is not None and source == "SIGHUP":
            self.share(path, None)  # this change has added a management address
        pause = time.perf_counter() - began
        self.longest_apply_seconds = max(self.longest_apply_seconds, pause)
        log.info("generation %d (%s, %s) applied in %.1f ms", number, source, applied.digest, 1000 * pause)
        return applied

    def history_with_running(self) -> deque[Generation]:
        """Return the earlier generations followed by the running one, without those beyond the limits."""
        addresses = self.config.discovery, self.config.management
        packed = zlib.compress(self.config.text, 1)
        earlier = deque((*self.earlier, replace(self.running, packed=packed, addresses=addresses)))
        while len(earlier) >= MAX_GENERATIONS or (
            len(earlier) > 1 and sum(len(g.packed) for g in earlier) > MAX_HISTORY_BYTES
        ):
            earlier.popleft()
        return earlier

    def reload(self) -> None:
        """Apply the file that the platform has replaced, after SIGHUP.

        It is newer than any configuration that an operator has put.
        """
        try:
            config = reload(self.env, self.config)
            self.apply(config, "SIGHUP")
        except (ConfigError, RefusedError) as error:
            log.warning(
                "reload: configuration not applied: %s",
                str(error).removeprefix("nothing taken: "),
            )
            return
        names = ", ".join(c.name for c in config.settings.classes)
        log.info(
            "reload: configuration applied: classes %s; maximum attempts %d",
            names,
            config.settings.limits.max_attempts,
        )

    async def check_text(self, text: bytes) -> tuple[Config, CheckResult]:
        """Return the running configuration, and the result of checking a text as its replacement.

        The check runs on a thread, as it takes long for a long text, and one at a time, to bound the memory.
        Raises RefusedError while another check runs.
        """
        if self.checking:
            raise RefusedError(503, "another configuration is being checked")
        self.checking = True
        try:
            if self.executor is None:
                self.executor = ThreadPoolExecutor(1, "check")
            before = self.config
            return before, await self.loop.run_in_executor(self.executor, check, text, self.env, before)
        finally:
            self.checking = False

    async def put(self, text: bytes, if_match: int | None, confirm: float) -> Generation:
        """Check and apply an operator's configuration.  Raises RefusedError.

        `confirm` is the confirm time in seconds, 0 for none.
        """
        self.check_if_match(if_match)
        self.check_no_confirm_pending()
        before, found = await self.check_text(text)
        self.check_if_match(if_match)
        self.check_no_confirm_pending()
        if before is not self.config:
            raise RefusedError(409, f"generation {self.running.number} was taken meanwhile")
        if found.config is None:
            raise RefusedError(422, f"nothing taken: {ConfigError(*found.problems)}")
        if changed := [
            k
            for k, a, b in zip(
                RESTART_ONLY_KEYS, before.restart_only_values, found.config.restart_only_values, strict=True
            )
            if a != b
        ]:
            raise RefusedError(422, f"nothing taken: {', '.join(changed)} can change with a restart only")
        return self.apply(found.config, "put", confirm)

    async def diff(self, text: bytes) -> list[str]:
        """Return the lines of `config_diff` for a text.  Raises RefusedError if it would not be applied."""
        before, found = await self.check_text(text)
        if found.config is None:
            raise RefusedError(422, f"would not be taken: {ConfigError(*found.problems)}")
        return await self.loop.run_in_executor(self.executor, config_diff, before, found.config)

    def check_if_match(self, if_match: int | None) -> None:
        """Raise RefusedError if the caller expects another generation than the running one."""
        if if_match is not None and if_match != self.running.number:
            raise RefusedError(412, f"generation {self.running.number} is running")

    def check_no_confirm_pending(self) -> None:
        """Raise RefusedError while a generation is awaiting confirmation."""
        if self.pending_confirmation is not None:
            raise RefusedError(409, f"generation {self.pending_confirmation.number} is not confirmed yet")

    # --- rolling back ------------------------------------------------------------------------------

    def rollback(self, number: int | None, if_match: int | None) -> Generation:
        """Apply the generation before the running one, or a numbered one, under a new number.

        Raises RefusedError.
        """
        self.check_if_match(if_match)
        if number == self.running.number:
            raise RefusedError(409, f"generation {number} is running")
        found = [g for g in self.earlier if number in (None, g.number)]
        if not found:
            raise RefusedError(404, "no such generation is kept")
        return self.apply(self.restore_config(found[-1]), f"rollback to {found[-1].number}")

    def restore_config(self, kept: Generation) -> Config:
        """Return the configuration of a kept generation, with the addresses that it had.

        Raises RefusedError if it is no longer valid.
        """
        text = zlib.decompress(kept.packed)
        found = check(text, self.env, self.config, rollback=True)
        if found.config is None:
            raise RefusedError(422, f"nothing taken: {ConfigError(*found.problems)}")
        if kept.addresses is None:
            return found.config
        discovery, management = kept.addresses
        return replace(found.config, discovery=discovery, management=management)

    def confirm(self, if_match: int | None) -> Generation:
        """Confirm the running generation, so that it is not rolled back.  Raises RefusedError."""
        self.check_if_match(if_match)
        if self.closed:
            raise RefusedError(503, "this process is about to end")
        if self.pending_confirmation is None:
            raise RefusedError(409, "nothing is to be confirmed")
        try:
            self.write_state_file(self.running, self.config, self.earlier, None)
        except OSError as error:
            raise RefusedError(500, f"not confirmed: {error}") from None
        self.set_pending_confirmation(None)
        log.info("generation %d confirmed", self.running.number)
        return self.running

    def set_pending_confirmation(self, pending: PendingConfirmation | None) -> None:
        """Replace the pending confirmation and its timer."""
        if self.confirm_timer is not None:
            self.confirm_timer.cancel()
        self.confirm_timer, self.pending_confirmation, self.retry_delay = None, pending, ROLLBACK_RETRY_FIRST
        if pending is not None:
            left = min(max(0.0, pending.until - time.time()), pending.within)
            self.confirm_timer = self.loop.call_later(left, self.roll_back_unconfirmed)

    def roll_back_unconfirmed(self) -> None:
        """Roll back the running generation, as it was not confirmed in time.

        A rollback that fails is retried until it succeeds.
        """
        if self.pending_confirmation is None or self.closed:
            return
        number, back_to = self.pending_confirmation.number, self.pending_confirmation.back_to
        try:
            kept = next(g for g in reversed(self.earlier) if g.number == back_to)
            self.apply(self.restore_config(kept), f"{number} was not confirmed: back to {back_to}")
        except (RefusedError, StopIteration) as error:
            log.warning("generation %d was not confirmed and cannot be rolled back yet: %s", number, error)
            self.confirm_timer = self.loop.call_later(self.retry_delay, self.roll_back_unconfirmed)
            self.retry_delay = min(ROLLBACK_RETRY_MAX, 2 * self.retry_delay)

    # --- state shared with other processes -----------------------------------------------------------

    def share(self, path: Path, state_file: StateFile | None) -> None:
        """Share the state with other processes of this gateway through a file.

        `state_file` is the state in that file if this process has started with it.
        """
        self.path, self.basis = path, self.config.basis if state_file is None else state_file.basis
        if state_file is not None:
            self.running, self.earlier = state_file.running, deque(state_file.earlier)
            self.last_file_identity = state_file.last_file_identity
            self.set_pending_confirmation(state_file.pending_confirmation)
        self.poll_timer = self.loop.call_later(POLL_INTERVAL, self.poll_state_file)

    def write_state_file(
        self,
        running: Generation,
        config: Config,
        earlier: Sequence[Generation],
        pending: PendingConfirmation | None,
    ) -> None:
        """Replace the state file atomically, if state is shared.  Raises OSError.

        It is the last step of a change that can fail.
        """
        if self.path is None:
            return
        basis = config.basis if running.source == "SIGHUP" else self.basis
        generations = [*earlier, replace(running, packed=zlib.compress(config.text, 1))]
        state = {
            "version": STATE_FORMAT_VERSION,
            "basis": basis,
            "generations": [g.facts() | {"text": base64.b64encode(g.packed).decode()} for g in generations],
            "confirm": pending and [pending.number, pending.back_to, pending.until, pending.within],
        }
        new = self.path.with_name(f"{self.path.name}-{os.getpid()}")
        try:
            new.write_text(json.dumps(state))
            found = file_identity(os.stat(new))
            new.replace(self.path)
        except OSError:
            with contextlib.suppress(OSError):
                new.unlink(missing_ok=True)
            raise
        self.last_file_identity, self.basis = found, basis

    def poll_state_file(self) -> None:
        """Apply the state written by another process, if both have the same settings of the platform."""
        self.poll_timer = self.loop.call_later(POLL_INTERVAL, self.poll_state_file)
        if self.path is None or self.closed:
            return
        try:
            found = file_identity(os.stat(self.path))
        except OSError:
            return
        if found == self.last_file_identity:
            return
        self.last_file_identity = found
        state_file = read_state_file(self.path)
        if state_file is None or state_file.basis != self.basis:
            return
        try:
            self.apply_shared_state(state_file)
        except RefusedError as error:
            log.warning(
                "generation %d of another process was not applied: %s", state_file.running.number, error
            )

    def apply_shared_state(self, state_file: StateFile) -> None:
        """Apply the running generation, history and pending confirmation of another process.

        Raises RefusedError.
        """
        if state_file.running.digest != self.running.digest:
            # This process keeps its own management address: two processes cannot listen on one address.
            config = replace(self.restore_config(state_file.running), management=self.config.management)
            path, self.path = self.path, None  # the state file has this generation already
            try:
                self.apply(config, state_file.running.source)
            finally:
                self.path = path
        self.running, self.earlier = replace(state_file.running, packed=b""), deque(state_file.earlier)
        self.set_pending_confirmation(state_file.pending_confirmation)

    # --- reporting ---------------------------------------------------------------------------------

    def history(self) -> dict[str, Any]:
        """Return the body of the history call, with the generations from the oldest to the running one."""
        pending = self.pending_confirmation and {
            "number": self.pending_confirmation.number,
            "back_to": self.pending_confirmation.back_to,
            "until": self.pending_confirmation.until,
        }
        return {
            "running": self.running.number,
            "confirm": pending,
            "longest_take_ms": round(1000 * self.longest_apply_seconds, 1),
            "generations": [g.facts() for g in (*self.earlier, self.running)],
        }

    def stop(self) -> None:
        """Apply no further change.  Another process may roll back a generation that is not confirmed."""
        self.closed = True
        for timer in (self.confirm_timer, self.poll_timer):
            if timer is not None:
                timer.cancel()
        if self.executor is not None:
            self.executor.shutdown(wait=False, cancel_futures=True)


@dataclass(slots=True, frozen=True)
class StateFile:
    """The content of the state file."""

    basis: str
    running: Generation  # including its compressed text
    earlier: tuple[Generation, ...]
    pending_confirmation: PendingConfirmation | None
    last_file_identity: tuple[int, int, int, int]


def read_state_file(path: Path) -> StateFile | None:
    """Read the state file.  Returns None if it is missing, damaged, or of another format."""
    try:
        with path.open("rb") as source:
            last_file_identity = file_identity(os.fstat(source.fileno()))
            state = json.loads(source.read(MAX_STATE_FILE_BYTES))
        if state["version"] != STATE_FORMAT_VERSION:
            log.warning(
                "generations: state file not used: format version %s", one_line(str(state["version"]))
            )
            return None
        found = [
            Generation(
                int(g["number"]), str(g["digest"]), float(g["time"]), one_line(str(g["source"])),
                base64.b64decode(g["text"], validate=True),
            )
            for g in state["generations"][-MAX_GENERATIONS:]
        ]  # fmt: skip
        for generation in found:
            if (
                len(zlib.decompressobj().decompress(generation.packed, MAX_CONFIG_BYTES + 1))
                > MAX_CONFIG_BYTES
            ):
                raise ValueError(f"a configuration is larger than {MAX_CONFIG_BYTES} bytes")
        pending = None
        if state["confirm"]:
            number, back_to, until, within = state["confirm"]
            pending = PendingConfirmation(int(number), int(back_to), float(until), float(within))
        return StateFile(str(state["basis"]), found[-1], tuple(found[:-1]), pending, last_file_identity)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, TypeError, LookupError, RecursionError, zlib.error) as error:
        log.warning("generations: state file not used: %s: %s", type(error).__name__, one_line(str(error)))
        return None


def state_path(config: Config) -> Path | None:
    """Return the path of the state file, or None if the processes share no state.

    Without a management address, a configuration cannot differ from the platform's file.
    """
    if config.shared is None or config.management is None:
        return None
    return config.shared / "ivymux" / "generations"


def inherit(config: Config, env: Mapping[str, str]) -> tuple[Config, StateFile | None]:
    """Return the configuration to start with, and the shared state that it came from, if any.

    The running generation of the other process is used if it is based on the same settings of the platform.
    """
    path = state_path(config)
    state_file = read_state_file(path) if path is not None else None
    if state_file is None or state_file.basis != config.basis:
        return config, None
    env = {name: value for name, value in env.items() if name != "NODE_DISCOVERY"}
    found = check(zlib.decompress(state_file.running.packed), env)
    if found.config is None:
        log.warning(
            "generation %d of the state file not used: %s",
            state_file.running.number,
            ConfigError(*found.problems),
        )
        return config, None
    log.info(
        "starting with generation %d (%s) of the state file",
        state_file.running.number,
        state_file.running.source,
    )
    state_file = replace(state_file, running=replace(state_file.running, packed=b""))
    own = replace(found.config, name=config.name, listen=config.listen, seed=config.seed, known=config.known)
    return own, state_file
