"""What pytest loads for these tests: the plugin that passes over the tests in KNOWN-RED.txt."""

from __future__ import annotations

import pytest

from . import known_red


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(known_red)
