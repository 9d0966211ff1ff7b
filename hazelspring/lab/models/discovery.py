"""Discovery: the list of alert servers by versions, each told to each front door at its own time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Health(Enum):
    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the list; `born` is in seconds of the Unix clock, 0 meaning long ago."""

    name: str
    zone: str
    kind: str
    rack: int
    health: Health = Health.READY
    share: float = 1.0
    born: float = 0.0


class Discovery:
    """What is true, and what each front door has been told of it."""

    def __init__(self, doors: int, hosts: list[Host], version: int = 1) -> None:
        self.version = version
        self.hosts = {host.name: host for host in hosts}
        self.log: list[tuple[int, Host]] = []  # changes, the oldest first
        self.due: list[list[tuple[float, int]]] = [[] for _ in range(doors)]  # when a version is told
        self.late = [0.0] * doors  # seconds after which a change is told
        self.told = [version] * doors
        self.silent = False
        self.room = 0  # calls that may be made in a second; 0: any number
        self.calls: list[float] = []

    def change(self, now: float, name: str, health: Health, born: float | None = None) -> None:
        """That host's health is another from now on."""
        host = replace(self.hosts[name], health=health)
        if born is not None:
            host = replace(host, born=born)
        self.version += 1
        self.hosts[name] = host
        self.log.append((self.version, host))
        for door, late in enumerate(self.late):
            self.due[door].append((now + late, self.version))

    def current(self, door: int, now: float) -> int:
        """The version that this front door's agent has been sent."""
        if not self.silent:
            queue = self.due[door]
            while queue and queue[0][0] <= now:
                self.told[door] = max(self.told[door], queue.pop(0)[1])
        return self.told[door]

    def whole(self, version: int) -> list[Host]:
        """The list as it was at that version; what was gone by then is not in it."""
        hosts = dict(self.hosts)
        for at, host in self.log:
            if at <= version:
                hosts[host.name] = host
        later = {host.name for at, host in self.log if at > version}
        known = {host.name for at, host in self.log if at <= version}
        for name in later - known:
            hosts[name] = replace(hosts[name], health=Health.READY, born=0.0)
        return [host for host in hosts.values() if host.health is not Health.GONE]

    def since(self, after: int, version: int) -> list[Host]:
        """The changes after one version up to another; each host once, as it stands at the latter."""
        found = {host.name: host for at, host in self.log if after < at <= version}
        return list(found.values())

    def admits(self, now: float) -> bool:
        """Whether a call finds room; where there is a limit, what is over it is refused."""
        if not self.room:
            return True
        self.calls = [at for at in self.calls if at > now - 1.0]
        if len(self.calls) >= self.room:
            return False
        self.calls.append(now)
        return True
