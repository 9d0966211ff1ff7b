"""The disk side of a node's replica: saves, one at a time, and replies that wait for them."""

from __future__ import annotations

from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.messages import ConsensusMessage, OutgoingMessage
from hazelspring.node.actions import Save

COUNT_RECORD_PREFIX = "mark "  # begins the names of records that are no part of the agreement


class DurableReplies:
    """Collects what has to be written, and the replies that stand for it."""

    def __init__(self, acceptor: Acceptor, has_disk: bool) -> None:
        self.acceptor, self.has_disk = acceptor, has_disk
        self.other_records: dict[
            str, bytes | None
        ] = {}  # not of the acceptor; to be written with the next save
        self.save_number = 0
        self.records_being_saved: dict[str, bytes | None] | None = None
        self.after_current_save: list[OutgoingMessage] = []  # replies that wait for the save under way
        self.after_next_save: list[OutgoingMessage] = []
        self.has_failed = False  # since the last tick

    def defer(self, to: str, reply: ConsensusMessage) -> bool:
        """Keep a reply until all that it stands for is on disk; False where it may go at once."""
        if self.acceptor.dirty_records and self.has_disk:
            self.after_next_save.append(OutgoingMessage(to, reply))
        elif self.records_being_saved is not None:
            self.after_current_save.append(OutgoingMessage(to, reply))
        else:
            return False
        return True

    def begin_save(self) -> Save | None:
        """Return a save of all that is to be written; None where nothing is, or one is under way or failed."""
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
        """Return the replies that may go now that a save has ended; None where it is not the one under way.

        Replies that waited for a save that failed are dropped, and their recipients ask again.
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
