"""Reads the platform's list of servers for a node, counts the reads, and logs failures and role changes."""

from __future__ import annotations

import asyncio

from hazelspring.daemon.instance_list_client import InstanceListClient, InstanceListError
from hazelspring.daemon.structured_log import log
from hazelspring.gateway.config import Address
from hazelspring.registry.instance_list import parse_instance_list
from hazelspring.registry.tables import ServerEntry

MAX_LOGGED_IDS = 5  # ids in one line of the log

ServersByService = dict[str, dict[str, ServerEntry]]


class ListReader:
    """Reads the list when the node requests it; a new read replaces one that is in progress."""

    def __init__(self, address: Address, rate: float, timeout: float) -> None:
        """`timeout`: seconds for one read."""
        self.loop = asyncio.get_running_loop()
        self.timeout = timeout
        self.client = InstanceListClient(address, rate, timeout)
        self.reading: InstanceListClient | None = None  # the client whose read is in progress
        self.reads = 0
        self.failures = 0
        self.read_at: float | None = None  # when the last successful read ended, in the loop's seconds
        self.is_reader = False  # the role as it was last logged
        self.malformed: tuple[str, ...] = ()  # ids of malformed entries that the last read skipped

    def reconfigure(self, address: Address, rate: float) -> None:
        """Use another address or rate from the next read on."""
        if (address, rate) != (self.client.address, self.client.rate):
            self.replace_client(address, rate)

    def replace_client(self, address: Address, rate: float) -> None:
        """Read over a new connection from now on; a read in progress on the old one fails."""
        self.client.close()
        self.client = InstanceListClient(address, rate, self.timeout)

    async def read(self) -> ServersByService | None:
        """Return the servers of each service; None where the list could not be read, for any reason."""
        if self.reading is self.client:
            self.replace_client(self.client.address, self.client.rate)
        client = self.reading = self.client
        try:
            listed = parse_instance_list(await client.read_pages(), self.loop.time())
        except Exception as error:  # the node waits for every read to end, so no error may escape
            self.failures += 1
            self._log_failure(error)
            return None
        finally:
            if self.reading is client:
                self.reading = None
        self.reads += 1
        self.read_at = self.loop.time()
        self._log_malformed(listed.malformed)
        return listed.servers

    @staticmethod
    def _log_failure(error: Exception) -> None:
        """Log why a read failed; for an unexpected error, also the calls in which it arose."""
        sentence = "could not read the list"
        if isinstance(error, InstanceListError | ValueError):
            log.write("registry", sentence, error=error)
        else:
            log.write_failure("registry", sentence, error)

    def _log_malformed(self, malformed: tuple[str, ...]) -> None:
        """Log the ids of malformed entries, where they differ from those of the read before."""
        if malformed != self.malformed:
            ids = ",".join(malformed[:MAX_LOGGED_IDS])
            log.write("registry", "skipped malformed list entries", count=len(malformed), ids=ids)
        self.malformed = malformed

    def log_role(self, is_reader: bool) -> None:
        """Log when this node becomes the reader of the list, and when it ceases to be the reader."""
        if is_reader != self.is_reader:
            self.is_reader = is_reader
            log.write(
                "registry",
                "started reading the list" if is_reader else "stopped reading the list",
                reads=self.reads,
            )

    def close(self) -> None:
        """Close the connection to the platform."""
        self.client.close()
