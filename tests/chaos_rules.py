"""What must hold at each moment of a drawn day, whatever is in trouble; clocks of doors, and late links."""

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

from .chaos_days import Day
from .world import Call, Machine, World

ROLES = 3  # one of them that of asking the platform; what each tick costs goes by their number
TIMED = [
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
]  # steps that are told the time


class Clocked:
    """A core whose clock stands elsewhere, and goes a little faster or slower."""

    def __init__(self, core: Node, began: float, local: float, rate: float) -> None:
        self.core, self.began, self.at, self.rate = core, began, local, rate

    def local(self, now: float) -> float:
        return self.at + (now - self.began) * self.rate

    def confirmed_at(self, now: float) -> float:
        return self.began + (self.core.confirmed_at(self.local(now)) - self.at) / self.rate

    def __getattr__(self, name: str) -> Any:
        found = getattr(self.core, name)
        if name in TIMED:
            return lambda now, *rest: found(self.local(now), *rest)
        return found


class Watched(World):
    pace = 0.1

    def __init__(self, day: Day) -> None:
        self.day, self.lags, self.late = day, dict[tuple[str, str], float](), 0.0
        self.clock = random.Random(day.seed + 1)
        self.acks: list[tuple[float, int]] = []  # when a newer version than before was told to a caller
        self.bodies: dict[int, bytes] = {}  # digests of what was put, by token
        self.acked: dict[tuple[int, bytes], float] = {}  # since when a body under its number is acknowledged
        self.puts: list[tuple[int, str]] = []
        self.gone: dict[str, Machine] = {}  # machines that were taken away, with their disks
        self.troubled: dict[str, float] = {}  # machines that are lost, or back for less than `CATCH_UP`
        self.top, self.new = 5, 40
        bare = frozenset({f"d{1 + day.seed % 3}"} if day.bare else ())
        super().__init__(day.core, day.others, day.seed, day.drop, odd=day.odd, bare=bare)

    # --- its own clocks and links -------------------------------------------------------------------------------

    def make(self, start: NodeStart) -> Node:
        core = super().make(start)
        core.roles.role_count = ROLES
        if not self.day.clocks:
            return core
        local, rate = self.clock.choice((7.0, 100.0, 5e5)), self.clock.uniform(0.98, 1.02)
        begun = Node(local, start, core.quota_counter.length, core.tenant_limit)
        begun.roles.role_count = ROLES
        return Clocked(begun, self.now, local, rate)  # type: ignore[return-value]

    def delay(self, here: NodeInfo, there: NodeInfo) -> float:
        most = self.lags.get((here.ip, there.ip), 0.0)
        return super().delay(here, there) + most * self.random.random()

    def send(self, source: str, to: str, message: Message) -> None:
        super().send(source, to, message)
        if self.late and self.random.random() < self.late:  # once more, much later

            def again() -> None:
                if source in self.machines:
                    World.send(self, source, to, message)

            self.at(self.now + 8 * self.random.random(), again)

    def holds(self, name: str, role: int) -> bool:
        core: Any = self.machines[name].core
        if core is None or self.machines[name].frozen is not None:
            return False
        now = core.local(self.now) if isinstance(core, Clocked) else self.now
        return bool(core.roles.held_until(role) > now)

    # --- what must hold -------------------------------------------------------------------------------------------

    def put(self, name: str, number: int, mark: str = "") -> int:
        token = super().put(name, number, mark)
        self.bodies[token] = configuration_digest(
            json.dumps({"versionNumber": f"r{number}", "mark": mark}).encode()
        )
        self.puts.append((number, mark))
        return token

    def breach(self, what: str) -> None:
        if len(self.breaches) < 20:
            self.breaches.append(f"{self.now:.3f} {what}")

    def done(self, done: ProposalOutcome) -> None:
        super().done(done)
        call, state = self.calls[done.token], done.state
        if state is None:
            return
        if not self.acks or state.version > self.acks[-1][1]:
            self.acks.append((self.now, state.version))
        if state.version > 0 and self.decided.setdefault(state.version, state) != state:
            self.breach(f"{call.kind} was settled by {state}, not {self.decided[state.version]}")
        if (
            call.kind == "evacuate"
            and done.succeeded
            and (call.zone in state.evacuated_zones) is not call.closed
        ):
            self.breach(f"{call} was confirmed and is not so")
        if call.kind == "read" and done.succeeded:
            shown = (
                configuration_digest(zlib.decompress(done.configuration))
                if done.configuration is not None
                else NO_CONFIGURATION
            )
            if shown != state.configuration_digest:
                self.breach(f"{call} showed another body")
        if call.kind != "put":
            return
        key = (call.number, self.body(done.token, call))
        if (
            done.succeeded
            and state.configuration_version == call.number
            and state.configuration_digest != key[1]
        ):
            self.breach(f"{call} was confirmed, and {state} has another body")
        if done.succeeded:
            self.acked[key] = min(self.now, self.acked.get(key, self.now))
        if done.conflict and self.acked.get(key, 1e9) < call.at:
            self.breach(f"{call} was confirmed before at {self.acked[key]:.3f}, and is refused now")
        if done.conflict and state.configuration_digest == key[1]:
            self.breach(f"{call} was refused, and is in force")

    def body(self, token: int, call: Call) -> bytes:
        text = {"versionNumber": f"r{call.number}", "mark": call.digest.decode()}
        return self.bodies.setdefault(token, configuration_digest(json.dumps(text).encode()))

    def newest(self, before: float = 1e9) -> int:
        at = bisect(self.acks, (before, -1))
        return self.acks[at - 1][1] if at else -1

    def watch(self, name: str, core: Node) -> None:
        """Freshness is what it says: all that was told to a caller up to then is known; a duty has one holder."""
        if core.control.acceptor.version < self.newest(core.confirmed_at(self.now)):
            self.breach(f"{name} takes itself for fresh at {core.confirmed_at(self.now):.3f} and is not")
        self.seen_by(name, core)
        for role in range(ROLES):
            if self.holds(name, role):
                holding = [d for d in self.up() if d != name and self.holds(d, role)]
                if holding:
                    self.breach(f"duty {role} is held by {[name, *holding]}")

    def seen_by(self, name: str, core: Node) -> None:
        state = core.control.acceptor.state
        if state is None or state.version == self.machines[name].seen:
            return
        self.saw(name, core)
        old = self.decided.get(state.version - 1)
        if old is not None and state.version > 1:
            if (
                state.previous_members != old.members
                or len({m.ip for m in {*state.members} ^ {*old.members}}) > 1
            ):
                self.breach(f"{state} does not follow from {old}")
            if state.configuration_version < old.configuration_version or (
                state.configuration_version == old.configuration_version
                and state.configuration_digest != old.configuration_digest
            ):
                self.breach(f"{state} goes back from {old}")
