"""Leases end when their holder stops requesting them; delayed messages neither revive nor end one."""

from __future__ import annotations

import pytest

from hazelspring.leases.lease_granter import LeaseGranter
from hazelspring.leases.singleton_roles import SingletonRoles
from hazelspring.membership.node_info import NodeIdentity, NodeInfo
from hazelspring.membership.peer_table import PeerTable
from hazelspring.membership.timeouts import LEASE_TERM
from hazelspring.node.actions import Send
from hazelspring.node.messages import Heartbeat

from .world import TICK, World

ME, OTHER = NodeIdentity("d1", 1), NodeIdentity("d2", 1)


def core_of_three() -> SingletonRoles:
    """The roles of d1, in a core of three, which received messages from the others at 10.0 s."""
    infos = [NodeInfo(ip, "z", "west", 1, 1) for ip in ("d1", "d2", "d3")]
    peers = PeerTable(infos[0], 0.0)
    for info in infos[1:]:
        peers.observe(0.0, info)
        peers.peer(info).last_message_at = 10.0
    return SingletonRoles(peers, 0.0, first=True, count=12)


def test_lease_ends_once_its_holder_no_longer_requests_it() -> None:
    granter = LeaseGranter(0.0, first=True)
    assert granter.request(1.0, "0", ME, 1.0)
    assert not granter.request(1.1, "0", OTHER, 1.1)
    granter.withdraw_unrequested(ME, [], 0.9)  # a delayed heartbeat, sent before the lease was requested
    assert not granter.request(1.2, "0", OTHER, 1.2)
    granter.withdraw_unrequested(ME, [0], 1.3)
    assert not granter.request(1.3, "0", OTHER, 1.3)
    granter.withdraw_unrequested(ME, [], 1.4)
    assert granter.request(1.4, "0", OTHER, 1.4)


def test_restored_lease_is_withdrawn_only_after_its_holder_requested_it_again() -> None:
    granter = LeaseGranter(0.0, first=False)
    granter.restore(0.5, {ME: [0]})
    granter.withdraw_unrequested(ME, [], 0.4)  # may have been sent before the restored lease was granted
    assert not granter.request(0.6, "0", OTHER, 0.6)
    assert granter.request(0.7, "0", ME, 0.7)
    granter.withdraw_unrequested(ME, [], 0.8)
    assert granter.request(0.9, "0", OTHER, 0.9)


def test_grant_for_an_earlier_request_is_ignored() -> None:
    roles = core_of_three()
    requested = roles.update_requests(10.0, settled=True)
    role = requested[0]
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)
    assert roles.held_until(role) > 10.0
    assert roles.update_requests(10.1, settled=False) == [] and roles.held_until(role) <= 10.1
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)  # duplicates of the replies arrive
    assert roles.held_until(role) <= 10.1
    assert role in roles.update_requests(10.2, settled=True)
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)
    assert roles.held_until(role) <= 10.2
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.2, 1)
    assert 10.2 < roles.held_until(role) < 10.2 + LEASE_TERM


def test_node_without_a_live_majority_requests_no_roles() -> None:
    roles = core_of_three()
    assert roles.update_requests(10.0, settled=True)
    # the last messages of the others are ten seconds old
    assert roles.update_requests(20.0, settled=True) == []


def test_delayed_grant_of_an_earlier_incarnation_is_ignored() -> None:
    """The new incarnation knows that no earlier grant is relied on, so it may grant the role again."""
    roles = core_of_three()
    role = roles.update_requests(10.1, settled=True)[0]
    roles.on_granted(role, "d1", 10.1, 1)
    assert roles.report_relied_on(10.5, NodeIdentity("d2", 2)) == []
    roles.on_granted(role, "d2", 10.4, 1)  # requested and granted before that, and delayed
    assert roles.held_until(role) == 0.0
    roles.on_granted(role, "d2", 10.6, 2)
    assert roles.held_until(role) > 11.0


def test_tick_computes_the_requested_roles_once_for_all_its_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(8, 0)
    world.run(4.0)
    core, calls, wanted_roles = world.machines["d1"].core, [], SingletonRoles.wanted_roles

    def count_call(roles: SingletonRoles, now: float) -> list[int]:
        calls.append(roles)
        return wanted_roles(roles, now)

    monkeypatch.setattr(SingletonRoles, "wanted_roles", count_call)
    assert core is not None
    heartbeats = 0
    for _ in range(20):
        world.now += TICK
        calls.clear()
        heartbeats += sum(
            isinstance(action, Send) and isinstance(action.message, Heartbeat)
            for action in core.tick(world.now)
        )
        assert len(calls) == 1
    assert heartbeats >= 14
