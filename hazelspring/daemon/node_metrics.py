"""The metrics of a node, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hazelspring.node.invariants import LIST_KNOWN, LIST_READ, ROSTER_KNOWN

if TYPE_CHECKING:
    from hazelspring.daemon.node_process import NodeProcess

PREFIX = "hazelspring_"


@dataclass(slots=True, frozen=True)
class Sample:
    """One value of a metric; `labels` are pairs of name and value."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()

    def line(self) -> str:
        """Return the sample as a line; integers keep all digits, as counts and versions are compared."""
        labels = ",".join(f'{name}="{escape(value)}"' for name, value in self.labels)
        labelled = f"{{{labels}}}" if labels else ""
        value = f"{self.value:g}" if isinstance(self.value, float) else str(int(self.value))
        return f"{PREFIX}{self.name}{labelled} {value}"


def escape(value: str) -> str:
    """Return a label's value with the escapes of the format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render(samples: Iterable[Sample]) -> bytes:
    """Return the samples as one text, with a line for each."""
    return "".join(f"{sample.line()}\n" for sample in samples).encode()


def collect(process: NodeProcess, now: float) -> Iterator[Sample]:
    """Yield every metric of a node; `now` in the seconds of its event loop."""
    yield Sample("ready", process.is_ready())
    yield Sample("configuration", process.configuration.version if process.configuration is not None else -1)
    yield Sample("configuration_fresh_seconds", process.router.fresh_until - now)
    yield Sample("core_member", process.node.control.is_member())
    yield from server_list_samples(process, now)
    for name in (LIST_READ, LIST_KNOWN, ROSTER_KNOWN):
        count = process.node.invariants.violations[name]
        yield Sample("invariant_violations_total", count, (("name", name),))
    yield Sample("requests_on_old_list_total", process.router.requests_on_stale_list)
    yield Sample("requests_after_leave_total", process.servers.requests_after_leave)
    yield Sample("request_after_leave_max_seconds", process.servers.max_delay_after_leave)
    yield Sample("roster_age_seconds", now - process.node.peers.roster_confirmed_at)
    yield Sample("nodes_in_roster", len(process.node.peers.roster_rows))
    for reason, count in process.router.unserved_counts.items():
        yield Sample("requests_not_served_total", count, (("reason", reason),))
    for kind, count in process.node.dropped.items():
        yield Sample("messages_dropped_total", count, (("kind", kind),))
    for name, count in (process.supervisor.failures + process.counts.failures).items():
        yield Sample("failures_total", count, (("what", name),))


def server_list_samples(process: NodeProcess, now: float) -> Iterator[Sample]:
    """Yield whether this node reads the platform's list, its age, and the known servers of each service."""
    reader = process.list_reader
    yield Sample("list_reader", process.node.list_reader_role.holds(now))
    yield Sample("list_age_seconds", process.node.freshness.age(now))
    yield Sample("list_reads_total", reader.reads, (("result", "read"),))
    yield Sample("list_reads_total", reader.failures, (("result", "failed"),))
    yield Sample("list_malformed_entries", len(reader.malformed))
    if reader.read_at is not None:
        yield Sample("list_read_ago_seconds", now - reader.read_at)
    for service, table in process.node.registry.tables.items():
        labels = (("service", service),)
        accepting = sum(server.accepting for server in table.servers.values())
        yield Sample("server_table_version", table.version, labels)
        yield Sample("servers", accepting, (*labels, ("state", "accepting")))
        yield Sample("servers", len(table.servers) - accepting, (*labels, ("state", "draining")))
