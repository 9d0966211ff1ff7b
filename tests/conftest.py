"""What pytest loads for these tests: the plugin that passes over the tests in KNOWN-RED.txt."""

from __future__ import annotations

# Its pytest plugin imports it at the end of each run, and pytest then parses its source.  Where garbage of the tests is
# collected in the midst of that, and a finalizer formats a traceback, CPython 3.11 fails, as a traceback's carets are
# parsed by the same code: "SystemError: AST constructor recursion depth mismatch".  Imported here, no test has run yet.
import hypothesis  # noqa: F401
import pytest

from . import known_red


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(known_red)
