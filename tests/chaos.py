"""Applies random schedules of faults to consensus on simulated time, and checks the recovery afterwards.

A schedule with `within_tolerance` keeps within the tolerated losses.  Other schedules exceed them, but never
lose more disks than a majority tolerates.
"""

from __future__ import annotations

from collections.abc import Callable

import cbor2

from hazelspring.consensus.control_state import ControlState

from .chaos_days import Schedule, Step
from .cluster_invariants import ROLES, CheckedWorld
from .world import SYNC, Disk

CATCH_UP = 4.5  # seconds for which a machine still counts as unavailable after it is back
# seconds from the last fault until everything must have recovered; a retired disk waits for 5 s of them
SETTLE = 12.0


class Chaos(CheckedWorld):
    """A simulated world that applies the steps of a schedule and checks that it recovers afterwards."""

    # --- which machines may fail ----------------------------------------------------------------------

    def latest_state(self) -> ControlState | None:
        return self.decided[max(self.decided)] if self.decided else None

    def tolerated_losses(self) -> int:
        state = self.latest_state()
        size = len(state.members) if state is not None else self.schedule.core - self.schedule.diskless_seed
        return 0 if size < 3 else 1 if size < 5 else 2

    def may_fail(self, name: str) -> bool:
        """Whether a machine may become unavailable for a while."""
        if not self.schedule.within_tolerance or self.machines[name].disk is None:
            return True
        unavailable = {n for n, until in self.unavailable_until.items() if until > self.now}
        return name in unavailable or len(unavailable) < self.tolerated_losses()

    def may_lose_disk(self, name: str) -> bool:
        """Whether the disk of a machine may be lost.

        No set of members that is in force, or may become so, may lose more disks than it tolerates.
        """
        state = self.latest_state()
        if state is None:
            return False
        states = [state]
        for machine in [*self.machines.values(), *self.removed.values()]:
            if machine.core is not None:
                states += [pair[1] for pair in (machine.core.control.acceptor.accepted,) if pair is not None]
        sets = {members for s in states if s.version >= state.version for members in s.member_sets()}
        for members in sets:
            tolerated = 0 if len(members) < 3 else 1 if len(members) < 5 else 2
            lost = [m for m in members if m.ip == name or not self.has_member_disk(m.ip, m.disk_id)]
            if len(lost) > tolerated:
                return False
        return self.may_fail(name)

    def has_member_disk(self, ip: str, disk: int) -> bool:
        """Whether a machine still has the disk with which it is a member."""
        machine = self.machines.get(ip)
        if machine is None or machine.disk is None or "disk" not in machine.disk.records:
            return False
        return machine.info.disk_id == disk or self.read_disk_id(machine.disk) == disk

    @staticmethod
    def read_disk_id(disk: Disk) -> int:
        return int(cbor2.loads(disk.records["disk"])[0])

    def mark_unavailable(self, name: str) -> None:
        self.unavailable_until[name] = 1e9

    def mark_recovered(self, name: str) -> None:
        if name in self.unavailable_until:
            self.unavailable_until[name] = self.now + CATCH_UP

    # --- the steps of a schedule ----------------------------------------------------------------------

    def nodes_with_disk(self) -> list[str]:
        return sorted(name for name, machine in self.machines.items() if machine.disk is not None)

    def apply(self, step: Step) -> None:
        method: Callable[[str, Step], None] | None = getattr(self, f"apply_{step.kind}", None)
        with_disk, all_names = self.nodes_with_disk(), sorted(self.machines)
        names = (
            all_names
            if step.kind
            in ("put", "put_conflicting", "put_again", "put_lower", "evacuate", "read", "cut_link")
            else with_disk
        )
        if method is not None and names:
            method(names[step.target % len(names)], step)
        self.run(step.pause)

    def apply_put(self, name: str, step: Step) -> None:
        self.highest_number += 1 + step.variant % 3
        self.put(name, self.highest_number, "one")

    def apply_put_conflicting(self, name: str, step: Step) -> None:
        self.apply_put(name, step)
        self.put(
            sorted(self.machines)[(step.variant * 7 + 1) % len(self.machines)], self.highest_number, "other"
        )

    def apply_put_again(self, name: str, step: Step) -> None:
        if self.puts:
            self.put(name, *self.puts[-1 - step.variant % min(len(self.puts), 12 if step.variant % 2 else 2)])

    def apply_put_lower(self, name: str, step: Step) -> None:
        self.put(name, max(1, self.highest_number - 1 - step.variant % 4), "late")

    def apply_evacuate(self, name: str, step: Step) -> None:
        self.evacuate(name, f"z{step.variant % 2}", step.variant % 4 < 2)

    def apply_read(self, name: str, step: Step) -> None:
        self.read(name)

    def apply_many_changes(self, name: str, step: Step) -> None:
        names = sorted(self.machines)
        for n in range(20 + 4 * step.variant):
            self.apply_put(names[(step.target + n) % len(names)], step)
            self.evacuate(names[(step.variant + n) % len(names)], f"z{n % 2}", n % 4 < 2)
            self.run(0.06)

    def apply_calls_at_all_nodes(self, name: str, step: Step) -> None:
        """Operators call all nodes almost at once: messages of different proposals can overtake others."""
        for n, machine in enumerate(sorted(self.machines)):
            self.apply_read(machine, step) if (n + step.variant) % 3 else self.apply_put(machine, step)
            self.run(step.pause / 20)

    def apply_kill(self, name: str, step: Step) -> None:
        if self.may_fail(name):
            self.mark_unavailable(name)
            self.kill(name)

    def apply_power_loss(self, name: str, step: Step) -> None:
        """All machines, or half of them, lose power while calls are pending; most start again soon."""
        self.apply_calls_at_all_nodes(name, step)
        self.run((0.0, 0.003, 0.01, 0.05)[step.target % 4])
        names = sorted(self.machines)[step.target % 2 :: 1 + step.variant % 2]
        for machine in names:
            self.kill(machine)
        self.run(step.pause)
        for machine in names if self.schedule.within_tolerance else names[step.variant % 3 :]:
            self.start(machine)

    def apply_restart(self, name: str, step: Step) -> None:
        down = [n for n in sorted(self.machines) if self.machines[n].core is None]
        if not down:
            return
        name = down[step.target % len(down)]
        up = self.up()
        if step.variant % 3 == 0 and len(up) > 1:
            self.machines[name].seeds = [up[step.variant % len(up)], up[step.target % len(up)], "d2"]
        # until a state is decided, a bootstrap node with records of its own may be started with `first` again
        first = self.schedule.from_start and self.latest_state() is None and bool(self.disk_records(name))
        self.start(name, first=first, clock=250 * (step.variant % 2))
        self.mark_recovered(name)

    def disk_records(self, name: str) -> dict[str, bytes]:
        disk = self.machines[name].disk
        return disk.records if disk is not None else {}

    def apply_cut_link(self, name: str, step: Step) -> None:
        other = sorted(self.machines)[step.variant % len(self.machines)]
        if other == name or not (self.may_fail(name) or self.may_fail(other)):
            return
        self.mark_unavailable(name if self.may_fail(name) else other)
        self.cut.add((name, other))
        if step.variant % 2:
            self.cut.add((other, name))

    def apply_isolate(self, name: str, step: Step) -> None:
        if self.may_fail(name):
            self.mark_unavailable(name)
            for other in set(self.machines) - {name}:
                self.cut |= [{(other, name)}, {(name, other)}, {(other, name), (name, other)}][
                    step.variant % 3
                ]

    def apply_isolate_group(self, name: str, step: Step) -> None:
        """A few members and all nodes without a disk are cut off together, and operators call these nodes."""
        with_disk = self.nodes_with_disk()
        members = [
            with_disk[(step.target + n) % len(with_disk)]
            for n in range(max(1, len(with_disk) // 2 - step.variant % 2))
        ]
        if self.schedule.within_tolerance and not (members := [n for n in members[:1] if self.may_fail(n)]):
            return
        side = {*members, *(n for n, machine in self.machines.items() if machine.disk is None)}
        for one in side:
            self.mark_unavailable(one)
            for other in set(self.machines) - side:
                self.cut |= {(one, other), (other, one)}
        for n, one in enumerate(sorted(side)):
            self.apply_put_conflicting(one, step) if (n + step.variant) % 2 else self.apply_evacuate(
                one, step
            )
            self.read(one)

    def apply_restore_links(self, name: str, step: Step) -> None:
        touched = {n for pair in self.cut for n in pair}
        self.cut.clear()
        self.extra_delays.clear()
        for n in touched & set(self.machines):
            if self.machines[n].core is not None and self.machines[n].frozen is None:
                self.mark_recovered(n)

    def apply_slow_disk(self, name: str, step: Step) -> None:
        self.disturb_disk(name, 0.05 * (1 + step.variant), False)

    def apply_stall_disk(self, name: str, step: Step) -> None:
        self.disturb_disk(name, 1.5 + step.variant % 6, False)

    def apply_fill_disk(self, name: str, step: Step) -> None:
        self.disturb_disk(name, SYNC, True)

    def disturb_disk(self, name: str, sync: float, full: bool) -> None:
        if self.may_fail(name) and (disk := self.machines[name].disk) is not None:
            self.mark_unavailable(name)
            disk.sync, disk.full = sync, full

    def apply_repair_disks(self, name: str, step: Step) -> None:
        for n in self.nodes_with_disk():
            disk = self.machines[n].disk
            if disk is not None and (disk.full or disk.sync != SYNC):
                disk.full, disk.sync = False, SYNC
                self.mark_recovered(n)

    def apply_freeze(self, name: str, step: Step) -> None:
        if self.machines[name].core is not None and self.may_fail(name):
            self.mark_unavailable(name)
            self.freeze(name)
            if step.variant % 6 == 0:
                self.run(4.0 * (step.variant % 4 + 1))

    def apply_thaw(self, name: str, step: Step) -> None:
        for n in sorted(self.machines):
            if self.machines[n].frozen is not None:
                self.thaw(n)
                self.mark_recovered(n)

    def apply_replace(self, name: str, step: Step) -> None:
        if self.may_lose_disk(name):
            self.apply_remove(name, step)
            self.run(step.pause)
            up = self.up()
            if up:
                self.add(
                    f"d{self.next_node}", step.variant % 4, seeds=[name, up[step.variant % len(up)], up[0]]
                )
                self.mark_unavailable(f"d{self.next_node}")
                self.mark_recovered(f"d{self.next_node}")
                self.next_node += 1

    def apply_remove(self, name: str, step: Step) -> None:
        if self.may_lose_disk(name) and len(self.nodes_with_disk()) > 3:
            self.removed[name] = self.machines[name]
            self.remove(name)
            self.mark_unavailable(name)

    def apply_return_machine(self, name: str, step: Step) -> None:
        """A machine that was removed starts again with its disk."""
        if self.removed:
            name = sorted(self.removed)[step.target % len(self.removed)]
            if name not in self.machines:
                self.machines[name] = self.removed.pop(name)
                self.start(name)
                self.mark_recovered(name)

    def apply_wipe(self, name: str, step: Step) -> None:
        if self.may_lose_disk(name):
            self.mark_unavailable(name)
            self.wipe(name)
            self.run(step.pause)
            if step.variant % 2:
                self.start(name)
                self.mark_recovered(name)

    def apply_rolling_restart(self, name: str, step: Step) -> None:
        """The nodes with a disk are drained, killed and started again one after the other."""
        for one in self.nodes_with_disk()[step.target % 3 :]:
            core = self.machines[one].core
            if core is None or self.machines[one].frozen is not None or not self.may_fail(one):
                continue
            self.mark_unavailable(one)
            self.actions(one, core.drain(self.now))
            self.run(0.2 + step.pause / 4)
            self.kill(one)
            self.run(0.1 + step.pause / 4)
            self.start(one)
            self.mark_recovered(one)
            self.run(CATCH_UP if self.schedule.within_tolerance else step.pause)

    def apply_retire(self, name: str, step: Step) -> None:
        """Retire a member whose machine was removed or, beyond the tolerated losses, any member."""
        state = self.latest_state()
        if state is None:
            return
        removed = [m.ip for m in state.members if m.ip not in self.machines]
        if removed or (not self.schedule.within_tolerance and state.target_size > 1):
            ip = removed[0] if removed else state.members[step.variant % len(state.members)].ip
            self.retire(name, ip)
            for n in [n for n in self.unavailable_until if n == ip]:
                del self.unavailable_until[n]

    def apply_disorder_messages(self, name: str, step: Step) -> None:
        self.odd, self.late_copies = (0.0, 0.1, 0.4)[step.target % 3], (0.0, 0.0, 0.1)[step.variant % 3]

    def apply_delay_link(self, name: str, step: Step) -> None:
        """Messages from one node to another arrive late and out of order."""
        other = sorted(self.machines)[step.variant % len(self.machines)]
        if self.may_fail(name):
            self.mark_unavailable(name)
            self.extra_delays[name, other] = (0.05, 0.3, 1.2)[step.target % 3]
            self.cut.add((name, name))  # so that `apply_restore_links` marks the node as recovered

    # --- after the last step --------------------------------------------------------------------------

    def end_all_faults(self) -> None:
        """End all faults and start or thaw all machines that were not removed."""
        self.cut.clear()
        self.extra_delays.clear()
        self.odd = self.drop = self.late_copies = 0.0
        for name in sorted(self.machines):
            if (disk := self.machines[name].disk) is not None:
                disk.full, disk.sync = False, SYNC
            if self.machines[name].core is None:
                self.start(name)
            elif self.machines[name].frozen is not None:
                self.thaw(name)

    def check_recovery(self) -> None:
        """Check that the deployment works after all faults have ended.

        Every node accepts a put, and all nodes know the newest state.  The core has at least its target size,
        and is larger only while all its members have their disks.  Each role is held.
        """
        tokens = []
        for name in sorted(self.machines):
            self.highest_number += 1
            tokens.append(self.put(name, self.highest_number, "end"))
            self.run(0.1)
        self.run(3.2)
        for token in tokens:
            if not self.calls[token].succeeded:
                self.report_breach(f"failed after all faults had ended: {self.calls[token]}")
        state = self.latest_state()
        assert state is not None
        for name, machine in self.machines.items():
            assert machine.core is not None
            if (version := machine.core.control.acceptor.version) != state.version:
                self.report_breach(f"{name} knows version {version}, not {state.version}")
            if not self.schedule.within_tolerance and state.target_size < 3:
                continue
        dead = [
            m.ip
            for m in state.members
            if m.ip not in self.machines or not self.has_member_disk(m.ip, m.disk_id)
        ]
        if (dead and len(state.members) > state.target_size) or len(state.members) < state.target_size:
            self.report_breach(
                f"the core is {[m.ip for m in state.members]} with a target size of {state.target_size}, "
                f"{dead} have lost their disks"
            )
        for role in range(ROLES):
            if not any(self.holds(name, role) for name in self.up()):
                self.report_breach(f"role {role} is held by no node")

    def check_after_power_loss(self) -> None:
        """Check that a read succeeds after as many disks as tolerated are lost and all machines lose power.

        Both happen just after a change was sent.
        """
        with_disk = self.nodes_with_disk()
        self.highest_number += 1
        self.put(with_disk[0], self.highest_number, "last")
        self.run(0.04 + 0.01 * (self.schedule.seed % 10))
        for n in range(len(with_disk)):
            if self.may_lose_disk(with_disk[(self.schedule.seed + n) % len(with_disk)]):
                self.wipe(with_disk[(self.schedule.seed + n) % len(with_disk)])
        for name in sorted(self.machines):
            self.kill(name)
        for name in sorted(self.machines):
            self.start(name)
        self.run(4.0)
        for _ in range(2):
            call = self.calls[self.read(with_disk[self.schedule.seed % len(with_disk)])]
            self.run(3.5)
            if call.succeeded:
                return
        self.report_breach(f"no read succeeded after the loss of disks and power: {call}")


def play(schedule: Schedule) -> Chaos:
    """Run a schedule to its end, or until a check fails; `breaches` of the result lists the violations."""
    world = Chaos(schedule)
    if not schedule.from_start:
        world.run(3.5)
        world.put("d1", world.highest_number)
        world.run(1.0)
    for step in schedule.steps:
        world.apply(step)
        if world.breaches:
            return world
    world.end_all_faults()
    world.run(SETTLE)
    for check in (world.check_recovery, world.check_after_power_loss):
        if not world.breaches:
            check()
    return world
