"""Troubles of every kind for the control side on simulated time, a drawn day of them, and what must hold once they end.

A *tame* day keeps within the tolerated losses; a wild one does not, but never loses more disks than a majority bears.
"""

from __future__ import annotations

from collections.abc import Callable

import cbor2

from hazelspring.consensus.control_state import ControlState

from .chaos_days import Act, Day
from .chaos_rules import ROLES, Watched
from .world import SYNC, Disk

CATCH_UP = 4.5  # seconds that a machine still counts as lost after it is back
SETTLE = 12.0  # and until all must be well after the last trouble: a retired disk waits five of them


class Chaos(Watched):
    # --- whom trouble may befall --------------------------------------------------------------------------------

    def last(self) -> ControlState | None:
        return self.decided[max(self.decided)] if self.decided else None

    def losses(self) -> int:
        state = self.last()
        size = len(state.members) if state is not None else self.day.core - self.day.bare
        return 0 if size < 3 else 1 if size < 5 else 2

    def may(self, name: str) -> bool:
        """Whether a machine may be lost for a while."""
        if not self.day.tame or self.machines[name].disk is None:
            return True
        lost = {n for n, until in self.troubled.items() if until > self.now}
        return name in lost or len(lost) < self.losses()

    def may_lose(self, name: str) -> bool:
        """Whether the disk of a machine may be lost: so many seats as are tolerated, of all that may be in force."""
        state = self.last()
        if state is None:
            return False
        states = [state]
        for machine in [*self.machines.values(), *self.gone.values()]:
            if machine.core is not None:
                states += [pair[1] for pair in (machine.core.control.acceptor.accepted,) if pair is not None]
        sets = {members for s in states if s.version >= state.version for members in s.member_sets()}
        for members in sets:
            bear = 0 if len(members) < 3 else 1 if len(members) < 5 else 2
            lost = [m for m in members if m.ip == name or not self.holds_seat(m.ip, m.disk_id)]
            if len(lost) > bear:
                return False
        return self.may(name)

    def holds_seat(self, ip: str, disk: int) -> bool:
        machine = self.machines.get(ip)
        if machine is None or machine.disk is None or "disk" not in machine.disk.records:
            return False
        return machine.about.disk_id == disk or self.on_disk(machine.disk) == disk

    @staticmethod
    def on_disk(disk: Disk) -> int:
        return int(cbor2.loads(disk.records["disk"])[0])

    def lost(self, name: str) -> None:
        self.troubled[name] = 1e9

    def found(self, name: str) -> None:
        if name in self.troubled:
            self.troubled[name] = self.now + CATCH_UP

    # --- a day ----------------------------------------------------------------------------------------------------

    def seats(self) -> list[str]:
        return sorted(name for name, machine in self.machines.items() if machine.disk is not None)

    def do(self, action: Act) -> None:
        doing: Callable[[str, Act], None] | None = getattr(self, f"do_{action.what}", None)
        seats, all_ = self.seats(), sorted(self.machines)
        names = all_ if action.what in ("put", "race", "again", "lower", "zone", "read", "cut") else seats
        if doing is not None and names:
            doing(names[action.which % len(names)], action)
        self.run(action.pause)

    def do_put(self, name: str, action: Act) -> None:
        self.top += 1 + action.more % 3
        self.put(name, self.top, "one")

    def do_race(self, name: str, action: Act) -> None:
        self.do_put(name, action)
        self.put(sorted(self.machines)[(action.more * 7 + 1) % len(self.machines)], self.top, "other")

    def do_again(self, name: str, action: Act) -> None:
        if self.puts:
            self.put(name, *self.puts[-1 - action.more % min(len(self.puts), 12 if action.more % 2 else 2)])

    def do_lower(self, name: str, action: Act) -> None:
        self.put(name, max(1, self.top - 1 - action.more % 4), "late")

    def do_zone(self, name: str, action: Act) -> None:
        self.evacuate(name, f"z{action.more % 2}", action.more % 4 < 2)

    def do_read(self, name: str, action: Act) -> None:
        self.read(name)

    def do_storm(self, name: str, action: Act) -> None:
        names = sorted(self.machines)
        for n in range(20 + 4 * action.more):
            self.do_put(names[(action.which + n) % len(names)], action)
            self.evacuate(names[(action.more + n) % len(names)], f"z{n % 2}", n % 4 < 2)
            self.run(0.06)

    def do_burst(self, name: str, action: Act) -> None:
        """Operators at every door at once, as the beats of each order may overtake each other."""
        for n, machine in enumerate(sorted(self.machines)):
            self.do_read(machine, action) if (n + action.more) % 3 else self.do_put(machine, action)
            self.run(action.pause / 20)

    def do_kill(self, name: str, action: Act) -> None:
        if self.may(name):
            self.lost(name)
            self.kill(name)

    def do_power(self, name: str, action: Act) -> None:
        """In the midst of orders power goes, everywhere or at half of the machines; most are back soon."""
        self.do_burst(name, action)
        self.run((0.0, 0.003, 0.01, 0.05)[action.which % 4])
        names = sorted(self.machines)[action.which % 2 :: 1 + action.more % 2]
        for machine in names:
            self.kill(machine)
        self.run(action.pause)
        for machine in names if self.day.tame else names[action.more % 3 :]:
            self.start(machine)

    def do_back(self, name: str, action: Act) -> None:
        down = [n for n in sorted(self.machines) if self.machines[n].core is None]
        if not down:
            return
        name = down[action.which % len(down)]
        up = self.up()
        if action.more % 3 == 0 and len(up) > 1:
            self.machines[name].seeds = [up[action.more % len(up)], up[action.which % len(up)], "d2"]
        # with a state of its own at all, a founder may be told again that all starts for the first time
        first = self.day.early and self.last() is None and bool(self.disk_of(name))
        self.start(name, first=first, clock=250 * (action.more % 2))
        self.found(name)

    def disk_of(self, name: str) -> dict[str, bytes]:
        disk = self.machines[name].disk
        return disk.records if disk is not None else {}

    def do_cut(self, name: str, action: Act) -> None:
        other = sorted(self.machines)[action.more % len(self.machines)]
        if other == name or not (self.may(name) or self.may(other)):
            return
        self.lost(name if self.may(name) else other)
        self.cut.add((name, other))
        if action.more % 2:
            self.cut.add((other, name))

    def do_alone(self, name: str, action: Act) -> None:
        if self.may(name):
            self.lost(name)
            for other in set(self.machines) - {name}:
                self.cut |= [{(other, name)}, {(name, other)}, {(other, name), (name, other)}][
                    action.more % 3
                ]

    def do_lure(self, name: str, action: Act) -> None:
        """A few members and all doors without a disk are cut off together, and the operators are there."""
        seats = self.seats()
        some = [
            seats[(action.which + n) % len(seats)] for n in range(max(1, len(seats) // 2 - action.more % 2))
        ]
        if self.day.tame and not (some := [n for n in some[:1] if self.may(n)]):
            return
        side = {*some, *(n for n, machine in self.machines.items() if machine.disk is None)}
        for one in side:
            self.lost(one)
            for other in set(self.machines) - side:
                self.cut |= {(one, other), (other, one)}
        for n, one in enumerate(sorted(side)):
            self.do_race(one, action) if (n + action.more) % 2 else self.do_zone(one, action)
            self.read(one)

    def do_mend(self, name: str, action: Act) -> None:
        touched = {n for pair in self.cut for n in pair}
        self.cut.clear()
        self.lags.clear()
        for n in touched & set(self.machines):
            if self.machines[n].core is not None and self.machines[n].frozen is None:
                self.found(n)

    def do_slow(self, name: str, action: Act) -> None:
        self.trouble_disk(name, 0.05 * (1 + action.more), False)

    def do_stall(self, name: str, action: Act) -> None:
        self.trouble_disk(name, 1.5 + action.more % 6, False)

    def do_full(self, name: str, action: Act) -> None:
        self.trouble_disk(name, SYNC, True)

    def trouble_disk(self, name: str, sync: float, full: bool) -> None:
        if self.may(name) and (disk := self.machines[name].disk) is not None:
            self.lost(name)
            disk.sync, disk.full = sync, full

    def do_heal(self, name: str, action: Act) -> None:
        for n in self.seats():
            disk = self.machines[n].disk
            if disk is not None and (disk.full or disk.sync != SYNC):
                disk.full, disk.sync = False, SYNC
                self.found(n)

    def do_freeze(self, name: str, action: Act) -> None:
        if self.machines[name].core is not None and self.may(name):
            self.lost(name)
            self.freeze(name)
            if action.more % 6 == 0:
                self.run(4.0 * (action.more % 4 + 1))

    def do_thaw(self, name: str, action: Act) -> None:
        for n in sorted(self.machines):
            if self.machines[n].frozen is not None:
                self.thaw(n)
                self.found(n)

    def do_replace(self, name: str, action: Act) -> None:
        if self.may_lose(name):
            self.do_remove(name, action)
            self.run(action.pause)
            up = self.up()
            if up:
                self.add(f"d{self.new}", action.more % 4, seeds=[name, up[action.more % len(up)], up[0]])
                self.lost(f"d{self.new}")
                self.found(f"d{self.new}")
                self.new += 1

    def do_remove(self, name: str, action: Act) -> None:
        if self.may_lose(name) and len(self.seats()) > 3:
            self.gone[name] = self.machines[name]
            self.remove(name)
            self.lost(name)

    def do_return(self, name: str, action: Act) -> None:
        """A machine that was taken away is back, with its disk."""
        if self.gone:
            name = sorted(self.gone)[action.which % len(self.gone)]
            if name not in self.machines:
                self.machines[name] = self.gone.pop(name)
                self.start(name)
                self.found(name)

    def do_wipe(self, name: str, action: Act) -> None:
        if self.may_lose(name):
            self.lost(name)
            self.wipe(name)
            self.run(action.pause)
            if action.more % 2:
                self.start(name)
                self.found(name)

    def do_roll(self, name: str, action: Act) -> None:
        """Each in turn leaves in order and is back a little later."""
        for one in self.seats()[action.which % 3 :]:
            core = self.machines[one].core
            if core is None or self.machines[one].frozen is not None or not self.may(one):
                continue
            self.lost(one)
            self.actions(one, core.drain(self.now))
            self.run(0.2 + action.pause / 4)
            self.kill(one)
            self.run(0.1 + action.pause / 4)
            self.start(one)
            self.found(one)
            self.run(CATCH_UP if self.day.tame else action.pause)

    def do_retire(self, name: str, action: Act) -> None:
        """By hand: one that was taken away, or any."""
        state = self.last()
        if state is None:
            return
        away = [m.ip for m in state.members if m.ip not in self.machines]
        if away or (not self.day.tame and state.target_size > 1):
            ip = away[0] if away else state.members[action.more % len(state.members)].ip
            self.retire(name, ip)
            for n in [n for n in self.troubled if n == ip]:
                del self.troubled[n]

    def do_odd(self, name: str, action: Act) -> None:
        self.odd, self.late = (0.0, 0.1, 0.4)[action.which % 3], (0.0, 0.0, 0.1)[action.more % 3]

    def do_lag(self, name: str, action: Act) -> None:
        """What one door tells another comes late and out of order."""
        other = sorted(self.machines)[action.more % len(self.machines)]
        if self.may(name):
            self.lost(name)
            self.lags[name, other] = (0.05, 0.3, 1.2)[action.which % 3]
            self.cut.add((name, name))  # so that `mend` finds it

    # --- the end --------------------------------------------------------------------------------------------------

    def calm(self) -> None:
        """All troubles end, and all that are still there come back."""
        self.cut.clear()
        self.lags.clear()
        self.odd = self.drop = self.late = 0.0
        for name in sorted(self.machines):
            if (disk := self.machines[name].disk) is not None:
                disk.full, disk.sync = False, SYNC
            if self.machines[name].core is None:
                self.start(name)
            elif self.machines[name].frozen is not None:
                self.thaw(name)

    def well(self) -> None:
        """An order is taken at every door; all hold the newest state; the core has its size, of the living."""
        tokens = []
        for name in sorted(self.machines):
            self.top += 1
            tokens.append(self.put(name, self.top, "end"))
            self.run(0.1)
        self.run(3.2)
        for token in tokens:
            if not self.calls[token].good:
                self.breach(f"after all was well: {self.calls[token]}")
        state = self.last()
        assert state is not None
        for name, machine in self.machines.items():
            assert machine.core is not None
            if (found := machine.core.control.acceptor.version) != state.version:
                self.breach(f"{name} knows {found} of {state.version}")
            if not self.day.tame and state.target_size < 3:
                continue
        dead = [
            m.ip for m in state.members if m.ip not in self.machines or not self.holds_seat(m.ip, m.disk_id)
        ]
        if (dead and len(state.members) > state.target_size) or len(state.members) < state.target_size:
            self.breach(
                f"the core is {[m.ip for m in state.members]} of {state.target_size}, {dead} are gone"
            )
        for role in range(ROLES):
            if not any(self.holds(name, role) for name in self.up()):
                self.breach(f"duty {role} is held by none")

    def close(self) -> None:
        """Right after a change so many disks are lost as is tolerated, and all else loses power; then it is read."""
        seats = self.seats()
        self.top += 1
        self.put(seats[0], self.top, "last")
        self.run(0.04 + 0.01 * (self.day.seed % 10))
        for n in range(len(seats)):
            if self.may_lose(seats[(self.day.seed + n) % len(seats)]):
                self.wipe(seats[(self.day.seed + n) % len(seats)])
        for name in sorted(self.machines):
            self.kill(name)
        for name in sorted(self.machines):
            self.start(name)
        self.run(4.0)
        for _ in range(2):
            call = self.calls[self.read(seats[self.day.seed % len(seats)])]
            self.run(3.5)
            if call.good:
                return
        self.breach(f"nothing could be read: {call}")


def play(day: Day) -> Chaos:
    """A day to its end, or to its first fault."""
    world = Chaos(day)
    if not day.early:
        world.run(3.5)
        world.put("d1", world.top)
        world.run(1.0)
    for action in day.actions:
        world.do(action)
        if world.breaches:
            return world
    world.calm()
    world.run(SETTLE)
    for ending in (world.well, world.close):
        if not world.breaches:
            ending()
    return world
