"""The cost of a proposal as the core grows: the time and the messages of its rounds, in 17 regions."""

from __future__ import annotations

import statistics
from typing import Any

from bench.scale.phases import Play
from bench.scale.program import DELIVERY_KINDS, ROUND_KINDS
from bench.scale.world import ZONES

NODES = 2 * ZONES  # two in each zone
PROPOSALS = 20  # proposals one after another, each at another node
# Bursts of ten proposals at once, which follow the single proposals.  There are several since the conflicts
# within a burst depend on the order of a set of nodes, which differs by process.
BURSTS = 10
PAUSE = 2.0  # seconds after a proposal or burst: the slowest heartbeat interval, so that all nodes know it


def messages_per_proposal(fleet: Play, proposals: int) -> dict[str, float]:
    """Return the messages and kilobytes per proposal since the last call, and reset the counts.

    `rounds` are the messages of consensus rounds, `refusals` those among them that refuse, and `bringing`
    those that bring the decided state to the nodes.
    """
    kinds = fleet.world.kinds
    found = {
        name: [of for (_, kind), of in kinds.items() if kind in names]
        for name, names in (("rounds", ROUND_KINDS), ("refusals", {"no"}), ("bringing", DELIVERY_KINDS))
    }
    per_proposal = {name: sum(of.count for of in several) / proposals for name, several in found.items()}
    per_proposal["kb"] = (
        sum(of.bytes for name in ("rounds", "bringing") for of in found[name]) / proposals / 1000
    )
    kinds.clear()
    return per_proposal


def measure(
    core: int, nodes: int = NODES, proposals: int = PROPOSALS, bursts: int = BURSTS
) -> dict[str, Any]:
    """Return the times of proposals in seconds, and their messages, one after another and ten at once."""
    fleet = Play(nodes, core=core)
    all_nodes, number = list(fleet.world.nodes.values()), fleet.core[0].configuration_version()
    fleet.world.kinds.clear()
    times, times_everywhere = [], []
    for n in range(proposals):
        number += 1
        token, began = fleet.put(all_nodes[n * nodes // proposals], number), fleet.world.now
        fleet.wait(lambda token=token: fleet.acknowledged(token))  # type: ignore[misc]
        times.append(fleet.world.proposal_results[token][0] - began)
        fleet.wait(lambda number=number: all(d.configuration_version() >= number for d in all_nodes))  # type: ignore[misc]
        times_everywhere.append(fleet.world.now - began)
        fleet.world.run(PAUSE)
    alone = messages_per_proposal(fleet, proposals)
    burst_times: list[float] = []
    rejected: list[float] = []
    for _ in range(bursts):
        began = fleet.world.now
        tokens = [fleet.put(all_nodes[-1 - n % nodes], number + 1 + n) for n in range(10)]
        number += 10
        fleet.wait(lambda tokens=tokens: all(token in fleet.world.proposal_results for token in tokens))  # type: ignore[misc]
        ends = {token: fleet.world.proposal_results[token][0] - began for token in tokens}
        burst_times.append(max(ends.values()))
        rejected += [end for token, end in ends.items() if not fleet.acknowledged(token)]
        fleet.world.run(PAUSE)
    at_once = messages_per_proposal(fleet, 10 * bursts)
    return {
        "core": core, "half": statistics.median(times), "most": max(times),
        "everywhere": statistics.median(times_everywhere), "alone": alone,
        "at once": {"last": burst_times, "untaken": rejected, **at_once},
    }  # fmt: skip
