"""The control plane's five guarantees, checked by the answers of real processes during faults."""

from __future__ import annotations

import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Iterator

import pytest

from hazelspring.cli.control_client import call_until_settled
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import ZONES, LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

from .callers import (
    UNCLEAR,
    Clients,
    NodeProbe,
    Operators,
    PendingCall,
    add_old_key,
    control_addresses,
    core_nodes,
    cut_off,
    is_confirmed,
    is_number_taken,
    is_write,
    node_status,
    number_in,
    other_body,
    other_nodes,
    replace_old_key,
    restore_links,
    send_put,
    send_read,
    send_request,
    version_numbers,
    write_links,
)

REVOCATION = 1.5  # seconds: short, so that stops and cuts that last longer than it do not take 20 s
# seconds: longer than REVOCATION, and than a node from which no message arrives stays in the roster
STOP_TIME = 2.0
CATCH_UP, ACKNOWLEDGE = 4.0, 6.0  # seconds: `catchUpS` and `acknowledgeMs` of the users' deployments


@pytest.fixture(scope="module")
def started_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    fleet = LocalFleet(
        tmp_path_factory.mktemp("fleet"),
        program=("-m", "tests.cut_node", "serve"),
        settings={"timingTerms.ruleBounds.revocationMs": str(int(REVOCATION * 1000))},
        apart=True,
    )
    background = BackgroundStandIns(StandIns(fleet.platform, fleet.servers))
    try:
        for n in range(len(fleet.servers)):
            fleet.start_server(n)
        fleet.start_all(first=True)
        call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), 30.0)
        yield fleet
    finally:
        fleet.close()
        background.close()


@pytest.fixture
def fleet(started_fleet: LocalFleet) -> LocalFleet:
    """All nodes run, the core is complete, no link is cut and no zone evacuated, even after a failed test."""
    restore_links(started_fleet)
    for n in started_fleet.remaining_nodes():
        if n not in started_fleet.processes:
            started_fleet.start(n)
        started_fleet.processes[n].send_signal(signal.SIGCONT)
    for zone in ZONES:
        call_until_settled(control_addresses(started_fleet), "DELETE", f"/-/evacuation/{zone}", patience=40)
    members = {started_fleet.ips[n] for n in core_nodes(started_fleet)}
    for n in started_fleet.remaining_nodes():
        started_fleet.wait_until(
            lambda n=n: (
                (status := node_status(started_fleet, n)).get("ready")
                and set(status["core"]) == members
                and status["member"] is (n in started_fleet.disks)
            ),
            40,
        )
    return started_fleet


# 1: contact with a majority


@pytest.mark.parametrize(("at", "delay"), [(0, 0.0), (2, 0.15)])
def test_a_node_that_was_stopped_answers_nothing_outdated_and_settles_nothing_alone(
    fleet: LocalFleet, at: int, delay: float
) -> None:
    """`delay`: seconds that messages take to a far region: a call can arrive between two answers to the node.

    With a delay, changes are sent only after the node serves again, as they would bring it up to date.
    """
    away = [core_nodes(fleet)[at], other_nodes(fleet)[at % 2]]
    add_old_key(fleet, away)
    early = {n: send_read(fleet, n) for n in away}  # may be pending when the node stops
    began = time.monotonic()
    for n in away:
        fleet.processes[n].send_signal(signal.SIGSTOP)
        if delay:
            write_links(
                fleet, n, {fleet.ips[other]: str(delay) for other in fleet.remaining_nodes() if other != n}
            )
    number = replace_old_key(fleet, away)
    probes = [NodeProbe(fleet, n, number, f"w{at}").send_read() for n in away]
    for probe in () if delay else probes:
        probe.send_changes()
    fleet.wait_until(lambda: time.monotonic() - began > STOP_TIME)
    for probe in probes:
        probe.send_keys()  # so late that an older configuration must not admit them any more
    for n in away:
        fleet.processes[n].send_signal(signal.SIGCONT)
    id_numbers, all_probes = itertools.count(), probes
    while any(
        send_request(fleet, n, "GET", "/read/a", f"b{at}-{next(id_numbers)}").end().status != 200
        for n in away
    ):
        all_probes += [
            NodeProbe(fleet, n, number, f"a{at}-{next(id_numbers)}").send_read().send_keys() for n in away
        ]
        if not delay:
            all_probes += [
                NodeProbe(fleet, n, number, f"o{at}-{next(id_numbers)}").send_changes() for n in away
            ]
        assert time.monotonic() - began < STOP_TIME + CATCH_UP
    all_probes += [NodeProbe(fleet, n, number, f"o{at}-{next(id_numbers)}").send() for n in away]
    for probe in all_probes:
        probe.check_answers()
    assert all(sent.end().status in (200, *UNCLEAR) for sent in early.values())
    restore_links(fleet)
    newest = next(version_numbers)
    for n in away:
        assert (
            call_until_settled(
                [fleet.control_addresses()[n]], "PUT", "/-/configuration", configuration(newest)
            ).status
            == 200
        )
    for n in fleet.remaining_nodes():
        answer = call_until_settled([fleet.control_addresses()[n]], "GET", "/-/configuration")
        assert json.loads(answer.body)["versionNumber"] == f"r{newest}"
    all_probes[0].reopen()


@pytest.mark.parametrize("ways", ["both", "in", "out"])
def test_a_core_node_that_is_cut_off_answers_nothing_outdated_and_settles_nothing(
    fleet: LocalFleet, ways: str
) -> None:
    n = core_nodes(fleet)[1]
    add_old_key(fleet, [n])
    cut_off(fleet, n, ways)
    number = replace_old_key(fleet, [n])
    acknowledged = time.monotonic()
    probe = NodeProbe(fleet, n, number, f"cut-{ways}").send_read().send_changes()
    fleet.wait_until(lambda: time.monotonic() - acknowledged > REVOCATION)
    probe.send_keys()  # a key that was just added may be refused for `configurationMs`
    passed_on = [fleet.control_addresses()[n], *control_addresses(fleet, but=[n])]
    began = time.monotonic()
    call_until_settled(passed_on, "POST", "/-/evacuation/south-1")  # another node accepts it
    assert time.monotonic() - began < ACKNOWLEDGE
    probe.check_answers(may_settle=False, may_learn=ways == "out")
    restore_links(fleet)
    after = NodeProbe(fleet, n, number, f"after-{ways}").send()
    after.check_answers()
    call_until_settled([fleet.control_addresses()[n]], "DELETE", "/-/evacuation/south-1")
    after.reopen()


@pytest.mark.parametrize("at", [1, 4])  # a member of the core, and a node without a disk
def test_an_order_that_waited_in_a_stopped_node_is_ignored_once_its_caller_has_left(
    fleet: LocalFleet, at: int
) -> None:
    """It was carried out when the node ran again, after a later order was acknowledged (`review/3`)."""
    stopped, others = at, control_addresses(fleet, but=[at])
    call_until_settled(others, "POST", "/-/evacuation/south-1")
    fleet.processes[stopped].send_signal(signal.SIGSTOP)
    late = PendingCall(fleet.control_addresses()[stopped], "DELETE", "/-/evacuation/south-1")
    put = send_put(fleet, stopped, configuration(next(version_numbers)))
    late.connection.close()
    put.connection.close()
    call_until_settled(others, "DELETE", "/-/evacuation/south-1")
    call_until_settled(others, "POST", "/-/evacuation/south-1")
    fleet.processes[stopped].send_signal(signal.SIGCONT)
    # a change by the stopped node itself comes after whatever it had read before
    last = configuration(next(version_numbers))
    call_until_settled([fleet.control_addresses()[stopped]], "PUT", "/-/configuration", last)
    for n in fleet.remaining_nodes():
        fleet.wait_until(lambda n=n: node_status(fleet, n)["closedZones"] == ["south-1"], 10)
    log = (fleet.folder / f"node-{stopped + 1}.log").read_text()
    assert log.count("api: ignored a command: its caller has left") == 2


# 2: one number, one body


@pytest.mark.parametrize("failure", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize(("one", "two", "moment"), [(0, 3, 0.0), (1, 4, 0.004), (2, 0, 0.012), (5, 1, 0.03)])
def test_of_two_bodies_under_one_number_exactly_one_is_confirmed_for_good(
    fleet: LocalFleet, failure: signal.Signals, one: int, two: int, moment: float
) -> None:
    nodes = [*core_nodes(fleet), *other_nodes(fleet)]
    failing, healthy, number = nodes[one], nodes[two], next(version_numbers)
    bodies = [configuration(number), other_body(number)]
    sent = [send_put(fleet, n, body) for n, body in zip((failing, healthy), bodies, strict=True)]
    time.sleep(moment)  # selects the step that the failure hits; the assertions hold for every step
    fleet.processes[failing].send_signal(failure)
    if failure is signal.SIGKILL:
        fleet.kill(failing)
    good = [is_confirmed(control_addresses(fleet, but=[failing]), body) for body in bodies]
    assert sum(good) == 1
    if failure is signal.SIGKILL:
        fleet.start(failing)
    else:
        fleet.processes[failing].send_signal(signal.SIGCONT)
    for answer, is_confirmed_body in zip([call.end() for call in sent], good, strict=True):
        assert answer.status in UNCLEAR or (
            answer.status == 200 if is_confirmed_body else is_number_taken(answer)
        ), (
            answer,
            is_confirmed_body,
        )
    for n in fleet.remaining_nodes():
        node = [fleet.control_addresses()[n]]
        assert [is_confirmed(node, body) for body in bodies] == good
        assert call_until_settled(node, "GET", "/-/configuration").body == bodies[good.index(True)]


# 3: losses one after another


def test_core_nodes_are_lost_for_good_one_after_the_other_and_each_next_loss_is_tolerated(
    started_fleet: LocalFleet, fleet: LocalFleet
) -> None:
    for _ in range(3):  # afterwards none of the seed nodes is left
        lost, next_lost, *_ = core_nodes(fleet)
        body = configuration(next(version_numbers))
        call_until_settled(control_addresses(fleet), "PUT", "/-/configuration", body)
        new = fleet.replace(lost)
        fleet.start(new)
        fleet.wait_until(lambda new=new: node_status(fleet, new))
        began = time.monotonic()
        fleet.wait_until(lambda new=new: node_status(fleet, new).get("member"))
        assert time.monotonic() - began < CATCH_UP
        fleet.kill(next_lost)
        number = next(version_numbers)
        call_until_settled(
            control_addresses(fleet, but=[next_lost]), "PUT", "/-/configuration", configuration(number)
        )
        assert number_in(send_read(fleet, new).end()) == number
        fleet.start(next_lost)
        members = {fleet.ips[n] for n in core_nodes(fleet)}
        fleet.wait_until(
            lambda members=members, n=next_lost: set(node_status(fleet, n).get("core", ())) == members
        )
        fleet.wait_until(lambda n=next_lost: node_status(fleet, n).get("member"))


def test_a_core_node_drains_while_changes_are_sent_and_none_is_lost(fleet: LocalFleet) -> None:
    leaver = core_nodes(fleet)[0]
    operators = Operators(lambda: control_addresses(fleet))
    try:
        fleet.wait_until(lambda: operators.confirmed > 10)
        process = fleet.processes.pop(leaver)
        process.terminate()
        assert process.wait(10) == 0
        confirmed = operators.confirmed
        fleet.wait_until(lambda: operators.confirmed > confirmed + 10)
    finally:
        operators.stop()
    assert not operators.failed
    for n in fleet.remaining_nodes():
        if n != leaver:
            assert number_in(send_read(fleet, n).end()) >= operators.highest
    fleet.start(leaver)
    fleet.wait_until(lambda: node_status(fleet, leaver).get("member") and node_status(fleet, leaver)["ready"])
    assert number_in(send_read(fleet, leaver).end()) >= operators.highest


# 4: catching up


def test_a_core_node_behind_by_two_hundred_changes_catches_up_completely_and_shows_nothing_outdated(
    fleet: LocalFleet,
) -> None:
    lagging, *others = core_nodes(fleet)
    version = node_status(fleet, others[0])["version"]
    fleet.kill(lagging)
    for step in range(100):  # two calls at a time; operators may have eight pending
        node = fleet.control_addresses()[others[step % 3]]
        number = next(version_numbers)
        zone = ("DELETE" if step % 2 else "POST", "/-/evacuation/south-1")
        early = PendingCall(node, *zone)
        call_until_settled([node], "PUT", "/-/configuration", configuration(number))
        if early.end().status != 200:
            call_until_settled([node], *zone)
    last = number_in(send_read(fleet, others[0]).end())
    newest = node_status(fleet, others[0])["version"]
    assert newest >= version + 100  # one round may carry two changes
    log = fleet.folder / f"node-{lagging + 1}.log"
    # the node is killed when it has started, and again when it has just learnt the last configuration
    for line in ("daemon: started", f"number={last}"):
        seen = log.read_text().count(line)
        fleet.start(lagging)
        fleet.wait_until(lambda seen=seen, line=line: log.read_text().count(line) > seen)
        fleet.kill(lagging)
    fleet.start(lagging)
    answers: list[PendingCall] = []
    while not answers or answers[-1].status != 200:
        answers.append(send_read(fleet, lagging).end())
        assert answers[-1].status in (200, *UNCLEAR)
    assert number_in(answers[-1]) == last
    fleet.wait_until(lambda: node_status(fleet, lagging).get("member"))
    assert (
        node_status(fleet, lagging)["version"] >= newest
        and node_status(fleet, lagging)["configuration"] == last
    )


# 5: one request, one execution; one answer, one client


def test_writes_execute_once_and_answers_match_their_requests_while_servers_are_stopped_and_killed(
    fleet: LocalFleet,
) -> None:
    clients = Clients(fleet)

    def wait_for_requests(count: int = 80) -> None:
        goal = len(clients.statuses) + count
        fleet.wait_until(lambda: len(clients.statuses) >= goal)

    def restart_server(n: int) -> None:
        fleet.server_processes[n].kill()
        fleet.server_processes[n].wait(10)
        wait_for_requests()
        fleet.servers[n].id += "-again"
        fleet.start_server(n)
        wait_for_requests()

    def executions() -> Counter[str]:
        return Counter(line for n in range(4) for line in fleet.execution_log(n).read_text().split())

    def has_lost_write() -> bool:
        """Whether a killed server had a write in progress: it has run, and its client got no answer."""
        lost = [id_ for id_, status in list(clients.statuses.items()) if status == 502 and is_write(id_)]
        return any(map(executions().get, lost))

    try:
        wait_for_requests()
        for n in (0, 1):
            fleet.server_processes[n].send_signal(signal.SIGSTOP)
            wait_for_requests()
            fleet.server_processes[n].send_signal(signal.SIGCONT)
            wait_for_requests()
        fleet.server_processes[3].send_signal(signal.SIGSTOP)
        wait_for_requests()
        restart_server(3)
        began, attempts = time.monotonic(), 0
        while not has_lost_write() or attempts < 2:
            had = fleet.execution_log(2).stat().st_size
            while fleet.execution_log(2).stat().st_size == had:
                assert time.monotonic() - began < 20
            restart_server(2)  # it has just begun to execute a request
            attempts += 1
    finally:
        clients.stop()
    # a server has run its pending requests once it answers on a connection that was opened later
    for server in fleet.servers:
        fleet.wait_until(lambda a=server.address: PendingCall(a, "GET", "/health").end().status == 200)
    seen = executions()
    writes = {id_: status for id_, status in clients.statuses.items() if is_write(id_)}
    assert not clients.mismatched_answers
    assert [id_ for id_ in writes if seen[id_] > 1] == []
    assert [id_ for id_, status in writes.items() if status == 200 and seen[id_] != 1] == []
    refusing_statuses = (400, 401, 404, 408, 421, 429, 503)  # none of these may have run
    assert [id_ for id_, status in writes.items() if status in refusing_statuses and seen[id_]] == []
