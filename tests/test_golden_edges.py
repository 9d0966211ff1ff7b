"""What others see of this software, byte for byte: settings, answers, requests, and files that two versions share.

Each group is compared with its record in tests/golden_edges.  A record changes only where the behaviour is meant to
change: `python -m tests.test_golden_edges` writes all of them anew.
"""

from __future__ import annotations

import asyncio
import base64
import fcntl
import json
import os
import re
import tempfile
import zlib
from collections.abc import Callable
from dataclasses import astuple
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hazelspring.admission.interface import Attached, Detached, Processes
from hazelspring.configuration.blocks import pack
from hazelspring.configuration.model import Route, parse_configuration
from hazelspring.configuration.validation import InvalidConfigurationError, validate_configuration
from hazelspring.consensus.proposal import ProposalOutcome
from hazelspring.daemon.client_listener import (
    ClientConnection,
    ClientListener,
    FinalAnswer,
    encode,
    flow_head,
)
from hazelspring.daemon.http_api import ApiConnection, ApiRole, HttpApi
from hazelspring.daemon.instance_list_client import InstanceListClient
from hazelspring.daemon.node_process import NodeProcess
from hazelspring.daemon.operator_calls import OperatorCalls
from hazelspring.daemon.settings import Settings, SettingsError, load_settings, parse_settings
from hazelspring.daemon.upstream_servers import UpstreamStream
from hazelspring.gateway.caller import Client
from hazelspring.gateway.config import Address
from hazelspring.gateway.config import parse as parse_front_node
from hazelspring.gateway.generations import Confirm, Generation, Generations, read_kept
from hazelspring.gateway.handover import Handover
from hazelspring.gateway.host import Answer
from hazelspring.gateway.metrics import Counts
from hazelspring.registry.tables import ServerEntry, ServiceTable

from .test_uploads import PausableTransport, feed

FOLDER = Path(__file__).parent / "golden_edges"
Record = dict[str, Any]
CASES: Record = json.loads((FOLDER / "cases.json").read_text())


def exchange(connection: Client, request: bytes) -> PausableTransport:
    """A new connection's transport, once these bytes have come on it."""
    transport = PausableTransport()
    connection.connection_made(transport)
    feed(cast(Any, connection), request)
    return transport


SETTINGS: dict[str, Callable[[Settings], Any]] = {
    "thisDoor.nodeName": lambda s: s.name,
    "thisDoor.internetAddress": lambda s: s.ip,
    "thisDoor.zone": lambda s: s.zone,
    "thisDoor.answerRegion": lambda s: s.region,
    "thisDoor.firstStart": lambda s: s.first_start,
    "thisDoor.dataDirectory": lambda s: s.data_directory,
    "thisDoor.limits.fileDescriptors": lambda s: s.max_descriptors,
    "thisDoor.limits.linkMbps": lambda s: s.link_bandwidth,
    "network.listenAddresses.front": lambda s: [s.client_address.host, s.client_address.port],
    "network.listenAddresses.readiness": lambda s: [s.readiness_address.host, s.readiness_address.port],
    "network.listenAddresses.controlAddress": lambda s: [s.control_address.host, s.control_address.port],
    "network.listenAddresses.directoryAddress": lambda s: [
        s.directory_address.host,
        s.directory_address.port,
    ],
    "network.internalPorts": lambda s: s.internal_port,
    "network.seedNodes": lambda s: list(s.seeds),
    "network.zones": lambda s: s.zones,
    "platformSettings.cloudInterface.address": lambda s: [s.platform_address.host, s.platform_address.port],
    "platformSettings.cloudInterface.requestsPerS": lambda s: s.platform_rate,
    "timingTerms.ruleBounds.revocationMs": lambda s: s.revocation_time,
    "timingTerms.ruleBounds.gracePeriodS": lambda s: s.grace_period,
    "timingTerms.ruleBounds.ttl_max_s": lambda s: s.max_lookup_lifetime,
    "timingTerms.ruleBounds.retryBudgetRatio": lambda s: s.shared_limits.retry_ratio,
    "timingTerms.ruleBounds.budgetSlack": lambda s: s.shared_limits.retry_slack,
    "timingTerms.ruleBounds.budgetWindowS": lambda s: s.shared_limits.retry_window,
    "timingTerms.ruleBounds.quotaWindowS": lambda s: s.shared_limits.quota.span,
    "timingTerms.ruleBounds.quotaOverage": lambda s: s.shared_limits.quota.overage,
    "timingTerms.ruleBounds.quotaSlack": lambda s: s.shared_limits.quota.slack,
    "timingTerms.ruleBounds.drainCutoffMs": lambda s: s.invariants.drain_cutoff,
    "timingTerms.ruleBounds.inTouchMs": lambda s: s.invariants.in_touch,
}


def settings_error(changes: list[list[str]]) -> str:
    text = (FOLDER / "boot.conf").read_text()
    for piece, other in changes:
        text = text.replace(piece, other) if piece else text + other
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return f"{caught.value.code}: {caught.value}"


def settings() -> Record:
    text = (FOLDER / "boot.conf").read_text()
    whole = load_settings(str(FOLDER / "boot.conf"))
    assert whole == parse_settings(text)
    optional = re.compile(r"timingTerms|thisDoor\.(limits|firstStart|data|loss)|network\.seed|.*requestsPerS")
    least = parse_settings("\n".join(line for line in text.splitlines() if not optional.match(line)))
    return {
        "whole": {name: value(whole) for name, value in SETTINGS.items()},
        "defaults": {name: value(least) for name, value in SETTINGS.items()},
        "closedRevocation=false": parse_settings(
            text.replace("Revocation=true", "Revocation=false")
        ).revocation_time,
        "errors": {name: settings_error(changes) for name, changes in CASES["settings"].items()},
    }


# by the name in the recorded cases
FIELDS_OF_OUTCOMES = {"good": "succeeded", "why": "reason", "word": "configuration"}


async def answers() -> Record:
    text = (FOLDER / "boot.conf").read_text().replace("dataDirectory=/data/my-edge", "dataDirectory=")
    document = (FOLDER / "document.json").read_text()
    process: Any = NodeProcess(
        parse_settings(text)
    )  # it is never started: what time and peers decide is given
    process.node, process.is_ready = process.make_node({}, False), lambda: True
    process.lookup = lambda region: ["10.1.0.13:8388", "10.2.0.13:8388"] if region == "zapad" else []
    orders: list[list[Any]] = []

    def order(kind: str, *about: Any) -> list[Any]:
        orders.append([kind, *(one for one in about if isinstance(one, str | bool))])
        return []

    methods = {"put_configuration": "put", "read_configuration": "read", "set_evacuation": "evacuate"}
    methods["retire_member"] = "retire"
    node: Any = SimpleNamespace(**{name: partial(order, kind) for name, kind in methods.items()})
    process.operator_calls = OperatorCalls(lambda: 0.0, lambda: node, lambda: None, lambda actions: None)

    def call(request: str, roles: list[str], end: Record) -> str:
        api = HttpApi(Address("127.0.0.1", 0), process, frozenset(map(ApiRole, roles)))
        body = request.partition("\r\n\r\n")[2].replace("<document>", document)
        request = request.replace("<document>", document).replace("<length>", str(len(body)))
        ended: Record = {"good": True, "word": pack(document.encode())} | end
        outcome = {FIELDS_OF_OUTCOMES.get(key, key): value for key, value in ended.items()}
        transport = exchange(ApiConnection(api), request.encode())
        for token in list(process.operator_calls.replies):
            process.operator_calls.on_outcome(ProposalOutcome(token, **outcome))
        api.close()
        return transport.sent.decode()

    found: Record = {}
    for name, case in CASES["answers"].items():
        found[name] = call(case["request"], case["roles"], case.get("end", {}))
    found["orders"] = orders
    process.is_ready = lambda: False
    process.router.ends["quota"] = process.node.dropped["dance"] = process.supervisor.failures["tick"] = 1
    process.list_reader.read_at = 0.0
    server = ServerEntry("s-1", "10.1.0.9:80", "nitra-hall", True, 4, "v1")
    process.node.registry.tables["shop"] = ServiceTable(3, {"s-1": server})
    varying = re.compile(r'("freshForS": |Content-Length: |(?m:^hazelspring_\S+ ))[^,\r\n]+')
    for name in ("readiness", "status", "metrics"):
        answer = call(f"GET /-/{name} HTTP/1.1\r\nHost: x\r\n\r\n", [], {})
        found[f"not ready, {name}"] = varying.sub(r"\1N", answer)
    return found


async def list_requests() -> str:
    """What the platform is asked for: the list's first page, and the one that its answer names."""
    client, transport = InstanceListClient(Address("10.200.0.160", 8382), 44.0, 5.0), PausableTransport()
    bodies = [b'{"nextToken":"a b/c&d"}', b"{}"]

    async def one_answer(size: int) -> bytes:
        body = bodies.pop(0)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    writer = SimpleNamespace(write=transport.write, is_closing=lambda: False, transport=transport)
    client.streams = cast(Any, SimpleNamespace(read=one_answer)), cast(Any, writer)
    await client.read_pages()
    return transport.sent.decode()


async def traffic() -> Record:
    sent: list[str] = []

    def request(
        make: Any, kind: str, timeout: float, payload: Any, caller: Any, upload: Any, id_: bytes
    ) -> Any:
        sent.extend(payload(1.5, number).decode() for number in (1, 2))
        sent.append(f"{kind} {timeout} {id_.decode()}")
        return SimpleNamespace(sent=0)

    def ask(name: str) -> list[str]:
        """What servers are sent, listed and no longer listed, the request's terms, and what its client is."""
        sent.clear()
        text = re.sub(r"<(\d+)>", lambda size: "y" * int(size[1]), CASES["traffic"][name])
        answered = exchange(ClientConnection(front), text.encode()).sent.decode()
        return [one.replace("y" * 1000, "<1000>") for one in (*sent, answered)]

    fleet = SimpleNamespace(servers={1: SimpleNamespace(id="shop-7")})
    host: Any = SimpleNamespace(counts=Counts(), request=request, gateway=SimpleNamespace(fleet=fleet))
    host.whole = host.left = lambda request: None
    fresh = True
    front = ClientListener(Address("127.0.0.1", 0), host, 999, lambda: fresh)
    found: Record = {"list": await list_requests(), "no configuration": ask("keyed get")}
    front.use_configuration(parse_configuration((FOLDER / "document.json").read_bytes()))
    found |= {name: ask(name) for name in CASES["traffic"]}
    fresh = False
    found |= {f"{name}, not fresh": ask(name) for name in ("no route", "no key", "keyed get")}
    front.close()
    return found | heads()


def heads() -> Record:
    """Answers to clients, on connections that are kept or closed."""
    served = b"content-type: text/x\r\nx-hazelspring-attempt-id: try-1\r\nx-hazelspring-server-seal: s\r\n"
    finals: dict[str, Answer] = {
        str(status): FinalAnswer(status) for status in (401, 404, 500, 502, 504, 299)
    }
    finals |= {"200": FinalAnswer(200, b"body", headers=served), "429": FinalAnswer(429, retry_after=1.23456)}
    finals |= {"503": FinalAnswer(503, retry_after=0.25), "503 soon": FinalAnswer(503, retry_after=1e-9)}
    finals["400 plain"] = Answer(400, b"malformed request\n")
    found: Record = {}
    for close in (False, True):
        found |= {f"{name}, closes {close}": encode(one, close).decode() for name, one in finals.items()}
        for length, chunked in ((70000, False), (None, True), (None, False)):
            flow = UpstreamStream(length, b"", cast(Any, None), served, 200)
            found[f"flow {length} {chunked}, closes {close}"] = flow_head(flow, chunked, close).decode()
    return found


async def front_node() -> Record:
    text = (FOLDER / "node_config.json").read_text()
    with tempfile.TemporaryDirectory() as folder:
        env = {"TMPDIR": folder, "NODE_MANAGEMENT": "127.0.0.1:9"}
        config = parse_front_node(text, env)
        generations, path = Generations(config, env, []), Path(folder) / "generations"
        generations.path, generations.basis = path, "0123456789abcdef"
        earlier = Generation(6, "fedcba9876543210", 1700000000.25, "start", zlib.compress(b"{}", 1))
        shown: Record = {"digest": config.digest, "basis": config.basis}
        for source, confirm in (("put", Confirm(7, 6, 1700000090.5, 30.0)), ("SIGHUP", None)):
            running = Generation(7, config.digest, 1700000060.5, source)
            generations.keep(running, config, [earlier], confirm)
            written = path.read_text()
            for number, one in enumerate((b"{}", config.text)):  # another zlib may pack them otherwise
                packed = base64.b64encode(zlib.compress(one, 1)).decode()
                written = written.replace(packed, f"<text {number}>")
            shown[f"{source}, written"] = written
        generations.stop()
        kept = read_kept(FOLDER / "generations")
        assert kept is not None and kept.confirm_by is not None
        both = kept.running, *kept.earlier
        shown["read"] = [[*astuple(one)[:4], zlib.decompress(one.packed).decode()] for one in both]
        shown["read"] += [kept.basis, astuple(kept.confirm_by), kept.running.facts()]
        shown["handover"] = handover(Path(folder))
    return shown


def handover(folder: Path) -> list[Any]:
    """Steps of a process beside another, and the names of the files after each."""
    steps: list[Any] = []
    shared = folder / "ivymux"
    shared.mkdir()
    for name in ("back-0000000b", "out-0000000a", "node-0123456789abcdef", "node-00000000000000ff", "other"):
        (shared / name).touch()
        os.utime(shared / name, (1700000000, 1700000000))

    before = set(os.listdir(shared))

    def post(event: Detached | Attached | Processes) -> None:
        kind = {Detached: "out", Attached: "back", Processes: "processes"}[type(event)]
        steps.append([kind, *("now" if one > 1700000000 else one for one in astuple(event))])

    def note_files() -> None:
        names = [name if name in before or name[:4] != "node" else "node-N" for name in os.listdir(shared)]
        steps.append([sorted(names), sum(path.stat().st_size for path in shared.iterdir())])

    descriptor = os.open(shared / "node-0123456789abcdef", os.O_RDWR)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    process = Handover(folder, post, lambda count: None)
    for step in (process.join, lambda: process.detach(12), lambda: process.attach(10), process.close):
        step()
        note_files()
    os.close(descriptor)
    return steps


def route_fields(route: Route) -> Record:
    return {
        "name": route.name, "hostName": route.host, "pathPrefix": route.path_prefix, "routeKind": route.kind,
        "timeoutMs": route.timeout, "targetAnswerMs": route.latency_target, "priority": route.priority,
        "weightedSplit": [list(part) for part in route.weighted_services],
        "shareWeight=0": list(route.zero_weight_services),
        "maximumAttempts": route.max_attempts, "openAccess": route.open_access,
        "homeRegions": sorted(route.home_regions),
        "repeatable": route.idempotent,
    }  # fmt: skip


def configuration() -> Record:
    text = (FOLDER / "document.json").read_text()
    assert validate_configuration(text.encode()) == 12
    tables = parse_configuration(text.encode())
    limits, errors = tables.limits, {}
    for name, (piece, other) in CASES["invalid"].items():
        assert piece in text, name
        with pytest.raises(InvalidConfigurationError) as caught:
            validate_configuration(text.replace(piece, other, 1).encode())
        errors[name] = f"{caught.value.code}: {caught.value}"
    return {
        "versionNumber": tables.version,
        "routeTable": {host: [route_fields(one) for one in routes] for host, routes in tables.routes_by_host.items()},
        "serviceTable": {
            name: {
                "name": one.name, "healthPath": one.health_path, "connectionLimit": one.connection_limit,
                "coldStartS": one.slow_start_time, "coldPerS": one.slow_start_rate,
            }
            for name, one in tables.services.items()
        },
        "tenantTable": {
            name: {
                "name": one.name, "requestsPerS": one.rate, "burstSize": one.burst,
                "priority": one.priority, "homeRegions": sorted(one.home_regions),
            }
            for name, one in tables.tenants.items()
        },
        "accessKeys": {key: tenant.name for key, tenant in tables.tenants_by_key.items()},
        "limits": {
            "headerBytes": limits.max_head_bytes, "bodyBytes": limits.max_body_bytes,
            "headerTimeoutMs": limits.head_timeout,
            "idleTimeoutMs": limits.idle_timeout, "entries": tables.limits_entries,
        },
        "errors": errors,
    }  # fmt: skip


GROUPS: dict[str, Callable[[], Any]] = {
    "settings": settings, "answers": lambda: asyncio.run(answers()), "traffic": lambda: asyncio.run(traffic()),
    "front_door": lambda: asyncio.run(front_node()), "configuration": configuration,
}  # fmt: skip


@pytest.mark.parametrize("group", GROUPS)
def test_what_others_see_is_as_recorded(group: str) -> None:
    recorded = json.loads((FOLDER / f"{group}.json").read_text())
    found = json.loads(json.dumps(GROUPS[group]()))
    assert found.keys() == recorded.keys()
    for name, value in recorded.items():
        assert found[name] == value, name


if __name__ == "__main__":
    for group, make in GROUPS.items():
        (FOLDER / f"{group}.json").write_text(json.dumps(make(), indent=1) + "\n")
