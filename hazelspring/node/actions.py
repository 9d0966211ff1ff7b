"""The actions that a node returns to its process: messages to send, records to save, reads, and events."""

from __future__ import annotations

from dataclasses import dataclass

from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.node.messages import Message
from hazelspring.quota.credits import CounterUnavailable, CreditsGranted


@dataclass(slots=True, frozen=True)
class Send:
    """A message to another node, by its address."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Save:
    """Records to write to disk atomically, by name; a record whose value is None is to be removed.

    `Node.on_saved` must be called with the serial number once the save has ended.
    """

    serial: int
    records: dict[str, bytes | None]


@dataclass(slots=True, frozen=True)
class ReadList:
    """A request to read the platform's list; `Node.on_list_read` must be called with its result."""

    number: int


@dataclass(slots=True, frozen=True)
class ConfigurationChanged:
    """A different configuration is now in force."""


@dataclass(slots=True, frozen=True)
class EvacuatedZonesChanged:
    """The set of evacuated zones has changed."""


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """The set of the core's members has changed."""


@dataclass(slots=True, frozen=True)
class TableChanged:
    """The table of a service's servers has changed."""

    service: str


StateChanged = ConfigurationChanged | EvacuatedZonesChanged | MembersChanged | TableChanged


@dataclass(slots=True, frozen=True)
class LoadReported:
    """Another node has reported the number of its requests in flight, by the servers' tags."""

    node: str
    in_flight_by_tag: dict[int, int]


@dataclass(slots=True, frozen=True)
class InvariantViolated:
    """An invariant no longer holds; `name` is its name in `hazelspring.node.invariants`."""

    name: str


Action = (
    Send
    | Save
    | ReadList
    | ProposalOutcome
    | StateChanged
    | CreditsGranted
    | CounterUnavailable
    | LoadReported
    | InvariantViolated
)
