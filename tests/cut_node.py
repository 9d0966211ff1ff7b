"""A node with bad links: `hazelspringd serve` that drops or delays what other nodes send to it, for tests alone.

The file beside its settings that ends in `.cut` names addresses, one a line: what comes from there is dropped, or
delayed by the seconds that follow it.  It is read again at each message.  The file that ends in `.platform` names what
happens to reads of the platform's list: `hang` or `fail`.  `serve --skip-confirmation` serves by
what it knows, without confirming it with the core."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import hazelspring.daemon.list_reader
import hazelspring.daemon.node_process
from hazelspring.daemon.__main__ import main
from hazelspring.daemon.instance_list_client import InstanceListClient
from hazelspring.daemon.message_transport import MessageTransport
from hazelspring.node.control_replica import ControlReplica

FILE = Path(os.environ["HAZELSPRING_SETTINGS"]).with_suffix(".cut")
PLATFORM = FILE.with_suffix(".platform")


class FaultyTransport(MessageTransport):
    """Datagrams and messages by TCP both pass here before they are decoded."""

    def on_bytes(self, source: str, data: bytes) -> None:
        lines = FILE.read_text().splitlines() if FILE.exists() else ()
        late = next((line.split()[1:] for line in lines if line.split()[0] == source), None)
        if late is None:
            super().on_bytes(source, data)
        elif late:
            self.loop.call_later(float(late[0]), super().on_bytes, source, data)


class FaultyListClient(InstanceListClient):
    """Reads that hang until they are given up, or end by an error of an unforeseen type."""

    async def read_pages(self) -> list[bytes]:
        match PLATFORM.read_text().strip() if PLATFORM.exists() else "":
            case "hang":
                await asyncio.Event().wait()
            case "fail":
                raise RuntimeError("the handler is closed")
        return await super().read_pages()


def disable_confirmation() -> None:
    """Serve by everything known, confirmed or not."""
    ControlReplica.is_confirmed_for = lambda control, order, now: True  # type: ignore[assignment, method-assign]
    ControlReplica.confirmed_at = lambda control, now: now  # type: ignore[assignment, method-assign]


if __name__ == "__main__":
    hazelspring.daemon.node_process.MessageTransport = FaultyTransport  # type: ignore[attr-defined]
    hazelspring.daemon.list_reader.InstanceListClient = FaultyListClient  # type: ignore[attr-defined]
    arguments = sys.argv[1:]
    if "--skip-confirmation" in arguments:
        arguments.remove("--skip-confirmation")
        disable_confirmation()
    sys.exit(main(arguments))
