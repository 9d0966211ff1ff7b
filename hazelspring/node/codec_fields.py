"""Checked access to the fields of a received message.

All functions raise MalformedMessageError where a required field is missing, or a field is of a wrong type.
"""

from __future__ import annotations

from typing import Any, TypeVar

from hazelspring.consensus.control_state import Ballot, ControlState, Voter, decode_ballot, decode_state
from hazelspring.consensus.messages import AcceptedState
from hazelspring.errors import HazelspringError
from hazelspring.membership.node_info import NodeInfo

Fields = dict[str, Any]  # a message as its map on the wire
T = TypeVar("T")
KIND_KEY = "k"


class MalformedMessageError(HazelspringError):
    """A message cannot be decoded.

    `kind` and `field` are the names on the wire, empty where they are not known.
    """

    code = "malformed_message"

    def __init__(self, kind: str, field: str, problem: str = "is missing or of a wrong type") -> None:
        super().__init__(f"{kind or 'message'}: field {field!r} {problem}" if field else f"{kind} {problem}")
        self.kind, self.field = kind, field


def required(fields: Fields, key: str, kind: type[T]) -> T:
    """Return the value of a required field, which must be of a type."""
    value = fields.get(key)
    if not isinstance(value, kind):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return value


def optional(fields: Fields, key: str, kind: type[T]) -> T | None:
    """Return the value of an optional field, None where it is absent."""
    return required(fields, key, kind) if key in fields else None


def list_of(fields: Fields, key: str, kind: type[T]) -> list[T]:
    """Return the value of a required field, which must be a list of values of one type."""
    values: list[T] = required(fields, key, list)
    if not all(isinstance(value, kind) for value in values):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return values


def ballot_field(fields: Fields, key: str = "b") -> Ballot:
    """Return the ballot in a field."""
    return parse_ballot(fields, key, required(fields, key, list))


def parse_ballot(fields: Fields, key: str, row: Any) -> Ballot:
    """Return the ballot that a row in a field encodes."""
    try:
        count, incarnation, ip = ballot = decode_ballot(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(count, int) and isinstance(incarnation, int) and isinstance(ip, str)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return ballot


def control_state_field(fields: Fields, key: str, row: Any) -> ControlState:
    """Return the control state that a row in a field encodes."""
    try:
        state = decode_state(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(state.version, int) and isinstance(state.configuration_digest, bytes)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return state


def accepted_state_field(fields: Fields) -> AcceptedState | None:
    """Return the state that the sender accepted last, with its ballot; None where it accepted none."""
    row = fields.get("a")
    if "a" not in fields or not (row is None or (isinstance(row, list) and len(row) == 2)):
        raise MalformedMessageError(fields[KIND_KEY], "a")
    if row is None:
        return None
    return AcceptedState(parse_ballot(fields, "a", row[0]), control_state_field(fields, "a", row[1]))


def voter_field(fields: Fields) -> Voter:
    """Return the voter: the number of its disk, and whether it may take part in the bootstrap."""
    row = required(fields, "u", list)
    if len(row) != 2 or not (isinstance(row[0], int) and isinstance(row[1], bool)):
        raise MalformedMessageError(fields[KIND_KEY], "u")
    return Voter(*row)


def node_info_field(fields: Fields, key: str, row: Any) -> NodeInfo:
    """Return the node that a row in a field encodes."""
    if not (isinstance(row, list) and len(row) == 5):
        raise MalformedMessageError(fields[KIND_KEY], key)
    about = NodeInfo(*row)
    if not (isinstance(about.ip, str) and isinstance(about.incarnation, int)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return about


def sender_field(fields: Fields) -> NodeInfo | None:
    """Return the sender that a message names; None where it names none."""
    return node_info_field(fields, "a", fields["a"]) if "a" in fields else None
