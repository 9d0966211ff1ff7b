"""Invariants of consensus that hold under any fault, checked at every tick; skewed clocks and slow links."""

from __future__ import annotations

import json
import random
import zlib
from bisect import bisect
from typing import Any

from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.control_state import NO_CONFIGURATION
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.messages import Message
from hazelspring.node.node import Node, NodeStart

from .chaos_days import Schedule
from .world import Call, Machine, World

ROLES = 3  # one of them reads the platform's list; the cost of a tick grows with their number
TIMED_METHODS = [
    "tick",
    "on_message",
    "on_saved",
    "put_configuration",
    "set_evacuation",
    "retire_member",
    "read_configuration",
    "lease_credits",
    "on_list_read",
    "drain",
]  # methods whose first argument is the time


class SkewedNode:
    """A node whose clock has an offset and runs a little faster or slower."""

    def __init__(self, node: Node, began: float, local: float, rate: float) -> None:
        self.node, self.began, self.local_start, self.rate = node, began, local, rate

    def local(self, now: float) -> float:
        return self.local_start + (now - self.began) * self.rate

    def confirmed_at(self, now: float) -> float:
        return self.began + (self.node.confirmed_at(self.local(now)) - self.local_start) / self.rate

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self.node, name)
        if name in TIMED_METHODS:
            return lambda now, *rest: attribute(self.local(now), *rest)
        return attribute


class CheckedWorld(World):
    """A simulated world that checks the invariants; every violation is appended to `breaches`."""

    pace = 0.1

    def __init__(self, schedule: Schedule) -> None:
        # `late_copies`: the fraction of messages that arrive once more, up to 8 s later
        self.schedule, self.extra_delays, self.late_copies = schedule, dict[tuple[str, str], float](), 0.0
        self.clock_random = random.Random(schedule.seed + 1)
        # versions that were newer than all that callers had got before, each with the time when one got it
        self.acknowledged_versions: list[tuple[float, int]] = []
        self.put_digests: dict[int, bytes] = {}  # digests of the bodies that were put, by token
        # times since which a body is acknowledged, by its number and digest
        self.acknowledged_at: dict[tuple[int, bytes], float] = {}
        self.puts: list[tuple[int, str]] = []
        self.removed: dict[str, Machine] = {}  # machines that were removed, with their disks
        # until when machines count as unavailable: without end, or for `CATCH_UP` after they are back
        self.unavailable_until: dict[str, float] = {}
        self.highest_number, self.next_node = 5, 40
        diskless = frozenset({f"d{1 + schedule.seed % 3}"} if schedule.diskless_seed else ())
        super().__init__(
            schedule.core, schedule.others, schedule.seed, schedule.drop, odd=schedule.odd, diskless=diskless
        )

    # --- clocks and links -----------------------------------------------------------------------------

    def make(self, start: NodeStart) -> Node:
        core = super().make(start)
        core.roles.role_count = ROLES
        if not self.schedule.skewed_clocks:
            return core
        local, rate = self.clock_random.choice((7.0, 100.0, 5e5)), self.clock_random.uniform(0.98, 1.02)
        node = Node(local, start, core.quota_counter.length, core.tenant_limit)
        node.roles.role_count = ROLES
        return SkewedNode(node, self.now, local, rate)  # type: ignore[return-value]

    def delay(self, here: NodeInfo, there: NodeInfo) -> float:
        most = self.extra_delays.get((here.ip, there.ip), 0.0)
        return super().delay(here, there) + most * self.random.random()

    def send(self, source: str, to: str, message: Message) -> None:
        super().send(source, to, message)
        if self.late_copies and self.random.random() < self.late_copies:

            def send_copy() -> None:
                if source in self.machines:
                    World.send(self, source, to, message)

            self.at(self.now + 8 * self.random.random(), send_copy)

    def holds(self, name: str, role: int) -> bool:
        core: Any = self.machines[name].core
        if core is None or self.machines[name].frozen is not None:
            return False
        now = core.local(self.now) if isinstance(core, SkewedNode) else self.now
        return bool(core.roles.held_until(role) > now)

    # --- invariants -----------------------------------------------------------------------------------

    def put(self, name: str, number: int, mark: str = "") -> int:
        token = super().put(name, number, mark)
        self.put_digests[token] = configuration_digest(
            json.dumps({"versionNumber": f"r{number}", "mark": mark}).encode()
        )
        self.puts.append((number, mark))
        return token

    def report_breach(self, what: str) -> None:
        if len(self.breaches) < 20:
            self.breaches.append(f"{self.now:.3f} {what}")

    def done(self, done: ProposalOutcome) -> None:
        super().done(done)
        call, state = self.calls[done.token], done.state
        if state is None:
            return
        if not self.acknowledged_versions or state.version > self.acknowledged_versions[-1][1]:
            self.acknowledged_versions.append((self.now, state.version))
        if state.version > 0 and self.decided.setdefault(state.version, state) != state:
            self.report_breach(f"{call.kind} was settled by {state}, not {self.decided[state.version]}")
        if (
            call.kind == "evacuate"
            and done.succeeded
            and (call.zone in state.evacuated_zones) is not call.evacuate
        ):
            self.report_breach(f"{call} was confirmed, but is not in effect")
        if call.kind == "read" and done.succeeded:
            shown = (
                configuration_digest(zlib.decompress(done.configuration))
                if done.configuration is not None
                else NO_CONFIGURATION
            )
            if shown != state.configuration_digest:
                self.report_breach(f"{call} returned a body that does not match its state")
        if call.kind != "put":
            return
        key = (call.number, self.body_digest(done.token, call))
        if (
            done.succeeded
            and state.configuration_version == call.number
            and state.configuration_digest != key[1]
        ):
            self.report_breach(f"{call} was confirmed, but {state} has another body")
        if done.succeeded:
            self.acknowledged_at[key] = min(self.now, self.acknowledged_at.get(key, self.now))
        if done.conflict and self.acknowledged_at.get(key, 1e9) < call.at:
            self.report_breach(
                f"{call} was confirmed at {self.acknowledged_at[key]:.3f}, and refused afterwards"
            )
        if done.conflict and state.configuration_digest == key[1]:
            self.report_breach(f"{call} was refused, but its body is in force")

    def body_digest(self, token: int, call: Call) -> bytes:
        text = {"versionNumber": f"r{call.number}", "mark": call.digest.decode()}
        return self.put_digests.setdefault(token, configuration_digest(json.dumps(text).encode()))

    def newest(self, before: float = 1e9) -> int:
        """Return the newest version that a caller got before a time; -1 without any."""
        at = bisect(self.acknowledged_versions, (before, -1))
        return self.acknowledged_versions[at - 1][1] if at else -1

    def watch(self, name: str, core: Node) -> None:
        """Check the invariants at a tick.

        A node knows every version that a caller got before the time as of which the node is confirmed to be
        up to date.  Each role has at most one holder.
        """
        if core.control.acceptor.version < self.newest(core.confirmed_at(self.now)):
            self.report_breach(f"{name} is confirmed as of {core.confirmed_at(self.now):.3f}, but outdated")
        self.check_new_state(name, core)
        for role in range(ROLES):
            if self.holds(name, role):
                holding = [d for d in self.up() if d != name and self.holds(d, role)]
                if holding:
                    self.report_breach(f"role {role} is held by several nodes: {[name, *holding]}")

    def check_new_state(self, name: str, core: Node) -> None:
        state = core.control.acceptor.state
        if state is None or state.version == self.machines[name].seen:
            return
        self.check_version(name, core)
        old = self.decided.get(state.version - 1)
        if old is not None and state.version > 1:
            if (
                state.previous_members != old.members
                or len({m.ip for m in {*state.members} ^ {*old.members}}) > 1
            ):
                self.report_breach(f"{state} does not follow from {old}")
            if state.configuration_version < old.configuration_version or (
                state.configuration_version == old.configuration_version
                and state.configuration_digest != old.configuration_digest
            ):
                self.report_breach(
                    f"{state} has an older configuration than {old}, or another body under its number"
                )
