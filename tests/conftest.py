"""Registers the pytest plugin that lets the tests listed in KNOWN-RED.txt fail without failing the run."""

from __future__ import annotations

# Hypothesis is imported here, before any test runs.  Otherwise its pytest plugin imports it at the end of a
# run, and pytest then parses its source.  If garbage of the tests is collected during the parsing and a
# finalizer formats a traceback, CPython 3.11 fails, because it computes the carets of a traceback with the
# same parser: "SystemError: AST constructor recursion depth mismatch".
import hypothesis  # noqa: F401
import pytest

from . import known_red


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(known_red)
