"""What operators and clients of several real processes send, and what they may be told; for tests alone."""

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

UNCLEAR = (0, 503)  # no answer, or none that says how an order ended
numbers = itertools.count(10)


def core_nodes(yard: LocalFleet) -> list[int]:
    return [n for n in yard.remaining_nodes() if n in yard.disks]


def other_nodes(yard: LocalFleet) -> list[int]:
    return [n for n in yard.remaining_nodes() if n not in yard.disks]


def controls(yard: LocalFleet, nodes: Sequence[int] | None = None, but: Sequence[int] = ()) -> list[str]:
    return [
        yard.control_addresses()[n]
        for n in (yard.remaining_nodes() if nodes is None else nodes)
        if n not in but
    ]


# --- calls that wait in a door's socket ---------------------------------------------------------------------------


class Sent:
    """A call that has been sent; its answer is taken later.  Status 0 where there was none."""

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

    def end(self) -> Sent:
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


def put(yard: LocalFleet, n: int, body: bytes) -> Sent:
    return Sent(yard.control_addresses()[n], "PUT", "/-/configuration", body)


def read(yard: LocalFleet, n: int) -> Sent:
    return Sent(yard.control_addresses()[n], "GET", "/-/configuration")


def ask(yard: LocalFleet, n: int, method: str, path: str, id_: str, key: str = KEY, left: int = 1500) -> Sent:
    return Sent(
        f"{yard.ips[n]}:{yard.front}",
        method,
        path,
        b"" if method == "POST" else None,
        Host="shop.example",
        X_Hazelspring_Attempt_Id=id_,
        Authorization=f"Bearer {key}",
        X_Hazelspring_Remaining_Milliseconds=str(left),
    )


def told(yard: LocalFleet, n: int) -> Any:
    """What a door says of itself; nothing while it does not answer."""
    got = Sent(yard.control_addresses()[n], "GET", "/-/status").end()
    return json.loads(got.body) if got.status == 200 else {}


def number_in(answer: Sent) -> int:
    return int(json.loads(answer.body)["versionNumber"][1:])


def taken(answer: Sent) -> bool:
    return answer.status == 409 and json.loads(answer.body)["code"] == "number_taken"


def other_body(number: int, *keys: str) -> bytes:
    """Another body under a number."""
    return configuration(number, timeout_ms=3999, keys=(KEY, *keys))


@dataclass
class Questions:
    """All that operators and clients ask a door that was away, sent at once."""

    yard: LocalFleet
    n: int
    number: int  # acknowledged elsewhere meanwhile, with the key `coming` and without the key `leaving`
    mark: str
    sent: dict[str, Sent] = field(default_factory=dict)

    def send(self) -> Questions:
        return self.send_read().send_orders().send_keys()

    def send_read(self) -> Questions:
        self.sent["read"] = read(self.yard, self.n)
        return self

    def send_orders(self) -> Questions:
        yard, n, number = self.yard, self.n, self.number
        self.sent |= {
            "same": put(yard, n, configuration(number, keys=(KEY, "coming"))),
            "other": put(yard, n, other_body(number)),
            "close": Sent(yard.control_addresses()[n], "POST", "/-/evacuation/south-2"),
        }
        return self

    def send_keys(self) -> Questions:
        """Of a door that nothing was heard at for longer than the time for a revocation."""
        for key in ("leaving", "coming", KEY):
            id_ = f"{self.mark}-{self.n}-{key}"
            self.sent[key] = ask(self.yard, self.n, "GET", f"/read/{self.mark}", id_, key)
        return self

    def judge(self, settles: bool = True, hears: bool = True) -> None:
        """`settles`: its own orders may be carried out.  `hears`: it may learn from others what they have settled, and
        say so."""
        for name, sent in self.sent.items():
            got = sent.end()
            if name == "read":
                due = got.status == 200 and settles and number_in(got) >= self.number
            elif name == "same":
                due = got.status == 200 and hears
            elif name == "other":
                due = taken(got) and hears
            elif name == "close":
                due = got.status == 200 and settles
            elif name == "leaving":
                due = got.status == 401
            else:
                due = got.status == 200 or got.status > 500
            assert due or got.status in UNCLEAR, (self.mark, self.n, name, got)
        if "close" in self.sent and self.sent["close"].status == 200:  # then it is so at every door
            for n in self.yard.remaining_nodes():
                self.yard.wait_until(lambda n=n: "south-2" in told(self.yard, n).get("closedZones", ()))

    def reopen(self) -> None:
        """Also an order that was left unclear may be carried out: the zone is open again at every door."""
        call_until_settled(controls(self.yard), "DELETE", "/-/evacuation/south-2")
        for n in self.yard.remaining_nodes():
            self.yard.wait_until(lambda n=n: told(self.yard, n).get("closedZones") == [])


def give_keys(yard: LocalFleet, nodes: Sequence[int]) -> None:
    """Both doors let the key `leaving` in."""
    call_until_settled(
        controls(yard), "PUT", "/-/configuration", configuration(next(numbers), keys=(KEY, "leaving"))
    )
    marks = itertools.count()
    for n in nodes:
        yard.wait_until(
            lambda n=n: ask(yard, n, "GET", "/read/a", f"g{n}-{next(marks)}", "leaving").end().status == 200
        )


def change_keys(yard: LocalFleet, without: Sequence[int]) -> int:
    number = next(numbers)
    body = configuration(number, keys=(KEY, "coming"))
    call_until_settled(controls(yard, but=without), "PUT", "/-/configuration", body)
    return number


def settle(nodes: Sequence[str], body: bytes) -> bool:
    """Whether a body is confirmed; else its number is taken, and nothing else is said."""
    try:
        return call_until_settled(nodes, "PUT", "/-/configuration", body).status == 200
    except CallError as error:
        assert error.code == "refused" and "409 number_taken" in str(error), error
        return False


def links(yard: LocalFleet, n: int, lines: dict[str, str]) -> None:
    """What a door hears badly: see tests/cut_door.py."""
    path = yard.folder / f"node-{n + 1}.cut"
    path.with_suffix(".new").write_text("".join(f"{ip} {late}\n" for ip, late in lines.items()))
    path.with_suffix(".new").rename(path)


def cut(yard: LocalFleet, n: int, ways: str) -> None:
    """Cut a door off from all others: in both directions, or only from what it hears (`in`) or says (`out`)."""
    others = [other for other in yard.remaining_nodes() if other != n]
    if ways in ("both", "in"):
        links(yard, n, {yard.ips[other]: "" for other in others})
    for other in others if ways in ("both", "out") else ():
        links(yard, other, {yard.ips[n]: ""})


def mend(yard: LocalFleet) -> None:
    for path in yard.folder.glob("*.cut"):
        path.unlink()


class Operators:
    """Orders one after another from several threads until told to stop; each must be confirmed."""

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
    """Of the calls of `Clients` one in four is a read."""
    return int(id_[2:]) % 4 != 0


class Clients:
    """Writes and reads, each once, at all doors in turn; a connection is kept as long as it works."""

    def __init__(self, yard: LocalFleet, count: int = 8) -> None:
        self.yard, self.stopped = yard, threading.Event()
        self.ends: dict[str, int] = {}  # status by attempt id
        self.nodes: dict[str, int] = {}  # the door that was asked, by attempt id
        self.foreign: list[str] = []
        self.ids = itertools.count()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, n: int) -> None:
        nodes = self.yard.remaining_nodes()
        wires: dict[int, http.client.HTTPConnection] = {}
        while not self.stopped.is_set():
            n += 1
            node, id_ = nodes[n % len(nodes)], f"c-{next(self.ids)}"
            self.nodes[id_] = node
            method = "POST" if is_write(id_) else "GET"
            path = f"/{'read' if method == 'GET' else 'write'}/{id_}"
            if node not in wires:
                wires[node] = http.client.HTTPConnection(self.yard.ips[node], self.yard.front, timeout=6)
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
