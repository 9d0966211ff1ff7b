"""Operator's orders under way at one door: first a look at enough voices, then enough copies."""

from __future__ import annotations

from dataclasses import dataclass, field

from comb.copies import NEVER, WORD, ZONE, Copies, Item, copies_needed, voices_needed
from swarm.peers import Peers

AGAIN = 0.25  # seconds between sendings to a disk that has not answered
WAIT = 3.0  # seconds for an order; its sender moves on sooner, and sends it to any door again


@dataclass(slots=True)
class Order:
    """An order: `wanted` is a configuration; or a zone and whether it is closed; or nothing, to read."""

    token: int
    began: float
    wanted: Item | None = None
    zone: str = ""
    closed: bool = False
    target: Item | None = None
    sent: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Done:
    """How an order ended: `item` is what was read, `target` what is on enough disks."""

    token: int
    good: bool
    why: str = ""
    item: Item | None = None
    target: Item | None = None


@dataclass(slots=True, frozen=True)
class Copy:
    """An item to be put on another door's disk."""

    to: str
    item: Item


class Orders:
    def __init__(self, peers: Peers, copies: Copies) -> None:
        self.peers, self.copies = peers, copies
        self.open: dict[int, Order] = {}

    def begin(self, order: Order) -> None:
        self.open[order.token] = order

    def voices(self, since: float, voice: bool) -> int:
        return self.peers.told(since, self.copies.stamps()) + voice

    def step(self, now: float, voice: bool, settled: bool) -> list[Done | Copy]:
        """Bring every order on as far as it goes; `voice`: this door's own counts."""
        actions: list[Done | Copy] = []
        core = len(self.peers.core)
        for order in list(self.open.values()):
            if order.target is None and settled and self.voices(order.began, voice) >= voices_needed(core):
                self.aim(order)
                if order.wanted is None and not order.zone:
                    found = self.copies.seen.get(WORD)
                    why = "" if found is not None else "look: no configuration was ever acknowledged"
                    actions.append(self.end(order, Done(order.token, found is not None, why, item=found)))
                    continue
            if order.target is not None and self.copied(order) >= copies_needed(core):
                actions.append(self.end(order, Done(order.token, True, target=order.target)))
            elif now - order.began > WAIT:
                have, need = self.copied(order), copies_needed(core)
                step = f"copy: {have} of {need} disks" if order.target else "look: too few voices"
                actions.append(self.end(order, Done(order.token, False, step)))
            elif order.target is not None:
                actions += self.spread(now, order)
        return actions

    def end(self, order: Order, done: Done) -> Done:
        del self.open[order.token]
        return done

    def aim(self, order: Order) -> None:
        """What is to be on enough disks: the order, or what has overtaken it."""
        if order.wanted is not None:
            held = self.copies.seen.get(WORD)
            order.target = (
                held if held is not None and held.stamp[0] >= order.wanted.stamp[0] else order.wanted
            )
        elif order.zone:
            name = ZONE + order.zone
            held, blob = self.copies.seen.get(name), b"1" if order.closed else b"0"
            if held is not None and held.blob == blob:
                order.target = held
            else:
                number = max(0, self.copies.stamp(name)[0]) + 1
                order.target = Item(name, (number, self.peers.me.life.to_bytes(8, "big")), blob)

    def copied(self, order: Order) -> int:
        """Disks that are known to hold the target or what came after it."""
        if order.target is None:
            return 0
        key, stamp = order.target.key, order.target.stamp
        own = self.copies.disk and self.copies.kept.get(key, NEVER) >= stamp
        others = [self.peers.peers[ip] for ip in self.peers.core if ip in self.peers.peers]
        return own + sum(peer.stamps.get(key, NEVER) >= stamp for peer in others)

    def spread(self, now: float, order: Order) -> list[Copy]:
        assert order.target is not None
        found = []
        for ip in self.peers.core:
            peer = self.peers.peers.get(ip)
            lacks = peer is None or peer.stamps.get(order.target.key, NEVER) < order.target.stamp
            if ip != self.peers.me.ip and lacks and now - order.sent.get(ip, -1e9) >= AGAIN:
                order.sent[ip] = now
                found.append(Copy(ip, order.target))
        return found
