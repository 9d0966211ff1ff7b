"""Passes events to the decision module, carries out its actions in order, and keeps the open requests."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from hazelspring.admission import interface as i
from hazelspring.admission.interface import Outcome, State
from hazelspring.gateway.config import Address
from hazelspring.gateway.metrics import Counts
from hazelspring.gateway.server_connection import Attempt, Body, Result, Sink, StreamedAnswer
from hazelspring.gateway.upstream import Upstream

if TYPE_CHECKING:
    from hazelspring.gateway.counter import Counter

ATTEMPT_MARGIN = 0.030  # seconds before the client's deadline at which attempts are given up
OUTCOMES = {200: "served", 503: "refused"}  # outcome of a request by its answer's status; else "failed"
GUARD_MARGIN = 0.015  # seconds before that deadline at which a request is answered whatever the module does

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Answer:
    """A final answer.  Status 200 counts as served, 503 as refused and any other as failed."""

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0  # seconds; 0 for no advice


class Caller(Sink, Protocol):
    """The receiver of a request's answer, which is either complete or streamed."""

    def reply(self, answer: Answer) -> None:
        """Take a complete answer."""
        ...

    def begin(self, stream: StreamedAnswer) -> None:
        """Take the head of an answer that is streamed; its body follows by `feed`."""
        ...


class Upload(Body, Protocol):
    """The body of a request, which is streamed to a backend while it arrives."""

    can_resend: bool  # whether all bytes so far are still buffered, so that the body can be sent again


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered yet or has attempts that have not ended."""

    number: int
    payload: Callable[[float, int], bytes]  # builds the request to a backend: remaining seconds, backend
    caller: Caller
    timeout: float  # seconds that its client waits, counted from the last byte of the request
    limits: i.Limits  # those in force when it arrived
    upload: Upload | None
    label: str  # its class, as a label of metrics
    attempt_id: bytes = b""  # the attempt id that an answer must bear, where that is checked
    last: Result | None = None  # the last unsuccessful answer of a server, if it is kept
    end: float = math.inf  # monotonic time of its client's deadline; inf until its last byte has arrived
    guard: asyncio.TimerHandle | None = None
    stream: StreamedAnswer | None = None  # the answer that is being streamed
    running_attempts: dict[int, Attempt] = field(
        default_factory=dict
    )  # attempts that have not ended, by number
    sent: int = 0  # attempts that the module has requested
    may_have_run: bool = False
    settled: bool = False  # it has been answered, or its client has gone


class DecisionModule(Protocol):
    """The module that decides what happens to requests."""

    @property
    def settings(self) -> HasLimits:
        """The settings that the module works under."""
        ...

    @property
    def actions(self) -> list[i.Action]:
        """The actions that the last event has caused so far."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Return the actions that an event causes; `now` is the host's `clock`."""
        ...


class HasLimits(Protocol):
    """Settings that contain limits."""

    @property
    def limits(self) -> i.Limits:
        """The limits on attempts."""
        ...


M = TypeVar("M", bound=DecisionModule)


class Host(Generic[M]):
    """Passes events to the decision module, carries out its actions and keeps the open requests.

    `answered_on_error` lists types of event.  If the module fails on an event of such a type, the host
    answers its request itself, as nothing else would end it.
    """

    answered_on_error: tuple[type, ...] = (i.Request, i.Finished)

    def __init__(self, gateway: M, upstream: Upstream, counts: Counts) -> None:
        self.gateway, self.upstream, self.counts = gateway, upstream, counts
        self.counter: Counter | None = None
        self.limits = gateway.settings.limits
        self.loop = asyncio.get_running_loop()
        self.open_requests: dict[int, OpenRequest] = {}
        self.events: deque[i.Event] = deque()
        self.busy = False
        self.now = 0.0
        self.number = 0
        self.unknown: set[str] = set()  # types of action that were logged as not supported
        self.waiting = 0  # requests that have not got their complete answer

    # --- events in ---------------------------------------------------------------------------------

    def clock(self) -> float:
        """Return the Unix time, as lease windows must agree between gateways; it never goes backwards."""
        self.now = max(self.now, time.time())
        return self.now

    def post(self, event: i.Event) -> None:
        """Pass an event to the module; events that its actions cause are queued and passed after it."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.busy = False

    def step(self, event: i.Event) -> None:
        """Pass one event to the module and carry out the actions that it returns."""
        gateway = self.gateway
        failed = False
        try:
            actions = gateway.handle(self.clock(), event)
        except Exception:
            # An error must not affect other requests: actions decided before it are still carried out.
            log.exception("the module failed on %s", type(event).__name__)
            actions, failed = gateway.actions, True
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("could not carry out the action %s", type(action).__name__)
                if isinstance(action, i.Send | i.Refuse | i.Fail):
                    self.give_up(action.request)
        if failed and isinstance(event, self.answered_on_error):
            self.give_up(event.request)  # type: ignore[union-attr]

    def give_up(self, number: int) -> None:
        """Answer a request that an error has left without one: 502 if it may have run, 503 if not."""
        request = self.open_requests.get(number)
        if request is not None and not request.settled and not request.running_attempts:
            self.settle(request, Answer(502 if request.may_have_run else 503))
            self.events.append(i.Left(number))
            self.drop(request)

    def request(
        self,
        make: Callable[[int], i.Event],
        name: str,
        timeout: float,
        payload: Callable[[float, int], bytes],
        caller: Caller,
        upload: Upload | None = None,
        attempt_id: bytes = b"",
    ) -> OpenRequest:
        """Register a request and pass it to the module as the event that `make` creates for its number."""
        self.number += 1
        event = make(self.number)
        request = OpenRequest(
            self.number, payload, caller, timeout, self.limits, upload, self.counts.label(name), attempt_id
        )
        self.open_requests[request.number] = request
        self.waiting += 1
        if upload is None:
            self.start_deadline(request)
        self.post(event)
        return request

    def start_deadline(self, request: OpenRequest) -> None:
        """Start the client's time-out, as the last byte of the request has arrived."""
        request.end = time.monotonic() + request.timeout
        left = max(0.0, request.timeout - GUARD_MARGIN)
        request.guard = self.loop.call_later(left, self.overdue, request)

    def on_body_complete(self, request: OpenRequest) -> None:
        """Note that the last byte of a streamed request body has arrived."""
        if request.settled:
            return
        self.start_deadline(request)
        for attempt in request.running_attempts.values():
            self.upstream.expire(attempt, max(0.0, request.timeout - ATTEMPT_MARGIN))
        self.post(i.Whole(request.number, request.timeout))

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Note that the client has disconnected.

        Attempts that have been sent continue, except those of a request that did not arrive completely.  The
        connection of an answer that is being streamed is aborted, as nobody receives the answer.
        """
        if request.stream is not None:
            request.stream.source.abort()
        if not request.settled:
            self.settle(request, None)
            if request.upload is not None and not request.upload.whole:
                for attempt in list(request.running_attempts.values()):
                    attempt.give_up(Outcome.CANCELLED)
            self.post(i.Left(request.number))
            self.drop(request)

    def overdue(self, request: OpenRequest) -> None:
        """Answer a request that is still open shortly before its client's deadline, so that none is lost."""
        if request.settled:
            return
        for attempt in list(request.running_attempts.values()):
            attempt.give_up(Outcome.TIMEOUT)
        if not request.settled:  # ending an attempt that never ran may just have answered the request
            self.settle(request, Answer(504))
            self.post(i.Left(request.number))
            self.drop(request)

    def answer_all(self) -> None:
        """Answer all open requests, because the process is about to end."""
        for request in list(self.open_requests.values()):
            self.overdue(request)

    def retune(self, settings: i.Settings) -> None:
        """Apply new settings; requests that are open keep the limits they arrived under."""
        self.limits = settings.limits
        self.post(i.Retuned(settings))

    def members(self, members: i.Members, addresses: dict[int, Address]) -> None:
        """Apply a list of backends, or a change to it, to the pools and pass it to the module."""
        if members.listing is not i.Listing.DELTA:
            for backend in [b for b in self.upstream.pools if b not in addresses]:
                self.upstream.remove(backend)
        for entry in members.entries:
            if entry.state is State.GONE:
                self.upstream.remove(entry.backend)
            elif entry.backend in addresses:
                self.upstream.place(entry.backend, addresses[entry.backend], entry.started)
        self.post(members)

    # --- actions out -------------------------------------------------------------------------------

    def execute(self, action: i.Action) -> None:
        """Carry out one action of the module; one that is not supported is logged once a type."""
        match action:
            case i.Send():
                self.send(action)
            case i.SetTimer():
                self.set_timer(action.at, action.token)
            case i.Count():
                if self.counter is None:
                    self.events.append(i.Counted(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
                else:
                    self.counter.add(action)
            case i.Refuse():
                self.end(action.request, Answer(503, retry_after=action.retry_after))
            case i.Fail():
                self.end(action.request, Answer(502))
            case i.Cancel():
                request = self.open_requests.get(action.request)
                if (
                    request is not None
                    and (attempt := request.running_attempts.get(action.attempt)) is not None
                ):
                    attempt.give_up(Outcome.CANCELLED)
            case i.Probe():
                backend = action.backend
                self.upstream.probe(
                    backend, lambda r: self.post(i.Probed(backend, r.outcome, r.spent, r.report))
                )
            case i.CloseIdle():
                self.upstream.close_idle(action.backend)
            case i.Log():
                log.info("module: %s", action.text)
            case _:  # discovery is always watched, and gateways cannot send messages to each other
                if type(action).__name__ not in self.unknown:
                    self.unknown.add(type(action).__name__)
                    log.warning("the gateway does not support the action %s", type(action).__name__)

    def send(self, action: i.Send) -> None:
        """Start an attempt; one that is of no use or not allowed ends at once as `Outcome.MOOT`."""
        request = self.open_requests.get(action.request)
        number = request.sent if request is not None else 0
        if request is not None:
            request.sent += 1
        left = self.time_left(request) if request is not None else 0.0
        if (
            request is None
            or request.settled
            or left <= 0
            or number >= request.limits.max_attempts
            or (request.upload is not None and not request.upload.can_resend)
            or (request.running_attempts and not request.limits.second_copies)
        ):
            closed = request is None or request.settled
            can_resend = request is None or request.upload is None or request.upload.can_resend
            self.events.append(
                i.Finished(
                    action.request, number, action.backend, Outcome.MOOT, closed, 0.0, 0, 0, (), can_resend
                )
            )
            return
        timeout = min(left, action.timeout) if action.timeout > 0 else left

        def done(result: Result) -> None:
            self.finished(request, number, action.backend, result)

        def begun(stream: StreamedAnswer) -> Sink | None:
            return self.begun(request, number, action.backend, stream)

        attempt = self.attempt(request, request.payload(timeout, action.backend), done, begun)
        self.upstream.start(action.backend, timeout, attempt)
        if not attempt.over:
            request.running_attempts[number] = attempt

    def attempt(
        self,
        request: OpenRequest,
        payload: bytes,
        done: Callable[[Result], None],
        begun: Callable[[StreamedAnswer], Sink | None],
    ) -> Attempt:
        """Create an attempt of a request."""
        return Attempt(payload, done, begun, request.upload)

    def time_left(self, request: OpenRequest) -> float:
        """Return the seconds that an attempt may take."""
        if request.upload is not None and not request.upload.whole:
            return request.timeout - ATTEMPT_MARGIN
        return request.end - ATTEMPT_MARGIN - time.monotonic()

    def begun(self, request: OpenRequest, number: int, backend: int, stream: StreamedAnswer) -> Sink | None:
        """Stream an answer that is too large to buffer; its client gets no other answer.

        Returns None if the request needs no answer any more.
        """
        if request.settled:
            return None
        request.stream = stream
        self.settle(request, None)
        self.waiting += 1  # until the last byte of the answer
        self.post(i.UnderWay(request.number, number, backend, 0.0))
        request.caller.begin(stream)
        return request.caller

    def finished(self, request: OpenRequest, number: int, backend: int, result: Result) -> None:
        """Count the end of an attempt, answer its request if it succeeded, and post `Finished`."""
        attempt = request.running_attempts.pop(number, None)
        self.counts.attempts[result.outcome.name.lower()] += 1
        if attempt is not None and attempt.streaming:
            request.stream = None
            self.waiting -= 1
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.settled:
            self.settle(request, self.served(result))
        closed, can_resend = request.settled, request.upload is None or request.upload.can_resend
        outcome, spent = result.outcome, result.spent
        self.post(
            i.Finished(
                request.number, number, backend, outcome, closed, spent, 0, 0, result.report, can_resend
            )
        )
        self.drop(request)

    def served(self, result: Result) -> Answer:
        """Build the answer for the client from a successful result."""
        return Answer(200, result.body, result.content_type)

    def end(self, number: int, answer: Answer) -> None:
        """Answer an open request by its number, unless it has been answered."""
        request = self.open_requests.get(number)
        if request is not None and not request.settled:
            self.settle(request, answer)
            self.drop(request)

    def settle(self, request: OpenRequest, answer: Answer | None) -> None:
        """Mark a request as settled, count it, and send its answer.

        `answer` is None if the answer is streamed or the client has gone.
        """
        request.settled = True
        self.waiting -= 1
        if answer is not None:
            outcome = OUTCOMES.get(answer.status, "failed")
        else:
            outcome = "served" if request.stream is not None else "left"
        self.counts.requests[request.label, outcome] += 1
        if request.guard is not None:
            request.guard.cancel()
        if answer is not None:
            request.caller.reply(answer)
        if request.upload is not None:
            for attempt in list(request.running_attempts.values()):
                if attempt.link is None:  # not sent yet, and its body has just been dropped
                    attempt.give_up(Outcome.CANCELLED)

    def drop(self, request: OpenRequest) -> None:
        """Remove a request once it is settled and all its attempts have ended."""
        if request.settled and not request.running_attempts:
            self.open_requests.pop(request.number, None)

    def set_timer(self, at: float, token: int) -> None:
        """Post `Fired` with this token once `clock` has reached `at`."""
        # The loop counts whole milliseconds from a cached clock and may fire some of them early, so `fire`
        # checks the time.
        delay = math.ceil((at - self.clock()) * 1000) / 1000
        self.loop.call_later(max(0.001, delay), self.fire, at, token)

    def fire(self, at: float, token: int) -> None:
        """Post `Fired`, or set the timer again if it has fired early."""
        if self.clock() < at:
            self.set_timer(at, token)
        else:
            self.post(i.Fired(token))
