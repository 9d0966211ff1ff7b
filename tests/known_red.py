"""A pytest plugin that runs and reports the tests listed in KNOWN-RED.txt without letting them fail CI.

Each line is `test id | command and seed | what was seen | issue`; blank lines and lines that begin with # are
ignored.  Only a failure in the body of a listed test is tolerated: a listed test that passes, is skipped, or
fails in its setup or teardown fails the run.  Every run also fails while the file has a line of another form,
a line that names no test, or a second line for the same test.  Whether an entry names a test is checked only
by a run that collects the test's complete file.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
TEST_FILES = "tests/test_*.py"  # the files that tests/run.sh runs
FORM = "test id | command and seed | what was seen | issue"
ENTRIES = pytest.StashKey["dict[str, Entry]"]()


@dataclass
class Entry:
    test: str
    command: str
    seen: str
    issue: int
    outcome: str = "did not run to its end"

    def __str__(self) -> str:
        return f"{self.seen} ({self.command}; issue {self.issue})"


def parse(text: str, root: Path) -> dict[str, Entry]:
    """Return the entries by test id.  Raises UsageError with the line number for an invalid line."""
    entries: dict[str, Entry] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 4 or not all(parts) or not re.fullmatch(r"#?[0-9]+", parts[3]):
            raise pytest.UsageError(f"{NAME}:{number}: not '{FORM}': {line}")
        test, command, seen, issue = parts
        if root / test.partition("::")[0] not in root.glob(TEST_FILES):
            raise pytest.UsageError(f"{NAME}:{number}: names no test in {TEST_FILES}: {test}")
        if test in entries:
            raise pytest.UsageError(f"{NAME}:{number}: a second line for {test}")
        entries[test] = Entry(test, command, seen, int(issue.lstrip("#")))
    return entries


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / NAME
    if not path.is_file():
        raise pytest.UsageError(f"{NAME}: the file is missing; without entries it contains only comments")
    config.stash[ENTRIES] = parse(path.read_text(), config.rootpath)


@pytest.hookimpl(tryfirst=True)  # called before tests are deselected
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    collected = {item.nodeid for item in items}
    files = {test.partition("::")[0] for test in collected}
    partially_selected = {Path(arg.partition("::")[0]).name for arg in config.args if "::" in arg}
    for test in config.stash[ENTRIES]:
        file = test.partition("::")[0]
        if (
            file in files
            and Path(file).name not in partially_selected
            and test not in collected
            and not session.testsfailed
        ):
            raise pytest.UsageError(f"{NAME}: names no collected test: {test}")


@pytest.hookimpl(wrapper=True, tryfirst=True)  # so that it gets the report after all other plugins
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    entry = item.config.stash[ENTRIES].get(item.nodeid)
    if entry is None or (report.when != "call" and not report.skipped):
        return report
    if report.failed:
        report.outcome, report.wasxfail = "skipped", f"known red: {entry}"
        entry.outcome = "still fails"
    else:
        entry.outcome = "passes again, remove its line" if report.passed else "was skipped"
        report.outcome, report.longrepr = "failed", f"{NAME}: {entry.test} {entry.outcome}"
        vars(report).pop("wasxfail", None)
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    ran = {report.nodeid for reports in terminalreporter.stats.values() for report in reports
           if isinstance(report, pytest.TestReport)}  # fmt: skip
    for entry in config.stash[ENTRIES].values():
        if entry.test in ran:
            terminalreporter.write_line(f"known red: {entry.test} {entry.outcome}: {entry}")
