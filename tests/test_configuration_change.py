"""Packed bodies, deltas and incremental reading: exact bytes, and the verdict and tables of the whole document."""

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
    """Blocks of a few resources, so that small configurations have many."""
    with pytest.MonkeyPatch.context() as patch:
        for name, value in (("MIN_BLOCK_BYTES", 300), ("MAX_BLOCK_BYTES", 2000), ("BOUNDARY_MASK", 3)):
            patch.setattr(blocks_module, name, value)
        patch.setattr(delta_module, "MIN_BLOCK_BYTES", 300)
        yield


def resource(kind: str, name: str, **spec: Any) -> ResourceDocument:
    return {"resourceKind": kind, "metadata": {"name": name}, "specification": spec}


def resources(seed: int) -> list[ResourceDocument]:
    draw = random.Random(seed)
    found = [resource("serviceTable", f"s{n}", connectionLimit=n) for n in range(5)]
    for n in range(24):
        spec: ResourceDocument = {
            "hostName": f"H{n // 4}.example",
            "pathPrefix": f"/{'ab' * (n % 4)}",
            "routeKind": "upload",
        }
        if n % 3:
            spec["service"] = f"s{draw.randrange(5)}"
        else:
            weights = [{"service": f"s{draw.randrange(5)}", "shareWeight": w} for w in (0, 1)]
            spec["weightedSplit"] = weights
        found.append(resource("routeTable", f"r{n}", **spec))
    for n in range(30):
        keys = [f"k{n}", f"k{n}-{draw.randrange(3)}"]
        found.append(resource("tenantTable", f"t{n}", accessKeys=keys, requestsPerS=draw.randrange(9)))
    found += [resource("limits", f"l{n}", bodyBytes=1000 + n) for n in range(seed % 3)]
    if seed % 2:
        draw.shuffle(found)
    return found


def document_bytes(found: list[Any], number: Any = "r7", indent: int | None = None) -> bytes:
    document = {"versionNumber": number, "resourceList": found, "after": {"resourceKind": []}}
    return json.dumps(document, indent=indent).encode()


ODD_VALUES: list[Any] = [
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
        st.sampled_from(["drop", "twice", "move", "swap", "name", "kind", "put", "set", "set", "set", "odd", "key"]),
        st.integers(0, 400), st.integers(0, 400), st.sampled_from(FIELD_NAMES), st.sampled_from(ODD_VALUES),
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


def edited(found: list[Any], edits: list[tuple[str, int, int, str, Any]]) -> list[Any]:
    found = copy.deepcopy(found)
    for what, one, other, name, value in edits:
        if not found:
            return found
        at, to = one % len(found), other % len(found)
        it = found[at]
        if what == "drop":
            del found[at]
        elif what == "twice":
            found.insert(to, copy.deepcopy(it))
        elif what in ("move", "swap"):
            found.insert(to, found.pop(at))
        elif what == "odd":
            found.insert(to, value)
        elif not isinstance(it, dict) or "metadata" not in it:
            continue
        elif what == "name":
            it["metadata"]["name"] = value
        elif what == "kind":
            it["resourceKind"] = value
        elif what == "put":
            found.insert(to, resource("tenantTable", f"n{one}", accessKeys=[f"m{other}"], priority=other))
        elif what == "key":
            found[at] = {"x": it.pop("resourceKind", 0), **it}
        else:
            it["specification"][name] = value
    return found


def verdict(body: bytes, held: LoadedConfiguration | None = None) -> int | str:
    try:
        return validate_change(body, held).version if held is not None else validate_configuration(body)
    except InvalidConfigurationError as error:
        return str(error)


def count_unshared(old: Configuration, new: Configuration) -> int:
    """Return how many resources are equal in both configurations and not the same objects."""
    routes = {route: route for routes in old.routes_by_host.values() for route in routes}
    now = [route for of in new.routes_by_host.values() for route in of]
    tables: list[tuple[dict[Any, Any], dict[Any, Any]]] = [(routes, {route: route for route in now})]
    tables += [(old.tenants, new.tenants), (old.services, new.services)]
    return sum(
        before.get(name) == of and before[name] is not of
        for before, after in tables
        for name, of in after.items()
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
def test_a_change_has_the_verdict_and_the_tables_of_the_whole_document(
    seed: int,
    first: list[Any],
    then: list[Any],
    noise: list[tuple[int, int, bytes]],
    indent: int | None,
    number: Any,
) -> None:
    """Over two changes, as the second builds on tables and blocks that the first has made."""
    body = document_bytes(resources(seed))
    held, found = load_configuration(pack(body), None), resources(seed)
    assert held.block_aligned and held.configuration == parse_configuration(body)
    for edits in (first, then):
        found = edited(found, edits)
        body = document_bytes(found, number if edits is then else "r8", indent)
        if edits is then:
            for at, length, other in noise:
                body = body[:at] + other + body[at + length :]
        before = copy.deepcopy(held.configuration)
        right = verdict(body)
        assert verdict(body, held) == right
        assert held.configuration == before
        packed = apply_deltas(held.packed, [make_delta(held.packed, pack(body))], configuration_digest(body))
        assert unpack(packed) == body
        if not isinstance(right, int):
            return
        old, held = held, load_configuration(packed, held)
        assert held.configuration == parse_configuration(body)
        if (
            held.block_aligned
            and max(old.configuration.limits_entries, held.configuration.limits_entries) < 2
        ):
            assert count_unshared(old.configuration, held.configuration) <= len(edits)
        assert all(
            held.configuration.tenants[tenant.name] is tenant
            for tenant in held.configuration.tenants_by_key.values()
        )


def test_a_usual_change_is_read_without_the_whole_document(monkeypatch: pytest.MonkeyPatch) -> None:
    body = document_bytes(resources(3))
    held = load_configuration(pack(body))
    for edits in (
        [("put", 5, 7, "", None)],
        [("drop", 3, 0, "", None)],
        [("set", 20, 0, "priority", 4), ("put", 9, 50, "", 0)],
    ):
        changed = document_bytes(edited(resources(3), edits), "r8")
        packed = pack(changed, held.packed)
        assert validate_incrementally(held, packed) == 8
        with monkeypatch.context() as patch:
            patch.setattr("hazelspring.configuration.incremental.parse_configuration", None)
            patch.setattr("hazelspring.configuration.incremental.build_configuration", None)
            assert load_configuration(packed, held).configuration == parse_configuration(changed)


@pytest.mark.parametrize(
    "head", ['{"resourceList": ["x"], "resourceList": [', '{"a": {"resourceList": [', "[["]
)
def test_entries_outside_of_the_resource_list_are_not_taken_for_resources(head: str) -> None:
    held = load_configuration(pack(document_bytes(resources(0))))
    middle = ", ".join(json.dumps(each) for each in resources(0))
    for tail in (
        "]}",
        ']}, "resourceList": [], "versionNumber": "r8"}',
        ']}, "resourceList": [1], "versionNumber": "r8"}',
        '], "resourceList": [], "versionNumber": "r8"}',
    ):
        body = (head + middle + tail).encode()
        assert verdict(body, held) == verdict(body)


def test_a_packed_body_is_a_zlib_stream_and_a_change_keeps_its_other_blocks() -> None:
    found = resources(4)
    one, two = document_bytes(found), document_bytes(edited(found, [("set", 12, 0, "priority", 5)]), "r8")
    packed = pack(one)
    assert unpack(packed) == one and zlib.decompress(packed) == one
    blocks = [
        {block.packed for block in blocks_module.read_blocks(each)} for each in (packed, pack(two, packed))
    ]
    assert len(blocks[0]) > 6 and len(blocks[1] - blocks[0]) <= 3
    old = zlib.compress(one, 6)  # as earlier versions packed it
    assert apply_deltas(old, [make_delta(old, pack(two))], configuration_digest(two)) == apply_deltas(
        packed, [make_delta(packed, pack(two))], configuration_digest(two)
    )


def test_the_size_of_a_delta_is_that_of_the_change() -> None:
    bodies = [configuration(routes) for routes in (100, 1000)]
    sizes = []
    for body in bodies:
        document = json.loads(body)
        document["versionNumber"] = "r2"
        document["resourceList"][50]["specification"]["priority"] = 9
        sizes.append(len(make_delta(pack(body), pack(json.dumps(document).encode()))))
    assert max(sizes) < 400 and abs(sizes[0] - sizes[1]) < 40


def test_a_wrong_delta_is_refused() -> None:
    one, two = (
        document_bytes(resources(1)),
        document_bytes(edited(resources(1), [("put", 5, 7, "", None), ("drop", 9, 0, "", None)]), "r8"),
    )
    packed = pack(one)
    right = make_delta(packed, pack(two))
    assert unpack(apply_deltas(packed, [right], configuration_digest(two))) == two
    plain, other = zlib.decompress(right), pack(document_bytes(resources(2)))
    wrong = [b"", b"x", right[:-5], other, make_delta(other, packed)]
    for seed in range(400):
        draw, bent = random.Random(seed), bytearray(plain)
        bent[draw.randrange(len(bent))] ^= 1 << draw.randrange(8)
        wrong.append(zlib.compress(bytes(bent)))
    wrong.append(
        zlib.compress(
            delta_module.DELTA_HEADER.pack(1 << 30, 1) + delta_module.RUN_HEADER.pack(0, 1 << 30, 0)
        )
    )
    wrong.append(zlib.compress(bytes(delta_module.MAX_NEW_BYTES + 1)))
    twice = delta_module.DELTA_HEADER.pack(3 * len(one), 3) + 3 * delta_module.RUN_HEADER.pack(0, len(one), 0)
    wrong.append(zlib.compress(twice))
    raised = 0
    for delta in wrong:
        try:  # a bit that says nothing, as the offset of an empty run, may be bent
            assert unpack(apply_deltas(packed, [delta], configuration_digest(two))) == two
        except DeltaError:
            raised += 1
    assert raised > len(wrong) - 40
    for delta in wrong[:5] + wrong[-3:]:
        with pytest.raises(DeltaError):
            apply_deltas(packed, [delta], configuration_digest(two))
    for base in (b"", b"no body", packed[9:], packed[:99] + packed[100:]):
        with pytest.raises(DeltaError):
            apply_deltas(base, [right], configuration_digest(two))
    with pytest.raises(DeltaError, match="too many"):
        apply_deltas(
            packed,
            [right] * (delta_module.MAX_CHAINED_DELTAS + 1),
            configuration_digest(two),
        )


def conflicting(what: str) -> tuple[list[Any], list[Any]]:
    """Return valid resources, and the same with one that conflicts with a resource which did not change."""
    right = resources(0)
    right.insert(0, resource("serviceTable", "s5"))
    right[6]["specification"]["weightedSplit"] = [
        {"service": name, "shareWeight": weight} for name, weight in (("s0", 1), ("s5", 0))
    ]
    wrong = copy.deepcopy(right)
    route, tenant = wrong[29], wrong[-9]
    if what == "place":
        route["specification"] |= {
            "hostName": "h0.EXAMPLE",
            "pathPrefix": right[7]["specification"]["pathPrefix"],
        }
    elif what == "key":
        tenant["specification"]["accessKeys"] = ["k0"]
    elif what in ("route", "tenant"):
        (route if what == "route" else tenant)["metadata"]["name"] = f"{what[0]}0"
    elif what == "service":
        route["specification"]["service"] = "s9"
        route["specification"].pop("weightedSplit", None)
    else:  # a service goes that only routes which stay name, with a weight and without
        wrong = [each for each in wrong if each["metadata"]["name"] != what]
    return right, wrong


@pytest.mark.parametrize("what", ["place", "key", "route", "tenant", "service", "s5", "s0"])
def test_a_resource_that_conflicts_with_an_unchanged_one_is_refused(what: str) -> None:
    right, wrong = conflicting(what)
    held = load_configuration(pack(document_bytes(right)))
    assert held.block_aligned and verdict(document_bytes(right, "r8"), held) == 8
    assert verdict(document_bytes(wrong, "r8"), held) == verdict(document_bytes(wrong, "r8")) != 8


def test_entries_that_begin_otherwise_or_lack_a_comma_are_not_passed_over() -> None:
    body = document_bytes(resources(0))
    held = load_configuration(pack(body))
    first = body.replace(
        b'List": [', b'List": [{ "resourceKind": "limits", "metadata": {}, "specification": 1}, '
    )
    assert verdict(first, held) == verdict(first) != 7
    parts = body.split(b', {"resourceKind"')
    for n in range(1, len(parts)):
        unparted = b', {"resourceKind"'.join(
            [*parts[: n - 1], parts[n - 1] + b' {"resourceKind"' + parts[n], *parts[n + 1 :]]
        )
        assert verdict(unparted, held) == verdict(unparted) != 7
