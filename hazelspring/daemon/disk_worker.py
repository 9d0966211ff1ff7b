"""Access to a node's store from a thread of its own, so that the event loop never waits for the disk."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.storage.replica_store import ReplicaStore, StoreError


class DiskWorker:
    """Loads and saves records one after another.

    Each load or save returns a result whatever error occurs, because the node waits for all of them to end.
    """

    def __init__(self, folder: str, supervisor: Supervisor) -> None:
        self.store = ReplicaStore(folder)
        self.supervisor = supervisor
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="disk")

    async def load(self) -> dict[str, bytes] | None:
        """Return the records on disk; None where they could not be read.

        An empty result means an empty disk, which is not the same as None.
        """
        try:
            records = await self.loop.run_in_executor(self.thread, self.store.load)
        except StoreError as error:
            log.write("control", "cannot read the disk, continuing without it", error=error)
            return None
        except Exception as error:  # the caller retries
            self.supervisor.record_failure("read the disk", error)
            return None
        while self.store.quarantined:
            log.write("control", "moved unreadable data aside", what=self.store.quarantined.pop())
        return records

    async def save(self, records: Mapping[str, bytes | None]) -> bool:
        """Save all records or none, remove those whose value is None; return whether that succeeded."""
        try:
            await self.loop.run_in_executor(self.thread, self.store.save, records)
        except StoreError as error:
            log.write("control", "could not save", records=",".join(records), error=error)
        except Exception as error:  # the node waits for every save to end, so no error may escape
            self.supervisor.record_failure("save", error)
        else:
            return True
        return False

    def discard(self, reason: str) -> None:
        """Move the records on disk to another file, because their content is invalid."""
        log.write("control", "moved unreadable data aside", what=reason)
        self.store.discard(reason)

    def close(self) -> None:
        """Start no further load or save; do not wait for one that is in progress."""
        self.thread.shutdown(wait=False, cancel_futures=True)
