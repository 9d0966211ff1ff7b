"""Checked access to the fields of a received message.

All functions raise MalformedMessageError if a required field is missing or a field has the wrong type.
"""

from __future__ import annotations

from typing import Any, TypeVar

from hazelspring.consensus.control_state import Ballot, ControlState, Voter, decode_ballot, decode_state
from hazelspring.consensus.messages import AcceptedState
from hazelspring.errors import HazelspringError
from hazelspring.membership.node_info import NodeInfo

Fields = dict[str, Any]  # the map that encodes a message on the wire
T = TypeVar("T")
KIND_KEY = "k"


class MalformedMessageError(HazelspringError):
    """A message cannot be decoded.

    `kind` and `field` are the names on the wire; a name that is not known is empty.
    """

    code = "malformed_message"

    def __init__(self, kind: str, field: str, problem: str = "is missing or of a wrong type") -> None:
        super().__init__(f"{kind or 'message'}: field {field!r} {problem}" if field else f"{kind} {problem}")
        self.kind, self.field = kind, field


def required(fields: Fields, key: str, expected_type: type[T]) -> T:
    """Return the value of a required field, which must have the expected type."""
    value = fields.get(key)
    if not isinstance(value, expected_type):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return value


def optional(fields: Fields, key: str, expected_type: type[T]) -> T | None:
    """Return the value of an optional field, or None if it is absent."""
    return required(fields, key, expected_type) if key in fields else None


def list_of(fields: Fields, key: str, expected_type: type[T]) -> list[T]:
    """Return the value of a required field, which must be a list of values of the expected type."""
    values: list[T] = required(fields, key, list)
    if not all(isinstance(value, expected_type) for value in values):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return values


def ballot_field(fields: Fields, key: str = "b") -> Ballot:
    """Return the ballot that a required field encodes."""
    return parse_ballot(fields, key, required(fields, key, list))


def parse_ballot(fields: Fields, key: str, row: Any) -> Ballot:
    """Return the ballot that a row encodes; `key` is the field that contains the row."""
    try:
        count, incarnation, ip = ballot = decode_ballot(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(count, int) and isinstance(incarnation, int) and isinstance(ip, str)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return ballot


def control_state_field(fields: Fields, key: str, row: Any) -> ControlState:
    """Return the control state that a row encodes; `key` is the field that contains the row."""
    try:
        state = decode_state(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(state.version, int) and isinstance(state.configuration_digest, bytes)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return state


def accepted_state_field(fields: Fields) -> AcceptedState | None:
    """Return the state that the sender accepted last, with its ballot; None if it has accepted none."""
    row = fields.get("a")
    if "a" not in fields or not (row is None or (isinstance(row, list) and len(row) == 2)):
        raise MalformedMessageError(fields[KIND_KEY], "a")
    if row is None:
        return None
    return AcceptedState(parse_ballot(fields, "a", row[0]), control_state_field(fields, "a", row[1]))


def voter_field(fields: Fields) -> Voter:
    """Return the voter in a message: its disk ID, and whether it may take part in the bootstrap."""
    row = required(fields, "u", list)
    if len(row) != 2 or not (isinstance(row[0], int) and isinstance(row[1], bool)):
        raise MalformedMessageError(fields[KIND_KEY], "u")
    return Voter(*row)


def node_info_field(fields: Fields, key: str, row: Any) -> NodeInfo:
    """Return the node that a row encodes; `key` is the field that contains the row."""
    if not (isinstance(row, list) and len(row) == 5):
        raise MalformedMessageError(fields[KIND_KEY], key)
    info = NodeInfo(*row)
    if not (isinstance(info.ip, str) and isinstance(info.incarnation, int)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return info


def sender_field(fields: Fields) -> NodeInfo | None:
    """Return the sender that a message names; None if it does not name one."""
    return node_info_field(fields, "a", fields["a"]) if "a" in fields else None
