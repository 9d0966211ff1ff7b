"""What a core wants done: messages, saves, marks, and what others of its process are told."""

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
    """Records to be put on disk, all or none; None is to be removed.  `Core.saved` wants to hear of it."""

    serial: int
    records: dict[str, bytes | None]


@dataclass(slots=True, frozen=True)
class ReadList:
    """The platform's list is to be read; `Core.listed` wants to hear how that read, by its number, ended."""

    number: int


@dataclass(slots=True, frozen=True)
class ConfigurationChanged:
    """Another configuration is in force."""


@dataclass(slots=True, frozen=True)
class EvacuatedZonesChanged:
    """Other zones are evacuated."""


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """The core has other members."""


@dataclass(slots=True, frozen=True)
class TableChanged:
    """The table of a service's servers has changed."""

    service: str


StateChanged = ConfigurationChanged | EvacuatedZonesChanged | MembersChanged | TableChanged


@dataclass(slots=True, frozen=True)
class LoadReported:
    """Another node has told where its requests are, by servers' tags."""

    node: str
    in_flight_by_tag: dict[int, int]


@dataclass(slots=True, frozen=True)
class InvariantViolated:
    """An invariant has ceased to hold; by its name in `hazelspring.node.invariants`."""

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
