"""One door's core: beats, the operator's word, duties and news.  Messages and times in, messages and deeds out."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from comb.copies import NEVER, WORD, Copies, Item, voices_needed
from comb.word import digest, number_of
from nectar.counter import Counter
from nectar.credits import Granted, Lapsed
from queenless.beats import NEAR_BEAT, Beats
from queenless.deeds import Changed, Danced, Deed, Mark, Message, Poll, Send
from queenless.herald import Herald
from queenless.orders import Copy, Order, Orders
from swarm.duties import Duties
from swarm.peers import About, Peers
from swarm.rendezvous import shard
from waggle.news import Server

LIST = 0  # the duty of asking the platform
SHARDS = 8  # of tenants; fixed, as two doors that differ in it would both own a tenant
POLL = 0.5  # seconds between looks at the platform's list
BARE = 0.15  # seconds without any table, as none else has one, after which a core door asks for itself
ASK_AGAIN = 0.3  # seconds until what was asked for is asked for again, of another door
QUIET = 1.5  # seconds without a new core door, at the first start, before the core counts as known


@dataclass(slots=True)
class Start:
    """What a door knows at its start."""

    about: About
    seeds: list[str]
    first: bool  # the whole system starts for the first time
    kept: list[Item] = field(default_factory=list)
    voice: bool = False  # a mark on disk says so
    core: list[list[Any]] = field(default_factory=list)  # as a mark on disk says
    doors: int = 0  # the most there were, as a mark on disk says


class Core:
    """`limit` gives a tenant's limit for one window, as the configuration at hand has it."""

    def __init__(self, now: float, start: Start, window: float, limit: Callable[[str], float]) -> None:
        self.me, self.seeds, self.first, self.began = start.about, start.seeds, start.first, now
        self.peers = Peers(start.about, now)
        self.copies = Copies(start.about.disk, start.kept)
        self.voice = start.about.disk and (start.first or start.voice)
        self.marked = start.voice
        self.told_core = bool(start.core)  # who the core is was on disk, or a voice of it has told
        for row in start.core:
            self.peers.meet(now - QUIET, About(*row))
        self.peers.most_doors = self.marked_doors = start.doors
        self.orders = Orders(self.peers, self.copies)
        self.duties = Duties(self.peers, now, start.first, SHARDS + 1)
        self.counter, self.limit = Counter(window), limit
        self.herald = Herald(self.peers)
        self.news = self.herald.news
        self.beats = Beats(self.peers, self.copies, self.duties, self.news, now)
        self.ready = False
        self.polled_at, self.polling = -1e9, False
        self.asked: dict[str, tuple[float, int]] = {}  # what was asked for, when, and how often
        self.owed: dict[str, list[tuple[str, Item]]] = {}  # who waits for an item to be on this disk
        self.deeds: list[Deed] = []

    # --- what others of this process ask ---------------------------------------------------------------

    def settled(self, now: float) -> bool:
        """Whether the core is known; at the first start doors with a disk are still being met."""
        return self.told_core or (self.first and now - max(self.peers.grown_at, self.began) > QUIET)

    def fresh_at(self, now: float) -> float:
        """Every change acknowledged up to then is seen here."""
        times = sorted(self.peers.voices(self.copies.stamps()), reverse=True)
        if self.voice:
            times.insert(0, now)
        needed = voices_needed(len(self.peers.core))
        return times[needed - 1] if len(times) >= needed and self.copies.seen else -1e9

    def put(self, now: float, token: int, body: bytes) -> list[Deed]:
        """An operator's configuration that `comb.check` has let pass."""
        number = number_of(json.loads(body)["versionNumber"])
        item = Item(WORD, (number, digest(body)), zlib.compress(body, 6))
        return self.order(now, Order(token, now, wanted=item))

    def evacuate(self, now: float, token: int, zone: str, closed: bool) -> list[Deed]:
        return self.order(now, Order(token, now, zone=zone, closed=closed))

    def read(self, now: float, token: int) -> list[Deed]:
        return self.order(now, Order(token, now))

    def order(self, now: float, order: Order) -> list[Deed]:
        self.deeds = []
        self.orders.begin(order)
        for ip in self.peers.others():
            self.beat(now, ip)
        self.advance(now)
        return self.deeds

    # --- time -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Deed]:
        self.deeds = []
        self.deeds += self.copies.unsaved()
        enough = now - self.fresh_at(now) < 2 * NEAR_BEAT
        before = self.duties.asking
        anew = self.duties.asks(now, self.settled(now)) != before
        for ip in self.peers.others():
            if anew or self.beats.due(now, ip, enough):
                self.beat(now, ip)
        heard = any(self.peers.alive(now, ip) for ip in self.peers.others())
        if not heard or (self.first and not self.settled(now)):
            for ip in self.seeds:
                known = ip == self.me.ip or ip in self.peers.core
                if not known and now - self.beats.sent_at(ip) >= NEAR_BEAT - 0.01:
                    self.beat(now, ip)
        self.duties_on(now)
        if self.me.disk:
            self.peers.note(now, self.me, self.ready)
            self.peers.make_roster(now)
            self.counter.sweep(now)
        self.mend(now)
        self.speak_up()
        self.advance(now)
        return self.deeds

    def beat(self, now: float, ip: str) -> None:
        wants = self.duties.asks(now, self.settled(now))
        self.deeds.append(Send(ip, self.beats.beat(now, ip, self.ready and not self.duties.left, wants)))

    def speak_up(self) -> None:
        """An empty disk's voice counts once it holds all that enough voices have told."""
        if not self.me.disk:
            return
        if not self.voice and len(self.peers.core) > 1:
            needed = voices_needed(len(self.peers.core))
            self.voice = self.peers.told(self.began, self.copies.kept) >= needed
        if self.peers.most_doors > self.marked_doors:
            self.marked_doors = self.peers.most_doors
            self.deeds.append(Mark("doors", str(self.marked_doors).encode()))
        if self.voice and not self.marked:
            self.marked = True
            self.deeds.append(Mark("voice", b"1"))

    def advance(self, now: float) -> None:
        if not self.orders.open:
            return
        for action in self.orders.step(now, self.voice, self.settled(now)):
            if isinstance(action, Copy):
                self.deeds.append(Send(action.to, {"k": "keep", "i": self.pack(action.item)}))
            else:
                self.deeds.append(action)
        for order in self.orders.open.values():
            if order.target is not None and self.me.disk:
                self.take(order.target, elsewhere=False)

    def mend(self, now: float) -> None:
        """Ask for what others told of and this door lacks."""
        for ip in self.peers.core:
            peer = self.peers.peers.get(ip)
            if peer is None or ip == self.me.ip:
                continue
            for key, stamp in peer.stamps.items():
                if stamp > self.copies.stamp(key):
                    self.ask(now, key, stamp)
            for service in self.news.newer(peer.news):
                self.ask_news(now, service, peer.news[service])

    def ask(self, now: float, key: str, stamp: tuple[int, bytes]) -> None:
        if key == WORD and self.copies.saving.get(key, NEVER) >= stamp and self.me.disk:
            return  # it is on its way to this disk
        has = self.peers.others_where(lambda peer: peer.stamps.get(key, NEVER) >= stamp)
        self.ask_one(now, f"item {key}", has, {"k": "want", "i": key})

    def ask_news(self, now: float, service: str, version: int) -> None:
        has = self.peers.others_where(lambda peer: peer.news.get(service, 0) >= version)
        self.ask_one(now, f"news {service}", has, {"k": "want", "s": service})

    def ask_one(self, now: float, what: str, have: list[str], message: Message) -> None:
        """Ask the nearest that has it; one that did not answer in time, and the next one, in turn."""
        at, times = self.asked.get(what, (-1e9, 0))
        if have and now - at >= ASK_AGAIN:
            alive = [ip for ip in have if self.peers.alive(now, ip)] or have
            self.deeds.append(Send(alive[times % len(alive)], message))
            self.asked[what] = (now, times + 1)

    # --- duties ------------------------------------------------------------------------------------------

    def duties_on(self, now: float) -> None:
        """Renew what this door holds, take what nobody does, and do the first of them: ask the platform."""
        if not self.me.disk:
            return
        if self.settled(now):
            self.duties.recall(now)
            self.duties.renew(now)
        young = now - self.began <= BARE and self.duties.until(LIST) <= now
        if self.may_list(now) and not young and not self.polling and now - self.polled_at >= POLL:
            self.polling, self.polled_at = True, now
            self.deeds.append(Poll())

    def may_list(self, now: float) -> bool:
        """Whether the platform's list is this door's to read: by its duty, or for want of any table."""
        return self.duties.until(LIST) > now or not self.news.tables

    def drain(self, now: float) -> list[Deed]:
        """This door leaves in order: its duties go to others at once."""
        self.deeds = []
        message = {"k": "free", "a": self.me.row(), "d": self.duties.leave(now)}
        self.deeds += [Send(ip, message) for ip in self.peers.others()]
        return self.deeds

    # --- news of servers ----------------------------------------------------------------------------------

    def listed(self, now: float, wall_ms: int, found: dict[str, dict[str, Server]] | None) -> list[Deed]:
        """The platform's list, or that it could not be read."""
        self.polling = False
        if found is None or not self.may_list(now):
            return []
        return self.herald.listed(now, wall_ms, found)

    def dance(self, now: float, outs: dict[str, int]) -> list[Deed]:
        """Tell others where this door's requests are."""
        return self.herald.dance(now, outs)

    # --- quotas -----------------------------------------------------------------------------------------------

    def lease(self, now: float, tenant: str, number: int, units: float) -> list[Deed]:
        """A call of this door to the counter of a tenant."""
        self.deeds = []
        holder = self.duties.holder(now, self.counter_of(tenant))
        if holder is not None and holder != self.me.ip:
            self.deeds.append(Send(holder, {"k": "lease", "n": tenant, "q": number, "u": int(units)}))
        elif (granted := self.count(now, tenant, number, units)) is None:
            self.deeds.append(Lapsed(tenant))
        elif units > 0:
            self.deeds.append(granted)
        return self.deeds

    @staticmethod
    def counter_of(tenant: str) -> int:
        """The duty that a tenant's counter belongs to."""
        return 1 + shard(tenant, SHARDS)

    def count(self, now: float, tenant: str, number: int, units: float) -> Granted | None:
        """Add to a counter of this door; nothing where it is not this door's."""
        until = self.duties.until(self.counter_of(tenant))
        if until <= now:
            return None
        return Granted(tenant, number, *self.counter.lease(now, until, tenant, units, self.limit(tenant)))

    # --- messages -----------------------------------------------------------------------------------------

    def heard(self, now: float, source: str, message: Message) -> list[Deed]:
        """A message from another door; one that is malformed raises, and changes at most soft state."""
        self.deeds = []
        match message["k"]:
            case "beat":
                self.on_beat(now, source, message)
            case "echo":
                self.on_echo(now, source, message)
            case "keep":
                self.on_keep(source, self.unpack(message["i"]))
            case "kept":
                peer = self.peers.peers.get(source)
                if peer is not None:
                    key, stamp = message["i"], (message["n"][0], message["n"][1])
                    peer.stamps[key] = max(stamp, peer.stamps.get(key, NEVER))
            case "want":
                self.on_want(now, source, message)
            case "item":
                self.take(self.unpack(message["i"]), elsewhere=True)
                self.asked.pop(f"item {message['i'][0]}", None)
            case "news":
                self.deeds += self.herald.take(now, message["n"])
                self.asked.pop(f"news {message['n'][0]}", None)
            case "free":
                about = About(*message["a"])
                self.duties.freed((about.ip, about.life), message["d"])
            case "dance":
                return [Danced(source, message["o"])]
            case "lease":
                self.on_lease(now, source, message)
            case "grant":
                left, filled = message["l"] / 1000, message["f"] / 100
                self.deeds.append(Granted(message["n"], message["q"], message["u"], left, filled))
            case "lost":
                self.deeds.append(Lapsed(message["n"]))
        self.mend(now)
        self.speak_up()
        self.advance(now)
        return self.deeds

    def on_beat(self, now: float, source: str, message: Message) -> None:
        about = self.beats.who(source, message)
        if about is not None:
            if self.peers.stale(now, about):
                return
            self.meet(now, about)
            self.peers.note(now, about, message["r"])
        self.deeds.append(Send(source, self.beats.answer(now, about, message, self.voice)))

    def on_echo(self, now: float, source: str, message: Message) -> None:
        about = self.beats.who(source, message)
        if about is None:  # a new life that is not known yet
            if (peer := self.peers.peers.get(source)) is not None:
                peer.knows_me = False
            return
        if self.peers.stale(now, about) or message["t"] < self.began:
            return
        self.meet(now, about)
        if not self.beats.take(now, about, message).knows_me:
            self.beat(now, source)
        for row in message.get("c", ()):
            self.meet(now, About(*row))
        if message["v"] and not self.first:
            self.told_core = True

    def meet(self, now: float, about: About) -> None:
        if self.peers.meet(now, about) and self.me.disk:
            rows = [member.row() for member in self.peers.core.values()]
            self.deeds.append(Mark("core", json.dumps(rows).encode()))

    def on_want(self, now: float, source: str, message: Message) -> None:
        if "i" in message:
            item = self.copies.seen.get(message["i"])
            if item is not None and (not self.me.disk or self.copies.kept.get(item.key, NEVER) >= item.stamp):
                self.deeds.append(Send(source, {"k": "item", "i": self.pack(item)}))
        elif message["s"] in self.news.tables:
            self.deeds.append(Send(source, {"k": "news", "n": self.news.pack(now, message["s"])}))

    def on_lease(self, now: float, source: str, message: Message) -> None:
        granted = self.count(now, message["n"], message["q"], message["u"])
        if granted is None:
            self.deeds.append(Send(source, {"k": "lost", "n": message["n"]}))
        elif message["u"] > 0:
            answer = {
                "k": "grant",
                "n": granted.tenant,
                "q": granted.number,
                "u": int(granted.units),
                "l": int(1000 * granted.left),
                "f": int(100 * granted.filled),
            }
            self.deeds.append(Send(source, answer))

    # --- copies -----------------------------------------------------------------------------------------

    def on_keep(self, source: str, item: Item) -> None:
        if self.copies.kept.get(item.key, NEVER) >= item.stamp:
            self.tell_kept(source, item.key)
            return
        self.owed.setdefault(item.key, []).append((source, item))
        del self.owed[item.key][:-16]
        self.take(item, elsewhere=False)

    def tell_kept(self, to: str, key: str) -> None:
        self.deeds.append(Send(to, {"k": "kept", "i": key, "n": list(self.copies.kept[key])}))

    def take(self, item: Item, elsewhere: bool) -> None:
        new, save = self.copies.offer(item, elsewhere)
        if save is not None:
            self.deeds.append(save)
        if new:
            self.deeds.append(Changed(item.key))

    def saved(self, now: float, item: Item, good: bool) -> list[Deed]:
        """A save has ended."""
        self.deeds = []
        if self.copies.saved(item, good):
            self.deeds.append(Changed(item.key))
        if good:
            waiting = self.owed.pop(item.key, [])
            for source, wanted in waiting:
                if self.copies.kept[item.key] >= wanted.stamp:
                    self.tell_kept(source, item.key)
                else:
                    self.owed.setdefault(item.key, []).append((source, wanted))
        self.advance(now)
        return self.deeds

    @staticmethod
    def pack(item: Item) -> list[Any]:
        return [item.key, item.stamp[0], item.stamp[1], item.blob]

    @staticmethod
    def unpack(row: Iterable[Any]) -> Item:
        key, number, tie, blob = row
        return Item(key, (number, tie), blob)
