"""The wire format of heartbeats and of messages about tables, singleton roles, load reports and quotas."""

from __future__ import annotations

import zlib
from typing import Any

from hazelspring.node.codec_fields import (
    KIND_KEY,
    Fields,
    MalformedMessageError,
    list_of,
    node_info_field,
    optional,
    required,
    sender_field,
)
from hazelspring.node.messages import (
    ControlVersions,
    CounterUnavailableNotice,
    CreditGrant,
    CreditRequest,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    NodeState,
    RolesDeclined,
    RolesReleased,
    TableRequest,
    TableUpdate,
)


def encode_heartbeat(message: Heartbeat) -> Fields:
    """Return the map that encodes a `Heartbeat`."""
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
    if message.is_not_granting_leases:
        fields["q"] = 1
    if message.roster_checksum is not None:
        fields["s"] = message.roster_checksum
    return fields


def decode_heartbeat(fields: Fields) -> Heartbeat:
    """Return the `Heartbeat` that a map encodes; raises MalformedMessageError."""
    return Heartbeat(
        required(fields, "l", int),
        required(fields, "t", int),
        required(fields, "r", bool),
        required(fields, "c", int),
        required(fields, "x", int),
        sender_field(fields),
        list_of(fields, "w", int) if "w" in fields else None,
        "q" in fields,
        optional(fields, "s", int),
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
    """Return the sender's state and its checksum, or None and 0 if the message contains no state.

    The checksum also covers keys that this version of the program ignores.
    """
    if "z" not in fields:
        return None, 0
    row = required(fields, "z", dict)
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
    is_valid = (
        isinstance(state.table_versions, dict)
        and isinstance(state.max_node_count, int)
        and all(isinstance(version, int) for version in state.control_versions)
        and isinstance(state.role_holders, dict | None)
    )
    if not is_valid:
        raise MalformedMessageError(fields[KIND_KEY], "z")
    return state, checksum


def encode_heartbeat_reply(message: HeartbeatReply) -> Fields:
    """Return the map that encodes a `HeartbeatReply`."""
    fields: Fields = {"k": "echo", "l": message.incarnation, "t": message.number}
    if message.sender is not None:
        fields["a"] = message.sender.encode()
    if message.requests_identity:
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


def decode_heartbeat_reply(fields: Fields) -> HeartbeatReply:
    """Return the `HeartbeatReply` that a map encodes; raises MalformedMessageError."""
    state, checksum = _decode_node_state(fields)
    return HeartbeatReply(
        required(fields, "l", int),
        required(fields, "t", int),
        sender_field(fields),
        "y" in fields,
        list_of(fields, "p", int) if "p" in fields else None,
        list_of(fields, "g", int) if "g" in fields else None,
        optional(fields, "f", int),
        state,
        checksum,
        [node_info_field(fields, "c", row) for row in required(fields, "c", list)] if "c" in fields else None,
        optional(fields, "e", list),
        optional(fields, "s", list),
    )


def encode_table_request(message: TableRequest) -> Fields:
    """Return the map that encodes a `TableRequest`."""
    return {"k": "ask", "s": message.service}


def decode_table_request(fields: Fields) -> TableRequest:
    """Return the `TableRequest` that a map encodes; raises MalformedMessageError."""
    return TableRequest(required(fields, "s", str))


def encode_table_update(message: TableUpdate) -> Fields:
    """Return the map that encodes a `TableUpdate`."""
    return {"k": "news", "n": message.table}


def decode_table_update(fields: Fields) -> TableUpdate:
    """Return the `TableUpdate` that a map encodes; raises MalformedMessageError."""
    table: list[Any] = required(fields, "n", list)
    if len(table) < 2 or not (isinstance(table[0], str) and isinstance(table[1], int)):
        raise MalformedMessageError(fields[KIND_KEY], "n")
    return TableUpdate(table)


def encode_roles(message: RolesDeclined) -> Fields:
    """Return the map that encodes a `RolesDeclined` or a `RolesReleased`."""
    return {
        "k": "free" if isinstance(message, RolesReleased) else "decline",
        "a": message.member.encode(),
        "d": message.roles,
    }


def decode_roles_declined(fields: Fields) -> RolesDeclined:
    """Return the `RolesDeclined` that a map encodes; raises MalformedMessageError."""
    return RolesDeclined(node_info_field(fields, "a", fields.get("a")), list_of(fields, "d", int))


def decode_roles_released(fields: Fields) -> RolesReleased:
    """Return the `RolesReleased` that a map encodes; raises MalformedMessageError."""
    return RolesReleased(node_info_field(fields, "a", fields.get("a")), list_of(fields, "d", int))


def encode_load_report(message: LoadReport) -> Fields:
    """Return the map that encodes a `LoadReport`."""
    return {"k": "dance", "o": message.in_flight_by_tag}


def decode_load_report(fields: Fields) -> LoadReport:
    """Return the `LoadReport` that a map encodes; raises MalformedMessageError."""
    return LoadReport(required(fields, "o", dict))


def encode_credit_request(message: CreditRequest) -> Fields:
    """Return the map that encodes a `CreditRequest`."""
    return {
        "k": "lease",
        "n": message.tenant,
        "q": message.number,
        "u": message.units,
        "y": message.incarnation,
    }


def decode_credit_request(fields: Fields) -> CreditRequest:
    """Return the `CreditRequest` that a map encodes; raises MalformedMessageError."""
    return CreditRequest(
        required(fields, "n", str),
        required(fields, "q", int),
        required(fields, "u", int),
        required(fields, "y", int),
    )


def encode_credit_grant(message: CreditGrant) -> Fields:
    """Return the map that encodes a `CreditGrant`."""
    return {
        "k": "grant",
        "y": message.incarnation,
        "n": message.tenant,
        "q": message.number,
        "u": message.units,
        "l": message.lifetime_ms,
        "f": message.granted_percent,
    }


def decode_credit_grant(fields: Fields) -> CreditGrant:
    """Return the `CreditGrant` that a map encodes; raises MalformedMessageError."""
    return CreditGrant(
        required(fields, "y", int),
        required(fields, "n", str),
        required(fields, "q", int),
        required(fields, "u", int),
        required(fields, "l", int),
        required(fields, "f", int),
    )


def encode_counter_unavailable(message: CounterUnavailableNotice) -> Fields:
    """Return the map that encodes a `CounterUnavailableNotice`."""
    return {"k": "lost", "n": message.tenant, "y": message.incarnation}


def decode_counter_unavailable(fields: Fields) -> CounterUnavailableNotice:
    """Return the `CounterUnavailableNotice` that a map encodes; raises MalformedMessageError."""
    return CounterUnavailableNotice(required(fields, "n", str), required(fields, "y", int))


def node_state_checksum(state: NodeState) -> int:
    """Return the checksum by which the heartbeats of other nodes identify the state that they know."""
    return _checksum(_encode_node_state(state))
