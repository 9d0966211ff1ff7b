"""Packed bodies, deltas and incremental loading.

Deltas reproduce the exact bytes, and an incremental change has the result of parsing the complete document.
"""

from __future__ import annotations

import copy
import json
import random
import zlib
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import hazelspring.configuration.blocks as blocks_module
import hazelspring.configuration.delta as delta_module
from bench.scale.words import configuration
from hazelspring.configuration.blocks import pack, unpack
from hazelspring.configuration.delta import DeltaError, apply_deltas, make_delta
from hazelspring.configuration.incremental import LoadedConfiguration, load_configuration
from hazelspring.configuration.model import (
    Configuration,
    ResourceDocument,
    configuration_digest,
    parse_configuration,
)
from hazelspring.configuration.validation import (
    InvalidConfigurationError,
    validate_change,
    validate_configuration,
    validate_incrementally,
)

PROPERTY = settings(max_examples=300, deadline=None, derandomize=True)


@pytest.fixture(autouse=True, scope="module")
def small_blocks() -> Iterator[None]:
    """Reduce the block size to a few resources, so that small configurations have many blocks."""
    with pytest.MonkeyPatch.context() as patch:
        for name, value in (("MIN_BLOCK_BYTES", 300), ("MAX_BLOCK_BYTES", 2000), ("BOUNDARY_MASK", 3)):
            patch.setattr(blocks_module, name, value)
        patch.setattr(delta_module, "MIN_BLOCK_BYTES", 300)
        yield


def resource(kind: str, name: str, **spec: Any) -> ResourceDocument:
    return {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}


def make_resources(seed: int) -> list[ResourceDocument]:
    rng = random.Random(seed)
    entries = [resource("serviceTable", f"s{n}", connectionLimit=n) for n in range(5)]
    for n in range(24):
        spec: ResourceDocument = {
            "hostName": f"H{n // 4}.example",
            "pathPrefix": f"/{'ab' * (n % 4)}",
            "routeKind": "upload",
        }
        if n % 3:
            spec["service"] = f"s{rng.randrange(5)}"
        else:
            split = [{"service": f"s{rng.randrange(5)}", "shareWeight": weight} for weight in (0, 1)]
            spec["weightedSplit"] = split
        entries.append(resource("routeTable", f"r{n}", **spec))
    for n in range(30):
        keys = [f"k{n}", f"k{n}-{rng.randrange(3)}"]
        entries.append(resource("tenantTable", f"t{n}", accessKeys=keys, requestsPerS=rng.randrange(9)))
    entries += [resource("limits", f"l{n}", bodyBytes=1000 + n) for n in range(seed % 3)]
    if seed % 2:
        rng.shuffle(entries)
    return entries


def document_bytes(entries: list[Any], version: Any = "r7", indent: int | None = None) -> bytes:
    document = {"versionNumber": version, "resourceList": entries, "after": {"resourceKind": []}}
    return json.dumps(document, indent=indent).encode()


UNUSUAL_VALUES: list[Any] = [
    None, "", "s1", "s9", "k1", "k2", "t1", "/ab", True, 0, 1.0, -1, 10**30, "read_only", [], ["k3", "k4"], {}, ["s1"],
    [{"service": "s2", "shareWeight": 0}], [{"service": "s8", "shareWeight": 1}], "upload", "H1.example", "h1.EXAMPLE",
    {"resourceKind": "limits"}, [{"resourceKind": "routeTable", "metadata": {}}, {"resourceKind": 1}], float("nan"),
]  # fmt: skip
FIELD_NAMES = [
    "hostName", "pathPrefix", "routeKind", "service", "weightedSplit", "accessKeys", "requestsPerS", "homeRegions",
    "connectionLimit", "bodyBytes", "priority", "timeoutMs", "targetAnswerMs",
]  # fmt: skip
EDITS = st.lists(
    st.tuples(
        st.sampled_from([
            "remove", "duplicate", "move", "swap", "rename", "change kind", "insert tenant",
            "set field", "set field", "set field", "insert value", "rename kind field",
        ]), st.integers(0, 400), st.integers(0, 400), st.sampled_from(FIELD_NAMES),
        st.sampled_from(UNUSUAL_VALUES),
    ),
    max_size=4,
)  # fmt: skip
BYTE_EDITS = st.lists(
    st.tuples(
        st.integers(0, 8000),
        st.integers(0, 30),
        st.sampled_from([b"", b"{", b"]", b'"', b",", b" ", b"\xff"]),
    ),
    max_size=1,
)


def apply_edits(entries: list[Any], edits: list[tuple[str, int, int, str, Any]]) -> list[Any]:
    entries = copy.deepcopy(entries)
    for operation, first, second, field, value in edits:
        if not entries:
            return entries
        index, target = first % len(entries), second % len(entries)
        entry = entries[index]
        if operation == "remove":
            del entries[index]
        elif operation == "duplicate":
            entries.insert(target, copy.deepcopy(entry))
        elif operation in ("move", "swap"):
            entries.insert(target, entries.pop(index))
        elif operation == "insert value":
            entries.insert(target, value)
        elif not isinstance(entry, dict) or "metadata" not in entry:
            continue
        elif operation == "rename":
            entry["metadata"]["name"] = value
        elif operation == "change kind":
            entry["resourceKind"] = value
        elif operation == "insert tenant":
            entries.insert(
                target, resource("tenantTable", f"n{first}", accessKeys=[f"m{second}"], priority=second)
            )
        elif operation == "rename kind field":
            entries[index] = {"x": entry.pop("resourceKind", 0), **entry}
        else:
            entry["specification"][field] = value
    return entries


def validation_result(body: bytes, current: LoadedConfiguration | None = None) -> int | str:
    """Return the version of a valid document, or the error text of an invalid one."""
    try:
        return validate_change(body, current).version if current is not None else validate_configuration(body)
    except InvalidConfigurationError as error:
        return str(error)


def count_unshared(old: Configuration, new: Configuration) -> int:
    """Return how many resources are equal in both configurations without being the same objects."""
    routes = {route: route for routes in old.routes_by_host.values() for route in routes}
    new_routes = [route for host_routes in new.routes_by_host.values() for route in host_routes]
    tables: list[tuple[dict[Any, Any], dict[Any, Any]]] = [(routes, {route: route for route in new_routes})]
    tables += [(old.tenants, new.tenants), (old.services, new.services)]
    return sum(
        before.get(name) == value and before[name] is not value
        for before, after in tables
        for name, value in after.items()
    )


@PROPERTY
@given(
    st.integers(0, 11),
    EDITS,
    EDITS,
    BYTE_EDITS,
    st.sampled_from([None, None, None, 1]),
    st.sampled_from(["r8", 8]),
)
def test_an_incremental_change_has_the_same_result_as_the_complete_document(
    seed: int,
    first_edits: list[Any],
    second_edits: list[Any],
    byte_edits: list[tuple[int, int, bytes]],
    indent: int | None,
    version: Any,
) -> None:
    """Make two changes, because the second one starts from tables and blocks that the first one produced."""
    body = document_bytes(make_resources(seed))
    current, entries = load_configuration(pack(body), None), make_resources(seed)
    assert current.block_aligned and current.configuration == parse_configuration(body)
    for edits in (first_edits, second_edits):
        entries = apply_edits(entries, edits)
        body = document_bytes(entries, version if edits is second_edits else "r8", indent)
        if edits is second_edits:
            for offset, length, replacement in byte_edits:
                body = body[:offset] + replacement + body[offset + length :]
        before = copy.deepcopy(current.configuration)
        expected = validation_result(body)
        assert validation_result(body, current) == expected
        assert current.configuration == before
        packed = apply_deltas(
            current.packed, [make_delta(current.packed, pack(body))], configuration_digest(body)
        )
        assert unpack(packed) == body
        if not isinstance(expected, int):
            return
        previous, current = current, load_configuration(packed, current)
        assert current.configuration == parse_configuration(body)
        if (
            current.block_aligned
            and max(previous.configuration.limits_entries, current.configuration.limits_entries) < 2
        ):
            assert count_unshared(previous.configuration, current.configuration) <= len(edits)
        assert all(
            current.configuration.tenants[tenant.name] is tenant
            for tenant in current.configuration.tenants_by_key.values()
        )


def test_an_ordinary_change_is_loaded_without_parsing_the_complete_document(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    body = document_bytes(make_resources(3))
    current = load_configuration(pack(body))
    for edits in (
        [("insert tenant", 5, 7, "", None)],
        [("remove", 3, 0, "", None)],
        [("set field", 20, 0, "priority", 4), ("insert tenant", 9, 50, "", 0)],
    ):
        changed = document_bytes(apply_edits(make_resources(3), edits), "r8")
        packed = pack(changed, current.packed)
        assert validate_incrementally(current, packed) == 8
        with monkeypatch.context() as patch:
            patch.setattr("hazelspring.configuration.incremental.parse_configuration", None)
            patch.setattr("hazelspring.configuration.incremental.build_configuration", None)
            assert load_configuration(packed, current).configuration == parse_configuration(changed)


@pytest.mark.parametrize(
    "head", ['{"resourceList": ["x"], "resourceList": [', '{"a": {"resourceList": [', "[["]
)
def test_entries_outside_the_resource_list_are_not_treated_as_resources(head: str) -> None:
    current = load_configuration(pack(document_bytes(make_resources(0))))
    middle = ", ".join(json.dumps(entry) for entry in make_resources(0))
    for tail in (
        "]}",
        ']}, "resourceList": [], "versionNumber": "r8"}',
        ']}, "resourceList": [1], "versionNumber": "r8"}',
        '], "resourceList": [], "versionNumber": "r8"}',
    ):
        body = (head + middle + tail).encode()
        assert validation_result(body, current) == validation_result(body)


def test_a_packed_body_is_a_zlib_stream_and_a_change_keeps_the_unchanged_blocks() -> None:
    entries = make_resources(4)
    old, new = (
        document_bytes(entries),
        document_bytes(apply_edits(entries, [("set field", 12, 0, "priority", 5)]), "r8"),
    )
    packed = pack(old)
    assert unpack(packed) == old and zlib.decompress(packed) == old
    blocks = [
        {block.packed for block in blocks_module.read_blocks(body)} for body in (packed, pack(new, packed))
    ]
    assert len(blocks[0]) > 6 and len(blocks[1] - blocks[0]) <= 3
    without_table = zlib.compress(old, 6)  # the format of earlier versions
    assert apply_deltas(
        without_table, [make_delta(without_table, pack(new))], configuration_digest(new)
    ) == apply_deltas(packed, [make_delta(packed, pack(new))], configuration_digest(new))


def test_the_size_of_a_delta_depends_on_the_change_and_not_on_the_body() -> None:
    bodies = [configuration(routes) for routes in (100, 1000)]
    sizes = []
    for body in bodies:
        document = json.loads(body)
        document["versionNumber"] = "r2"
        document["resourceList"][50]["specification"]["priority"] = 9
        sizes.append(len(make_delta(pack(body), pack(json.dumps(document).encode()))))
    assert max(sizes) < 400 and abs(sizes[0] - sizes[1]) < 40


def test_a_damaged_or_unsuitable_delta_is_rejected() -> None:
    old, new = (
        document_bytes(make_resources(1)),
        document_bytes(
            apply_edits(make_resources(1), [("insert tenant", 5, 7, "", None), ("remove", 9, 0, "", None)]),
            "r8",
        ),
    )
    packed = pack(old)
    valid = make_delta(packed, pack(new))
    assert unpack(apply_deltas(packed, [valid], configuration_digest(new))) == new
    unpacked, other = zlib.decompress(valid), pack(document_bytes(make_resources(2)))
    invalid = [b"", b"x", valid[:-5], other, make_delta(other, packed)]
    for seed in range(400):
        rng, damaged = random.Random(seed), bytearray(unpacked)
        damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        invalid.append(zlib.compress(bytes(damaged)))
    invalid.append(
        zlib.compress(
            delta_module.DELTA_HEADER.pack(1 << 30, 1) + delta_module.RUN_HEADER.pack(0, 1 << 30, 0)
        )
    )
    invalid.append(zlib.compress(bytes(delta_module.MAX_NEW_BYTES + 1)))
    repeated = delta_module.DELTA_HEADER.pack(3 * len(old), 3) + 3 * delta_module.RUN_HEADER.pack(
        0, len(old), 0
    )
    invalid.append(zlib.compress(repeated))
    raised = 0
    for delta in invalid:
        try:  # some bits may change without an effect, for example in the offset of an empty run
            assert unpack(apply_deltas(packed, [delta], configuration_digest(new))) == new
        except DeltaError:
            raised += 1
    assert raised > len(invalid) - 40
    for delta in invalid[:5] + invalid[-3:]:
        with pytest.raises(DeltaError):
            apply_deltas(packed, [delta], configuration_digest(new))
    for base in (b"", b"no body", packed[9:], packed[:99] + packed[100:]):
        with pytest.raises(DeltaError):
            apply_deltas(base, [valid], configuration_digest(new))
    with pytest.raises(DeltaError, match="too many deltas"):
        apply_deltas(
            packed,
            [valid] * (delta_module.MAX_CHAINED_DELTAS + 1),
            configuration_digest(new),
        )


def make_conflict(kind: str) -> tuple[list[Any], list[Any]]:
    """Return valid resources, and the same with a change that conflicts with an unchanged resource."""
    valid = make_resources(0)
    valid.insert(0, resource("serviceTable", "s5"))
    valid[6]["specification"]["weightedSplit"] = [
        {"service": name, "shareWeight": weight} for name, weight in (("s0", 1), ("s5", 0))
    ]
    invalid = copy.deepcopy(valid)
    route, tenant = invalid[29], invalid[-9]
    if kind == "path prefix":
        route["specification"] |= {
            "hostName": "h0.EXAMPLE",
            "pathPrefix": valid[7]["specification"]["pathPrefix"],
        }
    elif kind == "key":
        tenant["specification"]["accessKeys"] = ["k0"]
    elif kind in ("route", "tenant"):
        (route if kind == "route" else tenant)["metadata"]["name"] = f"{kind[0]}0"
    elif kind == "service":
        route["specification"]["service"] = "s9"
        route["specification"].pop("weightedSplit", None)
    else:  # remove a service that only unchanged routes refer to, with a weight or with a weight of 0
        invalid = [entry for entry in invalid if entry["metadata"]["name"] != kind]
    return valid, invalid


@pytest.mark.parametrize("kind", ["path prefix", "key", "route", "tenant", "service", "s5", "s0"])
def test_a_resource_that_conflicts_with_an_unchanged_one_is_rejected(kind: str) -> None:
    valid, invalid = make_conflict(kind)
    current = load_configuration(pack(document_bytes(valid)))
    assert current.block_aligned and validation_result(document_bytes(valid, "r8"), current) == 8
    assert (
        validation_result(document_bytes(invalid, "r8"), current)
        == validation_result(document_bytes(invalid, "r8"))
        != 8
    )


def test_entries_with_another_beginning_or_without_a_comma_are_not_ignored() -> None:
    body = document_bytes(make_resources(0))
    current = load_configuration(pack(body))
    changed = body.replace(
        b'List": [', b'List": [{ "resourceKind": "limits", "metadata": {}, "specification": 1}, '
    )
    assert validation_result(changed, current) == validation_result(changed) != 7
    parts = body.split(b', {"resourceKind"')
    for n in range(1, len(parts)):
        without_comma = b', {"resourceKind"'.join(
            [*parts[: n - 1], parts[n - 1] + b' {"resourceKind"' + parts[n], *parts[n + 1 :]]
        )
        assert validation_result(without_comma, current) == validation_result(without_comma) != 7
