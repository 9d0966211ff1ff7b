"""Durability of a node's replica: saves to disk, one at a time, and the replies that wait for them."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.messages import ConsensusMessage, OutgoingMessage
from hazelspring.node.actions import Save

# The prefix of the names of records that do not belong to the acceptor.
COUNT_RECORD_PREFIX = "mark "


class DurableReplies:
    """Collects the records to be saved, and the replies that acknowledge them."""

    def __init__(self, acceptor: Acceptor, has_disk: bool) -> None:
        self.acceptor, self.has_disk = acceptor, has_disk
        # Records that do not belong to the acceptor, to be written with the next save.
        self.other_records: dict[str, bytes | None] = {}
        self.save_number = 0
        self.records_being_saved: dict[str, bytes | None] | None = None
        self.after_current_save: list[OutgoingMessage] = []  # replies that wait for the save in progress
        self.after_next_save: list[OutgoingMessage] = []
        self.has_failed = False  # a save has failed since the last tick; none begins before the next one

    def defer(self, to: str, reply: ConsensusMessage) -> bool:
        """Keep a reply until all that it acknowledges is on disk; return False where it may be sent at once."""
        if self.acceptor.dirty_records and self.has_disk:
            self.after_next_save.append(OutgoingMessage(to, reply))
        elif self.records_being_saved is not None:
            self.after_current_save.append(OutgoingMessage(to, reply))
        else:
            return False
        return True

    def begin_save(self) -> Save | None:
        """Return a save of all records to be written.

        None where there are none, while a save is in progress, or where one has failed since the last tick.
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
        """Return the replies that may be sent now that a save has ended; None where it is not the one in progress.

        Replies that waited for a save that failed are dropped, as their recipients ask again; its records are written
        with the next save.
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
