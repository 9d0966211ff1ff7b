"""Which failures KNOWN-RED.txt lets pass and which not, by runs of pytest on a small tree of tests."""

from __future__ import annotations

import pytest

from . import known_red

pytest_plugins = ["pytester"]

TESTS = """
import pytest
@pytest.fixture
def broken():
    assert False, "set up"
@pytest.fixture
def left():
    yield
    assert False, "torn down"
def test_green(): pass
def test_red(): assert 1 == 2
def test_red_too(): assert 1 == 3
@pytest.mark.parametrize("n", [1, 2])
def test_numbers(n): assert n != 2
def test_setup(broken): pass
def test_teardown(left): assert 1 == 4
def test_skipped(): pytest.skip("no")
@pytest.mark.skip
def test_never(): pass
@pytest.mark.xfail
def test_awaited(): assert 1 == 5
def test_wrong(): assert 1 == 6
"""
FORM = "not 'test id | command and seed | what was seen | issue'"
RED = "tests/test_a.py::test_red | pytest --seed 7 | one is not two | 38"


@pytest.fixture
def tree(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    # otherwise each run would import the plugins again
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makeini("[pytest]")
    pytester.mkdir("tests").joinpath("test_a.py").write_text(TESTS)
    return pytester


def run_with_list(tree: pytest.Pytester, listed: str, *args: str) -> pytest.RunResult:
    (tree.path / known_red.NAME).write_text("# a comment\n\n" + listed)
    return tree.runpytest_inprocess("-q", "-p", "no:cacheprovider", *args, plugins=[known_red])


def test_a_failing_test_that_is_not_listed_fails(tree: pytest.Pytester) -> None:
    assert run_with_list(tree, "", "-k", "red and not too").ret == 1
    result = run_with_list(tree, RED, "-k", "red or green")
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1, xfailed=1)
    result.stdout.fnmatch_lines(["FAILED tests/test_a.py::test_red_too*"])


def test_the_failure_of_a_listed_test_is_printed_and_does_not_fail_the_run(tree: pytest.Pytester) -> None:
    result = run_with_list(tree, RED, "-k", "test_green or (test_red and not too)")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(
        ["known red: tests/test_a.py::test_red still fails: one is not two (pytest --seed 7; issue 38)"]
    )
    result = run_with_list(tree, RED, "-k", "green")
    assert result.ret == 0
    result.stdout.no_fnmatch_line("known red: *")  # the listed test did not run


def test_one_set_of_parameters_can_be_listed(tree: pytest.Pytester) -> None:
    result = run_with_list(tree, "tests/test_a.py::test_numbers[2] | pytest | two | #7", "-k", "numbers")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("green", "passes again, remove its line"), ("skipped", "was skipped"), ("never", "was skipped"),
        ("awaited", "was skipped"), ("setup", "did not run to its end"), ("teardown", "still fails"),
    ],
)  # fmt: skip
def test_only_a_failure_in_the_body_of_a_listed_test_is_tolerated(
    tree: pytest.Pytester, name: str, expected: str
) -> None:
    result = run_with_list(tree, f"tests/test_a.py::test_{name} | pytest | x | 1", "-k", f"test_{name}")
    assert result.ret == 1
    result.stdout.fnmatch_lines([f"known red: tests/test_a.py::test_{name} {expected}: x (pytest; issue 1)"])


@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ("tests/test_a.py::test_red | pytest | no issue", FORM),
        ("tests/test_a.py::test_red | the former form without a command | 38", FORM),
        ("tests/test_a.py::test_red |  | no command | 38", FORM),
        ("tests/test_a.py::test_red | pytest |  | 38", FORM),
        ("tests/test_a.py::test_red | pytest | the issue has no number | soon", FORM),
        ("tests/test_a.py::test_red | pytest | five | parts | 38", FORM),
        (f"{RED}\n{RED}", "a second line for"),
        (f"{RED}\n{RED.replace('seed 7', 'seed 8')}", "a second line for"),
        ("tests/test_gone.py::test_red | pytest | x | 38", "names no test in"),
        ("tests/known_red.py::test_red | pytest | x | 38", "names no test in"),
        ("tests/test_a.py::test_gone | pytest | x | 38", "names no collected test"),
        ("tests/test_a.py | pytest | the complete file | 38", "names no collected test"),
        ("tests/test_a.py::test_numbers | pytest | without its parameters | 38", "names no collected test"),
    ],
)  # fmt: skip
def test_an_invalid_line_fails_every_run(tree: pytest.Pytester, listed: str, expected: str) -> None:
    result = run_with_list(tree, listed, "-k", "green")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert expected in result.stderr.str()


def test_the_number_of_entries_is_not_limited(tree: pytest.Pytester) -> None:
    listed = [RED.replace("red", name) for name in ("red", "red_too", "numbers[2]", "wrong")]
    result = run_with_list(tree, "\n".join(listed), "-k", "red or numbers or wrong")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=4)


def test_entries_of_a_file_are_checked_only_by_runs_that_collect_the_complete_file(
    tree: pytest.Pytester,
) -> None:
    (tree.path / "tests" / "test_b.py").write_text("def test_other(): pass\n")
    gone = "tests/test_a.py::test_gone | pytest | x | 38"
    assert run_with_list(tree, gone, "tests/test_b.py").ret == 0
    assert run_with_list(tree, gone, "tests/test_a.py::test_green").ret == 0
    assert run_with_list(tree, gone, "tests").ret == pytest.ExitCode.USAGE_ERROR


def test_a_run_fails_if_the_file_is_missing(tree: pytest.Pytester) -> None:
    result = tree.runpytest_inprocess("-k", "green", plugins=[known_red])
    assert result.ret == pytest.ExitCode.USAGE_ERROR and "the file is missing" in result.stderr.str()
