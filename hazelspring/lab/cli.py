"""The `hazelspring` command: plays the lab's scenarios, which are called days, and prints the results."""

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

MAX_PRINTED_BREACHES = 20  # per rule
PLAIN_INTERVAL_S = 5.0  # seconds between progress lines when the output is not a terminal
ROOT = Path(__file__).parent.parent.parent


class PlayError(Exception):
    """The runner process could not play the day, or ended early; the message gives the reason."""


class RunnerProcess:
    """The runner process of one play, and the pipes to it.  The folder of the play exists until `close`."""

    def __init__(
        self, day: Day, seed: int, gateway_command: tuple[str, ...] = (), gateway_root: str = ""
    ) -> None:
        play = Play(
            day.model_dump_json(by_alias=True),
            seed,
            secrets.token_hex(16),
            "",
            gateway_command=gateway_command,
            gateway_root=gateway_root,
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hazelspring.lab.play_runner"], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, cwd=ROOT, start_new_session=True,
        )  # fmt: skip
        assert self.process.stdin is not None and self.process.stdout is not None
        self.stdin: IO[bytes] = self.process.stdin
        self.stdout: IO[bytes] = self.process.stdout
        self.stdin.write(msgspec.json.encode(play) + b"\n")
        self.stdin.flush()

    def lines(self) -> Iterator[dict[str, Any]]:
        """Yield the events that the runner process prints, up to and including `done`.

        Raises PlayError when the runner process reports a failure or ends before `done`.
        """
        for line in self.stdout:
            event = msgspec.json.decode(line)
            if "failed" in event:
                raise PlayError(event["failed"])
            yield event
            if "done" in event:
                return
        raise PlayError("the runner process ended before the play was done")

    def finish(self) -> None:
        """Stop sending new attempts; the play ends once the open attempts have ended."""
        with contextlib.suppress(OSError):
            self.stdin.write(b'{"finish":true}\n')
            self.stdin.flush()

    def close(self) -> None:
        """Close the pipe, at which the runner process cleans up, and wait until that process has ended."""
        with contextlib.suppress(OSError):
            self.stdin.close()
        self.process.wait()


class View:
    """Shows the progress of a play: as a live table on a terminal, else as a line every 5 s."""

    def __init__(self, day: Day, title: str) -> None:
        self.day, self.title = day, title
        self.console = Console(stderr=True)
        self.live = Live(console=self.console, auto_refresh=False) if self.console.is_terminal else None
        self.printed_at = 0.0
        self.previous: dict[str, float] = {}

    def __enter__(self) -> View:
        if self.live is not None:
            self.live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self.live is not None:
            self.live.stop()

    def print_line(self, text: str) -> None:
        """Print one line on stderr, above the live table where there is one."""
        (self.live.console if self.live is not None else self.console).print(
            text, highlight=False, soft_wrap=True
        )

    def show(self, event: dict[str, Any]) -> None:
        """Show the counts since the last update; does nothing until the load generator has reported."""
        load = event["stats"].get("load")
        if load is None:
            return
        counter = event["stats"]["counter"]
        per = {key: load[key] - self.previous.get(key, 0) for key in ("sent", "served", "refused", "failed")}
        if self.live is None:
            if time.monotonic() - self.printed_at < PLAIN_INTERVAL_S:
                return
            self.printed_at, self.previous = time.monotonic(), dict(load)
            self.print_line(
                f"{event['at']:6.1f} s  sent {per['sent']}, served {per['served']}, "
                f"refused {per['refused']}, failed {per['failed']}, open {load['open']}, "
                f"p50 {load['p50'] * 1e3:.0f} ms, p99 {load['p99'] * 1e3:.0f} ms"
            )
            return
        self.previous = dict(load)
        table = Table(title=f"{self.title}: {event['at']:.0f} of {self.day.length_s:g} s", expand=False)
        for column in (
            "attempts/s",
            "served",
            "refused",
            "failed",
            "open",
            "p50 ms",
            "p99 ms",
            "counter calls",
        ):
            table.add_column(column, justify="right")
        table.add_row(
            *(f"{per[key]:.0f}" for key in ("sent", "served", "refused", "failed")),
            f"{load['open']}", f"{load['p50'] * 1e3:.0f}", f"{load['p99'] * 1e3:.0f}", f"{counter['calls']}",
        )  # fmt: skip
        gateways = Table("gateway", "client address", "operator address", "processes")
        for row in event["doors"]:
            gateways.add_row(row["name"], row["listen"], row["management"], str(row["processes"]))
        grid = Table.grid()
        grid.add_row(table)
        grid.add_row(gateways)
        self.live.update(grid, refresh=True)


def play(
    day: Day,
    seed: int,
    title: str,
    gateway_command: tuple[str, ...] = (),
    gateway_root: str = "",
    quiet: bool = False,
    signals: bool = True,
    report: Path | None = None,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Play a day; return its figures and the breaches of each rule.  Raises PlayError.

    `gateway_command` and `gateway_root` are the command of another gateway and the folder to run it in; if
    they are empty, the gateway of this checkout is used.  `signals` says whether SIGINT ends the play early;
    only the main thread can handle signals.
    """
    from hazelspring.lab.figures import figures
    from hazelspring.lab.rules import PlayRecords, judge

    runner = RunnerProcess(day, seed, gateway_command, gateway_root)
    interrupted = False

    def interrupt(*_: object) -> None:
        nonlocal interrupted
        if interrupted:
            raise KeyboardInterrupt
        interrupted = True
        runner.finish()

    previous = signal.signal(signal.SIGINT, interrupt) if signals else None
    try:
        with View(day, title) as view:
            for event in runner.lines():
                if "started" in event and not quiet:
                    view.print_line(f"front doors: {', '.join(event['started'].values())}")
                elif "stats" in event and not quiet:
                    view.show(event)
                elif "done" in event:
                    data = PlayRecords.load(day, seed, Path(event["done"]))
                    breaches = judge(data)
                    found = figures(data, breaches, revision())
                    if report is not None:
                        from hazelspring.lab.report import (
                            write as write_page,  # takes 0.5 s, and is needed only for a report
                        )

                        click.echo(
                            f"report: {write_page(report, title, data, found, breaches, Path(event['done']))}"
                        )
                    return found, breaches
    finally:
        if signals:
            signal.signal(signal.SIGINT, previous)
        runner.close()
    raise PlayError("the runner process ended before the play was done")


def revision() -> str:
    """Return the commit of this checkout, with a `+` if files differ from it; `unknown` without git."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=ROOT, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return found.stdout.strip()


def print_result(found: dict[str, Any], breaches: dict[str, Any]) -> int:
    """Print the figures and the breaches of a play; return the exit status: 0, or 1 if a rule was broken."""
    requests, latency = found["requests"], found["latency_ms"]
    click.echo(
        f"{requests['asked']} requests: {requests['served']} served, {requests['refused']} refused, "
        f"{requests['failed']} failed, {requests['lost']} lost, {requests['twice']} run twice; "
        f"share of the worth served in time {found['worth_share']:.3f}, "
        f"in the worst 10 s {found['worst_10s_worth_share']:.3f}; "
        f"share of the admitted units beyond quotas {found['beyond_quota_share']:.3f}"
    )
    click.echo(
        f"latency p50 {latency['p50']:.0f}, p99 {latency['p99']:.0f}, p999 {latency['p999']:.0f} ms; "
        f"per request: handshakes {found['handshakes_per_request']:.3f}, counter calls "
        f"{found['counter_calls_per_request']:.3f}, probes {found['probes_per_request']:.3f}, "
        f"CPU time {found['door']['cpu_us_per_request']:.0f} us; CPU time per gateway start "
        f"{found['door']['start_cpu_s']:.2f} s; peak usage of one gateway: "
        f"{found['door']['memory_kb']} kB of memory, {found['door']['descriptors_most']} file descriptors"
    )
    broken = {name: breach for name, breach in breaches.items() if breach}
    for name, listed in broken.items():
        for breach in listed[:MAX_PRINTED_BREACHES]:
            click.echo(f"BROKEN {name}: {breach.who} at {breach.at:.3f} s: {breach.detail}")
        if len(listed) > MAX_PRINTED_BREACHES:
            click.echo(f"BROKEN {name}: and {len(listed) - MAX_PRINTED_BREACHES} more")
    if not found["valid"]:
        load = found["load"]
        click.echo(
            f"NOT VALID: the load generator started {load['late_share']:.1%} of the attempts late, "
            f"by up to {load['most_late_ms']:.0f} ms"
        )
    click.echo("all rules kept" if not broken else f"rules broken: {', '.join(broken)}")
    return 1 if broken else 0


def finish_run(found: dict[str, Any], breaches: dict[str, Any], path: Path | None) -> int:
    """Write the figures as JSON to `path` unless it is None, print the result and return the exit status."""
    if path is not None:
        write(path, json.dumps(found, indent=1, sort_keys=True) + "\n")
    return print_result(found, breaches)


def write(path: Path, text: str) -> None:
    """Write the text to a temporary file and rename it to `path`, which thus never holds a partial text."""
    with tempfile.NamedTemporaryFile("w", dir=path.parent, delete=False) as out:
        out.write(text)
    os.replace(out.name, path)


def print_error(error: Exception) -> int:
    """Print each problem of the error on stderr; return exit status 2."""
    for problem in getattr(error, "problems", (str(error),)):
        click.echo(f"hazelspring: {problem}", err=True)
    return 2


@click.group()
def main() -> None:
    """hazelspring: an admission gateway for a service sold by plan, and the lab that tests it."""


@main.group()
def lab() -> None:
    """Run a complete fleet on this machine, on loopback addresses."""


@lab.command()
def days() -> None:
    """List the days that are shipped with the lab, one per line."""
    for name in shipped():
        day = load_day(name)
        click.echo(
            f"{name:18} {day.length_s:4.0f} s  {day.doors:3} gateways {day.servers:3} servers  {day.about}"
        )


@lab.command()
@click.option("--for", "length", type=click.FloatRange(min=1, max=3600), help="Seconds; an hour by default.")
@click.option("--doors", type=click.IntRange(1, 100), help="Number of gateways; 3 by default.")
@click.option("--servers", type=click.IntRange(1, 200), help="Number of alert servers; 12 by default.")
@click.option("--seed", type=int, default=1, show_default=True)
def up(length: float | None, doors: int | None, servers: int | None, seed: int) -> None:
    """Start a fleet under steady load; Ctrl-C ends the load, stops the fleet and checks the rules."""
    sys.exit(run_day("calm", seed, length or 3600.0, doors, servers, None))


@lab.command()
@click.argument("day")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--for", "length", type=click.FloatRange(min=1, max=3600), help="Seconds; the day's own by default."
)
@click.option("--doors", type=click.IntRange(1, 100))
@click.option("--servers", type=click.IntRange(1, 200))
@click.option("--json", "path", type=click.Path(dir_okay=False, writable=True, path_type=Path))
@click.option(
    "--report", type=click.Path(file_okay=False, path_type=Path), help="Folder to which a report is written."
)
def run(
    day: str,
    seed: int,
    length: float | None,
    doors: int | None,
    servers: int | None,
    path: Path | None,
    report: Path | None,
) -> None:
    """Play DAY, the name of a shipped day or the path of a TOML file.

    Exit status 0: all rules were kept; 1: a rule was broken; 2: the day file or the arguments are invalid,
    or the play failed.
    """
    sys.exit(run_day(day, seed, length, doors, servers, path, report))


@lab.command()
@click.argument("day")
@click.option("--a", "a", required=True, help="A git revision.")
@click.option("--b", "b", required=True, help="The git revision to compare it with.")
@click.option("--plays", type=click.IntRange(2, 1000), default=6, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="The first seed.")
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
    """Play DAY with two revisions in turn, with the same seeds, and print the differences of the figures."""
    from hazelspring.lab.compare import CompareError, build, collect, differences

    try:
        chosen_day = load_day(day, length_s=length, doors=doors, servers=servers)
        sides = build(a), build(b)

        def play_side(side: int, number: int) -> dict[str, Any]:
            built = sides[side]
            found, _ = play(chosen_day, number, day, built.gateway_command, str(built.root), quiet=True)
            return found | {"revision": built.commit}

        ours, theirs = collect(plays, seed, play_side, click.echo)
    except (DayError, PlayError, CompareError) as error:
        sys.exit(print_error(error))
    if len(ours) < 2:
        sys.exit(
            print_error(PlayError("fewer than two pairs of valid plays: a comparison needs at least two"))
        )
    found = differences(ours, theirs)
    click.echo(f"{'figure':28} {'A ' + sides[0].commit:>14} {'B ' + sides[1].commit:>14}  B - A, interval")
    for each in found:
        shown = f"[{each.low:+.4g}, {each.high:+.4g}]" if each.significant else "no significant difference"
        click.echo(f"{each.key:28} {each.a:14.4f} {each.b:14.4f}  {each.b - each.a:+.4g} {shown}")
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
    """Play one day and print its result; return the exit status, 2 if the day could not be played."""
    try:
        day = load_day(name, length_s=length, doors=doors, servers=servers)
        return finish_run(*play(day, seed, name, report=report), path)
    except (DayError, PlayError) as error:
        return print_error(error)


if __name__ == "__main__":
    main()
