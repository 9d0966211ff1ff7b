"""The lab's models, its day files, its rules and its comparisons, without sockets."""

from __future__ import annotations

import copy
import dataclasses
import math
from collections.abc import Callable
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelspring.lab.compare import RESAMPLES, collect, interval, order
from hazelspring.lab.day import Day, DayError, load_day, shipped
from hazelspring.lab.figures import figures
from hazelspring.lab.models.alertserver import AlertServer, Rack, ServerSpec, Verdict
from hazelspring.lab.models.chance import stream
from hazelspring.lab.models.counter import Counter, CounterSpec
from hazelspring.lab.models.customers import Manners, again_after
from hazelspring.lab.models.discovery import Discovery, Health, Host
from hazelspring.lab.models.network import Network, Trouble
from hazelspring.lab.plan import arrivals_of, happenings, place_of, request_id, servers_of
from hazelspring.lab.record import Arrival, Note, Recorder, Rude, Sample, Try, read
from hazelspring.lab.rules import RULES, Seen, judge

SPEC = ServerSpec("s", 0, 0, 0, cores=2, slots=4, queue=3, cold_from=0.25, warm_up=10.0, thrash=0.0)


@pytest.mark.parametrize(
    ("seed", "digest"), [(1, "788d678a51495313"), (2, "510d1cd3c03fc5c6"), (3, "9bc80616a8f55848")]
)  # fmt: skip
def test_a_seed_gives_the_same_arrivals_on_any_machine(seed: int, digest: str) -> None:
    assert arrivals_of(load_day("calm"), seed).digest() == digest


def test_a_fault_does_not_reshuffle_the_traffic() -> None:
    plain, crash = load_day("calm", length_s=30), load_day("crash")
    assert arrivals_of(plain, 5).digest() == arrivals_of(crash, 5).digest()
    # A part that rounds to no alert server is one.
    tiny = Day.model_validate({"about": "x", "faults": [{"kind": "kill_servers", "at": 1, "part": 0.001}]})
    assert [len(h.targets) for h in happenings(tiny, 1)] == [1]


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.floats(0.001, 0.3)), min_size=1, max_size=30),
    st.floats(0.2, 2.0),
)
def test_an_alert_server_does_all_work_and_none_twice(asked: list[tuple[float, float]], speed: float) -> None:
    """Whatever comes, each token ends once, and not before its work can have been done."""
    server = AlertServer(dataclasses.replace(SPEC, speed=speed), Rack(), 0.0)
    now, began, ended = 0.0, dict[object, tuple[float, float]](), dict[object, float]()

    def run_until(moment: float) -> None:
        nonlocal now
        while (due := server.due(now)) is not None and due <= moment:
            now = max(now, due)
            for token in server.advance(now):
                assert token not in ended
                ended[token] = now
        now = moment

    for token, (gap, work) in enumerate(asked):
        run_until(now + gap)
        if server.begin(now, token, work) is Verdict.BEGUN:
            began[token] = (now, work)
    run_until(now + 1000.0)
    assert ended.keys() == began.keys()
    assert all(ended[t] >= at + work / speed - 1e-6 for t, (at, work) in began.items())
    first, last = min(at for at, _ in began.values()), max(ended.values())
    assert sum(work for _, work in began.values()) <= (last - first) * SPEC.cores * speed + 1e-6


def test_an_alert_server_turns_away_drops_repeats_and_falls_over_only_when_cold() -> None:
    rack = Rack()
    one, other = AlertServer(SPEC, rack, 0.0), AlertServer(SPEC, rack, 0.0)
    assert [one.begin(0.0, n, 1.0) for n in range(8)] == [Verdict.BEGUN] * 7 + [Verdict.FULL]
    assert other.begin(0.0, "a", 0.2, "key") is Verdict.BEGUN
    assert other.begin(0.1, "b", 0.2, "key") is Verdict.DROPPED
    assert other.advance(0.3) == ["a", "b"]  # the repeat ends with the first
    other.draining = True
    assert other.begin(0.4, "c", 0.2) is Verdict.DRAINING
    assert one.kill() == list(range(7))

    def pushed(started: float) -> list[Verdict]:
        server = AlertServer(dataclasses.replace(SPEC, queue=1000), Rack(), 20.0, started)
        return [server.begin(20.0 + n / 100, n, 0.1) for n in range(60)]

    assert set(pushed(-math.inf)) == {Verdict.BEGUN} == set(pushed(9.9))  # warm: it only queues
    assert pushed(20.0)[-1] is Verdict.FALLEN


def test_the_counter_serves_in_turn_and_forgets() -> None:
    counter = Counter(CounterSpec(parts=1, per_s=100.0, call=0.0, line=0.05))
    replies = [counter.call(0.0, b"n", 2.0, 1.0) for _ in range(8)]
    assert [r.total for r in replies] == [2.0, 4.0, 6.0, 8.0, 10.0, 12.0, None, None]
    assert [round(r.at, 3) for r in replies[:3]] == [0.01, 0.02, 0.03]
    assert counter.call(0.5, b"n", -1.0, 1.0).total == 11.0
    assert counter.call(1.2, b"n", 1.0, 1.0).total == 1.0  # its life was up
    counter.lose()
    assert counter.call(1.3, b"n", 1.0, 1.0).total == 1.0


def test_discovery_tells_each_front_door_in_its_own_time() -> None:
    made = Discovery(2, [Host("a", "z", "k", 0), Host("b", "z", "k", 0)])
    made.late = [0.5, 3.0]
    made.change(10.0, "a", Health.GONE)
    made.change(11.0, "a", Health.READY, born=7.0)
    assert [made.current(0, t) for t in (10.4, 10.6, 11.6)] == [1, 2, 3]
    assert (made.current(1, 11.6), [h.name for h in made.whole(1)]) == (1, ["a", "b"])
    assert [h.health for h in made.since(1, 3)] == [Health.READY]
    assert [h.name for h in made.whole(2)] == ["b"]
    made.silent = True
    assert made.current(1, 99.0) == 1
    made.room = 1
    assert [made.admits(t) for t in (50.0, 50.5, 51.6)] == [True, False, True]


def test_the_network_and_the_clients_keep_to_their_spans() -> None:
    cut = Trouble("cut", 5.0, 6.0, frozenset(), frozenset({"s"}))
    made = Network([cut, Trouble("reset", 0.0, 9.0, frozenset({"d"}), frozenset(), 0.25)])
    assert [made.cut(t, "d", "s") for t in (4.9, 5.0, 5.9, 6.0)] == [False, True, True, False]
    assert not made.cut(5.5, "d", "other")
    assert (made.reset_share(1.0, "d", "s"), made.reset_share(1.0, "e", "s")) == (0.25, 0.0)
    manners = Manners(retries=1, backoff=0.2, honour=1.0, most_wait=2.0)
    assert [again_after(manners, 1, 7, n, 5.0) for n in (1, 2)] == [2.0, None]
    assert again_after(dataclasses.replace(manners, honour=0.0), 1, 7, 1, 5.0) == 0.2


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("about = 1", ["about: Input should be a valid string: 1"]),
        ('about = "x"\nload = -1\ndoors = 0', ["doors: ", ": 0", "load: ", ": -1"]),
        ('about = "x"\ncolour = 1', ["colour: Extra inputs are not permitted: 1"]),
        ('about = "x"\n[[faults]]\nkind = "fire"\nat = 1', ["faults.0.kind: ", "'fire'"]),
        ('about = "x"\n[[faults]]\nkind = "burst"\nat = 1', ["faults.0: burst needs a size above zero"]),
        ('about = "x"\n[[faults]]\nkind = "zone"\nat = 1', ["faults.0.kind: a zone can only be lost"]),
        ('about = "x"\n[[faults]]\nkind = "reload"\nat = 20', ["faults.0.at: 20.0 is not before"]),
        ("about =", ["not TOML"]),
    ],
)
def test_each_problem_of_a_day_file_is_named(tmp_path: Path, text: str, said: list[str]) -> None:
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(DayError) as caught:
        load_day(str(path))
    found = "\n".join(caught.value.problems)
    assert all(part in found for part in said), found


def test_every_shipped_day_can_be_laid_out() -> None:
    assert len(shipped()) >= 15
    for name in shipped():
        day = load_day(name)
        assert len(servers_of(day, 1)) == day.servers and len(happenings(day, 1)) == len(day.faults)
    assert place_of(3, request_id(3, 77, 2)) == (77, 2)
    assert place_of(3, request_id(4, 77, 2)) is None and place_of(3, "zz") is None


# --- the rules: each is broken by one record made wrong, and reports it, and no other does -----------------


def clean() -> Seen:
    """Four requests of a calm day, each served by one attempt; and a server that drained and came back."""
    day = load_day("calm")
    work, specs = arrivals_of(day, 1), servers_of(day, 1)
    tries, arrivals = [], []
    keyed = [n for n in range(200) if work.cls[n] == 1][:4]
    for number, request in enumerate(keyed):
        at = 1.0 + number
        found = request_id(1, request, 0)
        tries.append(Try(found, request, 0, 0, at, at, at + 0.001, at + 0.1, 200, "answer"))
        arrivals.append(Arrival(found, 0, 0, at + 0.01, at + 0.01, "begun", 0))
    notes = [
        Note(5.0, "told Terminating", f"{specs[0].name} 0"), Note(9.0, "told Ready", f"{specs[0].name} 0"),
        Note(5.0, "banned", f"{specs[1].name} 0"), Note(9.0, "called back", f"{specs[1].name} 0"),
        Note(10.0, "log", "n0", 1000.0), Note(10.0, "length", "", 10.0), Note(10.0, "load sent", "", 4.0),
    ]  # fmt: skip
    samples = [Sample(1.0, 0, 0.5, 30000, 60, 1)]
    rudes = [Rude("silent", 0, 1.0, 2.0, 0), Rude("garbled", 0, 1.0, 0.1, 400)]
    return Seen(day, 1, work, specs, [], tries, arrivals, rudes, notes, samples)


def late_arrival(server: int, at: float) -> Callable[[Seen], None]:
    def change(seen: Seen) -> None:
        seen.arrivals[3] = Arrival(seen.tries[3].id, server, 0, at, at, "begun", 0)

    return change


def elsewhere(seen: Seen) -> None:
    first = seen.arrivals[0]
    other = next(n for n, spec in enumerate(seen.specs) if spec.rack != seen.specs[0].rack)
    seen.arrivals.insert(1, Arrival(first.id, other, 0, 1.02, 1.02, "begun", 0))


def many(seen: Seen) -> None:
    seen.arrivals += [Arrival(seen.tries[0].id, 0, 0, 1.02, 1.02, "full", 0) for _ in range(5)]


def crowd(seen: Seen) -> None:
    customer = seen.work.customer[0]
    mine = [n for n in range(len(seen.work)) if seen.work.customer[n] == customer]
    seen.arrivals += [
        Arrival(request_id(1, n, a), 0, 0, 2.0, 2.0, "begun", 0) for n in mine[:40] for a in range(1, 4)
    ]


def unasked(seen: Seen, **changes: object) -> None:
    """The last request was not sent on."""
    del seen.arrivals[3]
    for key, value in changes.items():
        setattr(seen.tries[3], key, value)


def ran(seen: Seen) -> None:
    """A keyed request is refused, though it has run."""
    seen.tries[0].status, seen.tries[0].advice = 503, 0.1


WRONG: list[tuple[str, Callable[[Seen], None]]] = [
    ("answered", lambda s: setattr(s.tries[0], "how", "broken")),
    ("answered", lambda s: setattr(s.tries[0], "how", "silent")),
    ("bodies", lambda s: setattr(s.tries[0], "own", False)),
    ("unsent", lambda s: setattr(s.arrivals[0], "verdict", "unknown")),
    ("repeats", elsewhere),
    ("repeats", many),
    ("drained", late_arrival(0, 5.4)),
    ("drained", late_arrival(1, 8.9)),
    ("cold", lambda s: s.notes.append(Note(3.0, "fell over", "4 0"))),
    ("quotas", crowd),
    ("refusals", lambda s: unasked(s, status=503, advice=0.0)),
    ("refusals", lambda s: unasked(s, status=503, advice=9.0)),
    ("refusals", lambda s: unasked(s, status=502, ended=6.9)),
    ("refusals", ran),
    ("rude", lambda s: setattr(s.rudes[0], "spent", 3.2)),
    ("rude", lambda s: setattr(s.rudes[1], "status", 200)),
    ("limits", lambda s: setattr(s.samples[0], "memory_kb", 128 * 1024 + 1)),
    ("limits", lambda s: setattr(s.samples[0], "descriptors", 1025)),
    ("limits", lambda s: setattr(s.notes[4], "value", 1e6)),
    ("alive", lambda s: s.notes.append(Note(3.0, "crashed", "n1", 1.0))),
    ("calls", lambda s: s.notes.append(Note(3.0, "call PUT / answered 500", "n1", 0.1))),
]


@pytest.mark.parametrize(("rule", "change"), WRONG)
def test_a_rule_reports_its_own_breach_and_no_other_does(rule: str, change: Callable[[Seen], None]) -> None:
    assert {name for name, _ in WRONG} == RULES.keys()
    seen = clean()
    assert not any(judge(seen).values())
    change(seen)
    assert [name for name, found in judge(seen).items() if found] == [rule]


def test_what_is_no_breach() -> None:
    seen = clean()
    unasked(seen, how="broken", status=0)  # its connection was closed with nothing sent on: failed
    seen.arrivals.append(Arrival(seen.tries[2].id, 0, 0, 5.29, 5.29, "begun", 0))  # within the grace
    seen.tries[0].how, seen.tries[0].status = "broken", 0
    seen.notes.append(Note(seen.tries[0].ended - 0.1, "killed", "n0"))
    assert not any(judge(seen).values())


def test_the_figures_have_their_keys_and_a_late_tool_is_not_valid() -> None:
    seen = clean()
    found = figures(seen, judge(seen), "abc")
    assert found["valid"] and found["revision"] == "abc" and found["rules"] == dict.fromkeys(RULES, 0)
    assert found["requests"]["served"] == 4 and found["latency_ms"]["p50"] == pytest.approx(100, rel=0.01)
    assert found["latency_ms"]["by_class"].keys() == {"alert-rule"}
    assert found["door"].keys() == {"cpu_us_per_request", "start_cpu_s", "memory_kb", "descriptors_most"}
    late = copy.deepcopy(seen)
    late.notes.append(Note(10.0, "load late", "", 1.0))
    assert not figures(late, judge(late), "abc")["valid"]


def test_records_come_back_as_they_were_written(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "x.note.jsonl")
    notes = [Note(n / 7, "what", "who", n) for n in range(5000)]
    for note in notes:
        recorder.add(note)
    recorder.flush()
    assert list(read(tmp_path, Note)) == notes and not list(read(tmp_path, Try))


def test_a_comparison_shows_a_cost_and_no_other_difference() -> None:
    random = stream(1, "test")
    draws = random.normal(0.0, 1.0, size=(400, 10))
    missed = sum(not low <= 0 <= high for low, high in (interval(list(d), 0.95) for d in draws))
    assert missed <= 0.1 * len(draws)  # 5 in 100 meant
    low, high = interval([3.0 + x / 10 for x in draws[0]], 0.99)
    assert 2.5 < low < 3.0 + np.mean(draws[0]) / 10 < high < 3.5 and RESAMPLES >= 1000
    assert list(order(3, 7)) == [(0, 7), (1, 7), (1, 8), (0, 8), (0, 9), (1, 9)]
    calls: list[tuple[int, int]] = []

    def play(side: int, seed: int) -> dict[str, object]:
        calls.append((side, seed))
        valid = seed != 8 or side == 0
        return {"seed": seed, "valid": valid, "rules": {}, "worth_share": 1.0, "latency_ms": {"p99": 1.0}}

    a, b = collect(3, 7, play, lambda text: None)
    assert [f["seed"] for f in a] == [f["seed"] for f in b] == [7, 9]
    assert calls.count((1, 8)) == 3  # played again, and left out in the end
