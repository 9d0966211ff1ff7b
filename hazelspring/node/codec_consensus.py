"""The wire format of consensus messages."""

from __future__ import annotations

from typing import Any

from hazelspring.consensus.control_state import NO_CONFIGURATION
from hazelspring.consensus.messages import (
    Accept,
    Accepted,
    ConfigurationMissing,
    ConfigurationPayload,
    Decision,
    DeltaPath,
    DeltaStep,
    ForwardedChange,
    FullConfiguration,
    KnownConfiguration,
    Prepare,
    Promise,
    ProposalsForwarded,
    Rejected,
    RoundEnded,
    StateRequest,
)
from hazelspring.node.codec_fields import (
    KIND_KEY,
    Fields,
    MalformedMessageError,
    accepted_state_field,
    ballot_field,
    control_state_field,
    list_of,
    required,
    voter_field,
)


def _encode_payload(payload: ConfigurationPayload | None) -> Fields:
    if payload is None:
        return {}
    if isinstance(payload, FullConfiguration):
        return {"w": payload.compressed}
    return {"x": [payload.base_digest, [[step.digest, step.delta] for step in payload.steps]]}


def _payload(fields: Fields) -> ConfigurationPayload | None:
    if "x" in fields:
        return _delta_path(fields["x"])
    compressed = fields.get("w")
    if compressed is None:
        return None
    return FullConfiguration(required(fields, "w", bytes))


def _delta_path(row: Any) -> DeltaPath:
    """Return the path of deltas that a row encodes.

    For a malformed row, the result is an empty path.  No configuration can be computed from it, so the
    recipient requests the complete configuration.
    """
    try:
        base, steps = row
        path = DeltaPath(base, tuple(DeltaStep(digest, delta) for digest, delta in steps))
    except (TypeError, ValueError):
        return DeltaPath(NO_CONFIGURATION, ())
    is_valid = isinstance(base, bytes) and all(
        isinstance(step.digest, bytes) and isinstance(step.delta, bytes) for step in path.steps
    )
    return path if is_valid else DeltaPath(NO_CONFIGURATION, ())


def _known(fields: Fields) -> KnownConfiguration:
    return KnownConfiguration(required(fields, "h", bytes), "e" in fields)


def _encode_known(known: KnownConfiguration) -> Fields:
    return {"h": known.digest, "e": 1} if known.accepts_deltas else {"h": known.digest}


def encode_prepare(message: Prepare) -> Fields:
    """Return the map that encodes a `Prepare`."""
    return {
        "b": list(message.ballot),
        "d": message.base_version,
        "k": "prepare",
        **_encode_known(message.known),
    }


def decode_prepare(fields: Fields) -> Prepare:
    """Return the `Prepare` that a map encodes; raises MalformedMessageError."""
    return Prepare(ballot_field(fields), required(fields, "d", int), _known(fields))


def encode_promise(message: Promise) -> Fields:
    """Return the map that encodes a `Promise`."""
    accepted = message.accepted
    return {
        "k": "promise",
        "b": list(message.ballot),
        "u": list(message.voter),
        "h": list(message.known_digests),
        "a": [list(accepted.ballot), accepted.state.encode()] if accepted is not None else None,
        **_encode_payload(message.payload),
    }


def decode_promise(fields: Fields) -> Promise:
    """Return the `Promise` that a map encodes; raises MalformedMessageError."""
    known_digests = tuple(list_of(fields, "h", bytes))
    return Promise(
        ballot_field(fields),
        voter_field(fields),
        known_digests,
        accepted_state_field(fields),
        _payload(fields),
    )


def encode_accept(message: Accept) -> Fields:
    """Return the map that encodes an `Accept`."""
    return {
        "b": list(message.ballot),
        "d": message.base_version,
        "k": "accept",
        "s": message.state.encode(),
        **_encode_payload(message.payload),
    }


def decode_accept(fields: Fields) -> Accept:
    """Return the `Accept` that a map encodes; raises MalformedMessageError."""
    state = control_state_field(fields, "s", required(fields, "s", list))
    return Accept(ballot_field(fields), required(fields, "d", int), state, _payload(fields))


def encode_accepted(message: Accepted) -> Fields:
    """Return the map that encodes an `Accepted`."""
    return {"k": "accepted", "b": list(message.ballot), "u": list(message.voter)}


def decode_accepted(fields: Fields) -> Accepted:
    """Return the `Accepted` that a map encodes; raises MalformedMessageError."""
    return Accepted(ballot_field(fields), voter_field(fields))


def encode_rejected(message: Rejected) -> Fields:
    """Return the map that encodes a `Rejected`."""
    return {
        "k": "no",
        "b": list(message.ballot),
        "p": list(message.promised),
        "w": message.wait_ms,
        "a": message.of_accept,
    }


def decode_rejected(fields: Fields) -> Rejected:
    """Return the `Rejected` that a map encodes; raises MalformedMessageError."""
    wait_ms, of_accept = required(fields, "w", int), required(fields, "a", bool)
    return Rejected(ballot_field(fields), ballot_field(fields, "p"), wait_ms, of_accept)


def encode_round_ended(message: RoundEnded) -> Fields:
    """Return the map that encodes a `RoundEnded`."""
    return {"k": "over", "b": list(message.ballot)}


def decode_round_ended(fields: Fields) -> RoundEnded:
    """Return the `RoundEnded` that a map encodes; raises MalformedMessageError."""
    return RoundEnded(ballot_field(fields))


def encode_configuration_missing(message: ConfigurationMissing) -> Fields:
    """Return the map that encodes a `ConfigurationMissing`."""
    return {"k": "lack", "b": list(message.ballot)}


def decode_configuration_missing(fields: Fields) -> ConfigurationMissing:
    """Return the `ConfigurationMissing` that a map encodes; raises MalformedMessageError."""
    return ConfigurationMissing(ballot_field(fields))


def encode_proposals_forwarded(message: ProposalsForwarded) -> Fields:
    """Return the map that encodes a `ProposalsForwarded`."""
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


def decode_proposals_forwarded(fields: Fields) -> ProposalsForwarded:
    """Return the `ProposalsForwarded` that a map encodes; raises MalformedMessageError."""
    version, rows = required(fields, "v", int), list_of(fields, "o", list)
    return ProposalsForwarded(version, tuple(_forwarded_change(fields, row) for row in rows))


def _forwarded_change(fields: Fields, row: list[Any]) -> ForwardedChange:
    if len(row) != 6 or row[0] not in ("put", "evacuate"):
        raise MalformedMessageError(fields[KIND_KEY], "o")
    change = ForwardedChange(*row)
    is_valid = (
        isinstance(change.configuration_version, int)
        and isinstance(change.configuration_digest, bytes)
        and isinstance(change.configuration, bytes | None)
        and isinstance(change.zone, str)
        and isinstance(change.evacuate, bool)
    )
    if not is_valid:
        raise MalformedMessageError(fields[KIND_KEY], "o")
    return change


def encode_state_request(message: StateRequest) -> Fields:
    """Return the map that encodes a `StateRequest`."""
    return {"k": "want", "v": message.version, **_encode_known(message.known)}


def decode_state_request(fields: Fields) -> StateRequest:
    """Return the `StateRequest` that a map encodes; raises MalformedMessageError."""
    return StateRequest(required(fields, "v", int), _known(fields))


def encode_decision(message: Decision) -> Fields:
    """Return the map that encodes a `Decision`."""
    return {
        "k": "decided",
        "b": list(message.ballot),
        "s": message.state.encode(),
        **_encode_payload(message.payload),
    }


def decode_decision(fields: Fields) -> Decision:
    """Return the `Decision` that a map encodes; raises MalformedMessageError."""
    state = control_state_field(fields, "s", required(fields, "s", list))
    return Decision(ballot_field(fields), state, _payload(fields))
