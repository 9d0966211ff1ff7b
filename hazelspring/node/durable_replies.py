"""Durability of a node's replica: saves to disk, one at a time, and replies deferred until they succeed."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.messages import ConsensusMessage, OutgoingMessage
from hazelspring.node.actions import Save

# The prefix of the names of records that do not belong to the acceptor.
COUNT_RECORD_PREFIX = "mark "


class DurableReplies:
    """Collects the records to save, and defers the replies that acknowledge them until they are on disk."""

    def __init__(self, acceptor: Acceptor, has_disk: bool) -> None:
        self.acceptor, self.has_disk = acceptor, has_disk
        # Records that do not belong to the acceptor and are to be written with the next save.
        self.other_records: dict[str, bytes | None] = {}
        self.save_number = 0
        self.records_being_saved: dict[str, bytes | None] | None = None
        self.after_current_save: list[OutgoingMessage] = []  # replies that wait for the save in progress
        self.after_next_save: list[OutgoingMessage] = []
        self.has_failed = False  # a save has failed since the last tick; none begins before the next tick

    def defer(self, to: str, reply: ConsensusMessage) -> bool:
        """Defer a reply until all records that it acknowledges are on disk.

        Return False if the reply may be sent immediately; it is then not kept.
        """
        if self.acceptor.dirty_records and self.has_disk:
            self.after_next_save.append(OutgoingMessage(to, reply))
        elif self.records_being_saved is not None:
            self.after_current_save.append(OutgoingMessage(to, reply))
        else:
            return False
        return True

    def begin_save(self) -> Save | None:
        """Return a save of all records that are to be written.

        Returns None if there are no such records, while a save is in progress, or if a save has failed since
        the last tick.
        """
        if not self.has_disk:
            self.acceptor.dirty_records.clear()
            return None
        if self.records_being_saved is not None or self.has_failed:
            return None
        if not (self.acceptor.dirty_records or self.other_records):
            return None
        self.records_being_saved = {**self.acceptor.take_dirty_records(), **self.other_records}
        self.other_records = {}
        self.after_current_save, self.after_next_save = self.after_next_save, []
        self.save_number += 1
        return Save(self.save_number, self.records_being_saved)

    def end_save(self, serial: int, succeeded: bool) -> list[OutgoingMessage] | None:
        """Return the replies that may be sent now that a save has ended; None if it is not the current save.

        If the save has failed, the replies that waited for it are dropped, as their recipients repeat the
        requests, and its records are written with the next save.
        """
        if serial != self.save_number or self.records_being_saved is None:
            return None
        records, replies = self.records_being_saved, self.after_current_save
        self.records_being_saved, self.after_current_save = None, []
        if succeeded:
            return replies
        self.has_failed = True
        others = {name: body for name, body in records.items() if name.startswith(COUNT_RECORD_PREFIX)}
        own = {name: body for name, body in records.items() if name not in others}
        self.acceptor.restore_dirty_records(own)
        self.other_records = {**others, **self.other_records}
        return []
