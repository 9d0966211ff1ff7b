"""Transfer of configurations to nodes as deltas, in simulated time: few bytes, no corrupt configuration."""

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
    KnownConfiguration,
    Promise,
    StateRequest,
)
from hazelspring.node import codec
from hazelspring.node.actions import Send
from hazelspring.node.codec import kind_of
from hazelspring.node.messages import Message
from hazelspring.node.node import Node

from .test_loss_schedules import KINDS, play
from .world import Call, World


@functools.cache
def body(number: int, routes: int = 300) -> bytes:
    """Return a configuration to which `number` changes were made; change n sets a route's priority to n."""
    document = json.loads(configuration(routes))
    document["versionNumber"] = f"r{number}"
    for n in range(number):
        document["resourceList"][routes // 20 + n % routes]["specification"]["priority"] = n
    return json.dumps(document).encode()


def put(world: World, name: str, number: int, text: bytes) -> Call:
    call = Call("put", world.now, name, number, configuration_digest(text))
    world.call(call, lambda core, token: core.put_configuration(world.now, token, text))
    return call


class DeltaWorld(World):
    """Counts the bytes of messages by kind; corrupts the deltas in messages of the kinds in `corrupt`."""

    def __init__(self, core: int, others: int, seed: int = 1, odd: float = 0.0) -> None:
        self.bytes: Counter[str] = Counter()
        self.full_count = 0  # messages with a full configuration
        self.corrupt: set[str] = set()  # kinds of messages whose deltas arrive corrupted
        self.corrupted_count = 0  # messages with corrupted deltas
        self.lost: set[tuple[str, str]] = set()  # the kind and recipient of messages that never arrive
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
            self.full_count += isinstance(path, FullConfiguration)
            if kind in self.corrupt and isinstance(path, DeltaPath):
                self.corrupted_count += 1
                steps = tuple(DeltaStep(at, delta[:-1] + b"?") for at, delta in path.steps)
                message = replace(message, payload=DeltaPath(path.base_digest, steps))
        super().send(source, to, message)

    def change(self, number: int, wait: float = 2.0) -> None:
        call = put(self, f"d{1 + number % len(self.machines)}", number, body(number))
        self.run(wait)
        assert call.succeeded and not self.breaches

    def is_everywhere(self, number: int) -> bool:
        return all(
            (packed := machine.core.control.acceptor.current_configuration()) is not None
            and unpack(packed) == body(number)
            for machine in self.machines.values()
            if machine.core is not None
        )


@pytest.mark.parametrize("others", [3, 40])
def test_a_change_of_one_route_costs_each_node_a_few_hundred_bytes(others: int) -> None:
    world = DeltaWorld(4, others)
    world.change(1)
    full_size = len(pack(body(1)))
    assert world.is_everywhere(1) and world.full_count >= others and full_size > 50_000
    world.bytes.clear()
    world.full_count = 0
    world.change(2)
    assert world.is_everywhere(2) and world.full_count == 0
    assert world.bytes["decided"] < 1000 * (4 + others)
    assert sum(world.bytes.values()) < 2000 * (4 + others)


def test_a_node_that_missed_changes_gets_their_deltas_or_the_full_configuration() -> None:
    world = DeltaWorld(4, 2)
    world.change(1)
    for name, last in (("d3", 9), ("d6", 9)):
        world.kill(name) if name == "d3" else world.freeze(name)
        held = world.machines["d1"].core.control.acceptor.state.configuration_version  # type: ignore[union-attr]
        for number in range(held + 1, last + 1):
            put(world, "d1", number, body(number))
            world.run(0.3)
        world.full_count = 0
        world.start("d3") if name == "d3" else world.thaw(name)
        world.run(2.5)
        assert world.is_everywhere(last) and world.full_count == 0 and not world.breaches
    for machine in world.machines.values():
        assert machine.core is not None
        machine.core.control.acceptor.deltas.clear()  # as after a restart of all nodes
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
    assert world.is_everywhere(11) and world.full_count >= 1 and not world.breaches


@pytest.mark.parametrize("kind", ["accept", "decided", "promise"])
def test_a_delta_that_cannot_be_applied_is_followed_by_the_full_configuration_once(kind: str) -> None:
    world = DeltaWorld(4, 2)
    world.change(1)
    world.corrupt = {kind}
    world.bytes.clear()
    world.full_count = 0
    if kind == "promise":  # only one member holds the state that another member's round has to complete
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
    assert world.is_everywhere(2) and not world.breaches
    assert 1 <= world.corrupted_count <= 8 and 1 <= world.full_count <= 8
    assert sum(world.bytes.values()) < 9 * len(pack(body(2)))


@pytest.mark.parametrize("seed", range(4))
def test_late_duplicated_and_lost_messages_never_corrupt_a_configuration(seed: int) -> None:
    world = DeltaWorld(4, 3, seed, odd=0.2)
    world.drop = 0.1
    world.change(1, 3.0)
    for number in range(2, 12):
        put(world, f"d{1 + (number + seed) % 7}", number, body(number))
        world.run(0.2)
        if number == 6:
            world.kill("d1")  # while it is sending
        if number == 8:
            world.start("d1")
        for machine in world.machines.values():
            acceptor = machine.core.control.acceptor if machine.core is not None else None
            for digest, packed in acceptor.configurations.items() if acceptor is not None else ():
                assert configuration_digest(unpack(packed)) == digest
    world.drop = 0.0
    world.run(3.0)
    last = max(world.decided.values(), key=lambda state: state.version)
    assert (
        world.is_everywhere(last.configuration_version)
        and last.configuration_version >= 10
        and not world.breaches
    )


@pytest.mark.parametrize("seed", range(6))
def test_acknowledged_changes_survive_losses_if_all_configurations_are_sent_as_deltas(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hazelspring.consensus.acceptor, "MIN_BYTES_FOR_DELTA", 0)
    draw = random.Random(seed)
    actions = [(draw.choice(KINDS), draw.randrange(8)) for _ in range(16)]
    assert play(3 + seed, 1 + (seed > 1), seed, actions, odd=0.05 * (seed % 2)).breaches == []


def test_a_requester_that_does_not_accept_deltas_gets_the_full_configuration() -> None:
    world = DeltaWorld(4, 1)
    for number in (1, 2):
        world.change(number)
    core: Any = world.machines["d1"].core
    assert isinstance(core, Node)
    known = KnownConfiguration(configuration_digest(body(1)))
    without_deltas = StateRequest(1, known)
    (reply,) = [
        action.message
        for action in core.on_message(world.now, "d5", without_deltas)
        if isinstance(action, Send)
    ]
    assert isinstance(reply, Decision) and isinstance(reply.payload, FullConfiguration)
    assert unpack(reply.payload.compressed) == body(2)
    with_deltas = StateRequest(1, replace(known, accepts_deltas=True))
    (reply,) = [d.message for d in core.on_message(world.now, "d5", with_deltas) if isinstance(d, Send)]
    assert isinstance(reply, Decision) and isinstance(reply.payload, DeltaPath)
    assert len(codec.encode(reply)) < 900


def test_the_number_and_size_of_kept_deltas_are_bounded() -> None:
    acceptor = Acceptor(1, True)
    for n in range(400):
        acceptor.keep_delta(b"%d" % n, b"%d" % (n + 1), b"x" * 100, b"w" * 20_000)
    assert len(acceptor.deltas) == 200
    assert acceptor.delta_path([b"395"], b"400", b"w" * 20_000) == DeltaPath(
        b"395", tuple(DeltaStep(b"%d" % n, b"x" * 100) for n in range(396, 401))
    )
    assert (
        acceptor.delta_path([b"395"], b"400", b"w" * 400) is None
        and acceptor.delta_path([b"9"], b"400", b"w" * 20_000) is None
    )
    acceptor.keep_delta(b"400", b"401", b"x" * MAX_KEPT_DELTA_BYTES, b"w" * MAX_KEPT_DELTA_BYTES * 2)
    assert list(acceptor.deltas) == [b"401"]
    for n in range(1000):
        acceptor.keep_delta(b"%d" % n, b"%d" % (n + 1), b"", b"w" * 20_000)
    assert len(acceptor.deltas) == 256
    for path in (
        [b"1", []],
        [b"1", [[b"2", b"x"]]],
        [1, 2],
        7,
        [[], [[{}, 3]]],
        [b"9", [[[], b""], [b"2", b""]]],
    ):
        acceptor.configurations = {b"1": pack(body(1, 100)), b"9": b"none"}
        fields = {"k": "decided", "b": [1, 1, "d1"], "s": ControlState(1, (), ()).encode(), "x": path}
        message = codec.decode(cbor2.dumps(fields))
        assert isinstance(message, Decision) and isinstance(message.payload, DeltaPath)
        assert acceptor.follow_delta_path(message.payload, b"2") is None
        assert acceptor.open_payload(message.payload, b"2") is None
