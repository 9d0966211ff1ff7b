"""A node's own figures, in the Prometheus text format: what an operator needs to tell one fault from another."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hazelspring.node.invariants import LIST_KNOWN, LIST_READ

if TYPE_CHECKING:
    from hazelspring.daemon.node_process import NodeProcess

PREFIX = "hazelspring_"


@dataclass(slots=True, frozen=True)
class Sample:
    """One value; `labels` are pairs of name and value."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()

    def line(self) -> str:
        """The sample as the format has it; whole numbers with all their digits, as counts and versions are compared."""
        labels = ",".join(f'{name}="{escape(value)}"' for name, value in self.labels)
        labelled = f"{{{labels}}}" if labels else ""
        value = f"{self.value:g}" if isinstance(self.value, float) else str(int(self.value))
        return f"{PREFIX}{self.name}{labelled} {value}"


def escape(value: str) -> str:
    """A label's value, as the format wants it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render(samples: Iterable[Sample]) -> bytes:
    """The samples as one text, a line each."""
    return "".join(f"{sample.line()}\n" for sample in samples).encode()


def collect(node: NodeProcess, now: float) -> Iterator[Sample]:
    """Every figure of a node; `now` in the seconds of its event loop."""
    yield Sample("ready", node.is_ready())
    yield Sample("configuration", node.configuration.version if node.configuration is not None else -1)
    yield Sample("configuration_fresh_seconds", node.router.fresh_until - now)
    yield Sample("core_member", node.node.control.is_member())
    yield from server_list(node, now)
    for name in (LIST_READ, LIST_KNOWN):
        count = node.node.invariants.violations[name]
        yield Sample("invariant_violations_total", count, (("name", name),))
    yield Sample("requests_on_old_list_total", node.router.requests_on_stale_list)
    for reason, count in node.router.ends.items():
        yield Sample("requests_not_served_total", count, (("reason", reason),))
    for kind, count in node.node.dropped.items():
        yield Sample("messages_dropped_total", count, (("kind", kind),))
    for name, count in (node.supervisor.failures + node.counts.failures).items():
        yield Sample("failures_total", count, (("what", name),))


def server_list(node: NodeProcess, now: float) -> Iterator[Sample]:
    """Who reads the platform's list, when it was last read, and what is known of each service's servers."""
    reader = node.list_reader
    yield Sample("list_reader", node.node.list_reader_role.holds(now))
    yield Sample("list_age_seconds", node.node.freshness.age(now))
    yield Sample("list_reads_total", reader.reads, (("result", "read"),))
    yield Sample("list_reads_total", reader.failures, (("result", "failed"),))
    yield Sample("list_malformed_entries", len(reader.malformed))
    if reader.read_at is not None:
        yield Sample("list_read_ago_seconds", now - reader.read_at)
    for service, table in node.node.registry.tables.items():
        labels = (("service", service),)
        accepting = sum(server.accepting for server in table.servers.values())
        yield Sample("server_table_version", table.version, labels)
        yield Sample("servers", accepting, (*labels, ("state", "accepting")))
        yield Sample("servers", len(table.servers) - accepting, (*labels, ("state", "draining")))
