"""An order to any door that serves control calls: the next door after a failure, with a growing pause."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

SILENCE_TIMEOUT = 1.0  # seconds for an answer before the next door is asked,
TIMEOUT_PER_MEGABYTE = 4.0  # and so many more for each megabyte that is sent
BACKOFF_DELAYS = (0.1, 0.2, 0.4, 0.8, 1.6)  # seconds between tries
MAX_REDIRECTS = 2


class CallError(Exception):
    """An order that was refused, or that no door has settled: its text names the step and the door."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True)
class Answer:
    status: int
    body: bytes
    address: str


def call_once(node: str, method: str, path: str, body: bytes | None, patience: float) -> Answer:
    """One call to one door, following its redirects; raises OSError or HTTPException."""
    for _ in range(MAX_REDIRECTS + 1):
        host, _, port = node.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=patience)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            found = Answer(answer.status, answer.read(), node)
            target = answer.getheader("Location")
        finally:
            connection.close()
        if found.status != 307 or not target:
            return found
        node, path = urlsplit(target).netloc, urlsplit(target).path
    return found


def call_until_settled(
    nodes: Sequence[str],
    method: str,
    path: str,
    body: bytes | None = None,
    patience: float = 20.0,
    sleep: Callable[[float], None] = time.sleep,
) -> Answer:
    """Settle an order at one of the doors; raises OrderError where it is refused or not settled in time.

    An order whose answer is unclear is sent again unchanged: a configuration is known by its number, and an
    evacuation asks for a state.
    """
    end = time.monotonic() + patience
    silence = SILENCE_TIMEOUT + TIMEOUT_PER_MEGABYTE * len(body or b"") / 1e6
    last = "no door was asked"
    tries = 0
    while time.monotonic() < end:
        node = nodes[tries % len(nodes)]
        try:
            answer = call_once(node, method, path, body, silence)
        except (OSError, http.client.HTTPException) as error:
            last = f"{method} {path} at {node}: {str(error) or type(error).__name__}"
        else:
            if answer.status < 300:
                return answer
            last = f"{method} {path} at {node}: {answer.status} {problem_of(answer.body)}"
            if answer.status < 500 and answer.status not in (408, 429):
                raise CallError("refused", last)
        sleep(min(BACKOFF_DELAYS[min(tries, len(BACKOFF_DELAYS) - 1)], max(0.0, end - time.monotonic())))
        tries += 1
    raise CallError("unsettled", f"not settled within {patience:g} s; last: {last}")


def problem_of(body: bytes) -> str:
    """What a door says is wrong."""
    try:
        said = json.loads(body)
        return f"{said['code']}: {said['problem']}"
    except (ValueError, KeyError, TypeError):
        return body[:200].decode(errors="replace")
