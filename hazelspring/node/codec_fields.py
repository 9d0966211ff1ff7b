"""Checked access to the fields of a message as it came over the wire."""

from __future__ import annotations

from typing import Any, TypeVar

from hazelspring.consensus.control_state import Ballot, ControlState, Voter, decode_ballot, decode_state
from hazelspring.consensus.messages import AcceptedState
from hazelspring.errors import HazelspringError
from hazelspring.membership.node_info import NodeInfo

Fields = dict[str, Any]  # a message as the map that goes over the wire
T = TypeVar("T")
KIND_KEY = "k"


class MalformedMessageError(HazelspringError):
    """A message cannot be decoded.

    `kind` and `field` are the names on the wire; empty where these are not known.
    """

    code = "malformed_message"

    def __init__(self, kind: str, field: str, problem: str = "is missing or of a wrong type") -> None:
        super().__init__(f"{kind or 'message'}: field {field!r} {problem}" if field else f"{kind} {problem}")
        self.kind, self.field = kind, field


def required(fields: Fields, key: str, kind: type[T]) -> T:
    """Return the value of a field that must be there, of a type; raises MalformedMessageError, as all here."""
    value = fields.get(key)
    if not isinstance(value, kind):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return value


def optional(fields: Fields, key: str, kind: type[T]) -> T | None:
    """Return the value of a field, None where it was left out."""
    return required(fields, key, kind) if key in fields else None


def list_of(fields: Fields, key: str, kind: type[T]) -> list[T]:
    """Return the value of a field that must be a list of one type."""
    values: list[T] = required(fields, key, list)
    if not all(isinstance(value, kind) for value in values):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return values


def ballot_field(fields: Fields, key: str = "b") -> Ballot:
    """Return the ballot in a field."""
    return parse_ballot(fields, key, required(fields, key, list))


def parse_ballot(fields: Fields, key: str, row: Any) -> Ballot:
    """Return the ballot of a row that came in a field."""
    try:
        count, incarnation, ip = ballot = decode_ballot(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(count, int) and isinstance(incarnation, int) and isinstance(ip, str)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return ballot


def control_state_field(fields: Fields, key: str, row: Any) -> ControlState:
    """Return the state of a row that came in a field."""
    try:
        state = decode_state(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(state.version, int) and isinstance(state.configuration_digest, bytes)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return state


def accepted_state_field(fields: Fields) -> AcceptedState | None:
    """Return the state that the sender accepted last, and its ballot."""
    row = fields.get("a")
    if "a" not in fields or not (row is None or (isinstance(row, list) and len(row) == 2)):
        raise MalformedMessageError(fields[KIND_KEY], "a")
    if row is None:
        return None
    return AcceptedState(parse_ballot(fields, "a", row[0]), control_state_field(fields, "a", row[1]))


def voter_field(fields: Fields) -> Voter:
    """Return the disk that votes."""
    row = required(fields, "u", list)
    if len(row) != 2 or not (isinstance(row[0], int) and isinstance(row[1], bool)):
        raise MalformedMessageError(fields[KIND_KEY], "u")
    return Voter(*row)


def node_info_field(fields: Fields, key: str, row: Any) -> NodeInfo:
    """Return the node that a row names which came in a field."""
    if not (isinstance(row, list) and len(row) == 5):
        raise MalformedMessageError(fields[KIND_KEY], key)
    about = NodeInfo(*row)
    if not (isinstance(about.ip, str) and isinstance(about.incarnation, int)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return about


def sender_field(fields: Fields) -> NodeInfo | None:
    """Return who sent a message, where it says so."""
    return node_info_field(fields, "a", fields["a"]) if "a" in fields else None
