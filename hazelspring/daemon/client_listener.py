"""Serves HTTP clients: finds the route, tenant and time limit of each request, and sends the answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from hazelspring.admission.interface import Fail, Finished, Left, Outcome
from hazelspring.configuration.model import Configuration, Route, Tenant
from hazelspring.daemon.request_head import (
    AUTHORIZATION_HEADER,
    HOST_HEADER,
    REMAINING_TIME_HEADER,
    SINGLE_HEADERS,
    attempt_payload,
    body_framing,
    forwarded_head,
)
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
from hazelspring.gateway.client_connection import (
    MAX_BUFFERED_BYTES,
    MIN_RETRY_AFTER,
    BadRequest,
    Client,
    Exchange,
    Listener,
)
from hazelspring.gateway.config import Address
from hazelspring.gateway.host import Answer, Host, OpenRequest
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.server_connection import Attempt, Result, Sink, StreamedAnswer
from hazelspring.quota.credits import CounterCall
from hazelspring.routing.events import AbandonAttempt, LeaseCredits, RejectOverQuota, RequestArrived
from hazelspring.routing.request_router import RequestRouter

NOT_READY_RETRY_AFTER = 0.25  # seconds; sent with a 503, such as while no configuration is known
BEARER_PREFIX = b"bearer "
MAX_ATTEMPT_ID_BYTES = 256
MAX_REMAINING_DIGITS = 9  # digits of the remaining time, which is in milliseconds
UNKNOWN_INSTANCE = b"-"  # sent as the id of a server that is no longer listed


@dataclass(slots=True)
class FinalAnswer(Answer):
    """A complete answer; `headers` are the forwarded headers of the server's answer, each ending in CRLF."""

    headers: bytes = b""


def encode(answer: Answer, close: bool) -> bytes:
    """Return the bytes of a complete answer; `close`: the connection is closed after it."""
    head = status_line(answer.status) + b"Content-Length: %d\r\n" % len(answer.body)
    if isinstance(answer, FinalAnswer):
        head += answer.headers
    if answer.retry_after > 0:
        head += b"Retry-After: %.3f\r\n" % max(answer.retry_after, MIN_RETRY_AFTER)
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + answer.body


def stream_head(stream: StreamedAnswer, chunked: bool, close: bool) -> bytes:
    """Return the head of an answer whose body is streamed; `close`: the connection is closed after it."""
    upstream = cast(UpstreamStream, stream)
    head = status_line(upstream.status) + upstream.headers
    if stream.length is not None:
        head += b"Content-Length: %d\r\n" % stream.length
    elif chunked:
        head += b"Transfer-Encoding: chunked\r\n"
    return head + (b"Connection: close\r\n\r\n" if close else b"\r\n")


class RouterHost(Host[RequestRouter]):
    """Executes the actions of the request router, and passes it the events of clients and servers."""

    answered_on_error = (RequestArrived, Finished)

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
        """Return the monotonic time in seconds, and store it as the time of the event being handled."""
        self.now = time.monotonic()
        return self.now

    def execute(self, action: Any) -> None:
        """Execute one action of the router."""
        match action:
            case LeaseCredits():
                self.lease(action.call)
            case RejectOverQuota():
                self.end(action.request, FinalAnswer(429, retry_after=action.retry_after))
            case AbandonAttempt():
                request = self.open_requests.get(action.request)
                if (
                    request is not None
                    and (attempt := request.running_attempts.get(action.attempt)) is not None
                ):
                    attempt.give_up(Outcome.TIMEOUT)
            case Fail():
                self.fail(action.request)
            case _:
                super().execute(action)

    def fail(self, number: int) -> None:
        """Answer a failed request with its server's answer, or else with a 502.

        A 502 leaves open whether the request ran.
        """
        request = self.open_requests.get(number)
        reply = request.last if request is not None else None
        if isinstance(reply, UpstreamReply):
            self.end(number, FinalAnswer(client_status(reply), reply.body, headers=reply.headers))
        else:
            self.end(number, FinalAnswer(502))

    def attempt(
        self,
        request: OpenRequest,
        payload: bytes,
        done: Callable[[Result], None],
        begun: Callable[[StreamedAnswer], Sink | None],
    ) -> Attempt:
        """Return a new attempt of a request; an error answer from the server is stored for the client."""

        def on_result(result: Result) -> None:
            if isinstance(result, UpstreamReply) and result.outcome is Outcome.ERROR:
                request.last = result
            done(result)

        return UpstreamAttempt(request.attempt_id, payload, on_result, begun, request.upload)

    def answer_all(self) -> None:
        """Answer every open request when the process ends.

        A request that was not sent to any server gets a 503, which states that it has not run.
        """
        for request in list(self.open_requests.values()):
            if not request.settled and not request.sent:
                self.end(request.number, FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))
                self.post(Left(request.number))
        super().answer_all()

    def served(self, result: Result) -> Answer:
        """Return the answer of a request that a server has carried out."""
        reply = cast(UpstreamReply, result)
        return FinalAnswer(reply.status, reply.body, headers=reply.headers)


@dataclass(slots=True, frozen=True)
class RequestTerms:
    """The properties of a request that determine how it is served; `timeout` is in seconds."""

    route: Route
    tenant: Tenant | None
    attempt_id: bytes
    timeout: float


class ClientConnection(Client):
    """One client connection."""

    __slots__ = ()

    def take(self, exchange: Exchange) -> None:
        """Submit a request to the router, or refuse it; raises BadRequest where the client is at fault."""
        listener = cast(ClientListener, self.server)
        if exchange.client.surplus:
            exchange.keep_alive = False
            refuse(exchange)
            return
        path = self.path()
        headers = dict(self.headers)
        if len(headers) != len(self.headers):
            self.no_repeats(SINGLE_HEADERS)
        configuration = listener.configuration
        if configuration is None:
            refuse(exchange)
            return
        route = find_route(configuration, headers.get(HOST_HEADER, b""), path)
        tenant = find_tenant(configuration, route, headers.get(AUTHORIZATION_HEADER, b""))
        unknown = is_unknown(configuration, route, tenant)
        if (
            unknown and not listener.is_confirmed()
        ):  # the route or the key may be newer than this node's configuration
            refuse(exchange)
            return
        if route is None:
            raise BadRequest("no such route", 404)
        if unknown:
            raise BadRequest("no such key", 401)
        terms = RequestTerms(route, tenant, attempt_id(headers), time_limit(headers, route.timeout))
        self.submit(exchange, listener, terms)

    def path(self) -> str:
        """Return the path of the request's target; raises BadRequest where the target is malformed."""
        try:
            path = httptools.parse_url(self.url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        return path.decode("latin-1")

    def reject(self, error: BadRequest) -> None:
        """Answer a request that is rejected, such as one whose body is incomplete.

        After a part of it was sent to a server, a status that states that it has not run becomes 502.
        """
        request = self.exchange.request if self.exchange is not None else None
        if error.status in NOT_EXECUTED_STATUSES and request is not None and request.sent:
            error = BadRequest(str(error), 502)
        super().reject(error)

    def submit(self, exchange: Exchange, listener: ClientListener, terms: RequestTerms) -> None:
        """Pass a request to the router; refuse it if the buffered bodies would exceed `MAX_BUFFERED_BYTES`."""
        method, body, upload = self.parser.get_method(), b"".join(self.body), exchange.upload
        if listener.buffered_bytes + len(body) > MAX_BUFFERED_BYTES:
            refuse(exchange)
            return
        exchange.buffered_bytes = len(body)
        listener.buffered_bytes += len(body)
        route, tenant, timeout = terms.route, terms.tenant, terms.timeout
        head = forwarded_head(method, self.url, self.headers, tenant.name if tenant is not None else None)
        head += upload.framing() if upload is not None else body_framing(method, body)
        servers = listener.host.gateway.endpoints.servers

        def payload(remaining: float, number: int) -> bytes:
            server = servers.get(number)
            instance = server.id.encode() if server is not None else UNKNOWN_INSTANCE
            return attempt_payload(head, body, instance, remaining)

        def make(request: int) -> Any:
            return RequestArrived(request, route, tenant, timeout)

        exchange.request = listener.host.request(
            make, route.kind, timeout, payload, exchange, upload, terms.attempt_id
        )


def refuse(exchange: Exchange) -> None:
    """Answer with a 503, which states that the request has not run and may be sent again soon."""
    exchange.reply(FinalAnswer(503, retry_after=NOT_READY_RETRY_AFTER))


def find_route(configuration: Configuration, host: bytes, path: str) -> Route | None:
    """Return the route for a Host header and a path; a route that names the port is preferred."""
    name = host.decode("latin-1").lower()
    return configuration.find_route(name, path) or configuration.find_route(name.rpartition(":")[0], path)


def find_tenant(configuration: Configuration, route: Route | None, authorization: bytes) -> Tenant | None:
    """Return the tenant whose key is in an Authorization header.

    The result is None if the route has open access, or if the key is missing or unknown.
    """
    if route is None or route.open_access:
        return None
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return configuration.tenants_by_key.get(authorization[len(BEARER_PREFIX) :].strip().decode("latin-1"))


def is_unknown(configuration: Configuration, route: Route | None, tenant: Tenant | None) -> bool:
    """Return whether the configuration lacks a request's route, or the tenant that the route requires."""
    if route is None:
        return True
    return tenant is None and not route.open_access and bool(configuration.tenants)


def attempt_id(headers: dict[bytes, bytes]) -> bytes:
    """Return the id that the answer must contain; raises BadRequest if it is missing or too long."""
    found = headers.get(ATTEMPT_ID_HEADER, b"")
    if not found or len(found) > MAX_ATTEMPT_ID_BYTES:
        raise BadRequest("no X-Hazelspring-Attempt-Id")
    return found


def time_limit(headers: dict[bytes, bytes], timeout: float) -> float:
    """Return the time limit of a request in seconds.

    It is the route's `timeout`, or the client's remaining time where that is shorter.  Raises BadRequest
    where the remaining time is malformed.
    """
    remaining = headers.get(REMAINING_TIME_HEADER)
    if remaining is None:
        return timeout
    if not remaining.isdigit() or len(remaining) > MAX_REMAINING_DIGITS:
        raise BadRequest("malformed X-Hazelspring-Remaining-Milliseconds")
    return min(timeout, int(remaining) / 1000)


class ClientListener(Listener):
    """Listens for clients, and holds the configuration by which their requests are served."""

    encode = staticmethod(encode)
    stream_head = staticmethod(stream_head)
    head_status = 431
    host: RouterHost

    def __init__(
        self, listen: Address, host: RouterHost, max_clients: int, is_confirmed: Callable[[], bool]
    ) -> None:
        """`is_confirmed` returns whether this node's configuration is known to be the newest."""
        super().__init__(listen, None, host, max_clients)
        self.make = ClientConnection
        self.configuration: Configuration | None = None
        self.is_confirmed = is_confirmed

    def use_configuration(self, configuration: Configuration) -> None:
        """Use a configuration and its limits for requests from now on."""
        self.configuration = configuration
        limits = configuration.limits
        self.max_head, self.max_body = limits.max_head_bytes, limits.max_body_bytes
        self.head_timeout, self.idle_timeout = limits.head_timeout, limits.idle_timeout
