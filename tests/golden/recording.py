"""Seeded plays of the control side whose bytes are compared with the recorded ones.

`python -m tests.golden.recording` writes the files anew; do so only where a change of the bytes is meant.  Messages
and records that carry a configuration hold zlib's output, so another version of zlib may ask for a new recording.
"""

from __future__ import annotations

import copy
import hashlib
import json
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import cbor2

from hazelspring.configuration.blocks import BLOCK_BOUNDARY, pack
from hazelspring.configuration.delta import make_delta
from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.acceptor import Acceptor
from hazelspring.consensus.control_state import Ballot, ControlState, Member
from hazelspring.consensus.disaster_recovery import LegacyItems
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.node import codec
from hazelspring.node.actions import Action, Save, Send
from hazelspring.node.messages import Message
from hazelspring.node.node import Node
from hazelspring.registry.tables import ServerEntry
from hazelspring.storage.replica_store import ReplicaStore
from tests.world import Call, World

FOLDER = Path(__file__).parent
STRUCTURES = ("z", "h", "m")  # a heartbeat's state and maps of fixed keys in it; other maps are keyed by data


def wire_bytes(message: Message) -> bytes:
    """Return the bytes that a message is sent as; the one place here that encodes messages."""
    return codec.encode(message)


def from_wire(body: bytes) -> Message:
    """Return the message that a node is given for bytes that came; the one place here that decodes for a node."""
    return codec.decode(body)


def shape(fields: dict[str, Any]) -> str:
    """Return the keys of a map, those of the maps within it that are structures, and which values are None."""
    parts = []
    for key, value in sorted(fields.items()):
        inner = f"({shape(value)})" if key in STRUCTURES and isinstance(value, dict) else ""
        parts.append(f"{key}=None" if value is None else key + inner)
    return ",".join(parts)


def variant(body: bytes) -> str:
    """Return the kind of an encoded message and its set of keys."""
    fields = cbor2.loads(body)
    return f"{fields['k']}/{shape({key: value for key, value in fields.items() if key != 'k'})}"


class Recording(World):
    """A seeded world that keeps the first message of each variant, and a hash of all messages and records."""

    def __init__(self, core: int, others: int, seed: int, odd: float = 0.0) -> None:
        self.messages: dict[str, bytes] = {}
        self.sum = hashlib.blake2b(digest_size=16)
        self.corrupt: set[str] = (
            set()
        )  # kinds of messages that arrive with wrong differences, or asking for none
        super().__init__(core, others, seed, odd=odd)

    def send(self, source: str, to: str, message: Message) -> None:
        body = wire_bytes(message)
        self.messages.setdefault(variant(body), body)
        self.sum.update(f"{source} {to} ".encode() + body)
        fields = cbor2.loads(body)
        if fields["k"] in self.corrupt:
            fields.pop("e", None)  # as from a node that takes no differences
            if "x" in fields:
                fields["x"][1] = [[at, b"?"] for at, _ in fields["x"][1]]
            message = from_wire(cbor2.dumps(fields))
        super().send(source, to, message)

    def save(self, name: str, core: Node, save: Save) -> None:
        self.sum.update(cbor2.dumps([name, save.records]))
        super().save(name, core, save)

    def node(self, name: str) -> Node:
        core = self.machines[name].core
        assert core is not None
        return core

    def submit(self, name: str, number: int) -> None:
        """An operator's configuration whose packed bytes are too many for a datagram."""
        body = configuration(number)
        call = Call("put", self.now, name, number)
        self.call(call, lambda core, token: core.put_configuration(self.now, token, body))

    def done(self, done: ProposalOutcome) -> None:
        """How calls end is looked at by other tests."""

    def list_servers(self, step: int) -> None:
        self.listing = {
            "shop": {
                f"i-{n}": ServerEntry(f"i-{n}", f"s{n}:1", f"z{n % 3}", n != step, 2, "v1")
                for n in range(step, step + 6)
            }
        }


def configuration(number: int, resources: int = 24, changed: int | None = None, text: int = 96) -> bytes:
    """Return a body by a formula; version `number` changes resource `number`."""
    changed = number if changed is None else changed
    rows = []
    for n in range(resources):
        seed = f"{n} {changed if n == changed % resources else 0}".encode()
        value = "".join(hashlib.blake2b(seed + bytes([part])).hexdigest() for part in range(text // 96))
        rows.append(BLOCK_BOUNDARY.decode() + f':"route","name":"route-{n}","value":"{value[:text]}"' + "}")
    head = f'{{"versionNumber":"r{number}","resourceList":['
    return (head + ",".join(rows) + "]}").encode()


def play_orders(world: Recording) -> None:
    """Founding, orders at once at several nodes, nodes that miss changes, and members that are lost."""
    world.run(3.5)
    for number in range(1, 4):
        world.submit(f"d{number}", number)
        world.run(0.8)
    for number in range(10, 40, 3):  # at once, so that rounds meet
        for n in range(3):
            world.submit(f"d{n + 1 + number % 3}", number + n)
            world.run(0.004 * n)
        world.evacuate("d6", "z1", number % 2 == 0)
        world.run(0.3)
        world.corrupt = {"promise"} if number < 25 else {"prepare"}
    world.corrupt = set()
    world.freeze("d6")
    world.kill("d3")
    for number in (50, 51):
        world.submit("d1", number)
        world.run(0.5)
    world.thaw("d6")
    world.start("d3")
    world.run(1.5)
    for name in world.machines:
        world.node(name).control.acceptor.deltas.clear()  # as after a restart: no differences are held
    world.freeze("d6")
    world.freeze("d4")
    world.submit("d1", 52)
    world.run(0.5)
    world.thaw("d6")
    world.thaw("d4")
    world.run(1.0)
    world.wipe("d2")
    world.start("d2")
    world.retire("d1", "d5")
    world.run(4.0)


def play_servers(world: Recording) -> None:
    """The list of servers changes and fails; load is told, quotas are leased; members drain."""
    world.run(3.5)
    world.put("d1", 5)
    for step in range(4):
        world.list_servers(step)
        if step == 2:
            world.freeze("d6")
        world.run(1.1)
        if step == 3:
            world.thaw("d6")
    for number, name in enumerate(world.machines, 1):
        for tenant in ("acme", "globex", "initech"):
            world.actions(name, world.node(name).lease_credits(world.now, tenant, number, 3 * number))
            lease = {"k": "lease", "n": tenant, "q": 7, "u": 2, "y": 9}
            world.actions(name, world.node(name).on_message(world.now, "d1", from_wire(cbor2.dumps(lease))))
        for step, load in enumerate(({1: 2, 70000: 1}, {})):
            at = world.now + 1.0 + step
            world.actions(name, world.node(name).disseminator.report_load(at, load, {}))
    world.run(0.5)
    world.cut = {("d1", "d2"), ("d2", "d1"), ("d1", "d3")}
    world.run(1.5)
    world.cut = set()
    world.listing = None
    world.run(4.0)
    world.list_servers(5)
    world.actions("d2", world.node("d2").drain(world.now))
    world.run(1.0)


def record_messages() -> tuple[dict[str, str], dict[str, str]]:
    """Return a message of each variant, and for each play the hash of all its messages and records."""
    plays = [
        ("orders", play_orders, Recording(5, 3, 1)),
        ("orders with late messages", play_orders, Recording(5, 3, 2, odd=0.2)),
        ("servers", play_servers, Recording(4, 5, 3)),
    ]
    messages: dict[str, str] = {}
    for _, play, world in plays:
        play(world)
        messages = {key: body.hex() for key, body in world.messages.items()} | messages
    return dict(sorted(messages.items())), {name: world.sum.hexdigest() for name, _, world in plays}


def answers_to(messages: dict[str, str]) -> dict[str, list[str]]:
    """Return what a settled member does on each message: kinds of the messages it sends, and names of the rest."""
    world = Recording(4, 3, 4)
    world.run(3.5)
    world.submit("d1", 1)
    world.run(1.0)
    member, found = world.node("d2"), {}
    for key, body in messages.items():
        core = copy.deepcopy(member)  # so that no message is heard after another
        found[key] = [
            act(action) for action in core.on_message(world.now, "d1", from_wire(bytes.fromhex(body)))
        ]
    return found


# labels of actions in the record, by the names of their classes
LABELS = {"LoadReported": "Danced"} | dict.fromkeys(
    ("ConfigurationChanged", "EvacuatedZonesChanged", "MembersChanged", "TableChanged"), "Changed"
)


def act(action: Action) -> str:
    if isinstance(action, Send):
        return f"{action.to} {variant(wire_bytes(action.message))}"
    name = type(action).__name__
    return LABELS.get(name, name)


SEATS = tuple(Member(f"d{n}", f"z{n}", "east", n) for n in (1, 2, 3))
FIRST = ControlState(1, SEATS, SEATS, 3, 7, configuration_digest(b"first"), frozenset({"z3", "z1"}))
SECOND = replace(
    FIRST,
    version=2,
    members=SEATS[:2],
    configuration_version=8,
    configuration_digest=configuration_digest(b"second"),
    evacuated_zones=frozenset(),
)


def register_steps() -> Iterable[tuple[str, Acceptor]]:
    """Yield one register after each step of its life."""
    register = Acceptor(4242, False)
    register.dirty_records.add("disk")
    yield "new disk", register
    assert register.prepare(Ballot(3, 100101, "d1"))
    yield "prepared", register
    assert register.accept(Ballot(3, 100101, "d1"), FIRST, b"packed first")
    yield "accepted", register
    assert register.learn(Ballot(3, 100101, "d1"), FIRST, None)
    yield "learned", register
    assert register.accept(Ballot(5, 100201, "d2"), SECOND, b"packed second")
    yield "accepted another", register
    assert register.learn(Ballot(5, 100201, "d2"), SECOND, None)
    yield "learned another and pruned", register


def record_disk() -> dict[str, dict[str, str | None]]:
    """Return the records that each step writes, and those that a member of a settled core has on disk."""
    found = {
        step: {
            name: body.hex() if body is not None else None
            for name, body in register.take_dirty_records().items()
        }
        for step, register in register_steps()
    }
    world = Recording(3, 2, 5)
    world.run(4.0)
    disk = world.machines["d1"].disk
    assert disk is not None
    return found | {"settled member": {name: body.hex() for name, body in sorted(disk.records.items())}}


def hashed(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def record_configurations() -> dict[str, str]:
    """Return packed bodies, their difference and digests; of a body of several blocks only hashes."""
    old, new = configuration(1, 4), configuration(2, 4)
    large, changed = large_configurations()
    packed = pack(large)
    return {
        "old": pack(old).hex(),
        "old digest": configuration_digest(old).hex(),
        "new": pack(new, pack(old)).hex(),
        "new digest": configuration_digest(new).hex(),
        "difference": make_delta(pack(old), pack(new, pack(old))).hex(),
        "large hash": hashed(packed),
        "large digest": configuration_digest(large).hex(),
        "large changed hash": hashed(pack(changed, packed)),
        "large difference hash": hashed(make_delta(packed, pack(changed, packed))),
    }


def large_configurations() -> tuple[bytes, bytes]:
    """Return two bodies of several blocks of the packed form; they differ in a resource."""
    return configuration(1, 3000), configuration(2, 3000, changed=1500)


STORE_RECORDS = {
    "disk": b"\x82\x01\xf4",
    "mark doors": b"6",
    "vote": b"\x82\x83\x00\x00\x60\xf6",
    "word 00": bytes(300),
}
ITEMS: LegacyItems = {"zone z1": ((3, b"tie"), b"closed"), "config": ((7, b""), b"packed")}
MARKS = {"doors": b"6", "voice": b"1"}


def write() -> None:
    """Write all files anew."""
    from tests.test_recovery_command import format_1

    messages, sums = record_messages()
    files = {
        "messages.json": messages,
        "sums.json": sums,
        "answers.json": answers_to(messages),
        "records.json": record_disk(),
        "configurations.json": record_configurations(),
    }
    for name, found in files.items():
        (FOLDER / name).write_text(json.dumps(found, indent=1) + "\n")
    store = ReplicaStore(str(FOLDER))
    store.save(STORE_RECORDS)
    store.close()
    store.path.replace(FOLDER / "store-format-2.sqlite")
    (FOLDER / "store-format-1.sqlite").unlink(missing_ok=True)
    format_1(FOLDER, "store-format-1.sqlite", ITEMS)


def read(name: str) -> Any:
    """Return what a recorded file holds."""
    return json.loads((FOLDER / name).read_text())


if __name__ == "__main__":
    write()
