"""A soak test: nodes as real processes on loopback under random overlapping failures, which depend on a seed.

Clients and operators keep calling and servers drain meanwhile.  The answers and the nodes' own invariants are
checked at the end of each episode.

Clients use their connections until the process at the other end is gone.  In each episode two servers drain.
Whatever fails meanwhile, each node that is connected to the core must stop sending requests to these servers
in time, and must not return to clients the addresses of machines that have been off for long.  In a series of
failures (`--series SECONDS`) zones are evacuated besides, and must get no requests after the rule's time.

`python -m tests.soak --seeds N --jobs N --others N` runs many seeds, `tests/test_soak.py` one.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import json
import math
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from hazelspring.cli.control_client import call_once, call_until_settled
from hazelspring.localfleet.__main__ import BackgroundStandIns
from hazelspring.localfleet.fleet import LocalFleet, configuration
from hazelspring.localfleet.stand_ins import StandIns

from .callers import Clients, Operators, is_write, node_status, write_links
from .ledger import NOT_RUN_STATUSES
from .soak_evacuation_check import EvacuationCheck, LateRequest, cause_table
from .soak_evacuations import Evacuations
from .soak_faults import (
    CONNECT_TIME,
    CUT,
    FAIL,
    FAILURE_PHASE,
    HANG,
    KILL,
    LONG_KILL,
    LOST_ANSWERS,
    MARGIN,
    RELOAD,
    RESET,
    RESTART,
    STOP,
    Failure,
    connected_since,
    draw,
    draw_series,
)
from .soak_lookups import Lookups

SERVERS = 8
DRAINING_SERVERS = 2  # in each episode
DRAIN_CUTOFF = 3.0  # seconds, `drainCutoffMs` of the settings
SERIES_REQUESTS_PER_SECOND = 2000  # the tenant's limit, far above what the clients send
RESTART_MARGIN = 1.0  # seconds after a failure in which its end may start the process again
SETTLING_TIME = 3.0  # seconds after the last failure of a series
METRICS_TIMEOUT = 0.3  # seconds; short, as the node may be stopped
RECOVERY_TIME = 40.0  # seconds until all nodes are ready and the core is complete again
# seconds for which look-ups may still return the address of a machine that is off
MAX_OFF_TIME = CONNECT_TIME + 3.0

Trigger = Callable[[], object]  # begins or ends a failure
TimedAction = tuple[float, Trigger]  # seconds of the episode


@dataclass(frozen=True)
class Settings:
    """The size of the fleet; `nth` selects its range of addresses."""

    core: int = 4
    others: int = 2
    clients: int = 4
    nth: int = 0


class Soak:
    """One fleet and its episodes; `violations` lists every violation of a rule."""

    def __init__(self, folder: Path, seed: int, settings: Settings = Settings()) -> None:
        self.chance, self.settings = random.Random(seed), settings
        program = ("-m", "tests.cut_node", "serve")
        self.fleet = LocalFleet(folder, settings.core, settings.others, SERVERS, program, nth=settings.nth)
        # seconds from each drain to the last request that a connected node sent
        self.last_requests: list[float] = []
        self.stand_ins = StandIns(self.fleet.platform, self.fleet.servers)
        self.background = BackgroundStandIns(self.stand_ins)
        self.violations: list[str] = []
        self.late_in_zones: list[
            LateRequest
        ] = []  # requests that reached an evacuated zone after the rule's time
        self.orders_acknowledged = 0
        self.ends_by_themselves = 0
        self.stopped_nodes: set[int] = set()
        self.read_lengths: dict[Path, int] = {}  # the number of characters of each log that were read
        self.number = 0  # the highest acknowledged configuration number
        self.server_restarts = 0
        self.cuts: dict[int, str] = {}  # directions in which nodes are cut off
        self.unanswered: dict[Failure, int] = {}  # nodes whose reads of the platform's list fail
        for server in self.fleet.servers:
            server.slots = 4

    def run(self, episodes: Iterable[list[Failure]], series_length: float = 0.0) -> list[str]:
        """Return the violations during the episodes, a series of failures, and the loss of a disk at the end.

        `series_length` is the length of the series in seconds; 0 for none.
        """
        fleet = self.fleet
        try:
            fleet.start_all(first=True)
            call_until_settled(
                fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), RECOVERY_TIME
            )
            self.wait_until_recovered()
            for failures in episodes:
                self.episode(failures)
            if series_length:
                core, others = self.settings.core, self.settings.others
                self.series(draw_series(self.chance, core, others, series_length), series_length)
            self.lose_a_disk_and_all_processes()
        except TimeoutError as error:
            self.violations.append(f"RECOVER: {error}")
        finally:
            fleet.close()
            self.background.close()
        return self.violations

    def episode(self, failures: list[Failure]) -> None:
        clients, lookups = Clients(self.fleet, self.settings.clients), Lookups(self.fleet)
        operators = Operators(lambda: self.fleet.control_addresses(), 1)
        draining = self.chance.sample(self.fleet.servers, DRAINING_SERVERS)
        actions: list[TimedAction] = [
            (self.chance.uniform(0.0, FAILURE_PHASE), server.drain) for server in draining
        ]
        began = self.play([*actions, *self.timed_triggers(failures)])
        failures_ended = time.monotonic()
        self.wait_until_recovered()
        time.sleep(max(0.0, failures_ended + CONNECT_TIME + 1.0 - time.monotonic()))
        for caller in (operators, clients, lookups):
            caller.stop()
        self.check_drains(clients, failures, began)
        self.check_lookups(lookups, failures, began)
        self.check_clients(clients)
        self.check_operators(operators)
        self.check_logs()
        for server in draining:
            self.server_restarts += 1
            server.restart_as(f"i-restart-{self.server_restarts}")

    def timed_triggers(self, failures: Iterable[Failure]) -> list[TimedAction]:
        """Return the beginnings and ends of failures, with their times in seconds of the episode."""
        return [
            (at, trigger)
            for failure in failures
            for at, trigger in zip((failure.begins, failure.ends), self.triggers(failure), strict=True)
        ]

    @staticmethod
    def play(actions: Iterable[TimedAction]) -> float:
        """Carry out actions at their times, which begin now; return the beginning by the monotonic clock."""
        began = time.monotonic()
        for at, action in sorted(actions, key=lambda one: one[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            action()
        return began

    def series(self, failures: list[Failure], length: float) -> None:
        """Play a series of failures while zones are evacuated and taken back, and check both.

        It ends with a calm time in which the last evacuation must be in force at every node.
        """
        checked_at = [*map(float, range(math.ceil(length))), length + SETTLING_TIME]
        actions = self.timed_triggers(failures)
        actions += [(at, partial(self.restart_ended, failures, at)) for at in checked_at]
        clients, lookups = Clients(self.fleet, self.settings.clients, open_reads=True), Lookups(self.fleet)
        make = partial(configuration, requests_per_second=SERIES_REQUESTS_PER_SECOND)
        operators = Operators(lambda: self.fleet.control_addresses(), 1, make)
        evacuations = Evacuations(self.fleet, self.chance.randrange(1 << 30), self.silent_nodes)
        began = self.play(actions)
        for caller in (evacuations, operators, clients, lookups):
            caller.stop()
        self.orders_acknowledged += evacuations.acknowledged()
        check = EvacuationCheck(self.fleet, self.settings.core, failures, began)
        late_requests = check.late_requests(evacuations.orders, clients.nodes)
        self.late_in_zones += late_requests
        self.violations += [f"EVAC: {late}" for late in late_requests if late.is_violation]
        self.wait_until_recovered()
        for zone in sorted(set(self.fleet.zones)):
            call_until_settled(
                self.fleet.control_addresses(), "DELETE", f"/-/evacuation/{zone}", patience=RECOVERY_TIME
            )
        self.check_clients(clients)
        self.check_operators(operators)
        self.check_logs()

    def restart_ended(self, failures: list[Failure], now: float) -> None:
        """Start the processes again that have ended by themselves, as the platform does, and count them."""
        for node, process in list(self.fleet.processes.items()):
            own = [one for one in failures if one.node == node]
            is_off = any(one.is_off(now) or one.is_off(now - RESTART_MARGIN) for one in own)
            if not is_off and process.poll() is not None:
                self.ends_by_themselves += 1
                self.fleet.start(node)

    def silent_nodes(self) -> list[int]:
        """Return the nodes that stand still or are cut off now."""
        return sorted(self.stopped_nodes | self.cuts.keys())

    def triggers(self, failure: Failure) -> tuple[Trigger, Trigger]:
        """Return what begins a failure and what ends it."""
        fleet, n = self.fleet, failure.node
        stop_answers = partial(self.stop_list_answers, failure)
        resume_answers = partial(self.resume_list_answers, failure)
        reset = partial(self.background.loop.call_soon_threadsafe, self.stand_ins.reset_platform)
        lose_answers = partial(setattr, fleet.servers[n % SERVERS], "drops_answers")
        triggers: dict[str, tuple[Trigger, Trigger]] = {
            KILL: (partial(fleet.kill, n), partial(fleet.start, n)),
            LONG_KILL: (partial(fleet.kill, n), partial(fleet.start, n)),
            RESTART: (partial(self.send_signal, n, signal.SIGTERM), partial(self.start_again, n)),
            RELOAD: (self.reload_all, self.reload_all),
            STOP: (partial(self.stop_process, n), partial(self.continue_process, n)),
            CUT: (partial(self.cut_off, n, failure.direction), partial(self.reconnect, n)),
            HANG: (stop_answers, resume_answers),
            FAIL: (stop_answers, resume_answers),
            RESET: (reset, reset),
            LOST_ANSWERS: (partial(lose_answers, True), partial(lose_answers, False)),
        }
        return triggers[failure.kind]

    def start_again(self, n: int) -> None:
        """Start a node again that was terminated; its process is killed if it is still draining."""
        self.fleet.kill(n)
        self.fleet.start(n)

    def reload_all(self) -> None:
        """Send several SIGHUP to every node without pauses."""
        for _ in range(3):
            for process in self.fleet.processes.values():
                process.send_signal(signal.SIGHUP)

    def send_signal(self, n: int, number: signal.Signals) -> None:
        self.fleet.processes[n].send_signal(number)

    def stop_process(self, n: int) -> None:
        self.stopped_nodes.add(n)
        self.send_signal(n, signal.SIGSTOP)

    def continue_process(self, n: int) -> None:
        self.stopped_nodes.discard(n)
        self.send_signal(n, signal.SIGCONT)

    def cut_off(self, n: int, direction: str) -> None:
        self.cuts[n] = direction
        self.write_cuts()

    def reconnect(self, n: int) -> None:
        del self.cuts[n]
        self.write_cuts()

    def stop_list_answers(self, failure: Failure) -> None:
        """Make the list reader's reads of the platform's list hang or fail, by the kind of the failure."""
        self.unanswered[failure] = self.list_reader(failure.node)
        self.platform_file(self.unanswered[failure]).write_text(failure.kind)

    def resume_list_answers(self, failure: Failure) -> None:
        self.platform_file(self.unanswered.pop(failure)).unlink(missing_ok=True)

    def write_cuts(self) -> None:
        """Write, for each node, the addresses from which it receives nothing under the present cuts."""
        silent = {n for n, direction in self.cuts.items() if direction in ("both", "out")}
        for n in self.fleet.remaining_nodes():
            receives_nothing = self.cuts.get(n) in ("both", "in")
            dropped = [
                other
                for other in self.fleet.remaining_nodes()
                if other != n and (receives_nothing or other in silent)
            ]
            write_links(self.fleet, n, {self.fleet.ips[other]: "" for other in dropped})

    def list_reader(self, otherwise: int) -> int:
        """Return the node that reads the list according to its metrics, or `otherwise` if none answers so."""
        for n in range(self.settings.core):
            with contextlib.suppress(OSError, http.client.HTTPException):
                got = call_once(self.fleet.control_addresses()[n], "GET", "/-/metrics", None, METRICS_TIMEOUT)
                if b"hazelspring_list_reader 1\n" in got.body:
                    return n
        return otherwise

    def platform_file(self, n: int) -> Path:
        return self.fleet.folder / f"node-{n + 1}.platform"

    def wait_until_recovered(self) -> None:
        """Wait until every node is ready, and each with a disk is a member and connected to the others."""

        def is_recovered(n: int) -> bool:
            status = node_status(self.fleet, n)
            return bool(
                status.get("ready")
                and status["member"] is (n in self.fleet.disks)
                and all(status["core"].values())
            )

        for n in self.fleet.remaining_nodes():
            self.fleet.wait_until(lambda n=n: is_recovered(n), RECOVERY_TIME)

    def check_drains(self, clients: Clients, failures: list[Failure], began: float) -> None:
        """Check when requests reached draining servers; record the last one sent by a connected node."""
        for server in self.fleet.servers:
            if math.isinf(server.drained_at):
                continue
            last = 0.0
            for request in server.executed:
                at, attempt = request.at, request.attempt
                if at < server.drained_at:
                    continue
                node = clients.nodes[attempt]
                if began + self.connected_since(failures, node, at - began) + MARGIN > at:
                    continue
                after = at - server.drained_at
                last = max(last, after)
                if after > DRAIN_CUTOFF + MARGIN:
                    text = f"{attempt} reached {server.id} by node {node} {after:.2f} s after its drain"
                    self.violations.append(f"DRAIN: {text}")
            self.last_requests.append(last)

    def check_lookups(self, lookups: Lookups, failures: list[Failure], began: float) -> None:
        """Check that no connected node returned the address of a machine that had been off for long."""
        off = {
            self.fleet.ips[one.node]: (began + one.begins, began + one.ends)
            for one in failures
            if one.kind == LONG_KILL
        }
        for answer in lookups.answers:
            if began + self.connected_since(failures, answer.node, answer.at - began) > answer.at:
                continue
            for ip, (since, until) in off.items():
                if ip in answer.addresses and since + MAX_OFF_TIME + MARGIN < answer.at < until:
                    text = f"node {answer.node} returned {ip} {answer.at - since:.2f} s after it was killed"
                    self.violations.append(f"DRAIN: {text}")
        if not lookups.answers:
            self.violations.append("RECOVER: no look-up was answered")

    def connected_since(self, failures: list[Failure], node: int, at: float) -> float:
        """Return the time since which a node is connected, in seconds of the episode."""
        return connected_since(failures, node, self.settings.core, at)

    def check_clients(self, clients: Clients) -> None:
        self.violations += [f"MIXED: {text}" for text in clients.mismatched_answers]
        for id_, status in clients.statuses.items():
            ran = sum(server.executions[id_] for server in self.fleet.servers)
            if is_write(id_) and ran > 1:
                self.violations.append(f"TWICE: {id_} ran {ran} times")
            if is_write(id_) and ran and status in NOT_RUN_STATUSES:
                self.violations.append(f"REFUSED: {id_} got {status} and ran")
            if status == 200 and not ran:
                self.violations.append(f"MIXED: {id_} got 200 and never ran")
        if not any(status == 200 for status in clients.statuses.values()):
            self.violations.append("RECOVER: no request was served")
        for server in self.fleet.servers:
            server.forget_requests()

    def check_operators(self, operators: Operators) -> None:
        self.violations += [f"ACKS: {text}" for text in operators.failed]
        self.number = max(self.number, operators.highest)
        self.read_back()

    def read_back(self) -> None:
        answer = call_until_settled(
            self.fleet.control_addresses(), "GET", "/-/configuration", patience=RECOVERY_TIME
        )
        number = int(json.loads(answer.body)["versionNumber"][1:])
        if number < self.number:
            self.violations.append(f"LOST: r{number} is in force, r{self.number} was acknowledged")

    def check_logs(self) -> None:
        """Check the logs for violated invariants and errors, also those of processes that have ended."""
        for path in sorted(self.fleet.folder.glob("*.log")):
            text = path.read_text(errors="replace")
            new, self.read_lengths[path] = text[self.read_lengths.get(path, 0) :], len(text)
            for line in new.splitlines():
                if "invariant" in line or "daemon: failed" in line or "Traceback" in line:
                    self.violations.append(f"INVARIANT: {path.stem}: {line}")

    def lose_a_disk_and_all_processes(self) -> None:
        """Kill all processes at the same time, also those without a disk, and wipe the disk of a member."""
        lost = self.chance.randrange(self.settings.core)
        for process in self.fleet.processes.values():
            process.kill()
        for n in self.fleet.remaining_nodes():
            self.fleet.kill(n)
        self.fleet.wipe(lost)
        self.fleet.start_all()
        self.wait_until_recovered()
        self.read_back()


@dataclass(frozen=True)
class Result:
    """The result of one seed: violations of rules, and seconds from each drain to the last request.

    `late_in_zones` are the requests that reached an evacuated zone after the rule's time, also where the rule did
    not bind; `orders_acknowledged` counts the evacuations and their ends, `ends_by_themselves` the processes
    that ended without a signal that ends them.
    """

    violations: list[str]
    last_requests: list[float]
    late_in_zones: list[LateRequest]
    orders_acknowledged: int
    ends_by_themselves: int


def run_seed(episodes: int, series: float, others: int, clients: int, seed: int) -> Result:
    """Run the episodes of one fleet; print its logs to standard error if a rule was violated."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(Path(folder), seed, Settings(others=others, clients=clients))
        drawn = (draw(soak.chance, soak.settings.core, others) for _ in range(episodes))
        violations = soak.run(drawn, series)
        for path in Path(folder).glob("*.log") if violations else ():
            print(f"--- seed {seed}: {path.stem}\n{path.read_text(errors='replace')}", file=sys.stderr)
        return Result(
            violations,
            soak.last_requests,
            soak.late_in_zones,
            soak.orders_acknowledged,
            soak.ends_by_themselves,
        )


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="soak", description="Runs nodes under overlapping random failures.")
    parser.add_argument("--seeds", type=int, default=8, help="the number of seeds (8)")
    parser.add_argument("--first", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--episodes", type=int, default=4, help="episodes of each seed (4)")
    parser.add_argument(
        "--series", type=float, default=0.0, help="seconds of a series of failures with evacuations (0: none)"
    )
    parser.add_argument("--jobs", type=int, default=4, help="fleets that run at the same time (4)")
    parser.add_argument(
        "--others", type=int, default=2, help="nodes besides the four of the core (2; at most 86)"
    )
    parser.add_argument(
        "--clients", type=int, default=4, help="clients that send requests one after another (4)"
    )
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    failed, acknowledged, ends = 0, 0, 0
    delays, late = list[float](), list[LateRequest]()
    with ProcessPoolExecutor(chosen.jobs, max_tasks_per_child=1) as pool:
        one = partial(run_seed, chosen.episodes, chosen.series, chosen.others, chosen.clients)
        for seed, result in zip(seeds, pool.map(one, seeds), strict=True):
            delays += result.last_requests
            late += result.late_in_zones
            acknowledged += result.orders_acknowledged
            ends += result.ends_by_themselves
            worst = max(result.last_requests, default=0.0)
            summary = "; ".join(result.violations[:5]) or "no rule broken"
            print(f"seed {seed}: {summary}; last request {worst:.2f} s after a drain", flush=True)
            failed += bool(result.violations)
    delays.sort()
    percentiles = (
        [delays[int(part * (len(delays) - 1))] for part in (0.5, 0.95, 1.0)] if delays else [0.0] * 3
    )
    print("from a drain to the last request, s: median {:.2f}, 95% {:.2f}, worst {:.2f}".format(*percentiles))
    print(
        f"{acknowledged} evacuations and their ends were acknowledged; requests to evacuated zones, by cause:"
    )
    print("\n".join(cause_table(late)) or "  none")
    print(f"{ends} processes ended by themselves, and were started again")
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
