"""The lab on real sockets: real front doors, doors that are wrong on purpose, and a killed command."""

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
SIDE_BY_SIDE = 4
FAULTS: dict[str, list[dict[str, object]]] = {
    "drained": [{"kind": "drain_servers", "at": 1, "for": 4, "part": 0.5}],
    "cold": [{"kind": "kill_servers", "at": 0.5, "for": 0.5, "part": 0.2}],
    "rude": [{"kind": "hostile", "at": 0, "for": 1, "size": 8}],
    "calls": [{"kind": "ban", "at": 0.5, "for": 1.5, "part": 0.2}],
}


def left_over(since: set[str]) -> set[str]:
    """Folders of plays, and processes that play."""
    found = {str(path) for path in Path("/tmp").glob("fleetlab-*")}
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            text = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            state = (path.parent / "stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            continue
        if re.search(r"hazelspring\.lab\.st|-m hazelspring\.gateway", text) and state != "Z":
            found.add(f"{path.parent.name} {text}")
    return found - since


def broken_by(wrong: str) -> dict[str, int]:
    """The rules that this door breaks on a short day, with the number of breaches."""
    name = "limits" if wrong == "log" else wrong
    day = Day.model_validate(
        {
            "about": "x", "length_s": 12 if wrong == "cold" else 4, "doors": 2, "servers": 10, "load": 0.25,
            "told_s": (0.05, 0.1), "faults": FAULTS.get(name, []),
            "allow": {"beyond_quota": 0.01 if wrong == "quotas" else 1.0},
        }
    )  # fmt: skip
    door = (sys.executable, "-m", "hazelspring.lab.wrongdoor", wrong)
    found, breaches = play(day, 1, wrong, door, quiet=True, signals=False)
    assert found["requests"]["served"] > 20
    return {name: len(listed) for name, listed in breaches.items() if listed}


def test_each_rule_reports_the_door_that_breaks_it_and_no_other_rule_does() -> None:
    doors = ["", *RULES, "log"]
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        found = dict(zip(doors, pool.map(broken_by, doors), strict=True))
    expected = {"": set[str](), "log": {"limits"}} | {name: {name} for name in RULES}
    assert {name: set(rules) for name, rules in found.items()} == expected


def test_a_play_with_real_doors_keeps_the_rules_and_leaves_nothing(tmp_path: Path) -> None:
    before, path = left_over(set()), tmp_path / "out.json"
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
    assert not left_over(before)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_a_command_that_is_ended_midway_leaves_nothing(number: int) -> None:
    before = left_over(set())
    command = subprocess.Popen(
        [*COMMAND, "up", "--doors", "2", "--servers", "3"], stderr=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert command.stderr is not None and command.stdout is not None
    try:
        assert b"front doors: 127.0.0.1:" in command.stderr.readline()
        assert left_over(before)
        os.kill(command.pid, number)
        told = command.stdout.read()
        assert (command.wait(60), b"all rules kept" in told) == ((-9, False) if number == 9 else (0, True))
        until = time.monotonic() + 30
        while left_over(before) and time.monotonic() < until:
            time.sleep(0.1)
        assert not left_over(before)
    finally:
        command.kill()
        command.wait()


def test_calls_that_cannot_be_played_end_with_2_and_say_why(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text('about = "x"\nload = -1\n')
    for arguments, said in (
        (["run", str(path)], "load: Input should be greater than 0: -1"),
        (["run", "nowhere"], "nowhere: no shipped day, and no file"),
        (["compare", "calm", "--a", "no-such-revision", "--b", "HEAD"], "git rev-parse"),
    ):
        done = CliRunner().invoke(main, ["lab", *arguments])
        assert done.exit_code == 2 and said in done.output, done.output


def test_a_door_that_never_gets_ready_is_told_with_its_last_words() -> None:
    day = Day.model_validate({"about": "x", "length_s": 1, "doors": 1, "servers": 1, "allow": {"ready_s": 1}})
    with pytest.raises(Exception, match=r"did not get ready: .*SystemExit: no"):
        play(day, 1, "x", (sys.executable, "-c", "raise SystemExit('SystemExit: no')"), quiet=True)
