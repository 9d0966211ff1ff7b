"""The program that runs on every machine: start, signals, end."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence

import uvloop

from hive import log
from hive.door import Door
from hive.settings import Settings, SettingsError, load


async def serve(settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.log.say("hive", "settings are read at the next start"))
    door = Door(settings)
    await door.start()
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    await stop.wait()
    await door.drain()


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hivedoor", description="A door of hazelspring, on any machine.")
    calls = parser.add_subparsers(dest="call", required=True)
    for name, text in (("door", "serve"), ("check", "say whether the settings file can be used")):
        call = calls.add_parser(name, help=text)
        path = os.environ.get("HAZELSPRING_SETTINGS")
        call.add_argument("--settings", default=path, help="path of the settings file")
    chosen = parser.parse_args(arguments)
    if not chosen.settings:
        parser.error("no settings file: name one, or set HAZELSPRING_SETTINGS")
    try:
        settings = load(chosen.settings)
    except SettingsError as error:
        print(f"hivedoor: {error.code}: {error}", file=sys.stderr)
        return 2
    if chosen.call == "check":
        print(f"{chosen.settings}: can be used by {settings.name}")
        return 0
    log.start()
    uvloop.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
