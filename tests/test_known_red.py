"""What KNOWN-RED.txt lets pass and what it does not, seen from runs of pytest on a small tree."""

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
"""
RED = "tests/test_a.py::test_red | one is not two | 38"


@pytest.fixture
def tree(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")  # each run would import them anew
    pytester.makeini("[pytest]")
    pytester.mkdir("tests").joinpath("test_a.py").write_text(TESTS)
    return pytester


def played(tree: pytest.Pytester, listed: str, *args: str) -> pytest.RunResult:
    (tree.path / known_red.NAME).write_text("# a comment\n\n" + listed)
    return tree.runpytest_inprocess("-q", "-p", "no:cacheprovider", *args, plugins=[known_red])


def test_a_failing_test_that_is_not_listed_fails(tree: pytest.Pytester) -> None:
    assert played(tree, "", "-k", "red and not too").ret == 1
    done = played(tree, RED, "-k", "red or green")
    assert done.ret == 1
    done.assert_outcomes(passed=1, failed=1, xfailed=1)
    done.stdout.fnmatch_lines(["FAILED tests/test_a.py::test_red_too*"])


def test_a_listed_test_runs_and_is_told_and_passed_over(tree: pytest.Pytester) -> None:
    done = played(tree, RED, "-k", "test_green or (test_red and not too)")
    assert done.ret == 0
    done.assert_outcomes(passed=1, xfailed=1)
    done.stdout.fnmatch_lines(["known red: tests/test_a.py::test_red fails still: one is not two (issue 38)"])
    done = played(tree, RED, "-k", "green")
    assert done.ret == 0
    done.stdout.no_fnmatch_line("known red: *")  # it did not run


def test_one_set_of_parameters_can_be_listed(tree: pytest.Pytester) -> None:
    done = played(tree, "tests/test_a.py::test_numbers[2] | two | #7", "-k", "numbers")
    assert done.ret == 0
    done.assert_outcomes(passed=1, xfailed=1)


@pytest.mark.parametrize(
    ("name", "told"),
    [
        ("green", "passes again, take its line out"), ("skipped", "was skipped"), ("never", "was skipped"),
        ("awaited", "was skipped"), ("setup", "did not run to its end"), ("teardown", "fails still"),
    ],
)  # fmt: skip
def test_only_a_failing_body_is_passed_over(tree: pytest.Pytester, name: str, told: str) -> None:
    done = played(tree, f"tests/test_a.py::test_{name} | x | 1", "-k", f"test_{name}")
    assert done.ret == 1
    done.stdout.fnmatch_lines([f"known red: tests/test_a.py::test_{name} {told}: x (issue 1)"])


@pytest.mark.parametrize(
    ("listed", "told"),
    [
        ("tests/test_a.py::test_red | no issue", "not 'test id | cause | issue'"),
        ("tests/test_a.py::test_red |  | 38", "not 'test id | cause | issue'"),
        ("tests/test_a.py::test_red | the issue has no number | soon", "not 'test id | cause | issue'"),
        ("tests/test_a.py::test_red | four | parts | 38", "not 'test id | cause | issue'"),
        (f"{RED}\n{RED}", "a second line on"),
        ("tests/test_gone.py::test_red | x | 38", "names no test in"),
        ("tests/known_red.py::test_red | x | 38", "names no test in"),
        ("tests/test_a.py::test_gone | x | 38", "names no collected test"),
        ("tests/test_a.py | the whole file | 38", "names no collected test"),
        ("tests/test_a.py::test_numbers | without its parameters | 38", "names no collected test"),
        ("\n".join(RED.replace("red", name) for name in ("red", "red_too", "setup", "teardown")), "4 entries"),
    ],
)  # fmt: skip
def test_a_list_that_is_wrong_fails_every_run(tree: pytest.Pytester, listed: str, told: str) -> None:
    done = played(tree, listed, "-k", "green")
    assert done.ret == pytest.ExitCode.USAGE_ERROR
    assert told in done.stderr.str()


def test_three_entries_are_the_most(tree: pytest.Pytester) -> None:
    listed = [RED, RED.replace("red", "red_too"), RED.replace("red", "numbers[2]")]
    done = played(tree, "\n".join(listed), "-k", "red or numbers")
    assert done.ret == 0
    done.assert_outcomes(passed=1, xfailed=3)


def test_a_run_of_part_of_a_file_or_of_another_judges_no_entry_of_it(tree: pytest.Pytester) -> None:
    (tree.path / "tests" / "test_b.py").write_text("def test_other(): pass\n")
    gone = "tests/test_a.py::test_gone | x | 38"
    assert played(tree, gone, "tests/test_b.py").ret == 0
    assert played(tree, gone, "tests/test_a.py::test_green").ret == 0
    assert played(tree, gone, "tests").ret == pytest.ExitCode.USAGE_ERROR


def test_without_the_file_no_run_begins(tree: pytest.Pytester) -> None:
    done = tree.runpytest_inprocess("-k", "green", plugins=[known_red])
    assert done.ret == pytest.ExitCode.USAGE_ERROR and "not there" in done.stderr.str()
