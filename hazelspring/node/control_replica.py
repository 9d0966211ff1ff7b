"""One door's part in the control state: its register and proposer, their messages and saves, and what it learns."""

from __future__ import annotations

import random
from collections.abc import Mapping

from hazelspring.consensus.acceptor import Acceptor, MissingConfigurationError, load_acceptor
from hazelspring.consensus.control_state import (
    NO_BALLOT,
    NO_CONFIGURATION,
    VERSIONS_PER_LINEAGE,
    Ballot,
    ControlState,
    bootstrap_state,
    decode_ballot,
    decode_state,
    lineage,
    majority,
    read_quorum,
)
from hazelspring.consensus.proposal import Proposal
from hazelspring.consensus.proposer import Proposer
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.rendezvous import owner
from hazelspring.node.actions import Action, Message, Save, Send, StateChanged
from hazelspring.node.reconfiguration import Reconfiguration

CONFIGURATION, ZONES, MEMBERS = "word", "zones", "members"  # what may be seen anew; the core's members
ADMITTED_ROUND_TIME = (
    1.0  # seconds for which a round that was let in may go first: syncs of a slow disk and round trips
)
REQUEST_INTERVAL = 0.3  # seconds until what was asked for is asked for again, of another door
NO_ROUND = (-1e9, "", -1, False)


class ControlReplica:
    """`records`: what the disk held.  Messages and times in, deeds out; see docs/control.md."""

    def __init__(
        self, now: float, peers: PeerTable, records: Mapping[str, bytes], first: bool, seeds: list[str]
    ) -> None:
        me = peers.me
        self.peers = peers
        self.acceptor = load_acceptor(records, me.disk_id, first) if me.disk_id else Acceptor(0, first)
        if first and self.acceptor.decided is None and seeds:
            self.acceptor.decided = (NO_BALLOT, bootstrap_state(seeds))
            self.acceptor.dirty_records.add("decided")
        self.proposer = Proposer(
            self.acceptor, (me.ip, me.incarnation), random.Random(me.incarnation), peers.is_member_alive
        )
        self.reconfiguration = Reconfiguration(now, peers, self.acceptor, self.proposer, first)
        self.other_records: dict[str, bytes | None] = {}  # other records that are to be written
        self.save_number = 0
        self.records_being_saved: dict[str, bytes | None] | None = None  # on their way to the disk
        self.replies_after_current_save: list[
            tuple[str, Message]
        ] = []  # answers that wait for the save under way,
        self.replies_after_next_save: list[tuple[str, Message]] = []  # and for the next one
        self.save_failed = False
        # whose round is under way here: until when, whose, on what base, and whether it has chosen
        self.admitted_round = NO_ROUND
        self.loopback_messages: list[Message] = []  # messages of this door to itself
        self.last_state_request: tuple[float, int] = (
            -1e9,
            0,
        )  # when a newer state was asked for, and how often
        self.nodes_behind: dict[str, None] = {}  # doors that told of a lower lineage than the one here
        self.actions: list[Action] = []
        if self.acceptor.version > 0:
            self.peers.set_members(self.acceptor.state.members)  # type: ignore[union-attr]

    # --- what is known -------------------------------------------------------------------------------------

    @property
    def state(self) -> ControlState | None:
        """The state in force as far as this door knows; none before the core was founded."""
        return self.acceptor.state if self.acceptor.version > 0 else None

    def control_versions(self) -> list[int]:
        """What others are told: the version in force here, and the one that may be."""
        pending = self.acceptor.pending
        told = pending.version if pending is not None else -1
        return [
            self.acceptor.version,
            max(told, self.acceptor.highest_lineage * VERSIONS_PER_LINEAGE)
            if self.acceptor.is_superseded()
            else told,
        ]

    def observe_version(self, source: str, version: int) -> None:
        """Another door told of the version in force there."""
        self.acceptor.observe_version(version)
        if lineage(version) < lineage(self.acceptor.version):
            self.nodes_behind[source] = None

    def unresponsive_members(self, now: float) -> dict[str, int]:
        """Members that this one takes for silent; the numbers say nothing."""
        state = self.state
        return (
            {member.ip: 1 for member in self.reconfiguration.unresponsive_members(now, state)}
            if state is not None
            else {}
        )

    def is_member(self) -> bool:
        state = self.state
        return state is not None and state.is_member(self.peers.me.ip, self.acceptor.disk_id)

    def must_stay_up(self) -> bool:
        """Whether this member holds what no majority besides it has told of yet, so that it should not end."""
        state = self.state
        if state is None or not self.is_member():
            return False
        others = self.reconfiguration.other_members(state)
        have = sum(
            peer.control_versions is not None and peer.control_versions[0] >= state.version for peer in others
        )
        return have < min(len(state.members) - 1, majority(len(state.members)))

    def confirmation_times(self, now: float) -> list[float]:
        """For each member that told of nothing above the state in force here: when it was asked."""
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return []
        times = self.peers.confirmation_times(state.members, state.version)
        if self.is_member() and self.acceptor.pending is None:
            times.append(now)
        return sorted(times, reverse=True)

    def confirmed_at(self, now: float) -> float:
        """All that was decided up to then is known here: one of so many voices would have told."""
        state, times = self.state, self.confirmation_times(now)
        if state is None or state.configuration_digest == NO_CONFIGURATION:
            return -1e9
        needed = read_quorum(len(state.members))
        return times[needed - 1] if len(times) >= needed else -1e9

    def is_confirmed_for(self, order: Proposal, now: float) -> bool:
        """Whether the state in force here holds all that was decided before an order came."""
        state = self.state
        if state is None or self.acceptor.is_superseded():
            return False
        since = order.started_at
        told = sum(at >= since for at in self.confirmation_times(now))
        return self.proposer.confirmed_since >= since or told >= read_quorum(len(state.members))

    # --- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        self.actions = []
        self.save_failed = False
        self.reconfiguration.tick(now)
        return self.advance(now)

    def propose(self, now: float, order: Proposal) -> list[Action]:
        self.actions = []
        self.proposer.submit(order)
        return self.advance(now)

    def proceed(self, now: float) -> list[Action]:
        """What others have told of themselves may settle an order."""
        self.actions = []
        return self.advance(now)

    def advance(self, now: float) -> list[Action]:
        """Bring orders and rounds on as far as they go, and save what has changed."""
        while True:
            if self.acceptor.is_superseded():
                self.proposer.abandon_round()
            idle = self.proposer.round is None
            waits = idle and (
                self.acceptor.is_superseded()
                or self.must_yield_to(now, self.peers.me.ip, self.acceptor.version)
            )
            for ask in () if waits else self.proposer.advance(now):
                self.send(ask.to, ask.message)
            while self.proposer.outbox:
                ask = self.proposer.outbox.pop()
                self.send(ask.to, ask.message)
            if self.loopback_messages:
                self.dispatch(now, self.peers.me.ip, self.loopback_messages.pop(0))
                continue
            if (decided := self.proposer.take_decision()) is not None:
                self.on_decision(now, *decided)
                continue
            break
        self.actions += self.proposer.resolve(now, lambda order: self.is_confirmed_for(order, now))
        self.catch_up(now)
        self.save_dirty_records()
        return self.actions

    def on_decision(self, now: float, ballot: Ballot, state: ControlState, word: bytes | None) -> None:
        """A round of this door has ended: tell all whom it concerns."""
        if state.version <= self.acceptor.version:
            return  # nothing was to change
        self.learn(now, ballot, state, word)
        message = {"k": "decided", "b": list(ballot), "s": state.encode()}
        for ip in dict.fromkeys(member.ip for members in state.member_sets() for member in members):
            if ip != self.peers.me.ip:
                self.send(ip, message)

    def learn(self, now: float, ballot: Ballot, state: ControlState, word: bytes | None) -> None:
        before = self.acceptor.state
        if not self.acceptor.learn(ballot, state, word):
            return
        self.admitted_round = NO_ROUND
        self.proposer.on_new_state(now)
        for source, message in self.proposer.forwarded.pop_waiting(
            state
        ):  # members hear it from who has decided
            self.send_state(source, message)
        if before is None or state.configuration_digest != before.configuration_digest:
            self.actions.append(StateChanged(CONFIGURATION))
        if before is None or state.evacuated_zones != before.evacuated_zones:
            self.actions.append(StateChanged(ZONES))
        if before is None or state.members != before.members:
            self.peers.set_members(state.members)
            self.reconfiguration.on_members_changed(now, before)
            self.actions.append(StateChanged(MEMBERS))

    def catch_up(self, now: float) -> None:
        """Ask for a newer state that another door has told of, whole; the nearest first, each in turn."""
        while self.nodes_behind:
            self.send_state(self.nodes_behind.popitem()[0], {})
        has = self.peers.nodes_above_version(self.acceptor.version)
        at, times = self.last_state_request
        if has and now - at >= REQUEST_INTERVAL:
            alive = [ip for ip in has if self.peers.is_alive(now, ip)] or has
            self.request_state(alive[times % len(alive)])
            self.last_state_request = (now, times + 1)

    def request_state(self, of: str, whole: bool = False) -> None:
        """Ask a door for the state in force there, and for its configuration: `e`, by what differs from that here."""
        state = self.acceptor.state
        holds = state.configuration_digest if state is not None else NO_CONFIGURATION
        message: Message = {"k": "want", "v": self.acceptor.version, "h": holds}
        self.send(of, message if whole else message | {"e": 1})

    # --- the disk --------------------------------------------------------------------------------------------

    def reply_when_durable(self, to: str, message: Message) -> None:
        """Send an answer once all that it stands for is on disk."""
        if self.acceptor.dirty_records and self.peers.me.disk_id:
            self.replies_after_next_save.append((to, message))
        elif self.records_being_saved is not None:
            self.replies_after_current_save.append((to, message))
        else:
            self.send(to, message)

    def write_record(self, name: str, body: bytes) -> None:
        self.other_records[name] = body

    def save_dirty_records(self) -> None:
        """Write what is to be written, one save at a time."""
        if not self.peers.me.disk_id:
            self.acceptor.dirty_records.clear()
            return
        if (
            self.records_being_saved is not None
            or self.save_failed
            or not (self.acceptor.dirty_records or self.other_records)
        ):
            return
        self.records_being_saved = {**self.acceptor.take_dirty_records(), **self.other_records}
        self.other_records = {}
        self.replies_after_current_save, self.replies_after_next_save = self.replies_after_next_save, []
        self.save_number += 1
        self.actions.append(Save(self.save_number, self.records_being_saved))

    def on_saved(self, now: float, serial: int, good: bool) -> list[Action]:
        """A save has ended.  What waited for one that failed gets no answer, and its sender asks again."""
        self.actions = []
        if serial != self.save_number or self.records_being_saved is None:
            return self.actions
        records, answers = self.records_being_saved, self.replies_after_current_save
        self.records_being_saved, self.replies_after_current_save = None, []
        if good:
            for to, message in answers:
                self.send(to, message)
        else:
            self.save_failed = True  # until the next tick
            marks = {name: body for name, body in records.items() if name.startswith("mark ")}
            self.acceptor.restore_dirty_records(
                {name: body for name, body in records.items() if name not in marks}
            )
            self.other_records = {**marks, **self.other_records}
        return self.advance(now)

    # --- messages ----------------------------------------------------------------------------------------------

    def send(self, to: str, message: Message) -> None:
        if to == self.peers.me.ip:
            self.loopback_messages.append(message)
        else:
            self.actions.append(Send(to, message))

    def on_message(self, now: float, source: str, message: Message) -> list[Action]:
        self.actions = []
        self.dispatch(now, source, message)
        return self.advance(now)

    def dispatch(self, now: float, source: str, message: Message) -> None:
        match message["k"]:
            case "prepare" | "accept":
                self.on_round_request(now, source, message)
            case "promise":
                self.on_promise(source, message)
            case "accepted":
                self.proposer.on_accepted(
                    source, (message["u"][0], message["u"][1]), decode_ballot(message["b"])
                )
            case "no":
                higher = decode_ballot(message["p"])
                wait = message["w"] / 1000
                self.proposer.on_rejected(
                    now, source, decode_ballot(message["b"]), higher, wait, message["a"]
                )
            case "over":
                if self.admitted_round[1] == source and decode_ballot(message["b"]) >= self.acceptor.promised:
                    self.admitted_round = NO_ROUND
            case "lack":
                self.proposer.on_missing_configuration(source, decode_ballot(message["b"]))
            case "hand":
                self.proposer.forwarded.add(now, source, message["v"], message["o"])
            case "want":
                self.on_state_request(source, message)
            case "decided":
                self.on_decided(now, source, message)

    def on_round_request(self, now: float, source: str, message: Message) -> None:
        """Another door's round, or this door's own, asks for a promise or brings a state."""
        register = self.acceptor
        if not register.disk_id and not register.may_bootstrap:
            return  # no seat can be here
        if message["d"] < register.version:
            self.send_state(source, message)
        theirs, own = lineage(message["d"]), lineage(register.version)
        register.observe_version(message["d"])
        if theirs > own:
            self.request_state(source)
        if theirs != own or self.acceptor.is_superseded():
            return  # a round is of one lineage, as all that its members accept
        if message["k"] == "prepare":
            self.on_prepare(now, source, message)
        else:
            self.on_accept(now, source, message)

    def on_prepare(self, now: float, source: str, message: Message) -> None:
        register, held = self.acceptor, self.acceptor.accepted
        if self.must_yield_to(now, source, message["d"]):
            self.reject(now, source, message, waits=True)
        elif not register.prepare(decode_ballot(message["b"])):
            self.reject(now, source, message, waits=False)
        else:
            self.admitted_round = (now + ADMITTED_ROUND_TIME, source, message["d"], False)
            told: Message = {
                "k": "promise",
                "b": message["b"],
                "u": [register.disk_id, register.may_bootstrap],
            }
            told |= {
                "h": list(register.configurations),
                "a": [list(held[0]), held[1].encode()] if held else None,
            }
            if (
                held is not None
                and held[1].version > message["d"]
                and held[1].configuration_digest != message["h"]
            ):
                told |= register.configuration_payload(held[1].configuration_digest, message)
            self.reply_when_durable(source, told)

    def on_promise(self, source: str, message: Message) -> None:
        ballot, best, word = decode_ballot(message["b"]), message["a"], message.get("w")
        found, current = (
            (decode_ballot(best[0]), decode_state(best[1])) if best else None,
            self.proposer.round,
        )
        asked = current is not None and current.ballot == ballot and current.value is None
        if found is not None and "x" in message and asked:
            word = self.proposer.find_configuration(
                found[1].configuration_digest
            ) or self.acceptor.follow_delta_path(message["x"], found[1].configuration_digest)
            if word is None:
                self.proposer.on_missing_configuration(source, ballot)
                return
        disk, founder = message["u"]
        self.proposer.on_promise(source, (disk, founder), ballot, found, message["h"], word)

    def on_accept(self, now: float, source: str, message: Message) -> None:
        register, ballot, state = self.acceptor, decode_ballot(message["b"]), decode_state(message["s"])
        try:
            word = (
                self.acceptor.open_payload(message, state.configuration_digest)
                if ballot >= register.promised
                else None
            )
            accepted = register.accept(ballot, state, word)
        except MissingConfigurationError:
            self.send(source, {"k": "lack", "b": message["b"]})
            return
        if not accepted:  # who is outbid while it brings a state lets the higher ballot end first
            self.reject(now, source, message, waits=self.admitted_round[1] != source)
            return
        self.admitted_round = (now + ADMITTED_ROUND_TIME, source, message["d"], True)
        self.reply_when_durable(
            source, {"k": "accepted", "b": message["b"], "u": [register.disk_id, register.may_bootstrap]}
        )

    def reject(self, now: float, source: str, message: Message, waits: bool) -> None:
        """Answer no; `waits`: for no longer than another door's round may take here."""
        wait = max(0, int(1000 * (self.admitted_round[0] - now))) if waits else 0
        if wait:
            self.proposer.forwarded.waiting_nodes[source] = message
        told = {"k": "no", "b": message["b"], "p": list(self.acceptor.promised), "w": wait}
        self.send(source, {**told, "a": message["k"] == "accept"})

    def must_yield_to(self, now: float, source: str, base: int) -> bool:
        """Whether another door's round goes first here.  Who knows the newer state does; of two that know the same
        one, who has a majority's promises, or else whom the hash of it names.  So rounds that meet do not outbid each
        other for ever, and none is first always."""
        until, guest, its_base, chose = self.admitted_round
        if now >= until or guest == source:
            return False
        if base != its_base:
            return base < its_base
        return chose or owner(f"version {base}", (guest, source)) == guest

    def send_state(self, to: str, asking: Message) -> None:
        """The state in force here, with its configuration where the other, by its message, has not got it."""
        if self.acceptor.decided is None or self.acceptor.version <= 0 or self.acceptor.is_superseded():
            return
        ballot, state = self.acceptor.decided
        message: Message = {"k": "decided", "b": list(ballot), "s": state.encode()}
        if state.configuration_digest not in (NO_CONFIGURATION, asking.get("h", NO_CONFIGURATION)):
            message |= self.acceptor.configuration_payload(state.configuration_digest, asking)
        self.send(to, message)

    def on_state_request(self, source: str, message: Message) -> None:
        if message["v"] < self.acceptor.version:
            self.send_state(source, message)

    def on_decided(self, now: float, source: str, message: Message) -> None:
        state = decode_state(message["s"])
        try:
            word = (
                self.acceptor.open_payload(message, state.configuration_digest)
                if state.version > self.acceptor.version
                else None
            )
            self.learn(now, decode_ballot(message["b"]), state, word)
            self.last_state_request = (-1e9, self.last_state_request[1])
        except MissingConfigurationError:
            self.request_state(source, whole="x" in message)
