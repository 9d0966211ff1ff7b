"""Nodes as real processes on loopback under overlapping failures, drawn by a seed, while clients and operators go on
and servers drain; the answers and the nodes' own invariants are checked at the end of each episode.

`python -m tests.soak --seeds N --jobs N` plays many, `tests/test_soak.py` one."""

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
from collections.abc import Callable, Sequence
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

CORE, OTHERS, SERVERS = 4, 2, 8
DRAIN_CUTOFF, IN_TOUCH = 3.0, 4.0  # seconds: `drainCutoffMs` and `inTouchMs` of the settings
HANDING_ON = 2.5  # seconds more for each node besides one that the platform does not answer
FAILURE_PHASE = 4.0  # seconds in which an episode's failures begin and end
MARGIN = 0.2  # seconds between what a server notes and the moment at which a request reached it
ASKING = 0.3  # seconds for a node's answer whether it reads the list: it may be stopped
BACK = 40.0  # seconds until all nodes are whole again
KILL, STOP, CUT, HANG, FAIL, RESET, LOST = "kill", "stop", "cut", "hang", "fail", "reset", "answer lost"
KINDS = (KILL, KILL, STOP, CUT, HANG, FAIL, RESET, LOST)
AT_NODES = frozenset((KILL, STOP, CUT))  # those after which a node must first be in touch again
AT_PLATFORM = frozenset((HANG, FAIL))

Turn = Callable[[], object]  # begins or ends a failure


@dataclass(frozen=True)
class Failure:
    """One failure.

    `node` is the one that it affects, or the server whose answers are lost; `hang` and `fail` affect the list's reader
    where there is one.  Times in seconds of the episode.
    """

    kind: str
    node: int
    begins: float
    ends: float
    ways: str = ""  # of a cut

    def strikes_core(self) -> bool:
        return self.kind in AT_NODES and self.node < CORE


def draw(chance: random.Random) -> list[Failure]:
    """Two or three failures of an episode, at least two of which overlap; no node has two at once."""
    nodes = chance.sample(range(CORE + OTHERS), chance.choice((2, 3)))
    middle = FAILURE_PHASE / 2
    return [
        Failure(
            chance.choice(KINDS),
            node,
            chance.uniform(0.0, middle - 0.2),
            chance.uniform(middle + 0.2, FAILURE_PHASE),
            chance.choice(("both", "in", "out")),
        )
        for node in nodes
    ]


class Soak:
    """One fleet and its episodes; `faults` lists every violation of a rule."""

    def __init__(self, folder: Path, seed: int, nth: int = 0) -> None:
        self.chance = random.Random(seed)
        program = ("-m", "tests.cut_node", "serve")
        self.fleet = LocalFleet(folder, CORE, OTHERS, SERVERS, program, nth=nth)
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

    def play(self, episodes: int) -> list[str]:
        """The faults of so many episodes and of a loss at their end."""
        fleet = self.fleet
        try:
            fleet.start_all(first=True)
            call_until_settled(fleet.control_addresses(), "PUT", "/-/configuration", configuration(1), BACK)
            self.wait_until_whole()
            for _ in range(episodes):
                self.episode(draw(self.chance))
            self.lose_a_disk_and_all_processes()
        except TimeoutError as error:
            self.faults.append(f"RECOVER: {error}")
        finally:
            fleet.close()
            self.background.close()
        return self.faults

    def episode(self, failures: list[Failure]) -> None:
        clients = Clients(self.fleet, 4)
        operators = Operators(lambda: self.fleet.control_addresses(), 1)
        leaving = self.chance.choice(self.fleet.servers)
        actions: list[tuple[float, Turn]] = [(self.chance.uniform(0.0, FAILURE_PHASE), leaving.drain)]
        for failure in failures:
            begin, end = self.turns(failure)
            actions += [(failure.begins, begin), (failure.ends, end)]
        began = time.monotonic()
        for at, action in sorted(actions, key=lambda one: one[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            action()
        calm = time.monotonic()
        self.wait_until_whole()
        whole = time.monotonic()
        late = self.time_to_know(failures)
        time.sleep(max(0.0, max(calm, whole - late) + IN_TOUCH + late - time.monotonic()))
        time.sleep(max(0.0, leaving.drained_at + late + 1.0 - time.monotonic()))
        operators.stop()
        clients.stop()
        self.judge_drain(clients, failures, began)
        self.judge_clients(clients)
        self.judge_operators(operators)
        self.judge_logs(failures)
        self.server_restarts += 1
        leaving.restart_as(f"i-restart-{self.server_restarts}")

    def turns(self, failure: Failure) -> tuple[Turn, Turn]:
        """What begins a failure, and what ends it."""
        fleet, n = self.fleet, failure.node
        stop_answers = partial(self.stop_list_answers, failure)
        resume_answers = partial(self.resume_list_answers, failure)
        reset = partial(self.background.loop.call_soon_threadsafe, self.stand_ins.reset_platform)
        lose_answers = partial(setattr, fleet.servers[n], "drops_answers")
        turns: dict[str, tuple[Turn, Turn]] = {
            KILL: (partial(fleet.kill, n), partial(fleet.start, n)),
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
        for n in range(CORE):
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

    @staticmethod
    def time_to_know(failures: Sequence[Failure]) -> float:
        """Seconds in which every connected node must know of a server that drains.

        A holder that the platform does not answer hands its role over in time; a second one, or one that has just
        acquired it from one that ended, is late.
        """
        unanswered = sum(failure.kind in AT_PLATFORM for failure in failures)
        alone = not any(failure.strikes_core() for failure in failures)
        return DRAIN_CUTOFF + HANDING_ON * max(0, unanswered - alone)

    def judge_drain(self, clients: Clients, failures: list[Failure], began: float) -> None:
        late = self.time_to_know(failures)
        core = max((began + one.ends for one in failures if one.strikes_core()), default=-math.inf)
        for server in self.fleet.servers:
            for late_request in server.after_drain:
                at, attempt = late_request.at, late_request.attempt
                node = clients.nodes[attempt]
                own = (began + one.ends for one in failures if one.kind in AT_NODES and one.node == node)
                in_touch = max(core, *own, -math.inf) + IN_TOUCH
                bound = max(server.drained_at + late, in_touch + late - DRAIN_CUTOFF) + MARGIN
                if at > bound:
                    after = at - server.drained_at
                    self.faults.append(
                        f"DRAIN: {attempt} reached {server.id} by node {node} {after:.2f} s after"
                    )

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

    def judge_logs(self, failures: list[Failure]) -> None:
        """Check the logs for violated invariants and errors, also those of processes that have ended."""
        excused = self.time_to_know(failures) > DRAIN_CUTOFF  # the list can be known no sooner
        for path in sorted(self.fleet.folder.glob("*.log")):
            text = path.read_text(errors="replace")
            new, self.seen[path] = text[self.seen.get(path, 0) :], len(text)
            for line in new.splitlines():
                broken = "invariant" in line and not (excused and "list_known" in line)
                if broken or "daemon: failed" in line or "Traceback" in line:
                    self.faults.append(f"INVARIANT: {path.stem}: {line}")

    def lose_a_disk_and_all_processes(self) -> None:
        """All processes end at the same moment, also those without a disk, and a member's disk is lost."""
        lost = self.chance.randrange(CORE)
        for process in self.fleet.processes.values():
            process.kill()
        for n in self.fleet.remaining_nodes():
            self.fleet.kill(n)
        self.fleet.wipe(lost)
        self.fleet.start_all()
        self.wait_until_whole()
        self.read_back()


def play(episodes: int, seed: int) -> list[str]:
    """The faults of one fleet's episodes; its logs go to standard error where there are any."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        faults = Soak(Path(folder), seed).play(episodes)
        for path in Path(folder).glob("*.log") if faults else ():
            print(f"--- seed {seed}: {path.stem}\n{path.read_text(errors='replace')}", file=sys.stderr)
        return faults


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="soak", description="Nodes under overlapping failures, by seeds.")
    parser.add_argument("--seeds", type=int, default=8, help="how many (8)")
    parser.add_argument("--first", type=int, default=1, help="the first of them (1)")
    parser.add_argument("--episodes", type=int, default=4, help="of each (4)")
    parser.add_argument("--jobs", type=int, default=4, help="fleets at once (4)")
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    failed = 0
    with ProcessPoolExecutor(chosen.jobs, max_tasks_per_child=1) as pool:
        for seed, faults in zip(seeds, pool.map(partial(play, chosen.episodes), seeds), strict=True):
            print(f"seed {seed}: {'no rule broken' if not faults else '; '.join(faults[:5])}", flush=True)
            failed += bool(faults)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
