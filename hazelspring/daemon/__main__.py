"""The program that runs on every machine: start, signals, end."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Sequence

import uvloop

from hazelspring.daemon import recovery_command as rescue
from hazelspring.daemon import structured_log as log
from hazelspring.daemon.node_process import NodeProcess
from hazelspring.daemon.settings import Settings, SettingsError, UnreadableSettingsError, load_settings
from ivymux.periodic import Periodic

MAX_PORT = 65_535
NO_FILE = (0, 0)
SETTINGS_CHECK_INTERVAL = (
    1.0  # seconds between looks whether the settings file has changed: what it may change is needed seldom
)


class SettingsWatcher:
    """The settings file, which may change with a SIGHUP or without a word."""

    def __init__(self, path: str, take: Callable[[Settings], None]) -> None:
        self.path, self.take = path, take
        self.last_seen = self.stamp()  # of the last file that was taken or refused

    def stamp(self) -> tuple[int, int]:
        """What tells two states of the file apart; NO_FILE where it can't be looked at."""
        try:
            found = os.stat(self.path)
            return found.st_mtime_ns, found.st_size
        except OSError:
            return NO_FILE

    def check(self, asked: bool = False) -> None:
        """Take the file where it was changed.  One that can't be used is logged, and changes nothing; one that can't
        be read, or is not taken for an error that nobody foresaw, is tried again with the next look."""
        stamp = self.stamp()
        if stamp in (self.last_seen, NO_FILE) and not asked:
            return
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            log.log.write("daemon", "new settings cannot be used", problem=error)
            if not isinstance(error, UnreadableSettingsError):
                self.last_seen = stamp
            return
        self.take(settings)
        self.last_seen = stamp


async def serve(settings: Settings, path: str, metrics_port: int = 0) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = NodeProcess(settings, metrics_port)
    watched = SettingsWatcher(path, node.reload)
    loop.add_signal_handler(signal.SIGHUP, watched.check, True)
    await node.start()
    Periodic(
        loop,
        SETTINGS_CHECK_INTERVAL,
        watched.check,
        lambda error: node.supervisor.failed("look at the settings", error),
    )
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    await stop.wait()
    await node.drain()


def port(text: str) -> int:
    """A port's number, or 0.  Raises ValueError, which argparse tells."""
    number = int(text)
    if not 0 <= number <= MAX_PORT:
        raise ValueError(text)
    return number


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hazelspringd", description="A door of hazelspring, on any machine."
    )
    calls = parser.add_subparsers(dest="call", required=True)
    for name, text in (
        ("serve", "serve"),
        ("check", "say whether the settings file can be used"),
        ("recover", "make a new core from a stopped door's disk, or say what the disk holds"),
    ):
        call = calls.add_parser(name, help=text)
        path = os.environ.get("HAZELSPRING_SETTINGS")
        call.add_argument("--settings", default=path, help="path of the settings file")
        if name == "recover":
            rescue.add(call)
        elif name == "serve":
            text = "also answer GET /-/metrics on this port of the machine (0: no)"
            call.add_argument("--metrics-port", type=port, default=0, metavar="PORT", help=text)
    chosen = parser.parse_args(arguments)
    if chosen.call == "recover":
        return rescue.run(chosen)
    if not chosen.settings:
        parser.error("no settings file: name one, or set HAZELSPRING_SETTINGS")
    try:
        settings = load_settings(chosen.settings)
    except SettingsError as error:
        print(f"hazelspringd: {error.code}: {error}", file=sys.stderr)
        return 2
    if chosen.call == "check":
        print(f"{chosen.settings}: can be used by {settings.name}")
        return 0
    log.start()
    uvloop.run(serve(settings, chosen.settings, chosen.metrics_port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
