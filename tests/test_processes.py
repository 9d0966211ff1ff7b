"""Failures of real processes: kills, a suspended node, a wiped disk, lost answers.

Each test must give the same result in every run.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from hazelspring.cli.__main__ import main as hazelspringctl
from hazelspring.cli.control_client import CallError, call_once, call_until_settled
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import KEY, LocalFleet, configuration, free_ports
from hazelspring.localfleet.stand_ins import StandIns


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    made = LocalFleet(tmp_path_factory.mktemp("fleet"))
    background = BackgroundStandIns(StandIns(made.platform, made.servers))
    try:
        made.start_all(first=True)
        call_until_settled(made.control_addresses(), "PUT", "/-/configuration", configuration(1), 30.0)
        made.wait_until(
            lambda: all(made.request(n, "GET", "/read/a", f"first-{n}")[0] == 200 for n in range(6))
        )
        yield made
    finally:
        made.close()
        background.close()


def status(fleet: LocalFleet, n: int) -> Any:
    """A node's status, empty while it does not answer."""
    try:
        return json.loads(call_once(fleet.control_addresses()[n], "GET", "/-/status", None, 2).body)
    except OSError:
        return {}


def configuration_number(fleet: LocalFleet, n: int) -> int:
    answer = call_until_settled([fleet.control_addresses()[n]], "GET", "/-/configuration")
    return int(json.loads(answer.body)["versionNumber"][1:])


def test_a_killed_node_with_a_wiped_disk_catches_up_and_is_a_member_again(fleet: LocalFleet) -> None:
    fleet.kill(1)
    fleet.wipe(1)
    call_until_settled([fleet.control_addresses()[4]], "PUT", "/-/configuration", configuration(7))
    fleet.start(1)
    fleet.wait_until(lambda: status(fleet, 1).get("member"))
    assert configuration_number(fleet, 1) == 7
    fleet.wait_until(lambda: fleet.request(1, "GET", "/read/a", "after-wipe")[0] == 200)


def metrics(fleet: LocalFleet, n: int) -> dict[str, float]:
    """A node's metrics, by name and labels."""
    text = call_once(fleet.control_addresses()[n], "GET", "/-/metrics", None, 2).body.decode()
    return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in text.splitlines())}


def test_the_metrics_show_a_single_list_reader_and_the_servers_known_to_each_node(
    fleet: LocalFleet,
) -> None:
    def readers() -> list[dict[str, float]]:
        """The nodes that hold the list reader's lease and have read the list; a new holder has not yet."""
        found = [metrics(fleet, n) for n in range(6)]
        return [
            one
            for one in found
            if one["hazelspring_list_reader"] and one['hazelspring_list_reads_total{result="read"}']
        ]

    fleet.wait_until(lambda: len(readers()) == 1)
    (reader,) = readers()
    assert reader["hazelspring_list_read_ago_seconds"] < 5
    for one in [metrics(fleet, n) for n in range(6)]:
        assert one['hazelspring_servers{service="shop",state="accepting"}'] == 4
        assert one['hazelspring_server_table_version{service="shop"}'] > 0


def test_metrics_are_served_on_a_separate_port_and_a_node_whose_port_is_in_use_serves_without_it(
    tmp_path: Path,
) -> None:
    (wanted,) = free_ports(1)
    program = ("-m", "hazelspring.daemon", "serve", "--metrics-port", str(wanted))
    fleet = LocalFleet(tmp_path, core=1, others=1, servers=1, program=program, nth=5)
    background = BackgroundStandIns(StandIns(fleet.platform, fleet.servers))
    with socket.socket() as taken:
        taken.bind((fleet.ips[1], wanted))
        taken.listen()
        try:
            fleet.start_all(first=True)
            call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), 30.0)
            fleet.wait_until(lambda: fleet.is_ready(0) and fleet.is_ready(1))
            found = call_once(f"{fleet.ips[0]}:{wanted}", "GET", "/-/metrics", None, 2)
            assert found.status == 200 and b"hazelspring_list_reader 1" in found.body
            assert call_once(f"{fleet.ips[0]}:{wanted}", "PUT", "/-/configuration", b"", 2).status == 405
        finally:
            fleet.close()
            background.close()


def test_a_disk_that_cannot_be_read_is_not_taken_for_an_empty_one(fleet: LocalFleet) -> None:
    fleet.wait_until(lambda: status(fleet, 1).get("member"))
    before = status(fleet, 1)["version"]
    file = fleet.folder / "node-2" / "comb.sqlite"
    fleet.kill(1)
    file.rename(file.with_name("kept"))
    file.mkdir()  # the store cannot be opened
    fleet.start(1)
    fleet.wait_until(lambda: fleet.request(1, "GET", "/read/a", "without-disk")[0] == 200)
    assert not status(fleet, 1)["member"]
    file.rmdir()
    file.with_name("kept").rename(file)
    fleet.wait_until(lambda: status(fleet, 1).get("member"))
    assert status(fleet, 1)["version"] == before  # it is still a member: no new state had to be agreed on


def test_all_processes_are_killed_at_once_and_nothing_is_lost(fleet: LocalFleet) -> None:
    call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(9))
    call_until_settled(fleet.control_addresses(), "POST", "/-/evacuation/south-1")
    for n in range(6):
        fleet.kill(n)
    fleet.start_all()
    fleet.wait_until(lambda: all(fleet.is_ready(n) for n in range(6)))
    found = status(fleet, 5)
    assert found["configuration"] == 9 and found["closedZones"] == ["south-1"]
    call_until_settled(fleet.control_addresses(), "DELETE", "/-/evacuation/south-1")
    fleet.wait_until(lambda: all(fleet.request(n, "GET", "/read/a", f"back-{n}")[0] == 200 for n in range(6)))


def test_a_node_that_was_suspended_refuses_a_key_that_was_removed_meanwhile(fleet: LocalFleet) -> None:
    call_until_settled(
        fleet.control_addresses(), "PUT", "/-/configuration", configuration(11, keys=(KEY, "leaving"))
    )
    fleet.wait_until(lambda: fleet.request(5, "GET", "/read/a", "before", "leaving")[0] == 200)
    process = fleet.processes[5]
    process.send_signal(signal.SIGSTOP)
    call_until_settled(fleet.control_addresses()[:5], "PUT", "/-/configuration", configuration(12))
    fleet.wait_until(
        lambda: all(fleet.request(n, "GET", "/read/a", f"gone-{n}", "leaving")[0] == 401 for n in range(5))
    )
    process.send_signal(signal.SIGCONT)
    fleet.wait_until(lambda: fleet.request(5, "GET", "/read/a", "after", "leaving")[0] == 401)
    assert fleet.request(5, "GET", "/read/a", "after", KEY)[0] == 200


def test_a_write_whose_answer_is_lost_is_executed_once_and_answered_with_502(fleet: LocalFleet) -> None:
    for server in fleet.servers:
        server.drops_answers = True
    found, _ = fleet.request(0, "POST", "/write/a", "lost-1")
    for server in fleet.servers:
        server.drops_answers = False
    assert found == 502
    assert sum(server.executions["lost-1"] for server in fleet.servers) == 1


def send(fleet: LocalFleet, n: int, *lines: str) -> int:
    """Send a request of these lines, and return the status of its answer."""
    with socket.create_connection((fleet.ips[n], fleet.front), 5) as connection:
        connection.sendall("\r\n".join((*lines, "Connection: close", "", "")).encode())
        return int(connection.makefile("rb").readline().split()[1])


def test_which_requests_and_headers_are_forwarded_to_a_server(fleet: LocalFleet) -> None:
    good = ("Host: shop.example:80", "X-Hazelspring-Attempt-Id: raw-1", f"Authorization: Bearer {KEY}")
    forged = (
        "X-Hazelspring-Tenant-Name: other",
        "X-Hazelspring-Expected-Instance: i-0",
        "X-Mine: kept",
        "Connection: x-hop",
        "X-Hop: 1",
    )
    assert send(fleet, 0, "GET /read/a/../b?q=%20 HTTP/1.1", *good, *forged) == 200
    (seen,) = [
        server.last_headers
        for server in fleet.servers
        if server.last_headers.get("x-hazelspring-attempt-id") == "raw-1"
    ]
    assert seen[""] == "GET /read/a/../b?q=%20 " and seen["x-hazelspring-tenant-name"] == "green"
    assert seen["x-mine"] == "kept" and not {"authorization", "x-hop", "connection"} & set(seen)
    assert send(fleet, 0, "GET /read/a HTTP/1.1", *good, good[1]) == 400  # the attempt id occurs twice
    assert send(fleet, 0, "GET /none/a HTTP/1.1", *good) == 404
    assert send(fleet, 0, "GET /read/a HTTP/1.1", *good[:2], "Authorization: Bearer wrong") == 401
    assert send(fleet, 0, "GET /read/a HTTP/1.1", good[0], good[2]) == 400  # no attempt id
    assert send(fleet, 0, "GET /read/a HTTP/1.1", *good, "X-Hazelspring-Remaining-Milliseconds: soon") == 400
    assert send(fleet, 0, "GET /read/a HTTP/1.1", *good, "X-Big: " + "x" * 20_000) == 431


def test_a_node_drains_after_sigterm_and_exits_with_status_0(fleet: LocalFleet) -> None:
    process = fleet.processes[4]
    process.send_signal(signal.SIGTERM)
    fleet.wait_until(lambda: not fleet.is_ready(4))
    assert fleet.request(4, "GET", "/read/a", "late")[0] in (200, 0)
    assert process.wait(10) == 0
    fleet.start(4)
    fleet.wait_until(lambda: fleet.is_ready(4))


def test_requests_in_progress_when_their_node_is_stopped_are_answered_and_executed_once(
    fleet: LocalFleet,
) -> None:
    for server in fleet.servers:
        server.work_seconds = 2.0  # longer than a draining node continues to listen
    found: list[tuple[int, bytes]] = []
    calls = [
        threading.Thread(target=lambda call=call: found.append(fleet.request(4, *call)))
        for call in (("POST", "/write/a", "held-w"), ("POST", "/write/b", "held-v"))
    ]
    for one in calls:
        one.start()
    fleet.wait_until(lambda: sum(server.busy for server in fleet.servers) == 2)
    for server in fleet.servers:
        server.work_seconds = 0.01
    fleet.processes[4].send_signal(signal.SIGTERM)
    for one in calls:
        one.join()
    assert [answered for answered, _ in found] == [200, 200] and fleet.processes[4].wait(10) == 0
    assert sum(server.executions[name] for server in fleet.servers for name in ("held-w", "held-v")) == 2
    fleet.start(4)
    fleet.wait_until(lambda: fleet.is_ready(4))


def test_a_draining_node_exits_only_after_its_last_answer_has_been_read(fleet: LocalFleet) -> None:
    for server in fleet.servers:
        server.padding_bytes = 100_000
    with socket.socket() as connection:
        connection.settimeout(10)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        # small segments limit how much of the answer the node's kernel buffers, too
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        connection.connect((fleet.ips[4], fleet.front))
        head = f"GET /read/a HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer {KEY}\r\n"
        connection.sendall(f"{head}X-Hazelspring-Attempt-Id: slow-1\r\n\r\n".encode())
        answer = connection.makefile("rb")
        assert answer.readline().split()[1] == b"200"
        for server in fleet.servers:
            server.padding_bytes = 0
        process = fleet.processes[4]
        process.send_signal(signal.SIGTERM)
        fleet.wait_until(
            lambda: fleet.request(4, "GET", "/read/a", "refused")[0] == 0
        )  # it no longer listens
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(0.5)
        length = 0
        while (line := answer.readline().strip().lower()) != b"":
            length = int(line.split()[1]) if line.startswith(b"content-length") else length
        assert len(answer.read(length)) == length > 100_000
    assert process.wait(10) == 0
    fleet.start(4)
    fleet.wait_until(lambda: fleet.is_ready(4))


def test_settings_are_read_again_with_and_without_a_signal(fleet: LocalFleet) -> None:
    log, path = fleet.folder / "node-6.log", fleet.folder / "node-6.conf"
    text = path.read_text()
    seeds = f"network.seedNodes={fleet.control_addresses()[3]}"
    path.write_text(text + seeds + "\n")
    fleet.wait_until(lambda: f"uses new settings seeds={fleet.ips[3]}" in log.read_text())
    path.write_text(text.replace("thisDoor.zone=", "thisDoor.zoned="))
    fleet.processes[5].send_signal(signal.SIGHUP)
    fleet.wait_until(lambda: "cannot be used problem=thisDoor.zone" in log.read_text())
    path.write_text(text)
    assert fleet.request(5, "GET", "/read/a", "after-settings")[0] == 200


@pytest.mark.parametrize("source", ["--node", "--door", "HAZELSPRING_NODES", "HAZELSPRING_DOORS"])
def test_hazelspringctl_takes_node_addresses_from_each_option_and_variable(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], source: str
) -> None:
    monkeypatch.delenv("HAZELSPRING_NODES", raising=False)
    monkeypatch.delenv("HAZELSPRING_DOORS", raising=False)
    first, second = fleet.control_addresses()[:2]
    assert hazelspringctl(["status"]) == 2 and "no node: use --node" in capsys.readouterr().err
    options = [source, first, source, second]
    if source.startswith("HAZELSPRING"):
        monkeypatch.setenv(source, f"{first},{second}")
        options = []
    fleet.wait_until(lambda: all(len(status(fleet, n).get("doors", ())) == len(fleet.ips) for n in (0, 1)))
    fleet.wait_until(lambda: hazelspringctl([*options, "status"]) == 0)
    lines = capsys.readouterr().out.splitlines()[-2:]
    assert [line.split()[:3] for line in lines] == [[first, "node-1", "ready"], [second, "node-2", "ready"]]
    assert all(f"  nodes {len(fleet.ips)}  closed " in line for line in lines)


def test_hazelspring_nodes_has_precedence_over_hazelspring_doors(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    first, second = fleet.control_addresses()[:2]
    monkeypatch.setenv("HAZELSPRING_NODES", first)
    monkeypatch.setenv("HAZELSPRING_DOORS", second)
    fleet.wait_until(lambda: hazelspringctl(["status"]) == 0)
    assert capsys.readouterr().out.splitlines()[-1].startswith(f"{first}  node-1  ready")


def test_the_commands_of_hazelspringctl(
    fleet: LocalFleet, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    nodes = [part for node in fleet.control_addresses() for part in ("--door", node)]
    good, bad, out = tmp_path / "good.json", tmp_path / "bad.json", tmp_path / "out.json"
    good.write_bytes(configuration(20))
    bad.write_bytes(configuration(21)[:-20])
    assert hazelspringctl([*nodes, "put", str(good)]) == 0
    assert hazelspringctl([*nodes, "put", str(bad)]) == 1 and "not JSON" in capsys.readouterr().err
    assert hazelspringctl([*nodes, "check", str(bad)]) == 1
    assert hazelspringctl([*nodes, "get", "--out", str(out)]) == 0 and out.read_bytes() == good.read_bytes()
    assert hazelspringctl([*nodes, "evacuate", "nowhere"]) == 1 and "no_such_zone" in capsys.readouterr().err
    fleet.wait_until(lambda: hazelspringctl([*nodes, "status"]) == 0)
    assert "configuration 20" in capsys.readouterr().out
    with pytest.raises(CallError, match="not settled"):
        call_until_settled([f"{fleet.ips[0]}:1"], "GET", "/-/configuration", patience=0.2)
    assert os.path.exists(fleet.folder / "node-1" / "comb.sqlite")
