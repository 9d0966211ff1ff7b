"""Promises of duties: they end with the asking for them, and no late message brings one back or ends another."""

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
    """One of three core doors that is first in line for duty 0, and has heard the others."""
    abouts = [NodeInfo(ip, "z", "west", 1, 1) for ip in ("d1", "d2", "d3")]
    peers = PeerTable(abouts[0], 0.0)
    for about in abouts[1:]:
        peers.observe(0.0, about)
        peers.peer(about).heard_at = 10.0
    return SingletonRoles(peers, 0.0, first=True, count=12)


def test_a_promise_ends_once_its_asker_asks_no_more() -> None:
    granter = LeaseGranter(0.0, first=True)
    assert granter.request(1.0, "0", ME, 1.0)
    assert not granter.request(1.1, "0", OTHER, 1.1)
    granter.withdraw_unrequested(ME, [], 0.9)  # a beat from before, late on its way
    assert not granter.request(1.2, "0", OTHER, 1.2)
    granter.withdraw_unrequested(ME, [0], 1.3)
    assert not granter.request(1.3, "0", OTHER, 1.3)
    granter.withdraw_unrequested(ME, [], 1.4)
    assert granter.request(1.4, "0", OTHER, 1.4)


def test_what_was_recalled_ends_only_after_it_was_asked_for_again() -> None:
    granter = LeaseGranter(0.0, first=False)
    granter.restore(0.5, {ME: [0]})
    granter.withdraw_unrequested(ME, [], 0.4)  # perhaps sent before the promise that was recalled
    assert not granter.request(0.6, "0", OTHER, 0.6)
    assert granter.request(0.7, "0", ME, 0.7)
    granter.withdraw_unrequested(ME, [], 0.8)
    assert granter.request(0.9, "0", OTHER, 0.9)


def test_a_yes_to_an_earlier_asking_counts_for_nothing() -> None:
    roles = core_of_three()
    wants = roles.update_requests(10.0, settled=True)
    role = wants[0]
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)
    assert roles.held_until(role) > 10.0
    assert roles.update_requests(10.1, settled=False) == [] and roles.held_until(role) <= 10.1
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)  # the answers come a second time
    assert roles.held_until(role) <= 10.1
    assert role in roles.update_requests(10.2, settled=True)
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.0, 1)
    assert roles.held_until(role) <= 10.2
    for ip in ("d2", "d3"):
        roles.on_granted(role, ip, 10.2, 1)
    assert 10.2 < roles.held_until(role) < 10.2 + LEASE_TERM


def test_who_hears_less_than_half_of_the_core_wants_nothing_new() -> None:
    roles = core_of_three()
    assert roles.update_requests(10.0, settled=True)
    assert roles.update_requests(20.0, settled=True) == []  # the others were last heard ten seconds ago


def test_a_late_promise_of_a_life_that_is_no_more_counted_on_counts_for_nothing() -> None:
    """The new life was told that nothing is counted on, so it may promise the duty to another."""
    roles = core_of_three()
    role = roles.update_requests(10.1, settled=True)[0]
    roles.on_granted(role, "d1", 10.1, 1)
    assert roles.disclaim_previous(10.5, NodeIdentity("d2", 2)) == []
    roles.on_granted(role, "d2", 10.4, 1)  # asked for and promised before that, late on its way
    assert roles.held_until(role) == 0.0
    roles.on_granted(role, "d2", 10.6, 2)
    assert roles.held_until(role) > 11.0


def test_a_tick_looks_once_at_what_its_beats_ask_for(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(8, 0)
    world.run(4.0)
    core, looks, wanted = world.machines["d1"].core, [], SingletonRoles.wanted_roles

    def counted(roles: SingletonRoles, now: float) -> list[int]:
        looks.append(roles)
        return wanted(roles, now)

    monkeypatch.setattr(SingletonRoles, "wanted_roles", counted)
    assert core is not None
    beats = 0
    for _ in range(20):
        world.now += TICK
        looks.clear()
        beats += sum(
            isinstance(action, Send) and isinstance(action.message, Heartbeat)
            for action in core.tick(world.now)
        )
        assert len(looks) == 1
    assert beats >= 14
