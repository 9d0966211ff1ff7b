"""Tests of the lab on real sockets: real gateways, deliberately faulty gateways, and killed commands."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from click.testing import CliRunner

from hazelspring.lab.cli import main, play
from hazelspring.lab.day import Day
from hazelspring.lab.rules import RULES

COMMAND = (sys.executable, "-m", "hazelspring.lab.cli", "lab")
CONCURRENT_PLAYS = 4
FAULTS: dict[str, list[dict[str, object]]] = {
    "drained": [{"kind": "drain_servers", "at": 1, "for": 4, "part": 0.5}],
    "cold": [{"kind": "kill_servers", "at": 0.5, "for": 0.5, "part": 0.2}],
    "rude": [{"kind": "hostile", "at": 0, "for": 1, "size": 8}],
    "calls": [{"kind": "ban", "at": 0.5, "for": 1.5, "part": 0.2}],
}


def leftovers(known: set[str]) -> set[str]:
    """Return the folders and processes of plays that exist now, except those in `known`."""
    found = {str(path) for path in Path("/tmp").glob("fleetlab-*")}
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            text = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            state = (path.parent / "stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            continue
        if (
            re.search(r"hazelspring\.lab\.(play_runner|simulators)|-m hazelspring\.gateway", text)
            and state != "Z"
        ):
            found.add(f"{path.parent.name} {text}")
    return found - known


def rules_broken_by(fault: str) -> dict[str, int]:
    """Return the rules that a gateway with this fault breaks in a short play, with the breach counts."""
    name = "limits" if fault == "log" else fault
    day = Day.model_validate(
        {
            "about": "x", "length_s": 12 if fault == "cold" else 4, "doors": 2, "servers": 10, "load": 0.25,
            "told_s": (0.05, 0.1), "faults": FAULTS.get(name, []),
            "allow": {"beyond_quota": 0.01 if fault == "quotas" else 1.0},
        }
    )  # fmt: skip
    gateway_command = (sys.executable, "-m", "hazelspring.lab.faulty_gateway", fault)
    found, breaches = play(day, 1, fault, gateway_command, quiet=True, signals=False)
    assert found["requests"]["served"] > 20
    return {name: len(listed) for name, listed in breaches.items() if listed}


def test_each_rule_reports_the_door_that_breaks_it_and_no_other_rule_does() -> None:
    """Plays against gateways with one deliberate fault each break the rule of that fault and no other."""
    faults = ["", *RULES, "log"]
    with ThreadPoolExecutor(CONCURRENT_PLAYS) as pool:
        found = dict(zip(faults, pool.map(rules_broken_by, faults), strict=True))
    expected = {"": set[str](), "log": {"limits"}} | {name: {name} for name in RULES}
    assert {name: set(rules) for name, rules in found.items()} == expected


def test_a_play_with_real_gateways_breaks_no_rule_and_leaves_no_process_or_folder(tmp_path: Path) -> None:
    """A day with crashes passes all rules, writes figures and report, and cleans up."""
    before, path = leftovers(set()), tmp_path / "out.json"
    done = subprocess.run(
        [*COMMAND, "run", "crash", "--for", "8", "--servers", "6", "--seed", "4", "--json", str(path),
         "--report", str(tmp_path / "page")],
        capture_output=True, text=True, timeout=90,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(path.read_text())
    assert found["seed"] == 4 and found["requests"]["served"] > 100 and found["requests"]["lost"] == 0
    assert found["rules"] == dict.fromkeys(RULES, 0) and "all rules kept" in done.stdout
    page = (tmp_path / "page" / "index.html").read_text()
    assert page.count("<svg") == 5 and "kill_doors" in page
    seconds = [json.loads(line) for line in (tmp_path / "page" / "series.jsonl").read_text().splitlines()]
    assert len(seconds) >= 8 and sum(s["served"] for s in seconds) >= found["requests"]["served"]
    assert not leftovers(before)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGINT])
def test_an_interrupted_or_killed_command_leaves_no_process_or_folder(signal_number: int) -> None:
    """SIGINT ends the play with a result, and SIGKILL without one; both clean up within 30 s."""
    before = leftovers(set())
    command = subprocess.Popen(
        [*COMMAND, "up", "--doors", "2", "--servers", "3"], stderr=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert command.stderr is not None and command.stdout is not None
    try:
        assert b"front doors: 127.0.0.1:" in command.stderr.readline()
        assert leftovers(before)
        os.kill(command.pid, signal_number)
        output = command.stdout.read()
        assert (command.wait(60), b"all rules kept" in output) == (
            (-9, False) if signal_number == 9 else (0, True)
        )
        until = time.monotonic() + 30
        while leftovers(before) and time.monotonic() < until:
            time.sleep(0.1)
        assert not leftovers(before)
    finally:
        command.kill()
        command.wait()


def test_invalid_commands_exit_with_status_2_and_the_reason(tmp_path: Path) -> None:
    """The reason names the key, the file or the git command at fault."""
    path = tmp_path / "day.toml"
    path.write_text('about = "x"\nload = -1\n')
    for arguments, expected in (
        (["run", str(path)], "load: Input should be greater than 0: -1"),
        (["run", "nowhere"], "nowhere: no shipped day, and no file"),
        (["compare", "calm", "--a", "no-such-revision", "--b", "HEAD"], "git rev-parse"),
    ):
        done = CliRunner().invoke(main, ["lab", *arguments])
        assert done.exit_code == 2 and expected in done.output, done.output


def test_a_gateway_that_does_not_become_ready_is_reported_with_the_end_of_its_log() -> None:
    """The error contains the last lines that the gateway wrote to its log."""
    day = Day.model_validate({"about": "x", "length_s": 1, "doors": 1, "servers": 1, "allow": {"ready_s": 1}})
    with pytest.raises(Exception, match=r"did not become ready: .*SystemExit: no"):
        play(day, 1, "x", (sys.executable, "-c", "raise SystemExit('SystemExit: no')"), quiet=True)
