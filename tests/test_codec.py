"""Decoding of messages: errors name the kind and the field; unknown kinds and fields are accepted."""

from __future__ import annotations

from typing import Any

import cbor2
import pytest

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.messages import Accept, Decision, DeltaPath, KnownConfiguration, Prepare, Promise
from hazelspring.node import codec
from hazelspring.node.codec_fields import Fields, MalformedMessageError
from hazelspring.node.codec_node import node_state_checksum
from hazelspring.node.messages import Heartbeat, HeartbeatReply, UnknownMessage

from .golden.recording import read

BALLOT, STATE, NODE = [3, 100, "d1"], ControlState(4, (), ()).encode(), ["d1", "z", "r", 7, 100]
NODE_STATE = {"n": {"shop": 3}, "m": {"doors": 4}, "h": {"v": 1, "p": -1}}
MALFORMED_BALLOTS = [None, 1, "x", [], [1, 2], ["1", 2, "d1"], [1, "2", "d1"], [1, 2, 3], [1, 2, "d1", 4]]
MALFORMED_STATES = [
    None,
    1,
    [],
    [1, 2],
    ["4", *STATE[1:]],
    [*STATE[:5], "digest", []],
    [4, [[]], 0, 0, -1, b"", []],
]
NON_INTEGERS: list[Any] = [None, "1", 1.5, b"", [1]]
NON_BOOLEANS: list[Any] = [None, 1, "yes"]
NON_STRINGS: list[Any] = [None, 1, b"shop", []]
NON_BYTES: list[Any] = [None, 1, "text", [b""]]
NON_MAPS: list[Any] = [None, 1, [], "x"]
MALFORMED_ROLES: list[Any] = [None, 1, {}, "12", [1, "2"]]
MALFORMED_NODES = [None, 1, [], NODE[:4], [*NODE, 1], [1, *NODE[1:]], [*NODE[:4], "100"]]
MALFORMED_CHANGES: list[Any] = [
    None,
    {},
    [1],
    [[]],
    [["retire", -1, b"", None, "z", True]],
    [["put", "1", b"", None, "z", True]],
    [["put", 1, "", None, "z", True]],
    [["put", 1, b"", "text", "z", True]],
    [["put", 1, b"", None, 1, True]],
    [["put", 1, b"", None, "z", 1]],
    [["put", 1, b"", None, "z"]],
]
MALFORMED_NODE_STATES: list[Any] = [
    None,
    [],
    {},
    *({key: value for key, value in NODE_STATE.items() if key != left} for left in NODE_STATE),
    NODE_STATE | {"n": 1},
    NODE_STATE | {"m": {}},
    NODE_STATE | {"m": {"doors": "4"}},
    NODE_STATE | {"h": {"v": 1}},
    NODE_STATE | {"h": {"v": "1", "p": 2}},
    NODE_STATE | {"d": []},
    NODE_STATE | {"q": 1},
    NODE_STATE | {"unknown": 1},
]

# By kind: a valid message and, for each required field, values that are malformed.
REQUIRED: dict[str, tuple[Fields, dict[str, list[Any]]]] = {
    "prepare": (
        {"b": BALLOT, "d": 3, "h": b"digest"},
        {"b": MALFORMED_BALLOTS, "d": NON_INTEGERS, "h": NON_BYTES},
    ),
    "promise": (
        {"b": BALLOT, "u": [7, False], "h": [b"digest"], "a": [BALLOT, STATE]},
        {
            "b": MALFORMED_BALLOTS,
            "u": [None, 7, [], [7], ["7", False], [7, 1], [7, False, 1]],
            "h": [None, b"digest", ["digest"]],
            "a": [1, [], [BALLOT], [BALLOT, 1], [[1], STATE], [BALLOT, STATE, 1]],
        },
    ),
    "accept": (
        {"b": BALLOT, "d": 3, "s": STATE},
        {"b": MALFORMED_BALLOTS, "d": NON_INTEGERS, "s": MALFORMED_STATES},
    ),
    "accepted": ({"b": BALLOT, "u": [7, True]}, {"b": MALFORMED_BALLOTS, "u": [None, [7]]}),
    "no": (
        {"b": BALLOT, "p": BALLOT, "w": 200, "a": True},
        {"b": MALFORMED_BALLOTS, "p": MALFORMED_BALLOTS, "w": NON_INTEGERS, "a": NON_BOOLEANS},
    ),
    "over": ({"b": BALLOT}, {"b": MALFORMED_BALLOTS}),
    "lack": ({"b": BALLOT}, {"b": MALFORMED_BALLOTS}),
    "hand": ({"v": 3, "o": [["put", 1, b"", None, "z", True]]}, {"v": NON_INTEGERS, "o": MALFORMED_CHANGES}),
    "want": ({"v": 3, "h": b"digest"}, {"v": NON_INTEGERS, "h": NON_BYTES}),
    "decided": ({"b": BALLOT, "s": STATE}, {"b": MALFORMED_BALLOTS, "s": MALFORMED_STATES}),
    "beat": (
        {"l": 100, "t": 1, "r": True, "c": 5, "x": 6},
        {"l": NON_INTEGERS, "t": NON_INTEGERS, "r": NON_BOOLEANS, "c": NON_INTEGERS, "x": NON_INTEGERS},
    ),
    "echo": ({"l": 100, "t": 1}, {"l": NON_INTEGERS, "t": NON_INTEGERS}),
    "ask": ({"s": "shop"}, {"s": NON_STRINGS}),
    "news": ({"n": ["shop", 3, []]}, {"n": [None, {}, [], ["shop"], [1, 3], ["shop", "3"]]}),
    "decline": ({"a": NODE, "d": [1]}, {"a": MALFORMED_NODES, "d": MALFORMED_ROLES}),
    "free": ({"a": NODE, "d": [1]}, {"a": MALFORMED_NODES, "d": MALFORMED_ROLES}),
    "dance": ({"o": {7: 1}}, {"o": NON_MAPS}),
    "lease": (
        {"n": "acme", "q": 1, "u": 2, "y": 100},
        {"n": NON_STRINGS, "q": NON_INTEGERS, "u": NON_INTEGERS, "y": NON_INTEGERS},
    ),
    "grant": (
        {"y": 100, "n": "acme", "q": 1, "u": 2, "l": 150, "f": 30},
        {
            "y": NON_INTEGERS,
            "n": NON_STRINGS,
            "q": NON_INTEGERS,
            "u": NON_INTEGERS,
            "l": NON_INTEGERS,
            "f": NON_INTEGERS,
        },
    ),
    "lost": ({"n": "acme", "y": 100}, {"n": NON_STRINGS, "y": NON_INTEGERS}),
}
# By kind and optional field: values that are malformed.
OPTIONAL: dict[tuple[str, str], list[Any]] = {
    ("promise", "w"): [1, "text", []],
    ("accept", "w"): [1, "text", []],
    ("decided", "w"): [1, "text", []],
    ("beat", "a"): MALFORMED_NODES,
    ("beat", "w"): MALFORMED_ROLES,
    ("beat", "s"): NON_INTEGERS,
    ("echo", "a"): MALFORMED_NODES,
    ("echo", "p"): MALFORMED_ROLES,
    ("echo", "g"): MALFORMED_ROLES,
    ("echo", "f"): NON_INTEGERS,
    ("echo", "z"): MALFORMED_NODE_STATES,
    ("echo", "c"): [None, {}, [1], [NODE[:4]]],
    ("echo", "e"): NON_MAPS[:2],
    ("echo", "s"): NON_MAPS[:2],
}


def fields_of(kind: str) -> Fields:
    return {"k": kind, **REQUIRED[kind][0]}


def decode_error(fields: Any) -> tuple[str, str]:
    with pytest.raises(MalformedMessageError) as caught:
        codec.decode(cbor2.dumps(fields))
    assert caught.value.code == "malformed_message"
    return caught.value.kind, caught.value.field


def test_the_table_has_every_kind_and_its_messages_are_sound() -> None:
    assert (
        REQUIRED.keys() == set(codec.KINDS.values()) == {key.split("/")[0] for key in read("messages.json")}
    )
    for kind in REQUIRED:
        message = codec.decode(cbor2.dumps(fields_of(kind)))
        assert codec.kind_of(message) == kind
        assert cbor2.loads(codec.encode(message)) == fields_of(kind)


@pytest.mark.parametrize(
    ("kind", "field"),
    [(kind, field) for kind, (_, fields) in REQUIRED.items() for field in fields],
)
def test_the_error_names_a_required_field_that_is_missing_or_malformed(kind: str, field: str) -> None:
    fields = fields_of(kind)
    assert decode_error({key: value for key, value in fields.items() if key != field}) == (kind, field)
    for wrong in REQUIRED[kind][1][field]:
        assert decode_error(fields | {field: wrong}) == (kind, field), wrong


def test_the_table_has_every_required_field() -> None:
    for kind, (valid, wrong_values) in REQUIRED.items():
        assert valid.keys() == wrong_values.keys(), kind


@pytest.mark.parametrize(("kind", "field"), OPTIONAL)
def test_the_error_names_an_optional_field_that_is_malformed(kind: str, field: str) -> None:
    for wrong in OPTIONAL[kind, field]:
        assert decode_error(fields_of(kind) | {field: wrong}) == (kind, field), wrong


def test_data_that_is_not_a_message_is_rejected() -> None:
    for body in (b"", b"\xff", b"\x9f", cbor2.dumps([1]), cbor2.dumps("beat"), cbor2.dumps(None)):
        with pytest.raises(MalformedMessageError) as caught:
            codec.decode(body)
        assert (caught.value.kind, caught.value.field) == ("", "")
    assert (
        decode_error({})
        == decode_error({"b": BALLOT})
        == decode_error({"k": []})
        == decode_error({"k": {}})
        == ("", "k")
    )


@pytest.mark.parametrize("kind", REQUIRED)
def test_an_unknown_field_is_ignored(kind: str) -> None:
    fields = fields_of(kind)
    newer = codec.decode(cbor2.dumps(fields | {"unknown": [1], 7: None}))
    assert newer == codec.decode(cbor2.dumps(fields))


def test_a_message_of_an_unknown_kind_is_decoded_as_an_unknown_message() -> None:
    assert codec.decode(cbor2.dumps({"k": "newer", "z": 1})) == UnknownMessage("newer")
    assert codec.decode(cbor2.dumps({"k": 7})) == UnknownMessage("7")
    assert codec.decode(cbor2.dumps({"k": None})) == UnknownMessage("None")
    assert cbor2.loads(codec.encode(UnknownMessage("newer"))) == {"k": "newer"}


def test_an_absent_optional_field_has_its_default() -> None:
    heartbeat = codec.from_fields(fields_of("beat"))
    assert heartbeat == Heartbeat(100, 1, True, 5, 6, None, None, False, None)
    reply = codec.from_fields(fields_of("echo"))
    assert reply == HeartbeatReply(100, 1)
    prepare = codec.from_fields(fields_of("prepare"))
    assert isinstance(prepare, Prepare) and prepare.known == KnownConfiguration(b"digest", False)
    prepare = codec.from_fields(fields_of("prepare") | {"e": 1})
    assert isinstance(prepare, Prepare) and prepare.known == KnownConfiguration(b"digest", True)
    promise = codec.from_fields(fields_of("promise") | {"a": None})
    assert isinstance(promise, Promise) and promise.accepted is None and promise.payload is None
    accept = codec.from_fields(fields_of("accept") | {"w": None})
    assert isinstance(accept, Accept) and accept.payload is None


@pytest.mark.parametrize(
    "path", [None, 7, [], [1, 2], [b"1"], [b"1", [[b"2"]]], [b"1", [[[], b""]]], [b"1", [[b"2", 3]]]]
)
def test_a_malformed_path_of_deltas_is_decoded_as_an_empty_path(path: Any) -> None:
    message = codec.from_fields(fields_of("decided") | {"x": path})
    assert isinstance(message, Decision) and message.payload == DeltaPath(b"", ())


def test_the_checksum_of_a_state_covers_unknown_keys() -> None:
    known = codec.from_fields(fields_of("echo") | {"z": NODE_STATE})
    newer = codec.from_fields(fields_of("echo") | {"z": NODE_STATE | {"later": {"a": 1}}})
    assert isinstance(known, HeartbeatReply) and isinstance(newer, HeartbeatReply)
    assert known.state is not None and known.state == newer.state
    assert known.state_checksum == node_state_checksum(known.state) == 460542934
    assert newer.state_checksum == 3895817491
