"""The `hazelspring` command: what a person calls, shown on a terminal or as plain lines."""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from hazelspring.lab.day import Day, DayError, load_day, shipped
from hazelspring.lab.plan import Play

KEPT_BREACHES = 20  # of each rule that are printed
PLAIN_EVERY = 5.0  # seconds between lines where there is no terminal
ROOT = Path(__file__).parent.parent.parent


class Halted(Exception):
    """The stage could not play: why."""


class Stage:
    """The stage's process, as the command sees it.  Its folder lives until `close`."""

    def __init__(self, day: Day, seed: int, door: tuple[str, ...] = (), root: str = "") -> None:
        told = Play(day.model_dump_json(by_alias=True), seed, secrets.token_hex(16), "", door=door, root=root)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hazelspring.lab.stage"], stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            cwd=ROOT, start_new_session=True,
        )  # fmt: skip
        assert self.process.stdin is not None and self.process.stdout is not None
        self.stdin: IO[bytes] = self.process.stdin
        self.stdout: IO[bytes] = self.process.stdout
        self.stdin.write(msgspec.json.encode(told) + b"\n")
        self.stdin.flush()

    def lines(self) -> Iterator[dict[str, Any]]:
        """What it tells, until it is done.  Raises Halted."""
        for line in self.stdout:
            said = msgspec.json.decode(line)
            if "failed" in said:
                raise Halted(said["failed"])
            yield said
            if "done" in said:
                return
        raise Halted("the stage has ended")

    def finish(self) -> None:
        """No more tries: let what is open end, and then the play."""
        with contextlib.suppress(OSError):
            self.stdin.write(b'{"finish":true}\n')
            self.stdin.flush()

    def close(self) -> None:
        """The pipe's end: the stage clears up."""
        with contextlib.suppress(OSError):
            self.stdin.close()
        self.process.wait()


class View:
    """A live table on a terminal, a line now and then elsewhere."""

    def __init__(self, day: Day, what: str) -> None:
        self.day, self.what = day, what
        self.console = Console(stderr=True)
        self.live = Live(console=self.console, auto_refresh=False) if self.console.is_terminal else None
        self.said_at = 0.0
        self.before: dict[str, float] = {}

    def __enter__(self) -> View:
        if self.live is not None:
            self.live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self.live is not None:
            self.live.stop()

    def say(self, text: str) -> None:
        (self.live.console if self.live is not None else self.console).print(
            text, highlight=False, soft_wrap=True
        )

    def show(self, said: dict[str, Any]) -> None:
        load = said["stats"].get("load")
        if load is None:
            return
        counter = said["stats"]["counter"]
        per = {key: load[key] - self.before.get(key, 0) for key in ("sent", "served", "refused", "failed")}
        if self.live is None:
            if time.monotonic() - self.said_at < PLAIN_EVERY:
                return
            self.said_at, self.before = time.monotonic(), dict(load)
            self.say(
                f"{said['at']:6.1f} s  sent {per['sent']}, served {per['served']}, refused {per['refused']}, "
                f"failed {per['failed']}, open {load['open']}, p50 {load['p50'] * 1e3:.0f} ms, "
                f"p99 {load['p99'] * 1e3:.0f} ms"
            )
            return
        self.before = dict(load)
        table = Table(title=f"{self.what}: {said['at']:.0f} of {self.day.length_s:g} s", expand=False)
        for column in ("tries/s", "served", "refused", "failed", "open", "p50 ms", "p99 ms", "counter calls"):
            table.add_column(column, justify="right")
        table.add_row(
            *(f"{per[key]:.0f}" for key in ("sent", "served", "refused", "failed")),
            f"{load['open']}", f"{load['p50'] * 1e3:.0f}", f"{load['p99'] * 1e3:.0f}", f"{counter['calls']}",
        )  # fmt: skip
        doors = Table("front door", "clients", "operators", "processes")
        for door in said["doors"]:
            doors.add_row(door["name"], door["listen"], door["management"], str(door["processes"]))
        grid = Table.grid()
        grid.add_row(table)
        grid.add_row(doors)
        self.live.update(grid, refresh=True)


def play(
    day: Day,
    seed: int,
    what: str,
    door: tuple[str, ...] = (),
    root: str = "",
    quiet: bool = False,
    signals: bool = True,
    report: Path | None = None,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Play a day; its figures, and the breaches of each rule.  Raises Halted.

    `door` and `root`: another front door's command and folder; `signals`: whether SIGINT ends it early, which
    only a main thread can have.
    """
    from hazelspring.lab.figures import figures
    from hazelspring.lab.rules import Seen, judge

    stage = Stage(day, seed, door, root)
    interrupted = False

    def interrupt(*_: object) -> None:
        nonlocal interrupted
        if interrupted:
            raise KeyboardInterrupt
        interrupted = True
        stage.finish()

    before = signal.signal(signal.SIGINT, interrupt) if signals else None
    try:
        with View(day, what) as view:
            for said in stage.lines():
                if "started" in said and not quiet:
                    view.say(f"front doors: {', '.join(said['started'].values())}")
                elif "stats" in said and not quiet:
                    view.show(said)
                elif "done" in said:
                    seen = Seen.load(day, seed, Path(said["done"]))
                    breaches = judge(seen)
                    found = figures(seen, breaches, revision())
                    if report is not None:
                        from hazelspring.lab.report import (
                            write as write_report,  # 0.5 s that no other play needs
                        )

                        click.echo(
                            f"report: {write_report(report, what, seen, found, breaches, Path(said['done']))}"
                        )
                    return found, breaches
    finally:
        if signals:
            signal.signal(signal.SIGINT, before)
        stage.close()
    raise Halted("the stage has ended")


def revision() -> str:
    """The commit that is played, with a mark where files have changed since."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return found.stdout.strip()


def verdict(found: dict[str, Any], breaches: dict[str, Any]) -> int:
    """Print what came of a play; the status to end with."""
    asked, latency = found["requests"], found["latency_ms"]
    click.echo(
        f"{asked['asked']} requests: {asked['served']} served, {asked['refused']} refused, "
        f"{asked['failed']} failed, {asked['lost']} lost, {asked['twice']} run twice; "
        f"worth {found['worth_share']:.3f}, worst 10 s {found['worst_10s_worth_share']:.3f}, "
        f"beyond quotas {found['beyond_quota_share']:.3f}"
    )
    click.echo(
        f"latency p50 {latency['p50']:.0f}, p99 {latency['p99']:.0f}, p999 {latency['p999']:.0f} ms; "
        f"for each request: handshakes {found['handshakes_per_request']:.3f}, counter calls "
        f"{found['counter_calls_per_request']:.3f}, probes {found['probes_per_request']:.3f}, "
        f"CPU {found['door']['cpu_us_per_request']:.0f} us; a start {found['door']['start_cpu_s']:.2f} s, "
        f"{found['door']['memory_kb']} kB, {found['door']['descriptors_most']} descriptors"
    )
    broken = {name: breach for name, breach in breaches.items() if breach}
    for name, listed in broken.items():
        for breach in listed[:KEPT_BREACHES]:
            click.echo(f"BROKEN {name}: {breach.who} at {breach.at:.3f} s: {breach.how}")
        if len(listed) > KEPT_BREACHES:
            click.echo(f"BROKEN {name}: and {len(listed) - KEPT_BREACHES} more")
    if not found["valid"]:
        load = found["load"]
        click.echo(
            f"NOT VALID: {load['late_share']:.1%} of the tries left late, up to {load['most_late_ms']:.0f} ms"
        )
    click.echo("all rules kept" if not broken else f"rules broken: {', '.join(broken)}")
    return 1 if broken else 0


def settle(found: dict[str, Any], breaches: dict[str, Any], path: Path | None) -> int:
    if path is not None:
        write(path, json.dumps(found, indent=1, sort_keys=True) + "\n")
    return verdict(found, breaches)


def write(path: Path, text: str) -> None:
    """A file whole or not at all."""
    with tempfile.NamedTemporaryFile("w", dir=path.parent, delete=False) as out:
        out.write(text)
    os.replace(out.name, path)


def halted(error: Exception) -> int:
    for problem in getattr(error, "problems", (str(error),)):
        click.echo(f"hazelspring: {problem}", err=True)
    return 2


@click.group()
def main() -> None:
    """hazelspring: a front door for a service sold by plan, and what is needed to try and measure it."""


@main.group()
def lab() -> None:
    """A whole fleet on this machine, on loopback addresses."""


@lab.command()
def days() -> None:
    """The days that come along, a line each."""
    for name in shipped():
        day = load_day(name)
        click.echo(
            f"{name:18} {day.length_s:4.0f} s  {day.doors:3} doors {day.servers:3} servers  {day.about}"
        )


@lab.command()
@click.option("--for", "length", type=click.FloatRange(min=1, max=3600), help="Seconds; else up to an hour.")
@click.option("--doors", type=click.IntRange(1, 100), help="Front doors; 3 unless given.")
@click.option("--servers", type=click.IntRange(1, 200), help="Alert servers; 12 unless given.")
@click.option("--seed", type=int, default=1, show_default=True)
def up(length: float | None, doors: int | None, servers: int | None, seed: int) -> None:
    """Start a fleet with steady clients; Ctrl-C drains it and judges the rules."""
    sys.exit(run_day("calm", seed, length or 3600.0, doors, servers, None))


@lab.command()
@click.argument("day")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--for", "length", type=click.FloatRange(min=1, max=3600), help="Seconds, for the day's own.")
@click.option("--doors", type=click.IntRange(1, 100))
@click.option("--servers", type=click.IntRange(1, 200))
@click.option("--json", "path", type=click.Path(dir_okay=False, writable=True, path_type=Path))
@click.option("--report", type=click.Path(file_okay=False, path_type=Path), help="A folder for a page.")
def run(
    day: str,
    seed: int,
    length: float | None,
    doors: int | None,
    servers: int | None,
    path: Path | None,
    report: Path | None,
) -> None:
    """Play DAY, a shipped name or a TOML file.

    Status 0: all rules kept; 1: a rule broken; 2: a bad file or call.
    """
    sys.exit(run_day(day, seed, length, doors, servers, path, report))


@lab.command()
@click.argument("day")
@click.option("--a", "a", required=True, help="A revision, as git names it.")
@click.option("--b", "b", required=True, help="Another.")
@click.option("--plays", type=click.IntRange(2, 1000), default=6, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="The first one.")
@click.option("--for", "length", type=click.FloatRange(min=1, max=3600))
@click.option("--doors", type=click.IntRange(1, 100))
@click.option("--servers", type=click.IntRange(1, 200))
@click.option("--json", "path", type=click.Path(dir_okay=False, writable=True, path_type=Path))
def compare(
    day: str,
    a: str,
    b: str,
    plays: int,
    seed: int,
    length: float | None,
    doors: int | None,
    servers: int | None,
    path: Path | None,
) -> None:
    """Play DAY with two revisions in turn, on the same seeds, and tell what differs."""
    from hazelspring.lab.compare import CompareError, build, collect, differences

    try:
        chosen = load_day(day, length_s=length, doors=doors, servers=servers)
        sides = build(a), build(b)

        def one(side: int, number: int) -> dict[str, Any]:
            built = sides[side]
            found, _ = play(chosen, number, day, built.door, str(built.root), quiet=True)
            return found | {"revision": built.commit}

        ours, theirs = collect(plays, seed, one, click.echo)
    except (DayError, Halted, CompareError) as error:
        sys.exit(halted(error))
    if len(ours) < 2:
        sys.exit(halted(Halted("fewer than two valid pairs: nothing to compare")))
    found = differences(ours, theirs)
    click.echo(f"{'figure':28} {'A ' + sides[0].commit:>14} {'B ' + sides[1].commit:>14}  B - A, interval")
    for each in found:
        said = f"[{each.low:+.4g}, {each.high:+.4g}]" if each.shown else "no difference shown"
        click.echo(f"{each.key:28} {each.a:14.4f} {each.b:14.4f}  {each.b - each.a:+.4g} {said}")
    if path is not None:
        listed = [msgspec.to_builtins(each) for each in found]
        write(path, json.dumps({"a": ours, "b": theirs, "differences": listed}, indent=1) + "\n")


def run_day(
    name: str,
    seed: int,
    length: float | None,
    doors: int | None,
    servers: int | None,
    path: Path | None,
    report: Path | None = None,
) -> int:
    try:
        day = load_day(name, length_s=length, doors=doors, servers=servers)
        return settle(*play(day, seed, name, report=report), path)
    except (DayError, Halted) as error:
        return halted(error)


if __name__ == "__main__":
    main()
