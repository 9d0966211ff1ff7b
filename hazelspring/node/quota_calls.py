"""Calls to tenants' quota counters: those that this node makes, and those that it serves."""

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

# Number of shards of tenants, each of which is one singleton role.  It is fixed, as two nodes with different
# numbers would both hold the counter of one tenant.
TENANT_SHARDS = 8


class QuotaCalls:
    """Serves the counters that this node holds, and calls those that other nodes hold.

    `limit` returns a tenant's limit for one window, according to the configuration in force.
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

    def request_credits(self, now: float, tenant: str, number: int, units: float) -> list[Action]:
        """Request units of a tenant's quota from its counter; a negative number of units returns them.

        The request is sent to the holder of the counter's role.  If no other node holds it, this node serves
        the request.
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
        """Return the number of the singleton role whose holder has a tenant's counter."""
        return 1 + shard(tenant, TENANT_SHARDS)

    def grant(
        self, now: float, tenant: str, caller: NodeIdentity, number: int, units: float
    ) -> CreditsGranted | None:
        """Grant units from a counter of this node; None if this node has no lease on the counter's role."""
        lease_end = self.roles.held_until(self.counter_role(tenant))
        if lease_end <= now:
            return None
        grant = self.counter.grant(now, lease_end, tenant, units, self.tenant_limit(tenant), caller, number)
        return CreditsGranted(tenant, number, *grant)

    def on_request(self, now: float, source: str, message: CreditRequest) -> list[Action]:
        """Grant credits to another node, or notify it that this node does not hold the counter."""
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
            int(100 * granted.granted_fraction),
        )
        return [Send(source, grant)]
