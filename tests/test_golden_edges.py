"""The external interfaces, compared byte for byte with recordings.

The groups are settings, responses, requests, and files that two versions share.  Each group is compared with
its recording in tests/golden_edges.  A recording may change only with an intended change of behaviour;
`python -m tests.test_golden_edges` writes all of them again.
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
    stream_head,
)
from hazelspring.daemon.http_api import ApiConnection, ApiRole, HttpApi
from hazelspring.daemon.instance_list_client import InstanceListClient
from hazelspring.daemon.node_process import NodeProcess
from hazelspring.daemon.operator_calls import OperatorCalls
from hazelspring.daemon.settings import Settings, SettingsError, load_settings, parse_settings
from hazelspring.daemon.upstream_servers import UpstreamStream
from hazelspring.gateway.client_connection import Client
from hazelspring.gateway.config import Address
from hazelspring.gateway.config import parse as parse_gateway_config
from hazelspring.gateway.generations import Generation, Generations, PendingConfirmation, read_state_file
from hazelspring.gateway.host import Answer
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.shared_folder import SharedFolder
from hazelspring.registry.tables import ServerEntry, ServiceTable

from .test_large_bodies import PausableTransport, feed

FOLDER = Path(__file__).parent / "golden_edges"
Record = dict[str, Any]
CASES: Record = json.loads((FOLDER / "cases.json").read_text())


def exchange(connection: Client, request: bytes) -> PausableTransport:
    """Return the transport of a new connection after it has received a request."""
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
    for old, new in changes:
        text = text.replace(old, new) if old else text + new
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return f"{caught.value.code}: {caught.value}"


def settings() -> Record:
    text = (FOLDER / "boot.conf").read_text()
    complete = load_settings(str(FOLDER / "boot.conf"))
    assert complete == parse_settings(text)
    optional = re.compile(r"timingTerms|thisDoor\.(limits|firstStart|data|loss)|network\.seed|.*requestsPerS")
    minimal = parse_settings("\n".join(line for line in text.splitlines() if not optional.match(line)))
    return {
        "whole": {name: value(complete) for name, value in SETTINGS.items()},
        "defaults": {name: value(minimal) for name, value in SETTINGS.items()},
        "closedRevocation=false": parse_settings(
            text.replace("Revocation=true", "Revocation=false")
        ).revocation_time,
        "errors": {name: settings_error(changes) for name, changes in CASES["settings"].items()},
    }


# the fields of `ProposalOutcome`, by their names in the recorded cases
OUTCOME_FIELDS = {"good": "succeeded", "why": "reason", "word": "configuration"}


async def answers() -> Record:
    text = (FOLDER / "boot.conf").read_text().replace("dataDirectory=/data/my-edge", "dataDirectory=")
    document = (FOLDER / "document.json").read_text()
    # the process is never started: state that depends on time and on peers is set here
    process: Any = NodeProcess(parse_settings(text))
    process.node, process.is_ready = process.make_node({}, False), lambda: True
    process.lookup = lambda region: ["10.1.0.13:8388", "10.2.0.13:8388"] if region == "zapad" else []
    node_calls: list[list[Any]] = []

    def record_node_call(kind: str, *arguments: Any) -> list[Any]:
        node_calls.append([kind, *(value for value in arguments if isinstance(value, str | bool))])
        return []

    methods = {"put_configuration": "put", "read_configuration": "read", "set_evacuation": "evacuate"}
    methods["retire_member"] = "retire"
    node: Any = SimpleNamespace(**{name: partial(record_node_call, kind) for name, kind in methods.items()})
    process.operator_calls = OperatorCalls(lambda: 0.0, lambda: node, lambda: None, lambda actions: None)

    def response_to(request: str, roles: list[str], outcome_changes: Record) -> str:
        api = HttpApi(Address("127.0.0.1", 0), process, frozenset(map(ApiRole, roles)))
        body = request.partition("\r\n\r\n")[2].replace("<document>", document)
        request = request.replace("<document>", document).replace("<length>", str(len(body)))
        recorded: Record = {"good": True, "word": pack(document.encode())} | outcome_changes
        outcome = {OUTCOME_FIELDS.get(key, key): value for key, value in recorded.items()}
        transport = exchange(ApiConnection(api), request.encode())
        for token in list(process.operator_calls.open_commands):
            process.operator_calls.on_outcome(ProposalOutcome(token, **outcome))
        api.close()
        return transport.sent.decode()

    results: Record = {}
    for name, case in CASES["answers"].items():
        results[name] = response_to(case["request"], case["roles"], case.get("end", {}))
    results["orders"] = node_calls
    process.is_ready = lambda: False
    process.router.unserved_counts["quota"] = process.node.dropped["dance"] = process.supervisor.failures[
        "tick"
    ] = 1
    process.list_reader.read_at = 0.0
    server = ServerEntry("s-1", "10.1.0.9:80", "nitra-hall", True, 4, "v1")
    process.node.registry.tables["shop"] = ServiceTable(3, {"s-1": server})
    varying = re.compile(r'("freshForS": |Content-Length: |(?m:^hazelspring_\S+ ))[^,\r\n]+')
    for name in ("readiness", "status", "metrics"):
        response = response_to(f"GET /-/{name} HTTP/1.1\r\nHost: x\r\n\r\n", [], {})
        results[f"not ready, {name}"] = varying.sub(r"\1N", response)
    return results


async def list_requests() -> str:
    """Return the requests for the first page of the instance list and for the page that follows it."""
    client, transport = InstanceListClient(Address("10.200.0.160", 8382), 44.0, 5.0), PausableTransport()
    bodies = [b'{"nextToken":"a b/c&d"}', b"{}"]

    async def read_response(size: int) -> bytes:
        body = bodies.pop(0)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    writer = SimpleNamespace(write=transport.write, is_closing=lambda: False, transport=transport)
    client.streams = cast(Any, SimpleNamespace(read=read_response)), cast(Any, writer)
    await client.read_pages()
    return transport.sent.decode()


async def traffic() -> Record:
    sent: list[str] = []

    def request(
        make: Any, kind: str, timeout: float, payload: Any, caller: Any, upload: Any, request_id: bytes
    ) -> Any:
        sent.extend(payload(1.5, number).decode() for number in (1, 2))
        sent.append(f"{kind} {timeout} {request_id.decode()}")
        return SimpleNamespace(sent=0)

    def exchange_case(name: str) -> list[str]:
        """Return what is sent to servers, the terms of the request, and the response to the client.

        The first message is for a listed server, and the second for one that is no longer listed.
        """
        sent.clear()
        text = re.sub(r"<(\d+)>", lambda match: "y" * int(match[1]), CASES["traffic"][name])
        response = exchange(ClientConnection(listener), text.encode()).sent.decode()
        return [message.replace("y" * 1000, "<1000>") for message in (*sent, response)]

    endpoints = SimpleNamespace(servers={1: SimpleNamespace(id="shop-7")})
    host: Any = SimpleNamespace(
        counts=Counts(), request=request, gateway=SimpleNamespace(endpoints=endpoints)
    )
    host.on_body_complete = host.on_client_disconnected = lambda request: None
    fresh = True
    listener = ClientListener(Address("127.0.0.1", 0), host, 999, lambda: fresh)
    results: Record = {"list": await list_requests(), "no configuration": exchange_case("keyed get")}
    listener.use_configuration(parse_configuration((FOLDER / "document.json").read_bytes()))
    results |= {name: exchange_case(name) for name in CASES["traffic"]}
    fresh = False
    results |= {f"{name}, not fresh": exchange_case(name) for name in ("no route", "no key", "keyed get")}
    listener.close()
    return results | response_heads()


def response_heads() -> Record:
    """Return responses to clients on connections that stay open or are closed."""
    served = b"content-type: text/x\r\nx-hazelspring-attempt-id: try-1\r\nx-hazelspring-server-seal: s\r\n"
    responses: dict[str, Answer] = {
        str(status): FinalAnswer(status) for status in (401, 404, 500, 502, 504, 299)
    }
    responses |= {
        "200": FinalAnswer(200, b"body", headers=served),
        "429": FinalAnswer(429, retry_after=1.23456),
    }
    responses |= {"503": FinalAnswer(503, retry_after=0.25), "503 soon": FinalAnswer(503, retry_after=1e-9)}
    responses["400 plain"] = Answer(400, b"malformed request\n")
    results: Record = {}
    for close in (False, True):
        results |= {
            f"{name}, closes {close}": encode(response, close).decode()
            for name, response in responses.items()
        }
        for length, chunked in ((70000, False), (None, True), (None, False)):
            stream = UpstreamStream(length, b"", cast(Any, None), served, 200)
            results[f"flow {length} {chunked}, closes {close}"] = stream_head(stream, chunked, close).decode()
    return results


async def gateway_process() -> Record:
    text = (FOLDER / "node_config.json").read_text()
    with tempfile.TemporaryDirectory() as folder:
        env = {"TMPDIR": folder, "NODE_MANAGEMENT": "127.0.0.1:9"}
        config = parse_gateway_config(text, env)
        generations, path = Generations(config, env, []), Path(folder) / "generations"
        generations.path, generations.basis = path, "0123456789abcdef"
        earlier = Generation(6, "fedcba9876543210", 1700000000.25, "start", zlib.compress(b"{}", 1))
        results: Record = {"digest": config.digest, "basis": config.basis}
        for source, confirm in (("put", PendingConfirmation(7, 6, 1700000090.5, 30.0)), ("SIGHUP", None)):
            running = Generation(7, config.digest, 1700000060.5, source)
            generations.write_state_file(running, config, [earlier], confirm)
            written = path.read_text()
            # another version of zlib may compress these texts differently
            for number, body in enumerate((b"{}", config.text)):
                packed = base64.b64encode(zlib.compress(body, 1)).decode()
                written = written.replace(packed, f"<text {number}>")
            results[f"{source}, written"] = written
        generations.stop()
        stored = read_state_file(FOLDER / "generations")
        assert stored is not None and stored.pending_confirmation is not None
        both = stored.running, *stored.earlier
        results["read"] = [
            [*astuple(generation)[:4], zlib.decompress(generation.packed).decode()] for generation in both
        ]
        results["read"] += [stored.basis, astuple(stored.pending_confirmation), stored.running.facts()]
        results["handover"] = shared_folder(Path(folder))
    return results


def shared_folder(folder: Path) -> list[Any]:
    """Return the steps of a process that runs beside another one, and the file names after each step."""
    steps: list[Any] = []
    shared = folder / "ivymux"
    shared.mkdir()
    for name in ("back-0000000b", "out-0000000a", "node-0123456789abcdef", "node-00000000000000ff", "other"):
        (shared / name).touch()
        os.utime(shared / name, (1700000000, 1700000000))

    before = set(os.listdir(shared))

    def post(event: Detached | Attached | Processes) -> None:
        kind = {Detached: "out", Attached: "back", Processes: "processes"}[type(event)]
        steps.append([kind, *("now" if value > 1700000000 else value for value in astuple(event))])

    def note_files() -> None:
        names = [name if name in before or name[:4] != "node" else "node-N" for name in os.listdir(shared)]
        steps.append([sorted(names), sum(path.stat().st_size for path in shared.iterdir())])

    descriptor = os.open(shared / "node-0123456789abcdef", os.O_RDWR)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    process = SharedFolder(folder, post, lambda count: None)
    for step in (process.register, lambda: process.detach(12), lambda: process.attach(10), process.close):
        step()
        note_files()
    os.close(descriptor)
    return steps


def route_fields(route: Route) -> Record:
    return {
        "name": route.name, "hostName": route.host, "pathPrefix": route.path_prefix, "routeKind": route.kind,
        "timeoutMs": route.timeout, "targetAnswerMs": route.latency_target, "priority": route.priority,
        "weightedSplit": [list(share) for share in route.weighted_services],
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
    for name, (old, new) in CASES["invalid"].items():
        assert old in text, name
        with pytest.raises(InvalidConfigurationError) as caught:
            validate_configuration(text.replace(old, new, 1).encode())
        errors[name] = f"{caught.value.code}: {caught.value}"
    return {
        "versionNumber": tables.version,
        "routeTable": {
            host: [route_fields(route) for route in routes] for host, routes in tables.routes_by_host.items()
        },
        "serviceTable": {
            name: {
                "name": service.name, "healthPath": service.health_path,
                "connectionLimit": service.connection_limit,
                "coldStartS": service.slow_start_time, "coldPerS": service.slow_start_rate,
            }
            for name, service in tables.services.items()
        },
        "tenantTable": {
            name: {
                "name": tenant.name, "requestsPerS": tenant.rate, "burstSize": tenant.burst,
                "priority": tenant.priority, "homeRegions": sorted(tenant.home_regions),
            }
            for name, tenant in tables.tenants.items()
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
    "front_door": lambda: asyncio.run(gateway_process()), "configuration": configuration,
}  # fmt: skip


@pytest.mark.parametrize("group", GROUPS)
def test_external_interface_is_as_recorded(group: str) -> None:
    recorded = json.loads((FOLDER / f"{group}.json").read_text())
    actual = json.loads(json.dumps(GROUPS[group]()))
    assert actual.keys() == recorded.keys()
    for name, value in recorded.items():
        assert actual[name] == value, name


if __name__ == "__main__":
    for group, record in GROUPS.items():
        (FOLDER / f"{group}.json").write_text(json.dumps(record(), indent=1) + "\n")
