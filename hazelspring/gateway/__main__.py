"""Entry point of the gateway process.

It also has two commands that start no gateway: `check` and `diff`.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Sequence

import uvloop

from hazelspring.gateway.config import (
    CheckResult,
    Config,
    ConfigError,
    check,
    load,
    one_line,
    parse_address,
    read,
)
from hazelspring.gateway.gateway_process import GatewayProcess
from hazelspring.gateway.generations import inherit
from hazelspring.gateway.metrics import Counts

DIFF_TIMEOUT = 5.0  # seconds for the gateway's response


class LogRateLimit(logging.Filter):
    """Limits the log lines per second: an error that occurs with every request must not fill the log."""

    MAX_LINES_PER_SECOND = 50

    def __init__(self, counts: Counts) -> None:
        super().__init__()
        self.counts = counts
        self.second, self.seen = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass the first MOST records of each second, and count the dropped ones."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.seen = second, 0
        self.seen += 1
        if self.seen <= self.MAX_LINES_PER_SECOND:
            return True
        self.counts.log_dropped += 1
        return False


async def serve(config: Config, counts: Counts) -> None:
    """Run a gateway until SIGTERM or SIGINT, then drain it.

    Raises ConfigError if it cannot listen on its addresses.
    """
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    gateway = GatewayProcess(*inherit(config, os.environ), counts)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    try:
        await gateway.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    gc.collect()
    gc.freeze()  # the collector need not scan objects that live as long as the process
    await terminated.wait()
    await gateway.drain()


def check_file(path: str) -> int:
    """Print whether the gateway would accept a configuration file, with its problems.

    Returns the exit status.
    """
    try:
        found = check(read(path), os.environ)
    except ConfigError as error:
        found = CheckResult(None, error.problems, ())
    for problem in found.problems:
        print(one_line(problem))
    for key in found.unknown:
        print(f"{one_line(key)}: unknown, skipped")
    print(f"{path}: {'would be taken' if found.config is not None else 'would not be taken'}")
    return 0 if found.config is not None else 2


def diff_file(path: str, address: str) -> int:
    """Print what would change if the gateway at a management address applied a configuration file.

    Returns the exit status.
    """
    import http.client  # imported here, as it takes 1.5 MB that a gateway process does not need

    try:
        at = parse_address(address)
        connection = http.client.HTTPConnection(at.host, at.port, timeout=DIFF_TIMEOUT)
        connection.request("PUT", "/_configuration/diff", read(path))
        answer = connection.getresponse()
        print(answer.read().decode(errors="replace"), end="")
    except (ConfigError, OSError, http.client.HTTPException) as error:
        print(f"ivymux: {one_line(str(error) or type(error).__name__)}", file=sys.stderr)
        return 2
    return 0 if answer.status == 200 else 2


def main(arguments: Sequence[str] = ()) -> int:
    """Run the command that the arguments name, or a gateway without any.  Returns the exit status."""
    match arguments:
        case ["check", path]:
            return check_file(path)
        case ["diff", path, address]:
            return diff_file(path, address)
        case [_, *_]:
            print("usage: python -m hazelspring.gateway [check FILE | diff FILE ADDRESS]", file=sys.stderr)
            return 2
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    counts = Counts()
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit(counts))
    try:
        uvloop.run(serve(load(os.environ), counts))
    except ConfigError as error:
        print(f"ivymux: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
