"""Clients of the door: routes and keys on the way in, a server's own answer on the way out."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from hazelspring.configuration.model import Configuration, Route, Tenant
from hazelspring.daemon.upstream_servers import (
    ATTEMPT_ID_HEADER,
    NOT_EXECUTED_STATUSES,
    UpstreamAttempt,
    UpstreamReply,
    UpstreamServers,
    UpstreamStream,
    client_status,
    status_line,
)
from hazelspring.quota.credits import CounterCall
from hazelspring.routing.events import AbandonAttempt, LeaseCredits, RejectOverQuota, RequestArrived
from hazelspring.routing.request_router import RequestRouter
from ivymux.caller import HOP_BY_HOP, LEAST_ADVICE, MOST_HELD, BadRequest, Client, Exchange, Listener
from ivymux.config import Address
from ivymux.host import Answer, Host, Open
from ivymux.link import Attempt, Flow, Result, Sink
from ivymux.metrics import Counts
from orchidhill import interface as i

REMAINING_HEADER = b"x-hazelspring-remaining-milliseconds"
TENANT_HEADER, EXPECTED_INSTANCE_HEADER = b"x-hazelspring-tenant-name", b"x-hazelspring-expected-instance"
SINGLE_HEADERS = frozenset(
    (ATTEMPT_ID_HEADER, REMAINING_HEADER, b"host", b"authorization", b"content-length")
)
REPLACED_HEADERS = HOP_BY_HOP | {
    REMAINING_HEADER,
    TENANT_HEADER,
    EXPECTED_INSTANCE_HEADER,
    b"authorization",
}  # never passed on as they came
NOT_READY_RETRY_AFTER = 0.25  # seconds after which to come again where no configuration is known yet
BEARER_PREFIX = b"bearer "


@dataclass(slots=True)
class FinalAnswer(Answer):
    """A final answer; `headers` are a server's."""

    headers: bytes = b""


def encode(answer: Answer, close: bool) -> bytes:
    head = status_line(answer.status) + b"Content-Length: %d\r\n" % len(answer.body)
    if isinstance(answer, FinalAnswer):
        head += answer.headers
    if answer.retry_after > 0:
        head += b"Retry-After: %.3f\r\n" % max(answer.retry_after, LEAST_ADVICE)
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + answer.body


def flow_head(flow: Flow, chunked: bool, close: bool) -> bytes:
    head = status_line(cast(UpstreamStream, flow).status) + cast(UpstreamStream, flow).headers
    if flow.length is not None:
        head += b"Content-Length: %d\r\n" % flow.length
    elif chunked:
        head += b"Transfer-Encoding: chunked\r\n"
    return head + (b"Connection: close\r\n\r\n" if close else b"\r\n")


class RouterHost(Host[RequestRouter]):
    """Drives the Forager: its events and actions are those of the front door in service, and a few more."""

    held_by = (RequestArrived, i.Finished)

    def __init__(
        self,
        router: RequestRouter,
        servers: UpstreamServers,
        counts: Counts,
        lease: Callable[[CounterCall], None],
    ) -> None:
        super().__init__(router, servers, counts)
        self.lease = lease

    def clock(self) -> float:
        self.now = time.monotonic()
        return self.now

    def carry_out(self, action: Any) -> None:
        match action:
            case LeaseCredits():
                self.lease(action.call)
            case RejectOverQuota():
                self.end(action.request, FinalAnswer(429, retry_after=action.retry_after))
            case AbandonAttempt():
                request = self.table.get(action.request)
                if request is not None and (attempt := request.out.get(action.attempt)) is not None:
                    attempt.give_up(i.Outcome.TIMEOUT)
            case i.Fail():
                self.fail(action.request)
            case _:
                super().carry_out(action)

    def fail(self, number: int) -> None:
        """The server's own answer where there is one; else one that promises nothing."""
        request = self.table.get(number)
        reply = request.last if request is not None else None
        if isinstance(reply, UpstreamReply):
            self.end(number, FinalAnswer(client_status(reply), reply.body, headers=reply.headers))
        else:
            self.end(number, FinalAnswer(502))

    def attempt(
        self,
        request: Open,
        payload: bytes,
        done: Callable[[Result], None],
        begun: Callable[[Flow], Sink | None],
    ) -> Attempt:
        def ended(result: Result) -> None:
            if isinstance(result, UpstreamReply) and result.outcome is i.Outcome.ERROR:
                request.last = result
            done(result)

        return UpstreamAttempt(request.mark, payload, ended, begun, request.upload)

    def answer_all(self) -> None:
        """The process ends: what no server has seen is promised not to have run, the rest gets its answer."""
        for request in list(self.table.values()):
            if not request.settled and not request.sent:
                self.end(request.number, FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))
                self.post(i.Left(request.number))
        super().answer_all()

    def served(self, result: Result) -> Answer:
        reply = cast(UpstreamReply, result)
        return FinalAnswer(reply.status, reply.body, headers=reply.headers)


class ClientConnection(Client):
    """One client connection."""

    __slots__ = ()

    def take(self, exchange: Exchange) -> None:
        front = cast(ClientListener, self.server)
        if exchange.client.surplus:
            exchange.keep_alive = False
            exchange.reply(FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))
            return
        try:
            path = httptools.parse_url(self.url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        headers = dict(self.headers)
        if len(headers) != len(self.headers):
            self.no_repeats(SINGLE_HEADERS)
        word = front.configuration
        if word is None:
            exchange.reply(FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))
            return
        host = headers.get(b"host", b"").decode("latin-1").lower()
        route = word.find_route(host, path.decode("latin-1")) or word.find_route(
            host.rpartition(":")[0], path.decode("latin-1")
        )
        tenant = self.tenant(word, route, headers.get(b"authorization", b"")) if route is not None else None
        unknown = route is None or (tenant is None and not route.open_access and bool(word.tenants))
        if unknown and not front.is_confirmed():  # the route or the key may be newer than what is known here
            exchange.reply(FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))
            return
        if route is None:
            raise BadRequest("no such route", 404)
        if unknown:
            raise BadRequest("no such key", 401)
        id_ = headers.get(ATTEMPT_ID_HEADER, b"")
        if not id_ or len(id_) > 256:
            raise BadRequest("no X-Hazelspring-Attempt-Id")
        timeout = route.timeout
        if (left := headers.get(REMAINING_HEADER)) is not None:
            if not left.isdigit() or len(left) > 9:
                raise BadRequest("malformed X-Hazelspring-Remaining-Milliseconds")
            timeout = min(timeout, int(left) / 1000)
        self.submit(exchange, front, route, tenant, id_, timeout)

    def reject(self, error: BadRequest) -> None:
        """A body that broke off: no promise once a part of it went to a server."""
        request = self.exchange.request if self.exchange is not None else None
        if error.status in NOT_EXECUTED_STATUSES and request is not None and request.sent:
            error = BadRequest(str(error), 502)
        super().reject(error)

    def tenant(self, word: Configuration, route: Route, authorization: bytes) -> Tenant | None:
        if route.open_access or authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            return None
        return word.tenants_by_key.get(authorization[len(BEARER_PREFIX) :].strip().decode("latin-1"))

    def submit(
        self,
        exchange: Exchange,
        front: ClientListener,
        route: Route,
        tenant: Tenant | None,
        id_: bytes,
        timeout: float,
    ) -> None:
        method, body, upload = self.parser.get_method(), b"".join(self.body), exchange.upload
        if front.held + len(body) > MOST_HELD:
            exchange.reply(
                FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER)
            )  # nothing has run: memory is bounded
            return
        exchange.held = len(body)
        front.held += len(body)
        one = set[bytes]()  # headers that concern this connection alone
        for name, value in self.headers:
            if name == b"connection":
                one.update(part.strip() for part in value.lower().split(b","))
        head = b"%s %s HTTP/1.1\r\n" % (method, self.url) + b"".join(
            b"%s: %s\r\n" % pair
            for pair in self.headers
            if pair[0] not in REPLACED_HEADERS and pair[0] not in one
        )
        if tenant is not None:
            head += b"X-Hazelspring-Tenant-Name: %b\r\n" % tenant.name.encode()
        if upload is not None:
            head += upload.framing()
        elif body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            head += b"Content-Length: %d\r\n" % len(body)
        servers = front.host.gateway.fleet.servers

        def payload(left: float, backend: int) -> bytes:
            server = servers.get(backend)
            life = server.id.encode() if server is not None else b"-"
            return b"%bX-Hazelspring-Expected-Instance: %b\r\nX-Hazelspring-Remaining-Milliseconds: %d\r\n\r\n%b" % (
                head, life, max(1, int(left * 1000)), body,
            )  # fmt: skip

        def make(request: int) -> Any:
            return RequestArrived(request, route, tenant, timeout)

        exchange.request = front.host.request(make, route.kind, timeout, payload, exchange, upload, id_)


class ClientListener(Listener):
    """The door's address for clients."""

    encode = staticmethod(encode)
    flow_head = staticmethod(flow_head)
    head_status = 431
    host: RouterHost

    def __init__(
        self, listen: Address, carrier: RouterHost, most_clients: int, fresh: Callable[[], bool]
    ) -> None:
        super().__init__(listen, None, carrier, most_clients)
        self.make = ClientConnection
        self.configuration: Configuration | None = None
        self.is_confirmed = fresh

    def use_configuration(self, word: Configuration) -> None:
        self.configuration, limits = word, word.limits
        self.most_head, self.most_body = limits.max_head_bytes, limits.max_body_bytes
        self.head_timeout, self.idle_timeout = limits.head_timeout, limits.idle_timeout
