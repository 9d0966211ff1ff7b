"""The wire format of messages: CBOR maps with short keys, which only this module and the codec_ modules use.

Nodes that run different versions of the program exchange messages.  So keys and their order never change,
unknown keys are ignored, and a message of an unknown kind is decoded as `UnknownMessage`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2

from hazelspring.consensus.messages import (
    Accept,
    Accepted,
    ConfigurationMissing,
    Decision,
    Prepare,
    Promise,
    ProposalsForwarded,
    Rejected,
    RoundEnded,
    StateRequest,
)
from hazelspring.node import codec_consensus, codec_node
from hazelspring.node.codec_fields import KIND_KEY, Fields, MalformedMessageError
from hazelspring.node.messages import (
    CounterUnavailableNotice,
    CreditGrant,
    CreditRequest,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    Message,
    RolesDeclined,
    RolesReleased,
    TableRequest,
    TableUpdate,
    UnknownMessage,
)


def encode(message: Message) -> bytes:
    """Return the encoded bytes of a message."""
    data: bytes = cbor2.dumps(to_fields(message))
    return data


def decode(data: bytes) -> Message:
    """Return the message that `data` encodes; raises MalformedMessageError."""
    try:
        fields = cbor2.loads(data)
    except Exception as error:  # a malicious body can make cbor2 raise any kind of error
        raise MalformedMessageError(
            "", "", f"cannot decode message: {type(error).__name__}: {error}"
        ) from error
    return from_fields(fields)


def to_fields(message: Message) -> Fields:
    """Return the map that encodes a message on the wire."""
    return _ENCODERS[type(message)](message)


def from_fields(fields: Any) -> Message:
    """Return the message that a map encodes; raises MalformedMessageError."""
    if not isinstance(fields, dict):
        raise MalformedMessageError("", "", "cannot decode message: not a map")
    if KIND_KEY not in fields or isinstance(fields[KIND_KEY], list | dict):
        raise MalformedMessageError("", KIND_KEY)
    kind = fields[KIND_KEY]
    decoder = _DECODERS.get(kind) if isinstance(kind, str) else None
    return decoder(fields) if decoder is not None else UnknownMessage(str(kind))


def kind_of(message: Message) -> str:
    """Return the kind of a message, which is its name on the wire."""
    return message.kind if isinstance(message, UnknownMessage) else KINDS[type(message)]


class WireFormat(NamedTuple):
    """One kind of message: its name on the wire, its class, and the functions that encode and decode it."""

    kind: str
    message_type: type
    encode: Callable[[Any], Fields]
    decode: Callable[[Fields], Message]


FORMATS = (
    WireFormat("prepare", Prepare, codec_consensus.encode_prepare, codec_consensus.decode_prepare),
    WireFormat("promise", Promise, codec_consensus.encode_promise, codec_consensus.decode_promise),
    WireFormat("accept", Accept, codec_consensus.encode_accept, codec_consensus.decode_accept),
    WireFormat("accepted", Accepted, codec_consensus.encode_accepted, codec_consensus.decode_accepted),
    WireFormat("no", Rejected, codec_consensus.encode_rejected, codec_consensus.decode_rejected),
    WireFormat("over", RoundEnded, codec_consensus.encode_round_ended, codec_consensus.decode_round_ended),
    WireFormat(
        "lack",
        ConfigurationMissing,
        codec_consensus.encode_configuration_missing,
        codec_consensus.decode_configuration_missing,
    ),
    WireFormat(
        "hand",
        ProposalsForwarded,
        codec_consensus.encode_proposals_forwarded,
        codec_consensus.decode_proposals_forwarded,
    ),
    WireFormat(
        "want", StateRequest, codec_consensus.encode_state_request, codec_consensus.decode_state_request
    ),
    WireFormat("decided", Decision, codec_consensus.encode_decision, codec_consensus.decode_decision),
    WireFormat("beat", Heartbeat, codec_node.encode_heartbeat, codec_node.decode_heartbeat),
    WireFormat("echo", HeartbeatReply, codec_node.encode_heartbeat_reply, codec_node.decode_heartbeat_reply),
    WireFormat("ask", TableRequest, codec_node.encode_table_request, codec_node.decode_table_request),
    WireFormat("news", TableUpdate, codec_node.encode_table_update, codec_node.decode_table_update),
    WireFormat("decline", RolesDeclined, codec_node.encode_roles, codec_node.decode_roles_declined),
    WireFormat("free", RolesReleased, codec_node.encode_roles, codec_node.decode_roles_released),
    WireFormat("dance", LoadReport, codec_node.encode_load_report, codec_node.decode_load_report),
    WireFormat("lease", CreditRequest, codec_node.encode_credit_request, codec_node.decode_credit_request),
    WireFormat("grant", CreditGrant, codec_node.encode_credit_grant, codec_node.decode_credit_grant),
    WireFormat(
        "lost",
        CounterUnavailableNotice,
        codec_node.encode_counter_unavailable,
        codec_node.decode_counter_unavailable,
    ),
)
KINDS: dict[type, str] = {each.message_type: each.kind for each in FORMATS}
_ENCODERS = {each.message_type: each.encode for each in FORMATS} | {
    UnknownMessage: lambda message: {KIND_KEY: message.kind}
}
_DECODERS = {each.kind: each.decode for each in FORMATS}
