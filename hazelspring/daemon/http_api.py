"""The HTTP API for operators, servers and clients: a handler for each method and path."""

from __future__ import annotations

import json
import select
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Protocol, cast
from urllib.parse import parse_qs

import httptools

from hazelspring.configuration.blocks import unpack
from hazelspring.configuration.validation import InvalidConfigurationError
from hazelspring.daemon.client_listener import FinalAnswer, encode
from hazelspring.daemon.operator_calls import Caller, CommandResult, OperatorCalls
from hazelspring.daemon.structured_log import log
from hazelspring.gateway.client_connection import BadRequest, Client, Exchange, Listener
from hazelspring.gateway.config import Address
from hazelspring.gateway.host import Answer, OpenRequest
from hazelspring.gateway.metrics import Counts

MAX_BODY_BYTES = 8 << 20  # of a configuration
MAX_CONNECTIONS = 128
HEAD_TIMEOUT = 3.0  # seconds within which a request's head must arrive completely
IDLE_TIMEOUT = 15.0  # seconds until an idle connection is closed
RETRY_AFTER = 0.5  # seconds after which a call that could not be answered may be repeated
API_PREFIX = "-"  # first path segment of every call
JSON_HEADERS = b"Content-Type: application/json\r\n"
METRICS_HEADERS = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"

Reply = Callable[[Answer], None]


class ApiRole(StrEnum):
    """The purpose of a listening address; some calls are answered only on addresses with a certain role."""

    READY = "ready"
    CONTROL = "control"
    DIRECTORY = "directory"


class NodeInterface(Protocol):
    """The attributes and methods of a node's process that the API handlers use."""

    counts: Counts
    operator_calls: OperatorCalls

    def is_ready(self) -> bool:
        """Return whether clients may be sent to this node."""

    def lookup(self, region: str) -> list[str]:
        """Return the addresses, `HOST:PORT`, of nodes for a client of a region."""

    @property
    def lookup_lifetime(self) -> float:
        """Seconds for which a client may use the result of a lookup."""

    def is_zone_known(self, zone: str) -> bool:
        """Return whether the settings name a zone."""

    def status(self) -> dict[str, Any]:
        """Return the body of the answer to `GET /-/status`."""

    def metrics(self) -> bytes:
        """Return the body of the answer to `GET /-/metrics`."""


@dataclass(slots=True, frozen=True)
class ApiCall:
    """One call: `arguments` are the path segments after the name of the resource."""

    caller: Caller
    method: str
    arguments: list[str]
    query: str
    body: bytes
    reply: Reply


Handler = Callable[["HttpApi", ApiCall], None]


@dataclass(slots=True, frozen=True)
class Endpoint:
    """The handler of one method of a resource, and the role that an address needs to answer it (None: any).

    `argument_count` is the number of path segments after the name of the resource.
    """

    handler: Handler
    role: ApiRole | None = None
    argument_count: int = 0


def answer(status: int, body: Any, retry_after: float = 0.0) -> FinalAnswer:
    """Return an answer with a JSON body; `retry_after` in seconds, 0 for none."""
    text = json.dumps(body).encode() + b"\n"
    return FinalAnswer(status, text, retry_after=retry_after, headers=JSON_HEADERS)


def problem(status: int, code: str, text: str, retry_after: float = 0.0) -> FinalAnswer:
    """Return the answer to a call that failed; `code` names the cause for programs, `text` for people."""
    return answer(status, {"code": code, "problem": text}, retry_after)


class ApiConnection(Client):
    """One connection of a caller; bodies are buffered, because a configuration is validated as a whole."""

    __slots__ = ()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body.  Raises BadRequest if it becomes too large."""
        self.size += len(body)
        if self.size > self.server.max_body:
            raise BadRequest("body too large", 413)
        self.body.append(body)

    def take(self, exchange: Exchange) -> None:
        """Dispatch a request that has arrived completely.  Raises BadRequest if its target is malformed."""
        api = cast(HttpApi, self.server)
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        path, query = (url.path or b"/").decode("latin-1"), (url.query or b"").decode("latin-1")
        segments = [part for part in path.split("/") if part]
        method, body = self.parser.get_method().decode(), b"".join(self.body)
        api.dispatch(segments, ApiCall(self, method, [], query, body, exchange.reply))

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraw the open commands of the caller."""
        super().connection_lost(error)
        cast(HttpApi, self.server).node.operator_calls.withdraw_abandoned()

    def has_left(self) -> bool:
        """Return whether the connection has ended, or its other end was closed.

        The end of a connection is read after all that arrived before it, so the socket is asked.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))


class HttpApi(Listener):
    """One listening address of the API; `roles` decide which calls it answers."""

    encode = staticmethod(encode)
    max_body = MAX_BODY_BYTES
    head_timeout, idle_timeout = HEAD_TIMEOUT, IDLE_TIMEOUT

    def __init__(self, listen: Address, node: NodeInterface, roles: frozenset[ApiRole]) -> None:
        super().__init__(listen, None, self, MAX_CONNECTIONS)
        self.make = ApiConnection
        self.node = node
        self.roles = roles

    @property
    def counts(self) -> Counts:
        """The process's counters."""
        return self.node.counts

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Do nothing: `ApiConnection.connection_lost` withdraws the commands of a caller that has left."""

    def on_body_complete(self, request: OpenRequest) -> None:
        """Ignore the end of a body: `ApiConnection.take` dispatches a call with its complete body."""

    def dispatch(self, segments: list[str], call: ApiCall) -> None:
        """Answer a call: 404 for an unknown path, 405 for a call that this address does not answer.

        `segments` are those of its path, from which its arguments are taken.
        """
        match segments:
            case [prefix, resource, *arguments] if prefix == API_PREFIX and resource in ENDPOINTS:
                pass
            case _:
                call.reply(problem(404, "no_such_path", "no such path"))
                return
        endpoint = ENDPOINTS[resource].get(call.method)
        if endpoint is None or not self.answers(endpoint, arguments):
            call.reply(problem(405, "no_such_call", f"{call.method} is no call here"))
            return
        endpoint.handler(self, replace(call, arguments=arguments))

    def answers(self, endpoint: Endpoint, arguments: list[str]) -> bool:
        """Return whether this address answers an endpoint's call with these path arguments."""
        permitted = endpoint.role is None or endpoint.role in self.roles
        return permitted and len(arguments) == endpoint.argument_count

    def get_readiness(self, call: ApiCall) -> None:
        """Answer 200 if clients may be sent to this node, else 503."""
        if self.node.is_ready():
            call.reply(answer(200, {"ready": True}))
        else:
            call.reply(problem(503, "not_ready", "not ready", RETRY_AFTER))

    def get_lookup(self, call: ApiCall) -> None:
        """Answer with nodes for a client of the region in the query, or with 503 if no node is ready."""
        region = parse_qs(call.query).get("answerRegion", [""])[0]
        addresses = self.node.lookup(region)
        if addresses:
            call.reply(answer(200, {"addresses": addresses, "lifetimeS": self.node.lookup_lifetime}))
        else:
            call.reply(problem(503, "no_door", "no door is ready", RETRY_AFTER))

    def get_status(self, call: ApiCall) -> None:
        """Answer with the state of this node as JSON."""
        call.reply(answer(200, self.node.status()))

    def get_metrics(self, call: ApiCall) -> None:
        """Answer with this node's metrics in the Prometheus text format."""
        call.reply(FinalAnswer(200, self.node.metrics(), headers=METRICS_HEADERS))

    def put_configuration(self, call: ApiCall) -> None:
        """Propose a new configuration; answer 400 if it is invalid."""
        try:
            self.node.operator_calls.put_configuration(call.caller, call.body, result_handler(call.reply))
        except InvalidConfigurationError as error:
            log.write("api", "refused a configuration", problem=error)
            call.reply(problem(400, error.code, str(error)))

    def get_configuration(self, call: ApiCall) -> None:
        """Answer with the newest configuration, once the control replicas have confirmed which one it is."""
        self.node.operator_calls.read_configuration(call.caller, configuration_handler(call.reply))

    def set_evacuation(self, call: ApiCall) -> None:
        """Begin (POST) or end (DELETE) the evacuation of a zone; answer 404 if the zone is unknown."""
        zone = call.arguments[0]
        if not self.node.is_zone_known(zone):
            call.reply(problem(404, "no_such_zone", f"zone {zone} is none of the settings"))
            return
        evacuate = call.method == "POST"
        self.node.operator_calls.set_evacuation(call.caller, zone, evacuate, result_handler(call.reply))

    def retire_member(self, call: ApiCall) -> None:
        """Remove a member from the core permanently."""
        self.node.operator_calls.retire_member(call.caller, call.arguments[0], result_handler(call.reply))


def failure(result: CommandResult) -> FinalAnswer | None:
    """Return the answer to a command that failed; None if it succeeded."""
    if result.conflict:
        return problem(409, "number_taken", result.reason)
    if not result.succeeded:
        return problem(503, "unsettled", result.reason, RETRY_AFTER)
    return None


def result_handler(reply: Reply) -> Callable[[CommandResult], None]:
    """Return a callback that answers a command with its acknowledgement or its failure."""

    def on_result(result: CommandResult) -> None:
        reply(failure(result) or answer(200, {"acknowledged": True}))

    return on_result


def configuration_handler(reply: Reply) -> Callable[[CommandResult], None]:
    """Return a callback that answers a read with the configuration or the read's failure."""

    def on_result(result: CommandResult) -> None:
        reply(failure(result) or FinalAnswer(200, unpack(result.body), headers=JSON_HEADERS))

    return on_result


ENDPOINTS: dict[str, dict[str, Endpoint]] = {
    "readiness": {"GET": Endpoint(HttpApi.get_readiness)},
    "lookup": {"GET": Endpoint(HttpApi.get_lookup, ApiRole.DIRECTORY)},
    "status": {"GET": Endpoint(HttpApi.get_status)},
    "metrics": {"GET": Endpoint(HttpApi.get_metrics)},
    "configuration": {
        "PUT": Endpoint(HttpApi.put_configuration, ApiRole.CONTROL),
        "GET": Endpoint(HttpApi.get_configuration, ApiRole.CONTROL),
    },
    "evacuation": {
        "POST": Endpoint(HttpApi.set_evacuation, ApiRole.CONTROL, 1),
        "DELETE": Endpoint(HttpApi.set_evacuation, ApiRole.CONTROL, 1),
    },
    "core": {"DELETE": Endpoint(HttpApi.retire_member, ApiRole.CONTROL, 1)},
}  # by resource and HTTP method
