"""Nodes as real processes on loopback under overlapping failures, drawn by a seed, while clients and operators go on
and servers drain; the answers and the nodes' own invariants are checked at the end of each episode.

Clients use their connections until the process at the other end is gone; two servers leave an episode, and whatever
fails meanwhile, each node in touch must know it in time, and name no machine to clients that has long been off.

`python -m tests.soak --seeds N --jobs N --others N` plays many, `tests/test_soak.py` one."""

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
from .ledger import PROMISES
from .soak_faults import (
    AWAY,
    CUT,
    FAIL,
    FAILURE_PHASE,
    HANG,
    IN_TOUCH,
    KILL,
    LOST,
    RELOAD,
    RESET,
    ROLL,
    STOP,
    Failure,
    draw,
    in_touch_at,
)
from .soak_lookups import Lookups

SERVERS = 8
LEAVING = 2  # of them, in each episode
DRAIN_CUTOFF = 3.0  # seconds, `drainCutoffMs` of the settings
MARGIN = 0.2  # seconds between what a server notes and the moment at which a request reached it
ASKING = 0.3  # seconds for a node's answer whether it reads the list: it may be stopped
BACK = 40.0  # seconds until all nodes are whole again
NAMED_OFF = IN_TOUCH + 3.0  # seconds for which a machine that is off may be named to clients

Turn = Callable[[], object]  # begins or ends a failure


@dataclass(frozen=True)
class Settings:
    """How large a soak's fleet is, and which addresses it has."""

    core: int = 4
    others: int = 2
    clients: int = 4
    nth: int = 0


class Soak:
    """One fleet and its episodes; `faults` lists every violation of a rule."""

    def __init__(self, folder: Path, seed: int, settings: Settings = Settings()) -> None:
        self.chance, self.settings = random.Random(seed), settings
        program = ("-m", "tests.cut_node", "serve")
        self.fleet = LocalFleet(folder, settings.core, settings.others, SERVERS, program, nth=settings.nth)
        self.last_requests: list[float] = []  # seconds from each leave to the last request by a node in touch
        self.stand_ins = StandIns(self.fleet.platform, self.fleet.servers)
        self.background = BackgroundStandIns(self.stand_ins)
        self.faults: list[str] = []
        self.seen: dict[Path, int] = {}  # how far each log was read
        self.number = 0  # of the newest configuration that was acknowledged
        self.server_restarts = 0
        self.cuts: dict[int, str] = {}  # nodes that are cut off, and in which directions
        self.unanswered: dict[Failure, int] = {}  # nodes that the platform does not answer
        for server in self.fleet.servers:
            server.slots = 4

    def play(self, episodes: Iterable[list[Failure]]) -> list[str]:
        """The faults of episodes, and of a loss at their end."""
        fleet = self.fleet
        try:
            fleet.start_all(first=True)
            call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), BACK)
            self.wait_until_whole()
            for failures in episodes:
                self.episode(failures)
            self.lose_a_disk_and_all_processes()
        except TimeoutError as error:
            self.faults.append(f"RECOVER: {error}")
        finally:
            fleet.close()
            self.background.close()
        return self.faults

    def episode(self, failures: list[Failure]) -> None:
        clients, lookups = Clients(self.fleet, self.settings.clients), Lookups(self.fleet)
        operators = Operators(lambda: self.fleet.control_addresses(), 1)
        leaving = self.chance.sample(self.fleet.servers, LEAVING)
        actions: list[tuple[float, Turn]] = [
            (self.chance.uniform(0.0, FAILURE_PHASE), server.drain) for server in leaving
        ]
        for failure in failures:
            begin, end = self.turns(failure)
            actions += [(failure.begins, begin), (failure.ends, end)]
        began = time.monotonic()
        for at, action in sorted(actions, key=lambda one: one[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            action()
        calm = time.monotonic()
        self.wait_until_whole()
        time.sleep(max(0.0, calm + IN_TOUCH + 1.0 - time.monotonic()))
        for caller in (operators, clients, lookups):
            caller.stop()
        self.judge_drain(clients, failures, began)
        self.judge_lookups(lookups, failures, began)
        self.judge_clients(clients)
        self.judge_operators(operators)
        self.judge_logs()
        for server in leaving:
            self.server_restarts += 1
            server.restart_as(f"i-restart-{self.server_restarts}")

    def turns(self, failure: Failure) -> tuple[Turn, Turn]:
        """What begins a failure, and what ends it."""
        fleet, n = self.fleet, failure.node
        stop_answers = partial(self.stop_list_answers, failure)
        resume_answers = partial(self.resume_list_answers, failure)
        reset = partial(self.background.loop.call_soon_threadsafe, self.stand_ins.reset_platform)
        lose_answers = partial(setattr, fleet.servers[n], "drops_answers")
        turns: dict[str, tuple[Turn, Turn]] = {
            KILL: (partial(fleet.kill, n), partial(fleet.start, n)),
            AWAY: (partial(fleet.kill, n), partial(fleet.start, n)),
            ROLL: (partial(self.send_signal, n, signal.SIGTERM), partial(self.start_again, n)),
            RELOAD: (self.reload_all, self.reload_all),
            STOP: (
                partial(self.send_signal, n, signal.SIGSTOP),
                partial(self.send_signal, n, signal.SIGCONT),
            ),
            CUT: (partial(self.cut_off, n, failure.ways), partial(self.reconnect, n)),
            HANG: (stop_answers, resume_answers),
            FAIL: (stop_answers, resume_answers),
            RESET: (reset, reset),
            LOST: (partial(lose_answers, True), partial(lose_answers, False)),
        }
        return turns[failure.kind]

    def start_again(self, n: int) -> None:
        """Start a node anew whose process was told to end; it is killed where it is still at its last requests."""
        self.fleet.kill(n)
        self.fleet.start(n)

    def reload_all(self) -> None:
        """Send a series of SIGHUP to every node, with no time in between."""
        for _ in range(3):
            for process in self.fleet.processes.values():
                process.send_signal(signal.SIGHUP)

    def send_signal(self, n: int, number: signal.Signals) -> None:
        self.fleet.processes[n].send_signal(number)

    def cut_off(self, n: int, ways: str) -> None:
        self.cuts[n] = ways
        self.draw_cuts()

    def reconnect(self, n: int) -> None:
        del self.cuts[n]
        self.draw_cuts()

    def stop_list_answers(self, failure: Failure) -> None:
        """The platform no longer answers the list's reader, in the failure's way."""
        self.unanswered[failure] = self.reader(failure.node)
        self.platform_file(self.unanswered[failure]).write_text(failure.kind)

    def resume_list_answers(self, failure: Failure) -> None:
        self.platform_file(self.unanswered.pop(failure)).unlink(missing_ok=True)

    def draw_cuts(self) -> None:
        """Write for each node from which addresses it receives nothing, by all present cuts."""
        silent = {n for n, ways in self.cuts.items() if ways in ("both", "out")}
        for n in self.fleet.remaining_nodes():
            hears_nothing = self.cuts.get(n) in ("both", "in")
            unheard = [
                other
                for other in self.fleet.remaining_nodes()
                if other != n and (hears_nothing or other in silent)
            ]
            write_links(self.fleet, n, {self.fleet.ips[other]: "" for other in unheard})

    def reader(self, otherwise: int) -> int:
        """The node that reads the list now by its metrics; `otherwise` where none that answers does."""
        for n in range(self.settings.core):
            with contextlib.suppress(OSError, http.client.HTTPException):
                got = call_once(self.fleet.control_addresses()[n], "GET", "/-/metrics", None, ASKING)
                if b"hazelspring_list_reader 1\n" in got.body:
                    return n
        return otherwise

    def platform_file(self, n: int) -> Path:
        return self.fleet.folder / f"node-{n + 1}.platform"

    def wait_until_whole(self) -> None:
        """Every node is ready, and each node with a disk is a member of the core and hears the others."""

        def is_whole(n: int) -> bool:
            status = node_status(self.fleet, n)
            return bool(
                status.get("ready")
                and status["member"] is (n in self.fleet.disks)
                and all(status["core"].values())
            )

        for n in self.fleet.remaining_nodes():
            self.fleet.wait_until(lambda n=n: is_whole(n), BACK)

    def judge_drain(self, clients: Clients, failures: list[Failure], began: float) -> None:
        """Check when requests reached servers that leave, and note the last one by a node in touch."""
        for server in self.fleet.servers:
            if math.isinf(server.drained_at):
                continue
            last = 0.0
            for late_request in server.after_drain:
                at, attempt = late_request.at, late_request.attempt
                node = clients.nodes[attempt]
                if began + self.in_touch_at(failures, node, at - began) + MARGIN > at:
                    continue
                after = at - server.drained_at
                last = max(last, after)
                if after > DRAIN_CUTOFF + MARGIN:
                    text = f"{attempt} reached {server.id} by node {node} {after:.2f} s after"
                    self.faults.append(f"DRAIN: {text}")
            self.last_requests.append(last)

    def judge_lookups(self, lookups: Lookups, failures: list[Failure], began: float) -> None:
        """Check that no node in touch named a machine to clients that had long been off."""
        off = {
            self.fleet.ips[one.node]: (began + one.begins, began + one.ends)
            for one in failures
            if one.kind == AWAY
        }
        for answer in lookups.answers:
            if began + self.in_touch_at(failures, answer.node, answer.at - began) > answer.at:
                continue
            for ip, (since, until) in off.items():
                if ip in answer.named and since + NAMED_OFF + MARGIN < answer.at < until:
                    text = f"node {answer.node} named {ip} {answer.at - since:.2f} s after its end"
                    self.faults.append(f"DRAIN: {text}")
        if not lookups.answers:
            self.faults.append("RECOVER: no look-up was answered")

    def in_touch_at(self, failures: list[Failure], node: int, at: float) -> float:
        """Return since when a node is in touch as of a time, in seconds of the episode."""
        return in_touch_at(failures, node, self.settings.core, at)

    def judge_clients(self, clients: Clients) -> None:
        self.faults += [f"MIXED: {text}" for text in clients.foreign]
        for id_, status in clients.ends.items():
            ran = sum(server.executions[id_] for server in self.fleet.servers)
            if is_write(id_) and ran > 1:
                self.faults.append(f"TWICE: {id_} ran {ran} times")
            if is_write(id_) and ran and status in PROMISES:
                self.faults.append(f"REFUSED: {id_} got {status} and ran")
            if status == 200 and not ran:
                self.faults.append(f"MIXED: {id_} got 200 and never ran")
        if not any(status == 200 for status in clients.ends.values()):
            self.faults.append("RECOVER: no request was served")
        for server in self.fleet.servers:
            server.executions.clear()

    def judge_operators(self, operators: Operators) -> None:
        self.faults += [f"ACKS: {text}" for text in operators.failed]
        self.number = max(self.number, operators.highest)
        self.read_back()

    def read_back(self) -> None:
        answer = call_until_settled(self.fleet.control_addresses(), "GET", "/-/configuration", patience=BACK)
        number = int(json.loads(answer.body)["versionNumber"][1:])
        if number < self.number:
            self.faults.append(f"LOST: r{number} is in force, r{self.number} was acknowledged")

    def judge_logs(self) -> None:
        """Check the logs for violated invariants and errors, also those of processes that have ended."""
        for path in sorted(self.fleet.folder.glob("*.log")):
            text = path.read_text(errors="replace")
            new, self.seen[path] = text[self.seen.get(path, 0) :], len(text)
            for line in new.splitlines():
                if "invariant" in line or "daemon: failed" in line or "Traceback" in line:
                    self.faults.append(f"INVARIANT: {path.stem}: {line}")

    def lose_a_disk_and_all_processes(self) -> None:
        """All processes end at the same moment, also those without a disk, and a member's disk is lost."""
        lost = self.chance.randrange(self.settings.core)
        for process in self.fleet.processes.values():
            process.kill()
        for n in self.fleet.remaining_nodes():
            self.fleet.kill(n)
        self.fleet.wipe(lost)
        self.fleet.start_all()
        self.wait_until_whole()
        self.read_back()


@dataclass(frozen=True)
class Played:
    """What one seed's fleet has done: violated rules, and seconds from each leave to its last request."""

    faults: list[str]
    last_requests: list[float]


def play(episodes: int, others: int, clients: int, seed: int) -> Played:
    """Play one fleet's episodes; its logs go to standard error where a rule was violated."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(Path(folder), seed, Settings(others=others, clients=clients))
        faults = soak.play(draw(soak.chance, soak.settings.core, others) for _ in range(episodes))
        for path in Path(folder).glob("*.log") if faults else ():
            print(f"--- seed {seed}: {path.stem}\n{path.read_text(errors='replace')}", file=sys.stderr)
        return Played(faults, soak.last_requests)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="soak", description="Nodes under overlapping failures, by seeds.")
    parser.add_argument("--seeds", type=int, default=8, help="how many (8)")
    parser.add_argument("--first", type=int, default=1, help="the first of them (1)")
    parser.add_argument("--episodes", type=int, default=4, help="of each (4)")
    parser.add_argument("--jobs", type=int, default=4, help="fleets at once (4)")
    parser.add_argument(
        "--others", type=int, default=2, help="nodes beside the four of the core (2; 86 at most)"
    )
    parser.add_argument("--clients", type=int, default=4, help="that send requests one after another (4)")
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    failed, leaves = 0, list[float]()
    with ProcessPoolExecutor(chosen.jobs, max_tasks_per_child=1) as pool:
        one = partial(play, chosen.episodes, chosen.others, chosen.clients)
        for seed, played in zip(seeds, pool.map(one, seeds), strict=True):
            leaves += played.last_requests
            worst = max(played.last_requests, default=0.0)
            said = "; ".join(played.faults[:5]) or "no rule broken"
            print(f"seed {seed}: {said}; last request {worst:.2f} s after a leave", flush=True)
            failed += bool(played.faults)
    leaves.sort()
    parts = [leaves[int(part * (len(leaves) - 1))] for part in (0.5, 0.95, 1.0)] if leaves else [0.0] * 3
    print("from a leave to the last request, s: median {:.2f}, 95% {:.2f}, worst {:.2f}".format(*parts))
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
