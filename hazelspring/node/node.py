"""One node as a state machine: heartbeats, the control state, singleton roles, table updates, quotas.

It takes messages and times, and returns actions.
"""

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

# Seconds for which a core node that has just started and has no table waits for one from the other nodes.
# If none arrives, no other node has one, and this node reads the platform's list itself, without the role.
EMPTY_REGISTRY_GRACE = 0.15
# The name of the record that stores the largest number of nodes that the system has had so far.
NODE_COUNT_RECORD = "mark doors"


@dataclass(slots=True)
class NodeStart:
    """What a node knows at its start.

    The disk number in `info` applies to an empty disk only: a number in the records has priority.
    """

    info: NodeInfo
    seeds: list[str]
    first_start: bool  # whether the entire system starts for the first time
    records: dict[str, bytes] = field(default_factory=dict)  # the records on disk, by name
    link_bandwidth: float = math.inf  # of this machine's own network link, in bytes per second
    bounds: InvariantBounds = field(default_factory=InvariantBounds)


class Node:
    """Takes messages and times, and returns the actions that follow from them.

    Parameters
    ----------
    now
        Seconds of the steady clock, as are all times in this class.
    start
        What the node knows at its start.
    window
        Seconds of one quota window.
    limit
        Returns a tenant's limit for one window under the configuration in force.
    """

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
        # The number of messages, by kind, dropped because another incarnation sent them or was their
        # recipient.
        self.dropped: dict[str, int] = {}
        self.actions: list[Action] = []

    def core_agreed(self) -> bool:
        """Return whether this node knows that the core has been bootstrapped."""
        return self.control.state is not None

    def confirmed_at(self, now: float) -> float:
        """Return the time, in seconds, up to which this node knows every acknowledged change."""
        return self.control.confirmed_at(now)

    def put_configuration(
        self, now: float, token: int, body: bytes, checked: ValidatedConfiguration | None = None
    ) -> list[Action]:
        """Propose an operator's configuration that `hazelspring.configuration.validation` has accepted.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        token
            Identifies the proposal in its outcome.
        body
            The configuration as it was received.
        checked
            Its version and packed bytes if the validation has computed them; else they are computed here.
        """
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

    def set_evacuation(self, now: float, token: int, zone: str, evacuate: bool) -> list[Action]:
        """Propose the evacuation of a zone for an operator, or its end if `evacuate` is False."""
        return self.propose(
            now, Proposal(token, now, ProposalKind.SET_EVACUATION, zone=zone, evacuate=evacuate)
        )

    def retire_member(self, now: float, token: int, ip: str) -> list[Action]:
        """Propose, for an operator, to remove the member at an address from the core permanently."""
        return self.propose(
            now, Proposal(token, now, ProposalKind.RETIRE, member=Member(ip), by_operator=True)
        )

    def read_configuration(self, now: float, token: int) -> list[Action]:
        """Propose a read of the configuration in force for an operator."""
        return self.propose(now, Proposal(token, now, ProposalKind.READ))

    def withdraw(self, now: float, token: int) -> list[Action]:
        """Withdraw the proposal of an operator's call whose caller has gone without an answer."""
        self.actions = self.control.withdraw(now, token)
        self.check_membership(now)
        return self.actions

    def propose(self, now: float, proposal: Proposal) -> list[Action]:
        """Submit a proposal, and immediately send heartbeats to the other core nodes.

        Their replies report the newest version that they know, which may confirm that this node's state is
        current.
        """
        self.actions = []
        requested_roles = self.requested_roles(now)
        for ip in self.peers.other_core_nodes():
            self.send_heartbeat(now, ip, requested_roles)
        self.actions += self.control.propose(now, proposal)
        self.check_membership(now)
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Perform what is due: heartbeats, roles, table requests, consensus rounds and invariant checks."""
        self.actions = []
        recently_confirmed = now - self.confirmed_at(now) < 2 * NEAR_INTERVAL
        before = self.roles.requested
        requested_roles = self.requested_roles(now)  # computed once for all heartbeats of this tick
        roles_changed = requested_roles != before
        for ip in self.peers.other_core_nodes():
            if roles_changed or self.heartbeats.is_due(now, ip, recently_confirmed):
                self.send_heartbeat(now, ip, requested_roles)
        any_alive = any(self.peers.is_alive(now, ip) for ip in self.peers.other_core_nodes())
        lacks_core = not any_alive or (self.first_start and not self.core_agreed())
        # Nodes outside a core that an operator has recovered may not know of it: its nodes send them
        # heartbeats.
        is_recovered = lineage(self.control.acceptor.version) > 0
        if lacks_core or is_recovered:
            for ip in self.seeds:
                known = ip == self.me.ip or ip in self.peers.core_nodes
                if (
                    not known
                    and now - self.heartbeats.last_sent_at(ip)
                    >= (NEAR_INTERVAL if lacks_core else FAR_INTERVAL) - 0.01
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
        """Return whether this node is a member of the core or may become one at the bootstrap."""
        return bool(self.me.disk_id) and (self.control.is_member() or not self.peers.core_agreed)

    def check_membership(self, now: float) -> None:
        """Handle a change of the core's members or of this node's own membership.

        A new member grants no leases for one lease term, except at the first start of the entire system.
        """
        is_member, state = self.control.is_member(), self.control.state
        if state is not None and state.members != self.members:
            if self.members:
                follows = state.previous_members == self.members
                self.roles.on_members_changed(now, follows, len(self.members), len(state.members))
            self.members = state.members
        if is_member and not self.was_member and not self.first_start:
            self.roles.granter.grants_from = max(self.roles.granter.grants_from, now + LEASE_TERM)
        self.was_member = is_member

    def requested_roles(self, now: float) -> list[int]:
        """Return the roles to request in heartbeats sent at `now`; see `SingletonRoles.update_requests`."""
        return self.roles.update_requests(now, self.core_agreed() and self.is_core_candidate())

    def send_heartbeat(self, now: float, ip: str, requested_roles: list[int] | None = None) -> None:
        """Send a heartbeat to an address.

        `requested_roles` are the roles to request if the caller has already computed them for this time.
        """
        requested_roles = self.requested_roles(now) if requested_roles is None else requested_roles
        self.actions.append(
            Send(
                ip,
                self.heartbeats.make_heartbeat(
                    now, ip, self.ready and not self.roles.has_left, requested_roles
                ),
            )
        )

    def perform_roles(self, now: float) -> None:
        """Grant role leases to this node itself, and perform the role of reading the platform's list.

        After a restart, this node grants leases only once the other members have reported which leases they
        rely on.  It may also read the list without the role (see `may_read_list`), but not before
        `EMPTY_REGISTRY_GRACE` has passed since its start.
        """
        if not self.is_core_candidate():
            return
        if self.core_agreed():
            self.roles.restore_grants(now)
            # The condition is the same as for grants to other nodes.
            if self.heartbeats.may_grant_leases(self.peers.core_checksum()):
                self.roles.grant_to_self(now)
        if self.list_reader_role.must_decline(now):
            self.decline_role(now, LIST_READER)
        too_early = now - self.started_at <= EMPTY_REGISTRY_GRACE and not self.list_reader_role.holds(now)
        if (
            self.may_read_list(now)
            and not too_early
            and (number := self.list_reader_role.begin_read(now)) is not None
        ):
            self.actions.append(ReadList(number))

    def decline_role(self, now: float, role: int) -> None:
        """Give up a role that this node cannot perform; the notified core nodes take it over immediately."""
        self.roles.decline(now, role)
        message = RolesDeclined(self.me, [role])
        self.actions += [Send(ip, message) for ip in self.peers.other_core_nodes()]

    def may_read_list(self, now: float) -> bool:
        """Return whether this node may read the platform's list.

        This is so if it holds the role, has no table at all, or knows of no sufficiently recent read.
        """
        role = self.list_reader_role
        return role.holds(now) or not self.registry.tables or role.is_backup_due(now, self.freshness.age(now))

    def drain(self, now: float) -> list[Action]:
        """Begin a graceful shutdown: release this node's roles, so that others can take them immediately."""
        self.actions = []
        self.control.reconfiguration.is_shutting_down = True
        message = RolesReleased(self.me, self.roles.release_all(now))
        self.actions += [Send(ip, message) for ip in self.peers.other_core_nodes()]
        return self.actions

    def on_list_read(
        self,
        now: float,
        wall_ms: int,
        servers_by_service: dict[str, dict[str, ServerEntry]] | None,
        number: int,
    ) -> list[Action]:
        """Apply the result of a read of the platform's list, and send the resulting table updates.

        The result of an abandoned read is ignored.  So is a result that may be older than that of another
        node's read: a table from that read has arrived in the meantime, or this node does not hold the role
        and knows that the other read began later.

        Parameters
        ----------
        now
            Seconds of the steady clock.
        wall_ms
            Milliseconds of the wall clock.
        servers_by_service
            The servers in the list, by service; None if the read failed.
        number
            The number of the read.
        """
        role = self.list_reader_role
        if not role.end_read(number, servers_by_service is not None) or servers_by_service is None:
            return []
        if self.registry.tables and (
            role.make_due_if_superseded() or (not role.holds(now) and self.freshness.read_at >= role.read_at)
        ):
            return []
        actions = self.disseminator.publish_list(now, wall_ms, servers_by_service)
        self.freshness.confirm(role.read_at)
        return actions

    def lease_credits(self, now: float, tenant: str, number: int, units: float) -> list[Action]:
        """Request units of a tenant's quota from its counter; see `QuotaCalls.request_credits`."""
        return self.quota_calls.request_credits(now, tenant, number, units)

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
                pass  # from a newer version of the program; like any message, it may settle a proposal below
            case _:
                self.actions += self.control.on_message(now, source, message)
                self.check_membership(now)
                return self.actions
        self.actions += self.control.on_peer_report(now)
        self.check_membership(now)
        return self.actions

    def count_dropped(self, message: Message) -> None:
        """Increment the number of dropped messages of this message's kind on the wire."""
        kind = kind_of(message)
        self.dropped[kind] = self.dropped.get(kind, 0) + 1

    def on_table_request(self, now: float, source: str, request: TableRequest) -> None:
        """Send a table that another node requests, if this node has it."""
        if request.service in self.registry.tables:
            self.actions.append(Send(source, TableUpdate(self.registry.encode(now, request.service))))

    def on_table_update(self, now: float, update: TableUpdate) -> None:
        """Apply an update of a table: the complete table or a change to it."""
        before = self.registry.versions()
        self.actions += self.disseminator.apply_update(now, update)
        if self.registry.versions() is not before:
            self.list_reader_role.on_superseded(now)
        self.table_requests.on_update(update.service)

    def on_heartbeat(self, now: float, source: str, message: Heartbeat) -> None:
        """Record the sender of a heartbeat and reply; a heartbeat of an earlier incarnation is ignored."""
        sender = self.heartbeats.sender_of(source, message)
        if sender is not None:
            if self.peers.is_stale(now, sender):
                return
            self.peers.observe(now, sender)
            self.peers.record_heartbeat(now, sender, message.ready)
        self.actions.append(Send(source, self.heartbeats.make_reply(now, sender, message)))

    def on_heartbeat_reply(self, now: float, source: str, message: HeartbeatReply) -> None:
        """Handle a heartbeat reply.

        Newer tables that it reports are requested immediately; a later tick requests them again if they do
        not arrive.
        """
        self.apply_heartbeat_reply(now, source, message)
        if message.state is not None:
            self.actions += self.table_requests.request_missing(now)

    def apply_heartbeat_reply(self, now: float, source: str, message: HeartbeatReply) -> None:
        """Record what a reply reports; a reply from or to an earlier incarnation is dropped and counted."""
        sender = self.heartbeats.sender_of(source, message)
        if sender is None:  # a new incarnation: the next heartbeat and its reply exchange the identities
            if (peer := self.peers.peers.get(source)) is not None:
                peer.knows_this_node = False
            return
        sent_at = self.heartbeats.request_sent_at(message.number)
        if self.peers.is_stale(now, sender) or sent_at is None:
            self.count_dropped(message)
            return
        self.peers.observe(now, sender)
        if not self.heartbeats.on_reply(now, sender, message, sent_at).knows_this_node:
            self.send_heartbeat(now, source)
        for member in message.core_nodes or ():
            self.peers.observe(now, member)

    def on_credit_grant(self, message: CreditGrant) -> None:
        """Append an action that reports the credits that another node's counter granted."""
        if message.incarnation != self.me.incarnation:
            self.count_dropped(message)  # its number may be the same as that of a call by this incarnation
            return
        lifetime, granted_fraction = message.lifetime_ms / 1000, message.granted_percent / 100
        granted = CreditsGranted(message.tenant, message.number, message.units, lifetime, granted_fraction)
        self.actions.append(granted)

    def on_counter_unavailable(self, message: CounterUnavailableNotice) -> None:
        """Append an action that reports that the called node does not hold a tenant's counter."""
        if message.incarnation != self.me.incarnation:
            self.count_dropped(message)
            return
        self.actions.append(CounterUnavailable(message.tenant))

    def on_saved(self, now: float, serial: int, succeeded: bool) -> list[Action]:
        """Handle the end of the save with the number `serial`."""
        self.actions = self.control.on_saved(now, serial, succeeded)
        self.check_membership(now)
        return self.actions
