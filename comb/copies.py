"""The items of the operator's word at one door: which are on disk, which are seen, and how many copies suffice."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from comb.word import Stamp

WORD = "word"  # the key of the configuration
ZONE = "zone/"  # begins the key of a zone's evacuation
NEVER: Stamp = (-1, b"")


def copies_needed(core: int) -> int:
    """Disks that hold a change before it is acknowledged, of so many core doors."""
    return core // 2 + 1


def voices_needed(core: int) -> int:
    """Voices of the core that together know of every acknowledged change (docs/system.md has the sum)."""
    return max(1, core - copies_needed(core) + 1)


@dataclass(slots=True, frozen=True)
class Item:
    key: str
    stamp: Stamp
    blob: bytes


@dataclass(slots=True, frozen=True)
class Save:
    """To be put on disk; `Copies.saved` wants to hear of it."""

    item: Item


class Copies:
    """What one door holds.  With a disk, an item is seen here once it is on it, or known to be on another's."""

    def __init__(self, disk: bool, kept: Iterable[Item] = ()) -> None:
        self.disk = disk
        self.seen: dict[str, Item] = {item.key: item for item in kept}
        self.kept: dict[str, Stamp] = {item.key: item.stamp for item in self.seen.values()}
        self.saving: dict[str, Stamp] = {}

    def stamp(self, key: str) -> Stamp:
        item = self.seen.get(key)
        return item.stamp if item is not None else NEVER

    def stamps(self) -> dict[str, Stamp]:
        """Of all that is seen."""
        return {key: item.stamp for key, item in self.seen.items()}

    def lacks(self, item: Item) -> bool:
        """Whether an item is neither on this disk nor on its way there, nor a newer one."""
        on_disk = max(self.kept.get(item.key, NEVER), self.saving.get(item.key, NEVER))
        return self.disk and item.stamp > on_disk

    def offer(self, item: Item, elsewhere: bool) -> tuple[bool, Save | None]:
        """An item that came: whether it is seen from now on, and what is to be saved.  `elsewhere`: it is on
        another door's disk."""
        save = None
        if self.lacks(item):
            self.saving[item.key] = item.stamp
            save = Save(item)
        new = (elsewhere or not self.disk) and item.stamp > self.stamp(item.key)
        if new:
            self.seen[item.key] = item
        return new, save

    def saved(self, item: Item, good: bool) -> bool:
        """A save has ended; whether the item is seen from now on."""
        if self.saving.get(item.key) == item.stamp:
            del self.saving[item.key]
        if not good:
            return False
        self.kept[item.key] = max(item.stamp, self.kept.get(item.key, NEVER))
        if item.stamp <= self.stamp(item.key):
            return False
        self.seen[item.key] = item
        return True

    def unsaved(self) -> list[Save]:
        """What is seen but on no disk here, and not on its way: a save that failed is tried again."""
        lacking = []
        for item in self.seen.values():
            if self.lacks(item):
                self.saving[item.key] = item.stamp
                lacking.append(Save(item))
        return lacking

    def zones(self) -> frozenset[str]:
        """Zones whose servers get nothing."""
        found = (item for key, item in self.seen.items() if key.startswith(ZONE))
        return frozenset(item.key[len(ZONE) :] for item in found if item.blob == b"1")
