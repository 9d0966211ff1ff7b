"""Messages between nodes on the registry of servers and on duties, as classes.

`encode` makes the map that goes out, `decode` reads one that came.  Both ends of a link may run different versions of
the program, so the names of fields in the maps stay.  `decode` raises KeyError, TypeError or ValueError for a
malformed map.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Self

from hazelspring.membership.peer_table import NodeInfo
from hazelspring.node.actions import Message


@dataclass(slots=True, frozen=True)
class TableRequest:
    """Asks another node for its table of a service."""

    KIND: ClassVar[str] = "ask"

    service: str

    def encode(self) -> Message:
        return {"k": self.KIND, "s": self.service}

    @classmethod
    def decode(cls, message: Message) -> Self:
        return cls(message["s"])


@dataclass(slots=True, frozen=True)
class TableUpdate:
    """A table of servers, or a change of one, as `ServerRegistry` encodes it."""

    KIND: ClassVar[str] = "news"

    table: list[Any]

    def encode(self) -> Message:
        return {"k": self.KIND, "n": self.table}

    @classmethod
    def decode(cls, message: Message) -> Self:
        return cls(message["n"])

    @property
    def service(self) -> str:
        service: str = self.table[0]
        return service

    @property
    def version(self) -> int:
        version: int = self.table[1]
        return version


@dataclass(slots=True, frozen=True)
class RolesDeclined:
    """A member leaves duties to others that it could not do; it stays a member."""

    KIND: ClassVar[str] = "decline"

    member: NodeInfo
    roles: list[int]

    def encode(self) -> Message:
        return {"k": self.KIND, "a": self.member.encode(), "d": self.roles}

    @classmethod
    def decode(cls, message: Message) -> Self:
        return cls(NodeInfo(*message["a"]), message["d"])


@dataclass(slots=True, frozen=True)
class RolesReleased(RolesDeclined):
    """A member gives up all that it held, as it ends in order."""

    KIND: ClassVar[str] = "free"
