"""Forwarding of large request bodies, also after the client has stopped waiting; without sockets."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any, cast

import pytest

from hazelspring.configuration.model import parse_configuration
from hazelspring.daemon.client_listener import ClientConnection, ClientListener, RouterHost
from hazelspring.daemon.upstream_servers import UpstreamConnection, UpstreamServers
from hazelspring.gateway.config import Address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.server_connection import MAX_BUFFERED_BODY, READ_BUFFER
from hazelspring.routing.endpoint_set import EndpointSet
from hazelspring.routing.request_router import RequestRouter
from hazelspring.routing.shared_limits import SharedLimits

from .test_request_router import ZONES, document, servers
from .test_upstream_servers import Wire

CONFIGURATION = parse_configuration(json.dumps(document()).encode())
HEAD = b"POST /w/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k2\r\nX-Hazelspring-Attempt-Id: me\r\n"
BODY = b"y" * (MAX_BUFFERED_BODY + 9)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
SIZED = HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class PausableTransport(Wire):
    """A transport whose reading can be paused."""

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


def make_listener() -> ClientListener:
    """Return a client listener whose connections to servers are established only by :func:`connect`."""
    counts = Counts()
    endpoints = EndpointSet("a1", "a", ZONES, random.Random(1))
    router, upstream = RequestRouter(SharedLimits(), endpoints, 1), UpstreamServers(0.3, 9.0, 100, counts)
    host = RouterHost(router, upstream, counts, lambda call: None)
    listener = ClientListener(Address("127.0.0.1", 9), host, 100, lambda: True)
    listener.use_configuration(CONFIGURATION)
    router.use_configuration(CONFIGURATION)
    router.fresh_until = 1e18
    router.update_endpoints(host.clock(), "shop", servers("a1-0", "a1-1"))
    for number in endpoints.servers:
        upstream.place(number, Address("127.0.0.1", 9), 0.0)
    return listener


def feed(client: ClientConnection, data: bytes) -> None:
    for n in range(0, len(data), MAX_BUFFERED_BODY):
        piece = data[n : n + MAX_BUFFERED_BODY]
        READ_BUFFER[: len(piece)] = piece
        client.buffer_updated(len(piece))


def connect(listener: ClientListener) -> list[bytes]:
    """Establish all pending connections; return the bytes that each of them carries to its server."""
    sent = []
    for pool in cast(UpstreamServers, listener.host.upstream).pools.values():
        while pool.waiting:
            connection, transport = UpstreamConnection(pool), PausableTransport()
            connection.connection_made(transport)
            if pool.give(connection):
                sent.append(transport.sent)
    return sent


@pytest.mark.parametrize("data", [CHUNKED, SIZED], ids=["chunked", "sized"])
@pytest.mark.parametrize("end", ["client disconnects", "node shuts down"])
def test_a_large_request_is_not_sent_without_its_body_once_its_client_has_stopped_waiting(
    data: bytes, end: str
) -> None:
    async def run() -> None:
        listener = make_listener()
        client, transport = ClientConnection(cast(Any, listener)), PausableTransport()
        client.connection_made(transport)
        feed(client, data)
        (request,) = listener.host.open_requests.values()
        # The attempt waits for a connection.
        assert [attempt.link for attempt in request.running_attempts.values()] == [None]
        if end == "client disconnects":
            client.connection_lost(None)
        else:
            listener.host.answer_all()
            assert transport.sent.startswith(b"HTTP/1.1 504 ")
        assert connect(listener) == []
        await asyncio.sleep(0)
        assert not listener.host.open_requests and listener.host.waiting == 0 and listener.buffered_bytes == 0
        assert [server.in_flight for server in listener.host.gateway.endpoints.servers.values()] == [0, 0]
        listener.close()
        cast(UpstreamServers, listener.host.upstream).close()

    asyncio.run(run())


@pytest.mark.parametrize("data", [CHUNKED, SIZED], ids=["chunked", "sized"])
def test_a_large_request_that_waited_for_a_connection_is_sent_with_its_complete_body(data: bytes) -> None:
    async def run() -> None:
        listener = make_listener()
        client = ClientConnection(cast(Any, listener))
        client.connection_made(PausableTransport())
        feed(client, data)
        (sent,) = connect(listener)
        assert BODY in sent and sent.endswith(b"0\r\n\r\n" if data is CHUNKED else BODY)
        listener.close()
        cast(UpstreamServers, listener.host.upstream).close()

    asyncio.run(run())
