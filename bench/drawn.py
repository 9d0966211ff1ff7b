"""Plays random days with all kinds of faults that the bench knows, and keeps those that broke a rule.

A day is a scenario of the users' bench: traffic, with planned operations and faults at fixed times.

    PYTHONPATH=. python bench/drawn.py FLEETBENCH SITE... [--days N] [--seed N] [--jobs N] [--keep DIR] [--charged]

The same seed gives the same days.  The exit code is 0 if every day was played and no rule was broken,
otherwise 1.
"""

from __future__ import annotations

import argparse
import random
import re
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.plays import CLOSINGS, Entry, Play, day_text, play_day

# The kinds of operations and faults below, and the words for a day's field `how`, are values that the users'
# bench defines, not names of this project.  `FLEETBENCH kinds SITE` describes those that it plays on a site.

# How machines come back after a fault.
RETURNS = (
    "",
    "meet",
    "race",
    "hard",
    "drain",
    "meet race",
    "meet drain",
    "hard race",
)
TARGETS = ("", "turn", "leader", "reader", "seed")  # the machines that a fault hits
# The servers that a fault hits, and how a cut link treats connections.
SERVERS = ("", "across")
CUTS = ("", "reset", "refuse")

# By kind of operation or fault: the range of each field (of integers if both ends are), and the choices for
# each word of `how`.  A kind that ends in " core" hits core members.
PLANNED: dict[str, tuple[dict[str, tuple[float, float]], tuple[tuple[str, ...], ...]]] = {
    "release": ({"share": (0.2, 0.8), "x": (1, 3), "gap_s": (0.4, 1.5)}, ()),
    "scale_in": ({"share": (0.1, 0.3)}, (("", "spot"),)),
    "scale_out": ({"share": (0.1, 0.4), "gap_s": (0.5, 3.0)}, ()),
    "replace_with_reuse": ({"share": (0.1, 0.3)}, (("drain",),)),
    "roll_term": ({"share": (0.2, 1.0), "x": (1, 2), "gap_s": (0.8, 4.0)}, (("", "busy", "remove"), RETURNS)),
    "roll_term core": ({"share": (0.5, 1.0), "gap_s": (2.0, 6.0)}, (("", "remove", "busy"), RETURNS)),
    "replace_core": ({"x": (0.3, 3.0)}, (("planned",), ("", "oldest"))),
    "seed_turnover": ({}, ()),
    "config_change": ({}, (("route", "weights", "timeout", "tenant", "quota", "idle"),)),
    "config_storm": ({"count": (20, 300), "gap_s": (0.05, 0.3)}, ()),
    "config_race": ({"count": (1, 8), "gap_s": (0.3, 2.0)}, ()),
    "bad_config": (
        {"count": (1, 4), "gap_s": (0.4, 1.2)},
        (("", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
          "same_version", "stale_match", "shared_key"),),
    ),
    "big_config": ({"count": (50, 400)}, ()),
    "revoke": ({"count": (1, 3), "gap_s": (0.5, 2.0)}, ()),
    "evacuate": ({"for_s": (3.0, 10.0)}, (("", "warm"),)),
    "hup": ({"share": (0.2, 1.0), "gap_s": (0.5, 3.0)}, ()),
}  # fmt: skip
FAULTS: dict[str, tuple[dict[str, tuple[float, float]], tuple[tuple[str, ...], ...]]] = {
    "hot_tenant": ({"x": (4, 12), "for_s": (3.0, 10.0), "count": (1, 2)}, ()),
    "burst": ({"x": (1.5, 3.0), "for_s": (2.0, 6.0)}, ()),
    "retry_abuse": ({"share": (0.1, 0.5), "x": (1, 3), "for_s": (3.0, 8.0)}, ()),
    "give_up": ({"share": (0.1, 0.5), "x": (200, 600), "for_s": (3.0, 8.0)}, ()),
    "srv_crash": ({"share": (0.1, 0.3), "for_s": (2.0, 8.0)}, (("", "dark", "gone"), SERVERS)),
    "srv_slow": ({"share": (0.1, 0.3), "x": (2, 6), "for_s": (3.0, 8.0)}, (SERVERS,)),
    "srv_grey": (
        {"share": (0.1, 0.3), "x": (0.2, 0.8), "for_s": (3.0, 8.0)},
        (("errors", "shed", "busy", "hang", "reset", "mute"), SERVERS),
    ),
    "srv_lying_health": ({"share": (0.1, 0.3), "for_s": (3.0, 8.0)}, (("errors", "hang", "reset", "bad"),)),
    "srv_flap": ({"share": (0.1, 0.3), "gap_s": (0.5, 2.0), "for_s": (4.0, 10.0)}, ()),
    "idle_race": ({"share": (0.3, 1.0), "x": (100, 600), "for_s": (4.0, 10.0)}, ()),
    "cold_return": ({"for_s": (2.0, 6.0)}, (("", "dark"),)),
    "answer_lost": ({"share": (0.3, 1.0), "x": (0.02, 0.1), "for_s": (3.0, 10.0)}, (("", "reset"),)),
    "garble": (
        {"share": (0.3, 1.0), "x": (0.01, 0.06), "for_s": (3.0, 10.0)},
        (("", "extra", "unframed", "early", "extra late"),),
    ),
    "node_kill": ({"share": (0.1, 0.5), "for_s": (0.5, 5.0)}, (("", "power"), TARGETS, RETURNS)),
    "node_kill core": ({"count": (1, 1), "for_s": (0.5, 20.0)}, (("", "power"), TARGETS, RETURNS)),
    "herd_kill": ({"share": (0.3, 0.9), "for_s": (0.5, 3.0)}, (("", "power"),)),
    "herd_kill core": ({"for_s": (0.3, 2.0)}, (("", "taken", "taken all"),)),
    "after_ack_kill": ({"for_s": (0.5, 5.0)}, (("", "kill", "timed", "taken", "taken gone"),)),
    "after_ack_wipe": ({"for_s": (0.5, 5.0)}, (("", "oldest"),)),
    "replace_core": ({"x": (0.3, 3.0)}, (("", "oldest"),)),
    "node_freeze": ({"share": (0.1, 0.4), "for_s": (1.0, 6.0)}, (TARGETS, RETURNS)),
    "node_freeze core": ({"count": (1, 1), "for_s": (1.0, 20.0)}, (TARGETS, RETURNS)),
    "node_slow": ({"share": (0.1, 0.4), "x": (2, 6), "for_s": (2.0, 8.0)}, (TARGETS,)),
    "disk_slow": ({"count": (1, 2), "x": (10, 60), "for_s": (2.0, 10.0)}, ()),
    "disk_full": ({"count": (1, 2), "for_s": (2.0, 10.0)}, ()),
    "disk_stall": ({"count": (1, 1), "for_s": (1.0, 8.0)}, ()),
    "clock_step": ({"share": (0.2, 1.0), "x": (500, 5000), "for_s": (2.0, 8.0)}, (("back", "ahead"),)),
    "reset_conns": ({"share": (0.1, 0.6), "x": (0.3, 1.0)}, ()),
    "zone_loss": ({"for_s": (1.0, 8.0)}, (RETURNS,)),
    "zone_cut": ({"for_s": (2.0, 8.0)}, (CUTS,)),
    "core_cut": (
        {"count": (1, 1), "for_s": (2.0, 20.0)},
        (("", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "all one_way", "near both"),
         CUTS, ("", "turn", "leader", "reader"), RETURNS),
    ),
    "node_cut": (
        {"share": (0.1, 0.5), "for_s": (2.0, 8.0)}, (("", "all", "servers"), CUTS, TARGETS, RETURNS),
    ),
    "ack_lost": ({"share": (0.4, 0.9), "for_s": (4.0, 15.0)}, ()),
}  # fmt: skip


def draw_figure(rng: random.Random, lowest: float, highest: float) -> float:
    """Return a random figure from a range: an integer if both ends are integers."""
    if isinstance(lowest, int) and isinstance(highest, int):
        return rng.randint(lowest, highest)
    return round(rng.uniform(lowest, highest), 2)


def draw_entry(rng: random.Random, kind: str, planned: bool, last: float) -> Entry:
    """Return a planned operation or a fault of a kind, at a random time up to `last`.

    The time is in seconds from the start of traffic.
    """
    ranges, words = (PLANNED if planned else FAULTS)[kind]
    entry: Entry = {"at": round(rng.uniform(1.0, last), 2), "kind": kind.split()[0]}
    if kind.endswith(" core"):
        entry["on"] = "core"
    entry |= {name: draw_figure(rng, *ends) for name, ends in ranges.items()}
    how = " ".join(filter(None, (rng.choice(word) for word in words)))
    return {**entry, "how": how} if how else entry


def kinds_of(bench: str, site: Path) -> set[str]:
    """Return the kinds that the bench plays on a site."""
    printed = subprocess.run([bench, "kinds", str(site)], capture_output=True, text=True, check=True).stdout
    return set(re.findall(r"^([a-z_]+):", printed, re.MULTILINE))


def draw_entries(rng: random.Random, planned: bool, length: float, known: set[str]) -> list[Entry]:
    """Return two to six entries of a day, of kinds that the bench knows; a kind may occur more than once."""
    kinds = [kind for kind in (PLANNED if planned else FAULTS) if kind.split()[0] in known]
    chosen = rng.choices(kinds, k=rng.randint(2, 5))
    if rng.random() < 0.4:
        chosen.append(chosen[0])
    return [draw_entry(rng, kind, planned, 0.85 * length) for kind in chosen]


@dataclass(frozen=True)
class Task:
    """A day to generate from a seed and to play on a site; `day` is the file that it is written to."""

    site: Path
    seed: int
    day: Path
    known: set[str]  # kinds that the bench plays there


def play(bench: str, task: Task, charged: bool) -> Play:
    """Generate a day and play it; `charged`: the bench charges the system for processor time."""
    rng = random.Random(task.seed)
    usual_length = tomllib.loads(task.site.read_text())["length_s"]
    length = usual_length * rng.choice((1, 1, 1, 2))
    plan = draw_entries(rng, True, length, task.known)
    faults = draw_entries(rng, False, length, task.known)
    closing = rng.choice(list(CLOSINGS))
    task.day.write_text(day_text(f"drawn-{task.seed}", task.seed, length, plan, faults, closing))
    reason = f"a drawn day, seed {task.seed}, closing {closing}" + (
        ", processor time charged" if charged else ""
    )
    return play_day(bench, task.site, task.day, closing, reason, [] if charged else ["--no-cpu"])


def main() -> int:
    """Generate and play the days that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(description="Plays random days with all kinds of faults.")
    parser.add_argument("bench", help="the bench's program")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", type=int, default=10, help="days to play on each site")
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the first day; the following days count up from it"
    )
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", type=Path, help="folder for the days in which a rule was broken")
    parser.add_argument("--charged", action="store_true", help="charge the system for processor time")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(options.jobs) as pool:
        keep = options.keep or Path(folder)
        keep.mkdir(parents=True, exist_ok=True)
        known = {site: kinds_of(options.bench, site) for site in options.sites}
        tasks = [
            Task(site, seed, keep / f"{site.stem}-{seed}.toml", known[site])
            for seed in range(options.seed, options.seed + options.days)
            for site in options.sites
        ]
        failures = 0
        results = pool.map(lambda task: play(options.bench, task, options.charged), tasks)
        for task, result in zip(tasks, results, strict=True):
            print(
                f"{task.day.stem:32s} {result.closing:15s} {result.worth:.3f}  {result.problem}", flush=True
            )
            failures += bool(result.problem)
            if not result.problem:
                task.day.unlink()
    print(f"{len(tasks)} days, {failures} with a rule broken or not played")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
