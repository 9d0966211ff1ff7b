"""Messages from bytes: what is malformed is refused with its kind and field, what is newer is tolerated."""

from __future__ import annotations

from typing import Any

import cbor2
import pytest

from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.messages import Accept, Decision, DeltaPath, HeldConfiguration, Prepare, Promise
from hazelspring.node import codec
from hazelspring.node.codec_fields import Fields, MalformedMessageError
from hazelspring.node.codec_node import node_state_checksum
from hazelspring.node.messages import Heartbeat, HeartbeatReply, UnknownMessage

from .golden.recording import read

BALLOT, STATE, NODE = [3, 100, "d1"], ControlState(4, (), ()).encode(), ["d1", "z", "r", 7, 100]
NODE_STATE = {"n": {"shop": 3}, "m": {"doors": 4}, "h": {"v": 1, "p": -1}}
NO_BALLOTS = [None, 1, "x", [], [1, 2], ["1", 2, "d1"], [1, "2", "d1"], [1, 2, 3], [1, 2, "d1", 4]]
NO_STATES = [None, 1, [], [1, 2], ["4", *STATE[1:]], [*STATE[:5], "digest", []], [4, [[]], 0, 0, -1, b"", []]]
NO_INTS: list[Any] = [None, "1", 1.5, b"", [1]]
NO_BOOLS: list[Any] = [None, 1, "yes"]
NO_TEXTS: list[Any] = [None, 1, b"shop", []]
NO_BYTES: list[Any] = [None, 1, "text", [b""]]
NO_MAPS: list[Any] = [None, 1, [], "x"]
NO_ROLES: list[Any] = [None, 1, {}, "12", [1, "2"]]
NO_NODES = [None, 1, [], NODE[:4], [*NODE, 1], [1, *NODE[1:]], [*NODE[:4], "100"]]
NO_CHANGES: list[Any] = [
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
NO_NODE_STATES: list[Any] = [
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

# by kind: a sound message, and for each field that is required values of a wrong type
REQUIRED: dict[str, tuple[Fields, dict[str, list[Any]]]] = {
    "prepare": (
        {"b": BALLOT, "d": 3, "h": b"digest"},
        {"b": NO_BALLOTS, "d": NO_INTS, "h": NO_BYTES},
    ),
    "promise": (
        {"b": BALLOT, "u": [7, False], "h": [b"digest"], "a": [BALLOT, STATE]},
        {
            "b": NO_BALLOTS,
            "u": [None, 7, [], [7], ["7", False], [7, 1], [7, False, 1]],
            "h": [None, b"digest", ["digest"]],
            "a": [1, [], [BALLOT], [BALLOT, 1], [[1], STATE], [BALLOT, STATE, 1]],
        },
    ),
    "accept": ({"b": BALLOT, "d": 3, "s": STATE}, {"b": NO_BALLOTS, "d": NO_INTS, "s": NO_STATES}),
    "accepted": ({"b": BALLOT, "u": [7, True]}, {"b": NO_BALLOTS, "u": [None, [7]]}),
    "no": (
        {"b": BALLOT, "p": BALLOT, "w": 200, "a": True},
        {"b": NO_BALLOTS, "p": NO_BALLOTS, "w": NO_INTS, "a": NO_BOOLS},
    ),
    "over": ({"b": BALLOT}, {"b": NO_BALLOTS}),
    "lack": ({"b": BALLOT}, {"b": NO_BALLOTS}),
    "hand": ({"v": 3, "o": [["put", 1, b"", None, "z", True]]}, {"v": NO_INTS, "o": NO_CHANGES}),
    "want": ({"v": 3, "h": b"digest"}, {"v": NO_INTS, "h": NO_BYTES}),
    "decided": ({"b": BALLOT, "s": STATE}, {"b": NO_BALLOTS, "s": NO_STATES}),
    "beat": (
        {"l": 100, "t": 1, "r": True, "c": 5, "x": 6},
        {"l": NO_INTS, "t": NO_INTS, "r": NO_BOOLS, "c": NO_INTS, "x": NO_INTS},
    ),
    "echo": ({"l": 100, "t": 1}, {"l": NO_INTS, "t": NO_INTS}),
    "ask": ({"s": "shop"}, {"s": NO_TEXTS}),
    "news": ({"n": ["shop", 3, []]}, {"n": [None, {}, [], ["shop"], [1, 3], ["shop", "3"]]}),
    "decline": ({"a": NODE, "d": [1]}, {"a": NO_NODES, "d": NO_ROLES}),
    "free": ({"a": NODE, "d": [1]}, {"a": NO_NODES, "d": NO_ROLES}),
    "dance": ({"o": {7: 1}}, {"o": NO_MAPS}),
    "lease": (
        {"n": "acme", "q": 1, "u": 2, "y": 100},
        {"n": NO_TEXTS, "q": NO_INTS, "u": NO_INTS, "y": NO_INTS},
    ),
    "grant": (
        {"y": 100, "n": "acme", "q": 1, "u": 2, "l": 150, "f": 30},
        {"y": NO_INTS, "n": NO_TEXTS, "q": NO_INTS, "u": NO_INTS, "l": NO_INTS, "f": NO_INTS},
    ),
    "lost": ({"n": "acme", "y": 100}, {"n": NO_TEXTS, "y": NO_INTS}),
}
# by kind and field: values of a wrong type of what may be left out
OPTIONAL: dict[tuple[str, str], list[Any]] = {
    ("promise", "w"): [1, "text", []],
    ("accept", "w"): [1, "text", []],
    ("decided", "w"): [1, "text", []],
    ("beat", "a"): NO_NODES,
    ("beat", "w"): NO_ROLES,
    ("beat", "s"): NO_INTS,
    ("echo", "a"): NO_NODES,
    ("echo", "p"): NO_ROLES,
    ("echo", "g"): NO_ROLES,
    ("echo", "f"): NO_INTS,
    ("echo", "z"): NO_NODE_STATES,
    ("echo", "c"): [None, {}, [1], [NODE[:4]]],
    ("echo", "e"): NO_MAPS[:2],
    ("echo", "s"): NO_MAPS[:2],
}


def fields_of(kind: str) -> Fields:
    return {"k": kind, **REQUIRED[kind][0]}


def refused(fields: Any) -> tuple[str, str]:
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
    ("kind", "field"), [(kind, field) for kind, (_, all_) in REQUIRED.items() for field in all_]
)
def test_a_required_field_that_is_missing_or_of_a_wrong_type_is_named(kind: str, field: str) -> None:
    fields = fields_of(kind)
    assert refused({key: value for key, value in fields.items() if key != field}) == (kind, field)
    for wrong in REQUIRED[kind][1][field]:
        assert refused(fields | {field: wrong}) == (kind, field), wrong


def test_the_table_has_every_required_field() -> None:
    for kind, (sound, wrong) in REQUIRED.items():
        assert sound.keys() == wrong.keys(), kind


@pytest.mark.parametrize(("kind", "field"), OPTIONAL)
def test_an_optional_field_of_a_wrong_type_is_named(kind: str, field: str) -> None:
    for wrong in OPTIONAL[kind, field]:
        assert refused(fields_of(kind) | {field: wrong}) == (kind, field), wrong


def test_what_is_no_message_is_refused() -> None:
    for body in (b"", b"\xff", b"\x9f", cbor2.dumps([1]), cbor2.dumps("beat"), cbor2.dumps(None)):
        with pytest.raises(MalformedMessageError) as caught:
            codec.decode(body)
        assert (caught.value.kind, caught.value.field) == ("", "")
    assert refused({}) == refused({"b": BALLOT}) == refused({"k": []}) == refused({"k": {}}) == ("", "k")


@pytest.mark.parametrize("kind", REQUIRED)
def test_a_field_that_is_unknown_is_ignored(kind: str) -> None:
    fields = fields_of(kind)
    newer = codec.decode(cbor2.dumps(fields | {"unknown": [1], 7: None}))
    assert newer == codec.decode(cbor2.dumps(fields))


def test_a_kind_that_is_unknown_is_decoded_as_such() -> None:
    assert codec.decode(cbor2.dumps({"k": "newer", "z": 1})) == UnknownMessage("newer")
    assert codec.decode(cbor2.dumps({"k": 7})) == UnknownMessage("7")
    assert codec.decode(cbor2.dumps({"k": None})) == UnknownMessage("None")
    assert cbor2.loads(codec.encode(UnknownMessage("newer"))) == {"k": "newer"}


def test_a_field_that_may_be_left_out_has_its_meaning_then() -> None:
    heartbeat = codec.from_fields(fields_of("beat"))
    assert heartbeat == Heartbeat(100, 1, True, 5, 6, None, None, False, None)
    reply = codec.from_fields(fields_of("echo"))
    assert reply == HeartbeatReply(100, 1)
    prepare = codec.from_fields(fields_of("prepare"))
    assert isinstance(prepare, Prepare) and prepare.held == HeldConfiguration(b"digest", False)
    prepare = codec.from_fields(fields_of("prepare") | {"e": 1})
    assert isinstance(prepare, Prepare) and prepare.held == HeldConfiguration(b"digest", True)
    promise = codec.from_fields(fields_of("promise") | {"a": None})
    assert isinstance(promise, Promise) and promise.accepted is None and promise.payload is None
    accept = codec.from_fields(fields_of("accept") | {"w": None})
    assert isinstance(accept, Accept) and accept.payload is None


@pytest.mark.parametrize(
    "path", [None, 7, [], [1, 2], [b"1"], [b"1", [[b"2"]]], [b"1", [[[], b""]]], [b"1", [[b"2", 3]]]]
)
def test_a_malformed_path_of_deltas_leads_nowhere_and_the_whole_can_be_asked_for(path: Any) -> None:
    message = codec.from_fields(fields_of("decided") | {"x": path})
    assert isinstance(message, Decision) and message.payload == DeltaPath(b"", ())


def test_the_checksum_of_a_state_covers_what_is_unknown_here() -> None:
    known = codec.from_fields(fields_of("echo") | {"z": NODE_STATE})
    newer = codec.from_fields(fields_of("echo") | {"z": NODE_STATE | {"later": {"a": 1}}})
    assert isinstance(known, HeartbeatReply) and isinstance(newer, HeartbeatReply)
    assert known.state is not None and known.state == newer.state
    assert known.state_checksum == node_state_checksum(known.state) == 460542934
    assert newer.state_checksum == 3895817491
