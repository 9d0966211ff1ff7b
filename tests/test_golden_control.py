"""Bytes on the wire and on disk are still equal to the recorded ones in tests/golden."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import cbor2
import pytest

from hazelspring.configuration.blocks import pack, read_blocks, unpack
from hazelspring.configuration.delta import apply_deltas, make_delta
from hazelspring.configuration.model import configuration_digest
from hazelspring.consensus.acceptor import load_acceptor
from hazelspring.consensus.control_state import NO_BALLOT
from hazelspring.storage.offline import inspect_store, item_checksum
from hazelspring.storage.replica_store import ReplicaStore, record_checksum

from .golden import recording
from .golden.recording import FIRST, FOLDER, ITEMS, MARKS, SECOND, STORE_RECORDS, configuration, read

KINDS = {
    "beat",
    "echo",
    "ask",
    "news",
    "decline",
    "free",
    "dance",
    "lease",
    "grant",
    "lost",
    "prepare",
    "promise",
}
KINDS |= {"accept", "accepted", "no", "over", "hand", "lack", "want", "decided"}
SCHEMA = "CREATE TABLE record (name text primary key, body blob, sum blob)"


def test_every_recorded_message_kind_is_still_sent_byte_for_byte() -> None:
    messages, sums = recording.record_messages()
    recorded = read("messages.json")
    assert messages.keys() == recorded.keys()
    assert {key for key, body in messages.items() if body != recorded[key]} == set()
    assert sums == read("sums.json")  # of all messages and all saved records of each simulated run, in order


@pytest.mark.parametrize("file", ["messages.json", "messages-before-53.json", "messages-before-65.json"])
def test_each_kind_was_recorded_under_its_variant_and_decodes_to_the_same_bytes(file: str) -> None:
    """The two files with an issue's number were recorded with earlier versions of the program, whose plays sent
    other variants.

    Before 53, a node did not yet take the roster from any member that answers; before 65, an evacuation that was in
    force already made no new version.
    """
    recorded = {key: bytes.fromhex(body) for key, body in read(file).items()}
    assert {key.split("/")[0] for key in recorded} == KINDS
    for key, body in recorded.items():
        assert recording.variant(body) == key
        assert recording.wire_bytes(recording.from_wire(body)) == body


@pytest.mark.parametrize("earlier", ["", "-before-65"])
def test_a_settled_member_answers_every_recorded_message_as_recorded(earlier: str) -> None:
    messages, recorded = read(f"messages{earlier}.json"), read(f"answers{earlier}.json")
    answers = recording.answers_to(messages)
    assert answers.keys() == messages.keys()
    assert {key: found for key, found in answers.items() if found != recorded[key]} == {}


def test_the_records_of_a_member_are_still_written_byte_for_byte() -> None:
    assert recording.record_disk() == read("records.json")


def test_recorded_records_load_as_the_acceptor_that_wrote_them() -> None:
    recorded, disk = read("records.json"), dict[str, bytes]()
    for step, acceptor in recording.register_steps():
        for name, body in recorded[step].items():
            if body is None:
                del disk[name]
            else:
                disk[name] = bytes.fromhex(body)
        loaded = load_acceptor(disk, 1, True)
        assert (loaded.disk_id, loaded.may_bootstrap) == (4242, False)
        assert (loaded.promised, loaded.accepted) == (acceptor.promised, acceptor.accepted), step
        assert (loaded.decided, loaded.configurations) == (acceptor.decided, acceptor.configurations), step
        assert loaded.take_dirty_records() == {}
    assert loaded.promised == (5, 100201, "d2")
    assert loaded.accepted == loaded.decided == ((5, 100201, "d2"), SECOND)
    assert loaded.configurations == {SECOND.configuration_digest: b"packed second"}
    removed = [name for name, body in recorded["learned another and pruned"].items() if body is None]
    assert removed == [f"word {FIRST.configuration_digest.hex()}"]


def test_the_recorded_disk_of_a_settled_member_loads() -> None:
    disk = {name: bytes.fromhex(body) for name, body in read("records.json")["settled member"].items()}
    assert set(disk) == {"disk", "vote", "decided", "mark doors"} and disk["mark doors"] == b"5"
    acceptor = load_acceptor(disk, 1, False)
    assert [acceptor.disk_id, acceptor.may_bootstrap] == cbor2.loads(
        disk["disk"]
    ) and acceptor.disk_id > 1_000_000
    assert acceptor.state is not None and acceptor.version >= 0
    assert [member.ip for member in acceptor.state.members] == ["d1", "d2", "d3"]
    assert acceptor.promised > NO_BALLOT and acceptor.accepted == acceptor.decided


def test_a_recorded_store_of_format_2_is_read_by_the_store_and_offline(tmp_path: Path) -> None:
    shutil.copy(FOLDER / "store-format-2.sqlite", tmp_path / "comb.sqlite")
    found = inspect_store(tmp_path / "comb.sqlite")
    assert (found.format, found.records, found.corrupt) == (2, STORE_RECORDS, [])
    store = ReplicaStore(str(tmp_path))
    assert store.load() == STORE_RECORDS and not store.quarantined
    store.close()


def test_a_recorded_store_of_format_1_is_read_offline(tmp_path: Path) -> None:
    shutil.copy(FOLDER / "store-format-1.sqlite", tmp_path / "comb.sqlite")
    found = inspect_store(tmp_path / "comb.sqlite")
    assert (found.format, found.items, found.marks, found.corrupt) == (1, ITEMS, MARKS, [])
    assert item_checksum("config", 7, b"", b"packed").hex() == "f05507a319805110ef7a13e1e663287d"


def test_a_saved_store_has_the_recorded_tables_format_and_checksums(tmp_path: Path) -> None:
    store = ReplicaStore(str(tmp_path))
    store.save(STORE_RECORDS | {"gone": b"1"})
    store.save({"gone": None})
    store.close()
    tables = []
    for path in (tmp_path / "comb.sqlite", FOLDER / "store-format-2.sqlite"):
        connection = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
        (schema,) = connection.execute("select sql from sqlite_master where sql is not null").fetchall()
        rows = connection.execute("select name, body, sum from record order by name").fetchall()
        tables.append((schema, connection.execute("pragma user_version").fetchone(), rows))
        connection.close()
    assert tables[0] == tables[1]
    assert tables[0][:2] == ((SCHEMA,), (2,))
    assert {name: body for name, body, _ in rows} == STORE_RECORDS
    assert [record_checksum(name, body) for name, body, _ in rows] == [found for _, _, found in rows]
    assert rows[1][2].hex() == "b432a44aa9b3312ca86abb839f9f1c5f" and rows[1][0] == "mark doors"


@pytest.mark.parametrize(("name", "number"), [("old", 1), ("new", 2)])
def test_a_recorded_packed_configuration_unpacks_to_its_body(name: str, number: int) -> None:
    recorded, body = read("configurations.json"), configuration(number, 4)
    packed = bytes.fromhex(recorded[name])
    assert unpack(packed) == body and b"".join(block.unpacked() for block in read_blocks(packed)) == body
    assert configuration_digest(body).hex() == recorded[f"{name} digest"]


def test_the_recorded_difference_turns_one_recorded_configuration_into_the_other() -> None:
    recorded = read("configurations.json")
    old, new, delta = (bytes.fromhex(recorded[name]) for name in ("old", "new", "difference"))
    assert (
        unpack(apply_deltas(old, [delta], configuration_digest(configuration(2, 4))))
        == unpack(new)
        == configuration(2, 4)
    )


def test_packed_configurations_and_differences_are_produced_byte_for_byte() -> None:
    """These bytes are output of zlib, so another version of zlib may change them without a change of the
    code.

    The two tests above pass with any version of zlib.
    """
    assert recording.record_configurations() == read("configurations.json")


def test_a_configuration_of_several_blocks_is_packed_and_updated_by_a_delta_exactly() -> None:
    large, changed = recording.large_configurations()
    packed = pack(large)
    assert len(read_blocks(packed)) > 3 and unpack(packed) == large
    delta = make_delta(packed, pack(changed, packed))
    assert len(delta) < len(packed) // 10
    assert unpack(apply_deltas(packed, [delta], configuration_digest(changed))) == changed
