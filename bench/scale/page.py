"""Writes the tables of docs/CAPACITY.md from the stored figures; the text around them stays."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from bench.scale import model, sweep
from bench.scale.figures import slope
from bench.scale.model import Figures

MARK = "<!-- made by bench/scale.py: {} -->"
END = "<!-- end -->"
POWER_TOLERANCE = 0.1  # largest accepted difference between the powers of two runs
NOT_FRESH, SETTLED = "most that turn keys away", "settled after the start"


def number(value: float | None) -> str:
    """Return a figure with three digits, or a dash if its phase was not played or its condition not met
    within 10 s.
    """
    if value is None:
        return "-"
    if value == 0 or abs(value) < 0.0005:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table in Markdown."""
    lines = ["| " + " | ".join(row) + " |" for row in [head, ["---"] * len(head), *rows]]
    return "\n".join(lines)


Row = tuple[str, Callable[[Any], float | None]]


def value(of: Callable[[Any], float | None], play: Any) -> float | None:
    """Return a figure, or None if its phase was not played at this size or its condition not met in time."""
    try:
        return of(play)
    except KeyError:
        return None


def growth_rows(
    sizes: Sequence[int], runs: Sequence[Sequence[Any]], rows: Sequence[Row], fitted: int = 0
) -> list[list[str]]:
    """Return a row for each figure: its value at each size, its power, and how much a second run's power
    differs.

    The power is computed from the last `fitted` sizes, or from all sizes if it is 0.
    """
    found = []
    for name, of in rows:
        values = [value(of, each[0]) for each in runs]
        cells = [name, *map(number, values)]
        known = [(s, v) for s, v in zip(sizes, values, strict=True) if v][-fitted:]
        cells.append(f"{slope(*zip(*known, strict=True)):.2f}" if len(known) > 1 else "")
        repeated = [(s, each) for s, each in zip(sizes, runs, strict=True) if len(each) > 1]
        if len(repeated) > 1:
            powers = [
                slope([s for s, _ in repeated], [value(of, each[run]) or 0 for _, each in repeated])
                for run in (0, 1)
            ]
            cells.append(f"{abs(powers[0] - powers[1]):.2f}")
        found.append(cells)
    return found


def fleet(f: Figures) -> str:
    """Return the table of growth by the number of nodes."""
    rest = model.load("rest")
    rows: list[Row] = [
        ("core member: messages in, a s", lambda p: rest(p, "core", "came")),
        ("core member: KB/s in and out", lambda p: model.traffic(p, "rest", "core")),
        ("core member: processor %", lambda p: model.processor(p, "rest", "core")),
        ("core member: a tick, µs", lambda p: model.call_time(p, "rest", "core tick")),
        ("core member: a beat, µs", lambda p: model.call_time(p, "rest", "core beat")),
        ("core member: state, KB", lambda p: model.state_size(p, "core")),
        ("door: KB/s in and out", lambda p: model.traffic(p, "rest", "door")),
        ("door: processor %", lambda p: model.processor(p, "rest", "door")),
        ("door: state, KB", lambda p: model.state_size(p, "door")),
        ("door: KB that one restart elsewhere costs", lambda p: model.event_cost(p, "one restart", "door")),
        ("core, the first by name: KB of it", lambda p: model.event_cost(p, "one restart", "list")),
        ("door: KB/s more at the peak", lambda p: model.above_rest(p, "peak", "door")),
        ("a change in force everywhere, s", lambda p: model.wait_time(p, "change", "in force everywhere")),
        ("doors that turn keys away meanwhile, %", lambda p: 100 * (model.wait_time(p, "change", NOT_FRESH) or 0.0)),
        ("settled after a tenth restarted, s", lambda p: model.wait_time(p, "a tenth restarts", SETTLED)),
    ]  # fmt: skip
    sizes = sorted(f.fleet)
    head = ["by doors (20 services)", *(f"{size:,}" for size in sizes), "power", "second run"]
    body = growth_rows(sizes, [f.fleet[size] for size in sizes], rows, 3)
    differing = [row[0] for row in body if len(row) == len(head) and float(row[-1]) > POWER_TOLERANCE]
    exceptions = f"but for: {'; '.join(differing)}" if differing else "in all rows"
    return f"{table(head, body)}\n\nA second run repeats the power within {POWER_TOLERANCE:g} {exceptions}."


def others(f: Figures) -> str:
    """Return the tables of growth by services, by routes, and by servers."""
    services: list[Row] = [
        ("door: an echo, µs", lambda p: model.call_time(p, "rest", "door echo")),
        ("door: a tick, µs", lambda p: model.call_time(p, "rest", "door tick")),
        ("core member: a beat, µs", lambda p: model.call_time(p, "rest", "core beat")),
        ("door: a start, s", lambda p: p["started"]["door"]),
        ("counter: a call, µs", lambda p: model.call_time(p, "leases", "core lease")),
        ("door: KB for one news", lambda p: model.event_cost(p, "news", "door")),
    ]
    configurations: list[Row] = [
        ("packed, MB", lambda w: w["packed"] / 1e6),
        ("check, s", lambda w: w["check_s"]), ("read, s", lambda w: w["read_s"]),
        ("memory held, MB", lambda w: w["held"] / 1e6), ("memory while reading, MB", lambda w: w["read_peak"] / 1e6),
        ("a change of one route: bytes", lambda w: w["one_bytes"]), ("of ten", lambda w: w["ten_bytes"]),
        ("the desk packs and checks it, s", lambda w: w["one_check_s"]),
        ("a door makes and reads it, s", lambda w: w["one_apply_s"] + w["one_read_s"]),
        ("memory meanwhile, MB", lambda w: w["one_peak"] / 1e6),
    ]  # fmt: skip
    parts: list[Row] = [
        ("the platform's list, MB", lambda p: p["list_bytes"] / 1e6),
        ("to parse and compare it, ms", lambda p: 1000 * (p["parse_s"] + p["look_s"])),
        ("one dance taken in, ms", lambda p: 1000 * p["dance_s"]),
        ("a server chosen, µs", lambda p: 1e6 * p["choose_s"]),
        ("tables of servers, MB", lambda p: (p["news_held"] + p["fleet_held"]) / 1e6),
    ]
    texts = []
    for title, of, rows in (
        ("by services (30 doors)", f.services, services),
        ("by routes", f.words, configurations),
        ("by servers", f.parts, parts),
    ):
        sizes = sorted(of)
        body = growth_rows(sizes, [[of[size]] for size in sizes], rows, 3)
        texts.append(table([title, *(f"{size:,}" for size in sizes), "power"], body))
    return "\n\n".join(texts)


def orders(f: Figures) -> str:
    """Return the table of a proposal's cost by the number of core members."""
    rows: list[Row] = [
        ("acknowledged, ms: half of 20", lambda r: 1000 * r["half"]),
        ("in force everywhere, ms: half", lambda r: 1000 * r["everywhere"]),
        ("messages of its round", lambda r: r["alone"]["rounds"]),
        ("KB of it and of what brings it to all", lambda r: r["alone"]["kb"]),
        ("ten at once, ten times: half have ended after, ms", lambda r: 1000 * median(r["at once"]["last"])),
        ("the slowest, ms", lambda r: 1000 * max(r["at once"]["last"])),
        ("not taken, of 100", lambda r: len(r["at once"]["untaken"])),
        ("messages of rounds of each of them", lambda r: r["at once"]["rounds"]),
    ]
    sizes = sorted(f.rounds)
    head = ["an order, by members (68 doors)", *map(str, sizes), "power"]
    return table(head, growth_rows(sizes, [[f.rounds[size]] for size in sizes], rows))


def busiest(play: Any, phase: str, of: Callable[[dict[str, float]], float]) -> float:
    """Return a figure of the busiest node in a phase."""
    return max(of(load["most"]) for load in play["phases"][phase]["loads"].values())


def beside(f: Figures) -> str:
    """Return the table of the bench's sweep, with the same figures of the simulated nodes if there are any.

    The simulated nodes are measured at rest; their figures are the mean of the nodes without a disk / the
    busiest node.
    """
    entry = sweep.newest()
    if entry is None:
        return "No sweep is in the journal."
    sizes, rows = sweep.rows(entry["digest"])
    common = [size for size in sorted(f.fleet) if str(size) in sizes]

    def busy(load: dict[str, float]) -> float:
        return 100 * (load["core"] + load["codec"])

    def bytes_of(load: dict[str, float]) -> float:
        return (load["out_bytes"] + load["came_bytes"]) / 1000

    simulated: dict[str, Callable[[Any], str]] = {
        "door: processor %": lambda p: (
            f"{number(model.processor(p, 'rest', 'door'))} / {number(busiest(p, 'rest', busy))}"
        ),
        "door: kB a second": lambda p: (
            f"{number(model.traffic(p, 'rest', 'door'))} / {number(busiest(p, 'rest', bytes_of))}"
        ),
        "config acked, ms": lambda p: number(1000 * (model.wait_time(p, "change", "acknowledged") or 0)),
        "config in force, ms": lambda p: number(
            1000 * (model.wait_time(p, "change", "in force everywhere") or 0)
        ),
    }
    head = [f"the bench ({entry['id']}, {entry['site']}; middle / busiest)", *sizes, "power"]
    body = [
        [*row, *(simulated[row[0]](f.fleet[size][0]) if row[0] in simulated else "" for size in common)]
        for row in rows
    ]
    return table([*head, *(f"ours, {size}" for size in common)], body)


def taken(_: Figures) -> str:
    """Return the line that names the sizes and the revision of each part."""
    parts = []
    for part, (revisions, sizes) in model.sources().items():
        among = f" ({', '.join(f'{size:,}' for size in sorted(set(sizes)))})" if sizes else ""
        parts.append(f"{part}{among} of {', '.join(sorted(revisions))}")
    return "Taken: " + "; ".join(parts) + "."


def roles(f: Figures) -> str:
    """Return the table of all roles at the target."""
    head = ["at the target", "at rest: messages/s", "KB/s", "core %", "peak KB/s; %", "changes KB/s; %",
            "5,000 restarts a day KB/s", "a zone lost KB/s; %", "all apart KB/s; %",
            "state MB", "disk MB", "connections/s"]  # fmt: skip
    rows = []
    for role, title in model.ROLES.items():
        r = model.role(f, role)
        pair = {
            name: f"{number(r[name][0])}; {number(r[name][1])}"
            for name in ("peak", "change", "zone", "apart")
        }
        rows.append([
            title, number(r["messages"]), number(r["rest"][0]), number(r["rest"][1]), pair["peak"], pair["change"],
            number(r["restarts"]), pair["zone"], pair["apart"], number(r["memory"]),
            number(r["disk"]), number(r["calls"]),
        ])  # fmt: skip
    return table(head, rows)


def budgets(f: Figures) -> str:
    """Return the table of budgets; successive figures with the same budget share a row."""
    rows: list[list[str]] = []
    for name, budget, measured, unit in model.budgets(f):
        factor = measured / budget
        verdict = f"**missed by {number(factor)}**" if factor > 1 else f"kept by {number(1 / factor)}"
        row = [name, f"{number(budget)} {unit}", number(measured), verdict]
        if name.startswith("the same") and rows and rows[-1][1] == row[1]:
            last = rows[-1]
            last[0] += f"; {name.removeprefix('the same').lstrip(', ')}"
            last[2:] = [f"{one}; {other}" for one, other in zip(last[2:], row[2:], strict=True)]
        else:
            rows.append(row)
    return table(["budget", "is", "would be", ""], rows)


def carry(f: Figures) -> str:
    """Return the table of the requests that one real node serves."""
    rows = []
    for name in ("no quota", "a quota"):
        full = f.carry[name]
        rows.append([f"full, {name}", number(full["a_second"]), f"{full['cpu_ms']:.3f}",
                     *(f"{full[p]:.2f}" for p in ("p50_ms", "p99_ms")), "", ""])  # fmt: skip
    for name, of in f.carry.items():
        if name.startswith("pace"):
            through, direct, ends = of["through"], of["direct"], of["p99_ms"]
            rows.append([
                f"at {name[5:]} of that", number(through["a_second"]), "", f"{through['p50_ms']:.2f}",
                f"{through['p99_ms']:.2f} ({ends[0]:.2f} to {ends[1]:.2f})",
                *(f"{direct[p]:.2f}" for p in ("p50_ms", "p99_ms")),
            ])  # fmt: skip
    head = [
        "one door",
        "requests/s",
        "processor ms each",
        "half ms",
        "99 in 100 ms",
        "direct: half",
        "99 in 100",
    ]
    return table(head, rows)


def put(text: str, tables: dict[str, str], path: Path) -> str:
    """Return a page's text with the tables replaced.

    Raises ValueError if the page has no place for a table.
    """
    for name, block in tables.items():
        mark = MARK.format(name)
        before, found, rest = text.partition(mark + "\n")
        _, end, after = rest.partition(END)
        if not found or not end:
            raise ValueError(f"{path}: there is no place for {name}")
        text = f"{before}{found}{block}\n{end}{after}"
    return text


def renew(path: Path) -> str:
    """Rewrite the tables of a page; return a line that says how many there are."""
    figures = Figures()
    makers = (taken, budgets, roles, fleet, others, orders, beside, carry)
    tables = {make.__name__: make(figures) for make in makers}
    path.write_text(put(path.read_text(), tables, path))
    return f"{path}: {len(tables)} tables"
