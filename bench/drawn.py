"""Draws days from all troubles that the bench knows, some of them twice, and plays each; keeps those that broke a rule.

    PYTHONPATH=. python bench/drawn.py FLEETBENCH SITE... [--days N] [--seed N] [--jobs N] [--keep DIR] [--charged]

The same seed draws the same days.  Exit code 0 where no rule was broken and every day was played, 1 otherwise.
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
from pathlib import Path
from typing import Any

from bench.own import CLOSINGS, Play, bench_run

Entry = dict[str, Any]

RETURNS = (
    "",
    "meet",
    "race",
    "hard",
    "drain",
    "meet race",
    "meet drain",
    "hard race",
)  # of machines that come back
WHICH = ("", "turn", "leader", "reader", "seed")  # machines
SERVERS = ("", "across")
CUTS = ("", "reset", "refuse")

# By kind: ranges of its figures (whole where both ends are), and what each word of `how` is drawn from.
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
    "node_kill": ({"share": (0.1, 0.5), "for_s": (0.5, 5.0)}, (("", "power"), WHICH, RETURNS)),
    "node_kill core": ({"count": (1, 1), "for_s": (0.5, 20.0)}, (("", "power"), WHICH, RETURNS)),
    "herd_kill": ({"share": (0.3, 0.9), "for_s": (0.5, 3.0)}, (("", "power"),)),
    "herd_kill core": ({"for_s": (0.3, 2.0)}, (("", "taken", "taken all"),)),
    "after_ack_kill": ({"for_s": (0.5, 5.0)}, (("", "kill", "timed", "taken", "taken gone"),)),
    "after_ack_wipe": ({"for_s": (0.5, 5.0)}, (("", "oldest"),)),
    "replace_core": ({"x": (0.3, 3.0)}, (("", "oldest"),)),
    "node_freeze": ({"share": (0.1, 0.4), "for_s": (1.0, 6.0)}, (WHICH, RETURNS)),
    "node_freeze core": ({"count": (1, 1), "for_s": (1.0, 20.0)}, (WHICH, RETURNS)),
    "node_slow": ({"share": (0.1, 0.4), "x": (2, 6), "for_s": (2.0, 8.0)}, (WHICH,)),
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
        {"share": (0.1, 0.5), "for_s": (2.0, 8.0)}, (("", "all", "servers"), CUTS, WHICH, RETURNS),
    ),
    "ack_lost": ({"share": (0.4, 0.9), "for_s": (4.0, 15.0)}, ()),
}  # fmt: skip


def figure(chance: random.Random, least: float, most: float) -> float:
    """A figure from a range; a whole one where both ends are."""
    if isinstance(least, int) and isinstance(most, int):
        return chance.randint(least, most)
    return round(chance.uniform(least, most), 2)


def entry(chance: random.Random, kind: str, planned: bool, last: float) -> Entry:
    """One trouble at some moment up to `last`, seconds from the start of traffic."""
    figures, words = (PLANNED if planned else FAULTS)[kind]
    made: Entry = {"at": round(chance.uniform(1.0, last), 2), "kind": kind.split()[0]}
    if kind.endswith(" core"):
        made["on"] = "core"
    made |= {name: figure(chance, *ends) for name, ends in figures.items()}
    how = " ".join(filter(None, (chance.choice(word) for word in words)))
    return {**made, "how": how} if how else made


def kinds_of(bench: str, site: Path) -> set[str]:
    """The kinds that the bench plays on a site."""
    told = subprocess.run([bench, "kinds", str(site)], capture_output=True, text=True, check=True).stdout
    return set(re.findall(r"^([a-z_]+):", told, re.MULTILINE))


def draw(chance: random.Random, length: float, known: set[str]) -> tuple[list[Entry], list[Entry]]:
    """The planned work and the faults of a day: two to five of each, any of them also twice."""
    found = []
    for table, planned in ((PLANNED, True), (FAULTS, False)):
        kinds = [kind for kind in table if kind.split()[0] in known]
        chosen = chance.choices(kinds, k=chance.randint(2, 5))
        if chance.random() < 0.4:
            chosen.append(chosen[0])
        found.append([entry(chance, kind, planned, 0.85 * length) for kind in chosen])
    return found[0], found[1]


def row(made: Entry) -> str:
    return (
        "  { "
        + ", ".join(f'{k} = "{v}"' if isinstance(v, str) else f"{k} = {v}" for k, v in made.items())
        + " },"
    )


def written(name: str, seed: int, length: float, plan: list[Entry], faults: list[Entry]) -> str:
    """A day as the bench reads it."""
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", f"length_s = {length:.1f}"]
    for part, entries in (("plan", plan), ("faults", faults)):
        lines += [f"{part} = [", *map(row, sorted(entries, key=lambda made: made["at"])), "]"]
    return "\n".join(lines) + "\n"


def play(bench: str, site: Path, seed: int, keep: Path, charged: bool, known: set[str]) -> tuple[Play, Path]:
    chance = random.Random(seed)
    usual = tomllib.loads(site.read_text())["length_s"]
    length = usual * chance.choice((1, 1, 1, 2))
    plan, faults = draw(chance, length, known)
    closing = chance.choice(list(CLOSINGS))
    day = keep / f"{site.stem}-{seed}.toml"
    day.write_text(written(f"drawn-{seed}", seed, length, plan, faults) + CLOSINGS[closing])
    why = f"a drawn day, seed {seed}, closing {closing}" + (", processor time charged" if charged else "")
    return bench_run(bench, site, day, closing, why, [] if charged else ["--no-cpu"]), day


def main() -> int:
    parser = argparse.ArgumentParser(description="Days drawn from all troubles.")
    parser.add_argument("bench", help="the bench's program")
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--days", type=int, default=10, help="on each site")
    parser.add_argument("--seed", type=int, default=1, help="of the first day; the next ones follow")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", type=Path, help="a folder for the days that broke a rule")
    parser.add_argument("--charged", action="store_true", help="processor time counts")
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(chosen.jobs) as pool:
        keep = chosen.keep or Path(folder)
        keep.mkdir(parents=True, exist_ok=True)
        tasks = [(site, chosen.seed + n) for n in range(chosen.days) for site in chosen.sites]
        bad = 0
        known = {site: kinds_of(chosen.bench, site) for site in chosen.sites}
        plays = [
            pool.submit(play, chosen.bench, site, seed, keep, chosen.charged, known[site])
            for site, seed in tasks
        ]
        for found, day in (each.result() for each in plays):
            print(f"{day.stem:32s} {found.closing:15s} {found.worth:.3f}  {found.wrong}", flush=True)
            bad += bool(found.wrong)
            if not found.wrong:
                day.unlink()
    print(f"{len(tasks)} days, {bad} with a rule broken or not played")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
