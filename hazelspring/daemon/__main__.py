"""The program `hazelspringd`, which runs a node on each machine: command line, signals and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import uvloop

from hazelspring.daemon import recovery_command, structured_log
from hazelspring.daemon.node_process import NodeProcess
from hazelspring.daemon.settings import Settings, SettingsError, UnreadableSettingsError, load_settings
from hazelspring.daemon.structured_log import log
from hazelspring.gateway.periodic import Periodic

MAX_PORT = 65_535
SETTINGS_CHECK_INTERVAL = 1.0  # seconds between checks of the settings file: it changes seldom
SETTINGS_VARIABLE = "HAZELSPRING_SETTINGS"  # the environment variable with the path of the settings file
SUCCESS = 0
USAGE = 2  # exit status if an option or the settings file is wrong
COMMANDS = {
    "serve": "run a node until SIGTERM or SIGINT",
    "check": "check whether the settings file can be used",
    "recover": "make a new core from a stopped node's disk, or list what the disk holds",
}  # the help text of each command


@dataclass(slots=True, frozen=True)
class FileStamp:
    """The time of a file's last change, in nanoseconds, and its size in bytes, to detect a change."""

    modified_ns: int
    size: int


NO_FILE = FileStamp(0, 0)


class SettingsWatcher:
    """Applies the settings file again when it has changed; SIGHUP forces this."""

    def __init__(self, path: str, apply: Callable[[Settings], None]) -> None:
        self.path = path
        self.apply = apply
        self.last_seen = self.stamp()  # stamp of the file that was last applied or rejected

    def stamp(self) -> FileStamp:
        """Return the file's current stamp, or NO_FILE if its status cannot be read."""
        try:
            status = os.stat(self.path)
        except OSError:
            return NO_FILE
        return FileStamp(status.st_mtime_ns, status.st_size)

    def check(self, forced: bool = False) -> None:
        """Apply the settings file if it has changed since the last check, or in any case if `forced`.

        A file that cannot be used is logged and changes nothing.  If the file cannot be read, or if applying
        its settings raises an unexpected error, the next check tries it again.
        """
        stamp = self.stamp()
        if stamp in (self.last_seen, NO_FILE) and not forced:
            return
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            log.write("daemon", "new settings cannot be used", problem=error)
            if not isinstance(error, UnreadableSettingsError):
                self.last_seen = stamp
            return
        self.apply(settings)
        self.last_seen = stamp


async def serve(settings: Settings, path: str, metrics_port: int = 0) -> None:
    """Run a node until SIGTERM or SIGINT; on SIGHUP, it reads the settings at `path` again."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = NodeProcess(settings, metrics_port)
    watcher = SettingsWatcher(path, process.reload)
    loop.add_signal_handler(signal.SIGHUP, watcher.check, True)
    await process.start()
    Periodic(
        loop,
        SETTINGS_CHECK_INTERVAL,
        watcher.check,
        lambda error: process.supervisor.record_failure("look at the settings", error),
    )
    gc.collect()
    gc.freeze()  # objects that live as long as the process need not be scanned again
    await stop.wait()
    await process.drain()


def port(text: str) -> int:
    """Return the port number in `text`, which may be 0; raises ValueError, which argparse reports."""
    number = int(text)
    if not 0 <= number <= MAX_PORT:
        raise ValueError(text)
    return number


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="hazelspringd", description="Run, check or recover a hazelspring node."
    )
    calls = parser.add_subparsers(dest="call", required=True)
    path = os.environ.get(SETTINGS_VARIABLE)
    for name, text in COMMANDS.items():
        call = calls.add_parser(name, help=text)
        call.add_argument("--settings", default=path, help="path of the settings file")
        if name == "recover":
            recovery_command.add_arguments(call)
        elif name == "serve":
            metrics_help = "also answer GET /-/metrics on this port of the node's address (0: do not)"
            call.add_argument("--metrics-port", type=port, default=0, metavar="PORT", help=metrics_help)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program; return its exit status."""
    parser = make_parser()
    options = parser.parse_args(arguments)
    if options.call == "recover":
        return recovery_command.run(options)
    if not options.settings:
        parser.error(f"no settings file: use --settings, or set {SETTINGS_VARIABLE}")
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(f"hazelspringd: {error.code}: {error}", file=sys.stderr)
        return USAGE
    if options.call == "check":
        print(f"{options.settings}: can be used by {settings.name}")
        return SUCCESS
    structured_log.start()
    uvloop.run(serve(settings, options.settings, options.metrics_port))
    return SUCCESS


if __name__ == "__main__":
    sys.exit(main())
