"""The control plane's five guarantees between real processes: the answers to operators and clients during failures."""

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
    change_keys,
    control_addresses,
    core_nodes,
    cut_off,
    give_keys,
    is_confirmed,
    is_number_taken,
    is_write,
    node_status,
    number_in,
    numbers,
    other_body,
    other_nodes,
    restore_links,
    send_put,
    send_read,
    send_request,
    write_links,
)

REVOCATION = 1.5  # seconds: a short one, so that being stopped or cut for longer takes no 20 s
STOPPED = 2.0  # seconds: longer than that, and than a node that is not heard stays in the roster
CATCH_UP, ACKNOWLEDGE = 4.0, 6.0  # seconds: `catchUpS` and `acknowledgeMs` of the users' deployments


@pytest.fixture(scope="module")
def founded(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    made = LocalFleet(
        tmp_path_factory.mktemp("fleet"),
        program=("-m", "tests.cut_node", "serve"),
        settings={"timingTerms.ruleBounds.revocationMs": str(int(REVOCATION * 1000))},
        apart=True,
    )
    background = BackgroundStandIns(StandIns(made.platform, made.servers))
    try:
        for n in range(len(made.servers)):
            made.start_server(n)
        made.start_all(first=True)
        call_until_settled(made.control_addresses(), "PUT", "/-/configuration", configuration(1), 30.0)
        yield made
    finally:
        made.close()
        background.close()


@pytest.fixture
def fleet(founded: LocalFleet) -> LocalFleet:
    """All nodes run, the core is whole, no link is cut and no zone evacuated, also after a test that failed."""
    restore_links(founded)
    for n in founded.remaining_nodes():
        if n not in founded.processes:
            founded.start(n)
        founded.processes[n].send_signal(signal.SIGCONT)
    for zone in ZONES:
        call_until_settled(control_addresses(founded), "DELETE", f"/-/evacuation/{zone}", patience=40)
    members = {founded.ips[n] for n in core_nodes(founded)}
    for n in founded.remaining_nodes():
        founded.wait_until(
            lambda n=n: (
                (status := node_status(founded, n)).get("ready")
                and set(status["core"]) == members
                and status["member"] is (n in founded.disks)
            ),
            40,
        )
    return founded


# 1: contact with a majority


@pytest.mark.parametrize(("at", "late"), [(0, 0.0), (2, 0.15)])
def test_a_node_that_was_stopped_answers_nothing_outdated_and_settles_nothing_alone(
    fleet: LocalFleet, at: int, late: float
) -> None:
    """`late`: seconds to a far region, so that it can be asked between one answer to it and the next; changes, which
    bring it up to date, are sent afterwards there."""
    away = [core_nodes(fleet)[at], other_nodes(fleet)[at % 2]]
    give_keys(fleet, away)
    early = {n: send_read(fleet, n) for n in away}  # may be under way when it stops
    began = time.monotonic()
    for n in away:
        fleet.processes[n].send_signal(signal.SIGSTOP)
        if late:
            write_links(
                fleet, n, {fleet.ips[other]: str(late) for other in fleet.remaining_nodes() if other != n}
            )
    number = change_keys(fleet, away)
    waiting = [NodeProbe(fleet, n, number, f"w{at}").send_read() for n in away]
    for questions in () if late else waiting:
        questions.send_changes()
    fleet.wait_until(lambda: time.monotonic() - began > STOPPED)
    for questions in waiting:
        questions.send_keys()  # so long after the acknowledgement that none may get in by an older configuration
    for n in away:
        fleet.processes[n].send_signal(signal.SIGCONT)
    marks, asked = itertools.count(), waiting
    while any(
        send_request(fleet, n, "GET", "/read/a", f"b{at}-{next(marks)}").end().status != 200 for n in away
    ):
        asked += [NodeProbe(fleet, n, number, f"a{at}-{next(marks)}").send_read().send_keys() for n in away]
        if not late:
            asked += [NodeProbe(fleet, n, number, f"o{at}-{next(marks)}").send_changes() for n in away]
        assert time.monotonic() - began < STOPPED + CATCH_UP
    asked += [NodeProbe(fleet, n, number, f"o{at}-{next(marks)}").send() for n in away]
    for questions in asked:
        questions.judge()
    assert all(sent.end().status in (200, *UNCLEAR) for sent in early.values())
    restore_links(fleet)
    newest = next(numbers)
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
    asked[0].reopen()


@pytest.mark.parametrize("ways", ["both", "in", "out"])
def test_a_core_node_that_is_cut_off_answers_nothing_outdated_and_settles_nothing(
    fleet: LocalFleet, ways: str
) -> None:
    n = core_nodes(fleet)[1]
    give_keys(fleet, [n])
    cut_off(fleet, n, ways)
    number = change_keys(fleet, [n])
    acknowledged = time.monotonic()
    questions = NodeProbe(fleet, n, number, f"cut-{ways}").send_read().send_changes()
    fleet.wait_until(lambda: time.monotonic() - acknowledged > REVOCATION)
    questions.send_keys()  # a key that has just come may be refused for `configurationMs` after
    passed_on = [fleet.control_addresses()[n], *control_addresses(fleet, but=[n])]
    began = time.monotonic()
    call_until_settled(passed_on, "POST", "/-/evacuation/south-1")  # another node accepts it
    assert time.monotonic() - began < ACKNOWLEDGE
    questions.judge(settles=False, hears=ways == "out")
    restore_links(fleet)
    after = NodeProbe(fleet, n, number, f"after-{ways}").send()
    after.judge()
    call_until_settled([fleet.control_addresses()[n]], "DELETE", "/-/evacuation/south-1")
    after.reopen()


# 2: one number, one body


@pytest.mark.parametrize("failure", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize(("one", "two", "moment"), [(0, 3, 0.0), (1, 4, 0.004), (2, 0, 0.012), (5, 1, 0.03)])
def test_of_two_bodies_under_one_number_exactly_one_is_confirmed_for_good(
    fleet: LocalFleet, failure: signal.Signals, one: int, two: int, moment: float
) -> None:
    nodes = [*core_nodes(fleet), *other_nodes(fleet)]
    hit, well, number = nodes[one], nodes[two], next(numbers)
    bodies = [configuration(number), other_body(number)]
    sent = [send_put(fleet, n, body) for n, body in zip((hit, well), bodies, strict=True)]
    time.sleep(moment)  # which step it hits; what is asserted holds whichever it is
    fleet.processes[hit].send_signal(failure)
    if failure is signal.SIGKILL:
        fleet.kill(hit)
    good = [is_confirmed(control_addresses(fleet, but=[hit]), body) for body in bodies]
    assert sum(good) == 1
    if failure is signal.SIGKILL:
        fleet.start(hit)
    else:
        fleet.processes[hit].send_signal(signal.SIGCONT)
    for answer, won in zip([call.end() for call in sent], good, strict=True):
        assert answer.status in UNCLEAR or (answer.status == 200 if won else is_number_taken(answer)), (
            answer,
            won,
        )
    for n in fleet.remaining_nodes():
        node = [fleet.control_addresses()[n]]
        assert [is_confirmed(node, body) for body in bodies] == good
        assert call_until_settled(node, "GET", "/-/configuration").body == bodies[good.index(True)]


# 3: losses one after another


def test_core_nodes_are_lost_for_good_one_after_the_other_and_each_next_loss_is_tolerated(
    founded: LocalFleet, fleet: LocalFleet
) -> None:
    for _ in range(3):  # none of the seeds is left then
        lost, next_lost, *_ = core_nodes(fleet)
        body = configuration(next(numbers))
        call_until_settled(control_addresses(fleet), "PUT", "/-/configuration", body)
        new = fleet.replace(lost)
        fleet.start(new)
        fleet.wait_until(lambda new=new: node_status(fleet, new))
        began = time.monotonic()
        fleet.wait_until(lambda new=new: node_status(fleet, new).get("member"))
        assert time.monotonic() - began < CATCH_UP
        fleet.kill(next_lost)
        number = next(numbers)
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
    late, *others = core_nodes(fleet)
    version = node_status(fleet, others[0])["version"]
    fleet.kill(late)
    for step in range(100):  # two at a time, as operators may have eight pending
        node = fleet.control_addresses()[others[step % 3]]
        number = next(numbers)
        zone = ("DELETE" if step % 2 else "POST", "/-/evacuation/south-1")
        early = PendingCall(node, *zone)
        call_until_settled([node], "PUT", "/-/configuration", configuration(number))
        if early.end().status != 200:
            call_until_settled([node], *zone)
    last = number_in(send_read(fleet, others[0]).end())
    newest = node_status(fleet, others[0])["version"]
    assert newest >= version + 100  # one round may carry two changes
    log = fleet.folder / f"node-{late + 1}.log"
    for line in (
        "daemon: started",
        f"number={last}",
    ):  # killed at its start, and when it has just learnt the last one
        seen = log.read_text().count(line)
        fleet.start(late)
        fleet.wait_until(lambda seen=seen, line=line: log.read_text().count(line) > seen)
        fleet.kill(late)
    fleet.start(late)
    answers: list[PendingCall] = []
    while not answers or answers[-1].status != 200:
        answers.append(send_read(fleet, late).end())
        assert answers[-1].status in (200, *UNCLEAR)
    assert number_in(answers[-1]) == last
    fleet.wait_until(lambda: node_status(fleet, late).get("member"))
    assert node_status(fleet, late)["version"] >= newest and node_status(fleet, late)["configuration"] == last


# 5: one request, one execution; one answer, one client


def test_writes_execute_once_and_answers_match_their_requests_while_servers_are_stopped_and_killed(
    fleet: LocalFleet,
) -> None:
    clients = Clients(fleet)

    def go_on(count: int = 80) -> None:
        goal = len(clients.ends) + count
        fleet.wait_until(lambda: len(clients.ends) >= goal)

    def restart_server(n: int) -> None:
        fleet.server_processes[n].kill()
        fleet.server_processes[n].wait(10)
        go_on()
        fleet.servers[n].id += "-again"
        fleet.start_server(n)
        go_on()

    def ran() -> Counter[str]:
        return Counter(line for n in range(4) for line in fleet.execution_log(n).read_text().split())

    def has_lost_write() -> bool:
        """Whether a write was at work at a server that was killed: it has run, and its client got no answer."""
        lost = [id_ for id_, status in list(clients.ends.items()) if status == 502 and is_write(id_)]
        return any(map(ran().get, lost))

    try:
        go_on()
        for n in (0, 1):
            fleet.server_processes[n].send_signal(signal.SIGSTOP)
            go_on()
            fleet.server_processes[n].send_signal(signal.SIGCONT)
            go_on()
        fleet.server_processes[3].send_signal(signal.SIGSTOP)
        go_on()
        restart_server(3)
        began, tries = time.monotonic(), 0
        while not has_lost_write() or tries < 2:
            had = fleet.execution_log(2).stat().st_size
            while fleet.execution_log(2).stat().st_size == had:
                assert time.monotonic() - began < 20
            restart_server(2)  # it has just begun with one
            tries += 1
    finally:
        clients.stop()
    for server in fleet.servers:  # what waits at a server has run once it answers on connections opened later
        fleet.wait_until(lambda a=server.address: PendingCall(a, "GET", "/health").end().status == 200)
    seen = ran()
    writes = {id_: status for id_, status in clients.ends.items() if is_write(id_)}
    assert not clients.foreign
    assert [id_ for id_ in writes if seen[id_] > 1] == []
    assert [id_ for id_, status in writes.items() if status == 200 and seen[id_] != 1] == []
    promised = (400, 401, 404, 408, 421, 429, 503)  # none of these may have run
    assert [id_ for id_, status in writes.items() if status in promised and seen[id_]] == []
