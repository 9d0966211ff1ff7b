"""Requests sent by clients, executed and answered by servers, answers received; and the rules that these must keep."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

PROMISES = (400, 401, 404, 408, 413, 421, 429, 431, 503)  # statuses that promise that the request never ran


@dataclass(slots=True)
class Asked:
    """A request as its client makes it; one whose id comes again is the same request once more."""

    id: str
    method: str
    target: str
    body: bytes
    kind: str
    tenant: str
    times: int = 0  # how often it was sent, in whole or in part
    whole: int = 0  # how often in whole
    answers: list[int] = field(default_factory=list)  # statuses that its client got


@dataclass(slots=True)
class Made:
    """An answer as its server made it."""

    id: str
    status: int
    body: bytes


def body_of(id_: str, size: int) -> bytes:
    """Bytes that belong to one request alone."""
    seed = hashlib.sha256(id_.encode()).hexdigest()
    return (f"<{id_} {seed}>".encode() * (size // 40 + 1))[:size]


class Ledger:
    """The record of both ends.  Each violation of a rule is added to `faults` at once."""

    def __init__(self, seed: str) -> None:
        self.random = random.Random(seed)
        self.asked: dict[str, Asked] = {}
        self.made: dict[str, Made] = {}  # by seal
        self.failures: dict[str, set[bytes]] = {}  # by id, the bodies of failures made for it
        self.ran: Counter[str] = Counter()
        self.ways: Counter[str] = (
            Counter()
        )  # kinds of server behaviour and of client outcomes, to check that all occurred
        self.events: dict[str, list[str]] = {}  # by attempt id, what happened to it
        self.faults: list[str] = []

    def fault(self, rule: str, id_: str, text: str) -> None:
        self.faults.append(f"{rule} {id_}: {text}; {', '.join(self.events.get(id_, []))}")

    def record_event(self, id_: str, what: str) -> None:
        self.events.setdefault(id_, []).append(what)

    # Servers

    def check(self, method: str, target: str, headers: dict[str, str], body: bytes, whole: bool) -> None:
        """A request at a server that runs it, or might: as its client made it."""
        id_ = headers.get("x-hazelspring-attempt-id", "")
        asked = self.asked.get(id_)
        if asked is None:
            self.fault("UNASKED", id_, f"nobody sent {method} {target}")
            return
        if (method, target) != (asked.method, asked.target):
            self.fault("UNASKED", id_, f"{method} {target} for {asked.method} {asked.target}")
        if headers.get("x-hazelspring-tenant-name", "") != asked.tenant or "authorization" in headers:
            self.fault("UNASKED", id_, f"tenant {headers.get('x-hazelspring-tenant-name')} or its key")
        if headers.get("x-kept") != id_:
            self.fault("UNASKED", id_, "a header of another request, or none")
        if body != asked.body if whole else not asked.body.startswith(body):
            at = next((n for n, (a, b) in enumerate(zip(body, asked.body, strict=False)) if a != b), -1)
            self.fault("UNASKED", id_, f"body of {len(body)}, sent {len(asked.body)}, differs at {at}")

    def run(self, id_: str) -> None:
        self.ran[id_] += 1
        if (asked := self.asked.get(id_)) is not None:
            self.count(asked)

    def count(self, asked: Asked) -> None:
        """Check that a non-idempotent request ran at most as often as it was sent, and never where it was refused."""
        ran, refused = self.ran[asked.id], [status for status in asked.answers if status in PROMISES]
        if asked.kind != "read_only" and ran > asked.times:
            self.fault("TWICE", asked.id, f"{asked.kind} ran {ran} times, sent {asked.times}")
        elif asked.kind != "read_only" and ran > asked.times - len(refused):
            self.fault("REFUSED", asked.id, f"got {refused}, sent {asked.times} times, ran {ran} times")

    def make(self, server: str, id_: str, status: int, body: bytes) -> str:
        """An answer with its seal."""
        seal = f"{server}.{len(self.made)}"
        self.made[seal] = Made(id_, status, body)
        if status >= 300:
            self.failures.setdefault(id_, set()).add(body)
        return seal

    # Clients

    def got(self, asked: Asked, status: int, headers: dict[str, str], body: bytes) -> None:
        """A whole answer at a client."""
        asked.answers.append(status)
        self.record_event(asked.id, f"client: {status}")
        self.count(asked)
        self.ways[f"got {status}"] += 1
        id_ = headers.get("x-hazelspring-attempt-id")
        if id_ is not None and id_ != asked.id:
            self.fault("MIXED", asked.id, f"{status} with the id {id_}")
        if 200 <= status < 300:
            made = self.made.get(headers.get("x-hazelspring-server-seal", ""))
            if not self.ran[asked.id]:
                self.fault("MIXED", asked.id, "a success that never ran")
            if id_ is None or made is None:
                self.fault("MIXED", asked.id, f"{status} without id or stamp")
            elif (made.id, made.status) != (asked.id, status):
                self.fault("MIXED", asked.id, f"{status}, made for {made.id} as {made.status}")
            elif made.body != body:
                self.fault("MIXED", asked.id, f"a body of {len(body)} of {len(made.body)}")
        elif b"<" in body and not any(body == own for own in self.failures.get(asked.id, ())):
            self.fault("MIXED", asked.id, f"{status} with the body {body[:60]!r}")
