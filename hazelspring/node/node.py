"""One door's core: beats, the control state, duties and news.  Messages and times in, messages and deeds out."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import cbor2

from hazelspring.configuration.blocks import pack
from hazelspring.configuration.incremental import Checked
from hazelspring.configuration.model import digest, number_of
from hazelspring.consensus.control_state import Member, lineage
from hazelspring.consensus.proposal import Order
from hazelspring.leases.singleton_roles import Duties, Who
from hazelspring.membership.peer_table import TERM, About, Peers
from hazelspring.membership.rendezvous import shard
from hazelspring.node.actions import AGREEMENT, Danced, Deed, Message, Poll, Send
from hazelspring.node.control_replica import ASK_AGAIN, Control
from hazelspring.node.dissemination import Disseminator
from hazelspring.node.heartbeats import FAR_BEAT, NEAR_BEAT, Beats
from hazelspring.node.invariants import InvariantBounds, Invariants
from hazelspring.node.load_reporter import LEASE
from hazelspring.node.messages import DutiesDeclined, DutiesFreed, TableNews, TableRequest
from hazelspring.quota.counter import Counter
from hazelspring.quota.credits import Granted, Lapsed
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.list_reader_role import LIST, ListDuty, ListTiming
from hazelspring.registry.tables import ServerEntry

SHARDS = 8  # of tenants; fixed, as two doors that differ in it would both own a tenant
BARE = 0.15  # seconds without any table, as none else has one, after which a core door asks for itself
DOORS = "mark doors"  # the record of how many doors there ever were


@dataclass(slots=True)
class Start:
    """What a door knows at its start.  The number of its disk in `about` is that of an empty one: what the records
    say goes before it."""

    about: About
    seeds: list[str]
    first: bool  # the whole system starts for the first time
    records: dict[str, bytes] = field(default_factory=dict)  # what is on disk
    link: float = math.inf  # bytes a second of this machine's own
    bounds: InvariantBounds = field(default_factory=InvariantBounds)


class Core:
    """`limit` gives a tenant's limit for one window, as the configuration at hand has it."""

    def __init__(self, now: float, start: Start, window: float, limit: Callable[[str], float]) -> None:
        me = start.about
        if me.disk and "disk" in start.records:
            me = replace(me, disk=cbor2.loads(start.records["disk"])[0])
        self.me, self.seeds, self.first, self.began = me, start.seeds, start.first, now
        self.peers = Peers(me, now)
        self.control = Control(now, self.peers, start.records, start.first, start.seeds)
        self.peers.most_doors = self.marked_doors = int(start.records.get(DOORS, b"0"))
        self.duties = Duties(self.peers, now, start.first, SHARDS + 1)
        self.counter, self.limit = Counter(window), limit
        self.disseminator = Disseminator(self.peers, start.link)
        self.registry = self.disseminator.registry
        self.freshness = ListFreshness(now)
        self.beats = Beats(self.peers, self.control, self.duties, self.registry, self.freshness, now)
        self.ready = False
        self.list_duty = ListDuty(self.duties, ListTiming.within(start.bounds.drain_cutoff))
        self.invariants = Invariants(
            now, start.bounds, self.peers, self.beats, self.list_duty, self.freshness
        )
        # of each member, the versions of tables that it told and those known here when none of its was newer
        self.level: dict[str, tuple[dict[str, int], dict[str, int]]] = {}
        self.asked: dict[str, tuple[float, int]] = {}  # what was asked for, when, and how often
        self.was_seated = self.control.seated()
        self.members = self.control.state.members if self.control.state is not None else ()
        self.dropped: dict[str, int] = {}  # messages of or to another life, by kind
        self.deeds: list[Deed] = []

    # --- what others of this process ask ---------------------------------------------------------------

    def settled(self) -> bool:
        """Whether the core is agreed on, as far as this door knows."""
        return self.control.state is not None

    def fresh_at(self, now: float) -> float:
        """Every change acknowledged up to then is seen here."""
        return self.control.fresh_at(now)

    def put(self, now: float, token: int, body: bytes, checked: Checked | None = None) -> list[Deed]:
        """An operator's configuration that `hazelspring.configuration.validation` has let pass."""
        if checked is None:
            number = number_of(json.loads(body)["versionNumber"])
            checked = Checked(number, pack(body, self.control.register.word()))
        order = Order(token, now, "put", number=checked.number, digest=digest(body), word=checked.packed)
        return self.order(now, order)

    def evacuate(self, now: float, token: int, zone: str, closed: bool) -> list[Deed]:
        return self.order(now, Order(token, now, "evacuate", zone=zone, closed=closed))

    def retire(self, now: float, token: int, ip: str) -> list[Deed]:
        """An operator takes a member out of the core for good."""
        return self.order(now, Order(token, now, "retire", member=Member(ip), by_hand=True))

    def read(self, now: float, token: int) -> list[Deed]:
        return self.order(now, Order(token, now, "read"))

    def order(self, now: float, order: Order) -> list[Deed]:
        self.deeds = []
        wants = self.wants(now)
        for ip in self.peers.others():
            self.beat(now, ip, wants)
        self.deeds += self.control.begin(now, order)
        self.look(now)
        return self.deeds

    # --- time -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Deed]:
        self.deeds = []
        enough = now - self.fresh_at(now) < 2 * NEAR_BEAT
        before = self.duties.asking
        wants = self.wants(now)  # one look for all that this tick sends and renews
        anew = wants != before
        for ip in self.peers.others():
            if anew or self.beats.due(now, ip, enough):
                self.beat(now, ip, wants)
        heard = any(self.peers.alive(now, ip) for ip in self.peers.others())
        lost = not heard or (self.first and not self.settled())
        rescued = lineage(self.control.register.version) > 0  # others may not know of it
        if lost or rescued:
            for ip in self.seeds:
                known = ip == self.me.ip or ip in self.peers.core
                if not known and now - self.beats.sent_at(ip) >= (NEAR_BEAT if lost else FAR_BEAT) - 0.01:
                    self.beat(now, ip, wants)
        self.duties_on(now)
        if self.member():
            self.peers.note(now, self.me, self.ready)
            self.peers.make_roster(now)
            self.counter.sweep(now)
        self.mend(now)
        if self.me.disk and self.peers.most_doors > self.marked_doors:
            self.marked_doors = self.peers.most_doors
            self.control.mark(DOORS, str(self.marked_doors).encode())
        self.deeds += self.control.tick(now)
        self.look(now)
        self.deeds += self.invariants.look(now)
        return self.deeds

    def member(self) -> bool:
        """Whether this door is one of the core, or may become one of the first."""
        return bool(self.me.disk) and (self.control.seated() or not self.peers.seated)

    def look(self, now: float) -> None:
        """See whether this door's seat has changed: one that is new promises nothing for a term."""
        seated, state = self.control.seated(), self.control.state
        if state is not None and state.members != self.members:
            if self.members:
                follows = state.before == self.members
                self.duties.moved(now, follows, len(self.members), len(state.members))
            self.members = state.members
        if seated and not self.was_seated and not self.first:
            self.duties.granter.silent_until = max(self.duties.granter.silent_until, now + TERM)
        self.was_seated = seated

    def wants(self, now: float) -> list[int]:
        """The duties that beats which go out now ask for."""
        return self.duties.asks(now, self.settled() and self.member())

    def beat(self, now: float, ip: str, wants: list[int] | None = None) -> None:
        """`wants`: the duties to ask for, where they are known for this moment."""
        wants = self.wants(now) if wants is None else wants
        self.deeds.append(Send(ip, self.beats.beat(now, ip, self.ready and not self.duties.left, wants)))

    def mend(self, now: float) -> None:
        """Ask for news of servers that others told of and this door lacks."""
        for ip in self.peers.core:
            peer = self.peers.peers.get(ip)
            if peer is None or ip == self.me.ip:
                continue
            told, known = self.level.get(ip, (None, None))
            if told is not peer.table_versions or known is not self.registry.versions():
                newer = self.registry.outdated(peer.table_versions)
                for service in newer:
                    self.ask_news(now, service, peer.table_versions[service])
                if newer:
                    continue
                self.level[ip] = (peer.table_versions, self.registry.versions())
            self.freshness.confirm(peer.list_read_at)  # what it knows is known here

    def ask_news(self, now: float, service: str, version: int) -> None:
        if not self.may_ask(now, f"news {service}"):
            return
        has = self.peers.others_where(lambda peer: peer.table_versions.get(service, 0) >= version)
        self.ask_one(now, f"news {service}", has, TableRequest(service).encode())

    def may_ask(self, now: float, what: str) -> bool:
        """Whether what was asked for last has had its time."""
        return now - self.asked.get(what, (-1e9, 0))[0] >= ASK_AGAIN

    def ask_one(self, now: float, what: str, have: list[str], message: Message) -> None:
        """Ask the nearest that has it; one that did not answer in time, and the next one, in turn."""
        _, times = self.asked.get(what, (-1e9, 0))
        if have and self.may_ask(now, what):
            alive = [ip for ip in have if self.peers.alive(now, ip)] or have
            self.deeds.append(Send(alive[times % len(alive)], message))
            self.asked[what] = (now, times + 1)

    # --- duties ------------------------------------------------------------------------------------------

    def duties_on(self, now: float) -> None:
        """Renew what this door holds, take what nobody does, and do the first of them: ask the platform."""
        if not self.member():
            return
        if self.settled():
            self.duties.recall(now)
            if self.beats.may_grant(self.peers.core_sum()):  # to itself, as to others
                self.duties.renew(now)
        if self.list_duty.must_decline(now):
            self.decline(now, LIST)
        young = now - self.began <= BARE and not self.list_duty.holds(now)
        if self.may_list(now) and not young and (number := self.list_duty.begin(now)) is not None:
            self.deeds.append(Poll(number))

    def decline(self, now: float, duty: int) -> None:
        """Leave a duty that this door can't do to another one, at once."""
        self.duties.decline(now, duty)
        message = DutiesDeclined(self.me, [duty]).encode()
        self.deeds += [Send(ip, message) for ip in self.peers.others()]

    def may_list(self, now: float) -> bool:
        """Whether the platform's list is this door's to read: by its duty, or for want of any table."""
        return self.list_duty.holds(now) or not self.registry.tables

    def drain(self, now: float) -> list[Deed]:
        """This door leaves in order: its duties go to others at once."""
        self.deeds = []
        self.control.members.leaving = True
        message = DutiesFreed(self.me, self.duties.leave(now)).encode()
        self.deeds += [Send(ip, message) for ip in self.peers.others()]
        return self.deeds

    # --- news of servers ----------------------------------------------------------------------------------

    def listed(
        self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]] | None, number: int
    ) -> list[Deed]:
        """The platform's list as a read brought it, or None where it failed; `number`: which read."""
        newest = self.list_duty.end(number, found is not None)
        if found is None or not newest or not self.may_list(now):
            return []
        deeds = self.disseminator.listed(now, wall_ms, found)
        self.freshness.confirm(self.list_duty.read_at)
        return deeds

    # --- quotas -----------------------------------------------------------------------------------------------

    def lease(self, now: float, tenant: str, number: int, units: float) -> list[Deed]:
        """A call of this door to the counter of a tenant."""
        self.deeds = []
        holder = self.duties.holder(now, self.counter_of(tenant))
        if holder is not None and holder != self.me.ip:
            ask = {"k": "lease", "n": tenant, "q": number, "u": int(units), "y": self.me.life}
            self.deeds.append(Send(holder, ask))
            self.disseminator.teller.spend(LEASE)
        elif (granted := self.count(now, tenant, (self.me.ip, self.me.life), number, units)) is None:
            self.deeds.append(Lapsed(tenant))
        elif units > 0:
            self.deeds.append(granted)
        return self.deeds

    @staticmethod
    def counter_of(tenant: str) -> int:
        """The duty that a tenant's counter belongs to."""
        return 1 + shard(tenant, SHARDS)

    def count(self, now: float, tenant: str, caller: Who, number: int, units: float) -> Granted | None:
        """Add to a counter of this door; nothing where it is not this door's."""
        until = self.duties.until(self.counter_of(tenant))
        if until <= now:
            return None
        found = self.counter.lease(now, until, tenant, units, self.limit(tenant), caller, number)
        return Granted(tenant, number, *found)

    # --- messages -----------------------------------------------------------------------------------------

    def heard(self, now: float, source: str, message: Message) -> list[Deed]:
        """A message from another door; one that is malformed raises, and changes at most soft state."""
        self.deeds = []
        match message["k"]:
            case kind if kind in AGREEMENT:
                self.deeds += self.control.heard(now, source, message)
                self.look(now)
                return self.deeds
            case "beat":
                self.on_beat(now, source, message)
            case "echo":
                self.on_echo(now, source, message)
            case TableRequest.KIND:
                self.on_table_request(now, source, TableRequest.decode(message))
            case TableNews.KIND:
                self.on_table_news(now, TableNews.decode(message))
            case DutiesDeclined.KIND:
                declined = DutiesDeclined.decode(message)
                self.duties.declined_by(declined.member.who(), declined.duties)
            case DutiesFreed.KIND:
                freed = DutiesFreed.decode(message)
                self.duties.freed(freed.member.who(), freed.duties)
            case "dance":
                return [Danced(source, message["o"])]
            case "lease":
                self.on_lease(now, source, message)
            case "grant" | "lost" if message["y"] != self.me.life:
                self.drop(message["k"])  # for an earlier life, whose calls may have borne the same numbers
            case "grant":
                left, filled = message["l"] / 1000, message["f"] / 100
                self.deeds.append(Granted(message["n"], message["q"], message["u"], left, filled))
            case "lost":
                self.deeds.append(Lapsed(message["n"]))
        if "z" in message:  # it told of news; what is not answered in time is asked for again with a tick
            self.mend(now)
        self.deeds += self.control.proceed(now)
        self.look(now)
        return self.deeds

    def drop(self, kind: str) -> None:
        """Count a message that counts for nothing."""
        self.dropped[kind] = self.dropped.get(kind, 0) + 1

    def on_table_request(self, now: float, source: str, request: TableRequest) -> None:
        if request.service in self.registry.tables:
            news = TableNews(self.registry.encode(now, request.service))
            self.deeds.append(Send(source, news.encode()))

    def on_table_news(self, now: float, news: TableNews) -> None:
        self.deeds += self.disseminator.apply(now, news)
        self.asked.pop(f"news {news.service}", None)

    def on_beat(self, now: float, source: str, message: Message) -> None:
        about = self.beats.who(source, message)
        if about is not None:
            if self.peers.stale(now, about):
                return
            self.peers.meet(now, about)
            self.peers.note(now, about, message["r"])
        self.deeds.append(Send(source, self.beats.answer(now, about, message)))

    def on_echo(self, now: float, source: str, message: Message) -> None:
        about = self.beats.who(source, message)
        if about is None:  # a new life that is not known yet
            if (peer := self.peers.peers.get(source)) is not None:
                peer.knows_me = False
            return
        asked_at = self.beats.asked_at(message["t"])
        if self.peers.stale(now, about) or asked_at is None:
            self.drop("echo")  # of an earlier life, or to one
            return
        self.peers.meet(now, about)
        if not self.beats.take(now, about, message, asked_at).knows_me:
            self.beat(now, source)
        for row in message.get("c", ()):
            self.peers.meet(now, About(*row))

    def on_lease(self, now: float, source: str, message: Message) -> None:
        granted = self.count(now, message["n"], (source, message["y"]), message["q"], message["u"])
        if granted is None:
            self.deeds.append(Send(source, {"k": "lost", "n": message["n"], "y": message["y"]}))
        elif message["u"] > 0:
            answer = {
                "k": "grant",
                "y": message["y"],
                "n": granted.tenant,
                "q": granted.number,
                "u": int(granted.units),
                "l": int(1000 * granted.left),
                "f": int(100 * granted.filled),
            }
            self.deeds.append(Send(source, answer))

    # --- the disk -----------------------------------------------------------------------------------------

    def saved(self, now: float, serial: int, good: bool) -> list[Deed]:
        """A save has ended."""
        self.deeds = self.control.saved(now, serial, good)
        self.look(now)
        return self.deeds
