"""Many nodes on simulated time, with faults.

Links delay, drop and duplicate messages or are cut in one direction.  Disks lose records that were not
synced.  Nodes freeze, are replaced, or restart with other seed nodes or with a clock that was set back.

The invariants are checked at every tick (see `World.watch`).
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.control_state import ControlState, lineage
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.actions import (
    Action,
    ConfigurationChanged,
    EvacuatedZonesChanged,
    InvariantViolated,
    LoadReported,
    MembersChanged,
    ReadList,
    Save,
    Send,
    TableChanged,
)
from hazelspring.node.messages import Message
from hazelspring.node.node import Node, NodeStart
from hazelspring.quota.credits import CounterUnavailable, CreditsGranted
from hazelspring.quota.limits import QuotaLimits
from hazelspring.registry.list_reader_role import LIST_READER
from hazelspring.registry.tables import ServerEntry

TICK, SYNC, REVOCATION = 0.05, 0.002, 5.0  # seconds between ticks, of a sync, and of `revocationMs`
STALE_PART = 0.9  # fraction of the revocation time, as in hazelspring.daemon.readiness
MAX_EXTRA_DELAY = 1.5  # seconds


@dataclass
class Disk:
    """The records that survive a crash: synced ones, and a random number of the first pending saves."""

    records: dict[str, bytes] = field(default_factory=dict)
    under_way: list[Save] = field(default_factory=list)
    sync: float = SYNC
    full: bool = False

    def apply(self, save: Save) -> None:
        for name, body in save.records.items():
            if body is None:
                self.records.pop(name, None)
            else:
                self.records[name] = body


@dataclass
class Machine:
    info: NodeInfo
    disk: Disk | None
    core: Node | None = None
    start_count: int = 0
    seen: int = -1  # the latest version since the last start
    on_message: list[Action] = field(default_factory=list)
    seeds: list[str] = field(default_factory=lambda: ["d1", "d2", "d3"])
    # callbacks that are deferred while the node is frozen; None if it is not frozen
    frozen: list[Callable[[], None]] | None = None


@dataclass
class Call:
    """An operator's call and its result; `version` is the version of the state that settled it."""

    kind: str
    at: float
    machine: str
    number: int = -1
    digest: bytes = b""
    zone: str = ""
    evacuate: bool = False
    ended: float = 1e9
    done: ProposalOutcome | None = None

    @property
    def succeeded(self) -> bool:
        return self.done is not None and self.done.succeeded

    @property
    def version(self) -> int:
        return self.done.state.version if self.done is not None and self.done.state is not None else -1


def body_of(number: int, mark: str) -> bytes:
    """The body of a configuration that an operator puts."""
    return json.dumps({"versionNumber": f"r{number}", "mark": mark}).encode()


class World:
    pace = TICK

    def __init__(
        self,
        core: int,
        others: int,
        seed: int = 1,
        drop: float = 0.0,
        zones: int = 4,
        odd: float = 0.0,
        diskless: frozenset[str] = frozenset(),
    ) -> None:
        """Create and start the nodes d1, d2 and so on, of which the first `core` have disks.

        `drop` is the fraction of messages that are lost.  `odd` is the fraction that are delayed by up to
        MAX_EXTRA_DELAY, and also the fraction that arrive twice.  `diskless` names nodes among the first `core`
        that have no disk.
        """
        self.random, self.drop, self.odd, self.now = random.Random(seed), drop, odd, 100.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.machines: dict[str, Machine] = {}
        self.cut: set[tuple[str, str]] = set()
        self.calls: dict[int, Call] = {}
        self.left: set[int] = set()  # tokens of calls whose callers were seen to leave
        self.tokens = itertools.count(1)
        self.decided: dict[int, ControlState] = {}  # by version, as first seen at any node
        self.listing: dict[str, dict[str, ServerEntry]] | None = {
            "shop": {"i-1": ServerEntry("i-1", "s:1", "z0", True, 2, "v1")}
        }
        self.breaches: list[str] = []
        for n in range(core + others):
            zone = n % zones
            disk = n < core and f"d{n + 1}" not in diskless
            info = NodeInfo(f"d{n + 1}", f"z{zone}", "east" if zone % 2 else "west", int(disk), 0)
            self.machines[info.ip] = Machine(info, Disk() if disk else None)
        for name in self.machines:
            self.start(name, first=True)

    # --- time -------------------------------------------------------------------------------------

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.order), what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = end

    # --- starts and stops -------------------------------------------------------------------------

    def start(self, name: str, first: bool = False, clock: int = 0) -> None:
        """Start a node; `clock` is subtracted from its incarnation, as if its clock had been set back."""
        machine = self.machines[name]
        machine.start_count += 1
        incarnation = 100_000 + machine.start_count * 100 + (machine.disk is not None) - clock
        machine.info = NodeInfo(name, machine.info.zone, machine.info.region, self.disk_number(), incarnation)
        if machine.disk is None:
            machine.info = NodeInfo(name, machine.info.zone, machine.info.region, 0, incarnation)
        start = NodeStart(
            machine.info,
            machine.seeds,
            first,
            dict(machine.disk.records) if machine.disk is not None else {},
        )
        machine.core = core = self.make(start)
        core.ready, machine.seen, machine.frozen = True, core.control.acceptor.version, None
        self.tick(name, core)

    def make(self, start: NodeStart) -> Node:
        return Node(self.now, start, QuotaLimits().window, lambda tenant: 30.0)

    def disk_number(self) -> int:
        return next(self.tokens) + 1_000_000  # unique, like the random number of a real disk

    def kill(self, name: str) -> None:
        machine = self.machines[name]
        machine.core, machine.frozen = None, None
        if machine.disk is not None:
            for save in machine.disk.under_way:
                if self.random.random() < 0.5:
                    break
                machine.disk.apply(save)
            machine.disk.under_way = []

    def wipe(self, name: str) -> None:
        self.kill(name)
        if self.machines[name].disk is not None:
            self.machines[name].disk = Disk()

    def remove(self, name: str) -> None:
        """Remove a machine and its disk permanently."""
        self.kill(name)
        del self.machines[name]

    def freeze(self, name: str) -> None:
        """Suspend a node; its messages and timers are deferred until `thaw`."""
        self.machines[name].frozen = self.machines[name].frozen or []

    def thaw(self, name: str) -> None:
        machine = self.machines[name]
        waiting, machine.frozen = machine.frozen or [], None
        for what in waiting:
            what()

    def add(self, name: str, zone: int = 1, seeds: list[str] | None = None) -> None:
        """Add a machine with an empty disk and start it."""
        info = NodeInfo(name, f"z{zone}", "east" if zone % 2 else "west", 1, 0)
        self.machines[name] = Machine(info, Disk(), seeds=seeds or ["d1", "d2", "d3"])
        self.start(name)

    def unless_frozen(self, name: str, core: Node, what: Callable[[], None]) -> None:
        """Call `what` now, or once the node is thawed; do nothing if this run of the node has ended."""
        machine = self.machines.get(name)
        if machine is None or machine.core is not core:
            return
        if machine.frozen is not None:
            machine.frozen.append(lambda: self.unless_frozen(name, core, what))
        else:
            what()

    def up(self) -> list[str]:
        return [name for name, machine in self.machines.items() if machine.core is not None]

    def tick(self, name: str, core: Node) -> None:
        def go() -> None:
            self.actions(name, core.tick(self.now))
            self.watch(name, core)
            self.at(self.now + self.pace, lambda: self.tick(name, core))

        self.unless_frozen(name, core, go)

    # --- actions ----------------------------------------------------------------------------------

    def actions(self, name: str, actions: list[Action]) -> None:
        machine, core = self.machines[name], self.machines[name].core
        assert core is not None
        for action in actions:
            match action:
                case Send():
                    self.send(name, action.to, action.message)
                case Save():
                    self.save(name, core, action)
                case ReadList():
                    self.actions(
                        name, core.on_list_read(self.now, int(self.now * 1000), self.listing, action.number)
                    )
                case ConfigurationChanged() | EvacuatedZonesChanged() | MembersChanged():
                    self.check_version(name, core)
                case TableChanged():
                    pass
                case ProposalOutcome():
                    self.done(action)
                case InvariantViolated():
                    self.breaches.append(f"{self.now:.2f} {name}: invariant {action.name} is violated")
                case CreditsGranted() | CounterUnavailable() | LoadReported():
                    machine.on_message.append(action)

    def send(self, source: str, to: str, message: Message) -> None:
        if to not in self.machines or self.random.random() < self.drop:
            return
        here, there = self.machines[source].info, self.machines[to].info
        delay = self.delay(here, there) * (1 + self.random.random() * 0.2)

        def arrive() -> None:
            core = self.machines[to].core if to in self.machines else None
            if core is not None and (source, to) not in self.cut:
                self.unless_frozen(
                    to, core, lambda: self.actions(to, core.on_message(self.now, source, message))
                )

        if self.odd and self.random.random() < self.odd:
            delay += self.random.random() * MAX_EXTRA_DELAY
        self.at(self.now + delay, arrive)
        if self.odd and self.random.random() < self.odd:
            self.at(self.now + delay + self.random.random() * MAX_EXTRA_DELAY, arrive)

    def delay(self, here: NodeInfo, there: NodeInfo) -> float:
        """The minimum transit time of a message in seconds."""
        return 0.02 if here.region != there.region else 0.001

    def save(self, name: str, core: Node, save: Save) -> None:
        disk = self.machines[name].disk
        assert disk is not None
        disk.under_way.append(save)

        def synced() -> None:
            if save not in disk.under_way:
                return  # the node was killed in the meantime
            disk.under_way.remove(save)
            succeeded = not disk.full
            if succeeded:
                disk.apply(save)
            self.unless_frozen(
                name, core, lambda: self.actions(name, core.on_saved(self.now, save.serial, succeeded))
            )

        self.at(self.now + disk.sync, synced)

    # --- the operator -----------------------------------------------------------------------------

    def call(self, call: Call, begin: Callable[[Node, int], list[Action]]) -> int:
        core, token = self.machines[call.machine].core, next(self.tokens)
        self.calls[token] = call
        if core is not None:

            def read_call() -> None:
                if token not in self.left:
                    self.actions(call.machine, begin(core, token))

            self.unless_frozen(call.machine, core, read_call)
        return token

    def leave(self, token: int) -> None:
        """Let the caller of a call leave without an answer; its node sees it before all else that it reads."""
        call = self.calls[token]
        machine = self.machines[call.machine]
        core = machine.core
        if call.done is not None or core is None:
            return
        self.left.add(token)

        def withdraw() -> None:
            if machine.core is core:
                self.actions(call.machine, core.withdraw(self.now, token))

        if machine.frozen is None:
            withdraw()
        else:
            machine.frozen.insert(0, withdraw)

    def put(self, name: str, number: int, mark: str = "") -> int:
        body = body_of(number, mark)
        call = Call("put", self.now, name, number, mark.encode())
        return self.call(call, lambda core, token: core.put_configuration(self.now, token, body))

    def evacuate(self, name: str, zone: str, evacuate: bool) -> int:
        call = Call("evacuate", self.now, name, zone=zone, evacuate=evacuate)
        return self.call(call, lambda core, token: core.set_evacuation(self.now, token, zone, evacuate))

    def read(self, name: str) -> int:
        call = Call("read", self.now, name)
        return self.call(call, lambda core, token: core.read_configuration(self.now, token))

    def retire(self, name: str, member: str) -> int:
        """Remove a member from the core by an operator's call at the node `name`."""
        call = Call("retire", self.now, name)
        return self.call(call, lambda core, token: core.retire_member(self.now, token, member))

    def done(self, done: ProposalOutcome) -> None:
        """Record the result of a call; its state must not be older than those of earlier calls."""
        call = self.calls[done.token]
        call.ended, call.done = self.now, done
        if done.state is None:
            return
        core = self.machines[call.machine].core
        if core is not None and lineage(done.state.version) < core.control.acceptor.highest_lineage:
            self.breaches.append(
                f"{self.now:.2f} {call.kind} was settled by a lineage that is known to be over"
            )
        before = [c for c in self.calls.values() if c.ended < call.at and c.version > call.version]
        before = [c for c in before if c.done is None or not self.still_holds(call, c.done.state)]
        if before:
            self.breaches.append(
                f"{self.now:.2f} {call.kind} was settled by {call.version} after {before[0]}"
            )
        if call.kind == "put" and done.succeeded and done.state.configuration_version < call.number:
            self.breaches.append(f"{self.now:.2f} {call.number} was acknowledged by {done.state}")
        same = [
            c
            for c in self.calls.values()
            if c.kind == "put"
            and c.succeeded
            and c.number == call.number == self.number(c) == done.state.configuration_version
        ]
        if call.kind == "put" and done.succeeded and len({c.digest for c in same}) > 1:
            self.breaches.append(f"{self.now:.2f} two bodies were acknowledged as {call.number}")

    @staticmethod
    def still_holds(call: Call, state: ControlState | None) -> bool:
        """Whether the confirmation of a put is also true in another state.

        It is if a higher version number, or the same body under the same number, is in force there.  The put
        then changed nothing, so that it may be ordered after that state as well as before it.
        """
        if call.kind != "put" or not call.succeeded or state is None:
            return False
        same = state.configuration_digest == configuration_digest(body_of(call.number, call.digest.decode()))
        return state.configuration_version > call.number or (
            state.configuration_version == call.number and same
        )

    @staticmethod
    def number(call: Call) -> int:
        """The number of the configuration in force when a call was settled; -1 without a state."""
        return (
            call.done.state.configuration_version
            if call.done is not None and call.done.state is not None
            else -1
        )

    def mark_read(self, token: int) -> str:
        """The mark in the configuration body that a call read."""
        done = self.calls[token].done
        assert done is not None and done.configuration is not None
        return str(json.loads(zlib.decompress(done.configuration))["mark"])

    # --- invariants -------------------------------------------------------------------------------

    def check_version(self, name: str, core: Node) -> None:
        """Check that no node returns to an older version while it runs, and that a version has one state."""
        state, machine = core.control.acceptor.state, self.machines[name]
        assert state is not None
        if state.version < machine.seen:
            self.breaches.append(f"{self.now:.2f} {name} went back to {state.version} from {machine.seen}")
        machine.seen = state.version
        if state.version > 0 and self.decided.setdefault(state.version, state) != state:
            self.breaches.append(f"{self.now:.2f} {name} knows {state}, not {self.decided[state.version]}")

    def newest(self, before: float = 1e9) -> int:
        """The version of the newest state that settled a call which ended by `before`."""
        return max((c.version for c in self.calls.values() if c.ended <= before), default=-1)

    def fresh(self, name: str) -> bool:
        core = self.machines[name].core
        return core is not None and self.now <= core.confirmed_at(self.now) + STALE_PART * REVOCATION

    def watch(self, name: str, core: Node) -> None:
        """Check two invariants at a tick.

        A node that admits keyed requests knows every change that was acknowledged REVOCATION seconds ago or
        earlier, and each role has at most one holder.
        """
        if self.fresh(name) and core.control.acceptor.version < self.newest(self.now - REVOCATION):
            self.breaches.append(
                f"{self.now:.2f} {name} admits keyed requests under an outdated configuration"
            )
        for role in (LIST_READER, 1, 2):
            holding = [d for d in self.up() if self.holds(d, role)]
            if len(holding) > 1:
                self.breaches.append(f"{self.now:.2f} role {role} is held by several nodes: {holding}")

    def holds(self, name: str, role: int) -> bool:
        core = self.machines[name].core
        return (
            core is not None and self.machines[name].frozen is None and core.roles.held_until(role) > self.now
        )
