"""Many doors' cores on simulated time: links that delay, drop and cut one way, disks that lose what was not synced.

What must always hold is looked at with every tick: see `World.watch`.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from comb.copies import NEVER, WORD, Item, Save
from comb.word import Stamp
from nectar.bounds import QuotaRule
from nectar.credits import Granted, Lapsed
from queenless.core import LIST, Core, Start
from queenless.deeds import Changed, Danced, Deed, Mark, Message, Poll, Send
from queenless.orders import Done
from swarm.peers import About
from waggle.news import Server

TICK, SYNC, REVOCATION = 0.05, 0.002, 5.0
STALE = 0.9  # as hive.door has it


@dataclass
class Disk:
    """What survives: items and marks that were synced; each write under way survives or not, by lot."""

    items: dict[str, Item] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)
    under_way: list[Item] = field(default_factory=list)
    sync: float = SYNC
    full: bool = False


@dataclass
class Door:
    about: About
    disk: Disk | None
    core: Core | None = None
    lives: int = 0
    seen: dict[str, Stamp] = field(default_factory=dict)  # in this life
    heard: list[Deed] = field(default_factory=list)


@dataclass
class Ack:
    at: float
    key: str
    stamp: Stamp


class World:
    def __init__(self, core: int, others: int, seed: int = 1, drop: float = 0.0, zones: int = 4) -> None:
        self.random, self.drop, self.now = random.Random(seed), drop, 100.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.doors: dict[str, Door] = {}
        self.cut: set[tuple[str, str]] = set()
        self.acks: list[Ack] = []
        self.results: dict[int, Done] = {}
        self.tokens = itertools.count(1)
        self.listing: dict[str, dict[str, Server]] | None = {
            "shop": {"i-1": Server("i-1", "s:1", "z0", True, 2, "v1")}
        }
        self.breaches: list[str] = []
        for n in range(core + others):
            zone = n % zones
            about = About(f"d{n + 1}", f"z{zone}", "east" if zone % 2 else "west", n < core, 0)
            self.doors[about.ip] = Door(about, Disk() if n < core else None)
        for name in self.doors:
            self.start(name, first=True)

    # --- time -------------------------------------------------------------------------------------------

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.order), what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = end

    # --- lives of doors -----------------------------------------------------------------------------------

    def start(self, name: str, first: bool = False) -> None:
        door = self.doors[name]
        door.lives += 1
        door.about = About(name, door.about.zone, door.about.region, door.disk is not None, door.lives)
        start = Start(door.about, ["d1", "d2", "d3"], first)
        if door.disk is not None:
            start.kept, start.voice = list(door.disk.items.values()), "voice" in door.disk.marks
            start.core = json.loads(door.disk.marks.get("core", b"[]"))
            start.doors = int(door.disk.marks.get("doors", b"0"))
        rule = QuotaRule()
        door.core = core = Core(self.now, start, rule.window, lambda tenant: 30.0)
        core.ready, door.seen = True, {key: item.stamp for key, item in core.copies.seen.items()}
        self.tick(name, core)

    def kill(self, name: str) -> None:
        door = self.doors[name]
        door.core = None
        if door.disk is not None:
            for item in door.disk.under_way:
                if self.random.random() < 0.5:
                    self.keep(door.disk, item)
            door.disk.under_way = []

    def wipe(self, name: str) -> None:
        self.kill(name)
        if self.doors[name].disk is not None:
            self.doors[name].disk = Disk()

    @staticmethod
    def keep(disk: Disk, item: Item) -> None:
        old = disk.items.get(item.key)
        if old is None or old.stamp < item.stamp:
            disk.items[item.key] = item

    def up(self) -> list[str]:
        return [name for name, door in self.doors.items() if door.core is not None]

    def tick(self, name: str, core: Core) -> None:
        if self.doors[name].core is not core:
            return
        self.deeds(name, core.tick(self.now))
        self.watch(name, core)
        self.at(self.now + TICK, lambda: self.tick(name, core))

    # --- deeds ---------------------------------------------------------------------------------------------

    def deeds(self, name: str, deeds: list[Deed]) -> None:
        door, core = self.doors[name], self.doors[name].core
        assert core is not None
        for deed in deeds:
            match deed:
                case Send():
                    self.send(name, deed.to, deed.message)
                case Save():
                    self.save(door, core, deed.item)
                case Mark():
                    assert door.disk is not None
                    door.disk.marks[deed.name] = deed.body
                case Poll():
                    self.deeds(name, core.listed(self.now, int(self.now * 1000), self.listing))
                case Changed():
                    if not deed.what.startswith("service:"):
                        self.saw(name, deed.what, core.copies.stamp(deed.what))
                case Done():
                    self.done(deed)
                case Granted() | Lapsed() | Danced():
                    door.heard.append(deed)

    def send(self, source: str, to: str, message: Message) -> None:
        if to not in self.doors or self.random.random() < self.drop:
            return
        here, there = self.doors[source].about, self.doors[to].about
        delay = 0.02 if here.region != there.region else 0.001
        delay *= 1 + self.random.random() * 0.2

        def arrive() -> None:
            core = self.doors[to].core
            if core is not None and (source, to) not in self.cut:
                self.deeds(to, core.heard(self.now, source, message))

        self.at(self.now + delay, arrive)

    def save(self, door: Door, core: Core, item: Item) -> None:
        disk = door.disk
        assert disk is not None
        disk.under_way.append(item)

        def synced() -> None:
            if door.core is not core:
                return  # it died meanwhile
            disk.under_way.remove(item)
            if not disk.full:
                self.keep(disk, item)
            self.deeds(door.about.ip, core.saved(self.now, item, not disk.full))

        self.at(self.now + disk.sync, synced)

    # --- the operator ---------------------------------------------------------------------------------------

    def put(self, name: str, number: int, mark: str = "") -> int:
        body = json.dumps({"versionNumber": f"r{number}", "mark": mark}).encode()
        core, token = self.doors[name].core, next(self.tokens)
        if core is not None:
            self.deeds(name, core.put(self.now, token, body))
        return token

    def evacuate(self, name: str, zone: str, closed: bool) -> int:
        core, token = self.doors[name].core, next(self.tokens)
        if core is not None:
            self.deeds(name, core.evacuate(self.now, token, zone, closed))
        return token

    def read(self, name: str) -> int:
        core, token = self.doors[name].core, next(self.tokens)
        if core is not None:
            self.deeds(name, core.read(self.now, token))
        return token

    def done(self, done: Done) -> None:
        self.results[done.token] = done
        if done.good and done.item is None and done.target is not None:
            self.acks.append(Ack(self.now, done.target.key, done.target.stamp))

    @staticmethod
    def number_in(item: Item) -> int:
        return int(json.loads(zlib.decompress(item.blob))["versionNumber"][1:])

    # --- what must always hold ----------------------------------------------------------------------------------

    def saw(self, name: str, key: str, stamp: Stamp) -> None:
        """No door goes back within one life."""
        seen = self.doors[name].seen
        if stamp < seen.get(key, NEVER):
            self.breaches.append(f"{self.now:.2f} {name} went back on {key}: {stamp[0]} after {seen[key][0]}")
        seen[key] = stamp

    def newest(self, key: str, before: float = 1e9) -> Stamp:
        return max((ack.stamp for ack in self.acks if ack.key == key and ack.at <= before), default=NEVER)

    def fresh(self, name: str) -> bool:
        core = self.doors[name].core
        return core is not None and self.now <= core.fresh_at(self.now) + STALE * REVOCATION

    def watch(self, name: str, core: Core) -> None:
        """A door that lets keyed requests in sees all that was acknowledged a revocation's time ago, and a duty
        has one holder."""
        if self.fresh(name) and core.copies.stamp(WORD) < self.newest(WORD, self.now - REVOCATION):
            self.breaches.append(f"{self.now:.2f} {name} lets in by an old configuration")
        for duty in (LIST, 1, 2):
            holding = [d for d in self.up() if self.holds(d, duty)]
            if len(holding) > 1:
                self.breaches.append(f"{self.now:.2f} duty {duty} is held by {holding}")

    def holds(self, name: str, duty: int) -> bool:
        core: Any = self.doors[name].core
        return core is not None and core.duties.until(duty) > self.now
