"""Control calls to any of several nodes: a failed call is retried at the next, with exponential backoff."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import urlsplit

from hazelspring.errors import HazelspringError

ANSWER_TIMEOUT = 1.0  # seconds for an answer before the next node is tried
TIMEOUT_PER_MEGABYTE = 4.0  # additional seconds for each megabyte of the request body
BACKOFF_DELAYS = (0.1, 0.2, 0.4, 0.8, 1.6)  # seconds between attempts
MAX_REDIRECTS = 2
MAX_QUOTED_BYTES = 200  # of an answer that is not a problem document
RETRIED_CLIENT_ERRORS = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)


class CallError(HazelspringError):
    """A call had no effect, or its effect is unknown; the message names the call and the node."""


class CallRefusedError(CallError):
    """A node refused the call, and every other node would refuse it, too."""

    code = "refused"


class CallUnsettledError(CallError):
    """No node acknowledged or refused the call in time; it may still take effect."""

    code = "unsettled"


@dataclass(frozen=True)
class Answer:
    """A node's answer to a call; ``address`` is the control address of the node that gave it."""

    status: int
    body: bytes
    address: str


def call_once(address: str, method: str, path: str, body: bytes | None, timeout: float) -> Answer:
    """Return the answer of the node at a control address, following its redirects.

    ``timeout`` is in seconds. Raises OSError or HTTPException if there is no answer.
    """
    for _ in range(MAX_REDIRECTS + 1):
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer = Answer(response.status, response.read(), address)
            location = response.getheader("Location")
        finally:
            connection.close()
        if answer.status != HTTPStatus.TEMPORARY_REDIRECT or not location:
            return answer
        target = urlsplit(location)
        address, path = target.netloc, target.path
    return answer


def is_refusal(status: int) -> bool:
    """Return whether every other node, and a later attempt at this one, would give the same answer."""
    is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return not is_server_error and status not in RETRIED_CLIENT_ERRORS


def call_until_settled(
    addresses: Sequence[str],
    method: str,
    path: str,
    body: bytes | None = None,
    patience: float = 20.0,
    *,
    sleep: Callable[[float], None] = time.sleep,
) -> Answer:
    """Try a call at the nodes in turn, for up to ``patience`` seconds, until one of them settles it.

    A node settles a call by acknowledging or refusing it.  A call whose outcome is unknown is sent again
    unchanged, which is safe: a configuration is identified by its number, and an evacuation call names the
    state to reach.

    Raises CallRefusedError, or CallUnsettledError if no node settles the call in time.
    """
    end = time.monotonic() + patience
    timeout = ANSWER_TIMEOUT + TIMEOUT_PER_MEGABYTE * len(body or b"") / 1e6
    last_failure = "no node was tried"
    attempts = 0
    while time.monotonic() < end:
        address = addresses[attempts % len(addresses)]
        try:
            answer = call_once(address, method, path, body, timeout)
        except (OSError, http.client.HTTPException) as error:
            last_failure = f"{method} {path} at {address}: {str(error) or type(error).__name__}"
        else:
            if answer.status < HTTPStatus.MULTIPLE_CHOICES:
                return answer
            last_failure = f"{method} {path} at {address}: {answer.status} {problem_of(answer.body)}"
            if is_refusal(answer.status):
                raise CallRefusedError(last_failure)
        delay = BACKOFF_DELAYS[min(attempts, len(BACKOFF_DELAYS) - 1)]
        sleep(min(delay, max(0.0, end - time.monotonic())))
        attempts += 1
    raise CallUnsettledError(f"not settled within {patience:g} s; last: {last_failure}")


def problem_of(body: bytes) -> str:
    """Return the code and the text of a problem document, or the beginning of any other body."""
    try:
        document = json.loads(body)
        return f"{document['code']}: {document['problem']}"
    except (ValueError, KeyError, TypeError):
        return body[:MAX_QUOTED_BYTES].decode(errors="replace")
