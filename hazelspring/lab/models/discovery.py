"""Discovery: the versioned list of alert servers, sent to each gateway after a delay of its own."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Health(Enum):
    """The health of a server, as discovery reports it."""

    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


@dataclass(frozen=True, slots=True)
class Host:
    """One entry of the list; `born` is the start time in Unix seconds, 0 for a server started long ago."""

    name: str
    zone: str
    kind: str
    rack: int
    health: Health = Health.READY
    share: float = 1.0
    born: float = 0.0


class Discovery:
    """The current list, and the version of it that each gateway has received."""

    def __init__(self, gateway_count: int, hosts: list[Host], version: int = 1) -> None:
        self.version = version
        self.hosts = {host.name: host for host in hosts}
        self.log: list[tuple[int, Host]] = []  # changes, the oldest first
        # by gateway: the versions that are still to be sent, with their times
        self.pending: list[list[tuple[float, int]]] = [[] for _ in range(gateway_count)]
        self.update_delays_s = [0.0] * gateway_count  # by gateway: time from a change until it is sent
        self.sent_versions = [version] * gateway_count  # by gateway: the version that was sent last
        self.silent = False  # whether no version is sent at present
        self.calls_per_s_limit = 0  # calls that are accepted per second; 0: no limit
        self.calls: list[float] = []  # times of the calls accepted within the last second

    def change(self, now: float, name: str, health: Health, born: float | None = None) -> None:
        """Publish a new version in which the host has this health and, if `born` is given, start time."""
        host = replace(self.hosts[name], health=health)
        if born is not None:
            host = replace(host, born=born)
        self.version += 1
        self.hosts[name] = host
        self.log.append((self.version, host))
        for gateway, delay_s in enumerate(self.update_delays_s):
            self.pending[gateway].append((now + delay_s, self.version))

    def current(self, gateway: int, now: float) -> int:
        """Return the version that the agent of this gateway has received by time `now`."""
        if not self.silent:
            queue = self.pending[gateway]
            while queue and queue[0][0] <= now:
                self.sent_versions[gateway] = max(self.sent_versions[gateway], queue.pop(0)[1])
        return self.sent_versions[gateway]

    def full_list(self, version: int) -> list[Host]:
        """Return the complete list as of that version, without hosts that were gone by then."""
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
        """Return the hosts that changed after version `after` up to `version`, each in its latest state."""
        found = {host.name: host for at, host in self.log if after < at <= version}
        return list(found.values())

    def admits(self, now: float) -> bool:
        """Return whether the limit on calls per second permits a call now, and count the call if so."""
        if not self.calls_per_s_limit:
            return True
        self.calls = [at for at in self.calls if at > now - 1.0]
        if len(self.calls) >= self.calls_per_s_limit:
            return False
        self.calls.append(now)
        return True
