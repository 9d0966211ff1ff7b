"""Calls of operators, servers and clients that ask where to go: one dispatch on method and path segments."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol, cast
from urllib.parse import parse_qs

import httptools

from hazelspring.configuration.blocks import unpack
from hazelspring.configuration.validation import InvalidConfigurationError
from hazelspring.daemon.client_listener import FinalAnswer, encode
from hazelspring.daemon.operator_calls import OperatorCalls, OrderResult
from hazelspring.daemon.structured_log import log
from ivymux.caller import BadRequest, Client, Exchange, Listener
from ivymux.config import Address
from ivymux.host import Answer, Open
from ivymux.metrics import Counts

MAX_BODY_BYTES = 8 << 20  # bytes of a configuration
MAX_CONNECTIONS = 128
RETRY_AFTER = 0.5  # seconds after which an order that could not be settled may come again
JSON_HEADERS = b"Content-Type: application/json\r\n"
METRICS_HEADERS = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"

CALLS = frozenset(("configuration", "core", "evacuation", "lookup", "metrics", "readiness", "status"))

Reply = Callable[[Answer], None]


class NodeInterface(Protocol):
    """What the calls are about."""

    counts: Counts
    operator_calls: OperatorCalls

    def is_ready(self) -> bool: ...

    def lookup(self, region: str) -> list[str]: ...

    @property
    def lookup_lifetime(self) -> float: ...

    def is_zone_known(self, zone: str) -> bool: ...

    def status(self) -> dict[str, Any]: ...

    def metrics(self) -> bytes: ...


def answer(status: int, body: Any, retry_after: float = 0.0) -> FinalAnswer:
    return FinalAnswer(
        status, json.dumps(body).encode() + b"\n", retry_after=retry_after, headers=JSON_HEADERS
    )


def problem(status: int, code: str, text: str, retry_after: float = 0.0) -> FinalAnswer:
    return answer(status, {"code": code, "problem": text}, retry_after)


class ApiConnection(Client):
    """One connection of a caller; bodies are held whole, as a configuration is checked as one."""

    __slots__ = ()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.server.most_body:
            raise BadRequest("body too large", 413)
        self.body.append(body)

    def take(self, exchange: Exchange) -> None:
        api = cast(HttpApi, self.server)
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        path, query = (url.path or b"/").decode("latin-1"), (url.query or b"").decode("latin-1")
        segments = [part for part in path.split("/") if part]
        api.dispatch(self.parser.get_method().decode(), segments, query, b"".join(self.body), exchange.reply)


class HttpApi(Listener):
    """One of the addresses that take calls; `roles` says which calls."""

    encode = staticmethod(encode)
    most_body = MAX_BODY_BYTES
    head_timeout, idle_timeout = 3.0, 15.0

    def __init__(self, listen: Address, node: NodeInterface, roles: frozenset[str]) -> None:
        super().__init__(listen, None, self, MAX_CONNECTIONS)
        self.make, self.node, self.roles = ApiConnection, node, roles

    @property
    def counts(self) -> Counts:
        return self.node.counts

    def left(self, request: Open) -> None:
        pass  # an order goes on without its sender, who sends it again

    def whole(self, request: Open) -> None:
        pass

    def dispatch(self, method: str, segments: list[str], query: str, body: bytes, reply: Reply) -> None:
        node = self.node
        match (method, segments):
            case ("GET", ["-", "readiness"]):
                reply(
                    answer(200, {"ready": True})
                    if node.is_ready()
                    else problem(503, "not_ready", "not ready", RETRY_AFTER)
                )
            case ("GET", ["-", "lookup"]) if "directory" in self.roles:
                addresses = node.lookup(parse_qs(query).get("answerRegion", [""])[0])
                if addresses:
                    reply(answer(200, {"addresses": addresses, "lifetimeS": node.lookup_lifetime}))
                else:
                    reply(problem(503, "no_door", "no door is ready", RETRY_AFTER))
            case ("GET", ["-", "status"]):
                reply(answer(200, node.status()))
            case ("GET", ["-", "metrics"]):
                reply(FinalAnswer(200, node.metrics(), headers=METRICS_HEADERS))
            case ("PUT", ["-", "configuration"]) if "control" in self.roles:
                self.put_configuration(body, reply)
            case ("GET", ["-", "configuration"]) if "control" in self.roles:
                node.operator_calls.read_configuration(self.result_handler(reply, read=True))
            case ("POST" | "DELETE", ["-", "evacuation", zone]) if "control" in self.roles:
                if not node.is_zone_known(zone):
                    reply(problem(404, "no_such_zone", f"zone {zone} is none of the settings"))
                    return
                node.operator_calls.set_evacuation(zone, method == "POST", self.result_handler(reply))
            case ("DELETE", ["-", "core", ip]) if "control" in self.roles:
                node.operator_calls.retire_member(ip, self.result_handler(reply))
            case (
                _,
                [
                    "-",
                    "configuration" | "evacuation" | "core" | "lookup" | "metrics" | "readiness" | "status",
                    *_,
                ],
            ):
                reply(problem(405, "no_such_call", f"{method} is no call here"))
            case _:
                reply(problem(404, "no_such_path", "no such path"))

    def put_configuration(self, body: bytes, reply: Reply) -> None:
        try:
            self.node.operator_calls.put_configuration(body, self.result_handler(reply))
        except InvalidConfigurationError as error:
            log.write("api", "refused a configuration", problem=error)
            reply(problem(400, error.code, str(error)))

    def result_handler(self, reply: Reply, read: bool = False) -> Callable[[OrderResult], None]:
        def done(settled: OrderResult) -> None:
            if settled.conflict:
                reply(problem(409, "number_taken", settled.reason))
            elif not settled.succeeded:
                reply(problem(503, "unsettled", settled.reason, RETRY_AFTER))
            elif read:
                reply(FinalAnswer(200, unpack(settled.body), headers=JSON_HEADERS))
            else:
                reply(answer(200, {"acknowledged": True}))

        return done
