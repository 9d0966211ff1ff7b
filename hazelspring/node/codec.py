"""The form of messages on the wire: cbor2 maps with short keys, which are known here alone.

Nodes of different versions of the program talk to each other: keys and their order stay, unknown keys are ignored,
and a kind that is not known is decoded as `UnknownMessage`.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

from hazelspring.consensus.control_state import (
    NO_CONFIGURATION,
    Ballot,
    ControlState,
    Voter,
    decode_ballot,
    decode_state,
)
from hazelspring.consensus.messages import (
    Accept,
    Accepted,
    AcceptedState,
    ConfigurationMissing,
    ConfigurationPayload,
    Decision,
    DeltaPath,
    DeltaStep,
    ForwardedChange,
    FullConfiguration,
    HeldConfiguration,
    Prepare,
    Promise,
    ProposalsForwarded,
    Rejected,
    RoundEnded,
    StateRequest,
)
from hazelspring.errors import HazelspringError
from hazelspring.membership.node_info import NodeInfo
from hazelspring.node.messages import (
    ControlVersions,
    CounterUnavailableNotice,
    CreditGrant,
    CreditRequest,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    Message,
    NodeState,
    RolesDeclined,
    RolesReleased,
    TableRequest,
    TableUpdate,
    UnknownMessage,
)

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


def encode(message: Message) -> bytes:
    """Return the bytes that a message is sent as."""
    data: bytes = cbor2.dumps(to_fields(message))
    return data


def decode(data: bytes) -> Message:
    """Return the message that came as some bytes; raises MalformedMessageError."""
    try:
        fields = cbor2.loads(data)
    except Exception as error:  # cbor2 passes on whatever a hostile body makes its parts raise
        raise MalformedMessageError("", "", f"no message: {type(error).__name__}: {error}") from error
    return from_fields(fields)


def to_fields(message: Message) -> Fields:
    """Return the map that goes over the wire for a message."""
    return _ENCODERS[type(message)](message)


def from_fields(fields: Any) -> Message:
    """Return the message that a map stands for; raises MalformedMessageError."""
    if not isinstance(fields, dict):
        raise MalformedMessageError("", "", "no message: not a map")
    if KIND_KEY not in fields or isinstance(fields[KIND_KEY], list | dict):
        raise MalformedMessageError("", KIND_KEY)
    kind = fields[KIND_KEY]
    decoder = _DECODERS.get(kind) if isinstance(kind, str) else None
    return decoder(fields) if decoder is not None else UnknownMessage(str(kind))


def kind_of(message: Message) -> str:
    """Return the kind of a message, by its name on the wire."""
    return message.kind if isinstance(message, UnknownMessage) else KINDS[type(message)]


def node_state_checksum(state: NodeState) -> int:
    """Return the checksum by which a node's state is known to others."""
    return _checksum(_encode_node_state(state))


# Fields


def _required(fields: Fields, key: str, kind: type[T]) -> T:
    value = fields.get(key)
    if not isinstance(value, kind):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return value


def _optional(fields: Fields, key: str, kind: type[T]) -> T | None:
    return _required(fields, key, kind) if key in fields else None


def _list_of(fields: Fields, key: str, kind: type[T]) -> list[T]:
    values: list[T] = _required(fields, key, list)
    if not all(isinstance(value, kind) for value in values):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return values


def _ballot(fields: Fields, key: str = "b") -> Ballot:
    return _parse_ballot(fields, key, _required(fields, key, list))


def _parse_ballot(fields: Fields, key: str, row: Any) -> Ballot:
    try:
        count, incarnation, ip = ballot = decode_ballot(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(count, int) and isinstance(incarnation, int) and isinstance(ip, str)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return ballot


def _control_state(fields: Fields, key: str, row: Any) -> ControlState:
    try:
        state = decode_state(row)
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(fields[KIND_KEY], key) from error
    if not (isinstance(state.version, int) and isinstance(state.configuration_digest, bytes)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return state


def _accepted_state(fields: Fields) -> AcceptedState | None:
    row = fields.get("a")
    if "a" not in fields or not (row is None or (isinstance(row, list) and len(row) == 2)):
        raise MalformedMessageError(fields[KIND_KEY], "a")
    if row is None:
        return None
    return AcceptedState(_parse_ballot(fields, "a", row[0]), _control_state(fields, "a", row[1]))


def _voter(fields: Fields) -> Voter:
    row = _required(fields, "u", list)
    if len(row) != 2 or not (isinstance(row[0], int) and isinstance(row[1], bool)):
        raise MalformedMessageError(fields[KIND_KEY], "u")
    return Voter(*row)


def _node_info(fields: Fields, key: str, row: Any) -> NodeInfo:
    if not (isinstance(row, list) and len(row) == 5):
        raise MalformedMessageError(fields[KIND_KEY], key)
    about = NodeInfo(*row)
    if not (isinstance(about.ip, str) and isinstance(about.incarnation, int)):
        raise MalformedMessageError(fields[KIND_KEY], key)
    return about


def _sender(fields: Fields) -> NodeInfo | None:
    return _node_info(fields, "a", fields["a"]) if "a" in fields else None


# What brings a configuration


def _encode_payload(payload: ConfigurationPayload | None) -> Fields:
    if payload is None:
        return {}
    if isinstance(payload, FullConfiguration):
        return {"w": payload.packed}
    return {"x": [payload.base_digest, [[step.digest, step.delta] for step in payload.steps]]}


def _payload(fields: Fields) -> ConfigurationPayload | None:
    if "x" in fields:
        return _delta_path(fields["x"])
    packed = fields.get("w")
    if packed is None:
        return None
    return FullConfiguration(_required(fields, "w", bytes))


def _delta_path(row: Any) -> DeltaPath:
    """Return a path; an empty one, which leads nowhere, for one that is malformed, as the whole is asked for then."""
    try:
        base, steps = row
        path = DeltaPath(base, tuple(DeltaStep(digest, delta) for digest, delta in steps))
    except (TypeError, ValueError):
        return DeltaPath(NO_CONFIGURATION, ())
    sound = isinstance(base, bytes) and all(
        isinstance(step.digest, bytes) and isinstance(step.delta, bytes) for step in path.steps
    )
    return path if sound else DeltaPath(NO_CONFIGURATION, ())


def _held(fields: Fields) -> HeldConfiguration:
    return HeldConfiguration(_required(fields, "h", bytes), "e" in fields)


def _encode_held(held: HeldConfiguration) -> Fields:
    return {"h": held.digest, "e": 1} if held.accepts_deltas else {"h": held.digest}


# The agreement


def _encode_prepare(message: Prepare) -> Fields:
    return {
        "b": list(message.ballot),
        "d": message.base_version,
        "k": "prepare",
        **_encode_held(message.held),
    }


def _decode_prepare(fields: Fields) -> Prepare:
    return Prepare(_ballot(fields), _required(fields, "d", int), _held(fields))


def _encode_promise(message: Promise) -> Fields:
    accepted = message.accepted
    return {
        "k": "promise",
        "b": list(message.ballot),
        "u": list(message.voter),
        "h": list(message.held_digests),
        "a": [list(accepted.ballot), accepted.state.encode()] if accepted is not None else None,
        **_encode_payload(message.payload),
    }


def _decode_promise(fields: Fields) -> Promise:
    held = tuple(_list_of(fields, "h", bytes))
    return Promise(_ballot(fields), _voter(fields), held, _accepted_state(fields), _payload(fields))


def _encode_accept(message: Accept) -> Fields:
    return {
        "b": list(message.ballot),
        "d": message.base_version,
        "k": "accept",
        "s": message.state.encode(),
        **_encode_payload(message.payload),
    }


def _decode_accept(fields: Fields) -> Accept:
    state = _control_state(fields, "s", _required(fields, "s", list))
    return Accept(_ballot(fields), _required(fields, "d", int), state, _payload(fields))


def _encode_accepted(message: Accepted) -> Fields:
    return {"k": "accepted", "b": list(message.ballot), "u": list(message.voter)}


def _decode_accepted(fields: Fields) -> Accepted:
    return Accepted(_ballot(fields), _voter(fields))


def _encode_rejected(message: Rejected) -> Fields:
    return {
        "k": "no",
        "b": list(message.ballot),
        "p": list(message.promised),
        "w": message.wait_ms,
        "a": message.of_accept,
    }


def _decode_rejected(fields: Fields) -> Rejected:
    wait_ms, of_accept = _required(fields, "w", int), _required(fields, "a", bool)
    return Rejected(_ballot(fields), _ballot(fields, "p"), wait_ms, of_accept)


def _encode_round_ended(message: RoundEnded) -> Fields:
    return {"k": "over", "b": list(message.ballot)}


def _decode_round_ended(fields: Fields) -> RoundEnded:
    return RoundEnded(_ballot(fields))


def _encode_configuration_missing(message: ConfigurationMissing) -> Fields:
    return {"k": "lack", "b": list(message.ballot)}


def _decode_configuration_missing(fields: Fields) -> ConfigurationMissing:
    return ConfigurationMissing(_ballot(fields))


def _encode_proposals_forwarded(message: ProposalsForwarded) -> Fields:
    rows = [
        [
            change.kind,
            change.configuration_version,
            change.configuration_digest,
            change.configuration,
            change.zone,
            change.evacuate,
        ]
        for change in message.changes
    ]
    return {"k": "hand", "v": message.version, "o": rows}


def _decode_proposals_forwarded(fields: Fields) -> ProposalsForwarded:
    version, rows = _required(fields, "v", int), _list_of(fields, "o", list)
    return ProposalsForwarded(version, tuple(_forwarded_change(fields, row) for row in rows))


def _forwarded_change(fields: Fields, row: list[Any]) -> ForwardedChange:
    if len(row) != 6 or row[0] not in ("put", "evacuate"):
        raise MalformedMessageError(fields[KIND_KEY], "o")
    change = ForwardedChange(*row)
    sound = (
        isinstance(change.configuration_version, int)
        and isinstance(change.configuration_digest, bytes)
        and isinstance(change.configuration, bytes | None)
        and isinstance(change.zone, str)
        and isinstance(change.evacuate, bool)
    )
    if not sound:
        raise MalformedMessageError(fields[KIND_KEY], "o")
    return change


def _encode_state_request(message: StateRequest) -> Fields:
    return {"k": "want", "v": message.version, **_encode_held(message.held)}


def _decode_state_request(fields: Fields) -> StateRequest:
    return StateRequest(_required(fields, "v", int), _held(fields))


def _encode_decision(message: Decision) -> Fields:
    return {
        "k": "decided",
        "b": list(message.ballot),
        "s": message.state.encode(),
        **_encode_payload(message.payload),
    }


def _decode_decision(fields: Fields) -> Decision:
    state = _control_state(fields, "s", _required(fields, "s", list))
    return Decision(_ballot(fields), state, _payload(fields))


# Heartbeats


def _encode_heartbeat(message: Heartbeat) -> Fields:
    fields: Fields = {
        "k": "beat",
        "l": message.incarnation,
        "t": message.number,
        "r": message.ready,
        "c": message.core_checksum,
        "x": message.known_state_checksum,
    }
    if message.sender is not None:
        fields["a"] = message.sender.encode()
    if message.requested_roles is not None:
        fields["w"] = message.requested_roles
    if message.grants_nothing:
        fields["q"] = 1
    if message.roster_checksum is not None:
        fields["s"] = message.roster_checksum
    return fields


def _decode_heartbeat(fields: Fields) -> Heartbeat:
    return Heartbeat(
        _required(fields, "l", int),
        _required(fields, "t", int),
        _required(fields, "r", bool),
        _required(fields, "c", int),
        _required(fields, "x", int),
        _sender(fields),
        _list_of(fields, "w", int) if "w" in fields else None,
        "q" in fields,
        _optional(fields, "s", int),
    )


def _encode_node_state(state: NodeState) -> Fields:
    fields: Fields = {
        "n": state.table_versions,
        "m": {"doors": state.max_node_count},
        "h": {"v": state.control_versions.decided, "p": state.control_versions.pending},
    }
    if state.role_holders is not None:
        fields["d"] = state.role_holders
    if state.unresponsive_members is not None:
        fields["q"] = dict.fromkeys(state.unresponsive_members, 1)
    if state.declined_roles:
        fields["o"] = dict.fromkeys(state.declined_roles, 1)
    return fields


def _checksum(state: Fields) -> int:
    return zlib.crc32(repr(sorted((key, sorted(each.items())) for key, each in state.items())).encode())


def _decode_node_state(fields: Fields) -> tuple[NodeState | None, int]:
    """Return a node's state and its checksum, which covers keys that are unknown here, too."""
    if "z" not in fields:
        return None, 0
    row = _required(fields, "z", dict)
    try:
        state = NodeState(
            row["n"],
            row["m"]["doors"],
            ControlVersions(row["h"]["v"], row["h"]["p"]),
            row.get("d"),
            tuple(row["q"]) if "q" in row else None,
            tuple(row.get("o", ())),
        )
        checksum = _checksum(row)
    except (TypeError, ValueError, LookupError, AttributeError) as error:
        raise MalformedMessageError(fields[KIND_KEY], "z") from error
    sound = (
        isinstance(state.table_versions, dict)
        and isinstance(state.max_node_count, int)
        and all(isinstance(version, int) for version in state.control_versions)
        and isinstance(state.role_holders, dict | None)
    )
    if not sound:
        raise MalformedMessageError(fields[KIND_KEY], "z")
    return state, checksum


def _encode_heartbeat_reply(message: HeartbeatReply) -> Fields:
    fields: Fields = {"k": "echo", "l": message.incarnation, "t": message.number}
    if message.sender is not None:
        fields["a"] = message.sender.encode()
    if message.asks_identity:
        fields["y"] = 1
    if message.relied_on_roles is not None:
        fields["p"] = message.relied_on_roles
    if message.granted_roles is not None:
        fields["g"] = message.granted_roles
    if message.list_age is not None:
        fields["f"] = message.list_age
    if message.state is not None:
        fields["z"] = _encode_node_state(message.state)
    if message.core_nodes is not None:
        fields["c"] = [member.encode() for member in message.core_nodes]
    if message.roster_change is not None:
        fields["e"] = message.roster_change
    if message.roster_rows is not None:
        fields["s"] = message.roster_rows
    return fields


def _decode_heartbeat_reply(fields: Fields) -> HeartbeatReply:
    state, checksum = _decode_node_state(fields)
    return HeartbeatReply(
        _required(fields, "l", int),
        _required(fields, "t", int),
        _sender(fields),
        "y" in fields,
        _list_of(fields, "p", int) if "p" in fields else None,
        _list_of(fields, "g", int) if "g" in fields else None,
        _optional(fields, "f", int),
        state,
        checksum,
        [_node_info(fields, "c", row) for row in _required(fields, "c", list)] if "c" in fields else None,
        _optional(fields, "e", list),
        _optional(fields, "s", list),
    )


# Servers, roles, load and quotas


def _encode_table_request(message: TableRequest) -> Fields:
    return {"k": "ask", "s": message.service}


def _decode_table_request(fields: Fields) -> TableRequest:
    return TableRequest(_required(fields, "s", str))


def _encode_table_update(message: TableUpdate) -> Fields:
    return {"k": "news", "n": message.table}


def _decode_table_update(fields: Fields) -> TableUpdate:
    table: list[Any] = _required(fields, "n", list)
    if len(table) < 2 or not (isinstance(table[0], str) and isinstance(table[1], int)):
        raise MalformedMessageError(fields[KIND_KEY], "n")
    return TableUpdate(table)


def _encode_roles(message: RolesDeclined) -> Fields:
    return {"k": KINDS[type(message)], "a": message.member.encode(), "d": message.roles}


def _decode_roles_declined(fields: Fields) -> RolesDeclined:
    return RolesDeclined(_node_info(fields, "a", fields.get("a")), _list_of(fields, "d", int))


def _decode_roles_released(fields: Fields) -> RolesReleased:
    return RolesReleased(_node_info(fields, "a", fields.get("a")), _list_of(fields, "d", int))


def _encode_load_report(message: LoadReport) -> Fields:
    return {"k": "dance", "o": message.in_flight_by_tag}


def _decode_load_report(fields: Fields) -> LoadReport:
    return LoadReport(_required(fields, "o", dict))


def _encode_credit_request(message: CreditRequest) -> Fields:
    return {
        "k": "lease",
        "n": message.tenant,
        "q": message.number,
        "u": message.units,
        "y": message.incarnation,
    }


def _decode_credit_request(fields: Fields) -> CreditRequest:
    return CreditRequest(
        _required(fields, "n", str),
        _required(fields, "q", int),
        _required(fields, "u", int),
        _required(fields, "y", int),
    )


def _encode_credit_grant(message: CreditGrant) -> Fields:
    return {
        "k": "grant",
        "y": message.incarnation,
        "n": message.tenant,
        "q": message.number,
        "u": message.units,
        "l": message.lifetime_ms,
        "f": message.granted_percent,
    }


def _decode_credit_grant(fields: Fields) -> CreditGrant:
    return CreditGrant(
        _required(fields, "y", int),
        _required(fields, "n", str),
        _required(fields, "q", int),
        _required(fields, "u", int),
        _required(fields, "l", int),
        _required(fields, "f", int),
    )


def _encode_counter_unavailable(message: CounterUnavailableNotice) -> Fields:
    return {"k": "lost", "n": message.tenant, "y": message.incarnation}


def _decode_counter_unavailable(fields: Fields) -> CounterUnavailableNotice:
    return CounterUnavailableNotice(_required(fields, "n", str), _required(fields, "y", int))


def _encode_unknown(message: UnknownMessage) -> Fields:
    return {"k": message.kind}


_ENCODERS: dict[type, Callable[[Any], Fields]] = {
    Prepare: _encode_prepare,
    Promise: _encode_promise,
    Accept: _encode_accept,
    Accepted: _encode_accepted,
    Rejected: _encode_rejected,
    RoundEnded: _encode_round_ended,
    ConfigurationMissing: _encode_configuration_missing,
    ProposalsForwarded: _encode_proposals_forwarded,
    StateRequest: _encode_state_request,
    Decision: _encode_decision,
    Heartbeat: _encode_heartbeat,
    HeartbeatReply: _encode_heartbeat_reply,
    TableRequest: _encode_table_request,
    TableUpdate: _encode_table_update,
    RolesDeclined: _encode_roles,
    RolesReleased: _encode_roles,
    LoadReport: _encode_load_report,
    CreditRequest: _encode_credit_request,
    CreditGrant: _encode_credit_grant,
    CounterUnavailableNotice: _encode_counter_unavailable,
    UnknownMessage: _encode_unknown,
}
_DECODERS: dict[str, Callable[[Fields], Message]] = {
    "prepare": _decode_prepare,
    "promise": _decode_promise,
    "accept": _decode_accept,
    "accepted": _decode_accepted,
    "no": _decode_rejected,
    "over": _decode_round_ended,
    "lack": _decode_configuration_missing,
    "hand": _decode_proposals_forwarded,
    "want": _decode_state_request,
    "decided": _decode_decision,
    "beat": _decode_heartbeat,
    "echo": _decode_heartbeat_reply,
    "ask": _decode_table_request,
    "news": _decode_table_update,
    "decline": _decode_roles_declined,
    "free": _decode_roles_released,
    "dance": _decode_load_report,
    "lease": _decode_credit_request,
    "grant": _decode_credit_grant,
    "lost": _decode_counter_unavailable,
}
KINDS: dict[type, str] = {
    Prepare: "prepare",
    Promise: "promise",
    Accept: "accept",
    Accepted: "accepted",
    Rejected: "no",
    RoundEnded: "over",
    ConfigurationMissing: "lack",
    ProposalsForwarded: "hand",
    StateRequest: "want",
    Decision: "decided",
    Heartbeat: "beat",
    HeartbeatReply: "echo",
    TableRequest: "ask",
    TableUpdate: "news",
    RolesDeclined: "decline",
    RolesReleased: "free",
    LoadReport: "dance",
    CreditRequest: "lease",
    CreditGrant: "grant",
    CounterUnavailableNotice: "lost",
}
