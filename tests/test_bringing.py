"""Configurations brought to doors by their differences, on simulated time: few bytes, and whole or not at all."""

from __future__ import annotations

import functools
import json
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import cbor2
import pytest

import hazelspring.consensus.acceptor
from bench.scale.words import configuration
from hazelspring.configuration.blocks import pack, unpack
from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.acceptor import MAX_KEPT_DELTA_BYTES, Acceptor
from hazelspring.consensus.control_state import ControlState
from hazelspring.consensus.messages import (
    Accept,
    Decision,
    DeltaPath,
    DeltaStep,
    FullConfiguration,
    HeldConfiguration,
    Promise,
    StateRequest,
)
from hazelspring.node import codec
from hazelspring.node.actions import Send
from hazelspring.node.codec import kind_of
from hazelspring.node.messages import Message
from hazelspring.node.node import Node

from .test_word_property import KINDS, play
from .world import Call, World


@functools.cache
def body(number: int, routes: int = 300) -> bytes:
    """A configuration in which route n was changed last by change n."""
    document = json.loads(configuration(routes))
    document["versionNumber"] = f"r{number}"
    for n in range(number):
        document["resourceList"][routes // 20 + n % routes]["specification"]["priority"] = n
    return json.dumps(document).encode()


def put(world: World, name: str, number: int, text: bytes) -> Call:
    call = Call("put", world.now, name, number, configuration_digest(text))
    world.call(call, lambda core, token: core.put_configuration(world.now, token, text))
    return call


class Bringing(World):
    """Counts bytes by kind of message, and bends what `bend` says."""

    def __init__(self, core: int, others: int, seed: int = 1, odd: float = 0.0) -> None:
        self.bytes: Counter[str] = Counter()
        self.wholes = 0
        self.bend: set[str] = set()  # kinds of messages whose differences arrive wrong,
        self.bent = 0  # and how many did
        self.lost: set[tuple[str, str]] = set()  # kinds of messages, and to whom they do not come
        super().__init__(core, others, seed, odd=odd)
        self.run(3.5)

    def send(self, source: str, to: str, message: Message) -> None:
        kind = kind_of(message)
        if kind in ("prepare", "promise", "accept", "accepted", "want", "decided", "lack"):
            self.bytes[kind] += len(codec.encode(message))
        if (kind, to) in self.lost:
            return
        if isinstance(message, Promise | Accept | Decision):
            path = message.payload
            self.wholes += isinstance(path, FullConfiguration)
            if kind in self.bend and isinstance(path, DeltaPath):
                self.bent += 1
                steps = tuple(DeltaStep(at, delta[:-1] + b"?") for at, delta in path.steps)
                message = replace(message, payload=DeltaPath(path.base_digest, steps))
        super().send(source, to, message)

    def change(self, number: int, wait: float = 2.0) -> None:
        call = put(self, f"d{1 + number % len(self.machines)}", number, body(number))
        self.run(wait)
        assert call.good and not self.breaches

    def everywhere(self, number: int) -> bool:
        return all(
            (packed := machine.core.control.acceptor.current_configuration()) is not None
            and unpack(packed) == body(number)
            for machine in self.machines.values()
            if machine.core is not None
        )


@pytest.mark.parametrize("others", [3, 40])
def test_a_change_of_one_route_costs_each_node_some_hundred_bytes(others: int) -> None:
    world = Bringing(4, others)
    world.change(1)
    whole = len(pack(body(1)))
    assert world.everywhere(1) and world.wholes >= others and whole > 50_000
    world.bytes.clear()
    world.wholes = 0
    world.change(2)
    assert world.everywhere(2) and world.wholes == 0
    assert world.bytes["decided"] < 1000 * (4 + others)
    assert sum(world.bytes.values()) < 2000 * (4 + others)


def test_a_node_that_skipped_changes_gets_them_one_after_another_or_the_whole() -> None:
    world = Bringing(4, 2)
    world.change(1)
    for name, upto in (("d3", 9), ("d6", 9)):
        world.kill(name) if name == "d3" else world.freeze(name)
        held = world.machines["d1"].core.control.acceptor.state.configuration_version  # type: ignore[union-attr]
        for number in range(held + 1, upto + 1):
            put(world, "d1", number, body(number))
            world.run(0.3)
        world.wholes = 0
        world.start("d3") if name == "d3" else world.thaw(name)
        world.run(2.5)
        assert world.everywhere(upto) and world.wholes == 0 and not world.breaches
    for machine in world.machines.values():
        assert machine.core is not None
        machine.core.control.acceptor.deltas.clear()  # as after a restart of all
    world.freeze("d6")
    put(world, "d1", 10, body(10))
    world.run(0.5)
    put(world, "d2", 11, body(11))
    world.run(0.5)
    world.machines["d6"].core.control.acceptor.deltas.clear()  # type: ignore[union-attr]
    for n in (1, 2, 3, 4):
        world.machines[f"d{n}"].core.control.acceptor.deltas.clear()  # type: ignore[union-attr]
    world.thaw("d6")
    world.run(2.5)
    assert world.everywhere(11) and world.wholes >= 1 and not world.breaches


@pytest.mark.parametrize("kind", ["accept", "decided", "promise"])
def test_a_difference_that_leads_nowhere_is_followed_by_the_whole_once(kind: str) -> None:
    world = Bringing(4, 2)
    world.change(1)
    world.bend = {kind}
    world.bytes.clear()
    world.wholes = 0
    if kind == "promise":  # one member alone holds the state that another's round has to end
        world.lost = {("accept", "d3"), ("accept", "d4")}
        put(world, "d1", 2, body(2))
        world.run(0.1)
        world.kill("d1")
        world.lost, world.cut = set(), {("d4", "d3")}
        put(world, "d3", 2, body(2, 100))
        world.run(1.0)
        world.cut.clear()
        world.run(2.0)
    else:
        world.change(2)
    assert world.everywhere(2) and not world.breaches
    assert 1 <= world.bent <= 8 and 1 <= world.wholes <= 8
    assert sum(world.bytes.values()) < 9 * len(pack(body(2)))


@pytest.mark.parametrize("seed", range(4))
def test_late_doubled_and_lost_messages_bring_it_whole_or_not_at_all(seed: int) -> None:
    world = Bringing(4, 3, seed, odd=0.2)
    world.drop = 0.1
    world.change(1, 3.0)
    for number in range(2, 12):
        put(world, f"d{1 + (number + seed) % 7}", number, body(number))
        world.run(0.2)
        if number == 6:
            world.kill("d1")  # in the midst of sending
        if number == 8:
            world.start("d1")
        for machine in world.machines.values():
            held = machine.core.control.acceptor if machine.core is not None else None
            for of, packed in held.configurations.items() if held is not None else ():
                assert configuration_digest(unpack(packed)) == of
    world.drop = 0.0
    world.run(3.0)
    last = max(world.decided.values(), key=lambda state: state.version)
    assert (
        world.everywhere(last.configuration_version)
        and last.configuration_version >= 10
        and not world.breaches
    )


@pytest.mark.parametrize("seed", range(6))
def test_what_was_acknowledged_outlives_losses_also_where_all_goes_by_differences(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hazelspring.consensus.acceptor, "MIN_BYTES_FOR_DELTA", 0)
    draw = random.Random(seed)
    actions = [(draw.choice(KINDS), draw.randrange(8)) for _ in range(16)]
    assert play(3 + seed, 1 + (seed > 1), seed, actions, odd=0.05 * (seed % 2)).breaches == []


def test_an_asker_that_says_nothing_of_differences_gets_the_whole() -> None:
    world = Bringing(4, 1)
    for number in (1, 2):
        world.change(number)
    core: Any = world.machines["d1"].core
    assert isinstance(core, Node)
    held = HeldConfiguration(configuration_digest(body(1)))
    old = StateRequest(1, held)
    (said,) = [action.message for action in core.on_message(world.now, "d5", old) if isinstance(action, Send)]
    assert isinstance(said, Decision) and isinstance(said.payload, FullConfiguration)
    assert unpack(said.payload.packed) == body(2)
    takes = StateRequest(1, replace(held, accepts_deltas=True))
    (said,) = [d.message for d in core.on_message(world.now, "d5", takes) if isinstance(d, Send)]
    assert isinstance(said, Decision) and isinstance(said.payload, DeltaPath)
    assert len(codec.encode(said)) < 900


def test_what_is_kept_of_differences_is_bounded() -> None:
    register = Acceptor(1, True)
    for n in range(400):
        register.keep_delta(b"%d" % n, b"%d" % (n + 1), b"x" * 100, b"w" * 20_000)
    assert len(register.deltas) == 200
    assert register.delta_path([b"395"], b"400", b"w" * 20_000) == DeltaPath(
        b"395", tuple(DeltaStep(b"%d" % n, b"x" * 100) for n in range(396, 401))
    )
    assert (
        register.delta_path([b"395"], b"400", b"w" * 400) is None
        and register.delta_path([b"9"], b"400", b"w" * 20_000) is None
    )
    register.keep_delta(b"400", b"401", b"x" * MAX_KEPT_DELTA_BYTES, b"w" * MAX_KEPT_DELTA_BYTES * 2)
    assert list(register.deltas) == [b"401"]
    for n in range(1000):
        register.keep_delta(b"%d" % n, b"%d" % (n + 1), b"", b"w" * 20_000)
    assert len(register.deltas) == 256
    for way in (
        [b"1", []],
        [b"1", [[b"2", b"x"]]],
        [1, 2],
        7,
        [[], [[{}, 3]]],
        [b"9", [[[], b""], [b"2", b""]]],
    ):
        register.configurations = {b"1": pack(body(1, 100)), b"9": b"none"}
        fields = {"k": "decided", "b": [1, 1, "d1"], "s": ControlState(1, (), ()).encode(), "x": way}
        came = codec.decode(cbor2.dumps(fields))
        assert isinstance(came, Decision) and isinstance(came.payload, DeltaPath)
        assert register.follow_delta_path(came.payload, b"2") is None
        assert register.open_payload(came.payload, b"2") is None
