"""A node's store, driven by a thread of its own, so that the event loop never waits for the disk."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from hazelspring.daemon.structured_log import log
from hazelspring.daemon.supervisor import Supervisor
from hazelspring.storage.replica_store import ReplicaStore, StoreError


class DiskWorker:
    """Loads and saves records one after another; how each ends is told as a value, whatever error ended it."""

    def __init__(self, folder: str, supervisor: Supervisor) -> None:
        self.store = ReplicaStore(folder)
        self.supervisor = supervisor
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="disk")

    async def load(self) -> dict[str, bytes] | None:
        """What the disk holds; None where it does not say: it is not taken for an empty one then."""
        try:
            records = await self.loop.run_in_executor(self.thread, self.store.load)
        except StoreError as error:
            log.write("control", "cannot read the disk, goes on without it", error=error)
            return None
        except Exception as error:  # who awaits the disk tries again
            self.supervisor.failed("read the disk", error)
            return None
        while self.store.quarantined:
            log.write("control", "put aside what could not be read", what=self.store.quarantined.pop())
        return records

    async def save(self, records: Mapping[str, bytes | None]) -> bool:
        """Put records on disk, all or none, None for one that is to go; whether they are there."""
        try:
            await self.loop.run_in_executor(self.thread, self.store.save, records)
        except StoreError as error:
            log.write("control", "could not save", records=",".join(records), error=error)
        except Exception as error:  # the core waits for every save to end
            self.supervisor.failed("save", error)
        else:
            return True
        return False

    def discard(self, why: str) -> None:
        """Put aside what is on disk, as it makes no sense."""
        log.write("control", "put aside what could not be read", what=why)
        self.store.discard(why)

    def close(self) -> None:
        """Begin no further load or save; one that is under way is not waited for."""
        self.thread.shutdown(wait=False, cancel_futures=True)
