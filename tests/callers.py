"""Calls of operators and clients to nodes that are real processes, and which answers are correct."""

from __future__ import annotations

import http.client
import itertools
import json
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from hazelspring.cli.control_client import CallError, call_until_settled, problem_of
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration

UNCLEAR = (0, 503)  # no answer, or one that leaves open whether the call took effect
version_numbers = itertools.count(10)


def core_nodes(fleet: LocalFleet) -> list[int]:
    return [n for n in fleet.remaining_nodes() if n in fleet.disks]


def other_nodes(fleet: LocalFleet) -> list[int]:
    return [n for n in fleet.remaining_nodes() if n not in fleet.disks]


def control_addresses(
    fleet: LocalFleet, nodes: Sequence[int] | None = None, but: Sequence[int] = ()
) -> list[str]:
    return [
        fleet.control_addresses()[n]
        for n in (fleet.remaining_nodes() if nodes is None else nodes)
        if n not in but
    ]


class PendingCall:
    """A call that was sent; `end` reads its answer.  Status 0 means that there was none."""

    def __init__(
        self, address: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> None:
        host, _, port = address.rpartition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=6)
        self.status, self.body, self.headers, self.ended = 0, b"", dict[str, str](), False
        try:
            self.connection.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        except OSError:
            self.ended = True

    def end(self) -> PendingCall:
        if not self.ended:
            self.ended = True
            try:
                answer = self.connection.getresponse()
                self.headers = {key.lower(): value for key, value in answer.getheaders()}
                self.body = answer.read()
                self.status = answer.status
            except (OSError, http.client.HTTPException):
                self.status = 0
        self.connection.close()
        return self

    def __repr__(self) -> str:
        return f"{self.status} {problem_of(self.body)}"


def send_put(fleet: LocalFleet, n: int, body: bytes) -> PendingCall:
    return PendingCall(fleet.control_addresses()[n], "PUT", "/-/configuration", body)


def send_read(fleet: LocalFleet, n: int) -> PendingCall:
    return PendingCall(fleet.control_addresses()[n], "GET", "/-/configuration")


def send_request(
    fleet: LocalFleet, n: int, method: str, path: str, id_: str, key: str = KEY, remaining_ms: int = 1500
) -> PendingCall:
    return PendingCall(
        f"{fleet.ips[n]}:{fleet.front}",
        method,
        path,
        b"" if method == "POST" else None,
        Host="shop.example",
        X_Hazelspring_Attempt_Id=id_,
        Authorization=f"Bearer {key}",
        X_Hazelspring_Remaining_Milliseconds=str(remaining_ms),
    )


def node_status(fleet: LocalFleet, n: int) -> Any:
    """Return the status that a node reports; empty if it does not answer."""
    got = PendingCall(fleet.control_addresses()[n], "GET", "/-/status").end()
    return json.loads(got.body) if got.status == 200 else {}


def number_in(answer: PendingCall) -> int:
    return int(json.loads(answer.body)["versionNumber"][1:])


def is_number_taken(answer: PendingCall) -> bool:
    return answer.status == 409 and json.loads(answer.body)["code"] == "number_taken"


def other_body(number: int, *keys: str) -> bytes:
    """Return another body with the same version number."""
    return configuration(number, timeout_ms=3999, keys=(KEY, *keys))


@dataclass
class NodeProbe:
    """Calls of operators and clients to a node that was unreachable, of all kinds and all sent at once."""

    fleet: LocalFleet
    n: int
    number: int  # acknowledged by other nodes in the meantime, with the key `new-key` and without `old-key`
    id_prefix: str  # of the attempt ids
    sent: dict[str, PendingCall] = field(default_factory=dict)

    def send(self) -> NodeProbe:
        return self.send_read().send_changes().send_keys()

    def send_read(self) -> NodeProbe:
        self.sent["read"] = send_read(self.fleet, self.n)
        return self

    def send_changes(self) -> NodeProbe:
        fleet, n, number = self.fleet, self.n, self.number
        self.sent |= {
            "same": send_put(fleet, n, configuration(number, keys=(KEY, "new-key"))),
            "other": send_put(fleet, n, other_body(number)),
            "close": PendingCall(fleet.control_addresses()[n], "POST", "/-/evacuation/south-2"),
        }
        return self

    def send_keys(self) -> NodeProbe:
        """Send requests with each key; no message may have reached the node for the time of a revocation."""
        for key in ("old-key", "new-key", KEY):
            id_ = f"{self.id_prefix}-{self.n}-{key}"
            self.sent[key] = send_request(self.fleet, self.n, "GET", f"/read/{self.id_prefix}", id_, key)
        return self

    def check_answers(self, may_settle: bool = True, may_learn: bool = True) -> None:
        """Check each answer.

        `may_settle`: whether calls at this node may take effect.  `may_learn`: whether the node may know what
        the other nodes decided.
        """
        for name, sent in self.sent.items():
            got = sent.end()
            if name == "read":
                is_correct = got.status == 200 and may_settle and number_in(got) >= self.number
            elif name == "same":
                is_correct = got.status == 200 and may_learn
            elif name == "other":
                is_correct = is_number_taken(got) and may_learn
            elif name == "close":
                is_correct = got.status == 200 and may_settle
            elif name == "old-key":
                is_correct = got.status == 401
            else:
                is_correct = got.status == 200 or got.status > 500
            assert is_correct or got.status in UNCLEAR, (self.id_prefix, self.n, name, got)
        # every node must show a zone whose evacuation was confirmed
        if "close" in self.sent and self.sent["close"].status == 200:
            for n in self.fleet.remaining_nodes():
                self.fleet.wait_until(
                    lambda n=n: "south-2" in node_status(self.fleet, n).get("closedZones", ())
                )

    def reopen(self) -> None:
        """End the evacuation at every node, as a call with an unclear outcome may have taken effect, too."""
        call_until_settled(control_addresses(self.fleet), "DELETE", "/-/evacuation/south-2")
        for n in self.fleet.remaining_nodes():
            self.fleet.wait_until(lambda n=n: node_status(self.fleet, n).get("closedZones") == [])


def add_old_key(fleet: LocalFleet, nodes: Sequence[int]) -> None:
    """Put a configuration with the key `old-key`; wait until these nodes accept the key."""
    call_until_settled(
        control_addresses(fleet),
        "PUT",
        "/-/configuration",
        configuration(next(version_numbers), keys=(KEY, "old-key")),
    )
    marks = itertools.count()
    for n in nodes:
        fleet.wait_until(
            lambda n=n: (
                send_request(fleet, n, "GET", "/read/a", f"g{n}-{next(marks)}", "old-key").end().status == 200
            )
        )


def replace_old_key(fleet: LocalFleet, without: Sequence[int]) -> int:
    """Replace `old-key` by `new-key` without the help of these nodes; return the configuration's number."""
    number = next(version_numbers)
    body = configuration(number, keys=(KEY, "new-key"))
    call_until_settled(control_addresses(fleet, but=without), "PUT", "/-/configuration", body)
    return number


def is_confirmed(nodes: Sequence[str], body: bytes) -> bool:
    """Whether a body is confirmed; the only other correct answer is that its number has another body."""
    try:
        return call_until_settled(nodes, "PUT", "/-/configuration", body).status == 200
    except CallError as error:
        assert error.code == "refused" and "409 number_taken" in str(error), error
        return False


def write_links(fleet: LocalFleet, n: int, delays: dict[str, str]) -> None:
    """Drop or delay what a node receives: `delays` has seconds, or '' to drop, by the sender's address.

    tests/cut_node.py reads the file.
    """
    path = fleet.folder / f"node-{n + 1}.cut"
    path.with_suffix(".new").write_text("".join(f"{ip} {delay}\n" for ip, delay in delays.items()))
    path.with_suffix(".new").rename(path)


def cut_off(fleet: LocalFleet, n: int, ways: str) -> None:
    """Cut a node off from all others: both ways, or only what it receives (`in`) or sends (`out`)."""
    others = [other for other in fleet.remaining_nodes() if other != n]
    if ways in ("both", "in"):
        write_links(fleet, n, {fleet.ips[other]: "" for other in others})
    for other in others if ways in ("both", "out") else ():
        write_links(fleet, other, {fleet.ips[n]: ""})


def restore_links(fleet: LocalFleet) -> None:
    for path in fleet.folder.glob("*.cut"):
        path.unlink()


class Operators:
    """Threads that put one configuration after another until `stop`; each must be confirmed.

    `make` returns the configuration of a number.
    """

    def __init__(
        self,
        nodes: Callable[[], list[str]],
        count: int = 3,
        make: Callable[[int], bytes] = configuration,
    ) -> None:
        self.nodes, self.make, self.stopped = nodes, make, threading.Event()
        self.highest, self.confirmed, self.failed = 0, 0, list[str]()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        while not self.stopped.is_set():
            nodes, number = self.nodes(), next(version_numbers)
            n += 1
            try:
                call_until_settled(
                    nodes[n % len(nodes) :] + nodes[: n % len(nodes)],
                    "PUT",
                    "/-/configuration",
                    self.make(number),
                )
            except CallError as error:
                self.failed.append(str(error))
                return
            self.highest, self.confirmed = max(self.highest, number), self.confirmed + 1

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def is_write(id_: str) -> bool:
    """Whether a request of `Clients` is a write; one in four is a read."""
    return int(id_[2:]) % 4 != 0


class Clients:
    """Threads that send writes and reads, each once, to all nodes in turn over persistent connections.

    With `open_reads`, reads are sent on the route that needs no access key.
    """

    def __init__(self, fleet: LocalFleet, count: int = 8, open_reads: bool = False) -> None:
        self.fleet, self.stopped = fleet, threading.Event()
        self.read_path = "open" if open_reads else "read"
        self.statuses: dict[str, int] = {}  # status by attempt id
        self.nodes: dict[str, int] = {}  # the node that got the request, by attempt id
        self.mismatched_answers: list[str] = []
        self.ids = itertools.count()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        nodes = self.fleet.remaining_nodes()
        connections: dict[int, http.client.HTTPConnection] = {}
        while not self.stopped.is_set():
            n += 1
            node, id_ = nodes[n % len(nodes)], f"c-{next(self.ids)}"
            self.nodes[id_] = node
            method = "POST" if is_write(id_) else "GET"
            path = f"/{self.read_path if method == 'GET' else 'write'}/{id_}"
            if node not in connections:
                connections[node] = http.client.HTTPConnection(
                    self.fleet.ips[node], self.fleet.front, timeout=6
                )
            headers = {
                "Host": "shop.example", "X-Hazelspring-Attempt-Id": id_, "Authorization": f"Bearer {KEY}",
                "X-Hazelspring-Remaining-Milliseconds": "800",
            }  # fmt: skip
            try:
                connections[node].request(method, path, b"" if method == "POST" else None, headers)
                answer = connections[node].getresponse()
                body, status = answer.read().decode(), answer.status
                answered_id = answer.getheader("X-Hazelspring-Attempt-Id", id_ if status != 200 else "")
                if answered_id != id_ or (status == 200 and body.split()[1:3] != [method, path]):
                    self.mismatched_answers.append(f"{status} {answered_id} {body} for {method} {path}")
            except (OSError, http.client.HTTPException):
                status = 0
                connections.pop(node).close()
            self.statuses[id_] = status
        for connection in connections.values():
            connection.close()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()
