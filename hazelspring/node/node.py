"""One node: heartbeats, the control state, roles and updates.  Messages and times in, messages and actions out."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import cbor2

from hazelspring.configuration.blocks import pack
from hazelspring.configuration.incremental import ValidatedConfiguration
from hazelspring.configuration.model import configuration_digest, parse_version
from hazelspring.consensus.control_state import Member, lineage
from hazelspring.consensus.proposal import Proposal, ProposalKind
from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.node_info import NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.timeouts import LEASE_TERM
from hazelspring.node.actions import Action, LoadReported, ReadList, Send
from hazelspring.node.codec import kind_of
from hazelspring.node.control_replica import ControlReplica
from hazelspring.node.dissemination import Disseminator
from hazelspring.node.heartbeats import FAR_INTERVAL, NEAR_INTERVAL, Heartbeats
from hazelspring.node.invariants import InvariantBounds, Invariants
from hazelspring.node.messages import (
    CounterUnavailableNotice,
    CreditGrant,
    CreditRequest,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    Message,
    RolesDeclined,
    RolesReleased,
    TableRequest,
    TableUpdate,
    UnknownMessage,
)
from hazelspring.node.quota_calls import TENANT_SHARDS, QuotaCalls
from hazelspring.node.table_requests import TableRequests
from hazelspring.quota.counter import QuotaCounter
from hazelspring.quota.credits import CounterUnavailable, CreditsGranted
from hazelspring.registry.list_freshness import ListFreshness
from hazelspring.registry.list_reader_role import LIST_READER, ListReaderRole, ListTiming
from hazelspring.registry.tables import ServerEntry

EMPTY_REGISTRY_GRACE = (
    0.15  # seconds without any table, as none else has one, after which a core node asks for itself
)
NODE_COUNT_RECORD = "mark doors"  # the record of how many nodes there ever were


@dataclass(slots=True)
class NodeStart:
    """What a node knows at its start.  The number of its disk in `about` is that of an empty one: what the records
    say goes before it.
    """

    info: NodeInfo
    seeds: list[str]
    first_start: bool  # the whole system starts for the first time
    records: dict[str, bytes] = field(default_factory=dict)  # what is on disk
    link_bandwidth: float = math.inf  # bytes a second of this machine's own
    bounds: InvariantBounds = field(default_factory=InvariantBounds)


class Node:
    """`limit` gives a tenant's limit for one window, as the configuration at hand has it."""

    def __init__(self, now: float, start: NodeStart, window: float, limit: Callable[[str], float]) -> None:
        me = start.info
        if me.disk_id and "disk" in start.records:
            me = replace(me, disk_id=cbor2.loads(start.records["disk"])[0])
        self.me, self.seeds, self.first_start, self.started_at = me, start.seeds, start.first_start, now
        self.peers = PeerTable(me, now)
        self.control = ControlReplica(now, self.peers, start.records, start.first_start, start.seeds)
        self.peers.max_node_count = self.saved_node_count = int(start.records.get(NODE_COUNT_RECORD, b"0"))
        self.roles = SingletonRoles(self.peers, now, start.first_start, TENANT_SHARDS + 1)
        self.quota_counter, self.tenant_limit = QuotaCounter(window), limit
        self.disseminator = Disseminator(self.peers, start.link_bandwidth)
        self.registry = self.disseminator.registry
        self.freshness = ListFreshness(now)
        self.table_requests = TableRequests(self.peers, self.registry, self.freshness)
        self.quota_calls = QuotaCalls(
            me, self.roles, self.disseminator.load_reporter, self.quota_counter, limit
        )
        self.heartbeats = Heartbeats(self.peers, self.control, self.roles, self.registry, self.freshness, now)
        self.ready = False
        self.list_reader_role = ListReaderRole(self.roles, ListTiming.within(start.bounds.drain_cutoff))
        self.invariants = Invariants(
            now,
            start.bounds,
            self.peers,
            heartbeats=self.heartbeats,
            list_reader_role=self.list_reader_role,
            freshness=self.freshness,
        )
        self.was_member = self.control.is_member()
        self.members = self.control.state.members if self.control.state is not None else ()
        self.dropped: dict[str, int] = {}  # messages of or to another incarnation, by kind
        self.actions: list[Action] = []

    # --- what others of this process ask ---------------------------------------------------------------

    def core_agreed(self) -> bool:
        """Whether the core is agreed on, as far as this node knows."""
        return self.control.state is not None

    def confirmed_at(self, now: float) -> float:
        """Every change acknowledged up to then is seen here."""
        return self.control.confirmed_at(now)

    def put_configuration(
        self, now: float, token: int, body: bytes, checked: ValidatedConfiguration | None = None
    ) -> list[Action]:
        """An operator's configuration that `hazelspring.configuration.validation` has let pass."""
        if checked is None:
            number = parse_version(json.loads(body)["versionNumber"])
            checked = ValidatedConfiguration(
                number, pack(body, self.control.acceptor.current_configuration())
            )
        proposal = Proposal(
            token,
            now,
            ProposalKind.PUT_CONFIGURATION,
            configuration_version=checked.version,
            configuration_digest=configuration_digest(body),
            configuration=checked.packed,
        )
        return self.propose(now, proposal)

    def set_evacuation(self, now: float, token: int, zone: str, closed: bool) -> list[Action]:
        """Evacuate a zone for an operator, or end that."""
        return self.propose(
            now, Proposal(token, now, ProposalKind.SET_EVACUATION, zone=zone, evacuate=closed)
        )

    def retire_member(self, now: float, token: int, ip: str) -> list[Action]:
        """An operator takes a member out of the core for good."""
        return self.propose(
            now, Proposal(token, now, ProposalKind.RETIRE, member=Member(ip), by_operator=True)
        )

    def read_configuration(self, now: float, token: int) -> list[Action]:
        """Read the configuration in force for an operator."""
        return self.propose(now, Proposal(token, now, ProposalKind.READ))

    def propose(self, now: float, proposal: Proposal) -> list[Action]:
        """Take a proposal, and ask the core at once what is newest."""
        self.actions = []
        requested_roles = self.requested_roles(now)
        for ip in self.peers.other_core_nodes():
            self.send_heartbeat(now, ip, requested_roles)
        self.actions += self.control.propose(now, proposal)
        self.check_membership(now)
        return self.actions

    # --- time -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Do what is due with the time: heartbeats, roles, requests, rounds."""
        self.actions = []
        enough = now - self.confirmed_at(now) < 2 * NEAR_INTERVAL
        before = self.roles.requested
        requested_roles = self.requested_roles(now)  # one look for all that this tick sends and renews
        anew = requested_roles != before
        for ip in self.peers.other_core_nodes():
            if anew or self.heartbeats.is_due(now, ip, enough):
                self.send_heartbeat(now, ip, requested_roles)
        heard = any(self.peers.is_alive(now, ip) for ip in self.peers.other_core_nodes())
        lost = not heard or (self.first_start and not self.core_agreed())
        rescued = lineage(self.control.acceptor.version) > 0  # others may not know of it
        if lost or rescued:
            for ip in self.seeds:
                known = ip == self.me.ip or ip in self.peers.core_nodes
                if (
                    not known
                    and now - self.heartbeats.last_sent_at(ip)
                    >= (NEAR_INTERVAL if lost else FAR_INTERVAL) - 0.01
                ):
                    self.send_heartbeat(now, ip, requested_roles)
        self.perform_roles(now)
        if self.is_core_candidate():
            self.peers.record_heartbeat(now, self.me, self.ready)
            self.peers.update_roster(now)
            self.quota_counter.expire(now)
        self.actions += self.table_requests.request_missing(now)
        if self.me.disk_id and self.peers.max_node_count > self.saved_node_count:
            self.saved_node_count = self.peers.max_node_count
            self.control.write_record(NODE_COUNT_RECORD, str(self.saved_node_count).encode())
        self.actions += self.control.tick(now)
        self.check_membership(now)
        self.actions += self.invariants.check(now)
        return self.actions

    def is_core_candidate(self) -> bool:
        """Whether this node is one of the core, or may become one of the first."""
        return bool(self.me.disk_id) and (self.control.is_member() or not self.peers.core_agreed)

    def check_membership(self, now: float) -> None:
        """See whether this node's membership has changed: one that is new promises nothing for a term."""
        seated, state = self.control.is_member(), self.control.state
        if state is not None and state.members != self.members:
            if self.members:
                follows = state.previous_members == self.members
                self.roles.on_members_changed(now, follows, len(self.members), len(state.members))
            self.members = state.members
        if seated and not self.was_member and not self.first_start:
            self.roles.granter.silent_until = max(self.roles.granter.silent_until, now + LEASE_TERM)
        self.was_member = seated

    def requested_roles(self, now: float) -> list[int]:
        """The roles that heartbeats which go out now ask for."""
        return self.roles.update_requests(now, self.core_agreed() and self.is_core_candidate())

    def send_heartbeat(self, now: float, ip: str, requested_roles: list[int] | None = None) -> None:
        """`wants`: the roles to ask for, where they are known for this moment."""
        requested_roles = self.requested_roles(now) if requested_roles is None else requested_roles
        self.actions.append(
            Send(
                ip,
                self.heartbeats.make_heartbeat(
                    now, ip, self.ready and not self.roles.has_left, requested_roles
                ),
            )
        )

    # --- roles ------------------------------------------------------------------------------------------

    def perform_roles(self, now: float) -> None:
        """Renew what this node holds, take what nobody does, and do the first of them: ask the platform."""
        if not self.is_core_candidate():
            return
        if self.core_agreed():
            self.roles.restore_grants(now)
            if self.heartbeats.may_grant_leases(self.peers.core_checksum()):  # to itself, as to others
                self.roles.grant_to_self(now)
        if self.list_reader_role.must_decline(now):
            self.decline_role(now, LIST_READER)
        young = now - self.started_at <= EMPTY_REGISTRY_GRACE and not self.list_reader_role.holds(now)
        if (
            self.may_read_list(now)
            and not young
            and (number := self.list_reader_role.begin_read(now)) is not None
        ):
            self.actions.append(ReadList(number))

    def decline_role(self, now: float, role: int) -> None:
        """Leave a role that this node can't do to another one, at once."""
        self.roles.decline(now, role)
        message = RolesDeclined(self.me, [role])
        self.actions += [Send(ip, message) for ip in self.peers.other_core_nodes()]

    def may_read_list(self, now: float) -> bool:
        """Whether the platform's list is this node's to read: by its role, or for want of any table."""
        return self.list_reader_role.holds(now) or not self.registry.tables

    def drain(self, now: float) -> list[Action]:
        """Leave in order: the roles of this node go to others at once."""
        self.actions = []
        self.control.reconfiguration.leaving = True
        message = RolesReleased(self.me, self.roles.release_all(now))
        self.actions += [Send(ip, message) for ip in self.peers.other_core_nodes()]
        return self.actions

    # --- updates of servers ----------------------------------------------------------------------------------

    def on_list_read(
        self, now: float, wall_ms: int, found: dict[str, dict[str, ServerEntry]] | None, number: int
    ) -> list[Action]:
        """The platform's list as a read brought it, or None where it failed; `number`: which read."""
        newest = self.list_reader_role.end_read(number, found is not None)
        if found is None or not newest or not self.may_read_list(now):
            return []
        actions = self.disseminator.publish_list(now, wall_ms, found)
        self.freshness.confirm(self.list_reader_role.read_at)
        return actions

    # --- quotas -----------------------------------------------------------------------------------------------

    def lease_credits(self, now: float, tenant: str, number: int, units: float) -> list[Action]:
        """Call a tenant's counter for this node."""
        return self.quota_calls.lease(now, tenant, number, units)

    # --- messages -----------------------------------------------------------------------------------------

    def on_message(self, now: float, source: str, message: Message) -> list[Action]:
        """Handle a message from another node."""
        self.actions = []
        match message:
            case LoadReport():
                return [LoadReported(source, message.in_flight_by_tag)]
            case Heartbeat():
                self.on_heartbeat(now, source, message)
            case HeartbeatReply():
                self.on_heartbeat_reply(now, source, message)
            case TableRequest():
                self.on_table_request(now, source, message)
            case TableUpdate():
                self.on_table_update(now, message)
            case RolesReleased():
                self.roles.on_released(message.member.identity(), message.roles)
            case RolesDeclined():
                self.roles.on_declined(message.member.identity(), message.roles)
            case CreditRequest():
                self.actions += self.quota_calls.on_request(now, source, message)
            case CreditGrant():
                self.on_credit_grant(message)
            case CounterUnavailableNotice():
                self.on_counter_unavailable(message)
            case UnknownMessage():
                pass  # from a newer version; what it changes is that its sender may settle a proposal
            case _:
                self.actions += self.control.on_message(now, source, message)
                self.check_membership(now)
                return self.actions
        self.actions += self.control.proceed(now)
        self.check_membership(now)
        return self.actions

    def count_dropped(self, message: Message) -> None:
        """Count a message that changes nothing, by its kind."""
        kind = kind_of(message)
        self.dropped[kind] = self.dropped.get(kind, 0) + 1

    def on_table_request(self, now: float, source: str, request: TableRequest) -> None:
        """Send a table that another node asks for."""
        if request.service in self.registry.tables:
            self.actions.append(Send(source, TableUpdate(self.registry.encode(now, request.service))))

    def on_table_update(self, now: float, news: TableUpdate) -> None:
        """Apply a table, or a change of one."""
        self.actions += self.disseminator.apply_update(now, news)
        self.table_requests.on_update(news.service)

    def on_heartbeat(self, now: float, source: str, message: Heartbeat) -> None:
        """Note who sent a heartbeat, and reply."""
        about = self.heartbeats.sender_of(source, message)
        if about is not None:
            if self.peers.is_stale(now, about):
                return
            self.peers.observe(now, about)
            self.peers.record_heartbeat(now, about, message.ready)
        self.actions.append(Send(source, self.heartbeats.make_reply(now, about, message)))

    def on_heartbeat_reply(self, now: float, source: str, message: HeartbeatReply) -> None:
        """Take a reply; tables that it told of are asked for at once, and again with a tick where none comes."""
        self.apply_heartbeat_reply(now, source, message)
        if message.state is not None:
            self.actions += self.table_requests.request_missing(now)

    def apply_heartbeat_reply(self, now: float, source: str, message: HeartbeatReply) -> None:
        """Note what a reply tells, but for one of an earlier incarnation, or to one."""
        about = self.heartbeats.sender_of(source, message)
        if about is None:  # a new incarnation that is not known yet
            if (peer := self.peers.peers.get(source)) is not None:
                peer.knows_me = False
            return
        asked_at = self.heartbeats.request_sent_at(message.number)
        if self.peers.is_stale(now, about) or asked_at is None:
            self.count_dropped(message)
            return
        self.peers.observe(now, about)
        if not self.heartbeats.on_reply(now, about, message, asked_at).knows_me:
            self.send_heartbeat(now, source)
        for member in message.core_nodes or ():
            self.peers.observe(now, member)

    def on_credit_grant(self, message: CreditGrant) -> None:
        """Pass on credits that another node's counter granted."""
        if message.incarnation != self.me.incarnation:
            self.count_dropped(message)  # its call may have borne the number of one of this incarnation
            return
        lifetime, granted_part = message.lifetime_ms / 1000, message.granted_percent / 100
        granted = CreditsGranted(message.tenant, message.number, message.units, lifetime, granted_part)
        self.actions.append(granted)

    def on_counter_unavailable(self, message: CounterUnavailableNotice) -> None:
        """Pass on that a node which was asked does not hold a tenant's counter."""
        if message.incarnation != self.me.incarnation:
            self.count_dropped(message)
            return
        self.actions.append(CounterUnavailable(message.tenant))

    # --- the disk -----------------------------------------------------------------------------------------

    def on_saved(self, now: float, serial: int, good: bool) -> list[Action]:
        """A save has ended."""
        self.actions = self.control.on_saved(now, serial, good)
        self.check_membership(now)
        return self.actions
