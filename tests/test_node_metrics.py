"""The text format of a node's metrics."""

from __future__ import annotations

import pytest

from hazelspring.daemon.node_metrics import Sample


@pytest.mark.parametrize(
    ("sample", "line"),
    [
        (Sample("ready", True), "hazelspring_ready 1"),
        (Sample("reads_total", 1_234_567), "hazelspring_reads_total 1234567"),
        (
            Sample("version", (1 << 61) + 1, (("service", 'a"b'),)),
            'hazelspring_version{service="a\\"b"} 2305843009213693953',
        ),
        (Sample("age_seconds", 0.25), "hazelspring_age_seconds 0.25"),
    ],
)
def test_whole_numbers_keep_all_their_digits(sample: Sample, line: str) -> None:
    assert sample.line() == line
