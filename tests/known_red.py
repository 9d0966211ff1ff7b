"""Passes over the tests that KNOWN-RED.txt names, as a pytest plugin: they run and are reported, but do not fail CI.

A line is `test id | cause | issue`; blank ones and those that begin with # are ignored.  Only a failure of the test's
own body is passed over: a listed test that passes, is skipped, or breaks in its setup or teardown fails.  So does
every run while the file has a line of another form, one that names no test, or one too many.  Whether an entry
names a test is judged by the run that collects the whole of the test's file.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
FILES = "tests/test_*.py"  # those that tests/run.sh runs
MOST = 3  # the users' bound on what may be passed over at once
ENTRIES = pytest.StashKey["dict[str, Entry]"]()


@dataclass
class Entry:
    test: str
    cause: str
    issue: int
    outcome: str = "did not run to its end"


def parse(text: str, root: Path) -> dict[str, Entry]:
    """The entries by test id.  Raises UsageError, with the line, for what is no entry."""
    entries: dict[str, Entry] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or not re.fullmatch(r"#?[0-9]+", parts[2]):
            raise pytest.UsageError(f"{NAME}:{number}: not 'test id | cause | issue': {line}")
        test, cause, issue = parts
        if root / test.partition("::")[0] not in root.glob(FILES):
            raise pytest.UsageError(f"{NAME}:{number}: names no test in {FILES}: {test}")
        if test in entries:
            raise pytest.UsageError(f"{NAME}:{number}: a second line on {test}")
        entries[test] = Entry(test, cause, int(issue.lstrip("#")))
    if len(entries) > MOST:
        raise pytest.UsageError(f"{NAME}: {len(entries)} entries, {MOST} at most")
    return entries


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / NAME
    if not path.is_file():
        raise pytest.UsageError(f"{NAME}: not there; without entries it holds comments only")
    config.stash[ENTRIES] = parse(path.read_text(), config.rootpath)


@pytest.hookimpl(tryfirst=True)  # before tests are deselected
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    collected = {item.nodeid for item in items}
    files = {test.partition("::")[0] for test in collected}
    in_part = {Path(arg.partition("::")[0]).name for arg in config.args if "::" in arg}
    for test in config.stash[ENTRIES]:
        file = test.partition("::")[0]
        if (
            file in files
            and Path(file).name not in in_part
            and test not in collected
            and not session.testsfailed
        ):
            raise pytest.UsageError(f"{NAME}: names no collected test: {test}")


@pytest.hookimpl(wrapper=True, tryfirst=True)  # sees the report after all other plugins
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    entry = item.config.stash[ENTRIES].get(item.nodeid)
    if entry is None or (report.when != "call" and not report.skipped):
        return report
    if report.failed:
        report.outcome, report.wasxfail = "skipped", f"known red: {entry.cause} (issue {entry.issue})"
        entry.outcome = "fails still"
    else:
        entry.outcome = "passes again, take its line out" if report.passed else "was skipped"
        report.outcome, report.longrepr = "failed", f"{NAME}: {entry.test} {entry.outcome}"
        vars(report).pop("wasxfail", None)
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    ran = {report.nodeid for reports in terminalreporter.stats.values() for report in reports
           if isinstance(report, pytest.TestReport)}  # fmt: skip
    for entry in config.stash[ENTRIES].values():
        if entry.test in ran:
            terminalreporter.write_line(
                f"known red: {entry.test} {entry.outcome}: {entry.cause} (issue {entry.issue})"
            )
