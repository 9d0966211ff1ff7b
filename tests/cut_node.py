"""A node with faulty links, for tests only: `hazelspringd serve` that drops or delays received messages.

The file beside its settings that ends in `.cut` has an address on each line: messages from there are
dropped, or delayed by the seconds that follow the address.  The file is read again for each message.  The file
that ends in `.platform` states what reads of the platform's list do: `hang` or `fail`.  The option
`--skip-confirmation` makes the node serve by the state that it has, without confirming it with the core.  In the
file that ends in `.zones` the node records which evacuated zones it uses from when on (tests/soak_evacuations.py).
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

import hazelspring.daemon.list_reader
import hazelspring.daemon.node_process
from hazelspring.consensus.proposal import Proposal
from hazelspring.daemon.__main__ import main
from hazelspring.daemon.instance_list_client import InstanceListClient
from hazelspring.daemon.message_transport import MessageTransport
from hazelspring.daemon.state_in_use import StateInUse
from hazelspring.node.control_replica import ControlReplica

FILE = Path(os.environ["HAZELSPRING_SETTINGS"]).with_suffix(".cut")
PLATFORM = FILE.with_suffix(".platform")
ZONES = FILE.with_suffix(".zones")


class FaultyTransport(MessageTransport):
    """Drops or delays messages, by UDP and by TCP, before they are decoded."""

    def on_bytes(self, source: str, data: bytes) -> None:
        lines = FILE.read_text().splitlines() if FILE.exists() else ()
        delay = next((line.split()[1:] for line in lines if line.split()[0] == source), None)
        if delay is None:
            super().on_bytes(source, data)
        elif delay:
            self.loop.call_later(float(delay[0]), super().on_bytes, source, data)


class FaultyListClient(InstanceListClient):
    """Makes reads hang until their time-out, or fail with an error of an unexpected type."""

    async def read_pages(self) -> list[bytes]:
        match PLATFORM.read_text().strip() if PLATFORM.exists() else "":
            case "hang":
                await asyncio.Event().wait()
            case "fail":
                raise RuntimeError("the handler is closed")
        return await super().read_pages()


class RecordingState(StateInUse):
    """Records the evacuated zones that it uses."""

    def apply_evacuated_zones(self) -> None:
        super().apply_evacuated_zones()
        decided = self.node().control.acceptor.decided
        version, decided_by = (decided[1].version, decided[0].address) if decided is not None else (-1, "")
        zones = ",".join(sorted(self.router.evacuated_zones)) or "none"
        with ZONES.open("a") as file:
            file.write(f"{time.monotonic():.3f} {version} {decided_by or '-'} {zones}\n")


def disable_confirmation() -> None:
    """Make the node serve by its state without a confirmation from the core, neither by replies nor by a round."""
    ControlReplica.is_confirmed_for = lambda control, order, now: True  # type: ignore[assignment, method-assign]
    ControlReplica.confirmed_at = lambda control, now: now  # type: ignore[assignment, method-assign]
    Proposal.needs_new_version = lambda proposal: False  # type: ignore[assignment, method-assign]


if __name__ == "__main__":
    hazelspring.daemon.node_process.StateInUse = RecordingState  # type: ignore[attr-defined]
    hazelspring.daemon.node_process.MessageTransport = FaultyTransport  # type: ignore[attr-defined]
    hazelspring.daemon.list_reader.InstanceListClient = FaultyListClient  # type: ignore[attr-defined]
    arguments = sys.argv[1:]
    if "--skip-confirmation" in arguments:
        arguments.remove("--skip-confirmation")
        disable_confirmation()
    sys.exit(main(arguments))
