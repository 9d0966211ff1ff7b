"""The gateway's listener: answers /-/ready, and reads the class, tariff and call terms of requests."""

from __future__ import annotations

import functools
import re
import time
from typing import cast

import httptools

from hazelspring.admission import interface as i
from hazelspring.admission.gateway import Gateway
from hazelspring.admission.interface import Effect
from hazelspring.gateway.client_connection import (
    HOP_BY_HOP,
    MAX_BUFFERED_BYTES,
    BadRequest,
    Client,
    Exchange,
    Listener,
)
from hazelspring.gateway.config import Config
from hazelspring.gateway.host import Answer, Host

MAX_TIMEOUT = 600.0  # maximum seconds that a request is kept open, even if its client would wait longer
RELOAD_GRACE = 2.0  # seconds after a reload in which the previous classes and tariffs are also accepted
NOT_FORWARDED = HOP_BY_HOP | {b"request-timeout"}  # headers that are not forwarded unchanged
SINGLE_HEADERS = frozenset(  # headers that must not be repeated
    b"request-id request-class x-tier request-timeout idempotency-key x-call-terms content-length host"
    b" client-retry".split()
)
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID = re.compile(rb"[0-9a-zA-Z_.-]{1,64}")


@functools.lru_cache(maxsize=4096)  # few distinct values are in use; bounded against misbehaving clients
def parse_call_terms(text: bytes) -> tuple[float, int, int]:
    """Parse X-Call-Terms into units, spread and first; raises `BadRequest`."""
    try:
        pairs = dict(part.split("=", 1) for part in text.decode("ascii").replace(" ", "").split(","))
        units, spread, first = float(pairs["units"]), int(pairs["spread"]), int(pairs["first"])
    except (KeyError, ValueError):
        raise BadRequest("malformed X-Call-Terms") from None
    if not (0 < units < 1e6 and 0 < spread < 1 << 16 and 0 <= first < 1 << 16):
        raise BadRequest("X-Call-Terms out of range")
    return units, spread, first


def parse_timeout(text: bytes) -> float:
    """Parse Request-Timeout into seconds, at most `MAX_TIMEOUT`; raises `BadRequest`."""
    found = TIMEOUT.fullmatch(text)
    if found is None:
        raise BadRequest("malformed Request-Timeout")
    number = float(found[1] + b"." + (found[2] or b"0"))
    return min(MAX_TIMEOUT, number / (1e3 if found[3] == b"m" else 1e6))


class ClientConnection(Client):
    """A client's connection to the gateway."""

    __slots__ = ()

    def take(self, exchange: Exchange) -> None:
        """Answer a request here, or submit it to the host; raises `BadRequest` if it is not valid."""
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            raise BadRequest("malformed target") from None
        path = url.path or b""
        method = self.parser.get_method()
        server = cast(Server, self.server)
        if path == b"/-/ready":
            exchange.reply(Answer(200 if server.ready() else 503))
            return
        if exchange.client.surplus:
            exchange.keep_alive = False
            server.host.counts.rejected[503] += 1
            exchange.reply(Answer(503, retry_after=1.0))
            return
        headers = dict(self.headers)
        if len(headers) != len(self.headers):
            self.no_repeats(SINGLE_HEADERS)
        effect = Effect.SAFE if method == b"GET" else Effect.UNSAFE
        if method == b"POST" and headers.get(b"idempotency-key"):
            effect = Effect.KEYED
        number, cls = server.find_class(path[1:].partition(b"/")[0], effect)
        if headers.get(b"request-class") != cls.name.encode():
            raise BadRequest("Request-Class is not the path's")
        plan, terms = server.find_plan(headers.get(b"x-tier", b""))
        if method not in (b"GET", b"POST") or effect is not cls.effect:
            raise BadRequest("the method or Idempotency-Key is not that of the class")
        customers = [p[9:] for p in (url.query or b"").split(b"&") if p.startswith(b"customer=")]
        if len(customers) != 1 or not CUSTOMER.fullmatch(customers[0]) or int(customers[0], 16) >= 1 << 33:
            raise BadRequest("malformed customer")
        request_id = headers.get(b"request-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequest("malformed Request-Id")
        timeout = parse_timeout(headers.get(b"request-timeout", b""))
        units, spread, first = parse_call_terms(headers.get(b"x-call-terms", b""))
        customer = int(customers[0], 16)
        body, upload = b"".join(self.body), exchange.upload
        streams = upload is not None
        if server.buffered_bytes + len(body) > MAX_BUFFERED_BYTES:
            server.host.counts.rejected[503] += 1
            exchange.reply(Answer(503, retry_after=1.0))  # nothing has run; memory is bounded
            return
        exchange.buffered_bytes = len(body)
        server.buffered_bytes += len(body)
        head = b"%s %s HTTP/1.1\r\n" % (method, self.url) + b"".join(
            b"%s: %s\r\n" % pair for pair in self.headers if pair[0] not in NOT_FORWARDED
        )
        if upload is not None:
            head += upload.framing()
        elif method == b"POST" or body:
            head += b"Content-Length: %d\r\n" % len(body)

        def payload(left: float, backend: int) -> bytes:
            return b"%sRequest-Timeout: %dm\r\n\r\n%s" % (head, max(1, int(left * 1000)), body)

        def make(request: int) -> i.Request:
            is_retry, is_write = headers.get(b"client-retry") == b"1", method == b"POST"
            return i.Request(
                request,
                number,
                plan,
                customer,
                timeout,
                units,
                spread,
                first,
                is_retry,
                is_write,
                cls,
                terms,
                streams,
            )

        exchange.request = server.host.request(make, cls.name, timeout, payload, exchange, upload)


class Server(Listener):
    """The gateway's listener, and the classes and tariffs that requests may name."""

    host: Host[Gateway]

    def __init__(self, config: Config, host: Host[Gateway], max_clients: int) -> None:
        super().__init__(config.listen, config.passed, host, max_clients)
        self.make = ClientConnection
        self.classes: dict[bytes, tuple[int, i.RequestClass]] = {}
        self.plans: dict[bytes, tuple[int, i.Plan]] = {}
        self.retune(config.settings)

    def retune(self, settings: i.Settings) -> None:
        """Set the classes and tariffs.

        Clients learn of a change a moment later, so the previous classes and tariffs are also accepted for
        `RELOAD_GRACE` seconds.
        """
        self.previous_classes, self.previous_plans = self.classes, self.plans
        self.faded_at = time.monotonic() + RELOAD_GRACE
        self.classes = {c.name.encode(): (n, c) for n, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): (n, p) for n, p in enumerate(settings.plans)}

    def find_class(self, name: bytes, effect: Effect) -> tuple[int, i.RequestClass]:
        """Return the number and the class that a request names; raises `BadRequest` if there is none.

        For `RELOAD_GRACE` seconds after a reload this may be a class as it was before.
        """
        found = self.classes.get(name)
        if (found is None or found[1].effect is not effect) and time.monotonic() < self.faded_at:
            before = self.previous_classes.get(name)
            if before is not None and before[1].effect is effect:
                return before
        if found is None:
            raise BadRequest("no such class", 404)
        return found

    def find_plan(self, name: bytes) -> tuple[int, i.Plan]:
        """Return the number and the tariff that a request names; raises `BadRequest` if there is none.

        For `RELOAD_GRACE` seconds after a reload this may be a tariff that it renamed or removed.
        """
        found = self.plans.get(name)
        if found is None and time.monotonic() < self.faded_at:
            found = self.previous_plans.get(name)
        if found is None:
            raise BadRequest("no such X-Tier")
        return found

    def ready(self) -> bool:
        """Whether this gateway accepts connections and knows at least one backend."""
        return self.server is not None and not self.stopping and bool(self.host.upstream.pools)
