"""Records what clients send and receive and what servers execute and answer, and checks the rules."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

# HTTP statuses which state that the request has not run
NOT_RUN_STATUSES = (400, 401, 404, 408, 413, 421, 429, 431, 503)


@dataclass(slots=True)
class SentRequest:
    """A request as its client sends it; a client that repeats an id sends the same request again."""

    id: str
    method: str
    target: str
    body: bytes
    kind: str
    tenant: str
    times_sent: int = 0  # in whole or in part
    times_complete: int = 0  # in whole only
    answers: list[int] = field(default_factory=list)  # statuses that its client received


@dataclass(slots=True)
class SentAnswer:
    """An answer as its server sent it."""

    id: str
    status: int
    body: bytes


def body_of(id_: str, size: int) -> bytes:
    """Return a body whose bytes differ from those for any other id."""
    seed = hashlib.sha256(id_.encode()).hexdigest()
    return (f"<{id_} {seed}>".encode() * (size // 40 + 1))[:size]


class Ledger:
    """What both ends did.  Each violation of a rule is added to `violations` as soon as it is seen."""

    def __init__(self, seed: str) -> None:
        self.random = random.Random(seed)
        self.requests: dict[str, SentRequest] = {}
        self.sent_answers: dict[str, SentAnswer] = {}  # by seal
        self.failures: dict[str, set[bytes]] = {}  # by id, the bodies of the failures sent for it
        self.run_counts: Counter[str] = Counter()  # by id, how often a server ran it
        # kinds of behaviour and of outcome at servers and clients, to check that all occurred
        self.occurrences: Counter[str] = Counter()
        self.events: dict[str, list[str]] = {}  # by attempt id, what happened to it
        self.violations: list[str] = []

    def add_violation(self, rule: str, id_: str, text: str) -> None:
        self.violations.append(f"{rule} {id_}: {text}; {', '.join(self.events.get(id_, []))}")

    def record_event(self, id_: str, what: str) -> None:
        self.events.setdefault(id_, []).append(what)

    # Servers

    def check_request(
        self, method: str, target: str, headers: dict[str, str], body: bytes, whole: bool
    ) -> None:
        """Check that a request that a server runs, or might run, arrives as its client sent it."""
        id_ = headers.get("x-hazelspring-attempt-id", "")
        request = self.requests.get(id_)
        if request is None:
            self.add_violation("UNASKED", id_, f"no client sent {method} {target}")
            return
        if (method, target) != (request.method, request.target):
            self.add_violation(
                "UNASKED", id_, f"{method} {target} instead of {request.method} {request.target}"
            )
        if headers.get("x-hazelspring-tenant-name", "") != request.tenant or "authorization" in headers:
            self.add_violation(
                "UNASKED",
                id_,
                f"wrong tenant {headers.get('x-hazelspring-tenant-name')}, or the key was forwarded",
            )
        if headers.get("x-copy") != id_:
            self.add_violation("UNASKED", id_, "the X-Copy header is missing or of another request")
        if body != request.body if whole else not request.body.startswith(body):
            at = next((n for n, (a, b) in enumerate(zip(body, request.body, strict=False)) if a != b), -1)
            self.add_violation(
                "UNASKED",
                id_,
                f"body of {len(body)} bytes, {len(request.body)} were sent, differs at byte {at}",
            )

    def record_run(self, id_: str) -> None:
        self.run_counts[id_] += 1
        if (request := self.requests.get(id_)) is not None:
            self.check_runs(request)

    def check_runs(self, request: SentRequest) -> None:
        """Check how often a non-idempotent request ran.

        It runs at most as often as it was sent, less the times that its client received a refusal.
        """
        ran, refused = (
            self.run_counts[request.id],
            [status for status in request.answers if status in NOT_RUN_STATUSES],
        )
        if request.kind != "read_only" and ran > request.times_sent:
            self.add_violation(
                "TWICE", request.id, f"{request.kind} ran {ran} times, sent {request.times_sent}"
            )
        elif request.kind != "read_only" and ran > request.times_sent - len(refused):
            self.add_violation(
                "REFUSED", request.id, f"received {refused}, sent {request.times_sent} times, ran {ran}"
            )

    def record_answer(self, server: str, id_: str, status: int, body: bytes) -> str:
        """Record an answer and return its seal."""
        seal = f"{server}.{len(self.sent_answers)}"
        self.sent_answers[seal] = SentAnswer(id_, status, body)
        if status >= 300:
            self.failures.setdefault(id_, set()).add(body)
        return seal

    # Clients

    def check_answer(self, request: SentRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """Check a complete answer that a client received."""
        request.answers.append(status)
        self.record_event(request.id, f"client: {status}")
        self.check_runs(request)
        self.occurrences[f"received {status}"] += 1
        id_ = headers.get("x-hazelspring-attempt-id")
        if id_ is not None and id_ != request.id:
            self.add_violation("MIXED", request.id, f"{status} with the id {id_}")
        if 200 <= status < 300:
            sent = self.sent_answers.get(headers.get("x-hazelspring-server-seal", ""))
            if not self.run_counts[request.id]:
                self.add_violation("MIXED", request.id, "a success for a request that never ran")
            if id_ is None or sent is None:
                self.add_violation("MIXED", request.id, f"{status} without id or seal")
            elif (sent.id, sent.status) != (request.id, status):
                self.add_violation("MIXED", request.id, f"{status}, sent for {sent.id} as {sent.status}")
            elif sent.body != body:
                self.add_violation(
                    "MIXED", request.id, f"body differs: {len(body)} of {len(sent.body)} bytes"
                )
        elif b"<" in body and not any(body == own for own in self.failures.get(request.id, ())):
            self.add_violation("MIXED", request.id, f"{status} with the body {body[:60]!r}")
