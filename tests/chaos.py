"""Troubles of every kind for the control side on simulated time, a drawn day of them, and what must hold once they end.

A *tame* day keeps within the tolerated losses; a wild one does not, but never loses more disks than a majority bears.
"""

from __future__ import annotations

from collections.abc import Callable

import cbor2

from hazelspring.consensus.control_state import ControlState

from .chaos_days import Act, Day
from .chaos_rules import DUTIES, Watched
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
        if not self.day.tame or self.doors[name].disk is None:
            return True
        lost = {n for n, until in self.troubled.items() if until > self.now}
        return name in lost or len(lost) < self.losses()

    def may_lose(self, name: str) -> bool:
        """Whether the disk of a machine may be lost: so many seats as are tolerated, of all that may be in force."""
        state = self.last()
        if state is None:
            return False
        states = [state]
        for door in [*self.doors.values(), *self.gone.values()]:
            if door.core is not None:
                states += [pair[1] for pair in (door.core.control.acceptor.accepted,) if pair is not None]
        sets = {members for s in states if s.version >= state.version for members in s.member_sets()}
        for members in sets:
            bear = 0 if len(members) < 3 else 1 if len(members) < 5 else 2
            lost = [m for m in members if m.ip == name or not self.holds_seat(m.ip, m.disk_id)]
            if len(lost) > bear:
                return False
        return self.may(name)

    def holds_seat(self, ip: str, disk: int) -> bool:
        door = self.doors.get(ip)
        if door is None or door.disk is None or "disk" not in door.disk.records:
            return False
        return door.about.disk_id == disk or self.on_disk(door.disk) == disk

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
        return sorted(name for name, door in self.doors.items() if door.disk is not None)

    def do(self, deed: Act) -> None:
        doing: Callable[[str, Act], None] | None = getattr(self, f"do_{deed.what}", None)
        seats, all_ = self.seats(), sorted(self.doors)
        names = all_ if deed.what in ("put", "race", "again", "lower", "zone", "read", "cut") else seats
        if doing is not None and names:
            doing(names[deed.which % len(names)], deed)
        self.run(deed.pause)

    def do_put(self, name: str, deed: Act) -> None:
        self.top += 1 + deed.more % 3
        self.put(name, self.top, "one")

    def do_race(self, name: str, deed: Act) -> None:
        self.do_put(name, deed)
        self.put(sorted(self.doors)[(deed.more * 7 + 1) % len(self.doors)], self.top, "other")

    def do_again(self, name: str, deed: Act) -> None:
        if self.puts:
            self.put(name, *self.puts[-1 - deed.more % min(len(self.puts), 12 if deed.more % 2 else 2)])

    def do_lower(self, name: str, deed: Act) -> None:
        self.put(name, max(1, self.top - 1 - deed.more % 4), "late")

    def do_zone(self, name: str, deed: Act) -> None:
        self.evacuate(name, f"z{deed.more % 2}", deed.more % 4 < 2)

    def do_read(self, name: str, deed: Act) -> None:
        self.read(name)

    def do_storm(self, name: str, deed: Act) -> None:
        names = sorted(self.doors)
        for n in range(20 + 4 * deed.more):
            self.do_put(names[(deed.which + n) % len(names)], deed)
            self.evacuate(names[(deed.more + n) % len(names)], f"z{n % 2}", n % 4 < 2)
            self.run(0.06)

    def do_burst(self, name: str, deed: Act) -> None:
        """Operators at every door at once, as the beats of each order may overtake each other."""
        for n, door in enumerate(sorted(self.doors)):
            self.do_read(door, deed) if (n + deed.more) % 3 else self.do_put(door, deed)
            self.run(deed.pause / 20)

    def do_kill(self, name: str, deed: Act) -> None:
        if self.may(name):
            self.lost(name)
            self.kill(name)

    def do_power(self, name: str, deed: Act) -> None:
        """In the midst of orders power goes, everywhere or at half of the machines; most are back soon."""
        self.do_burst(name, deed)
        self.run((0.0, 0.003, 0.01, 0.05)[deed.which % 4])
        names = sorted(self.doors)[deed.which % 2 :: 1 + deed.more % 2]
        for door in names:
            self.kill(door)
        self.run(deed.pause)
        for door in names if self.day.tame else names[deed.more % 3 :]:
            self.start(door)

    def do_back(self, name: str, deed: Act) -> None:
        down = [n for n in sorted(self.doors) if self.doors[n].core is None]
        if not down:
            return
        name = down[deed.which % len(down)]
        up = self.up()
        if deed.more % 3 == 0 and len(up) > 1:
            self.doors[name].seeds = [up[deed.more % len(up)], up[deed.which % len(up)], "d2"]
        # with a state of its own at all, a founder may be told again that all starts for the first time
        first = self.day.early and self.last() is None and bool(self.disk_of(name))
        self.start(name, first=first, clock=250 * (deed.more % 2))
        self.found(name)

    def disk_of(self, name: str) -> dict[str, bytes]:
        disk = self.doors[name].disk
        return disk.records if disk is not None else {}

    def do_cut(self, name: str, deed: Act) -> None:
        other = sorted(self.doors)[deed.more % len(self.doors)]
        if other == name or not (self.may(name) or self.may(other)):
            return
        self.lost(name if self.may(name) else other)
        self.cut.add((name, other))
        if deed.more % 2:
            self.cut.add((other, name))

    def do_alone(self, name: str, deed: Act) -> None:
        if self.may(name):
            self.lost(name)
            for other in set(self.doors) - {name}:
                self.cut |= [{(other, name)}, {(name, other)}, {(other, name), (name, other)}][deed.more % 3]

    def do_lure(self, name: str, deed: Act) -> None:
        """A few members and all doors without a disk are cut off together, and the operators are there."""
        seats = self.seats()
        some = [seats[(deed.which + n) % len(seats)] for n in range(max(1, len(seats) // 2 - deed.more % 2))]
        if self.day.tame and not (some := [n for n in some[:1] if self.may(n)]):
            return
        side = {*some, *(n for n, door in self.doors.items() if door.disk is None)}
        for one in side:
            self.lost(one)
            for other in set(self.doors) - side:
                self.cut |= {(one, other), (other, one)}
        for n, one in enumerate(sorted(side)):
            self.do_race(one, deed) if (n + deed.more) % 2 else self.do_zone(one, deed)
            self.read(one)

    def do_mend(self, name: str, deed: Act) -> None:
        touched = {n for pair in self.cut for n in pair}
        self.cut.clear()
        self.lags.clear()
        for n in touched & set(self.doors):
            if self.doors[n].core is not None and self.doors[n].frozen is None:
                self.found(n)

    def do_slow(self, name: str, deed: Act) -> None:
        self.trouble_disk(name, 0.05 * (1 + deed.more), False)

    def do_stall(self, name: str, deed: Act) -> None:
        self.trouble_disk(name, 1.5 + deed.more % 6, False)

    def do_full(self, name: str, deed: Act) -> None:
        self.trouble_disk(name, SYNC, True)

    def trouble_disk(self, name: str, sync: float, full: bool) -> None:
        if self.may(name) and (disk := self.doors[name].disk) is not None:
            self.lost(name)
            disk.sync, disk.full = sync, full

    def do_heal(self, name: str, deed: Act) -> None:
        for n in self.seats():
            disk = self.doors[n].disk
            if disk is not None and (disk.full or disk.sync != SYNC):
                disk.full, disk.sync = False, SYNC
                self.found(n)

    def do_freeze(self, name: str, deed: Act) -> None:
        if self.doors[name].core is not None and self.may(name):
            self.lost(name)
            self.freeze(name)
            if deed.more % 6 == 0:
                self.run(4.0 * (deed.more % 4 + 1))

    def do_thaw(self, name: str, deed: Act) -> None:
        for n in sorted(self.doors):
            if self.doors[n].frozen is not None:
                self.thaw(n)
                self.found(n)

    def do_replace(self, name: str, deed: Act) -> None:
        if self.may_lose(name):
            self.do_remove(name, deed)
            self.run(deed.pause)
            up = self.up()
            if up:
                self.add(f"d{self.new}", deed.more % 4, seeds=[name, up[deed.more % len(up)], up[0]])
                self.lost(f"d{self.new}")
                self.found(f"d{self.new}")
                self.new += 1

    def do_remove(self, name: str, deed: Act) -> None:
        if self.may_lose(name) and len(self.seats()) > 3:
            self.gone[name] = self.doors[name]
            self.remove(name)
            self.lost(name)

    def do_return(self, name: str, deed: Act) -> None:
        """A machine that was taken away is back, with its disk."""
        if self.gone:
            name = sorted(self.gone)[deed.which % len(self.gone)]
            if name not in self.doors:
                self.doors[name] = self.gone.pop(name)
                self.start(name)
                self.found(name)

    def do_wipe(self, name: str, deed: Act) -> None:
        if self.may_lose(name):
            self.lost(name)
            self.wipe(name)
            self.run(deed.pause)
            if deed.more % 2:
                self.start(name)
                self.found(name)

    def do_roll(self, name: str, deed: Act) -> None:
        """Each in turn leaves in order and is back a little later."""
        for one in self.seats()[deed.which % 3 :]:
            core = self.doors[one].core
            if core is None or self.doors[one].frozen is not None or not self.may(one):
                continue
            self.lost(one)
            self.deeds(one, core.drain(self.now))
            self.run(0.2 + deed.pause / 4)
            self.kill(one)
            self.run(0.1 + deed.pause / 4)
            self.start(one)
            self.found(one)
            self.run(CATCH_UP if self.day.tame else deed.pause)

    def do_retire(self, name: str, deed: Act) -> None:
        """By hand: one that was taken away, or any."""
        state = self.last()
        if state is None:
            return
        away = [m.ip for m in state.members if m.ip not in self.doors]
        if away or (not self.day.tame and state.target_size > 1):
            ip = away[0] if away else state.members[deed.more % len(state.members)].ip
            self.retire(name, ip)
            for n in [n for n in self.troubled if n == ip]:
                del self.troubled[n]

    def do_odd(self, name: str, deed: Act) -> None:
        self.odd, self.late = (0.0, 0.1, 0.4)[deed.which % 3], (0.0, 0.0, 0.1)[deed.more % 3]

    def do_lag(self, name: str, deed: Act) -> None:
        """What one door tells another comes late and out of order."""
        other = sorted(self.doors)[deed.more % len(self.doors)]
        if self.may(name):
            self.lost(name)
            self.lags[name, other] = (0.05, 0.3, 1.2)[deed.which % 3]
            self.cut.add((name, name))  # so that `mend` finds it

    # --- the end --------------------------------------------------------------------------------------------------

    def calm(self) -> None:
        """All troubles end, and all that are still there come back."""
        self.cut.clear()
        self.lags.clear()
        self.odd = self.drop = self.late = 0.0
        for name in sorted(self.doors):
            if (disk := self.doors[name].disk) is not None:
                disk.full, disk.sync = False, SYNC
            if self.doors[name].core is None:
                self.start(name)
            elif self.doors[name].frozen is not None:
                self.thaw(name)

    def well(self) -> None:
        """An order is taken at every door; all hold the newest state; the core has its size, of the living."""
        tokens = []
        for name in sorted(self.doors):
            self.top += 1
            tokens.append(self.put(name, self.top, "end"))
            self.run(0.1)
        self.run(3.2)
        for token in tokens:
            if not self.calls[token].good:
                self.breach(f"after all was well: {self.calls[token]}")
        state = self.last()
        assert state is not None
        for name, door in self.doors.items():
            assert door.core is not None
            if (found := door.core.control.acceptor.version) != state.version:
                self.breach(f"{name} knows {found} of {state.version}")
            if not self.day.tame and state.target_size < 3:
                continue
        dead = [m.ip for m in state.members if m.ip not in self.doors or not self.holds_seat(m.ip, m.disk_id)]
        if (dead and len(state.members) > state.target_size) or len(state.members) < state.target_size:
            self.breach(
                f"the core is {[m.ip for m in state.members]} of {state.target_size}, {dead} are gone"
            )
        for duty in range(DUTIES):
            if not any(self.holds(name, duty) for name in self.up()):
                self.breach(f"duty {duty} is held by none")

    def close(self) -> None:
        """Right after a change so many disks are lost as is tolerated, and all else loses power; then it is read."""
        seats = self.seats()
        self.top += 1
        self.put(seats[0], self.top, "last")
        self.run(0.04 + 0.01 * (self.day.seed % 10))
        for n in range(len(seats)):
            if self.may_lose(seats[(self.day.seed + n) % len(seats)]):
                self.wipe(seats[(self.day.seed + n) % len(seats)])
        for name in sorted(self.doors):
            self.kill(name)
        for name in sorted(self.doors):
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
    for deed in day.deeds:
        world.do(deed)
        if world.breaches:
            return world
    world.calm()
    world.run(SETTLE)
    for ending in (world.well, world.close):
        if not world.breaches:
            ending()
    return world
