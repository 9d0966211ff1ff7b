"""Builds the head of a request forwarded to a server, and names the headers that the node handles."""

from __future__ import annotations

from collections.abc import Iterable

from hazelspring.daemon.upstream_servers import ATTEMPT_ID_HEADER
from hazelspring.gateway.client_connection import HOP_BY_HOP

REMAINING_TIME_HEADER = b"x-hazelspring-remaining-milliseconds"
TENANT_HEADER = b"x-hazelspring-tenant-name"
EXPECTED_INSTANCE_HEADER = b"x-hazelspring-expected-instance"
AUTHORIZATION_HEADER = b"authorization"
CONNECTION_HEADER = b"connection"
HOST_HEADER = b"host"
SINGLE_HEADERS = frozenset(
    (ATTEMPT_ID_HEADER, REMAINING_TIME_HEADER, HOST_HEADER, AUTHORIZATION_HEADER, b"content-length")
)  # headers that determine how a request is handled: none may occur twice
REPLACED_HEADERS = HOP_BY_HOP | {
    REMAINING_TIME_HEADER,
    TENANT_HEADER,
    EXPECTED_INSTANCE_HEADER,
    AUTHORIZATION_HEADER,
}  # headers of a client that are never forwarded
METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")

Headers = list[tuple[bytes, bytes]]


def connection_headers(headers: Headers) -> set[bytes]:
    """Return the lower-case names of the headers listed in Connection, which must not be forwarded."""
    names = set[bytes]()
    for name, value in headers:
        if name == CONNECTION_HEADER:
            names.update(part.strip() for part in value.lower().split(b","))
    return names


def forwarded_head(method: bytes, target: bytes, headers: Headers, tenant: str | None) -> bytes:
    """Return the request line and the forwarded headers, with the tenant's name if there is one."""
    excluded = connection_headers(headers)
    head = b"%s %s HTTP/1.1\r\n" % (method, target)
    head += join_headers(
        pair for pair in headers if pair[0] not in REPLACED_HEADERS and pair[0] not in excluded
    )
    if tenant is not None:
        head += b"X-Hazelspring-Tenant-Name: %b\r\n" % tenant.encode()
    return head


def join_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return headers in the format in which they are sent, each ending in CRLF."""
    return b"".join(b"%s: %s\r\n" % pair for pair in headers)


def body_framing(method: bytes, body: bytes) -> bytes:
    """Return the Content-Length header of a fully buffered body.

    The result is empty where the body is empty and the method needs no such header.
    """
    if body or method not in METHODS_WITHOUT_BODY:
        return b"Content-Length: %d\r\n" % len(body)
    return b""


def attempt_payload(head: bytes, body: bytes, instance: bytes, remaining: float) -> bytes:
    """Return the request as sent in one attempt.

    `remaining` is the time left in seconds, `instance` the id of the intended server.
    """
    return b"%bX-Hazelspring-Expected-Instance: %b\r\nX-Hazelspring-Remaining-Milliseconds: %d\r\n\r\n%b" % (
        head,
        instance,
        max(1, int(remaining * 1000)),
        body,
    )
