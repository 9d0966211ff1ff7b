"""Calls to tenants' counters: this node's calls to the holder of a counter, and those of other nodes to this one."""

from __future__ import annotations

from collections.abc import Callable

from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.node_info import NodeIdentity, NodeInfo
from hazelspring.membership.rendezvous import shard
from hazelspring.node.actions import Action, Send
from hazelspring.node.load_reporter import LEASE_CALL_BYTES, LoadReporter
from hazelspring.node.messages import CounterUnavailableNotice, CreditGrant, CreditRequest
from hazelspring.quota.counter import QuotaCounter
from hazelspring.quota.credits import CounterUnavailable, CreditsGranted

# Shards of tenants, each one singleton role; fixed, as two nodes that differ in it would both own a tenant's counter.
TENANT_SHARDS = 8


class QuotaCalls:
    """Serves the counters that this node holds, and calls those that other nodes hold.

    `limit` returns a tenant's limit for one window, as the configuration in force has it.
    """

    def __init__(
        self,
        me: NodeInfo,
        roles: SingletonRoles,
        load_reporter: LoadReporter,
        counter: QuotaCounter,
        limit: Callable[[str], float],
    ) -> None:
        self.me, self.roles, self.load_reporter = me, roles, load_reporter
        self.counter, self.tenant_limit = counter, limit

    def lease(self, now: float, tenant: str, number: int, units: float) -> list[Action]:
        """Call a tenant's counter for units of its quota; units below 0 are given back.

        The call is sent to the holder of the counter's role; where that is not another node, it is served here.
        """
        holder = self.roles.holder(now, self.counter_role(tenant))
        if holder is not None and holder != self.me.ip:
            self.load_reporter.record_other_bytes(LEASE_CALL_BYTES)
            return [Send(holder, CreditRequest(tenant, number, int(units), self.me.incarnation))]
        granted = self.grant(now, tenant, self.me.identity(), number, units)
        if granted is None:
            return [CounterUnavailable(tenant)]
        return [granted] if units > 0 else []

    @staticmethod
    def counter_role(tenant: str) -> int:
        """Return the singleton role to which a tenant's counter belongs."""
        return 1 + shard(tenant, TENANT_SHARDS)

    def grant(
        self, now: float, tenant: str, caller: NodeIdentity, number: int, units: float
    ) -> CreditsGranted | None:
        """Grant units by a counter of this node; None where this node has no lease of the counter's role."""
        until = self.roles.held_until(self.counter_role(tenant))
        if until <= now:
            return None
        found = self.counter.grant(now, until, tenant, units, self.tenant_limit(tenant), caller, number)
        return CreditsGranted(tenant, number, *found)

    def on_request(self, now: float, source: str, message: CreditRequest) -> list[Action]:
        """Grant credits to another node, or reply that this node does not hold the counter."""
        caller = NodeIdentity(source, message.incarnation)
        granted = self.grant(now, message.tenant, caller, message.number, message.units)
        if granted is None:
            return [Send(source, CounterUnavailableNotice(message.tenant, message.incarnation))]
        if message.units <= 0:
            return []
        grant = CreditGrant(
            message.incarnation,
            granted.tenant,
            granted.number,
            int(granted.units),
            int(1000 * granted.lifetime),
            int(100 * granted.granted_part),
        )
        return [Send(source, grant)]
