"""Tests of the lab's models, day files, rules, figures and comparisons, without sockets."""

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
from hazelspring.lab.models.counter import Counter, CounterSpec
from hazelspring.lab.models.customers import RetryPolicy, retry_delay
from hazelspring.lab.models.discovery import Discovery, Health, Host
from hazelspring.lab.models.network import Network, NetworkFault
from hazelspring.lab.models.random_streams import stream
from hazelspring.lab.plan import arrivals_of, parse_request_id, planned_faults, request_id, servers_of
from hazelspring.lab.record import (
    Arrival,
    AttemptRecord,
    HostileConnectionRecord,
    Note,
    Recorder,
    Sample,
    read,
)
from hazelspring.lab.rules import RULES, PlayRecords, judge

SPEC = ServerSpec("s", 0, 0, 0, cores=2, slots=4, queue=3, cold_share=0.25, warm_up=10.0, thrash=0.0)


@pytest.mark.parametrize(
    ("seed", "digest"), [(1, "788d678a51495313"), (2, "510d1cd3c03fc5c6"), (3, "9bc80616a8f55848")]
)  # fmt: skip
def test_a_seed_gives_the_same_arrivals_on_any_machine(seed: int, digest: str) -> None:
    """The digests of the arrivals of three seeds are fixed."""
    assert arrivals_of(load_day("calm"), seed).digest() == digest


def test_a_fault_does_not_change_the_arrivals_and_has_at_least_one_target() -> None:
    """A fault changes no arrival, and a part that rounds to no server selects one."""
    plain, crash = load_day("calm", length_s=30), load_day("crash")
    assert arrivals_of(plain, 5).digest() == arrivals_of(crash, 5).digest()
    # A part that rounds to no alert server selects one.
    tiny = Day.model_validate({"about": "x", "faults": [{"kind": "kill_servers", "at": 1, "part": 0.001}]})
    assert [len(h.targets) for h in planned_faults(tiny, 1)] == [1]


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.floats(0.001, 0.3)), min_size=1, max_size=30),
    st.floats(0.2, 2.0),
)
def test_an_alert_server_does_all_work_once(requests: list[tuple[float, float]], speed: float) -> None:
    """Each accepted request ends exactly once, and not before its work can have been done."""
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

    for token, (gap, work) in enumerate(requests):
        run_until(now + gap)
        if server.begin(now, token, work) is Verdict.BEGUN:
            began[token] = (now, work)
    run_until(now + 1000.0)
    assert ended.keys() == began.keys()
    assert all(ended[t] >= at + work / speed - 1e-6 for t, (at, work) in began.items())
    first, last = min(at for at, _ in began.values()), max(ended.values())
    assert sum(work for _, work in began.values()) <= (last - first) * SPEC.cores * speed + 1e-6


def test_an_alert_server_rejects_when_full_drops_repeats_and_fails_by_overload_only_when_cold() -> None:
    """Full and draining servers refuse, a rack drops repeated keys, and only a cold server is overloaded."""
    rack = Rack()
    one, other = AlertServer(SPEC, rack, 0.0), AlertServer(SPEC, rack, 0.0)
    assert [one.begin(0.0, n, 1.0) for n in range(8)] == [Verdict.BEGUN] * 7 + [Verdict.FULL]
    assert other.begin(0.0, "a", 0.2, "key") is Verdict.BEGUN
    assert other.begin(0.1, "b", 0.2, "key") is Verdict.DROPPED
    assert other.advance(0.3) == ["a", "b"]  # the repeat ends with the first request
    other.draining = True
    assert other.begin(0.4, "c", 0.2) is Verdict.DRAINING
    assert one.kill() == list(range(7))

    def verdicts_under_load(started: float) -> list[Verdict]:
        server = AlertServer(dataclasses.replace(SPEC, queue=1000), Rack(), 20.0, started)
        return [server.begin(20.0 + n / 100, n, 0.1) for n in range(60)]

    # A warm server only queues.
    assert set(verdicts_under_load(-math.inf)) == {Verdict.BEGUN} == set(verdicts_under_load(9.9))
    assert verdicts_under_load(20.0)[-1] is Verdict.OVERLOADED


def test_the_counter_serves_calls_in_order_and_drops_totals_that_expired_or_were_lost() -> None:
    """Calls beyond the queue limit are rejected, and an expired or lost total starts again from zero."""
    counter = Counter(CounterSpec(parts=1, per_s=100.0, call=0.0, max_queueing=0.05))
    replies = [counter.call(0.0, b"n", 2.0, 1.0) for _ in range(8)]
    assert [r.total for r in replies] == [2.0, 4.0, 6.0, 8.0, 10.0, 12.0, None, None]
    assert [round(r.at, 3) for r in replies[:3]] == [0.01, 0.02, 0.03]
    assert counter.call(0.5, b"n", -1.0, 1.0).total == 11.0
    assert counter.call(1.2, b"n", 1.0, 1.0).total == 1.0  # the total had expired
    counter.lose()
    assert counter.call(1.3, b"n", 1.0, 1.0).total == 1.0


def test_discovery_sends_changes_to_each_gateway_after_its_own_delay() -> None:
    """Each gateway has its own delay; silence and the limit on calls stop updates."""
    discovery = Discovery(2, [Host("a", "z", "k", 0), Host("b", "z", "k", 0)])
    discovery.update_delays_s = [0.5, 3.0]
    discovery.change(10.0, "a", Health.GONE)
    discovery.change(11.0, "a", Health.READY, born=7.0)
    assert [discovery.current(0, t) for t in (10.4, 10.6, 11.6)] == [1, 2, 3]
    assert (discovery.current(1, 11.6), [h.name for h in discovery.full_list(1)]) == (1, ["a", "b"])
    assert [h.health for h in discovery.since(1, 3)] == [Health.READY]
    assert [h.name for h in discovery.full_list(2)] == ["b"]
    discovery.silent = True
    assert discovery.current(1, 99.0) == 1
    discovery.calls_per_s_limit = 1
    assert [discovery.admits(t) for t in (50.0, 50.5, 51.6)] == [True, False, True]


def test_network_faults_end_in_time_and_clients_limit_retries_and_waits() -> None:
    """A fault applies in its period and to its endpoints only; retries and `Retry-After` are bounded."""
    cut = NetworkFault("cut", 5.0, 6.0, frozenset(), frozenset({"s"}))
    network = Network([cut, NetworkFault("reset", 0.0, 9.0, frozenset({"d"}), frozenset(), 0.25)])
    assert [network.cut(t, "d", "s") for t in (4.9, 5.0, 5.9, 6.0)] == [False, True, True, False]
    assert not network.cut(5.5, "d", "other")
    assert (network.reset_share(1.0, "d", "s"), network.reset_share(1.0, "e", "s")) == (0.25, 0.0)
    policy = RetryPolicy(retries=1, backoff=0.2, honour_share=1.0, max_wait=2.0)
    assert [retry_delay(policy, 1, 7, n, 5.0) for n in (1, 2)] == [2.0, None]
    assert retry_delay(dataclasses.replace(policy, honour_share=0.0), 1, 7, 1, 5.0) == 0.2


@pytest.mark.parametrize(
    ("text", "expected"),
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
def test_each_problem_of_a_day_file_is_reported(tmp_path: Path, text: str, expected: list[str]) -> None:
    """An invalid day file raises DayError with the key path and the value of each problem."""
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(DayError) as caught:
        load_day(str(path))
    found = "\n".join(caught.value.problems)
    assert all(part in found for part in expected), found


def test_every_shipped_day_can_be_planned_and_request_ids_name_their_attempt() -> None:
    """Each shipped day gives its servers and faults, and ids of other seeds are rejected."""
    assert len(shipped()) >= 15
    for name in shipped():
        day = load_day(name)
        assert len(servers_of(day, 1)) == day.servers and len(planned_faults(day, 1)) == len(day.faults)
    assert parse_request_id(3, request_id(3, 77, 2)) == (77, 2)
    assert parse_request_id(3, request_id(4, 77, 2)) is None and parse_request_id(3, "zz") is None


# --- the rules: each change to the records breaks one rule, and only that rule reports a breach ------------


def clean_records() -> PlayRecords:
    """Return the records of four served requests; for 4 s, one server drains and another one is detached."""
    day = load_day("calm")
    work, specs = arrivals_of(day, 1), servers_of(day, 1)
    attempts, arrivals = [], []
    keyed = [n for n in range(200) if work.cls[n] == 1][:4]
    for number, request in enumerate(keyed):
        at = 1.0 + number
        found = request_id(1, request, 0)
        attempts.append(AttemptRecord(found, request, 0, 0, at, at, at + 0.001, at + 0.1, 200, "answer"))
        arrivals.append(Arrival(found, 0, 0, at + 0.01, at + 0.01, "begun", 0))
    notes = [
        Note(5.0, "told Terminating", f"{specs[0].name} 0"), Note(9.0, "told Ready", f"{specs[0].name} 0"),
        Note(5.0, "banned", f"{specs[1].name} 0"), Note(9.0, "called back", f"{specs[1].name} 0"),
        Note(10.0, "log", "n0", 1000.0), Note(10.0, "length", "", 10.0), Note(10.0, "load sent", "", 4.0),
    ]  # fmt: skip
    samples = [Sample(1.0, 0, 0.5, 30000, 60, 1)]
    hostile = [
        HostileConnectionRecord("silent", 0, 1.0, 2.0, 0),
        HostileConnectionRecord("garbled", 0, 1.0, 0.1, 400),
    ]
    return PlayRecords(day, 1, work, specs, [], attempts, arrivals, hostile, notes, samples)


def arrival_at(server: int, at: float) -> Callable[[PlayRecords], None]:
    """Return a change that moves the fourth arrival to this server and time."""

    def change(records: PlayRecords) -> None:
        records.arrivals[3] = Arrival(records.attempts[3].id, server, 0, at, at, "begun", 0)

    return change


def run_on_another_rack(records: PlayRecords) -> None:
    """Add a run of the first request on another rack."""
    first = records.arrivals[0]
    other = next(n for n, spec in enumerate(records.specs) if spec.rack != records.specs[0].rack)
    records.arrivals.insert(1, Arrival(first.id, other, 0, 1.02, 1.02, "begun", 0))


def too_many_arrivals(records: PlayRecords) -> None:
    """Add five arrivals of the first attempt, which then has six; `MAX_ATTEMPTS` is 5."""
    records.arrivals += [Arrival(records.attempts[0].id, 0, 0, 1.02, 1.02, "full", 0) for _ in range(5)]


def far_beyond_quota(records: PlayRecords) -> None:
    """Add three admitted attempts for each of up to 40 requests of one customer."""
    customer = records.work.customer[0]
    requests = [n for n in range(len(records.work)) if records.work.customer[n] == customer]
    records.arrivals += [
        Arrival(request_id(1, n, a), 0, 0, 2.0, 2.0, "begun", 0) for n in requests[:40] for a in range(1, 4)
    ]


def not_forwarded(records: PlayRecords, **changes: object) -> None:
    """Remove the arrival of the last request, which was thus not forwarded, and change its attempt."""
    del records.arrivals[3]
    for key, value in changes.items():
        setattr(records.attempts[3], key, value)


def refused_after_running(records: PlayRecords) -> None:
    """Change the first attempt so that a keyed request is refused although it has run."""
    records.attempts[0].status, records.attempts[0].retry_after = 503, 0.1


CHANGES: list[tuple[str, Callable[[PlayRecords], None]]] = [
    ("answered", lambda records: setattr(records.attempts[0], "outcome", "broken")),
    ("answered", lambda records: setattr(records.attempts[0], "outcome", "silent")),
    ("bodies", lambda records: setattr(records.attempts[0], "genuine", False)),
    ("unsent", lambda records: setattr(records.arrivals[0], "verdict", "unknown")),
    ("repeats", run_on_another_rack),
    ("repeats", too_many_arrivals),
    ("drained", arrival_at(0, 5.4)),
    ("drained", arrival_at(1, 8.9)),
    ("cold", lambda records: records.notes.append(Note(3.0, "fell over", "4 0"))),
    ("quotas", far_beyond_quota),
    ("refusals", lambda records: not_forwarded(records, status=503, retry_after=0.0)),
    ("refusals", lambda records: not_forwarded(records, status=503, retry_after=9.0)),
    ("refusals", lambda records: not_forwarded(records, status=502, ended=6.9)),
    ("refusals", refused_after_running),
    ("rude", lambda records: setattr(records.hostile_connections[0], "spent", 3.2)),
    ("rude", lambda records: setattr(records.hostile_connections[1], "status", 200)),
    ("limits", lambda records: setattr(records.samples[0], "memory_kb", 128 * 1024 + 1)),
    ("limits", lambda records: setattr(records.samples[0], "descriptors", 1025)),
    ("limits", lambda records: setattr(records.notes[4], "value", 1e6)),
    ("alive", lambda records: records.notes.append(Note(3.0, "crashed", "n1", 1.0))),
    ("calls", lambda records: records.notes.append(Note(3.0, "call PUT / answered 500", "n1", 0.1))),
]


@pytest.mark.parametrize(("rule", "change"), CHANGES)
def test_only_the_broken_rule_reports_a_breach(rule: str, change: Callable[[PlayRecords], None]) -> None:
    """Unchanged records break no rule, and each change breaks exactly the rule that it is listed with."""
    assert {name for name, _ in CHANGES} == RULES.keys()
    records = clean_records()
    assert not any(judge(records).values())
    change(records)
    assert [name for name, found in judge(records).items() if found] == [rule]


def test_permitted_failures_are_no_breach() -> None:
    """Closes without forwarding, arrivals in the grace period and failures at a kill break no rule."""
    records = clean_records()
    not_forwarded(records, outcome="broken", status=0)  # the connection was closed and nothing was forwarded
    # within the grace period of the drained server
    records.arrivals.append(Arrival(records.attempts[2].id, 0, 0, 5.29, 5.29, "begun", 0))
    records.attempts[0].outcome, records.attempts[0].status = "broken", 0
    records.notes.append(Note(records.attempts[0].ended - 0.1, "killed", "n0"))
    assert not any(judge(records).values())


def test_the_figures_have_their_keys_and_a_play_with_late_load_is_not_valid() -> None:
    """The figures have the documented keys, and late load makes a play invalid."""
    records = clean_records()
    found = figures(records, judge(records), "abc")
    assert found["valid"] and found["revision"] == "abc" and found["rules"] == dict.fromkeys(RULES, 0)
    assert found["requests"]["served"] == 4 and found["latency_ms"]["p50"] == pytest.approx(100, rel=0.01)
    assert found["latency_ms"]["by_class"].keys() == {"alert-rule"}
    assert found["door"].keys() == {"cpu_us_per_request", "start_cpu_s", "memory_kb", "descriptors_most"}
    late = copy.deepcopy(records)
    late.notes.append(Note(10.0, "load late", "", 1.0))
    assert not figures(late, judge(late), "abc")["valid"]


def test_records_are_read_as_they_were_written(tmp_path: Path) -> None:
    """Records that fill the buffer several times are read back unchanged, by type."""
    recorder = Recorder(tmp_path / "x.note.jsonl")
    notes = [Note(n / 7, "what", "who", n) for n in range(5000)]
    for note in notes:
        recorder.add(note)
    recorder.flush()
    assert list(read(tmp_path, Note)) == notes and not list(read(tmp_path, AttemptRecord))


def test_a_comparison_detects_a_real_difference_and_leaves_out_invalid_pairs() -> None:
    """Intervals have their coverage, sides alternate, and invalid plays are repeated twice."""
    random = stream(1, "test")
    draws = random.normal(0.0, 1.0, size=(400, 10))
    missed = sum(not low <= 0 <= high for low, high in (interval(list(d), 0.95) for d in draws))
    assert missed <= 0.1 * len(draws)  # 5 in 100 are expected
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
    assert calls.count((1, 8)) == 3  # repeated twice, then left out
