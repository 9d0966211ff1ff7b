"""What operators and clients send to several real processes, and which answers are correct; for tests alone."""

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
numbers = itertools.count(10)


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
    """A call that has been sent and may wait at a node; its answer is read later.  Status 0: there was none."""

    def __init__(
        self, address: str, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> None:
        host, _, port = address.rpartition(":")
        self.wire = http.client.HTTPConnection(host, int(port), timeout=6)
        self.status, self.body, self.headers, self.over = 0, b"", dict[str, str](), False
        try:
            self.wire.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        except OSError:
            self.over = True

    def end(self) -> PendingCall:
        if not self.over:
            self.over = True
            try:
                answer = self.wire.getresponse()
                self.headers = {key.lower(): value for key, value in answer.getheaders()}
                self.body = answer.read()
                self.status = answer.status
            except (OSError, http.client.HTTPException):
                self.status = 0
        self.wire.close()
        return self

    def __repr__(self) -> str:
        return f"{self.status} {problem_of(self.body)}"


def send_put(fleet: LocalFleet, n: int, body: bytes) -> PendingCall:
    return PendingCall(fleet.control_addresses()[n], "PUT", "/-/configuration", body)


def send_read(fleet: LocalFleet, n: int) -> PendingCall:
    return PendingCall(fleet.control_addresses()[n], "GET", "/-/configuration")


def send_request(
    fleet: LocalFleet, n: int, method: str, path: str, id_: str, key: str = KEY, left: int = 1500
) -> PendingCall:
    return PendingCall(
        f"{fleet.ips[n]}:{fleet.front}",
        method,
        path,
        b"" if method == "POST" else None,
        Host="shop.example",
        X_Hazelspring_Attempt_Id=id_,
        Authorization=f"Bearer {key}",
        X_Hazelspring_Remaining_Milliseconds=str(left),
    )


def node_status(fleet: LocalFleet, n: int) -> Any:
    """A node's own status; empty while it does not answer."""
    got = PendingCall(fleet.control_addresses()[n], "GET", "/-/status").end()
    return json.loads(got.body) if got.status == 200 else {}


def number_in(answer: PendingCall) -> int:
    return int(json.loads(answer.body)["versionNumber"][1:])


def is_number_taken(answer: PendingCall) -> bool:
    return answer.status == 409 and json.loads(answer.body)["code"] == "number_taken"


def other_body(number: int, *keys: str) -> bytes:
    """Another body under a number."""
    return configuration(number, timeout_ms=3999, keys=(KEY, *keys))


@dataclass
class NodeProbe:
    """All calls of operators and clients to a node that was unreachable, sent at once."""

    fleet: LocalFleet
    n: int
    number: int  # acknowledged elsewhere meanwhile, with the key `coming` and without the key `leaving`
    mark: str
    sent: dict[str, PendingCall] = field(default_factory=dict)

    def send(self) -> NodeProbe:
        return self.send_read().send_changes().send_keys()

    def send_read(self) -> NodeProbe:
        self.sent["read"] = send_read(self.fleet, self.n)
        return self

    def send_changes(self) -> NodeProbe:
        fleet, n, number = self.fleet, self.n, self.number
        self.sent |= {
            "same": send_put(fleet, n, configuration(number, keys=(KEY, "coming"))),
            "other": send_put(fleet, n, other_body(number)),
            "close": PendingCall(fleet.control_addresses()[n], "POST", "/-/evacuation/south-2"),
        }
        return self

    def send_keys(self) -> NodeProbe:
        """Requests with keys, to a node that has heard nobody for longer than a revocation may take."""
        for key in ("leaving", "coming", KEY):
            id_ = f"{self.mark}-{self.n}-{key}"
            self.sent[key] = send_request(self.fleet, self.n, "GET", f"/read/{self.mark}", id_, key)
        return self

    def judge(self, settles: bool = True, hears: bool = True) -> None:
        """Check each answer.

        `settles`: calls that this node takes in may take effect.  `hears`: it may have learnt what others decided.
        """
        for name, sent in self.sent.items():
            got = sent.end()
            if name == "read":
                due = got.status == 200 and settles and number_in(got) >= self.number
            elif name == "same":
                due = got.status == 200 and hears
            elif name == "other":
                due = is_number_taken(got) and hears
            elif name == "close":
                due = got.status == 200 and settles
            elif name == "leaving":
                due = got.status == 401
            else:
                due = got.status == 200 or got.status > 500
            assert due or got.status in UNCLEAR, (self.mark, self.n, name, got)
        if "close" in self.sent and self.sent["close"].status == 200:  # then it is so at every node
            for n in self.fleet.remaining_nodes():
                self.fleet.wait_until(
                    lambda n=n: "south-2" in node_status(self.fleet, n).get("closedZones", ())
                )

    def reopen(self) -> None:
        """End the evacuation at every node: a call whose outcome was unclear may have taken effect, too."""
        call_until_settled(control_addresses(self.fleet), "DELETE", "/-/evacuation/south-2")
        for n in self.fleet.remaining_nodes():
            self.fleet.wait_until(lambda n=n: node_status(self.fleet, n).get("closedZones") == [])


def give_keys(fleet: LocalFleet, nodes: Sequence[int]) -> None:
    """Wait until these nodes accept the key `leaving`."""
    call_until_settled(
        control_addresses(fleet),
        "PUT",
        "/-/configuration",
        configuration(next(numbers), keys=(KEY, "leaving")),
    )
    marks = itertools.count()
    for n in nodes:
        fleet.wait_until(
            lambda n=n: (
                send_request(fleet, n, "GET", "/read/a", f"g{n}-{next(marks)}", "leaving").end().status == 200
            )
        )


def change_keys(fleet: LocalFleet, without: Sequence[int]) -> int:
    number = next(numbers)
    body = configuration(number, keys=(KEY, "coming"))
    call_until_settled(control_addresses(fleet, but=without), "PUT", "/-/configuration", body)
    return number


def is_confirmed(nodes: Sequence[str], body: bytes) -> bool:
    """Whether a body is confirmed; the only other correct answer is that another body has its number."""
    try:
        return call_until_settled(nodes, "PUT", "/-/configuration", body).status == 200
    except CallError as error:
        assert error.code == "refused" and "409 number_taken" in str(error), error
        return False


def write_links(fleet: LocalFleet, n: int, lines: dict[str, str]) -> None:
    """Drop or delay what a node receives from other addresses: see tests/cut_node.py."""
    path = fleet.folder / f"node-{n + 1}.cut"
    path.with_suffix(".new").write_text("".join(f"{ip} {late}\n" for ip, late in lines.items()))
    path.with_suffix(".new").rename(path)


def cut_off(fleet: LocalFleet, n: int, ways: str) -> None:
    """Cut a node off from all others: in both directions, or only what it receives (`in`) or sends (`out`)."""
    others = [other for other in fleet.remaining_nodes() if other != n]
    if ways in ("both", "in"):
        write_links(fleet, n, {fleet.ips[other]: "" for other in others})
    for other in others if ways in ("both", "out") else ():
        write_links(fleet, other, {fleet.ips[n]: ""})


def restore_links(fleet: LocalFleet) -> None:
    for path in fleet.folder.glob("*.cut"):
        path.unlink()


class Operators:
    """Configurations sent one after another by several threads until `stop`; each must be confirmed."""

    def __init__(self, nodes: Callable[[], list[str]], count: int = 3) -> None:
        self.nodes, self.stopped = nodes, threading.Event()
        self.highest, self.confirmed, self.failed = 0, 0, list[str]()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        while not self.stopped.is_set():
            nodes, number = self.nodes(), next(numbers)
            n += 1
            try:
                call_until_settled(
                    nodes[n % len(nodes) :] + nodes[: n % len(nodes)],
                    "PUT",
                    "/-/configuration",
                    configuration(number),
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
    """Writes and reads, each sent once, to all nodes in turn; a connection is kept as long as it works."""

    def __init__(self, fleet: LocalFleet, count: int = 8) -> None:
        self.fleet, self.stopped = fleet, threading.Event()
        self.ends: dict[str, int] = {}  # status by attempt id
        self.nodes: dict[str, int] = {}  # the node that was asked, by attempt id
        self.foreign: list[str] = []
        self.ids = itertools.count()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        nodes = self.fleet.remaining_nodes()
        wires: dict[int, http.client.HTTPConnection] = {}
        while not self.stopped.is_set():
            n += 1
            node, id_ = nodes[n % len(nodes)], f"c-{next(self.ids)}"
            self.nodes[id_] = node
            method = "POST" if is_write(id_) else "GET"
            path = f"/{'read' if method == 'GET' else 'write'}/{id_}"
            if node not in wires:
                wires[node] = http.client.HTTPConnection(self.fleet.ips[node], self.fleet.front, timeout=6)
            headers = {
                "Host": "shop.example", "X-Hazelspring-Attempt-Id": id_, "Authorization": f"Bearer {KEY}",
                "X-Hazelspring-Remaining-Milliseconds": "800",
            }  # fmt: skip
            try:
                wires[node].request(method, path, b"" if method == "POST" else None, headers)
                answer = wires[node].getresponse()
                body, status = answer.read().decode(), answer.status
                given = answer.getheader("X-Hazelspring-Attempt-Id", id_ if status != 200 else "")
                if given != id_ or (status == 200 and body.split()[1:3] != [method, path]):
                    self.foreign.append(f"{status} {given} {body} for {method} {path}")
            except (OSError, http.client.HTTPException):
                status = 0
                wires.pop(node).close()
            self.ends[id_] = status
        for wire in wires.values():
            wire.close()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()
