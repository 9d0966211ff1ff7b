"""Calls of operators, servers and clients that ask where to go: one dispatch on method and path segments."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol, cast
from urllib.parse import parse_qs

import httptools

from hazelspring.configuration.blocks import unpack
from hazelspring.configuration.validation import Invalid
from hazelspring.daemon.client_listener import Final, encode
from hazelspring.daemon.operator_calls import OperatorCalls, Settled
from hazelspring.daemon.structured_log import log
from ivymux.caller import BadRequest, Client, Exchange, Listener
from ivymux.config import Address
from ivymux.host import Answer, Open
from ivymux.metrics import Counts

MOST_CALL = 8 << 20  # bytes of a configuration
MOST_CALLERS = 128
RETRY = 0.5  # seconds after which an order that could not be settled may come again
JSON = b"Content-Type: application/json\r\n"
TEXT = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"

CALLS = frozenset(("configuration", "core", "evacuation", "lookup", "metrics", "readiness", "status"))

Reply = Callable[[Answer], None]


class Door(Protocol):
    """What the calls are about."""

    counts: Counts
    calls: OperatorCalls

    def ready(self) -> bool: ...

    def lookup(self, region: str) -> list[str]: ...

    @property
    def lifetime(self) -> float: ...

    def zone_known(self, zone: str) -> bool: ...

    def status(self) -> dict[str, Any]: ...

    def metrics(self) -> bytes: ...


def answer(status: int, body: Any, retry_after: float = 0.0) -> Final:
    return Final(status, json.dumps(body).encode() + b"\n", retry_after=retry_after, headers=JSON)


def problem(status: int, code: str, text: str, retry_after: float = 0.0) -> Final:
    return answer(status, {"code": code, "problem": text}, retry_after)


class Caller(Client):
    """One connection of a caller; bodies are held whole, as a configuration is checked as one."""

    __slots__ = ()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.server.most_body:
            raise BadRequest("body too large", 413)
        self.body.append(body)

    def take(self, exchange: Exchange) -> None:
        desk = cast(Desk, self.server)
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        path, query = (url.path or b"/").decode("latin-1"), (url.query or b"").decode("latin-1")
        segments = [part for part in path.split("/") if part]
        desk.dispatch(self.parser.get_method().decode(), segments, query, b"".join(self.body), exchange.reply)


class Desk(Listener):
    """One of the addresses that take calls; `roles` says which calls."""

    encode = staticmethod(encode)
    most_body = MOST_CALL
    head_timeout, idle_timeout = 3.0, 15.0

    def __init__(self, listen: Address, door: Door, roles: frozenset[str]) -> None:
        super().__init__(listen, None, self, MOST_CALLERS)
        self.make, self.door, self.roles = Caller, door, roles

    @property
    def counts(self) -> Counts:
        return self.door.counts

    def left(self, request: Open) -> None:
        pass  # an order goes on without its sender, who sends it again

    def whole(self, request: Open) -> None:
        pass

    def dispatch(self, method: str, segments: list[str], query: str, body: bytes, reply: Reply) -> None:
        door = self.door
        match (method, segments):
            case ("GET", ["-", "readiness"]):
                reply(
                    answer(200, {"ready": True})
                    if door.ready()
                    else problem(503, "not_ready", "not ready", RETRY)
                )
            case ("GET", ["-", "lookup"]) if "directory" in self.roles:
                addresses = door.lookup(parse_qs(query).get("answerRegion", [""])[0])
                if addresses:
                    reply(answer(200, {"addresses": addresses, "lifetimeS": door.lifetime}))
                else:
                    reply(problem(503, "no_door", "no door is ready", RETRY))
            case ("GET", ["-", "status"]):
                reply(answer(200, door.status()))
            case ("GET", ["-", "metrics"]):
                reply(Final(200, door.metrics(), headers=TEXT))
            case ("PUT", ["-", "configuration"]) if "control" in self.roles:
                self.put(body, reply)
            case ("GET", ["-", "configuration"]) if "control" in self.roles:
                door.calls.read(self.ending(reply, read=True))
            case ("POST" | "DELETE", ["-", "evacuation", zone]) if "control" in self.roles:
                if not door.zone_known(zone):
                    reply(problem(404, "no_such_zone", f"zone {zone} is none of the settings"))
                    return
                door.calls.evacuate(zone, method == "POST", self.ending(reply))
            case ("DELETE", ["-", "core", ip]) if "control" in self.roles:
                door.calls.retire(ip, self.ending(reply))
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

    def put(self, body: bytes, reply: Reply) -> None:
        try:
            self.door.calls.put(body, self.ending(reply))
        except Invalid as error:
            log.say("api", "refused a configuration", problem=error)
            reply(problem(400, error.code, str(error)))

    def ending(self, reply: Reply, read: bool = False) -> Callable[[Settled], None]:
        def done(settled: Settled) -> None:
            if settled.conflict:
                reply(problem(409, "number_taken", settled.why))
            elif not settled.good:
                reply(problem(503, "unsettled", settled.why, RETRY))
            elif read:
                reply(Final(200, unpack(settled.body), headers=JSON))
            else:
                reply(answer(200, {"acknowledged": True}))

        return done
